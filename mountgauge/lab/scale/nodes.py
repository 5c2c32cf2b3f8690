"""Processes of the virtual fleet: state machines that are connected to the network and driven by timers.

A call and its answer are an `Exchange`. The caller times it out after the call's limit; a relay or discovery
may hold it until there is a change.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from mountgauge.http1 import response
from mountgauge.lab.scale.discovery import DiscoveryList
from mountgauge.lab.scale.simulated import RecordPool, SimulatedRelay, SimulatedSender
from mountgauge.lab.scale.simulation import EventLoop, Network, Party
from mountgauge.sharding.relay import HeldAsk
from mountgauge.sharding.upstream import ListCall, RelayCall, Update

if TYPE_CHECKING:
    from collections.abc import Mapping

_MIN_SLEEP_S = 0.001  # before the next wake-up by timer
LOAD_BUCKET_S = 2.0  # length of the intervals in which a relay's asks are counted


@dataclass(slots=True, eq=False)
class Exchange:
    """One call in flight."""

    caller: SenderNode | RelayNode
    call: RelayCall | ListCall
    finished: bool = False  # answered or timed out
    on_timeout: Callable[[], None] | None = None  # set by the relay or discovery that holds it


@dataclass(slots=True)
class FleetContext:
    """What all processes of the fleet share."""

    loop: EventLoop
    network: Network
    pool: RecordPool
    relays: Mapping[str, RelayNode]  # the current processes, by name
    discovery: DiscoveryNode


class Process:
    """Base of senders and relays: makes calls, and wakes up by its own timer."""

    def __init__(self, context: FleetContext, party: Party) -> None:
        self.context, self.party = context, party
        self.started_at = context.loop.now
        self._wakes_at = inf

    @property
    def now(self) -> float:
        """The current virtual time."""
        return self.context.loop.now

    def drive(self) -> None:
        """Do what is due, and set the timer for the next time."""
        raise NotImplementedError

    def end(self) -> None:
        """End the process without notifying its peers."""
        self.party.up = False

    def _sleep_until(self, when: float) -> None:
        when = max(when, self.now + _MIN_SLEEP_S)
        if when == inf or (self.now < self._wakes_at <= when):
            return
        self._wakes_at = when
        self.context.loop.at(when, lambda: self._wake(when))

    def _wake(self, when: float) -> None:
        if self.party.up and self._wakes_at == when:
            self._wakes_at = inf
            self.drive()

    def _make(self, exchange: Exchange, data: bytes) -> None:
        """Send a call, which times out after its limit."""
        context, call = self.context, exchange.call
        context.loop.after(call.limit_s, lambda: self._time_out(exchange))
        if isinstance(call, ListCall):
            target: RelayNode | DiscoveryNode = context.discovery
        else:
            target = context.relays[call.relay]
        context.network.send(self.party, target.party, len(data), lambda: target.receive(exchange, data))

    def _time_out(self, exchange: Exchange) -> None:
        if exchange.finished or not self.party.up:
            return
        on_timeout, exchange.on_timeout = exchange.on_timeout, None
        exchange.finished = True
        if on_timeout is not None:
            on_timeout()
        self.call_failed(exchange.call)
        self.drive()

    def call_failed(self, call: RelayCall | ListCall) -> None:
        """Record that a call has timed out."""
        raise NotImplementedError

    def answer(self, exchange: Exchange, data: bytes) -> None:
        """Process an answer that has arrived."""
        if not exchange.finished:
            # The callback is cleared so that no reference cycle remains: garbage collection is off
            exchange.finished, exchange.on_timeout = True, None
            self.call_answered(exchange.call, data)
            self.drive()

    def call_answered(self, call: RelayCall | ListCall, data: bytes) -> None:
        """Apply the answer of a call."""
        raise NotImplementedError


class SenderNode(Process):
    """One process of a sender. `on_update` is called with the changes of each answer."""

    def __init__(
        self, context: FleetContext, party: Party, number: int, machine: SimulatedSender,
        on_update: Callable[[SenderNode, Update], None],
    ) -> None:  # fmt: skip
        super().__init__(context, party)
        self.number, self.machine = number, machine
        self.ready_at: float | None = None  # when it first had all shards that are placed on it
        self._on_update = on_update

    def drive(self) -> None:
        """Make the calls that are due."""
        for outgoing in self.machine.poll(self.now):
            self._make(Exchange(self, outgoing.call), outgoing.data)
        self._sleep_until(self.machine.wakes_at(self.now))

    def call_failed(self, call: RelayCall | ListCall) -> None:
        """Record that a call has timed out."""
        assert isinstance(call, RelayCall)
        self.machine.failed(call, self.now)

    def call_answered(self, call: RelayCall | ListCall, data: bytes) -> None:
        """Apply the answer of a call."""
        assert isinstance(call, RelayCall)
        update = self.machine.answered(call, data, self.now, self.context.pool)
        if self.ready_at is None and self.machine.ready():
            self.ready_at = self.now
        self._on_update(self, update)


class RelayNode(Process):
    """One process of a relay."""

    def __init__(
        self, context: FleetContext, party: Party, machine: SimulatedRelay, load: Counter[int] | None = None
    ) -> None:
        super().__init__(context, party)
        self.machine = machine
        # Asks by time bucket, including those of previous processes of this relay
        self.load: Counter[int] = Counter() if load is None else load
        self._held: dict[int, Exchange] = {}

    def drive(self) -> None:
        """Make the calls and send the answers that are due."""
        for outgoing in self.machine.poll(self.now):
            self._make(Exchange(self, outgoing.call), outgoing.data)
        for number, data in self.machine.take_ready(self.now):
            self._answer(self._held.pop(number), data)
        self._sleep_until(self.machine.wakes_at(self.now))

    def receive(self, exchange: Exchange, data: bytes) -> None:
        """Process an ask that has arrived."""
        self.load[int(self.now / LOAD_BUCKET_S)] += 1
        answer = self.machine.ask(data, self.now)
        if isinstance(answer, HeldAsk):
            number = answer.number
            self._held[number] = exchange
            exchange.on_timeout = lambda: self._forget(exchange, number)
        else:
            self._answer(exchange, answer)
        self.drive()

    def step_placement(self, step: Callable[[], frozenset[str]]) -> None:
        """Take one step of the relay's placement, and answer the asks of the members that it concerns."""
        self.machine.step_placement(step)
        self.drive()

    def _forget(self, exchange: Exchange, number: int) -> None:
        """Drop a held ask whose caller has closed the connection, unless a cut hides that from the relay."""
        caller, relay = exchange.caller.party, self.party
        if relay.up and self.context.network.connected(caller.region, relay.region):
            self._held.pop(number, None)
            self.machine.drop(number)

    def _answer(self, exchange: Exchange, data: bytes) -> None:
        caller = exchange.caller
        self.context.network.send(self.party, caller.party, len(data), lambda: caller.answer(exchange, data))

    def call_failed(self, call: RelayCall | ListCall) -> None:
        """Record that a call has timed out."""
        self.machine.failed(call, self.now)

    def call_answered(self, call: RelayCall | ListCall, data: bytes) -> None:
        """Apply the answer of a call."""
        self.machine.answered(call, data, self.now, self.context.pool)


@dataclass(slots=True, eq=False)
class DiscoveryNode:
    """Stand-in for discovery: it answers at once, or when the list changes or the call's wait is over."""

    loop: EventLoop
    network: Network
    list: DiscoveryList
    party: Party
    calls: int = 0
    _held: dict[int, Exchange] = field(default_factory=dict)

    def receive(self, exchange: Exchange, data: bytes) -> None:
        """Process a call that has arrived."""
        call = exchange.call
        assert isinstance(call, ListCall)
        self.calls += 1
        if call.index is None or call.index != self.list.version or call.wait_s <= 0:
            self._answer(exchange)
            return
        key = id(exchange)
        self._held[key] = exchange
        exchange.on_timeout = lambda: self._held.pop(key, None)  # type: ignore[assignment]
        self.loop.after(call.wait_s, lambda: self._wait_over(key))

    def _wait_over(self, key: int) -> None:
        if (exchange := self._held.pop(key, None)) is not None:
            self._answer(exchange)

    def changed(self) -> None:
        """Answer all held calls: the list has a new version."""
        held, self._held = self._held, {}
        for exchange in held.values():
            self._answer(exchange)

    def _answer(self, exchange: Exchange) -> None:
        call, caller = exchange.call, exchange.caller
        assert isinstance(call, ListCall)
        data = response(200, "OK", {"Content-Type": "application/json"}, self.list.answer(call.index))
        self.network.send(self.party, caller.party, len(data), lambda: caller.answer(exchange, data))
