"""Telemetry: one export of metrics, with a data point for each tenant and for each member of the fleet."""

from __future__ import annotations

from collections import Counter
from typing import Any

from benchmarks.slopes.probe import Axis, Method, Probe, Sample, Unit, timed
from mountgauge.otlp import encode
from mountgauge.snapshot import Snapshot

_MEMBER_COUNTS = (10, 30, 100, 300, 1_000, 3_000, 10_000)
_TENANTS = 100
_SOURCE = "mountgauge.otlp.tenant_metrics, encode"


def _report(members: int) -> dict[str, Any]:
    """The report that `/tenants` returns in a fleet of so many members."""
    tenants = [
        {
            "tenant": f"t{number}",
            "used": 10**6,
            "high": 10**6,
            "rate": 10.5,
            "quota": 100.0,
            "refused_here": 0,
        }
        for number in range(_TENANTS)
    ]
    presence = [{"name": f"m{number}", "presence": "here", "age_s": 0.25} for number in range(members)]
    return {"tenants": tenants, "members": presence, "split": False, "gossip": {"dropped": {}}}


def _export(report: dict[str, Any]) -> bytes:
    counts = Counter({("end", "delivered"): 10**6, ("attempt", "ok"): 10**6})
    return encode("m0", Snapshot(counts, 1000, 10, 64), 1, 2, report)


def _time(members: int) -> Sample:
    report = _report(members)
    return lambda: timed(lambda: _export(report))


def _bytes(members: int) -> Sample:
    return lambda: float(len(_export(_report(members))))


PROBES = (
    Probe("telemetry-export", _time, _SOURCE, axis=Axis.MEMBERS, sizes=_MEMBER_COUNTS),
    Probe("telemetry-bytes", _bytes, _SOURCE, axis=Axis.MEMBERS, unit=Unit.BYTES, method=Method.COUNTED,
          sizes=_MEMBER_COUNTS, repeats=1),
)  # fmt: skip
