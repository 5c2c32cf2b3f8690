"""Messages of earlier lives: what becomes of each, and those that the module is still to be given back."""

from __future__ import annotations

from collections import deque

from mountgauge.core.config import SettingNames
from mountgauge.core.durable_time import ProcessTime
from mountgauge.core.journal import StoredMessage
from mountgauge.core.pending_messages import PendingMessage
from mountgauge.core.ports import MessageOutcome, Status
from rillspindle.interface import Restored

AT_ONCE = 256  # that one turn gives back: thousands would keep clients and next hops waiting


def end_without_class(stored: StoredMessage, names: SettingNames) -> MessageOutcome | None:
    """The end of a message whose class the settings no longer name, so that what it allowed is not known:
    one that has surely not run may come again. None where the class is known, or an end is on record.
    """
    if stored.grade in names.grades or stored.notice is not None:
        return None
    return MessageOutcome(Status.UNDELIVERABLE if stored.ran else Status.DEFERRED)


class Backlog:
    """Messages of earlier lives that are held, but not yet with the module."""

    def __init__(self) -> None:
        self._waiting: deque[Restored] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, held: PendingMessage, grade: int, time: ProcessTime) -> None:
        """`time`: what the journal's times are on the sender's clock."""
        stored = held.stored
        held.issued = stored.attempts
        ran = tuple((time.monotonic(at), zone) for at, zone in stored.ran)
        self._waiting.append(Restored(held.number, held.expires, stored.dest, grade, stored.attempts, ran))

    def take(self) -> list[Restored]:
        """What one turn gives back."""
        return [self._waiting.popleft() for _ in range(min(AT_ONCE, len(self._waiting)))]
