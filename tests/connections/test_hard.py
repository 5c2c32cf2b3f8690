"""Hundreds of connections on loopback: fairness, overload, floods, limits and cleanup, verified by counts."""

from __future__ import annotations

import asyncio
import gc
import json
import os
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
from mountgauge.connections.acceptor import ACCEPTS_PER_TURN
from mountgauge.connections.connection import ConnectionTransport
from mountgauge.connections.front import MAX_LINGERING
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
from tests.descriptors import no_descriptors_left
from tests.helper import HOST, HttpHop, receive, run, until
from tests.helper import Transport as Recorder
from tests.test_amqp_states import GRADE, decode_methods
from tests.test_clients import command, enqueue

TIMES = Times(handshake=30.0, half=30.0, idle=float("inf"), unread=30.0)
SETTINGS = ClientSettings(2000, 2000, 2000, 0, True, TIMES, TIMES, 1e6, 10.0)
MANY = 300


class Counting(Registry):
    """Counts the transports that one turn of the loop closes."""

    done = most_done = 0

    def turn(self) -> None:
        self.done = 0
        super().turn()
        self.most_done = max(self.most_done, self.done)

    def remove_transport(self, transport: ConnectionTransport) -> None:
        self.done += 1
        super().remove_transport(transport)


class FrontWithClients:
    """A RESP2 front and its client sockets, each of which has sent PING."""

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
            assert await self.receive(sock, 7) == b"+PONG\r\n"
        return self.socks[-count:]

    async def receive(self, sock: socket.socket, size: int = 4096) -> bytes:
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, size), 10)

    def close(self) -> None:
        for sock in self.socks:
            sock.close()
        self.front.stop_listening()
        self.registry.close()


@asynccontextmanager
async def clients_connected(
    count: int, settings: ClientSettings = SETTINGS
) -> AsyncIterator[FrontWithClients]:
    clients = FrontWithClients(settings)
    await clients.front.listen(HOST, 0)
    try:
        await clients.open(count)
        yield clients
    finally:
        clients.close()


def test_few_connections_need_no_nested_epoll(monkeypatch: pytest.MonkeyPatch) -> None:
    """Not every system wakes the outer epoll: there each client would wait for the next timer."""

    async def main() -> None:
        monkeypatch.setattr("mountgauge.connections.registry.select.epoll", None)
        async with clients_connected(3, platform_settings(16)) as clients:
            for n, sock in enumerate(clients.socks):
                sock.send(enqueue(b"note%d" % n))
                assert await clients.receive(sock) == b"+OK\r\n"

    run(main())


def test_connections_that_wake_at_once_take_turns() -> None:
    """A connection with a thousand commands gets a quantum per round and doesn't delay the others."""

    async def main() -> None:
        async with clients_connected(MANY) as clients:
            assert clients.front.report() == {
                "open": MANY, "busy": 0, "silent": 0, "idle": MANY, "parked": MANY, "leaving": 0,
            }  # fmt: skip
            clients.socks[0].send(b"".join(enqueue(b"bulk%d" % n) for n in range(1000)))
            for n, sock in enumerate(clients.socks[1:]):
                sock.send(enqueue(b"single%d" % n))
            for sock in clients.socks[1:]:
                assert await clients.receive(sock) == b"+OK\r\n"
            received = b""
            while received.count(b"+OK\r\n") < 1000:
                received += await clients.receive(clients.socks[0])
            last = max(n for n, msg_id in enumerate(clients.order) if msg_id.startswith("single"))
            rounds = MANY // BATCH + 2
            assert last < MANY + 2 * QUANTUM * rounds and len(clients.order) == MANY - 1 + 1000

    run(main())


def test_requests_beyond_patience_are_rejected_at_once_with_spread_delays() -> None:
    async def main() -> None:
        async with clients_connected(MANY, replace(SETTINGS, patience=0.0)) as clients:
            for sock in clients.socks:
                sock.send(enqueue(b"m%d" % sock.fileno()))
            for connection in clients.front.admission.members:  # as if they had been idle for long
                connection.since -= 10
            answers = [await clients.receive(sock) for sock in clients.socks]
            busy = [int(text.split()[1]) for text in answers if text.startswith(b"-BUSY ")]
            accepted = answers.count(b"+OK\r\n")
            assert len(busy) + accepted == MANY and len(clients.order) == accepted > 0
            assert len(busy) == clients.front.counts["clients", "crowded"] > BATCH
            assert min(busy) >= 200 and max(Counter(ms // 100 for ms in busy).values()) < len(busy) / 2

    run(main())


def test_a_deferral_by_the_core_without_a_time_gets_a_retry_delay() -> None:
    async def main() -> None:
        async with clients_connected(50) as clients:
            clients.answer = MessageOutcome(Status.DEFERRED)
            for sock in clients.socks:
                sock.send(enqueue())
            times = {await clients.receive(sock) for sock in clients.socks}
            assert len(times) > 25 and all(text.startswith(b"-BUSY ") and len(text) > 8 for text in times)
            clients.answer = MessageOutcome(Status.DEFERRED, 777)  # a time given by the core is kept
            clients.socks[0].send(enqueue())
            assert await clients.receive(clients.socks[0]) == b"-BUSY 777\r\n"

    run(main())


def test_resetting_half_of_the_connections_at_once_leaks_nothing() -> None:
    def objects() -> int:
        gc.collect()
        return sum(isinstance(one, ClientConnection | ConnectionTransport) for one in gc.get_objects())

    async def main() -> None:
        gc.unfreeze()
        async with clients_connected(1) as clients:
            fds, before = len(os.listdir("/proc/self/fd")), objects()
            socks = await clients.open(MANY)
            for sock in socks[: MANY // 2]:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
            await until(lambda: clients.registry.open == 1 + MANY - MANY // 2)
            assert clients.registry.most_done <= BATCH < MANY // 2  # spread over several turns
            for sock in socks[MANY // 2 :]:
                sock.send(command(b"PING"))
                assert await clients.receive(sock) == b"+PONG\r\n"
                sock.close()
            await until(lambda: clients.registry.open == 1)
            clients.socks = clients.socks[:1]
            gc.unfreeze()
            assert len(os.listdir("/proc/self/fd")) == fds and objects() == before
            assert clients.registry.shared.open == 1 and not clients.registry.timer_wheel.armed

    run(main())


def test_without_descriptors_a_client_is_rejected_and_accepting_continues() -> None:
    async def main() -> None:
        async with clients_connected(3) as clients:
            late = [socket.socket() for _ in range(5)]
            for sock in late:
                sock.setblocking(False)
            clients.socks += late
            with no_descriptors_left():
                for sock in late:
                    sock.connect_ex((HOST, clients.front.port))
                assert (await clients.receive(late[0])).startswith(b"-BUSY ")
                clients.socks[0].send(enqueue())  # existing connections are still served
                assert await clients.receive(clients.socks[0]) == b"+OK\r\n"
                await until(lambda: clients.front.counts["clients", "turned-away-descriptors"] >= 2)
            again = socket.create_connection((HOST, clients.front.port))
            again.setblocking(False)
            clients.socks.append(again)
            again.send(command(b"PING"))
            assert await clients.receive(again) == b"+PONG\r\n"

    run(main())


def test_incomplete_commands_are_limited_in_total_and_do_not_affect_others() -> None:
    async def main() -> None:
        async with clients_connected(40, replace(SETTINGS, buffers=200_000)) as clients:
            largest = 0
            for sock in clients.socks[1:]:
                sock.send(b"*2\r\n$4\r\nPING\r\n$60000\r\n" + b"x" * 20_000)
                await asyncio.sleep(0)
                largest = max(largest, clients.registry.partial_bytes.total)
            await until(lambda: clients.registry.open <= 1 + 200_000 // 20_000)
            assert largest <= 200_000 and clients.front.counts["clients", "buffers"] >= 29
            clients.socks[0].send(enqueue())
            assert await clients.receive(clients.socks[0]) == b"+OK\r\n"

    run(main())


def test_unread_answers_are_limited_per_connection_and_in_total() -> None:
    async def main() -> None:
        async with clients_connected(8) as clients:
            clients.registry.unread_bytes.limit = 20_000
            echo, largest = command(b"PING", b"x" * 60_000), 0
            loop = asyncio.get_running_loop()

            async def pour(sock: socket.socket) -> None:
                with suppress(OSError):
                    for _ in range(300):
                        await loop.sock_sendall(sock, echo)

            pouring = [loop.create_task(pour(sock)) for sock in clients.socks[1:]]
            for _ in range(400):
                await asyncio.sleep(0.005)
                largest = max(largest, clients.registry.unread_bytes.total)
                if clients.registry.counts["clients", "unread"]:
                    break
            for connection in clients.front.admission.members:
                assert len(connection._slots) <= 64
            # Above the limit by at most what one write added before the largest holder was aborted.
            assert largest <= 20_000 + QUANTUM * 60_100 and clients.registry.counts["clients", "unread"]
            clients.socks[0].send(enqueue())
            assert await clients.receive(clients.socks[0]) == b"+OK\r\n"
            for task in pouring:
                task.cancel()
            await asyncio.gather(*pouring, return_exceptions=True)

    run(main())


def test_a_user_beyond_its_limit_is_rejected_on_both_fronts_and_others_are_not() -> None:
    async def main() -> None:
        access = Access({"rossi": User("p"), "bianchi": User("p")})
        settings = replace(SETTINGS, most_per_user=1)
        async with clients_connected(3, settings) as clients:
            clients.front.access = access
            answers = []
            for sock, user in zip(clients.socks, (b"rossi", b"rossi", b"bianchi"), strict=True):
                sock.send(command(b"AUTH", user, b"p"))
                answers.append((await clients.receive(sock))[:11])
            assert answers == [b"+OK\r\n", b"-MAXCLIENTS", b"+OK\r\n"]
            clients.socks[0].close()
            await until(lambda: clients.registry.open == 2)
            clients.socks[1].send(command(b"AUTH", b"rossi", b"p"))  # its slot is free again
            assert await clients.receive(clients.socks[1]) == b"+OK\r\n"

        front = AmqpClients(
            lambda one: None, ("note",), (GRADE,), 9, access, registry=Registry(settings)
        )  # fmt: skip
        codes = []
        for _ in range(2):
            connection, transport = AmqpConnection(front), Recorder()
            connection.connection_made(transport)
            receive(connection, codec.PROTOCOL_HEADER)
            login = "\0rossi\0p"
            receive(connection, codec.method(0, "connection.start-ok", mechanism="PLAIN", response=login))
            codes.append([(name, code) for _, name, code in decode_methods(transport.take_written())][1])
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


def test_heartbeats_need_no_timer_per_connection_and_dead_peers_are_detected() -> None:
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
        assert len(live) <= 4  # the wheel's and those of this test

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


def test_heartbeats_are_spread_evenly() -> None:
    async def main() -> None:
        front = AmqpClients(lambda one: None, ("note",), (GRADE,), 2000, registry=Registry(SETTINGS))
        phases = Counter(int(front.heartbeat_phase() * 10) for _ in range(1000))
        assert len(phases) == 10 and max(phases.values()) <= 103

    run(main())


def test_a_publisher_with_many_messages_takes_turns() -> None:
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


def test_reload_closes_no_connection_and_sigterm_closes_all_with_exit_0(tmp_path: Path) -> None:
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


def test_the_sender_keeps_descriptors_for_itself_when_the_system_allows_fewer(tmp_path: Path) -> None:
    """In a reconnect storm beyond the limit, status and calls to next hops still work."""

    async def main() -> None:
        async with process(tmp_path, 1000, 100) as (_, port, status, hop):
            storm = [await asyncio.open_connection(HOST, port) for _ in range(200)]
            for _, writer in storm:
                writer.write(command(b"PING"))
            report = (await fetch_status(status))["clients"]
            assert report["open"] <= 100 - descriptors.RESERVED_DESCRIPTORS
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


def test_accepts_of_one_turn_do_not_use_reserved_descriptors() -> None:
    """Displaced connections kept their descriptors until the next turn: 59 were open, 52 are allowed."""

    async def main() -> None:
        most = 35
        async with clients_connected(most + MAX_LINGERING, platform_settings(most)) as clients:
            assert clients.registry.open == most + MAX_LINGERING
            adopt, seen = clients.registry.adopt, list[int]()

            def counting(*args: Any) -> ConnectionTransport:
                transport = adopt(*args)
                seen.append(clients.registry.open)
                return transport

            clients.registry.adopt = counting  # type: ignore[assignment]
            crowd = [
                socket.create_connection((HOST, clients.front.port)) for _ in range(3 * ACCEPTS_PER_TURN)
            ]
            await until(lambda: len(seen) == len(crowd))
            assert max(seen) <= most + MAX_LINGERING + 1, "each new connection must displace one"
            for sock in crowd:
                sock.close()

    run(main())


def test_check_reports_which_limit_to_raise(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "many.toml"
    file.write_text(FILE.format(sockets=30_000, resp=1, status=2, hop=3))
    monkeypatch.setattr(descriptors, "limits", lambda: (1024, 20_000))
    assert cli.main(["check", str(file)]) == 1
    answers = capsys.readouterr()
    assert "30000 descriptors are wanted, this process may have 20000: raise" in answers.err
    monkeypatch.setattr(descriptors, "limits", lambda: (1024, 30_000))
    assert cli.main(["check", str(file)]) == 0


def test_metrics_match_the_status_page() -> None:
    async def main() -> None:
        async with clients_connected(60) as clients:
            report = ConnectionMetrics(clients.registry, {"resp": clients.front}, None).report()
            body = json.loads(encode("i", Snapshot(Counter(), 0, 0, 1), 1, 2, None, client_metrics(report)))
            metrics = {m["name"]: m for m in body["resourceMetrics"][0]["scopeMetrics"][0]["metrics"]}
            points = metrics["mountgauge.clients.connections"]["gauge"]["dataPoints"]
            by = {p["attributes"][1]["value"]["stringValue"]: p["asInt"] for p in points}
            assert by["open"] == by["idle"] == by["parked"] == "60"
            assert metrics["mountgauge.clients.fared"]["sum"]["dataPoints"][0]["asInt"] == "60"

    run(main())
