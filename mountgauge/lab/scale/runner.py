"""Simulates the sizes of a scale run in worker processes, shows progress, and limits their memory."""

from __future__ import annotations

import os
import queue
import subprocess
import sys
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from mountgauge.lab.scale.memory import machine_memory, resident_bytes
from mountgauge.lab.scale.results import SizeResult
from mountgauge.lab.scale.settings import ScaleSettings, Size
from mountgauge.lab.scale.worker import Progress, result_from_json

_MEMORY_CHECK_INTERVAL_S = 0.5
_MAX_MACHINE_SHARE = 0.5  # of the machine's memory; above it a run stops


class RunStoppedError(RuntimeError):
    """The run had to stop; the message is one line."""


@dataclass(slots=True)
class _Child:
    """The worker process of one size."""

    size: Size
    process: subprocess.Popen[bytes]
    result: SizeResult | None = None
    ended: bool = False


@dataclass(slots=True)
class _Message:
    child: _Child
    line: bytes  # empty: end of the process's output


@dataclass(slots=True)
class SizesRun:
    """Runs all sizes, at most `workers` at a time."""

    settings: ScaleSettings
    file: Path
    show: Callable[[str], None]
    _children: list[_Child] = field(default_factory=list)
    _messages: queue.Queue[_Message] = field(default_factory=queue.Queue)

    def run(self) -> list[SizeResult]:
        """Run all sizes and return the results, ordered by size.

        Raises RunStoppedError if a memory limit is exceeded or a process fails.
        """
        self.show(TABLE_HEADER)
        pending = sorted(range(len(self.settings.sizes)), key=lambda index: self.settings.sizes[index])
        try:
            while pending or any(not child.ended for child in self._children):
                running = sum(not child.ended for child in self._children)
                if pending and running < self.settings.workers:
                    self._start(pending.pop())  # the largest size first, because it takes longest
                    continue
                self._wait()
        finally:
            self._stop_children()
        results = [child.result for child in self._children if child.result is not None]
        return sorted(results, key=lambda one: one.size)

    def _start(self, index: int) -> None:
        arguments = [str(self.file), str(self.settings.seed), str(index)]
        process = subprocess.Popen(
            [sys.executable, "-m", "mountgauge.lab.scale.worker", *arguments], stdout=subprocess.PIPE
        )
        child = _Child(self.settings.sizes[index], process)
        self._children.append(child)
        threading.Thread(target=self._read, args=(child,), daemon=True).start()

    def _read(self, child: _Child) -> None:
        assert child.process.stdout is not None
        for line in child.process.stdout:
            self._messages.put(_Message(child, line))
        self._messages.put(_Message(child, b""))

    def _wait(self) -> None:
        try:
            message = self._messages.get(timeout=_MEMORY_CHECK_INTERVAL_S)
        except queue.Empty:
            message = None
        self._check_memory()
        if message is None:
            return
        child = message.child
        if message.line:
            self._handle_line(child, orjson.loads(message.line))
            return
        child.ended = True
        if child.process.wait() != 0 or child.result is None:
            code = child.process.returncode
            raise RunStoppedError(f"{child.size.senders} senders: the process ended with {code}")

    def _handle_line(self, child: _Child, raw: dict[str, Any]) -> None:
        if "progress" in raw:
            self.show(progress_row(Progress(**raw["progress"])))
        else:
            child.result = result_from_json(raw["result"])
            self.show(result_row(child.result))

    def _check_memory(self) -> None:
        pids = [os.getpid(), *(child.process.pid for child in self._children if not child.ended)]
        used = sum(map(resident_bytes, pids))
        machine = machine_memory()
        limit = min(self.settings.most_memory_gb * 1e9, _MAX_MACHINE_SHARE * machine.total)
        if used > limit:
            raise RunStoppedError(f"stopped: {used / 1e9:.1f} GB in use, {limit / 1e9:.1f} GB are allowed")
        if machine.used_share > _MAX_MACHINE_SHARE:
            raise RunStoppedError(f"stopped: {machine.used_share:.0%} of the machine's memory is in use")

    def _stop_children(self) -> None:
        for child in self._children:
            if child.process.poll() is None:
                child.process.kill()
            child.process.wait()


TABLE_HEADER = (
    f"{'senders':>8} {'dests':>9} {'at, s':>12} {'open':>8} {'MB':>7} {'wall, s':>8}"
    f" {'p99, s':>7} {'worst, s':>9} {'cpu':>8} {'kB/s':>8} {'stale':>6}"
)


def progress_row(progress: Progress) -> str:
    """The table row of a size that is running."""
    return (
        f"{progress.senders:>8} {progress.destinations:>9} {progress.at_s:>5.0f}/{progress.total_s:<6.0f}"
        f" {progress.pending:>8} {progress.resident_mb:>7.0f} {progress.wall_s:>8.1f}"
    )


def result_row(result: SizeResult) -> str:
    """The table row of a size that is finished."""
    size, times, sender = result.size, result.propagation, result.sender
    worst = max(times.worst_s, times.after_heal_worst_s)
    return (
        f"{size.senders:>8} {size.destinations:>9} {'done':>12} {times.stale:>8} {result.resident_mb:>7.0f}"
        f" {result.wall_s:>8.1f} {times.p99_s:>7.3f} {worst:>9.3f} {sender.cpu_share:>8.5f}"
        f" {sender.kb_s:>8.3f} {times.stale:>6}"
    )


def run_sizes(
    settings: ScaleSettings, file: Path, show: Callable[[str], None] = print
) -> Sequence[SizeResult]:
    """Run all sizes of the settings, which were loaded from `file`."""
    return SizesRun(settings, file, show).run()
