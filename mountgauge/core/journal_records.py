"""The journal's records, and the state that a file of them describes.

A record is its payload's length and CRC-32, then the payload: one letter, one JSON value and, after a line
feed, the message's body. `T` is an accepted message, `A` an attempt that may run, `O` says that the last
attempt never ran, `N` that the message was abandoned, `E` that it is finished.

Times are in the base of the process that wrote them. A record `C` relates that base to the process's clocks.

`D` defines a message class, and `Z` names the zones by number. A definition holds for the messages of that
name that follow, the zones for the attempts that follow, both up to the next `C`. A process begins with a
`C`, so neither holds for records of another process. Earlier builds ignore and write neither: their messages
have a class name alone, and their zones' numbers are taken as they are.

No I/O, no clock.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from functools import cache
from typing import Any

import orjson

from mountgauge.core.durable_time import CLOCK_TOLERANCE_S, LONG_AGO, Basis, Stamp, rebase
from mountgauge.core.ports import MessageOutcome, Status
from rillspindle.interface import MessageClass

_HEADER = struct.Struct("<II")


@dataclass(slots=True, eq=False)
class StoredMessage:
    """An accepted message that has not finished. Times are in the time base of this process."""

    id: str
    class_name: str
    expires: float
    dest: int
    key: str
    front: str
    body: bytes
    attempts: int = 0
    # Time and zone of each attempt that may have run.
    maybe_ran: list[tuple[float, int]] = field(default_factory=list)
    notice: MessageOutcome | None = None  # abandoned with this outcome, which is not reported yet
    # The rules that it was accepted with; None: accepted by an earlier build, which recorded the name alone.
    message_class: MessageClass | None = None

    def record(self) -> bytes:
        """Its record, with its attempts and its outcome so far."""
        notice = [self.notice.status, self.notice.retry_after_ms] if self.notice else None
        head = [
            self.id,
            self.class_name,
            self.expires,
            self.dest,
            self.key,
            self.front,
            self.attempts,
            self.maybe_ran,
            notice,
        ]
        return record(b"T", head, self.body)

    def covers(self, copy: StoredMessage) -> bool:
        """Whether merging another record of this message would change nothing."""
        merged = replace(self)
        merged.merge(copy)
        return merged._mutable_state() == self._mutable_state()

    def _mutable_state(self) -> object:
        return self.maybe_ran, self.attempts, self.notice, self.message_class

    def merge(self, copy: StoredMessage) -> None:
        """Merge another record of this message: an attempt that is in either may have run."""
        ran: list[tuple[float, int]] = []
        for at, zone in sorted([*self.maybe_ran, *copy.maybe_ran]):
            if not any(other == zone and at - before <= CLOCK_TOLERANCE_S for before, other in ran):
                ran.append((at, zone))
        longer = max(self.maybe_ran, copy.maybe_ran, key=len)
        self.maybe_ran = ran if len(ran) > len(longer) else list(longer)
        self.attempts = max(self.attempts, copy.attempts)
        self.notice = self.notice or copy.notice
        self.message_class = self.message_class or copy.message_class


def record(kind: bytes, head: object, body: bytes | None = None) -> bytes:
    """Encode a record."""
    payload = kind + orjson.dumps(head) + (b"" if body is None else b"\n" + body)
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def outcome_records(outcomes: Iterable[tuple[str, MessageOutcome]]) -> list[bytes]:
    """Encode a record for each outcome."""
    return [record(b"E", [msg_id, outcome.status, outcome.retry_after_ms]) for msg_id, outcome in outcomes]


@cache
def definition_record(class_name: str, message_class: MessageClass | None) -> bytes:
    """Encode the definition that the messages of this class name have which follow; None: unknown."""
    definition = None if message_class is None else message_class.to_mapping()
    return record(b"D", ["", class_name, definition])


def _read_definition(class_name: str, definition: object) -> MessageClass | None:
    """A recorded class; None if it is unknown, or in a form of a later build."""
    try:
        return None if definition is None else MessageClass.from_mapping(definition, class_name)
    except ValueError:
        return None


class MessageEncoder:
    """Encodes messages for one file: a class is defined before the first message that needs it."""

    def __init__(self, defined: dict[str, MessageClass | None] | None = None) -> None:
        """`defined`: the definitions that hold at the end of the file."""
        self.defined = dict(defined or {})

    def encode(self, messages: Iterable[StoredMessage]) -> bytes:
        """Encode the messages, and the definitions that they need."""
        records: list[bytes] = []
        for stored in messages:
            if self.defined.get(stored.class_name) != stored.message_class:
                records.append(definition_record(stored.class_name, stored.message_class))
                self.defined[stored.class_name] = stored.message_class
            records.append(stored.record())
        return b"".join(records)


def zones_record(names: Sequence[str]) -> bytes:
    """Encode the names of the zones, by number."""
    return record(b"Z", ["", list(names)])


class ZoneNames:
    """The zones of this process by number: those of its settings, then those that only journals have."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names = list(names)

    def number(self, name: str) -> int:
        """The number of a zone, which is a new one if the name is unknown."""
        if name not in self.names:
            self.names.append(name)
        return self.names.index(name)


class JournalContents:
    """The state after applying records in order: the live messages, and the last outcomes."""

    def __init__(self, max_outcomes: int, zones: ZoneNames | None = None) -> None:
        """`zones`: the numbers that the attempts' zones get."""
        self._zones = zones or ZoneNames()
        self._zone_numbers: list[int] | None = None  # since the last stamp, by number in the file
        self.live, self.outcomes = dict[str, StoredMessage](), OrderedDict[str, MessageOutcome]()
        self._max_outcomes = max_outcomes
        self._stamp: Stamp | None = None  # the last one read
        self._defined: dict[str, MessageClass | None] = {}  # since that stamp, by class name
        self._newest_past = -math.inf  # newest recorded time that has passed, in the base of the stamp

    def read(self, content: bytes) -> int:
        """Apply all complete records; returns the offset of the first incomplete one."""
        at = 0
        while at + _HEADER.size <= len(content):
            size, check = _HEADER.unpack_from(content, at)
            payload = content[at + _HEADER.size : at + _HEADER.size + size]
            if len(payload) < size or zlib.crc32(payload) != check or not self._replay(payload):
                break
            at += _HEADER.size + size
        return at

    def _replay(self, payload: bytes) -> bool:
        kind = payload[:1]
        try:
            text, _, body = payload[1:].partition(b"\n")
            head = orjson.loads(text)
            if kind == b"C":
                boot, wall, monotonic, base = head
                self.rebase(Stamp(str(boot), float(wall), float(monotonic), float(base)))
                self.end_section()
                return True
            if kind == b"Z":
                self._zone_numbers = [self._zones.number(str(name)) for name in head[1]]
                return True
            if kind == b"D":
                _, class_name, definition = head
                self._defined[class_name] = _read_definition(class_name, definition)
                return True
            self.apply(kind, head, body)
            if kind == b"T":
                for at, _ in head[7]:
                    self._note_past(float(at))
            elif kind == b"A":
                self._note_past(float(head[1]))
        except (ValueError, TypeError, IndexError):
            return False
        return True

    def end_section(self) -> None:
        """What was defined before holds no longer."""
        self._defined, self._zone_numbers = {}, None

    def _zone(self, number: int) -> int:
        """The number of a zone in this process, for its number in the file."""
        known = self._zone_numbers
        return known[number] if known is not None and 0 <= number < len(known) else number

    def _note_past(self, time: float) -> None:
        self._newest_past = max(self._newest_past, time)

    def rebase(self, stamp: Stamp) -> None:
        """Convert the times of all that was read so far to the base of this stamp."""
        shift, basis = rebase(self._stamp, self._newest_past, stamp)
        self._stamp = stamp
        if shift or basis is Basis.SET_BACK:
            set_back = basis is Basis.SET_BACK
            for stored in self.live.values():
                stored.expires += shift
                stored.maybe_ran = [
                    (LONG_AGO if set_back else at + shift, zone) for at, zone in stored.maybe_ran
                ]
            self._newest_past += shift
        self._note_past(stamp.base)

    def apply(self, kind: bytes, head: list[Any], body: bytes = b"") -> None:
        """Apply one record."""
        if kind == b"T":
            self._add(head, body)
            return
        stored = self.live.get(head[0])
        if kind == b"E":
            self.finish(head[0], MessageOutcome(Status(head[1]), head[2]))
        elif stored is None:
            return
        elif kind == b"A":
            stored.attempts += 1
            stored.maybe_ran.append((float(head[1]), self._zone(int(head[2]))))
        elif kind == b"O" and stored.maybe_ran:
            stored.maybe_ran.pop()
        elif kind == b"N":
            stored.notice = MessageOutcome(Status(head[1]), head[2])

    def _add(self, head: list[Any], body: bytes) -> None:
        msg_id, class_name, expires, dest, key, front, attempts, ran, notice = head
        if msg_id in self.outcomes:  # an outdated copy, from a journal that was adopted twice
            return
        unreported = MessageOutcome(Status(notice[0]), notice[1]) if notice else None
        times = [(float(at), self._zone(int(zone))) for at, zone in ran]
        stored = StoredMessage(
            msg_id, class_name, expires, dest, key, front, body, attempts, times, unreported,
            self._defined.get(class_name),
        )  # fmt: skip
        if msg_id in self.live:
            self.live[msg_id].merge(stored)
        else:
            self.live[msg_id] = stored

    def finish(self, msg_id: str, outcome: MessageOutcome) -> None:
        """Remove a finished message and remember its outcome."""
        self.live.pop(msg_id, None)
        self.outcomes[msg_id] = outcome
        while len(self.outcomes) > self._max_outcomes:
            self.outcomes.popitem(last=False)
