"""Phases of a restarting sender: starting, restoring, learning, ramping, full. No I/O, no clock.

`Phases.update` receives the observed state at a moment and returns the changes. A step forward needs its
condition or, where there is one, the expiry of its bound (`bounds.py`); a step back needs a condition too:

| from | to | condition |
| --- | --- | --- |
| starting | restoring | `serving`: clients are accepted |
| restoring | learning | `restored`: the module has all messages of previous runs |
| learning | ramping | `known`: this run has received the list, peers have joined; or `learn-bound` |
| ramping | full | `shown`: no destination in use is still ramping; `idle`: no destination is in use |
| full | ramping | `ramping-anew`: a destination in use ramps again |
| any but starting | restoring | `adopted`: messages of another process were adopted |

Invariant: a destination that is held up (it refuses most calls for longer than a limit takes to recover)
does not keep the sender out of `full`. It is reported separately (`held_up`), since the sender cannot end
that state. So each phase ends by itself: restoring passes on a batch of the remaining messages per check,
learning has its bound, and a ramping destination either shows its capacity or is held up.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

IDLE_S = 2.0  # s without a destination in use after which a sender counts as full


class Phase(StrEnum):
    """Progress of a start."""

    STARTING = "starting"
    RESTORING = "restoring"
    LEARNING = "learning"
    RAMPING = "ramping"
    FULL = "full"


class DestinationState(StrEnum):
    """Whether a destination has shown its capacity."""

    SHOWN = "shown"
    RAMPING = "ramping"
    HELD_UP = "held-up"


@dataclass(frozen=True, slots=True)
class Observation:
    """The sender's state at one moment; times in s."""

    now: float
    serving: bool = True
    to_restore: int = 0  # messages of previous runs that the module does not have yet
    listed: bool = True  # this run has received the list
    joined: bool = True  # peers have answered, or there are none
    destinations: Mapping[int, DestinationState] = field(default_factory=dict)  # those in use
    held: int = 0

    def in_state(self, state: DestinationState) -> frozenset[int]:
        """The destinations in use that have this state."""
        return frozenset(dest for dest, its in self.destinations.items() if its is state)


class PhaseChange(NamedTuple):
    """A change of phase; `at` in s."""

    at: float
    before: Phase
    after: Phase
    why: str


class Phases:
    """The current phase of a sender; the module's docstring has the table of changes."""

    def __init__(self, now: float, learn_bound: float) -> None:
        self.phase, self.since, self.began = Phase.STARTING, now, now
        self.learn_bound = learn_bound
        self.full_at: float | None = None  # when this run first reached full service
        self.held_most = 0
        self.held_up: frozenset[int] = frozenset()
        self.ramping: frozenset[int] = frozenset()

    def update(self, observed: Observation) -> list[PhaseChange]:
        """Apply one observation; the phase changes that it causes, in order."""
        self.held_most = max(self.held_most, observed.held) if self.full_at is None else self.held_most
        self.ramping = observed.in_state(DestinationState.RAMPING)
        self.held_up = observed.in_state(DestinationState.HELD_UP)
        changes: list[PhaseChange] = []
        while (step := self._next(observed)) is not None and len(changes) < len(Phase):
            after, why = step
            changes.append(PhaseChange(observed.now, self.phase, after, why))
            self.phase, self.since = after, observed.now
            if after is Phase.FULL and self.full_at is None:
                self.full_at = observed.now
        return changes

    def _next(self, observed: Observation) -> tuple[Phase, str] | None:
        match self.phase:
            case Phase.STARTING:
                return (Phase.RESTORING, "serving") if observed.serving else None
            case Phase.RESTORING:
                return (Phase.LEARNING, "restored") if not observed.to_restore else None
            case _ if observed.to_restore:
                return Phase.RESTORING, "adopted"
            case Phase.LEARNING:
                if observed.listed and observed.joined:
                    return Phase.RAMPING, "known"
                if observed.now - self.since >= self.learn_bound:
                    return Phase.RAMPING, "learn-bound"
            case Phase.RAMPING if not observed.destinations:
                return (Phase.FULL, "idle") if observed.now - self.since >= IDLE_S else None
            case Phase.RAMPING if not self.ramping:
                return Phase.FULL, "shown"
            case Phase.FULL if self.ramping:
                return Phase.RAMPING, "ramping-anew"
        return None

    def report(self, now: float) -> dict[str, object]:
        """The phase and its figures, for the status page."""
        return {
            "phase": self.phase.value, "since_s": round(now - self.since, 2),
            "up_s": round(now - self.began, 2),
            "full_after_s": None if self.full_at is None else round(self.full_at - self.began, 2),
            "ramping": sorted(self.ramping), "held_up": sorted(self.held_up), "held_most": self.held_most,
        }  # fmt: skip
