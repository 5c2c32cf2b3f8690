"""Reads `[[budget]]`, `[[member]]` and their settings in `[fleet]` from an operator's file."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from mountgauge.budgets import shares
from mountgauge.budgets.membership import FOREVER, MemberEntry, MemberList
from mountgauge.budgets.shares import Budget, Kind, Scope
from mountgauge.core.config import ConfigError
from mountgauge.settings_table import Table
from mountgauge.tenants.settings import TenantSettings
from mountgauge.tenants.wire import MAX_NAME_LENGTH

MAX_BUDGETS = 200
MAX_MEMBERS = 64
DRIFT = 0.01  # default bound of a clock's relative rate error; real clocks are far better


@dataclass(frozen=True, slots=True)
class BudgetFile:
    """The validated `[[member]]` and `[[budget]]` of an operator's file."""

    lists: MemberList
    budgets: tuple[Budget, ...]
    drift: float

    @property
    def lease(self) -> float:
        """The longest lease of any budget, s."""
        return max((one.lease_s for one in self.budgets), default=1.0)


def read_budgets(
    top: Table, me: str, dests: Collection[int], hops: Collection[str], tenants: Collection[TenantSettings]
) -> BudgetFile | None:
    """The members and budgets of the file, None where it has none; ConfigError with one line for the first
    error.
    """
    budget_tables, member_tables = top.tables("budget"), top.tables("member")
    strict = [one for one in tenants if one.strict is not None]
    if not budget_tables and not member_tables and not strict:
        return None
    fleet = top.table("fleet")
    if fleet is None:
        raise ConfigError("budget: needs [fleet]")
    epoch, settled = (int(fleet.get(key, int, default=1)) for key in ("epoch", "settled"))
    drift = float(fleet.get("drift", int, float, default=DRIFT))
    if not 0 <= drift < 0.2:
        raise ConfigError("fleet.drift: 0 to 0.2")
    listed = tuple(_member(table) for table in member_tables)
    if not listed:
        raise ConfigError("member: budgets need the fleet's members, [[member]] each")
    if len(listed) > MAX_MEMBERS:
        raise ConfigError(f"member: {len(listed)} are more than {MAX_MEMBERS}")
    lists = MemberList(epoch, listed, settled)
    if why := lists.validation_error():
        raise ConfigError(f"member: {why}")
    if me not in {one.name for one in listed}:
        raise ConfigError(f"member: '{me}', this file's name, is not among them")
    names = {one.name for one in tenants}
    budgets = tuple(_budget(table, dests, hops, names) for table in budget_tables)
    budgets += tuple(_tenant_budget(one) for one in strict)
    if len(budgets) > MAX_BUDGETS:
        raise ConfigError(f"budget: {len(budgets)} are more than {MAX_BUDGETS}")
    count = len(lists.at(epoch))
    for index, one in enumerate(budgets):
        if any(one.name == other.name for other in budgets[:index]):
            raise ConfigError(f"budget[{index}].name: '{one.name}' is listed twice")
        if why := shares.validation_error(one, count):
            where = f"budget[{index}]" if index < len(budget_tables) else f"tenant '{one.scope.tenant}'"
            raise ConfigError(f"{where}.{why}")
    return BudgetFile(lists, budgets, drift)


def _name(table: Table) -> str:
    name: str = table.get("name", str)
    if not name or len(name) > MAX_NAME_LENGTH or not all(33 <= ord(c) < 127 for c in name):
        raise ConfigError(f"{table.name}.name: 1 to {MAX_NAME_LENGTH} printable characters without spaces")
    return name


def _member(table: Table) -> MemberEntry:
    address = table.address("at")
    if address is None or not address.port:
        raise ConfigError(f"{table.name}.at: an address with a port is needed")
    entry = MemberEntry(
        _name(table), (address.host, address.port), int(table.get("since", int, default=1)),
        int(table.get("until", int, default=FOREVER)), bool(table.get("ended", bool, default=False)),
        bool(table.get("voter", bool, default=True)),
    )  # fmt: skip
    table.reject_unknown()
    return entry


def _number(table: Table, key: str, default: float) -> float:
    value = float(table.get(key, int, float, default=default))
    if value < 0 or not math.isfinite(value):
        raise ConfigError(f"{table.name}.{key}: 0 or more")
    return value


def _tenant_budget(tenant: TenantSettings) -> Budget:
    """The budget that enforces a strict tenant's quota."""
    assert tenant.strict is not None
    name = f"tenant:{tenant.name}"
    if len(name) > MAX_NAME_LENGTH:
        raise ConfigError(
            f"tenant '{tenant.name}': strict is for names of {MAX_NAME_LENGTH - 7} characters at most"
        )
    return Budget(name, Kind.RATE, tenant.strict.rate, tenant.strict.burst, Scope(tenant=tenant.name))


def _budget(table: Table, dests: Collection[int], hops: Collection[str], tenants: Collection[str]) -> Budget:
    name, kind = _name(table), table.get("kind", str)
    if kind not in list(Kind):
        raise ConfigError(f"{table.name}.kind: not one of {', '.join(Kind)}")
    total = _number(table, "whole", -1.0)
    scope = Table(table.get("of", dict, default={}), f"{table.name}.of")
    dest = scope.get("dest", int) if "dest" in scope.raw else None
    endpoint = scope.get("endpoint", str) if "endpoint" in scope.raw else None
    tenant = scope.get("tenant", str) if "tenant" in scope.raw else None
    scope.reject_unknown()
    if tenant is not None and tenant not in tenants:
        raise ConfigError(f"{table.name}.of.tenant: no tenant is '{tenant}'")
    if tenant is not None and len(scope.raw) > 1:
        raise ConfigError(f"{table.name}.of: a tenant alone, which binds accepted messages")
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
    budget = Budget(
        name, Kind(kind), total, _number(table, "burst", max(1.0, total)) if kind == Kind.RATE else 0.0,
        Scope(dest, endpoint, tenant), _number(table, "reserve", 0.1), _number(table, "least", 0.0),
        table.positive("weight", 1.0), lease, _number(table, "ends_within", 0.0),
        table.positive("period", 86_400.0),
    )  # fmt: skip
    table.reject_unknown()
    return budget
