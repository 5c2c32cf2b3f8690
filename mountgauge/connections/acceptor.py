"""Accepting: a few in each turn of the loop, and never an end to it for want of descriptors."""

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

BACKLOG = 1024  # connections that the kernel holds until they are accepted
AT_ONCE = 8  # accepted in one turn, so that each is counted before many more come
ACCEPT_PAUSE_S = 0.05  # s without accepting once the process or the machine is out of something
_MOST_READ = 64 * 1024  # bytes of one that is turned away for want of a descriptor
_SCARCE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Acceptor:
    """One listening socket. It keeps one descriptor back, to tell those off for whom there is none."""

    def __init__(
        self,
        registry: Registry,
        make: Callable[[], asyncio.BufferedProtocol],
        times: Times,
        full: Callable[[bytes], bytes],
        counts: Counter[tuple[str, str]],
    ) -> None:
        self._registry, self._make, self._times = registry, make, times
        self._full, self._counts = full, counts
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._spare = -1
        self._pause: asyncio.TimerHandle | None = None
        self.port = 0

    def listen(self, host: str, port: int, inherited: int | None = None) -> int:
        """Bind and listen; or take the listening socket `inherited` that another process holds too."""
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
        self._keep_one_back()
        self._loop.add_reader(sock.fileno(), self._accept)
        return self.port

    def close(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
        if self._pause is not None:
            self._pause.cancel()
        if self._spare >= 0:
            os.close(self._spare)
            self._spare = -1

    def _keep_one_back(self) -> None:
        try:
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._spare = -1

    def _accept(self) -> None:
        for _ in range(AT_ONCE):
            if self._sock is None:
                return
            self._registry.make_room()  # the one before may have taken the place of another
            try:
                sock = self._registry.system_calls.accept(self._sock)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in _SCARCE:
                    self._scarce(error)
                    return
                continue  # it has gone already
            try:
                self._registry.adopt(sock, self._make(), self._times)
            except OSError as error:  # the epoll or the connection itself; the others go on
                log.warning("not-adopted", extra=kv(error=error))
                sock.close()

    def _scarce(self, error: OSError) -> None:
        """Out of descriptors: one hears when to come back, the others wait in the kernel for a moment."""
        self._counts["clients", "turned-away-descriptors"] += 1
        if self._counts["clients", "turned-away-descriptors"] in (1, 100, 10_000):
            log.warning("no-descriptors", extra=kv(error=error, open=self._registry.open))
        if self._spare >= 0 and self._sock is not None:
            os.close(self._spare)
            try:
                sock = self._registry.system_calls.accept(self._sock)
            except OSError:
                pass
            else:
                with sock:
                    self._turn_away(sock)
            self._keep_one_back()
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._pause = self._loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _turn_away(self, sock: socket.socket) -> None:
        """What has come is read and answered: a close over unread bytes would reset the answer as well."""
        sock.setblocking(False)
        came = b""
        with contextlib.suppress(OSError):
            came = sock.recv(_MOST_READ)
        with contextlib.suppress(OSError):
            sock.send(self._full(came))

    def _resume(self) -> None:
        self._pause = None
        if self._spare < 0:
            self._keep_one_back()
        if self._sock is not None:
            self._loop.add_reader(self._sock.fileno(), self._accept)
