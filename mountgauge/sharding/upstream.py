"""What a relay, or a sender, follows: what both ways of following tell, and the calls that they ask for.

Driven so: whoever does the I/O calls `poll(now)` when something came in and at `wakes_at(now)`, makes each
call that it returns, and hands in what became of it: `answered` or `failed`. Each lane has one call out at
most. What comes for a call that isn't out any more is ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mountgauge.sharding.messages import Ask, PlacementUpdate
from mountgauge.sharding.shards import EndpointRecord


class Lane(Enum):
    """Which of the two connections to a relay a call goes on."""

    WATCH = "watch"  # held until there is news
    FETCH = (
        "fetch"  # answered at once: shards that aren't held yet, or that a delta couldn't bring up to date
    )


@dataclass(frozen=True, slots=True)
class RelayCall:
    """To be made at a relay."""

    number: int
    lane: Lane
    relay: str
    ask: Ask
    limit_s: float  # after which it is given up
    made_at: float  # own clock


@dataclass(frozen=True, slots=True)
class ListCall:
    """To be made at discovery. `index` None: the whole list."""

    number: int
    index: int | None
    wait_s: float
    limit_s: float
    made_at: float  # own clock


Call = RelayCall | ListCall


@dataclass(frozen=True, slots=True)
class Rejection:
    """Something that was not taken in: what was held before is kept."""

    source: str
    reason: str  # one line


@dataclass(frozen=True, slots=True)
class Update:
    """What an answer has changed. `gone` is to be acted on before `put`: an endpoint that goes to another
    destination is in both. Both are empty at relays, which go by `shards`.
    """

    shards: frozenset[int] = frozenset()
    put: tuple[EndpointRecord, ...] = ()
    gone: tuple[EndpointRecord, ...] = ()
    rejections: tuple[Rejection, ...] = ()
    placement: PlacementUpdate | None = None


NO_UPDATE = Update()
