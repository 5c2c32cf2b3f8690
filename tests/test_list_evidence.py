"""The run-time check on the list: what counts as evidence, and a send that goes without."""

from __future__ import annotations

import pytest

from rillspindle.interface import Settings
from rillspindle.list_evidence import NOTIFIED_S, SLACK_S, AnsweredCall, ListEvidence, RefusedCall
from rillspindle.send_monitor import EndpointAddress, Rule, SendMonitor, Violation
from tests.settings import settings

GRACE_S = 0.25
SPARE_S = GRACE_S + SLACK_S
PLACE = EndpointAddress("e", "127.0.0.1", 80)


def rules(ask_within_s: float = 10.0, mode: str = "subscribe") -> Settings:
    env = settings(discovery=mode)
    env["obligations"] |= {"askWithin": ask_within_s, "drainGrace": GRACE_S}
    return Settings.from_mapping(env)


def answered(made_at: float) -> AnsweredCall:
    return AnsweredCall(made_at, 0.0, False, made_at)


def test_without_an_answer_nothing_may_go() -> None:
    assert ListEvidence(rules()).sends_allowed_until() < 0


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
def test_an_answer_shows_what_discovery_had_as_it_was_asked(call: AnsweredCall, confirmed_at: float) -> None:
    evidence = ListEvidence(rules())
    evidence.answered(call)
    assert evidence.sends_allowed_until() == pytest.approx(confirmed_at + NOTIFIED_S + SPARE_S)


def test_the_newest_evidence_counts_and_settings_bound_it() -> None:
    evidence = ListEvidence(rules())
    evidence.answered(answered(10.0))
    evidence.connection_refused(12.0)
    evidence.answered(answered(11.0))
    assert evidence.sends_allowed_until() == pytest.approx(12.0 + NOTIFIED_S + SPARE_S)
    evidence.apply_settings(rules(0.5))
    assert evidence.sends_allowed_until() == pytest.approx(12.0 + 2.0 + SPARE_S)


def test_a_lost_answer_counts_until_a_call_made_after_it_is_answered() -> None:
    evidence = ListEvidence(rules())
    evidence.answered(answered(10.0))
    evidence.answer_lost(11.0)
    evidence.connection_refused(11.5)
    evidence.answered(answered(10.9))
    assert evidence.sends_allowed_until() == pytest.approx(11.0 + SPARE_S)
    evidence.answered(answered(11.1))
    assert evidence.sends_allowed_until() == pytest.approx(11.5 + NOTIFIED_S + SPARE_S)


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
def test_a_refusal_in_words_counts_in_an_outage_that_a_watch_has_shown(
    ended_after_s: float, between: str, renewed: bool
) -> None:
    evidence = ListEvidence(rules())
    evidence.answered(answered(10.0))
    evidence.refused(RefusedCall(10.0, 4.0, 10.0 + ended_after_s, has_answer=True))
    if between == "unanswered":
        evidence.unanswered()
    elif between == "answered":
        evidence.answered(answered(15.0))
    before = evidence.sends_allowed_until()
    evidence.refused(RefusedCall(17.0, 0.001, 18.0, has_answer=True))
    assert (evidence.sends_allowed_until() > before) is renewed


def test_a_new_process_that_is_refused_in_words_has_its_list_as_of_its_start() -> None:
    evidence = ListEvidence(rules())
    evidence.started(10.0)
    assert evidence.sends_allowed_until() < 0
    for at in (10.1, 12.0, 17.0):
        evidence.refused(RefusedCall(at, 0.001, at + 0.1, has_answer=True))
        assert evidence.sends_allowed_until() == pytest.approx(10.0 + NOTIFIED_S + SPARE_S)


def test_no_refusal_of_an_agent_is_evidence() -> None:
    evidence = ListEvidence(rules(mode="automatic"))
    evidence.answered(answered(10.0))
    evidence.connection_refused(12.0)
    evidence.refused(RefusedCall(10.0, 2.0, 11.5, has_answer=True))
    evidence.refused(RefusedCall(10.0, 2.0, 11.5, has_answer=False))
    assert evidence.sends_allowed_until() == pytest.approx(10.0 + NOTIFIED_S + SPARE_S)


@pytest.mark.violates
def test_a_send_without_evidence_is_counted_whatever_the_list_says() -> None:
    found: list[Violation] = []
    monitor = SendMonitor(GRACE_S, found.append)
    monitor.list_applied(True, [(PLACE, True)], 10.0)
    monitor.first_byte(["a"], PLACE, 30.0)
    assert not found, "nobody is asked for this list"
    monitor.evidence = ListEvidence(rules())
    monitor.evidence.answered(answered(10.0))
    monitor.first_byte(["b"], PLACE, 10.0 + NOTIFIED_S + SPARE_S)
    assert not found
    monitor.first_byte(["c", "d"], PLACE, 10.0 + NOTIFIED_S + SPARE_S + 0.01)
    assert [(one.rule, one.message) for one in found] == [
        (Rule.UNCONFIRMED_LIST, "c"), (Rule.UNCONFIRMED_LIST, "d")
    ]  # fmt: skip
