"""File of a sender's last known shards in its state folder, used at a start while no relay can be reached.

It has two lines: the time at which its content was confirmed as the newest (on both clocks; files of older
versions have the wall clock alone), and an answer in the wire format with a snapshot of each shard. It is
replaced atomically, and ignored if it can't be used.
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

_FILE_NAME = "shards"


class KeptListError(ValueError):
    """The file can't be used; the text is one line for the operator."""


@dataclass(frozen=True, slots=True)
class KeptList:
    """The placement and shards that a sender held."""

    confirmed: Stamp  # the last time at which they are certain to have been discovery's newest
    placement: PlacementUpdate
    snapshots: tuple[ShardSnapshot, ...]


def encode(kept: KeptList, shard_count: int) -> bytes:
    """Return the file's content."""
    boot, wall, monotonic, _ = kept.confirmed
    head = {"confirmed": wall, "monotonic": monotonic, "boot": boot, "shards": shard_count}
    as_of = max((snapshot.version for snapshot in kept.snapshots), default=-1)
    answer = Answer(as_of, 0.0, snapshots=kept.snapshots, placement=kept.placement)
    return orjson.dumps(head) + b"\n" + wire.encode_reply(answer)[1]


def decode(content: bytes, shard_count: int) -> KeptList:
    """Return the list in the content; KeptListError if it can't be used."""
    head_line, _, body = content.partition(b"\n")
    try:
        head = orjson.loads(head_line)
        wall, count = float(head["confirmed"]), int(head["shards"])
        monotonic = float(head.get("monotonic", math.inf))  # ahead of any clock: the wall clock is used
        confirmed = Stamp(str(head.get("boot", "")), wall, monotonic, wall)
        answer = wire.decode_reply(wire.STATUS_ANSWER, body, shard_count)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise KeptListError(f"not a list of shards: {' '.join(str(error).split())[:200]}") from None
    if count != shard_count:
        raise KeptListError(f"written for {count} shards, {shard_count} are configured")
    if not isinstance(answer, Answer) or answer.placement is None:
        raise KeptListError("placement: missing")
    return KeptList(confirmed, answer.placement, answer.snapshots)


class KeptListFile:
    """The kept list of a state folder."""

    def __init__(self, folder: Path, shard_count: int, files: Files | None = None) -> None:
        self._path, self._shard_count = folder / _FILE_NAME, shard_count
        self._files = files or SystemFiles()

    def read(self) -> KeptList | None:
        """Return the stored list; None if there is no file, KeptListError if it can't be used."""
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
        """Replace the file; OSError if the folder can't be written, KeptListError if the list is too big."""
        content = encode(kept, self._shard_count)
        if len(content) > MAX_BYTES:
            raise KeptListError(f"{len(content)} bytes, at most {MAX_BYTES} can be stored")
        replace_file(self._files, self._path, content)
