"""What the console's calls do to the sender, decided without I/O or clock: the lame duck's timeline and
the set of endpoints that operators took out, in the form it has in the state folder."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from mountgauge.console.calls import Reply

LET_GO_AFTER = 0.3  # s after lame duck on: the front sends new connections for 0.2 s
OFF_WITHIN = 1.9  # s after the call to end the drain: its yes is owed within 2


@dataclass(slots=True)
class LameDuck:
    """Whether the sender turns its clients away, and since when (s)."""

    since: float | None = None  # on since then

    def turn_on(self, now: float) -> float:
        """When client connections are to be let go of; a repeated call keeps the first time."""
        if self.since is None:
            self.since = now
        return self.since + LET_GO_AFTER

    def off(self, asked_at: float, now: float, open_connections: int) -> Reply | None:
        """The answer to the end of the drain, or None while it is still to be waited for."""
        if open_connections == 0:
            self.since = None
            return Reply(200, "drained: no client connection is left")
        if now - asked_at >= OFF_WITHIN:
            return Reply(503, f"still draining: {open_connections} client connections open")
        return None


def encode_detached(detached: set[str]) -> bytes:
    """The ids as the file in the folder has them."""
    return orjson.dumps(sorted(detached)) + b"\n"


def detached_read(content: bytes) -> set[str]:
    """ValueError where the file is not a list of ids."""
    found = orjson.loads(content) if content.strip() else []
    if not isinstance(found, list) or not all(isinstance(one, str) for one in found):
        raise ValueError("not a list of endpoint ids")
    return set(found)
