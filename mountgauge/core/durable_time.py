"""Times that outlast a process: times in a file, read by another process or after another boot.

A process has two clocks. The wall clock may be stepped, either way, by any amount and at any moment, also
between two processes on one folder. The monotonic clock is never stepped, but it has a new epoch at each
boot, and two processes need not share one. A file therefore carries a `Stamp` of its writer: both clocks
read together, and the boot. Its times are in the writer's *base*: the wall time when the process started,
continued by the monotonic clock, so that a step within a process changes nothing. A reader converts them to
its own base by `rebase`, which determines the span between writer and reader:

* MONOTONIC, the monotonic span: the boot is the same and known, and the newest time on record is not ahead
  of the monotonic clock; or both spans agree within `CLOCK_TOLERANCE_S`, so that there is nothing to decide.
  The wall clock is ignored, however far the spans are apart.
* WALL, the wall clock's span: the boot is another one or unknown, or the monotonic clock is behind what is
  on record, so that its epoch is another one. A file without a stamp (an older version's) is read this way.
* SET_BACK: like WALL, but the wall clock is behind what is on record, so it has been set back by an unknown
  amount, and the span is unknown. No time is assumed to have passed since the newest time on record.

The effect on each use:

=============  ==============  =====================================  ====================================
use            MONOTONIC       WALL                                   SET_BACK
=============  ==============  =====================================  ====================================
deadline       real time left  by the wall clock                      what was left at the newest record
repeat window  real time       by the wall clock                      elapsed: `LONG_AGO`, never repeated
required wait  real time left  by the wall clock, never longer than   all of it again
                               what was left when it was written
age            real age        by the wall clock                      unknown: infinite
=============  ==============  =====================================  ====================================

What cannot be detected: across a change of the boot, a wall clock that was set forward looks like a long
pause, and one that was set back by less than the pause like a short one. The first finishes messages early:
`deferred` if none of their attempts may have run, which is harmless. The second is bounded by the newest
record. Within a boot, if each process has a monotonic epoch of its own, a process that has run for longer
than the writer had at its newest record cannot detect that, and takes the difference of their clocks for the
span.

Pure, except for `SystemClocks` and `boot_id`.
"""

from __future__ import annotations

import math
import time
from enum import Enum
from functools import cache
from pathlib import Path
from typing import NamedTuple, Protocol

# Two clocks that are read one after the other, and slewed in between, differ by no more.
CLOCK_TOLERANCE_S = 0.1
STAMP_EVERY_S = 1.0  # maximum interval between stamps in an append-only file
LONG_AGO = 0.0  # in any base: whatever started then has elapsed

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class Clocks(Protocol):
    """Time in seconds: `now` is monotonic, `wall` the wall clock; `boot` is the boot's id, "" if unknown."""

    def now(self) -> float: ...

    def wall(self) -> float: ...

    def boot(self) -> str: ...


@cache
def boot_id(path: Path = _BOOT_ID) -> str:
    """The id of this boot; "" if the system has none that can be read."""
    try:
        return path.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


class SystemClocks:
    """The clocks of the operating system."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    def boot(self) -> str:
        return boot_id()


class Stamp(NamedTuple):
    """Both clocks of a process, read together; `base` is the same moment in the process's time base."""

    boot: str
    wall: float
    monotonic: float
    base: float

    @property
    def drift(self) -> float:
        """By how much the wall clock was stepped since the process started."""
        return self.wall - self.base

    def before(self, seconds: float) -> Stamp:
        """The stamp of that many seconds earlier, assuming that no clock was stepped since."""
        return Stamp(self.boot, self.wall - seconds, self.monotonic - seconds, self.base - seconds)


class Basis(Enum):
    """How the span between two processes was determined."""

    MONOTONIC = "monotonic"
    WALL = "wall"
    SET_BACK = "set-back"


class Rebase(NamedTuple):
    """What to add to a file's times to convert them to the reader's base."""

    shift: float
    basis: Basis


def read_clocks(clocks: Clocks) -> Stamp:
    """Read the clocks for a file that is written or read at once, whose base is the wall clock."""
    wall = clocks.wall()
    return Stamp(clocks.boot(), wall, clocks.now(), wall)


def rebase(saved: Stamp | None, newest: float, now: Stamp) -> Rebase:
    """Convert from the base of `saved` to that of `now`; `newest` is the newest recorded past time."""
    if saved is not None:
        since = now.monotonic - saved.monotonic - (newest - saved.base)
        since_by_wall = now.wall - newest - saved.drift
        same_boot = saved.boot == now.boot != ""
        if since >= -CLOCK_TOLERANCE_S and (same_boot or abs(since - since_by_wall) <= CLOCK_TOLERANCE_S):
            return Rebase(
                _without_noise(now.base - now.monotonic - saved.base + saved.monotonic), Basis.MONOTONIC
            )
    drift = 0.0 if saved is None else saved.drift
    ahead = newest + drift - now.wall
    if ahead > CLOCK_TOLERANCE_S:
        return Rebase(_without_noise(drift - ahead - now.drift), Basis.SET_BACK)
    return Rebase(_without_noise(drift - now.drift), Basis.WALL)


def _without_noise(shift: float) -> float:
    return 0.0 if abs(shift) <= CLOCK_TOLERANCE_S else shift


def age(confirmed: Stamp, now: Stamp) -> float:
    """Seconds since a file's content was confirmed; infinite if that is unknown."""
    shift, basis = rebase(confirmed, confirmed.base, now)
    return math.inf if basis is Basis.SET_BACK else max(0.0, now.base - confirmed.base - shift)


class ProcessTime:
    """The time base of one process, which is advanced by its monotonic clock alone."""

    def __init__(self, clocks: Clocks) -> None:
        self._clocks = clocks
        self._offset = clocks.wall() - clocks.now()

    def of(self, monotonic: float) -> float:
        """Convert a time of the monotonic clock to the base."""
        return monotonic + self._offset

    def monotonic(self, time: float) -> float:
        """Convert a time of the base to the monotonic clock."""
        return time - self._offset

    def now(self) -> float:
        """The current time in the base."""
        return self.of(self._clocks.now())

    def stamp(self) -> Stamp:
        """Read the clocks."""
        wall, monotonic = self._clocks.wall(), self._clocks.now()
        return Stamp(self._clocks.boot(), wall, monotonic, self.of(monotonic))
