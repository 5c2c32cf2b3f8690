"""The fleet's socket: datagrams in and out, a bounded number of them a moment, and never waited for."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from mountgauge.core.config import Address
from mountgauge.tenants.gossip import OutgoingDatagrams, UdpAddress
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES

_BUFFER = 1 << 20  # bytes that the kernel may hold
_AT_ONCE = 8  # datagrams in one turn of the loop
_A_MOMENT = 0.05  # s
_MOST = 200  # datagrams in one moment; what comes above waits in the kernel, which drops what is too much


class Udp:
    """OSError where the address cannot be bound."""

    def __init__(self, address: Address, receive: Callable[[bytes, UdpAddress], OutgoingDatagrams]) -> None:
        self.counts: Counter[str] = Counter()
        self._receive = receive
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER)
            self._socket.bind((address.host, address.port))
        except OSError as error:
            self._socket.close()
            raise OSError(f"fleet.listen: {address.host}:{address.port}: {error.strerror}") from None
        self.port = int(self._socket.getsockname()[1])
        self._loop = asyncio.get_running_loop()
        self._left = _MOST
        self._again: asyncio.TimerHandle | None = None
        self._loop.add_reader(self._socket, self._ready)

    def _ready(self) -> None:
        for _ in range(_AT_ONCE):
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # an ICMP answer to something sent earlier
                self.counts[f"recv-{error.errno}"] += 1
                continue
            self._left -= 1
            self.send(self._receive(data, source[:2]))
        if self._again is None:
            self._again = self._loop.call_later(_A_MOMENT, self._renew)
        if self._left <= 0:  # a flood must not take the loop from delivery
            self.counts["paused"] += 1
            self._loop.remove_reader(self._socket)

    def _renew(self) -> None:
        self._again = None
        paused, self._left = self._left <= 0, _MOST
        if paused:
            self._loop.add_reader(self._socket, self._ready)

    def send(self, out: OutgoingDatagrams) -> None:
        for data, place in out:
            try:
                self._socket.sendto(data, place)
            except BlockingIOError:
                self.counts["send-full"] += 1
            except OSError as error:
                self.counts[f"send-{error.errno}"] += 1

    def close(self) -> None:
        if self._again is not None:
            self._again.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()
