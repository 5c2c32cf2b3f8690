"""How long senders waited for a processor, by the system's counters and by a run's events."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from mountgauge.lab.rig.events import Event
from mountgauge.lab.rig.starvation import KIND, RunDelays, share, waited_s
from tests.rigs import unsafe_plays


def test_only_the_increase_of_a_counter_counts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    contents = iter(["7 2000000000 1", "8 2000000000 1", "9 2500000000 1", "no figures"])
    monkeypatch.setattr(Path, "read_text", lambda path: next(contents))
    delays = RunDelays()
    assert [delays.increase_s(1) for _ in range(4)] == [0.0, 0.0, 0.5, 0.0]


def test_a_missing_process_has_no_wait() -> None:
    delays = RunDelays()
    assert delays.increase_s(os.getpid()) == 0.0 and delays.increase_s(2**22 + 1) == 0.0


def test_the_share_is_averaged_over_all_senders() -> None:
    events = [Event(float(at), KIND, {"member": name, "waited_s": 0.5}) for at, name in enumerate("aab")]
    assert waited_s(events) == {"a": 1.0, "b": 0.5}
    assert share([*events, Event(1.0, "lag", {"late_s": 9.0})], members=3, seconds=10.0) == 0.05


def test_safety_rules_are_judged_in_plays_with_starved_senders_too(tmp_path: Path) -> None:
    states = {"e1-0": "leaving", "e1-1": "active"}
    events = [
        Event(0.0, "start", {"member": "m01"}),
        Event(0.1, "told", {"member": "m01", "version": 2, "full": True, "states": states}),
        Event(3.0, "call", {"member": "m01", "call": 1, "id": "a", "dest": 1, "endpoint": "e1-0"}),
        Event(4.0, KIND, {"member": "m01", "waited_s": 9.0}),
    ]
    folder = tmp_path / "drains-starved-1"
    folder.mkdir()
    lines = [json.dumps({"at": event.at, "kind": event.kind, **event.fields}) for event in events]
    (folder / "events.jsonl").write_text("\n".join(lines))
    (found,) = unsafe_plays("drains", "drains", tmp_path)
    assert "drain at 3.000 s, m01" in found
    assert unsafe_plays("drains", "drains-pushed", tmp_path) == []
