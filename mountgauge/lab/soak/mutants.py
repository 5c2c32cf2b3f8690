"""Senders with one fault each in the guard of their sends: the soak must detect every one of them."""

from __future__ import annotations

import math
from collections.abc import Callable

from mountgauge.lab.faults.lease import ignore_silent_expiry
from mountgauge.leased_socket import LeaseSlot
from rillspindle import send_guard
from rillspindle.send_guard import EndpointState, MessageState, SendPermit


def _guard_off() -> None:
    """Permits every decided send at any time."""

    def permit(message: MessageState, endpoint: EndpointState, call_until: float, now: float) -> SendPermit:
        return SendPermit(math.inf)

    setattr(send_guard, "permit_send", permit)  # noqa: B010
    setattr(send_guard, "holds", lambda *_: None)  # noqa: B010


def _window_unchecked() -> None:
    """Sends a repeat that was decided within its window even after the window."""
    setattr(send_guard, "repeat_until", lambda *_: math.inf)  # noqa: B010


def _late_byte() -> None:
    """Writes buffered data to a socket without checking the lease."""
    setattr(LeaseSlot, "check", lambda slot: None)  # noqa: B010


def _early_end() -> None:
    """Reports outcomes at once, whether they are recorded or not."""
    setattr(send_guard, "may_tell_end", lambda *_: True)  # noqa: B010


MUTANTS: dict[str, Callable[[], None]] = {
    "guard-off": _guard_off,
    "window-unchecked": _window_unchecked,
    "late-byte": _late_byte,
    "early-end": _early_end,
    "silence-believed": ignore_silent_expiry,
}
