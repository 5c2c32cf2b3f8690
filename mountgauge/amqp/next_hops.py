"""Next hops over AMQP 0-9-1: partners' brokers, to which messages are published with confirms.

One connection for each next hop, one channel for each call that is out on it. Outcomes: ack = OK, nack or
a returned message = ERROR, a blocked connection = FULL, no connection = CONNECT_FAILED, a connection that
breaks after the publish = RESET, no confirm in time = TIMEOUT, and the channel is closed.

A call is admitted where its first byte goes straight to the socket: never behind bytes that the broker has
not taken yet, and never on a connection to another address than the call's. Its socket asks its lease up to
the last byte; where that has ended, the connection ends, as what it holds cannot be taken back.
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

_MOST_CHANNELS = 256
_LOOK_AGAIN = 0.01  # s from one look at a socket that takes nothing more to the next
_CLOSE_LIMIT = 2.0  # s for the answer to a channel's close; past it the broker is not worth its connection


@dataclass(frozen=True, slots=True)
class Account:
    """How to publish to one next hop."""

    user: str = "guest"
    password: str = "guest"
    vhost: str = "/"
    exchange: str = ""
    routing_key: str = ""


class _Target(NamedTuple):
    """What one connection leads to."""

    hop_id: str
    host: str
    port: int
    account: Account


@dataclass(slots=True, eq=False)
class _Out:
    """A call that is out: waiting for its channel, or for its confirms."""

    call: Call
    timer: asyncio.TimerHandle
    target: _Target
    link: BrokerLink | None = None
    going: list[CallItem] = field(default_factory=list)
    tags: dict[int, CallItem] = field(default_factory=dict)
    results: dict[int, AttemptResult] = field(default_factory=dict)
    last_byte: int = 0  # its place in all that its connection has written
    short: bool = False  # this machine had no descriptor or port for it, which says nothing of its broker


@dataclass(slots=True, eq=False)
class _Channel:
    """OPENING, CONFIRMING, READY, then BUSY with a call and READY in turn, at last CLOSING."""

    number: int
    state: str = "opening"
    tag: int = 0
    out: _Out | None = None
    flows: bool = True  # the broker may ask for a pause
    timer: asyncio.TimerHandle | None = None


class BrokerLink(Link):
    """One connection to a broker, with the publishes that wait for their confirmation."""

    def __init__(
        self,
        target: _Target,
        order: int,
        on_ready: Callable[[], None],
        lost: Callable[[], None],
        settle: Callable[[_Out], None],
        admit: Callable[[Call, list[CallItem]], list[CallItem]],
    ) -> None:
        """`order` rises from one connection to the next."""
        super().__init__(State.START)
        self.target, self.order, self.blocked = target, order, False
        self.slot = LeaseSlot()  # of the socket that it is to be connected with
        self.channels: dict[int, _Channel] = {}
        self.most_channels = _MOST_CHANNELS
        self.carried = 0  # calls carried so far
        self._waiting: list[_Channel] = []  # whose calls go once the socket takes bytes again
        self._on_ready, self._lost, self._settle, self._admit = on_ready, lost, settle, admit

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if (sock := transport.get_extra_info("socket")) is not None:
            # The system takes no more while bytes are unsent: what is written then waits where it is known.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, 1)
        self.send(codec.PROTOCOL_HEADER)

    @property
    def busy(self) -> bool:
        return any(channel.out is not None for channel in self.channels.values())

    def on_lost(self) -> None:
        outs = [channel.out for channel in self.channels.values() if channel.out is not None]
        for channel in self.channels.values():
            if channel.timer is not None:
                channel.timer.cancel()
        self.channels.clear()
        self._lost()
        for out in outs:
            # Published and not confirmed: it may have taken effect, unless its last byte never left. Of what
            # was still unwritten that is sure of the last bytes alone.
            lease = out.call.lease
            if lease is not None and lease.refusal is not None:  # its last byte never left
                self._fill(out, AttemptResult(Outcome.MOOT))
                continue
            never = not out.going or (not self.flushed and out.last_byte == self.written)
            self._fill(out, AttemptResult(Outcome.CONNECT_FAILED if never else Outcome.RESET))

    def _fill(self, out: _Out, result: AttemptResult) -> None:
        for item in out.going or out.call.items:
            out.results.setdefault(item.number, result)
        self._settle(out)

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
            self._opening(name, method)
        else:
            self._channel_method(channel, method)

    def _opening(self, name: str, method: Method) -> None:
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
            self.most_channels = min(_MOST_CHANNELS, args["channel_max"] or _MOST_CHANNELS)
            self.frame_max = self._parser.frame_max = max(codec.FRAME_MIN, min(FRAME_MAX, offered))
            self.send_method(
                0,
                "connection.tune-ok",
                channel_max=args["channel_max"],
                frame_max=self.frame_max,
                heartbeat=args["heartbeat"],
            )
            self.beat_every(args["heartbeat"])
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
        if name == "channel.close":  # the broker refuses what was published on it
            self.send_method(number, "channel.close-ok")
            self._drop(channel)
            if (out := channel.out) is not None:
                channel.out = None
                self._fill(out, AttemptResult(Outcome.ERROR))
        elif name == "channel.close-ok":
            self._drop(channel)
        elif channel.state == "closing":
            self.drop_content(number)
        elif name == "channel.open-ok":
            channel.state = "confirming"
            self.send_method(number, "confirm.select")
        elif name == "confirm.select-ok":
            channel.state = "ready"
            if channel.out is not None:
                self._publish(channel, channel.out)
        elif name in ("basic.ack", "basic.nack"):
            self._confirmed(channel, method.args["tag"], method.args["multiple"], name == "basic.ack")
        elif name == "channel.flow":
            channel.flows = method.args["active"]
            self.send_method(number, "channel.flow-ok", active=method.args["active"])

    def on_content(self, channel: int, content: Content) -> None:
        """A returned message: its ack will follow, but no queue has taken it."""
        found = self.channels.get(channel)
        if found is None or found.out is None:
            return
        for item in found.out.tags.values():
            if item.id == content.properties.get("message_id"):
                found.out.results[item.number] = AttemptResult(Outcome.ERROR)

    def passes_over(self, channel: int) -> bool:
        return True

    def _drop(self, channel: _Channel) -> None:
        if channel.timer is not None:
            channel.timer.cancel()
        self.channels.pop(channel.number, None)
        self.drop_content(channel.number)

    # Calls

    def carry(self, out: _Out) -> bool:
        """Put a call on a free channel, or on a new one; False where the connection has no room."""
        self.carried += 1
        out.link = self
        for channel in self.channels.values():
            if channel.state == "ready" and channel.out is None:
                channel.out = out
                self._publish(channel, out)
                return True
        number = next((n for n in range(1, self.most_channels + 1) if n not in self.channels), 0)
        if not number:
            return False
        self.channels[number] = _Channel(number, out=out)
        self.send_method(number, "channel.open")
        return True

    @property
    def _takes_bytes(self) -> bool:
        """Whether the first byte of what is written now leaves now."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if not self.flushed or sock is None:
            return self.flushed
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLOUT)
        return bool(poll.poll(0))

    def resume_writing(self) -> None:
        super().resume_writing()
        self._publish_waiting()

    def _publish_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for channel in waiting:
            if channel.out is not None and self.channels.get(channel.number) is channel:
                self._publish(channel, channel.out)

    def _wait_to_publish(self, channel: _Channel) -> None:
        """The call keeps its channel, and gives it back where it is given up meanwhile."""
        if not self._waiting and self.flushed:  # no `resume_writing` will tell
            asyncio.get_running_loop().call_later(_LOOK_AGAIN, self._publish_waiting)
        self._waiting.append(channel)

    def _publish(self, channel: _Channel, out: _Out) -> None:
        if self.blocked or not channel.flows:
            channel.out = None
            self._fill(out, AttemptResult(Outcome.FULL))
            return
        if not self._takes_bytes:
            self._wait_to_publish(channel)
            return
        out.going = self._admit(out.call, out.call.items)
        if not out.going:
            channel.out = None
            self._settle(out)
            return
        channel.state = "busy"
        now = asyncio.get_running_loop().time()
        data = b""
        for item in out.going:
            channel.tag += 1
            out.tags[channel.tag] = item
            properties = {
                "message_id": item.id,
                "type": item.grade,
                "delivery_mode": 2,
                "expiration": str(
                    max(1, math.floor((min(item.expires, out.call.times_out_at) - now) * 1000))
                ),
                "headers": {KEY_HEADER: item.key} if item.key else None,
            }
            routing_key = self.target.account.routing_key or str(out.call.hop.entry.owner)
            data += codec.method(
                channel.number,
                "basic.publish",
                exchange=self.target.account.exchange,
                routing_key=routing_key,
                mandatory=True,
            )
            data += codec.content(channel.number, properties, item.body, self.frame_max)
        out.last_byte = self.written + len(data)
        self.slot.arm(out.call.lease, len(data))  # nothing is written before it: `_takes_bytes`
        self.send(data)

    def _confirmed(self, channel: _Channel, tag: int, multiple: bool, acked: bool) -> None:
        out = channel.out
        if out is None:
            return
        for known in [t for t in out.tags if t == tag or (multiple and (t <= tag or tag == 0))]:
            item = out.tags.pop(known)
            out.results.setdefault(item.number, AttemptResult(Outcome.OK if acked else Outcome.ERROR))
        if not out.tags:
            channel.out, channel.state = None, "ready"
            self._settle(out)

    def give_up(self, out: _Out) -> None:
        """Close the channel: a confirm that comes late must not be taken for the next call's."""
        for channel in self.channels.values():
            if channel.out is out and channel in self._waiting:  # nothing of it was written
                self._waiting.remove(channel)
                channel.out = None
                return
            if channel.out is out:
                channel.out, channel.state = None, "closing"
                self.drop_content(channel.number)
                self.send_method(channel.number, "channel.close", code=200, text="given up")
                channel.timer = asyncio.get_running_loop().call_later(_CLOSE_LIMIT, self.abort)
                return


class AmqpNextHops:
    """Delivers calls to brokers: a connection for each, kept while it is used."""

    def __init__(
        self,
        owner: CallOwner,
        connect_timeout: float,
        idle: float,
        most: int,
        accounts: Mapping[str, Account],
    ) -> None:
        self._owner, self._connect_timeout, self._idle = owner, connect_timeout, idle
        self._most = most  # connections at once
        self.accounts = accounts
        self._links: dict[str, BrokerLink] = {}
        self._opening: dict[_Target, asyncio.Task[None]] = {}
        self._queued: dict[_Target, list[_Out]] = {}
        self._orders = itertools.count()
        self._out: dict[Call, _Out] = {}
        self.opened = 0

    @property
    def in_flight(self) -> int:
        return len(self._out)

    def start(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        target = self._target(call.hop)
        out = _Out(call, loop.call_at(call.times_out_at, self._give_up, call), target)
        self._out[call] = out
        link = self._current(target)
        if link is not None and link.state is State.READY:
            if not link.carry(out):
                loop.call_soon(self._finish, out)  # not sent
            return
        if target not in self._opening and not self._make_room():
            loop.call_soon(self._finish, out)  # not sent
            return
        self._queued.setdefault(target, []).append(out)
        if target not in self._opening:
            self.opened += 1
            self._opening[target] = loop.create_task(self._connect(target))

    def _target(self, hop: NextHop) -> _Target:
        return _Target(hop.id, hop.host, hop.port, self.accounts.get(hop.id, Account()))

    def _current(self, target: _Target) -> BrokerLink | None:
        """The next hop's connection; one to an earlier address or account takes no further calls."""
        link = self._links.get(target.hop_id)
        if link is None or link.target == target:
            return link
        del self._links[target.hop_id]
        self._retire(link)
        return None

    def _retire(self, link: BrokerLink) -> None:
        if link.busy:
            asyncio.get_running_loop().call_later(self._idle, link.abort)
        else:
            link.close_with(AmqpError(200, "moved"))

    def _make_room(self) -> bool:
        """Descriptors are bounded: a connection without a call goes before a call stays behind."""
        if len(self._links) + len(self._opening) < self._most:
            return True
        return self._close_an_idle_one()

    def _close_an_idle_one(self) -> bool:
        idle = next((hop_id for hop_id, link in self._links.items() if not link.busy), None)
        if idle is not None:
            self.close_idle(idle)
        return idle is not None

    async def _connect(self, target: _Target) -> None:
        hop_id = target.hop_id
        loop = asyncio.get_running_loop()
        ready: asyncio.Future[None] = loop.create_future()

        def lost() -> None:
            if self._links.get(hop_id) is link:
                del self._links[hop_id]
            if not ready.done():
                ready.set_exception(ConnectionResetError("closed while opening"))

        def on_ready() -> None:
            if not ready.done():
                ready.set_result(None)

        order = next(self._orders)
        tried_at = loop.time()

        def on_shortage() -> bool:
            nonlocal tried_at
            tried_at = loop.time() + SHORTAGE_RETRY_S
            waiting = self._queued.get(target, [])
            for out in waiting:
                out.short = True
            self._close_an_idle_one()
            return bool(waiting)  # until the last of them is given up

        link = BrokerLink(target, order, on_ready, lost, self._finish, self._owner.admit)
        try:
            await connect(
                lambda: link, target.host, target.port, self._connect_timeout, on_shortage, link.slot
            )
            async with asyncio.timeout_at(tried_at + self._connect_timeout):
                await ready
        except OSError:
            link.abort()
            self._opening.pop(target, None)
            for out in self._queued.pop(target, []):
                failed = AttemptResult(Outcome.CONNECT_FAILED)
                out.results = {item.number: failed for item in out.call.items}
                self._finish(out)
            return
        self._opening.pop(target, None)
        for out in self._queued.pop(target, []):
            if out.call in self._out and not link.carry(out):
                self._finish(out)
        other = self._links.get(hop_id)  # opened meanwhile, to another address or for another account
        if other is not None and other.order > link.order:
            self._retire(link)
            return
        self._links[hop_id] = link
        self._watch_idle(hop_id, link)
        if other is not None:
            self._retire(other)

    def _watch_idle(self, hop_id: str, link: BrokerLink) -> None:
        """An unused connection costs the partner a place: it goes after a while without calls."""

        def look(quiet: bool = False) -> None:
            if link.state is not State.READY:
                return
            idle = not link.busy
            if idle and quiet and link.carried == used[0]:
                self.close_idle(hop_id)
                return
            used[0] = link.carried
            asyncio.get_running_loop().call_later(self._idle, look, idle)

        used = [0]
        look()

    def _give_up(self, call: Call, outcome: Outcome = Outcome.TIMEOUT) -> None:
        out = self._out.get(call)
        if out is None:
            return
        moot = out.short or outcome == Outcome.CANCELLED
        never = Outcome.MOOT if moot else Outcome.CONNECT_FAILED
        result = AttemptResult(outcome if out.going else never)
        for item in out.going or call.items:
            out.results.setdefault(item.number, result)
        if out.link is not None:
            out.link.give_up(out)
        queued = self._queued.get(out.target, [])
        if out in queued:
            queued.remove(out)
        self._finish(out)

    def cancel(self, call: Call) -> None:
        self._give_up(call, Outcome.CANCELLED)

    def _finish(self, out: _Out) -> None:
        if self._out.pop(out.call, None) is not None:
            out.timer.cancel()
            self._owner.finished(out.call, out.results)

    def close_idle(self, hop_id: str) -> None:
        link = self._links.get(hop_id)
        if link is not None and not link.busy:
            del self._links[hop_id]
            link.close_with(AmqpError(200, "idle"))

    def close(self) -> None:
        for call in list(self._out):
            self._give_up(call, Outcome.RESET)
        for hop_id in list(self._links):
            self._links.pop(hop_id).abort()
        for task in self._opening.values():
            task.cancel()
