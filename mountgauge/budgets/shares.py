"""What a budget is, and the value of a slice or a reserve of it. Pure.

The total is divided into a reserve for each listed member, which that member always has, and a pool of
`SLICES` slices that are leased. Rates are divided as real numbers, counts in whole units.

Invariant: with the same number of `members`, the reserves and all slices of a budget are worth at most the
total, even where each member works with a total of its own: then they are worth at most the largest of these.
Proof: `reserve` and the value of a slice do not fall as the total rises, so each is at most its value at the
largest total T. There `members * reserve <= reserved_total(T)`, and the slices sum to
`pool(T) <= T - reserved_total(T)`: for a rate because they are equal, for units because slice `s` has one
unit for each n with `s + n * slices < pool`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from mountgauge.budgets.timing import SLICES


class Kind(StrEnum):
    """What a budget counts."""

    RATE = "rate"  # calls per second, with a burst
    CONCURRENT = "concurrent"  # calls in flight at once
    ALLOWANCE = "allowance"  # calls in any `period_s`


@dataclass(frozen=True, slots=True)
class Scope:
    """Which calls a budget binds; a field that is None matches any."""

    dest: int | None = None
    endpoint: str | None = None
    tenant: str | None = None  # binds the messages that are accepted for it, not calls


@dataclass(frozen=True, slots=True)
class Budget:
    """A budget of the fleet; `total` in the unit of its kind."""

    name: str
    kind: Kind
    total: float
    burst: float = 0.0  # of a rate; at least one call for each member
    scope: Scope = Scope()
    reserve: float = 0.1  # fraction of the total, split evenly among the listed members
    least: float = 0.0  # minimum reserve of each member
    weight: float = 1.0  # of this member in the division
    lease_s: float = 4.0
    ends_within_s: float = 0.0  # the longest time for which a call runs at the partner
    period_s: float = 86_400.0  # of an allowance
    slices: int = SLICES

    @property
    def whole_units(self) -> bool:
        """Whether shares are counted in whole units."""
        return self.kind is not Kind.RATE

    @property
    def hold_s(self) -> float:
        """How long voters are asked to keep a grant of a slice."""
        return self.lease_s + (self.period_s if self.kind is Kind.ALLOWANCE else self.ends_within_s)


def reserved_total(budget: Budget, total: float, members: int) -> float:
    """The sum of all reserves."""
    least = math.ceil(budget.least) if budget.whole_units else budget.least
    return min(total, max(budget.reserve * total, members * least))


def reserve(budget: Budget, total: float, members: int) -> float:
    """One member's reserve."""
    share = reserved_total(budget, total, members) / max(1, members)
    return math.floor(share + 1e-9) if budget.whole_units else share


def pool(budget: Budget, total: float, members: int) -> float:
    """The sum of all slices, which are leased."""
    remainder = total - reserved_total(budget, total, members)
    return math.floor(remainder + 1e-9) if budget.whole_units else remainder


def mask_value(budget: Budget, total: float, members: int, mask: int) -> float:
    """The value of a set of slices, in the unit of the budget's kind."""
    if not budget.whole_units:
        return pool(budget, total, members) / budget.slices * mask.bit_count()
    units, extra = divmod(int(pool(budget, total, members)), budget.slices)  # the first `extra` have one more
    return units * mask.bit_count() + (mask & ((1 << extra) - 1)).bit_count()


def member_burst(budget: Budget, share: float, total: float, members: int) -> float:
    """Calls that a member may send at once: one for each member, the remainder in proportion to its share.

    These sum to at most the burst, where the shares sum to at most the total and `burst >= members`.
    """
    remainder = max(0.0, budget.burst - members)
    return 1.0 + (remainder * min(1.0, share / total) if total > 0 else 0.0)


def validation_error(budget: Budget, members: int) -> str:
    """The first error in the budget for this number of members; empty where there is none."""
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
        return "of.tenant: counts accepted messages, which are not in flight: kind 'rate' or 'allowance'"
    if budget.kind is Kind.RATE and budget.burst < members:
        return f"burst: {budget.burst:g} is less than one call for each of {members} members"
    return ""
