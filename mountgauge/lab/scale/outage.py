"""Simulates, in virtual time, an outage of one destination and the decision modules that send to it.

Each node is a separate `rillspindle.Policy` with Poisson arrivals; nodes don't communicate. While the
destination is down, each attempt fails to connect after `CONNECT_S`. While it is up, each attempt is answered
after `ANSWER_S`, and rejected as full if a token bucket with the listed rate and a depth of `BUCKET_S` is
empty. If only some of the senders are simulated, the bucket has their share of the rate, and the counts are
scaled up.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

from rillspindle import Policy
from rillspindle import interface as io
from rillspindle.interface import Outcome, Readiness

CONNECT_S, ANSWER_S = 0.05, 0.05
BUCKET_S = 1.0
RETURN_S = 10.0  # after the outage, during which a destination counts as cold
START_CAPACITY, COLD_S, FALL_MULTIPLE = 0.17, 14.0, 2.0
_DEST, _ENDPOINT = 0, b"hop-00"
_START_TIME = 100.0


@dataclass(frozen=True, slots=True)
class Outage:
    """Parameters of a simulation. Durations in s; `demand` in messages/s of the whole fleet."""

    senders: int  # that may send to the destination
    demand: float  # for this destination, of all senders
    warm_s: float  # before it goes down
    down_s: float
    after_s: float
    deadline_s: float
    listed_rate: float  # calls/s in the list; 0: none
    nodes: int  # senders that are simulated; the others are assumed to behave the same


@dataclass(frozen=True, slots=True)
class OutageObservations:
    """Counts over all senders, scaled up from the simulated nodes."""

    trials_per_s: float  # during the outage, without its first tenth
    learned: float  # senders that made an attempt during the outage
    calls_after: float  # attempts in the first `RETURN_S` after the return
    refused_after: float  # of these, rejected as full
    busiest_after: float  # of these, the most in one second
    given_up: float  # messages that were abandoned undelivered


def cold_budget(listed_rate: float, seconds: float = RETURN_S) -> float:
    """Capacity in calls of a cold destination over this time after its return.

    Its rate rises linearly to the listed rate; up to `fallMultiple` times that rate it still accepts calls.
    """
    full_rate_s = START_CAPACITY * seconds + (1 - START_CAPACITY) * seconds**2 / (2 * COLD_S)
    return FALL_MULTIPLE * listed_rate * full_rate_s


def settings(outage: Outage) -> dict[str, Any]:
    """Settings of the decision module, as an operator's file gives them by default."""
    return {
        "balancers": outage.senders, "zone": 0, "tick": 0.005, "discovery": "subscribe", "weights": "nominal",
        "grades": [{
            "name": "note", "semantics": "idempotent", "deadline": outage.deadline_s, "group": "all",
            "aim": 2.0, "stream": False, "worth": 1.0, "repeatWindow": outage.deadline_s, "lateWorth": 0.3,
        }],
        "localities": [], "shapes": ["next-hop"],
        "ceilings": {
            "attemptsCap": 8, "cancel": True, "connIdle": 5.0, "connectTimeout": 1.5, "maxOpen": 1_000_000,
            "maxRetryAfter": 2.0, "mayDuplicate": False, "peers": False, "probes": False, "retryAfter": True,
            "streamsPerConn": 1,
        },
        "extra": {
            "kindBatch": [1], "losesWorth": "even", "routesApart": [False], "workers": 64, "ramp": True,
        },
        "obligations": {
            "answerSlack": 0.02, "askWithin": 10.0, "cold": COLD_S, "drainGrace": 0.25, "fall": 1.5,
            "fallMultiple": FALL_MULTIPLE, "startCapacity": START_CAPACITY,
        },
        "report": {"fields": [], "via": "off"},
    }  # fmt: skip


class _Destination:
    """A destination with an outage; while it is up, a token bucket limits its rate."""

    def __init__(self, outage: Outage) -> None:
        self.down_at, self.up_at = outage.warm_s, outage.warm_s + outage.down_s
        self.rate = outage.listed_rate * outage.nodes / outage.senders
        self.level, self.at = max(1.0, BUCKET_S * self.rate), 0.0

    def answer(self, at: float) -> Outcome:
        if self.down_at <= at < self.up_at:
            return Outcome.CONNECT_FAILED
        self.level = min(max(1.0, BUCKET_S * self.rate), self.level + (at - self.at) * self.rate)
        self.at = at
        if self.level < 1:
            return Outcome.FULL
        self.level -= 1
        return Outcome.OK


@dataclass(frozen=True, slots=True)
class _Attempt:
    at: float  # s from the start
    node: int
    outcome: Outcome


class _Simulation:
    """The simulation of all nodes in one virtual time."""

    def __init__(self, outage: Outage, seed: int) -> None:
        self.outage, self.rng, self.destination = outage, Random(seed), _Destination(outage)
        env = settings(outage)
        self.policies = [Policy(env, seed * 1_000_003 + node) for node in range(outage.nodes)]
        self.sends: list[dict[int, int]] = [{} for _ in self.policies]  # by message: attempts so far
        self.attempts: list[_Attempt] = []
        self.abandoned = 0
        self._numbers = 0
        self._queue: list[tuple[float, int, int, io.Event | None]] = []  # None: the next arrival is due
        self._order = 0

    def run(self) -> None:
        outage = self.outage
        entry = io.Entry(Readiness.READY, 0.0, outage.listed_rate, 0, _DEST, 0, _ENDPOINT)
        for node in range(outage.nodes):
            self._handle(node, io.Targets(io.ListKind.FULL, 1, (entry,)), 0.0)
            self._next_arrival(node, 0.0)
        end = outage.warm_s + outage.down_s + outage.after_s
        while self._queue and self._queue[0][0] < end:
            at, _, node, event = heapq.heappop(self._queue)
            if event is None:
                self._numbers += 1
                expires = _START_TIME + at + outage.deadline_s
                event = io.Incoming(self._numbers, 0, expires, 0, 0.0, _DEST, 0, 0)
                self._next_arrival(node, at)
            self._handle(node, event, at)

    def _push(self, at: float, node: int, event: io.Event | None) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, node, event))

    def _next_arrival(self, node: int, at: float) -> None:
        rate = self.outage.demand / self.outage.senders
        self._push(at + self.rng.expovariate(rate), node, None)

    def _handle(self, node: int, event: io.Event, at: float) -> None:
        for action in self.policies[node].handle(event, _START_TIME + at):
            match action:
                case io.Issue(number):
                    self._attempt(node, number, at)
                case io.Schedule(delay, token):
                    self._push(at + delay, node, io.Ring(token))
                case io.PushBack(number) | io.Abort(number):
                    self.sends[node].pop(number, None)
                    self.abandoned += 1

    def _attempt(self, node: int, number: int, at: float) -> None:
        outcome = self.destination.answer(at)
        self.attempts.append(_Attempt(at, node, outcome))
        send_no = self.sends[node].get(number, 0)
        self.sends[node][number] = send_no + 1
        finished = outcome is Outcome.OK
        if finished:
            del self.sends[node][number]
        duration_s = CONNECT_S if outcome is Outcome.CONNECT_FAILED else ANSWER_S
        self._push(
            at + duration_s,
            node,
            io.Response(number, duration_s, _ENDPOINT, outcome, send_no, finished, 0, ()),
        )


def simulate(outage: Outage, seed: int) -> OutageObservations:
    """Simulate the nodes of an outage and scale their counts up to all senders."""
    simulation = _Simulation(outage, seed)
    simulation.run()
    scale = outage.senders / outage.nodes
    down_at, up_at = outage.warm_s, outage.warm_s + outage.down_s
    steady_at = down_at + 0.1 * outage.down_s
    during = [one for one in simulation.attempts if down_at <= one.at < up_at]
    after = [one for one in simulation.attempts if up_at <= one.at < up_at + RETURN_S]
    by_second = Counter(int(one.at - up_at) for one in after)
    return OutageObservations(
        trials_per_s=scale * sum(one.at >= steady_at for one in during) / (up_at - steady_at),
        learned=scale * len({one.node for one in during}),
        calls_after=scale * len(after),
        refused_after=scale * sum(one.outcome is Outcome.FULL for one in after),
        busiest_after=scale * max(by_second.values(), default=0),
        given_up=scale * simulation.abandoned,
    )
