"""The messages of the relay protocol: asks (poll requests) and the answers to them.

It is the protocol of discovery's list (index and wait), applied to each shard. An ask has the version at
which the asker holds each shard. The relay holds the ask until one of these shards has a newer version, or
until `wait_s` has passed. The answer covers each requested shard except those in `uncovered`: a shard with
a delta or a snapshot has changed, any other covered shard is unchanged up to `as_of`. Uncovered shards stay
as they are.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mountgauge.sharding.shards import NO_VERSION, ShardDelta, ShardSnapshot


@dataclass(frozen=True, slots=True)
class Position:
    """The version at which an asker holds one shard."""

    shard: int
    version: int = NO_VERSION
    digest: int | None = None  # of its content: sent in the first ask to a relay, which compares it


@dataclass(frozen=True, slots=True)
class Ask:
    """A poll request for the changes of some shards or, with `all_shards_as_of`, of all shards.

    `all_shards_as_of` is set by relays: the asker holds all shards as of this version, and `positions` is
    empty.
    """

    asker: str
    positions: tuple[Position, ...] = ()
    all_shards_as_of: int | None = None
    wait_s: float = 0.0  # 0: to be answered at once
    placement: int = NO_VERSION  # the newest revision of the placement that the asker knows
    verify: bool = False  # with `all_shards_as_of`: the answer is to have the digest of all shards


@dataclass(frozen=True, slots=True)
class PlacedShard:
    """A shard that is placed on the asker, with all members that hold a replica."""

    shard: int
    replicas: tuple[str, ...]  # names of members, including the asker


@dataclass(frozen=True, slots=True)
class PlacementUpdate:
    """All shards that are placed on the asker, at a revision. Only asks by positions get one."""

    revision: int
    epoch: int  # of the members file
    shards: tuple[PlacedShard, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """A relay's answer. Unless `behind` is set, `as_of` is not below any version that the asker holds."""

    as_of: int
    age_s: float  # when sent: time since discovery confirmed that `as_of` was its newest version
    held_s: float = 0.0  # how long the ask was held; the remainder of the round trip is network time
    deltas: tuple[ShardDelta, ...] = ()
    snapshots: tuple[ShardSnapshot, ...] = ()
    uncovered: tuple[int, ...] = ()  # shards that this answer has no information on
    behind: int = 0  # by how many versions the relay is behind the asker; no shard is covered then
    retry_after_s: float = 0.0  # when the uncovered shards may be asked for again
    placement: PlacementUpdate | None = None
    digest: int | None = None  # on `verify`: of all covered shards, as of `as_of`
    run: int = 0  # of the relay process: changes at each start

    @property
    def changes(self) -> tuple[ShardDelta | ShardSnapshot, ...]:
        """All deltas and snapshots."""
        return (*self.deltas, *self.snapshots)


class RefusalReason(Enum):
    """Why a relay refuses an ask."""

    NOT_READY = "not_ready"  # it does not have all shards yet
    BUSY = "busy"  # it has too many asks; ask again after `retry_after_s`


@dataclass(frozen=True, slots=True)
class Refusal:
    """The relay can't answer at the moment."""

    reason: RefusalReason
    retry_after_s: float


Reply = Answer | Refusal
