"""Which relay is asked next, and when. Pure: time and randomness are handed in.

A relay of the own zone comes first. The others follow in an order of each asker's own, so that the askers
of a relay that is lost spread over all that are left. A call that falls silent may have been lost alone, and
is made again at once; a second silence moves on to the next relay, at once too, as silences are as spread as
the calls were. While one relay after another fails, each gets one call. Any other failure moves on after a
pause drawn at random. Pauses grow while one after another fails. After `home_after_s` on a relay of another
zone the own one is tried; where that fails, it goes on at once where it was.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from mountgauge.sharding.timing import Timing

SILENCES_BORNE = 1  # in a row, before another relay is asked


@dataclass(frozen=True, slots=True)
class RelayName:
    """A relay and the zone that it serves in."""

    name: str
    zone: str


class NoRelaysError(ValueError):
    """There is none to ask."""


class Picker:
    """Chooses the relay to ask: those of the own zone first, another one after a failure."""

    def __init__(self, relays: Sequence[RelayName], zone: str, timing: Timing, rng: Random) -> None:
        if not relays:
            raise NoRelaysError("no relays are listed")
        own = [one for one in relays if one.zone == zone]
        others = [one for one in relays if one.zone != zone]
        rng.shuffle(own)
        rng.shuffle(others)
        self.order = (*own, *others)
        self._zone, self._timing, self._rng = zone, timing, rng
        self._place = 0
        self._silences = 0  # in a row
        self._left_for_home: int | None = None  # the place that was left to try the own zone
        self._failures = 0  # in a row
        self._not_before = 0.0
        self._home_at: float | None = None

    @property
    def current(self) -> RelayName:
        return self.order[self._place]

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def ready_at(self) -> float:
        """When the next call may be made."""
        return self._not_before

    def go_home_when_due(self, now: float) -> None:
        """Try a relay of the own zone again."""
        if self._home_at is not None and now >= self._home_at:
            self._left_for_home, self._place, self._home_at = self._place, 0, None

    def succeeded(self) -> None:
        self._failures = self._silences = 0
        self._left_for_home = None

    def silent(self, now: float) -> bool:
        """A call was given up; whether that was the end of this relay for now."""
        self._silences += 1
        if self._silences <= SILENCES_BORNE and not self.failing and self._left_for_home is None:
            return False
        self.failed(now, pause=self._failures > 0)
        return True

    def failed(self, now: float, pause: bool = True) -> None:
        """Move on to the next one."""
        self._silences = 0
        if self._left_for_home is not None:
            self._place, self._left_for_home = self._left_for_home, None
        else:
            self._failures += 1
            self._place = (self._place + 1) % len(self.order)
            pause_s = self._timing.pause_s(self._failures, self._rng.random())
            self._not_before = now + (pause_s if pause else 0.0)
        away = self.current.zone != self._zone and self.order[0].zone == self._zone
        spread = 0.5 + self._rng.random()
        self._home_at = now + self._timing.home_after_s * spread if away else None

    def wait(self, now: float, pause_s: float) -> None:
        """Stay, and come again after a told wait."""
        self._not_before = max(self._not_before, now + pause_s)
