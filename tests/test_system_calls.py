"""Failures of system calls that Linux documents, at each peer: see `docs/faults-system-calls.md`."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from random import Random

import orjson
import pytest

from mountgauge.amqp.next_hops import AmqpNextHops
from mountgauge.clients import Clients
from mountgauge.connecting import SHORTAGE_RETRY_S
from mountgauge.connections.acceptor import ACCEPT_PAUSE_S
from mountgauge.connections.registry import Registry
from mountgauge.connections.settings import platform_settings
from mountgauge.console.calls import Call as ConsoleCall
from mountgauge.console.calls import Reply
from mountgauge.console.listener import Console
from mountgauge.core.config import Address
from mountgauge.core.ports import Accepted, AttemptResult, MessageOutcome, Status, Submission
from mountgauge.http1 import Client, Message, request, response
from mountgauge.next_hops import HttpNextHops
from mountgauge.notices import Notices
from mountgauge.platform.discovery import TransportMap
from rillspindle.interface import Outcome
from tests.connections.test_hard import SETTINGS
from tests.crossings.test_attempts import Peer, kept
from tests.descriptors import no_descriptors_left
from tests.helper import HOST, Broker, HttpHop, HttpServer, SenderHarness, until
from tests.system_call_faults import (
    BROKEN,
    LOCAL_SHORTAGES,
    UNREACHABLE,
    Faults,
    FaultyCalls,
    FaultyLoop,
    errno_name,
    run_faulty,
)
from tests.test_clients import command, enqueue
from tests.test_next_hops import Owner, call
from tests.test_peers import NAMES, bounds, listing
from tests.test_peers import Owner as MapOwner

ACCEPT_ERRORS = (
    errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EPROTO,
    errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH,
)  # fmt: skip
PING = command(b"PING")


# Clients


class Front:
    """A RESP2 front on faulty system calls that accepts every message."""

    def __init__(self, faults: Faults, crowd: bool) -> None:
        settings = SETTINGS if crowd else platform_settings(50)
        self.registry = Registry(settings, FaultyCalls(faults))
        self.accepted: list[str] = []
        self.front = Clients(self._submit, ("note",), settings.most, registry=self.registry)
        self.socks: list[socket.socket] = []

    def _submit(self, one: Submission) -> None:
        self.accepted.append(one.id)
        asyncio.get_running_loop().call_soon(one.answer, Accepted())

    async def client(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        self.socks.append(sock)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.front.port))
        return sock

    def close(self) -> None:
        for sock in self.socks:
            sock.close()
        self.front.stop_listening()
        self.registry.close()


@contextlib.asynccontextmanager
async def listening_front(faults: Faults, crowd: bool) -> AsyncIterator[Front]:
    front = Front(faults, crowd)
    await front.front.listen(HOST, 0)
    try:
        yield front
    finally:
        front.close()


async def receive_bytes(sock: socket.socket, size: int) -> bytes:
    """Receive `size` bytes, or fewer if the connection ends."""
    received, loop = b"", asyncio.get_running_loop()
    while len(received) < size and (data := await loop.sock_recv(sock, size - len(received))):
        received += data
    return received


@pytest.mark.parametrize("crowd", [False, True])
@pytest.mark.parametrize("error", ACCEPT_ERRORS, ids=errno_name)
def test_clients_are_accepted_after_each_failure(error: int, crowd: bool) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with listening_front(faults, crowd) as front:
            for _ in range(2):
                faults.fail("accept", error, error)  # the second time with the reserve descriptor
                sock = await front.client()
                await loop.sock_sendall(sock, PING)
                assert await receive_bytes(sock, 7) == b"+PONG\r\n"
            assert faults.count["accept"] == 4

    run_faulty(main)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS], ids=errno_name)
def test_accept_is_not_tried_in_each_turn_of_the_loop_during_a_lasting_shortage(error: int) -> None:
    """The listening socket stays readable all the time, so accepting pauses."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with listening_front(faults, crowd=False) as front:
            faults.fail_always("accept", error)
            began = loop.time()
            sock = await front.client()
            await loop.sock_sendall(sock, PING)
            await until(lambda: faults.count["accept"] >= 6)
            assert faults.count["accept"] <= 2 * ((loop.time() - began) / ACCEPT_PAUSE_S + 1)
            faults.fail_always("accept", None)
            assert await receive_bytes(sock, 7) == b"+PONG\r\n"

    run_faulty(main)


@pytest.mark.parametrize("crowd", [False, True])
def test_clients_are_served_over_interrupted_short_reads_and_writes(crowd: bool) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with listening_front(faults, crowd) as front:
            faults.max_bytes |= {"read": 7, "write": 3}
            faults.fail("read", *[errno.EINTR] * 9)
            faults.fail("write", *[errno.EINTR] * 9)
            sock = await front.client()
            data = b"".join(enqueue(b"m%d" % n) for n in range(20)) + command(b"PING", b"x" * 50)
            await loop.sock_sendall(sock, data)
            assert await receive_bytes(sock, 157) == b"+OK\r\n" * 20 + b"$50\r\n" + b"x" * 50 + b"\r\n"
            assert front.accepted == [f"m{n}" for n in range(20)]
            assert faults.count["read"] == faults.count["write"] == 9

    run_faulty(main)


@pytest.mark.parametrize("crowd", [False, True])
@pytest.mark.parametrize("how", ["read", "write", "rest of a write"])
@pytest.mark.parametrize("error", BROKEN, ids=errno_name)
def test_a_broken_client_connection_does_not_affect_the_others(error: int, how: str, crowd: bool) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with listening_front(faults, crowd) as front:
            sock, other = await front.client(), await front.client()
            for one in (sock, other):
                await loop.sock_sendall(one, PING)
                assert await receive_bytes(one, 7) == b"+PONG\r\n"
            if how == "rest of a write":
                faults.bytes_before_failure["write"], faults.max_bytes["write"] = 2, 2
            faults.fail(how.split()[-1], error)
            await loop.sock_sendall(sock, enqueue(b"a"))
            await until(lambda: faults.count and front.registry.open == 1)
            assert front.accepted == ([] if how == "read" else ["a"])
            faults.max_bytes.clear()
            await loop.sock_sendall(other, enqueue(b"b"))
            assert await receive_bytes(other, 5) == b"+OK\r\n"

    run_faulty(main)


# Endpoints, over both protocols

Hops = HttpNextHops | AmqpNextHops


def next_hops(wire: str, owner: Owner, limit: float = 2.0) -> Hops:
    if wire == "http":
        return HttpNextHops(owner, limit, 5.0, 8)
    return AmqpNextHops(owner, limit, 60.0, 8, {})


def stand_in(wire: str) -> HttpHop | Broker:
    return HttpHop() if wire == "http" else Broker()


async def finished(owner: Owner) -> dict[int, AttemptResult]:
    await until(lambda: owner.done)
    return owner.done.pop()[1]


@pytest.mark.parametrize("wire", ["http", "amqp"])
@pytest.mark.parametrize("step", ["socket", "connect", "connected"])
@pytest.mark.parametrize("error", LOCAL_SHORTAGES, ids=errno_name)
def test_a_passing_shortage_costs_no_attempt(error: int, step: str, wire: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        hop, owner = stand_in(wire), Owner()
        await hop.start()
        hops = next_hops(wire, owner, 0.2)
        faults.fail(step, *[error] * 6)  # for longer than the connect timeout
        hops.start(call(hop.port, limit=9.0))
        assert (await finished(owner))[0] == AttemptResult(Outcome.OK)
        assert faults.count[step] == 6 and hops.opened == 1 and len(hop.calls) == 1
        hops.close()
        await hop.stop()

    run_faulty(main)


@pytest.mark.parametrize("wire", ["http", "amqp"])
@pytest.mark.parametrize("end", ["its time", "a cancel"])
@pytest.mark.parametrize("error", LOCAL_SHORTAGES, ids=errno_name)
def test_a_lasting_shortage_is_no_failure_of_the_endpoint(error: int, end: str, wire: str) -> None:
    """The call has not been sent and finishes once, and connecting is not tried in each turn of the loop."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        hop, owner = stand_in(wire), Owner()
        await hop.start()
        hops = next_hops(wire, owner, 0.2)
        faults.fail_always("socket", error)
        began, one = loop.time(), call(hop.port, limit=0.5 if end == "its time" else 5.0)
        hops.start(one)
        if end == "a cancel":
            await until(lambda: faults.count["socket"] >= 2)
            hops.cancel(one)
        found = await finished(owner)
        assert found.get(0, AttemptResult(Outcome.MOOT)) == AttemptResult(Outcome.MOOT)
        assert 2 <= faults.count["socket"] <= (loop.time() - began) / SHORTAGE_RETRY_S + 2
        tried = faults.count["socket"]
        await asyncio.sleep(3 * SHORTAGE_RETRY_S)
        assert faults.count["socket"] <= tried + 1, "the connection is no longer needed"
        faults.fail_always("socket", None)
        hops.start(call(hop.port, limit=5.0))
        assert (await finished(owner))[0] == AttemptResult(Outcome.OK)
        hops.close()
        await hop.stop()

    run_faulty(main)


@pytest.mark.parametrize("wire", ["http", "amqp"])
@pytest.mark.parametrize("step", ["connect", "connected"])
@pytest.mark.parametrize("error", UNREACHABLE, ids=errno_name)
def test_a_call_to_an_unreachable_endpoint_fails_immediately(error: int, step: str, wire: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        hop, owner = stand_in(wire), Owner()
        await hop.start()
        hops = next_hops(wire, owner)
        faults.fail_always(step, error)
        hops.start(call(hop.port, limit=5.0))
        assert (await finished(owner))[0] == AttemptResult(Outcome.CONNECT_FAILED)
        assert faults.count[step] == 1 and not hop.calls
        hops.close()
        await hop.stop()

    run_faulty(main)


def test_without_a_free_descriptor_an_idle_connection_is_closed_for_the_call() -> None:
    """The shortage is real: the process's limit is lowered to the descriptors in use."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        first, owner = Peer(), Owner()
        hops = HttpNextHops(owner, 2.0, 60.0, 8)
        idle = await kept(first, hops, owner)
        second = Peer()
        with no_descriptors_left():
            hops.start(call(second.port, limit=5.0))
            await until(lambda: hops._pool.is_empty and hops._pool.open == 1)
            assert await loop.sock_recv(idle, 1) == b"", "the idle connection was closed"
            idle.close()
            sock = await second.accept()
            await second.call(sock)
            sock.send(response(200, "OK", {}, b""))
            assert await finished(owner) == {0: AttemptResult(Outcome.OK)}
        hops.close()
        for one in (sock, first.listener, second.listener):
            one.close()

    run_faulty(main)


def test_amqp_an_idle_connection_is_closed_for_the_call() -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        owner, brokers = Owner(), [Broker(), Broker()]
        hops = AmqpNextHops(owner, 2.0, 60.0, 8, {})
        for number, broker in enumerate(brokers):
            await broker.start()
            one = call(broker.port, limit=5.0)
            one.hop = one.hop._replace(id=f"b{number}")
            if number:
                faults.fail("socket", errno.EMFILE)
            hops.start(one)
            assert (await finished(owner))[0] == AttemptResult(Outcome.OK)
        assert list(hops._links) == ["b1"]
        hops.close()
        for broker in brokers:
            await broker.stop()

    run_faulty(main)


@pytest.mark.parametrize("wire", ["http", "amqp"])
@pytest.mark.parametrize("error", BROKEN, ids=errno_name)
def test_a_connection_that_breaks_during_a_call_is_a_reset_and_not_a_timeout(error: int, wire: str) -> None:
    """The call was sent and may have run. ETIMEDOUT from the system is no timeout of the call."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        hop, owner = stand_in(wire), Owner()
        hop.script = ["ok", "slow"]
        await hop.start()
        hops = next_hops(wire, owner)
        hops.start(call(hop.port, limit=5.0))
        assert (await finished(owner))[0] == AttemptResult(Outcome.OK)
        if wire == "http":
            hop.script = ["silent"]
        hops.start(call(hop.port, limit=5.0))
        await until(lambda: len(hop.calls) == 2)
        faults.fail("read", error)
        await hop.stop()  # the connection becomes readable, and the read fails
        assert (await finished(owner))[0].outcome is Outcome.RESET
        hops.close()

    run_faulty(main)


@pytest.mark.parametrize("wire", ["http", "amqp"])
@pytest.mark.parametrize("written", [0, 20])
@pytest.mark.parametrize("error", BROKEN, ids=errno_name)
def test_a_call_whose_last_byte_was_not_sent_never_ran(error: int, written: int, wire: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        hop, owner = stand_in(wire), Owner()
        await hop.start()
        hops = next_hops(wire, owner)
        hops.start(call(hop.port, limit=5.0))
        assert (await finished(owner))[0] == AttemptResult(Outcome.OK)
        faults.bytes_before_failure["write"] = written
        faults.fail_always("write", error)
        hops.start(call(hop.port, limit=5.0))
        assert (await finished(owner))[0].outcome is Outcome.CONNECT_FAILED
        assert len(hop.calls) == 1
        hops.close()
        await hop.stop()

    run_faulty(main)


@pytest.mark.parametrize("written", [0, 20])
def test_amqp_a_complete_publish_may_have_run_when_the_next_one_is_cut_off(written: int) -> None:
    """They share a connection. Only the publish whose last byte was not sent certainly never ran."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        hop, owner = Broker(), Owner()
        hop.script = ["ok", "ok", "silent"]
        await hop.start()
        hops = AmqpNextHops(owner, 2.0, 60.0, 8, {})
        pair = [call(hop.port, limit=5.0) for _ in range(2)]  # opens both channels
        for one in pair:
            hops.start(one)
        await until(lambda: len(owner.done) == 2)
        owner.done.clear()
        complete, cut_off = call(hop.port, limit=5.0), call(hop.port, limit=5.0)
        hops.start(complete)
        await until(lambda: len(hop.calls) == 3)
        faults.bytes_before_failure["write"] = written
        faults.fail_always("write", errno.EHOSTUNREACH)
        hops.start(cut_off)
        await until(lambda: len(owner.done) == 2)
        found = {one: results[0].outcome for one, results in owner.done}
        assert found == {complete: Outcome.RESET, cut_off: Outcome.CONNECT_FAILED}
        hops.close()
        await hop.stop()

    run_faulty(main)


@pytest.mark.parametrize("wire", ["http", "amqp"])
def test_calls_succeed_over_interrupted_short_reads_and_writes(wire: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        hop, owner = stand_in(wire), Owner()
        await hop.start()
        hops = next_hops(wire, owner)
        faults.max_bytes |= {"read": 1, "write": 3}
        faults.fail("connect", errno.EINTR)
        faults.fail("read", *[errno.EINTR] * 5)
        faults.fail("write", *[errno.EINTR] * 5)
        for _ in range(2):
            hops.start(call(hop.port, limit=9.0))
            assert (await finished(owner))[0] == AttemptResult(Outcome.OK)
        assert hops.opened == 1 and [len(body) for *_, body in hop.calls] == [1, 1]
        hops.close()
        await hop.stop()

    run_faulty(main)


@pytest.mark.parametrize("protocol", ["http", "amqp", "mixed"])
def test_messages_survive_a_shortage(tmp_path: Path, protocol: str) -> None:
    """A message with enough time is delivered by one call. One without has not run, and is deferred."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with SenderHarness(tmp_path, protocol) as world:
            faults.fail_always("socket", errno.EMFILE)
            assert await world.client.submit("long", "once", key="a") is None
            assert await world.client.submit("short", "once", remaining_s=1.5, key="b") is None
            await until(lambda: world.runtime.sender.counts["end", "deferred"])
            assert faults.count["socket"] > 1
            faults.fail_always("socket", None)
            assert await world.client.outcome("short") == "deferred"
            assert await world.client.outcome("long") == "delivered"
            assert [one for _, one, *_ in world.calls] == ["long"]
            assert not world.runtime.sender.counts["attempt", "connect_failed"]

    run_faulty(main)


# Discovery


class Discovery(HttpServer):
    """Records the number of open calls at each request."""

    def __init__(self, reply: Callable[[Message], Awaitable[bytes | None]]) -> None:
        super().__init__(reply)
        self.open_calls: list[int] = []


@contextlib.asynccontextmanager
async def discovery_client(answer: bytes) -> AsyncIterator[tuple[Discovery, MapOwner, TransportMap]]:
    """A client of a discovery that gives this answer: at once, or to a watch after 60 s."""

    async def reply(message: Message) -> bytes | None:
        assert message.start is not None
        server.open_calls.append(len(transport_map._watch.open_calls))
        if "wait=" in message.start[1] and not message.start[1].endswith("wait=1"):  # a watch
            await asyncio.sleep(60)
        return answer

    server, owner = Discovery(reply), MapOwner(-1)
    await server.start()
    transport_map = TransportMap(owner, Address(HOST, server.port), NAMES, bounds(10.0), Random(1))
    yield server, owner, transport_map
    transport_map.close()
    await server.stop()


@pytest.mark.parametrize("error", LOCAL_SHORTAGES, ids=errno_name)
def test_a_local_shortage_is_no_failure_of_discovery(error: int) -> None:
    """It increases no back-off: the list is requested as soon as a connection is possible."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with discovery_client(listing(4, True)) as (_, owner, transport_map):
            faults.fail("socket", *[error] * 6)
            transport_map.watch(True)
            await until(lambda: owner.version == 4)
            assert faults.count["socket"] == 6 and not transport_map._watch.failures
            assert loop.delays.count(SHORTAGE_RETRY_S) == 6

    run_faulty(main)


@pytest.mark.parametrize("error", BROKEN, ids=errno_name)
def test_a_watch_is_repeated_after_its_connection_broke(error: int) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with discovery_client(listing(4, True)) as (server, owner, transport_map):
            faults.fail("read", error)
            transport_map.watch(True)
            await until(lambda: owner.version == 4)
            assert faults.count["read"] == 1 and server.connections == 2
            assert server.open_calls[:2] == [1, 1], "the first call is no longer open"

    run_faulty(main)


def test_a_list_is_received_over_interrupted_short_reads_and_writes() -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with discovery_client(listing(4, True)) as (server, owner, transport_map):
            faults.max_bytes |= {"read": 1, "write": 1}
            faults.fail("connect", errno.EINTR)
            faults.fail("read", *[errno.EINTR] * 5)
            transport_map.watch(True)
            await until(lambda: owner.version == 4)
            assert server.connections == 1

    run_faulty(main)


# Notices, and every other exchange

ACKNOWLEDGED = response(204, "No Content", {}, b"")


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EADDRNOTAVAIL], ids=errno_name)
def test_a_notice_is_sent_as_soon_as_a_shortage_ends(error: int) -> None:
    """A back-off that doubled with each failure would exceed the time within which an outcome is due."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async def reply(message: Message) -> bytes:
            return ACKNOWLEDGED

        server, acknowledged = HttpServer(reply), list[str]()
        await server.start()
        notices = Notices(Address(HOST, server.port))
        faults.fail("socket", *[error] * 48)
        notices.report_outcome("a", MessageOutcome(Status.DEFERRED), lambda: acknowledged.append("a"))
        await until(lambda: acknowledged)
        assert faults.count["socket"] == 48 and max(loop.delays) <= SHORTAGE_RETRY_S
        notices.close()
        await server.stop()

    run_faulty(main)


@pytest.mark.parametrize("call", ["read", "write", "connect", "connected"])
@pytest.mark.parametrize("error", BROKEN, ids=errno_name)
def test_a_notice_is_sent_again_after_its_connection_broke(error: int, call: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async def reply(message: Message) -> bytes:
            return ACKNOWLEDGED

        server, acknowledged = HttpServer(reply), list[str]()
        await server.start()
        notices = Notices(Address(HOST, server.port))
        faults.fail(call, error)
        notices.report_outcome("a", MessageOutcome(Status.DEFERRED), lambda: acknowledged.append("a"))
        await until(lambda: acknowledged)
        assert faults.count[call] == 1 and acknowledged == ["a"]
        notices.close()
        await server.stop()

    run_faulty(main)


@pytest.mark.parametrize("call", ["read", "write", "connect", "connected"])
def test_only_a_missing_answer_is_a_timeout(call: str) -> None:
    """A follower leaves a relay that breaks the connection, but repeats its request to one that is silent."""

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async def reply(message: Message) -> bytes:
            await asyncio.sleep(60)
            return b""

        server = HttpServer(reply)
        await server.start()
        client = Client(HOST, server.port)
        data = request("GET", "/", HOST, {})
        with pytest.raises(TimeoutError):
            await client.exchange(data, 0.05)
        faults.fail(call, errno.ETIMEDOUT)
        exchange = asyncio.ensure_future(client.exchange(data, 5.0))
        if call == "read":
            await until(lambda: server.connections == 2)
            await server.stop()
        with pytest.raises(ConnectionError) as raised:
            await exchange
        assert not isinstance(raised.value, TimeoutError) and faults.count[call] == 1
        client.close()
        await server.stop()

    run_faulty(main)


# Console


@contextlib.asynccontextmanager
async def console(loop: FaultyLoop, reply: Reply | OSError) -> AsyncIterator[Address]:
    """A console whose calls have this reply, or raise this error."""

    async def carry_out(call: ConsoleCall) -> Reply:
        if isinstance(reply, OSError):
            raise reply
        return reply

    served = Console(carry_out)
    server = await loop.create_faulty_server(served.make_protocol)
    yield Address(HOST, int(server.sockets[0].getsockname()[1]))
    served.close()
    server.close()


async def fetch_ready(loop: FaultyLoop, address: Address) -> tuple[int, dict[str, object]]:
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, (address.host, address.port))
        await loop.sock_sendall(sock, b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await receive_bytes(sock, 1 << 16)
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), orjson.loads(body)


@pytest.mark.parametrize("error", ACCEPT_ERRORS, ids=errno_name)
def test_the_console_answers_after_each_failure_to_accept(error: int) -> None:
    """The console uses asyncio's server, which pauses for a second or reports the error to the loop, and
    continues.
    """

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with console(loop, Reply(200, "ready")) as address:
            faults.fail("accept", error)
            assert await fetch_ready(loop, address) == (200, {"ok": True, "says": "ready"})
            assert faults.count["accept"] == 1
        loop.unhandled.clear()  # asyncio reports these errors to the loop

    run_faulty(main)


def test_the_console_answers_over_interrupted_short_reads_and_writes() -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with console(loop, Reply(200, "ready")) as address:
            faults.max_bytes |= {"read": 1, "write": 1}
            faults.fail("read", *[errno.EINTR] * 5)
            faults.fail("write", *[errno.EINTR] * 5)
            assert await fetch_ready(loop, address) == (200, {"ok": True, "says": "ready"})

    run_faulty(main)


@pytest.mark.parametrize("call", ["read", "write"])
@pytest.mark.parametrize("error", BROKEN, ids=errno_name)
def test_a_broken_connection_to_the_console_does_not_affect_the_next(error: int, call: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with console(loop, Reply(200, "ready")) as address:
            faults.fail(call, error)
            with contextlib.suppress(OSError, IndexError):
                await fetch_ready(loop, address)
            assert faults.count[call] == 1
            assert (await fetch_ready(loop, address))[0] == 200

    run_faulty(main)


def test_a_timeout_from_the_system_is_an_error_of_the_console_call() -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        async with console(loop, TimeoutError(errno.ETIMEDOUT, "Connection timed out")) as address:
            status, answer = await fetch_ready(loop, address)
            assert status == 503 and str(answer["says"]).startswith("failed: TimeoutError")

    run_faulty(main)
