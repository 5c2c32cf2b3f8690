"""Whether a message that a client hands in is taken on, and what its client is told: on record first."""

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

_ASK_AGAIN_MS = 250


class Admission:
    """Takes messages on, or turns them away with a promise that they have no effect."""

    def __init__(
        self,
        policy: Policy,
        names: SettingNames,
        journal: Journal,
        table: HopTable,
        held: PendingMessages,
        attempts: Attempts,
        ends: MessageOutcomes,
        counts: Counter[tuple[str, str]],
        began: float,
    ) -> None:
        """`began`: when the process did, on the sender's clock in seconds."""
        self.rules, self.names = policy.set, names
        self.gate: TenantGate | None = None  # where tenants are counted
        # Discovery has told this process of the whole list, or that the known one holds.
        self.list_received = False
        # Whether a message that is taken on now could be neither sent nor ended.
        self.cut_off: Callable[[], bool] = lambda: False
        self._policy, self._journal, self._table, self._held = policy, journal, table, held
        self._attempts, self._ends, self._counts, self._began = attempts, ends, counts, began

    def known(self, one: Submission) -> Answer | None:
        """The answer to a request that has come before; None: its id is new."""
        if (number := self._held.numbers_by_id.get(one.id)) is not None:
            # It was sent twice and taken on the first time; or it is not that request.
            known = self._held[number].stored
            same = (known.dest, known.key, known.body) == (one.dest, one.key, one.body)
            return Accepted() if same else MessageOutcome(Status.UNDELIVERABLE)
        return self._journal.outcomes.get(one.id)

    def turn_away(self, one: Submission) -> None:
        """Nothing new is taken on any more; what is known has its answer as ever."""
        known = self.known(one)
        one.answer(MessageOutcome(Status.DEFERRED) if known is None else known)

    def immediate_answer(self, one: Submission, now: float) -> Answer | None:
        """Its answer if it is known, or if there is no room for it; None: the module is to hear of it."""
        if not one.client_waiting():  # it has hung up and may hand the message in again under another id
            return MessageOutcome(Status.DEFERRED)
        if (known := self.known(one)) is not None:
            return known
        if not send_guard.may_take_on(bool(self._journal.unreadable), now - self._began):
            return MessageOutcome(Status.DEFERRED, _ASK_AGAIN_MS)
        if self.cut_off():
            self._counts["refused", "cut-off"] += 1
            return MessageOutcome(Status.DEFERRED, _ASK_AGAIN_MS)
        scope = self._ends.scope
        if scope is not None and not scope.accepts(one.dest):
            return MessageOutcome(
                Status.DEFERRED
            )  # another sender's, or not known yet: it may be handed in there
        if one.dest not in self._table.listed:
            # Until discovery has spoken, the destination may be newer than the last process's list.
            return (
                MessageOutcome(Status.UNDELIVERABLE)
                if self.list_received
                else MessageOutcome(Status.DEFERRED, _ASK_AGAIN_MS)
            )
        if len(self._policy.msgs) >= self.rules.max_open or not self._journal.has_capacity(len(one.body)):
            return MessageOutcome(Status.DEFERRED)
        return self._refused_by_limits(one, now)

    def _refused_by_limits(self, one: Submission, now: float) -> MessageOutcome | None:
        """By its tenant's quota, or by a fleet-wide budget."""
        if self.gate is not None and (again := self.gate.admit(one.tenant, now)) is not None:
            self._counts["refused", "quota"] += 1
            return MessageOutcome(Status.DEFERRED, math.ceil(again * 1000))
        call_gate = self._attempts.call_gate
        if call_gate is None or (wait := call_gate.admit(one.tenant)) <= 0:
            return None
        if self.gate is not None:
            self.gate.give_back(one.tenant)
        self._counts["refused", "budget"] += 1
        return MessageOutcome(Status.DEFERRED, math.ceil(min(wait, self.rules.max_retry_after) * 1000))

    def stored(self, one: Submission, expires: float) -> StoredMessage:
        """The message as the journal will have it; `expires` is of the sender's clock."""
        until, grade = self._journal.time.of(expires), self.names.grades[one.grade]
        return StoredMessage(one.id, grade, until, one.dest, one.key, one.front, one.body)

    def take_on(self, one: Submission, held: PendingMessage) -> bool:
        """Put it on record and say so; False: the journal did not take it, and nothing was said."""
        try:
            self._journal.accept(held.stored)
        except JournalFullError as error:
            # The disk may be full though the count said otherwise. Not on record means not taken on.
            log.warning("journal-full", extra=kv(reason=error))
            return False
        self._counts["taken", ""] += 1
        if self.gate is not None:
            self.gate.accepted(one.tenant)
        one.answer(Accepted())
        return True

    def refuse(self, one: Submission, held: PendingMessage, end: MessageOutcome) -> None:
        """It is not taken on, and nothing is held of it."""
        held.over = True
        self._ends.drop(held)
        if self.gate is not None:
            self.gate.give_back(one.tenant)
        if self._attempts.call_gate is not None:
            self._attempts.call_gate.give_back(one.tenant)
        self._counts["refused", end.status.value] += 1
        one.answer(end)
