"""Drains against older lists: the rule, and the bounds of the memory in number and in time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mountgauge.core.drain_memory import (
    MAX_REMEMBERED,
    REMEMBERED_FOR_S,
    WITHHELD_FOR_S,
    DrainMemory,
    EndpointLocation,
)

E0 = EndpointLocation("e0", "127.0.0.1", 1, 7)


def test_only_a_version_at_least_as_new_as_the_drain_reverts_it() -> None:
    memory = DrainMemory()
    memory.record(E0, 50, 0.0)
    assert memory.withheld_until(E0, 49, 1.0) == 1.0 + WITHHELD_FOR_S
    assert memory.withheld_until(E0, 45, 2.0) == 1.0 + WITHHELD_FOR_S, "counted from the first contradiction"
    assert memory.withheld_until(E0, 50, 3.0) is None
    assert memory.withheld_until(E0, 45, 4.0) is None, "the drain is forgotten"


def test_a_location_is_an_id_an_address_and_a_destination() -> None:
    memory = DrainMemory()
    memory.record(E0, 50, 0.0)
    for other in (
        E0._replace(id="e1"),
        E0._replace(host="::1"),
        E0._replace(port=2),
        E0._replace(destination=8),
    ):
        assert memory.withheld_until(other, 1, 0.0) is None
    assert memory.withheld_until(E0, 1, 0.0) is not None


def test_an_older_drain_does_not_lower_the_version_that_counts() -> None:
    memory = DrainMemory()
    memory.record(E0, 50, 0.0)
    memory.record(E0, 40, 1.0)
    assert memory.withheld_until(E0, 45, 2.0) is not None


def test_a_long_contradiction_is_believed_and_a_repeated_report_renews_the_drain() -> None:
    memory = DrainMemory()
    memory.record(E0, 50, 0.0)
    assert memory.withheld_until(E0, 1, 10.0) == 10.0 + WITHHELD_FOR_S
    memory.record(E0, 2, 11.0)  # reported as draining again: earlier contradictions no longer count
    assert memory.withheld_until(E0, 3, 12.0) == 12.0 + WITHHELD_FOR_S
    assert memory.withheld_until(E0, 3, 12.0 + WITHHELD_FOR_S) is None
    memory.record(E0, 4, 40.0)  # restarted versions count from now on
    assert memory.withheld_until(E0, 3, 41.0) is not None
    assert memory.withheld_until(E0, 5, 42.0) is None


def test_a_drain_is_forgotten_in_time_and_past_the_bound_in_number() -> None:
    memory = DrainMemory()
    memory.record(E0, 50, 0.0)
    assert memory.withheld_until(E0, 1, REMEMBERED_FOR_S) is None
    for number in range(MAX_REMEMBERED + 10):
        memory.record(EndpointLocation(f"e{number}", "h", 1, 7), 50, 1.0)
    assert len(memory) == MAX_REMEMBERED
    assert memory.withheld_until(EndpointLocation("e9", "h", 1, 7), 1, 2.0) is None
    assert memory.withheld_until(EndpointLocation("e10", "h", 1, 7), 1, 2.0) is not None
    memory.record(E0, 51, 1.0 + REMEMBERED_FOR_S)
    assert len(memory) == 1, "the next drain removes all expired ones"


STEPS = st.lists(
    st.tuples(st.booleans(), st.integers(0, 9), st.floats(0, WITHHELD_FOR_S / 8)), min_size=1, max_size=40
)


@given(STEPS)
def test_an_older_version_never_reverts_a_drain_within_the_bound(
    steps: list[tuple[bool, int, float]],
) -> None:
    """Against the complete history of the reports on one location since it was last active."""
    memory, now = DrainMemory(), 0.0
    drains: list[int] = []
    since: float | None = None
    for draining, version, passed in steps:
        now += passed
        if draining:
            memory.record(E0, version, now)
            drains.append(version)
            since = None
            continue
        withheld = memory.withheld_until(E0, version, now)
        if drains and version < max(drains):
            since = now if since is None else since
            assert withheld == (since + WITHHELD_FOR_S if now < since + WITHHELD_FOR_S else None)
        else:
            assert withheld is None
        if withheld is None:
            drains, since = [], None
