"""Types at the boundary of the decision module: settings, events, actions, outcomes.

Nothing here decides; `policy.py` does.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

EndpointId = bytes  # four bytes of address and a port, opaque


class Outcome(IntEnum):
    """The outcome of an attempt, by its code on the wire."""

    OK = 200
    MOOT = 410
    CANCELLED = 499
    ERROR = 500
    CONNECT_FAILED = 502
    FULL = 503
    TIMEOUT = 504
    RESET = 598


class Readiness(IntEnum):
    """The state of an endpoint in the list."""

    DRAINING = 0
    GONE = 1
    READY = 2


class ListKind(IntEnum):
    """What a list event contains."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Entry(NamedTuple):
    """One line of the list of endpoints; times in s."""

    readiness: int
    boot_time: float
    scale: float  # its limit, calls/s; 0: not listed
    zone: int
    owner: int  # the destination
    kind: int
    endpoint: EndpointId


# Events


class Targets(NamedTuple):
    """A list of endpoints, or its changes."""

    kind: int
    revision: int
    entries: tuple[Entry, ...]


class Incoming(NamedTuple):
    """A message that a client submits."""

    msg_id: int
    tenant: int
    expires: float
    marks: int
    cost: float
    dest: int
    message_class: int
    key: int  # 0: none


class Remembered(NamedTuple):
    """What another process knew of a destination: a required wait still running, a lowered rate limit."""

    dest: int
    wait: float  # s from now
    rate_limit: float  # send rate limit, calls/s of this node; infinite: none
    endpoint: EndpointId = b""  # if it concerns the route of this endpoint alone


class Restored(NamedTuple):
    """A message that a previous process of this node accepted and did not finish; never on the wire."""

    msg_id: int
    expires: float
    dest: int
    message_class: int
    attempts: int
    maybe_ran: tuple[tuple[float, int], ...]  # start and zone of each attempt that may have run


class Response(NamedTuple):
    """The outcome of an attempt; `elapsed` in s."""

    msg_id: int
    elapsed: float
    endpoint: EndpointId
    outcome: int
    send_no: int
    message_finished: bool  # delivered, withdrawn or expired
    retry_after_ms: int  # required wait; 0: none
    stats: tuple[float, ...]
    stale: bool = False  # reset on a kept connection that may have been closed before; never on the wire


class UnderWay(NamedTuple):
    """An attempt is still in flight; `elapsed` in s."""

    msg_id: int
    endpoint: EndpointId
    elapsed: float
    send_no: int


class Withdrawn(NamedTuple):
    """A client has withdrawn its message."""

    msg_id: int


class Health(NamedTuple):
    """The result of an inspection of an endpoint; `elapsed` in s."""

    endpoint: EndpointId
    elapsed: float
    outcome: int
    stats: tuple[float, ...]


class Ring(NamedTuple):
    """A timer that was scheduled has fired."""

    token: int


class Whisper(NamedTuple):
    """Another node has sent a message."""

    peer: int
    content: bytes


Event = Targets | Incoming | Restored | Remembered | Response | UnderWay | Withdrawn | Health | Ring | Whisper


# Actions


class Issue(NamedTuple):
    """Begin an attempt; `timeout` in s."""

    msg_id: int
    endpoint: EndpointId
    timeout: float


class StopAttempt(NamedTuple):
    """Cancel an attempt."""

    msg_id: int
    send_no: int


class PushBack(NamedTuple):
    """Reject a message; its client may submit it again after `retry_after` s."""

    msg_id: int
    retry_after: float


class Abort(NamedTuple):
    """Finish a message that can't be delivered."""

    msg_id: int


class Schedule(NamedTuple):
    """Fire a timer after `delay` s."""

    delay: float
    token: int


class Inspect(NamedTuple):
    """Check the health of an endpoint."""

    endpoint: EndpointId


class Close(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: EndpointId


class Watch(NamedTuple):
    """Start or stop watching the list."""

    on: bool


class Snapshot(NamedTuple):
    """Request the full list."""

    pass


class MemoTo(NamedTuple):
    """Send a message to another node."""

    peer: int
    content: bytes


class WriteLog(NamedTuple):
    """Write a line to the log."""

    line: str


Action = (
    Issue | StopAttempt | PushBack | Abort | Schedule | Inspect | Close | Watch | Snapshot | MemoTo | WriteLog
)


# Settings


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A message class: its deadline, whether it may be repeated, and its value; times in s."""

    target_latency: float
    deadline: float
    semantics: str  # idempotent, deduplicated, at_most_once
    group: str
    repeat_window: float
    by_arrival: bool
    value: float  # of an answer within the target latency
    late_value: float  # its least share, at the deadline

    @classmethod
    def from_mapping(cls, raw: Any, name: str) -> MessageClass:
        """Read a class in the settings' form; ValueError names the setting that is missing or wrong, after
        the `name` of the class.
        """

        def field(key: str, *kinds: type, default: Any = None) -> Any:
            value = raw.get(key, default) if isinstance(raw, Mapping) else None
            if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
                raise ValueError(f"setting {name}.{key}: missing or wrong type")
            return value

        semantics = field("semantics", str)
        # Only where they decide on a repeat; a default there would allow one that nobody chose.
        keyed = semantics == "deduplicated"
        return cls(
            target_latency=float(field("aim", int, float)),
            deadline=float(field("deadline", int, float)),
            semantics=semantics,
            group=field("group", str, default=None if keyed else "all"),
            repeat_window=float(field("repeatWindow", int, float, default=None if keyed else 0.0)),
            by_arrival=field("byArrival", bool, default=False),
            value=float(field("worth", int, float)),
            late_value=float(field("lateWorth", int, float)),
        )

    def to_mapping(self) -> dict[str, Any]:
        """The class in the settings' form."""
        return {
            "aim": self.target_latency,
            "deadline": self.deadline,
            "semantics": self.semantics,
            "group": self.group,
            "repeatWindow": self.repeat_window,
            "byArrival": self.by_arrival,
            "worth": self.value,
            "lateWorth": self.late_value,
        }


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a node; times in s. `from_mapping` ignores unknown keys and names a bad one.

    Its defaults are for callers of the module alone; a sender checks its file's keys before.
    """

    balancers: int
    zone: int
    tick: float
    subscribe: bool
    message_classes: tuple[MessageClass, ...]
    zones: int
    attempts_cap: int
    connect_timeout: float
    max_open: int
    max_retry_after: float
    may_duplicate: bool
    cancel: bool
    probes: bool
    workers: int  # slots: calls in flight at most
    kind_batch: tuple[int, ...]  # most messages of a call, by kind of endpoint
    routes_apart: tuple[bool, ...]  # whether each endpoint has its own route, by kind
    value_halves: bool
    ask_within: float
    drain_grace: float  # s after the notice of a drain in which calls to the endpoint may still begin
    cold: float  # until a cold destination has its full capacity
    fall: float
    fall_multiple: float
    start_capacity: float  # share of its capacity that a cold destination has at first
    turn_gap: float  # after a lost attempt, before the next message of its key
    weights: str
    report_fields: tuple[str, ...]
    ramp: bool  # whether a destination must show its capacity at the start, whatever limit is listed

    @classmethod
    def from_mapping(cls, env: Mapping[str, Any]) -> Settings:
        def get(path: str, *kinds: type, default: Any = None) -> Any:
            value: Any = env
            for part in path.split("."):
                value = value.get(part) if isinstance(value, Mapping) else None
            if value is None and default is not None:
                return default
            if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
                raise ValueError(f"setting {path}: {'missing' if value is None else 'wrong type'}")
            return value

        number = (int, float)
        return cls(
            balancers=max(1, get("balancers", int)),  # 0 balancers: only this one
            zone=get("zone", int, default=0),
            tick=float(get("tick", *number)),
            subscribe=get("discovery", str) == "subscribe",
            message_classes=tuple(
                MessageClass.from_mapping(raw, f"grades[{index}]")
                for index, raw in enumerate(get("grades", list, tuple))
            ),
            zones=len(get("localities", list, tuple, default=())),
            attempts_cap=get("ceilings.attemptsCap", int),
            connect_timeout=float(get("ceilings.connectTimeout", *number)),
            max_open=get("ceilings.maxOpen", int),
            max_retry_after=float(get("ceilings.maxRetryAfter", *number)),
            may_duplicate=get("ceilings.mayDuplicate", bool),
            cancel=get("ceilings.cancel", bool),
            probes=get("ceilings.probes", bool),
            workers=get("extra.workers", int),
            kind_batch=tuple(get("extra.kindBatch", list, tuple)),
            routes_apart=tuple(get("extra.routesApart", list, tuple)),
            value_halves=get("extra.losesWorth", str, default="even") == "by_half",
            ask_within=float(get("obligations.askWithin", *number, default=10.0)),
            drain_grace=float(get("obligations.drainGrace", *number, default=0.25)),
            cold=float(get("obligations.cold", *number)),
            fall=float(get("obligations.fall", *number)),
            fall_multiple=float(get("obligations.fallMultiple", *number)),
            start_capacity=float(get("obligations.startCapacity", *number)),
            turn_gap=float(get("obligations.turnGap", *number, default=0.0)),
            weights=get("weights", str, default="off"),
            report_fields=tuple(get("report.fields", list, tuple, default=())),
            ramp=get("extra.ramp", bool, default=False),
        )
