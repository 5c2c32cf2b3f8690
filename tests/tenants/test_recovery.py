"""Tenants after most of a fleet was killed and its folders lost, in virtual time on a foul network."""

from __future__ import annotations

import pytest

from benchmarks.fleet_model import FLUSH, NetworkFaults, World
from mountgauge.tenants.bounds import joined_after, overshoot, word_age
from mountgauge.tenants.members import Members
from mountgauge.tenants.quota import Quota

FOUL = NetworkFaults(loss=0.3, delay=0.5, jitter=0.2, duplicated=0.1)
EIGHT = [f"n{i}" for i in range(8)]
QUOTA = Quota(20, 20)


def lost(seed: int) -> tuple[World, float, int]:
    """Six of eight are killed at one moment, come back with nothing, and the load goes on for 20 s."""
    world = World({"a": QUOTA, "b": None}, seed, FOUL)
    world.add(*EIGHT)
    world.load({"a": 60, "b": 40}, 35)
    world.until(15)
    for name in EIGHT[2:]:
        world.restart(name, keep=False)
    return world, world.time, world.accepted["a"]


@pytest.mark.parametrize("seed", range(3))
def test_the_whole_quota_is_in_use_again_five_seconds_after_the_last_start(seed: int) -> None:
    world, start, before = lost(seed)
    age = word_age(0.25, FOUL.loss, FOUL.delay + FOUL.jitter, 8, 4, FLUSH)
    world.until(start + 5)
    at_five = world.accepted["a"]
    while world.time < 35:
        world.until(world.time + 0.25)
        over = world.accepted["a"] - before - QUOTA.rate * (world.time - start) - QUOTA.burst
        assert over <= overshoot(20, 20, 8, age)
    assert world.accepted["a"] - at_five >= 0.9 * QUOTA.rate * (35 - start - 5)


@pytest.mark.parametrize("seed", range(3))
def test_a_number_that_is_not_joined_does_not_call_itself_exact(seed: int) -> None:
    world, _, _ = lost(seed)
    world.until(35)
    quiet = word_age(0.25, FOUL.loss, FOUL.delay + FOUL.jitter, 8, 4, FLUSH)
    bound = joined_after(0.25, FOUL.loss, FOUL.delay + FOUL.jitter, 8, 4, FLUSH, 5.0, ended=6)
    seen: list[tuple[float, str, int, bool]] = []
    while world.time < 35 + quiet + bound:
        world.until(world.time + 0.25)
        for node in world.up:
            exact = not node.fleet.unjoined(node.now)
            seen.append((world.time, node.name, node.used("b"), exact))
    final = {count for at, _, count, _ in seen if at >= world.time}
    assert len(final) == 1 and all(exact for at, _, _, exact in seen if at >= world.time)
    wrong = [one for one in seen if one[0] >= 35 + quiet and one[3] and one[2] not in final]
    assert wrong == [], "exact, and more was still to come"


def test_a_life_that_another_replaces_at_its_address_leaves_at_once_and_a_conflict_does_not() -> None:
    world = World({"a": QUOTA}, 1, NetworkFaults(loss=0.0, delay=0.05))
    world.add("n0", "n1", "n2")
    world.load({"a": 30}, 6)
    world.until(6)
    world.restart("n2", keep=False)
    world.until(8)
    for node in world.up:
        old = [m for m in node.fleet.members.all.values() if m.name == "n2" and not Members.here(m)]
        assert len(old) <= 1 and not node.fleet.members.split
        assert len(node.fleet.members.present) == 3, "long before it would be gone (5 s)"
