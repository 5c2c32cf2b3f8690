"""The placement of shards on members: a table that each change of the members derives from the last one.

The first table is computed without a previous one (`initial_table`): each shard is on as many groups as it
has replicas, and each group and member has its fair load. After that, a change of the members moves only
what must move: replicas of removed members go to the members with the least load for their weight, a new
member gets its fair load from the members with the most, and loads above `max_load` are reduced. All moves
depend only on the table and the members file, so each relay computes the same moves in the same order. The
`revision` is the number of moves done.

A group is a zone. If there are fewer zones than replicas, each zone is divided into groups, so that the
replicas of a shard are on different members and in all zones.

`adopt` accepts a newer members file. While moves are `pending`, `step` is to be called periodically; it
returns the members whose placement has changed. `update_for` returns the update for an asker.
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
from mountgauge.sharding.rebalance import Move, PlacedMember, Rebalancer, Table

DEFAULT_REPLICAS = 3
DEFAULT_STEP_MOVES = 256
_SEED = 31  # for the first table; the same on all relays


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """The number of shards and replicas, and how many replicas move in one step."""

    shard_count: int
    replicas: int = DEFAULT_REPLICAS
    step_moves: int = DEFAULT_STEP_MOVES


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """The complete state of a placement, as a relay saves it, or as it is copied to a new relay."""

    epoch: int
    revision: int
    members: tuple[Member, ...]  # in this epoch
    groups: tuple[tuple[str, str], ...]  # of each member: name and group
    table: tuple[tuple[str, ...], ...]  # by shard: the members that hold it
    pending: tuple[Move, ...]


def groups_per_zone(zones: int, replicas: int) -> int:
    """Return the number of groups in each zone: 1 if there are at least as many zones as replicas."""
    return -(-replicas // zones)


def group_name(zone: str, index: int) -> str:
    """Return the name of a group of members in a zone."""
    return f"{zone}/{index}"


def lightest_group(zone: str, per_zone: int, weights: Mapping[str, int]) -> str:
    """Return the group of a zone with the least weight, which a new member joins."""
    names = [group_name(zone, index) for index in range(per_zone)]
    return min(names, key=lambda name: (weights.get(name, 0), name))


def assign_groups(members: Iterable[Member], replicas: int) -> dict[str, PlacedMember]:
    """Assign all members to groups, so that the groups of a zone have about equal weights."""
    ordered = sorted(members, key=lambda one: one.name)
    per_zone = groups_per_zone(len({one.zone for one in ordered}), replicas)
    weights: dict[str, int] = {}
    found = {}
    for one in ordered:
        group = lightest_group(one.zone, per_zone, weights)
        weights[group] = weights.get(group, 0) + one.weight_units
        found[one.name] = PlacedMember(one.weight_units, group)
    return found


def initial_table(members: Mapping[str, PlacedMember], settings: PlacementSettings) -> Table:
    """Compute a table without a previous one, in which each load is the fair one, rounded.

    For each shard the groups are drawn by systematic sampling (Madow, 1949). A group's probability is the
    number of shards that it still needs over the number of shards left, which is at most 1. So no group is
    drawn twice for a shard, and each group ends up with its load.
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
    replicas_by_group = {
        group: _shuffled_members(by_group[group], left[group], rng) for group in sorted(left)
    }
    return [
        [replicas_by_group[group].pop() for group in _draw_groups(left, count - shard, replicas, rng)]
        for shard in range(count)
    ]


def _shuffled_members(weights: Mapping[str, int], load: int, rng: Random) -> list[str]:
    """Return the members of a group in random order, each once per replica that it gets."""
    total = sum(weights.values())
    counts = round_shares({name: load * weight / total for name, weight in weights.items()}, load)
    found = [name for name, count in counts.items() for _ in range(count)]
    for last in range(len(found) - 1, 0, -1):
        other = int(rng.random() * (last + 1))
        found[last], found[other] = found[other], found[last]
    return found


def _draw_groups(left: dict[str, int], shards_left: int, replicas: int, rng: Random) -> list[str]:
    """Draw the groups of one shard, and reduce what each of them still needs."""
    order = sorted(left, key=lambda _: rng.random())
    threshold, cumulative = int(rng.random() * shards_left), 0
    found = []
    for name in order:
        cumulative += left[name]
        if cumulative > threshold:
            found.append(name)
            threshold += shards_left
    for name in found:
        left[name] -= 1
    assert len(found) == replicas
    return found


class Placement:
    """The assignment of shards to members, changed from epoch to epoch in small steps."""

    def __init__(self, file: MemberFile, settings: PlacementSettings) -> None:
        """Compute the placement from `base_epoch` on, with all later moves done."""
        self.settings = settings
        self.epoch = file.base_epoch
        self.revision = 0
        self._members = {one.name: one for one in map(_without_epochs, file.at(file.base_epoch))}
        placed = assign_groups(self._members.values(), settings.replicas)
        self._load_tables(initial_table(placed, settings), (), placed)
        self.adopt(file)
        self._apply(len(self._pending))

    @classmethod
    def restore(cls, checkpoint: Checkpoint, settings: PlacementSettings) -> Placement:
        """Return the placement that a checkpoint was made of."""
        placement = cls.__new__(cls)
        placement.settings, placement.epoch, placement.revision = (
            settings,
            checkpoint.epoch,
            checkpoint.revision,
        )
        placement._members = {one.name: one for one in checkpoint.members}
        groups = dict(checkpoint.groups)
        placed = {
            name: PlacedMember(one.weight_units, groups[name]) for name, one in placement._members.items()
        }
        placement._load_tables([list(names) for names in checkpoint.table], checkpoint.pending, placed)
        return placement

    def checkpoint(self) -> Checkpoint:
        """Return the complete state."""
        placed = sorted(self._rebalancer.members.items(), key=itemgetter(0))
        return Checkpoint(
            self.epoch, self.revision, tuple(self._members[name] for name, _ in placed),
            tuple((name, one.group) for name, one in placed),
            tuple(map(tuple, self._table)), tuple(self._pending),
        )  # fmt: skip

    def _load_tables(self, table: Table, pending: Iterable[Move], placed: Mapping[str, PlacedMember]) -> None:
        self._table = table  # current
        self._pending = deque(pending)
        target = [list(names) for names in table]  # after all pending moves
        for move in self._pending:
            move.apply(target)
        self._rebalancer = Rebalancer(target, placed, self._replicas(placed))
        self._zones = Counter(one.zone for one in self._members.values())
        self._shards: dict[str, set[int]] = {name: set() for name in self._members}
        for shard, names in enumerate(table):
            for name in names:
                self._shards.setdefault(name, set()).add(shard)
        self._changed = dict.fromkeys(self._shards, self.revision)

    def _replicas(self, placed: Mapping[str, PlacedMember]) -> int:
        return min(self.settings.replicas, len({one.group for one in placed.values()}))

    # Changes

    @property
    def pending(self) -> int:
        """The number of moves that are still to be done."""
        return len(self._pending)

    def adopt(self, file: MemberFile) -> None:
        """Accept a newer members file, and add the moves that it requires to the pending ones."""
        if file.epoch < self.epoch:
            raise MemberFileError(f"epoch went back from {self.epoch} to {file.epoch}")
        if file.base_epoch > self.epoch:
            raise MemberFileError(
                f"base_epoch {file.base_epoch}: the placement here is of epoch {self.epoch}, and needs "
                "a checkpoint of another relay"
            )
        self._check_history(file)
        for epoch in range(self.epoch + 1, file.epoch + 1):
            self._pending += self._apply_epoch(epoch, file)

    def _check_history(self, file: MemberFile) -> None:
        """Check that the file has the same members in the current epoch as the file before."""
        unchanged = 0
        for one in file.members:
            if one.since <= self.epoch < one.until:
                known = self._members.get(one.name)
                if known is None or known.zone != one.zone or known.weight != one.weight:
                    raise MemberFileError(f"epoch {self.epoch}: member {one.name!r} is not as it was")
                unchanged += 1
        if unchanged != len(self._members):
            raise MemberFileError(f"epoch {self.epoch} has fewer members than before")

    def _apply_epoch(self, epoch: int, file: MemberFile) -> list[Move]:
        per_zone = self._groups_per_zone()
        entries = [one for one in file.members if one.since == epoch or one.until == epoch]
        before = {name: self._members.pop(name, None) for name in {one.name for one in entries}}
        after = {one.name: _without_epochs(one) for one in entries if one.belongs(epoch)}
        self._members.update(after)
        self._zones.subtract(one.zone for one in before.values() if one is not None)
        self._zones.update(one.zone for one in after.values())
        self._zones = +self._zones  # drops zones without members
        self.epoch = epoch
        if self._groups_per_zone() != per_zone:
            return self._regroup(assign_groups(self._members.values(), self.settings.replicas))
        self._change_members(before, per_zone)
        if self._replicas(self._rebalancer.members) != self._rebalancer.replicas:
            return self._regroup(self._rebalancer.members)
        return self._rebalancer.compute_moves()

    def _regroup(self, placed: Mapping[str, PlacedMember]) -> list[Move]:
        """Compute the moves after a change of the groups or of their number, for all shards."""
        self._rebalancer = Rebalancer(self._rebalancer.table, placed, self._replicas(placed))
        return self._rebalancer.compute_moves()

    def _groups_per_zone(self) -> int:
        return groups_per_zone(len(self._zones), self.settings.replicas)

    def _change_members(self, before: Mapping[str, Member | None], per_zone: int) -> None:
        rebalancer = self._rebalancer
        for name in sorted(before):
            old, new = before[name], self._members.get(name)
            if old == new:
                continue
            if old is not None and new is not None and old.zone == new.zone:
                rebalancer.set_weight(name, new.weight_units)
                continue
            if old is not None:
                rebalancer.remove(name)
            if new is not None:
                group = lightest_group(new.zone, per_zone, rebalancer.weights)
                rebalancer.add(name, PlacedMember(new.weight_units, group))

    def step(self) -> frozenset[str]:
        """Do the next moves; return the members whose placement has changed."""
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

    # Queries

    def replicas(self, shard: int) -> tuple[str, ...]:
        """Return the members that hold a shard."""
        return tuple(self._table[shard])

    def shards(self, member: str) -> frozenset[int]:
        """Return the shards that a member holds."""
        return frozenset(self._shards.get(member, ()))

    def update_for(self, member: str, known: int) -> PlacementUpdate | None:
        """Return the update for a member that knows revision `known`; None if nothing has changed for it."""
        if self._changed.get(member, 0) <= known or self.revision <= known:
            return None
        placed = tuple(PlacedShard(shard, self.replicas(shard)) for shard in sorted(self.shards(member)))
        return PlacementUpdate(self.revision, self.epoch, placed)


def _without_epochs(member: Member) -> Member:
    """Return a member without its epochs, as it is compared between epochs."""
    return replace(member, since=1, until=FOREVER) if member.since > 1 or member.until < FOREVER else member
