"""HTTP/1.1: a bounded incremental parser for both directions, and connections with one call at a time."""

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

_MAX_LINE_BYTES = 16 * 1024
_MAX_HEADERS = 100
MAX_HEAD_BYTES = 32 * 1024  # of all lines of a message's head and trailers together
_MAX_LENGTH_DIGITS = 15  # more than any permitted length needs, few enough for int() to be fast
_RECEIVE_BUFFER = bytearray(64 * 1024)  # shared: the data is copied out before the event loop reads again


# A peer may send an answer a second time, or noise, right after it. A connection is reused only once it has
# been quiet for so long: what arrives meanwhile belongs to no call, and closes the connection.
QUIET_S = 0.05

_INT = struct.Struct("i")
_CHUNK_SIZE = re.compile(r"[0-9a-fA-F]{1,15}")


class HttpError(ValueError):
    """The data is not valid HTTP/1.1, or larger than a limit permits."""


@dataclass(slots=True, eq=False)
class Message:
    """A request or a response, as far as it has been received."""

    start: tuple[str, str, str] | None = None  # the three parts of the first line
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    head_done: bool = False
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False
    unreadable: bool = False  # the remainder is invalid, or was not received in time

    @property
    def status(self) -> int:
        """The status code of a response, 0 until its first line has been received."""
        return int(self.start[1]) if self.start else 0

    @property
    def keep_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message."""
        if self.start is None:
            return False
        version = self.start[2] if self.start[2].startswith("HTTP/") else self.start[0]
        options = self.headers.get("connection", "").lower()
        return "close" not in options and (version == "HTTP/1.1" or "keep-alive" in options)


class Parser:
    """Parses received data incrementally into messages."""

    def __init__(self, requests: bool = False, max_body_bytes: int = 1 << 20) -> None:
        """`requests`: parse requests instead of responses."""
        self._requests, self._max_body_bytes = requests, max_body_bytes
        self._buffer = bytearray()
        self.current = Message()
        self._remaining = 0  # bytes still to be received of the body, or of its current chunk
        self._mode = "head"  # head, length, chunk-size, chunk, chunk-end, trailer, close
        self._lines = 0  # of the current head, or of the trailers
        self._line_bytes = 0  # of the current message's head and trailers
        self.error: HttpError | None = None

    @property
    def clean(self) -> bool:
        """Whether nothing of a next message has been received."""
        return not self._buffer and self.current.start is None and self.error is None

    @property
    def held_bytes(self) -> int:
        """The bytes received of a message that is not complete."""
        return len(self._buffer) + self._line_bytes + len(self.current.body)

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Parse more data and return the messages that it completes.

        Messages that were complete before an error are valid and are returned; HttpError is raised only if
        there are none. The error itself is kept in `error`.
        """
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
                # An interim response (1xx) precedes the final one.
                if self._requests or self.current.status >= 200:
                    done.append(self.current)
                self.current, self._mode = Message(), "head"
                self._lines = self._line_bytes = 0
        return done

    def end(self) -> Message | None:
        """Handle the end of the peer's data, which completes only a body that extends to it."""
        if self._mode == "close":
            self.current.complete = True
            return self.current
        return None

    def _line(self) -> str | None:
        at = self._buffer.find(b"\n")
        if at < 0 or at > _MAX_LINE_BYTES:
            if len(self._buffer) > _MAX_LINE_BYTES:
                raise HttpError("a line is too long")
            return None
        line = self._buffer[:at].rstrip(b"\r").decode("latin-1")
        del self._buffer[: at + 1]
        return line

    def _step(self) -> bool:
        if self._mode in ("length", "chunk", "close"):
            return self._read_body()
        if (line := self._line()) is None:
            return False
        if self._mode == "head":
            self._head_line(line)
        elif self._mode == "chunk-size":
            size = line.split(";")[0].strip()
            if not _CHUNK_SIZE.fullmatch(size):
                raise HttpError("bad chunk size")
            self._remaining = int(size, 16)
            self._check_body_size(self._remaining)
            self._mode = "chunk" if self._remaining else "trailer"
        elif self._mode == "chunk-end":
            if line:
                raise HttpError("chunk without an end")
            self._mode = "chunk-size"
        elif not line:  # trailer
            self.current.complete = True
        else:
            self._count_line(line, "trailers")
        return True

    def _count_line(self, line: str, what: str) -> None:
        """Count a line, whatever is in it: repeated names and empty lines would otherwise have no limit."""
        self._lines += 1
        self._line_bytes += len(line)
        if self._lines > _MAX_HEADERS:
            raise HttpError(f"too many {what}")
        if self._line_bytes > MAX_HEAD_BYTES:
            raise HttpError(f"{what} too large")

    def _check_body_size(self, more: int) -> None:
        if more < 0 or len(self.current.body) + more > self._max_body_bytes:
            raise HttpError("body too large")

    def _read_body(self) -> bool:
        if not self._buffer:
            return False
        count = len(self._buffer) if self._mode == "close" else min(self._remaining, len(self._buffer))
        self._check_body_size(count)
        self.current.body += self._buffer[:count]
        del self._buffer[:count]
        self._remaining -= count
        if self._mode == "length" and not self._remaining:
            self.current.complete = True
        elif self._mode == "chunk" and not self._remaining:
            self._mode = "chunk-end"
        return True

    def _head_line(self, line: str) -> None:
        message = self.current
        if message.start is None:
            if line:
                self._start_line(line)
                self._lines, self._line_bytes = 0, len(line)
            else:
                self._count_line(line, "empty lines")
            return
        if line:
            self._count_line(line, "headers")
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise HttpError("bad header")
            name = name.lower()
            if name == "content-length" and message.headers.get(name, value.strip()) != value.strip():
                raise HttpError("two lengths")
            message.headers[name] = value.strip()
            return
        message.head_done, self._lines = True, 0
        self._choose_body_mode()

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

    def _choose_body_mode(self) -> None:
        message = self.current
        length = message.headers.get("content-length")
        no_body = not self._requests and (message.status < 200 or message.status in (204, 304))
        if no_body:
            message.complete = True
        elif "chunked" in message.headers.get("transfer-encoding", "").lower():
            self._mode = "chunk-size"
        elif length is not None:
            if not length.isdecimal() or len(length) > _MAX_LENGTH_DIGITS:
                raise HttpError("bad length")
            self._remaining = int(length)
            self._check_body_size(self._remaining)
            self._mode = "length"
            message.complete = not self._remaining
        elif self._requests:
            message.complete = True
        else:
            self._mode = "close"


def request(method: str, path: str, host: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status: int, reason: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in headers.items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def retry_after_s(message: Message) -> float:
    """Parse `Retry-After`: seconds, which may have decimals; 0 if it is absent or invalid."""
    try:
        wait = float(message.headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    return wait if 0 < wait < 86400 else 0.0


class State(Enum):
    """The state of a connection to a peer."""

    CONNECTING = "connecting"
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


def _ignore(connection: Connection) -> None:
    """Replaces `lost` once the end of the connection has been reported."""


class Connection(asyncio.BufferedProtocol):
    """A client's connection: first CONNECTING, then IDLE and BUSY alternately, finally CLOSED."""

    def __init__(
        self,
        lost: Callable[[Connection], None],
        max_body_bytes: int = 1 << 20,
        completion_timeout_s: float | None = None,
    ) -> None:
        """`lost` is called once, when the connection is closed. An answer must be complete within
        `completion_timeout_s` of its first data.
        """
        self.state = State.CONNECTING
        self.idle_since = 0.0
        self.flushed = True  # the call's last byte has been written to the socket
        self.overdue = False  # an answer was not complete in time
        self.got_unsolicited_data = False  # while no call was in flight
        self.slot = LeaseSlot()  # for the socket of this connection
        self._lost = lost
        self._max_body_bytes = max_body_bytes
        self._completion_timeout_s = completion_timeout_s
        self._parser = Parser(max_body_bytes=max_body_bytes)
        self._transport: asyncio.Transport | None = None
        self._finished: Callable[[Message, bool], None] | None = None
        self._completion_timer: asyncio.TimerHandle | None = None  # runs while an answer is incomplete

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(0)  # so that resume_writing means that all data is written
        self.state, self.idle_since = State.IDLE, asyncio.get_running_loop().time()

    @property
    def has_no_unread_data(self) -> bool:
        """Whether no data waits in the socket. Unsolicited data would be taken for the next call's answer."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is None:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    @property
    def answer_begun(self) -> bool:
        """Whether an answer has been read in part."""
        return not self._parser.clean

    @property
    def answer_arrived(self) -> bool:
        """Whether data of an incomplete answer has arrived, read or not. It is valid until the end of the
        connection, and in the callback that reports this end to the call.
        """
        return self.answer_begun or self._unread_bytes() > 0

    def _unread_bytes(self) -> int:
        """The number of bytes that wait in the socket; 0 if the system does not report it."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is None:
            return 0
        try:
            count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_INT.size))
        except (OSError, ValueError):
            return 0
        return int(_INT.unpack(count)[0])

    def begin(
        self, data: bytes, finished: Callable[[Message, bool], None], lease: SendLease | None = None
    ) -> None:
        """Send a call under a lease. `finished` gets the answer as far as it was received, and whether the
        call's last byte was written.
        """
        assert self.state is State.IDLE and self._transport is not None
        self.state, self._finished, self.flushed = State.BUSY, finished, True
        self.slot.arm(lease, len(data))
        self._transport.write(data)
        if self._transport.is_closing():  # the write failed, and the system accepted nothing
            self.flushed = False

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True

    def get_buffer(self, sizehint: int) -> bytearray:
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self.state is not State.BUSY:  # unsolicited data could be taken for the next call's answer
            self.got_unsolicited_data = True
            self.close()
            return
        try:
            done = self._parser.feed(memoryview(_RECEIVE_BUFFER)[:nbytes])
        except HttpError:
            self.close()
            return
        if (
            self._completion_timer is None
            and self._completion_timeout_s is not None
            and not done
            and not self._parser.clean
        ):
            self._completion_timer = asyncio.get_running_loop().call_later(
                self._completion_timeout_s, self._abort_overdue
            )
        elif self._completion_timer is not None and (done or self._parser.clean):
            self._completion_timer.cancel()
            self._completion_timer = None
        if done:
            if len(done) > 1 or not self._parser.clean or not done[0].keep_alive or not self.flushed:
                self._abort_transport()
            else:
                self.state, self.idle_since = State.IDLE, asyncio.get_running_loop().time()
            self._finish(done[0], True)
            if self.state is State.CLOSED:
                self._report_lost()

    def _abort_overdue(self) -> None:
        self._parser.current.unreadable = self.overdue = True
        self.close()

    def eof_received(self) -> bool:
        if (message := self._parser.end()) is not None:
            self._abort_transport()
            self._finish(message, True)
            self._report_lost()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.close()

    def close(self) -> None:
        """Close the connection, and end the call in flight on it."""
        if self.state is State.CLOSED:
            return
        partial, flushed = self._parser.current, self.flushed
        self._abort_transport()
        self._finish(partial, flushed)
        self._report_lost()

    def _report_lost(self) -> None:
        """Report the end of the connection once, even if the call's callback closed it as well."""
        lost, self._lost = self._lost, _ignore
        lost(self)

    def _abort_transport(self) -> None:
        self.state = State.CLOSED
        if self._completion_timer is not None:
            self._completion_timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _finish(self, message: Message, flushed: bool) -> None:
        finished, self._finished = self._finished, None
        if finished is not None:
            finished(message, flushed)


class Client:
    """A client of one address that keeps one connection, for one exchange at a time."""

    def __init__(
        self,
        host: str,
        port: int,
        max_body_bytes: int = 1 << 20,
        completion_timeout_s: float | None = None,
        quiet_s: float = 0.0,
    ) -> None:
        """`quiet_s`: how long the connection has to be quiet before it is used again (`QUIET_S`)."""
        self.host, self.port = host, port
        self._max_body_bytes, self._completion_timeout_s = max_body_bytes, completion_timeout_s
        self._quiet_s = quiet_s
        self._connection: Connection | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _forget(self, connection: Connection) -> None:
        if self._connection is connection:
            self._connection = None

    async def exchange(self, data: bytes, limit: float, connect_limit: float = 1.5) -> Message:
        """Send a request and return the complete answer. TimeoutError if it is not received in time, another
        OSError if the connection broke.
        """
        loop = asyncio.get_running_loop()
        connection = self._connection
        if connection is not None and connection.state is State.IDLE and self._quiet_s:
            await asyncio.sleep(connection.idle_since + self._quiet_s - loop.time())
        if connection is None or connection.state is not State.IDLE or not connection.has_no_unread_data:
            self.close()
            new = Connection(self._forget, self._max_body_bytes, self._completion_timeout_s)
            retry_until = loop.time() + connect_limit
            await connect(lambda: new, self.host, self.port, connect_limit, lambda: loop.time() < retry_until)
            self._connection = connection = new
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
            message = answer.result()  # received in the same turn of the event loop as the timeout
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.overdue:
            raise TimeoutError("the answer was not complete in time")
        if not message.complete:
            raise ConnectionResetError("the connection ended before the answer was complete")
        return message
