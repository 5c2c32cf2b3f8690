"""The end of each message: one, on record before it is told, told to the front that the message came by."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping

from mountgauge.core.journal import Journal
from mountgauge.core.pending_messages import PendingMessage, PendingMessages
from mountgauge.core.ports import DestinationScope, MessageOutcome, OutcomeReporter, Status
from mountgauge.core.send_state import SendState
from mountgauge.log import LineBudget, kv
from rillspindle import send_guard
from rillspindle.send_monitor import SendMonitor

log = logging.getLogger("mountgauge.sender")


class MessageOutcomes:
    """Ends messages, and lets go of them once nothing more is owed."""

    def __init__(
        self,
        journal: Journal,
        held: PendingMessages,
        fronts: Mapping[str, OutcomeReporter],
        counts: Counter[tuple[str, str]],
        state: SendState,
        monitor: SendMonitor,
        now: Callable[[], float],
    ) -> None:
        self.scope: DestinationScope | None = None  # where the sender holds a part of the destinations
        self._journal, self._held, self._fronts, self._counts = journal, held, fronts, counts
        self._state, self._monitor, self._now = state, monitor, now
        self._untold: dict[
            int, tuple[PendingMessage, MessageOutcome]
        ] = {}  # by number: ends that are not on record yet
        self._lines = LineBudget(now)

    def abandon(self, held: PendingMessage | None, end: MessageOutcome) -> None:
        """The module's final answer goes out as soon as it is on record, so that no restart takes it back."""
        if held is None or held.over:
            return
        held.over = True
        end = self._allowed(held, end)
        self._tell_if_allowed(held, end, self._journal.abandon(held.stored.id, end))

    def _tell_if_allowed(self, held: PendingMessage, end: MessageOutcome, on_record: bool) -> None:
        now = self._now()
        if send_guard.may_tell_end(on_record, held.expires, now):
            self._monitor.end_told(held.stored.id, on_record, held.expires, now)
            self.tell(held, end)
            return
        self._untold[held.number] = held, end
        self._counts["withheld", send_guard.Refusal.END_NOT_ON_RECORD] += 1
        if self._lines.take():
            log.info("end-waits", extra=kv(id=held.stored.id, status=end.status.value))

    def recorded(self) -> None:
        """The journal has taken all records: what waited for that is told."""
        untold, self._untold = self._untold, {}
        for held, end in untold.values():
            self._tell_if_allowed(held, end, True)

    def tell_late(self, held: PendingMessage) -> None:
        """The message's time is over: its end is told, on record or not."""
        if (untold := self._untold.pop(held.number, None)) is not None:
            self._tell_if_allowed(*untold, False)

    def _allowed(self, held: PendingMessage, end: MessageOutcome) -> MessageOutcome:
        """What its client may be told: a message that may have run is handed back only where that is
        harmless.
        """
        if end.status is not Status.DEFERRED:
            return end
        out = held.call is not None and any(item.number == held.number for item in held.call.sent)
        grade = self._state.grades.get(held.stored.grade)
        if send_guard.may_hand_back(grade, out or bool(held.stored.ran)):
            return end
        self._counts["withheld", send_guard.Refusal.MAY_HAVE_RUN] += 1
        return MessageOutcome(Status.UNDELIVERABLE)

    def finish(self, held: PendingMessage, end: MessageOutcome) -> None:
        """A next hop's answer has ended the message: nothing more is owed, whether this is heard or not."""
        held.over = True
        self._journal.finish(held.stored.id, end)
        self.drop(held)
        self._counts["end", end.status.value] += 1
        self._front(held).report_outcome(held.stored.id, end, lambda: None)

    def tell(self, held: PendingMessage, end: MessageOutcome) -> None:
        """Its end is owed until the front has it."""

        def told() -> None:
            if held.number in self._held:
                self._journal.finish(held.stored.id, end)
                self.drop(held)

        self._counts["end", end.status.value] += 1
        if end.status is Status.DEFERRED:
            self._monitor.handed_back(held.stored.id, self._state.grades.get(held.stored.grade))
        self._front(held).report_outcome(held.stored.id, end, told)

    def drop(self, held: PendingMessage) -> None:
        """The message is held no longer."""
        self._untold.pop(held.number, None)
        if held.number in self._held and self.scope is not None:
            self.scope.message_removed(held.stored.dest)
        self._held.remove(held)
        self._monitor.forget(held.stored.id)

    def _front(self, held: PendingMessage) -> OutcomeReporter:
        return self._fronts.get(held.stored.front) or next(iter(self._fronts.values()))
