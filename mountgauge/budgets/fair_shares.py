"""Divides slices among members: weighted max-min fair shares, rounded to integers. Pure.

Source: D. Bertsekas and R. Gallager, "Data Networks", 6.5.2 (max-min fair shares by progressive filling).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

HEADROOM = 1.15  # factor on the demand, so that a growing demand becomes visible


class Demand(NamedTuple):
    """How many slices of the pool a member could use (may be a fraction), and its weight."""

    slices: float
    weight: float = 1.0


def max_min(total: float, demands: Mapping[str, Demand]) -> dict[str, float]:
    """Shares of `total` as real numbers. No share exceeds its demand, and none could grow without lowering
    a share that is smaller for its weight.
    """
    shares = dict.fromkeys(demands, 0.0)
    unsatisfied = {name for name, demand in demands.items() if demand.slices > 0 and demand.weight > 0}
    remainder = total
    while unsatisfied and remainder > 1e-12:
        level = remainder / sum(demands[name].weight for name in unsatisfied)
        satisfied = {
            name for name in unsatisfied
            if demands[name].slices - shares[name] <= level * demands[name].weight
        }  # fmt: skip
        for name in satisfied or unsatisfied:
            shares[name] = (
                demands[name].slices if name in satisfied else shares[name] + level * demands[name].weight
            )
        remainder = total - sum(shares.values())
        if not satisfied:
            break
        unsatisfied -= satisfied
    return shares


def divide(slices: int, demands: Mapping[str, Demand]) -> dict[str, int]:
    """The number of slices for each member, `slices` together at most; rounded by largest remainder, ties
    by name.

    Slices without demand are spread by weight, so that a member whose demand begins has some at once. A
    member that could use a fraction of a slice gets a whole one where there is one.
    """
    raised = {
        name: Demand(min(float(slices), max(0.0, demand.slices * HEADROOM)), demand.weight)
        for name, demand in demands.items()
    }
    real = max_min(slices, raised)
    idle = slices - sum(real.values())
    weights = sum(max(0.0, demand.weight) for demand in demands.values())
    if idle > 1e-9 and weights > 0:
        real = {name: share + idle * max(0.0, demands[name].weight) / weights for name, share in real.items()}
    rounded = {name: math.floor(share + 1e-9) for name, share in real.items()}
    remainder = slices - sum(rounded.values())
    by_fraction = sorted(real, key=lambda name: (rounded[name] - real[name], name))
    for name in by_fraction[: max(0, remainder)]:
        if real[name] - rounded[name] > 1e-9:
            rounded[name] += 1
    return rounded
