"""The transport map of a sender that serves some of the destinations: shards that it follows at relays.

Updates of the subscription become next hops for the core. The map decides for which destinations this sender
accepts messages, and follows the shards of pending messages until the last of them has its outcome. The last
list is stored in the state folder.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from random import Random
from typing import Any

from mountgauge.core.config import Address, ConfigError, MapUpdate
from mountgauge.core.durable_time import Clocks, SystemClocks, age, read_clocks
from mountgauge.core.list_lease import LeaseEnd, LeaseTerms
from mountgauge.core.ports import NextHop
from mountgauge.lease_log import LeaseLog
from mountgauge.log import kv
from mountgauge.platform.discovery import MapOwner
from mountgauge.platform.watch_bounds import NOTIFIED_AFTER_S
from mountgauge.relay.follower import Follower
from mountgauge.relay.kept_list import KeptList, KeptListError, KeptListFile
from mountgauge.relay.settings import SenderSharding
from mountgauge.sharding.evidence import RelayEvidence, RelayFailure
from mountgauge.sharding.messages import PlacementUpdate
from mountgauge.sharding.picker import Picker
from mountgauge.sharding.shards import NO_VERSION, EndpointRecord, EndpointState, shard_of
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.upstream import Call, Lane, RelayCall, Update
from rillspindle.interface import Entry, Readiness

log = logging.getLogger("mountgauge.sharding")

DRAIN_GRACE_S = 0.25  # default of the rules
_SAVE_DELAY_S = 0.5  # from a change to the write, so that changes in a burst are written once
_MAX_LOGGED_SHARDS = 32  # of a placement
_READINESS = {EndpointState.ACTIVE: Readiness.READY, EndpointState.LEAVING: Readiness.DRAINING}


def next_hop(record: EndpointRecord, rate_per_weight: float) -> NextHop:
    """Return the core's form of an endpoint; ConfigError if its address can't be parsed."""
    address = Address.parse(record.address, "addr")
    entry = Entry(
        readiness=_READINESS[record.state],
        boot_time=record.started_ms / 1000,
        scale=record.weight * rate_per_weight,
        zone=0,
        owner=record.destination,
        kind=0,
        endpoint=record.id.encode(),
    )
    return NextHop(record.id, address.host, address.port, entry)


def removed_hop(record: EndpointRecord) -> NextHop:
    """Return the core's form of a removed endpoint."""
    entry = Entry(Readiness.GONE, 0.0, 0.0, 0, record.destination, 0, record.id.encode())
    return NextHop(record.id, "", 0, entry)


def removed_records(update: Update) -> Iterator[EndpointRecord]:
    """Return the endpoints that an update removes, without those that it moves to another destination."""
    put = {record.id for record in update.put}
    return (record for record in update.removed if record.id not in put)


class ShardMap:
    """Transport map of the core, and the destinations for which it accepts messages, from a subscription."""

    def __init__(
        self,
        owner: MapOwner,
        settings: SenderSharding,
        name: str,
        folder: Path,
        seed: int | None = None,
        clocks: Clocks | None = None,
        drain_grace_s: float = DRAIN_GRACE_S,
    ) -> None:
        self._owner, self._settings = owner, settings
        self._clocks = clocks or SystemClocks()
        self._loop = asyncio.get_running_loop()
        rng = Random(seed)
        self.store = ShardStore(settings.shards.count, log_limit=0)
        picker = Picker(settings.relays.names, settings.zone, settings.timing, rng)
        self.subscription = Subscription(name, self.store, picker, settings.timing, rng)
        self.follower = Follower(
            self.subscription, settings.relays.addresses, None, settings.shards.count, self._on_answer,
            on_failure=self._on_failure,
        )  # fmt: skip
        terms = LeaseTerms(NOTIFIED_AFTER_S, drain_grace_s, resumes=True)
        self._evidence = RelayEvidence(terms, settings.relays.addresses)
        self._lease_log = LeaseLog()
        self.on_renewed: Callable[[], None] = lambda: None  # called when calls are allowed again
        self.rejections = 0
        self.last_rejection = ""
        self._messages: dict[int, int] = {}  # by shard: pending messages of the core
        self._finished: list[int] = []  # shards of finished messages, to be reported to the subscription
        self._check_since: float | None = None  # when `refresh_now` was called; None: no check is pending
        self._no_placement_logged = False
        self._file = KeptListFile(folder, settings.shards.count)
        self._save_timer: asyncio.TimerHandle | None = None

    # Start

    def known(self, destinations: Iterable[int]) -> MapUpdate:
        """Restore the list that a previous process stored: the shards that are placed here, and the shards of
        `destinations`, for which there are messages.
        """
        try:
            kept = self._file.read()
        except KeptListError as error:
            log.warning("kept-list-not-read", extra=kv(error=error))
            kept = None
        if kept is None:
            return MapUpdate(NO_VERSION, True, ())
        needed = {placed.shard for placed in kept.placement.shards} | set(map(self.shard, destinations))
        snapshots = [snapshot for snapshot in kept.snapshots if snapshot.shard in needed]
        age_s = age(kept.confirmed, read_clocks(self._clocks))
        update = self.subscription.restore(snapshots, kept.placement, self._loop.time() - age_s)
        log.info("kept-list", extra=kv(shards=len(snapshots), epoch=kept.placement.epoch,
                                       staleness_s=round(age_s, 3)))  # fmt: skip
        return self._map_update(True, update)

    def start(self) -> None:
        """Start following the shards at the relays."""
        self.follower.start()

    # The core's map

    def watch(self, on: bool) -> None:
        """Do nothing: the subscription watches and retries by itself."""

    def snapshot(self) -> None:
        """Pass the core the full list in its current state."""
        records = [record for shard in self.store.shards() for record in self.store.records(shard).values()]
        self._notify_core(self._map_update(True, Update(put=tuple(records))))

    def refresh_now(self) -> bool:
        """Request a check of the list: it is done with the first answer to a watch call made from now on."""
        self._check_since = self._loop.time()
        return False

    def close(self) -> None:
        """Store the list, and stop following the shards."""
        if self._save_timer is not None:
            self._save_timer.cancel()
        self.save()
        self.follower.close()

    def _notify_core(self, update: MapUpdate) -> None:
        self._owner.list_changed(update)

    def _version(self) -> int:
        versions = [self.store.version(shard) for shard in self.store.shards()]
        return max(versions, default=NO_VERSION)

    def _map_update(self, full: bool, update: Update) -> MapUpdate:
        """Give each entry the version of its shard: a released shard may be fetched again at an older one."""
        records = [*update.removed, *update.put]
        versions = {record.id: self.store.version(self.shard(record.destination)) for record in records}
        return MapUpdate(self._version(), full, self._hops(update), versions=versions)

    def _hops(self, update: Update) -> tuple[NextHop, ...]:
        hops = [removed_hop(record) for record in removed_records(update)]
        for record in update.put:
            try:
                hops.append(next_hop(record, self._settings.rate_per_weight))
            except ConfigError as error:  # the other entries stay valid
                log.warning("entry-not-read", extra=kv(id=record.id, error=error))
                hops.append(removed_hop(record))
        return tuple(hops)

    # The lease on the list

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """How often the lease on the list ended, by reason."""
        return self._lease_log.counts

    def state(self) -> Mapping[str, Any]:
        """Fields of the state line: whether calls may use the list, and the age of the newest evidence."""
        return self._lease_log.state(self._loop.time() - self._evidence.lease.evidence_at)

    def lease_end_reason(self, dest: int) -> LeaseEnd | None:
        """Return why no call may use the list now; None if calls may use it."""
        now = self._loop.time()
        end_reason = self._evidence.end_reason(now)
        self._lease_log.record(end_reason, now - self._evidence.lease.evidence_at)
        return end_reason

    def _on_failure(self, call: Call, failure: RelayFailure) -> None:
        if isinstance(call, RelayCall):
            self._evidence.failed(call, failure, self._loop.time())
            self._check_renewal()

    def _check_renewal(self) -> None:
        was_ended = self._lease_log.end_reason is not None
        if was_ended and self.lease_end_reason(NO_VERSION) is None:
            self.on_renewed()

    # From the subscription

    def _on_answer(self, call: Call, update: Update) -> None:
        self._apply(call, update)
        if isinstance(call, RelayCall) and not update.rejections:
            self._evidence.answered(call)
            self._check_renewal()

    def _apply(self, call: Call, update: Update) -> None:
        if update.rejections:
            self.rejections += len(update.rejections)
            self.last_rejection = f"{update.rejections[-1].source}: {update.rejections[-1].reason}"
        if update.placement is not None:
            self._on_placement(update.placement)
        elif self.subscription.placement.revision == NO_VERSION:
            self._log_no_placement(call)
        check_done = self._completes_check(call)
        if update.put or update.removed or check_done:
            self._on_change(update)

    def _log_no_placement(self, call: Call) -> None:
        if not self._no_placement_logged and isinstance(call, RelayCall) and call.lane is Lane.WATCH:
            self._no_placement_logged = True
            log.warning("no-placement", extra=kv(relay=call.relay, why="its file names no members"))

    def _on_change(self, update: Update) -> None:
        map_update = self._map_update(False, update)
        if map_update.hops:
            log.info("map", extra=kv(version=map_update.version, changed=len(map_update.hops)))
            self._save_later()
        self._notify_core(map_update)

    def _on_placement(self, news: PlacementUpdate) -> None:
        shards = ",".join(str(placed.shard) for placed in news.shards[:_MAX_LOGGED_SHARDS])
        log.info("placement", extra=kv(epoch=news.epoch, revision=news.revision, shards=shards))
        self._save_later()

    def _completes_check(self, call: Call) -> bool:
        """Whether the answer to this call is the one that a check after a pause waits for."""
        since = self._check_since
        if since is None or call.made_at < since:
            return False
        if not isinstance(call, RelayCall) or call.lane is not Lane.WATCH:
            return False
        self._check_since = None
        return True

    # Destinations for which messages are accepted

    def shard(self, destination: int) -> int:
        """Return the shard of a destination."""
        return shard_of(destination, self._settings.shards.count)

    def accepts(self, destination: int) -> bool:
        """Whether the destination's shard is placed here and its endpoints are known."""
        shard = self.shard(destination)
        return shard in self.store and bool(self.subscription.replicas(shard))

    def message_added(self, destination: int) -> None:
        """Count one more pending message of the core for this destination."""
        shard, now = self.shard(destination), self._loop.time()
        self._messages[shard] = self._messages.get(shard, 0) + 1
        self.subscription.message_accepted(shard, now)
        self.follower.wake_by(now)

    def message_removed(self, destination: int) -> None:
        """Count one pending message less; the subscription is notified after this turn of the event loop."""
        shard = self.shard(destination)
        self._messages[shard] -= 1
        if not self._messages[shard]:
            del self._messages[shard]
        if not self._finished:
            self._loop.call_soon(self._notify_finished)
        self._finished.append(shard)

    def _notify_finished(self) -> None:
        finished, self._finished = self._finished, []
        for shard in finished:
            update = self.subscription.message_finished(shard)
            if update.put or update.removed:
                self._on_change(update)

    # The kept list

    def _save_later(self) -> None:
        if self._save_timer is None:
            self._save_timer = self._loop.call_later(_SAVE_DELAY_S, self._on_save_timer)

    def _on_save_timer(self) -> None:
        self._save_timer = None
        self.save()

    def save(self) -> None:
        """Store the list, unless it has no placement or was never confirmed."""
        age_s = self.staleness_s
        placement = self.subscription.placement
        if placement.revision == NO_VERSION or not math.isfinite(age_s):
            return
        snapshots = tuple(self.store.snapshot(shard) for shard in sorted(self.store.shards()))
        try:
            self._file.write(KeptList(read_clocks(self._clocks).before(age_s), placement, snapshots))
        except (OSError, KeptListError) as error:
            log.warning("list-not-kept", extra=kv(error=error))

    # For status pages and metrics

    @property
    def staleness_s(self) -> float:
        """Seconds since discovery confirmed the stalest shard that is followed; may be infinite."""
        return self.subscription.age(self._loop.time())

    def rows(self) -> list[Mapping[str, Any]]:
        """Return a row for each shard that is followed."""
        now, subscription = self._loop.time(), self.subscription
        rows: list[Mapping[str, Any]] = []
        for shard in sorted(subscription.shards()):
            replicas, stale = subscription.replicas(shard), subscription.staleness(shard, now)
            rows.append({
                "shard": shard, "version": self.store.version(shard),
                "staleness_s": round(stale, 3) if math.isfinite(stale) else None,
                "endpoints": len(self.store.records(shard)), "replicas": list(replicas),
                "placed": bool(replicas), "messages": self._messages.get(shard, 0),
            })  # fmt: skip
        return rows
