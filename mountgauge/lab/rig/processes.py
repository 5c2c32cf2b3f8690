"""Members: real `mountgauge run` processes, each with its own configuration file, folder and addresses.

Each member listens on its own loopback address, so it restarts at the same address and rigs do not collide.
This module also sets the contents of its folder after a fault: kept, lost, an old copy, truncated, swapped,
or a copy of another member's folder.
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
_START_LIMIT_S = 60.0  # until a member answers PING, on a slow machine too
_EXIT_LIMIT_S = 15.0  # from SIGTERM to the exit


def hosts(count: int, rig: int) -> list[str]:
    """A loopback address for each member, different from those of other running rigs."""
    return [f"127.{64 + rig % 128}.{1 + rig // 128 % 250}.{index + 1}" for index in range(count)]


def parse_log_line(line: str) -> dict[str, str]:
    """Parse a key=value log line of the program; empty for any other line."""
    found: dict[str, str] = {}
    rest = line.strip()
    while rest:
        key, equals, rest = rest.partition("=")
        if not equals or not key or " " in key:
            return {}
        if rest.startswith('"'):
            value, index = [], 1
            while index < len(rest) and rest[index] != '"':
                index += rest[index] == "\\"
                value.append(rest[index : index + 1])
                index += 1
            found[key], rest = "".join(value), rest[index + 1 :].lstrip()
        else:
            found[key], _, rest = rest.partition(" ")
            rest = rest.lstrip()
    return found


@dataclass(eq=False)
class Member:
    """One sender of the rig: its folder, its process and its log."""

    name: str
    host: str
    folder: Path  # holds its configuration file, its state and its log
    events: Events
    command: list[str] = field(default_factory=list)  # arguments of the interpreter
    env: dict[str, str] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    run_count: int = 0
    paused: bool = False
    should_run: bool = True
    on_log_line: Callable[[str, Mapping[str, str]], None] | None = None  # called with each log line
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
        """Start the process, which serves once `wait_ready` returns. One of two concurrent calls does so."""
        async with self._starting:
            if not self.running:
                await self._start()

    async def _start(self) -> None:
        self.state.mkdir(parents=True, exist_ok=True)
        self.run_count += 1
        env = {**os.environ, "PYTHONPATH": str(_ROOT), "PYTHONUNBUFFERED": "1", **self.env}
        env.pop("PYTHONDONTWRITEBYTECODE", None)  # with it each start would compile the whole program
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
                if (pairs := parse_log_line(text)) and self.on_log_line is not None:
                    self.on_log_line(self.name, pairs)
        code = await process.wait()
        self.events.add("gone", member=self.name, code=code, pid=process.pid)

    async def wait_ready(self) -> None:
        """Wait until it answers PING; RuntimeError with its last log lines if it exits or takes too long."""
        loop = asyncio.get_running_loop()
        process, began = self.process, loop.time()
        while process is not None and process.returncode is None and loop.time() - began < _START_LIMIT_S:
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
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            if number == signal.SIGSTOP:
                self.paused = True
            elif number in (signal.SIGCONT, signal.SIGKILL):
                self.paused = False

    async def wait_exit(
        self, process: asyncio.subprocess.Process | None = None, limit: float = _EXIT_LIMIT_S
    ) -> None:
        """Wait for the exit of the process; kill it after `limit` seconds, which is recorded as an event.
        `process`: wait for this one only, even if its successor has been started.
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
        """Copy the folder; the value `old` of a fault's `folder` restores the copy."""
        saved = self.folder / "saved"
        shutil.rmtree(saved, ignore_errors=True)
        _copy(self.state, saved)

    def delete_state(self) -> None:
        """Replace the state folder by an empty one."""
        shutil.rmtree(self.state, ignore_errors=True)
        self.state.mkdir(parents=True)

    def empty_state(self) -> None:
        """Delete the contents of the folder but not the folder itself; the process may be running."""
        for one in self.state.iterdir():
            shutil.rmtree(one) if one.is_dir() else one.unlink()

    def restore_saved(self) -> None:
        """Restore the folder from its saved copy."""
        saved = self.folder / "saved"
        if not saved.is_dir():
            raise RuntimeError(f"{self.name}: no copy was saved")
        shutil.rmtree(self.state, ignore_errors=True)
        _copy(saved, self.state)

    def truncate_files(self, rng: random.Random) -> None:
        """Truncate each file at a random offset."""
        for one in sorted(self.state.rglob("*")):
            if one.is_file():
                os.truncate(one, rng.randrange(one.stat().st_size + 1))

    def copy_from(self, other: Member) -> None:
        """Replace the folder by a copy of another member's folder."""
        shutil.rmtree(self.state, ignore_errors=True)
        _copy(other.state, self.state)

    def swap(self, other: Member) -> None:
        """Exchange the folders of the two members."""
        spare = self.folder / "swapping"
        os.replace(self.state, spare)
        os.replace(other.state, self.state)
        os.replace(spare, other.state)


def _copy(source: Path, target: Path) -> None:
    """Copy a folder that a running process may write to: files that vanish meanwhile are skipped."""
    target.mkdir(parents=True, exist_ok=True)
    for one in source.iterdir():
        with contextlib.suppress(OSError):
            if one.is_dir():
                _copy(one, target / one.name)
            else:
                shutil.copyfile(one, target / one.name)
