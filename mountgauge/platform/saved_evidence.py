"""The evidence for discovery's list that a sender saves in its folder, for the process after it.

Pure: no I/O, no clock. A process is started with a list whose age nothing else tells. Saved evidence dates
it: all that discovery had before that moment is known, if the list is no older than the one that was
confirmed. It counts as nothing (None) if the list is older, and after a boot or with a clock that does not
compare. If discovery has another address by now, it has moved after that moment (`DatedList.moved`).
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import orjson

from mountgauge.core.durable_time import Basis, Stamp, rebase

MIN_SAVE_INTERVAL_S = 1.0  # between two saves of newer evidence for the same list
MAX_FILE_BYTES = 4096


class SavedEvidenceError(ValueError):
    """The content is not evidence that a sender has saved."""


@dataclass(frozen=True, slots=True)
class DatedList:
    """When the list that a process is started with was last confirmed, on the monotonic clock."""

    confirmed_at: float
    moved: bool = False  # by another address of discovery than the one that is asked now


@dataclass(frozen=True, slots=True)
class SavedEvidence:
    """The newest evidence for a list."""

    address: str  # of discovery
    version: int  # of the list
    confirmed: Stamp  # from when the evidence counts

    def date(self, address: str, version: int, now: Stamp) -> DatedList | None:
        """Date the list of this version, for a process that asks this address; `now` is its clock."""
        if self.version > version:
            return None
        _, basis = rebase(self.confirmed, self.confirmed.base, now)
        same_boot = self.confirmed.boot == now.boot != ""
        if basis is not Basis.MONOTONIC or not same_boot:
            return None
        confirmed_at = min(self.confirmed.monotonic, now.monotonic)
        return DatedList(confirmed_at, moved=self.address != address)

    def must_replace(self, saved: SavedEvidence | None) -> bool:
        """Whether it is to be saved now: at once for another list, and now and then for newer evidence."""
        if saved is None or (saved.address, saved.version) != (self.address, self.version):
            return True
        return self.confirmed.monotonic - saved.confirmed.monotonic >= MIN_SAVE_INTERVAL_S


def encode(evidence: SavedEvidence) -> bytes:
    """Return one line: a checksum and the evidence."""
    stamp = evidence.confirmed
    body = orjson.dumps({
        "address": evidence.address, "version": evidence.version, "boot": stamp.boot, "wall": stamp.wall,
        "monotonic": stamp.monotonic,
    })  # fmt: skip
    return b"%08x %b\n" % (zlib.crc32(body), body)


def decode(content: bytes) -> SavedEvidence:
    """Raise SavedEvidenceError if the content is damaged or has another form."""
    checksum, _, body = content[:MAX_FILE_BYTES].rstrip(b"\n").partition(b" ")
    try:
        if int(checksum, 16) != zlib.crc32(body):
            raise SavedEvidenceError("the checksum differs")
        fields = orjson.loads(body)
        wall = float(fields["wall"])
        stamp = Stamp(str(fields["boot"]), wall, float(fields["monotonic"]), wall)
        return SavedEvidence(str(fields["address"]), int(fields["version"]), stamp)
    except SavedEvidenceError:
        raise
    except (ValueError, KeyError, TypeError) as error:
        raise SavedEvidenceError(f"not evidence: {error!r}") from None
