"""Binary codec: pure functions between frames and the types of interface.py."""

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
_NODE_STARTED = struct.Struct("<HQI")
_NODE_STOPPED = struct.Struct("<H")
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
_MAX_TEXT_BYTES = 65535


class WireError(ValueError):
    """A malformed frame."""


class NodeStarted(NamedTuple):
    """A node was started with these settings."""

    seed: int
    env: dict[str, Any]


class NodeStopped(NamedTuple):
    """A node was stopped."""

    pass


class _Reader:
    """Reads a frame from its start and raises `WireError` past its end."""

    __slots__ = ("frame", "offset")

    def __init__(self, frame: bytes) -> None:
        self.frame = frame
        self.offset = 0

    def unpack(self, shape: struct.Struct) -> tuple[Any, ...]:
        try:
            values = shape.unpack_from(self.frame, self.offset)
        except struct.error:
            raise WireError(f"frame cut short at byte {self.offset}") from None
        self.offset += shape.size
        return values

    def bytes(self, count: int) -> bytes:
        if self.offset + count > len(self.frame):
            raise WireError(f"frame cut short at byte {self.offset}")
        self.offset += count
        return self.frame[self.offset - count : self.offset]

    def floats(self, count: int) -> tuple[float, ...]:
        return struct.unpack(f"<{count}f", self.bytes(4 * count))


def decode(
    body: bytes, count: int, lists: dict[int, tuple[i.Entry, ...]]
) -> Iterator[tuple[int, i.Event | NodeStarted | NodeStopped]]:
    """Yield (node, event) in order. `lists` contains the numbered lists of endpoints and is updated."""
    reader = _Reader(body)
    for _ in range(count):
        code = reader.bytes(1)[0]
        if code == 17:
            node, msg, tenant, expires, marks, cost, dest, message_class, key = reader.unpack(_INCOMING)
            yield node, i.Incoming(msg, tenant, expires, marks, cost, int(dest), message_class, key)
        elif code == 18:
            node, msg, elapsed, endpoint, state, send_no, finished, retry_after_ms, n = reader.unpack(
                _RESPONSE
            )
            stats = reader.floats(n)
            yield (
                node,
                i.Response(msg, elapsed, endpoint, state, send_no, bool(finished), retry_after_ms, stats),
            )
        elif code == 22:
            node, token = reader.unpack(_RING)
            yield node, i.Ring(token)
        elif code == 19:
            node, msg = reader.unpack(_WITHDRAWN)
            yield node, i.Withdrawn(msg)
        elif code == 16:
            number, n = reader.unpack(_LIST)
            lists[number] = tuple(i.Entry._make(reader.unpack(_ENTRY)) for _ in range(n))
        elif code == 21:
            node, kind, revision, number = reader.unpack(_TARGETS)
            if kind != i.ListKind.FAILED and number not in lists:
                raise WireError(f"list {number} is not defined")
            yield node, i.Targets(kind, revision, () if kind == i.ListKind.FAILED else lists[number])
        elif code == 20:
            node, endpoint, elapsed, state, n = reader.unpack(_HEALTH)
            yield node, i.Health(endpoint, elapsed, state, reader.floats(n))
        elif code == 23:
            node, msg, endpoint, elapsed, send_no = reader.unpack(_UNDER_WAY)
            yield node, i.UnderWay(msg, endpoint, elapsed, send_no)
        elif code == 24:
            node, seed, n = reader.unpack(_NODE_STARTED)
            try:
                env = json.loads(reader.bytes(n))
            except ValueError as error:
                raise WireError(f"settings are not JSON: {error}") from None
            yield node, NodeStarted(seed, env)
        elif code == 25:
            (node,) = reader.unpack(_NODE_STOPPED)
            yield node, NodeStopped()
        elif code == 26:
            node, peer, n = reader.unpack(_WHISPER)
            yield node, i.Whisper(peer, reader.bytes(n))
        else:
            raise WireError(f"unknown record code {code}")
    if reader.offset != len(body):
        raise WireError(f"{len(body) - reader.offset} bytes after the last record")


def _text(code: int, node: int, line: str) -> bytes:
    content = line.encode("utf-8", "replace")[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, node, len(content)) + content


def encode_fault(node: int, line: str) -> bytes:
    """A fault of a node as a record with one line of text."""
    return _text(87, node, line)


def encode(node: int, action: i.Action) -> bytes:
    """Encode one action as a record."""
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
    """The reply to a batch: its records behind a header."""
    body = b"".join(records)
    return REPLY.pack(len(records), REPLY.size + len(body), batch) + body
