"""Status pages and metrics of a relay."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping, Sized
from typing import Any

from mountgauge.relay.follower import Follower
from mountgauge.relay.server import PollServer
from mountgauge.relay.settings import RelayFile
from mountgauge.sharding.relay import Relay
from mountgauge.sharding.subscription import Subscription
from mountgauge.snapshot import Metric, Snapshot

_MAX_ROWS = 2048  # of the page `/shards`


def no_messages() -> Snapshot:
    """Return an empty message snapshot: a relay carries no messages."""
    return Snapshot(Counter(), 0, 0, 0)


class RelayReport:
    """Builds status pages and metrics from a relay's components."""

    def __init__(
        self,
        file: RelayFile,
        relay: Relay,
        server: PollServer,
        follower: Follower,
        open_polls: Sized,
        counts: Counter[str],
        now: Callable[[], float],
    ) -> None:
        """`counts` has the key `unreadable_asks`."""
        self._file, self._relay, self._server, self._follower = file, relay, server, follower
        self._open_polls, self._counts, self._now = open_polls, counts, now

    def status(self) -> Mapping[str, Any]:
        """Return the page `/status`."""
        relay, server, placement = self._relay, self._server, self._relay.placement
        page: dict[str, Any] = {
            "name": self._file.name, "zone": self._file.zone, "kind": "relay",
            "ready": relay.upstream.ready, "version": relay.store.as_of,
            "staleness_s": _seconds(relay.upstream.age(self._now())), "shards": len(relay.store),
            "polls": len(self._open_polls), "connections": len(server.connections),
            "unread_bytes": server.unread_bytes,
            "drops": {reason.value: n for reason, n in server.drops.items()},
            "asks": dict(relay.counts), "unreadable_asks": self._counts["unreadable_asks"],
            "server": dict(server.counts), "upstream": {"source": self._source(), **self._follower.counts},
        }  # fmt: skip
        if placement is not None:
            page["placement"] = {
                "epoch": placement.epoch, "revision": placement.revision, "pending": placement.pending,
            }  # fmt: skip
        return page

    def _source(self) -> str:
        upstream = self._relay.upstream
        return upstream.picker.current.name if isinstance(upstream, Subscription) else "discovery"

    def shards(self) -> Mapping[str, Any]:
        """Return the page `/shards`: all shards, up to `_MAX_ROWS`."""
        relay, store = self._relay, self._relay.store
        epoch = relay.placement.epoch if relay.placement is not None else 0
        rows = [self._row(shard) for shard in sorted(store.shards())[:_MAX_ROWS]]
        return {
            "name": self._file.name, "zone": self._file.zone, "kind": "relay", "epoch": epoch,
            "shard_count": store.shard_count, "held": len(store), "source": self._source(),
            "ready": relay.upstream.ready, "shards": rows,
        }  # fmt: skip

    def _row(self, shard: int) -> Mapping[str, Any]:
        relay = self._relay
        version, confirmed_at = relay.store.held_version(shard)
        replicas = relay.placement.replicas(shard) if relay.placement is not None else ()
        return {
            "shard": shard, "version": version, "staleness_s": _seconds(self._now() - confirmed_at),
            "endpoints": len(relay.store.records(shard)), "replicas": list(replicas), "placed": True,
            "messages": 0,
        }  # fmt: skip

    def metrics(self) -> list[Metric]:
        """Return the points of one export."""
        relay, server = self._relay, self._server
        calls = self._follower.counts
        points: list[Metric] = [
            ("mountgauge.relay.version", "1", False, [({}, relay.store.as_of)]),
            ("mountgauge.relay.polls", "{poll}", False, [({}, len(self._open_polls))]),
            ("mountgauge.relay.connections", "{connection}", False, [({}, len(server.connections))]),
            ("mountgauge.relay.unread", "By", False, [({}, server.unread_bytes)]),
            ("mountgauge.relay.answered", "By", True, [({}, server.counts["answered_bytes"])]),
            ("mountgauge.relay.asks", "{ask}", True,
             [({"mountgauge.ask": name}, n) for name, n in sorted(relay.counts.items())]),
            ("mountgauge.relay.drops", "{connection}", True,
             [({"mountgauge.reason": reason.value}, n) for reason, n in sorted(server.drops.items())]),
            ("mountgauge.relay.upstream", "{call}", True,
             [({"mountgauge.call": name}, calls[name]) for name in ("calls", "failures")]),
        ]  # fmt: skip
        age = relay.upstream.age(self._now())
        if math.isfinite(age):
            points.append(("mountgauge.relay.staleness", "s", False, [({}, round(age, 3))]))
        return points


def _seconds(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None
