"""Loads kept results of measurements into typed values: slopes, outages and the scale run.

Missing results are None or empty; a file that cannot be read raises `KeptResultsError`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from mountgauge.lab.scale.fit import Fit, FitError, Measurement, fit
from mountgauge.lab.scale.outage import OutageObservations

SLOPES, SLOPES_BEFORE, OUTAGE, SCALE = "slopes.json", "slopes-before.json", "outage.json", "scale.json"


class KeptResultsError(ValueError):
    """A results file cannot be read; the message is one line."""


@dataclass(frozen=True, slots=True)
class Slope:
    """The result of one probe of `benchmarks.slopes`."""

    name: str
    axis: str
    unit: str
    method: str
    source: str
    load_average: float
    measurements: tuple[Measurement, ...]
    law: Fit | None  # None: too few sizes


@dataclass(frozen=True, slots=True)
class Slopes:
    """The results of a run of `benchmarks.slopes`."""

    processor: str
    python: str
    by_name: Mapping[str, Slope]

    def law(self, name: str) -> Fit | None:
        """The fitted law of a probe; None if it has none."""
        slope = self.by_name.get(name)
        return slope.law if slope is not None else None


@dataclass(frozen=True, slots=True)
class OutageRun:
    """One result of `benchmarks.outage`."""

    way: str
    senders: int
    down_s: float
    listed_rate: float
    seeds: int
    seen: OutageObservations


@dataclass(frozen=True, slots=True)
class ScaleCost:
    """One cost of the scale run; `at_size` is the estimate for the full size, None if unknown."""

    exponent: float
    residual: float
    at_size: float | None
    low: float
    high: float
    why_unknown: str = ""


@dataclass(frozen=True, slots=True)
class ScaleRun:
    """The costs and the summary of a scale run (`benchmarks.scale`)."""

    senders: int
    destinations: int
    costs: Mapping[str, ScaleCost]
    summary: Mapping[str, Any]  # numbers, or a text in place of a missing figure

    def number(self, name: str) -> float | None:
        """A number of the summary; None if it is not a number."""
        value = self.summary.get(name)
        return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None


@dataclass(frozen=True, slots=True)
class KeptResults:
    """All results of a folder; `before` has the slopes of a previous version of the program."""

    slopes: Slopes | None
    before: Slopes | None
    outages: tuple[OutageRun, ...]
    scale: ScaleRun | None


def load_kept_results(folder: Path) -> KeptResults:
    """Load all results of a folder; raises KeptResultsError if a file cannot be read."""
    return KeptResults(
        _slopes(folder / SLOPES), _slopes(folder / SLOPES_BEFORE), _outages(folder / OUTAGE),
        _scale(folder / SCALE),
    )  # fmt: skip


def _read(path: Path) -> Any:
    try:
        return orjson.loads(path.read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, orjson.JSONDecodeError) as error:
        raise KeptResultsError(f"{path}: {error}") from None


def _slopes(path: Path) -> Slopes | None:
    raw = _read(path)
    if raw is None:
        return None
    try:
        probes = {one["name"]: _slope(one) for one in raw["probes"]}
        return Slopes(str(raw["processor"]), str(raw["python"]), probes)
    except (KeyError, TypeError, ValueError) as error:
        raise KeptResultsError(f"{path}: not a result of benchmarks.slopes: {error!r}") from None


def _slope(raw: Mapping[str, Any]) -> Slope:
    measured = tuple(
        Measurement(float(size), float(cost)) for size, cost in zip(raw["sizes"], raw["costs"], strict=True)
    )
    try:
        law: Fit | None = fit(measured)
    except FitError:
        law = None
    return Slope(
        raw["name"], raw["axis"], raw["unit"], raw["method"], raw["source"], float(raw["load_average"]),
        measured, law,
    )  # fmt: skip


def _outages(path: Path) -> tuple[OutageRun, ...]:
    raw = _read(path)
    if raw is None:
        return ()
    try:
        return tuple(
            OutageRun(
                one["way"], int(one["senders"]), float(one["down_s"]), float(one["listed_rate"]),
                int(one["seeds"]), OutageObservations(**one["seen"]),
            )
            for one in raw["outages"]
        )  # fmt: skip
    except (KeyError, TypeError, ValueError) as error:
        raise KeptResultsError(f"{path}: not a result of benchmarks.outage: {error!r}") from None


def _scale(path: Path) -> ScaleRun | None:
    raw = _read(path)
    if raw is None:
        return None
    try:
        summary = raw.get("summary", raw)
        costs = {
            one["cost"]: ScaleCost(
                float(one["exponent"]), float(one["residual"]), _number(one["at_size"]), float(one["low"]),
                float(one["high"]), str(one.get("why_unknown", "")),
            )
            for one in raw.get("slopes", ())
        }  # fmt: skip
        return ScaleRun(int(summary["senders"]), int(summary["destinations"]), costs, summary)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise KeptResultsError(f"{path}: not a result of benchmarks.scale: {error!r}") from None


def _number(value: Any) -> float | None:
    return float(value) if isinstance(value, int | float) else None
