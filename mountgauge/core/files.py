"""The calls to the file system by which a sender keeps what must outlast it: the seam at which they can fail.

Each may raise OSError at any time, for a while: no space, an input/output error, no descriptor. Nothing here
says what becomes of that.
"""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path
from typing import Protocol

MODE = 0o600  # of files that are made
APPENDED = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
MADE_ANEW = APPENDED | os.O_TRUNC


class Files(Protocol):
    """The calls; `file` is a descriptor."""

    def open(self, path: Path, flags: int) -> int: ...

    def close(self, file: int) -> None: ...

    def read(self, path: Path) -> bytes:
        """The whole content."""

    def write(self, file: int, data: memoryview) -> int:
        """How many bytes were written."""

    def truncate(self, file: int, size: int) -> None: ...

    def replace(self, source: Path, target: Path) -> None: ...

    def unlink(self, path: Path) -> None:
        """One that is not there is as well."""


class SystemFiles:
    """The system's calls."""

    def open(self, path: Path, flags: int) -> int:
        return os.open(path, flags, MODE)

    def close(self, file: int) -> None:
        os.close(file)

    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def write(self, file: int, data: memoryview) -> int:
        return os.write(file, data)

    def truncate(self, file: int, size: int) -> None:
        os.ftruncate(file, size)

    def replace(self, source: Path, target: Path) -> None:
        os.replace(source, target)

    def unlink(self, path: Path) -> None:
        path.unlink(missing_ok=True)


def write_all(files: Files, file: int, content: bytes) -> None:
    """Write all of it; where OSError is raised, any part of it may have been."""
    view = memoryview(content)
    while view:
        written = files.write(file, view)
        if written <= 0:
            raise OSError(errno.EIO, "nothing was written")
        view = view[written:]


def replace_file(files: Files, path: Path, content: bytes) -> None:
    """This content, or on OSError the one before, is what the path names; never a part."""
    spare = path.with_name(path.name + ".new")
    file = files.open(spare, MADE_ANEW)
    try:
        write_all(files, file, content)
    finally:
        with contextlib.suppress(OSError):  # closed all the same
            files.close(file)
    files.replace(spare, path)
