"""Processes of the virtual fleet: a state machine with its place on the network, driven by its own timers.

A call and its answer are an `Exchange`. The caller gives it up by itself after the call's limit; a relay or
discovery may hold it until there is news.
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

_LEAST_SLEEP_S = 0.001  # between two wakings by timer
LOAD_BUCKET_S = 2.0  # over which a relay's load is counted


@dataclass(slots=True, eq=False)
class Exchange:
    """One call on its way."""

    caller: SenderNode | RelayNode
    call: RelayCall | ListCall
    over: bool = False  # answered, or given up
    on_given_up: Callable[[], None] | None = None  # whoever holds it forgets it


@dataclass(slots=True)
class Surroundings:
    """What all processes share."""

    loop: EventLoop
    network: Network
    pool: RecordPool
    relays: Mapping[str, RelayNode]  # the processes that are there now, by name
    discovery: DiscoveryNode


class Process:
    """What senders and relays have in common: they make calls and wake by their own timers."""

    def __init__(self, around: Surroundings, party: Party) -> None:
        self.around, self.party = around, party
        self.started_at = around.loop.now
        self._wakes_at = inf

    @property
    def now(self) -> float:
        return self.around.loop.now

    def drive(self) -> None:
        """Do what is due, and set the timer anew."""
        raise NotImplementedError

    def end(self) -> None:
        """The process is gone, without a word."""
        self.party.up = False

    def _sleep_until(self, when: float) -> None:
        when = max(when, self.now + _LEAST_SLEEP_S)
        if when == inf or (self.now < self._wakes_at <= when):
            return
        self._wakes_at = when
        self.around.loop.at(when, lambda: self._wake(when))

    def _wake(self, when: float) -> None:
        if self.party.up and self._wakes_at == when:
            self._wakes_at = inf
            self.drive()

    def _make(self, exchange: Exchange, data: bytes) -> None:
        """Send a call; it is given up after its limit."""
        around, call = self.around, exchange.call
        around.loop.after(call.limit_s, lambda: self._give_up(exchange))
        if isinstance(call, ListCall):
            target: RelayNode | DiscoveryNode = around.discovery
        else:
            target = around.relays[call.relay]
        around.network.send(self.party, target.party, len(data), lambda: target.receive(exchange, data))

    def _give_up(self, exchange: Exchange) -> None:
        if exchange.over or not self.party.up:
            return
        given_up, exchange.on_given_up = exchange.on_given_up, None
        exchange.over = True
        if given_up is not None:
            given_up()
        self.call_failed(exchange.call)
        self.drive()

    def call_failed(self, call: RelayCall | ListCall) -> None:
        """A call was given up."""
        raise NotImplementedError

    def answer(self, exchange: Exchange, data: bytes) -> None:
        """An answer has arrived."""
        if not exchange.over:
            exchange.over, exchange.on_given_up = True, None  # no cycle is left: the collector is off
            self.call_answered(exchange.call, data)
            self.drive()

    def call_answered(self, call: RelayCall | ListCall, data: bytes) -> None:
        """A call was answered."""
        raise NotImplementedError


class SenderNode(Process):
    """One process of a sender. `on_update` hears what its answers have changed."""

    def __init__(
        self, around: Surroundings, party: Party, number: int, machine: SimulatedSender,
        on_update: Callable[[SenderNode, Update], None],
    ) -> None:  # fmt: skip
        super().__init__(around, party)
        self.number, self.machine = number, machine
        self.ready_at: float | None = None  # when it first held all that is placed on it
        self._on_update = on_update

    def drive(self) -> None:
        """Make the calls that are due."""
        for outgoing in self.machine.poll(self.now):
            self._make(Exchange(self, outgoing.call), outgoing.data)
        self._sleep_until(self.machine.wakes_at(self.now))

    def call_failed(self, call: RelayCall | ListCall) -> None:
        """A call was given up."""
        assert isinstance(call, RelayCall)
        self.machine.failed(call, self.now)

    def call_answered(self, call: RelayCall | ListCall, data: bytes) -> None:
        """A call was answered."""
        assert isinstance(call, RelayCall)
        update = self.machine.answered(call, data, self.now, self.around.pool)
        if self.ready_at is None and self.machine.ready():
            self.ready_at = self.now
        self._on_update(self, update)


class RelayNode(Process):
    """One process of a relay."""

    def __init__(
        self, around: Surroundings, party: Party, machine: SimulatedRelay, load: Counter[int] | None = None
    ) -> None:
        super().__init__(around, party)
        self.machine = machine
        # asks by bucket of time, with those of the relay's earlier processes
        self.load: Counter[int] = Counter() if load is None else load
        self._held: dict[int, Exchange] = {}

    def drive(self) -> None:
        """Make the calls and give the answers that are due."""
        for outgoing in self.machine.poll(self.now):
            self._make(Exchange(self, outgoing.call), outgoing.data)
        for number, data in self.machine.take_ready(self.now):
            self._answer(self._held.pop(number), data)
        self._sleep_until(self.machine.wakes_at(self.now))

    def receive(self, exchange: Exchange, data: bytes) -> None:
        """An ask has arrived."""
        self.load[int(self.now / LOAD_BUCKET_S)] += 1
        found = self.machine.ask(data, self.now)
        if isinstance(found, HeldAsk):
            number = found.number
            self._held[number] = exchange
            exchange.on_given_up = lambda: self._forget(exchange, number)
        else:
            self._answer(exchange, found)
        self.drive()

    def placed(self, step: Callable[[], frozenset[str]]) -> None:
        """The relay's placement takes a step: those that it concerns are told."""
        self.machine.placed(step)
        self.drive()

    def _forget(self, exchange: Exchange, number: int) -> None:
        """The caller has closed the connection: this is heard unless the way is cut."""
        there, here = exchange.caller.party, self.party
        if here.up and self.around.network.connected(there.region, here.region):
            self._held.pop(number, None)
            self.machine.drop(number)

    def _answer(self, exchange: Exchange, data: bytes) -> None:
        caller = exchange.caller
        self.around.network.send(self.party, caller.party, len(data), lambda: caller.answer(exchange, data))

    def call_failed(self, call: RelayCall | ListCall) -> None:
        """A call was given up."""
        self.machine.failed(call, self.now)

    def call_answered(self, call: RelayCall | ListCall, data: bytes) -> None:
        """A call was answered."""
        self.machine.answered(call, data, self.now, self.around.pool)


@dataclass(slots=True, eq=False)
class DiscoveryNode:
    """Discovery's stand-in: it answers at once, or when there is news or the wait is over."""

    loop: EventLoop
    network: Network
    list: DiscoveryList
    party: Party
    calls: int = 0
    _held: dict[int, Exchange] = field(default_factory=dict)

    def receive(self, exchange: Exchange, data: bytes) -> None:
        """A call has arrived."""
        call = exchange.call
        assert isinstance(call, ListCall)
        self.calls += 1
        if call.index is None or call.index != self.list.version or call.wait_s <= 0:
            self._answer(exchange)
            return
        key = id(exchange)
        self._held[key] = exchange
        exchange.on_given_up = lambda: self._held.pop(key, None)  # type: ignore[assignment]
        self.loop.after(call.wait_s, lambda: self._over(key))

    def _over(self, key: int) -> None:
        if (exchange := self._held.pop(key, None)) is not None:
            self._answer(exchange)

    def changed(self) -> None:
        """The list has a new version."""
        held, self._held = self._held, {}
        for exchange in held.values():
            self._answer(exchange)

    def _answer(self, exchange: Exchange) -> None:
        call, caller = exchange.call, exchange.caller
        assert isinstance(call, ListCall)
        data = response(200, "OK", {"Content-Type": "application/json"}, self.list.answer(call.index))
        self.network.send(self.party, caller.party, len(data), lambda: caller.answer(exchange, data))
