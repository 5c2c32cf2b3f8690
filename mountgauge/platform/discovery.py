"""The client of discovery, which fetches and watches the list of next hops over HTTP/1.1.

This module does the I/O; `DiscoveryWatch` decides when a call is made. The calls share one kept connection.
While a call on it is late, the next call gets a connection of its own.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Any, Protocol

import orjson

from mountgauge.core.config import Address, MapUpdate, SettingNames
from mountgauge.core.list_lease import LeaseEnd
from mountgauge.http1 import Connection, Message, State
from mountgauge.lease_log import LeaseLog
from mountgauge.log import kv
from mountgauge.platform.call_log import CallEvent, CallLog
from mountgauge.platform.evidence_file import EvidenceFile
from mountgauge.platform.list_call import DroppedCall, DropReason, Failure, ListCall
from mountgauge.platform.list_exchange import ListExchange
from mountgauge.platform.saved_evidence import DatedList
from mountgauge.platform.watch import DiscoveryWatch
from mountgauge.platform.watch_bounds import WatchBounds
from rillspindle.list_evidence import AnsweredCall, ListEvidence, RefusedCall

log = logging.getLogger("mountgauge.platform.discovery")


class MapOwner(Protocol):
    """Receives the lists: the core."""

    version: int

    def list_changed(self, update: MapUpdate) -> None:
        """A full list, or the changes since the last one, was received."""


class TransportMap:
    """Keeps the owner's list in step with discovery's."""

    def __init__(
        self,
        owner: MapOwner,
        address: Address,
        names: SettingNames,
        bounds: WatchBounds,
        rng: Random | None = None,
        evidence: ListEvidence | None = None,
        evidence_file: EvidenceFile | None = None,
    ) -> None:
        """`evidence`: the run-time check's own record of how the calls end. `evidence_file`: where the
        evidence for the list outlasts the process.
        """
        self._evidence = evidence
        self._evidence_file = evidence_file
        self._owner, self._address, self._names = owner, address, names
        self._watch = DiscoveryWatch(bounds, rng or Random())
        self._exchanges: dict[ListCall, ListExchange] = {}
        self._kept_connection: Connection | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._calls = CallLog(self._now)
        self._lease = LeaseLog()

    # For the core and the runtime

    def watch(self, on: bool) -> None:
        """Start or stop watching the list."""
        if on:
            self._start()
        else:
            self._watch.stop(self._now())
        self._step()

    def _start(self) -> None:
        now = self._now()
        if self._watch.never_started:
            dated = self._date_start_list()
            if self._evidence is not None:
                self._evidence.started(now, None if dated is None else dated.confirmed_at)
            self._watch.process_started(now, dated)
        self._watch.start(now)

    def _date_start_list(self) -> DatedList | None:
        """Date the list that this process was started with; None if its age is unknown."""
        if self._evidence_file is None:
            return None
        return self._evidence_file.date_list(self._address, self._owner.version)

    def snapshot(self) -> None:
        """Request the full list now, beside a watch in flight, which may wait long for a change."""
        self._watch.request_full_list(self._now())
        self.watch(True)

    def refresh_now(self) -> bool:
        """Request the full list at once; return False, as its answer is still to come."""
        self.snapshot()
        return False

    def move(self, address: Address) -> None:
        """Switch to another address, and request its full list at once, beside the calls to the old one."""
        self._address = address
        self._close_kept_connection()
        self._watch.move(self._now())
        self.watch(True)

    def apply_settings(self, names: SettingNames, bounds: WatchBounds) -> None:
        """Apply new settings."""
        self._names = names
        self._watch.apply_settings(bounds, self._now())
        self._step()

    def close(self) -> None:
        """Close all calls and the kept connection."""
        self.watch(False)
        self._close_kept_connection()

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """How the calls so far have ended, and why the lease on the list has ended."""
        return self._calls.counts + self._lease.counts

    def state(self) -> Mapping[str, Any]:
        """Return the fields of the state line: the age of the list, and the calls in flight."""
        now, open_calls = self._now(), self._watch.open_calls
        self.lease_end_reason()
        return {
            **self._lease.state(self._watch.list_age_s(now)),
            "list_calls_out": len(open_calls),
            "list_call_oldest_s": round(now - open_calls[0].made_at, 3) if open_calls else 0.0,
        }

    def lease_end_reason(self) -> LeaseEnd | None:
        """Return why the list may not be used now, or None if it may be."""
        now = self._now()
        # Evaluated in any case, as it also records when a socket was last found empty.
        exchange_end = self._exchange_lease_end()
        end_reason = self._watch.lease_end_reason(now) or exchange_end
        self._lease.record(end_reason, self._watch.list_age_s(now))
        return end_reason

    def isolated(self) -> bool:
        """Whether the network to the platform is cut, so that a message accepted now could neither be sent
        nor be reported as undelivered.
        """
        return self._watch.isolated(self._now())

    def lacks_list(self) -> bool:
        """Whether discovery has failed a call, and has not confirmed the list since the process started."""
        return self._watch.lacks_list(self._now())

    def _exchange_lease_end(self) -> LeaseEnd | None:
        if any([exchange.answer_pending for exchange in self._exchanges.values()]):
            return LeaseEnd.ANSWER_UNREAD
        if any(exchange.request_unsent for exchange in self._exchanges.values()):
            return LeaseEnd.NO_REQUEST
        return None

    # Events of the exchanges

    def connected(self, exchange: ListExchange) -> bool:
        """The connection of a call is established; return whether its request is to be sent."""
        to_send = self._watch.connected(exchange.call, self._now())
        if to_send:
            self._calls.asked(exchange.call)
        elif self._exchanges.pop(exchange.call, None) is not None:
            self._calls.closed(exchange.call, CallEvent.DROPPED, DropReason.NEEDLESS.value)
        self._schedule_poll()
        return to_send

    def request_blocked(self, exchange: ListExchange) -> None:
        """Its request is buffered in this process, as the socket does not accept it."""
        self._watch.request_blocked(self._now())

    def request_flushed(self, exchange: ListExchange) -> None:
        """A request that was buffered has been sent in full."""
        if exchange.call in self._exchanges:
            self._watch.request_flushed(exchange.call, self._now())
            self._step()

    def answered(self, exchange: ListExchange, message: Message, connection: Connection) -> None:
        """A complete answer was received."""
        if self._exchanges.pop(exchange.call, None) is None:
            return
        self._keep_connection(exchange.call, connection)
        try:
            update = self._parse(message)
        except ValueError as error:
            failure = Failure.CORRUPT if message.status == 200 else Failure.BUSY
            self._handle_failure(exchange.call, failure, str(error))
            return
        self._calls.answered(exchange.call, update.version)
        self._report_answer(exchange.call, update)
        usable = self._watch.answered(
            exchange.call, update.version, self._now(), update.incomplete, exchange.socket_empty_at
        )
        if usable:
            self._apply(update)
        self._step()

    def failed(self, exchange: ListExchange, failure: Failure, detail: str) -> None:
        """The call ended without a complete answer."""
        if self._exchanges.pop(exchange.call, None) is not None:
            self._handle_failure(exchange.call, failure, detail)

    def lost(self, connection: Connection) -> None:
        """A connection ended."""
        if connection is self._kept_connection:
            self._kept_connection = None

    # Internal

    def _report_answer(self, call: ListCall, update: MapUpdate) -> None:
        if self._evidence is None or call.address != self._watch.address or update.incomplete:
            return
        newer = call.index is None or update.version > call.index
        self._evidence.answered(AnsweredCall(call.made_at, call.wait_s, newer, self._now()))

    def _report_failure(self, call: ListCall, failure: Failure) -> None:
        if self._evidence is None or call.address != self._watch.address:
            return
        now = self._now()
        match failure:
            case Failure.CORRUPT:
                self._evidence.answer_lost(now)
            case Failure.REFUSED:
                self._evidence.connection_refused(now)
            case Failure.NOT_SENT:
                self._evidence.unanswered()
            case Failure.BUSY | Failure.BROKEN:
                by_status = failure is Failure.BUSY
                self._evidence.refused(RefusedCall(call.made_at, call.wait_s, now, by_status))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _parse(self, message: Message) -> MapUpdate:
        if message.status != 200:
            raise ValueError(f"status {message.status}")
        return self._names.update(orjson.loads(message.body))

    def _apply(self, update: MapUpdate) -> None:
        if update.hops or update.full:
            changed = len(update.hops)
            log.info("map", extra=kv(version=update.version, full=update.full, changed=changed))
        try:
            self._owner.list_changed(update)
        except Exception:  # the watch must go on, whatever fails in applying a list
            log.exception("list-not-taken-in", extra=kv(version=update.version))
            self._watch.invalidate_list(self._now())

    def _handle_failure(self, call: ListCall, failure: Failure, detail: str) -> None:
        self._calls.failed(call, failure, detail)
        self._report_failure(call, failure)
        self._watch.failed(call, failure, self._now())
        failures, lease = self._watch.failures, self._watch.lease_end_reason(self._now()) or "valid"
        log.warning(
            "watch-failed", extra=kv(kind=failure.value, error=detail, failures=failures, lease=lease)
        )
        self._step()

    def _step(self) -> None:
        """Make and close the calls that are due, and schedule the next poll."""
        now = self._now()
        result = self._watch.poll(now, self._owner.version)
        for dropped in result.drop:
            self._close_call(dropped, now)
        if result.make and self._exchanges and self._evidence is not None:
            self._evidence.unanswered()
        for call in result.make:
            exchange = self._exchanges[call] = ListExchange(self, call, self._address)
            kept = self._take_kept_connection()
            self._calls.made(call, kept is not None)
            exchange.begin(kept)
        self._save_evidence()
        self._schedule_poll()

    def _save_evidence(self) -> None:
        if self._evidence_file is None or not self._watch.on:
            return
        if self._watch.is_moving:
            self._evidence_file.keep_only_for(self._owner.version)
        else:
            confirmed_at = self._watch.outlasting_evidence_at
            self._evidence_file.save(confirmed_at, self._address, self._owner.version)

    def _close_call(self, dropped: DroppedCall, now: float) -> None:
        call = dropped.call
        if (exchange := self._exchanges.pop(call, None)) is None:
            return
        timed_out = dropped.reason in (DropReason.NO_ANSWER, DropReason.NO_CONNECTION)
        event = CallEvent.TIMED_OUT if timed_out else CallEvent.DROPPED
        self._calls.closed(call, event, dropped.reason.value)
        # A short call that a newer one replaces is no loss: the newer answer contains all of the older one.
        if exchange.answer_arrived and not call.short:
            self._watch.invalidate_list(now)
        exchange.close()

    def _schedule_poll(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self._watch.wakes_at()) < float("inf"):
            self._timer = asyncio.get_running_loop().call_at(at, self._step)

    def _keep_connection(self, call: ListCall, connection: Connection) -> None:
        current = connection.state is State.IDLE and call.address == self._watch.address
        if current and self._kept_connection is None:
            self._kept_connection = connection
        elif connection.state is State.IDLE:
            connection.close()

    def _take_kept_connection(self) -> Connection | None:
        connection, self._kept_connection = self._kept_connection, None
        if connection is None:
            return None
        if connection.state is State.IDLE and connection.has_no_unread_data:
            return connection
        connection.close()
        return None

    def _close_kept_connection(self) -> None:
        if self._kept_connection is not None:
            self._kept_connection.close()
