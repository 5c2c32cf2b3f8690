"""Simulated senders and relays: the control plane of real ones, without clients, journal, calls or sockets.

Settings, results and pages call them hollow. They run the real state machines (subscription, table of next
hops, decision module, relay) and the real encoding, including the HTTP head; their owner transports the
bytes. Only the processor time of these state machines and their encoding is counted. Times are in seconds of
the owner's clock.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import orjson

from mountgauge.core.config import MapUpdate
from mountgauge.core.hop_table import HopTable
from mountgauge.http1 import Parser, request, response
from mountgauge.relay.shard_map import next_hop, removed_hop, removed_records
from mountgauge.relay.wire import (
    MAX_ANSWER_BYTES,
    MAX_ASK_BYTES,
    PATH,
    decode_ask,
    decode_reply,
    encode_ask,
    encode_reply,
)
from mountgauge.sharding.messages import Answer, PlacementUpdate, Reply
from mountgauge.sharding.picker import Picker, RelayName
from mountgauge.sharding.relay import HeldAsk, Relay
from mountgauge.sharding.shards import NO_VERSION, EndpointRecord, ShardSnapshot
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.timing import Timing
from mountgauge.sharding.upstream import ListCall, RelayCall, Update
from rillspindle import Policy
from rillspindle import interface as io

_HEADERS = {"Content-Type": "application/json"}
_HOST = "127.0.0.1:7400"  # as long as the address of a real relay, so that requests have the same size
_CALLS_PER_S_PER_WEIGHT = 1.0


def policy_settings(senders: int) -> dict[str, Any]:
    """Settings of a sender's decision module, as an operator's file gives them."""
    message_class = {
        "name": "note", "semantics": "idempotent", "deadline": 60.0, "aim": 5.0, "group": "all",
        "worth": 1.0, "lateWorth": 0.3, "repeatWindow": 120.0,
    }  # fmt: skip
    return {
        "balancers": senders, "zone": 0, "tick": 0.005, "discovery": "subscribe", "weights": "nominal",
        "grades": [message_class], "localities": [], "shapes": ["std"],
        "ceilings": {
            "attemptsCap": 8, "cancel": True, "connectTimeout": 1.5, "maxOpen": 400,
            "maxRetryAfter": 5.0, "mayDuplicate": False, "probes": False,
        },
        "extra": {"kindBatch": [1], "losesWorth": "even", "routesApart": [False], "workers": 64},
        "obligations": {
            "askWithin": 10.0, "cold": 14.0, "fall": 1.5, "fallMultiple": 2.0, "startCapacity": 0.17,
        },
        "report": {"fields": [], "via": "off"},
    }  # fmt: skip


class ProcessorTime:
    """Processor time that this thread has spent in `counted` blocks."""

    __slots__ = ("spent_ns",)

    def __init__(self) -> None:
        self.spent_ns = 0

    @property
    def spent_s(self) -> float:
        """The counted processor time in seconds."""
        return self.spent_ns / 1e9

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count the processor time that is spent in this block."""
        started_ns = time.thread_time_ns()
        try:
            yield
        finally:
            self.spent_ns += time.thread_time_ns() - started_ns


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A call and its encoded request."""

    call: RelayCall | ListCall
    data: bytes


@dataclass(frozen=True, slots=True)
class SavedState:
    """The state that a sender saves in its folder for the next process run."""

    snapshots: tuple[ShardSnapshot, ...]
    placement: PlacementUpdate
    confirmed_at: float


class SimulatedSender:
    """The control plane of one sender."""

    def __init__(
        self, name: str, zone: str, relays: Sequence[RelayName], timing: Timing, shard_count: int,
        settings: dict[str, Any], seed: int,
    ) -> None:  # fmt: skip
        rng = Random(seed)
        self.name = name
        self.processor = ProcessorTime()
        self.store = ShardStore(shard_count, log_limit=0)
        self.subscription = Subscription(name, self.store, Picker(relays, zone, timing, rng), timing, rng)
        self.hops = HopTable(settings["balancers"])
        self.policy = Policy(settings, rng.getrandbits(60))
        self.rejections = 0
        self._shard_count = shard_count
        self._revision = 0

    @property
    def state(self) -> tuple[object, ...]:
        """The objects whose memory is measured."""
        return (self.subscription, self.hops, self.policy)

    def save(self) -> SavedState:
        """The state that the next process of this name starts from."""
        snapshots = tuple(self.store.snapshot(shard) for shard in sorted(self.store.shards()))
        return SavedState(snapshots, self.subscription.placement, self.store.confirmed_at)

    def restore(self, saved: SavedState, now: float) -> None:
        """Start from the state that the previous process saved."""
        with self.processor.counted():
            update = self.subscription.restore(saved.snapshots, saved.placement, saved.confirmed_at)
            self._update_policy(update, now)

    def poll(self, now: float) -> list[OutgoingCall]:
        """The calls to be made now."""
        with self.processor.counted():
            return [
                OutgoingCall(call, _request(call, self._shard_count)) for call in self.subscription.poll(now)
            ]

    def wakes_at(self, now: float) -> float:
        """The time of the next poll, if nothing arrives before."""
        return self.subscription.wakes_at(now)

    def answered(self, call: RelayCall, data: bytes, now: float, pool: RecordPool) -> Update:
        """Apply a relay's answer, given with its HTTP head."""
        with self.processor.counted():
            reply = _read_reply(data, self._shard_count)
        reply = pool.share(reply)
        with self.processor.counted():
            update = self.subscription.answered(call, reply, now)
            self.process_update(update, now)
        return update

    def process_update(self, update: Update, now: float) -> None:
        """Pass the changes of an answer to the decision module."""
        self.rejections += len(update.rejections)
        self._update_policy(update, now)

    def failed(self, call: RelayCall, now: float) -> None:
        """Record that a call has timed out."""
        with self.processor.counted():
            self.subscription.failed(call, now, silent=True)

    def _update_policy(self, update: Update, now: float) -> None:
        if not (update.put or update.removed):
            return
        self._revision += 1
        hops = [removed_hop(record) for record in removed_records(update)]
        hops += [next_hop(record, _CALLS_PER_S_PER_WEIGHT) for record in update.put]
        change = self.hops.apply_update(MapUpdate(self._revision, False, tuple(hops)), False, now)
        self.policy.handle(io.Targets(io.ListKind.DELTA, self._revision, change.entries), now)

    def has_applied(self, shard: int, destination: int, number: int) -> bool:
        """Whether store and decision module include this change of a destination, or a later one."""
        return any(
            record.destination == destination
            and record.started_ms >= number
            and record.id.encode() in self.policy.endpoints
            for record in self.store.records(shard).values()
        )

    def ready(self) -> bool:
        """Whether the store has all shards that are placed on this sender."""
        subscription = self.subscription
        return subscription.placement.revision != NO_VERSION and all(
            shard in self.store for shard in subscription.shards()
        )


def _request(call: RelayCall, shard_count: int) -> bytes:
    return request("POST", PATH, _HOST, {}, encode_ask(call.ask, shard_count))


def _read_reply(data: bytes, shard_count: int) -> Reply:
    message = Parser(max_body_bytes=MAX_ANSWER_BYTES).feed(data)[0]
    return decode_reply(message.status, message.body, shard_count)


class SimulatedRelay:
    """One relay and its encoding."""

    def __init__(self, relay: Relay, shard_count: int) -> None:
        self.relay = relay
        self.processor = ProcessorTime()
        self._shard_count = shard_count

    def poll(self, now: float) -> list[OutgoingCall]:
        """The calls to be made now."""
        with self.processor.counted():
            return [OutgoingCall(call, self._request(call)) for call in self.relay.poll(now)]

    def _request(self, call: RelayCall | ListCall) -> bytes:
        if isinstance(call, RelayCall):
            return _request(call, self._shard_count)
        query = "" if call.index is None else f"?index={call.index}&wait={round(call.wait_s * 1000)}"
        return request("GET", f"/registry/instances{query}", _HOST, {})

    def wakes_at(self, now: float) -> float:
        """The time of the next poll, and of the next check for answers that are due."""
        return self.relay.wakes_at(now)

    def answered(self, call: RelayCall | ListCall, data: bytes, now: float, pool: RecordPool) -> Update:
        """Apply an answer of the upstream relay or of discovery."""
        with self.processor.counted():
            if isinstance(call, ListCall):
                return self.relay.answered(call, orjson.loads(_body(data)), now)
            reply = _read_reply(data, self._shard_count)
        reply = pool.share(reply)
        with self.processor.counted():
            return self.relay.answered(call, reply, now)

    def failed(self, call: RelayCall | ListCall, now: float) -> None:
        """Record that a call has timed out."""
        with self.processor.counted():
            self.relay.failed(call, now, silent=True)

    def fill(self, source: ShardStore, now: float) -> None:
        """Fill the relay from another store, as if it had fetched everything at no cost."""
        while not self.relay.upstream.ready:
            for call in self.relay.poll(now):
                assert isinstance(call, RelayCall)
                snapshots = tuple(source.snapshot(one.shard) for one in call.ask.positions)
                self.relay.answered(call, Answer(source.as_of, 0.0, snapshots=snapshots), now)

    def ask(self, data: bytes, now: float) -> bytes | HeldAsk:
        """Process an ask, given with its HTTP head; returns the answer, or that the ask is held."""
        with self.processor.counted():
            message = Parser(requests=True, max_body_bytes=MAX_ASK_BYTES).feed(data)[0]
            reply = self.relay.ask(decode_ask(message.body, self._shard_count), now)
            return reply if isinstance(reply, HeldAsk) else _response(reply)

    def take_ready(self, now: float) -> list[tuple[int, bytes]]:
        """The answers that are due for held asks, with the numbers of the asks."""
        with self.processor.counted():
            return [(number, _response(reply)) for number, reply in self.relay.take_ready(now)]

    def step_placement(self, step: Callable[[], frozenset[str]]) -> None:
        """Take one step of the placement, and pass the affected members to the relay."""
        with self.processor.counted():
            self.relay.placement_changed(step())

    def drop(self, number: int) -> None:
        """Drop a held ask that its caller no longer waits for."""
        with self.processor.counted():
            self.relay.drop(number)


def _response(reply: Reply) -> bytes:
    status, body = encode_reply(reply)
    return response(status, "OK" if status == 200 else "Service Unavailable", _HEADERS, body)


def _body(data: bytes) -> bytearray:
    return Parser(max_body_bytes=MAX_ANSWER_BYTES).feed(data)[0].body


class RecordPool:
    """Shares equal records between simulated processes, to save memory; real processes have copies each.

    This does not affect measured memory: the figure of a process includes all records that it refers to.
    """

    def __init__(self) -> None:
        self._records: dict[EndpointRecord, EndpointRecord] = {}

    def share(self, reply: Reply) -> Reply:
        """The same answer, with its records replaced by equal ones of the pool."""
        if not isinstance(reply, Answer):
            return reply
        snapshots = tuple(replace(one, records=self._pooled(one.records)) for one in reply.snapshots)
        deltas = tuple(replace(one, put=self._pooled(one.put)) for one in reply.deltas)
        return replace(reply, snapshots=snapshots, deltas=deltas)

    def _pooled(self, records: tuple[EndpointRecord, ...]) -> tuple[EndpointRecord, ...]:
        records_by_value = self._records
        return tuple(records_by_value.setdefault(record, record) for record in records)
