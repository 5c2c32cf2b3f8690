"""The guard and the run-time check: tables of what each allows, and that they agree."""

from __future__ import annotations

import dataclasses
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rillspindle.interface import MessageClass
from rillspindle.send_guard import (
    TRANSIT_S,
    UNREAD_JOURNAL_S,
    EndpointState,
    MessageState,
    Refusal,
    SendPermit,
    holds,
    may_accept,
    may_reject,
    may_tell_end,
    permit_send,
    repeat_until,
)
from rillspindle.send_monitor import (
    PAUSE_ALLOWANCE_S,
    EndpointAddress,
    Rule,
    SendMonitor,
    SentMessage,
    Violation,
)

NOW, WINDOW_S, GRACE_S = 100.0, 7.0, 0.25
READY = EndpointState(True)
HOP = EndpointAddress("h", "127.0.0.1", 1)


def message_class(semantics: str, group: str = "all") -> MessageClass:
    return MessageClass(2.0, 12.0, semantics, group, WINDOW_S, False, 1.0, 0.2)


IDEMPOTENT, KEYED, ZONED, ONCE = (
    message_class("idempotent"), message_class("deduplicated"), message_class("deduplicated", "zone"),
    message_class("at_most_once"),
)  # fmt: skip


def message(
    kind: MessageClass | None = IDEMPOTENT, *ran: tuple[float, int], expires: float = 110.0
) -> MessageState:
    return MessageState(expires, kind, ran)


def test_a_permit_ends_with_the_first_of_its_conditions() -> None:
    assert permit_send(message(), READY, 108.0, NOW) == SendPermit(108.0)
    assert permit_send(message(expires=105.0), READY, 108.0, NOW) == SendPermit(105.0)
    repeat = permit_send(message(KEYED, (96.0, 0), (98.0, 0)), READY, 108.0, NOW)
    assert repeat == SendPermit(96.0 + WINDOW_S - TRANSIT_S)


@pytest.mark.parametrize(("endpoint", "why"), [
    (EndpointState(False), Refusal.ENDPOINT_LEFT),
    (EndpointState(True, wait_until=NOW + 1), Refusal.WAIT_REQUIRED),
    (EndpointState(True, list_valid=False), Refusal.LIST_LEASE_ENDED),
    (EndpointState(True, stopped=True), Refusal.STOPPED),
])  # fmt: skip
def test_an_endpoint_that_may_not_be_called(endpoint: EndpointState, why: Refusal) -> None:
    assert permit_send(message(), endpoint, 108.0, NOW) is why
    assert holds(SendPermit(108.0), endpoint, False, NOW) is why
    later = holds(SendPermit(108.0), endpoint, True, NOW)  # a begun call continues, but not within a wait
    assert later is (why if why is Refusal.WAIT_REQUIRED else None)


@pytest.mark.parametrize(("state", "why"), [
    (dataclasses.replace(message(), finished=True), Refusal.MESSAGE_FINISHED),
    (message(expires=NOW), Refusal.MESSAGE_EXPIRED),
    (dataclasses.replace(message(), on_record=False), Refusal.NOT_ON_RECORD),
    (message(ONCE, (99.0, 0)), Refusal.MAY_HAVE_RUN),
    (message(None, (99.0, 0)), Refusal.MAY_HAVE_RUN),
    (message(ZONED, (99.0, 1)), Refusal.OTHER_GROUP),
    (message(KEYED, (NOW - WINDOW_S, 0)), Refusal.REPEAT_WINDOW_OVER),
])  # fmt: skip
def test_a_message_that_may_not_be_sent(state: MessageState, why: Refusal) -> None:
    assert permit_send(state, READY, 108.0, NOW) is why


def test_a_finished_call_is_not_begun_and_an_expired_permit_does_not_hold() -> None:
    assert permit_send(message(), READY, NOW, NOW) is Refusal.CALL_FINISHED
    assert holds(SendPermit(NOW), READY, True, NOW) is Refusal.CALL_FINISHED


def test_harmless_repeats_have_no_time_limit() -> None:
    assert repeat_until(IDEMPOTENT, [(1.0, 0)], 1) == math.inf
    assert repeat_until(ONCE, [], 0) == repeat_until(None, [], 0) == math.inf


@pytest.mark.parametrize(("kind", "harmless"), [
    (IDEMPOTENT, True), (KEYED, True), (ZONED, False), (ONCE, False), (None, False),
])  # fmt: skip
def test_a_message_that_may_have_run_is_rejected_only_where_a_repeat_is_harmless(
    kind: MessageClass | None, harmless: bool
) -> None:
    assert may_reject(kind, True) is harmless
    assert may_reject(kind, False)


def test_a_start_waits_for_an_unread_journal_within_a_bound() -> None:
    assert may_accept(False, 0.0)
    assert not may_accept(True, UNREAD_JOURNAL_S - 0.1)
    assert may_accept(True, UNREAD_JOURNAL_S)


def test_an_outcome_is_reported_once_it_is_on_record_or_the_message_has_expired() -> None:
    assert may_tell_end(True, NOW + 1.0, NOW)
    assert not may_tell_end(False, NOW + 1.0, NOW)
    assert may_tell_end(False, NOW, NOW)


# The run-time check


class RecordingMonitor(SendMonitor):
    """A monitor that keeps its violations, with one ready endpoint."""

    def __init__(self) -> None:
        self.found: list[Violation] = []
        super().__init__(GRACE_S, self.found.append)
        self.list_applied(True, [(HOP, True)], NOW)

    def send(self, kind: MessageClass | None, now: float, zone: int = 0, expires: float = 1e9) -> None:
        self.first_byte(["m"], HOP, now)
        self.last_byte([SentMessage("m", kind, expires, True)], zone, 7, now)

    @property
    def rules(self) -> list[Rule]:
        return [one.rule for one in self.found]


@pytest.mark.violates
@pytest.mark.parametrize("how", ["drains", "absent", "moved", "never listed"])
def test_a_first_byte_after_the_grace_period_counts(how: str) -> None:
    monitor = RecordingMonitor()
    other = EndpointAddress("h", "127.0.0.1", 2)
    match how:
        case "drains":
            monitor.list_applied(False, [(HOP, False)], NOW)
        case "absent":
            monitor.list_applied(True, [], NOW)
        case "moved":
            monitor.list_applied(False, [(other, True)], NOW)
    if how != "never listed":
        monitor.first_byte(["m"], HOP, NOW + GRACE_S)
        assert monitor.rules == []
        monitor.first_byte(["m"], HOP, NOW + GRACE_S + 0.01)
    else:
        monitor.first_byte(["m"], other, NOW)
    assert monitor.rules == [Rule.DRAIN] and monitor.violations[Rule.DRAIN] == 1


@pytest.mark.violates
@pytest.mark.parametrize(("kind", "after", "zone", "rules"), [
    (IDEMPOTENT, 50.0, 1, []),
    (KEYED, WINDOW_S, 1, []),
    (KEYED, WINDOW_S + PAUSE_ALLOWANCE_S + 0.01, 0, [Rule.DUPLICATE]),
    (ZONED, 1.0, 1, [Rule.DUPLICATE]),
    (ZONED, 1.0, 0, []),
    (ONCE, 0.1, 0, [Rule.DUPLICATE]),
    (None, 0.1, 0, [Rule.DUPLICATE]),
])  # fmt: skip
@pytest.mark.parametrize("restored", [False, True])
def test_a_repeat_not_allowed_by_the_message_class_counts(
    kind: MessageClass | None, after: float, zone: int, rules: list[Rule], restored: bool
) -> None:
    monitor = RecordingMonitor()
    if restored:
        monitor.restored("m", [(NOW, 0)])
    else:
        monitor.send(kind, NOW)
        monitor.outcome("m", never_ran=False)
    monitor.send(kind, NOW + after, zone)
    assert monitor.rules == rules


def test_a_message_that_never_ran_may_be_sent_again() -> None:
    monitor = RecordingMonitor()
    monitor.send(ONCE, NOW)
    monitor.outcome("m", never_ran=True)
    monitor.send(ONCE, NOW + 1)
    assert monitor.rules == []


@pytest.mark.violates
def test_an_outcome_reported_before_it_is_on_record_counts() -> None:
    monitor = RecordingMonitor()
    monitor.outcome_reported("m", True, NOW + 1.0, NOW)
    monitor.outcome_reported("m", False, NOW, NOW)
    assert monitor.rules == []
    monitor.outcome_reported("m", False, NOW + 1.0, NOW)
    assert monitor.rules == [Rule.END_NOT_ON_RECORD]


@pytest.mark.violates
def test_violations_of_the_other_rules_count() -> None:
    monitor = RecordingMonitor()
    monitor.send(IDEMPOTENT, NOW)
    monitor.send(IDEMPOTENT, NOW + 0.1)
    assert monitor.rules == [Rule.CONCURRENT_CALLS]
    monitor = RecordingMonitor()
    monitor.wait_required(7, NOW, NOW + 1)
    monitor.send(IDEMPOTENT, NOW + 0.05)
    assert monitor.rules == []
    monitor.outcome("m", never_ran=True)
    monitor.send(IDEMPOTENT, NOW + 0.5)
    assert monitor.rules == [Rule.WAIT]
    monitor = RecordingMonitor()
    monitor.send(IDEMPOTENT, NOW, expires=NOW - PAUSE_ALLOWANCE_S - 0.01)
    assert monitor.rules == [Rule.LATE]
    monitor = RecordingMonitor()
    monitor.last_byte([SentMessage("m", ONCE, 1e9, False)], 0, 7, NOW)
    assert monitor.rules == [Rule.NOT_ON_RECORD]
    monitor.rejected("m", ONCE)
    monitor.rejected("other", ONCE)
    assert monitor.rules == [Rule.NOT_ON_RECORD, Rule.UNSAFE_REJECTION]


KINDS = st.sampled_from([IDEMPOTENT, KEYED, ZONED, ONCE])


@given(
    kind=KINDS,
    steps=st.lists(
        st.tuples(st.floats(0.0, 5.0), st.integers(0, 1), st.booleans(), st.floats(0.0, PAUSE_ALLOWANCE_S)),
        max_size=8,
    ),
)
def test_a_send_permitted_by_the_guard_is_never_a_violation(
    kind: MessageClass, steps: list[tuple[float, int, bool, float]]
) -> None:
    """Even if the sender pauses between its check and its write for as long as the pages allow."""
    monitor, ran, now = RecordingMonitor(), list[tuple[float, int]](), NOW
    for idle_s, zone, never_ran, paused_s in steps:
        now += idle_s
        state = MessageState(1e9, kind, ran)
        permit = permit_send(state, EndpointState(True, zone), 1e9, now)
        if isinstance(permit, Refusal):
            continue
        began = now
        now += paused_s
        if not never_ran:
            ran.append((began, zone))
        monitor.send(kind, now, zone)
        monitor.outcome("m", never_ran)
    assert monitor.found == []
