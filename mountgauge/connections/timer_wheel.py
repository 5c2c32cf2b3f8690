"""A hashed timing wheel: one deadline for each connection, for any number of them. No clock, no I/O.

After Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987), scheme 6, with one change: when
a deadline is postponed, its item stays in its slot and is moved only when that slot comes up. So postponing
the deadline of a connection in steady use costs almost nothing.
"""

from __future__ import annotations

import math
from typing import Generic, Protocol, TypeVar

INFINITE = math.inf  # no deadline, or no limit
_NOT_ARMED = -1


class Timed(Protocol):
    """The attributes that the wheel sets on each item; no other code changes them."""

    due_at: float  # s; INFINITE: no deadline
    tick: int  # of the slot that contains it, -1: not armed


T = TypeVar("T", bound=Timed)


class TimerWheel(Generic[T]):
    """Deadlines with a resolution of `tick_s`: an item is due at most that much late, never early."""

    def __init__(self, now: float, tick_s: float = 0.25, slots: int = 512) -> None:
        if tick_s <= 0 or slots < 2:
            raise ValueError("a wheel needs a tick above 0 and two slots")
        self.tick_s = tick_s
        self._slots: list[dict[T, None] | None] = [None] * slots
        self._now = math.floor(now / tick_s)  # the last tick that was processed
        self.armed = 0  # items in slots
        self.moved = 0  # items visited before their deadline and moved on

    def arm(self, item: T, when: float) -> None:
        """Set the only deadline of `item`, `when` (s, on the same clock as `now`)."""
        item.due_at = when
        if when == INFINITE:
            self.disarm(item)
            return
        tick = self._tick(when)
        if item.tick != _NOT_ARMED:
            if item.tick <= tick:
                return  # when its slot comes up, it is moved to the later one
            self._remove(item)
        self._insert(item, tick)

    def disarm(self, item: T) -> None:
        """Remove the deadline of `item`."""
        item.due_at = INFINITE
        if item.tick != _NOT_ARMED:
            self._remove(item)

    def due(self, now: float, limit: int) -> list[T]:
        """Up to `limit` items that are due, disarmed; if there are `limit`, more may be due."""
        found: list[T] = []
        last = math.floor(now / self.tick_s)
        visited = 0  # limited as well, since items that are only moved on also cost time
        while self._now < last and self.armed:
            index = (self._now + 1) % len(self._slots)
            slot = self._slots[index]
            while slot:
                if visited >= limit:
                    return found
                visited += 1
                item = next(iter(slot))
                self._remove(item)
                if item.due_at <= now:
                    item.due_at = INFINITE
                    found.append(item)
                else:
                    self.moved += 1
                    # Not into the slot in progress: it would be missed until the wheel comes round.
                    self._insert(item, max(self._tick(item.due_at), self._now + 2))
            self._now += 1
        if not self.armed:
            self._now = max(self._now, last)
        return found

    def next_at(self) -> float:
        """When to call `due` next (s); INFINITE with nothing armed, so that no timer is needed."""
        if not self.armed:
            return INFINITE
        size = len(self._slots)
        for ahead in range(1, size + 1):
            if self._slots[(self._now + ahead) % size]:
                return (self._now + ahead) * self.tick_s
        raise AssertionError("armed, but in no slot")

    def _tick(self, when: float) -> int:
        """The first tick that is not before `when`."""
        return math.ceil(when / self.tick_s)

    def _insert(self, item: T, tick: int) -> None:
        # Beyond the horizon it goes into the last slot; an overdue item goes into the next one.
        item.tick = max(self._now + 1, min(tick, self._now + len(self._slots)))
        index = item.tick % len(self._slots)
        slot = self._slots[index]
        if slot is None:
            slot = self._slots[index] = {}
        slot[item] = None
        self.armed += 1

    def _remove(self, item: T) -> None:
        index = item.tick % len(self._slots)
        slot = self._slots[index]
        assert slot is not None
        del slot[item]
        if not slot:
            self._slots[index] = None  # frees the dict, which would keep its peak size
        item.tick = _NOT_ARMED
        self.armed -= 1
