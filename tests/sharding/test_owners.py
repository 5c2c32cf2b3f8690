"""The load on a cold destination from the decision modules of all its owners, in virtual time."""

from __future__ import annotations

import math
from bisect import bisect_left
from typing import Any

import pytest

from benchmarks.comeback_model import Fleet, settings
from mountgauge.lab.rig.capacity_model import CapacityModel
from mountgauge.sharding.ramp import budget_with_chance_margin, cold_budget
from rillspindle import Policy
from rillspindle import interface as io

REPLICAS = 3
RULES = settings(REPLICAS, 12, True)["obligations"]


class Owners(Fleet):
    """Four modules that divide limits by `divisor`; messages go to the modules in `placed`."""

    def __init__(self, divisor: int, rate: float, seed: int) -> None:
        self.divisor, self.placed = divisor, (0, 1, 2)
        cold = CapacityModel(rate, cold_share=RULES["startCapacity"], warm_s=RULES["cold"])
        super().__init__(REPLICAS + 1, rate, 0.9 * rate, seed, 12, True, cold)

    def _new(self, place: int) -> Any:
        member = super()._new(place)
        member.policy = Policy(settings(self.divisor, self.slots, True), self._rng.getrandbits(60))
        return member

    def _feed(self, place: int, event: io.Event) -> None:
        if isinstance(event, io.Incoming):
            place = self.placed[event.msg_id % len(self.placed)]
        super()._feed(place, event)


def restart_cold(divisor: int, rate: float, seed: int, moved: bool) -> tuple[Owners, float]:
    """Restart the destination, cold, and all owners; after 3 s one may hand the shard to a fourth."""
    fleet = Owners(divisor, rate, seed)
    fleet.start_all()
    fleet.run(15.0)
    since = fleet.now
    fleet.capacity.go_cold(since)
    for place in fleet.placed:
        fleet.start(place)
    fleet.run(3.0)
    if moved:
        fleet.start(3)
        fleet.placed = (1, 2, 3)
    fleet.run(17.0)
    return fleet, since


def max_excess(fleet: Owners, since: float, multiple: float) -> float:
    """Return by how many calls the busiest time span exceeds its budget with the margin for chance."""
    span, calls = RULES["fall"], sorted(at for at in (*fleet.served, *fleet.refused) if at >= since)
    worst = -math.inf
    for at in calls:
        if at + span <= fleet.now:
            budget = cold_budget(fleet.capacity.capacity_between(at, at + span), multiple)
            arrived = bisect_left(calls, at + span) - bisect_left(calls, at)
            worst = max(worst, arrived - budget_with_chance_margin(budget))
    return worst


@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("rate", [20.0, 100.0])
@pytest.mark.parametrize("seed", range(3))
def test_three_owners_and_a_new_one_ramp_up_as_after_a_restart(rate: float, moved: bool, seed: int) -> None:
    fleet, since = restart_cold(REPLICAS, rate, seed, moved)
    assert max_excess(fleet, since, RULES["fallMultiple"]) <= 0
    assert max_excess(fleet, since, 0.75 * RULES["fallMultiple"]) <= 0  # with a reserve
    if moved:
        assert not fleet.process_runs[0].policy.messages  # the previous owner has finished its messages
    assert sum(at >= since for at in fleet.served) >= 0.4 * rate * 20.0  # its capacity is used


def test_owners_that_did_not_divide_limits_would_exceed_the_budget() -> None:
    divided, since = restart_cold(REPLICAS, 100.0, 1, True)
    alone, alone_since = restart_cold(1, 100.0, 1, True)
    assert max_excess(divided, since, 1.0) <= 5 < 15 < max_excess(alone, alone_since, 1.0)
