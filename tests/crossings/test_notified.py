"""A change of the list that does not arrive still counts as notified after some seconds. From then on nothing
new may be sent to the next hop that has left.

The tests run real processes against a scripted discovery, which handles each call as the next step of its
script says. The asserted times are those of the platform: 6 s after discovery could be reached, 2 s after the
wait of a silent watch, 4 s after a move, each plus the grace of a drain.
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
GRACE_S = DRAIN_GRACE_S + 0.05  # with the tolerance of every time limit on sockets

Handler = Callable[[Message], Any]


class ScriptedDiscovery(HttpServer):
    """Handles each call by the next step of the script, and answers with its list after the last step."""

    def __init__(self, lines: list[dict[str, Any]], script: list[str]) -> None:
        super().__init__(self.discover)
        self.lines, self.script = lines, script
        self.version = 4
        self.changed = asyncio.Event()
        self.delay_s = 0.0
        self.turn = asyncio.Lock()  # slow calls are handled one after another
        self.calls: list[tuple[float, str]] = []
        self.silent_since: list[float] = []

    def leaves(self, index: int) -> None:
        """The endpoint is removed from the list."""
        self.lines[index]["state"] = "left"
        self.version += 1
        self.changed.set()

    async def discover(self, message: Message) -> bytes | None:
        assert message.start is not None
        path = message.start[1]
        if path == "/v1/notices":
            return response(204, "No Content", {}, b"")
        now = asyncio.get_running_loop().time()
        self.calls.append((now, path))
        step = self.script.pop(0) if self.script else "answer"
        if step == "silent":
            self.silent_since.append(now)
            await asyncio.sleep(60)
        if step == "reset":
            return None  # the connection is closed
        if step == "refuse":
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
    """A sender with two endpoints of one destination, and a client that submits messages all the time."""

    def __init__(
        self,
        folder: Path,
        script: list[str],
        mode: str = "subscribe",
        ask_s: float = 10.0,
        senders: int | None = None,
        answer_s: float = 0.0,
    ) -> None:
        """`senders`: the senders that share discovery, by the settings; `answer_s`: the time that each answer
        of discovery takes.
        """
        super().__init__(folder)
        self.mode, self.ask_s, self.senders, self.answer_s = mode, ask_s, senders, answer_s
        # The endpoint that leaves is the faster one, so that it is always preferred.
        self.stays, self.leaver = (
            HttpServer(self.handler("stays", 0.7)),
            HttpServer(self.handler("leaver", 0.0)),
        )
        self.received: dict[str, list[float]] = {"stays": [], "leaver": []}
        self.script = script

    def handler(self, name: str, answer_s: float) -> Handler:
        async def receive(message: Message) -> bytes:
            self.received[name].append(asyncio.get_running_loop().time())
            await asyncio.sleep(answer_s)
            return response(200, "OK", {}, b"")

        return receive

    def line(self, name: str, server: HttpServer) -> dict[str, Any]:
        return {"id": name, "addr": f"{HOST}:{server.port}", "zone": "near", "kind": "one", "cell": 7,
                "state": "active", "weight": 1.0, "started_ms": 0}  # fmt: skip

    async def __aenter__(self) -> World:
        await self.begin()
        await until(lambda: self.received["leaver"])
        return self

    async def begin(self) -> None:
        """Start all servers, the sender and the client, and wait for none of them."""
        await self.stays.start()
        await self.leaver.start()
        self.lines = [self.line("stays", self.stays), self.line("leaver", self.leaver)]
        self.list = ScriptedDiscovery([dict(line) for line in self.lines], self.script)
        self.list.delay_s = self.answer_s
        self.discovery = self.list
        self.process = await self.start()
        self.client = asyncio.create_task(self.submit_messages())

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

    async def start(self, _fds: int | None = None, **env: str) -> asyncio.subprocess.Process:
        await self.list.start()
        (self.port,) = reserve_ports(1)
        (self.folder / "config.json").write_text(json.dumps(self.config(self.list)))
        return await self.launch(_fds, **env)

    async def submit_messages(self) -> None:
        number = 0
        while True:
            number += 1
            with contextlib.suppress(OSError):  # the sender is being restarted
                await self.send((f"m{number}", "safe"))
            await asyncio.sleep(0.1)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def leaver_unused_from(self, notified_at: float) -> None:
        """Check that nothing new is sent to the leaver after the grace, while the other endpoint serves."""
        due = notified_at + GRACE_S
        await asyncio.sleep(max(0.0, due - self.now()) + 1.0)
        late = [round(at - notified_at, 2) for at in self.received["leaver"] if at > due]
        assert not late, f"calls after the change counts as notified, in s: {late[:5]}"
        await until(lambda: self.received["stays"] and self.received["stays"][-1] > due)  # service goes on

    async def __aexit__(self, *_: object) -> None:
        await self.end()

    async def end(self) -> None:
        """Stop all servers, the sender and the client."""
        self.client.cancel()
        self.process.kill()
        await self.process.wait()
        for server in (self.stays, self.leaver, self.list):
            await server.stop()


def test_a_change_that_a_silent_watch_and_the_next_call_miss(tmp_path: Path) -> None:
    """The second call is lost as well, but a change that the first one missed counts by the first one."""

    async def main() -> None:
        wait = 4.0
        async with World(tmp_path, ["answer", "silent", "silent"], ask_s=wait) as world:
            await until(lambda: len(world.list.silent_since) >= 1)
            world.list.leaves(1)
            silent_at = world.list.silent_since[0]
            await world.leaver_unused_from(max(silent_at + NOTIFIED_S, silent_at + wait + AFTER_WAIT_S))

    run(main(), 40)


def test_a_change_that_a_lost_call_after_an_outage_misses(tmp_path: Path) -> None:
    """Discovery refuses calls for a while, and does not answer the first call that it accepts again."""

    async def main() -> None:
        script = ["refuse", "refuse", "silent"]
        async with World(tmp_path, script) as world:
            await until(lambda: len(world.list.calls) >= 2)  # discovery can be reached from here on
            reachable_at = world.list.calls[1][0]
            world.list.leaves(1)
            await until(lambda: world.list.silent_since)
            await world.leaver_unused_from(max(reachable_at, world.list.silent_since[0]) + NOTIFIED_S)

    run(main(), 40)


def test_a_change_after_a_move_to_a_slow_discovery(tmp_path: Path) -> None:
    """Each answer takes longer than a call once waited, and discovery works through abandoned calls too."""

    async def main() -> None:
        async with World(tmp_path, []) as world:
            moved = ScriptedDiscovery([dict(line) for line in world.lines], [])
            await moved.start()
            moved.delay_s = 1.8
            moved.leaves(1)
            (world.folder / "config.json").write_text(json.dumps(world.config(moved)))
            moved_at = world.now()
            world.process.send_signal(signal.SIGHUP)
            await world.leaver_unused_from(moved_at + AFTER_MOVE_S)
            await moved.stop()

    run(main(), 40)


@pytest.mark.parametrize("change", ["while it runs", "before it started"])
def test_where_lists_are_pushed_the_agent_is_called(tmp_path: Path, change: str) -> None:
    """The changes of the agent count as notified at once, and from the start of a new process."""

    async def main() -> None:
        async with World(tmp_path, [], mode="automatic") as world:
            if change == "before it started":
                world.process.kill()
                await world.process.wait()
                world.list.leaves(1)
                began_at = world.now()
                world.process = await world.launch()
                await world.leaver_unused_from(began_at)
            else:
                world.list.leaves(1)
                await world.leaver_unused_from(world.now())

    run(main(), 40)


def test_after_an_answer_that_cannot_be_parsed_the_next_call_is_made_at_once(tmp_path: Path) -> None:
    """Discovery has written the change, and a back-off would be longer than the grace."""

    async def main() -> None:
        async with World(tmp_path, []) as world:
            answer = world.list.answer

            def broken(full: bool, lines: Any = None) -> bytes:
                world.list.answer = answer  # type: ignore[method-assign]
                return response(200, "OK", {}, b'{"version": 5, "full": false, "servers": [')

            world.list.answer = broken  # type: ignore[method-assign]
            world.list.leaves(1)
            await world.leaver_unused_from(world.now())

    run(main(), 40)
