"""Fault-injecting proxies on loopback: one between two parties for TCP, one between all members for UDP.

Each pair of a sender and another party has its own address, so a stand-in knows who speaks to it
(`Proxies.who`) and a fault can strike one pair alone. What a proxy does to the traffic is decided by
`network_conditions`; changing it takes effect at once, also for open connections.
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
_BACKLOG = 1024  # connections that wait to be accepted
_SILENCE_POLL_INTERVAL_S = 0.05  # between two looks whether a silence is over


class LinkWatcher(Protocol):
    """Hears what the side that opens connections does on a link, also what the link swallows."""

    def data_sent(self, connection: int, data: bytes) -> None: ...

    def closed(self, connection: int) -> None: ...

    def refused(self) -> None: ...


class _Half(asyncio.Protocol):
    """One side of a proxied connection; `up` is the side that opened it."""

    def __init__(self, proxy: StreamProxy, up: bool) -> None:
        self.proxy, self.up = proxy, up
        self.other: _Half | None = None
        self.transport: asyncio.Transport | None = None
        self.free_at = 0.0
        self.waiting: list[bytes] = []  # what came before the other side stood
        self.own: Address = (HOST, 0)  # this side's address
        self.ended = False
        self.number = 0  # of the connection on its link
        self.permanently_silent = False  # a half-open connection: it never carries anything again

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.own = transport.get_extra_info("sockname")[:2]
        if self.up:
            self.proxy.accepted(self)

    def data_received(self, data: bytes) -> None:
        if self.up and self.proxy.watcher is not None:
            self.proxy.watcher.data_sent(self.number, data)
        if self.other is None or self.other.transport is None:
            self.waiting.append(data)
        else:
            self.proxy.forward(self, data)

    def eof_received(self) -> bool:
        return False  # a half-closed connection is closed: no party here needs more

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        self.proxy.lost(self)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class DialListener:
    """Accepts connections, or lets them hang: a dial then never comes up, and nobody says why."""

    def __init__(self, protocol: Callable[[], asyncio.Protocol], place: Address) -> None:
        self._protocol = protocol
        self._socket = socket.create_server(place, backlog=_BACKLOG)
        self._socket.setblocking(False)
        self._filler: socket.socket | None = None  # fills the queue of connections that wait
        self._task: asyncio.Task[None] | None = None
        self._making: set[asyncio.Task[None]] = set()  # transports of what has been accepted
        self.address: Address = self._socket.getsockname()[:2]

    def accept(self) -> None:
        if self._task is None:
            self._socket.listen(_BACKLOG)
            self._task = asyncio.get_running_loop().create_task(self._accept())

    def hang(self) -> None:
        if self._task is None:
            return
        self._task.cancel()
        self._task = None
        self._socket.listen(0)  # one connection fits, the system drops further ones' first packets
        # Not waited for: where connections wait already, it does not come up either.
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
            # Not waited for: its turns of a busy loop would be waited for by all that come behind it.
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
    """The address by which `source` reaches `target`, and what happens in between."""

    def __init__(
        self, source: str, name: str, target: Address, seed: str, who: dict[Address, str], host: str = HOST
    ) -> None:
        """`host`: the loopback address that it listens at and dials from."""
        self.source, self.name, self.target, self._host = source, name, target, host
        self.conditions = NetworkConditions()
        self.counts: Counter[str] = Counter()
        self.watcher: LinkWatcher | None = None
        self._rng, self._who = random.Random(seed), who
        self._listener: DialListener | None = None
        self._pairs: set[_Half] = set()  # the sides that opened them
        self.address: Address = (host, 0)

    async def start(self, port: int = 0) -> Address:
        self._listener = DialListener(lambda: _Half(self, True), (self._host, port))
        self._listener.accept()
        self.address = self._listener.address
        return self.address

    def set(self, conditions: NetworkConditions) -> None:
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
        """Whether what `target` says on the connection from this address of its own reaches `source`."""
        near = self._from(target_side)
        return near is not None and not near.permanently_silent and not self.conditions.is_silent(False)

    def number_of(self, target_side: Address) -> int | None:
        """The number of the connection that `target` has from this address; None: it has ended."""
        near = self._from(target_side)
        return None if near is None else near.number

    def _from(self, target_side: Address) -> _Half | None:
        found = (near for near in self._pairs if near.other is not None and near.other.own == target_side)
        return next(found, None)

    def accepted(self, near: _Half) -> None:
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

    def _reset_later(self, near: _Half) -> None:
        asyncio.get_running_loop().call_later(
            self._rng.expovariate(self.conditions.reset), self.reset_one, near
        )

    def reset_one(self, near: _Half) -> None:
        self.counts["reset"] += 1
        near.abort()
        if near.other is not None:
            near.other.abort()

    async def _connect(self, near: _Half) -> None:
        if self.conditions.is_silent(True):
            await self._reset_after_silence(near)
            return
        far = _Half(self, False)
        own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            own.setblocking(False)
            own.bind((self._host, 0))
            self._who[own.getsockname()[:2]] = self.source  # known before the stand-in accepts
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
        for data in near.waiting:
            self.forward(near, data)
        near.waiting.clear()

    async def _reset_after_silence(self, near: _Half) -> None:
        """A connection that was begun in a silence never comes up, or is reset once the way is back: what was
        written to it meanwhile must not arrive late.
        """
        while self.conditions.is_silent(True) and not near.ended:
            await asyncio.sleep(_SILENCE_POLL_INTERVAL_S)
        self.counts["silent_bytes"] += sum(map(len, near.waiting))
        near.waiting.clear()
        near.abort()

    def forward(self, half: _Half, data: bytes) -> None:
        """On to the other side, as the conditions has it."""
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

    def lost(self, half: _Half) -> None:
        """A close goes on to the other side, unless that direction is silent."""
        if half.up:
            self._pairs.discard(half)
            if self.watcher is not None:
                self.watcher.closed(half.number)
        other, silent = half.other, half.permanently_silent or self.conditions.is_silent(half.up)
        if other is not None and not other.ended and not silent:
            late = max(0.0, half.free_at - asyncio.get_running_loop().time())
            asyncio.get_running_loop().call_later(late, other.abort)

    def reset_all(self) -> None:
        for near in list(self._pairs):
            self.reset_one(near)

    @property
    def open(self) -> int:
        return len(self._pairs)

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        self.reset_all()


class _PairEndpoint(asyncio.DatagramProtocol):
    """The proxy's address of member `to`, as member `source` knows it."""

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
        """Times in seconds, `loss` and `doubled` as shares of the datagrams."""
        self.members = list(members)
        self.conditions = NetworkConditions(drop=loss, delay_s=delay, jitter_s=jitter, double=doubled)
        self.between: dict[
            tuple[int, int], NetworkConditions
        ] = {}  # where it differs for one pair and direction
        self.split: set[int] = set()  # members that are cut off from the rest
        self.groups: list[set[int]] = []  # more than two parts: only those of one group hear each other
        self.passed = self.lost = self.bytes = 0
        self._rng = random.Random(seed)
        self._endpoints: dict[tuple[int, int], _PairEndpoint] = {}

    async def start(self) -> dict[tuple[int, int], Address]:
        """The address by which the first of each pair knows the second."""
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
        if (source in self.split) != (to in self.split):
            return True
        return bool(self.groups) and not any(source in group and to in group for group in self.groups)

    def forward(self, source: int, to: int, data: bytes) -> None:
        self.bytes += len(data)
        conditions = self.between.get((source, to), self.conditions)
        late = [] if self.separated(source, to) else conditions.datagram(True, self._rng)
        self.lost += not late
        for after in late:
            self.passed += 1
            asyncio.get_running_loop().call_later(after, self._send, source, to, data)

    def _send(self, source: int, to: int, data: bytes) -> None:
        # From the address by which the receiver knows the sender.
        endpoint = self._endpoints[to, source]
        if endpoint.transport is not None and not endpoint.transport.is_closing():
            endpoint.transport.sendto(data, self.members[to])

    def close(self) -> None:
        for endpoint in self._endpoints.values():
            if endpoint.transport is not None:
                endpoint.transport.close()


class Proxies:
    """All TCP proxies of a rig, by whose they are and to whom.

    Those of one party listen at and dial from a loopback address of their own: each address has some 28,000
    ports that the system hands out, and connections that have ended keep theirs for a minute.
    """

    def __init__(self, seed: int, hosts: Mapping[str, str] | None = None) -> None:
        """`hosts`: the address for the proxies of each party, by its name; others share one."""
        self._hosts = hosts or {}
        self.all: dict[tuple[str, str], StreamProxy] = {}
        self.who: dict[Address, str] = {}  # which member a connection at a stand-in is from
        self._seed = seed

    async def add(self, source: str, name: str, target: Address, port: int = 0) -> Address:
        host = self._hosts.get(source) or self._hosts.get(name) or HOST
        proxy = StreamProxy(source, name, target, f"{self._seed}/{source}/{name}", self.who, host)
        self.all[source, name] = proxy
        return await proxy.start(port)

    def between(self, first: Callable[[str], bool], second: Callable[[str], bool]) -> list[StreamProxy]:
        return [proxy for (one, other), proxy in self.all.items() if first(one) and second(other)]

    def close(self) -> None:
        for proxy in self.all.values():
            with contextlib.suppress(OSError):
                proxy.close()
