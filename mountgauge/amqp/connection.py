"""A publisher's AMQP 0-9-1 connection: its handshake, channels, publishes and their outcomes.

A publish is accepted once it is in the journal. `basic.ack` reports a delivered message; `basic.return` and
`basic.nack` report one that is deferred or undeliverable.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from mountgauge.access import DEFAULT_TENANT, Access, sasl_user
from mountgauge.amqp import codec
from mountgauge.amqp.codec import AmqpError, Content, Method
from mountgauge.amqp.link import FRAME_MAX, RECEIVE_BUFFER, Link, State
from mountgauge.connections.admission import Activity
from mountgauge.connections.front import Front
from mountgauge.connections.scheduler import WOKEN_AFTER_S
from mountgauge.core.ports import MessageOutcome, Status

_MAX_CHANNELS = 16  # bounds memory: each channel may hold a partially received body
_FRAMES_PER_TURN = 24  # eight messages of three frames each
_HEARTBEAT_FRAME = codec.frame(codec.HEARTBEAT, 0, b"")
NO_ROUTE, NO_CONSUMERS = 312, 313  # reply codes of `basic.return`


@dataclass(slots=True, eq=False)
class Channel:
    """A channel that is open, or closing: `channel.close` sent, its answer not received."""

    number: int
    confirm: bool = False
    last_tag: int = 0
    closing: bool = False
    open: bool = True


@dataclass(slots=True, eq=False)
class PendingPublish:
    """A publish whose outcome hasn't been sent to the client."""

    connection: AmqpConnection
    channel: Channel
    tag: int
    content: Content


class AmqpConnection(Link):
    """A publisher's connection; an idle one is only this object, its transport and its open channels."""

    __slots__ = (
        "_channels", "_front", "_partial_deadline", "activity", "due_at", "handshake_deadline", "since",
        "tenant", "tick", "unread_deadline", "unsettled", "user", "woken",
    )  # fmt: skip
    frames_per_turn = _FRAMES_PER_TURN

    def __init__(self, front: PublisherFront) -> None:
        super().__init__(State.HEADER)
        self._front = front
        self._channels: dict[int, Channel] = {}
        self.tenant = DEFAULT_TENANT  # replaced at login by the tenant of the user
        self.unsettled = 0
        self.handshake_deadline = self._partial_deadline = self.unread_deadline = math.inf
        self.woken = False  # the publishes in progress came after an idle period
        # Set by the front and the registry: activity, its start, the user, and the entry in the timer wheel.
        self.activity: int = Activity.BUSY
        self.since, self.user = 0.0, ""
        self.due_at, self.tick = math.inf, -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.handshake_deadline = self._front.registry.now() + self._front.times.handshake
        self._front.add_connection(self)

    # Deadlines: the registry's timer wheel holds the earliest one of each connection

    @property
    def deadline(self) -> float:
        """The earliest deadline of this connection; inf: none."""
        if self._close_deadline < math.inf:
            return self._close_deadline
        found = min(super().deadline, self.handshake_deadline, self._partial_deadline, self.unread_deadline)
        if self.state is State.READY and self.settled:
            found = min(found, self.since + self._front.times.idle)
        return found

    def arm(self, when: float) -> None:
        self._front.registry.arm(self, when)

    def on_due(self, now: float) -> None:
        counts = self._front.counts
        if self._close_deadline < math.inf or self.transport is None:
            super().on_due(now)
        elif now >= self.handshake_deadline:
            counts["clients", "silent"] += 1
            self.abort()
        elif now >= self.unread_deadline:
            counts["clients", "unread"] += 1
            self.abort()
        elif now >= self._partial_deadline:
            counts["clients", "halfway"] += 1
            self.close_with(AmqpError(501, "FRAME_ERROR - a message was not finished in time"))
            self.discard_input()
        elif self.settled and now - self.since >= self._front.times.idle and not self.has_partial_message:
            counts["clients", "idle"] += 1
            self.close_with(AmqpError(320, "CONNECTION_FORCED - idle for too long"))
        else:
            if self._heartbeat_s and now >= self._heartbeat_timeout_at:
                counts["clients", "dead"] += 1
            super().on_due(now)

    def buffer_updated(self, nbytes: int) -> None:
        if (
            nbytes == len(_HEARTBEAT_FRAME)
            and self._drain is None
            and not self.has_partial_message
            and RECEIVE_BUFFER[:nbytes] == _HEARTBEAT_FRAME
        ):
            # Fast path: an idle connection receives hardly anything but heartbeats.
            self._last_read_at = self._front.registry.now()
            return
        super().buffer_updated(nbytes)
        self._track_partial_message()

    def continue_reading(self) -> None:
        super().continue_reading()
        self._track_partial_message()
        if (
            not self._frames_pending
            and self.transport is not None
            and not self.transport.is_closing()
            and self.flushed
        ):
            self.transport.resume_reading()

    def wait_turn(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self._front.registry.queue_turn(self)

    def _track_partial_message(self) -> None:
        """Set the deadline of a partially received message, and report its size to the front.

        Such a message uses memory and a connection slot. The deadline is for the complete message, since a
        client could send single bytes for ever.
        """
        if self.state is State.CLOSED:
            return
        # Received frames that wait for the connection's turn are not the client's delay.
        partial = self.has_partial_message and self.state is State.READY and not self._frames_pending
        if partial:
            deadline = self.partial_since + self._front.times.half
            if deadline != self._partial_deadline:
                self._partial_deadline = deadline
                self.arm(self.deadline)
        else:
            self._partial_deadline = math.inf
        self._front.set_partial_bytes(self, self.partial_bytes if self.has_partial_message else 0)

    def on_lost(self) -> None:
        for channel in self._channels.values():
            channel.open = False
        self._front.remove_connection(self)

    def displace(self) -> None:
        self.abort()

    def abandon_partial(self) -> None:
        self.abort()

    def reject(self, again_ms: int) -> None:
        self.abort()

    def on_protocol_header(self, header: bytes) -> None:
        if header != codec.PROTOCOL_HEADER:
            self.send(codec.PROTOCOL_HEADER)  # names the supported version, as the specification requires
            self.state = State.CLOSING
            self._half_close()
            return
        self.state = State.START
        capabilities = {"publisher_confirms": True, "basic.nack": True, "connection.blocked": False}
        self.send_method(
            0,
            "connection.start",
            major=0,
            minor=9,
            properties={"product": "mountgauge", "capabilities": capabilities},
            mechanisms="PLAIN ANONYMOUS" if not self._front.access.users else "PLAIN",
            locales="en_US",
        )

    def _half_close(self) -> None:
        """Close the sending side after the last frame; discard input for at most a second."""
        if self.transport is not None and not self.transport.is_closing():
            self.state = State.CLOSING
            self.discard_input()
            self.transport.resume_reading()
            self.transport.write_eof()

    # Back-pressure: no input is read from a client that doesn't read its answers

    def pause_writing(self) -> None:
        super().pause_writing()
        if self.transport is not None:
            self.transport.pause_reading()
            self.unread_deadline = self._front.registry.now() + self._front.times.unread
            self.arm(self.deadline)

    def resume_writing(self) -> None:
        super().resume_writing()
        self.unread_deadline = math.inf
        if self.transport is not None and not self.transport.is_closing() and not self._frames_pending:
            self.transport.resume_reading()

    # Methods

    def on_method(self, channel: int, method: Method) -> None:
        name = method.name
        if name == "connection.close":
            self.send_method(0, "connection.close-ok")
            self._half_close()
        elif name == "connection.close-ok":
            self._half_close()
        elif name.startswith("connection."):
            if channel:
                raise AmqpError(503, "COMMAND_INVALID - connection method on a channel")
            self._handshake_method(name, method)
        elif self.state is not State.READY or not channel:
            raise AmqpError(503, "COMMAND_INVALID - not now", True, method.class_id, method.method_id)
        else:
            self._channel_method(channel, method)

    def _handshake_method(self, name: str, method: Method) -> None:
        args = method.args
        if (self.state, name) == (State.START, "connection.start-ok"):
            tenant = self._front.access.login(args["mechanism"], args["response"])
            if tenant is None:
                raise AmqpError(403, "ACCESS_REFUSED", True, 10, 11)
            if self._front.admission.log_in(self, sasl_user(args["response"])) is not None:
                self._front.counts["clients", "turned-away-user-full"] += 1
                raise AmqpError(530, "NOT_ALLOWED - too many connections of this user", True, 10, 11)
            self.tenant = tenant
            self.state = State.TUNE
            self.send_method(
                0,
                "connection.tune",
                channel_max=_MAX_CHANNELS,
                frame_max=FRAME_MAX,
                heartbeat=self._front.heartbeat,
            )
        elif (self.state, name) == (State.TUNE, "connection.tune-ok"):
            requested = args["frame_max"] or FRAME_MAX
            if not codec.FRAME_MIN <= requested <= FRAME_MAX or args["channel_max"] > _MAX_CHANNELS:
                raise AmqpError(530, "NOT_ALLOWED - more than was offered", True, 10, 31)
            self.frame_max = self._parser.frame_max = requested
            self.start_heartbeats(args["heartbeat"], self._front.heartbeat_phase())
            self.state = State.OPEN
        elif (self.state, name) == (State.OPEN, "connection.open"):
            if not self._front.access.may_open(args["vhost"]):
                raise AmqpError(530, "NOT_ALLOWED - no such virtual host", True, 10, 40)
            self.state = State.READY
            self.handshake_deadline = math.inf
            self._front.set_activity(self, Activity.IDLE)
            self.arm(self.deadline)
            self.send_method(0, "connection.open-ok")
        else:
            raise AmqpError(503, f"COMMAND_INVALID - {name} now", True, method.class_id, method.method_id)

    def _channel_method(self, number: int, method: Method) -> None:
        name, channel = method.name, self._channels.get(number)
        if name == "channel.open":
            if channel is not None or number > _MAX_CHANNELS:
                raise AmqpError(504, "CHANNEL_ERROR - in use or out of range", True, 20, 10)
            self._channels[number] = Channel(number)
            self.send_method(number, "channel.open-ok")
        elif channel is None:
            self.drop_content(number)
            raise AmqpError(504, "CHANNEL_ERROR - not open", True, method.class_id, method.method_id)
        elif name == "channel.close-ok" or (channel.closing and name == "channel.close"):
            if name == "channel.close":
                self.send_method(number, "channel.close-ok")
            self._channels.pop(number).open = False
            self.drop_content(number)
        elif channel.closing:
            self.drop_content(number)  # ignored until close-ok
        elif name == "channel.close":
            channel.open = False
            del self._channels[number]
            self.send_method(number, "channel.close-ok")
        elif name == "channel.flow":
            self.send_method(number, "channel.flow-ok", active=method.args["active"])
        elif name == "confirm.select":
            channel.confirm = True
            if not method.args["nowait"]:
                self.send_method(number, "confirm.select-ok")
        elif name != "basic.publish":
            raise AmqpError(540, f"NOT_IMPLEMENTED - {name}", True, method.class_id, method.method_id)

    def ignores_content(self, channel: int) -> bool:
        found = self._channels.get(channel)
        return found is not None and found.closing

    def on_error(self, channel: int, error: AmqpError) -> None:
        found = self._channels.get(channel)
        if error.hard or found is None:
            self.close_with(error)
        elif not found.closing:
            found.closing, found.open = True, False
            self.drop_content(channel)
            self.send_method(
                channel,
                "channel.close",
                code=error.code,
                text=error.text,
                class_id=error.class_id,
                method_id=error.method_id,
            )

    # Messages

    def on_content(self, channel: int, content: Content) -> None:
        found = self._channels[channel]
        if content.method.args["exchange"] not in ("", self._front.exchange):
            raise AmqpError(404, "NOT_FOUND - no such exchange", False, codec.BASIC_CLASS_ID, 40)
        if content.method.args["immediate"]:
            raise AmqpError(540, "NOT_IMPLEMENTED - immediate", True, codec.BASIC_CLASS_ID, 40)
        found.last_tag += 1
        front = self._front
        if not self.unsettled:
            self.woken = front.registry.now() - self.since >= WOKEN_AFTER_S
        if front.registry.sheds_load and front.overloaded(self):
            self._send_outcome(
                found, found.last_tag, content, MessageOutcome(Status.DEFERRED, front.retry_delay_ms())
            )
            return
        if not self.unsettled:
            front.set_activity(self, Activity.BUSY)
        self.unsettled += 1
        self._front.publish(PendingPublish(self, found, found.last_tag, content))

    def settle(self, pending: PendingPublish, end: MessageOutcome, text: str = "") -> None:
        """Send the outcome of a publish; `text` replaces the usual reply text of `basic.return`."""
        self.unsettled -= 1
        if not self.unsettled and self.state is State.READY:
            self._front.set_activity(self, Activity.IDLE)
            self.arm(self.deadline)
        self._send_outcome(pending.channel, pending.tag, pending.content, end, text)

    def _send_outcome(
        self, channel: Channel, tag: int, content: Content, end: MessageOutcome, text: str = ""
    ) -> None:
        if not channel.open or self.state is not State.READY:
            return
        if end.status is Status.DELIVERED:
            if channel.confirm:
                self.send(codec.ack(channel.number, tag))
            return
        out = b""
        if channel.confirm or content.method.args["mandatory"]:
            code = NO_CONSUMERS if end.status is Status.DEFERRED else NO_ROUTE
            if not text:
                text = end.status.value.upper()
                text += f" again_ms={end.retry_after_ms}" if end.retry_after_ms > 0 else ""
            args = content.method.args
            out = codec.basic_return(channel.number, code, text, args["exchange"], args["routing_key"])
            out += codec.content_from_header(
                channel.number, content.header, bytes(content.body), self.frame_max
            )
        if channel.confirm:
            out += codec.nack(channel.number, tag)
        if out:
            self.send(out)

    @property
    def settled(self) -> bool:
        """Whether every publish has got its outcome."""
        return not self.unsettled

    def close_for_shutdown(self) -> None:
        """Close because the sender stops; unconfirmed messages stay in the journal."""
        self.close_with(AmqpError(320, "CONNECTION_FORCED - the sender stops"))


class PublisherFront(Front[AmqpConnection]):
    """What a connection needs from its front."""

    access: Access
    heartbeat: int  # s
    exchange: str

    def heartbeat_phase(self) -> float:
        """Phase for a connection's first heartbeat, from 0 to 1; successive ones are evenly spread."""
        raise NotImplementedError

    def publish(self, pending: PendingPublish) -> None:
        """Submit a publish to the core; its outcome goes to the publish's connection."""
        raise NotImplementedError

    def overloaded(self, connection: AmqpConnection) -> bool:
        """Whether to defer a publish at once because of overload: the core could not answer it in time."""
        raise NotImplementedError
