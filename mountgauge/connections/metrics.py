"""What connections cost this process: for `status`, metrics and the state line."""

from __future__ import annotations

import os
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

from mountgauge.connections.front import Front
from mountgauge.connections.registry import Registry
from mountgauge.connections.turn_watch import TurnWatch

_MIN_FOR_AVERAGE = 50  # connections needed for a meaningful average of bytes per connection
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """This process's resident memory; 0 if the system does not report it."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except OSError:
        return 0


class ConnectionMetrics:
    """Metrics of the connections; rates are sampled at intervals, `last` is the latest sample."""

    def __init__(self, registry: Registry, fronts: Mapping[str, Front[Any]], watch: TurnWatch | None) -> None:
        self._registry, self._fronts, self._watch = registry, fronts, watch
        self._before = resident_bytes()
        self._at = time.monotonic()
        self._wakeups, self._busy = (watch.wakeups, watch.busy) if watch else (0, 0.0)
        self.last: dict[str, Any] = {"wakeups_per_s": 0.0, "loop_busy": 0.0, "longest_turn_ms": 0.0}

    def sample(self) -> None:
        """Finish an interval. `loop_busy` is the share of its time spent in turns of the loop."""
        if self._watch is None:
            return
        now = time.monotonic()
        spent = max(1e-9, now - self._at)
        watch = self._watch
        self.last = {
            "wakeups_per_s": round((watch.wakeups - self._wakeups) / spent, 1),
            "loop_busy": round((watch.busy - self._busy) / spent, 4),
            "longest_turn_ms": round(watch.take_recent() * 1000, 1),
        }
        self._at, self._wakeups, self._busy = now, watch.wakeups, watch.busy

    def baseline(self) -> None:
        """Record the memory in use before connections are accepted, and reset the longest turn."""
        self._before = resident_bytes()
        if self._watch is not None:
            self._watch.take_recent()
            self._watch.longest = 0.0

    def report(self) -> dict[str, Any]:
        """The section `clients` of the status page."""
        registry, watch = self._registry, self._watch
        grown, open_now = resident_bytes() - self._before, registry.open
        counts: Counter[str] = Counter()
        for front in self._fronts.values():
            counts.update({what: n for (_, what), n in front.counts.items()})
        counts.update({what: n for (_, what), n in registry.counts.items()})
        return {
            "fronts": {name: front.report() for name, front in self._fronts.items()},
            "open": open_now, "most": registry.settings.most,
            "bytes_per_connection": round(grown / open_now) if open_now >= _MIN_FOR_AVERAGE else None,
            "half_bytes": registry.partial_bytes.total, "unread_bytes": registry.unread_bytes.total,
            "timers": registry.timer_wheel.armed, "timers_moved": registry.timer_wheel.moved,
            "waiting": len(registry.scheduler),
            **self.last,
            "longest_turn_ever_ms": round(watch.longest * 1000, 1) if watch else 0.0,
            "loop_wakeups": watch.wakeups if watch else 0,
            "fared": dict(counts),
        }  # fmt: skip

    def state(self) -> dict[str, Any]:
        """The short form, for the state line in the log."""
        found: dict[str, Any] = {}
        for name, front in self._fronts.items():
            one = front.report()
            found |= {f"{name}_{key}": one[key] for key in ("open", "idle", "parked")}
        return found | {"timers": self._registry.timer_wheel.armed} | self.last


Point = tuple[dict[str, str], Any]


def client_metrics(report: Mapping[str, Any]) -> list[tuple[str, str, bool, list[Point]]]:
    """For the metrics exporter: name, unit, whether it is monotonic, and points with attributes."""
    states = [
        ({"mountgauge.front": front, "mountgauge.state": state}, n)
        for front, by in report["fronts"].items()
        for state, n in by.items()
    ]
    fared = [({"mountgauge.fate": what}, n) for what, n in sorted(report["fared"].items())]
    gauges: list[tuple[str, str, Any]] = [
        ("limit", "{connection}", report["most"]),
        ("memory", "By", report["bytes_per_connection"]),
        ("timers", "{timer}", report["timers"]),
        ("wakeups.rate", "{wakeup}/s", report["wakeups_per_s"]),
        ("turn.longest", "ms", report["longest_turn_ms"]),
    ]
    found: list[tuple[str, str, bool, list[Point]]] = [
        ("mountgauge.clients.connections", "{connection}", False, states),
        ("mountgauge.clients.fared", "{connection}", True, fared),
    ]
    for name, unit, value in gauges:
        if value is not None:
            found.append((f"mountgauge.clients.{name}", unit, False, [({}, value)]))
    return found
