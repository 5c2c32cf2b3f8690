"""Senders with one deliberate fault each, which the tests of the rule must detect."""

from __future__ import annotations

from mountgauge.core.attempts import Attempts
from mountgauge.core.config import MapUpdate
from mountgauge.core.hop_table import Change, HopTable
from mountgauge.core.list_lease import LeaseEnd
from mountgauge.core.ports import Call, CallItem
from mountgauge.platform.list_call import DropReason, Failure, ListCall
from mountgauge.platform.watch import DiscoveryWatch
from mountgauge.platform.watch_bounds import WatchBounds
from tests.platform.simulation import Components


class DoubledBackOff(WatchBounds):
    """The back-off and its spread are twice as long."""

    def back_off_s(self, failures: int, draw: float, busy: bool = False) -> float:
        return 2 * super().back_off_s(failures, draw, busy)


class PauseWithinWatchGap(WatchBounds):
    """The pause after a watch that was answered at once is short enough to count as part of the watch."""

    def repeat_pause_s(self, repeats: int) -> float:
        return 0.19


class LongPauseWithAgent(WatchBounds):
    """The pause after such a watch is as long for an agent as for discovery."""

    def repeat_pause_s(self, repeats: int) -> float:
        return 0.3


class WatchAfterSilentWatch(DiscoveryWatch):
    """A watch without an answer is followed by another watch."""

    def _create_call(self, now: float, version: int) -> ListCall:
        if not self._since_answer.failures and self._open and not self._full_list_needed:
            self._since_answer.short_calls_only = False
        return super()._create_call(now, version)

    def _watch_wait_s(self, now: float) -> float:
        return self.bounds.wait_s


class ExpiredLeaseIgnored(DiscoveryWatch):
    """The list is used as long as no answer is known to be lost."""

    def lease_end_reason(self, now: float) -> LeaseEnd | None:
        ended = super().lease_end_reason(now)
        return None if ended in (LeaseEnd.EXPIRED, LeaseEnd.NO_EVIDENCE, LeaseEnd.MOVED) else ended


class Every503Renews(DiscoveryWatch):
    """Every 503 is taken for a discovery that is down."""

    def _indicates_outage(self, failure: Failure) -> bool:
        return failure in (Failure.REFUSED, Failure.BUSY)


class GapFromReading(DiscoveryWatch):
    """The gap after an agent's answer is counted from when the answer is read, not written."""

    def _check_coverage(self, call: ListCall, written_after: float, now: float) -> None:
        super()._check_coverage(call, now, now)


class ClosedForNextCall(DiscoveryWatch):
    """A call that was not answered in time is closed when the next one is made."""

    def _create_call(self, now: float, version: int) -> ListCall:
        self._drop(list(self._open), DropReason.NEWER_ANSWERED, now)
        return super()._create_call(now, version)


class CorruptAnswerBacksOff(DiscoveryWatch):
    """After a corrupt answer the next call is made after a back-off."""

    def failed(self, call: ListCall, failure: Failure, now: float) -> None:
        super().failed(call, Failure.REFUSED, now)


class MoveWaitsForWatch(DiscoveryWatch):
    """A new address is only called when the call in flight has ended."""

    def move(self, now: float) -> None:
        at = self._next_at
        super().move(now)
        self._next_at = at


class AnswerNotApplied(HopTable):
    """Every fourth answer with changes is not applied, although its version is stored."""

    def __init__(self, balancers: int) -> None:
        super().__init__(balancers)
        self._answers = 0

    def apply_update(self, update: MapUpdate, whole: bool, now: float) -> Change:
        self._answers += bool(update.hops)
        if self._answers % 4 == 3:
            return Change((), [])
        return super().apply_update(update, whole, now)


class NoFinalCheck(Attempts):
    """A chosen call is sent even if the endpoint has drained since."""

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        return items


MUTANTS = {
    "an expired lease is ignored": Components(watch=ExpiredLeaseIgnored),
    "every 503 renews the lease": Components(watch=Every503Renews),
    "the gap is counted from reading": Components(watch=GapFromReading),
    "back-off and spread doubled": Components(bounds=DoubledBackOff),
    "a watch after a silent watch": Components(watch=WatchAfterSilentWatch),
    "an answer is not applied": Components(table=AnswerNotApplied),
    "calls are closed for the next one": Components(watch=ClosedForNextCall),
    "no final check in admit": Components(attempts=NoFinalCheck),
    "a pause within the watch gap": Components(bounds=PauseWithinWatchGap),
    "a pause of 0.3 s where lists are pushed": Components(bounds=LongPauseWithAgent),
    "a back-off after a corrupt answer": Components(watch=CorruptAnswerBacksOff),
    "a move waits for the watch in flight": Components(watch=MoveWaitsForWatch),
}
