"""Counts iterated elements, as a measure of cost that does not depend on time."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any


def count_iterations(collection: Any, visits: list[object]) -> Any:
    """Return a copy of a mapping or set that appends each iterated element to `visits`."""

    class Counting(type(collection)):  # type: ignore[misc]
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

    return Counting(collection)


def count_all_iterations(owner: object, visits: list[object]) -> None:
    """Count the iterations over all mappings and sets in an object's attributes."""
    for name, value in vars(owner).items():
        if isinstance(value, dict | set):
            setattr(owner, name, count_iterations(value, visits))
