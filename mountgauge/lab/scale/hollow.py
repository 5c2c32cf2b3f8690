"""Hollow senders and relays: the control part of real ones, with no clients, journal, calls or sockets.

They have the real state machines (subscription, table of next hops, decision module, relay) and the real
encoding, down to the HTTP head; what carries the bytes is their owner's matter. Processor time is counted
for all that they do, and for nothing else. Times in seconds of the owner's clock.
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
_HOST = "127.0.0.1:7400"  # as long as the one of a real relay
_RATE_PER_WEIGHT = 1.0  # calls/s


def policy_settings(senders: int) -> dict[str, Any]:
    """What a sender's decision module is told: the shape of an operator's file."""
    grade = {
        "name": "note", "semantics": "idempotent", "deadline": 60.0, "aim": 5.0, "group": "all",
        "worth": 1.0, "lateWorth": 0.3, "repeatWindow": 120.0,
    }  # fmt: skip
    return {
        "balancers": senders, "zone": 0, "tick": 0.005, "discovery": "subscribe", "weights": "nominal",
        "grades": [grade], "localities": [], "shapes": ["std"],
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
    """Processor time of this thread that was spent within `counted`, s."""

    __slots__ = ("spent_ns",)

    def __init__(self) -> None:
        self.spent_ns = 0

    @property
    def spent_s(self) -> float:
        return self.spent_ns / 1e9

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count what is spent in this block."""
        begun = time.thread_time_ns()
        try:
            yield
        finally:
            self.spent_ns += time.thread_time_ns() - begun


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A call and its bytes."""

    call: RelayCall | ListCall
    data: bytes


@dataclass(frozen=True, slots=True)
class KeptState:
    """What a sender has in its folder of the list."""

    snapshots: tuple[ShardSnapshot, ...]
    placement: PlacementUpdate
    confirmed_at: float


class HollowSender:
    """One sender's control part."""

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
        """What its memory is measured by."""
        return (self.subscription, self.hops, self.policy)

    def keep(self) -> KeptState:
        """What a process leaves to the next one of its name."""
        snapshots = tuple(self.store.snapshot(shard) for shard in sorted(self.store.shards()))
        return KeptState(snapshots, self.subscription.placement, self.store.confirmed_at)

    def restore(self, kept: KeptState, now: float) -> None:
        """Begin with what the process before left."""
        with self.processor.counted():
            news = self.subscription.restore(kept.snapshots, kept.placement, kept.confirmed_at)
            self._tell_policy(news, now)

    def poll(self, now: float) -> list[OutgoingCall]:
        """The calls to be made now."""
        with self.processor.counted():
            return [
                OutgoingCall(call, _request(call, self._shard_count)) for call in self.subscription.poll(now)
            ]

    def wakes_at(self, now: float) -> float:
        """When to poll next, if nothing comes in before."""
        return self.subscription.wakes_at(now)

    def answered(self, call: RelayCall, data: bytes, now: float, pool: RecordPool) -> Update:
        """A relay's answer has come, with its HTTP head."""
        with self.processor.counted():
            reply = _read_reply(data, self._shard_count)
        reply = pool.share(reply)
        with self.processor.counted():
            update = self.subscription.answered(call, reply, now)
            self.take(update, now)
        return update

    def take(self, update: Update, now: float) -> None:
        """What an answer has changed."""
        self.rejections += len(update.rejections)
        self._tell_policy(update, now)

    def failed(self, call: RelayCall, now: float) -> None:
        """A call was given up after its limit."""
        with self.processor.counted():
            self.subscription.failed(call, now, silent=True)

    def _tell_policy(self, update: Update, now: float) -> None:
        if not (update.put or update.removed):
            return
        self._revision += 1
        hops = [removed_hop(record) for record in removed_records(update)]
        hops += [next_hop(record, _RATE_PER_WEIGHT) for record in update.put]
        change = self.hops.apply_update(MapUpdate(self._revision, False, tuple(hops)), False, now)
        self.policy.handle(io.Targets(io.ListKind.DELTA, self._revision, change.entries), now)

    def shows(self, shard: int, destination: int, number: int) -> bool:
        """Whether store and decision module have a destination as of this change, or a later one."""
        return any(
            record.destination == destination
            and record.started_ms >= number
            and record.id.encode() in self.policy.endpoints
            for record in self.store.records(shard).values()
        )

    def ready(self) -> bool:
        """Whether all shards that are placed here are held."""
        subscription = self.subscription
        return subscription.placement.revision != NO_VERSION and all(
            shard in self.store for shard in subscription.shards()
        )


def _request(call: RelayCall, shard_count: int) -> bytes:
    return request("POST", PATH, _HOST, {}, encode_ask(call.ask, shard_count))


def _read_reply(data: bytes, shard_count: int) -> Reply:
    message = Parser(max_body_bytes=MAX_ANSWER_BYTES).feed(data)[0]
    return decode_reply(message.status, message.body, shard_count)


class HollowRelay:
    """One relay with its encoding."""

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
        """When to poll, and to look for answers that are due, next."""
        return self.relay.wakes_at(now)

    def answered(self, call: RelayCall | ListCall, data: bytes, now: float, pool: RecordPool) -> Update:
        """What it follows has answered."""
        with self.processor.counted():
            if isinstance(call, ListCall):
                return self.relay.answered(call, orjson.loads(_body(data)), now)
            reply = _read_reply(data, self._shard_count)
        reply = pool.share(reply)
        with self.processor.counted():
            return self.relay.answered(call, reply, now)

    def failed(self, call: RelayCall | ListCall, now: float) -> None:
        """A call was given up after its limit."""
        with self.processor.counted():
            self.relay.failed(call, now, silent=True)

    def fill(self, source: ShardStore, now: float) -> None:
        """Begin with what another relay holds, as if it had been asked for all of it at no cost."""
        while not self.relay.upstream.ready:
            for call in self.relay.poll(now):
                assert isinstance(call, RelayCall)
                snapshots = tuple(source.snapshot(one.shard) for one in call.ask.positions)
                self.relay.answered(call, Answer(source.as_of, 0.0, snapshots=snapshots), now)

    def ask(self, data: bytes, now: float) -> bytes | HeldAsk:
        """An ask with its HTTP head: the answer, or that it is held."""
        with self.processor.counted():
            message = Parser(requests=True, max_body_bytes=MAX_ASK_BYTES).feed(data)[0]
            reply = self.relay.ask(decode_ask(message.body, self._shard_count), now)
            return reply if isinstance(reply, HeldAsk) else _response(reply)

    def take_ready(self, now: float) -> list[tuple[int, bytes]]:
        """The answers to held asks that are due, by number."""
        with self.processor.counted():
            return [(number, _response(reply)) for number, reply in self.relay.take_ready(now)]

    def placed(self, step: Callable[[], frozenset[str]]) -> None:
        """The placement takes a step."""
        with self.processor.counted():
            self.relay.placement_changed(step())

    def drop(self, number: int) -> None:
        """Nobody waits for a held ask any more."""
        with self.processor.counted():
            self.relay.drop(number)


def _response(reply: Reply) -> bytes:
    status, body = encode_reply(reply)
    return response(status, "OK" if status == 200 else "Service Unavailable", _HEADERS, body)


def _body(data: bytes) -> bytearray:
    return Parser(max_body_bytes=MAX_ANSWER_BYTES).feed(data)[0].body


class RecordPool:
    """Records of the same content share memory between hollow parties, which real ones would each have.

    Memory of a party is measured with all that it holds, shared or not, so its figure is not touched by this.
    """

    def __init__(self) -> None:
        self._records: dict[EndpointRecord, EndpointRecord] = {}

    def share(self, reply: Reply) -> Reply:
        """The same answer, with records that are known already."""
        if not isinstance(reply, Answer):
            return reply
        snapshots = tuple(replace(one, records=self._known(one.records)) for one in reply.snapshots)
        deltas = tuple(replace(one, put=self._known(one.put)) for one in reply.deltas)
        return replace(reply, snapshots=snapshots, deltas=deltas)

    def _known(self, records: tuple[EndpointRecord, ...]) -> tuple[EndpointRecord, ...]:
        known = self._records
        return tuple(known.setdefault(record, record) for record in records)
