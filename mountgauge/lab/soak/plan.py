"""The faults inside the senders of a soak: data that the soak writes and each sender's launcher reads.

Times are seconds of the schedule. A written plan also gives its time 0 on the machine's monotonic clock,
which all processes of the machine share, so that a restarted sender has the remaining faults.
"""

from __future__ import annotations

import json
import os
from dataclasses import asdict, dataclass
from pathlib import Path

SEAMS = ("sockets", "clients", "files", "clock")
FILE = "faults.json"


@dataclass(frozen=True, slots=True)
class ProcessFault:
    """A call that fails inside one sender for a while."""

    member: str
    at: float
    for_s: float
    seam: str  # of `SEAMS`
    call: str  # in the seam's own terms; of the clock: "step"
    error: int = 0  # errno
    late: bool = False  # of files: the call fails after it took effect
    most: int = 0  # of sockets: bytes that writes still move before they fail
    step_s: float = 0.0  # of the clock: by how much the wall clock is stepped

    @property
    def until(self) -> float:
        """When the call works again."""
        return self.at + self.for_s


@dataclass(frozen=True, slots=True)
class Plan:
    """All faults of a run, and the monotonic time of its time 0."""

    zero: float
    faults: tuple[ProcessFault, ...]

    def write(self, folder: Path) -> None:
        """Write the plan atomically: senders poll for it."""
        path = folder / FILE
        spare = path.with_suffix(".new")
        found = {"zero": self.zero, "faults": [asdict(one) for one in self.faults]}
        spare.write_text(json.dumps(found))
        os.replace(spare, path)

    @classmethod
    def read(cls, path: Path) -> Plan | None:
        """Read a plan; None if it does not exist yet."""
        try:
            raw = json.loads(path.read_text())
        except FileNotFoundError:
            return None
        return cls(raw["zero"], tuple(ProcessFault(**one) for one in raw["faults"]))

    def of(self, member: str) -> list[ProcessFault]:
        """The faults of one sender."""
        return [one for one in self.faults if one.member == member]
