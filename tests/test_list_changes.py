"""A change of the list touches only what it changes, with the same decisions as a pass over the full list."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from rillspindle import Policy
from rillspindle import interface as io
from rillspindle.catalog import SWEEP, Catalog
from rillspindle.interface import ListKind, Outcome, Readiness
from rillspindle.policy import FORGET_FACTOR, INITIAL_RTT_S, LIMIT_TRUST, RAMP_RATE
from rillspindle.state import Dest, Endpoint, Message, Route
from tests.settings import settings


class ReferencePolicy(Policy):
    """The reference: visits every destination and every endpoint on each change."""

    def _list(self, event: io.Targets) -> None:
        if event.kind == io.ListKind.FAILED:
            super()._list(event)
            return
        if event.kind == io.ListKind.CACHED and self.settings.subscribe:
            self.actions.append(io.Watch(True))
        elif event.kind != io.ListKind.CACHED:
            self.watch_failures = 0
        if event.kind != io.ListKind.DELTA:
            listed = {entry.endpoint for entry in event.entries}
            self.endpoints = {name: ep for name, ep in self.endpoints.items() if name in listed}
        for entry in event.entries:
            if entry.readiness == Readiness.GONE:
                self.endpoints.pop(entry.endpoint, None)
                continue
            dest = self.catalog.dest(entry.owner)
            route = Route() if self.settings.routes_apart[entry.kind] else dest.route
            new = Endpoint(
                entry.endpoint, entry.zone, entry.kind, dest, route, INITIAL_RTT_S, INITIAL_RTT_S / 2
            )
            if (ep := self.endpoints.setdefault(entry.endpoint, new)) is new:
                route.window_end, route.failures = 0.0, 0
                route.rate_limit = max(route.rate_limit, route.limit * (not route.ramp))
            ep.ready = entry.readiness == Readiness.READY
            if self.settings.weights in ("nominal", "rough") and entry.scale > 0:
                trust = 1.0 if self.settings.weights == "nominal" else LIMIT_TRUST
                ep.route.limit = trust * entry.scale / self.settings.balancers
                if self.many_nodes and ep.route.rate_limit == float("inf"):
                    ep.route.rate_limit = ep.route.limit
            if self.settings.ramp and not ep.route.ramp and ep.route.answered_at == -float("inf"):
                ep.route.ramp = RAMP_RATE
                ep.route.cold_since = self.now if ep.route.limit else -float("inf")
                ep.route.rate_limit = min(ep.route.rate_limit, self._ramp_start(ep))
                ep.route.next_at = self.now + self._interval(ep, self.random.random())
        named = {ep.dest.id for ep in self.endpoints.values()} | {
            msg.dest.id for msg in self.messages.values()
        }
        for dest in list(self.destinations.values()):
            dest.endpoints = [ep for ep in self.endpoints.values() if ep.ready and ep.dest is dest]
            self._pump(dest)
            latest = max(dest.seen_at, dest.route.answered_at, dest.route.cold_since)
            if dest.id in named:
                dest.seen_at = self.now
            elif self.now - latest > FORGET_FACTOR * self.settings.cold:
                del self.destinations[dest.id]


class ReferenceCatalog(Catalog):
    """Looks for queued messages at every destination."""

    def waiting(self) -> list[Dest]:
        return [dest for dest in self.destinations.values() if dest.queued]


def reference_policy(env: dict[str, Any], seed: int) -> Policy:
    policy = ReferencePolicy(env, seed)
    policy.catalog = ReferenceCatalog()
    policy.endpoints, policy.destinations = policy.catalog.endpoints, policy.catalog.destinations
    return policy


@dataclass
class Stream:
    """Random events for one node: lists, messages, the outcomes of its calls, and its timers."""

    policy: Policy
    draw: random.Random
    destinations: int
    now: float = 100.0
    trace: list[tuple[float, io.Action]] = field(default_factory=list)
    entries: dict[bytes, io.Entry] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    due: list[tuple[float, int, io.Event]] = field(default_factory=list)
    tries: dict[int, int] = field(default_factory=dict)
    orders: Iterator[int] = field(default_factory=itertools.count)

    def feed(self, event: io.Event) -> None:
        for action in self.policy.handle(event, self.now):
            self.trace.append((self.now, action))
            if isinstance(action, io.Schedule):
                self.later(action.delay, io.Ring(action.token))
            elif isinstance(action, io.Issue):
                self.answer(action)

    def later(self, delay: float, event: io.Event) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.orders), event))

    def answer(self, issue: io.Issue) -> None:
        send_no = self.tries.get(issue.msg_id, 0)
        self.tries[issue.msg_id] = send_no + 1
        outcomes = [Outcome.OK] * 6 + [Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.TIMEOUT]
        outcome = self.draw.choice(outcomes)
        spent = issue.timeout if outcome == Outcome.TIMEOUT else self.draw.uniform(0.01, 0.6)
        retry_after_ms = self.draw.choice([0, 0, 400, 3000]) if outcome == Outcome.FULL else 0
        finished = outcome == Outcome.OK
        response = io.Response(
            issue.msg_id, spent, issue.endpoint, outcome, send_no, finished, retry_after_ms, ()
        )
        self.later(spent, response)

    def entry(self) -> io.Entry:
        number = self.draw.randrange(3 * self.destinations)
        owner = number % self.destinations if self.draw.random() < 0.95 else 0
        readiness = self.draw.choice([Readiness.READY] * 5 + [Readiness.DRAINING, Readiness.GONE])
        scale = self.draw.choice([0.0, 4.0, 9.0])
        return io.Entry(readiness, 0.0, scale, number % 2, owner, owner % 2, b"e%d" % number)

    def change_list(self) -> None:
        changes = tuple(self.entry() for _ in range(self.draw.choice([1, 1, 1, 4])))
        if self.draw.random() < 0.1:
            kept = tuple(one for one in self.entries.values() if self.draw.random() < 0.8)
            self.entries = {one.endpoint: one for one in kept}
            self.feed(io.Targets(ListKind.FULL, 1, kept + changes))
        else:
            self.feed(io.Targets(ListKind.DELTA, 1, changes))
        for one in changes:
            self.entries.pop(one.endpoint, None)
            if one.readiness != Readiness.GONE:
                self.entries[one.endpoint] = one

    def message(self) -> None:
        message_class, number = (
            self.draw.randrange(len(self.policy.settings.message_classes)),
            next(self.numbers),
        )
        expires = self.now + self.policy.settings.message_classes[message_class].deadline
        destination = self.draw.randrange(self.destinations)
        key = self.draw.randrange(4)
        self.feed(io.Incoming(number, 0, expires, 0, 0.0, destination, message_class, key))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, event = heapq.heappop(self.due)
            self.feed(event)
        self.now = end

    def play(self, steps: int) -> None:
        self.feed(io.Targets(ListKind.CACHED, 1, tuple(self.entry() for _ in range(self.destinations))))
        for _ in range(steps):
            step = self.draw.choices(["message", "list", "time", "failed", "pause"], [60, 15, 20, 1, 0.7])[0]
            if step == "message":
                self.message()
            elif step == "list":
                self.change_list()
            elif step == "failed":
                self.feed(io.Targets(ListKind.FAILED, 1, ()))
            else:  # after a pause of this length a destination is forgotten
                self.advance(self.draw.uniform(0.0, 0.4) if step == "time" else 120.0)


CROWDED = {"workers": 3, "kindBatch": [1, 4], "losesWorth": "by_half", "routesApart": [False, True]}
RAMPING = {**CROWDED, "workers": 8, "ramp": True}


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize(
    "changed",
    [
        {},
        {"extra": CROWDED, "weights": "rough"},
        {"extra": RAMPING, "weights": "nominal", "discovery": "subscribe"},
        {"balancers": 200, "weights": "nominal"},
    ],
    ids=["plain", "few-slots", "ramp", "many-nodes"],
)
def test_same_actions_in_the_same_order_as_the_reference(changed: dict[str, Any], seed: int) -> None:
    env = settings(**changed)
    fast = Stream(Policy(env, seed), random.Random(seed), SWEEP // 2)
    reference = Stream(reference_policy(env, seed), random.Random(seed), SWEEP // 2)
    for stream in (fast, reference):
        stream.play(700)
    assert fast.trace == reference.trace
    assert list(fast.policy.destinations) == list(reference.policy.destinations)
    assert list(fast.policy.endpoints) == list(reference.policy.endpoints)
    kinds = {type(action) for _, action in fast.trace}
    assert {io.Issue, io.Schedule, io.PushBack} <= kinds, "the stream produced the actions to compare"


class CountingDest(dict[bytes, Endpoint]):
    """The endpoints of a destination; counts how often they are iterated over."""

    walks = 0

    def values(self) -> Any:
        CountingDest.walks += 1
        return super().values()


def listed(destinations: int) -> Policy:
    policy = Policy(settings(), 1)
    entries = tuple(
        io.Entry(Readiness.READY, 0.0, 0.0, 0, number, 0, b"e%d" % number) for number in range(destinations)
    )
    policy.handle(io.Targets(ListKind.FULL, 1, entries), 100.0)
    for dest in policy.destinations.values():
        dest.listed = CountingDest(dest.listed)
    return policy


@pytest.mark.parametrize("destinations", [100, 5000])
def test_a_change_visits_only_its_own_destination(destinations: int) -> None:
    policy = listed(destinations)
    CountingDest.walks = 0
    leaving = io.Entry(Readiness.DRAINING, 0.0, 0.0, 0, 7, 0, b"e7")
    policy.handle(io.Targets(ListKind.DELTA, 2, (leaving,)), 101.0)
    assert policy.destinations[7].endpoints == []
    assert CountingDest.walks == 1
    assert all(dest.seen_at < 101.0 for dest in policy.destinations.values()), (
        "no listed destination is swept"
    )


def test_old_destinations_are_forgotten_gradually() -> None:
    """Those with endpoints or messages stay, however many sweeps pass."""
    policy = listed(10 * SWEEP)
    kept = range(0, 10 * SWEEP, 5)
    entries = tuple(io.Entry(Readiness.READY, 0.0, 0.0, 0, number, 0, b"e%d" % number) for number in kept)
    now = 101.0
    policy.handle(io.Targets(ListKind.FULL, 2, entries), now)
    sizes = []
    for _ in range(40):
        now += FORGET_FACTOR * policy.settings.cold / 10
        policy.handle(io.Targets(ListKind.DELTA, 3, ()), now)
        sizes.append(len(policy.destinations))
    assert sizes[8] == 10 * SWEEP, "none is forgotten before its time"
    assert all(before - after <= SWEEP for before, after in itertools.pairwise(sizes))
    assert set(policy.destinations) == set(kept)


def test_a_destination_that_lost_its_endpoint_is_kept_for_the_full_time() -> None:
    policy = listed(10 * SWEEP)
    now = 100.0 + 3 * FORGET_FACTOR * policy.settings.cold
    policy.handle(io.Targets(ListKind.DELTA, 2, ()), now)
    gone = io.Entry(Readiness.GONE, 0.0, 0.0, 0, 7, 0, b"e7")
    policy.handle(io.Targets(ListKind.DELTA, 3, (gone,)), now + 1.0)
    policy.handle(io.Targets(ListKind.DELTA, 4, ()), now + 2.0)
    assert 7 in policy.destinations
    policy.handle(io.Targets(ListKind.DELTA, 5, ()), now + FORGET_FACTOR * policy.settings.cold + 3.0)
    assert 7 not in policy.destinations


def test_unfinished_messages_are_counted_by_destination() -> None:
    """The count of a destination equals the unfinished messages of the node for it, after any history."""
    stream = Stream(Policy(settings(), 3), random.Random(3), 5)
    stream.play(300)
    open_messages: dict[int, list[Message]] = {}
    for message in stream.policy.messages.values():
        open_messages.setdefault(message.dest.id, []).append(message)
    for dest in stream.policy.destinations.values():
        assert dest.unfinished == len(open_messages.get(dest.id, []))
