"""Which members belong to an epoch, which of them vote, and which may use a reserve. Pure.

The list of members in the operator's file has for each member the epoch from which it belongs (`since`) and,
once it was removed, the first epoch to which it does not (`until`; its entry stays until it is certain to
have ended). One member is added or removed per epoch, so that majorities of two consecutive epochs have a
voter in common.

Invariant: at no moment do two members use leases that they count by the voters of epochs two or more apart.
Proof: a member whose file is at epoch `f` refuses asks that count by epochs below `f - 1`, and has done so
since before it reports `f`. Epoch `e` is adopted only where, for each epoch `k` from the one that was
certainly adopted (or that the file gives as `settled`) up to `e - 1`, a majority of `k`'s voters is known,
for a lease by now, to have a file at `k + 1` or later. A member that counts by `j <= e - 2` needs a majority
of `j`'s voters. That has a voter in common with the majority of `j + 1`'s voters that has been at `j + 2` or
later for a lease, and has granted nothing since then to members that count by `j`. So no lease that is
counted by `j` is left. A member whose file lags by one epoch is served; one that lags by two is refused.

Invariant: the number by which a member divides the reserves is at least the number of members that may use
one. Proof: `reserve_divisor` counts all listed members, and all removed ones that are not known to have
ended; a member that was added uses its reserve only once all members added before it are known to divide
by a list that has it (`may_use_reserve`).
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
    address: tuple[str, int]  # the address at which it receives datagrams
    since: int = 1
    until: int = FOREVER  # the first epoch to which it does not belong
    ended: bool = False  # the operator states that it has ended for good
    voter: bool = True  # an even number of voters tolerates no more losses than one fewer


@dataclass(frozen=True, slots=True)
class MemberList:
    """The list of members in an operator's file."""

    epoch: int
    members: tuple[MemberEntry, ...]
    settled: int = 1  # an epoch that every member that may still run has reached

    @lru_cache(maxsize=64)  # noqa: B019 (small, frozen and few)
    def at(self, epoch: int) -> tuple[str, ...]:
        """The members of an epoch."""
        return tuple(sorted(one.name for one in self.members if one.since <= epoch < one.until))

    @lru_cache(maxsize=64)  # noqa: B019
    def voters(self, epoch: int) -> tuple[str, ...]:
        """The members of an epoch that grant slices; consecutive epochs differ by at most one."""
        return tuple(sorted(one.name for one in self.members if one.since <= epoch < one.until and one.voter))

    def validation_error(self) -> str:
        """The first error in the list; empty where there is none."""
        names = [one.name for one in self.members]
        addresses = [one.address for one in self.members]
        if len(set(names)) < len(names):
            return f"'{next(name for name in names if names.count(name) > 1)}' is listed twice"
        if len(set(addresses)) < len(addresses):
            return "an address is listed twice"
        if not 1 <= self.settled <= self.epoch:
            return "settled: 1 to the epoch"
        if any(one.since > self.epoch for one in self.members):
            return "since: past the epoch"
        if any(one.until <= one.since for one in self.members):
            return "until: not past since"
        if not self.at(self.epoch):
            return "no member is listed"
        if not self.voters(self.epoch):
            return "no voter is listed"
        for epoch in range(self.settled + 1, self.epoch + 1):
            changed = set(self.at(epoch)) ^ set(self.at(epoch - 1))
            if len(changed) > 1:
                return f"epoch {epoch}: one member at a time, not {', '.join(sorted(changed))}"
        return ""


@dataclass(slots=True)
class Membership:
    """The epoch of this member, and the known epochs of the others."""

    me: str
    lists: MemberList
    lease: float  # s, the longest of any budget
    drift: float
    kept_epoch: int  # the epoch that this member had adopted, from a folder that was kept; 0: not known
    adopted: int = 0
    # by member and epoch: since when its file is known to have reached the epoch
    observed: dict[str, dict[int, float]] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)
    _cached_divisor: int = 0  # 0: not computed yet
    _reserve_usable: bool = False  # the reserve may be used with this list; once found, it stays so

    def __post_init__(self) -> None:
        self.adopted = self.kept_epoch
        self.ended |= {one.name for one in self.lists.members if one.ended}

    def observe_epoch(self, name: str, epoch: int, now: float) -> None:
        """Record that a member reports a file at `epoch`; since before that it refuses asks that are two
        epochs behind.
        """
        since = self.observed.setdefault(name, {})
        for known in range(self.lists.settled, min(epoch, self.lists.epoch) + 1):
            since.setdefault(known, now)

    def observe_ended(self, names: Collection[str]) -> None:
        """Record that these members are reported to have ended; a report about a listed member is ignored."""
        removed = {one.name for one in self.lists.members if one.until <= self.lists.epoch}
        self.ended |= removed & set(names)
        self._cached_divisor = 0

    def step(self, now: float) -> bool:
        """Adopt the file's epoch where it is safe; returns whether it was adopted just now."""
        target = self.lists.epoch
        if self.adopted >= target:
            return False
        self.observe_epoch(self.me, target, now)
        base = max(self.adopted, self.lists.settled)
        for epoch in range(base, target):
            voters = self.lists.voters(epoch)
            wait = timing.held_for(self.lease, self.drift)
            moved_on = [
                name for name in voters if now - self.observed.get(name, {}).get(epoch + 1, now) >= wait
            ]
            if len(moved_on) < timing.majority(len(voters)):
                return False
        self.adopted = target
        return True

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the adopted epoch; none before the first."""
        return self.lists.voters(self.adopted) if self.adopted else ()

    @property
    def listed(self) -> bool:
        """Whether this member belongs to the file's epoch."""
        return self.me in self.lists.at(self.lists.epoch)

    @property
    def reserve_divisor(self) -> int:
        """The number of members by which the reserves are divided."""
        if not self._cached_divisor:
            listed = set(self.lists.at(self.lists.epoch))
            removed = {one.name for one in self.lists.members if one.until <= self.lists.epoch}
            self._cached_divisor = len(listed | (removed - self.ended))
        return self._cached_divisor

    def may_use_reserve(self) -> bool:
        """Whether all members that were added before this one divide the reserves by a list that has it."""
        self._reserve_usable = self._reserve_usable or self._all_divide_with_me()
        return self._reserve_usable

    def _all_divide_with_me(self) -> bool:
        own_entry = next((one for one in self.lists.members if one.name == self.me), None)
        if own_entry is None or not self.listed:
            return False
        earlier = [one for one in self.lists.members if one.since < own_entry.since and one.name != self.me]
        return all(
            one.name in self.ended or own_entry.since in self.observed.get(one.name, {}) for one in earlier
        )

    def reload(self, lists: MemberList) -> str:
        """Apply a new list; returns why it is refused, or empty."""
        if lists.epoch < self.lists.epoch:
            return f"epoch {lists.epoch} is behind {self.lists.epoch}"
        same_epoch = lists.epoch == self.lists.epoch
        if same_epoch and lists.at(lists.epoch) != self.lists.at(lists.epoch):
            return f"epoch {lists.epoch} had other members"
        votes = {one.name: one.voter for one in self.lists.members}
        for one in lists.members:
            if votes.get(one.name, one.voter) != one.voter:
                return f"'{one.name}' can't change its vote: remove it, and add it under another name"
        self.lists, self._cached_divisor, self._reserve_usable = lists, 0, False
        self.ended |= {one.name for one in lists.members if one.ended}
        return ""

    def places(self) -> Mapping[str, tuple[str, int]]:
        """The addresses of all listed members, and of removed ones that may still run."""
        return {one.name: one.address for one in self.lists.members if one.name not in self.ended}
