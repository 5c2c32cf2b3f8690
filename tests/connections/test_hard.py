"""The hard cases of many connections, caused on loopback with hundreds of them; decided by counts."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import resource
import signal
import socket
import struct
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from mountgauge import cli
from mountgauge.access import Access, User
from mountgauge.amqp import codec
from mountgauge.amqp.clients import AmqpClients
from mountgauge.amqp.connection import AmqpConnection
from mountgauge.clients import ClientConnection, Clients
from mountgauge.connections import descriptors
from mountgauge.connections.acceptor import AT_ONCE
from mountgauge.connections.connection import ConnectionTransport
from mountgauge.connections.front import LINGERING
from mountgauge.connections.metrics import ConnectionMetrics, client_metrics
from mountgauge.connections.registry import BATCH, Registry
from mountgauge.connections.scheduler import QUANTUM
from mountgauge.connections.settings import ClientSettings, Times, platform_settings
from mountgauge.core.config import Address
from mountgauge.core.ports import Accepted, Answer, MessageOutcome, Status, Submission
from mountgauge.lab.ports import reserve_ports
from mountgauge.otlp import encode
from mountgauge.snapshot import Snapshot
from mountgauge.status import fetch_status
from tests.helper import HOST, HttpHop, receive, run, until
from tests.helper import Transport as Recorder
from tests.test_amqp_states import GRADE, methods
from tests.test_clients import command, enqueue

TIMES = Times(handshake=30.0, half=30.0, idle=float("inf"), unread=30.0)
SETTINGS = ClientSettings(2000, 2000, 2000, 0, True, TIMES, TIMES, 1e6, 10.0)
MANY = 300


class Counting(Registry):
    """Counts what one turn of the loop does."""

    done = most_done = 0

    def turn(self) -> None:
        self.done = 0
        super().turn()
        self.most_done = max(self.most_done, self.done)

    def gone(self, transport: ConnectionTransport) -> None:
        self.done += 1
        super().gone(transport)


class Held:
    """A RESP2 front with `count` connections, each of which has said PING."""

    def __init__(self, settings: ClientSettings = SETTINGS) -> None:
        self.order: list[str] = []
        self.answer: Answer = Accepted()
        self.registry = Counting(settings)
        self.front = Clients(self._submit, ("note",), settings.most, registry=self.registry)
        self.socks: list[socket.socket] = []

    def _submit(self, one: Submission) -> None:
        self.order.append(one.id)
        one.answer(self.answer)

    async def open(self, count: int) -> list[socket.socket]:
        for _ in range(count):
            sock = socket.create_connection((HOST, self.front.port))
            sock.setblocking(False)
            sock.send(command(b"PING"))
            self.socks.append(sock)
            assert await self.hear(sock, 7) == b"+PONG\r\n"
        return self.socks[-count:]

    async def hear(self, sock: socket.socket, size: int = 4096) -> bytes:
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, size), 10)

    def close(self) -> None:
        for sock in self.socks:
            sock.close()
        self.front.stop_listening()
        self.registry.close()


@asynccontextmanager
async def holding(count: int, settings: ClientSettings = SETTINGS) -> AsyncIterator[Held]:
    held = Held(settings)
    await held.front.listen(HOST, 0)
    try:
        await held.open(count)
        yield held
    finally:
        held.close()


def test_few_connections_need_no_epoll_within_the_loops(monkeypatch: pytest.MonkeyPatch) -> None:
    """Not every system wakes the outer one: there each client would wait for the next timer."""

    async def main() -> None:
        monkeypatch.setattr("mountgauge.connections.registry.select.epoll", None)
        async with holding(3, platform_settings(16)) as held:
            for n, sock in enumerate(held.socks):
                sock.send(enqueue(b"note%d" % n))
                assert await held.hear(sock) == b"+OK\r\n"

    run(main())


def test_all_wake_at_once_and_take_turns() -> None:
    """One with a thousand commands is heard a quantum a round: it doesn't go before one with a single one."""

    async def main() -> None:
        async with holding(MANY) as held:
            assert held.front.report() == {
                "open": MANY, "busy": 0, "silent": 0, "idle": MANY, "parked": MANY, "leaving": 0,
            }  # fmt: skip
            held.socks[0].send(b"".join(enqueue(b"bulk%d" % n) for n in range(1000)))
            for n, sock in enumerate(held.socks[1:]):
                sock.send(enqueue(b"single%d" % n))
            for sock in held.socks[1:]:
                assert await held.hear(sock) == b"+OK\r\n"
            heard = b""
            while heard.count(b"+OK\r\n") < 1000:
                heard += await held.hear(held.socks[0])
            last = max(n for n, msg_id in enumerate(held.order) if msg_id.startswith("single"))
            rounds = MANY // BATCH + 2
            assert last < MANY + 2 * QUANTUM * rounds and len(held.order) == MANY - 1 + 1000

    run(main())


def test_a_crowd_past_patience_hears_at_once_when_to_come_back() -> None:
    async def main() -> None:
        async with holding(MANY, replace(SETTINGS, patience=0.0)) as held:
            for sock in held.socks:  # as if they had long rested
                sock.send(enqueue(b"m%d" % sock.fileno()))
            for connection in held.front.admission.members:
                connection.since -= 10
            said = [await held.hear(sock) for sock in held.socks]
            busy = [int(text.split()[1]) for text in said if text.startswith(b"-BUSY ")]
            taken = said.count(b"+OK\r\n")
            assert len(busy) + taken == MANY and len(held.order) == taken > 0
            assert len(busy) == held.front.counts["clients", "crowded"] > BATCH
            assert min(busy) >= 200 and max(Counter(ms // 100 for ms in busy).values()) < len(busy) / 2

    run(main())


def test_what_the_core_defers_without_a_time_gets_one() -> None:
    async def main() -> None:
        async with holding(50) as held:
            held.answer = MessageOutcome(Status.DEFERRED)
            for sock in held.socks:
                sock.send(enqueue())
            times = {await held.hear(sock) for sock in held.socks}
            assert len(times) > 25 and all(text.startswith(b"-BUSY ") and len(text) > 8 for text in times)
            held.answer = MessageOutcome(Status.DEFERRED, 777)  # the module's own word stays
            held.socks[0].send(enqueue())
            assert await held.hear(held.socks[0]) == b"-BUSY 777\r\n"

    run(main())


def test_half_are_reset_in_one_instant_and_everything_comes_back() -> None:
    def objects() -> int:
        gc.collect()
        return sum(isinstance(one, ClientConnection | ConnectionTransport) for one in gc.get_objects())

    async def main() -> None:
        gc.unfreeze()
        async with holding(1) as held:
            fds, before = len(os.listdir("/proc/self/fd")), objects()
            socks = await held.open(MANY)
            for sock in socks[: MANY // 2]:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
            await until(lambda: held.registry.open == 1 + MANY - MANY // 2)
            assert held.registry.most_done <= BATCH < MANY // 2  # spread over several turns
            for sock in socks[MANY // 2 :]:
                sock.send(command(b"PING"))
                assert await held.hear(sock) == b"+PONG\r\n"
                sock.close()
            await until(lambda: held.registry.open == 1)
            held.socks = held.socks[:1]
            gc.unfreeze()
            assert len(os.listdir("/proc/self/fd")) == fds and objects() == before
            assert held.registry.shared.open == 1 and not held.registry.timer_wheel.armed

    run(main())


def test_without_descriptors_one_hears_so_and_accepting_goes_on() -> None:
    async def main() -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        async with holding(3) as held:
            late = [socket.socket() for _ in range(5)]
            for sock in late:
                sock.setblocking(False)
            held.socks += late
            top = max(int(fd) for fd in os.listdir("/proc/self/fd"))
            fill: list[int] = []
            resource.setrlimit(resource.RLIMIT_NOFILE, (top + 1, hard))
            try:
                with suppress(OSError):  # no hole below the limit
                    while True:
                        fill.append(os.open(os.devnull, os.O_RDONLY))
                for sock in late:
                    sock.connect_ex((HOST, held.front.port))
                assert (await held.hear(late[0])).startswith(b"-BUSY ")
                held.socks[0].send(enqueue())  # those that are held are served meanwhile
                assert await held.hear(held.socks[0]) == b"+OK\r\n"
                await until(lambda: held.front.counts["clients", "turned-away-descriptors"] >= 2)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                for fd in fill:
                    os.close(fd)
            again = socket.create_connection((HOST, held.front.port))
            again.setblocking(False)
            held.socks.append(again)
            again.send(command(b"PING"))
            assert await held.hear(again) == b"+PONG\r\n"

    run(main())


def test_half_commands_are_bounded_in_all_and_cost_the_others_nothing() -> None:
    async def main() -> None:
        async with holding(40, replace(SETTINGS, buffers=200_000)) as held:
            largest = 0
            for sock in held.socks[1:]:
                sock.send(b"*2\r\n$4\r\nPING\r\n$60000\r\n" + b"x" * 20_000)
                await asyncio.sleep(0)
                largest = max(largest, held.registry.half.total)
            await until(lambda: held.registry.open <= 1 + 200_000 // 20_000)
            assert largest <= 200_000 and held.front.counts["clients", "buffers"] >= 29
            held.socks[0].send(enqueue())
            assert await held.hear(held.socks[0]) == b"+OK\r\n"

    run(main())


def test_answers_that_nobody_reads_are_bounded_each_and_in_all() -> None:
    async def main() -> None:
        async with holding(8) as held:
            held.registry.unread.most = 20_000
            echo, largest = command(b"PING", b"x" * 60_000), 0
            loop = asyncio.get_running_loop()

            async def pour(sock: socket.socket) -> None:
                with suppress(OSError):
                    for _ in range(300):
                        await loop.sock_sendall(sock, echo)

            pouring = [loop.create_task(pour(sock)) for sock in held.socks[1:]]
            for _ in range(400):
                await asyncio.sleep(0.005)
                largest = max(largest, held.registry.unread.total)
                if held.registry.counts["clients", "unread"]:
                    break
            for connection in held.front.admission.members:
                assert len(connection._slots) <= 64
            # Past the bound by no more than what one write added before the one who owes most went.
            assert largest <= 20_000 + QUANTUM * 60_100 and held.registry.counts["clients", "unread"]
            held.socks[0].send(enqueue())
            assert await held.hear(held.socks[0]) == b"+OK\r\n"
            for task in pouring:
                task.cancel()
            await asyncio.gather(*pouring, return_exceptions=True)

    run(main())


def test_a_user_past_its_share_is_refused_on_both_fronts_and_others_are_not() -> None:
    async def main() -> None:
        access = Access({"rossi": User("p"), "bianchi": User("p")})
        settings = replace(SETTINGS, most_per_user=1)
        async with holding(3, settings) as held:
            held.front.access = access
            said = []
            for sock, user in zip(held.socks, (b"rossi", b"rossi", b"bianchi"), strict=True):
                sock.send(command(b"AUTH", user, b"p"))
                said.append((await held.hear(sock))[:11])
            assert said == [b"+OK\r\n", b"-MAXCLIENTS", b"+OK\r\n"]
            held.socks[0].close()
            await until(lambda: held.registry.open == 2)
            held.socks[1].send(command(b"AUTH", b"rossi", b"p"))  # its place is free again
            assert await held.hear(held.socks[1]) == b"+OK\r\n"

        front = AmqpClients(
            lambda one: None, ("note",), (GRADE,), 9, access, registry=Registry(settings)
        )  # fmt: skip
        codes = []
        for _ in range(2):
            connection, transport = AmqpConnection(front), Recorder()
            connection.connection_made(transport)
            receive(connection, codec.PROTOCOL_HEADER)
            word = "\0rossi\0p"
            receive(connection, codec.method(0, "connection.start-ok", mechanism="PLAIN", response=word))
            codes.append([(name, code) for _, name, code in methods(transport.take_written())][1])
        assert codes == [("connection.tune", 0), ("connection.close", 530)]

    run(main())


# AMQP

OPENING = (
    codec.PROTOCOL_HEADER
    + codec.method(0, "connection.start-ok", mechanism="PLAIN", response="\0u\0p")
    + codec.method(0, "connection.tune-ok", channel_max=8, frame_max=4096, heartbeat=1)
    + codec.method(0, "connection.open", vhost="/")
    + codec.method(1, "channel.open")
)


def test_heartbeats_need_no_timer_each_and_the_dead_are_found() -> None:
    async def main() -> None:
        loop: Any = asyncio.get_running_loop()
        registry = Registry(SETTINGS)
        front = AmqpClients(lambda one: None, ("note",), (GRADE,), 2000, registry=registry)
        await front.listen(HOST, 0)
        before, socks, beats = len(loop._scheduled), [], 0
        for _ in range(60):
            sock = socket.create_connection((HOST, front.port))
            sock.setblocking(False)
            sock.send(OPENING)
            socks.append(sock)
        await until(lambda: sum(c.state.value == "ready" for c in front.admission.members) == 60)
        assert registry.timer_wheel.armed == 60
        live = [one for one in loop._scheduled[before:] if not one.cancelled()]
        assert len(live) <= 4  # the wheel's, and this test's own

        beating = True

        async def beat() -> None:
            nonlocal beats
            while beating:
                for sock in socks[:30]:
                    sock.send(codec.frame(codec.HEARTBEAT, 0, b""))
                    with suppress(BlockingIOError):
                        beats += sock.recv(65536).count(codec.frame(codec.HEARTBEAT, 0, b""))
                await asyncio.sleep(0.2)

        task = asyncio.create_task(beat())
        await until(lambda: front.counts["clients", "dead"] == 30)
        await asyncio.sleep(0.5)
        beating = False
        await task
        assert registry.open == 30 == len(front.admission) and beats >= 30
        for sock in socks:
            sock.close()
        await until(lambda: not registry.open)
        assert not registry.timer_wheel.armed
        front.stop_listening()
        registry.close()

    run(main())


def test_beats_are_spread_whoever_connects_when() -> None:
    async def main() -> None:
        front = AmqpClients(lambda one: None, ("note",), (GRADE,), 2000, registry=Registry(SETTINGS))
        phases = Counter(int(front.phase() * 10) for _ in range(1000))
        assert len(phases) == 10 and max(phases.values()) <= 103

    run(main())


def test_a_publisher_with_a_thousand_messages_takes_turns_too() -> None:
    async def main() -> None:
        order: list[str] = []
        front = AmqpClients(
            lambda one: order.append(one.id), ("note",), (GRADE,), 9, registry=Registry(SETTINGS)
        )
        await front.listen(HOST, 0)
        socks = []
        for _ in range(2):
            sock = socket.create_connection((HOST, front.port))
            sock.send(OPENING)
            socks.append(sock)
        await until(lambda: sum(c.state.value == "ready" for c in front.admission.members) == 2)

        def publish(msg_id: str) -> bytes:
            return codec.method(1, "basic.publish", routing_key="7") + codec.content(
                1, {"message_id": msg_id, "type": "note"}, b"", 4096
            )

        socks[0].sendall(b"".join(publish(f"bulk{n}") for n in range(400)))
        socks[1].sendall(publish("single"))
        await until(lambda: len(order) == 401)
        assert order.index("single") <= 4 * QUANTUM
        connection = next(iter(front.admission.members))
        assert isinstance(connection, AmqpConnection) and connection.unsettled
        for sock in socks:
            sock.close()
        front.stop_listening()
        front.registry.close()

    run(main())


# The process

FILE = """name = "many"
state = "state"
[limits]
sockets = {sockets}
[resp]
listen = "127.0.0.1:{resp}"
[status]
listen = "127.0.0.1:{status}"
[clients]
idle = "forever"
[[class]]
name = "note"
semantics = "idempotent"
deadline = 8
[[next_hop]]
id = "h"
addr = "127.0.0.1:{hop}"
dest = 7
"""


@asynccontextmanager
async def process(
    folder: Path, sockets: int, hard: int
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int, Address, HttpHop]]:
    hop = HttpHop()
    await hop.start()
    resp, status = reserve_ports(2)
    file = folder / "many.toml"
    file.write_text(FILE.format(sockets=sockets, resp=resp, status=status, hop=hop.port))
    limit = f"import resource; resource.setrlimit(resource.RLIMIT_NOFILE, ({min(64, hard)}, {hard}))"
    start = f"{limit}; import sys; from mountgauge.cli import main; sys.exit(main(['run', {str(file)!r}]))"
    one = await asyncio.create_subprocess_exec(sys.executable, "-c", start)
    address = Address(HOST, status)
    try:
        for _ in range(200):
            try:
                await fetch_status(address)
                break
            except OSError:
                await asyncio.sleep(0.05)
        yield one, resp, address, hop
    finally:
        if one.returncode is None:
            one.kill()
        await one.wait()
        await hop.stop()


async def peers(port: int, count: int) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    found = []
    for _ in range(count):
        found.append(await asyncio.open_connection(HOST, port))
        found[-1][1].write(command(b"PING"))
    for reader, _ in found:
        assert await reader.readline() == b"+PONG\r\n"
    return found


def test_reload_closes_none_and_sigterm_ends_all_with_exit_0(tmp_path: Path) -> None:
    async def main() -> None:
        async with process(tmp_path, 1000, 1000) as (one, port, status, _):
            held = await peers(port, MANY)  # the soft limit was raised
            one.send_signal(signal.SIGHUP)
            for reader, writer in held:
                writer.write(command(b"PING"))
                assert await reader.readline() == b"+PONG\r\n"
            report = (await fetch_status(status))["clients"]
            assert report["fronts"]["resp"]["parked"] == report["open"] == MANY
            assert {"timers", "wakeups_per_s", "longest_turn_ms", "bytes_per_connection"} <= set(report)
            assert report["timers"] == 0 and report["fared"] == {"joined": MANY}
            one.terminate()
            for reader, _ in held:
                assert await reader.read() == b""
            assert await one.wait() == 0
            for _, writer in held:
                writer.close()

    run(main(), 30)


def test_own_needs_have_descriptors_when_the_system_gives_fewer(tmp_path: Path) -> None:
    """A reconnect storm of more than there is room for: status and next hops go on."""

    async def main() -> None:
        async with process(tmp_path, 1000, 100) as (_, port, status, hop):
            storm = [await asyncio.open_connection(HOST, port) for _ in range(200)]
            for _, writer in storm:
                writer.write(command(b"PING"))
            report = (await fetch_status(status))["clients"]
            assert report["open"] <= 100 - descriptors.SPARE
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(enqueue(b"one"))
            assert await reader.readline() == b"+OK\r\n"
            await until(lambda: hop.delivered == ["one"])
            fared = (await fetch_status(status))["clients"]["fared"]
            assert fared["joined"] == 201 and "turned-away-descriptors" not in fared
            assert sum(n for what, n in fared.items() if what.startswith("displaced")) > 100
            for _, peer in [*storm, (reader, writer)]:
                peer.transport.abort()

    run(main(), 30)


def test_accepts_of_one_turn_take_no_descriptors_that_are_kept_for_others() -> None:
    """Those in whose place they came had ended, and kept theirs up to the next turn: 59 open, 52 allowed."""

    async def main() -> None:
        most = 35
        async with holding(most + LINGERING, platform_settings(most)) as held:
            assert held.registry.open == most + LINGERING
            adopt, seen = held.registry.adopt, list[int]()

            def counting(*args: Any) -> ConnectionTransport:
                transport = adopt(*args)
                seen.append(held.registry.open)
                return transport

            held.registry.adopt = counting  # type: ignore[assignment]
            crowd = [socket.create_connection((HOST, held.front.port)) for _ in range(3 * AT_ONCE)]
            await until(lambda: len(seen) == len(crowd))
            assert max(seen) <= most + LINGERING + 1, "one comes, and another one goes"
            for sock in crowd:
                sock.close()

    run(main())


def test_check_says_what_to_raise(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "many.toml"
    file.write_text(FILE.format(sockets=30_000, resp=1, status=2, hop=3))
    monkeypatch.setattr(descriptors, "limits", lambda: (1024, 20_000))
    assert cli.main(["check", str(file)]) == 1
    said = capsys.readouterr()
    assert "30000 descriptors are wanted, this process may have 20000: raise" in said.err
    monkeypatch.setattr(descriptors, "limits", lambda: (1024, 30_000))
    assert cli.main(["check", str(file)]) == 0


def test_metrics_say_what_status_does() -> None:
    async def main() -> None:
        async with holding(60) as held:
            report = ConnectionMetrics(held.registry, {"resp": held.front}, None).report()
            body = json.loads(encode("i", Snapshot(Counter(), 0, 0, 1), 1, 2, None, client_metrics(report)))
            metrics = {m["name"]: m for m in body["resourceMetrics"][0]["scopeMetrics"][0]["metrics"]}
            points = metrics["mountgauge.clients.connections"]["gauge"]["dataPoints"]
            by = {p["attributes"][1]["value"]["stringValue"]: p["asInt"] for p in points}
            assert by["open"] == by["idle"] == by["parked"] == "60"
            assert metrics["mountgauge.clients.fared"]["sum"]["dataPoints"][0]["asInt"] == "60"

    run(main())
