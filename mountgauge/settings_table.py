"""Tables of a settings file (TOML): typed access, one plain line on what is unknown or of the wrong type."""

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
    """One table of the file: typed access, and a plain word on anything unknown or of the wrong type."""

    raw: Mapping[str, Any]
    name: str
    seen: set[str] = field(default_factory=set)

    def get(self, key: str, *kinds: type, default: Any = None) -> Any:
        self.seen.add(key)
        value = self.raw.get(key, default)
        where = f"{self.name}.{key}" if self.name else key
        if value is None:
            raise ConfigError(f"{where}: missing")
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise ConfigError(f"{where}: wrong type")
        return value

    def positive(self, key: str, default: float | None = None) -> float:
        value = float(self.get(key, int, float, default=default))
        if value <= 0:
            raise ConfigError(f"{self.name}.{key}: must be above 0")
        return value

    def address(self, key: str) -> Address | None:
        if key not in self.raw:
            return None
        return Address.parse(self.get(key, str), f"{self.name}.{key}" if self.name else key)

    def table(self, key: str) -> Table | None:
        return Table(self.get(key, dict), key) if key in self.raw else None

    def tables(self, key: str) -> list[Table]:
        found = self.get(key, list, default=[])
        if not all(isinstance(one, dict) for one in found):
            raise ConfigError(f"{key}: not a list of tables")
        return [Table(one, f"{key}[{place}]") for place, one in enumerate(found)]

    def reject_unknown(self) -> None:
        if unknown := sorted(set(self.raw) - self.seen):
            raise ConfigError(f"{self.name + '.' if self.name else ''}{unknown[0]}: unknown setting")


@contextmanager
def config_errors_in(path: Path) -> Iterator[None]:
    """ConfigError that leaves this block names the file, in one line; FileUnreadableError stays as it is."""
    try:
        yield
    except FileUnreadableError:
        raise
    except ConfigError as error:
        text = " ".join(str(error).split())
        raise ConfigError(text if text.startswith(str(path)) else f"{path}: {text}") from None


def read_toml(path: Path) -> dict[str, Any]:
    """The tables of a TOML file; ConfigError where they can't be read, `FileUnreadableError` where the system
    does not let it be.
    """
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise FileUnreadableError(path, error) from None
    except (ValueError, RecursionError) as error:  # not TOML or UTF-8; numbers or nesting without end
        raise ConfigError(f"{path}: {error}") from None
