"""A sender's last shards in its state folder, for a start at which no relay can be asked.

One file of two lines: when what it holds was the newest for sure (on both clocks; of an older version the
wall clock alone), and an answer as on the wire, with a snapshot of each shard. It is replaced as a whole. A
file that can't be used is as none.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from pathlib import Path

import orjson

from mountgauge.core.durable_time import Stamp
from mountgauge.core.files import Files, SystemFiles, replace_file
from mountgauge.relay import wire
from mountgauge.sharding.messages import Answer, PlacementUpdate
from mountgauge.sharding.shards import ShardSnapshot

MAX_BYTES = 1 << 20

_NAME = "shards"


class KeptListError(ValueError):
    """The file can't be used; the text is one line for the operator."""


@dataclass(frozen=True, slots=True)
class KeptList:
    """What a sender held."""

    confirmed: Stamp  # when it was discovery's newest for sure
    placement: PlacementUpdate
    snapshots: tuple[ShardSnapshot, ...]


def encode(kept: KeptList, shard_count: int) -> bytes:
    """The file's content."""
    boot, wall, monotonic, _ = kept.confirmed
    head = {"confirmed": wall, "monotonic": monotonic, "boot": boot, "shards": shard_count}
    as_of = max((one.version for one in kept.snapshots), default=-1)
    answer = Answer(as_of, 0.0, snapshots=kept.snapshots, placement=kept.placement)
    return orjson.dumps(head) + b"\n" + wire.encode_reply(answer)[1]


def decode(content: bytes, shard_count: int) -> KeptList:
    """What the content says; KeptListError where it can't be used."""
    head, _, body = content.partition(b"\n")
    try:
        said = orjson.loads(head)
        wall, count = float(said["confirmed"]), int(said["shards"])
        monotonic = float(said.get("monotonic", math.inf))  # ahead of any clock: the wall clock counts
        confirmed = Stamp(str(said.get("boot", "")), wall, monotonic, wall)
        answer = wire.decode_reply(wire.STATUS_ANSWER, body, shard_count)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise KeptListError(f"not a list of shards: {' '.join(str(error).split())[:200]}") from None
    if count != shard_count:
        raise KeptListError(f"of {count} shards, the file says {shard_count}")
    if not isinstance(answer, Answer) or answer.placement is None:
        raise KeptListError("no placement in it")
    return KeptList(confirmed, answer.placement, answer.snapshots)


class KeptListFile:
    """The file in a state folder."""

    def __init__(self, folder: Path, shard_count: int, files: Files | None = None) -> None:
        self._path, self._shard_count = folder / _NAME, shard_count
        self._files = files or SystemFiles()

    def read(self) -> KeptList | None:
        """What an earlier process kept; None where there is no file, KeptListError where it can't be used."""
        try:
            with self._path.open("rb") as file:
                content = file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise KeptListError(f"{self._path}: {error.strerror}") from None
        if len(content) > MAX_BYTES:
            raise KeptListError(f"{self._path}: more than {MAX_BYTES} bytes")
        return decode(content, self._shard_count)

    def write(self, kept: KeptList) -> None:
        """Replace the file; OSError where the folder can't be written, KeptListError where it is too much."""
        content = encode(kept, self._shard_count)
        if len(content) > MAX_BYTES:
            raise KeptListError(f"{len(content)} bytes, at most {MAX_BYTES} are kept")
        replace_file(self._files, self._path, content)
