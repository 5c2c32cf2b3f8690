"""One call to discovery on its connection, from the dial to the whole answer: the sockets of a `ListCall`."""

from __future__ import annotations

import asyncio
from math import inf
from typing import Protocol

from mountgauge.connecting import connect
from mountgauge.core.config import Address
from mountgauge.http1 import Connection, Message, State, request
from mountgauge.platform.list_call import Failure, ListCall

MOST_LIST_BYTES = 8 << 20
# In which an answer that has begun must be whole: the rest of it would count as notified without having come.
MOST_REST_S = 2.0
LOOK_S = 0.02  # between two looks whether a request that the socket did not take has left


class ExchangeOwner(Protocol):
    """Who is told what becomes of an exchange."""

    def connected(self, exchange: ListExchange) -> bool:
        """Its connection has come up; whether it is to ask."""

    def unsent(self, exchange: ListExchange) -> None:
        """Its request lies in the process, as the socket does not take it."""

    def sent(self, exchange: ListExchange) -> None:
        """Such a request has left in full."""

    def answered(self, exchange: ListExchange, message: Message, connection: Connection) -> None:
        """A whole answer has come."""

    def failed(self, exchange: ListExchange, failure: Failure, why: str) -> None:
        """It has ended without one."""

    def lost(self, connection: Connection) -> None:
        """Its connection has ended."""


class ListExchange:
    """One call to discovery on its connection, from the dial to the whole answer."""

    def __init__(self, owner: ExchangeOwner, call: ListCall, address: Address) -> None:
        self._owner, self.call, self._address = owner, call, address
        self._connection: Connection | None = None
        self._dial: asyncio.Task[None] | None = None
        self.unwritten_at = -inf  # the newest look that found nothing to read, on the loop's clock, in s

    def begin(self, kept: Connection | None) -> None:
        """Ask on the kept connection, or dial."""
        if kept is not None:
            self._ask_if_needed(kept)
        else:
            self._dial = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        connection = Connection(self._owner.lost, MOST_LIST_BYTES, MOST_REST_S)
        try:
            await connect(lambda: connection, self._address.host, self._address.port, limit=None)
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            failure = Failure.REFUSED if refused else Failure.UNREACHED
            self._owner.failed(self, failure, f"{type(error).__name__}: {error}")
            return
        except asyncio.CancelledError:
            connection.close()
            raise
        self._dial = None
        if connection.state is not State.IDLE:
            self._owner.failed(self, Failure.REFUSED, "the connection broke at once")
            return
        self._ask_if_needed(connection)

    def _ask_if_needed(self, connection: Connection) -> None:
        if self._owner.connected(self):
            self._ask(connection)
        else:
            connection.close()

    def _ask(self, connection: Connection) -> None:
        self._connection = connection
        path = "/registry/instances"
        if self.call.index is not None:
            path += f"?index={self.call.index}&wait={max(1, int(self.call.wait_s * 1000))}"
        host = f"{self._address.host}:{self._address.port}"
        connection.begin(request("GET", path, host, {}), self._finished)
        if self.lies_unsent:
            self._owner.unsent(self)
            self._look_whether_sent()

    def _look_whether_sent(self) -> None:
        if self.lies_unsent:
            asyncio.get_running_loop().call_later(LOOK_S, self._look_whether_sent)
        elif self._connection is not None:
            self._owner.sent(self)

    def _finished(self, message: Message, flushed: bool) -> None:
        connection, self._connection = self._connection, None
        assert connection is not None
        if message.whole:
            self._owner.answered(self, message, connection)
        elif connection.answer_arrived:
            why = "stopped" if connection.overdue else "broke off"
            self._owner.failed(self, Failure.SPOILT, f"the answer {why} half-way")
        elif not flushed:
            self._owner.failed(self, Failure.UNREACHED, "the connection ended before the call had left")
        else:
            self._owner.failed(self, Failure.BROKEN, "the connection ended without an answer")

    @property
    def lies_unsent(self) -> bool:
        """Whether the call has not left in full: discovery does not know that anybody watches."""
        return self._connection is not None and not self._connection.flushed

    @property
    def is_coming(self) -> bool:
        """Whether something that discovery has written waits to be read, or a part of it has been."""
        if self._connection is None:
            return False
        looked_at = asyncio.get_running_loop().time()
        coming = self._connection.answer_begun or not self._connection.silent
        if not coming:
            self.unwritten_at = looked_at
        return coming

    @property
    def answer_arrived(self) -> bool:
        """Whether bytes of the answer have arrived."""
        return self._connection is not None and self._connection.answer_arrived

    def close(self) -> None:
        """Nobody listens to the answer any more."""
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.close()
