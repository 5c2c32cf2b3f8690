"""Measures how long a rig's senders waited for a processor: delay caused by the machine, not by them.

Linux counts it for each process (`/proc/PID/schedstat`, the second figure, in nanoseconds). On a system
without that file the wait is 0.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from mountgauge.lab.rig.events import Event

SAMPLE_INTERVAL_S = 0.25
MIN_RECORDED_WAIT_S = 0.02  # shorter waits between two samples are not recorded
KIND = "starved"  # of the events
# Share of a play's time, averaged over its senders: above it the figures reflect the machine's load.
MAX_WAITED_SHARE = 0.05


class RunDelays:
    """Reads the counters of processes and returns their increase."""

    def __init__(self) -> None:
        self._before: dict[int, float] = {}

    def increase_s(self, pid: int) -> float:
        """Since the last sample of this process; 0 at the first one and where there is no counter."""
        try:
            waited_s = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
        except (OSError, ValueError, IndexError):
            return 0.0
        before = self._before.get(pid, waited_s)
        self._before[pid] = waited_s
        return waited_s - before


def waited_s(events: Iterable[Event]) -> dict[str, float]:
    """By member: its total wait."""
    found: defaultdict[str, float] = defaultdict(float)
    for event in events:
        if event.kind == KIND:
            found[event.fields["member"]] += event.fields["waited_s"]
    return dict(found)


def share(events: Iterable[Event], members: int, seconds: float) -> float:
    """The share of a play that its senders waited, on average."""
    return sum(waited_s(events).values()) / (members * seconds)
