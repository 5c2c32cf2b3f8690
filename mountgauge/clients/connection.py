"""One client's connection over RESP2: requests in, answers out in their order, and its end in steps."""

from __future__ import annotations

import asyncio
import logging
from enum import IntEnum
from typing import cast

from mountgauge.clients.parser import RespError, RespParser, count_whole
from mountgauge.connections.admission import Activity
from mountgauge.connections.connection import ConnectionTransport
from mountgauge.connections.front import Front
from mountgauge.connections.scheduler import QUANTUM, RESTED
from mountgauge.connections.timer_wheel import FAR
from mountgauge.log import kv
from mountgauge.sockets import LINGER_S, InputDiscarder

log = logging.getLogger("mountgauge.clients")

_RECEIVE = bytearray(64 * 1024)  # shared: what arrives is copied out before the loop reads again
_MOST_BAD = 16  # requests of one connection that were not understood; with the last one it is closed
_LOOK_EVERY = 0.1  # s between two looks whether a client that is let go has ended
_MOST_WAITING = 64  # unanswered requests of one connection; past them it is not read


class BadRequestError(ValueError):
    """A request that is not understood or not allowed; the connection goes on."""

    def __init__(self, text: str, code: str = "ERR") -> None:
        super().__init__(text)
        self.code = code


class Slot:
    """The place of one answer: they leave in the order of the requests."""

    __slots__ = ("content",)

    def __init__(self) -> None:
        self.content: bytes | None = None


class Closing(IntEnum):
    """How far the end of a client's connection has come; `ClientConnection._leave` alone moves it on.

    A request that has been read is answered: past OPEN by -BUSY, as it is not taken on. What comes later is
    not read: its client sees the sending side shut behind the last answer, and sends it again. A close over
    unread bytes is a reset, which may take the last answers with it; so it waits until the client has ended
    as well. Behind bytes that are no command nothing can be told apart: those are read and thrown away.
    """

    OPEN = 0  # requests are heard
    ANSWERING = 1  # nothing more is heard; what was asked before is still answered
    SHUT = 2  # all is said, the sending side is shut; it is kept until the client ends, or LINGER_S
    CLOSED = 3


class ClientConnection(asyncio.BufferedProtocol):
    """Requests are answered in turn, and not read past a bound; its end goes through the states of `Closing`.

    With nothing asked it keeps no parser and no place for answers: some 300 bytes are all there is of it.
    """

    __slots__ = (
        "_bad", "_choked", "_clients", "_close_by", "_drain", "_half_at", "_more", "_parser", "_paused",
        "_slots", "_stage", "_transport", "_within", "activity", "due_at", "greeted", "handed_in",
        "heard_end", "since", "tenant", "tick", "user", "woken",
    )  # fmt: skip

    def __init__(self, clients: ClientFront) -> None:
        self._clients = clients
        self._parser: RespParser | None = None
        self._slots: list[Slot] = []
        self._transport: asyncio.Transport | None = None
        self._paused = self._choked = False
        self._more = False  # commands have come that wait for its next turn
        self._within = False  # it is reading
        self._drain: InputDiscarder | None = None  # once what comes can't be told apart
        self._close_by = FAR  # once it is shut
        self._bad = 0
        self._half_at = FAR  # when the command began that is not whole
        self._stage = Closing.OPEN
        self.heard_end = False  # the client has shut its sending side: nothing is left to be read
        self.tenant = ""  # of the user who logged in; none yet
        self.handed_in = 0  # messages
        self.greeted = False  # a whole command has come
        self.woken = False  # the command under way came after a rest
        # The registry's: what it is doing, since when, and its one deadline.
        self.activity: int = Activity.BUSY
        self.since, self.user = 0.0, ""
        self.due_at, self.tick = FAR, -1

    @property
    def closing(self) -> bool:
        return self._stage is not Closing.OPEN

    @property
    def closed(self) -> bool:
        return self._stage is Closing.CLOSED

    @property
    def parked(self) -> bool:
        return not self._slots and self._parser is None

    @property
    def rank(self) -> int:
        """Who asked once and stayed goes first, then who has only said PING and may be about to hand in its
        first message, last who uses its connection again and again."""
        return Activity.RESTING + (1, 0, 2)[min(self.handed_in, 2)]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._clients.joined(self)

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

    def more(self) -> None:
        """Its turn to have more commands read."""
        self._more = False
        self._read()

    def _read(self) -> None:
        if self._more or self._within:
            return  # in turn, or an answer came while it reads
        self._within = True
        try:
            self._read_some()
        finally:
            self._within = False
        self._pace()

    def _read_some(self) -> None:
        left = QUANTUM
        whole = False
        while not self.closing and len(self._slots) < _MOST_WAITING and not self._choked and self._parser:
            if not left:
                self._more = True
                self._clients.registry.wait(self)
                break
            left -= 1
            try:
                args = self._parser.next()
            except RespError as error:  # what follows cannot be told apart any more
                self.refuse(f"Protocol error: {error}", spoilt=True)
                return
            if args is None:
                break
            whole = self.greeted = True
            if not self._slots and self.activity != Activity.BUSY:
                self.woken = self._clients.registry.now() - self.since >= RESTED
                if self._clients.turns_back(self, args):
                    continue  # it rests on, as if it had not asked
                self._clients.set_activity(self, Activity.BUSY)
            self._slots.append(slot := Slot())
            try:
                self._clients.request(args, self, slot)
            except BadRequestError as error:
                self._bad += 1
                if self._bad >= _MOST_BAD:
                    self._slots.pop()
                    self.refuse(str(error), error.code)
                    return
                self._fill(slot, f"-{error.code} {error}\r\n".encode())
            except Exception as error:  # a fault costs this request, and no other its answer
                log.exception("request-failed", extra=kv(error=error))
                self._fill(slot, b"-ERR not carried out\r\n")
        self._keep(whole)

    def _keep(self, whole: bool) -> None:
        """Keep what a command that is not whole needs, and nothing where there is none."""
        if self._parser is None:
            return
        if self._parser.partial:
            if whole or self._half_at == FAR:
                self._half_at = self._clients.registry.now()
            self._clients.holds(self, self._parser.held)
            if not self._slots and not self.closing:
                self._watch()
        else:
            self._parser, self._half_at = None, FAR
            self._clients.holds(self, 0)

    def _watch(self) -> None:
        """Nothing is asked: how long it may stay so."""
        times = self._clients.times
        limit = times.idle if self.greeted else times.handshake
        self._clients.registry.arm(self, min(self.since + limit, self._half_at + times.half))

    def on_due(self, now: float) -> None:
        """Let go of who asks nothing: judged by whole commands, as bytes alone may trickle for ever."""
        times = self._clients.times
        if self.closing:
            if self._stage is Closing.SHUT:
                self._look_for_end(now)
            elif self._choked:
                self.abort()  # it does not read its last answers
        elif self._choked:
            self._clients.counts["clients", "unread"] += 1
            self.abort()
        elif self._slots:
            return
        elif self._half_at < FAR and (not self.greeted or now - self._half_at >= times.half):
            self._clients.counts["clients", "halfway"] += 1
            self.refuse("Protocol error: a command was not finished in time", spoilt=True)
        elif self._half_at < FAR:
            self._clients.registry.arm(self, self._half_at + times.half)
        else:
            self._clients.counts["clients", "idle" if self.greeted else "silent"] += 1
            self.close()

    def refuse(self, why: str, code: str = "ERR", spoilt: bool = False) -> None:
        """Say why, hear nothing more, and close once all that was asked before is answered.

        `spoilt`: what follows cannot be told apart.
        """
        if self.closing or self._transport is None:
            return
        self._slots.append(slot := Slot())
        self._leave(spoilt)
        self._fill(slot, f"-{code} {why}\r\n".encode())

    def _leave(self, spoilt: bool = False, told: int = 0) -> None:
        """The one way from OPEN to the end: hear nothing more, say what is owed, shut, wait, close.

        `told`: answers that have been said before their requests were read.
        """
        transport = self._transport
        if transport is None:
            return
        if self._stage is Closing.OPEN:
            self._stage = Closing.ANSWERING
            self._turn_back_rest(spoilt)
            if not self.heard_end and not transport.is_closing():
                self._stop_reading(transport, spoilt)
        if self._stage is Closing.ANSWERING and not self._slots:
            self._stage = Closing.SHUT
            self._clients.set_activity(self, Activity.LEAVING)
            registry = self._clients.registry
            self._close_by = registry.now() + LINGER_S
            registry.arm(self, registry.now() + _LOOK_EVERY)
            if transport.is_closing():
                return
            if self.heard_end:
                transport.close()
            elif self._clients.may_linger():
                transport.write_eof()
            else:
                self._drop(transport, told)

    def _turn_back_rest(self, spoilt: bool) -> None:
        """Commands that have been read and wait for their turn are answered, in theirs."""
        parser, self._parser, self._half_at = self._parser, None, FAR
        self._clients.holds(self, 0)
        if parser is None or spoilt or not (count := parser.count_rest()):
            return
        content = self._clients.busy() * count
        if self._slots:
            self._slots.append(slot := Slot())
            slot.content = content
        else:
            self.say(content)

    def _stop_reading(self, transport: asyncio.Transport, spoilt: bool) -> None:
        if spoilt:
            self._drain = InputDiscarder(transport)
            if self._paused:
                transport.resume_reading()
        elif isinstance(transport, ConnectionTransport):
            transport.read_no_more()
        elif not self._paused:
            transport.pause_reading()

    def _look_for_end(self, now: float) -> None:
        """It is shut: once its client has ended, or in time, it is closed."""
        transport, look_at = self._transport, self._close_by
        ended = False
        if isinstance(transport, ConnectionTransport) and not transport.hears_end:  # a request lies unread
            ended = transport.peer_ended and not self._choked
            look_at = min(look_at, now + _LOOK_EVERY)
        if ended or now >= self._close_by:
            self.abort()
        else:
            self._clients.registry.arm(self, look_at)

    def _drop(self, transport: asyncio.Transport, told: int) -> None:
        """Descriptors are short: what is there is read and answered, what is on its way is not waited for."""
        if isinstance(transport, ConnectionTransport):
            came = transport.take(_RECEIVE)
            if self._drain is None:
                self.say(self._clients.busy() * (count_whole(memoryview(_RECEIVE)[:came]) - told))
        transport.write_eof()
        transport.close()

    def _pace(self) -> None:
        """Back-pressure: a client that does not read its answers, or sends too many requests, is not read."""
        hold = len(self._slots) >= _MOST_WAITING or self._choked or self._more
        if self._transport is None or self._transport.is_closing() or hold == self._paused or self.closing:
            return
        self._paused = hold
        if hold:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        self._choked = True
        registry, unread = self._clients.registry, self._clients.times.unread
        if not self.closing:
            registry.arm(self, registry.now() + unread)
        self._pace()

    def resume_writing(self) -> None:
        self._choked = False
        if not self._slots and not self.closing:
            self._watch()
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
                    self._clients.set_activity(self, self.rank)
                    self._watch()
            self._transport.write(ready)
            if not slots and (self.closing or self._clients.letting_go):
                self._leave()  # or it is a lame duck, whose client goes elsewhere

    def answer(self, slot: Slot, content: bytes) -> None:
        self._fill(slot, content)
        if self._paused:
            self._read()

    def say(self, content: bytes) -> None:
        """With nothing asked before that is not answered."""
        if self._transport is not None and not self.closed:
            self._transport.write(content)

    def close(self) -> None:
        """Once what was asked is answered; between requests a sender may close."""
        self._leave()

    def give_up_half(self) -> None:
        if self._slots:
            self.refuse("Protocol error: too much of a command that is not whole", spoilt=True)
        else:
            self.abort()

    def displace(self) -> None:
        if Activity.RESTING <= self.activity < Activity.LEAVING:
            self.close()
        else:
            self.abort()

    def turn_away(self, again_ms: int) -> None:
        """No descriptor to spare: handing in again is harmless."""
        self.say(b"-BUSY %d\r\n" % again_ms)
        self._leave(told=1)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        self.heard_end, self._drain = True, None
        self._leave()
        return bool(self._slots)  # the answers still go out

    def connection_lost(self, error: Exception | None) -> None:
        self._stage = Closing.CLOSED
        self._parser = self._transport = None
        self._drain = None
        self._clients.left(self)


class ClientFront(Front[ClientConnection]):
    """What a connection asks of its front."""

    letting_go: bool  # each connection is closed once what was asked on it is answered

    def busy(self) -> bytes:
        """The answer to a request that is not taken on: handing it in again is harmless."""
        raise NotImplementedError

    def request(self, args: list[bytes], connection: ClientConnection, slot: Slot) -> None:
        """Carry a command out, whose answer goes into the slot; BadRequestError where it can't be."""
        raise NotImplementedError

    def turns_back(self, connection: ClientConnection, args: list[bytes]) -> bool:
        """Whether a command was answered at once, as more want to be heard than can be."""
        raise NotImplementedError
