"""HTTP/1.1: a bounded incremental parser for both directions; connections that carry one call at a time."""

from __future__ import annotations

import asyncio
import fcntl
import re
import select
import struct
import termios
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

from mountgauge.connecting import connect
from mountgauge.leased_socket import LeaseSlot, SendLease

_MOST_HEAD = 16 * 1024  # bytes of a line
_MOST_HEADERS = 100
_MOST_DIGITS = 15  # of a length: far more than any bound, far less than int() takes long for
_RECEIVE = bytearray(64 * 1024)  # shared: what arrives is copied out before the loop reads again


_COUNT = struct.Struct("i")
_HEX = re.compile(r"[0-9a-fA-F]{1,15}")


class HttpError(ValueError):
    """Bytes that HTTP/1.1 does not allow, or more of them than a bound permits."""


@dataclass(slots=True, eq=False)
class Message:
    """A request or a response, as far as it has come."""

    start: tuple[str, str, str] | None = None  # the first line's three parts
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    head_done: bool = False
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False
    unreadable: bool = False  # it cannot be read any further, or its rest has not come in time

    @property
    def status(self) -> int:
        """A response's code, 0 as long as its first line has not come."""
        return int(self.start[1]) if self.start else 0

    @property
    def keep_alive(self) -> bool:
        if self.start is None:
            return False
        version = self.start[2] if self.start[2].startswith("HTTP/") else self.start[0]
        said = self.headers.get("connection", "").lower()
        return "close" not in said and (version == "HTTP/1.1" or "keep-alive" in said)


class Parser:
    """Feed it what arrives; it returns the messages that have become whole."""

    def __init__(self, requests: bool = False, max_body_bytes: int = 1 << 20) -> None:
        self._requests, self._most = requests, max_body_bytes
        self._buffer = bytearray()
        self.current = Message()
        self._left = 0  # body bytes still to come
        self._mode = "head"  # head, length, chunk-size, chunk, chunk-end, trailer, close
        self._trailers = 0
        self.error: HttpError | None = None

    @property
    def clean(self) -> bool:
        """Nothing of a next message has come."""
        return not self._buffer and self.current.start is None and self.error is None

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """What came whole before an error is still good: the error is raised where nothing did."""
        self._buffer += data
        done: list[Message] = []
        while self.error is None:
            try:
                if not self._step():
                    break
            except HttpError as error:
                self.error, self.current.unreadable = error, True
                self._buffer.clear()
                if not done:
                    raise
                break
            if self.current.complete:
                # An interim answer (1xx) announces the real one.
                if self._requests or self.current.status >= 200:
                    done.append(self.current)
                self.current, self._mode = Message(), "head"
        return done

    def end(self) -> Message | None:
        """The other side has ended: whole only if the body was to last until then."""
        if self._mode == "close":
            self.current.complete = True
            return self.current
        return None

    def _line(self) -> str | None:
        at = self._buffer.find(b"\n")
        if at < 0 or at > _MOST_HEAD:
            if len(self._buffer) > _MOST_HEAD:
                raise HttpError("a line is too long")
            return None
        line = self._buffer[:at].rstrip(b"\r").decode("latin-1")
        del self._buffer[: at + 1]
        return line

    def _step(self) -> bool:
        if self._mode in ("length", "chunk", "close"):
            return self._take()
        if (line := self._line()) is None:
            return False
        if self._mode == "head":
            self._head_line(line)
        elif self._mode == "chunk-size":
            size = line.split(";")[0].strip()
            if not _HEX.fullmatch(size):
                raise HttpError("bad chunk size")
            self._left = int(size, 16)
            self._bound(self._left)
            self._mode = "chunk" if self._left else "trailer"
        elif self._mode == "chunk-end":
            if line:
                raise HttpError("chunk without an end")
            self._mode = "chunk-size"
        elif not line:  # trailer
            self.current.complete, self._trailers = True, 0
        else:
            self._trailers += 1
            if self._trailers > _MOST_HEADERS:
                raise HttpError("too many trailers")
        return True

    def _bound(self, more: int) -> None:
        if more < 0 or len(self.current.body) + more > self._most:
            raise HttpError("body too large")

    def _take(self) -> bool:
        if not self._buffer:
            return False
        count = len(self._buffer) if self._mode == "close" else min(self._left, len(self._buffer))
        self._bound(count)
        self.current.body += self._buffer[:count]
        del self._buffer[:count]
        self._left -= count
        if self._mode == "length" and not self._left:
            self.current.complete = True
        elif self._mode == "chunk" and not self._left:
            self._mode = "chunk-end"
        return True

    def _head_line(self, line: str) -> None:
        message = self.current
        if message.start is None:
            if line:
                self._start_line(line)
            return
        if line:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise HttpError("bad header")
            name = name.lower()
            if name == "content-length" and message.headers.get(name, value.strip()) != value.strip():
                raise HttpError("two lengths")
            message.headers[name] = value.strip()
            if len(message.headers) > _MOST_HEADERS:
                raise HttpError("too many headers")
            return
        message.head_done = True
        self._body_form()

    def _start_line(self, line: str) -> None:
        parts = line.split(" ", 2)
        if len(parts) == 2 and not self._requests:
            parts.append("")
        if len(parts) != 3:
            raise HttpError("bad first line")
        version = parts[2] if self._requests else parts[0]
        if not version.startswith("HTTP/1."):
            raise HttpError("not HTTP/1")
        if not self._requests and not (parts[1].isdecimal() and len(parts[1]) == 3 and parts[1] >= "100"):
            raise HttpError("bad status")
        self.current.start = (parts[0], parts[1], parts[2])

    def _body_form(self) -> None:
        message = self.current
        length = message.headers.get("content-length")
        no_body = not self._requests and (message.status < 200 or message.status in (204, 304))
        if no_body:
            message.complete = True
        elif "chunked" in message.headers.get("transfer-encoding", "").lower():
            self._mode = "chunk-size"
        elif length is not None:
            if not length.isdecimal() or len(length) > _MOST_DIGITS:
                raise HttpError("bad length")
            self._left = int(length)
            self._bound(self._left)
            self._mode = "length"
            message.complete = not self._left
        elif self._requests:
            message.complete = True
        else:
            self._mode = "close"


def request(method: str, path: str, host: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """The bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status: int, reason: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """The bytes of a response."""
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in headers.items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def retry_after_s(message: Message) -> float:
    """`Retry-After` in seconds, with decimals; 0 where there is none that can be read."""
    try:
        wait = float(message.headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    return wait if 0 < wait < 86400 else 0.0


class State(Enum):
    """What a connection to a peer is doing."""

    CONNECTING = "connecting"
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


def _nobody(connection: Connection) -> None:
    """Who hears of an end that has been told."""


class Connection(asyncio.BufferedProtocol):
    """A client's connection: CONNECTING, then IDLE and BUSY in turn, at last CLOSED."""

    def __init__(
        self, lost: Callable[[Connection], None], max_body_bytes: int = 1 << 20, rest: float | None = None
    ) -> None:
        self.state = State.CONNECTING
        self.idle_since = 0.0
        self.flushed = True  # the call's last byte has been written to the socket
        self.overdue = False  # the rest of an answer has not come in time
        self.slot = LeaseSlot()  # of the socket that it is to be connected with
        self._lost = lost
        self._most = max_body_bytes
        self._most_rest = rest  # s in which an answer that has begun must be whole
        self._parser = Parser(max_body_bytes=max_body_bytes)
        self._transport: asyncio.Transport | None = None
        self._finished: Callable[[Message, bool], None] | None = None
        self._rest: asyncio.TimerHandle | None = None  # runs while an answer is half there

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(0)  # pause and resume then tell when all is written
        self.state, self.idle_since = State.IDLE, asyncio.get_running_loop().time()

    @property
    def has_no_unread_data(self) -> bool:
        """Whether nothing waits to be read: what came unasked would pass for the next call's answer."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is None:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    @property
    def answer_begun(self) -> bool:
        """Whether a part of an answer has been read, and not all of it."""
        return not self._parser.clean

    @property
    def answer_arrived(self) -> bool:
        """Whether bytes of an answer that is not whole have arrived, read or not. It can be asked up to the
        end of the connection, in the turn in which its call hears of it.
        """
        return self.answer_begun or self._unread_bytes() > 0

    def _unread_bytes(self) -> int:
        """How many bytes wait in the socket; 0 where the system doesn't say."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is None:
            return 0
        try:
            found = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_COUNT.size))
        except (OSError, ValueError):
            return 0
        return int(_COUNT.unpack(found)[0])

    def begin(
        self, data: bytes, finished: Callable[[Message, bool], None], lease: SendLease | None = None
    ) -> None:
        """Send a call under a lease. `finished` gets what came back and whether the last byte had been
        written.
        """
        assert self.state is State.IDLE and self._transport is not None
        self.state, self._finished, self.flushed = State.BUSY, finished, True
        self.slot.arm(lease, len(data))
        self._transport.write(data)
        if self._transport.is_closing():  # it broke as it was written to, and the system took nothing
            self.flushed = False

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True

    def get_buffer(self, sizehint: int) -> bytearray:
        return _RECEIVE

    def buffer_updated(self, nbytes: int) -> None:
        if self.state is not State.BUSY:  # nobody asked: an answer that could be taken for the next call's
            self.close()
            return
        try:
            done = self._parser.feed(memoryview(_RECEIVE)[:nbytes])
        except HttpError:
            self.close()
            return
        if self._rest is None and self._most_rest is not None and not done and not self._parser.clean:
            self._rest = asyncio.get_running_loop().call_later(self._most_rest, self._overdue)
        elif self._rest is not None and (done or self._parser.clean):
            self._rest.cancel()
            self._rest = None
        if done:
            if len(done) > 1 or not self._parser.clean or not done[0].keep_alive or not self.flushed:
                self._shut()
            else:
                self.state, self.idle_since = State.IDLE, asyncio.get_running_loop().time()
            self._finish(done[0], True)
            if self.state is State.CLOSED:
                self._let_go()

    def _overdue(self) -> None:
        self._parser.current.unreadable = self.overdue = True
        self.close()

    def eof_received(self) -> bool:
        if (message := self._parser.end()) is not None:
            self._shut()
            self._finish(message, True)
            self._let_go()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.close()

    def close(self) -> None:
        """End the connection, and with it the call that is out on it."""
        if self.state is State.CLOSED:
            return
        partial, flushed = self._parser.current, self.flushed
        self._shut()
        self._finish(partial, flushed)
        self._let_go()

    def _let_go(self) -> None:
        """Its holder hears of the end once, whoever else ended it while the call's answer was told."""
        lost, self._lost = self._lost, _nobody
        lost(self)

    def _shut(self) -> None:
        self.state = State.CLOSED
        if self._rest is not None:
            self._rest.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _finish(self, message: Message, flushed: bool) -> None:
        finished, self._finished = self._finished, None
        if finished is not None:
            finished(message, flushed)


class Client:
    """One kept connection to one address, for exchanges that follow one another."""

    def __init__(
        self, host: str, port: int, max_body_bytes: int = 1 << 20, rest: float | None = None
    ) -> None:
        self.host, self.port, self._most, self._rest = host, port, max_body_bytes, rest
        self._connection: Connection | None = None

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _forget(self, connection: Connection) -> None:
        if self._connection is connection:
            self._connection = None

    async def exchange(self, data: bytes, limit: float, connect_limit: float = 1.5) -> Message:
        """The whole answer; TimeoutError where nothing comes in time, another OSError where it broke."""
        loop = asyncio.get_running_loop()
        connection = self._connection
        if connection is None or connection.state is not State.IDLE or not connection.has_no_unread_data:
            self.close()
            made = Connection(self._forget, self._most, self._rest)
            patient_until = loop.time() + connect_limit
            await connect(
                lambda: made, self.host, self.port, connect_limit, lambda: loop.time() < patient_until
            )
            self._connection = connection = made
        answer: asyncio.Future[Message] = loop.create_future()

        def finished(message: Message, flushed: bool) -> None:
            if not answer.done():
                answer.set_result(message)

        if connection.state is not State.IDLE:
            raise ConnectionResetError("closed at once")
        connection.begin(data, finished)
        try:
            async with asyncio.timeout(limit):
                message = await answer
        except TimeoutError:
            connection.close()
            if not answer.done() or answer.cancelled():
                raise
            message = answer.result()  # it came in the very turn in which the time was over
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.overdue:
            raise TimeoutError("the answer stopped half-way")
        if not message.complete:
            raise ConnectionResetError("the answer broke off")
        return message
