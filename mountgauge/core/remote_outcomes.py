"""Outcomes of messages that another process of the folder has, for clients that wait for them here.

A client may submit a message again at the other process of a hand-over. The process that has the message
reports its outcome to its own clients; a client of this process learns it from the other one's journal, or
from this process after it has adopted the message.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass

from mountgauge.core.journal import Journal
from mountgauge.core.pending_messages import PendingMessage
from mountgauge.core.ports import Clock, MessageOutcome, OutcomeReporter, Status, Submission
from mountgauge.log import kv

log = logging.getLogger("mountgauge.sender")

_CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class _Wait:
    front: str
    until: float  # on the sender's clock: then the message's time is up


class RemoteOutcomes:
    """Reads the other journals while a client waits, and reports what they say to the client's front."""

    def __init__(self, journal: Journal, fronts: Mapping[str, OutcomeReporter], clock: Clock) -> None:
        self._journal, self._fronts, self._clock = journal, fronts, clock
        self._waits: dict[str, _Wait] = {}  # by message id
        self._scheduled = False

    def await_outcome(self, submission: Submission) -> None:
        """Report the outcome of this message, which another process has, to the submission's front."""
        until = self._clock.now() + submission.remaining_s
        self._waits[submission.id] = _Wait(submission.front, until)
        self._schedule()

    def adopted(self, message: PendingMessage) -> None:
        """This process has adopted a message, and reports its outcome as that of any other."""
        if (wait := self._waits.pop(message.stored.id, None)) is not None:
            message.awaiting_front = wait.front

    def _schedule(self) -> None:
        if self._waits and not self._scheduled:
            self._scheduled = True
            self._clock.call_at(self._clock.now() + _CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._scheduled = False
        self._journal.read_others()
        for msg_id, wait in list(self._waits.items()):
            if (outcome := self._outcome(msg_id, wait)) is not None:
                del self._waits[msg_id]
                log.info("remote-end", extra=kv(id=msg_id, status=outcome.status.value))
                self._fronts[wait.front].report_outcome(msg_id, outcome, lambda: None)
        self._schedule()

    def _outcome(self, msg_id: str, wait: _Wait) -> MessageOutcome | None:
        known = self._journal.outcomes.get(msg_id) or self._journal.others.outcome(msg_id)
        if known is None and self._clock.now() >= wait.until:
            return MessageOutcome(Status.UNDELIVERABLE)  # its time is up, whoever had it
        return known
