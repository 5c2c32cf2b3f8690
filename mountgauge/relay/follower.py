"""Makes the calls that a state machine of `mountgauge.sharding` asks for, and hands in what became of them.

It drives a relay's or a sender's following as `mountgauge.sharding.upstream` says: asks are posted to relays,
list calls go to discovery. One connection is kept for each lane; another relay gets a new one. One timer
stands for the next thing that is due.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import orjson

from mountgauge.core.config import Address
from mountgauge.http1 import Client, request
from mountgauge.log import kv
from mountgauge.relay import wire
from mountgauge.sharding.evidence import RelayFailure
from mountgauge.sharding.messages import Refusal, Reply
from mountgauge.sharding.upstream import Call, RelayCall, Update

log = logging.getLogger("mountgauge.relay")

MAX_LIST_BYTES = 512 << 20  # of discovery's whole list
_CONNECT_LIMIT_S = 1.0
_LEAST_TURN_S = 0.001  # between two turns of a timer
_LOG_EVERY_S = 5.0  # of failures in a row of one place
_LISTS = "lists"  # the lane of discovery's own list


class Followed(Protocol):
    """What is driven: see `mountgauge.sharding.upstream`."""

    def poll(self, now: float) -> Sequence[Call]:
        """The calls to be made now."""

    def answered(self, call: Any, reply: Any, now: float) -> Update:
        """A call has been answered."""

    def failed(self, call: Any, now: float, silent: bool = False) -> None:
        """A call got no answer; `silent`: it was given up after its limit."""

    def wakes_at(self, now: float) -> float:
        """When to poll next, if nothing comes in before."""


class Follower:
    """Drives one state machine in the running loop."""

    def __init__(
        self,
        followed: Followed,
        relays: Mapping[str, Address],
        discovery: Address | None,
        shard_count: int,
        on_answer: Callable[[Call, Update], None],
        on_turn: Callable[[float], None] = lambda now: None,
        on_failure: Callable[[Call, RelayFailure], None] = lambda call, failure: None,
    ) -> None:
        """`on_answer` hears of each answer that came, refusals aside, and `on_failure` of each call that has
        ended without one; `on_turn` runs in each turn, after the calls.
        """
        self.counts: Counter[str] = Counter()  # calls, failures, received_bytes, sent_bytes
        self._followed, self._relays, self._discovery = followed, relays, discovery
        self._shard_count = shard_count
        self._on_answer, self._on_turn, self._on_failure = on_answer, on_turn, on_failure
        self._loop = asyncio.get_running_loop()
        self._clients: dict[str, tuple[Address, Client]] = {}  # by lane
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._logged: dict[str, float] = {}

    # Turns

    def start(self) -> None:
        """Begin to follow."""
        self.wake_by(self._loop.time())

    def wake_by(self, when: float) -> None:
        """There is something to do at this time of the loop's clock, or before."""
        if self._closed or (self._timer is not None and self._timer.when() <= when):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(when, self._due)

    def _due(self) -> None:
        self._timer = None
        self.turn()

    def turn(self) -> None:
        """Make the calls that are due, and look when the next thing is."""
        if self._closed:
            return
        now = self._loop.time()
        for call in self._followed.poll(now):
            task = self._loop.create_task(self._make(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._on_turn(now)
        when = self._followed.wakes_at(now)
        if when < float("inf"):
            self.wake_by(max(when, now + _LEAST_TURN_S))

    def close(self) -> None:
        """End all calls and connections."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        for _, client in self._clients.values():
            client.close()

    # Calls

    async def _make(self, call: Call) -> None:
        self.counts["calls"] += 1
        place = call.relay if isinstance(call, RelayCall) else "discovery"
        try:
            reply = await self._exchange(call)
        except (
            OSError,
            ValueError,
        ) as error:  # TimeoutError is an OSError, UnreadableMessageError a ValueError
            self._failure(place, error)
            self._on_failure(call, _failure_of(error))
            self._followed.failed(call, self._loop.time(), isinstance(error, TimeoutError))
        else:
            self._logged.pop(place, None)
            self._hand_in(call, reply)
        self.turn()

    def _hand_in(self, call: Call, reply: Reply | object) -> None:
        try:
            update = self._followed.answered(call, reply, self._loop.time())
        except Exception:  # a fault costs this answer: the lane must not stand still for it
            log.exception("answer-failed", extra=kv(call=call))
            self._on_failure(call, RelayFailure.UNREADABLE)
            self._followed.failed(call, self._loop.time())
            return
        for one in update.rejections:
            log.warning("rejected", extra=kv(source=one.source, reason=one.reason))
        if isinstance(reply, Refusal):
            self._on_failure(call, RelayFailure.REFUSED)
        else:
            self._on_answer(call, update)

    async def _exchange(self, call: Call) -> Reply | object:
        if isinstance(call, RelayCall):
            client = self._client(call.lane.value, self._relays[call.relay], wire.MAX_ANSWER_BYTES)
            data = request("POST", wire.PATH, _host(client), {}, wire.encode_ask(call.ask, self._shard_count))
        else:
            assert self._discovery is not None
            client = self._client(_LISTS, self._discovery, MAX_LIST_BYTES)
            query = "" if call.index is None else f"?index={call.index}&wait={int(call.wait_s * 1000)}"
            data = request("GET", f"/registry/instances{query}", _host(client), {})
        self.counts["sent_bytes"] += len(data)
        answer = await client.exchange(data, call.limit_s, min(call.limit_s, _CONNECT_LIMIT_S))
        self.counts["received_bytes"] += len(answer.body)
        if isinstance(call, RelayCall):
            return wire.decode_reply(answer.status, answer.body, self._shard_count)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        found: object = orjson.loads(answer.body)
        return found

    def _client(self, lane: str, address: Address, most_body: int) -> Client:
        known = self._clients.get(lane)
        if known is not None and known[0] == address:
            return known[1]
        if known is not None:
            known[1].close()
        client = Client(address.host, address.port, most_body)
        self._clients[lane] = address, client
        return client

    def _failure(self, place: str, error: Exception) -> None:
        """Count it; a lasting outage must not fill the log."""
        self.counts["failures"] += 1
        now = self._loop.time()
        if now - self._logged.get(place, -_LOG_EVERY_S) >= _LOG_EVERY_S:
            self._logged[place] = now
            text = " ".join(str(error).split())
            log.warning("call-failed", extra=kv(place=place, error=f"{type(error).__name__}: {text}"))


def _failure_of(error: Exception) -> RelayFailure:
    if isinstance(error, TimeoutError):
        return RelayFailure.SILENT
    if isinstance(error, ConnectionRefusedError):
        return RelayFailure.REFUSED
    return RelayFailure.BROKEN if isinstance(error, OSError) else RelayFailure.UNREADABLE


def _host(client: Client) -> str:
    return f"{client.host}:{client.port}"
