"""Schedules of the drain rule that were drawn once, and are played in each run."""

from __future__ import annotations

from tests.platform.reference import Change, Loss, Outage, OutageKind, Pause, Schedule, State
from tests.platform.simulation import play
from tests.platform.test_drain_property import late_bytes


def test_a_drain_that_begins_behind_an_answer_in_a_pause_is_obeyed() -> None:
    """The process is suspended; a change answers its watch, a drain follows at once, and its next call is
    lost.
    """
    schedule = Schedule(
        balancers=1,
        ask_within_s=0.5,
        pushed=False,
        hold_up_s=0.0,
        connect_s=0.0,
        seed=0,
        events=(
            Pause(0.01, 0.6),
            Change(0.012, "a", State.ACTIVE),
            Change(0.022, "a", State.LEAVING),
            Loss(0.31, 1),
        ),
    )
    assert not late_bytes(schedule, play(schedule))


def test_a_drain_is_obeyed_that_begins_as_a_refusing_discovery_returns_crowded() -> None:
    """Discovery is down and refuses connections; it returns and rejects calls, as it has too many."""
    schedule = Schedule(
        balancers=1,
        ask_within_s=1.0,
        pushed=False,
        hold_up_s=0.0,
        connect_s=0.0,
        seed=1,
        events=(
            Outage(0.51, 0.81, OutageKind.REFUSING),
            Outage(0.82, 8.82, OutageKind.OVERLOADED),
            Change(0.822, "a", State.LEAVING),
        ),
    )
    assert not late_bytes(schedule, play(schedule))
