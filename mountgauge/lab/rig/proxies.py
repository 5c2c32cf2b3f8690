"""Fault-injecting proxies on loopback: one between two parties for TCP, one between all members for UDP.

Each pair of a sender and another party has its own address, so a stand-in can identify its peer
(`Proxies.who`) and a fault can affect a single pair. `network_conditions` decides what a proxy does to the
traffic; a change takes effect at once, for open connections as well.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, Protocol, cast

from mountgauge.lab.rig.network_conditions import NetworkConditions

HOST = "127.0.0.1"
Address = tuple[str, int]
_BACKLOG = 1024  # connections waiting to be accepted
_SILENCE_POLL_INTERVAL_S = 0.05  # between two checks whether a silence is over


class LinkWatcher(Protocol):
    """Observes what the connecting side does on a link, including data that the link drops."""

    def data_sent(self, connection: int, data: bytes) -> None: ...

    def closed(self, connection: int) -> None: ...

    def refused(self) -> None: ...


class _Side(asyncio.Protocol):
    """One side of a proxied connection; `up` is the side that opened it."""

    def __init__(self, proxy: StreamProxy, up: bool) -> None:
        self.proxy, self.up = proxy, up
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self.free_at = 0.0
        self.buffered: list[bytes] = []  # received before the other side was connected
        self.own: Address = (HOST, 0)  # this side's address
        self.ended = False
        self.number = 0  # of the connection on its link
        self.permanently_silent = False  # of a half-open connection: it carries nothing any more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.own = transport.get_extra_info("sockname")[:2]
        if self.up:
            self.proxy.accepted(self)

    def data_received(self, data: bytes) -> None:
        if self.up and self.proxy.watcher is not None:
            self.proxy.watcher.data_sent(self.number, data)
        if self.other is None or self.other.transport is None:
            self.buffered.append(data)
        else:
            self.proxy.forward(self, data)

    def eof_received(self) -> bool:
        return False  # close half-closed connections: no party needs them

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        self.proxy.side_closed(self)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class DialListener:
    """Accepts connections, or lets connection attempts hang without an error."""

    def __init__(self, protocol: Callable[[], asyncio.Protocol], address: Address) -> None:
        self._protocol = protocol
        self._socket = socket.create_server(address, backlog=_BACKLOG)
        self._socket.setblocking(False)
        self._filler: socket.socket | None = None  # fills the accept queue
        self._task: asyncio.Task[None] | None = None
        self._making: set[asyncio.Task[None]] = set()  # transports being created for accepted sockets
        self.address: Address = self._socket.getsockname()[:2]

    def accept(self) -> None:
        """Accept connections from now on."""
        if self._task is None:
            self._socket.listen(_BACKLOG)
            self._task = asyncio.get_running_loop().create_task(self._accept())

    def hang(self) -> None:
        """Let connection attempts hang from now on."""
        if self._task is None:
            return
        self._task.cancel()
        self._task = None
        self._socket.listen(0)  # holds one connection; the system drops the SYNs of further ones
        # Not awaited: where connections already fill the queue, it does not connect either.
        self._filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._filler.setblocking(False)
        self._filler.connect_ex(self.address)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        filler, self._filler = self._filler, None
        own: Address | None = None
        if filler is not None:
            own = filler.getsockname()[:2]
            filler.close()
        while True:
            accepted, peer = await loop.sock_accept(self._socket)
            if peer[:2] == own:
                accepted.close()
                own = None
                continue
            # Not awaited: on a busy loop it would delay all connections behind it.
            task = loop.create_task(self._make(accepted))
            self._making.add(task)
            task.add_done_callback(self._making.discard)

    async def _make(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().connect_accepted_socket(self._protocol, accepted)

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._filler is not None:
            self._filler.close()
        self._socket.close()


class StreamProxy:
    """Proxies TCP from `source` to `target` under changeable network conditions."""

    def __init__(
        self, source: str, name: str, target: Address, seed: str, who: dict[Address, str], host: str = HOST
    ) -> None:
        """`host`: the loopback address at which it listens and from which it connects."""
        self.source, self.name, self.target, self._host = source, name, target, host
        self.conditions = NetworkConditions()
        self.counts: Counter[str] = Counter()
        self.watcher: LinkWatcher | None = None
        self._rng, self._who = random.Random(seed), who
        self._listener: DialListener | None = None
        self._pairs: set[_Side] = set()  # the connecting sides
        self.address: Address = (host, 0)

    async def start(self, port: int = 0) -> Address:
        """Listen; returns the address by which `source` reaches `target`."""
        self._listener = DialListener(lambda: _Side(self, True), (self._host, port))
        self._listener.accept()
        self.address = self._listener.address
        return self.address

    def set(self, conditions: NetworkConditions) -> None:
        """Apply new conditions, to open connections too."""
        self.conditions = conditions
        if conditions.half_open:
            for near in self._pairs:
                near.permanently_silent = True
                if near.other is not None:
                    near.other.permanently_silent = True
        if self._listener is not None:
            if conditions.half_open:
                self._listener.hang()
            else:
                self._listener.accept()

    def carries_from(self, target_side: Address) -> bool:
        """Whether data that `target` sends on its connection from this peer address reaches `source`."""
        near = self._from(target_side)
        return near is not None and not near.permanently_silent and not self.conditions.is_silent(False)

    def number_of(self, target_side: Address) -> int | None:
        """The number of the connection that `target` has from this peer address; None: it is closed."""
        near = self._from(target_side)
        return None if near is None else near.number

    def _from(self, target_side: Address) -> _Side | None:
        found = (near for near in self._pairs if near.other is not None and near.other.own == target_side)
        return next(found, None)

    def accepted(self, near: _Side) -> None:
        """Handle a new connection from `source`."""
        self.counts["connections"] += 1
        near.number = self.counts["connections"]
        if self.conditions.refuse:
            if self.watcher is not None:
                self.watcher.refused()
            near.abort()
            return
        self._pairs.add(near)
        if self.conditions.reset > 0:
            self._reset_later(near)
        asyncio.get_running_loop().create_task(self._connect(near))

    def _reset_later(self, near: _Side) -> None:
        asyncio.get_running_loop().call_later(
            self._rng.expovariate(self.conditions.reset), self.reset_one, near
        )

    def reset_one(self, near: _Side) -> None:
        """Reset both sides of a connection."""
        self.counts["reset"] += 1
        near.abort()
        if near.other is not None:
            near.other.abort()

    async def _connect(self, near: _Side) -> None:
        if self.conditions.is_silent(True):
            await self._reset_after_silence(near)
            return
        far = _Side(self, False)
        own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            own.setblocking(False)
            own.bind((self._host, 0))
            self._who[own.getsockname()[:2]] = self.source  # recorded before the stand-in accepts
            await asyncio.get_running_loop().sock_connect(own, self.target)
            await asyncio.get_running_loop().create_connection(lambda: far, sock=own)
        except OSError:
            own.close()
            near.abort()
            return
        near.other, far.other = far, near
        far.permanently_silent = near.permanently_silent
        if near.ended:
            far.abort()
        for data in near.buffered:
            self.forward(near, data)
        near.buffered.clear()

    async def _reset_after_silence(self, near: _Side) -> None:
        """Reset a connection that was opened during a silence once the silence is over: data that was written
        to it meanwhile must not arrive late.
        """
        while self.conditions.is_silent(True) and not near.ended:
            await asyncio.sleep(_SILENCE_POLL_INTERVAL_S)
        self.counts["silent_bytes"] += sum(map(len, near.buffered))
        near.buffered.clear()
        near.abort()

    def forward(self, half: _Side, data: bytes) -> None:
        """Forward data to the other side under the current conditions."""
        if half.permanently_silent or self.conditions.is_silent(half.up):
            self.counts["silent_bytes"] += len(data)
            return
        loop = asyncio.get_running_loop()
        arrives, half.free_at = self.conditions.stream(len(data), loop.time(), half.free_at, self._rng)
        assert half.other is not None
        if arrives <= loop.time():
            half.other.write(data)
        else:
            loop.call_at(arrives, half.other.write, data)

    def side_closed(self, half: _Side) -> None:
        """Forward a close to the other side, unless that direction is silent."""
        if half.up:
            self._pairs.discard(half)
            if self.watcher is not None:
                self.watcher.closed(half.number)
        other, silent = half.other, half.permanently_silent or self.conditions.is_silent(half.up)
        if other is not None and not other.ended and not silent:
            late = max(0.0, half.free_at - asyncio.get_running_loop().time())
            asyncio.get_running_loop().call_later(late, other.abort)

    def reset_all(self) -> None:
        """Reset all connections."""
        for near in list(self._pairs):
            self.reset_one(near)

    @property
    def open(self) -> int:
        """The number of open connections."""
        return len(self._pairs)

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        self.reset_all()


class _PairEndpoint(asyncio.DatagramProtocol):
    """The proxy's socket by which member `source` reaches member `to`."""

    def __init__(self, proxy: DatagramProxy, source: int, to: int) -> None:
        self.proxy, self.source, self.to = proxy, source, to
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.proxy.forward(self.source, self.to, data)


def _same(endpoint: _PairEndpoint) -> _PairEndpoint:
    return endpoint


class DatagramProxy:
    """Forwards UDP between each pair of members. Datagrams reach the other member from the address by which
    it knows the sender, so the proxy works like a NAT.
    """

    def __init__(
        self,
        members: Sequence[Address],
        loss: float = 0.0,
        delay: float = 0.0,
        seed: int | str = 1,
        jitter: float = 0.0,
        doubled: float = 0.0,
    ) -> None:
        """Times are in seconds, `loss` and `doubled` are shares of the datagrams."""
        self.members = list(members)
        self.conditions = NetworkConditions(drop=loss, delay_s=delay, jitter_s=jitter, double=doubled)
        # The conditions of single pairs and directions, where they differ.
        self.between: dict[tuple[int, int], NetworkConditions] = {}
        self.split: set[int] = set()  # members that are cut off from the others
        self.groups: list[set[int]] = []  # only members of one group reach each other
        self.passed = self.lost = self.bytes = 0
        self._rng = random.Random(seed)
        self._endpoints: dict[tuple[int, int], _PairEndpoint] = {}

    async def start(self) -> dict[tuple[int, int], Address]:
        """By pair of members: the address by which the first reaches the second."""
        loop = asyncio.get_running_loop()
        found = {}
        for source in range(len(self.members)):
            for to in range(len(self.members)):
                if source != to:
                    endpoint = _PairEndpoint(self, source, to)
                    transport, _ = await loop.create_datagram_endpoint(
                        partial(_same, endpoint), local_addr=(HOST, 0)
                    )
                    self._endpoints[source, to] = endpoint
                    found[source, to] = transport.get_extra_info("sockname")[:2]
        return found

    def separated(self, source: int, to: int) -> bool:
        """Whether a partition separates the two members."""
        if (source in self.split) != (to in self.split):
            return True
        return bool(self.groups) and not any(source in group and to in group for group in self.groups)

    def forward(self, source: int, to: int, data: bytes) -> None:
        """Deliver a datagram under the conditions between the two members."""
        self.bytes += len(data)
        conditions = self.between.get((source, to), self.conditions)
        late = [] if self.separated(source, to) else conditions.datagram(True, self._rng)
        self.lost += not late
        for after in late:
            self.passed += 1
            asyncio.get_running_loop().call_later(after, self._send, source, to, data)

    def _send(self, source: int, to: int, data: bytes) -> None:
        # Sent from the address by which the receiver knows the sender.
        endpoint = self._endpoints[to, source]
        if endpoint.transport is not None and not endpoint.transport.is_closing():
            endpoint.transport.sendto(data, self.members[to])

    def close(self) -> None:
        for endpoint in self._endpoints.values():
            if endpoint.transport is not None:
                endpoint.transport.close()


class Proxies:
    """All TCP proxies of a rig, by source and target.

    The proxies of one party use a loopback address of their own: each address has some 28,000 ephemeral
    ports, and closed connections keep theirs for a minute.
    """

    def __init__(self, seed: int, hosts: Mapping[str, str] | None = None) -> None:
        """`hosts`: by party, the address for its proxies; the other parties share one."""
        self._hosts = hosts or {}
        self.all: dict[tuple[str, str], StreamProxy] = {}
        self.who: dict[Address, str] = {}  # by peer address at a stand-in: the member behind it
        self._seed = seed

    async def add(self, source: str, name: str, target: Address, port: int = 0) -> Address:
        """Start a proxy from `source` to the party `name`; returns its address."""
        host = self._hosts.get(source) or self._hosts.get(name) or HOST
        proxy = StreamProxy(source, name, target, f"{self._seed}/{source}/{name}", self.who, host)
        self.all[source, name] = proxy
        return await proxy.start(port)

    def between(self, first: Callable[[str], bool], second: Callable[[str], bool]) -> list[StreamProxy]:
        """The proxies whose source and target match."""
        return [proxy for (one, other), proxy in self.all.items() if first(one) and second(other)]

    def close(self) -> None:
        for proxy in self.all.values():
            with contextlib.suppress(OSError):
                proxy.close()
