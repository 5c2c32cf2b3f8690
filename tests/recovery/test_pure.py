"""Coming back, the parts without I/O: phases, bounds, what is remembered, who this is, what is too old."""

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
from mountgauge.recovery.identity import Found, Identity, decode, encode, judge, peers_say
from mountgauge.recovery.phases import IDLE_S, DestinationState, Phase, Phases, Seen
from mountgauge.recovery.stale import Pulse
from mountgauge.recovery.state_file import Fact, judged
from mountgauge.recovery.state_file import encode as encode_facts
from mountgauge.recovery.table import all_full, lines, row

LIFE = "a" * 16
NOW = Stamp("", 105.0, 5.0, 105.0)


def walk(phases: Phases, *seen: Seen) -> list[tuple[str, str]]:
    return [(change.after.value, change.why) for one in seen for change in phases.see(one)]


def test_each_phase_goes_on_by_its_named_condition_and_back_by_one() -> None:
    phases = Phases(0.0, learn_bound=5.0)
    assert walk(phases, Seen(0.1, serving=False)) == []
    assert walk(phases, Seen(0.2, to_restore=3, listed=False)) == [("restoring", "serving")]
    assert walk(phases, Seen(0.3, listed=False)) == [("learning", "restored")]
    assert walk(phases, Seen(2.0, listed=False)) == []
    ramping = {7: DestinationState.RAMPING, 8: DestinationState.SHOWN}
    assert walk(phases, Seen(3.0, destinations=ramping, held=9)) == [("ramping", "known")]
    held_up = {7: DestinationState.HELD_UP, 8: DestinationState.SHOWN}
    assert walk(phases, Seen(4.0, destinations=held_up)) == [("full", "shown")]
    assert phases.full_at == 4.0 and phases.held_up == {7} and phases.held_most == 9
    assert walk(phases, Seen(5.0, destinations=ramping)) == [("ramping", "ramping-anew")]
    assert walk(phases, Seen(6.0, to_restore=1, destinations=ramping)) == [("restoring", "adopted")]
    assert phases.full_at == 4.0, "the first time counts"


def test_learning_ends_by_its_bound_and_an_idle_sender_is_full() -> None:
    phases = Phases(0.0, learn_bound=5.0)
    walk(phases, Seen(0.0, listed=False))
    assert phases.phase is Phase.LEARNING
    assert walk(phases, Seen(4.9, listed=False)) == []
    assert walk(phases, Seen(5.0, listed=False)) == [("ramping", "learn-bound")]
    assert walk(phases, Seen(5.0 + IDLE_S)) == [("full", "idle")]


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
def test_no_phase_holds_itself_up(
    history: list[tuple[bool, int, bool, bool, DestinationState, bool]],
) -> None:
    """Whatever came before: once nothing is left to restore and nothing ramps, it is full within its
    bounds.
    """
    phases, now = Phases(0.0, 5.0), 0.0
    for serving, left, listed, joined, state, asked in history:
        now += 0.5
        phases.see(Seen(now, serving, left, listed, joined, {7: state} if asked else {}))
    for _ in range(32):
        now += 0.25
        phases.see(Seen(now, listed=False, joined=False, destinations={7: DestinationState.HELD_UP}))
    assert phases.phase is Phase.FULL and phases.held_up == {7}


def test_the_bounds_grow_as_they_say() -> None:
    assert bounds.restoring(0) == 0 == bounds.restoring(256) < bounds.restoring(10_000) <= 10
    assert bounds.learning(10, 1) < bounds.learning(10, 40) <= bounds.learning(10, 200) <= 12.5
    assert 2.9 < bounds.ramping(0.17, 0.6, 14, 2.2) < 5
    one = bounds.full_service(0, 10, 1, 0.17, 0.6, 14, 2.2)
    assert one < bounds.full_service(5000, 10, 200, 0.17, 0.6, 14, 2.2) < 25
    assert bounds.paused(0.25) >= 0.25 and bounds.trials(200) == 400


# What is remembered


def fact(
    kind: str = "wait", at: float = 100.0, expires: float = 120.0, origin: str = LIFE, value: float = 110
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
def test_what_says_nothing_any_more_is_dropped_by_its_name(one: Fact, why: str) -> None:
    found = judged(encode_facts([one, fact()]), NOW, LIFE, known_version=41)
    assert found.dropped == {why: 1} and found.kept == [fact()]


def test_a_record_that_is_cut_or_flipped_at_any_place_costs_itself_alone() -> None:
    content = encode_facts([fact(), fact("pace", value=0.5), fact("wait", value=111)])
    for place in range(len(content)):
        cut = judged(content[:place], NOW, LIFE)
        assert len(cut.kept) == content[:place].count(b"\n") + (content[place : place + 1] == b"\n")
        flipped = content[:place] + bytes([content[place] ^ 4]) + content[place + 1 :]
        assert len(judged(flipped, NOW, LIFE).kept) >= 1
    assert judged(content, NOW, LIFE).of("wait")["7"].value == 111
    assert judged(b"\xff" * 100_000, NOW, LIFE).kept == []


# Who this is


def test_what_a_folder_was_is_told_apart() -> None:
    first, found = judge(None, "m1", False, "1" * 16)
    assert found is Found.FIRST and first.life == 1
    kept, found = judge(encode(first), "m1", True, "2" * 16)
    assert (kept.id, kept.life, found) == ("1" * 16, 2, Found.KEPT)
    assert judge(None, "m1", True, "2" * 16)[1] is Found.NO_IDENTITY
    assert judge(encode(first), "m2", True, "2" * 16)[1] is Found.FOREIGN
    for place in range(len(encode(first)) - 2):
        assert judge(encode(first)[:place], "m1", True, "2" * 16)[1] is Found.DAMAGED
    assert decode(encode(kept)) == kept
    assert peers_say(first, Found.FIRST, 5) == (first._replace(life=6), Found.LOST)
    assert peers_say(kept, Found.KEPT, 4) == (kept._replace(life=5), Found.OLD)
    assert peers_say(kept, Found.KEPT, 1) == (kept, Found.KEPT)


def test_a_folder_tells_its_lives_and_how_the_last_one_ended(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    one, found, clean = folder.arrive("m1", False)
    assert (one.life, found, clean) == (1, Found.FIRST, False) and folder.stands(one)
    two, found, clean = Folder(tmp_path).arrive("m1", True)
    assert (two.id, two.life, found, clean) == (one.id, 2, Found.KEPT, False)
    assert folder.stands(one) and folder.stands(two), "two lives side by side do not write over each other"
    folder.ended(one)
    assert decode((tmp_path / "identity").read_bytes()) == two
    folder.ended(two)
    assert Folder(tmp_path).arrive("m1", True)[2]
    assert folder.remember([fact()], NOW, LIFE) and not folder.remember([fact()], NOW, LIFE)
    assert folder.remembered(NOW, LIFE, -1).kept == [fact()]
    (tmp_path / "identity").unlink()
    assert not folder.stands(two)


def test_an_emptied_folder_is_written_anew_and_a_taken_one_is_not(tmp_path: Path) -> None:
    files = FailingFiles()
    journal = Journal(tmp_path, 1_000_000, files=files)
    journal.accept(StoredMessage("m1", "note", 1e12, 7, "k", "platform", b"hello"))
    assert journal.is_in_place()
    journal.path.unlink()  # alone: the lock is still this process's own, and not another's
    assert not journal.is_in_place() and journal.recreate() and journal.is_in_place()
    for one in tmp_path.iterdir():
        one.unlink()
    assert not journal.is_in_place()
    files.room = 0
    for _ in range(3):  # each second, as long as it lasts: the lock must be free again each time
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
    other = Journal(tmp_path, 1_000_000)  # another process came meanwhile
    assert not again.is_in_place() and not again.recreate() and other.is_in_place()
    again.close()
    other.close()


# What is too old


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["beat", "ask", "looked"]), st.floats(0, 2)), max_size=60))
def test_no_call_goes_after_a_pause_before_it_was_looked(steps: list[tuple[str, float]]) -> None:
    pulse, now, last = Pulse(0.5, 3.0, 0.0), 0.0, 0.0
    owed: float | None = None  # since when a look is owed
    for what, gap in steps:
        now += gap
        if what != "looked" and now - last > 0.5:
            owed = now
        if what == "looked":
            pulse.looked()
            owed = None
        elif what == "beat":
            pulse.beat(now)
            if owed is not None and now - owed >= 3.0:
                owed = None  # given up: the bound
            last = now
        else:
            may, _ = pulse.ask(now)
            assert may == (owed is None)
            last = now if now - last > 0.5 else last


def test_the_table_shows_who_is_back() -> None:
    said = {
        "name": "m1", "held": 3,
        "comeback": {"phase": "ramping", "since_s": 1.5, "life": 2, "found": "kept", "restored": 5, "held": 3,
                     "ramping": [7], "held_up": [], "full_after_s": None},
    }  # fmt: skip
    full = {**said, "comeback": {**said["comeback"], "phase": "full", "full_after_s": 3.2}}  # type: ignore[dict-item]
    assert not all_full({"a": said, "b": full}) and all_full({"b": full}) and not all_full({"a": None})
    shown = lines([row("a", said, ""), row("b", None, "refused")])
    assert shown[1].split() == ["m1", "ramping", "1.5", "2", "kept", "5", "3", "7", "-", "-"]
    assert "refused" in shown[2]


def test_a_seeded_mass_of_lives_never_shares_an_identity() -> None:
    rng = random.Random(1)
    drawn = {judge(None, f"m{n}", False, f"{rng.getrandbits(64):016x}")[0].id for n in range(500)}
    assert len(drawn) == 500
    assert Identity("m", "0" * 16, 1, False).life == 1
