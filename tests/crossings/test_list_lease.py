"""The lease on the list runs from the last answer that is known to be complete. While discovery may have
written a change that was lost in transit, nothing is sent by the old list (issue 40).
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
from tests.system_call_faults import Faults, FaultyLoop, errno_name, run_faulty
from tests.test_peers import NAMES, Owner, bounds, listing

LEAVES = listing(6, False, state="leaving")
FAULT_S = 0.6
GRACE_S = 0.25  # of a drain, from when the change was written
BOUND_S = 2.0  # the former bound of a pause in sending, the time that a connection may take
LONG_FAULT_S = 2.5  # longer than that bound
TAIL_BYTES = 20  # the end of an answer, which arrives later
UNREACHED = (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ETIMEDOUT)


class AnsweringDiscovery(Discovery):
    """Answers each further call with `next_answer` once it is set."""

    next_answer = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.next_answer:
            self.short_calls += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.next_answer)
            await asyncio.sleep(3600)
        await super().serve(reader, writer)


class Watching:
    """A map with one watch in flight on failing sockets, and the checks of whether its list may be used."""

    def __init__(
        self, faults: Faults, discovery: AnsweringDiscovery, owner: Owner, map_: TransportMap
    ) -> None:
        self.faults, self.discovery, self.owner, self.map = faults, discovery, owner, map_
        self.loop = asyncio.get_running_loop()

    async def used_until(self, done: Callable[[], bool], limit_s: float = 5.0) -> list[float]:
        """The times, in s from now, of the checks after the grace at which the list could be used."""
        began, used = self.loop.time(), list[float]()
        while not done():
            late = self.loop.time() - began
            assert late < limit_s
            if late > GRACE_S and not self.held_back():
                used.append(round(late, 3))
            await asyncio.sleep(0.005)
        return used

    def held_back(self) -> bool:
        """Whether calls are held back now."""
        return self.map.lease_end_reason() is not None

    def heal_later(self, call: str, after_s: float = FAULT_S) -> None:
        self.loop.call_later(after_s, self.faults.fail_always, call, None)


@asynccontextmanager
async def watching(
    faults: Faults, owner: Owner | None = None, bounds_of_watch: WatchBounds | None = None
) -> AsyncIterator[Watching]:
    discovery, owner = AnsweringDiscovery(), owner or Owner(5)
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


@pytest.mark.parametrize("error", UNREACHED, ids=errno_name)
def test_after_a_lost_answer_calls_are_held_back_while_no_connection_is_established(error: int) -> None:
    """The end of the exchange had also discarded the fact that an answer may have been written."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail("read", errno.ECONNRESET)
            faults.fail_always("connect", error)
            world.discovery.next_answer = LEAVES
            world.discovery.open_calls[0].write(LEAVES)
            world.heal_later("connect")
            assert await world.used_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


def test_calls_are_held_back_while_an_answer_is_unread() -> None:
    """Calls were sent again after 0.25 s, although an answer was known to be unread."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail_always("read", errno.EAGAIN)
            world.discovery.open_calls[0].write(LEAVES)
            world.heal_later("read")
            assert await world.used_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


def test_after_an_answer_that_arrived_in_part_calls_are_held_back_past_the_former_bound() -> None:
    """The list had certainly changed, but calls were sent again after 2.0 s."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail("read", errno.ECONNRESET)
            faults.fail_always("connect", errno.ENETUNREACH)
            world.discovery.next_answer = LEAVES
            world.discovery.open_calls[0].write(LEAVES)
            world.heal_later("connect", LONG_FAULT_S)
            assert await world.used_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


def test_calls_are_held_back_until_an_answer_that_has_begun_is_complete() -> None:
    """After 0.25 s it had been treated as not yet written."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            writer = world.discovery.open_calls[0]
            writer.write(LEAVES[:-TAIL_BYTES])
            loop.call_later(FAULT_S, writer.write, LEAVES[-TAIL_BYTES:])
            assert await world.used_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


def test_a_watch_whose_request_is_unsent_does_not_count_as_a_watch() -> None:
    """Found by the soak (seed 149): where lists are pushed, the agent's changes count without a call, and the
    request was buffered for 0.75 s.
    """

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail_always("write", errno.EAGAIN)
            # so that the next watch is made
            world.discovery.open_calls[0].write(no_changes("GET /?index=5&wait=1 HTTP/1.1"))
            await until(lambda: faults.count["write"])
            sent = faults.moved["write"]
            world.heal_later("write")
            # The list may be used as soon as the request has left, before the stand-in's task has read it.
            assert await world.used_until(lambda: faults.moved["write"] > sent) == []
            await until(lambda: len(world.discovery.paths) == 2)

    run_faulty(main)


def closing(answer: bytes) -> bytes:
    """Return the answer with a header that closes its connection."""
    return answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)


def test_lists_that_are_pushed_while_the_agent_cannot_be_reached_count_as_notified() -> None:
    """No answer was lost, so calls were still sent by the last list."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults, bounds_of_watch=agent_bounds()) as world:
            faults.fail_always("connect", errno.ENETUNREACH)
            asked = f"GET {world.discovery.paths[0]} HTTP/1.1"
            world.discovery.open_calls[0].write(closing(no_changes(asked)))
            world.discovery.next_answer = LEAVES
            world.heal_later("connect")
            assert await world.used_until(lambda: any(update.hops for update in world.owner.updates)) == []

    run_faulty(main)


def test_after_a_change_without_an_endpoint_calls_are_held_back_until_the_full_list() -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail_always("connect", errno.ENETUNREACH)
            nameless = {"version": 6, "full": False, "servers": [{"state": "leaving"}]}
            world.discovery.next_answer = LEAVES
            world.discovery.open_calls[0].write(closing(response(200, "OK", {}, orjson.dumps(nameless))))
            world.heal_later("connect")
            assert await world.used_until(lambda: any(update.hops for update in world.owner.updates)) == []

    run_faulty(main)


def test_calls_are_held_back_during_each_of_two_answers_that_arrive_slowly() -> None:
    """The state was not checked between the two, so the time of the second was counted from the first."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            discovery = world.discovery
            for number in (0, 1):
                discovery.open_calls[number].write(LEAVES[:-TAIL_BYTES])
                await until(lambda: any(one.answer_pending for one in world.map._exchanges.values()))
                assert await world.used_until(loop_reaches(loop.time() + 2 * FAULT_S)) == []
                discovery.open_calls[number].write(LEAVES[-TAIL_BYTES:])
                await discovery.called(number + 2)
                await until(lambda: not world.held_back())

    run_faulty(main)


def agent_bounds() -> WatchBounds:
    """Return the bounds of a sender to which an agent pushes lists."""
    env = settings(discovery="automatic")
    env["obligations"] |= {"drainGrace": GRACE_S}
    return WatchBounds.of(Settings.from_mapping(env))


def loop_reaches(when: float) -> Callable[[], bool]:
    """Return a condition that is true from this time on."""
    return lambda: asyncio.get_running_loop().time() >= when


def test_a_watch_that_is_dropped_with_half_an_answer_is_followed_by_a_full_request() -> None:
    """The answer of another call, which may be older, had replaced it."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            discovery = world.discovery
            world.map.snapshot()
            await until(lambda: len(discovery.paths) == 2)
            discovery.open_calls[0].write(LEAVES[:-TAIL_BYTES])
            await until(world.held_back)
            discovery.open_calls[1].write(listing(5, True))
            await until(lambda: world.owner.updates)
            assert world.held_back()
            await until(lambda: discovery.paths[2:].count("/registry/instances") == 1)
            newest = max(discovery.open_calls)
            assert discovery.paths[newest] == "/registry/instances" and world.held_back()
            discovery.open_calls[newest].write(listing(6, True, state="leaving"))
            await until(lambda: not world.held_back())
            assert world.owner.updates[-1].version == 6

    run_faulty(main)


class FailingOwner(Owner):
    """Fails to apply the first list that contains a change."""

    failed = False

    def list_changed(self, update: MapUpdate) -> None:
        if update.hops and not self.failed:
            self.failed = True
            raise RuntimeError("a fault")
        super().list_changed(update)


@pytest.mark.parametrize("fault", ["cannot be parsed", "is not applied"])
def test_calls_are_held_back_after_an_answer_that_was_discarded(fault: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        owner = Owner(5) if fault == "cannot be parsed" else FailingOwner(5)
        async with watching(faults, owner) as world:
            faults.fail_always("connect", errno.ENETUNREACH)
            world.discovery.next_answer = LEAVES
            corrupt = response(200, "OK", {"Connection": "close"}, b'{"version": 6, "servers": [')
            world.discovery.open_calls[0].write(corrupt if fault == "cannot be parsed" else closing(LEAVES))
            world.heal_later("connect")
            assert await world.used_until(lambda: bool(world.owner.updates)) == []

    run_faulty(main)


@pytest.mark.parametrize("refusal", ["refused", "busy"])
def test_a_refusal_shows_that_discovery_is_down_and_the_list_may_be_used(refusal: str) -> None:
    """A discovery that is down notifies nobody, so senders continue by the list they have."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            if refusal == "refused":
                faults.fail_always("connect", errno.ECONNREFUSED)
            world.discovery.next_answer = response(503, "down", {}, b"")
            world.discovery.open_calls[0].transport.abort()
            refused = (lambda: faults.count["connect"]) if refusal == "refused" else (
                lambda: world.discovery.short_calls)  # fmt: skip
            await until(refused)
            await until(lambda: not world.held_back())
            # With a possible loss it would be called ten times and more before the bound.
            assert faults.count["connect"] <= 5 and world.discovery.short_calls <= 5

    run_faulty(main)


def test_calls_are_held_back_until_there_is_evidence() -> None:
    """While discovery was unreachable, calls were sent again after 2.0 s, by a list that nothing
    confirmed.
    """

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail_always("connect", errno.ENETUNREACH)
            world.discovery.open_calls[0].transport.abort()
            await until(lambda: faults.count["connect"] >= 2)
            assert await world.used_until(loop_reaches(loop.time() + 2 * BOUND_S)) == []
            faults.fail_always("connect", None)
            assert faults.count["connect"] < 200, "it must not dial in each turn of the loop"
            await until(lambda: not world.held_back())

    run_faulty(main)


def test_at_start_calls_are_held_back_while_the_agent_cannot_be_reached() -> None:
    """Calls were sent by the known list after 1.5 s although the agent had never answered."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        discovery, owner = AnsweringDiscovery(), Owner(5)
        discovery.next_answer = LEAVES
        await discovery.start()
        faults.fail_always("connect", errno.ENETUNREACH)
        watched = TransportMap(owner, Address(HOST, discovery.port), NAMES, bounds(30.0))
        world = Watching(faults, discovery, owner, watched)
        try:
            watched.watch(True)
            loop.call_later(2.0, faults.fail_always, "connect", None)
            assert await world.used_until(lambda: bool(owner.updates)) == []
        finally:
            watched.close()
            await discovery.stop()
            await asyncio.sleep(0)

    run_faulty(main)


def test_an_operators_file_that_was_unreadable_is_read_as_soon_as_it_is_readable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It had been treated as read and was not checked again until its next change, while its
    content counts.
    """
    read_text = Path.read_text

    async def main() -> None:
        async with helper.SenderHarness(tmp_path, "http") as world:
            loop = asyncio.get_running_loop()
            healed_at = loop.time() + FAULT_S

            def failing(path: Path, *args: Any, **options: Any) -> str:
                if path == world.file and loop.time() < healed_at:
                    raise OSError(errno.EIO, os.strerror(errno.EIO))
                return read_text(path, *args, **options)

            monkeypatch.setattr(Path, "read_text", failing)
            world.states = ["leaving"]
            world.write_file()
            await asyncio.sleep(GRACE_S)
            assert await world.client.submit("a") is None
            await asyncio.sleep(healed_at - loop.time())
            await until(lambda: not world.runtime.sender.attempts.parked)
            await asyncio.sleep(GRACE_S)
            assert not world.calls

    helper.run(main())


def test_a_call_that_was_not_sent_shows_nothing_about_discovery() -> None:
    """Found by the soak (seed 6105): each write failed on this machine for 1 s, which was taken for a
    discovery that is down and breaks each call. Then its calls hung, and the list was used for 6 s more.
    """

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults) as world:
            faults.fail_always("write", errno.ECONNRESET)
            world.discovery.open_calls[0].transport.abort()
            assert await world.used_until(loop_reaches(loop.time() + 2 * DOWN_AFTER_S)) == []
            faults.fail_always("write", None)
            await until(lambda: not world.held_back())

    run_faulty(main)


def test_an_unread_list_of_an_agent_may_hide_a_change_while_no_call_was_in_flight() -> None:
    """The process was stopped while the agent had two changes: the second one counts as notified at once."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults, bounds_of_watch=agent_bounds()) as world:
            discovery = world.discovery
            await until(lambda: not world.held_back())
            discovery.open_calls[0].write(listing(6, False))
            time.sleep(2 * GRACE_S)  # stops the loop, as if the process were stopped
            discovery.holds_short = True  # the call after the list hangs
            await until(lambda: world.owner.updates)
            assert await world.used_until(loop_reaches(loop.time() + 2 * FAULT_S)) == []
            assert world.held_back()
            discovery.holds_short = False
            await until(lambda: not world.held_back())

    run_faulty(main)


def test_a_list_of_an_agent_that_is_read_at_once_does_not_hold_calls_back() -> None:
    """Each check finds an answer that has arrived, so the agent can only have written it since
    the last one.
    """

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults, bounds_of_watch=agent_bounds()) as world:
            discovery = world.discovery
            await until(lambda: not world.held_back())
            short_calls = discovery.short_calls
            await world.used_until(loop_reaches(loop.time() + FAULT_S))
            discovery.open_calls[0].write(listing(6, False))
            await until(lambda: world.owner.updates)
            assert not world.held_back()
            await discovery.called(2)
            assert discovery.short_calls == short_calls

    run_faulty(main)


def test_the_list_of_a_slow_agent_may_be_used_once_a_short_call_is_answered() -> None:
    """Each check shows that the answer was not written before, also while the list may not be used."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with watching(faults, bounds_of_watch=agent_bounds()) as world:
            discovery = world.discovery
            await until(lambda: not world.held_back())
            discovery.open_calls[0].write(listing(6, False))
            time.sleep(2 * GRACE_S)
            discovery.holds_short = True
            await until(lambda: discovery.paths[1:] and world.held_back())
            short = len(discovery.paths) - 1
            await world.used_until(loop_reaches(loop.time() + 2 * GRACE_S))
            asked = f"GET {discovery.paths[short]} HTTP/1.1"
            discovery.open_calls[short].write(no_changes(asked))
            await until(lambda: not world.held_back(), 2 * GRACE_S)

    run_faulty(main)
