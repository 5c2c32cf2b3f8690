"""Ends the processes that a failed test has left running: they would slow down the tests after it."""

from __future__ import annotations

import contextlib
import os
import signal

_started: list[int] = []  # a pid file descriptor for each process, which never refers to another one


def register(pid: int) -> None:
    """Register a child process that the current test has started."""
    _started.append(os.pidfd_open(pid))


def kill_all() -> None:
    """Kill the registered processes that still run, and forget all of them."""
    while _started:
        process = _started.pop()
        with contextlib.suppress(ProcessLookupError):  # it has exited
            signal.pidfd_send_signal(process, signal.SIGKILL)
        os.close(process)
