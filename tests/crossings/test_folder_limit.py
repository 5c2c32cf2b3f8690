"""The folder never holds more than its limit, at any step of a hand-over: all files of both processes."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from mountgauge.core.journal import Journal, JournalFullError, StoredMessage
from mountgauge.core.ports import MessageOutcome, Status
from mountgauge.lab.faults.files import FailingFiles, Killed

DISK = 3_000_000
BODY_BYTES = 44_000
BLOCK_BYTES = 512
DELIVERED = MessageOutcome(Status.DELIVERED)


def used(folder: Path) -> int:
    return sum(-(-file.stat().st_size // BLOCK_BYTES) * BLOCK_BYTES for file in folder.iterdir())


class MeasuringFiles(FailingFiles):
    """Notes the most that the folder holds after any call; if `enforced`, a write beyond it fails."""

    def __init__(self, folder: Path, enforced: bool = False) -> None:
        super().__init__()
        self.folder, self.enforced, self.most = folder, enforced, 0
        self.error = errno.ENOSPC

    def open(self, path: Path, flags: int) -> int:
        file = super().open(path, flags)
        self.most = max(self.most, used(self.folder))
        return file

    def write(self, file: int, data: memoryview) -> int:
        self.writable_bytes = max(0, DISK - used(self.folder)) if self.enforced else None
        written = super().write(file, data)
        self.most = max(self.most, used(self.folder))
        return written


def message(msg_id: str, size: int = BODY_BYTES) -> StoredMessage:
    return StoredMessage(msg_id, "note", 1000.5, 7, "key", "platform", os.urandom(size))


def fill(journal: Journal, prefix: str, size: int = BODY_BYTES, most: int = 1000) -> list[str]:
    """Accept messages until one is refused; return the accepted ids."""
    accepted: list[str] = []
    while len(accepted) < most and journal.has_capacity(size):
        try:
            journal.accept(message(f"{prefix}{len(accepted)}", size))
        except JournalFullError:
            break
        accepted.append(f"{prefix}{len(accepted)}")
    return accepted


def finish_all(journal: Journal) -> None:
    """Attempt and finish each message, as its decisions and answers would."""
    for msg_id in list(journal.live):
        journal.attempt([msg_id], 5.0, 0)
        assert journal.finish(msg_id, DELIVERED)


@pytest.mark.parametrize("enforced", [False, True])
@pytest.mark.parametrize(
    "old_size, new_size", [(44_000, 44_000), (200, 44_000), (44_000, 200), (60_000, 9000)]
)
@pytest.mark.parametrize("first", ["old", "new"])
def test_adopting_a_journal_keeps_the_folder_below_its_limit(
    tmp_path: Path, enforced: bool, old_size: int, new_size: int, first: str
) -> None:
    """The old journal's messages were copied while its file existed, which nothing had left room for."""
    files = MeasuringFiles(tmp_path, enforced)
    old, new = Journal(tmp_path, DISK, files=files), Journal(tmp_path, DISK, files=files)
    accepted = []
    for journal in (old, new) if first == "old" else (new, old):
        accepted += fill(journal, f"slot{journal.slot}-", old_size if journal is old else new_size)
    assert len(accepted) > 10
    old.close()
    new.adopt()
    assert sorted(new.live) == sorted(accepted) and not new.unadopted
    assert files.most <= DISK
    finish_all(new)
    assert fill(new, "later-", most=10)
    assert files.most <= DISK
    new.close()


@pytest.mark.parametrize("turns", [1, 3, 8])
def test_replacements_in_a_row_keep_the_folder_below_its_limit(tmp_path: Path, turns: int) -> None:
    """Each new process takes on messages beside the old one, and adopts more than half of the folder."""
    files = MeasuringFiles(tmp_path)
    journal = Journal(tmp_path, DISK, files=files)
    accepted = fill(journal, "first-")
    for turn in range(turns):
        new = Journal(tmp_path, DISK, files=files)
        for number in range(200):  # both processes accept by turns
            accepted += fill(journal, f"old{turn}-{number}-", most=1)
            accepted += fill(new, f"new{turn}-{number}-", most=1)
        journal.close()
        new.adopt()
        assert sorted(new.live) == sorted(accepted) and not new.unadopted
        for msg_id in accepted[: len(accepted) // 2]:
            new.attempt([msg_id], 5.0, 0)
            assert new.finish(msg_id, DELIVERED)
        del accepted[: len(accepted) // 2]
        journal = new
    assert files.most <= DISK
    journal.close()


@pytest.mark.parametrize("killed_at", ["open", "read", "write", "unlink", "close"])
@pytest.mark.parametrize("killed_first", ["old", "both"])
def test_a_kill_at_each_call_of_an_adoption_keeps_all_messages_and_the_limit(
    tmp_path: Path, killed_at: str, killed_first: str
) -> None:
    files = MeasuringFiles(tmp_path)
    old, new = Journal(tmp_path, DISK, files=files), Journal(tmp_path, DISK, files=files)
    accepted = fill(old, "old-") + fill(new, "new-")
    old.attempt(["old-0"], 5.0, 2)
    old.finish("old-1", DELIVERED)
    new.attempt(["new-0"], 6.0, 1)
    new.finish("new-1", DELIVERED)
    accepted = [msg_id for msg_id in accepted if msg_id not in ("old-1", "new-1")]
    old.close()
    if killed_first == "old":
        files.killed_at = killed_at
        with pytest.raises(Killed):
            new.adopt()
        files.killed_at = ""
    new.close()
    again = Journal(tmp_path, DISK, files=files)
    assert sorted(again.live) == sorted(accepted) and not again.unadopted
    assert [zone for _, zone in again.live["old-0"].maybe_ran] == [2]
    assert [zone for _, zone in again.live["new-0"].maybe_ran] == [1]
    assert {"old-1", "new-1"} <= set(again.outcomes)
    assert files.most <= DISK
    again.close()
    last = Journal(tmp_path, DISK, files=files)
    assert sorted(last.live) == sorted(accepted) and {"old-1", "new-1"} <= set(last.outcomes)
    last.close()


def test_adopted_messages_can_be_attempted_in_a_folder_that_is_nearly_full(tmp_path: Path) -> None:
    """After an adoption a copy of the journal has no room, which refused each attempt's record too."""
    files = MeasuringFiles(tmp_path)
    old, new = Journal(tmp_path, DISK, files=files), Journal(tmp_path, DISK, files=files)
    fill(old, "old-")
    fill(new, "new-")
    old.close()
    new.adopt()
    for number in range(3):
        for msg_id in list(new.live):
            new.attempt([msg_id], 5.0 + number, 0)
            assert new.never_ran(msg_id)
    assert files.most <= DISK
    new.close()


def test_a_compaction_leaves_room_for_a_message_of_the_other_process(tmp_path: Path) -> None:
    """The other process looks at the folder before the copy is complete, and accepts its message after it."""
    files = MeasuringFiles(tmp_path)
    old, new = Journal(tmp_path, DISK, files=files), Journal(tmp_path, DISK, files=files)
    fill(old, "old-", most=20)
    fill(new, "new-", 60_000, most=8)
    for number in range(12):
        old.finish(f"old-{number}", DELIVERED)

    class AcceptingFiles(MeasuringFiles):
        """The other process accepts what it may before and after each write of the copy."""

        def write(self, file: int, data: memoryview) -> int:
            fill(new, f"between-{self.calls['write']}-", 64_000)
            written = super().write(file, data[: len(data) // 2 + 1])
            fill(new, f"behind-{self.calls['write']}-", 64_000)
            return written

    old._files = AcceptingFiles(tmp_path)
    old._compact()
    assert max(files.most, old._files.most) <= DISK
    assert len(new.live) > 8
    old.close()
    new.close()


def test_the_other_files_of_the_folder_count(tmp_path: Path) -> None:
    """Waits, the list's evidence and detached endpoints share the limit, and are replaced by copies."""
    (tmp_path / "waits").write_bytes(bytes(150_000))
    (tmp_path / "list-evidence").write_bytes(bytes(100_000))
    files = MeasuringFiles(tmp_path)
    journal = Journal(tmp_path, DISK, files=files)
    accepted = fill(journal, "m-")
    for msg_id in accepted[:4]:
        journal.finish(msg_id, DELIVERED)
    journal._compact()
    for name in ("waits.new", "list-evidence.new"):
        (tmp_path / name).write_bytes((tmp_path / name.removesuffix(".new")).read_bytes())
    assert max(files.most, used(tmp_path)) <= DISK
    journal.close()
