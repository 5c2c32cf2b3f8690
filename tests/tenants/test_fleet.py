"""Fleets in virtual time: failures of members, disks, clocks and the network, reproducible by seed."""

from __future__ import annotations

import pytest

from benchmarks.fleet_model import FLUSH, Disk, NetworkFaults, World
from mountgauge.tenants.bounds import (
    count_error,
    lost_on_kill,
    overshoot,
    overshoot_split,
    report_age_bound,
)
from mountgauge.tenants.members import Presence, Timing
from mountgauge.tenants.quota import Quota, Split
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES

LOSSY = NetworkFaults(
    loss=0.3, delay=0.5, jitter=0.2, duplicated=0.1
)  # jitter reorders: sends are 0.25 s apart
EIGHT = [f"n{i}" for i in range(8)]
QUOTA = Quota(20, 40)


def fleet(seed: int, network: NetworkFaults | None = None, names: list[str] = EIGHT, **more: object) -> World:
    world = World({"a": QUOTA, "b": None}, seed, network, **more)  # type: ignore[arg-type]
    world.add(*names)
    world.until(5)
    return world


def excess(world: World, since: float, quota: Quota = QUOTA) -> float:
    """Messages of tenant a above its quota for the time since then."""
    return world.accepted["a"] - quota.rate * (world.time - since) - quota.burst


@pytest.mark.parametrize("seed", range(3))
def test_counts_converge_despite_loss_delay_duplicates_and_reordering(seed: int) -> None:
    world = fleet(seed, LOSSY)
    age = report_age_bound(0.25, LOSSY.loss, LOSSY.delay + LOSSY.jitter, 8, 4, FLUSH)
    truth: list[tuple[float, int]] = []
    world.load({"a": 60, "b": 40}, 25)
    most = 0.0
    while world.time < 25:
        world.until(world.time + 0.25)
        truth.append((world.time, world.accepted["b"]))
        then = max((n for at, n in truth if at <= world.time - 5), default=0)
        for node in world.up:
            # Never more than the truth.
            assert node.used("b") <= world.accepted["b"] and node.used("a") <= world.accepted["a"]
            if then >= 200:
                most = max(most, 1 - node.used("b") / then)
                assert world.accepted["b"] - node.used("b") <= count_error(40, age) + 8
                assert world.accepted["b"] <= node.high("b")
        assert excess(world, 0) <= overshoot(20, 40, 8, age)
    assert most <= 0.02
    assert world.until_exact(10) < 10
    assert sum(n.fleet.dropped["replayed"] for n in world.up) > 20 and world.largest <= MAX_DATAGRAM_BYTES
    assert world.accepted["a"] >= 0.85 * (20 * 20 + 40)  # the quota is used almost fully


@pytest.mark.parametrize("split", list(Split))
def test_quotas_and_counts_during_a_split_into_halves_and_after_it(split: Split) -> None:
    quota = Quota(20, 20, split)
    world = World({"a": quota, "b": None}, 5, NetworkFaults(loss=0.1, delay=0.05))
    world.add(*EIGHT)
    world.until(5)
    world.load({"a": 80, "b": 20}, 55)
    world.until(15)
    before = world.accepted["a"]
    world.partition_of = lambda name: name < "n4"
    world.until(25)
    assert all(n.fleet.members.split for n in world.up)
    # The upper bound grows with the time since the last report.
    assert all(world.accepted["b"] <= n.high("b") for n in world.up)
    world.until(45)
    age = report_age_bound(0.25, 0.1, 0.05, 8, 4, FLUSH)
    bound = overshoot_split(20, 20, 8, age, world.timing.gone)
    taken = world.accepted["a"] - before
    if split is Split.SHARE:
        assert excess(world, 5, quota) <= bound and taken > 0.85 * 20 * 30
    elif split is Split.FULL:
        assert 1.6 * 20 * 30 < taken <= 2 * (20 * 30 + 20) + bound
    else:  # neither half has a majority
        assert taken <= 20 * world.timing.gone + bound
    world.partition_of = None
    world.until(50)
    assert not any(n.fleet.members.split for n in world.up)
    at_healing = world.accepted["a"]
    world.until(55)
    assert world.accepted["a"] - at_healing > 0.5 * 20 * 5  # the debt from the split is repaid soon
    assert world.until_exact(10) < 5


@pytest.mark.parametrize("keep", [True, False])
def test_a_member_restarts_with_or_without_its_disk(keep: bool) -> None:
    world = fleet(7, NetworkFaults(loss=0.3, delay=0.2, jitter=0.2))
    world.load({"a": 30, "b": 40}, 30)
    for when in (8.03, 12.57, 13.4, 18.05):  # the third comes before the second has reached all members
        world.until(when)
        replicated = max(n.used("b") for n in world.up if n.name != "n3")
        node = world.restart("n3", keep)
        if when == 12.57:
            continue
        world.until(when + 4)
        assert node.used("b") >= replicated  # it receives its own past; nothing replicated is lost
    world.until(40)
    used = {n.used("b") for n in world.up}
    assert len(used) == 1
    lost = world.accepted["b"] - used.pop()
    if keep:  # exact except for what was not flushed
        assert lost == world.uncounted["b"] <= 4 * (lost_on_kill(40 / 8, FLUSH) + 3)
    else:  # and for what no other member had received
        age = report_age_bound(0.25, 0.3, 0.4, 8, 4, FLUSH)
        assert 0 <= lost <= 4 * (count_error(40 / 8, age) + 3)
    assert all(not n.fleet.counts_uncertain and not n.fleet.members.conflicts() for n in world.up)
    world.until(60)  # abandoned incarnations are folded, and their counts stay
    assert {world.accepted["b"] - n.used("b") for n in world.up} == {lost}
    assert len([m for m in world.nodes["n0"].fleet.members.all.values() if m.name == "n3"]) == 1


def test_a_member_restarts_at_a_new_address() -> None:
    world = fleet(8)
    world.load({"b": 40}, 20)
    world.until(10)
    old = world.nodes["n3"]
    old.kill()
    world.start("n3", ("10.0.0.9", 99), old.disk)
    world.until(21)
    assert world.until_exact(5) < 5 and not any(n.fleet.members.split for n in world.up)


def test_a_disk_that_is_older_than_what_peers_hold_starts_a_new_incarnation() -> None:
    """A folder restored from a backup: adding to the old counts would hide counts that peers hold."""
    world = fleet(9)
    world.load({"b": 40}, 20)
    world.until(6)
    node = world.nodes["n3"]
    node.flush()
    copy = Disk(node.disk.life, node.disk.boot, node.disk.own)
    world.until(14)
    node.kill()
    world.start("n3", node.place, copy)
    world.until(21)
    assert world.nodes["n3"].renewed == 1
    assert world.until_exact(5) < 5 and not any(n.fleet.counts_uncertain for n in world.up)


def test_two_members_under_one_name_are_a_conflict_and_count_correctly() -> None:
    world = fleet(10, NetworkFaults(loss=0.1, delay=0.1))
    world.load({"b": 40}, 30)
    world.until(8)
    world.at_place.pop(("10.0.0.8", 77), None)
    twin = world.start("n3", ("10.0.0.8", 77))  # empty disk: another incarnation
    world.nodes["twin"] = twin
    world.nodes["n3"] = world.at_place[("10.0.0.1", 4)]
    world.until(20)
    assert all(n.fleet.members.conflicts() == {"n3"} for n in world.up)
    world.until(31)
    assert world.until_exact(5) < 5  # two incarnations: nothing is counted twice
    twin.leave()
    world.until(40)
    assert not any(n.fleet.members.conflicts() for n in world.up) and world.exact()


def test_a_copied_folder_is_detected_and_its_counts_are_marked_as_uncertain() -> None:
    world = fleet(11)
    world.load({"b": 40}, 30)
    world.until(8)
    node = world.nodes["n3"]
    node.flush()
    # The same incarnation and number of starts.
    copy = Disk(node.disk.life, node.disk.boot - 1, node.disk.own)
    world.nodes["twin"] = world.start("n3", ("10.0.0.8", 77), copy)
    world.nodes["n3"] = node
    world.until(25)
    assert node.renewed + world.nodes["twin"].renewed >= 1
    assert node.fleet.counts_uncertain or world.nodes["twin"].fleet.counts_uncertain
    assert all("n3" in n.fleet.members.conflicts() for n in world.up)


def test_no_result_depends_on_synchronized_clocks() -> None:
    def simulate(offsets: list[float], jumps: bool) -> World:
        world = World({"a": QUOTA, "b": None}, 12, NetworkFaults(loss=0.2, delay=0.1))
        world.add(*EIGHT)
        for node, ahead in zip(world.up, offsets, strict=True):
            disk, place, name = node.disk, node.place, node.name
            node.up = False
            world.start(name, place, disk, ahead)
        world.until(5)
        world.load({"a": 60, "b": 40}, 30)
        if jumps:
            world.until(15)
            for node in world.up[:3]:
                node.clock_offset_s += 10  # its clock jumps: all others seem silent for that long
        world.until(30)
        return world

    same, apart = simulate([0.0] * 8, False), simulate([10.0 * i - 35 for i in range(8)], False)
    assert same.accepted["b"] == apart.accepted["b"] and abs(same.accepted["a"] - apart.accepted["a"]) <= 12
    for world in (same, apart):
        assert all(world.accepted["b"] - n.used("b") <= count_error(40, 2) for n in world.up)
        assert world.until_exact(10) < 5
    jumped = simulate([0.0] * 8, True)
    assert jumped.until_exact(10) < 5
    assert excess(jumped, 5) <= 20 * 10 / 8 * 3 + overshoot(20, 40, 8, 5)  # three members gain 10 s of quota
    assert not any(n.fleet.members.split for n in jumped.up)


def test_members_that_come_and_go_leave_only_their_counts_behind() -> None:
    world = fleet(13, NetworkFaults(loss=0.2, delay=0.05), EIGHT[:4], timing=Timing(2.5, 5, 40, 3))
    world.load({"b": 30}, 200)
    for number in range(24):
        world.until(world.time + 5)
        place = ("10.0.1.0", number + 1)
        node = world.start(f"pod{number}", place)
        if number >= 2:
            old = world.nodes[f"pod{number - 2}"]
            old.kill() if number % 3 == 0 else old.leave()
            del world.nodes[old.name]
            world.at_place.pop(old.place)
        assert len(node.fleet.plan.peers) == 4  # its file lists the first four, which discover it by gossip
    world.until(260)
    used = {n.used("b") for n in world.up}
    # 8 were killed for good, with counts that no other member had received.
    assert len(used) == 1 and 0 <= world.accepted["b"] - max(used) <= 8 * (30 / 6 * 1.5 + 3)
    for node in world.up:
        assert len(node.admission.counts.incarnations) <= 4 + 2 + 1 and len(node.fleet.contacts) <= 8
        assert node.admission.counts.folded_count >= 20 and not node.fleet.diverged
    newcomer = world.start("late", ("10.0.2.0", 1))
    world.until(270)
    assert {newcomer.used("b")} == used


def test_a_member_forgotten_during_a_long_split_rejoins_with_uncertain_counts() -> None:
    world = fleet(14, timing=Timing(2.5, 5, 20, 2))
    world.load({"b": 40}, 60)
    world.until(10)
    world.partition_of = lambda name: name == "n0"
    world.until(50)
    assert len(world.nodes["n1"].fleet.members.known) == 7
    world.partition_of = None
    world.until(70)
    separated = world.nodes["n0"]
    # What it counted alone is missing in the others' past.
    assert separated.renewed == 1 and separated.fleet.counts_uncertain
    assert len({n.used("b") for n in world.up if n is not separated}) == 1


def test_traffic_for_ten_thousand_tenants_on_32_members_grows_only_with_changes() -> None:
    names = {f"t{i}": None for i in range(10_000)}  # the documentation has the figures of a longer run
    world = World(names, 15, NetworkFaults(loss=0.1, delay=0.05))
    world.add(*[f"m{i}" for i in range(32)])
    world.until(5)
    quiet_from, datagrams = world.bytes, world.datagrams
    world.until(10)
    quiet = (world.bytes - quiet_from) / 5 / 32
    assert world.datagrams - datagrams <= 32 * 5 * (4 + 1 + 4) * 4
    for number in range(10_000):
        world.up[number % 32].offer(f"t{number}")
    busy_from, began = world.bytes, world.time
    while any(sum(n.admission.counts.total) < 10_000 for n in world.up):
        world.until(world.time + 1)
        assert world.time - began < 30
    assert all(n.admission.counts.total == world.up[0].admission.counts.total for n in world.up)
    spent = (world.bytes - busy_from) / 32
    assert world.largest <= MAX_DATAGRAM_BYTES
    # Proportional to the changes: 10,000 entries of some 15 bytes reach each of 32 members a few times.
    assert spent <= 10_000 * 15 * 6 + quiet * (world.time - began) * 2
    world.until(world.time + 5)
    settled = world.bytes
    world.until(world.time + 5)
    assert (world.bytes - settled) / 5 / 32 <= 1.5 * quiet  # not proportional to the number of tenants
    for node in world.up:
        assert all(m.presence is Presence.PRESENT for m in node.fleet.members.all.values())


def test_tenants_that_only_another_member_configures_are_bounded() -> None:
    """Counts of a member with more tenants than the others are accepted up to the limit."""
    world = World({"a": None}, 16, spare=10)
    world.add("x", "y")
    world.quotas = {"a": None, **{f"own{i}": None for i in range(500)}}
    big = world.start("z", ("10.0.0.7", 1))
    for i in range(500):
        big.offer(f"own{i}")
    world.until(20)
    for name in ("x", "y"):
        counts = world.nodes[name].admission.counts
        assert len(counts.keys) <= 2 + 10 and counts.over_limit > 0
    before = world.bytes
    world.until(30)
    assert (world.bytes - before) / 10 / 3 < 20_000  # what exceeds the limit is not requested forever
