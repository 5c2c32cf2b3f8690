"""Measures how long changes take to be in force at senders, judged by each sender's own state.

A change is pending at a sender from the time at which discovery has it until that sender's own state includes
it, or a later change of the same subject. Time during which a sender has no path to discovery does not count:
its clock restarts when there is a path again. A sender whose process has ended is not waited for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped,unused-ignore]

_MIN_US, _MAX_US, _DIGITS = 1, 3_600_000_000, 3


class Histogram:
    """An HDR histogram of seconds, stored in microseconds with three significant digits."""

    def __init__(self) -> None:
        from hdrh.histogram import HdrHistogram as Hdr

        self._hdr: HdrHistogram = Hdr(_MIN_US, _MAX_US, _DIGITS)

    def record(self, seconds: float) -> None:
        """Add one value."""
        self._hdr.record_value(min(_MAX_US, max(_MIN_US, round(seconds * 1e6))))

    @property
    def count(self) -> int:
        """The number of values."""
        return int(self._hdr.get_total_count())

    def quantile(self, share: float) -> float:
        """The value in seconds below which this share of the values lies; 0 if there are none."""
        return float(self._hdr.get_value_at_percentile(share * 100)) / 1e6 if self.count else 0.0

    @property
    def worst(self) -> float:
        """The largest value in seconds; 0 if there are none."""
        return float(self._hdr.get_max_value()) / 1e6 if self.count else 0.0

    def encoded(self) -> str:
        """The histogram in the compressed encoding of HDR histograms."""
        return bytes(self._hdr.encode()).decode()

    def add_encoded(self, text: str) -> None:
        """Add the values of another, encoded histogram."""
        self._hdr.decode_and_add(text.encode())

    def points(self, shares: Iterable[float]) -> list[tuple[float, float]]:
        """Pairs of share and value in seconds, for a chart."""
        return [(share, self.quantile(share)) for share in shares]


@dataclass(slots=True, eq=False)
class PendingChange:
    """One change of a subject, and the senders that have not applied it yet."""

    number: int
    subject: object
    applied: Callable[[int], bool]  # whether this sender's own state includes it
    since: dict[int, float] = field(default_factory=dict)  # start of the clock, by sender
    after_heal: set[int] = field(default_factory=set)  # senders whose clock was restarted


class PropagationTracker:
    """Tracks all changes of a run. A topic groups the subjects that one update of a sender may concern."""

    def __init__(self) -> None:
        self.steady = Histogram()
        self.after_heal = Histogram()
        self.not_waited_for = 0  # pairs whose sender ended, or stopped following, before the change arrived
        self._pending: dict[Any, list[PendingChange]] = {}

    def changed(
        self, topic: object, subject: object, number: int, waiting: Iterable[int], now: float,
        applied: Callable[[int], bool],
    ) -> None:  # fmt: skip
        """Discovery has a change now; `waiting` are the senders that have to apply it."""
        change = PendingChange(number, subject, applied, dict.fromkeys(waiting, now))
        if change.since:
            self._pending.setdefault(topic, []).append(change)

    def updated(self, sender: int, topic: object, now: float) -> None:
        """A sender's state of a topic has changed: record the pending changes that it now includes."""
        pending = self._pending.get(topic)
        if pending is None:
            return
        for change in pending:
            if sender in change.since and change.applied(sender):
                started_at = change.since.pop(sender)
                histogram = self.after_heal if sender in change.after_heal else self.steady
                histogram.record(now - started_at)
        self._drop_finished(topic)

    def unfollowed(self, sender: int, topic: object) -> None:
        """A sender no longer follows this topic."""
        for change in self._pending.get(topic, ()):
            if change.since.pop(sender, None) is not None:
                self.not_waited_for += 1
        self._drop_finished(topic)

    def process_ended(self, sender: int) -> None:
        """A sender's process has ended: its pending changes are not waited for."""
        for topic in list(self._pending):
            self.unfollowed(sender, topic)

    def restart_clock(self, senders: set[int], now: float) -> None:
        """These senders have a path to discovery again: their pending changes count from now on."""
        for changes in self._pending.values():
            for change in changes:
                for sender in senders & change.since.keys():
                    change.since[sender] = now
                    change.after_heal.add(sender)

    def topics(self) -> list[object]:
        """The topics with pending changes."""
        return list(self._pending)

    def pending(self) -> int:
        """The number of pairs of a change and a sender that are pending."""
        return sum(len(change.since) for changes in self._pending.values() for change in changes)

    def _drop_finished(self, topic: object) -> None:
        unfinished = [change for change in self._pending.get(topic, ()) if change.since]
        if unfinished:
            self._pending[topic] = unfinished
        else:
            self._pending.pop(topic, None)
