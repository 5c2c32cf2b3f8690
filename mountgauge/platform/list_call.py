"""One call for the list at discovery, how it ends, and what each end shows of the list. Pure data."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mountgauge.platform.watch_bounds import REFUSAL_TRANSIT_S, SHORT_WAIT_S, WAIT_ROUNDING_S


class Failure(Enum):
    """How a call failed."""

    REFUSED = "refused"  # the connection was refused: discovery is down
    UNREACHED = "unreached"  # the call has not left in full, for a reason that says nothing of discovery
    BUSY = "busy"  # another status than 200: discovery is there, and nothing of the list was written
    BROKEN = "broken"  # asked, and the connection ended: an answer may have been written and lost with it
    SPOILT = "spoilt"  # bytes of an answer had arrived, and it broke off or could not be read


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call to discovery."""

    number: int
    address: int  # counts the addresses that discovery has had
    index: int | None  # the version that is known; None: the whole list is asked for
    wait_s: float  # in which discovery may wait for changes
    made_at: float

    @property
    def short(self) -> bool:
        """Whether it is to be answered at once."""
        return self.wait_s <= SHORT_WAIT_S

    def covers(self, other: ListCall) -> bool:
        """Whether its answer tells all, and as soon, that the other one's would."""
        same = self.short and self.address == other.address
        return same and (self.index is None or other.index is not None)


class DropReason(Enum):
    """Why a call is closed without an answer."""

    NO_ANSWER = "no-answer"  # nothing has come for as long as it is listened to
    NO_CONNECTION = "no-connection"  # none has come up for as long as it may take
    NEWER_ANSWERED = "newer-answered"  # a call that was made after it has told all that it would
    NEEDLESS = "needless"  # another one has been asked meanwhile
    STOPPED = "stopped"  # discovery is not to be asked any more


@dataclass(frozen=True, slots=True)
class DroppedCall:
    """A call to be closed."""

    call: ListCall
    reason: DropReason


@dataclass(frozen=True, slots=True)
class Step:
    """What the driver has to do now."""

    make: tuple[ListCall, ...] = ()
    drop: tuple[DroppedCall, ...] = ()


def refused_at(call: ListCall, failure: Failure, now: float) -> float:
    """From when on a refusal counts: one in words was written at its end, and was then on its way for
    `REFUSAL_TRANSIT_S` at most; one of a connection at any time since it was begun.
    """
    if failure is not Failure.BUSY:
        return call.made_at
    return max(call.made_at, now - REFUSAL_TRANSIT_S)


def known_at(call: ListCall, version: int, now: float) -> float:
    """Up to when all that discovery had is known by the answer to this call: a watch that is answered with
    nothing newer once its wait is over was answered no sooner than that. Of a call to be answered at once
    nobody knows whether it was let wait at all.
    """
    waited = now - call.made_at >= call.wait_s - WAIT_ROUNDING_S
    if call.short or call.index is None or version > call.index or not waited:
        return call.made_at
    return min(now, call.made_at + call.wait_s)
