"""A holder's side of one budget: which slices it has or wants, and until when it may use each. No I/O, no
clock. Sets of slices are bit masks.

Invariant: `held(now)` has a slice only while a majority of the voters has granted it to this run, in real
time. Proof: an answer to ask `n` counts for `used_for(lease)` by the holder's clock from the moment ask `n`
was made; that moment is no later than the answer, and the span is at most `lease` of real time. The voter
keeps its grant for `hold >= lease` of real time from its answer on. An answer counts only for slices that
have been claimed without a break since ask `n`: a slice that is dropped is removed from `still_claimed` of
every ask so far, and the next ask, which omits it, is made after that. So where two runs held one slice at
the same moment, two majorities would have granted it, and a voter common to both would have granted it to
two holders, against the invariant of `grants`.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from mountgauge.budgets import timing

ASKS_KEPT = 32  # the newest asks whose answers still count


def at_least(masks: Collection[int], need: int) -> int:
    """The bits that are set in at least `need` of the masks. Adds all bit positions in parallel."""
    planes: list[int] = []  # plane n has bit n of each position's count
    for carry in masks:
        for index, plane in enumerate(planes):
            planes[index], carry = plane ^ carry, plane & carry
            if not carry:
                break
        if carry:
            planes.append(carry)
    more, equal = 0, -1  # compare the counts with `need` from the highest bit down
    for index in range(max(len(planes), need.bit_length()) - 1, -1, -1):
        plane = planes[index] if index < len(planes) else 0
        if need >> index & 1:
            equal &= plane
        else:
            more |= equal & plane
            equal &= ~plane
    return more | (equal if planes or not need else 0)


@dataclass(slots=True)
class Leases:
    """The slices of one budget that one holder has or wants, and what the voters have granted of them."""

    lease: float
    drift: float
    number: int = 0  # of the newest ask
    mask: int = 0  # slices that are held or wanted
    asked: dict[int, float] = field(default_factory=dict)  # by ask: when its answers expire, holder's clock
    still_claimed: dict[int, int] = field(default_factory=dict)  # by ask: claimed then and not dropped since
    voted: dict[str, dict[int, int]] = field(default_factory=dict)  # by voter and ask: mask that it granted
    _cached: tuple[Collection[str], int, float, float] | None = None  # voters, held, until when, since when

    def claim(self, mask: int) -> None:
        """Claim these slices from the next ask on."""
        self.mask |= mask

    def drop(self, mask: int) -> None:
        """Stop using these slices at once; the next ask returns them."""
        self.mask &= ~mask
        self._cached = None
        for number in self.still_claimed:
            self.still_claimed[number] &= ~mask

    def ask(self, now: float) -> tuple[int, int]:
        """The next ask's number and all slices that it claims; the same for all voters."""
        self.number += 1
        self.asked[self.number] = now + timing.used_for(self.lease, self.drift)
        self.still_claimed[self.number] = self.mask
        expired = [one for one, end in self.asked.items() if end <= now or one <= self.number - ASKS_KEPT]
        for number in expired:
            del self.asked[number], self.still_claimed[number]
            for votes in self.voted.values():
                votes.pop(number, None)
        return self.number, self.mask

    def answered(self, voter: str, number: int, granted: int) -> None:
        """Apply a voter's answer to ask `number`."""
        if number in self.asked:
            self.voted.setdefault(voter, {})[number] = granted
            self._cached = None

    def held(self, now: float, voters: Collection[str]) -> int:
        """The slices that a majority of these voters has granted, and that may be used now."""
        return self._held_until(now, voters)[0]

    def shrinks_at(self, now: float, voters: Collection[str]) -> float:
        """When `held` loses its first slice unless another answer arrives; infinite where it has none."""
        return self._held_until(now, voters)[1]

    def _held_until(self, now: float, voters: Collection[str]) -> tuple[int, float]:
        """Both of these; cached until then, unless an answer arrives or a slice is dropped."""
        if (
            self._cached is not None and self._cached[0] == voters
            and self._cached[3] <= now < self._cached[2]
        ):  # fmt: skip
            return self._cached[1], self._cached[2]
        held, shrinks = self._count(now, voters), float("inf")
        for end in sorted({end for end in self.asked.values() if end > now}) if held else ():
            if self._count(end, voters) != held:
                shrinks = end
                break
        self._cached = voters, held, shrinks, now
        return held, shrinks

    def _count(self, now: float, voters: Collection[str]) -> int:
        masks = []
        for voter in voters:
            mask = 0
            for number, granted in self.voted.get(voter, {}).items():
                if self.asked[number] > now:
                    mask |= granted & self.still_claimed[number]
            masks.append(mask)
        return at_least(masks, timing.majority(len(masks)))
