"""What lasts beside the journal: facts with a time, an origin and an expiry, judged at the start. No I/O.

A file is lines of `CRC-32 in hex, space, JSON`; a line that does not fit is damaged and costs itself alone.
One fact says how the clocks stood when the file was written, by which its times are read.
Nothing remembered counts as fresh: `judged` keeps only what makes the start more careful (a told wait, a
pace below the listed part, an outage, the newest list version), and says why it dropped the rest.
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

MOST_FACTS = 400  # some 50 KB
MOST_BYTES = 1 << 16
RESERVED_DISK_BYTES = 2 * MOST_BYTES + 4096  # of the state folder, with the spare copy and the identity
_AHEAD_S = 2.0  # that the wall clock may have been set back between two lives, in a file without a clock
_UNTIL = ("wait", "cold")  # kinds whose value is a time


class Fact(NamedTuple):
    """Times are of the wall clock, s. Kinds: wait (value: until when), pace (calls/s of this member), cold
    (since when), list (version), ended (how the last life ended), clock (subject: the boot; value: the
    monotonic clock)."""

    kind: str
    subject: str
    value: float
    at: float
    origin: str  # the life that saw it
    expires: float


@dataclass(slots=True)
class Judged:
    """What of a file may be heeded, and how many facts were dropped for which reason."""

    kept: list[Fact] = field(default_factory=list)
    dropped: Counter[str] = field(default_factory=Counter)

    def of(self, kind: str) -> dict[str, Fact]:
        """The newest fact of a kind for each subject."""
        found: dict[str, Fact] = {}
        for fact in self.kept:
            if fact.kind == kind and (fact.subject not in found or fact.at >= found[fact.subject].at):
                found[fact.subject] = fact
        return found


def clock(now: Stamp, origin: str) -> Fact:
    """How the clocks stand when a file is written as a whole."""
    return Fact("clock", now.boot, now.monotonic, now.wall, origin, now.wall)


def _rebased(facts: list[Fact], now: Stamp) -> list[Fact]:
    """The facts with their times as the wall clock is now, however it was stepped since."""
    written = next((fact for fact in facts if fact.kind == "clock"), None)
    if written is None:
        return facts
    saved = Stamp(written.subject, written.at, written.value, written.at)
    shift, _ = rebase(saved, saved.base, now)
    return [
        fact._replace(
            value=fact.value + shift if fact.kind in _UNTIL else fact.value,
            at=fact.at + shift,
            expires=fact.expires + shift,
        )
        for fact in facts
        if fact.kind != "clock"
    ]


def encode(facts: Iterable[Fact]) -> bytes:
    """The facts as their file has them, `MOST_FACTS` at most."""
    lines = []
    for fact in list(facts)[:MOST_FACTS]:
        text = orjson.dumps(list(fact))
        lines.append(b"%08x %b\n" % (zlib.crc32(text), text))
    return b"".join(lines)


def decode(content: bytes) -> tuple[list[Fact], int]:
    """The facts that can be read, and how many lines can't."""
    facts: list[Fact] = []
    damaged = int(len(content) > MOST_BYTES)
    for line in content[:MOST_BYTES].splitlines():
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


def judged(content: bytes, now: Stamp, origin: str, known_version: float = -1) -> Judged:
    """What of a file may be heeded by this start of the identity `origin`.

    `known_version` is of the list that came with the start: an older one that is remembered says nothing.
    """
    facts, damaged = decode(content)
    found = Judged()
    if damaged:
        found.dropped["damaged"] = damaged
    for fact in _rebased(facts, now):
        if fact.origin != origin:
            found.dropped["of-another"] += 1
        elif fact.at > now.base + _AHEAD_S:
            found.dropped["from-the-future"] += 1
        elif fact.expires <= now.base:
            found.dropped["expired"] += 1
        elif fact.kind == "list" and fact.value <= known_version:
            found.dropped["older-than-known"] += 1
        else:
            found.kept.append(fact)
    return found
