"""What both fronts share: who is let in, who goes, who is let go of, and closing them all in steps."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, Generic, Protocol, TypeVar

from mountgauge.holding.door import Door
from mountgauge.holding.keeper import BATCH, Keeper, Kept
from mountgauge.holding.seats import Bounds, Line, Refusal, Seats
from mountgauge.holding.settings import Times

LINGERING = 16  # connections without a place that may be read on from: of the spare descriptors


class Client(Kept, Protocol):
    """A connection as its front sees it."""

    line: int
    since: float
    user: str

    def displace(self) -> None:
        """Go for another's sake."""

    def turn_away(self, again_ms: int) -> None:
        """There is no place."""


C = TypeVar("C", bound=Client)


class Front(Generic[C]):
    """The connections of one front, in the keeper's hands."""

    def __init__(self, keeper: Keeper, bounds: Bounds, times: Times) -> None:
        self.keeper, self.times = keeper, times
        self.seats = Seats[C](bounds, keeper.shared)
        self.counts: Counter[tuple[str, str]] = Counter()  # how connections fared
        self.port = 0
        self._door: Door | None = None
        self._closing: Iterator[C] | None = None
        self.inherited: int | None = None  # a listening socket that this process was given
        keeper.tables.append(self.seats.make_anew)

    def listen_with(self, make: Callable[[], C], full: Callable[[], bytes], host: str, port: int) -> None:
        """Accept from now on; `make` gives a protocol for each connection, `full` what one hears at most."""
        maker: Any = make  # a front's connections are protocols, which a Protocol class can't say
        self._door = Door(self.keeper, maker, self.times, full, self.counts)
        self.port = self._door.listen(host, port, self.inherited)

    def stop_listening(self) -> None:
        if self._door is not None:
            self._door.close()

    def joined(self, connection: C) -> bool:
        """Descriptors are bounded: one that asks nothing goes, as a sender may close between requests."""
        now = self.keeper.now()
        self.counts["clients", "joined"] += 1
        if (why := self.seats.need()) is not None:
            victim = self.seats.victim(now)
            if victim is None:
                self.turned_away(connection, why)
                return False
            resting = Line.RESTING <= victim.line < Line.LEAVING
            self.counts["clients", "displaced-resting" if resting else "displaced"] += 1
            self.seats.give_up(victim)
            victim.displace()  # by where it stands still: one that rests is shut in order
            self.seats.left(victim)
        self.seats.join(connection, now)
        self.keeper.arm(connection, now + self.times.handshake)
        return True

    def turned_away(self, connection: C, why: Refusal) -> None:
        self.counts["clients", "turned-away"] += 1
        if self.keeper.sheds:
            self.counts["clients", f"turned-away-{why.value}"] += 1
        connection.turn_away(self.come_again() if self.keeper.sheds else self.keeper.spread.least_ms)

    def come_again(self) -> int:
        """ms after which one that is turned away may come again: spread, so that not all come at once."""
        return self.keeper.crowd.again_ms(self.keeper.spread, self.keeper.now())

    def stand(self, connection: C, line: int) -> None:
        """It has begun or ended to ask for something, or is going."""
        if connection in self.seats.members:  # one displaced or turned away has no place any more
            self.seats.stand(connection, line, self.keeper.now())

    def may_linger(self) -> bool:
        """Whether one that goes may keep its descriptor until its peer has ended as well: those of a flood,
        which have no place, may take a few of the spare ones and no more.
        """
        return self.keeper.open <= self.keeper.settings.most + LINGERING

    def left(self, connection: C) -> None:
        self.seats.left(connection)
        self.keeper.forget(connection)

    def holds(self, connection: C, count: int) -> None:
        """Bytes of a command that is not whole: past the bound on all, whoever holds most goes."""
        most = self.keeper.holds(connection, count)
        if most is not None:
            self.counts["clients", "buffers"] += 1
            self.keeper.half.hold(most, 0)
            most.abort()

    def close_each(self, close: Callable[[C], None]) -> None:
        """Some in each turn of the loop: thousands at once would keep it from all else."""
        self._closing = iter(list(self.seats.members))
        self._close_some(close, self._closing)

    def _close_some(self, close: Callable[[C], None], which: Iterator[C]) -> None:
        if self._closing is not which:
            return  # begun anew since
        for count, connection in enumerate(which, 1):
            if connection in self.seats.members:
                close(connection)
            if count == BATCH:
                asyncio.get_running_loop().call_soon(self._close_some, close, which)
                return

    def report(self) -> dict[str, int]:
        seats = self.seats
        halfway = sum(one in seats.members and one.line != Line.BUSY for one in self.keeper.half)
        return {
            "open": len(seats), "busy": seats.count(Line.BUSY), "silent": seats.count(Line.SILENT),
            "idle": seats.resting, "parked": seats.resting - halfway,
            "leaving": seats.count(Line.LEAVING),
        }  # fmt: skip
