"""Orders the tests: pure ones first, while the rigs run, then those with sockets and clocks, and last those
that read the rigs' results.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from rillspindle.send_monitor import Rule, SendMonitor
from tests import processes
from tests.known_red import mark_expected_failures, report
from tests.rigs import RIGS

# The files that read the results of rigs, and the batch of rigs that each needs.
_RIG_BATCHES = {
    "tests/recovery/test_processes.py": "scenes",
    "tests/lab/test_rig.py": "senders",
    "tests/recovery/test_fleets.py": "fleets",
    "tests/budgets/test_processes.py": "budgets",
    "tests/lab/test_drains.py": "drains",
    "tests/lab/test_soak.py": "soak",
}
_PURE = (
    "tests/tenants/test_dead_member", "tests/tenants/test_fleet", "tests/tenants/test_model",
    "tests/tenants/test_counts", "tests/tenants/test_recovery",
    "tests/tenants/test_quota", "tests/tenants/test_wire", "tests/test_rules", "tests/test_fleet_growth",
    "tests/test_wire", "tests/lab/test_pure", "tests/lab/test_notified",
    "tests/recovery/test_pure", "tests/recovery/test_module",
    "tests/test_http1", "tests/test_amqp_codec", "tests/connections/test_states",
    "tests/connections/test_decisions",
    "tests/test_journal", "tests/budgets/",
)  # fmt: skip


_FAILED_RIGS = Path("runs/failed-rigs")  # keeps the rigs' files after a run with a failure
_VIOLATED = b"event=invariant-violated"


@pytest.fixture(autouse=True)
def no_violations(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Check that the run-time check found no violation, in this process and in the logs below `tmp_path`.

    A test of the run-time check itself, or of a mutant that it must find, is marked `violates`.
    """
    violations: list[str] = []
    count = SendMonitor._count

    def record_and_count(self: SendMonitor, rule: Rule, message: str, why: str) -> None:
        violations.append(f"{rule} {message}: {why}")
        count(self, rule, message, why)

    monkeypatch.setattr(SendMonitor, "_count", record_and_count)
    yield
    if request.node.get_closest_marker("violates") is not None:
        return
    folder = request.node.funcargs.get("tmp_path")
    if isinstance(folder, Path):
        logs = [path for path in folder.rglob("*log") if path.is_file()]
        violations += [line.decode() for path in logs for line in path.read_bytes().splitlines()
                       if _VIOLATED in line]  # fmt: skip
    assert violations == []


@pytest.fixture(autouse=True)
def no_processes_left() -> Iterator[None]:
    """End the processes that a test leaves as it fails."""
    yield
    processes.kill_all()


def _rank(item: pytest.Item) -> int:
    if any(item.nodeid.startswith(file) for file in _RIG_BATCHES):
        return 2
    return 0 if item.nodeid.startswith(_PURE) else 1


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    items.sort(key=_rank)
    mark_expected_failures(items)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    report(terminalreporter)
    for line in RIGS.report():
        terminalreporter.write_line(line)


def pytest_sessionfinish(session: pytest.Session) -> None:
    if session.testsfailed:
        RIGS.keep(_FAILED_RIGS)


def pytest_collection_finish(session: pytest.Session) -> None:
    if session.config.option.collectonly:
        return
    wanted = {
        batch
        for item in session.items
        for file, batch in _RIG_BATCHES.items()
        if item.nodeid.startswith(file)
    }
    RIGS.begin(sorted(wanted))
