"""The lease of one call that was let through: its permit, asked again at each write by the call's socket."""

from __future__ import annotations

from collections.abc import Callable

from mountgauge.core.ports import Call
from mountgauge.leased_socket import LeaseExpiredError
from rillspindle import send_guard
from rillspindle.send_guard import EndpointState, Refusal, SendPermit


class CallLease:
    """A `SendLease`; what it is asked and told at each write goes to the core by the functions given."""

    def __init__(
        self,
        call: Call,
        permit: SendPermit,
        zone: int,
        state: Callable[[Call], EndpointState],
        now: Callable[[], float],
        left: Callable[[Call, bool, bool], None],
    ) -> None:
        """`zone`: the endpoint's, as the attempt is on record with it; `state`: of the endpoint, now; `left`:
        told that the first or the last byte has left.
        """
        self.permit, self.zone = permit, zone
        self.refusal: Refusal | None = None  # why it ended before the last byte
        self._call, self._state, self._now, self._left = call, state, now, left

    def require(self, begun: bool) -> None:
        """LeaseExpiredError where nothing more of the call may be written."""
        self.refusal = send_guard.holds(self.permit, self._state(self._call), begun, self._now())
        if self.refusal is not None:
            raise LeaseExpiredError(self.refusal)

    def bytes_sent(self, begun: bool, complete: bool) -> None:
        """Bytes have left."""
        self._left(self._call, begun, complete)
