"""Typed access to the tables of a settings file (TOML), with errors of one line."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mountgauge.core.config import Address, ConfigError, FileUnreadableError


@dataclass(slots=True)
class Table:
    """One table of the file. ConfigError names the setting that is missing, unknown or of the wrong type."""

    raw: Mapping[str, Any]
    name: str  # "" for the top of the file
    seen: set[str] = field(default_factory=set)  # the keys that were read

    def get(self, key: str, *types: type, default: Any = None) -> Any:
        """Return a setting of one of these types, or the default if it is absent."""
        self.seen.add(key)
        value = self.raw.get(key, default)
        setting = f"{self.name}.{key}" if self.name else key
        if value is None:
            raise ConfigError(f"{setting}: missing")
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise ConfigError(f"{setting}: wrong type")
        return value

    def positive(self, key: str, default: float | None = None) -> float:
        """Return a number above 0."""
        value = float(self.get(key, int, float, default=default))
        if value <= 0:
            raise ConfigError(f"{self.name}.{key}: must be above 0")
        return value

    def address(self, key: str) -> Address | None:
        """Return an address, or None if the setting is absent."""
        if key not in self.raw:
            return None
        return Address.parse(self.get(key, str), f"{self.name}.{key}" if self.name else key)

    def table(self, key: str) -> Table | None:
        """Return a subtable, or None if it is absent."""
        return Table(self.get(key, dict), key) if key in self.raw else None

    def tables(self, key: str) -> list[Table]:
        """Return an array of tables, empty if it is absent."""
        tables = self.get(key, list, default=[])
        if not all(isinstance(one, dict) for one in tables):
            raise ConfigError(f"{key}: not a list of tables")
        return [Table(one, f"{key}[{index}]") for index, one in enumerate(tables)]

    def reject_unknown(self) -> None:
        """Raise ConfigError if the table has a setting that was never read."""
        if unknown := sorted(set(self.raw) - self.seen):
            raise ConfigError(f"{self.name + '.' if self.name else ''}{unknown[0]}: unknown setting")


@contextmanager
def config_errors_in(path: Path) -> Iterator[None]:
    """Add the file's name to a ConfigError raised in this block, and reduce it to one line.

    FileUnreadableError names the file already, and passes unchanged.
    """
    try:
        yield
    except FileUnreadableError:
        raise
    except ConfigError as error:
        text = " ".join(str(error).split())
        raise ConfigError(text if text.startswith(str(path)) else f"{path}: {text}") from None


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file. ConfigError if its content is invalid, FileUnreadableError if the system fails to
    read it.
    """
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise FileUnreadableError(path, error) from None
    except (ValueError, RecursionError) as error:  # not TOML or UTF-8, or excessive numbers or nesting
        raise ConfigError(f"{path}: {error}") from None
