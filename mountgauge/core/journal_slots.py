"""The slots of a sender's folder: a journal for each process that shares the folder, held by a lock."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from mountgauge.core.files import Files

SLOTS = 4  # processes that may share a folder: the old and the new one of a hand-over, and two spare slots


def slot_paths(folder: Path, slot: int) -> tuple[Path, Path]:
    """The paths of a slot's journal, and of the spare file that a compaction writes."""
    name = "journal" if slot == 0 else f"journal.{slot}"
    return folder / name, folder / f"{name}.new"


def lock_path(folder: Path, slot: int) -> Path:
    """The file that the slot's process holds locked."""
    return folder / ("lock" if slot == 0 else f"lock.{slot}")


def lock_slot(files: Files, folder: Path, slot: int) -> int | None:
    """Lock the slot and return the lock's descriptor; None if another process holds it."""
    lock = files.open(lock_path(folder, slot), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        if isinstance(error, BlockingIOError):
            return None
        raise
    return lock


def same_file(path: Path, file: int) -> bool:
    """Whether the path names this open file."""
    try:
        return os.path.samestat(os.stat(path), os.fstat(file))
    except FileNotFoundError:
        return False
