"""Simulates what an outage costs a destination's senders, and the load on it after its return.

    python -m benchmarks.outage [--seeds N] [--json FILE]

Uses the real module in virtual time, with outages of several lengths. A destination's messages are spread in
two ways: over all senders, and over the senders that hold its shard. Prints one line for each, and writes the
figures as JSON.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
from dataclasses import asdict
from pathlib import Path

from mountgauge.core.config import ConfigError
from mountgauge.lab.scale.outage import Outage, OutageObservations, simulate
from mountgauge.lab.scale.size import FleetSize, load_size

_SIZE = Path(__file__).parents[1] / "experiments" / "scale" / "two-years.toml"
_OUTAGES_S = (60.0, 300.0, 1800.0)
_WARM_S, _AFTER_S, _DEADLINE_S = 60.0, 60.0, 3600.0
_NODES_OF_MANY = 400


def outages(size: FleetSize) -> list[tuple[str, Outage]]:
    """The outages of each length with each way; the listed rate is twice the demand."""
    demand = size.events_per_s / size.destinations
    ways = (("every sender", size.senders, _NODES_OF_MANY), ("the shard's owners", size.places, size.places))
    return [
        (way, Outage(senders, demand, _WARM_S, down_s, _AFTER_S, _DEADLINE_S, 2 * demand, nodes))
        for way, senders, nodes in ways
        for down_s in _OUTAGES_S
    ]


def mean(each: list[OutageObservations]) -> OutageObservations:
    """The mean of each figure."""
    columns = zip(*(asdict(one).values() for one in each), strict=True)
    return OutageObservations(*(statistics.mean(column) for column in columns))


def main() -> int:
    """Simulate the outages and print the figures; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--size", type=Path, default=_SIZE)
    arguments = parser.parse_args()
    try:
        size = load_size(arguments.size)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    found = []
    for way, outage in outages(size):
        each = [simulate(outage, seed) for seed in range(1, arguments.seeds + 1)]
        seen = mean(each)
        spread = [
            round(min(one.trials_per_s for one in each), 4),
            round(max(one.trials_per_s for one in each), 4),
        ]
        found.append({"way": way, **asdict(outage), "seeds": arguments.seeds, "seen": asdict(seen),
                      "trials_per_s_least_most": spread})  # fmt: skip
        print(f"{way:<20} down {outage.down_s:>5.0f} s: " + "  ".join(
            f"{name} {value:.4g}" for name, value in asdict(seen).items()), flush=True)  # fmt: skip
    if arguments.json is not None:
        arguments.json.write_text(json.dumps({"outages": found}, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
