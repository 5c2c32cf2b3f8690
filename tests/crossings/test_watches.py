"""Where two events cross at discovery's watch: each is forced by what the stand-in has read.

After each of them one watch stands, and only one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import orjson
import pytest

from mountgauge.core.config import Address, MapUpdate
from mountgauge.http1 import Client, Message, request, response
from mountgauge.platform.discovery import TransportMap
from tests.helper import HOST, HttpServer, run, until
from tests.test_peers import NAMES, Owner, bounds, listing

Step = Callable[[asyncio.StreamWriter], Awaitable[None]]


class Discovery(HttpServer):
    """Notes each call and keeps it open until it is told what to write; `standing` counts those it has.

    Calls that ask for changes at once are answered with none, and counted apart, unless `holds_short` is set.
    """

    def __init__(self) -> None:
        super().__init__(self._never)
        self.holds_short = False
        self.short_calls = 0
        self.paths: list[str] = []
        self.standing: dict[int, asyncio.StreamWriter] = {}

    async def _never(self, message: Message) -> bytes | None:
        return None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = -1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.standing.pop(number, None)
                if head.split(" ")[1].endswith("wait=1") and not self.holds_short:
                    self.short_calls += 1
                    writer.write(no_changes(head))
                    continue
                number = len(self.paths)
                self.paths.append(head.split(" ")[1])
                self.standing[number] = writer
        finally:
            self.standing.pop(number, None)

    async def called(self, count: int) -> asyncio.StreamWriter:
        """The connection of the last of `count` calls, once it alone stands."""
        await until(lambda: len(self.paths) >= count and list(self.standing) == [count - 1])
        assert len(self.paths) == count
        return self.standing[count - 1]


def no_changes(head: str) -> bytes:
    """The answer to a call for changes that finds none."""
    _, _, index = head.split(" ")[1].partition("index=")
    version = int(index.partition("&")[0])
    return response(200, "OK", {}, orjson.dumps({"version": version, "full": False, "servers": []}))


class World:
    """A discovery, a sender's map that watches it, and what the map has told its owner."""

    def __init__(self, wait: float = 30.0, version: int = 5) -> None:
        self.discovery, self.owner, self.wait = Discovery(), Owner(version), wait

    async def __aenter__(self) -> World:
        await self.discovery.start()
        self.map = TransportMap(self.owner, Address(HOST, self.discovery.port), NAMES, bounds(self.wait))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.map.close()
        await self.discovery.stop()


def test_a_watch_asked_for_in_the_turn_in_which_it_was_ended_stands() -> None:
    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            await world.discovery.called(1)
            world.map.watch(False)
            world.map.watch(True)
            await world.discovery.called(2)

    run(main())


def test_a_watch_ended_and_asked_for_as_its_answer_comes_stands_once() -> None:
    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            writer = await world.discovery.called(1)
            writer.write(listing(6, True))  # on its way: the next turn of the loop reads it
            await asyncio.sleep(0)
            for on in (False, True, False, True):
                world.map.watch(on)
            await world.discovery.called(2)

    run(main())


def test_a_snapshot_does_not_wait_for_the_watch_that_is_out() -> None:
    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            await world.discovery.called(1)
            world.map.snapshot()
            await until(lambda: len(world.discovery.paths) == 2)
            assert world.discovery.paths[1] == "/registry/instances"
            world.map.snapshot()  # it is being asked for already
            world.discovery.standing[1].write(listing(9, True))
            await world.discovery.called(3)
            assert world.discovery.paths[2].startswith("/registry/instances?index=9&")

    run(main())


def test_an_answer_of_the_old_address_is_heard_until_the_new_one_has_answered() -> None:
    """What the old address has written counts as notified, and the new one may take its time. (An earlier
    form of this test wanted the old answer thrown away: calls would have gone on to one that has left.)
    """

    async def main() -> None:
        other = Discovery()
        await other.start()
        async with World() as world:
            world.map.watch(True)
            writer = await world.discovery.called(1)
            writer.write(listing(6, False, state="left"))  # it has come, and is not read yet
            world.map.move(Address(HOST, other.port))
            await until(lambda: world.owner.updates)
            assert [update.version for update in world.owner.updates] == [6]
            await until(lambda: other.paths)
            assert set(other.paths) == {"/registry/instances"}, "all of it, whatever the old one said"
            other.standing[len(other.paths) - 1].write(listing(2, True))
            await until(lambda: "index=2&" in other.paths[-1])
            assert [update.version for update in world.owner.updates] == [6, 2]
            await until(lambda: not world.discovery.standing)
        await other.stop()

    run(main())


def test_an_answer_of_the_old_address_is_not_heard_after_the_new_one_has_answered() -> None:
    async def main() -> None:
        other = Discovery()
        await other.start()
        async with World() as world:
            world.map.watch(True)
            await world.discovery.called(1)
            world.map.move(Address(HOST, other.port))
            await until(lambda: other.paths)
            other.standing[len(other.paths) - 1].write(listing(2, True))
            await until(lambda: "index=2&" in other.paths[-1])
            await until(lambda: not world.discovery.standing)  # the call to the old address has been closed
            assert [update.version for update in world.owner.updates] == [2]
        await other.stop()

    run(main())


HALF = listing(6, True)
STAGES = {
    "before the head": b"",
    "half a head": HALF[:12],
    "half a body": HALF[: HALF.index(b"\r\n\r\n") + 30],
}


@pytest.mark.parametrize("stage", STAGES)
def test_a_watch_that_falls_silent_is_asked_again_until_one_answers(stage: str) -> None:
    """Half an answer is not waited for as long as a watch may wait for news; further calls come by
    themselves, to be answered at once, while those before them are still listened to. Each of them may be
    lost as well.
    """

    async def main() -> None:
        wait = 30.0 if STAGES[stage] else 0.1
        async with World(wait) as world:
            loop = asyncio.get_running_loop()
            world.map.watch(True)
            writer = await world.discovery.called(1)
            began = loop.time()
            world.discovery.holds_short = True
            writer.write(STAGES[stage])
            await until(lambda: len(world.discovery.paths) == 2)
            assert loop.time() - began < 6 and world.discovery.paths[1].endswith("index=5&wait=1")
            world.discovery.standing[1].write(STAGES[stage])
            await until(lambda: len(world.discovery.paths) == 3)
            assert world.discovery.paths[2].endswith("index=5&wait=1") and not world.owner.updates
            world.discovery.holds_short = False
            world.discovery.standing[2].write(HALF)
            await until(lambda: world.owner.updates)
            await until(lambda: "index=6&" in world.discovery.paths[-1])
            await until(lambda: len(world.discovery.standing) == 1)

    run(main())


def test_a_change_whose_next_hop_cannot_be_told_is_followed_by_the_whole_list() -> None:
    """What it took out of use is not known: nothing may go on to be sent there."""

    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            writer = await world.discovery.called(1)
            body = {"version": 6, "full": False, "servers": [{"state": "left"}]}
            writer.write(response(200, "OK", {}, orjson.dumps(body)))
            writer = await world.discovery.called(2)
            assert world.discovery.paths[1] == "/registry/instances"
            writer.write(listing(6, True))
            await world.discovery.called(3)
            assert [update.version for update in world.owner.updates] == [6]

    run(main())


def test_an_answer_that_comes_late_is_heard_though_others_have_been_asked() -> None:
    """A discovery that needs longer than a call waits alone would never be heard if each were cut off."""

    async def main() -> None:
        async with World() as world:
            world.discovery.holds_short = True
            world.map.watch(True)
            await until(lambda: len(world.discovery.paths) == 2)
            world.discovery.standing[0].write(listing(6, False, state="left"))
            await until(lambda: world.owner.updates)
            assert world.owner.updates[0].hops[0].id == "s-1"

    run(main())


def test_a_list_in_pieces_and_indented_is_read() -> None:
    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            writer = await world.discovery.called(1)
            body = orjson.dumps(
                orjson.loads(HALF[HALF.index(b"\r\n\r\n") :]),
                option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE,
            )
            data = response(200, "OK", {}, body)
            for at in range(0, len(data), 7):
                writer.write(data[at : at + 7])
                await asyncio.sleep(0)
            await world.discovery.called(2)
            assert world.owner.updates[0].version == 6 and world.owner.updates[0].hops[0].id == "s-1"

    run(main())


@pytest.mark.parametrize("body", [
    b'{"version": 1e400, "full": true, "servers": []}', b'{"version": null, "full": true, "servers": []}',
    b'{"version": 7, "full": true, "servers": 8}', b"[" * 3000, b"\xff\xfe", b"",
])  # fmt: skip
def test_a_list_that_cannot_be_read_is_asked_for_again(body: bytes) -> None:
    """The last good one stays meanwhile."""

    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            writer = await world.discovery.called(1)
            world.discovery.holds_short = True
            writer.write(response(200, "OK", {}, body))
            await until(lambda: len(world.discovery.paths) == 2)
            assert not world.owner.updates and world.discovery.paths[1].endswith("index=5&wait=1")

    run(main())


def test_a_list_that_its_owner_fails_on_is_asked_for_as_a_whole() -> None:
    """Whatever goes wrong with one answer, the watch must not end with it."""

    async def main() -> None:
        async with World() as world:
            taken = world.owner.list_changed

            def fails(update: MapUpdate) -> None:
                world.owner.list_changed = taken  # type: ignore[method-assign]
                raise RuntimeError("a fault in what the list sets off")

            world.map.watch(True)
            writer = await world.discovery.called(1)
            world.owner.list_changed = fails  # type: ignore[method-assign]
            writer.write(listing(6, True))
            writer = await world.discovery.called(2)
            assert world.discovery.paths[1] == "/registry/instances", "all of it: some may not be taken in"
            writer.write(listing(7, True))
            await until(lambda: world.owner.updates and world.owner.version == 7)

    run(main())


def test_a_move_set_off_by_the_list_itself_leaves_one_watch() -> None:
    async def main() -> None:
        async with World() as world:
            taken = world.owner.list_changed

            def moves(update: MapUpdate) -> None:
                world.owner.list_changed = taken  # type: ignore[method-assign]
                world.map.look_now()

            world.map.watch(True)
            writer = await world.discovery.called(1)
            world.owner.list_changed = moves  # type: ignore[method-assign]
            writer.write(listing(6, True))
            (await world.discovery.called(2)).write(listing(7, True))
            assert world.discovery.paths[1] == "/registry/instances"
            await world.discovery.called(3)

    run(main())


def test_an_answer_that_comes_in_the_turn_in_which_its_time_is_over_counts() -> None:
    """The loop is held up until both are due, and hears the socket first."""

    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        client, limit = Client(HOST, discovery.port), 0.2
        loop = asyncio.get_running_loop()
        began = loop.time()
        asking = asyncio.create_task(client.exchange(request("GET", "/x", HOST, {}), limit))
        (await discovery.called(1)).write(response(200, "OK", {}, b"news"))
        while loop.time() < began + limit + 0.2:
            pass
        assert (await asking).body == b"news"
        client.close()
        await discovery.stop()

    run(main())
