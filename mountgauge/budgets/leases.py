"""A holder's side of one budget: which slices it holds or wants, and until when it may act on each. No I/O,
no clock. Sets of slices are bit masks.

Invariant: `held(now)` has a slice only while a majority of the voters has granted it to this run, in real
time. Proof: an answer to ask `n` counts `used_for(lease)` by the own clock from the moment ask `n` was made,
which is no later than the answer was given and, in real time, `lease` at most; the voter keeps its grant
for `hold >= lease` of real time from then on. An answer counts only for slices that have been claimed
without a break since ask `n`: a slice that is dropped goes out of `still_claimed` of every ask so far,
and the next
ask, which leaves it out, is made after that. So where two runs hold one slice at one moment two majorities
have granted it, and have a voter in common that has granted it to both, against the invariant of
`grants`.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from mountgauge.budgets import timing

ASKS_KEPT = 32  # asks whose answers still count


def at_least(masks: Collection[int], need: int) -> int:
    """The bits that are set in `need` of the masks or more: counted in all places at once, bit by bit."""
    planes: list[int] = []
    for carry in masks:
        for place, plane in enumerate(planes):
            planes[place], carry = plane ^ carry, plane & carry
            if not carry:
                break
        if carry:
            planes.append(carry)
    more, equal = 0, -1  # compare the counts with `need` from the highest bit down
    for place in range(max(len(planes), need.bit_length()) - 1, -1, -1):
        plane = planes[place] if place < len(planes) else 0
        if need >> place & 1:
            equal &= plane
        else:
            more |= equal & plane
            equal &= ~plane
    return more | (equal if planes or not need else 0)


@dataclass(slots=True)
class Leases:
    """What one holder holds or wants of one budget, and what the voters have granted of it."""

    lease: float
    drift: float
    number: int = 0  # of the newest ask
    mask: int = 0  # what is held or wanted
    asked: dict[int, float] = field(default_factory=dict)  # by ask: until when its answers count, own clock
    still_claimed: dict[int, int] = field(
        default_factory=dict
    )  # by ask: what it claimed and was not dropped since
    voted: dict[str, dict[int, int]] = field(default_factory=dict)  # by voter and ask: what was granted
    _known: tuple[Collection[str], int, float, float] | None = None  # voters, held, until when, since when

    def claim(self, mask: int) -> None:
        """Claim these from the next ask on."""
        self.mask |= mask

    def drop(self, mask: int) -> None:
        """Stop acting on these, now; the next ask gives them back."""
        self.mask &= ~mask
        self._known = None
        for number in self.still_claimed:
            self.still_claimed[number] &= ~mask

    def ask(self, now: float) -> tuple[int, int]:
        """The next ask's number, and all that it claims; the same for all voters."""
        self.number += 1
        self.asked[self.number] = now + timing.used_for(self.lease, self.drift)
        self.still_claimed[self.number] = self.mask
        over = [one for one, end in self.asked.items() if end <= now or one <= self.number - ASKS_KEPT]
        for number in over:
            del self.asked[number], self.still_claimed[number]
            for votes in self.voted.values():
                votes.pop(number, None)
        return self.number, self.mask

    def answered(self, voter: str, number: int, granted: int) -> None:
        if number in self.asked:
            self.voted.setdefault(voter, {})[number] = granted
            self._known = None

    def held(self, now: float, voters: Collection[str]) -> int:
        """The slices that a majority of these voters has granted, and that may be acted on now."""
        return self._look(now, voters)[0]

    def shrinks_at(self, now: float, voters: Collection[str]) -> float:
        """When `held` would lose its first slice, were nothing more heard; infinite where it has none."""
        return self._look(now, voters)[1]

    def _look(self, now: float, voters: Collection[str]) -> tuple[int, float]:
        """Both; what was found last holds until then, unless something was heard or dropped."""
        if self._known is not None and self._known[0] == voters and self._known[3] <= now < self._known[2]:
            return self._known[1], self._known[2]
        held, shrinks = self._count(now, voters), float("inf")
        for end in sorted({end for end in self.asked.values() if end > now}) if held else ():
            if self._count(end, voters) != held:
                shrinks = end
                break
        self._known = voters, held, shrinks, now
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
