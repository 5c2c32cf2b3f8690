"""The HTTP parser with data split at any point, and the states of a connection against a model."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.http1 import (
    MAX_HEAD_BYTES,
    Connection,
    HttpError,
    Message,
    Parser,
    State,
    request,
    response,
    retry_after_s,
)
from tests.helper import Transport, receive

BODIES = st.binary(max_size=300)
CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"  # up to its trailers


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from([200, 204, 429, 503]), BODIES, st.booleans()), max_size=4),
    st.integers(1, 50),
)
def test_answers_are_parsed_alike_however_they_are_split(
    answers: list[tuple[int, bytes, bool]], step: int
) -> None:
    data, expected = b"HTTP/1.1 100 Continue\r\n\r\n", []
    for status, body, chunked in answers:
        if chunked and status != 204:
            data += b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n" % status
            data += b"%x;a=b\r\n%b\r\n" % (len(body), body) if body else b""
            data += b"0\r\nTrailer: t\r\n\r\n"
        else:
            body = b"" if status == 204 else body
            data += response(status, "X", {}, body)
        expected.append((status, body))
    parser, parsed = Parser(), []
    for at in range(0, len(data), step):
        parsed += parser.feed(data[at : at + step])
    assert [(m.status, bytes(m.body)) for m in parsed] == expected
    assert parser.clean


@pytest.mark.parametrize("data", [
    b"HTTP/2 200 OK\r\n", b"HTTP/1.1 20 OK\r\n", b"SSH-2.0-x\r\n", b"HTTP/1.1 200 OK\r\nno colon\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n", b"HTTP/1.1 200 OK\r\n" + b"a" * 20000,
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n",
])  # fmt: skip
def test_invalid_or_oversized_answers_are_rejected(data: bytes) -> None:
    with pytest.raises(HttpError):
        Parser(max_body_bytes=1000).feed(data)


@pytest.mark.parametrize(("text", "wait"), [("0.35", 0.35), ("2", 2.0), ("soon", 0), ("-1", 0), ("nan", 0),
                                            ("inf", 0), ("", 0)])  # fmt: skip
def test_retry_after_may_have_decimals_and_is_0_if_invalid(text: str, wait: float) -> None:
    assert retry_after_s(Message(headers={"retry-after": text})) == wait


STEPS = st.sampled_from(
    ["begin", "answer", "partial-answer", "close-answer", "stray", "lost", "eof", "pause", "resume", "junk"]
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEPS, max_size=12))
def test_a_connection_behaves_as_its_model(steps: list[str]) -> None:
    """Each call finishes once, an answer belongs to the call in flight, and the end is reported once."""

    async def main() -> None:
        lost: list[Connection] = []
        connection, transport = Connection(lost.append), Transport()
        connection.connection_made(transport)
        state, partial, begun, flushed = State.IDLE, False, 0, True
        ends: list[tuple[int, bool, bool]] = []  # status, complete, flushed
        for step in steps:
            ended = len(ends)
            if step == "begin" and state is State.IDLE:
                connection.begin(
                    request("POST", "/hook", "h", {}, b"x"),
                    lambda m, f: ends.append((m.status, m.complete, f)),
                )
                begun, state, partial, flushed = begun + 1, State.BUSY, False, True
            elif step in ("pause", "resume") and state is State.BUSY:
                flushed = step == "resume"
                connection.resume_writing() if flushed else connection.pause_writing()
            elif step == "partial-answer" and state is State.BUSY and not partial:
                receive(connection, b"HTTP/1.1 200 OK\r\nContent-")
                partial = True
            elif step in ("answer", "close-answer") and state is not State.CLOSED:
                data = b"" if partial else b"HTTP/1.1 200 OK\r\nContent-"
                data += b"Length: 2\r\n" + (b"Connection: close\r\n" if step != "answer" else b"") + b"\r\nok"
                receive(connection, data)
                if state is State.BUSY:
                    assert ends[ended:] == [(200, True, True)]
                # An unsolicited answer must not be taken for that of the next call.
                state = State.IDLE if state is State.BUSY and step == "answer" and flushed else State.CLOSED
                partial = False
            elif step in ("stray", "junk") and state is not State.CLOSED:
                receive(
                    connection, b"junk\r\n\r\n" if step == "junk" or not partial else b"Length: x\r\n\r\n"
                )
                state = State.CLOSED
            elif step in ("lost", "eof") and state is not State.CLOSED:
                if step == "eof":
                    connection.eof_received()
                connection.connection_lost(None)
                state = State.CLOSED
            assert connection.state is state
            if state is State.CLOSED and len(ends) > ended and not ends[-1][1]:
                assert ends[-1] == (200 if partial else 0, False, flushed)
            assert len(ends) == begun - (state is State.BUSY)
            assert len(lost) == (state is State.CLOSED) and transport.aborted == (state is State.CLOSED)

    asyncio.run(main())


@pytest.mark.parametrize(
    "line, first",
    [
        (b"x-same: 1\r\n", b"GET / HTTP/1.1\r\n"),  # one name again and again
        (b"\r\n", b""),  # before the first line
        (b"x-same: 1\r\n", CHUNKED_REQUEST),
    ],
)
def test_lines_are_limited_whatever_is_in_them(line: bytes, first: bytes) -> None:
    """Guards against a head without end: names were counted, not lines."""
    parser = Parser(requests=True)
    with pytest.raises(HttpError, match="too many"):
        for _ in range(1000):
            parser.feed(first + line)
            first = b""


def test_each_message_has_all_its_lines() -> None:
    head = b"\r\n\r\nGET / HTTP/1.1\r\n" + b"".join(b"x-%d: 1\r\n" % n for n in range(90)) + b"\r\n"
    assert len(Parser(requests=True).feed(head * 3)) == 3


@pytest.mark.parametrize("first", [b"GET / HTTP/1.1\r\n", CHUNKED_REQUEST])
def test_a_head_is_limited_in_bytes(first: bytes) -> None:
    """Guards against heads of few but long lines: a hundred of 16 kB on each of some hundred connections."""
    parser, line = Parser(requests=True), b"x-%d: " + b"v" * 4000 + b"\r\n"
    parser.feed(first)
    with pytest.raises(HttpError, match="too large"):
        for n in range(50):
            parser.feed(line % n)
            assert parser.held_bytes <= MAX_HEAD_BYTES + len(line)


def test_a_message_with_a_long_head_is_complete() -> None:
    head = b"GET / HTTP/1.1\r\n" + b"".join(b"x-%d: %s\r\n" % (n, b"v" * 4000) for n in range(7)) + b"\r\n"
    assert len(Parser(requests=True).feed(head * 3)) == 3
