"""What both fronts share: who is let in, who goes, who is let go of, and closing them all in steps."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, Generic, Protocol, TypeVar

from mountgauge.connections.acceptor import Acceptor
from mountgauge.connections.admission import Activity, Admission, Bounds, Refusal
from mountgauge.connections.registry import BATCH, Registered, Registry
from mountgauge.connections.settings import Times

LINGERING = 16  # connections without a place that may be read on from: of the spare descriptors


class Client(Registered, Protocol):
    """A connection as its front sees it."""

    activity: int
    since: float
    user: str

    def displace(self) -> None:
        """Go for another's sake."""

    def reject(self, again_ms: int) -> None:
        """There is no place."""


C = TypeVar("C", bound=Client)


class Front(Generic[C]):
    """The connections of one front, in the registry's hands."""

    def __init__(self, registry: Registry, bounds: Bounds, times: Times) -> None:
        self.registry, self.times = registry, times
        self.admission = Admission[C](bounds, registry.shared)
        self.counts: Counter[tuple[str, str]] = Counter()  # how connections fared
        self.port = 0
        self._acceptor: Acceptor | None = None
        self._closing: Iterator[C] | None = None
        self.inherited: int | None = None  # a listening socket that this process was given
        registry.tables.append(self.admission.make_anew)

    def listen_with(
        self, make: Callable[[], C], full: Callable[[bytes], bytes], host: str, port: int
    ) -> None:
        """Accept from now on; `make` gives a protocol for each connection, `full` what one without any hears
        to what it has sent.
        """
        maker: Any = make  # a front's connections are protocols, which a Protocol class can't say
        self._acceptor = Acceptor(self.registry, maker, self.times, full, self.counts)
        self.port = self._acceptor.listen(host, port, self.inherited)

    def stop_listening(self) -> None:
        if self._acceptor is not None:
            self._acceptor.close()

    def add_connection(self, connection: C) -> bool:
        """Descriptors are bounded: one that asks nothing goes, as a sender may close between requests."""
        now = self.registry.now()
        self.counts["clients", "joined"] += 1
        if (why := self.admission.need()) is not None:
            victim = self.admission.victim(now)
            if victim is None:
                self.turned_away(connection, why)
                return False
            resting = Activity.IDLE <= victim.activity < Activity.LEAVING
            self.counts["clients", "displaced-resting" if resting else "displaced"] += 1
            self.admission.give_up(victim)
            victim.displace()  # by where it stands still: one that rests is shut in order
            self.admission.left(victim)
        self.admission.join(connection, now)
        self.registry.arm(connection, now + self.times.handshake)
        return True

    def turned_away(self, connection: C, why: Refusal) -> None:
        self.counts["clients", "turned-away"] += 1
        if self.registry.sheds_load:
            self.counts["clients", f"turned-away-{why.value}"] += 1
        registry = self.registry
        connection.reject(self.retry_delay_ms() if registry.sheds_load else registry.retry_spread.least_ms)

    def retry_delay_ms(self) -> int:
        """ms after which one that is turned away may come again: spread, so that not all come at once."""
        return self.registry.overload.again_ms(self.registry.retry_spread, self.registry.now())

    def set_activity(self, connection: C, activity: int) -> None:
        """It has begun or ended to ask for something, or is going."""
        if connection in self.admission.members:  # one displaced or turned away has no place any more
            self.admission.set_activity(connection, activity, self.registry.now())

    def may_linger(self) -> bool:
        """Whether one that goes may keep its descriptor until its peer has ended as well: those of a flood,
        which have no place, may take a few of the spare ones and no more.
        """
        return self.registry.open <= self.registry.settings.most + LINGERING

    def remove_connection(self, connection: C) -> None:
        self.admission.left(connection)
        self.registry.forget(connection)

    def set_partial_bytes(self, connection: C, count: int) -> None:
        """Bytes of a command that is not whole: past the bound on all, whoever holds most goes."""
        most = self.registry.set_partial_bytes(connection, count)
        if most is not None:
            self.counts["clients", "buffers"] += 1
            self.registry.half.hold(most, 0)
            most.abandon_partial()

    def close_in_batches(self, close: Callable[[C], None]) -> None:
        """Some in each turn of the loop: thousands at once would keep it from all else."""
        self._closing = iter(list(self.admission.members))
        self._close_some(close, self._closing)

    def _close_some(self, close: Callable[[C], None], which: Iterator[C]) -> None:
        if self._closing is not which:
            return  # begun anew since
        for count, connection in enumerate(which, 1):
            if connection in self.admission.members:
                close(connection)
            if count == BATCH:
                asyncio.get_running_loop().call_soon(self._close_some, close, which)
                return

    def report(self) -> dict[str, int]:
        admission, half = self.admission, self.registry.half
        halfway = sum(one in admission.members and one.activity != Activity.BUSY for one in half)
        return {
            "open": len(admission), "busy": admission.count(Activity.BUSY),
            "silent": admission.count(Activity.SILENT),
            "idle": admission.resting, "parked": admission.resting - halfway,
            "leaving": admission.count(Activity.LEAVING),
        }  # fmt: skip
