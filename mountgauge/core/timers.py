"""When the core must wake: the decision module's timers and a watchdog for each message. No clock: times are
parameters, in seconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Container, Iterator
from typing import NamedTuple

from rillspindle.interface import Ring

_WATCHDOG = 1 << 62  # first token of the watchdogs, above all tokens of the decision module


class Overdue(NamedTuple):
    """A message has expired without an outcome, for whatever reason."""

    number: int  # its id in the decision module


class Timers:
    """The times at which the core has to wake, in order."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []  # time and token

    def ring(self, at: float, token: int) -> None:
        """Set a timer of the decision module, identified by its token."""
        heapq.heappush(self._heap, (at, token))

    def watch(self, at: float, number: int) -> None:
        """Set the watchdog of a message, which should have its outcome by then."""
        heapq.heappush(self._heap, (at, _WATCHDOG + number))

    def due(self, now: float) -> Iterator[Ring | Overdue]:
        """Remove and return the timers that are due, in order."""
        while self._heap and self._heap[0][0] <= now:
            token = heapq.heappop(self._heap)[1]
            yield Overdue(token - _WATCHDOG) if token >= _WATCHDOG else Ring(token)

    def next_at(self, pending: Container[int]) -> float | None:
        """The next time to wake; watchdogs of messages that are no longer pending are dropped."""
        while self._heap:
            at, token = self._heap[0]
            if token < _WATCHDOG or token - _WATCHDOG in pending:
                return at
            heapq.heappop(self._heap)
        return None
