"""One member of a fleet that divides budgets: both a voter and a holder. No I/O, no clock, no randomness of
its own.

Messages and times come in; messages, and the records that must be on disk before they are sent, go out.
Safety is that of `grants`, `leases`, `membership` and `shares` together: a share is the member's reserve and
the slices that it holds, so at each moment the shares of all members sum to at most the total, taking the
largest total that any of them works with. The decisions made here (whom to ask, for how much, what to return)
affect only utilisation and fairness: none of them can harm safety.
"""

from __future__ import annotations

import statistics
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple
from zlib import crc32

from mountgauge.budgets import shares, timing
from mountgauge.budgets.fair_shares import Demand, divide
from mountgauge.budgets.grants import GrantRecord, Grants, Holder
from mountgauge.budgets.leases import Leases, at_least
from mountgauge.budgets.membership import MemberList, Membership
from mountgauge.budgets.messages import Answer, AnswerLine, Ask, AskLine
from mountgauge.budgets.shares import Budget

# Share of a lease after which a slice without a majority is dropped, since other members may want it.
_UNGRANTED_LEASE_SHARE = 0.75
_MAX_BACKOFF_ASKS = 6  # upper bound of the random number of asks before new slices are claimed after that
_TARGET_TOLERANCE = 0.03  # share of the held slices by which the target may differ before slices move
_RETURN_SHARE = 0.5  # share of the excess slices that one ask returns, so that shares do not oscillate


class Share(NamedTuple):
    """What a member may use of a budget at a moment."""

    reserve: float
    leased: float
    until: float  # s, own clock: until then it does not shrink unless this member returns slices

    @property
    def total(self) -> float:
        return self.reserve + self.leased


class Usage(NamedTuple):
    """What the gate reports of a budget."""

    demand: float = 0.0  # in the budget's own unit
    spare: float = float("inf")  # what may be returned now; the remainder is in use


_NO_USE = Usage()


class _DemandReport(NamedTuple):
    """What a member reported of a budget in its latest ask."""

    at: float
    demand: float  # slices
    weight: float
    total: float


@dataclass(slots=True)
class _State:
    """The state of one budget. Entries by voter are from its latest answer."""

    budget: Budget
    grants: Grants
    leases: Leases
    demand_reports: dict[str, _DemandReport] = field(default_factory=dict)  # by member, for the voter's side
    reported_totals: dict[str, tuple[float, float]] = field(default_factory=dict)  # by voter: when, total
    # by voter: when, how many slices this member should hold, and its turn
    targets: dict[str, tuple[float, int, tuple[int, int]]] = field(default_factory=dict)
    taken: dict[str, int] = field(default_factory=dict)  # by voter: mask granted to others
    silent: dict[str, float] = field(default_factory=dict)  # by voter: until when it grants nothing
    reserve_from: float = 0.0  # until then calls of a previous run may run, or count against it
    recent_claims: list[tuple[float, int]] = field(default_factory=list)  # when, and mask of slices claimed
    backoff_asks: int = 0  # asks left that claim nothing new
    usage: Usage = _NO_USE
    asked_at: float = float("-inf")
    asked_demand: float = 0.0
    claims_changed: bool = False  # claims have changed since the last ask


def lists_hash(lists: MemberList) -> int:
    """Hash of the members and voters of a file's epoch: two files of the same epoch must agree on it."""
    return crc32("\n".join([*lists.at(lists.epoch), "", *lists.voters(lists.epoch)]).encode())


class Member:
    """Applies messages and times; returns messages, and the records that must be on disk before these are
    sent.
    """

    def __init__(
        self, name: str, run: int, membership: Membership, budgets: Collection[Budget], now: float,
        rng: Random, kept: bool, written: Mapping[str, Sequence[GrantRecord]],
    ) -> None:  # fmt: skip
        """`kept`: `written` is certain to have all grants of previous runs that may still bind."""
        self.name, self.run, self.membership, self.rng = name, run, membership, rng
        self.drift = membership.drift
        self._numbers: dict[str, int] = {}  # of the last ask, for budgets that were removed from the file
        self.states = {one.name: self._state(one, now, kept, written.get(one.name, ())) for one in budgets}
        self.leaving = False
        self.refusals: dict[str, str] = {}  # by voter: why it grants nothing to this member
        self.disagree: dict[str, frozenset[float]] = {}  # by budget: totals of other files

    def _state(self, budget: Budget, now: float, kept: bool, written: Sequence[GrantRecord]) -> _State:
        longest = max([budget.hold_s, *(one.hold for one in written)])
        grants = Grants.restored(budget.slices, self.drift, now, kept, written, longest)
        since = now + timing.held_for(budget.hold_s - budget.lease_s, self.drift)
        # The numbers of a run's asks continue: an answer to an earlier ask must not count for a later one.
        leases = Leases(budget.lease_s, self.drift, self._numbers.get(budget.name, 0))
        return _State(budget, grants, leases, reserve_from=since)

    # What may be used

    def total(self, state: _State, now: float) -> float:
        """The smallest known total: of this member's file, and of messages from the last two leases."""
        max_age = 2 * state.budget.lease_s
        reported = [total for at, total in state.reported_totals.values() if now - at <= max_age]
        return min([self._smallest_reported_total(state, now), *reported])

    def _smallest_reported_total(self, state: _State, now: float) -> float:
        """The smallest total of this member's file and of the files of members that asked. It excludes what
        voters report: if voters passed on each other's values, an old total would never be forgotten.
        """
        max_age = 2 * state.budget.lease_s
        return min(
            [
                state.budget.total,
                *(one.total for one in state.demand_reports.values() if now - one.at <= max_age),
            ]
        )

    def share(self, name: str, now: float) -> Share:
        """What may be used now; valid until `until`."""
        state = self.states[name]
        budget, members = state.budget, self.membership.reserve_divisor
        total, voters = self.total(state, now), self.membership.voters
        reserve = 0.0
        if self.membership.may_use_reserve() and now >= state.reserve_from:
            reserve = shares.reserve(budget, total, members)
        leased = shares.mask_value(budget, total, members, state.leases.held(now, voters))
        return Share(reserve, leased, state.leases.shrinks_at(now, voters))

    # Asking

    def tick(self, now: float, usage: Mapping[str, Usage]) -> list[tuple[str, Ask]]:
        """The asks that are due, by voter; to be called every `timing.MIN_ASK_INTERVAL_S` or more often."""
        self.membership.step(now)
        lines = []
        for name, state in self.states.items():
            state.usage = usage.get(name, Usage())
            if not self.membership.listed or self.leaving:
                self._return_slices(state, now, 0)
            elif self.membership.adopted:
                self._adjust_claims(state, now)
            if self._due(state, now):
                lines.append(self._ask_line(state, now))
        return self._asks(lines) if lines else []

    def _asks(self, lines: Sequence[AskLine]) -> list[tuple[str, Ask]]:
        membership = self.membership
        ended = set(membership.ended)
        if not membership.listed and not any(state.leases.mask for state in self.states.values()):
            ended.add(self.name)
        ask = Ask(
            self.name, self.run, membership.adopted, membership.lists.epoch, lists_hash(membership.lists),
            tuple(lines), tuple(sorted(ended)), self.leaving,
        )  # fmt: skip
        return [(voter, ask) for voter in membership.places()]

    def _due(self, state: _State, now: float) -> bool:
        since = now - state.asked_at
        if since >= timing.renew_every(state.budget.lease_s) - 1e-9:
            return True
        if since < timing.MIN_ASK_INTERVAL_S - 1e-9:
            return False
        demand = self._demanded_slices(state, now)
        changed = abs(demand - state.asked_demand) > max(1.0, 0.1 * state.asked_demand)
        return state.claims_changed or changed or bool(state.recent_claims) or self._expires_soon(state, now)

    def _expires_soon(self, state: _State, now: float) -> bool:
        """Whether half of a lease has passed without a renewal: answers are lost or late."""
        return state.leases.shrinks_at(now, self.membership.voters) < now + 0.5 * state.budget.lease_s

    def _demanded_slices(self, state: _State, now: float) -> float:
        """How many slices the demand could use beyond the reserve."""
        budget, members, total = state.budget, self.membership.reserve_divisor, self.total(state, now)
        pool = shares.pool(budget, total, members)
        useful = self._useful_slices(state, now)
        if pool <= 0 or not useful:
            return 0.0
        return max(0.0, state.usage.demand - shares.reserve(budget, total, members)) / (pool / useful)

    def _useful_slices(self, state: _State, now: float) -> int:
        """How many slices have a value; these are the first ones."""
        pool = shares.pool(state.budget, self.total(state, now), self.membership.reserve_divisor)
        if state.budget.whole_units:
            return min(state.budget.slices, int(pool))
        return state.budget.slices if pool > 0 else 0

    def _ask_line(self, state: _State, now: float) -> AskLine:
        number, claims = state.leases.ask(now)
        state.asked_at, state.asked_demand, state.claims_changed = (
            now,
            self._demanded_slices(state, now),
            False,
        )
        state.backoff_asks = max(0, state.backoff_asks - 1)
        budget = state.budget
        return AskLine(
            budget.name, number, claims, budget.hold_s, budget.total, state.asked_demand, budget.weight
        )

    def _target(self, state: _State, now: float) -> int | None:
        """The median of the voters' targets for this member; None where there is no recent one."""
        recent = [target for at, target, _ in state.targets.values() if now - at <= state.budget.lease_s]
        return int(statistics.median_low(recent)) if recent else None

    def _turn(self, state: _State, now: float) -> tuple[int, int]:
        """This member's index among the members below their target, and their number n: each claims every
        n-th free slice.
        """
        recent = [turn for at, _, turn in state.targets.values() if now - at <= state.budget.lease_s]
        return statistics.mode(recent) if recent else (0, 1)

    def _adjust_claims(self, state: _State, now: float) -> None:
        """Claim slices that are missing, return those above the target."""
        voters, useful, leases = self.membership.voters, self._useful_slices(state, now), state.leases
        held, spare = leases.held(now, voters), len(voters) - timing.majority(len(voters))
        ungranted = leases.mask & ~held
        blocked = at_least([mask for voter, mask in state.taken.items() if voter in voters], spare + 1)
        late = 0
        for at, mask in state.recent_claims:
            if now - at > _UNGRANTED_LEASE_SHARE * state.budget.lease_s:
                late |= mask & ungranted
        if lost := ungranted & blocked | late:
            self._drop(state, lost)
        if late & ~blocked:  # no majority for anyone: others may have claimed the same
            state.backoff_asks = self.rng.randint(1, _MAX_BACKOFF_ASKS)
        state.recent_claims = [
            (at, pending) for at, mask in state.recent_claims if (pending := mask & leases.mask & ~held)
        ]
        if not state.targets:  # no voter has answered yet: claim nothing, but report the demand
            return
        target, have = self._target(state, now) or 0, leases.mask.bit_count()
        tolerance = max(1, int(_TARGET_TOLERANCE * have))
        if have > target + (tolerance if target else 0):
            self._return_slices(state, now, have - max(1, int((have - target) * _RETURN_SHARE + 0.5)))
        elif (
            have < target
            and not state.backoff_asks
            and (have < target - tolerance or self._demanded_slices(state, now) > have)
        ):
            self._claim(state, now, target - have, useful)

    def _claim(self, state: _State, now: float, count: int, useful: int) -> None:
        """Claim slices that nobody seems to have; members that claim at the same time take turns, so that
        they don't collide.
        """
        voters = self.membership.voters
        taken = [mask for voter, mask in state.taken.items() if voter in voters]
        spare = len(voters) - timing.majority(len(voters))
        blocked, doubtful = at_least(taken, spare + 1), at_least(taken, 1)
        start = voters.index(self.name) * useful // len(voters) if self.name in voters else 0
        order = [1 << (start + step) % useful for step in range(useful)]
        not_mine = [bit for bit in order if not bit & state.leases.mask]
        free = [bit for bit in not_mine if not bit & doubtful]
        free += [bit for bit in not_mine if bit & doubtful & ~blocked]
        turn, turns = self._turn(state, now)
        free = sorted(free) if turns > 1 else free
        free = free[turn % turns :: turns]
        if mask := sum(free[:count]):
            state.leases.claim(mask)
            state.recent_claims.append((now, mask))
            state.claims_changed = True

    def _return_slices(self, state: _State, now: float, keep: int) -> None:
        """Return all but `keep` slices, as far as they are not in use; those without a majority first."""
        voters, members, total = (
            self.membership.voters,
            self.membership.reserve_divisor,
            self.total(state, now),
        )
        leases, spare = state.leases, state.usage.spare
        held = leases.held(now, voters)
        bits = [1 << index for index in range(state.budget.slices - 1, -1, -1) if leases.mask >> index & 1]
        returned = 0
        for bit in sorted(bits, key=lambda bit: bit & held != 0)[: max(0, len(bits) - keep)]:
            if bit & held and (value := shares.mask_value(state.budget, total, members, bit)) > spare:
                continue
            elif bit & held:
                spare -= value
            returned |= bit
        if returned:
            self._drop(state, returned)

    def _drop(self, state: _State, mask: int) -> None:
        state.leases.drop(mask)
        state.claims_changed = True

    def goodbye(self, now: float, usage: Mapping[str, Usage]) -> list[tuple[str, Ask]]:
        """The last asks before this process stops: slices that are not in use are returned at once, the
        others when their leases expire.
        """
        self.leaving = True
        for name, state in self.states.items():
            state.usage = usage.get(name, Usage())
            self._return_slices(state, now, 0)
        return self._asks([self._ask_line(state, now) for state in self.states.values()])

    # Answering

    def receive_ask(self, ask: Ask, now: float) -> tuple[Answer, list[tuple[str, GrantRecord]]]:
        """The answer, and the records that must be on disk before it is sent."""
        membership = self.membership
        self._observe(ask.name, ask.file_epoch, ask.lists, ask.ended, now)
        refused = self._refusal(ask)
        lines, written = [], []
        for line in ask.lines:
            state = self.states.get(line.budget)
            if state is None:
                continue
            if ask.leaving:
                state.demand_reports.pop(ask.name, None)
            else:
                state.demand_reports[ask.name] = _DemandReport(now, line.wants, line.weight, line.whole)
            if refused:  # its grants stay: it may use them until their lease expires
                continue
            holder = Holder(ask.name, ask.run)
            reply = state.grants.ask(holder, line.number, line.claims, line.hold, now)
            if reply is None:
                continue
            if reply.written is not None:
                written.append((line.budget, reply.written))
            lines.append(AnswerLine(
                line.budget, line.number, reply.granted, reply.taken,
                self._smallest_reported_total(state, now), *self._fair_target(state, ask.name, now),
                max(0.0, state.grants.silent_until - now),
            ))  # fmt: skip
        answer = Answer(
            self.name, ask.name, ask.run, membership.lists.epoch, lists_hash(membership.lists),
            tuple(lines), tuple(sorted(membership.ended)), refused,
        )  # fmt: skip
        return answer, written

    def _refusal(self, ask: Ask) -> str:
        lists = self.membership.lists
        if ask.epoch < lists.epoch - 1:
            return "behind"
        if ask.file_epoch == lists.epoch and ask.lists != lists_hash(lists):
            return "lists-differ"
        if ask.file_epoch <= lists.epoch and ask.name not in lists.at(lists.epoch):
            return "not-listed"
        return ""

    def _observe(self, name: str, epoch: int, lists: int, ended: Collection[str], now: float) -> None:
        own = self.membership.lists
        if epoch != own.epoch or lists == lists_hash(own):
            self.membership.observe_epoch(name, epoch, now)
            self.membership.observe_ended(ended)

    def _fair_target(self, state: _State, name: str, now: float) -> tuple[int, tuple[int, int]]:
        """How many slices a member should hold, and its turn: its index among the members below their target,
        and their number.
        """
        demands = {
            one: Demand(report.demand, report.weight)
            for one, report in state.demand_reports.items()
            if now - report.at <= state.budget.lease_s
        }
        if not demands:
            return 0, (0, 1)
        targets = divide(self._useful_slices(state, now), demands)
        granted = dict.fromkeys(demands, 0)
        for holder, grant in state.grants.grants_by_holder.items():
            if holder.name in granted and grant.until > now:
                granted[holder.name] += grant.mask.bit_count()
        below = sorted(one for one in demands if granted[one] + 1 < targets[one])
        return targets.get(name, 0), (below.index(name) if name in below else 0, max(1, len(below)))

    def receive_answer(self, answer: Answer, now: float) -> None:
        """Apply a voter's answer, unless it is for another member or another run."""
        if answer.to != self.name or answer.to_run != self.run:
            return
        self._observe(answer.name, answer.file_epoch, answer.lists, answer.ended, now)
        if answer.refused:
            self.refusals[answer.name] = answer.refused
        else:
            self.refusals.pop(answer.name, None)
        for line in answer.lines:
            state = self.states.get(line.budget)
            if state is None or line.number > state.leases.number:
                continue
            state.leases.answered(answer.name, line.number, line.granted)
            if line.number == state.leases.number:
                state.taken[answer.name] = line.taken
            state.targets[answer.name] = now, line.target, line.turn
            state.reported_totals[answer.name] = now, line.whole
            state.silent[answer.name] = now + line.silent_s

    # Files

    def records(self, now: float) -> list[tuple[str, GrantRecord]]:
        """All grants that still bind, by budget."""
        return [(name, grant) for name, state in self.states.items() for grant in state.grants.records(now)]

    def reload(self, lists: MemberList, budgets: Collection[Budget], now: float) -> str:
        """Apply a new file; returns why its members are refused, or empty. Its budgets are applied in any
        case. A new budget starts silent, since the grants of an earlier one of its name are not known.
        """
        refused = self.membership.reload(lists)
        by_name = {one.name: one for one in budgets}
        for name in list(self.states):
            if name not in by_name:
                self._numbers[name] = self.states.pop(name).leases.number
        for name, budget in by_name.items():
            if (state := self.states.get(name)) is None:
                self.states[name] = self._state(budget, now, False, ())
            elif (state.budget.kind, state.budget.slices) == (budget.kind, budget.slices):
                state.budget, state.leases.lease = budget, budget.lease_s
        return refused

    # Status

    def report(self, now: float) -> dict[str, Any]:
        """The status report of the member and its budgets."""
        membership = self.membership
        found: dict[str, Any] = {
            "epoch": membership.adopted, "file_epoch": membership.lists.epoch, "run": self.run,
            "members": list(membership.lists.at(membership.lists.epoch)),
            "counted": membership.reserve_divisor,
            "refused_by": dict(sorted(self.refusals.items())), "budgets": {},
        }  # fmt: skip
        for name, state in self.states.items():
            share, voters = self.share(name, now), self.membership.voters
            total = self.total(state, now)
            held = state.leases.held(now, voters).bit_count()
            by_holder: dict[str, int] = {}
            for holder, grant in state.grants.grants_by_holder.items():
                if grant.until > now:
                    by_holder[holder.name] = by_holder.get(holder.name, 0) + grant.mask.bit_count()
            found["budgets"][name] = {
                "kind": state.budget.kind.value, "whole": total, "file_whole": state.budget.total,
                "reserve": round(share.reserve, 4), "leased": round(share.leased, 4),
                "part": round(share.total, 4), "slices": held, "of": state.budget.slices,
                "claimed": state.leases.mask.bit_count() - held, "target": self._target(state, now),
                "lasts_s": None if share.until == float("inf") else round(share.until - now, 3),
                "demand": round(state.usage.demand, 3), "promised": dict(sorted(by_holder.items())),
                "silent_s": round(max(0.0, state.grants.silent_until - now), 3),
            }  # fmt: skip
        return found
