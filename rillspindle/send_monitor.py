"""The run-time check: counts violations of the rules from records of its own, independent of the guard.

Pure: no I/O, no clock. It is notified after the fact of lists, waits, written bytes and outcomes. Any count
above 0 is a fault of the program. Times are seconds of one monotonic clock.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from rillspindle.interface import MessageClass
from rillspindle.list_evidence import ListEvidence

PAUSE_ALLOWANCE_S = 0.15  # between reading the clock and writing, allowed for in deadlines and windows
WAIT_SLACK_S = 0.1  # after the receipt of a required wait, in which calls are not counted
_MAX_WAITS = 1024  # kept before expired ones are dropped


class Rule(StrEnum):
    """What must never happen."""

    DRAIN = "drain"  # a first byte to a draining or removed endpoint, after the grace period
    UNCONFIRMED_LIST = "unconfirmed-list"  # a first byte by a list not confirmed as the newest
    DUPLICATE = "duplicate"  # a repeat not allowed by the message class
    CONCURRENT_CALLS = "two-out"  # a call of a message that has another one in flight
    WAIT = "wait"  # a call within a required wait
    LATE = "late"  # a last byte after the message expired
    NOT_ON_RECORD = "not-on-record"  # a call of a message that is not in the journal
    UNSAFE_REJECTION = "handed-back"  # rejected as harmless to submit again, but it may have run
    END_NOT_ON_RECORD = "end-not-on-record"  # an outcome reported that the next process would not know


class Violation(NamedTuple):
    """One violation of a rule."""

    rule: Rule
    message: str
    why: str


class EndpointAddress(NamedTuple):
    """An endpoint at an address; the same id at another address is another endpoint."""

    id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class SentMessage:
    """A message whose last byte has been written."""

    id: str
    message_class: MessageClass | None
    expires: float
    on_record: bool


@dataclass(slots=True)
class _Attempts:
    """The attempts of a message."""

    in_flight: bool = False
    may_have_run: bool = False
    first_at: float = math.inf
    zones: frozenset[int] = frozenset()


class SendMonitor:
    """Counts violations and calls `on_violation` for each."""

    def __init__(self, drain_grace_s: float, on_violation: Callable[[Violation], None]) -> None:
        self.drain_grace_s = drain_grace_s
        self.violations: Counter[Rule] = Counter(dict.fromkeys(Rule, 0))
        self._on_violation = on_violation
        self.evidence: ListEvidence | None = None  # for the list, where it comes from discovery
        self._ready: set[EndpointAddress] = set()
        self._left_at: dict[EndpointAddress, float] = {}  # when each was first draining or gone
        self._waits: dict[object, tuple[float, float]] = {}  # when received, and until when
        self._messages: dict[str, _Attempts] = {}

    # Notifications

    def list_applied(self, full: bool, states: Iterable[tuple[EndpointAddress, bool]], now: float) -> None:
        """A list was applied: endpoints and whether each is ready. A full list names all."""
        named = dict(states)
        ids = {endpoint.id for endpoint in named}
        gone = [
            endpoint for endpoint in self._ready if endpoint not in named and (full or endpoint.id in ids)
        ]
        for endpoint in [*gone, *(endpoint for endpoint, ready in named.items() if not ready)]:
            self._ready.discard(endpoint)
            self._left_at.setdefault(endpoint, now)
        for endpoint in (endpoint for endpoint, ready in named.items() if ready):
            self._ready.add(endpoint)
            self._left_at.pop(endpoint, None)

    def wait_required(self, limit: object, now: float, until: float) -> None:
        """A required wait was received for everything that shares this limit."""
        received_at, before = self._waits.get(limit, (now, -math.inf))
        self._waits[limit] = (received_at if before > now else now, max(before, until))
        if len(self._waits) > _MAX_WAITS:
            self._waits = {one: span for one, span in self._waits.items() if span[1] > now}

    def restored(self, message: str, maybe_ran: Sequence[tuple[float, int]]) -> None:
        """A previous process may have sent it at these times, in these zones."""
        if maybe_ran:
            first = min(at for at, _ in maybe_ran)
            zones = frozenset(zone for _, zone in maybe_ran)
            self._messages[message] = _Attempts(may_have_run=True, first_at=first, zones=zones)

    def forget(self, message: str) -> None:
        """Nothing more will happen to this message."""
        self._messages.pop(message, None)

    # Checked events

    def first_byte(self, messages: Collection[str], endpoint: EndpointAddress, now: float) -> None:
        """The first byte of a call was written."""
        self._check_list(messages, now)
        if endpoint in self._ready:
            return
        late = now - self._left_at.get(endpoint, -math.inf)
        if late > self.drain_grace_s:
            for message in messages:
                self._count(Rule.DRAIN, message, f"{endpoint.id} has been draining or gone for {late:.3f} s")

    def _check_list(self, messages: Collection[str], now: float) -> None:
        if self.evidence is None or now <= self.evidence.sends_allowed_until():
            return
        late = now - self.evidence.sends_allowed_until()
        for message in messages:
            self._count(
                Rule.UNCONFIRMED_LIST, message, f"the evidence for the list expired {late:.3f} s before"
            )

    def last_byte(self, messages: Collection[SentMessage], zone: int, limit: object, now: float) -> None:
        """The last byte of a call was written."""
        received_at, until = self._waits.get(limit, (math.inf, -math.inf))
        for message in messages:
            if received_at + WAIT_SLACK_S < now < until:
                self._count(Rule.WAIT, message.id, f"the required wait runs for another {until - now:.3f} s")
            if now > message.expires + PAUSE_ALLOWANCE_S:
                self._count(Rule.LATE, message.id, f"{now - message.expires:.3f} s after it expired")
            if not message.on_record:
                self._count(Rule.NOT_ON_RECORD, message.id, "it is not in the journal")
            self._record_attempt(message, zone, now)

    def _record_attempt(self, message: SentMessage, zone: int, now: float) -> None:
        attempts = self._messages.setdefault(message.id, _Attempts())
        if attempts.in_flight:
            self._count(Rule.CONCURRENT_CALLS, message.id, "another call of it is in flight")
        if attempts.may_have_run and (why := _forbidden_repeat(message.message_class, attempts, zone, now)):
            self._count(Rule.DUPLICATE, message.id, why)
        attempts.in_flight = True
        attempts.first_at = min(attempts.first_at, now)
        attempts.zones |= {zone}

    def outcome(self, message: str, never_ran: bool) -> None:
        """Its call has an outcome."""
        attempts = self._messages.get(message)
        if attempts is None or not attempts.in_flight:
            return
        attempts.in_flight = False
        attempts.may_have_run = attempts.may_have_run or not never_ran
        if not attempts.may_have_run:
            del self._messages[message]

    def rejected(self, message: str, message_class: MessageClass | None) -> None:
        """It was rejected: its client was notified that a resubmission is harmless."""
        attempts = self._messages.get(message)
        if attempts is None or not (attempts.in_flight or attempts.may_have_run):
            return
        semantics = message_class.semantics if message_class is not None else "at_most_once"
        dropped_anywhere = (
            message_class is not None and semantics == "deduplicated" and message_class.group == "all"
        )
        if semantics != "idempotent" and not dropped_anywhere:
            self._count(Rule.UNSAFE_REJECTION, message, "it may have run")

    def outcome_reported(self, message: str, on_record: bool, expires: float, now: float) -> None:
        """The outcome of a message was reported to the front."""
        if not on_record and now < expires:
            self._count(Rule.END_NOT_ON_RECORD, message, f"{expires - now:.3f} s before it expires")

    def _count(self, rule: Rule, message: str, why: str) -> None:
        self.violations[rule] += 1
        self._on_violation(Violation(rule, message, why))


def _forbidden_repeat(message_class: MessageClass | None, attempts: _Attempts, zone: int, now: float) -> str:
    """The reason why a repeat is not allowed; "" if it is."""
    if message_class is not None and message_class.semantics == "idempotent":
        return ""
    if message_class is None or message_class.semantics == "at_most_once":
        return "it may have run"
    if message_class.group != "all" and attempts.zones - {zone}:
        return "another zone may have run it"
    late = now - attempts.first_at - message_class.repeat_window
    return f"{late:.3f} s after its repeat window" if late > PAUSE_ALLOWANCE_S else ""
