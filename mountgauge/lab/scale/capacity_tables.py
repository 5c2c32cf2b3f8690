"""Markdown tables of the capacity page, with numbers in readable units. Pure functions, no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from mountgauge.lab.scale.capacity import Capacity, FailureRow, OutageRow
from mountgauge.lab.scale.figures import NOT_MEASURED, TOO_WIDE, Figure, Row, Unit
from mountgauge.lab.scale.fit import Estimate, Fit, Unknown
from mountgauge.lab.scale.kept_results import Slope, Slopes
from mountgauge.lab.scale.limits import BreakPoint
from mountgauge.lab.scale.size import FleetSize

_BYTES = ((1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "bytes"))
_SECONDS = ((86_400.0, "days"), (3_600.0, "h"), (1.0, "s"), (1e-3, "ms"), (1e-6, "us"))
_SIGNIFICANT_DIGITS = 3
_NO_VALUE = "-"
_MAX_FIRST_BEFORE = 4


def short(value: float) -> str:
    """A number with three significant digits and grouped thousands."""
    if value == 0 or not math.isfinite(value):
        return f"{value:g}"
    digits = _SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value)))
    if digits > 9:
        return f"{value:.2g}"
    rounded = round(value, digits)
    return f"{rounded:,.0f}" if digits <= 0 else f"{rounded:,.{digits}f}".rstrip("0").rstrip(".")


def grouped(value: float) -> str:
    """A number without decimals and with grouped thousands."""
    return f"{value:,.0f}"


def per_cent(value: float) -> str:
    """A share as a percentage."""
    return f"{short(100 * value)} %"


def number(value: float, unit: Unit) -> str:
    """A value, scaled to a unit that suits its magnitude."""
    match unit:
        case Unit.BYTES | Unit.BYTES_PER_S:
            factor, name = next((one for one in _BYTES if value >= one[0]), _BYTES[-1])
            return f"{short(value / factor)} {name}" + ("/s" if unit is Unit.BYTES_PER_S else "")
        case Unit.SECONDS:
            factor, name = next((one for one in _SECONDS if value >= one[0]), _SECONDS[-1])
            return f"{short(value / factor)} {name}"
        case Unit.CORE:
            return f"{per_cent(value)} of a core" if value <= 1 else f"{short(value)} cores"
        case Unit.PER_S:
            return f"{short(value)}/s"
        case Unit.TIMES:
            return per_cent(value)
        case Unit.COUNT:
            return short(value)


def figure_text(figure: Figure) -> str:
    """The value with its interval, or "unknown" with the interval that is too wide."""
    unit = figure.unit
    match figure.value:
        case Estimate(value, low, high) if low == high:
            return number(value, unit)
        case Estimate(value, low, high):
            return f"{number(value, unit)} ({number(low, unit)} to {number(high, unit)})"
        case Unknown(_, low, high) if math.isfinite(low) and math.isfinite(high):
            return f"**unknown** ({number(low, unit)} to {number(high, unit)})"
        case _:
            return "**unknown**"


def table(columns: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """A Markdown table without a final newline."""
    rows = [columns, ["---"] * len(columns), *lines]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def role_table(rows: Iterable[Row]) -> str:
    """The table of a role's figures."""

    def line(row: Row) -> list[str]:
        figure = row.figure
        bound = _NO_VALUE if figure.bound is None else number(figure.bound, figure.unit)
        share = _NO_VALUE if figure.share is None else per_cent(figure.share)
        return [row.label, figure_text(figure), bound, share, row.mechanism, figure.origin]

    return table(("what", "figure", "bound", "share", "mechanism", "from"), map(line, rows))


def _factor(value: float | None) -> str:
    return _NO_VALUE if value is None else short(value)


def limits_table(points: Sequence[BreakPoint]) -> str:
    """The table of the limits that were measured, in the given order."""
    columns = (
        "#",
        "what",
        "bound",
        "reached at",
        "of",
        "factor",
        "before",
        "with shards",
        "from",
        "mechanism",
    )
    known = [one for one in points if one.has_laws]
    return table(
        columns,
        [
            [
                str(rank),
                one.limit.label,
                number(one.limit.bound, one.limit.unit),
                "never" if one.size is None else short(one.size),
                f"{grouped(one.limit.size)} {one.limit.axis}",
                _factor(one.factor),
                _factor(one.before),
                _factor(one.with_shards),
                "measured" if one.measured else "fitted",
                f"`{one.limit.mechanism}`",
            ]
            for rank, one in enumerate(known, 1)
        ],
    )


def first_before(points: Sequence[BreakPoint]) -> list[str]:
    """The limits with the largest factors by the previous slopes."""
    known = [(one.before, one.limit) for one in points if one.before is not None]
    known.sort(key=lambda pair: -pair[0])
    return [f"{limit.label} ({short(factor)})" for factor, limit in known[:_MAX_FIRST_BEFORE]]


def failures_table(rows: Iterable[FailureRow]) -> str:
    """The table of failures and their effects."""
    columns = (
        "what",
        "a day",
        "senders",
        "events/s that others take",
        "messages that wait",
        "places moved",
        "stale",
        "refused",
    )
    return table(
        columns,
        [
            [
                one.label,
                *map(short, (one.per_day, one.senders, one.events_per_s, one.waiting, one.moved_replicas)),
                one.stale,
                one.refused,
            ]
            for one in rows
        ],
    )


def outages_table(rows: Iterable[OutageRow], return_s: float) -> str:
    """The table of outages of destinations."""
    columns = (
        "way",
        "down for",
        "senders that learn of it",
        "trials/s at one",
        "over the fleet",
        "of one sender",
        f"calls in {return_s:g} s after the return",
        "borne when cold, N",
        "N + 2 root N + 2",
        "refused of these",
        "given up",
    )
    lines = []
    for one in rows:
        seen = one.run.seen
        values = (
            seen.learned,
            seen.trials_per_s,
            one.trials_fleet,
            one.trials_sender,
            seen.calls_after,
            one.budget,
            one.allowed,
            seen.refused_after,
            seen.given_up,
        )
        lines.append([one.run.way, f"{one.run.down_s:g} s", *map(short, values)])
    return table(columns, lines)


def slopes_table(slopes: Slopes, before: Slopes | None, size: FleetSize) -> str:
    """The table of the fitted laws of all probes, beside those of the previous slopes."""
    columns = (
        "probe",
        "against",
        "measured",
        "model",
        "exponent",
        "residual",
        "at the largest",
        "at the size",
        "load",
        "before: exponent",
        "before: at the largest",
        "source",
    )
    return table(columns, [_slope_line(one, before, size) for one in slopes.by_name.values()])


def _slope_line(one: Slope, before: Slopes | None, size: FleetSize) -> list[str]:
    old = before.by_name.get(one.name) if before is not None else None
    law = one.law
    span = f"{short(one.measurements[0].size)} to {short(one.measurements[-1].size)}"
    return [
        one.name,
        one.axis,
        span,
        law.model.value if law is not None else "too few sizes",
        _exponent(law),
        f"{law.residual:.3f}" if law is not None else _NO_VALUE,
        _largest(one),
        _at_size(one, size),
        f"{one.load_average:g}",
        _exponent(old.law if old is not None else None),
        _largest(old) if old is not None else _NO_VALUE,
        f"`{one.source}`",
    ]


def _exponent(law: Fit | None) -> str:
    return _NO_VALUE if law is None else f"{law.exponent:.2f}"


def _largest(one: Slope) -> str:
    """The measurement at the largest size."""
    last = one.measurements[-1]
    return f"{number(last.cost, Unit(one.unit))} at {short(last.size)}"


def _at_size(one: Slope, size: FleetSize) -> str:
    targets = {
        "destinations": float(size.destinations),
        "members": float(size.senders),
        "messages": size.backlog_per_sender,
    }
    target = targets.get(one.axis)
    if target is None or one.law is None:
        return _NO_VALUE
    return figure_text(Figure(one.law.at(target), Unit(one.unit), ""))


def unknowns(found: Capacity) -> list[str]:
    """Each unknown figure of the tables, with the measurement that would give it."""
    tables = [(role.name, role.rows) for role in found.roles] + [("Data", found.data)]
    return [
        f"{name}, {row.label}: {_needed_measurement(row.figure, row.figure.value.why)}"
        for name, rows in tables
        for row in rows
        if isinstance(row.figure.value, Unknown)
    ]


def _needed_measurement(figure: Figure, why: str) -> str:
    if why == NOT_MEASURED:
        return figure.origin
    if why.startswith("interval"):
        return f"{TOO_WIDE}; larger sizes on a quieter machine would tell"
    return why
