"""What the other processes of a folder have accepted: their journals, read on from the last position.

A message's record is in its file before its client is answered, so the files tell which ids are known.
Reading alone leaves a race: two processes may both find that an id is new. `IdLock` therefore serialises the
last look at the other journals and the record of a new message. The kernel releases it when its holder dies.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Iterator, Mapping
from pathlib import Path

from mountgauge.core.files import Files
from mountgauge.core.journal_records import JournalContents, StoredMessage
from mountgauge.core.journal_slots import slot_paths
from mountgauge.core.ports import MessageOutcome

_LOCK_NAME = "lock.ids"
_LOCK_ATTEMPTS = 6
_LOCK_RETRY_S = 0.0002  # a holder needs it for less; a suspended one is not waited for


class IdLockBusyError(OSError):
    """Another process holds the lock: whether an id is known there cannot be decided now."""


class IdLock:
    """Held by a process of the folder while it decides that an id is new and records it."""

    def __init__(self, files: Files, folder: Path) -> None:
        self._files, self._path = files, folder / _LOCK_NAME
        self._file: int | None = None

    @contextlib.contextmanager
    def held(self) -> Iterator[None]:
        """Hold the lock. Raises IdLockBusyError, or OSError if the file cannot be opened."""
        if self._file is None:
            self._file = self._files.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC)
        self._acquire(self._file)
        try:
            yield
        finally:
            fcntl.flock(self._file, fcntl.LOCK_UN)

    @staticmethod
    def _acquire(file: int) -> None:
        for attempt in range(_LOCK_ATTEMPTS):
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if attempt < _LOCK_ATTEMPTS - 1:
                    time.sleep(_LOCK_RETRY_S)
            else:
                return
        raise IdLockBusyError("another process of the folder holds the lock for new ids")

    def close(self) -> None:
        """Close the file; it is opened again when needed."""
        if self._file is not None:
            with contextlib.suppress(OSError):  # the descriptor is closed even if this fails
                self._files.close(self._file)
            self._file = None


class _FollowedJournal:
    """One journal of another process, and what has been read of it."""

    def __init__(self, files: Files, path: Path, max_outcomes: int) -> None:
        self._files = files
        self._file = files.open(path, os.O_RDONLY | os.O_CLOEXEC)
        self._read_bytes = 0
        self.contents = JournalContents(max_outcomes)

    def is_at(self, stat: os.stat_result) -> bool:
        """Whether this is the file that its path names; a compaction replaces it."""
        return os.path.samestat(stat, os.fstat(self._file))

    def read_on(self, size: int) -> None:
        """Apply the complete records that were appended since."""
        if size > self._read_bytes:
            content = self._files.read_at(self._file, size - self._read_bytes, self._read_bytes)
            self._read_bytes += self.contents.read(content)

    def close(self) -> None:
        with contextlib.suppress(OSError):  # the descriptor is closed even if this fails
            self._files.close(self._file)


class OtherJournals:
    """The messages and outcomes in the journals of the folder's other processes."""

    def __init__(self, files: Files, folder: Path, max_outcomes: int) -> None:
        self._files, self._folder, self._max_outcomes = files, folder, max_outcomes
        self._followed: dict[int, _FollowedJournal] = {}  # by slot
        self.unread = False  # a journal exists that could not be read

    def read_on(self, found: Mapping[int, os.stat_result]) -> None:
        """Read what was appended to these files, by slot; the others have been removed."""
        self.unread = False
        for slot in self._followed.keys() - found.keys():
            self._forget(slot)
        for slot, stat in found.items():
            try:
                self._read_one(slot, stat)
            except OSError:
                self._forget(slot)
                self.unread = True

    def _read_one(self, slot: int, stat: os.stat_result) -> None:
        followed = self._followed.get(slot)
        if followed is not None and not followed.is_at(stat):
            self._forget(slot)
            followed = None
        if followed is None:
            path, _ = slot_paths(self._folder, slot)
            followed = self._followed[slot] = _FollowedJournal(self._files, path, self._max_outcomes)
        followed.read_on(stat.st_size)

    def _forget(self, slot: int) -> None:
        if (followed := self._followed.pop(slot, None)) is not None:
            followed.close()

    def outcome(self, msg_id: str) -> MessageOutcome | None:
        """The outcome of a message that another process has finished."""
        for followed in self._followed.values():
            if (outcome := followed.contents.outcomes.get(msg_id)) is not None:
                return outcome
        return None

    def message(self, msg_id: str) -> StoredMessage | None:
        """The record of a message that another process has, with times in that process's base."""
        for followed in self._followed.values():
            if (stored := followed.contents.live.get(msg_id)) is not None:
                return stored
        return None

    def close(self) -> None:
        """Close the files."""
        for slot in list(self._followed):
            self._forget(slot)
