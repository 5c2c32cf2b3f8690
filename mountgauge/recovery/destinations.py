"""The state of each destination, read off the decision module's records. Nothing here decides."""

from __future__ import annotations

from mountgauge.recovery.phases import DestinationState
from rillspindle import Policy
from rillspindle.state import Dest, Route

_ASKED_S = 5.0  # s since the last call in which a destination counts as asked for
_MOSTLY = 0.5  # share of refusals past which a destination refuses most


def held_up(policy: Policy, route: Route, now: float) -> bool:
    """Whether most calls have been refused for longer than a limit takes to recover."""
    turns = 2 / max(route.limit or route.rate_limit, policy.min_rate)
    return route.reject_share > _MOSTLY and now - route.reject_since > policy.settings.fall + turns


def _state(policy: Policy, dest: Dest, route: Route, now: float) -> DestinationState:
    if held_up(policy, route, now):
        return DestinationState.HELD_UP
    asked = dest.accepted / max(now - policy.started_at, 8.0)
    if not route.ramp or (not dest.queued and route.rate_limit >= 2 * asked):
        return DestinationState.SHOWN
    return DestinationState.RAMPING


def routes_of(dest: Dest) -> list[Route]:
    """The routes of a destination, each once."""
    found = {id(route): route for route in (dest.route, *(ep.route for ep in dest.endpoints))}
    return list(found.values())


def _called(dest: Dest) -> bool:
    """Whether any of its routes has had a call: most of many destinations have not."""
    return bool(dest.route.calls) or any(ep.route.calls for ep in dest.endpoints)


def destination_states(policy: Policy, now: float) -> dict[int, DestinationState]:
    """The destinations that are asked for: the worst of each one's routes."""
    found: dict[int, DestinationState] = {}
    order = [DestinationState.SHOWN, DestinationState.RAMPING, DestinationState.HELD_UP]
    for dest in policy.destinations.values():
        if not dest.queued and not _called(dest):
            continue
        routes = [one for one in routes_of(dest) if one.calls or one is dest.route]
        last = max((one.calls[-1] for one in routes if one.calls), default=-1e9)
        if dest.queued or now - last < _ASKED_S:
            found[dest.id] = max((_state(policy, dest, one, now) for one in routes), key=order.index)
    return found
