"""The final outcome of each message: recorded in the journal, then reported to the front that received it."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping

from mountgauge.core.journal import Journal
from mountgauge.core.pending_messages import PendingMessage, PendingMessages
from mountgauge.core.ports import DestinationScope, MessageOutcome, OutcomeReporter, Status
from mountgauge.core.send_state import SendState
from mountgauge.log import LogRateLimiter, kv
from rillspindle import send_guard
from rillspindle.send_monitor import SendMonitor

log = logging.getLogger("mountgauge.sender")


class MessageOutcomes:
    """Finishes messages, and removes them once nothing more is owed."""

    def __init__(
        self,
        journal: Journal,
        pending: PendingMessages,
        fronts: Mapping[str, OutcomeReporter],
        counts: Counter[tuple[str, str]],
        state: SendState,
        monitor: SendMonitor,
        now: Callable[[], float],
    ) -> None:
        self.scope: DestinationScope | None = None  # set if the sender serves a share of the destinations
        self._journal, self._pending, self._fronts, self._counts = journal, pending, fronts, counts
        self._state, self._monitor, self._now = state, monitor, now
        # By message number: outcomes that wait for their journal record.
        self._unreported: dict[int, tuple[PendingMessage, MessageOutcome]] = {}
        self._lines = LogRateLimiter(now)

    def abandon(self, message: PendingMessage | None, outcome: MessageOutcome) -> None:
        """Record the decision module's final outcome and then report it, so that no restart revokes it."""
        if message is None or message.finished:
            return
        message.finished = True
        outcome = self._allowed(message, outcome)
        self._report_if_allowed(message, outcome, self._journal.abandon(message.stored.id, outcome))

    def _report_if_allowed(self, message: PendingMessage, outcome: MessageOutcome, on_record: bool) -> None:
        now = self._now()
        if send_guard.may_tell_end(on_record, message.expires, now):
            self._monitor.outcome_reported(message.stored.id, on_record, message.expires, now)
            self.report(message, outcome)
            return
        self._unreported[message.number] = message, outcome
        self._counts["withheld", send_guard.Refusal.END_NOT_ON_RECORD] += 1
        if self._lines.allow():
            log.info("end-waits", extra=kv(id=message.stored.id, status=outcome.status.value))

    def journal_written(self) -> None:
        """Report the outcomes that waited for the journal, which has written all records."""
        unreported, self._unreported = self._unreported, {}
        for message, outcome in unreported.values():
            self._report_if_allowed(message, outcome, True)

    def report_overdue(self, message: PendingMessage) -> None:
        """Report the outcome of an expired message, recorded or not."""
        if (unreported := self._unreported.pop(message.number, None)) is not None:
            self._report_if_allowed(*unreported, False)

    def _allowed(self, message: PendingMessage, outcome: MessageOutcome) -> MessageOutcome:
        """The outcome that may be reported: `deferred` invites the client to submit the message again, so for
        a message that may have run it is allowed only if a repeat is harmless.
        """
        if outcome.status is not Status.DEFERRED:
            return outcome
        in_flight = message.call is not None and any(
            item.number == message.number for item in message.call.sent
        )
        if send_guard.may_reject(message.message_class, in_flight or bool(message.stored.maybe_ran)):
            return outcome
        self._counts["withheld", send_guard.Refusal.MAY_HAVE_RUN] += 1
        return MessageOutcome(Status.UNDELIVERABLE)

    def finish(self, message: PendingMessage, outcome: MessageOutcome) -> None:
        """Finish a message by a next hop's answer: nothing more is owed, even if the report is lost."""
        message.finished = True
        self._journal.finish(message.stored.id, outcome)
        self.remove(message)
        self._counts["end", outcome.status.value] += 1
        self._front(message).report_outcome(message.stored.id, outcome, lambda: None)
        self._tell_other_front(message, outcome)

    def finished_elsewhere(self, message: PendingMessage, outcome: MessageOutcome) -> None:
        """Remove a message that another process has finished; clients of this one may wait for it."""
        message.finished = True
        self.remove(message)
        if message.awaiting_front:
            self._fronts[message.awaiting_front].report_outcome(message.stored.id, outcome, lambda: None)

    def _tell_other_front(self, message: PendingMessage, outcome: MessageOutcome) -> None:
        """Tell a client that waits on another front than the one that accepted the message."""
        name, message.awaiting_front = message.awaiting_front, ""
        if name and name != message.stored.front:
            self._fronts[name].report_outcome(message.stored.id, outcome, lambda: None)

    def report(self, message: PendingMessage, outcome: MessageOutcome) -> None:
        """Report an outcome, which is owed until the front confirms that it was received."""

        def confirmed() -> None:
            if message.number in self._pending:
                self._journal.finish(message.stored.id, outcome)
                self.remove(message)
                self._tell_other_front(message, outcome)  # one that has waited since the report

        self._counts["end", outcome.status.value] += 1
        if outcome.status is Status.DEFERRED:
            self._monitor.rejected(message.stored.id, message.message_class)
        self._front(message).report_outcome(message.stored.id, outcome, confirmed)
        self._tell_other_front(message, outcome)

    def remove(self, message: PendingMessage) -> None:
        """The message is no longer pending."""
        self._unreported.pop(message.number, None)
        if message.number in self._pending and self.scope is not None:
            self.scope.message_removed(message.stored.dest)
        self._pending.remove(message)
        self._monitor.forget(message.stored.id)

    def _front(self, message: PendingMessage) -> OutcomeReporter:
        return self._fronts.get(message.stored.front) or next(iter(self._fronts.values()))
