"""Figures of the capacity page: values with intervals, origins and bounds. Pure functions, no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from mountgauge.lab.scale.fit import MAX_INTERVAL_RATIO, Estimate, Prediction, Unknown
from mountgauge.lab.scale.kept_results import ScaleRun, Slopes

NOT_MEASURED, TOO_WIDE = "not measured", "interval too wide"


class Unit(StrEnum):
    """The unit of a figure."""

    SECONDS = "s"
    BYTES = "bytes"
    BYTES_PER_S = "bytes/s"
    CORE = "core"
    PER_S = "/s"
    COUNT = ""
    TIMES = "times"


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of the page; `bound`, if there is one, has the same unit."""

    value: Prediction
    unit: Unit
    origin: str
    bound: float | None = None

    @property
    def share(self) -> float | None:
        """The value as a share of the bound; None if the value is unknown or there is no bound."""
        if self.bound is None or isinstance(self.value, Unknown):
            return None
        return self.value.value / self.bound


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a role's table."""

    label: str
    figure: Figure
    mechanism: str


@dataclass(frozen=True, slots=True)
class Role:
    """One role of the fleet and the rows of its table."""

    name: str
    rows: tuple[Row, ...]
    note: str = ""


@dataclass(frozen=True, slots=True)
class Term:
    """The cost of a probe, `times` times (per second, or in total)."""

    probe: str
    times: float = 1.0


def exact(value: float) -> Estimate:
    """An estimate without an interval."""
    return Estimate(value, value, value)


def derived(value: float, unit: Unit, formula: str, bound: float | None = None) -> Figure:
    """A figure that is computed from the size alone."""
    return Figure(exact(value), unit, formula, bound)


def unknown(unit: Unit, needed_measurement: str, bound: float | None = None) -> Figure:
    """A figure that was not measured, with the measurement that would give it."""
    return Figure(Unknown(NOT_MEASURED), unit, needed_measurement, bound)


def summed(
    slopes: Slopes | None, terms: Sequence[Term], size: float, unit: Unit, bound: float | None = None
) -> Figure:
    """The sum of the terms' costs at a size; unknown if the sum's interval is too wide."""
    low = middle = high = 0.0
    origins = []
    for term in terms:
        law = slopes.law(term.probe) if slopes is not None else None
        if law is None:
            return unknown(unit, f"`benchmarks.slopes --only {term.probe}`", bound)
        origins.append(f"{term.probe} (exponent {law.exponent:.2f})")
        prediction = law.at(size)
        low, high = low + term.times * prediction.low, high + term.times * prediction.high
        middle += term.times * law.value(size)
    wide = high > MAX_INTERVAL_RATIO * low
    value = Unknown(TOO_WIDE, low, high) if wide else Estimate(middle, low, high)
    return Figure(value, unit, "slopes: " + ", ".join(origins), bound)


def from_scale_run(
    scale: ScaleRun | None, cost: str, unit: Unit, times: float, bound: float | None
) -> Figure:
    """A cost of the scale run at the full size, times `times` to convert it to the unit."""
    found = scale.costs.get(cost) if scale is not None else None
    if found is None:
        return unknown(unit, f"`benchmarks.scale`: {cost}", bound)
    origin = f"scale run: {cost} (exponent {found.exponent:.2f})"
    if found.at_size is None:
        why = found.why_unknown or TOO_WIDE
        return Figure(Unknown(why, times * found.low, times * found.high), unit, origin, bound)
    value = Estimate(times * found.at_size, times * found.low, times * found.high)
    return Figure(value, unit, origin, bound)


def from_summary(scale: ScaleRun | None, name: str, unit: Unit, bound: float | None) -> Figure:
    """A figure of the scale run's summary."""
    found = scale.number(name) if scale is not None else None
    if found is None and scale is not None and isinstance(at_size := scale.summary.get("at_size"), dict):
        value = at_size.get(name)
        found = float(value) if isinstance(value, int | float) else None
    if scale is None or found is None:
        return unknown(unit, f"`benchmarks.scale`: {name}", bound)
    origin = f"scale run, {scale.senders} senders, {scale.destinations} destinations"
    return Figure(exact(found), unit, origin, bound)
