"""Tests of the scale run: settings, schedules, the simulated network and fleet, results and exit codes."""

from __future__ import annotations

import json
import math
import os
import random
import subprocess
import sys
import tomllib
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import orjson
import pytest

from mountgauge.core.config import ConfigError
from mountgauge.lab.scale.discovery import DiscoveryList, endpoint_id
from mountgauge.lab.scale.live import compare
from mountgauge.lab.scale.memory import deep_size, machine_memory
from mountgauge.lab.scale.page import Chart, page_text
from mountgauge.lab.scale.propagation import Histogram, PropagationTracker
from mountgauge.lab.scale.results import (
    Comparison,
    Propagation,
    RelayCosts,
    ScaleResult,
    SenderCosts,
    SizeResult,
    broken_bounds,
    slopes,
    with_io,
)
from mountgauge.lab.scale.schedule import ChangeKind, Fault, FaultKind, ListChange, MembershipKind, draw
from mountgauge.lab.scale.settings import (
    FaultSettings,
    NetworkSettings,
    RealSettings,
    ScaleSettings,
    Size,
    parse,
)
from mountgauge.lab.scale.simulation import EventLoop, Network, Party
from mountgauge.lab.scale.worker import run_size
from mountgauge.lab.scale.world import World

SMALL = """
name = "small"
seed = 1
duration_s = 40
warm_s = 8
settle_s = 12
[[size]]
senders = 24
destinations = 300
shards = 64
[fleet]
regions = 2
zones = 4
upper_relays = 2
senders_per_rack = 3
[changes]
per_s = 1.0
bursts = 1
burst_factor = 20
membership = 2
[faults]
restart_share = 0.1
machine_share = 0.05
machine_s = 5
racks = 1
rack_s = 5
zones = 1
zone_s = 5
region_cuts = 1
region_cut_s = 15
slow_relays = 1
slow_relay_s = 5
relays_lost = 1
relay_lost_s = 10
"""


def settings(text: str = SMALL, **change: Any) -> ScaleSettings:
    return replace(parse(tomllib.loads(text)), **change)


# Settings


def test_settings_are_read_with_defaults() -> None:
    found = settings()
    assert found.sizes == (Size(24, 300, 64),)
    assert found.fleet.replicas == 3 and found.network == NetworkSettings()
    assert found.total_s == 60.0


@pytest.mark.parametrize(
    ("line", "why"),
    [
        ("colour = 3\n", "colour: unknown setting"),
        ("workers = 9\n", "workers: must be 1 to 8"),
        ("duration_s = 0\n", "duration_s: must be above 0"),
        ("seed = true\n", "seed: wrong type"),
        ("[network]\nloss = 1.0\n", "network.loss: must be 0 or more, and below 1"),
        ("[network]\ndelay_s = 1.0\n", "network.delay_s: unknown setting"),
        ("[fleet]\nzones = 1\nregions = 2\n", "fleet.zones: fewer than regions"),
        ("[faults]\nregion_cut_s = 99\n", "faults.region_cut_s: not shorter than duration_s"),
        ("[[size]]\nsenders = 0\ndestinations = 1\n", "size[0].senders: must be 1 to 20000"),
        ("[[size]]\nsenders = 5\n", "size[0].destinations: must be 1 to 2000000"),
    ],
)
def test_invalid_settings_raise_an_error_of_one_line(line: str, why: str) -> None:
    raw = {"name": "x", "seed": 1, "duration_s": 40, "size": [{"senders": 3, "destinations": 9}]}
    with pytest.raises(ConfigError) as error:
        parse(raw | tomllib.loads(line))
    assert why in str(error.value) and "\n" not in str(error.value)


def test_a_missing_size_and_a_repeated_size_are_rejected() -> None:
    with pytest.raises(ConfigError, match="size: missing"):
        parse({"name": "x", "seed": 1, "duration_s": 40})
    size = {"senders": 3, "destinations": 9}
    with pytest.raises(ConfigError, match="size: the same size twice"):
        parse({"name": "x", "seed": 1, "duration_s": 40, "size": [size, size]})


# Schedules


def test_schedules_are_equal_for_equal_seeds_only() -> None:
    one = settings()
    assert draw(one, one.sizes[0]) == draw(one, one.sizes[0])
    assert draw(one, one.sizes[0]) != draw(one.with_seed(2), one.sizes[0])


def test_a_schedule_has_the_changes_and_faults_of_the_settings() -> None:
    one = settings()
    schedule = draw(one, one.sizes[0])
    kinds = [fault.kind for fault in schedule.faults]
    assert kinds.count(FaultKind.RESTART) == 2  # a tenth of 24
    assert all(kinds.count(kind) == 1 for kind in FaultKind if kind is not FaultKind.RESTART)
    assert [change.kind for change in schedule.membership] == [MembershipKind.REMOVED, MembershipKind.ADDED]
    assert all(one.warm_s <= change.at < one.warm_s + one.duration_s for change in schedule.changes)
    assert all(
        one.warm_s <= fault.at < fault.until <= one.warm_s + one.duration_s for fault in schedule.faults
    )
    assert [change.number for change in schedule.changes] == list(range(1, len(schedule.changes) + 1))


def test_a_rack_is_in_one_zone_and_a_zone_in_one_region() -> None:
    one = settings()
    locations = draw(one, one.sizes[0]).locations
    assert (
        len({location.zone for location in locations}) == 4
        and len({location.region for location in locations}) == 2
    )
    for kind in ("rack", "zone"):
        zones_or_regions: dict[int, set[int]] = {}
        for location in locations:
            inner, outer = (
                (location.rack, location.zone) if kind == "rack" else (location.zone, location.region)
            )
            zones_or_regions.setdefault(inner, set()).add(outer)
        assert all(len(outer) == 1 for outer in zones_or_regions.values())


def test_bursts_add_to_the_steady_rate() -> None:
    without_bursts = settings(SMALL.replace("bursts = 1", "bursts = 0"))
    size = without_bursts.sizes[0]
    steady, burst = len(draw(without_bursts, size).changes), len(draw(settings(), size).changes)
    assert 20 <= steady <= 60  # 40 expected
    assert burst - steady > 5  # 20 expected


# The network


def network(**change: Any) -> tuple[EventLoop, Network, Party, Party]:
    loop = EventLoop()
    return loop, Network(loop, NetworkSettings(**change), random.Random(1)), Party("a", 0), Party("b", 1)


def test_messages_between_regions_have_the_longer_delay() -> None:
    loop, net, near, far = network(jitter_s=0.0, loss=0.0)
    arrived: list[float] = []
    net.send(near, Party("c", 0), 10, lambda: arrived.append(loop.now))
    net.send(near, far, 10, lambda: arrived.append(loop.now))
    loop.run_until(1.0)
    assert arrived == [pytest.approx(0.002), pytest.approx(0.1)]
    assert near.traffic.sent_bytes == 20 and far.traffic.received_bytes == 10


def test_a_lost_packet_delays_its_message() -> None:
    loop, net, near, far = network(jitter_s=0.0, loss=0.3)
    arrived: list[float] = []
    for _ in range(200):
        net.send(near, far, 1, lambda: arrived.append(loop.now))
    loop.run_until(60.0)
    assert len(arrived) == 200
    assert 40 <= sum(at > 0.25 for at in arrived) <= 80  # 60 expected


def test_no_message_crosses_a_cut_until_it_is_healed() -> None:
    loop, net, near, far = network()
    arrived: list[str] = []
    net.cut(1)
    net.send(near, far, 1, lambda: arrived.append("cut"))
    loop.run_until(1.0)
    net.heal(1)
    net.send(near, far, 1, lambda: arrived.append("healed"))
    loop.run_until(2.0)
    assert arrived == ["healed"]


def test_a_party_that_is_down_receives_nothing_and_a_slow_one_sends_late() -> None:
    loop, net, near, far = network(jitter_s=0.0, loss=0.0)
    arrived: list[float] = []
    far.up = False
    net.send(near, far, 1, lambda: arrived.append(loop.now))
    loop.run_until(1.0)
    far.up, near.slow_by_s = True, 0.5
    net.send(near, far, 1, lambda: arrived.append(loop.now))
    loop.run_until(2.0)
    assert arrived == [pytest.approx(1.6)]


# The stand-in for discovery


def test_discovery_answers_by_version() -> None:
    found = DiscoveryList(4, ("z0", "z1"))
    full_list = orjson.loads(found.answer(None))
    assert full_list["full"] and len(full_list["servers"]) == 4
    found.apply(ListChange(1.0, 1, 2, ChangeKind.REPLACED))
    found.apply(ListChange(2.0, 2, 3, ChangeKind.LEAVING))
    delta = orjson.loads(found.answer(full_list["version"]))
    assert not delta["full"] and delta["version"] == found.version
    assert {(one["id"], one["state"], one["started_ms"]) for one in delta["servers"]} == {
        (endpoint_id(2, 0), "left", 1),
        (endpoint_id(2, 1), "active", 1),
        (endpoint_id(3, 0), "leaving", 2),
    }
    assert orjson.loads(found.answer(found.version))["servers"] == []
    assert orjson.loads(found.answer(found.version + 1))["full"]  # a version that it does not have


# Propagation times


def test_a_change_is_pending_until_the_senders_own_state_includes_it() -> None:
    tracker, applied = PropagationTracker(), set[int]()
    tracker.changed("shard", "e1", 1, [1, 2], 10.0, applied.__contains__)
    tracker.updated(1, "shard", 11.0)  # an update without the change
    assert tracker.pending() == 2
    applied.add(1)
    tracker.updated(1, "shard", 12.0)
    assert tracker.pending() == 1
    assert tracker.steady.worst == pytest.approx(2.0, rel=0.01)


def test_time_behind_a_cut_does_not_count_and_ended_senders_are_not_waited_for() -> None:
    tracker, applied = PropagationTracker(), {1}
    tracker.changed("shard", "e1", 1, [1, 2], 10.0, applied.__contains__)
    tracker.restart_clock({1}, 50.0)
    tracker.updated(1, "shard", 51.0)
    tracker.process_ended(2)
    assert tracker.pending() == 0 and tracker.not_waited_for == 1
    assert tracker.steady.count == 0 and tracker.after_heal.worst == pytest.approx(1.0, rel=0.01)


def test_encoded_histograms_keep_their_values() -> None:
    one, other = Histogram(), Histogram()
    for tenths in range(1, 101):
        one.record(tenths / 10)
    other.add_encoded(one.encoded())
    assert other.count == 100
    assert other.quantile(0.5) == pytest.approx(5.0, rel=0.01)
    assert other.quantile(0.99) == pytest.approx(9.9, rel=0.01)


def test_the_size_of_an_object_excludes_shared_objects() -> None:
    shared = list(range(1000, 2000))
    small, large = {"shared": shared}, {"shared": shared, "own": bytes(5000)}
    assert 5000 <= deep_size([large], [shared]) - deep_size([small], [shared]) < 5200
    assert deep_size([small]) > deep_size([small], [shared]) + 8000


# A fleet in virtual time

# Figures that differ between runs of the same seed
MACHINE_DEPENDENT = ("cpu_share", "most_cpu_share", "start_cpu_s", "wall_s", "resident_mb")


def figures(one: ScaleSettings) -> dict[str, Any]:
    """All figures of the first size except those that depend on the machine."""

    def without_machine_dependent(value: Any) -> Any:
        if not isinstance(value, dict):
            return value
        return {
            key: without_machine_dependent(inner)
            for key, inner in value.items()
            if key not in MACHINE_DEPENDENT
        }

    found: dict[str, Any] = without_machine_dependent(asdict(run_size(one, one.sizes[0])))
    return found


def test_equal_seeds_give_equal_figures_and_all_senders_converge() -> None:
    one, again = figures(settings()), figures(settings())
    assert one == again
    assert one["propagation"]["stale"] == 0 and one["wrong"] == 0
    assert one["propagation"]["count"] > 50
    assert one["moved_share"] >= 1.0
    assert figures(settings().with_seed(2)) != one


def with_faults_only(**faults: Any) -> ScaleSettings:
    """The settings without membership changes and bursts, and with only these faults."""
    none = FaultSettings(
        restart_share=0, machine_share=0, racks=0, zones=0, region_cuts=0, slow_relays=0, relays_lost=0
    )
    one = settings()
    changes = replace(one.changes, membership=0, bursts=0)
    return replace(one, changes=changes, faults=replace(none, **faults))


def run_world(one: ScaleSettings) -> tuple[World, SizeResult]:
    size = one.sizes[0]
    world = World(one, size, draw(one, size))
    world.run_until(one.total_s)
    return world, world.result(0.0, 0.0)


def test_without_faults_changes_arrive_within_a_few_round_trips() -> None:
    _, result = run_world(with_faults_only())
    times = result.propagation
    assert times.stale == 0 and times.after_heal == 0 and times.starts == 0
    assert times.p50_s < 0.5 and times.worst_s < 3.0  # virtual time: independent of the machine


def test_a_cut_region_is_current_soon_after_it_is_healed() -> None:
    one = with_faults_only(region_cuts=1, region_cut_s=20.0)
    _, result = run_world(one)
    times = result.propagation
    assert times.after_heal > 0 and times.after_heal_worst_s < 9.0
    assert times.stale == 0 and result.wrong == 0


def test_a_cut_that_is_not_healed_leaves_changes_pending() -> None:
    one = with_faults_only(region_cuts=1, region_cut_s=30.0)
    size = one.sizes[0]
    world = World(one, size, draw(one, size))
    cut = next(fault for fault in world.schedule.faults if fault.kind is FaultKind.REGION_CUT)
    world.run_until(cut.until - 0.1)
    assert world.tracker.pending() > 0
    assert world.wrong_shards() > 0


def test_the_clock_restarts_only_when_there_is_a_path_to_discovery() -> None:
    """Both relays of a region fail during a cut, so its senders reach no relay until the first one restarts.

    The senders try the other three relays in vain before they retry it.
    """
    one = with_faults_only()
    size = one.sizes[0]
    begin = one.warm_s + 5.0
    faults = (
        Fault(begin, begin + 25.0, FaultKind.REGION_CUT, (1,)),
        # The relay of zone 0: numbers 0 and 1 are the upper relays
        Fault(begin, begin + 20.0, FaultKind.RELAY_LOST, (2,)),
        Fault(begin, begin + 25.0, FaultKind.RELAY_LOST, (3,)),  # the relay of zone 1
    )
    world = World(one, size, replace(draw(one, size), faults=faults))
    world.run_until(begin + 19.0)
    assert world.tracker.pending() > 0
    world.run_until(one.total_s)
    times = world.result(0.0, 0.0).propagation
    round_s = len(world.zones) * (world.timing.limit_s + world.timing.longest_pause_s)
    assert times.after_heal > 0 and times.after_heal_worst_s < round_s
    assert round_s < faults[1].until - faults[1].at
    assert times.worst_s < 9.0
    assert times.stale == 0 and world.wrong_shards() == 0


@pytest.mark.parametrize("fault", ["relays_lost", "slow_relays", "zones", "racks"])
def test_all_senders_converge_after_a_fault(fault: str) -> None:
    _, result = run_world(with_faults_only(**{fault: 1}))
    assert result.propagation.stale == 0 and result.wrong == 0
    assert max(result.propagation.worst_s, result.propagation.after_heal_worst_s) < 9.0


def test_a_restarted_sender_starts_from_its_saved_state() -> None:
    _, result = run_world(with_faults_only(restart_share=0.2))
    assert result.propagation.starts > 0 and result.wrong == 0
    _, without_state = run_world(with_faults_only(machine_share=0.2, machine_s=3.0))
    assert 0 < result.sender.start_kb < without_state.sender.start_kb


# Results


def size_result(senders: int, **change: Any) -> SizeResult:
    """A size with the full size's proportions and costs that are powers of the number of senders.

    A sender's memory grows with the square root and its other costs are constant; relay costs grow linearly.
    """
    share = senders / 18_000
    relay = RelayCosts(3, 0.4 * share, 0.5 * share, 10.0, 100.0 * share, 900.0 * share)
    times = Propagation(100, 0.1, 1.0, 2.0, 0, 0.0, 0, 0.0, 0, 0, "")
    one = SizeResult(
        Size(senders, round(1_700_000 * share), round(65_536 * share)),
        SenderCosts(0.001, 0.5, 2.0, 0.4 * share**0.5, 0.01, 30.0),
        relay, relay, 1.5, 6.0, times, 1.0, 0, 10, 5, 1.0, 100.0,
    )  # fmt: skip
    return replace(one, **change)


COMPARISON = Comparison(6, 1700, 0.01, -0.01, 0.0, 0.1, 0.001, 0.0002, 0.0001, 0, 0, 500)


def scale_result(comparison: Comparison | None = COMPARISON, **change: Any) -> ScaleResult:
    sizes = tuple(size_result(senders, **change) for senders in (100, 300, 1000, 3000))
    if comparison is not None:
        sizes = tuple(with_io(one, comparison) for one in sizes)
    return ScaleResult("x", 1, sizes, slopes(sizes), comparison)


def test_slopes_give_the_law_and_the_figure_at_the_full_size() -> None:
    result = scale_result()
    found = {slope.cost: slope for slope in result.slopes}
    assert found["mb"].exponent == pytest.approx(0.5) and found["mb"].at_size == pytest.approx(0.4)
    assert found["zone_relay_mb"].at_size == pytest.approx(900.0)
    summary = result.summary()
    assert summary["at_size"]["cpu_share"] == pytest.approx(0.001 + 2.0 * 0.0002)  # with the cost of sockets
    assert summary["at_size"]["control_machines"] == 6
    assert summary["hollow_error"] == 0.1 and summary["lost"] == 0


def test_machines_are_known_if_both_ends_of_an_interval_give_the_same_number() -> None:
    def machines(low: float, high: float) -> int | None:
        result = scale_result()
        wide = [
            replace(one, at_size=None, low=low, high=high) if one.cost == "upper_relay_cpu_share" else one
            for one in result.slopes
        ]
        return replace(result, slopes=tuple(wide)).control_machines()

    assert machines(0.03, 0.69) == 6
    assert machines(0.75, 1.3) == 9
    assert machines(0.03, 0.75) is None


def test_figures_of_simulated_senders_that_differ_from_real_ones_are_not_used() -> None:
    for comparison in (None, replace(COMPARISON, cpu=0.3), replace(COMPARISON, virtual_messages=-0.2)):
        summary = scale_result(comparison).summary()
        assert set(summary["at_size"].values()) == {"unknown"}
        assert not summary["hollow_used"]
    assert scale_result(None).summary()["hollow_error"] == "not run"


def test_a_figure_with_too_wide_an_interval_is_unknown() -> None:
    sizes = [size_result(senders) for senders in (100, 300, 1000, 3000)]
    sizes[1] = replace(sizes[1], sender=replace(sizes[1].sender, mb=9.0))
    slope = next(one for one in slopes(sizes) if one.cost == "mb")
    assert slope.at_size is None and slope.high / slope.low > 2 and slope.why_unknown


def test_only_sizes_with_the_full_sizes_proportions_are_fitted() -> None:
    sizes = [size_result(senders) for senders in (100, 300, 1000)]
    off = replace(size_result(300), size=Size(300, 300_000, 1092))
    assert slopes([*sizes, off]) == slopes(sizes)
    assert slopes(sizes[:2]) == ()


def test_bounds_that_are_not_met_are_named() -> None:
    bounds = settings().bounds
    assert broken_bounds(scale_result(), bounds) == ()
    late = replace(size_result(100).propagation, p99_s=4.0, stale=2)
    broken = broken_bounds(scale_result(propagation=late), bounds)
    assert broken == ("config_p99_s 4, bound 3", "stale 8, bound 0")
    lost = scale_result(replace(COMPARISON, lost=1))
    assert broken_bounds(lost, bounds) == ("lost 1, bound 0",)
    assert broken_bounds(scale_result(), replace(bounds, mb=0.1)) == ("mb 0.4, bound 0.1",)


def test_the_page_contains_charts_and_summary() -> None:
    result = scale_result(replace(COMPARISON, cpu=0.3))
    text = page_text(settings(), result, [Chart("Times & more", "<svg>1</svg>")])
    assert "<svg>1</svg>" in text and "Times &amp; more" in text
    assert "hollow_error" in text and "unknown" in text and "zone_relay_mb" in text


# The command

TINY = SMALL.replace("duration_s = 40", "duration_s = 20").replace("region_cut_s = 15", "region_cut_s = 8")


def run_command(file: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "mountgauge", "lab", "scale", str(file), *arguments]
    command += ["--out", str(file.parent / "out")]
    return subprocess.run(command, capture_output=True, text=True, timeout=120)


def test_the_command_runs_a_file_and_prints_a_summary_line_of_json(tmp_path: Path) -> None:
    file = tmp_path / "tiny.toml"
    file.write_text(TINY)
    completed = run_command(file, "--no-real", "--no-page")
    assert completed.returncode == 0, completed.stderr
    last = json.loads(completed.stdout.splitlines()[-1])
    assert {
        "senders", "destinations", "exponents", "at_size", "config_p99_s", "config_worst_s", "stale",
        "moved_share", "hollow_error", "lost", "doubled",
    } <= last.keys()  # fmt: skip
    assert set(last["at_size"]) == {"cpu_share", "mb", "kb_s", "control_machines"}
    assert (last["senders"], last["destinations"], last["stale"]) == (24, 300, 0)
    assert last["lost"] == last["hollow_error"] == "not run" and last["not_run"] == ["real senders"]
    kept = json.loads((tmp_path / "out" / "scale.json").read_text())
    assert kept["summary"] == last


def test_a_missed_bound_exits_with_1_and_an_invalid_file_with_2(tmp_path: Path) -> None:
    file = tmp_path / "tiny.toml"
    file.write_text(TINY + "[bounds]\nconfig_p99_s = 0.0001\n")
    completed = run_command(file, "--no-real", "--no-page")
    assert completed.returncode == 1
    assert "broken: config_p99_s" in completed.stdout
    file.write_text(TINY + "[bounds]\nconfig_p98_s = 1\n")
    completed = run_command(file)
    assert completed.returncode == 2
    assert completed.stderr == "mountgauge: bounds.config_p98_s: unknown setting\n"


def test_a_run_that_exceeds_its_memory_limit_stops(tmp_path: Path) -> None:
    file = tmp_path / "tiny.toml"
    file.write_text(TINY.replace('name = "small"', 'name = "small"\nmost_memory_gb = 0.01'))
    completed = run_command(file, "--no-real", "--no-page")
    assert completed.returncode == 1
    assert completed.stderr.startswith("mountgauge: stopped: ") and "0.0 GB are allowed" in completed.stderr


def test_the_machines_memory_is_read() -> None:
    found = machine_memory("MemTotal: 1000 kB\nMemFree: 1 kB\nMemAvailable: 400 kB\nHugePages_Total: 0\n")
    assert found.total == 1_024_000 and found.used_share == pytest.approx(0.6)
    assert 0 < machine_memory().used_share < 1


def test_real_senders_beside_simulated_ones_lose_no_message() -> None:
    comparison = compare(RealSettings(senders=3, destinations=120, duration_s=2.0, load_senders=6), 1)
    assert comparison.delivered > 0
    assert (comparison.lost, comparison.doubled) == (0, 0)
    assert -1 < comparison.bytes < math.inf and comparison.senders == 3
    assert not children()


def children() -> list[str]:
    return Path(f"/proc/self/task/{os.getpid()}/children").read_text().split()
