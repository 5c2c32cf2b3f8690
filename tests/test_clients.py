"""RESP2: the parser with input split at any byte, and a client connection against a model."""

from __future__ import annotations

import asyncio
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.clients import ClientConnection, Clients, RespError, RespParser
from mountgauge.core.ports import Accepted, Answer, MessageOutcome, Status, Submission
from tests.helper import Transport, receive


def command(*args: bytes) -> bytes:
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args)


def enqueue(
    msg_id: bytes = b"ab12", pairs: bytes = b"c=note,d=8000,k=5c0f,dest=7", body: bytes = b"hi"
) -> bytes:
    return command(b"ENQUEUE", b"0", msg_id, pairs, body)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.lists(st.binary(max_size=60), min_size=1, max_size=5), max_size=5), st.integers(1, 40))
def test_commands_are_parsed_the_same_however_the_bytes_are_split(
    commands: list[list[bytes]], step: int
) -> None:
    data, parser, found = b"*0\r\n" + b"".join(command(*args) for args in commands), RespParser(), []
    for at in range(0, len(data), step):
        parser.feed(data[at : at + step])
        while (args := parser.next()) is not None:
            found.append(args)
    assert found == commands


@pytest.mark.parametrize("data", [b"PING\r\n", b"*x\r\n", b"*-1\r\n", b"*99\r\n", b"*1\r\n+a\r\n",
                                  b"*1\r\n$70000\r\n", b"*1\r\n$1\r\nabc", b"*" + b"1" * 40])  # fmt: skip
def test_framing_errors_are_answered_and_close_the_connection(data: bytes) -> None:
    parser = RespParser()
    parser.feed(data)
    with pytest.raises(RespError):
        parser.next()

    async def main() -> None:
        connection, transport = ClientConnection(Clients(lambda one: None, ("note",), 9)), Transport()
        connection.connection_made(transport)
        receive(connection, command(b"PING") + data)
        written = transport.take_written()
        assert written.startswith(b"+PONG\r\n-ERR Protocol error") and transport.ended
        receive(connection, command(b"PING") * 9)
        assert not transport.written

    asyncio.run(main())


@pytest.mark.parametrize("data", [
    enqueue(pairs=b"c=none,d=1,dest=7"), enqueue(pairs=b"c=note,dest=7"), enqueue(pairs=b"c=note,d=1"),
    enqueue(pairs=b"c=note,d=x,dest=7"), enqueue(pairs=b"c=note,d=1,dest=7,k=a b"), enqueue(pairs=b"c"),
    enqueue(msg_id=b"a\r\nX: y"), enqueue(msg_id=b""), command(b"ENQUEUE", b"0"), command(b"GET", b"\r\nx"),
    command(b""),
])  # fmt: skip
def test_bad_requests_get_one_error_line_and_the_connection_stays_open(data: bytes) -> None:
    async def main() -> None:
        submitted: list[Submission] = []
        connection, transport = ClientConnection(Clients(submitted.append, ("note",), 9)), Transport()
        connection.connection_made(transport)
        receive(connection, data + command(b"PING"))
        written = transport.take_written()
        assert (
            written.startswith(b"-ERR ")
            and written.endswith(b"\r\n+PONG\r\n")
            and written.count(b"\r\n") == 2
        )
        assert not submitted and not transport.closing

    asyncio.run(main())


ANSWERS: list[tuple[Answer, bytes]] = [
    (Accepted(), b"+OK\r\n"), (MessageOutcome(Status.DELIVERED), b"+OK\r\n"),
    (MessageOutcome(Status.DEFERRED), b"-BUSY\r\n"),
    (MessageOutcome(Status.DEFERRED, 250), b"-BUSY 250\r\n"),
    (MessageOutcome(Status.UNDELIVERABLE), b"-ERR undeliverable\r\n"),
]  # fmt: skip
STEPS = st.tuples(
    st.sampled_from(["ask", "ask", "ping", "burst", "answer", "answer", "choke", "flow", "close"]),
    st.integers(0, 99),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEPS, max_size=25))
def test_connection_matches_a_model_of_its_answers(steps: list[tuple[str, int]]) -> None:
    """Answers are sent in the order of the requests; the sending side is not shut while one is owed."""

    async def main() -> None:
        submitted: list[Submission] = []
        front, transport = Clients(submitted.append, ("note",), 9), Transport()
        connection = ClientConnection(front)
        connection.connection_made(transport)
        waiting: deque[tuple[str, bytes | None]] = deque()  # ids, with the answer once it is known
        asked, closing, choked, last = 0, False, False, 0
        wanted = b""
        for step, pick in steps:
            if step in ("ask", "ping", "burst") and not transport.closing and transport.reading:
                count = 80 if step == "burst" else 1
                data = b""
                for _ in range(count):
                    asked += 1
                    data += command(b"PING") if step == "ping" else enqueue(b"m%d" % asked)
                    if not closing:
                        waiting.append((f"m{asked}", b"+PONG\r\n" if step == "ping" else None))
                receive(connection, data)
            elif step == "answer" and len(submitted) > last:
                one = submitted[last]
                last += 1
                answer, text = ANSWERS[pick % len(ANSWERS)]
                for index, (msg_id, _) in enumerate(waiting):
                    if msg_id == one.id:
                        waiting[index] = (msg_id, text)
                one.answer(answer)
            elif step == "choke" and not choked:
                choked = True
                connection.pause_writing()
            elif step == "flow" and choked:
                choked = False
                connection.resume_writing()
            elif step == "close" and not closing and len(waiting) < 60:
                closing = True
                connection.close()
            while front.registry.scheduler:
                front.registry.turn()
            while waiting and waiting[0][1] is not None:
                wanted += waiting.popleft()[1] or b""
            assert bytes(transport.written) == wanted
            assert transport.ended == (closing and not waiting) and not transport.closing
            assert len(submitted) - last <= 64  # the limit on open requests of one connection
            assert transport.reading == (not choked and len(waiting) < 64) or closing

    asyncio.run(main())
