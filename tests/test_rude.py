"""Misbehaving clients: each gets an error or is closed in time, and does not affect well-behaved clients."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest

from mountgauge.amqp import clients as amqp_clients
from mountgauge.amqp import codec
from mountgauge.clients import Clients, connection
from mountgauge.core.ports import Accepted, MessageOutcome, Status, Submission
from rillspindle.interface import Readiness
from tests.helper import HOST, AmqpClient, SenderHarness, read_frame, run
from tests.test_clients import command, enqueue
from tests.test_sender import Bench

Peer = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def with_clients(
    test: Callable[[Clients], Awaitable[None]], most: int = 50, answers: bool = True
) -> list[Submission]:
    submitted: list[Submission] = []

    def submit(one: Submission) -> None:
        submitted.append(one)
        if answers:
            one.answer(Accepted())

    front = Clients(submit, ("note",), most, deadlines=[12.0])
    await front.listen(HOST, 0)
    await test(front)
    front.stop_listening()
    front.close()
    return submitted


async def read_to_end(peer: Peer, limit: float = 3.0) -> bytes:
    """All bytes up to the close, which must come in time."""
    async with asyncio.timeout(limit):
        try:
            return await peer[0].read()
        except ConnectionResetError:
            return b""


@pytest.mark.parametrize("data", [b"", b"*", b"*5\r\n$7\r\nENQ", b"*2\r\n$4\r\nPING\r\n", b"*1\r\n$9\r\nhalf",
                                  command(b"PING") + b"*5\r\n"])  # fmt: skip
def test_silent_clients_and_incomplete_commands_time_out(data: bytes) -> None:
    async def main() -> None:
        async def test(front: Clients) -> None:
            peer = await asyncio.open_connection(HOST, front.port)
            peer[1].write(data)
            text = await read_to_end(peer)
            assert not data or b"-ERR Protocol error" in text

        await with_clients(test)

    run(main())


def test_trickling_bytes_do_not_extend_the_time_limit() -> None:
    async def main() -> None:
        async def test(front: Clients) -> None:
            peer = await asyncio.open_connection(HOST, front.port)
            peer[1].write(b"*2\r\n$4\r\nPING\r\n$900\r\n")
            for _ in range(40):
                await asyncio.sleep(0.1)
                peer[1].write(b"x")
                if peer[0].at_eof() or peer[0]._buffer:  # type: ignore[attr-defined]
                    break
            assert b"-ERR Protocol error" in await read_to_end(peer, 0.5)

        await with_clients(test)

    run(main())


def test_a_connection_with_an_open_request_is_not_closed() -> None:
    """A connection is not idle while a request is unanswered, however long the answer takes."""

    async def main() -> None:
        async def test(front: Clients) -> None:
            peer = await asyncio.open_connection(HOST, front.port)
            peer[1].write(enqueue())
            await asyncio.sleep(front.times.handshake + 0.6)
            submitted[0].answer(Accepted())
            assert await peer[0].readline() == b"+OK\r\n"
            peer[1].write(command(b"PING"))
            assert await peer[0].readline() == b"+PONG\r\n"
            peer[1].close()

        submitted: list[Submission] = []
        front = Clients(submitted.append, ("note",), 9)
        await front.listen(HOST, 0)
        await test(front)
        front.stop_listening()

    run(main())


def test_the_error_line_arrives_before_sixty_megabytes_of_invalid_input_are_read() -> None:
    async def main() -> None:
        async def test(front: Clients) -> None:
            peer = await asyncio.open_connection(HOST, front.port)
            peer[1].write(b"*5\r\n$7\r\nENQUEUE\r\n$60000000\r\n")

            async def pour() -> None:
                for _ in range(60):
                    peer[1].write(b"x" * 1_000_000)
                    await peer[1].drain()

            pouring = asyncio.create_task(pour())
            async with asyncio.timeout(1.0):
                assert (await peer[0].readline()).startswith(b"-ERR Protocol error")
            await asyncio.gather(pouring, return_exceptions=True)

        await with_clients(test)

    run(main())


def test_the_total_size_of_a_command_is_limited() -> None:
    async def main() -> None:
        async def test(front: Clients) -> None:
            peer = await asyncio.open_connection(HOST, front.port)
            peer[1].write(b"*16\r\n" + b"$60000\r\n" + b"x" * 60000 + b"\r\n$60000\r\n")
            assert b"too long" in await read_to_end(peer)

        await with_clients(test)

    run(main())


def test_the_sixteenth_bad_request_closes_after_the_good_ones_are_answered() -> None:
    async def main() -> None:
        async def test(front: Clients) -> None:
            peer = await asyncio.open_connection(HOST, front.port)
            peer[1].write(command(b"PING") + command(b"NO") * 300)
            text = await read_to_end(peer)
            assert text.startswith(b"+PONG\r\n") and text.count(b"-ERR ") == connection._MAX_BAD_REQUESTS

        await with_clients(test)

    run(main())


def test_a_flood_of_connections_does_not_keep_out_active_clients() -> None:
    """Guards against accepting a flood at once, which used every descriptor before any could be closed."""

    async def main() -> None:
        async def test(front: Clients) -> None:
            usual = await asyncio.open_connection(HOST, front.port)
            usual[1].write(enqueue(b"first"))
            assert await usual[0].readline() == b"+OK\r\n"
            silent = [await asyncio.open_connection(HOST, front.port) for _ in range(60)]
            for n in range(20):
                assert len(front.admission) <= 10
                late = await asyncio.open_connection(HOST, front.port)
                late[1].write(enqueue(b"m%d" % n))
                async with asyncio.timeout(0.4):
                    assert await late[0].readline() == b"+OK\r\n"
                silent += [late, await asyncio.open_connection(HOST, front.port)]
            for peer in silent:
                peer[1].transport.abort()

        assert len(await with_clients(test, most=10)) == 21

    run(main())


def test_connections_that_sent_one_message_are_displaced_before_new_and_active_ones() -> None:
    """Displacing by idle time alone closed active clients between PING and first message or two messages."""

    async def main() -> None:
        async def test(front: Clients) -> None:
            ready, active = [await asyncio.open_connection(HOST, front.port) for _ in range(2)]
            ready[1].write(command(b"PING"))
            assert await ready[0].readline() == b"+PONG\r\n"
            for n in range(2):
                active[1].write(enqueue(b"s%d" % n))
                assert await active[0].readline() == b"+OK\r\n"
            stayed = []
            for n in range(20):
                stayed.append(await asyncio.open_connection(HOST, front.port))
                stayed[-1][1].write(enqueue(b"m%d" % n))
                assert await stayed[-1][0].readline() == b"+OK\r\n"
            for n, peer in enumerate((ready, active)):
                peer[1].write(enqueue(b"r%d" % n))
                assert await peer[0].readline() == b"+OK\r\n"
            assert len(front.admission) <= 8 and front.counts["clients", "displaced-resting"] >= 12
            for peer in (ready, active, *stayed):
                peer[1].transport.abort()

        await with_clients(test, most=8)

    run(main())


def test_a_client_beyond_the_limit_gets_busy() -> None:
    async def main() -> None:
        async def test(front: Clients) -> None:
            asking = [await asyncio.open_connection(HOST, front.port) for _ in range(3)]
            for n, peer in enumerate(asking):
                peer[1].write(enqueue(b"m%d" % n))
            await asyncio.sleep(0.05)
            late = await asyncio.open_connection(HOST, front.port)
            assert await read_to_end(late, 1.0) == b"-BUSY 200\r\n"
            for peer in asking:
                peer[1].transport.abort()

        await with_clients(test, most=3, answers=False)

    run(main())


def test_deadlines_are_limited_by_the_message_class() -> None:
    async def main() -> None:
        async def test(front: Clients) -> None:
            peer = await asyncio.open_connection(HOST, front.port)
            for text in (b"0", b"-5", b"1e3", b"", b"9" * 40):
                peer[1].write(enqueue(pairs=b"c=note,dest=7,d=" + text))
                assert (await peer[0].readline()).startswith(b"-ERR d: ")
            peer[1].write(enqueue(pairs=b"c=note,dest=7,d=999999999"))
            assert await peer[0].readline() == b"+OK\r\n"
            peer[1].close()

        assert [one.remaining_s for one in await with_clients(test)] == [12.0]

    run(main())


# The core


def test_a_message_to_an_unknown_destination_is_rejected(tmp_path: Path) -> None:
    """If it were accepted, it could only be queued until its deadline."""
    bench = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.READY))

    def submit_message(msg_id: str, dest: int = 7) -> object:
        bench.submit(msg_id, dest=dest)
        bench.pass_time(0.01)
        return bench.answers[msg_id]

    assert submit_message("a", 99) == MessageOutcome(Status.DEFERRED, 250)  # discovery has not answered yet
    assert submit_message("b") == Accepted()
    bench.sender.list_changed(bench.hops(Readiness.READY))
    assert submit_message("c", 99) == MessageOutcome(Status.UNDELIVERABLE)
    bench.sender.list_changed(bench.hops())  # all its endpoints left for a short time
    assert submit_message("d") == Accepted()
    bench.pass_time(601.0)
    bench.sender.list_changed(bench.hops())
    assert submit_message("e") == MessageOutcome(Status.UNDELIVERABLE) and not bench.sender.listed


def test_a_different_message_with_an_id_in_use_is_rejected(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.READY))
    for body, answer in (
        (b"one", Accepted()),
        (b"one", Accepted()),
        (b"two", MessageOutcome(Status.UNDELIVERABLE)),
    ):
        bench.submit("twice", body=body)
        bench.pass_time(0.01)
        assert bench.answers.pop("twice") == answer


# AMQP


def test_amqp_incomplete_messages_and_openings_time_out(tmp_path: Path) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, "amqp") as world:
            silent = await asyncio.open_connection(HOST, world.port)
            client = AmqpClient(world)
            await client.connect()
            client.task.cancel()
            client.writer.write(codec.method(1, "basic.publish", routing_key="7"))
            began = asyncio.get_running_loop().time()
            beating = asyncio.create_task(beat(client.writer))  # heartbeats are no progress
            method = codec.decode_method((await read_until(client.reader)).payload)
            assert method.name == "connection.close" and method.args["code"] == 501
            beating.cancel()
            assert await read_to_end(silent, 3.0) is not None
            assert asyncio.get_running_loop().time() - began < 3.2
            await world.client.close()
            world.client = AmqpClient(world)  # other clients are still served
            await world.client.connect()
            assert await world.client.submit("m1") is None and await world.client.outcome("m1") == "delivered"

    async def beat(writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(0.3)
            writer.write(codec.frame(codec.HEARTBEAT, 0, b""))

    async def read_until(reader: asyncio.StreamReader) -> codec.Frame:
        while (frame := await read_frame(reader)).kind != codec.METHOD:
            pass
        return frame

    run(main())


def test_amqp_idle_publishers_are_displaced(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(amqp_clients, "_DISPLACEABLE_AFTER_S", 0.2)

    async def main() -> None:
        async with SenderHarness(tmp_path, "amqp") as world:
            front = world.runtime.listeners[0][0]
            assert isinstance(front, amqp_clients.AmqpClients)
            front.admission.bounds = replace(front.admission.bounds, most=2)
            unopened = await asyncio.open_connection(HOST, world.port)
            client = AmqpClient(world)
            await client.connect()  # displaces the one that has not opened
            assert await read_to_end(unopened, 0.5) == b""
            await asyncio.sleep(0.3)
            assert await client.submit("m1") is None and await client.outcome("m1") == "delivered"
            late = AmqpClient(world)
            await late.connect()  # displaces the one that was idle longest
            assert await late.submit("m2") is None and await late.outcome("m2") == "delivered"
            assert len(front.admission) == 2
            await late.close()
            await client.close()
            world.client = late

    run(main())
