"""Costs with a bound: the size at which each bound is reached, relative to the full size. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from mountgauge.lab.scale.figures import Term, Unit
from mountgauge.lab.scale.fit import Fit
from mountgauge.lab.scale.kept_results import KeptResults, Slopes
from mountgauge.lab.scale.size import FleetSize
from mountgauge.platform import list_exchange
from mountgauge.recovery import bounds as recovery_bounds

FACTS_PER_S = 1.0  # writes of the facts to restore after a restart (`run.recovery`)
CHECKS_PER_S = 1 / recovery_bounds.CHECK_INTERVAL_S
BUDGET_TICKS_PER_S = 20.0  # queries of the core for waiting messages (`budgets.service.TICK_S`)
ONE_CORE = 1.0
LONGEST_PAUSE_S = recovery_bounds.pause_threshold(0.25)  # a longer pause of the loop outdates its state
MOST_LIST_BYTES = float(list_exchange.MOST_LIST_BYTES)  # in one answer of discovery
EXPORT_EVERY_S = 10.0  # default of `[otlp]`
MAX_SEARCHED_SIZE = 1e15


@dataclass(frozen=True, slots=True)
class Limit:
    """A cost that grows along an axis, and its bound."""

    label: str
    axis: str
    terms: tuple[Term, ...]
    bound: float
    unit: Unit
    size: float  # required size
    size_with_shards: float | None  # required if each sender has only its shards; None: the same
    mechanism: str


@dataclass(frozen=True, slots=True)
class BreakPoint:
    """The size at which a limit is reached. Factors are the required size over it; above 1 it is missed."""

    limit: Limit
    size: float | None  # None: not reached, or not known
    factor: float | None
    before: float | None  # the factor with the previous slopes
    with_shards: float | None
    measured: bool  # the size is within the measured range
    has_laws: bool  # there is a law for each of its terms


def breaks_at(slopes: Slopes | None, terms: Sequence[Term], bound: float) -> float | None:
    """The largest size whose cost is within the bound.

    None if a law is missing, or if no size up to `MAX_SEARCHED_SIZE` exceeds the bound.
    """
    laws = [(slopes.law(term.probe) if slopes is not None else None, term.times) for term in terms]
    known = [(law, times) for law, times in laws if law is not None]
    if len(known) < len(terms):
        return None
    if _cost(known, MAX_SEARCHED_SIZE) <= bound:
        return None
    low, high = 0.0, math.log(MAX_SEARCHED_SIZE)
    for _ in range(100):
        middle = (low + high) / 2
        low, high = (middle, high) if _cost(known, math.exp(middle)) <= bound else (low, middle)
    return math.exp(low)


def _cost(laws: Sequence[tuple[Fit, float]], size: float) -> float:
    return sum(times * law.value(size) for law, times in laws)


def break_point(kept: KeptResults, limit: Limit) -> BreakPoint:
    """Where a limit is reached, with the current and with the previous slopes."""
    size = breaks_at(kept.slopes, limit.terms, limit.bound)
    before = breaks_at(kept.before, limit.terms, limit.bound)
    laws = [kept.slopes.law(term.probe) for term in limit.terms] if kept.slopes is not None else []
    return BreakPoint(
        limit,
        size,
        limit.size / size if size else None,
        limit.size / before if before else None,
        limit.size_with_shards / size if size and limit.size_with_shards is not None else None,
        size is not None and all(law is not None and size <= law.largest for law in laws),
        bool(laws) and all(law is not None for law in laws),
    )


def limits(size: FleetSize) -> tuple[Limit, ...]:
    """All costs that have a bound."""
    own_destinations, events_per_s = size.destinations_per_sender, size.events_per_sender_s
    memory, core = size.memory_mb * 1e6, size.core_share
    one_change = (
        Term("policy-one-change", size.changes_per_s),
        Term("sender-one-change", size.changes_per_s),
    )
    full_list = (Term("discovery-parse"), Term("sender-whole-list"), Term("policy-whole-list"))
    recovery_checks = (Term("recovery-look", CHECKS_PER_S), Term("recovery-facts", FACTS_PER_S))
    backlog, bytes_per_s = size.backlog_per_sender, size.kb_per_s * 1e3

    def of_destinations(
        label: str, terms: tuple[Term, ...], bound: float, unit: Unit, mechanism: str
    ) -> Limit:
        return Limit(
            label, "destinations", terms, bound, unit, float(size.destinations), own_destinations, mechanism
        )

    def of_messages(label: str, terms: tuple[Term, ...], bound: float, unit: Unit, mechanism: str) -> Limit:
        return Limit(label, "messages held", terms, bound, unit, backlog, None, mechanism)

    def of_members(label: str, terms: tuple[Term, ...], bound: float, unit: Unit, mechanism: str) -> Limit:
        return Limit(label, "members", terms, bound, unit, float(size.senders), None, mechanism)

    return (
        of_destinations(
            "changes of one endpoint: processor time",
            one_change,
            core,
            Unit.CORE,
            "rillspindle.policy.Policy._list, mountgauge.core.hop_table.HopTable.learn",
        ),
        of_destinations(
            "the list: memory",
            (Term("policy-memory"), Term("sender-memory")),
            memory,
            Unit.BYTES,
            "rillspindle.catalog, rillspindle.state, mountgauge.core.hop_table",
        ),
        of_destinations(
            "the whole list at a start: processor time",
            full_list,
            size.ready_s,
            Unit.SECONDS,
            "mountgauge.core.config.Names.update, HopTable.learn, Policy._list",
        ),
        of_destinations(
            "the whole list: bytes of one answer",
            (Term("discovery-list-bytes"),),
            MOST_LIST_BYTES,
            Unit.BYTES,
            "mountgauge.platform.list_exchange.MOST_LIST_BYTES",
        ),
        of_destinations(
            "recovery's looks: processor time",
            recovery_checks,
            core,
            Unit.CORE,
            "mountgauge.recovery.destinations, mountgauge.run.recovery.RecoverySubsystem.facts",
        ),
        of_destinations(
            "budgets' looks at what waits: processor time",
            (Term("sender-waiting", BUDGET_TICKS_PER_S),),
            core,
            Unit.CORE,
            "mountgauge.core.sender.Sender.waiting",
        ),
        of_destinations(
            "an event while the room for messages is full, by what is listed: processor time",
            (Term("policy-full-room", events_per_s),),
            ONE_CORE,
            Unit.CORE,
            "rillspindle.policy.Policy._hold",
        ),
        of_destinations(
            "an answer while all slots are taken, by what is listed: processor time",
            (Term("policy-starved-slot", events_per_s),),
            ONE_CORE,
            Unit.CORE,
            "rillspindle.policy.Policy._outcome, _slot_worth",
        ),
        of_destinations(
            "an operator's file, read at each change: processor time",
            (Term("operator-file", size.changes_per_s),),
            core,
            Unit.CORE,
            "mountgauge.operator_file.load_hops",
        ),
        of_messages(
            "a start with all that is held: processor time",
            (Term("journal-start"), Term("sender-restore")),
            size.ready_s,
            Unit.SECONDS,
            "mountgauge.core.journal.Journal._load, Sender.restore",
        ),
        of_messages(
            "a compaction of the journal: the loop stands still",
            (Term("journal-compaction"),),
            LONGEST_PAUSE_S,
            Unit.SECONDS,
            "mountgauge.core.journal.Journal._compact",
        ),
        of_messages(
            "an event while the room for messages is full, by what is held: processor time",
            (Term("policy-full-room-held", events_per_s),),
            ONE_CORE,
            Unit.CORE,
            "rillspindle.policy.Policy._hold",
        ),
        of_messages(
            "an event for a destination with all the backlog: processor time",
            (Term("policy-backlog-arrival", events_per_s),),
            ONE_CORE,
            Unit.CORE,
            "rillspindle.policy.Policy._pump",
        ),
        of_messages(
            "an answer while all slots are taken, by what is held: processor time",
            (Term("policy-backlog-answer", events_per_s),),
            ONE_CORE,
            Unit.CORE,
            "rillspindle.policy.Policy._slot_worth, _pump",
        ),
        of_members(
            "tenants' counts: bytes",
            (Term("gossip-members-bytes"),),
            bytes_per_s,
            Unit.BYTES_PER_S,
            "mountgauge.tenants.gossip.node.Gossip",
        ),
        of_members(
            "tenants' counts: processor time",
            (Term("gossip-members-core"),),
            core,
            Unit.CORE,
            "mountgauge.tenants.gossip.node.Gossip",
        ),
        of_members(
            "telemetry: bytes",
            (Term("telemetry-bytes", 1 / EXPORT_EVERY_S),),
            bytes_per_s,
            Unit.BYTES_PER_S,
            "mountgauge.otlp.tenant_metrics",
        ),
        of_members(
            "tenants' counts: memory",
            (Term("gossip-members-memory"),),
            memory,
            Unit.BYTES,
            "mountgauge.tenants.counts.Counts",
        ),
        of_members(
            "budgets, all members vote: bytes",
            (Term("leases-all-vote-bytes"),),
            bytes_per_s,
            Unit.BYTES_PER_S,
            "mountgauge.budgets.member.Member",
        ),
        of_members(
            "budgets, all members vote: processor time",
            (Term("leases-all-vote-core"),),
            core,
            Unit.CORE,
            "mountgauge.budgets.member.Member",
        ),
        of_members(
            "budgets, a member beside five voters: bytes",
            (Term("leases-member-bytes"),),
            bytes_per_s,
            Unit.BYTES_PER_S,
            "mountgauge.budgets.membership.Membership.places",
        ),
        of_members(
            "budgets, a member beside five voters: processor time",
            (Term("leases-member-core"),),
            core,
            Unit.CORE,
            "mountgauge.budgets.membership.Membership.places",
        ),
    )


def worst_first(kept: KeptResults, size: FleetSize) -> tuple[BreakPoint, ...]:
    """The break points by falling factor; those that are unknown or never reached come last."""
    break_points = [break_point(kept, limit) for limit in limits(size)]
    return tuple(sorted(break_points, key=lambda one: -(one.factor or 0.0)))
