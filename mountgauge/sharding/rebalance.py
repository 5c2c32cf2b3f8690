"""The moves that a change of the members makes, worked out on the table before it.

A member's fair load is its weight times its group's load for a unit of weight; loads are compared as parts of
fair loads. Weights are whole numbers, and order is by these parts, by name and by `mix` of a shard alone: the
same table and members lead to the same moves wherever, and after whatever, they are worked out.

How it is driven: `Balance` is made once from a table and kept; `remove`, `add` and `reweigh` say how the
members change, `settle` moves what must be moved because of it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from mountgauge.sharding.fair_loads import group_loads, max_load
from mountgauge.sharding.shards import mix

Table = list[list[str]]  # by shard: the names of its replicas
LIGHT = 0.8  # of the fair load, rounded down: members below it are filled up


@dataclass(frozen=True, slots=True)
class Move:
    """A replica of a shard goes from one member to another. None: it is a replica more, or one less."""

    shard: int
    source: str | None
    target: str | None

    def apply(self, table: Table) -> None:
        names = table[self.shard]
        if self.source is None:
            assert self.target is not None
            names.append(self.target)
        elif self.target is None:
            names.remove(self.source)
        else:
            names[names.index(self.source)] = self.target


@dataclass(frozen=True, slots=True)
class Placed:
    """What counts of a member: its weight in thousandths, and the group of which a shard has one."""

    weight: int
    group: str


class Balance:
    """The weights of groups and members while replicas are moved between them."""

    def __init__(self, table: Table, members: Mapping[str, Placed], replicas: int) -> None:
        """`replicas`: of each shard; at most the number of groups."""
        self.table, self.replicas = table, replicas
        self.members = dict(members)
        self.weights: dict[str, int] = {}  # by group
        self._lightest: dict[
            str, list[tuple[float, str]]
        ] = {}  # by group: heaps, with some that are outdated
        for one in members.values():
            self.weights[one.group] = self.weights.get(one.group, 0) + one.weight
        self.shards: dict[str, set[int]] = {name: set() for name in members}
        self._homeless: set[tuple[int, str]] = set()
        self._loads: dict[Placed, dict[int, int]] = {}  # how many members of each kind have which load
        self._missing: list[int] = []  # shards that lack a replica, each as often as it does
        for shard, names in enumerate(table):
            self._take_stock(shard, names)
        for name, one in members.items():
            self._count(name, 1)
            self._lightest.setdefault(one.group, []).append((self._crowded(name), name))
        for heap in self._lightest.values():
            heapify(heap)
        self._moves: list[Move] = []
        self._share: dict[str, float] = {}  # by group: its load for a unit of weight

    def _take_stock(self, shard: int, names: list[str]) -> None:
        """Count the loads, and find the replicas that can't stay."""
        taken: set[str] = set()
        for name in names:
            one = self.members.get(name)
            if one is None or one.group in taken or len(taken) == self.replicas:
                self._homeless.add((shard, name))
                continue
            taken.add(one.group)
            self.shards[name].add(shard)
        self._missing += [shard] * (self.replicas - len(names))

    # How the members change

    def remove(self, name: str) -> None:
        self._count(name, -1)
        one = self.members.pop(name)
        if not self._loads[one]:
            del self._loads[one]
        self._homeless.update((shard, name) for shard in self.shards.pop(name))
        self.weights[one.group] -= one.weight
        if not self.weights[one.group]:
            del self.weights[one.group], self._lightest[one.group]

    def add(self, name: str, placed: Placed) -> None:
        self.members[name] = placed
        self.shards[name] = set()
        self.weights[placed.group] = self.weights.get(placed.group, 0) + placed.weight
        self._lightest.setdefault(placed.group, [])
        self._count(name, 1)
        self._note_load(name)

    def reweigh(self, name: str, weight: int) -> None:
        before = self.members[name]
        self._count(name, -1)
        self.members[name] = Placed(weight, before.group)
        self._count(name, 1)
        self.weights[before.group] += weight - before.weight
        self._note_load(name)

    def settle(self) -> list[Move]:
        """Move what must be moved; return it, in order."""
        self._moves = []
        loads = group_loads(self.weights, len(self.table), self.replicas)
        self._share = {group: loads[group] / weight for group, weight in self.weights.items()}
        self._move_homeless()
        self._fill_light()
        self._relieve_heavy()
        return self._moves

    def _out_of_bounds(self, bound: Callable[[float], float], sign: int) -> list[str]:
        """The members past a bound of their fair loads: above it by `sign` 1, below it by -1. By name."""
        limits: dict[Placed, float] = {}
        for kind, loads in self._loads.items():
            limit = bound(self._share[kind.group] * kind.weight)
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
        """How many replicas a member should hold."""
        one = self.members[name]
        return self._share[one.group] * one.weight

    def _part(self, name: str, more: int = 0) -> float:
        """The part of its fair load that a member has, with so many more."""
        return (len(self.shards[name]) + more) / self.fair(name)

    def _crowded(self, name: str) -> float:
        """The same within a group, with one more: it doesn't change when other members do."""
        return (len(self.shards[name]) + 1) / self.members[name].weight

    def _lightest_of(self, group: str) -> tuple[float, str]:
        heap = self._lightest[group]
        while True:
            crowded, name = heap[0]
            one = self.members.get(name)
            if one is not None and one.group == group and crowded == self._crowded(name):
                return crowded / self._share[group], name
            heappop(heap)  # it has changed since

    def _lightest_for(self, shard: int, leaving: str | None) -> str | None:
        """The member with the least for its weight that may take a replica."""
        kept = (self.members.get(name) for name in self.table[shard] if name != leaving)
        taken = {one.group for one in kept if one is not None}
        return min(
            (self._lightest_of(group) for group in self.weights if group not in taken), default=(0, None)
        )[1]

    def _move(self, shard: int, source: str | None, target: str | None) -> None:
        if source != target:
            move = Move(shard, source, target)
            move.apply(self.table)
            self._moves.append(move)
        if source in self.members:
            self._give(source, shard)
        if target is not None:
            self._take(target, shard)

    def _take(self, name: str, shard: int) -> None:
        self._count(name, -1)
        self.shards[name].add(shard)
        self._count(name, 1)
        self._note_load(name)

    def _give(self, name: str, shard: int) -> None:
        self._count(name, -1)
        self.shards[name].discard(shard)
        self._count(name, 1)
        self._note_load(name)

    def _count(self, name: str, by: int) -> None:
        """Count a member in, or out, of those with its weight, group and load."""
        loads, load = self._loads.setdefault(self.members[name], {}), len(self.shards[name])
        loads[load] = loads.get(load, 0) + by
        if not loads[load]:
            del loads[load]

    def _note_load(self, name: str) -> None:
        heappush(self._lightest[self.members[name].group], (self._crowded(name), name))

    # The three parts

    def _move_homeless(self) -> None:
        """Replicas of members that are taken out, too many in one group, or missing."""
        homeless, self._homeless = sorted(self._homeless), set()
        for shard, source in homeless:
            kept = sum(name in self.members for name in self.table[shard] if name != source)
            self._move(shard, source, self._lightest_for(shard, source) if kept < self.replicas else None)
        missing, self._missing = self._missing, []
        for shard in missing:
            if (target := self._lightest_for(shard, None)) is not None:
                self._move(shard, None, target)

    def _fill_light(self) -> None:
        """Newcomers, and those whose weight has grown, up to their fair loads."""
        light = self._out_of_bounds(lambda fair: LIGHT * math.floor(fair), -1)
        if not light:
            return
        donors = _Donors(self)
        for name in light:
            while len(self.shards[name]) < math.floor(self.fair(name)):
                found = donors.next_for(name)
                if found is None:
                    break
                self._move(found[1], found[0], name)
                donors.push(found[0])
            donors.return_skipped()

    def _relieve_heavy(self) -> None:
        """Members past the most that one holds, down to their fair loads."""
        for name in self._out_of_bounds(max_load, 1):
            for shard in sorted(self.shards[name], key=mix):
                if len(self.shards[name]) <= math.ceil(self.fair(name)):
                    break
                target = self._lightest_for(shard, name)
                if target not in (None, name) and self._part(target, 1) < self._part(name):
                    self._move(shard, name, target)


class _Donors:
    """From whom a member is filled up: from whoever has the most for its weight, one shard after another."""

    def __init__(self, balance: Balance) -> None:
        self._balance = balance
        self._heaviest = [(-balance._part(name), name) for name in balance.members]
        heapify(self._heaviest)
        self._orders: dict[str, list[int]] = {}
        self._cursors: dict[tuple[str, str], int] = {}  # by donor and group: how far its order was looked at
        self._skipped: list[tuple[float, str]] = []

    def push(self, name: str) -> None:
        heappush(self._heaviest, (-self._balance._part(name), name))

    def return_skipped(self) -> None:
        for entry in self._skipped:
            heappush(self._heaviest, entry)
        self._skipped.clear()

    def next_for(self, name: str) -> tuple[str, int] | None:
        """A donor and its shard; None where nobody has more than the member would have."""
        balance = self._balance
        while self._heaviest:
            entry = heappop(self._heaviest)
            donor = entry[1]
            if -entry[0] != balance._part(donor):  # it has changed since
                heappush(self._heaviest, (-balance._part(donor), donor))
                continue
            if donor == name or -entry[0] <= balance._part(name, 1):
                self._skipped.append(entry)
                return None
            shard = self._movable(donor, balance.members[name].group)
            if shard is not None:
                return donor, shard
            self._skipped.append(entry)
        return None

    def _movable(self, donor: str, group: str) -> int | None:
        """A shard of the donor that a member of the group may take; each is looked at once a group."""
        balance = self._balance
        if donor not in self._orders:
            self._orders[donor] = sorted(balance.shards[donor], key=mix)
        order = self._orders[donor]
        for place in range(self._cursors.get((donor, group), 0), len(order)):
            self._cursors[donor, group] = place + 1
            shard = order[place]
            others = [name for name in balance.table[shard] if name != donor]
            if shard in balance.shards[donor] and all(balance.members[one].group != group for one in others):
                return shard
        return None
