"""Rigs run in the background of tests that change this process: its environment, its descriptors."""

from __future__ import annotations

import os
import resource
import subprocess
import threading
import time

from tests.descriptors import no_descriptors_left
from tests.rigs import Rigs

PROCESSES = 40


class _Starts(threading.Thread):
    """Starts processes as rigs are started, one after another."""

    def __init__(self, code: str) -> None:
        super().__init__(daemon=True)
        self._rigs, self._code = Rigs(), code
        self.errors: list[str] = []
        self.printed: list[str] = []

    def run(self) -> None:
        for _ in range(PROCESSES):
            try:
                process = self._rigs.start_python([self._code], stdout=subprocess.PIPE)
            except OSError as error:
                self.errors.append(str(error))
            else:
                self.printed.append(process.communicate()[0].decode())


def test_a_rig_starts_while_a_test_changes_the_environment() -> None:
    """Guards against "Bad address" at a rig's start: pytest and tests set variables meanwhile."""
    starts = _Starts("pass")
    starts.start()
    while starts.is_alive():
        for phase in ("setup", "call", "teardown"):
            os.environ["RIG_TEST"] = f"a value of some length ({phase})"
        del os.environ["RIG_TEST"]
    assert starts.errors == []


def test_a_rig_starts_with_all_descriptors_while_a_test_uses_them_up() -> None:
    """Guards against rigs that can't start, or that run with the limit of another test."""
    starts = _Starts("import resource; print(resource.getrlimit(resource.RLIMIT_NOFILE)[0])")
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    starts.start()
    while starts.is_alive():
        with no_descriptors_left():
            time.sleep(0.001)
        time.sleep(0.001)  # a lock that is taken again at once never changes hands
    assert starts.errors == [] and {*map(int, starts.printed)} == {soft}
