"""Selects the relay for the next call, and its earliest time. Pure: time and randomness are passed in.

Relays of the own zone come first. The others follow in a random order of each asker, so that the askers of
a failed relay spread over all the remaining ones. After a time-out the call is repeated at once, as a
single message may have been lost. A second time-out moves on to the next relay, also at once: time-outs are
spread over time as the calls were. While one relay after another fails, each gets only one call. Any other
failure moves on after a random pause, which grows with consecutive failures. After about `home_after_s` on
a relay of another zone a relay of the own zone is tried; if that fails, the asker returns to the previous
relay at once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from mountgauge.sharding.timing import Timing

MAX_CONSECUTIVE_TIMEOUTS = 1  # at one relay; the next one moves on to another relay


@dataclass(frozen=True, slots=True)
class RelayName:
    """A relay and its zone."""

    name: str
    zone: str


class NoRelaysError(ValueError):
    """The list of relays is empty."""


class Picker:
    """Chooses the relay to ask: the own zone first, another relay after a failure."""

    def __init__(self, relays: Sequence[RelayName], zone: str, timing: Timing, rng: Random) -> None:
        if not relays:
            raise NoRelaysError("no relays are listed")
        own = [one for one in relays if one.zone == zone]
        others = [one for one in relays if one.zone != zone]
        rng.shuffle(own)
        rng.shuffle(others)
        self.order = (*own, *others)
        self._zone, self._timing, self._rng = zone, timing, rng
        self._index = 0  # in `order`
        self._timeouts = 0  # consecutive, at the current relay
        self._previous_index: int | None = None  # set while a relay of the own zone is tried again
        self._failures = 0  # consecutive
        self._not_before = 0.0
        self._return_at: float | None = None

    @property
    def current(self) -> RelayName:
        """The relay that is asked at present."""
        return self.order[self._index]

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def ready_at(self) -> float:
        """Return the earliest time of the next call."""
        return self._not_before

    def return_to_own_zone_when_due(self, now: float) -> None:
        """Select a relay of the own zone again if the time on another zone's relay is over."""
        if self._return_at is not None and now >= self._return_at:
            self._previous_index, self._index, self._return_at = self._index, 0, None

    def succeeded(self) -> None:
        """Record an answer that could be applied."""
        self._failures = self._timeouts = 0
        self._previous_index = None

    def timed_out(self, now: float) -> bool:
        """Record that a call timed out; return whether another relay is selected because of it."""
        self._timeouts += 1
        if self._timeouts <= MAX_CONSECUTIVE_TIMEOUTS and not self.failing and self._previous_index is None:
            return False
        self.failed(now, pause=self._failures > 0)
        return True

    def failed(self, now: float, pause: bool = True) -> None:
        """Record a failed call and select the next relay, for now or for after a pause."""
        self._timeouts = 0
        if self._previous_index is not None:
            self._index, self._previous_index = self._previous_index, None
        else:
            self._failures += 1
            self._index = (self._index + 1) % len(self.order)
            pause_s = self._timing.pause_s(self._failures, self._rng.random())
            self._not_before = now + (pause_s if pause else 0.0)
        away = self.current.zone != self._zone and self.order[0].zone == self._zone
        spread = 0.5 + self._rng.random()
        self._return_at = now + self._timing.home_after_s * spread if away else None

    def wait(self, now: float, pause_s: float) -> None:
        """Keep the current relay, with a required wait before the next call."""
        self._not_before = max(self._not_before, now + pause_s)
