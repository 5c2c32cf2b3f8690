"""Delivery attempts, from the module's order to their outcome, and the last look before the first byte.

Never two calls out for one message, none to another's endpoint, and no byte before the journal has the
attempt. Next hops ask `admit` before the first byte, as a slow connect outlives what was decided; the guard
(`rillspindle.send_guard`) says what may go and until when, and the call's lease is asked again at each write.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable

from mountgauge.core.batching import CallBatches
from mountgauge.core.call_lease import CallLease
from mountgauge.core.hop_table import HopTable
from mountgauge.core.journal import Journal, JournalFullError
from mountgauge.core.pending_messages import PendingMessage, PendingMessages
from mountgauge.core.ports import (
    AttemptResult,
    Call,
    CallGate,
    CallItem,
    Clock,
    MessageOutcome,
    NextHops,
    Status,
)
from mountgauge.core.send_state import SendState
from mountgauge.core.waits import Waits
from mountgauge.log import LineBudget, kv
from rillspindle import interface as io
from rillspindle import send_guard
from rillspindle.interface import Outcome
from rillspindle.send_guard import Refusal, SendPermit
from rillspindle.send_monitor import Place, SendMonitor, SentMessage

log = logging.getLogger("mountgauge.sender")

_NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
_MAY_STILL_RUN = {Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}  # there, though it is over here


class Attempts:
    """The next hops' `CallOwner`."""

    next_hops: NextHops

    def __init__(
        self,
        state: SendState,
        clock: Clock,
        journal: Journal,
        table: HopTable,
        held: PendingMessages,
        waits: Waits,
        counts: Counter[tuple[str, str]],
        monitor: SendMonitor,
        enqueue: Callable[[io.Event], None],
        end: Callable[[PendingMessage, MessageOutcome], None],
    ) -> None:
        """`enqueue` gives the module an event in its next turn; `end` is told of a message that has ended."""
        self.state = state
        self._clock, self._journal, self._table = clock, journal, table
        self._held, self._waits, self._counts, self._monitor = held, waits, counts, monitor
        self._enqueue, self._end = enqueue, end
        self._lines = LineBudget(clock.now)
        self.call_gate: CallGate | None = None  # fleet-wide budgets
        self.on_wait: Callable[[], None] | None = None  # a wait was told: another process may need it
        self.slots_used = 0  # slots taken
        # Until what is known is fresh, the journal writes, and a budget has a place.
        self.parked: list[Call] = []

    def issue(self, action: io.Issue, now: float, calls: CallBatches) -> None:
        """Gather a message into a call; `start` comes when the turn has gathered all."""
        held = self._held.get(action.msg_id)
        hop = self._table.hops.get(action.endpoint.decode())
        send_no = 0
        if held is not None:
            send_no = held.issued
            held.issued += 1
        if (
            held is None
            or held.over
            or held.call is not None
            or hop is None
            or hop.entry.owner != held.stored.dest
        ):
            # Never two out, never to another's endpoint, whatever was decided on an older state.
            self._respond(action.msg_id, send_no, action.endpoint, 0.0, AttemptResult(Outcome.MOOT))
            return
        stored = held.stored
        item = CallItem(held.number, send_no, stored.id, stored.key, stored.grade, stored.body, held.expires)
        times_out_at = now + max(0.0, action.give_up_after)
        if (full := calls.full(hop)) is not None:
            self.start(full)
        held.call = calls.add(item, hop, times_out_at)

    def start(self, call: Call) -> None:
        self.slots_used += 1
        for item in call.items:
            if item.expires < call.times_out_at:  # its time ends before that of the call that it shares
                self._clock.call_at(item.expires, lambda item=item: self._item_late(call, item))  # type: ignore[misc]
        self._go(call)
        if call in self.parked:
            self._clock.call_at(self.state.useful_until(call), lambda: self._end_parked(call))

    def _go(self, call: Call) -> None:
        ended = None
        if self._journal.failing:
            why = Refusal.JOURNAL_FAILING
        elif (ended := self.state.list_ended(call.hop.entry.owner)) is not None:
            why = Refusal.LIST_LEASE_ENDED
        elif self.call_gate is not None and not self.call_gate.start(call):
            why = Refusal.NO_BUDGET
        else:
            self.next_hops.start(call)
            return
        if not call.parked:  # counted once, however often it is looked at
            call.parked = True
            self._counts["parked", why if ended is None else f"{why}.{ended}"] += 1
        self.parked.append(call)

    def _end_parked(self, call: Call) -> None:
        """A call that waited until it was of no use any more holds no slot."""
        if call in self.parked:
            self.parked.remove(call)
            self.finished(call, {})

    def release(self) -> None:
        """What was to be looked at before the next first byte has been, or the journal takes records again:
        parked calls go if they may.
        """
        parked, self.parked = self.parked, []
        for call in parked:
            if call.times_out_at > self._clock.now():
                self._go(call)
            else:
                self.finished(call, {})

    def cancel(self, call: Call) -> None:
        if call in self.parked:
            self.parked.remove(call)
            self.finished(call, {})
        else:
            self.next_hops.cancel(call)

    def _item_late(self, call: Call, item: CallItem) -> None:
        held = self._held.get(item.number)
        if held is not None and held.call is call and not item.reported and not self.state.stopped:
            item.reported = True
            # Its first byte may still wait for a connection: then it has not run, and never will.
            self._report(call, item, AttemptResult(Outcome.TIMEOUT if item in call.sent else Outcome.MOOT))

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        """Just before the first byte: which of these may go; their attempts are journalled, and `call.lease`
        says until when the last byte must have left.
        """
        endpoint, now = self.state.endpoint(call), self._clock.now()
        going, until = [], call.times_out_at
        for item in items:
            found = send_guard.permit_send(self.state.message(item), endpoint, call.times_out_at, now)
            if isinstance(found, Refusal):
                self._withheld(found, call, item)
            else:
                going.append(item)
                until = min(until, found.until)
        if not going:
            return []
        if self.call_gate is not None:
            if not self.call_gate.take(call):
                self._withheld(Refusal.NO_BUDGET, call, going[0])
                return []
            until = min(until, self.call_gate.until(call))
        try:
            ids, zone = [item.id for item in going], endpoint.zone
            self._journal.attempt(ids, self._journal.time.of(now), zone)
        except JournalFullError as error:
            log.warning("journal-full", extra=kv(reason=error))
            return []
        call.sent = going
        permit = SendPermit(until)
        call.lease = CallLease(call, permit, zone, self.state.endpoint, self._clock.now, self._left)
        return going

    def _withheld(self, why: Refusal, call: Call, item: CallItem) -> None:
        self._counts["withheld", why] += 1
        if self._lines.take():
            attempt = kv(id=item.id, attempt=item.send_no, hop=call.hop.id, why=why)
            log.info("withheld", extra=attempt)

    def _left(self, call: Call, begun: bool, complete: bool) -> None:
        """Bytes of a call have left: what took effect is held against the rules."""
        now, hop = self._clock.now(), call.hop
        if begun:
            ids = [item.id for item in call.sent]
            self._monitor.first_byte(ids, Place(hop.id, hop.host, hop.port), now)
        if complete and call.lease is not None:
            messages = [
                SentMessage(
                    item.id, self.state.grades.get(item.grade), item.expires, item.id in self._journal.live
                )
                for item in call.sent
            ]
            self._monitor.last_byte(messages, call.lease.zone, self.state.limit(hop), now)

    def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
        """The call holds its slot no longer. A message without a result was not sent."""
        self.slots_used -= 1
        now = self._clock.now()
        if self.call_gate is not None:
            known = [results[item.number].outcome for item in call.sent if item.number in results]
            self.call_gate.finished(call, bool(known) and not set(known) & _MAY_STILL_RUN)
        for item in call.items:
            result = results.get(item.number, AttemptResult(Outcome.MOOT))
            if item in call.sent:
                self._monitor.outcome(item.id, result.outcome in _NEVER_RAN)
            if result.required_wait_s > 0:
                limit = self.state.limit(call.hop)
                self._waits[limit] = max(self._waits.get(limit, 0.0), now + result.required_wait_s)
                self._monitor.wait_told(limit, now, now + result.required_wait_s)
                if self.on_wait is not None:
                    self.on_wait()
            held = self._held.get(item.number)
            if held is not None:
                held.call = None
                if result.outcome in _NEVER_RAN and item in call.sent:
                    self._journal.never_ran(item.id)
                if result.outcome == Outcome.OK and not held.over:
                    self._end(held, MessageOutcome(Status.DELIVERED))
                elif result.finished and not held.over:  # withdrawn or out of time: nothing more is owed
                    self._end(held, MessageOutcome(Status.FINISHED))
            if not item.reported:
                self._report(call, item, result)

    def _report(self, call: Call, item: CallItem, result: AttemptResult) -> None:
        self._counts["attempt", result.outcome.name.lower()] += 1
        spent = self._clock.now() - call.started
        if result.outcome != Outcome.OK:
            self._log_failure(call, item, result.outcome, spent)
        self._respond(item.number, item.send_no, call.hop.entry.endpoint, spent, result)

    def _log_failure(self, call: Call, item: CallItem, outcome: Outcome, spent: float) -> None:
        if not self._lines.take():
            return
        why = call.lease.refusal if call.lease is not None else None
        attempt = kv(
            id=item.id,
            attempt=item.send_no,
            hop=call.hop.id,
            outcome=outcome.name.lower(),
            sent=item in call.sent,
            ms=round(spent * 1000),
            why=why or "",
        )
        log.info("attempt-failed", extra=attempt)

    def _respond(
        self, number: int, send_no: int, endpoint: bytes, spent: float, result: AttemptResult
    ) -> None:
        over = result.finished or result.outcome == Outcome.OK
        remark = result.note if result.outcome == Outcome.MOOT else math.ceil(result.required_wait_s * 1000)
        outcome, stale = result.outcome, result.stale
        self._enqueue(io.Response(number, spent, endpoint, outcome, send_no, over, remark, (), stale))
