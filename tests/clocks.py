"""Clocks for tests, which advance only explicitly: both together, or the wall clock alone."""

from __future__ import annotations


class SteppedClocks:
    """A monotonic clock, a wall clock that is `ahead` of it and can be set, and the id of the boot."""

    def __init__(self, time: float = 100.0, ahead: float = 1_000_000.0, boot: str = "one") -> None:
        self.time, self.ahead, self._boot = time, ahead, boot

    def now(self) -> float:
        """Return the monotonic time."""
        return self.time

    def wall(self) -> float:
        """Return the wall-clock time."""
        return self.time + self.ahead

    def boot(self) -> str:
        """Return the id of the boot."""
        return self._boot

    def step(self, seconds: float) -> None:
        """Step the wall clock by so many seconds."""
        self.ahead += seconds
