"""The registry of clients' connections, of all fronts: one epoll of their own, one timer, one scheduler.

The event loop sees two things: the epoll, readable when any connection has something to say, and the next
slot of the wheel. So an idle connection costs the loop nothing, and a crowd is heard in batches between which
the loop serves next hops, journal and notices as ever. On the platform, and wherever connections are few, the
loop watches each descriptor itself: an epoll within an epoll is more than every system wakes for.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import os
import select
import socket
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from mountgauge.connections.admission import Shared
from mountgauge.connections.budget import Budget
from mountgauge.connections.connection import ConnectionTransport
from mountgauge.connections.scheduler import OverloadDetector, RetrySpread, Scheduler
from mountgauge.connections.settings import ClientSettings, Times
from mountgauge.connections.system_calls import SystemCalls
from mountgauge.connections.timer_wheel import FAR, TimerWheel

BATCH = 64  # connections that one turn of the loop hears, lets go or cleans up after
_LARGE = 1024  # connections from which on emptied tables are worth making anew
_FREEZE = 512  # connections more or fewer after which the collector is told of them


class Registered(Protocol):
    """A connection as the registry sees it: in the timer wheel by its first two."""

    due_at: float
    tick: int

    def on_due(self, now: float) -> None:
        """Its deadline has passed."""

    def more(self) -> None:
        """Its turn has come to have more commands read."""

    def abandon_partial(self) -> None:
        """Its command that is not whole holds more than there is room for."""

    def abort(self) -> None: ...


class Registry:
    """Made and used in one event loop; `close` gives everything back."""

    def __init__(self, settings: ClientSettings, system_calls: SystemCalls | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self.settings = settings
        self.system_calls = system_calls or SystemCalls()
        self.shared = Shared(settings.most)
        self.timer_wheel = TimerWheel[Registered](self._loop.time())
        self.scheduler = Scheduler[Registered]()
        self.overload, self.retry_spread = OverloadDetector(settings.patience), RetrySpread()
        self.half = Budget[Registered](settings.buffers)  # bytes of commands that are not whole
        self.unread = Budget[ConnectionTransport](settings.buffers)  # bytes of answers that are not read
        self.counts: Counter[tuple[str, str]] = Counter()
        self._transports: dict[int, ConnectionTransport] = {}
        self._ended: dict[ConnectionTransport, None] = {}
        self._epoll: select.epoll | None = None
        self._again: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = FAR
        self._frozen_at = 0  # connections
        self._peak = 0  # connections, since tables were made anew
        self.tables: list[Callable[[], None]] = []  # make one anew, in the size that it needs now

    @property
    def open(self) -> int:
        return len(self._transports)

    @property
    def sheds_load(self) -> bool:
        """Whether a crowd may be turned away: not on the platform."""
        return self.overload.patience_s < FAR

    def now(self) -> float:
        return self._loop.time()

    # Connections

    def adopt(
        self, sock: socket.socket, protocol: asyncio.BufferedProtocol, times: Times
    ) -> ConnectionTransport:
        """Hold an accepted connection from now on."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if times.keepalive:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, times.keepalive)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, max(1, times.keepalive // 4))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 4)
        if times.user_timeout:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, times.user_timeout * 1000)
        if self._epoll is None and self.sheds_load:
            self._epoll = select.epoll()
            self._loop.add_reader(self._epoll.fileno(), self.turn)
        fd = sock.detach()
        try:
            transport = ConnectionTransport(self, fd, protocol)
        except OSError:
            os.close(fd)
            raise
        self._transports[fd] = transport
        self._peak = max(self._peak, len(self._transports))
        if self.sheds_load and abs(len(self._transports) - self._frozen_at) >= _FREEZE:
            # Connections that stay are not walked again by the collector, which would stop all else for long.
            self._frozen_at = len(self._transports)
            gc.collect()
            gc.freeze()
        protocol.connection_made(transport)
        return transport

    def watch(self, fd: int, before: int, mask: int) -> None:
        if self._epoll is None:
            self._watch_in_loop(fd, before, mask)
        elif not mask:
            self._epoll.unregister(fd)
        elif before:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)

    def _watch_in_loop(self, fd: int, before: int, mask: int) -> None:
        if mask & select.EPOLLIN > before & select.EPOLLIN:
            self._loop.add_reader(fd, self._hear, fd, select.EPOLLIN)
        elif before & select.EPOLLIN > mask & select.EPOLLIN:
            self._loop.remove_reader(fd)
        if mask & select.EPOLLOUT > before & select.EPOLLOUT:
            self._loop.add_writer(fd, self._hear, fd, select.EPOLLOUT)
        elif before & select.EPOLLOUT > mask & select.EPOLLOUT:
            self._loop.remove_writer(fd)

    def _hear(self, fd: int, mask: int) -> None:
        if (transport := self._transports.get(fd)) is not None:
            transport.on_event(mask)

    def owes(self, transport: ConnectionTransport, count: int) -> None:
        """Answers that wait in memory for their reader; past the bound the one who owes most goes."""
        most = self.unread.hold(transport, count)
        if most is not None:
            self.counts["clients", "unread"] += 1
            most.abort()

    def set_partial_bytes(self, connection: Registered, count: int) -> Registered | None:
        """Bytes of a command that is not whole; returns who has to go for it."""
        return self.half.hold(connection, count)

    def ended(self, transport: ConnectionTransport) -> None:
        if transport not in self._ended:
            self._ended[transport] = None
            self._soon()

    def gone(self, transport: ConnectionTransport) -> None:
        del self._transports[transport.fd]
        self.unread.hold(transport, 0)
        if self._peak > _LARGE and len(self._transports) < self._peak // 4:
            # A dict keeps the size of its greatest day.
            self._transports, self._peak = dict(self._transports), len(self._transports)
            for anew in self.tables:
                anew()

    # Scheduling

    def queue_turn(self, connection: Registered) -> None:
        """It has more to say than one turn hears."""
        self.scheduler.wait(connection)
        self._soon()

    def forget(self, connection: Registered) -> None:
        """It is closed: nothing is left of it here."""
        self.timer_wheel.disarm(connection)
        self.scheduler.drop(connection)
        self.half.hold(connection, 0)

    def _soon(self) -> None:
        if self._again is None:
            self._again = self._loop.call_soon(self._turn_again)

    def _turn_again(self) -> None:
        self._again = None
        self.turn()

    def turn(self) -> None:
        """Hear a batch, then those who wait for their next turn, then clean up after a batch."""
        if self._epoll is not None:
            events = self._epoll.poll(0, BATCH)
            self.overload.polled(len(events) == BATCH, self.now())
            for fd, mask in events:
                transport = self._transports.get(fd)
                if transport is not None:
                    transport.on_event(mask)
        for connection in self.scheduler.round(BATCH):
            connection.more()
        self._close_ended(BATCH)
        if self.scheduler or self._ended:
            self._soon()

    def make_room(self) -> None:
        """Give back the descriptors of all connections that have ended, called by the loop itself."""
        while self._ended:
            self._close_ended(BATCH)

    def _close_ended(self, most: int) -> None:
        for transport in list(itertools.islice(self._ended, most)):
            del self._ended[transport]
            transport.done()

    # Deadlines

    def arm(self, connection: Registered, when: float) -> None:
        """`connection.on_due` comes at `when`, at most a tick late, and not at any time set before."""
        self.timer_wheel.arm(connection, when)
        if when < self._wake_at:
            self._wake(when)

    def _wake(self, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._wake_at = when
        self._timer = None
        if when < FAR:
            self._timer = self._loop.call_at(when, self._due)

    def _due(self) -> None:
        self._timer, self._wake_at = None, FAR
        now = self.now()
        found = self.timer_wheel.due(now, BATCH)
        for connection in found:
            connection.on_due(now)
        # A full batch: more at once, with the rest of the loop in between.
        self._wake(now if len(found) == BATCH else max(now, self.timer_wheel.next_at()))

    def close(self) -> None:
        """Break what is left; the process or the test ends."""
        for transport in list(self._transports.values()):
            transport.abort()
            self._ended.pop(transport, None)
            transport.done()
        self._wake(FAR)
        if self._again is not None:
            self._again.cancel()
            self._again = None
        if self._epoll is not None:
            self._loop.remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None
