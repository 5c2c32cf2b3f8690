"""Decisions on connections, without I/O: timers, admission, scheduling, retry delays, buffers, settings."""

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


class StubConnection:
    """The attributes of a connection that the timer wheel and admission use."""

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
def test_timer_wheel_matches_a_model_of_deadlines(steps: list[tuple[str, int, float]], slots: int) -> None:
    """Nothing is due early, twice or more than two ticks late; an empty wheel needs no wakeup."""
    now = 7.3
    wheel, items = TimerWheel[StubConnection](now, TICK, slots), [StubConnection(n) for n in range(10)]
    model: dict[StubConnection, float] = {}
    since: dict[StubConnection, float] = {}  # when it was armed: an overdue deadline counts from then
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
            # Visits are limited, so a call may return nothing while items are due: further calls continue.
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


def test_a_postponed_deadline_is_moved_only_when_its_slot_comes_up() -> None:
    wheel, item = TimerWheel[StubConnection](0.0, TICK), StubConnection(1)
    for n in range(1000):
        wheel.arm(item, 5.0 + n / 1000)
    assert (wheel.armed, wheel.moved) == (1, 0)
    assert wheel.due(5.5, 9) == [] and wheel.moved == 1
    assert wheel.due(6.3, 9) == [item]


def test_many_due_items_are_returned_in_batches() -> None:
    wheel, items = TimerWheel[StubConnection](0.0, TICK), [StubConnection(n) for n in range(1000)]
    for item in items:
        wheel.arm(item, 1.0)
    sizes = []
    while found := wheel.due(2.0, 64):
        sizes.append(len(found))
    assert sizes == [64] * 15 + [40] and wheel.next_at() == INFINITE


# Admission

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
def test_connections_are_limited_and_busy_ones_are_never_evicted(
    steps: list[tuple[str, int, int]], most: int, shared: int, displace: bool
) -> None:
    """The limits per front and in total hold; within a rank the connection idle longest is evicted."""
    bounds, both = Bounds(most, displace=displace), SharedLimit(shared)
    front, other = Admission[StubConnection](bounds, both), Admission[StubConnection](Bounds(9), both)
    now, number = 0.0, 0
    for step, pick, rank in steps:
        members = sorted(front.members, key=lambda one: one.name)
        one = members[pick % len(members)] if members else None
        if step == "pass":
            now += pick / 20
        elif step == "join":
            number += 1
            if pick % 5 == 0 and both.open < shared:
                other.add(StubConnection(-number), now)
                continue
            newcomer = StubConnection(number)
            if (why := front.rejection_reason()) is not None:
                assert (why is Rejection.FRONT) == (len(front) >= most)
                victim = front.eviction_candidate(now)
                if victim is None:
                    assert not displace or all(m.activity == Activity.BUSY for m in front.members)
                    continue
                assert displace and victim.activity != Activity.BUSY
                peers = [m for m in front.members if m.activity == victim.activity]
                assert victim.since == min(m.since for m in peers)
                # No connection of a lower rank could be evicted instead.
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


def test_connections_of_a_user_are_limited() -> None:
    admission = Admission[StubConnection](Bounds(9, most_per_user=2), SharedLimit(9))
    ones = [StubConnection(n) for n in range(4)]
    for one in ones:
        admission.add(one, 0.0)
    assert [admission.log_in(one, "rossi") for one in ones[:3]] == [None, None, Rejection.USER]
    assert admission.log_in(ones[0], "rossi") is None  # a repeated login counts once
    assert admission.log_in(ones[3], "bianchi") is None
    assert admission.log_in(ones[0], "bianchi") is None  # another user on the same connection
    assert admission.log_in(ones[2], "rossi") is None and admission.users == {"rossi": 2, "bianchi": 2}
    for one in ones:
        admission.remove(one)
    assert not admission.users and not admission.shared.open


# Scheduler


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.integers(1, 1000), min_size=1, max_size=30), st.integers(1, 9))
def test_scheduling_is_fair_to_within_a_quantum(commands: list[int], batch: int) -> None:
    """Connections with fewer commands finish first; none gets more than a quantum ahead of a waiting one."""
    scheduler = Scheduler[int]()
    remaining, served, done = dict(enumerate(commands)), Counter[int](), list[int]()
    for one in remaining:
        scheduler.enqueue(one)
    while scheduler:
        for one in scheduler.round(batch):
            count = min(QUANTUM, remaining[one])
            remaining[one] -= count
            served[one] += count
            if remaining[one]:
                scheduler.enqueue(one)
            else:
                done.append(one)
            waiting = [n for n in remaining if remaining[n]]
            counts = [served[n] for n in waiting]
            assert not counts or max(counts) - min(counts) <= QUANTUM
    rounds = [math.ceil(commands[one] / QUANTUM) for one in done]
    assert rounds == sorted(rounds) and not any(remaining.values())


def test_a_dropped_connection_gets_no_turn() -> None:
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
def test_retry_delays_are_spread_evenly(waiting: int, rate: float) -> None:
    """No tenth of the span gets 1.5 times its share of clients; the span is the time to serve them all."""
    spread = RetrySpread()
    found = [spread.next_delay_ms(waiting, rate) for _ in range(min(waiting, 2000))]
    span = min(60_000, max(200, 1000 * waiting / rate))
    assert min(found) >= 200 and max(found) <= 200 + span
    tenths = Counter(int((ms - 200) * 10 / (span + 1)) for ms in found)
    assert len(tenths) == 10 and max(tenths.values()) <= 0.1 * len(found) * 1.5 + 2


def test_overload_rejects_more_woken_than_steady_connections_once_polls_stay_full() -> None:
    detector = OverloadDetector(patience_s=0.1)
    for n in range(3):
        detector.record_poll(True, n * 0.05)
    assert not detector.should_reject(0.1, woken=True)
    served = [not detector.should_reject(0.15, woken=True) for _ in range(9)]
    assert served.count(True) == WOKEN_PER_BATCH and served[0]  # a few of each batch are served nonetheless
    assert (
        [not detector.should_reject(0.15, woken=False) for _ in range(9)].count(True)
        == STEADY_PER_BATCH
        > WOKEN_PER_BATCH
    )
    detector.record_poll(True, 0.2)
    assert not detector.should_reject(0.2, woken=True) and detector.should_reject(0.2, woken=True)
    detector.record_poll(False, 0.25)
    assert not detector.should_reject(9.0, woken=True)
    spread = RetrySpread()
    for n in range(500):
        detector.count_served(10 + n / 1000)
    delays = [detector.next_delay_ms(spread, 10.5 + n / 10_000) for n in range(2000)]
    assert max(delays[1000:]) > 2000  # 500 a second were served: two thousand take four seconds


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 100)), max_size=60), st.integers(50, 200))
def test_the_total_of_buffered_bytes_is_limited(steps: list[tuple[int, int]], most: int) -> None:
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


def parse_clients(text: dict[str, object]) -> None:
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
def test_invalid_settings_raise_a_one_line_error(text: dict[str, object], why: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse_clients(text)
    assert why in str(error.value) and "\n" not in str(error.value)


def test_settings_and_defaults_match_the_documentation() -> None:
    raw = {"idle": "forever", "most": 900, "most_amqp": 2000}
    found = read_clients(Table(raw, "clients"), 1000, 64_000_000)
    assert (found.most, found.most_resp, found.most_amqp) == (900, 900, 900)
    assert found.resp.idle == found.amqp.idle == INFINITE and found.buffers == 8e6
    assert read_clients(Table({}, "clients"), 1000, 64_000_000).resp.idle == 300
    assert load(Path("deploy/connections.toml")).clients is not None


def test_descriptors_are_divided_and_a_shortfall_is_reported() -> None:
    assert shortfall(1000, 1000) is None and shortfall(1000, -1) is None
    assert "raise the hard limit" in (shortfall(1001, 1000) or "")
    for sockets in (60, 256, 1024, 20_000):
        clients_share, hops = shares(sockets, 32)
        assert clients_share + hops + RESERVED_DESCRIPTORS <= max(sockets, 60)
