"""Recovery without I/O: phases, bounds, persisted facts, identity and detection of pauses."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.core.durable_time import Stamp
from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.lab.faults.files import FailingFiles
from mountgauge.recovery import bounds
from mountgauge.recovery.files import Folder
from mountgauge.recovery.identity import (
    FolderState,
    Identity,
    classify_folder,
    correct_from_peers,
    decode,
    encode,
)
from mountgauge.recovery.phases import IDLE_S, DestinationState, Observation, Phase, Phases
from mountgauge.recovery.stale import PauseDetector
from mountgauge.recovery.state_file import Fact, select_usable
from mountgauge.recovery.state_file import encode as encode_facts
from mountgauge.recovery.table import all_full, lines, row

ORIGIN = "a" * 16
NOW = Stamp("", 105.0, 5.0, 105.0)


def changes(phases: Phases, *observed: Observation) -> list[tuple[str, str]]:
    return [(change.after.value, change.why) for one in observed for change in phases.update(one)]


def test_each_phase_change_needs_its_condition() -> None:
    phases = Phases(0.0, learn_bound=5.0)
    assert changes(phases, Observation(0.1, serving=False)) == []
    assert changes(phases, Observation(0.2, to_restore=3, listed=False)) == [("restoring", "serving")]
    assert changes(phases, Observation(0.3, listed=False)) == [("learning", "restored")]
    assert changes(phases, Observation(2.0, listed=False)) == []
    ramping = {7: DestinationState.RAMPING, 8: DestinationState.SHOWN}
    assert changes(phases, Observation(3.0, destinations=ramping, held=9)) == [("ramping", "known")]
    held_up = {7: DestinationState.HELD_UP, 8: DestinationState.SHOWN}
    assert changes(phases, Observation(4.0, destinations=held_up)) == [("full", "shown")]
    assert phases.full_at == 4.0 and phases.held_up == {7} and phases.held_most == 9
    assert changes(phases, Observation(5.0, destinations=ramping)) == [("ramping", "ramping-anew")]
    assert changes(phases, Observation(6.0, to_restore=1, destinations=ramping)) == [("restoring", "adopted")]
    assert phases.full_at == 4.0, "the first time counts"


def test_learning_ends_by_its_bound_and_an_idle_sender_is_full() -> None:
    phases = Phases(0.0, learn_bound=5.0)
    changes(phases, Observation(0.0, listed=False))
    assert phases.phase is Phase.LEARNING
    assert changes(phases, Observation(4.9, listed=False)) == []
    assert changes(phases, Observation(5.0, listed=False)) == [("ramping", "learn-bound")]
    assert changes(phases, Observation(5.0 + IDLE_S)) == [("full", "idle")]


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.booleans(), st.integers(0, 3), st.booleans(), st.booleans(), st.sampled_from(DestinationState),
            st.booleans(),
        ),
        max_size=40,
    )
)  # fmt: skip
def test_no_phase_prevents_its_own_end(
    history: list[tuple[bool, int, bool, bool, DestinationState, bool]],
) -> None:
    """After any history: once nothing is left to restore and nothing ramps, the sender is full within its
    bounds.
    """
    phases, now = Phases(0.0, 5.0), 0.0
    for serving, left, listed, joined, state, asked in history:
        now += 0.5
        phases.update(Observation(now, serving, left, listed, joined, {7: state} if asked else {}))
    for _ in range(32):
        now += 0.25
        phases.update(
            Observation(now, listed=False, joined=False, destinations={7: DestinationState.HELD_UP})
        )
    assert phases.phase is Phase.FULL and phases.held_up == {7}


def test_the_bounds_grow_with_messages_and_members() -> None:
    assert bounds.restoring_time(0) == 0 == bounds.restoring_time(256) < bounds.restoring_time(10_000) <= 10
    assert (
        bounds.learning_timeout(10, 1)
        < bounds.learning_timeout(10, 40)
        <= bounds.learning_timeout(10, 200)
        <= 12.5
    )
    assert 2.9 < bounds.ramping_time(0.17, 0.6, 14, 2.2) < 5
    one = bounds.full_service_time(0, 10, 1, 0.17, 0.6, 14, 2.2)
    assert one < bounds.full_service_time(5000, 10, 200, 0.17, 0.6, 14, 2.2) < 25
    assert bounds.pause_threshold(0.25) >= 0.25 and bounds.trial_interval(200) == 400


# Persisted facts


def fact(
    kind: str = "wait", at: float = 100.0, expires: float = 120.0, origin: str = ORIGIN, value: float = 110
) -> Fact:
    return Fact(kind, "7", value, at, origin, expires)


@pytest.mark.parametrize(
    ("one", "why"),
    [
        (fact(expires=104.0), "expired"), (fact(at=108.0), "from-the-future"),
        (fact(origin="b" * 16), "of-another"),
        (fact("list", value=41), "older-than-known"),
    ],
)  # fmt: skip
def test_an_unusable_fact_is_dropped_and_counted_by_its_reason(one: Fact, why: str) -> None:
    found = select_usable(encode_facts([one, fact()]), NOW, ORIGIN, known_version=41)
    assert found.dropped == {why: 1} and found.kept == [fact()]


def test_damage_at_any_position_loses_only_the_damaged_record() -> None:
    content = encode_facts([fact(), fact("pace", value=0.5), fact("wait", value=111)])
    for position in range(len(content)):
        cut = select_usable(content[:position], NOW, ORIGIN)
        assert len(cut.kept) == content[:position].count(b"\n") + (content[position : position + 1] == b"\n")
        flipped = content[:position] + bytes([content[position] ^ 4]) + content[position + 1 :]
        assert len(select_usable(flipped, NOW, ORIGIN).kept) >= 1
    assert select_usable(content, NOW, ORIGIN).newest("wait")["7"].value == 111
    assert select_usable(b"\xff" * 100_000, NOW, ORIGIN).kept == []


# Identity


def test_each_state_of_a_folder_is_recognised() -> None:
    first, found = classify_folder(None, "m1", False, "1" * 16)
    assert found is FolderState.FIRST and first.life == 1
    kept, found = classify_folder(encode(first), "m1", True, "2" * 16)
    assert (kept.id, kept.life, found) == ("1" * 16, 2, FolderState.KEPT)
    assert classify_folder(None, "m1", True, "2" * 16)[1] is FolderState.NO_IDENTITY
    assert classify_folder(encode(first), "m2", True, "2" * 16)[1] is FolderState.FOREIGN
    for position in range(len(encode(first)) - 2):
        assert classify_folder(encode(first)[:position], "m1", True, "2" * 16)[1] is FolderState.DAMAGED
    assert decode(encode(kept)) == kept
    assert correct_from_peers(first, FolderState.FIRST, 5) == (first._replace(life=6), FolderState.LOST)
    assert correct_from_peers(kept, FolderState.KEPT, 4) == (kept._replace(life=5), FolderState.OLD)
    assert correct_from_peers(kept, FolderState.KEPT, 1) == (kept, FolderState.KEPT)


def test_a_folder_counts_process_runs_and_records_a_clean_stop(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    one, found, clean = folder.start_run("m1", False)
    assert (one.life, found, clean) == (1, FolderState.FIRST, False) and folder.holds_identity(one)
    two, found, clean = Folder(tmp_path).start_run("m1", True)
    assert (two.id, two.life, found, clean) == (one.id, 2, FolderState.KEPT, False)
    assert folder.holds_identity(one) and folder.holds_identity(two), (
        "two runs side by side do not overwrite each other"
    )
    folder.mark_clean_stop(one)
    assert decode((tmp_path / "identity").read_bytes()) == two
    folder.mark_clean_stop(two)
    assert Folder(tmp_path).start_run("m1", True)[2]
    assert folder.save_facts([fact()], NOW, ORIGIN) and not folder.save_facts([fact()], NOW, ORIGIN)
    assert folder.load_facts(NOW, ORIGIN, -1).kept == [fact()]
    (tmp_path / "identity").unlink()
    assert not folder.holds_identity(two)


def test_an_emptied_folder_is_written_anew_and_a_taken_one_is_not(tmp_path: Path) -> None:
    files = FailingFiles()
    journal = Journal(tmp_path, 1_000_000, files=files)
    journal.accept(StoredMessage("m1", "note", 1e12, 7, "k", "platform", b"hello"))
    assert journal.is_in_place()
    journal.path.unlink()  # without the lock, which this process still has
    assert not journal.is_in_place() and journal.recreate() and journal.is_in_place()
    for one in tmp_path.iterdir():
        one.unlink()
    assert not journal.is_in_place()
    files.writable_bytes = 0
    for _ in range(3):  # retried each second: a failed attempt must release the lock
        with pytest.raises(OSError):
            journal.recreate()
    files.heal()
    assert journal.recreate() and journal.is_in_place()
    journal.accept(StoredMessage("m2", "note", 1e12, 7, "k", "platform", b"hello"))
    journal.close()
    again = Journal(tmp_path, 1_000_000)
    assert set(again.live) == {"m1", "m2"}
    for one in tmp_path.iterdir():
        one.unlink()
    other = Journal(tmp_path, 1_000_000)  # another process has started meanwhile
    assert not again.is_in_place() and not again.recreate() and other.is_in_place()
    again.close()
    other.close()


# Stale state


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(["check", "allow_call", "refreshed"]), st.floats(0, 2)), max_size=60)
)
def test_no_call_is_allowed_after_a_pause_until_the_state_is_refreshed(
    steps: list[tuple[str, float]],
) -> None:
    detector, now, last = PauseDetector(0.5, 3.0, 0.0), 0.0, 0.0
    pending: float | None = None  # since when a refresh is pending
    for what, gap in steps:
        now += gap
        if what != "refreshed" and now - last > 0.5:
            pending = now
        if what == "refreshed":
            detector.refreshed()
            pending = None
        elif what == "check":
            detector.check(now)
            if pending is not None and now - pending >= 3.0:
                pending = None  # the refresh has timed out
            last = now
        else:
            may, _ = detector.allow_call(now)
            assert may == (pending is None)
            last = now if now - last > 0.5 else last


def test_the_table_shows_the_phase_of_each_instance() -> None:
    status = {
        "name": "m1", "held": 3,
        "comeback": {"phase": "ramping", "since_s": 1.5, "life": 2, "found": "kept", "restored": 5, "held": 3,
                     "ramping": [7], "held_up": [], "full_after_s": None},
    }  # fmt: skip
    full = {**status, "comeback": {**status["comeback"], "phase": "full", "full_after_s": 3.2}}  # type: ignore[dict-item]
    assert not all_full({"a": status, "b": full}) and all_full({"b": full}) and not all_full({"a": None})
    shown = lines([row("a", status, ""), row("b", None, "refused")])
    assert shown[1].split() == ["m1", "ramping", "1.5", "2", "kept", "5", "3", "7", "-", "-"]
    assert "refused" in shown[2]


def test_many_first_starts_draw_different_identities() -> None:
    rng = random.Random(1)
    drawn = {classify_folder(None, f"m{n}", False, f"{rng.getrandbits(64):016x}")[0].id for n in range(500)}
    assert len(drawn) == 500
    assert Identity("m", "0" * 16, 1, False).life == 1
