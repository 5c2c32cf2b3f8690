"""The operators' list of fleet members, by epoch. Only a new epoch changes it, not a restart of a process.

Each entry has the first epoch in which a member belongs to the fleet (`since`) and, after its removal, the
first epoch in which it no longer does (`until`). Entries stay in the file, so that each relay computes the
same placement from it. A member that gets another weight, or is added again, has a further entry whose
`since` is not below the `until` of the one before. Entries whose `until` is at most `base_epoch` may be
deleted once each relay has a placement of that epoch or later.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from mountgauge.core.config import ConfigError

FOREVER = 1 << 40  # `until` of a member that has not been removed


class MemberFileError(ConfigError):
    """The members file is invalid; the message is one line for the operator."""


@dataclass(frozen=True, slots=True)
class Member:
    """A sender that belongs to the fleet in the epochs from `since` up to, but without, `until`."""

    name: str
    zone: str
    weight: float = 1.0
    since: int = 1
    until: int = FOREVER  # the first epoch in which it is no member

    @property
    def weight_units(self) -> int:
        """The weight in thousandths, as an integer, so that sums don't depend on their order."""
        return max(1, round(self.weight * 1_000))

    def belongs(self, epoch: int) -> bool:
        """Whether it is a member in this epoch."""
        return self.since <= epoch < self.until


@dataclass(frozen=True, slots=True)
class MemberFile:
    """The members in each epoch from `base_epoch` up to `epoch`."""

    epoch: int
    members: tuple[Member, ...]
    base_epoch: int = 1

    def __post_init__(self) -> None:
        _check(self)

    def at(self, epoch: int) -> tuple[Member, ...]:
        """Return the members in an epoch."""
        return tuple(one for one in self.members if one.belongs(epoch))

    @classmethod
    def from_mapping(cls, raw: Mapping[str, Any]) -> MemberFile:
        """Read the parsed TOML file, which has `epoch`, `base_epoch` and the array of tables `members`."""
        entries = raw.get("members")
        if not isinstance(entries, list) or not entries:
            raise MemberFileError("members: none are listed")
        members = tuple(_member(entry, index) for index, entry in enumerate(entries))
        _check_keys(raw, {"epoch", "base_epoch", "members"}, "")
        return cls(_number(raw, "epoch", 1, ""), members, _number(raw, "base_epoch", 1, ""))


def _check(file: MemberFile) -> None:
    previous: dict[str, Member] = {}
    for one in sorted(file.members, key=lambda one: (one.name, one.since)):
        if one.name in previous and one.since < previous[one.name].until:
            raise MemberFileError(f"member {one.name!r}: listed twice for epoch {one.since}")
        previous[one.name] = one
        if not (math.isfinite(one.weight) and one.weight > 0):
            raise MemberFileError(f"member {one.name!r}: weight must be above 0")
        if one.since >= one.until:
            raise MemberFileError(f"member {one.name!r}: until must be above since")
        if one.since > file.epoch or (one.until != FOREVER and one.until > file.epoch):
            raise MemberFileError(f"member {one.name!r}: since or until is above epoch {file.epoch}")
    if not 1 <= file.base_epoch <= file.epoch:
        raise MemberFileError(f"base_epoch: must be from 1 to {file.epoch}")
    for epoch in range(file.base_epoch, file.epoch + 1):
        if not any(one.belongs(epoch) for one in file.members):
            raise MemberFileError(f"no member belongs to epoch {epoch}")


def _member(entry: object, index: int) -> Member:
    prefix = f"members[{index}]."
    if not isinstance(entry, Mapping):
        raise MemberFileError(f"members[{index}]: not a table")
    _check_keys(entry, {"name", "zone", "weight", "since", "until"}, prefix)
    weight = entry.get("weight", 1.0)
    if not isinstance(weight, int | float) or isinstance(weight, bool):
        raise MemberFileError(f"{prefix}weight: wrong type")
    name, zone = _text(entry, "name", prefix), _text(entry, "zone", prefix)
    since, until = _number(entry, "since", 1, prefix), _number(entry, "until", FOREVER, prefix)
    return Member(name, zone, float(weight), since, until)


def _check_keys(raw: Mapping[str, Any], keys: set[str], prefix: str) -> None:
    if unknown := sorted(set(raw) - keys):
        raise MemberFileError(f"{prefix}{unknown[0]}: unknown setting")


def _text(entry: Mapping[str, Any], key: str, prefix: str) -> str:
    value = entry.get(key)
    if not isinstance(value, str) or not value:
        raise MemberFileError(f"{prefix}{key}: must be a non-empty string")
    return value


def _number(raw: Mapping[str, Any], key: str, default: int, prefix: str) -> int:
    value = raw.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise MemberFileError(f"{prefix}{key}: must be a positive integer")
    return value
