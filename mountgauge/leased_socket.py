"""Sockets that ask before each write whether what they carry may still leave.

The event loop keeps what a socket did not take and writes it whenever the socket takes bytes again. A call's
permission may have ended by then, so the socket itself asks its lease, up to the call's last byte.
"""

from __future__ import annotations

import errno
import socket
from typing import Any, Protocol


class LeaseExpiredError(ConnectionAbortedError):
    """The permission to write this has ended: the connection ends with it, and nothing more leaves."""

    def __init__(self, why: str) -> None:
        super().__init__(errno.ECONNABORTED, why)


class SendLease(Protocol):
    """The permission of one call."""

    def require(self, begun: bool) -> None:
        """LeaseExpiredError where nothing more may be written; `begun`: its first byte has left."""

    def bytes_sent(self, begun: bool, complete: bool) -> None:
        """Bytes have left: the first one with `begun`, the last one with `complete`."""


class LeaseSlot:
    """The lease of the bytes that a connection writes next; one that is empty lets all pass."""

    def __init__(self) -> None:
        self._lease: SendLease | None = None
        self._size = self._unsent = 0

    def arm(self, lease: SendLease | None, size: int) -> None:
        """The next `size` bytes are under this lease."""
        self._lease, self._size, self._unsent = lease, size, size

    @property
    def pending(self) -> bool:
        """Whether bytes under a lease are still to leave."""
        return self._lease is not None

    def check(self) -> None:
        """LeaseExpiredError where what comes next may not leave."""
        if self._lease is not None:
            self._lease.require(self._unsent < self._size)

    def sent(self, count: int) -> None:
        """So many bytes have left."""
        if self._lease is None or count <= 0:
            return
        lease, began = self._lease, self._unsent == self._size
        self._unsent -= min(count, self._unsent)
        if not self._unsent:
            self._lease = None
        lease.bytes_sent(began, not self._unsent)


class LeasedSocket(socket.socket):
    """A TCP socket whose writes are under the lease in its slot."""

    def __init__(self, slot: LeaseSlot, family: int = socket.AF_INET, fileno: int | None = None) -> None:
        super().__init__(family, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno)
        self.slot = slot
        self.setblocking(False)

    def send(self, data: Any, flags: int = 0) -> int:
        """As the system's, under the lease."""
        self.slot.check()
        count = super().send(data, flags)
        self.slot.sent(count)
        return count

    def sendmsg(self, buffers: Any, *options: Any) -> int:
        """As the system's, under the lease."""
        self.slot.check()
        count = super().sendmsg(buffers, *options)
        self.slot.sent(count)
        return count
