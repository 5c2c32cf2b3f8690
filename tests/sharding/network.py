"""Discovery, two levels of relays and simulated senders on a network in virtual time, by one seed.

Each request and each reply is delayed, and may be lost. A killed node resets the calls to it. A node that
is cut off does not answer, and calls to it time out.
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

CHANGE_LOG_LIMIT = 2_000  # changes that discovery keeps
STEP_S = 1.0  # interval of the placement's steps


@dataclass(frozen=True, slots=True)
class Conditions:
    """Network conditions."""

    loss: float = 0.0  # probability for each message
    delay_s: float = 0.005  # maximum in each direction


class Clock:
    """Virtual time with scheduled actions."""

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
    """Stand-in for discovery: answers with the full list, or with changes by index and wait."""

    name, zone = "discovery", "core0"

    def __init__(self, world: World) -> None:
        self.world = world
        self.version = 1
        self.log_limit = CHANGE_LOG_LIMIT
        self.lines: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.waiting: dict[int, tuple[ListCall, Callable[[object], None]]] = {}
        self.number = 0
        self.up = True
        self.in_flight: dict[int, Callable[[], None]] = {}  # how to fail each call in flight

    def put(self, lines: Iterable[dict[str, Any]]) -> None:
        """Publish a new version with these entries changed."""
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

        def expire() -> None:
            if self.waiting.pop(number, None) is not None:
                reply(self.answer(call))

        self.world.clock.at(self.world.clock.now + call.wait_s, expire)


class Node:
    """A node that follows an upstream: makes the calls and reports their outcomes."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.up = True
        self.rejections: list[Rejection] = []
        self.wake = inf

    @property
    def machine(self) -> Relay | Subscription:
        """The state machine that this node drives."""
        raise NotImplementedError

    def pump(self) -> None:
        """Make the due calls, send the due replies, and schedule the next wake-up."""
        if not self.up:
            return
        now = self.world.clock.now
        for call in self.machine.poll(now):
            self.world.send(self, call)
        self.send_ready_replies()
        due = self.machine.wakes_at(now)
        if due < self.wake or self.wake <= now:
            self.wake = due
            if due < inf:
                self.world.clock.at(max(due, now + 1e-4), self.wake_up)

    def wake_up(self) -> None:
        self.wake = inf
        self.pump()

    def send_ready_replies(self) -> None:
        """Send the due replies to held asks; only relays have any."""

    def answered(self, call: Call, reply: Any) -> None:
        if self.up:
            self.apply_update(self.machine.answered(call, reply, self.world.clock.now))  # type: ignore[arg-type]
            self.pump()

    def failed(self, call: Call, silent: bool) -> None:
        if self.up:
            self.machine.failed(call, self.world.clock.now, silent)  # type: ignore[arg-type]
            self.pump()

    def apply_update(self, update: Update) -> None:
        self.rejections += update.rejections


class RelayNode(Node):
    """A relay on the simulated network."""

    def __init__(self, world: World, name: str, zone: str, relay: Relay) -> None:
        super().__init__(world, name, zone)
        self.relay = relay
        self.replies: dict[int, Callable[[Reply], None]] = {}
        self.in_flight: dict[int, Callable[[], None]] = {}  # how to fail each call in flight
        self.asks: Counter[int] = Counter()  # by second
        self.tamper: Callable[[Reply], Reply] = lambda reply: reply

    @property
    def machine(self) -> Relay:
        return self.relay

    def call(self, call: Call, reply: Callable[[object], None]) -> None:
        assert isinstance(call, RelayCall)
        self.asks[int(self.world.clock.now)] += 1
        answer = self.relay.ask(call.ask, self.world.clock.now)
        if isinstance(answer, HeldAsk):
            self.replies[answer.number] = reply
        else:
            reply(self.tamper(answer))
        self.pump()

    def send_ready_replies(self) -> None:
        for number, answer in self.relay.take_ready(self.world.clock.now):
            self.replies.pop(number)(self.tamper(answer))

    def adopt(self, file: MemberFile) -> None:
        """Adopt a newer members file."""
        placement = self.relay.placement
        if self.up and placement is not None and placement.epoch < file.epoch:
            placement.adopt(file)

    def step(self) -> None:
        """Do the next moves of the placement, now and once per `STEP_S`."""
        if self.up and self.relay.placement is not None:
            self.relay.placement_changed(self.relay.placement.step())
            self.pump()
            self.world.clock.at(self.world.clock.now + STEP_S, self.step)

    def load(self, since: float, until: float) -> float:
        """Return the most asks in one second of this period."""
        return max((self.asks[second] for second in range(int(since), ceil(until))), default=0)

    def mean_load(self, since: float, until: float) -> float:
        """Return the mean asks per second in this period."""
        seconds = range(int(since), int(until))
        return sum(self.asks[second] for second in seconds) / len(seconds)


class SenderNode(Node):
    """A simulated sender: the subscription, and the endpoints that a decision module would know."""

    def __init__(self, world: World, name: str, zone: str, subscription: Subscription) -> None:
        super().__init__(world, name, zone)
        self.subscription = subscription
        self.endpoints: dict[str, EndpointRecord] = {}
        self.versions: dict[int, int] = {}

    @property
    def machine(self) -> Subscription:
        return self.subscription

    def apply_update(self, update: Update) -> None:
        super().apply_update(update)
        for record in update.removed:
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
        self.world.record_applied(self)

    def snapshots(self) -> tuple[list[ShardSnapshot], PlacementUpdate]:
        """Return what a sender saves on disk."""
        store = self.subscription.store
        return [store.snapshot(shard) for shard in store.shards()], self.subscription.placement

    @property
    def stored_ids(self) -> set[str]:
        """The ids of the records in its store."""
        store = self.subscription.store
        return {name for shard in store.shards() for name in store.records(shard)}


class World:
    """The simulated fleet with its network and virtual clock."""

    def __init__(
        self, seed: int, zones: int = 4, senders: int = 16, shard_count: int = 64, destinations: int = 200,
        top_relays: int = 2, conditions: Conditions | None = None, settings: RelaySettings | None = None,
        timing: Timing | None = None, step_moves: int = 16,
    ) -> None:  # fmt: skip
        self.rng = Random(seed)
        self.clock = Clock()
        self.number = 0
        self.conditions = conditions or Conditions()
        self.timing = timing or Timing()
        self.settings = settings or RelaySettings()
        self.shard_count = shard_count
        self.placement_settings = PlacementSettings(shard_count, step_moves=step_moves)
        # Whether two zones are cut off from each other.
        self.partitioned: Callable[[str, str], bool] = lambda one, other: False
        self.discovery = Discovery(self)
        self.zones = [f"z{i}" for i in range(zones)]
        members = tuple(Member(f"s{i}", f"z{i % zones}") for i in range(senders))
        self.file = MemberFile(1, members)
        # By sender: shard, version and start time of each awaited change.
        self.awaited_changes: dict[str, list[tuple[int, int, float]]] = {}
        self.times: list[float] = []  # seconds from a change until one sender has applied it
        self.discovery.put([self.line(f"e{i}", i) for i in range(destinations)])
        self.top_relays = [f"top{i}" for i in range(top_relays)]
        self.relays: dict[str, RelayNode] = {}
        self.senders: dict[str, SenderNode] = {}
        for name in [*self.top_relays, *(f"relay-{zone}" for zone in self.zones)]:
            self.start_relay(name)
        self.run(3)
        for member in members:
            self.start_sender(member)
        self.run(5)

    @staticmethod
    def line(name: str, cell: int, state: str = "active", weight: float = 1.0) -> dict[str, Any]:
        return {"id": name, "addr": "10.0.0.1:80", "zone": "a", "kind": "k", "cell": cell, "state": state,
                "weight": weight, "started_ms": 0}  # fmt: skip

    # Starting and stopping nodes

    def start_relay(self, name: str) -> RelayNode:
        """Start a relay without any saved state."""
        store = ShardStore(self.shard_count)
        upstream: ListWatch | Subscription
        zone = (
            name.removeprefix("relay-") if name.startswith("relay-") else f"core{self.top_relays.index(name)}"
        )
        if name in self.top_relays:
            upstream = ListWatch(store, RELAY_TIMING, Random(self.rng.random()))
        else:
            top_relays = [RelayName(top, f"core{i}") for i, top in enumerate(self.top_relays)]
            picker = Picker(top_relays, zone, RELAY_TIMING, Random(self.rng.random()))
            upstream = Subscription(name, store, picker, RELAY_TIMING, Random(self.rng.random()), True)
        relay = Relay(
            name,
            upstream,
            self.settings,
            Placement(self.file, self.placement_settings),
            self.rng.randrange(1 << 32),
        )
        node = self.relays[name] = RelayNode(self, name, zone, relay)
        self.clock.at(self.clock.now, node.pump)
        self.clock.at(self.clock.now + STEP_S, node.step)
        return node

    def start_sender(self, member: Member, previous: SenderNode | None = None) -> SenderNode:
        """Start a sender. `previous` is its previous process run, whose saved list it loads."""
        store = ShardStore(self.shard_count, log_limit=0)
        names = [RelayName(f"relay-{zone}", zone) for zone in self.zones]
        picker = Picker(names, member.zone, self.timing, Random(self.rng.random()))
        subscription = Subscription(member.name, store, picker, self.timing, Random(self.rng.random()))
        node = self.senders[member.name] = SenderNode(self, member.name, member.zone, subscription)
        if previous is not None:
            node.apply_update(subscription.restore(*previous.snapshots(), self.clock.now - 60))
        self.clock.at(self.clock.now + self.rng.random(), node.pump)
        return node

    def kill(self, node: Node) -> None:
        """Stop a node; calls to it are reset from now on."""
        node.up = False
        if isinstance(node, RelayNode):
            for fail in list(node.in_flight.values()):
                self.clock.at(self.clock.now + self.delay(), fail)

    def restart_relay(self, name: str) -> RelayNode:
        """Kill a relay and start it again without any saved state."""
        self.kill(self.relays[name])
        return self.start_relay(name)

    def revive(self, name: str) -> None:
        """Start a relay again if it is down."""
        if not self.relays[name].up:
            self.start_relay(name)

    # The network

    def delay(self) -> float:
        """Draw the delay of one message."""
        return self.conditions.delay_s * (0.5 + 0.5 * self.rng.random())

    def lost(self, one: Node | Discovery, other: Node | Discovery) -> bool:
        """Draw whether a message is lost; between nodes that are cut off each one is."""
        return self.rng.random() < self.conditions.loss or self.partitioned(one.zone, other.zone)

    def send(self, caller: Node, call: Call) -> None:
        """Send a call. The caller gets exactly one outcome: an answer, a reset or a time-out."""
        callee = self.callee(call)
        self.number += 1
        number = self.number

        def finish(act: Callable[[], None]) -> None:
            if callee.in_flight.pop(number, None) is not None:
                act()

        def fail() -> None:
            finish(lambda: caller.failed(call, silent=False))

        def time_out() -> None:
            finish(lambda: caller.failed(call, silent=True))

        def reply(answer: object) -> None:
            if not self.lost(callee, caller):
                self.clock.at(
                    self.clock.now + self.delay(), lambda: finish(lambda: caller.answered(call, answer))
                )

        def arrive() -> None:
            if number in callee.in_flight:
                callee.call(call, reply)

        callee.in_flight[number] = fail
        self.clock.at(self.clock.now + call.limit_s, time_out)
        if self.lost(caller, callee):
            return
        self.clock.at(self.clock.now + self.delay(), arrive if callee.up else fail)

    def callee(self, call: Call) -> RelayNode | Discovery:
        """Return the node that a call is made to."""
        return self.discovery if isinstance(call, ListCall) else self.relays[call.relay]

    # Members and messages

    def adopt(self, members: tuple[Member, ...]) -> None:
        """Start the next epoch with these members; each relay reads the file at another time."""
        self.file = MemberFile(self.file.epoch + 1, members)
        for node in self.relays.values():
            self.clock.at(self.clock.now + 5 * self.rng.random(), partial(node.adopt, self.file))

    def message(self, node: SenderNode, shard: int, for_s: float) -> None:
        """Report an accepted message to a sender, which finishes `for_s` later."""

        def finish() -> None:
            if node.up:
                node.apply_update(node.subscription.message_finished(shard))

        node.subscription.message_accepted(shard, self.clock.now)
        node.pump()
        self.clock.at(self.clock.now + for_s, finish)

    # Changes, and when senders apply them

    def change(self, lines: Iterable[dict[str, Any]]) -> None:
        """Publish changed entries, and await them at each sender that follows their shards."""
        lines = list(lines)
        self.discovery.put(lines)
        shards = {shard_of(line["cell"], self.shard_count) for line in lines}
        for node in self.senders.values():
            for shard in shards & node.subscription.shards():
                change = shard, self.discovery.version, self.clock.now
                self.awaited_changes.setdefault(node.name, []).append(change)

    def random_change(self) -> None:
        """Add, remove or drain an endpoint, or change its weight."""
        name, draw = f"e{self.rng.randrange(400)}", self.rng.random()
        cell = self.discovery.lines.get(name, {}).get("cell", self.rng.randrange(200))
        state = "left" if draw < 0.2 else "leaving" if draw < 0.4 else "active"
        self.change([self.line(name, cell, state, weight=round(self.rng.random() + 0.5, 3))])

    def changes(self, count: int, interval_s: float) -> None:
        """Schedule random changes from now on."""
        for i in range(count):
            self.clock.at(self.clock.now + i * interval_s, self.random_change)

    def record_applied(self, node: SenderNode) -> None:
        """Record how long the awaited changes took that the sender has now applied."""
        store = node.subscription.store
        awaited = self.awaited_changes.get(node.name, [])
        remaining = []
        for shard, version, since in awaited:
            if shard in store and store.version(shard) >= version:
                self.times.append(self.clock.now - since)
            elif node.subscription.follows(shard):
                remaining.append((shard, version, since))
        self.awaited_changes[node.name] = remaining

    @property
    def unapplied(self) -> int:
        """The number of awaited changes that senders have not applied yet."""
        return sum(map(len, self.awaited_changes.values()))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.clock.run(self.clock.now + seconds)

    def listed(self, shards: Iterable[int]) -> dict[str, EndpointRecord]:
        """Return discovery's records of these shards."""
        wanted = set(shards)
        records = map(EndpointRecord.from_line, self.discovery.lines.values())
        return {one.id: one for one in records if shard_of(one.destination, self.shard_count) in wanted}

    def assert_current(self, names: Iterable[str] | None = None) -> None:
        """Check that each sender has discovery's records of its shards, in its store and from its updates."""
        for name in names if names is not None else self.senders:
            node = self.senders[name]
            listed = self.listed(node.subscription.shards())
            assert node.endpoints == listed, (
                f"{name}: has {len(node.endpoints)} endpoints, discovery lists {len(listed)}"
            )
            assert node.stored_ids == listed.keys()
