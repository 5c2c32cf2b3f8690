"""What a sender counts, copied at one moment: for metrics, `status` and the state line."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

# Name, unit, whether it only grows, and the points with their attributes.
Metric = tuple[str, str, bool, list[tuple[dict[str, str], Any]]]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Counts by kind and name, messages that are held, and slots in use of all."""

    counts: Counter[tuple[str, str]]
    held: int
    slots_used: int
    slots: int
    violations: Mapping[str, int] = field(default_factory=dict)  # by rule, of those the run-time check knows
