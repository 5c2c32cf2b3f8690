"""Capacity at a fleet's size, worked out from kept measurements. Pure: no I/O, no clock.

A `Figure` (`figures`) is a value with its 95 % interval or `Unknown`, and says where it comes from. Sums add
intervals end by end, which is wider than chance alone would make them. A `Limit` (`limits`) is a cost with a
bound; the factor from where it is reached to the full size orders what breaks next.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from mountgauge.lab.scale.figures import Role, Row
from mountgauge.lab.scale.kept_results import KeptResults, OutageRun
from mountgauge.lab.scale.limits import BreakPoint, worst_first
from mountgauge.lab.scale.outage import RETURN_S, cold_budget
from mountgauge.lab.scale.roles import (
    agent_role,
    budgets_role,
    data_rows,
    discovery_role,
    front_role,
    relay_role,
    sender_role,
    telemetry_role,
    tenants_role,
)
from mountgauge.lab.scale.size import FleetSize


@dataclass(frozen=True, slots=True)
class FailureRow:
    """What one kind of failure does. `per_day` at the full size."""

    label: str
    per_day: float
    senders: float
    events_per_s: float  # that others take over
    held: float  # messages that wait until their sender is back
    shards: float  # places that move where it is taken out for good
    stale: str
    refused: str


@dataclass(frozen=True, slots=True)
class OutageRow:
    """One way and length of an outage, at one destination and over the fleet."""

    run: OutageRun
    trials_fleet: float  # a second, all destinations that are down
    trials_sender: float
    budget: float  # calls that a cold destination bears in the first seconds
    allowed: float  # with what is put down to chance


@dataclass(frozen=True, slots=True)
class Capacity:
    size: FleetSize
    roles: tuple[Role, ...]
    data: tuple[Row, ...]
    failures: tuple[FailureRow, ...]
    outages: tuple[OutageRow, ...]
    limits: tuple[BreakPoint, ...]


def failure_rows(size: FleetSize) -> tuple[FailureRow, ...]:
    each, held = size.events_per_sender_s, size.backlog_per_sender
    own = size.shards * size.places / size.senders
    zone, region = size.senders_per_zone, size.senders / size.regions
    missed = size.changes_per_s * size.region_cut_s

    def row(
        label: str, per_day: float, senders: float, shards: float, stale: str, refused: str
    ) -> FailureRow:
        return FailureRow(label, per_day, senders, senders * each, senders * held, shards, stale, refused)

    cut = FailureRow(
        "regions cut from each other",
        size.region_cuts_per_year / 365,
        region,
        0.0,
        0.0,
        0.0,
        f"on one side {missed:.0f} changes in {size.region_cut_s:.0f} s, and until it is current again",
        "nothing by configuration; budgets without a majority: all past the reserve",
    )

    return (
        row(
            "a restart or replacement",
            size.restarts_per_day,
            1,
            0,
            "its own list, until its first answer",
            "what its clients hand in while it starts",
        ),
        row(
            "a machine",
            size.machines_failed_per_day,
            1,
            own,
            "nothing elsewhere",
            "nothing elsewhere; what it holds waits for its disk",
        ),
        row(
            "a rack or switch",
            size.racks_per_year / 365,
            size.rack_senders,
            own * size.rack_senders,
            "nothing elsewhere",
            "nothing elsewhere; what they hold waits",
        ),
        row(
            "a zone",
            size.zones_per_year / 365,
            zone,
            own * zone,
            "its relay's senders, until they ask another",
            "nothing elsewhere; no shard is without a place",
        ),
        cut,
    )


def outage_rows(kept: KeptResults, size: FleetSize) -> tuple[OutageRow, ...]:
    rows = []
    for run in kept.outages:
        fleet = run.seen.trials_per_s * size.destinations_down
        budget = cold_budget(run.listed_rate, RETURN_S)
        rows.append(OutageRow(run, fleet, fleet / size.senders, budget, budget + 2 * math.sqrt(budget) + 2))
    return tuple(rows)


def compute_capacity(kept: KeptResults, size: FleetSize) -> Capacity:
    """All of the page's figures."""
    roles = (
        sender_role(kept, size),
        relay_role(kept, size),
        front_role(size),
        discovery_role(kept, size),
        agent_role(size),
        budgets_role(kept, size),
        tenants_role(kept, size),
        telemetry_role(kept, size),
    )
    return Capacity(
        size,
        roles,
        data_rows(kept, size),
        failure_rows(size),
        outage_rows(kept, size),
        worst_first(kept, size),
    )
