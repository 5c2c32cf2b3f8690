"""Settings of a relay's own file and of `[sharding]` in an operator's file, checked."""

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
from mountgauge.settings_table import Table, faults_of, read
from mountgauge.sharding.members import Member, MemberFile, MemberFileError
from mountgauge.sharding.picker import RelayName
from mountgauge.sharding.placement import DEFAULT_REPLICAS, DEFAULT_STEP_MOVES, PlacementSettings
from mountgauge.sharding.relay import RelaySettings
from mountgauge.sharding.shards import DEFAULT_SHARD_COUNT
from mountgauge.sharding.store import DEFAULT_LOG_LIMIT
from mountgauge.sharding.timing import RELAY_TIMING, Timing

log = logging.getLogger("mountgauge.relay")

_MOST_SHARDS = 1 << 20


@dataclass(frozen=True, slots=True)
class RelayPlace:
    """A relay that can be asked."""

    name: str
    zone: str
    address: Address


@dataclass(frozen=True, slots=True)
class Relays:
    """The relays that may be asked, in the file's order."""

    places: tuple[RelayPlace, ...]

    @property
    def names(self) -> tuple[RelayName, ...]:
        """As the choice among them goes by."""
        return tuple(RelayName(one.name, one.zone) for one in self.places)

    @property
    def addresses(self) -> dict[str, Address]:
        """By name."""
        return {one.name: one.address for one in self.places}


@dataclass(frozen=True, slots=True)
class Shards:
    """What is the same in the whole fleet."""

    count: int
    replicas: int


@dataclass(frozen=True, slots=True)
class SenderSharding:
    """`[sharding]` of an operator's file."""

    zone: str
    shards: Shards
    relays: Relays
    timing: Timing
    rate_per_weight: float  # calls/s that a listed weight of 1 stands for; 0: weights say nothing
    members: Path | None


@dataclass(frozen=True, slots=True)
class RelayFile:
    """A relay's own file."""

    path: Path
    name: str
    zone: str
    listen: Address
    shards: Shards
    discovery: Address | None  # what it follows: discovery, or else relays
    relays: Relays | None
    timing: Timing
    limits: ServerLimits
    relay: RelaySettings
    log_limit: int  # changes that are kept of a shard
    members: MemberFile | None
    placement: PlacementSettings
    placement_step_s: float
    state: Path | None  # the folder where the placement is kept
    status: Address | None
    otlp: Otlp | None


def load_relay(path: Path) -> RelayFile:
    """A relay's file; ConfigError of one line where it can't be used."""
    with faults_of(path):
        return _relay_file(path, Table(read(path), ""))


def descriptor_shortfall(file: RelayFile) -> str | None:
    """One line on what to raise where the hard limit of descriptors is too low, else None."""
    wanted, hard = file.limits.connections + RESERVED_DESCRIPTORS, limits()[1]
    if hard == RLIM_INFINITY or wanted <= hard:
        return None
    return (
        f"limits.connections: {wanted} descriptors are wanted, this process may have {hard}: "
        f"raise the hard limit (ulimit -Hn, LimitNOFILE=) or lower it"
    )


def raise_descriptors(file: RelayFile) -> None:
    """Raise the soft limit for as many connections as the file asks for, as far as the hard one allows."""
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
    log_limit = _whole(shards_table, "changes_kept", DEFAULT_LOG_LIMIT, 1, 1 << 20)
    shards_table.done()
    upstream = top.table("upstream")
    if upstream is None:
        raise ConfigError("upstream: missing: set upstream.discovery, or [[upstream.relay]]")
    discovery, relays = _upstream(upstream, name)
    members = _members(path, top)
    if members is not None:
        check_zones(members, (zone, *(one.zone for one in (relays.places if relays else ()))))
    placement_table = top.table("placement") or Table({}, "placement")
    step_moves = _whole(placement_table, "step_moves", DEFAULT_STEP_MOVES, 1, 1 << 20)
    step_s = placement_table.positive("step_s", 1.0)
    placement_table.done()
    server_limits, relay = _limits(top.table("limits") or Table({}, "limits"))
    state = path.parent / top.get("state", str) if "state" in top.raw else None
    status, otlp = top.table("status"), top.table("otlp")
    status_listen = status.address("listen") if status is not None else None
    if status_listen is not None and not status_listen.host.startswith("127."):
        raise ConfigError("status.listen: only on loopback")
    found = RelayFile(
        path, name, zone, listen, shards, discovery, relays, _timing(top, RELAY_TIMING), server_limits,
        relay, log_limit, members,
        PlacementSettings(shards.count, shards.replicas, step_moves), step_s, state, status_listen,
        read_otlp(otlp) if otlp is not None else None,
    )  # fmt: skip
    for table in (top, status):
        if table is not None:
            table.done()
    return found


def _upstream(table: Table, own_name: str) -> tuple[Address | None, Relays | None]:
    discovery = table.address("discovery")
    if discovery is None:
        relays = read_relays(table, "upstream.relay")
        if own_name in relays.addresses:
            raise ConfigError(f"upstream.relay: '{own_name}' is this relay itself")
        table.done()
        return None, relays
    if "relay" in table.raw:
        raise ConfigError("upstream: discovery and relay: only one of them can be followed")
    table.done()
    return discovery, None


def _limits(table: Table) -> tuple[ServerLimits, RelaySettings]:
    server, relay = ServerLimits(), RelaySettings()
    server_limits = ServerLimits(
        connections=_whole(table, "connections", server.connections, 1, 1 << 16),
        request_bytes=int(table.positive("request_kb", server.request_bytes / 1024) * 1024),
        unread_bytes=int(table.positive("unread_mb", server.unread_bytes / 2**20) * 2**20),
        all_unread_bytes=int(table.positive("all_unread_mb", server.all_unread_bytes / 2**20) * 2**20),
        read_s=table.positive("read_s", server.read_s),
        request_s=table.positive("request_s", server.request_s),
        idle_s=table.positive("idle_s", server.idle_s),
    )
    settings = RelaySettings(
        snapshots_per_s=table.positive("snapshots_per_s", relay.snapshots_per_s),
        snapshot_burst=_whole(table, "snapshot_burst", relay.snapshot_burst, 1, 1 << 20),
        most_held=_whole(table, "polls", relay.most_held, 1, 1 << 20),
    )
    table.done()
    return server_limits, settings


def read_sharding(table: Table, folder: Path, name: str) -> SenderSharding:
    """`[sharding]` of the file of the sender with this name."""
    zone, shards = _name(table, "zone"), _shards(table, "shards")
    relays = read_relays(table, "sharding.relay")
    rate = float(table.get("rate_per_weight", int, float, default=0))
    if rate < 0:
        raise ConfigError("sharding.rate_per_weight: must not be below 0")
    path = folder / table.get("members", str) if "members" in table.raw else None
    if path is not None:
        members = load_members(path)
        _check_member(members, name, zone)
        check_zones(members, [one.zone for one in relays.places])
    found = SenderSharding(zone, shards, relays, _timing(table, Timing()), rate, path)
    table.done()
    return found


def read_relays(table: Table, name: str) -> Relays:
    """The tables `relay` of a table, each with name, zone and address."""
    places = []
    for one in table.tables("relay"):
        address = one.address("at")
        if address is None:
            raise ConfigError(f"{name}: at: missing")
        places.append(RelayPlace(_name(one, "name"), _name(one, "zone"), address))
        one.done()
    if not places:
        raise ConfigError(f"{name}: at least one is needed")
    names = [one.name for one in places]
    if twins := sorted({one for one in names if names.count(one) > 1}):
        raise ConfigError(f"{name}: '{twins[0]}' stands twice")
    return Relays(tuple(places))


def _members(path: Path, top: Table) -> MemberFile | None:
    if "members" not in top.raw:
        return None
    return load_members(path.parent / top.get("members", str))


def load_members(path: Path) -> MemberFile:
    """The members' file (TOML)."""
    try:
        return MemberFile.from_mapping(read(path))
    except MemberFileError as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from None


def check_zones(members: MemberFile, zones: Sequence[str]) -> None:
    """ConfigError where a zone has no member in any line of the file."""
    known = {one.zone for one in members.members}
    for zone in zones:
        if zone not in known:
            raise ConfigError(f"zone: '{zone}' is no member's zone: {', '.join(sorted(known))}")


def _check_member(members: MemberFile, name: str, zone: str) -> None:
    own: list[Member] = [one for one in members.members if one.name == name]
    if not own:
        raise ConfigError(f"sharding.members: '{name}' is not among them")
    current = [one for one in own if one.belongs(members.epoch)]
    if current and current[0].zone != zone:
        raise ConfigError(f"sharding.zone: '{zone}', but '{current[0].zone}' in the members' file")


def _shards(table: Table, count_key: str) -> Shards:
    count = _whole(table, count_key, DEFAULT_SHARD_COUNT, 1, _MOST_SHARDS)
    return Shards(count, _whole(table, "replicas", DEFAULT_REPLICAS, 1, MAX_REPLICAS))


def _timing(table: Table, default: Timing) -> Timing:
    """`wait_s` and `silence_s`: how long an ask is held, and how long past it an answer may take;
    `home_after_s`: how long, in the mean, a relay of another zone is kept to.
    """
    wait_s = table.positive("wait_s", default.wait_s)
    if wait_s > MAX_WAIT_S:
        raise ConfigError(f"{table.name + '.' if table.name else ''}wait_s: at most {MAX_WAIT_S:g}")
    return replace(
        default,
        wait_s=wait_s,
        silence_s=table.positive("silence_s", default.silence_s),
        home_after_s=table.positive("home_after_s", default.home_after_s),
    )


def _whole(table: Table, key: str, default: int, least: int, most: int) -> int:
    value = int(table.get(key, int, default=default))
    if not least <= value <= most:
        raise ConfigError(f"{table.name}.{key}: from {least} to {most}")
    return value


def _name(table: Table, key: str) -> str:
    value = str(table.get(key, str))
    if not 0 < len(value.encode()) <= MAX_NAME_BYTES:
        where = f"{table.name}.{key}" if table.name else key
        raise ConfigError(f"{where}: from 1 to {MAX_NAME_BYTES} bytes")
    return value
