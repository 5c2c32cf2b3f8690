"""Another process on the same folder: a hand-over's old or new one. Its journal is adopted once it has
gone; while it runs, both heed the waits that either was told.
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

LOOK_EVERY = 0.05  # s between looks at what other processes have told
_ADOPT_LOOKS = 2  # looks from one look at their journals to the next
_FIRST_LOOKS = 6  # that a new process waits for the old one's waits at its start


def slot_of(journal: Path) -> int:
    """The slot of a journal's file: `journal` is 0, `journal.N` is N."""
    _, _, number = journal.name.partition(".")
    return int(number) if number.isdecimal() else 0


class Handover:
    """Adopts what ended processes left on this folder, and exchanges told waits with running ones."""

    def __init__(
        self, sender: Sender, journal: Journal, folder: Path, sharing: bool, files: Files | None = None
    ) -> None:
        """`sharing`: a new process can come beside, on the listening socket that the platform keeps."""
        self._files = files or SystemFiles()
        self._told = True  # what this process was told to wait is in its file
        self.sender, self.journal, self.folder, self.sharing = sender, journal, folder, sharing
        self._seen: dict[Path, tuple[int, int, int]] = {}
        self._looks = 0

    async def begin(self) -> None:
        """An older process serves: what it was told to wait binds this one."""
        if not self.journal.unadopted:
            return
        self.tell()
        for _ in range(_FIRST_LOOKS):
            if all(map(self._heard_from, self.journal.unadopted)):
                break
            await asyncio.sleep(LOOK_EVERY)
        self.hear()

    def look(self) -> None:
        """Journals of gone processes; and, while another process serves beside this one, its waits."""
        self._looks += 1
        if (self._looks % _ADOPT_LOOKS == 0 and self.sharing) or self.journal.unadopted:
            self.adopt()
        if self.journal.unadopted:
            if not self._told:
                self.tell()
            self.hear()

    def adopt(self) -> None:
        """Messages of a process that has gone from the same folder become this one's."""
        had = bool(self.journal.unadopted)
        adopted = self.journal.adopt()
        if had and not self.journal.unadopted:  # what the gone one was told ended with it
            for path in self._waits_paths():
                with contextlib.suppress(OSError):  # it says until when it holds, and is replaced as a whole
                    self._files.unlink(path)
        elif self.journal.unadopted and not had:  # a newer process beside this one: it is to heed our waits
            self.tell()
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

    def tell(self) -> None:
        """A wait was told to this process: the one beside it is to heed it too."""
        if not self.journal.unadopted:
            return
        content = shared_waits.encode(self.sender.waits, self.journal.time.stamp())
        try:
            replace_file(self._files, self._waits_path(self.journal.slot), content)
        except OSError as error:
            if self._told:  # the first time: it is tried at each look
                log.warning("waits-not-shared", extra=kv(error=error))
            self._told = False
        else:
            self._told = True

    def _heard_from(self, journal: Path) -> bool:
        """Whether the process with this journal has told its waits."""
        with contextlib.suppress(OSError):
            return self._waits_path(slot_of(journal)).exists()
        return False

    def _waits_paths(self) -> list[Path]:
        try:
            return [path for path in self.folder.iterdir() if path.name.startswith("waits")]
        except OSError as error:
            log.warning("waits-not-read", extra=kv(path=self.folder.name, error=error))
            return []

    def hear(self) -> None:
        for path in self._waits_paths():
            if path == self._waits_path(self.journal.slot) or path.name.endswith(".new"):
                continue
            try:
                stat = path.stat()
                version = (stat.st_ino, stat.st_size, stat.st_mtime_ns)
                if self._seen.get(path) == version:
                    continue
                content = self._files.read(path)
                self._seen[path] = version
                told = shared_waits.decode(content, self.journal.time.stamp())
            except (OSError, ValueError) as error:
                log.warning("waits-not-read", extra=kv(path=path.name, error=error))
                continue
            if shared_waits.merge(self.sender.waits, told):
                log.info("waits-heard", extra=kv(waits=len(told)))
