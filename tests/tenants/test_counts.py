"""Replicated counts: the laws of joining, and that no increment is lost or counted twice."""

from __future__ import annotations

from itertools import permutations
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.tenants.counts import _MAX_RECENT_CHANGES, Counts, Entry, Mark, msgpack_uint_bytes

KEYS = [11, 22, 33]
settings.register_profile("fleet", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("fleet")


def counts(mine: int = 1) -> Counts:
    return Counts(KEYS, 8, mine, f"m{mine}")


def state(replica: Counts) -> dict[tuple[int, int], int]:
    """The state of a replica: its count of each incarnation and tenant."""
    return {
        (life.id, replica.keys[place]): n
        for life in replica.incarnations.values() for place, n in enumerate(life.count) if n
    }  # fmt: skip


def deltas(owner: Counts, limits: list[tuple[int, int]]) -> list[tuple[Any, ...]]:
    """Deltas of the owner's incarnation, each from a version on and limited to a number of bytes."""
    found = []
    for after, max_bytes in limits:
        upto, entries = owner.delta(owner.own, after, max_bytes)
        found.append((owner.own.id, owner.own.name, after, upto, entries))
    return found


steps = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 300), st.integers(0, 50)), max_size=12)
limits = st.lists(st.tuples(st.integers(0, 12), st.integers(0, 60)), min_size=1, max_size=5)


@given(steps, limits, st.randoms())
def test_joining_is_commutative_associative_and_idempotent(
    grown: list[tuple[int, int, int]], where: list[tuple[int, int]], random: Any
) -> None:
    owners = [counts(1), counts(2)]
    sent: list[tuple[Any, ...]] = []
    for number, step in enumerate(grown):
        owners[number % 2].add(*step)
        sent += deltas(owners[number % 2], where[: 1 + number % 2])
    results = []
    for _ in range(3):
        order = sent * 2  # each delta arrives twice
        random.shuffle(order)
        replica = counts(9)
        for one in order:
            replica.join(*one)
        results.append(
            (state(replica), list(replica.total), {i: x.check for i, x in replica.incarnations.items()})
        )
        assert replica.total == [
            sum(x.count[p] for x in replica.incarnations.values()) for p in range(len(KEYS))
        ]
    assert results[0] == results[1] == results[2]
    # (a + b) + c = a + (b + c): two replicas with half of the deltas each join to the state of one with all.
    halves = [counts(9), counts(9)]
    for number, one in enumerate(sent):
        halves[number % 2].join(*one)
    for life in list(halves[1].incarnations.values()):
        halves[0].join(life.id, life.name, 0, life.version, [
            Entry(KEYS[p], n, life.versions[p], 0) for p, n in enumerate(life.count[: len(KEYS)]) if n
        ])  # fmt: skip
    assert (state(halves[0]), list(halves[0].total)) == results[0][:2]


@given(steps, st.lists(st.tuples(st.integers(20, 60), st.booleans()), max_size=30))
def test_a_replica_never_exceeds_its_owner_and_reaches_it_despite_lost_and_truncated_deltas(
    grown: list[tuple[int, int, int]], sendings: list[tuple[int, bool]]
) -> None:
    owner, replica = counts(1), counts(9)
    remaining = list(grown)
    for max_bytes, arrives in sendings:
        if remaining:
            owner.add(*remaining.pop(0))
        life = replica.incarnations.get(1)
        after = life.version if life is not None else 0
        (one,) = deltas(owner, [(after, max_bytes)])
        if arrives:
            replica.join(*one)
        for key, n in state(replica).items():
            assert n <= state(owner)[key]
        if one[3] == owner.own.version and arrives:
            assert replica.incarnations[1].mark == owner.own.mark and state(replica) == state(owner)
    for step in remaining:
        owner.add(*step)
    for _ in range(40):
        life = replica.incarnations.get(1)
        replica.join(*deltas(owner, [(life.version if life else 0, 40)])[0])
    assert state(replica) == state(owner) and replica.total == owner.total


def test_the_checksum_reveals_counts_that_differ_at_the_same_version() -> None:
    """After the owner died, replicas may hold different counts at one version: their marks differ."""
    owner, early, late = counts(1), counts(8), counts(9)
    owner.add(0, 3, 0)
    early.join(*deltas(owner, [(0, 99)])[0])
    owner.add(1, 4, 0)
    first = deltas(owner, [(1, 99)])[0]
    owner.add(0, 5, 0)
    late.join(owner.own.id, "m1", 0, 2, deltas(owner, [(0, 99)])[0][4][:1])  # without the second entry
    early.join(*first)
    assert early.incarnations[1].version == late.incarnations[1].version == 2
    assert early.incarnations[1].mark != late.incarnations[1].mark
    upto, entries = early.delta(early.incarnations[1], 0, 999)
    late.join(1, "m1", 0, upto, entries)
    assert early.incarnations[1].mark == late.incarnations[1].mark and early.total == late.total


def test_changes_older_than_the_recent_ones_are_found_by_a_scan() -> None:
    owner = Counts(range(100, 100 + 3 * _MAX_RECENT_CHANGES), 4 * _MAX_RECENT_CHANGES, 1, "m1")
    for index in range(3 * _MAX_RECENT_CHANGES):
        owner.add(index, 1, 0)
    for after in (
        0,
        1,
        _MAX_RECENT_CHANGES,
        2 * _MAX_RECENT_CHANGES - 1,
        3 * _MAX_RECENT_CHANGES - 2,
        3 * _MAX_RECENT_CHANGES,
    ):
        assert owner.own.changed_since(after) == list(range(after, 3 * _MAX_RECENT_CHANGES))


def test_folding_in_any_order_keeps_the_counts_and_a_new_replica_adopts_the_past() -> None:
    pasts = []
    for order in permutations((1, 2, 3)):
        replica = counts(9)
        for owner in (counts(1), counts(2), counts(3)):
            for n in range(4):
                owner.add(n % 3, owner.own.id * 10 + n, 0)
            replica.join(*deltas(owner, [(0, 999)])[0])
        total, marks = list(replica.total), {i: life.mark for i, life in replica.incarnations.items()}
        for life in order:
            replica.fold(life)
        assert replica.total == total and set(replica.incarnations) == {9}
        assert dict(replica.folded) == {i: marks[i] for i in order}
        pasts.append((replica.past_id, replica.folded_count, replica.past))
        newcomer = counts(10)
        newcomer.join(*deltas(counts(1), [(0, 999)])[0])  # holds one of them in part
        sums = dict(zip(replica.keys, replica.past, strict=True))
        assert newcomer.adopt(sums, list(replica.folded.items()), replica.folded_count, replica.past_id)
        assert newcomer.total == total and newcomer.incarnation(1) is None  # it cannot be added a second time
        other = counts(11)
        other.incarnation(77, "x")
        other.fold(77)  # an incarnation that the first has not folded: neither past contains the other
        assert not other.adopt(sums, list(replica.folded.items()), replica.folded_count, replica.past_id)
    assert all(one == pasts[0] for one in pasts)


def test_tenants_and_incarnations_are_bounded() -> None:
    replica = counts()
    for key in range(1000, 2000):
        replica.tenant_index(key)
    assert len(replica.keys) == 8 and replica.over_limit == 995
    for life in range(100, 2000):
        replica.incarnation(life, "x")
    assert len(replica.incarnations) == 512
    replica.join(100, "x", 0, 1, [])
    assert Mark(1, 0) == replica.incarnations[100].mark


@given(st.integers(0, (1 << 63) - 1))
def test_msgpack_uint_bytes_equals_the_encoded_size(number: int) -> None:
    assert msgpack_uint_bytes(number) == len(msgspec.msgpack.encode(number))
