"""Facts that are persisted beside the journal, each with a time, an origin and an expiry. No I/O.

The file consists of lines `CRC-32 in hex, space, JSON`. A line that does not match its checksum is damaged;
the other lines stay valid. One fact records the clocks at the time of writing, to interpret the other times.
No persisted fact counts as current: `select_usable` keeps only facts that make the start more careful (a
required wait, a reduced send rate limit, an outage, the newest list version), and counts why others were
dropped.
"""

from __future__ import annotations

import math
import zlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import orjson

from mountgauge.core.durable_time import Stamp, rebase

MAX_FACTS = 400  # about 50 KB
MAX_FILE_BYTES = 1 << 16
RESERVED_DISK_BYTES = 2 * MAX_FILE_BYTES + 4096  # the file, its temporary copy and the identity
_CLOCK_TOLERANCE_S = 2.0  # by which the wall clock may have been set back, for a file without a clock fact
_TIME_VALUED_KINDS = ("wait", "cold")


class Fact(NamedTuple):
    """A persisted observation. Times are of the wall clock, s. Kinds: wait (value: until when), pace (calls/s
    of this member), cold (since when), list (version), ended (how the last run stopped), clock (subject: the
    boot; value: the monotonic clock)."""

    kind: str
    subject: str
    value: float
    at: float
    origin: str  # the ID of the sender that observed it
    expires: float


@dataclass(slots=True)
class UsableFacts:
    """The facts of a file that may be used, and the number of dropped facts by reason."""

    kept: list[Fact] = field(default_factory=list)
    dropped: Counter[str] = field(default_factory=Counter)

    def newest(self, kind: str) -> dict[str, Fact]:
        """The newest fact of a kind for each subject."""
        found: dict[str, Fact] = {}
        for fact in self.kept:
            if fact.kind == kind and (fact.subject not in found or fact.at >= found[fact.subject].at):
                found[fact.subject] = fact
        return found


def clock_fact(now: Stamp, origin: str) -> Fact:
    """The clocks at the time when a file is written."""
    return Fact("clock", now.boot, now.monotonic, now.wall, origin, now.wall)


def _rebased(facts: list[Fact], now: Stamp) -> list[Fact]:
    """The facts with their times converted to the current wall clock, which may have been stepped since."""
    written = next((fact for fact in facts if fact.kind == "clock"), None)
    if written is None:
        return facts
    saved = Stamp(written.subject, written.at, written.value, written.at)
    shift, _ = rebase(saved, saved.base, now)
    return [
        fact._replace(
            value=fact.value + shift if fact.kind in _TIME_VALUED_KINDS else fact.value,
            at=fact.at + shift,
            expires=fact.expires + shift,
        )
        for fact in facts
        if fact.kind != "clock"
    ]


def encode(facts: Iterable[Fact]) -> bytes:
    """The file content for the first `MAX_FACTS` facts."""
    lines = []
    for fact in list(facts)[:MAX_FACTS]:
        text = orjson.dumps(list(fact))
        lines.append(b"%08x %b\n" % (zlib.crc32(text), text))
    return b"".join(lines)


def decode(content: bytes) -> tuple[list[Fact], int]:
    """The readable facts and the number of damaged lines."""
    facts: list[Fact] = []
    damaged = int(len(content) > MAX_FILE_BYTES)
    for line in content[:MAX_FILE_BYTES].splitlines():
        check, _, text = line.partition(b" ")
        try:
            if int(check, 16) != zlib.crc32(text) or len(check) != 8:
                raise ValueError
            kind, subject, value, at, origin, expires = orjson.loads(text)
            numbers = [float(one) for one in (value, at, expires)]
            if not all(map(math.isfinite, numbers)) or not all(
                isinstance(t, str) for t in (kind, subject, origin)
            ):
                raise ValueError
            facts.append(Fact(kind, subject, numbers[0], numbers[1], origin, numbers[2]))
        except (ValueError, TypeError):
            damaged += 1
    return facts, damaged


def select_usable(content: bytes, now: Stamp, origin: str, known_version: float = -1) -> UsableFacts:
    """The facts of a file that this run of the sender with the ID `origin` may use.

    `known_version` is the version of the list that the process was started with; a fact of the same or an
    older version is dropped.
    """
    facts, damaged = decode(content)
    found = UsableFacts()
    if damaged:
        found.dropped["damaged"] = damaged
    for fact in _rebased(facts, now):
        if fact.origin != origin:
            found.dropped["of-another"] += 1
        elif fact.at > now.base + _CLOCK_TOLERANCE_S:
            found.dropped["from-the-future"] += 1
        elif fact.expires <= now.base:
            found.dropped["expired"] += 1
        elif fact.kind == "list" and fact.value <= known_version:
            found.dropped["older-than-known"] += 1
        else:
            found.kept.append(fact)
    return found
