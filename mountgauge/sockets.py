"""Discards what a peer still sends on a connection that is being closed."""

from __future__ import annotations

import asyncio

_DISCARDED = bytearray(256 * 1024)  # shared by all connections: its content is never used
_READ_PAUSE_S = 0.02  # between two reads
LINGER_S = 1.0  # time for a peer to read the reason why its connection is closed


class InputDiscarder:
    """Reads and discards input at a bounded rate, while the peer has LINGER_S to read the last answer.

    A connection that is closed with unread data is reset, and the peer may lose the last answer.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    @staticmethod
    def buffer() -> bytearray:
        """The buffer to read into."""
        return _DISCARDED

    def on_data(self) -> None:
        """Pause reading after data has arrived."""
        if not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(_READ_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()
