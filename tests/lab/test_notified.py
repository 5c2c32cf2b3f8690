"""When a change of the list counts as notified: each clause where it applies and where it does not, then the
events from which the oracle derives it.
"""

from __future__ import annotations

import math
import tomllib
from dataclasses import replace
from typing import Any

import pytest

from mountgauge.core.config import ConfigError
from mountgauge.lab.rig.events import Event
from mountgauge.lab.rig.list_calls import read_wait
from mountgauge.lab.rig.list_history import history
from mountgauge.lab.rig.notified import (
    Change,
    ListCall,
    ProcessRun,
    Slowness,
    Span,
    forbidden_spans,
    notified_at,
)
from mountgauge.lab.rig.oracle import judge
from mountgauge.lab.rig.schedule import Schedule, parse

NEVER = math.inf
CHANGE = Change("e1-0", version=5, at=4.0)
RUN = ProcessRun(began=-1.0, known=4, ask_within_s=10.0)
WATCH = ListCall(began=0.0, wait_s=10.0)


def run(*calls: ListCall, **changes: Any) -> ProcessRun:
    return replace(RUN, calls=calls, **changes)


# Each clause: the member's calls, their faults, and when the change of version 5 at 4.0 s counts

WRITTEN = [
    pytest.param(run(replace(WATCH, ended=4.1, version=5)), 4.1, id="written when it was made"),
    pytest.param(run(replace(WATCH, ended=7.0, version=6)), 7.0, id="written with a later change"),
    pytest.param(
        run(replace(WATCH, ended=10.0, version=4), WATCH), 10.0, id="an older list does not contain it"
    ),
    pytest.param(run(known=5), 4.0, id="the process was started with it"),
]
SILENT = [
    pytest.param(run(WATCH, silences=[Span(3.0, 5.0)]), 9.0, id="6 s after it fell silent, before its wait"),
    pytest.param(
        run(replace(WATCH, wait_s=2.0), silences=[Span(3.0, 5.0)]),
        9.0,
        id="6 s after it fell silent, after its wait",
    ),
    pytest.param(
        run(replace(WATCH, began=3.5, wait_s=2.0), silences=[Span(3.0, 5.0)]), 9.5, id="begun in the silence"
    ),
    pytest.param(run(WATCH, silences=[Span(-3.0, -1.0)]), 10.0, id="a silence before the watch"),
    pytest.param(
        run(WATCH, silences=[Span(3.0, 20.0)], cuts=[Span(3.0, 20.0)]), 9.0, id="still cut at that moment"
    ),
    pytest.param(
        run(WATCH, silences=[Span(3.0, 5.0)], refusing=[Span(6.0, 7.0)]),
        13.0,
        id="a refusal restarts the 6 s",
    ),
    pytest.param(
        run(WATCH, silences=[Span(3.0, 5.0)], slow=[Slowness(Span(3.0, 13.0), 1.5)]),
        9.0,
        id="slow discovery adds nothing",
    ),
    pytest.param(
        run(WATCH, ListCall(3.5, 0.0, 3.9, version=4), silences=[Span(3.0, 3.2)]),
        10.0,
        id="a newer call was answered before the change",
    ),
]
REACHED = [
    pytest.param(run(WATCH), 10.0, id="a watch in flight that is never written to"),
    pytest.param(run(replace(WATCH, ended=3.0)), 10.0, id="failed before: 6 s after the change"),
    pytest.param(run(replace(WATCH, ended=5.0)), 10.0, id="abandoned after the change: 6 s after the change"),
    pytest.param(
        run(replace(WATCH, ended=3.0), refusing=[Span(3.0, 8.0)]), 14.0, id="6 s after discovery is back"
    ),
    pytest.param(
        run(replace(WATCH, ended=3.0), refusing=[Span(3.0, 8.0), Span(13.0, 13.5)]),
        19.5,
        id="a refusal restarts them",
    ),
    pytest.param(
        run(replace(WATCH, ended=3.0), ListCall(5.0, 0.0, 7.0, refused=True)),
        13.0,
        id="this member's call was refused",
    ),
    pytest.param(
        run(replace(WATCH, ended=3.0), ListCall(3.2, 0.0, 6.0), ListCall(7.0, 0.0, 9.0)),
        10.0,
        id="lost calls do not defer it",
    ),
    pytest.param(
        run(replace(WATCH, ended=2.0), ListCall(2.2, 0.0, 3.0, version=4), ListCall(3.1, 20.0)),
        10.0,
        id="a call that was answered before",
    ),
    pytest.param(
        run(replace(WATCH, ended=3.0), slow=[Slowness(Span(0.0, 20.0), 2.5)]), 10.0, id="slow discovery"
    ),
    pytest.param(run(began=6.5), 10.0, id="for a new process without calls from the change on"),
    pytest.param(run(began=13.0), 13.0, id="from its start, if that is later"),
]
MOVED = [
    pytest.param(run(moves=[4.5]), 8.5, id="4 s after SIGHUP"),
    pytest.param(run(moves=[4.5, 6.0]), 8.5, id="two in quick succession: the first"),
    pytest.param(run(moves=[4.5], refusing=[Span(5.0, 6.0)]), 8.5, id="the new address is down in between"),
    pytest.param(run(moves=[4.5], refusing=[Span(5.0, 9.0)]), 15.0, id="the new address is down as they end"),
    pytest.param(run(WATCH, moves=[3.0]), 7.0, id="made after SIGHUP, and the address has not answered"),
    pytest.param(
        run(ListCall(3.1, 0.0, 3.2, version=4), ListCall(3.2, 10.0), moves=[3.0]),
        10.0,
        id="made after the new address has answered",
    ),
]
UNWATCHED = [
    pytest.param(run(ask_within_s=2.0), 6.0, id="without calls: askWithin after the change"),
    pytest.param(
        run(ListCall(3.5, 0.0, 3.8, version=4), ask_within_s=2.0), 6.0, id="askWithin after the last call"
    ),
    pytest.param(
        run(ListCall(1.0, 0.0, 1.5, version=4), ListCall(5.0, 30.0), ask_within_s=2.0),
        10.0,
        id="the next call begins before it",
    ),
    pytest.param(
        run(ListCall(1.0, 0.0, 1.5, version=4), refusing=[Span(5.0, 5.5)], ask_within_s=2.0),
        7.5,
        id="counted anew when discovery is back",
    ),
    pytest.param(
        run(ListCall(1.0, 0.0, 1.5), ask_within_s=1.2), 8.8, id="four times as long after a failed call"
    ),
]
PUSHED = [
    pytest.param(run(pushed=True), 4.0, id="at once, without a watch"),
    pytest.param(run(pushed=True, began=6.0), 6.0, id="from the start of a new process"),
    pytest.param(run(pushed=True, down=[Span(3.0, 8.0)]), 8.0, id="as discovery returns"),
    pytest.param(run(pushed=True, moves=[3.0]), 7.0, id="4 s after SIGHUP"),
    pytest.param(run(pushed=True, cuts=[Span(3.5, 4.5)]), 10.0, id="the link to the agent is cut"),
    pytest.param(
        run(WATCH, pushed=True, silences=[Span(3.5, 3.9)]), 9.5, id="a watch that was silent in between"
    ),
    pytest.param(run(WATCH), 10.0, id="not if lists are not pushed"),
]


@pytest.mark.parametrize(("one", "at"), [*WRITTEN, *SILENT, *REACHED, *MOVED, *UNWATCHED, *PUSHED])
def test_a_change_counts_as_notified(one: ProcessRun, at: float) -> None:
    assert notified_at(CHANGE, one) == pytest.approx(at)


def test_the_earliest_clause_applies() -> None:
    silent = run(replace(WATCH, ended=11.5), ListCall(11.5, 10.0, 11.8, version=5), silences=[Span(3.0, 5.0)])
    assert notified_at(CHANGE, silent) == 9.0
    assert notified_at(CHANGE, replace(silent, moves=[4.1])) == 8.1
    assert notified_at(CHANGE, run(replace(WATCH, ended=8.0, version=5), silences=[Span(3.0, 5.0)])) == 8.0


def test_an_older_list_revokes_the_change_until_it_counts_again() -> None:
    one = run(
        ListCall(3.0, 10.0, 4.1, version=5),
        ListCall(4.1, 0.0, 6.0, version=4),
        ListCall(6.0, 10.0, 7.0, version=5),
    )
    assert forbidden_spans(CHANGE, one) == [Span(4.1, 6.0), Span(7.0)]


def test_a_change_counts_until_the_endpoint_is_active_again_or_the_process_exits() -> None:
    one = run(ListCall(3.0, 10.0, 4.1, version=5))
    assert forbidden_spans(replace(CHANGE, until=9.0), one) == [Span(4.1, 9.0)]
    assert forbidden_spans(CHANGE, replace(one, ended=8.0)) == [Span(4.1, 8.0)]
    assert forbidden_spans(CHANGE, replace(one, ended=4.0)) == []
    assert forbidden_spans(replace(CHANGE, until=-2.0), one) == []


# From events


def at(when: float, kind: str, **fields: Any) -> Event:
    return Event(when, kind, {"member": "m01", **fields})


def changed(when: float, version: int, **states: str) -> Event:
    return at(
        when, "change", version=version, states={f"e1-{name[1:]}": state for name, state in states.items()}
    )


STARTED = [
    changed(-2.0, 1, e0="active", e1="active"), at(-1.5, "known", version=1), at(-1.0, "start"),
    at(0.0, "ready"),
    at(0.1, "list-ask", connection="a/1", watch=True, wait_s=10.0),
]  # fmt: skip
DRAINED = changed(4.0, 2, e0="leaving", e1="active")
REMOVED = changed(5.0, 3, e1="active")


def call(when: float, endpoint: str = "e1-0") -> Event:
    return at(when, "call", call=int(when * 100), id="a", dest=1, endpoint=endpoint)


def test_changes_and_calls_are_read_from_events() -> None:
    written = at(4.1, "told", version=2, full=True, states={"e1-0": "leaving", "e1-1": "active"})
    again = at(4.2, "list-ask", connection="a/1", watch=True, wait_s=10.0)
    ended = at(7.0, "list-end", connection="a/1")
    elsewhere = at(6.0, "list-end", connection="a/0")
    found = history([*STARTED, DRAINED, written, again, REMOVED, elsewhere, ended], 10.0, False)
    assert found.changes() == {"e1-0": [Change("e1-0", 2, 4.0)]}
    (process,) = found.process_runs("m01")
    assert process.calls == [ListCall(0.1, 10.0, 4.1, version=2), ListCall(4.2, 10.0, 7.0)]
    assert (process.began, process.known) == (-1.0, 1)


def test_a_call_that_discovery_never_answers_is_silent_from_then_on() -> None:
    found = history([*STARTED, at(0.2, "list-hung"), DRAINED], 10.0, True)
    (process,) = found.process_runs("m01")
    assert process.calls == [ListCall(0.1, 10.0, hung_at=0.2)]
    assert notified_at(CHANGE, replace(process, known=1)) == 6.2, "not at once, although lists are pushed"


def test_an_answer_belongs_to_the_call_on_its_connection() -> None:
    """Seed 10206 of the soak: an older call was answered while the newest one hung."""
    beside = at(3.0, "list-ask", connection="a/2", watch=True, wait_s=0.001)
    hung = at(3.1, "list-hung", connection="a/2")
    written = at(3.5, "told", connection="a/1", version=1, full=True, states={})
    found = history([*STARTED, beside, hung, written, DRAINED], 10.0, True)
    (process,) = found.process_runs("m01")
    assert process.calls == [ListCall(0.1, 10.0, 3.5, version=1), ListCall(3.0, 0.001, hung_at=3.1)]
    assert notified_at(CHANGE, process) == 9.1, "the call in flight at the change is silent"
    late = at(5.0, "told", connection="a/2", version=2, full=True, states={})
    found = history([*STARTED, beside, written, DRAINED, late], 10.0, True)
    assert found.process_runs("m01")[0].calls[-1] == ListCall(3.0, 0.001, 5.0, version=2)


def test_faults_of_discovery_and_of_the_link_are_read_from_events() -> None:
    found = history(
        [
            *STARTED,
            at(1.0, "discovery", down=True, serves=True, slow_s=0.0),
            at(2.0, "discovery", down=False, serves=True, slow_s=1.5),
            at(3.0, "discovery", down=False, serves=False, slow_s=0.0),
            at(3.5, "discovery", down=False, serves=True, slow_s=0.0),
            at(5.0, "discovery-link", silent=True, refuses=False),
            at(6.0, "discovery-link", silent=False, refuses=True),
            at(6.5, "discovery-link", silent=False, refuses=False),
            at(7.0, "dial-refused"),
            at(8.0, "sighup"),
        ],
        10.0,
        False,
    )
    (process,) = found.process_runs("m01")
    assert process.down == [Span(1.0, 2.0)] and process.slow == [Slowness(Span(2.0, 3.0), 1.5)]
    assert process.silences == [Span(5.0, 6.0)] and process.moves == [8.0]
    assert process.cuts == [Span(5.0, 6.5)] and process.refusing == [Span(1.0, 2.0), Span(6.0, 6.5)]
    assert len(process.calls) == 1, "a connection attempt for something else during a watch"


def test_a_watch_states_how_long_it_may_wait() -> None:
    assert read_wait("/registry/instances?index=4&wait=2500") == (True, 2.5)
    assert read_wait("/registry/instances") == (False, 0.0)


# In the oracle


def schedule(fleet: str = "front = 'platform'\nmembers = 1") -> Schedule:
    text = f"name = 'one'\nseconds = 30\n[fleet]\n{fleet}\n[[partner]]\ndest = 1\nendpoints = 2\n"
    return parse(tomllib.loads(text))


def drains(*events: Event, fleet: str = "front = 'platform'\nmembers = 1") -> list[str]:
    return [one.why for one in judge(schedule(fleet), events).violations if one.rule == "drain"]


def test_the_oracle_reports_a_call_after_a_silent_watch_counts() -> None:
    silent = [
        at(3.0, "discovery-link", silent=True, refuses=False),
        at(5.0, "discovery-link", silent=False, refuses=False),
    ]
    events = [*STARTED, *silent, DRAINED]
    assert drains(*events, call(9.3)) == []
    assert drains(*events, call(9.5), call(9.6, "e1-1")) == [
        "e1-0 left at 4.000 (version 2), which counted as notified 0.500 s before"
    ]
    assert drains(*STARTED, DRAINED, call(9.5)) == [], "the watch was not silent"


def test_the_oracle_reports_a_call_once_by_the_written_list() -> None:
    written = at(4.1, "told", version=2, full=True, states={"e1-0": "leaving", "e1-1": "active"})
    assert drains(*STARTED, DRAINED, written, call(4.5)) == [
        "e1-0 was listed as draining or removed 0.400 s before"
    ]


def test_the_list_that_a_process_was_started_with_counts_as_notified() -> None:
    restarted = [at(5.0, "gone", code=-9), at(5.5, "known", version=2), at(5.6, "start"), at(6.0, "ready")]
    assert len(drains(*STARTED, DRAINED, *restarted, call(6.1))) == 1
    stale = [at(5.0, "gone", code=-9), at(5.5, "known", version=1), at(5.6, "start"), at(6.0, "ready")]
    assert drains(*STARTED, DRAINED, *stale, call(6.1), call(10.2)) == []
    assert len(drains(*STARTED, DRAINED, *stale, call(10.5))) == 1, "it made no call"


def test_a_change_that_an_agent_has_counts_at_once() -> None:
    pushed = "front = 'platform'\nmembers = 1\ndiscovery = 'automatic'"
    assert len(drains(*STARTED, DRAINED, call(4.4), fleet=pushed)) == 1
    assert drains(*STARTED, DRAINED, call(4.2), fleet=pushed) == []


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        ("[fleet]\ndiscovery = 'pushed'", "fleet.discovery: subscribe or automatic"),
        ("[fleet]\ndiscovery = 'automatic'", "fleet.discovery: automatic is for fleet.front"),
        ("[[fault]]\nat = 1\ndo = 'move-discovery'", "fault[0].do: move-discovery is for fleet.front"),
        ("[[fault]]\nat = 1\ndo = 'discovery-reset'", "fault[0].do: discovery-reset is for fleet.front"),
        ("[[fault]]\nat = 1\ndo = 'link'\nhalf_open = true", "fault[0].half_open: needs silent"),
        (
            "[[fault]]\nat = 1\ndo = 'link'\nsilent = 'both'\nhalf_open = true",
            "fault[0].half_open: only between members and discovery",
        ),
    ],
)
def test_invalid_schedules_are_rejected_with_one_line(extra: str, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse(tomllib.loads(f"name = 'one'\nseconds = 30\n{extra}\n[[partner]]\ndest = 1\n"))
    assert str(error.value).startswith(expected) and "\n" not in str(error.value)
