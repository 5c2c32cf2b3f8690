"""A change of the list that does not arrive counts as notified all the same, some seconds later: from then on
nothing new goes to the next hop that has left.

Whole processes against a scripted discovery. The fault is forced by what discovery has read: each call meets
the next fate of the script. The times asserted are the platform's own: 6 s after discovery could be reached,
2 s after the wait of a watch that fell silent, 4 s after a move, each with the grace of a drain.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from mountgauge.http1 import Message, response
from mountgauge.lab.ports import reserve_ports
from tests.helper import HOST, HttpServer, run, until
from tests.settings import message_class, settings
from tests.test_process import Platform

NOTIFIED_S, AFTER_WAIT_S, AFTER_MOVE_S = 6.0, 2.0, 4.0
DRAIN_GRACE_S = 0.25
GRACE_S = DRAIN_GRACE_S + 0.05  # with what every time limit is longer on sockets

Fate = Callable[[Message], Any]


class ScriptedDiscovery(HttpServer):
    """Answers as its list says, after the script of fates has been used up: one for each call."""

    def __init__(self, lines: list[dict[str, Any]], script: list[str]) -> None:
        super().__init__(self.discover)
        self.lines, self.script = lines, script
        self.version = 4
        self.changed = asyncio.Event()
        self.delay_s = 0.0
        self.turn = asyncio.Lock()  # it works through calls one after another
        self.calls: list[tuple[float, str]] = []
        self.silent_since: list[float] = []

    def leaves(self, place: int) -> None:
        """The endpoint is removed from the list."""
        self.lines[place]["state"] = "left"
        self.version += 1
        self.changed.set()

    async def discover(self, message: Message) -> bytes | None:
        assert message.start is not None
        path = message.start[1]
        if path == "/v1/notices":
            return response(204, "No Content", {}, b"")
        now = asyncio.get_running_loop().time()
        self.calls.append((now, path))
        fate = self.script.pop(0) if self.script else "answer"
        if fate == "silent":
            self.silent_since.append(now)
            await asyncio.sleep(60)
        if fate == "reset":
            return None  # the connection is closed
        if fate == "refuse":
            return response(503, "down", {}, b"")
        if self.delay_s:
            async with self.turn:
                await asyncio.sleep(self.delay_s)
        if "index=" not in path:
            return self.answer(True)
        _, _, query = path.partition("?")
        asked = dict(part.split("=") for part in query.split("&"))
        if int(asked["index"]) >= self.version:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), int(asked["wait"]) / 1000)
            except TimeoutError:
                return self.answer(False, ())
        return self.answer(False)

    def answer(self, full: bool, lines: Any = None) -> bytes:
        listed = self.lines if lines is None else lines
        if full:
            listed = [line for line in listed if line["state"] != "left"]
        body = {"version": self.version, "full": full, "servers": list(listed)}
        return response(200, "OK", {}, json.dumps(body).encode())


class World(Platform):
    """A sender with two endpoints of one destination, and a client that hands in messages all the time."""

    def __init__(
        self,
        folder: Path,
        script: list[str],
        mode: str = "subscribe",
        ask_s: float = 10.0,
        senders: int | None = None,
        answer_s: float = 0.0,
    ) -> None:
        """`senders`: that share discovery, as the settings count them; `answer_s`: that each answer of
        discovery takes.
        """
        super().__init__(folder)
        self.mode, self.ask_s, self.senders, self.answer_s = mode, ask_s, senders, answer_s
        # The one that leaves is the quicker one, so that it is always wanted.
        self.stays, self.leaver = HttpServer(self.take("stays", 0.7)), HttpServer(self.take("leaver", 0.0))
        self.taken: dict[str, list[float]] = {"stays": [], "leaver": []}
        self.script = script

    def take(self, name: str, answer_s: float) -> Fate:
        async def hook(message: Message) -> bytes:
            self.taken[name].append(asyncio.get_running_loop().time())
            await asyncio.sleep(answer_s)
            return response(200, "OK", {}, b"")

        return hook

    def line(self, name: str, server: HttpServer) -> dict[str, Any]:
        return {"id": name, "addr": f"{HOST}:{server.port}", "zone": "near", "kind": "one", "cell": 7,
                "state": "active", "weight": 1.0, "started_ms": 0}  # fmt: skip

    async def __aenter__(self) -> World:
        await self.begin()
        await until(lambda: self.taken["leaver"])
        return self

    async def begin(self) -> None:
        """Start all parts, and wait for none of them."""
        await self.stays.start()
        await self.leaver.start()
        self.lines = [self.line("stays", self.stays), self.line("leaver", self.leaver)]
        self.list = ScriptedDiscovery([dict(line) for line in self.lines], self.script)
        self.list.delay_s = self.answer_s
        self.discovery = self.list
        self.process = await self.start()
        self.client = asyncio.create_task(self.hand_in())

    def config(self, discovery: HttpServer) -> dict[str, Any]:
        grades = [message_class(name="safe")]
        env = settings(shapes=["one", "two"], grades=grades, discovery=self.mode)
        env["obligations"] |= {"askWithin": self.ask_s, "drainGrace": DRAIN_GRACE_S}
        if self.senders is not None:
            env["balancers"] = self.senders
        return {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{discovery.port}",
            "seed": "1f", "limits": {"memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": {"version": 4, "full": True, "servers": self.lines}, "settings": env,
        }  # fmt: skip

    async def start(self, _fds: int | None = None, **told: str) -> asyncio.subprocess.Process:
        await self.list.start()
        (self.port,) = reserve_ports(1)
        (self.folder / "config.json").write_text(json.dumps(self.config(self.list)))
        return await self.launch(_fds, **told)

    async def hand_in(self) -> None:
        number = 0
        while True:
            number += 1
            with contextlib.suppress(OSError):  # the sender is being restarted
                await self.send((f"m{number}", "safe"))
            await asyncio.sleep(0.1)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def left_alone_from(self, notified_at: float) -> None:
        """Nothing new goes to the one that has left from the end of the grace on, while the other serves."""
        due = notified_at + GRACE_S
        await asyncio.sleep(max(0.0, due - self.now()) + 1.0)
        late = [round(at - notified_at, 2) for at in self.taken["leaver"] if at > due]
        assert not late, f"calls so many seconds after the change counts as notified: {late[:5]}"
        await until(lambda: self.taken["stays"] and self.taken["stays"][-1] > due)  # served all the time

    async def __aexit__(self, *_: object) -> None:
        await self.end()

    async def end(self) -> None:
        """Stop all parts."""
        self.client.cancel()
        self.process.kill()
        await self.process.wait()
        for server in (self.stays, self.leaver, self.list):
            await server.stop()


def test_a_watch_that_falls_silent_and_its_successor_too(tmp_path: Path) -> None:
    """The second call is lost as well: what the first one missed counts as notified by the first one."""

    async def main() -> None:
        wait = 4.0
        async with World(tmp_path, ["answer", "silent", "silent"], ask_s=wait) as world:
            await until(lambda: len(world.list.silent_since) >= 1)
            world.list.leaves(1)
            silent_at = world.list.silent_since[0]
            await world.left_alone_from(max(silent_at + NOTIFIED_S, silent_at + wait + AFTER_WAIT_S))

    run(main(), 40)


def test_a_call_that_is_lost_after_an_outage(tmp_path: Path) -> None:
    """Discovery refuses for a while; the first call that it takes again is not answered."""

    async def main() -> None:
        script = ["refuse", "refuse", "silent"]
        async with World(tmp_path, script) as world:
            await until(lambda: len(world.list.calls) >= 2)  # it can be reached from here on
            reachable_at = world.list.calls[1][0]
            world.list.leaves(1)
            await until(lambda: world.list.silent_since)
            await world.left_alone_from(max(reachable_at, world.list.silent_since[0]) + NOTIFIED_S)

    run(main(), 40)


def test_a_move_to_a_discovery_that_is_slow(tmp_path: Path) -> None:
    """Each call takes it longer than a call was given: it works through those that were given up, too."""

    async def main() -> None:
        async with World(tmp_path, []) as world:
            moved = ScriptedDiscovery([dict(line) for line in world.lines], [])
            await moved.start()
            moved.delay_s = 1.8
            moved.leaves(1)
            (world.folder / "config.json").write_text(json.dumps(world.config(moved)))
            moved_at = world.now()
            world.process.send_signal(signal.SIGHUP)
            await world.left_alone_from(moved_at + AFTER_MOVE_S)
            await moved.stop()

    run(main(), 40)


@pytest.mark.parametrize("change", ["while it runs", "before it began"])
def test_where_lists_are_pushed_the_agent_is_asked(tmp_path: Path, change: str) -> None:
    """What the agent has counts as notified at once, and from the first moment of a new process."""

    async def main() -> None:
        async with World(tmp_path, [], mode="automatic") as world:
            if change == "before it began":
                world.process.kill()
                await world.process.wait()
                world.list.leaves(1)
                began_at = world.now()
                world.process = await world.launch()
                await world.left_alone_from(began_at)
            else:
                world.list.leaves(1)
                await world.left_alone_from(world.now())

    run(main(), 40)


def test_an_answer_that_cannot_be_read_is_asked_for_again_at_once(tmp_path: Path) -> None:
    """Discovery has written the change: a back-off would be longer than the grace."""

    async def main() -> None:
        async with World(tmp_path, []) as world:
            whole = world.list.answer

            def broken(full: bool, lines: Any = None) -> bytes:
                world.list.answer = whole  # type: ignore[method-assign]
                return response(200, "OK", {}, b'{"version": 5, "full": false, "servers": [')

            world.list.answer = broken  # type: ignore[method-assign]
            world.list.leaves(1)
            await world.left_alone_from(world.now())

    run(main(), 40)
