"""The guard: whether a message may be accepted, sent, repeated, rejected or finished, and until when.

Pure: no I/O, no clock, no state. Times are seconds of the caller's monotonic clock. `Policy` decides what is
best; the guard decides what is allowed at the moment of the effect, whatever happened since the decision.

A permission is a lease (`SendPermit`, after Gray and Cheriton): it ends with the first of its conditions, and
a byte not written by then must not be written. Its holder checks `holds` again before each write.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from rillspindle.interface import MessageClass

TRANSIT_S = 0.02  # that a written byte may take to the endpoint
# After a start: how long nothing is accepted while the journal of a previous process cannot be read.
UNREAD_JOURNAL_S = 5.0


class Refusal(StrEnum):
    """The reason why something is not allowed."""

    STOPPED = "stopped"  # the process is stopping
    LIST_LEASE_ENDED = "list-lease-ended"  # the list is no longer known to be the newest
    ENDPOINT_LEFT = "endpoint-left"  # draining, gone, or its address now belongs to another endpoint
    WAIT_REQUIRED = "told-to-wait"
    CALL_FINISHED = "call-over"  # the call has timed out or was cancelled
    MESSAGE_FINISHED = "message-ended"
    MESSAGE_EXPIRED = "message-expired"
    NOT_ON_RECORD = "not-on-record"  # the journal does not contain the message
    MAY_HAVE_RUN = "may-have-run"  # and its class allows no repeat
    REPEAT_WINDOW_OVER = "window-over"  # the endpoints may have forgotten its key
    OTHER_GROUP = "other-group"  # this endpoint does not deduplicate what other zones were sent
    NO_BUDGET = "no-budget"
    JOURNAL_FAILING = "journal-failing"
    END_NOT_ON_RECORD = "end-not-on-record"  # the next process would not know the outcome and send again


@dataclass(frozen=True, slots=True)
class MessageState:
    """The current state of a message."""

    expires: float
    message_class: MessageClass | None  # None: not in the settings any more, so no repeat is allowed
    maybe_ran: Sequence[tuple[float, int]]  # when, and in which zone, each attempt began that may have run
    finished: bool = False
    on_record: bool = True


@dataclass(frozen=True, slots=True)
class EndpointState:
    """The current state of the endpoint of a call."""

    listed: bool  # as ready, at the address and for the destination of the call
    zone: int = 0
    wait_until: float = -math.inf  # end of the required wait of its route
    list_valid: bool = True
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class SendPermit:
    """A lease on sending: the call's last byte must be written by `until`."""

    until: float


def permit_send(
    message: MessageState, endpoint: EndpointState, call_until: float, now: float
) -> SendPermit | Refusal:
    """Permit or refuse sending the message to the endpoint now; its call times out at `call_until`."""
    refusal = _endpoint_refusal(endpoint, False, now) or _message_refusal(message, now)
    if refusal is not None:
        return refusal
    if call_until <= now:
        return Refusal.CALL_FINISHED
    repeat = repeat_until(message.message_class, message.maybe_ran, endpoint.zone)
    if isinstance(repeat, Refusal):
        return repeat
    if repeat <= now:
        return Refusal.REPEAT_WINDOW_OVER
    return SendPermit(min(message.expires, call_until, repeat))


def holds(permit: SendPermit, endpoint: EndpointState, begun: bool, now: float) -> Refusal | None:
    """The reason why nothing more of a call may be written; None: it may. `begun`: its first byte has been
    written, which is the moment that counts for a drain.
    """
    if now >= permit.until:
        return Refusal.CALL_FINISHED
    return _endpoint_refusal(endpoint, begun, now)


def repeat_until(
    message_class: MessageClass | None, maybe_ran: Sequence[tuple[float, int]], zone: int
) -> float | Refusal:
    """Until when a message may be sent to an endpoint in this zone; infinite where repeats are harmless."""
    if not maybe_ran or (message_class is not None and message_class.semantics == "idempotent"):
        return math.inf
    if message_class is None or message_class.semantics == "at_most_once":
        return Refusal.MAY_HAVE_RUN
    if message_class.group != "all" and any(other != zone for _, other in maybe_ran):
        return Refusal.OTHER_GROUP
    return min(at for at, _ in maybe_ran) + message_class.repeat_window - TRANSIT_S


def may_reject(message_class: MessageClass | None, may_have_run: bool) -> bool:
    """Whether a message may be rejected, which reports to its client that a resubmission is harmless."""
    if not may_have_run:
        return True
    if message_class is None:
        return False
    return message_class.semantics == "idempotent" or (
        message_class.semantics == "deduplicated" and message_class.group == "all"
    )


def may_tell_end(on_record: bool, expires: float, now: float) -> bool:
    """Whether the outcome of a message may be reported. The next process does not know an outcome that is
    not on record, and would send the message again unless it has expired.
    """
    return on_record or expires <= now


def may_accept(journal_unread: bool, since_start_s: float) -> bool:
    """Whether a message of an unknown id may be accepted as new: an unread journal of a previous process may
    contain it. Bounded, as a disk may never recover; after that `permit_send` alone guards it.
    """
    return not journal_unread or since_start_s >= UNREAD_JOURNAL_S


def _endpoint_refusal(endpoint: EndpointState, begun: bool, now: float) -> Refusal | None:
    if not begun and endpoint.stopped:
        return Refusal.STOPPED
    if not begun and not endpoint.list_valid:
        return Refusal.LIST_LEASE_ENDED
    if not begun and not endpoint.listed:
        return Refusal.ENDPOINT_LEFT
    if endpoint.wait_until > now:
        return Refusal.WAIT_REQUIRED
    return None


def _message_refusal(message: MessageState, now: float) -> Refusal | None:
    if message.finished:
        return Refusal.MESSAGE_FINISHED
    if message.expires <= now:
        return Refusal.MESSAGE_EXPIRED
    if not message.on_record:
        return Refusal.NOT_ON_RECORD
    return None
