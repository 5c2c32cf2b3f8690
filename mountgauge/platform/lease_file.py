"""The file of a sender's folder that its lease on discovery's list outlives it in (`kept_lease`)."""

from __future__ import annotations

import logging
from pathlib import Path

from mountgauge.core.config import Address
from mountgauge.core.durable_time import Clocks, read
from mountgauge.core.files import Files, SystemFiles, write_whole
from mountgauge.log import kv
from mountgauge.platform import kept_lease
from mountgauge.platform.kept_lease import KeptLease, KeptLeaseError, LeaseState

log = logging.getLogger("mountgauge.platform.discovery")

NAME = "list-lease"


class LeaseFile:
    """Reads what an earlier process has left, and keeps the own lease there. A file system that fails costs
    the next process the lease, and nothing else.
    """

    def __init__(self, folder: Path, clocks: Clocks, files: Files | None = None) -> None:
        self._path, self._clocks, self._files = folder / NAME, clocks, files or SystemFiles()
        self._last: KeptLease | None = None  # as it stands in the file, as far as this process has written it
        self._stands = True  # the file may be there

    def resume(self, address: Address, known_version: int, most_age_s: float) -> LeaseState | None:
        """The lease that an earlier process had, as it holds where this address is asked; None where there
        is none, where it is for a newer list than that of this version, by which this process begins, or
        where its evidence is as old as that.
        """
        try:
            kept = kept_lease.decode(self._files.read(self._path))
        except FileNotFoundError:
            return None
        except (OSError, KeptLeaseError) as error:
            log.warning("kept-lease-not-read", extra=kv(error=error))
            return None
        if kept.version > known_version:
            return None
        age_s = kept.age_s(read(self._clocks))
        if age_s >= most_age_s:
            return None
        return kept.at(_text(address), self._clocks.now() - age_s)

    def keep(self, lease: LeaseState | None, address: Address, version: int) -> None:
        """The lease now; None where a next process must wait for an answer."""
        if lease is None:
            self._forget()
            return
        now = read(self._clocks)
        confirmed = now.before(now.monotonic - lease.evidence_at)
        kept = KeptLease(_text(address), version, lease.down, confirmed)
        if not kept_lease.worth_writing(self._last, kept):
            return
        try:
            write_whole(self._files, self._path, kept_lease.encode(kept))
        except OSError as error:
            self._fails(error)
        else:
            self._last, self._stands = kept, True

    def _forget(self) -> None:
        if not self._stands:
            return
        try:
            self._files.unlink(self._path)
        except OSError as error:
            self._fails(error)
        else:
            self._last, self._stands = None, False

    def _fails(self, error: OSError) -> None:
        self._last = None
        log.warning("lease-not-kept", extra=kv(error=error))


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"
