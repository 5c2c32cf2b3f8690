"""The run-time check: counts what took effect against a rule, by its own records and apart from the guard.

Pure: no I/O, no clock. It is told what happens when it has happened: lists, waits, bytes that have left,
outcomes, ends. Any count above 0 is a fault of the program. Times are seconds of one monotonic clock.
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

HOLD_UP_S = 0.15  # between reading a clock and writing, for which deadlines and windows allow
WAIT_SLACK_S = 0.1  # after a wait was told, within which calls are let through
_SWEEP_PAST = 1024  # waits that are kept before those that are over are dropped


class Rule(StrEnum):
    """What must never take effect."""

    DRAIN = "drain"  # a first byte to an endpoint that drains or has gone, past the grace
    UNCONFIRMED_LIST = "unconfirmed-list"  # a first byte by a list that nothing has shown to be the newest
    DUPLICATE = "duplicate"  # a repeat that the class does not allow
    TWO_OUT = "two-out"  # a call of a message that has another one out
    WAIT = "wait"  # a call within a told wait
    LATE = "late"  # a last byte past the message's time
    NOT_ON_RECORD = "not-on-record"  # a call that the journal does not know
    HANDED_BACK = "handed-back"  # a message that may have run, told as harmless to hand in again
    END_NOT_ON_RECORD = "end-not-on-record"  # told of a message that the next process would send


class Violation(NamedTuple):
    """One effect against a rule."""

    rule: Rule
    message: str
    why: str


class EndpointAddress(NamedTuple):
    """An endpoint at an address: under an old id at a new address it is another one."""

    id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class SentMessage:
    """A message whose last byte has left."""

    id: str
    grade: MessageClass | None
    expires: float
    on_record: bool


@dataclass(slots=True)
class _Attempts:
    """What is known of a message's attempts."""

    out: bool = False
    may_have_run: bool = False
    first_at: float = math.inf
    zones: frozenset[int] = frozenset()


class SendMonitor:
    """Counts violations, and tells `on_violation` of each."""

    def __init__(self, drain_grace_s: float, on_violation: Callable[[Violation], None]) -> None:
        self.drain_grace_s = drain_grace_s
        self.violations: Counter[Rule] = Counter(dict.fromkeys(Rule, 0))
        self._on_violation = on_violation
        self.evidence: ListEvidence | None = None  # for the list, where a source is asked for it
        self._ready: set[EndpointAddress] = set()
        self._left: dict[EndpointAddress, float] = {}  # since when each is known to drain or to have gone
        self._waits: dict[object, tuple[float, float]] = {}  # when told, and until when
        self._messages: dict[str, _Attempts] = {}

    # What is known

    def list_applied(self, whole: bool, states: Iterable[tuple[EndpointAddress, bool]], now: float) -> None:
        """A list has been taken in: endpoints and whether each is ready. A whole list names all there are."""
        named = dict(states)
        ids = {place.id for place in named}
        gone = [place for place in self._ready if place not in named and (whole or place.id in ids)]
        for place in [*gone, *(place for place, ready in named.items() if not ready)]:
            self._ready.discard(place)
            self._left.setdefault(place, now)
        for place in (place for place, ready in named.items() if ready):
            self._ready.add(place)
            self._left.pop(place, None)

    def wait_required(self, limit: object, now: float, until: float) -> None:
        """What shares this limit is to be left alone."""
        told_at, before = self._waits.get(limit, (now, -math.inf))
        self._waits[limit] = (told_at if before > now else now, max(before, until))
        if len(self._waits) > _SWEEP_PAST:
            self._waits = {one: span for one, span in self._waits.items() if span[1] > now}

    def restored(self, message: str, ran: Sequence[tuple[float, int]]) -> None:
        """An earlier process may have sent it then and there."""
        if ran:
            first = min(at for at, _ in ran)
            zones = frozenset(zone for _, zone in ran)
            self._messages[message] = _Attempts(may_have_run=True, first_at=first, zones=zones)

    def forget(self, message: str) -> None:
        """Nothing more becomes of this message."""
        self._messages.pop(message, None)

    # What takes effect

    def first_byte(self, messages: Collection[str], place: EndpointAddress, now: float) -> None:
        """A call has begun to leave."""
        self._check_list(messages, now)
        if place in self._ready:
            return
        late = now - self._left.get(place, -math.inf)
        if late > self.drain_grace_s:
            for message in messages:
                self._count(Rule.DRAIN, message, f"{place.id} left {late:.3f} s before")

    def _check_list(self, messages: Collection[str], now: float) -> None:
        if self.evidence is None or now <= self.evidence.sends_until():
            return
        late = now - self.evidence.sends_until()
        for message in messages:
            self._count(Rule.UNCONFIRMED_LIST, message, f"the newest evidence ended {late:.3f} s before")

    def last_byte(self, messages: Collection[SentMessage], zone: int, limit: object, now: float) -> None:
        """A call has left in full."""
        told_at, until = self._waits.get(limit, (math.inf, -math.inf))
        for message in messages:
            if told_at + WAIT_SLACK_S < now < until:
                self._count(Rule.WAIT, message.id, f"told to wait {until - now:.3f} s longer")
            if now > message.expires + HOLD_UP_S:
                self._count(Rule.LATE, message.id, f"{now - message.expires:.3f} s past its time")
            if not message.on_record:
                self._count(Rule.NOT_ON_RECORD, message.id, "the journal does not hold it")
            self._sent(message, zone, now)

    def _sent(self, message: SentMessage, zone: int, now: float) -> None:
        attempts = self._messages.setdefault(message.id, _Attempts())
        if attempts.out:
            self._count(Rule.TWO_OUT, message.id, "another call of it is out")
        if attempts.may_have_run and (why := _forbidden_repeat(message.grade, attempts, zone, now)):
            self._count(Rule.DUPLICATE, message.id, why)
        attempts.out = True
        attempts.first_at = min(attempts.first_at, now)
        attempts.zones |= {zone}

    def outcome(self, message: str, never_ran: bool) -> None:
        """Its call is over."""
        attempts = self._messages.get(message)
        if attempts is None or not attempts.out:
            return
        attempts.out = False
        attempts.may_have_run = attempts.may_have_run or not never_ran
        if not attempts.may_have_run:
            del self._messages[message]

    def rejected(self, message: str, grade: MessageClass | None) -> None:
        """Its client was told that it may hand the message in again."""
        attempts = self._messages.get(message)
        if attempts is None or not (attempts.out or attempts.may_have_run):
            return
        semantics = grade.semantics if grade is not None else "at_most_once"
        dropped_anywhere = grade is not None and semantics == "deduplicated" and grade.group == "all"
        if semantics != "idempotent" and not dropped_anywhere:
            self._count(Rule.HANDED_BACK, message, "it may have run")

    def outcome_reported(self, message: str, on_record: bool, expires: float, now: float) -> None:
        """The front was told how a message ended."""
        if not on_record and now < expires:
            self._count(Rule.END_NOT_ON_RECORD, message, f"{expires - now:.3f} s before its time")

    def _count(self, rule: Rule, message: str, why: str) -> None:
        self.violations[rule] += 1
        self._on_violation(Violation(rule, message, why))


def _forbidden_repeat(grade: MessageClass | None, attempts: _Attempts, zone: int, now: float) -> str:
    """Why a repeat is not allowed; "" where it is."""
    if grade is not None and grade.semantics == "idempotent":
        return ""
    if grade is None or grade.semantics == "at_most_once":
        return "it may have run"
    if grade.group != "all" and attempts.zones - {zone}:
        return "another zone may have run it"
    late = now - attempts.first_at - grade.repeat_window
    return f"{late:.3f} s past its window" if late > HOLD_UP_S else ""
