"""The lasting log, against a model of what it must remember."""

from __future__ import annotations

import os
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mountgauge.core.journal import Journal, JournalFullError, StoredMessage
from mountgauge.core.ports import MessageOutcome, Status
from mountgauge.lab.faults.files import FailingFiles, Killed

DISK = 300_000


def stored(msg_id: str, body: bytes = b"body") -> StoredMessage:
    return StoredMessage(msg_id, "note", 1000.5, 7, "key", "platform", body)


class Model(RuleBasedStateMachine):
    """Whatever the steps: a new process finds just what was told, and the folder keeps to its limit."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = TemporaryDirectory()
        self.path = Path(self.folder.name)
        self.journal = Journal(self.path, DISK)
        self.live: dict[
            str, tuple[bytes, int, int, MessageOutcome | None]
        ] = {}  # body, attempts, may have run, notice
        self.ended: dict[str, MessageOutcome] = {}
        self.last = 0

    def pick(self, place: int) -> str:
        return list(self.live)[place % len(self.live)]

    @rule(size=st.sampled_from([0, 10, 4000, 40_000]))
    def take(self, size: int) -> None:
        self.last += 1
        name, body = f"m{self.last}", os.urandom(size)
        room = self.journal.has_capacity(size)
        if room:
            self.journal.accept(stored(name, body))
            self.live[name] = (body, 0, 0, None)
        else:
            assert sum(len(body) for body, *_ in self.live.values()) + size > DISK / 4

    @precondition(lambda self: self.live)
    @rule(place=st.integers(0, 99), never=st.booleans())
    def attempt(self, place: int, never: bool) -> None:
        name = self.pick(place)
        body, attempts, ran, notice = self.live[name]
        if attempts < 8:
            self.journal.attempt([name], 12.25, 0)
            if never:
                self.journal.never_ran(name)
            self.live[name] = (body, attempts + 1, ran + (not never), notice)

    @precondition(lambda self: self.live)
    @rule(place=st.integers(0, 99), again=st.integers(0, 9000))
    def give_up(self, place: int, again: int) -> None:
        name = self.pick(place)
        end = MessageOutcome(Status.DEFERRED, again)
        self.journal.abandon(name, end)
        self.live[name] = (*self.live[name][:3], end)

    @precondition(lambda self: self.live)
    @rule(place=st.integers(0, 99), status=st.sampled_from(Status))
    def end(self, place: int, status: Status) -> None:
        name = self.pick(place)
        self.journal.finish(name, MessageOutcome(status))
        del self.live[name]
        self.ended[name] = MessageOutcome(status)

    @rule(torn=st.sampled_from([b"", b"\x07", b"\xff" * 40, b"\x05\0\0\0\x01\x02\x03\x04T[1]"]))
    def restart(self, torn: bytes) -> None:
        self.journal.close()
        with self.journal.path.open("ab") as file:
            file.write(torn)
        self.journal = Journal(self.path, DISK)
        assert self.journal.truncated_bytes == len(torn)

    @rule(torn=st.sampled_from([b"", b"\x07", b"\x05\0\0\0\x01\x02\x03\x04T[1]"]))
    def hand_over(self, torn: bytes) -> None:
        """A new process beside the old: it hears of nothing until the old one is killed, at whatever step,
        then adopts all that was live there, and the old file goes."""
        new = Journal(self.path, DISK)
        assert new.slot != self.journal.slot and new.unadopted and new.adopt() == []
        self.journal.close()
        with self.journal.path.open("ab") as file:
            file.write(torn)
        adopted = new.adopt()
        assert sorted(one.id for one in adopted) == sorted(self.live) and not new.unadopted
        self.journal = new

    @invariant()
    def remembers(self) -> None:
        found = {
            name: (one.body, one.attempts, len(one.ran), one.notice)
            for name, one in self.journal.live.items()
        }
        assert found == self.live
        assert all(self.ended[name] == end for name, end in self.journal.outcomes.items())
        used = sum(-(-file.stat().st_size // 512) * 512 for file in self.path.iterdir())
        assert used <= DISK

    def teardown(self) -> None:
        self.journal.close()
        self.folder.cleanup()


Model.TestCase.settings = settings(derandomize=True, max_examples=40, stateful_step_count=40, deadline=None)
TestModel = Model.TestCase


def test_full_disk_is_no_crash_and_leaves_whole_records(tmp_path: Path) -> None:
    """ENOSPC after half a record: what follows must still be readable, as the half would hide all of it."""
    files = FailingFiles()
    journal = Journal(tmp_path, DISK, files=files)
    journal.accept(stored("a"))
    files.room = 30
    with pytest.raises(JournalFullError):
        journal.accept(stored("b"))
    assert not journal.finish("a", MessageOutcome(Status.DELIVERED))
    files.heal()
    journal.accept(stored("c"))
    journal.close()
    again = Journal(tmp_path, DISK)
    assert set(again.live) == {"c"} and set(again.outcomes) == {"a"} and again.truncated_bytes == 0


def test_leftover_of_a_compaction_is_removed(tmp_path: Path) -> None:
    (tmp_path / "journal.new").write_bytes(b"half")
    Journal(tmp_path, DISK).close()
    assert sorted(file.name for file in tmp_path.iterdir()) == ["journal", "lock"]


def test_slots_are_one_process_each_and_all_held_is_refused(tmp_path: Path) -> None:
    held = [Journal(tmp_path, DISK, slots=2) for _ in range(2)]
    assert [j.slot for j in held] == [0, 1]
    with pytest.raises(OSError, match="in use"):
        Journal(tmp_path, DISK, slots=2)
    for journal in held:
        journal.close()


@pytest.mark.parametrize("crash", [False, True])
def test_hand_over_adopts_what_is_live_once_the_old_process_has_gone(tmp_path: Path, crash: bool) -> None:
    """The new process hears of the old one's messages only once it has gone; a crash in the adoption
    (after the append, before the old file goes) leaves them twice, and read twice they are the same."""
    old = Journal(tmp_path, DISK)
    old.accept(stored("a"))
    old.accept(stored("b"))
    old.attempt(["a"], 1000.0, 2)
    old.finish("b", MessageOutcome(Status.DELIVERED))
    files = FailingFiles()
    new = Journal(tmp_path, DISK, files=files)
    assert new.slot == 1 and new.unadopted == [tmp_path / "journal"] and not new.live
    assert new.adopt() == [] and not new.live  # still held: never two processes on one message
    old.accept(stored("c"))
    old.close()
    if crash:
        files.killed_at = "unlink"
        with pytest.raises(Killed):
            new.adopt()
        files.heal()
        new.close()  # SIGKILL: both files are there
        new = Journal(tmp_path, DISK)
        assert new.slot == 0
    else:
        adopted = new.adopt()
        assert sorted(s.id for s in adopted) == ["a", "c"] and not new.unadopted
    assert sorted(new.live) == ["a", "c"] and new.live["a"].attempts == 1
    assert new.outcomes["b"].status == "delivered"
    new.finish("a", MessageOutcome(Status.DELIVERED))
    new.close()
    again = Journal(tmp_path, DISK)  # whatever is left on disk, "a" stays ended and nothing is doubled
    assert sorted(again.live) == ["c"] and "a" in again.outcomes
    assert [p.name for p in tmp_path.glob("journal*")] == [again.path.name]
