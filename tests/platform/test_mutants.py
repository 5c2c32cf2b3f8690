"""On a schedule on which the program keeps rule `drain`, each mutant breaks it or holds calls back.

A mutant that calls discovery too late holds calls back, as its lease ends. See docs/drains.md.
"""

from __future__ import annotations

import pytest

from tests.platform.mutants import MUTANTS
from tests.platform.reference import (
    Change,
    CorruptAnswer,
    Event,
    Loss,
    Move,
    Outage,
    OutageKind,
    Pause,
    Schedule,
    State,
)
from tests.platform.simulation import play
from tests.platform.test_drain_property import late_bytes


def schedule(
    *events: Event,
    balancers: int = 1,
    ask_within_s: float = 10.0,
    pushed: bool = False,
    hold_up_s: float = 0.15,
    connect_s: float = 0.0,
    seed: int = 0,
) -> Schedule:
    return Schedule(balancers, ask_within_s, pushed, hold_up_s, connect_s, seed, events)


def leaves(at: float) -> Change:
    return Change(at, "a", State.LEAVING)


IMMEDIATE_ANSWERS = Outage(0.5, 3.0, OutageKind.IMMEDIATE)
SCHEDULES = {
    "back-off and spread doubled": schedule(
        Outage(0.5, 12.0, OutageKind.REFUSING),
        leaves(1.0),
        Loss(12.0),
        balancers=30,
        ask_within_s=60.0,
        seed=22,
    ),
    "every 503 renews the lease": schedule(
        Outage(0.5, 20.0, OutageKind.OVERLOADED), Change(0.6, "b", State.LEAVING), leaves(1.0)
    ),
    "the gap is counted from reading": schedule(
        Change(1.0, "b", State.LEAVING), Pause(1.001, 0.6), Loss(1.1), leaves(1.3), pushed=True
    ),
    "an expired lease is ignored": schedule(Outage(0.5, 20.0, OutageKind.SILENT), leaves(1.0), balancers=40),
    "a watch after a silent watch": schedule(Loss(0.52, 2), leaves(1.012), ask_within_s=4.0),
    "an answer is not applied": schedule(
        Change(0.5, "b", State.LEAVING), leaves(1.0), Change(2.0, "b", State.LEFT)
    ),
    "calls are closed for the next one": schedule(
        Loss(0.3), Outage(0.6, 12.0, OutageKind.SLOW, 0.45), leaves(3.0), ask_within_s=0.5
    ),
    "no final check in admit": schedule(leaves(0.512), connect_s=0.4),
    "a pause within the watch gap": schedule(IMMEDIATE_ANSWERS, leaves(0.72)),
    "a pause of 0.3 s where lists are pushed": schedule(IMMEDIATE_ANSWERS, leaves(0.83), pushed=True),
    "a back-off after a corrupt answer": schedule(CorruptAnswer(0.51), leaves(0.512)),
    "a move waits for the watch in flight": schedule(Move(0.05), Loss(3.9), leaves(0.06)),
}


BREAKS_THE_RULE = {
    "an expired lease is ignored", "every 503 renews the lease", "an answer is not applied",
    "no final check in admit", "the gap is counted from reading",
    "a pause within the watch gap", "a back-off after a corrupt answer",
}  # fmt: skip
# In these schedules nothing shows that the list is current, so the program holds calls back as well.
WITHOUT_EVIDENCE = {
    "an expired lease is ignored",
    "every 503 renews the lease",
    "the gap is counted from reading",
}


@pytest.mark.parametrize("name", MUTANTS)
def test_a_mutant_sends_after_the_grace_or_holds_calls_back(name: str) -> None:
    run = play(SCHEDULES[name], MUTANTS[name])
    assert bool(late_bytes(SCHEDULES[name], run)) is (name in BREAKS_THE_RULE)
    if name not in BREAKS_THE_RULE:
        assert len(run.sent.refused) > 10 + len(play(SCHEDULES[name]).sent.refused)


@pytest.mark.parametrize("name", MUTANTS)
def test_the_program_neither_sends_late_nor_holds_calls_back(name: str) -> None:
    run = play(SCHEDULES[name])
    assert not late_bytes(SCHEDULES[name], run)
    assert name in WITHOUT_EVIDENCE or len(run.sent.refused) <= 2
