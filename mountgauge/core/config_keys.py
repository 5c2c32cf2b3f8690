"""The keys of a sender's configuration file: which ones it has to have, and which ones may be absent.

A default that stands in for an absent key is a value that nobody chose. At the start of a process only keys
that the process's environment gives as well, or that have a safe default (`seed`, `limits`, `known`), may be
absent. A file that replaces the one in force has to have all keys of that file too: its absent key would
undo a setting in force. Only the optional keys (`_MAY_BE_ABSENT`) and those of a removed class may be
absent. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

KeyPath = tuple[str, ...]  # the keys from the top of the file; a message class stands under its name

# The settings that are read; the decision module's own check names those of a class.
_REQUIRED: tuple[KeyPath, ...] = (
    ("settings", "balancers"),
    ("settings", "ceilings", "attemptsCap"),
    ("settings", "ceilings", "cancel"),
    ("settings", "ceilings", "connIdle"),
    ("settings", "ceilings", "connectTimeout"),
    ("settings", "ceilings", "maxOpen"),
    ("settings", "ceilings", "maxRetryAfter"),
    ("settings", "ceilings", "mayDuplicate"),
    ("settings", "ceilings", "probes"),
    ("settings", "discovery"),
    ("settings", "extra", "kindBatch"),
    ("settings", "extra", "losesWorth"),
    ("settings", "extra", "routesApart"),
    ("settings", "extra", "workers"),
    ("settings", "grades"),
    ("settings", "localities"),
    ("settings", "obligations", "askWithin"),
    ("settings", "obligations", "cold"),
    ("settings", "obligations", "drainGrace"),
    ("settings", "obligations", "fall"),
    ("settings", "obligations", "fallMultiple"),
    ("settings", "obligations", "startCapacity"),
    ("settings", "report", "fields"),
    ("settings", "shapes"),
    ("settings", "tick"),
    ("settings", "weights"),
    ("settings", "zone"),
)
_REQUIRED_OF_CLASS = (
    "aim",
    "deadline",
    "group",
    "lateWorth",
    "name",
    "repeatWindow",
    "semantics",
    "worth",
)
# The environment is from the start of the process; an address may have been replaced in the file since.
_REQUIRED_AT_RELOAD: tuple[KeyPath, ...] = (("discovery",),)

_CLASSES: KeyPath = ("settings", "grades")
_TURN_GAP: KeyPath = ("settings", "obligations", "turnGap")
# Optional keys; `turnGap` may be absent as well if no class is ordered by key.
_MAY_BE_ABSENT: tuple[KeyPath, ...] = (("settings", "deductions", "fleet"),)
_MAY_BE_ABSENT_OF_CLASS = frozenset(("aimStretch", "byArrival"))


def key_paths(raw: Mapping[str, Any]) -> frozenset[KeyPath]:
    """All keys of a file, less those of the entries in its list of endpoints."""
    return frozenset(_paths(raw, ()))


def missing_at_start(raw: Mapping[str, Any]) -> KeyPath | None:
    """The first key that a file has to have and doesn't, if any."""
    return _first_missing(_required(raw), key_paths(raw))


def missing_at_reload(raw: Mapping[str, Any], in_force: frozenset[KeyPath]) -> KeyPath | None:
    """The first key that a file lacks for replacing one that has the keys `in_force`, if any."""
    classes = _class_names(raw)
    kept = [path for path in sorted(in_force) if not _may_be_dropped(path, raw, classes)]
    return _first_missing([*_required(raw), *_REQUIRED_AT_RELOAD, *kept], key_paths(raw))


def dotted(path: KeyPath) -> str:
    """A key as it is named in an error."""
    return ".".join(path)


def _required(raw: Mapping[str, Any]) -> list[KeyPath]:
    of_classes = [(*_CLASSES, name, key) for name in _class_names(raw) for key in _REQUIRED_OF_CLASS]
    return [*_REQUIRED, *of_classes]


def _first_missing(wanted: list[KeyPath], found: frozenset[KeyPath]) -> KeyPath | None:
    return next((path for path in wanted if path not in found), None)


def _may_be_dropped(path: KeyPath, raw: Mapping[str, Any], classes: list[str]) -> bool:
    """Whether the next file may lack a key of the file in force."""
    if path[: len(_CLASSES)] == _CLASSES and len(path) > len(_CLASSES):
        removed = path[len(_CLASSES)] not in classes
        return removed or path[-1] in _MAY_BE_ABSENT_OF_CLASS
    if path == _TURN_GAP:
        return not any(one.get("byArrival") for one in _classes(raw))
    return path in _MAY_BE_ABSENT


def _classes(raw: Mapping[str, Any]) -> list[Mapping[str, Any]]:
    settings = raw.get("settings")
    found = settings.get("grades") if isinstance(settings, Mapping) else None
    return [one for one in found if isinstance(one, Mapping)] if isinstance(found, list) else []


def _class_names(raw: Mapping[str, Any]) -> list[str]:
    return [str(one.get("name", "")) for one in _classes(raw)]


def _paths(value: Mapping[str, Any], above: KeyPath) -> Iterator[KeyPath]:
    for key, one in value.items():
        path = (*above, key)
        if one is None:  # JSON's null is no value
            continue
        yield path
        if path == ("known",):
            continue
        if path == _CLASSES and isinstance(one, list):
            for message_class in one:
                if isinstance(message_class, Mapping):
                    yield from _paths(message_class, (*path, str(message_class.get("name", ""))))
        elif isinstance(one, Mapping):
            yield from _paths(one, path)
