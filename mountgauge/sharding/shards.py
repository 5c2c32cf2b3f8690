"""A shard and what it holds: endpoint records, versions, deltas and snapshots.

A version is a version of discovery's list. Discovery is the only writer, so for each shard and each version
there is one content. Whoever holds a shard holds it *as of* a version: it has each change up to that one and
none after it. Content is compared by digests: 64 bits, the exclusive or over the digests of its records, so
that a change costs what it changes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from sys import intern
from typing import Any

NO_VERSION = -1  # the version of a shard of which nothing is held
DEFAULT_SHARD_COUNT = 65_536
_MASK = (1 << 64) - 1


class UnreadableRecordError(ValueError):
    """A line of the list is not one of an endpoint; the text is one line for the operator."""


class EndpointState(Enum):
    """What discovery says of an endpoint."""

    ACTIVE = "active"
    LEAVING = "leaving"  # it finishes what it has
    LEFT = "left"  # only among changes: the record is no more


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One line of discovery's list."""

    id: str
    address: str  # host:port
    zone: str
    kind: str
    destination: int  # `cell` of the list
    state: EndpointState
    weight: float = 1.0
    started_ms: int = 0  # Unix time; 0: long ago

    @classmethod
    def from_line(cls, line: object) -> EndpointRecord:
        """A line as discovery sends it, checked."""
        if not isinstance(line, Mapping):
            raise UnreadableRecordError(f"not an endpoint: {str(line)[:80]!r}")
        try:
            record = cls(
                id=_text(line, "id"),
                address=_text(line, "addr"),
                zone=intern(_text(line, "zone")),
                kind=intern(_text(line, "kind")),
                destination=_whole_number(line, "cell"),
                state=EndpointState(line["state"]),
                weight=float(line.get("weight", 1.0)),
                started_ms=int(line.get("started_ms", 0)),
            )
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            text = f"missing {error}" if isinstance(error, KeyError) else str(error)
            raise UnreadableRecordError(f"endpoint {str(line.get('id'))[:80]!r}: {text[:120]}") from None
        if not (math.isfinite(record.weight) and record.weight >= 0):
            raise UnreadableRecordError(f"endpoint {record.id[:80]!r}: weight {record.weight}")
        return record

    def line(self) -> dict[str, Any]:
        """The form of discovery's list."""
        return {
            "id": self.id, "addr": self.address, "zone": self.zone, "kind": self.kind,
            "cell": self.destination, "state": self.state.value, "weight": self.weight,
            "started_ms": self.started_ms,
        }  # fmt: skip

    def digest(self) -> int:
        """64 bits of all its fields."""
        text = (
            f"{self.id}\0{self.address}\0{self.zone}\0{self.kind}\0{self.destination}\0{self.state.value}"
            f"\0{self.weight!r}\0{self.started_ms}"
        )
        return int.from_bytes(blake2b(text.encode(errors="surrogatepass"), digest_size=8).digest(), "big")


def _text(line: Mapping[str, Any], key: str) -> str:
    value = line[key]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key}: not a text")
    return value


def _whole_number(line: Mapping[str, Any], key: str) -> int:
    value = line[key]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{key}: not a whole number")
    return value


def mix(value: int) -> int:
    """64 bits to 64 bits, each depending on all: the finalizer of SplitMix64 (Steele and others, 2014)."""
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & _MASK
    return value ^ value >> 31


def shard_of(destination: int, shard_count: int) -> int:
    """The shard of a destination: the same on all machines and in all releases. The count is a setting that
    is the same everywhere and never changes while the fleet runs.
    """
    return mix(destination) * shard_count >> 64


def digest_of(records: Iterable[EndpointRecord]) -> int:
    """Of a shard's content: 0 for none."""
    found = 0
    for record in records:
        found ^= record.digest()
    return found


@dataclass(frozen=True, slots=True)
class ShardDelta:
    """What brings a shard from `base`, or any version between, to `version`.

    Each endpoint that was touched after `base` is in it as it is at `version`, also one that came back to
    what it was: so it can be applied to each content from `base` up to `version`.
    """

    shard: int
    base: int
    version: int
    put: tuple[EndpointRecord, ...]  # by id, in the place of what was under it
    gone: tuple[str, ...]  # ids
    digest: int  # of the content that it leads to


@dataclass(frozen=True, slots=True)
class ShardSnapshot:
    """A shard's whole content at a version."""

    shard: int
    version: int
    records: tuple[EndpointRecord, ...]
    digest: int
