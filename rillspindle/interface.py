"""Types that cross the boundary of the decision module: settings, events, actions, outcomes.

Nothing in this file decides anything; `policy.py` does.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

EndpointId = bytes  # four bytes of address and a port, opaque


class Outcome(IntEnum):
    """How an attempt went, as the wire has it."""

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
    """What a list that came is."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Entry(NamedTuple):
    """One line of the list of endpoints."""

    readiness: int
    boot_time: float
    scale: float
    zone: int
    owner: int  # the destination
    kind: int
    endpoint: EndpointId


# Events


class Targets(NamedTuple):
    """A list of endpoints, or what changed in it."""

    how: int
    rev: int
    entries: tuple[Entry, ...]


class Incoming(NamedTuple):
    """A message that a client hands in."""

    msg_id: int
    tenant: int
    expires: float
    marks: int
    cost: float
    dest: int
    grade: int
    key: int  # 0: none


class Remembered(NamedTuple):
    """What an earlier life knew of a destination: a told wait that still runs, a pace that was lowered."""

    dest: int
    wait: float  # s from now
    pace: float  # calls/s of this node; infinite: none


class Restored(NamedTuple):
    """A message that an earlier process of this node took on and did not end; never on the wire."""

    msg_id: int
    expires: float
    dest: int
    grade: int
    attempts: int
    ran: tuple[tuple[float, int], ...]  # when, and in which zone, each attempt began that may have run


class Response(NamedTuple):
    """An attempt has ended; `spent` in s."""

    msg_id: int
    spent: float
    endpoint: EndpointId
    outcome: int
    send_no: int
    over: bool
    remark_ms: int
    stats: tuple[float, ...]
    stale: bool = False  # a reset met a kept connection, which may have gone before; never on the wire


class UnderWay(NamedTuple):
    """An attempt goes on; `spent` in s."""

    msg_id: int
    endpoint: EndpointId
    spent: float
    send_no: int


class Withdrawn(NamedTuple):
    """A client has withdrawn its message."""

    msg_id: int


class Health(NamedTuple):
    """An endpoint that was inspected has answered, or has not."""

    endpoint: EndpointId
    spent: float
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
    """Begin an attempt, and give it up after so many s."""

    msg_id: int
    endpoint: EndpointId
    timeout: float


class StopAttempt(NamedTuple):
    """Give an attempt up."""

    msg_id: int
    send_no: int


class PushBack(NamedTuple):
    """Turn a message back to its client, which may come again after so many s."""

    msg_id: int
    retry_after: float


class Abort(NamedTuple):
    """End a message that can't be delivered."""

    msg_id: int


class Schedule(NamedTuple):
    """Fire a timer after `delay` s."""

    delay: float
    token: int


class Inspect(NamedTuple):
    """Ask an endpoint how it is."""

    endpoint: EndpointId


class Close(NamedTuple):
    """Close the connections to an endpoint that are not in use."""

    endpoint: EndpointId


class Watch(NamedTuple):
    """Begin or end watching the list."""

    on: bool


class Snapshot(NamedTuple):
    """Ask for the whole list."""

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
    """A class of message."""

    aim: float
    deadline: float
    semantics: str  # idempotent, deduplicated, at_most_once
    group: str
    repeat_window: float
    by_arrival: bool
    worth: float
    late_worth: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start. `from_mapping` ignores unknown keys and names a bad one."""

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
    workers: int
    kind_batch: tuple[int, ...]
    routes_apart: tuple[bool, ...]
    loses_by_half: bool
    ask_within: float
    drain_grace: float  # s after a drain was told in which calls to the endpoint may still begin
    cold: float
    fall: float
    fall_multiple: float
    start_capacity: float
    turn_gap: float
    weights: str
    report_fields: tuple[str, ...]
    ramp: bool  # at the start a destination must show what it bears, whatever limit is listed

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

        def grade(place: int, raw: Any) -> MessageClass:
            def of(name: str, *kinds: type, default: Any = None) -> Any:
                value = raw.get(name, default) if isinstance(raw, Mapping) else None
                if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
                    raise ValueError(f"setting grades[{place}].{name}: missing or wrong type")
                return value

            return MessageClass(
                aim=float(of("aim", int, float)),
                deadline=float(of("deadline", int, float)),
                semantics=of("semantics", str),
                group=of("group", str, default="all"),
                repeat_window=float(of("repeatWindow", int, float, default=0.0)),
                by_arrival=of("byArrival", bool, default=False),
                worth=float(of("worth", int, float)),
                late_worth=float(of("lateWorth", int, float)),
            )

        number = (int, float)
        return cls(
            balancers=max(1, get("balancers", int)),  # none counted: this one
            zone=get("zone", int, default=0),
            tick=float(get("tick", *number)),
            subscribe=get("discovery", str) == "subscribe",
            message_classes=tuple(grade(place, raw) for place, raw in enumerate(get("grades", list, tuple))),
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
            loses_by_half=get("extra.losesWorth", str, default="even") == "by_half",
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
