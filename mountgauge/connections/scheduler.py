"""Fair scheduling of connections, overload detection, and delays for rejected clients. No clock, no I/O.

The scheduler is a round robin with a quantum (deficit round robin, Shreedhar and Varghese 1995, in which each
command has the same weight): a connection with more commands than a quantum is queued behind all others.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

WOKEN_PER_BATCH, STEADY_PER_BATCH = 1, 4  # requests served of each batch under overload
WOKEN_AFTER_S = 1.0  # without a request, after which a connection counts as woken
MIN_SERVED_PER_S = 50  # assumed until a higher rate is measured
QUANTUM = 8  # commands read from one connection in a row
GOLDEN_RATIO_STEP = 0.6180339887498949  # multiples modulo 1 are evenly spread at every length (Weyl sequence)


class Scheduler(Generic[T]):
    """Connections with commands to read, in the order in which they are served."""

    def __init__(self) -> None:
        self._queue: dict[T, None] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def enqueue(self, item: T) -> None:
        """Add a connection to the end of the queue, unless it is queued already."""
        self._queue.setdefault(item)

    def drop(self, item: T) -> None:
        """Remove a connection from the queue."""
        self._queue.pop(item, None)

    def round(self, limit: int) -> Iterator[T]:
        """Take up to `limit` connections from the queue; those queued again meanwhile are left for later."""
        for _ in range(min(limit, len(self._queue))):
            if not self._queue:  # the rest was dropped meanwhile
                return
            item = next(iter(self._queue))
            del self._queue[item]
            yield item


class RetrySpread:
    """Retry delays spread evenly over a span, so that rejected clients don't return together."""

    def __init__(self, min_ms: int = 200) -> None:
        self.min_ms = min_ms
        self._phase = 0.0

    def next_delay_ms(self, waiting: int, rate: float, span_ms: int = 0) -> int:
        """The delay for one of `waiting` rejected clients, if `rate` of them can be served per second.

        The span is the time that serving all of them takes, at least `min_ms` and at least `span_ms`.
        Returns whole ms in [min_ms, min_ms + span].
        """
        serving = 1000.0 * waiting / rate if rate > 0 else 0.0
        span = min(60_000.0, max(float(self.min_ms), serving, float(span_ms)))
        self._phase = (self._phase + GOLDEN_RATIO_STEP) % 1.0
        return self.min_ms + int(span * self._phase)


class RateMeter:
    """Events per second: the count of the previous second, or of the current one if that is higher."""

    __slots__ = ("_count", "_last", "_second")

    def __init__(self) -> None:
        self._second, self._count, self._last = 0, 0, 0

    def add(self, now: float) -> None:
        """Count one event."""
        self._move(int(now))
        self._count += 1

    def per_s(self, now: float) -> int:
        """The present rate."""
        self._move(int(now))
        return max(self._count, self._last)

    def _move(self, second: int) -> None:
        if second != self._second:
            self._last = self._count if second == self._second + 1 else 0
            self._second, self._count = second, 0


class OverloadDetector:
    """Detects overload: polls that have returned full batches for longer than `patience_s`.

    Each poll returns up to a batch of connections with events. While every batch is full, some connections
    are waiting; for how long is not known, but no longer than polls have been full.
    """

    def __init__(self, patience_s: float = 0.1) -> None:
        self.patience_s = patience_s
        self._full_since: float | None = None
        self._woken, self._steady = WOKEN_PER_BATCH, STEADY_PER_BATCH
        self._served, self._rejected = RateMeter(), RateMeter()

    def record_poll(self, full: bool, now: float) -> None:
        """Record a poll and renew the number of requests that are served of each batch."""
        self._woken, self._steady = WOKEN_PER_BATCH, STEADY_PER_BATCH
        if not full:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now

    def should_reject(self, now: float, woken: bool) -> bool:
        """Whether a request is rejected at once, before the core sees it.

        Some requests of each batch are served even under overload: more on connections in steady use than on
        those that have just `woken` after a time without requests.
        """
        if self._full_since is None or now - self._full_since <= self.patience_s:
            return False
        if woken:
            self._woken -= 1
            return self._woken < 0
        self._steady -= 1
        return self._steady < 0

    def count_served(self, now: float) -> None:
        """Count a message that was accepted or delivered, for the measured rate."""
        self._served.add(now)

    def count_rejected(self, now: float) -> None:
        """Count a rejection, for the number of clients that will retry."""
        self._rejected.add(now)

    def next_delay_ms(self, spread: RetrySpread, now: float) -> int:
        """The retry delay for a request rejected now, spread over the time needed at the measured rate."""
        self.count_rejected(now)
        return spread.next_delay_ms(self._rejected.per_s(now), max(MIN_SERVED_PER_S, self._served.per_s(now)))
