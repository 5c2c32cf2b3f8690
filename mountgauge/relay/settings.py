"""Reads and validates a relay's file and the table `[sharding]` of an operator's file."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from resource import RLIM_INFINITY

from mountgauge.connections.descriptors import RESERVED_DESCRIPTORS, limits, raise_soft
from mountgauge.core.config import Address, ConfigError
from mountgauge.log import kv
from mountgauge.operator_file import Otlp, read_otlp
from mountgauge.relay.server import ServerLimits
from mountgauge.relay.wire import MAX_NAME_BYTES, MAX_REPLICAS, MAX_WAIT_S
from mountgauge.settings_table import Table, config_errors_in, read_toml
from mountgauge.sharding.members import Member, MemberFile, MemberFileError
from mountgauge.sharding.picker import RelayName
from mountgauge.sharding.placement import DEFAULT_REPLICAS, DEFAULT_STEP_MOVES, PlacementSettings
from mountgauge.sharding.relay import RelaySettings
from mountgauge.sharding.shards import DEFAULT_SHARD_COUNT
from mountgauge.sharding.store import DEFAULT_LOG_LIMIT
from mountgauge.sharding.timing import RELAY_TIMING, Timing

log = logging.getLogger("mountgauge.relay")

_MAX_SHARDS = 1 << 20
_MAX_COUNT = 1 << 20  # of changes, moves, snapshots and polls
_MAX_CONNECTIONS = 1 << 16


@dataclass(frozen=True, slots=True)
class RelayAddress:
    """Name, zone and address of a relay."""

    name: str
    zone: str
    address: Address


@dataclass(frozen=True, slots=True)
class Relays:
    """The configured relays, in file order."""

    entries: tuple[RelayAddress, ...]

    @property
    def names(self) -> tuple[RelayName, ...]:
        """Names and zones, from which a relay is chosen."""
        return tuple(RelayName(relay.name, relay.zone) for relay in self.entries)

    @property
    def addresses(self) -> dict[str, Address]:
        """Addresses by name."""
        return {relay.name: relay.address for relay in self.entries}


@dataclass(frozen=True, slots=True)
class Shards:
    """Settings that must be the same in all relays and senders of a fleet."""

    count: int
    replicas: int


@dataclass(frozen=True, slots=True)
class SenderSharding:
    """The table `[sharding]` of an operator's file."""

    zone: str
    shards: Shards
    relays: Relays
    timing: Timing
    rate_per_weight: float  # calls/s of an endpoint with a listed weight of 1; 0: weights are ignored
    members: Path | None


@dataclass(frozen=True, slots=True)
class RelayFile:
    """A relay's own file."""

    path: Path
    name: str
    zone: str
    listen: Address
    shards: Shards
    discovery: Address | None  # the upstream; None: it is one of `relays`
    relays: Relays | None
    timing: Timing
    limits: ServerLimits
    relay: RelaySettings
    log_limit: int  # changes stored per shard
    members: MemberFile | None
    placement: PlacementSettings
    placement_step_s: float
    state: Path | None  # folder in which the placement is stored
    status: Address | None
    otlp: Otlp | None


def load_relay(path: Path) -> RelayFile:
    """Read a relay's file; ConfigError with one line if it can't be used."""
    with config_errors_in(path):
        return _relay_file(path, Table(read_toml(path), ""))


def descriptor_shortfall(file: RelayFile) -> str | None:
    """Return one line on how to resolve a hard limit of descriptors that is too low, else None."""
    needed, hard = file.limits.connections + RESERVED_DESCRIPTORS, limits()[1]
    if hard == RLIM_INFINITY or needed <= hard:
        return None
    return (
        f"limits.connections: {needed} descriptors are needed, but the hard limit is {hard}: "
        f"raise the hard limit (ulimit -Hn, LimitNOFILE=) or lower limits.connections"
    )


def raise_descriptors(file: RelayFile) -> None:
    """Raise the soft limit of descriptors to what the configured connections need, up to the hard limit."""
    wanted = file.limits.connections + RESERVED_DESCRIPTORS
    if (had := raise_soft(wanted)) < wanted:
        log.warning("descriptors", extra=kv(wanted=wanted, had=had))


def _relay_file(path: Path, top: Table) -> RelayFile:
    name, zone = _name(top, "name"), _name(top, "zone")
    listen = top.address("listen")
    if listen is None:
        raise ConfigError("listen: missing")
    shards_table = top.table("shards") or Table({}, "shards")
    shards = _shards(shards_table, "count")
    log_limit = _integer(shards_table, "changes_kept", DEFAULT_LOG_LIMIT, 1, _MAX_COUNT)
    shards_table.reject_unknown()
    upstream = top.table("upstream")
    if upstream is None:
        raise ConfigError("upstream: missing: set upstream.discovery, or [[upstream.relay]]")
    discovery, relays = _upstream(upstream, name)
    members = _members(path, top)
    if members is not None:
        check_zones(members, (zone, *(relay.zone for relay in (relays.entries if relays else ()))))
    placement_table = top.table("placement") or Table({}, "placement")
    step_moves = _integer(placement_table, "step_moves", DEFAULT_STEP_MOVES, 1, _MAX_COUNT)
    step_s = placement_table.positive("step_s", 1.0)
    placement_table.reject_unknown()
    server_limits, relay = _limits(top.table("limits") or Table({}, "limits"))
    state = path.parent / top.get("state", str) if "state" in top.raw else None
    status, otlp = top.table("status"), top.table("otlp")
    status_listen = status.address("listen") if status is not None else None
    if status_listen is not None and not status_listen.host.startswith("127."):
        raise ConfigError("status.listen: must be a loopback address")
    file = RelayFile(
        path, name, zone, listen, shards, discovery, relays, _timing(top, RELAY_TIMING), server_limits,
        relay, log_limit, members,
        PlacementSettings(shards.count, shards.replicas, step_moves), step_s, state, status_listen,
        read_otlp(otlp) if otlp is not None else None,
    )  # fmt: skip
    for table in (top, status):
        if table is not None:
            table.reject_unknown()
    return file


def _upstream(table: Table, own_name: str) -> tuple[Address | None, Relays | None]:
    discovery = table.address("discovery")
    if discovery is None:
        relays = read_relays(table, "upstream.relay")
        if own_name in relays.addresses:
            raise ConfigError(f"upstream.relay: '{own_name}' is this relay itself")
        table.reject_unknown()
        return None, relays
    if "relay" in table.raw:
        raise ConfigError("upstream: discovery and relay can't both be set")
    table.reject_unknown()
    return discovery, None


def _limits(table: Table) -> tuple[ServerLimits, RelaySettings]:
    server, relay = ServerLimits(), RelaySettings()
    server_limits = ServerLimits(
        connections=_integer(table, "connections", server.connections, 1, _MAX_CONNECTIONS),
        request_bytes=int(table.positive("request_kb", server.request_bytes / 1024) * 1024),
        unread_bytes=int(table.positive("unread_mb", server.unread_bytes / 2**20) * 2**20),
        all_unread_bytes=int(table.positive("all_unread_mb", server.all_unread_bytes / 2**20) * 2**20),
        read_s=table.positive("read_s", server.read_s),
        request_s=table.positive("request_s", server.request_s),
        idle_s=table.positive("idle_s", server.idle_s),
    )
    settings = RelaySettings(
        snapshots_per_s=table.positive("snapshots_per_s", relay.snapshots_per_s),
        snapshot_burst=_integer(table, "snapshot_burst", relay.snapshot_burst, 1, _MAX_COUNT),
        max_held_asks=_integer(table, "polls", relay.max_held_asks, 1, _MAX_COUNT),
    )
    table.reject_unknown()
    return server_limits, settings


def read_sharding(table: Table, folder: Path, name: str) -> SenderSharding:
    """Read `[sharding]` of the file of the sender with this name."""
    zone, shards = _name(table, "zone"), _shards(table, "shards")
    relays = read_relays(table, "sharding.relay")
    rate = float(table.get("rate_per_weight", int, float, default=0))
    if rate < 0:
        raise ConfigError("sharding.rate_per_weight: must not be below 0")
    path = folder / table.get("members", str) if "members" in table.raw else None
    if path is not None:
        members = load_members(path)
        _check_member(members, name, zone)
        check_zones(members, [relay.zone for relay in relays.entries])
    sharding = SenderSharding(zone, shards, relays, _timing(table, Timing()), rate, path)
    table.reject_unknown()
    return sharding


def read_relays(table: Table, name: str) -> Relays:
    """Read the array of tables `relay`, each with name, zone and address."""
    entries = []
    for relay_table in table.tables("relay"):
        address = relay_table.address("at")
        if address is None:
            raise ConfigError(f"{name}: at: missing")
        entries.append(RelayAddress(_name(relay_table, "name"), _name(relay_table, "zone"), address))
        relay_table.reject_unknown()
    if not entries:
        raise ConfigError(f"{name}: at least one is needed")
    names = [entry.name for entry in entries]
    if duplicates := sorted({one for one in names if names.count(one) > 1}):
        raise ConfigError(f"{name}: '{duplicates[0]}' is listed twice")
    return Relays(tuple(entries))


def _members(path: Path, top: Table) -> MemberFile | None:
    if "members" not in top.raw:
        return None
    return load_members(path.parent / top.get("members", str))


def load_members(path: Path) -> MemberFile:
    """Read a members' file (TOML)."""
    try:
        return MemberFile.from_mapping(read_toml(path))
    except MemberFileError as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from None


def check_zones(members: MemberFile, zones: Sequence[str]) -> None:
    """ConfigError if no member of the file is in one of these zones."""
    known = {member.zone for member in members.members}
    for zone in zones:
        if zone not in known:
            raise ConfigError(f"zone: '{zone}' has no members, only these have: {', '.join(sorted(known))}")


def _check_member(members: MemberFile, name: str, zone: str) -> None:
    own: list[Member] = [member for member in members.members if member.name == name]
    if not own:
        raise ConfigError(f"sharding.members: '{name}' is not listed")
    current = [member for member in own if member.belongs(members.epoch)]
    if current and current[0].zone != zone:
        raise ConfigError(f"sharding.zone: '{zone}' here, but '{current[0].zone}' in the members' file")


def _shards(table: Table, count_key: str) -> Shards:
    count = _integer(table, count_key, DEFAULT_SHARD_COUNT, 1, _MAX_SHARDS)
    return Shards(count, _integer(table, "replicas", DEFAULT_REPLICAS, 1, MAX_REPLICAS))


def _timing(table: Table, default: Timing) -> Timing:
    """Read `wait_s` (how long an ask is held), `silence_s` (how much longer its answer may take) and
    `home_after_s` (mean time for which a relay of another zone is used).
    """
    wait_s = table.positive("wait_s", default.wait_s)
    if wait_s > MAX_WAIT_S:
        raise ConfigError(f"{table.name + '.' if table.name else ''}wait_s: must be at most {MAX_WAIT_S:g}")
    return replace(
        default,
        wait_s=wait_s,
        silence_s=table.positive("silence_s", default.silence_s),
        home_after_s=table.positive("home_after_s", default.home_after_s),
    )


def _integer(table: Table, key: str, default: int, minimum: int, maximum: int) -> int:
    value = int(table.get(key, int, default=default))
    if not minimum <= value <= maximum:
        raise ConfigError(f"{table.name}.{key}: must be from {minimum} to {maximum}")
    return value


def _name(table: Table, key: str) -> str:
    value = str(table.get(key, str))
    if not 0 < len(value.encode()) <= MAX_NAME_BYTES:
        where = f"{table.name}.{key}" if table.name else key
        raise ConfigError(f"{where}: must have 1 to {MAX_NAME_BYTES} bytes")
    return value
