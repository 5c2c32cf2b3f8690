"""The agent: runs the instances listed in its file, restarts those that crash, and stops them in order."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mountgauge.core.config import Address, ConfigError
from mountgauge.log import kv
from mountgauge.operator_file import OperatorFile, load
from mountgauge.run import block_signals
from mountgauge.run.reload_retry import ReloadRetry
from mountgauge.settings_table import Table, config_errors_in, read_toml
from mountgauge.status import StatusServer

log = logging.getLogger("mountgauge.agent")

_FIRST_BACK_OFF_S, _MAX_BACK_OFF_S = 0.5, 30.0
_STABLE_AFTER_S = 30.0  # of uptime, after which the back-off starts from its first value again
_STOP_TIMEOUT_S = 5.0  # from SIGTERM to SIGKILL; an instance exits by itself within 3.7 s
_EXIT_BAD_CONFIG = 2
_SIGNAL_HANDLERS_READY_S = 2.0  # after which a started instance has its SIGHUP handler


@dataclass(frozen=True, slots=True)
class AgentFile:
    """A validated agent's file: the address of its status page, and the instances that it runs."""

    listen: Address
    instances: tuple[OperatorFile, ...]


def load_agent(path: Path) -> AgentFile:
    """Load the agent's file and all files that it names, so that errors show before anything is started."""
    top = Table(read_toml(path), "")
    with config_errors_in(path):
        agent = top.table("agent") or Table({}, "agent")
        listen = agent.address("listen") or Address("127.0.0.1", 9100)
        if not listen.host.startswith("127."):
            raise ConfigError("agent.listen: must be a loopback address")
        files = []
        for table in top.tables("instance"):
            files.append(path.parent / table.get("file", str))
            table.reject_unknown()
        agent.reject_unknown()
        top.reject_unknown()
        if not files:
            raise ConfigError("instance: at least one is needed")
    instances = tuple(load(file) for file in files)
    for setting, values in (
        ("name", [one.config.name for one in instances]),
        ("state", [str(one.config.state.resolve()) for one in instances]),
    ):
        if len(set(values)) < len(values):
            raise ConfigError(f"{path}: two instances have the same {setting}")
    return AgentFile(listen, instances)


class Instance:
    """One sender process, and its state: "starting" or "running", "backing-off" after a crash, "stopped", or
    "failed" if its file is invalid.
    """

    def __init__(self, name: str, command: list[str]) -> None:
        self.name, self.command = name, command
        self.state, self.restarts = "starting", 0
        self.exit: int | None = None
        self.since = time.time()  # wall-clock start of this state, for the report
        self._state_began = time.monotonic()
        self._process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None
        self._stopping = False

    def start(self) -> None:
        """Start the process, and restart it each time that it exits."""
        self._task = asyncio.get_running_loop().create_task(self._supervise())

    def _set_state(self, state: str) -> None:
        self.state, self.since, self._state_began = state, time.time(), time.monotonic()
        log.info("instance", extra=kv(name=self.name, state=state, restarts=self.restarts, exit=self.exit))

    async def _supervise(self) -> None:
        delay = _FIRST_BACK_OFF_S
        while not self._stopping:
            try:
                self._process = await asyncio.create_subprocess_exec(*self.command)
            except OSError as error:
                log.error("not-started", extra=kv(name=self.name, error=error))
                self.exit = None
            else:
                began = time.monotonic()
                self._set_state("running")
                self.exit = await self._process.wait()
                self._process = None
                if time.monotonic() - began >= _STABLE_AFTER_S:
                    delay = _FIRST_BACK_OFF_S
                if self.exit == _EXIT_BAD_CONFIG:  # a restart would fail the same way
                    self._set_state("failed")
                    return
            if self._stopping:
                break
            self.restarts += 1
            self._set_state("backing-off")
            await asyncio.sleep(delay)
            delay = min(2 * delay, _MAX_BACK_OFF_S)

    async def stop(self) -> None:
        """Terminate the process, and kill it if it has not exited within `_STOP_TIMEOUT_S`."""
        self._stopping = True
        if (process := self._process) is not None:
            process.terminate()
            try:
                async with asyncio.timeout(_STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.state != "failed":
            self._set_state("stopped")

    async def reload(self) -> None:
        """Forward SIGHUP to the process, or start it again if its file was invalid before."""
        if self.state == "failed":
            self.start()
        elif (process := self._process) is not None:
            # SIGHUP would end a process that has not installed its handler yet.
            await asyncio.sleep(self._state_began + _SIGNAL_HANDLERS_READY_S - time.monotonic())
            if process is self._process:
                process.send_signal(signal.SIGHUP)

    def report(self) -> Mapping[str, Any]:
        """Return the instance's entry of the agent's status page."""
        return {
            "name": self.name, "state": self.state, "restarts": self.restarts, "exit": self.exit,
            "pid": self._process.pid if self._process is not None else None, "since": round(self.since, 3),
        }  # fmt: skip


class Agent:
    """Runs the instances of a file as processes, and restarts those that crash."""

    def __init__(self, file: AgentFile) -> None:
        self.listen = file.listen
        self.instances = [self._instance(one) for one in file.instances]
        self.status = StatusServer(lambda: {"instances": [one.report() for one in self.instances]})
        self._reload_retry = ReloadRetry(lambda: self.reloads.put_nowait(None), "the old instances", log)
        self.reloads: asyncio.Queue[None] = asyncio.Queue()  # requests, carried out one after another
        self._reloading: asyncio.Task[None] | None = None

    @staticmethod
    def _instance(one: OperatorFile) -> Instance:
        return Instance(one.config.name, [sys.executable, "-m", "mountgauge", "run", str(one.path)])

    async def reload(self, path: Path) -> None:
        """Read the file again: stop removed instances, start new ones, and forward SIGHUP to the others."""
        try:
            file = load_agent(path)
        except ConfigError as error:
            self._reload_retry.failed(error)
            return
        wanted = [self._instance(one) for one in file.instances]
        known = {(one.name, *one.command): one for one in self.instances}
        instances = [known.pop((one.name, *one.command), one) for one in wanted]
        removed, added = list(known.values()), [one for one in instances if one in wanted]
        self.instances = instances
        needs = "listen" if file.listen != self.listen else "nothing"
        counts = kv(instances=len(instances), gone=len(removed), new=len(added), needs_restart=needs)
        log.info("reloaded", extra=counts)
        for instance in removed:  # first, as a new one may use the same state folder or address
            await instance.stop()
        for instance in added:
            instance.start()
        await asyncio.gather(*(one.reload() for one in instances if one not in added))

    async def start(self, path: Path) -> None:
        """Start the instances, and from now on reload the file at `path` on request."""
        self._reloading = asyncio.get_running_loop().create_task(self._handle_reloads(path))
        await self.status.listen(self.listen)
        for instance in self.instances:
            instance.start()

    async def _handle_reloads(self, path: Path) -> None:
        while True:
            await self.reloads.get()
            await self.reload(path)

    async def stop(self) -> None:
        """Stop the instances in reverse order of the file, one at a time, so that the others keep serving."""
        self._reload_retry.cancel()
        if self._reloading is not None:
            self._reloading.cancel()
        for instance in reversed(self.instances):
            await instance.stop()
        self.status.close()


async def serve(file: AgentFile, path: Path) -> None:
    """Run an agent until SIGTERM or SIGINT; SIGHUP reloads its file."""
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    agent = Agent(file)
    loop.add_signal_handler(signal.SIGHUP, agent.reloads.put_nowait, None)
    await agent.start(path)
    log.info(
        "ready", extra=kv(instances=len(agent.instances), listen=f"{agent.listen.host}:{agent.listen.port}")
    )
    await stop_requested.wait()
    await agent.stop()
    block_signals()
