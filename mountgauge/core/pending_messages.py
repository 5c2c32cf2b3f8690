"""Messages from their submission until their outcome has been reported. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from mountgauge.core.journal import StoredMessage
from mountgauge.core.ports import Call
from rillspindle.interface import MessageClass

_MAX_NUMBER = 0xFFFFFFFE  # numbers are 32 bits wide and wrap around


@dataclass(slots=True, eq=False)
class PendingMessage:
    """A message whose outcome has not been reported yet."""

    number: int  # its id in the decision module
    stored: StoredMessage
    expires: float  # on the sender's clock, s
    message_class: MessageClass | None = None  # that it was accepted with; None: unknown
    issued: int = 0  # attempts that the decision module has ordered
    call: Call | None = None
    finished: bool = False
    awaiting_front: str = ""  # the front of a client whose connection waits for the outcome


class PendingMessages(dict[int, PendingMessage]):
    """Pending messages by number; `numbers_by_id` maps the messages' own ids to numbers."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers_by_id: dict[str, int] = {}
        self._last_number = 0

    def add(
        self, stored: StoredMessage, expires: float, message_class: MessageClass | None = None
    ) -> PendingMessage:
        """Add a message under the next number."""
        self._last_number = self._last_number % _MAX_NUMBER + 1
        message = PendingMessage(self._last_number, stored, expires, message_class)
        self[message.number] = message
        self.numbers_by_id[stored.id] = message.number
        return message

    def remove(self, message: PendingMessage) -> None:
        self.pop(message.number, None)
        self.numbers_by_id.pop(message.stored.id, None)
