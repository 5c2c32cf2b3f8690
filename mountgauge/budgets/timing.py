"""The time bounds that `docs/budgets.md` states, as functions. Times in s; `drift` is the largest relative
error of a clock's rate (0.02: a second lasts 0.98 to 1.02 s).

Sources: C. Gray and D. Cheriton, "Leases" (SOSP 1989), for a lease that its holder counts shorter than its
grantor; M. Trencseni and others, "PaxosLease" (2012), for leases granted by a majority.
"""

from __future__ import annotations

SLICES = 128  # of a budget's pool; the same on all members, whatever their number
ASKS_PER_LEASE = 4  # so that two renewals may be lost
MIN_ASK_INTERVAL_S = 0.25  # between two asks while shares change


def used_for(lease: float, drift: float) -> float:
    """How long a holder uses a slice, by its own clock, counted from the moment it asked.

    On a clock that is slow by `drift` that is at most `lease` of real time.
    """
    return lease * (1 - drift)


def held_for(hold: float, drift: float) -> float:
    """How long a voter keeps its grant, by its own clock, counted from the moment it answered.

    On a clock that is fast by `drift` that is at least `hold` of real time.
    """
    return hold * (1 + drift)


def hold(lease: float, ends_within: float = 0.0) -> float:
    """How long a voter is asked to keep a grant: the lease, and the time for which a call may still run at
    the partner after it.
    """
    return lease + ends_within


def silence(longest_hold: float, drift: float) -> float:
    """How long a voter grants nothing when it can't know its earlier grants: they all expire by then."""
    return held_for(longest_hold, drift)


def renew_every(lease: float) -> float:
    """Seconds between two asks with which a holder renews its lease."""
    return lease / ASKS_PER_LEASE


def reuse_after_crash(lease: float, ends_within: float, drift: float) -> float:
    """From a holder's crash until its share is in use elsewhere: the grant, and two rounds of asks."""
    return held_for(hold(lease, ends_within), drift) / (1 - drift) + 2 * MIN_ASK_INTERVAL_S


def reuse_after_goodbye() -> float:
    """From a holder's goodbye until its share is in use elsewhere: two rounds of asks."""
    return 2 * MIN_ASK_INTERVAL_S


def lowered_within(lease: float) -> float:
    """From the moment a majority has a lower total until no holder uses the higher one: one lease, within
    which each slice is renewed.
    """
    return lease


def majority(voters: int) -> int:
    """The smallest number of voters that is a majority."""
    return voters // 2 + 1
