"""One sender and its discovery in virtual time, with the real state machine, hop table and final send check.

The simulated network and discovery follow a `Schedule` (`reference`); the calls and answers are kept in a
`Record`, by which the test decides. Every `SEND_INTERVAL_S` a call is chosen for each endpoint that is ready
as far as the sender knows. `connect_s` later, as after a slow connect, the call is checked again, and its
first byte is sent `hold_up_s` after that.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any, cast

from mountgauge.core.attempts import Attempts
from mountgauge.core.config import MapUpdate
from mountgauge.core.durable_time import ProcessTime
from mountgauge.core.hop_table import HopTable
from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.core.pending_messages import PendingMessages
from mountgauge.core.ports import Call, CallItem, NextHop
from mountgauge.core.send_state import SendState
from mountgauge.core.waits import Waits
from mountgauge.platform.list_call import Failure, ListCall
from mountgauge.platform.watch import DiscoveryWatch
from mountgauge.platform.watch_bounds import WatchBounds
from rillspindle.interface import Entry, Readiness, Settings
from rillspindle.send_monitor import SendMonitor
from tests.platform.reference import (
    LOSS_PAUSE_S,
    CallRecord,
    Change,
    CorruptAnswer,
    Loss,
    Move,
    Outage,
    OutageKind,
    Record,
    Reload,
    Schedule,
    State,
    Written,
)
from tests.settings import settings

DRAIN_GRACE_S = 0.25
TRAVEL_S = 0.003  # in one direction between the sender and discovery
SERVICE_S = 0.002  # that discovery takes to answer
READ_FIRST_S = 1e-6  # as a process resumes, it reads first and does all else that is due after this
SEND_INTERVAL_S = 0.01  # between two attempts to send to each endpoint
STAYS = "stays"  # the endpoint that is always ready
REJECTING = (OutageKind.DOWN, OutageKind.OVERLOADED, OutageKind.OVERLOADED_OR_SILENT)  # new calls, with a 503
HOPS = ("a", "b", "c")  # the endpoints that change; the last one is added during a schedule

_READINESS = {
    State.ACTIVE: Readiness.READY, State.LEAVING: Readiness.DRAINING, State.LEFT: Readiness.GONE
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Components:
    """The classes that a sender is built from: the program's own, or a mutant's."""

    watch: type[DiscoveryWatch] = DiscoveryWatch
    bounds: type[WatchBounds] = WatchBounds
    attempts: type[Attempts] = Attempts
    table: type[HopTable] = HopTable


class VirtualTime:
    """The clock, and the calls that are scheduled on it."""

    def __init__(self) -> None:
        self.time = 0.0
        self._order = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time

    def boot(self) -> str:
        return "one"

    def call_at(self, when: float, then: Callable[[], None]) -> None:
        heapq.heappush(self._due, (max(when, self.time), next(self._order), then))

    def run(self, until: float) -> None:
        """Run everything that is due up to a time."""
        while self._due and self._due[0][0] <= until:
            self.time, _, then = heapq.heappop(self._due)
            then()
        self.time = until


def rules_of(schedule: Schedule, ask_within_s: float) -> Settings:
    """The settings of a schedule's sender."""
    mode = "automatic" if schedule.pushed else "subscribe"
    env = settings(balancers=schedule.balancers, discovery=mode)
    env["obligations"] |= {"askWithin": ask_within_s, "drainGrace": DRAIN_GRACE_S}
    return Settings.from_mapping(env)


def next_hop(name: str, state: State) -> NextHop:
    """An entry of the list."""
    return NextHop(name, "10.0.0.1", 80, Entry(_READINESS[state], 0.0, 0.0, 0, 7, 0, name.encode()))


@dataclass(slots=True, eq=False)
class Exchange:
    """A call between the sender and discovery."""

    call: ListCall
    record: CallRecord
    ready_at: float = 0.0  # the earliest time at which discovery can answer
    answer_at: float = 0.0  # when it answers even without a change
    ended: bool = False  # answered, failed or silent: discovery does nothing more with it


class VirtualDiscovery:
    """Discovery and the network, which answer, hold, refuse or lose calls according to the schedule."""

    def __init__(self, schedule: Schedule, time: VirtualTime, record: Record) -> None:
        self._schedule, self._time, self._record = schedule, time, record
        self.version = 0
        self.hops = {STAYS: (State.ACTIVE, 0), HOPS[0]: (State.ACTIVE, 0), HOPS[1]: (State.ACTIVE, 0)}
        self._open: list[Exchange] = []
        self._to_lose = 0
        self._corrupt_next = False
        self._faulty_until = 0.0  # no further corrupt answer until then
        self.sender: Sender

    def current_outage(self) -> Outage | None:
        """The current outage."""
        now = self._time.time
        return next((o for o in self._schedule.outages if o.at <= now < o.until), None)

    def outage_is(self, kind: OutageKind) -> bool:
        """Whether the current outage is of this kind."""
        return (found := self.current_outage()) is not None and found.kind is kind

    def delay_s(self) -> float:
        """How long an answer takes at present."""
        found = self.current_outage()
        return found.delay_s if found is not None and found.kind is OutageKind.SLOW else SERVICE_S

    # Events

    def change(self, change: Change) -> None:
        self.version += 1
        self.hops[change.hop] = (change.state, self.version)
        for exchange in self._open:
            due_at = self._time.time + SERVICE_S
            self._time.call_at(due_at, lambda exchange=exchange: self._answer_if_due(exchange))  # type: ignore[misc]

    def outage_begins(self, outage: Outage) -> None:
        for exchange in list(self._open):
            if outage.kind is OutageKind.REFUSING:
                self._refuse(exchange, Failure.REFUSED)
            elif outage.kind is OutageKind.DOWN:
                self._refuse(exchange, Failure.BUSY)
            elif outage.kind is OutageKind.SILENT:
                self._silence(exchange)
            elif outage.kind is OutageKind.IMMEDIATE:
                self._answer_if_due(exchange)

    def outage_ends(self, _: Outage) -> None:
        for exchange in list(self._open):
            self._answer_if_due(exchange)

    def lose_next(self, loss: Loss) -> None:
        self._to_lose += loss.calls

    def corrupt_next_answer(self) -> None:
        if self._time.time >= self._faulty_until:
            self._corrupt_next = True
            self._faulty_until = float("inf")

    # Calls

    def accept(self, call: ListCall) -> Exchange:
        """The sender has made a call."""
        now = self._time.time
        exchange = Exchange(call, CallRecord(now, call.wait_s if call.index is not None else 0.0))
        self._record.calls.append(exchange.record)
        if self.outage_is(OutageKind.SILENT):
            exchange.record.silent_from, exchange.ended = now, True
            exchange.record.connects = False
        elif self.outage_is(OutageKind.REFUSING):
            self._open.append(exchange)
            self._refuse(exchange, Failure.REFUSED)
        elif self.outage_is(OutageKind.OVERLOADED_OR_SILENT) and len(self._record.calls) % 2:
            exchange.record.silent_from, exchange.ended = now, True
        elif any(map(self.outage_is, REJECTING)):
            self._open.append(exchange)
            self._refuse(exchange, Failure.BUSY)
        elif self._to_lose:
            self._lose(exchange)
        else:
            self._open.append(exchange)
            exchange.ready_at = now + TRAVEL_S + self.delay_s()
            exchange.answer_at = exchange.ready_at + exchange.record.wait_s
            self._time.call_at(exchange.ready_at, lambda: self._answer_if_due(exchange))
            self._time.call_at(exchange.answer_at, lambda: self._answer_if_due(exchange))
        return exchange

    def close(self, exchange: Exchange) -> None:
        """The sender has closed a call."""
        exchange.record.closed_at = self._time.time
        self._end(exchange)

    def _lose(self, exchange: Exchange) -> None:
        exchange.record.silent_from, exchange.ended = self._time.time, True
        self._to_lose -= 1

    def _answer_if_due(self, exchange: Exchange) -> None:
        """Answer the call if there is a change, or if its wait is over."""
        now, call = self._time.time, exchange.call
        if exchange.ended or now < exchange.ready_at or self.outage_is(OutageKind.HOLDING):
            return
        newer = call.index is None or self.version > call.index
        if newer or self.outage_is(OutageKind.IMMEDIATE) or now >= exchange.answer_at:
            self._write(exchange)

    def _write(self, exchange: Exchange) -> None:
        self._end(exchange)
        corrupt, self._corrupt_next = self._corrupt_next, False
        if corrupt:
            self._faulty_until = self._time.time + LOSS_PAUSE_S
        exchange.record.written_at = self._time.time
        self._record.written.append(Written(self._time.time, self.version, corrupt))
        index = exchange.call.index
        named = [
            next_hop(name, state)
            for name, (state, version) in self.hops.items()
            if (state is not State.LEFT if index is None else version > index)
        ]
        update = MapUpdate(self.version, index is None, tuple(named))
        self._later(lambda: self.sender.read(exchange, None if corrupt else update))

    def _refuse(self, exchange: Exchange, failure: Failure) -> None:
        self._end(exchange)
        exchange.record.failed_at = self._time.time
        self._later(lambda: self.sender.failed(exchange, failure))

    def _silence(self, exchange: Exchange) -> None:
        self._end(exchange)
        exchange.record.silent_from = self._time.time

    def _end(self, exchange: Exchange) -> None:
        exchange.ended = True
        if exchange in self._open:
            self._open.remove(exchange)

    def _later(self, then: Callable[[], None]) -> None:
        self._time.call_at(self._time.time + TRAVEL_S, then)


class _Journal:
    """Accepts every attempt."""

    failing = False
    live = frozenset("m")

    def __init__(self, time: VirtualTime) -> None:
        self.time = ProcessTime(time)

    def attempt(self, ids: list[str], wall: float, zone: int) -> None: ...


@dataclass(slots=True)
class Sent:
    """The first bytes sent, by endpoint."""

    at: dict[str, list[float]] = field(default_factory=dict)
    refused: list[float] = field(default_factory=list)  # checks that held back a call to `STAYS`


class Sender:
    """The components of a sender that the rule depends on; `VirtualDiscovery` replaces the sockets."""

    def __init__(
        self, schedule: Schedule, time: VirtualTime, discovery: VirtualDiscovery, components: Components
    ) -> None:
        rules = rules_of(schedule, schedule.ask_within_s)
        self._schedule, self._time, self._discovery, self._components = schedule, time, discovery, components
        self.watch = components.watch(components.bounds.of(rules), Random(schedule.seed))
        self.table = components.table(rules.balancers)
        known = [next_hop(name, state) for name, (state, _) in discovery.hops.items()]
        self.version = 0
        self.table.apply_update(MapUpdate(0, True, tuple(known)), True, time.now())
        held = PendingMessages()
        journal, waits = cast(Journal, _Journal(time)), Waits()
        state = SendState(rules, self.table, journal, held, waits)
        state.list_lease = lambda dest: self.watch.lease_end_reason(time.now())
        self._message = held.add(StoredMessage("m", "note", 1e9, 7, "k", "platform", b""), 1e9)
        self.attempts = components.attempts(
            state, time, journal, self.table, held, waits,
            Counter(), SendMonitor(rules.drain_grace, _ignore), _ignore, _ignore,
        )  # fmt: skip
        self.sent = Sent()
        self._exchanges: dict[ListCall, Exchange] = {}
        self._wake_at = float("inf")
        self._checked_at = -float("inf")

    def start(self) -> None:
        if self._waits(self.start, READ_FIRST_S):
            return
        self.watch.start(self._time.now())
        self.step()

    def step(self) -> None:
        """Make and close the calls that are due."""
        found = self.watch.poll(self._time.now(), self.version)
        for dropped in found.drop:
            if (exchange := self._exchanges.pop(dropped.call, None)) is not None:
                self._discovery.close(exchange)
        for call in found.make:
            exchange = self._exchanges[call] = self._discovery.accept(call)
            if exchange.record.connects and not self.watch.connected(call, self._time.now()):
                del self._exchanges[call]
                self._discovery.close(exchange)
        at = self._wake_at = self.watch.wakes_at()
        if at < float("inf"):
            self._time.call_at(at, lambda: self._wake(at))

    def _wake(self, at: float) -> None:
        if at == self._wake_at and not self._waits(lambda: self._wake(at), READ_FIRST_S):
            self.step()

    def _waits(self, then: Callable[[], None], after_s: float = 0.0) -> bool:
        """Whether the process is stopped now; then it calls `then` once it resumes, after its reads."""
        now = self._time.now()
        pause = next((one for one in self._schedule.pauses if one.at <= now < one.until), None)
        if pause is None:
            return False
        self._time.call_at(pause.until + after_s, then)
        return True

    def read(self, exchange: Exchange, update: MapUpdate | None) -> None:
        """An answer has arrived; None for a corrupt one."""
        if self._waits(lambda: self.read(exchange, update)):
            return
        if update is None:
            self.failed(exchange, Failure.CORRUPT)
        elif self._exchanges.pop(exchange.call, None) is not None:
            if self.watch.answered(
                exchange.call, update.version, self._time.now(), socket_empty_at=self._checked_at
            ):
                self.table.apply_update(update, update.full, self._time.now())
                self.version = update.version
            self.step()

    def failed(self, exchange: Exchange, failure: Failure) -> None:
        """A call ended without a complete answer."""
        if self._waits(lambda: self.failed(exchange, failure)):
            return
        if self._exchanges.pop(exchange.call, None) is not None:
            self.watch.failed(exchange.call, failure, self._time.now())
            self.step()

    def move(self) -> None:
        if self._waits(self.move, READ_FIRST_S):
            return
        self.watch.move(self._time.now())
        self.watch.start(self._time.now())
        self.step()

    def reload(self, reload: Reload) -> None:
        if self._waits(lambda: self.reload(reload), READ_FIRST_S):
            return
        rules = rules_of(self._schedule, reload.ask_within_s)
        self.watch.apply_settings(self._components.bounds.of(rules), self._time.now())
        self.step()

    def try_all(self) -> None:
        """Choose a call for each endpoint that is ready as far as the sender knows."""
        if any(one.at <= self._time.now() < one.until for one in self._schedule.pauses):
            return
        self._checked_at = self._time.now()  # no answer is unread, as each is read as it arrives
        for hop in self.table.hops.values():
            if hop.entry.readiness == Readiness.READY:
                later = self._time.now() + self._schedule.connect_s
                self._time.call_at(later, lambda hop=hop: self._check_and_send(hop))  # type: ignore[misc]

    def _check_and_send(self, hop: NextHop) -> None:
        """The final check of a call, and its first byte."""
        if self._waits(lambda: self._check_and_send(hop), READ_FIRST_S):
            return
        now = self._time.now()
        item = CallItem(self._message.number, 0, "m", "k", "note", b"", 1e9)
        if self.attempts.admit(Call(hop, [item], now, 1e9), [item]):
            self.sent.at.setdefault(hop.id, []).append(now + self._schedule.hold_up_s)
        elif hop.id == STAYS:
            self.sent.refused.append(now)


def _ignore(*_: Any) -> None: ...


@dataclass(frozen=True, slots=True)
class Run:
    """The result of a schedule."""

    record: Record
    sent: Sent


def play(schedule: Schedule, components: Components | None = None) -> Run:
    """Run a sender through a schedule."""
    time, record = VirtualTime(), Record()
    discovery = VirtualDiscovery(schedule, time, record)
    sender = discovery.sender = Sender(schedule, time, discovery, components or Components())
    for event in schedule.events:
        match event:
            case Change():
                time.call_at(event.at, lambda event=event: discovery.change(event))  # type: ignore[misc]
            case Outage():
                time.call_at(event.at, lambda event=event: discovery.outage_begins(event))  # type: ignore[misc]
                time.call_at(event.until, lambda event=event: discovery.outage_ends(event))  # type: ignore[misc]
            case Loss():
                time.call_at(event.at, lambda event=event: discovery.lose_next(event))  # type: ignore[misc]
            case CorruptAnswer():
                time.call_at(event.at, discovery.corrupt_next_answer)
            case Move():
                time.call_at(event.at, sender.move)
            case Reload():
                time.call_at(event.at, lambda event=event: sender.reload(event))  # type: ignore[misc]
    time.call_at(0.0, sender.start)  # after the other events of that time
    for tick in range(int(schedule.end / SEND_INTERVAL_S)):
        time.run(tick * SEND_INTERVAL_S)
        sender.try_all()
    return Run(record, sender.sent)
