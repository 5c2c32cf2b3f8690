"""The system calls of clients' connections, in one place, so that tests can make each of them fail."""

from __future__ import annotations

import os
import socket


class SystemCalls:
    """Raises OSError as the system does; BlockingIOError if the call would block."""

    read = staticmethod(os.readv)
    write = staticmethod(os.write)

    def peek(self, fd: int) -> bool:
        """Whether unread bytes have arrived, without reading them; False at end of file."""
        sock = socket.socket(fileno=fd)
        try:
            return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        finally:
            sock.detach()

    def accept(self, listening: socket.socket) -> socket.socket:
        """Accept one connection."""
        return listening.accept()[0]
