"""JSON forms of asks and answers: the protocol of discovery's list (index and wait), by shard.

An ask is the body of `POST /registry/shards`:

    {"asker":"sender-1","shard_count":64,"wait_s":1.0,"placement":3,"shards":[[17,41],[90,43,1181783497276652981]]}
    {"asker":"relay-a","wait_s":1.0,"index":41}

A position is a shard, the version that the asker holds it as of, and, where it says so, the digest of what
it holds. `index` stands for all shards, and with `verify` the answer has the digest of all. An answer has one
list for each shard that changed, in the form of discovery's own: `full` is a snapshot, else a delta from the
version `from`, in which an endpoint that is no more stands as `{"id":"…","state":"left"}`.

    {"version":43,"age_s":0.2,"held_s":0.7,"lists":[
      {"shard":17,"version":43,"full":false,"from":41,"digest":5,"servers":[{"id":"s-1",…}]}]}

`run` is another number at each start of the relay.
A refusal has status 503 and `{"refused":"busy","retry_after_s":0.4}`. What is left out has its default. No
sockets here: bytes come in, messages go out. Whatever can't be read is one `UnreadableMessageError` of one
line.
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
MAX_WAIT_S = 60.0  # as at discovery
MAX_NAME_BYTES = 128  # of an asker or a member
MAX_REPLICAS = 16
MAX_VERSION = (1 << 63) - 1
_MAX_DIGEST = (1 << 64) - 1


class UnreadableMessageError(ValueError):
    """It is not an ask or an answer; the text is one line for the operator."""


# Asks


def encode_ask(ask: Ask, shard_count: int | None = None) -> bytes:
    """The body of an ask. `shard_count` is said, so that a relay with another one refuses it."""
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
        raw["shards"] = [_position_form(one) for one in ask.positions]
    return orjson.dumps(raw)


def _position_form(one: Position) -> tuple[int, ...]:
    if one.digest is None:
        return (one.shard, one.version)
    return (one.shard, one.version, one.digest)


def decode_ask(body: bytes | bytearray, shard_count: int) -> Ask:
    """An ask of a fleet with so many shards; UnreadableMessageError where it is none."""
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
    if len({one.shard for one in positions}) < len(positions):
        raise UnreadableMessageError("shards: one stands twice")
    return Ask(asker, positions, None, wait_s, placement)


def _position(raw: object, shard_count: int) -> Position:
    if type(raw) is list and len(raw) == 2:  # nearly all are: a relay reads tens of thousands a second
        shard, version = raw
        whole = type(shard) is int and type(version) is int
        if whole and 0 <= shard < shard_count and NO_VERSION <= version <= MAX_VERSION:
            return Position(shard, version)
    if not isinstance(raw, list) or len(raw) not in (2, 3):
        raise UnreadableMessageError("shards: a position is a shard, a version and maybe a digest")
    digest = _whole(raw[2], "digest", 0, _MAX_DIGEST) if len(raw) == 3 else None
    return Position(_shard(raw[0], shard_count), _version(raw[1], "version"), digest)


# Answers and refusals


def encode_reply(reply: Reply) -> tuple[int, bytes]:
    """The status and body of an answer or a refusal."""
    if isinstance(reply, Refusal):
        refused = {"refused": reply.reason.value, "retry_after_s": reply.retry_after_s}
        return STATUS_REFUSAL, orjson.dumps(refused)
    return STATUS_ANSWER, orjson.dumps(_answer_form(reply))


def encode_error(error: UnreadableMessageError) -> tuple[int, bytes]:
    """The status and body for an ask that can't be read."""
    return STATUS_UNREADABLE, orjson.dumps({"error": str(error)})


def _answer_form(answer: Answer) -> dict[str, Any]:
    age_s = answer.age_s if math.isfinite(answer.age_s) else None  # never confirmed
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


def _snapshot_form(one: ShardSnapshot) -> dict[str, Any]:
    servers = [record.line() for record in one.records]
    return {"shard": one.shard, "version": one.version, "full": True, "digest": one.digest,
            "servers": servers}  # fmt: skip


def _delta_form(one: ShardDelta) -> dict[str, Any]:
    servers = [record.line() for record in one.put]
    servers += [{"id": name, "state": EndpointState.LEFT.value} for name in one.gone]
    return {"shard": one.shard, "version": one.version, "full": False, "from": one.base,
            "digest": one.digest, "servers": servers}  # fmt: skip


def _placement_form(news: PlacementUpdate | None) -> dict[str, Any] | None:
    if news is None:
        return None
    shards = [(one.shard, one.replicas) for one in news.shards]
    return {"revision": news.revision, "epoch": news.epoch, "shards": shards}


def decode_reply(status: int, body: bytes | bytearray, shard_count: int) -> Reply:
    """An answer or a refusal; UnreadableMessageError where it is neither."""
    if status == STATUS_REFUSAL:
        return _refusal(_object(body, MAX_ANSWER_BYTES, "refusal"))
    if status != STATUS_ANSWER:
        said = " ".join(bytes(body[:120]).decode(errors="replace").split())
        raise UnreadableMessageError(f"status {status}: {said}")
    raw = _object(body, MAX_ANSWER_BYTES, "answer")
    snapshots: list[ShardSnapshot] = []
    deltas: list[ShardDelta] = []
    for one in _array(raw.get("lists", []), "lists"):
        _list(one, shard_count, snapshots, deltas)
    uncovered = _array(raw.get("uncovered", []), "uncovered")
    return Answer(
        as_of=_version(raw.get("version"), "version"),
        age_s=math.inf if raw.get("age_s") is None else _seconds(raw["age_s"], "age_s"),
        held_s=_seconds(raw.get("held_s", 0.0), "held_s"),
        deltas=tuple(deltas),
        snapshots=tuple(snapshots),
        uncovered=tuple(_shard(one, shard_count) for one in uncovered),
        digest=_whole(raw["digest"], "digest", 0, _MAX_DIGEST) if "digest" in raw else None,
        run=_whole(raw.get("run", 0), "run", 0, MAX_VERSION),
        behind=_whole(raw.get("behind", 0), "behind", 0, MAX_VERSION),
        retry_after_s=_seconds(raw.get("retry_after_s", 0.0), "retry_after_s"),
        placement=_placement(raw.get("placement"), shard_count),
    )


def _refusal(raw: Mapping[str, Any]) -> Refusal:
    try:
        reason = RefusalReason(raw.get("refused"))
    except ValueError:
        raise UnreadableMessageError(f"refused: not a reason: {str(raw.get('refused'))[:80]!r}") from None
    return Refusal(reason, _seconds(raw.get("retry_after_s", 0.0), "retry_after_s"))


def _list(raw: object, shard_count: int, snapshots: list[ShardSnapshot], deltas: list[ShardDelta]) -> None:
    """One shard's list, added to the snapshots or the deltas."""
    if not isinstance(raw, dict):
        raise UnreadableMessageError("lists: not an object")
    shard = _shard(raw.get("shard"), shard_count)
    version = _version(raw.get("version"), "version")
    digest = _whole(raw.get("digest"), "digest", 0, _MAX_DIGEST)
    put: list[EndpointRecord] = []
    gone: list[str] = []
    for line in _array(raw.get("servers"), "servers"):
        if isinstance(line, dict) and line.get("state") == EndpointState.LEFT.value:
            gone.append(_endpoint_id(line.get("id")))
        else:
            put.append(_record(line))
    if raw.get("full") is not True:
        base = _version(raw.get("from"), "from")
        deltas.append(ShardDelta(shard, base, version, tuple(put), tuple(gone), digest))
    elif gone:
        raise UnreadableMessageError(f"shard {shard}: a snapshot with an endpoint that has left")
    else:
        snapshots.append(ShardSnapshot(shard, version, tuple(put), digest))


def _record(line: object) -> EndpointRecord:
    try:
        return EndpointRecord.from_line(line)
    except UnreadableRecordError as error:
        raise UnreadableMessageError(str(error)) from None


def _endpoint_id(raw: object) -> str:
    if not isinstance(raw, str) or not raw:
        raise UnreadableMessageError("id: not a text")
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
        raise UnreadableMessageError("placement.shards: a shard and its replicas")
    replicas = _array(raw[1], "replicas")
    if len(replicas) > MAX_REPLICAS:
        raise UnreadableMessageError(f"replicas: more than {MAX_REPLICAS}")
    return PlacedShard(_shard(raw[0], shard_count), tuple(_name(one, "replicas") for one in replicas))


# Values


def _object(body: bytes | bytearray, most: int, what: str) -> dict[str, Any]:
    if len(body) > most:
        raise UnreadableMessageError(f"{what}: {len(body)} bytes, at most {most}")
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise UnreadableMessageError(f"{what}: {error}") from None
    if not isinstance(raw, dict):
        raise UnreadableMessageError(f"{what}: not an object")
    return raw


def _array(raw: object, name: str) -> list[Any]:
    if not isinstance(raw, list):
        raise UnreadableMessageError(f"{name}: not an array")
    return raw


def _whole(raw: object, name: str, least: int, most: int) -> int:
    if not isinstance(raw, int) or isinstance(raw, bool) or not least <= raw <= most:
        raise UnreadableMessageError(f"{name}: not a whole number from {least} to {most}")
    return raw


def _version(raw: object, name: str) -> int:
    return _whole(raw, name, NO_VERSION, MAX_VERSION)


def _shard(raw: object, shard_count: int) -> int:
    return _whole(raw, "shard", 0, shard_count - 1)


def _seconds(raw: object, name: str) -> float:
    if not isinstance(raw, int | float) or isinstance(raw, bool) or raw < 0:
        raise UnreadableMessageError(f"{name}: not a number of seconds")
    return float(raw)


def _name(raw: object, name: str) -> str:
    if not isinstance(raw, str) or not 0 < len(raw.encode(errors="replace")) <= MAX_NAME_BYTES:
        raise UnreadableMessageError(f"{name}: not a name of at most {MAX_NAME_BYTES} bytes")
    return raw
