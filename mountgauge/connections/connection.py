"""A connection's transport: a descriptor in the registry's epoll, and a buffer only while bytes are unsent.

asyncio's own costs some 3 KiB for each connection: a socket object, a deque, a handle and a selector key.
This one has no more than eight slots. It keeps asyncio's contract: `connection_lost` comes once, from the
loop and not from within a call; what was written before `close` leaves, `abort` throws it away.
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
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Reading(IntEnum):
    """What is done with bytes that come."""

    PAUSED = 0
    ON = 1
    END_ONLY = 2  # nothing is read any more; the peer's end is still heard, unless bytes come before it


class TransportOwner(Protocol):
    """Who holds a connection: the registry."""

    system_calls: SystemCalls

    def watch(self, fd: int, before: int, mask: int) -> None: ...

    def owes(self, transport: ConnectionTransport, count: int) -> None: ...

    def gone(self, transport: ConnectionTransport) -> None: ...

    def ended(self, transport: ConnectionTransport) -> None: ...


class ConnectionTransport(asyncio.Transport):
    """OPEN, CLOSING (nothing is read, what is left is sent), then DONE."""

    __slots__ = ("_closing", "_eof", "_mask", "_out", "_protocol", "_reading", "_registry", "fd")

    def __init__(self, registry: TransportOwner, fd: int, protocol: asyncio.BufferedProtocol) -> None:
        # Not `super().__init__`: its dict of extra information would be half of what this object costs.
        self._registry, self.fd = registry, fd
        self._protocol: asyncio.BufferedProtocol | None = protocol
        self._out: bytearray | None = None
        self._reading, self._closing, self._eof = Reading.ON, False, False
        self._mask = 0
        self._watch()

    # What protocols ask for

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return self._closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """None to set: a protocol is told as soon as anything is left unsent."""

    def get_write_buffer_size(self) -> int:
        return len(self._out) if self._out is not None else 0

    def pause_reading(self) -> None:
        self._reading = Reading.PAUSED
        self._watch()

    def resume_reading(self) -> None:
        self._reading = Reading.ON
        self._watch()

    def read_no_more(self) -> None:
        """What comes from now on stays unread, so that its peer knows that nobody has heard it."""
        self._reading = Reading.END_ONLY
        self._watch()

    @property
    def peer_ended(self) -> bool:
        """Whether the peer has shut its sending side, or is gone, whatever lies unread before that."""
        poll = select.poll()
        poll.register(self.fd, select.POLLRDHUP)
        return any(events & _ENDED for _, events in poll.poll(0))

    @property
    def hears_end(self) -> bool:
        """Whether the protocol will be told of the peer's end."""
        return self._reading is not Reading.PAUSED

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._closing or self._eof or self._protocol is None or not data:
            return
        if self._out is not None:
            self._out += data
        else:
            try:
                sent = self._registry.system_calls.write(self.fd, data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self._end()
                return
            if sent == len(data):
                return
            self._out = bytearray(memoryview(data)[sent:])
            self._watch()
            self._protocol.pause_writing()
        self._registry.owes(self, len(self._out))

    def write_eof(self) -> None:
        self._eof = True
        if self._out is None:
            self._shut()

    def take(self, buffer: bytearray) -> int:
        """Read what has come, as far as there is room: a close over unread bytes is a reset."""
        try:
            return self._registry.system_calls.read(self.fd, [buffer])
        except OSError:
            return 0  # nothing there, or it is gone already

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            if self._out is None:
                self._end()
            else:
                self._watch()

    def abort(self) -> None:
        self._end()

    # What the registry asks for

    def on_event(self, events: int) -> None:
        if events & _OUT and self._out is not None:
            self._flush()
        if events & ~_OUT and self._reading and not self._closing:
            self._receive()
        elif events & (select.EPOLLERR | select.EPOLLHUP):
            self._end()

    def done(self) -> None:
        """The last step, from the loop: tell the protocol, give the descriptor back."""
        protocol, self._protocol = self._protocol, None
        if protocol is None:
            return
        try:
            protocol.connection_lost(None)
        finally:
            self._registry.gone(self)
            os.close(self.fd)

    def _receive(self) -> None:
        protocol = self._protocol
        if protocol is None:
            return
        if self._reading is Reading.END_ONLY:
            self._look_for_end(protocol)
            return
        buffer = protocol.get_buffer(-1)
        try:
            count = self._registry.system_calls.read(self.fd, [buffer])
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._end()
            return
        try:
            if count:
                protocol.buffer_updated(count)
            else:
                self._ended_by_peer(protocol)
        except Exception:
            log.exception("connection-failed")
            self._end()

    def _look_for_end(self, protocol: asyncio.BufferedProtocol) -> None:
        try:
            unread = self._registry.system_calls.peek(self.fd)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._end()
            return
        if unread:
            self.pause_reading()
        else:
            self._ended_by_peer(protocol)

    def _ended_by_peer(self, protocol: asyncio.BufferedProtocol) -> None:
        if protocol.eof_received():
            self.pause_reading()  # the answers still go out
        else:
            self.close()

    def _flush(self) -> None:
        assert self._out is not None and self._protocol is not None
        try:
            sent = self._registry.system_calls.write(self.fd, self._out)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._end()
            return
        del self._out[:sent]
        self._registry.owes(self, len(self._out))
        if self._out:
            return
        self._out = None
        if self._closing:
            self._end()
            return
        self._watch()
        if self._eof:
            self._shut()
        self._protocol.resume_writing()

    def _shut(self) -> None:
        with socket.socket(fileno=self.fd) as of:
            try:
                of.shutdown(socket.SHUT_WR)
            except OSError:
                pass  # it is gone already, which the next read says
            finally:
                of.detach()

    def _end(self) -> None:
        """Over: nothing is read or sent any more, `done` comes with one of the next turns."""
        self._closing = True
        if self._out is not None:
            self._out = None
            self._registry.owes(self, 0)
        if self._protocol is not None:
            self._watch()
            self._registry.ended(self)

    def _watch(self) -> None:
        mask = _IN if self._reading and not self._closing else 0
        if self._out is not None:
            mask |= _OUT
        if mask != self._mask:
            self._registry.watch(self.fd, self._mask, mask)
            self._mask = mask
