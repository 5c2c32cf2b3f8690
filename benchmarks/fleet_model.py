"""Simulates a fleet that shares tenants' counts, in virtual time.

Admission and gossip are the real ones; the simulated network loses, delays, duplicates and partitions. A seed
determines the run down to the datagram. The tests and the tables of `docs/tenants.md` use it.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count

from mountgauge.tenants.admission import QuotaAdmission
from mountgauge.tenants.counts import Counts, Entry, Incarnation, Mark
from mountgauge.tenants.gossip import Gossip, Identity, OutgoingDatagrams, Plan, UdpAddress
from mountgauge.tenants.members import Timing
from mountgauge.tenants.quota import Quota
from mountgauge.tenants.wire import Seal, tenant_key

KEY = "a key of the virtual fleet"
FLUSH = 0.1  # s between two writes to disk


@dataclass(slots=True)
class NetworkFaults:
    """Faults of the network: `loss` and `duplicated` are shares of the datagrams, times are in seconds."""

    loss: float = 0.0
    delay: float = 0.005
    jitter: float = 0.0
    duplicated: float = 0.0


@dataclass(slots=True)
class Disk:
    """The state that a node restores at a restart; a lost disk has the defaults."""

    life: int | None = None
    boot: int = 0
    own: tuple[int, list[Entry]] = (0, [])
    pending: dict[int, int] = field(default_factory=dict)
    others: list[tuple[int, str, int, list[Entry]]] = field(default_factory=list)
    past: dict[int, int] = field(default_factory=dict)
    folded: list[tuple[int, Mark]] = field(default_factory=list)
    past_name: tuple[int, int] = (0, 0)


class Node:
    """One member, started from what its disk holds."""

    def __init__(self, world: World, name: str, place: UdpAddress, disk: Disk, clock: float = 0.0) -> None:
        self.world, self.name, self.place, self.disk = world, name, place, disk
        self.clock_offset_s = clock  # by which its clock is ahead of the world's
        self.up = True
        keys = [tenant_key(tenant) for tenant in world.quotas]
        life = disk.life or world.draw()
        disk.life, disk.boot = life, disk.boot + 1
        counts = Counts(keys, len(keys) + 1 + world.spare, life, name)
        counts.adopt(disk.past, disk.folded, disk.past_name[1], disk.past_name[0])
        for id, named, version, entries in [*disk.others, (life, name, *disk.own)]:
            counts.join(id, named, 0, version, entries)
        me = Identity(name, life, disk.boot, world.draw())
        self.fleet = Gossip(
            me, world.plan_for(place), counts, world.seal, self.now, random.Random(world.draw())
        )
        self.admission = QuotaAdmission(world.quotas, counts, self.fleet, self.now, disk.pending)
        self.accepted: Counter[str] = Counter()
        self.refused = 0
        self.renewed = 0
        world.at(world.time + world.rng.uniform(0, world.interval), self._gossip)
        world.at(world.time + world.rng.uniform(0, FLUSH), self._flush)

    @property
    def now(self) -> float:
        """The time by the node's own clock."""
        return self.world.time + self.clock_offset_s

    def offer(self, tenant: str) -> float | None:
        """Submit one message of a client; None if it is accepted, else s until a retry makes sense."""
        retry_after_s = self.admission.admit(tenant, self.now)
        if retry_after_s is None:
            self.admission.count_accepted(tenant)
            self.accepted[tenant] += 1
            self.world.accepted[tenant] += 1
        else:
            self.refused += 1
        return retry_after_s

    def used(self, tenant: str) -> int:
        """The tenant's messages that this node has counted."""
        return self.admission.bounds(self.admission.index_by_name[tenant], self.now)[0]

    def high(self, tenant: str) -> int:
        """The upper bound that this node gives for the tenant's messages."""
        return self.admission.bounds(self.admission.index_by_name[tenant], self.now)[1]

    def flush(self) -> None:
        """Write the node's state to its disk."""
        counts, disk = self.admission.counts, self.disk
        self.admission.step(self.now)
        disk.pending = self.admission.pending_by_key()
        disk.life = counts.own.id
        disk.own = (counts.own.version, _lines(counts, counts.own))
        if self.fleet.replicas_changed:
            here = {m.id for m in self.fleet.members.present}
            disk.others = [
                (life.id, life.name, life.version, _lines(counts, life))
                for life in counts.incarnations.values() if life is not counts.own and life.id not in here
            ]  # fmt: skip
            disk.past = {k: n for k, n in zip(counts.keys, counts.past, strict=True) if n}
            disk.folded = list(counts.folded.items())
            disk.past_name = (counts.past_id, counts.folded_count)
            self.fleet.replicas_changed = False

    def _flush(self) -> None:
        if self.up:
            self.flush()
            self.world.at(self.world.time + FLUSH, self._flush)

    def _gossip(self) -> None:
        if not self.up:
            return
        if self.fleet.new_incarnation_reason:
            self.fleet.start_incarnation(self.world.draw(), self.world.draw(), self.now)
            self.disk.boot = 1
            self.renewed += 1
        self.flush()
        self.world.send(self, self.fleet.tick(self.now))
        self.world.at(self.world.time + self.world.interval, self._gossip)

    def leave(self) -> None:
        """Stop as at SIGTERM, with a last flush and last datagrams."""
        self.fleet.leaving = True
        for _ in range(3):
            self.flush()
            self.world.send(self, self.fleet.tick(self.now))
        self.up = False

    def kill(self) -> None:
        """Stop as at SIGKILL: messages accepted since the last flush are lost to all counts."""
        for place, accepted in self.admission.pending.items():
            if (flushed := self.disk.pending.get(self.admission.counts.keys[place], 0)) < accepted:
                name = next(n for n, p in self.admission.index_by_name.items() if p == place)
                self.world.uncounted[name] += accepted - flushed
        self.up = False


def _lines(counts: Counts, life: Incarnation) -> list[Entry]:
    return counts.all_changes(life)


class World:
    """Nodes, the network between them and true time."""

    def __init__(
        self, quotas: Mapping[str, Quota | None], seed: int, network: NetworkFaults | None = None,
        interval: float = 0.25, fanout: int = 4, timing: Timing | None = None, spare: int = 64,
    ) -> None:  # fmt: skip
        self.quotas, self.network, self.spare = dict(quotas), network or NetworkFaults(), spare
        self.rng = random.Random(seed)
        self.clients = random.Random(seed + 1)
        self.interval, self.fanout = interval, fanout
        self.timing = timing or Timing(10 * interval, 20 * interval, 86_400, 5.0)
        self.seal = Seal("virtual", [KEY])
        self.time = 0.0
        self.nodes: dict[str, Node] = {}
        self.at_place: dict[UdpAddress, Node] = {}
        self.places: list[UdpAddress] = []
        # The partition of each node, while the network is split.
        self.partition_of: Callable[[str], int] | None = None
        self.accepted: Counter[str] = Counter()  # by tenant, of all nodes: what the counts should say
        self.uncounted: Counter[str] = Counter()  # accepted messages whose count was lost by kills
        self.datagrams = self.bytes = self.largest = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def draw(self) -> int:
        """A random number for an identity or a seed; never 0."""
        return self.rng.getrandbits(62) + 1

    def plan_for(self, place: UdpAddress) -> Plan:
        """The gossip plan of a node at this address."""
        return Plan(
            tuple(p for p in self.places if p != place), self.interval, self.fanout, self.timing, FLUSH
        )

    def add(self, *names: str) -> None:
        """Start nodes that list each other in their settings files."""
        fresh = [(name, ("10.0.0.1", len(self.places) + 1 + i)) for i, name in enumerate(names)]
        self.places += [place for _, place in fresh]
        for name, place in fresh:
            self.start(name, place)

    def start(self, name: str, place: UdpAddress, disk: Disk | None = None, clock: float = 0.0) -> Node:
        """Start a node at an address, on the given disk or on an empty one."""
        node = Node(self, name, place, disk or Disk(), clock)
        self.nodes[name] = self.at_place[place] = node
        return node

    def restart(self, name: str, keep: bool = True) -> Node:
        """Kill a node and start it again, on its disk or on an empty one."""
        old = self.nodes[name]
        old.kill()
        return self.start(name, old.place, old.disk if keep else None, old.clock_offset_s)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a moment of virtual time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def until(self, when: float) -> None:
        """Run until this moment of virtual time."""
        assert when >= self.time
        while self._events and self._events[0][0] <= when:
            self.time, _, action = heapq.heappop(self._events)
            action()
        self.time = when

    def load(self, rates: Mapping[str, float], until: float, names: Sequence[str] | None = None) -> None:
        """Submit messages at random moments, at the given rate for each tenant, each to a random node."""
        for tenant, rate in rates.items():
            self._next(tenant, rate, until, names)

    def _next(self, tenant: str, rate: float, until: float, names: Sequence[str] | None) -> None:
        when = self.time + self.clients.expovariate(rate)
        if when > until:
            return

        def submit() -> None:
            up = [n for n in (names or self.nodes) if self.nodes[n].up]
            if up:
                self.nodes[self.clients.choice(up)].offer(tenant)
            self._next(tenant, rate, until, names)

        self.at(when, submit)

    def send(self, node: Node, out: OutgoingDatagrams) -> None:
        """Deliver datagrams of a node as the network's faults allow."""
        for data, place in out:
            self.datagrams += 1
            self.bytes += len(data)
            self.largest = max(self.largest, len(data))
            network = self.network
            for _ in range(1 + (self.rng.random() < network.duplicated)):
                if self.rng.random() >= network.loss:
                    delay = network.delay + self.rng.uniform(0, network.jitter)
                    self.at(self.time + delay, lambda d=data, p=place: self._arrive(d, node, p))  # type: ignore[misc]

    def _arrive(self, data: bytes, source: Node, place: UdpAddress) -> None:
        node = self.at_place.get(place)
        if node is None or not node.up:
            return
        if self.partition_of is not None and self.partition_of(source.name) != self.partition_of(node.name):
            return
        self.send(node, node.fleet.receive(data, source.place, node.now))

    @property
    def up(self) -> list[Node]:
        """The running nodes."""
        return [node for node in self.nodes.values() if node.up]

    def exact(self) -> bool:
        """Whether each running node counts all accepted messages, except those whose count a kill lost."""
        return all(
            node.used(t) == self.accepted[t] - self.uncounted[t] for node in self.up for t in self.quotas
        )

    def until_exact(self, limit: float) -> float:
        """Run until all counts are exact, at most `limit` seconds; the seconds that it took."""
        began = self.time
        while not self.exact() and self.time - began < limit:
            self.until(self.time + 0.25)
        return self.time - began
