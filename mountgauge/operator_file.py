"""Reads an operator's file (TOML): one sender with its fronts, next hops and message classes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from mountgauge.access import Access, User
from mountgauge.amqp.next_hops import Account
from mountgauge.connections.descriptors import shares
from mountgauge.connections.settings import ClientSettings, read_clients
from mountgauge.core.config import (
    Address,
    Config,
    ConfigError,
    Limits,
    MapUpdate,
    SettingNames,
)
from mountgauge.core.ports import NextHop
from mountgauge.recovery.state_file import RESERVED_DISK_BYTES as RECOVERY_DISK_BYTES
from mountgauge.settings_table import Table, config_errors_in, read_toml
from rillspindle.interface import Entry, Readiness, Settings

if TYPE_CHECKING:
    from mountgauge.budgets.settings import BudgetFile
    from mountgauge.relay.settings import SenderSharding
    from mountgauge.tenants.settings import TenantFile

_STATES = {"active": Readiness.READY, "leaving": Readiness.DRAINING}
_PROTOCOLS = ("http", "amqp")
_KIND = "next-hop"
BUDGETS_DISK_BYTES = 512 * 1024  # for the file of grants: twice `budgets.files.REWRITE_ABOVE_BYTES`
SHARDS_DISK_BYTES = 2 * 1024 * 1024  # for the file of the last shards: twice `relay.kept_list.MAX_BYTES`
_SHARDED_SLOTS = 64  # with shards the number of next hops is not known beforehand
_MIN_JOURNAL_BYTES = 512 * 1024  # of disk, which the other files must leave to the journal


@dataclass(frozen=True, slots=True)
class AmqpFront:
    """`[amqp]`: the front for publishers."""

    listen: Address
    heartbeat: int
    exchange: str


@dataclass(frozen=True, slots=True)
class _Amqp:
    """The settings of `[amqp]`: its front, None if there is none, and the users that may log in there."""

    front: AmqpFront | None
    users: Mapping[str, str]
    vhost: str


@dataclass(frozen=True, slots=True)
class Hops:
    """The file's next hops: the list itself, and the protocol and AMQP account of each."""

    update: MapUpdate
    protocols: Mapping[str, str]  # by the next hop's id
    accounts: Mapping[str, Account]  # by the next hop's id


@dataclass(frozen=True, slots=True)
class Otlp:
    """`[otlp]`: the collector, and the interval of exports."""

    host: str
    port: int
    path: str
    interval: float  # seconds


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """A validated operator's file."""

    path: Path
    config: Config
    hops: Hops
    resp: Address | None
    amqp: AmqpFront | None
    notices: Address | None
    status: Address | None
    otlp: Otlp | None
    access: Access
    tenants: TenantFile | None = None
    clients: ClientSettings | None = None
    comeback: bool = True
    budgets: BudgetFile | None = None
    sharding: SenderSharding | None = None


def load(path: Path) -> OperatorFile:
    """Read and validate an operator's file. ConfigError names the file and the first error in it."""
    with config_errors_in(path):
        return _operator(path, Table(read_toml(path), ""))


def load_hops(path: Path, version: int) -> Hops:
    """Read only the next hops from the file."""
    return _hops(Table(read_toml(path), ""), version)


def _operator(path: Path, top: Table) -> OperatorFile:
    hops = _hops(top, 1)
    sharding = _sharding(top, path, hops)
    settings = _settings(top, len(hops.update.hops), sharding)
    limits = top.table("limits") or Table({}, "limits")
    state = path.parent / top.get("state", str)
    resp, otlp = top.table("resp"), top.table("otlp")
    status, console = top.table("status"), top.table("console")
    name = top.get("name", str)
    amqp = _amqp(top.table("amqp"))
    resp_listen = resp.address("listen") if resp is not None else None
    if amqp.front is None and resp_listen is None:
        raise ConfigError("no front: set amqp.listen or resp.listen")
    notices = resp.address("notices") if resp is not None else None
    tenants = _tenants(top)
    disk = _disk_left_by_counts(int(limits.positive("disk_mb", 16) * 1_000_000), tenants)
    comeback = top.table("comeback") or Table({}, "comeback")
    enabled = bool(comeback.get("enabled", bool, default=True))
    settings["extra"]["ramp"] = enabled
    disk -= RECOVERY_DISK_BYTES if enabled else 0
    budgets = _budgets(top, name, hops, tenants)
    if budgets is not None:
        if tenants is None or tenants.fleet is None:
            raise ConfigError("budget: needs [fleet]")
        disk = _disk_left(disk, BUDGETS_DISK_BYTES, "budgets")
    if sharding is not None:
        disk = _disk_left(disk, SHARDS_DISK_BYTES, "shards")
    access = _access(amqp.users, amqp.vhost, tenants, resp)
    status_listen = _status_listen(status)
    export = read_otlp(otlp) if otlp is not None else None
    console_listen = _console_listen(console)
    config = Config(
        name=name,
        listen=resp_listen or Address("127.0.0.1", 0),
        discovery=Address("127.0.0.1", 0),
        state=state,
        seed=seed_from_name(name),
        limits=Limits(
            int(limits.positive("memory_mb", 192) * 1_000_000),
            int(limits.positive("sockets", 1024)),
            disk,
        ),
        known=hops.update,
        settings=settings,
        rules=Settings.from_mapping(settings),
        names=SettingNames(tuple(one["name"] for one in settings["grades"]), (), (_KIND,)),
        conn_idle=settings["ceilings"]["connIdle"],
        console=console_listen,
    )
    clients = None
    if (table := top.table("clients")) is not None:
        sockets, _ = shares(config.limits.sockets, config.rules.workers)
        clients = read_clients(table, sockets, config.limits.memory_bytes)
    for table in (top, limits, resp, status, console, comeback):
        if table is not None:
            table.reject_unknown()
    return OperatorFile(
        path, config, hops, resp_listen, amqp.front, notices, status_listen, export, access, tenants,
        clients, enabled, budgets, sharding,
    )  # fmt: skip


def _amqp(table: Table | None) -> _Amqp:
    if table is None:
        return _Amqp(None, {}, "/")
    listen = table.address("listen")
    if listen is None:
        raise ConfigError("amqp.listen: missing")
    users = table.get("users", dict, default={})
    if not all(isinstance(password, str) for password in users.values()):
        raise ConfigError("amqp.users: passwords are text")
    heartbeat = int(table.get("heartbeat", int, default=30))
    vhost = table.get("vhost", str, default="/")
    front = AmqpFront(listen, heartbeat, table.get("exchange", str, default="mountgauge"))
    table.reject_unknown()
    return _Amqp(front, users, vhost)


def _disk_left_by_counts(disk: int, tenants: TenantFile | None) -> int:
    """Return the bytes of disk that the counts of these tenants leave."""
    if tenants is None:
        return disk
    needed = _disk_for(tenants)
    if disk - needed < _MIN_JOURNAL_BYTES:
        min_mb = (needed + _MIN_JOURNAL_BYTES) / 1e6
        raise ConfigError(f"limits.disk_mb: {min_mb:.1f} at least, for the counts of these tenants")
    return disk - needed


def _disk_left(disk: int, reserved: int, content: str) -> int:
    """Return the bytes of disk that a file with `reserved` bytes leaves."""
    if disk - reserved < _MIN_JOURNAL_BYTES:
        raise ConfigError(f"limits.disk_mb: too small for the journal and the file of {content}")
    return disk - reserved


def _status_listen(table: Table | None) -> Address | None:
    listen = table.address("listen") if table is not None else None
    if listen is not None and not listen.host.startswith("127."):
        raise ConfigError("status.listen: must be a loopback address")
    return listen


def _console_listen(table: Table | None) -> Address | None:
    listen = table.address("listen") if table is not None else None
    if table is not None and listen is None:
        raise ConfigError("console.listen: missing")
    return listen


def _tenants(top: Table) -> TenantFile | None:
    if not {"fleet", "tenant"} & set(top.raw):
        return None
    try:  # imported only if configured: it has optional dependencies
        from mountgauge.tenants.settings import read_tenants
    except ModuleNotFoundError as error:
        raise ConfigError(f"fleet, tenant: {error.name} is missing: see requirements-fleet.txt") from None
    return read_tenants(top)


def _sharding(top: Table, path: Path, hops: Hops) -> SenderSharding | None:
    table = top.table("sharding")
    if table is None:
        return None
    if hops.update.hops:
        raise ConfigError("next_hop: with [sharding] they come from the relays")
    from mountgauge.relay.settings import read_sharding  # imported only if configured

    return read_sharding(table, path.parent, top.get("name", str))


def _budgets(top: Table, name: str, hops: Hops, tenants: TenantFile | None) -> BudgetFile | None:
    named_tenants = tenants.tenants if tenants is not None else ()
    if not {"budget", "member"} & set(top.raw) and all(one.strict is None for one in named_tenants):
        return None
    try:  # imported only if configured: it has optional dependencies
        from mountgauge.budgets.settings import read_budgets
    except ModuleNotFoundError as error:
        raise ConfigError(f"budget: {error.name} is missing: see requirements-fleet.txt") from None
    dests = {hop.entry.owner for hop in hops.update.hops}
    return read_budgets(top, name, dests, set(hops.protocols), named_tenants)


def _disk_for(tenants: TenantFile) -> int:
    from mountgauge.tenants.store import max_file_bytes

    return max_file_bytes(len(tenants.tenants) + 1)


def _access(users: Mapping[str, str], vhost: str, tenants: TenantFile | None, resp: Table | None) -> Access:
    """Return one table of users for both fronts. The users of `[amqp]` belong to the default tenant."""
    amqp_users = {name: User(password) for name, password in users.items()}
    tenant_users = tenants.users if tenants is not None else {}
    if duplicates := set(amqp_users) & set(tenant_users):
        raise ConfigError(f"amqp.users: '{min(duplicates)}' is a tenant's user too")
    anonymous = (
        bool(resp.get("anonymous", bool, default=not tenant_users)) if resp is not None else not tenant_users
    )
    return Access({**amqp_users, **tenant_users}, vhost, anonymous)


def seed_from_name(name: str) -> int:
    """Return the same seed for the same name at each start; it need not be secret."""
    return int.from_bytes(name.encode()[:8].ljust(8, b"\0"), "big")


def read_otlp(table: Table) -> Otlp:
    """Read `[otlp]`: the collector that metrics are sent to."""
    url = table.get("endpoint", str)
    if not url.startswith("http://"):
        raise ConfigError("otlp.endpoint: not an http:// address")
    host_port, _, path = url.removeprefix("http://").partition("/")
    address = Address.parse(host_port, "otlp.endpoint")
    # The OTLP exporter specification appends the signal's path to a base address.
    settings = Otlp(
        address.host,
        address.port,
        "/" + (path.rstrip("/") + "/v1/metrics").lstrip("/"),
        table.positive("interval", 10),
    )
    table.reject_unknown()
    return settings


def _hops(top: Table, version: int) -> Hops:
    hops, protocols, accounts = [], {}, {}
    for table in top.tables("next_hop"):
        hop_id = table.get("id", str)
        address = table.address("addr")
        if address is None:
            raise ConfigError(f"{table.name}.addr: missing")
        if hop_id in protocols:
            raise ConfigError(f"{table.name}.id: '{hop_id}' is listed twice")
        protocol = table.get("protocol", str, default="http")
        if protocol not in _PROTOCOLS:
            raise ConfigError(f"{table.name}.protocol: not one of {', '.join(_PROTOCOLS)}")
        state = table.get("state", str, default="active")
        if state not in _STATES:
            raise ConfigError(f"{table.name}.state: not one of {', '.join(_STATES)}")
        dest = table.get("dest", int)
        rate = float(table.get("rate", int, float, default=0))
        protocols[hop_id] = protocol
        if protocol == "amqp":
            accounts[hop_id] = Account(
                *(
                    table.get(key, str, default=default)
                    for key, default in (
                        ("user", "guest"),
                        ("password", "guest"),
                        ("vhost", "/"),
                        ("exchange", ""),
                        ("routing_key", ""),
                    )
                )
            )
        entry = Entry(_STATES[state], 0.0, rate, 0, dest, 0, hop_id.encode())
        hops.append(NextHop(hop_id, address.host, address.port, entry))
        table.reject_unknown()
    return Hops(MapUpdate(version, True, tuple(hops)), protocols, accounts)


def _settings(top: Table, hops: int, sharding: SenderSharding | None) -> dict[str, Any]:
    """Return the settings of the decision module, with defaults for optional ones. A destination's limit is
    divided among all senders, or with shards among the replicas of its shard.
    """
    senders = sharding.shards.replicas if sharding is not None else 1
    slots = _SHARDED_SLOTS if sharding is not None else max(4, 4 * hops)
    rules = top.table("rules") or Table({}, "rules")
    classes = []
    for table in top.tables("class"):
        semantics = table.get("semantics", str)
        if semantics not in ("idempotent", "deduplicated", "at_most_once"):
            raise ConfigError(f"{table.name}.semantics: must be idempotent, deduplicated or at_most_once")
        deadline = table.positive("deadline")
        classes.append({
            "name": table.get("name", str), "semantics": semantics, "deadline": deadline, "group": "all",
            "aim": min(deadline, table.positive("aim", deadline)), "stream": False,
            "worth": table.positive("worth", 1.0), "repeatWindow": table.positive("repeat_window", deadline),
            "lateWorth": float(table.get("late_worth", int, float, default=0.3)),
        })  # fmt: skip
        table.reject_unknown()
    if not classes:
        raise ConfigError("class: at least one is needed")
    settings = {
        "balancers": int(rules.positive("senders", senders)),
        "zone": 0, "tick": 0.005, "discovery": "subscribe", "weights": "nominal",
        "grades": classes, "localities": [], "shapes": [_KIND],
        "ceilings": {
            "attemptsCap": int(rules.positive("attempts", 8)), "cancel": True,
            "connIdle": rules.positive("conn_idle", 5.0),
            "connectTimeout": rules.positive("connect_timeout", 1.5),
            "maxOpen": int(rules.positive("max_open", 200)),
            "maxRetryAfter": rules.positive("max_retry_after", 2.0),
            "mayDuplicate": False, "peers": False, "probes": False, "retryAfter": True, "streamsPerConn": 1,
        },
        "extra": {"kindBatch": [int(rules.positive("batch", 1))], "losesWorth": "even",
                  "routesApart": [False], "workers": int(rules.positive("slots", slots))},
        "obligations": {
            "answerSlack": 0.02, "askWithin": 10.0, "cold": rules.positive("cold", 14.0),
            "drainGrace": 0.25, "fall": 1.5, "fallMultiple": 2.0, "startCapacity": 0.17,
        },
        "report": {"fields": [], "via": "off"},
    }  # fmt: skip
    rules.reject_unknown()
    return settings
