"""The number of calls that all owners of a cold destination together may send to it.

An owner is a sender on which the destination's shard is placed. Each owner's decision module divides the
limits that it knows by the number of replicas, and ramps up as after a restart, without coordination
between owners. An owner that loses the shard accepts no more messages for it and finishes those that it
has; until then, one more owner sends than the replicas count. The bound here includes that case.
"""

from __future__ import annotations

import math


def cold_budget(capacity: float, multiple: float) -> float:
    """Return how many calls may reach a destination in a time in which its capacity is `capacity` calls.

    `multiple` is a setting (`fallMultiple`).
    """
    return multiple * capacity


def budget_with_chance_margin(budget: float) -> float:
    """Return the budget with a margin for random variation: two standard deviations and two calls."""
    return budget + 2 * math.sqrt(budget) + 2
