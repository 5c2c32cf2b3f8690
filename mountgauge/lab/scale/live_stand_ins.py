"""Stand-ins of a live comparison, on loopback: discovery, a partner that counts what it gets, clients."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from urllib.parse import parse_qs, urlsplit

from mountgauge.core.config import Address
from mountgauge.lab.scale.discovery import DiscoveryList
from mountgauge.lab.scale.schedule import ListChange
from mountgauge.relay.server import Exchange, PollServer, ServerLimits

_ANSWER_S = 5.0  # in which a sender answers a client
_MOST_ANSWER = 512 << 20  # bytes of a whole list


class LiveDiscovery:
    """Serves a `DiscoveryList` by index and wait."""

    def __init__(self, listed: DiscoveryList) -> None:
        self.list = listed
        self.server = PollServer(self._handle, ServerLimits(unread_bytes=_MOST_ANSWER))
        self._held: dict[Exchange, tuple[int, asyncio.TimerHandle]] = {}

    def _handle(self, exchange: Exchange) -> None:
        query = parse_qs(urlsplit(exchange.target).query)
        index = int(query["index"][0]) if "index" in query else None
        wait_s = int(query.get("wait", ["0"])[0]) / 1000
        if index is None or index != self.list.version or wait_s <= 0:
            exchange.answer(200, self.list.answer(index))
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
        exchange.answer(200, self.list.answer(index))

    def change(self, change: ListChange) -> None:
        """The list changes: those who wait hear of it."""
        self.list.apply(change)
        for exchange in list(self._held):
            self._answer(exchange)


class Partner:
    """Delivers what it is handed, and counts it by message."""

    def __init__(self) -> None:
        self.delivered: Counter[str] = Counter()
        self.server = PollServer(self._handle, ServerLimits())

    def _handle(self, exchange: Exchange) -> None:
        self.delivered[exchange.request.headers.get("x-trace-id", "")] += 1
        exchange.answer(200, b"{}")


class Client:
    """Hands messages to one sender, one after another on one connection."""

    def __init__(self, address: Address) -> None:
        self.taken: list[str] = []
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def hand_in(self, message_id: str, destination: int, deadline_s: float) -> None:
        """One message; `taken` has it where it was taken on. OSError where the sender does not answer."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._address.host, self._address.port)
        reader, writer = self._streams
        pairs = f"c=note,d={round(deadline_s * 1000)},k={message_id},dest={destination}"
        words = (b"ENQUEUE", b"0" * 16, message_id.encode(), pairs.encode(), b"hello")
        writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in words))
        async with asyncio.timeout(_ANSWER_S):
            answer = await reader.readline()
        if answer.startswith(b"+"):
            self.taken.append(message_id)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
