"""Next hops over HTTP and the router: the cost of list changes and of new calls by kept connections."""

from __future__ import annotations

from benchmarks.slopes.probe import Axis, Probe, Sample, timed
from mountgauge.core.ports import Call, CallItem
from mountgauge.http1 import Connection
from mountgauge.next_hops import HttpNextHops
from mountgauge.router import Router

_SIZES = (100, 300, 1_000, 3_000, 10_000, 20_000)  # the largest is about a process's limit of descriptors


class _Owner:
    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        return items

    def finished(self, call: Call, results: object) -> None: ...


def _on_closed(connection: Connection) -> None: ...


def _keep(http: HttpNextHops, hop_id: str) -> None:
    """Add one idle connection."""
    address = (hop_id, "127.0.0.1", 1024)
    http._pool._idle[address] = [Connection(_on_closed)]
    http._pool._keys[hop_id] = [address]


def _close_idle(count: int) -> Sample:
    """A next hop without a connection is removed, while so many others have an idle one each."""
    http = HttpNextHops(_Owner(), 1.0, 5.0, 1 << 20)
    for number in range(count):
        _keep(http, f"hop-{number}")
    router = Router({"http": http}, {})
    return lambda: timed(lambda: router.close_idle("another"))


def _make_room(count: int) -> Sample:
    """A call needs a connection while idle connections use all descriptors."""
    http = HttpNextHops(_Owner(), 1.0, 5.0, 1)
    http._pool.open = 2
    for number in range(count):
        _keep(http, f"hop-{number}")
    return lambda: timed(http._pool.has_capacity)


PROBES = (
    Probe("hops-close-idle", _close_idle, "mountgauge.next_hops.HttpNextHops.close_idle",
          axis=Axis.CONNECTIONS, sizes=_SIZES),
    Probe("hops-make-room", _make_room, "mountgauge.connection_pool.ConnectionPool.has_capacity",
          axis=Axis.CONNECTIONS, sizes=_SIZES),
)  # fmt: skip
