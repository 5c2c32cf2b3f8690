"""A model of a partner's capacity: a rate with a depth, cold after an outage, and falling over.

Pure: times in seconds come in, a verdict on each call goes out. A call is counted against a bucket of
`rate x depth_s` calls that fills by what the partner bears at that moment; a refused call uses
`refused_cost` of a place up. Cold, it bears `cold_share` of its rate, rising evenly to all of it in
`warm_s`. With `falls_at`, it starts cold anew whenever `falls_window_s` brought more than `falls_at` times
what it bore in that window: the partner that a fleet's steady floor keeps down.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class CapacityModel:
    """Which calls a partner takes, by their times; see the module."""

    rate: float  # calls/s, warm
    depth_s: float = 0.3
    refused_cost: float = 0.5
    cold_share: float = 0.2
    warm_s: float = 5.0
    falls_at: float = 0.0  # 0: it never falls over
    falls_window_s: float = 1.0
    span_s: float = 0.0  # a count in a fixed span of time instead of a bucket; 0: a bucket
    cold_at: float = -math.inf  # since when it is cold
    closed_until: float = -math.inf
    stays_cold: bool = False
    limit_factor: float = 1.0  # part of the rate that holds while the limit is lowered
    fall_count: int = 0
    _tokens: float = 0.0
    _filled_at: float = -math.inf
    _span: int = -1
    _arrivals: deque[float] = field(default_factory=deque)  # arrival times
    _capacity_samples: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # (when, calls/s) samples of the window

    def capacity_at(self, now: float) -> float:
        """Calls a second that it takes at this moment."""
        if now < self.closed_until:
            return 0.0
        age = 0.0 if self.stays_cold else max(0.0, now - self.cold_at)
        warm = min(1.0, age / self.warm_s) if self.warm_s > 0 else 1.0
        return self.rate * self.limit_factor * (self.cold_share + (1 - self.cold_share) * warm)

    def capacity_between(self, begin: float, end: float, step: float = 0.05) -> float:
        """Calls that it could bear from `begin` to `end`, by what is known now."""
        steps = max(1, math.ceil((end - begin) / step))
        width = (end - begin) / steps
        return sum(self.capacity_at(begin + (place + 0.5) * width) * width for place in range(steps))

    def go_cold(self, now: float) -> None:
        self.cold_at = now
        self._tokens = min(self._tokens, self.capacity_at(now) * self.depth_s)

    def close_for(self, now: float, for_s: float) -> None:
        """Shut for so long, and cold once it opens."""
        self.closed_until = self.cold_at = now + for_s
        self._tokens = 0.0

    def call(self, now: float) -> bool:
        """A call arrives: whether it is taken."""
        self._check_overload(now)
        rate = self.capacity_at(now)
        if self.span_s > 0:
            span = int(now // self.span_s)
            if span != self._span:
                self._span, self._tokens = span, rate * self.span_s
        else:
            most = max(1.0, rate * self.depth_s)
            gone = max(0.0, now - self._filled_at) if self._filled_at > -math.inf else self.depth_s
            self._tokens = min(most, self._tokens + rate * gone)
            self._filled_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        self._tokens = max(-1.0, self._tokens - self.refused_cost) if rate > 0 else self._tokens
        return False

    def _check_overload(self, now: float) -> None:
        if self.falls_at <= 0 or now < self.closed_until:
            return
        since = now - self.falls_window_s
        self._arrivals.append(now)
        self._capacity_samples.append((now, self.capacity_at(now)))
        while self._arrivals and self._arrivals[0] < since:
            self._arrivals.popleft()
        while self._capacity_samples and self._capacity_samples[0][0] < since:
            self._capacity_samples.popleft()
        borne = (
            sum(rate for _, rate in self._capacity_samples)
            / len(self._capacity_samples)
            * self.falls_window_s
        )
        if len(self._arrivals) > self.falls_at * max(borne, 1.0):
            self.fall_count += 1
            self.go_cold(now)
            self._arrivals.clear()
            self._capacity_samples.clear()
