"""Times that outlive a process: what a file says about time, read by another process or another boot.

A process has two clocks. The wall clock may be stepped, either way, by any amount and at any moment, also
between two processes on one folder. The monotonic clock is never stepped, but it has a new epoch at each
boot, and two processes need not share one. A file therefore carries a `Stamp` of its writer: both clocks
read together, and the boot. Its times are in the writer's *base*: wall time as its clock stood when the
process began, continued by the monotonic clock, so that a step within a process changes nothing. A reader
moves them into its own base by `rebase`, which decides what the span between writer and reader was:

* MONOTONIC, the monotonic span: the boot is the same and known, and the newest time on record is not ahead
  of the monotonic clock; or both spans agree within `AGREE_S`, when there is nothing to decide. The wall
  clock has no say, however far the spans are apart.
* WALL, the wall clock's span: the boot is another one or unknown, or the monotonic clock is behind what is
  on record, so that its epoch is another one. A file without a stamp (an older version's) is read so.
* SET_BACK: as WALL, but the wall clock is behind what is on record, so it has been set back by an unknown
  amount, and the span is unknown. No time is taken to have gone by since the newest time on record.

What each use makes of it:

=============  ==============  =====================================  ====================================
use            MONOTONIC       WALL                                   SET_BACK
=============  ==============  =====================================  ====================================
deadline       real time left  by the wall clock                      what was left at the newest record
repeat window  real time       by the wall clock                      over: `LONG_AGO`, never repeated
told wait      real time left  by the wall clock, never longer than   all of it again
                               what was left when it was written
age            real age        by the wall clock                      unknown: infinite
=============  ==============  =====================================  ====================================

What cannot be told: over a change of the boot, a wall clock that was set forward looks like a long pause,
and one that was set back by less than the pause like a short one. The first ends messages early: `deferred`
where none of their attempts may have run, which is harmless. The second is bounded by the newest record.
Within a boot, where each process has a monotonic epoch of its own, one that has run for longer than the
writer had at its newest record cannot see that, and takes the difference of their clocks for the span.

Pure, but for `SystemClocks` and `boot_id`.
"""

from __future__ import annotations

import math
import time
from enum import Enum
from functools import cache
from pathlib import Path
from typing import NamedTuple, Protocol

AGREE_S = 0.1  # two clocks that are read one after the other, and slewed between, differ by no more
STAMP_EVERY_S = 1.0  # from one stamp in a file that is appended to until the next, at most
LONG_AGO = 0.0  # of any base: whatever began then is over

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class Clocks(Protocol):
    """Time in s: `now` is monotonic, `wall` is the wall clock's; `boot` tells boots apart, "": unknown."""

    def now(self) -> float: ...

    def wall(self) -> float: ...

    def boot(self) -> str: ...


@cache
def boot_id(path: Path = _BOOT_ID) -> str:
    """This boot's id; "" where the system has none that can be read."""
    try:
        return path.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


class SystemClocks:
    """The system's clocks."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    def boot(self) -> str:
        return boot_id()


class Stamp(NamedTuple):
    """Both clocks of a process, read together; `base` is what the process takes the time to be then."""

    boot: str
    wall: float
    monotonic: float
    base: float

    @property
    def drift(self) -> float:
        """By how much the wall clock was stepped since the base was set."""
        return self.wall - self.base

    def before(self, seconds: float) -> Stamp:
        """How the clocks stood so long before, had none been stepped since."""
        return Stamp(self.boot, self.wall - seconds, self.monotonic - seconds, self.base - seconds)


class Basis(Enum):
    """What a span between two processes was taken from."""

    MONOTONIC = "monotonic"
    WALL = "wall"
    SET_BACK = "set-back"


class Rebase(NamedTuple):
    """What is added to a file's times to have them in the reader's base."""

    shift: float
    basis: Basis


def read_clocks(clocks: Clocks) -> Stamp:
    """The clocks now, for a file that is written or read as a whole: its base is the wall clock."""
    wall = clocks.wall()
    return Stamp(clocks.boot(), wall, clocks.now(), wall)


def rebase(saved: Stamp | None, newest: float, now: Stamp) -> Rebase:
    """From the base of `saved` to that of `now`; `newest`: the newest time that has passed on record."""
    if saved is not None:
        since = now.monotonic - saved.monotonic - (newest - saved.base)
        since_by_wall = now.wall - newest - saved.drift
        same_boot = saved.boot == now.boot != ""
        if since >= -AGREE_S and (same_boot or abs(since - since_by_wall) <= AGREE_S):
            return Rebase(_settled(now.base - now.monotonic - saved.base + saved.monotonic), Basis.MONOTONIC)
    drift = 0.0 if saved is None else saved.drift
    ahead = newest + drift - now.wall
    if ahead > AGREE_S:
        return Rebase(_settled(drift - ahead - now.drift), Basis.SET_BACK)
    return Rebase(_settled(drift - now.drift), Basis.WALL)


def _settled(shift: float) -> float:
    return 0.0 if abs(shift) <= AGREE_S else shift


def age(confirmed: Stamp, now: Stamp) -> float:
    """Seconds since what a file says was so; infinite where that cannot be told."""
    shift, basis = rebase(confirmed, confirmed.base, now)
    return math.inf if basis is Basis.SET_BACK else max(0.0, now.base - confirmed.base - shift)


class ProcessTime:
    """The base of one process, which its monotonic clock alone moves on."""

    def __init__(self, clocks: Clocks) -> None:
        self._clocks = clocks
        self._offset = clocks.wall() - clocks.now()

    def of(self, monotonic: float) -> float:
        """A time of the monotonic clock, in the base."""
        return monotonic + self._offset

    def monotonic(self, time: float) -> float:
        """A time of the base, on the monotonic clock."""
        return time - self._offset

    def now(self) -> float:
        """The time, in the base."""
        return self.of(self._clocks.now())

    def stamp(self) -> Stamp:
        """The clocks now."""
        wall, monotonic = self._clocks.wall(), self._clocks.now()
        return Stamp(self._clocks.boot(), wall, monotonic, self.of(monotonic))
