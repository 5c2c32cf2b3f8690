"""Exports metrics to a collector over OTLP/HTTP with JSON encoding, at intervals. Off unless configured.

Delivery never waits for an export. There is one at a time, each with a timeout, and one that fails is
dropped, because the counters are cumulative and the next export contains them again.
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

_EXPORT_TIMEOUT_S = 3.0
_CUMULATIVE = 2  # AGGREGATION_TEMPORALITY_CUMULATIVE


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
    """Encode a sum if `monotonic`, else a gauge, with the attributes of each point."""
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
    body = {"aggregationTemporality": _CUMULATIVE, "isMonotonic": True, "dataPoints": data}
    return {"name": name, "unit": unit, "sum": body}


def tenant_metrics(report: Mapping[str, Any], start: int, now: int) -> list[dict[str, Any]]:
    """Encode the report of `mountgauge tenants`: the fleet's counts, with a lower and an upper bound."""
    by_tenant = [({"mountgauge.tenant": one["tenant"]}, one) for one in report["tenants"]]

    def points_of(key: str) -> list[tuple[dict[str, str], Any]]:
        return [(attributes, one[key]) for attributes, one in by_tenant if one[key] is not None]

    members = [({"mountgauge.member": m["name"], "mountgauge.presence": m["presence"]}, float(m["age_s"]))
               for m in report["members"]]  # fmt: skip
    dropped = [({"mountgauge.reason": reason}, n)
               for reason, n in report.get("gossip", {}).get("dropped", {}).items()]  # fmt: skip
    split: list[tuple[dict[str, str], Any]] = [({}, int(report["split"]))]
    return [
        _points("mountgauge.tenant.used", "{message}", 0, now, points_of("used"), True),
        _points("mountgauge.tenant.used.high", "{message}", 0, now, points_of("high"), False),
        _points("mountgauge.tenant.rate", "{message}/s", start, now, points_of("rate"), False),
        _points("mountgauge.tenant.quota", "{message}/s", start, now, points_of("quota"), False),
        _points("mountgauge.tenant.refused", "{message}", start, now, points_of("refused_here"), True),
        _points("mountgauge.fleet.word.age", "s", start, now, members, False),
        _points("mountgauge.fleet.split", "1", start, now, split, False),
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
    """Encode an ExportMetricsServiceRequest as JSON, where 64-bit integers are strings."""
    outcomes = {status: n for (kind, status), n in snapshot.counts.items() if kind == "end"}
    attempts = {outcome: n for (kind, outcome), n in snapshot.counts.items() if kind == "attempt"}
    withheld = {reason: n for (kind, reason), n in snapshot.counts.items() if kind == "withheld"}
    calls = {event: n for (kind, event), n in snapshot.counts.items() if kind == CALL}
    lease_ends = {cause: n for (kind, cause), n in snapshot.counts.items() if kind == LEASE}
    metrics = [
        _sum("mountgauge.messages.ended", "{message}", start, now, outcomes, "mountgauge.end"),
        _sum("mountgauge.attempts", "{attempt}", start, now, attempts, "mountgauge.outcome"),
        _sum("mountgauge.withheld", "{message}", start, now, withheld, "mountgauge.why"),
        _sum("mountgauge.list.calls", "{call}", start, now, calls, "mountgauge.event"),
        _sum("mountgauge.list.lease_ends", "{end}", start, now, lease_ends, "mountgauge.why"),
        _sum(
            "mountgauge.violations", "{violation}", start, now, dict(snapshot.violations), "mountgauge.rule"
        ),
        _gauge("mountgauge.messages.held", "{message}", now, snapshot.pending),
        _gauge("mountgauge.slots.used", "{slot}", now, snapshot.slots_used),
        _gauge("mountgauge.slots.limit", "{slot}", now, snapshot.slots),
        *(tenant_metrics(tenants, start, now) if tenants else ()),
        *(_points(name, unit, start, now, points, monotonic) for name, unit, monotonic, points in measured),
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
    """Sends the metrics to a collector at intervals, and counts the exports that fail."""

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
        """Start to export at intervals."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop the exports."""
        if self._task is not None:
            self._task.cancel()
        self._client.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval)
            await self.export()

    async def export(self) -> bool:
        """Export once; return whether the collector accepted it."""
        body = encode(
            self._instance, self._snapshot(), self._start, time.time_ns(), self._tenants(), self._measured()
        )
        try:
            answer = await self._client.exchange(
                request("POST", self._path, self._host, {"Content-Type": "application/json"}, body),
                _EXPORT_TIMEOUT_S,
            )
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
        except (OSError, ValueError) as error:
            self.failed += 1
            # Log only some of the failures: a lasting outage must not fill the log.
            if self.failed in (1, 10, 100) or self.failed % 1000 == 0:
                log.warning("export-failed", extra=kv(times=self.failed, error=error))
            return False
        self.exported += 1
        return True
