"""The file system calls for state that must outlast the process, as an interface that tests can make fail.

Each may raise OSError at any time, for a while: no space, an input/output error, no descriptor. The callers
handle that.
"""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600  # of created files
APPEND_FLAGS = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
TRUNCATE_FLAGS = APPEND_FLAGS | os.O_TRUNC


class Files(Protocol):
    """The file system calls; `file` is a descriptor."""

    def open(self, path: Path, flags: int) -> int: ...

    def close(self, file: int) -> None: ...

    def read(self, path: Path) -> bytes:
        """Return the complete content."""

    def read_at(self, file: int, size: int, offset: int) -> bytes:
        """Return up to `size` bytes of the open file, from `offset` on."""

    def write(self, file: int, data: memoryview) -> int:
        """Return how many bytes were written."""

    def truncate(self, file: int, size: int) -> None: ...

    def replace(self, source: Path, target: Path) -> None: ...

    def unlink(self, path: Path) -> None:
        """Remove the file; a missing one is no error."""


class SystemFiles:
    """The operating system's calls."""

    def open(self, path: Path, flags: int) -> int:
        return os.open(path, flags, FILE_MODE)

    def close(self, file: int) -> None:
        os.close(file)

    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def read_at(self, file: int, size: int, offset: int) -> bytes:
        return os.pread(file, size, offset)

    def write(self, file: int, data: memoryview) -> int:
        return os.write(file, data)

    def truncate(self, file: int, size: int) -> None:
        os.ftruncate(file, size)

    def replace(self, source: Path, target: Path) -> None:
        os.replace(source, target)

    def unlink(self, path: Path) -> None:
        path.unlink(missing_ok=True)


def write_all(files: Files, file: int, content: bytes) -> None:
    """Write all of the content; after an OSError any part of it may have been written."""
    view = memoryview(content)
    while view:
        written = files.write(file, view)
        if written <= 0:
            raise OSError(errno.EIO, "nothing was written")
        view = view[written:]


def replace_file(files: Files, path: Path, content: bytes) -> None:
    """Replace the file's content atomically; after an OSError the path still has the previous content."""
    spare = path.with_name(path.name + ".new")
    file = files.open(spare, TRUNCATE_FLAGS)
    try:
        write_all(files, file, content)
    finally:
        with contextlib.suppress(OSError):  # the descriptor is closed even if this fails
            files.close(file)
    files.replace(spare, path)
