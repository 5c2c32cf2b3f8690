"""The relay's HTTP server on real sockets: one request at a time, and its limits."""

from __future__ import annotations

import asyncio
import socket

import pytest

from mountgauge.core.config import Address
from mountgauge.http1 import Client, request
from mountgauge.relay.server import Drop, Exchange, PollServer, ServerLimits
from tests.helper import HOST, run, until

GET = request("GET", "/poll", "relay", {})


class Polls:
    """Holds each exchange until the test answers it."""

    def __init__(self) -> None:
        self.open: list[Exchange] = []
        self.disconnected = 0

    def handle(self, exchange: Exchange) -> None:
        self.open.append(exchange)
        exchange.on_disconnect = self._on_disconnect

    def _on_disconnect(self) -> None:
        self.disconnected += 1


async def start_server(limits: ServerLimits) -> tuple[PollServer, Polls]:
    polls = Polls()
    server = PollServer(polls.handle, limits)
    await server.listen(Address(HOST, 0))
    return server, polls


async def send_request(port: int, data: bytes = GET) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    return reader, writer


def test_an_exchange_is_answered_once_and_its_connection_serves_the_next_one() -> None:
    async def main() -> None:
        server, polls = await start_server(ServerLimits())
        client = Client(HOST, server.port)
        for number in range(3):
            answer = asyncio.ensure_future(client.exchange(GET, 5.0))
            await until(lambda: polls.open)
            exchange = polls.open.pop()
            exchange.answer(200, b"%d" % number)
            exchange.answer(200, b"again")
            assert bytes((await answer).body) == b"%d" % number
        assert (server.counts["requests"], server.counts["answers"], len(server.connections)) == (3, 3, 1)
        client.close()
        await until(lambda: not server.connections)
        server.close()

    run(main())


def test_a_disconnect_before_the_answer_is_reported_once() -> None:
    async def main() -> None:
        server, polls = await start_server(ServerLimits())
        _, writer = await send_request(server.port)
        await until(lambda: polls.open)
        writer.transport.abort()
        await until(lambda: polls.disconnected)
        assert not polls.open[0].open
        polls.open[0].answer(200, b"nobody reads this")
        assert (polls.disconnected, server.counts["answers"]) == (1, 0)
        server.close()

    run(main())


@pytest.mark.parametrize(
    ("data", "limits", "reason"),
    [
        (GET + GET, ServerLimits(), Drop.PIPELINED),
        (b"GET / SMTP\r\n\r\n", ServerLimits(), Drop.UNREADABLE),
        (b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", ServerLimits(request_bytes=100), Drop.UNREADABLE),
        (b"GET / HTTP/1.1\r\n", ServerLimits(request_s=0.05), Drop.UNFINISHED),
        (b"", ServerLimits(idle_s=0.05), Drop.IDLE),
        (b"", ServerLimits(connections=0), Drop.TOO_MANY_CONNECTIONS),
    ],
)
def test_exceeding_a_limit_closes_the_connection_with_its_reason(
    data: bytes, limits: ServerLimits, reason: Drop
) -> None:
    async def main() -> None:
        server, polls = await start_server(limits)
        _, writer = await send_request(server.port, data)
        await until(lambda: server.drops)
        assert dict(server.drops) == {reason: 1} and polls.open == []
        await until(lambda: not server.connections)
        writer.close()
        server.close()

    run(main())


async def non_reading_peer(port: int) -> socket.socket:
    """Return a socket with a small receive buffer, on which a request was sent and nothing is read."""
    peer = socket.socket()
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    peer.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(peer, (HOST, port))
    await loop.sock_sendall(peer, GET)
    return peer


@pytest.mark.parametrize("limits", [ServerLimits(unread_bytes=1000), ServerLimits(read_s=0.1)])
def test_a_peer_that_does_not_read_its_answer_is_dropped(limits: ServerLimits) -> None:
    async def main() -> None:
        server, polls = await start_server(limits)
        peer = await non_reading_peer(server.port)
        await until(lambda: polls.open)
        polls.open[0].answer(200, b"x" * (8 << 20))
        await until(lambda: server.drops)
        assert dict(server.drops) == {Drop.SLOW_READER: 1} and server.unread_bytes == 0
        peer.close()
        server.close()

    run(main())


def test_the_peer_with_the_most_unread_bytes_is_dropped_when_the_total_limit_is_exceeded() -> None:
    async def main() -> None:
        server, polls = await start_server(ServerLimits(all_unread_bytes=40 << 20))
        peers = []
        for size in (16, 32, 17):  # MB, of which the sockets' buffers hold a few
            peers.append(await non_reading_peer(server.port))
            await until(lambda: polls.open)
            polls.open.pop().answer(200, b"x" * (size << 20))
        assert dict(server.drops) == {Drop.SLOW_READER: 1}
        mb = sorted(connection.unread_bytes >> 20 for connection in server.connections)
        assert mb[0] <= 16 and mb[1] <= 17 and server.unread_bytes < 34 << 20, "the peer of 32 MB is dropped"
        for peer in peers:
            peer.close()
        server.close()

    run(main())


@pytest.mark.parametrize(
    "begin",
    [
        GET[:-2] + b"x-a: 1\r\n" * 90 + b"x-b: " + b"2" * 9_000,  # inside a head
        b"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + b"x" * 60_000,  # inside a body
    ],
)
def test_incomplete_requests_of_all_peers_are_limited_together(begin: bytes) -> None:
    """Guards against hundreds of peers that stop inside a large request: only answers had a common limit."""

    async def main() -> None:
        limit = 1 << 20
        server, _ = await start_server(ServerLimits(all_unread_bytes=limit))
        writers = [(await send_request(server.port, begin))[1] for _ in range(200)]
        drops, all_bytes = server.drops, len(begin) - 300  # without the ends of lines
        await until(lambda: len(server.connections) + drops[Drop.TOO_MANY_BYTES] == len(writers))
        await until(lambda: all(one.incomplete_bytes > all_bytes for one in server.connections))
        assert limit - len(begin) < server.incomplete_bytes <= limit, "no more are dropped than needed"
        assert server.incomplete_bytes == sum(one.incomplete_bytes for one in server.connections)
        client = Client(HOST, server.port)
        with pytest.raises(TimeoutError):  # accepted: the test's handler does not answer it
            await client.exchange(GET, 0.2)
        assert server.counts["requests"] == 1
        for writer in writers:
            writer.close()
        client.close()
        server.close()

    run(main())


def test_a_request_that_waits_for_its_answer_holds_no_body() -> None:
    """Guards against thousands of long polls that each hold their request for a minute."""

    async def main() -> None:
        server, polls = await start_server(ServerLimits())
        ask = request("POST", "/poll", "relay", {"x-a": "1" * 9_000}, b"x" * 60_000)
        _, writer = await send_request(server.port, ask)
        await until(lambda: polls.open)
        waiting = polls.open[0].request
        assert (len(waiting.body), waiting.headers) == (0, {}) and polls.open[0].target == "/poll"
        writer.close()
        server.close()

    run(main())
