"""A failure in one step of a turn costs the other messages of the turn nothing."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from mountgauge.core.ports import Accepted, MessageOutcome, Status
from rillspindle.interface import Readiness
from tests.test_sender import Bench


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    made = Bench(tmp_path)
    made.sender.start(made.hops(Readiness.READY))
    made.pass_time(0.01)
    return made


def test_a_submission_that_fails_costs_no_other_client_its_answer(bench: Bench) -> None:
    """Guards the turn against a failure in one submission, whatever its cause."""
    bench.submit("bad", grade=99)
    bench.submit("good", grade=0)
    bench.pass_time(0.01)
    assert bench.answers == {"bad": MessageOutcome(Status.DEFERRED), "good": Accepted()}
    bench.submit("bad", grade=0)


def test_an_action_that_fails_costs_no_other_action(bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against slots that are kept for good, as the actions behind a failed one were lost."""
    add_to_call = bench.sender.attempts._add_to_call
    failed: list[int] = []

    def fail_once(message: Any, *args: Any) -> bool:
        if not failed:
            failed.append(message.number)
            raise RuntimeError("for the test")
        return add_to_call(message, *args)

    monkeypatch.setattr(bench.sender.attempts, "_add_to_call", fail_once)
    for number in range(3):
        bench.submit(f"m{number}", grade=0)
    bench.pass_time(0.01)
    assert len(failed) == 1 and sum(len(call.items) for call in bench.calls) == 3, "the failed one again"
    assert bench.sender.policy.used_slots == bench.sender.slots_used == len(bench.calls)
