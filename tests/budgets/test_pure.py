"""The modules of budgets without I/O: value and division of slices, grants, leases, epochs."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.budget_model import MUTANTS, QUICK, explore
from mountgauge.budgets import shares, timing
from mountgauge.budgets.fair_shares import HEADROOM, Demand, divide, max_min
from mountgauge.budgets.grants import Grants, Holder
from mountgauge.budgets.leases import Leases, at_least
from mountgauge.budgets.membership import MemberEntry, MemberList, Membership
from mountgauge.budgets.shares import Budget, Kind

PURE = settings(derandomize=True, deadline=None, max_examples=150)
A, B = Holder("a", 1), Holder("b", 1)


@PURE
@given(
    st.sampled_from(Kind), st.lists(st.integers(0, 500), min_size=1, max_size=6), st.floats(0, 1),
    st.integers(0, 4), st.data(),
)  # fmt: skip
def test_reserves_and_slices_sum_to_at_most_the_largest_total(
    kind: Kind, totals: list[int], reserve: float, least: int, data: st.DataObject
) -> None:
    """Whatever total each member works with, and however the slices are spread."""
    budget, members = Budget("b", kind, 0, reserve=reserve, least=least, slices=16), len(totals)
    owners = data.draw(st.lists(st.integers(0, members - 1), min_size=16, max_size=16))
    found = 0.0
    for member, total in enumerate(totals):
        mask = sum(1 << index for index, owner in enumerate(owners) if owner == member)
        found += shares.reserve(budget, total, members) + shares.mask_value(budget, total, members, mask)
        if total == max(totals) and kind is Kind.RATE:
            pool = shares.mask_value(budget, total, members, (1 << 16) - 1)
            assert pool + members * shares.reserve(budget, total, members) == pytest.approx(total)
    assert found <= max(totals) + 1e-6


@PURE
@given(
    st.integers(0, 200),
    st.dictionaries(
        st.text("abcdef", min_size=1, max_size=2), st.builds(Demand, st.floats(0, 300), st.floats(0.1, 5))
    ),
)
def test_division_is_max_min_fair_and_never_exceeds_the_slices(
    slices: int, demands: dict[str, Demand]
) -> None:
    found, real = divide(slices, demands), max_min(slices, demands)
    assert sum(found.values()) <= slices and all(count >= 0 for count in found.values())
    eased = {
        name: Demand(min(slices, demand.slices * HEADROOM), demand.weight) for name, demand in demands.items()
    }
    assert all(found[name] >= int(share) - 1 for name, share in max_min(slices, eased).items())
    short = [name for name in demands if real[name] < demands[name].slices - 1e-6]
    for name in short:  # no member with more for its weight could give to one below its demand
        level = real[name] / demands[name].weight
        assert all(real[other] / demands[other].weight <= level + 1e-6 for other in demands)
    if slices and demands and sum(demand.slices for demand in demands.values()) * HEADROOM < slices:
        assert sum(found.values()) == slices, "slices without demand are spread as well"


@PURE
@given(st.lists(st.integers(0, (1 << 12) - 1), max_size=9), st.integers(1, 9))
def test_counting_bits_in_parallel_gives_the_same_as_one_by_one(masks: list[int], need: int) -> None:
    naive = sum(1 << index for index in range(12) if sum(mask >> index & 1 for mask in masks) >= need)
    assert at_least(masks, need) == naive


def test_a_voter_grants_a_slice_to_one_holder_and_keeps_its_grants_over_a_restart() -> None:
    voter = Grants(4, drift=0.1)
    first = voter.ask(A, 1, 0b0011, 10.0, now=0.0)
    assert first is not None and first.granted == 0b0011 and first.written is not None
    assert voter.ask(B, 1, 0b0110, 10.0, now=1.0) == (0b0100, 0b0011, (B, 0b0100, 10.0))
    assert voter.ask(A, 2, 0b0011, 10.0, now=2.0) == (0b0011, 0b0100, None), "renewing writes nothing"
    assert voter.ask(A, 2, 0b1111, 10.0, now=2.5) is None, "overtaken"
    restored = Grants.restored(4, 0.1, 100.0, True, voter.records(3.0), 10.0)
    again = restored.ask(B, 2, 0b0111, 10.0, now=110.9)
    assert again is not None and again.granted == 0b0100, "counted anew from the start, with the drift"
    assert (later := restored.ask(B, 3, 0b0111, 10.0, now=111.1)) is not None and later.granted == 0b0111
    lost = Grants.restored(4, 0.1, 100.0, False, (), 10.0)
    assert (silent := lost.ask(B, 1, 0b1, 10.0, now=110.9)) is not None and silent.granted == 0
    assert (granting := lost.ask(B, 2, 0b1, 10.0, now=111.1)) is not None and granting.granted == 1


def test_a_lease_counts_from_the_ask_and_excludes_slices_that_were_returned() -> None:
    mine, voters = Leases(10.0, drift=0.1), ("x", "y", "z")
    mine.claim(0b11)
    number, mask = mine.ask(0.0)
    mine.answered("x", number, mask)
    assert mine.held(5.0, voters) == 0
    mine.answered("y", number, mask)
    assert mine.held(8.9, voters) == 0b11 and mine.held(9.1, voters) == 0, "nine of ten seconds, from the ask"
    assert mine.shrinks_at(1.0, voters) == pytest.approx(9.0)
    mine.drop(0b01)
    mine.claim(0b01)
    mine.answered("z", number, mask)
    assert mine.held(5.0, voters) == 0b10, "an answer to an ask before the break must not count"


def lists(epoch: int, *members: Any, settled: int = 1) -> MemberList:
    return MemberList(epoch, tuple(MemberEntry(one[0], (one[0], 1), *one[1:]) for one in members), settled)


def test_lists_change_by_one_member_per_epoch() -> None:
    base = [("a",), ("b",), ("c",)]
    assert lists(2, *base, ("d", 2)).validation_error() == ""
    assert lists(2, *base, ("d", 2), ("e", 2)).validation_error() == "epoch 2: one member at a time, not d, e"
    assert lists(3, *base, ("d", 2), ("e", 2), settled=2).validation_error() == ""
    assert lists(1, ("a",), ("a",)).validation_error() == "'a' is listed twice"
    assert lists(1, ("a", 2)).validation_error() == "since: past the epoch"
    assert lists(2, ("a", 1, 2)).validation_error() == "no member is listed"
    few = lists(1, ("a",), ("b",), ("c",), ("d", 1, 9, False, False))
    assert few.voters(1) == ("a", "b", "c") and few.at(1) == ("a", "b", "c", "d")


def test_an_epoch_is_adopted_once_a_majority_has_left_the_one_before_last() -> None:
    member = Membership("a", lists(1, ("a",), ("b",), ("c",)), 10.0, 0.0, kept_epoch=0)
    assert member.step(0.0) and member.adopted == 1, "there is none before the first"
    assert member.reload(lists(2, ("a",), ("b",), ("c",), ("d", 2))) == ""
    member.observe_epoch("b", 1, 1.0)
    assert not member.step(20.0), "b is still at 1 and would serve a member that counts by it"
    member.observe_epoch("b", 2, 20.0)
    assert not member.step(29.9) and member.step(30.1) and member.voters == ("a", "b", "c", "d")
    assert member.reload(lists(1, ("a",), ("b",), ("c",))) == "epoch 1 is behind 2"
    assert member.reload(lists(2, ("a",), ("b",), ("c",))) == "epoch 2 had other members"


def test_reserves_are_divided_by_all_members_that_may_use_one() -> None:
    base = [("a",), ("b",), ("c",)]
    added = Membership("d", lists(2, *base, ("d", 2)), 10.0, 0.0, kept_epoch=0)
    assert added.reserve_divisor == 4 and not added.may_use_reserve()
    for name in "ab":
        added.observe_epoch(name, 2, 1.0)
    added.observe_epoch("c", 1, 1.0)
    assert not added.may_use_reserve(), "c still divides by three"
    added.observe_epoch("c", 2, 2.0)
    assert added.may_use_reserve()
    left = Membership("a", lists(2, ("a",), ("b",), ("c", 1, 2)), 10.0, 0.0, kept_epoch=0)
    assert left.reserve_divisor == 3 and left.may_use_reserve(), "c may still run"
    left.observe_ended(["b", "c"])
    assert left.reserve_divisor == 2, "a report that a listed member has ended is ignored"


@pytest.mark.parametrize("name", ["skip-the-durable-write", "answer-after-a-lost-folder", "majority-less-one",
                                  "act-on-what-was-given-back", "forget-drift"])  # fmt: skip
def test_the_model_catches_each_mutant(name: str) -> None:
    changed, scope = MUTANTS[name]
    with changed():
        assert explore(scope, 100_000).chart


def test_the_model_finds_no_violation_in_the_scope_explored_in_ci() -> None:
    assert explore(QUICK["two slices, all moves"], 10_000).chart == ()
    assert timing.majority(3) == 2
