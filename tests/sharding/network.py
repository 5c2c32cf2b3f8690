"""Discovery, relays of two levels and hollow senders on a network in virtual time, decided by one seed.

A call goes out, is answered or held, and comes back: each way may be lost, and takes its time. Whoever is
killed resets what is asked of it; whoever is cut off is silent, and calls to it are given up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from math import ceil, inf
from random import Random
from typing import Any

from mountgauge.sharding.list_watch import ListWatch
from mountgauge.sharding.members import Member, MemberFile
from mountgauge.sharding.messages import PlacementUpdate, Reply
from mountgauge.sharding.picker import Picker, RelayName
from mountgauge.sharding.placement import Placement, PlacementSettings
from mountgauge.sharding.relay import HeldAsk, Relay, RelaySettings
from mountgauge.sharding.shards import NO_VERSION, EndpointRecord, ShardSnapshot, shard_of
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.timing import RELAY_TIMING, Timing
from mountgauge.sharding.upstream import Call, ListCall, Rejection, RelayCall, Update

LIST_LOG = 2_000  # changes that discovery can tell by version
STEP_S = 1.0  # between two steps of the placement


@dataclass(frozen=True, slots=True)
class Conditions:
    loss: float = 0.0  # of each message
    delay_s: float = 0.005  # at most, each way


class Clock:
    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when: float, act: Callable[[], None]) -> None:
        self._number += 1
        heappush(self._events, (max(when, self.now), self._number, act))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heappop(self._events)
            act()
        self.now = until


class Discovery:
    """The list as it exists: whole, or changes by index and wait."""

    name, zone = "discovery", "core0"

    def __init__(self, world: World) -> None:
        self.world = world
        self.version = 1
        self.log_limit = LIST_LOG
        self.lines: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.waiting: dict[int, tuple[ListCall, Callable[[object], None]]] = {}
        self.number = 0
        self.up = True
        self.out: dict[int, Callable[[], None]] = {}  # calls to it: what fails each

    def put(self, lines: Iterable[dict[str, Any]]) -> None:
        """One new version with these lines changed."""
        self.version += 1
        for line in lines:
            self.log.append((self.version, line))
            if line.get("state") == "left":
                self.lines.pop(line["id"], None)
            else:
                self.lines[line["id"]] = line
        del self.log[: -self.log_limit]
        waiting, self.waiting = self.waiting, {}
        for call, reply in waiting.values():
            reply(self.answer(call))

    def answer(self, call: ListCall) -> object:
        index = call.index
        if index is None or (self.log and index < self.log[0][0] - 1):
            return {"version": self.version, "full": True, "servers": list(self.lines.values())}
        newest = {line["id"]: line for version, line in self.log if version > index}
        return {"version": self.version, "full": False, "servers": list(newest.values())}

    def call(self, call: Call, reply: Callable[[object], None]) -> None:
        assert isinstance(call, ListCall)
        if call.index is None or call.index != self.version:
            reply(self.answer(call))
            return
        self.number += 1
        number = self.number
        self.waiting[number] = call, reply

        def over() -> None:
            if self.waiting.pop(number, None) is not None:
                reply(self.answer(call))

        self.world.clock.at(self.world.clock.now + call.wait_s, over)


class Node:
    """Whoever follows someone: makes its calls and hands in what becomes of them."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.up = True
        self.rejections: list[Rejection] = []
        self.wake = inf

    @property
    def follows(self) -> Relay | Subscription:
        raise NotImplementedError

    def pump(self) -> None:
        if not self.up:
            return
        now = self.world.clock.now
        for call in self.follows.poll(now):
            self.world.send(self, call)
        self.told()
        due = self.follows.wakes_at(now)
        if due < self.wake or self.wake <= now:
            self.wake = due
            if due < inf:
                self.world.clock.at(max(due, now + 1e-4), self.woken)

    def woken(self) -> None:
        self.wake = inf
        self.pump()

    def told(self) -> None:
        """Replies to those who follow this one."""

    def answered(self, call: Call, reply: Any) -> None:
        if self.up:
            self.take(self.follows.answered(call, reply, self.world.clock.now))  # type: ignore[arg-type]
            self.pump()

    def failed(self, call: Call, silent: bool) -> None:
        if self.up:
            self.follows.failed(call, self.world.clock.now, silent)  # type: ignore[arg-type]
            self.pump()

    def take(self, update: Update) -> None:
        self.rejections += update.rejections


class RelayNode(Node):
    def __init__(self, world: World, name: str, zone: str, relay: Relay) -> None:
        super().__init__(world, name, zone)
        self.relay = relay
        self.replies: dict[int, Callable[[Reply], None]] = {}
        self.out: dict[int, Callable[[], None]] = {}  # calls to it: what fails each
        self.asks: Counter[int] = Counter()  # by second
        self.tamper: Callable[[Reply], Reply] = lambda reply: reply

    @property
    def follows(self) -> Relay:
        return self.relay

    def call(self, call: Call, reply: Callable[[object], None]) -> None:
        assert isinstance(call, RelayCall)
        self.asks[int(self.world.clock.now)] += 1
        said = self.relay.ask(call.ask, self.world.clock.now)
        if isinstance(said, HeldAsk):
            self.replies[said.number] = reply
        else:
            reply(self.tamper(said))
        self.pump()

    def told(self) -> None:
        for number, said in self.relay.take_ready(self.world.clock.now):
            self.replies.pop(number)(self.tamper(said))

    def adopt(self, file: MemberFile) -> None:
        """A newer members' file has reached this relay."""
        placement = self.relay.placement
        if self.up and placement is not None and placement.epoch < file.epoch:
            placement.adopt(file)

    def step(self) -> None:
        """The next moves of the placement, and so on."""
        if self.up and self.relay.placement is not None:
            self.relay.placement_changed(self.relay.placement.step())
            self.pump()
            self.world.clock.at(self.world.clock.now + STEP_S, self.step)

    def load(self, since: float, until: float) -> float:
        """The most asks in one second of that time."""
        return max((self.asks[second] for second in range(int(since), ceil(until))), default=0)

    def mean_load(self, since: float, until: float) -> float:
        """Asks in a second of that time, in the mean."""
        seconds = range(int(since), int(until))
        return sum(self.asks[second] for second in seconds) / len(seconds)


class SenderNode(Node):
    """A hollow sender: the subscription, and what a decision module would have been told."""

    def __init__(self, world: World, name: str, zone: str, subscription: Subscription) -> None:
        super().__init__(world, name, zone)
        self.subscription = subscription
        self.endpoints: dict[str, EndpointRecord] = {}
        self.versions: dict[int, int] = {}

    @property
    def follows(self) -> Subscription:
        return self.subscription

    def take(self, update: Update) -> None:
        super().take(update)
        for record in update.gone:
            self.endpoints.pop(record.id, None)
        for record in update.put:
            self.endpoints[record.id] = record
        store = self.subscription.store
        for shard in store.shards():
            version = store.version(shard)
            assert version >= self.versions.get(shard, NO_VERSION), f"{self.name}: shard {shard} went back"
            self.versions[shard] = version
        for shard in self.versions.keys() - set(store.shards()):
            del self.versions[shard]
        self.world.reached(self)

    def snapshots(self) -> tuple[list[ShardSnapshot], PlacementUpdate]:
        """What it would have on its disk."""
        store = self.subscription.store
        return [store.snapshot(shard) for shard in store.shards()], self.subscription.placement

    @property
    def kept(self) -> set[str]:
        """Ids of the records in its store."""
        store = self.subscription.store
        return {name for shard in store.shards() for name in store.records(shard)}


class World:
    def __init__(
        self, seed: int, zones: int = 4, senders: int = 16, shard_count: int = 64, destinations: int = 200,
        tops: int = 2, conditions: Conditions | None = None, settings: RelaySettings | None = None,
        timing: Timing | None = None, step_moves: int = 16,
    ) -> None:  # fmt: skip
        self.rng = Random(seed)
        self.clock = Clock()
        self.number = 0
        self.conditions = conditions or Conditions()
        self.timing = timing or Timing()
        self.settings = settings or RelaySettings()
        self.shard_count = shard_count
        self.placing = PlacementSettings(shard_count, step_moves=step_moves)
        self.cut: Callable[[str, str], bool] = lambda one, other: False  # by zones
        self.discovery = Discovery(self)
        self.zones = [f"z{place}" for place in range(zones)]
        members = tuple(Member(f"s{place}", f"z{place % zones}") for place in range(senders))
        self.file = MemberFile(1, members)
        self.waits: dict[str, list[tuple[int, int, float]]] = {}  # by sender: shard, version, since when
        self.times: list[float] = []  # from a change to its being in force at one sender
        self.discovery.put([self.line(f"e{place}", place) for place in range(destinations)])
        self.tops = [f"top{place}" for place in range(tops)]
        self.relays: dict[str, RelayNode] = {}
        self.senders: dict[str, SenderNode] = {}
        for name in [*self.tops, *(f"relay-{zone}" for zone in self.zones)]:
            self.start_relay(name)
        self.run(3)
        for member in members:
            self.start_sender(member)
        self.run(5)

    @staticmethod
    def line(name: str, cell: int, state: str = "active", weight: float = 1.0) -> dict[str, Any]:
        return {"id": name, "addr": "10.0.0.1:80", "zone": "a", "kind": "k", "cell": cell, "state": state,
                "weight": weight, "started_ms": 0}  # fmt: skip

    # Starting and ending

    def start_relay(self, name: str) -> RelayNode:
        """Anew, with nothing kept."""
        store = ShardStore(self.shard_count)
        upstream: ListWatch | Subscription
        zone = name.removeprefix("relay-") if name.startswith("relay-") else f"core{self.tops.index(name)}"
        if name in self.tops:
            upstream = ListWatch(store, RELAY_TIMING, Random(self.rng.random()))
        else:
            tops = [RelayName(top, f"core{place}") for place, top in enumerate(self.tops)]
            picker = Picker(tops, zone, RELAY_TIMING, Random(self.rng.random()))
            upstream = Subscription(name, store, picker, RELAY_TIMING, Random(self.rng.random()), True)
        relay = Relay(
            name, upstream, self.settings, Placement(self.file, self.placing), self.rng.randrange(1 << 32)
        )
        node = self.relays[name] = RelayNode(self, name, zone, relay)
        self.clock.at(self.clock.now, node.pump)
        self.clock.at(self.clock.now + STEP_S, node.step)
        return node

    def start_sender(self, member: Member, kept: SenderNode | None = None) -> SenderNode:
        """`kept`: the process before it, whose last list is on the disk."""
        store = ShardStore(self.shard_count, log_limit=0)
        names = [RelayName(f"relay-{zone}", zone) for zone in self.zones]
        picker = Picker(names, member.zone, self.timing, Random(self.rng.random()))
        subscription = Subscription(member.name, store, picker, self.timing, Random(self.rng.random()))
        node = self.senders[member.name] = SenderNode(self, member.name, member.zone, subscription)
        if kept is not None:
            node.take(subscription.restore(*kept.snapshots(), self.clock.now - 60))
        self.clock.at(self.clock.now + self.rng.random(), node.pump)
        return node

    def kill(self, node: Node) -> None:
        """What is asked of it is reset from now on."""
        node.up = False
        if isinstance(node, RelayNode):
            for fail in list(node.out.values()):
                self.clock.at(self.clock.now + self.way(), fail)

    def restart_relay(self, name: str) -> RelayNode:
        self.kill(self.relays[name])
        return self.start_relay(name)

    def revive(self, name: str) -> None:
        """Start a relay anew that is down."""
        if not self.relays[name].up:
            self.start_relay(name)

    # The network

    def way(self) -> float:
        return self.conditions.delay_s * (0.5 + 0.5 * self.rng.random())

    def lost(self, one: Node | Discovery, other: Node | Discovery) -> bool:
        return self.rng.random() < self.conditions.loss or self.cut(one.zone, other.zone)

    def send(self, caller: Node, call: Call) -> None:
        """The call goes out; the caller hears of it once: an answer, a reset, or its own limit."""
        callee = self.callee(call)
        self.number += 1
        number = self.number

        def finish(act: Callable[[], None]) -> None:
            if callee.out.pop(number, None) is not None:
                act()

        def fail() -> None:
            finish(lambda: caller.failed(call, silent=False))

        def give_up() -> None:
            finish(lambda: caller.failed(call, silent=True))

        def reply(said: object) -> None:
            if not self.lost(callee, caller):
                self.clock.at(
                    self.clock.now + self.way(), lambda: finish(lambda: caller.answered(call, said))
                )

        def arrive() -> None:
            if number in callee.out:
                callee.call(call, reply)

        callee.out[number] = fail
        self.clock.at(self.clock.now + call.limit_s, give_up)
        if self.lost(caller, callee):
            return
        self.clock.at(self.clock.now + self.way(), arrive if callee.up else fail)

    def callee(self, call: Call) -> RelayNode | Discovery:
        return self.discovery if isinstance(call, ListCall) else self.relays[call.relay]

    # Members and messages

    def adopt(self, members: tuple[Member, ...]) -> None:
        """The next epoch's members; the relays read of them at different times."""
        self.file = MemberFile(self.file.epoch + 1, members)
        for node in self.relays.values():
            self.clock.at(self.clock.now + 5 * self.rng.random(), partial(node.adopt, self.file))

    def message(self, node: SenderNode, shard: int, for_s: float) -> None:
        """The sender takes a message on, and its end comes so much later."""

        def end() -> None:
            if node.up:
                node.take(node.subscription.message_finished(shard))

        node.subscription.message_accepted(shard, self.clock.now)
        node.pump()
        self.clock.at(self.clock.now + for_s, end)

    # Changes, and when they are in force

    def change(self, lines: Iterable[dict[str, Any]]) -> None:
        lines = list(lines)
        self.discovery.put(lines)
        shards = {shard_of(line["cell"], self.shard_count) for line in lines}
        for node in self.senders.values():
            for shard in shards & node.subscription.shards():
                wait = shard, self.discovery.version, self.clock.now
                self.waits.setdefault(node.name, []).append(wait)

    def random_change(self) -> None:
        """One endpoint that comes, goes, drains or gets another weight."""
        name, draw = f"e{self.rng.randrange(400)}", self.rng.random()
        cell = self.discovery.lines.get(name, {}).get("cell", self.rng.randrange(200))
        state = "left" if draw < 0.2 else "leaving" if draw < 0.4 else "active"
        self.change([self.line(name, cell, state, weight=round(self.rng.random() + 0.5, 3))])

    def changes(self, count: int, every: float) -> None:
        """So many changes from now on."""
        for place in range(count):
            self.clock.at(self.clock.now + place * every, self.random_change)

    def reached(self, node: SenderNode) -> None:
        store = node.subscription.store
        waits = self.waits.get(node.name, [])
        left = []
        for shard, version, since in waits:
            if shard in store and store.version(shard) >= version:
                self.times.append(self.clock.now - since)
            elif node.subscription.follows(shard):
                left.append((shard, version, since))
        self.waits[node.name] = left

    @property
    def never(self) -> int:
        """Changes that aren't in force yet where they are waited for."""
        return sum(map(len, self.waits.values()))

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + seconds)

    def listed(self, shards: Iterable[int]) -> dict[str, EndpointRecord]:
        """What discovery has of these shards."""
        wanted = set(shards)
        records = map(EndpointRecord.from_line, self.discovery.lines.values())
        return {one.id: one for one in records if shard_of(one.destination, self.shard_count) in wanted}

    def assert_current(self, names: Iterable[str] | None = None) -> None:
        """Each sender has what discovery has of its shards, in the store and as it was told."""
        for name in names if names is not None else self.senders:
            node = self.senders[name]
            listed = self.listed(node.subscription.shards())
            assert node.endpoints == listed, f"{name}: told {len(node.endpoints)}, listed {len(listed)}"
            assert node.kept == listed.keys()
