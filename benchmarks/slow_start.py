"""Slow start's budget over fleets of 1 to 30 senders, in virtual time: the table of `docs/slow-start.md`.

    python -m benchmarks.slow_start [--seeds N] [--worst N]

Simulates `N` random scenes for each size of fleet and kind of outage. Prints for each the worst ratio of
calls to allowed calls, in spans whose calls came mostly from senders that had seen the outage, and the number
of scenes that broke the rule; then the worst scenes, one a line. Exits with 1 if a scene breaks the rule. The
same seeds give the same table.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable, Sequence

from benchmarks.slow_start_model import Fleet, Margin, Outage, Scene

SENDERS = (1, 2, 3, 5, 8, 12, 20, 30)
SEEDS = 40

SceneResult = tuple[Scene, Margin]


def simulate(seeds: Iterable[int], sizes: Sequence[int] = SENDERS) -> list[SceneResult]:
    """Simulates each size with each outage and seed."""
    scenes = [Scene.drawn(size, outage, seed) for size in sizes for outage in Outage for seed in seeds]
    return [(scene, Fleet(scene).run()) for scene in scenes]


def table(results: Sequence[SceneResult]) -> str:
    """A row for each size of fleet: the worst ratio for each outage, and how many scenes broke the rule."""
    head = "| senders | " + " | ".join(outage.value for outage in Outage) + " | broken |"
    rows = [head, "|" + " --- |" * (len(Outage) + 2)]
    for size in sorted({scene.senders for scene, _ in results}):
        own = [one for one in results if one[0].senders == size]
        cells = [max(m.worst for scene, m in own if scene.outage == outage) for outage in Outage]
        broken = sum(m.broken for _, m in own)
        rows.append(f"| {size} | {' | '.join(f'{cell:.2f}' for cell in cells)} | {broken} of {len(own)} |")
    return "\n".join(rows)


def main(arguments: Sequence[str] | None = None) -> int:
    """Simulate and print the table; 1 if a scene breaks the rule."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=SEEDS, help="scenes for each size and outage")
    parser.add_argument("--worst", type=int, default=12, help="how many of the worst scenes to show")
    options = parser.parse_args(arguments)
    results = simulate(range(options.seeds))
    print(table(results))
    results.sort(key=lambda one: -one[1].worst)
    for scene, found in results[: options.worst]:
        print(
            f"{found.worst:.2f} at {found.at:.1f} s: {found.calls:.0f} calls, N {found.budget:.0f}, "
            f"{found.worst_of_all:.2f} of all; {scene}"
        )
    return int(any(found.broken for _, found in results))


if __name__ == "__main__":
    sys.exit(main())
