"""Next hops over HTTP and the router before them: what a change of the list costs in kept connections."""

from __future__ import annotations

from benchmarks.slopes.probe import Axis, Probe, Sample, timed
from mountgauge.core.ports import Call, CallItem
from mountgauge.http1 import Connection
from mountgauge.next_hops import HttpNextHops
from mountgauge.router import Router

_SIZES = (100, 300, 1_000, 3_000, 10_000, 20_000)  # as many as a process may have descriptors


class _Owner:
    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        return items

    def finished(self, call: Call, results: object) -> None: ...


def _forgotten(connection: Connection) -> None: ...


def _keep(http: HttpNextHops, hop_id: str) -> None:
    """One idle connection."""
    place = (hop_id, "127.0.0.1", 1024)
    http._pools[place] = [Connection(_forgotten)]
    http._pool_keys[hop_id] = [place]


def _close_idle(count: int) -> Sample:
    """One next hop without a kept connection leaves, while so many others have one each."""
    http = HttpNextHops(_Owner(), 1.0, 5.0, 1 << 20)
    for number in range(count):
        _keep(http, f"hop-{number}")
    router = Router({"http": http}, {})
    return lambda: timed(lambda: router.close_idle("another"))


def _make_room(count: int) -> Sample:
    """A call needs a connection while all descriptors are taken by idle ones."""
    http = HttpNextHops(_Owner(), 1.0, 5.0, 1)
    http._open = 2
    for number in range(count):
        _keep(http, f"hop-{number}")
    return lambda: timed(http._free_slot)


PROBES = (
    Probe("hops-close-idle", _close_idle, "mountgauge.next_hops.HttpNextHops.close_idle",
          axis=Axis.CONNECTIONS, sizes=_SIZES),
    Probe("hops-make-room", _make_room, "mountgauge.next_hops.HttpNextHops._free_slot",
          axis=Axis.CONNECTIONS, sizes=_SIZES),
)  # fmt: skip
