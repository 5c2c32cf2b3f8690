"""Shards, endpoint records and their digests."""

from __future__ import annotations

from collections import Counter

import pytest

from mountgauge.sharding.shards import (
    EndpointRecord,
    EndpointState,
    UnreadableRecordError,
    digest_of,
    mix,
    shard_of,
)

LINE = {
    "id": "s-1", "addr": "10.0.0.1:80", "zone": "a", "kind": "m2", "cell": 3, "state": "active",
    "weight": 2.0, "started_ms": 7,
}  # fmt: skip


def test_shards_are_the_same_on_all_machines_and_of_even_size() -> None:
    assert mix(0) == 0xE220A8397B1DCDAF  # the first number of SplitMix64 from seed 0
    assert [shard_of(one, 65_536) for one in range(4)] == [57888, 37130, 38744, 7435]
    counts = Counter(shard_of(one, 256) for one in range(100_000))
    assert len(counts) == 256 and max(counts.values()) < 1.25 * 100_000 / 256


def test_a_list_entry_is_read_and_written_unchanged() -> None:
    record = EndpointRecord.from_line(LINE)
    assert record.destination == 3 and record.state is EndpointState.ACTIVE
    assert record.line() == LINE


@pytest.mark.parametrize(
    "change",
    [
        {"id": ""}, {"id": 5}, {"cell": "3"}, {"cell": True}, {"cell": -1}, {"state": "gone"}, {"zone": None},
        {"weight": "heavy"}, {"weight": float("nan")}, {"weight": -1}, {"started_ms": "x"}, {"addr": 1},
    ],
)  # fmt: skip
def test_an_unreadable_entry_is_reported_in_one_line(change: dict[str, object]) -> None:
    with pytest.raises(UnreadableRecordError) as caught:
        EndpointRecord.from_line({**LINE, **change})
    assert "\n" not in str(caught.value) and str(caught.value).startswith("endpoint ")


def test_the_digest_depends_on_each_field_but_not_on_the_order() -> None:
    first = EndpointRecord.from_line(LINE)
    for key, value in {"id": "s-2", "addr": "b:1", "zone": "b", "kind": "k", "cell": 4, "state": "leaving",
                       "weight": 1.0, "started_ms": 8}.items():  # fmt: skip
        assert EndpointRecord.from_line({**LINE, key: value}).digest() != first.digest(), key
    other = EndpointRecord.from_line({**LINE, "id": "s-2"})
    assert digest_of([first, other]) == digest_of([other, first]) != digest_of([first])
