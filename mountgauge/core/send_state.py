"""What the core knows of a call's messages and endpoint at this moment, in the guard's terms."""

from __future__ import annotations

import math
from collections.abc import Mapping

from mountgauge.core.hop_table import HopTable
from mountgauge.core.journal import Journal
from mountgauge.core.list_lease import LeaseCheck, LeaseEnd
from mountgauge.core.pending_messages import PendingMessages
from mountgauge.core.ports import Call, CallItem, NextHop
from mountgauge.core.waits import Waits
from rillspindle import interface as io
from rillspindle import send_guard
from rillspindle.interface import Readiness
from rillspindle.send_guard import EndpointState, MessageState, Refusal


class SendState:
    """Reads the core's tables for the guard; it changes none of them."""

    def __init__(
        self, rules: io.Settings, table: HopTable, journal: Journal, held: PendingMessages, waits: Waits
    ) -> None:
        self.rules = rules
        self.grades: Mapping[str, io.Grade] = {}  # by the classes' names
        self.list_lease: LeaseCheck | None = None  # of the source of lists; None: they need none
        self.stopped = False  # nothing new is sent
        self._table, self._journal, self._held, self._waits = table, journal, held, waits

    def list_ended(self, dest: int) -> LeaseEnd | None:
        """Why no call to this destination may go by the list now; None: it may."""
        return None if self.list_lease is None else self.list_lease(dest)

    def limit(self, hop: NextHop) -> object:
        """What shares a limit, and so a told wait: a destination, or an endpoint where routes are apart."""
        return hop.id if self.rules.routes_apart[hop.entry.kind] else hop.entry.owner

    def endpoint(self, call: Call) -> EndpointState:
        """The endpoint of a call."""
        valid = self.list_ended(call.hop.entry.owner) is None  # first: asking may bring news of the next hop
        hop = self._table.hops.get(call.hop.id)
        place = (call.hop.host, call.hop.port, call.hop.entry.owner)
        if hop is None or (hop.host, hop.port, hop.entry.owner) != place:
            return EndpointState(False, list_valid=valid, stopped=self.stopped)
        wait_until = self._waits.get(self.limit(call.hop), -math.inf)
        listed = hop.entry.readiness == Readiness.READY
        return EndpointState(listed, hop.entry.zone, wait_until, valid, self.stopped)

    def message(self, item: CallItem) -> MessageState:
        """A message of a call; one that is not held any more has ended."""
        held = self._held.get(item.number)
        if held is None:
            return MessageState(item.expires, None, (), ended=True)
        return MessageState(
            item.expires,
            self.grades.get(item.grade),
            self.ran(item.number),
            held.over or item.reported,
            item.id in self._journal.live,
        )

    def ran(self, number: int) -> list[tuple[float, int]]:
        """The attempts of a held message that may have run: when on the sender's clock, and in which zone."""
        held = self._held.get(number)
        if held is None:
            return []
        return [(self._journal.time.monotonic(at), zone) for at, zone in held.stored.ran]

    def useful_until(self, call: Call) -> float:
        """Until when a call that waits may still be sent with any of its messages."""
        found = [self._repeat_until(call, item) for item in call.items]
        return min(call.times_out_at, max(found))

    def _repeat_until(self, call: Call, item: CallItem) -> float:
        grade = self.grades.get(item.grade)
        until = send_guard.repeat_until(grade, self.ran(item.number), call.hop.entry.zone)
        return -math.inf if isinstance(until, Refusal) else until
