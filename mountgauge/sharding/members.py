"""Who belongs to the fleet: configuration with an epoch. A restart changes nothing here.

Each line says from which epoch on a member belongs (`since`) and, once it was taken out, the first epoch that
it doesn't (`until`). Lines stay, so that each relay works out the same placement from the file. A member that
gets another weight, or comes back, has a second line that begins where the first ended or later. Lines that
ended by `base_epoch` may go once each relay has a placement of that epoch or later.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from mountgauge.core.config import ConfigError

FOREVER = 1 << 40


class MemberFileError(ConfigError):
    """The members' file can't be used; the text is one line for the operator."""


@dataclass(frozen=True, slots=True)
class Member:
    """One sender."""

    name: str
    zone: str
    weight: float = 1.0
    since: int = 1
    until: int = FOREVER  # the first epoch that it is no member of

    @property
    def weight_units(self) -> int:
        """The weight in thousandths: whole, so that sums are the same in any order."""
        return max(1, round(self.weight * 1_000))

    def belongs(self, epoch: int) -> bool:
        return self.since <= epoch < self.until


@dataclass(frozen=True, slots=True)
class MemberFile:
    """The operators' list of members, epoch by epoch, from `base_epoch` on."""

    epoch: int
    members: tuple[Member, ...]
    base_epoch: int = 1

    def __post_init__(self) -> None:
        _check(self)

    def at(self, epoch: int) -> tuple[Member, ...]:
        """The members of an epoch."""
        return tuple(one for one in self.members if one.belongs(epoch))

    @classmethod
    def from_mapping(cls, raw: Mapping[str, Any]) -> MemberFile:
        """`epoch`, `base_epoch` and the tables `members`, as a TOML file has them."""
        lines = raw.get("members")
        if not isinstance(lines, list) or not lines:
            raise MemberFileError("members: none are listed")
        members = tuple(_member(line, place) for place, line in enumerate(lines))
        _known(raw, {"epoch", "base_epoch", "members"}, "")
        return cls(_number(raw, "epoch", 1, ""), members, _number(raw, "base_epoch", 1, ""))


def _check(file: MemberFile) -> None:
    last: dict[str, Member] = {}
    for one in sorted(file.members, key=lambda one: (one.name, one.since)):
        if one.name in last and one.since < last[one.name].until:
            raise MemberFileError(f"member {one.name!r}: listed twice for epoch {one.since}")
        last[one.name] = one
        if not (math.isfinite(one.weight) and one.weight > 0):
            raise MemberFileError(f"member {one.name!r}: weight must be above 0")
        if one.since >= one.until:
            raise MemberFileError(f"member {one.name!r}: until must be above since")
        if one.since > file.epoch or (one.until != FOREVER and one.until > file.epoch):
            raise MemberFileError(f"member {one.name!r}: since or until past epoch {file.epoch}")
    if not 1 <= file.base_epoch <= file.epoch:
        raise MemberFileError(f"base_epoch: not from 1 to {file.epoch}")
    for epoch in range(file.base_epoch, file.epoch + 1):
        if not any(one.belongs(epoch) for one in file.members):
            raise MemberFileError(f"no member belongs to epoch {epoch}")


def _member(line: object, place: int) -> Member:
    where = f"members[{place}]."
    if not isinstance(line, Mapping):
        raise MemberFileError(f"members[{place}]: not a table")
    _known(line, {"name", "zone", "weight", "since", "until"}, where)
    weight = line.get("weight", 1.0)
    if not isinstance(weight, int | float) or isinstance(weight, bool):
        raise MemberFileError(f"{where}weight: wrong type")
    name, zone = _text(line, "name", where), _text(line, "zone", where)
    since, until = _number(line, "since", 1, where), _number(line, "until", FOREVER, where)
    return Member(name, zone, float(weight), since, until)


def _known(raw: Mapping[str, Any], keys: set[str], where: str) -> None:
    if unknown := sorted(set(raw) - keys):
        raise MemberFileError(f"{where}{unknown[0]}: unknown setting")


def _text(line: Mapping[str, Any], key: str, where: str) -> str:
    value = line.get(key)
    if not isinstance(value, str) or not value:
        raise MemberFileError(f"{where}{key}: not a text")
    return value


def _number(raw: Mapping[str, Any], key: str, default: int, where: str) -> int:
    value = raw.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise MemberFileError(f"{where}{key}: not a whole number above 0")
    return value
