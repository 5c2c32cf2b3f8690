"""A slow discovery with a small `askWithin`: each call is closed before it can be answered."""

from __future__ import annotations

from tests.platform.reference import Change, Loss, Outage, OutageKind, Schedule, State
from tests.platform.simulation import play
from tests.platform.test_drain_property import late_bytes


def test_a_slow_discovery_is_heard_though_a_sender_asks_often() -> None:
    """Answers take 1.2 s, within the 6 s of the rule; a call is listened to for 1.0 s."""
    events = (
        Loss(0.3),
        Outage(0.6, 30.0, OutageKind.SLOW, 1.2),
        Change(3.0, "a", State.LEAVING),
    )
    schedule = Schedule(1, 0.5, False, 0.15, 0.0, 0, events)
    assert not late_bytes(schedule, play(schedule))
