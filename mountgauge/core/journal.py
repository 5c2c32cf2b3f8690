"""The lasting log: what was taken on, attempted and ended, in one checksummed file that is only appended to.

Data outlasts the process once `write()` has returned, so nothing is synced.

The disk may fail for a while. A take-on or an attempt that cannot be written is not made. An end, a notice or
a mark that an attempt never ran is kept, and written in front of the next record. Part of a record at the end
of the file is cut off before anything is appended, so that it never stands in front of another.
"""

from __future__ import annotations

import contextlib
import errno
import math
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from mountgauge.core.durable_time import STAMP_EVERY_S, Clocks, ProcessTime, Stamp, SystemClocks
from mountgauge.core.files import APPENDED, MADE_ANEW, Files, SystemFiles, write_all
from mountgauge.core.journal_records import Contents, StoredMessage, end_records, record
from mountgauge.core.journal_slots import SLOTS, lock_path, lock_slot, same_file, slot_paths
from mountgauge.core.ports import MessageOutcome

__all__ = ["Journal", "JournalFullError", "JournalUnavailableError", "StoredMessage"]

_MOST_RECORD = 1 << 20
_BLOCK = 512  # each file counts in whole blocks
_RESERVE = 64 * 1024  # kept free of take-ons, so that attempts and ends still find room
_PER_LIVE = 512  # room for what attempts and an end add to a live message
_SLACK = 256 * 1024  # dead bytes that are not worth a compaction
_RECENT = 2000  # ends remembered, for ids that are handed in again
_COMPACT_AGAIN_S = 1.0  # after a compaction that the disk did not let through


class JournalFullError(Exception):
    """No room, or the write failed: nothing of this record is in the file."""


class JournalUnavailableError(OSError):
    """The folder cannot be read or written: what is owed is not known, and nothing is held."""


def _blocks(size: int) -> int:
    return -(-size // _BLOCK) * _BLOCK


class Journal:
    """One process's journal: a slot of the folder, held by a lock; free slots of others are adopted."""

    def __init__(
        self,
        folder: Path,
        disk_bytes: int,
        slots: int = SLOTS,
        clock: Clocks | None = None,
        files: Files | None = None,
    ) -> None:
        """JournalUnavailableError where the system fails; OSError where other processes hold all slots."""
        self.folder, self._files = folder, files or SystemFiles()
        self.truncated_bytes = 0  # bytes at the ends of files that were no whole records
        self.time = ProcessTime(clock or SystemClocks())
        self._opened = self.time.stamp()  # by which what is found in the folder is read
        self._stamped: Stamp | None = None  # the last one in the file that is of this process
        self._most = disk_bytes
        self._slots = slots
        self.failing = False  # the disk did not take the last record
        self.on_failing: Callable[[], None] | None = None  # told that `flush` is to be called later
        self._unwritten: list[bytes] = []  # records that are to be in the file before any later one
        self._torn = False  # the file may end in part of a record
        self._misplaced = False  # the path may name another file than the one that is written to
        self._compact_from = -math.inf  # the earliest time for a compaction
        self._compacted = 0  # size at the last compaction
        try:
            found = self._free_slot()
            if found is not None:
                self.slot, self._lock = found
                self._open()
        except OSError as error:
            raise JournalUnavailableError(error.errno, error.strerror, str(folder)) from error
        if found is None:  # every slot is held by a living process: a third one would overlap them
            raise OSError(f"{folder}: in use by another process")
        self.unadopted: list[Path] = []  # journals of other processes that are not adopted yet
        self.unreadable: list[Path] = []  # those of them that could not be read: what they hold is not known
        self.in_use: list[Path] = []  # those of them whose processes run
        self._adopted: dict[int, int] = {}  # locks of slots that were, whose files are still to be removed
        self.adopt()

    def _free_slot(self) -> tuple[int, int] | None:
        """The first slot that no process holds, and its lock; None where there is none."""
        for slot in range(self._slots):
            if (lock := lock_slot(self._files, self.folder, slot)) is not None:
                return slot, lock
        return None

    def _open(self) -> None:
        self.path, self._spare = slot_paths(self.folder, self.slot)
        self._discard(self._spare)  # a compaction that the last process did not finish
        try:
            self._file = self._files.open(self.path, APPENDED)
            try:
                content = self._files.read(self.path)
            except OSError:
                self._close(self._file)
                raise
        except OSError:
            self._close(self._lock)
            raise
        found, self.truncated_bytes = self._read(content, self._opened)
        self._contents = found
        self.live, self.outcomes = found.live, found.outcomes
        self._live_bytes = sum(map(self._cost, self.live.values()))
        # A process killed in a write leaves a torn tail. All before it was complete, so only it goes.
        self._size = len(content) - self.truncated_bytes
        self._torn = self.truncated_bytes > 0
        with contextlib.suppress(OSError):  # or before the first record that is appended
            self._cut_off()

    def _read(self, content: bytes, now: Stamp) -> tuple[Contents, int]:
        """What a file says, and how many bytes of it are no whole records."""
        found = Contents(min(_RECENT, self._most // 1024))
        cut = len(content) - found.read(content)
        found.rebase(now)
        return found, cut

    def close(self) -> None:
        """Nothing is written from now on; what the disk does not take now is lost."""
        self.flush()
        self._unwritten, self.failing, self.on_failing = [], False, None
        self._close(self._file)
        for lock in (self._lock, *self._adopted.values()):
            self._close(lock)

    def _close(self, file: int) -> None:
        with contextlib.suppress(OSError):  # closed all the same
            self._files.close(file)

    def _discard(self, path: Path) -> None:
        """A file that is of no use; where it cannot be removed now, it is written over or removed later."""
        with contextlib.suppress(OSError):
            self._files.unlink(path)

    def is_in_place(self) -> bool:
        """Whether the folder still holds this journal and its lock, and not others in their place."""
        return same_file(self.path, self._file) and same_file(lock_path(self.folder, self.slot), self._lock)

    def recreate(self) -> bool:
        """The folder was emptied or replaced: all that is live goes into it again, under a new lock.

        False where another process holds the slot now: what the folder has is that one's.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        if same_file(lock_path(self.folder, self.slot), self._lock):  # the journal alone has gone
            self._rewrite(self._content())
            return True
        if (lock := lock_slot(self._files, self.folder, self.slot)) is None:
            return False
        try:
            self._rewrite(self._content())
        except OSError:
            os.close(lock)  # a lock that is kept here would look like another process's the next time
            raise
        os.close(self._lock)
        self._lock = lock
        return True

    def _rewrite(self, content: bytes) -> None:
        """This content is the journal from now on; OSError where it could not be written, and nothing
        changed.
        """
        file = self._files.open(self._spare, MADE_ANEW)
        try:
            write_all(self._files, file, content)
            self._replace_by(file)
        except OSError:
            self._close(file)
            raise
        self._close(self._file)
        self._file, self._size = file, len(content)
        self._unwritten, self._torn, self.failing = [], False, False

    def _replace_by(self, file: int) -> None:
        """Put this open file, the spare one, in the journal's place; OSError where it may not be there.

        The call may report an error after it took effect. The old file then has no name any more, and what
        went on being written to it would be gone with the process.
        """
        try:
            self._files.replace(self._spare, self.path)
        except OSError:
            self._misplaced = True
            if not same_file(self.path, file):
                raise
        self._misplaced = False

    def _find_place(self) -> None:
        """After a replace that failed: go on in the file that the path names, or write it anew; OSError."""
        if self._misplaced and not same_file(self.path, self._file):
            self._rewrite(self._content())
        self._misplaced = False

    def _content(self) -> bytes:
        clocks = record(b"C", list(self.time.stamp()))
        live = [stored.record() for stored in self.live.values()]
        return b"".join([clocks, *end_records(self.outcomes.items()), *live])

    # Other slots

    def adopt(self) -> list[StoredMessage]:
        """Take over the journal of each slot whose process has gone: what is live there is this one's now.

        Its records are appended here in one write before its file goes, so that a crash in between leaves
        them twice, never nowhere; read twice, the copies are one message and an ended id stays ended. Where
        it cannot be read or written, it is as if that slot had not been looked at: its turn comes later.
        """
        self.unadopted, self.in_use, self.unreadable = [], [], []
        adopted: list[StoredMessage] = []
        for slot in range(self._slots):
            if slot == self.slot:
                continue
            try:
                adopted += self._adopt(slot)
            except OSError:
                self.unreadable.append(slot_paths(self.folder, slot)[0])
                self.unadopted.append(self.unreadable[-1])
        return adopted

    def _adopt(self, slot: int) -> list[StoredMessage]:
        path, spare = slot_paths(self.folder, slot)
        fresh: list[StoredMessage] = []
        if slot not in self._adopted:
            if not path.exists():
                return []
            if (lock := lock_slot(self._files, self.folder, slot)) is None:
                self.unadopted.append(path)
                self.in_use.append(path)
                return []
            try:
                self._try_to_write()
                fresh = self._take_over(self._files.read(path))
                self._adopted[slot] = lock
            finally:
                if slot not in self._adopted:
                    os.close(lock)
        try:
            self._files.unlink(path)
            self._files.unlink(spare)
        except OSError:  # it is an older copy by now: nobody may take it for its own until it has gone
            self.unadopted.append(path)
        else:
            self._close(self._adopted.pop(slot))
        return fresh

    def _try_to_write(self) -> None:
        """OSError where the disk still takes no records: another journal would be read in vain."""
        if self.failing:
            self.flush()
        if self.failing:
            raise OSError(errno.EIO, "no records are taken")

    def _take_over(self, content: bytes) -> list[StoredMessage]:
        """Write down what another journal holds, then hold it; the messages that are new here. OSError where
        it cannot be written, and nothing changed.
        """
        theirs, cut = self._read(content, self.time.stamp())
        told = {i: end for i, end in theirs.outcomes.items() if i not in self.outcomes}
        copies = [one for i, one in theirs.live.items() if i not in self.outcomes]
        self._write(b"".join([*end_records(told.items()), *(stored.record() for stored in copies)]))
        self.truncated_bytes += cut
        for msg_id, end in told.items():
            self._forget(msg_id, end)
        fresh = []
        for stored in copies:
            if stored.id in self.live:
                self.live[stored.id].merge(stored)
            else:
                self._add(stored)
                fresh.append(stored)
        return fresh

    # What is live

    def _add(self, stored: StoredMessage) -> None:
        self.live[stored.id] = stored
        self._live_bytes += self._cost(stored)

    def _forget(self, msg_id: str, end: MessageOutcome) -> None:
        if (stored := self.live.get(msg_id)) is not None:
            self._live_bytes -= self._cost(stored)
        self._contents.forget(msg_id, end)

    @staticmethod
    def _cost(stored: StoredMessage) -> int:
        return len(stored.body) + len(stored.id) + len(stored.key) + _PER_LIVE

    # Room

    def _compact_bytes(self) -> int:
        return self._live_bytes + 96 * len(self.outcomes)

    def has_capacity(self, size: int) -> bool:
        """Whether a message with a body of this size may be taken on; compacts if that makes room."""
        return self._fits(size + _PER_LIVE, _RESERVE)

    def _fits(self, size: int, reserve: int) -> bool:
        # The file and its compacted copy lie side by side for a moment, so both must fit.
        def full() -> bool:
            both = _blocks(self._size + size) + _blocks(self._compact_bytes() + size)
            return both + reserve + self._others_bytes() > self._most

        if self._size > 4 * self._compact_bytes() + _SLACK or full():
            self._compact()
        return not full()

    def _others_bytes(self) -> int:
        """What the journals of other processes on the same folder take of its room."""
        total = 0
        for path in self.unadopted:
            with contextlib.suppress(OSError):  # adopted or gone meanwhile
                total += _blocks(path.stat().st_size)
        return total

    def _compact(self) -> None:
        if self._size < self._compacted + max(4096, self._compacted // 8):
            return  # nearly all of it is live: writing it anew each time would make no room
        if self.time.now() < self._compact_from:
            return
        content = self._content()
        both = _blocks(self._size) + _blocks(len(content)) + self._others_bytes()
        if len(content) >= self._size or both > self._most:
            return
        try:
            self._rewrite(content)
        except OSError:  # the old file still holds everything
            self._discard(self._spare)
            self._compact_from = self.time.now() + _COMPACT_AGAIN_S
            return
        self._compacted = self._size

    # Writing

    def _cut_off(self) -> None:
        if self._torn:
            self._files.truncate(self._file, self._size)
            self._torn = False

    def _write(self, content: bytes) -> None:
        """Append this, behind all that is still to be written; OSError where nothing of it counts."""
        stamps: list[Stamp] = []
        try:
            self._find_place()  # first: it may write what is still to be written
            stamps = self._stamps_due()
            if stamps or self._unwritten:
                before = [record(b"C", list(one)) for one in stamps]
                content = b"".join([*before, *self._unwritten, content])
            self._cut_off()
            self._torn = True
            write_all(self._files, self._file, content)
        except OSError:
            with contextlib.suppress(OSError):  # or before the next record
                self._cut_off()
            self.failing = True
            self._ask()
            raise
        self._torn = False
        self._size += len(content)
        self._unwritten, self.failing = [], False
        if stamps:
            self._stamped = stamps[-1]

    def _append(self, content: bytes, reserve: int) -> None:
        if not self._fits(len(content) + sum(map(len, self._unwritten)), reserve):
            raise JournalFullError(f"{self._size} of {self._most} bytes in use")
        try:
            self._write(content)
        except OSError as error:
            raise JournalFullError(str(error)) from error

    def _stamps_due(self) -> list[Stamp]:
        """How the clocks stand, where the file does not say it of a moment ago; before it how they stood when
        what is before it in the file was read, so that the next process reads that as this one did.
        """
        last = self._stamped or self._opened
        stamps = [] if self._stamped is not None else [self._opened]
        if self.failing or self.time.now() - last.base >= STAMP_EVERY_S:  # or to see whether it is written
            stamps.append(self.time.stamp())
        return stamps

    def _ask(self) -> None:
        if self.on_failing is not None:
            self.on_failing()

    def flush(self) -> bool:
        """Write what could not be written before; whether nothing is left, and the disk takes records."""
        if self._unwritten or self.failing:
            with contextlib.suppress(JournalFullError):
                self._append(b"", 0)
        return not self._unwritten and not self.failing

    def accept(self, stored: StoredMessage) -> None:
        """A message is taken on; JournalFullError where it is not."""
        content = stored.record()
        if len(content) > _MOST_RECORD:
            raise JournalFullError("the message is too large")
        self._append(content, _RESERVE)
        self._add(stored)

    def attempt(self, msg_ids: Iterable[str], at: float, zone: int) -> None:
        """Before the first byte: from here on, at this time, each of these may have run. JournalFullError
        where none of them may be sent.
        """
        msg_ids = [i for i in msg_ids if i in self.live]
        self._append(b"".join(record(b"A", [i, at, zone]) for i in msg_ids), 0)
        for i in msg_ids:
            self._contents.apply(b"A", [i, at, zone])

    def _note(self, kind: bytes, head: list[Any]) -> bool:
        content = record(kind, head)
        try:
            self._append(content, 0)
        except JournalFullError:
            self._unwritten.append(content)
            self._ask()
        return not self._unwritten

    def never_ran(self, msg_id: str) -> bool:
        """The last attempt did not; whether that is on record by now. So with the next two."""
        written = self._note(b"O", [msg_id])
        self._contents.apply(b"O", [msg_id])
        return written

    def abandon(self, msg_id: str, end: MessageOutcome) -> bool:
        """The message has this end, which is still to be told."""
        written = self._note(b"N", [msg_id, end.status, end.retry_after_ms])
        self._contents.apply(b"N", [msg_id, end.status, end.retry_after_ms])
        return written

    def finish(self, msg_id: str, end: MessageOutcome) -> bool:
        """The message has ended, and nothing more is owed."""
        written = self._note(b"E", [msg_id, end.status, end.retry_after_ms])
        self._forget(msg_id, end)
        return written
