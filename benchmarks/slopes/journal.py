"""The journal: the cost of a start with so many live messages, and of a compaction."""

from __future__ import annotations

import multiprocessing
import tempfile
import time
from collections.abc import Callable
from functools import cache
from pathlib import Path

from benchmarks.process import resident_bytes
from benchmarks.slopes.fixtures import DISK_BYTES, stored
from benchmarks.slopes.probe import Axis, Method, Probe, Sample, Unit, timed
from mountgauge.core.journal import Journal

_MESSAGE_COUNTS = (3_000, 10_000, 30_000, 100_000, 300_000)
BODY_BYTES = 200
_EXPIRES = 4e9  # wall time


def _write(folder: Path, count: int) -> None:
    """Write a journal with so many live messages, as a killed process leaves it."""
    journal = Journal(folder, DISK_BYTES)
    records = b"".join(stored(number, 0, BODY_BYTES, _EXPIRES).record() for number in range(count))
    journal._write(records)
    journal.close()


def _measure_start(folder: str, report: Callable[[tuple[float, float]], None]) -> None:
    """In a fresh process: reports the start's processor time and what it adds to the resident size."""
    import os

    before, began = resident_bytes(os.getpid()), time.process_time()
    journal = Journal(Path(folder), DISK_BYTES)
    spent = time.process_time() - began
    report((spent, float(resident_bytes(os.getpid()) - before)))
    journal.close()


@cache
def _start(count: int) -> tuple[float, float]:
    """Processor time and added resident bytes of a start, the least of three each."""
    context = multiprocessing.get_context("spawn")
    found = []
    with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
        _write(Path(folder), count)
        for _ in range(3):
            answers = context.SimpleQueue()
            process = context.Process(target=_measure_start, args=(folder, answers.put))
            process.start()
            found.append(answers.get())
            process.join()
    return min(spent for spent, _ in found), min(grown for _, grown in found)


def _start_time(count: int) -> Sample:
    return lambda: _start(count)[0]


def _start_memory(count: int) -> Sample:
    return lambda: _start(count)[1]


def _file_bytes(count: int) -> Sample:
    return lambda: float(
        sum(len(stored(number, 0, BODY_BYTES, _EXPIRES).record()) for number in range(count))
    )


def _compaction(count: int) -> Sample:
    """All live records are rewritten, in one step of the event loop."""
    folder = tempfile.TemporaryDirectory(prefix="slopes-")
    _write(Path(folder.name), count)
    journal = Journal(Path(folder.name), DISK_BYTES)

    def compact() -> None:
        assert folder  # the reference keeps the temporary folder until the sample is dropped
        journal._rewrite(journal._content())

    return lambda: timed(compact)


_SOURCE = "mountgauge.core.journal.Journal._load, _replay"

PROBES = (
    Probe("journal-start", _start_time, _SOURCE, Axis.MESSAGES, Unit.SECONDS, Method.PROCESS_TIME,
          _MESSAGE_COUNTS, 1, 20.0),
    Probe("journal-start-memory", _start_memory,
          "mountgauge.core.journal.StoredMessage", Axis.MESSAGES, Unit.BYTES,
          Method.FRESH_PROCESS, _MESSAGE_COUNTS, 1, 20.0),
    Probe("journal-file", _file_bytes,
          "mountgauge.core.journal.StoredMessage.record", Axis.MESSAGES, Unit.BYTES,
          Method.COUNTED, _MESSAGE_COUNTS[:-1], 1),
    Probe("journal-compaction", _compaction, "mountgauge.core.journal.Journal._compact, _content, _rewrite",
          Axis.MESSAGES, Unit.SECONDS, Method.PROCESS_TIME, _MESSAGE_COUNTS, 3),
)  # fmt: skip
