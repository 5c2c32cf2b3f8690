"""Serves status on loopback: `GET /status` and further pages, each answered with one JSON object."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, cast

import orjson

from mountgauge.core.config import Address
from mountgauge.http1 import Client, HttpError, Parser, request, response

Report = Callable[[], Mapping[str, Any]]

_MAX_CONNECTIONS = 16
_MAX_ANSWER_BYTES = 64 << 20
_MAX_CONNECTION_S = 5.0  # after which a connection is aborted


class _StatusConnection(asyncio.BufferedProtocol):
    def __init__(self, server: StatusServer) -> None:
        self._server = server
        self._parser = Parser(requests=True, max_body_bytes=4096)
        self._buffer = bytearray(4096)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._server.connections >= _MAX_CONNECTIONS:
            self._transport.abort()
        self._server.connections += 1
        asyncio.get_running_loop().call_later(_MAX_CONNECTION_S, self._transport.abort)

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections -= 1

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        assert self._transport is not None
        try:
            requests = self._parser.feed(memoryview(self._buffer)[:nbytes])
        except HttpError:
            self._transport.write(response(400, "Bad Request", {"Connection": "close"}, b""))
            self._transport.close()
            return
        for one in requests[:1]:
            page = self._server.pages.get(one.start[1]) if one.start is not None else None
            if page is not None and one.start is not None and one.start[0] == "GET":
                body = orjson.dumps(page())
                headers = {"Content-Type": "application/json", "Connection": "close"}
                self._transport.write(response(200, "OK", headers, body))
            else:
                self._transport.write(response(404, "Not Found", {"Connection": "close"}, b""))
            self._transport.close()


class LoopbackServer:
    """A server with one listening socket. Subclasses choose the protocol of its connections."""

    _server: asyncio.Server | None = None

    def make_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection."""
        raise NotImplementedError

    async def listen(self, address: Address) -> None:
        """Accept connections on this address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.make_protocol, address.host, address.port)

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


class StatusServer(LoopbackServer):
    """Serves a report at `/status`, and further reports at the paths in `pages`, as JSON."""

    def __init__(
        self, report: Callable[[], Mapping[str, Any]], pages: Mapping[str, Report] | None = None
    ) -> None:
        self.pages: dict[str, Report] = {"/status": report, **(pages or {})}
        self.connections = 0

    def make_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection."""
        return _StatusConnection(self)


async def fetch_status(address: Address, limit: float = 2.0, page: str = "/status") -> dict[str, Any]:
    """Fetch a page from an agent or an instance. OSError or ValueError if it does not answer properly."""
    client = Client(address.host, address.port, _MAX_ANSWER_BYTES)
    try:
        host = f"{address.host}:{address.port}"
        answer = await client.exchange(request("GET", page, host, {}), limit)
    finally:
        client.close()
    if answer.status != 200:
        raise ValueError(f"status {answer.status}")
    content = orjson.loads(answer.body)
    if not isinstance(content, dict):
        raise ValueError("not an object")
    return content
