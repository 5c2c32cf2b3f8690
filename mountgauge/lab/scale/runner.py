"""Plays the sizes of a scale run in processes of their own, shows progress, and bounds their memory."""

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

_LOOK_EVERY_S = 0.5
_MACHINE_SHARE = 0.5  # of the machine's memory under which a run stays


class RunStoppedError(RuntimeError):
    """The run cannot go on; the text is one line."""


@dataclass(slots=True)
class _Child:
    """One size under way."""

    size: Size
    process: subprocess.Popen[bytes]
    result: SizeResult | None = None
    ended: bool = False


@dataclass(slots=True)
class _Message:
    child: _Child
    line: bytes  # empty: the process has closed its output


@dataclass(slots=True)
class SizesRun:
    """All sizes of a run, at most `workers` at a time."""

    settings: ScaleSettings
    file: Path
    show: Callable[[str], None]
    _children: list[_Child] = field(default_factory=list)
    _messages: queue.Queue[_Message] = field(default_factory=queue.Queue)

    def play(self) -> list[SizeResult]:
        """The results by size; RunStoppedError where memory runs out or a process fails."""
        self.show(TABLE_HEADER)
        waiting = sorted(range(len(self.settings.sizes)), key=lambda place: self.settings.sizes[place])
        try:
            while waiting or any(not child.ended for child in self._children):
                running = sum(not child.ended for child in self._children)
                if waiting and running < self.settings.workers:
                    self._start(waiting.pop())  # the largest first: it takes longest
                    continue
                self._wait()
        finally:
            self._end_children()
        results = [child.result for child in self._children if child.result is not None]
        return sorted(results, key=lambda one: one.size)

    def _start(self, place: int) -> None:
        words = [str(self.file), str(self.settings.seed), str(place)]
        process = subprocess.Popen(
            [sys.executable, "-m", "mountgauge.lab.scale.worker", *words], stdout=subprocess.PIPE
        )
        child = _Child(self.settings.sizes[place], process)
        self._children.append(child)
        threading.Thread(target=self._read, args=(child,), daemon=True).start()

    def _read(self, child: _Child) -> None:
        assert child.process.stdout is not None
        for line in child.process.stdout:
            self._messages.put(_Message(child, line))
        self._messages.put(_Message(child, b""))

    def _wait(self) -> None:
        try:
            message = self._messages.get(timeout=_LOOK_EVERY_S)
        except queue.Empty:
            message = None
        self._check_memory()
        if message is None:
            return
        child = message.child
        if message.line:
            self._take(child, orjson.loads(message.line))
            return
        child.ended = True
        if child.process.wait() != 0 or child.result is None:
            code = child.process.returncode
            raise RunStoppedError(f"{child.size.senders} senders: the process ended with {code}")

    def _take(self, child: _Child, raw: dict[str, Any]) -> None:
        if "progress" in raw:
            self.show(progress_row(Progress(**raw["progress"])))
        else:
            child.result = result_from_json(raw["result"])
            self.show(result_row(child.result))

    def _check_memory(self) -> None:
        pids = [os.getpid(), *(child.process.pid for child in self._children if not child.ended)]
        used = sum(map(resident_bytes, pids))
        machine = machine_memory()
        most = min(self.settings.most_memory_gb * 1e9, _MACHINE_SHARE * machine.total)
        if used > most:
            raise RunStoppedError(f"stopped: {used / 1e9:.1f} GB in use, {most / 1e9:.1f} GB are allowed")
        if machine.used_share > _MACHINE_SHARE:
            raise RunStoppedError(f"stopped: {machine.used_share:.0%} of the machine's memory is in use")

    def _end_children(self) -> None:
        for child in self._children:
            if child.process.poll() is None:
                child.process.kill()
            child.process.wait()


TABLE_HEADER = (
    f"{'senders':>8} {'dests':>9} {'at, s':>12} {'open':>8} {'MB':>7} {'wall, s':>8}"
    f" {'p99, s':>7} {'worst, s':>9} {'cpu':>8} {'kB/s':>8} {'stale':>6}"
)


def progress_row(progress: Progress) -> str:
    """A line of the table while a size is under way."""
    return (
        f"{progress.senders:>8} {progress.destinations:>9} {progress.at_s:>5.0f}/{progress.total_s:<6.0f}"
        f" {progress.pending:>8} {progress.resident_mb:>7.0f} {progress.wall_s:>8.1f}"
    )


def result_row(result: SizeResult) -> str:
    """A line of the table for a size that is done."""
    size, times, sender = result.size, result.propagation, result.sender
    worst = max(times.worst_s, times.after_heal_worst_s)
    return (
        f"{size.senders:>8} {size.destinations:>9} {'done':>12} {times.stale:>8} {result.resident_mb:>7.0f}"
        f" {result.wall_s:>8.1f} {times.p99_s:>7.3f} {worst:>9.3f} {sender.cpu_share:>8.5f}"
        f" {sender.kb_s:>8.3f} {times.stale:>6}"
    )


def play_sizes(
    settings: ScaleSettings, file: Path, show: Callable[[str], None] = print
) -> Sequence[SizeResult]:
    """Play all sizes of the settings, which stand in `file`."""
    return SizesRun(settings, file, show).play()
