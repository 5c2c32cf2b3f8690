"""The registry of clients' connections, of all fronts: one epoll of their own, one timer, one scheduler.

The event loop watches two things: the epoll, readable when any connection has an event, and the next slot
of the timer wheel. So an idle connection costs the loop nothing, and many active ones are served in batches,
with the loop free for next hops, journal and notices in between. On the platform, and wherever connections
are few, the loop watches each descriptor itself, as not every system wakes for an epoll nested in another.
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

from mountgauge.connections.admission import SharedLimit
from mountgauge.connections.budget import ByteBudget
from mountgauge.connections.connection import ConnectionTransport
from mountgauge.connections.scheduler import OverloadDetector, RetrySpread, Scheduler
from mountgauge.connections.settings import ClientSettings, Times
from mountgauge.connections.system_calls import SystemCalls
from mountgauge.connections.timer_wheel import INFINITE, TimerWheel

BATCH = 64  # connections that one turn of the loop serves, closes or cleans up
_REBUILD_FROM = 1024  # peak connections above which tables are rebuilt once most have closed
_FREEZE_STEP = 512  # change in connections after which the garbage collector is frozen again


class Registered(Protocol):
    """What the registry needs of a connection; `due_at` and `tick` belong to the timer wheel."""

    due_at: float
    tick: int

    def on_due(self, now: float) -> None:
        """Its deadline has passed."""

    def continue_reading(self) -> None:
        """Read further commands: the scheduler has granted a turn."""

    def abandon_partial(self) -> None:
        """Abandon the incomplete command, as the shared buffer limit is exceeded."""

    def abort(self) -> None: ...


class Registry:
    """Created and used in one event loop; `close` releases all resources."""

    def __init__(self, settings: ClientSettings, system_calls: SystemCalls | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self.settings = settings
        self.system_calls = system_calls or SystemCalls()
        self.shared = SharedLimit(settings.most)
        self.timer_wheel = TimerWheel[Registered](self._loop.time())
        self.scheduler = Scheduler[Registered]()
        self.overload, self.retry_spread = OverloadDetector(settings.patience), RetrySpread()
        self.partial_bytes = ByteBudget[Registered](settings.buffers)  # of incomplete commands
        self.unread_bytes = ByteBudget[ConnectionTransport](settings.buffers)  # of unread answers
        self.counts: Counter[tuple[str, str]] = Counter()
        self._transports: dict[int, ConnectionTransport] = {}
        self._finished: dict[ConnectionTransport, None] = {}
        self._epoll: select.epoll | None = None
        self._turn_handle: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = INFINITE
        self._frozen_at = 0  # connections
        self._peak = 0  # most connections since the tables were rebuilt
        self.rebuilders: list[Callable[[], None]] = []  # each rebuilds a table in its present size

    @property
    def open(self) -> int:
        """How many connections are open."""
        return len(self._transports)

    @property
    def sheds_load(self) -> bool:
        """Whether requests may be rejected under overload: not on the platform."""
        return self.overload.patience_s < INFINITE

    def now(self) -> float:
        return self._loop.time()

    # Connections

    def adopt(
        self, sock: socket.socket, protocol: asyncio.BufferedProtocol, times: Times
    ) -> ConnectionTransport:
        """Take over an accepted connection."""
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
        if self.sheds_load and abs(len(self._transports) - self._frozen_at) >= _FREEZE_STEP:
            # Exempts the connections from garbage collection: traversing them would block the loop for long.
            self._frozen_at = len(self._transports)
            gc.collect()
            gc.freeze()
        protocol.connection_made(transport)
        return transport

    def set_events(self, fd: int, before: int, mask: int) -> None:
        """Change the epoll events watched for a descriptor from `before` to `mask`."""
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
            self._loop.add_reader(fd, self._on_ready, fd, select.EPOLLIN)
        elif before & select.EPOLLIN > mask & select.EPOLLIN:
            self._loop.remove_reader(fd)
        if mask & select.EPOLLOUT > before & select.EPOLLOUT:
            self._loop.add_writer(fd, self._on_ready, fd, select.EPOLLOUT)
        elif before & select.EPOLLOUT > mask & select.EPOLLOUT:
            self._loop.remove_writer(fd)

    def _on_ready(self, fd: int, mask: int) -> None:
        if (transport := self._transports.get(fd)) is not None:
            transport.on_event(mask)

    def set_unread_bytes(self, transport: ConnectionTransport, count: int) -> None:
        """Record the unsent answer bytes of a transport; above the limit the largest is aborted."""
        largest = self.unread_bytes.set_bytes(transport, count)
        if largest is not None:
            self.counts["clients", "unread"] += 1
            largest.abort()

    def set_partial_bytes(self, connection: Registered, count: int) -> Registered | None:
        """Record the bytes of an incomplete command; returns the connection to evict above the limit."""
        return self.partial_bytes.set_bytes(connection, count)

    def schedule_close(self, transport: ConnectionTransport) -> None:
        """Have a transport finished in one of the next turns."""
        if transport not in self._finished:
            self._finished[transport] = None
            self._schedule_turn()

    def remove_transport(self, transport: ConnectionTransport) -> None:
        """Forget a transport that is finished."""
        del self._transports[transport.fd]
        self.unread_bytes.set_bytes(transport, 0)
        if self._peak > _REBUILD_FROM and len(self._transports) < self._peak // 4:
            # A dict keeps its peak size after deletions.
            self._transports, self._peak = dict(self._transports), len(self._transports)
            for rebuild in self.rebuilders:
                rebuild()

    # Scheduling

    def queue_turn(self, connection: Registered) -> None:
        """Queue a connection that has more commands than one turn reads."""
        self.scheduler.enqueue(connection)
        self._schedule_turn()

    def forget(self, connection: Registered) -> None:
        """Drop all state of a connection that is closed."""
        self.timer_wheel.disarm(connection)
        self.scheduler.drop(connection)
        self.partial_bytes.set_bytes(connection, 0)

    def _schedule_turn(self) -> None:
        if self._turn_handle is None:
            self._turn_handle = self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn_handle = None
        self.turn()

    def turn(self) -> None:
        """Handle a batch of events, then a batch of queued connections, then finish a batch of transports."""
        if self._epoll is not None:
            events = self._epoll.poll(0, BATCH)
            self.overload.record_poll(len(events) == BATCH, self.now())
            for fd, mask in events:
                transport = self._transports.get(fd)
                if transport is not None:
                    transport.on_event(mask)
        for connection in self.scheduler.round(BATCH):
            connection.continue_reading()
        self._close_finished(BATCH)
        if self.scheduler or self._finished:
            self._schedule_turn()

    def close_all_finished(self) -> None:
        """Close the descriptors of all finished transports. Called from the loop, not from a transport."""
        while self._finished:
            self._close_finished(BATCH)

    def _close_finished(self, limit: int) -> None:
        for transport in list(itertools.islice(self._finished, limit)):
            del self._finished[transport]
            transport.finish()

    # Deadlines

    def arm(self, connection: Registered, when: float) -> None:
        """Have `connection.on_due` called at `when`, at most a tick late, instead of any earlier deadline."""
        self.timer_wheel.arm(connection, when)
        if when < self._timer_at:
            self._set_timer(when)

    def _set_timer(self, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = when
        self._timer = None
        if when < INFINITE:
            self._timer = self._loop.call_at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._timer, self._timer_at = None, INFINITE
        now = self.now()
        found = self.timer_wheel.due(now, BATCH)
        for connection in found:
            connection.on_due(now)
        # After a full batch the next follows at once, with other work of the loop in between.
        self._set_timer(now if len(found) == BATCH else max(now, self.timer_wheel.next_at()))

    def close(self) -> None:
        """Abort all connections and release the epoll and the timer."""
        for transport in list(self._transports.values()):
            transport.abort()
            self._finished.pop(transport, None)
            transport.finish()
        self._set_timer(INFINITE)
        if self._turn_handle is not None:
            self._turn_handle.cancel()
            self._turn_handle = None
        if self._epoll is not None:
            self._loop.remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None
