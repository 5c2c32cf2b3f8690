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
OUT_SHARE = 1 / 8  # of its wait, after which a watch that is ended was out
TAKEN_SHARE = 5 / 8  # of its wait, up to which it may have been turned away as a new call all the same


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


@dataclass(frozen=True, slots=True)
class RefusedCall:
    """A call for the list that discovery has ended with a refusal in words or a reset."""

    made_at: float
    wait_s: float
    ended_at: float
    in_words: bool

    @property
    def was_out(self) -> bool:
        """Whether it was a watch that discovery let wait: it ends watches as it goes down."""
        lasted_s = self.ended_at - self.made_at
        return OUT_SHARE * self.wait_s <= lasted_s < self.wait_s - ROUNDING_S

    @property
    def known_at(self) -> float:
        """From when on it counts, in an outage."""
        turned_away = self.ended_at - self.made_at < TAKEN_SHARE * self.wait_s
        return self.made_at if turned_away else self.ended_at


class ListEvidence:
    """What the calls of one sender have shown."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._newest = -math.inf
        self._lost_at = math.inf
        self._down = False  # a watch was ended, and each call since refused
        self._began_at: float | None = None

    def started(self, at: float) -> None:
        """The process begins to ask for lists."""
        if self._began_at is None:
            self._began_at = at

    def apply_settings(self, settings: Settings) -> None:
        """Other settings from now on."""
        self._settings = settings

    def answered(self, call: AnsweredCall) -> None:
        """A call has been answered."""
        self._newest = max(self._newest, call.known_at)
        self._down = False
        if call.made_at >= self._lost_at:
            self._lost_at = math.inf

    def connection_refused(self, at: float) -> None:
        """Discovery could not be reached then; an agent can't be down."""
        if self._settings.subscribe:
            self._newest = max(self._newest, at)

    def refused(self, call: RefusedCall) -> None:
        """Discovery has ended a call. That it could not be reached is shown by a watch that was ended, and
        by each refusal behind it; a 503 alone may come from one that has too many calls. It leaves a new
        process the list that it was started with, as of then.
        """
        self._down = self._down or call.was_out
        if not self._settings.subscribe:
            return
        if self._down or not call.in_words:
            self._newest = max(self._newest, call.known_at)
        elif self._began_at is not None:
            self._newest = max(self._newest, self._began_at)

    def unanswered(self) -> None:
        """A call has not been answered in time: discovery, if it was down, may be back."""
        self._down = False

    def answer_lost(self, at: float) -> None:
        """A part of an answer had arrived, and nothing of it was taken in."""
        self._lost_at = at

    def sends_until(self) -> float:
        """Up to when calls may go by the list."""
        notified_s = min(NOTIFIED_S, FAILED_FACTOR * self._settings.ask_within)
        grace_s = self._settings.drain_grace + SLACK_S
        return min(self._newest + notified_s, self._lost_at) + grace_s
