"""OTLP over HTTP: metrics as JSON, exported at an interval to a collector. Off unless configured.

Delivery never waits for it: one export at a time, each bounded in time, and one that fails is dropped, as
the counters are cumulative and the next export says it all again.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import orjson

from mountgauge import __version__
from mountgauge.http1 import Client, request
from mountgauge.lease_log import LEASE
from mountgauge.log import kv
from mountgauge.platform.call_log import CALL
from mountgauge.snapshot import Metric, Snapshot

log = logging.getLogger("mountgauge.otlp")

_LIMIT = 3.0  # s for one export
_CUMULATIVE = 2


def _sum(name: str, unit: str, start: int, now: int, points: dict[str, int], label: str) -> dict[str, Any]:
    return {
        "name": name,
        "unit": unit,
        "sum": {
            "aggregationTemporality": _CUMULATIVE,
            "isMonotonic": True,
            "dataPoints": [
                {
                    "attributes": [{"key": label, "value": {"stringValue": value}}],
                    "startTimeUnixNano": str(start),
                    "timeUnixNano": str(now),
                    "asInt": str(count),
                }
                for value, count in sorted(points.items())
            ],
        },
    }


def _gauge(name: str, unit: str, now: int, value: int) -> dict[str, Any]:
    return {
        "name": name,
        "unit": unit,
        "gauge": {"dataPoints": [{"timeUnixNano": str(now), "asInt": str(value)}]},
    }


def _points(name: str, unit: str, start: int, now: int, points: list[tuple[dict[str, str], Any]],
            monotonic: bool) -> dict[str, Any]:  # fmt: skip
    """A sum where the values only grow, else a gauge, with attributes by point."""
    data = [
        {
            "attributes": [{"key": k, "value": {"stringValue": v}} for k, v in attributes.items()],
            "timeUnixNano": str(now),
            **({"startTimeUnixNano": str(start)} if monotonic else {}),
            **({"asInt": str(value)} if isinstance(value, int) else {"asDouble": value}),
        }
        for attributes, value in points
    ]
    if not monotonic:
        return {"name": name, "unit": unit, "gauge": {"dataPoints": data}}
    kind = {"aggregationTemporality": _CUMULATIVE, "isMonotonic": True, "dataPoints": data}
    return {"name": name, "unit": unit, "sum": kind}


def tenant_metrics(report: Mapping[str, Any], start: int, now: int) -> list[dict[str, Any]]:
    """What `mountgauge tenants` shows, for a collector: the counts are the fleet's, bounded on both sides."""
    by = [({"mountgauge.tenant": one["tenant"]}, one) for one in report["tenants"]]

    def of(key: str) -> list[tuple[dict[str, str], Any]]:
        return [(attributes, one[key]) for attributes, one in by if one[key] is not None]

    members = [({"mountgauge.member": m["name"], "mountgauge.presence": m["presence"]}, float(m["age_s"]))
               for m in report["members"]]  # fmt: skip
    dropped = [({"mountgauge.reason": reason}, n)
               for reason, n in report.get("gossip", {}).get("dropped", {}).items()]  # fmt: skip
    states: list[tuple[dict[str, str], Any]] = [({}, int(report["split"]))]
    return [
        _points("mountgauge.tenant.used", "{message}", 0, now, of("used"), True),
        _points("mountgauge.tenant.used.high", "{message}", 0, now, of("high"), False),
        _points("mountgauge.tenant.rate", "{message}/s", start, now, of("rate"), False),
        _points("mountgauge.tenant.quota", "{message}/s", start, now, of("quota"), False),
        _points("mountgauge.tenant.refused", "{message}", start, now, of("refused_here"), True),
        _points("mountgauge.fleet.word.age", "s", start, now, members, False),
        _points("mountgauge.fleet.split", "1", start, now, states, False),
        _points("mountgauge.fleet.dropped", "{datagram}", start, now, dropped, True),
    ]


def encode(
    instance: str,
    snapshot: Snapshot,
    start: int,
    now: int,
    tenants: Mapping[str, Any] | None = None,
    measured: Sequence[Metric] = (),
) -> bytes:
    """An ExportMetricsServiceRequest in its JSON form. Integers of 64 bits are text there."""
    ends = {status: n for (kind, status), n in snapshot.counts.items() if kind == "end"}
    attempts = {outcome: n for (kind, outcome), n in snapshot.counts.items() if kind == "attempt"}
    withheld = {why: n for (kind, why), n in snapshot.counts.items() if kind == "withheld"}
    calls = {event: n for (kind, event), n in snapshot.counts.items() if kind == CALL}
    lease_ends = {why: n for (kind, why), n in snapshot.counts.items() if kind == LEASE}
    metrics = [
        _sum("mountgauge.messages.ended", "{message}", start, now, ends, "mountgauge.end"),
        _sum("mountgauge.attempts", "{attempt}", start, now, attempts, "mountgauge.outcome"),
        _sum("mountgauge.withheld", "{message}", start, now, withheld, "mountgauge.why"),
        _sum("mountgauge.list.calls", "{call}", start, now, calls, "mountgauge.event"),
        _sum("mountgauge.list.lease_ends", "{end}", start, now, lease_ends, "mountgauge.why"),
        _sum(
            "mountgauge.violations", "{violation}", start, now, dict(snapshot.violations), "mountgauge.rule"
        ),
        _gauge("mountgauge.messages.held", "{message}", now, snapshot.held),
        _gauge("mountgauge.slots.used", "{slot}", now, snapshot.slots_used),
        _gauge("mountgauge.slots.limit", "{slot}", now, snapshot.slots),
        *(tenant_metrics(tenants, start, now) if tenants else ()),
        *(_points(name, unit, start, now, points, grows) for name, unit, grows, points in measured),
    ]
    resource = [
        {"key": "service.name", "value": {"stringValue": "mountgauge"}},
        {"key": "service.instance.id", "value": {"stringValue": instance}},
        {"key": "service.version", "value": {"stringValue": __version__}},
    ]
    scope = {"name": "mountgauge", "version": __version__}
    return orjson.dumps(
        {
            "resourceMetrics": [
                {"resource": {"attributes": resource}, "scopeMetrics": [{"scope": scope, "metrics": metrics}]}
            ]
        }
    )


class Exporter:
    """Sends the metrics to a collector at intervals; an export that fails is counted."""

    def __init__(
        self,
        host: str,
        port: int,
        path: str,
        interval: float,
        instance: str,
        snapshot: Callable[[], Snapshot],
        tenants: Callable[[], Mapping[str, Any]] = dict,
        measured: Callable[[], Sequence[Metric]] = tuple,
    ) -> None:
        self._client = Client(host, port)
        self._host, self._path, self._interval = f"{host}:{port}", path, interval
        self._instance, self._snapshot, self._tenants = instance, snapshot, tenants
        self._measured = measured
        self._start = time.time_ns()
        self._task: asyncio.Task[None] | None = None
        self.exported = self.failed = 0

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._client.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval)
            await self.export()

    async def export(self) -> bool:
        body = encode(
            self._instance, self._snapshot(), self._start, time.time_ns(), self._tenants(), self._measured()
        )
        try:
            answer = await self._client.exchange(
                request("POST", self._path, self._host, {"Content-Type": "application/json"}, body), _LIMIT
            )
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
        except (OSError, ValueError) as error:
            self.failed += 1
            if (
                self.failed in (1, 10, 100) or self.failed % 1000 == 0
            ):  # a lasting outage must not fill the log
                log.warning("export-failed", extra=kv(times=self.failed, error=error))
            return False
        self.exported += 1
        return True
