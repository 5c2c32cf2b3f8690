"""Stores shards: the records of each, the version at which it is held, and a bounded log of its changes.

A relay holds all shards. A sender holds those that it follows, with `log_limit` 0 since it answers no asks.
Most shards are at the store's own version `as_of`; the others have an entry in `_separate`. So advancing
the store costs in proportion to what has changed, not to what is held.

Versions never go back. A change to an older version is refused (`StaleVersionError`), as is one that starts
above the held version (`VersionGapError`) and one whose result doesn't have the stated digest
(`DigestMismatchError`). A refused change has no effect.
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

DEFAULT_LOG_LIMIT = 64  # changes kept per shard
COVERED_VERSIONS_KEPT = 10_000  # earlier values of `as_of`, from which deltas can start


class RefusedChangeError(ValueError):
    """A change of a shard that can't be applied; the message is one line for the operator."""


class StaleVersionError(RefusedChangeError):
    """The change leads to a version older than the held one."""


class VersionGapError(RefusedChangeError):
    """The change starts from a version newer than the held one."""


class DigestMismatchError(RefusedChangeError):
    """The result of the change doesn't have the stated digest."""


class ChangeStatus(Enum):
    """Why there is no delta or snapshot for a shard."""

    UNCHANGED = auto()
    UNKNOWN = auto()  # the content at the asker's version is not known; its digest is needed to compare


class HeldVersion(NamedTuple):
    """The version of a held shard, and the last time (own clock, s) when it was surely discovery's newest."""

    version: int
    confirmed_at: float


NOT_HELD = HeldVersion(NO_VERSION, -inf)


@dataclass(frozen=True, slots=True)
class RecordChange:
    """The effect of a change on a shard's records."""

    put: tuple[EndpointRecord, ...] = ()
    removed: tuple[EndpointRecord, ...] = ()  # as they were before

    def __bool__(self) -> bool:
        return bool(self.put or self.removed)


class _Change(NamedTuple):
    version: int
    put: tuple[EndpointRecord, ...]
    removed: tuple[str, ...]


@dataclass(slots=True)
class _Shard:
    changed: int  # version of the newest change
    log_start: int  # version after which the log is complete
    records: dict[str, EndpointRecord] = field(default_factory=dict)
    log: list[_Change] = field(default_factory=list)
    digest: int | None = None  # computed on first use


class ShardStore:
    """The records of the held shards, their versions, and their latest changes."""

    def __init__(self, shard_count: int, log_limit: int = DEFAULT_LOG_LIMIT) -> None:
        self.shard_count = shard_count
        self.as_of = NO_VERSION  # version of all shards that are not in `_separate`
        self.confirmed_at = -inf
        self._log_limit = log_limit
        self._shards: dict[int, _Shard] = {}
        self._separate: dict[int, HeldVersion] = {}
        self._recent: dict[int, int] = {}  # by shard, ordered by last change: a non-decreasing tag
        self._last_tag = NO_VERSION
        self._covered_versions: dict[int, None] = {}  # values that `as_of` has had, oldest first

    # Held shards

    def __contains__(self, shard: int) -> bool:
        return shard in self._shards

    def __len__(self) -> int:
        return len(self._shards)

    @property
    def complete(self) -> bool:
        """Whether all shards are held."""
        return len(self._shards) == self.shard_count

    def shards(self) -> Iterable[int]:
        """The held shards."""
        return self._shards.keys()

    def separate(self) -> Iterable[int]:
        """The shards whose version is tracked separately from `as_of`."""
        return self._separate.keys()

    def held_version(self, shard: int) -> HeldVersion:
        """The version of a shard and its last confirmation; `NOT_HELD` if it isn't held."""
        if shard not in self._shards:
            return NOT_HELD
        return self._separate.get(shard) or HeldVersion(self.as_of, self.confirmed_at)

    def version(self, shard: int) -> int:
        """The version of a shard; `NO_VERSION` if it isn't held."""
        return self.held_version(shard).version

    def records(self, shard: int) -> Mapping[str, EndpointRecord]:
        """The records of a shard by id; empty if it isn't held."""
        held = self._shards.get(shard)
        return held.records if held else {}

    def digest(self, shard: int) -> int:
        """The digest of a held shard."""
        held = self._shards[shard]
        if held.digest is None:
            held.digest = digest_of(held.records.values())
        return held.digest

    # Applying changes

    def apply_delta(self, delta: ShardDelta) -> RecordChange:
        """Apply a delta, which brings the shard to its version. A delta already applied changes no record."""
        known, held = self.held_version(delta.shard), self._shards.get(delta.shard)
        version = known.version
        if held is None or delta.base > version:
            raise VersionGapError(
                f"shard {delta.shard}: delta from version {delta.base}, but held at version {version}"
            )
        if delta.version < version:
            raise StaleVersionError(
                f"shard {delta.shard}: delta to version {delta.version}, but held at version {version}"
            )
        change, digest = self._preview(held, delta)
        if digest != delta.digest:
            raise DigestMismatchError(
                f"shard {delta.shard}: delta to version {delta.version} has another content"
            )
        self._commit(delta.shard, held, _Change(delta.version, delta.put, delta.removed), digest)
        self._separate[delta.shard] = HeldVersion(delta.version, known.confirmed_at)
        return change

    def apply_snapshot(self, snapshot: ShardSnapshot) -> RecordChange:
        """Replace the content of a shard; its log is cleared."""
        shard, known = snapshot.shard, self.held_version(snapshot.shard)
        if snapshot.version < known.version:
            raise StaleVersionError(
                f"shard {shard}: snapshot at version {snapshot.version}, but held at version {known.version}"
            )
        if digest_of(snapshot.records) != snapshot.digest:
            raise DigestMismatchError(
                f"shard {shard}: snapshot at version {snapshot.version} has another content"
            )
        held = self._shards.get(shard) or _Shard(NO_VERSION, NO_VERSION)
        records = {one.id: one for one in snapshot.records}
        put = tuple(one for one in snapshot.records if held.records.get(one.id) != one)
        removed = tuple(one for name, one in held.records.items() if name not in records)
        self._shards[shard] = _Shard(snapshot.version, snapshot.version, records, [], snapshot.digest)
        self._mark_changed(shard, snapshot.version)
        self._separate[shard] = HeldVersion(snapshot.version, known.confirmed_at)
        return RecordChange(put, removed)

    def apply_change(
        self, shard: int, version: int, put: tuple[EndpointRecord, ...], removed: tuple[str, ...]
    ) -> RecordChange:
        """Apply changes from discovery's own list: the state at `version` of all that changed since then."""
        held, known = self._shards[shard], self.held_version(shard)
        change, digest = self._preview(held, ShardDelta(shard, NO_VERSION, version, put, removed, 0))
        self._commit(shard, held, _Change(version, put, removed), digest)
        self._separate[shard] = HeldVersion(version, known.confirmed_at)
        return change

    def load(self, version: int, shard: int, records: Iterable[EndpointRecord]) -> None:
        """Store a shard of the first full list."""
        self._shards[shard] = _Shard(version, version, {one.id: one for one in records})
        self._mark_changed(shard, version)
        self._separate[shard] = HeldVersion(version, -inf)

    def cover(
        self,
        as_of: int,
        confirmed_at: float,
        asked: Collection[int] | None = None,
        uncovered: Collection[int] = (),
        base: int = NO_VERSION,
    ) -> None:
        """Advance the held shards to version `as_of`, as of which an answer confirmed them.

        This applies to the shards in `asked` (None: to all) that are not in `uncovered` and are held at
        version `base` or later.
        """
        before = HeldVersion(self.as_of, self.confirmed_at)
        for shard in uncovered:
            if shard in self._shards:
                self._separate.setdefault(shard, before)
        kept = set(uncovered)
        for shard, known in list(self._separate.items()):
            if shard not in kept and (asked is None or shard in asked) and base <= known.version <= as_of:
                del self._separate[shard]
        self.as_of = max(as_of, self.as_of)
        self._covered_versions[self.as_of] = None
        if len(self._covered_versions) > COVERED_VERSIONS_KEPT:
            del self._covered_versions[next(iter(self._covered_versions))]
        self.confirmed_at = max(confirmed_at, self.confirmed_at)

    def confirm(self, shard: int, as_of: int, confirmed_at: float) -> None:
        """Advance one shard, whose content was compared, to version `as_of`.

        The changes in between are not known, so its log restarts at that version.
        """
        held, known = self._shards[shard], self.held_version(shard)
        if as_of > known.version and held.changed < as_of:
            held.log_start = held.changed = as_of
            held.log.clear()
            self._mark_changed(shard, as_of)
        self._separate[shard] = HeldVersion(max(as_of, known.version), max(confirmed_at, known.confirmed_at))

    def drop(self, shard: int) -> RecordChange:
        """Remove a shard; return its records as removed."""
        held = self._shards.pop(shard, None)
        self._separate.pop(shard, None)
        self._recent.pop(shard, None)
        return RecordChange((), tuple(held.records.values())) if held else RecordChange()

    # Changes for askers

    def change_since(
        self, shard: int, base: int, digest: int | None = None
    ) -> ShardDelta | ShardSnapshot | ChangeStatus:
        """Return the change for an asker that holds the shard at version `base`, with `digest` if known.

        A delta can start only from a version that this store was at. Between two such versions an endpoint
        may have moved into a shard and out again, which this store has no record of. So an asker that has
        its versions from elsewhere sends digests.
        """
        held = self._shards.get(shard)
        if held is None:
            return ChangeStatus.UNKNOWN
        if base == NO_VERSION:
            return self.snapshot(shard)
        if digest is not None and digest == self.digest(shard):
            return ChangeStatus.UNCHANGED
        if base >= held.changed:
            return ChangeStatus.UNCHANGED if digest is None else self.snapshot(shard)
        if base == held.log_start or (base > held.log_start and base in self._covered_versions):
            return self._delta(shard, held, base)
        return ChangeStatus.UNKNOWN if digest is None else self.snapshot(shard)

    def snapshot(self, shard: int) -> ShardSnapshot:
        """Return the content of a held shard."""
        records = tuple(self._shards[shard].records.values())
        return ShardSnapshot(shard, self.version(shard), records, self.digest(shard))

    def digest_of_all(self, excluded: Collection[int] = ()) -> int:
        """Return the combined digest of all held shards except the excluded ones."""
        digest, left_out = 0, set(excluded)
        for shard in self._shards:
            if shard not in left_out:
                digest ^= self.digest(shard)
        return digest

    def shards_changed_since(self, base: int) -> list[int]:
        """Return the shards that may have changed after version `base`."""
        found = []
        for shard in reversed(self._recent):
            if self._recent[shard] <= base:
                break
            if self._shards[shard].changed > base:
                found.append(shard)
        return found

    def _delta(self, shard: int, held: _Shard, base: int) -> ShardDelta:
        put: dict[str, EndpointRecord] = {}
        removed: dict[str, None] = {}
        for change in held.log:
            if change.version <= base:
                continue
            for name in change.removed:
                put.pop(name, None)
                removed[name] = None
            for record in change.put:
                removed.pop(record.id, None)
                put[record.id] = record
        return ShardDelta(
            shard, base, self.version(shard), tuple(put.values()), tuple(removed), self.digest(shard)
        )

    # Internal

    def _preview(self, held: _Shard, delta: ShardDelta) -> tuple[RecordChange, int]:
        """Return the effect of a delta and the digest of the resulting content, without applying it."""
        digest = held.digest if held.digest is not None else digest_of(held.records.values())
        put, removed = [], []
        for name in delta.removed:
            if (old := held.records.get(name)) is not None:
                digest ^= old.digest()
                removed.append(old)
        for record in delta.put:
            old = held.records.get(record.id)
            if old != record:
                digest ^= record.digest() ^ (old.digest() if old is not None else 0)
                put.append(record)
        return RecordChange(tuple(put), tuple(removed)), digest

    def _commit(self, shard: int, held: _Shard, change: _Change, digest: int) -> None:
        for name in change.removed:
            held.records.pop(name, None)
        for record in change.put:
            held.records[record.id] = record
        held.digest, held.changed = digest, change.version
        held.log.append(change)
        while len(held.log) > self._log_limit:
            held.log_start = held.log.pop(0).version
        self._mark_changed(shard, change.version)

    def _mark_changed(self, shard: int, version: int) -> None:
        self._recent.pop(shard, None)
        self._last_tag = max(self._last_tag, version)
        self._recent[shard] = self._last_tag
