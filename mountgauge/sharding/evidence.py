"""Decides from the outcomes of relay calls whether a sender may use its endpoint list. Pure.

A sender counts as notified of a change that a relay has written to it; a change that only the relay has
counts some seconds later (see `core/list_lease`). So a complete answer of any relay renews the lease on the
list, from the time when its call was made. A relay that is itself cut off still answers with what it has,
and its age.

A refusal by one relay is no evidence, since another relay may have a change. Once every relay has refused
one after another, or has broken its calls for long enough to show an outage, none can notify of a change, and
the lease is renewed. A time-out has no effect.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from mountgauge.core.list_lease import LeaseEnd, LeaseTerms, ListLease, Loss
from mountgauge.sharding.upstream import Lane, RelayCall


class RelayFailure(Enum):
    """How a call to a relay ended without a complete answer."""

    SILENT = "silent"  # the call timed out
    REFUSED = "refused"  # no connection, or a `Refusal`
    BROKEN = "broken"  # the connection closed; an answer may have been lost with it
    UNREADABLE = "unreadable"  # an answer was received that could not be decoded or applied


class RelayEvidence:
    """A sender's lease on the endpoint list that it has from relays."""

    def __init__(self, terms: LeaseTerms, relays: Collection[str]) -> None:
        self.lease = ListLease(terms)
        self._relays = frozenset(relays)
        # By relay, since the last answer: when its newest refused or broken call was made.
        self._refused: dict[str, float] = {}

    def answered(self, call: RelayCall) -> None:
        """Record that an answer was applied; a watch covers all held shards, a fetch only new ones."""
        self._refused.clear()
        if call.lane is Lane.WATCH:
            self.lease.confirm(call.made_at)

    def failed(self, call: RelayCall, failure: RelayFailure, now: float) -> None:
        """Record that a call ended without an answer that could be applied."""
        if failure in (RelayFailure.REFUSED, RelayFailure.BROKEN):
            self._refused[call.relay] = call.made_at
        all_refuse = self._refused.keys() >= self._relays
        if failure is RelayFailure.UNREADABLE:
            self.lease.answer_lost(Loss.CERTAIN, now)
        elif failure is RelayFailure.REFUSED and all_refuse:
            self.lease.call_refused(min(self._refused.values()))
        elif failure is RelayFailure.BROKEN and call.lane is Lane.WATCH:
            if all_refuse:
                self.lease.call_broke(call.made_at, now)
            else:
                self.lease.answer_lost(Loss.POSSIBLE, now)

    def end_reason(self, now: float) -> LeaseEnd | None:
        """Return why the list must not be used now, or None if it may be used."""
        return self.lease.end_reason(now)
