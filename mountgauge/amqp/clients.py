"""The sender side over AMQP 0-9-1: publishers with confirms.

A publish is taken once it is journalled. `basic.ack` says delivered; `basic.return` and `basic.nack` say
that it was deferred or is undeliverable. The end of a message whose channel has closed is kept: the same
id, handed in again, gets that end.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mountgauge.access import DEFAULT, Access
from mountgauge.amqp import codec
from mountgauge.amqp.codec import AmqpError, Content, Method
from mountgauge.amqp.link import FRAME_MAX, Link, State
from mountgauge.core.ports import Answer, End, Status, Submission, Taken
from mountgauge.sockets import serve
from rillspindle.interface import Grade

KEY_HEADER = "idempotency-key"
_CHANNELS = 16  # each may hold a body under way, so this bounds memory
_MOST_UNSETTLED = 4096  # publishes of one connection that wait for their end
_OPENING = 2.5  # s for the whole handshake
_HALFWAY = 2.5  # s for a whole message, from its first byte on
_LOOK = 0.25  # s between two looks at who sends half a message
_QUIET = 30.0  # s without a publish after which a connection may go for another's sake
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
    def __init__(self, front: AmqpClients) -> None:
        super().__init__(State.HEADER)
        self._front = front
        self._channels: dict[int, Channel] = {}
        self.tenant = DEFAULT  # of the user who logged in
        self.unsettled = 0
        self.used_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.used_at = asyncio.get_running_loop().time()
        self._front.joined(self)
        asyncio.get_running_loop().call_later(_OPENING, self._opened_in_time)

    def _opened_in_time(self) -> None:
        if self.state is not State.READY:
            self.abort()

    def on_lost(self) -> None:
        for channel in self._channels.values():
            channel.open = False
        self._front.left(self)

    def on_header(self, head: bytes) -> None:
        if head != codec.PROTOCOL_HEADER:
            self.send(codec.PROTOCOL_HEADER)  # the version that is spoken here
            if self.transport is not None:
                self.transport.close()
            self.state = State.CLOSING
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

    # Back-pressure: a client that does not read its answers is not read

    def pause_writing(self) -> None:
        super().pause_writing()
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    # Methods

    def on_method(self, channel: int, method: Method) -> None:
        name = method.name
        if name == "connection.close":
            self.send_method(0, "connection.close-ok")
            if self.transport is not None:
                self.transport.close()
        elif name == "connection.close-ok":
            if self.transport is not None:
                self.transport.close()
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
            self.beat_every(args["heartbeat"])
            self.state = State.OPEN
        elif (self.state, name) == (State.OPEN, "connection.open"):
            if not self._front.access.opens(args["vhost"]):
                raise AmqpError(530, "NOT_ALLOWED - no such virtual host", True, 10, 40)
            self.state = State.READY
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
        self.unsettled += 1
        self.used_at = asyncio.get_running_loop().time()
        self._front.publish(Waiter(self, found, found.tag, content))

    def settle(self, waiter: Waiter, end: End, text: str = "") -> None:
        self.unsettled -= 1
        channel, content = waiter.channel, waiter.content
        if not channel.open or self.state is not State.READY:
            return
        if end.status is Status.DELIVERED:
            if channel.confirm:
                self.send_method(channel.number, "basic.ack", tag=waiter.tag)
            return
        if channel.confirm or content.method.args["mandatory"]:
            code = NO_CONSUMERS if end.status is Status.DEFERRED else NO_ROUTE
            if not text:
                text = end.status.value.upper()
                text += f" again_ms={end.again_ms}" if end.again_ms > 0 else ""
            self.send(
                codec.method(
                    channel.number,
                    "basic.return",
                    code=code,
                    text=text,
                    exchange=content.method.args["exchange"],
                    routing_key=content.method.args["routing_key"],
                )
                + codec.content(channel.number, content.properties, bytes(content.body), self.frame_max)
            )
        if channel.confirm:
            self.send_method(channel.number, "basic.nack", tag=waiter.tag)

    @property
    def answered(self) -> bool:
        return not self.unsettled

    def end(self) -> None:
        """The sender stops: what has not been confirmed stays in the journal."""
        self.close_with(AmqpError(320, "CONNECTION_FORCED - the sender stops"))


class AmqpClients:
    """The listening side, and the front to which the core tells each end."""

    def __init__(
        self,
        submit: Callable[[Submission], None],
        names: tuple[str, ...],
        grades: tuple[Grade, ...],
        most: int,
        access: Access | None = None,
        heartbeat: int = 30,
        exchange: str = "mountgauge",
    ) -> None:
        self._submit, self._names, self._grades, self._most = submit, names, grades, most
        self.access, self.heartbeat, self.exchange = access or Access(), heartbeat, exchange
        self._connections: set[AmqpConnection] = set()
        self._waiters: dict[str, list[Waiter]] = {}
        self._server: asyncio.Server | None = None
        self._look_timer: asyncio.TimerHandle | None = None
        self.port = 0

    async def listen(self, host: str, port: int) -> None:
        self._server, self.port = await serve(lambda: AmqpConnection(self), host, port)

    def joined(self, connection: AmqpConnection) -> None:
        if len(self._connections) >= self._most and not self._make_room():  # descriptors are bounded
            connection.abort()
            return
        self._connections.add(connection)
        if self._look_timer is None:
            self._look_timer = asyncio.get_running_loop().call_later(_LOOK, self._look)

    def _make_room(self) -> bool:
        """One that publishes nothing goes: first who has not even opened, then who has long been quiet."""
        now = asyncio.get_running_loop().time()
        idle = [c for c in self._connections if c.state is not State.READY or now - c.used_at > _QUIET]
        idle = [c for c in idle if c.answered]
        if not idle:
            return False
        oldest = min(idle, key=lambda c: (c.state is State.READY, c.used_at))
        self._connections.discard(oldest)
        oldest.abort()
        return True

    def _look(self) -> None:
        """Half a message holds memory and a place: judged by the whole, as bytes may trickle for ever."""
        now = asyncio.get_running_loop().time()
        for connection in list(self._connections):
            if connection.state is State.READY and connection.halfway_for(now) > _HALFWAY:
                connection.close_with(AmqpError(501, "FRAME_ERROR - a message was not finished in time"))
                connection.hear_no_more()
        self._look_timer = None
        if self._connections:
            self._look_timer = asyncio.get_running_loop().call_later(_LOOK, self._look)

    def left(self, connection: AmqpConnection) -> None:
        self._connections.discard(connection)

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        for connection in list(self._connections):
            if connection.answered:
                connection.end()

    def close(self) -> None:
        for connection in list(self._connections):
            connection.end()

    # Messages

    def publish(self, waiter: Waiter) -> None:
        try:
            submission = self._submission(waiter)
        except ValueError as error:
            waiter.connection.settle(waiter, End(Status.UNDELIVERABLE), f"UNDELIVERABLE - {error}")
            return
        if waiter.connection.unsettled > _MOST_UNSETTLED:
            waiter.connection.settle(waiter, End(Status.DEFERRED))
            return
        self._submit(submission)

    def _submission(self, waiter: Waiter) -> Submission:
        properties: dict[str, Any] = waiter.content.properties
        name = str(properties.get("type", ""))
        if name not in self._names:
            raise ValueError(f"unknown class '{name[:40]}'")
        grade = self._names.index(name)
        routing_key = waiter.content.method.args["routing_key"]
        if not (routing_key.isascii() and routing_key.isdecimal() and len(routing_key) < 10):
            raise ValueError("the routing key is not a destination's number")
        left = self._grades[grade].deadline
        if (expiration := str(properties.get("expiration", ""))) != "":
            if not (expiration.isascii() and expiration.isdecimal() and len(expiration) < 10):
                raise ValueError("expiration is not a number of milliseconds")
            left = min(left, int(expiration) / 1000)
        # Without an id there is nothing to ask for again by, so the publish stands for itself alone.
        msg_id = _token(properties.get("message_id") or secrets.token_hex(16), "message-id")
        headers = properties.get("headers") or {}
        key = headers.get(KEY_HEADER)
        if key is None and self._grades[grade].semantics == "deduplicated":
            key = msg_id
        key = "" if key is None else _token(key, KEY_HEADER)

        def answer(what: Answer) -> None:
            if isinstance(what, Taken):
                self._waiters.setdefault(msg_id, []).append(waiter)
            else:
                waiter.connection.settle(waiter, what)

        return Submission(
            msg_id,
            grade,
            left,
            int(routing_key),
            key,
            bytes(waiter.content.body),
            "amqp",
            answer,
            lambda: waiter.channel.open,
            waiter.connection.tenant,
        )

    def tell(self, msg_id: str, end: End, told: Callable[[], None]) -> None:
        for waiter in self._waiters.pop(msg_id, ()):
            waiter.connection.settle(waiter, end)
        told()


def _token(raw: object, name: str) -> str:
    text = raw.decode("utf-8", "replace") if isinstance(raw, bytes) else str(raw)
    if not text or len(text) > 128 or not all(33 <= ord(c) < 127 for c in text):
        raise ValueError(f"{name}: 1 to 128 printable characters")
    return text
