"""Simulates a fleet that divides budgets, in virtual time.

The members' state machines are the real ones. The simulated network loses, delays, duplicates and partitions;
clocks drift; processes are paused and killed; state folders are lost. One seed determines everything. After
each step `World.check` adds up the shares that the processes would use, each by its own clock and however
late it is, and records where the sum exceeds the total.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from mountgauge.budgets.grants import GrantRecord
from mountgauge.budgets.member import Member, Usage
from mountgauge.budgets.membership import MemberEntry, MemberList, Membership
from mountgauge.budgets.messages import Answer, Ask
from mountgauge.budgets.shares import Budget

TICK_S = 0.05  # between two ticks of a member
EPSILON = 1e-6


@dataclass
class NetworkFaults:
    """Faults of the network between the members; `loss` and `duplicated` are shares of the datagrams."""

    loss: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.0
    duplicated: float = 0.0
    groups: tuple[frozenset[str], ...] = ()  # partitions; empty: all reach each other
    not_receiving: frozenset[str] = frozenset()  # members that can send, but receive nothing


@dataclass
class Node:
    """One process: its member, its clock and its state folder."""

    name: str
    rate: float  # of its clock, relative to true time
    member: Member | None = None
    paused_until: float = 0.0
    run: int = 0
    disk: list[tuple[str, GrantRecord]] = field(default_factory=list)
    epoch: int = 0  # on disk
    kept: bool = False  # the folder is known to be complete
    left_at: float | None = None


class World:
    """The members, the network between them, and true time."""

    def __init__(
        self, budgets: Iterable[Budget], names: Iterable[str], seed: int, drift: float = 0.02,
        network: NetworkFaults | None = None,
    ) -> None:  # fmt: skip
        self.rng = random.Random(seed)
        self.budgets = list(budgets)
        self.drift = drift
        self.network = network or NetworkFaults()
        self.time = 0.0
        self.nodes: dict[str, Node] = {}
        self.lists = MemberList(1, tuple(MemberEntry(name, (name, 0)) for name in names))
        self.demand: Callable[[str, str, float], float] = lambda name, budget, at: 0.0
        self.overallocations: list[tuple[float, str, float]] = []
        self.sent = self.bytes = 0
        self._in_transit: list[tuple[float, int, str, Ask | Answer]] = []
        self._count = itertools.count()
        self._ticks: list[tuple[float, int, str]] = []
        for one in self.lists.members:
            self.add(one.name)

    # Processes

    def add(self, name: str, rate: float | None = None) -> None:
        """Start a new member; by default its clock's rate is drawn from within the drift."""
        rate = self.rng.uniform(1 - self.drift, 1 + self.drift) if rate is None else rate
        self.nodes[name] = Node(name, rate)
        self.start(name)

    def start(
        self, name: str, lists: MemberList | None = None, budgets: Iterable[Budget] | None = None
    ) -> None:
        """Start a process on the folder that the member's previous run left."""
        node = self.nodes[name]
        node.run += 1
        lists, now = lists or self.lists, self.clock(name)
        longest = max([one.lease_s for one in self.budgets], default=1.0)
        membership = Membership(name, lists, longest, self.drift, node.epoch if node.kept else 0)
        written: dict[str, list[GrantRecord]] = {}
        for budget, one in node.disk:
            written.setdefault(budget, []).append(one)
        node.member = Member(
            name, node.run, membership, list(budgets or self.budgets), now,
            random.Random(f"{name}/{node.run}/{self.rng.random()}"), node.kept, written,
        )  # fmt: skip
        node.kept, node.left_at = True, None
        heapq.heappush(self._ticks, (self.time + self.rng.uniform(0, TICK_S), next(self._count), name))

    def kill(self, name: str, folder: str = "kept") -> None:
        """SIGKILL. `folder`: kept, lost, or old: an outdated copy, which the process detects."""
        node = self.nodes[name]
        node.member, node.paused_until = None, 0.0
        if folder == "lost":
            node.disk, node.epoch, node.kept = [], 0, False
        elif folder == "old":
            node.disk = node.disk[: len(node.disk) // 2]
            node.kept = False

    def restart(self, name: str, folder: str = "kept") -> None:
        """Kill the process and start it again at once."""
        self.kill(name, folder)
        self.start(name)

    def pause(self, name: str, seconds: float) -> None:
        """SIGSTOP and, after so many seconds, SIGCONT; the clock goes on meanwhile."""
        self.nodes[name].paused_until = self.time + seconds

    def goodbye(self, name: str) -> None:
        """Stop the process in an orderly way: it hands its leases back."""
        node = self.nodes[name]
        if node.member is not None:
            self._send(name, node.member.goodbye(self.clock(name), {}))
            node.left_at, node.member = self.time, None

    def change(self, names: Iterable[str], budgets: Iterable[Budget] | None = None) -> None:
        """Replace the settings file: members are added or removed, one an epoch."""
        wanted, lists = set(names), self.lists
        for name in sorted(wanted ^ set(lists.at(lists.epoch))):
            epoch = lists.epoch + 1
            if name in wanted:
                members = (*lists.members, MemberEntry(name, (name, 0), since=epoch))
            else:
                members = tuple(
                    one._replace(until=epoch) if one.name == name else one for one in lists.members
                )
            lists = MemberList(epoch, members)
            assert not lists.validation_error(), lists.validation_error()
        self.lists = lists
        if budgets is not None:
            self.budgets = list(budgets)

    def reload(self, name: str) -> None:
        """SIGHUP: this member reads the newest settings file."""
        if (member := self.nodes[name].member) is not None:
            member.reload(self.lists, self.budgets, self.clock(name))

    def clock(self, name: str) -> float:
        """The time by this member's own clock."""
        return 1000.0 + self.time * self.nodes[name].rate

    # The network

    def _send(self, source: str, messages: Iterable[tuple[str, Ask | Answer]]) -> None:
        network = self.network
        for target, message in messages:
            self.sent += 1
            self.bytes += 120 + 90 * len(message.lines)
            groups = [one for one in network.groups if source in one]
            cut = bool(groups) and not any(target in one for one in groups)
            lost = cut or target in network.not_receiving or self.rng.random() < network.loss
            if lost and target != source:
                continue
            times = 1 + (self.rng.random() < network.duplicated)
            for _ in range(times):
                delay_s = 0.0 if target == source else network.delay_s + self.rng.random() * network.jitter_s
                heapq.heappush(self._in_transit, (self.time + delay_s, next(self._count), target, message))

    def _arrive(self, target: str, message: Ask | Answer) -> None:
        node = self.nodes.get(target)
        if node is None or node.member is None:
            return
        if node.paused_until > self.time:  # it waits in the socket
            heapq.heappush(self._in_transit, (node.paused_until, next(self._count), target, message))
            return
        now = self.clock(target)
        if isinstance(message, Ask):
            answer, written = node.member.receive_ask(message, now)
            node.disk += written
            self._send(target, [(message.name, answer)])
        else:
            node.member.receive_answer(message, now)

    # Running

    def until(self, end: float, check_every: float = 0.02) -> None:
        """Run until `end`, checking the sums of shares at least this often."""
        next_check = self.time
        while True:
            at = min([end, *(line[0][0] for line in (self._in_transit, self._ticks) if line)])
            if at >= end:
                break
            self.time = max(self.time, at)
            if self._in_transit and self._in_transit[0][0] <= self.time:
                _, _, target, message = heapq.heappop(self._in_transit)
                self._arrive(target, message)
            elif self._ticks and self._ticks[0][0] <= self.time:
                _, _, name = heapq.heappop(self._ticks)
                self._tick(name)
            if self.time >= next_check:
                self.check()
                next_check = self.time + check_every
        self.time = end
        self.check()

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        if node.member is None:
            return
        if node.paused_until > self.time:
            heapq.heappush(self._ticks, (node.paused_until, next(self._count), name))
            return
        uses = {one.name: Usage(self.demand(name, one.name, self.time)) for one in self.budgets}
        self._send(name, node.member.tick(self.clock(name), uses))
        node.epoch = max(node.epoch, node.member.membership.adopted)
        heapq.heappush(self._ticks, (self.time + TICK_S, next(self._count), name))

    def shares(self, budget: str) -> dict[str, float]:
        """The share that each process would use at this moment, paused processes included."""
        return {
            name: node.member.share(budget, self.clock(name)).total
            for name, node in self.nodes.items()
            if node.member is not None and budget in node.member.states
        }

    def check(self) -> None:
        """Record each budget whose shares add up to more than its total."""
        for budget in self.budgets:
            most = max(
                [one.budget.total for node in self.nodes.values() if node.member is not None
                 for name, one in node.member.states.items() if name == budget.name], default=0.0
            )  # fmt: skip
            total = sum(self.shares(budget.name).values())
            if total > most + EPSILON:
                self.overallocations.append((self.time, budget.name, total - most))

    def utilization(self, budget: Budget) -> float:
        """What shares and demand allow to be used now, by the most that demand and total would allow."""
        shares = self.shares(budget.name)
        wanted = {name: self.demand(name, budget.name, self.time) for name in shares}
        served = sum(min(shares[name], wanted[name]) for name in shares)
        return served / max(1e-9, min(budget.total, sum(wanted.values())))


def mean_utilization(world: World, budget: Budget, begin: float, end: float, step: float = 0.25) -> float:
    """Run the world from `begin` to `end`, and return the mean utilization."""
    world.until(begin)
    found = []
    at = begin
    while at < end:
        at += step
        world.until(at)
        found.append(world.utilization(budget))
    return sum(found) / len(found)


def even(each: float) -> Callable[[str, str, float], float]:
    """The same demand of each member, at all times."""
    return lambda name, budget, at: each


def by_name(wanted: Mapping[str, float]) -> Callable[[str, str, float], float]:
    """A constant demand for each named member, and none for the others."""
    return lambda name, budget, at: wanted.get(name, 0.0)
