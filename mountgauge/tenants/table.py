"""The table of `mountgauge tenants`."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any


def tenant_table(found: Mapping[str, Any]) -> Iterator[str]:
    """Lines of text from the answer to `GET /tenants`."""
    width = max([6, *(len(one["tenant"]) for one in found["tenants"])])
    head = f"{'USED':>12} {'AT MOST':>12} {'RATE/S':>9} {'QUOTA/S':>9} {'REFUSED HERE':>12}"
    yield f"{'TENANT':<{width}} {head}"
    for one in found["tenants"]:
        quota = "-" if one["quota"] is None else f"{one['quota']:g}"
        yield (
            f"{one['tenant']:<{width}} {one['low']:>12} {one['high']:>12} {one['rate']:>9.2f} {quota:>9}"
            f" {one['refused_here']:>12}"
        )
    if found["left_out"]:
        yield f"... and {found['left_out']} more tenants"
    if found["members"]:
        names = max([6, *(len(one["name"]) for one in found["members"])])
        yield ""
        yield f"{'MEMBER':<{names}} {'LIFE':<16} {'PRESENCE':<10} {'WORD AGE S':>10} {'TRIP MS':>8} ADDRESS"
        for one in sorted(found["members"], key=lambda m: (m["name"], m["life"])):
            trip = "-" if one["round_trip_ms"] is None else f"{one['round_trip_ms']:g}"
            where = "itself" if one["self"] else one["address"] or "-"
            yield (
                f"{one['name']:<{names}} {one['life']:<16} {one['presence']:<10} {one['age_s']:>10.1f}"
                f" {trip:>8} {where}"
            )
    for name in found["conflicts"]:
        yield f"CONFLICT: two members use the name {name}"
    if found["split"]:
        yield "SPLIT: some members are out of reach; AT MOST grows until they are back"
    if not found["exact"]:
        yield "NOT EXACT: some counts may be missing, or two messages counted as one; see the log"
