"""The I/O of one call to discovery (`ListCall`), from the dial to the complete answer."""

from __future__ import annotations

import asyncio
from math import inf
from typing import Protocol

from mountgauge.connecting import connect
from mountgauge.core.config import Address
from mountgauge.http1 import Connection, Message, State, request
from mountgauge.platform.list_call import Failure, ListCall

MOST_LIST_BYTES = 8 << 20  # of one answer
# An answer that has begun to arrive must be complete within this time, as its remainder counts as notified
# although it has not been received.
MAX_ANSWER_BODY_S = 2.0
SENT_CHECK_INTERVAL_S = 0.02  # at which a request that the socket did not accept is checked


class ExchangeOwner(Protocol):
    """Receives the events of an exchange."""

    def connected(self, exchange: ListExchange) -> bool:
        """Its connection is established; return whether the request is to be sent."""

    def request_blocked(self, exchange: ListExchange) -> None:
        """Its request is buffered in this process, as the socket does not accept it."""

    def request_flushed(self, exchange: ListExchange) -> None:
        """A request that was buffered has been sent in full."""

    def answered(self, exchange: ListExchange, message: Message, connection: Connection) -> None:
        """A complete answer was received."""

    def failed(self, exchange: ListExchange, failure: Failure, detail: str) -> None:
        """It ended without a complete answer; `detail` is a text for the log."""

    def lost(self, connection: Connection) -> None:
        """A connection ended."""


class ListExchange:
    """One call to discovery on its connection."""

    def __init__(self, owner: ExchangeOwner, call: ListCall, address: Address) -> None:
        self._owner, self.call, self._address = owner, call, address
        self._connection: Connection | None = None
        self._dial: asyncio.Task[None] | None = None
        self.socket_empty_at = -inf  # the last check that found nothing to read, on the loop's clock, in s

    def begin(self, kept: Connection | None) -> None:
        """Send the request on the kept connection, or dial a new one."""
        if kept is not None:
            self._send_if_needed(kept)
        else:
            self._dial = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        connection = Connection(self._owner.lost, MOST_LIST_BYTES, MAX_ANSWER_BODY_S)
        try:
            await connect(lambda: connection, self._address.host, self._address.port, limit=None)
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            failure = Failure.REFUSED if refused else Failure.NOT_SENT
            self._owner.failed(self, failure, f"{type(error).__name__}: {error}")
            return
        except asyncio.CancelledError:
            connection.close()
            raise
        self._dial = None
        if connection.state is not State.IDLE:
            self._owner.failed(self, Failure.REFUSED, "the connection ended as soon as it was established")
            return
        self._send_if_needed(connection)

    def _send_if_needed(self, connection: Connection) -> None:
        if self._owner.connected(self):
            self._send(connection)
        else:
            connection.close()

    def _send(self, connection: Connection) -> None:
        self._connection = connection
        path = "/registry/instances"
        if self.call.index is not None:
            path += f"?index={self.call.index}&wait={max(1, int(self.call.wait_s * 1000))}"
        host = f"{self._address.host}:{self._address.port}"
        connection.begin(request("GET", path, host, {}), self._finished)
        if self.request_unsent:
            self._owner.request_blocked(self)
            self._check_sent()

    def _check_sent(self) -> None:
        if self.request_unsent:
            asyncio.get_running_loop().call_later(SENT_CHECK_INTERVAL_S, self._check_sent)
        elif self._connection is not None:
            self._owner.request_flushed(self)

    def _finished(self, message: Message, flushed: bool) -> None:
        connection, self._connection = self._connection, None
        assert connection is not None
        if message.complete:
            self._owner.answered(self, message, connection)
        elif connection.answer_arrived:
            fault = "stalled" if connection.overdue else "ended"
            self._owner.failed(self, Failure.CORRUPT, f"the answer {fault} before it was complete")
        elif not flushed:
            self._owner.failed(self, Failure.NOT_SENT, "the connection ended before the request was sent")
        else:
            self._owner.failed(self, Failure.BROKEN, "the connection ended without an answer")

    @property
    def request_unsent(self) -> bool:
        """Whether the request has not been sent in full, so that discovery does not know of the call."""
        return self._connection is not None and not self._connection.flushed

    @property
    def answer_pending(self) -> bool:
        """Whether an answer waits to be read, or a part of it has been read."""
        if self._connection is None:
            return False
        checked_at = asyncio.get_running_loop().time()
        pending = self._connection.answer_begun or not self._connection.has_no_unread_data
        if not pending:
            self.socket_empty_at = checked_at
        return pending

    @property
    def answer_arrived(self) -> bool:
        """Whether a part of the answer has arrived."""
        return self._connection is not None and self._connection.answer_arrived

    def close(self) -> None:
        """Cancel the call; its answer is no longer wanted."""
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.close()
