"""The part of an AMQP connection common to client and server: frames, heartbeats, assembly of contents."""

from __future__ import annotations

import asyncio
import math
from enum import Enum
from typing import Any, cast

from mountgauge.amqp import codec
from mountgauge.amqp.codec import AmqpError, Content, Frame, Method
from mountgauge.sockets import LINGER_S, InputDiscarder

# Shared by all connections: its content is copied out before the event loop reads again.
RECEIVE_BUFFER = bytearray(64 * 1024)
MAX_BODY_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024  # of a content header; a publisher needs a small part of it
FRAME_MAX = 128 * 1024  # bytes
_HEARTBEAT_GRACE_S = 0.25  # beyond two intervals, for a heartbeat in transit
_CLOSE_TIMEOUT_S = 2.0  # for the answer to a connection.close


class State(Enum):
    """Stages of a connection, from the protocol header to its end."""

    HEADER = "header"  # waits for the protocol header
    START = "start"
    TUNE = "tune"
    OPEN = "open"
    READY = "ready"
    CLOSING = "closing"  # close sent, waits for its answer and ignores all else
    CLOSED = "closed"


class Link(asyncio.BufferedProtocol):
    """One end of a connection. Subclasses implement `on_method`, `on_content` and `on_lost`.

    A subclass whose deadlines are in a shared timer wheel also overrides `arm`.
    """

    __slots__ = (
        "_close_deadline",
        "_contents",
        "_drain",
        "_frame_since",
        "_frames_pending",
        "_heartbeat_s",
        "_last_read_at",
        "_next_heartbeat_at",
        "_parser",
        "_timer",
        "bytes_written",
        "flushed",
        "frame_max",
        "state",
        "transport",
    )  # fmt: skip
    frames_per_turn = 1 << 30  # frames handled before other connections get their turn

    def __init__(self, state: State) -> None:
        self.state = state
        self.frame_max = codec.FRAME_MIN
        self.flushed = True  # all bytes written so far have been passed to the socket
        self.bytes_written = 0  # includes bytes still buffered by the transport
        self.transport: asyncio.Transport | None = None
        self._parser = codec.FrameParser(FRAME_MAX)
        self._contents: dict[int, Content] = {}
        self._heartbeat_s = 0.0
        self._drain: InputDiscarder | None = None  # set once further input is discarded
        self._frame_since = 0.0  # when the incomplete frame at the end of the input began
        self._frames_pending = False  # received frames wait for the connection's next turn
        self._last_read_at = 0.0
        self._next_heartbeat_at = math.inf
        self._close_deadline = math.inf  # when the connection is aborted if the peer hasn't closed it
        self._timer: asyncio.TimerHandle | None = None

    # For subclasses

    def on_method(self, channel: int, method: Method) -> None: ...

    def on_content(self, channel: int, content: Content) -> None: ...

    def on_lost(self) -> None: ...

    def on_protocol_header(self, header: bytes) -> None: ...

    def wait_turn(self) -> None:
        """Called with more than `frames_per_turn` frames received; the turn must call `continue_reading`."""

    def on_error(self, channel: int, error: AmqpError) -> None:
        self.close_with(error)

    # Output

    def send(self, data: bytes) -> None:
        if self.transport is not None and self.state is not State.CLOSED:
            if self._heartbeat_s:
                self._next_heartbeat_at = asyncio.get_running_loop().time() + self._heartbeat_s / 2
            self.bytes_written += len(data)
            self.transport.write(data)
            if self.transport.is_closing():  # the write failed, and the system accepted none of it
                self.flushed = False

    def send_method(self, channel: int, name: str, **args: Any) -> None:
        self.send(codec.method(channel, name, **args))

    def close_with(self, error: AmqpError) -> None:
        """Send `connection.close`, and wait a limited time for its answer."""
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
        self._close_deadline = asyncio.get_running_loop().time() + _CLOSE_TIMEOUT_S
        self.arm(self.deadline)

    def discard_input(self) -> None:
        """Discard further input for at most a second, so that the peer can read the last frames sent."""
        if self._drain is None and self.transport is not None:
            self._drain = InputDiscarder(self.transport)
            self._close_deadline = asyncio.get_running_loop().time() + LINGER_S
            self.arm(self.deadline)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # Deadlines: one timer for each link, set to the earliest of them

    def start_heartbeats(self, seconds: float, phase: float = 1.0) -> None:
        """Send heartbeats as negotiated; abort after two intervals without input.

        The first heartbeat is sent after `phase` of half an interval: with different phases, connections
        don't send all at the same time.
        """
        self._heartbeat_s = seconds
        if seconds > 0:
            self._last_read_at = asyncio.get_running_loop().time()
            self._next_heartbeat_at = self._last_read_at + phase * seconds / 2
            self.arm(self.deadline)

    @property
    def deadline(self) -> float:
        """Loop time (s) at which `on_due` has something to do; inf: never."""
        if self._close_deadline < math.inf:
            return self._close_deadline
        if not self._heartbeat_s:
            return math.inf
        return min(self._next_heartbeat_at, self._heartbeat_timeout_at)

    @property
    def _heartbeat_timeout_at(self) -> float:
        return self._last_read_at + 2 * self._heartbeat_s + min(_HEARTBEAT_GRACE_S, self._heartbeat_s / 4)

    def on_due(self, now: float) -> None:
        """Abort after a missed deadline or send a heartbeat, whichever is due, and set the next deadline."""
        if self.state is State.CLOSED:
            return
        if now >= self._close_deadline or (self._heartbeat_s and now >= self._heartbeat_timeout_at):
            self.abort()
            return
        if now >= self._next_heartbeat_at and self.state is not State.CLOSING:
            self.send(codec.frame(codec.HEARTBEAT, 0, b""))
        self.arm(self.deadline)

    def arm(self, when: float) -> None:
        """Call `on_due` at `when`, instead of at any time set before."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if when < math.inf:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(when, lambda: self.on_due(loop.time()))

    # Input

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True

    def get_buffer(self, sizehint: int) -> bytearray:
        return RECEIVE_BUFFER if self._drain is None else self._drain.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self._last_read_at = asyncio.get_running_loop().time()
        if self._drain is not None:
            self._drain.on_data()
            return
        if not self._parser.partial:
            self._frame_since = self._last_read_at
        self._parser.feed(memoryview(RECEIVE_BUFFER)[:nbytes])
        self.read_frames()

    @property
    def has_partial_message(self) -> bool:
        """Whether a frame or a message has been received in part."""
        return self._parser.partial or bool(self._contents)

    @property
    def partial_since(self) -> float:
        """When the oldest frame or message began that was received in part; infinite if there is none."""
        frame_since = self._frame_since if self._parser.partial else math.inf
        return min([frame_since, *(content.since for content in self._contents.values())])

    @property
    def partial_bytes(self) -> int:
        """The memory of frames and messages received in part."""
        return self._parser.buffered_bytes + sum(content.held_bytes for content in self._contents.values())

    def read_frames(self) -> None:
        """Handle the frames received, up to `frames_per_turn`."""
        if self.state is State.HEADER:
            if (header := self._parser.protocol_header()) is None:
                return
            self.on_protocol_header(header)
        remaining = self.frames_per_turn
        while self.state is not State.CLOSED and not self._frames_pending:
            if not remaining:
                self._frames_pending = True
                self.wait_turn()
                return
            remaining -= 1
            try:
                frame = self._parser.next()
            except AmqpError as error:  # the start of the next frame is unknown from here on
                self.close_with(error)
                self.discard_input()
                return
            if frame is None:
                return
            self._frame_since = self._last_read_at  # of what follows it
            try:
                self._handle_frame(frame)
            except AmqpError as error:
                self.on_error(frame.channel, error)

    def continue_reading(self) -> None:
        """Handle further received frames: the connection's turn has come."""
        self._frames_pending = False
        if self.transport is not None and not self.transport.is_closing():
            self.read_frames()

    def _handle_frame(self, frame: Frame) -> None:
        kind, channel, payload = frame
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
                self._contents[channel] = Content(method, since=self._last_read_at)
            if self.state is not State.CLOSING or method.name in ("connection.close", "connection.close-ok"):
                self.on_method(channel, method)
            return
        if self.state is State.CLOSING:
            return
        if content is None:
            if self.ignores_content(channel):
                return
            raise AmqpError(505, "UNEXPECTED_FRAME - content without its method")
        if kind == codec.HEADER:
            if content.size >= 0:
                raise AmqpError(505, "UNEXPECTED_FRAME - a second header")
            content.size, content.header = codec.content_size(payload), payload
            if content.size > MAX_BODY_BYTES or len(payload) > MAX_HEADER_BYTES:
                del self._contents[channel]
                raise AmqpError(311, "CONTENT_TOO_LARGE", False, codec.BASIC_CLASS_ID, 40)
        elif kind == codec.BODY:
            if content.size < 0 or len(content.body) + len(payload) > content.size:
                raise AmqpError(505, "UNEXPECTED_FRAME - more body than announced")
            content.body += payload
        else:
            raise AmqpError(501, "FRAME_ERROR - unknown kind of frame")
        if content.complete:
            del self._contents[channel]
            self.on_content(channel, content)

    def ignores_content(self, channel: int) -> bool:
        """Whether content frames on this channel are ignored because it is being closed."""
        return False

    def drop_content(self, channel: int) -> None:
        """Discard a message received in part."""
        self._contents.pop(channel, None)

    def connection_lost(self, error: Exception | None) -> None:
        if self.state is not State.CLOSED:
            self.state = State.CLOSED
            if self._timer is not None:
                self._timer.cancel()
            self._drain = None
            self.on_lost()
            self.transport = None
