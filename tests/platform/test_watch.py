"""When discovery is called: the state machine alone, in virtual time."""

from __future__ import annotations

import itertools
from random import Random
from typing import Any

import pytest

from mountgauge.platform.list_call import Failure, ListCall
from mountgauge.platform.watch import DiscoveryWatch
from mountgauge.platform.watch_bounds import (
    ANSWER_MARGIN_S,
    DIAL_TIMEOUT_S,
    FIRST_BACK_OFF_S,
    FIRST_REPEAT_PAUSE_S,
    JITTER,
    MOVE_PAUSE_S,
    NOTIFIED_AFTER_MOVE_S,
    NOTIFIED_AFTER_S,
    NOTIFIED_AFTER_WAIT_S,
    PROBE_S,
    SHORT_WAIT_S,
    WATCH_GAP_S,
    WatchBounds,
)
from rillspindle.interface import Settings
from tests.settings import settings

FLEETS = (1, 2, 5, 12, 30, 200, 3000)
ASK_WITHIN_S = (0.5, 1.5, 4.0, 10.0, 60.0)


def bounds_of(balancers: int = 2, ask_within_s: float = 10.0, discovery: str = "subscribe") -> WatchBounds:
    env = settings(balancers=balancers, discovery=discovery)
    env["obligations"] |= {"askWithin": ask_within_s}
    return WatchBounds.of(Settings.from_mapping(env))


class Driven:
    """A watch in virtual time, driven from call to call."""

    def __init__(self, version: int = 5, **fleet: Any) -> None:
        self.bounds = bounds_of(**fleet)
        self.watch = DiscoveryWatch(self.bounds, Random(1))
        self.now, self.version = 100.0, version
        self.dropped: list[ListCall] = []
        self.watch.start(self.now)

    def poll(self) -> list[ListCall]:
        step = self.watch.poll(self.now, self.version)
        self.dropped += [dropped.call for dropped in step.drop]
        return list(step.make)

    def call(self, connects: bool = True) -> ListCall:
        """Advance to the next call; its connection is established at once, or not yet."""
        for _ in range(100):
            if made := self.poll():
                assert len(made) == 1
                assert not connects or self.watch.connected(made[0], self.now)
                return made[0]
            assert self.watch.wakes_at() > self.now
            self.now = self.watch.wakes_at()
        raise AssertionError("no further call")

    def answer(self, call: ListCall, version: int | None = None, **options: Any) -> bool:
        self.version = self.version if version is None else version
        return self.watch.answered(call, self.version, self.now, **options)

    def watching(self) -> ListCall:
        """Answer the first call and return the watch that follows."""
        self.answer(self.call())
        call = self.call()
        assert not call.short and call.wait_s == self.bounds.wait_s
        return call


def test_one_call_is_in_flight_in_normal_operation() -> None:
    driven = Driven()
    first = driven.call()
    assert first.short and first.index == 5
    driven.now += 0.02
    assert driven.answer(first)
    for version, wait_s in ((6, 4.0), (6, None), (6, 4.0), (9, 4.0)):
        call = driven.call()
        assert driven.watch.open_calls == (call,) and call.made_at == driven.now
        # After a watch that was answered with a change at its end the lease must be renewed sooner.
        assert call.wait_s == wait_s or (wait_s is None and call.wait_s < 4.0)
        driven.now += call.wait_s
        assert driven.answer(call, version)
    assert not driven.dropped


def test_without_a_known_version_the_full_list_is_requested() -> None:
    driven = Driven(version=-1)
    assert driven.call().index is None


@pytest.mark.parametrize("balancers", FLEETS)
@pytest.mark.parametrize("ask_within_s", ASK_WITHIN_S)
def test_after_a_silent_watch_calls_are_made_before_its_changes_count(
    balancers: int, ask_within_s: float
) -> None:
    driven = Driven(balancers=balancers, ask_within_s=ask_within_s)
    watch = driven.watching()
    due = watch.made_at + max(watch.wait_s + NOTIFIED_AFTER_WAIT_S, driven.bounds.known_within_s)
    calls = [driven.call(), driven.call()]
    assert all(call.short for call in calls) and calls[-1].made_at < due
    assert calls[0].made_at == watch.made_at + watch.wait_s + ANSWER_MARGIN_S
    assert watch in driven.watch.open_calls, "its answer is still accepted"


@pytest.mark.parametrize("balancers", FLEETS)
@pytest.mark.parametrize("ask_within_s", ASK_WITHIN_S)
def test_the_worst_sum_of_back_offs_and_limits_is_below_the_notified_time(
    balancers: int, ask_within_s: float
) -> None:
    """Discovery recovers right after a refused call; the next call is lost, the one after it is not."""
    bounds = bounds_of(balancers, ask_within_s)
    refused = max(bounds.back_off_s(failures, 1.0) for failures in range(1, 60))
    assert refused <= bounds.max_back_off_s * (1 + JITTER) + bounds.spread_s
    assert refused + bounds.max_hedge_delay_s < bounds.known_within_s <= NOTIFIED_AFTER_S
    assert bounds.max_hedge_delay_s < 0.4 * bounds.known_within_s, "three fifths remain for a slow answer"
    if balancers <= 5 and ask_within_s >= 1.5:
        assert bounds.max_hedge_delay_s <= bounds.known_within_s / 5, "four fifths in a small fleet"
    assert bounds.call_timeout_s == bounds.known_within_s


def test_a_silent_discovery_is_called_repeatedly_with_a_bounded_number_of_open_calls() -> None:
    driven = Driven()
    made, most_open = list[ListCall](), 0
    for _ in range(20):
        made.append(driven.call())
        most_open = max(most_open, len(driven.watch.open_calls))
    assert most_open == driven.bounds.max_open_calls == 6
    assert all(call.short for call in made)
    gaps = [later.made_at - earlier.made_at for earlier, later in itertools.pairwise(made)]
    assert max(gaps) <= driven.bounds.max_hedge_delay_s + 1e-9
    assert made[-1].made_at - made[0].made_at >= 18 * driven.bounds.max_hedge_delay_s, "five in a timeout"


@pytest.mark.parametrize("made_before", [0, 1, 5, 12])
def test_a_slow_answer_is_received_whenever_discovery_recovers(
    made_before: int,
) -> None:
    """Every call has the full timeout, not only the first one, as the calls before the recovery are lost."""
    driven = Driven()
    for _ in range(made_before):
        driven.call()
    recovered_at, slow_s = driven.now, 4.5
    call = driven.call()
    while driven.now < call.made_at + slow_s:
        driven.poll()
        driven.now = min(driven.watch.wakes_at(), call.made_at + slow_s)
    assert driven.answer(call, 9) and driven.now - recovered_at < driven.bounds.known_within_s


def test_while_no_connection_is_established_others_are_dialled_and_the_first_carries_the_request() -> None:
    """The network to discovery is cut. A connection costs discovery nothing until a request is sent on it."""
    driven = Driven()
    driven.watching()
    dials = [driven.call(connects=False) for _ in range(30)]
    gaps = [later.made_at - earlier.made_at for earlier, later in itertools.pairwise(dials)]
    assert max(gaps) <= driven.bounds.min_probe_interval_s + 1e-9 == PROBE_S + 1e-9
    waiting = [call for call in dials if call in driven.watch.open_calls]
    assert len(waiting) <= DIAL_TIMEOUT_S / PROBE_S + 1
    driven.now += 0.1
    assert driven.watch.connected(waiting[0], driven.now), "one that was established late"
    assert not any(driven.watch.connected(call, driven.now) for call in waiting[1:]), "one request is enough"
    assert driven.watch.wakes_at() == driven.now + driven.bounds.first_hedge_delay_s
    driven.answer(waiting[0], 6)
    assert not driven.call().short


def test_a_long_cut_is_probed_less_often() -> None:
    driven = Driven()
    dials = [driven.call(connects=False)]
    while driven.now < 200.0:
        dials.append(driven.call(connects=False))
    assert dials[-1].made_at - dials[-2].made_at == pytest.approx(driven.bounds.max_hedge_delay_s)


def test_a_refused_connection_after_hung_ones_shows_that_the_network_is_restored() -> None:
    """Connections into a cut are reset when it ends, and a back-off would be longer than the grace."""
    driven = Driven()
    dials = [driven.call(connects=False) for _ in range(4)]
    driven.now += 0.05
    for dial in dials:
        driven.watch.failed(dial, Failure.REFUSED, driven.now)
    call = driven.call()
    assert call.made_at == driven.now and not driven.poll(), "one call for all of them"
    driven.watch.failed(call, Failure.REFUSED, driven.now)
    assert driven.watch.wakes_at() - driven.now >= FIRST_BACK_OFF_S, "discovery is down"


def test_a_watch_whose_connection_is_not_established_is_replaced() -> None:
    driven = Driven()
    driven.answer(driven.call())
    watch = driven.call(connects=False)
    assert not watch.short
    call = driven.call()
    assert call.short and call.made_at == watch.made_at + PROBE_S
    assert not driven.watch.connected(watch, driven.now), "it would wait for changes"


def test_the_full_list_is_requested_beside_a_call_for_changes() -> None:
    driven = Driven()
    changes = driven.call()
    driven.watch.request_full_list(driven.now)
    full = driven.call(connects=False)
    assert full.index is None and full.made_at == changes.made_at
    assert driven.answer(changes, 6) and driven.watch.connected(full, driven.now), "still requested"
    driven.answer(full, 6)
    assert driven.call().index == 6


def test_a_late_answer_is_applied_and_closes_only_the_calls_before_it() -> None:
    driven = Driven()
    first, second, third = driven.call(), driven.call(), driven.call()
    assert driven.answer(second, 7)
    driven.poll()
    assert driven.dropped == [first] and driven.watch.open_calls == (third,)
    assert not driven.answer(first, 6), "the call was closed"
    driven.version = 7
    assert driven.answer(third, 7)
    assert not driven.call().short


def test_the_failure_of_a_call_with_a_newer_call_in_flight_changes_nothing() -> None:
    driven = Driven()
    first, second = driven.call(), driven.call()
    at = driven.watch.wakes_at()
    driven.watch.failed(first, Failure.REFUSED, driven.now)
    assert driven.watch.wakes_at() == at and driven.watch.open_calls == (second,)


def test_a_call_after_failures_is_short_until_one_is_answered() -> None:
    driven = Driven()
    call = driven.watching()
    for failures in range(1, 8):
        driven.watch.failed(call, Failure.REFUSED, driven.now)
        failed_at = driven.now
        call = driven.call()
        assert call.short and call.index == 5
        assert driven.bounds.back_off_s(failures, 0.0) <= call.made_at - failed_at
        assert call.made_at - failed_at <= driven.bounds.back_off_s(failures, 1.0)
    driven.answer(call)
    assert not driven.call().short


def test_an_overloaded_discovery_is_not_called_for_as_long_as_the_lease_allows() -> None:
    """It has rejected the call, and each sender that calls again too soon keeps another one out. A sender
    that calls after the end of its lease has stopped sending meanwhile: with a spread over `askWithin`, calls
    were sent by a list that nothing confirmed.
    """
    bounds = bounds_of(40)
    assert bounds.lease.term_s > bounds.back_off_s(1, 1.0, busy=True) > bounds.back_off_s(1, 1.0) + 1.0
    driven = Driven(balancers=40)
    call, pauses = driven.watching(), list[float]()
    for _ in range(200):
        driven.watch.failed(call, Failure.BUSY, driven.now)
        failed_at, call = driven.now, driven.call()
        pauses.append(call.made_at - failed_at)
    assert bounds.lease.term_s > max(pauses) > 5 and sum(pauses) / len(pauses) > 3
    small = bounds_of(3)
    assert small.back_off_s(60, 1.0, busy=True) < NOTIFIED_AFTER_S / 2


@pytest.mark.parametrize("failure", [Failure.CORRUPT, Failure.BROKEN])
def test_after_an_answer_that_may_be_lost_the_next_call_is_made_at_once_then_after_a_back_off(
    failure: Failure,
) -> None:
    driven = Driven()
    call = driven.watching()
    driven.watch.failed(call, failure, driven.now)
    again = driven.call()
    assert again.made_at == call.made_at and again.short
    driven.watch.failed(again, failure, driven.now)
    assert driven.call().made_at > again.made_at


def test_an_incomplete_delta_is_followed_by_a_request_for_the_full_list_at_once() -> None:
    driven = Driven()
    call = driven.watching()
    driven.answer(call, 6, incomplete=True)
    full = driven.call()
    assert full.index is None and full.made_at == driven.now
    driven.answer(full, 6)
    assert driven.call().index == 6


def test_after_a_move_the_full_list_is_requested_until_it_is_received() -> None:
    driven = Driven()
    old = driven.watching()
    driven.now += 3.0
    driven.watch.move(driven.now)
    moved_at = driven.now
    calls = [driven.call()]
    while driven.now - moved_at < NOTIFIED_AFTER_MOVE_S - MOVE_PAUSE_S:
        driven.watch.failed(calls[-1], Failure.REFUSED, driven.now)
        calls.append(driven.call())
        assert calls[-1].made_at - calls[-2].made_at == pytest.approx(MOVE_PAUSE_S)
    assert all(call.index is None and call.address == 1 for call in calls)
    assert driven.answer(old, 6) and not driven.dropped, "answers of the old address are accepted meanwhile"
    assert driven.answer(calls[-1], 2)
    call = driven.call()
    assert (call.index, call.address, call.short) == (2, 1, False)


def test_the_answer_of_a_slow_new_address_is_accepted_for_most_of_the_time_of_a_move() -> None:
    driven = Driven()
    driven.watching()
    driven.watch.move(driven.now)
    moved_at, first = driven.now, driven.call()
    while driven.now < moved_at + 2.9:
        driven.call()
        driven.now = min(driven.watch.wakes_at(), moved_at + 2.9)
    assert first in driven.watch.open_calls and driven.answer(first, 9)


def test_moves_in_quick_succession_leave_the_last_address() -> None:
    driven = Driven()
    driven.watching()
    calls = []
    for _ in range(5):
        driven.now += 0.05
        driven.watch.move(driven.now)
        calls.append(driven.call())
    driven.answer(calls[2], 7)
    assert driven.watch.wakes_at() > driven.now, "an answer of an earlier address closes no call"
    driven.answer(calls[-1], 3)
    assert driven.call().address == 5


def test_the_pause_after_an_immediate_answer_without_changes_is_not_part_of_the_watch() -> None:
    """Discovery serves an older list and answers each watch at once, which made thousands of calls a second.
    Each pause is longer than the watch gap and than the pause before, up to a bound.
    """
    driven = Driven()
    call = driven.watching()
    pauses = []
    for _ in range(6):
        driven.answer(call, 4)
        before, call = driven.now, driven.call()
        pauses.append(round(call.made_at - before, 3))
        assert call.short, "a change during the pause may count as notified soon"
        driven.answer(call, 4)
        call = driven.call()
    assert pauses == [0.3, 0.6, 1.2, 2.0, 2.0, 2.0] and pauses[0] > WATCH_GAP_S
    driven.now += 5.0  # a watch that waited shows normal operation again
    driven.answer(call, 4)
    assert driven.call().made_at == driven.now
    assert FIRST_REPEAT_PAUSE_S > WATCH_GAP_S


def test_an_agent_is_called_again_within_the_grace_of_a_drain() -> None:
    """Its changes count as notified at once, also while the sender pauses after an immediate answer."""
    driven = Driven(discovery="automatic")
    call = driven.watching()
    grace_s, hold_up_s, answer_s = 0.3, 0.15, 0.02
    for _ in range(6):
        driven.answer(call, 4)
        before, call = driven.now, driven.call()
        assert 0 < call.made_at - before <= grace_s - hold_up_s - answer_s
        driven.answer(call, 4)
        call = driven.call()


def test_lower_settings_end_a_longer_wait() -> None:
    driven = Driven()
    watch = driven.watching()
    driven.now += 1.0
    driven.watch.apply_settings(bounds_of(ask_within_s=2.0), driven.now)
    call = driven.call()
    assert call.short and call.made_at == driven.now <= watch.made_at + 1.0 + 2.0 + ANSWER_MARGIN_S


def test_an_agent_is_called_often_and_without_regard_to_other_senders() -> None:
    bounds = bounds_of(200, discovery="automatic")
    assert bounds.spread_s == 0.0 and bounds.wait_s < NOTIFIED_AFTER_WAIT_S + SHORT_WAIT_S


def test_a_stopped_watch_makes_no_calls_and_starts_again() -> None:
    driven = Driven()
    call = driven.watching()
    driven.watch.stop(driven.now)
    assert not driven.poll() and driven.dropped == [call] and driven.watch.wakes_at() == float("inf")
    driven.watch.start(driven.now)
    assert driven.call().made_at == driven.now
