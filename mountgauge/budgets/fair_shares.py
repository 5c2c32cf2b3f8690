"""Who should hold how many slices: max-min by weight, in whole slices. Pure.

Source: D. Bertsekas and R. Gallager, "Data Networks", 6.5.2 (max-min fair shares by progressive filling).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

HEADROOM = 1.15  # of what is wanted: demand must be able to show that it grows


class Demand(NamedTuple):
    """What a member could use of the pool, in slices (need not be whole), and its weight."""

    slices: float
    weight: float = 1.0


def max_min(total: float, wants: Mapping[str, Demand]) -> dict[str, float]:
    """Shares of `total` in real numbers: none above what it wants, and none could have more without one that
    has less for its weight having less still.
    """
    found = dict.fromkeys(wants, 0.0)
    open_ = {name for name, want in wants.items() if want.slices > 0 and want.weight > 0}
    left = total
    while open_ and left > 1e-12:
        level = left / sum(wants[name].weight for name in open_)
        full = {name for name in open_ if wants[name].slices - found[name] <= level * wants[name].weight}
        for name in full or open_:
            found[name] = wants[name].slices if name in full else found[name] + level * wants[name].weight
        left = total - sum(found.values())
        if not full:
            break
        open_ -= full
    return found


def divide(slices: int, wants: Mapping[str, Demand]) -> dict[str, int]:
    """Whole slices for each; together `slices` at most, by largest remainder, ties by name.

    What nobody wants is spread by weight, so that a member that begins to ask has something at once; one that
    wants a part of a slice gets all of it where there is one.
    """
    wanted = {
        name: Demand(min(float(slices), max(0.0, want.slices * HEADROOM)), want.weight)
        for name, want in wants.items()
    }
    real = max_min(slices, wanted)
    idle = slices - sum(real.values())
    weights = sum(max(0.0, want.weight) for want in wants.values())
    if idle > 1e-9 and weights > 0:
        real = {name: share + idle * max(0.0, wants[name].weight) / weights for name, share in real.items()}
    found = {name: math.floor(share + 1e-9) for name, share in real.items()}
    left = slices - sum(found.values())
    by_rest = sorted(real, key=lambda name: (found[name] - real[name], name))
    for name in by_rest[: max(0, left)]:
        if real[name] - found[name] > 1e-9:
            found[name] += 1
    return found
