"""The message journal: accepted messages, their attempts and outcomes, in one checksummed append-only file.

Data outlasts the process once `write()` has returned, so nothing is synced.

The disk may fail for a while. A message or an attempt that cannot be recorded is not accepted or not made.
The record of an outcome, or that an attempt never ran, is kept and written before the next record. A partial
record at the end of the file is truncated before anything is appended, so that no record follows it.
"""

from __future__ import annotations

import contextlib
import errno
import math
import os
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from mountgauge.core.durable_time import STAMP_EVERY_S, Clocks, ProcessTime, Stamp, SystemClocks
from mountgauge.core.files import APPEND_FLAGS, TRUNCATE_FLAGS, Files, SystemFiles, write_all
from mountgauge.core.folder_space import FolderSpace, blocks, file_blocks
from mountgauge.core.journal_copies import Content, Copies, copies_of
from mountgauge.core.journal_records import (
    JournalContents,
    MessageEncoder,
    StoredMessage,
    ZoneNames,
    definition_record,
    record,
    zones_record,
)
from mountgauge.core.journal_slots import SLOTS, lock_path, lock_slot, same_file, slot_paths
from mountgauge.core.other_journals import IdLock, OtherJournals
from mountgauge.core.ports import MessageOutcome

__all__ = ["Journal", "JournalFullError", "JournalUnavailableError", "StoredMessage"]

_MAX_RECORD_BYTES = 1 << 20
_RESERVE_BYTES = 64 * 1024  # not used for new messages, so that attempts and outcomes can still be recorded
_PER_MESSAGE_BYTES = 512  # for the records of attempts and an outcome that follow a message
_COMPACTION_SLACK_BYTES = 256 * 1024  # dead bytes that do not justify a compaction
_MAX_OUTCOMES = 2000  # remembered, to answer ids that are submitted again
_RECENT_S = 0.1
_COMPACT_RETRY_S = 1.0  # after a compaction that failed


class JournalFullError(Exception):
    """The capacity is used up or the write failed: nothing of this record is in the file."""


class JournalUnavailableError(OSError):
    """The folder cannot be read or written: the unfinished messages are unknown, and no slot is held."""


class _HeldSlot(NamedTuple):
    """A slot, and the descriptor of its lock, which this process holds."""

    slot: int
    lock: int


class Journal:
    """One process's journal: a slot of the folder, held by a lock; slots of ended processes are adopted."""

    def __init__(
        self,
        folder: Path,
        disk_bytes: int,
        slots: int = SLOTS,
        clock: Clocks | None = None,
        files: Files | None = None,
        zones: Iterable[str] = (),
    ) -> None:
        """`zones`: the names of the zones, by number.

        Raises JournalUnavailableError if the system fails, OSError if other processes hold all slots.
        """
        self.folder, self._files = folder, files or SystemFiles()
        self.truncated_bytes = 0  # bytes at the ends of files that were no complete records
        self.time = ProcessTime(clock or SystemClocks())
        self._opening_stamp = self.time.stamp()  # the time base for what is found in the folder
        self._last_stamp: Stamp | None = None  # the last one that this process wrote to the file
        self.zones = ZoneNames(zones)
        self._written_zones: list[str] = []  # that hold at the end of the file
        self._encoder = MessageEncoder()  # knows the class definitions that hold at the end of the file
        self._max_bytes = disk_bytes
        self._slots = slots
        self._space = FolderSpace(folder, slots)
        self.others = OtherJournals(self._files, folder, self._max_outcomes)
        self._id_lock = IdLock(self._files, folder)
        self._measure_is_current = False  # no other process accepts anything since the folder was measured
        self.failing = False  # the last write failed
        self.on_failing: Callable[[], None] | None = None  # called when `flush` has to be called later
        self._unwritten: list[bytes] = []  # records that must be written before any later one
        self._torn = False  # the file may end in a partial record
        self._misplaced = False  # the path may name another file than the open one
        self._compact_from = -math.inf  # the earliest time for a compaction
        self._compacted_size = 0  # size at the last compaction
        try:
            free = self._free_slot()
            if free is not None:
                self.slot, self._lock = free
                self._open()
        except OSError as error:
            raise JournalUnavailableError(error.errno, error.strerror, str(folder)) from error
        if free is None:  # every slot is held by a running process: one more would overlap them
            raise OSError(f"{folder}: in use by another process")
        self.unadopted: list[Path] = []  # journals of other processes, not adopted yet
        self.unreadable: list[Path] = []  # those of them that could not be read, whose messages are unknown
        self.in_use: list[Path] = []  # those of them whose processes are running
        self._adopted_locks: dict[int, int] = {}  # by adopted slot, until its files are removed
        self.adopt()

    def _free_slot(self) -> tuple[int, int] | None:
        """The first slot that no process holds, and its lock; None if there is none."""
        for slot in range(self._slots):
            if (lock := lock_slot(self._files, self.folder, slot)) is not None:
                return slot, lock
        return None

    def _open(self) -> None:
        self.path, self._spare = slot_paths(self.folder, self.slot)
        self._remove_if_possible(self._spare)  # of a compaction that the last process did not finish
        try:
            self._file = self._files.open(self.path, APPEND_FLAGS)
            try:
                content = self._files.read(self.path)
            except OSError:
                self._close(self._file)
                raise
        except OSError:
            self._close(self._lock)
            raise
        contents, self.truncated_bytes = self._read(content, self._opening_stamp)
        self._contents = contents
        self.live, self.outcomes = contents.live, contents.outcomes
        self._live_bytes = sum(map(self._bytes_of, self.live.values()))
        # A process killed during a write leaves a torn tail. All records before it are complete.
        self._size = len(content) - self.truncated_bytes
        self._torn = self.truncated_bytes > 0
        with contextlib.suppress(OSError):  # retried before the first record is appended
            self._truncate_torn()

    def _read(self, content: bytes, now: Stamp) -> tuple[JournalContents, int]:
        """The contents of a file, and how many bytes at its end are no complete records."""
        contents = JournalContents(self._max_outcomes, self.zones)
        incomplete_bytes = len(content) - contents.read(content)
        contents.end_section()
        contents.rebase(now)
        return contents, incomplete_bytes

    @property
    def _max_outcomes(self) -> int:
        return min(_MAX_OUTCOMES, self._max_bytes // 1024)

    def close(self) -> None:
        """Close the journal; records that cannot be written now are lost."""
        self.flush()
        self._unwritten, self.failing, self.on_failing = [], False, None
        self._close(self._file)
        for lock in (self._lock, *self._adopted_locks.values()):
            self._close(lock)
        self._id_lock.close()
        self.others.close()

    def _close(self, file: int) -> None:
        with contextlib.suppress(OSError):  # the descriptor is closed even if this fails
            self._files.close(file)

    def _remove_if_possible(self, path: Path) -> None:
        """Remove a useless file. If that fails, it is overwritten or removed later."""
        with contextlib.suppress(OSError):
            self._files.unlink(path)

    def is_in_place(self) -> bool:
        """Whether the folder still contains this journal and its lock, and no replacements."""
        return same_file(self.path, self._file) and same_file(lock_path(self.folder, self.slot), self._lock)

    def recreate(self) -> bool:
        """Write the journal again after the folder was emptied or replaced, under a new lock.

        Returns False if another process holds the slot now, and owns what is in the folder.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._id_lock.close()  # its file is missing as well
        if same_file(lock_path(self.folder, self.slot), self._lock):  # only the journal is missing
            self._rewrite(self._content())
            return True
        if (lock := lock_slot(self._files, self.folder, self.slot)) is None:
            return False
        try:
            self._rewrite(self._content())
        except OSError:
            os.close(lock)  # kept open it would look like another process's lock the next time
            raise
        os.close(self._lock)
        self._lock = lock
        return True

    def _rewrite(self, content: Content) -> None:
        """Replace the journal's content. Raises OSError if that fails, and changes nothing."""
        file = self._files.open(self._spare, TRUNCATE_FLAGS)  # from now on other processes count the copy
        try:
            self._require_space(file_blocks(self.path) + blocks(len(content.records)))
            write_all(self._files, file, content.records)
            self._replace_by(file)
        except OSError:
            self._close(file)
            raise
        self._close(self._file)
        self._file, self._size, self._encoder = file, len(content.records), content.encoder
        self._unwritten, self._torn, self.failing = [], False, False
        self._written_zones = list(self.zones.names)

    def _replace_by(self, file: int) -> None:
        """Rename the spare file, which is open as `file`, to the journal's path. Raises OSError if it may not
        be there.

        The call may report an error after it took effect. The old file then has no name, and records written
        to it would be lost with the process.
        """
        try:
            self._files.replace(self._spare, self.path)
        except OSError:
            self._misplaced = True
            if not same_file(self.path, file):
                raise
        self._misplaced = False

    def _ensure_in_place(self) -> None:
        """After a failed replace, make sure that the open file is the one that the path names, or rewrite it.
        Raises OSError.
        """
        if self._misplaced and not same_file(self.path, self._file):
            self._rewrite(self._content())
        self._misplaced = False

    def _content(self) -> Content:
        return Content.of(self._section([self.time.stamp()]), self._contents)

    def _section(self, stamps: Sequence[Stamp]) -> bytes:
        """The records with which a section begins: the stamps, then what holds up to the next one."""
        clocks = [record(b"C", list(one)) for one in stamps]
        zones = [zones_record(self.zones.names)] if self.zones.names else []
        return b"".join([*clocks, *zones])

    # Other slots

    def read_others(self) -> None:
        """Read what the other processes of the folder have recorded since the last time."""
        found = self._space.look(self.slot, self.time.now())
        for slot in self._adopted_locks.keys() & found.keys():  # outdated: the records are in this journal
            del found[slot]
        self.others.read_on(found)

    @contextlib.contextmanager
    def deciding_on_id(self) -> Iterator[None]:
        """No other process of the folder accepts a message meanwhile, and what they have accepted is read.
        Raises OSError if that cannot be had.
        """
        with self._id_lock.held():
            self.read_others()
            self._measure_is_current = True
            try:
                yield
            finally:
                self._measure_is_current = False

    def adopt(self) -> list[StoredMessage]:
        """Adopt the journal of each slot whose process has ended, and return its messages.

        The adopted records are appended here in one write before their file is removed. A crash in between
        leaves two copies, but never none; read again, the copies are one message, and a finished id stays
        finished. A slot that cannot be read or written is tried again later.
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
        if slot not in self._adopted_locks:
            if not path.exists():
                return []
            if (lock := lock_slot(self._files, self.folder, slot)) is None:
                self.unadopted.append(path)
                self.in_use.append(path)
                return []
            try:
                self._require_writable()
                self._remove_if_possible(spare)
                content = self._files.read(path)
                copies = self._copies(content)
                with self._id_lock.held():  # a third process finds each id in one of the two files
                    if self._space_left() >= blocks(self._size + copies.size) - blocks(self._size):
                        self._write(copies.outcomes, copies.messages)
                        outdated = _HeldSlot(slot, lock)
                    else:
                        outdated = self._move_to(slot, lock, len(content) - copies.incomplete_bytes)
                fresh = self._apply_copies(copies)
                self._adopted_locks[outdated.slot] = outdated.lock
            finally:
                if lock not in (self._lock, *self._adopted_locks.values()):
                    os.close(lock)
            slot = outdated.slot
        self._remove_outdated(slot)
        return fresh

    def _remove_outdated(self, slot: int) -> None:
        """Remove the files of a slot whose records are in this journal."""
        path, spare = slot_paths(self.folder, slot)
        try:
            self._files.unlink(path)
            self._files.unlink(spare)
        except OSError:  # an outdated copy: keep its lock, so that no process opens it as its own
            self.unadopted.append(path)
        else:
            self._close(self._adopted_locks.pop(slot))

    def _move_to(self, slot: int, lock: int, size: int) -> _HeldSlot:
        """Append this journal's content to the journal of another slot, of which `size` bytes are complete
        records, and use that one from now on: the folder has no room for a copy of the other journal.

        Returns the slot that was left. Raises OSError if the records cannot be written, and changes nothing.
        While both exist the accepting processes have left room for a copy of one of the two.
        """
        path, spare = slot_paths(self.folder, slot)
        content = self._content()  # begins with a stamp, so that the times before it are converted
        moved_size = size + len(content.records)
        self._require_space(blocks(self._size) + blocks(moved_size) - file_blocks(path))
        file = self._files.open(path, APPEND_FLAGS)
        try:
            self._files.truncate(file, size)
            write_all(self._files, file, content.records)
        except OSError:
            with contextlib.suppress(OSError):  # else the next reader finds an incomplete record
                self._files.truncate(file, size)
            self._close(file)
            raise
        self._close(self._file)
        left = _HeldSlot(self.slot, self._lock)
        self.slot, self._lock, self.path, self._spare, self._file = slot, lock, path, spare, file
        self._size, self._compacted_size, self._encoder = moved_size, 0, content.encoder
        self._last_stamp, self._written_zones = self.time.stamp(), list(self.zones.names)
        self._unwritten, self._torn, self._misplaced, self.failing = [], False, False, False
        return left

    def _require_writable(self) -> None:
        """Raise OSError while no records can be written: reading another journal would be useless."""
        if self.failing:
            self.flush()
        if self.failing:
            raise OSError(errno.EIO, "no records can be written")

    def _copies(self, content: bytes) -> Copies:
        """What another journal's content adds to this one."""
        theirs, incomplete_bytes = self._read(content, self.time.stamp())
        return copies_of(theirs, incomplete_bytes, self._contents)

    def _apply_copies(self, copies: Copies) -> list[StoredMessage]:
        """Apply what another journal adds, once it is on record; returns the messages that are new here."""
        self.truncated_bytes += copies.incomplete_bytes
        for msg_id, outcome in copies.finished.items():
            self._remove_live(msg_id, outcome)
        fresh = []
        for stored in copies.messages:
            if stored.id in self.live:
                self.live[stored.id].merge(stored)
            else:
                self._add(stored)
                fresh.append(stored)
        return fresh

    # What is live

    def _add(self, stored: StoredMessage) -> None:
        self.live[stored.id] = stored
        self._live_bytes += self._bytes_of(stored)

    def _remove_live(self, msg_id: str, outcome: MessageOutcome) -> None:
        if (stored := self.live.get(msg_id)) is not None:
            self._live_bytes -= self._bytes_of(stored)
        self._contents.finish(msg_id, outcome)

    @staticmethod
    def _bytes_of(stored: StoredMessage) -> int:
        return len(stored.body) + len(stored.id) + len(stored.key) + _PER_MESSAGE_BYTES

    # Capacity

    def _compact_bytes(self) -> int:
        return self._live_bytes + 96 * len(self.outcomes)

    def has_capacity(self, size: int) -> bool:
        """Whether a message with a body of this size may be accepted; compacts the file if that helps."""
        return self._has_room_for_message(size + _PER_MESSAGE_BYTES)

    def _has_room_for_message(self, size: int) -> bool:
        """Whether a message's record may be appended, of at most this size.

        A complete copy of the file may exist beside it for a moment, so both must fit. Another process may
        adopt this file, or have its own adopted: a copy of the one that accepted last has room.
        """

        def full() -> bool:
            both = blocks(self._size + size) + blocks(self._compact_bytes() + size)
            beside = self._beside(_RECENT_S if self._measure_is_current else 0.0)
            return both + _RESERVE_BYTES + beside > self._max_bytes

        return self._has_room(full)

    def _has_room_for_record(self, size: int) -> bool:
        """Whether a record about an accepted message may be appended, which needs no room for a copy: the
        messages of a nearly full folder have to be attempted and finished, so that it becomes emptier.

        Acceptance has left room for these records, so that an older measure will do while the reserve is
        unused.
        """

        def full() -> bool:
            own = blocks(self._size + size)
            if own + _RESERVE_BYTES + self._beside(_RECENT_S) <= self._max_bytes:
                return False
            return own + self._beside() > self._max_bytes

        return self._has_room(full)

    def _has_room(self, full: Callable[[], bool]) -> bool:
        """Whether the folder is not full, after a compaction if that may help."""
        if self._size <= 4 * self._compact_bytes() + _COMPACTION_SLACK_BYTES and not full():
            return True
        self._compact()
        return not full()

    def _beside(self, max_age_s: float = 0.0) -> int:
        """The part of the limit that other files of the folder take, measured at most so long ago."""
        return self._space.beside(self.slot, self.time.now(), max_age_s)

    def _space_left(self) -> int:
        """How many bytes this process may still write."""
        return self._max_bytes - blocks(self._size) - self._beside()

    def _require_space(self, size: int) -> None:
        """Raise OSError unless files of this process of `size` bytes together may exist in the folder."""
        if size + self._beside() > self._max_bytes:
            raise OSError(errno.ENOSPC, "the folder's limit")

    def _compact(self) -> None:
        if self._size < self._compacted_size + max(4096, self._compacted_size // 8):
            return  # nearly all of it is live: rewriting it each time would free nothing
        if self.time.now() < self._compact_from:
            return
        content = self._content()
        size = len(content.records)
        if size >= self._size or blocks(size) > self._space_left():
            return
        try:
            self._rewrite(content)
        except OSError:  # the old file is still complete
            self._remove_if_possible(self._spare)
            self._compact_from = self.time.now() + _COMPACT_RETRY_S
            return
        self._compacted_size = self._size

    # Writing

    def _truncate_torn(self) -> None:
        if self._torn:
            self._files.truncate(self._file, self._size)
            self._torn = False

    def _write(self, content: bytes, messages: Sequence[StoredMessage] = ()) -> None:
        """Append this, and these messages, after all records still to be written. Raises OSError if none of
        it was written.
        """
        stamps: list[Stamp] = []
        try:
            self._ensure_in_place()  # first, because it may write the records still to be written
            stamps = self._due_stamps()
            encoder = MessageEncoder() if stamps else MessageEncoder(self._encoder.defined)
            if stamps or self._unwritten or messages:
                content = b"".join([*self._unwritten, content, encoder.encode(messages)])
            if stamps or self._written_zones != self.zones.names:
                content = self._section(stamps) + content
            self._truncate_torn()
            self._torn = True
            write_all(self._files, self._file, content)
        except OSError:
            with contextlib.suppress(OSError):  # retried before the next record
                self._truncate_torn()
            self.failing = True
            self._request_flush()
            raise
        self._torn = False
        self._size += len(content)
        self._unwritten, self.failing, self._encoder = [], False, encoder
        self._written_zones = list(self.zones.names)
        if stamps:
            self._last_stamp = stamps[-1]

    def _append(self, content: bytes) -> None:
        """Append records about accepted messages; raises JournalFullError if none of it was written."""
        self._require_room(self._has_room_for_record(len(content) + sum(map(len, self._unwritten))))
        self._write_or_full(content)

    def _require_room(self, has_room: bool) -> None:
        if not has_room:
            raise JournalFullError(f"{self._size} of {self._max_bytes} bytes in use")

    def _write_or_full(self, content: bytes, messages: Sequence[StoredMessage] = ()) -> None:
        try:
            self._write(content, messages)
        except OSError as error:
            raise JournalFullError(str(error)) from error

    def _due_stamps(self) -> list[Stamp]:
        """The clock stamps to write before the next record: the current one, unless the file has a recent
        one. The first is preceded by the stamp of the opening, when the earlier content of the file was read,
        so that the next process reads that content as this one did.
        """
        last = self._last_stamp or self._opening_stamp
        stamps = [] if self._last_stamp is not None else [self._opening_stamp]
        if self.failing or self.time.now() - last.base >= STAMP_EVERY_S:  # a failing disk is probed with it
            stamps.append(self.time.stamp())
        return stamps

    def _request_flush(self) -> None:
        if self.on_failing is not None:
            self.on_failing()

    def flush(self) -> bool:
        """Write the records that failed before; returns whether none is left, and writing works."""
        if self._unwritten or self.failing:
            with contextlib.suppress(JournalFullError):
                self._append(b"")
        return not self._unwritten and not self.failing

    def accept(self, stored: StoredMessage) -> None:
        """Record an accepted message; raises JournalFullError if it cannot be recorded."""
        size = len(stored.record()) + len(definition_record(stored.class_name, stored.message_class))
        if size > _MAX_RECORD_BYTES:
            raise JournalFullError("the message is too large")
        self._require_room(self._has_room_for_message(size + sum(map(len, self._unwritten))))
        self._write_or_full(b"", [stored])
        self._add(stored)

    def attempt(self, msg_ids: Iterable[str], at: float, zone: int) -> None:
        """Record an attempt before its first byte: from this time each of these messages may have run. Raises
        JournalFullError if none of them may be sent.
        """
        msg_ids = [i for i in msg_ids if i in self.live]
        content = b"".join(record(b"A", [i, at, zone]) for i in msg_ids)
        self._append(content)
        for i in msg_ids:
            self._contents.apply(b"A", [i, at, zone])

    def _append_or_keep(self, kind: bytes, head: list[Any]) -> bool:
        content = record(kind, head)
        try:
            self._append(content)
        except JournalFullError:
            self._unwritten.append(content)
            self._request_flush()
        return not self._unwritten

    def never_ran(self, msg_id: str) -> bool:
        """Record that the last attempt did not run. Like the next two methods it returns whether the record
        is written, and keeps it for later if not.
        """
        written = self._append_or_keep(b"O", [msg_id])
        self._contents.apply(b"O", [msg_id])
        return written

    def abandon(self, msg_id: str, outcome: MessageOutcome) -> bool:
        """Record the outcome of a message, which is still to be reported."""
        written = self._append_or_keep(b"N", [msg_id, outcome.status, outcome.retry_after_ms])
        self._contents.apply(b"N", [msg_id, outcome.status, outcome.retry_after_ms])
        return written

    def finish(self, msg_id: str, outcome: MessageOutcome) -> bool:
        """Record that the message is finished, and nothing more is owed."""
        written = self._append_or_keep(b"E", [msg_id, outcome.status, outcome.retry_after_ms])
        self._remove_live(msg_id, outcome)
        return written
