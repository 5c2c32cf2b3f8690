"""One client's connection over RESP2: its requests, the answers in order, and closing in steps."""

from __future__ import annotations

import asyncio
import logging
from enum import IntEnum
from typing import cast

from mountgauge.clients.parser import RespError, RespParser, count_commands
from mountgauge.connections.admission import Activity
from mountgauge.connections.connection import ConnectionTransport
from mountgauge.connections.front import Front
from mountgauge.connections.scheduler import QUANTUM, WOKEN_AFTER_S
from mountgauge.connections.timer_wheel import INFINITE
from mountgauge.log import kv
from mountgauge.sockets import LINGER_S, InputDiscarder

log = logging.getLogger("mountgauge.clients")

_RECEIVE = bytearray(64 * 1024)  # shared: what arrives is copied out before the loop reads again
_MAX_BAD_REQUESTS = 16  # per connection; the last one closes it
_EOF_CHECK_INTERVAL_S = 0.1  # between checks whether the client has closed too
_MAX_PENDING = 64  # unanswered requests of one connection; at the limit it is not read


class BadRequestError(ValueError):
    """A request that is not understood or not allowed; the connection stays open."""

    def __init__(self, text: str, code: str = "ERR") -> None:
        super().__init__(text)
        self.code = code


class Slot:
    """Holds the answer to one request, as answers are sent in the order of the requests."""

    __slots__ = ("content",)

    def __init__(self) -> None:
        self.content: bytes | None = None


class Closing(IntEnum):
    """The steps of closing a client's connection; only `ClientConnection._advance_close` changes the state.

    Every request that was read is answered: after OPEN with -BUSY, as it is not accepted. Later bytes are not
    read: the client sees EOF after the last answer and sends its request again. Closing with unread bytes
    would reset the connection, which may destroy the last answers, so the socket is closed after the client's
    own EOF. After bytes that are not valid RESP2, commands can't be delimited: further bytes are discarded.
    """

    OPEN = 0  # requests are read
    ANSWERING = 1  # nothing more is read; earlier requests are still answered
    SHUT = 2  # all answers are sent and the sending side is shut; kept until the client closes, or LINGER_S
    CLOSED = 3


class ClientConnection(asyncio.BufferedProtocol):
    """Serves one client: answers requests in order and limits how many are open; see `Closing` for its end.

    While no request is open it keeps neither a parser nor slots for answers and takes some 300 bytes.
    """

    __slots__ = (
        "_bad_requests", "_clients", "_close_by", "_drain", "_parser", "_partial_since", "_read_paused",
        "_reading", "_slots", "_stage", "_transport", "_turn_queued", "_write_paused", "activity",
        "command_received", "due_at", "eof_seen", "since", "submitted", "tenant", "tick", "user", "woken",
    )  # fmt: skip

    def __init__(self, clients: ClientFront) -> None:
        self._clients = clients
        self._parser: RespParser | None = None
        self._slots: list[Slot] = []
        self._transport: asyncio.Transport | None = None
        self._read_paused = self._write_paused = False
        self._turn_queued = False  # commands are buffered for the connection's next turn
        self._reading = False  # commands are being read from the parser
        # Discards what is received once commands can't be delimited.
        self._drain: InputDiscarder | None = None
        self._close_by = INFINITE  # set once the sending side is shut
        self._bad_requests = 0
        self._partial_since = INFINITE  # when the incomplete command began
        self._stage = Closing.OPEN
        self.eof_seen = False  # the client has shut its sending side
        self.tenant = ""  # of the logged-in user
        self.submitted = 0  # messages submitted so far
        self.command_received = False  # at least one complete command
        self.woken = False  # the current request followed a time without requests
        # Maintained by admission and the registry: the activity, when it began, and the only deadline.
        self.activity: int = Activity.BUSY
        self.since, self.user = 0.0, ""
        self.due_at, self.tick = INFINITE, -1

    @property
    def closing(self) -> bool:
        """Whether no further requests are read."""
        return self._stage is not Closing.OPEN

    @property
    def closed(self) -> bool:
        """Whether the transport has closed."""
        return self._stage is Closing.CLOSED

    @property
    def parked(self) -> bool:
        """Whether nothing is buffered and no answer is owed."""
        return not self._slots and self._parser is None

    @property
    def idle_rank(self) -> int:
        """The order of displacement: first connections that have submitted one message, then those that have
        submitted none and may be about to do so after a PING, last those in repeated use.
        """
        return Activity.IDLE + (1, 0, 2)[min(self.submitted, 2)]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._clients.add_connection(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return _RECEIVE if self._drain is None else self._drain.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        if self._drain is not None:
            self._drain.on_data()
            return
        if self._parser is None:
            self._parser = RespParser()
        self._parser.feed(memoryview(_RECEIVE)[:nbytes])
        self._read()

    def continue_reading(self) -> None:
        """Read further commands in the connection's turn."""
        self._turn_queued = False
        self._read()

    def _read(self) -> None:
        if self._turn_queued or self._reading:
            return  # the turn is still to come, or an answer was written during the reading
        self._reading = True
        try:
            self._read_commands()
        finally:
            self._reading = False
        self._update_reading()

    def _read_commands(self) -> None:
        left = QUANTUM
        completed = False
        while (
            not self.closing and len(self._slots) < _MAX_PENDING and not self._write_paused and self._parser
        ):
            if not left:
                self._turn_queued = True
                self._clients.registry.queue_turn(self)
                break
            left -= 1
            try:
                args = self._parser.next()
            except RespError as error:  # further commands can't be delimited
                self.close_with_error(f"Protocol error: {error}", unparsable=True)
                return
            if args is None:
                break
            completed = self.command_received = True
            if not self._slots and self.activity != Activity.BUSY:
                self.woken = self._clients.registry.now() - self.since >= WOKEN_AFTER_S
                if self._clients.reject_if_overloaded(self, args):
                    continue  # the connection stays idle
                self._clients.set_activity(self, Activity.BUSY)
            self._slots.append(slot := Slot())
            try:
                self._clients.request(args, self, slot)
            except BadRequestError as error:
                self._bad_requests += 1
                if self._bad_requests >= _MAX_BAD_REQUESTS:
                    self._slots.pop()
                    self.close_with_error(str(error), error.code)
                    return
                self._fill(slot, f"-{error.code} {error}\r\n".encode())
            except Exception as error:  # only this request fails, the others are still answered
                log.exception("request-failed", extra=kv(error=error))
                self._fill(slot, b"-ERR not carried out\r\n")
        self._keep_partial(completed)

    def _keep_partial(self, completed: bool) -> None:
        """Account for an incomplete command; release the parser if there is none."""
        if self._parser is None:
            return
        if self._parser.partial:
            if completed or self._partial_since == INFINITE:
                self._partial_since = self._clients.registry.now()
            self._clients.set_partial_bytes(self, self._parser.buffered_bytes)
            if not self._slots and not self.closing:
                self._arm_idle_deadline()
        else:
            self._parser, self._partial_since = None, INFINITE
            self._clients.set_partial_bytes(self, 0)

    def _arm_idle_deadline(self) -> None:
        """Set the deadline of a connection without open requests.

        While answers are unread, the time limit for these applies instead.
        """
        if self._write_paused:
            return
        times = self._clients.times
        limit = times.idle if self.command_received else times.handshake
        self._clients.registry.arm(self, min(self.since + limit, self._partial_since + times.half))

    def on_due(self, now: float) -> None:
        """Close on timeout. Only complete commands count as progress, as bytes may trickle for ever."""
        times = self._clients.times
        if self.closing:
            if self._stage is Closing.SHUT:
                self._check_for_eof(now)
            elif self._write_paused:
                self.abort()  # the client does not read its last answers
        elif self._write_paused:
            self._clients.counts["clients", "unread"] += 1
            self.abort()
        elif self._slots:
            return
        elif self._partial_since < INFINITE and (
            not self.command_received or now - self._partial_since >= times.half
        ):
            self._clients.counts["clients", "halfway"] += 1
            self.close_with_error("Protocol error: a command was not finished in time", unparsable=True)
        elif self._partial_since < INFINITE:
            self._clients.registry.arm(self, self._partial_since + times.half)
        else:
            self._clients.counts["clients", "idle" if self.command_received else "silent"] += 1
            self.close()

    def close_with_error(self, why: str, code: str = "ERR", unparsable: bool = False) -> None:
        """Send an error line, stop reading, and close once earlier requests are answered.

        `unparsable`: further commands can't be delimited.
        """
        if self.closing or self._transport is None:
            return
        self._slots.append(slot := Slot())
        self._advance_close(unparsable)
        self._fill(slot, f"-{code} {why}\r\n".encode())

    def _advance_close(self, unparsable: bool = False, already_answered: int = 0) -> None:
        """Advance `Closing`: stop reading, send the owed answers, shut the sending side, wait, close.

        `already_answered`: how many answers were sent before their requests were read.
        """
        transport = self._transport
        if transport is None:
            return
        if self._stage is Closing.OPEN:
            self._stage = Closing.ANSWERING
            self._reject_remaining(unparsable)
            if not self.eof_seen and not transport.is_closing():
                self._stop_reading(transport, unparsable)
        if self._stage is Closing.ANSWERING and not self._slots:
            self._stage = Closing.SHUT
            self._clients.set_activity(self, Activity.LEAVING)
            registry = self._clients.registry
            self._close_by = registry.now() + LINGER_S
            registry.arm(self, registry.now() + _EOF_CHECK_INTERVAL_S)
            if transport.is_closing():
                return
            if self.eof_seen:
                transport.close()
            elif self._clients.may_linger():
                transport.write_eof()
            else:
                self._close_without_linger(transport, already_answered)

    def _reject_remaining(self, unparsable: bool) -> None:
        """Answer buffered commands with -BUSY, after the answers that are still owed."""
        parser, self._parser, self._partial_since = self._parser, None, INFINITE
        self._clients.set_partial_bytes(self, 0)
        if parser is None or unparsable or not (count := parser.count_remaining()):
            return
        content = self._clients.busy_answer() * count
        if self._slots:
            self._slots.append(slot := Slot())
            slot.content = content
        else:
            self.send(content)

    def _stop_reading(self, transport: asyncio.Transport, unparsable: bool) -> None:
        if unparsable:
            self._drain = InputDiscarder(transport)
            if self._read_paused:
                transport.resume_reading()
        elif isinstance(transport, ConnectionTransport):
            transport.stop_reading()
        elif not self._read_paused:
            transport.pause_reading()

    def _check_for_eof(self, now: float) -> None:
        """The sending side is shut: close once the client has closed too, or at the deadline."""
        transport, check_at = self._transport, self._close_by
        ended = False
        if isinstance(transport, ConnectionTransport) and not transport.reports_eof:  # unread bytes hide it
            ended = transport.peer_ended and not self._write_paused
            check_at = min(check_at, now + _EOF_CHECK_INTERVAL_S)
        if ended or now >= self._close_by:
            self.abort()
        else:
            self._clients.registry.arm(self, check_at)

    def _close_without_linger(self, transport: asyncio.Transport, already_answered: int) -> None:
        """Close at once, as descriptors are scarce: answer what has arrived, don't wait for more."""
        if isinstance(transport, ConnectionTransport):
            received = transport.read_pending(_RECEIVE)
            if self._drain is None:
                self.send(
                    self._clients.busy_answer()
                    * (count_commands(memoryview(_RECEIVE)[:received]) - already_answered)
                )
        transport.write_eof()
        transport.close()

    def _update_reading(self) -> None:
        """Back-pressure: pause reading while answers are unread or too many requests are open."""
        pause = len(self._slots) >= _MAX_PENDING or self._write_paused or self._turn_queued
        if (
            self._transport is None
            or self._transport.is_closing()
            or pause == self._read_paused
            or self.closing
        ):
            return
        self._read_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        self._write_paused = True
        registry, unread = self._clients.registry, self._clients.times.unread
        if not self.closing:
            registry.arm(self, registry.now() + unread)
        self._update_reading()

    def resume_writing(self) -> None:
        self._write_paused = False
        if not self._slots and not self.closing:
            self._arm_idle_deadline()
        self._read()

    def _fill(self, slot: Slot, content: bytes) -> None:
        slot.content = content
        slots, count = self._slots, 0
        while count < len(slots) and slots[count].content is not None:
            count += 1
        if not count:
            return
        ready = b"".join(cast(bytes, one.content) for one in slots[:count])
        del slots[:count]
        if self._transport is not None and not self.closed:
            if not slots:
                self.since = self._clients.registry.now()
                if not self.closing:
                    self._clients.set_activity(self, self.idle_rank)
                    self._arm_idle_deadline()
            self._transport.write(ready)
            if not slots and (self.closing or self._clients.closing_after_answers):
                self._advance_close()  # also while a lame duck, whose clients go elsewhere

    def answer(self, slot: Slot, content: bytes) -> None:
        """Answer the request of this slot, and read on if that was paused."""
        self._fill(slot, content)
        if self._read_paused:
            self._read()

    def send(self, content: bytes) -> None:
        """Send an answer at once; only while no earlier request is unanswered."""
        if self._transport is not None and not self.closed:
            self._transport.write(content)

    def close(self) -> None:
        """Close once all requests that were read are answered."""
        self._advance_close()

    def abandon_partial(self) -> None:
        if self._slots:
            self.close_with_error("Protocol error: too much of a command that is not whole", unparsable=True)
        else:
            self.abort()

    def displace(self) -> None:
        """Close in order if idle, else abort."""
        if Activity.IDLE <= self.activity < Activity.LEAVING:
            self.close()
        else:
            self.abort()

    def reject(self, again_ms: int) -> None:
        """Answer -BUSY and close; the client may safely submit again."""
        self.send(b"-BUSY %d\r\n" % again_ms)
        self._advance_close(already_answered=1)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        self.eof_seen, self._drain = True, None
        self._advance_close()
        return bool(self._slots)  # the remaining answers are still sent

    def connection_lost(self, error: Exception | None) -> None:
        self._stage = Closing.CLOSED
        self._parser = self._transport = None
        self._drain = None
        self._clients.remove_connection(self)


class ClientFront(Front[ClientConnection]):
    """What a connection needs of its front."""

    closing_after_answers: bool  # each connection is closed once its requests are answered

    def busy_answer(self) -> bytes:
        """The answer to a request that is not accepted; the client may safely submit it again."""
        raise NotImplementedError

    def request(self, args: list[bytes], connection: ClientConnection, slot: Slot) -> None:
        """Execute a command, whose answer goes into the slot; raises BadRequestError if it is not valid."""
        raise NotImplementedError

    def reject_if_overloaded(self, connection: ClientConnection, args: list[bytes]) -> bool:
        """Reject a command with -BUSY under overload; returns whether it was rejected."""
        raise NotImplementedError
