"""Members: real `mountgauge run` processes with a file, a folder and addresses of their own.

Each member listens on a loopback address that is only its own, so it comes back at the same place and no
two rigs meet. What its folder holds after a fault is set here: kept, lost, an old copy, cut short, swapped,
another's.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import mountgauge
from mountgauge.lab.rig.events import Events

RESP, STATUS, GOSSIP = 6379, 9100, 7700  # ports of each member's own address
_ROOT = Path(mountgauge.__file__).parent.parent
_START_LIMIT = 60.0  # s that a member may take until it answers PING, however slow the machine
_END_LIMIT = 15.0  # s that it may take to end after SIGTERM


def hosts(count: int, rig: int) -> list[str]:
    """A loopback address for each member, apart from those of other rigs at work."""
    return [f"127.{64 + rig % 128}.{1 + rig // 128 % 250}.{place + 1}" for place in range(count)]


def parse_log_line(line: str) -> dict[str, str]:
    """A key=value log line as the program writes it; empty where it is something else."""
    found: dict[str, str] = {}
    rest = line.strip()
    while rest:
        key, equals, rest = rest.partition("=")
        if not equals or not key or " " in key:
            return {}
        if rest.startswith('"'):
            value, place = [], 1
            while place < len(rest) and rest[place] != '"':
                place += rest[place] == "\\"
                value.append(rest[place : place + 1])
                place += 1
            found[key], rest = "".join(value), rest[place + 1 :].lstrip()
        else:
            found[key], _, rest = rest.partition(" ")
            rest = rest.lstrip()
    return found


@dataclass(eq=False)
class Member:
    """One sender of the rig: its folder, its process and what it logs."""

    name: str
    host: str
    folder: Path  # with its file, its state and its log
    events: Events
    command: list[str] = field(default_factory=list)  # after the interpreter
    env: dict[str, str] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    run_count: int = 0
    paused: bool = False
    should_run: bool = True  # to be running
    watch: Callable[[str, Mapping[str, str]], None] | None = None  # hears of each log line
    tail: list[str] = field(default_factory=list)
    _reading: asyncio.Task[None] | None = None
    _starting: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def state(self) -> Path:
        return self.folder / "state"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process; it serves once `ready` returns. Of two that start it at once one does."""
        async with self._starting:
            if not self.running:
                await self._start()

    async def _start(self) -> None:
        self.state.mkdir(parents=True, exist_ok=True)
        self.run_count += 1
        env = {**os.environ, "PYTHONPATH": str(_ROOT), "PYTHONUNBUFFERED": "1", **self.env}
        env.pop("PYTHONDONTWRITEBYTECODE", None)  # else each start compiles the whole program anew
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(self.command or ["-m", "mountgauge", "run", str(self.folder / "sender.toml")]),
            cwd=self.folder,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self.events.add("start", member=self.name, life=self.run_count, pid=self.process.pid)
        self._reading = asyncio.get_running_loop().create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        with (self.folder / "log").open("ab") as out:
            while line := await process.stderr.readline():
                out.write(line)
                out.flush()
                text = line.decode(errors="replace").rstrip()
                self.tail = [*self.tail[-40:], text]
                if (pairs := parse_log_line(text)) and self.watch is not None:
                    self.watch(self.name, pairs)
        code = await process.wait()
        self.events.add("gone", member=self.name, code=code, pid=process.pid)

    async def ready(self) -> None:
        """Wait until it answers PING; RuntimeError with its last lines where it ends or takes too long."""
        loop = asyncio.get_running_loop()
        process, began = self.process, loop.time()
        while process is not None and process.returncode is None and loop.time() - began < _START_LIMIT:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.host, RESP)
                try:
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    async with asyncio.timeout(2.0):
                        if (await reader.readline()).startswith(b"+"):
                            self.events.add("ready", member=self.name, life=self.run_count)
                            return
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.03)
        if process is self.process and self.should_run:
            raise RuntimeError(f"{self.name} does not serve: " + " | ".join(self.tail[-5:]))

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            if number == signal.SIGSTOP:
                self.paused = True
            elif number in (signal.SIGCONT, signal.SIGKILL):
                self.paused = False

    async def ended(
        self, process: asyncio.subprocess.Process | None = None, limit: float = _END_LIMIT
    ) -> None:
        """Wait for its end; killed where it takes too long, which the events tell. `process`: only for the
        end of this one, whatever has been started in its place.
        """
        waited_for, reading = process or self.process, self._reading
        if waited_for is None:
            return
        try:
            async with asyncio.timeout(limit):
                await waited_for.wait()
        except TimeoutError:
            self.events.add("too-slow", member=self.name, limit=limit)
            if self.process is waited_for:
                self.signal(signal.SIGKILL)
            await waited_for.wait()
        if reading is not None and self.process is waited_for:
            await reading

    # Folders

    def save(self) -> None:
        """Keep a copy of the folder as it is now: `old` puts it back."""
        saved = self.folder / "saved"
        shutil.rmtree(saved, ignore_errors=True)
        _copy(self.state, saved)

    def delete_state(self) -> None:
        shutil.rmtree(self.state, ignore_errors=True)
        self.state.mkdir(parents=True)

    def empty_state(self) -> None:
        """All that is in the folder goes; the folder stays, and the process may be running."""
        for one in self.state.iterdir():
            shutil.rmtree(one) if one.is_dir() else one.unlink()

    def restore_saved(self) -> None:
        saved = self.folder / "saved"
        if not saved.is_dir():
            raise RuntimeError(f"{self.name}: no copy was saved")
        shutil.rmtree(self.state, ignore_errors=True)
        _copy(saved, self.state)

    def truncate_files(self, rng: random.Random) -> None:
        """Each file cut short at a place of its own."""
        for one in sorted(self.state.rglob("*")):
            if one.is_file():
                os.truncate(one, rng.randrange(one.stat().st_size + 1))

    def copy_from(self, other: Member) -> None:
        """Another instance's folder stands in place of the own one."""
        shutil.rmtree(self.state, ignore_errors=True)
        _copy(other.state, self.state)

    def swap(self, other: Member) -> None:
        spare = self.folder / "swapping"
        os.replace(self.state, spare)
        os.replace(other.state, self.state)
        os.replace(spare, other.state)


def _copy(source: Path, target: Path) -> None:
    """A folder that a running process may be writing to: what goes in between is not copied."""
    target.mkdir(parents=True, exist_ok=True)
    for one in source.iterdir():
        with contextlib.suppress(OSError):
            if one.is_dir():
                _copy(one, target / one.name)
            else:
                shutil.copyfile(one, target / one.name)
