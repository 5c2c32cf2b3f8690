"""The conditions on a link, applied to its traffic. Pure, with seeded random draws and without sockets.

A datagram may be lost, duplicated, delayed or reordered. The bytes of a stream arrive in order, delayed and
limited by a throttle. One direction or both may fall silent without a close. New connections may be refused
and open ones reset.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

REORDER_S = 0.05  # largest delay of a reordered datagram on a link without a delay of its own


@dataclass(frozen=True, slots=True)
class NetworkConditions:
    """Times are in s; `drop`, `double` and `reorder` are shares of datagrams, `reset` is the rate of resets
    of a connection, 1/s.
    """

    drop: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    throttle: float = 0.0  # bytes/s of a stream's direction; 0: none
    silent: str = ""  # "up" (from the first-named end of the link), "down" or "both"
    refuse: bool = False
    reset: float = 0.0
    half_open: bool = False  # connections open in a silence stay silent, new ones hang

    def with_changes(self, changes: Mapping[str, Any]) -> NetworkConditions:
        """These conditions with some values replaced."""
        return replace(self, **changes)

    def is_silent(self, up: bool) -> bool:
        """Whether data in this direction is dropped while connections stay open."""
        return self.silent == "both" or self.silent == ("up" if up else "down")

    def datagram(self, up: bool, rng: random.Random) -> list[float]:
        """The delay in s of each copy of a datagram; empty if it is lost."""
        if self.is_silent(up) or rng.random() < self.drop:
            return []
        copies = 1 + (rng.random() < self.double)
        return [self._late(rng) for _ in range(copies)]

    def _late(self, rng: random.Random) -> float:
        late = self.delay_s + rng.uniform(0.0, self.jitter_s)
        if rng.random() < self.reorder:
            late += rng.uniform(0.0, max(REORDER_S, 2 * self.delay_s))
        return late

    def stream(self, size: int, now: float, free_at: float, rng: random.Random) -> tuple[float, float]:
        """When `size` bytes arrive, and when the direction is free for the next ones; keeps their order."""
        arrives = max(now + self.delay_s + rng.uniform(0.0, self.jitter_s), free_at)
        if self.throttle > 0:
            arrives += size / self.throttle
        return arrives, arrives
