"""A slow discovery with a small `askWithin`: calls must not be closed before they can be answered."""

from __future__ import annotations

from tests.platform.reference import Change, Loss, Outage, OutageKind, Schedule, State
from tests.platform.simulation import play
from tests.platform.test_drain_property import late_bytes


def test_the_answer_of_a_slow_discovery_is_received_though_calls_are_frequent() -> None:
    """Answers take 1.2 s, within the 6 s of the rule; a call that was closed after 1.0 s never got one."""
    events = (
        Loss(0.3),
        Outage(0.6, 30.0, OutageKind.SLOW, 1.2),
        Change(3.0, "a", State.LEAVING),
    )
    schedule = Schedule(1, 0.5, False, 0.15, 0.0, 0, events)
    assert not late_bytes(schedule, play(schedule))
