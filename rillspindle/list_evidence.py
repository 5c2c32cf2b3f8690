"""When the list of endpoints was last confirmed as the newest, derived from the list calls alone.

For the run-time check (`send_monitor`): independent of the lease that a sender keeps on its list, and without
its margins. Pure: no I/O, no clock; times are seconds of one monotonic clock. The platform's terms: a change
counts as notified `NOTIFIED_S` after discovery had it and was reachable, or four times `askWithin` after it,
if that is less; calls may begin until the drain grace period after that.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rillspindle.interface import Settings

NOTIFIED_S = 6.0
FAILED_FACTOR = 4  # times `askWithin`
SLACK_S = 0.05  # added to every time limit on sockets
ROUNDING_S = 0.01  # by which a wait may be measured as shorter
MIN_WATCH_SHARE = 1 / 8  # of its wait, after which a call that is ended was a waiting watch
MAX_REJECTION_SHARE = 5 / 8  # of its wait, up to which the call may still have been rejected as a new one


@dataclass(frozen=True, slots=True)
class AnsweredCall:
    """A list call that was answered completely, and whose answer was applied."""

    made_at: float
    wait_s: float  # for which discovery was asked to wait for changes
    newer: bool  # the answer contained changes
    answered_at: float

    @property
    def confirmed_at(self) -> float:
        """Everything that discovery had up to this time is known."""
        waited = self.answered_at - self.made_at >= self.wait_s - ROUNDING_S
        return self.made_at + self.wait_s if waited and not self.newer else self.made_at


@dataclass(frozen=True, slots=True)
class RefusedCall:
    """A list call that discovery ended with an error answer or a reset."""

    made_at: float
    wait_s: float
    ended_at: float
    has_answer: bool

    @property
    def was_waiting(self) -> bool:
        """Whether it was a waiting watch: discovery ends watches when it goes down."""
        lasted_s = self.ended_at - self.made_at
        return MIN_WATCH_SHARE * self.wait_s <= lasted_s < self.wait_s - ROUNDING_S

    @property
    def confirmed_at(self) -> float:
        """The time that it confirms during an outage."""
        rejected = self.ended_at - self.made_at < MAX_REJECTION_SHARE * self.wait_s
        return self.made_at if rejected else self.ended_at


class ListEvidence:
    """The evidence from the list calls of one sender."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._newest = -math.inf
        self._lost_at = math.inf
        self._down = False  # a watch was ended, and each call since was refused
        self._start_list_confirmed_at = -math.inf

    def started(self, at: float, list_confirmed_at: float | None = None) -> None:
        """The process starts to request lists. `list_confirmed_at`: when the list that it was started with
        was last confirmed; None if that is unknown.
        """
        if list_confirmed_at is not None:
            self._start_list_confirmed_at = min(at, list_confirmed_at)

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self._settings = settings

    def answered(self, call: AnsweredCall) -> None:
        """A call was answered."""
        self._newest = max(self._newest, call.confirmed_at)
        self._down = False
        if call.made_at >= self._lost_at:
            self._lost_at = math.inf

    def connection_refused(self, at: float) -> None:
        """Discovery refused a connection. Counts only with a subscription: an agent can't be down."""
        if self._settings.subscribe:
            self._newest = max(self._newest, at)

    def refused(self, call: RefusedCall) -> None:
        """Discovery ended a call. A watch that was ended shows an outage, and so does each refusal after it.
        A 503 alone may mean too many calls: it confirms only the list that a new process started with, as of
        when that was last confirmed.
        """
        self._down = self._down or call.was_waiting
        if not self._settings.subscribe:
            return
        if self._down or not call.has_answer:
            self._newest = max(self._newest, call.confirmed_at)
        else:
            self._newest = max(self._newest, self._start_list_confirmed_at)

    def unanswered(self) -> None:
        """A call was not answered in time: if discovery was down, it may be up again."""
        self._down = False

    def answer_lost(self, at: float) -> None:
        """An answer arrived incomplete, and nothing of it was applied."""
        self._lost_at = at

    def sends_allowed_until(self) -> float:
        """Until when calls may begin by the list."""
        notified_s = min(NOTIFIED_S, FAILED_FACTOR * self._settings.ask_within)
        grace_s = self._settings.drain_grace + SLACK_S
        return min(self._newest + notified_s, self._lost_at) + grace_s
