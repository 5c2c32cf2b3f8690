"""A fleet in virtual time: whatever fails, the shares never sum to more than the total, and are used."""

from __future__ import annotations

from unittest import mock

import pytest

from benchmarks.budget_fleet import NetworkFaults, World, by_name, even, mean_utilization
from mountgauge.budgets import timing
from mountgauge.budgets.shares import Budget, Kind

RATE = Budget("calls", Kind.RATE, 100, burst=30, reserve=0.04, lease_s=2.0)
OUT = Budget("out", Kind.CONCURRENT, 40, reserve=0.0, lease_s=2.0, ends_within_s=1.0)
BAD = NetworkFaults(loss=0.3, delay_s=0.1, jitter_s=0.4, duplicated=0.2)
LONG = Budget("calls", Kind.RATE, 100, burst=30, reserve=0.04, lease_s=4.0)
CHECK_S = 0.02  # of virtual time, between two checks of the sums


def fleet(count: int = 6, seed: int = 1, network: NetworkFaults | None = None, *budgets: Budget) -> World:
    world = World(budgets or (RATE, OUT), [f"m{index}" for index in range(count)], seed, network=network)
    world.demand = lambda name, budget, at: 200.0 / count
    return world


def settled(count: int = 6, seed: int = 1, network: NetworkFaults | None = None) -> World:
    world = fleet(count, seed, network)
    world.until(8, CHECK_S)
    assert world.utilization(RATE) > 0.95 or network is not None
    return world


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("network", [None, BAD])
def test_the_total_is_in_use_and_never_exceeded(seed: int, network: NetworkFaults | None) -> None:
    """Where answers come half a second late and half of them are lost, a lease must last some seconds."""
    world = fleet(6, seed, network, LONG, OUT)
    assert mean_utilization(world, LONG, 12, 18) >= 0.95 and world.overallocations == []
    shares = world.shares("calls")
    assert min(shares.values()) >= 0.85 * max(shares.values()), "even demand, even shares"


def test_a_member_with_all_the_demand_gets_nearly_the_total_and_returns_it() -> None:
    world = settled()
    world.demand = by_name({"m3": 300.0})
    assert mean_utilization(world, RATE, 12, 14) >= 0.9
    world.demand = even(40.0)
    assert mean_utilization(world, RATE, 20, 22) >= 0.95 and world.overallocations == []


@pytest.mark.parametrize("folder", ["kept", "lost", "old"])
@pytest.mark.parametrize("count", [1, 3, 6])
def test_restarted_members_do_not_use_slices_of_others(folder: str, count: int) -> None:
    world = settled()
    for index in range(count):
        world.restart(f"m{index}", folder)
    world.until(8 + timing.reuse_after_crash(RATE.lease_s, 0, 0.02) + 2, CHECK_S)
    assert world.overallocations == [] and world.utilization(RATE) >= 0.95


def test_a_crashed_members_share_is_reused_after_its_lease_and_after_a_goodbye_at_once() -> None:
    world = settled()
    world.kill("m0")
    world.until(8 + timing.reuse_after_crash(RATE.lease_s, 0, 0.02) + 2, CHECK_S)
    own = RATE.reserve * 100 / 6
    assert sum(world.shares("calls").values()) >= 100 - own - 1e-6, "the total without its reserve"
    world.goodbye("m1")
    world.until(world.time + timing.reuse_after_goodbye() + 0.5, CHECK_S)
    assert sum(world.shares("calls").values()) >= 100 - 2 * own - 1 and world.overallocations == []


@pytest.mark.parametrize("sizes", [(3, 3), (2, 2, 2), (4, 2)])
def test_a_partition_without_a_majority_has_only_its_reserves(sizes: tuple[int, ...]) -> None:
    world = settled()
    names, groups = [f"m{index}" for index in range(6)], []
    for size in sizes:
        groups.append(frozenset(names[:size]))
        names = names[size:]
    world.network = NetworkFaults(groups=tuple(groups))
    world.until(16, CHECK_S)
    for group in groups:
        held = sum(world.shares("calls")[name] for name in group)
        want = 100 - (6 - len(group)) * RATE.reserve * 100 / 6 if len(group) > 3 else len(group) * 4 / 6
        assert held == pytest.approx(want, abs=1.5)
    world.network = NetworkFaults()
    world.until(22, CHECK_S)
    assert world.utilization(RATE) >= 0.95 and world.overallocations == []


def test_moving_partitions_and_one_way_losses_while_slices_move() -> None:
    world = settled(5, 3)
    for step in range(24):
        world.demand = by_name({f"m{step % 5}": 200.0, f"m{(step + 2) % 5}": 50.0})
        cut = frozenset({f"m{step % 5}", f"m{(step + 1) % 5}"})
        others = frozenset({f"m{index}" for index in range(5)}) - cut
        not_receiving = frozenset({f"m{(step + 3) % 5}"})
        world.network = NetworkFaults(0.2, 0.05, 0.3, 0.2, (cut, others) if step % 3 else (), not_receiving)
        world.until(world.time + 0.7, CHECK_S)
    assert world.overallocations == []


def test_a_paused_holder_uses_no_slice_that_others_have() -> None:
    world = settled()
    world.pause("m0", 9.0)
    world.until(16.9, CHECK_S)
    assert world.shares("calls")["m0"] == pytest.approx(RATE.reserve * 100 / 6), (
        "its leases expire by its own clock"
    )
    world.until(24, CHECK_S)
    assert world.utilization(RATE) >= 0.95 and world.overallocations == []


def test_members_are_added_and_removed_under_load() -> None:
    world = settled(3)
    names = ["m0", "m1", "m2"]
    for name in ("m3", "m4", "m5"):
        names.append(name)
        world.change(names)
        world.add(name)
        for one in names:
            world.reload(one)
        world.until(world.time + 5, CHECK_S)
    assert len(world.shares("calls")) == 6 and min(world.shares("calls").values()) > 10
    for name in ("m0", "m4", "m1"):
        names.remove(name)
        world.change(names)
        for one in [*names, name]:
            world.reload(one)
        world.until(world.time + 2, CHECK_S)
        world.goodbye(name)
        world.until(world.time + 3, CHECK_S)
    assert world.overallocations == [] and sum(world.shares("calls").values()) > 95


def test_the_total_is_lowered_and_raised_while_it_is_in_use() -> None:
    world = settled()
    for total in (40, 100, 10):
        low = Budget("calls", Kind.RATE, total, burst=30, reserve=0.04, lease_s=2.0)
        for index in range(6):  # one file after another: the smallest known total binds
            world.budgets = [low, OUT]
            world.reload(f"m{index}")
            world.until(world.time + 0.5, CHECK_S)
        world.until(world.time + 6, CHECK_S)
        assert sum(world.shares("calls").values()) == pytest.approx(total, rel=0.05)
    assert world.overallocations == []


def test_a_budget_that_is_removed_and_added_again_continues_its_ask_numbers() -> None:
    world = settled()
    member = world.nodes["m1"].member
    assert member is not None
    asked = member.states["calls"].leases.number
    for budgets in ([OUT], [RATE, OUT]):
        world.budgets = budgets
        world.reload("m1")
    assert member.states["calls"].leases.number == asked, "late answers to earlier asks must not count"
    world.until(16, CHECK_S)
    assert world.overallocations == [] and world.utilization(RATE) >= 0.95


@pytest.mark.parametrize("total", [0, 1, 5])
@pytest.mark.parametrize("count", [1, 2, 4])
def test_a_small_total_is_divided_in_full(total: int, count: int) -> None:
    few = Budget("few", Kind.CONCURRENT, total, reserve=0.0, lease_s=2.0)
    world = fleet(count, 1, None, few)
    world.until(9, CHECK_S)
    assert sum(world.shares("few").values()) == total and world.overallocations == []


def test_calls_of_a_crashed_holder_count_until_they_have_surely_ended() -> None:
    slow = Budget("out", Kind.CONCURRENT, 8, reserve=0.0, lease_s=2.0, ends_within_s=6.0)
    world = fleet(3, 1, None, slow)
    world.until(14, CHECK_S)
    had = world.shares("out")["m0"]
    world.kill("m0")
    world.until(14 + 7.5, CHECK_S)
    assert sum(world.shares("out").values()) == 8 - had, "its calls may still run at the partner"
    world.until(14 + timing.reuse_after_crash(2.0, 6.0, 0.02) + 2, CHECK_S)
    assert sum(world.shares("out").values()) == 8


def test_a_seed_determines_the_history() -> None:
    found = []
    for _ in range(2):
        world = fleet(4, 7, BAD)
        world.until(6)
        found.append((world.sent, world.shares("calls")))
    assert found[0] == found[1]


def _no_silence(longest: float, drift: float) -> float:
    return 0.0


def _lease_too_long(lease: float, drift: float) -> float:
    return 4 * lease


@pytest.mark.parametrize(("rule", "replacement"), [("silence", _no_silence), ("used_for", _lease_too_long)])
def test_a_missing_rule_is_found_by_the_check_of_sums(rule: str, replacement: object) -> None:
    with mock.patch.object(timing, rule, replacement):
        world = fleet()
        world.until(9, CHECK_S)
        world.network = NetworkFaults(groups=(frozenset({"m0"}), frozenset(f"m{n}" for n in range(1, 6))))
        for index in range(1, 6):
            world.restart(f"m{index}", "lost")
        world.until(14, CHECK_S)
        assert world.overallocations
