"""Measures how often the event loop wakes and how long its turns take, from within its selector."""

from __future__ import annotations

import asyncio
import selectors
import time


class TurnWatch(selectors.EpollSelector):
    """A selector that measures turns of the loop: the time from one call of `select` to the next."""

    def __init__(self) -> None:
        super().__init__()
        self.wakeups = 0
        self.longest = 0.0  # s, since the start
        self.recent = 0.0  # s, since `take_recent`
        self.busy = 0.0  # s spent in turns
        self._woke = time.perf_counter()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        spent = time.perf_counter() - self._woke
        self.busy += spent
        if spent > self.recent:
            self.recent = spent
            self.longest = max(self.longest, spent)
        found = super().select(timeout)
        self.wakeups += 1
        self._woke = time.perf_counter()
        return found

    def take_recent(self) -> float:
        """The longest turn (s) since the previous call."""
        longest, self.recent = self.recent, 0.0
        return longest


def watched_loop() -> tuple[TurnWatch, asyncio.AbstractEventLoop]:
    """A new event loop and the selector that measures it."""
    watch = TurnWatch()
    return watch, asyncio.SelectorEventLoop(watch)
