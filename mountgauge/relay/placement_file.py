"""File of a relay's placement in its state folder, so that pending moves resume after a restart.

It holds one JSON object and is replaced atomically. If it can't be used, it is ignored: the placement is then
computed from the members' file.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from mountgauge.core.config import ConfigError
from mountgauge.sharding.members import Member
from mountgauge.sharding.placement import Checkpoint, Placement, PlacementSettings
from mountgauge.sharding.rebalance import Move

MAX_BYTES = 256 << 20
_FILE_NAME = "placement"


class PlacementFileError(ValueError):
    """The file can't be used; the text is one line for the operator."""


def encode(checkpoint: Checkpoint, settings: PlacementSettings) -> bytes:
    """Return the file's content."""
    return orjson.dumps({
        "shards": settings.shard_count, "replicas": settings.replicas,
        "epoch": checkpoint.epoch, "revision": checkpoint.revision,
        "members": [(member.name, member.zone, member.weight, member.since, member.until)
                    for member in checkpoint.members],
        "groups": checkpoint.groups, "table": checkpoint.table,
        "pending": [(move.shard, move.source, move.target) for move in checkpoint.pending],
    })  # fmt: skip


def decode(content: bytes, settings: PlacementSettings) -> Checkpoint:
    """Return the checkpoint in the content; PlacementFileError if it can't be used with these settings."""
    try:
        raw = orjson.loads(content)
        stored = (raw["shards"], raw["replicas"])
        checkpoint = _checkpoint(raw)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise PlacementFileError(f"not a placement: {' '.join(repr(error).split())[:200]}") from None
    expected = (settings.shard_count, settings.replicas)
    if stored != expected or len(checkpoint.table) != settings.shard_count:
        raise PlacementFileError(
            f"{stored[0]} shards with {stored[1]} replicas, expected {expected[0]} with {expected[1]}"
        )
    members = {member.name for member in checkpoint.members}
    if any(name not in members for name, _ in checkpoint.groups) or len(checkpoint.groups) != len(members):
        raise PlacementFileError("groups and members differ")
    return checkpoint


def _checkpoint(raw: Mapping[str, Any]) -> Checkpoint:
    members = tuple(
        Member(str(name), str(zone), float(weight), int(since), int(until))
        for name, zone, weight, since, until in raw["members"]
    )
    return Checkpoint(
        epoch=int(raw["epoch"]),
        revision=int(raw["revision"]),
        members=members,
        groups=tuple((str(name), str(group)) for name, group in raw["groups"]),
        table=tuple(tuple(map(str, names)) for names in raw["table"]),
        pending=tuple(Move(int(shard), source, target) for shard, source, target in raw["pending"]),
    )


class PlacementFile:
    """The placement file of a state folder."""

    def __init__(self, folder: Path, settings: PlacementSettings) -> None:
        self._path, self._settings = folder / _FILE_NAME, settings

    def read(self) -> Placement | None:
        """Return the stored placement; None if there is no file, PlacementFileError if it can't be used."""
        try:
            if self._path.stat().st_size > MAX_BYTES:
                raise PlacementFileError(f"more than {MAX_BYTES} bytes")
            content = self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise PlacementFileError(f"{self._path}: {error.strerror}") from None
        return Placement.restore(decode(content, self._settings), self._settings)

    def write(self, placement: Placement) -> None:
        """Replace the file; OSError if the folder can't be written."""
        new = self._path.with_suffix(".new")
        new.write_bytes(encode(placement.checkpoint(), self._settings))
        os.replace(new, self._path)

    def make_folder(self) -> None:
        """Create the folder; ConfigError if that fails."""
        folder = self._path.parent
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise ConfigError(f"state: {error.strerror}: {folder}") from None
