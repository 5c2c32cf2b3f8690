"""Admission of connections: who may have one, and who is evicted for another's sake. No clock, no I/O.

A front's connections are queued by activity, in each queue the one longest there first:

- silent: nothing whole has come yet, or the opening is not done;
- resting: nothing is asked; in three ranks, the first to be displaced first;
- leaving: told to go, with time to read why;
- none of them: something is asked, or an answer is owed. Such a one never goes for another's sake.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Generic, Protocol, TypeVar

RANKS = 3


class Activity(IntEnum):
    """What a connection is doing: the lower, the sooner it is evicted; BUSY never is."""

    SILENT = 0
    IDLE = 1  # and the two behind it: one for each rank
    LEAVING = IDLE + RANKS
    BUSY = LEAVING + 1


class Refusal(Enum):
    """Why a connection is not kept; the words stand in counts and logs."""

    FRONT = "front-full"
    ALL = "all-full"
    USER = "user-full"
    DESCRIPTORS = "descriptors"


class Admitted(Protocol):
    """A connection as the admission sees it."""

    activity: int  # an `Activity`, or a rank of IDLE
    since: float  # s, when `activity` was set
    user: str  # who logged in, "" for nobody


T = TypeVar("T", bound=Admitted)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How many connections, and who may be displaced."""

    most: int  # of this front
    most_per_user: int = 0  # 0: as many as there is room for
    displace: bool = True  # False: who comes last is refused
    young_s: float = 0.1  # a new one's first command, or a last answer, is surely under way so long
    min_idle_s: float = 0.0  # rest after which one may be displaced


class Shared:
    """The bound on all fronts together."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.open = 0


class Admission(Generic[T]):
    """One front's connections."""

    def __init__(self, bounds: Bounds, shared: Shared) -> None:
        self.bounds, self.shared = bounds, shared
        self.members: set[T] = set()
        self._by_activity: list[dict[T, None]] = [{} for _ in range(Activity.BUSY)]
        self._counts = [0] * (Activity.BUSY + 1)  # members by activity: there may be very many
        self.users: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self.members)

    def count(self, activity: int) -> int:
        return self._counts[activity]

    @property
    def resting(self) -> int:
        return sum(self._counts[Activity.IDLE : Activity.LEAVING])

    def need(self) -> Refusal | None:
        """What stands in the way of one more."""
        if len(self.members) >= self.bounds.most:
            return Refusal.FRONT
        return Refusal.ALL if self.shared.open >= self.shared.most else None

    def victim(self, now: float) -> T | None:
        """Who goes for the sake of a new one: None where nobody may."""
        if not self.bounds.displace:
            return None
        leaving = next(iter(self._by_activity[Activity.LEAVING]), None)
        silent = next(iter(self._by_activity[Activity.SILENT]), None)
        resting = next((c for of in self._by_activity[Activity.IDLE : Activity.LEAVING] for c in of), None)
        if resting is not None and now - resting.since < self.bounds.min_idle_s:
            resting = None
        then = now - self.bounds.young_s
        if leaving is not None and leaving.since < then:  # it has had time to read its last answer
            return leaving
        if silent is not None and silent.since < then:
            return silent
        return resting or leaving or silent

    def join(self, item: T, now: float) -> None:
        self.members.add(item)
        self._counts[item.activity] += 1
        self.shared.open += 1
        self.set_activity(item, Activity.SILENT, now)

    def set_activity(self, item: T, activity: int, now: float) -> None:
        """Move it to the end of another queue."""
        if item.activity != Activity.BUSY:
            self._by_activity[item.activity].pop(item, None)
        if item in self.members:
            self._counts[item.activity] -= 1
            self._counts[activity] += 1
        item.activity = activity
        if activity != Activity.BUSY:  # `since` tells a busy one's last rest
            item.since = now
            self._by_activity[activity][item] = None

    def log_in(self, item: T, user: str) -> Refusal | None:
        """Count it for its user, who may have no more than so many."""
        if item.user == user:
            return None
        if user and 0 < self.bounds.most_per_user <= self.users[user]:
            return Refusal.USER
        self._forget_user(item)
        item.user = user
        if user:
            self.users[user] += 1
        return None

    def make_anew(self) -> None:
        """Tables in the size that they need now: Python's don't shrink."""
        self.members = set(self.members)
        self._by_activity = [dict(of) for of in self._by_activity]

    def give_up(self, item: T) -> None:
        """Its place is free, though it may still be queued until it is closed."""
        if item in self.members:
            self.members.discard(item)
            self._counts[item.activity] -= 1
            self.shared.open -= 1
            self._forget_user(item)

    def left(self, item: T) -> None:
        self.give_up(item)
        if item.activity != Activity.BUSY:
            self._by_activity[item.activity].pop(item, None)
            item.activity = Activity.BUSY

    def _forget_user(self, item: T) -> None:
        if item.user:
            self.users[item.user] -= 1
            if not self.users[item.user]:
                del self.users[item.user]
            item.user = ""
