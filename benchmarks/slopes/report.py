"""Formats measurements as one line a probe, and writes the JSON file that the capacity page is based on."""

from __future__ import annotations

import json
import platform
from collections.abc import Mapping, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from benchmarks.slopes.probe import Axis, Probe, ProbeResult, Unit
from mountgauge.lab.scale.fit import Estimate, Fit, FitError, Unknown, fit
from mountgauge.lab.scale.size import FleetSize

Target = Mapping[Axis, float]


def targets(size: FleetSize) -> Target:
    """The sizes to extrapolate to; tenants, budgets and connections have none."""
    return {
        Axis.DESTINATIONS: float(size.destinations),
        Axis.MEMBERS: float(size.senders),
        Axis.MESSAGES: size.backlog_per_sender,
    }


def heading() -> str:
    """The heading of the lines that `format_line` returns."""
    return (
        f"{'probe':<24} {'measured at':>26} {'exponent':>9} {'residual':>9} {'model':>13} {'load':>6}"
        f"  at the size of two years; source"
    )


def format_line(found: ProbeResult, at: Target) -> str:
    """A probe's line: its fit, and the cost at the target size."""
    probe = found.probe
    sizes = f"{found.measurements[0].size:g}..{found.measurements[-1].size:g} {probe.axis}"
    try:
        law = fit(found.measurements)
    except FitError as error:
        return f"{probe.name:<24} {sizes:>26}  {error}"
    return (
        f"{probe.name:<24} {sizes:>26} {law.exponent:>9.2f} {law.residual:>9.3f} {law.model:>13}"
        f" {found.load_average:>6}  {_predicted(law, probe.unit, at.get(probe.axis))}; {probe.source}"
    )


def _predicted(law: Fit, unit: Unit, target: float | None) -> str:
    largest = f"{law.value(law.largest):.3g} {unit} at {law.largest:g}"
    if target is None:
        return largest
    match law.at(target):
        case Estimate(value, low, high):
            return f"{largest}; {value:.3g} {unit} ({low:.3g} to {high:.3g}) at {target:.7g}"
        case Unknown(why):
            return f"{largest}; unknown ({why}) at {target:.7g}"


def _as_json(found: ProbeResult) -> dict[str, Any]:
    probe = found.probe
    try:
        law: dict[str, Any] | None = asdict(fit(found.measurements))
    except FitError:
        law = None
    return {
        "name": probe.name, "axis": probe.axis.value, "unit": probe.unit.value, "method": probe.method.value,
        "source": probe.source, "repeats": probe.repeats, "load_average": found.load_average,
        "sizes": [one.size for one in found.measurements], "costs": [one.cost for one in found.measurements],
        "fit": law,
    }  # fmt: skip


def save(path: Path, results: Sequence[ProbeResult], order: Sequence[Probe]) -> None:
    """Writes the results without timestamps; results of other probes in the file are kept."""
    probes = {one["name"]: one for one in _kept(path)} | {one.probe.name: _as_json(one) for one in results}
    found = {
        "processor": processor(),
        "python": platform.python_version(),
        "probes": [probes[probe.name] for probe in order if probe.name in probes],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(found, indent=1) + "\n")


def _kept(path: Path) -> list[dict[str, Any]]:
    """The file's results if they are from this processor and Python version: others are not comparable."""
    if not path.exists():
        return []
    raw = json.loads(path.read_text())
    same = (raw["processor"], raw["python"]) == (processor(), platform.python_version())
    return list(raw["probes"]) if same else []


def processor() -> str:
    """The processor's model as reported by the system."""
    try:
        for text in Path("/proc/cpuinfo").read_text().splitlines():
            if text.startswith("model name"):
                return text.partition(":")[2].strip()
    except OSError:
        pass
    return platform.processor() or "unknown"
