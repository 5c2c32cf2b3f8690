"""When the list of endpoints was last shown to be the newest, from the calls for it alone.

For the run-time check (`send_monitor`): it knows nothing of the lease that a sender keeps on its list, and
has none of its margins. Pure: no I/O, no clock; times are seconds of one monotonic clock. The figures are the
platform's: a change counts as told `NOTIFIED_S` after discovery had it and could be reached, or four times
`askWithin` after it, if that is less; calls may go for the grace of a drain after that.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rillspindle.interface import Settings

NOTIFIED_S = 6.0
FAILED_FACTOR = 4  # times `askWithin`
SLACK_S = 0.05  # by which every time limit is longer on sockets
ROUNDING_S = 0.01  # by which a wait may seem shorter to the one who waits


@dataclass(frozen=True, slots=True)
class AnsweredCall:
    """A call for the list that was answered in full, and whose answer was taken in."""

    made_at: float
    wait_s: float  # that it asked discovery to wait for something newer
    newer: bool  # something newer came
    answered_at: float

    @property
    def known_at(self) -> float:
        """All that discovery had up to this moment is known."""
        waited = self.answered_at - self.made_at >= self.wait_s - ROUNDING_S
        return self.made_at + self.wait_s if waited and not self.newer else self.made_at


class ListEvidence:
    """What the calls of one sender have shown."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._newest = -math.inf
        self._lost_at = math.inf

    def retune(self, settings: Settings) -> None:
        """Other settings from now on."""
        self._settings = settings

    def answered(self, call: AnsweredCall) -> None:
        """A call has been answered."""
        self._newest = max(self._newest, call.known_at)
        if call.made_at >= self._lost_at:
            self._lost_at = math.inf

    def told_nothing(self, at: float) -> None:
        """An end of a call that says that discovery could not be reached then."""
        self._newest = max(self._newest, at)

    def answer_lost(self, at: float) -> None:
        """A part of an answer had arrived, and nothing of it was taken in."""
        self._lost_at = at

    def sends_until(self) -> float:
        """Up to when calls may go by the list."""
        notified_s = min(NOTIFIED_S, FAILED_FACTOR * self._settings.ask_within)
        grace_s = self._settings.drain_grace + SLACK_S
        return min(self._newest + notified_s, self._lost_at) + grace_s
