"""What a sender leaves in its folder of its lease on discovery's list, for the process that comes next.

Pure: no I/O, no clock. The next process goes by its list up to the same moment as the one before would have
(`core/list_lease`), and not a moment longer, as the evidence keeps its time. That holds where both processes
read one monotonic clock, and the list that the next one is started with is no older than the one that the
evidence is for. Where discovery has another address since, it has moved after that evidence, and the time of
a move is counted from there. Whatever else is found counts as nothing.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

import orjson

from mountgauge.core.durable_time import Basis, Stamp, rebase

RENEWED_EVERY_S = 1.0  # between two writes that tell of newer evidence alone, at least
MOST_BYTES = 4096  # of the file


class KeptLeaseError(ValueError):
    """The content is no lease that was written by a sender."""


@dataclass(frozen=True, slots=True)
class LeaseState:
    """A lease that an answer has confirmed and nothing has ended early."""

    evidence_at: float  # from when the newest evidence counts, on the monotonic clock, in s
    down: bool  # discovery has shown that it is down, and refused each call since
    moved: bool = False  # the evidence is of another address than the one that is asked now


@dataclass(frozen=True, slots=True)
class KeptLease:
    """A lease as it stands in the folder."""

    address: str  # of discovery
    version: int  # of the list
    down: bool
    confirmed: Stamp  # from when the newest evidence counts

    def at(self, address: str, evidence_at: float) -> LeaseState:
        """The lease as it holds where this address is asked."""
        moved = address != self.address
        return LeaseState(evidence_at, self.down and not moved, moved)

    def age_s(self, now: Stamp) -> float:
        """How old the evidence is; infinite where the two processes may not have read one clock."""
        _, basis = rebase(self.confirmed, self.confirmed.base, now)
        if basis is not Basis.MONOTONIC or not self.confirmed.boot or self.confirmed.boot != now.boot:
            return math.inf
        return max(0.0, now.monotonic - self.confirmed.monotonic)


def encode(kept: KeptLease) -> bytes:
    """One line: a checksum, and the lease."""
    stamp = kept.confirmed
    body = orjson.dumps({
        "address": kept.address, "version": kept.version, "down": kept.down, "boot": stamp.boot,
        "wall": stamp.wall, "monotonic": stamp.monotonic,
    })  # fmt: skip
    return b"%08x %b\n" % (zlib.crc32(body), body)


def decode(content: bytes) -> KeptLease:
    """KeptLeaseError where it is damaged, or of another form."""
    checksum, _, body = content[:MOST_BYTES].rstrip(b"\n").partition(b" ")
    try:
        if int(checksum, 16) != zlib.crc32(body):
            raise KeptLeaseError("the checksum differs")
        raw = orjson.loads(body)
        wall = float(raw["wall"])
        stamp = Stamp(str(raw["boot"]), wall, float(raw["monotonic"]), wall)
        return KeptLease(str(raw["address"]), int(raw["version"]), bool(raw["down"]), stamp)
    except KeptLeaseError:
        raise
    except (ValueError, KeyError, TypeError) as error:
        raise KeptLeaseError(f"not a lease: {error!r}") from None


def worth_writing(last: KeptLease | None, lease: KeptLease) -> bool:
    """Whether the file is to be written anew: at once for anything but newer evidence."""
    if last is None or (last.address, last.version, last.down) != (lease.address, lease.version, lease.down):
        return True
    return lease.confirmed.monotonic - last.confirmed.monotonic >= RENEWED_EVERY_S
