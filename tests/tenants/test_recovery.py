"""Counts and quotas after most members were killed and lost their folders, on a lossy virtual network."""

from __future__ import annotations

import pytest

from benchmarks.fleet_model import FLUSH, NetworkFaults, World
from mountgauge.tenants.bounds import convergence_bound, overshoot, report_age_bound
from mountgauge.tenants.members import Members
from mountgauge.tenants.quota import Quota

LOSSY = NetworkFaults(loss=0.3, delay=0.5, jitter=0.2, duplicated=0.1)
EIGHT = [f"n{i}" for i in range(8)]
QUOTA = Quota(20, 20)


def fleet_after_loss(seed: int) -> tuple[World, float, int]:
    """Six of eight members restart at once without their folders; the load continues for 20 s."""
    world = World({"a": QUOTA, "b": None}, seed, LOSSY)
    world.add(*EIGHT)
    world.load({"a": 60, "b": 40}, 35)
    world.until(15)
    for name in EIGHT[2:]:
        world.restart(name, keep=False)
    return world, world.time, world.accepted["a"]


@pytest.mark.parametrize("seed", range(3))
def test_the_quota_is_fully_used_and_not_exceeded_five_seconds_after_the_restart(seed: int) -> None:
    world, start, before = fleet_after_loss(seed)
    age = report_age_bound(0.25, LOSSY.loss, LOSSY.delay + LOSSY.jitter, 8, 4, FLUSH)
    world.until(start + 5)
    at_five = world.accepted["a"]
    while world.time < 35:
        world.until(world.time + 0.25)
        excess = world.accepted["a"] - before - QUOTA.rate * (world.time - start) - QUOTA.burst
        assert excess <= overshoot(20, 20, 8, age)
    assert world.accepted["a"] - at_five >= 0.9 * QUOTA.rate * (35 - start - 5)


@pytest.mark.parametrize("seed", range(3))
def test_a_count_is_not_reported_as_exact_while_counts_are_missing(seed: int) -> None:
    world, _, _ = fleet_after_loss(seed)
    world.until(35)
    settled = report_age_bound(0.25, LOSSY.loss, LOSSY.delay + LOSSY.jitter, 8, 4, FLUSH)
    bound = convergence_bound(0.25, LOSSY.loss, LOSSY.delay + LOSSY.jitter, 8, 4, FLUSH, 5.0, ended=6)
    seen: list[tuple[float, str, int, bool]] = []
    while world.time < 35 + settled + bound:
        world.until(world.time + 0.25)
        for node in world.up:
            exact = not node.fleet.sync_gap(node.now)
            seen.append((world.time, node.name, node.used("b"), exact))
    final = {count for at, _, count, _ in seen if at >= world.time}
    assert len(final) == 1 and all(exact for at, _, _, exact in seen if at >= world.time)
    wrong = [one for one in seen if one[0] >= 35 + settled and one[3] and one[2] not in final]
    assert wrong == [], "reported as exact while counts were missing"


def test_an_incarnation_that_is_replaced_at_its_address_is_marked_as_left_at_once() -> None:
    world = World({"a": QUOTA}, 1, NetworkFaults(loss=0.0, delay=0.05))
    world.add("n0", "n1", "n2")
    world.load({"a": 30}, 6)
    world.until(6)
    world.restart("n2", keep=False)
    world.until(8)
    for node in world.up:
        old = [m for m in node.fleet.members.all.values() if m.name == "n2" and not Members.is_present(m)]
        assert len(old) <= 1 and not node.fleet.members.split
        assert len(node.fleet.members.present) == 3, "not only after it is gone (5 s)"
