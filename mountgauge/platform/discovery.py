"""Discovery's list of next hops over HTTP/1.1: the sockets round `DiscoveryWatch`, which decides when to ask.

The calls share one kept connection; while one of them is late, the next goes on a connection of its own.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Any, Protocol

import orjson

from mountgauge.core.config import Address, MapUpdate, Names
from mountgauge.core.list_lease import LeaseEnd
from mountgauge.http1 import Connection, Message, State
from mountgauge.lease_log import LeaseLog
from mountgauge.log import kv
from mountgauge.platform.call_log import CallEvent, CallLog
from mountgauge.platform.list_call import DroppedCall, DropReason, Failure, ListCall
from mountgauge.platform.list_exchange import ListExchange
from mountgauge.platform.watch import DiscoveryWatch
from mountgauge.platform.watch_bounds import WatchBounds
from rillspindle.list_evidence import AnsweredCall, ListEvidence, RefusedCall

log = logging.getLogger("mountgauge.platform.discovery")


class MapOwner(Protocol):
    """Who is told of lists: the core."""

    version: int

    def list_changed(self, update: MapUpdate) -> None:
        """A whole list, or what has changed, has come."""


class TransportMap:
    """Keeps the owner's list as discovery has it."""

    def __init__(
        self,
        owner: MapOwner,
        address: Address,
        names: Names,
        bounds: WatchBounds,
        rng: Random | None = None,
        evidence: ListEvidence | None = None,
    ) -> None:
        """`evidence`: of the run-time check, which hears what becomes of the calls."""
        self._evidence = evidence
        self._owner, self._address, self._names = owner, address, names
        self._watch = DiscoveryWatch(bounds, rng or Random())
        self._exchanges: dict[ListCall, ListExchange] = {}
        self._kept: Connection | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._calls = CallLog(self._now)
        self._lease = LeaseLog()

    # What the core and the runtime ask for

    def watch(self, on: bool) -> None:
        """Follow the list from now on, or no longer."""
        if on:
            self._watch.start(self._now())
            if self._evidence is not None:
                self._evidence.began(self._now())
        else:
            self._watch.stop(self._now())
        self._step()

    def snapshot(self) -> None:
        """Ask for the whole list now: a watch that is out may wait long for news."""
        self._watch.ask_whole(self._now())
        self.watch(True)

    def look_now(self) -> bool:
        """Ask for the whole list at once, whatever was under way: the answer is still to come."""
        self.snapshot()
        return False

    def move(self, address: Address) -> None:
        """Another address from now on: its whole list is asked for at once, whatever the old one did."""
        self._address = address
        self._forget_kept()
        self._watch.move(self._now())
        self.watch(True)

    def retune(self, names: Names, bounds: WatchBounds) -> None:
        """Heed new settings."""
        self._names = names
        self._watch.retune(bounds, self._now())
        self._step()

    def close(self) -> None:
        """End all calls."""
        self.watch(False)
        self._forget_kept()

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """What has become of the calls so far, and what ended the lease on the list."""
        return self._calls.counts + self._lease.counts

    def state(self) -> Mapping[str, Any]:
        """For the state line: how old the list is, and the calls that are out."""
        now, out = self._now(), self._watch.open_calls
        self.lease_ended()
        return {
            **self._lease.state(self._watch.list_age_s(now)),
            "list_calls_out": len(out),
            "list_call_oldest_s": round(now - out[0].made_at, 3) if out else 0.0,
        }

    def lease_ended(self) -> LeaseEnd | None:
        """Why nothing may be sent by the list now; None: it may."""
        now = self._now()
        unread = self._exchanges_end_it()  # looked at in any case: it shows since when an answer is unwritten
        ended = self._watch.lease_ended(now) or unread
        self._lease.record(ended, self._watch.list_age_s(now))
        return ended

    def cut_off(self) -> bool:
        """Whether what is taken on now could be neither sent nor ended: the way to the platform is cut."""
        return self._watch.cut_off(self._now())

    def _exchanges_end_it(self) -> LeaseEnd | None:
        if any([exchange.is_coming for exchange in self._exchanges.values()]):
            return LeaseEnd.ANSWER_UNREAD
        if any(exchange.lies_unsent for exchange in self._exchanges.values()):
            return LeaseEnd.NOT_ASKED
        return None

    # What the exchanges tell

    def connected(self, exchange: ListExchange) -> bool:
        """The connection of a call has come up; whether it is to ask."""
        asks = self._watch.connected(exchange.call, self._now())
        if asks:
            self._calls.asked(exchange.call)
        elif self._exchanges.pop(exchange.call, None) is not None:
            self._calls.closed(exchange.call, CallEvent.DROPPED, DropReason.NEEDLESS.value)
        self._wake_in_time()
        return asks

    def unsent(self, exchange: ListExchange) -> None:
        """Its request lies in the process, as the socket does not take it."""
        self._watch.unsent(self._now())

    def sent(self, exchange: ListExchange) -> None:
        """Such a request has left in full."""
        if exchange.call in self._exchanges:
            self._watch.sent(exchange.call, self._now())
            self._step()

    def answered(self, exchange: ListExchange, message: Message, connection: Connection) -> None:
        """A whole answer has come."""
        if self._exchanges.pop(exchange.call, None) is None:
            return
        self._keep(exchange.call, connection)
        try:
            update = self._read(message)
        except ValueError as error:
            failure = Failure.SPOILT if message.status == 200 else Failure.BUSY
            self._fail(exchange.call, failure, str(error))
            return
        self._calls.answered(exchange.call, update.version)
        self._show_answer(exchange.call, update)
        taken = self._watch.answered(
            exchange.call, update.version, self._now(), update.incomplete, exchange.unwritten_at
        )
        if taken:
            self._take_in(update)
        self._step()

    def failed(self, exchange: ListExchange, failure: Failure, why: str) -> None:
        """The call has ended without a whole answer."""
        if self._exchanges.pop(exchange.call, None) is not None:
            self._fail(exchange.call, failure, why)

    def lost(self, connection: Connection) -> None:
        """A connection has ended."""
        if connection is self._kept:
            self._kept = None

    # Within

    def _show_answer(self, call: ListCall, update: MapUpdate) -> None:
        if self._evidence is None or call.address != self._watch.address or update.incomplete:
            return
        newer = call.index is None or update.version > call.index
        self._evidence.answered(AnsweredCall(call.made_at, call.wait_s, newer, self._now()))

    def _show_end(self, call: ListCall, failure: Failure) -> None:
        if self._evidence is None or call.address != self._watch.address:
            return
        now = self._now()
        match failure:
            case Failure.SPOILT:
                self._evidence.answer_lost(now)
            case Failure.REFUSED:
                self._evidence.dial_refused(now)
            case Failure.UNREACHED:
                self._evidence.unanswered()
            case Failure.BUSY | Failure.BROKEN:
                in_words = failure is Failure.BUSY
                self._evidence.refused(RefusedCall(call.made_at, call.wait_s, now, in_words))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _read(self, message: Message) -> MapUpdate:
        if message.status != 200:
            raise ValueError(f"status {message.status}")
        return self._names.update(orjson.loads(message.body))

    def _take_in(self, update: MapUpdate) -> None:
        if update.hops or update.full:
            changed = len(update.hops)
            log.info("map", extra=kv(version=update.version, full=update.full, changed=changed))
        try:
            self._owner.list_changed(update)
        except Exception:  # whatever a list sets off, the watch does not end with it
            log.exception("list-not-taken-in", extra=kv(version=update.version))
            self._watch.distrust(self._now())

    def _fail(self, call: ListCall, failure: Failure, why: str) -> None:
        self._calls.failed(call, failure, why)
        self._show_end(call, failure)
        self._watch.failed(call, failure, self._now())
        failures, lease = self._watch.failures, self._watch.lease_ended(self._now()) or "valid"
        log.warning("watch-failed", extra=kv(kind=failure.value, error=why, failures=failures, lease=lease))
        self._step()

    def _step(self) -> None:
        """Make and close the calls that are due, and come back when the next ones are."""
        now = self._now()
        step = self._watch.poll(now, self._owner.version)
        for dropped in step.drop:
            self._close(dropped, now)
        if step.make and self._exchanges and self._evidence is not None:
            self._evidence.unanswered()
        for call in step.make:
            exchange = self._exchanges[call] = ListExchange(self, call, self._address)
            kept = self._take_kept()
            self._calls.made(call, kept is not None)
            exchange.begin(kept)
        self._wake_in_time()

    def _close(self, dropped: DroppedCall, now: float) -> None:
        call = dropped.call
        if (exchange := self._exchanges.pop(call, None)) is None:
            return
        given_up = dropped.reason in (DropReason.NO_ANSWER, DropReason.NO_CONNECTION)
        event = CallEvent.GIVEN_UP if given_up else CallEvent.DROPPED
        self._calls.closed(call, event, dropped.reason.value)
        # Of two calls to be answered at once the newer one's answer tells what the older one's does.
        if exchange.answer_arrived and not call.short:
            self._watch.distrust(now)
        exchange.close()

    def _wake_in_time(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self._watch.wakes_at()) < float("inf"):
            self._timer = asyncio.get_running_loop().call_at(at, self._step)

    def _keep(self, call: ListCall, connection: Connection) -> None:
        current = connection.state is State.IDLE and call.address == self._watch.address
        if current and self._kept is None:
            self._kept = connection
        elif connection.state is State.IDLE:
            connection.close()

    def _take_kept(self) -> Connection | None:
        connection, self._kept = self._kept, None
        if connection is None:
            return None
        if connection.state is State.IDLE and connection.silent:
            return connection
        connection.close()
        return None

    def _forget_kept(self) -> None:
        if self._kept is not None:
            self._kept.close()
