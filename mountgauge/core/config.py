"""A sender's start configuration, read once into typed values."""

from __future__ import annotations

import errno
import logging
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from mountgauge.core.config_keys import KeyPath, dotted, key_paths, missing_at_reload, missing_at_start
from mountgauge.core.config_ranges import value_errors
from mountgauge.core.ports import NextHop
from mountgauge.log import kv
from rillspindle.interface import Entry, Readiness, Settings

log = logging.getLogger("mountgauge.config")

_STATES = {"active": Readiness.READY, "leaving": Readiness.DRAINING, "left": Readiness.GONE}


class ConfigError(ValueError):
    """The configuration cannot be used; the message is one line for the operator."""


# Temporary errors of the system, after which the file may become readable.
_TEMPORARY = frozenset(
    (errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EAGAIN, errno.EINTR, errno.ENOBUFS)
)


class FileUnreadableError(ConfigError):
    """The system failed to read the file, so its content is unknown; it may be readable later."""

    def __init__(self, path: Path, error: OSError) -> None:
        super().__init__(f"{path}: {error.strerror}")
        self.temporary = error.errno in _TEMPORARY  # if not, waiting will not make it readable


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a port to listen on or to connect to."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: object, name: str) -> Address:
        host, _, port = str(text).rpartition(":")
        if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
            raise ConfigError(f"{name}: not an address: {text!r}")
        return cls(host.strip("[]"), int(port))


@dataclass(frozen=True, slots=True)
class MapUpdate:
    """A version of the transport map: all of it if `full`, else what changed."""

    version: int
    full: bool
    hops: tuple[NextHop, ...]
    # A change is missing from `hops`, because an entry names no endpoint, or two entries have one endpoint in
    # different states: only a full list resolves that. A full list is never incomplete: what it doesn't
    # contain is gone.
    incomplete: bool = False
    versions: Mapping[str, int] = field(default_factory=dict)  # by id, of entries from another version

    def version_of(self, hop_id: str) -> int:
        """The version from which this update's entry of an endpoint is."""
        return self.versions.get(hop_id, self.version)


@dataclass(frozen=True, slots=True)
class SettingNames:
    """Names in the settings that are numbers in the decision module."""

    class_names: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    removed_classes: frozenset[int] = frozenset()  # numbers that only messages under way still have

    def class_numbers(self) -> dict[str, int]:
        """The numbers of the classes that new messages may have, by name."""
        return {
            name: number for number, name in enumerate(self.class_names) if number not in self.removed_classes
        }

    def known_class(self, name: str) -> int | None:
        """The number of a class of this name: of a removed one if new messages may not have it."""
        numbers = [number for number, one in enumerate(self.class_names) if one == name]
        return max(numbers, key=lambda number: (number not in self.removed_classes, number), default=None)

    def update(self, raw: Any) -> MapUpdate:
        """Parse and check a list in discovery's format; raises ValueError if it has another format."""
        try:
            lines = list(raw["servers"])
            version, full = int(raw["version"]), raw["full"]
            if not isinstance(full, bool):
                raise TypeError(f"full: {full!r}")
        except (KeyError, TypeError, IndexError, OverflowError) as error:
            raise ValueError(f"not a list of endpoints: {error!r}") from None
        hops, unnamed = [], 0
        for line in lines:
            try:
                hops.append(self._hop(line))
            except (KeyError, TypeError, IndexError, ValueError, OverflowError, AttributeError) as error:
                # The other entries are valid. This endpoint's state is unknown, so nothing new is sent to it.
                log.warning("entry-not-read", extra=kv(entry=str(line)[:200], error=repr(error)[:200]))
                try:
                    hops.append(_unreadable_entry(_id(line)))
                except (KeyError, TypeError, IndexError, ValueError):
                    unnamed += 1
        if full and lines and all(hop.entry.readiness == Readiness.GONE for hop in hops):
            raise ValueError("no endpoint of the list can be read")
        incomplete = not full and bool(unnamed or _contradicts_itself(hops))
        if incomplete:
            log.warning("delta-incomplete", extra=kv(version=version, unnamed=unnamed, entries=len(lines)))
        return MapUpdate(version, full, tuple(hops), incomplete)

    def _hop(self, line: Mapping[str, Any]) -> NextHop:
        address, hop_id = Address.parse(line["addr"], "addr"), _id(line)
        entry = Entry(
            readiness=_STATES[line["state"]],
            boot_time=float(line.get("started_ms", 0)) / 1000,
            scale=float(line.get("weight", 1.0)),
            zone=self.zones.index(line["zone"]) if line.get("zone") in self.zones else 0,
            owner=int(line["cell"]),
            kind=self.kinds.index(line["kind"]),
            endpoint=hop_id.encode(),
        )
        return NextHop(hop_id, address.host, address.port, entry)


def _id(line: Mapping[str, Any]) -> str:
    """The id of an entry; raises ValueError or a similar error if it has none."""
    name = line["id"]
    if not isinstance(name, str | int) or isinstance(name, bool) or name == "":
        raise ValueError(f"id: {name!r}")
    return str(name)


def _unreadable_entry(hop_id: str) -> NextHop:
    """Represents an unreadable entry: an endpoint without a location, to which nothing new is sent."""
    gone = Entry(Readiness.GONE, 0.0, 0.0, 0, -1, 0, hop_id.encode(errors="replace"))
    return NextHop(hop_id, "", 0, gone)


def _contradicts_itself(hops: list[NextHop]) -> bool:
    """Whether an id occurs several times in different states or at different locations."""
    seen: dict[str, object] = {}
    return any(seen.setdefault(hop.id, _reported_state(hop)) != _reported_state(hop) for hop in hops)


def _reported_state(hop: NextHop) -> object:
    return hop.host, hop.port, hop.entry.owner, hop.entry.readiness


@dataclass(frozen=True, slots=True)
class Limits:
    """The resource limits of the process."""

    memory_bytes: int
    sockets: int
    disk_bytes: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a sender, from the platform or from an operator's file."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    limits: Limits
    known: MapUpdate
    settings: Mapping[str, Any]
    rules: Settings
    names: SettingNames
    conn_idle: float
    # The clients' listening socket, which the platform keeps open across processes.
    listen_fd: int | None = None
    console: Address | None = None  # for the operators' console
    keys: frozenset[KeyPath] = frozenset()  # of the file

    @classmethod
    def load(cls, env: Mapping[str, str] = os.environ) -> Config:
        """Read the file that a process starts with. ConfigError if it cannot be used."""
        return cls.from_mapping(_read(env), env)

    @classmethod
    def load_again(cls, in_force: Config, env: Mapping[str, str] = os.environ) -> Config:
        """Read the file that replaces the one in force. ConfigError if nothing of it may be taken."""
        raw = _read(env)
        if (missing := missing_at_reload(raw, in_force.keys)) is not None:
            raise ConfigError(f"missing {dotted(missing)}")
        return cls.from_mapping(raw, env)

    @classmethod
    def from_mapping(cls, raw: Mapping[str, Any], env: Mapping[str, str]) -> Config:
        """Check a file's content. ConfigError names the first key that is missing or has a wrong value."""
        state = env.get("GW_STATE")
        if not state or not Path(state).is_dir():
            raise ConfigError(f"GW_STATE: not a folder: {state!r}")
        if (missing := missing_at_start(raw)) is not None:
            raise ConfigError(f"missing {dotted(missing)}")
        try:
            settings = raw["settings"]
            names = SettingNames(
                tuple(str(g["name"]) for g in settings["grades"]),
                tuple(map(str, settings["localities"])),
                tuple(map(str, settings["shapes"])),
            )
            limits = raw.get("limits", {})
            rules = Settings.from_mapping(settings)
            for wrong_value in value_errors(rules, names.class_names, len(names.kinds)):
                raise ConfigError(wrong_value)
            return cls(
                name=str(env.get("GW_NAME") or raw["name"]),
                listen=Address.parse(env.get("GW_LISTEN") or raw["listen"], "listen"),
                # The file takes precedence, as it can be replaced while the program runs and its environment
                # can't.
                discovery=Address.parse(raw.get("discovery") or env.get("GW_DISCOVERY"), "discovery"),
                state=Path(state),
                seed=int(str(raw.get("seed", "0")), 16),
                limits=Limits(
                    int(_positive(limits.get("memory_mb", 192), "limits.memory_mb") * 1_000_000),
                    int(_positive(limits.get("sockets", 1024), "limits.sockets")),
                    int(_positive(limits.get("disk_mb", 3), "limits.disk_mb") * 1_000_000),
                ),
                known=names.update(raw.get("known", {"version": -1, "full": True, "servers": []})),
                settings=settings,
                rules=rules,
                names=names,
                conn_idle=_positive(settings["ceilings"]["connIdle"], "ceilings.connIdle"),
                listen_fd=_descriptor(env.get("GW_LISTEN_FD")),
                console=_console(env.get("GW_CONSOLE") or raw.get("console")),
                keys=key_paths(raw),
            )
        except ConfigError:
            raise
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            text = f"missing {error}" if isinstance(error, KeyError) else str(error)
            raise ConfigError(" ".join(text.split())) from None


def _read(env: Mapping[str, str]) -> Mapping[str, Any]:
    """Read the file that `GW_CONFIG` names."""
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    try:
        raw = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise FileUnreadableError(Path(path), error) from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    return raw


def _positive(value: object, name: str) -> float:
    """Check that a value is a number above 0."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ConfigError(f"{name}: not a number")
    if not (value > 0 and math.isfinite(value)):
        raise ConfigError(f"{name}: not a positive number")
    return float(value)


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isdecimal():
        raise ConfigError(f"GW_LISTEN_FD: not a descriptor: {text!r}")
    return int(text)


def _console(text: object) -> Address | None:
    return None if not text else Address.parse(text, "console")
