"""What has been told as draining or gone, and by which version, so that no older list takes it back.

A list can be older than what is known: another address of discovery lags behind, or a whole list was asked
for across a change. An endpoint at a place (its id, address and destination) that a version told as `leaving`
or `left`, or left out of a whole list, isn't active again before a version that is as new says so.

Versions may also begin anew for good. Nothing in one list tells that from an old one, but an old list is
followed by a newer one soon: what contradicts a drain for `WITHHELD_FOR_S` on end is believed. No I/O, no
clock: times are parameters, in seconds, and never go back. Each call costs the same whatever is remembered.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from mountgauge.core.ports import NextHop

ASK_WITHIN_S = 10.0  # for which a list may be used unasked, in the settings of most sites
TOLD_WITHIN_S = 6.0  # after which whatever discovery has to tell counts as told
MOVE_WITHIN_S = 4.0  # in which the list of another address holds
# The oldest list that may still come within the protocol was asked for before a move, and told late. It is
# also the longest time for which an endpoint stays out that is active in versions that began anew.
WITHHELD_FOR_S = ASK_WITHIN_S + TOLD_WITHIN_S + MOVE_WITHIN_S
REMEMBERED_FOR_S = 600.0  # after the drain was last told: as long as a destination without endpoints counts
MOST_REMEMBERED = 8192  # places, about 300 bytes each; past it the one told longest ago is forgotten


class Place(NamedTuple):
    """An endpoint where it is listed: under its id at another one it is another endpoint."""

    id: str
    host: str
    port: int
    destination: int

    @classmethod
    def of(cls, hop: NextHop) -> Place:
        return cls(hop.id, hop.host, hop.port, hop.entry.owner)


@dataclass(slots=True)
class _Drain:
    version: int  # the newest that told of it
    forget_at: float
    believe_at: float | None = None  # until when what contradicts it is withheld, once something does


class DrainMemory:
    """The drains that have been told, bounded in number and in time."""

    def __init__(self) -> None:
        self._drains: OrderedDict[Place, _Drain] = OrderedDict()  # told longest ago first

    def __len__(self) -> int:
        return len(self._drains)

    def note(self, place: Place, version: int, now: float) -> None:
        """A version has told this place as draining or gone."""
        known = self._drains.pop(place, None)
        newest = version if known is None else max(known.version, version)
        self._drains[place] = _Drain(newest, now + REMEMBERED_FOR_S)
        while self._drains:
            oldest = next(iter(self._drains.values()))
            if oldest.forget_at > now and len(self._drains) <= MOST_REMEMBERED:
                break
            self._drains.popitem(last=False)

    def withheld_until(self, place: Place, version: int, now: float) -> float | None:
        """A version tells this place as active: None where that holds, and its drain is over; else until
        when it is withheld, unless a newer version says so before.
        """
        drain = self._drains.get(place)
        if drain is None:
            return None
        if version < drain.version and now < drain.forget_at:
            if drain.believe_at is None:
                drain.believe_at = now + WITHHELD_FOR_S
            if now < drain.believe_at:
                return drain.believe_at
        del self._drains[place]
        return None

    def contradicted(self, place: Place, version: int, now: float) -> float:
        """One update tells this place both as draining and as active: the drain counts, for so long."""
        self.note(place, version, now)
        drain = self._drains[place]
        drain.believe_at = now + WITHHELD_FOR_S
        return drain.believe_at
