"""A test's clocks, which only move when told to: both together, or the wall clock alone."""

from __future__ import annotations


class SteppedClocks:
    """The monotonic clock is real time here; the wall clock is `ahead` of it, and can be set."""

    def __init__(self, time: float = 100.0, ahead: float = 1_000_000.0, boot: str = "one") -> None:
        self.time, self.ahead, self._boot = time, ahead, boot

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time + self.ahead

    def boot(self) -> str:
        return self._boot

    def step(self, seconds: float) -> None:
        """The wall clock is set."""
        self.ahead += seconds
