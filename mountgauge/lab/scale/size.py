"""The fleet size for which capacity is computed, read from a TOML file. Names include their units."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from mountgauge.core.config import ConfigError
from mountgauge.settings_table import Table, config_errors_in, read_toml

_DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Senders, their load, their destinations and the failures to expect."""

    senders: int
    regions: int
    zones: int
    events_per_s: float
    backlog_events: float
    body_bytes: int
    destinations: int
    down_share: float
    changes_per_day: float
    burst: float  # factor on the mean rate of changes
    in_force_s: float
    core_share: float  # of one core, for the control plane of a sender
    memory_mb: float
    kb_per_s: float
    control_machines: int
    machines_failed_per_day: float
    restarts_per_day: float
    racks_per_year: float
    zones_per_year: float
    region_cuts_per_year: float
    region_cut_s: float
    rack_senders: int
    ready_s: float
    ready_share: float
    delay_s: float  # of a message between members
    losses: int  # consecutive lost messages of one change
    shards: int
    places: int  # senders that each shard is placed on
    upper_relays: int  # above the zone relays

    @property
    def changes_per_s(self) -> float:
        """Mean rate of configuration changes."""
        return self.changes_per_day / _DAY_S

    @property
    def events_per_sender_s(self) -> float:
        """Mean rate of events at one sender."""
        return self.events_per_s / self.senders

    @property
    def backlog_per_sender(self) -> float:
        """Mean number of waiting events at one sender."""
        return self.backlog_events / self.senders

    @property
    def destinations_per_sender(self) -> float:
        """Destinations of one sender if each shard is placed on `places` senders."""
        return self.destinations * self.places / self.senders

    @property
    def senders_per_zone(self) -> float:
        """Mean number of senders in a zone."""
        return self.senders / self.zones

    @property
    def destinations_down(self) -> float:
        """Number of destinations that are down at any time."""
        return self.destinations * self.down_share


def load_size(path: Path) -> FleetSize:
    """Read a size from a file; raises ConfigError with a message of one line if it is not valid."""
    with config_errors_in(path):
        return _size(Table(read_toml(path), ""))


def _size(top: Table) -> FleetSize:
    fleet, destinations = _section(top, "fleet"), _section(top, "destinations")
    configuration, control = _section(top, "configuration"), _section(top, "control")
    failures, sharding = _section(top, "failures"), _section(top, "sharding")
    network = _section(top, "network")
    found = FleetSize(
        senders=_count(fleet, "senders"),
        regions=_count(fleet, "regions"),
        zones=_count(fleet, "zones"),
        events_per_s=fleet.positive("events_per_s"),
        backlog_events=fleet.positive("backlog_events"),
        body_bytes=_count(fleet, "body_bytes"),
        destinations=_count(destinations, "count"),
        down_share=_share(destinations, "down_share"),
        changes_per_day=configuration.positive("changes_per_day"),
        burst=configuration.positive("burst"),
        in_force_s=configuration.positive("in_force_s"),
        core_share=_share(control, "core_share"),
        memory_mb=control.positive("memory_mb"),
        kb_per_s=control.positive("kb_per_s"),
        control_machines=_count(control, "machines"),
        machines_failed_per_day=failures.positive("machines"),
        restarts_per_day=failures.positive("restarts"),
        racks_per_year=failures.positive("racks_per_year"),
        zones_per_year=failures.positive("zones_per_year"),
        region_cuts_per_year=failures.positive("region_cuts_per_year"),
        region_cut_s=failures.positive("region_cut_s"),
        rack_senders=_count(failures, "rack_senders"),
        ready_s=failures.positive("ready_s"),
        ready_share=_share(failures, "ready_share"),
        delay_s=network.positive("delay_s"),
        losses=_count(network, "losses"),
        shards=_count(sharding, "shards"),
        places=_count(sharding, "places"),
        upper_relays=_count(sharding, "upper_relays"),
    )
    for table in (fleet, destinations, configuration, control, failures, sharding, network, top):
        table.reject_unknown()
    if found.zones < found.regions:
        raise ConfigError("fleet.zones: fewer than regions")
    return found


def _section(top: Table, name: str) -> Table:
    table = top.table(name)
    if table is None:
        raise ConfigError(f"{name}: missing")
    return table


def _count(table: Table, key: str) -> int:
    found = table.positive(key)
    if found != int(found):
        raise ConfigError(f"{table.name}.{key}: not a whole number")
    return int(found)


def _share(table: Table, key: str) -> float:
    found = table.positive(key)
    if found > 1:
        raise ConfigError(f"{table.name}.{key}: a share, 1 at most")
    return found
