"""Admission of snapshots: the rate is limited, and no asker starves."""

from __future__ import annotations

from random import Random

import pytest

from mountgauge.sharding.admission import SLOT_RETENTION_S, SnapshotAdmission


@pytest.mark.parametrize("seed", range(5))
def test_all_askers_are_served_within_the_rate(seed: int) -> None:
    rng = Random(seed)
    admission = SnapshotAdmission(per_s=100, burst=50)
    wanted = {f"s{i}": rng.randint(1, 30) for i in range(60)}
    missing, due = dict(wanted), {name: 100 + rng.random() for name in wanted}
    admitted: list[tuple[float, int]] = []
    while missing:
        name = min(missing, key=lambda one: due[one])
        now = due[name]
        if rng.random() < 0.1 and wanted[name] < 40:  # it needs one more
            wanted[name], missing[name] = wanted[name] + 1, missing[name] + 1
        found = admission.admit(name, missing[name], now)
        admitted.append((now, found.snapshots))
        missing[name] -= found.snapshots
        if not missing[name]:
            del missing[name]
            continue
        assert found.retry_after_s > 0
        due[name] = now + found.retry_after_s + 0.2 * rng.random()
    total = sum(wanted.values())
    assert sum(count for _, count in admitted) == total
    for since, _ in admitted:
        for span in (0.5, 2.0):
            count = sum(count for at, count in admitted if since <= at < since + span)
            assert count <= 50 + 100 * (span + 0.2) + max(wanted.values())  # askers return up to 0.2 s late
    assert admitted[-1][0] - 100 <= total / 100 + 60 * 0.2 / 10 + 1.5


def test_an_early_asker_keeps_its_slot_and_an_absent_one_loses_it() -> None:
    admission = SnapshotAdmission(per_s=10, burst=10)
    assert admission.admit("a", 10, 100.0).snapshots == 10
    deferred = admission.admit("b", 5, 100.0)
    assert deferred.snapshots == 0 and deferred.retry_after_s == pytest.approx(0.5)
    assert admission.admit("b", 5, 100.2).retry_after_s == pytest.approx(0.3)
    assert admission.admit("b", 7, 100.5).snapshots == 5  # the reserved ones; the others later
    admission.admit("c", 50, 100.5)
    later = 100.5 + 10 + SLOT_RETENTION_S
    admission.admit("d", 200, later)
    assert admission.admit("c", 50, later).snapshots == 0  # as at its first request


def test_a_released_slot_delays_nobody() -> None:
    admission = SnapshotAdmission(per_s=10, burst=10)
    assert admission.admit("a", 10, 100.0).snapshots == 10
    for n in range(1000):
        assert admission.admit(f"new-{n}", 10, 100.0).retry_after_s == pytest.approx(1.0)
        admission.release(f"new-{n}")
    assert admission.admit("b", 5, 100.0).retry_after_s == pytest.approx(0.5)
    assert len(admission._slots) == 1
    admission.admit("c", 10, 100.0)
    admission.release("b")  # not the last one: its time passes unused
    assert admission.admit("c", 10, 101.5).snapshots == 10
