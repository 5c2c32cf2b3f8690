"""One token bucket: what it grants over any time, and the waits of the messages that it rejects."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.tenants.quota import Bucket, Demand, Quota, Split, View

settings.register_profile("fleet", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("fleet")


def alone(accepted: int) -> View:
    return View(1, 1, 5.0, 0.0, accepted, 0.0)


@given(st.floats(0.1, 50), st.floats(1, 100), st.lists(st.floats(0, 3), min_size=1, max_size=300))
def test_a_single_bucket_never_grants_more_than_its_quota(
    rate: float, burst: float, gaps: list[float]
) -> None:
    quota = Quota(rate, burst)
    bucket, now, accepted = Bucket(quota, 0.0, alone(0), 1e9), 0.0, 0
    for gap in gaps:
        now += gap
        if bucket.admit(now, alone(accepted)) is None:
            accepted += 1
        assert accepted <= rate * now + burst + 1.001
    if gaps[0] == 0:
        assert accepted >= 1  # the minimum burst is 1


@given(st.floats(0.5, 50), st.floats(1, 20), st.integers(2, 60))
def test_the_waits_of_rejected_messages_are_staggered(rate: float, burst: float, rejected: int) -> None:
    bucket = Bucket(Quota(rate, burst), 0.0, alone(0), 1e9)
    accepted, waits = 0, list[float]()
    for _ in range(int(burst) + rejected):
        wait = bucket.admit(0.0, alone(accepted))
        accepted += wait is None
        waits += [] if wait is None else [wait]
    assert waits == sorted(waits) and all(0.05 <= wait <= 30 for wait in waits)
    gaps = [b - a for a, b in itertools.pairwise(waits) if a > 0.05 and b < 30]
    assert all(gap >= 0.4 / (rate + burst) for gap in gaps)


def test_a_restart_grants_one_message_and_no_new_burst() -> None:
    fresh, old = (Bucket(Quota(10, 50), 100.0, alone(0), up) for up in (0.0, 1000.0))
    grants = [sum(b.admit(100.0, alone(0)) is None for _ in range(60)) for b in (fresh, old)]
    assert grants == [1, 50]


def test_a_share_shrinks_at_once_and_grows_only_after_the_propagation_time() -> None:
    quota = Quota(100, 8)

    def view(mine: float, others: float) -> View:
        return View(4, 4, mine, others, 0, 2.0)

    bucket = Bucket(quota, 0.0, view(25, 75), 1e9)
    assert abs(bucket.share - 0.25) < 0.01
    bucket.admit(1.0, view(25, 0))
    assert bucket.share < 0.26  # a larger share is due and does not apply yet
    bucket.admit(2.0, view(25, 10))
    bucket.admit(3.1, view(25, 0))
    assert 0.65 < bucket.share < 0.75  # the smallest share that was due meanwhile
    bucket.admit(3.2, view(25, 225))
    assert bucket.share < 0.11


def test_each_side_of_a_split_accepts_what_the_split_setting_allows() -> None:
    for split, present, least, most in (
        (Split.SHARE, 2, 4.0, 6.0), (Split.FULL, 2, 9.0, 11.0), (Split.REFUSE, 2, 0.0, 0.0),
        (Split.REFUSE, 3, 9.0, 11.0),
    ):  # fmt: skip
        bucket = Bucket(Quota(10, 1, split), 0.0, View(4, 4, 50, 50, 0, 0.5), 1e9)
        accepted = 0
        for step in range(1, 10_001):
            view = View(present, 4, 50, 0, accepted, 0.5)
            if bucket.admit(step / 100, view) is None:
                accepted += 1
        assert least <= accepted / 100 <= most, split


def test_demand_is_announced_when_it_changes_and_when_it_ends() -> None:
    demand, announced = Demand(), []
    for step in range(600):
        demand.submitted += 3 if step < 200 else 0
        if demand.step(0.1):
            demand.announced = round(demand.rate * 10)
            announced.append(demand.announced)
    assert max(announced) > 270 and announced[-1] == 0 and len(announced) < 70
