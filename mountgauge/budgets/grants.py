"""A voter's side of one budget: to whom each slice is granted, and until when. No I/O, no clock.

A slice is granted to one holder at a time, and a holder acts on a slice only while a majority of the voters
has granted it (`leases`). Sets of slices are bit masks.

Invariant: at no moment has a voter granted a slice to two holders. A grant that was answered lasts `hold`
of real time from the ask's answer on, whatever happens to this process, unless its holder gave it back.
Proof: `ask` gives a slice only where its grant is the same holder's, or is over by the own clock, which
counts `held_for(hold)`, so `hold` of real time at least. `GrantRecord` is on disk before the answer leaves
(the caller's duty); a process that comes back with it counts each grant anew from its start, so for longer.
One that can't know what it granted (`kept=False`) gives nothing for `silence(longest hold)`, by when all of
it is over. A holder that leaves a slice out of an ask has stopped acting on it before; asks are numbered,
and one that was overtaken by a later one is not heard.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from mountgauge.budgets import timing

MAX_REMEMBERED_RUNS = 256  # holders whose newest ask is remembered


class Holder(NamedTuple):
    """One run of one member: a process that comes back is another holder."""

    name: str
    run: int


class GrantRecord(NamedTuple):
    """What has to be on disk before the answer leaves: these slices are this holder's from now on, and
    nobody else's.
    """

    holder: Holder
    mask: int
    hold: float  # s


class GrantReply(NamedTuple):
    """The answer to one ask."""

    granted: int  # to the asker now
    taken: int  # granted to others
    written: GrantRecord | None


@dataclass(frozen=True, slots=True)
class Grant:
    """What one holder has been granted: all of it anew by each of its asks."""

    mask: int
    hold: float
    until: float  # by the voter's clock
    on_disk: int  # a mask; what is there but not granted any more only makes a restart more careful


@dataclass(slots=True)
class Grants:
    """What one voter has granted of one budget, by holder."""

    slices: int
    drift: float
    silent_until: float = 0.0
    grants_by_holder: dict[Holder, Grant] = field(default_factory=dict)
    newest: dict[Holder, int] = field(default_factory=dict)  # number of the newest ask of each, oldest first

    @classmethod
    def restored(
        cls, slices: int, drift: float, now: float, kept: bool, written: Iterable[GrantRecord], longest: float
    ) -> Grants:
        """After a start. `kept`: `written`, in order, is surely all that was granted and may still hold."""
        found = cls(slices, drift)
        if not kept:
            found.silent_until = now + timing.silence(longest, drift)
        every = (1 << slices) - 1
        for one in written:
            found._take_from_others(one.holder, one.mask)
            mask = one.mask & every
            found.grants_by_holder[one.holder] = Grant(
                mask, one.hold, now + timing.held_for(one.hold, drift), mask
            )
        return found

    def _take_from_others(self, holder: Holder, mask: int) -> None:
        for other, had in list(self.grants_by_holder.items()):
            if other != holder and (had.mask | had.on_disk) & mask:
                self.grants_by_holder[other] = Grant(
                    had.mask & ~mask, had.hold, had.until, had.on_disk & ~mask
                )

    def silent(self, now: float) -> bool:
        return now < self.silent_until

    def taken(self, holder: Holder, now: float) -> int:
        """What others have been granted."""
        mask = 0
        for other, had in self.grants_by_holder.items():
            if other != holder and had.until > now:
                mask |= had.mask
        return mask

    def ask(self, holder: Holder, number: int, claims: int, hold: float, now: float) -> GrantReply | None:
        """A holder says all that it holds or wants; what it left out is free. None: not heard."""
        if number <= self.newest.get(holder, 0):
            return None
        self.newest.pop(holder, None)
        self.newest[holder] = number
        self._forget(now)
        taken = self.taken(holder, now)
        had = self.grants_by_holder.get(holder, _NOTHING)
        still = had.mask if had.until > now else 0
        granted = still & claims if self.silent(now) else claims & ~taken & ((1 << self.slices) - 1)
        if not granted:
            if holder in self.grants_by_holder:
                self.grants_by_holder[holder] = Grant(0, had.hold, had.until, had.on_disk)
            return GrantReply(0, taken, None)
        hold, until = max(hold, had.hold), max(had.until, now + timing.held_for(hold, self.drift))
        new = bool(granted & ~had.on_disk) or hold > had.hold
        written = GrantRecord(holder, granted, hold) if new else None
        if written is not None:
            self._take_from_others(holder, granted)
        self.grants_by_holder[holder] = Grant(granted, hold, until, granted if new else had.on_disk)
        return GrantReply(0 if self.silent(now) else granted, taken, written)

    def _forget(self, now: float) -> None:
        """Grants that are over; of runs without any, the oldest: hearing an old ask of one again would only
        grant to nobody.
        """
        for holder in [holder for holder, had in self.grants_by_holder.items() if had.until <= now]:
            del self.grants_by_holder[holder]
        for holder in [one for one in self.newest if one not in self.grants_by_holder][
            : len(self.newest) - MAX_REMEMBERED_RUNS
        ]:
            del self.newest[holder]

    def records(self, now: float) -> list[GrantRecord]:
        """All that still binds: what a rewritten file has to say."""
        return [
            GrantRecord(holder, had.mask, had.hold) for holder, had in self.grants_by_holder.items()
            if had.mask and had.until > now
        ]  # fmt: skip


_NOTHING = Grant(0, 0.0, float("-inf"), 0)
