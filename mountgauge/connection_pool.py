"""Idle connections to next hops, kept for reuse, and the bound on all connections to them.

A connection is given out again once it has been quiet for `QUIET_S`: an endpoint may send an answer a second
time, or noise, right after it, which must not arrive while the next call is in flight.
"""

from __future__ import annotations

import asyncio
import logging
import time
from bisect import bisect
from collections.abc import Callable

from mountgauge.core.ports import NextHop
from mountgauge.http1 import QUIET_S, Connection, State
from mountgauge.log import LogRateLimiter, kv

log = logging.getLogger("mountgauge.next_hops")

# Idle connections are closed this margin before connIdle, after which a call on them would be reset.
_IDLE_MARGIN_S = 0.25
_MIN_IDLE_S = 0.1
_TIMER_TOLERANCE_S = 0.001

_IDLE_RANGE_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)  # of the idle times that are counted separately
_STALE_SHARE_GAIN = 1 / 16  # weight of the newest use in a range's share of stale connections
_MAX_STALE_SHARE = 0.15  # above it a new connection costs less than the resets
_RETRIED_EVERY = 16  # above that share, one in so many connections of a range is still reused


class ReuseStatistics:
    """Shares of reused connections that were stale, by their idle time before the reuse.

    Partners close idle connections sooner than they declare.
    """

    def __init__(self) -> None:
        self._stale_shares = [0.0] * (len(_IDLE_RANGE_BOUNDS_S) + 1)
        self._skipped = [0] * len(self._stale_shares)

    def usable(self, idle_s: float) -> bool:
        """Whether to reuse a connection with this idle time."""
        index = bisect(_IDLE_RANGE_BOUNDS_S, idle_s)
        if self._stale_shares[index] <= _MAX_STALE_SHARE:
            return True
        self._skipped[index] = (self._skipped[index] + 1) % _RETRIED_EVERY
        return not self._skipped[index]

    def record(self, idle_s: float, stale: bool) -> None:
        """Record whether a reused connection was stale, by its idle time before."""
        index = bisect(_IDLE_RANGE_BOUNDS_S, idle_s)
        self._stale_shares[index] += _STALE_SHARE_GAIN * (stale - self._stale_shares[index])


PoolKey = tuple[str, str, int]  # id, host and port of a next hop, whose address may change


def pool_key(hop: NextHop) -> PoolKey:
    """Which connections lead to a next hop."""
    return hop.id, hop.host, hop.port


class ConnectionPool:
    """The connections of one sender to its next hops."""

    def __init__(self, conn_idle_s: float, max_connections: int) -> None:
        """`conn_idle_s`: the idle time after which a next hop closes a connection, by the settings."""
        self._max_idle_s = max(_MIN_IDLE_S, conn_idle_s - _IDLE_MARGIN_S)
        self._max_connections = max_connections
        self._idle: dict[PoolKey, list[Connection]] = {}  # the one that was released last at the end
        self._keys: dict[str, list[PoolKey]] = {}  # by next hop
        self._lines = LogRateLimiter(time.monotonic)
        self.open = 0  # connections, in use and idle
        self.reuse = ReuseStatistics()

    @property
    def is_empty(self) -> bool:
        """Whether no connection is idle."""
        return not self._idle

    # Taking

    def take(self, key: PoolKey) -> Connection | None:
        """Take the connection that was used last among those that have been quiet for long enough."""
        connections = self._idle.get(key, [])
        for connection in reversed(list(connections)):
            if self.quiet_in_s(connection) > 0:
                continue
            if self.usable(connection):
                connections.remove(connection)
                return connection
            connection.close()
        return None

    def take_soon_quiet(self, key: PoolKey) -> Connection | None:
        """Take the connection that will be the first to have been quiet for long enough."""
        connections = self._idle.get(key, [])
        return connections.pop(0) if connections else None

    @staticmethod
    def quiet_in_s(connection: Connection) -> float:
        """The time until the connection has been quiet for long enough, if nothing arrives on it."""
        return connection.idle_since + QUIET_S - asyncio.get_running_loop().time()

    def usable(self, connection: Connection) -> bool:
        """Whether a call may be sent on an idle connection."""
        idle_s = asyncio.get_running_loop().time() - connection.idle_since
        fresh = connection.state is State.IDLE and idle_s < self._max_idle_s
        return fresh and connection.has_no_unread_data and self.reuse.usable(idle_s)

    # Opening and releasing

    def has_capacity(self) -> bool:
        """Whether one more connection may be opened. If need be, an idle one is closed, as idle connections
        must not prevent a call.
        """
        if self.open >= self._max_connections:
            self.close_oldest()
        return self.open < self._max_connections

    def release(self, key: PoolKey, connection: Connection) -> None:
        """Keep an idle connection for reuse."""
        if (connections := self._idle.get(key)) is None:
            connections = self._idle[key] = []
            self._keys.setdefault(key[0], []).append(key)
        connections.append(connection)
        asyncio.get_running_loop().call_later(self._max_idle_s, self._expire, key, connection)

    def on_lost(self, key: PoolKey) -> Callable[[Connection], None]:
        """What a connection has to call when it is closed."""

        def lost(connection: Connection) -> None:
            self.open -= 1
            if connection.got_unsolicited_data and self._lines.allow():
                idle_s = asyncio.get_running_loop().time() - connection.idle_since
                log.info("unsolicited-answer", extra=kv(hop=key[0], after_ms=round(idle_s * 1000)))
            connections = self._idle.get(key, [])
            if connection in connections:
                connections.remove(connection)
            if not connections and self._idle.pop(key, None) is not None:
                self._forget(key)

        return lost

    # Closing

    def close_oldest(self) -> None:
        """Close the connection that has been idle for the longest time."""
        idle = [connection for connections in self._idle.values() for connection in connections]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()

    def close_hop(self, hop_id: str) -> None:
        """Close the idle connections to a next hop."""
        for key in list(self._keys.get(hop_id, ())):
            for connection in list(self._idle.get(key, [])):
                connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in list(self._idle.values()):
            for connection in list(connections):
                connection.close()

    def _expire(self, key: PoolKey, connection: Connection) -> None:
        now = asyncio.get_running_loop().time()
        idle_s = now - connection.idle_since
        if connection in self._idle.get(key, []) and idle_s >= self._max_idle_s - _TIMER_TOLERANCE_S:
            connection.close()

    def _forget(self, key: PoolKey) -> None:
        keys = self._keys[key[0]]
        keys.remove(key)
        if not keys:
            del self._keys[key[0]]
