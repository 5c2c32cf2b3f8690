"""The relay's HTTP/1.1 server: kept connections that carry one long-poll at a time, bounded in every way.

It knows nothing of shards. A request that came whole is handed to `handle` as an `Exchange`; whoever holds
it answers it once, now or after its wait. What a peer sends past a bound, or does not read, ends its
connection with a reason that is counted and logged.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import cast

from mountgauge.core.config import Address
from mountgauge.http1 import HttpError, Message, Parser, response
from mountgauge.log import kv

log = logging.getLogger("mountgauge.relay")

_RECEIVE = bytearray(64 * 1024)  # shared: what arrives is copied out before the loop reads again
_BACKLOG = 1024  # connections that the system keeps until they are accepted
_LOG_EVERY_S = 1.0  # of drops for one reason: a crowd must not fill the log
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large",
    503: "Service Unavailable",
}  # fmt: skip


class Drop(StrEnum):
    """Why the server ended a connection."""

    TOO_MANY_CONNECTIONS = "too-many-connections"
    SLOW_READER = "slow-reader"  # it has not read its answer in time, or too much waits for it
    UNREADABLE = "unreadable"  # not HTTP/1.1, or more of it than a bound permits
    PIPELINED = "pipelined"  # a request before the answer to the last one
    IDLE = "idle"  # no request for too long
    UNFINISHED = "unfinished"  # a request that began did not come whole in time


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds of one server. Times in seconds, sizes in bytes."""

    connections: int = 4096
    request_bytes: int = 256 * 1024
    unread_bytes: int = 16 << 20  # that may wait to be written to one peer
    all_unread_bytes: int = 64 << 20  # that may wait to be written to all peers together
    read_s: float = 10.0  # in which a peer reads its answer
    request_s: float = 5.0  # in which a request that began must be whole
    idle_s: float = 90.0  # that a connection may stay open without a request


class ConnectionState(Enum):
    """What a connection is at."""

    IDLE = "idle"  # no request is under way
    RECEIVING = "receiving"  # part of a request has come
    WAITING = "waiting"  # a request waits for its answer
    WRITING = "writing"  # an answer waits to be read by the peer
    CLOSED = "closed"


class Exchange:
    """A request and the one answer that it is owed."""

    __slots__ = ("_connection", "on_disconnect", "request")

    def __init__(self, connection: PollConnection, request: Message) -> None:
        self._connection: PollConnection | None = connection
        self.request = request
        self.on_disconnect: Callable[[], None] | None = None  # the peer went before the answer

    @property
    def open(self) -> bool:
        """Whether the peer still waits for the answer."""
        return self._connection is not None

    @property
    def method(self) -> str:
        """The request's method."""
        return self.request.start[0] if self.request.start is not None else ""

    @property
    def target(self) -> str:
        """The request's path with its query."""
        return self.request.start[1] if self.request.start is not None else ""

    def answer(self, status: int, body: bytes) -> None:
        """Send the one answer; nothing where the peer has gone or has been answered."""
        connection, self._connection = self._connection, None
        self.on_disconnect = None
        if connection is not None:
            connection.write_answer(status, body, self.request.keep_alive)

    def abandon(self) -> None:
        """The connection has ended: whoever holds the exchange hears of it once."""
        self._connection = None
        gone, self.on_disconnect = self.on_disconnect, None
        if gone is not None:
            gone()


class PollConnection(asyncio.BufferedProtocol):
    """One peer: IDLE, RECEIVING, WAITING and WRITING in turn, at last CLOSED."""

    def __init__(self, server: PollServer) -> None:
        self.state = ConnectionState.IDLE
        self._server = server
        self._limits = server.limits
        self._parser = Parser(requests=True, most_body=server.limits.request_bytes)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self.unread_bytes = 0  # of an answer, as counted in the server's sum

    # From the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the peer in, or let it go where there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(0)  # pause and resume then tell when all is written
        if len(self._server.connections) >= self._limits.connections:
            self.drop(Drop.TOO_MANY_CONNECTIONS)
            return
        self._server.connections.add(self)
        self._expect(ConnectionState.IDLE)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Shared by all connections."""
        return _RECEIVE

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes of a request have come."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.state in (ConnectionState.WAITING, ConnectionState.WRITING):
            self.drop(Drop.PIPELINED)
            return
        try:
            requests = self._parser.feed(memoryview(_RECEIVE)[:nbytes])
        except HttpError as error:
            self._refuse(400, error)
            return
        if not requests:
            if self.state is ConnectionState.IDLE and not self._parser.clean:
                self._expect(ConnectionState.RECEIVING)
            return
        if len(requests) > 1 or not self._parser.clean:
            self.drop(Drop.PIPELINED)
            return
        self._serve(requests[0])

    def pause_writing(self) -> None:
        """The system takes no more: the rest of the answer waits for the peer."""
        if self.state is ConnectionState.IDLE:
            self._expect(ConnectionState.WRITING)

    def resume_writing(self) -> None:
        """The whole answer has been taken."""
        self._count_unread(0)
        if self.state is ConnectionState.WRITING:
            self._expect(ConnectionState.IDLE)

    def eof_received(self) -> bool:
        """A peer that ends its sending is gone."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        self._end()

    # Requests and answers

    def _serve(self, request: Message) -> None:
        self._expect(ConnectionState.WAITING)
        self._server.counts["requests"] += 1
        exchange = self._exchange = Exchange(self, request)
        self._server.handle(exchange)

    def write_answer(self, status: int, body: bytes, keep_alive: bool) -> None:
        """Write the answer of the request that waits."""
        assert self._transport is not None
        self._exchange = None
        headers = {"Content-Type": "application/json"}
        if not keep_alive:
            headers["Connection"] = "close"
        data = response(status, _REASONS[status], headers, body)
        self._expect(ConnectionState.IDLE)
        self._server.counts["answers"] += 1
        self._server.counts["answered_bytes"] += len(data)
        self._transport.write(data)  # where the system does not take it all, `pause_writing` is called
        if self.state is ConnectionState.CLOSED:
            return
        if not keep_alive:
            self._transport.close()
        waiting = self._transport.get_write_buffer_size()
        if waiting > self._limits.unread_bytes:
            self.drop(Drop.SLOW_READER)
        elif waiting:
            self._count_unread(waiting)
            self._server.bound_unread()

    def _count_unread(self, size: int) -> None:
        """What waits to be written counts whole until all of it has been."""
        self._server.unread_bytes += size - self.unread_bytes
        self.unread_bytes = size

    def _refuse(self, status: int, error: HttpError) -> None:
        assert self._transport is not None
        self._server.dropped(Drop.UNREADABLE, str(error))
        self._transport.write(response(status, _REASONS[status], {"Connection": "close"}, b""))
        transport = self._transport
        self._end()
        transport.close()

    # Time

    def _expect(self, state: ConnectionState) -> None:
        """Enter a state; each but WAITING lasts a bounded time."""
        self.state = state
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        if state is not ConnectionState.WAITING:
            limit_s, reason = self._server.state_limits[state]
            self._deadline = asyncio.get_running_loop().call_later(limit_s, self.drop, reason)

    def drop(self, reason: Drop) -> None:
        """End the connection at once, for a reason that is counted."""
        if self.state is ConnectionState.CLOSED:
            return
        self._server.dropped(reason)
        self.close()

    def close(self) -> None:
        """End the connection at once."""
        transport = self._transport
        self._end()
        if transport is not None:
            transport.abort()

    def _end(self) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        if self._deadline is not None:
            self._deadline.cancel()
        self._count_unread(0)
        self._server.connections.discard(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.abandon()


class PollServer:
    """Accepts peers and hands each whole request to `handle`."""

    def __init__(self, handle: Callable[[Exchange], None], limits: ServerLimits) -> None:
        self.handle, self.limits = handle, limits
        self.connections: set[PollConnection] = set()
        self.counts: Counter[str] = Counter()  # requests, answers, answered_bytes
        self.drops: Counter[Drop] = Counter()
        self._server: asyncio.Server | None = None
        self.unread_bytes = 0  # that wait to be written to all peers
        self.state_limits = {
            ConnectionState.IDLE: (limits.idle_s, Drop.IDLE),
            ConnectionState.RECEIVING: (limits.request_s, Drop.UNFINISHED),
            ConnectionState.WRITING: (limits.read_s, Drop.SLOW_READER),
        }
        self._logged: dict[Drop, float] = {}

    async def listen(self, address: Address) -> None:
        """Accept peers at `address`; port 0 is any free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PollConnection(self), address.host, address.port, backlog=_BACKLOG
        )

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def bound_unread(self) -> None:
        """Where too many bytes wait in all, the peers that most of them wait for go first."""
        if self.unread_bytes <= self.limits.all_unread_bytes:
            return
        for one in sorted(self.connections, key=lambda one: one.unread_bytes, reverse=True):
            if self.unread_bytes <= self.limits.all_unread_bytes:
                return
            one.drop(Drop.SLOW_READER)

    def dropped(self, reason: Drop, detail: str = "") -> None:
        """Count an end that this side chose; log it, at most once a while for one reason."""
        self.drops[reason] += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged.get(reason, -_LOG_EVERY_S) >= _LOG_EVERY_S:
            self._logged[reason] = now
            log.warning("dropped", extra=kv(reason=reason.value, times=self.drops[reason], detail=detail))

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for one in list(self.connections):
            one.close()
