"""The recovery files in the state folder, beside the journal: the identity and the persisted facts. Each is
replaced atomically.
"""

from __future__ import annotations

import secrets
from pathlib import Path

from mountgauge.core.durable_time import Stamp
from mountgauge.core.files import Files, SystemFiles, replace_file
from mountgauge.recovery import identity as identities
from mountgauge.recovery import state_file
from mountgauge.recovery.identity import FolderState, Identity
from mountgauge.recovery.state_file import Fact, UsableFacts


class Folder:
    """Reads and writes the recovery files. Errors of the file system are raised to the caller as OSError."""

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self.folder, self._files = folder, files or SystemFiles()
        self.identity, self.remembered_path = folder / "identity", folder / "remembered"
        self._written = b""

    def start_run(self, name: str, journal: bool) -> tuple[Identity, FolderState, bool]:
        """The identity of this run, the folder's state, and whether the previous run stopped as requested."""
        content = self._read(self.identity)
        mine, state = identities.classify_folder(content, name, journal, secrets.token_hex(8))
        last = identities.decode(content) if content is not None else None
        self.write_identity(mine)
        return mine, state, state is FolderState.KEPT and last is not None and last.clean

    def write_identity(self, identity: Identity) -> None:
        """Replace the identity file."""
        self._replace(self.identity, identities.encode(identity))

    def holds_identity(self, identity: Identity) -> bool:
        """Whether the folder still has this identity, of this run or of a later one that runs beside it."""
        return (
            (stored := self._stored_identity()) is not None
            and stored.id == identity.id
            and stored.life >= identity.life
        )

    def _stored_identity(self) -> Identity | None:
        try:
            content = self._read(self.identity)
        except OSError:
            return None
        return None if content is None else identities.decode(content)

    def mark_clean_stop(self, identity: Identity) -> None:
        """Record that this run stopped as requested, unless a later run has taken over the folder."""
        if (stored := self._stored_identity()) is None or stored.life <= identity.life:
            self.write_identity(identity._replace(clean=True))

    def load_facts(self, now: Stamp, origin: str, known_version: float) -> UsableFacts:
        """The facts of the previous run that may still be used."""
        return state_file.select_usable(self._read(self.remembered_path) or b"", now, origin, known_version)

    def save_facts(self, facts: list[Fact], now: Stamp, origin: str) -> bool:
        """Write the facts if they have changed; whether anything was written."""
        content = state_file.encode(facts)
        if content == self._written and self.remembered_path.exists():
            return False
        self._replace(self.remembered_path, state_file.encode([state_file.clock_fact(now, origin), *facts]))
        self._written = content
        return True

    def _read(self, path: Path) -> bytes | None:
        try:
            return self._files.read(path)[: state_file.MAX_FILE_BYTES + 1]
        except FileNotFoundError:
            return None

    def _replace(self, path: Path, content: bytes) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        replace_file(self._files, path, content)
