"""The transport map of a sender that holds a part of the destinations: shards that are followed at relays.

What the subscription tells becomes next hops for the core. It says which destinations are this sender's to
take on, and keeps the shards of held messages until their last end. The last list is kept in the state
folder.
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
from mountgauge.core.durable_time import Clocks, SystemClocks, age, read
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
from mountgauge.sharding.messages import PlacementNews
from mountgauge.sharding.picker import Picker
from mountgauge.sharding.shards import NOTHING, EndpointRecord, EndpointState, shard_of
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.upstream import Call, Lane, RelayCall, Update
from rillspindle.interface import Entry, Readiness

log = logging.getLogger("mountgauge.sharding")

DRAIN_GRACE_S = 0.25  # of the rules, where nothing else is said
_KEEP_AFTER_S = 0.5  # from a change to its being written: what comes together is written once
_READINESS = {EndpointState.ACTIVE: Readiness.READY, EndpointState.LEAVING: Readiness.DRAINING}


def next_hop(record: EndpointRecord, rate_per_weight: float) -> NextHop:
    """An endpoint as the core knows it; ConfigError where its address can't be read."""
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
    """An endpoint that is no more."""
    entry = Entry(Readiness.GONE, 0.0, 0.0, 0, record.destination, 0, record.id.encode())
    return NextHop(record.id, "", 0, entry)


def removed_records(update: Update) -> Iterator[EndpointRecord]:
    """The endpoints of an update that are no more: one that has moved is where it is put."""
    put = {record.id for record in update.put}
    return (record for record in update.gone if record.id not in put)


class ShardMap:
    """The core's map and the scope of what it takes on, over a subscription."""

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
            self.subscription, settings.relays.addresses, None, settings.shards.count, self._answered,
            on_failure=self._failed,
        )  # fmt: skip
        terms = LeaseTerms(NOTIFIED_AFTER_S, drain_grace_s, resumes=True)
        self._evidence = RelayEvidence(terms, settings.relays.addresses)
        self._lease_log = LeaseLog()
        self.on_renewed: Callable[[], None] = lambda: None  # told that calls may go again
        self.rejections = 0
        self.last_rejection = ""
        self._messages: dict[int, int] = {}  # by shard: messages that the core holds
        self._ended: list[int] = []  # shards of messages that have ended, not told to the subscription yet
        self._looking_since: float | None = None
        self._warned = False
        self._file = KeptListFile(folder, settings.shards.count)
        self._keeping: asyncio.TimerHandle | None = None

    # Start

    def known(self, destinations: Iterable[int]) -> MapUpdate:
        """The list that an earlier process kept: of the shards that are placed here, and of those of the
        messages for these destinations.
        """
        try:
            kept = self._file.read()
        except KeptListError as error:
            log.warning("kept-list-not-read", extra=kv(error=error))
            kept = None
        if kept is None:
            return MapUpdate(NOTHING, True, ())
        wanted = {one.shard for one in kept.placement.shards} | set(map(self.shard, destinations))
        snapshots = [one for one in kept.snapshots if one.shard in wanted]
        age_s = age(kept.confirmed, read(self._clocks))
        update = self.subscription.restore(snapshots, kept.placement, self._loop.time() - age_s)
        log.info("kept-list", extra=kv(shards=len(snapshots), epoch=kept.placement.epoch,
                                       staleness_s=round(age_s, 3)))  # fmt: skip
        return self._map_update(True, update)

    def start(self) -> None:
        """Begin to ask relays."""
        self.follower.start()

    # The core's map

    def watch(self, on: bool) -> None:
        """The subscription watches by itself, and asks again by itself."""

    def snapshot(self) -> None:
        """Tell the core the whole list, as it is held."""
        records = [one for shard in self.store.shards() for one in self.store.records(shard).values()]
        self._tell(self._map_update(True, Update(put=tuple(records))))

    def look_now(self) -> bool:
        """The next answer to a call that is made from now on counts: it is still to come."""
        self._looking_since = self._loop.time()
        return False

    def close(self) -> None:
        """Keep what is held, and stop to follow."""
        if self._keeping is not None:
            self._keeping.cancel()
        self.save()
        self.follower.close()

    def _tell(self, update: MapUpdate) -> None:
        self._owner.list_changed(update)

    def _version(self) -> int:
        versions = [self.store.version(shard) for shard in self.store.shards()]
        return max(versions, default=NOTHING)

    def _map_update(self, full: bool, update: Update) -> MapUpdate:
        """Each entry is as of its shard's version: a shard that was let go may come back at an older one."""
        named = [*update.gone, *update.put]
        versions = {one.id: self.store.version(self.shard(one.destination)) for one in named}
        return MapUpdate(self._version(), full, self._hops(update), versions=versions)

    def _hops(self, update: Update) -> tuple[NextHop, ...]:
        hops = [removed_hop(record) for record in removed_records(update)]
        for record in update.put:
            try:
                hops.append(next_hop(record, self._settings.rate_per_weight))
            except ConfigError as error:  # the others still hold
                log.warning("entry-not-read", extra=kv(id=record.id, error=error))
                hops.append(removed_hop(record))
        return tuple(hops)

    # The lease on the list

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """What ended the lease on the list."""
        return self._lease_log.counts

    def state(self) -> Mapping[str, Any]:
        """For the state line: whether calls may go by the list, and how old the newest evidence is."""
        return self._lease_log.state(self._loop.time() - self._evidence.lease.evidence_at)

    def lease_ended(self, dest: int) -> LeaseEnd | None:
        """Why no call may go by the list now; None: all may."""
        now = self._loop.time()
        ended = self._evidence.ended(now)
        self._lease_log.note(ended, now - self._evidence.lease.evidence_at)
        return ended

    def _failed(self, call: Call, failure: RelayFailure) -> None:
        if isinstance(call, RelayCall):
            self._evidence.failed(call, failure, self._loop.time())
            self._look_again()

    def _look_again(self) -> None:
        held_back = self._lease_log.ended is not None
        if held_back and self.lease_ended(NOTHING) is None:
            self.on_renewed()

    # From the subscription

    def _answered(self, call: Call, update: Update) -> None:
        self._take_in(call, update)
        if isinstance(call, RelayCall) and not update.rejections:
            self._evidence.answered(call)
            self._look_again()

    def _take_in(self, call: Call, update: Update) -> None:
        if update.rejections:
            self.rejections += len(update.rejections)
            self.last_rejection = f"{update.rejections[-1].source}: {update.rejections[-1].reason}"
        if update.placement is not None:
            self._placed(update.placement)
        elif self.subscription.placement.revision == NOTHING:
            self._warn_of_no_placement(call)
        looked = self._looked(call)
        if update.put or update.gone or looked:
            self._changed(update)

    def _warn_of_no_placement(self, call: Call) -> None:
        if not self._warned and isinstance(call, RelayCall) and call.lane is Lane.WATCH:
            self._warned = True
            log.warning("no-placement", extra=kv(relay=call.relay, why="its file names no members"))

    def _changed(self, update: Update) -> None:
        changed = self._map_update(False, update)
        if changed.hops:
            log.info("map", extra=kv(version=changed.version, changed=len(changed.hops)))
            self._keep_later()
        self._tell(changed)

    def _placed(self, news: PlacementNews) -> None:
        shards = ",".join(str(one.shard) for one in news.shards[:32])
        log.info("placement", extra=kv(epoch=news.epoch, revision=news.revision, shards=shards))
        self._keep_later()

    def _looked(self, call: Call) -> bool:
        """Whether this answer is the one that was waited for after a pause."""
        since = self._looking_since
        if since is None or call.made_at < since:
            return False
        if not isinstance(call, RelayCall) or call.lane is not Lane.WATCH:
            return False
        self._looking_since = None
        return True

    # The scope of what is taken on

    def shard(self, destination: int) -> int:
        """The shard of a destination."""
        return shard_of(destination, self._settings.shards.count)

    def accepts(self, destination: int) -> bool:
        """Whether its shard is placed here, and its endpoints are known."""
        shard = self.shard(destination)
        return shard in self.store and bool(self.subscription.replicas(shard))

    def held(self, destination: int) -> None:
        """The core holds one message more for it."""
        shard, now = self.shard(destination), self._loop.time()
        self._messages[shard] = self._messages.get(shard, 0) + 1
        self.subscription.hold(shard, now)
        self.follower.wake_by(now)

    def dropped(self, destination: int) -> None:
        """The core holds one message less: the subscription hears of it once this turn is over."""
        shard = self.shard(destination)
        self._messages[shard] -= 1
        if not self._messages[shard]:
            del self._messages[shard]
        if not self._ended:
            self._loop.call_soon(self._tell_ends)
        self._ended.append(shard)

    def _tell_ends(self) -> None:
        ended, self._ended = self._ended, []
        for shard in ended:
            update = self.subscription.ended(shard)
            if update.put or update.gone:
                self._changed(update)

    # The kept list

    def _keep_later(self) -> None:
        if self._keeping is None:
            self._keeping = self._loop.call_later(_KEEP_AFTER_S, self._keep_now)

    def _keep_now(self) -> None:
        self._keeping = None
        self.save()

    def save(self) -> None:
        """Write down what is held."""
        age_s = self.staleness_s
        placement = self.subscription.placement
        if placement.revision == NOTHING or not math.isfinite(age_s):
            return
        snapshots = tuple(self.store.snapshot(shard) for shard in sorted(self.store.shards()))
        try:
            self._file.write(KeptList(read(self._clocks).before(age_s), placement, snapshots))
        except (OSError, KeptListError) as error:
            log.warning("list-not-kept", extra=kv(error=error))

    # What others are told

    @property
    def staleness_s(self) -> float:
        """Seconds since discovery confirmed what is held, of the shard that is worst off; may be infinite."""
        return self.subscription.age(self._loop.time())

    def rows(self) -> list[Mapping[str, Any]]:
        """A line for each shard that is followed."""
        now, subscription = self._loop.time(), self.subscription
        found: list[Mapping[str, Any]] = []
        for shard in sorted(subscription.shards()):
            replicas, stale = subscription.replicas(shard), subscription.staleness(shard, now)
            found.append({
                "shard": shard, "version": self.store.version(shard),
                "staleness_s": round(stale, 3) if math.isfinite(stale) else None,
                "endpoints": len(self.store.records(shard)), "replicas": list(replicas),
                "placed": bool(replicas), "messages": self._messages.get(shard, 0),
            })  # fmt: skip
        return found
