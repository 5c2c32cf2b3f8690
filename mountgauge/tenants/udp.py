"""The fleet's UDP socket. It bounds the datagrams handled per period and never blocks."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from mountgauge.core.config import Address
from mountgauge.tenants.gossip import OutgoingDatagrams, UdpAddress
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES

_RECEIVE_BUFFER_BYTES = 1 << 20  # in the kernel
_DATAGRAMS_PER_TURN = 8  # of the event loop
_PERIOD_S = 0.05
_DATAGRAMS_PER_PERIOD = 200  # more of them wait in the kernel, which drops what exceeds its buffer


class UdpTransport:
    """A bound, non-blocking socket in the event loop. OSError if the address cannot be bound."""

    def __init__(self, address: Address, receive: Callable[[bytes, UdpAddress], OutgoingDatagrams]) -> None:
        self.counts: Counter[str] = Counter()
        self._receive = receive
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
            self._socket.bind((address.host, address.port))
        except OSError as error:
            self._socket.close()
            raise OSError(f"fleet.listen: {address.host}:{address.port}: {error.strerror}") from None
        self.port = int(self._socket.getsockname()[1])
        self._loop = asyncio.get_running_loop()
        self._datagrams_left = _DATAGRAMS_PER_PERIOD
        self._period_timer: asyncio.TimerHandle | None = None
        self._loop.add_reader(self._socket, self._ready)

    def _ready(self) -> None:
        for _ in range(_DATAGRAMS_PER_TURN):
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # an ICMP error for a datagram sent before
                self.counts[f"recv-{error.errno}"] += 1
                continue
            self._datagrams_left -= 1
            self.send(self._receive(data, source[:2]))
        if self._period_timer is None:
            self._period_timer = self._loop.call_later(_PERIOD_S, self._start_period)
        if self._datagrams_left <= 0:  # a flood of datagrams must not keep the loop from delivering messages
            self.counts["paused"] += 1
            self._loop.remove_reader(self._socket)

    def _start_period(self) -> None:
        self._period_timer = None
        paused, self._datagrams_left = self._datagrams_left <= 0, _DATAGRAMS_PER_PERIOD
        if paused:
            self._loop.add_reader(self._socket, self._ready)

    def send(self, out: OutgoingDatagrams) -> None:
        """Send each datagram, or count the reason why it could not be sent."""
        for data, address in out:
            try:
                self._socket.sendto(data, address)
            except BlockingIOError:
                self.counts["send-full"] += 1
            except OSError as error:
                self.counts[f"send-{error.errno}"] += 1

    def close(self) -> None:
        if self._period_timer is not None:
            self._period_timer.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()
