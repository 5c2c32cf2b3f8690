"""What several instances say of themselves, asked at once and shown as one table, once or again and again."""

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

RENEWED_EVERY_S = 1.0
_CLEAR_SCREEN = "\x1b[H\x1b[2J"
Answers = Mapping[str, Mapping[str, Any] | None]  # by address: its page, None where it does not answer


def align_columns(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """The rows under their headings, in columns; each row has a cell for each heading."""
    whole = [headings, *rows]
    widths = [max(len(one[place]) for one in whole) for place in range(len(headings))]
    return ["  ".join(map(str.ljust, one, widths)).rstrip() for one in whole]


@dataclass(frozen=True, slots=True)
class StatusTable:
    """A page that instances serve, how its answers are judged, and how they are shown."""

    page: str  # path on the status address
    verdict: str  # what the judgement is called in JSON
    instances: str  # what those that are asked are called in JSON
    is_good: Callable[[Answers], bool]
    lines: Callable[[Answers], list[str]]

    async def fetch_all(self, addresses: Sequence[str]) -> Answers:
        """What each address says now."""
        pages = await asyncio.gather(*map(self._ask, addresses))
        return dict(zip(addresses, pages, strict=True))

    async def _ask(self, address: str) -> Mapping[str, Any] | None:
        try:
            return await fetch_status(Address.parse(address, "address"), page=self.page)
        except (OSError, ValueError):
            return None

    def show(self, addresses: Sequence[str], as_json: bool, watch: bool) -> int:
        """Print what is so, once or again and again. 0 where the judgement is good, else 1; ConfigError for
        what is no address, before anything is shown.
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
            time.sleep(RENEWED_EVERY_S)
