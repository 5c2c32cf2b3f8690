"""What is held of each shard: its records, as of which version, and a bounded log of deltas.

A relay holds all shards, a sender those that it follows (with `log_limit` 0: it answers nobody). Most shards
are as of one version, the store's own; those that aren't have an entry of their own in `_apart`, so that
moving on costs what has changed and not what is held.

Versions never go back: a change below what is held is refused (`StaleVersionError`), one that starts above it
too (`VersionGapError`), and one that doesn't lead to the content that it names (`DigestMismatchError`). A
refused change leaves all as it was.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from typing import NamedTuple

from mountgauge.sharding.shards import (
    NO_VERSION,
    EndpointRecord,
    ShardDelta,
    ShardSnapshot,
    digest_of,
)

DEFAULT_LOG_LIMIT = 64  # changes that are kept of a shard
STOPS_KEPT = 10_000  # versions from which deltas start


class RefusedChangeError(ValueError):
    """A change of a shard that can't be taken in; the text is one line for the operator."""


class StaleVersionError(RefusedChangeError):
    """It would lead back."""


class VersionGapError(RefusedChangeError):
    """It starts from a version past the one that is held."""


class DigestMismatchError(RefusedChangeError):
    """It doesn't lead to the content that it names."""


class Standing(Enum):
    """What a store says of a shard for which it has no change."""

    UNCHANGED = auto()
    UNKNOWN = auto()  # what was at the asker's version isn't known any more: a digest would tell


class Knowledge(NamedTuple):
    """As of which version a shard is held, and when (own clock, s) that was discovery's newest for sure."""

    version: int
    confirmed_at: float


NO_KNOWLEDGE = Knowledge(NO_VERSION, -inf)


@dataclass(frozen=True, slots=True)
class RecordChange:
    """What a change did to a shard's records."""

    put: tuple[EndpointRecord, ...] = ()
    gone: tuple[EndpointRecord, ...] = ()  # as they were

    def __bool__(self) -> bool:
        return bool(self.put or self.gone)


class _Change(NamedTuple):
    version: int
    put: tuple[EndpointRecord, ...]
    gone: tuple[str, ...]


@dataclass(slots=True)
class _Shard:
    changed: int  # no change of it is newer
    floor: int  # the log has each change after it
    records: dict[str, EndpointRecord] = field(default_factory=dict)
    log: list[_Change] = field(default_factory=list)
    digest: int | None = None  # worked out when it is first asked for


class ShardStore:
    """The records of the held shards, their versions, and the changes that led there."""

    def __init__(self, shard_count: int, log_limit: int = DEFAULT_LOG_LIMIT) -> None:
        self.shard_count = shard_count
        self.as_of = NO_VERSION  # of all shards that have no knowledge of their own
        self.confirmed_at = -inf
        self._log_limit = log_limit
        self._shards: dict[int, _Shard] = {}
        self._apart: dict[int, Knowledge] = {}
        self._recent: dict[int, int] = {}  # by shard, in the order of their last changes: a rising tag
        self._last_tag = NO_VERSION
        self._stops: dict[int, None] = {}  # the newest versions as of which all was held, oldest first

    # What is held

    def __contains__(self, shard: int) -> bool:
        return shard in self._shards

    def __len__(self) -> int:
        return len(self._shards)

    @property
    def complete(self) -> bool:
        """Whether each shard is held."""
        return len(self._shards) == self.shard_count

    def shards(self) -> Iterable[int]:
        return self._shards.keys()

    def apart(self) -> Iterable[int]:
        """The shards that aren't held as of `as_of`."""
        return self._apart.keys()

    def held_version(self, shard: int) -> Knowledge:
        if shard not in self._shards:
            return NO_KNOWLEDGE
        return self._apart.get(shard) or Knowledge(self.as_of, self.confirmed_at)

    def version(self, shard: int) -> int:
        return self.held_version(shard).version

    def records(self, shard: int) -> Mapping[str, EndpointRecord]:
        held = self._shards.get(shard)
        return held.records if held else {}

    def digest(self, shard: int) -> int:
        held = self._shards[shard]
        if held.digest is None:
            held.digest = digest_of(held.records.values())
        return held.digest

    # Taking in

    def apply_delta(self, delta: ShardDelta) -> RecordChange:
        """Take in a delta; the shard is held as of its version then. One that is no news changes nothing."""
        known, held = self.held_version(delta.shard), self._shards.get(delta.shard)
        version = known.version
        if held is None or delta.base > version:
            raise VersionGapError(f"shard {delta.shard}: delta from version {delta.base}, held is {version}")
        if delta.version < version:
            raise StaleVersionError(
                f"shard {delta.shard}: delta to version {delta.version}, held is {version}"
            )
        change, digest = self._effect(held, delta)
        if digest != delta.digest:
            raise DigestMismatchError(
                f"shard {delta.shard}: delta to version {delta.version} has another content"
            )
        self._take(delta.shard, held, _Change(delta.version, delta.put, delta.gone), digest)
        self._apart[delta.shard] = Knowledge(delta.version, known.confirmed_at)
        return change

    def apply_snapshot(self, snapshot: ShardSnapshot) -> RecordChange:
        """Take in a whole shard; its log starts anew."""
        shard, known = snapshot.shard, self.held_version(snapshot.shard)
        if snapshot.version < known.version:
            raise StaleVersionError(
                f"shard {shard}: snapshot at version {snapshot.version}, held is {known.version}"
            )
        if digest_of(snapshot.records) != snapshot.digest:
            raise DigestMismatchError(
                f"shard {shard}: snapshot at version {snapshot.version} has another content"
            )
        held = self._shards.get(shard) or _Shard(NO_VERSION, NO_VERSION)
        records = {one.id: one for one in snapshot.records}
        put = tuple(one for one in snapshot.records if held.records.get(one.id) != one)
        gone = tuple(one for name, one in held.records.items() if name not in records)
        self._shards[shard] = _Shard(snapshot.version, snapshot.version, records, [], snapshot.digest)
        self._mark(shard, snapshot.version)
        self._apart[shard] = Knowledge(snapshot.version, known.confirmed_at)
        return RecordChange(put, gone)

    def apply_change(
        self, shard: int, version: int, put: tuple[EndpointRecord, ...], gone: tuple[str, ...]
    ) -> RecordChange:
        """From the only writer's own list: what was touched since what is held, as it is at `version`."""
        held, known = self._shards[shard], self.held_version(shard)
        change, digest = self._effect(held, ShardDelta(shard, NO_VERSION, version, put, gone, 0))
        self._take(shard, held, _Change(version, put, gone), digest)
        self._apart[shard] = Knowledge(version, known.confirmed_at)
        return change

    def start(self, version: int, shard: int, records: Iterable[EndpointRecord]) -> None:
        """A shard of the first whole list."""
        self._shards[shard] = _Shard(version, version, {one.id: one for one in records})
        self._mark(shard, version)
        self._apart[shard] = Knowledge(version, -inf)

    def cover(
        self,
        as_of: int,
        confirmed_at: float,
        asked: Collection[int] | None = None,
        uncovered: Collection[int] = (),
        base: int = NO_VERSION,
    ) -> None:
        """All that is held, of `asked` (None: all shards) but for `uncovered`, is as of this version, where
        it was held as of `base` or later.
        """
        before = Knowledge(self.as_of, self.confirmed_at)
        for shard in uncovered:
            if shard in self._shards:
                self._apart.setdefault(shard, before)
        kept = set(uncovered)
        for shard, known in list(self._apart.items()):
            if shard not in kept and (asked is None or shard in asked) and base <= known.version <= as_of:
                del self._apart[shard]
        self.as_of = max(as_of, self.as_of)
        self._stops[self.as_of] = None
        if len(self._stops) > STOPS_KEPT:
            del self._stops[next(iter(self._stops))]
        self.confirmed_at = max(confirmed_at, self.confirmed_at)

    def settle(self, shard: int, as_of: int, confirmed_at: float) -> None:
        """One shard is as of this version, as its content showed: what was between isn't known."""
        held, known = self._shards[shard], self.held_version(shard)
        if as_of > known.version and held.changed < as_of:
            held.floor = held.changed = as_of
            held.log.clear()
            self._mark(shard, as_of)
        self._apart[shard] = Knowledge(max(as_of, known.version), max(confirmed_at, known.confirmed_at))

    def drop(self, shard: int) -> RecordChange:
        """Forget a shard."""
        held = self._shards.pop(shard, None)
        self._apart.pop(shard, None)
        self._recent.pop(shard, None)
        return RecordChange((), tuple(held.records.values())) if held else RecordChange()

    # Answering

    def since(
        self, shard: int, base: int, digest: int | None = None
    ) -> ShardDelta | ShardSnapshot | Standing:
        """What an asker lacks that holds the shard as of `base`, with this digest where it says so.

        A delta starts only from a version as of which the shard was held here. Between two of those an
        endpoint may have come to another shard and gone again, of which nothing is known; so an asker that
        has its versions from elsewhere says its digests.
        """
        held = self._shards.get(shard)
        if held is None:
            return Standing.UNKNOWN
        if base == NO_VERSION:
            return self.snapshot(shard)
        if digest is not None and digest == self.digest(shard):
            return Standing.UNCHANGED
        if base >= held.changed:
            return Standing.UNCHANGED if digest is None else self.snapshot(shard)
        if base == held.floor or (base > held.floor and base in self._stops):
            return self._delta(shard, held, base)
        return Standing.UNKNOWN if digest is None else self.snapshot(shard)

    def snapshot(self, shard: int) -> ShardSnapshot:
        records = tuple(self._shards[shard].records.values())
        return ShardSnapshot(shard, self.version(shard), records, self.digest(shard))

    def digest_of_all(self, but: Collection[int] = ()) -> int:
        """Of the shards that are held, but for these."""
        found, left_out = 0, set(but)
        for shard in self._shards:
            if shard not in left_out:
                found ^= self.digest(shard)
        return found

    def changed_since(self, base: int) -> list[int]:
        """The shards that may have changed after `base`."""
        found = []
        for shard in reversed(self._recent):
            if self._recent[shard] <= base:
                break
            if self._shards[shard].changed > base:
                found.append(shard)
        return found

    def _delta(self, shard: int, held: _Shard, base: int) -> ShardDelta:
        put: dict[str, EndpointRecord] = {}
        gone: dict[str, None] = {}
        for change in held.log:
            if change.version <= base:
                continue
            for name in change.gone:
                put.pop(name, None)
                gone[name] = None
            for record in change.put:
                gone.pop(record.id, None)
                put[record.id] = record
        return ShardDelta(
            shard, base, self.version(shard), tuple(put.values()), tuple(gone), self.digest(shard)
        )

    # Within

    def _effect(self, held: _Shard, delta: ShardDelta) -> tuple[RecordChange, int]:
        """What a delta would do, and the digest of the content that it leads to."""
        digest = held.digest if held.digest is not None else digest_of(held.records.values())
        put, gone = [], []
        for name in delta.gone:
            if (old := held.records.get(name)) is not None:
                digest ^= old.digest()
                gone.append(old)
        for record in delta.put:
            old = held.records.get(record.id)
            if old != record:
                digest ^= record.digest() ^ (old.digest() if old is not None else 0)
                put.append(record)
        return RecordChange(tuple(put), tuple(gone)), digest

    def _take(self, shard: int, held: _Shard, change: _Change, digest: int) -> None:
        for name in change.gone:
            held.records.pop(name, None)
        for record in change.put:
            held.records[record.id] = record
        held.digest, held.changed = digest, change.version
        held.log.append(change)
        while len(held.log) > self._log_limit:
            held.floor = held.log.pop(0).version
        self._mark(shard, change.version)

    def _mark(self, shard: int, version: int) -> None:
        self._recent.pop(shard, None)
        self._last_tag = max(self._last_tag, version)
        self._recent[shard] = self._last_tag
