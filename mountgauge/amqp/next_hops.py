"""Next hops over AMQP 0-9-1: partners' brokers, to which messages are published with confirms.

Each next hop has one connection, with one channel for each call in flight. Outcomes: ack = OK, nack or
a returned message = ERROR, a blocked connection = FULL, no connection = CONNECT_FAILED, a connection that
breaks after the publish = RESET, no confirm in time = TIMEOUT; after a timeout the channel is closed.

A call is admitted only when its first byte can go straight to the socket: never behind bytes that the broker
hasn't accepted yet, and never on a connection to another address than the call's. The socket checks the
call's lease before each write up to the last byte. If the lease has ended, the connection is closed, as
buffered bytes can't be withdrawn.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import select
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from mountgauge.amqp import codec
from mountgauge.amqp.clients import KEY_HEADER
from mountgauge.amqp.codec import AmqpError, Content, Method
from mountgauge.amqp.link import FRAME_MAX, Link, State
from mountgauge.connecting import SHORTAGE_RETRY_S, connect
from mountgauge.core.ports import AttemptResult, Call, CallItem, CallOwner, NextHop
from mountgauge.leased_socket import LeaseSlot
from rillspindle.interface import Outcome

_MAX_CHANNELS = 256
_WRITABLE_POLL_S = 0.01  # between two checks of a socket that accepts no more bytes
_CHANNEL_CLOSE_TIMEOUT_S = 2.0  # for the answer to channel.close; after it the connection is aborted


@dataclass(frozen=True, slots=True)
class Account:
    """Login, virtual host and address for publishing to one next hop."""

    user: str = "guest"
    password: str = "guest"
    vhost: str = "/"
    exchange: str = ""
    routing_key: str = ""


class _Target(NamedTuple):
    """The next hop, address and account of one connection."""

    hop_id: str
    host: str
    port: int
    account: Account


@dataclass(slots=True, eq=False)
class _OpenCall:
    """A call that waits for its connection or channel, or is in flight and waits for its confirms."""

    call: Call
    timer: asyncio.TimerHandle
    target: _Target
    link: BrokerLink | None = None
    admitted: list[CallItem] = field(default_factory=list)  # messages that the core let through
    tags: dict[int, CallItem] = field(default_factory=dict)  # unconfirmed messages by delivery tag
    results: dict[int, AttemptResult] = field(default_factory=dict)
    end_offset: int = 0  # of its last byte in the byte stream written to its connection
    local_shortage: bool = False  # no descriptor or port on this machine: no evidence about the broker


@dataclass(slots=True, eq=False)
class _Channel:
    """A channel: opening, confirming, ready, then busy with a call and ready in turn, finally closing."""

    number: int
    state: str = "opening"
    last_tag: int = 0
    open_call: _OpenCall | None = None
    flow_active: bool = True  # False while the broker has paused the channel with `channel.flow`
    timer: asyncio.TimerHandle | None = None


class BrokerLink(Link):
    """One connection to a broker, with the calls published on it that wait for their confirms."""

    def __init__(
        self,
        target: _Target,
        sequence: int,
        on_ready: Callable[[], None],
        on_closed: Callable[[], None],
        on_done: Callable[[_OpenCall], None],
        admit: Callable[[Call, list[CallItem]], list[CallItem]],
    ) -> None:
        """`sequence` increases from one connection to the next.

        `on_closed` and `on_done` are called when the connection has closed and when a call has its
        results; `admit` returns the messages of a call that may be published now.
        """
        super().__init__(State.START)
        self.target, self.sequence, self.blocked = target, sequence, False
        self.slot = LeaseSlot()  # shared with the socket of this connection
        self.channels: dict[int, _Channel] = {}
        self.max_channels = _MAX_CHANNELS
        self.calls_started = 0
        self._awaiting_write: list[_Channel] = []  # channels that publish once the socket accepts bytes
        self._on_ready, self._on_closed, self._on_done, self._admit = on_ready, on_closed, on_done, admit

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if (sock := transport.get_extra_info("socket")) is not None:
            # The system accepts no more while bytes are unsent; further bytes wait in the transport's buffer,
            # which shows that they are unsent.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, 1)
        self.send(codec.PROTOCOL_HEADER)

    @property
    def busy(self) -> bool:
        """Whether a channel has a call."""
        return any(channel.open_call is not None for channel in self.channels.values())

    def on_lost(self) -> None:
        open_calls = [
            channel.open_call for channel in self.channels.values() if channel.open_call is not None
        ]
        for channel in self.channels.values():
            if channel.timer is not None:
                channel.timer.cancel()
        self.channels.clear()
        self._on_closed()
        for open_call in open_calls:
            # A call published and not confirmed may have taken effect, unless its last byte was never sent.
            # Before the buffer is flushed, only its very last bytes are sure to be unsent, so that is certain
            # only of the call written last.
            lease = open_call.call.lease
            if lease is not None and lease.refusal is not None:  # its last byte was never sent
                self._finish_call(open_call, AttemptResult(Outcome.MOOT))
                continue
            unsent = not open_call.admitted or (
                not self.flushed and open_call.end_offset == self.bytes_written
            )
            self._finish_call(open_call, AttemptResult(Outcome.CONNECT_FAILED if unsent else Outcome.RESET))

    def _finish_call(self, open_call: _OpenCall, result: AttemptResult) -> None:
        """Finish a call, with this result for each message that has none."""
        for item in open_call.admitted or open_call.call.items:
            open_call.results.setdefault(item.number, result)
        self._on_done(open_call)

    # Methods

    def on_method(self, channel: int, method: Method) -> None:
        name = method.name
        if name == "connection.close":
            self.send_method(0, "connection.close-ok")
            if self.transport is not None:
                self.transport.close()
        elif name == "connection.close-ok":
            self.abort()
        elif name in ("connection.blocked", "connection.unblocked"):
            self.blocked = name == "connection.blocked"
        elif name.startswith("connection."):
            self._handshake_method(name, method)
        else:
            self._channel_method(channel, method)

    def _handshake_method(self, name: str, method: Method) -> None:
        account, args = self.target.account, method.args
        if (self.state, name) == (State.START, "connection.start"):
            self.state = State.TUNE
            capabilities = {"publisher_confirms": True, "basic.nack": True, "connection.blocked": True}
            self.send_method(
                0,
                "connection.start-ok",
                mechanism="PLAIN",
                locale="en_US",
                properties={"product": "mountgauge", "capabilities": capabilities},
                response=f"\0{account.user}\0{account.password}",
            )
        elif (self.state, name) == (State.TUNE, "connection.tune"):
            self.state = State.OPEN
            offered = args["frame_max"] or FRAME_MAX
            self.max_channels = min(_MAX_CHANNELS, args["channel_max"] or _MAX_CHANNELS)
            self.frame_max = self._parser.frame_max = max(codec.FRAME_MIN, min(FRAME_MAX, offered))
            self.send_method(
                0,
                "connection.tune-ok",
                channel_max=args["channel_max"],
                frame_max=self.frame_max,
                heartbeat=args["heartbeat"],
            )
            self.start_heartbeats(args["heartbeat"])
            self.send_method(0, "connection.open", vhost=account.vhost)
        elif (self.state, name) == (State.OPEN, "connection.open-ok"):
            self.state = State.READY
            self._on_ready()
        else:
            raise AmqpError(503, f"COMMAND_INVALID - {name} now", True, method.class_id, method.method_id)

    def _channel_method(self, number: int, method: Method) -> None:
        name, channel = method.name, self.channels.get(number)
        if channel is None:
            self.drop_content(number)
            return
        if name == "channel.close":  # the broker rejects a publish on this channel
            self.send_method(number, "channel.close-ok")
            self._remove_channel(channel)
            if (open_call := channel.open_call) is not None:
                channel.open_call = None
                self._finish_call(open_call, AttemptResult(Outcome.ERROR))
        elif name == "channel.close-ok":
            self._remove_channel(channel)
        elif channel.state == "closing":
            self.drop_content(number)
        elif name == "channel.open-ok":
            channel.state = "confirming"
            self.send_method(number, "confirm.select")
        elif name == "confirm.select-ok":
            channel.state = "ready"
            if channel.open_call is not None:
                self._publish(channel, channel.open_call)
        elif name in ("basic.ack", "basic.nack"):
            self._confirmed(channel, method.args["tag"], method.args["multiple"], name == "basic.ack")
        elif name == "channel.flow":
            channel.flow_active = method.args["active"]
            self.send_method(number, "channel.flow-ok", active=method.args["active"])

    def on_content(self, channel: int, content: Content) -> None:
        """A returned message: no queue has accepted it, although its ack will follow."""
        found = self.channels.get(channel)
        if found is None or found.open_call is None:
            return
        for item in found.open_call.tags.values():
            if item.id == content.properties.get("message_id"):
                found.open_call.results[item.number] = AttemptResult(Outcome.ERROR)

    def ignores_content(self, channel: int) -> bool:
        return True

    def _remove_channel(self, channel: _Channel) -> None:
        if channel.timer is not None:
            channel.timer.cancel()
        self.channels.pop(channel.number, None)
        self.drop_content(channel.number)

    # Calls

    def start_call(self, open_call: _OpenCall) -> bool:
        """Start a call on a free channel or a new one; False if all channels are in use."""
        self.calls_started += 1
        open_call.link = self
        for channel in self.channels.values():
            if channel.state == "ready" and channel.open_call is None:
                channel.open_call = open_call
                self._publish(channel, open_call)
                return True
        number = next((n for n in range(1, self.max_channels + 1) if n not in self.channels), 0)
        if not number:
            return False
        self.channels[number] = _Channel(number, open_call=open_call)
        self.send_method(number, "channel.open")
        return True

    @property
    def _writable(self) -> bool:
        """Whether the next byte written would go to the socket at once."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if not self.flushed or sock is None:
            return self.flushed
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLOUT)
        return bool(poll.poll(0))

    def resume_writing(self) -> None:
        super().resume_writing()
        self._resume_publishing()

    def _resume_publishing(self) -> None:
        channels, self._awaiting_write = self._awaiting_write, []
        for channel in channels:
            if channel.open_call is not None and self.channels.get(channel.number) is channel:
                self._publish(channel, channel.open_call)

    def _defer_publish(self, channel: _Channel) -> None:
        """Keep the channel for its call until the socket is writable; `cancel_call` releases it."""
        if not self._awaiting_write and self.flushed:  # `resume_writing` won't be called
            asyncio.get_running_loop().call_later(_WRITABLE_POLL_S, self._resume_publishing)
        self._awaiting_write.append(channel)

    def _publish(self, channel: _Channel, open_call: _OpenCall) -> None:
        if self.blocked or not channel.flow_active:
            channel.open_call = None
            self._finish_call(open_call, AttemptResult(Outcome.FULL))
            return
        if not self._writable:
            self._defer_publish(channel)
            return
        open_call.admitted = self._admit(open_call.call, open_call.call.items)
        if not open_call.admitted:
            channel.open_call = None
            self._on_done(open_call)
            return
        channel.state = "busy"
        now = asyncio.get_running_loop().time()
        data = b""
        for item in open_call.admitted:
            channel.last_tag += 1
            open_call.tags[channel.last_tag] = item
            properties = {
                "message_id": item.id,
                "type": item.class_name,
                "delivery_mode": 2,
                "expiration": str(
                    max(1, math.floor((min(item.expires, open_call.call.times_out_at) - now) * 1000))
                ),
                "headers": {KEY_HEADER: item.key} if item.key else None,
            }
            routing_key = self.target.account.routing_key or str(open_call.call.hop.entry.owner)
            data += codec.method(
                channel.number,
                "basic.publish",
                exchange=self.target.account.exchange,
                routing_key=routing_key,
                mandatory=True,
            )
            data += codec.content(channel.number, properties, item.body, self.frame_max)
        open_call.end_offset = self.bytes_written + len(data)
        # No unsent bytes precede these: `_writable` was checked above.
        self.slot.arm(open_call.call.lease, len(data))
        self.send(data)

    def _confirmed(self, channel: _Channel, tag: int, multiple: bool, acked: bool) -> None:
        open_call = channel.open_call
        if open_call is None:
            return
        for confirmed in [t for t in open_call.tags if t == tag or (multiple and (t <= tag or tag == 0))]:
            item = open_call.tags.pop(confirmed)
            open_call.results.setdefault(item.number, AttemptResult(Outcome.OK if acked else Outcome.ERROR))
        if not open_call.tags:
            channel.open_call, channel.state = None, "ready"
            self._on_done(open_call)

    def cancel_call(self, open_call: _OpenCall) -> None:
        """Close the call's channel, so that a late confirm isn't attributed to the channel's next call.

        A call of which nothing was written only releases its channel.
        """
        for channel in self.channels.values():
            if channel.open_call is open_call and channel in self._awaiting_write:  # nothing was written
                self._awaiting_write.remove(channel)
                channel.open_call = None
                return
            if channel.open_call is open_call:
                channel.open_call, channel.state = None, "closing"
                self.drop_content(channel.number)
                self.send_method(channel.number, "channel.close", code=200, text="given up")
                channel.timer = asyncio.get_running_loop().call_later(_CHANNEL_CLOSE_TIMEOUT_S, self.abort)
                return


class AmqpNextHops:
    """Delivers calls to brokers, on one connection for each next hop that is kept while in use."""

    def __init__(
        self,
        owner: CallOwner,
        connect_timeout: float,
        idle: float,
        max_connections: int,
        accounts: Mapping[str, Account],
    ) -> None:
        self._owner, self._connect_timeout, self._idle_s = owner, connect_timeout, idle
        self._max_connections = max_connections
        self.accounts = accounts
        self._links: dict[str, BrokerLink] = {}
        self._connecting: dict[_Target, asyncio.Task[None]] = {}
        self._queued: dict[_Target, list[_OpenCall]] = {}
        self._sequence_numbers = itertools.count()
        self._open_calls: dict[Call, _OpenCall] = {}
        self.opened = 0  # connections opened so far

    @property
    def in_flight(self) -> int:
        """Number of calls that are started and not finished."""
        return len(self._open_calls)

    def start(self, call: Call) -> None:
        """Send a call on the next hop's connection, which is opened if needed."""
        loop = asyncio.get_running_loop()
        target = self._target(call.hop)
        open_call = _OpenCall(call, loop.call_at(call.times_out_at, self._stop_call, call), target)
        self._open_calls[call] = open_call
        link = self._current_link(target)
        if link is not None and link.state is State.READY:
            if not link.start_call(open_call):
                loop.call_soon(self._finish, open_call)  # not sent
            return
        if target not in self._connecting and not self._ensure_capacity():
            loop.call_soon(self._finish, open_call)  # not sent
            return
        self._queued.setdefault(target, []).append(open_call)
        if target not in self._connecting:
            self.opened += 1
            self._connecting[target] = loop.create_task(self._connect(target))

    def _target(self, hop: NextHop) -> _Target:
        return _Target(hop.id, hop.host, hop.port, self.accounts.get(hop.id, Account()))

    def _current_link(self, target: _Target) -> BrokerLink | None:
        """The next hop's connection; one to a previous address or account is retired."""
        link = self._links.get(target.hop_id)
        if link is None or link.target == target:
            return link
        del self._links[target.hop_id]
        self._retire(link)
        return None

    def _retire(self, link: BrokerLink) -> None:
        """Close a connection that gets no more calls; a busy one is aborted after the idle time."""
        if link.busy:
            asyncio.get_running_loop().call_later(self._idle_s, link.abort)
        else:
            link.close_with(AmqpError(200, "moved"))

    def _ensure_capacity(self) -> bool:
        """Whether one more may be opened; at the limit, which bounds descriptors, an idle one is closed."""
        if len(self._links) + len(self._connecting) < self._max_connections:
            return True
        return self._close_idle_link()

    def _close_idle_link(self) -> bool:
        """Close the first connection without a call; False if there is none."""
        idle = next((hop_id for hop_id, link in self._links.items() if not link.busy), None)
        if idle is not None:
            self.close_idle(idle)
        return idle is not None

    async def _connect(self, target: _Target) -> None:
        hop_id = target.hop_id
        loop = asyncio.get_running_loop()
        ready: asyncio.Future[None] = loop.create_future()

        def on_closed() -> None:
            if self._links.get(hop_id) is link:
                del self._links[hop_id]
            if not ready.done():
                ready.set_exception(ConnectionResetError("closed while opening"))

        def on_ready() -> None:
            if not ready.done():
                ready.set_result(None)

        sequence = next(self._sequence_numbers)
        tried_at = loop.time()

        def on_shortage() -> bool:
            nonlocal tried_at
            tried_at = loop.time() + SHORTAGE_RETRY_S
            queued = self._queued.get(target, [])
            for open_call in queued:
                open_call.local_shortage = True
            self._close_idle_link()
            return bool(queued)  # try again until the last queued call is timed out or cancelled

        link = BrokerLink(target, sequence, on_ready, on_closed, self._finish, self._owner.admit)
        try:
            await connect(
                lambda: link, target.host, target.port, self._connect_timeout, on_shortage, link.slot
            )
            async with asyncio.timeout_at(tried_at + self._connect_timeout):
                await ready
        except OSError:
            link.abort()
            self._connecting.pop(target, None)
            for open_call in self._queued.pop(target, []):
                failed = AttemptResult(Outcome.CONNECT_FAILED)
                open_call.results = {item.number: failed for item in open_call.call.items}
                self._finish(open_call)
            return
        self._connecting.pop(target, None)
        for open_call in self._queued.pop(target, []):
            if open_call.call in self._open_calls and not link.start_call(open_call):
                self._finish(open_call)
        other = self._links.get(hop_id)  # opened meanwhile to another address or for another account
        if other is not None and other.sequence > link.sequence:
            self._retire(link)
            return
        self._links[hop_id] = link
        self._watch_idle(hop_id, link)
        if other is not None:
            self._retire(other)

    def _watch_idle(self, hop_id: str, link: BrokerLink) -> None:
        """Close the connection after the idle time without calls: it takes up a slot at the partner."""

        def check(was_idle: bool = False) -> None:
            if link.state is not State.READY:
                return
            idle = not link.busy
            if idle and was_idle and link.calls_started == calls_at_last_check[0]:
                self.close_idle(hop_id)
                return
            calls_at_last_check[0] = link.calls_started
            asyncio.get_running_loop().call_later(self._idle_s, check, idle)

        calls_at_last_check = [0]
        check()

    def _stop_call(self, call: Call, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """Finish a call with `outcome`, or as MOOT or CONNECT_FAILED if nothing of it was published."""
        open_call = self._open_calls.get(call)
        if open_call is None:
            return
        moot = open_call.local_shortage or outcome == Outcome.CANCELLED
        unsent = Outcome.MOOT if moot else Outcome.CONNECT_FAILED
        result = AttemptResult(outcome if open_call.admitted else unsent)
        for item in open_call.admitted or call.items:
            open_call.results.setdefault(item.number, result)
        if open_call.link is not None:
            open_call.link.cancel_call(open_call)
        queued = self._queued.get(open_call.target, [])
        if open_call in queued:
            queued.remove(open_call)
        self._finish(open_call)

    def cancel(self, call: Call) -> None:
        """Finish a call as cancelled."""
        self._stop_call(call, Outcome.CANCELLED)

    def _finish(self, open_call: _OpenCall) -> None:
        if self._open_calls.pop(open_call.call, None) is not None:
            open_call.timer.cancel()
            self._owner.finished(open_call.call, open_call.results)

    def close_idle(self, hop_id: str) -> None:
        """Close the next hop's connection if it has no call."""
        link = self._links.get(hop_id)
        if link is not None and not link.busy:
            del self._links[hop_id]
            link.close_with(AmqpError(200, "idle"))

    def close(self) -> None:
        """Finish all calls as reset, and abort all connections."""
        for call in list(self._open_calls):
            self._stop_call(call, Outcome.RESET)
        for hop_id in list(self._links):
            self._links.pop(hop_id).abort()
        for task in self._connecting.values():
            task.cancel()
