"""A voter's side of one budget: which holder each slice is granted to, and until when. No I/O, no clock.

A slice is granted to one holder at a time, and a holder uses a slice only while a majority of the voters
has granted it (`leases`). Sets of slices are bit masks.

Invariant: a voter never has a slice granted to two holders. A grant that was answered lasts at least `hold`
of real time from the answer on, even if this process restarts, unless its holder returned it.
Proof: `ask` grants a slice only where its grant belongs to the same holder or has expired by the voter's
clock, which counts `held_for(hold)`, so at least `hold` of real time. The `GrantRecord` is on disk before the
answer is sent (the caller's duty); a process that restores it counts each grant anew from its start, so for
longer. A process that can't know its earlier grants (`kept=False`) grants nothing for
`silence(longest hold)`, by when all of them have expired. A holder that omits a slice from an ask has stopped
using it before; asks are numbered, and one that arrives after a later one is ignored.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from mountgauge.budgets import timing

MAX_REMEMBERED_RUNS = 256  # holders whose newest ask number is remembered


class Holder(NamedTuple):
    """One process run of one member: after a restart it is another holder."""

    name: str
    run: int


class GrantRecord(NamedTuple):
    """What has to be on disk before the answer is sent: from now on these slices are granted to this
    holder, and to no other.
    """

    holder: Holder
    mask: int
    hold: float  # s


class GrantReply(NamedTuple):
    """The answer to one ask."""

    granted: int  # mask granted to the asking holder
    taken: int  # mask granted to others
    written: GrantRecord | None  # to be written first; None where the disk has it already


@dataclass(frozen=True, slots=True)
class Grant:
    """What one holder has been granted; each of its asks renews all of it."""

    mask: int
    hold: float
    until: float  # by the voter's clock
    on_disk: int  # mask; slices in it that are no longer granted only make a restart more cautious


@dataclass(slots=True)
class Grants:
    """The grants of one voter for one budget."""

    slices: int
    drift: float
    silent_until: float = 0.0  # grants nothing before
    grants_by_holder: dict[Holder, Grant] = field(default_factory=dict)
    # The number of each holder's newest ask, oldest first.
    newest: dict[Holder, int] = field(default_factory=dict)

    @classmethod
    def restored(
        cls, slices: int, drift: float, now: float, kept: bool, written: Iterable[GrantRecord], longest: float
    ) -> Grants:
        """The state after a start. `kept`: `written`, in order, is certain to have all grants that may still
        bind.
        """
        restored = cls(slices, drift)
        if not kept:
            restored.silent_until = now + timing.silence(longest, drift)
        all_slices = (1 << slices) - 1
        for record in written:
            restored._revoke_from_others(record.holder, record.mask)
            mask = record.mask & all_slices
            restored.grants_by_holder[record.holder] = Grant(
                mask, record.hold, now + timing.held_for(record.hold, drift), mask
            )
        return restored

    def _revoke_from_others(self, holder: Holder, mask: int) -> None:
        for other, grant in list(self.grants_by_holder.items()):
            if other != holder and (grant.mask | grant.on_disk) & mask:
                self.grants_by_holder[other] = Grant(
                    grant.mask & ~mask, grant.hold, grant.until, grant.on_disk & ~mask
                )

    def silent(self, now: float) -> bool:
        """Whether this voter grants nothing yet, because it can't know its earlier grants."""
        return now < self.silent_until

    def taken(self, holder: Holder, now: float) -> int:
        """The slices that are granted to other holders."""
        mask = 0
        for other, grant in self.grants_by_holder.items():
            if other != holder and grant.until > now:
                mask |= grant.mask
        return mask

    def ask(self, holder: Holder, number: int, claims: int, hold: float, now: float) -> GrantReply | None:
        """Answer an ask, which names all slices that the holder has or wants; those it omits become free.
        None: a later ask has been answered, this one is ignored.
        """
        if number <= self.newest.get(holder, 0):
            return None
        self.newest.pop(holder, None)
        self.newest[holder] = number
        self._forget(now)
        taken = self.taken(holder, now)
        previous = self.grants_by_holder.get(holder, _NO_GRANT)
        unexpired = previous.mask if previous.until > now else 0
        granted = unexpired & claims if self.silent(now) else claims & ~taken & ((1 << self.slices) - 1)
        if not granted:
            if holder in self.grants_by_holder:
                self.grants_by_holder[holder] = Grant(0, previous.hold, previous.until, previous.on_disk)
            return GrantReply(0, taken, None)
        hold, until = (
            max(hold, previous.hold), max(previous.until, now + timing.held_for(hold, self.drift)),
        )  # fmt: skip
        new = bool(granted & ~previous.on_disk) or hold > previous.hold
        written = GrantRecord(holder, granted, hold) if new else None
        if written is not None:
            self._revoke_from_others(holder, granted)
        self.grants_by_holder[holder] = Grant(granted, hold, until, granted if new else previous.on_disk)
        return GrantReply(0 if self.silent(now) else granted, taken, written)

    def _forget(self, now: float) -> None:
        """Drop expired grants, and the oldest ask numbers of runs without a grant: an old ask of such a run
        that is processed again only grants slices to a holder that does not use them.
        """
        for holder in [holder for holder, grant in self.grants_by_holder.items() if grant.until <= now]:
            del self.grants_by_holder[holder]
        for holder in [run for run in self.newest if run not in self.grants_by_holder][
            : len(self.newest) - MAX_REMEMBERED_RUNS
        ]:
            del self.newest[holder]

    def records(self, now: float) -> list[GrantRecord]:
        """All grants that still bind, for a file that is rewritten."""
        return [
            GrantRecord(holder, grant.mask, grant.hold) for holder, grant in self.grants_by_holder.items()
            if grant.mask and grant.until > now
        ]  # fmt: skip


_NO_GRANT = Grant(0, 0.0, float("-inf"), 0)
