"""The file in a sender's folder that holds the newest evidence for discovery's list (`saved_evidence`)."""

from __future__ import annotations

import logging
from pathlib import Path

from mountgauge.core.config import Address
from mountgauge.core.durable_time import Clocks, read_clocks
from mountgauge.core.files import Files, SystemFiles, replace_file
from mountgauge.log import kv
from mountgauge.platform import saved_evidence
from mountgauge.platform.saved_evidence import DatedList, SavedEvidence, SavedEvidenceError

log = logging.getLogger("mountgauge.platform.discovery")

FILE_NAME = "list-evidence"


class EvidenceFile:
    """Loads the evidence of the process before and saves that of this one.

    A file that cannot be read or written costs the next process the evidence, and nothing else: that one then
    waits for an answer of discovery.
    """

    def __init__(self, folder: Path, clocks: Clocks, files: Files | None = None) -> None:
        self._path = folder / FILE_NAME
        self._clocks = clocks
        self._files = files or SystemFiles()
        self._saved: SavedEvidence | None = None  # what this process has written
        self._may_exist = True

    def date_list(self, address: Address, version: int) -> DatedList | None:
        """Date the list of this version, for a process that asks this address; None if nothing tells."""
        try:
            evidence = saved_evidence.decode(self._files.read(self._path))
        except FileNotFoundError:
            return None
        except (OSError, SavedEvidenceError) as error:
            log.warning("list-evidence-not-read", extra=kv(error=error))
            return None
        return evidence.date(_text(address), version, read_clocks(self._clocks))

    def save(self, confirmed_at: float | None, address: Address, version: int) -> None:
        """Save from when the evidence for the list counts; None if only an answer can restore it."""
        if confirmed_at is None:
            self._remove()
            return
        now = read_clocks(self._clocks)
        stamp = now.before(now.monotonic - confirmed_at)
        evidence = SavedEvidence(_text(address), version, stamp)
        if not evidence.must_replace(self._saved):
            return
        try:
            replace_file(self._files, self._path, saved_evidence.encode(evidence))
        except OSError as error:
            self._log_failure(error)
            self._remove()  # the file may hold evidence for an older list
        else:
            self._saved, self._may_exist = evidence, True

    def keep_only_for(self, version: int) -> None:
        """Discovery is moving: the saved evidence of the old address stays if it is for this list."""
        if self._saved is None or self._saved.version != version:
            self._remove()

    def _remove(self) -> None:
        self._saved = None
        if not self._may_exist:
            return
        try:
            self._files.unlink(self._path)
        except OSError as error:
            self._log_failure(error)
        else:
            self._may_exist = False

    @staticmethod
    def _log_failure(error: OSError) -> None:
        log.warning("list-evidence-not-saved", extra=kv(error=error))


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"
