"""What both ends of an AMQP connection share: frames in and out, heartbeats, content put together."""

from __future__ import annotations

import asyncio
import math
from enum import Enum
from typing import Any, cast

from mountgauge.amqp import codec
from mountgauge.amqp.codec import AmqpError, Content, Frame, Method
from mountgauge.sockets import LINGER_S, InputDiscarder

RECEIVE = bytearray(64 * 1024)  # shared: what arrives is copied out before the loop reads again
MOST_BODY = 64 * 1024
FRAME_MAX = 128 * 1024
_GRACE = 0.25  # s past two intervals, for a beat that is on its way
_CLOSING = 2.0  # s in which a close is to be answered


class State(Enum):
    """How far a connection has come, from its header to its end."""

    HEADER = "header"  # the eight bytes that open it
    START = "start"
    TUNE = "tune"
    OPEN = "open"
    READY = "ready"
    CLOSING = "closing"  # close sent, its answer awaited: all else is passed over
    CLOSED = "closed"


class Link(asyncio.BufferedProtocol):
    """Subclasses take `on_method`, `on_content`, `on_lost`, and `arm` where a wheel has their deadlines."""

    __slots__ = (
        "_beat", "_beat_at", "_closing_by", "_contents", "_drain", "_heartbeat", "_more", "_parser",
        "_read_at", "_whole_at", "flushed", "frame_max", "state", "transport", "written",
    )  # fmt: skip
    quantum = 1 << 30  # frames that are read in a row

    def __init__(self, state: State) -> None:
        self.state = state
        self.frame_max = codec.FRAME_MIN
        self.flushed = True  # all that was written has reached the socket
        self.written = 0  # bytes, also those that wait for the socket
        self.transport: asyncio.Transport | None = None
        self._parser = codec.FrameParser(FRAME_MAX)
        self._contents: dict[int, Content] = {}
        self._heartbeat = 0.0
        self._drain: InputDiscarder | None = None  # once nothing more is heard
        self._whole_at = 0.0  # when a frame or a message last stood half there no longer
        self._more = False  # frames have come that wait for their turn
        self._read_at = 0.0
        self._beat_at = math.inf  # when the next heartbeat has to leave
        self._closing_by = math.inf  # when the answer to a close is given up
        self._beat: asyncio.TimerHandle | None = None

    # For subclasses

    def on_method(self, channel: int, method: Method) -> None: ...

    def on_content(self, channel: int, content: Content) -> None: ...

    def on_lost(self) -> None: ...

    def on_header(self, head: bytes) -> None: ...

    def wait_turn(self) -> None:
        """More has come than `quantum`; `more` is to be called in turn."""

    def on_error(self, channel: int, error: AmqpError) -> None:
        self.close_with(error)

    # Out

    def send(self, data: bytes) -> None:
        if self.transport is not None and self.state is not State.CLOSED:
            if self._heartbeat:
                self._beat_at = asyncio.get_running_loop().time() + self._heartbeat / 2
            self.written += len(data)
            self.transport.write(data)
            if self.transport.is_closing():  # it broke as it was written to, and the system took nothing
                self.flushed = False

    def send_method(self, channel: int, name: str, **args: Any) -> None:
        self.send(codec.method(channel, name, **args))

    def close_with(self, error: AmqpError) -> None:
        if self.state in (State.CLOSING, State.CLOSED):
            return
        self.send_method(
            0,
            "connection.close",
            code=error.code,
            text=error.text,
            class_id=error.class_id,
            method_id=error.method_id,
        )
        self.state = State.CLOSING
        self._closing_by = asyncio.get_running_loop().time() + _CLOSING
        self.arm(self.deadline)

    def hear_no_more(self) -> None:
        if self._drain is None and self.transport is not None:
            self._drain = InputDiscarder(self.transport)
            self._closing_by = asyncio.get_running_loop().time() + LINGER_S
            self.arm(self.deadline)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # Deadlines: one for each link, the earliest of its own

    def beat_every(self, seconds: float, phase: float = 1.0) -> None:
        """Heartbeats as agreed; silence for two intervals means that the other side is gone.

        The first one leaves after `phase` of half an interval: spread, so that not all beat together.
        """
        self._heartbeat = seconds
        if seconds > 0:
            self._read_at = asyncio.get_running_loop().time()
            self._beat_at = self._read_at + phase * seconds / 2
            self.arm(self.deadline)

    @property
    def deadline(self) -> float:
        """When `on_due` has something to do (s); inf: never."""
        if self._closing_by < math.inf:
            return self._closing_by
        if not self._heartbeat:
            return math.inf
        return min(self._beat_at, self._silent_at)

    @property
    def _silent_at(self) -> float:
        return self._read_at + 2 * self._heartbeat + min(_GRACE, self._heartbeat / 4)

    def on_due(self, now: float) -> None:
        if self.state is State.CLOSED:
            return
        if now >= self._closing_by or (self._heartbeat and now >= self._silent_at):
            self.abort()
            return
        if now >= self._beat_at and self.state is not State.CLOSING:
            self.send(codec.frame(codec.HEARTBEAT, 0, b""))
        self.arm(self.deadline)

    def arm(self, when: float) -> None:
        """`on_due` is wanted at `when`, and at no time set before."""
        if self._beat is not None:
            self._beat.cancel()
            self._beat = None
        if when < math.inf:
            loop = asyncio.get_running_loop()
            self._beat = loop.call_at(when, lambda: self.on_due(loop.time()))

    # In

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True

    def get_buffer(self, sizehint: int) -> bytearray:
        return RECEIVE if self._drain is None else self._drain.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self._read_at = asyncio.get_running_loop().time()
        if self._drain is not None:
            self._drain.on_data()
            return
        if not self.halfway:
            self._whole_at = self._read_at
        self._parser.feed(memoryview(RECEIVE)[:nbytes])
        self.read()

    @property
    def halfway(self) -> bool:
        """A frame or a message has begun and is not whole."""
        return self._parser.partial or bool(self._contents)

    @property
    def held(self) -> int:
        """Bytes of what has begun and is not whole."""
        return self._parser.held + sum(len(one.body) for one in self._contents.values())

    def read(self) -> None:
        if self.state is State.HEADER:
            if (head := self._parser.header()) is None:
                return
            self.on_header(head)
        left = self.quantum
        while self.state is not State.CLOSED and not self._more:
            if not left:
                self._more = True
                self.wait_turn()
                return
            left -= 1
            try:
                one = self._parser.next()
            except AmqpError as error:  # where the next frame begins is not known any more
                self.close_with(error)
                self.hear_no_more()
                return
            if one is None:
                return
            try:
                self._frame(one)
            except AmqpError as error:
                self.on_error(one.channel, error)

    def more(self) -> None:
        """Its turn to have more frames read."""
        self._more = False
        if self.transport is not None and not self.transport.is_closing():
            self.read()

    def _frame(self, one: Frame) -> None:
        kind, channel, payload = one
        if kind == codec.HEARTBEAT:
            if channel:
                raise AmqpError(501, "FRAME_ERROR - heartbeat on a channel")
            return
        content = self._contents.get(channel)
        if kind == codec.METHOD:
            if content is not None and self.state is not State.CLOSING:
                del self._contents[channel]
                raise AmqpError(505, "UNEXPECTED_FRAME - method inside a content")
            method = codec.decode_method(payload)
            if method.name in ("basic.publish", "basic.return"):
                self._contents[channel] = Content(method)
            if self.state is not State.CLOSING or method.name in ("connection.close", "connection.close-ok"):
                self.on_method(channel, method)
            return
        if self.state is State.CLOSING:
            return
        if content is None:
            if self.passes_over(channel):
                return
            raise AmqpError(505, "UNEXPECTED_FRAME - content without its method")
        if kind == codec.HEADER:
            if content.size >= 0:
                raise AmqpError(505, "UNEXPECTED_FRAME - a second header")
            content.size, content.head = codec.content_size(payload), payload
            if content.size > MOST_BODY:
                del self._contents[channel]
                raise AmqpError(311, "CONTENT_TOO_LARGE", False, codec.BASIC, 40)
        elif kind == codec.BODY:
            if content.size < 0 or len(content.body) + len(payload) > content.size:
                raise AmqpError(505, "UNEXPECTED_FRAME - more body than announced")
            content.body += payload
        else:
            raise AmqpError(501, "FRAME_ERROR - unknown kind of frame")
        if content.whole:
            del self._contents[channel]
            self.on_content(channel, content)

    def passes_over(self, channel: int) -> bool:
        """Whether frames on this channel are to be ignored, as it is being closed."""
        return False

    def drop_content(self, channel: int) -> None:
        self._contents.pop(channel, None)

    def connection_lost(self, error: Exception | None) -> None:
        if self.state is not State.CLOSED:
            self.state = State.CLOSED
            if self._beat is not None:
                self._beat.cancel()
            self._drain = None
            self.on_lost()
            self.transport = None
