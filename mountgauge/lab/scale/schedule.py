"""The schedule of a scale run, drawn from one seed: changes and faults with their times. No I/O, no clock.

The same settings, size and seed always give the same schedule. Times are in seconds from the run's start.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from mountgauge.lab.scale.settings import ScaleSettings, Size


class ChangeKind(StrEnum):
    """How a destination's entry in the list changes."""

    WEIGHT = "weight"
    LEAVING = "leaving"  # its endpoint drains
    REPLACED = "replaced"  # its endpoint has left, and another one replaces it


class FaultKind(StrEnum):
    """What fails in a fault."""

    RESTART = "restart"
    MACHINE = "machine"
    RACK = "rack"
    ZONE = "zone"
    REGION_CUT = "region-cut"
    SLOW_RELAY = "slow-relay"
    RELAY_LOST = "relay-lost"


class MembershipKind(StrEnum):
    """How the members change."""

    REMOVED = "removed"
    ADDED = "added"


@dataclass(frozen=True, slots=True)
class Location:
    """The region, zone and rack of a sender."""

    region: int
    zone: int
    rack: int


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of one destination at discovery. `number` counts the changes from 1, in order of time."""

    at: float
    number: int
    destination: int
    kind: ChangeKind


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """A sender that is removed for good, or a new one that is added."""

    at: float
    sender: int
    kind: MembershipKind


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from `at` to `until`. `targets`: the senders, or the relay, or the region that is cut off."""

    at: float
    until: float
    kind: FaultKind
    targets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Schedule:
    """All changes and faults of a run of one size."""

    locations: tuple[Location, ...]  # by sender
    changes: tuple[ListChange, ...]
    membership: tuple[MembershipChange, ...]
    faults: tuple[Fault, ...]


def region_of_zone(zone: int, zones: int, regions: int) -> int:
    """The region of a zone: zones are spread over the regions as evenly as possible."""
    return zone * regions // zones


def draw(settings: ScaleSettings, size: Size) -> Schedule:
    """Draw the schedule of one size."""
    rng = random.Random(f"{settings.seed} {size.senders} {size.destinations}")
    locations = _locations(settings, size.senders)
    return Schedule(
        locations,
        _changes(settings, size.destinations, rng),
        _membership(settings, size.senders, rng),
        _faults(settings, locations, rng),
    )


def _locations(settings: ScaleSettings, senders: int) -> tuple[Location, ...]:
    """Assign senders to the zones in turn, and in each zone fill one rack after another."""
    fleet = settings.fleet
    in_zone = [0] * fleet.zones
    racks: dict[tuple[int, int], int] = {}
    locations = []
    for sender in range(senders):
        zone = sender % fleet.zones
        key = (zone, in_zone[zone] // fleet.senders_per_rack)
        in_zone[zone] += 1
        rack = racks.setdefault(key, len(racks))
        locations.append(Location(region_of_zone(zone, fleet.zones, fleet.regions), zone, rack))
    return tuple(locations)


def _changes(settings: ScaleSettings, destinations: int, rng: random.Random) -> tuple[ListChange, ...]:
    """Draw changes at the steady rate, and bursts of a multiple of it at random times."""
    changes, begin, end = settings.changes, settings.warm_s, settings.warm_s + settings.duration_s
    times = _poisson(rng, changes.per_s, begin, end)
    for _ in range(changes.bursts):
        start = rng.uniform(begin, max(begin, end - changes.burst_s))
        times += _poisson(rng, changes.per_s * changes.burst_factor, start, start + changes.burst_s)
    kinds = list(ChangeKind)
    return tuple(
        ListChange(at, number, rng.randrange(destinations), rng.choice(kinds))
        for number, at in enumerate(sorted(times), 1)
    )


def _poisson(rng: random.Random, rate: float, begin: float, end: float) -> list[float]:
    times: list[float] = []
    at = begin
    while rate > 0:
        at += rng.expovariate(rate)
        if at >= end:
            break
        times.append(at)
    return times


def _membership(settings: ScaleSettings, senders: int, rng: random.Random) -> tuple[MembershipChange, ...]:
    """Draw senders that are removed and added in turn. A new sender gets the next number."""
    begin, span = settings.warm_s, settings.duration_s
    times = sorted(rng.uniform(begin, begin + span * 0.8) for _ in range(settings.changes.membership))
    removed: set[int] = set()
    added = 0
    found = []
    for index, at in enumerate(times):
        if index % 2 == 0 and len(removed) < senders // 2:
            sender = rng.choice([one for one in range(senders) if one not in removed])
            removed.add(sender)
            found.append(MembershipChange(at, sender, MembershipKind.REMOVED))
        else:
            found.append(MembershipChange(at, senders + added, MembershipKind.ADDED))
            added += 1
    return tuple(found)


def _faults(
    settings: ScaleSettings, locations: tuple[Location, ...], rng: random.Random
) -> tuple[Fault, ...]:
    faults, fleet = settings.faults, settings.fleet
    begin, span = settings.warm_s, settings.duration_s
    senders = range(len(locations))
    found: list[Fault] = []

    def add_fault(kind: FaultKind, length_s: float, targets: tuple[int, ...]) -> None:
        latest = max(0.0, span - length_s)
        at = begin + rng.uniform(0.0, latest)
        found.append(Fault(at, at + length_s, kind, targets))

    for _ in range(round(faults.restart_share * len(locations))):
        add_fault(FaultKind.RESTART, faults.restart_s, (rng.choice(senders),))
    for _ in range(_at_least_one(faults.machine_share, len(locations))):
        add_fault(FaultKind.MACHINE, faults.machine_s, (rng.choice(senders),))
    for _ in range(faults.racks):
        rack = rng.choice(sorted({location.rack for location in locations}))
        add_fault(FaultKind.RACK, faults.rack_s, tuple(s for s in senders if locations[s].rack == rack))
    for _ in range(faults.zones):
        zone = rng.randrange(fleet.zones)
        add_fault(FaultKind.ZONE, faults.zone_s, tuple(s for s in senders if locations[s].zone == zone))
    for _ in range(faults.region_cuts):
        add_fault(FaultKind.REGION_CUT, faults.region_cut_s, (rng.randrange(fleet.regions),))
    relays = fleet.upper_relays + fleet.zones
    for _ in range(faults.slow_relays):
        add_fault(FaultKind.SLOW_RELAY, faults.slow_relay_s, (rng.randrange(relays),))
    for _ in range(faults.relays_lost):
        add_fault(FaultKind.RELAY_LOST, faults.relay_lost_s, (rng.randrange(relays),))
    return tuple(sorted(found, key=lambda fault: (fault.at, fault.kind, fault.targets)))


def _at_least_one(share: float, count: int) -> int:
    return max(1, round(share * count)) if share > 0 else 0
