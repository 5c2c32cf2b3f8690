"""A connection's transport: a descriptor in the registry's epoll, with a buffer only while bytes are unsent.

asyncio's own transport takes some 3 KiB per connection: a socket object, a deque, a handle and a selector
key. This one has only eight slots. It keeps asyncio's contract: `connection_lost` is called once, from the
loop and not from within another call; data written before `close` is sent, `abort` discards it.
"""

from __future__ import annotations

import asyncio
import logging
import os
import select
import socket
from enum import IntEnum
from typing import Any, Protocol

from mountgauge.connections.system_calls import SystemCalls

log = logging.getLogger("mountgauge.holding")

_IN, _OUT = select.EPOLLIN, select.EPOLLOUT
_PEER_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Reading(IntEnum):
    """What the transport does with received bytes."""

    PAUSED = 0
    ON = 1
    EOF_ONLY = 2  # nothing is read; the peer's EOF is still detected, unless unread bytes precede it


class TransportOwner(Protocol):
    """What a transport needs of the registry."""

    system_calls: SystemCalls

    def set_events(self, fd: int, before: int, mask: int) -> None: ...

    def set_unread_bytes(self, transport: ConnectionTransport, count: int) -> None: ...

    def remove_transport(self, transport: ConnectionTransport) -> None: ...

    def schedule_close(self, transport: ConnectionTransport) -> None: ...


class ConnectionTransport(asyncio.Transport):
    """Open, then closing (nothing is read, unsent bytes are still sent), then finished."""

    __slots__ = ("_closing", "_eof", "_mask", "_protocol", "_reading", "_registry", "_unsent", "fd")

    def __init__(self, registry: TransportOwner, fd: int, protocol: asyncio.BufferedProtocol) -> None:
        # `super().__init__` is not called: its dict of extra information would be half of this object.
        self._registry, self.fd = registry, fd
        self._protocol: asyncio.BufferedProtocol | None = protocol
        self._unsent: bytearray | None = None
        self._reading, self._closing, self._eof = Reading.ON, False, False
        self._mask = 0
        self._update_events()

    # Called by protocols

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return self._closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Has no effect: `pause_writing` is called as soon as any byte is left unsent."""

    def get_write_buffer_size(self) -> int:
        return len(self._unsent) if self._unsent is not None else 0

    def pause_reading(self) -> None:
        self._reading = Reading.PAUSED
        self._update_events()

    def resume_reading(self) -> None:
        self._reading = Reading.ON
        self._update_events()

    def stop_reading(self) -> None:
        """Leave further bytes unread, so that the peer knows that they were not processed."""
        self._reading = Reading.EOF_ONLY
        self._update_events()

    @property
    def peer_ended(self) -> bool:
        """Whether the peer has shut down its sending side or closed, even if unread bytes precede that."""
        poll = select.poll()
        poll.register(self.fd, select.POLLRDHUP)
        return any(events & _PEER_ENDED for _, events in poll.poll(0))

    @property
    def reports_eof(self) -> bool:
        """Whether the protocol's `eof_received` will be called when the peer closes."""
        return self._reading is not Reading.PAUSED

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._closing or self._eof or self._protocol is None or not data:
            return
        if self._unsent is not None:
            self._unsent += data
        else:
            try:
                sent = self._registry.system_calls.write(self.fd, data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self._terminate()
                return
            if sent == len(data):
                return
            self._unsent = bytearray(memoryview(data)[sent:])
            self._update_events()
            self._protocol.pause_writing()
        self._registry.set_unread_bytes(self, len(self._unsent))

    def write_eof(self) -> None:
        self._eof = True
        if self._unsent is None:
            self._shutdown_write()

    def read_pending(self, buffer: bytearray) -> int:
        """Read what has arrived, up to the buffer's size: closing with unread bytes sends a reset."""
        try:
            return self._registry.system_calls.read(self.fd, [buffer])
        except OSError:
            return 0  # nothing has arrived, or the connection is broken

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            if self._unsent is None:
                self._terminate()
            else:
                self._update_events()

    def abort(self) -> None:
        self._terminate()

    # Called by the registry

    def on_event(self, events: int) -> None:
        """Handle what epoll reports for the descriptor."""
        if events & _OUT and self._unsent is not None:
            self._flush()
        if events & ~_OUT and self._reading and not self._closing:
            self._receive()
        elif events & (select.EPOLLERR | select.EPOLLHUP):
            self._terminate()

    def finish(self) -> None:
        """The last step, called by the loop: notify the protocol and close the descriptor."""
        protocol, self._protocol = self._protocol, None
        if protocol is None:
            return
        try:
            protocol.connection_lost(None)
        finally:
            self._registry.remove_transport(self)
            os.close(self.fd)

    def _receive(self) -> None:
        protocol = self._protocol
        if protocol is None:
            return
        if self._reading is Reading.EOF_ONLY:
            self._check_for_eof(protocol)
            return
        buffer = protocol.get_buffer(-1)
        try:
            count = self._registry.system_calls.read(self.fd, [buffer])
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._terminate()
            return
        try:
            if count:
                protocol.buffer_updated(count)
            else:
                self._on_eof(protocol)
        except Exception:
            log.exception("connection-failed")
            self._terminate()

    def _check_for_eof(self, protocol: asyncio.BufferedProtocol) -> None:
        try:
            unread = self._registry.system_calls.peek(self.fd)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._terminate()
            return
        if unread:
            self.pause_reading()
        else:
            self._on_eof(protocol)

    def _on_eof(self, protocol: asyncio.BufferedProtocol) -> None:
        if protocol.eof_received():
            self.pause_reading()  # the remaining answers are still sent
        else:
            self.close()

    def _flush(self) -> None:
        assert self._unsent is not None and self._protocol is not None
        try:
            sent = self._registry.system_calls.write(self.fd, self._unsent)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._terminate()
            return
        del self._unsent[:sent]
        self._registry.set_unread_bytes(self, len(self._unsent))
        if self._unsent:
            return
        self._unsent = None
        if self._closing:
            self._terminate()
            return
        self._update_events()
        if self._eof:
            self._shutdown_write()
        self._protocol.resume_writing()

    def _shutdown_write(self) -> None:
        with socket.socket(fileno=self.fd) as sock:
            try:
                sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass  # the connection is broken already, which the next read reports
            finally:
                sock.detach()

    def _terminate(self) -> None:
        """Stop reading and sending; the registry calls `finish` in one of the next turns."""
        self._closing = True
        if self._unsent is not None:
            self._unsent = None
            self._registry.set_unread_bytes(self, 0)
        if self._protocol is not None:
            self._update_events()
            self._registry.schedule_close(self)

    def _update_events(self) -> None:
        mask = _IN if self._reading and not self._closing else 0
        if self._unsent is not None:
            mask |= _OUT
        if mask != self._mask:
            self._registry.set_events(self.fd, self._mask, mask)
            self._mask = mask
