"""A limit on the bytes that all connections together buffer. No clock, no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class ByteBudget(Generic[T]):
    """Buffered bytes by holder, with a limit on the total; above it the largest holder is evicted."""

    def __init__(self, limit: float) -> None:
        self.limit = limit  # bytes
        self.total = 0
        self._bytes: dict[T, int] = {}

    def __len__(self) -> int:
        return len(self._bytes)

    def __iter__(self) -> Iterator[T]:
        return iter(self._bytes)

    def set_bytes(self, item: T, count: int) -> T | None:
        """Record that `item` buffers `count` bytes; returns the holder to evict, None within the limit."""
        before = self._bytes.get(item, 0)
        if count == before:
            return None
        self.total += count - before
        if count:
            self._bytes[item] = count
        else:
            del self._bytes[item]
        if count <= before or self.total <= self.limit:
            return None
        return max(self._bytes, key=self._bytes.__getitem__)
