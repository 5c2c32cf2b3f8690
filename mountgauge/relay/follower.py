"""Makes the calls that a state machine of `mountgauge.sharding` requests, and passes it their results.

It drives the subscription or list watch of a relay or a sender, by the contract of
`mountgauge.sharding.upstream`: asks are posted to relays, list calls are sent to discovery. Each lane has one
persistent connection, which is replaced when the lane changes to another relay. One timer is set for the next
time at which something is due.
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

MAX_LIST_BYTES = 512 << 20  # of discovery's full list
_CONNECT_TIMEOUT_S = 1.0
_MIN_TURN_INTERVAL_S = 0.001  # between two turns that the timer starts
_LOG_INTERVAL_S = 5.0  # between log lines for consecutive failures of one target
_DISCOVERY_LANE = "lists"  # key of the connection to discovery


class UpstreamMachine(Protocol):
    """The state machine to drive: see `mountgauge.sharding.upstream`."""

    def poll(self, now: float) -> Sequence[Call]:
        """Return the calls to make now."""

    def answered(self, call: Any, reply: Any, now: float) -> Update:
        """Process the answer to a call."""

    def failed(self, call: Any, now: float, silent: bool = False) -> None:
        """Record that a call got no answer; `silent`: it timed out."""

    def wakes_at(self, now: float) -> float:
        """Return when to poll next if no answer arrives before."""


class Follower:
    """Drives one state machine in the running event loop."""

    def __init__(
        self,
        machine: UpstreamMachine,
        relays: Mapping[str, Address],
        discovery: Address | None,
        shard_count: int,
        on_answer: Callable[[Call, Update], None],
        on_turn: Callable[[float], None] = lambda now: None,
        on_failure: Callable[[Call, RelayFailure], None] = lambda call, failure: None,
    ) -> None:
        """`on_answer` is called for each answer that is not a refusal, `on_failure` for each call that was
        refused or failed; `on_turn` is called in each turn, after its calls were started.
        """
        self.counts: Counter[str] = Counter()  # calls, failures, received_bytes, sent_bytes
        self._machine, self._relays, self._discovery = machine, relays, discovery
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
        """Start following the upstream."""
        self.wake_by(self._loop.time())

    def wake_by(self, when: float) -> None:
        """Schedule a turn at this time of the loop's clock, unless one is scheduled earlier."""
        if self._closed or (self._timer is not None and self._timer.when() <= when):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.turn()

    def turn(self) -> None:
        """Start the calls that are due, and schedule the next turn."""
        if self._closed:
            return
        now = self._loop.time()
        for call in self._machine.poll(now):
            task = self._loop.create_task(self._make(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._on_turn(now)
        when = self._machine.wakes_at(now)
        if when < float("inf"):
            self.wake_by(max(when, now + _MIN_TURN_INTERVAL_S))

    def close(self) -> None:
        """Cancel all calls and close all connections."""
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
        target = call.relay if isinstance(call, RelayCall) else "discovery"
        try:
            reply = await self._exchange(call)
        except (
            OSError,
            ValueError,
        ) as error:  # TimeoutError is an OSError, UnreadableMessageError a ValueError
            self._count_failure(target, error)
            self._on_failure(call, _failure_of(error))
            self._machine.failed(call, self._loop.time(), isinstance(error, TimeoutError))
        else:
            self._logged.pop(target, None)
            self._process(call, reply)
        self.turn()

    def _process(self, call: Call, reply: Reply | object) -> None:
        try:
            update = self._machine.answered(call, reply, self._loop.time())
        except Exception:  # a defect loses this answer only: the lane must not stall
            log.exception("answer-failed", extra=kv(call=call))
            self._on_failure(call, RelayFailure.UNREADABLE)
            self._machine.failed(call, self._loop.time())
            return
        for rejection in update.rejections:
            log.warning("rejected", extra=kv(source=rejection.source, reason=rejection.reason))
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
            client = self._client(_DISCOVERY_LANE, self._discovery, MAX_LIST_BYTES)
            query = "" if call.index is None else f"?index={call.index}&wait={int(call.wait_s * 1000)}"
            data = request("GET", f"/registry/instances{query}", _host(client), {})
        self.counts["sent_bytes"] += len(data)
        answer = await client.exchange(data, call.limit_s, min(call.limit_s, _CONNECT_TIMEOUT_S))
        self.counts["received_bytes"] += len(answer.body)
        if isinstance(call, RelayCall):
            return wire.decode_reply(answer.status, answer.body, self._shard_count)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        listed: object = orjson.loads(answer.body)
        return listed

    def _client(self, lane: str, address: Address, max_body_bytes: int) -> Client:
        current = self._clients.get(lane)
        if current is not None and current[0] == address:
            return current[1]
        if current is not None:
            current[1].close()
        client = Client(address.host, address.port, max_body_bytes)
        self._clients[lane] = address, client
        return client

    def _count_failure(self, target: str, error: Exception) -> None:
        """Count a failed call; log at most one per interval, so that an outage doesn't flood the log."""
        self.counts["failures"] += 1
        now = self._loop.time()
        if now - self._logged.get(target, -_LOG_INTERVAL_S) >= _LOG_INTERVAL_S:
            self._logged[target] = now
            text = " ".join(str(error).split())
            log.warning("call-failed", extra=kv(target=target, error=f"{type(error).__name__}: {text}"))


def _failure_of(error: Exception) -> RelayFailure:
    if isinstance(error, TimeoutError):
        return RelayFailure.SILENT
    if isinstance(error, ConnectionRefusedError):
        return RelayFailure.REFUSED
    return RelayFailure.BROKEN if isinstance(error, OSError) else RelayFailure.UNREADABLE


def _host(client: Client) -> str:
    return f"{client.host}:{client.port}"
