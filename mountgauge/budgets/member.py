"""One member of a fleet that divides budgets: voter and holder in one. No I/O, no clock, no randomness of
its own.

Messages and times come in, messages and what must be on disk before they leave go out. Safety is that of
`grants`, `leases`, `membership` and `shares` together: a part is the own reserve and the slices that are
held, so at each moment the parts of all members that act on one sum to the whole at most, of the largest
whole that any of them works with. What is decided here (whom to ask, how much, what to let go) is about use
and fairness alone: no choice here can harm that.
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

_UNGRANTED_LEASE_SHARE = (
    0.75  # of a lease, after which a slice without a majority is let go: others may want it
)
_MAX_BACKOFF_ASKS = 6  # most asks, drawn, before the next slices are claimed then
_TARGET_TOLERANCE = 0.03  # share of what is held by which a target may be off before parts move
_RETURN_SHARE = 0.5  # share of what is too much that goes in one ask: steps that do not swing


class Share(NamedTuple):
    """What a member may act on at a moment."""

    reserve: float
    leased: float
    until: float  # own clock, s: up to here it does not shrink unless this member gives something back

    @property
    def total(self) -> float:
        return self.reserve + self.leased


class Usage(NamedTuple):
    """What the gate says of a budget."""

    demand: float = 0.0  # in the budget's own unit
    spare: float = float("inf")  # that may be given back now: the rest is in use


_NO_USE = Usage()


class _DemandReport(NamedTuple):
    """What a member said of a budget last."""

    at: float
    wants: float
    weight: float
    total: float


@dataclass(slots=True)
class _State:
    budget: Budget
    grants: Grants
    leases: Leases
    demand_reports: dict[str, _DemandReport] = field(
        default_factory=dict
    )  # by member: the voter's view of demand
    wholes: dict[str, tuple[float, float]] = field(default_factory=dict)  # by voter: when, and what it said
    targets: dict[str, tuple[float, int, tuple[int, int]]] = field(default_factory=dict)  # by voter
    taken: dict[str, int] = field(default_factory=dict)  # by voter
    silent: dict[str, float] = field(default_factory=dict)  # by voter: until when it grants nothing
    reserve_from: float = 0.0  # an earlier run may still have calls out, or have spent it
    wanted: list[tuple[float, int]] = field(default_factory=list)  # when which slices were claimed
    rest: int = 0  # asks in which nothing new is claimed
    use: Usage = _NO_USE
    asked_at: float = float("-inf")
    asked_wants: float = 0.0
    moved: bool = False  # claims have changed since the last ask


def lists_hash(lists: MemberList) -> int:
    """Two files that name an epoch alike must name its members and voters alike."""
    return crc32("\n".join([*lists.at(lists.epoch), "", *lists.voters(lists.epoch)]).encode())


class Member:
    """Takes messages and times, gives messages and what must be on disk before they leave."""

    def __init__(
        self, name: str, run: int, membership: Membership, budgets: Collection[Budget], now: float,
        rng: Random, kept: bool, written: Mapping[str, Sequence[GrantRecord]],
    ) -> None:  # fmt: skip
        """`kept`: what is `written` of earlier runs is surely all of it."""
        self.name, self.run, self.membership, self.rng = name, run, membership, rng
        self.drift = membership.drift
        self._numbers: dict[str, int] = {}  # of the last ask of budgets that the file has no more
        self.states = {one.name: self._state(one, now, kept, written.get(one.name, ())) for one in budgets}
        self.leaving = False
        self.refused: dict[str, str] = {}  # by voter: why it grants nothing
        self.disagree: dict[str, frozenset[float]] = {}  # by budget: wholes of other files

    def _state(self, budget: Budget, now: float, kept: bool, written: Sequence[GrantRecord]) -> _State:
        longest = max([budget.hold_s, *(one.hold for one in written)])
        grants = Grants.restored(budget.slices, self.drift, now, kept, written, longest)
        since = now + timing.held_for(budget.hold_s - budget.lease_s, self.drift)
        # a run's asks go on where they were: an answer to an earlier one must not count for a later one
        leases = Leases(budget.lease_s, self.drift, self._numbers.get(budget.name, 0))
        return _State(budget, grants, leases, reserve_from=since)

    # What may be acted on

    def total(self, state: _State, now: float) -> float:
        """The smallest whole that is known: of the own file, and of what was heard within two leases."""
        most = 2 * state.budget.lease_s
        said = [whole for at, whole in state.wholes.values() if now - at <= most]
        return min([self._file_wholes(state, now), *said])

    def _file_wholes(self, state: _State, now: float) -> float:
        """Of the own file and of those whose members say so themselves: what voters pass on must not be what
        they were passed, or it would never be forgotten.
        """
        most = 2 * state.budget.lease_s
        return min(
            [state.budget.total, *(w.total for w in state.demand_reports.values() if now - w.at <= most)]
        )

    def share(self, name: str, now: float) -> Share:
        """What may be acted on now; ask again after `until`."""
        state = self.states[name]
        budget, members = state.budget, self.membership.counted
        whole, voters = self.total(state, now), self.membership.voters
        kept = 0.0
        if self.membership.may_use_reserve() and now >= state.reserve_from:
            kept = shares.reserve(budget, whole, members)
        leased = shares.mask_value(budget, whole, members, state.leases.held(now, voters))
        return Share(kept, leased, state.leases.shrinks_at(now, voters))

    # Asking

    def tick(self, now: float, uses: Mapping[str, Usage]) -> list[tuple[str, Ask]]:
        """Now and then (every `timing.MIN_ASK_INTERVAL_S` or sooner): whom to ask what."""
        self.membership.step(now)
        lines = []
        for name, state in self.states.items():
            state.use = uses.get(name, Usage())
            if not self.membership.listed or self.leaving:
                self._let_go(state, now, 0)
            elif self.membership.adopted:
                self._move(state, now)
            if self._due(state, now):
                lines.append(self._line(state, now))
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
        wants = self._wants(state, now)
        changed = abs(wants - state.asked_wants) > max(1.0, 0.1 * state.asked_wants)
        return state.moved or changed or bool(state.wanted) or self._runs_out(state, now)

    def _runs_out(self, state: _State, now: float) -> bool:
        """Whether half of a lease has gone without its renewal: answers are lost or late."""
        return state.leases.shrinks_at(now, self.membership.voters) < now + 0.5 * state.budget.lease_s

    def _wants(self, state: _State, now: float) -> float:
        """Slices that the demand could use beyond the reserve."""
        budget, members, whole = state.budget, self.membership.counted, self.total(state, now)
        pool = shares.pool(budget, whole, members)
        useful = self._useful(state, now)
        if pool <= 0 or not useful:
            return 0.0
        return max(0.0, state.use.demand - shares.reserve(budget, whole, members)) / (pool / useful)

    def _useful(self, state: _State, now: float) -> int:
        """Slices that are worth something: the first ones."""
        pool = shares.pool(state.budget, self.total(state, now), self.membership.counted)
        if state.budget.whole_units:
            return min(state.budget.slices, int(pool))
        return state.budget.slices if pool > 0 else 0

    def _line(self, state: _State, now: float) -> AskLine:
        number, claims = state.leases.ask(now)
        state.asked_at, state.asked_wants, state.moved = now, self._wants(state, now), False
        state.rest = max(0, state.rest - 1)
        budget = state.budget
        return AskLine(
            budget.name, number, claims, budget.hold_s, budget.total, state.asked_wants, budget.weight
        )

    def _target(self, state: _State, now: float) -> int | None:
        """What this member should hold, as most voters see it; None: nobody has said."""
        fresh = [target for at, target, _ in state.targets.values() if now - at <= state.budget.lease_s]
        return int(statistics.median_low(fresh)) if fresh else None

    def _turn(self, state: _State, now: float) -> tuple[int, int]:
        """This member's place among those that hold too few: each takes every n-th of the free slices."""
        fresh = [turn for at, _, turn in state.targets.values() if now - at <= state.budget.lease_s]
        return statistics.mode(fresh) if fresh else (0, 1)

    def _move(self, state: _State, now: float) -> None:
        """Claim what is missing, let go of what is too much."""
        voters, useful, leases = self.membership.voters, self._useful(state, now), state.leases
        held, spare = leases.held(now, voters), len(voters) - timing.majority(len(voters))
        open_ = leases.mask & ~held
        blocked = at_least([mask for voter, mask in state.taken.items() if voter in voters], spare + 1)
        late = 0
        for at, mask in state.wanted:
            if now - at > _UNGRANTED_LEASE_SHARE * state.budget.lease_s:
                late |= mask & open_
        if lost := open_ & blocked | late:
            self._drop(state, lost)
        if late & ~blocked:  # granted to nobody as a whole: others may have asked for the same
            state.rest = self.rng.randint(1, _MAX_BACKOFF_ASKS)
        state.wanted = [(at, left) for at, mask in state.wanted if (left := mask & leases.mask & ~held)]
        if not state.targets:  # no voter has answered yet: ask for nothing, but be heard
            return
        target, have = self._target(state, now) or 0, leases.mask.bit_count()
        slack = max(1, int(_TARGET_TOLERANCE * have))
        if have > target + (slack if target else 0):
            self._let_go(state, now, have - max(1, int((have - target) * _RETURN_SHARE + 0.5)))
        elif have < target and not state.rest and (have < target - slack or self._wants(state, now) > have):
            self._claim(state, now, target - have, useful)

    def _claim(self, state: _State, now: float, count: int, useful: int) -> None:
        """Slices that nobody seems to have: in turns, so that those who come at once don't collide."""
        voters = self.membership.voters
        said = [mask for voter, mask in state.taken.items() if voter in voters]
        spare = len(voters) - timing.majority(len(voters))
        blocked, doubtful = at_least(said, spare + 1), at_least(said, 1)
        start = voters.index(self.name) * useful // len(voters) if self.name in voters else 0
        order = [1 << (start + step) % useful for step in range(useful)]
        not_mine = [bit for bit in order if not bit & state.leases.mask]
        free = [bit for bit in not_mine if not bit & doubtful]
        free += [bit for bit in not_mine if bit & doubtful & ~blocked]
        place, of = self._turn(state, now)
        free = sorted(free) if of > 1 else free
        free = free[place % of :: of]
        if mask := sum(free[:count]):
            state.leases.claim(mask)
            state.wanted.append((now, mask))
            state.moved = True

    def _let_go(self, state: _State, now: float, keep: int) -> None:
        """Give back all but so many slices, unproven ones first, as far as they are not in use."""
        voters, members, whole = self.membership.voters, self.membership.counted, self.total(state, now)
        leases, spare = state.leases, state.use.spare
        held = leases.held(now, voters)
        bits = [1 << place for place in range(state.budget.slices - 1, -1, -1) if leases.mask >> place & 1]
        going = 0
        for bit in sorted(bits, key=lambda bit: bit & held != 0)[: max(0, len(bits) - keep)]:
            if bit & held and (worth := shares.mask_value(state.budget, whole, members, bit)) > spare:
                continue
            elif bit & held:
                spare -= worth
            going |= bit
        if going:
            self._drop(state, going)

    def _drop(self, state: _State, mask: int) -> None:
        state.leases.drop(mask)
        state.moved = True

    def goodbye(self, now: float, uses: Mapping[str, Usage]) -> list[tuple[str, Ask]]:
        """This process ends: what is not in use goes back at once, the rest when its lease is over."""
        self.leaving = True
        for name, state in self.states.items():
            state.use = uses.get(name, Usage())
            self._let_go(state, now, 0)
        return self._asks([self._line(state, now) for state in self.states.values()])

    # Answering

    def receive_ask(self, ask: Ask, now: float) -> tuple[Answer, list[tuple[str, GrantRecord]]]:
        """The answer, and what must be on disk before it leaves."""
        membership = self.membership
        self._hear(ask.name, ask.file_epoch, ask.lists, ask.ended, now)
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
            if refused:  # what it holds is left alone: it may act on that to the end of its lease
                continue
            holder = Holder(ask.name, ask.run)
            given = state.grants.ask(holder, line.number, line.claims, line.hold, now)
            if given is None:
                continue
            if given.written is not None:
                written.append((line.budget, given.written))
            lines.append(AnswerLine(
                line.budget, line.number, given.granted, given.taken, self._file_wholes(state, now),
                *self._fair(state, ask.name, now), max(0.0, state.grants.silent_until - now),
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

    def _hear(self, name: str, epoch: int, lists: int, ended: Collection[str], now: float) -> None:
        own = self.membership.lists
        if epoch != own.epoch or lists == lists_hash(own):
            self.membership.hear(name, epoch, now)
            self.membership.hear_ended(ended)

    def _fair(self, state: _State, name: str, now: float) -> tuple[int, tuple[int, int]]:
        """How many slices a member should hold, and its place among those that hold too few."""
        here = {
            one: Demand(word.wants, word.weight)
            for one, word in state.demand_reports.items()
            if now - word.at <= state.budget.lease_s
        }
        if not here:
            return 0, (0, 1)
        due = divide(self._useful(state, now), here)
        has = dict.fromkeys(here, 0)
        for holder, had in state.grants.grants_by_holder.items():
            if holder.name in has and had.until > now:
                has[holder.name] += had.mask.bit_count()
        short = sorted(one for one in here if has[one] + 1 < due[one])
        return due.get(name, 0), (short.index(name) if name in short else 0, max(1, len(short)))

    def receive_answer(self, answer: Answer, now: float) -> None:
        if answer.to != self.name or answer.to_run != self.run:
            return
        self._hear(answer.name, answer.file_epoch, answer.lists, answer.ended, now)
        if answer.refused:
            self.refused[answer.name] = answer.refused
        else:
            self.refused.pop(answer.name, None)
        for line in answer.lines:
            state = self.states.get(line.budget)
            if state is None or line.number > state.leases.number:
                continue
            state.leases.answered(answer.name, line.number, line.granted)
            if line.number == state.leases.number:
                state.taken[answer.name] = line.taken
            state.targets[answer.name] = now, line.target, line.turn
            state.wholes[answer.name] = now, line.whole
            state.silent[answer.name] = now + line.silent_s

    # Files

    def records(self, now: float) -> list[tuple[str, GrantRecord]]:
        """All grants that still bind."""
        return [(name, one) for name, state in self.states.items() for one in state.grants.records(now)]

    def reload(self, lists: MemberList, budgets: Collection[Budget], now: float) -> str:
        """A new file while this runs; why its members are not taken, or empty. Its budgets are taken all the
        same: a new one knows nothing of what was granted of an earlier one of its name.
        """
        refused = self.membership.reload(lists)
        named = {one.name: one for one in budgets}
        for name in list(self.states):
            if name not in named:
                self._numbers[name] = self.states.pop(name).leases.number
        for name, budget in named.items():
            if (state := self.states.get(name)) is None:
                self.states[name] = self._state(budget, now, False, ())
            elif (state.budget.kind, state.budget.slices) == (budget.kind, budget.slices):
                state.budget, state.leases.lease = budget, budget.lease_s
        return refused

    # What others are told

    def report(self, now: float) -> dict[str, Any]:
        membership = self.membership
        found: dict[str, Any] = {
            "epoch": membership.adopted, "file_epoch": membership.lists.epoch, "run": self.run,
            "members": list(membership.lists.at(membership.lists.epoch)), "counted": membership.counted,
            "refused_by": dict(sorted(self.refused.items())), "budgets": {},
        }  # fmt: skip
        for name, state in self.states.items():
            part, voters = self.share(name, now), self.membership.voters
            whole = self.total(state, now)
            held = state.leases.held(now, voters).bit_count()
            by_holder: dict[str, int] = {}
            for holder, had in state.grants.grants_by_holder.items():
                if had.until > now:
                    by_holder[holder.name] = by_holder.get(holder.name, 0) + had.mask.bit_count()
            found["budgets"][name] = {
                "kind": state.budget.kind.value, "whole": whole, "file_whole": state.budget.total,
                "reserve": round(part.reserve, 4), "leased": round(part.leased, 4),
                "part": round(part.total, 4), "slices": held, "of": state.budget.slices,
                "claimed": state.leases.mask.bit_count() - held, "target": self._target(state, now),
                "lasts_s": None if part.until == float("inf") else round(part.until - now, 3),
                "demand": round(state.use.demand, 3), "promised": dict(sorted(by_holder.items())),
                "silent_s": round(max(0.0, state.grants.silent_until - now), 3),
            }  # fmt: skip
        return found
