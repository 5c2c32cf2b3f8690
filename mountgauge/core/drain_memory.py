"""Which endpoints were reported as draining or gone, and by which version, so that no older list reverts it.

A list may be older than what is known: another discovery address lags behind, or a full list was requested
before a change. An endpoint at a location (its id, address and destination) that a version reported as
`leaving` or `left`, or that a full list no longer contained, isn't active again until a version at least as
new says so.

Versions may also be restarted permanently. A single list does not show whether that happened or the list is
old, but an old list is soon followed by a newer one: what contradicts a drain for `WITHHELD_FOR_S` without a
break is believed. No I/O, no clock: times are parameters, in seconds, and never go back. The cost of a call
does not depend on how much is remembered.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from mountgauge.core.ports import NextHop

ASK_WITHIN_S = 10.0  # for how long a list may be used without a new request, in the settings of most sites
NOTIFIED_WITHIN_S = 6.0  # after this time all that discovery has to report counts as notified
MOVE_WITHIN_S = 4.0  # the time within which the list of another address applies
# The oldest list that the protocol still allows was requested before a move, and answered late. This is also
# the longest time for which an endpoint is withheld that is active in restarted versions.
WITHHELD_FOR_S = ASK_WITHIN_S + NOTIFIED_WITHIN_S + MOVE_WITHIN_S
REMEMBERED_FOR_S = 600.0  # after the last report of the drain, like a destination without endpoints
MAX_REMEMBERED = 8192  # locations, about 300 bytes each; beyond it the one reported longest ago is forgotten


class EndpointLocation(NamedTuple):
    """An endpoint at an address: the same id at another address is another endpoint."""

    id: str
    host: str
    port: int
    destination: int

    @classmethod
    def of(cls, hop: NextHop) -> EndpointLocation:
        return cls(hop.id, hop.host, hop.port, hop.entry.owner)


@dataclass(slots=True)
class _Drain:
    version: int  # the newest that reported it
    forget_at: float
    believe_at: float | None = None  # until when a contradiction is withheld, once there is one


class DrainMemory:
    """The drains that have been reported, bounded in number and in time."""

    def __init__(self) -> None:
        self._drains: OrderedDict[EndpointLocation, _Drain] = OrderedDict()  # reported longest ago first

    def __len__(self) -> int:
        return len(self._drains)

    def record(self, location: EndpointLocation, version: int, now: float) -> None:
        """Record that a version reported this location as draining or gone."""
        known = self._drains.pop(location, None)
        newest = version if known is None else max(known.version, version)
        self._drains[location] = _Drain(newest, now + REMEMBERED_FOR_S)
        while self._drains:
            oldest = next(iter(self._drains.values()))
            if oldest.forget_at > now and len(self._drains) <= MAX_REMEMBERED:
                break
            self._drains.popitem(last=False)

    def withheld_until(self, location: EndpointLocation, version: int, now: float) -> float | None:
        """Decide on a version that reports this location as active: None if that is believed, and the drain
        forgotten; else until when the location is withheld, unless a newer version reports it before.
        """
        drain = self._drains.get(location)
        if drain is None:
            return None
        if version < drain.version and now < drain.forget_at:
            if drain.believe_at is None:
                drain.believe_at = now + WITHHELD_FOR_S
            if now < drain.believe_at:
                return drain.believe_at
        del self._drains[location]
        return None

    def contradicted(self, location: EndpointLocation, version: int, now: float) -> float:
        """Record an update that reports this location both as draining and as active. The drain counts;
        returns until when.
        """
        self.record(location, version, now)
        drain = self._drains[location]
        drain.believe_at = now + WITHHELD_FOR_S
        return drain.believe_at
