"""Many nodes with few calls each and one simulated destination, in virtual time: checks of the totals."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from rillspindle.interface import ListKind, Outcome, Watch
from tests.driver import Driver, entry
from tests.settings import settings

EXTRA = {**settings()["extra"], "workers": 5}
NODES, RATE, DEPTH = 40, 24.0, 0.4  # calls/s of the destination, and s of its burst


@dataclass
class Limited:
    """A destination whose limit rejected calls use up too, called by `NODES` nodes."""

    demand: float  # messages/s over all nodes
    lowered: tuple[float, float] = (0.0, 0.0)  # begin and end of a limit of two thirds of the rate
    answers: Counter[tuple[int, int]] = field(default_factory=Counter)  # by second and outcome
    calls: Counter[bytes] = field(default_factory=Counter)  # by endpoint

    def play(self, seconds: float) -> None:
        env = settings(weights="nominal", balancers=NODES, extra=EXTRA)
        fleet = [Driver(env, seed) for seed in range(NODES)]
        rng, capacity, number, step = Random(5), RATE * DEPTH, 0, 0.02
        for d in fleet:
            d.targets(ListKind.CACHED, entry(1, scale=RATE), entry(2, scale=RATE))
        start = fleet[0].now
        for tick in range(int(seconds / step)):
            at = tick * step
            rate = RATE * 2 / 3 if self.lowered[0] <= at < self.lowered[1] else RATE
            capacity = min(rate * DEPTH, capacity + rate * step)
            while number < self.demand * at:
                number += 1
                d = rng.choice(fleet)
                d.advance(start + at)
                d.incoming(number)
            for d in fleet:
                d.advance(start + at)
                for msg, attempt in d.pending():
                    capacity -= 1
                    outcome = Outcome.OK if capacity >= 0 else Outcome.FULL
                    self.answers[int(at), outcome] += 1
                    self.calls[d.messages[msg].sends[attempt]["endpoint"]] += 1
                    d.respond(msg, outcome, number=attempt)

    def count(self, outcome: int, begin: int, end: int) -> int:
        return sum(n for (at, what), n in self.answers.items() if what == outcome and begin <= at < end)


def test_a_listed_limit_applies_from_the_first_call_and_a_lowered_one_is_found() -> None:
    """Rejected calls use up a limit: nodes must neither learn it by rejections nor keep exceeding it."""
    destination = Limited(demand=1.2 * RATE, lowered=(4.0, 13.0))
    destination.play(19)
    assert destination.count(Outcome.FULL, 0, 4) <= 0.02 * 4 * RATE
    assert destination.count(Outcome.OK, 8, 13) >= 0.4 * 5 * RATE * 2 / 3
    assert destination.count(Outcome.OK, 14, 19) >= 0.7 * 5 * RATE, "the full limit is used again"


def test_nodes_spread_their_calls_over_all_endpoints() -> None:
    """The endpoint that answered first seems fastest to each node: without spreading all would choose it."""
    destination = Limited(demand=0.7 * RATE)
    destination.play(8)
    first, second = destination.calls.values()
    assert min(first, second) >= 0.3 * (first + second)


def test_list_calls_after_a_common_failure_are_spread_over_time() -> None:
    """Calls that wait too long at discovery fail, and load it as much as the others."""
    asked = Counter[int]()
    for seed in range(NODES):
        d = Driver(settings(discovery="subscribe", balancers=NODES, extra=EXTRA), seed)
        d.targets(ListKind.CACHED, entry(1))
        start = d.now
        for _ in range(3):  # each call fails after 2 s
            d.trace.clear()
            d.targets(ListKind.FAILED)
            while Watch(True) not in d.trace:
                d.advance(d.now + 0.1)
            asked[int(d.now - start)] += 1
            assert d.now - start < 40
            d.advance(d.now + 2)
    assert max(asked.values()) <= 12, "of forty, at most a few in each second"


def test_a_replacement_endpoint_inherits_neither_fail_window_nor_lowered_send_rate() -> None:
    """A restarted node learns late of a replacement: it must not wait for the old endpoint's fail window."""
    d = Driver(settings(weights="nominal", balancers=NODES, extra=EXTRA))
    d.targets(ListKind.CACHED, entry(1, scale=RATE))
    d.incoming(1, left=60)
    d.respond(1, Outcome.FULL)
    for _ in range(200):
        d.advance(d.now + 0.1)
        if d.pending() and len(d.messages[1].sends) < 5:
            d.respond(1, Outcome.CONNECT_FAILED)
    d.incoming(2, left=60)
    route = d.policy.destinations[0].route
    route.window_end = d.now + 30
    assert route.rate_limit < route.limit
    d.targets(ListKind.FULL, entry(2, scale=RATE))
    assert route.rate_limit == route.limit
    assert d.issued(), "it is sent at once"


def test_odd_lists_and_fleets_neither_crash_nor_stop_delivery() -> None:
    for nodes, scale in ((1, 0.0), (40, 0.0), (40, 0.5), (0, 12.0), (200, 1e-6)):
        d = Driver(settings(weights="nominal", balancers=nodes))
        d.targets(ListKind.CACHED, entry(1, scale=scale))
        for number in range(3):
            d.incoming(number)
            assert d.pending() or number, (nodes, scale)
            d.advance(d.now + 13)
        assert all(m.answered for m in d.messages.values()), (nodes, scale)
