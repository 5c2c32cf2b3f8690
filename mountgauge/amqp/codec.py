"""AMQP 0-9-1 codec: pure functions for frames, methods and content headers, and a bounded frame parser."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8  # frame types
FRAME_END = 0xCE
FRAME_OVERHEAD = 8  # bytes of a frame beside its payload
MAX_FIELDS = 256  # of all tables and arrays in one method or content header
FRAME_MIN = 4096  # frame-min-size of the specification: every peer must accept frames of this size


class AmqpError(Exception):
    """A protocol error with its reply code; a `hard` one closes the connection, others only a channel."""

    def __init__(
        self, code: int, text: str, hard: bool = True, class_id: int = 0, method_id: int = 0
    ) -> None:
        super().__init__(text)
        self.code, self.text, self.hard = code, text, hard
        self.class_id, self.method_id = class_id, method_id


class TooManyFieldsError(AmqpError):
    """Tables of more fields than are decoded: decoding them would hold up all other connections."""

    def __init__(self) -> None:
        super().__init__(502, f"SYNTAX_ERROR - more than {MAX_FIELDS} fields")


_FRAME_HEADER = struct.Struct(">BHI")


class Frame(NamedTuple):
    """A received frame: its type, its channel, and the payload between frame header and end octet."""

    kind: int
    channel: int
    payload: bytes


def frame(kind: int, channel: int, payload: bytes) -> bytes:
    """Encodes a frame."""
    return _FRAME_HEADER.pack(kind, channel, len(payload)) + payload + b"\xce"


class FrameParser:
    """Splits received bytes into frames; raises AmqpError for a frame larger than `frame_max`."""

    __slots__ = ("_buffer", "_offset", "frame_max")

    def __init__(self, frame_max: int) -> None:
        self.frame_max = frame_max
        self._buffer = bytearray()
        self._offset = 0  # bytes before this offset have been consumed

    def feed(self, data: bytes | memoryview) -> None:
        self._buffer += data

    @property
    def partial(self) -> bool:
        """Whether received bytes are left that have not been consumed."""
        return len(self._buffer) > self._offset

    @property
    def buffered_bytes(self) -> int:
        """Size of the buffer."""
        return len(self._buffer)

    def protocol_header(self) -> bytes | None:
        """Consumes the header that opens a connection; None until all eight bytes have arrived."""
        if len(self._buffer) < 8:
            return None
        header = bytes(self._buffer[:8])
        del self._buffer[:8]
        return header

    def next(self) -> Frame | None:
        """Consumes the next frame; None if it has not arrived completely."""
        buffer, at = self._buffer, self._offset
        remaining = len(buffer) - at
        if remaining >= 7:
            kind, channel, size = _FRAME_HEADER.unpack_from(buffer, at)
            if size + FRAME_OVERHEAD > self.frame_max:
                raise AmqpError(501, "FRAME_ERROR - frame too large")
            if remaining >= size + FRAME_OVERHEAD:
                end = at + size + 7
                if buffer[end] != FRAME_END:
                    raise AmqpError(501, "FRAME_ERROR - no frame end")
                self._offset = end + 1
                return Frame(kind, channel, bytes(buffer[at + 7 : end]))
        if at:  # no further complete frame: drop the consumed bytes all at once
            del buffer[:at]
            self._offset = 0
        return None


# Field values

_NUMBER_FORMATS = {"octet": ">B", "short": ">H", "long": ">I", "longlong": ">Q", "timestamp": ">Q"}
_TABLE_NUMBER_FORMATS = {
    b"t": ">?",
    b"b": ">b",
    b"B": ">B",
    b"U": ">h",
    b"s": ">h",
    b"u": ">H",
    b"I": ">i",
    b"i": ">I",
    b"L": ">q",
    b"l": ">q",
    b"f": ">f",
    b"d": ">d",
    b"T": ">Q",
}
_MAX_TABLE_DEPTH = 8


class _FieldCount:
    """Counts the fields of one method or content header; TooManyFieldsError above the limit."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left = MAX_FIELDS

    def add_field(self) -> None:
        self._left -= 1
        if self._left < 0:
            raise TooManyFieldsError


class _Reader:
    """Decodes typed values from a buffer; AmqpError where the buffer is too short."""

    def __init__(self, data: bytes, fields: _FieldCount | None = None) -> None:
        self.data, self.offset = data, 0
        self._fields = fields or _FieldCount()

    def read(self, count: int) -> bytes:
        if count < 0 or self.offset + count > len(self.data):
            raise AmqpError(502, "SYNTAX_ERROR - arguments cut short")
        self.offset += count
        return self.data[self.offset - count : self.offset]

    def number(self, form: str) -> Any:
        return struct.unpack(form, self.read(struct.calcsize(form)))[0]

    def shortstr(self) -> str:
        return self.read(self.number(">B")).decode("utf-8", "replace")

    def table(self, depth: int = 0) -> dict[str, Any]:
        inner = _Reader(self.read(self.number(">I")), self._fields)
        found: dict[str, Any] = {}
        while inner.offset < len(inner.data):
            self._fields.add_field()
            name = inner.shortstr()
            found[name] = inner.table_value(depth + 1)
        return found

    def table_value(self, depth: int) -> Any:
        if depth > _MAX_TABLE_DEPTH:
            raise AmqpError(502, "SYNTAX_ERROR - table nested too deep")
        kind = self.read(1)
        if kind in _TABLE_NUMBER_FORMATS:
            return self.number(_TABLE_NUMBER_FORMATS[kind])
        if kind in (b"S", b"x"):
            raw = self.read(self.number(">I"))
            return raw if kind == b"x" else raw.decode("utf-8", "replace")
        if kind == b"F":
            return self.table(depth)
        if kind == b"A":
            inner = _Reader(self.read(self.number(">I")), self._fields)
            items = []
            while inner.offset < len(inner.data):
                self._fields.add_field()
                items.append(inner.table_value(depth + 1))
            return items
        if kind == b"D":
            scale = self.number(">B")
            return self.number(">i") / 10**scale
        if kind == b"V":
            return None
        raise AmqpError(502, "SYNTAX_ERROR - unknown type in a table")

    def argument(self, kind: str) -> Any:
        if kind in _NUMBER_FORMATS:
            return self.number(_NUMBER_FORMATS[kind])
        if kind == "shortstr":
            return self.shortstr()
        if kind == "longstr":
            return self.read(self.number(">I"))
        return self.table()


def _encode_shortstr(text: str) -> bytes:
    raw = text.encode()[:255]
    return bytes([len(raw)]) + raw


def _encode_table(values: Mapping[str, Any]) -> bytes:
    body = b"".join(_encode_shortstr(name) + _encode_table_value(value) for name, value in values.items())
    return struct.pack(">I", len(body)) + body


def _encode_table_value(value: Any) -> bytes:
    if isinstance(value, bool):
        return b"t" + bytes([value])
    if isinstance(value, int):
        return b"l" + struct.pack(">q", value)
    if isinstance(value, float):
        return b"d" + struct.pack(">d", value)
    if isinstance(value, bytes):
        return b"x" + struct.pack(">I", len(value)) + value
    if isinstance(value, Mapping):
        return b"F" + _encode_table(value)
    if isinstance(value, list):
        body = b"".join(map(_encode_table_value, value))
        return b"A" + struct.pack(">I", len(body)) + body
    if value is None:
        return b"V"
    raw = str(value).encode()
    return b"S" + struct.pack(">I", len(raw)) + raw


def _encode_argument(kind: str, value: Any) -> bytes:
    if kind in _NUMBER_FORMATS:
        return struct.pack(_NUMBER_FORMATS[kind], value)
    if kind == "shortstr":
        return _encode_shortstr(value)
    if kind == "longstr":
        raw = value.encode() if isinstance(value, str) else value
        return struct.pack(">I", len(raw)) + raw
    return _encode_table(value)


# Methods: name, class id, method id, arguments as type:name

_METHOD_TABLE = """
connection.start 10 10 octet:major octet:minor table:properties longstr:mechanisms longstr:locales
connection.start-ok 10 11 table:properties shortstr:mechanism longstr:response shortstr:locale
connection.tune 10 30 short:channel_max long:frame_max short:heartbeat
connection.tune-ok 10 31 short:channel_max long:frame_max short:heartbeat
connection.open 10 40 shortstr:vhost shortstr:reserved1 bit:reserved2
connection.open-ok 10 41 shortstr:reserved1
connection.close 10 50 short:code shortstr:text short:class_id short:method_id
connection.close-ok 10 51
connection.blocked 10 60 shortstr:reason
connection.unblocked 10 61
channel.open 20 10 shortstr:reserved1
channel.open-ok 20 11 longstr:reserved1
channel.flow 20 20 bit:active
channel.flow-ok 20 21 bit:active
channel.close 20 40 short:code shortstr:text short:class_id short:method_id
channel.close-ok 20 41
basic.publish 60 40 short:reserved1 shortstr:exchange shortstr:routing_key bit:mandatory bit:immediate
basic.return 60 50 short:code shortstr:text shortstr:exchange shortstr:routing_key
basic.ack 60 80 longlong:tag bit:multiple
basic.nack 60 120 longlong:tag bit:multiple bit:requeue
confirm.select 85 10 bit:nowait
confirm.select-ok 85 11
"""
BASIC_CLASS_ID = 60
KNOWN_CLASS_IDS = {10, 20, 40, 50, 60, 85, 90}  # classes of the specification, and the confirm extension


class MethodSpec(NamedTuple):
    """A method of the specification: its ids, and its arguments as pairs of name and type."""

    name: str
    class_id: int
    method_id: int
    args: tuple[tuple[str, str], ...]


def _parse_spec(line: str) -> MethodSpec:
    name, class_id, method_id, *args = line.split()
    pairs = tuple((arg.split(":")[1], arg.split(":")[0]) for arg in args)
    return MethodSpec(name, int(class_id), int(method_id), pairs)


_SPECS_BY_NAME = {spec.name: spec for spec in map(_parse_spec, _METHOD_TABLE.strip().splitlines())}
_SPECS_BY_ID = {(spec.class_id, spec.method_id): spec for spec in _SPECS_BY_NAME.values()}


class Method(NamedTuple):
    """A decoded method, with its arguments by name."""

    name: str
    args: dict[str, Any]
    class_id: int
    method_id: int


_PUBLISH_IDS = b"\x00\x3c\x00\x28"
_ACK_FRAME = struct.Struct(">BHIHHQBB")
_CONTENT_HEADER = struct.Struct(">HHQH")


def ack(channel: int, tag: int) -> bytes:
    """Encodes `basic.ack` of one message; has a fast path of its own because it is sent so often."""
    return _ACK_FRAME.pack(METHOD, channel, 13, 60, 80, tag, 0, FRAME_END)


def nack(channel: int, tag: int) -> bytes:
    """Encodes `basic.nack` of one message, without requeue."""
    return _ACK_FRAME.pack(METHOD, channel, 13, 60, 120, tag, 0, FRAME_END)


def basic_return(channel: int, code: int, text: str, exchange: str, routing_key: str) -> bytes:
    """Encodes `basic.return`, without the content that follows it."""
    payload = b"\x00\x3c\x00\x32" + code.to_bytes(2, "big")
    return frame(
        METHOD,
        channel,
        payload + _encode_shortstr(text) + _encode_shortstr(exchange) + _encode_shortstr(routing_key),
    )


def _decode_publish(payload: bytes) -> Method | None:
    """Fast path for `basic.publish`, the most frequent method; None if the payload is too short."""
    try:
        routing_at = 7 + payload[6]
        bits_at = routing_at + 1 + payload[routing_at]
        bits = payload[bits_at]
    except IndexError:
        return None
    args = {
        "reserved1": 0,
        "exchange": payload[7:routing_at].decode("utf-8", "replace"),
        "routing_key": payload[routing_at + 1 : bits_at].decode("utf-8", "replace"),
        "mandatory": bool(bits & 1),
        "immediate": bool(bits & 2),
    }
    return Method("basic.publish", args, 60, 40)


def decode_method(payload: bytes) -> Method:
    """Decodes the payload of a method frame; AmqpError if it is malformed or the method is unknown."""
    if payload.startswith(_PUBLISH_IDS) and (found := _decode_publish(payload)) is not None:
        return found
    reader = _Reader(payload)
    class_id, method_id = reader.number(">H"), reader.number(">H")
    spec = _SPECS_BY_ID.get((class_id, method_id))
    if spec is None:
        code, text = (540, "NOT_IMPLEMENTED") if class_id in KNOWN_CLASS_IDS else (503, "COMMAND_INVALID")
        raise AmqpError(code, f"{text} - method {class_id}.{method_id}", True, class_id, method_id)
    args: dict[str, Any] = {}
    bits, bit = 0, 8
    for name, kind in spec.args:
        if kind == "bit":
            if bit == 8:
                bits, bit = reader.number(">B"), 0
            args[name] = bool(bits >> bit & 1)
            bit += 1
        else:
            bit = 8
            args[name] = reader.argument(kind)
    return Method(spec.name, args, class_id, method_id)


def method(channel: int, name: str, **args: Any) -> bytes:
    """Encodes a method frame; omitted arguments are empty or zero."""
    spec = _SPECS_BY_NAME[name]
    empty: dict[str, Any] = {"shortstr": "", "longstr": b"", "table": {}}
    body = struct.pack(">HH", spec.class_id, spec.method_id)
    bits: list[bool] = []
    for arg, kind in spec.args:
        if kind == "bit":
            bits.append(bool(args.get(arg, False)))
        else:
            body += _encode_argument(kind, args.get(arg, empty.get(kind, 0)))
    if bits:  # in every method of the table the bits are the last arguments and adjacent
        body += bytes([sum(bit << position for position, bit in enumerate(bits))])
    return frame(METHOD, channel, body)


# Content

_PROPERTIES = (
    ("content_type", "shortstr"), ("content_encoding", "shortstr"), ("headers", "table"),
    ("delivery_mode", "octet"), ("priority", "octet"), ("correlation_id", "shortstr"),
    ("reply_to", "shortstr"), ("expiration", "shortstr"), ("message_id", "shortstr"),
    ("timestamp", "timestamp"), ("type", "shortstr"), ("user_id", "shortstr"), ("app_id", "shortstr"),
    ("cluster_id", "shortstr"),
)  # fmt: skip


_CONTENT_BYTES = 2048  # of a message's objects beside its header and its body


@dataclass(slots=True)
class Content:
    """A message that is being received: its method, its header, and the body received so far."""

    method: Method
    size: int = -1  # of the body in bytes; -1: the header has not been received
    header: bytes = b""  # payload of the header frame
    body: bytearray = field(default_factory=bytearray)
    since: float = 0.0  # loop time at which its first frame was handled
    _properties: dict[str, Any] | None = None

    @property
    def properties(self) -> dict[str, Any]:
        """Decoded on first use: a message rejected under overload is returned without decoding its header."""
        if self._properties is None:
            self._properties = decode_header(self.header)[1]
        return self._properties

    @property
    def held_bytes(self) -> int:
        """The memory that it takes."""
        return _CONTENT_BYTES + len(self.header) + len(self.body)

    @property
    def complete(self) -> bool:
        """Whether the complete body has been received."""
        return len(self.body) == self.size


def content_size(payload: bytes) -> int:
    """The body size in a header frame's payload; AmqpError if it is not a valid basic-class header."""
    if len(payload) < 14:
        raise AmqpError(502, "SYNTAX_ERROR - arguments cut short")
    class_id, _, size, flags = _CONTENT_HEADER.unpack_from(payload)
    if class_id != BASIC_CLASS_ID:
        raise AmqpError(505, "UNEXPECTED_FRAME - content of another class")
    if flags & 1:
        raise AmqpError(502, "SYNTAX_ERROR - unknown properties")
    return int(size)


def decode_header(payload: bytes) -> tuple[int, dict[str, Any]]:
    """Decodes a header frame's payload: the body size in bytes, and the properties by name."""
    size = content_size(payload)
    reader = _Reader(payload)
    reader.offset = 12
    flags = reader.number(">H")
    found = {}
    for position, (name, kind) in enumerate(_PROPERTIES):
        if flags >> (15 - position) & 1:
            found[name] = reader.argument(kind)
    return size, found


def content(channel: int, properties: Mapping[str, Any], body: bytes, frame_max: int) -> bytes:
    """Encodes the header and body frames of a message."""
    flags, packed = 0, b""
    for position, (name, kind) in enumerate(_PROPERTIES):
        if (value := properties.get(name)) is not None:
            flags |= 1 << (15 - position)
            packed += _encode_argument(kind, value)
    return content_from_header(
        channel, _CONTENT_HEADER.pack(BASIC_CLASS_ID, 0, len(body), flags) + packed, body, frame_max
    )


def content_from_header(channel: int, header: bytes, body: bytes, frame_max: int) -> bytes:
    """As `content`, with an already encoded header payload."""
    step = frame_max - FRAME_OVERHEAD
    parts = [frame(BODY, channel, body[at : at + step]) for at in range(0, len(body), step)]
    return frame(HEADER, channel, header) + b"".join(parts)
