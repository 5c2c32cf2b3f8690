"""What a budget is, and what a slice or a reserve of it is worth. Pure.

The whole is a reserve for each listed member, which is its own for good, and a pool of `SLICES` slices that
are leased. Rates are divided as they are, counts in whole units.

Invariant: with `members` counted alike, the reserves and all slices of a budget are worth the whole at most,
even where each member works with a whole of its own: then they are worth the largest of those at most.
Proof: `reserve` and a slice's worth do not fall as the whole rises, so each is at most what it is at the
largest whole W; there `members * reserve <= reserved_total(W)` and the slices sum to
`pool(W) <= W - reserved_total(W)`: for a rate evenly, for units because slice `s`
has one for each n with `s + n * slices < pool`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from mountgauge.budgets.timing import SLICES


class Kind(StrEnum):
    """What a budget counts."""

    RATE = "rate"  # calls a second, with a burst
    CONCURRENT = "concurrent"  # calls out at once
    ALLOWANCE = "allowance"  # calls in any `period_s`


@dataclass(frozen=True, slots=True)
class Scope:
    """Which calls a budget binds; what is None is not looked at."""

    dest: int | None = None
    endpoint: str | None = None
    tenant: str | None = None  # binds what is taken on for it, not calls


@dataclass(frozen=True, slots=True)
class Budget:
    """A budget of the whole fleet; `whole` in the unit of its kind."""

    name: str
    kind: Kind
    total: float
    burst: float = 0.0  # of a rate; at least one call for each member
    scope: Scope = Scope()
    reserve: float = 0.1  # share of the whole, split evenly over the listed members
    least: float = 0.0  # of each member, at least
    weight: float = 1.0  # of this member in the division
    lease_s: float = 4.0
    ends_within_s: float = 0.0  # a call that began has ended at the partner after this long
    period_s: float = 86_400.0  # of an allowance
    slices: int = SLICES

    @property
    def whole_units(self) -> bool:
        return self.kind is not Kind.RATE

    @property
    def hold_s(self) -> float:
        """What voters are asked to keep a slice for."""
        return self.lease_s + (self.period_s if self.kind is Kind.ALLOWANCE else self.ends_within_s)


def reserved_total(budget: Budget, whole: float, members: int) -> float:
    """Of the whole, for the reserves."""
    least = math.ceil(budget.least) if budget.whole_units else budget.least
    return min(whole, max(budget.reserve * whole, members * least))


def reserve(budget: Budget, whole: float, members: int) -> float:
    """One member's reserve."""
    share = reserved_total(budget, whole, members) / max(1, members)
    return math.floor(share + 1e-9) if budget.whole_units else share


def pool(budget: Budget, whole: float, members: int) -> float:
    """What is leased, over all slices."""
    rest = whole - reserved_total(budget, whole, members)
    return math.floor(rest + 1e-9) if budget.whole_units else rest


def mask_value(budget: Budget, whole: float, members: int, mask: int) -> float:
    """What a set of slices is worth."""
    if not budget.whole_units:
        return pool(budget, whole, members) / budget.slices * mask.bit_count()
    units, rest = divmod(int(pool(budget, whole, members)), budget.slices)  # the first `rest` have one more
    return units * mask.bit_count() + (mask & ((1 << rest) - 1)).bit_count()


def member_burst(budget: Budget, part: float, whole: float, members: int) -> float:
    """Calls that a member's part may bring at once: one for each member, the rest by part.

    These sum to the burst at most, where the parts sum to the whole at most and `burst >= members`.
    """
    rest = max(0.0, budget.burst - members)
    return 1.0 + (rest * min(1.0, part / whole) if whole > 0 else 0.0)


def validation_error(budget: Budget, members: int) -> str:
    """What is wrong with it for so many members, in a few words; empty: nothing."""
    if not 0 <= budget.reserve <= 1:
        return "reserve: 0 to 1"
    if budget.total < 0 or not math.isfinite(budget.total):
        return "whole: 0 or more"
    if budget.whole_units and budget.total != math.floor(budget.total):
        return f"whole: a whole number for kind '{budget.kind}'"
    least = math.ceil(budget.least) if budget.whole_units else budget.least
    if least * members > budget.total:
        return f"least: {budget.least:g} for each of {members} members is more than {budget.total:g}"
    if budget.scope.tenant is not None and budget.kind is Kind.CONCURRENT:
        return "of.tenant: for what is taken on, which is not out: kind 'rate' or 'allowance'"
    if budget.kind is Kind.RATE and budget.burst < members:
        return f"burst: {budget.burst:g} is less than one call for each of {members} members"
    return ""
