"""The run-time check of the list: what counts as evidence, and a send without it."""

from __future__ import annotations

import pytest

from rillspindle.interface import Settings
from rillspindle.list_evidence import NOTIFIED_S, SLACK_S, AnsweredCall, ListEvidence, RefusedCall
from rillspindle.send_monitor import EndpointAddress, Rule, SendMonitor, Violation
from tests.settings import settings

GRACE_S = 0.25
SENDS_AFTER_S = GRACE_S + SLACK_S
ENDPOINT = EndpointAddress("e", "127.0.0.1", 80)


def make_settings(ask_within_s: float = 10.0, mode: str = "subscribe") -> Settings:
    env = settings(discovery=mode)
    env["obligations"] |= {"askWithin": ask_within_s, "drainGrace": GRACE_S}
    return Settings.from_mapping(env)


def answered(made_at: float) -> AnsweredCall:
    return AnsweredCall(made_at, 0.0, False, made_at)


def test_without_an_answer_nothing_may_be_sent() -> None:
    assert ListEvidence(make_settings()).sends_allowed_until() < 0


@pytest.mark.parametrize(
    ("call", "confirmed_at"),
    [
        (AnsweredCall(10.0, 4.0, False, 14.0), 14.0),
        (AnsweredCall(10.0, 4.0, False, 13.995), 14.0),
        (AnsweredCall(10.0, 4.0, False, 12.0), 10.0),
        (AnsweredCall(10.0, 4.0, True, 14.0), 10.0),
        (AnsweredCall(10.0, 0.001, True, 17.0), 10.0),
    ],
    ids=["waited in vain", "rounded", "answered too soon", "something newer", "a slow answer"],
)
def test_an_answer_confirms_what_discovery_had_when_it_was_called(
    call: AnsweredCall, confirmed_at: float
) -> None:
    evidence = ListEvidence(make_settings())
    evidence.answered(call)
    assert evidence.sends_allowed_until() == pytest.approx(confirmed_at + NOTIFIED_S + SENDS_AFTER_S)


def test_the_newest_evidence_counts_within_the_bounds_of_the_settings() -> None:
    evidence = ListEvidence(make_settings())
    evidence.answered(answered(10.0))
    evidence.connection_refused(12.0)
    evidence.answered(answered(11.0))
    assert evidence.sends_allowed_until() == pytest.approx(12.0 + NOTIFIED_S + SENDS_AFTER_S)
    evidence.apply_settings(make_settings(0.5))
    assert evidence.sends_allowed_until() == pytest.approx(12.0 + 2.0 + SENDS_AFTER_S)


def test_an_incomplete_answer_counts_until_a_later_call_is_answered() -> None:
    evidence = ListEvidence(make_settings())
    evidence.answered(answered(10.0))
    evidence.answer_lost(11.0)
    evidence.connection_refused(11.5)
    evidence.answered(answered(10.9))
    assert evidence.sends_allowed_until() == pytest.approx(11.0 + SENDS_AFTER_S)
    evidence.answered(answered(11.1))
    assert evidence.sends_allowed_until() == pytest.approx(11.5 + NOTIFIED_S + SENDS_AFTER_S)


@pytest.mark.parametrize(
    ("ended_after_s", "between", "renewed"),
    [
        (3.0, "", True),
        (2.0, "", True),
        (0.4, "", False),
        (4.0, "", False),
        (3.0, "unanswered", False),
        (3.0, "answered", False),
    ],
)
def test_an_error_answer_counts_in_an_outage_shown_by_a_watch(
    ended_after_s: float, between: str, renewed: bool
) -> None:
    evidence = ListEvidence(make_settings())
    evidence.answered(answered(10.0))
    evidence.refused(RefusedCall(10.0, 4.0, 10.0 + ended_after_s, has_answer=True))
    if between == "unanswered":
        evidence.unanswered()
    elif between == "answered":
        evidence.answered(answered(15.0))
    before = evidence.sends_allowed_until()
    evidence.refused(RefusedCall(17.0, 0.001, 18.0, has_answer=True))
    assert (evidence.sends_allowed_until() > before) is renewed


@pytest.mark.parametrize(("confirmed_at", "counts_from"), [(8.5, 8.5), (11.0, 10.0)])
def test_an_error_answer_to_a_new_process_confirms_its_list_as_of_its_last_confirmation(
    confirmed_at: float, counts_from: float
) -> None:
    evidence = ListEvidence(make_settings())
    evidence.started(10.0, confirmed_at)
    assert evidence.sends_allowed_until() < 0
    for at in (10.1, 12.0, 17.0):
        evidence.refused(RefusedCall(at, 0.001, at + 0.1, has_answer=True))
        assert evidence.sends_allowed_until() == pytest.approx(counts_from + NOTIFIED_S + SENDS_AFTER_S)


def test_an_error_answer_to_a_new_process_with_a_list_of_unknown_age_confirms_nothing() -> None:
    evidence = ListEvidence(make_settings())
    evidence.started(10.0)
    evidence.refused(RefusedCall(10.1, 0.001, 10.2, has_answer=True))
    assert evidence.sends_allowed_until() < 0


def test_refusals_of_an_agent_are_no_evidence() -> None:
    evidence = ListEvidence(make_settings(mode="automatic"))
    evidence.answered(answered(10.0))
    evidence.connection_refused(12.0)
    evidence.refused(RefusedCall(10.0, 2.0, 11.5, has_answer=True))
    evidence.refused(RefusedCall(10.0, 2.0, 11.5, has_answer=False))
    assert evidence.sends_allowed_until() == pytest.approx(10.0 + NOTIFIED_S + SENDS_AFTER_S)


@pytest.mark.violates
def test_a_send_without_evidence_counts_whatever_is_listed() -> None:
    found: list[Violation] = []
    monitor = SendMonitor(GRACE_S, found.append)
    monitor.list_applied(True, [(ENDPOINT, True)], 10.0)
    monitor.first_byte(["a"], ENDPOINT, 30.0)
    assert not found, "this list does not come from discovery"
    monitor.evidence = ListEvidence(make_settings())
    monitor.evidence.answered(answered(10.0))
    monitor.first_byte(["b"], ENDPOINT, 10.0 + NOTIFIED_S + SENDS_AFTER_S)
    assert not found
    monitor.first_byte(["c", "d"], ENDPOINT, 10.0 + NOTIFIED_S + SENDS_AFTER_S + 0.01)
    assert [(one.rule, one.message) for one in found] == [
        (Rule.UNCONFIRMED_LIST, "c"), (Rule.UNCONFIRMED_LIST, "d")
    ]  # fmt: skip
