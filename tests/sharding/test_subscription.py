"""A sender's subscription, call by call: followed shards, relay selection and updates."""

from __future__ import annotations

import subprocess
import sys
from math import inf
from random import Random

import pytest

from mountgauge.sharding.messages import (
    Answer,
    PlacedShard,
    PlacementUpdate,
    Refusal,
    RefusalReason,
)
from mountgauge.sharding.picker import NoRelaysError, Picker, RelayName
from mountgauge.sharding.shards import (
    EndpointRecord,
    EndpointState,
    ShardDelta,
    ShardSnapshot,
    digest_of,
)
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.timing import Timing
from mountgauge.sharding.upstream import Lane, RelayCall

RELAYS = [RelayName(f"r{i}", f"z{i}") for i in range(6)]
TIMING = Timing()


def record(name: str, destination: int = 1) -> EndpointRecord:
    return EndpointRecord(name, "10.0.0.1:80", "a", "k", destination, EndpointState.ACTIVE)


def snapshot(shard: int, version: int, *records: EndpointRecord) -> ShardSnapshot:
    return ShardSnapshot(shard, version, records, digest_of(records))


def placement_update(revision: int, *shards: int) -> PlacementUpdate:
    return PlacementUpdate(revision, 1, tuple(PlacedShard(one, ("me", "b", "c")) for one in shards))


def new_subscription(seed: int = 1) -> Subscription:
    picker = Picker(RELAYS, "z2", TIMING, Random(seed))
    return Subscription("me", ShardStore(64, log_limit=0), picker, TIMING, Random(seed))


def call_on(calls: list[RelayCall], lane: Lane) -> RelayCall:
    (found,) = [one for one in calls if one.lane is lane]
    return found


def started_subscription(*shards: int) -> Subscription:
    """Return a subscription with these shards placed on it, fetched at version 10 at second 0."""
    subscription = new_subscription()
    call = call_on(subscription.poll(0.0), Lane.WATCH)
    subscription.answered(call, Answer(10, 0.0, placement=placement_update(1, *shards)), 0.0)
    call = call_on(subscription.poll(0.0), Lane.FETCH)
    found = tuple(snapshot(shard, 10, record(f"e{shard}", shard)) for shard in shards)
    subscription.answered(call, Answer(10, 0.0, snapshots=found), 0.0)
    return subscription


def test_it_fetches_and_watches_the_shards_placed_on_it() -> None:
    subscription = started_subscription(3, 5)
    assert subscription.shards() == {3, 5} and subscription.replicas(3) == ("me", "b", "c")
    (call,) = subscription.poll(0.1)
    assert call.lane is Lane.WATCH and call.relay == "r2"
    assert 0.8 * TIMING.wait_s <= call.ask.wait_s <= TIMING.wait_s
    assert {(one.shard, one.version) for one in call.ask.positions} == {(3, 10), (5, 10)}
    assert call.ask.placement == 1
    delta = ShardDelta(3, 10, 12, (), ("e3",), 0)
    update = subscription.answered(call, Answer(12, 0.2, 0.5, (delta,)), 1.0)
    assert [one.id for one in update.removed] == ["e3"] and update.put == () and update.shards == {3}
    assert subscription.store.version(3) == subscription.store.version(5) == 12
    assert subscription.poll(1.0)[0].ask.positions[0].digest is None  # compared only once per relay


def test_staleness_includes_the_relays_staleness_and_the_transit_time() -> None:
    subscription = started_subscription(3)
    call = call_on(subscription.poll(1.0), Lane.WATCH)
    subscription.answered(call, Answer(11, age_s=0.5, held_s=0.7), 2.0)
    assert subscription.staleness(3, 2.0) == pytest.approx(0.5 + 0.3)  # a round trip of 1.0 s, held for 0.7 s
    assert subscription.staleness(3, 12.0) == pytest.approx(10.8)
    assert subscription.age(12.0) == pytest.approx(10.8)
    assert subscription.staleness(9, 12.0) == inf


def test_a_shard_is_followed_until_its_last_message_has_finished() -> None:
    """The messages of a moved shard stay with the sender that accepted them until they finish."""
    subscription = started_subscription(3, 5)
    subscription.message_accepted(3, 0.0)
    subscription.message_accepted(3, 0.0)
    call = call_on(subscription.poll(0.0), Lane.WATCH)
    update = subscription.answered(call, Answer(10, 0.0, placement=placement_update(2, 5)), 0.1)
    assert update.removed == () and subscription.shards() == {3, 5} and subscription.replicas(3) == ()
    call = call_on(subscription.poll(0.2), Lane.WATCH)
    delta = ShardDelta(3, 10, 11, (), ("e3",), 0)
    # It still receives the shard's changes.
    assert subscription.answered(call, Answer(11, 0.0, deltas=(delta,)), 0.3).removed
    assert subscription.message_finished(3).shards == frozenset() and subscription.follows(3)
    subscription.message_finished(3)
    assert not subscription.follows(3) and 3 not in subscription.store


def test_the_endpoints_of_a_dropped_shard_are_removed() -> None:
    subscription = started_subscription(3, 5)
    call = call_on(subscription.poll(0.0), Lane.WATCH)
    update = subscription.answered(call, Answer(10, 0.0, placement=placement_update(2, 5)), 0.1)
    assert [one.id for one in update.removed] == ["e3"] and subscription.shards() == {5}
    call = call_on(subscription.poll(0.2), Lane.WATCH)
    subscription.answered(call, Answer(10, 0.0, placement=placement_update(1, 3)), 0.3)
    assert subscription.shards() == {5}  # an older placement is ignored


def test_a_message_of_another_shard_makes_it_fetched_during_the_watch() -> None:
    subscription = started_subscription(3)
    call_on(subscription.poll(0.0), Lane.WATCH)
    subscription.message_accepted(9, 0.1)
    call = call_on(subscription.poll(0.1), Lane.FETCH)
    assert [one.shard for one in call.ask.positions] == [9] and call.ask.wait_s == 0
    update = subscription.answered(call, Answer(12, 0.0, snapshots=(snapshot(9, 12, record("n", 9)),)), 0.2)
    assert [one.id for one in update.put] == ["n"]
    assert [one.id for one in subscription.message_finished(9).removed] == ["n"]


def test_an_endpoint_that_changes_shards_is_moved_in_either_order_of_the_deltas() -> None:
    for order in ((3, 5), (5, 3)):
        subscription = started_subscription(3, 5)
        endpoints = {"e3": 3, "e5": 5}
        moved = record("e3", 5)
        deltas = {
            3: ShardDelta(3, 10, 11, (), ("e3",), 0),
            5: ShardDelta(5, 10, 11, (moved,), (), digest_of([record("e5", 5), moved])),
        }
        for shard in order:
            call = call_on(subscription.poll(0.0), Lane.WATCH)
            version = 11 if shard == order[0] else 12
            update = subscription.answered(call, Answer(version, 0.0, deltas=(deltas[shard],)), 0.1)
            for one in update.removed:
                endpoints.pop(one.id, None)
            endpoints.update((one.id, one.destination) for one in update.put)
        assert endpoints == {"e3": 5, "e5": 5}, order


def test_a_restart_loads_the_saved_list_and_asks_only_for_changes() -> None:
    subscription = new_subscription()
    saved = snapshot(3, 10, record("e3", 3))
    update = subscription.restore([saved], placement_update(1, 3), confirmed_at=-50.0)
    assert [one.id for one in update.put] == ["e3"] and subscription.age(10.0) == 60.0
    (call,) = subscription.poll(10.0)
    (position,) = call.ask.positions
    assert call.lane is Lane.WATCH and position.version == 10 and position.digest == saved.digest


def test_a_late_answer_to_a_failed_call_is_ignored() -> None:
    subscription = started_subscription(3)
    call = call_on(subscription.poll(0.0), Lane.WATCH)
    subscription.failed(call, 1.0)
    late = Answer(20, 0.0, deltas=(ShardDelta(3, 10, 20, (), ("e3",), 0),))
    assert subscription.answered(call, late, 1.1).removed == () and subscription.store.version(3) == 10


def test_only_a_second_time_out_moves_on_and_a_reset_moves_on_after_a_random_pause() -> None:
    subscription = started_subscription(3)
    call = call_on(subscription.poll(0.0), Lane.WATCH)
    subscription.failed(call, 1.6, silent=True)
    call = call_on(subscription.poll(1.6), Lane.WATCH)
    assert call.relay == "r2"
    subscription.failed(call, 3.2, silent=True)
    call = call_on(subscription.poll(3.2), Lane.WATCH)
    assert call.relay != "r2" and call.ask.positions[0].digest is not None  # compared at the new relay
    subscription.failed(call, 3.3)
    assert subscription.poll(3.3) == [] and 3.3 < subscription.wakes_at(3.3) <= 3.3 + 2 * TIMING.first_pause_s
    assert call_on(subscription.poll(subscription.wakes_at(3.3)), Lane.WATCH).relay not in ("r2", call.relay)
    second_choices = {new_subscription(seed).picker.order[1].name for seed in range(40)}
    assert second_choices == {"r0", "r1", "r3", "r4", "r5"}


def test_it_returns_to_its_own_zone_and_back_at_once_if_that_fails() -> None:
    picker = Picker(RELAYS, "z2", TIMING, Random(1))
    picker.failed(0.0)
    away = picker.current
    picker.return_to_own_zone_when_due(0.4 * TIMING.home_after_s)
    assert picker.current == away
    picker.return_to_own_zone_when_due(1.5 * TIMING.home_after_s)
    assert picker.current.name == "r2"
    picker.failed(100.0)
    assert picker.current == away and picker.ready_at() < 100.0
    picker.return_to_own_zone_when_due(100.0 + 1.5 * TIMING.home_after_s)
    picker.succeeded()
    assert picker.current.name == "r2"


def test_pauses_are_bounded_and_an_empty_relay_list_is_an_error() -> None:
    picker = Picker(RELAYS, "z9", TIMING, Random(1))
    longest = 0.0
    for _ in range(200):
        picker.failed(100.0)
        longest = max(longest, picker.ready_at() - 100.0)
    assert 0.9 * TIMING.longest_pause_s < longest <= TIMING.longest_pause_s
    with pytest.raises(NoRelaysError):
        Picker([], "z9", TIMING, Random(1))


def test_refusals_cause_a_wait_or_another_relay() -> None:
    subscription = started_subscription(3)
    call = call_on(subscription.poll(0.0), Lane.WATCH)
    subscription.answered(call, Refusal(RefusalReason.BUSY, 2.5), 0.1)
    assert subscription.poll(2.0) == [] and call_on(subscription.poll(2.6), Lane.WATCH).relay == "r2"
    subscription = started_subscription(3)
    call = call_on(subscription.poll(0.0), Lane.WATCH)
    subscription.answered(call, Refusal(RefusalReason.NOT_READY, 1.0), 0.1)
    assert call_on(subscription.poll(5.0), Lane.WATCH).relay != "r2"


def test_relays_that_contradict_each_other_are_reported_in_one_line() -> None:
    subscription = started_subscription(3)
    call = call_on(subscription.poll(0.0), Lane.WATCH)
    subscription.answered(call, Answer(30, 0.0), 0.5)
    call = call_on(subscription.poll(4.0), Lane.WATCH)
    update = subscription.answered(call, Answer(20, 0.1, 1.0, behind=10), 5.0)
    (rejection,) = update.rejections
    assert rejection.reason == "claims that version 20 was the newest when r2 had sent 30"
    assert subscription.store.version(3) == 30 and subscription.picker.current.name != "r2"


def test_a_relay_that_stays_behind_is_left() -> None:
    subscription = started_subscription(3)
    now = 0.0
    while subscription.picker.current.name == "r2":
        call = call_on(subscription.poll(now), Lane.WATCH)
        now += 1.0
        subscription.answered(call, Answer(4, now + 60, 1.0, behind=6), now)
        assert subscription.behind == 6 and now < 10
    assert now > TIMING.max_behind_s and subscription.staleness(3, now) == now


def test_sharding_is_not_imported_while_it_is_off() -> None:
    code = (
        "import sys, mountgauge.cli, mountgauge.run.platform, mountgauge.run.operator; "
        "sys.exit(any(name.startswith('mountgauge.sharding') for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
