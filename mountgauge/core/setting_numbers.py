"""Numbers of message classes, zones and kinds that stay valid when the settings are replaced.

The decision module and the core carry a message's class, and an endpoint's zone and kind, as the position of
a name in the settings' lists. A message may wait between the reading of its command and the decision, an
attempt may be in flight, and an endpoint stays listed, while a reload replaces these lists. A number that was
given out therefore keeps its meaning for the lifetime of the process: what new settings lack keeps its
number and its definition, and what is new, or defined otherwise, gets the next number. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

from mountgauge.core.config import SettingNames
from rillspindle.interface import MessageClass, Settings

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True)
class NumberedSettings:
    """Settings, and the names of their numbers."""

    rules: Settings
    names: SettingNames

    def class_number(self, name: str, message_class: MessageClass) -> int:
        """The number of a class that is known to be among them."""
        known = zip(self.names.class_names, self.rules.message_classes, strict=True)
        return list(known).index((name, message_class))


def keep_numbers(in_force: NumberedSettings, new: NumberedSettings) -> NumberedSettings:
    """Arrange new settings so that each number of the ones in force keeps its meaning."""
    zones = _with_new(in_force.names.zones, new.names.zones)
    kinds = _with_new(in_force.names.kinds, new.names.kinds)
    class_names, message_classes, removed = _number_classes(in_force, new)
    own_zone = new.names.zones[new.rules.zone] if new.names.zones else ""
    rules = replace(
        new.rules,
        message_classes=message_classes,
        zone=zones.index(own_zone) if own_zone in zones else 0,
        kind_batch=_by_kind(
            kinds, in_force.names, in_force.rules.kind_batch, new.names, new.rules.kind_batch
        ),
        routes_apart=_by_kind(
            kinds, in_force.names, in_force.rules.routes_apart, new.names, new.rules.routes_apart
        ),
    )
    return NumberedSettings(rules, SettingNames(class_names, zones, kinds, removed))


def with_class(in_force: NumberedSettings, name: str, message_class: MessageClass) -> NumberedSettings:
    """Settings that have a number for a class of messages under way; new messages can't have it unless they
    could before.
    """
    names, rules = in_force.names, in_force.rules
    if (name, message_class) in zip(names.class_names, rules.message_classes, strict=True):
        return in_force
    number = len(names.class_names)
    return NumberedSettings(
        replace(rules, message_classes=(*rules.message_classes, message_class)),
        replace(
            names,
            class_names=(*names.class_names, name),
            removed_classes=names.removed_classes | {number},
        ),
    )


def _with_new(known: tuple[str, ...], new: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(dict.fromkeys((*known, *new)))


def _by_kind(
    kinds: tuple[str, ...],
    known_names: SettingNames,
    known: Sequence[_Value],
    new_names: SettingNames,
    new: Sequence[_Value],
) -> tuple[_Value, ...]:
    """A setting's value for each kind: the new one, or the last one of a kind that is not listed any more."""
    values = dict(zip(known_names.kinds, known, strict=False))
    values |= dict(zip(new_names.kinds, new, strict=False))
    return tuple(values[kind] for kind in kinds)


def _number_classes(
    in_force: NumberedSettings, new: NumberedSettings
) -> tuple[tuple[str, ...], tuple[MessageClass, ...], frozenset[int]]:
    """The names and definitions of all classes by number, and the numbers that new messages don't use."""
    numbered = list(zip(in_force.names.class_names, in_force.rules.message_classes, strict=True))
    used: set[int] = set()
    for name, message_class in zip(new.names.class_names, new.rules.message_classes, strict=True):
        if (name, message_class) not in numbered:
            numbered.append((name, message_class))
        used.add(numbered.index((name, message_class)))
    removed = frozenset(range(len(numbered))) - used
    return tuple(name for name, _ in numbered), tuple(one for _, one in numbered), removed
