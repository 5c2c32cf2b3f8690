"""Failure detection: the presence of each member, from the heartbeats that gossip carries.

Each member counts its own heartbeats. A report of a higher count, from any member, shows that the member is
alive, so one that cannot be reached directly is still known to be alive (van Renesse, Minsky, Hayden, "A
Gossip-Style Failure Detection Service", Middleware 1998). Only the time since the last new heartbeat counts,
on the observer's own clock: clocks need not agree.

A member that is gone is still a member, because it may be on the other side of a split. It stops being one
when it reports that it leaves, when another incarnation uses its name, or after `forget` seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class Presence(StrEnum):
    """The presence of one incarnation of a member, as another member sees it."""

    PRESENT = "present"
    SUSPECTED = "suspected"  # silent for a short time; still counted as present
    GONE = "gone"  # silent for long: stopped, or on the other side of a split
    LEFT = "left"  # reported that it leaves, or was replaced at its address
    ENDED = "ended"  # another incarnation uses its name, or it was silent for `forget` seconds


@dataclass(frozen=True, slots=True)
class Timing:
    """Seconds of silence after which a member is suspected, gone and forgotten.

    `linger` is the number of seconds for which an incarnation that ended is kept before it may be folded.
    """

    suspect: float
    gone: float
    forget: float
    linger: float


@dataclass(slots=True, eq=False)
class Member:
    """One incarnation of a member; times in seconds of this process's clock."""

    id: int
    name: str
    boot: int = 0
    beat: int = 0
    beat_seen_at: float = -math.inf  # when this heartbeat count was first reported
    first_seen_at: float = -math.inf  # when the incarnation was first reported
    returned_at: float = -math.inf  # when it last became present again
    left: bool = False
    ended_at: float | None = None  # when it left or ended
    presence: Presence = Presence.PRESENT


class Members:
    """All incarnations that one member has reports of, its own included."""

    def __init__(self, me: int, name: str, timing: Timing, now: float) -> None:
        self.timing = timing
        self.all: dict[int, Member] = {}
        self.me = self._new(me, name, now)

    def _new(self, id: int, name: str, now: float) -> Member:
        member = self.all[id] = Member(id, name, first_seen_at=now, returned_at=now, beat_seen_at=now)
        return member

    def change_incarnation(self, id: int, name: str, now: float) -> None:
        """Make another incarnation this process's own."""
        boot, beat = self.me.boot, self.me.beat
        self.me = self._new(id, name, now)
        self.me.boot, self.me.beat = boot, beat

    def beat(self, now: float) -> None:
        """Count one heartbeat of this member."""
        self.me.beat += 1
        self.me.beat_seen_at = now

    def observe(self, id: int, name: str, boot: int, beat: int, left: bool, now: float) -> Member | None:
        """Apply a report about a member. Returns the member if the report is newer than what is known."""
        member = self.all.get(id)
        if member is None:
            member = self._new(id, name, now)
            member.boot, member.beat, member.left = boot, beat, left
        elif id == self.me.id or (boot, beat, left) <= (member.boot, member.beat, member.left):
            return None
        else:
            if member.presence not in (Presence.PRESENT, Presence.SUSPECTED):
                member.returned_at = now
            member.boot, member.beat, member.left = boot, beat, left
            member.beat_seen_at = now
        member.ended_at = now if left else None
        member.presence = Presence.LEFT if left else Presence.PRESENT
        return member

    def mark_replaced(self, id: int, now: float) -> None:
        """Treat an incarnation as left because another one of its name sends from its address.

        Its process must have ended. The change spreads as if the incarnation had reported it; a new heartbeat
        of its own would revoke it.
        """
        member = self.all.get(id)
        if member is not None and member is not self.me and self.is_present(member):
            member.left, member.ended_at, member.presence = True, now, Presence.LEFT

    def tick(self, now: float) -> list[tuple[Member, Presence]]:
        """Update presence by the time that has passed. Returns what changed, with the previous presence."""
        changed: list[tuple[Member, Presence]] = []
        newest: dict[str, Member] = {}
        for member in self.all.values():
            if self.is_present(member):
                latest = newest.get(member.name)
                if latest is None or member.first_seen_at > latest.first_seen_at:
                    newest[member.name] = member
        for member in self.all.values():
            before = member.presence
            if member is self.me or before in (Presence.LEFT, Presence.ENDED):
                continue
            silent = now - member.beat_seen_at
            successor = newest.get(member.name)
            replaced = silent >= self.timing.gone and successor is not None and successor is not member
            if replaced or silent >= self.timing.forget:
                member.presence, member.ended_at = Presence.ENDED, now
            elif silent >= self.timing.gone:
                member.presence = Presence.GONE
            else:
                member.presence = Presence.SUSPECTED if silent >= self.timing.suspect else Presence.PRESENT
            if member.presence is not before:
                changed.append((member, before))
        return changed

    @staticmethod
    def is_present(member: Member) -> bool:
        return member.presence in (Presence.PRESENT, Presence.SUSPECTED)

    @property
    def present(self) -> list[Member]:
        return [m for m in self.all.values() if self.is_present(m)]

    @property
    def known(self) -> list[Member]:
        """All members that have a share of the quotas: present ones, and gone ones that may be split off."""
        return [m for m in self.all.values() if m.presence not in (Presence.LEFT, Presence.ENDED)]

    @property
    def split(self) -> bool:
        return any(m.presence is Presence.GONE for m in self.all.values())

    def foldable(self, now: float) -> Iterable[Member]:
        """The incarnations that ended long enough ago for their counts to be folded into the past."""
        return [
            m for m in self.all.values()
            if m is not self.me and m.ended_at is not None and now - m.ended_at >= self.timing.linger
        ]  # fmt: skip

    def conflicts(self) -> set[str]:
        """The names that two incarnations use at the same time.

        Reports about an incarnation that was replaced may circulate for a while. It is a conflict when the
        older incarnation still sends heartbeats `gone` seconds after the newer one was first reported.
        """
        present: dict[str, list[Member]] = {}
        for member in self.present:
            present.setdefault(member.name, []).append(member)
        return {
            name for name, group in present.items()
            if len(group) > 1
            and min(m.beat_seen_at for m in group) - max(m.first_seen_at for m in group) >= self.timing.gone
        }  # fmt: skip

    def remove(self, id: int) -> None:
        self.all.pop(id, None)
