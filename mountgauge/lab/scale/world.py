"""A fleet in virtual time: simulated senders, a tree of relays and discovery, with a schedule of changes and
faults.

Runs with the same seed are identical except for processor time. Discovery is in region 0, the upper relays
are spread over the regions, and each zone has one relay.
"""

from __future__ import annotations

import random
import sys
from functools import partial
from statistics import fmean

from mountgauge.lab.scale.accounts import Accounts, Role, load_peak
from mountgauge.lab.scale.discovery import DiscoveryList, Line
from mountgauge.lab.scale.memory import deep_size
from mountgauge.lab.scale.nodes import DiscoveryNode, FleetContext, RelayNode, SenderNode
from mountgauge.lab.scale.placements import FleetPlacement
from mountgauge.lab.scale.propagation import Histogram, PropagationTracker
from mountgauge.lab.scale.results import Propagation, RelayCosts, SenderCosts, SizeResult
from mountgauge.lab.scale.schedule import (
    Fault,
    FaultKind,
    ListChange,
    Location,
    MembershipChange,
    MembershipKind,
    Schedule,
    region_of_zone,
)
from mountgauge.lab.scale.settings import ScaleSettings, Size
from mountgauge.lab.scale.simulated import (
    RecordPool,
    SavedState,
    SimulatedRelay,
    SimulatedSender,
    policy_settings,
)
from mountgauge.lab.scale.simulation import EventLoop, Network, Party
from mountgauge.sharding.list_watch import ListWatch
from mountgauge.sharding.members import Member
from mountgauge.sharding.picker import Picker, RelayName
from mountgauge.sharding.placement import Placement
from mountgauge.sharding.relay import Relay, RelaySettings
from mountgauge.sharding.shards import EndpointRecord, shard_of
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.timing import RELAY_TIMING, Timing
from mountgauge.sharding.upstream import Update

PLACEMENT_STEP_S = 1.0  # between two placement steps at a relay
MEMBER_FILE_SPREAD_S = 1.0  # a new members file reaches the relays within this time
_ZONE_RELAYS_START_S = 3.0  # after the upper relays, which have the full list by then
_START_SPREAD_S = 2.0  # at the run's start all senders start within this time
_DISCOVERY_REGION = 0
_PLACEMENT = "placement"  # tracker topic of membership changes; the other topics are shard numbers
_SAMPLED_SENDERS = 12  # senders whose memory is measured


def sender_name(sender: int) -> str:
    """The name of a sender, as long as the host names of a large fleet."""
    return f"sender-{sender:05d}"


class World:
    """The simulated fleet of one size."""

    def __init__(self, settings: ScaleSettings, size: Size, schedule: Schedule) -> None:
        self.settings, self.size, self.schedule = settings, size, schedule
        self.rng = random.Random(f"{settings.seed} {size} world")
        self.loop = EventLoop()
        self.network = Network(self.loop, settings.network, random.Random(self.rng.random()))
        self.tracker = PropagationTracker()
        self.timing = Timing()
        self.zones = tuple(f"zone-{zone}" for zone in range(settings.fleet.zones))
        self.list = DiscoveryList(size.destinations, self.zones)
        self.relays: dict[str, RelayNode] = {}
        self.senders: dict[int, SenderNode] = {}  # running processes
        self.accounts = Accounts()
        self.starts = Histogram()  # seconds from the start of a process until it has all its shards
        self.start_cpu_s: list[float] = []
        self.start_bytes: list[int] = []
        self.moved_share = 0.0
        party = Party("discovery", _DISCOVERY_REGION)
        discovery = DiscoveryNode(self.loop, self.network, self.list, party)
        self.context = FleetContext(self.loop, self.network, RecordPool(), self.relays, discovery)
        self.placement = FleetPlacement(
            [Member(sender_name(one), self._zone(one)) for one in range(size.senders)],
            size.shards, settings.fleet.replicas,
        )  # fmt: skip
        self._cut_regions: set[int] = set()  # regions without a path to discovery
        self._down_until: dict[int, float] = {}
        self._saved: dict[int, SavedState] = {}  # of senders that are down
        self._policy_settings = policy_settings(size.senders)
        self._discovery_calls = 0
        self._start_all()
        self._schedule_events()

    def run_until(self, end: float) -> None:
        """Run the simulation up to a time."""
        self.loop.run_until(end)

    # Locations

    def _location(self, sender: int) -> Location:
        """The location of a sender; an added sender shares the location of an initial one."""
        return self.schedule.locations[sender % len(self.schedule.locations)]

    def _zone(self, sender: int) -> str:
        return self.zones[self._location(sender).zone]

    # Starting and ending processes

    def _start_all(self) -> None:
        fleet = self.settings.fleet
        self._upper = [RelayName(f"upper-{one}", f"upper-zone-{one}") for one in range(fleet.upper_relays)]
        self._zonal = [RelayName(f"relay-{zone}", zone) for zone in self.zones]
        for number in range(len(self._upper)):
            self._start_relay(number)
        self.loop.at(_ZONE_RELAYS_START_S, self._start_zone_relays)
        for sender in range(self.size.senders):
            at = self.rng.uniform(_ZONE_RELAYS_START_S, _ZONE_RELAYS_START_S + _START_SPREAD_S)
            self.loop.at(at, partial(self._start_sender, sender))

    def _start_zone_relays(self) -> None:
        """Start the zone relays with the list already filled in; restarted ones fetch it."""
        source = self.relays[self._upper[0].name].machine.relay.store
        for number in range(len(self._upper), len(self._upper) + len(self._zonal)):
            self._start_relay(number, source)

    def _start_relay(self, number: int, filled_from: ShardStore | None = None) -> None:
        """Start relay `number`; the upper relays have the first numbers."""
        fleet, upper = self.settings.fleet, len(self._upper)
        store, rng = ShardStore(self.size.shards), random.Random(self.rng.random())
        if number < upper:
            role, name = Role.UPPER_RELAY, self._upper[number].name
            region = number * fleet.regions // upper
            relay = Relay(name, ListWatch(store, RELAY_TIMING, rng), RelaySettings())
        else:
            zone = number - upper
            role, name = Role.ZONE_RELAY, self._zonal[zone].name
            region = region_of_zone(zone, fleet.zones, fleet.regions)
            picker = Picker(self._upper, self.zones[zone], RELAY_TIMING, rng)
            upstream = Subscription(name, store, picker, RELAY_TIMING, rng, all_shards=True)
            relay = Relay(name, upstream, RelaySettings(), self.placement.for_relay())
        load = self.relays[name].load if name in self.relays else None
        node = RelayNode(self.context, Party(name, region), SimulatedRelay(relay, self.size.shards), load)
        self.relays[name] = node
        self.accounts.started(role, node)
        if filled_from is not None:
            node.machine.fill(filled_from, self.loop.now)
        node.drive()

    def _stop_relay(self, number: int) -> None:
        names = [*self._upper, *self._zonal]
        name = names[number].name
        role = Role.UPPER_RELAY if number < len(self._upper) else Role.ZONE_RELAY
        self.relays[name].end()
        self.accounts.ended(role, name)

    def _start_sender(self, sender: int, saved: SavedState | None = None) -> None:
        machine = SimulatedSender(
            sender_name(sender), self._zone(sender), self._zonal, self.timing, self.size.shards,
            self._policy_settings, self.rng.getrandbits(60),
        )  # fmt: skip
        party = Party(sender_name(sender), self._location(sender).region)
        node = SenderNode(self.context, party, sender, machine, self._updated)
        self.senders[sender] = node
        self.accounts.started(Role.SENDER, node)
        if saved is not None:
            machine.restore(saved, self.loop.now)
        node.drive()

    def _stop_sender(self, sender: int, until: float, keeps_folder: bool) -> None:
        """End its process now; the next one starts at `until`, or later if another fault lasts longer."""
        self._down_until[sender] = max(until, self._down_until.get(sender, 0.0))
        node = self.senders.pop(sender, None)
        if not keeps_folder:
            self._saved.pop(sender, None)
        elif node is not None and node.ready_at is not None:
            self._saved[sender] = node.machine.save()
        if node is not None:
            node.end()
            self.accounts.ended(Role.SENDER, sender_name(sender))
            self.tracker.process_ended(sender)

    def _restart_sender(self, sender: int) -> None:
        if sender not in self.senders and self.loop.now >= self._down_until[sender]:
            self._start_sender(sender, self._saved.pop(sender, None))

    # Events

    def _schedule_events(self) -> None:
        for change in self.schedule.changes:
            self.loop.at(change.at, partial(self._change_list, change))
        for membership in self.schedule.membership:
            self.loop.at(membership.at, partial(self._change_members, membership))
        for fault in self.schedule.faults:
            self.loop.at(fault.at, partial(self._begin_fault, fault))
            self.loop.at(fault.until, partial(self._end_fault, fault))
        self.loop.at(self.settings.warm_s, self._begin_counting)

    def _begin_counting(self) -> None:
        self.accounts.begin(self.loop.now)
        self._discovery_calls = self.context.discovery.calls

    def _change_list(self, change: ListChange) -> None:
        self.list.apply(change)
        shard = shard_of(change.destination, self.size.shards)
        waiting = [
            number for name in self.placement.target.replicas(shard)
            if (number := sender_number(name)) in self.senders
            and self.senders[number].machine.subscription.follows(shard)
        ]  # fmt: skip
        has_applied = partial(self._has_applied, shard, change)
        self.tracker.changed(shard, change.destination, change.number, waiting, self.loop.now, has_applied)
        self.context.discovery.changed()

    def _has_applied(self, shard: int, change: ListChange, sender: int) -> bool:
        return self.senders[sender].machine.has_applied(shard, change.destination, change.number)

    def _change_members(self, change: MembershipChange) -> None:
        name = sender_name(change.sender)
        if change.kind is MembershipKind.REMOVED:
            moves = self.placement.remove(name)
            self.moved_share = max(self.moved_share, moves.moved / max(1, moves.removed_replicas))
        else:
            moves = self.placement.add(name, self._zone(change.sender))
            self._start_sender(change.sender)
        waiting = [one for affected in moves.affected if (one := sender_number(affected)) in self.senders]
        self.tracker.changed(
            _PLACEMENT, name, self.placement.file.epoch, waiting, self.loop.now, self._has_applied_placement
        )
        for relay in self._zonal:
            delay_s = self.rng.uniform(0.0, MEMBER_FILE_SPREAD_S)
            self.loop.after(delay_s, partial(self._relay_adopts, relay.name))

    def _has_applied_placement(self, sender: int) -> bool:
        assigned = self.placement.target.shards(sender_name(sender))
        subscription = self.senders[sender].machine.subscription
        return subscription.shards() == assigned and all(shard in subscription.store for shard in assigned)

    def _relay_adopts(self, name: str) -> None:
        node = self.relays[name]
        placement = node.machine.relay.placement
        if placement is not None and node.party.up:
            placement.adopt(self.placement.file)
            self._step_placement(node, placement)

    def _step_placement(self, node: RelayNode, placement: Placement) -> None:
        if node.party.up and placement.pending:
            node.step_placement(placement.step)
            self.loop.after(PLACEMENT_STEP_S, partial(self._step_placement, node, placement))

    # Faults

    def _begin_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.REGION_CUT:
                self.network.cut(fault.targets[0])
            case FaultKind.SLOW_RELAY:
                self._slow_relay_by(fault.targets[0], self.settings.faults.slow_by_s)
            case FaultKind.RELAY_LOST:
                self._stop_relay(fault.targets[0])
            case _:
                for sender in fault.targets:
                    self._stop_sender(sender, fault.until, fault.kind is FaultKind.RESTART)
        if fault.kind is FaultKind.ZONE:
            self._stop_relay(self._relay_of(fault))
        self._update_reachability()

    def _end_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.REGION_CUT:
                self.network.heal(fault.targets[0])
            case FaultKind.SLOW_RELAY:
                self._slow_relay_by(fault.targets[0], 0.0)
            case FaultKind.RELAY_LOST:
                self._restart_relay(fault.targets[0])
            case _:
                for sender in fault.targets:
                    self._restart_sender(sender)
        if fault.kind is FaultKind.ZONE:
            self._restart_relay(self._relay_of(fault))
        self._update_reachability()

    def _relay_of(self, fault: Fault) -> int:
        return len(self._upper) + self._location(fault.targets[0]).zone

    def _restart_relay(self, number: int) -> None:
        name = [*self._upper, *self._zonal][number].name
        if not self.relays[name].party.up:
            self._start_relay(number)

    def _slow_relay_by(self, number: int, by_s: float) -> None:
        self.relays[[*self._upper, *self._zonal][number].name].party.slow_by_s = by_s

    def _update_reachability(self) -> None:
        """Restart the clock of pending changes in regions that have a path to discovery again."""
        regions = range(self.settings.fleet.regions)
        cut = {region for region in regions if not self._can_reach_discovery(region)}
        healed = self._cut_regions - cut
        self._cut_regions = cut
        if healed:
            senders = {one for one, node in self.senders.items() if node.party.region in healed}
            self.tracker.restart_clock(senders, self.loop.now)

    def _can_reach_discovery(self, region: int) -> bool:
        """Whether a region reaches a zone relay that reaches discovery through an upper relay."""
        connected = self.network.connected
        upper_regions = [
            party.region for name in self._upper
            if (party := self.relays[name.name].party).up and connected(party.region, _DISCOVERY_REGION)
        ]  # fmt: skip
        return any(
            party.up
            and connected(region, party.region)
            and any(connected(party.region, one) for one in upper_regions)
            for name in self._zonal
            if (party := self.relays[name.name].party)
        )

    # Updates of senders

    def _updated(self, node: SenderNode, update: Update) -> None:
        now = self.loop.now
        for shard in update.shards:
            self.tracker.updated(node.number, shard, now)
        self.tracker.updated(node.number, _PLACEMENT, now)
        if update.placement is not None:
            self._unfollow(node)
        if node.ready_at == now and now > self.settings.warm_s:
            self.starts.record(now - node.started_at)
            self.start_cpu_s.append(node.machine.processor.spent_s)
            self.start_bytes.append(node.party.traffic.bytes)

    def _unfollow(self, node: SenderNode) -> None:
        for topic in self.tracker.topics():
            if isinstance(topic, int) and not node.machine.subscription.follows(topic):
                self.tracker.unfollowed(node.number, topic)

    # Figures

    def result(self, wall_s: float, resident_mb: float) -> SizeResult:
        """All figures, at the end of the run."""
        now, size = self.loop.now, self.size
        return SizeResult(
            size=size,
            sender=self._sender_costs(),
            zone_relay=self._relay_costs(Role.ZONE_RELAY, self._zonal[0].name),
            upper_relay=self._relay_costs(Role.UPPER_RELAY, self._upper[0].name),
            relay_load_peak=load_peak(
                [self.relays[one.name] for one in self._zonal], self.settings.warm_s, now
            ),
            discovery_calls_s=(self.context.discovery.calls - self._discovery_calls)
            / (now - self.settings.warm_s),
            propagation=self._propagation(),
            moved_share=self.moved_share,
            wrong=self.wrong_shards(),
            changes=len(self.schedule.changes) + len(self.schedule.membership),
            faults=len(self.schedule.faults),
            wall_s=wall_s,
            resident_mb=resident_mb,
        )

    def _propagation(self) -> Propagation:
        steady, healed, starts = self.tracker.steady, self.tracker.after_heal, self.starts
        return Propagation(
            steady.count, steady.quantile(0.5), steady.quantile(0.99), steady.worst,
            healed.count, healed.worst, starts.count, starts.worst,
            self.tracker.pending(), self.tracker.not_waited_for, steady.encoded(),
        )  # fmt: skip

    def _sender_costs(self) -> SenderCosts:
        mean = self.accounts.mean(Role.SENDER, self.loop.now)
        numbers = sorted(self.senders)[:: max(1, len(self.senders) // _SAMPLED_SENDERS)]
        shared: list[object] = [self._policy_settings, self.timing, self._zonal, sys.modules]
        sizes = [deep_size(self.senders[one].machine.state, shared) for one in numbers]
        return SenderCosts(
            mean.cpu_share, mean.kb_s, mean.messages_s, fmean(sizes) / 1e6,
            fmean(self.start_cpu_s) if self.start_cpu_s else 0.0,
            fmean(self.start_bytes) / 1000 if self.start_bytes else 0.0,
        )  # fmt: skip

    def _relay_costs(self, role: Role, sampled: str) -> RelayCosts:
        mean = self.accounts.mean(role, self.loop.now)
        mb = deep_size([self.relays[sampled].machine.relay], [self.timing, sys.modules]) / 1e6
        return RelayCosts(mean.count, mean.cpu_share, mean.most_cpu_share, mean.kb_s, mean.messages_s, mb)

    def wrong_shards(self) -> int:
        """The number of shards whose copy at a sender differs from discovery's list."""
        listed: dict[int, dict[str, Line]] = {}
        for line in self.list.lines:
            listed.setdefault(shard_of(line.destination, self.size.shards), {})[line.id] = line
        wrong = 0
        for number, node in self.senders.items():
            machine = node.machine
            for shard in self.placement.target.shards(sender_name(number)):
                held = machine.store.records(shard)
                wanted = listed.get(shard, {})
                correct = held.keys() == wanted.keys() and all(
                    _same_entry(record, wanted[name]) and name.encode() in machine.policy.endpoints
                    for name, record in held.items()
                )
                wrong += shard not in machine.store or not correct
        return wrong


def _same_entry(record: EndpointRecord, line: Line) -> bool:
    return (record.state.value, record.weight, record.started_ms) == (line.state, line.weight, line.number)


def sender_number(name: str) -> int:
    """The number in a sender's name."""
    return int(name.rpartition("-")[2])
