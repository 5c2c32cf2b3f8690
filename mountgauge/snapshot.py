"""A copy of a sender's counts at one moment, for metrics, `status` and the state line."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

# Name, unit, whether it is monotonic, and the points with their attributes.
Metric = tuple[str, str, bool, list[tuple[dict[str, str], Any]]]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Counts by kind and name, and the numbers of unfinished messages, of slots in use and of all slots."""

    counts: Counter[tuple[str, str]]
    pending: int
    slots_used: int
    slots: int
    violations: Mapping[str, int] = field(default_factory=dict)  # found by the run-time check, by rule
