"""Settings: the `[fleet]` and `[[tenant]]` tables of an operator's file."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass

from mountgauge.access import DEFAULT_TENANT, User
from mountgauge.core.config import Address, ConfigError
from mountgauge.settings_table import Table
from mountgauge.tenants.gossip import Plan
from mountgauge.tenants.members import Timing
from mountgauge.tenants.quota import Quota, Split
from mountgauge.tenants.wire import MAX_NAME_LENGTH, tenant_key

MAX_TENANTS = 20_000
FLUSH_INTERVAL_S = 0.1  # at which new counts are written
_MIN_KEY_LENGTH = 16  # characters
BUDGET_KEYS = ("epoch", "settled", "drift")  # keys of [fleet] that mountgauge.budgets.settings reads


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """A valid `[fleet]` table."""

    name: str
    listen: Address
    keys: tuple[str, ...]  # datagrams are signed with the first and verified with any
    plan: Plan


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """A valid `[[tenant]]` table."""

    name: str
    quota: Quota | None  # None: messages are counted and never rejected
    users: Mapping[str, User]
    strict: Quota | None = None  # a quota enforced by a fleet-wide budget instead of gossip counts


@dataclass(frozen=True, slots=True)
class TenantFile:
    """The fleet and the tenants of an operator's file."""

    fleet: FleetSettings | None
    tenants: tuple[TenantSettings, ...]

    @property
    def users(self) -> dict[str, User]:
        return {name: user for tenant in self.tenants for name, user in tenant.users.items()}


def read_tenants(top: Table) -> TenantFile | None:
    """None if the file has neither table; ConfigError with one line about the first fault."""
    fleet, tables = top.table("fleet"), top.tables("tenant")
    if fleet is None and not tables:
        return None
    tenants = tuple(_tenant(table) for table in tables)
    if len(tenants) > MAX_TENANTS:
        raise ConfigError(f"tenant: {len(tenants)} tenants exceed the limit of {MAX_TENANTS}")
    keys: dict[int, str] = {tenant_key(DEFAULT_TENANT): ""}
    users: set[str] = set()
    for index, tenant in enumerate(tenants):
        same = keys.setdefault(tenant_key(tenant.name), tenant.name)
        if same == tenant.name and any(tenant.name == other.name for other in tenants[:index]):
            raise ConfigError(f"tenant[{index}].name: '{tenant.name}' is listed twice")
        if same and same != tenant.name:
            raise ConfigError(
                f"tenant[{index}].name: '{tenant.name}' has the same key on the wire as '{same}'"
            )
        if duplicates := users & set(tenant.users):
            raise ConfigError(f"tenant[{index}].users: '{min(duplicates)}' is listed twice")
        users |= set(tenant.users)
    return TenantFile(_fleet(fleet) if fleet is not None else None, tenants)


def _name(table: Table) -> str:
    name: str = table.get("name", str)
    if not name or len(name) > MAX_NAME_LENGTH or not all(33 <= ord(c) < 127 for c in name):
        raise ConfigError(f"{table.name}.name: 1 to {MAX_NAME_LENGTH} printable characters without spaces")
    return name


def _tenant(table: Table) -> TenantSettings:
    name = _name(table)
    quota = None
    if "rate" in table.raw:
        rate = table.positive("rate")
        burst = table.positive("burst", max(1.0, rate))
        split = table.get("split", str, default="share")
        if split not in list(Split):
            raise ConfigError(f"{table.name}.split: not one of {', '.join(Split)}")
        if burst < 1:
            raise ConfigError(f"{table.name}.burst: must be 1 or more")
        quota = Quota(rate, burst, Split(split))
    else:
        for key in ("burst", "split"):
            if key in table.raw:
                raise ConfigError(f"{table.name}.{key}: needs a rate")
    strict = bool(table.get("strict", bool, default=False))
    if strict and quota is None:
        raise ConfigError(f"{table.name}.strict: needs a rate")
    users = table.get("users", dict, default={})
    if not all(isinstance(password, str) and password for password in users.values()):
        raise ConfigError(f"{table.name}.users: passwords are text, not empty")
    table.reject_unknown()
    tenant_users = {user: User(password, name) for user, password in users.items()}
    return TenantSettings(name, None if strict else quota, tenant_users, quota if strict else None)


def _fleet(table: Table) -> FleetSettings:
    name = _name(table)
    listen = table.address("listen")
    if listen is None:
        raise ConfigError("fleet.listen: missing")
    keys = table.get("keys", list)
    if not 1 <= len(keys) <= 2 or not all(
        isinstance(key, str) and len(key) >= _MIN_KEY_LENGTH for key in keys
    ):
        raise ConfigError(f"fleet.keys: one or two strings of {_MIN_KEY_LENGTH} characters or more")
    peers = []
    for index, text in enumerate(table.get("peers", list, default=[])):
        where = f"fleet.peers[{index}]"
        peer = Address.parse(text, where)
        _require_ip_address(peer, where)
        if not peer.port:
            raise ConfigError(f"{where}: port 0")
        peers.append((peer.host, peer.port))
    _require_ip_address(listen, "fleet.listen")
    if len(set(peers)) < len(peers):
        raise ConfigError("fleet.peers: an address is listed twice")
    interval = table.positive("interval", 0.25)
    if not 0.05 <= interval <= 60:
        raise ConfigError("fleet.interval: 0.05 to 60 s")
    fanout = table.get("fanout", int, default=4)
    if not 1 <= fanout <= 32:
        raise ConfigError("fleet.fanout: 1 to 32")
    suspect = table.positive("suspect", 10 * interval)
    gone = table.positive("gone", 20 * interval)
    forget = table.positive("forget", 86_400)
    linger = table.positive("linger", 60)
    if not 2 * interval <= suspect < gone < forget:
        raise ConfigError("fleet: 2 * interval <= suspect < gone < forget must hold")
    for key in BUDGET_KEYS:
        table.get(key, int, float, default=0)
    table.reject_unknown()
    return FleetSettings(
        name, listen, tuple(keys),
        Plan(tuple(peers), interval, fanout, Timing(suspect, gone, forget, linger), FLUSH_INTERVAL_S),
    )  # fmt: skip


def _require_ip_address(address: Address, where: str) -> None:
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        raise ConfigError(f"{where}: not an IP address: {address.host!r}") from None
