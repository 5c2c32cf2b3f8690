"""A disk with injected failures, behind the interface through which the state folder is accessed."""

from __future__ import annotations

import errno
import os
from collections import Counter
from pathlib import Path

from mountgauge.core.files import SystemFiles


class Killed(BaseException):
    """Simulates the death of the process: nothing after the call runs."""


class FailingFiles(SystemFiles):
    """File system calls of which those in `fails` raise `error`, as does a write beyond `writable_bytes`;
    those in `late` raise it after they took effect.
    """

    def __init__(self) -> None:
        self.error = errno.EIO
        self.calls = Counter[str]()
        self.heal()

    def heal(self) -> None:
        """End all failures."""
        self.fails: set[str] = set()
        self.late: set[str] = set()
        self.writable_bytes: int | None = None  # bytes that can still be written; None: unlimited
        self.killed_at = ""  # the call at which the process dies

    def _call(self, name: str) -> None:
        self.calls[name] += 1
        if name == self.killed_at:
            raise Killed(name)
        if name in self.fails:
            raise OSError(self.error, os.strerror(self.error))

    def open(self, path: Path, flags: int) -> int:
        self._call("lock" if path.name.startswith("lock") else "open")
        return super().open(path, flags)

    def close(self, file: int) -> None:
        super().close(file)
        self._call("close")

    def read(self, path: Path) -> bytes:
        self._call("read")
        return super().read(path)

    def read_at(self, file: int, size: int, offset: int) -> bytes:
        self._call("read")
        return super().read_at(file, size, offset)

    def write(self, file: int, data: memoryview) -> int:
        self._call("write")
        if self.writable_bytes is None:
            return super().write(file, data)
        if not self.writable_bytes:
            raise OSError(self.error, os.strerror(self.error))
        written = super().write(file, data[: self.writable_bytes])
        self.writable_bytes -= written
        return written

    def truncate(self, file: int, size: int) -> None:
        self._call("truncate")
        super().truncate(file, size)

    def replace(self, source: Path, target: Path) -> None:
        self._call("replace")
        super().replace(source, target)
        if "replace" in self.late:
            raise OSError(self.error, os.strerror(self.error))

    def unlink(self, path: Path) -> None:
        self._call("unlink")
        super().unlink(path)
