"""The decisions on connections, as pure functions: timers, admission, turns, times to come back, bytes."""

from __future__ import annotations

import math
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.connections.admission import Activity, Admission, Bounds, Rejection, SharedLimit
from mountgauge.connections.budget import ByteBudget
from mountgauge.connections.descriptors import RESERVED_DESCRIPTORS, shares, shortfall
from mountgauge.connections.scheduler import (
    QUANTUM,
    STEADY_PER_BATCH,
    WOKEN_PER_BATCH,
    OverloadDetector,
    RetrySpread,
    Scheduler,
)
from mountgauge.connections.settings import read_clients
from mountgauge.connections.timer_wheel import INFINITE, TimerWheel
from mountgauge.core.config import ConfigError
from mountgauge.operator_file import load
from mountgauge.settings_table import Table

TICK = 0.25


class One:
    """What timer wheel and admission need of a connection."""

    def __init__(self, name: int) -> None:
        self.name = name
        self.due_at, self.tick = INFINITE, -1
        self.activity: int = Activity.BUSY
        self.since, self.user = 0.0, ""

    def __repr__(self) -> str:
        return f"<{self.name}>"


WHEEL = st.lists(
    st.one_of(
        st.tuples(st.just("arm"), st.integers(0, 9), st.floats(-1, 300)),
        st.tuples(st.just("disarm"), st.integers(0, 9), st.just(0.0)),
        st.tuples(st.just("pass"), st.integers(1, 4), st.floats(0, 40)),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(WHEEL, st.integers(2, 40))
def test_the_wheel_against_a_list_of_deadlines(steps: list[tuple[str, int, float]], slots: int) -> None:
    """Nothing early, nothing twice, nothing more than two ticks late; empty, it asks for no wakeup."""
    now = 7.3
    wheel, items = TimerWheel[One](now, TICK, slots), [One(n) for n in range(10)]
    model: dict[One, float] = {}
    since: dict[One, float] = {}  # when it was armed: what was due before is due then
    for step, which, value in steps:
        if step == "arm":
            wheel.arm(items[which], now + value)
            model[items[which]], since[items[which]] = now + value, now
        elif step == "disarm":
            wheel.disarm(items[which])
            model.pop(items[which], None)
        else:
            now += value
            while found := wheel.due(now, which):
                assert len(found) <= which
                for item in found:
                    assert model.pop(item) <= now and item.due_at == INFINITE and item.tick == -1
            # With a bound on visits a call may come back empty-handed: a few more go on.
            for _ in range(200):
                for item in wheel.due(now, which):
                    assert model.pop(item) <= now
            late = [now - max(when, since[item]) for item, when in model.items()]
            assert max(late, default=0.0) < 2 * TICK + 1e-6
        assert wheel.armed == len(model)
        if model:
            assert wheel.next_at() <= max(now, min(model.values())) + 2 * TICK
        else:
            assert wheel.next_at() == INFINITE
    for item in list(model):
        wheel.disarm(item)
    assert not wheel.armed and not any(wheel._slots)


def test_a_deadline_that_moves_away_costs_nothing_until_its_slot_comes() -> None:
    wheel, item = TimerWheel[One](0.0, TICK), One(1)
    for n in range(1000):
        wheel.arm(item, 5.0 + n / 1000)
    assert (wheel.armed, wheel.moved) == (1, 0)
    assert wheel.due(5.5, 9) == [] and wheel.moved == 1
    assert wheel.due(6.3, 9) == [item]


def test_the_wheel_hands_out_a_crowd_in_batches() -> None:
    wheel, items = TimerWheel[One](0.0, TICK), [One(n) for n in range(1000)]
    for item in items:
        wheel.arm(item, 1.0)
    sizes = []
    while found := wheel.due(2.0, 64):
        sizes.append(len(found))
    assert sizes == [64] * 15 + [40] and wheel.next_at() == INFINITE


# Places

ADMISSION = st.lists(
    st.tuples(
        st.sampled_from(["join", "join", "ask", "rest", "leave", "go", "pass"]),
        st.integers(0, 30),
        st.integers(0, 2),
    ),
    max_size=80,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(ADMISSION, st.integers(1, 6), st.integers(1, 8), st.booleans())
def test_places_are_bounded_and_who_asks_keeps_its_own(
    steps: list[tuple[str, int, int]], most: int, shared: int, displace: bool
) -> None:
    """By front and in all; nobody with an open request goes; within a rank the longest there goes first."""
    bounds, both = Bounds(most, displace=displace), SharedLimit(shared)
    front, other = Admission[One](bounds, both), Admission[One](Bounds(9), both)
    now, number = 0.0, 0
    for step, pick, rank in steps:
        members = sorted(front.members, key=lambda one: one.name)
        one = members[pick % len(members)] if members else None
        if step == "pass":
            now += pick / 20
        elif step == "join":
            number += 1
            if pick % 5 == 0 and both.open < shared:
                other.add(One(-number), now)
                continue
            newcomer = One(number)
            if (why := front.rejection_reason()) is not None:
                assert (why is Rejection.FRONT) == (len(front) >= most)
                victim = front.eviction_candidate(now)
                if victim is None:
                    assert not displace or all(m.activity == Activity.BUSY for m in front.members)
                    continue
                assert displace and victim.activity != Activity.BUSY
                peers = [m for m in front.members if m.activity == victim.activity]
                assert victim.since == min(m.since for m in peers)
                # Nobody else could go with less harm.
                if Activity.IDLE <= victim.activity < Activity.LEAVING:
                    assert not any(Activity.IDLE <= m.activity < victim.activity for m in front.members)
                front.remove(victim)
            front.add(newcomer, now)
        elif one is not None and step == "ask":
            front.set_activity(one, Activity.BUSY, now)
        elif one is not None and step == "rest":
            front.set_activity(one, Activity.IDLE + rank, now)
        elif one is not None and step == "leave":
            front.set_activity(one, Activity.LEAVING, now)
        elif one is not None and step == "go":
            front.remove(one)
        assert len(front) <= most and both.open == len(front) + len(other) <= shared + 1
        counts = [front.count(one) for one in (Activity.SILENT, Activity.LEAVING, Activity.BUSY)]
        assert sum(counts) + front.idle == len(front)


def test_a_user_has_so_many_connections_and_no_more() -> None:
    admission = Admission[One](Bounds(9, most_per_user=2), SharedLimit(9))
    ones = [One(n) for n in range(4)]
    for one in ones:
        admission.add(one, 0.0)
    assert [admission.log_in(one, "rossi") for one in ones[:3]] == [None, None, Rejection.USER]
    assert admission.log_in(ones[0], "rossi") is None  # again: it counts once
    assert admission.log_in(ones[3], "bianchi") is None
    assert admission.log_in(ones[0], "bianchi") is None  # another user on the same connection
    assert admission.log_in(ones[2], "rossi") is None and admission.users == {"rossi": 2, "bianchi": 2}
    for one in ones:
        admission.remove(one)
    assert not admission.users and not admission.shared.open


# Scheduler


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.integers(1, 1000), min_size=1, max_size=30), st.integers(1, 9))
def test_a_thousand_commands_do_not_go_before_one(commands: list[int], batch: int) -> None:
    """Whoever has the fewest is done first, and nobody is more than a quantum ahead of another who waits."""
    scheduler = Scheduler[int]()
    left, heard, done = dict(enumerate(commands)), Counter[int](), list[int]()
    for one in left:
        scheduler.enqueue(one)
    while scheduler:
        for one in scheduler.round(batch):
            count = min(QUANTUM, left[one])
            left[one] -= count
            heard[one] += count
            if left[one]:
                scheduler.enqueue(one)
            else:
                done.append(one)
            waiting = [n for n in left if left[n]]
            said = [heard[n] for n in waiting]
            assert not said or max(said) - min(said) <= QUANTUM
    rounds = [math.ceil(commands[one] / QUANTUM) for one in done]
    assert rounds == sorted(rounds) and not any(left.values())


def test_who_is_dropped_has_no_turn() -> None:
    scheduler = Scheduler[int]()
    for n in range(4):
        scheduler.enqueue(n)
    found = []
    for n in scheduler.round(9):
        found.append(n)
        scheduler.drop(n + 1)
    assert found == [0, 2] and not scheduler


@settings(derandomize=True, deadline=None)
@given(st.integers(100, 20_000), st.floats(50, 5000))
def test_times_to_come_back_lie_evenly(waiting: int, rate: float) -> None:
    """No tenth of the span gets half as many again as its share; the span is what serving them takes."""
    spread = RetrySpread()
    found = [spread.next_delay_ms(waiting, rate) for _ in range(min(waiting, 2000))]
    span = min(60_000, max(200, 1000 * waiting / rate))
    assert min(found) >= 200 and max(found) <= 200 + span
    tenths = Counter(int((ms - 200) * 10 / (span + 1)) for ms in found)
    assert len(tenths) == 10 and max(tenths.values()) <= 0.1 * len(found) * 1.5 + 2


def test_a_crowd_is_turned_away_once_polls_stay_full_and_the_woken_before_the_steady() -> None:
    crowd = OverloadDetector(patience_s=0.1)
    for n in range(3):
        crowd.record_poll(True, n * 0.05)
    assert not crowd.should_reject(0.1, woken=True)
    heard = [not crowd.should_reject(0.15, woken=True) for _ in range(9)]
    assert heard.count(True) == WOKEN_PER_BATCH and heard[0]  # of each batch a few are heard all the same
    assert (
        [not crowd.should_reject(0.15, woken=False) for _ in range(9)].count(True)
        == STEADY_PER_BATCH
        > WOKEN_PER_BATCH
    )
    crowd.record_poll(True, 0.2)
    assert not crowd.should_reject(0.2, woken=True) and crowd.should_reject(0.2, woken=True)
    crowd.record_poll(False, 0.25)
    assert not crowd.should_reject(9.0, woken=True)
    spread = RetrySpread()
    for n in range(500):
        crowd.count_served(10 + n / 1000)
    late = [crowd.next_delay_ms(spread, 10.5 + n / 10_000) for n in range(2000)]
    assert max(late[1000:]) > 2000  # 500 a second were served: two thousand take four seconds


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 100)), max_size=60), st.integers(50, 200))
def test_bytes_in_buffers_are_bounded_in_all(steps: list[tuple[int, int]], most: int) -> None:
    budget, model = ByteBudget[int](most), dict[int, int]()
    for who, count in steps:
        model[who] = count
        victim = budget.set_bytes(who, count)
        if victim is not None:
            assert sum(model.values()) > most and model[victim] == max(model.values())
            model[victim] = 0
            budget.set_bytes(victim, 0)
        assert budget.total == sum(model.values()) <= most


# Settings


def clients(text: dict[str, object]) -> None:
    read_clients(Table(text, "clients"), 1000, 64_000_000)


@pytest.mark.parametrize(("text", "why"), [
    ({"most": 1001}, "clients.most: 1001 connections, but limits.sockets leaves 1000: raise it by 1"),
    ({"most": 0}, "clients.most: must be 1 at least"), ({"most_resp": True}, "clients.most_resp: wrong type"),
    ({"idle": "never"}, 'clients.idle: seconds, or "forever"'), ({"idle": 0}, "clients.idle: between"),
    ({"half": 1e9}, "clients.half: between"), ({"keepalive": -1}, "clients.keepalive: between"),
    ({"when_full": "panic"}, "clients.when_full: displace or refuse"),
    ({"buffers_mb": 40}, "clients.buffers_mb: between 0.2 and half"), ({"buffers_mb": 0}, "must be above 0"),
    ({"most_per_user": -1}, "clients.most_per_user"), ({"mots": 4}, "clients.mots: unknown setting"),
])  # fmt: skip
def test_what_cannot_be_meant_is_one_clear_line(text: dict[str, object], why: str) -> None:
    with pytest.raises(ConfigError) as error:
        clients(text)
    assert why in str(error.value) and "\n" not in str(error.value)


def test_settings_as_the_operators_page_has_them() -> None:
    raw = {"idle": "forever", "most": 900, "most_amqp": 2000}
    found = read_clients(Table(raw, "clients"), 1000, 64_000_000)
    assert (found.most, found.most_resp, found.most_amqp) == (900, 900, 900)
    assert found.resp.idle == found.amqp.idle == INFINITE and found.buffers == 8e6
    assert read_clients(Table({}, "clients"), 1000, 64_000_000).resp.idle == 300
    assert load(Path("deploy/connections.toml")).clients is not None


def test_descriptors_are_divided_and_compared() -> None:
    assert shortfall(1000, 1000) is None and shortfall(1000, -1) is None
    assert "raise the hard limit" in (shortfall(1001, 1000) or "")
    for sockets in (60, 256, 1024, 20_000):
        clients_share, hops = shares(sockets, 32)
        assert clients_share + hops + RESERVED_DESCRIPTORS <= max(sockets, 60)
