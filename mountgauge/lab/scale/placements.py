"""The members of the virtual fleet and the placement of its shards: the target, and a copy for each relay."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from mountgauge.sharding.members import Member, MemberFile
from mountgauge.sharding.placement import Placement, PlacementSettings


@dataclass(frozen=True, slots=True)
class MembershipMoves:
    """The moves that a change of the members causes."""

    affected: frozenset[str]  # members whose shards change
    moved: int  # replicas that are placed on another member
    removed_replicas: int  # replicas of the removed member; 0 if a member was added


class FleetPlacement:
    """The members file, and the target placement, in which all moves are complete."""

    def __init__(self, members: Iterable[Member], shards: int, replicas: int) -> None:
        self._settings = PlacementSettings(shards, replicas)
        self.file = MemberFile(1, tuple(members))
        self.target = Placement(self.file, self._settings)

    def for_relay(self) -> Placement:
        """A copy of the current placement for one relay."""
        return Placement.restore(self.target.checkpoint(), self._settings)

    def remove(self, name: str) -> MembershipMoves:
        """Remove a member."""
        epoch = self.file.epoch + 1
        members = tuple(replace(one, until=epoch) if one.name == name else one for one in self.file.members)
        return self._change(MemberFile(epoch, members), len(self.target.shards(name)))

    def add(self, name: str, zone: str) -> MembershipMoves:
        """Add a new member."""
        epoch = self.file.epoch + 1
        members = (*self.file.members, Member(name, zone, since=epoch))
        return self._change(MemberFile(epoch, members), 0)

    def _change(self, file: MemberFile, removed_replicas: int) -> MembershipMoves:
        replicas_before = self._replicas()
        self.file = file
        self.target.adopt(file)
        affected: frozenset[str] = frozenset()
        while self.target.pending:
            affected |= self.target.step()
        moved = sum(
            len(set(new) - set(old)) for old, new in zip(replicas_before, self._replicas(), strict=True)
        )
        return MembershipMoves(affected, moved, removed_replicas)

    def _replicas(self) -> list[tuple[str, ...]]:
        return [self.target.replicas(shard) for shard in range(self._settings.shard_count)]
