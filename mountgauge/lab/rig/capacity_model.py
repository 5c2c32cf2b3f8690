"""Models a partner's capacity: a token bucket, a warm-up after outages, and collapse under overload.

Pure: times in seconds come in, a decision on each call goes out. Each call takes a token from a bucket of
`rate x depth_s` tokens, which refills at the partner's current capacity; a refused call still uses
`refused_cost` tokens. A cold partner has `cold_share` of its rate, which rises linearly to the full rate in
`warm_s`. With `falls_at`, the partner becomes cold again whenever `falls_window_s` brought more than
`falls_at` times its capacity over that window: a constant minimum load from a fleet can then keep it down.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class CapacityModel:
    """Decides by their arrival times which calls a partner accepts; see the module."""

    rate: float  # calls/s, warm
    depth_s: float = 0.3
    refused_cost: float = 0.5
    cold_share: float = 0.2
    warm_s: float = 5.0
    falls_at: float = 0.0  # 0: it never collapses
    falls_window_s: float = 1.0
    span_s: float = 0.0  # length of a fixed counting window, used instead of a bucket; 0: a bucket
    cold_at: float = -math.inf  # when its warm-up began
    closed_until: float = -math.inf
    stays_cold: bool = False
    limit_factor: float = 1.0  # share of the rate that remains while the limit is lowered
    fall_count: int = 0
    _tokens: float = 0.0
    _filled_at: float = -math.inf
    _span: int = -1
    _arrivals: deque[float] = field(default_factory=deque)  # arrival times
    # (time, calls/s) samples in the window
    _capacity_samples: deque[tuple[float, float]] = field(default_factory=deque)

    def capacity_at(self, now: float) -> float:
        """The capacity at this moment, calls/s."""
        if now < self.closed_until:
            return 0.0
        age = 0.0 if self.stays_cold else max(0.0, now - self.cold_at)
        warm = min(1.0, age / self.warm_s) if self.warm_s > 0 else 1.0
        return self.rate * self.limit_factor * (self.cold_share + (1 - self.cold_share) * warm)

    def capacity_between(self, begin: float, end: float, step: float = 0.05) -> float:
        """The number of calls that the capacity allows from `begin` to `end`, as known now."""
        steps = max(1, math.ceil((end - begin) / step))
        width = (end - begin) / steps
        return sum(self.capacity_at(begin + (index + 0.5) * width) * width for index in range(steps))

    def go_cold(self, now: float) -> None:
        """Begin the warm-up anew."""
        self.cold_at = now
        self._tokens = min(self._tokens, self.capacity_at(now) * self.depth_s)

    def close_for(self, now: float, for_s: float) -> None:
        """Refuse all calls for `for_s`, and be cold afterwards."""
        self.closed_until = self.cold_at = now + for_s
        self._tokens = 0.0

    def call(self, now: float) -> bool:
        """Record the arrival of a call and return whether it is accepted."""
        self._check_overload(now)
        rate = self.capacity_at(now)
        if self.span_s > 0:
            span = int(now // self.span_s)
            if span != self._span:
                self._span, self._tokens = span, rate * self.span_s
        else:
            max_tokens = max(1.0, rate * self.depth_s)
            elapsed = max(0.0, now - self._filled_at) if self._filled_at > -math.inf else self.depth_s
            self._tokens = min(max_tokens, self._tokens + rate * elapsed)
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
        allowed = (
            sum(rate for _, rate in self._capacity_samples)
            / len(self._capacity_samples)
            * self.falls_window_s
        )
        if len(self._arrivals) > self.falls_at * max(allowed, 1.0):
            self.fall_count += 1
            self.go_cold(now)
            self._arrivals.clear()
            self._capacity_samples.clear()
