"""Fleets of real senders that restart under hard conditions. Checked by counts and the order of events."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import pytest

from tests.rigs import FLEETS, Played


@pytest.fixture(scope="module")
def played() -> dict[str, Played]:
    return Played.all("fleets")


def full(one: Played) -> set[str]:
    """The members that reached full service after the fault; on a slow machine some do not in time."""
    return {line["member"] for line in one.logs("full-service") if line["at"] > 0}


def test_no_rule_is_broken_by_any_fleet(played: dict[str, Played]) -> None:
    assert set(played) == set(FLEETS)
    for name, one in played.items():
        assert [str(broken) for broken in one.judged.violations] == [], name
        assert one.judged.delivered > 200, name


def test_a_fleet_that_lost_its_folders_does_not_overload_a_cold_partner(played: dict[str, Played]) -> None:
    """Without the ramp the partner fails five to eight times and refuses most calls."""
    one = played["all-lost"]
    assert sum(event.kind == "fell" for event in one.events) <= 1
    answers = one.statuses(0.5, 10)
    assert answers[503] <= 0.2 * answers.total() and answers[200] > 150
    assert {line["found"] for line in one.logs("life") if line["at"] > 0} == {"first"}
    assert len(full(one)) >= 0.6 * len(one.schedule.names)


def test_a_fleet_killed_again_while_ramping_has_few_refused_calls(played: dict[str, Played]) -> None:
    """Without the ramp a quarter to a third of the calls are refused."""
    one = played["again-while-ramping"]
    answers = one.statuses(0.5, 10)
    assert answers[503] <= 0.15 * answers.total() and answers[200] > 150
    killed = {name for event in one.events if event.kind == "fault" for name in event.fields.get("who", ())}
    assert len(full(one) & killed) >= 0.6 * len(killed)


def test_lost_and_outdated_folders_are_recognised_through_peers(played: dict[str, Played]) -> None:
    one = played["thirds"]
    names = one.schedule.names[:9]
    second = {line["member"]: line["found"] for line in one.logs("life") if line["at"] > 0}
    assert [second[name] for name in names] == ["first", "kept", "kept"] * 3, (
        "the folder alone does not reveal it"
    )
    corrected = {line["member"]: line["found"] for line in one.logs("life-corrected") if line["at"] > 0}
    assert corrected == {**dict.fromkeys(names[0::3], "lost"), **dict.fromkeys(names[1::3], "old")}
    in_flight = sum(event.kind == "broken" for event in one.events)
    assert one.judged.repeats_after_loss <= in_flight, "only calls that were in flight may be repeated"


def test_a_restarted_discovery_that_is_overbooked_is_called_in_turns(played: dict[str, Played]) -> None:
    """Before a watch paused between list calls, discovery received 3,676 of them in the worst second."""
    one = played["discovery"]
    seconds = Counter(int(event.at) for event in one.events if event.kind == "list-call" and event.at > 0)
    assert max(seconds.values()) <= 5 * one.schedule.fleet.members, seconds
    assert one.judged.delivered >= 0.9 * one.judged.taken


def test_the_halves_of_a_split_fleet_share_the_ramp(played: dict[str, Played]) -> None:
    one = played["split"]
    assert one.logs("tenants-split") or any(event.kind == "fault" for event in one.events)
    assert sum(event.kind == "fell" for event in one.events) <= 1
    answers = one.statuses(0.5, 6)
    assert answers[503] <= 0.2 * answers.total()


def test_a_crash_loop_of_three_leaves_the_others_at_full_service(played: dict[str, Played]) -> None:
    one = played["crash-loop"]
    left = [(line["member"], line["to"]) for line in one.logs("phase") if line["at"] > 0]
    assert {member for member, _ in left} == {"m01", "m02", "m03"}, "no other member left `full`"
    accepted = [e for e in one.events if e.kind == "taken" and e.at > 0 and e.fields["member"] > "m03"]
    offered = [e for e in one.events if e.kind == "offer" and 0 < e.at < 8 and e.fields["member"] > "m03"]
    assert len(accepted) >= 0.85 * len(offered)


def test_clients_that_reconnect_at_once_are_accepted_and_nothing_is_lost(played: dict[str, Played]) -> None:
    one = played["reconnect"]
    assert one.judged.delivered + one.judged.ends.total() >= one.judged.taken, "each message has an outcome"
    assert one.judged.delivered >= 0.9 * one.judged.taken
    assert len(full(one)) >= 0.6 * len(one.schedule.names)


def test_a_process_exits_when_another_process_has_its_folder(tmp_path: Path) -> None:
    """The second process's folder replaces the first one's, while the second process still has it locked."""
    logs, senders = [], []
    for number, name in enumerate(("one", "two"), 1):
        file, log = tmp_path / f"{name}.toml", tmp_path / f"{name}.log"
        file.write_text(
            f'name = "{name}"\nstate = "{name}"\n[resp]\nlisten = "127.201.8.{number}:6399"\n'
            '[[class]]\nname = "note"\nsemantics = "idempotent"\ndeadline = 8\n'
        )
        with log.open("wb") as out:
            run = [sys.executable, "-m", "mountgauge", "run", str(file)]
            senders.append(subprocess.Popen(run, stderr=out))
        logs.append(log)
    first, second = senders
    try:
        for log in logs:
            deadline = time.monotonic() + 60
            while "event=ready" not in log.read_text() and time.monotonic() < deadline:
                time.sleep(0.05)
        second.send_signal(signal.SIGSTOP)  # else it would write its moved folder anew
        (tmp_path / "one").rename(tmp_path / "away")
        (tmp_path / "two").rename(tmp_path / "one")
        assert first.wait(60) == 3
        text = logs[0].read_text()
        assert "event=folder-taken" in text and "event=folder-emptied" not in text
    finally:
        first.kill()
        second.send_signal(signal.SIGCONT)
        second.terminate()
        assert second.wait(30) == 0
