"""Measures how costs grow, prints one line a probe, and writes measurements and fits as JSON."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.slopes import core, fleet, hops, journal, module, pages, recovery, telemetry
from benchmarks.slopes.probe import measure
from benchmarks.slopes.report import Target, format_line, heading, save, targets
from mountgauge.core.config import ConfigError
from mountgauge.lab.scale.size import load_size

_SIZE = Path(__file__).parents[2] / "experiments" / "scale" / "two-years.toml"
PROBES = tuple(
    probe
    for subsystem in (module, core, hops, recovery, pages, telemetry, journal, fleet)
    for probe in subsystem.PROBES
)


def main() -> int:
    """Run the chosen probes; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="four sizes each, a fifth of the time")
    parser.add_argument(
        "--json", type=Path, metavar="FILE", help="write the results here, keeping those of other probes"
    )
    parser.add_argument("--only", metavar="NAME", help="run only probes whose name starts with NAME")
    parser.add_argument("--size", type=Path, default=_SIZE, help="the fleet size to extrapolate to (TOML)")
    arguments = parser.parse_args()
    chosen = [probe for probe in PROBES if probe.name.startswith(arguments.only or "")]
    if not chosen:
        print(f"no probe's name starts with '{arguments.only}'", file=sys.stderr)
        return 2
    try:
        target_sizes: Target = targets(load_size(arguments.size))
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    print(heading())
    results = []
    for probe in chosen:
        found = measure(probe, arguments.quick)
        print(format_line(found, target_sizes), flush=True)
        if arguments.json is not None:
            results.append(found)
            save(arguments.json, results, PROBES)
    return 0


if __name__ == "__main__":
    sys.exit(main())
