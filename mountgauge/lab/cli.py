"""`mountgauge lab`: plays schedules of faults on real senders and judges the runs."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

from mountgauge.lab.rig.events import Event, read
from mountgauge.lab.rig.metrics import summary
from mountgauge.lab.rig.oracle import Judgement, judge
from mountgauge.lab.rig.runner import run_schedule
from mountgauge.lab.rig.schedule import Schedule, load
from mountgauge.lab.scale.command import add_arguments as add_scale_arguments
from mountgauge.lab.scale.command import run as run_scale
from mountgauge.lab.soak.command import add_arguments as add_soak_arguments
from mountgauge.lab.soak.command import run as run_soak


def _parser() -> argparse.ArgumentParser:
    lab = argparse.ArgumentParser(prog="mountgauge lab", description="Plays faults on real senders.")
    inner = lab.add_subparsers(dest="lab", metavar="COMMAND", required=True)
    rig = inner.add_parser("rig", help="play one schedule: real senders, stand-ins, links, faults")
    rig.add_argument("file", type=Path)
    rig.add_argument("--out", type=Path, help="the run's folder; default: runs/NAME-SEED")
    rig.add_argument("--seed", type=int, help="in place of the schedule's")
    rig.add_argument("--without", action="store_true", help="with [comeback] enabled = false")
    rig.add_argument("--no-page", action="store_true", help="no HTML page")
    judged = inner.add_parser("judge", help="judge a run's folder again")
    judged.add_argument("folder", type=Path)
    judged.add_argument("--no-page", action="store_true", help="no HTML page")
    scale = inner.add_parser("scale", help="measure the control part of fleets of several sizes")
    add_scale_arguments(scale)
    soak = inner.add_parser("soak", help="random, overlapping faults on real senders, from a seed")
    add_soak_arguments(soak)
    return lab


def measured_from(events: Sequence[Event]) -> float:
    """The time from which figures are measured: the last fault of members or partners."""
    faults = ("cold", "shut", "kill", "term", "never-warm", "crash-loop")
    at = max([0.0, *(one.at for one in events if one.kind == "fault" and one.fields["do"] in faults)])
    return at + 0.02  # by then the partner's capacity is recorded


def report_run(schedule: Schedule, events: Iterable[Event], folder: Path, page: bool) -> int:
    """Write the figures and the page of a run; returns 1 if a rule is broken."""
    all_events = sorted(events, key=lambda one: one.at)
    judged: Judgement = judge(schedule, all_events)
    figures = summary(all_events, judged, measured_from(all_events), schedule.seconds)
    (folder / "figures.json").write_text(json.dumps(figures, indent=2) + "\n")
    (folder / "broken.txt").write_text("".join(f"{one}\n" for one in judged.violations))
    if page:
        from mountgauge.lab.rig.page import write_page

        write_page(folder / "run.html", schedule, all_events, judged, figures)
    for one in judged.violations[:20]:
        print(f"broken: {one}")
    print(json.dumps({"name": schedule.name, "seed": schedule.seed, "folder": str(folder), **figures}))
    return 1 if judged.violations else 0


def main(argv: Sequence[str]) -> int:
    """Returns 0 if no rule is broken, else 1; ConfigError if the schedule is invalid."""
    args = _parser().parse_args(argv)
    if args.lab == "scale":
        return run_scale(args)
    if args.lab == "soak":
        return run_soak(args)
    if args.lab == "judge":
        schedule = load(args.folder / "schedule.toml")
        return report_run(schedule, read(args.folder / "events.jsonl"), args.folder, not args.no_page)
    schedule = load(args.file)
    if args.seed is not None:
        schedule = schedule.with_(seed=args.seed)
    if args.without:
        schedule = schedule.with_(comeback=False)
    folder = args.out or Path("runs") / f"{args.file.stem}-{schedule.seed}"
    events = run_schedule(schedule, folder)
    (folder / "schedule.toml").write_text(args.file.read_text())
    if not events.all:
        print("mountgauge: nothing happened", file=sys.stderr)
        return 1
    return report_run(schedule, events, folder, not args.no_page)
