"""Five real senders while endpoints are replaced: nothing is sent to draining endpoints once the change
counts as notified, under any fault of discovery. The rig's oracle judges the runs.
"""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from mountgauge.lab.rig.events import Event
from tests.rigs import DRAINS, MUTATED, Played

SUBSCRIBED = {  # by member: the fault of its link to discovery when it subscribes to the list
    "m01": "a cut that leaves its watch half open",
    "m02": "SIGKILL with a change while it is down",
    "m03": "refused, then a cut in the watch that it opened next",
    "m04": "SIGHUP with a new address while discovery is slow",
    "m05": "SIGTERM with a change while it is down",
}


@pytest.fixture(scope="module")
def played() -> Mapping[str, Played]:
    return Played.all("drains")


def broken(one: Played, member: str) -> list[str]:
    return [str(violation) for violation in one.judged.violations if violation.member == member]


def of(one: Played, kind: str, member: str) -> list[Event]:
    return [event for event in one.events if event.kind == kind and event.fields.get("member") == member]


@pytest.mark.parametrize("member", SUBSCRIBED, ids=SUBSCRIBED.values())
def test_no_rule_is_broken_with_subscribed_lists(played: Mapping[str, Played], member: str) -> None:
    assert broken(played["drains"], member) == []


def test_no_rule_is_broken_with_pushed_lists(played: Mapping[str, Played]) -> None:
    """A plain change, an outage, SIGTERM (m05), a new address by SIGHUP (m04), SIGKILL (m02)."""
    one = played["drains-pushed"]
    found = {member: broken(one, member) for member in one.schedule.names}
    assert {member: (len(verdicts), verdicts[:2]) for member, verdicts in found.items() if verdicts} == {}


@pytest.mark.parametrize("scene", MUTATED)
def test_the_oracle_detects_a_mutated_sender_without_a_written_list(
    played: Mapping[str, Played], scene: str
) -> None:
    """The watch of m01 stays silent: no list with the change is written to it."""
    assert set(played[scene].judged.rules) == {"drain"}
    assert broken(played[scene], "m01"), "by the silence alone"


@pytest.mark.parametrize("scene", DRAINS)
def test_the_senders_serve_throughout(played: Mapping[str, Played], scene: str) -> None:
    one = played[scene]
    assert one.judged.delivered > 0.9 * one.judged.taken > 1000


def test_each_change_coincides_with_its_fault(played: Mapping[str, Played]) -> None:
    """Each member had its fault: otherwise its verdict would prove nothing."""
    one = played["drains"]
    changes = [event.at for event in one.events if event.kind == "change" and event.at > 0]
    assert len(changes) == 7
    for member in ("m01", "m03", "m04"):
        (began,) = (event.at for event in of(one, "discovery-link", member) if event.fields["silent"])
        assert any(began < at < began + 1.0 for at in changes), member
        written = [event for event in of(one, "told", member) if began < event.at < began + 0.4]
        assert written == [], f"{member} received a list during the cut"
    assert of(one, "list-end", "m03"), "its watch before the cut was reset"
    assert len(of(one, "sighup", "m04")) == 1
    for member in ("m02", "m05"):
        (gone,), (_, ready) = (
            [event.at for event in of(one, "gone", member) if event.at < one.schedule.seconds],
            [event.at for event in of(one, "ready", member)],
        )
        fault_at = next(event.at for event in one.events if event.get("who") == [member])
        assert fault_at < gone < ready and any(fault_at < at < ready for at in changes), member
