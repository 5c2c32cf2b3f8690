"""Recovery after a restart: what is looked at each quarter of a second, and written each second."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from benchmarks.slopes.probe import Axis, Probe, Sample, timed
from benchmarks.slopes.worlds import asked_policy, listed_policy
from mountgauge.core.durable_time import Stamp
from mountgauge.recovery.destinations import destination_states
from mountgauge.recovery.identity import Identity
from mountgauge.recovery.table import lines
from mountgauge.run.recovery import RecoverySubsystem

if TYPE_CHECKING:
    from mountgauge.run.base import Runtime

_INSTANCES = (100, 300, 1_000, 3_000, 10_000)


def _look(count: int) -> Sample:
    """Each destination is asked for."""
    policy = asked_policy(count)
    return lambda: timed(lambda: destination_states(policy, 101.0))


def _idle_look(count: int) -> Sample:
    """No destination is asked for."""
    policy = listed_policy(count)
    return lambda: timed(lambda: destination_states(policy, 101.0))


def _facts(count: int) -> Sample:
    """The subsystem alone, on a runtime that has only what it asks of it; each destination is asked for."""
    policy = asked_policy(count)
    stamp = Stamp("", 1_000_101.0, 101.0, 1_000_101.0)
    core = SimpleNamespace(policy=policy, rules=policy.settings, version=1)
    part = RecoverySubsystem.__new__(RecoverySubsystem)
    part.runtime = cast("Runtime", SimpleNamespace(sender=core))
    part.identity = Identity("slopes", "0" * 16, 1, False)
    return lambda: timed(lambda: part.facts(stamp))


def _table(count: int) -> Sample:
    rows = [
        [f"127.0.0.1:{number}", "full", "1", "1", "kept", "0", "0", "-", "-", "3"] for number in range(count)
    ]
    return lambda: timed(lambda: lines(rows))


PROBES = (
    Probe("recovery-look", _look, "mountgauge.recovery.destinations.destination_states, each 0.25 s"),
    Probe("recovery-facts", _facts, "mountgauge.run.recovery.RecoverySubsystem.facts, each 1 s"),
    Probe(
        "recovery-idle-look", _idle_look, "mountgauge.recovery.destinations.destination_states, each 0.25 s"
    ),
    Probe("recovery-table", _table, "mountgauge.recovery.table.lines", axis=Axis.MEMBERS, sizes=_INSTANCES),
)
