"""A relay process: the state machine of `mountgauge.sharding.relay` with its server, upstream and status."""

from __future__ import annotations

import asyncio
import gc
import logging
import math
import signal
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from mountgauge.core.config import ConfigError
from mountgauge.log import kv
from mountgauge.otlp import Exporter
from mountgauge.relay import wire
from mountgauge.relay.follower import Follower
from mountgauge.relay.placement_keeper import PlacementKeeper
from mountgauge.relay.report import RelayReport, no_messages
from mountgauge.relay.server import Exchange, PollServer
from mountgauge.relay.settings import RelayFile, load_relay
from mountgauge.run import SIGNALS, block_signals
from mountgauge.run.reload_retry import ReloadRetry
from mountgauge.sharding.list_watch import ListWatch
from mountgauge.sharding.messages import Refusal, RefusalReason, Reply
from mountgauge.sharding.picker import Picker
from mountgauge.sharding.relay import HeldAsk, Relay
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.upstream import Call, Update
from mountgauge.status import StatusServer

log = logging.getLogger("mountgauge.relay")

_STATE_INTERVAL_S = 5.0
_LOG_INTERVAL_S = 1.0  # between log lines for unreadable asks, and for changes
_RUN_BITS = 53  # of the number of a process run: JSON readers with doubles parse it exactly
_FIXED_SETTINGS = (
    "name", "zone", "listen", "shards", "discovery", "relays", "timing", "limits", "relay", "log_limit",
    "placement", "placement_step_s", "state", "status", "otlp",
)  # fmt: skip  # settings whose change needs a restart
_CLOSE_DELAY_S = 0.05  # for the last answers to be sent


class RelayService:
    """One relay in the running event loop."""

    def __init__(self, file: RelayFile, seed: int | None = None) -> None:
        """`seed` seeds all random choices; None: the operating system does."""
        self.file = file
        self._loop = asyncio.get_running_loop()
        self._rng = Random(seed)
        self.placement = PlacementKeeper(file)
        self.relay = self._make_relay()
        self.server = PollServer(self._handle, file.limits)
        addresses = file.relays.addresses if file.relays is not None else {}
        self.follower = Follower(
            self.relay, addresses, file.discovery, file.shards.count, self._on_update, self._on_turn
        )
        self.counts: Counter[str] = Counter()  # unreadable_asks
        self._open_polls: dict[int, Exchange] = {}  # by number of the held ask
        self.report = RelayReport(
            file, self.relay, self.server, self.follower, self._open_polls, self.counts, self._loop.time
        )
        self.status = StatusServer(self.report.status, {"/shards": self.report.shards})
        self.exporter = self._make_exporter()
        self._step_timer: asyncio.TimerHandle | None = None
        self._unreadable_logged_at = self._changes_logged_at = -math.inf
        self._unlogged_changes = 0  # of shards
        self._was_ready = False
        self.reload_retry = ReloadRetry(self.reload, "the old settings", log)
        self.on_first_sync: Callable[[], None] = _ignore  # called once the full list is first received

    def _make_relay(self) -> Relay:
        file = self.file
        store = ShardStore(file.shards.count, file.log_limit)
        upstream: Subscription | ListWatch
        if file.relays is None:
            upstream = ListWatch(store, file.timing, self._rng)
        else:
            picker = Picker(file.relays.names, file.zone, file.timing, self._rng)
            upstream = Subscription(file.name, store, picker, file.timing, self._rng, all_shards=True)
        run = self._rng.getrandbits(_RUN_BITS)
        return Relay(file.name, upstream, file.relay, self.placement.placement, run)

    def _make_exporter(self) -> Exporter | None:
        otlp = self.file.otlp
        if otlp is None:
            return None
        return Exporter(
            otlp.host, otlp.port, otlp.path, otlp.interval, self.file.name, no_messages,
            measured=self.report.metrics,
        )  # fmt: skip

    # Start and stop

    async def start(self) -> None:
        """Listen, and start following the upstream."""
        await self.server.listen(self.file.listen)
        if self.file.status is not None:
            await self.status.listen(self.file.status)
        if self.exporter is not None:
            self.exporter.start()
        self.follower.start()
        self._schedule_step()

    async def stop(self) -> None:
        """Refuse the open polls, so that their askers go to another relay, then close."""
        for number, exchange in list(self._open_polls.items()):
            self.relay.drop(number)
            self._answer(exchange, Refusal(RefusalReason.NOT_READY, 0.0))
        await asyncio.sleep(_CLOSE_DELAY_S)
        self.close()

    def close(self) -> None:
        """Cancel all timers and close all sockets."""
        self.reload_retry.cancel()
        if self._step_timer is not None:
            self._step_timer.cancel()
        if self.exporter is not None:
            self.exporter.close()
        self.follower.close()
        self.server.close()
        self.status.close()

    # Asks

    def _handle(self, exchange: Exchange) -> None:
        if exchange.method != "POST" or exchange.target != wire.PATH:
            exchange.answer(404, b"{}")
            return
        try:
            ask = wire.decode_ask(exchange.request.body, self.file.shards.count)
        except wire.UnreadableMessageError as error:
            self._count_unreadable(error)
            exchange.answer(*wire.encode_error(error))
            return
        now = self._loop.time()
        before = exchange.replace_peer_name(ask.asker)
        if before not in ("", ask.asker):  # else a peer could reserve all snapshots, under ever new names
            self.relay.asker_gone(before)
        reply = self.relay.ask(ask, now)
        if not isinstance(reply, HeldAsk):
            self._answer(exchange, reply)
            return
        self._open_polls[reply.number] = exchange
        exchange.on_disconnect = partial(self._on_disconnect, reply.number)
        self.follower.wake_by(now + ask.wait_s)

    def _count_unreadable(self, error: wire.UnreadableMessageError) -> None:
        self.counts["unreadable_asks"] += 1
        now = self._loop.time()
        if now - self._unreadable_logged_at >= _LOG_INTERVAL_S:
            self._unreadable_logged_at = now
            log.warning("ask-not-read", extra=kv(error=error, times=self.counts["unreadable_asks"]))

    @staticmethod
    def _answer(exchange: Exchange, reply: Reply) -> None:
        exchange.answer(*wire.encode_reply(reply))

    def _on_disconnect(self, number: int) -> None:
        self._open_polls.pop(number, None)
        self.relay.drop(number)

    def _on_turn(self, now: float) -> None:
        for number, reply in self.relay.take_ready(now):
            if (exchange := self._open_polls.pop(number, None)) is not None:
                self._answer(exchange, reply)

    def _on_update(self, call: Call, update: Update) -> None:
        if not self.relay.upstream.ready:
            return
        if not self._was_ready:
            self._was_ready = True
            log.info("whole", extra=kv(version=self.relay.store.as_of, shards=len(self.relay.store)))
            self.on_first_sync()
        elif update.shards:
            self._log_changes(len(update.shards))

    def _log_changes(self, shards: int) -> None:
        """Log at most one line per interval, with the changes since the last one."""
        self._unlogged_changes += shards
        now = self._loop.time()
        if now - self._changes_logged_at >= _LOG_INTERVAL_S:
            log.info("changed", extra=kv(version=self.relay.store.as_of, shards=self._unlogged_changes))
            self._changes_logged_at, self._unlogged_changes = now, 0

    # Placement

    def _schedule_step(self) -> None:
        self._step_timer = self._loop.call_later(self.file.placement_step_s, self._step)

    def _step(self) -> None:
        """Make the next moves of the placement, if any are pending."""
        self._schedule_step()
        if changed := self.placement.step():
            self.relay.placement_changed(changed)
            self.follower.turn()

    def reload(self) -> None:
        """Reload the members' file on SIGHUP, and log which other changed settings need a restart."""
        try:
            file = load_relay(self.file.path)
            self.placement.adopt(file.members)
        except ConfigError as error:
            self.reload_retry.failed(error)
            return
        changed = [name for name in _FIXED_SETTINGS if getattr(file, name) != getattr(self.file, name)]
        if (file.members is None) != (self.file.members is None):
            changed.append("members")
        epoch = file.members.epoch if file.members is not None else 0
        log.info("reloaded", extra=kv(epoch=epoch, needs_restart=",".join(changed) or "nothing"))


def _ignore() -> None:
    """Do nothing."""


async def serve(file: RelayFile) -> None:
    """Run a relay until SIGTERM or SIGINT."""
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    service = RelayService(file, seed=time.time_ns())
    await service.start()
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # signals received earlier are handled now
    # The store is long-lived and has no reference cycles: it is frozen, which keeps collections short.
    gc.set_threshold(20_000, 20, 50)
    service.on_first_sync = gc.freeze
    listen = f"{file.listen.host}:{service.server.port}"
    log.info("ready", extra=kv(name=file.name, zone=file.zone, listen=listen, shards=file.shards.count,
                               connections=file.limits.connections))  # fmt: skip
    state_task = loop.create_task(_log_state(service))
    await stop_requested.wait()
    state_task.cancel()
    await service.stop()
    block_signals()
    log.info("stopped", extra=kv(version=service.relay.store.as_of))


async def _log_state(service: RelayService) -> None:
    while True:
        await asyncio.sleep(_STATE_INTERVAL_S)
        page = service.report.status()
        log.info("state", extra=kv(version=page["version"], staleness_s=page["staleness_s"],
                                   polls=page["polls"], connections=page["connections"],
                                   source=page["upstream"]["source"]))  # fmt: skip
