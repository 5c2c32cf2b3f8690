"""A handful of real senders while endpoints are replaced: nothing goes to those that leave once the change
counts as notified, whatever befell discovery. Judged by the rig's oracle.
"""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from mountgauge.lab.rig.events import Event
from tests.rigs import DRAINS, MUTATED, Played

ASKED = {  # what befalls the member's way to discovery where lists are asked for
    "m01": "a cut that leaves its watch half open",
    "m02": "SIGKILL with a change while it is away",
    "m03": "refused, then a cut in the watch that it opened next",
    "m04": "SIGHUP with a new address while discovery is slow",
    "m05": "SIGTERM with a change while it is away",
}


@pytest.fixture(scope="module")
def played() -> Mapping[str, Played]:
    return Played.all("drains")


def broken(one: Played, member: str) -> list[str]:
    return [str(verdict) for verdict in one.judged.violations if verdict.member == member]


def of(one: Played, kind: str, member: str) -> list[Event]:
    return [event for event in one.events if event.kind == kind and event.fields.get("member") == member]


@pytest.mark.parametrize("member", ASKED, ids=ASKED.values())
def test_no_rule_is_broken_where_lists_are_asked_for(played: Mapping[str, Played], member: str) -> None:
    assert broken(played["drains"], member) == []


def test_no_rule_is_broken_where_lists_are_pushed(played: Mapping[str, Played]) -> None:
    """A plain change, an outage, SIGTERM (m05), a new address by SIGHUP (m04), SIGKILL (m02)."""
    one = played["drains-pushed"]
    found = {member: broken(one, member) for member in one.schedule.names}
    assert {member: (len(verdicts), verdicts[:2]) for member, verdicts in found.items() if verdicts} == {}


@pytest.mark.parametrize("scene", MUTATED)
def test_the_oracle_names_a_mutated_sender_that_was_never_told(
    played: Mapping[str, Played], scene: str
) -> None:
    """The watch of m01 stays silent: no list that names the change is written to it."""
    assert set(played[scene].judged.rules) == {"drain"}
    assert broken(played[scene], "m01"), "by its silence alone"


@pytest.mark.parametrize("scene", DRAINS)
def test_the_senders_serve_throughout(played: Mapping[str, Played], scene: str) -> None:
    one = played[scene]
    assert one.judged.delivered > 0.9 * one.judged.taken > 1000


def test_each_change_meets_its_fault(played: Mapping[str, Played]) -> None:
    """What was to befall a member did befall it: else its verdict would prove nothing."""
    one = played["drains"]
    changes = [event.at for event in one.events if event.kind == "change" and event.at > 0]
    assert len(changes) == 7
    for member in ("m01", "m03", "m04"):
        (began,) = (event.at for event in of(one, "discovery-link", member) if event.fields["silent"])
        assert any(began < at < began + 1.0 for at in changes), member
        heard = [event for event in of(one, "told", member) if began < event.at < began + 0.4]
        assert heard == [], f"{member} heard of something in the cut"
    assert of(one, "list-end", "m03"), "its watch before the cut was reset"
    assert len(of(one, "sighup", "m04")) == 1
    for member in ("m02", "m05"):
        (gone,), (_, ready) = (
            [event.at for event in of(one, "gone", member) if event.at < one.schedule.seconds],
            [event.at for event in of(one, "ready", member)],
        )
        struck = next(event.at for event in one.events if event.get("who") == [member])
        assert struck < gone < ready and any(struck < at < ready for at in changes), member
