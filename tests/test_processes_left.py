"""A failed test leaves no processes behind."""

from __future__ import annotations

import signal
import subprocess

from tests import processes


def test_processes_that_still_run_are_killed_and_others_are_left_alone() -> None:
    running, exited = subprocess.Popen(["sleep", "60"]), subprocess.Popen(["true"])
    for process in (running, exited):
        processes.register(process.pid)
    assert exited.wait(10) == 0
    processes.kill_all()
    assert running.wait(10) == -signal.SIGKILL
    processes.kill_all()
