"""The decision module's ramp, in virtual time: fleets of modules against a partner that comes back cold."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.comeback_model import Fleet, lowered, scene
from mountgauge.lab.rig.capacity_model import CapacityModel
from mountgauge.recovery.destinations import destination_states
from mountgauge.recovery.phases import DestinationState
from rillspindle import interface as io
from rillspindle.interface import ListKind, Outcome
from rillspindle.state import Message
from tests.driver import Driver, entry
from tests.settings import settings


@pytest.mark.parametrize(("members", "share", "refused"), [(1, 0.8, 0.1), (10, 0.75, 0.1), (200, 0.6, 0.2)])
def test_a_fleet_that_restarts_follows_what_a_cold_partner_bears(
    members: int, share: float, refused: float
) -> None:
    """Four in five start anew as the partner goes cold; it falls over at half as much again as it bears."""
    found = scene(members, 3, True, falls_at=1.5)
    without = scene(members, 3, False, falls_at=1.5)
    assert found["served_share_5s"] >= share > without["served_share_5s"]
    assert found["refused_share"] <= refused < without["refused_share"]
    assert found["fell"] == 0 < without["fell"]
    assert found["last_5s_per_s"] >= 55, "and it comes back"


def test_no_outage_holds_itself_up_without_the_ramp_either() -> None:
    """Half of the calls in a second more than a partner bears, and it starts cold anew: the floor would do
    that.
    """
    for members in (1, 10, 40):
        found = scene(members, 2, False, falls_at=1.5, seconds=45.0)
        assert found["last_5s_per_s"] >= 40, members


def test_a_lowered_limit_is_found_and_used_again() -> None:
    found = lowered(10, 1, True)
    assert found["served"] >= 28 and found["refused"] <= 20 and found["after_10_s"] >= 70


def test_one_seed_gives_one_history() -> None:
    def play() -> tuple[list[float], list[float]]:
        fleet = Fleet(10, 100.0, 80.0, 7, 4, True, CapacityModel(100.0, falls_at=1.5))
        fleet.begin()
        fleet.play(8)
        return fleet.served, fleet.refused

    assert play() == play()


def test_what_an_earlier_life_knew_makes_a_start_more_careful_never_bolder() -> None:
    env = settings(weights="nominal", extra={**settings()["extra"], "ramp": True})
    fresh, knowing, boasting = Driver(env), Driver(env), Driver(env)
    knowing.feed(io.Remembered(0, 1.5, 0.25))
    boasting.feed(io.Remembered(0, 0.0, 1e9))
    for d in (fresh, knowing, boasting):
        d.targets(ListKind.CACHED, entry(1, scale=20.0))
    paces = [d.policy.destinations[0].route.rate_limit for d in (fresh, knowing, boasting)]
    assert paces[1] == 0.25 < paces[0] == paces[2] == 20.0 / 2 * 0.2
    knowing.incoming(1)
    knowing.advance(knowing.now + 1.4)
    assert not knowing.held[1].sends, "the told wait still runs"
    knowing.advance(knowing.now + 8)
    assert knowing.held[1].sends


def test_destination_states_tell_ramping_shown_and_held_up_apart() -> None:
    env = settings(weights="nominal", extra={**settings()["extra"], "ramp": True})
    d = Driver(env)
    d.targets(ListKind.CACHED, entry(1, scale=20.0))
    assert destination_states(d.policy, d.now) == {}, "nobody asks for it"

    def ask(seconds: float, outcome: int) -> None:
        for _ in range(round(seconds * 20)):
            d.incoming(len(d.held), left=8)
            d.advance(d.now + 0.05)
            for msg, attempt in d.pending():
                d.respond(msg, outcome, number=attempt)

    ask(0.5, Outcome.OK)
    assert destination_states(d.policy, d.now) == {0: DestinationState.RAMPING}
    ask(12, Outcome.OK)
    assert destination_states(d.policy, d.now) == {0: DestinationState.SHOWN}
    ask(12, Outcome.FULL)
    assert destination_states(d.policy, d.now) == {0: DestinationState.HELD_UP}
    ask(30, Outcome.OK)
    assert destination_states(d.policy, d.now) == {0: DestinationState.SHOWN}


def test_thousands_restored_for_one_destination_leave_another_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    env = settings(weights="nominal", extra={**settings()["extra"], "ramp": True, "workers": 16})
    env["ceilings"] = {**env["ceilings"], "maxOpen": 40_000}
    d = Driver(env)
    d.targets(ListKind.CACHED, entry(1, scale=20.0), entry(2, dest=1, scale=200.0))
    for number in range(3000):
        d.policy.handle(io.Restored(10_000 + number, d.now + 60, 0, 0, 0, ()), d.now)
    weighed, served = Counter[float](), 0
    worth = Message.value_at

    def counted(self: Message, at: float) -> float:
        weighed[d.now] += 1
        return worth(self, at)

    monkeypatch.setattr(Message, "value_at", counted)
    for number in range(200):
        d.incoming(number, dest=1, left=8)
        d.advance(d.now + 0.05)
        d.policy.handle(io.Ring(1 << 32), d.now)  # the restored ones' turn, whose calls nobody answers
        for msg, attempt in d.pending():
            served += msg < 10_000
            d.respond(msg, Outcome.OK, number=attempt)
    assert served >= 190
    assert max(weighed.values()) <= 4 * 2 * 512, "a moment's calls do not weigh all that is held"
