"""Recovery after a restart: the checks of each quarter of a second, and the facts written each second."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from benchmarks.slopes.fixtures import listed_policy, queued_policy
from benchmarks.slopes.probe import Axis, Probe, Sample, timed
from mountgauge.core.durable_time import Stamp
from mountgauge.recovery.destinations import destination_states
from mountgauge.recovery.identity import Identity
from mountgauge.recovery.table import lines
from mountgauge.run.recovery import RecoverySubsystem

if TYPE_CHECKING:
    from mountgauge.run.base import Runtime

_INSTANCE_COUNTS = (100, 300, 1_000, 3_000, 10_000)


def _check(count: int) -> Sample:
    """Each destination has a queued message."""
    policy = queued_policy(count)
    return lambda: timed(lambda: destination_states(policy, 101.0))


def _idle_check(count: int) -> Sample:
    """No destination has a message."""
    policy = listed_policy(count)
    return lambda: timed(lambda: destination_states(policy, 101.0))


def _facts(count: int) -> Sample:
    """The subsystem alone, on a runtime with only what it needs; each destination has a queued message."""
    policy = queued_policy(count)
    stamp = Stamp("", 1_000_101.0, 101.0, 1_000_101.0)
    core = SimpleNamespace(policy=policy, rules=policy.settings, version=1)
    subsystem = RecoverySubsystem.__new__(RecoverySubsystem)
    subsystem.runtime = cast("Runtime", SimpleNamespace(sender=core))
    subsystem.identity = Identity("slopes", "0" * 16, 1, False)
    return lambda: timed(lambda: subsystem.facts(stamp))


def _table(count: int) -> Sample:
    rows = [
        [f"127.0.0.1:{number}", "full", "1", "1", "kept", "0", "0", "-", "-", "3"] for number in range(count)
    ]
    return lambda: timed(lambda: lines(rows))


PROBES = (
    Probe("recovery-look", _check, "mountgauge.recovery.destinations.destination_states, each 0.25 s"),
    Probe("recovery-facts", _facts, "mountgauge.run.recovery.RecoverySubsystem.facts, each 1 s"),
    Probe(
        "recovery-idle-look", _idle_check, "mountgauge.recovery.destinations.destination_states, each 0.25 s"
    ),
    Probe(
        "recovery-table", _table, "mountgauge.recovery.table.lines", axis=Axis.MEMBERS, sizes=_INSTANCE_COUNTS
    ),
)
