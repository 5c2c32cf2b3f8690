"""Reading on from a peer that is not heard any more."""

from __future__ import annotations

import asyncio

_SINK = bytearray(256 * 1024)
_PAUSE = 0.02  # s between two reads of what is thrown away
LINGER_S = 1.0  # s in which a peer may read why it is let go


class InputDiscarder:
    """Reads on and throws away, at a bounded pace, while the peer has time to read the last words: LINGER_S.

    Closed with bytes unread, a connection is reset, and what was said last may be lost with it.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    @staticmethod
    def buffer() -> bytearray:
        return _SINK

    def on_data(self) -> None:
        if not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(_PAUSE, self._on)

    def _on(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()
