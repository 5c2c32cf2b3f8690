"""The runtime that every sender shares: core, journal, peers and clients, and their start and shutdown."""

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
from mountgauge.core.ports import MapSource, MessageOutcome, OutcomeReporter
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

# The other senders carry this one's share until it has restarted, so it serves as long as possible: 3.7 s.
# All times are seconds after SIGTERM.
_ACCEPT_UNTIL_S = 2.2  # new clients are accepted
_SEND_UNTIL_S = 3.0  # new attempts are sent
_EXIT_AT_S = 3.35  # attempts that are still in flight are left to the journal
_SUCCESSOR_UNTIL_S = 1.5  # clients are answered, where a newer process takes over
# A new process waits for a list for so long before it accepts clients; it has to be ready within 10 s.
_LIST_WAIT_S = 3.0
_LIST_CHECK_INTERVAL_S = 0.01


class LoopClock(SystemClocks):
    """The event loop's clock, and the wall clock."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        return self._loop.time()

    def call_at(self, when: float, then: Callable[[], None]) -> None:
        self._loop.call_at(when, then)


class Listener(Protocol):
    """A front, as the runtime starts and stops it."""

    async def listen(self, host: str, port: int) -> None: ...

    def stop_listening(self) -> None: ...

    def close_idle(self) -> None: ...

    def close(self) -> None: ...


class Source(MapSource, Protocol):
    """A source of the transport map that can be refreshed on request, and closed."""

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """The outcomes of its calls, and the causes that ended the lease on the list."""

    def state(self) -> Mapping[str, Any]:
        """Its fields of the state line."""

    def refresh_now(self) -> bool:
        """Refresh the list; False if the answer is still pending."""

    def close(self) -> None: ...


class LoggedOutcomes:
    """Logs the outcomes of messages where there is no platform to notify."""

    unacknowledged = 0

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Callable[[], None]) -> None:
        log.info("end", extra=kv(id=msg_id, status=outcome.status.value, again_ms=outcome.retry_after_ms))
        on_delivered()

    def close(self) -> None: ...


def socket_shares(sockets: int, workers: int) -> tuple[int, int]:
    """The numbers of connections for clients and for next hops, without `[clients]`."""
    clients, hops = shares(sockets, workers)
    return min(512, clients), hops


class Runtime:
    """A running sender. Its subclasses add the peers, listeners and subsystems."""

    next_hops: Router
    map: Source
    registry: Registry

    def __init__(self, config: Config, notices_at: Address | None) -> None:
        self.config = config
        self.notices: Notices | LoggedOutcomes = (
            Notices(notices_at) if notices_at is not None else LoggedOutcomes()
        )
        self.fronts: dict[str, OutcomeReporter] = {"platform": self.notices}
        clock = LoopClock()
        limits, zones = config.limits, config.names.zones
        self.journal = Journal(config.state, limits.disk_bytes, clock=clock, zones=zones)
        policy = Policy(config.settings, config.seed)
        self.sender = Sender(policy, config.names, self.journal, clock, self.fronts)
        self.listeners: list[tuple[Listener, Address]] = []
        self.subsystems: list[Subsystem] = []
        self.service: Service | None = None  # of the console
        self.accepting = False  # clients are accepted
        self.reload_retry = ReloadRetry(self.reload, "the old settings", log)
        self.handover = Handover(self.sender, self.journal, config.state, config.listen_fd is not None)

    def attach_peers(self) -> None:
        """Give the core its next hops and its transport map, once both exist."""
        self.sender.next_hops, self.sender.map = self.next_hops, self.map

    def add_console(self, front: Clients | None) -> None:
        """Add the console if it is configured; `front` has the clients that a lame duck closes."""
        if self.config.console is None:
            return
        from mountgauge.run.console import ConsoleSubsystem  # imported only where it is configured

        subsystem = ConsoleSubsystem(self.sender, front, self.registry, self.config, lambda: self.accepting)
        self.service = subsystem.service
        self.subsystems.append(subsystem)

    def reload(self) -> None:
        """SIGHUP: read the file again and apply what may change at run time; no connection is closed."""
        raise NotImplementedError

    @staticmethod
    def _log_reload(needs_restart: list[str]) -> None:
        log.info("reloaded", extra=kv(needs_restart=",".join(needs_restart) or "nothing"))

    def warn(self) -> None:
        """Log doubtful settings at the start."""

    # Reports

    def snapshot(self) -> Snapshot:
        """The counts and the load at this moment."""
        sender = self.sender
        counts = sender.counts + self.map.counts
        for listener, _ in self.listeners:
            if isinstance(listener, Front):
                counts.update(listener.counts)
        counts.update(self.registry.counts)
        violations = {str(rule): count for rule, count in sender.monitor.violations.items()}
        return Snapshot(counts, len(sender.pending), sender.slots_used, sender.rules.workers, violations)

    def report(self) -> Mapping[str, Any]:
        """The status page."""
        now = self.snapshot()
        found: dict[str, Any] = {
            "name": self.config.name, "held": now.pending, "slots_used": now.slots_used, "slots": now.slots,
            "next_hops": len(self.sender.hops), "connections_opened": self.next_hops.opened,
            "ends": {status: n for (kind, status), n in now.counts.items() if kind == "end"},
            "attempts": {outcome: n for (kind, outcome), n in now.counts.items() if kind == "attempt"},
            "withheld": {why: n for (kind, why), n in now.counts.items() if kind == "withheld"},
            "violations": now.violations,
        }  # fmt: skip
        for subsystem in self.subsystems:
            if section := subsystem.report():
                found[subsystem.name] = section
        return found

    def state(self) -> Mapping[str, Any]:
        """The fields that the list's source and the subsystems add to the state line."""
        found = dict(self.map.state())
        for subsystem in self.subsystems:
            found |= subsystem.state()
        return found

    # Start and shutdown

    def has_list(self) -> bool:
        """Whether the list may be used, so that accepted messages can be sent."""
        return True

    async def start(self, stop_requested: asyncio.Event | None = None) -> None:
        """Start the subsystems, the core and the listeners, in this order; a requested stop ends the wait
        for a list.
        """
        for subsystem in self.subsystems:
            await subsystem.start()
        self.sender.start(self.config.known)
        # The module asks for a watch only where the simulator would not deliver changes by itself; with real
        # sockets the watch always has to be started.
        self.map.watch(True)
        self.sender.on_wait = self.handover.share_waits
        await self.handover.begin()
        if self.service is not None:
            self.service.reload_detached()
        await self._await_list(stop_requested)
        for listener, address in self.listeners:
            await listener.listen(address.host, address.port)
        self.accepting = True
        for subsystem in self.subsystems:
            await subsystem.serve()

    async def _await_list(self, stop_requested: asyncio.Event | None) -> None:
        """Become ready only with a list that may be used, for a bounded time: until then every message would
        have to wait or be rejected, while other senders may have a list.
        """
        until = time.monotonic() + _LIST_WAIT_S
        while not self.has_list() and time.monotonic() < until:
            if stop_requested is not None and stop_requested.is_set():
                return
            await asyncio.sleep(_LIST_CHECK_INTERVAL_S)

    @property
    def needs_polling(self) -> bool:
        """Whether another process may share the folder or operators may call; else there are no wakeups."""
        return self.handover.sharing or self.service is not None or bool(self.journal.unadopted)

    def check_folder(self) -> None:
        """The periodic check for journals, waits and commands that other processes left in the folder."""
        self.handover.check_others()
        if self.service is not None:
            self.service.reload_detached()

    async def stop(self) -> None:
        """Serve through the hand-over, then close the clients, finish calls in flight, leave the remainder.

        Where a newer process accepts on the same socket, this one stops accepting at once and closes its
        clients as soon as each has its answer. Messages that it still has stay in the journal, which the
        newer process adopts after this one has exited.
        """
        began = time.monotonic()
        self.accepting = False
        handing = self.handover.successor()
        log.info("handing-over" if handing else "draining", extra=kv(held=len(self.sender.pending)))

        def left(until: float) -> float:
            return max(0.0, began + until - time.monotonic())

        if not handing:
            await asyncio.sleep(left(_ACCEPT_UNTIL_S))
        for listener, _ in self.listeners:
            listener.stop_listening()
            listener.close_idle()
        while left(_SUCCESSOR_UNTIL_S if handing else _SEND_UNTIL_S) and (
            (self.sender.pending and not handing) or self.registry.open
        ):
            await asyncio.sleep(0.02)
        self.sender.stop()
        while left(_EXIT_AT_S) and (self.next_hops.in_flight or self.notices.unacknowledged):
            await asyncio.sleep(0.02)
        for listener, _ in self.listeners:
            listener.close()
        for subsystem in self.subsystems:
            await subsystem.drain()
        await asyncio.sleep(0.05)  # lets the last answers leave
        self.close()

    def close(self) -> None:
        """Release all resources, in the reverse order of their creation."""
        self.reload_retry.cancel()
        for subsystem in reversed(self.subsystems):
            subsystem.stop()
        self.registry.close()
        self.map.close()
        self.notices.close()
        self.next_hops.close()
        self.journal.close()
