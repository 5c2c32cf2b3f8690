"""The sender side: clients that hand messages in over RESP2."""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import cast

from mountgauge.access import DEFAULT, Access
from mountgauge.core.ports import Answer, End, Status, Submission, Taken
from mountgauge.sockets import LINGER, Drain, serve

_RECEIVE = bytearray(64 * 1024)  # shared: what arrives is copied out before the loop reads again
_MOST_ARGS = 16
_MOST_BULK = 64 * 1024
_MOST_HEADER = 32  # bytes of a line such as `$212`
_MOST_COMMAND = _MOST_BULK + 2048  # bytes of all its arguments
_MOST_BAD = 16  # requests of one connection that were not understood; with the last one it is closed
_SILENCE = 2.0  # s, with nothing asked, in which a whole command must come: the first one, or one begun
_IDLE = 5.0  # s without a request after which a connection is let go
_LOOK = 0.25  # s between two looks at who is silent
_COME_AGAIN = 200  # ms after which one that no descriptor was left for may come again
_YOUNG = 0.1  # s in which a new connection's first command is surely under way
_MOST_WAITING = 64  # unanswered requests of one connection; past them it is not read


class RespError(ValueError):
    """Bytes that RESP2 does not allow: the connection cannot be read any further."""


class RespParser:
    """Commands as arrays of bulk strings, bounded, fed as they arrive."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._args: list[bytes] = []
        self._count = 0  # arguments of the command under way
        self._room = 0  # bytes that they may still take
        self._size = -1  # of the bulk string under way

    @property
    def partial(self) -> bool:
        """A command has begun and is not whole."""
        return bool(self._buffer or self._count)

    def feed(self, data: bytes | memoryview) -> None:
        self._buffer += data

    def next(self) -> list[bytes] | None:
        """The next whole command, None until it has come."""
        while True:
            if not self._count:
                if (count := self._header(b"*", _MOST_ARGS)) is None:
                    return None
                self._count, self._room = count, _MOST_COMMAND
                if not count:
                    continue
            elif self._size < 0:
                if (size := self._header(b"$", _MOST_BULK)) is None:
                    return None
                self._size = size
                self._room -= size
                if self._room < 0:
                    raise RespError("too long")
            else:
                if len(self._buffer) < self._size + 2:
                    return None
                if self._buffer[self._size : self._size + 2] != b"\r\n":
                    raise RespError("bulk string without its end")
                self._args.append(bytes(self._buffer[: self._size]))
                del self._buffer[: self._size + 2]
                self._size = -1
                if len(self._args) == self._count:
                    args, self._args, self._count = self._args, [], 0
                    return args

    def _header(self, sign: bytes, most: int) -> int | None:
        end = self._buffer.find(b"\r\n", 0, _MOST_HEADER)
        if self._buffer and not self._buffer.startswith(sign):
            raise RespError(f"expected '{sign.decode()}'")
        if end < 0:
            if len(self._buffer) >= _MOST_HEADER:
                raise RespError("a length is too long")
            return None
        digits = bytes(self._buffer[1:end])
        if not digits.isdigit():
            raise RespError("invalid length")
        if int(digits) > most:
            raise RespError("too long")
        del self._buffer[: end + 2]
        return int(digits)


class BadRequest(ValueError):
    """A request that is not understood or not allowed; the connection goes on."""

    def __init__(self, text: str, code: str = "ERR") -> None:
        super().__init__(text)
        self.code = code


class Slot:
    """The place of one answer: they leave in the order of the requests."""

    __slots__ = ("content",)

    def __init__(self) -> None:
        self.content: bytes | None = None


class ClientConnection(asyncio.BufferedProtocol):
    """READING while requests are answered in turn, PAUSED past a bound, CLOSING, then CLOSED."""

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._parser = RespParser()
        self._slots: deque[Slot] = deque()
        self._transport: asyncio.Transport | None = None
        self._paused = self._choked = False
        self._drain: Drain | None = None  # once nothing more is heard
        self._bad = 0
        self.closing = self.closed = False
        self.tenant = ""  # of the user who logged in; none yet
        self.handed_in = 0  # messages, changed while it is in no list of those that rest
        self.greeted = False  # a whole command has come
        self.since = 0.0  # when it came, or was last left with nothing asked
        self.ending = 0.0  # when it was closed

    @property
    def idle(self) -> bool:
        return not self._slots

    @property
    def rank(self) -> int:
        return (1, 0, 2)[min(self.handed_in, 2)]

    @property
    def halfway(self) -> bool:
        return self._parser.partial

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.since = asyncio.get_running_loop().time()
        self._clients.joined(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return _RECEIVE if self._drain is None else self._drain.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        if self._drain is not None:
            self._drain.took()
            return
        self._parser.feed(memoryview(_RECEIVE)[:nbytes])
        self._read()

    def _read(self) -> None:
        while not self.closing and len(self._slots) < _MOST_WAITING and not self._choked:
            try:
                args = self._parser.next()
            except RespError as error:  # what follows cannot be told apart any more
                self.refuse(f"Protocol error: {error}")
                return
            if args is None:
                break
            self.greeted = True
            if not self._slots:
                self._clients.busy(self)
            self._slots.append(slot := Slot())
            try:
                self._clients.request(args, self, slot)
            except BadRequest as error:
                self._bad += 1
                if self._bad >= _MOST_BAD:
                    self._slots.pop()
                    self.refuse(str(error), error.code)
                    return
                self._fill(slot, f"-{error.code} {error}\r\n".encode())
        self._pace()

    def refuse(self, why: str, code: str = "ERR") -> None:
        """Say why, hear nothing more, and close once all that was asked before is answered."""
        if self.closing or self._transport is None:
            return
        self._slots.append(slot := Slot())
        self.closing = True
        self._parser = RespParser()
        self._drain = Drain(self._transport)
        if self._paused and not self._transport.is_closing():
            self._transport.resume_reading()
        self._fill(slot, f"-{code} {why}\r\n".encode())

    def _pace(self) -> None:
        """Back-pressure: a client that does not read its answers, or sends too many requests, is not read."""
        hold = len(self._slots) >= _MOST_WAITING or self._choked
        if self._transport is None or self._transport.is_closing() or hold == self._paused or self._drain:
            return
        self._paused = hold
        if hold:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        self._choked = True
        self._pace()

    def resume_writing(self) -> None:
        self._choked = False
        self._read()

    def _fill(self, slot: Slot, content: bytes) -> None:
        slot.content = content
        ready = []
        while self._slots and (first := self._slots[0].content) is not None:
            ready.append(first)
            self._slots.popleft()
        if ready and self._transport is not None and not self.closed:
            self._transport.write(b"".join(ready))
            if not self._slots:
                self.since = asyncio.get_running_loop().time()
                if self.closing:
                    self._end()
                else:
                    self._clients.rests(self)

    def _end(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self.ending = asyncio.get_running_loop().time()
        self._clients.leaving(self)
        if self._drain is not None:
            self._transport.write_eof()
        else:
            self._transport.close()

    def answer(self, slot: Slot, content: bytes) -> None:
        self._fill(slot, content)
        if self._paused:
            self._read()

    def close(self) -> None:
        """Once what was asked is answered; between requests a sender may close."""
        self.closing = True
        if not self._slots:
            self._end()

    def turn_away(self) -> None:
        """No descriptor to spare: handing in again is harmless."""
        self.closing = True
        if self._transport is not None:
            self._transport.write(b"-BUSY %d\r\n" % _COME_AGAIN)
            self._transport.close()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        self.closing = True
        return bool(self._slots) and self._drain is None  # the answers still go out

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = self.closing = True
        if self._drain is not None:
            self._drain.close()
        self._clients.left(self)


class Clients:
    """The listening side: parses requests into submissions for the core."""

    def __init__(
        self,
        submit: Callable[[Submission], None],
        grades: tuple[str, ...],
        most: int,
        front: str = "platform",
        deadlines: Sequence[float] = (),
        access: Access | None = None,
    ) -> None:
        self._submit = submit
        self._grades = {name.encode(): place for place, name in enumerate(grades)}
        self._deadlines = deadlines or [math.inf] * len(grades)
        self._most = most
        self._front = front
        self.access = access  # None on the platform, which knows no users
        self._connections: set[ClientConnection] = set()
        # Those that nothing was asked on, longest first: since they joined, and since their last answer.
        self._silent: dict[ClientConnection, None] = {}
        # These in three ranks, the first to be displaced first: who asked once and stayed, who has only said
        # PING and may be about to hand in its first message, and who uses its connection again and again.
        self._resting: tuple[dict[ClientConnection, None], ...] = ({}, {}, {})
        self._leaving: dict[ClientConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._look_timer: asyncio.TimerHandle | None = None
        self.counts: Counter[tuple[str, str]] = Counter()  # how connections fared
        self.port = 0

    async def listen(self, host: str, port: int) -> None:
        self._server, self.port = await serve(lambda: ClientConnection(self), host, port)

    def joined(self, connection: ClientConnection) -> None:
        """Descriptors are bounded: one that asks nothing goes, as a sender may close between requests."""
        self.counts["clients", "joined"] += 1
        if len(self._connections) >= self._most and not self._make_room():
            self.counts["clients", "turned-away"] += 1
            connection.turn_away()
            return
        self._connections.add(connection)
        self._silent[connection] = None
        if self._look_timer is None:
            self._look_timer = asyncio.get_running_loop().call_later(_LOOK, self._look)

    def _make_room(self) -> bool:
        then = asyncio.get_running_loop().time() - _YOUNG
        leaving, silent = next(iter(self._leaving), None), next(iter(self._silent), None)
        resting = next((c for of in self._resting for c in of), None)
        if leaving is not None and leaving.ending < then:  # it has had time to read its last answer
            oldest: ClientConnection | None = leaving
        elif silent is not None and silent.since < then:
            oldest = silent
        else:
            oldest = resting or leaving or silent
        if oldest is None:
            return False
        self.counts["clients", "displaced-resting" if oldest is resting else "displaced"] += 1
        if oldest is resting:
            oldest.close()
        else:
            oldest.abort()
        self._forget(oldest)
        return True

    def _forget(self, connection: ClientConnection) -> None:
        self._connections.discard(connection)
        self.busy(connection)

    def busy(self, connection: ClientConnection) -> None:
        self._silent.pop(connection, None)
        self._resting[connection.rank].pop(connection, None)

    def rests(self, connection: ClientConnection) -> None:
        if connection in self._connections:
            self._resting[connection.rank][connection] = None

    def leaving(self, connection: ClientConnection) -> None:
        self.busy(connection)
        self._leaving[connection] = None

    def left(self, connection: ClientConnection) -> None:
        self._forget(connection)
        self._leaving.pop(connection, None)

    def _look(self) -> None:
        """Let go of who asks nothing: judged by whole commands, as bytes alone may trickle for ever."""
        now = asyncio.get_running_loop().time()
        for connection in list(self._silent):
            if now - connection.since < _SILENCE:
                break
            self._let_go(connection)
        for of in self._resting:
            for connection in list(of):
                if now - connection.since < _SILENCE:
                    break
                if connection.halfway or now - connection.since >= _IDLE:
                    self._let_go(connection)
        for connection in list(self._leaving):
            if now - connection.ending < LINGER:
                break
            connection.abort()  # it does not read its last answers
        self._look_timer = None
        if self._connections or self._leaving:
            self._look_timer = asyncio.get_running_loop().call_later(_LOOK, self._look)

    def _let_go(self, connection: ClientConnection) -> None:
        self.busy(connection)
        what = "halfway" if connection.halfway else "idle" if connection.greeted else "silent"
        self.counts["clients", what] += 1
        if connection.halfway:
            connection.refuse("Protocol error: a command was not finished in time")
        else:
            connection.close()

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        for connection in list(self._connections):
            connection.close()

    def close(self) -> None:
        self.close_idle()

    def request(self, args: list[bytes], connection: ClientConnection, slot: Slot) -> None:
        command = args[0].upper()
        if command == b"PING" and len(args) <= 2:
            content = b"+PONG\r\n" if len(args) == 1 else b"$%d\r\n%b\r\n" % (len(args[1]), args[1])
            connection.answer(slot, content)
        elif command == b"AUTH" and self.access is not None:
            self._log_in(args, connection, self.access)
            connection.answer(slot, b"+OK\r\n")
        elif command == b"ENQUEUE":
            submission = self._submission(args, connection, slot)
            connection.handed_in += 1
            self._submit(submission)
        else:
            raise BadRequest(f"unknown command '{_shown(args[0])}'")

    @staticmethod
    def _log_in(args: list[bytes], connection: ClientConnection, access: Access) -> None:
        if not access.users:
            raise BadRequest("AUTH called without any users configured")
        if len(args) != 3:
            raise BadRequest("AUTH takes a user and a password")
        tenant = access.tenant(args[1], args[2])
        if tenant is None:
            connection.tenant = ""
            raise BadRequest("invalid username-password pair", "WRONGPASS")
        connection.tenant = tenant

    def _submission(self, args: list[bytes], connection: ClientConnection, slot: Slot) -> Submission:
        if self.access is not None and not (connection.tenant or self.access.anonymous):
            raise BadRequest("Authentication required.", "NOAUTH")
        if len(args) != 5:
            raise BadRequest("wrong number of arguments for 'enqueue'")
        msg_id = _token(args[2], "id")
        pairs = dict(_pair(part) for part in args[3].split(b","))
        grade = self._grades.get(pairs.get(b"c", b""))
        if grade is None:
            raise BadRequest(f"unknown class '{_shown(pairs.get(b'c', b''))}'")
        dest, left = pairs.get(b"dest", b""), pairs.get(b"d", b"")
        if not dest.isdigit() or len(dest) > 9:
            raise BadRequest("dest: not a number")
        if not left.isdigit() or len(left) > 9:
            raise BadRequest("d: not a number of milliseconds")
        if not int(left):
            raise BadRequest("d: no time left")
        key = _token(pairs[b"k"], "k") if b"k" in pairs else ""

        def answer(what: Answer) -> None:
            connection.answer(slot, _reply(what))

        return Submission(
            msg_id,
            grade,
            min(int(left) / 1000, self._deadlines[grade]),
            int(dest),
            key,
            args[4],
            self._front,
            answer,
            lambda: not connection.closed,
            connection.tenant or DEFAULT,
        )


def _reply(answer: Answer) -> bytes:
    if isinstance(answer, Taken) or answer.status is Status.DELIVERED:
        return b"+OK\r\n"
    if isinstance(answer, End) and answer.status is Status.DEFERRED:
        return b"-BUSY %d\r\n" % answer.again_ms if answer.again_ms > 0 else b"-BUSY\r\n"
    return b"-ERR undeliverable\r\n"


def _shown(text: bytes) -> str:
    return "".join(c if c.isprintable() else "?" for c in text[:40].decode("latin-1"))


def _pair(part: bytes) -> tuple[bytes, bytes]:
    name, sign, value = part.partition(b"=")
    if not sign:
        raise BadRequest(f"not name=value: '{_shown(part)}'")
    return name, value


def _token(raw: bytes, name: str) -> str:
    """Ids and keys travel in headers, so nothing but printable ASCII without spaces."""
    if not raw or len(raw) > 128 or not all(33 <= byte < 127 for byte in raw):
        raise BadRequest(f"{name}: 1 to 128 printable characters")
    return raw.decode("ascii")
