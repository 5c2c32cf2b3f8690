"""The space that a folder's files occupy beside one process's own journal.

Processes that share a folder don't wait for each other before they write. Each therefore leaves room for what
another may be writing at the same time: one record, and a complete copy of its journal while the spare file
of a compaction exists. Sizes are in whole blocks.
"""

from __future__ import annotations

import math
import os
from pathlib import Path

from mountgauge.core.journal_slots import slot_paths

_BLOCK_BYTES = 512  # the size of each file is rounded up to whole blocks
_CONCURRENT_RECORD_BYTES = 66 * 1024  # a message of the maximum size: appended after this process has looked
_SCAN_INTERVAL_S = 1.0  # between two scans for files that are no journals
# Their space is set aside by the settings of an operator's file.
_ACCOUNTED_ELSEWHERE = ("journal", "lock", "tenants.db", "budgets", "shards", "identity", "remembered")


def blocks(size: int) -> int:
    """The space of a file of this size."""
    return -(-size // _BLOCK_BYTES) * _BLOCK_BYTES


def file_blocks(path: Path) -> int:
    """The space of a file, 0 if it is missing."""
    try:
        return blocks(os.stat(path).st_size)
    except OSError:
        return 0


class FolderSpace:
    """Measures the files of a folder that belong to other processes and to other subsystems."""

    def __init__(self, folder: Path, slots: int) -> None:
        self._folder = folder
        # As text: they are looked up for each message.
        self._slots = [tuple(map(str, slot_paths(folder, slot))) for slot in range(slots)]
        self._scan_from = -math.inf  # the earliest time of the next scan
        self._small_files = 0
        self._measured_at = -math.inf
        self._beside = 0  # bytes that are not available to the own journal, when last measured

    def look(self, own_slot: int, now: float) -> dict[int, os.stat_result]:
        """Look at the journals of the other slots; `now` in seconds."""
        if now >= self._scan_from:
            self._scan_from = now + _SCAN_INTERVAL_S
            self._small_files = self._measure_small_files()
        found: dict[int, os.stat_result] = {}
        copying = False
        for slot, (path, spare) in enumerate(self._slots):
            if slot == own_slot:
                continue
            try:
                found[slot] = os.stat(path)
            except OSError:
                continue
            copying = copying or os.path.exists(spare)
        journals = sum(blocks(one.st_size) for one in found.values())
        concurrent = len(found) * _CONCURRENT_RECORD_BYTES
        self._measured_at = now
        self._beside = self._small_files + journals * (2 if copying else 1) + concurrent
        return found

    def beside(self, own_slot: int, now: float, max_age_s: float = 0.0) -> int:
        """The bytes that are not available to the journal in this slot, as they were at most so long ago."""
        if not 0 <= now - self._measured_at < max_age_s:
            self.look(own_slot, now)
        return self._beside

    def _measure_small_files(self) -> int:
        """The other files: each exists twice while it is replaced."""
        total = 0
        try:
            with os.scandir(self._folder) as entries:
                for entry in entries:
                    if not entry.name.startswith(_ACCOUNTED_ELSEWHERE):
                        total += 2 * blocks(entry.stat().st_size)
        except OSError:  # a file was removed meanwhile: the previous value is close enough
            return self._small_files
        return total
