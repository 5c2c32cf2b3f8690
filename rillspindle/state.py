"""What one node remembers: plain records that policy.py fills and judges. Nothing here decides."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from rillspindle import interface as io

CALLS_KEPT = 64  # send times that a route remembers


@dataclass(slots=True, eq=False)
class Route:
    """What shares one limit: a destination, or one endpoint where routes are apart."""

    wait_until: float = 0.0  # told wait
    next_at: float = 0.0  # earliest next call under pace or slow start
    rate_limit: float = math.inf  # calls/s
    ramp: float = 0.0  # 1/s by which answers raise a pace that has no floor; 0: it has shown what it bears
    cut_at: float = -math.inf
    reject_share: float = 0.0  # share of refusals as full
    reject_since: float = math.inf  # since when they are most
    cold_since: float = -math.inf  # last sign of an outage, or the first success after it
    rate: float = 0.0  # own healthy rate, calls/s
    rate_at: float = -math.inf  # latest answer
    misses: int = 0  # failures since then, at any endpoint
    down_at: float = 0.0  # when the first of them was sent
    window_end: float = 0.0
    limit: float = 0.0  # this node's part of the known limit, calls/s
    calls: deque[float] | None = None  # latest send times; most routes of a long list are never called

    def called(self, at: float) -> None:
        """A call is sent at this time."""
        if self.calls is None:
            self.calls = deque(maxlen=CALLS_KEPT)
        self.calls.append(at)

    def calls_since(self, then: float) -> int:
        """How many of the latest calls were sent after this time."""
        return sum(at > then for at in self.calls or ())


@dataclass(slots=True, eq=False)
class Call:
    """One call out: a message, or several that travel together."""

    ep: Endpoint
    at: float
    trial: bool
    judged: int = 0  # the outcome that was
    patience: float = 0.0  # s after which no answer is a sign of an outage
    left: int = 0
    size: int = 0


@dataclass(slots=True, eq=False)
class Endpoint:
    """An address with its last failure time and what its answers showed."""

    id: io.EndpointId
    zone: int
    kind: int
    dest: Dest
    route: Route
    usual: float  # smoothed answer time, s
    dev: float  # its smoothed deviation, s
    ready: bool = True
    failed_at: float = 0.0  # 0: live, as in HostDB
    window_end: float = 0.0
    trial: bool = False
    misses: int = 0  # failures since the last answer
    calls: list[Call] = field(default_factory=list)
    answered_at: float = -math.inf
    bad: float = 0.0  # share of bad outcomes


@dataclass(slots=True, eq=False)
class Dest:
    """A destination, its endpoints and the messages held for it."""

    id: int
    number: int  # in the order in which destinations became known
    listed: dict[io.EndpointId, Endpoint] = field(default_factory=dict)
    endpoints: list[Endpoint] = field(default_factory=list)  # those listed that are ready
    queued: dict[int, Message] = field(default_factory=dict)
    route: Route = field(default_factory=Route)
    wake_at: float = math.inf
    accepted: int = 0  # messages taken for it
    open: int = 0  # messages that are not over
    seen_at: float = 0.0  # last listed, or asked for


@dataclass(slots=True, eq=False)
class Message:
    """A message that has not ended; times in s."""

    id: int
    expires: float
    grade: io.MessageClass
    dest: Dest
    key: int
    by_half: bool
    attempts: int = 0
    in_flight: dict[int, Call] = field(default_factory=dict)  # attempts without outcome
    ran: list[tuple[float, int]] = field(default_factory=list)  # send time and zone of what may have run
    not_before: float = 0.0
    owed_until: float = 0.0  # before then it is not given up untried for want of room; 0: not taken on yet
    done: bool = False

    @property
    def born(self) -> float:
        return self.expires - self.grade.deadline

    @property
    def repeatable(self) -> bool:
        """Handing it in again is harmless even where it may have run: safe, or dropped by any endpoint."""
        keyed = self.grade.semantics == "deduplicated" and self.grade.group == "all"
        return keyed or self.grade.semantics == "idempotent"

    def worth(self, at: float) -> float:
        """What an answer at that time earns, as the settings say."""
        grade, late = self.grade, at - self.born - self.grade.aim
        if at >= self.expires:
            return 0.0
        if late <= 0:
            return grade.worth
        if self.by_half:
            return grade.worth * max(grade.late_worth, math.pow(0.5, late / grade.aim))
        return grade.worth * (1 - (1 - grade.late_worth) * late / max(grade.deadline - grade.aim, 1e-9))
