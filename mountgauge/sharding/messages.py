"""What goes between those who follow shards and the relay that they follow: asks and answers.

The protocol is that of discovery's list (index and wait), by shard. An ask says as of which version the asker
holds each shard; it is held until one of them has something newer or `wait_s` is over. The answer's `as_of`
then holds for each shard that was asked for, but for those in `uncovered`, which stay as they were: those
that have changed come with a delta or a snapshot, of the others there is nothing to tell.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mountgauge.sharding.shards import NO_VERSION, ShardDelta, ShardSnapshot


@dataclass(frozen=True, slots=True)
class Position:
    """How an asker holds one shard."""

    shard: int
    version: int = NO_VERSION
    digest: int | None = None  # of what it holds: said on the first ask at a relay, to be compared there


@dataclass(frozen=True, slots=True)
class Ask:
    """`all_shards_as_of`: the asker, a relay, holds all shards as of this version; `positions` is empty."""

    asker: str
    positions: tuple[Position, ...] = ()
    all_shards_as_of: int | None = None
    wait_s: float = 0.0  # 0: answered at once
    placement: int = NO_VERSION  # the newest revision of the placement that the asker knows
    verify: bool = False  # with `all_shards_as_of`: the answer is to have the digest of all


@dataclass(frozen=True, slots=True)
class PlacedShard:
    """A shard that is placed on the asker, and with whom it shares it."""

    shard: int
    replicas: tuple[str, ...]  # names of members, the asker's among them


@dataclass(frozen=True, slots=True)
class PlacementUpdate:
    """All shards that are placed on the asker, at a revision. Only those who ask by positions get any."""

    revision: int
    epoch: int  # of the members' file
    shards: tuple[PlacedShard, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """What a relay says. `as_of` never is below a version that the asker holds, unless `behind` says so."""

    as_of: int
    age_s: float  # since discovery confirmed that this is its newest, when the answer left
    held_s: float = 0.0  # how long the ask was held: the rest of the round trip is the network's
    deltas: tuple[ShardDelta, ...] = ()
    snapshots: tuple[ShardSnapshot, ...] = ()
    uncovered: tuple[int, ...] = ()  # shards of which nothing is said
    behind: int = 0  # by how many versions the relay is below the asker; nothing else is said then
    retry_after_s: float = 0.0  # when the uncovered shards may be asked for again
    placement: PlacementUpdate | None = None
    digest: int | None = None  # where asked to verify: of all shards that are covered, as of `as_of`
    run: int = 0  # of the relay: another one at each start

    @property
    def changes(self) -> tuple[ShardDelta | ShardSnapshot, ...]:
        return (*self.deltas, *self.snapshots)


class RefusalReason(Enum):
    """Why a relay does not answer for now."""

    NOT_READY = "not_ready"  # it has no whole picture yet
    BUSY = "busy"  # come again after the told wait


@dataclass(frozen=True, slots=True)
class Refusal:
    """The relay doesn't answer for now."""

    reason: RefusalReason
    retry_after_s: float


Reply = Answer | Refusal
