"""A new process is ready once it has a list that may be used, or after a bounded time."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from tests import processes
from tests.crossings.test_notified import World
from tests.helper import HOST, run, until

REFUSE, SILENT = "refuse", "silent"
READY_WITHIN_S = 10.0  # at a start, by the platform's rule
EXIT_WITHIN_S = 3.7  # after SIGTERM


def _events(folder: Path, *names: str) -> list[str]:
    """The names of these events, in the order of the log."""
    lines = (folder / "sender.log").read_text().splitlines()
    found = [next((name for name in names if f"event={name} " in f"{line} "), "") for line in lines]
    return [name for name in found if name]


def _accepts(port: int) -> bool:
    with socket.socket() as client:
        return client.connect_ex((HOST, port)) == 0


def test_a_new_process_accepts_clients_once_discovery_has_answered(tmp_path: Path) -> None:
    """Guards against a sender that is used before it has a list, and rejects or holds all that it gets."""

    async def main() -> None:
        async with World(tmp_path, [], senders=3) as world:
            world.process.kill()
            await world.process.wait()
            (tmp_path / "state" / "list-evidence").unlink()  # nothing dates the list of the next process
            world.client.cancel()
            (tmp_path / "sender.log").write_text("")
            world.list.script[:] = [REFUSE, REFUSE]
            world.process = await world.launch()
            assert _events(tmp_path, "list-lease", "ready") == ["list-lease", "ready"]
            assert await world.send(("first", "safe")) == [b"+OK\r\n"]

    run(main(), 40)


@pytest.mark.parametrize("ends", [REFUSE, SILENT])
def test_a_new_process_that_gets_no_list_is_ready_in_time(tmp_path: Path, ends: str) -> None:
    """Guards against a start that waits for discovery for longer than a start may take."""

    async def main() -> None:
        async with World(tmp_path, [], senders=3) as world:
            world.process.kill()
            await world.process.wait()
            (tmp_path / "state" / "list-evidence").unlink()
            world.client.cancel()
            world.list.script[:] = [ends] * 100
            began_at = world.now()
            world.process = await world.launch()
            assert world.now() - began_at < READY_WITHIN_S

    run(main(), 40)


def test_sigterm_ends_a_process_that_waits_for_a_list(tmp_path: Path) -> None:
    """Guards against a wait that adds to the time that a shutdown may take."""

    async def main() -> None:
        async with World(tmp_path, [], senders=3) as world:
            world.process.kill()
            await world.process.wait()
            (tmp_path / "state" / "list-evidence").unlink()
            world.client.cancel()
            world.list.script[:] = [REFUSE] * 100
            calls_before = len(world.list.calls)
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "mountgauge",
                env={**os.environ, "GW_CONFIG": str(tmp_path / "config.json"),
                     "GW_STATE": str(tmp_path / "state")},
            )  # fmt: skip
            processes.register(process.pid)
            await until(lambda: len(world.list.calls) > calls_before)
            assert not _accepts(world.port)
            began_at = world.now()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert world.now() - began_at < EXIT_WITHIN_S
            world.list.script.clear()
            world.process = await world.launch()

    run(main(), 40)
