"""What every sender is made of, whoever set it up: core, journal, peers, clients, and its start and end."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from mountgauge.clients import Clients
from mountgauge.connections.descriptors import shares
from mountgauge.connections.front import Front
from mountgauge.connections.registry import Registry
from mountgauge.core.config import Address, Config
from mountgauge.core.durable_time import SystemClocks
from mountgauge.core.journal import Journal
from mountgauge.core.ports import End, MapSource, SenderSide
from mountgauge.core.sender import Sender
from mountgauge.log import kv
from mountgauge.notices import Notices
from mountgauge.router import Router
from mountgauge.run.handover import Handover
from mountgauge.run.reload_retry import ReloadRetry
from mountgauge.run.subsystem import Subsystem
from mountgauge.snapshot import Snapshot
from rillspindle import Policy

if TYPE_CHECKING:
    from mountgauge.console.service import Service

log = logging.getLogger("mountgauge.run")

# The others carry this one's share until it is back, so it serves as long as it may: 3.7 s.
_HAND_OVER = 2.2  # s after SIGTERM in which clients may still come
_LAST_ATTEMPT = 3.0  # s after SIGTERM from which nothing new is sent
_LEAVE = 3.35  # s after SIGTERM at which what is still out is left to the journal
_TO_SUCCESSOR = 1.5  # s after SIGTERM for clients to be answered, where a newer process takes over


class LoopClock(SystemClocks):
    """The event loop's clock, and the wall clock."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        return self._loop.time()

    def call_at(self, when: float, then: Callable[[], None]) -> None:
        self._loop.call_at(when, then)


class Listener(Protocol):
    """A front as the runtime starts and ends it."""

    async def listen(self, host: str, port: int) -> None: ...

    def stop_listening(self) -> None: ...

    def close_idle(self) -> None: ...

    def close(self) -> None: ...


class Source(MapSource, Protocol):
    """A source of the transport map that can be told to look, and closed."""

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """What has become of its calls, and what ended the lease on the list."""

    def state(self) -> Mapping[str, Any]:
        """For the state line."""

    def look_now(self) -> bool:
        """Look at the list anew; whether that is done, or its answer is still to come."""

    def close(self) -> None: ...


class LoggedEnds:
    """Where no platform is to be told of ends, the log is."""

    owed = 0

    def tell(self, msg_id: str, end: End, told: Callable[[], None]) -> None:
        log.info("end", extra=kv(id=msg_id, status=end.status.value, again_ms=end.again_ms))
        told()

    def close(self) -> None: ...


def socket_shares(sockets: int, workers: int) -> tuple[int, int]:
    """How many connections clients and next hops may have, without `[clients]`."""
    clients, hops = shares(sockets, workers)
    return min(512, clients), hops


class Runtime:
    """A sender as one running thing. Who sets it up gives it peers, listeners and subsystems."""

    next_hops: Router
    map: Source
    registry: Registry

    def __init__(self, config: Config, notices_at: Address | None) -> None:
        self.config = config
        self.notices: Notices | LoggedEnds = Notices(notices_at) if notices_at is not None else LoggedEnds()
        self.fronts: dict[str, SenderSide] = {"platform": self.notices}
        clock = LoopClock()
        self.journal = Journal(config.state, config.limits.disk_bytes, clock=clock)
        policy = Policy(config.settings, config.seed)
        self.sender = Sender(policy, config.names, self.journal, clock, self.fronts)
        self.listeners: list[tuple[Listener, Address]] = []
        self.subsystems: list[Subsystem] = []
        self.service: Service | None = None  # the console's
        self.taking = False  # clients are accepted
        self.reload_retry = ReloadRetry(self.reload, "the old settings", log)
        self.handover = Handover(self.sender, self.journal, config.state, config.listen_fd is not None)

    def connect(self) -> None:
        """The peers stand: the core learns of them."""
        self.sender.next_hops, self.sender.map = self.next_hops, self.map

    def add_console(self, front: Clients | None) -> None:
        """The console, where one is asked for; `front` is whose clients a lame duck lets go."""
        if self.config.console is None:
            return
        from mountgauge.run.console import ConsoleSubsystem  # imported only where it is asked for

        subsystem = ConsoleSubsystem(self.sender, front, self.registry, self.config, lambda: self.taking)
        self.service = subsystem.service
        self.subsystems.append(subsystem)

    def reload(self) -> None:
        """SIGHUP: read the file again. What may change while it runs moves; nothing is closed for it."""
        raise NotImplementedError

    @staticmethod
    def _told(needs_restart: list[str]) -> None:
        log.info("reloaded", extra=kv(needs_restart=",".join(needs_restart) or "nothing"))

    def warn(self) -> None:
        """Say at the start what whoever set it up should look at."""

    # What others are told

    def snapshot(self) -> Snapshot:
        sender = self.sender
        counts = sender.counts + self.map.counts
        for listener, _ in self.listeners:
            if isinstance(listener, Front):
                counts.update(listener.counts)
        counts.update(self.registry.counts)
        violations = {str(rule): count for rule, count in sender.monitor.violations.items()}
        return Snapshot(counts, len(sender.held), sender.calls, sender.rules.workers, violations)

    def report(self) -> Mapping[str, Any]:
        now = self.snapshot()
        found: dict[str, Any] = {
            "name": self.config.name, "held": now.held, "slots_used": now.slots_used, "slots": now.slots,
            "next_hops": len(self.sender.hops), "connections_opened": self.next_hops.opened,
            "ends": {status: n for (kind, status), n in now.counts.items() if kind == "end"},
            "attempts": {outcome: n for (kind, outcome), n in now.counts.items() if kind == "attempt"},
            "withheld": {why: n for (kind, why), n in now.counts.items() if kind == "withheld"},
            "violations": now.violations,
        }  # fmt: skip
        for subsystem in self.subsystems:
            if said := subsystem.report():
                found[subsystem.name] = said
        return found

    def state(self) -> Mapping[str, Any]:
        """What the list's source and the subsystems add to the state line."""
        found = dict(self.map.state())
        for subsystem in self.subsystems:
            found |= subsystem.state()
        return found

    # Start and end

    async def start(self) -> None:
        for subsystem in self.subsystems:
            await subsystem.start()
        self.sender.start(self.config.known)
        # The module asks for a watch only where the simulator would not bring changes by itself; on sockets
        # somebody always has to ask.
        self.map.watch(True)
        self.sender.on_wait = self.handover.tell
        await self.handover.begin()
        if self.service is not None:
            self.service.reload_detached()
        for listener, address in self.listeners:
            await listener.listen(address.host, address.port)
        self.taking = True
        for subsystem in self.subsystems:
            await subsystem.serve()

    @property
    def polls(self) -> bool:
        """Only where another process may share the folder, or operators may call: else no wakeups at all."""
        return self.handover.sharing or self.service is not None or bool(self.journal.others)

    def look(self) -> None:
        """Now and then: what another process on this folder has left or told."""
        self.handover.look()
        if self.service is not None:
            self.service.reload_detached()

    async def stop(self) -> None:
        """Answer through the hand-over, then let go of the clients, finish what is out, leave the rest.

        Where a newer process accepts on the same socket, this one stops accepting at once and lets go of
        its clients as soon as each is answered; what it still holds is left to the journal that the
        newer one adopts once this one has gone.
        """
        began = time.monotonic()
        self.taking = False
        handing = self.handover.successor()
        log.info("handing-over" if handing else "draining", extra=kv(held=len(self.sender.held)))

        def left(until: float) -> float:
            return max(0.0, began + until - time.monotonic())

        if not handing:
            await asyncio.sleep(left(_HAND_OVER))
        for listener, _ in self.listeners:
            listener.stop_listening()
            listener.close_idle()
        while left(_TO_SUCCESSOR if handing else _LAST_ATTEMPT) and (
            (self.sender.held and not handing) or self.registry.open
        ):
            await asyncio.sleep(0.02)
        self.sender.stop()
        while left(_LEAVE) and (self.next_hops.out or self.notices.owed):
            await asyncio.sleep(0.02)
        for listener, _ in self.listeners:
            listener.close()
        for subsystem in self.subsystems:
            await subsystem.drain()
        await asyncio.sleep(0.05)  # the last answers leave
        self.close()

    def close(self) -> None:
        self.reload_retry.cancel()
        for subsystem in reversed(self.subsystems):
            subsystem.stop()
        self.registry.close()
        self.map.close()
        self.notices.close()
        self.next_hops.close()
        self.journal.close()
