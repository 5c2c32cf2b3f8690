"""Next hops by protocol: each call goes to the side that speaks what the transport map names for it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from mountgauge.core.ports import Call, NextHops


class Side(NextHops, Protocol):
    """The next hops of one protocol."""

    opened: int

    @property
    def in_flight(self) -> int: ...

    def close(self) -> None: ...


class Router:
    """Hands each call to the next hops of its protocol."""

    def __init__(self, sides: Mapping[str, Side], protocols: Mapping[str, str]) -> None:
        self.sides, self.protocols = sides, protocols

    def start(self, call: Call) -> None:
        self.sides[self.protocols.get(call.hop.id, "http")].start(call)

    def cancel(self, call: Call) -> None:
        for side in self.sides.values():  # the one that does not have it passes over it
            side.cancel(call)

    def close_idle(self, hop_id: str) -> None:
        for side in self.sides.values():
            side.close_idle(hop_id)

    @property
    def in_flight(self) -> int:
        return sum(side.in_flight for side in self.sides.values())

    @property
    def opened(self) -> int:
        return sum(side.opened for side in self.sides.values())

    def close(self) -> None:
        for side in self.sides.values():
            side.close()
