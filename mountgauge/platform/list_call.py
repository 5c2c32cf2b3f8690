"""A call to discovery for the list, the ways it ends, and what each end proves about the list. Pure data."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mountgauge.platform.watch_bounds import REFUSAL_TRANSIT_S, SHORT_WAIT_S, WAIT_ROUNDING_S


class Failure(Enum):
    """How a call failed."""

    REFUSED = "refused"  # the connection was refused: discovery is down
    NOT_SENT = "unreached"  # the request was not sent in full, for a reason that says nothing about discovery
    BUSY = "busy"  # a status other than 200: discovery is up, and it has written nothing of the list
    BROKEN = "broken"  # the connection ended after the request: a written answer may have been lost
    CORRUPT = "spoilt"  # a part of an answer arrived, and it was cut off or could not be parsed


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call to discovery."""

    number: int
    address: int  # the number of the discovery address that it goes to
    index: int | None  # the version that is known; None: the full list is requested
    wait_s: float  # for which discovery may hold the call until there is a change
    made_at: float

    @property
    def short(self) -> bool:
        """Whether it is to be answered at once, unlike a watch, which waits for a change."""
        return self.wait_s <= SHORT_WAIT_S

    def covers(self, other: ListCall) -> bool:
        """Whether its answer contains all that the other call's would, and comes as soon."""
        same = self.short and self.address == other.address
        return same and (self.index is None or other.index is not None)


class DropReason(Enum):
    """Why a call was closed without an answer."""

    NO_ANSWER = "no-answer"  # no answer within the call's timeout
    NO_CONNECTION = "no-connection"  # no connection within the dial timeout
    NEWER_ANSWERED = "newer-answered"  # a later call was answered, which covers this one
    NEEDLESS = "needless"  # another call was sent meanwhile
    STOPPED = "stopped"  # the watch was stopped


@dataclass(frozen=True, slots=True)
class DroppedCall:
    """A call to be closed."""

    call: ListCall
    reason: DropReason


@dataclass(frozen=True, slots=True)
class PollResult:
    """The calls that the driver has to make and to close now."""

    make: tuple[ListCall, ...] = ()
    drop: tuple[DroppedCall, ...] = ()


def refusal_evidence_at(call: ListCall, failure: Failure, now: float) -> float:
    """Return the time for which a refusal is evidence that discovery was down.

    An HTTP error was written at most `REFUSAL_TRANSIT_S` before it was received. A refused connection may
    have been refused at any time since the call was made.
    """
    if failure is not Failure.BUSY:
        return call.made_at
    return max(call.made_at, now - REFUSAL_TRANSIT_S)


def answer_evidence_at(call: ListCall, version: int, now: float) -> float:
    """Return the time up to which the answer to this call shows all changes that discovery had.

    A watch that is answered without changes after its full wait was answered no earlier than at the end of
    the wait. Any other answer, also one to a short call, which may not have waited at all, only proves the
    state at the time when the call was made.
    """
    waited = now - call.made_at >= call.wait_s - WAIT_ROUNDING_S
    if call.short or call.index is None or version > call.index or not waited:
        return call.made_at
    return min(now, call.made_at + call.wait_s)
