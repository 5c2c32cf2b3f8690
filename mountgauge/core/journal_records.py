"""The journal's records, and what a file of them says.

A record is its payload's length and CRC-32, then the payload: one letter, one JSON value and, behind a line
feed, the message's body. `T` takes a message on, `A` is an attempt that may run, `O` says that the last one
never ran, `N` that the message was given up, `E` that it ended.

Times are in the base of the process that wrote them. A record `C` says how that base stood to its clocks.
No I/O, no clock.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from mountgauge.core.durable_time import AGREE_S, LONG_AGO, Basis, Stamp, rebase
from mountgauge.core.ports import MessageOutcome, Status

_HEAD = struct.Struct("<II")


@dataclass(slots=True, eq=False)
class StoredMessage:
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
    notice: MessageOutcome | None = None  # given up, but not yet told

    def record(self) -> bytes:
        """Its take-on, with all that has become of it."""
        notice = [self.notice.status, self.notice.retry_after_ms] if self.notice else None
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
        return record(b"T", head, self.body)

    def merge(self, copy: StoredMessage) -> None:
        """Take in another record of this message: an attempt that either knows of may have run."""
        ran: list[tuple[float, int]] = []
        for at, zone in sorted([*self.ran, *copy.ran]):
            if not any(other == zone and at - before <= AGREE_S for before, other in ran):
                ran.append((at, zone))
        longer = max(self.ran, copy.ran, key=len)
        self.ran = ran if len(ran) > len(longer) else list(longer)
        self.attempts = max(self.attempts, copy.attempts)
        self.notice = self.notice or copy.notice


def record(kind: bytes, head: object, body: bytes | None = None) -> bytes:
    """A record as the file has it."""
    payload = kind + orjson.dumps(head) + (b"" if body is None else b"\n" + body)
    return _HEAD.pack(len(payload), zlib.crc32(payload)) + payload


def end_records(ends: Iterable[tuple[str, MessageOutcome]]) -> list[bytes]:
    """A record for each end."""
    return [record(b"E", [msg_id, end.status, end.retry_after_ms]) for msg_id, end in ends]


class Contents:
    """What records say, one after another: messages that are live, and the last ends."""

    def __init__(self, ends_most: int) -> None:
        self.live, self.outcomes = dict[str, StoredMessage](), OrderedDict[str, MessageOutcome]()
        self._ends_most = ends_most
        self._stamp: Stamp | None = None  # the last one
        self._newest = -math.inf  # time on record that has passed, in the base of the stamp

    def read(self, content: bytes) -> int:
        """Take in all whole records; where the first one begins that is not."""
        at = 0
        while at + _HEAD.size <= len(content):
            size, check = _HEAD.unpack_from(content, at)
            payload = content[at + _HEAD.size : at + _HEAD.size + size]
            if len(payload) < size or zlib.crc32(payload) != check or not self._replay(payload):
                break
            at += _HEAD.size + size
        return at

    def _replay(self, payload: bytes) -> bool:
        kind = payload[:1]
        try:
            text, _, body = payload[1:].partition(b"\n")
            head = orjson.loads(text)
            if kind == b"C":
                boot, wall, monotonic, base = head
                self.rebase(Stamp(str(boot), float(wall), float(monotonic), float(base)))
                return True
            self.apply(kind, head, body)
            if kind == b"T":
                for at, _ in head[7]:
                    self._passed(float(at))
            elif kind == b"A":
                self._passed(float(head[1]))
        except (ValueError, TypeError, IndexError):
            return False
        return True

    def _passed(self, time: float) -> None:
        self._newest = max(self._newest, time)

    def rebase(self, stamp: Stamp) -> None:
        """What was read so far has its times in the base of this stamp from now on."""
        shift, basis = rebase(self._stamp, self._newest, stamp)
        self._stamp = stamp
        if shift or basis is Basis.SET_BACK:
            set_back = basis is Basis.SET_BACK
            for stored in self.live.values():
                stored.expires += shift
                stored.ran = [(LONG_AGO if set_back else at + shift, zone) for at, zone in stored.ran]
            self._newest += shift
        self._passed(stamp.base)

    def apply(self, kind: bytes, head: list[Any], body: bytes = b"") -> None:
        """Take in one record."""
        if kind == b"T":
            self._take(head, body)
            return
        stored = self.live.get(head[0])
        if kind == b"E":
            self.forget(head[0], MessageOutcome(Status(head[1]), head[2]))
        elif stored is None:
            return
        elif kind == b"A":
            stored.attempts += 1
            stored.ran.append((float(head[1]), int(head[2])))
        elif kind == b"O" and stored.ran:
            stored.ran.pop()
        elif kind == b"N":
            stored.notice = MessageOutcome(Status(head[1]), head[2])

    def _take(self, head: list[Any], body: bytes) -> None:
        msg_id, grade, expires, dest, key, front, attempts, ran, notice = head
        if msg_id in self.outcomes:  # an older copy, from a journal adopted twice
            return
        told = MessageOutcome(Status(notice[0]), notice[1]) if notice else None
        times = [(float(at), int(zone)) for at, zone in ran]
        stored = StoredMessage(msg_id, grade, expires, dest, key, front, body, attempts, times, told)
        if msg_id in self.live:
            self.live[msg_id].merge(stored)
        else:
            self.live[msg_id] = stored

    def forget(self, msg_id: str, end: MessageOutcome) -> None:
        """A message has ended."""
        self.live.pop(msg_id, None)
        self.outcomes[msg_id] = end
        while len(self.outcomes) > self._ends_most:
            self.outcomes.popitem(last=False)
