"""The base of both fronts: admitting, rejecting and displacing connections, and closing them in batches."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, Generic, Protocol, TypeVar

from mountgauge.connections.acceptor import Acceptor
from mountgauge.connections.admission import Activity, Admission, Bounds, Rejection
from mountgauge.connections.registry import BATCH, Registered, Registry
from mountgauge.connections.settings import Times

MAX_LINGERING = 16  # rejected connections that may stay open to be read from; they use reserved descriptors


class Client(Registered, Protocol):
    """What a front needs of a connection."""

    activity: int
    since: float
    user: str

    def displace(self) -> None:
        """Close, as a new connection takes its slot."""

    def reject(self, again_ms: int) -> None:
        """Close without service; the client may retry after `again_ms`."""


C = TypeVar("C", bound=Client)


class Front(Generic[C]):
    """The connections of one front; the registry drives them."""

    def __init__(self, registry: Registry, bounds: Bounds, times: Times) -> None:
        self.registry, self.times = registry, times
        self.admission = Admission[C](bounds, registry.shared)
        self.counts: Counter[tuple[str, str]] = Counter()  # outcomes of connections
        self.port = 0
        self._acceptor: Acceptor | None = None
        self._closing: Iterator[C] | None = None
        self.inherited: int | None = None  # file descriptor of a listening socket passed to this process
        registry.rebuilders.append(self.admission.rebuild)

    def listen_with(
        self, make: Callable[[], C], reject_answer: Callable[[bytes], bytes], host: str, port: int
    ) -> None:
        """Start accepting. `make` creates a connection's protocol; `reject_answer` returns the answer
        to the bytes received on a connection that is rejected for lack of descriptors.
        """
        maker: Any = make  # connections are asyncio protocols, which a typing.Protocol can't express
        self._acceptor = Acceptor(self.registry, maker, self.times, reject_answer, self.counts)
        self.port = self._acceptor.listen(host, port, self.inherited)

    def stop_listening(self) -> None:
        """Close the listening socket; connections stay open."""
        if self._acceptor is not None:
            self._acceptor.close()

    def add_connection(self, connection: C) -> bool:
        """Admit a new connection, displacing one without open requests if the limit is reached.

        A sender may close a connection between requests. Returns whether the new connection is admitted.
        """
        now = self.registry.now()
        self.counts["clients", "joined"] += 1
        if (why := self.admission.rejection_reason()) is not None:
            victim = self.admission.eviction_candidate(now)
            if victim is None:
                self.reject_connection(connection, why)
                return False
            idle = Activity.IDLE <= victim.activity < Activity.LEAVING
            self.counts["clients", "displaced-resting" if idle else "displaced"] += 1
            self.admission.release(victim)
            victim.displace()  # still queued, as the way of closing depends on its activity
            self.admission.remove(victim)
        self.admission.add(connection, now)
        self.registry.arm(connection, now + self.times.handshake)
        return True

    def reject_connection(self, connection: C, why: Rejection) -> None:
        """Count the rejection and send the client its retry delay."""
        self.counts["clients", "turned-away"] += 1
        if self.registry.sheds_load:
            self.counts["clients", f"turned-away-{why.value}"] += 1
        registry = self.registry
        connection.reject(self.retry_delay_ms() if registry.sheds_load else registry.retry_spread.min_ms)

    def retry_delay_ms(self) -> int:
        """The delay in ms before a rejected client may retry, spread so that clients don't retry together."""
        return self.registry.overload.next_delay_ms(self.registry.retry_spread, self.registry.now())

    def set_activity(self, connection: C, activity: int) -> None:
        """Record what an admitted connection does now."""
        if connection in self.admission.members:  # not if it was displaced or rejected
            self.admission.set_activity(connection, activity, self.registry.now())

    def may_linger(self) -> bool:
        """Whether a closing connection may keep its descriptor until its peer has closed too.

        Connections that were rejected in a flood may use only `MAX_LINGERING` of the reserved descriptors.
        """
        return self.registry.open <= self.registry.settings.most + MAX_LINGERING

    def remove_connection(self, connection: C) -> None:
        """Forget a connection that is closed."""
        self.admission.remove(connection)
        self.registry.forget(connection)

    def set_partial_bytes(self, connection: C, count: int) -> None:
        """Record the buffered bytes of an incomplete command; above the limit the largest is abandoned."""
        largest = self.registry.set_partial_bytes(connection, count)
        if largest is not None:
            self.counts["clients", "buffers"] += 1
            self.registry.partial_bytes.set_bytes(largest, 0)
            largest.abandon_partial()

    def close_in_batches(self, close: Callable[[C], None]) -> None:
        """Close all connections, a batch per turn: thousands at once would block the loop."""
        self._closing = iter(list(self.admission.members))
        self._close_some(close, self._closing)

    def _close_some(self, close: Callable[[C], None], which: Iterator[C]) -> None:
        if self._closing is not which:
            return  # a later call has restarted the closing
        for count, connection in enumerate(which, 1):
            if connection in self.admission.members:
                close(connection)
            if count == BATCH:
                asyncio.get_running_loop().call_soon(self._close_some, close, which)
                return

    def report(self) -> dict[str, int]:
        """Connections by state; `parked` counts those idle without an incomplete command."""
        admission, partial = self.admission, self.registry.partial_bytes
        idle_partial = sum(item in admission.members and item.activity != Activity.BUSY for item in partial)
        return {
            "open": len(admission), "busy": admission.count(Activity.BUSY),
            "silent": admission.count(Activity.SILENT),
            "idle": admission.idle, "parked": admission.idle - idle_partial,
            "leaving": admission.count(Activity.LEAVING),
        }  # fmt: skip
