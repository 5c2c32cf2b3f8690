"""Growth laws fitted to measured costs: exponent, coefficient, residual and the interval at another size.

Costs are fitted on logarithms, so that each size has the same weight regardless of its cost. Two models are
available:

- `power`: cost = b * size^k, by least squares of ln(cost) on ln(size);
- `offset-power`: cost = a + b * size^k with a > 0, by Gauss-Newton steps with damping (Levenberg, 1944).

Model selection (`fit`): the plain power law, unless there are at least `OFFSET_MIN_SIZES` sizes, the constant
term is at least `OFFSET_MIN_SHARE` of the smallest cost, the exponent beside it is at most
`OFFSET_MAX_EXPONENT` (a steeper one results from a single outlier), and the residual with it is below
`OFFSET_RESIDUAL_SHARE` of the plain law's. Only then is the additional parameter justified.

`Fit.at` gives the 95 % prediction interval (Student's t; for `offset-power` by the delta method). The result
is `Unknown` if the interval is too wide to be useful: the upper end is more than `MAX_INTERVAL_RATIO` times
the lower one.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import numpy as np
    from numpy.typing import NDArray

    Vector = NDArray[np.float64]

MIN_SIZES = 3  # of a plain power law: two parameters and one degree of freedom
OFFSET_MIN_SIZES = 5
OFFSET_MIN_SHARE = 0.05
OFFSET_RESIDUAL_SHARE = 0.5
OFFSET_MAX_EXPONENT = 3.0
MAX_INTERVAL_RATIO = 2.0  # upper over lower end
_EXACT_RESIDUAL = 1e-9  # residual below which a law fits all measurements exactly
_MAX_STEPS = 200
_MAX_FLAT_EXPONENT = 0.05

# 0.975 quantiles of Student's t distribution for 1, 2, ... degrees of freedom; beyond the table, the normal
# distribution's.
_STUDENT_T = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
)  # fmt: skip
_NORMAL = 1.960


class FitError(ValueError):
    """The measurements cannot be fitted; the message is one line."""


class Model(StrEnum):
    """The form of a growth law."""

    POWER = "power"
    OFFSET_POWER = "offset-power"


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured cost at one size, in any unit."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class Estimate:
    """A cost at a size that was not measured, with its 95 % prediction interval."""

    value: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """No figure: the interval is too wide, or nothing was measured. `why` is a short phrase."""

    why: str
    low: float = math.nan
    high: float = math.nan


Prediction = Estimate | Unknown


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted growth law: cost = constant + coefficient * size^exponent."""

    model: Model
    exponent: float
    coefficient: float
    constant: float  # 0 for `power`
    residual: float  # standard error of ln(cost), by degrees of freedom
    smallest: float  # measured size
    largest: float  # measured size
    degrees: int  # of freedom
    covariance: tuple[tuple[float, ...], ...]  # of the parameters per unit of squared residual

    @property
    def flat(self) -> bool:
        """Whether the cost is nearly independent of the size."""
        return abs(self.exponent) < _MAX_FLAT_EXPONENT

    def value(self, size: float) -> float:
        """The cost at a size."""
        return self.constant + self.coefficient * math.pow(size, self.exponent)

    def at(self, size: float) -> Prediction:
        """The cost at a size with its interval, or Unknown if the interval is too wide."""
        middle = self.value(size)
        spread = student_t(self.degrees) * self.residual * math.sqrt(1 + self._leverage(size))
        if spread > math.log(MAX_INTERVAL_RATIO) / 2:
            low, high = _bounds(middle, spread)
            return Unknown(f"interval {low:.3g} to {high:.3g}", low, high)
        low, high = _bounds(middle, spread)
        return Estimate(middle, low, high)

    def _leverage(self, size: float) -> float:
        gradient = _gradient(self, size)
        return sum(
            gradient[row] * self.covariance[row][column] * gradient[column]
            for row in range(len(gradient))
            for column in range(len(gradient))
        )


def _bounds(middle: float, spread: float) -> tuple[float, float]:
    factor = math.exp(min(spread, 700.0))  # e^709 is the largest double
    return middle / factor, middle * factor


def _gradient(found: Fit, size: float) -> tuple[float, ...]:
    """The gradient of ln(cost) by the parameters: (ln b, k), or (ln a, ln b, k) with a constant term."""
    if found.model is Model.POWER:
        return (1.0, math.log(size))
    grown = found.coefficient * size**found.exponent
    grown_share = grown / (found.constant + grown)
    return (1 - grown_share, grown_share, grown_share * math.log(size))


def student_t(degrees: int) -> float:
    """The factor of a 95 % interval for a number of degrees of freedom."""
    return _STUDENT_T[degrees - 1] if degrees <= len(_STUDENT_T) else _NORMAL


def fit(measurements: Sequence[Measurement]) -> Fit:
    """Fit a growth law, selected by the module's rule; raises FitError if there are too few measurements."""
    plain = fit_power(measurements)
    if len({one.size for one in measurements}) < OFFSET_MIN_SIZES or plain.residual < _EXACT_RESIDUAL:
        return plain
    with_offset = fit_offset_power(measurements)
    smallest_cost = min(one.cost for one in measurements)
    offset_justified = (
        with_offset.constant >= OFFSET_MIN_SHARE * smallest_cost
        and 0 < with_offset.exponent <= OFFSET_MAX_EXPONENT
        and with_offset.residual < OFFSET_RESIDUAL_SHARE * plain.residual
    )
    return with_offset if offset_justified else plain


def _logarithms(measurements: Sequence[Measurement], least: int) -> tuple[Vector, Vector]:
    import numpy as np

    sizes = {one.size for one in measurements}
    if len(sizes) < least:
        raise FitError(f"{len(sizes)} different sizes: a fit needs {least}")
    for one in measurements:
        if not (one.size > 0 and one.cost > 0 and math.isfinite(one.size) and math.isfinite(one.cost)):
            raise FitError(f"size {one.size:g}, cost {one.cost:g}: both must be above 0")
    return (
        np.log(np.array([one.size for one in measurements], dtype=np.float64)),
        np.log(np.array([one.cost for one in measurements], dtype=np.float64)),
    )


def fit_power(measurements: Sequence[Measurement]) -> Fit:
    """Fit cost = b * size^k."""
    import numpy as np

    size_logs, cost_logs = _logarithms(measurements, MIN_SIZES)
    design = np.column_stack([np.ones_like(size_logs), size_logs])
    parameters = np.linalg.lstsq(design, cost_logs, rcond=None)[0]
    errors = cost_logs - design @ parameters
    degrees = len(cost_logs) - 2
    covariance = np.linalg.inv(design.T @ design)
    return Fit(
        Model.POWER,
        float(parameters[1]),
        float(np.exp(parameters[0])),
        0.0,
        float(np.sqrt(errors @ errors / degrees)),
        float(np.exp(size_logs.min())),
        float(np.exp(size_logs.max())),
        degrees,
        tuple(tuple(map(float, row)) for row in covariance),
    )


def fit_offset_power(measurements: Sequence[Measurement]) -> Fit:
    """Fit cost = a + b * size^k, with a above 0."""
    import numpy as np

    size_logs, cost_logs = _logarithms(measurements, OFFSET_MIN_SIZES)
    parameters = _initial_parameters(measurements, size_logs, cost_logs)
    damping = 1e-3
    errors, slopes = _offset_errors(parameters, size_logs, cost_logs)
    for _ in range(_MAX_STEPS):
        normal = slopes.T @ slopes
        step = np.linalg.solve(normal + damping * np.eye(3), slopes.T @ errors)
        tried = parameters + np.clip(step, -2.0, 2.0)
        tried_errors, tried_slopes = _offset_errors(tried, size_logs, cost_logs)
        if tried_errors @ tried_errors < errors @ errors:
            parameters, errors, slopes = tried, tried_errors, tried_slopes
            damping = max(damping / 3, 1e-12)
        else:
            damping *= 4
        if damping > 1e9 or np.abs(step).max() < 1e-10:
            break
    degrees = len(cost_logs) - 3
    covariance = np.linalg.pinv(slopes.T @ slopes)
    return Fit(
        Model.OFFSET_POWER,
        float(parameters[2]),
        float(np.exp(parameters[1])),
        float(np.exp(parameters[0])),
        float(np.sqrt(errors @ errors / degrees)),
        float(np.exp(size_logs.min())),
        float(np.exp(size_logs.max())),
        degrees,
        tuple(tuple(map(float, row)) for row in covariance),
    )


def _initial_parameters(measurements: Sequence[Measurement], size_logs: Vector, cost_logs: Vector) -> Vector:
    """Initial ln a, ln b and k: the best fit over several constant terms below the smallest cost."""
    import numpy as np

    smallest = min(one.cost for one in measurements)
    costs = np.exp(cost_logs)
    design = np.column_stack([np.ones_like(size_logs), size_logs])
    best, least = np.zeros(3), math.inf
    for share in (0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.9, 0.95, 0.99):
        constant = share * smallest
        line = np.linalg.lstsq(design, np.log(costs - constant), rcond=None)[0]
        tried = np.array([math.log(constant), float(line[0]), float(line[1])])
        errors, _ = _offset_errors(tried, size_logs, cost_logs)
        if float(errors @ errors) < least:
            best, least = tried, float(errors @ errors)
    return best


def _offset_errors(parameters: Vector, size_logs: Vector, cost_logs: Vector) -> tuple[Vector, Vector]:
    """The residuals of ln(cost), and the derivatives of the law by ln a, ln b and k."""
    import numpy as np

    constant = np.exp(parameters[0])
    grown = np.exp(np.clip(parameters[1] + parameters[2] * size_logs, -700.0, 700.0))
    costs = constant + grown
    grown_share = grown / costs
    slopes = np.column_stack([1 - grown_share, grown_share, grown_share * size_logs])
    return cost_logs - np.log(costs), slopes
