"""The next hops that the core knows: as listed by discovery, as changed by operators and budgets, and for how
long a destination counts as existing. No I/O, no clock: times are parameters, in seconds, and never go back.

An endpoint that was reported as draining or gone isn't active again because of an older list
(`drain_memory`): it stays draining meanwhile. If one update names an id several times, the last entry counts;
but for the same location (address and destination) an entry that says draining or gone counts, whatever
follows it.

The cost of a delta depends only on the entries in it. A full list is linear in the old and the new list.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from mountgauge.core.config import MapUpdate
from mountgauge.core.drain_memory import DrainMemory, EndpointLocation
from mountgauge.core.ports import NextHop
from rillspindle.interface import Entry, Readiness

KNOWN_FOR_S = 600.0  # for how long a destination still counts as existing after it was last listed


@dataclass(frozen=True, slots=True)
class Change:
    """The effects of an update of the list."""

    entries: tuple[Entry, ...]  # for the decision module, in order
    closing: list[str]  # ids of next hops whose idle connections are useless now, in the list's order
    review_at: float | None = None  # when `HopTable.review` is due, unless lists change it before


class HopTable:
    """The state of the list; all mappings are read-only outside this class."""

    def __init__(self, balancers: int) -> None:
        self.balancers = balancers  # number of senders that share a limit, as in the settings
        self.hops: dict[str, NextHop] = {}  # by id, as passed to the decision module
        self.listed_hops: dict[str, NextHop] = {}  # by id, as discovery lists them
        self.listed: dict[int, float] = {}  # destinations, and until when each counts as existing
        self.ever_listed: set[str] = set()  # ids
        self.detached: set[str] = set()  # ids that operators detached: draining, whatever is listed
        # Ids that only an older list has as active, and until when they drain.
        self.withheld: dict[str, float] = {}
        # This sender's share of each destination's budget, in calls/s.
        self.budget_shares: dict[int, float] = {}
        self._drains = DrainMemory()
        self._positions: dict[str, int] = {}  # by id: a number that increases in the list's order
        self._last_position = 0
        self._hop_counts: dict[int, int] = {}  # by destination
        # Ids of the hops by destination, once there are budget shares.
        self._ids_by_dest: dict[int, dict[str, None]] | None = None
        # The destinations of `listed` that have no hop, in the order in which they expire.
        self._expiring: OrderedDict[int, float] = OrderedDict()

    def apply_update(self, update: MapUpdate, full: bool, now: float) -> Change:
        """Apply a full list (an endpoint absent from it has gone), or a delta."""
        dests: set[int] = set()  # destinations whose hops may have changed
        if full:
            dests.update(self._hop_counts)
            before, self.hops, self.listed_hops = self.hops, {}, {}
            self._positions, self._hop_counts, self._ids_by_dest, self.withheld = {}, {}, None, {}
        else:
            before = self._named(update)
        entries = list[Entry]()
        draining = {_reported_key(hop) for hop in update.hops if hop.entry.readiness != Readiness.READY}
        review_at = math.inf
        for listed in update.hops:
            self.ever_listed.add(listed.id)
            until = self._withhold(listed, update.version_of(listed.id), draining, now)
            review_at = min(review_at, until)
            hop = self._effective(listed)
            dests.add(hop.entry.owner)
            if (old := before.get(hop.id)) is not None:
                dests.add(old.entry.owner)
                if (*old[:3], old.entry.owner) != (*hop[:3], hop.entry.owner):
                    # The same id at a new location is another endpoint, which must inherit nothing.
                    entries.append(old.entry._replace(readiness=Readiness.GONE))
                    self._drains.record(EndpointLocation.of(old), update.version_of(old.id), now)
            entries.append(hop.entry)
            if hop.entry.readiness == Readiness.GONE:
                self._remove(hop.id)
            else:
                self._put(listed, hop)
        closing = []
        for hop_id, old in before.items():
            if (new := self.hops.get(hop_id)) is None or new[:3] != old[:3]:
                closing.append(hop_id)
            if new is None:
                self._drains.record(EndpointLocation.of(old), update.version_of(hop_id), now)
        self._set_expiry(dests, now)
        return Change(tuple(entries), closing, None if review_at == math.inf else review_at)

    def _withhold(
        self, listed: NextHop, version: int, draining: set[EndpointLocation | str], now: float
    ) -> float:
        """Record a drain. Returns until when an active entry of an older list drains; inf if it does not."""
        location = EndpointLocation.of(listed)
        self.withheld.pop(listed.id, None)
        if listed.entry.readiness != Readiness.READY:
            if listed.host:
                self._drains.record(location, version, now)
            return math.inf
        if location in draining or listed.id in draining:
            until: float | None = self._drains.contradicted(location, version, now)
        else:
            until = self._drains.withheld_until(location, version, now)
        if until is None:
            return math.inf
        self.withheld[listed.id] = until
        return until

    def review(self, now: float) -> Change:
        """Return the endpoints that were withheld for long enough to the state in which they are listed."""
        entries = []
        for hop_id in [hop_id for hop_id, until in self.withheld.items() if until <= now]:
            del self.withheld[hop_id]
            hop = self.hops[hop_id] = self._effective(self.listed_hops[hop_id])
            entries.append(hop.entry)
        return Change(tuple(entries), [], min(self.withheld.values(), default=None))

    def _named(self, update: MapUpdate) -> dict[str, NextHop]:
        """The known hops that are in a delta, in the list's order."""
        known = [self.hops[hop_id] for hop_id in {hop.id for hop in update.hops} if hop_id in self.hops]
        known.sort(key=lambda hop: self._positions[hop.id])
        return {hop.id: hop for hop in known}

    def _put(self, listed: NextHop, hop: NextHop) -> None:
        """Store a hop. A known one keeps its position, even for another destination; a new one comes last."""
        old = self.hops.get(hop.id)
        if old is None:
            self._last_position += 1
            self._positions[hop.id] = self._last_position
            self._add_to_destination(hop)
        elif old.entry.owner != hop.entry.owner:
            self._remove_from_destination(old)
            self._add_to_destination(hop)
        self.hops[hop.id], self.listed_hops[hop.id] = hop, listed

    def _remove(self, hop_id: str) -> None:
        self.listed_hops.pop(hop_id, None)
        self.withheld.pop(hop_id, None)
        if (hop := self.hops.pop(hop_id, None)) is not None:
            del self._positions[hop_id]
            self._remove_from_destination(hop)

    def _add_to_destination(self, hop: NextHop) -> None:
        """Add a hop to its destination."""
        dest = hop.entry.owner
        self._hop_counts[dest] = self._hop_counts.get(dest, 0) + 1
        if self._ids_by_dest is not None:
            self._ids_by_dest.setdefault(dest, {})[hop.id] = None

    def _remove_from_destination(self, hop: NextHop) -> None:
        dest = hop.entry.owner
        remaining = self._hop_counts[dest] = self._hop_counts[dest] - 1
        if not remaining:
            del self._hop_counts[dest]
        if self._ids_by_dest is not None:
            del self._ids_by_dest[dest][hop.id]
            if not remaining:
                del self._ids_by_dest[dest]

    def _set_expiry(self, dests: set[int], now: float) -> None:
        """Set until when each of these destinations counts as existing, and drop the expired ones."""
        for dest in dests:
            if dest in self._hop_counts:
                self.listed[dest] = math.inf
                self._expiring.pop(dest, None)
            elif self.listed.get(dest) == math.inf:
                # All its endpoints may be gone for a moment only: messages are queued, not rejected.
                self.listed[dest] = self._expiring[dest] = now + KNOWN_FOR_S
        while self._expiring:
            dest, until = next(iter(self._expiring.items()))
            if until > now:
                break
            del self._expiring[dest], self.listed[dest]

    def set_detached(self, detached: set[str]) -> Change:
        """Set the endpoints that operators detached: they drain, whatever discovery lists. One that is
        attached again is as listed.
        """
        changed, self.detached = detached ^ self.detached, set(detached)
        entries, closing = [], []
        for hop_id in sorted(changed):
            listed = self.listed_hops.get(hop_id)
            if listed is None:
                continue
            hop = self.hops[hop_id] = self._effective(listed)
            entries.append(hop.entry)
            if hop_id in self.detached:
                closing.append(hop_id)
        return Change(tuple(entries), closing)

    def set_budget_shares(self, shares: Mapping[int, float]) -> tuple[Entry, ...]:
        """Set this sender's share of each destination's budget, in calls/s; returns the changed entries."""
        changed = {
            dest
            for dest in {*shares, *self.budget_shares}
            if shares.get(dest) != self.budget_shares.get(dest)
        }
        self.budget_shares = dict(shares)
        if self._ids_by_dest is None:
            self._ids_by_dest = self._group_by_destination()
        ids = [hop_id for dest in changed for hop_id in self._ids_by_dest.get(dest, ())]
        entries = []
        for hop_id in sorted(ids, key=self._positions.__getitem__):
            hop = self.hops[hop_id] = self._effective(self.listed_hops[hop_id])
            entries.append(hop.entry)
        return tuple(entries)

    def _group_by_destination(self) -> dict[int, dict[str, None]]:
        groups: dict[int, dict[str, None]] = {}
        for hop in self.hops.values():
            groups.setdefault(hop.entry.owner, {})[hop.id] = None
        return groups

    def _effective(self, hop: NextHop) -> NextHop:
        if (hop.id in self.detached or hop.id in self.withheld) and hop.entry.readiness == Readiness.READY:
            hop = hop._replace(entry=hop.entry._replace(readiness=Readiness.DRAINING))
        if (share := self.budget_shares.get(hop.entry.owner)) is not None:
            hop = hop._replace(entry=hop.entry._replace(scale=share * self.balancers))
        return hop


def _reported_key(hop: NextHop) -> EndpointLocation | str:
    """What an entry reports on: a location, or the id at any location if the entry has no address."""
    return EndpointLocation.of(hop) if hop.host else hop.id
