"""Whether a submitted message is accepted, and the answer to its client. Accepted messages are journalled
before the client is answered.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable

from mountgauge.core.attempts import Attempts
from mountgauge.core.config import SettingNames
from mountgauge.core.hop_table import HopTable
from mountgauge.core.journal import Journal, JournalFullError, StoredMessage
from mountgauge.core.message_outcomes import MessageOutcomes
from mountgauge.core.pending_messages import PendingMessage, PendingMessages
from mountgauge.core.ports import Accepted, Answer, MessageOutcome, Status, Submission, TenantGate
from mountgauge.log import kv
from rillspindle import Policy, send_guard

log = logging.getLogger("mountgauge.sender")

_RETRY_AFTER_MS = 250


class Admission:
    """Accepts messages, or rejects them with the guarantee that they have no effect."""

    def __init__(
        self,
        policy: Policy,
        names: SettingNames,
        journal: Journal,
        table: HopTable,
        pending: PendingMessages,
        attempts: Attempts,
        outcomes: MessageOutcomes,
        counts: Counter[tuple[str, str]],
        started: float,
    ) -> None:
        """`started`: when the process started, on the sender's clock in seconds."""
        self.rules, self.names = policy.settings, names
        self.gate: TenantGate | None = None  # set if messages are counted per tenant
        # Discovery has sent this process the full list, or confirmed the one that it was started with.
        self.list_received = False
        # Whether a message accepted now could neither be sent nor have its outcome reported.
        self.isolated: Callable[[], bool] = lambda: False
        # Whether it would have to wait for a source of lists that fails, while other senders may have a list.
        self.lacks_list: Callable[[], bool] = lambda: False
        self._policy, self._journal, self._table, self._pending = policy, journal, table, pending
        self._attempts, self._outcomes, self._counts, self._started = attempts, outcomes, counts, started

    def known(self, submission: Submission) -> Answer | None:
        """The answer to a submission whose id is known; None if the id is new."""
        if (number := self._pending.numbers_by_id.get(submission.id)) is not None:
            # A repeated submission of an accepted message, or another message under the same id.
            known = self._pending[number].stored
            same = (known.dest, known.key, known.body) == (submission.dest, submission.key, submission.body)
            return Accepted() if same else MessageOutcome(Status.UNDELIVERABLE)
        return self._journal.outcomes.get(submission.id)

    def answer_while_stopping(self, submission: Submission) -> None:
        """Reject a new message, and answer a known one as usual."""
        known = self.known(submission)
        submission.answer(MessageOutcome(Status.DEFERRED) if known is None else known)

    def immediate_answer(self, submission: Submission, now: float) -> Answer | None:
        """The answer to a message that is known or rejected without asking the decision module; None if the
        module decides.
        """
        if not submission.client_waiting():
            # The client disconnected, and may submit the message again under another id.
            return MessageOutcome(Status.DEFERRED)
        if (known := self.known(submission)) is not None:
            return known
        if not send_guard.may_accept(bool(self._journal.unreadable), now - self._started):
            return MessageOutcome(Status.DEFERRED, _RETRY_AFTER_MS)
        if self.isolated():
            self._counts["refused", "cut-off"] += 1
            return MessageOutcome(Status.DEFERRED, _RETRY_AFTER_MS)
        if self.lacks_list():
            self._counts["refused", "no-list"] += 1
            return MessageOutcome(Status.DEFERRED, _RETRY_AFTER_MS)
        scope = self._outcomes.scope
        if scope is not None and not scope.accepts(submission.dest):
            # Served by another sender, to which it may be submitted, or not known yet.
            return MessageOutcome(Status.DEFERRED)
        if submission.dest not in self._table.listed:
            # Until discovery has answered, the destination may be newer than the previous process's list.
            return (
                MessageOutcome(Status.UNDELIVERABLE)
                if self.list_received
                else MessageOutcome(Status.DEFERRED, _RETRY_AFTER_MS)
            )
        if len(self._policy.messages) >= self.rules.max_open or not self._journal.has_capacity(
            len(submission.body)
        ):
            return MessageOutcome(Status.DEFERRED)
        return self._rejection_by_limits(submission, now)

    def _rejection_by_limits(self, submission: Submission, now: float) -> MessageOutcome | None:
        """The rejection by the tenant's quota or by a fleet-wide budget, if any."""
        if self.gate is not None and (again := self.gate.admit(submission.tenant, now)) is not None:
            self._counts["refused", "quota"] += 1
            return MessageOutcome(Status.DEFERRED, math.ceil(again * 1000))
        call_gate = self._attempts.call_gate
        if call_gate is None or (wait := call_gate.admit(submission.tenant)) <= 0:
            return None
        if self.gate is not None:
            self.gate.refund(submission.tenant)
        self._counts["refused", "budget"] += 1
        return MessageOutcome(Status.DEFERRED, math.ceil(min(wait, self.rules.max_retry_after) * 1000))

    def stored(self, submission: Submission, expires: float) -> StoredMessage:
        """The message as recorded in the journal; `expires` is on the sender's clock."""
        return StoredMessage(
            submission.id,
            self.names.class_names[submission.message_class],
            self._journal.time.of(expires),
            submission.dest,
            submission.key,
            submission.front,
            submission.body,
            message_class=self.rules.message_classes[submission.message_class],
        )

    def accept(self, submission: Submission, message: PendingMessage) -> bool:
        """Journal the message and answer its client; False, with no answer, if the journal failed."""
        try:
            self._journal.accept(message.stored)
        except JournalFullError as error:
            # The disk may be full although the byte count allowed it. An unrecorded message isn't accepted.
            log.warning("journal-full", extra=kv(reason=error))
            return False
        self._counts["taken", ""] += 1
        if self.gate is not None:
            self.gate.accepted(submission.tenant)
        submission.answer(Accepted())
        return True

    def reject(self, submission: Submission, message: PendingMessage, outcome: MessageOutcome) -> None:
        """Answer the client and remove all state of the message."""
        message.finished = True
        self._outcomes.remove(message)
        if self.gate is not None:
            self.gate.refund(submission.tenant)
        if self._attempts.call_gate is not None:
            self._attempts.call_gate.refund(submission.tenant)
        self._counts["refused", outcome.status.value] += 1
        submission.answer(outcome)
