"""Senders with one fault each, which the property must find."""

from __future__ import annotations

from mountgauge.core.attempts import Attempts
from mountgauge.core.config import MapUpdate
from mountgauge.core.hop_table import Change, HopTable
from mountgauge.core.list_lease import LeaseEnd
from mountgauge.core.ports import Call, Item
from mountgauge.platform.list_call import DropReason, Failure, ListCall
from mountgauge.platform.watch import DiscoveryWatch
from mountgauge.platform.watch_bounds import WatchBounds
from tests.platform.simulation import Components


class DoubledBackOff(WatchBounds):
    """The back-off and its spread are twice as long."""

    def back_off_s(self, failures: int, draw: float, busy: bool = False) -> float:
        return 2 * super().back_off_s(failures, draw, busy)


class RestWithinWatch(WatchBounds):
    """The rest after a watch that was answered at once is short enough to belong to the watch."""

    def repeat_pause_s(self, repeats: int) -> float:
        return 0.19


class LongRestWithAgent(WatchBounds):
    """An agent is asked as seldom after such a watch as discovery is."""

    def repeat_pause_s(self, repeats: int) -> float:
        return 0.3


class LongPollAfterSilence(DiscoveryWatch):
    """A watch that has fallen silent is followed by another one."""

    def _create_call(self, now: float, version: int) -> ListCall:
        if not self._since_answer.failures and self._open and not self._full_list_needed:
            self._since_answer.short_calls_only = False
        return super()._create_call(now, version)

    def _watch_wait_s(self, now: float) -> float:
        return self.bounds.wait_s


class SilenceBelieved(DiscoveryWatch):
    """The list is believed as long as no answer is known to be lost."""

    def lease_ended(self, now: float) -> LeaseEnd | None:
        ended = super().lease_ended(now)
        return None if ended in (LeaseEnd.EXPIRED, LeaseEnd.UNHEARD, LeaseEnd.MOVED) else ended


class RefusalInWordsRenews(DiscoveryWatch):
    """Each 503 passes for a discovery that is down."""

    def _indicates_outage(self, failure: Failure) -> bool:
        return failure in (Failure.REFUSED, Failure.BUSY)


class ReadTakenForWritten(DiscoveryWatch):
    """The gap behind an agent's answer is counted from when it is read."""

    def _check_coverage(self, call: ListCall, written_after: float, now: float) -> None:
        super()._check_coverage(call, now, now)


class GivenUpForTheNext(DiscoveryWatch):
    """A call that has got no answer in time is closed when the next one is made."""

    def _create_call(self, now: float, version: int) -> ListCall:
        self._drop(list(self._open), DropReason.NEWER_ANSWERED, now)
        return super()._create_call(now, version)


class SpoiltAnswerBacksOff(DiscoveryWatch):
    """After an answer that cannot be read discovery is left alone for a while."""

    def failed(self, call: ListCall, failure: Failure, now: float) -> None:
        super().failed(call, Failure.REFUSED, now)


class MoveWaitsForTheWatch(DiscoveryWatch):
    """A new address is asked once the call that is out has ended."""

    def move(self, now: float) -> None:
        at = self._next_at
        super().move(now)
        self._next_at = at


class AnswerDropped(HopTable):
    """Every fourth answer with changes is not taken in, though its version is."""

    def __init__(self, balancers: int) -> None:
        super().__init__(balancers)
        self._answers = 0

    def learn(self, update: MapUpdate, whole: bool, now: float) -> Change:
        self._answers += bool(update.hops)
        if self._answers % 4 == 3:
            return Change((), [])
        return super().learn(update, whole, now)


class NoLastLook(Attempts):
    """What was chosen goes, whatever has become of the endpoint since."""

    def admit(self, call: Call, items: list[Item]) -> list[Item]:
        return items


MUTANTS = {
    "silence is believed": Components(watch=SilenceBelieved),
    "a refusal in words renews": Components(watch=RefusalInWordsRenews),
    "read is taken for written": Components(watch=ReadTakenForWritten),
    "back-off and spread doubled": Components(bounds=DoubledBackOff),
    "long poll after a silence": Components(watch=LongPollAfterSilence),
    "an answer dropped": Components(table=AnswerDropped),
    "calls closed for the next one": Components(watch=GivenUpForTheNext),
    "no recheck in admit": Components(attempts=NoLastLook),
    "a rest within the watch": Components(bounds=RestWithinWatch),
    "a rest of 0.3 s where lists are pushed": Components(bounds=LongRestWithAgent),
    "a back-off after a spoilt answer": Components(watch=SpoiltAnswerBacksOff),
    "a move waits for the watch": Components(watch=MoveWaitsForTheWatch),
}
