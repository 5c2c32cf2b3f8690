"""How long a rig's senders waited for a processor that others held: lateness of the machine, not theirs.

Linux counts it for each process (`/proc/PID/schedstat`, the second figure, in nanoseconds). A machine that
does not tell it shows none.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from mountgauge.lab.rig.events import Event

SAMPLE_INTERVAL_S = 0.25
MIN_RECORDED_WAIT_S = 0.02  # in a span between two looks, that is worth a record
KIND = "starved"  # of the events
# Of a play's time, on average over its senders: past it what was served says more of the machine.
MAX_WAITED_SHARE = 0.05


class RunDelays:
    """Reads the counters of processes, and tells by how much they have grown."""

    def __init__(self) -> None:
        self._before: dict[int, float] = {}

    def increase_s(self, pid: int) -> float:
        """Since the last look at this process; 0 at the first one, and where the system does not say."""
        try:
            waited_s = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
        except (OSError, ValueError, IndexError):
            return 0.0
        before = self._before.get(pid, waited_s)
        self._before[pid] = waited_s
        return waited_s - before


def waited_s(events: Iterable[Event]) -> dict[str, float]:
    """By member: for how long it waited in all."""
    found: defaultdict[str, float] = defaultdict(float)
    for event in events:
        if event.kind == KIND:
            found[event.fields["member"]] += event.fields["waited_s"]
    return dict(found)


def share(events: Iterable[Event], members: int, seconds: float) -> float:
    """The part of a play that its senders waited, on average."""
    return sum(waited_s(events).values()) / (members * seconds)
