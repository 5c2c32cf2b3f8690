"""Fair loads of groups and members: how many replicas each should hold, by weight."""

from __future__ import annotations

import math
from collections.abc import Mapping

MAX_LOAD_RATIO = 1.25  # upper bound of a member's load, relative to its fair load


def group_loads(weights: Mapping[str, int], shard_count: int, replicas: int) -> dict[str, float]:
    """Return each group's fair load: proportional to weight, but at most one replica of each shard.

    Load above that limit is distributed over the other groups by their weights. `replicas` must be at most
    the number of groups, so that the loads sum to `shard_count * replicas`.
    """
    found: dict[str, float] = {}
    open_, left = dict(weights), float(shard_count * replicas)
    while open_:
        factor = left / sum(open_.values())
        full = [name for name, weight in open_.items() if weight * factor > shard_count]
        if not full:
            found.update((name, weight * factor) for name, weight in open_.items())
            break
        for name in full:
            found[name] = float(shard_count)
            left -= shard_count
            del open_[name]
    return found


def round_shares(shares: Mapping[str, float], total: int) -> dict[str, int]:
    """Round shares that sum to `total` to integers with the same sum, by the largest-remainder method."""
    found = {name: math.floor(share) for name, share in shares.items()}
    remainder = total - sum(found.values())
    by_remainder = sorted(shares, key=lambda name: (found[name] - shares[name], name))
    for name in by_remainder[:remainder]:
        found[name] += 1
    return found


def max_load(fair: float) -> int:
    """Return the most replicas that a member with this fair load may hold; never below the fair load."""
    return max(math.ceil(fair), math.floor(MAX_LOAD_RATIO * fair))
