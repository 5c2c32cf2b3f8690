"""Runs one sender of the platform, whose system calls, files and clock fail by a plan.

    python -m mountgauge.lab.soak.launcher FOLDER [MUTANT]

FOLDER holds the plan once the run has begun; `GW_NAME` is the name of this sender. The sender is the
unchanged program on an event loop, files and clocks of the lab.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from mountgauge.cli import main
from mountgauge.connections import registry
from mountgauge.core import durable_time, journal
from mountgauge.lab.faults.files import FailingFiles
from mountgauge.lab.faults.system_calls import Faults, FaultyCalls, FaultyLoop
from mountgauge.lab.soak.mutants import MUTANTS
from mountgauge.lab.soak.plan import FILE, Plan, ProcessFault
from mountgauge.platform import evidence_file
from mountgauge.run import handover

PLAN_POLL_INTERVAL_S = 0.05  # until the plan exists
RIG_CHECK_INTERVAL_S = 1.0  # between two checks whether the rig still runs
_RIG_GONE = 3  # exit code


class PlannedFaults:
    """The injection points of this process, and the faults of the plan that are active."""

    def __init__(self) -> None:
        self.sockets, self.clients, self.files = Faults(), Faults(), FailingFiles()
        self.clock_offset_s = 0.0  # added to the wall clock
        self._active: list[ProcessFault] = []

    def install(self) -> None:
        """Replace the system's calls by the injection points."""
        wall = durable_time.SystemClocks.wall
        setattr(durable_time.SystemClocks, "wall", lambda clocks: wall(clocks) + self.clock_offset_s)  # noqa: B010
        for module in (journal, handover, evidence_file):
            setattr(module, "SystemFiles", lambda: self.files)  # noqa: B010
        setattr(registry, "SystemCalls", lambda: FaultyCalls(self.clients))  # noqa: B010
        asyncio.set_event_loop_policy(_Policy(self))

    def begin(self, fault: ProcessFault) -> None:
        """Activate the fault."""
        self._active.append(fault)
        self._apply()

    def end(self, fault: ProcessFault) -> None:
        """Deactivate the fault."""
        self._active.remove(fault)
        self._apply()

    def _apply(self) -> None:
        """Apply the active faults; of two on the same call the later one counts."""
        by_seam = {"sockets": self.sockets, "clients": self.clients}
        for faults in by_seam.values():
            for call in ("accept", "socket", "connect", "connected", "read", "write"):
                faults.fail_always(call, None)
        self.files.heal()
        self.clock_offset_s = 0.0
        for one in self._active:
            if one.seam == "clock":
                self.clock_offset_s += one.step_s
            elif one.seam == "files":
                self.files.error = one.error
                (self.files.late if one.late else self.files.fails).add(one.call)
            else:
                faults = by_seam[one.seam]
                faults.fail_always(one.call, one.error)
                if one.most:
                    faults.bytes_before_failure[one.call] = one.most


class PlannedLoop(FaultyLoop):
    """An event loop that schedules the faults of the plan once it exists."""

    def __init__(self, planned: PlannedFaults) -> None:
        super().__init__(planned.sockets)
        self._planned, self._rig = planned, os.getppid()
        self.call_soon(self._poll_plan)
        self.call_soon(self._end_with_rig)

    def _end_with_rig(self) -> None:
        """Exit once the rig was killed: the sender would run on forever."""
        if os.getppid() != self._rig:
            os._exit(_RIG_GONE)
        self.call_later(RIG_CHECK_INTERVAL_S, self._end_with_rig)

    def _poll_plan(self) -> None:
        plan = Plan.read(Path(sys.argv[1]) / FILE)
        if plan is None:
            self.call_later(PLAN_POLL_INTERVAL_S, self._poll_plan)
            return
        for fault in plan.of(os.environ["GW_NAME"]):
            if plan.zero + fault.until > self.time():
                self.call_at(plan.zero + fault.at, self._planned.begin, fault)
                self.call_at(plan.zero + fault.until, self._planned.end, fault)


class _Policy(asyncio.DefaultEventLoopPolicy):
    def __init__(self, planned: PlannedFaults) -> None:
        super().__init__()
        self._planned = planned

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return PlannedLoop(self._planned)


def launch() -> int:
    """Run the sender; returns its exit code."""
    for name in sys.argv[2:]:
        MUTANTS[name]()
    PlannedFaults().install()
    return main([])


if __name__ == "__main__":
    sys.exit(launch())
