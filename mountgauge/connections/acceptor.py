"""Accepts connections, a few per turn of the loop, and keeps doing so when descriptors run out."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import socket
from collections import Counter
from collections.abc import Callable

from mountgauge.connections.registry import Registry
from mountgauge.connections.settings import Times
from mountgauge.log import kv

log = logging.getLogger("mountgauge.holding")

BACKLOG = 1024  # connections that the kernel queues until they are accepted
ACCEPTS_PER_TURN = 8  # few, so that each is counted before many more are accepted
ACCEPT_PAUSE_S = 0.05  # after accept failed for lack of descriptors or memory
_MAX_READ_BYTES = 64 * 1024  # read from a connection that is rejected for lack of descriptors
_SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Acceptor:
    """One listening socket.

    It keeps one descriptor in reserve, to accept and reject a connection when all others are in use.
    """

    def __init__(
        self,
        registry: Registry,
        make: Callable[[], asyncio.BufferedProtocol],
        times: Times,
        reject_answer: Callable[[bytes], bytes],
        counts: Counter[tuple[str, str]],
    ) -> None:
        self._registry, self._make, self._times = registry, make, times
        self._reject_answer, self._counts = reject_answer, counts
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._reserve_fd = -1
        self._pause: asyncio.TimerHandle | None = None
        self.port = 0

    def listen(self, host: str, port: int, inherited: int | None = None) -> int:
        """Bind and listen, or use the listening socket `inherited`, which other processes may share."""
        if inherited is not None:
            sock = socket.socket(fileno=inherited)
        else:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            if inherited is None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((host, port))
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
        self._sock, self.port = sock, int(sock.getsockname()[1])
        self._open_reserve()
        self._loop.add_reader(sock.fileno(), self._accept)
        return self.port

    def close(self) -> None:
        """Close the listening socket and the reserved descriptor."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
        if self._pause is not None:
            self._pause.cancel()
        if self._reserve_fd >= 0:
            os.close(self._reserve_fd)
            self._reserve_fd = -1

    def _open_reserve(self) -> None:
        try:
            self._reserve_fd = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._reserve_fd = -1

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if self._sock is None:
                return
            self._registry.close_all_finished()  # the previous connection may have displaced one
            try:
                sock = self._registry.system_calls.accept(self._sock)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in _SHORTAGE_ERRORS:
                    self._out_of_descriptors(error)
                    return
                continue  # the client has closed it already
            try:
                self._registry.adopt(sock, self._make(), self._times)
            except OSError as error:  # from the epoll or the socket itself: only this connection is lost
                log.warning("not-adopted", extra=kv(error=error))
                sock.close()

    def _out_of_descriptors(self, error: OSError) -> None:
        """Reject one connection with the reserved descriptor and pause; the others wait in the backlog."""
        self._counts["clients", "turned-away-descriptors"] += 1
        if self._counts["clients", "turned-away-descriptors"] in (1, 100, 10_000):
            log.warning("no-descriptors", extra=kv(error=error, open=self._registry.open))
        if self._reserve_fd >= 0 and self._sock is not None:
            os.close(self._reserve_fd)
            try:
                sock = self._registry.system_calls.accept(self._sock)
            except OSError:
                pass
            else:
                with sock:
                    self._reject(sock)
            self._open_reserve()
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._pause = self._loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _reject(self, sock: socket.socket) -> None:
        """Read and answer: closing with unread bytes sends a reset, which could destroy the answer."""
        sock.setblocking(False)
        received = b""
        with contextlib.suppress(OSError):
            received = sock.recv(_MAX_READ_BYTES)
        with contextlib.suppress(OSError):
            sock.send(self._reject_answer(received))

    def _resume(self) -> None:
        self._pause = None
        if self._reserve_fd < 0:
            self._open_reserve()
        if self._sock is not None:
            self._loop.add_reader(self._sock.fileno(), self._accept)
