"""Many nodes of few calls each against one scripted destination, in virtual time: judged by sums over all."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from rillspindle.interface import ListKind, Outcome, Watch
from tests.driver import Driver, entry
from tests.settings import settings

EXTRA = {**settings()["extra"], "workers": 5}
NODES, RATE, DEPTH = 40, 24.0, 0.4  # calls/s of the destination, and s of them that may come at once


@dataclass
class Limited:
    """A destination that counts refused calls too, as a fleet of `NODES` meets it."""

    demand: float  # messages/s over all nodes
    lowered: tuple[float, float] = (0.0, 0.0)  # from when until when two thirds of the rate hold
    answers: Counter[tuple[int, int]] = field(default_factory=Counter)  # by second and outcome
    calls: Counter[bytes] = field(default_factory=Counter)  # by endpoint

    def play(self, seconds: float) -> None:
        env = settings(weights="nominal", balancers=NODES, extra=EXTRA)
        fleet = [Driver(env, seed) for seed in range(NODES)]
        rng, room, number, step = Random(5), RATE * DEPTH, 0, 0.02
        for d in fleet:
            d.targets(ListKind.CACHED, entry(1, scale=RATE), entry(2, scale=RATE))
        start = fleet[0].now
        for tick in range(int(seconds / step)):
            at = tick * step
            rate = RATE * 2 / 3 if self.lowered[0] <= at < self.lowered[1] else RATE
            room = min(rate * DEPTH, room + rate * step)
            while number < self.demand * at:
                number += 1
                d = rng.choice(fleet)
                d.advance(start + at)
                d.incoming(number)
            for d in fleet:
                d.advance(start + at)
                for msg, attempt in d.pending():
                    room -= 1
                    outcome = Outcome.OK if room >= 0 else Outcome.FULL
                    self.answers[int(at), outcome] += 1
                    self.calls[d.held[msg].sends[attempt]["endpoint"]] += 1
                    d.respond(msg, outcome, number=attempt)

    def count(self, outcome: int, begin: int, end: int) -> int:
        return sum(n for (at, what), n in self.answers.items() if what == outcome and begin <= at < end)


def test_a_listed_limit_holds_from_the_first_calls_on_and_a_lowered_one_is_found() -> None:
    """Refused calls use a limit up: forty nodes must neither be refused to learn it nor go on past it."""
    peer = Limited(demand=1.2 * RATE, lowered=(4.0, 13.0))
    peer.play(19)
    assert peer.count(Outcome.FULL, 0, 4) <= 0.02 * 4 * RATE
    assert peer.count(Outcome.OK, 8, 13) >= 0.4 * 5 * RATE * 2 / 3
    assert peer.count(Outcome.OK, 14, 19) >= 0.7 * 5 * RATE, "and it is used again once it is back"


def test_all_nodes_together_use_all_endpoints() -> None:
    """The first to have answered seems the quickest to each node: all would take the same one."""
    peer = Limited(demand=0.7 * RATE)
    peer.play(8)
    first, second = peer.calls.values()
    assert min(first, second) >= 0.3 * (first + second)


def test_after_a_common_failure_list_calls_come_spread_over_discoverys_time() -> None:
    """One after another: calls that wait too long fail, and cost discovery as much as those that don't."""
    asked = Counter[int]()
    for seed in range(NODES):
        d = Driver(settings(discovery="subscribe", balancers=NODES, extra=EXTRA), seed)
        d.targets(ListKind.CACHED, entry(1))
        start = d.now
        for _ in range(3):  # it keeps failing, 2 s after each call
            d.trace.clear()
            d.targets(ListKind.FAILED)
            while Watch(True) not in d.trace:
                d.advance(d.now + 0.1)
            asked[int(d.now - start)] += 1
            assert d.now - start < 40
            d.advance(d.now + 2)
    assert max(asked.values()) <= 12, "of forty, at most a few in each second"


def test_an_endpoint_that_replaces_another_inherits_neither_window_nor_lowered_pace() -> None:
    """A restarted node learns late that its endpoint was replaced: it must not wait longer for that."""
    d = Driver(settings(weights="nominal", balancers=NODES, extra=EXTRA))
    d.targets(ListKind.CACHED, entry(1, scale=RATE))
    d.incoming(1, left=60)
    d.respond(1, Outcome.FULL)
    for _ in range(200):
        d.advance(d.now + 0.1)
        if d.pending() and len(d.held[1].sends) < 5:
            d.respond(1, Outcome.CONNECT_FAILED)
    d.incoming(2, left=60)
    route = d.policy.destinations[0].route
    route.window_end = d.now + 30
    assert route.rate_limit < route.limit
    d.targets(ListKind.FULL, entry(2, scale=RATE))
    assert route.rate_limit == route.limit
    assert d.issued(), "it goes at once"


def test_odd_lists_and_fleets_neither_crash_nor_stop_delivery() -> None:
    for nodes, scale in ((1, 0.0), (40, 0.0), (40, 0.5), (0, 12.0), (200, 1e-6)):
        d = Driver(settings(weights="nominal", balancers=nodes))
        d.targets(ListKind.CACHED, entry(1, scale=scale))
        for number in range(3):
            d.incoming(number)
            assert d.pending() or number, (nodes, scale)
            d.advance(d.now + 13)
        assert all(h.answered for h in d.held.values()), (nodes, scale)
