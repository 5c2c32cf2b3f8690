"""The destinations and endpoints known to one node, indexed so that a change touches only what it changes.

Decides nothing: `policy.py` says what is added, removed and forgotten, and when.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection

from rillspindle import interface as io
from rillspindle.state import Dest, Endpoint, Message

SWEEP = 64  # destinations without endpoints that one refresh checks


class Catalog:
    """Destinations and their endpoints. Only `retain` visits all endpoints, once for each full list.

    Times are in seconds of the caller's clock.
    """

    def __init__(self) -> None:
        self.destinations: dict[int, Dest] = {}
        self.endpoints: dict[io.EndpointId, Endpoint] = {}
        self._created = 0
        self._changed: dict[Dest, None] = {}  # since the last `refresh`
        self._waiting: set[Dest] = set()  # with queued messages, and some without any more
        # Destinations without endpoints, in the order of the sweep.
        self._unlisted: OrderedDict[Dest, None] = OrderedDict()
        self._refreshed_at = 0.0

    def dest(self, dest_id: int) -> Dest:
        """The destination with this id, created if it is unknown."""
        dest = self.destinations.get(dest_id)
        if dest is None:
            self._created += 1
            dest = self.destinations[dest_id] = Dest(dest_id, self._created)
            self._unlisted[dest] = None
        return dest

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint, whose id must be unknown."""
        self.endpoints[endpoint.id] = endpoint
        endpoint.dest.listed[endpoint.id] = endpoint
        self._unlisted.pop(endpoint.dest, None)

    def set_ready(self, endpoint: Endpoint, ready: bool) -> None:
        """Set whether it accepts new messages; its destination reflects that after `refresh`."""
        endpoint.ready = ready
        self._changed[endpoint.dest] = None

    def remove(self, endpoint_id: io.EndpointId) -> None:
        """Remove an endpoint; an unknown id is ignored."""
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is None:
            return
        dest = endpoint.dest
        del dest.listed[endpoint_id]
        if not dest.listed:
            dest.seen_at = self._refreshed_at
            self._unlisted[dest] = None
        self._changed[dest] = None

    def retain(self, endpoint_ids: Collection[io.EndpointId]) -> None:
        """Remove all other endpoints."""
        for endpoint_id in [known for known in self.endpoints if known not in endpoint_ids]:
            self.remove(endpoint_id)

    def refresh(self, now: float, forget_after: float) -> None:
        """Update the ready endpoints of the changed destinations after a list was applied, and forget old
        destinations; `forget_after` is in seconds.
        """
        for dest in self._changed:
            dest.endpoints = [endpoint for endpoint in dest.listed.values() if endpoint.ready]
        self._changed.clear()
        self._refreshed_at = now
        self._sweep(now, forget_after)

    def queue(self, message: Message) -> None:
        """Queue a message at its destination."""
        message.dest.queued[message.id] = message
        self._waiting.add(message.dest)

    def waiting(self) -> list[Dest]:
        """The destinations with queued messages, in the order in which they became known."""
        self._waiting = {dest for dest in self._waiting if dest.queued}
        return sorted(self._waiting, key=lambda dest: dest.number)

    def _sweep(self, now: float, forget_after: float) -> None:
        """Check the next few destinations without endpoints; forget those that have had no endpoint, no
        message and no answer for `forget_after` seconds.
        """
        for _ in range(min(SWEEP, len(self._unlisted))):
            dest, _ = self._unlisted.popitem(last=False)
            if dest.unfinished:
                dest.seen_at = now
            if now - max(dest.seen_at, dest.route.answered_at, dest.route.cold_since) > forget_after:
                del self.destinations[dest.id]
            else:
                self._unlisted[dest] = None
