"""A stand-in for discovery: a versioned list of endpoints. No I/O, no clock.

Each destination has one endpoint at a time. Answers have the protocol's form (`/registry/instances`): the
full list, or the changes since a version. `started_ms` of an entry holds the number of the last change of
its destination, so that a copy of the entry shows which changes it includes.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import Any

import orjson

from mountgauge.lab.scale.schedule import ChangeKind, ListChange

_MAX_LOGGED_CHANGES = 100_000
KIND = "std"


@dataclass(slots=True)
class Line:
    """The entry of one destination in the list."""

    destination: int
    generation: int = 0  # of the endpoint; grows when the endpoint is replaced
    state: str = "active"
    weight: float = 100.0
    number: int = 0  # of the last change

    @property
    def id(self) -> str:
        """The name of the endpoint."""
        return endpoint_id(self.destination, self.generation)

    def as_json(self, zone: str, address: str) -> dict[str, Any]:
        """The line in the form of an answer."""
        return {
            "id": self.id,
            "addr": address,
            "zone": zone,
            "kind": KIND,
            "cell": self.destination,
            "state": self.state,
            "weight": self.weight,
            "started_ms": self.number,
        }


def endpoint_id(destination: int, generation: int) -> str:
    """The name of a destination's endpoint; its replacement has another name."""
    return f"e{destination}-{generation}"


class DiscoveryList:
    """The list and its versions. `lines` is the state that every sender should converge to."""

    def __init__(self, destinations: int, zones: tuple[str, ...], address: str = "") -> None:
        """`address` is shared by all endpoints; if empty, each gets its own, on which nothing listens."""
        self.lines = [Line(destination) for destination in range(destinations)]
        self.version = 1
        self._zones, self._address = zones, address
        self._log: list[tuple[int, dict[str, Any]]] = []  # by version
        self._oldest = 1  # version from which on the log is complete

    def zone_of(self, destination: int) -> str:
        """The zone of a destination's endpoint."""
        return self._zones[destination % len(self._zones)]

    def as_json(self, line: Line) -> dict[str, Any]:
        """A line in the form of an answer."""
        number = line.destination
        address = self._address or f"127.{number >> 16 & 63}.{number >> 8 & 255}.{number & 255}:7000"
        return line.as_json(self.zone_of(number), address)

    def apply(self, change: ListChange) -> Line:
        """Apply one change and return the destination's line after it."""
        line = self.lines[change.destination]
        line.number = change.number
        if change.kind is ChangeKind.WEIGHT:
            line.weight = 50.0 + change.number % 100
        elif change.kind is ChangeKind.LEAVING:
            line.state = "leaving"
        else:
            replaced = self.as_json(line) | {"state": "left"}
            line.generation += 1
            line.state = "active"
            self._record(replaced)
        self._record(self.as_json(line))
        return line

    def _record(self, entry: dict[str, Any]) -> None:
        self.version += 1
        self._log.append((self.version, entry))
        if len(self._log) > _MAX_LOGGED_CHANGES:
            del self._log[: _MAX_LOGGED_CHANGES // 2]
            self._oldest = self._log[0][0] - 1

    def answer(self, index: int | None) -> bytes:
        """The body of the answer to a call with this index.

        It is the full list if there is no index, or if the log does not cover it.
        """
        if index is None or index < self._oldest or index > self.version:
            entries = [self.as_json(line) for line in self.lines]
            return orjson.dumps({"version": self.version, "full": True, "servers": entries})
        begin = bisect_right(self._log, index, key=lambda item: item[0])
        newest = {entry["id"]: entry for _, entry in self._log[begin:]}
        changed = list(newest.values())
        return orjson.dumps({"version": self.version, "full": False, "servers": changed})
