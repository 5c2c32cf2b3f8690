"""Fetches a status page from several instances and shows the answers as one table, once or repeatedly."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from mountgauge.core.config import Address
from mountgauge.status import fetch_status

REFRESH_INTERVAL_S = 1.0
_CLEAR_SCREEN = "\x1b[H\x1b[2J"
Answers = Mapping[str, Mapping[str, Any] | None]  # the page by address, None if there was no answer


def align_columns(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return the lines of a table with aligned columns. Each row has a cell for each heading."""
    all_rows = [headings, *rows]
    widths = [max(len(one[column]) for one in all_rows) for column in range(len(headings))]
    return ["  ".join(map(str.ljust, one, widths)).rstrip() for one in all_rows]


@dataclass(frozen=True, slots=True)
class StatusTable:
    """A page that instances serve, and how its answers are evaluated and shown."""

    page: str  # path on the status address
    verdict: str  # JSON key of the result of `is_good`
    instances: str  # JSON key of the answers
    is_good: Callable[[Answers], bool]
    lines: Callable[[Answers], list[str]]

    async def fetch_all(self, addresses: Sequence[str]) -> Answers:
        """Fetch the page from all addresses concurrently."""
        pages = await asyncio.gather(*map(self._fetch, addresses))
        return dict(zip(addresses, pages, strict=True))

    async def _fetch(self, address: str) -> Mapping[str, Any] | None:
        try:
            return await fetch_status(Address.parse(address, "address"), page=self.page)
        except (OSError, ValueError):
            return None

    def show(self, addresses: Sequence[str], as_json: bool, watch: bool) -> int:
        """Print the answers once, or repeatedly with `watch`. Return 0 if they are good, else 1. ConfigError
        for an invalid address, before anything is printed.
        """
        for address in addresses:
            Address.parse(address, "address")
        clear = _CLEAR_SCREEN if watch and sys.stdout.isatty() else ""
        while True:
            answers = asyncio.run(self.fetch_all(addresses))
            good = self.is_good(answers)
            if as_json:
                print(json.dumps({self.verdict: good, self.instances: answers}), flush=True)
            else:
                print(clear + "\n".join(self.lines(answers)), flush=True)
            if not watch:
                return 0 if good else 1
            time.sleep(REFRESH_INTERVAL_S)
