"""The guard: whether a message may be sent, repeated, ended, handed back or taken on, and until when.

Pure: no I/O, no clock, no state. Times are seconds of the caller's monotonic clock. `Policy` decides what is
best to do; the guard decides what is allowed when it takes effect, whatever happened since the decision.

A permission is a lease (`SendPermit`, after Gray and Cheriton): it ends with the earliest of what it rests
on, and a byte that has not left by then must not leave. Its holder asks `holds` again before each write.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from rillspindle.interface import MessageClass

TRANSIT_S = 0.02  # for which a byte that was written may be on its way to the endpoint
# After a start: for so long nothing is taken on while the journal of an ended process cannot be read.
UNREAD_JOURNAL_S = 5.0


class Refusal(StrEnum):
    """Why something is not allowed."""

    STOPPED = "stopped"  # the process is ending
    LIST_LEASE_ENDED = "list-lease-ended"  # nothing shows any more that the list is the newest
    ENDPOINT_LEFT = "endpoint-left"  # draining, gone, or another one's address by now
    TOLD_TO_WAIT = "told-to-wait"
    CALL_OVER = "call-over"  # nobody waits for the call's answer any more
    MESSAGE_ENDED = "message-ended"
    MESSAGE_EXPIRED = "message-expired"
    NOT_ON_RECORD = "not-on-record"  # the journal does not hold the message
    MAY_HAVE_RUN = "may-have-run"  # and its class allows no repeat
    WINDOW_OVER = "window-over"  # the endpoints may have forgotten its key
    OTHER_GROUP = "other-group"  # this endpoint does not drop what the earlier ones were sent
    NO_BUDGET = "no-budget"
    JOURNAL_FAILING = "journal-failing"
    END_NOT_ON_RECORD = "end-not-on-record"  # of a message's end: the next process would not know of it


@dataclass(frozen=True, slots=True)
class MessageState:
    """A message as its holder knows it now."""

    expires: float
    grade: (
        MessageClass | None
    )  # None: the settings no longer name its class, so no repeat is known to be allowed
    ran: Sequence[tuple[float, int]]  # when, and in which zone, each attempt began that may have run
    finished: bool = False
    on_record: bool = True


@dataclass(frozen=True, slots=True)
class EndpointState:
    """What is known now of the endpoint that a call goes to."""

    listed: bool  # as ready, at the address and for the destination of the call
    zone: int = 0
    wait_until: float = -math.inf  # a told wait of its route
    list_valid: bool = True
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class SendPermit:
    """A lease on sending: the call's last byte must have left by `until`."""

    until: float


def permit_send(
    message: MessageState, endpoint: EndpointState, call_until: float, now: float
) -> SendPermit | Refusal:
    """Whether the message may be sent to the endpoint now, with a call that ends at `call_until`."""
    refusal = _endpoint_refusal(endpoint, False, now) or _message_refusal(message, now)
    if refusal is not None:
        return refusal
    if call_until <= now:
        return Refusal.CALL_OVER
    repeat = repeat_until(message.grade, message.ran, endpoint.zone)
    if isinstance(repeat, Refusal):
        return repeat
    if repeat <= now:
        return Refusal.WINDOW_OVER
    return SendPermit(min(message.expires, call_until, repeat))


def holds(permit: SendPermit, endpoint: EndpointState, begun: bool, now: float) -> Refusal | None:
    """Why nothing more of a call may be written; None: it may. `begun`: its first byte has left, which is
    the moment that counts for a drain.
    """
    if now >= permit.until:
        return Refusal.CALL_OVER
    return _endpoint_refusal(endpoint, begun, now)


def repeat_until(grade: MessageClass | None, ran: Sequence[tuple[float, int]], zone: int) -> float | Refusal:
    """Until when a message may be sent to an endpoint in this zone; infinite where repeats do no harm."""
    if not ran or (grade is not None and grade.semantics == "idempotent"):
        return math.inf
    if grade is None or grade.semantics == "at_most_once":
        return Refusal.MAY_HAVE_RUN
    if grade.group != "all" and any(other != zone for _, other in ran):
        return Refusal.OTHER_GROUP
    return min(at for at, _ in ran) + grade.repeat_window - TRANSIT_S


def may_reject(grade: MessageClass | None, may_have_run: bool) -> bool:
    """Whether its client may be told that handing the message in again does no harm."""
    if not may_have_run:
        return True
    if grade is None:
        return False
    return grade.semantics == "idempotent" or (grade.semantics == "deduplicated" and grade.group == "all")


def may_tell_end(on_record: bool, expires: float, now: float) -> bool:
    """Whether the end of a message may be told. Not on record, it is unknown to a process that comes after
    this one, which would send the message: not past its time.
    """
    return on_record or expires <= now


def may_accept(journal_unread: bool, since_start_s: float) -> bool:
    """Whether a message of an unknown id is new for certain: the journal of an ended process that could not
    be read yet may hold it. Bounded, as a disk may never come back; then `permit_send` alone guards it.
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
        return Refusal.TOLD_TO_WAIT
    return None


def _message_refusal(message: MessageState, now: float) -> Refusal | None:
    if message.finished:
        return Refusal.MESSAGE_ENDED
    if message.expires <= now:
        return Refusal.MESSAGE_EXPIRED
    if not message.on_record:
        return Refusal.NOT_ON_RECORD
    return None
