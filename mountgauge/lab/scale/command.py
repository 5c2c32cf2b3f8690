"""`mountgauge lab scale FILE`: runs a scale run; prints a table and a summary line of JSON, writes a page."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from mountgauge.lab.scale.live import ComparisonError, compare
from mountgauge.lab.scale.results import ScaleResult, broken_bounds, slopes, with_io
from mountgauge.lab.scale.runner import RunStoppedError, run_sizes
from mountgauge.lab.scale.settings import ScaleSettings, load

EXIT_BOUNDS_MET, EXIT_FAILED = 0, 1


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument("file", type=Path)
    parser.add_argument("--out", type=Path, help="the run's folder; default: runs/NAME-SEED")
    parser.add_argument("--seed", type=int, help="in place of the file's")
    parser.add_argument("--no-real", action="store_true", help="no real senders beside the hollow ones")
    parser.add_argument("--no-page", action="store_true", help="no HTML page")


def measure(
    settings: ScaleSettings, file: Path, real: bool, show: Callable[[str], None] = print
) -> ScaleResult:
    """Run all sizes of a file and the comparison; raises RunStoppedError or ComparisonError."""
    sizes = tuple(run_sizes(settings, file, show))
    compared = compare(settings.real, settings.seed, show) if real and settings.real.senders else None
    if compared is not None:
        sizes = tuple(with_io(one, compared) for one in sizes)
    not_run = () if compared is not None else ("real senders",)
    result = ScaleResult(
        settings.name, settings.seed, sizes, slopes(sizes), compared, settings.real.tolerance, not_run
    )
    return replace(result, broken=broken_bounds(result, settings.bounds))


def run(args: argparse.Namespace) -> int:
    """Run the command and return its exit code: 0 if all bounds are met, else 1.

    Raises ConfigError if the settings file is not valid.
    """
    settings = load(args.file)
    if args.seed is not None:
        settings = settings.with_seed(args.seed)
    if not args.no_page:
        from mountgauge.lab.scale import page

        page.check_libraries()
    folder = args.out or Path("runs") / f"scale-{args.file.stem}-{settings.seed}"
    try:
        result = measure(settings, args.file, not args.no_real)
    except (RunStoppedError, ComparisonError) as error:
        print(f"mountgauge: {error}", file=sys.stderr)
        return EXIT_FAILED
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "scale.json").write_text(json.dumps(result.as_json(), indent=1) + "\n")
    if not args.no_page:
        page.write_page(folder / "scale.html", settings, result)
        print(f"page: {folder / 'scale.html'}")
    return report(result)


def report(result: ScaleResult) -> int:
    """Print the bounds that are not met and the summary line; return the exit code."""
    for one in result.broken:
        print(f"broken: {one}")
    print(json.dumps(result.summary()))
    return EXIT_FAILED if result.broken else EXIT_BOUNDS_MET
