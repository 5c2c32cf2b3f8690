"""Routes each call to the next hops of the protocol that the transport map names for its endpoint."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from mountgauge.core.ports import Call, NextHops


class ProtocolNextHops(NextHops, Protocol):
    """The next hops of one protocol."""

    opened: int

    @property
    def in_flight(self) -> int:
        """The number of calls that have not finished."""

    def close(self) -> None:
        """End all calls and connections."""


class Router:
    """Passes each call to the next hops of its protocol."""

    def __init__(self, by_protocol: Mapping[str, ProtocolNextHops], protocols: Mapping[str, str]) -> None:
        """`protocols`: the protocol of each next hop, by its id."""
        self.by_protocol, self.protocols = by_protocol, protocols

    def start(self, call: Call) -> None:
        """Start a call."""
        self.by_protocol[self.protocols.get(call.hop.id, "http")].start(call)

    def cancel(self, call: Call) -> None:
        """Cancel a call."""
        for next_hops in self.by_protocol.values():  # ignored by those that don't have the call
            next_hops.cancel(call)

    def close_idle(self, hop_id: str) -> None:
        """Close the idle connections to this next hop, and those in use after their calls."""
        for next_hops in self.by_protocol.values():
            next_hops.close_idle(hop_id)

    @property
    def in_flight(self) -> int:
        """The number of calls that have not finished."""
        return sum(next_hops.in_flight for next_hops in self.by_protocol.values())

    @property
    def opened(self) -> int:
        """The number of connections opened since the start."""
        return sum(next_hops.opened for next_hops in self.by_protocol.values())

    def close(self) -> None:
        """End all calls and connections."""
        for next_hops in self.by_protocol.values():
            next_hops.close()
