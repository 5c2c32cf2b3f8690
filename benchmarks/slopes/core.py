"""The core without the module: applying lists, dividing budgets, restoring messages after a restart."""

from __future__ import annotations

from benchmarks.slopes.fixtures import Peers, full_list, hop, numbers, queued_policy, sender, settings, stored
from benchmarks.slopes.probe import Axis, Method, Probe, Sample, Unit, allocated, timed
from mountgauge.core.config import MapUpdate
from mountgauge.core.sender import Sender
from rillspindle import Policy
from rillspindle.interface import Readiness

_MESSAGE_COUNTS = (1_000, 3_000, 10_000, 30_000, 100_000)
_BODY_BYTES = 200


def _listed(count: int) -> Sender:
    """A core with so many next hops listed, which its module is not notified of."""
    core = sender(Policy(settings(), 1), Peers())
    core.list_changed(full_list(count))
    core._ready.clear()
    return core


def _apply_change(count: int) -> Sample:
    core, turns = _listed(count), numbers(2)

    def change() -> None:
        turn = turns()
        readiness = Readiness.DRAINING if turn % 2 else Readiness.READY
        core.list_changed(MapUpdate(turn, False, (hop(count // 2, readiness),)))
        core._ready.clear()

    return lambda: timed(change)


def _apply_full(count: int) -> Sample:
    core, update = _listed(count), full_list(count, 2)

    def change() -> None:
        core.list_changed(update)
        core._ready.clear()

    return lambda: timed(change)


def _memory(count: int) -> Sample:
    """What the core keeps of a list, including the list itself."""

    def build() -> Sender:
        return _listed(count)

    return lambda: allocated(build)


def _divide_one(count: int) -> Sample:
    """The share of one destination's budget changes."""
    core, turns = _listed(count), numbers()

    def change() -> None:
        core.set_budget_shares({count // 2: 1.0 + turns() % 2})
        core._ready.clear()

    return lambda: timed(change)


def _waiting(count: int) -> Sample:
    """The core's demand, which budgets read before each ask, with a message queued for each destination."""
    core = sender(queued_policy(count), Peers())
    return lambda: timed(lambda: core.waiting)


def _restore(count: int) -> Sample:
    """The messages of the previous run are restored to the module, 256 a turn; one destination, one slot.

    Each sample is a separate start.
    """

    def one() -> float:
        peers = Peers()
        core = sender(Policy(settings(), 1), peers)
        core.list_changed(MapUpdate(1, True, (hop(0),)))
        messages = [stored(number, 0, _BODY_BYTES, peers.wall() + 3000.0) for number in range(count)]

        def start() -> None:
            core.restore(messages)
            while core.to_restore:
                peers.run_due()

        return timed(start)

    return one


def _restore_memory(count: int) -> Sample:
    """What core and module keep for restored messages, not counting the journal's records."""
    peers = Peers()
    messages = [stored(number, 0, _BODY_BYTES, peers.wall() + 3000.0) for number in range(count)]

    def build() -> Sender:
        core = sender(Policy(settings(), 1), peers)
        core.list_changed(MapUpdate(1, True, (hop(0),)))
        core.restore(messages)
        while core.to_restore:
            peers.run_due()
        return core

    return lambda: allocated(build)


PROBES = (
    Probe("sender-one-change", _apply_change, "mountgauge.core.hop_table.HopTable.apply_update"),
    Probe("sender-whole-list", _apply_full, "mountgauge.core.hop_table.HopTable.apply_update", repeats=3),
    Probe("sender-memory", _memory, "mountgauge.core.hop_table.HopTable",
          unit=Unit.BYTES, method=Method.TRACEMALLOC, repeats=1, limit_s=30.0),
    Probe("sender-divide-one", _divide_one, "mountgauge.core.hop_table.HopTable.set_budget_shares"),
    Probe("sender-waiting", _waiting, "mountgauge.core.sender.Sender.waiting"),
    Probe("sender-restore", _restore, "mountgauge.core.sender.Sender.restore, turn; Policy._pump",
          axis=Axis.MESSAGES, sizes=_MESSAGE_COUNTS, repeats=3, limit_s=20.0),
    Probe("sender-restore-memory", _restore_memory,
          "mountgauge.core.sender.PendingMessage; rillspindle.state.Message",
          axis=Axis.MESSAGES, sizes=_MESSAGE_COUNTS, unit=Unit.BYTES, method=Method.TRACEMALLOC, repeats=1,
          limit_s=30.0),
)  # fmt: skip
