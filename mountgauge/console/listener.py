"""The console's sockets: bounded, one call per connection, answered however busy the sender is."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import cast

from mountgauge.console.calls import MOST_BODY, Call, Reply, read
from mountgauge.http1 import HttpError, Parser
from mountgauge.log import kv
from mountgauge.status import LoopbackServer

log = logging.getLogger("mountgauge.console")

MOST = 64  # connections at once
FINISH_WITHIN = 4.0  # s from the connection to its whole request
_ANSWER_WITHIN = 3.0  # s for the runtime to carry a call out


class _Caller(asyncio.BufferedProtocol):
    def __init__(self, console: Console) -> None:
        self._console = console
        self._parser = Parser(requests=True, max_body_bytes=MOST_BODY)
        self._buffer = bytearray(4096)
        self._transport: asyncio.Transport | None = None
        self.asked = False  # a whole request has come
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._console.join(self):
            self._transport.abort()
            return
        self._timer = asyncio.get_running_loop().call_later(FINISH_WITHIN, self._late)

    def _late(self) -> None:
        if not self.asked:
            self.abort()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None
        self._console.left(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.asked:
            return  # one call per connection: what follows is not read
        try:
            whole = self._parser.feed(memoryview(self._buffer)[:nbytes])
        except HttpError as error:
            self.asked = True
            self.send(Reply(400, f"not a request: {error}"))
            return
        if whole:
            self.asked = True
            found = read(whole[0])
            if isinstance(found, Reply):
                self.send(found)
            else:
                asyncio.get_running_loop().create_task(self._carry_out(found))

    def eof_received(self) -> bool:
        return self.asked  # half-closed after its request, it still hears the answer

    async def _carry_out(self, call: Call) -> None:
        within = asyncio.timeout(_ANSWER_WITHIN)
        try:
            async with within:
                reply = await self._console.carry_out(call)
        except Exception as error:  # one call's fault is not the console's end
            if within.expired():
                reply = Reply(503, "not carried out in time")
            else:  # a TimeoutError of the system's is a fault as well
                log.exception("console-call-failed", extra=kv(call=call.kind))
                reply = Reply(503, f"failed: {error!r}"[:200])
        self.send(reply)

    def send(self, reply: Reply) -> None:
        log.info("console", extra=kv(answer=reply.status, says=reply.text))
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(reply.encode())
            self._transport.close()


class Console(LoopbackServer):
    """At most `MOST` callers; one that has not finished its request gives way to a newcomer."""

    def __init__(self, carry_out: Callable[[Call], Awaitable[Reply]]) -> None:
        self.carry_out = carry_out
        self._callers: dict[_Caller, None] = {}  # in the order they came

    def join(self, caller: _Caller) -> bool:
        if len(self._callers) >= MOST:
            silent = next((one for one in self._callers if not one.asked), None)
            if silent is None:
                return False
            del self._callers[silent]
            silent.abort()
        self._callers[caller] = None
        return True

    def left(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)

    def make_protocol(self) -> asyncio.BaseProtocol:
        return _Caller(self)

    def close(self) -> None:
        super().close()
        for caller in list(self._callers):
            if caller.asked:
                caller.send(Reply(503, "the sender stops"))
            else:
                caller.abort()
