"""`mountgauge lab soak`: runs one seed after another and prints which rules each run broke."""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from mountgauge.lab.rig.runner import Runner
from mountgauge.lab.soak.draw import DENSITIES, RANDOM, Density, Soak, draw
from mountgauge.lab.soak.mutants import MUTANTS
from mountgauge.lab.soak.plan import Plan
from mountgauge.lab.soak.verdict import Verdict, verdict

LAUNCHER = ("-m", "mountgauge.lab.soak.launcher")


class SoakRunner(Runner):
    """A rig whose senders run under the soak's launcher and fail by its plan from time 0 on."""

    def __init__(self, soak: Soak, folder: Path, mutant: str = "") -> None:
        folder = folder.resolve()
        command = [*LAUNCHER, str(folder), *([mutant] if mutant else [])]
        super().__init__(soak.schedule, folder, command)
        self.soak = soak

    async def start(self) -> None:
        """Start the rig, then write the plan of faults for the senders."""
        await super().start()
        Plan(self.events.zero, self.soak.process_faults).write(self.folder)


def play(
    seed: int, members: int, seconds: float, folder: Path, mutant: str = "", density: Density = RANDOM
) -> Verdict:
    """Run a seed and judge it; its folder holds the events, the plan and the senders' logs."""
    soak = draw(seed, members, seconds, density)
    runner = SoakRunner(soak, folder, mutant)
    asyncio.run(runner.run())
    runner.events.write(folder / "events.jsonl")
    found = verdict(soak.schedule, runner.events.all, soak.process_faults)
    (folder / "broken.txt").write_text("".join(f"{one}\n" for one in found.violations))
    if runner.errors:
        print("rig: " + "; ".join(runner.errors[:5]), file=sys.stderr)
    return found


def _play_apart(
    seed: int, members: int, seconds: float, folder: Path, mutant: str, density: Density
) -> Verdict:
    """Run a seed in its own process: rigs derive distinct addresses from their process ids."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(play, seed, members, seconds, folder, mutant, density).result()


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("--seed", type=int, default=1, help="of the first run")
    parser.add_argument("--seeds", type=int, default=1, help="how many runs, one seed after another")
    parser.add_argument("--members", type=int, default=40, help="senders of a run")
    parser.add_argument("--seconds", type=float, default=20.0, help="of load in a run")
    parser.add_argument("--out", type=Path, default=Path("runs/soak"), help="a folder for each run's own")
    parser.add_argument(
        "--density", choices=sorted(DENSITIES), default="random", help="how often what strikes"
    )
    parser.add_argument("--mutant", choices=sorted(MUTANTS), default="", help="a fault in the senders")


def run(args: argparse.Namespace) -> int:
    """Returns 1 if any run broke a rule, else 0."""
    failed, density = [], DENSITIES[args.density]
    for seed in range(args.seed, args.seed + args.seeds):
        folder, began = args.out / f"{args.mutant or 'seed'}-{seed}", time.monotonic()
        found = _play_apart(seed, args.members, args.seconds, folder, args.mutant, density)
        print(f"seed {seed}: {found} ({time.monotonic() - began:.0f} s)", flush=True)
        for one in found.violations[:5]:
            print(f"  broken: {one}", flush=True)
        if found.violations:
            failed.append(seed)
    print(json.dumps({"runs": args.seeds, "failed": failed, "members": args.members}))
    return 1 if failed else 0
