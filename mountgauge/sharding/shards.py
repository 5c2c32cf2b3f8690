"""Shards and their data: endpoint records, versions, deltas and snapshots.

A version is a version of discovery's list. Discovery is the only writer, so a shard has exactly one content
at each version. A process holds a shard *as of* a version: with every change up to that version and none
after it. Contents are compared by 64-bit digests. The digest of a shard is the exclusive or of the digests
of its records, so the cost of updating it is proportional to the change, not to the shard.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from sys import intern
from typing import Any

NO_VERSION = -1  # the version of a shard that is not held
DEFAULT_SHARD_COUNT = 65_536
_MASK = (1 << 64) - 1


class UnreadableRecordError(ValueError):
    """An entry of the list is not an endpoint; the message is one line for the operator."""


class EndpointState(Enum):
    """The state of an endpoint in discovery's list."""

    ACTIVE = "active"
    LEAVING = "leaving"  # it finishes the calls that it has
    LEFT = "left"  # only in changes: the record is removed


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One entry of discovery's list."""

    id: str
    address: str  # host:port
    zone: str
    kind: str
    destination: int  # `cell` in the list
    state: EndpointState
    weight: float = 1.0
    started_ms: int = 0  # Unix time; 0: long ago

    @classmethod
    def from_line(cls, line: object) -> EndpointRecord:
        """Parse and check an entry in the form that discovery sends."""
        if not isinstance(line, Mapping):
            raise UnreadableRecordError(f"not an endpoint: {str(line)[:80]!r}")
        try:
            record = cls(
                id=_text(line, "id"),
                address=_text(line, "addr"),
                zone=intern(_text(line, "zone")),
                kind=intern(_text(line, "kind")),
                destination=_non_negative_int(line, "cell"),
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
        """Return the entry in the form of discovery's list."""
        return {
            "id": self.id, "addr": self.address, "zone": self.zone, "kind": self.kind,
            "cell": self.destination, "state": self.state.value, "weight": self.weight,
            "started_ms": self.started_ms,
        }  # fmt: skip

    def digest(self) -> int:
        """Return a 64-bit digest of all fields."""
        text = (
            f"{self.id}\0{self.address}\0{self.zone}\0{self.kind}\0{self.destination}\0{self.state.value}"
            f"\0{self.weight!r}\0{self.started_ms}"
        )
        return int.from_bytes(blake2b(text.encode(errors="surrogatepass"), digest_size=8).digest(), "big")


def _text(line: Mapping[str, Any], key: str) -> str:
    value = line[key]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key}: must be a non-empty string")
    return value


def _non_negative_int(line: Mapping[str, Any], key: str) -> int:
    value = line[key]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{key}: not a whole number")
    return value


def mix(value: int) -> int:
    """Mix 64 bits so that each output bit depends on all of them: SplitMix64's finalizer (Steele et al.,
    2014).
    """
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & _MASK
    return value ^ value >> 31


def shard_of(destination: int, shard_count: int) -> int:
    """Return the shard of a destination, which is the same on all machines and in all releases.

    `shard_count` must be the same in the whole fleet and must not change while the fleet runs.
    """
    return mix(destination) * shard_count >> 64


def digest_of(records: Iterable[EndpointRecord]) -> int:
    """Return the digest of a shard with these records; 0 for an empty one."""
    digest = 0
    for record in records:
        digest ^= record.digest()
    return digest


@dataclass(frozen=True, slots=True)
class ShardDelta:
    """The changes that bring a shard from `base`, or any version between the two, to `version`.

    It has the state at `version` of every endpoint that changed after `base`, including those that have since
    returned to their old state. So it can be applied to the content at any version from `base` to `version`.
    """

    shard: int
    base: int
    version: int
    put: tuple[EndpointRecord, ...]  # each replaces the record with the same id
    removed: tuple[str, ...]  # ids of removed endpoints
    digest: int  # of the content at `version`


@dataclass(frozen=True, slots=True)
class ShardSnapshot:
    """The complete content of a shard at a version."""

    shard: int
    version: int
    records: tuple[EndpointRecord, ...]
    digest: int
