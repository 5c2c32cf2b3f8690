"""Sharding as an optional subsystem: the sender holds only the destinations that are placed on it."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from mountgauge.relay.settings import SenderSharding
from mountgauge.relay.shard_map import ShardMap
from mountgauge.run.subsystem import Subsystem
from mountgauge.snapshot import Metric

if TYPE_CHECKING:
    from mountgauge.core.sender import Sender


class ShardingSubsystem(Subsystem):
    """Follows the shards that are placed on this sender, once clients are accepted, and reports them."""

    name = "sharding"

    def __init__(self, shard_map: ShardMap, settings: SenderSharding, sender: Sender, name: str) -> None:
        self.map, self.settings, self.sender, self._name = shard_map, settings, sender, name
        sender.scope = shard_map

    async def serve(self) -> None:
        """Follow the relays once the core has the known list, since their changes build on it."""
        self.map.start()

    def reload(self, file: Any) -> list[str]:
        return ["sharding"] if file.sharding != self.settings else []

    def _staleness_s(self) -> float | None:
        found = self.map.staleness_s
        return round(found, 3) if math.isfinite(found) else None

    def report(self) -> Mapping[str, Any]:
        subscription = self.map.subscription
        return {
            "zone": self.settings.zone, "epoch": subscription.placement.epoch,
            "revision": subscription.placement.revision, "shards": len(subscription.shards()),
            "staleness_s": self._staleness_s(), "relay": subscription.picker.current.name,
            "behind": subscription.behind, "rejections": self.map.rejections,
            "last_rejection": self.map.last_rejection, "upstream": dict(self.map.follower.counts),
        }  # fmt: skip

    def shards_page(self) -> Mapping[str, Any]:
        """The page `/shards`."""
        subscription, rows = self.map.subscription, self.map.rows()
        return {
            "name": self._name, "zone": self.settings.zone, "kind": "sender",
            "epoch": subscription.placement.epoch, "shard_count": self.settings.shards.count,
            "held": len(rows), "shards": rows, "source": subscription.picker.current.name,
            "ready": subscription.placement.revision >= 0,
        }  # fmt: skip

    def state(self) -> Mapping[str, Any]:
        stale = self._staleness_s()
        return {"shards": len(self.map.subscription.shards()), "stale_s": "never" if stale is None else stale}

    def metrics(self) -> Sequence[Metric]:
        subscription, counts = self.map.subscription, self.map.follower.counts
        points: list[Metric] = [
            ("mountgauge.sharding.shards", "{shard}", False, [({}, len(subscription.shards()))]),
            ("mountgauge.sharding.epoch", "1", False, [({}, subscription.placement.epoch)]),
            ("mountgauge.sharding.rejections", "{change}", True, [({}, self.map.rejections)]),
            ("mountgauge.sharding.behind", "{version}", False, [({}, subscription.behind)]),
            ("mountgauge.sharding.upstream", "{call}", True,
             [({"mountgauge.call": name}, counts[name]) for name in ("calls", "failures")]),
            ("mountgauge.sharding.received", "By", True, [({}, counts["received_bytes"])]),
        ]  # fmt: skip
        if (stale := self._staleness_s()) is not None:
            points.append(("mountgauge.sharding.staleness", "s", False, [({}, stale)]))
        return points
