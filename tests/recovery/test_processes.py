"""Real senders on the rig: killed, paused, with folders in every state. Checked by counts and the order of
events.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from tests.rigs import Played


@pytest.fixture(scope="module")
def played() -> dict[str, Played]:
    """The scenes; each has run on a rig in its own process, during the pure tests."""
    return Played.all("scenes")


def test_no_rule_is_broken_in_any_scene(played: dict[str, Played]) -> None:
    for name, one in played.items():
        assert [str(broken) for broken in one.judged.violations] == [], name
        assert one.judged.delivered > 100


def test_an_outage_that_the_fleet_could_sustain_ends_by_itself(played: dict[str, Played]) -> None:
    one = played["falls-over"]
    statuses = Counter(
        (event.fields["status"], event.at > 12)
        for event in one.events
        if event.kind == "answer" and event.at > 0.5
    )
    assert statuses[200, True] > 5 * statuses[503, True], "from 12 s on nearly all calls are served"
    assert statuses[200, False] + statuses[200, True] > 700
    assert sum(event.kind == "fell" for event in one.events) <= 8
    full = {line["member"] for line in one.logs("full-service") if line["at"] > 0}
    killed = next(event.fields["who"] for event in one.events if event.kind == "fault")
    assert full == set(killed), "each restarted member logs that it reached full service"


def test_a_paused_sender_does_not_act_on_stale_state(played: dict[str, Played]) -> None:
    one = played["paused"]
    assert {line["member"] for line in one.logs("paused")} == {"m01"}
    resumed = next(event.at for event in one.events if event.kind == "paused") + 4
    late = [event for event in one.events if event.kind == "call" and event.at > resumed + 0.05]
    assert {event.fields["endpoint"] for event in late if event.fields["member"] == "m01"} == {"e7-2", "e8-0"}
    assert one.judged.taken == one.judged.delivered


def test_each_state_of_a_folder_is_recognised_and_no_kept_message_is_lost(played: dict[str, Played]) -> None:
    one = played["folders"]
    second = {line["member"]: line["found"] for line in one.logs("life") if line["at"] > 0}
    assert second["m01"] == "first" and second["m02"] == second["m06"] == "kept"
    assert second["m03"] in ("damaged", "kept", "no-identity", "first"), "cut at an arbitrary position"
    assert second["m04"] == second["m05"] == "foreign"
    emptied = one.logs("folder-emptied")
    assert [line["member"] for line in emptied] == ["m06"]
    assert one.judged.with_folder <= 80, (
        "messages lost with a folder are counted, and are at most those that were queued"
    )


def test_a_destination_that_refuses_everything_gets_single_trials_and_slows_no_other(
    played: dict[str, Played],
) -> None:
    one = played["never-warms"]
    at = [event.at for event in one.events if event.kind == "call" and event.fields["dest"] == 7]
    calls = Counter(int(when // 4) for when in at)
    assert calls[3] <= 0.25 * calls[0] and calls[3] <= 20, calls
    assert {line["dest"] for line in one.logs("held-up")} == {"7"}
    other = [e for e in one.events if e.kind == "answer" and e.fields["dest"] == 8 and e.at > 0]
    offered = sum(e.kind == "offer" and e.fields["dest"] == 8 and e.at > 0 for e in one.events)
    assert sum(event.fields["status"] == 200 for event in other) >= 0.95 * offered


def test_comeback_waits_until_all_are_full(tmp_path: Path) -> None:
    file = tmp_path / "one.toml"
    (tmp_path / "state").mkdir()
    file.write_text(
        'name = "one"\nstate = "state"\n[resp]\nlisten = "127.201.7.1:6399"\n'
        '[status]\nlisten = "127.201.7.1:9199"\n'
        '[[class]]\nname = "note"\nsemantics = "idempotent"\ndeadline = 8\n'
    )
    run = [sys.executable, "-m", "mountgauge"]
    ask = [*run, "comeback", "127.201.7.1:9199", "--json", "--wait"]
    assert subprocess.run([*ask, "0"], capture_output=True, timeout=60).returncode == 1
    sender = subprocess.Popen([*run, "run", str(file)], stderr=subprocess.DEVNULL)
    try:
        done = subprocess.run([*ask, "60"], capture_output=True, text=True, timeout=90)
        output = json.loads(done.stdout.splitlines()[-1])
        assert done.returncode == 0 and output["full"]
        assert output["instances"]["127.201.7.1:9199"]["life"] == 1
        shown = subprocess.run(
            [*run, "comeback", "127.201.7.1:9199"], capture_output=True, text=True, timeout=60
        )
        assert (
            shown.returncode == 0
            and shown.stdout.splitlines()[1].startswith("one")
            and "full" in shown.stdout
        )
    finally:
        sender.terminate()
        assert sender.wait(30) == 0
    identity = json.loads((tmp_path / "state" / "identity").read_text())
    assert identity["clean"] and identity["life"] == 1
    bad = subprocess.run([*run, "comeback", "nowhere"], capture_output=True, text=True, timeout=60)
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1
