"""A bounded number of snapshots a second, for those who come back all at once.

Who comes when the rate is used up gets a slot, the next one that is free, for as many as are missing, and is
told to come then. A slot is kept for the asker: whoever comes back at its time is served, so nobody starves.
"""

from __future__ import annotations

from dataclasses import dataclass

SLOT_KEPT_S = 5.0  # after its time


@dataclass(frozen=True, slots=True)
class Admitted:
    """How many snapshots may be given out now, and after how long the asker is to come for the others."""

    snapshots: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Slot:
    at: float
    snapshots: int


class SnapshotAdmission:
    """Spreads the snapshots that are asked for over time: so many a second, and a burst."""

    def __init__(self, per_s: float, burst: int) -> None:
        self._per_s, self._burst = per_s, burst
        self._next_free = 0.0  # when what was given out, or promised, is worked off
        self._slots: dict[str, _Slot] = {}  # by asker, in the order of their times

    def admit(self, asker: str, snapshots: int, now: float) -> Admitted:
        """Somebody asks for so many; what is admitted is counted."""
        slot = self._slots.get(asker)
        if slot is not None and slot.at > now:  # it came too soon: its slot stands
            return Admitted(0, slot.at - now)
        promised = 0
        if slot is not None:
            del self._slots[asker]
            promised = min(snapshots, slot.snapshots)
        if promised == snapshots:
            return Admitted(snapshots)
        missing = snapshots - promised
        start = max(self._next_free, now - self._burst / self._per_s)
        self._next_free = start + missing / self._per_s
        if self._next_free <= now:
            return Admitted(snapshots)
        self._forget(now)
        self._slots[asker] = _Slot(self._next_free, missing)
        return Admitted(promised, self._next_free - now)

    def _forget(self, now: float) -> None:
        """Slots whose askers never came."""
        for asker, slot in list(self._slots.items()):
            if slot.at + SLOT_KEPT_S >= now:
                break
            del self._slots[asker]
