"""What the listening sides share: accepting a few at a time, and reading on from a peer that is not heard."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

_BACKLOG = 1024  # connections that the kernel holds until they are accepted
_AT_ONCE = 8  # accepted in one turn of the loop, so that each is counted before many more come
_SINK = bytearray(256 * 1024)
_PAUSE = 0.02  # s between two reads of what is thrown away
LINGER = 1.0  # s in which a peer may read why it is let go


async def serve(
    protocol: Callable[[], asyncio.BaseProtocol], host: str, port: int
) -> tuple[asyncio.Server, int]:
    """A listening server and its port.

    asyncio accepts up to `backlog` connections before it makes the first of them: a flood would take every
    descriptor before one could be let go, and then asyncio stops listening for a second.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind((host, port))
        server = await asyncio.get_running_loop().create_server(protocol, sock=listening, backlog=_AT_ONCE)
    except BaseException:
        listening.close()
        raise
    listening.listen(_BACKLOG)
    return server, int(listening.getsockname()[1])


class Drain:
    """Reads on and throws away, at a bounded pace, until the peer has had time to read the last words.

    Closed with bytes unread, a connection is reset, and what was said last may be lost with it.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._end = asyncio.get_running_loop().call_later(LINGER, transport.abort)

    @staticmethod
    def buffer() -> bytearray:
        return _SINK

    def took(self) -> None:
        if not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(_PAUSE, self._on)

    def _on(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        self._end.cancel()
