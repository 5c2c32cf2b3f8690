"""The list is a lease from the last answer that is known to be complete: while discovery may have written
news that was lost on its way, nothing is sent by what was known before (issue 40).
"""

from __future__ import annotations

import asyncio
import errno
import os
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest

from mountgauge.core.config import Address, MapUpdate
from mountgauge.core.list_lease import DOWN_AFTER_S
from mountgauge.http1 import response
from mountgauge.platform.discovery import TransportMap
from mountgauge.platform.watch_bounds import WatchBounds
from rillspindle.interface import Settings
from tests import helper
from tests.crossings.test_watches import Discovery, no_changes
from tests.helper import HOST, until
from tests.settings import settings
from tests.system_call_faults import Faults, FaultyLoop, name_of, run_faulty
from tests.test_peers import NAMES, Owner, bounds, listing

LEAVES = listing(6, False, state="leaving")
FAULT_S = 0.6
GRACE_S = 0.25  # of a drain, from when the news was written
BOUND_S = 2.0  # of a pause, once: for which a connection may take to come up
LONG_FAULT_S = 2.5  # past that bound
REST_BYTES = 20  # of an answer, that come later than the others
UNREACHED = (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ETIMEDOUT)


class Telling(Discovery):
    """Answers each further call with the news once it has been told."""

    told = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.told:
            self.short_calls += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.told)
            await asyncio.sleep(3600)
        await super().serve(reader, writer)


class Watching:
    """A map with one watch out on sockets that fail, and every look at whether its list is believed."""

    def __init__(self, faults: Faults, discovery: Telling, owner: Owner, watched: TransportMap) -> None:
        self.faults, self.discovery, self.owner, self.map = faults, discovery, owner, watched
        self.loop = asyncio.get_running_loop()

    async def looks_until(self, done: Callable[[], bool], limit_s: float = 5.0) -> list[float]:
        """s after now of each look past the grace at which the list was believed."""
        began, believed = self.loop.time(), list[float]()
        while not done():
            late = self.loop.time() - began
            assert late < limit_s
            if late > GRACE_S and not self.held_back():
                believed.append(round(late, 3))
            await asyncio.sleep(0.005)
        return believed

    def held_back(self) -> bool:
        """Whether calls wait now."""
        return self.map.lease_ended() is not None

    def heal_later(self, call: str, after_s: float = FAULT_S) -> None:
        self.loop.call_later(after_s, self.faults.always, call, None)


@asynccontextmanager
async def watching(
    faults: Faults, owner: Owner | None = None, bounds_of_watch: WatchBounds | None = None
) -> AsyncIterator[Watching]:
    discovery, owner = Telling(), owner or Owner(5)
    await discovery.start()
    limits = bounds_of_watch or bounds(30.0)
    watched = TransportMap(owner, Address(HOST, discovery.port), NAMES, limits)
    watched.watch(True)
    await discovery.called(1)
    try:
        yield Watching(faults, discovery, owner, watched)
    finally:
        watched.close()
        await discovery.stop()
        await asyncio.sleep(0)


@pytest.mark.parametrize("error", UNREACHED, ids=name_of)
def test_a_lost_answer_behind_which_no_connection_comes_up(error: int) -> None:
    """The exchange had ended, and with it the knowledge that something may have been written."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail("read", errno.ECONNRESET)
            faults.always("connect", error)
            world.discovery.told = LEAVES
            world.discovery.standing[0].write(LEAVES)
            world.heal_later("connect")
            assert await world.looks_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


def test_an_answer_that_lies_unread_is_waited_for() -> None:
    """Calls went again after 0.25 s, though news was known to lie unread."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.always("read", errno.EAGAIN)
            world.discovery.standing[0].write(LEAVES)
            world.heal_later("read")
            assert await world.looks_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


def test_an_answer_whose_bytes_had_arrived_is_waited_for_for_longer() -> None:
    """Something was told for certain: calls went again after 2.0 s."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail("read", errno.ECONNRESET)
            faults.always("connect", errno.ENETUNREACH)
            world.discovery.told = LEAVES
            world.discovery.standing[0].write(LEAVES)
            world.heal_later("connect", LONG_FAULT_S)
            assert await world.looks_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


def test_the_rest_of_an_answer_that_has_begun_is_waited_for() -> None:
    """It was taken for not written yet after 0.25 s."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            writer = world.discovery.standing[0]
            writer.write(LEAVES[:-REST_BYTES])
            loop.call_later(FAULT_S, writer.write, LEAVES[-REST_BYTES:])
            assert await world.looks_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


def test_a_watch_that_could_not_be_asked_for_is_no_watch() -> None:
    """Found by the soak (seed 149): where lists are pushed, what the agent has counts whether it was asked or
    not, and the request lay unsent for 0.75 s.
    """

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.always("write", errno.EAGAIN)
            world.discovery.standing[0].write(no_changes("GET /?index=5&wait=1 HTTP/1.1"))  # it watches anew
            await until(lambda: faults.count["write"])
            world.heal_later("write")
            assert await world.looks_until(lambda: len(world.discovery.paths) == 2) == []

    run_faulty(main)


def closing(answer: bytes) -> bytes:
    """The same, on a connection that ends with it."""
    return answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)


def test_lists_that_are_pushed_while_the_agent_cannot_be_asked_count_as_told() -> None:
    """No answer was lost, so calls went on by the last list."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults, bounds_of_watch=agent_bounds()) as world:
            faults.always("connect", errno.ENETUNREACH)
            asked = f"GET {world.discovery.paths[0]} HTTP/1.1"
            world.discovery.standing[0].write(closing(no_changes(asked)))
            world.discovery.told = LEAVES
            world.heal_later("connect")
            assert await world.looks_until(lambda: any(update.hops for update in world.owner.updates)) == []

    run_faulty(main)


def test_a_change_that_names_no_endpoint_is_in_doubt_until_the_whole_list() -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.always("connect", errno.ENETUNREACH)
            nameless = {"version": 6, "full": False, "servers": [{"state": "leaving"}]}
            world.discovery.told = LEAVES
            world.discovery.standing[0].write(closing(response(200, "OK", {}, orjson.dumps(nameless))))
            world.heal_later("connect")
            assert await world.looks_until(lambda: any(update.hops for update in world.owner.updates)) == []

    run_faulty(main)


def test_an_answer_that_has_begun_is_waited_for_however_long_and_the_next_one_too() -> None:
    """Nobody looked between the two, so the second one's time was counted from the first one's."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            discovery = world.discovery
            for place in (0, 1):
                discovery.standing[place].write(LEAVES[:-REST_BYTES])
                await until(lambda: any(one.answer_pending for one in world.map._exchanges.values()))
                assert await world.looks_until(loop_reaches(loop.time() + 2 * FAULT_S)) == []
                discovery.standing[place].write(LEAVES[-REST_BYTES:])
                await discovery.called(place + 2)
                await until(lambda: not world.held_back())

    run_faulty(main)


def agent_bounds() -> WatchBounds:
    """The bounds of a sender to which lists are pushed."""
    env = settings(discovery="automatic")
    env["obligations"] |= {"drainGrace": GRACE_S}
    return WatchBounds.of(Settings.from_mapping(env))


def loop_reaches(when: float) -> Callable[[], bool]:
    """Whether this time has come."""
    return lambda: asyncio.get_running_loop().time() >= when


def test_a_watch_that_is_dropped_with_half_an_answer_is_asked_for_anew() -> None:
    """Another call's answer, which may be older, took its place."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            discovery = world.discovery
            world.map.snapshot()
            await until(lambda: len(discovery.paths) == 2)
            discovery.standing[0].write(LEAVES[:-REST_BYTES])
            await until(world.held_back)
            discovery.standing[1].write(listing(5, True))
            await until(lambda: world.owner.updates)
            assert world.held_back()
            await until(lambda: discovery.paths[2:].count("/registry/instances") == 1)
            whole = max(discovery.standing)
            assert discovery.paths[whole] == "/registry/instances" and world.held_back()
            discovery.standing[whole].write(listing(6, True, state="leaving"))
            await until(lambda: not world.held_back())
            assert world.owner.updates[-1].version == 6

    run_faulty(main)


class Stumbling(Owner):
    """Fails to take in the first list that tells of a change."""

    failed = False

    def list_changed(self, update: MapUpdate) -> None:
        if update.hops and not self.failed:
            self.failed = True
            raise RuntimeError("a fault")
        super().list_changed(update)


@pytest.mark.parametrize("how", ["cannot be read", "is not taken in"])
def test_an_answer_that_was_thrown_away(how: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        owner = Owner(5) if how == "cannot be read" else Stumbling(5)
        async with watching(faults, owner) as world:
            faults.always("connect", errno.ENETUNREACH)
            world.discovery.told = LEAVES
            spoilt = response(200, "OK", {"Connection": "close"}, b'{"version": 6, "servers": [')
            world.discovery.standing[0].write(spoilt if how == "cannot be read" else closing(LEAVES))
            world.heal_later("connect")
            assert await world.looks_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


@pytest.mark.parametrize("sign", ["refused", "busy"])
def test_a_refusal_shows_that_discovery_is_down_and_the_list_is_believed(sign: str) -> None:
    """Discovery that is down tells nothing: senders go on by what they know."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            if sign == "refused":
                faults.always("connect", errno.ECONNREFUSED)
            world.discovery.told = response(503, "down", {}, b"")
            world.discovery.standing[0].transport.abort()
            refused = (lambda: faults.count["connect"]) if sign == "refused" else (
                lambda: world.discovery.short_calls)  # fmt: skip
            await until(refused)
            await until(lambda: not world.held_back())
            # In doubt it would have been asked ten times and more before the bound.
            assert faults.count["connect"] <= 5 and world.discovery.short_calls <= 5

    run_faulty(main)


def test_the_pause_lasts_until_there_is_evidence() -> None:
    """Nothing is heard of discovery at all: calls went again after 2.0 s, by a list nothing confirmed."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.always("connect", errno.ENETUNREACH)
            world.discovery.standing[0].transport.abort()
            await until(lambda: faults.count["connect"] >= 2)
            assert await world.looks_until(loop_reaches(loop.time() + 2 * BOUND_S)) == []
            faults.always("connect", None)
            assert faults.count["connect"] < 200, "it is not asked about in each turn"
            await until(lambda: not world.held_back())

    run_faulty(main)


def test_a_start_where_lists_are_pushed_waits_for_an_agent_that_no_dial_reaches() -> None:
    """Calls went by the known list after 1.5 s though the agent had never been heard."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        discovery, owner = Telling(), Owner(5)
        discovery.told = LEAVES
        await discovery.start()
        faults.always("connect", errno.ENETUNREACH)
        watched = TransportMap(owner, Address(HOST, discovery.port), NAMES, bounds(30.0))
        world = Watching(faults, discovery, owner, watched)
        try:
            watched.watch(True)
            loop.call_later(2.0, faults.always, "connect", None)
            assert await world.looks_until(lambda: bool(owner.updates)) == []
        finally:
            watched.close()
            await discovery.stop()
            await asyncio.sleep(0)

    run_faulty(main)


def test_an_operators_file_that_cannot_be_read_for_a_moment_is_read_as_soon_as_it_can(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was taken for read, and not looked at again until it changed once more; meanwhile what it may say
    counts.
    """
    read_text = Path.read_text

    async def main() -> None:
        async with helper.World(tmp_path, "http") as world:
            loop = asyncio.get_running_loop()
            healed_at = loop.time() + FAULT_S

            def failing(path: Path, *args: Any, **options: Any) -> str:
                if path == world.file and loop.time() < healed_at:
                    raise OSError(errno.EIO, os.strerror(errno.EIO))
                return read_text(path, *args, **options)

            monkeypatch.setattr(Path, "read_text", failing)
            world.states = ["leaving"]
            world.write()
            await asyncio.sleep(GRACE_S)
            assert await world.client.take("a") is None
            await asyncio.sleep(healed_at - loop.time())
            await until(lambda: not world.runtime.sender.attempts.parked)
            await asyncio.sleep(GRACE_S)
            assert not world.calls

    helper.run(main())


def test_a_call_that_has_not_left_shows_nothing_of_discovery() -> None:
    """The soak's seed 6105: each write failed on this machine for 1 s, which passed for a discovery that is
    down and breaks each call; then its calls hung, and the list was believed for 6 s more.
    """

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.always("write", errno.ECONNRESET)
            world.discovery.standing[0].transport.abort()
            assert await world.looks_until(loop_reaches(loop.time() + 2 * DOWN_AFTER_S)) == []
            faults.always("write", None)
            await until(lambda: not world.held_back())

    run_faulty(main)


def test_a_list_of_an_agent_that_lay_unread_may_hide_a_change_that_no_call_was_out_for() -> None:
    """The process stood still while the agent wrote twice over: the second change counts as told at once."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults, bounds_of_watch=agent_bounds()) as world:
            discovery = world.discovery
            await until(lambda: not world.held_back())
            discovery.standing[0].write(listing(6, False))
            time.sleep(2 * GRACE_S)  # the loop's, and with it the process's
            discovery.holds_short = True  # the call behind the list hangs
            await until(lambda: world.owner.updates)
            assert await world.looks_until(loop_reaches(loop.time() + 2 * FAULT_S)) == []
            assert world.held_back()
            discovery.holds_short = False
            await until(lambda: not world.held_back())

    run_faulty(main)


def test_a_list_of_an_agent_that_is_read_as_it_comes_holds_nothing_back() -> None:
    """Each look finds whether one has come: between two of them the agent can't have written it."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults, bounds_of_watch=agent_bounds()) as world:
            discovery = world.discovery
            await until(lambda: not world.held_back())
            asked_at_once = discovery.short_calls
            await world.looks_until(loop_reaches(loop.time() + FAULT_S))
            discovery.standing[0].write(listing(6, False))
            await until(lambda: world.owner.updates)
            assert not world.held_back()
            await discovery.called(2)
            assert discovery.short_calls == asked_at_once

    run_faulty(main)


def test_an_agent_that_is_slow_is_believed_once_a_short_call_is_answered() -> None:
    """Each look finds the answer unwritten up to then, also while the list may not be gone by."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults, bounds_of_watch=agent_bounds()) as world:
            discovery = world.discovery
            await until(lambda: not world.held_back())
            discovery.standing[0].write(listing(6, False))
            time.sleep(2 * GRACE_S)
            discovery.holds_short = True
            await until(lambda: discovery.paths[1:] and world.held_back())
            short = len(discovery.paths) - 1
            await world.looks_until(loop_reaches(loop.time() + 2 * GRACE_S))
            asked = f"GET {discovery.paths[short]} HTTP/1.1"
            discovery.standing[short].write(no_changes(asked))
            await until(lambda: not world.held_back(), 2 * GRACE_S)

    run_faulty(main)
