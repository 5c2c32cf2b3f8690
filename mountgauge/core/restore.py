"""Messages of a previous process run: their outcome, or their return to the decision module."""

from __future__ import annotations

from collections import deque

from mountgauge.core.durable_time import ProcessTime
from mountgauge.core.journal import StoredMessage
from mountgauge.core.pending_messages import PendingMessage
from mountgauge.core.ports import MessageOutcome, Status
from rillspindle.interface import Restored

RESTORED_PER_TURN = 256  # thousands in one turn would keep clients and next hops waiting


def outcome_without_class(stored: StoredMessage) -> MessageOutcome:
    """The outcome of a message of an earlier build whose class this process has never had, so that its repeat
    rule is unknown: deferred only if it certainly has not run.
    """
    return MessageOutcome(Status.UNDELIVERABLE if stored.maybe_ran else Status.DEFERRED)


class Backlog:
    """Pending messages of previous runs that have not been passed to the decision module yet."""

    def __init__(self) -> None:
        self._waiting: deque[Restored] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, message: PendingMessage, message_class: int, time: ProcessTime) -> None:
        """`time` converts the journal's times to the sender's clock."""
        stored = message.stored
        message.issued = stored.attempts
        maybe_ran = tuple((time.monotonic(at), zone) for at, zone in stored.maybe_ran)
        self._waiting.append(
            Restored(message.number, message.expires, stored.dest, message_class, stored.attempts, maybe_ran)
        )

    def next_batch(self) -> list[Restored]:
        """Remove and return the messages for one turn."""
        return [self._waiting.popleft() for _ in range(min(RESTORED_PER_TURN, len(self._waiting)))]
