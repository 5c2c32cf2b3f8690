"""Next hops over HTTP: one call a connection, connections reused, every outcome as the protocol has it."""

from __future__ import annotations

import asyncio
import base64
import logging
import math
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson

from mountgauge.connecting import connect
from mountgauge.core.ports import AttemptResult, Call, CallItem, CallOwner, NextHop
from mountgauge.http1 import Connection, Message, State, request, retry_after_s
from rillspindle.interface import Outcome

log = logging.getLogger("mountgauge.next_hops")

_IDLE_MARGIN_S = 0.25  # s before connIdle at which an idle connection is dropped: past it a call is a reset
_MOST_BODY_BYTES = 64 * 1024
_ANSWER_REST_S = 0.5  # s in which an answer that has begun must be whole
_MOST_ANSWER_BYTES = 128 * 1024  # bytes of body: past it nothing can be meant that is to be read
_STATES = {
    "ok": AttemptResult(Outcome.OK),
    "error": AttemptResult(Outcome.ERROR),
    "later": AttemptResult(Outcome.FULL),
    "gone": AttemptResult(Outcome.MOOT, finished=True),
    "exhausted": AttemptResult(Outcome.MOOT),
}


_IDLE_STEPS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)  # s: bounds of the ranges that are told apart
_REUSE_GAIN = 1 / 16  # weight of the newest use in a range's share of stale ones
_MOST_STALE = 0.15  # share past which a new connection costs less than what a reset does
_RETRIED_EVERY = 16  # of so many kept ones in a range that is left alone, one is used all the same


class ReuseStatistics:
    """How kept connections fared, by how long they had been idle: partners drop them sooner than they say."""

    def __init__(self) -> None:
        self._stale = [0.0] * (len(_IDLE_STEPS_S) + 1)
        self._skipped = [0] * len(self._stale)

    def usable(self, idle: float) -> bool:
        place = bisect(_IDLE_STEPS_S, idle)
        if self._stale[place] <= _MOST_STALE:
            return True
        self._skipped[place] = (self._skipped[place] + 1) % _RETRIED_EVERY
        return not self._skipped[place]

    def fared(self, idle: float, stale: bool) -> None:
        place = bisect(_IDLE_STEPS_S, idle)
        self._stale[place] += _REUSE_GAIN * (stale - self._stale[place])


Place = tuple[str, str, int]  # a next hop at an address: it may move


def _place(hop: NextHop) -> Place:
    return hop.id, hop.host, hop.port


@dataclass(slots=True, eq=False)
class _OpenCall:
    """A call that is out: on a connection, or waiting for one."""

    call: Call
    timer: asyncio.TimerHandle
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None
    going: list[CallItem] = field(default_factory=list)
    stopped: Outcome | None = None
    idle: float | None = None  # s that its connection had been kept, None for a new one
    last: bool = False  # its endpoint has left meanwhile: the connection goes with the call
    short: bool = False  # this machine had no descriptor or port for it, which says nothing of its endpoint


class HttpNextHops:
    """Delivers calls over HTTP, on connections that are kept for the next ones."""

    def __init__(self, owner: CallOwner, connect_timeout: float, conn_idle: float, most: int) -> None:
        self._owner = owner
        self._connect_timeout = connect_timeout
        self._idle = max(0.1, conn_idle - _IDLE_MARGIN_S)
        self._most = most  # connections at once
        self._pools: dict[Place, list[Connection]] = {}  # idle ones, the freshest last
        self._places: dict[str, list[Place]] = {}  # of the pools, by next hop
        self._open = 0
        self._out: dict[Call, _OpenCall] = {}
        self._reuse = ReuseStatistics()
        self.opened = 0

    # The pool

    def _pick(self, place: Place) -> Connection | None:
        pool = self._pools.get(place, [])
        now = asyncio.get_running_loop().time()
        while pool:
            connection = pool.pop()
            fresh = connection.state is State.IDLE and now - connection.idle_since < self._idle
            if fresh and connection.has_no_unread_data and self._reuse.usable(now - connection.idle_since):
                return connection
            connection.close()
        return None

    def _lost(self, place: Place) -> Callable[[Connection], None]:
        def lost(connection: Connection) -> None:
            self._open -= 1
            pool = self._pools.get(place, [])
            if connection in pool:
                pool.remove(connection)
            if not pool and self._pools.pop(place, None) is not None:
                self._forget(place)

        return lost

    def _forget(self, place: Place) -> None:
        places = self._places[place[0]]
        places.remove(place)
        if not places:
            del self._places[place[0]]

    def _rest(self, out: _OpenCall, connection: Connection) -> None:
        """Its call is over: it is kept for the next one, unless it broke or its endpoint has left."""
        if connection.state is not State.IDLE:
            return
        if out.last:
            connection.close()
            return
        place = _place(out.call.hop)
        if (pool := self._pools.get(place)) is None:
            pool = self._pools[place] = []
            self._places.setdefault(place[0], []).append(place)
        pool.append(connection)
        asyncio.get_running_loop().call_later(self._idle, self._expire, place, connection)

    def _expire(self, place: Place, connection: Connection) -> None:
        pool = self._pools.get(place, [])
        now = asyncio.get_running_loop().time()
        if connection in pool and now - connection.idle_since >= self._idle - 0.001:
            connection.close()

    def _make_room(self) -> bool:
        """Idle connections must not keep a call from going out when descriptors run short."""
        if self._open >= self._most:
            self._close_oldest_idle()
        return self._open < self._most

    def _close_oldest_idle(self) -> None:
        idle = [c for pool in self._pools.values() for c in pool]
        if idle:
            min(idle, key=lambda c: c.idle_since).close()

    def close_idle(self, hop_id: str) -> None:
        """Those at rest now; one with a call out goes once that is answered."""
        for out in self._out.values():
            out.last = out.last or out.call.hop.id == hop_id
        for place in list(self._places.get(hop_id, ())):
            for connection in list(self._pools.get(place, [])):
                connection.close()

    # Calls

    def start(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        out = _OpenCall(call, loop.call_at(call.times_out_at, self._give_up, call))
        self._out[call] = out
        if (connection := self._pick(_place(call.hop))) is not None:
            out.connection = connection
            out.idle = loop.time() - connection.idle_since
            self._send(out)
        elif self._make_room():
            self._open += 1
            self.opened += 1
            connection = Connection(self._lost(_place(call.hop)), _MOST_ANSWER_BYTES, _ANSWER_REST_S)
            out.task = loop.create_task(self._connect(out, connection))
            out.task.add_done_callback(lambda task: self._tried(connection))
        else:
            loop.call_soon(self._finish, out, {})  # not sent

    def _tried(self, connection: Connection) -> None:
        """One counter for each descriptor: where a connection has come up, `_lost` counts it out; where the
        attempt has ended without one, also before its first step, none will, and it is counted out here.
        """
        if connection.state is State.CONNECTING:
            self._open -= 1

    async def _connect(self, out: _OpenCall, connection: Connection) -> None:
        hop = out.call.hop

        def on_shortage() -> bool:
            out.short = True
            self._close_oldest_idle()
            return True  # until the call is given up

        try:
            await connect(
                lambda: connection, hop.host, hop.port, self._connect_timeout, on_shortage, connection.slot
            )
        except OSError:
            self._finish(out, {item.number: AttemptResult(Outcome.CONNECT_FAILED) for item in out.call.items})
            return
        except asyncio.CancelledError:  # given up, before a byte was written
            if connection.state is not State.CONNECTING:
                connection.close()
            raise
        out.task = None
        out.connection = connection
        self._send(out)

    def _send(self, out: _OpenCall) -> None:
        call, connection = out.call, out.connection
        assert connection is not None
        if connection.state is not State.IDLE:  # broke before the first byte
            self._finish(out, {item.number: AttemptResult(Outcome.CONNECT_FAILED) for item in call.items})
            return
        going = self._owner.admit(call, _fitting(call.items))
        if not going:
            self._rest(out, connection)
            self._finish(out, {})
            return
        out.going = going
        # One answer ends them all, so none is waited for past the time of another.
        loop = asyncio.get_running_loop()
        first = min(item.expires for item in going)
        if first < call.times_out_at:
            call.times_out_at = first
            out.timer.cancel()
            out.timer = loop.call_at(first, self._give_up, call)
        left = max(1, math.floor((call.times_out_at - loop.time()) * 1000))
        host = f"{call.hop.host}:{call.hop.port}"
        headers = {"X-Expires-In-Ms": str(left)}
        if len(going) == 1:
            item = going[0]
            headers["X-Trace-Id"] = item.id
            if item.key:
                headers["Idempotency-Key"] = item.key
            headers["Content-Type"] = "application/octet-stream"
            data = request("POST", "/hook", host, headers, item.body)
        else:
            headers["Content-Type"] = "application/json"
            data = request("POST", "/hook/batch", host, headers, _batch(going))
        connection.begin(data, lambda message, flushed: self._answered(out, message, flushed), call.lease)
        if not connection.flushed and call.lease is not None:
            loop.call_at(call.lease.permit.until, self._end_lease, out)

    def _end_lease(self, out: _OpenCall) -> None:
        """What has not left in full by the end of its lease never begins at the next hop."""
        if out.call in self._out and out.connection is not None and not out.connection.flushed:
            out.connection.close()

    def _answered(self, out: _OpenCall, message: Message, flushed: bool) -> None:
        results: dict[int, AttemptResult] = {}
        lost = message.start is None and out.stopped is None and not message.unreadable
        if out.idle is not None:
            self._reuse.fared(out.idle, lost)
        cut = not message.head_done and not message.unreadable and message.status != 200
        if cut or (message.status == 0 and not (message.unreadable and flushed)):
            # With its last byte not written, the call has not begun at the next hop.
            result = AttemptResult((out.stopped or Outcome.RESET) if flushed else self._unsent(out))
            result = result._replace(stale=lost and out.idle is not None)
            results = {item.number: result for item in out.going}
        elif message.unreadable and (len(out.going) > 1 or message.status != 200):
            # The next hop is there and has read the call: an error, not an outage. A wait came with the head.
            result = AttemptResult(Outcome.ERROR, required_wait_s=retry_after_s(message))
            results = {item.number: result for item in out.going}
        elif len(out.going) > 1 and message.status == 200:
            results = _batch_results(out, message)
        else:
            result = _result(message)
            results = {item.number: result for item in out.going}
        if out.connection is not None:
            self._rest(out, out.connection)
        self._finish(out, results)

    @staticmethod
    def _unsent(out: _OpenCall) -> Outcome:
        """The outcome of a call that did not leave in full: an ended lease says nothing of its next hop."""
        lease = out.call.lease
        return Outcome.MOOT if lease is not None and lease.refusal is not None else Outcome.CONNECT_FAILED

    def _give_up(self, call: Call, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """Stop waiting. The connection goes too: its late answer would be taken for the next call's."""
        out = self._out.get(call)
        if out is None:
            return
        if out.task is not None:
            out.task.cancel()
            moot = out.short or outcome == Outcome.CANCELLED
            never = Outcome.MOOT if moot else Outcome.CONNECT_FAILED
            self._finish(out, {item.number: AttemptResult(never) for item in call.items})
        elif out.connection is not None:
            out.stopped = outcome
            out.connection.close()

    def cancel(self, call: Call) -> None:
        self._give_up(call, Outcome.CANCELLED)

    def _finish(self, out: _OpenCall, results: dict[int, AttemptResult]) -> None:
        if self._out.pop(out.call, None) is not None:
            out.timer.cancel()
            self._owner.finished(out.call, results)

    @property
    def in_flight(self) -> int:
        return len(self._out)

    def close(self) -> None:
        for out in list(self._out.values()):
            self._give_up(out.call, Outcome.RESET)
        for pool in list(self._pools.values()):
            for connection in list(pool):
                connection.close()


def _fitting(items: list[CallItem]) -> list[CallItem]:
    """A batch of large bodies would pass the bound on a call's body: its tail goes with a later one."""
    size, count = 2, 0
    for item in items:
        size += 4 * -(-len(item.body) // 3) + len(item.id) + len(item.key) + 40
        if count and size > _MOST_BODY_BYTES:
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
    """The protocol's table, from the first line on: headers may still be missing."""
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


def _batch_results(out: _OpenCall, message: Message) -> dict[int, AttemptResult]:
    """Per item; one that the answer does not name, or an answer cut short, may have run."""
    states: dict[str, str] = {}
    if message.complete:
        try:
            for line in orjson.loads(message.body):
                msg_id, state = str(line["id"]), str(line["state"])
                # Named twice with two states, neither proves anything: it may have run.
                states[msg_id] = state if states.get(msg_id, state) == state else ""
        except (ValueError, TypeError, KeyError):
            log.warning("bad-batch-answer")
    missing = (
        AttemptResult(Outcome.ERROR) if message.complete else AttemptResult(out.stopped or Outcome.RESET)
    )
    wait = retry_after_s(message)
    return {
        item.number: _STATES.get(states.get(item.id, ""), missing)._replace(required_wait_s=wait)
        for item in out.going
    }
