"""Outcomes of calls over HTTP by the protocol's table, against a stand-in that gives each kind of answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import orjson
import pytest

from mountgauge.core.ports import AttemptResult, Call, CallItem, NextHop
from mountgauge.http1 import Message, response
from mountgauge.next_hops import HttpNextHops
from rillspindle.interface import Entry, Outcome
from tests.helper import HOST, HttpServer, run, until

Reply = Callable[[Message], Awaitable[bytes | None]]


class Owner:
    """A stand-in for the core, which admits all items or none and records the results."""

    def __init__(self, admits: bool = True) -> None:
        self.admits = admits
        self.done: list[tuple[Call, dict[int, AttemptResult]]] = []

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        return items if self.admits else []

    def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
        self.done.append((call, results))


def call(port: int, *bodies: bytes, limit: float = 1.0) -> Call:
    now = asyncio.get_running_loop().time()
    items = [
        CallItem(n, 0, f"id{n}", "key", "note", body, now + 60) for n, body in enumerate(bodies or (b"x",))
    ]
    return Call(NextHop("h", HOST, port, Entry(2, 0, 0, 0, 7, 0, b"h")), items, now, now + limit)


async def outcome(reply: Reply, *bodies: bytes, limit: float = 1.0) -> dict[int, AttemptResult]:
    server, owner = HttpServer(reply), Owner()
    await server.start()
    hops = HttpNextHops(owner, 0.5, 5.0, 8)
    hops.start(call(server.port, *bodies, limit=limit))
    await until(lambda: owner.done)
    assert hops.in_flight == 0
    hops.close()
    await server.stop()
    return owner.done[0][1]


@pytest.mark.parametrize(("data", "result"), [
    (response(200, "OK", {}, b"any"), AttemptResult(Outcome.OK)),
    # the status line alone means that the message was delivered
    (b"HTTP/1.1 200 OK\r\n", AttemptResult(Outcome.OK)),
    (response(500, "E", {}, b""), AttemptResult(Outcome.ERROR)),
    (response(429, "E", {"Retry-After": "0.35"}, b""), AttemptResult(Outcome.FULL, required_wait_s=0.35)),
    (response(503, "E", {}, b""), AttemptResult(Outcome.FULL)),
    (response(503, "E", {"Retry-After": "1.5"}, b""), AttemptResult(Outcome.FULL, required_wait_s=1.5)),
    (response(503, "E", {"X-Over-Slots": "1"}, b""), AttemptResult(Outcome.MOOT, note=1)),
    (response(504, "E", {}, b""), AttemptResult(Outcome.MOOT)),
    (response(410, "E", {}, b""), AttemptResult(Outcome.MOOT, finished=True)),
    (b"HTTP/1.1 2", AttemptResult(Outcome.RESET)),
    (b"junk\r\n", AttemptResult(Outcome.ERROR)),  # it has read the call, so it is up: no outage
    (b"HTTP/1.1 503 E\r\nRetry-", AttemptResult(Outcome.RESET)),  # cut off: a wait may have followed
    (None, AttemptResult(Outcome.RESET)),
])  # fmt: skip
def test_each_answer_has_the_outcome_of_the_protocols_table(
    data: bytes | None, result: AttemptResult
) -> None:
    async def reply(message: Message) -> bytes | None:
        assert message.start is not None and message.start[:2] == ("POST", "/hook")
        assert message.headers["x-trace-id"] == "id0" and message.headers["idempotency-key"] == "key"
        assert 0 < int(message.headers["x-expires-in-ms"]) <= 1000
        return data

    class ClosingServer(HttpServer):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nx")
            writer.write(data or b"")
            await writer.drain()
            writer.close()

    async def main() -> None:
        complete = data is not None and data.endswith((b"\r\n\r\n", b"any"))
        if complete:
            assert await outcome(reply) == {0: result}
            return
        server, owner = ClosingServer(reply), Owner()
        await server.start()
        hops = HttpNextHops(owner, 0.5, 5.0, 8)
        hops.start(call(server.port))
        await until(lambda: owner.done)
        assert owner.done[0][1] == {0: result}
        await server.stop()

    run(main())


GOOD = response(200, "OK", {}, b"any")
OK, ERROR = Outcome.OK, Outcome.ERROR


@pytest.mark.parametrize(("data", "single", "batch"), [
    (b"\x00\x01 noise" * 40 + b"\r\n", ERROR, ERROR),
    (b"HTTP/1.1 200 OK\r\n\x07\x07\r\n\r\n", OK, ERROR),  # the status line of a single call is valid
    (b"HTTP/1.1 503 Full\r\nno colon\r\n", ERROR, ERROR),
    (b"HTTP/1.1 410 Gone\r\nContent-Length: x\r\n\r\n", ERROR, ERROR),
    (b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n", OK, ERROR),
    (b"HTTP/1.1 500 E\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 999, ERROR, ERROR),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nshort", OK, ERROR),  # the remainder is never sent
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1_0\r\n", OK, ERROR),
    (b"HTTP/1.1 500 E\r\nX-Never: ends", ERROR, ERROR),
    (b"HTTP/1.1 099 Early\r\n\r\n", ERROR, ERROR),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 P\r\n\r\n" + GOOD, OK, ERROR),
    (GOOD + b"\x00noise\r\n\r\n", OK, ERROR),  # the answer was complete before the noise
    (GOOD + GOOD, OK, ERROR),
])  # fmt: skip
def test_a_call_with_an_unreadable_answer_may_have_run_and_is_no_outage(
    data: bytes, single: Outcome, batch: Outcome
) -> None:
    """The connection stays open after such an answer, and the call must still finish soon."""

    async def reply(message: Message) -> bytes:
        return data

    async def main() -> None:
        began = asyncio.get_running_loop().time()
        assert await outcome(reply, limit=5.0) == {0: AttemptResult(single)}
        results = await outcome(reply, b"a", b"b", limit=5.0)
        assert results == {0: AttemptResult(batch), 1: AttemptResult(batch)}
        assert asyncio.get_running_loop().time() - began < 2.0

    run(main())


def test_an_unsolicited_answer_is_not_taken_for_that_of_the_next_call() -> None:
    """A second copy of an answer may be unread when its connection is reused."""

    async def main() -> None:
        count = 0

        class RepeatingServer(HttpServer):
            async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                nonlocal count
                while await reader.readuntil(b"\r\n\r\nx"):
                    count += 1
                    writer.write(GOOD if count == 1 else response(500, "E", {}, b""))
                    await writer.drain()
                    if count == 1:
                        await asyncio.sleep(0.05)
                        writer.write(GOOD)
                        written.set()

        server, owner, written = RepeatingServer(lambda m: asyncio.sleep(0, None)), Owner(), asyncio.Event()
        await server.start()
        hops = HttpNextHops(owner, 0.5, 5.0, 8)
        hops.start(call(server.port))
        await written.wait()  # in this turn of the event loop the copy has arrived and is not read yet
        hops.start(call(server.port))
        await until(lambda: len(owner.done) == 2)
        assert [results[0].outcome for _, results in owner.done] == [OK, Outcome.ERROR]
        assert server.connections == 2
        hops.close()
        await server.stop()

    run(main())


def test_the_answer_to_a_batch_gives_a_result_for_each_item() -> None:
    async def reply(message: Message) -> bytes:
        lines = orjson.loads(message.body)
        assert message.start is not None and message.start[1] == "/hook/batch"
        assert lines[0] == {"id": "id0", "key": "key", "body": "AP8="}
        states = ["ok", "error", "later", "gone", "exhausted"]
        body = orjson.dumps([{"id": one["id"], "state": s} for one, s in zip(lines, states, strict=False)])
        return response(200, "OK", {"Retry-After": "0.2"}, body)

    async def main() -> None:
        results = await outcome(reply, b"\x00\xff", b"1", b"2", b"3", b"4", b"5")
        assert [results[n].outcome for n in range(6)] == [
            Outcome.OK,
            Outcome.ERROR,
            Outcome.FULL,
            Outcome.MOOT,
            Outcome.MOOT,
            Outcome.ERROR,
        ]
        assert [results[n].finished for n in range(6)] == [False, False, False, True, False, False]
        assert all(result.required_wait_s == 0.2 for result in results.values())

    run(main())


def test_a_large_batch_sends_only_the_items_that_fit_into_a_call() -> None:
    async def reply(message: Message) -> bytes:
        assert len(message.body) <= 64 * 1024
        lines = orjson.loads(message.body)
        return response(200, "OK", {}, orjson.dumps([{"id": one["id"], "state": "ok"} for one in lines]))

    async def main() -> None:
        results = await outcome(reply, *[b"x" * 20_000] * 4)
        assert results == {
            0: AttemptResult(Outcome.OK),
            1: AttemptResult(Outcome.OK),
        }  # the others were not sent

    run(main())


def test_a_refused_connection_is_a_failure_to_connect() -> None:
    async def main() -> None:
        server, owner = HttpServer(lambda m: asyncio.sleep(0, b"")), Owner()
        await server.start()
        await server.stop()
        hops = HttpNextHops(owner, 0.5, 5.0, 8)
        hops.start(call(server.port))
        await until(lambda: owner.done)
        assert owner.done[0][1] == {0: AttemptResult(Outcome.CONNECT_FAILED)}

    run(main())


def test_a_timeout_closes_the_connection_so_that_no_late_answer_reaches_the_next_call() -> None:
    async def main() -> None:
        slow = [True]

        async def reply(message: Message) -> bytes:
            if slow.pop() if slow else False:
                await asyncio.sleep(0.3)
                return response(500, "late", {}, b"")
            return response(200, "OK", {}, b"")

        server, owner = HttpServer(reply), Owner()
        await server.start()
        hops = HttpNextHops(owner, 0.5, 5.0, 8)
        hops.start(call(server.port, limit=0.1))
        await until(lambda: owner.done)
        assert owner.done[0][1] == {0: AttemptResult(Outcome.TIMEOUT)}
        for _ in range(3):
            hops.start(call(server.port))
            await asyncio.sleep(0.15)
        assert [results[0].outcome for _, results in owner.done[1:]] == [Outcome.OK] * 3
        assert server.connections == 2
        await server.stop()

    run(main())


def test_a_reset_on_a_reused_connection_is_marked_stale_and_limits_further_reuse() -> None:
    """Partners close idle connections long before the time that they declare. Each reuse of such a connection
    was reset, which was taken for an outage.
    """

    async def main() -> None:
        class EarlyClosingServer(HttpServer):
            async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                began = 0.0
                for last in (False, True):
                    await reader.readuntil(b"\r\n\r\nx")
                    if last and asyncio.get_running_loop().time() - began > 0.05:
                        return  # the connection was idle for too long
                    began = asyncio.get_running_loop().time()
                    writer.write(GOOD)

        server, owner = EarlyClosingServer(lambda m: asyncio.sleep(0, None)), Owner()
        await server.start()
        hops = HttpNextHops(owner, 0.5, 5.0, 8)
        for n in range(24):
            hops.start(call(server.port))
            await until(lambda n=n: len(owner.done) == n + 1)  # type: ignore[misc]
            await asyncio.sleep(0.06)
        results = [by_item[0] for _, by_item in owner.done]
        stale = [n for n, result in enumerate(results) if result.outcome == Outcome.RESET]
        assert stale and all(results[n].stale for n in stale)
        assert len(stale) <= 4 and not any(result.stale for result in results if result.outcome == OK)
        hops.close()
        await server.stop()

    run(main())


def test_idle_connections_are_closed_before_the_other_side_closes_them() -> None:
    async def main() -> None:
        server, owner = HttpServer(lambda m: asyncio.sleep(0, response(200, "OK", {}, b""))), Owner()
        await server.start()
        hops = HttpNextHops(owner, 0.5, 0.5, 8)
        for wait in (0.1, 0.1, 0.4):
            hops.start(call(server.port))
            await asyncio.sleep(wait)
        assert server.connections == 1 and hops._pool.open == 0 and hops._pool.is_empty
        hops.start(call(server.port))
        await until(lambda: len(owner.done) == 4)
        assert server.connections == 2 and {r[0].outcome for _, r in owner.done} == {Outcome.OK}
        await server.stop()

    run(main())


def test_connections_are_bounded_and_rejected_items_are_not_sent() -> None:
    async def main() -> None:
        served: list[Message] = []

        async def reply(message: Message) -> bytes:
            served.append(message)
            await asyncio.sleep(0.2)
            return response(200, "OK", {}, b"")

        server, owner = HttpServer(reply), Owner()
        await server.start()
        hops = HttpNextHops(owner, 0.5, 5.0, 2)
        for _ in range(3):
            hops.start(call(server.port))
        await until(lambda: len(owner.done) == 3)
        assert sorted(len(results) for _, results in owner.done) == [0, 1, 1] and server.connections == 2
        owner.admits = False
        hops.start(call(server.port))
        await until(lambda: len(owner.done) == 4)
        assert owner.done[3][1] == {} and len(served) == 2
        await server.stop()

    run(main())


@pytest.mark.parametrize(("status", "bodies"), [(429, [b"x"]), (503, [b"x"]), (200, [b"x", b"y"])])
def test_a_required_wait_is_applied_even_if_the_body_is_unreadable(status: int, bodies: list[bytes]) -> None:
    """The wait is in the headers, which were complete."""

    async def reply(message: Message) -> bytes:
        head = f"HTTP/1.1 {status} -\r\nRetry-After: 0.35\r\nTransfer-Encoding: chunked\r\n\r\n"
        return head.encode() + b"no size\r\n"

    async def main() -> None:
        found = await outcome(reply, *bodies)
        assert found == dict.fromkeys(range(len(bodies)), AttemptResult(Outcome.ERROR, required_wait_s=0.35))

    run(main())
