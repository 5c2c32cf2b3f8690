"""The agent: runs the instances of an operator's file, starts crashed ones again, stops them in order."""

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

_BACK_OFF, _BACK_OFF_MOST = 0.5, 30.0
_STEADY = 30.0  # s up after which a crash counts as the first again
_STOP_LIMIT = 5.0  # s from SIGTERM to SIGKILL; an instance ends by itself before 3.7 s
_BAD_CONFIG = 2
_READY = 2.0  # s in which a started instance surely heeds SIGHUP


@dataclass(frozen=True, slots=True)
class AgentFile:
    """An agent's file, checked: where its status listens, and the instances that it runs."""

    listen: Address
    instances: tuple[OperatorFile, ...]


def load_agent(path: Path) -> AgentFile:
    """The agent's file and all that it names: a fault in any of them shows before anything starts."""
    top = Table(read_toml(path), "")
    with config_errors_in(path):
        agent = top.table("agent") or Table({}, "agent")
        listen = agent.address("listen") or Address("127.0.0.1", 9100)
        if not listen.host.startswith("127."):
            raise ConfigError("agent.listen: only on loopback")
        files = []
        for table in top.tables("instance"):
            files.append(path.parent / table.get("file", str))
            table.reject_unknown()
        agent.reject_unknown()
        top.reject_unknown()
        if not files:
            raise ConfigError("instance: at least one is needed")
    instances = tuple(load(file) for file in files)
    for what, values in (
        ("name", [one.config.name for one in instances]),
        ("state", [str(one.config.state.resolve()) for one in instances]),
    ):
        if len(set(values)) < len(values):
            raise ConfigError(f"{path}: two instances have the same {what}")
    return AgentFile(listen, instances)


class Instance:
    """STARTING or RUNNING, BACKING-OFF after a crash, STOPPED or FAILED (it cannot use its file)."""

    def __init__(self, name: str, command: list[str]) -> None:
        self.name, self.command = name, command
        self.state, self.restarts = "starting", 0
        self.exit: int | None = None
        self.since = time.time()  # for those who read the report
        self._began = time.monotonic()  # of this state
        self._process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None
        self._stopping = False

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._keep())

    def _become(self, state: str) -> None:
        self.state, self.since, self._began = state, time.time(), time.monotonic()
        log.info("instance", extra=kv(name=self.name, state=state, restarts=self.restarts, exit=self.exit))

    async def _keep(self) -> None:
        delay = _BACK_OFF
        while not self._stopping:
            try:
                self._process = await asyncio.create_subprocess_exec(*self.command)
            except OSError as error:
                log.error("not-started", extra=kv(name=self.name, error=error))
                self.exit = None
            else:
                began = time.monotonic()
                self._become("running")
                self.exit = await self._process.wait()
                self._process = None
                if time.monotonic() - began >= _STEADY:
                    delay = _BACK_OFF
                if self.exit == _BAD_CONFIG:  # starting it again would change nothing
                    self._become("failed")
                    return
            if self._stopping:
                break
            self.restarts += 1
            self._become("backing-off")
            await asyncio.sleep(delay)
            delay = min(2 * delay, _BACK_OFF_MOST)

    async def stop(self) -> None:
        self._stopping = True
        if (process := self._process) is not None:
            process.terminate()
            try:
                async with asyncio.timeout(_STOP_LIMIT):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.state != "failed":
            self._become("stopped")

    async def reload(self) -> None:
        """Pass SIGHUP on; one that could not use its file is tried again."""
        if self.state == "failed":
            self.start()
        elif (process := self._process) is not None:
            await asyncio.sleep(self._began + _READY - time.monotonic())  # it must have its handler by then
            if process is self._process:
                process.send_signal(signal.SIGHUP)

    def report(self) -> Mapping[str, Any]:
        return {
            "name": self.name, "state": self.state, "restarts": self.restarts, "exit": self.exit,
            "pid": self._process.pid if self._process is not None else None, "since": round(self.since, 3),
        }  # fmt: skip


class Agent:
    """Runs the instances of a file as processes, and starts again those that crash."""

    def __init__(self, file: AgentFile) -> None:
        self.listen = file.listen
        self.instances = [self._instance(one) for one in file.instances]
        self.status = StatusServer(lambda: {"instances": [one.report() for one in self.instances]})
        self._reload_retry = ReloadRetry(lambda: self.reloads.put_nowait(None), "the old instances", log)
        self.reloads: asyncio.Queue[None] = asyncio.Queue()  # made one after another
        self._reloading: asyncio.Task[None] | None = None

    @staticmethod
    def _instance(one: OperatorFile) -> Instance:
        return Instance(one.config.name, [sys.executable, "-m", "mountgauge", "run", str(one.path)])

    async def reload(self, path: Path) -> None:
        """Read the file again: stop what it no longer names, start what is new, pass SIGHUP to the rest."""
        try:
            file = load_agent(path)
        except ConfigError as error:
            self._reload_retry.failed(error)
            return
        wanted = [self._instance(one) for one in file.instances]
        known = {(one.name, *one.command): one for one in self.instances}
        kept = [known.pop((one.name, *one.command), one) for one in wanted]
        gone, fresh = list(known.values()), [one for one in kept if one in wanted]
        self.instances = kept
        needs = "listen" if file.listen != self.listen else "nothing"
        counts = kv(instances=len(kept), gone=len(gone), new=len(fresh), needs_restart=needs)
        log.info("reloaded", extra=counts)
        for instance in gone:  # first, as a new one may take over its state or its address
            await instance.stop()
        for instance in fresh:
            instance.start()
        await asyncio.gather(*(one.reload() for one in kept if one not in fresh))

    async def start(self, path: Path) -> None:
        """Start the instances, and heed reloads of the file at this path."""
        self._reloading = asyncio.get_running_loop().create_task(self._reload_each(path))
        await self.status.listen(self.listen)
        for instance in self.instances:
            instance.start()

    async def _reload_each(self, path: Path) -> None:
        while True:
            await self.reloads.get()
            await self.reload(path)

    async def stop(self) -> None:
        """In the file's order reversed, one after another, so that the others go on serving meanwhile."""
        self._reload_retry.cancel()
        if self._reloading is not None:
            self._reloading.cancel()
        for instance in reversed(self.instances):
            await instance.stop()
        self.status.close()


async def serve(file: AgentFile, path: Path) -> None:
    """Run an agent until it is told to end; SIGHUP reads its file anew."""
    loop, asked = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    agent = Agent(file)
    loop.add_signal_handler(signal.SIGHUP, agent.reloads.put_nowait, None)
    await agent.start(path)
    log.info(
        "ready", extra=kv(instances=len(agent.instances), listen=f"{agent.listen.host}:{agent.listen.port}")
    )
    await asked.wait()
    await agent.stop()
    block_signals()
