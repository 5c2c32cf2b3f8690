"""System calls that fail as Linux documents: the one place where they are injected.

`FaultyCalls` stands in for a registry's system calls (clients' connections); `FaultyLoop` is an event loop
whose sockets fail (endpoints, discovery, notices, console). Both take what fails next from one `Faults`.
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
    """What fails next, by call: "accept", "socket", "connect", "connected" (late), "read" and "write"."""

    def __init__(self) -> None:
        self._next: dict[str, deque[int]] = {}
        self._always: dict[str, int] = {}
        self.count = Counter[str]()  # failures, by call
        self.moved = Counter[str]()  # bytes, by call
        self.max_bytes: dict[str, int] = {}  # bytes that one "read" or "write" moves
        self.bytes_before_failure: dict[
            str, int
        ] = {}  # bytes that "read" or "write" still moves before it fails
        self.on_failure: Callable[[], None] = lambda: None

    def fail(self, call: str, *errors: int) -> None:
        """Its next calls fail with these errors, one after another."""
        self._next.setdefault(call, deque()).extend(errors)

    def fail_always(self, call: str, error: int | None) -> None:
        """It fails from now on; None: no longer."""
        if error is None:
            self._always.pop(call, None)
        else:
            self._always[call] = error

    def raise_pending(self, call: str) -> None:
        """Raise what is due for this call."""
        if self.bytes_before_failure.get(call, 0) > 0:
            return
        waiting = self._next.get(call)
        error = waiting.popleft() if waiting else self._always.get(call)
        if error is not None:
            self.count[call] += 1
            self.on_failure()
            raise OSError(error, os.strerror(error))

    def size(self, call: str, size: int) -> int:
        """How many of so many bytes the call moves."""
        size = min(size, self.max_bytes.get(call, size))
        if self.bytes_before_failure.get(call, 0) > 0:
            size = min(size, self.bytes_before_failure[call])
            self.bytes_before_failure[call] -= size
        return size


class FaultyCalls(SystemCalls):
    """A registry's system calls."""

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
    """A TCP socket whose calls fail."""

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
        except InterruptedError:  # the system goes on connecting
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
        with memoryview(data) as whole, whole[: self.faults.size("write", len(whole))] as part:
            return super().send(part, flags)

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        self.faults.raise_pending("read")
        view = memoryview(buffer)
        return super().recv_into(view[: self.faults.size("read", size or len(view))], 0, flags)


class FaultyLoop(asyncio.SelectorEventLoop):
    """An event loop whose sockets fail; those of a test's own stand-ins come from the stand-ins' sockets."""

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

    async def create_connection(self, protocol_factory: Any, *place: Any, **options: Any) -> Any:
        sock = options.get("sock")
        if isinstance(sock, LeasedSocket):
            options["sock"] = FaultySocket(self.faults, sock.detach(), sock.slot)
        return await super().create_connection(protocol_factory, *place, **options)

    async def create_faulty_server(self, make: Callable[[], asyncio.BaseProtocol]) -> asyncio.Server:
        """A server whose listening socket, and each that it accepts, fails."""
        sock = FaultySocket(self.faults)
        sock.bind((_LOOPBACK, 0))
        return await self.create_server(make, sock=sock)
