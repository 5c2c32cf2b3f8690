"""Writes docs/CAPACITY.md from the kept results.

    python -m benchmarks.capacity [--check]

With --check it writes nothing and exits with 1 if the page differs from the results.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from mountgauge.core.config import ConfigError
from mountgauge.lab.scale import capacity_page
from mountgauge.lab.scale.kept_results import KeptResultsError

ROOT = Path(__file__).parents[1]
RESULTS = ROOT / "benchmarks" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"


def main() -> int:
    """Write or check the page; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--check", action="store_true", help="write nothing")
    arguments = parser.parse_args()
    try:
        text = capacity_page.render(RESULTS)
    except (ConfigError, KeptResultsError) as error:
        print(error, file=sys.stderr)
        return 2
    if arguments.check:
        same = PAGE.exists() and PAGE.read_text() == text
        print("page and results agree" if same else f"{PAGE.name} differs from the results: write it again")
        return 0 if same else 1
    PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
