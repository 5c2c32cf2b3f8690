"""`python -m mountgauge`: the command line; without a command, one sender configured by GW_* variables."""

from __future__ import annotations

import sys

from mountgauge.cli import main

if __name__ == "__main__":
    sys.exit(main())
