"""One destination that goes down and comes back, and the real modules that send to it, in virtual time.

Each node is a `rillspindle.Policy` of its own with Poisson arrivals; nodes don't hear of each other. While
the destination is down each attempt fails to connect after `CONNECT_S`; when it is up each is answered after
`ANSWER_S`, or refused as full where a bucket of the listed rate, `BUCKET_S` deep, is empty. Where some of
many senders are played, the bucket is their part of it and what is counted is scaled up.
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
RETURN_S = 10.0  # after the return in which a destination counts as cold
START_CAPACITY, COLD_S, FALL_MULTIPLE = 0.17, 14.0, 2.0
_DEST, _ENDPOINT = 0, b"hop-00"
_START = 100.0


@dataclass(frozen=True, slots=True)
class Outage:
    """What is played. Times in s from the start; rates in messages/s of the whole fleet."""

    senders: int  # that may send to the destination
    demand: float  # for this destination, of all of them
    warm_s: float  # before it goes down
    down_s: float
    after_s: float
    deadline_s: float
    listed_rate: float  # calls/s that the list names; 0: none
    nodes: int  # of the senders that are played: the others do alike


@dataclass(frozen=True, slots=True)
class OutageObservations:
    """Of all senders, scaled up from the nodes that were played."""

    trials_per_s: float  # while it is down, after the first tenth of that time
    learned: float  # senders that met the outage
    calls_after: float  # attempts in the first `RETURN_S` after the return
    refused_after: float  # of these, as full
    busiest_after: float  # most attempts in any second of them
    given_up: float  # messages that ended undelivered


def cold_budget(listed_rate: float, seconds: float = RETURN_S) -> float:
    """Calls that a cold destination bears: its capacity rises on a line to the listed rate, and what passes
    it by the settings' `fallMultiple` is still borne.
    """
    line = START_CAPACITY * seconds + (1 - START_CAPACITY) * seconds**2 / (2 * COLD_S)
    return FALL_MULTIPLE * listed_rate * line


def settings(outage: Outage) -> dict[str, Any]:
    """The module's settings, as an operator's file gives them by default."""
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
    """Down for a while; up, it refuses what a bucket of its rate does not hold."""

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


class _Play:
    """All nodes on one line of time."""

    def __init__(self, outage: Outage, seed: int) -> None:
        self.outage, self.rng, self.destination = outage, Random(seed), _Destination(outage)
        env = settings(outage)
        self.policies = [Policy(env, seed * 1_000_003 + node) for node in range(outage.nodes)]
        self.sends: list[dict[int, int]] = [{} for _ in self.policies]  # by message: attempts so far
        self.attempts: list[_Attempt] = []
        self.given_up = 0
        self._numbers = 0
        self._queue: list[tuple[float, int, int, io.Event | None]] = []  # None: the next arrival is due
        self._order = 0

    def run(self) -> None:
        outage = self.outage
        entry = io.Entry(Readiness.READY, 0.0, outage.listed_rate, 0, _DEST, 0, _ENDPOINT)
        for node in range(outage.nodes):
            self._feed(node, io.Targets(io.ListKind.FULL, 1, (entry,)), 0.0)
            self._next_arrival(node, 0.0)
        end = outage.warm_s + outage.down_s + outage.after_s
        while self._queue and self._queue[0][0] < end:
            at, _, node, event = heapq.heappop(self._queue)
            if event is None:
                self._numbers += 1
                expires = _START + at + outage.deadline_s
                event = io.Incoming(self._numbers, 0, expires, 0, 0.0, _DEST, 0, 0)
                self._next_arrival(node, at)
            self._feed(node, event, at)

    def _push(self, at: float, node: int, event: io.Event | None) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, node, event))

    def _next_arrival(self, node: int, at: float) -> None:
        rate = self.outage.demand / self.outage.senders
        self._push(at + self.rng.expovariate(rate), node, None)

    def _feed(self, node: int, event: io.Event, at: float) -> None:
        for action in self.policies[node].handle(event, _START + at):
            match action:
                case io.Issue(number):
                    self._attempt(node, number, at)
                case io.Schedule(delay, token):
                    self._push(at + delay, node, io.Ring(token))
                case io.PushBack(number) | io.Abort(number):
                    self.sends[node].pop(number, None)
                    self.given_up += 1

    def _attempt(self, node: int, number: int, at: float) -> None:
        outcome = self.destination.answer(at)
        self.attempts.append(_Attempt(at, node, outcome))
        send_no = self.sends[node].get(number, 0)
        self.sends[node][number] = send_no + 1
        ended = outcome is Outcome.OK
        if ended:
            del self.sends[node][number]
        spent = CONNECT_S if outcome is Outcome.CONNECT_FAILED else ANSWER_S
        self._push(at + spent, node, io.Response(number, spent, _ENDPOINT, outcome, send_no, ended, 0, ()))


def simulate(outage: Outage, seed: int) -> OutageObservations:
    """Play some nodes and count for all senders."""
    course = _Play(outage, seed)
    course.run()
    scale = outage.senders / outage.nodes
    down_at, up_at = outage.warm_s, outage.warm_s + outage.down_s
    steady_at = down_at + 0.1 * outage.down_s
    during = [one for one in course.attempts if down_at <= one.at < up_at]
    after = [one for one in course.attempts if up_at <= one.at < up_at + RETURN_S]
    by_second = Counter(int(one.at - up_at) for one in after)
    return OutageObservations(
        trials_per_s=scale * sum(one.at >= steady_at for one in during) / (up_at - steady_at),
        learned=scale * len({one.node for one in during}),
        calls_after=scale * len(after),
        refused_after=scale * sum(one.outcome is Outcome.FULL for one in after),
        busiest_after=scale * max(by_second.values(), default=0),
        given_up=scale * course.given_up,
    )
