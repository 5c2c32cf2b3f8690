"""The relay's HTTP/1.1 server: persistent connections that each carry one long poll at a time, within limits.

The server does not depend on shards. A complete request is passed to `handle` as an `Exchange`, which is
answered once, immediately or after its wait. A peer that exceeds a limit, or does not read its answer, is
disconnected with a reason that is counted and logged.
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

_RECEIVE_BUFFER = bytearray(64 * 1024)  # shared: its bytes are copied out before the loop reads again
_BACKLOG = 1024  # connections that the operating system queues until they are accepted
_LOG_INTERVAL_S = 1.0  # between log lines for one drop reason, so that many drops don't flood the log
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large",
    503: "Service Unavailable",
}  # fmt: skip


class Drop(StrEnum):
    """Why the server ended a connection."""

    TOO_MANY_CONNECTIONS = "too-many-connections"
    SLOW_READER = "slow-reader"  # it did not read its answer in time, or too many bytes are unread
    UNREADABLE = "unreadable"  # not HTTP/1.1, or larger than a limit permits
    PIPELINED = "pipelined"  # a request was sent before the previous one was answered
    IDLE = "idle"  # no request for too long
    UNFINISHED = "unfinished"  # a request was started but not completed in time
    TOO_MANY_BYTES = "too-many-bytes"  # incomplete requests take too much memory, and it has the largest one


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one server. Times in seconds, sizes in bytes."""

    connections: int = 4096
    request_bytes: int = 256 * 1024
    unread_bytes: int = 16 << 20  # buffered for one peer at most
    all_unread_bytes: int = 64 << 20  # buffered for all peers together at most, and again of their requests
    read_s: float = 10.0  # for a peer to read its answer
    request_s: float = 5.0  # from the first byte of a request to its last
    idle_s: float = 90.0  # for which a connection may stay open without a request


class ConnectionState(Enum):
    """State of a connection."""

    IDLE = "idle"  # no request in progress
    RECEIVING = "receiving"  # a request has been received in part
    WAITING = "waiting"  # a request waits for its answer
    WRITING = "writing"  # an answer has not been read by the peer completely
    CLOSED = "closed"


class Exchange:
    """A request and its one answer."""

    __slots__ = ("_connection", "_keep_alive", "on_disconnect", "request")

    def __init__(self, connection: PollConnection, request: Message) -> None:
        self._connection: PollConnection | None = connection
        self.request = request  # its headers and its body only until `handle` returns
        self._keep_alive = request.keep_alive
        self.on_disconnect: Callable[[], None] | None = None  # called if the peer leaves before its answer

    @property
    def open(self) -> bool:
        """Whether the peer is still waiting for the answer."""
        return self._connection is not None

    @property
    def method(self) -> str:
        """The request's method."""
        return self.request.start[0] if self.request.start is not None else ""

    @property
    def target(self) -> str:
        """The request's path with its query."""
        return self.request.start[1] if self.request.start is not None else ""

    def replace_peer_name(self, name: str) -> str:
        """Note the name under which the peer asks; returns the one of its last request, empty if none."""
        if self._connection is None:
            return ""
        before, self._connection.peer_name = self._connection.peer_name, name
        return before

    def answer(self, status: int, body: bytes) -> None:
        """Send the answer; does nothing if the peer has disconnected or was answered already."""
        connection, self._connection = self._connection, None
        self.on_disconnect = None
        if connection is not None:
            connection.write_answer(status, body, self._keep_alive)

    def disconnected(self) -> None:
        """Detach from the closed connection and call `on_disconnect` once."""
        self._connection = None
        callback, self.on_disconnect = self.on_disconnect, None
        if callback is not None:
            callback()


class PollConnection(asyncio.BufferedProtocol):
    """Connection of one peer: cycles through IDLE, RECEIVING, WAITING and WRITING until it is CLOSED."""

    def __init__(self, server: PollServer) -> None:
        self.state = ConnectionState.IDLE
        self._server = server
        self._limits = server.limits
        self._parser = Parser(requests=True, max_body_bytes=server.limits.request_bytes)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self.peer_name = ""  # under which the peer has asked
        self.unread_bytes = 0  # of the answer, as included in the server's total
        self.incomplete_bytes = 0  # of the request, as included in the server's total

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the peer, or drop it if there are too many connections."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(0)  # so that `resume_writing` means all bytes are written
        if len(self._server.connections) >= self._limits.connections:
            self.drop(Drop.TOO_MANY_CONNECTIONS)
            return
        self._server.connections.add(self)
        self._enter(ConnectionState.IDLE)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that all connections share."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes received."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.state in (ConnectionState.WAITING, ConnectionState.WRITING):
            self.drop(Drop.PIPELINED)
            return
        try:
            requests = self._parser.feed(memoryview(_RECEIVE_BUFFER)[:nbytes])
        except HttpError as error:
            self._reject(400, error)
            return
        if not requests:
            if self.state is ConnectionState.IDLE and not self._parser.clean:
                self._enter(ConnectionState.RECEIVING)
            self._count_incomplete(self._parser.held_bytes)
            self._server.enforce_incomplete_limit()
            return
        self._count_incomplete(0)
        if len(requests) > 1 or not self._parser.clean:
            self.drop(Drop.PIPELINED)
            return
        self._serve(requests[0])

    def pause_writing(self) -> None:
        """The socket's send buffer is full: the remainder of the answer waits for the peer to read."""
        if self.state is ConnectionState.IDLE:
            self._enter(ConnectionState.WRITING)

    def resume_writing(self) -> None:
        """The complete answer has been written to the socket."""
        self._count_unread(0)
        if self.state is ConnectionState.WRITING:
            self._enter(ConnectionState.IDLE)

    def eof_received(self) -> bool:
        """Close the connection when the peer half-closes it."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Release what the connection holds."""
        self._release()

    # Requests and answers

    def _serve(self, request: Message) -> None:
        self._enter(ConnectionState.WAITING)
        self._server.counts["requests"] += 1
        exchange = self._exchange = Exchange(self, request)
        self._server.handle(exchange)
        request.body, request.headers = bytearray(), {}  # a long poll may wait for a minute

    def write_answer(self, status: int, body: bytes, keep_alive: bool) -> None:
        """Write the answer to the pending request."""
        assert self._transport is not None
        self._exchange = None
        headers = {"Content-Type": "application/json"}
        if not keep_alive:
            headers["Connection"] = "close"
        data = response(status, _REASONS[status], headers, body)
        self._enter(ConnectionState.IDLE)
        self._server.counts["answers"] += 1
        self._server.counts["answered_bytes"] += len(data)
        self._transport.write(data)  # calls `pause_writing` if the socket doesn't accept all of it
        if self.state is ConnectionState.CLOSED:
            return
        if not keep_alive:
            self._transport.close()
        buffered = self._transport.get_write_buffer_size()
        if buffered > self._limits.unread_bytes:
            self.drop(Drop.SLOW_READER)
        elif buffered:
            self._count_unread(buffered)
            self._server.enforce_unread_limit()

    def _count_unread(self, size: int) -> None:
        """Update the server's total. An answer counts at its initial buffered size until all is written."""
        self._server.unread_bytes += size - self.unread_bytes
        self.unread_bytes = size

    def _count_incomplete(self, size: int) -> None:
        """Update the server's total."""
        self._server.incomplete_bytes += size - self.incomplete_bytes
        self.incomplete_bytes = size

    def _reject(self, status: int, error: HttpError) -> None:
        assert self._transport is not None
        self._server.dropped(Drop.UNREADABLE, str(error))
        self._transport.write(response(status, _REASONS[status], {"Connection": "close"}, b""))
        transport = self._transport
        self._release()
        transport.close()

    # States and their time limits

    def _enter(self, state: ConnectionState) -> None:
        """Enter a state; each one but WAITING has a time limit."""
        self.state = state
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        if state is not ConnectionState.WAITING:
            limit_s, reason = self._server.state_limits[state]
            self._deadline = asyncio.get_running_loop().call_later(limit_s, self.drop, reason)

    def drop(self, reason: Drop) -> None:
        """Close the connection immediately and count the reason."""
        if self.state is ConnectionState.CLOSED:
            return
        self._server.dropped(reason)
        self.close()

    def close(self) -> None:
        """Close the connection immediately."""
        transport = self._transport
        self._release()
        if transport is not None:
            transport.abort()

    def _release(self) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        if self._deadline is not None:
            self._deadline.cancel()
        self._count_unread(0)
        self._count_incomplete(0)
        self._server.connections.discard(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.disconnected()


class PollServer:
    """Accepts peers and passes each complete request to `handle`."""

    def __init__(self, handle: Callable[[Exchange], None], limits: ServerLimits) -> None:
        self.handle, self.limits = handle, limits
        self.connections: set[PollConnection] = set()
        self.counts: Counter[str] = Counter()  # requests, answers, answered_bytes
        self.drops: Counter[Drop] = Counter()
        self._server: asyncio.Server | None = None
        self.unread_bytes = 0  # buffered for all peers together
        self.incomplete_bytes = 0  # received from all peers together of incomplete requests
        self.state_limits = {
            ConnectionState.IDLE: (limits.idle_s, Drop.IDLE),
            ConnectionState.RECEIVING: (limits.request_s, Drop.UNFINISHED),
            ConnectionState.WRITING: (limits.read_s, Drop.SLOW_READER),
        }
        self._logged: dict[Drop, float] = {}

    async def listen(self, address: Address) -> None:
        """Accept peers at `address`; port 0 selects any free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PollConnection(self), address.host, address.port, backlog=_BACKLOG
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def enforce_unread_limit(self) -> None:
        """Drop the peers with the most unread bytes until the total is within its limit."""
        if self.unread_bytes <= self.limits.all_unread_bytes:
            return
        for one in sorted(self.connections, key=lambda one: one.unread_bytes, reverse=True):
            if self.unread_bytes <= self.limits.all_unread_bytes:
                return
            one.drop(Drop.SLOW_READER)

    def enforce_incomplete_limit(self) -> None:
        """Drop the peers with the largest incomplete requests until the total is within its limit."""
        while self.incomplete_bytes > self.limits.all_unread_bytes:
            max(self.connections, key=lambda one: one.incomplete_bytes).drop(Drop.TOO_MANY_BYTES)

    def dropped(self, reason: Drop, detail: str = "") -> None:
        """Count a connection that this side closed; log at most one line per reason and interval."""
        self.drops[reason] += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged.get(reason, -_LOG_INTERVAL_S) >= _LOG_INTERVAL_S:
            self._logged[reason] = now
            log.warning("dropped", extra=kv(reason=reason.value, times=self.drops[reason], detail=detail))

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for one in list(self.connections):
            one.close()
