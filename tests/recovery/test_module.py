"""The ramp of the decision module, in virtual time: fleets of modules and a partner that recovers cold."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.comeback_model import Fleet, simulate_lowered_limit, simulate_restart
from mountgauge.lab.rig.capacity_model import CapacityModel
from mountgauge.recovery.destinations import destination_states
from mountgauge.recovery.phases import DestinationState
from rillspindle import interface as io
from rillspindle.interface import ListKind, Outcome
from rillspindle.state import Message
from tests.driver import Driver, entry
from tests.settings import settings


@pytest.mark.parametrize(("members", "share", "refused"), [(1, 0.8, 0.1), (10, 0.75, 0.1), (200, 0.6, 0.2)])
def test_a_restarted_fleet_stays_within_the_capacity_of_a_cold_partner(
    members: int, share: float, refused: float
) -> None:
    """Four in five nodes restart as the partner becomes cold; at 1.5 times its capacity it fails."""
    found = simulate_restart(members, 3, True, falls_at=1.5)
    without = simulate_restart(members, 3, False, falls_at=1.5)
    assert found["served_share_5s"] >= share > without["served_share_5s"]
    assert found["refused_share"] <= refused < without["refused_share"]
    assert found["fell"] == 0 < without["fell"]
    assert found["last_5s_per_s"] >= 55, "and it recovers"


def test_no_outage_prolongs_itself_without_the_ramp() -> None:
    """In each second with 1.5 times the calls of its capacity the partner becomes cold again: a floor of the
    send rate limit would cause that.
    """
    for members in (1, 10, 40):
        found = simulate_restart(members, 2, False, falls_at=1.5, seconds=45.0)
        assert found["last_5s_per_s"] >= 40, members


def test_a_lowered_limit_is_found_and_used_again() -> None:
    found = simulate_lowered_limit(10, 1, True)
    assert found["served"] >= 28 and found["refused"] <= 20 and found["after_10_s"] >= 70


def test_the_same_seed_gives_the_same_history() -> None:
    def play() -> tuple[list[float], list[float]]:
        fleet = Fleet(10, 100.0, 80.0, 7, 4, True, CapacityModel(100.0, falls_at=1.5))
        fleet.start_all()
        fleet.run(8)
        return fleet.served, fleet.refused

    assert play() == play()


def test_facts_from_a_previous_run_only_make_a_start_more_careful() -> None:
    env = settings(weights="nominal", extra={**settings()["extra"], "ramp": True})
    fresh, limited, unlimited = Driver(env), Driver(env), Driver(env)
    limited.feed(io.Remembered(0, 1.5, 0.25))
    unlimited.feed(io.Remembered(0, 0.0, 1e9))
    for d in (fresh, limited, unlimited):
        d.targets(ListKind.CACHED, entry(1, scale=20.0))
    limits = [d.policy.destinations[0].route.rate_limit for d in (fresh, limited, unlimited)]
    assert limits[1] == 0.25 < limits[0] == limits[2] == 20.0 / 2 * 0.2
    limited.incoming(1)
    limited.advance(limited.now + 1.4)
    assert not limited.messages[1].sends, "the required wait is still running"
    limited.advance(limited.now + 8)
    assert limited.messages[1].sends


def test_destination_states_distinguish_ramping_shown_and_held_up() -> None:
    env = settings(weights="nominal", extra={**settings()["extra"], "ramp": True})
    d = Driver(env)
    d.targets(ListKind.CACHED, entry(1, scale=20.0))
    assert destination_states(d.policy, d.now) == {}, "no message for it"

    def ask(seconds: float, outcome: int) -> None:
        for _ in range(round(seconds * 20)):
            d.incoming(len(d.messages), left=8)
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


def test_thousands_of_restored_messages_do_not_delay_another_destination(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    env = settings(weights="nominal", extra={**settings()["extra"], "ramp": True, "workers": 16})
    env["ceilings"] = {**env["ceilings"], "maxOpen": 40_000}
    d = Driver(env)
    d.targets(ListKind.CACHED, entry(1, scale=20.0), entry(2, dest=1, scale=200.0))
    for number in range(3000):
        d.policy.handle(io.Restored(10_000 + number, d.now + 60, 0, 0, 0, ()), d.now)
    evaluated, served = Counter[float](), 0
    value_at = Message.value_at

    def counted(self: Message, at: float) -> float:
        evaluated[d.now] += 1
        return value_at(self, at)

    monkeypatch.setattr(Message, "value_at", counted)
    for number in range(200):
        d.incoming(number, dest=1, left=8)
        d.advance(d.now + 0.05)
        d.policy.handle(io.Ring(1 << 32), d.now)  # timer of the restored messages, whose calls get no answer
        for msg, attempt in d.pending():
            served += msg < 10_000
            d.respond(msg, Outcome.OK, number=attempt)
    assert served >= 190
    assert max(evaluated.values()) <= 4 * 2 * 512, "the calls of one moment do not evaluate the whole queue"
