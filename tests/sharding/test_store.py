"""The store against a reference model: any order of deltas, gaps, snapshots and lists from any relay."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from mountgauge.sharding.list_watch import ListWatch
from mountgauge.sharding.shards import (
    NO_VERSION,
    EndpointRecord,
    EndpointState,
    ShardDelta,
    ShardSnapshot,
    shard_of,
)
from mountgauge.sharding.store import (
    ChangeStatus,
    DigestMismatchError,
    RefusedChangeError,
    ShardStore,
    StaleVersionError,
    VersionGapError,
)
from mountgauge.sharding.timing import Timing
from tests.sharding.network import World

SHARDS = 8


def record(name: str, destination: int, weight: float = 1.0) -> EndpointRecord:
    return EndpointRecord(name, "10.0.0.1:80", "a", "k", destination, EndpointState.ACTIVE, weight)


class History:
    """Discovery's list, with the content of each shard at each version."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.lines: dict[str, dict[str, object]] = {}
        self.changes: list[tuple[int, dict[str, object]]] = []
        self.at: list[dict[str, EndpointRecord]] = [{}]  # by version
        for _ in range(10):
            self.change()

    @property
    def version(self) -> int:
        return len(self.at) - 1

    def change(self) -> None:
        """Add a version: an endpoint is added, removed or moved, or has another weight."""
        name, cell = f"e{self.rng.randrange(20)}", self.rng.randrange(12)
        line = World.line(name, cell, weight=self.rng.choice((1.0, 2.0)))
        if self.rng.random() < 0.25:
            line["state"] = "left"
            self.lines.pop(name, None)
        else:
            self.lines[name] = line
        now = {key: EndpointRecord.from_line(one) for key, one in self.lines.items()}
        self.at.append(now)
        self.changes.append((self.version, line))

    def shard(self, shard: int, version: int) -> dict[str, EndpointRecord]:
        found = self.at[version].items()
        return {name: one for name, one in found if shard_of(one.destination, SHARDS) == shard}

    def answer(self, index: int | None) -> object:
        if index is None:
            return {"version": self.version, "full": True, "servers": list(self.lines.values())}
        newest = {str(line["id"]): line for version, line in self.changes if version > index}
        return {"version": self.version, "full": False, "servers": list(newest.values())}


def follow(watch: ListWatch, history: History, now: float, full: bool) -> None:
    """Make one call of a top relay, answered with changes or, even if not requested, with the full list."""
    (call,) = watch.poll(now)
    watch.answered(call, history.answer(None if full else call.index), now)


def ask(relay: ShardStore, held: ShardStore, shard: int, with_digest: bool) -> object:
    base = held.version(shard)
    if base > relay.as_of:
        return None  # the relay is behind its asker
    digest = held.digest(shard) if with_digest and base != NO_VERSION else None
    return relay.change_since(shard, base, digest)


@pytest.mark.parametrize("seed", range(30))
def test_the_held_content_is_discoverys_content_at_that_version(seed: int) -> None:
    rng = Random(seed)
    history = History(rng)
    relays = [
        ListWatch(ShardStore(SHARDS, log_limit=rng.choice((1, 3, 64))), Timing(), rng) for _ in range(2)
    ]
    held = ShardStore(SHARDS, log_limit=0)
    unknown = snapshots = deltas = 0
    at = [NO_VERSION, NO_VERSION]  # the relay that each shard was last compared with
    last = dict.fromkeys(range(SHARDS), NO_VERSION)
    compared = dict.fromkeys(range(SHARDS), -1)
    for step in range(120):
        for _ in range(rng.randint(0, 3)):
            history.change()
        relay_index = rng.randrange(2)
        if rng.random() < 0.05:  # it restarts
            relays[relay_index] = ListWatch(ShardStore(SHARDS), Timing(), rng)
            compared = dict.fromkeys(range(SHARDS), -1)
        if rng.random() < 0.6 or not relays[relay_index].ready:
            follow(relays[relay_index], history, 10.0 * step, full=rng.random() < 0.3)
        relay = relays[relay_index].store
        for shard in rng.sample(range(SHARDS), 4):
            change = ask(relay, held, shard, compared[shard] != relay_index)
            if change is ChangeStatus.UNKNOWN:
                unknown += 1
                change = ask(relay, held, shard, True)  # ask again, with the digest
            if change is None:
                continue
            if isinstance(change, ShardDelta):
                deltas += 1
                held.apply_delta(change)
            elif isinstance(change, ShardSnapshot):
                snapshots += 1
                held.apply_snapshot(change)
            compared[shard] = relay_index
            held.confirm(shard, relay.as_of, 0.0)
            version = held.version(shard)
            assert version == relay.as_of >= last[shard]
            last[shard] = version
            assert dict(held.records(shard)) == history.shard(shard, version)
    assert unknown + snapshots > 0 < deltas and at


def filled() -> ShardStore:
    store = ShardStore(SHARDS)
    store.apply_snapshot(snapshot(5, record("a", 1), record("b", 1)))
    return store


def snapshot(version: int, *records: EndpointRecord) -> ShardSnapshot:
    digest = 0
    for one in records:
        digest ^= one.digest()
    return ShardSnapshot(shard_of(1, SHARDS), version, records, digest)


def delta(base: int, version: int, **more: object) -> ShardDelta:
    digest = record("a", 1).digest() ^ record("c", 1).digest()
    found = ShardDelta(shard_of(1, SHARDS), base, version, (record("c", 1),), ("b",), digest)
    return replace(found, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "change, error",
    [
        (delta(6, 7), VersionGapError),
        (delta(3, 4), StaleVersionError),
        (delta(5, 6, digest=1), DigestMismatchError),
        (delta(5, 6, put=()), DigestMismatchError),
        (snapshot(4, record("a", 1)), StaleVersionError),
        (replace(snapshot(6, record("a", 1)), digest=1), DigestMismatchError),
        (replace(delta(5, 6), shard=0), VersionGapError),
    ],
)
def test_a_refused_change_has_no_effect(
    change: ShardDelta | ShardSnapshot, error: type[RefusedChangeError]
) -> None:
    store = filled()
    with pytest.raises(error) as caught:
        if isinstance(change, ShardDelta):
            store.apply_delta(change)
        else:
            store.apply_snapshot(change)
    assert str(caught.value).startswith(f"shard {change.shard}: ")
    shard = shard_of(1, SHARDS)
    assert store.version(shard) == 5 and store.records(shard).keys() == {"a", "b"}
    assert 0 not in store and store.digest(shard) == record("a", 1).digest() ^ record("b", 1).digest()


def test_a_delta_applies_to_each_version_from_its_base_on() -> None:
    for held_at in (5, 6, 7):
        store = ShardStore(SHARDS)
        store.apply_snapshot(snapshot(held_at, record("a", 1), record("b", 1)))
        change = store.apply_delta(delta(5, 7))
        assert {one.id for one in change.put} == {"c"} and {one.id for one in change.removed} == {"b"}
        assert store.version(shard_of(1, SHARDS)) == 7


def test_an_endpoint_that_moves_to_another_destination_leaves_its_old_shard() -> None:
    watch = ListWatch(ShardStore(SHARDS), Timing(), Random(1))
    (call,) = watch.poll(0.0)
    cells = [next(cell for cell in range(99) if shard_of(cell, SHARDS) == shard) for shard in (2, 5)]
    watch.answered(call, {"version": 1, "full": True, "servers": [World.line("e", cells[0])]}, 0.0)
    (call,) = watch.poll(0.0)
    update = watch.answered(call, {"version": 2, "full": False, "servers": [World.line("e", cells[1])]}, 0.0)
    assert update.shards == {2, 5}
    assert not watch.store.records(2) and watch.store.records(5).keys() == {"e"}


@pytest.mark.parametrize(
    "body, text",
    [
        ("x", "not a list of endpoints"),
        ({"version": "1", "full": True, "servers": []}, "not a version"),
        ({"version": 9, "full": 1, "servers": []}, "not a list of endpoints: full or servers"),
        ({"version": 2, "full": False, "servers": []}, "version went back from 3 to 2"),
        ({"version": 9, "full": False, "servers": [5]}, "not an endpoint: '5'"),
        ({"version": 9, "full": False, "servers": [{"id": "new"}]}, "endpoint 'new': missing 'addr'"),
        ({"version": 9, "full": True, "servers": [{"id": "a", "cell": 1}]}, "no entry can be read"),
    ],
)
def test_an_unreadable_list_is_reported_in_one_line_and_the_last_one_is_kept(body: object, text: str) -> None:
    watch = ListWatch(ShardStore(SHARDS), Timing(), Random(1))
    (call,) = watch.poll(0.0)
    watch.answered(call, {"version": 3, "full": True, "servers": [World.line("e", 1)]}, 0.0)
    (call,) = watch.poll(0.0)
    update = watch.answered(call, body, 0.0)
    (rejection,) = update.rejections
    assert rejection.reason.startswith(text) and "\n" not in rejection.reason
    assert watch.store.as_of == 3 and watch.store.records(shard_of(1, SHARDS)).keys() == {"e"}
    assert watch.poll(0.0) == [] and watch.poll(Timing().first_pause_s) != []  # it asks again after a pause


def test_the_cost_of_a_change_is_proportional_to_the_change() -> None:
    """The cost is counted in visited records, not in time."""

    class Counting(dict[str, EndpointRecord]):
        visited = 0

        def __iter__(self):  # type: ignore[no-untyped-def]
            Counting.visited += len(self)
            return super().__iter__()

        def values(self):  # type: ignore[no-untyped-def]
            Counting.visited += len(self)
            return super().values()

    watch = ListWatch(ShardStore(1_024), Timing(), Random(1))
    (call,) = watch.poll(0.0)
    lines = [World.line(f"e{i}", i) for i in range(20_000)]
    watch.answered(call, {"version": 1, "full": True, "servers": lines}, 0.0)
    for held in watch.store._shards.values():
        held.records = Counting(held.records)
    for version in range(2, 12):
        (call,) = watch.poll(0.0)
        line = World.line("e7", 7, weight=float(version))
        watch.answered(call, {"version": version, "full": False, "servers": [line]}, 0.0)
        assert watch.store.shards_changed_since(version - 1) == [shard_of(7, 1_024)]
        assert isinstance(watch.store.change_since(shard_of(7, 1_024), version - 1), ShardDelta)
    in_shard = len(watch.store.records(shard_of(7, 1_024)))
    assert Counting.visited <= 2 * in_shard  # to compute its digest, once
