"""Capacity of a fleet of a given size, computed from kept measurements. No I/O, no clock.

A `Figure` (`figures`) is a value with its 95 % interval, or `Unknown`, together with its origin. Sums add the
lower and the upper ends of intervals, which gives wider intervals than independent errors would. A `Limit`
(`limits`) is a cost with a bound; limits are ordered by the full size over the size that reaches the bound.
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
    """The effects of one kind of failure; `per_day` is its frequency at the full size."""

    label: str
    per_day: float
    senders: float
    events_per_s: float  # that other senders take over
    waiting: float  # messages that wait until their sender has restarted
    moved_replicas: float  # if the failed senders are removed for good
    stale: str
    refused: str


@dataclass(frozen=True, slots=True)
class OutageRow:
    """One way of sending and one length of an outage, at one destination and over the fleet."""

    run: OutageRun
    trials_fleet: float  # per second, at all destinations that are down
    trials_sender: float  # per second, of one sender
    budget: float  # capacity in calls of a cold destination in the first `RETURN_S`
    allowed: float  # the budget with an allowance for random variation


@dataclass(frozen=True, slots=True)
class Capacity:
    """All figures of the capacity page."""

    size: FleetSize
    roles: tuple[Role, ...]
    data: tuple[Row, ...]
    failures: tuple[FailureRow, ...]
    outages: tuple[OutageRow, ...]
    limits: tuple[BreakPoint, ...]


def failure_rows(size: FleetSize) -> tuple[FailureRow, ...]:
    """The effects of the failures that the size lists."""
    events_per_s, backlog = size.events_per_sender_s, size.backlog_per_sender
    replicas_per_sender = size.shards * size.places / size.senders
    senders_per_zone, senders_per_region = size.senders_per_zone, size.senders / size.regions
    missed = size.changes_per_s * size.region_cut_s

    def row(
        label: str, per_day: float, senders: float, moved_replicas: float, stale: str, refused: str
    ) -> FailureRow:
        return FailureRow(
            label, per_day, senders, senders * events_per_s, senders * backlog, moved_replicas, stale, refused
        )

    cut = FailureRow(
        "regions cut from each other",
        size.region_cuts_per_year / 365,
        senders_per_region,
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
            replicas_per_sender,
            "nothing elsewhere",
            "nothing elsewhere; what it holds waits for its disk",
        ),
        row(
            "a rack or switch",
            size.racks_per_year / 365,
            size.rack_senders,
            replicas_per_sender * size.rack_senders,
            "nothing elsewhere",
            "nothing elsewhere; what they hold waits",
        ),
        row(
            "a zone",
            size.zones_per_year / 365,
            senders_per_zone,
            replicas_per_sender * senders_per_zone,
            "its relay's senders, until they ask another",
            "nothing elsewhere; no shard is without a place",
        ),
        cut,
    )


def outage_rows(kept: KeptResults, size: FleetSize) -> tuple[OutageRow, ...]:
    """The kept runs of outages, scaled to the fleet."""
    rows = []
    for run in kept.outages:
        trials_per_s = run.seen.trials_per_s * size.destinations_down
        budget = cold_budget(run.listed_rate, RETURN_S)
        rows.append(
            OutageRow(
                run, trials_per_s, trials_per_s / size.senders, budget, budget + 2 * math.sqrt(budget) + 2
            )
        )
    return tuple(rows)


def compute_capacity(kept: KeptResults, size: FleetSize) -> Capacity:
    """Compute all figures of the page."""
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
