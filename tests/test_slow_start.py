"""Slow start's budget over a whole fleet, in virtual time (docs/slow-start.md), and each cause by itself."""

from __future__ import annotations

import math

import pytest

from benchmarks.slow_start import SENDERS, played
from benchmarks.slow_start_model import (
    COLD_S,
    FALL_MULTIPLE,
    FALL_S,
    START_CAPACITY,
    Arrival,
    Fleet,
    Outage,
    Scene,
    allowed_calls,
    budget_at,
    margin,
)
from rillspindle import slow_start
from rillspindle.interface import ListKind, Outcome, Settings
from rillspindle.state import Route
from tests.driver import Driver, entry
from tests.settings import settings

RATE = 20.0


def test_the_allowed_calls_are_those_of_the_terms() -> None:
    assert allowed_calls(100.0) == 100 + 2 * 10 + 2
    assert allowed_calls(16.0) == 16 + 3 * 4 + 3
    assert budget_at(10.0, 0.0) == pytest.approx(FALL_MULTIPLE * FALL_S * 10 * START_CAPACITY)
    assert budget_at(10.0, COLD_S + FALL_S) == pytest.approx(FALL_MULTIPLE * FALL_S * 10)


def test_a_span_that_is_pushed_over_breaks_the_rule_only_where_most_were_told() -> None:
    calls = math.floor(allowed_calls(budget_at(RATE, 0.1))) + 1

    def found(told: int) -> bool:
        times = [100 + 0.1 * place / calls for place in range(calls)]
        arrivals = [Arrival(at, 1.0, place < told) for place, at in enumerate(times)]
        return margin(arrivals, RATE, 100.0).broken

    assert found(told=calls)
    assert found(told=calls * 2 // 3 + 1)
    assert not found(told=calls * 2 // 3)


def test_a_batch_weighs_more_than_one_call_and_calls_before_the_return_weigh_nothing() -> None:
    single, batch = Arrival(100.0, 1.0, True), Arrival(100.0, 1.2, True)
    assert margin([batch], RATE, 100.0).worst == pytest.approx(1.2 * margin([single], RATE, 100.0).worst)
    assert margin([Arrival(99.0, 1.0, True)] * 1000, RATE, 100.0).worst == 0.0


SEEDS = range(3)


@pytest.mark.parametrize("senders", SENDERS)
@pytest.mark.parametrize("outage", Outage, ids=lambda outage: outage.value)
def test_no_fleet_pushes_a_destination_over_that_comes_back(senders: int, outage: Outage) -> None:
    """Demands from a tenth to past the capacity, thin and uneven senders, batches, restarts meanwhile."""
    for seed in SEEDS:
        scene = Scene.drawn(senders, outage, seed)
        found = Fleet(scene).play()
        assert not found.broken, (scene, found)


@pytest.mark.parametrize(
    ("senders", "outage", "seed"),
    [
        (3, Outage.NO_CONNECTION, 26),  # messages asked for counted as calls: 1.74 of the allowed ones
        (1, Outage.SHUT_WITH_WAIT, 10),  # an answer of an earlier call began the warm-up too soon: 1.54
        (12, Outage.SILENT, 10),  # two failures of each sender: 1.66
        (30, Outage.SHUT_WITH_WAIT, 10),  # first calls behind a told wait at the pace of a warm one: 1.22
    ],
)
def test_scenes_that_broke_the_rule_before(senders: int, outage: Outage, seed: int) -> None:
    found = Fleet(Scene.drawn(senders, outage, seed)).play()
    assert not found.broken, found


def test_the_parts_of_all_senders_add_up_to_the_budget_whatever_is_asked() -> None:
    for senders in SENDERS:
        told = Settings.from_mapping(settings(balancers=senders))
        route = Route(limit=RATE / senders, cold_since=100.0, rate=5 * RATE)
        whole = senders * slow_start.calls_per_s(route, demand=9 * RATE, now=100.0, settings=told)
        assert whole == pytest.approx(slow_start.PART * told.fall_multiple * told.start_capacity * RATE)


def test_where_no_limit_is_listed_the_healthy_rate_counts_and_only_without_it_what_is_asked() -> None:
    told = Settings.from_mapping(settings())
    factor = slow_start.PART * told.fall_multiple * told.start_capacity
    known = Route(rate=4.0, cold_since=100.0)
    assert slow_start.calls_per_s(known, 50.0, 100.0, told) == pytest.approx(factor * 4)
    unknown = Route(cold_since=100.0)
    assert slow_start.calls_per_s(unknown, 50.0, 100.0, told) == pytest.approx(factor * 50)


def test_it_warms_up_from_the_first_answer_and_ends() -> None:
    told = Settings.from_mapping(settings())
    route = Route(limit=RATE, cold_since=100.0, rate_at=99.0)
    assert slow_start.warm_share(route, 150.0, told) == told.start_capacity
    route.rate_at = 100.0
    shares = [slow_start.warm_share(route, 100.0 + age, told) for age in (0.0, 3.0, 6.0, 9.0)]
    assert shares == sorted(shares) and shares[0] == told.start_capacity and shares[-1] == 1.0
    assert slow_start.calls_per_s(route, 1.0, 100.0 + told.cold, told) == math.inf


def told_to_wait(seconds: float) -> Driver:
    """A sender with an earlier call out that has been told by the next one that the destination is shut."""
    d = Driver(settings(weights="nominal"))
    d.targets(ListKind.CACHED, entry(1, scale=RATE))
    d.incoming(1)
    d.now += 0.1
    d.incoming(2)
    d.now += 0.1
    d.respond(2, Outcome.FULL, wait=seconds)
    return d


def test_an_answer_of_an_earlier_call_does_not_begin_the_warm_up_before_the_wait_is_over() -> None:
    d = told_to_wait(8.0)
    route = d.policy.dests[0].route
    opens = route.cold_since
    assert opens == route.wait_until
    d.now += 0.1
    d.respond(1, Outcome.OK)
    assert route.cold_since == opens
    assert slow_start.warm_share(route, opens + 0.1, d.policy.set) < d.policy.set.start_capacity + 0.02


def test_first_calls_behind_a_told_wait_are_spread_as_slow_start_spreads_them() -> None:
    """Each of many senders is told the same moment: at the pace of a warm one they would be too many."""
    turns = []
    for seed in range(60):
        d = Driver(settings(weights="nominal", balancers=20), seed)
        d.targets(ListKind.CACHED, entry(1, scale=RATE))
        d.incoming(1)
        d.respond(1, Outcome.FULL, wait=6.0)
        route = d.policy.dests[0].route
        turns.append(route.next_at - route.wait_until)
    slow = 1 / slow_start.calls_per_s(route, 0.0, d.now, d.policy.set)
    assert 0.9 * slow < max(turns) <= slow + 0.01 and min(turns) < 0.1 * slow


def failing(d: Driver, msg: int, gap: float) -> None:
    d.now += gap
    d.advance(d.now)
    d.incoming(msg)
    d.advance(d.now + 0.2)  # behind the next try of the one before
    assert (msg, 0) in d.pending(), "it was sent"
    d.respond(msg, Outcome.ERROR)


def test_two_failures_in_a_row_and_no_answer_for_longer_than_a_push_over_are_an_outage() -> None:
    d = Driver(settings())
    d.targets(ListKind.CACHED, entry(1))
    d.incoming(1)
    d.respond(1, Outcome.OK)
    route = d.policy.dests[0].route
    failing(d, 2, 0.9)
    assert route.cold_since == -math.inf, "a lone one may be chance"
    failing(d, 3, 0.9)
    assert route.cold_since == d.now


def test_two_failures_do_not_start_a_warm_up_over() -> None:
    """At a destination that fails a part of its calls for long, a thin sender would never be warm."""
    d = Driver(settings(weights="nominal"))
    d.targets(ListKind.CACHED, entry(1, scale=RATE))
    d.incoming(1)
    d.respond(1, Outcome.OK)
    route = d.policy.dests[0].route
    route.cold_since = began = d.now - 4.0
    failing(d, 2, 0.9)
    failing(d, 3, 0.9)
    assert route.cold_since == began


def test_a_scene_gives_one_course() -> None:
    scene = Scene.drawn(5, Outage.ERRORS, 3)
    assert scene == Scene.drawn(5, Outage.ERRORS, 3)
    assert played([3], [5]) == played([3], [5])
