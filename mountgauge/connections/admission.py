"""Admission of connections: which are accepted, and which are evicted for a new one. No clock, no I/O.

A front's connections are queued by activity, each queue ordered by time of entry, oldest first:

- silent: no complete command has arrived yet, or the AMQP opening is not complete;
- idle: no request is open; in three ranks, the lowest rank is displaced first;
- leaving: the connection is being closed, and its client has time to read why;
- busy connections, with an open request or an unsent answer, are in no queue and are never evicted.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Generic, Protocol, TypeVar

RANKS = 3


class Activity(IntEnum):
    """What a connection is doing. BUSY connections are never evicted."""

    SILENT = 0
    IDLE = 1  # the lowest rank; the next two values are the higher ranks
    LEAVING = IDLE + RANKS
    BUSY = LEAVING + 1


class Rejection(Enum):
    """Why a connection is rejected; the values appear in counters and logs."""

    FRONT = "front-full"
    ALL = "all-full"
    USER = "user-full"
    DESCRIPTORS = "descriptors"


class Admitted(Protocol):
    """The attributes of a connection that admission uses."""

    activity: int  # an `Activity`, or IDLE plus a rank
    since: float  # s, when `activity` was set
    user: str  # the logged-in user, "" before login


T = TypeVar("T", bound=Admitted)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How many connections are accepted, and which may be displaced."""

    most: int  # connections of this front
    most_per_user: int = 0  # 0: no limit per user
    displace: bool = True  # False: new connections are rejected instead
    grace_s: float = 0.1  # for a new connection's first command, or to read a last answer, before eviction
    min_idle_s: float = 0.0  # idle time before a connection may be displaced


class SharedLimit:
    """The limit on the connections of all fronts together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.open = 0


class Admission(Generic[T]):
    """One front's connections."""

    def __init__(self, bounds: Bounds, shared: SharedLimit) -> None:
        self.bounds, self.shared = bounds, shared
        self.members: set[T] = set()
        self._by_activity: list[dict[T, None]] = [{} for _ in range(Activity.BUSY)]
        # Members by activity, updated at each change because there may be too many to count.
        self._counts = [0] * (Activity.BUSY + 1)
        self.users: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self.members)

    def count(self, activity: int) -> int:
        """Members with this activity (for IDLE: of the lowest rank)."""
        return self._counts[activity]

    @property
    def idle(self) -> int:
        """Idle members of all ranks."""
        return sum(self._counts[Activity.IDLE : Activity.LEAVING])

    def rejection_reason(self) -> Rejection | None:
        """Which limit one more connection would exceed; None if there is capacity."""
        if len(self.members) >= self.bounds.most:
            return Rejection.FRONT
        return Rejection.ALL if self.shared.open >= self.shared.limit else None

    def eviction_candidate(self, now: float) -> T | None:
        """The connection to evict for a new one; None if none may be evicted.

        First a leaving or a silent connection past the grace period, then an idle one by rank, then a leaving
        or a silent one within the grace period.
        """
        if not self.bounds.displace:
            return None
        leaving = next(iter(self._by_activity[Activity.LEAVING]), None)
        silent = next(iter(self._by_activity[Activity.SILENT]), None)
        idle = next(
            (item for queue in self._by_activity[Activity.IDLE : Activity.LEAVING] for item in queue), None
        )
        if idle is not None and now - idle.since < self.bounds.min_idle_s:
            idle = None
        settled_before = now - self.bounds.grace_s
        # A leaving connection goes first once its client has had time to read the last answer.
        if leaving is not None and leaving.since < settled_before:
            return leaving
        if silent is not None and silent.since < settled_before:
            return silent
        return idle or leaving or silent

    def add(self, item: T, now: float) -> None:
        """Add a new connection; it is SILENT at first."""
        self.members.add(item)
        self._counts[item.activity] += 1
        self.shared.open += 1
        self.set_activity(item, Activity.SILENT, now)

    def set_activity(self, item: T, activity: int, now: float) -> None:
        """Record the new activity and move the connection to the end of its queue."""
        if item.activity != Activity.BUSY:
            self._by_activity[item.activity].pop(item, None)
        if item in self.members:
            self._counts[item.activity] -= 1
            self._counts[activity] += 1
        item.activity = activity
        if activity != Activity.BUSY:  # a busy connection's `since` still shows when it was last idle
            item.since = now
            self._by_activity[activity][item] = None

    def log_in(self, item: T, user: str) -> Rejection | None:
        """Count the connection for its user, unless the limit per user is reached."""
        if item.user == user:
            return None
        if user and 0 < self.bounds.most_per_user <= self.users[user]:
            return Rejection.USER
        self._log_out(item)
        item.user = user
        if user:
            self.users[user] += 1
        return None

    def rebuild(self) -> None:
        """Copy the containers: Python's sets and dicts keep their largest size after deletions."""
        self.members = set(self.members)
        self._by_activity = [dict(queue) for queue in self._by_activity]

    def release(self, item: T) -> None:
        """Free the connection's slot; it may stay queued until it is closed."""
        if item in self.members:
            self.members.discard(item)
            self._counts[item.activity] -= 1
            self.shared.open -= 1
            self._log_out(item)

    def remove(self, item: T) -> None:
        """Forget a connection that is closed."""
        self.release(item)
        if item.activity != Activity.BUSY:
            self._by_activity[item.activity].pop(item, None)
            item.activity = Activity.BUSY

    def _log_out(self, item: T) -> None:
        if item.user:
            self.users[item.user] -= 1
            if not self.users[item.user]:
                del self.users[item.user]
            item.user = ""
