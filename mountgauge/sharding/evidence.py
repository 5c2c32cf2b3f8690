"""What the calls to relays show of the list that a sender has from them. Pure: no I/O, no clock.

What a relay writes counts as notified, and what it has counts some seconds later (`core/list_lease`). So a
whole answer of any relay renews the lease on the list, from when its call was made; a relay that is itself
cut off tells what it has, and its age. That one relay refuses a call shows nothing, as another one may have
news; once each of them has, one after another, nobody can tell any, nor once each breaks its calls for as
long as shows an outage. A silent relay moves nothing.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from mountgauge.core.list_lease import LeaseEnd, LeaseTerms, ListLease, Loss
from mountgauge.sharding.upstream import Lane, RelayCall


class RelayFailure(Enum):
    """How a call to a relay ended without a whole answer."""

    SILENT = "silent"  # it was given up
    REFUSED = "refused"  # no connection, or a refusal in words
    BROKEN = "broken"  # the connection ended: an answer may have been lost with it
    UNREADABLE = "unreadable"  # an answer came that could not be taken in


class RelayEvidence:
    """One sender's lease on the list that relays tell it."""

    def __init__(self, terms: LeaseTerms, relays: Collection[str]) -> None:
        self.lease = ListLease(terms)
        self._relays = frozenset(relays)
        self._refused: dict[str, float] = {}  # since the last answer: when the newest refused call was made

    def answered(self, call: RelayCall) -> None:
        """A whole answer was taken in: a watch covers all that is held, a fetch new shards alone."""
        self._refused.clear()
        if call.lane is Lane.WATCH:
            self.lease.confirm(call.made_at)

    def failed(self, call: RelayCall, failure: RelayFailure, now: float) -> None:
        """A call has ended without one."""
        if failure in (RelayFailure.REFUSED, RelayFailure.BROKEN):
            self._refused[call.relay] = call.made_at
        nobody_answers = self._refused.keys() >= self._relays
        if failure is RelayFailure.UNREADABLE:
            self.lease.answer_lost(Loss.CERTAIN, now)
        elif failure is RelayFailure.REFUSED and nobody_answers:
            self.lease.call_refused(min(self._refused.values()))
        elif failure is RelayFailure.BROKEN and call.lane is Lane.WATCH:
            if nobody_answers:
                self.lease.call_broke(call.made_at, now)
            else:
                self.lease.answer_lost(Loss.POSSIBLE, now)

    def ended(self, now: float) -> LeaseEnd | None:
        """Why the list may not be gone by now; None: it may."""
        return self.lease.ended(now)
