"""Measures recovery after restarts: real senders on the rig that are killed together, with and without the
ramp.

    python -m benchmarks.comeback [--quick] [--json FILE]

Twelve senders run through scenes of `experiments/comeback`, each with `[comeback]` and without, on the same
seed and at the same time. Then come a tenant's quota in a fleet of eight that loses most of its state, and
200 modules in virtual time. Prints a table, then one line of JSON; exits with 1 if a target is missed.
--quick: one seed, two scenes and the simulated fleet.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from benchmarks.comeback_model import simulate_restart
from benchmarks.fleet_model import FLUSH, NetworkFaults, World
from mountgauge.lab.cli import measured_from
from mountgauge.lab.rig.events import Event, of_kinds, read
from mountgauge.lab.rig.metrics import RunMetrics, summary
from mountgauge.lab.rig.oracle import judge
from mountgauge.lab.rig.schedule import load
from mountgauge.tenants.bounds import convergence_bound, report_age_bound
from mountgauge.tenants.quota import Quota

SCENES = Path(__file__).parent.parent / "experiments" / "comeback"
QUICK = ("ten-of-twelve", "ten-of-twelve-falls-over")
ALL = (
    *QUICK, "ten-of-twelve-lost", "again-while-ramping", "paused", "folders", "crash-loop", "discovery",
    "split", "reconnect",
)  # fmt: skip
DISCOVERY_COST_S = 0.4  # time that discovery needs for a list call, in the scene `discovery`
_SLACK_S = 0.3  # delay that a busy machine may add to what the oracle observes
TARGETS = {"served_share_5s": 0.8, "refused_share": 0.1, "full_service_over_limit": 1.3}
NONE = ("endless", "lost", "doubled", "rules_broken", "stale_sends", "exact_too_soon")

_CODE = (
    "import sys; from pathlib import Path; from mountgauge.lab.rig import runner, schedule\n"
    "one = schedule.load(Path(sys.argv[1])).with_(seed=int(sys.argv[3]), comeback=sys.argv[4] == 'with')\n"
    "seconds = {'seconds': float(sys.argv[5])} if float(sys.argv[5]) else {}\n"
    "runner.run_schedule(one.with_(**seconds), Path(sys.argv[2]))"
)


def _start(name: str, folder: Path, seed: int, ramp: str, seconds: float) -> subprocess.Popen[bytes]:
    arguments = [str(SCENES / f"{name}.toml"), str(folder), str(seed), ramp, str(seconds)]
    return subprocess.Popen([sys.executable, "-c", _CODE, *arguments])


def _figures(name: str, folder: Path, seed: int, seconds: float) -> dict[str, Any]:
    schedule = load(SCENES / f"{name}.toml").with_(seed=seed)
    events = read(folder / "events.jsonl")
    return summary(
        events, judge(schedule, events, _SLACK_S), measured_from(events), seconds or schedule.seconds, 7
    )


def run_scene(name: str, seed: int, root: Path, seconds: float) -> dict[str, dict[str, Any]]:
    """Runs one scene with the ramp and without it, in parallel."""
    rigs = {
        ramp: _start(name, root / f"{name}-{seed}-{ramp}", seed, ramp, seconds)
        for ramp in ("with", "without")
    }
    if any(rig.wait(300) for rig in rigs.values()):
        raise RuntimeError(f"{name}: the rig failed")
    return {ramp: _figures(name, root / f"{name}-{seed}-{ramp}", seed, seconds) for ramp in rigs}


def quota(events: Sequence[Event], rate: float, end: float) -> dict[str, float]:
    """The share of the quota in use: from 5 s after the last start, in the first 8 s, and before the kill."""
    accepted = [event.at for event in of_kinds(events, "taken")]
    ready = max((event.at for event in of_kinds(events, "ready") if event.at > 0), default=0.0)

    def use(begin: float, until: float) -> float:
        return round(RunMetrics.count(accepted, begin, until) / rate / (until - begin), 3)

    return {"quota_use_5s_on": use(ready + 5, end), "quota_use_8s": use(0, 8), "quota_use_before": use(-5, 0)}


def virtual(seeds: Sequence[int]) -> dict[str, float]:
    """Simulates 200 modules in virtual time: the worst of the seeds, with the ramp and without."""
    found: dict[str, float] = {}
    for ramp, suffix in ((True, ""), (False, "_without")):
        results = [simulate_restart(200, seed, ramp, falls_at=1.5) for seed in seeds]
        found[f"virtual_200_served_share_5s{suffix}"] = min(one["served_share_5s"] for one in results)
        found[f"virtual_200_refused_share{suffix}"] = max(one["refused_share"] for one in results)
    return found


def list_peak(events: Sequence[Event], begin: float, end: float, capacity: float) -> float:
    """The list calls of the busiest second, by the number that discovery can answer in a second."""
    at = [event.at for event in of_kinds(events, "list-call") if begin <= event.at < end]
    return round(max((RunMetrics.count(at, one, one + 1) for one in at), default=0) / capacity, 2)


def exact_too_soon(seed: int) -> int:
    """How often a member reported a count as exact before it was complete, after six of eight members lost
    their state; in virtual time.
    """
    world = World(
        {"a": Quota(20, 20), "b": None}, seed, NetworkFaults(loss=0.3, delay=0.5, jitter=0.2, duplicated=0.1)
    )
    world.add(*(f"n{index}" for index in range(8)))
    world.load({"a": 60, "b": 40}, 35)
    world.until(15)
    for index in range(2, 8):
        world.restart(f"n{index}", keep=False)
    world.until(35 + report_age_bound(0.25, 0.3, 0.7, 8, 4, FLUSH))
    checks: list[tuple[int, bool]] = []
    end = world.time + convergence_bound(0.25, 0.3, 0.7, 8, 4, FLUSH, 5.0, 6)
    while world.time < end:
        world.until(world.time + 0.25)
        checks += [(node.used("b"), not node.fleet.sync_gap(node.now)) for node in world.up]
    return sum(exact and count != checks[-1][0] for count, exact in checks)


def total(runs: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """The worst run's figure where there is a target, and the sum of what is counted."""
    worst = {"served_share_5s": min, "refused_share": max, "peak_over_bearing_100ms": max}
    found: dict[str, Any] = {key: pick(run[key] for run in runs) for key, pick in worst.items()}
    ratios = [run["full_service_over_limit"] for run in runs]
    found["full_service_over_limit"] = None if None in ratios else max(ratios)
    for key in ("endless", "lost", "doubled", "rules_broken", "stale_sends", "fell"):
        found[key] = sum(run[key] for run in runs)
    return found


def missed(found: Mapping[str, Any]) -> list[str]:
    """The figures that miss their target."""
    bad = [key for key in NONE if found.get(key, 0)]
    if found["served_share_5s"] < TARGETS["served_share_5s"]:
        bad.append("served_share_5s")
    if found["refused_share"] > TARGETS["refused_share"]:
        bad.append("refused_share")
    ratio = found["full_service_over_limit"]
    if ratio is None or ratio > TARGETS["full_service_over_limit"]:
        bad.append("full_service_over_limit")
    if found.get("quota_use_5s_on", 1.0) < 0.9:
        bad.append("quota_use_5s_on")
    return bad


def main() -> int:
    """Run the scenes with the ramp and without; 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    seeds, names = ((7,), QUICK) if args.quick else ((7, 8, 9), ALL)
    runs: dict[str, list[dict[str, Any]]] = {"with": [], "without": []}
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        for name in names:
            for seed in seeds:
                both = run_scene(name, seed, Path(folder), 10.0 if args.quick else 0.0)
                ramps = name.startswith(("ten-of-twelve", "again"))
                for ramp, figures in both.items():
                    printed = ("served_share_5s", "refused_share", "full_service_s", "fell", "rules_broken")
                    print(
                        f"{name:<20} {seed:>3} {ramp:<8}",
                        *(f"{key}={figures[key]}" for key in printed),
                        flush=True,
                    )
                    if ramps:
                        runs[ramp].append(figures)
                    else:  # no partner returns cold in these scenes, so that only the rules are checked
                        for key in ("lost", "doubled", "rules_broken", "stale_sends"):
                            figure = key if ramp == "with" else f"{key}_without"
                            found[figure] = found.get(figure, 0) + figures[key]
            if name == "discovery":
                event_files = [Path(folder) / f"{name}-{seed}-with" / "events.jsonl" for seed in seeds]
                found["list_calls_peak_over_capacity"] = max(
                    list_peak(read(one), 8.2, 13.2, 1 / DISCOVERY_COST_S) for one in event_files
                )
        if not args.quick:
            rig = _start("tenants", Path(folder) / "tenants", 11, "with", 0)
            rig.wait(300)
            found |= quota(read(Path(folder) / "tenants" / "events.jsonl"), 20.0, 20.0)
    for ramp, suffix in (("with", ""), ("without", "_without")):
        for key, value in total(runs[ramp]).items():
            previous = found.get(key + suffix, 0)
            found[key + suffix] = value + previous if isinstance(value, int) and previous else value
    found |= virtual((1,) if args.quick else (1, 2, 3))
    found["exact_too_soon"] = sum(map(exact_too_soon, (1,) if args.quick else (1, 2, 3)))
    found["missed"] = missed(found)
    line = json.dumps(found)
    if args.json is not None:
        args.json.write_text(line + "\n")
    print(line)
    return 1 if found["missed"] else 0


if __name__ == "__main__":
    sys.exit(main())
