"""What members send to each other: tenants' counts by gossip and budgets by leases, in virtual time.

Processor time includes that of the simulated network. Bytes of the tenants' counts are those of the sealed
datagrams; those of the leases are the simulation's estimate.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from functools import cache
from typing import NamedTuple

from benchmarks import budget_fleet, fleet_model
from benchmarks.slopes.probe import Axis, Method, Probe, Sample, Unit, allocated
from mountgauge.budgets.membership import MemberEntry, MemberList
from mountgauge.budgets.messages import Answer, Ask
from mountgauge.budgets.shares import Budget, Kind

_TENANTS, _MESSAGES_PER_S = 100, 25.0  # in the whole fleet; accepted by each member
_SETTLE_S, _RUN_S = 2.0, 4.0
_GOSSIP_SIZES = (8, 16, 32, 64, 128)
_ALL_SIZES = (6, 12, 18, 24, 36, 48)
_FIVE_VOTERS_SIZES = (10, 15, 20, 30, 40, 60)
_BUDGETS, _VOTERS = 2, 5
_BUDGET_COUNTS = (1, 2, 5, 10, 20, 40)


class _Metered(budget_fleet.World):
    """Counts each member's bytes and processor time; skips the check, which real members do not make."""

    def __init__(self, budgets: list[Budget], names: list[str], voters: int) -> None:
        super().__init__(budgets, (), 1, network=budget_fleet.NetworkFaults(loss=0.01, delay_s=0.005))
        self.spent_ns: Counter[str] = Counter()  # by member
        self.sent_bytes: Counter[str] = Counter()
        self.lists = MemberList(
            1, tuple(MemberEntry(name, (name, 0), voter=place < voters) for place, name in enumerate(names))
        )
        for name in names:
            self.add(name)

    def check(self) -> None: ...

    def _tick(self, name: str) -> None:
        began, sent = time.process_time_ns(), self.bytes
        super()._tick(name)
        self.spent_ns[name] += time.process_time_ns() - began
        self.sent_bytes[name] += self.bytes - sent

    def _arrive(self, target: str, message: Ask | Answer) -> None:
        began, sent = time.process_time_ns(), self.bytes
        super()._arrive(target, message)
        self.spent_ns[target] += time.process_time_ns() - began
        self.sent_bytes[target] += self.bytes - sent


@cache
def _gossip(members: int, tenants: int) -> tuple[float, float]:
    """Core share and bytes/s of one member."""
    names = [f"t{number}" for number in range(tenants)]
    world = fleet_model.World(dict.fromkeys(names), 1, fleet_model.NetworkFaults(loss=0.05, delay=0.02))
    world.add(*(f"m{number}" for number in range(members)))
    world.load({name: _MESSAGES_PER_S * members / tenants for name in names}, _SETTLE_S + _RUN_S)
    world.until(_SETTLE_S)
    sent, began = world.bytes, time.process_time()
    world.until(_SETTLE_S + _RUN_S)
    spent = time.process_time() - began
    return spent / _RUN_S / members, (world.bytes - sent) / _RUN_S / members


class _Lease(NamedTuple):
    """Core share and bytes/s of one voter and of one member without a vote; 0 if there is none of these."""

    voter_core: float
    voter_bytes: float
    member_core: float
    member_bytes: float


def _budgets(count: int, members: int) -> list[Budget]:
    return [
        Budget(f"b{number}", Kind.RATE, 100.0, burst=float(members), reserve=0.04, lease_s=4.0)
        for number in range(count)
    ]


@cache
def _leases(members: int, budgets: int, voters: int) -> _Lease:
    """Means of the voters and of the other members, with demand above the total."""
    names = [f"m{number:03d}" for number in range(members)]
    world = _Metered(_budgets(budgets, members), names, voters)
    world.demand = budget_fleet.even(200.0 / members)
    world.until(_SETTLE_S)
    world.spent_ns.clear()
    world.sent_bytes.clear()
    world.until(_SETTLE_S + _RUN_S)
    return _Lease(*_mean(world, names[:voters]), *_mean(world, names[voters:]))


def _mean(world: _Metered, names: list[str]) -> tuple[float, float]:
    if not names:
        return 0.0, 0.0
    spent = sum(world.spent_ns[name] for name in names) / 1e9
    return spent / _RUN_S / len(names), sum(world.sent_bytes[name] for name in names) / _RUN_S / len(names)


def _gossip_memory(members: int) -> Sample:
    """Memory of one member that is notified of all others."""

    def build() -> fleet_model.World:
        world = fleet_model.World(dict.fromkeys(f"t{number}" for number in range(_TENANTS)), 1)
        world.add(*(f"m{number}" for number in range(members)))
        world.until(_SETTLE_S)
        return world

    return lambda: allocated(build) / members


def _leases_memory(members: int) -> Sample:
    """Memory of one member, where all are voters."""

    def build() -> budget_fleet.World:
        names = [f"m{number:03d}" for number in range(members)]
        world = _Metered(_budgets(_BUDGETS, members), names, members)
        world.demand = budget_fleet.even(200.0 / members)
        world.until(_SETTLE_S)
        return world

    return lambda: allocated(build) / members


def _gossip_core(members: int) -> Sample:
    return lambda: _gossip(members, _TENANTS)[0]


def _gossip_bytes(members: int) -> Sample:
    return lambda: _gossip(members, _TENANTS)[1]


def _tenants_bytes(tenants: int) -> Sample:
    return lambda: _gossip(8, tenants)[1]


def _tenants_core(tenants: int) -> Sample:
    return lambda: _gossip(8, tenants)[0]


def _all_vote_core(members: int) -> Sample:
    return lambda: _leases(members, _BUDGETS, members).voter_core


def _all_vote_bytes(members: int) -> Sample:
    return lambda: _leases(members, _BUDGETS, members).voter_bytes


def _voter_core(members: int) -> Sample:
    return lambda: _leases(members, _BUDGETS, _VOTERS).voter_core


def _voter_bytes(members: int) -> Sample:
    return lambda: _leases(members, _BUDGETS, _VOTERS).voter_bytes


def _member_core(members: int) -> Sample:
    return lambda: _leases(members, _BUDGETS, _VOTERS).member_core


def _member_bytes(members: int) -> Sample:
    return lambda: _leases(members, _BUDGETS, _VOTERS).member_bytes


def _budgets_core(budgets: int) -> Sample:
    return lambda: _leases(10, budgets, _VOTERS).member_core


def _budgets_bytes(budgets: int) -> Sample:
    return lambda: _leases(10, budgets, _VOTERS).member_bytes


_TENANT_COUNTS = (100, 200, 400, 800, 1_600)
_GOSSIP_SOURCE = "mountgauge.tenants.gossip.node.Gossip.tick, receive"
_ALL_VOTE = "mountgauge.budgets.member.Member.receive_ask, _asks (all members vote: the default)"
_VOTER = "mountgauge.budgets.member.Member.receive_ask (five voters answer all members)"
_MEMBER = "mountgauge.budgets.member.Member.tick (five voters)"


def _pair(
    name: str,
    axis: Axis,
    sizes: tuple[int, ...],
    source: str,
    core: Callable[[int], Sample],
    sent: Callable[[int], Sample],
    limit_s: float,
) -> tuple[Probe, Probe]:
    """The probes of processor time and of bytes of the same runs."""
    common = (Method.VIRTUAL_TIME, sizes, 1, limit_s)
    return (
        Probe(f"{name}-core", core, source, axis, Unit.CORE_SHARE, *common),
        Probe(f"{name}-bytes", sent, source, axis, Unit.BYTES_PER_S, *common),
    )


PROBES = (
    *_pair("gossip-members", Axis.MEMBERS, _GOSSIP_SIZES, _GOSSIP_SOURCE, _gossip_core, _gossip_bytes, 60.0),
    *_pair(
        "gossip-tenants", Axis.TENANTS, _TENANT_COUNTS, _GOSSIP_SOURCE, _tenants_core, _tenants_bytes, 40.0
    ),
    *_pair("leases-all-vote", Axis.MEMBERS, _ALL_SIZES, _ALL_VOTE, _all_vote_core, _all_vote_bytes, 20.0),
    *_pair("leases-voter", Axis.MEMBERS, _FIVE_VOTERS_SIZES, _VOTER, _voter_core, _voter_bytes, 20.0),
    *_pair("leases-member", Axis.MEMBERS, _FIVE_VOTERS_SIZES, _MEMBER, _member_core, _member_bytes, 20.0),
    *_pair("leases-budgets", Axis.BUDGETS, _BUDGET_COUNTS, _MEMBER, _budgets_core, _budgets_bytes, 10.0),
    Probe("gossip-members-memory", _gossip_memory, "mountgauge.tenants.counts.Counts", Axis.MEMBERS,
          Unit.BYTES, Method.TRACEMALLOC, _GOSSIP_SIZES[:-1], 1, 40.0),
    Probe("leases-all-vote-memory", _leases_memory, "mountgauge.budgets.grants, leases", Axis.MEMBERS,
          Unit.BYTES, Method.TRACEMALLOC, _ALL_SIZES, 1, 40.0),
)  # fmt: skip
