"""The conditions on a link: what happens to what goes over it. Pure draws, seeded, without sockets.

A datagram may be lost, doubled, late or overtaken; bytes of a stream are late, in order, and no faster than
a throttle lets them; one direction or both may fall silent without a close; new connections may be refused
and old ones reset. `lost` is the one place where a link decides that nothing arrives.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

REORDER_S = 0.05  # s by which an overtaken datagram is late where the link has no delay to draw from


@dataclass(frozen=True, slots=True)
class NetworkConditions:
    """Times in s; `drop`, `double`, `reorder` as shares of datagrams, `reset` as connections' resets a
    second.
    """

    drop: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    throttle: float = 0.0  # bytes/s of a stream's direction; 0: none
    silent: str = ""  # "up" (from whom the link is named first), "down" or "both"
    refuse: bool = False
    reset: float = 0.0
    half_open: bool = False  # connections that a silence met stay silent after it, new ones never come up

    def with_changes(self, changes: Mapping[str, Any]) -> NetworkConditions:
        return replace(self, **changes)

    def is_silent(self, up: bool) -> bool:
        """Whether what goes in this direction vanishes while everything stays open."""
        return self.silent == "both" or self.silent == ("up" if up else "down")

    def datagram(self, up: bool, rng: random.Random) -> list[float]:
        """After how many s each copy of a datagram arrives: none where it is lost."""
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
        """When so many bytes arrive, and from when on the direction is free for the next: never out of
        order.
        """
        arrives = max(now + self.delay_s + rng.uniform(0.0, self.jitter_s), free_at)
        if self.throttle > 0:
            arrives += size / self.throttle
        return arrives, arrives
