"""Settings of a scale run, read from TOML and validated: sizes, fleet, network, changes, faults and bounds.

Times are in seconds of the run's own clock. `load` raises `ConfigError` with a message of one line for
unknown, missing or invalid settings.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, TypeVar

from mountgauge.core.config import ConfigError
from mountgauge.settings_table import Table, read_toml

_T = TypeVar("_T")

DEFAULT_SHARDS = 65_536
MIN_REAL_SENDERS = 3  # one in each zone of a comparison
MAX_SENDERS = 20_000
MAX_DESTINATIONS = 2_000_000


@dataclass(frozen=True, slots=True, order=True)
class Size:
    """One point at which the costs are measured."""

    senders: int
    destinations: int
    shards: int


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Topology of the fleet."""

    regions: int = 2
    zones: int = 4  # total over all regions
    senders_per_rack: int = 20
    replicas: int = 3  # senders that each shard is placed on
    upper_relays: int = 3  # between discovery and the zone relays; each zone has one zone relay


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """Delays and losses of the network, applied to each message."""

    zone_delay_s: float = 0.002  # one way, inside a region
    region_delay_s: float = 0.1  # one way, between regions
    jitter_s: float = 0.005
    loss: float = 0.01  # share of messages that have to be retransmitted
    retransmit_s: float = 0.2  # delay of the first retransmission, doubled for each further one


@dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Rates of configuration changes."""

    per_s: float = 0.65
    bursts: int = 1
    burst_s: float = 1.0
    burst_factor: float = 100.0
    membership: int = 2  # senders that are added or removed for good during the run


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """The faults of a run: `..._share` is a share of all senders, the other settings are counts."""

    restart_share: float = 0.11
    restart_s: float = 3.0  # from the end of a process to the next one's start
    machine_share: float = 0.0026
    machine_s: float = 30.0
    racks: int = 1
    rack_s: float = 30.0
    zones: int = 1
    zone_s: float = 30.0
    region_cuts: int = 1
    region_cut_s: float = 60.0
    slow_relays: int = 1
    slow_relay_s: float = 30.0
    slow_by_s: float = 0.5
    relays_lost: int = 1
    relay_lost_s: float = 30.0


@dataclass(frozen=True, slots=True)
class RealSettings:
    """The comparison of real senders with simulated ones of the same size; 0 senders: no comparison."""

    senders: int = 0
    load_senders: int = 0  # further simulated senders, in one shared process, that put load on the relays
    destinations: int = 1700
    duration_s: float = 12.0  # during which costs are measured
    changes_per_s: float = 0.0
    carry_s: float = 5.0  # after the measurement, during which messages are sent
    messages_per_s: float = 20.0  # submitted to each real sender
    tolerance: float = 0.15  # relative difference up to which figures of simulated senders are used


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Upper bounds on the run's figures; the command exits with 1 if one is exceeded. None: no bound."""

    config_p99_s: float | None = 3.0
    config_worst_s: float | None = 9.0
    stale: int | None = 0
    moved_share: float | None = 1.3
    cpu_share: float | None = None
    mb: float | None = None
    kb_s: float | None = None
    control_machines: int | None = 26


@dataclass(frozen=True, slots=True)
class ScaleSettings:
    """All settings of a scale run."""

    name: str
    seed: int
    duration_s: float
    warm_s: float  # before the first change
    settle_s: float  # after the last change
    workers: int  # processes that simulate sizes in parallel
    most_memory_gb: float
    sizes: tuple[Size, ...]
    fleet: FleetSettings = field(default_factory=FleetSettings)
    network: NetworkSettings = field(default_factory=NetworkSettings)
    changes: ChangeSettings = field(default_factory=ChangeSettings)
    faults: FaultSettings = field(default_factory=FaultSettings)
    real: RealSettings = field(default_factory=RealSettings)
    bounds: BoundSettings = field(default_factory=BoundSettings)

    @property
    def total_s(self) -> float:
        """Length of the run on its own clock."""
        return self.warm_s + self.duration_s + self.settle_s

    def with_seed(self, seed: int) -> ScaleSettings:
        """The same settings with another seed."""
        return replace(self, seed=seed)


def _count(table: Table, key: str, default: int, least: int = 0, most: int = 1 << 40) -> int:
    value = int(table.get(key, int, default=default))
    if not least <= value <= most:
        raise ConfigError(f"{table.name}.{key}: must be {least} to {most}")
    return value


def _seconds(table: Table, key: str, default: float) -> float:
    value = float(table.get(key, int, float, default=default))
    if not 0 <= value < 1e6:
        raise ConfigError(f"{table.name}.{key}: must be 0 or more, and below a million")
    return value


def _share(table: Table, key: str, default: float) -> float:
    value = float(table.get(key, int, float, default=default))
    if not 0 <= value < 1:
        raise ConfigError(f"{table.name}.{key}: must be 0 or more, and below 1")
    return value


def _bound(table: Table, key: str, default: float | None) -> float | None:
    """Read a bound; a negative value switches it off."""
    value = float(table.get(key, int, float, default=-1.0 if default is None else default))
    return None if value < 0 else value


def _size(table: Table) -> Size:
    size = Size(
        _count(table, "senders", 0, 1, MAX_SENDERS),
        _count(table, "destinations", 0, 1, MAX_DESTINATIONS),
        _count(table, "shards", DEFAULT_SHARDS, 1, 1 << 20),
    )
    table.reject_unknown()
    return size


def _fleet(table: Table) -> FleetSettings:
    default = FleetSettings()
    fleet = FleetSettings(
        regions=_count(table, "regions", default.regions, 1, 100),
        zones=_count(table, "zones", default.zones, 1, 200),
        senders_per_rack=_count(table, "senders_per_rack", default.senders_per_rack, 1),
        replicas=_count(table, "replicas", default.replicas, 1, 9),
        upper_relays=_count(table, "upper_relays", default.upper_relays, 1, 20),
    )
    if fleet.zones < fleet.regions:
        raise ConfigError("fleet.zones: fewer than regions")
    return fleet


def _network(table: Table) -> NetworkSettings:
    default = NetworkSettings()
    return NetworkSettings(
        zone_delay_s=_seconds(table, "zone_delay_s", default.zone_delay_s),
        region_delay_s=_seconds(table, "region_delay_s", default.region_delay_s),
        jitter_s=_seconds(table, "jitter_s", default.jitter_s),
        loss=_share(table, "loss", default.loss),
        retransmit_s=table.positive("retransmit_s", default.retransmit_s),
    )


def _changes(table: Table) -> ChangeSettings:
    default = ChangeSettings()
    return ChangeSettings(
        per_s=_seconds(table, "per_s", default.per_s),
        bursts=_count(table, "bursts", default.bursts),
        burst_s=_seconds(table, "burst_s", default.burst_s),
        burst_factor=_seconds(table, "burst_factor", default.burst_factor),
        membership=_count(table, "membership", default.membership, 0, 1000),
    )


def _faults(table: Table) -> FaultSettings:
    default = FaultSettings()
    return FaultSettings(
        restart_share=_share(table, "restart_share", default.restart_share),
        restart_s=_seconds(table, "restart_s", default.restart_s),
        machine_share=_share(table, "machine_share", default.machine_share),
        machine_s=_seconds(table, "machine_s", default.machine_s),
        racks=_count(table, "racks", default.racks),
        rack_s=_seconds(table, "rack_s", default.rack_s),
        zones=_count(table, "zones", default.zones),
        zone_s=_seconds(table, "zone_s", default.zone_s),
        region_cuts=_count(table, "region_cuts", default.region_cuts),
        region_cut_s=_seconds(table, "region_cut_s", default.region_cut_s),
        slow_relays=_count(table, "slow_relays", default.slow_relays),
        slow_relay_s=_seconds(table, "slow_relay_s", default.slow_relay_s),
        slow_by_s=_seconds(table, "slow_by_s", default.slow_by_s),
        relays_lost=_count(table, "relays_lost", default.relays_lost),
        relay_lost_s=_seconds(table, "relay_lost_s", default.relay_lost_s),
    )


def _real(table: Table) -> RealSettings:
    default = RealSettings()
    senders = _count(table, "senders", default.senders, 0, 40)
    if 0 < senders < MIN_REAL_SENDERS:
        raise ConfigError(f"real.senders: at least {MIN_REAL_SENDERS}, or 0 for none")
    return RealSettings(
        senders=senders,
        load_senders=_count(table, "load_senders", default.load_senders, 0, 2000),
        destinations=_count(table, "destinations", default.destinations, 1, 100_000),
        duration_s=table.positive("duration_s", default.duration_s),
        carry_s=table.positive("carry_s", default.carry_s),
        changes_per_s=_seconds(table, "changes_per_s", default.changes_per_s),
        messages_per_s=_seconds(table, "messages_per_s", default.messages_per_s),
        tolerance=_share(table, "tolerance", default.tolerance),
    )


def _bounds(table: Table) -> BoundSettings:
    default = BoundSettings()
    stale = _bound(table, "stale", default.stale)
    machines = _bound(table, "control_machines", default.control_machines)
    return BoundSettings(
        config_p99_s=_bound(table, "config_p99_s", default.config_p99_s),
        config_worst_s=_bound(table, "config_worst_s", default.config_worst_s),
        stale=None if stale is None else int(stale),
        moved_share=_bound(table, "moved_share", default.moved_share),
        cpu_share=_bound(table, "cpu_share", default.cpu_share),
        mb=_bound(table, "mb", default.mb),
        kb_s=_bound(table, "kb_s", default.kb_s),
        control_machines=None if machines is None else int(machines),
    )


def _section(top: Table, key: str, parse_section: Callable[[Table], _T]) -> _T:
    table = top.table(key) or Table({}, key)
    section = parse_section(table)
    table.reject_unknown()
    return section


def parse(raw: dict[str, Any]) -> ScaleSettings:
    """Parse the tables of a file; raises ConfigError for unknown, missing and out-of-range settings."""
    top = Table(raw, "")
    sizes = tuple(_size(table) for table in top.tables("size"))
    if not sizes:
        raise ConfigError("size: missing")
    if len(set(sizes)) != len(sizes):
        raise ConfigError("size: the same size twice")
    duration_s = top.positive("duration_s")
    settings = ScaleSettings(
        name=top.get("name", str),
        seed=top.get("seed", int),
        duration_s=duration_s,
        warm_s=top.positive("warm_s", 15.0),
        settle_s=top.positive("settle_s", 15.0),
        workers=top.get("workers", int, default=2),
        most_memory_gb=top.positive("most_memory_gb", 4.0),
        sizes=sizes,
        fleet=_section(top, "fleet", _fleet),
        network=_section(top, "network", _network),
        changes=_section(top, "changes", _changes),
        faults=_section(top, "faults", _faults),
        real=_section(top, "real", _real),
        bounds=_section(top, "bounds", _bounds),
    )
    top.reject_unknown()
    if not 1 <= settings.workers <= 8:
        raise ConfigError("workers: must be 1 to 8")
    if settings.faults.region_cut_s >= duration_s and settings.faults.region_cuts:
        raise ConfigError("faults.region_cut_s: not shorter than duration_s")
    return settings


def load(path: Path) -> ScaleSettings:
    """Read settings from a TOML file; raises ConfigError with a message of one line if it is not valid."""
    return parse(read_toml(path))
