"""Sockets that check before each write whether the call whose bytes they carry may still be sent.

The event loop buffers the bytes that a socket did not accept and writes them once the socket is writable
again. The permission to send the call may have ended by then, so the socket itself checks the call's lease
before each write, up to the last byte of the call.

A process may be stopped between a write and the record of it. When the bytes left is then known to the kernel
alone (`since_last_sent_s`).
"""

from __future__ import annotations

import errno
import socket
import struct
from collections.abc import Callable
from typing import Any, Protocol

# The parts of Linux's `struct tcp_info` that are read here; both are 32-bit unsigned integers.
_LAST_DATA_SENT_OFFSET = 44  # milliseconds since data was last sent
_NOTSENT_BYTES_OFFSET = 144  # written by the process, and not sent yet
_TCP_INFO_BYTES = 148
_U32 = struct.Struct("=I")


class LeaseExpiredError(ConnectionAbortedError):
    """The lease has ended: nothing more of the call may be written, and the connection is closed."""

    def __init__(self, why: str) -> None:
        super().__init__(errno.ECONNABORTED, why)


class SendLease(Protocol):
    """The permission to send one call."""

    def require(self, begun: bool) -> None:
        """Raise LeaseExpiredError if no more may be written; `begun`: the first byte has been sent."""

    def bytes_sent(self, begun: bool, complete: bool, since_sent_s: Callable[[], float]) -> None:
        """Report that bytes were sent; `begun`: the first one among them, `complete`: the last one.
        `since_sent_s`: asks the kernel how long ago.
        """


class LeaseSlot:
    """Holds the lease of the bytes that a connection writes next; without a lease all writes may pass."""

    def __init__(self) -> None:
        self._lease: SendLease | None = None
        self._size = self._unsent = 0

    def arm(self, lease: SendLease | None, size: int) -> None:
        """Put the next `size` bytes under this lease."""
        self._lease, self._size, self._unsent = lease, size, size

    @property
    def pending(self) -> bool:
        """Whether bytes under a lease are still unsent."""
        return self._lease is not None

    def check(self) -> None:
        """Raise LeaseExpiredError if the next bytes may not be sent."""
        if self._lease is not None:
            self._lease.require(self._unsent < self._size)

    def sent(self, count: int, since_sent_s: Callable[[], float]) -> None:
        """Account for `count` bytes that were sent; `since_sent_s`: asks the kernel how long ago."""
        if self._lease is None or count <= 0:
            return
        lease, began = self._lease, self._unsent == self._size
        self._unsent -= min(count, self._unsent)
        if not self._unsent:
            self._lease = None
        lease.bytes_sent(began, not self._unsent, since_sent_s)


class LeasedSocket(socket.socket):
    """A non-blocking TCP socket that checks the lease in its slot before each write."""

    def __init__(self, slot: LeaseSlot, family: int = socket.AF_INET, fileno: int | None = None) -> None:
        super().__init__(family, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno)
        self.slot = slot
        self.setblocking(False)

    def send(self, data: Any, flags: int = 0) -> int:
        """Like `socket.send`, under the lease."""
        self.slot.check()
        count = super().send(data, flags)
        self.slot.sent(count, self.since_last_sent_s)
        return count

    def sendmsg(self, buffers: Any, *options: Any) -> int:
        """Like `socket.sendmsg`, under the lease."""
        self.slot.check()
        count = super().sendmsg(buffers, *options)
        self.slot.sent(count, self.since_last_sent_s)
        return count

    def since_last_sent_s(self) -> float:
        """Return how long ago the kernel last sent data of this socket; 0 if it doesn't say, or if it still
        holds data back.
        """
        try:
            info = self.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        except OSError:
            return 0.0
        if len(info) < _TCP_INFO_BYTES or _read_u32(info, _NOTSENT_BYTES_OFFSET):
            return 0.0
        return _read_u32(info, _LAST_DATA_SENT_OFFSET) / 1000


def _read_u32(info: bytes, offset: int) -> int:
    (value,) = _U32.unpack_from(info, offset)
    return int(value)
