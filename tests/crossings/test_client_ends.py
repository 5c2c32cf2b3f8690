"""Where a client's bytes cross the end of its connection, on both fronts.

The crossing is forced: within one turn of the loop the peer writes and the sender shuts, so the bytes lie
unread in the sender's socket when it does.
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
from mountgauge.connections.front import LINGERING
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


async def hears(sock: socket.socket) -> bytes:
    """All that is said until the sender shuts its side; a reset is an error here."""
    said, loop = b"", asyncio.get_running_loop()
    async with asyncio.timeout(5):
        while data := await loop.sock_recv(sock, 65536):
            said += data
    return said


async def listening(
    taken: list[Submission],
    most: int = 50,
    faults: Faults | None = None,
    submit: Callable[[Submission], None] | None = None,
) -> Clients:
    registry = Registry(platform_settings(most), FaultyCalls(faults or Faults()))
    front = Clients(submit or taken.append, ("note",), most, deadlines=[12.0], registry=registry)
    await front.listen(HOST, 0)
    return front


def sole(front: Clients) -> ClientConnection:
    [connection] = front.admission.members
    return connection


def idle_close(front: Clients) -> None:
    connection = sole(front)
    connection.on_due(front.registry.now() + front.times.idle)


def displaced(front: Clients) -> None:
    front.admission.bounds = replace(front.admission.bounds, most=1)
    ClientConnection(front).connection_made(Transport())  # another one comes, for whom there is no place


ENDS: list[Callable[[Clients], None]] = [Clients.close_idle, idle_close, displaced]
CROSSING = {
    "whole": enqueue(b"crossing"),
    "half": enqueue(b"crossing")[:30],
    "pipelined": b"".join(enqueue(b"c%d" % n, body=b"x" * 2000) for n in range(90)),
}


@pytest.mark.parametrize("crossing", CROSSING)
@pytest.mark.parametrize("ends", ENDS)
def test_what_comes_as_a_resting_connection_is_shut(ends: Callable[[Clients], None], crossing: str) -> None:
    """The client hears its last answer and the end, no reset; what crossed is not read: it sends it again."""

    async def main() -> None:
        taken, faults = list[Submission](), Faults()
        front = await listening(taken, faults=faults)
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: taken)
            taken[0].answer(Accepted())
            sock.send(CROSSING[crossing])  # in the turn of the close: it lies there unread
            ends(front)
            assert await hears(sock) == b"+OK\r\n"
            sock.send(PING)
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: not front.registry.open)
        assert [one.id for one in taken] == ["first"] and faults.moved["read"] == len(enqueue(b"first"))
        front.stop_listening()
        front.registry.close()

    run(main())


def test_a_client_that_ends_behind_bytes_that_stay_unread_is_let_go_at_once() -> None:
    """Its end lies behind a request that nobody reads: it is looked for."""

    async def main() -> None:
        taken = list[Submission]()
        front = await listening(taken)
        with peer(front) as sock:
            sock.send(PING)
            await until(lambda: len(front.admission) and sole(front).greeted)
            front.close_idle()
            sole(front)._close_by = float("inf")  # it would wait for ever
            sock.send(enqueue(b"crossing"))
            assert await hears(sock) == b"+PONG\r\n"
            sock.close()
            await until(lambda: not front.registry.open)
        assert not taken
        front.stop_listening()
        front.registry.close()

    run(main())


def test_a_lame_duck_shuts_behind_its_answer() -> None:
    async def main() -> None:
        taken = list[Submission]()
        front = await listening(taken)
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: taken)
            front.letting_go = True
            sock.send(enqueue(b"crossing"))
            taken[0].answer(Accepted())
            assert await hears(sock) == b"+OK\r\n"
        assert [one.id for one in taken] == ["first"]
        front.stop_listening()
        front.registry.close()

    run(main())


def test_what_comes_while_an_answer_is_owed_waits_for_nothing() -> None:
    """Told to go with a request unanswered: that answer leaves, later requests are not read."""

    async def main() -> None:
        taken, faults = list[Submission](), Faults()
        front = await listening(taken, faults=faults)
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: taken)
            front.close_idle()
            connection, loop = sole(front), asyncio.get_running_loop()
            late = b"".join(enqueue(b"late", body=b"x" * 60_000) for _ in range(40))
            sending = loop.create_task(loop.sock_sendall(sock, late))
            for _ in range(20):
                await asyncio.sleep(0)
            assert not connection._parser  # nothing of it is kept
            taken[0].answer(Accepted())
            assert await hears(sock) == b"+OK\r\n"
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        assert [one.id for one in taken] == ["first"] and front.registry.half.total == 0
        assert faults.moved["read"] == len(enqueue(b"first"))
        front.stop_listening()
        front.registry.close()

    run(main())


def test_an_answer_owed_before_bad_bytes_reaches_a_client_that_has_shut_its_side() -> None:
    async def main() -> None:
        taken = list[Submission]()
        front = await listening(taken)
        with peer(front) as sock:
            sock.send(enqueue(b"first") + b"junk\r\n")
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: taken and sole(front).heard_end)
            taken[0].answer(Accepted())
            assert await hears(sock) == b"+OK\r\n-ERR Protocol error: expected '*'\r\n"
        front.stop_listening()
        front.registry.close()

    run(main())


def test_a_client_that_sends_for_ever_is_let_go_in_time() -> None:
    async def main() -> None:
        front = await listening([])
        with peer(front) as sock:
            sock.send(PING)
            await until(lambda: len(front.admission) and sole(front).greeted)
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


def test_a_flood_that_is_turned_away_hears_why_and_holds_few_descriptors() -> None:
    """Each sends before it hears that there is no place: the word reaches it all the same."""

    async def main() -> None:
        taken = list[Submission]()
        front = await listening(taken, most=4)
        socks = []
        for number in range(4):  # these ask and are owed: none of them may go
            socks.append(sock := socket.create_connection((HOST, front.port)))
            sock.sendall(enqueue(b"m%d" % number))
        await until(lambda: len(taken) == 4)
        most, flood = 0, list[socket.socket]()
        for number in range(200):
            flood.append(sock := socket.create_connection((HOST, front.port)))
            sock.setblocking(False)
            sock.send(enqueue(b"f%d" % number))
            await asyncio.sleep(0)
            most = max(most, front.registry.open)
        for sock in flood:
            assert (await hears(sock)).startswith(b"-BUSY")
        assert most <= 4 + LINGERING + 8 and len(taken) == 4  # 8: accepted in one turn
        for sock in [*flood, *socks]:
            sock.close()
        front.stop_listening()
        front.registry.close()

    run(main())


def lame_duck(front: Clients) -> None:
    front.letting_go = True


async def hears_all(sock: socket.socket, taken: list[Submission]) -> bytes:
    """All that is said until the sender shuts its side, as each request that is handed in is taken on."""
    hearing, answered = asyncio.ensure_future(hears(sock)), 0
    while not hearing.done():
        for one in taken[answered:]:
            one.answer(Accepted())
            answered += 1
        await asyncio.sleep(0)
    return hearing.result()


BUSY_ENDS = [Clients.close_idle, lame_duck]


@pytest.mark.parametrize("ends", BUSY_ENDS)
def test_requests_that_were_read_and_wait_for_their_turn_are_answered(
    ends: Callable[[Clients], None],
) -> None:
    """More than may wait for an answer came in one read: those behind them are turned back, in their turn."""

    async def main() -> None:
        taken = list[Submission]()
        front = await listening(taken)
        with peer(front) as sock:
            sock.send(b"".join(enqueue(b"m%d" % n) for n in range(100)))
            await until(lambda: len(taken) == 64)
            ends(front)
            said = await hears_all(sock, taken)
        assert said == b"+OK\r\n" * len(taken) + b"-BUSY\r\n" * (100 - len(taken))
        assert len(taken) == 64 or ends is lame_duck
        front.stop_listening()
        front.registry.close()

    run(main())


@pytest.mark.parametrize("ends", BUSY_ENDS)
@pytest.mark.parametrize("what", ["PING", "ENQUEUE"])
def test_an_end_while_a_read_is_gone_through_answers_all_of_it(
    ends: Callable[[Clients], None], what: str
) -> None:
    """It falls between two commands of one read, answered at once (PING) or later."""

    async def main() -> None:
        taken = list[Submission]()

        def submit(one: Submission) -> None:
            taken.append(one)
            if len(taken) == 3:
                ends(front)

        front = await listening(taken, submit=submit)
        with peer(front) as sock:
            pings = PING * 40 if what == "PING" else b"".join(enqueue(b"l%d" % n) for n in range(40))
            sock.send(b"".join(enqueue(b"m%d" % n) for n in range(3)) + pings)
            said = await hears_all(sock, taken)
        answers = said.split(b"\r\n")[:-1]
        assert len(answers) == 43 and answers[:3] == [b"+OK"] * 3
        assert ends is lame_duck or set(answers[3:]) == {b"-BUSY"}
        front.stop_listening()
        front.registry.close()

    run(main())


def test_too_much_of_a_half_command_leaves_the_answers_before_it() -> None:
    async def main() -> None:
        taken = list[Submission]()
        front = await listening(taken)
        front.registry.half.most = 20_000
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: taken)
            sock.send(enqueue(b"second", body=b"x" * 60_000)[:30_000])
            await until(lambda: front.counts["clients", "buffers"])
            taken[0].answer(Accepted())
            assert (await hears(sock)).startswith(b"+OK\r\n-ERR Protocol error")
        front.stop_listening()
        front.registry.close()

    run(main())


def test_a_fault_in_one_request_costs_no_other_its_answer() -> None:
    async def main() -> None:
        taken = list[Submission]()

        def submit(one: Submission) -> None:
            if one.id == "m1":
                raise RuntimeError("a fault")
            taken.append(one)

        front = await listening(taken, submit=submit)
        with peer(front) as sock:
            sock.send(b"".join(enqueue(b"m%d" % n) for n in range(3)))
            await until(lambda: len(taken) == 2)
            for one in taken:
                one.answer(Accepted())
            said = await asyncio.get_running_loop().sock_recv(sock, 100)
            assert said == b"+OK\r\n-ERR not carried out\r\n+OK\r\n"
        front.stop_listening()
        front.registry.close()

    run(main())


def test_a_flood_of_pipelined_requests_is_turned_away_one_by_one() -> None:
    """Past the spare descriptors a connection is closed at once: all that lies there is read and answered."""

    async def main() -> None:
        taken, faults = list[Submission](), Faults()
        front = await listening(taken, most=4, faults=faults)
        socks = []
        for number in range(4):
            socks.append(sock := socket.create_connection((HOST, front.port)))
            sock.sendall(enqueue(b"m%d" % number))
        await until(lambda: len(taken) == 4)
        flood, one = list[socket.socket](), enqueue(b"f")
        for _ in range(60):
            flood.append(sock := socket.create_connection((HOST, front.port)))
            sock.setblocking(False)
            sock.send(one * 3)
        before, answers = faults.moved["read"], 0
        for sock in flood:
            said = await hears(sock)
            assert said.startswith(b"-BUSY 200\r\n") and said.count(b"\r\n") in (1, 3)
            answers += said.count(b"\r\n")
        assert before <= faults.moved["read"] <= answers * len(one) + 4 * len(enqueue(b"m0"))
        assert answers > 60 and len(taken) == 4
        for sock in [*flood, *socks]:
            sock.close()
        front.stop_listening()
        front.registry.close()

    run(main())


def test_bad_bytes_with_no_descriptor_to_spare_do_not_reset_the_answers_before_them() -> None:
    async def main() -> None:
        taken, faults = list[Submission](), Faults()
        front = await listening(taken, faults=faults)
        with peer(front) as sock:
            sock.send(enqueue(b"first"))
            await until(lambda: taken)
            sock.send(b"junk\r\n")
            await until(lambda: sole(front).closing)
            front.registry.settings = replace(front.registry.settings, most=-LINGERING)  # none to linger on
            sock.send(b"junk\r\n" * 5000)  # it lies there unread in the turn of the close
            taken[0].answer(Accepted())
            assert await hears(sock) == b"+OK\r\n-ERR Protocol error: expected '*'\r\n"
        assert faults.moved["read"] == len(enqueue(b"first") + b"junk\r\n" * 5001), "nothing is left to reset"
        front.stop_listening()
        front.registry.close()

    run(main())


def test_without_a_descriptor_each_request_that_is_read_hears_busy() -> None:
    async def main() -> None:
        taken, faults = list[Submission](), Faults()
        front = await listening(taken, faults=faults)
        faults.fail("accept", errno.EMFILE)  # the one that is kept back is left
        with peer(front) as sock:
            sock.send(enqueue(b"a") * 3)
            said = await hears(sock)  # and no reset
            assert said.count(b"-BUSY ") == said.count(b"\r\n") == 3
        assert not taken
        front.stop_listening()
        front.registry.close()

    run(main())


def test_bad_clients_beside_good_ones_cost_them_no_answer() -> None:
    """Junk, halves, silence, resets and floods, with few places, up to the shutdown."""

    async def main() -> None:
        taken = list[Submission]()
        front = await listening(taken, most=8)
        good = [socket.create_connection((HOST, front.port)) for _ in range(4)]
        for number, sock in enumerate(good):
            sock.setblocking(False)
            sock.send(b"".join(enqueue(b"g%d-%d" % (number, n)) for n in range(10)))
        await until(lambda: len(taken) == 40)
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
        for one in taken:
            one.answer(Accepted())
        for sock in good:
            assert await hears(sock) == b"+OK\r\n" * 10
        for sock in [*good, *bad]:
            sock.close()
        front.stop_listening()
        front.registry.close()

    run(main())


REQUESTS = [enqueue(b"m%d" % n) if n % 4 else PING for n in range(1000)]
STREAM, WHOLE = b"".join(REQUESTS), list(accumulate(map(len, REQUESTS)))
STEPS = st.tuples(
    st.sampled_from(["bytes", "bytes", "bytes", "answer", "turn", "choke", "flow"]), st.integers(1, 2000)
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEPS, max_size=20), st.sampled_from(BUSY_ENDS), st.booleans())
def test_each_request_that_was_read_is_answered_wherever_the_end_comes(
    steps: list[tuple[str, int]], ends: Callable[[Clients], None], half_closed: bool
) -> None:
    """Requests cut at any byte, answers, back-pressure and the end in any order."""

    async def main() -> None:
        taken = list[Submission]()
        front, transport = Clients(taken.append, ("note",), 9), Transport()
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
            elif step == "answer" and answered < len(taken):
                taken[answered].answer(Accepted())
                answered += 1
            elif step == "turn":
                turn()
            elif step == "choke":
                connection.pause_writing()
            elif step == "flow":
                connection.resume_writing()
        asked = bisect_right(WHOLE, fed)
        ends(front)
        if half_closed and transport.reading:
            connection.eof_received()
        connection.resume_writing()
        turn()
        while answered < len(taken):
            taken[answered].answer(Accepted())
            answered += 1
            turn()
        assert bytes(transport.written).count(b"\r\n") == asked

    asyncio.run(main())


def test_amqp_what_comes_behind_a_close_is_passed_over_and_resets_nothing(tmp_path: Path) -> None:
    """A publish behind `connection.close` is not taken on; more than one read of it lies there at the end."""

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
            assert await client.reader.read() == b""  # the end, and no reset
            client.writer.close()
            assert "late" not in world.runtime.journal.live and "late" not in world.runtime.journal.outcomes
            assert not world.calls

    run(main())
