"""One publisher's connection over AMQP 0-9-1: its opening, its channels, its publishes and their ends.

A publish is taken once it is journalled. `basic.ack` says delivered; `basic.return` and `basic.nack` say
that it was deferred or is undeliverable.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from mountgauge.access import DEFAULT_TENANT, Access, sasl_user
from mountgauge.amqp import codec
from mountgauge.amqp.codec import AmqpError, Content, Method
from mountgauge.amqp.link import FRAME_MAX, RECEIVE, Link, State
from mountgauge.connections.admission import Activity
from mountgauge.connections.front import Front
from mountgauge.connections.scheduler import RESTED
from mountgauge.core.ports import MessageOutcome, Status

_CHANNELS = 16  # each may hold a body under way, so this bounds memory
_QUANTUM = 24  # frames that one connection may have read in a row: eight messages
_BEAT = codec.frame(codec.HEARTBEAT, 0, b"")
NO_ROUTE, NO_CONSUMERS = 312, 313


@dataclass(slots=True, eq=False)
class Channel:
    """OPEN, or CLOSING: close sent, its answer awaited."""

    number: int
    confirm: bool = False
    tag: int = 0
    closing: bool = False
    open: bool = True


@dataclass(slots=True, eq=False)
class Waiter:
    """A publish that waits for its end."""

    connection: AmqpConnection
    channel: Channel
    tag: int
    content: Content


class AmqpConnection(Link):
    """A publisher; with nothing under way it is this object, its transport and its open channels."""

    __slots__ = (
        "_channels", "_front", "_half_by", "activity", "due_at", "opened_by", "since", "tenant", "tick",
        "unread_by", "unsettled", "user", "woken",
    )  # fmt: skip
    quantum = _QUANTUM

    def __init__(self, front: PublisherFront) -> None:
        super().__init__(State.HEADER)
        self._front = front
        self._channels: dict[int, Channel] = {}
        self.tenant = DEFAULT_TENANT  # of the user who logged in
        self.unsettled = 0
        self.opened_by = self._half_by = self.unread_by = math.inf
        self.woken = False  # what is under way came after a rest
        # The registry's: what it is doing, since when, and its one deadline.
        self.activity: int = Activity.BUSY
        self.since, self.user = 0.0, ""
        self.due_at, self.tick = math.inf, -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.opened_by = self._front.registry.now() + self._front.times.handshake
        self._front.joined(self)

    # Deadlines: the wheel has one for each connection

    @property
    def deadline(self) -> float:
        if self._closing_by < math.inf:
            return self._closing_by
        found = min(super().deadline, self.opened_by, self._half_by, self.unread_by)
        if self.state is State.READY and self.answered:
            found = min(found, self.since + self._front.times.idle)
        return found

    def arm(self, when: float) -> None:
        self._front.registry.arm(self, when)

    def on_due(self, now: float) -> None:
        counts = self._front.counts
        if self._closing_by < math.inf or self.transport is None:
            super().on_due(now)
        elif now >= self.opened_by:
            counts["clients", "silent"] += 1
            self.abort()
        elif now >= self.unread_by:
            counts["clients", "unread"] += 1
            self.abort()
        elif now >= self._half_by:
            counts["clients", "halfway"] += 1
            self.close_with(AmqpError(501, "FRAME_ERROR - a message was not finished in time"))
            self.hear_no_more()
        elif self.answered and now - self.since >= self._front.times.idle and not self.halfway:
            counts["clients", "idle"] += 1
            self.close_with(AmqpError(320, "CONNECTION_FORCED - idle for too long"))
        else:
            if self._heartbeat and now >= self._silent_at:
                counts["clients", "dead"] += 1
            super().on_due(now)

    def buffer_updated(self, nbytes: int) -> None:
        if nbytes == len(_BEAT) and self._drain is None and not self.halfway and RECEIVE[:nbytes] == _BEAT:
            self._read_at = self._front.registry.now()  # nearly all that an idle one ever says
            return
        super().buffer_updated(nbytes)
        self._keep()

    def more(self) -> None:
        super().more()
        self._keep()
        if not self._more and self.transport is not None and not self.transport.is_closing() and self.flushed:
            self.transport.resume_reading()

    def wait_turn(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self._front.registry.wait(self)

    def _keep(self) -> None:
        """Half a message holds memory and a place: judged by the whole, as bytes may trickle for ever."""
        if self.state is State.CLOSED:
            return
        half = self.halfway and self.state is State.READY
        if half:
            by = self._whole_at + self._front.times.half
            if by != self._half_by:
                self._half_by = by
                self.arm(self.deadline)
        else:
            self._half_by = math.inf
        self._front.holds(self, self.held if self.halfway else 0)

    def on_lost(self) -> None:
        for channel in self._channels.values():
            channel.open = False
        self._front.left(self)

    def displace(self) -> None:
        self.abort()

    def give_up_half(self) -> None:
        self.abort()

    def turn_away(self, again_ms: int) -> None:
        self.abort()

    def on_header(self, head: bytes) -> None:
        if head != codec.PROTOCOL_HEADER:
            self.send(codec.PROTOCOL_HEADER)  # the version that is spoken here
            self.state = State.CLOSING
            self._part()
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

    def _part(self) -> None:
        """The last frame is written: what still comes is passed over until the peer ends, or LINGER_S."""
        if self.transport is not None and not self.transport.is_closing():
            self.state = State.CLOSING
            self.hear_no_more()
            self.transport.resume_reading()
            self.transport.write_eof()

    # Back-pressure: a client that does not read its answers is not read

    def pause_writing(self) -> None:
        super().pause_writing()
        if self.transport is not None:
            self.transport.pause_reading()
            self.unread_by = self._front.registry.now() + self._front.times.unread
            self.arm(self.deadline)

    def resume_writing(self) -> None:
        super().resume_writing()
        self.unread_by = math.inf
        if self.transport is not None and not self.transport.is_closing() and not self._more:
            self.transport.resume_reading()

    # Methods

    def on_method(self, channel: int, method: Method) -> None:
        name = method.name
        if name == "connection.close":
            self.send_method(0, "connection.close-ok")
            self._part()
        elif name == "connection.close-ok":
            self._part()
        elif name.startswith("connection."):
            if channel:
                raise AmqpError(503, "COMMAND_INVALID - connection method on a channel")
            self._opening(name, method)
        elif self.state is not State.READY or not channel:
            raise AmqpError(503, "COMMAND_INVALID - not now", True, method.class_id, method.method_id)
        else:
            self._channel_method(channel, method)

    def _opening(self, name: str, method: Method) -> None:
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
                channel_max=_CHANNELS,
                frame_max=FRAME_MAX,
                heartbeat=self._front.heartbeat,
            )
        elif (self.state, name) == (State.TUNE, "connection.tune-ok"):
            asked = args["frame_max"] or FRAME_MAX
            if not codec.FRAME_MIN <= asked <= FRAME_MAX or args["channel_max"] > _CHANNELS:
                raise AmqpError(530, "NOT_ALLOWED - more than was offered", True, 10, 31)
            self.frame_max = self._parser.frame_max = asked
            self.beat_every(args["heartbeat"], self._front.phase())
            self.state = State.OPEN
        elif (self.state, name) == (State.OPEN, "connection.open"):
            if not self._front.access.may_open(args["vhost"]):
                raise AmqpError(530, "NOT_ALLOWED - no such virtual host", True, 10, 40)
            self.state = State.READY
            self.opened_by = math.inf
            self._front.set_activity(self, Activity.RESTING)
            self.arm(self.deadline)
            self.send_method(0, "connection.open-ok")
        else:
            raise AmqpError(503, f"COMMAND_INVALID - {name} now", True, method.class_id, method.method_id)

    def _channel_method(self, number: int, method: Method) -> None:
        name, channel = method.name, self._channels.get(number)
        if name == "channel.open":
            if channel is not None or number > _CHANNELS:
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
            self.drop_content(number)  # passed over until close-ok
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

    def passes_over(self, channel: int) -> bool:
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
            raise AmqpError(404, "NOT_FOUND - no such exchange", False, codec.BASIC, 40)
        if content.method.args["immediate"]:
            raise AmqpError(540, "NOT_IMPLEMENTED - immediate", True, codec.BASIC, 40)
        found.tag += 1
        front = self._front
        if not self.unsettled:
            self.woken = front.registry.now() - self.since >= RESTED
        if front.registry.sheds and front.pressed(self):
            self._tell(found, found.tag, content, MessageOutcome(Status.DEFERRED, front.come_again()))
            return
        if not self.unsettled:
            front.set_activity(self, Activity.BUSY)
        self.unsettled += 1
        self._front.publish(Waiter(self, found, found.tag, content))

    def settle(self, waiter: Waiter, end: MessageOutcome, text: str = "") -> None:
        self.unsettled -= 1
        if not self.unsettled and self.state is State.READY:
            self._front.set_activity(self, Activity.RESTING)
            self.arm(self.deadline)
        self._tell(waiter.channel, waiter.tag, waiter.content, end, text)

    def _tell(
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
            out = codec.returned(channel.number, code, text, args["exchange"], args["routing_key"])
            out += codec.content_as_it_came(channel.number, content.head, bytes(content.body), self.frame_max)
        if channel.confirm:
            out += codec.nack(channel.number, tag)
        if out:
            self.send(out)

    @property
    def answered(self) -> bool:
        return not self.unsettled

    def end(self) -> None:
        """The sender stops: what has not been confirmed stays in the journal."""
        self.close_with(AmqpError(320, "CONNECTION_FORCED - the sender stops"))


class PublisherFront(Front[AmqpConnection]):
    """What a connection asks of its front."""

    access: Access
    heartbeat: int  # s
    exchange: str

    def phase(self) -> float:
        """Of heartbeats: spread evenly, whoever connects when."""
        raise NotImplementedError

    def publish(self, waiter: Waiter) -> None:
        """Hand a publish to the core; its connection is told how it ended."""
        raise NotImplementedError

    def pressed(self, connection: AmqpConnection) -> bool:
        """More want to be heard than can be: answered at once, as the core could not do in time."""
        raise NotImplementedError
