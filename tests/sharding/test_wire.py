"""JSON encoding of asks and answers: messages survive a round trip, invalid input is reported in one line."""

from __future__ import annotations

import math

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.relay import wire
from mountgauge.sharding.messages import (
    Answer,
    Ask,
    PlacedShard,
    PlacementUpdate,
    Position,
    Refusal,
    RefusalReason,
    Reply,
)
from mountgauge.sharding.shards import EndpointRecord, EndpointState, ShardDelta, ShardSnapshot

SHARDS = 64
shards = st.integers(0, SHARDS - 1)
versions = st.integers(-1, 1 << 62)
digests = st.integers(0, (1 << 64) - 1)
seconds = st.floats(0, 60, allow_nan=False)
names = st.text("abc-é0", min_size=1, max_size=20)
records = st.builds(
    EndpointRecord, names, st.just("127.0.0.1:80"), names, names, st.integers(0, 1 << 40),
    st.sampled_from([EndpointState.ACTIVE, EndpointState.LEAVING]), st.floats(0, 1e6),
    st.integers(0, 1 << 50),
)  # fmt: skip
positions = st.lists(
    st.builds(Position, shards, versions, st.none() | digests), unique_by=lambda one: one.shard, max_size=5
).map(tuple)
asks = st.builds(Ask, names, positions, st.none(), seconds, versions) | st.builds(
    Ask, names, st.just(()), versions, seconds, versions, st.booleans()
)
many_records = st.lists(records, max_size=3).map(tuple)
deltas = st.builds(
    ShardDelta, shards, versions, versions, many_records, st.lists(names, max_size=3).map(tuple), digests
)
snapshots = st.builds(ShardSnapshot, shards, versions, many_records, digests)
placed = st.builds(PlacedShard, shards, st.lists(names, max_size=4).map(tuple))
news = st.builds(PlacementUpdate, versions, versions, st.lists(placed, max_size=3).map(tuple))
answers = st.builds(
    Answer, versions, seconds | st.just(math.inf), seconds, st.lists(deltas, max_size=3).map(tuple),
    st.lists(snapshots, max_size=3).map(tuple), st.lists(shards, max_size=4).map(tuple),
    st.integers(0, 9), seconds, st.none() | news, st.none() | digests, st.integers(0, 1 << 32),
)  # fmt: skip
refusals = st.builds(Refusal, st.sampled_from(RefusalReason), seconds)


@given(asks)
@settings(max_examples=60, deadline=None)
def test_an_ask_survives_a_round_trip(ask: Ask) -> None:
    assert wire.decode_ask(wire.encode_ask(ask, SHARDS), SHARDS) == ask


@given(answers | refusals)
@settings(max_examples=60, deadline=None)
def test_a_reply_survives_a_round_trip(reply: Reply) -> None:
    assert wire.decode_reply(*wire.encode_reply(reply), SHARDS) == reply


ASK = {"asker": "a", "wait_s": 1, "shards": [[1, 2]]}


@pytest.mark.parametrize(
    ("changed", "error"),
    [
        ({"asker": ""}, "asker: not a name of at most 128 bytes"),
        ({"asker": "x" * 129}, "asker: not a name of at most 128 bytes"),
        ({"wait_s": -1}, "wait_s: not a number of seconds"),
        ({"wait_s": 61}, "wait_s: above 60"),
        ({"wait_s": None}, "wait_s: not a number of seconds"),
        ({"shards": {}}, "shards: not an array"),
        ({"shards": [[64, 1]]}, "shard: not a whole number from 0 to 63"),
        ({"shards": [[True, 1]]}, "shard: not a whole number from 0 to 63"),
        ({"shards": [[1, 2], [1, 3]]}, "shards: one stands twice"),
        ({"shards": [[1, 2, 3, 4]]}, "shards: a position is a shard, a version and maybe a digest"),
        ({"shard_count": 63}, "shard_count: 63 asked by, 64 here"),
        ({"index": 3}, "index and shards: only one of them can be asked by"),
        ({"placement": "new"}, f"placement: not a whole number from -1 to {wire.MAX_VERSION}"),
    ],
)
def test_an_unreadable_ask_is_reported_in_one_line(changed: dict[str, object], error: str) -> None:
    with pytest.raises(wire.UnreadableMessageError) as caught:
        wire.decode_ask(orjson.dumps({**ASK, **changed}), SHARDS)
    assert str(caught.value) == error


RECORD = {"id": "s", "addr": "127.0.0.1:1", "zone": "a", "kind": "http", "cell": 7, "state": "active"}
LIST = {"shard": 1, "version": 4, "full": True, "digest": 0, "servers": [RECORD]}


@pytest.mark.parametrize(
    ("changed", "error"),
    [
        ({"servers": [{**RECORD, "state": "asleep"}]}, "endpoint 's': 'asleep' is not a valid EndpointState"),
        ({"servers": [{**RECORD, "cell": "7"}]}, "endpoint 's': cell: not a whole number"),
        ({"servers": [{"id": "s", "state": "left"}]}, "shard 1: a snapshot must not list a removed endpoint"),
        ({"servers": None}, "servers: not an array"),
        ({"full": False}, "from: not a whole number from -1 to 9223372036854775807"),
        ({"digest": -1}, "digest: not a whole number from 0 to 18446744073709551615"),
        ({"version": 1.5}, "version: not a whole number from -1 to 9223372036854775807"),
    ],
)
def test_an_unreadable_list_in_an_answer_is_reported_in_one_line(
    changed: dict[str, object], error: str
) -> None:
    body = orjson.dumps({"version": 4, "age_s": 0, "lists": [{**LIST, **changed}]})
    with pytest.raises(wire.UnreadableMessageError) as caught:
        wire.decode_reply(wire.STATUS_ANSWER, body, SHARDS)
    assert str(caught.value) == error


@given(st.binary(max_size=60) | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
        st.sampled_from(["asker", "shards", "index", "version", "lists", "servers", "refused", "placement"]),
        inner, max_size=4,
    ), max_leaves=12,
))  # fmt: skip
@settings(max_examples=150, deadline=None)
def test_any_input_is_decoded_or_reported_as_unreadable(raw: object) -> None:
    try:
        body = raw if isinstance(raw, bytes) else orjson.dumps(raw)
    except TypeError:  # an integer of more than 64 bits
        return
    for read in (
        lambda: wire.decode_ask(body, SHARDS),
        lambda: wire.decode_reply(wire.STATUS_ANSWER, body, SHARDS),
        lambda: wire.decode_reply(wire.STATUS_REFUSAL, body, SHARDS),
        lambda: wire.decode_reply(404, body, SHARDS),
    ):
        try:
            read()
        except wire.UnreadableMessageError as error:
            assert "\n" not in str(error) and len(str(error)) < 400


def test_a_body_that_is_too_large_is_rejected_before_it_is_parsed() -> None:
    with pytest.raises(wire.UnreadableMessageError, match="bytes, at most"):
        wire.decode_ask(b" " * (wire.MAX_ASK_BYTES + 1), SHARDS)
