"""Injects the failures of system calls that Linux documents; all such faults are injected here.

`FaultyCalls` replaces a registry's system calls (for clients' connections). `FaultyLoop` is an event loop
with failing sockets (for endpoints, discovery, notices and the console). Both read the pending failures from
a `Faults`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from mountgauge.connections.system_calls import SystemCalls
from mountgauge.leased_socket import LeasedSocket, LeaseSlot

_LOOPBACK = "127.0.0.1"


class Faults:
    """The pending failures by call: "accept", "socket", "connect", "connected" (late), "read", "write"."""

    def __init__(self) -> None:
        self._next: dict[str, deque[int]] = {}
        self._always: dict[str, int] = {}
        self.count = Counter[str]()  # failures, by call
        self.moved = Counter[str]()  # bytes, by call
        self.max_bytes: dict[str, int] = {}  # bytes that one "read" or "write" moves
        # Bytes that "read" or "write" still moves before it fails.
        self.bytes_before_failure: dict[str, int] = {}
        self.on_failure: Callable[[], None] = lambda: None

    def fail(self, call: str, *errors: int) -> None:
        """Let the next calls fail with these errors, one after another."""
        self._next.setdefault(call, deque()).extend(errors)

    def fail_always(self, call: str, error: int | None) -> None:
        """Let all further calls fail with this error; None: end that."""
        if error is None:
            self._always.pop(call, None)
        else:
            self._always[call] = error

    def raise_pending(self, call: str) -> None:
        """Raise the pending error of this call, if any."""
        if self.bytes_before_failure.get(call, 0) > 0:
            return
        waiting = self._next.get(call)
        error = waiting.popleft() if waiting else self._always.get(call)
        if error is not None:
            self.count[call] += 1
            self.on_failure()
            raise OSError(error, os.strerror(error))

    def size(self, call: str, size: int) -> int:
        """How many of `size` bytes the call moves."""
        size = min(size, self.max_bytes.get(call, size))
        if self.bytes_before_failure.get(call, 0) > 0:
            size = min(size, self.bytes_before_failure[call])
            self.bytes_before_failure[call] -= size
        return size


class FaultyCalls(SystemCalls):
    """The system calls of a registry, with failures."""

    def __init__(self, faults: Faults) -> None:
        self.faults = faults

    def accept(self, listening: socket.socket) -> socket.socket:
        self.faults.raise_pending("accept")
        return super().accept(listening)

    def read(self, fd: int, buffers: list[Any]) -> int:  # type: ignore[override]
        self.faults.raise_pending("read")
        view = memoryview(buffers[0])
        count = os.readv(fd, [view[: self.faults.size("read", len(view))]])
        self.faults.moved["read"] += count
        return count

    def write(self, fd: int, data: Any) -> int:
        self.faults.raise_pending("write")
        view = memoryview(data)
        try:
            return os.write(fd, view[: self.faults.size("write", len(view))])
        finally:
            view.release()


class FaultySocket(LeasedSocket):
    """A TCP socket with failing calls."""

    def __init__(self, faults: Faults, fileno: int | None = None, slot: LeaseSlot | None = None) -> None:
        super().__init__(slot or LeaseSlot(), socket.AF_INET, fileno)
        self.faults = faults

    def accept(self) -> tuple[socket.socket, Any]:
        self.faults.raise_pending("accept")
        sock, address = super().accept()
        return FaultySocket(self.faults, sock.detach()), address

    def connect(self, address: Any) -> None:
        try:
            self.faults.raise_pending("connect")
        except InterruptedError:  # the connect continues in the background
            with contextlib.suppress(BlockingIOError):
                super().connect(address)
            raise
        super().connect(address)

    def getsockopt(self, level: int, name: int, *size: int) -> Any:
        if (level, name) == (socket.SOL_SOCKET, socket.SO_ERROR):
            try:
                self.faults.raise_pending("connected")
            except OSError as error:
                return error.errno
        return super().getsockopt(level, name, *size)

    def send(self, data: Any, flags: int = 0) -> int:
        self.faults.raise_pending("write")
        with memoryview(data) as view, view[: self.faults.size("write", len(view))] as chunk:
            count = super().send(chunk, flags)
        self.faults.moved["write"] += count
        return count

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        self.faults.raise_pending("read")
        view = memoryview(buffer)
        return super().recv_into(view[: self.faults.size("read", size or len(view))], 0, flags)


class FaultyLoop(asyncio.SelectorEventLoop):
    """An event loop with failing sockets; a server's connections come from its own listening socket."""

    def __init__(self, faults: Faults) -> None:
        super().__init__()
        self.faults = faults

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        self.faults.raise_pending("socket")
        faulty = FaultySocket(self.faults, sock.fileno())
        try:
            await super().sock_connect(faulty, address)
        finally:
            faulty.detach()

    async def create_connection(self, protocol_factory: Any, *address: Any, **options: Any) -> Any:
        sock = options.get("sock")
        if isinstance(sock, LeasedSocket):
            options["sock"] = FaultySocket(self.faults, sock.detach(), sock.slot)
        return await super().create_connection(protocol_factory, *address, **options)

    async def create_faulty_server(self, make: Callable[[], asyncio.BaseProtocol]) -> asyncio.Server:
        """A server whose listening and accepted sockets fail."""
        sock = FaultySocket(self.faults)
        sock.bind((_LOOPBACK, 0))
        return await self.create_server(make, sock=sock)
