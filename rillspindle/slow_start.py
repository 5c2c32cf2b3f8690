"""Slow start: the calls a second that one sender makes at a destination that may be cold (rule 4).

A destination that comes back from an outage has `start_capacity` of its capacity, and all of it after `cold`
seconds. All senders together may make `fall_multiple` times what it can do at that moment, and none hears of
the others. So each takes its own part of that budget, and the parts add up to the whole:

    calls/s = PART x fall_multiple x warm share x part of the capacity

The part is this sender's share of the listed limit. Where none is listed it is the rate at which calls were
answered while the destination was healthy, and before the first such answers what is asked of it. What is
asked says nothing of the capacity where it is known: it counts messages, not calls, and may be past it.
"""

from __future__ import annotations

import math

from rillspindle.interface import Settings
from rillspindle.state import Route

PART = 1.1  # of this sender's part of the budget: healthy rates leave capacity unused


def warm_share(route: Route, now: float, settings: Settings) -> float:
    """Share of its capacity that the destination has by now, counted from its first answer."""
    age = max(0.0, now - route.cold_since) if route.rate_at >= route.cold_since else 0.0
    return settings.start_capacity + (1 - settings.start_capacity) * min(1.0, age / settings.cold)


def calls_per_s(route: Route, demand: float, now: float, settings: Settings) -> float:
    """This sender's calls a second, by its own `demand` in messages a second; infinite once it is warm."""
    share = warm_share(route, now, settings)
    if share >= 1.0:
        return math.inf
    part = route.limit or max(route.rate or demand, 1 / settings.cold)
    return PART * settings.fall_multiple * share * part
