"""The turn: what is ready goes to the module in one go, with one clock; then its actions are carried out."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Mapping

from mountgauge.core.admission import Admission
from mountgauge.core.attempts import Attempts
from mountgauge.core.batching import CallBatches
from mountgauge.core.config import MapUpdate, SettingNames
from mountgauge.core.hop_table import HopTable
from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.core.list_lease import LeaseCheck
from mountgauge.core.message_outcomes import MessageOutcomes
from mountgauge.core.pending_messages import PendingMessage, PendingMessages
from mountgauge.core.ports import (
    AttemptResult,
    Call,
    CallGate,
    CallItem,
    Clock,
    DestinationScope,
    MapSource,
    MessageOutcome,
    NextHop,
    NextHops,
    OutcomeReporter,
    Status,
    Submission,
)
from mountgauge.core.restore import Backlog, end_without_class
from mountgauge.core.send_state import SendState
from mountgauge.core.timers import Overdue, Timers
from mountgauge.core.waits import Waits
from mountgauge.log import kv
from rillspindle import Policy
from rillspindle import interface as io
from rillspindle.interface import ListKind
from rillspindle.send_monitor import Place, SendMonitor, Violation

log = logging.getLogger("mountgauge.sender")

_SHRUNK = 0.8  # of a budget's part: less than it was by more than its steps
_LEAST_PACE = 0.3  # calls/s: a slower one would hold the first call after a part has grown again
_AT_ONCE = 64  # new messages that the module decides on in one turn
_WRITE_AGAIN_S = 0.05  # from one try to write what the disk did not take to the next
_GRACE = 0.1  # s past its time after which a message that the module still holds is withdrawn from it
_SWEPT = 64  # waits that each change of the list looks at: those that are over go


class Sender:
    """The core of one sender: takes messages on, gives events to the module, carries its actions out."""

    def __init__(
        self,
        policy: Policy,
        names: SettingNames,
        journal: Journal,
        clock: Clock,
        fronts: Mapping[str, OutcomeReporter],
    ) -> None:
        self.policy, self.rules, self.names = policy, policy.set, names
        self.journal, self.clock, self.fronts = journal, clock, fronts
        self.map: MapSource
        self.table = HopTable(self.rules.balancers)
        self.version = -1  # none known: 0 is a version like any other
        self.pending = PendingMessages()
        self.numbers_by_id = self.pending.numbers_by_id
        self.waits = Waits()  # told ones, by what shares the limit
        self.on_list_update: Callable[[], None] | None = (
            None  # a list, or word that none has changed, has come
        )
        self.counts: Counter[tuple[str, str]] = Counter()  # for metrics: ends and outcomes
        self.monitor = SendMonitor(self.rules.drain_grace, _log_violation)
        state = SendState(self.rules, self.table, journal, self.pending, self.waits)
        state.grades = dict(zip(names.grades, self.rules.grades, strict=False))
        self.outcomes = MessageOutcomes(
            journal, self.pending, fronts, self.counts, state, self.monitor, clock.now
        )
        self.attempts = Attempts(
            state, clock, journal, self.table, self.pending, self.waits, self.counts, self.monitor,
            self._enqueue, self.outcomes.finish,
        )  # fmt: skip
        self.admission = Admission(
            policy,
            names,
            journal,
            self.table,
            self.pending,
            self.attempts,
            self.outcomes,
            self.counts,
            clock.now(),
        )
        journal.on_failing = self._write_later
        self._writing_later = False
        self._backlog = Backlog()
        self._ready: list[Submission | io.Event] = []
        self._timers = Timers()
        self._turn_at = math.inf
        self._review_at = math.inf
        self._stopped = False

    # The list, for reading

    @property
    def hops(self) -> dict[str, NextHop]:
        return self.table.hops

    @property
    def listed_hops(self) -> dict[str, NextHop]:
        return self.table.listed_hops

    @property
    def listed(self) -> dict[int, float]:
        return self.table.listed

    @property
    def ever_listed(self) -> set[str]:
        return self.table.ever_listed

    @property
    def detached(self) -> set[str]:
        return self.table.detached

    @property
    def budget_shares(self) -> dict[int, float]:
        return self.table.budget_shares

    # Delivery attempts

    @property
    def next_hops(self) -> NextHops:
        return self.attempts.next_hops

    @next_hops.setter
    def next_hops(self, next_hops: NextHops) -> None:
        self.attempts.next_hops = next_hops

    @property
    def list_lease(self) -> LeaseCheck | None:
        """Why no call to a destination may go by the list; None: all may."""
        return self.attempts.state.list_lease

    @list_lease.setter
    def list_lease(self, check: LeaseCheck | None) -> None:
        self.attempts.state.list_lease = check

    @property
    def call_gate(self) -> CallGate | None:
        """Fleet-wide budgets."""
        return self.attempts.call_gate

    @call_gate.setter
    def call_gate(self, call_gate: CallGate | None) -> None:
        self.attempts.call_gate = call_gate

    @property
    def on_wait(self) -> Callable[[], None] | None:
        """A wait was told: another process may need it."""
        return self.attempts.on_wait

    @on_wait.setter
    def on_wait(self, on_wait: Callable[[], None] | None) -> None:
        self.attempts.on_wait = on_wait

    @property
    def scope(self) -> DestinationScope | None:
        """Where it holds a part of the destinations."""
        return self.outcomes.scope

    @scope.setter
    def scope(self, scope: DestinationScope | None) -> None:
        self.outcomes.scope = scope

    @property
    def slots_used(self) -> int:
        """Slots taken."""
        return self.attempts.slots_used

    @property
    def waiting(self) -> Counter[tuple[int, str]]:
        """By destination and endpoint: calls that wait for their first byte; and, with no endpoint, messages
        that the module holds.
        """
        found = Counter((call.hop.entry.owner, call.hop.id) for call in self.attempts.parked)
        msgs, dests = self.policy.msgs, self.policy.dests
        if len(msgs) < len(dests):
            found.update((msg.dest.id, "") for msg in msgs.values() if msg.id in msg.dest.held)
        else:
            for dest in dests.values():
                if dest.held:
                    found[dest.id, ""] = len(dest.held)
        return found

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        return self.attempts.admit(call, items)

    def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
        self.attempts.finished(call, results)

    def release(self) -> None:
        self.attempts.release()

    # Start and stop

    def start(self, known: MapUpdate) -> None:
        """Give the module its last list and what an earlier process took on and did not end."""
        self._learn(known, io.ListKind.CACHED)
        if self.journal.failing:  # already at its start
            self._write_later()
        self.restore(list(self.journal.live.values()))

    def restore(self, stored_ones: list[StoredMessage]) -> None:
        """Messages of an earlier process, from its journal: at the start, or adopted at a hand-over."""
        for stored in stored_ones:
            if stored.id in self.numbers_by_id:
                continue
            held = self._hold(stored, self.journal.time.monotonic(stored.expires))
            self.monitor.restored(stored.id, self.attempts.state.ran(held.number))
            if stored.notice is not None:  # given up by the last process, whose notice may not have arrived
                held.over = True
                self.outcomes.tell(held, stored.notice)
            elif (end := end_without_class(stored, self.names)) is not None:
                self.outcomes.abandon(held, end)
            else:
                self._backlog.add(held, self.names.grades.index(stored.grade), self.journal.time)
        if stored_ones:
            log.info("restored", extra=kv(messages=len(stored_ones), cut_bytes=self.journal.truncated_bytes))
        self._soon()

    def forget_finished(self) -> None:
        """Messages that an adopted journal says have ended: nothing more is owed."""
        for msg_id, number in list(self.numbers_by_id.items()):
            if msg_id in self.journal.outcomes and msg_id not in self.journal.live:
                held = self.pending[number]
                held.over = True
                self.outcomes.drop(held)
                self._enqueue(io.Withdrawn(number))

    @property
    def to_restore(self) -> int:
        """Messages of an earlier life that the module has not been given back yet."""
        return len(self._backlog)

    def stop(self) -> None:
        """No more turns: what is out still has its outcome journalled, the rest stays in the journal."""
        self._stopped = self.attempts.state.stopped = True
        refused, self._ready = [r for r in self._ready if isinstance(r, Submission)], []
        for submission in refused:
            self.admission.turn_away(submission)

    # The disk

    def _write_later(self) -> None:
        """The journal did not take a record: it is tried until it does, and calls wait meanwhile."""
        if not self._writing_later:
            self._writing_later = True
            log.warning("journal-failing", extra=kv(held=len(self.pending)))
            self.clock.call_at(self.clock.now() + _WRITE_AGAIN_S, self._write_again)

    def _write_again(self) -> None:
        if not self.journal.flush():
            self.clock.call_at(self.clock.now() + _WRITE_AGAIN_S, self._write_again)
            return
        self._writing_later = False
        log.info("journal-written", extra=kv(held=len(self.pending)))
        self.outcomes.recorded()
        if not self._stopped:
            self.attempts.release()

    # What comes in

    def submit(self, submission: Submission) -> None:
        if self._stopped:
            self.admission.turn_away(submission)
            return
        self._ready.append(submission)
        self._soon()

    def list_changed(self, update: MapUpdate) -> None:
        """Discovery told of the whole list, or of what changed."""
        self.admission.list_received = True
        self._learn(update, io.ListKind.FULL if update.full else io.ListKind.DELTA)
        self._soon()
        if self.on_list_update is not None:
            self.on_list_update()

    def remember(self, fact: io.Remembered) -> None:
        """What an earlier life knew of a destination."""
        self._enqueue(fact)

    def _enqueue(self, event: io.Event) -> None:
        self._ready.append(event)
        self._soon()

    def _learn(self, update: MapUpdate, how: ListKind) -> None:
        now = self.clock.now()
        whole = how != ListKind.DELTA
        change = self.table.apply_update(update, whole, now)
        states = ((Place(*hop[:3]), hop.entry.readiness == io.Readiness.READY) for hop in update.hops)
        self.monitor.listed(whole, states, now)
        for hop_id in change.closing:
            self.next_hops.close_idle(hop_id)
        self.version = update.version
        self.waits.sweep(now, _SWEPT + len(update.hops))
        self._ready.append(io.Targets(how, update.version, change.entries))
        self._review_by(change.review_at)

    def _review_by(self, when: float | None) -> None:
        if when is not None and when < self._review_at:
            self._review_at = when
            self.clock.call_at(when, lambda: self._review(when))

    def _review(self, when: float) -> None:
        """Endpoints that only older lists have as active are so after a while: versions have begun anew."""
        if when != self._review_at:
            return
        self._review_at = math.inf
        change = self.table.review(max(when, self.clock.now()))
        if change.entries:
            ids = ",".join(entry.endpoint.decode(errors="replace") for entry in change.entries)
            log.warning("older-list-believed", extra=kv(version=self.version, active=ids[:200]))
            self._ready.append(io.Targets(io.ListKind.DELTA, self.version, change.entries))
            self._soon()
        self._review_by(change.review_at)

    def apply_settings(self, rules: io.Settings, names: SettingNames) -> None:
        """New settings from a reread file: messages under way keep the class that the module gave them."""
        self.policy.set = self.rules = self.attempts.state.rules = self.admission.rules = rules
        self.table.balancers = rules.balancers
        self.names = self.admission.names = names
        self.attempts.state.grades = dict(zip(names.grades, rules.grades, strict=False))
        self.monitor.drain_grace_s = rules.drain_grace

    def set_detached(self, detached: set[str]) -> None:
        """The endpoints that operators took out drain for the module, whatever discovery lists meanwhile;
        one put back is given to it again as listed."""
        change = self.table.set_detached(detached)
        for hop_id in change.closing:
            self.next_hops.close_idle(hop_id)
        if change.entries:
            log.info("maintained", extra=kv(detached=",".join(sorted(self.detached)) or "none"))
            self._ready.append(io.Targets(io.ListKind.DELTA, self.version, change.entries))
            self._soon()

    def set_budget_shares(self, parts: Mapping[int, float]) -> None:
        """Calls/s of each destination's budget that are this sender's: the module is told them as it is told
        a listed limit; where one has shrunk, that its pace is no higher.
        """
        shrunk = [dest for dest, part in parts.items() if part < _SHRUNK * self.budget_shares.get(dest, 0.0)]
        if entries := self.table.set_budget_shares(parts):
            self._ready.append(io.Targets(io.ListKind.DELTA, self.version, entries))
        for dest in shrunk:
            self.remember(io.Remembered(dest, 0.0, max(_LEAST_PACE, parts[dest])))
        self._soon()

    # The turn

    def _soon(self) -> None:
        """The next turn comes with the next tick, so that what arrives together is decided together."""
        now = self.clock.now()
        self._turn_by((math.floor(now / self.rules.tick) + 1) * self.rules.tick)

    def _turn_by(self, when: float) -> None:
        if when < self._turn_at and not self._stopped:
            self._turn_at = when
            self.clock.call_at(when, lambda: self._turn_due(when))

    def _turn_due(self, when: float) -> None:
        if when == self._turn_at and not self._stopped:
            self._turn_at = math.inf
            try:
                self.turn()
            finally:  # whatever fails in one turn, the watchdogs of all messages are still to be rung
                self._wake_for_timers()

    def _wake_for_timers(self) -> None:
        if (at := self._timers.next_at(self.pending)) is not None:
            self._turn_by(at)

    def turn(self) -> None:
        now = self.clock.now()
        ready, self._ready = self._ready, []
        for rung in self._timers.due(now):
            ready.extend(self._overdue(rung.number) if isinstance(rung, Overdue) else [rung])
        ready.extend(self._backlog.take())
        if self._backlog:
            self._soon()
        actions: list[io.Action] = []
        fresh: dict[int, tuple[Submission, PendingMessage]] = {}
        for one in ready:
            if not isinstance(one, Submission):
                actions += self._decide(one, now)
            elif len(fresh) >= _AT_ONCE:  # a crowd: what else waits for the loop goes first
                self._ready.append(one)
                self._soon()
            elif self.numbers_by_id.get(one.id) in fresh:
                # The same id twice in one turn: whether the first is taken on shows at the turn's end.
                self._ready.append(one)
                self._soon()
            elif (held := self._enter(one, now)) is not None:
                fresh[held.number] = one, held
                event = io.Incoming(held.number, 0, held.expires, 0, 0.0, one.dest, one.grade, 0)
                actions += self._decide(event, now)
        self._answer(fresh, actions)
        self._carry_out(actions, now)

    def _decide(self, event: io.Event, now: float) -> list[io.Action]:
        """A fault in the module costs the one event: the watchdog still ends each message in time."""
        try:
            return list(self.policy.handle(event, now))
        except Exception:
            log.exception("module-failed", extra=kv(on=event))
            return []

    def _enter(self, one: Submission, now: float) -> PendingMessage | None:
        """Whether the module is to hear of it: answered at once if it is known, or if there is no room."""
        if (answer := self.admission.immediate_answer(one, now)) is not None:
            one.answer(answer)
            return None
        expires = now + one.remaining_s
        return self._hold(self.admission.stored(one, expires), expires)

    def _hold(self, stored: StoredMessage, expires: float) -> PendingMessage:
        held = self.pending.add(stored, expires)
        if self.scope is not None:
            self.scope.message_added(stored.dest)
        self._timers.watch(expires + _GRACE, held.number)
        return held

    def _overdue(self, number: int) -> list[io.Event]:
        """Guards against a message that outlives its time, whatever kept its end from coming."""
        held = self.pending.get(number)
        if held is None:
            return []
        if held.over:
            self.outcomes.tell_late(held)
            return []
        log.warning("overdue", extra=kv(id=held.stored.id, attempts=held.issued, out=held.call is not None))
        self.outcomes.abandon(held, MessageOutcome(Status.UNDELIVERABLE))
        return [io.Withdrawn(number)]

    def _answer(
        self, fresh: Mapping[int, tuple[Submission, PendingMessage]], actions: list[io.Action]
    ) -> None:
        """Tell each client whether its message is taken on, which the journal must know first."""
        ends: dict[int, MessageOutcome] = {}
        for action in actions:
            if isinstance(action, io.PushBack):
                ends[action.msg_id] = _deferred(action)
            elif isinstance(action, io.Abort):
                ends[action.msg_id] = MessageOutcome(Status.UNDELIVERABLE)
        for number, (submission, held) in fresh.items():
            end = ends.get(number)
            if end is None:
                if self.admission.take_on(submission, held):
                    continue
                end = MessageOutcome(Status.DEFERRED)
                self._ready.append(io.Withdrawn(number))
                self._soon()
            self.admission.refuse(submission, held, end)

    def _carry_out(self, actions: list[io.Action], now: float) -> None:
        calls = CallBatches(now, self.rules.kind_batch)
        for action in actions:
            match action:
                case io.Issue():
                    self.attempts.issue(action, now, calls)
                case io.Schedule(delay, token):
                    self._timers.ring(now + delay, token)
                case io.PushBack(number):
                    self.outcomes.abandon(self.pending.get(number), _deferred(action))
                case io.Abort(number):
                    self.outcomes.abandon(self.pending.get(number), MessageOutcome(Status.UNDELIVERABLE))
                case io.Watch(on):
                    self.map.watch(on)
                case io.Snapshot():
                    self.map.snapshot()
                case io.Close(endpoint):
                    self.next_hops.close_idle(endpoint.decode())
                case io.StopAttempt(number):
                    held = self.pending.get(number)
                    if held is not None and held.call is not None and len(held.call.items) == 1:
                        self.attempts.cancel(held.call)
                case io.WriteLog(line):
                    log.info("module", extra=kv(line=line))
                case _:
                    log.error("action-not-allowed", extra=kv(action=action))
        for call in calls:
            self.attempts.start(call)


def _log_violation(found: Violation) -> None:
    log.error("invariant-violated", extra=kv(rule=found.rule, id=found.message, why=found.why))


def _deferred(action: io.PushBack) -> MessageOutcome:
    return MessageOutcome(Status.DEFERRED, max(0, math.ceil(action.retry_after * 1000)))
