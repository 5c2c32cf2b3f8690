"""The rig's parts without I/O: capacity model, link conditions, schedules, and each rule of the oracle."""

from __future__ import annotations

import random
import tomllib
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.core.config import ConfigError
from mountgauge.http1 import request
from mountgauge.lab.rig.capacity_model import CapacityModel
from mountgauge.lab.rig.events import Event, Events
from mountgauge.lab.rig.list_calls import PATH, ListCallRecorder
from mountgauge.lab.rig.metrics import RunMetrics, summary
from mountgauge.lab.rig.network_conditions import NetworkConditions
from mountgauge.lab.rig.oracle import Judgement, judge
from mountgauge.lab.rig.processes import parse_log_line
from mountgauge.lab.rig.schedule import Schedule, parse, select_members

SMALL = """
name = "small"
seconds = 10
[[class]]
name = "safe"
[[class]]
name = "once"
semantics = "at_most_once"
[[class]]
name = "keyed"
semantics = "deduplicated"
repeat_window_s = 2
[[partner]]
dest = 7
[[load]]
dest = 7
grade = "safe"
"""


def schedule(extra: str = "") -> Schedule:
    return parse(tomllib.loads(SMALL + extra))


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.floats(0.001, 0.4), min_size=5, max_size=120),
    st.floats(1, 200), st.floats(0.05, 1), st.floats(0, 1), st.floats(0, 8),
)  # fmt: skip
def test_a_partner_never_accepts_more_than_its_capacity(
    gaps: list[float], rate: float, depth: float, cost: float, warm: float
) -> None:
    one = CapacityModel(rate, depth, cost, 0.2, warm)
    one.go_cold(0.0)
    now, taken, times = 0.0, 0, list[float]()
    for gap in gaps:
        now += gap
        times.append(now)
        taken += one.call(now)
    assert taken <= one.capacity_between(0.0, now, 0.001) + max(1.0, rate * depth) + 1e-6


def test_an_overloaded_partner_becomes_cold_again_and_another_warms_up() -> None:
    one = CapacityModel(100, cold_share=0.2, warm_s=5, falls_at=1.5)
    one.go_cold(0.0)
    for index in range(500):  # 50 calls/s against a capacity of 20 to 36
        one.call(index / 50)
    assert one.fall_count >= 5 and one.capacity_at(10.0) < 40
    calm = CapacityModel(100, cold_share=0.2, warm_s=5, falls_at=1.5)
    calm.go_cold(0.0)
    assert all(calm.call(index / 20) for index in range(120)) and not calm.fall_count
    assert calm.capacity_at(6.0) == 100
    calm.close_for(6.0, 1.0)
    assert calm.capacity_at(6.5) == 0 and not calm.call(6.5) and calm.capacity_at(7.0) == 20


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 9000), st.floats(0, 0.3)), max_size=60), st.integers(0, 99))
def test_a_stream_keeps_its_order_and_throttle(pieces: list[tuple[int, float]], seed: int) -> None:
    conditions, rng = NetworkConditions(delay_s=0.05, jitter_s=0.2, throttle=10_000), random.Random(seed)
    now = free = last = 0.0
    sent = 0
    for size, gap in pieces:
        now += gap
        arrives, free = conditions.stream(size, now, free, rng)
        sent += size
        assert arrives >= last and arrives >= now + 0.05 and arrives >= sent / 10_000
        last = arrives


def test_a_silent_link_drops_data_in_its_silent_direction_only() -> None:
    rng = random.Random(1)
    silent_up, silent = NetworkConditions(silent="up"), NetworkConditions(silent="both")
    assert silent_up.datagram(True, rng) == [] != silent_up.datagram(False, rng)
    assert silent.is_silent(True) and silent.is_silent(False)
    lost = sum(not NetworkConditions(drop=0.3).datagram(True, rng) for _ in range(2000))
    assert 500 < lost < 700
    doubled = NetworkConditions(double=0.5)
    assert sum(len(doubled.datagram(True, rng)) for _ in range(2000)) in range(2850, 3150)


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        ("[fleet]\nmembers = 0", "fleet.members: must be above 0"),
        ("[fleet]\nfront = 'gate'", "fleet.front: operator or platform"),
        ("[fleet]\nfront = 'platform'\ngossip = true", "fleet.gossip: members on the platform never talk"),
        ("[fleet]\nspeed = 3", "fleet.speed: unknown setting"),
        ("[[fault]]\nat = 1\ndo = 'melt'", "fault[0].do: not one of"),
        ("[[fault]]\nat = 1\ndo = 'kill'\nwho = 9", "fault[0].who: the fleet has 3 members"),
        ("[[fault]]\nat = 1\ndo = 'kill'\nfolder = 'eaten'", "fault[0].folder: not one of"),
        ("[[fault]]\nat = 1\ndo = 'cold'\ndest = 8", "fault[0].dest: no partner has 8"),
        ("[[fault]]\nat = 1\ndo = 'discovery-down'", "fault[0].do: discovery-down is for fleet.front"),
        ("[[fault]]\nat = 1\ndo = 'link'\nsilent = 'left'", "fault[0].silent: both, up or down"),
        ("[[fault]]\nat = 1\ndo = 'split'", "fault[0].groups: two or more lists of names"),
        ("[[load]]\ndest = 7\ngrade = 'gold'", "load[1].grade: no class 'gold'"),
    ],
)
def test_invalid_schedules_are_rejected_with_one_line(extra: str, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        schedule(extra)
    assert str(error.value).startswith(expected) and "\n" not in str(error.value)


def test_a_seed_always_selects_the_same_members() -> None:
    text = "[fleet]\nmembers = 10\n" + "".join(
        f"[[fault]]\nat = {at}\ndo = 'kill'\nwho = {who}\n"
        for at, who in ((1, "4"), (2, "'rest'"), (3, "'m0*'"))
    )
    one = schedule(text)
    first = select_members(one, 0, [])
    assert len(first) == 4 and first == select_members(schedule(text), 0, [])
    assert select_members(one, 0, []) != select_members(one.with_(seed=2), 0, [])
    assert sorted(first + select_members(one, 1, first)) == one.names
    assert len(select_members(one, 2, [])) == 9


def test_log_lines_are_parsed() -> None:
    assert parse_log_line('ts=1.0 event=phase to=full why="a \\"b\\" c" n=3') == {
        "ts": "1.0", "event": "phase", "to": "full", "why": 'a "b" c', "n": "3"
    }  # fmt: skip
    assert parse_log_line("Traceback (most recent call last):") == {} == parse_log_line("")


# The oracle: a clean history, then histories with one change each


def at(when: float, kind: str, **fields: Any) -> Event:
    return Event(when, kind, {"member": "m01", **fields})


def message(msg_id: str = "a", grade: str = "safe", when: float = 0.0, left: float = 3.0) -> list[Event]:
    same = {"id": msg_id, "key": "k" + msg_id, "grade": grade, "dest": 7}
    return [at(when, "handed", left=left, **same), at(when + 0.01, "taken", left=left, **same)]


def call(
    number: int, when: float, status: int | None = 200, duration_s: float = 0.1, **more: Any
) -> list[Event]:
    same = {"call": number, "id": "a", "dest": 7, "endpoint": "e7-0", **more}
    wait = same.pop("wait", 0.0)
    if status is None:
        return [at(when, "call", **same), at(when + duration_s, "broken", ran=True, **same)]
    return [
        at(when, "call", **same),
        at(when + duration_s, "answer", status=status, ran=True, wait=wait, **same),
    ]


def listed(when: float, state: str) -> Event:
    return at(when, "told", version=1, full=True, states={"e7-0": state})


DEFERRED = at(1.0, "notice", id="a", status="deferred")
END = [at(30.0, "bears", dest=7, rate=100.0)]
CLEAN = [*message(), *call(1, 0.1, 503), *call(2, 0.5, 500), *call(3, 1.0)]


def rules(*events: Event, text: str = "") -> list[str]:
    return [one.rule for one in judge(schedule(text), [*events, *END]).violations]


def test_the_oracle_finds_nothing_in_a_clean_history() -> None:
    assert rules(*CLEAN) == []
    assert rules(*message(grade="once"), *call(1, 0.1, 503), *call(2, 0.5, None)) == ["final"]
    assert rules(*message(), at(2.9, "notice", id="a", status="deferred")) == []
    assert rules(*message(), DEFERRED, *call(1, 1.5)) == [], "repeats are harmless in this class"
    assert rules(*message(grade="once"), *call(1, 0.5, 503), DEFERRED) == [], "it did not run"


@pytest.mark.parametrize(
    ("events", "rule"),
    [
        ([*message()], "final"),
        ([*message(), *call(1, 3.3)], "final"),
        ([*message(), *(at(n, "notice", id="a", status=f"{n}") for n in (1, 2))], "ends"),
        ([*message(), *call(1, 0.1, 200, 1.0), *call(2, 0.2)], "two-out"),
        ([*message(grade="once"), *call(1, 0.1, 500), *call(2, 1.0)], "repeat"),
        ([*message(grade="once"), *call(1, 0.1, None), *call(2, 1.0)], "repeat"),
        ([*message(grade="keyed"), *call(1, 0.1, 500), *call(2, 2.4)], "repeat"),
        ([*message(), *(one for n in range(9) for one in call(n, 0.1 + n / 4))], "attempts"),
        ([*message(), *call(1, 0.1, 429, wait=1.0), *call(2, 0.9)], "wait"),
        ([*message(), listed(0.0, "leaving"), *call(1, 0.5)], "drain"),
        (call(1, 0.5), "unasked"),
        ([*message(grade="once"), DEFERRED, *call(1, 1.5)], "handed-back"),
        ([*message(grade="once"), *call(1, 0.5, 500), DEFERRED], "handed-back"),
        ([message(grade="once")[0], at(0.1, "refused", id="a"), *call(1, 0.5)], "handed-back"),
    ],
)  # fmt: skip
def test_the_oracle_names_each_broken_rule(events: list[Event], rule: str) -> None:
    assert rules(*events) == [rule]


BUDGETS = """
[fleet]
gossip = true
[[budget]]
name = "calls"
dest = 7
whole = 8
burst = 4
[[budget]]
name = "out"
dest = 7
kind = "concurrent"
whole = 3
"""


def test_the_oracle_checks_calls_against_fleet_wide_budgets() -> None:
    def calls(gap: float, duration_s: float) -> list[Event]:
        each = [[*message(f"b{n}"), *call(n, 0.1 + n * gap, 200, duration_s, id=f"b{n}")] for n in range(12)]
        return sorted((one for some in each for one in some), key=lambda one: one.at)

    assert rules(*calls(0.13, 0.1), text=BUDGETS) == []
    assert rules(*calls(0.08, 0.1), text=BUDGETS)[0] == "budget", (
        "12 calls in 0.88 s, of which 11 are allowed"
    )
    assert rules(*calls(0.13, 0.5), text=BUDGETS)[0] == "budget", "four calls are in flight at once"


def test_the_oracle_applies_the_exceptions_of_each_rule() -> None:
    killed = at(1.0, "fault", do="kill", who=["m01"], folder=["lost"])
    assert rules(*message(), killed, at(1.0, "gone", code=-9)) == [], "its folder was lost with it"
    two_outcomes = [at(n, "notice", id="a", status=f"{n}") for n in (1, 3)]
    restored = at(2.0, "fault", do="kill", who=["m01"], folder=["old"])
    assert rules(*message(), *two_outcomes, restored) == [], "its old folder has no record of the outcome"
    killed_in_advance = at(-0.1, "fault", do="kill", who=["m01"], folder=["foreign"])
    assert rules(*message(), killed_in_advance, at(0.1, "gone", code=-9)) == [], (
        "accepted between the fault and the exit"
    )
    assert rules(*message(), killed_in_advance, at(-0.05, "gone", code=-9), at(-0.04, "ready", life=2)) == [
        "final"
    ]
    copied = at(0.2, "fault", do="kill", who=["m02"], folder=["foreign"])
    twice = [*call(1, 0.1, 500), *call(2, 1.0, member="m02")]
    assert rules(*message(grade="once"), copied, *twice) == [], "its folder was a copy of the other member's"
    assert rules(*message(grade="once"), *twice) == ["repeat"]
    kept = at(1.0, "fault", do="kill", who=["m01"], folder=["kept"])
    again = [at(1.0, "gone", code=-9), at(4.0, "start", life=2), at(4.5, "ready", life=2)]
    assert rules(*message(), kept, *again, *call(1, 5.5)) == [], "1.5 s after it is ready are excused"
    assert rules(*message(), kept, *again, *call(1, 6.6)) == ["final"]
    assert rules(*message(), *call(1, 0.1, 429, wait=1.0), at(0.5, "start", life=2), *call(2, 0.9)) == []
    assert rules(*message(), listed(0.0, "leaving"), listed(1.0, "active"), *call(1, 1.5)) == []


@pytest.mark.parametrize("first_bytes", [1, 7, 30, 60])
def test_a_call_for_the_list_is_recorded_however_it_is_split(first_bytes: int) -> None:
    """Seed 722 of the soak: a request whose first part had 7 bytes was not recorded."""
    events = Events(lambda: 1.0)
    recorder = ListCallRecorder("m01", "1", events)
    call = request("GET", f"{PATH}?index=5&wait=2000", "discovery", {})
    for part in (call[:first_bytes], call[first_bytes:], request("POST", "/v1/notices", "discovery", {})):
        recorder.data_sent(1, part)
    assert [(one.kind, one.fields["wait_s"]) for one in events.all] == [("list-ask", 2.0)]


def test_figures_of_a_known_history() -> None:
    bears = [at(n / 10, "bears", dest=7, rate=20.0) for n in range(0, 100)]
    offers = [at(n / 10, "offer", id=str(n), key=str(n), dest=7, grade="safe", left=3.0) for n in range(100)]
    calls = [one for n in range(100) for one in call(n, n / 10, 200 if n % 2 else 503, 0.01)]
    found = RunMetrics([*bears, *offers, *calls])
    assert abs(found.capacity_between(0, 5) - 100) < 1 and found.refused_share(0, 10) == 0.5
    assert abs(found.served_share(0, 5) - 0.25) < 0.02
    total = summary([*bears, *offers, *calls], Judgement(), 0.0, 10.0)
    assert total["endless"] == 1 and total["full_service_s"] is None
