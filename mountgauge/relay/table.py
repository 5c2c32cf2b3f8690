"""Table of `mountgauge shards`: the shards that senders and relays hold, from their `/shards` pages."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from mountgauge.status_table import Answers, StatusTable, align_columns

_COLUMNS = ("HOLDER", "ZONE", "SHARD", "VERSION", "EPOCH", "STALE S", "ENDPOINTS", "MESSAGES", "REPLICAS")


def rows(answers: Answers) -> list[list[str]]:
    """Return a row per holder and shard, and a row of dashes per process that doesn't answer."""
    table: list[list[str]] = []
    for address, page in sorted(answers.items()):
        if page is None:
            table.append([address, *["-"] * (len(_COLUMNS) - 1)])
            continue
        table += [_row(page, shard) for shard in page["shards"]]
        if not page["shards"]:
            table.append([page["name"], page["zone"], "none", *["-"] * (len(_COLUMNS) - 3)])
        if (omitted := page["held"] - len(page["shards"])) > 0:
            table.append([page["name"], page["zone"], f"{omitted} more", *["-"] * (len(_COLUMNS) - 3)])
    return table


def _row(page: Mapping[str, Any], shard: Mapping[str, Any]) -> list[str]:
    stale = "never" if shard["staleness_s"] is None else f"{shard['staleness_s']:.1f}"
    # A shard that is no longer placed here is held only until the outcomes of its messages are final.
    replicas = ",".join(shard["replicas"]) if shard["placed"] else "(messages only)"
    version = "-" if shard["version"] < 0 else str(shard["version"])
    return [
        page["name"], page["zone"], str(shard["shard"]), version, str(page["epoch"]), stale,
        str(shard["endpoints"]), str(shard["messages"]), replicas or "-",
    ]  # fmt: skip


def lines(answers: Answers) -> list[str]:
    """Return the table as text."""
    return align_columns(_COLUMNS, rows(answers))


def current(answers: Answers) -> bool:
    """Whether every process answers, is ready, and has received each shard that it follows."""
    return all(
        page is not None and page["ready"] and all(shard["version"] >= 0 for shard in page["shards"])
        for page in answers.values()
    )


SHARDS = StatusTable("/shards", "current", "holders", current, lines)
