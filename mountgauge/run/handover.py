"""Hand-over between two processes on the same folder, an old and a new one.

The other process's journal is adopted after its process has exited. While both run, each applies the required
waits (Retry-After) that the other received.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from pathlib import Path

from mountgauge.core import shared_waits
from mountgauge.core.files import Files, SystemFiles, replace_file
from mountgauge.core.journal import Journal
from mountgauge.core.sender import Sender
from mountgauge.log import kv

log = logging.getLogger("mountgauge.run")

FOLDER_CHECK_INTERVAL_S = 0.05  # between two checks of the folder for other processes' files
_CHECKS_PER_ADOPTION = 2  # checks of the folder per check of the other processes' journals
_STARTUP_CHECKS = 6  # for which a new process waits for the old one's waits at its start


def slot_of(journal: Path) -> int:
    """The slot of a journal's file: `journal` is 0, `journal.N` is N."""
    _, _, number = journal.name.partition(".")
    return int(number) if number.isdecimal() else 0


class Handover:
    """Adopts the journals of exited processes on this folder, and shares required waits with running ones."""

    def __init__(
        self, sender: Sender, journal: Journal, folder: Path, sharing: bool, files: Files | None = None
    ) -> None:
        """`sharing`: a new process can start beside this one, on the platform's listening socket."""
        self._files = files or SystemFiles()
        self._waits_written = True  # this process's file has all its waits
        self.sender, self.journal, self.folder, self.sharing = sender, journal, folder, sharing
        self._read_versions: dict[Path, tuple[int, int, int]] = {}
        self._checks = 0

    async def begin(self) -> None:
        """At the start: share waits with an older process that still serves, and apply its waits."""
        if not self.journal.unadopted:
            return
        self.share_waits()
        for _ in range(_STARTUP_CHECKS):
            if all(map(self._has_shared_waits, self.journal.unadopted)):
                break
            await asyncio.sleep(FOLDER_CHECK_INTERVAL_S)
        self.apply_shared_waits()

    def check_others(self) -> None:
        """Adopt the journals of exited processes; apply the waits of a process that runs beside this one."""
        self._checks += 1
        if (self._checks % _CHECKS_PER_ADOPTION == 0 and self.sharing) or self.journal.unadopted:
            self.adopt()
        if self.journal.unadopted:
            if not self._waits_written:
                self.share_waits()
            self.apply_shared_waits()

    def adopt(self) -> None:
        """Take over the messages of processes on the same folder that have exited."""
        had = bool(self.journal.unadopted)
        adopted = self.journal.adopt()
        if had and not self.journal.unadopted:  # the exited process's waits file has no further use
            for path in self._waits_paths():
                # A file that remains is harmless: its waits expire, and a later write replaces it.
                with contextlib.suppress(OSError):
                    self._files.unlink(path)
        elif self.journal.unadopted and not had:  # a newer process has started: it has to apply these waits
            self.share_waits()
        self.sender.forget_finished()
        if adopted:
            log.info("adopted", extra=kv(messages=len(adopted)))
            self.sender.restore(adopted)

    def successor(self) -> bool:
        """Whether a newer process serves beside this one, on the same listening socket and folder."""
        self.adopt()
        return self.sharing and bool(self.journal.in_use)

    def _waits_path(self, slot: int) -> Path:
        return self.folder / ("waits" if slot == 0 else f"waits.{slot}")

    def share_waits(self) -> None:
        """Write this process's required waits for the other process; called for each new wait."""
        if not self.journal.unadopted:
            return
        content = shared_waits.encode(self.sender.waits, self.journal.time.stamp())
        try:
            replace_file(self._files, self._waits_path(self.journal.slot), content)
        except OSError as error:
            if self._waits_written:  # logged once; each check retries
                log.warning("waits-not-shared", extra=kv(error=error))
            self._waits_written = False
        else:
            self._waits_written = True

    def _has_shared_waits(self, journal: Path) -> bool:
        """Whether the process with this journal has written its waits."""
        with contextlib.suppress(OSError):
            return self._waits_path(slot_of(journal)).exists()
        return False

    def _waits_paths(self) -> list[Path]:
        try:
            return [path for path in self.folder.iterdir() if path.name.startswith("waits")]
        except OSError as error:
            log.warning("waits-not-read", extra=kv(path=self.folder.name, error=error))
            return []

    def apply_shared_waits(self) -> None:
        """Apply the waits in other processes' files that have changed since they were last read."""
        for path in self._waits_paths():
            if path == self._waits_path(self.journal.slot) or path.name.endswith(".new"):
                continue
            try:
                stat = path.stat()
                version = (stat.st_ino, stat.st_size, stat.st_mtime_ns)
                if self._read_versions.get(path) == version:
                    continue
                content = self._files.read(path)
                self._read_versions[path] = version
                waits = shared_waits.decode(content, self.journal.time.stamp())
            except (OSError, ValueError) as error:
                log.warning("waits-not-read", extra=kv(path=path.name, error=error))
                continue
            if self.sender.apply_waits(waits):
                log.info("waits-heard", extra=kv(waits=len(waits)))
