"""The ranges of a configuration's values, checked before any of them is applied. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterator

from rillspindle.interface import MessageClass, Settings

_SEMANTICS = ("idempotent", "deduplicated", "at_most_once")
_GROUPS = ("all", "zone", "cell")


def value_errors(rules: Settings, class_names: tuple[str, ...], kinds: int) -> Iterator[str]:
    """Describe each value that is out of range, by the name of its setting."""
    for name, positive in (
        ("ceilings.attemptsCap", rules.attempts_cap),
        ("ceilings.connectTimeout", rules.connect_timeout),
        ("ceilings.maxOpen", rules.max_open),
        ("extra.workers", rules.workers),
        ("obligations.askWithin", rules.ask_within),
        ("obligations.cold", rules.cold),
        ("obligations.fall", rules.fall),
        ("obligations.fallMultiple", rules.fall_multiple),
        ("obligations.startCapacity", rules.start_capacity),
        ("tick", rules.tick),
    ):
        if not (positive > 0 and math.isfinite(positive)):
            yield f"setting {name}: not a positive number"
    for name, value in (
        ("ceilings.maxRetryAfter", rules.max_retry_after),
        ("obligations.drainGrace", rules.drain_grace),
        ("obligations.turnGap", rules.turn_gap),
    ):
        if not (value >= 0 and math.isfinite(value)):
            yield f"setting {name}: a negative number"
    if not 0 <= rules.zone < max(1, rules.zones):
        yield "setting zone: not in localities"
    yield from _kind_errors(rules, kinds)
    yield from _class_errors(rules, class_names)


def _kind_errors(rules: Settings, kinds: int) -> Iterator[str]:
    if not kinds:
        yield "setting shapes: empty"
    if len(rules.kind_batch) < kinds or not all(_is_count(most) for most in rules.kind_batch):
        yield "setting extra.kindBatch: not a positive number for each kind"
    if len(rules.routes_apart) < kinds or not all(isinstance(one, bool) for one in rules.routes_apart):
        yield "setting extra.routesApart: not true or false for each kind"


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _class_errors(rules: Settings, class_names: tuple[str, ...]) -> Iterator[str]:
    if not class_names:
        yield "setting grades: empty"
    for index, message_class in enumerate(rules.message_classes):
        for error in _errors_of_class(message_class):
            yield f"setting grades[{index}].{error}"


def _errors_of_class(message_class: MessageClass) -> Iterator[str]:
    for name, positive in (("deadline", message_class.deadline), ("aim", message_class.target_latency)):
        if not (positive > 0 and math.isfinite(positive)):
            yield f"{name}: not a positive number"
    for name, value in (
        ("repeatWindow", message_class.repeat_window),
        ("worth", message_class.value),
        ("lateWorth", message_class.late_value),
    ):
        if not (value >= 0 and math.isfinite(value)):
            yield f"{name}: a negative number"
    if message_class.semantics not in _SEMANTICS:
        yield f"semantics: not one of {', '.join(_SEMANTICS)}"
    if message_class.group not in _GROUPS:
        yield f"group: not one of {', '.join(_GROUPS)}"
