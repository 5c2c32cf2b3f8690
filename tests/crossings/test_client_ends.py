"""A client sends while the sender closes its connection, on both fronts.

The race is forced: within one turn of the loop the client writes and the sender shuts its side, so the bytes
are unread in the sender's socket at that moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from bisect import bisect_right
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import accumulate
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.amqp import codec
from mountgauge.clients import ClientConnection, Clients
from mountgauge.connections.front import MAX_LINGERING
from mountgauge.connections.registry import Registry
from mountgauge.connections.settings import platform_settings
from mountgauge.core.ports import Accepted, Submission
from tests.crossings.test_attempts import reset
from tests.helper import HOST, AmqpClient, SenderHarness, Transport, read_frame, receive, run, until
from tests.system_call_faults import Faults, FaultyCalls
from tests.test_clients import command, enqueue

PING = command(b"PING")


@contextlib.contextmanager
def peer(front: Clients) -> Iterator[socket.socket]:
    with socket.create_connection((HOST, front.port)) as sock:
        sock.setblocking(False)
        yield sock


async def read_to_end(sock: socket.socket) -> bytes:
    """All bytes until the sender shuts its side; a reset raises an error."""
    received, loop = b"", asyncio.get_running_loop()
    async with asyncio.timeout(5):
        while data := await loop.sock_recv(sock, 65536):
            received += data
    return received


async def listening(
    submitted: list[Submission],
    most: int = 50,
    faults: Faults | None = None,
    submit: Callable[[Submission], None] | None = None,
) -> Clients:
    registry = Registry(platform_settings(most), FaultyCalls(faults or Faults()))
    front = Clients(submit or submitted.append, ("note",), most, deadlines=[12.0], registry=registry)
    await front.listen(HOST, 0)
    return front


def sole(front: Clients) -> ClientConnection:
    [connection] = front.admission.members
    return connection


def idle_timeout(front: Clients) -> None:
    connection = sole(front)
    connection.on_due(front.registry.now() + front.times.idle)


def displaced(front: Clients) -> None:
    front.admission.bounds = replace(front.admission.bounds, most=1)
    ClientConnection(front).connection_made(Transport())  # a new connection beyond the limit


CLOSES: list[Callable[[Clients], None]] = [Clients.close_idle, idle_timeout, displaced]
LATE_BYTES = {
    "whole": enqueue(b"crossing"),
    "half": enqueue(b"crossing")[:30],
    "pipelined": b"".join(enqueue(b"c%d" % n, body=b"x" * 2000) for n in range(90)),
}


@pytest.mark.parametrize("late", LATE_BYTES)
@pytest.mark.parametrize("close", CLOSES)
def test_requests_that_arrive_as_an_idle_connection_is_shut_are_not_read(
    close: Callable[[Clients], None], late: str
) -> None:
    """The client gets its last answer and EOF, not a reset, and can safely send the later request again."""

    async def main() -> None:
        submitted, faults = list[Submission](), Faults()
        front = await listening(submitted, faults=faults)
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: submitted)
            submitted[0].answer(Accepted())
            sock.send(LATE_BYTES[late])  # in the turn of the close, so that it stays unread
            close(front)
            assert await read_to_end(sock) == b"+OK\r\n"
            sock.send(PING)
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: not front.registry.open)
        assert [one.id for one in submitted] == ["first"] and faults.moved["read"] == len(enqueue(b"first"))
        front.stop_listening()
        front.registry.close()

    run(main())


def test_eof_behind_unread_bytes_is_detected_and_closes_the_connection() -> None:
    """The unread request hides the EOF from epoll, so it is polled for."""

    async def main() -> None:
        submitted = list[Submission]()
        front = await listening(submitted)
        with peer(front) as sock:
            sock.send(PING)
            await until(lambda: len(front.admission) and sole(front).command_received)
            front.close_idle()
            sole(front)._close_by = float("inf")  # without a deadline only the EOF can close it
            sock.send(enqueue(b"crossing"))
            assert await read_to_end(sock) == b"+PONG\r\n"
            sock.close()
            await until(lambda: not front.registry.open)
        assert not submitted
        front.stop_listening()
        front.registry.close()

    run(main())


def test_a_lame_duck_shuts_its_side_after_the_last_answer() -> None:
    async def main() -> None:
        submitted = list[Submission]()
        front = await listening(submitted)
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: submitted)
            front.closing_after_answers = True
            sock.send(enqueue(b"crossing"))
            submitted[0].answer(Accepted())
            assert await read_to_end(sock) == b"+OK\r\n"
        assert [one.id for one in submitted] == ["first"]
        front.stop_listening()
        front.registry.close()

    run(main())


def test_requests_after_the_close_are_not_read_while_an_answer_is_owed() -> None:
    """Closed with one request unanswered: that answer is sent, later requests are not read."""

    async def main() -> None:
        submitted, faults = list[Submission](), Faults()
        front = await listening(submitted, faults=faults)
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: submitted)
            front.close_idle()
            connection, loop = sole(front), asyncio.get_running_loop()
            late = b"".join(enqueue(b"late", body=b"x" * 60_000) for _ in range(40))
            sending = loop.create_task(loop.sock_sendall(sock, late))
            for _ in range(20):
                await asyncio.sleep(0)
            assert not connection._parser  # none of it is buffered
            submitted[0].answer(Accepted())
            assert await read_to_end(sock) == b"+OK\r\n"
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        assert [one.id for one in submitted] == ["first"] and front.registry.partial_bytes.total == 0
        assert faults.moved["read"] == len(enqueue(b"first"))
        front.stop_listening()
        front.registry.close()

    run(main())


def test_an_answer_owed_before_invalid_bytes_reaches_a_half_closed_client() -> None:
    async def main() -> None:
        submitted = list[Submission]()
        front = await listening(submitted)
        with peer(front) as sock:
            sock.send(enqueue(b"first") + b"junk\r\n")
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: submitted and sole(front).eof_seen)
            submitted[0].answer(Accepted())
            assert await read_to_end(sock) == b"+OK\r\n-ERR Protocol error: expected '*'\r\n"
        front.stop_listening()
        front.registry.close()

    run(main())


def test_a_client_that_keeps_sending_is_closed_in_time() -> None:
    async def main() -> None:
        front = await listening([])
        with peer(front) as sock:
            sock.send(PING)
            await until(lambda: len(front.admission) and sole(front).command_received)
            front.close_idle()
            loop = asyncio.get_running_loop()
            with pytest.raises(OSError):
                async with asyncio.timeout(8):
                    while True:
                        await loop.sock_sendall(sock, enqueue(b"again") * 100)
            await until(lambda: not front.registry.open)
        front.stop_listening()
        front.registry.close()

    run(main())


def test_a_rejected_flood_gets_busy_and_uses_few_descriptors() -> None:
    """Each client has sent a request before it is rejected; the answer must reach it nonetheless."""

    async def main() -> None:
        submitted = list[Submission]()
        front = await listening(submitted, most=4)
        socks = []
        for number in range(4):  # busy connections, which must not be evicted
            socks.append(sock := socket.create_connection((HOST, front.port)))
            sock.sendall(enqueue(b"m%d" % number))
        await until(lambda: len(submitted) == 4)
        most, flood = 0, list[socket.socket]()
        for number in range(200):
            flood.append(sock := socket.create_connection((HOST, front.port)))
            sock.setblocking(False)
            sock.send(enqueue(b"f%d" % number))
            await asyncio.sleep(0)
            most = max(most, front.registry.open)
        for sock in flood:
            assert (await read_to_end(sock)).startswith(b"-BUSY")
        assert most <= 4 + MAX_LINGERING + 8 and len(submitted) == 4  # 8: accepted in one turn
        for sock in [*flood, *socks]:
            sock.close()
        front.stop_listening()
        front.registry.close()

    run(main())


def lame_duck(front: Clients) -> None:
    front.closing_after_answers = True


async def accept_all_and_read(sock: socket.socket, submitted: list[Submission]) -> bytes:
    """All bytes until the sender shuts its side, while each submitted message is accepted."""
    reading, answered = asyncio.ensure_future(read_to_end(sock)), 0
    while not reading.done():
        for one in submitted[answered:]:
            one.answer(Accepted())
            answered += 1
        await asyncio.sleep(0)
    return reading.result()


BUSY_CLOSES = [Clients.close_idle, lame_duck]


@pytest.mark.parametrize("close", BUSY_CLOSES)
def test_buffered_requests_are_answered_when_the_connection_is_closed(
    close: Callable[[Clients], None],
) -> None:
    """One read contained more requests than may be open: the others are rejected after the answers."""

    async def main() -> None:
        submitted = list[Submission]()
        front = await listening(submitted)
        with peer(front) as sock:
            sock.send(b"".join(enqueue(b"m%d" % n) for n in range(100)))
            await until(lambda: len(submitted) == 64)
            close(front)
            received = await accept_all_and_read(sock, submitted)
        assert received == b"+OK\r\n" * len(submitted) + b"-BUSY\r\n" * (100 - len(submitted))
        assert len(submitted) == 64 or close is lame_duck
        front.stop_listening()
        front.registry.close()

    run(main())


@pytest.mark.parametrize("close", BUSY_CLOSES)
@pytest.mark.parametrize("what", ["PING", "ENQUEUE"])
def test_a_close_between_two_commands_of_one_read_answers_all_of_them(
    close: Callable[[Clients], None], what: str
) -> None:
    """The following commands are answered at once (PING) or later (ENQUEUE)."""

    async def main() -> None:
        submitted = list[Submission]()

        def submit(one: Submission) -> None:
            submitted.append(one)
            if len(submitted) == 3:
                close(front)

        front = await listening(submitted, submit=submit)
        with peer(front) as sock:
            pings = PING * 40 if what == "PING" else b"".join(enqueue(b"l%d" % n) for n in range(40))
            sock.send(b"".join(enqueue(b"m%d" % n) for n in range(3)) + pings)
            received = await accept_all_and_read(sock, submitted)
        answers = received.split(b"\r\n")[:-1]
        assert len(answers) == 43 and answers[:3] == [b"+OK"] * 3
        assert close is lame_duck or set(answers[3:]) == {b"-BUSY"}
        front.stop_listening()
        front.registry.close()

    run(main())


def test_an_oversized_incomplete_command_does_not_lose_earlier_answers() -> None:
    async def main() -> None:
        submitted = list[Submission]()
        front = await listening(submitted)
        front.registry.partial_bytes.limit = 20_000
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: submitted)
            sock.send(enqueue(b"second", body=b"x" * 60_000)[:30_000])
            await until(lambda: front.counts["clients", "buffers"])
            submitted[0].answer(Accepted())
            assert (await read_to_end(sock)).startswith(b"+OK\r\n-ERR Protocol error")
        front.stop_listening()
        front.registry.close()

    run(main())


def test_an_exception_in_one_request_does_not_affect_other_answers() -> None:
    async def main() -> None:
        submitted = list[Submission]()

        def submit(one: Submission) -> None:
            if one.id == "m1":
                raise RuntimeError("a fault")
            submitted.append(one)

        front = await listening(submitted, submit=submit)
        with peer(front) as sock:
            sock.send(b"".join(enqueue(b"m%d" % n) for n in range(3)))
            await until(lambda: len(submitted) == 2)
            for one in submitted:
                one.answer(Accepted())
            received = await asyncio.get_running_loop().sock_recv(sock, 100)
            assert received == b"+OK\r\n-ERR not carried out\r\n+OK\r\n"
        front.stop_listening()
        front.registry.close()

    run(main())


def test_each_pipelined_request_of_a_rejected_flood_is_answered() -> None:
    """When no descriptor is free for lingering, a connection is closed at once, with all it sent answered."""

    async def main() -> None:
        submitted, faults = list[Submission](), Faults()
        front = await listening(submitted, most=4, faults=faults)
        socks = []
        for number in range(4):
            socks.append(sock := socket.create_connection((HOST, front.port)))
            sock.sendall(enqueue(b"m%d" % number))
        await until(lambda: len(submitted) == 4)
        flood, one = list[socket.socket](), enqueue(b"f")
        for _ in range(60):
            flood.append(sock := socket.create_connection((HOST, front.port)))
            sock.setblocking(False)
            sock.send(one * 3)
        before, answers = faults.moved["read"], 0
        for sock in flood:
            received = await read_to_end(sock)
            assert received.startswith(b"-BUSY 200\r\n") and received.count(b"\r\n") in (1, 3)
            answers += received.count(b"\r\n")
        assert before <= faults.moved["read"] <= answers * len(one) + 4 * len(enqueue(b"m0"))
        assert answers > 60 and len(submitted) == 4
        for sock in [*flood, *socks]:
            sock.close()
        front.stop_listening()
        front.registry.close()

    run(main())


def test_invalid_bytes_without_spare_descriptors_do_not_reset_earlier_answers() -> None:
    async def main() -> None:
        submitted, faults = list[Submission](), Faults()
        front = await listening(submitted, faults=faults)
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: submitted)
            sock.send(b"junk\r\n")
            await until(lambda: sole(front).closing)
            front.registry.settings = replace(front.registry.settings, most=-MAX_LINGERING)  # none may linger
            sock.send(b"junk\r\n" * 5000)  # unread in the turn of the close
            submitted[0].answer(Accepted())
            assert await read_to_end(sock) == b"+OK\r\n-ERR Protocol error: expected '*'\r\n"
        assert faults.moved["read"] == len(enqueue(b"first") + b"junk\r\n" * 5001), (
            "no byte is left unread, which would cause a reset"
        )
        front.stop_listening()
        front.registry.close()

    run(main())


def test_without_descriptors_each_request_that_is_read_gets_busy() -> None:
    async def main() -> None:
        submitted, faults = list[Submission](), Faults()
        front = await listening(submitted, faults=faults)
        faults.fail("accept", errno.EMFILE)  # only the reserved descriptor is left
        with peer(front) as sock:
            sock.send(enqueue(b"a") * 3)
            received = await read_to_end(sock)  # and no reset
            assert received.count(b"-BUSY ") == received.count(b"\r\n") == 3
        assert not submitted
        front.stop_listening()
        front.registry.close()

    run(main())


def test_misbehaving_clients_do_not_cost_others_their_answers() -> None:
    """Invalid bytes, incomplete commands, silence, resets and floods at a low limit, up to the shutdown."""

    async def main() -> None:
        submitted = list[Submission]()
        front = await listening(submitted, most=8)
        good = [socket.create_connection((HOST, front.port)) for _ in range(4)]
        for number, sock in enumerate(good):
            sock.setblocking(False)
            sock.send(b"".join(enqueue(b"g%d-%d" % (number, n)) for n in range(10)))
        await until(lambda: len(submitted) == 40)
        bad = list[socket.socket]()
        for number in range(80):
            bad.append(sock := socket.create_connection((HOST, front.port)))
            sock.setblocking(False)
            junk = [b"junk\r\n", enqueue(b"h", body=b"x" * 900)[:500], b"", b"*1\r\n$70000\r\n", b"\0" * 5000]
            sock.send(junk[number % 5] or b"*")
            if number % 3 == 0:
                reset(sock)
            await asyncio.sleep(0)
        front.close_idle()
        for one in submitted:
            one.answer(Accepted())
        for sock in good:
            assert await read_to_end(sock) == b"+OK\r\n" * 10
        for sock in [*good, *bad]:
            sock.close()
        front.stop_listening()
        front.registry.close()

    run(main())


REQUESTS = [enqueue(b"m%d" % n) if n % 4 else PING for n in range(1000)]
STREAM, REQUEST_ENDS = b"".join(REQUESTS), list(accumulate(map(len, REQUESTS)))
STEPS = st.tuples(
    st.sampled_from(["bytes", "bytes", "bytes", "answer", "turn", "choke", "flow"]), st.integers(1, 2000)
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEPS, max_size=20), st.sampled_from(BUSY_CLOSES), st.booleans())
def test_each_request_that_was_read_is_answered_whenever_the_connection_closes(
    steps: list[tuple[str, int]], close: Callable[[Clients], None], half_closed: bool
) -> None:
    """Requests split at any byte, answers, back-pressure and the close in any order."""

    async def main() -> None:
        submitted = list[Submission]()
        front, transport = Clients(submitted.append, ("note",), 9), Transport()
        connection = ClientConnection(front)
        connection.connection_made(transport)
        fed = answered = 0

        def turn() -> None:
            while front.registry.scheduler:
                front.registry.turn()

        for step, amount in steps:
            if step == "bytes" and transport.reading:
                receive(connection, STREAM[fed : fed + amount])
                fed += amount
            elif step == "answer" and answered < len(submitted):
                submitted[answered].answer(Accepted())
                answered += 1
            elif step == "turn":
                turn()
            elif step == "choke":
                connection.pause_writing()
            elif step == "flow":
                connection.resume_writing()
        asked = bisect_right(REQUEST_ENDS, fed)
        close(front)
        if half_closed and transport.reading:
            connection.eof_received()
        connection.resume_writing()
        turn()
        while answered < len(submitted):
            submitted[answered].answer(Accepted())
            answered += 1
            turn()
        assert bytes(transport.written).count(b"\r\n") == asked

    asyncio.run(main())


def test_amqp_bytes_after_a_close_are_ignored_without_a_reset(tmp_path: Path) -> None:
    """A publish after `connection.close` is not accepted, even if several reads of it are pending."""

    async def main() -> None:
        async with SenderHarness(tmp_path, "amqp") as world:
            client = AmqpClient(world)
            await client.connect()
            client.task.cancel()
            client.send_method(0, "connection.close", code=200, text="bye", class_id=0, method_id=0)
            properties = {"message_id": "late", "type": "safe", "expiration": "5000", "headers": {}}
            publish = codec.method(1, "basic.publish", routing_key="7", mandatory=True)
            for _ in range(12):
                client.writer.write(publish + codec.content(1, properties, b"x" * 30_000, 4096))
            frame = await read_frame(client.reader)
            while codec.decode_method(frame.payload).name != "connection.close-ok":
                frame = await read_frame(client.reader)
            assert await client.reader.read() == b""  # EOF, not a reset
            client.writer.close()
            assert "late" not in world.runtime.journal.live and "late" not in world.runtime.journal.outcomes
            assert not world.calls

    run(main())
