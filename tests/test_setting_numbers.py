"""Messages, endpoints and attempts keep their class, zone and kind when the settings are replaced."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest

from mountgauge.core.config import SettingNames
from mountgauge.core.ports import Accepted, AttemptResult, MessageOutcome, Status
from mountgauge.core.setting_numbers import NumberedSettings, keep_numbers
from rillspindle.interface import Outcome, Readiness, Settings
from tests.settings import message_class, settings
from tests.test_sender import Bench

ONCE = message_class("at_most_once", name="once")
SAFE = message_class(name="safe")
KEYED = message_class("deduplicated", name="keyed")


def numbered(
    grades: Sequence[dict[str, Any]],
    zones: tuple[str, ...] = ("near", "far"),
    kinds: tuple[str, ...] = ("one", "many"),
    **extra: Any,
) -> NumberedSettings:
    env = settings(grades=list(grades), localities=list(zones), discovery="subscribe", **extra)
    names = SettingNames(tuple(one["name"] for one in grades), zones, kinds)
    return NumberedSettings(Settings.from_mapping(env), names)


def reload(bench: Bench, *grades: dict[str, Any]) -> None:
    sender = bench.sender
    found = keep_numbers(NumberedSettings(sender.rules, sender.names), numbered(grades))
    sender.apply_settings(found.rules, found.names)


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    made = Bench(tmp_path, grades=[ONCE, SAFE, KEYED])
    made.sender.names = made.sender.admission.names = numbered((ONCE, SAFE, KEYED)).names
    made.sender.start(made.hops(Readiness.READY))
    made.pass_time(0.01)
    return made


def test_a_message_that_waits_for_its_decision_keeps_its_class(bench: Bench) -> None:
    """Guards against a repeat of an at_most_once message: its class's number was another class's then."""
    bench.submit("a", grade=0)
    reload(bench, SAFE)
    bench.pass_time(0.01)
    assert bench.answers["a"] == Accepted() and bench.journal.live["a"].class_name == "once"
    (call,) = bench.calls
    sent = bench.sender.admit(call, call.items)
    bench.sender.finished(call, {item.number: AttemptResult(Outcome.ERROR) for item in sent})
    bench.pass_time(20.0)
    assert len(bench.calls) == 1 and bench.outcomes["a"] == MessageOutcome(Status.UNDELIVERABLE)


def test_a_class_beyond_the_new_list_leaves_no_client_without_an_answer(bench: Bench) -> None:
    """Guards against an IndexError in the middle of a turn, which lost all of its other events."""
    for number in range(3):
        bench.submit(f"m{number}", grade=number)
    reload(bench, ONCE)
    bench.pass_time(0.01)
    assert bench.answers == {"m0": Accepted(), "m1": Accepted(), "m2": Accepted()}
    assert [bench.journal.live[f"m{n}"].class_name for n in range(3)] == ["once", "safe", "keyed"]


def test_a_message_of_a_removed_idempotent_class_is_repeated(bench: Bench) -> None:
    """Guards against a refused repeat that is allowed: the guard did not know the class any more."""
    bench.submit("a", grade=1)
    bench.pass_time(0.01)
    (call,) = bench.calls
    sent = bench.sender.admit(call, call.items)
    reload(bench, ONCE)
    bench.sender.finished(call, {item.number: AttemptResult(Outcome.ERROR) for item in sent})
    bench.pass_time(1.0)
    assert len(bench.calls) > 1
    assert bench.sender.admit(bench.calls[1], bench.calls[1].items)


def test_a_class_that_is_defined_otherwise_changes_no_message_under_way(bench: Bench) -> None:
    """Guards against a repeat by the definition that another file gave the same name."""
    bench.submit("a", grade=0)
    bench.pass_time(0.01)
    (call,) = bench.calls
    sent = bench.sender.admit(call, call.items)
    reload(bench, {**SAFE, "name": "once"}, SAFE)
    bench.sender.finished(call, {item.number: AttemptResult(Outcome.ERROR) for item in sent})
    bench.pass_time(20.0)
    assert len(bench.calls) == 1 and bench.outcomes["a"] == MessageOutcome(Status.UNDELIVERABLE)


def test_numbers_keep_their_meaning_over_reloads_in_a_row() -> None:
    first = numbered((ONCE, SAFE))
    stricter = {**SAFE, "semantics": "at_most_once"}
    second = keep_numbers(first, numbered((stricter, KEYED)))
    third = keep_numbers(second, numbered((SAFE,)))
    assert third.names.class_names == ("once", "safe", "safe", "keyed")
    assert third.rules.message_classes[:2] == first.rules.message_classes
    assert second.names.class_numbers() == {"safe": 2, "keyed": 3}
    assert third.names.class_numbers() == {"safe": 1}
    assert third.names.known_class("keyed") == 3 and third.names.known_class("other") is None


def test_zones_and_kinds_keep_their_numbers() -> None:
    """Guards against an attempt's zone, or an endpoint's kind, that is read as another one after a reload."""
    first = numbered((SAFE,), zone=1)
    extra = {**settings()["extra"], "kindBatch": [9, 7], "routesApart": [True, True]}
    changed = numbered((SAFE,), zones=("far", "new"), kinds=("third", "many"), zone=0, extra=extra)
    found = keep_numbers(first, changed)
    assert found.names.zones == ("near", "far", "new") and found.rules.zone == 1
    assert found.names.kinds == ("one", "many", "third")
    assert found.rules.kind_batch == (1, 7, 9) and found.rules.routes_apart == (False, True, True)
