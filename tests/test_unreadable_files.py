"""A configuration file that is temporarily unreadable is read as soon as that is possible (issue 40)."""

from __future__ import annotations

import asyncio
import errno
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from mountgauge.agent import Agent, load_agent
from mountgauge.core.config import Address, Config, ConfigError
from mountgauge.relay.service import RelayService
from mountgauge.run.platform import PlatformRuntime
from mountgauge.run.serve import make_with_retries
from tests.helper import HOST, SenderHarness, run, until
from tests.settings import settings
from tests.sharding.test_relay_service import MEMBERS, relay_file

Set = Callable[[str, str], None]


def unreadable(monkeypatch: pytest.MonkeyPatch, file: Path, times: int, error: int = errno.EIO) -> list[int]:
    """Make the next reads of this file fail; returns how many failures remain."""
    remaining = [times]
    for name in ("read_bytes", "read_text"):
        read = getattr(Path, name)

        def failing(path: Path, *args: Any, read: Any = read, **options: Any) -> Any:
            if path == file and remaining[0] > 0:
                remaining[0] -= 1
                raise OSError(error, os.strerror(error))
            return read(path, *args, **options)

        monkeypatch.setattr(Path, name, failing)
    return remaining


def configured(folder: Path, discovery: str) -> Path:
    (folder / "state").mkdir(exist_ok=True)
    raw = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1f",
        "limits": {"memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"version": 4, "full": True, "servers": []},
        "settings": settings(shapes=["one", "two"], discovery="subscribe"),
    }  # fmt: skip
    file = folder / "config.json"
    file.write_text(json.dumps(raw))
    return file


@pytest.fixture
def platform(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """The platform's configuration file of a sender, named in its environment."""
    file = configured(tmp_path, "127.0.0.1:7001")
    monkeypatch.setenv("GW_CONFIG", str(file))
    monkeypatch.setenv("GW_STATE", str(tmp_path / "state"))
    return file


def test_a_start_waits_for_an_unreadable_configuration(
    platform: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process exited with status 2, as for an invalid file."""

    async def main() -> None:
        unreadable(monkeypatch, platform, 2)
        runtime = await make_with_retries(lambda: PlatformRuntime(Config.load()), asyncio.Event())
        assert runtime is not None and runtime.config.name == "n0"
        runtime.close()

    run(main())


def test_a_missing_configuration_is_reported_at_once(platform: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        unreadable(monkeypatch, platform, 9, errno.ENOENT)
        with pytest.raises(ConfigError):
            await make_with_retries(lambda: PlatformRuntime(Config.load()), asyncio.Event())

    run(main())


def test_a_reload_completes_as_soon_as_the_configuration_is_readable(
    platform: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The new discovery's list applies 4 s after the signal, whether or not the file was readable."""

    async def main() -> None:
        runtime = PlatformRuntime(Config.load())
        configured(platform.parent, "127.0.0.1:7002")
        remaining = unreadable(monkeypatch, platform, 2)
        runtime.reload()
        runtime.reload()  # two signals cause one reload
        await until(lambda: runtime.config.discovery == Address("127.0.0.1", 7002), 4.0)
        assert not remaining[0]
        runtime.close()

    run(main())


def test_an_operators_reload_completes_as_soon_as_the_file_is_readable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, "http") as world:
            before = world.runtime.operator
            unreadable(monkeypatch, world.file, 3)
            world.runtime.reload()
            await until(lambda: world.runtime.operator is not before, 4.0)

    run(main())


def test_a_relays_reload_completes_as_soon_as_its_file_is_readable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        file = relay_file(tmp_path, 1)
        service = RelayService(file, seed=1)
        (tmp_path / "members.toml").write_text(MEMBERS.format(epoch=2))
        unreadable(monkeypatch, file.path, 2)
        service.reload()
        await until(lambda: service.placement.placement and service.placement.placement.epoch == 2, 4.0)
        service.close()

    run(main())


def test_an_agents_reload_completes_as_soon_as_its_file_is_readable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("a", "b"):
        (tmp_path / f"{name}.toml").write_text(
            f'name = "{name}"\nstate = "s-{name}"\n[resp]\nlisten = "{HOST}:0"\n'
            '[[class]]\nname = "note"\nsemantics = "idempotent"\ndeadline = 8\n'
        )
    file = tmp_path / "agent.toml"
    one = '[agent]\nlisten = "127.0.0.1:0"\n[[instance]]\nfile = "a.toml"\n'

    async def main() -> None:
        file.write_text(one)
        agent = Agent(load_agent(file))
        file.write_text(one + '[[instance]]\nfile = "b.toml"\n')
        unreadable(monkeypatch, file, 2)
        try:
            await agent.start(file)
            await agent.reload(file)
            await until(lambda: [one.name for one in agent.instances] == ["a", "b"], 4.0)
        finally:
            await agent.stop()

    run(main(), 30)
