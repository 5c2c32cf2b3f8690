"""Calls to an upstream (discovery or a relay), and the updates that result from their answers.

The I/O layer calls `poll(now)` after each input and at the time that `wakes_at(now)` returns. It makes each
call that `poll` returns, and reports its outcome with `answered` or `failed`. Each lane has at most one
call in flight. Outcomes of calls that are no longer in flight are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mountgauge.sharding.messages import Ask, PlacementUpdate
from mountgauge.sharding.shards import EndpointRecord


class Lane(Enum):
    """Which of the two connections to a relay a call uses."""

    WATCH = "watch"  # held by the relay until there is a change
    FETCH = "fetch"  # answered at once, for shards that are missing or that a delta couldn't bring up to date


@dataclass(frozen=True, slots=True)
class RelayCall:
    """A call to a relay."""

    number: int
    lane: Lane
    relay: str
    ask: Ask
    limit_s: float  # time-out
    made_at: float  # own clock


@dataclass(frozen=True, slots=True)
class ListCall:
    """A call to discovery. `index` None requests the full list."""

    number: int
    index: int | None
    wait_s: float
    limit_s: float
    made_at: float  # own clock


Call = RelayCall | ListCall


@dataclass(frozen=True, slots=True)
class Rejection:
    """Input that was rejected; the data held before it is kept."""

    source: str
    reason: str  # one line


@dataclass(frozen=True, slots=True)
class Update:
    """What an answer has changed.

    Apply `removed` before `put`: an endpoint that moves to another destination is in both. Both are empty at
    relays, which only use `shards`.
    """

    shards: frozenset[int] = frozenset()
    put: tuple[EndpointRecord, ...] = ()
    removed: tuple[EndpointRecord, ...] = ()
    rejections: tuple[Rejection, ...] = ()
    placement: PlacementUpdate | None = None


NO_UPDATE = Update()
