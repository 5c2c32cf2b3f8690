"""Which calls may go: each budget that binds a call must have a place for it, or none is used. No I/O, no
clock.

A call is let through twice: `start`, before a connection is looked for, so that calls without a place wait
where they are; and `take`, in the last step before its first byte, which is what counts. Between the two its
place is only kept (`kept`), and costs nothing.

Invariant (rate): in any span of `w` s a member begins at most `level(0) + part x w` calls, where its level is
at most `burst_of(part)`; a part that grows brings no calls with it, one that shrinks takes them away
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
from mountgauge.budgets.member import Part, Usage
from mountgauge.budgets.shares import Budget, Kind

DEMAND_S = 2.0  # over which what is asked for is averaged


_NO_PART = Part(0.0, 0.0, -math.inf)


@dataclass(slots=True)
class _Book:
    """One budget's account at this member."""

    budget: Budget
    at: float  # when `level` was right
    share: Part = _NO_PART
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
        self, budgets: Collection[Budget], part: Callable[[str, float], tuple[Part, float, int]], now: float
    ) -> None:
        self._part = part
        self.books = {one.name: _Book(one, now, wanted_at=now) for one in budgets}
        self._index()

    def reload(self, budgets: Collection[Budget], now: float) -> None:
        """A new file: what is out stays counted."""
        old = self.books
        self.books = {}
        for one in budgets:
            book = old.get(one.name)
            if book is None or book.budget.kind is not one.kind:
                book = _Book(one, now, wanted_at=now)
            book.budget = one
            self.books[one.name] = book
        self._index()

    def _index(self) -> None:
        """The books by what they bind: a call must not cost what other destinations' budgets are."""
        self._of_calls: dict[tuple[int | None, str | None], list[_Book]] = {}
        self._of_tenants: dict[str, list[_Book]] = {}
        for book in self.books.values():
            of = book.budget.of
            if of.tenant is None:
                self._of_calls.setdefault((of.dest, of.endpoint), []).append(book)
            else:
                self._of_tenants.setdefault(of.tenant, []).append(book)

    def binding(self, dest: int, endpoint: str) -> list[_Book]:
        """In the order of their names, always the same."""
        found: list[_Book] = []
        for of in ((dest, endpoint), (dest, None), (None, endpoint), (None, None)):
            found += self._of_calls.get(of, ())
        return sorted(found, key=lambda book: book.budget.name)

    def settle(self, now: float) -> None:
        """Bring all accounts up to now, and look at the parts anew: on both sides of what may change them."""
        for book in self.books.values():
            self._fill(book, now)
            self._look(book, now)

    def _look(self, book: _Book, now: float) -> None:
        book.share, book.total, book.members = self._part(book.budget.name, now)
        most = shares.burst_of(book.budget, book.share.total, book.total, book.members)
        book.level = min(book.level, most if book.share.total > 0 else 0.0)

    def _fill(self, book: _Book, now: float) -> None:
        """Bring the level up to now, by the part that held meanwhile; a lease that is over is no part."""
        span = max(0.0, min(now, book.share.until) - book.at)
        book.level += book.share.total * span
        if now >= book.share.until:  # what its lease left; the reserve went on
            book.level += book.share.reserve * max(0.0, now - max(book.at, book.share.until))
        book.at = max(book.at, now)
        if now >= book.share.until:
            self._look(book, now)
        most = shares.burst_of(book.budget, book.share.total, book.total, book.members)
        book.level = min(book.level, most if book.share.total > 0 else 0.0)

    def _free(self, book: _Book, now: float, keep: int) -> float:
        """s until a call may begin beside `keep` others; infinite where only word of others can tell."""
        self._fill(book, now)
        if book.budget.kind is Kind.RATE:
            lacking = 1.0 + keep - book.level
            if lacking <= 1e-9:
                return 0.0
            return lacking / book.share.total if book.share.total > 0 else math.inf
        if book.used(now) + keep < book.share.total:
            return 0.0
        ends = book.running[0] - now if book.running else math.inf
        return max(0.001, ends)

    def start(self, dest: int, endpoint: str, now: float) -> float:
        """0: the call may look for its connection, a place is kept for it. Else s to wait, nothing kept."""
        books = self.binding(dest, endpoint)
        wait = max((self._free(book, now, book.kept) for book in books), default=0.0)
        if wait > 0:
            for book in books:
                book.refused += 1
            return wait
        for book in books:
            book.kept += 1
        return 0.0

    def take(self, dest: int, endpoint: str, now: float) -> bool:
        """In the last step before the first byte of a call that was started: all its budgets, or none."""
        books = self.binding(dest, endpoint)
        if any(self._free(book, now, 0) > 0 for book in books):
            return False
        for book in books:
            book.kept = max(0, book.kept - 1)
            if book.budget.kind is Kind.RATE:
                book.level -= 1.0
            elif book.budget.kind is Kind.ALLOWANCE:
                book.spent.append(now)
            else:
                book.out += 1
        return True

    def until(self, dest: int, endpoint: str, now: float) -> float:
        """Until when a place that was just taken may be used: while the parts hold; the reserve goes on."""
        ends = [book.share.until for book in self.binding(dest, endpoint)]
        return min((end for end in ends if end > now), default=math.inf)

    def admit(self, tenant: str, now: float) -> float:
        """0: a message of the tenant may be taken on, and is counted. Else s after which to come again."""
        books = self._of_tenants.get(tenant, ())
        for book in books:
            self._decay(book, now)
            book.wanted += 1 / DEMAND_S
        wait = max((self._free(book, now, 0) for book in books), default=0.0)
        for book in books:
            if wait > 0:
                book.refused += 1
            elif book.budget.kind is Kind.RATE:
                book.level -= 1.0
            else:
                book.spent.append(now)
        return wait

    def give_back(self, tenant: str) -> None:
        """What was admitted was not taken on."""
        for book in self._of_tenants.get(tenant, ()):
            if book.budget.kind is Kind.RATE:
                book.level += 1.0
            elif book.spent:
                book.spent.pop()

    def leave(self, dest: int, endpoint: str) -> None:
        """A started call was not sent."""
        for book in self.binding(dest, endpoint):
            book.kept = max(0, book.kept - 1)

    def ended(self, dest: int, endpoint: str, now: float, answered: bool) -> None:
        """A call that was taken is over; one without an answer may run at the partner for `ends_within_s`."""
        for book in self.binding(dest, endpoint):
            if book.budget.kind is Kind.CONCURRENT:
                book.out = max(0, book.out - 1)
                if not answered and book.budget.ends_within_s > 0:
                    book.running.append(now + book.budget.ends_within_s)

    def offered(self, dest: int, endpoint: str, now: float) -> None:
        """A call asks for a place, for the first time."""
        for book in self.binding(dest, endpoint):
            self._decay(book, now)
            book.wanted += 1 / DEMAND_S

    @staticmethod
    def _decay(book: _Book, now: float) -> None:
        book.wanted *= math.exp((book.wanted_at - now) / DEMAND_S)
        book.wanted_at = now

    def uses(self, waiting: Mapping[tuple[int, str], int], now: float) -> dict[str, Usage]:
        """What each budget could use, and what may be given back. `waiting`: by destination and endpoint the
        calls without a place, and messages that are held before there is a call.
        """
        found: dict[str, Usage] = {}
        for book in self.books.values():
            book.waiting = 0
        for (dest, hop), count in waiting.items():
            for book in self.binding(dest, hop):
                book.waiting += count
        for name, book in self.books.items():
            self._decay(book, now)
            self._fill(book, now)
            if book.budget.kind is Kind.RATE:
                found[name] = Usage(book.wanted + book.waiting / DEMAND_S)
            else:
                used = book.used(now) + book.kept
                found[name] = Usage(used + book.waiting, max(0.0, book.share.total - used))
        return found

    def report(self, now: float) -> dict[str, dict[str, float]]:
        return {
            name: {
                "used": book.used(now) if book.budget.kind is not Kind.RATE else round(book.wanted, 2),
                "waiting": book.waiting, "refused": book.refused,
            }
            for name, book in self.books.items()
        }  # fmt: skip
