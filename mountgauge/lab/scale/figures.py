"""Figures of the capacity page: values with intervals, where they come from, and their bounds. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from mountgauge.lab.scale.fit import WIDEST_INTERVAL, Estimate, Prediction, Unknown
from mountgauge.lab.scale.kept_results import ScaleRun, Slopes

NOT_MEASURED, TOO_WIDE = "not measured", "interval too wide"


class Unit(StrEnum):
    SECONDS = "s"
    BYTES = "bytes"
    BYTES_PER_S = "bytes/s"
    CORE = "core"
    PER_S = "/s"
    COUNT = ""
    TIMES = "times"


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of the page; `bound` in the same unit, where there is one."""

    value: Prediction
    unit: Unit
    origin: str
    bound: float | None = None

    @property
    def share(self) -> float | None:
        """Of the bound."""
        if self.bound is None or isinstance(self.value, Unknown):
            return None
        return self.value.value / self.bound


@dataclass(frozen=True, slots=True)
class Row:
    """One line of a role's table."""

    label: str
    figure: Figure
    mechanism: str


@dataclass(frozen=True, slots=True)
class Role:
    name: str
    rows: tuple[Row, ...]
    note: str = ""


@dataclass(frozen=True, slots=True)
class Term:
    """A probe's cost, so many times (a second, or in all)."""

    probe: str
    times: float = 1.0


def exactly(value: float) -> Estimate:
    return Estimate(value, value, value)


def plain(value: float, unit: Unit, how: str, bound: float | None = None) -> Figure:
    """A figure of arithmetic on the size alone."""
    return Figure(exactly(value), unit, how, bound)


def unknown(unit: Unit, would_tell: str, bound: float | None = None) -> Figure:
    return Figure(Unknown(NOT_MEASURED), unit, would_tell, bound)


def summed(
    slopes: Slopes | None, terms: Sequence[Term], at: float, unit: Unit, bound: float | None = None
) -> Figure:
    """The terms' costs at a size, added up; unknown where the sum's interval is too wide."""
    low = middle = high = 0.0
    origins = []
    for term in terms:
        law = slopes.law(term.probe) if slopes is not None else None
        if law is None:
            return unknown(unit, f"`benchmarks.slopes --only {term.probe}`", bound)
        origins.append(f"{term.probe} (exponent {law.exponent:.2f})")
        there = law.at(at)
        low, high = low + term.times * there.low, high + term.times * there.high
        middle += term.times * law.value(at)
    wide = high > WIDEST_INTERVAL * low
    value = Unknown(TOO_WIDE, low, high) if wide else Estimate(middle, low, high)
    return Figure(value, unit, "slopes: " + ", ".join(origins), bound)


def of_scale_run(scale: ScaleRun | None, cost: str, unit: Unit, times: float, bound: float | None) -> Figure:
    """A cost of the scale run, in this page's unit."""
    found = scale.costs.get(cost) if scale is not None else None
    if found is None:
        return unknown(unit, f"`benchmarks.scale`: {cost}", bound)
    origin = f"scale run: {cost} (exponent {found.exponent:.2f})"
    if found.at_size is None:
        why = found.why_unknown or TOO_WIDE
        return Figure(Unknown(why, times * found.low, times * found.high), unit, origin, bound)
    value = Estimate(times * found.at_size, times * found.low, times * found.high)
    return Figure(value, unit, origin, bound)


def of_summary(scale: ScaleRun | None, name: str, unit: Unit, bound: float | None) -> Figure:
    """A figure of the scale run's last line."""
    found = scale.number(name) if scale is not None else None
    if found is None and scale is not None and isinstance(at_size := scale.summary.get("at_size"), dict):
        value = at_size.get(name)
        found = float(value) if isinstance(value, int | float) else None
    if scale is None or found is None:
        return unknown(unit, f"`benchmarks.scale`: {name}", bound)
    at = f"scale run, {scale.senders} senders, {scale.destinations} destinations"
    return Figure(exactly(found), unit, at, bound)
