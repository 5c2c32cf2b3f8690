"""Delivery attempts, from the module's order to their outcome, and the last look before the first byte.

Never two calls out for one message, none to another's endpoint, none within a told wait, and no byte before
the journal has the attempt. Next hops ask `admit` in the last step, as a slow connect outlives what was
decided.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable

from mountgauge.core.batching import CallBatches
from mountgauge.core.held import Held, HeldMessages
from mountgauge.core.hop_table import HopTable
from mountgauge.core.journal import Journal, JournalFullError
from mountgauge.core.ports import Call, CallGate, Clock, End, Item, NextHop, NextHops, Result, Status
from mountgauge.core.waits import Waits
from mountgauge.log import kv
from rillspindle import interface as io
from rillspindle.interface import Outcome, Readiness

log = logging.getLogger("mountgauge.sender")

_NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
_MAY_STILL_RUN = {Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}  # there, though it is over here


class Attempts:
    """The next hops' `CallOwner`."""

    next_hops: NextHops

    def __init__(
        self,
        rules: io.Settings,
        clock: Clock,
        journal: Journal,
        table: HopTable,
        held: HeldMessages,
        waits: Waits,
        counts: Counter[tuple[str, str]],
        hear: Callable[[io.Event], None],
        end: Callable[[Held, End], None],
    ) -> None:
        """`hear` gives the module an event in its next turn; `end` is told of a message that has ended."""
        self.rules = rules
        self._clock, self._journal, self._table = clock, journal, table
        self._held, self._waits, self._counts = held, waits, counts
        self._hear, self._end = hear, end
        self.fresh: Callable[[], bool] | None = None  # whether what is known is new enough to send by
        self.call_gate: CallGate | None = None  # fleet-wide budgets
        self.on_wait: Callable[[], None] | None = None  # a wait was told: another process may need it
        self.out = 0  # slots taken
        # Until what is known is fresh, the journal writes, and a budget has a place.
        self.parked: list[Call] = []
        self.stopped = False  # nothing new is sent, what is late is left to the journal

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
            self._respond(action.msg_id, send_no, action.endpoint, 0.0, Result(Outcome.MOOT))
            return
        stored = held.stored
        item = Item(held.number, send_no, stored.id, stored.key, stored.grade, stored.body, held.expires)
        give_up_at = now + max(0.0, action.give_up_after)
        if (full := calls.full(hop)) is not None:
            self.start(full)
        held.call = calls.add(item, hop, give_up_at)

    def start(self, call: Call) -> None:
        self.out += 1
        for item in call.items:
            if item.expires < call.give_up_at:  # its time ends before that of the call that it shares
                self._clock.call_at(item.expires, lambda item=item: self._item_late(call, item))  # type: ignore[misc]
        self._go(call)

    def _go(self, call: Call) -> None:
        stale = self.fresh is not None and not self.fresh()
        if self._journal.failing or stale or (self.call_gate is not None and not self.call_gate.start(call)):
            self.parked.append(call)
        else:
            self.next_hops.start(call)

    def release(self) -> None:
        """What was to be looked at before the next first byte has been, or the journal takes records again:
        parked calls go if they may.
        """
        parked, self.parked = self.parked, []
        for call in parked:
            if call.give_up_at > self._clock.now():
                self._go(call)
            else:
                self.finished(call, {})

    def cancel(self, call: Call) -> None:
        if call in self.parked:
            self.parked.remove(call)
            self.finished(call, {})
        else:
            self.next_hops.cancel(call)

    def _item_late(self, call: Call, item: Item) -> None:
        held = self._held.get(item.number)
        if held is not None and held.call is call and not item.reported and not self.stopped:
            item.reported = True
            # Its first byte may still wait for a connection: then it has not run, and never will.
            self._report(call, item, Result(Outcome.TIMEOUT if item in call.sent else Outcome.MOOT))

    def admit(self, call: Call, items: list[Item]) -> list[Item]:
        """Just before the first byte: which of these may go; their attempts are journalled."""
        if self.fresh is not None and not self.fresh():  # first: asking may bring news of the next hop
            return []
        now = self._clock.now()
        hop = self._table.hops.get(call.hop.id)
        if (
            self.stopped
            or hop is None
            or hop.entry.readiness != Readiness.READY
            or (hop.host, hop.port, hop.entry.owner) != (call.hop.host, call.hop.port, call.hop.entry.owner)
            or self._waits.get(self._limit(call.hop), 0.0) > now
            or call.give_up_at <= now
        ):
            return []
        going = []
        for item in items:
            held = self._held.get(item.number)
            if held is not None and not held.over and not item.reported and item.expires > now:
                going.append(item)
        if not going or (self.call_gate is not None and not self.call_gate.take(call)):
            return []
        try:
            self._journal.attempt([item.id for item in going], self._journal.time.of(now), hop.entry.zone)
        except JournalFullError as error:
            log.warning("journal-full", extra=kv(reason=error))
            return []
        call.sent = going
        return going

    def _limit(self, hop: NextHop) -> object:
        """What shares a limit, and so a told wait: a destination, or an endpoint where routes are apart."""
        return hop.id if self.rules.routes_apart[hop.entry.kind] else hop.entry.owner

    def finished(self, call: Call, results: dict[int, Result]) -> None:
        """The call holds its slot no longer. A message without a result was not sent."""
        self.out -= 1
        now = self._clock.now()
        if self.call_gate is not None:
            known = [results[item.number].outcome for item in call.sent if item.number in results]
            self.call_gate.finished(call, bool(known) and not set(known) & _MAY_STILL_RUN)
        for item in call.items:
            result = results.get(item.number, Result(Outcome.MOOT))
            if result.wait > 0:
                limit = self._limit(call.hop)
                self._waits[limit] = max(self._waits.get(limit, 0.0), now + result.wait)
                if self.on_wait is not None:
                    self.on_wait()
            held = self._held.get(item.number)
            if held is not None:
                held.call = None
                if result.outcome in _NEVER_RAN and item in call.sent:
                    self._journal.never_ran(item.id)
                if result.outcome == Outcome.OK and not held.over:
                    self._end(held, End(Status.DELIVERED))
                elif result.over and not held.over:  # withdrawn or out of time: nothing more is owed
                    self._end(held, End(Status.OVER))
            if not item.reported:
                self._report(call, item, result)

    def _report(self, call: Call, item: Item, result: Result) -> None:
        self._counts["attempt", result.outcome.name.lower()] += 1
        spent = self._clock.now() - call.started
        self._respond(item.number, item.send_no, call.hop.entry.endpoint, spent, result)

    def _respond(self, number: int, send_no: int, endpoint: bytes, spent: float, result: Result) -> None:
        over = result.over or result.outcome == Outcome.OK
        remark = result.note if result.outcome == Outcome.MOOT else math.ceil(result.wait * 1000)
        outcome, stale = result.outcome, result.stale
        self._hear(io.Response(number, spent, endpoint, outcome, send_no, over, remark, (), stale))
