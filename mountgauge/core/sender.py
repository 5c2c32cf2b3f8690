"""The core's turns: each passes all events that are ready to the decision module, with one reading of the
clock, and then executes the module's actions.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace

from mountgauge.core import shared_waits
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
    Answer,
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
from mountgauge.core.remote_outcomes import RemoteOutcomes
from mountgauge.core.restore import Backlog, outcome_without_class
from mountgauge.core.send_state import SendState
from mountgauge.core.setting_numbers import NumberedSettings, with_class
from mountgauge.core.timers import Overdue, Timers
from mountgauge.core.waits import Waits
from mountgauge.log import kv
from rillspindle import Policy
from rillspindle import interface as io
from rillspindle.interface import ListKind
from rillspindle.send_monitor import EndpointAddress, SendMonitor, Violation

log = logging.getLogger("mountgauge.sender")

# A budget share below this part of its previous value has shrunk by more than its usual steps.
_SHRUNK_BELOW = 0.8
_MIN_RATE = 0.3  # calls/s; a lower one would delay the first call after a share has grown again
_NEW_PER_TURN = 64  # new messages that the module decides on in one turn
_WRITE_RETRY_S = 0.05  # between two attempts to write records that could not be written
_OVERDUE_AFTER_S = 0.1  # after its expiry a message that the module still holds is withdrawn from it
_WAITS_SWEPT = 64  # waits checked with each change of the list, to drop the elapsed ones


class Sender:
    """The core of one sender: accepts messages, passes events to the module and executes its actions."""

    def __init__(
        self,
        policy: Policy,
        names: SettingNames,
        journal: Journal,
        clock: Clock,
        fronts: Mapping[str, OutcomeReporter],
    ) -> None:
        self.policy, self.rules, self.names = policy, policy.settings, names
        self.journal, self.clock, self.fronts = journal, clock, fronts
        self.map: MapSource
        self.table = HopTable(self.rules.balancers)
        self.version = -1  # of the list; -1 if none is known, as 0 is a valid version
        self.pending = PendingMessages()
        self.numbers_by_id = self.pending.numbers_by_id
        self.waits = Waits()  # required by next hops, by the key of the limit
        # Called with each list, and with each answer that nothing in it has changed.
        self.on_list_update: Callable[[], None] | None = None
        self.counts: Counter[tuple[str, str]] = Counter()  # for metrics, by kind and label
        self.monitor = SendMonitor(self.rules.drain_grace, _log_violation)
        state = SendState(self.rules, self.table, journal, self.pending, self.waits)
        self.outcomes = MessageOutcomes(
            journal, self.pending, fronts, self.counts, state, self.monitor, clock.now
        )
        self.attempts = Attempts(
            state, clock, journal, self.table, self.pending, self.waits, self.counts, self.monitor,
            self._enqueue, self.outcomes.finish,
        )  # fmt: skip
        self.remote_outcomes = RemoteOutcomes(journal, fronts, clock)
        self.admission = Admission(
            policy,
            names,
            journal,
            self.table,
            self.pending,
            self.attempts,
            self.outcomes,
            self.remote_outcomes,
            self.counts,
            clock.now,
        )
        journal.on_failing = self._schedule_flush
        self._flush_scheduled = False
        self._backlog = Backlog()
        self._ready: list[Submission | io.Event] = []
        self._timers = Timers()
        self._turn_at = math.inf
        self._review_at = math.inf
        self._stopped = False

    # The list, read-only

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
        """Why the list may not be used for calls to a destination; None if lists need no lease."""
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
        """Called when an endpoint required a wait, which another process may have to observe."""
        return self.attempts.on_wait

    @on_wait.setter
    def on_wait(self, on_wait: Callable[[], None] | None) -> None:
        self.attempts.on_wait = on_wait

    @property
    def scope(self) -> DestinationScope | None:
        """Set if the sender serves a share of the destinations."""
        return self.outcomes.scope

    @scope.setter
    def scope(self, scope: DestinationScope | None) -> None:
        self.outcomes.scope = scope

    @property
    def slots_used(self) -> int:
        """Slots in use."""
        return self.attempts.slots_used

    @property
    def waiting(self) -> Counter[tuple[int, str]]:
        """Counts by destination and endpoint: calls that wait for their first byte and, under an empty
        endpoint, messages queued in the decision module.
        """
        counts = Counter((call.hop.entry.owner, call.hop.id) for call in self.attempts.parked)
        msgs, dests = self.policy.messages, self.policy.destinations
        if len(msgs) < len(dests):
            counts.update((msg.dest.id, "") for msg in msgs.values() if msg.id in msg.dest.queued)
        else:
            for dest in dests.values():
                if dest.queued:
                    counts[dest.id, ""] = len(dest.queued)
        return counts

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        return self.attempts.admit(call, items)

    def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
        self.attempts.finished(call, results)

    def release(self) -> None:
        self.attempts.release()

    # Start and stop

    def start(self, known: MapUpdate) -> None:
        """Pass the module its last list and the unfinished messages of the previous process run."""
        self._apply_update(known, io.ListKind.CACHED)
        if self.journal.failing:  # since it was opened
            self._schedule_flush()
        self.restore(list(self.journal.live.values()))

    def restore(self, messages: list[StoredMessage]) -> None:
        """Restore the messages of another process's journal, at the start or after a hand-over."""
        self._number_zones()
        for stored in messages:
            if stored.id in self.numbers_by_id:
                continue
            number = self._class_number(stored)
            message_class = None if number is None else self.rules.message_classes[number]
            expires = self.journal.time.monotonic(stored.expires)
            message = self._add_pending(stored, expires, message_class)
            self.remote_outcomes.adopted(message)
            self.monitor.restored(stored.id, self.attempts.state.maybe_ran(message.number))
            if stored.notice is not None:  # abandoned by the other process, whose notice may be lost
                message.finished = True
                self.outcomes.report(message, stored.notice)
            elif number is None:
                self.outcomes.abandon(message, outcome_without_class(stored))
            else:
                self._backlog.add(message, number, self.journal.time)
        if messages:
            log.info("restored", extra=kv(messages=len(messages), cut_bytes=self.journal.truncated_bytes))
        self._schedule_turn()

    def _number_zones(self) -> None:
        """Keep the numbers of zones that a journal alone names: a reload gives them to no other zone."""
        known = tuple(self.journal.zones.names)
        if known[: len(self.names.zones)] == self.names.zones:
            self.names = self.admission.names = replace(self.names, zones=known)

    def _class_number(self, stored: StoredMessage) -> int | None:
        """The number of the class that a message was accepted with. A record of an earlier build has its name
        alone: the class that has this name now, None if there is none.
        """
        if stored.message_class is None:
            return self.names.known_class(stored.class_name)
        in_force = NumberedSettings(self.rules, self.names)
        numbered = with_class(in_force, stored.class_name, stored.message_class)
        if numbered is not in_force:
            self.apply_settings(numbered.rules, numbered.names)
        return numbered.class_number(stored.class_name, stored.message_class)

    def forget_finished(self) -> None:
        """Drop the pending messages that finished according to an adopted journal: nothing more is owed but
        the outcome to the clients that wait for it here.
        """
        for msg_id, number in list(self.numbers_by_id.items()):
            if msg_id in self.journal.outcomes and msg_id not in self.journal.live:
                self.outcomes.finished_elsewhere(self.pending[number], self.journal.outcomes[msg_id])
                self._enqueue(io.Withdrawn(number))

    @property
    def to_restore(self) -> int:
        """Messages of a previous run that have not been passed to the module yet."""
        return len(self._backlog)

    def stop(self) -> None:
        """End the turns. Outcomes of calls in flight are still journalled; other messages stay journalled."""
        self._stopped = self.attempts.state.stopped = True
        rejected, self._ready = [r for r in self._ready if isinstance(r, Submission)], []
        for submission in rejected:
            self.admission.answer_while_stopping(submission)

    # The disk

    def _schedule_flush(self) -> None:
        """Retry the journal's failed write until it succeeds; calls are parked meanwhile."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            log.warning("journal-failing", extra=kv(held=len(self.pending)))
            self.clock.call_at(self.clock.now() + _WRITE_RETRY_S, self._retry_flush)

    def _retry_flush(self) -> None:
        if not self.journal.flush():
            self.clock.call_at(self.clock.now() + _WRITE_RETRY_S, self._retry_flush)
            return
        self._flush_scheduled = False
        log.info("journal-written", extra=kv(held=len(self.pending)))
        self.outcomes.journal_written()
        if not self._stopped:
            self.attempts.release()

    # Input

    def submit(self, submission: Submission) -> None:
        if self._stopped:
            self.admission.answer_while_stopping(submission)
            return
        self._ready.append(submission)
        self._schedule_turn()

    def list_changed(self, update: MapUpdate) -> None:
        """Apply a full list from discovery, or a delta."""
        self.admission.list_received = True
        self._apply_update(update, io.ListKind.FULL if update.full else io.ListKind.DELTA)
        self._schedule_turn()
        if self.on_list_update is not None:
            self.on_list_update()

    def remember(self, fact: io.Remembered) -> None:
        """Pass on what a previous process run knew of a destination."""
        self._enqueue(fact)

    def apply_waits(self, waits: dict[object, float]) -> bool:
        """Observe waits that endpoints required of another process of this sender, until times of the
        sender's clock: the guard withholds calls, and the module plans none. Returns whether any is longer
        than what was known.
        """
        now = self.clock.now()
        longer = {limit: until for limit, until in waits.items() if until > self.waits.get(limit, now)}
        for limit, until in longer.items():
            hop = self.table.hops.get(str(limit))
            if isinstance(limit, int):
                self.remember(io.Remembered(limit, until - now, math.inf))
            elif hop is not None:
                self.remember(io.Remembered(hop.entry.owner, until - now, math.inf, hop.entry.endpoint))
        return shared_waits.merge(self.waits, longer)

    def _enqueue(self, event: io.Event) -> None:
        self._ready.append(event)
        self._schedule_turn()

    def _apply_update(self, update: MapUpdate, how: ListKind) -> None:
        now = self.clock.now()
        full = how != ListKind.DELTA
        change = self.table.apply_update(update, full, now)
        states = (
            (EndpointAddress(*hop[:3]), hop.entry.readiness == io.Readiness.READY) for hop in update.hops
        )
        self.monitor.list_applied(full, states, now)
        for hop_id in change.closing:
            self.next_hops.close_idle(hop_id)
        self.version = update.version
        self.waits.sweep(now, _WAITS_SWEPT + len(update.hops))
        self._ready.append(io.Targets(how, update.version, change.entries))
        self._review_by(change.review_at)

    def _review_by(self, when: float | None) -> None:
        if when is not None and when < self._review_at:
            self._review_at = when
            self.clock.call_at(when, lambda: self._review(when))

    def _review(self, when: float) -> None:
        """Believe older lists by which a drained endpoint is active again, once they have contradicted the
        drain for long enough: the versions were restarted.
        """
        if when != self._review_at:
            return
        self._review_at = math.inf
        change = self.table.review(max(when, self.clock.now()))
        if change.entries:
            ids = ",".join(entry.endpoint.decode(errors="replace") for entry in change.entries)
            log.warning("older-list-believed", extra=kv(version=self.version, active=ids[:200]))
            self._ready.append(io.Targets(io.ListKind.DELTA, self.version, change.entries))
            self._schedule_turn()
        self._review_by(change.review_at)

    def apply_settings(self, rules: io.Settings, names: SettingNames) -> None:
        """Apply the settings of a reloaded file, in which each number keeps its meaning (`keep_numbers`).
        Messages keep the class under which their command was read.
        """
        self.policy.settings = self.rules = self.attempts.state.rules = self.admission.rules = rules
        self.table.balancers = rules.balancers
        self.names = self.admission.names = names
        self.journal.zones.names = list(names.zones)
        self.monitor.drain_grace_s = rules.drain_grace

    def set_detached(self, detached: set[str]) -> None:
        """Set the endpoints that operators detached: for the module they drain, whatever discovery lists. One
        that is attached again is as listed.
        """
        change = self.table.set_detached(detached)
        for hop_id in change.closing:
            self.next_hops.close_idle(hop_id)
        if change.entries:
            log.info("maintained", extra=kv(detached=",".join(sorted(self.detached)) or "none"))
            self._ready.append(io.Targets(io.ListKind.DELTA, self.version, change.entries))
            self._schedule_turn()

    def set_budget_shares(self, shares: Mapping[int, float]) -> None:
        """Set this sender's share of each destination's budget, in calls/s. The module receives it as a
        listed limit; if a share has shrunk, also as the maximum of its current send rate.
        """
        shrunk = [
            dest
            for dest, share in shares.items()
            if share < _SHRUNK_BELOW * self.budget_shares.get(dest, 0.0)
        ]
        if entries := self.table.set_budget_shares(shares):
            self._ready.append(io.Targets(io.ListKind.DELTA, self.version, entries))
        for dest in shrunk:
            self.remember(io.Remembered(dest, 0.0, max(_MIN_RATE, shares[dest])))
        self._schedule_turn()

    # The turn

    def _schedule_turn(self) -> None:
        """Schedule a turn at the next tick, so that events that arrive together are decided on together."""
        now = self.clock.now()
        self._schedule_turn_at((math.floor(now / self.rules.tick) + 1) * self.rules.tick)

    def _schedule_turn_at(self, when: float) -> None:
        if when < self._turn_at and not self._stopped:
            self._turn_at = when
            self.clock.call_at(when, lambda: self._run_turn(when))

    def _run_turn(self, when: float) -> None:
        if when == self._turn_at and not self._stopped:
            self._turn_at = math.inf
            try:
                self.turn()
            finally:  # the watchdogs of all messages must run even if a turn fails
                self._schedule_timers()

    def _schedule_timers(self) -> None:
        if (at := self._timers.next_at(self.pending)) is not None:
            self._schedule_turn_at(at)

    def turn(self) -> None:
        now = self.clock.now()
        ready, self._ready = self._ready, []
        for due in self._timers.due(now):
            ready.extend(self._overdue(due.number) if isinstance(due, Overdue) else [due])
        ready.extend(self._backlog.next_batch())
        if self._backlog:
            self._schedule_turn()
        actions: list[io.Action] = []
        fresh: dict[int, tuple[Submission, PendingMessage]] = {}
        for one in ready:
            if not isinstance(one, Submission):
                actions += self._decide(one, now)
            elif len(fresh) >= _NEW_PER_TURN:  # a burst: let the event loop do its other work first
                self._ready.append(one)
                self._schedule_turn()
            elif self.numbers_by_id.get(one.id) in fresh:
                # The same id twice in one turn: whether the first is accepted is known at its end.
                self._ready.append(one)
                self._schedule_turn()
            elif (message := self._try_admission(one, now)) is not None:
                fresh[message.number] = one, message
                event = io.Incoming(
                    message.number, 0, message.expires, 0, 0.0, one.dest, one.message_class, 0
                )
                actions += self._decide(event, now)
        self._answer(fresh, actions)
        self._carry_out(actions, now)

    def _decide(self, event: io.Event, now: float) -> list[io.Action]:
        """The module's actions for an event. If the module fails, only this event is lost: the watchdogs
        still finish each message in time.
        """
        try:
            return list(self.policy.handle(event, now))
        except Exception:
            log.exception("module-failed", extra=kv(on=event))
            return []

    def _try_admission(self, submission: Submission, now: float) -> PendingMessage | None:
        """Admit a submission. If that fails, it alone is rejected: the turn's other events and clients must
        not lose their turn.
        """
        try:
            return self._admit_submission(submission, now)
        except Exception:
            log.exception("submission-failed", extra=kv(id=submission.id))
            submission.answer(MessageOutcome(Status.DEFERRED))
            return None

    def _admit_submission(self, submission: Submission, now: float) -> PendingMessage | None:
        """Add a message that the module has to decide on; None if it was answered at once."""
        if (answer := self.admission.immediate_answer(submission, now)) is not None:
            submission.answer(answer)
            return None
        expires = now + submission.remaining_s
        message_class = self.rules.message_classes[submission.message_class]
        message = self._add_pending(self.admission.stored(submission, expires), expires, message_class)
        message.awaiting_front = submission.front if submission.awaits_outcome else ""
        return message

    def _add_pending(
        self, stored: StoredMessage, expires: float, message_class: io.MessageClass | None
    ) -> PendingMessage:
        message = self.pending.add(stored, expires, message_class)
        if self.scope is not None:
            self.scope.message_added(stored.dest)
        self._timers.watch(expires + _OVERDUE_AFTER_S, message.number)
        return message

    def _overdue(self, number: int) -> list[io.Event]:
        """Finish an expired message, for whatever reason it has no outcome yet."""
        message = self.pending.get(number)
        if message is None:
            return []
        if message.finished:
            self.outcomes.report_overdue(message)
            return []
        log.warning(
            "overdue", extra=kv(id=message.stored.id, attempts=message.issued, out=message.call is not None)
        )
        self.outcomes.abandon(message, MessageOutcome(Status.UNDELIVERABLE))
        return [io.Withdrawn(number)]

    def _answer(
        self, fresh: Mapping[int, tuple[Submission, PendingMessage]], actions: list[io.Action]
    ) -> None:
        """Answer each client whether its message is accepted, which is journalled first."""
        rejections: dict[int, MessageOutcome] = {}
        for action in actions:
            if isinstance(action, io.PushBack):
                rejections[action.msg_id] = _deferred(action)
            elif isinstance(action, io.Abort):
                rejections[action.msg_id] = MessageOutcome(Status.UNDELIVERABLE)
        for number, (submission, message) in fresh.items():
            answer: Answer | None = rejections.get(number)
            if answer is None:
                if (answer := self.admission.accept(submission, message)) is None:
                    continue
                self._ready.append(io.Withdrawn(number))
                self._schedule_turn()
            self.admission.reject(submission, message, answer)

    def _carry_out(self, actions: list[io.Action], now: float) -> None:
        calls = CallBatches(now, self.rules.kind_batch)
        for action in actions:
            try:
                self._perform(action, now, calls)
            except Exception:  # this action alone is lost
                log.exception("action-failed", extra=kv(action=action))
        for call in calls:
            self.attempts.start(call)

    def _perform(self, action: io.Action, now: float, calls: CallBatches) -> None:
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
                message = self.pending.get(number)
                if message is not None and message.call is not None and len(message.call.items) == 1:
                    self.attempts.cancel(message.call)
            case io.WriteLog(line):
                log.info("module", extra=kv(line=line))
            case _:
                log.error("action-not-allowed", extra=kv(action=action))


def _log_violation(violation: Violation) -> None:
    log.error("invariant-violated", extra=kv(rule=violation.rule, id=violation.message, why=violation.why))


def _deferred(action: io.PushBack) -> MessageOutcome:
    return MessageOutcome(Status.DEFERRED, max(0, math.ceil(action.retry_after * 1000)))
