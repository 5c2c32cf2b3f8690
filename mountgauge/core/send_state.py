"""The current state of a call's messages and endpoint, in the form that the send guard checks."""

from __future__ import annotations

import math

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
    """Reads the core's tables for the guard, and changes none of them."""

    def __init__(
        self, rules: io.Settings, table: HopTable, journal: Journal, pending: PendingMessages, waits: Waits
    ) -> None:
        self.rules = rules
        self.list_lease: LeaseCheck | None = None  # of the source of lists; None if lists need no lease
        self.stopped = False  # nothing new is sent
        self._table, self._journal, self._pending, self._waits = table, journal, pending, waits

    def list_lease_end(self, dest: int) -> LeaseEnd | None:
        """Why the list may not be used for calls to this destination now; None if it may."""
        return None if self.list_lease is None else self.list_lease(dest)

    def limit(self, hop: NextHop) -> object:
        """The key of what shares a limit, and therefore a required wait: a destination, or a single endpoint
        of a kind whose endpoints have limits of their own (`routes_apart`).
        """
        return hop.id if self.rules.routes_apart[hop.entry.kind] else hop.entry.owner

    def endpoint(self, call: Call) -> EndpointState:
        """The state of a call's endpoint."""
        # Checked before the table is read, as the check may bring in a list update that changes the next hop.
        valid = self.list_lease_end(call.hop.entry.owner) is None
        hop = self._table.hops.get(call.hop.id)
        location = (call.hop.host, call.hop.port, call.hop.entry.owner)
        if hop is None or (hop.host, hop.port, hop.entry.owner) != location:
            return EndpointState(False, list_valid=valid, stopped=self.stopped)
        wait_until = self._waits.get(self.limit(call.hop), -math.inf)
        listed = hop.entry.readiness == Readiness.READY
        return EndpointState(listed, hop.entry.zone, wait_until, valid, self.stopped)

    def message(self, item: CallItem) -> MessageState:
        """The state of a call's message; one that is no longer pending has finished."""
        message = self._pending.get(item.number)
        if message is None:
            return MessageState(item.expires, None, (), finished=True)
        return MessageState(
            item.expires,
            item.message_class,
            self.maybe_ran(item.number),
            message.finished or item.reported,
            item.id in self._journal.live,
        )

    def maybe_ran(self, number: int) -> list[tuple[float, int]]:
        """When, on the sender's clock, and in which zone the attempts of a pending message began that may
        have run.
        """
        message = self._pending.get(number)
        if message is None:
            return []
        return [(self._journal.time.monotonic(at), zone) for at, zone in message.stored.maybe_ran]

    def useful_until(self, call: Call) -> float:
        """Until when a waiting call may still be sent with any of its messages."""
        latest = [self._repeat_until(call, item) for item in call.items]
        return min(call.times_out_at, max(latest))

    def _repeat_until(self, call: Call, item: CallItem) -> float:
        until = send_guard.repeat_until(item.message_class, self.maybe_ran(item.number), call.hop.entry.zone)
        return -math.inf if isinstance(until, Refusal) else until
