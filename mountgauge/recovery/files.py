"""The folder's side of coming back: identity and state file, each written in one piece beside the journal."""

from __future__ import annotations

import secrets
from pathlib import Path

from mountgauge.core.durable_time import Stamp
from mountgauge.core.files import Files, SystemFiles, replace_file
from mountgauge.recovery import identity as who
from mountgauge.recovery import state_file
from mountgauge.recovery.identity import Found, Identity
from mountgauge.recovery.state_file import Fact, Judged


class Folder:
    """Errors of the file system are the caller's to tell: OSError."""

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self.folder, self._files = folder, files or SystemFiles()
        self.identity, self.remembered_path = folder / "identity", folder / "remembered"
        self._written = b""

    def arrive(self, name: str, journal: bool) -> tuple[Identity, Found, bool]:
        """This life's identity, what the folder was, and whether the last life ended as it was asked to."""
        content = self._read(self.identity)
        mine, found = who.judge(content, name, journal, secrets.token_hex(8))
        last = who.decode(content) if content is not None else None
        self.say(mine)
        return mine, found, found is Found.KEPT and last is not None and last.clean

    def say(self, identity: Identity) -> None:
        self._replace(self.identity, who.encode(identity))

    def stands(self, identity: Identity) -> bool:
        """Whether the folder still says who this is: this life, or a later one that came beside it."""
        return (found := self._said()) is not None and found.id == identity.id and found.life >= identity.life

    def _said(self) -> Identity | None:
        try:
            content = self._read(self.identity)
        except OSError:
            return None
        return None if content is None else who.decode(content)

    def ended(self, identity: Identity) -> None:
        """This life ends as it was asked to; a later one that goes on beside it is left alone."""
        if (found := self._said()) is None or found.life <= identity.life:
            self.say(identity._replace(clean=True))

    def remembered(self, now: Stamp, origin: str, known_version: float) -> Judged:
        return state_file.judged(self._read(self.remembered_path) or b"", now, origin, known_version)

    def remember(self, facts: list[Fact], now: Stamp, origin: str) -> bool:
        """Write the facts where they have changed; whether anything was written."""
        content = state_file.encode(facts)
        if content == self._written and self.remembered_path.exists():
            return False
        self._replace(self.remembered_path, state_file.encode([state_file.clock(now, origin), *facts]))
        self._written = content
        return True

    def _read(self, path: Path) -> bytes | None:
        try:
            return self._files.read(path)[: state_file.MOST_BYTES + 1]
        except FileNotFoundError:
            return None

    def _replace(self, path: Path, content: bytes) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        replace_file(self._files, path, content)
