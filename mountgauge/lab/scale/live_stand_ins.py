"""Loopback stand-ins of a live comparison: discovery, a partner that counts messages, and clients."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from urllib.parse import parse_qs, urlsplit

from mountgauge.core.config import Address
from mountgauge.lab.scale.discovery import DiscoveryList
from mountgauge.lab.scale.schedule import ListChange
from mountgauge.relay.server import Exchange, PollServer, ServerLimits

_ANSWER_TIMEOUT_S = 5.0  # of a sender to a client
_MAX_ANSWER_BYTES = 512 << 20  # of a full list


class LiveDiscovery:
    """Serves a `DiscoveryList` to calls with index and wait."""

    def __init__(self, listed: DiscoveryList) -> None:
        self.listed = listed
        self.server = PollServer(self._handle, ServerLimits(unread_bytes=_MAX_ANSWER_BYTES))
        self._held: dict[Exchange, tuple[int, asyncio.TimerHandle]] = {}

    def _handle(self, exchange: Exchange) -> None:
        query = parse_qs(urlsplit(exchange.target).query)
        index = int(query["index"][0]) if "index" in query else None
        wait_s = int(query.get("wait", ["0"])[0]) / 1000
        if index is None or index != self.listed.version or wait_s <= 0:
            exchange.answer(200, self.listed.answer(index))
            return
        timer = asyncio.get_running_loop().call_later(wait_s, self._answer, exchange)
        self._held[exchange] = index, timer
        exchange.on_disconnect = partial(self._drop, exchange)

    def _drop(self, exchange: Exchange) -> None:
        self._forget(exchange)

    def _forget(self, exchange: Exchange) -> int | None:
        index, timer = self._held.pop(exchange, (None, None))
        if timer is not None:
            timer.cancel()
        return index

    def _answer(self, exchange: Exchange) -> None:
        index = self._forget(exchange)
        exchange.answer(200, self.listed.answer(index))

    def change(self, change: ListChange) -> None:
        """Change the list and answer all held calls."""
        self.listed.apply(change)
        for exchange in list(self._held):
            self._answer(exchange)


class Partner:
    """Accepts every message and counts deliveries by message id."""

    def __init__(self) -> None:
        self.delivered: Counter[str] = Counter()
        self.server = PollServer(self._handle, ServerLimits())

    def _handle(self, exchange: Exchange) -> None:
        self.delivered[exchange.request.headers.get("x-trace-id", "")] += 1
        exchange.answer(200, b"{}")


class Client:
    """Submits messages to one sender, one after the other on one connection."""

    def __init__(self, address: Address) -> None:
        self.accepted: list[str] = []
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def submit(self, message_id: str, destination: int, deadline_s: float) -> None:
        """Submit one message and add it to `accepted` if the sender accepts it.

        Raises OSError if the sender does not answer.
        """
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._address.host, self._address.port)
        reader, writer = self._streams
        pairs = f"c=note,d={round(deadline_s * 1000)},k={message_id},dest={destination}"
        arguments = (b"ENQUEUE", b"0" * 16, message_id.encode(), pairs.encode(), b"hello")
        writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in arguments))
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            answer = await reader.readline()
        if answer.startswith(b"+"):
            self.accepted.append(message_id)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
