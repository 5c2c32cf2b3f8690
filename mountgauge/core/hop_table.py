"""The next hops that the core knows: as listed, as operators and budgets have it, and for how long a
destination counts as one that exists. No I/O, no clock: times are parameters, in seconds, and never go back.

An endpoint that was told as draining or gone isn't active again through an older list (`drain_memory`): it
is kept as draining meanwhile. Where one update names an id several times the last entry counts, but for one
place (address and destination) an entry that says draining or gone counts whatever stands behind it.

A delta costs what it names, whatever else is listed; a whole list is linear in what was and what is listed.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from mountgauge.core.config import MapUpdate
from mountgauge.core.drain_memory import DrainMemory, Place
from mountgauge.core.ports import NextHop
from rillspindle.interface import Entry, Readiness

KNOWN_FOR_S = 600.0  # after it was last listed, for which a destination still counts as one that exists


@dataclass(frozen=True, slots=True)
class Change:
    """What an update of the list brings about."""

    entries: tuple[Entry, ...]  # for the decision module, in order
    closing: list[str]  # ids of next hops whose kept connections lead nowhere any more, in the list's order
    review_at: float | None = None  # when `HopTable.review` has something to say, unless lists say it before


class HopTable:
    """The list's state; all maps are for reading alone outside of this class."""

    def __init__(self, balancers: int) -> None:
        self.balancers = balancers  # senders that divide a limit, as the settings count them
        self.hops: dict[str, NextHop] = {}  # by id, as the module was told of them
        self.listed_hops: dict[str, NextHop] = {}  # by id, as discovery lists them
        self.listed: dict[int, float] = {}  # destinations, and until when each counts as one that exists
        self.ever_listed: set[str] = set()  # ids ever listed
        self.detached: set[str] = set()  # ids that operators took out: draining, whatever is listed
        self.withheld: dict[str, float] = {}  # ids active in an older list alone: until when they drain
        self.budget_shares: dict[
            int, float
        ] = {}  # by destination: calls/s of its budget that are this sender's
        self._drains = DrainMemory()
        self._places: dict[str, int] = {}  # by id: a number that rises in the list's order
        self._last_place = 0
        self._sizes: dict[int, int] = {}  # by destination: how many hops it has
        self._ids: dict[int, dict[str, None]] | None = None  # of them, once budgets have been divided
        self._leaving: OrderedDict[int, float] = OrderedDict()  # of `listed`, those without a hop: by expiry

    def apply_update(self, update: MapUpdate, whole: bool, now: float) -> Change:
        """Take in a whole list (what is absent from it has gone), or what changed."""
        dests: set[int] = set()  # those whose hops may have changed
        if whole:
            dests.update(self._sizes)
            before, self.hops, self.listed_hops = self.hops, {}, {}
            self._places, self._sizes, self._ids, self.withheld = {}, {}, None, {}
        else:
            before = self._named(update)
        entries = list[Entry]()
        draining = {_told_of(hop) for hop in update.hops if hop.entry.readiness != Readiness.READY}
        review_at = math.inf
        for listed in update.hops:
            self.ever_listed.add(listed.id)
            until = self._withhold(listed, update.version_of(listed.id), draining, now)
            review_at = min(review_at, until)
            hop = self._maintained(listed)
            dests.add(hop.entry.owner)
            if (old := before.get(hop.id)) is not None:
                dests.add(old.entry.owner)
                if (*old[:3], old.entry.owner) != (*hop[:3], hop.entry.owner):
                    # Under an old id at a new place it is another: it must inherit nothing.
                    entries.append(old.entry._replace(readiness=Readiness.GONE))
                    self._drains.note(Place.of(old), update.version_of(old.id), now)
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
                self._drains.note(Place.of(old), update.version_of(hop_id), now)
        self._date(dests, now)
        return Change(tuple(entries), closing, None if review_at == math.inf else review_at)

    def _withhold(self, listed: NextHop, version: int, draining: set[Place | str], now: float) -> float:
        """Note a drain; until when an entry that is active in an older list drains: inf, it does not."""
        place = Place.of(listed)
        self.withheld.pop(listed.id, None)
        if listed.entry.readiness != Readiness.READY:
            if listed.host:
                self._drains.note(place, version, now)
            return math.inf
        if place in draining or listed.id in draining:
            until: float | None = self._drains.contradicted(place, version, now)
        else:
            until = self._drains.withheld_until(place, version, now)
        if until is None:
            return math.inf
        self.withheld[listed.id] = until
        return until

    def review(self, now: float) -> Change:
        """The endpoints that have been withheld long enough are as listed."""
        entries = []
        for hop_id in [hop_id for hop_id, until in self.withheld.items() if until <= now]:
            del self.withheld[hop_id]
            hop = self.hops[hop_id] = self._maintained(self.listed_hops[hop_id])
            entries.append(hop.entry)
        return Change(tuple(entries), [], min(self.withheld.values(), default=None))

    def _named(self, update: MapUpdate) -> dict[str, NextHop]:
        """The known hops that a delta names, in the list's order."""
        known = [self.hops[hop_id] for hop_id in {hop.id for hop in update.hops} if hop_id in self.hops]
        known.sort(key=lambda hop: self._places[hop.id])
        return {hop.id: hop for hop in known}

    def _put(self, listed: NextHop, hop: NextHop) -> None:
        """One that is known keeps its place, also under another destination; a new one comes last."""
        old = self.hops.get(hop.id)
        if old is None:
            self._last_place += 1
            self._places[hop.id] = self._last_place
            self._join(hop)
        elif old.entry.owner != hop.entry.owner:
            self._leave(old)
            self._join(hop)
        self.hops[hop.id], self.listed_hops[hop.id] = hop, listed

    def _remove(self, hop_id: str) -> None:
        self.listed_hops.pop(hop_id, None)
        self.withheld.pop(hop_id, None)
        if (hop := self.hops.pop(hop_id, None)) is not None:
            del self._places[hop_id]
            self._leave(hop)

    def _join(self, hop: NextHop) -> None:
        """Count a hop to its destination's."""
        dest = hop.entry.owner
        self._sizes[dest] = self._sizes.get(dest, 0) + 1
        if self._ids is not None:
            self._ids.setdefault(dest, {})[hop.id] = None

    def _leave(self, hop: NextHop) -> None:
        dest = hop.entry.owner
        left = self._sizes[dest] = self._sizes[dest] - 1
        if not left:
            del self._sizes[dest]
        if self._ids is not None:
            del self._ids[dest][hop.id]
            if not left:
                del self._ids[dest]

    def _date(self, dests: set[int], now: float) -> None:
        """Until when each of these destinations counts; then forget all whose time has come."""
        for dest in dests:
            if dest in self._sizes:
                self.listed[dest] = math.inf
                self._leaving.pop(dest, None)
            elif self.listed.get(dest) == math.inf:
                # All its endpoints may have left for a moment: what comes meanwhile is held, not refused.
                self.listed[dest] = self._leaving[dest] = now + KNOWN_FOR_S
        while self._leaving:
            dest, until = next(iter(self._leaving.items()))
            if until > now:
                break
            del self._leaving[dest], self.listed[dest]

    def set_detached(self, detached: set[str]) -> Change:
        """The endpoints that operators took out drain, whatever discovery lists meanwhile; one put back is
        as listed again.
        """
        changed, self.detached = detached ^ self.detached, set(detached)
        entries, closing = [], []
        for hop_id in sorted(changed):
            listed = self.listed_hops.get(hop_id)
            if listed is None:
                continue
            hop = self.hops[hop_id] = self._maintained(listed)
            entries.append(hop.entry)
            if hop_id in self.detached:
                closing.append(hop_id)
        return Change(tuple(entries), closing)

    def set_budget_shares(self, parts: Mapping[int, float]) -> tuple[Entry, ...]:
        """Calls/s of each destination's budget that are this sender's; what the module is to be told."""
        changed = {
            dest for dest in {*parts, *self.budget_shares} if parts.get(dest) != self.budget_shares.get(dest)
        }
        self.budget_shares = dict(parts)
        if self._ids is None:
            self._ids = self._ids_by_destination()
        ids = [hop_id for dest in changed for hop_id in self._ids.get(dest, ())]
        entries = []
        for hop_id in sorted(ids, key=self._places.__getitem__):
            hop = self.hops[hop_id] = self._maintained(self.listed_hops[hop_id])
            entries.append(hop.entry)
        return tuple(entries)

    def _ids_by_destination(self) -> dict[int, dict[str, None]]:
        found: dict[int, dict[str, None]] = {}
        for hop in self.hops.values():
            found.setdefault(hop.entry.owner, {})[hop.id] = None
        return found

    def _maintained(self, hop: NextHop) -> NextHop:
        if (hop.id in self.detached or hop.id in self.withheld) and hop.entry.readiness == Readiness.READY:
            hop = hop._replace(entry=hop.entry._replace(readiness=Readiness.DRAINING))
        if (part := self.budget_shares.get(hop.entry.owner)) is not None:
            hop = hop._replace(entry=hop.entry._replace(scale=part * self.balancers))
        return hop


def _told_of(hop: NextHop) -> Place | str:
    """What an entry tells of: a place, or the id wherever it is where the entry names no place."""
    return Place.of(hop) if hop.host else hop.id
