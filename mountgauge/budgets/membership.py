"""Who is a member at which epoch, who votes, who has a reserve. Pure.

The members' file says of each member from which epoch on it belongs (`since`) and, once it was removed, up
to which (`until`; its line stays until it surely ended). One member is added or removed an epoch, so that
majorities of two epochs that follow each other have a voter in common.

Invariant: at no moment do two members act on leases that they count by the voters of epochs two or more
apart. Proof: a member whose file is at `f` refuses asks that count by epochs below `f - 1`, from before it
says so. Epoch `e` is adopted only where for each epoch `k` from the one that was surely adopted (or that the
file calls `settled`) up to `e - 1` a majority of `k`'s voters has been heard, for a lease by now, to have a
file at `k + 1` or later. Whoever counts by `j <= e - 2` needs a majority of `j`'s voters; that has a voter
in common with the majority of `j + 1`'s that has been at `j + 2` or later for a lease, and has granted
nothing to whoever counts by `j` since. So no lease that is counted by `j` is left. A file that lags by one
epoch is served; one that lags by two is refused.

Invariant: the number by which a reserve is divided is, at each member, at least the number of members that
may act on one. Proof: `counted` has all who are listed and all who were removed and are not known to have
ended; one that was added acts on its reserve only once all of its file that came before it are known to
divide by a list that has it (`may_use_reserve`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import NamedTuple

from mountgauge.budgets import timing

FOREVER = 1 << 40


class MemberEntry(NamedTuple):
    """A member as the operator's file lists it."""

    name: str
    place: tuple[str, int]  # where it hears datagrams
    since: int = 1
    until: int = FOREVER  # the first epoch that it is no member of
    ended: bool = False  # the operator's word that it has ended for good
    voter: bool = True  # an even number of voters is no safer than one less, and bears one loss less


@dataclass(frozen=True, slots=True)
class MemberList:
    """What a file says of the members."""

    epoch: int
    members: tuple[MemberEntry, ...]
    settled: int = 1  # an epoch that every member that may still run is at, or past

    @lru_cache(maxsize=64)  # noqa: B019 (small, frozen and few)
    def at(self, epoch: int) -> tuple[str, ...]:
        """The members of an epoch."""
        return tuple(sorted(one.name for one in self.members if one.since <= epoch < one.until))

    @lru_cache(maxsize=64)  # noqa: B019
    def voters(self, epoch: int) -> tuple[str, ...]:
        """Those of them that grant slices: two epochs that follow each other differ by one at most."""
        return tuple(sorted(one.name for one in self.members if one.since <= epoch < one.until and one.voter))

    def validation_error(self) -> str:
        """What is wrong with it, in a few words; empty: nothing."""
        names = [one.name for one in self.members]
        places = [one.place for one in self.members]
        if len(set(names)) < len(names):
            return f"'{next(name for name in names if names.count(name) > 1)}' stands twice"
        if len(set(places)) < len(places):
            return "an address stands twice"
        if not 1 <= self.settled <= self.epoch:
            return "settled: 1 to the epoch"
        if any(one.since > self.epoch for one in self.members):
            return "since: past the epoch"
        if any(one.until <= one.since for one in self.members):
            return "until: not past since"
        if not self.at(self.epoch):
            return "nobody is listed"
        if not self.voters(self.epoch):
            return "nobody votes"
        for epoch in range(self.settled + 1, self.epoch + 1):
            changed = set(self.at(epoch)) ^ set(self.at(epoch - 1))
            if len(changed) > 1:
                return f"epoch {epoch}: one member at a time, not {', '.join(sorted(changed))}"
        return ""


@dataclass(slots=True)
class Membership:
    """The epoch that this member is at, and what it knows of the others' epochs."""

    me: str
    lists: MemberList
    lease: float  # s, the longest of any budget
    drift: float
    sure: int  # the epoch that this member surely was at, from a folder that is kept; 0: not known
    adopted: int = 0
    heard: dict[str, dict[int, float]] = field(default_factory=dict)  # by member, epoch: since when past it
    ended: set[str] = field(default_factory=set)
    _counted: int = 0  # 0: to be counted anew
    _reserve: bool = False  # it was found that the reserve may be used, by this file

    def __post_init__(self) -> None:
        self.adopted = self.sure
        self.ended |= {one.name for one in self.lists.members if one.ended}

    def hear(self, name: str, epoch: int, now: float) -> None:
        """A member says at which epoch its file is; from before that on it refuses what is two behind."""
        since = self.heard.setdefault(name, {})
        for known in range(self.lists.settled, min(epoch, self.lists.epoch) + 1):
            since.setdefault(known, now)

    def hear_ended(self, names: Collection[str]) -> None:
        removed = {one.name for one in self.lists.members if one.until <= self.lists.epoch}
        self.ended |= removed & set(names)
        self._counted = 0

    def step(self, now: float) -> bool:
        """Adopt the file's epoch where that may be; whether it was adopted just now."""
        target = self.lists.epoch
        if self.adopted >= target:
            return False
        self.hear(self.me, target, now)
        base = max(self.adopted, self.lists.settled)
        for epoch in range(base, target):
            voters = self.lists.voters(epoch)
            wait = timing.held_for(self.lease, self.drift)
            sure = [name for name in voters if now - self.heard.get(name, {}).get(epoch + 1, now) >= wait]
            if len(sure) < timing.majority(len(voters)):
                return False
        self.adopted = target
        return True

    @property
    def voters(self) -> tuple[str, ...]:
        return self.lists.voters(self.adopted) if self.adopted else ()

    @property
    def listed(self) -> bool:
        return self.me in self.lists.at(self.lists.epoch)

    @property
    def counted(self) -> int:
        """By how many a reserve is divided."""
        if not self._counted:
            now = set(self.lists.at(self.lists.epoch))
            left = {one.name for one in self.lists.members if one.until <= self.lists.epoch}
            self._counted = len(now | (left - self.ended))
        return self._counted

    def may_use_reserve(self) -> bool:
        self._reserve = self._reserve or self._find_reserve()
        return self._reserve

    def _find_reserve(self) -> bool:
        mine = next((one for one in self.lists.members if one.name == self.me), None)
        if mine is None or not self.listed:
            return False
        before = [one for one in self.lists.members if one.since < mine.since and one.name != self.me]
        return all(one.name in self.ended or mine.since in self.heard.get(one.name, {}) for one in before)

    def reload(self, lists: MemberList) -> str:
        """A new file; why it is not taken, or empty."""
        if lists.epoch < self.lists.epoch:
            return f"epoch {lists.epoch} is behind {self.lists.epoch}"
        same = lists.epoch == self.lists.epoch
        if same and lists.at(lists.epoch) != self.lists.at(lists.epoch):
            return f"epoch {lists.epoch} had other members"
        votes = {one.name: one.voter for one in self.lists.members}
        for one in lists.members:
            if votes.get(one.name, one.voter) != one.voter:
                return f"'{one.name}' voted otherwise: remove it, and add it under another name"
        self.lists, self._counted, self._reserve = lists, 0, False
        self.ended |= {one.name for one in lists.members if one.ended}
        return ""

    def places(self) -> Mapping[str, tuple[str, int]]:
        """Whom to speak to: all who are listed now, and those removed that may still run."""
        return {one.name: one.place for one in self.lists.members if one.name not in self.ended}
