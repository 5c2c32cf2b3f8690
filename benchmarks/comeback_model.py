"""Simulates a fleet of decision modules against one partner, in virtual time: hundreds of members in seconds.

Each member is a `Policy` of its own that receives messages, answers and its own timers; the partner is the
rig's `CapacityModel`. There are no sockets and no processes, and the clock is simulated. The same seed gives
the same figures.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from mountgauge.lab.rig.capacity_model import CapacityModel
from rillspindle import Policy
from rillspindle import interface as io
from rillspindle.interface import Entry, ListKind, Outcome, Readiness

ENDPOINT = b"e7-0"
ANSWER_S = 0.05
DEADLINE_S = 12.0


def settings(members: int, slots: int, ramp: bool) -> dict[str, Any]:
    """The module's settings of each member, as an operator's file gives them."""
    message_class = {
        "name": "note", "semantics": "idempotent", "deadline": DEADLINE_S, "aim": 2.0, "group": "all",
        "worth": 1.0, "lateWorth": 0.3, "repeatWindow": 25.0,
    }  # fmt: skip
    return {
        "balancers": members, "zone": 0, "tick": 0.005, "discovery": "subscribe", "weights": "nominal",
        "grades": [message_class], "localities": [], "shapes": ["k"],
        "ceilings": {"attemptsCap": 8, "cancel": True, "connectTimeout": 1.5, "maxOpen": 400,
                     "maxRetryAfter": 2.0, "mayDuplicate": False, "probes": False},
        "extra": {"kindBatch": [1], "losesWorth": "even", "routesApart": [False], "workers": slots,
                  "ramp": ramp},
        "obligations": {"askWithin": 10.0, "cold": 14.0, "fall": 1.5, "fallMultiple": 2.0,
                        "startCapacity": 0.17},
        "report": {"fields": [], "via": "off"},
    }  # fmt: skip


@dataclass(eq=False)
class _Member:
    policy: Policy
    offset: float  # its start in virtual time, s
    attempts: Counter[int] = field(default_factory=Counter)


@dataclass(eq=False)
class Fleet:
    """`members` modules that send `offered` messages/s in all to a partner of `rate` calls/s."""

    members: int
    rate: float
    offered: float
    seed: int = 1
    slots: int = 4
    ramp: bool = True
    capacity: CapacityModel = field(default_factory=lambda: CapacityModel(100))
    served: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    ended: int = 0

    def __post_init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, int, str, tuple[Any, ...]]] = []
        self._count = 0
        self._number = 0
        self._rng = random.Random(self.seed)
        self._owner: dict[int, int] = {}
        self.process_runs: list[_Member] = [self._new(member_index) for member_index in range(self.members)]

    def _new(self, member_index: int) -> _Member:
        policy = Policy(settings(self.members, self.slots, self.ramp), self._rng.getrandbits(60))
        member = _Member(policy, self.now)
        return member

    def start_all(self) -> None:
        """Start all members now, each with the list of endpoints."""
        for member_index in range(self.members):
            self.start(member_index)

    def start(self, member_index: int, queued: int = 0) -> None:
        """Restart a member; `queued` messages of its previous run are restored to it."""
        self.process_runs[member_index] = self._new(member_index)
        entry = Entry(Readiness.READY, 0.0, self.rate, 0, 7, 0, ENDPOINT)
        self._feed(member_index, io.Targets(ListKind.CACHED, 1, (entry,)))
        for _ in range(queued):
            self._number += 1
            self._feed(member_index, io.Restored(self._number, self.now + DEADLINE_S, 7, 0, 0, ()))

    def _at(self, when: float, member_index: int, kind: str, *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, member_index, kind, args))

    def _feed(self, member_index: int, event: io.Event) -> None:
        member = self.process_runs[member_index]
        for action in member.policy.handle(event, 1000.0 + self.now):
            match action:
                case io.Issue(number, endpoint, _):
                    send = member.attempts[number]
                    member.attempts[number] += 1
                    accepted = self.capacity.call(self.now)
                    (self.served if accepted else self.refused).append(self.now)
                    took_s = ANSWER_S if accepted else 0.002
                    self._at(
                        self.now + took_s,
                        member_index,
                        "answer",
                        member,
                        number,
                        endpoint,
                        send,
                        accepted,
                        took_s,
                    )
                case io.Schedule(delay, token):
                    self._at(self.now + delay, member_index, "ring", member, token)
                case io.PushBack() | io.Abort():
                    self.ended += 1

    def run(self, seconds: float) -> None:
        """Simulate so many seconds, with messages submitted to random members."""
        until = self.now + seconds
        next_offer = self.now + self._rng.expovariate(self.offered)
        while True:
            when = self._queue[0][0] if self._queue else until
            if min(when, next_offer) >= until:
                break
            if next_offer <= when:
                self.now = next_offer
                next_offer += self._rng.expovariate(self.offered)
                self._number += 1
                member_index = self._rng.randrange(self.members)
                self._feed(
                    member_index,
                    io.Incoming(self._number, 0, 1000.0 + self.now + DEADLINE_S, 0, 0.0, 7, 0, 0),
                )
                continue
            when, _, member_index, kind, args = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            if args[0] is not self.process_runs[member_index]:
                continue  # belongs to a run that has ended
            if kind == "ring":
                self._feed(member_index, io.Ring(args[1]))
            else:
                _, number, endpoint, send, accepted, took_s = args
                outcome = Outcome.OK if accepted else Outcome.FULL
                self._feed(
                    member_index, io.Response(number, took_s, endpoint, outcome, send, accepted, 0, (), False)
                )
        self.now = until


def simulate_restart(
    members: int, seed: int, ramp: bool, falls_at: float = 0.0, seconds: float = 20.0
) -> Mapping[str, float]:
    """Restarts four in five members at the same moment, when the partner also becomes cold."""
    fleet = Fleet(
        members, 100.0, 80.0, seed, max(4, 40 // members), ramp, CapacityModel(100.0, falls_at=falls_at)
    )
    fleet.capacity.cold_at = -1e9
    fleet.start_all()
    fleet.run(15.0)
    zero = fleet.now
    fleet.capacity.go_cold(zero)
    for member_index in fleet._rng.sample(range(members), max(1, members * 4 // 5)):
        queued = len(fleet.process_runs[member_index].policy.messages)
        fleet.start(member_index, queued)
    could = fleet.capacity.capacity_between(zero, zero + 5)
    fleet.run(seconds)
    served = [at for at in fleet.served if zero <= at < zero + 5]
    refused = [at for at in fleet.refused if zero <= at < zero + 5]
    last = [at for at in fleet.served if at >= zero + seconds - 5]
    return {
        "served_share_5s": round(len(served) / could, 3),
        "refused_share": round(len(refused) / max(1, len(served) + len(refused)), 3),
        "last_5s_per_s": len(last) / 5, "fell": fleet.capacity.fall_count, "ended": fleet.ended,
        "before_per_s": len([at for at in fleet.served if zero - 5 <= at < zero]) / 5,
        "refused_all": len([at for at in fleet.refused if at >= zero]),
    }  # fmt: skip


def simulate_lowered_limit(members: int, seed: int, ramp: bool) -> Mapping[str, float]:
    """Lowers the partner's limit to 0.4 of the listed rate for 20 s; calls/s served and refused in that time,
    and calls/s served after it.
    """
    fleet = Fleet(members, 100.0, 80.0, seed, max(4, 40 // members), ramp, CapacityModel(100.0))
    fleet.capacity.cold_at = -1e9
    fleet.start_all()
    fleet.run(15.0)
    zero = fleet.now
    fleet.capacity.limit_factor = 0.4
    fleet.run(20)
    fleet.capacity.limit_factor = 1.0
    fleet.run(15)

    def rate(times: list[float], begin: float, end: float) -> float:
        return len([at for at in times if begin <= at - zero < end]) / (end - begin)

    return {
        "served": rate(fleet.served, 5, 20), "refused": rate(fleet.refused, 5, 20),
        "after_5_s": rate(fleet.served, 25, 30), "after_10_s": rate(fleet.served, 30, 35),
    }  # fmt: skip
