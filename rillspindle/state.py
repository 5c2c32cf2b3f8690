"""The records of one node, which policy.py fills and evaluates. Nothing here decides."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from rillspindle import interface as io

MAX_CALL_TIMES = 64  # kept by each route


@dataclass(slots=True, eq=False)
class Route:
    """The state shared by all endpoints of a destination, or of one endpoint that has its own route."""

    wait_until: float = 0.0  # end of the required wait (Retry-After)
    next_at: float = 0.0  # earliest next call under the send rate limit or slow start
    rate_limit: float = math.inf  # send rate limit, calls/s
    ramp: float = 0.0  # 1/s by which answers raise a limit without a floor; 0: the capacity has been shown
    reduced_at: float = -math.inf  # when the send rate limit was last lowered
    reject_share: float = 0.0  # smoothed share of calls rejected as over the limit
    reject_since: float = math.inf  # since when most calls have been rejected
    cold_since: float = -math.inf  # last sign of an outage, or the first success after it
    rate: float = 0.0  # this node's healthy rate, calls/s
    answered_at: float = -math.inf  # latest success
    failures: int = 0  # since the latest success, at any endpoint
    down_at: float = 0.0  # when the first of them was sent
    window_end: float = 0.0  # of the fail window
    limit: float = 0.0  # this node's share of the known limit, calls/s; 0: unknown
    calls: deque[float] | None = None  # latest send times; most routes of a long list are never called

    def record_call(self, at: float) -> None:
        """Record that a call was sent."""
        if self.calls is None:
            self.calls = deque(maxlen=MAX_CALL_TIMES)
        self.calls.append(at)

    def calls_since(self, then: float) -> int:
        """Count the recorded calls that were sent after a time."""
        return sum(at > then for at in self.calls or ())


@dataclass(slots=True, eq=False)
class Call:
    """A call in flight, with one message or several."""

    ep: Endpoint
    sent_at: float
    trial: bool
    outcome: int = 0  # of its first evaluated message, or OK if one followed; 0: none yet
    timeout: float = 0.0  # s after which a missing answer is a sign of an outage
    unanswered: int = 0  # messages without an outcome
    size: int = 0  # messages


@dataclass(slots=True, eq=False)
class Endpoint:
    """An address, when it last failed, and what its answers have shown."""

    id: io.EndpointId
    zone: int
    kind: int
    dest: Dest
    route: Route
    latency: float  # smoothed response time, s
    latency_dev: float  # its smoothed deviation, s
    ready: bool = True
    failed_at: float = 0.0  # 0: up, as in HostDB
    window_end: float = 0.0  # of the fail window
    trial: bool = False  # a trial is in flight
    failures: int = 0  # since the last success
    calls: list[Call] = field(default_factory=list)  # in flight
    answered_at: float = -math.inf  # latest success or error answer
    fail_share: float = 0.0  # smoothed share of failures


@dataclass(slots=True, eq=False)
class Dest:
    """A destination, its endpoints and its queued messages."""

    id: int
    number: int  # by the order in which destinations became known
    listed: dict[io.EndpointId, Endpoint] = field(default_factory=dict)
    endpoints: list[Endpoint] = field(default_factory=list)  # those listed that are ready
    queued: dict[int, Message] = field(default_factory=dict)
    route: Route = field(default_factory=Route)
    wake_at: float = math.inf  # when its timer fires
    accepted: int = 0  # messages accepted for it
    unfinished: int = 0  # messages
    seen_at: float = 0.0  # when it was last listed or had unfinished messages


@dataclass(slots=True, eq=False)
class Message:
    """An unfinished message, or a finished one with attempts in flight; times in s."""

    id: int
    expires: float
    message_class: io.MessageClass
    dest: Dest
    key: int  # 0: not ordered by key
    halving: bool  # whether the value of a late answer halves or falls linearly
    attempts: int = 0
    in_flight: dict[int, Call] = field(default_factory=dict)  # attempts without an outcome
    maybe_ran: list[tuple[float, int]] = field(default_factory=list)  # when and in which zone it may have run
    not_before: float = 0.0  # of the next attempt
    protected_until: float = 0.0  # not abandoned untried for capacity before; 0: not accepted yet
    finished: bool = False

    @property
    def created_at(self) -> float:
        """When the full deadline of its class began."""
        return self.expires - self.message_class.deadline

    @property
    def repeatable(self) -> bool:
        """Whether a resubmission is harmless even if it may have run: idempotent, or dropped anywhere."""
        keyed = self.message_class.semantics == "deduplicated" and self.message_class.group == "all"
        return keyed or self.message_class.semantics == "idempotent"

    def value_at(self, at: float) -> float:
        """The value of an answer at that time, by the settings."""
        cls, late = self.message_class, at - self.created_at - self.message_class.target_latency
        if at >= self.expires:
            return 0.0
        if late <= 0:
            return cls.value
        if self.halving:
            return cls.value * max(cls.late_value, math.pow(0.5, late / cls.target_latency))
        return cls.value * (1 - (1 - cls.late_value) * late / max(cls.deadline - cls.target_latency, 1e-9))
