"""The output of `mountgauge comeback`: the phases of many instances, from the status of each."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from mountgauge.core.config import Address
from mountgauge.status import fetch_status
from mountgauge.status_table import align_columns

_COLUMNS = (
    "NAME",
    "PHASE",
    "FOR S",
    "LIFE",
    "FOLDER",
    "RESTORED",
    "HELD",
    "RAMPING",
    "HELD UP",
    "FULL AFTER S",
)
_REFRESH_INTERVAL_S = 1.0


def row(address: str, found: Mapping[str, Any] | None, error: str) -> list[str]:
    """The table row of one instance."""
    if found is None:
        return [address, "-", "-", "-", error, "-", "-", "-", "-", "-"]
    status = found.get("comeback")
    if not status:
        return [
            str(found.get("name", address)),
            "off",
            *["-"] * 4,
            str(found.get("held", "-")),
            "-",
            "-",
            "-",
        ]
    listed = [",".join(map(str, status[key])) or "-" for key in ("ramping", "held_up")]
    after = "-" if status["full_after_s"] is None else str(status["full_after_s"])
    return [
        str(found["name"]), status["phase"], str(status["since_s"]), str(status["life"]), status["found"],
        str(status["restored"]), str(status["held"]), *listed, after,
    ]  # fmt: skip


def lines(rows: Sequence[Sequence[str]]) -> list[str]:
    """The table as text, with aligned columns."""
    return align_columns(_COLUMNS, rows)


def all_full(answers: Mapping[str, Mapping[str, Any] | None]) -> bool:
    """Whether each instance answers and is at full service; one without `[comeback]` only has to answer."""
    return all(
        found is not None and (not found.get("comeback") or found["comeback"]["phase"] == "full")
        for found in answers.values()
    )


async def _query(address: str) -> tuple[str, dict[str, Any] | None, str]:
    try:
        return address, await fetch_status(Address.parse(address, "address")), ""
    except (OSError, ValueError) as error:
        return address, None, str(error) or type(error).__name__


async def query_instances(
    addresses: Sequence[str],
) -> tuple[dict[str, Mapping[str, Any] | None], list[list[str]]]:
    """Query all instances at once; the status of each, and its table row."""
    found = await asyncio.gather(*map(_query, addresses))
    return {address: status for address, status, _ in found}, [row(*one) for one in found]


def show(
    addresses: Sequence[str], as_json: bool, wait_s: float | None, watch: bool,
    clock: Callable[[], float] = time.monotonic,
) -> int:  # fmt: skip
    """Print the table or JSON: once, repeatedly (`watch`), or when all are full or `wait_s` has passed.

    Returns 0 if all are at full service at the end, 1 if one is not or does not answer.
    """
    for address in addresses:
        Address.parse(address, "address")  # raises ConfigError before anything is printed
    ends = clock() + (wait_s or 0.0)
    redraws = watch and sys.stdout.isatty()
    while True:
        answers, rows = asyncio.run(query_instances(addresses))
        done = all_full(answers)
        last = done or clock() >= ends
        if as_json and (last or watch):
            instances = {at: None if one is None else one.get("comeback", {}) for at, one in answers.items()}
            print(json.dumps({"full": done, "instances": instances}), flush=True)
        elif not as_json and (last or watch or wait_s is not None):
            print(("\x1b[H\x1b[2J" if redraws else "") + "\n".join(lines(rows)), flush=True)
        if last and not watch:
            return 0 if done else 1
        if watch and wait_s is not None and last:
            return 0 if done else 1
        time.sleep(
            min(_REFRESH_INTERVAL_S, max(0.05, ends - clock())) if wait_s is not None else _REFRESH_INTERVAL_S
        )
