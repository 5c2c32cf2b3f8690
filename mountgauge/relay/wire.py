"""JSON encoding of asks and answers: the protocol of discovery's list (index and wait), applied per shard.

An ask is the body of `POST /registry/shards`:

    {"asker":"sender-1","shard_count":64,"wait_s":1.0,"placement":3,"shards":[[17,41],[90,43,1181783497276652981]]}
    {"asker":"relay-a","wait_s":1.0,"index":41}

A position is a shard, the version at which the asker holds it, and optionally the digest of its content.
`index` is the version of all shards; with `verify`, the answer has the digest of all of them. An answer has
one list per changed shard, in the format of discovery's list: with `full` it is a snapshot, otherwise a delta
from the version `from`, in which a removed endpoint is listed as `{"id":"…","state":"left"}`.

    {"version":43,"age_s":0.2,"held_s":0.7,"lists":[
      {"shard":17,"version":43,"full":false,"from":41,"digest":5,"servers":[{"id":"s-1",…}]}]}

`run` is a different number for each process run of the relay. A refusal has status 503 and the body
`{"refused":"busy","retry_after_s":0.4}`. Omitted fields have their defaults. This module does no I/O. Input
that can't be decoded raises `UnreadableMessageError` with a text of one line.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import orjson

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
from mountgauge.sharding.shards import (
    NO_VERSION,
    EndpointRecord,
    EndpointState,
    ShardDelta,
    ShardSnapshot,
    UnreadableRecordError,
)

PATH = "/registry/shards"
STATUS_ANSWER, STATUS_UNREADABLE, STATUS_REFUSAL = 200, 400, 503
MAX_ASK_BYTES = 4 << 20  # 65,536 positions with digests take 2.5 MB
MAX_ANSWER_BYTES = 64 << 20
MAX_WAIT_S = 60.0  # the same as discovery's
MAX_NAME_BYTES = 128  # of an asker or a member
MAX_REPLICAS = 16
MAX_VERSION = (1 << 63) - 1
_MAX_DIGEST = (1 << 64) - 1


class UnreadableMessageError(ValueError):
    """The input is not a valid ask or answer; the text is one line for the operator."""


# Asks


def encode_ask(ask: Ask, shard_count: int | None = None) -> bytes:
    """Return the body of an ask. With `shard_count`, a relay that has another shard count rejects the ask."""
    raw: dict[str, Any] = {"asker": ask.asker, "wait_s": ask.wait_s}
    if shard_count is not None:
        raw["shard_count"] = shard_count
    if ask.placement != NO_VERSION:
        raw["placement"] = ask.placement
    if ask.all_shards_as_of is not None:
        raw["index"] = ask.all_shards_as_of
        if ask.verify:
            raw["verify"] = True
    else:
        raw["shards"] = [_position_form(position) for position in ask.positions]
    return orjson.dumps(raw)


def _position_form(position: Position) -> tuple[int, ...]:
    if position.digest is None:
        return (position.shard, position.version)
    return (position.shard, position.version, position.digest)


def decode_ask(body: bytes | bytearray, shard_count: int) -> Ask:
    """Decode an ask of a fleet with this shard count; UnreadableMessageError if it is not a valid one."""
    raw = _object(body, MAX_ASK_BYTES, "ask")
    if raw.get("shard_count", shard_count) != shard_count:
        raise UnreadableMessageError(
            f"shard_count: {str(raw['shard_count'])[:20]} asked by, {shard_count} here"
        )
    asker = _name(raw.get("asker"), "asker")
    wait_s = _seconds(raw.get("wait_s", 0.0), "wait_s")
    if wait_s > MAX_WAIT_S:
        raise UnreadableMessageError(f"wait_s: above {MAX_WAIT_S:g}")
    placement = _version(raw.get("placement", NO_VERSION), "placement")
    if "index" in raw:
        if "shards" in raw:
            raise UnreadableMessageError("index and shards: only one of them can be asked by")
        verify = raw.get("verify", False) is True
        return Ask(asker, (), _version(raw["index"], "index"), wait_s, placement, verify)
    positions = tuple(_position(one, shard_count) for one in _array(raw.get("shards", []), "shards"))
    if len({position.shard for position in positions}) < len(positions):
        raise UnreadableMessageError("shards: one stands twice")
    return Ask(asker, positions, None, wait_s, placement)


def _position(raw: object, shard_count: int) -> Position:
    # Fast path for nearly all positions: a relay decodes tens of thousands per second.
    if type(raw) is list and len(raw) == 2:
        shard, version = raw
        integers = type(shard) is int and type(version) is int
        if integers and 0 <= shard < shard_count and NO_VERSION <= version <= MAX_VERSION:
            return Position(shard, version)
    if not isinstance(raw, list) or len(raw) not in (2, 3):
        raise UnreadableMessageError("shards: a position is a shard, a version and maybe a digest")
    digest = _integer(raw[2], "digest", 0, _MAX_DIGEST) if len(raw) == 3 else None
    return Position(_shard(raw[0], shard_count), _version(raw[1], "version"), digest)


# Answers and refusals


def encode_reply(reply: Reply) -> tuple[int, bytes]:
    """Return the status and body of an answer or a refusal."""
    if isinstance(reply, Refusal):
        refused = {"refused": reply.reason.value, "retry_after_s": reply.retry_after_s}
        return STATUS_REFUSAL, orjson.dumps(refused)
    return STATUS_ANSWER, orjson.dumps(_answer_form(reply))


def encode_error(error: UnreadableMessageError) -> tuple[int, bytes]:
    """Return the status and body of the reply to an unreadable ask."""
    return STATUS_UNREADABLE, orjson.dumps({"error": str(error)})


def _answer_form(answer: Answer) -> dict[str, Any]:
    age_s = answer.age_s if math.isfinite(answer.age_s) else None  # None: never confirmed
    raw: dict[str, Any] = {"version": answer.as_of, "age_s": age_s}
    optional: tuple[tuple[str, Any], ...] = (
        ("held_s", answer.held_s),
        ("lists", [*map(_snapshot_form, answer.snapshots), *map(_delta_form, answer.deltas)]),
        ("uncovered", answer.uncovered),
        ("run", answer.run),
        ("behind", answer.behind),
        ("retry_after_s", answer.retry_after_s),
        ("placement", _placement_form(answer.placement)),
    )
    raw.update((key, value) for key, value in optional if value)
    if answer.digest is not None:
        raw["digest"] = answer.digest
    return raw


def _snapshot_form(snapshot: ShardSnapshot) -> dict[str, Any]:
    servers = [record.line() for record in snapshot.records]
    return {"shard": snapshot.shard, "version": snapshot.version, "full": True, "digest": snapshot.digest,
            "servers": servers}  # fmt: skip


def _delta_form(delta: ShardDelta) -> dict[str, Any]:
    servers = [record.line() for record in delta.put]
    servers += [{"id": name, "state": EndpointState.LEFT.value} for name in delta.removed]
    return {"shard": delta.shard, "version": delta.version, "full": False, "from": delta.base,
            "digest": delta.digest, "servers": servers}  # fmt: skip


def _placement_form(news: PlacementUpdate | None) -> dict[str, Any] | None:
    if news is None:
        return None
    shards = [(placed.shard, placed.replicas) for placed in news.shards]
    return {"revision": news.revision, "epoch": news.epoch, "shards": shards}


def decode_reply(status: int, body: bytes | bytearray, shard_count: int) -> Reply:
    """Decode an answer or a refusal; UnreadableMessageError if it is neither."""
    if status == STATUS_REFUSAL:
        return _refusal(_object(body, MAX_ANSWER_BYTES, "refusal"))
    if status != STATUS_ANSWER:
        excerpt = " ".join(bytes(body[:120]).decode(errors="replace").split())
        raise UnreadableMessageError(f"status {status}: {excerpt}")
    raw = _object(body, MAX_ANSWER_BYTES, "answer")
    snapshots: list[ShardSnapshot] = []
    deltas: list[ShardDelta] = []
    for shard_list in _array(raw.get("lists", []), "lists"):
        _add_list(shard_list, shard_count, snapshots, deltas)
    uncovered = _array(raw.get("uncovered", []), "uncovered")
    return Answer(
        as_of=_version(raw.get("version"), "version"),
        age_s=math.inf if raw.get("age_s") is None else _seconds(raw["age_s"], "age_s"),
        held_s=_seconds(raw.get("held_s", 0.0), "held_s"),
        deltas=tuple(deltas),
        snapshots=tuple(snapshots),
        uncovered=tuple(_shard(one, shard_count) for one in uncovered),
        digest=_integer(raw["digest"], "digest", 0, _MAX_DIGEST) if "digest" in raw else None,
        run=_integer(raw.get("run", 0), "run", 0, MAX_VERSION),
        behind=_integer(raw.get("behind", 0), "behind", 0, MAX_VERSION),
        retry_after_s=_seconds(raw.get("retry_after_s", 0.0), "retry_after_s"),
        placement=_placement(raw.get("placement"), shard_count),
    )


def _refusal(raw: Mapping[str, Any]) -> Refusal:
    try:
        reason = RefusalReason(raw.get("refused"))
    except ValueError:
        raise UnreadableMessageError(f"refused: not a reason: {str(raw.get('refused'))[:80]!r}") from None
    return Refusal(reason, _seconds(raw.get("retry_after_s", 0.0), "retry_after_s"))


def _add_list(
    raw: object, shard_count: int, snapshots: list[ShardSnapshot], deltas: list[ShardDelta]
) -> None:
    """Decode the list of one shard, and add it to the snapshots or the deltas."""
    if not isinstance(raw, dict):
        raise UnreadableMessageError("lists: not an object")
    shard = _shard(raw.get("shard"), shard_count)
    version = _version(raw.get("version"), "version")
    digest = _integer(raw.get("digest"), "digest", 0, _MAX_DIGEST)
    put: list[EndpointRecord] = []
    removed: list[str] = []
    for line in _array(raw.get("servers"), "servers"):
        if isinstance(line, dict) and line.get("state") == EndpointState.LEFT.value:
            removed.append(_endpoint_id(line.get("id")))
        else:
            put.append(_record(line))
    if raw.get("full") is not True:
        base = _version(raw.get("from"), "from")
        deltas.append(ShardDelta(shard, base, version, tuple(put), tuple(removed), digest))
    elif removed:
        raise UnreadableMessageError(f"shard {shard}: a snapshot must not list a removed endpoint")
    else:
        snapshots.append(ShardSnapshot(shard, version, tuple(put), digest))


def _record(line: object) -> EndpointRecord:
    try:
        return EndpointRecord.from_line(line)
    except UnreadableRecordError as error:
        raise UnreadableMessageError(str(error)) from None


def _endpoint_id(raw: object) -> str:
    if not isinstance(raw, str) or not raw:
        raise UnreadableMessageError("id: not a non-empty string")
    return raw


def _placement(raw: object, shard_count: int) -> PlacementUpdate | None:
    if raw is None:
        return None
    if not isinstance(raw, dict):
        raise UnreadableMessageError("placement: not an object")
    shards = tuple(_placed(one, shard_count) for one in _array(raw.get("shards"), "placement.shards"))
    revision = _version(raw.get("revision"), "revision")
    return PlacementUpdate(revision, _version(raw.get("epoch"), "epoch"), shards)


def _placed(raw: object, shard_count: int) -> PlacedShard:
    if not isinstance(raw, list) or len(raw) != 2:
        raise UnreadableMessageError("placement.shards: each item must be a shard and its replicas")
    replicas = _array(raw[1], "replicas")
    if len(replicas) > MAX_REPLICAS:
        raise UnreadableMessageError(f"replicas: more than {MAX_REPLICAS}")
    return PlacedShard(_shard(raw[0], shard_count), tuple(_name(one, "replicas") for one in replicas))


# Values


def _object(body: bytes | bytearray, max_bytes: int, kind: str) -> dict[str, Any]:
    if len(body) > max_bytes:
        raise UnreadableMessageError(f"{kind}: {len(body)} bytes, at most {max_bytes}")
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise UnreadableMessageError(f"{kind}: {error}") from None
    if not isinstance(raw, dict):
        raise UnreadableMessageError(f"{kind}: not an object")
    return raw


def _array(raw: object, name: str) -> list[Any]:
    if not isinstance(raw, list):
        raise UnreadableMessageError(f"{name}: not an array")
    return raw


def _integer(raw: object, name: str, minimum: int, maximum: int) -> int:
    if not isinstance(raw, int) or isinstance(raw, bool) or not minimum <= raw <= maximum:
        raise UnreadableMessageError(f"{name}: not a whole number from {minimum} to {maximum}")
    return raw


def _version(raw: object, name: str) -> int:
    return _integer(raw, name, NO_VERSION, MAX_VERSION)


def _shard(raw: object, shard_count: int) -> int:
    return _integer(raw, "shard", 0, shard_count - 1)


def _seconds(raw: object, name: str) -> float:
    if not isinstance(raw, int | float) or isinstance(raw, bool) or raw < 0:
        raise UnreadableMessageError(f"{name}: not a number of seconds")
    return float(raw)


def _name(raw: object, name: str) -> str:
    if not isinstance(raw, str) or not 0 < len(raw.encode(errors="replace")) <= MAX_NAME_BYTES:
        raise UnreadableMessageError(f"{name}: not a name of at most {MAX_NAME_BYTES} bytes")
    return raw
