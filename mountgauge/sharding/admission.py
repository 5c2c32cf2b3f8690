"""Limits the rate of snapshots, for the case that many followers reconnect at once.

An asker that exceeds the rate gets the next free time slot, for the number of snapshots that it still
needs, and a required wait until then. The slot is reserved: an asker that returns at its time is served, so
none starves.
"""

from __future__ import annotations

from dataclasses import dataclass

SLOT_RETENTION_S = 5.0  # how long an unused slot is kept after its time


@dataclass(frozen=True, slots=True)
class Admitted:
    """How many snapshots may be sent now, and the required wait before the asker requests the others."""

    snapshots: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Slot:
    at: float
    snapshots: int


class SnapshotAdmission:
    """Admits snapshots at a rate limit, with a burst."""

    def __init__(self, per_s: float, burst: int) -> None:
        self._per_s, self._burst = per_s, burst
        self._next_free = 0.0  # when all that was admitted or reserved is used up at the rate
        self._slots: dict[str, _Slot] = {}  # by asker, ordered by time

    def admit(self, asker: str, snapshots: int, now: float) -> Admitted:
        """Return how many of the requested snapshots are admitted, and count them against the rate."""
        slot = self._slots.get(asker)
        if slot is not None and slot.at > now:  # too early: the slot is kept
            return Admitted(0, slot.at - now)
        reserved = 0
        if slot is not None:
            del self._slots[asker]
            reserved = min(snapshots, slot.snapshots)
        if reserved == snapshots:
            return Admitted(snapshots)
        missing = snapshots - reserved
        start = max(self._next_free, now - self._burst / self._per_s)
        self._next_free = start + missing / self._per_s
        if self._next_free <= now:
            return Admitted(snapshots)
        self._remove_expired(now)
        self._slots[asker] = _Slot(self._next_free, missing)
        return Admitted(reserved, self._next_free - now)

    def release(self, asker: str) -> None:
        """Give up the slot of an asker that will not return. The last one's time is free again."""
        slot = self._slots.pop(asker, None)
        if slot is not None and slot.at == self._next_free:
            self._next_free -= slot.snapshots / self._per_s

    def _remove_expired(self, now: float) -> None:
        """Remove slots whose askers never returned."""
        for asker, slot in list(self._slots.items()):
            if slot.at + SLOT_RETENTION_S >= now:
                break
            del self._slots[asker]
