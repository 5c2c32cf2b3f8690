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
from mountgauge.core.remote_outcomes import RemoteOutcomes
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
        remote: RemoteOutcomes,
        counts: Counter[tuple[str, str]],
        now: Callable[[], float],
    ) -> None:
        """`now` is the sender's clock, in seconds; the process has just started."""
        self.rules, self.names = policy.settings, names
        self.gate: TenantGate | None = None  # set if messages are counted per tenant
        # Discovery has sent this process the full list, or confirmed the one that it was started with.
        self.list_received = False
        # Whether a message accepted now could neither be sent nor have its outcome reported.
        self.isolated: Callable[[], bool] = lambda: False
        # Whether it would have to wait for a source of lists that fails, while other senders may have a list.
        self.lacks_list: Callable[[], bool] = lambda: False
        self._policy, self._journal, self._table, self._pending = policy, journal, table, pending
        self._attempts, self._outcomes, self._counts = attempts, outcomes, counts
        self._now, self._started = now, now()
        self._remote = remote

    def known(self, submission: Submission) -> Answer | None:
        """The answer to a submission whose id is known; None if it is new, as far as this process can tell
        before it records the message.
        """
        if (number := self._pending.numbers_by_id.get(submission.id)) is not None:
            message = self._pending[number]
            if submission.awaits_outcome:
                message.awaiting_front = submission.front
            return _answer_to_repeat(message.stored, submission)
        if (outcome := self._journal.outcomes.get(submission.id)) is not None:
            return outcome
        self._journal.read_others()
        return self._known_elsewhere(submission)

    def _known_elsewhere(self, submission: Submission) -> Answer | None:
        """The answer to a submission whose id another process of the folder has accepted."""
        others = self._journal.others
        if (outcome := others.outcome(submission.id)) is not None:
            return outcome
        if (stored := others.message(submission.id)) is None:
            return None
        answer = _answer_to_repeat(stored, submission)
        if isinstance(answer, Accepted) and submission.awaits_outcome:
            self._remote.await_outcome(submission)
        return answer

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
        if not self._may_accept():
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

    def accept(self, submission: Submission, message: PendingMessage) -> Answer | None:
        """Journal the message and answer its client. Otherwise nothing is recorded here, and the result is
        the answer: the journal failed, or another process has accepted the id.
        """
        try:
            with self._journal.deciding_on_id():
                if (known := self._known_elsewhere(submission)) is not None:
                    return known
                if not self._may_accept():
                    return MessageOutcome(Status.DEFERRED, _RETRY_AFTER_MS)
                self._journal.accept(message.stored)
        except JournalFullError as error:
            # The disk may be full although the byte count allowed it. An unrecorded message isn't accepted.
            log.warning("journal-full", extra=kv(reason=error))
            return MessageOutcome(Status.DEFERRED)
        except OSError as error:
            log.warning("ids-not-known", extra=kv(reason=error))
            return MessageOutcome(Status.DEFERRED, _RETRY_AFTER_MS)
        self._counts["taken", ""] += 1
        if self.gate is not None:
            self.gate.accepted(submission.tenant)
        submission.answer(Accepted())
        return None

    def _may_accept(self) -> bool:
        """Whether the ids in the folder's journals are known, or are no longer waited for."""
        unread = bool(self._journal.unreadable) or self._journal.others.unread
        return send_guard.may_accept(unread, self._now() - self._started)

    def reject(self, submission: Submission, message: PendingMessage, answer: Answer) -> None:
        """Answer the client and remove all state of the message."""
        message.finished = True
        self._outcomes.remove(message)
        if self.gate is not None:
            self.gate.refund(submission.tenant)
        if self._attempts.call_gate is not None:
            self._attempts.call_gate.refund(submission.tenant)
        if isinstance(answer, MessageOutcome):
            self._counts["refused", answer.status.value] += 1
        submission.answer(answer)


def _answer_to_repeat(stored: StoredMessage, submission: Submission) -> Answer:
    """The answer to a repeated submission of an accepted message, or to another one under the same id."""
    same = (stored.dest, stored.key, stored.body) == (submission.dest, submission.key, submission.body)
    return Accepted() if same else MessageOutcome(Status.UNDELIVERABLE)
