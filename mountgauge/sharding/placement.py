"""Which members hold which shard: a table that follows from the one before and the members' change.

The first table is worked out afresh (`first_table`): each shard on as many groups as it has replicas, each
group and member with its fair load. From then on a change of the members moves what it must: the replicas
of those that are taken out, to whoever has the least for its weight; to a newcomer its fair load, from
whoever has the most; and what is past `max_load`. All of it is worked out from the table and the file
alone, so that each relay comes to the same moves in the same order. A `revision` is the number of moves that
are done.

A group is a zone. Where there are fewer zones than replicas, each zone is divided into groups, so that the
replicas of a shard are on different members, and on all zones.

How it is driven: `adopt` a newer members' file; `step` every so often while there is something `pending`,
which names the members that have news. `news` is what an asker is told.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from operator import itemgetter
from random import Random

from mountgauge.sharding.fair_loads import group_loads, round_shares
from mountgauge.sharding.members import FOREVER, Member, MemberFile, MemberFileError
from mountgauge.sharding.messages import PlacedShard, PlacementUpdate
from mountgauge.sharding.rebalance import Balance, Move, Placed, Table

DEFAULT_REPLICAS = 3
DEFAULT_STEP_MOVES = 256
_SEED = 31  # of the first table, on all relays


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How many shards and replicas there are, and how many move in one step."""

    shard_count: int
    replicas: int = DEFAULT_REPLICAS
    step_moves: int = DEFAULT_STEP_MOVES  # replicas that move in one step


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """All that a placement is: what a relay keeps, or gives to one that starts anew."""

    epoch: int
    revision: int
    members: tuple[Member, ...]  # of the epoch
    groups: tuple[tuple[str, str], ...]  # member and its group
    table: tuple[tuple[str, ...], ...]  # by shard: its replicas, now
    pending: tuple[Move, ...]


def groups_per_zone(zones: int, replicas: int) -> int:
    """1 where there are as many zones as replicas."""
    return -(-replicas // zones)


def group_name(zone: str, part: int) -> str:
    """The name of one group of members of a zone."""
    return f"{zone}/{part}"


def lightest_group(zone: str, per_zone: int, weights: Mapping[str, int]) -> str:
    """The group of a zone that a newcomer goes to."""
    names = [group_name(zone, part) for part in range(per_zone)]
    return min(names, key=lambda name: (weights.get(name, 0), name))


def assign_groups(members: Iterable[Member], replicas: int) -> dict[str, Placed]:
    """Each member's group, afresh: the groups of a zone come out even."""
    ordered = sorted(members, key=lambda one: one.name)
    per_zone = groups_per_zone(len({one.zone for one in ordered}), replicas)
    weights: dict[str, int] = {}
    found = {}
    for one in ordered:
        group = lightest_group(one.zone, per_zone, weights)
        weights[group] = weights.get(group, 0) + one.weight_units
        found[one.name] = Placed(one.weight_units, group)
    return found


def first_table(members: Mapping[str, Placed], settings: PlacementSettings) -> Table:
    """A table without one before: each load is the fair one, rounded.

    Groups are drawn for one shard after another by systematic sampling (Madow, 1949): each with the part of
    the shards left that it still has to take, which is 1 at most, so none is drawn twice for a shard and each
    comes out at its load.
    """
    rng = Random(_SEED)
    weights: dict[str, int] = {}
    by_group: dict[str, dict[str, int]] = {}
    for name in sorted(members):
        one = members[name]
        weights[one.group] = weights.get(one.group, 0) + one.weight
        by_group.setdefault(one.group, {})[name] = one.weight
    count, replicas = settings.shard_count, min(settings.replicas, len(weights))
    left = round_shares(group_loads(weights, count, replicas), count * replicas)
    turns = {group: _turns(by_group[group], left[group], rng) for group in sorted(left)}
    return [
        [turns[group].pop() for group in _draw_groups(left, count - shard, replicas, rng)]
        for shard in range(count)
    ]


def _turns(weights: Mapping[str, int], load: int, rng: Random) -> list[str]:
    """The members of a group, each as often as it takes a replica, shuffled."""
    whole = sum(weights.values())
    parts = round_shares({name: load * weight / whole for name, weight in weights.items()}, load)
    found = [name for name, part in parts.items() for _ in range(part)]
    for last in range(len(found) - 1, 0, -1):
        other = int(rng.random() * (last + 1))
        found[last], found[other] = found[other], found[last]
    return found


def _draw_groups(left: dict[str, int], shards_left: int, replicas: int, rng: Random) -> list[str]:
    """Groups for one shard; what they have left to take is counted down."""
    order = sorted(left, key=lambda _: rng.random())
    mark, summed = int(rng.random() * shards_left), 0
    found = []
    for name in order:
        summed += left[name]
        if summed > mark:
            found.append(name)
            mark += shards_left
    for name in found:
        left[name] -= 1
    assert len(found) == replicas
    return found


class Placement:
    """Which members hold which shard, brought from epoch to epoch in small steps."""

    def __init__(self, file: MemberFile, settings: PlacementSettings) -> None:
        """Worked out from `base_epoch` on, with all that has changed since done."""
        self.settings = settings
        self.epoch = file.base_epoch
        self.revision = 0
        self._members = {one.name: one for one in map(_nature, file.at(file.base_epoch))}
        placed = assign_groups(self._members.values(), settings.replicas)
        self._load_tables(first_table(placed, settings), (), placed)
        self.adopt(file)
        self._apply(len(self._pending))

    @classmethod
    def restore(cls, checkpoint: Checkpoint, settings: PlacementSettings) -> Placement:
        """As it was when the checkpoint was made."""
        found = cls.__new__(cls)
        found.settings, found.epoch, found.revision = settings, checkpoint.epoch, checkpoint.revision
        found._members = {one.name: one for one in checkpoint.members}
        groups = dict(checkpoint.groups)
        placed = {name: Placed(one.weight_units, groups[name]) for name, one in found._members.items()}
        found._load_tables([list(names) for names in checkpoint.table], checkpoint.pending, placed)
        return found

    def checkpoint(self) -> Checkpoint:
        placed = sorted(self._balance.members.items(), key=itemgetter(0))
        return Checkpoint(
            self.epoch, self.revision, tuple(self._members[name] for name, _ in placed),
            tuple((name, one.group) for name, one in placed),
            tuple(map(tuple, self._table)), tuple(self._pending),
        )  # fmt: skip

    def _load_tables(self, table: Table, pending: Iterable[Move], placed: Mapping[str, Placed]) -> None:
        self._table = table  # as it is now
        self._pending = deque(pending)
        target = [list(names) for names in table]  # with all that is pending done
        for move in self._pending:
            move.apply(target)
        self._balance = Balance(target, placed, self._replicas(placed))
        self._zones = Counter(one.zone for one in self._members.values())
        self._shards: dict[str, set[int]] = {name: set() for name in self._members}
        for shard, names in enumerate(table):
            for name in names:
                self._shards.setdefault(name, set()).add(shard)
        self._changed = dict.fromkeys(self._shards, self.revision)

    def _replicas(self, placed: Mapping[str, Placed]) -> int:
        return min(self.settings.replicas, len({one.group for one in placed.values()}))

    # Changes

    @property
    def pending(self) -> int:
        """Moves that are still to be done."""
        return len(self._pending)

    def adopt(self, file: MemberFile) -> None:
        """Take a newer file; what moves because of it is pending then."""
        if file.epoch < self.epoch:
            raise MemberFileError(f"epoch went back from {self.epoch} to {file.epoch}")
        if file.base_epoch > self.epoch:
            raise MemberFileError(
                f"base_epoch {file.base_epoch}: the placement here is of epoch {self.epoch}, and needs "
                "a checkpoint of another relay"
            )
        self._check_history(file)
        for epoch in range(self.epoch + 1, file.epoch + 1):
            self._pending += self._change(epoch, file)

    def _check_history(self, file: MemberFile) -> None:
        """Two files that name an epoch alike must name its members alike."""
        alike = 0
        for one in file.members:
            if one.since <= self.epoch < one.until:
                known = self._members.get(one.name)
                if known is None or known.zone != one.zone or known.weight != one.weight:
                    raise MemberFileError(f"epoch {self.epoch}: member {one.name!r} is not as it was")
                alike += 1
        if alike != len(self._members):
            raise MemberFileError(f"epoch {self.epoch} has fewer members than it had")

    def _change(self, epoch: int, file: MemberFile) -> list[Move]:
        per_zone = self._groups_per_zone()
        lines = [one for one in file.members if one.since == epoch or one.until == epoch]
        before = {name: self._members.pop(name, None) for name in {one.name for one in lines}}
        after = {one.name: _nature(one) for one in lines if one.belongs(epoch)}
        self._members.update(after)
        self._zones.subtract(one.zone for one in before.values() if one is not None)
        self._zones.update(one.zone for one in after.values())
        self._zones = +self._zones  # without those that have nobody left
        self.epoch = epoch
        if self._groups_per_zone() != per_zone:
            return self._regroup(assign_groups(self._members.values(), self.settings.replicas))
        self._change_balance(before, per_zone)
        if self._replicas(self._balance.members) != self._balance.replicas:
            return self._regroup(self._balance.members)
        return self._balance.settle()

    def _regroup(self, placed: Mapping[str, Placed]) -> list[Move]:
        """Groups, or their number, have changed: each shard is looked at."""
        self._balance = Balance(self._balance.table, placed, self._replicas(placed))
        return self._balance.settle()

    def _groups_per_zone(self) -> int:
        return groups_per_zone(len(self._zones), self.settings.replicas)

    def _change_balance(self, before: Mapping[str, Member | None], per_zone: int) -> None:
        balance = self._balance
        for name in sorted(before):
            old, new = before[name], self._members.get(name)
            if old == new:
                continue
            if old is not None and new is not None and old.zone == new.zone:
                balance.reweigh(name, new.weight_units)
                continue
            if old is not None:
                balance.remove(name)
            if new is not None:
                group = lightest_group(new.zone, per_zone, balance.weights)
                balance.add(name, Placed(new.weight_units, group))

    def step(self) -> frozenset[str]:
        """Do the next moves; return the members that have news."""
        return self._apply(self.settings.step_moves)

    def _apply(self, count: int) -> frozenset[str]:
        affected: set[str] = set()
        for _ in range(min(count, len(self._pending))):
            move = self._pending.popleft()
            names = self._table[move.shard]
            affected.update(names)
            move.apply(self._table)
            affected.update(names)
            if move.source is not None:
                self._shards[move.source].discard(move.shard)
            if move.target is not None:
                self._shards.setdefault(move.target, set()).add(move.shard)
            self.revision += 1
        for name in affected:
            self._changed[name] = self.revision
        return frozenset(affected)

    # What is placed where

    def replicas(self, shard: int) -> tuple[str, ...]:
        return tuple(self._table[shard])

    def shards(self, member: str) -> frozenset[int]:
        return frozenset(self._shards.get(member, ()))

    def update_for(self, member: str, known: int) -> PlacementUpdate | None:
        """What a member is told that knows its shards as of this revision; None: there is nothing new."""
        if self._changed.get(member, 0) <= known or self.revision <= known:
            return None
        placed = tuple(PlacedShard(shard, self.replicas(shard)) for shard in sorted(self.shards(member)))
        return PlacementUpdate(self.revision, self.epoch, placed)


def _nature(member: Member) -> Member:
    """What counts of a member at one epoch."""
    return replace(member, since=1, until=FOREVER) if member.since > 1 or member.until < FOREVER else member
