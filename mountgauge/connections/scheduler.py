"""Fair scheduling: who is heard next, and what to say where too many are waiting. No clock, no I/O.

Round robin with a quantum (a deficit round robin, Shreedhar and Varghese 1995, in which each command weighs
the same): who has more to say than a quantum goes behind all that wait already.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

WOKEN, STEADY = 1, 4  # of a batch, how many are heard in a crowd
WOKEN_AFTER_S = 1.0  # s without a request after which a connection counts as woken
LEAST_RATE = 50  # messages a second that any sender takes, before it has been seen to
QUANTUM = 8  # commands that one connection may have read in a row
GOLDEN_RATIO_STEP = (
    0.6180339887498949  # its multiples, modulo 1, spread evenly at every length (Weyl's sequence)
)


class Scheduler(Generic[T]):
    """Those who have commands waiting, in the order in which they are heard."""

    def __init__(self) -> None:
        self._queue: dict[T, None] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def wait(self, item: T) -> None:
        """It has something to say: at the end of the queue, unless it waits already."""
        self._queue.setdefault(item)

    def drop(self, item: T) -> None:
        self._queue.pop(item, None)

    def round(self, most: int) -> Iterator[T]:
        """Those whose turn it is now, at most `most`; who is asked to wait again meanwhile comes later."""
        for _ in range(min(most, len(self._queue))):
            if not self._queue:  # dropped meanwhile
                return
            item = next(iter(self._queue))
            del self._queue[item]
            yield item


class RetrySpread:
    """Times to come back that lie evenly over a span, so that those turned away don't return together."""

    def __init__(self, least_ms: int = 200) -> None:
        self.least_ms = least_ms
        self._phase = 0.0

    def again_ms(self, waiting: int, rate: float, span_ms: int = 0) -> int:
        """For one of `waiting` that are turned away, where `rate` a second can be served.

        The span is as long as serving them all takes, at least `least_ms`; `span_ms` may ask for more.
        Returns whole ms in [least_ms, least_ms + span].
        """
        serving = 1000.0 * waiting / rate if rate > 0 else 0.0
        span = min(60_000.0, max(float(self.least_ms), serving, float(span_ms)))
        self._phase = (self._phase + GOLDEN_RATIO_STEP) % 1.0
        return self.least_ms + int(span * self._phase)


class Meter:
    """Events in the last second: the whole one before this, or what this one has so far if that is more."""

    __slots__ = ("_count", "_last", "_second")

    def __init__(self) -> None:
        self._second, self._count, self._last = 0, 0, 0

    def add(self, now: float) -> None:
        self._move(int(now))
        self._count += 1

    def per_s(self, now: float) -> int:
        self._move(int(now))
        return max(self._count, self._last)

    def _move(self, second: int) -> None:
        if second != self._second:
            self._last = self._count if second == self._second + 1 else 0
            self._second, self._count = second, 0


class OverloadDetector:
    """Tells that more come than are heard in time: polls that stay full for longer than a bound.

    Each poll takes up to a batch of connections on which something has come. As long as every one is full,
    somebody waits; how long nobody can see, but not longer than polls have been full.
    """

    def __init__(self, patience_s: float = 0.1) -> None:
        self.patience_s = patience_s
        self._full_since: float | None = None
        self._woken, self._steady = WOKEN, STEADY
        self._served, self._turned = Meter(), Meter()

    def polled(self, full: bool, now: float) -> None:
        """A batch begins: some of it may be heard however great the crowd is."""
        self._woken, self._steady = WOKEN, STEADY
        if not full:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now

    def should_reject(self, now: float, woken: bool) -> bool:
        """Whether one is told to come back, at once and without asking further.

        Of each batch some are heard all the same, more of those who use their connection again and again
        than of those who have just `woken`.
        """
        if self._full_since is None or now - self._full_since <= self.patience_s:
            return False
        if woken:
            self._woken -= 1
            return self._woken < 0
        self._steady -= 1
        return self._steady < 0

    def count_served(self, now: float) -> None:
        self._served.add(now)

    def turned(self, now: float) -> None:
        self._turned.add(now)

    def again_ms(self, spread: RetrySpread, now: float) -> int:
        """For one that is turned away now: over as long as the others need, at the rate seen."""
        self.turned(now)
        return spread.again_ms(self._turned.per_s(now), max(LEAST_RATE, self._served.per_s(now)))
