"""Binary codec of the wire: pure functions between frames and the types of interface.py."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any, NamedTuple

from rillspindle import interface as i

BATCH = struct.Struct("<dIII")
REPLY = struct.Struct("<III")
_LIST = struct.Struct("<II")
_ENTRY = struct.Struct("<BdfBHH6s")
_TARGETS = struct.Struct("<HBQI")
_INCOMING = struct.Struct("<HIHdHdfBQ")
_RESPONSE = struct.Struct("<HId6sHBBIB")
_WITHDRAWN = struct.Struct("<HI")
_HEALTH = struct.Struct("<H6sdHB")
_RING = struct.Struct("<HQ")
_UNDER_WAY = struct.Struct("<HI6sdB")
_BORN = struct.Struct("<HQI")
_DOWN = struct.Struct("<H")
_WHISPER = struct.Struct("<HIH")
_STOP = struct.Struct("<BHIB")
_NODE_ENDPOINT = struct.Struct("<BH6s")
_MEMO = struct.Struct("<BHIH")
_TEXT = struct.Struct("<BHH")
_SCHEDULE = struct.Struct("<BHdQ")
_NODE = struct.Struct("<BH")
_ABORT = struct.Struct("<BHI")
_ISSUE = struct.Struct("<BHI6sd")
_WATCH = struct.Struct("<BHB")
_PUSH_BACK = struct.Struct("<BHId")
_TEXT_MOST = 65535


class WireError(ValueError):
    """A frame that the wire does not allow."""


class Born(NamedTuple):
    """A node has been started, with these settings."""

    seed: int
    env: dict[str, Any]


class Down(NamedTuple):
    """A node has gone."""

    pass


class _Reader:
    """A place in a frame that refuses to read past its end."""

    __slots__ = ("at", "frame")

    def __init__(self, frame: bytes) -> None:
        self.frame = frame
        self.at = 0

    def take(self, shape: struct.Struct) -> tuple[Any, ...]:
        try:
            values = shape.unpack_from(self.frame, self.at)
        except struct.error:
            raise WireError(f"frame cut short at byte {self.at}") from None
        self.at += shape.size
        return values

    def bytes(self, count: int) -> bytes:
        if self.at + count > len(self.frame):
            raise WireError(f"frame cut short at byte {self.at}")
        self.at += count
        return self.frame[self.at - count : self.at]

    def floats(self, count: int) -> tuple[float, ...]:
        return struct.unpack(f"<{count}f", self.bytes(4 * count))


def decode(
    body: bytes, count: int, lists: dict[int, tuple[i.Entry, ...]]
) -> Iterator[tuple[int, i.Event | Born | Down]]:
    """Yield (node, event) in order. `lists` holds the numbered catalogues and is brought up to date."""
    reader = _Reader(body)
    for _ in range(count):
        code = reader.bytes(1)[0]
        if code == 17:
            node, msg, tenant, expires, marks, cost, dest, grade, key = reader.take(_INCOMING)
            yield node, i.Incoming(msg, tenant, expires, marks, cost, int(dest), grade, key)
        elif code == 18:
            node, msg, spent, endpoint, state, send_no, over, remark, n = reader.take(_RESPONSE)
            stats = reader.floats(n)
            yield node, i.Response(msg, spent, endpoint, state, send_no, bool(over), remark, stats)
        elif code == 22:
            node, token = reader.take(_RING)
            yield node, i.Ring(token)
        elif code == 19:
            node, msg = reader.take(_WITHDRAWN)
            yield node, i.Withdrawn(msg)
        elif code == 16:
            number, n = reader.take(_LIST)
            lists[number] = tuple(i.Entry._make(reader.take(_ENTRY)) for _ in range(n))
        elif code == 21:
            node, how, rev, number = reader.take(_TARGETS)
            if how != i.ListKind.FAILED and number not in lists:
                raise WireError(f"list {number} was never given")
            yield node, i.Targets(how, rev, () if how == i.ListKind.FAILED else lists[number])
        elif code == 20:
            node, endpoint, spent, state, n = reader.take(_HEALTH)
            yield node, i.Health(endpoint, spent, state, reader.floats(n))
        elif code == 23:
            node, msg, endpoint, spent, send_no = reader.take(_UNDER_WAY)
            yield node, i.UnderWay(msg, endpoint, spent, send_no)
        elif code == 24:
            node, seed, n = reader.take(_BORN)
            try:
                env = json.loads(reader.bytes(n))
            except ValueError as error:
                raise WireError(f"settings are not JSON: {error}") from None
            yield node, Born(seed, env)
        elif code == 25:
            (node,) = reader.take(_DOWN)
            yield node, Down()
        elif code == 26:
            node, peer, n = reader.take(_WHISPER)
            yield node, i.Whisper(peer, reader.bytes(n))
        else:
            raise WireError(f"unknown record code {code}")
    if reader.at != len(body):
        raise WireError(f"{len(body) - reader.at} bytes left behind the last record")


def _text(code: int, node: int, line: str) -> bytes:
    content = line.encode("utf-8", "replace")[:_TEXT_MOST]
    return _TEXT.pack(code, node, len(content)) + content


def encode_fault(node: int, line: str) -> bytes:
    """A fault of a node, told in a line, as a record."""
    return _text(87, node, line)


def encode(node: int, action: i.Action) -> bytes:
    """One action as a record."""
    match action:
        case i.Issue(msg, endpoint, timeout):
            return _ISSUE.pack(89, node, msg, endpoint, timeout)
        case i.Schedule(delay, token):
            return _SCHEDULE.pack(85, node, delay, token)
        case i.PushBack(msg, retry_after):
            return _PUSH_BACK.pack(91, node, msg, retry_after)
        case i.Abort(msg):
            return _ABORT.pack(88, node, msg)
        case i.StopAttempt(msg, send_no):
            return _STOP.pack(80, node, msg, send_no)
        case i.Close(endpoint):
            return _NODE_ENDPOINT.pack(81, node, endpoint)
        case i.Inspect(endpoint):
            return _NODE_ENDPOINT.pack(84, node, endpoint)
        case i.Watch(on):
            return _WATCH.pack(90, node, on)
        case i.Snapshot():
            return _NODE.pack(86, node)
        case i.MemoTo(peer, content):
            return _MEMO.pack(82, node, peer, len(content)) + content
        case i.WriteLog(line):
            return _text(83, node, line)


def encode_reply(records: list[bytes], batch: int) -> bytes:
    """The records that answer a batch, with their head."""
    body = b"".join(records)
    return REPLY.pack(len(records), REPLY.size + len(body), batch) + body
