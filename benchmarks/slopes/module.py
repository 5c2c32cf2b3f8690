"""The decision module: list updates, memory, and code paths that visit all destinations or messages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from benchmarks.slopes.fixtures import DEADLINE_S, answered, entry, incoming, listed_policy, numbers, settings
from benchmarks.slopes.probe import Axis, Method, Probe, Sample, Unit, allocated, timed
from rillspindle import Policy
from rillspindle import interface as io
from rillspindle.interface import Readiness
from rillspindle.policy import OPEN_SHARE

_BACKLOG_SIZES = (1_000, 3_000, 10_000, 30_000, 100_000, 300_000)
_NOW = 101.0


def _delta(count: int) -> Sample:
    """One endpoint starts to drain, or becomes ready again."""
    policy = listed_policy(count)
    turns = numbers()

    def change() -> None:
        turn = turns()
        readiness = Readiness.DRAINING if turn % 2 else Readiness.READY
        policy.handle(io.Targets(io.ListKind.DELTA, turn, (entry(count // 2, readiness),)), _NOW)

    return lambda: timed(change)


def _full_list(count: int) -> Sample:
    policy = listed_policy(count)
    event = io.Targets(io.ListKind.FULL, 2, tuple(entry(number) for number in range(count)))
    return lambda: timed(lambda: policy.handle(event, _NOW))


def _memory(count: int) -> Sample:
    entries = tuple(entry(number) for number in range(count))

    def build() -> Policy:
        policy = Policy(settings(), 1)
        policy.handle(io.Targets(io.ListKind.FULL, 1, entries), 100.0)
        return policy

    return lambda: allocated(build)


def _message(count: int) -> Sample:
    """A message arrives and is answered while slots are free."""
    policy, fresh = listed_policy(count, workers=64), numbers()
    dest = count // 2

    def one() -> None:
        number = fresh()
        policy.handle(incoming(number, dest, _NOW), _NOW)
        policy.handle(answered(number, dest), _NOW)

    return lambda: timed(one)


def _starved(count: int) -> Sample:
    """The only slot becomes free while a message waits for it."""
    policy, fresh = listed_policy(count, workers=1), numbers()
    dest = count // 2
    policy.handle(incoming(fresh(), dest, _NOW), _NOW)

    def one() -> None:
        number = fresh()
        policy.handle(incoming(number, dest + number % 2, _NOW), _NOW)
        policy.handle(answered(number - 1, dest + (number - 1) % 2), _NOW)

    return lambda: timed(one)


def _full_queue(count: int) -> Sample:
    """A message arrives while the queue is full: the message of least value is searched for."""
    capacity = 200
    policy, fresh = listed_policy(count, workers=1, max_open=capacity), numbers()
    for _ in range(capacity):
        number = fresh()
        policy.handle(incoming(number, number % count, _NOW), _NOW)

    def one() -> None:
        number = fresh()
        policy.handle(incoming(number, number % count, _NOW + 0.9 * 3600), _NOW + 0.9 * 3600)

    return lambda: timed(one)


def _full_large_queue(count: int) -> Sample:
    """The same, with a queue of so many messages for a hundred destinations."""
    policy, fresh = listed_policy(100, workers=1, max_open=int(count / OPEN_SHARE) + 1), numbers()
    for _ in range(count):
        number = fresh()
        policy.handle(incoming(number, number % 100, _NOW), _NOW)
    later = _NOW + 0.9 * DEADLINE_S  # so late that no queued message is still owed an attempt

    def one() -> None:
        number = fresh()
        policy.handle(incoming(number, number % 100, later), later)

    return lambda: timed(one)


def _backlogged(count: int) -> tuple[Policy, Callable[[], int]]:
    """A destination that has all slots, and so many queued messages."""
    policy, fresh = listed_policy(1, workers=2), numbers()
    for _ in range(count):
        policy.handle(incoming(fresh(), 0, _NOW), _NOW)
    return policy, fresh


def _backlog_answer(count: int) -> Sample:
    """A message arrives, a call is answered, and the next message is sent: the backlog stays the same."""
    policy, fresh = _backlogged(count)
    in_flight = [number for number, message in policy.messages.items() if message.in_flight]

    def one() -> None:
        policy.handle(incoming(fresh(), 0, _NOW), _NOW)
        actions = policy.handle(answered(in_flight.pop(0), 0), _NOW)
        in_flight.extend(action.msg_id for action in actions if isinstance(action, io.Issue))

    return lambda: timed(one)


def _backlog_arrival(count: int) -> Sample:
    """A message arrives for it while slots are free, but none that this destination may use."""
    policy, fresh = _backlogged(count)
    policy.settings = replace(policy.settings, workers=3)
    return lambda: timed(lambda: policy.handle(incoming(fresh(), 0, _NOW), _NOW))


def _queued_memory(count: int) -> Sample:
    def build() -> Policy:
        policy = listed_policy(1, workers=1)
        for number in range(1, count + 1):
            policy.handle(incoming(number, 0, _NOW), _NOW)
        return policy

    return lambda: allocated(build)


PROBES = (
    Probe("policy-one-change", _delta, "rillspindle.policy.Policy._list", repeats=3, limit_s=25.0),
    Probe("policy-whole-list", _full_list, "rillspindle.policy.Policy._list", repeats=2, limit_s=15.0),
    Probe("policy-memory", _memory, "rillspindle.catalog, rillspindle.state.Dest, Endpoint",
          unit=Unit.BYTES, method=Method.TRACEMALLOC, repeats=1, limit_s=30.0),
    Probe("policy-message", _message, "rillspindle.policy.Policy._take, _outcome"),
    Probe("policy-starved-slot", _starved, "rillspindle.policy.Policy._outcome (sorted by _slot_worth)"),
    Probe("policy-full-room", _full_queue, "rillspindle.policy.Policy._hold (_drain_time of each)",
          sizes=(1_000, 3_000, 10_000, 30_000, 100_000, 300_000)),
    Probe("policy-full-room-held", _full_large_queue, "rillspindle.policy.Policy._hold (each held message)",
          axis=Axis.MESSAGES, sizes=_BACKLOG_SIZES, repeats=3),
    Probe("policy-backlog-answer", _backlog_answer, "rillspindle.policy.Policy._slot_worth, _pump",
          axis=Axis.MESSAGES, sizes=_BACKLOG_SIZES),
    Probe("policy-backlog-arrival", _backlog_arrival, "rillspindle.policy.Policy._pump (list of dest.queued)",
          axis=Axis.MESSAGES, sizes=_BACKLOG_SIZES),
    Probe("policy-held-memory", _queued_memory, "rillspindle.state.Message",
          axis=Axis.MESSAGES, sizes=_BACKLOG_SIZES, unit=Unit.BYTES, method=Method.TRACEMALLOC, repeats=1,
          limit_s=30.0),
)  # fmt: skip
