"""The bounds that `docs/budgets.md` states, as functions. Times in s; `drift` is the most by which a clock's
rate is off (0.02: a second of it is 0.98 to 1.02 s).

Sources: C. Gray and D. Cheriton, "Leases" (SOSP 1989), for a lease that its holder counts shorter than its
giver; M. Trencseni and others, "PaxosLease" (2012), for leases given by a majority.
"""

from __future__ import annotations

SLICES = 128  # that a budget's pool is divided into; the same on all members, whatever their number
ASKS_PER_LEASE = 4  # asks by which a holder renews within a lease: two may be lost
MIN_ASK_INTERVAL_S = 0.25  # between two asks while parts move


def used_for(lease: float, drift: float) -> float:
    """How long a holder acts on a slice, by its own clock, counted from the moment it asked.

    By a clock that is slow by `drift` that is `lease` of real time at most.
    """
    return lease * (1 - drift)


def held_for(hold: float, drift: float) -> float:
    """How long a voter keeps its grant, by its own clock, counted from the moment it answered.

    By a clock that is fast by `drift` that is `hold` of real time at least.
    """
    return hold * (1 + drift)


def hold(lease: float, ends_within: float = 0.0) -> float:
    """What a voter is asked to keep: the lease, and what a call may still run at the partner after it."""
    return lease + ends_within


def silence(longest_hold: float, drift: float) -> float:
    """For how long a voter that can't know what it granted says nothing: by then all of it has ended."""
    return held_for(longest_hold, drift)


def renew_every(lease: float) -> float:
    """Seconds between two asks by which a holder keeps its lease."""
    return lease / ASKS_PER_LEASE


def reuse_after_crash(lease: float, ends_within: float, drift: float) -> float:
    """From a holder's crash until its part is in use elsewhere: the grant, and two rounds of asking."""
    return held_for(hold(lease, ends_within), drift) / (1 - drift) + 2 * MIN_ASK_INTERVAL_S


def reuse_after_goodbye() -> float:
    """From a holder's goodbye until its part is in use elsewhere: two rounds."""
    return 2 * MIN_ASK_INTERVAL_S


def lowered_within(lease: float) -> float:
    """From a lower whole at a majority until no holder acts on the higher one: each slice's next renewal."""
    return lease


def majority(voters: int) -> int:
    """How many voters a majority has at least."""
    return voters // 2 + 1
