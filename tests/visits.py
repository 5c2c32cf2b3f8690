"""What a step walks over, counted: costs are judged by this, never by time."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any


def count_iterations(found: Any, visits: list[object]) -> Any:
    """The same mapping or set; each element that is walked over is noted."""

    class Counting(type(found)):  # type: ignore[misc]
        def __iter__(self) -> Iterator[Any]:
            for one in super().__iter__():
                visits.append(one)
                yield one

        def keys(self) -> Any:
            return dict.fromkeys(self).keys()

        def values(self) -> Any:
            return (self[one] for one in self)

        def items(self) -> Any:
            return ((one, self[one]) for one in self)

    return Counting(found)


def count_all_iterations(holder: object, visits: list[object]) -> None:
    """Count in all maps and sets that an object holds."""
    for name, value in vars(holder).items():
        if isinstance(value, dict | set):
            setattr(holder, name, count_iterations(value, visits))
