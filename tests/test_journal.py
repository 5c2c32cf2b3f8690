"""The journal against a model of what it must preserve."""

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
    """After any steps a new process finds just what was recorded, and the folder keeps its limit."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = TemporaryDirectory()
        self.path = Path(self.folder.name)
        self.journal = Journal(self.path, DISK)
        # By id: body, attempts, attempts that may have run, notice.
        self.live: dict[str, tuple[bytes, int, int, MessageOutcome | None]] = {}
        self.finished: dict[str, MessageOutcome] = {}
        self.last = 0

    def pick(self, position: int) -> str:
        return list(self.live)[position % len(self.live)]

    @rule(size=st.sampled_from([0, 10, 4000, 40_000]))
    def submit(self, size: int) -> None:
        self.last += 1
        name, body = f"m{self.last}", os.urandom(size)
        has_capacity = self.journal.has_capacity(size)
        if has_capacity:
            self.journal.accept(stored(name, body))
            self.live[name] = (body, 0, 0, None)
        else:
            assert sum(len(body) for body, *_ in self.live.values()) + size > DISK / 4

    @precondition(lambda self: self.live)
    @rule(position=st.integers(0, 99), never=st.booleans())
    def attempt(self, position: int, never: bool) -> None:
        name = self.pick(position)
        body, attempts, ran, notice = self.live[name]
        if attempts < 8:
            self.journal.attempt([name], 12.25, 0)
            if never:
                self.journal.never_ran(name)
            self.live[name] = (body, attempts + 1, ran + (not never), notice)

    @precondition(lambda self: self.live)
    @rule(position=st.integers(0, 99), again_ms=st.integers(0, 9000))
    def give_up(self, position: int, again_ms: int) -> None:
        name = self.pick(position)
        end = MessageOutcome(Status.DEFERRED, again_ms)
        self.journal.abandon(name, end)
        self.live[name] = (*self.live[name][:3], end)

    @precondition(lambda self: self.live)
    @rule(position=st.integers(0, 99), status=st.sampled_from(Status))
    def finish(self, position: int, status: Status) -> None:
        name = self.pick(position)
        self.journal.finish(name, MessageOutcome(status))
        del self.live[name]
        self.finished[name] = MessageOutcome(status)

    @rule(torn=st.sampled_from([b"", b"\x07", b"\xff" * 40, b"\x05\0\0\0\x01\x02\x03\x04T[1]"]))
    def restart(self, torn: bytes) -> None:
        self.journal.close()
        with self.journal.path.open("ab") as file:
            file.write(torn)
        self.journal = Journal(self.path, DISK)
        assert self.journal.truncated_bytes == len(torn)

    @rule(torn=st.sampled_from([b"", b"\x07", b"\x05\0\0\0\x01\x02\x03\x04T[1]"]))
    def hand_over(self, torn: bytes) -> None:
        """A new process runs beside the old one. It knows none of its messages until the old one is killed,
        at any step; then it adopts all live ones, and the old file is removed."""
        new = Journal(self.path, DISK)
        assert new.slot != self.journal.slot and new.unadopted and new.adopt() == []
        self.journal.close()
        with self.journal.path.open("ab") as file:
            file.write(torn)
        adopted = new.adopt()
        assert sorted(one.id for one in adopted) == sorted(self.live) and not new.unadopted
        self.journal = new

    @invariant()
    def preserves_the_model(self) -> None:
        found = {
            name: (one.body, one.attempts, len(one.maybe_ran), one.notice)
            for name, one in self.journal.live.items()
        }
        assert found == self.live
        assert all(self.finished[name] == end for name, end in self.journal.outcomes.items())
        used = sum(-(-file.stat().st_size // 512) * 512 for file in self.path.iterdir())
        assert used <= DISK

    def teardown(self) -> None:
        self.journal.close()
        self.folder.cleanup()


Model.TestCase.settings = settings(derandomize=True, max_examples=40, stateful_step_count=40, deadline=None)
TestModel = Model.TestCase


def test_a_full_disk_causes_no_crash_and_leaves_complete_records(tmp_path: Path) -> None:
    """ENOSPC after half a record: that half must not make the records after it unreadable."""
    files = FailingFiles()
    journal = Journal(tmp_path, DISK, files=files)
    journal.accept(stored("a"))
    files.writable_bytes = 30
    with pytest.raises(JournalFullError):
        journal.accept(stored("b"))
    assert not journal.finish("a", MessageOutcome(Status.DELIVERED))
    files.heal()
    journal.accept(stored("c"))
    journal.close()
    again = Journal(tmp_path, DISK)
    assert set(again.live) == {"c"} and set(again.outcomes) == {"a"} and again.truncated_bytes == 0


def test_the_spare_file_of_an_interrupted_compaction_is_removed(tmp_path: Path) -> None:
    (tmp_path / "journal.new").write_bytes(b"half")
    Journal(tmp_path, DISK).close()
    assert sorted(file.name for file in tmp_path.iterdir()) == ["journal", "lock"]


def test_a_slot_is_for_one_process_and_a_process_without_a_slot_fails(tmp_path: Path) -> None:
    journals = [Journal(tmp_path, DISK, slots=2) for _ in range(2)]
    assert [j.slot for j in journals] == [0, 1]
    with pytest.raises(OSError, match="in use"):
        Journal(tmp_path, DISK, slots=2)
    for journal in journals:
        journal.close()


@pytest.mark.parametrize("crash", [False, True])
def test_a_hand_over_adopts_live_messages_once_the_old_process_has_ended(tmp_path: Path, crash: bool) -> None:
    """The new process gets the old one's messages only once that has ended. A crash in the adoption (after
    the append, before the old file is removed) leaves two copies, which count as one message."""
    old = Journal(tmp_path, DISK)
    old.accept(stored("a"))
    old.accept(stored("b"))
    old.attempt(["a"], 1000.0, 2)
    old.finish("b", MessageOutcome(Status.DELIVERED))
    files = FailingFiles()
    new = Journal(tmp_path, DISK, files=files)
    assert new.slot == 1 and new.unadopted == [tmp_path / "journal"] and not new.live
    assert new.adopt() == [] and not new.live  # still locked: never two processes with one message
    old.accept(stored("c"))
    old.close()
    if crash:
        files.killed_at = "unlink"
        with pytest.raises(Killed):
            new.adopt()
        files.heal()
        new.close()  # SIGKILL: both files exist
        new = Journal(tmp_path, DISK)
        assert new.slot == 0
    else:
        adopted = new.adopt()
        assert sorted(s.id for s in adopted) == ["a", "c"] and not new.unadopted
    assert sorted(new.live) == ["a", "c"] and new.live["a"].attempts == 1
    assert new.outcomes["b"].status == "delivered"
    new.finish("a", MessageOutcome(Status.DELIVERED))
    new.close()
    again = Journal(tmp_path, DISK)  # whatever is left on disk, "a" stays finished and nothing is duplicated
    assert sorted(again.live) == ["c"] and "a" in again.outcomes
    assert [p.name for p in tmp_path.glob("journal*")] == [again.path.name]
