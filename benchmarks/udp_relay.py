"""A relay between each pair of members: it loses, delays, doubles and splits what goes through it.

Each member's file names the relay's address for each other member in place of that member's own. What arrives
there goes to the other member from the address which that one knows the first by, so the relay looks to both
like a NAT. Seeded, on loopback only; `python -m benchmarks.udp_relay` with `host:port` of two members or more
runs one by hand and prints the addresses.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
from collections.abc import Sequence
from typing import Any, cast

Place = tuple[str, int]
HOST = "127.0.0.1"


class _Hole(asyncio.DatagramProtocol):
    """The relay's address of member `to`, as member `source` knows it."""

    def __init__(self, relay: Relay, source: int, to: int) -> None:
        self.relay, self.source, self.to = relay, source, to
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.pass_on(self.source, self.to, data)


class Relay:
    def __init__(self, members: Sequence[Place], loss: float, delay: float, seed: int, jitter: float = 0.0,
                 doubled: float = 0.0) -> None:  # fmt: skip
        """Times in seconds, `loss` and `doubled` as shares of the datagrams."""
        self.members, self.loss, self.delay = list(members), loss, delay
        self.jitter, self.doubled = jitter, doubled
        self.split: set[int] = set()  # members that are cut off from the rest
        self.passed = self.lost = self.bytes = 0
        self._rng = random.Random(seed)
        self._holes: dict[tuple[int, int], _Hole] = {}

    async def start(self) -> dict[tuple[int, int], Place]:
        """The address by which the first of each pair knows the second."""
        loop = asyncio.get_running_loop()
        found = {}
        for source in range(len(self.members)):
            for to in range(len(self.members)):
                if source != to:
                    hole = _Hole(self, source, to)
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda hole=hole: hole, local_addr=(HOST, 0)  # type: ignore[misc]
                    )  # fmt: skip
                    self._holes[source, to] = hole
                    found[source, to] = transport.get_extra_info("sockname")[:2]
        return found

    def pass_on(self, source: int, to: int, data: bytes) -> None:
        self.bytes += len(data)
        if (source in self.split) != (to in self.split) or self._rng.random() < self.loss:
            self.lost += 1
            return
        loop = asyncio.get_running_loop()
        for _ in range(1 + (self._rng.random() < self.doubled)):
            self.passed += 1
            loop.call_later(self.delay + self._rng.uniform(0, self.jitter), self._send, source, to, data)

    def _send(self, source: int, to: int, data: bytes) -> None:
        # From the address by which the receiver knows the sender.
        hole = self._holes[to, source]
        if hole.transport is not None and not hole.transport.is_closing():
            hole.transport.sendto(data, self.members[to])

    def close(self) -> None:
        for hole in self._holes.values():
            if hole.transport is not None:
                hole.transport.close()


async def _main(args: argparse.Namespace) -> None:
    members = [(one.rpartition(":")[0], int(one.rpartition(":")[2])) for one in args.member]
    relay = Relay(members, args.loss, args.delay, args.seed)
    for (source, to), place in (await relay.start()).items():
        print(f"{args.member[source]} knows {args.member[to]} by {place[0]}:{place[1]}")
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("member", nargs="+", help="host:port of each member")
    parser.add_argument("--loss", type=float, default=0.3)
    parser.add_argument("--delay", type=float, default=0.5, help="seconds")
    parser.add_argument("--seed", type=int, default=1)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(parser.parse_args()))
