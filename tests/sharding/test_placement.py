"""Placement: zones, loads, moves, and that all relays compute the same table."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from mountgauge.sharding.fair_loads import group_loads, max_load, round_shares
from mountgauge.sharding.members import FOREVER, Member, MemberFile, MemberFileError
from mountgauge.sharding.placement import Placement, PlacementSettings

SETTINGS = PlacementSettings(2_048, step_moves=64)
MAX_LOAD_RATIO = 1.25


def members(count: int, zones: int, weight: float = 1.0) -> tuple[Member, ...]:
    return tuple(Member(f"s{i}", f"z{i % zones}", weight) for i in range(count))


def without(file: MemberFile, *names: str) -> MemberFile:
    """Return the next epoch, in which these members are removed."""
    epoch = file.epoch + 1
    entries = (
        replace(one, until=epoch) if one.name in names and one.until == FOREVER else one
        for one in file.members
    )
    return replace(file, epoch=epoch, members=tuple(entries))


def with_added(file: MemberFile, *added: Member) -> MemberFile:
    """Return the next epoch, in which these members are added."""
    epoch = file.epoch + 1
    entries = (*file.members, *(replace(one, since=epoch) for one in added))
    return replace(file, epoch=epoch, members=entries)


def finish(placement: Placement) -> int:
    """Do all pending moves; return their number."""
    moves = placement.pending
    while placement.pending:
        placement.step()
    return moves


def loads(placement: Placement, shard_count: int) -> Counter[str]:
    return Counter(name for shard in range(shard_count) for name in placement.replicas(shard))


def assert_valid(placement: Placement, file: MemberFile, settings: PlacementSettings = SETTINGS) -> None:
    """Check that shards are spread over zones, and loads are at most 1.25 of the fair ones, or rounded up."""
    now = {one.name: one for one in file.at(file.epoch)}
    zones = {one.zone for one in now.values()}
    for shard in range(settings.shard_count):
        names = placement.replicas(shard)
        assert len(names) == len(set(names)) == min(settings.replicas, len(now))
        assert len({now[name].zone for name in names}) == min(settings.replicas, len(zones)), names
    if len(zones) < settings.replicas:
        return  # zones are divided into groups
    weights = Counter[str]()
    for one in now.values():
        weights[one.zone] += one.weight_units
    fair = group_loads(weights, settings.shard_count, min(settings.replicas, len(zones)))
    for name, load in loads(placement, settings.shard_count).items():
        one = now[name]
        assert load <= max_load(fair[one.zone] * one.weight_units / weights[one.zone]), name


@pytest.mark.parametrize("zones", [3, 4, 7, 23])
def test_each_shard_is_on_three_zones_and_loads_within_a_quarter_of_the_mean(zones: int) -> None:
    file = MemberFile(1, members(46 * 3, zones))
    placement = Placement(file, SETTINGS)
    assert_valid(placement, file)
    if 46 * 3 % zones == 0:
        found = loads(placement, SETTINGS.shard_count)
        mean = SETTINGS.shard_count * 3 / len(file.members)
        assert max(found.values()) <= MAX_LOAD_RATIO * mean and min(found.values()) >= mean / MAX_LOAD_RATIO


def test_loads_are_proportional_to_weight_within_a_quarter_of_the_mean() -> None:
    rng = Random(1)
    fleet = tuple(Member(f"s{n}", f"z{n % 8}", rng.choice((0.5, 1.0, 2.0, 4.0))) for n in range(80))
    file = MemberFile(1, fleet)
    placement = Placement(file, SETTINGS)
    assert_valid(placement, file)
    unit = SETTINGS.shard_count * 3 / sum(one.weight for one in fleet)
    found = loads(placement, SETTINGS.shard_count)
    for one in fleet:
        assert found[one.name] <= MAX_LOAD_RATIO * unit * one.weight


def test_load_above_one_replica_of_each_shard_goes_to_the_other_groups() -> None:
    found = group_loads({"a": 10, "b": 1, "c": 1, "d": 2}, 100, 3)
    assert found == {"a": 100.0, "b": 50.0, "c": 50.0, "d": 100.0}
    assert round_shares({"a": 1.5, "b": 1.5, "c": 2.0}, 5) == {"a": 2, "b": 1, "c": 2}


@pytest.mark.parametrize("count, zones", [(1, 1), (2, 1), (2, 2), (4, 1), (4, 2), (5, 2), (3, 3)])
def test_small_fleets_use_as_many_members_and_zones_as_there_are(count: int, zones: int) -> None:
    file = MemberFile(1, members(count, zones))
    assert_valid(Placement(file, SETTINGS), file)


def test_a_restart_moves_nothing() -> None:
    file = MemberFile(1, members(60, 6))
    placement = Placement(file, SETTINGS)
    before = placement.checkpoint()
    placement.adopt(file)  # a restarted member is still in the file
    assert placement.pending == 0 and placement.step() == frozenset()
    assert placement.checkpoint() == before == Placement(file, SETTINGS).checkpoint()


@pytest.mark.parametrize("seed", range(5))
def test_the_removal_of_a_member_moves_only_its_shards(seed: int) -> None:
    file = MemberFile(1, members(60, 6))
    placement = Placement(file, SETTINGS)
    gone = f"s{Random(seed).randrange(60)}"
    own = placement.shards(gone)
    before = {shard: placement.replicas(shard) for shard in range(SETTINGS.shard_count)}
    file = without(file, gone)
    placement.adopt(file)
    assert finish(placement) <= 1.3 * len(own)
    moved = {shard for shard, names in before.items() if set(names) != set(placement.replicas(shard))}
    assert moved == own
    assert_valid(placement, file)


def test_adding_a_member_moves_only_its_fair_load() -> None:
    file = MemberFile(1, members(60, 6))
    placement = Placement(file, SETTINGS)
    file = with_added(file, Member("new", "z1"))
    placement.adopt(file)
    moves = finish(placement)
    assert moves == len(placement.shards("new")) <= 1.3 * SETTINGS.shard_count * 3 / 61
    assert len(placement.shards("new")) >= 0.8 * SETTINGS.shard_count * 3 / 61
    assert_valid(placement, file)


def test_the_removal_of_a_zone_moves_its_shards_in_steps() -> None:
    file = MemberFile(1, members(60, 6))
    placement = Placement(file, SETTINGS)
    own = sum(len(placement.shards(one.name)) for one in file.members if one.zone == "z2")
    file = without(file, *(one.name for one in file.members if one.zone == "z2"))
    placement.adopt(file)
    assert placement.pending <= 1.3 * own
    steps, before = 0, placement.checkpoint().table
    while placement.pending:
        revision = placement.revision
        affected = placement.step()
        after = placement.checkpoint().table
        changed = [shard for shard in range(SETTINGS.shard_count) if before[shard] != after[shard]]
        assert 0 < len(changed) <= SETTINGS.step_moves >= placement.revision - revision
        assert {name for shard in changed for name in (*before[shard], *after[shard])} == affected
        steps, before = steps + 1, after
    assert steps == -(-own // SETTINGS.step_moves)
    assert_valid(placement, file)


def change_at_random(file: MemberFile, rng: Random, zones: int) -> MemberFile:
    now, draw = [one.name for one in file.at(file.epoch)], rng.random()
    if draw < 0.4 and len(now) > 8:
        return without(file, *rng.sample(now, rng.randint(1, 4)))
    if draw < 0.5 and len(now) > 8:  # remove a zone
        zone = rng.choice([one.zone for one in file.at(file.epoch)])
        if any(one.zone != zone for one in file.at(file.epoch)):
            return without(file, *(one.name for one in file.at(file.epoch) if one.zone == zone))
    if draw < 0.65:  # change a weight, or a zone
        one = rng.choice(file.at(file.epoch))
        changed = replace(one, weight=rng.choice((0.5, 1.0, 3.0)), zone=rng.choice([one.zone, "z0"]))
        removed = without(file, one.name)
        return replace(removed, members=(*removed.members, replace(changed, since=removed.epoch)))
    count = len(file.members)
    added = [Member(f"n{count + n}", f"z{rng.randrange(zones)}", rng.choice((1.0, 2.0))) for n in range(3)]
    return with_added(file, *added)


@pytest.mark.parametrize("seed", range(12))
def test_random_changes_keep_the_placement_valid_and_equal_on_all_relays(seed: int) -> None:
    """One relay runs throughout, one restarts from a checkpoint each time, one starts from the last file."""
    rng = Random(seed)
    zones = rng.randint(2, 6)
    file = MemberFile(1, members(rng.randint(9, 30), zones))
    settings = PlacementSettings(256, step_moves=16)
    running, restored = Placement(file, settings), Placement(file, settings)
    for _ in range(12):
        file = change_at_random(file, rng, zones)
        running.adopt(file)
        restored = Placement.restore(restored.checkpoint(), settings)
        restored.adopt(file)
        for _ in range(rng.randint(0, 4)):
            assert running.step() == restored.step()
        assert running.checkpoint() == restored.checkpoint()
    finish(running)
    assert_valid(running, file, settings)
    fresh = Placement(file, settings)
    assert fresh.checkpoint().table == running.checkpoint().table and fresh.revision == running.revision


def test_only_affected_members_get_an_update() -> None:
    file = MemberFile(1, members(12, 3))
    placement = Placement(file, SETTINGS)
    first = placement.update_for("s1", -1)
    assert first is not None and {one.shard for one in first.shards} == placement.shards("s1")
    assert all("s1" in one.replicas and len(one.replicas) == 3 for one in first.shards)
    assert placement.update_for("s1", first.revision) is None
    placement.adopt(without(file, "s2"))
    affected = placement.step()
    gone = placement.update_for("s2", first.revision)
    assert gone is not None and len(gone.shards) == len(placement.shards("s2")) and "s2" in affected
    finish(placement)
    last = placement.update_for("s2", gone.revision)
    assert last is not None and last.shards == ()
    assert placement.update_for("s2", last.revision) is None
    assert placement.update_for("stranger", -1) is not None  # an update without shards


# Invalid files


@pytest.mark.parametrize(
    "raw, text",
    [
        ({}, "members: none are listed"),
        ({"members": [{"name": "a", "zone": "z"}] * 2}, "member 'a': listed twice for epoch 1"),
        ({"members": [{"name": "a"}]}, "members[0].zone: must be a non-empty string"),
        ({"members": ["a"]}, "members[0]: not a table"),
        ({"members": [{"name": "a", "zone": "z", "color": 1}]}, "members[0].color: unknown setting"),
        ({"members": [{"name": "a", "zone": "z", "weight": 0}]}, "member 'a': weight must be above 0"),
        ({"members": [{"name": "a", "zone": "z", "weight": "1"}]}, "members[0].weight: wrong type"),
        (
            {"members": [{"name": "a", "zone": "z", "since": 2}]},
            "member 'a': since or until is above epoch 1",
        ),
        ({"members": [{"name": "a", "zone": "z", "until": 1}]}, "member 'a': until must be above since"),
        ({"epoch": 2, "members": [{"name": "a", "zone": "z", "until": 2}]}, "no member belongs to epoch 2"),
        ({"epoch": 0, "members": [{"name": "a", "zone": "z"}]}, "epoch: must be a positive integer"),
        ({"base_epoch": 2, "members": [{"name": "a", "zone": "z"}]}, "base_epoch: must be from 1 to 1"),
        ({"extra": 1, "members": [{"name": "a", "zone": "z"}]}, "extra: unknown setting"),
    ],
)
def test_an_invalid_members_file_is_reported_in_one_line(raw: dict[str, object], text: str) -> None:
    with pytest.raises(MemberFileError) as caught:
        MemberFile.from_mapping(raw)
    assert str(caught.value) == text


def test_a_file_that_contradicts_the_previous_one_leaves_the_placement_unchanged() -> None:
    file = without(MemberFile(1, members(12, 3)), "s2")
    placement = Placement(file, SETTINGS)
    before = placement.checkpoint()
    for other, text in [
        (MemberFile(1, members(12, 3)), "epoch went back from 2 to 1"),
        (without(MemberFile(1, members(12, 3)), "s3"), "epoch 2: member 's2' is not as it was"),
        (without(MemberFile(1, members(12, 3)), "s2", "s3"), "epoch 2 has fewer members than before"),
        (replace(file, epoch=9, base_epoch=9), "base_epoch 9: the placement here is of epoch 2, and needs a"),
    ]:
        with pytest.raises(MemberFileError) as caught:
            placement.adopt(other)
        assert str(caught.value).startswith(text)
        assert placement.checkpoint() == before
