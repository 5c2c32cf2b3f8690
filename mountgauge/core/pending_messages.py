"""Messages that the core has taken on, from then to the moment their end has been told. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from mountgauge.core.journal import StoredMessage
from mountgauge.core.ports import Call

_LAST_NUMBER = 0xFFFFFFFE  # numbers are 32 bits wide and start over


@dataclass(slots=True, eq=False)
class PendingMessage:
    """A message between its take-on and the moment its end has been told."""

    number: int  # the module's id for it
    stored: StoredMessage
    expires: float  # of the sender's clock, s
    issued: int = 0  # attempts, as the module counts them
    call: Call | None = None
    over: bool = False


class PendingMessages(dict[int, PendingMessage]):
    """By the module's numbers; `numbers` has these by the messages' own ids."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers_by_id: dict[str, int] = {}
        self._last = 0

    def add(self, stored: StoredMessage, expires: float) -> PendingMessage:
        self._last = self._last % _LAST_NUMBER + 1
        held = PendingMessage(self._last, stored, expires)
        self[held.number] = held
        self.numbers_by_id[stored.id] = held.number
        return held

    def remove(self, held: PendingMessage) -> None:
        self.pop(held.number, None)
        self.numbers_by_id.pop(held.stored.id, None)
