"""Races between two events of a delivery attempt, each forced by what the peer has received."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import orjson
import pytest

from mountgauge.core.ports import AttemptResult, Call, CallItem, MessageOutcome, Status
from mountgauge.http1 import Message, response
from mountgauge.next_hops import HttpNextHops
from rillspindle.interface import Outcome, Readiness
from tests.helper import HOST, HttpServer, run, until
from tests.test_next_hops import Owner, call
from tests.test_sender import Bench

NEVER = (Outcome.CONNECT_FAILED, Outcome.MOOT)
GOOD = response(200, "OK", {}, b"")


def reset(sock: socket.socket) -> None:
    """Reset the connection: the other side's kernel has the reset when this returns."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Peer:
    """An endpoint on plain sockets, whose actions take effect before the sender's next step."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.listener.setblocking(False)
        self.port: int = self.listener.getsockname()[1]

    async def accept(self) -> socket.socket:
        sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        sock.setblocking(False)
        return sock

    async def call(self, sock: socket.socket) -> bytes:
        """Receive one complete call."""
        data, loop = b"", asyncio.get_running_loop()
        while True:
            data += await loop.sock_recv(sock, 65536)
            head, sign, body = data.partition(b"\r\n\r\n")
            if sign and len(body) >= int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]):
                return data


@contextlib.asynccontextmanager
async def world(
    owner: Owner, timeout: float = 2.0, most: int = 8
) -> AsyncIterator[tuple[Peer, HttpNextHops]]:
    peer, hops = Peer(), HttpNextHops(owner, timeout, 5.0, most)
    yield peer, hops
    hops.close()
    await asyncio.sleep(0)
    assert hops.in_flight == 0 and hops._pool.open == 0, "the close of each connection is counted once"
    peer.listener.close()


async def kept(peer: Peer, hops: HttpNextHops, owner: Owner) -> socket.socket:
    """The peer's end of an idle connection that has served one call."""
    hops.start(call(peer.port))
    sock = await peer.accept()
    await peer.call(sock)
    sock.send(GOOD)
    await until(lambda: owner.done)
    owner.done.clear()
    return sock


class Before(Owner):
    """Calls a function between the last check and the first byte."""

    def __init__(self) -> None:
        super().__init__()
        self.then: Callable[[], None] = lambda: None

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        self.then()
        return items


def test_after_a_reset_between_the_last_check_and_the_first_byte_a_call_has_not_run() -> None:
    """No byte was written, so even a message that may never be repeated may be sent again."""

    async def main() -> None:
        owner = Before()
        async with world(owner) as (peer, hops):
            sock = await kept(peer, hops, owner)
            owner.then = lambda: reset(sock)
            hops.start(call(peer.port))
            await until(lambda: owner.done)
            assert owner.done[0][1] == {0: AttemptResult(Outcome.CONNECT_FAILED, stale=True)}

    run(main())


def test_after_a_close_between_the_last_check_and_the_first_byte_a_call_may_have_run() -> None:
    """The bytes were sent before the other side's reset arrived: only the protocol's table can decide."""

    async def main() -> None:
        owner = Before()
        async with world(owner) as (peer, hops):
            sock = await kept(peer, hops, owner)
            owner.then = sock.close
            hops.start(call(peer.port))
            await until(lambda: owner.done)
            assert owner.done[0][1] == {0: AttemptResult(Outcome.RESET, stale=True)}

    run(main())


@pytest.mark.parametrize("what", ["half a line", "an answer", "an end", "a reset"])
def test_data_that_arrives_as_an_idle_connection_is_reused_is_not_the_next_calls_answer(what: str) -> None:
    async def main() -> None:
        owner = Owner()
        async with world(owner) as (peer, hops):
            sock = await kept(peer, hops, owner)
            match what:
                case "half a line":
                    sock.send(b"HTTP/1.1 2")
                case "an answer":
                    sock.send(response(500, "E", {}, b""))
                case "an end":
                    sock.shutdown(socket.SHUT_WR)
                case _:
                    reset(sock)
            hops.start(call(peer.port))  # in the same turn, so the data is still unread
            other = await peer.accept()
            await peer.call(other)
            other.send(GOOD)
            await until(lambda: owner.done)
            assert owner.done[0][1] == {0: AttemptResult(Outcome.OK)} and hops.opened == 2
            if what != "a reset":
                with contextlib.suppress(ConnectionError):
                    assert await asyncio.get_running_loop().sock_recv(sock, 100) == b"", "no call on it"
                sock.close()
            other.close()

    run(main())


@pytest.mark.parametrize("reason", ["room", "expiry"])
def test_data_that_arrives_as_an_idle_connection_is_closed_is_ignored(reason: str) -> None:
    """The partner's bytes and the sender's own reason to close in the same turn: one close, counted once."""

    async def main() -> None:
        owner = Owner()
        async with world(owner, most=1) as (peer, hops):
            sock = await kept(peer, hops, owner)
            [(key, [connection])] = hops._pool._idle.items()
            sock.send(b"HTTP/1.1 500 E\r\n\r\n")
            if reason == "room":  # another endpoint's call needs the one descriptor
                other = Peer()
                hops.start(call(other.port))
            else:
                other = peer
                connection.idle_since -= 60
                hops._pool._expire(key, connection)
                hops.start(call(peer.port))
            mine = await other.accept()
            await other.call(mine)
            mine.send(GOOD)
            await until(lambda: owner.done)
            assert owner.done[0][1] == {0: AttemptResult(Outcome.OK)}
            sock.close()
            mine.close()
            if other is not peer:
                other.listener.close()

    run(main())


@pytest.mark.parametrize("before", [True, False])
def test_a_reset_before_and_after_a_calls_last_byte(before: bool) -> None:
    """A paused reader keeps the last byte at the sender; one that has read the whole call may have run it."""

    async def main() -> None:
        owner, loop = Owner(), asyncio.get_running_loop()
        async with world(owner) as (peer, hops):
            peer.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            hops.start(call(peer.port, b"x" * (32 << 20 if before else 1000), limit=10.0))
            sock = await peer.accept()
            if before:
                await loop.sock_recv(sock, 1000)
                reset(sock)
            else:
                await peer.call(sock)
                sock.send(b"HTTP/1.1 2")  # it has begun to answer
                reset(sock)
            await until(lambda: owner.done)
            expected = Outcome.CONNECT_FAILED if before else Outcome.RESET
            assert owner.done[0][1] == {0: AttemptResult(expected)}

    run(main())


@pytest.mark.parametrize("turns", range(10))
@pytest.mark.parametrize("how", ["cancel", "give up"])
def test_a_cancel_or_timeout_in_each_turn_of_establishing_a_connection(how: str, turns: int) -> None:
    """In each turn there is one outcome, which is "never ran" only if the peer received no complete call, and
    no descriptor is leaked or counted twice.
    """

    async def main() -> None:
        owner = Owner()
        async with world(owner) as (peer, hops):
            one = call(peer.port)
            hops.start(one)
            for _ in range(turns):
                await asyncio.sleep(0)
            hops.cancel(one) if how == "cancel" else hops._stop_call(one)
            await until(lambda: owner.done)
            await asyncio.sleep(0.02)
            assert len(owner.done) == 1 and hops._pool.open == 0
            received = b""
            with contextlib.suppress(BlockingIOError):
                sock, _ = peer.listener.accept()
                with sock, contextlib.suppress(ConnectionError):
                    sock.settimeout(2)
                    while data := sock.recv(65536):
                        received += data
            outcome = owner.done[0][1][0].outcome
            complete = received.endswith(b"\r\n\r\nx")
            assert not (complete and outcome in NEVER), (outcome, received)
            late = {"cancel": Outcome.CANCELLED, "give up": Outcome.TIMEOUT}[how]
            assert outcome in (*NEVER, late)

    run(main())


def full_backlog(peer: Peer) -> list[socket.socket]:
    """Fill the peer's listen backlog: its system answers no further connection attempt until `accept`."""
    peer.listener.listen(0)
    fillers = []
    for _ in range(3):
        fillers.append(filler := socket.socket())
        filler.setblocking(False)
        filler.connect_ex((HOST, peer.port))
    return fillers


def test_a_late_connection_carries_one_call_with_the_remaining_time() -> None:
    async def main() -> None:
        owner = Owner()
        async with world(owner, timeout=8.0) as (peer, hops):
            fillers = full_backlog(peer)
            hops.start(call(peer.port, limit=9.0))
            await asyncio.sleep(0.2)
            assert hops.in_flight == 1
            received = b""
            async with asyncio.timeout(9):
                # Frees the backlog; the sender's system retries the connect after a second.
                while b"/hook" not in received:
                    sock = await peer.accept()
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(0.05):
                            received = await peer.call(sock)
            assert int(received.lower().split(b"x-expires-in-ms: ")[1].split(b"\r\n")[0]) < 8900
            sock.send(GOOD)
            await until(lambda: owner.done)
            assert owner.done[0][1] == {0: AttemptResult(Outcome.OK)} and hops.opened == 1
            for filler in [*fillers, sock]:
                filler.close()

    run(main())


def test_a_call_whose_connection_comes_after_the_limit_has_not_run() -> None:
    async def main() -> None:
        owner = Owner()
        async with world(owner, timeout=0.2) as (peer, hops):
            fillers = full_backlog(peer)
            hops.start(call(peer.port, limit=9.0))
            await until(lambda: owner.done and not hops._pool.open)
            assert owner.done[0][1] == {0: AttemptResult(Outcome.CONNECT_FAILED)}
            for filler in fillers:
                filler.close()

    run(main())


def test_a_connection_to_an_endpoint_that_leaves_during_the_call_is_not_kept() -> None:
    async def main() -> None:
        owner = Owner()
        async with world(owner) as (peer, hops):
            hops.start(call(peer.port))
            sock = await peer.accept()
            await peer.call(sock)
            hops.close_idle("h")
            sock.send(GOOD)
            await until(lambda: owner.done)
            assert owner.done[0][1] == {0: AttemptResult(Outcome.OK)}, "its answer still counts"
            assert hops._pool.open == 0 and hops._pool.is_empty
            sock.close()

    run(main())


def test_a_message_that_expires_before_the_first_byte_of_its_call_has_not_run(tmp_path: Path) -> None:
    """It shares a call that is still connecting: submitting it again is harmless, whatever its class."""
    bench = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.READY, kind=1))
    bench.pass_time(0.01)
    bench.submit("short", grade=2, left=0.4)
    bench.submit("long", grade=2, left=9.0)
    bench.pass_time(0.6)
    assert len(bench.calls) == 1 and len(bench.calls[0].items) == 2 and not bench.calls[0].sent
    assert bench.outcomes["short"].status is Status.DEFERRED
    assert bench.journal.live["short"].notice == MessageOutcome(
        Status.DEFERRED, bench.outcomes["short"].retry_after_ms
    )
    assert bench.sender.admit(bench.calls[0], bench.calls[0].items) == bench.calls[0].items[1:]


def test_a_batch_answer_is_not_awaited_after_the_first_message_has_expired() -> None:
    """A message expires while the call that it shares is in flight: an answer after that is ignored."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        remaining_ms, disconnected, owner = list[int](), asyncio.Event(), Owner()

        class Late(HttpServer):
            async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                remaining_ms.append(int(head.split("x-expires-in-ms: ")[1].split("\r\n")[0]))
                await reader.readexactly(int(head.split("content-length: ")[1].split("\r\n")[0]))
                closed = asyncio.ensure_future(reader.read())
                # Until the sender disconnects, or for longer than the time limit.
                await asyncio.wait([closed], timeout=2.0)
                disconnected.set() if closed.done() else closed.cancel()
                states = [{"id": f"id{n}", "state": "ok"} for n in range(2)]
                writer.write(response(200, "OK", {}, orjson.dumps(states)))
                await writer.drain()

        async def never(message: Message) -> None: ...

        server = Late(never)
        await server.start()
        hops = HttpNextHops(owner, 0.5, 5.0, 8)
        shared = call(server.port, b"a", b"b", limit=8.0)
        shared.items[0].expires = loop.time() + 0.4
        hops.start(shared)
        await until(lambda: owner.done)
        await asyncio.wait_for(disconnected.wait(), 5)
        assert owner.done[0][1] == {n: AttemptResult(Outcome.TIMEOUT) for n in range(2)}
        assert remaining_ms[0] <= 400 and loop.time() >= shared.items[0].expires
        hops.close()
        await server.stop()

    run(main())
