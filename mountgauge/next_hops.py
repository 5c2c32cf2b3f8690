"""Next hops over HTTP: one call at a time per connection, connections reused, outcomes by the protocol."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import orjson

from mountgauge.connecting import connect
from mountgauge.connection_pool import ConnectionPool, pool_key
from mountgauge.core.ports import AttemptResult, Call, CallItem, CallOwner
from mountgauge.http1 import Connection, Message, State, request, retry_after_s
from mountgauge.log import kv
from rillspindle.interface import Outcome

log = logging.getLogger("mountgauge.next_hops")

_MAX_BODY_BYTES = 64 * 1024
_ANSWER_COMPLETION_TIMEOUT_S = 0.5  # counted from the first data of an answer
_MAX_ANSWER_BODY_BYTES = 128 * 1024  # more than any meaningful answer needs
_RESULTS_BY_STATE = {
    "ok": AttemptResult(Outcome.OK),
    "error": AttemptResult(Outcome.ERROR),
    "later": AttemptResult(Outcome.FULL),
    "gone": AttemptResult(Outcome.MOOT, finished=True),
    "exhausted": AttemptResult(Outcome.MOOT),
}


@dataclass(slots=True, eq=False)
class _OpenCall:
    """A call that has not finished: in flight on a connection, or waiting for one."""

    call: Call
    timer: asyncio.TimerHandle
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None  # while it waits for a new connection
    admitted: list[CallItem] = field(default_factory=list)
    stopped: Outcome | None = None  # set if the sender itself ended the call
    idle_s: float | None = None  # how long its reused connection had been idle; None for a new one
    close_after: bool = False  # close its connection after the call, as the endpoint was removed
    waits_locally: bool = False  # for a reason that says nothing about its endpoint


class HttpNextHops:
    """Sends calls over HTTP, on connections that are kept for reuse."""

    def __init__(
        self, owner: CallOwner, connect_timeout: float, conn_idle: float, max_connections: int
    ) -> None:
        self._owner = owner
        self._connect_timeout = connect_timeout
        self._pool = ConnectionPool(conn_idle, max_connections)
        self._open_calls: dict[Call, _OpenCall] = {}
        self.opened = 0

    def _release(self, open_call: _OpenCall, connection: Connection) -> None:
        """Keep the connection of a finished call for reuse, unless it broke or its endpoint was removed."""
        if connection.state is not State.IDLE:
            return
        if open_call.close_after:
            connection.close()
            return
        self._pool.release(pool_key(open_call.call.hop), connection)

    def close_idle(self, hop_id: str) -> None:
        """Close the idle connections to this next hop, and each that carries a call after its answer."""
        for open_call in self._open_calls.values():
            open_call.close_after = open_call.close_after or open_call.call.hop.id == hop_id
        self._pool.close_hop(hop_id)

    # Calls

    def start(self, call: Call) -> None:
        """Send a call on an idle connection, or on a new one if there is none."""
        loop = asyncio.get_running_loop()
        open_call = _OpenCall(call, loop.call_at(call.times_out_at, self._stop_call, call))
        self._open_calls[call] = open_call
        if (connection := self._pool.take(pool_key(call.hop))) is not None:
            self._reuse_connection(open_call, connection)
        elif (connection := self._pool.take_soon_quiet(pool_key(call.hop))) is not None:
            open_call.waits_locally = True
            open_call.task = loop.create_task(self._send_once_quiet(open_call, connection))
            open_call.task.add_done_callback(_close_if_cancelled(connection))
        else:
            self._send_on_new(open_call)

    def _reuse_connection(self, open_call: _OpenCall, connection: Connection) -> None:
        open_call.connection = connection
        open_call.idle_s = asyncio.get_running_loop().time() - connection.idle_since
        self._send(open_call)

    async def _send_once_quiet(self, open_call: _OpenCall, connection: Connection) -> None:
        """Send a call on a connection that has not been quiet for long enough, or on a new one if data or
        the end of the connection comes meanwhile.
        """
        await asyncio.sleep(self._pool.quiet_in_s(connection))
        open_call.task, open_call.waits_locally = None, False
        if self._pool.usable(connection):
            self._reuse_connection(open_call, connection)
        else:
            connection.close()
            self._send_on_new(open_call)

    def _send_on_new(self, open_call: _OpenCall) -> None:
        """Send a call on a new connection."""
        loop, call = asyncio.get_running_loop(), open_call.call
        if self._pool.has_capacity():
            self._pool.open += 1
            self.opened += 1
            connection = Connection(
                self._pool.on_lost(pool_key(call.hop)), _MAX_ANSWER_BODY_BYTES, _ANSWER_COMPLETION_TIMEOUT_S
            )
            open_call.task = loop.create_task(self._connect(open_call, connection))
            open_call.task.add_done_callback(lambda task: self._connect_ended(connection))
        else:
            loop.call_soon(self._finish, open_call, {})  # not sent

    def _connect_ended(self, connection: Connection) -> None:
        """Release the slot of a connection that was not established, also if connecting never began. The slot
        of an established one is released by the pool.
        """
        if connection.state is State.CONNECTING:
            self._pool.open -= 1

    async def _connect(self, open_call: _OpenCall, connection: Connection) -> None:
        hop = open_call.call.hop

        def on_shortage() -> bool:
            open_call.waits_locally = True
            self._pool.close_oldest()
            return True  # try again until the call times out

        try:
            await connect(
                lambda: connection, hop.host, hop.port, self._connect_timeout, on_shortage, connection.slot
            )
        except OSError:
            self._finish(
                open_call,
                {item.number: AttemptResult(Outcome.CONNECT_FAILED) for item in open_call.call.items},
            )
            return
        except asyncio.CancelledError:  # timed out or cancelled, before a byte was written
            if connection.state is not State.CONNECTING:
                connection.close()
            raise
        open_call.task = None
        open_call.connection = connection
        self._send(open_call)

    def _send(self, open_call: _OpenCall) -> None:
        call, connection = open_call.call, open_call.connection
        assert connection is not None
        if connection.state is not State.IDLE:  # broke before the first byte
            self._finish(
                open_call, {item.number: AttemptResult(Outcome.CONNECT_FAILED) for item in call.items}
            )
            return
        admitted = self._owner.admit(call, _fitting(call.items))
        if not admitted:
            self._release(open_call, connection)
            self._finish(open_call, {})
            return
        open_call.admitted = admitted
        # One answer ends the call for all its messages, so it times out when the first of them expires.
        loop = asyncio.get_running_loop()
        first_expiry = min(item.expires for item in admitted)
        if first_expiry < call.times_out_at:
            call.times_out_at = first_expiry
            open_call.timer.cancel()
            open_call.timer = loop.call_at(first_expiry, self._stop_call, call)
        remaining_ms = max(1, math.floor((call.times_out_at - loop.time()) * 1000))
        host = f"{call.hop.host}:{call.hop.port}"
        headers = {"X-Expires-In-Ms": str(remaining_ms)}
        if len(admitted) == 1:
            item = admitted[0]
            headers["X-Trace-Id"] = item.id
            if item.key:
                headers["Idempotency-Key"] = item.key
            headers["Content-Type"] = "application/octet-stream"
            data = request("POST", "/hook", host, headers, item.body)
        else:
            headers["Content-Type"] = "application/json"
            data = request("POST", "/hook/batch", host, headers, _batch(admitted))
        connection.begin(
            data, lambda message, flushed: self._answered(open_call, message, flushed), call.lease
        )
        if not connection.flushed and call.lease is not None:
            loop.call_at(call.lease.permit.until, self._end_lease, open_call)

    def _end_lease(self, open_call: _OpenCall) -> None:
        """Close the connection of a call that was not sent in full by the end of its lease, so that the next
        hop never begins it.
        """
        if (
            open_call.call in self._open_calls
            and open_call.connection is not None
            and not open_call.connection.flushed
        ):
            open_call.connection.close()

    def _answered(self, open_call: _OpenCall, message: Message, flushed: bool) -> None:
        results: dict[int, AttemptResult] = {}
        lost = message.start is None and open_call.stopped is None and not message.unreadable
        if open_call.idle_s is not None:
            self._pool.reuse.record(open_call.idle_s, lost)
        cut_off = not message.head_done and not message.unreadable and message.status != 200
        if cut_off or (message.status == 0 and not (message.unreadable and flushed)):
            # If its last byte was not written, the next hop has not begun the call.
            result = AttemptResult(
                (open_call.stopped or Outcome.RESET) if flushed else self._unsent(open_call)
            )
            result = result._replace(stale=lost and open_call.idle_s is not None)
            results = {item.number: result for item in open_call.admitted}
        elif message.unreadable and (len(open_call.admitted) > 1 or message.status != 200):
            # The next hop is up and has read the call: an error, not an outage. The headers may hold a wait.
            result = AttemptResult(Outcome.ERROR, required_wait_s=retry_after_s(message))
            results = {item.number: result for item in open_call.admitted}
        elif len(open_call.admitted) > 1 and message.status == 200:
            states = _batch_states(message)
            if message.complete and set(states) != {item.id for item in open_call.admitted}:
                # Perhaps another call's answer: then this call's is still to come, on this connection.
                log.warning("bad-batch-answer", extra=kv(hop=open_call.call.hop.id, named=len(states)))
                open_call.close_after = True
            results = _batch_results(open_call, message, states)
        else:
            result = _result(message)
            results = {item.number: result for item in open_call.admitted}
        if open_call.connection is not None:
            self._release(open_call, open_call.connection)
        self._finish(open_call, results)

    @staticmethod
    def _unsent(open_call: _OpenCall) -> Outcome:
        """Return the outcome of a call that was not sent in full. An ended lease is no fault of its hop."""
        lease = open_call.call.lease
        return Outcome.MOOT if lease is not None and lease.refusal is not None else Outcome.CONNECT_FAILED

    def _stop_call(self, call: Call, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """Time out or cancel a call. Its connection is closed too, because a late answer would be taken for
        the answer to the next call.
        """
        open_call = self._open_calls.get(call)
        if open_call is None:
            return
        if open_call.task is not None:
            open_call.task.cancel()
            moot = open_call.waits_locally or outcome == Outcome.CANCELLED
            not_sent = Outcome.MOOT if moot else Outcome.CONNECT_FAILED
            self._finish(open_call, {item.number: AttemptResult(not_sent) for item in call.items})
        elif open_call.connection is not None:
            open_call.stopped = outcome
            open_call.connection.close()

    def cancel(self, call: Call) -> None:
        """Cancel a call, if it has not finished."""
        self._stop_call(call, Outcome.CANCELLED)

    def _finish(self, open_call: _OpenCall, results: dict[int, AttemptResult]) -> None:
        if self._open_calls.pop(open_call.call, None) is not None:
            open_call.timer.cancel()
            self._owner.finished(open_call.call, results)

    @property
    def in_flight(self) -> int:
        """The number of calls that have not finished."""
        return len(self._open_calls)

    def close(self) -> None:
        """End all calls as reset, and close the idle connections."""
        for open_call in list(self._open_calls.values()):
            self._stop_call(open_call.call, Outcome.RESET)
        self._pool.close()


def _close_if_cancelled(connection: Connection) -> Callable[[asyncio.Task[None]], None]:
    """Closes the connection that a call waited for, if the call ended meanwhile, or before it waited."""

    def ended(task: asyncio.Task[None]) -> None:
        if task.cancelled():
            connection.close()

    return ended


def _fitting(items: list[CallItem]) -> list[CallItem]:
    """Return the first items that fit into the body of one call; a later call sends the others."""
    size, count = 2, 0
    for item in items:
        size += 4 * -(-len(item.body) // 3) + len(item.id) + len(item.key) + 40
        if count and size > _MAX_BODY_BYTES:
            break
        count += 1
    return items[:count]


def _batch(items: list[CallItem]) -> bytes:
    lines = []
    for item in items:
        line = {"id": item.id, "body": base64.b64encode(item.body).decode()}
        if item.key:
            line["key"] = item.key
        lines.append(line)
    return orjson.dumps(lines)


def _result(message: Message) -> AttemptResult:
    """Return the result by the protocol's table. The status line is enough: headers may be missing."""
    match message.status:
        case 200:
            return AttemptResult(Outcome.OK, required_wait_s=retry_after_s(message))
        case 429:
            return AttemptResult(Outcome.FULL, required_wait_s=retry_after_s(message))
        case 503:
            if message.headers.get("x-over-slots") == "1":
                return AttemptResult(Outcome.MOOT, note=1)
            return AttemptResult(Outcome.FULL, required_wait_s=retry_after_s(message))
        case 410:
            return AttemptResult(Outcome.MOOT, finished=True)
        case 504 | 400 | 413:
            return AttemptResult(Outcome.MOOT)
        case _:
            return AttemptResult(Outcome.ERROR, required_wait_s=retry_after_s(message))


def _batch_states(message: Message) -> dict[str, str]:
    """Return the states in the answer to a batch, by message id; those before the first unreadable one."""
    states: dict[str, str] = {}
    if message.complete:
        with contextlib.suppress(ValueError, TypeError, KeyError):
            for line in orjson.loads(message.body):
                msg_id, state = str(line["id"]), str(line["state"])
                # An item with two different states proves neither: it may have been carried out.
                states[msg_id] = state if states.get(msg_id, state) == state else ""
    return states


def _batch_results(
    open_call: _OpenCall, message: Message, states: Mapping[str, str]
) -> dict[int, AttemptResult]:
    """Return a result for each item. An item that the answer omits, or whose answer was cut off, may have
    been carried out.
    """
    missing = (
        AttemptResult(Outcome.ERROR)
        if message.complete
        else AttemptResult(open_call.stopped or Outcome.RESET)
    )
    wait = retry_after_s(message)
    return {
        item.number: _RESULTS_BY_STATE.get(states.get(item.id, ""), missing)._replace(required_wait_s=wait)
        for item in open_call.admitted
    }
