"""Token buckets: each member's share of a tenant's quota, from the counts of the whole fleet.

A quota is a rate and a burst for the whole fleet. Each member has a token bucket of its own: the burst is
divided evenly, the rate by demand, which is what the tenant submits to each member. A smaller share applies
at once. A larger one applies only after it has been due for the propagation time, within which the others
have reduced theirs, so the shares together do not exceed 1. What the shared counts show to be accepted above
the quota is repaid over `REPAY_S` seconds, and what is below is caught up over `CATCH_UP_S`, which also
corrects rounding and wrong estimates of shares.

Bounds: one bucket for each tenant that submitted a message within `IDLE_S` seconds, 10 numbers each.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

REPAY_S = 1.5  # over which messages accepted above the quota are repaid
CATCH_UP_S = 5.0  # over which an unused quota may be used; slower, as others may not have received the counts
IDLE_S = 120.0  # without a message, after which a bucket is removed
MAX_DEBT_S = 2.0  # of the quota that may be owed (or the burst, where that is more)
_RESERVED_SHARE = 0.02  # of the quota, for all members together to which the tenant submits nothing yet
_MIN_WAIT_S, _MAX_WAIT_S = 0.05, 30.0


class Split(StrEnum):
    """What a tenant may use while some members of the fleet are out of reach."""

    SHARE = "share"  # each side a share by its number of members
    FULL = "full"  # each side the whole quota
    REFUSE = "refuse"  # nothing on a side with half of the members or fewer


@dataclass(frozen=True, slots=True)
class Quota:
    """What a tenant may submit."""

    rate: float  # messages per second, whole fleet
    burst: float  # messages, whole fleet, 1 at least
    split: Split = Split.SHARE


@dataclass(frozen=True, slots=True)
class View:
    """The state of the fleet that a bucket uses for one decision."""

    present: int  # members on this side of a split, this one among them
    known: int  # members on all sides
    own_demand: float  # what the tenant submits to this member, messages per second
    other_demand: float  # to the others on this side
    accepted_total: int  # messages accepted by the whole fleet, as far as reported
    propagation_time: float  # s within which the others receive a change


class Bucket:
    """The bucket of one tenant on one member. Times are passed as `now` and must not decrease."""

    __slots__ = (
        "at", "fleet_tokens", "larger_share", "larger_share_min", "larger_share_since", "promised", "quota",
        "seen", "share", "tokens",
    )  # fmt: skip

    def __init__(self, quota: Quota, now: float, view: View, up: float) -> None:
        """`up`: s since this process started, so that each restart grants one message and no new burst."""
        self.quota = quota
        self.at = now
        self.share = self._target_share(view)
        self.larger_share: float | None = None  # not applied yet
        self.larger_share_since = self.larger_share_min = 0.0
        self.fleet_tokens = min(quota.burst, quota.rate * up)  # a bucket for the whole fleet, by the counts
        self.seen = view.accepted_total
        self.promised = 0.0  # rejected messages that may be submitted again after their wait
        self.tokens = min(self._capacity(view), max(1.0, quota.rate * up / max(1, view.known)))

    def _side_share(self, view: View) -> float:
        """The share of the quota that belongs to this side of a split."""
        if view.present >= view.known or self.quota.split is Split.FULL:
            return 1.0
        if self.quota.split is Split.REFUSE and 2 * view.present <= view.known:
            return 0.0
        return 1.0 if self.quota.split is Split.REFUSE else view.present / view.known

    def _target_share(self, view: View) -> float:
        spare = _RESERVED_SHARE * self.quota.rate / view.present
        return (
            self._side_share(view)
            * (view.own_demand + spare)
            / (view.own_demand + view.other_demand + _RESERVED_SHARE * self.quota.rate)
        )

    def _capacity(self, view: View) -> float:
        return max(1.0, self.quota.burst * self._side_share(view) / view.present)

    def _advance(self, now: float, view: View) -> float:
        """Account for the time that passed and the counts received. Returns the current rate."""
        passed, self.at = max(0.0, now - self.at), max(now, self.at)
        quota = self.quota
        min_fleet_tokens = -max(quota.burst, MAX_DEBT_S * quota.rate)
        accepted, self.seen = view.accepted_total - self.seen, view.accepted_total
        side = self._side_share(view)
        self.fleet_tokens = max(
            min_fleet_tokens,
            min(quota.burst * side, self.fleet_tokens + quota.rate * side * passed) - accepted,
        )
        target = self._target_share(view)
        if target <= self.share:
            self.share, self.larger_share = target, None
        elif self.larger_share is None:
            self.larger_share, self.larger_share_since, self.larger_share_min = target, now, target
        else:
            self.larger_share_min = min(self.larger_share_min, target)
            if now - self.larger_share_since >= view.propagation_time:
                self.share, self.larger_share = max(self.share, self.larger_share_min), None
        # Any member may use what the fleet has left; what the fleet owes is repaid by the members in use.
        own = min(1.0, self.share / side) if side else 0.0
        if self.fleet_tokens > 0:
            extra = max(own, 1 / view.present) * self.fleet_tokens / CATCH_UP_S
        else:
            extra = own * self.fleet_tokens / REPAY_S
        rate = max(0.0, self.share * quota.rate + extra)
        self.tokens = min(self._capacity(view), self.tokens + rate * passed)
        self.promised = max(0.0, self.promised - rate * passed)
        return rate

    def admit(self, now: float, view: View) -> float | None:
        """None if a message may be accepted, which takes a token; otherwise the wait in seconds."""
        rate = self._advance(now, view)
        if self._side_share(view) > 0 and self.tokens >= 1.0:
            self.tokens -= 1.0
            return None
        # The waits of rejected clients are staggered, so that not all retry for the same token.
        wait = (1.0 - self.tokens + self.promised) / rate if rate > 0 else _MAX_WAIT_S
        if wait < _MAX_WAIT_S:
            self.promised += 1.0
        return min(_MAX_WAIT_S, max(_MIN_WAIT_S, wait))

    def give_back(self) -> None:
        """Return the token of a message that was admitted and then not accepted."""
        self.tokens += 1.0


class Demand:
    """The rate of submitted messages: an exponentially weighted mean over about `MEAN_S` seconds."""

    MEAN_S = 4.0
    __slots__ = ("announced", "rate", "submitted")

    def __init__(self) -> None:
        self.submitted = 0  # since the last step
        self.rate = 0.0
        self.announced = 0  # tenths of a message per second, as published to the others

    def step(self, passed: float) -> bool:
        """Update the rate after `passed` seconds. Returns whether the change should be published."""
        if passed > 0:
            kept = 2.718281828459045 ** (-passed / self.MEAN_S)
            self.rate = self.rate * kept + self.submitted / passed * (1 - kept)
            self.submitted = 0
        if self.rate < 0.05:
            self.rate = 0.0
        tenths = round(self.rate * 10)
        moved = abs(tenths - self.announced) > max(1, 0.1 * max(tenths, self.announced))
        return moved or (not tenths and self.announced > 0)
