"""Delivery attempts: from the decision module's order, past the last check before the first byte, to their
outcome.

A message never has two calls in flight, never goes to an endpoint of another destination, and sends no byte
before the journal has the attempt. Next hops call `admit` before the first byte, because a slow connect may
outlast the decision: the guard (`rillspindle.send_guard`) decides what may be sent and until when, and the
call's lease is checked again at each write.
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
from mountgauge.log import LogRateLimiter, kv
from rillspindle import interface as io
from rillspindle import send_guard
from rillspindle.interface import Outcome
from rillspindle.send_guard import Refusal, SendPermit
from rillspindle.send_monitor import EndpointAddress, SendMonitor, SentMessage

log = logging.getLogger("mountgauge.sender")

_NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
# The call has finished here, but the endpoint may still process it.
_MAY_STILL_RUN = {Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}


class Attempts:
    """The next hops' `CallOwner`."""

    next_hops: NextHops

    def __init__(
        self,
        state: SendState,
        clock: Clock,
        journal: Journal,
        table: HopTable,
        pending: PendingMessages,
        waits: Waits,
        counts: Counter[tuple[str, str]],
        monitor: SendMonitor,
        enqueue: Callable[[io.Event], None],
        finish: Callable[[PendingMessage, MessageOutcome], None],
    ) -> None:
        """`enqueue` passes an event to the decision module's next turn; `finish` is called with a message
        that a next hop's answer finished.
        """
        self.state = state
        self._clock, self._journal, self._table = clock, journal, table
        self._pending, self._waits, self._counts, self._monitor = pending, waits, counts, monitor
        self._enqueue, self._finish = enqueue, finish
        self._lines = LogRateLimiter(clock.now)
        self.call_gate: CallGate | None = None  # fleet-wide budgets
        # Called when an endpoint required a wait, which another process may have to observe.
        self.on_wait: Callable[[], None] | None = None
        self.slots_used = 0
        # Calls that wait for a valid list lease, a working journal or a budget slot.
        self.parked: list[Call] = []

    def issue(self, action: io.Issue, now: float, calls: CallBatches) -> None:
        """Add a message to a call; `start` follows when the turn has added all of them. The module hears at
        once of an attempt that can't be made: else it would count it as in flight for good.
        """
        message = self._pending.get(action.msg_id)
        send_no = 0
        if message is not None:
            send_no = message.issued
            message.issued += 1
        try:
            added = self._add_to_call(message, send_no, action, now, calls)
        except Exception:
            log.exception("issue-failed", extra=kv(action=action))
            added = False
        if not added:
            self._respond(action.msg_id, send_no, action.endpoint, 0.0, AttemptResult(Outcome.MOOT))

    def _add_to_call(
        self,
        message: PendingMessage | None,
        send_no: int,
        action: io.Issue,
        now: float,
        calls: CallBatches,
    ) -> bool:
        """Whether the attempt may be made: else the decision was made on an older state, and would put a
        second call of the message in flight, or send it to another destination's endpoint.
        """
        hop = self._table.hops.get(action.endpoint.decode())
        if (
            message is None
            or message.finished
            or message.call is not None
            or hop is None
            or hop.entry.owner != message.stored.dest
        ):
            return False
        stored = message.stored
        item = CallItem(
            message.number,
            send_no,
            stored.id,
            stored.key,
            stored.class_name,
            stored.body,
            message.expires,
            message_class=message.message_class,
        )
        times_out_at = now + max(0.0, action.timeout)
        if (full := calls.full(hop)) is not None:
            self.start(full)
        message.call = calls.add(item, hop, times_out_at)
        return True

    def start(self, call: Call) -> None:
        self.slots_used += 1
        for item in call.items:
            if item.expires < call.times_out_at:  # the message expires before the call that it shares
                self._clock.call_at(item.expires, lambda item=item: self._item_expired(call, item))  # type: ignore[misc]
        self._start_or_park(call)
        if call in self.parked:
            self._clock.call_at(self.state.useful_until(call), lambda: self._end_parked(call))

    def _start_or_park(self, call: Call) -> None:
        lease_end = None
        if self._journal.failing:
            why = Refusal.JOURNAL_FAILING
        elif (lease_end := self.state.list_lease_end(call.hop.entry.owner)) is not None:
            why = Refusal.LIST_LEASE_ENDED
        elif self.call_gate is not None and not self.call_gate.start(call):
            why = Refusal.NO_BUDGET
        else:
            self.next_hops.start(call)
            return
        if not call.parked:  # counted once, however often it is checked
            call.parked = True
            self._counts["parked", why if lease_end is None else f"{why}.{lease_end}"] += 1
        self.parked.append(call)

    def _end_parked(self, call: Call) -> None:
        """Release the slot of a parked call that can no longer deliver any of its messages."""
        if call in self.parked:
            self.parked.remove(call)
            self.finished(call, {})

    def release(self) -> None:
        """Start the parked calls that are permitted by now: the list was confirmed, a budget has slots, or
        the journal writes records again.
        """
        parked, self.parked = self.parked, []
        for call in parked:
            if call.times_out_at > self._clock.now():
                self._start_or_park(call)
            else:
                self.finished(call, {})

    def cancel(self, call: Call) -> None:
        if call in self.parked:
            self.parked.remove(call)
            self.finished(call, {})
        else:
            self.next_hops.cancel(call)

    def _item_expired(self, call: Call, item: CallItem) -> None:
        message = self._pending.get(item.number)
        if message is not None and message.call is call and not item.reported and not self.state.stopped:
            item.reported = True
            # If its first byte still waits for a connection, it has not run and never will.
            self._report(call, item, AttemptResult(Outcome.TIMEOUT if item in call.sent else Outcome.MOOT))

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        """Select the messages that may be sent, just before the first byte, and journal their attempts.
        `call.lease` then says until when the last byte must have left.
        """
        endpoint, now = self.state.endpoint(call), self._clock.now()
        admitted, until = [], call.times_out_at
        for item in items:
            permission = send_guard.permit_send(self.state.message(item), endpoint, call.times_out_at, now)
            if isinstance(permission, Refusal):
                self._withheld(permission, call, item)
            else:
                admitted.append(item)
                until = min(until, permission.until)
        if not admitted:
            return []
        if self.call_gate is not None:
            if not self.call_gate.acquire(call):
                self._withheld(Refusal.NO_BUDGET, call, admitted[0])
                return []
            until = min(until, self.call_gate.usable_until(call))
        try:
            ids, zone = [item.id for item in admitted], endpoint.zone
            self._journal.attempt(ids, self._journal.time.of(now), zone)
        except JournalFullError as error:
            log.warning("journal-full", extra=kv(reason=error))
            return []
        call.sent = admitted
        permit = SendPermit(until)
        call.lease = CallLease(call, permit, zone, self.state.endpoint, self._clock.now, self._bytes_sent)
        return admitted

    def _withheld(self, why: Refusal, call: Call, item: CallItem) -> None:
        self._counts["withheld", why] += 1
        if self._lines.allow():
            attempt = kv(id=item.id, attempt=item.send_no, hop=call.hop.id, why=why)
            log.info("withheld", extra=attempt)

    def _bytes_sent(self, call: Call, begun: bool, complete: bool, sent_at: float) -> None:
        """Check the bytes of a call that left at `sent_at` against the sending rules."""
        hop = call.hop
        if begun:
            ids = [item.id for item in call.sent]
            self._monitor.first_byte(ids, EndpointAddress(hop.id, hop.host, hop.port), sent_at)
        if complete and call.lease is not None:
            messages = [
                SentMessage(
                    item.id,
                    item.message_class,
                    item.expires,
                    item.id in self._journal.live,
                )
                for item in call.sent
            ]
            self._monitor.last_byte(messages, call.lease.zone, self.state.limit(hop), sent_at)

    def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
        """Release the call's slot. A message without a result was not sent."""
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
                self._monitor.wait_required(limit, now, now + result.required_wait_s)
                if self.on_wait is not None:
                    self.on_wait()
            message = self._pending.get(item.number)
            if message is not None:
                message.call = None
                if result.outcome in _NEVER_RAN and item in call.sent:
                    self._journal.never_ran(item.id)
                if result.outcome == Outcome.OK and not message.finished:
                    self._finish(message, MessageOutcome(Status.DELIVERED))
                elif result.finished and not message.finished:  # withdrawn or expired: nothing more is owed
                    self._finish(message, MessageOutcome(Status.FINISHED))
            if not item.reported:
                self._report(call, item, result)

    def _report(self, call: Call, item: CallItem, result: AttemptResult) -> None:
        self._counts["attempt", result.outcome.name.lower()] += 1
        spent = self._clock.now() - call.started
        if result.outcome != Outcome.OK:
            self._log_failure(call, item, result.outcome, spent)
        self._respond(item.number, item.send_no, call.hop.entry.endpoint, spent, result)

    def _log_failure(self, call: Call, item: CallItem, outcome: Outcome, spent: float) -> None:
        if not self._lines.allow():
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
        message_finished = result.finished or result.outcome == Outcome.OK
        remark = result.note if result.outcome == Outcome.MOOT else math.ceil(result.required_wait_s * 1000)
        outcome, stale = result.outcome, result.stale
        self._enqueue(
            io.Response(number, spent, endpoint, outcome, send_no, message_finished, remark, (), stale)
        )
