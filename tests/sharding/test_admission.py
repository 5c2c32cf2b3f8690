"""Snapshots a second to a crowd: bounded, and nobody starves."""

from __future__ import annotations

from random import Random

import pytest

from mountgauge.sharding.admission import SLOT_RETENTION_S, SnapshotAdmission


@pytest.mark.parametrize("seed", range(5))
def test_a_crowd_is_served_within_the_rate_and_to_the_last_one(seed: int) -> None:
    rng = Random(seed)
    admission = SnapshotAdmission(per_s=100, burst=50)
    wants = {f"s{place}": rng.randint(1, 30) for place in range(60)}
    missing, due = dict(wants), {name: 100 + rng.random() for name in wants}
    given: list[tuple[float, int]] = []
    while missing:
        name = min(missing, key=lambda one: due[one])
        now = due[name]
        if rng.random() < 0.1 and wants[name] < 40:  # it has come to need one more
            wants[name], missing[name] = wants[name] + 1, missing[name] + 1
        found = admission.admit(name, missing[name], now)
        given.append((now, found.snapshots))
        missing[name] -= found.snapshots
        if not missing[name]:
            del missing[name]
            continue
        assert found.retry_after_s > 0
        due[name] = now + found.retry_after_s + 0.2 * rng.random()
    total = sum(wants.values())
    assert sum(count for _, count in given) == total
    for since, _ in given:
        for span in (0.5, 2.0):
            count = sum(count for at, count in given if since <= at < since + span)
            assert count <= 50 + 100 * (span + 0.2) + max(wants.values())  # askers come up to 0.2 s late
    assert given[-1][0] - 100 <= total / 100 + 60 * 0.2 / 10 + 1.5


def test_whoever_comes_too_soon_keeps_its_slot_and_whoever_never_comes_loses_it() -> None:
    admission = SnapshotAdmission(per_s=10, burst=10)
    assert admission.admit("a", 10, 100.0).snapshots == 10
    put_off = admission.admit("b", 5, 100.0)
    assert put_off.snapshots == 0 and put_off.retry_after_s == pytest.approx(0.5)
    assert admission.admit("b", 5, 100.2).retry_after_s == pytest.approx(0.3)
    assert admission.admit("b", 7, 100.5).snapshots == 5  # what was promised; the others later
    admission.admit("c", 50, 100.5)
    later = 100.5 + 10 + SLOT_RETENTION_S
    admission.admit("d", 200, later)
    assert admission.admit("c", 50, later).snapshots == 0  # as if it came for the first time
