"""`[[budget]]`, `[[member]]` and what `[fleet]` says of them, in an operator's file."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from mountgauge.budgets import shares
from mountgauge.budgets.membership import FOREVER, Listed, Lists
from mountgauge.budgets.shares import Budget, Kind, Of
from mountgauge.core.config import ConfigError
from mountgauge.settings_table import Table
from mountgauge.tenants.settings import TenantSettings
from mountgauge.tenants.wire import MAX_NAME_LENGTH

MOST_BUDGETS = 200
MOST_MEMBERS = 64
DRIFT = 0.01  # clocks of one fleet keep time to a second in a hundred, and far better, unless told otherwise


@dataclass(frozen=True, slots=True)
class BudgetFile:
    """`[[member]]` and `[[budget]]` of an operator's file, checked."""

    lists: Lists
    budgets: tuple[Budget, ...]
    drift: float

    @property
    def lease(self) -> float:
        """The longest."""
        return max((one.lease_s for one in self.budgets), default=1.0)


def read_budgets(
    top: Table, me: str, dests: Collection[int], hops: Collection[str], tenants: Collection[TenantSettings]
) -> BudgetFile | None:
    """None where the file has none; ConfigError with one line on the first fault."""
    tables, members = top.tables("budget"), top.tables("member")
    strict = [one for one in tenants if one.strict is not None]
    if not tables and not members and not strict:
        return None
    fleet = top.table("fleet")
    if fleet is None:
        raise ConfigError("budget: needs [fleet]")
    epoch, settled = (int(fleet.get(key, int, default=1)) for key in ("epoch", "settled"))
    drift = float(fleet.get("drift", int, float, default=DRIFT))
    if not 0 <= drift < 0.2:
        raise ConfigError("fleet.drift: 0 to 0.2")
    listed = tuple(_member(table) for table in members)
    if not listed:
        raise ConfigError("member: budgets need the fleet's members, [[member]] each")
    if len(listed) > MOST_MEMBERS:
        raise ConfigError(f"member: {len(listed)} are more than {MOST_MEMBERS}")
    lists = Lists(epoch, listed, settled)
    if why := lists.fault():
        raise ConfigError(f"member: {why}")
    if me not in {one.name for one in listed}:
        raise ConfigError(f"member: '{me}', this file's name, is not among them")
    names = {one.name for one in tenants}
    budgets = tuple(_budget(table, dests, hops, names) for table in tables)
    budgets += tuple(_of_tenant(one) for one in strict)
    if len(budgets) > MOST_BUDGETS:
        raise ConfigError(f"budget: {len(budgets)} are more than {MOST_BUDGETS}")
    count = len(lists.at(epoch))
    for place, one in enumerate(budgets):
        if any(one.name == other.name for other in budgets[:place]):
            raise ConfigError(f"budget[{place}].name: '{one.name}' stands twice")
        if why := shares.fault(one, count):
            where = f"budget[{place}]" if place < len(tables) else f"tenant '{one.of.tenant}'"
            raise ConfigError(f"{where}.{why}")
    return BudgetFile(lists, budgets, drift)


def _name(table: Table) -> str:
    name: str = table.get("name", str)
    if not name or len(name) > MAX_NAME_LENGTH or not all(33 <= ord(c) < 127 for c in name):
        raise ConfigError(f"{table.name}.name: 1 to {MAX_NAME_LENGTH} printable characters without spaces")
    return name


def _member(table: Table) -> Listed:
    place = table.address("at")
    if place is None or not place.port:
        raise ConfigError(f"{table.name}.at: an address with a port is needed")
    found = Listed(
        _name(table), (place.host, place.port), int(table.get("since", int, default=1)),
        int(table.get("until", int, default=FOREVER)), bool(table.get("ended", bool, default=False)),
        bool(table.get("voter", bool, default=True)),
    )  # fmt: skip
    table.done()
    return found


def _number(table: Table, key: str, default: float) -> float:
    value = float(table.get(key, int, float, default=default))
    if value < 0 or not math.isfinite(value):
        raise ConfigError(f"{table.name}.{key}: 0 or more")
    return value


def _of_tenant(one: TenantSettings) -> Budget:
    """The budget by which a strict tenant's quota is met."""
    assert one.strict is not None
    name = f"tenant:{one.name}"
    if len(name) > MAX_NAME_LENGTH:
        raise ConfigError(
            f"tenant '{one.name}': strict is for names of {MAX_NAME_LENGTH - 7} characters at most"
        )
    return Budget(name, Kind.RATE, one.strict.rate, one.strict.burst, Of(tenant=one.name))


def _budget(table: Table, dests: Collection[int], hops: Collection[str], tenants: Collection[str]) -> Budget:
    name, kind = _name(table), table.get("kind", str)
    if kind not in list(Kind):
        raise ConfigError(f"{table.name}.kind: not one of {', '.join(Kind)}")
    whole = _number(table, "whole", -1.0)
    of = Table(table.get("of", dict, default={}), f"{table.name}.of")
    dest = of.get("dest", int) if "dest" in of.raw else None
    endpoint = of.get("endpoint", str) if "endpoint" in of.raw else None
    tenant = of.get("tenant", str) if "tenant" in of.raw else None
    of.done()
    if tenant is not None and tenant not in tenants:
        raise ConfigError(f"{table.name}.of.tenant: no tenant is '{tenant}'")
    if tenant is not None and len(of.raw) > 1:
        raise ConfigError(f"{table.name}.of: a tenant alone, which binds what is taken on")
    if dest is not None and dest not in dests:
        raise ConfigError(f"{table.name}.of.dest: no next hop has {dest}")
    if endpoint is not None and endpoint not in hops:
        raise ConfigError(f"{table.name}.of.endpoint: no next hop is '{endpoint}'")
    for key, only in (("burst", Kind.RATE), ("ends_within", Kind.CONCURRENT), ("period", Kind.ALLOWANCE)):
        if key in table.raw and kind != only:
            raise ConfigError(f"{table.name}.{key}: only for kind '{only}'")
    lease = table.positive("lease", 3600.0 if kind == Kind.ALLOWANCE else 4.0)
    if not 0.5 <= lease <= 86_400:
        raise ConfigError(f"{table.name}.lease: 0.5 to 86400 s")
    found = Budget(
        name, Kind(kind), whole, _number(table, "burst", max(1.0, whole)) if kind == Kind.RATE else 0.0,
        Of(dest, endpoint, tenant), _number(table, "reserve", 0.1), _number(table, "least", 0.0),
        table.positive("weight", 1.0), lease, _number(table, "ends_within", 0.0),
        table.positive("period", 86_400.0),
    )  # fmt: skip
    table.done()
    return found
