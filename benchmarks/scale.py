"""Measures the control traffic of fleets of several sizes: simulated senders, relays and some real senders.

    python -m benchmarks.scale [--quick] [--page]

Runs `experiments/scale/full.toml` and keeps the result in `benchmarks/results/scale.json`; charts and page
are written to `runs/`. --quick: runs `quick.toml` in under a minute and keeps nothing. --page: runs nothing
and writes `docs/CAPACITY.md` from the kept results. Exits with 1 if a bound is missed, and with 2 if a file
cannot be used.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity import PAGE, RESULTS, ROOT
from mountgauge.core.config import ConfigError
from mountgauge.lab.scale import capacity_page, command, page
from mountgauge.lab.scale.kept_results import SCALE, KeptResultsError
from mountgauge.lab.scale.live import ComparisonError
from mountgauge.lab.scale.runner import RunStoppedError
from mountgauge.lab.scale.settings import load

SETTINGS = ROOT / "experiments" / "scale"


def run(quick: bool) -> int:
    """Run the quick settings, or the full ones and keep their result."""
    file = SETTINGS / ("quick.toml" if quick else "full.toml")
    settings = load(file)
    page.check_libraries()
    result = command.measure(settings, file, real=True)
    folder = Path("runs") / f"scale-{file.stem}-{settings.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    page.write_page(folder / "scale.html", settings, result)
    print(f"page: {folder / 'scale.html'}")
    if not quick:
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / SCALE).write_text(json.dumps(result.as_json(), indent=1) + "\n")
    return command.report(result)


def main(argv: Sequence[str] | None = None) -> int:
    """The exit code of the run."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="small sizes, nothing kept")
    parser.add_argument("--page", action="store_true", help="write docs/CAPACITY.md from the kept results")
    arguments = parser.parse_args(argv)
    try:
        if arguments.page:
            PAGE.write_text(capacity_page.render(RESULTS))
            return 0
        return run(arguments.quick)
    except (ConfigError, KeptResultsError) as error:
        print(error, file=sys.stderr)
        return 2
    except (RunStoppedError, ComparisonError) as error:
        print(error, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
