"""The console's sockets: a limited number of connections, with one call and a prompt answer on each."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import cast

from mountgauge.console.calls import MAX_BODY_BYTES, Call, Reply, parse_call
from mountgauge.http1 import HttpError, Parser
from mountgauge.log import kv
from mountgauge.status import LoopbackServer

log = logging.getLogger("mountgauge.console")

MAX_CALLERS = 64  # concurrent connections
REQUEST_TIMEOUT_S = 4.0  # from the connection to its complete request
_EXECUTE_TIMEOUT_S = 3.0  # for the service to execute a call


class _Caller(asyncio.BufferedProtocol):
    """One connection of an operator."""

    def __init__(self, console: Console) -> None:
        self._console = console
        self._parser = Parser(requests=True, max_body_bytes=MAX_BODY_BYTES)
        self._buffer = bytearray(4096)
        self._transport: asyncio.Transport | None = None
        self.request_read = False  # a complete or an invalid request has arrived
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._console.add_caller(self):
            self._transport.abort()
            return
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._on_request_timeout)

    def _on_request_timeout(self) -> None:
        if not self.request_read:
            self.abort()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None
        self._console.remove_caller(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.request_read:
            return  # one call per connection: further bytes are ignored
        try:
            requests = self._parser.feed(memoryview(self._buffer)[:nbytes])
        except HttpError as error:
            self.request_read = True
            self.send(Reply(400, f"not a request: {error}"))
            return
        if requests:
            self.request_read = True
            parsed = parse_call(requests[0])
            if isinstance(parsed, Reply):
                self.send(parsed)
            else:
                asyncio.get_running_loop().create_task(self._execute(parsed))

    def eof_received(self) -> bool:
        return self.request_read  # a client that half-closes after its request still gets the answer

    async def _execute(self, call: Call) -> None:
        timeout = asyncio.timeout(_EXECUTE_TIMEOUT_S)
        try:
            async with timeout:
                reply = await self._console.execute(call)
        except Exception as error:  # a failed call must not stop the console
            if timeout.expired():
                reply = Reply(503, "not carried out in time")
            else:  # a TimeoutError from the system is a failure too
                log.exception("console-call-failed", extra=kv(call=call.kind))
                reply = Reply(503, f"failed: {error!r}"[:200])
        self.send(reply)

    def send(self, reply: Reply) -> None:
        log.info("console", extra=kv(answer=reply.status, says=reply.text))
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(reply.encode())
            self._transport.close()


class Console(LoopbackServer):
    """At most `MAX_CALLERS` connections; a new one displaces one whose request is not complete."""

    def __init__(self, execute: Callable[[Call], Awaitable[Reply]]) -> None:
        self.execute = execute
        self._callers: dict[_Caller, None] = {}  # in the order of connection

    def add_caller(self, caller: _Caller) -> bool:
        """Admit a connection; False if all others have complete requests and the limit is reached."""
        if len(self._callers) >= MAX_CALLERS:
            incomplete = next((other for other in self._callers if not other.request_read), None)
            if incomplete is None:
                return False
            del self._callers[incomplete]
            incomplete.abort()
        self._callers[caller] = None
        return True

    def remove_caller(self, caller: _Caller) -> None:
        """Forget a connection that is closed."""
        self._callers.pop(caller, None)

    def make_protocol(self) -> asyncio.BaseProtocol:
        return _Caller(self)

    def close(self) -> None:
        super().close()
        for caller in list(self._callers):
            if caller.request_read:
                caller.send(Reply(503, "the sender stops"))
            else:
                caller.abort()
