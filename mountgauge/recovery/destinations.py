"""The state of each destination, derived from the decision module's records. Nothing is decided here."""

from __future__ import annotations

from mountgauge.recovery.phases import DestinationState
from rillspindle import Policy
from rillspindle.state import Dest, Route

_RECENT_CALL_S = 5.0  # s since the last call within which a destination counts as in use
_HIGH_REFUSAL_SHARE = 0.5  # share of refused calls above which a destination may count as held up


def is_held_up(policy: Policy, route: Route, now: float) -> bool:
    """Whether most calls have been refused for longer than a limit takes to recover."""
    turns = 2 / max(route.limit or route.rate_limit, policy.min_rate)
    return (
        route.reject_share > _HIGH_REFUSAL_SHARE and now - route.reject_since > policy.settings.fall + turns
    )


def _state(policy: Policy, dest: Dest, route: Route, now: float) -> DestinationState:
    if is_held_up(policy, route, now):
        return DestinationState.HELD_UP
    asked = dest.accepted / max(now - policy.started_at, 8.0)
    if not route.ramp or (not dest.queued and route.rate_limit >= 2 * asked):
        return DestinationState.SHOWN
    return DestinationState.RAMPING


def unique_routes(dest: Dest) -> list[Route]:
    """The routes of a destination, each once."""
    found = {id(route): route for route in (dest.route, *(ep.route for ep in dest.endpoints))}
    return list(found.values())


def _has_calls(dest: Dest) -> bool:
    """Whether any route of the destination has had a call; of many destinations, most have had none."""
    return bool(dest.route.calls) or any(ep.route.calls for ep in dest.endpoints)


def destination_states(policy: Policy, now: float) -> dict[int, DestinationState]:
    """The state of each destination in use: the worst state of its routes."""
    found: dict[int, DestinationState] = {}
    order = [DestinationState.SHOWN, DestinationState.RAMPING, DestinationState.HELD_UP]
    for dest in policy.destinations.values():
        if not dest.queued and not _has_calls(dest):
            continue
        routes = [one for one in unique_routes(dest) if one.calls or one is dest.route]
        last = max((one.calls[-1] for one in routes if one.calls), default=-1e9)
        if dest.queued or now - last < _RECENT_CALL_S:
            found[dest.id] = max((_state(policy, dest, one, now) for one in routes), key=order.index)
    return found
