"""Sockets that check before each write whether the call whose bytes they carry may still be sent.

The event loop buffers the bytes that a socket did not accept and writes them once the socket is writable
again. The permission to send the call may have ended by then, so the socket itself checks the call's lease
before each write, up to the last byte of the call.
"""

from __future__ import annotations

import errno
import socket
from typing import Any, Protocol


class LeaseExpiredError(ConnectionAbortedError):
    """The lease has ended: nothing more of the call may be written, and the connection is closed."""

    def __init__(self, why: str) -> None:
        super().__init__(errno.ECONNABORTED, why)


class SendLease(Protocol):
    """The permission to send one call."""

    def require(self, begun: bool) -> None:
        """Raise LeaseExpiredError if no more may be written; `begun`: the first byte has been sent."""

    def bytes_sent(self, begun: bool, complete: bool) -> None:
        """Report that bytes were sent; `begun`: the first one among them, `complete`: the last one."""


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

    def sent(self, count: int) -> None:
        """Account for `count` bytes that were sent."""
        if self._lease is None or count <= 0:
            return
        lease, began = self._lease, self._unsent == self._size
        self._unsent -= min(count, self._unsent)
        if not self._unsent:
            self._lease = None
        lease.bytes_sent(began, not self._unsent)


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
        self.slot.sent(count)
        return count

    def sendmsg(self, buffers: Any, *options: Any) -> int:
        """Like `socket.sendmsg`, under the lease."""
        self.slot.check()
        count = super().sendmsg(buffers, *options)
        self.slot.sent(count)
        return count
