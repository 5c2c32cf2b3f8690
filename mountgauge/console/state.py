"""The state that console calls change, without I/O or a clock: the lame duck's timeline, and the set of
detached endpoints as it is encoded in the state folder.
"""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from mountgauge.console.calls import Reply

CLOSE_IDLE_DELAY_S = 0.3  # after lame duck on: the platform's front sends new connections for 0.2 s
OFF_TIMEOUT_S = 1.9  # after the call to end the drain, which must be answered within 2 s


@dataclass(slots=True)
class LameDuck:
    """Whether the sender is a lame duck, which sends its clients elsewhere, and since when."""

    since: float | None = None  # s; None: not a lame duck

    def turn_on(self, now: float) -> float:
        """When idle client connections are to be closed (s); repeated calls keep the first time."""
        if self.since is None:
            self.since = now
        return self.since + CLOSE_IDLE_DELAY_S

    def drain_result(self, asked_at: float, now: float, open_connections: int) -> Reply | None:
        """The answer to the call that ends the drain, or None while it has to wait."""
        if open_connections == 0:
            self.since = None
            return Reply(200, "drained: no client connection is left")
        if now - asked_at >= OFF_TIMEOUT_S:
            return Reply(503, f"still draining: {open_connections} client connections open")
        return None


def encode_detached(detached: set[str]) -> bytes:
    """The content of the file of detached endpoints."""
    return orjson.dumps(sorted(detached)) + b"\n"


def decode_detached(content: bytes) -> set[str]:
    """The ids in the file; raises ValueError if it is not a list of ids."""
    found = orjson.loads(content) if content.strip() else []
    if not isinstance(found, list) or not all(isinstance(one, str) for one in found):
        raise ValueError("not a list of endpoint ids")
    return set(found)
