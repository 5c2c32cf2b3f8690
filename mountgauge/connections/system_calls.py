"""The system calls of clients' connections, in one place: tests let each fail as Linux documents."""

from __future__ import annotations

import os
import socket


class SystemCalls:
    """Raises OSError as the system does; BlockingIOError where there is nothing to do yet."""

    read = staticmethod(os.readv)
    write = staticmethod(os.write)

    def peek(self, fd: int) -> bool:
        """Whether bytes wait to be read, which is left undone; False at the peer's end."""
        of = socket.socket(fileno=fd)
        try:
            return bool(of.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        finally:
            of.detach()

    def accept(self, listening: socket.socket) -> socket.socket:
        return listening.accept()[0]
