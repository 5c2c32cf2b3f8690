"""Which calls may go: each budget that binds a call must have a place for it, or none is used. No I/O, no
clock.

A call is let through twice: `start`, before a connection is looked for, so that calls without a place wait
where they are; and `take`, in the last step before its first byte, which is what counts. Between the two its
place is only kept (`kept`), and costs nothing.

Invariant (rate): in any span of `w` s a member begins at most `level(0) + part x w` calls, where its level is
at most `member_burst(part)`; a part that grows brings no calls with it, one that shrinks takes them away
(`settle` is called on both sides of whatever may change a part). So the fleet's calls in any span are at most
`whole x w + burst`. (concurrent): at each `take` the calls that are out, with those that may still run at the
partner, are fewer than the part. (allowance): at each `take` those of the last `period_s` are.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from mountgauge.budgets import shares
from mountgauge.budgets.member import Share, Usage
from mountgauge.budgets.shares import Budget, Kind

DEMAND_WINDOW_S = 2.0  # over which what is asked for is averaged


_NO_PART = Share(0.0, 0.0, -math.inf)


@dataclass(slots=True)
class _Account:
    """One budget's account at this member."""

    budget: Budget
    at: float  # when `level` was right
    share: Share = _NO_PART
    total: float = 0.0
    members: int = 1
    level: float = 0.0  # calls that may begin now; a new process has none
    out: int = 0  # calls that are out
    running: deque[float] = field(default_factory=deque)  # until when given-up ones may still run
    spent: deque[float] = field(default_factory=deque)  # when the calls of the last period began
    kept: int = 0  # started, not taken
    wanted: float = 0.0  # calls a second that ask for a place, smoothed
    wanted_at: float = 0.0
    waiting: int = 0  # calls that wait for a place
    refused: int = 0  # times that a call had to wait

    def used(self, now: float) -> int:
        """Places of a concurrent budget, or calls of an allowance, that are gone."""
        if self.budget.kind is Kind.ALLOWANCE:
            while self.spent and self.spent[0] <= now - self.budget.period_s:
                self.spent.popleft()
            return len(self.spent)
        while self.running and self.running[0] <= now:
            self.running.popleft()
        return self.out + len(self.running)


class Gate:
    """`part` tells what may be acted on of a budget, its whole, and by how many members that is counted."""

    def __init__(
        self, budgets: Collection[Budget], part: Callable[[str, float], tuple[Share, float, int]], now: float
    ) -> None:
        self._part = part
        self.accounts = {one.name: _Account(one, now, wanted_at=now) for one in budgets}
        self._index()

    def reload(self, budgets: Collection[Budget], now: float) -> None:
        """A new file: what is out stays counted."""
        old = self.accounts
        self.accounts = {}
        for one in budgets:
            account = old.get(one.name)
            if account is None or account.budget.kind is not one.kind:
                account = _Account(one, now, wanted_at=now)
            account.budget = one
            self.accounts[one.name] = account
        self._index()

    def _index(self) -> None:
        """The accounts by what they bind: a call must not cost what other destinations' budgets are."""
        self._of_calls: dict[tuple[int | None, str | None], list[_Account]] = {}
        self._of_tenants: dict[str, list[_Account]] = {}
        for account in self.accounts.values():
            of = account.budget.scope
            if of.tenant is None:
                self._of_calls.setdefault((of.dest, of.endpoint), []).append(account)
            else:
                self._of_tenants.setdefault(of.tenant, []).append(account)

    def binding(self, dest: int, endpoint: str) -> list[_Account]:
        """In the order of their names, always the same."""
        found: list[_Account] = []
        for of in ((dest, endpoint), (dest, None), (None, endpoint), (None, None)):
            found += self._of_calls.get(of, ())
        return sorted(found, key=lambda account: account.budget.name)

    def settle(self, now: float) -> None:
        """Bring all accounts up to now, and look at the parts anew: on both sides of what may change them."""
        for account in self.accounts.values():
            self._fill(account, now)
            self._look(account, now)

    def _look(self, account: _Account, now: float) -> None:
        account.share, account.total, account.members = self._part(account.budget.name, now)
        most = shares.member_burst(account.budget, account.share.total, account.total, account.members)
        account.level = min(account.level, most if account.share.total > 0 else 0.0)

    def _fill(self, account: _Account, now: float) -> None:
        """Bring the level up to now, by the part that held meanwhile; a lease that is over is no part."""
        span = max(0.0, min(now, account.share.until) - account.at)
        account.level += account.share.total * span
        if now >= account.share.until:  # what its lease left; the reserve went on
            account.level += account.share.reserve * max(0.0, now - max(account.at, account.share.until))
        account.at = max(account.at, now)
        if now >= account.share.until:
            self._look(account, now)
        most = shares.member_burst(account.budget, account.share.total, account.total, account.members)
        account.level = min(account.level, most if account.share.total > 0 else 0.0)

    def _free(self, account: _Account, now: float, keep: int) -> float:
        """s until a call may begin beside `keep` others; infinite where only word of others can tell."""
        self._fill(account, now)
        if account.budget.kind is Kind.RATE:
            lacking = 1.0 + keep - account.level
            if lacking <= 1e-9:
                return 0.0
            return lacking / account.share.total if account.share.total > 0 else math.inf
        if account.used(now) + keep < account.share.total:
            return 0.0
        ends = account.running[0] - now if account.running else math.inf
        return max(0.001, ends)

    def start(self, dest: int, endpoint: str, now: float) -> float:
        """0: the call may look for its connection, a place is kept for it. Else s to wait, nothing kept."""
        accounts = self.binding(dest, endpoint)
        wait = max((self._free(account, now, account.kept) for account in accounts), default=0.0)
        if wait > 0:
            for account in accounts:
                account.refused += 1
            return wait
        for account in accounts:
            account.kept += 1
        return 0.0

    def take(self, dest: int, endpoint: str, now: float) -> bool:
        """In the last step before the first byte of a call that was started: all its budgets, or none."""
        accounts = self.binding(dest, endpoint)
        if any(self._free(account, now, 0) > 0 for account in accounts):
            return False
        for account in accounts:
            account.kept = max(0, account.kept - 1)
            if account.budget.kind is Kind.RATE:
                account.level -= 1.0
            elif account.budget.kind is Kind.ALLOWANCE:
                account.spent.append(now)
            else:
                account.out += 1
        return True

    def until(self, dest: int, endpoint: str, now: float) -> float:
        """Until when a place that was just taken may be used: while the parts hold; the reserve goes on."""
        ends = [account.share.until for account in self.binding(dest, endpoint)]
        return min((end for end in ends if end > now), default=math.inf)

    def admit(self, tenant: str, now: float) -> float:
        """0: a message of the tenant may be taken on, and is counted. Else s after which to come again."""
        accounts = self._of_tenants.get(tenant, ())
        for account in accounts:
            self._decay(account, now)
            account.wanted += 1 / DEMAND_WINDOW_S
        wait = max((self._free(account, now, 0) for account in accounts), default=0.0)
        for account in accounts:
            if wait > 0:
                account.refused += 1
            elif account.budget.kind is Kind.RATE:
                account.level -= 1.0
            else:
                account.spent.append(now)
        return wait

    def give_back(self, tenant: str) -> None:
        """What was admitted was not taken on."""
        for account in self._of_tenants.get(tenant, ()):
            if account.budget.kind is Kind.RATE:
                account.level += 1.0
            elif account.spent:
                account.spent.pop()

    def leave(self, dest: int, endpoint: str) -> None:
        """A started call was not sent."""
        for account in self.binding(dest, endpoint):
            account.kept = max(0, account.kept - 1)

    def ended(self, dest: int, endpoint: str, now: float, answered: bool) -> None:
        """A call that was taken is over; one without an answer may run at the partner for `ends_within_s`."""
        for account in self.binding(dest, endpoint):
            if account.budget.kind is Kind.CONCURRENT:
                account.out = max(0, account.out - 1)
                if not answered and account.budget.ends_within_s > 0:
                    account.running.append(now + account.budget.ends_within_s)

    def offered(self, dest: int, endpoint: str, now: float) -> None:
        """A call asks for a place, for the first time."""
        for account in self.binding(dest, endpoint):
            self._decay(account, now)
            account.wanted += 1 / DEMAND_WINDOW_S

    @staticmethod
    def _decay(account: _Account, now: float) -> None:
        account.wanted *= math.exp((account.wanted_at - now) / DEMAND_WINDOW_S)
        account.wanted_at = now

    def uses(self, waiting: Mapping[tuple[int, str], int], now: float) -> dict[str, Usage]:
        """What each budget could use, and what may be given back. `waiting`: by destination and endpoint the
        calls without a place, and messages that are held before there is a call.
        """
        found: dict[str, Usage] = {}
        for account in self.accounts.values():
            account.waiting = 0
        for (dest, hop), count in waiting.items():
            for account in self.binding(dest, hop):
                account.waiting += count
        for name, account in self.accounts.items():
            self._decay(account, now)
            self._fill(account, now)
            if account.budget.kind is Kind.RATE:
                found[name] = Usage(account.wanted + account.waiting / DEMAND_WINDOW_S)
            else:
                used = account.used(now) + account.kept
                found[name] = Usage(used + account.waiting, max(0.0, account.share.total - used))
        return found

    def report(self, now: float) -> dict[str, dict[str, float]]:
        return {
            name: {
                "used": account.used(now) if account.budget.kind is not Kind.RATE
                else round(account.wanted, 2),
                "waiting": account.waiting, "refused": account.refused,
            }
            for name, account in self.accounts.items()
        }  # fmt: skip
