"""The lease of one admitted call: its permit, checked again at each write by the call's socket."""

from __future__ import annotations

from collections.abc import Callable

from mountgauge.core.ports import Call
from mountgauge.leased_socket import LeaseExpiredError
from rillspindle import send_guard
from rillspindle.send_guard import EndpointState, Refusal, SendPermit

# More than this between the check and the record of a write: the process was stopped, before it or after.
MIN_STALL_S = 0.02


class CallLease:
    """A `SendLease` that reads the endpoint's state from the core and notifies it of the bytes sent."""

    def __init__(
        self,
        call: Call,
        permit: SendPermit,
        zone: int,
        state: Callable[[Call], EndpointState],
        now: Callable[[], float],
        bytes_sent: Callable[[Call, bool, bool, float], None],
    ) -> None:
        """`zone`: the endpoint's, as recorded in the journal with the attempt; `state`: the current state of
        the endpoint; `bytes_sent`: called when the first or the last byte has left, with the time at which
        it left.
        """
        self.permit, self.zone = permit, zone
        self.refusal: Refusal | None = None  # why it ended before the last byte
        self._call, self._state, self._now, self._bytes_sent = call, state, now, bytes_sent
        self._checked_at = now()

    def require(self, begun: bool) -> None:
        """Raise LeaseExpiredError if nothing more of the call may be written."""
        self._checked_at = self._now()
        self.refusal = send_guard.holds(self.permit, self._state(self._call), begun, self._checked_at)
        if self.refusal is not None:
            raise LeaseExpiredError(self.refusal)

    def bytes_sent(self, begun: bool, complete: bool, since_sent_s: Callable[[], float]) -> None:
        """Notify the core that bytes have left."""
        self._bytes_sent(self._call, begun, complete, self._sent_at(since_sent_s))

    def _sent_at(self, since_sent_s: Callable[[], float]) -> float:
        now = self._now()
        if now - self._checked_at < MIN_STALL_S:
            return now
        return max(self._checked_at, now - since_sent_s())
