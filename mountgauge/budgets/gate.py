"""Which calls may start: each budget that binds a call must have a slot for it, or no slot is used. No I/O,
no clock.

A call passes two checks: `start`, before a connection is chosen, so that calls without a slot stay queued;
and `acquire`, in the last step before its first byte, which is the one that counts. Between the two its slot
is only pending and costs nothing.

Invariant (rate): in any span of `w` s a member starts at most `tokens(0) + share x w` calls, where its tokens
are at most `member_burst(share)`; a share that grows brings no tokens with it, one that shrinks removes them
(`refresh` is called before and after whatever may change a share). So the fleet's calls in any span are at
most `total x w + burst`. (concurrent): at each `acquire` the calls in flight, with those that may still run
at the partner, are fewer than the share. (allowance): at each `acquire` the calls of the last `period_s` are
fewer than the share.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from mountgauge.budgets import shares
from mountgauge.budgets.member import Share, Usage
from mountgauge.budgets.shares import Budget, Kind

DEMAND_WINDOW_S = 2.0  # time constant of the averaged demand


_NO_SHARE = Share(0.0, 0.0, -math.inf)


@dataclass(slots=True)
class _Account:
    """One budget's account at this member."""

    budget: Budget
    refilled_at: float  # when `tokens` was computed
    share: Share = _NO_SHARE
    total: float = 0.0
    members: int = 1
    tokens: float = 0.0  # calls that may start now; a new process has none
    in_flight: int = 0
    maybe_running: deque[float] = field(default_factory=deque)  # by when unanswered calls have surely ended
    call_times: deque[float] = field(default_factory=deque)  # starts of the calls of the last period
    pending: int = 0  # calls that passed `start` but not `acquire`
    demand: float = 0.0  # calls per second that ask for a slot, smoothed
    demand_at: float = 0.0  # when `demand` was computed
    waiting: int = 0  # calls that wait for a slot
    refused: int = 0  # times that a call had to wait

    def used(self, now: float) -> int:
        """Slots in use of a concurrent budget, or calls of the last period of an allowance."""
        if self.budget.kind is Kind.ALLOWANCE:
            while self.call_times and self.call_times[0] <= now - self.budget.period_s:
                self.call_times.popleft()
            return len(self.call_times)
        while self.maybe_running and self.maybe_running[0] <= now:
            self.maybe_running.popleft()
        return self.in_flight + len(self.maybe_running)


class Gate:
    """Decides on all calls and tenant messages. `share` returns, for a budget and a time, this member's
    share, the total, and the number of members that it is computed with.
    """

    def __init__(
        self, budgets: Collection[Budget], share: Callable[[str, float], tuple[Share, float, int]], now: float
    ) -> None:
        self._share = share
        self.accounts = {one.name: _Account(one, now, demand_at=now) for one in budgets}
        self._index()

    def reload(self, budgets: Collection[Budget], now: float) -> None:
        """Apply a new file; calls in flight stay counted."""
        old = self.accounts
        self.accounts = {}
        for one in budgets:
            account = old.get(one.name)
            if account is None or account.budget.kind is not one.kind:
                account = _Account(one, now, demand_at=now)
            account.budget = one
            self.accounts[one.name] = account
        self._index()

    def _index(self) -> None:
        """Index the accounts by scope, so that the cost of a call does not grow with the budgets of other
        destinations.
        """
        self._call_accounts: dict[tuple[int | None, str | None], list[_Account]] = {}
        self._tenant_accounts: dict[str, list[_Account]] = {}
        for account in self.accounts.values():
            scope = account.budget.scope
            if scope.tenant is None:
                self._call_accounts.setdefault((scope.dest, scope.endpoint), []).append(account)
            else:
                self._tenant_accounts.setdefault(scope.tenant, []).append(account)

    def binding(self, dest: int, endpoint: str) -> list[_Account]:
        """The accounts of all budgets that bind a call, ordered by name."""
        found: list[_Account] = []
        for key in ((dest, endpoint), (dest, None), (None, endpoint), (None, None)):
            found += self._call_accounts.get(key, ())
        return sorted(found, key=lambda account: account.budget.name)

    def refresh(self, now: float) -> None:
        """Refill all accounts and read their shares; called before and after whatever may change a share."""
        for account in self.accounts.values():
            self._refill(account, now)
            self._update_share(account, now)

    def _update_share(self, account: _Account, now: float) -> None:
        account.share, account.total, account.members = self._share(account.budget.name, now)
        burst = shares.member_burst(account.budget, account.share.total, account.total, account.members)
        account.tokens = min(account.tokens, burst if account.share.total > 0 else 0.0)

    def _refill(self, account: _Account, now: float) -> None:
        """Add the tokens since the last refill, by the share of that time; an expired lease adds none."""
        span = max(0.0, min(now, account.share.until) - account.refilled_at)
        account.tokens += account.share.total * span
        if now >= account.share.until:  # since then the reserve alone has counted
            account.tokens += account.share.reserve * max(
                0.0, now - max(account.refilled_at, account.share.until)
            )
        account.refilled_at = max(account.refilled_at, now)
        if now >= account.share.until:
            self._update_share(account, now)
        burst = shares.member_burst(account.budget, account.share.total, account.total, account.members)
        account.tokens = min(account.tokens, burst if account.share.total > 0 else 0.0)

    def _wait_s(self, account: _Account, now: float, pending: int) -> float:
        """Seconds until a call may start beside `pending` others; infinite if other members decide it."""
        self._refill(account, now)
        if account.budget.kind is Kind.RATE:
            lacking = 1.0 + pending - account.tokens
            if lacking <= 1e-9:
                return 0.0
            return lacking / account.share.total if account.share.total > 0 else math.inf
        if account.used(now) + pending < account.share.total:
            return 0.0
        wait = account.maybe_running[0] - now if account.maybe_running else math.inf
        return max(0.001, wait)

    def start(self, dest: int, endpoint: str, now: float) -> float:
        """0: the call may choose a connection, and a slot is pending for it. Else the seconds to wait."""
        accounts = self.binding(dest, endpoint)
        wait = max((self._wait_s(account, now, account.pending) for account in accounts), default=0.0)
        if wait > 0:
            for account in accounts:
                account.refused += 1
            return wait
        for account in accounts:
            account.pending += 1
        return 0.0

    def acquire(self, dest: int, endpoint: str, now: float) -> bool:
        """Use a slot of all budgets of a started call, or of none; in the last step before its first byte."""
        accounts = self.binding(dest, endpoint)
        if any(self._wait_s(account, now, 0) > 0 for account in accounts):
            return False
        for account in accounts:
            account.pending = max(0, account.pending - 1)
            if account.budget.kind is Kind.RATE:
                account.tokens -= 1.0
            elif account.budget.kind is Kind.ALLOWANCE:
                account.call_times.append(now)
            else:
                account.in_flight += 1
        return True

    def usable_until(self, dest: int, endpoint: str, now: float) -> float:
        """Until when a slot that was just acquired may be used: until its leases end. Reserves never do."""
        ends = [account.share.until for account in self.binding(dest, endpoint)]
        return min((end for end in ends if end > now), default=math.inf)

    def admit(self, tenant: str, now: float) -> float:
        """0: a message of the tenant may be accepted, and is counted. Else the seconds until a retry."""
        accounts = self._tenant_accounts.get(tenant, ())
        for account in accounts:
            self._decay(account, now)
            account.demand += 1 / DEMAND_WINDOW_S
        wait = max((self._wait_s(account, now, 0) for account in accounts), default=0.0)
        for account in accounts:
            if wait > 0:
                account.refused += 1
            elif account.budget.kind is Kind.RATE:
                account.tokens -= 1.0
            else:
                account.call_times.append(now)
        return wait

    def refund(self, tenant: str) -> None:
        """Undo `admit` for a message that was not accepted."""
        for account in self._tenant_accounts.get(tenant, ()):
            if account.budget.kind is Kind.RATE:
                account.tokens += 1.0
            elif account.call_times:
                account.call_times.pop()

    def cancel(self, dest: int, endpoint: str) -> None:
        """A call that passed `start` is not sent."""
        for account in self.binding(dest, endpoint):
            account.pending = max(0, account.pending - 1)

    def finish(self, dest: int, endpoint: str, now: float, answered: bool) -> None:
        """A call that passed `acquire` is finished; without an answer it may run at the partner for
        `ends_within_s`.
        """
        for account in self.binding(dest, endpoint):
            if account.budget.kind is Kind.CONCURRENT:
                account.in_flight = max(0, account.in_flight - 1)
                if not answered and account.budget.ends_within_s > 0:
                    account.maybe_running.append(now + account.budget.ends_within_s)

    def record_demand(self, dest: int, endpoint: str, now: float) -> None:
        """A call asks for a slot for the first time."""
        for account in self.binding(dest, endpoint):
            self._decay(account, now)
            account.demand += 1 / DEMAND_WINDOW_S

    @staticmethod
    def _decay(account: _Account, now: float) -> None:
        account.demand *= math.exp((account.demand_at - now) / DEMAND_WINDOW_S)
        account.demand_at = now

    def usage(self, waiting: Mapping[tuple[int, str], int], now: float) -> dict[str, Usage]:
        """The demand on each budget, and what of it may be returned. `waiting`: by destination and endpoint,
        the calls without a slot and the messages that are queued for a call.
        """
        found: dict[str, Usage] = {}
        for account in self.accounts.values():
            account.waiting = 0
        for (dest, hop), count in waiting.items():
            for account in self.binding(dest, hop):
                account.waiting += count
        for name, account in self.accounts.items():
            self._decay(account, now)
            self._refill(account, now)
            if account.budget.kind is Kind.RATE:
                found[name] = Usage(account.demand + account.waiting / DEMAND_WINDOW_S)
            else:
                used = account.used(now) + account.pending
                found[name] = Usage(used + account.waiting, max(0.0, account.share.total - used))
        return found

    def report(self, now: float) -> dict[str, dict[str, float]]:
        """The figures of each budget that the status report adds to those of the member."""
        return {
            name: {
                "used": account.used(now) if account.budget.kind is not Kind.RATE
                else round(account.demand, 2),
                "waiting": account.waiting, "refused": account.refused,
            }
            for name, account in self.accounts.items()
        }  # fmt: skip
