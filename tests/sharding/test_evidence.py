"""Outcomes of relay calls, and whether a sender may use the list from relays."""

from __future__ import annotations

import pytest

from mountgauge.core.list_lease import LeaseEnd, LeaseTerms
from mountgauge.sharding.evidence import RelayEvidence, RelayFailure
from mountgauge.sharding.messages import Ask
from mountgauge.sharding.upstream import Lane, RelayCall

TERMS = LeaseTerms(6.0, 0.25, resumes=True)
RELAYS = ("one", "two")
HELD = 20.0  # longer than any term


def call(made_at: float, relay: str = "one", lane: Lane = Lane.WATCH) -> RelayCall:
    return RelayCall(1, lane, relay, Ask("s1", ()), 1.6, made_at)


def answered(made_at: float = 10.0) -> RelayEvidence:
    found = RelayEvidence(TERMS, RELAYS)
    found.answered(call(made_at))
    return found


def test_a_saved_list_is_not_used_before_a_relay_has_answered_a_watch() -> None:
    found = RelayEvidence(TERMS, RELAYS)
    assert found.end_reason(0.0) is LeaseEnd.NO_EVIDENCE
    found.answered(call(10.0, lane=Lane.FETCH))
    assert found.end_reason(10.0) is LeaseEnd.NO_EVIDENCE, "a fetch covers only new shards"
    found.answered(call(10.0))
    assert found.end_reason(10.0 + TERMS.term_s - 0.01) is None
    assert found.end_reason(10.0 + TERMS.term_s) is LeaseEnd.EXPIRED


@pytest.mark.parametrize("failure", [RelayFailure.SILENT, RelayFailure.REFUSED])
def test_a_time_out_or_a_refusal_of_one_relay_has_no_effect(failure: RelayFailure) -> None:
    found = answered()
    for made_at in (12.0, 14.0, 16.0):
        found.failed(call(made_at), failure, made_at)
    assert found.end_reason(10.0 + TERMS.term_s) is LeaseEnd.EXPIRED


def test_the_lease_is_renewed_once_every_relay_has_refused() -> None:
    found = answered()
    found.failed(call(13.0), RelayFailure.REFUSED, 13.0)
    found.failed(call(15.0, "two"), RelayFailure.REFUSED, 15.0)
    assert found.end_reason(13.0 + TERMS.term_s - 0.01) is None
    assert found.end_reason(13.0 + TERMS.term_s) is LeaseEnd.EXPIRED, "from the first refusal on"
    found.answered(call(20.0))
    found.failed(call(21.0), RelayFailure.REFUSED, 21.0)
    assert found.end_reason(20.0 + TERMS.term_s) is LeaseEnd.EXPIRED, (
        "the other relay may have a change again"
    )


@pytest.mark.parametrize(
    ("failure", "lane", "lost"),
    [
        (RelayFailure.BROKEN, Lane.WATCH, True),
        (RelayFailure.BROKEN, Lane.FETCH, False),
        (RelayFailure.UNREADABLE, Lane.WATCH, True),
        (RelayFailure.UNREADABLE, Lane.FETCH, True),
    ],
)
def test_a_lost_answer_withholds_calls_until_a_later_answer(
    failure: RelayFailure, lane: Lane, lost: bool
) -> None:
    found = answered()
    found.failed(call(11.0, lane=lane), failure, 11.5)
    assert (found.end_reason(11.5) is LeaseEnd.ANSWER_LOST) is lost
    found.answered(call(11.4))
    assert (found.end_reason(11.6) is LeaseEnd.ANSWER_LOST) is lost, "the call was made before the loss"
    found.answered(call(11.5))
    assert found.end_reason(11.6) is None


def test_a_sender_that_starts_while_all_relays_refuse_uses_its_saved_list() -> None:
    found = RelayEvidence(TERMS, RELAYS)
    found.failed(call(10.0), RelayFailure.REFUSED, 10.0)
    assert found.end_reason(10.0) is LeaseEnd.NO_EVIDENCE
    found.failed(call(20.0, "two"), RelayFailure.REFUSED, 20.0)
    found.failed(call(20.5), RelayFailure.REFUSED, 20.5)
    assert found.end_reason(20.5) is None


def test_relays_that_all_keep_breaking_their_calls_are_down() -> None:
    found = answered()
    found.failed(call(11.0), RelayFailure.BROKEN, 11.0)
    found.failed(call(11.5, "two"), RelayFailure.BROKEN, 11.5)
    assert found.end_reason(11.5) is LeaseEnd.ANSWER_LOST
    found.failed(call(12.6), RelayFailure.BROKEN, 12.6)
    assert found.end_reason(12.6) is None
    alone = answered()
    for made_at in (11.0, 12.6, 15.0):
        alone.failed(call(made_at), RelayFailure.BROKEN, made_at)
        assert alone.end_reason(made_at) is LeaseEnd.ANSWER_LOST, "the other relay may have a change"
