"""Computes the moves of replicas that a change of the members requires, from the table before the change.

A member's fair load is its weight times its group's load per unit of weight. Loads are compared as ratios
to fair loads. Weights are integers, and ordering depends only on these ratios, on names and on `mix` of a
shard. So the same table and members lead to the same moves on every relay, whatever happened before.

A `Rebalancer` is created once from a table and kept. `remove`, `add` and `set_weight` change the members,
and `compute_moves` then moves the replicas that have to move.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from mountgauge.sharding.fair_loads import group_loads, max_load
from mountgauge.sharding.shards import mix

Table = list[list[str]]  # by shard: the names of its replicas
UNDERLOAD_RATIO = 0.8  # members below this share of their fair load (rounded down) get replicas


@dataclass(frozen=True, slots=True)
class Move:
    """Moves a replica of a shard; without `source` it adds one, without `target` it removes one."""

    shard: int
    source: str | None
    target: str | None

    def apply(self, table: Table) -> None:
        """Apply the move to a table."""
        names = table[self.shard]
        if self.source is None:
            assert self.target is not None
            names.append(self.target)
        elif self.target is None:
            names.remove(self.source)
        else:
            names[names.index(self.source)] = self.target


@dataclass(frozen=True, slots=True)
class PlacedMember:
    """A member's weight in thousandths, and its group; a shard has at most one replica in each group."""

    weight: int
    group: str


class Rebalancer:
    """Tracks the loads of groups and members, and moves replicas between members."""

    def __init__(self, table: Table, members: Mapping[str, PlacedMember], replicas: int) -> None:
        """`replicas` is the number of replicas of each shard, at most the number of groups."""
        self.table, self.replicas = table, replicas
        self.members = dict(members)
        self.weights: dict[str, int] = {}  # by group
        # By group: a heap of weighted loads and members, with entries that may be outdated.
        self._least_loaded: dict[str, list[tuple[float, str]]] = {}
        for one in members.values():
            self.weights[one.group] = self.weights.get(one.group, 0) + one.weight
        self.shards: dict[str, set[int]] = {name: set() for name in members}
        self._misplaced: set[tuple[int, str]] = set()  # replicas (shard and member) that must move
        # By weight and group: the number of members with each load.
        self._load_counts: dict[PlacedMember, dict[int, int]] = {}
        self._missing: list[int] = []  # shards without enough replicas, once per missing replica
        for shard, names in enumerate(table):
            self._count_replicas(shard, names)
        for name, one in members.items():
            self._count(name, 1)
            self._least_loaded.setdefault(one.group, []).append((self._weighted_load(name), name))
        for heap in self._least_loaded.values():
            heapify(heap)
        self._moves: list[Move] = []
        self._load_per_weight: dict[str, float] = {}  # by group

    def _count_replicas(self, shard: int, names: list[str]) -> None:
        """Count the replicas of a shard, and find those that must move or are missing."""
        taken: set[str] = set()
        for name in names:
            one = self.members.get(name)
            if one is None or one.group in taken or len(taken) == self.replicas:
                self._misplaced.add((shard, name))
                continue
            taken.add(one.group)
            self.shards[name].add(shard)
        self._missing += [shard] * (self.replicas - len(names))

    # Changes of the members

    def remove(self, name: str) -> None:
        """Remove a member."""
        self._count(name, -1)
        one = self.members.pop(name)
        if not self._load_counts[one]:
            del self._load_counts[one]
        self._misplaced.update((shard, name) for shard in self.shards.pop(name))
        self.weights[one.group] -= one.weight
        if not self.weights[one.group]:
            del self.weights[one.group], self._least_loaded[one.group]

    def add(self, name: str, placed: PlacedMember) -> None:
        """Add a member, which has no replicas yet."""
        self.members[name] = placed
        self.shards[name] = set()
        self.weights[placed.group] = self.weights.get(placed.group, 0) + placed.weight
        self._least_loaded.setdefault(placed.group, [])
        self._count(name, 1)
        self._push_load(name)

    def set_weight(self, name: str, weight: int) -> None:
        """Change the weight of a member."""
        before = self.members[name]
        self._count(name, -1)
        self.members[name] = PlacedMember(weight, before.group)
        self._count(name, 1)
        self.weights[before.group] += weight - before.weight
        self._push_load(name)

    def compute_moves(self) -> list[Move]:
        """Compute and apply the necessary moves; return them in order."""
        self._moves = []
        loads = group_loads(self.weights, len(self.table), self.replicas)
        self._load_per_weight = {group: loads[group] / weight for group, weight in self.weights.items()}
        self._move_misplaced()
        self._fill_underloaded()
        self._relieve_overloaded()
        return self._moves

    def _out_of_bounds(self, bound: Callable[[float], float], sign: int) -> list[str]:
        """Return the members above (`sign` 1) or below (-1) a bound of their fair load, by name."""
        limits: dict[PlacedMember, float] = {}
        for kind, loads in self._load_counts.items():
            limit = bound(self._load_per_weight[kind.group] * kind.weight)
            if any((load - limit) * sign > 0 for load in loads):
                limits[kind] = limit
        if not limits:
            return []
        found = (name for name, kind in self.members.items() if kind in limits)
        return sorted(
            name for name in found if (len(self.shards[name]) - limits[self.members[name]]) * sign > 0
        )

    # Loads

    def fair(self, name: str) -> float:
        """Return how many replicas a member should hold."""
        one = self.members[name]
        return self._load_per_weight[one.group] * one.weight

    def _load_ratio(self, name: str, more: int = 0) -> float:
        """Return the ratio of a member's load, plus `more` replicas, to its fair load."""
        return (len(self.shards[name]) + more) / self.fair(name)

    def _weighted_load(self, name: str) -> float:
        """Return the load plus one per unit of weight, which does not depend on other members."""
        return (len(self.shards[name]) + 1) / self.members[name].weight

    def _least_loaded_in(self, group: str) -> tuple[float, str]:
        heap = self._least_loaded[group]
        while True:
            weighted_load, name = heap[0]
            one = self.members.get(name)
            if one is not None and one.group == group and weighted_load == self._weighted_load(name):
                return weighted_load / self._load_per_weight[group], name
            heappop(heap)  # outdated

    def _least_loaded_for(self, shard: int, leaving: str | None) -> str | None:
        """Return the least loaded member, by weight, that may get a replica of the shard."""
        kept = (self.members.get(name) for name in self.table[shard] if name != leaving)
        taken = {one.group for one in kept if one is not None}
        return min(
            (self._least_loaded_in(group) for group in self.weights if group not in taken), default=(0, None)
        )[1]

    def _move(self, shard: int, source: str | None, target: str | None) -> None:
        if source != target:
            move = Move(shard, source, target)
            move.apply(self.table)
            self._moves.append(move)
        if source in self.members:
            self._remove_replica(source, shard)
        if target is not None:
            self._add_replica(target, shard)

    def _add_replica(self, name: str, shard: int) -> None:
        self._count(name, -1)
        self.shards[name].add(shard)
        self._count(name, 1)
        self._push_load(name)

    def _remove_replica(self, name: str, shard: int) -> None:
        self._count(name, -1)
        self.shards[name].discard(shard)
        self._count(name, 1)
        self._push_load(name)

    def _count(self, name: str, by: int) -> None:
        """Add `by` to the number of members with this member's weight, group and load."""
        loads, load = self._load_counts.setdefault(self.members[name], {}), len(self.shards[name])
        loads[load] = loads.get(load, 0) + by
        if not loads[load]:
            del loads[load]

    def _push_load(self, name: str) -> None:
        heappush(self._least_loaded[self.members[name].group], (self._weighted_load(name), name))

    # The three phases

    def _move_misplaced(self) -> None:
        """Move replicas of removed members, and those beyond one per group, and add missing ones."""
        misplaced, self._misplaced = sorted(self._misplaced), set()
        for shard, source in misplaced:
            kept = sum(name in self.members for name in self.table[shard] if name != source)
            self._move(shard, source, self._least_loaded_for(shard, source) if kept < self.replicas else None)
        missing, self._missing = self._missing, []
        for shard in missing:
            if (target := self._least_loaded_for(shard, None)) is not None:
                self._move(shard, None, target)

    def _fill_underloaded(self) -> None:
        """Fill members that are new, or whose weight has grown, up to their fair loads."""
        underloaded = self._out_of_bounds(lambda fair: UNDERLOAD_RATIO * math.floor(fair), -1)
        if not underloaded:
            return
        donors = _Donors(self)
        for name in underloaded:
            while len(self.shards[name]) < math.floor(self.fair(name)):
                replica = donors.next_for(name)
                if replica is None:
                    break
                self._move(replica[1], replica[0], name)
                donors.push(replica[0])
            donors.restore_skipped()

    def _relieve_overloaded(self) -> None:
        """Bring members that are above `max_load` down to their fair loads."""
        for name in self._out_of_bounds(max_load, 1):
            for shard in sorted(self.shards[name], key=mix):
                if len(self.shards[name]) <= math.ceil(self.fair(name)):
                    break
                target = self._least_loaded_for(shard, name)
                if target not in (None, name) and self._load_ratio(target, 1) < self._load_ratio(name):
                    self._move(shard, name, target)


class _Donors:
    """Selects replicas for underloaded members, each from the member with the highest load ratio."""

    def __init__(self, rebalancer: Rebalancer) -> None:
        self._rebalancer = rebalancer
        self._most_loaded = [(-rebalancer._load_ratio(name), name) for name in rebalancer.members]
        heapify(self._most_loaded)
        self._donor_shards: dict[str, list[int]] = {}
        self._cursors: dict[tuple[str, str], int] = {}  # by donor and group: the next shard to check
        self._skipped: list[tuple[float, str]] = []

    def push(self, name: str) -> None:
        """Add a member with its present load ratio."""
        heappush(self._most_loaded, (-self._rebalancer._load_ratio(name), name))

    def restore_skipped(self) -> None:
        """Make the donors that were skipped available for the next member."""
        for entry in self._skipped:
            heappush(self._most_loaded, entry)
        self._skipped.clear()

    def next_for(self, name: str) -> tuple[str, int] | None:
        """Return a donor and its shard; None if none has a higher load ratio than the member would have."""
        rebalancer = self._rebalancer
        while self._most_loaded:
            entry = heappop(self._most_loaded)
            donor = entry[1]
            if -entry[0] != rebalancer._load_ratio(donor):  # outdated
                heappush(self._most_loaded, (-rebalancer._load_ratio(donor), donor))
                continue
            if donor == name or -entry[0] <= rebalancer._load_ratio(name, 1):
                self._skipped.append(entry)
                return None
            shard = self._movable(donor, rebalancer.members[name].group)
            if shard is not None:
                return donor, shard
            self._skipped.append(entry)
        return None

    def _movable(self, donor: str, group: str) -> int | None:
        """Return a shard of the donor that a member of the group may get; each is checked once per group."""
        rebalancer = self._rebalancer
        if donor not in self._donor_shards:
            self._donor_shards[donor] = sorted(rebalancer.shards[donor], key=mix)
        order = self._donor_shards[donor]
        for index in range(self._cursors.get((donor, group), 0), len(order)):
            self._cursors[donor, group] = index + 1
            shard = order[index]
            others = [name for name in rebalancer.table[shard] if name != donor]
            if shard in rebalancer.shards[donor] and all(
                rebalancer.members[one].group != group for one in others
            ):
                return shard
        return None
