"""The lasting log: what was taken on, attempted and ended, in one checksummed file that is only appended to.

A record is its payload's length and CRC-32, then the payload: one letter, one JSON value and, behind a
line feed, the message's body. Data outlasts the process once `write()` has returned, so nothing is synced.

Times are in the base of the process that wrote them. A record `C` says how that base stood to its clocks,
before the first record of a process and then once a second at most, before another record.
"""

from __future__ import annotations

import contextlib
import fcntl
import math
import os
import struct
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from mountgauge.core.durable_time import (
    LONG_AGO,
    STAMP_EVERY_S,
    Basis,
    Clocks,
    ProcessTime,
    Stamp,
    SystemClocks,
    rebase,
)
from mountgauge.core.ports import End, Status

_HEAD = struct.Struct("<II")
_MOST_RECORD = 1 << 20
_BLOCK = 512  # each file counts in whole blocks
_RESERVE = 64 * 1024  # kept free of take-ons, so that attempts and ends still find room
_PER_LIVE = 512  # room for what attempts and an end add to a live message
_SLACK = 256 * 1024  # dead bytes that are not worth a compaction
_RECENT = 2000  # ends remembered, for ids that are handed in again
_SLOTS = 4  # processes that may share one folder: the old and the new one of a hand-over, and spare


class JournalFullError(Exception):
    """No room, or the write failed: nothing of this record is in the file."""


@dataclass(slots=True, eq=False)
class Stored:
    """A message that was taken on and has not ended. Times are in the base of this process."""

    id: str
    grade: str
    expires: float
    dest: int
    key: str
    front: str
    body: bytes
    attempts: int = 0
    ran: list[tuple[float, int]] = field(default_factory=list)  # when and in which zone it may have run
    notice: End | None = None  # given up, but not yet told

    def record(self) -> bytes:
        notice = [self.notice.status, self.notice.again_ms] if self.notice else None
        head = [
            self.id,
            self.grade,
            self.expires,
            self.dest,
            self.key,
            self.front,
            self.attempts,
            self.ran,
            notice,
        ]
        return _record(b"T", head, self.body)


@dataclass(slots=True)
class _Loading:
    """What is known of time while a file is read."""

    stamp: Stamp | None = None  # the last one
    newest: float = -math.inf  # time on record that has passed, in the base of the stamp
    ids: set[str] = field(default_factory=set)  # messages that this file takes on

    def passed(self, time: float) -> None:
        self.newest = max(self.newest, time)


def _record(kind: bytes, head: object, body: bytes | None = None) -> bytes:
    payload = kind + orjson.dumps(head) + (b"" if body is None else b"\n" + body)
    return _HEAD.pack(len(payload), zlib.crc32(payload)) + payload


def _paths(folder: Path, slot: int) -> tuple[Path, Path]:
    name = "journal" if slot == 0 else f"journal.{slot}"
    return folder / name, folder / f"{name}.new"


def _lock_path(folder: Path, slot: int) -> Path:
    return folder / ("lock" if slot == 0 else f"lock.{slot}")


def _lock(folder: Path, slot: int) -> int | None:
    """The slot's lock, held, or None where another process holds it."""
    lock = os.open(_lock_path(folder, slot), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return None
    return lock


def _same(path: Path, file: int) -> bool:
    """Whether this open file is what the path names."""
    try:
        return os.path.samestat(os.stat(path), os.fstat(file))
    except FileNotFoundError:
        return False


def _blocks(size: int) -> int:
    return -(-size // _BLOCK) * _BLOCK


class Journal:
    """One process's journal: a slot of the folder, held by a lock; free slots of others are adopted."""

    def __init__(
        self, folder: Path, disk_bytes: int, slots: int = _SLOTS, clock: Clocks | None = None
    ) -> None:
        self.folder, self.live, self.ends = folder, dict[str, Stored](), OrderedDict[str, End]()
        self.cut = 0  # bytes of a torn tail that were cut at the start
        self.time = ProcessTime(clock or SystemClocks())
        self._opened = self.time.stamp()  # by which what is found in the folder is read
        self._stamped: Stamp | None = None  # the last one in the file that is of this process
        self._most = disk_bytes
        self._live_bytes = 0
        self._slots = slots
        for slot in range(slots):
            lock = _lock(folder, slot)
            if lock is not None:
                break
        else:  # every slot is held by a living process: a third one on the folder would overlap them
            raise OSError(f"{folder}: in use by another process")
        self.slot, self._lock = slot, lock
        self.path, self._spare = _paths(folder, slot)
        self._spare.unlink(missing_ok=True)  # a compaction that the last process did not finish
        self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._compacted = 0  # size at the last compaction
        self._size = self._load(self.path, self._file)
        self.others: list[Path] = []  # journals of other processes, still held by them
        self.adopt()

    def close(self) -> None:
        os.close(self._file)
        os.close(self._lock)

    def standing(self) -> bool:
        """Whether the folder still holds this journal and its lock, and not others in their place."""
        return _same(self.path, self._file) and _same(_lock_path(self.folder, self.slot), self._lock)

    def write_anew(self) -> bool:
        """The folder was emptied or replaced: all that is live goes into it again, under a new lock.

        False where another process holds the slot now: what the folder has is that one's.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        if _same(_lock_path(self.folder, self.slot), self._lock):  # the journal alone has gone
            self._rewrite(self._content())
            return True
        if (lock := _lock(self.folder, self.slot)) is None:
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
        file = os.open(self._spare, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            self._write_all(file, content)
            os.replace(self._spare, self.path)
        except OSError:
            os.close(file)
            raise
        os.close(self._file)
        self._file, self._size = file, len(content)

    def _content(self) -> bytes:
        records = [_record(b"C", list(self.time.stamp()))]
        records += [_record(b"E", [i, e.status, e.again_ms]) for i, e in self.ends.items()]
        records += [stored.record() for stored in self.live.values()]
        return b"".join(records)

    def adopt(self) -> list[Stored]:
        """Take over the journal of each slot whose process has gone: what is live there is this one's now.

        Its records are appended here in one write before its file goes, so that a crash in between leaves
        them twice, never nowhere; read twice, a take-on replaces its copy and an ended id stays ended. Where
        they cannot be written, it is as if that slot had not been looked at: its turn comes later.
        """
        self.others, adopted = [], list[Stored]()
        for slot in range(self._slots):
            path, spare = _paths(self.folder, slot)
            if slot == self.slot or not path.exists():
                continue
            if (lock := _lock(self.folder, slot)) is None:
                self.others.append(path)
                continue
            try:
                before, ends = set(self.live), self.ends.copy()
                self._load(path, None)
                fresh = [stored for i, stored in self.live.items() if i not in before]
                told = [(i, end) for i, end in self.ends.items() if ends.get(i) is not end]
                records = [_record(b"E", [i, e.status, e.again_ms]) for i, e in told]
                records += [stored.record() for stored in fresh]
                stamps = [*([] if self._stamped else [self._opened]), self.time.stamp()]
                content = b"".join([*(_record(b"C", list(stamp)) for stamp in stamps), *records])
                try:
                    self._write_all(self._file, content)
                except OSError:  # half a record would cut off all that is appended behind it
                    os.ftruncate(self._file, self._size)
                    for stored in fresh:
                        del self.live[stored.id]
                        self._live_bytes -= self._cost(stored)
                    self.ends = ends
                    self.others.append(path)
                    continue
                self._size, self._stamped = self._size + len(content), stamps[-1]
                path.unlink()
                spare.unlink(missing_ok=True)
                adopted += fresh
            finally:
                os.close(lock)
        return adopted

    # Reading

    def _load(self, path: Path, file: int | None) -> int:
        content, loading = path.read_bytes(), _Loading()
        at = 0
        while at + _HEAD.size <= len(content):
            size, check = _HEAD.unpack_from(content, at)
            payload = content[at + _HEAD.size : at + _HEAD.size + size]
            if len(payload) < size or zlib.crc32(payload) != check or not self._replay(payload, loading):
                break
            at += _HEAD.size + size
        # A process killed in a write leaves a torn tail. All before it was complete, so only it goes.
        if at < len(content):
            self.cut += len(content) - at
            if file is not None:  # an adopted file goes whole once read
                os.ftruncate(file, at)
        self._rebase(loading, self.time.stamp())
        return at

    def _replay(self, payload: bytes, loading: _Loading) -> bool:
        kind = payload[:1]
        try:
            text, _, body = payload[1:].partition(b"\n")
            head = orjson.loads(text)
            if kind == b"C":
                boot, wall, monotonic, base = head
                self._rebase(loading, Stamp(str(boot), float(wall), float(monotonic), float(base)))
                return True
            self._apply(kind, head, body)
            if kind == b"T":
                loading.ids.add(head[0])
                for at, _ in head[7]:
                    loading.passed(at)
            elif kind == b"A":
                loading.passed(float(head[1]))
        except (ValueError, TypeError, IndexError):
            return False
        return True

    def _rebase(self, loading: _Loading, stamp: Stamp) -> None:
        """What was read so far has its times in the base of this stamp from now on."""
        shift, basis = rebase(loading.stamp, loading.newest, stamp)
        loading.stamp = stamp
        if shift or basis is Basis.SET_BACK:
            for stored in filter(None, map(self.live.get, loading.ids)):
                stored.expires += shift
                set_back = basis is Basis.SET_BACK
                stored.ran = [(LONG_AGO if set_back else at + shift, zone) for at, zone in stored.ran]
            loading.newest += shift
        loading.passed(stamp.base)

    def _apply(self, kind: bytes, head: list[Any], body: bytes) -> None:
        if kind == b"T":
            msg_id, grade, expires, dest, key, front, attempts, ran, notice = head
            if msg_id in self.ends:  # an older copy, from a journal adopted twice
                return
            told = End(Status(notice[0]), notice[1]) if notice else None
            times = [(float(at), int(zone)) for at, zone in ran]
            self._add(Stored(msg_id, grade, expires, dest, key, front, body, attempts, times, told))
            return
        stored = self.live.get(head[0])
        if kind == b"E":
            self._forget(head[0], End(Status(head[1]), head[2]))
        elif stored is None:
            return
        elif kind == b"A":
            stored.attempts += 1
            stored.ran.append((float(head[1]), int(head[2])))
        elif kind == b"O" and stored.ran:
            stored.ran.pop()
        elif kind == b"N":
            stored.notice = End(Status(head[1]), head[2])

    def _add(self, stored: Stored) -> None:
        if stored.id not in self.live:
            self._live_bytes += self._cost(stored)
        self.live[stored.id] = stored

    def _forget(self, msg_id: str, end: End) -> None:
        if (stored := self.live.pop(msg_id, None)) is not None:
            self._live_bytes -= self._cost(stored)
        self.ends[msg_id] = end
        while len(self.ends) > min(_RECENT, self._most // 1024):
            self.ends.popitem(last=False)

    @staticmethod
    def _cost(stored: Stored) -> int:
        return len(stored.body) + len(stored.id) + len(stored.key) + _PER_LIVE

    # Room

    def _compact_bytes(self) -> int:
        return self._live_bytes + 96 * len(self.ends)

    def room(self, size: int) -> bool:
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
        for path in self.others:
            with contextlib.suppress(OSError):  # adopted or gone meanwhile
                total += _blocks(path.stat().st_size)
        return total

    def _compact(self) -> None:
        if self._size < self._compacted + max(4096, self._compacted // 8):
            return  # nearly all of it is live: writing it anew each time would make no room
        content = self._content()
        both = _blocks(self._size) + _blocks(len(content)) + self._others_bytes()
        if len(content) >= self._size or both > self._most:
            return
        try:
            self._rewrite(content)
        except OSError:  # the old file still holds everything
            self._spare.unlink(missing_ok=True)
            return
        self._compacted = self._size

    # Writing

    @staticmethod
    def _write_all(file: int, content: bytes) -> None:
        view = memoryview(content)
        while view:
            view = view[os.write(file, view) :]

    def _append(self, content: bytes, reserve: int) -> None:
        stamps = self._stamps_due()
        content = b"".join([*(_record(b"C", list(stamp)) for stamp in stamps), content])
        if not self._fits(len(content), reserve):
            raise JournalFullError(f"{self._size} of {self._most} bytes in use")
        try:
            self._write_all(self._file, content)
        except OSError as error:
            # A short write on a full disk would leave half a record in front of all later ones.
            os.ftruncate(self._file, self._size)
            raise JournalFullError(str(error)) from error
        self._size += len(content)
        if stamps:
            self._stamped = stamps[-1]

    def _stamps_due(self) -> list[Stamp]:
        """How the clocks stand, where the file does not say it of a moment ago; before it how they stood when
        what is before it in the file was read, so that the next process reads that as this one did.
        """
        last = self._stamped or self._opened
        stamps = [] if self._stamped is not None else [self._opened]
        if self.time.now() - last.base >= STAMP_EVERY_S:
            stamps.append(self.time.stamp())
        return stamps

    def take(self, stored: Stored) -> None:
        content = stored.record()
        if len(content) > _MOST_RECORD:
            raise JournalFullError("the message is too large")
        self._append(content, _RESERVE)
        self._add(stored)

    def attempt(self, msg_ids: Iterable[str], at: float, zone: int) -> None:
        """Before the first byte: from here on, at this time, each of these may have run."""
        msg_ids = [i for i in msg_ids if i in self.live]
        self._append(b"".join(_record(b"A", [i, at, zone]) for i in msg_ids), 0)
        for i in msg_ids:
            self._apply(b"A", [i, at, zone], b"")

    def _note(self, kind: bytes, head: list[Any]) -> bool:
        try:
            self._append(_record(kind, head), 0)
        except JournalFullError:
            return False
        finally:
            self._apply(kind, head, b"")  # a later compaction writes it down
        return True

    def never_ran(self, msg_id: str) -> bool:
        return self._note(b"O", [msg_id])

    def give_up(self, msg_id: str, end: End) -> bool:
        return self._note(b"N", [msg_id, end.status, end.again_ms])

    def end(self, msg_id: str, end: End) -> bool:
        return self._note(b"E", [msg_id, end.status, end.again_ms])
