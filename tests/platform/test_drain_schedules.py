"""Schedules of the drain rule that were drawn once, and are played in each run."""

from __future__ import annotations

from tests.platform.reference import Change, Loss, Move, Outage, OutageKind, Pause, Schedule, State
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


def test_a_drain_is_obeyed_that_begins_as_a_rejecting_discovery_returns_crowded() -> None:
    """Discovery is down and answers 503; it returns and rejects calls with 503, as it has too many."""
    schedule = Schedule(
        balancers=1,
        ask_within_s=1.0,
        pushed=False,
        hold_up_s=0.0,
        connect_s=0.0,
        seed=0,
        events=(
            Outage(0.51, 1.51, OutageKind.DOWN),
            Outage(1.52, 9.52, OutageKind.OVERLOADED),
            Change(1.522, "a", State.LEAVING),
        ),
    )
    assert not late_bytes(schedule, play(schedule))


def test_a_drain_is_obeyed_after_a_move_that_the_process_reads_late() -> None:
    """SIGHUP moves discovery while the process is suspended, and its new address refuses calls at first."""
    schedule = Schedule(
        balancers=30,
        ask_within_s=2.0,
        pushed=False,
        hold_up_s=0.0,
        connect_s=0.0,
        seed=0,
        events=(
            Change(0.012, "a", State.ACTIVE),
            Pause(0.03, 0.6),
            Change(0.032, "a", State.ACTIVE),
            Move(0.08),
            Outage(0.081, 2.08, OutageKind.REFUSING),
            Loss(0.33, 1),
            Change(2.092, "a", State.LEAVING),
        ),
    )
    assert not late_bytes(schedule, play(schedule))
