"""The system calls of clients' connections, in one place: tests let each fail as Linux documents."""

from __future__ import annotations

import os
import socket


class SystemCalls:
    """Raises OSError as the system does; BlockingIOError where there is nothing to do yet."""

    read = staticmethod(os.readv)
    write = staticmethod(os.write)

    def accept(self, listening: socket.socket) -> socket.socket:
        return listening.accept()[0]
