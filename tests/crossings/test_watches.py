"""Pairs of events that meet at the watch of discovery; the stand-in forces each by what it has read.

After each of them exactly one watch is in flight.
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
    """Records each call and keeps it open until the test writes an answer; `open_calls` has those by number.

    Short calls are answered without changes and counted apart, unless `holds_short` is set.
    """

    def __init__(self) -> None:
        super().__init__(self._never)
        self.holds_short = False
        self.short_calls = 0
        self.paths: list[str] = []
        self.open_calls: dict[int, asyncio.StreamWriter] = {}

    async def _never(self, message: Message) -> bytes | None:
        return None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = -1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.open_calls.pop(number, None)
                if head.split(" ")[1].endswith("wait=1") and not self.holds_short:
                    self.short_calls += 1
                    writer.write(no_changes(head))
                    continue
                number = len(self.paths)
                self.paths.append(head.split(" ")[1])
                self.open_calls[number] = writer
        finally:
            self.open_calls.pop(number, None)

    async def called(self, count: int) -> asyncio.StreamWriter:
        """The connection of the last of `count` calls, once it is the only open one."""
        await until(lambda: len(self.paths) >= count and list(self.open_calls) == [count - 1])
        assert len(self.paths) == count
        return self.open_calls[count - 1]


def no_changes(head: str) -> bytes:
    """Return the answer to a call for changes that finds none."""
    _, _, index = head.split(" ")[1].partition("index=")
    version = int(index.partition("&")[0])
    return response(200, "OK", {}, orjson.dumps({"version": version, "full": False, "servers": []}))


class World:
    """A discovery, a sender's map that watches it, and the owner with the lists that it received."""

    def __init__(self, wait: float = 30.0, version: int = 5) -> None:
        self.discovery, self.owner, self.wait = Discovery(), Owner(version), wait

    async def __aenter__(self) -> World:
        await self.discovery.start()
        self.map = TransportMap(self.owner, Address(HOST, self.discovery.port), NAMES, bounds(self.wait))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.map.close()
        await self.discovery.stop()


def test_a_watch_that_is_stopped_and_started_in_one_turn_of_the_loop_is_in_flight() -> None:
    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            await world.discovery.called(1)
            world.map.watch(False)
            world.map.watch(True)
            await world.discovery.called(2)

    run(main())


def test_a_watch_that_is_stopped_and_started_as_its_answer_arrives_is_in_flight_once() -> None:
    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            writer = await world.discovery.called(1)
            writer.write(listing(6, True))  # in transit: the next turn of the loop reads it
            await asyncio.sleep(0)
            for on in (False, True, False, True):
                world.map.watch(on)
            await world.discovery.called(2)

    run(main())


def test_a_snapshot_does_not_wait_for_the_watch_in_flight() -> None:
    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            await world.discovery.called(1)
            world.map.snapshot()
            await until(lambda: len(world.discovery.paths) == 2)
            assert world.discovery.paths[1] == "/registry/instances"
            world.map.snapshot()  # it is already requested
            world.discovery.open_calls[1].write(listing(9, True))
            await world.discovery.called(3)
            assert world.discovery.paths[2].startswith("/registry/instances?index=9&")

    run(main())


def test_an_answer_of_the_old_address_is_applied_until_the_new_one_has_answered() -> None:
    """The answers of the old address count as notified, and the new one may be slow. (An earlier form of this
    test required that the old answer be discarded: calls would still have been sent to an endpoint that
    left.)
    """

    async def main() -> None:
        other = Discovery()
        await other.start()
        async with World() as world:
            world.map.watch(True)
            writer = await world.discovery.called(1)
            writer.write(listing(6, False, state="left"))  # it has arrived and is not read yet
            world.map.move(Address(HOST, other.port))
            await until(lambda: world.owner.updates)
            assert [update.version for update in world.owner.updates] == [6]
            await until(lambda: other.paths)
            assert set(other.paths) == {"/registry/instances"}, "in full, whatever the old one answered"
            other.open_calls[len(other.paths) - 1].write(listing(2, True))
            await until(lambda: "index=2&" in other.paths[-1])
            assert [update.version for update in world.owner.updates] == [6, 2]
            await until(lambda: not world.discovery.open_calls)
        await other.stop()

    run(main())


def test_an_answer_of_the_old_address_is_not_applied_after_the_new_one_has_answered() -> None:
    async def main() -> None:
        other = Discovery()
        await other.start()
        async with World() as world:
            world.map.watch(True)
            await world.discovery.called(1)
            world.map.move(Address(HOST, other.port))
            await until(lambda: other.paths)
            other.open_calls[len(other.paths) - 1].write(listing(2, True))
            await until(lambda: "index=2&" in other.paths[-1])
            await until(lambda: not world.discovery.open_calls)  # the call to the old address has been closed
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
def test_a_silent_watch_is_followed_by_short_calls_until_one_is_answered(stage: str) -> None:
    """The end of a partial answer is not awaited for as long as a watch may wait for a change. Further short
    calls are made while the ones before are still open, as each of them may be lost as well.
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
            world.discovery.open_calls[1].write(STAGES[stage])
            await until(lambda: len(world.discovery.paths) == 3)
            assert world.discovery.paths[2].endswith("index=5&wait=1") and not world.owner.updates
            world.discovery.holds_short = False
            world.discovery.open_calls[2].write(HALF)
            await until(lambda: world.owner.updates)
            await until(lambda: "index=6&" in world.discovery.paths[-1])
            await until(lambda: len(world.discovery.open_calls) == 1)

    run(main())


def test_a_change_without_a_next_hop_is_followed_by_the_full_list() -> None:
    """It is not known which next hop it took out of use, and nothing new may be sent there."""

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


def test_a_late_answer_is_applied_though_further_calls_were_made() -> None:
    """An answer that takes longer than the hedge delay would never arrive if each call were closed then."""

    async def main() -> None:
        async with World() as world:
            world.discovery.holds_short = True
            world.map.watch(True)
            await until(lambda: len(world.discovery.paths) == 2)
            world.discovery.open_calls[0].write(listing(6, False, state="left"))
            await until(lambda: world.owner.updates)
            assert world.owner.updates[0].hops[0].id == "s-1"

    run(main())


def test_an_indented_list_that_arrives_in_pieces_is_parsed() -> None:
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
def test_a_list_that_cannot_be_parsed_is_requested_again(body: bytes) -> None:
    """The last valid list is kept meanwhile."""

    async def main() -> None:
        async with World() as world:
            world.map.watch(True)
            writer = await world.discovery.called(1)
            world.discovery.holds_short = True
            writer.write(response(200, "OK", {}, body))
            await until(lambda: len(world.discovery.paths) == 2)
            assert not world.owner.updates and world.discovery.paths[1].endswith("index=5&wait=1")

    run(main())


def test_a_list_that_its_owner_fails_to_apply_is_requested_in_full() -> None:
    """The watch must go on, whatever fails with one answer."""

    async def main() -> None:
        async with World() as world:
            apply = world.owner.list_changed

            def fails(update: MapUpdate) -> None:
                world.owner.list_changed = apply  # type: ignore[method-assign]
                raise RuntimeError("a fault in applying the list")

            world.map.watch(True)
            writer = await world.discovery.called(1)
            world.owner.list_changed = fails  # type: ignore[method-assign]
            writer.write(listing(6, True))
            writer = await world.discovery.called(2)
            assert world.discovery.paths[1] == "/registry/instances", "in full: a part may be missing"
            writer.write(listing(7, True))
            await until(lambda: world.owner.updates and world.owner.version == 7)

    run(main())


def test_a_snapshot_that_the_list_itself_triggers_leaves_one_watch() -> None:
    async def main() -> None:
        async with World() as world:
            apply = world.owner.list_changed

            def requests_again(update: MapUpdate) -> None:
                world.owner.list_changed = apply  # type: ignore[method-assign]
                world.map.refresh_now()

            world.map.watch(True)
            writer = await world.discovery.called(1)
            world.owner.list_changed = requests_again  # type: ignore[method-assign]
            writer.write(listing(6, True))
            (await world.discovery.called(2)).write(listing(7, True))
            assert world.discovery.paths[1] == "/registry/instances"
            await world.discovery.called(3)

    run(main())


def test_an_answer_that_arrives_in_the_turn_of_its_timeout_counts() -> None:
    """The loop is blocked until both are due, and then handles the socket first."""

    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        client, limit = Client(HOST, discovery.port), 0.2
        loop = asyncio.get_running_loop()
        began = loop.time()
        exchange = asyncio.create_task(client.exchange(request("GET", "/x", HOST, {}), limit))
        (await discovery.called(1)).write(response(200, "OK", {}, b"news"))
        while loop.time() < began + limit + 0.2:
            pass
        assert (await exchange).body == b"news"
        client.close()
        await discovery.stop()

    run(main())
