"""Follows discovery's list directly, as the relays at the top of the tree do.

The full list is requested at the start, and its changes by index and wait from then on. An unreadable entry
leaves its shard as it was, and the full list is requested again after `reread_s`. An unreadable entry whose
shard can't be determined leaves everything as it was. A list with an older version is refused. Each
endpoint is in discovery's list once: when it moves to another destination, it is removed from its old
shard. `upstream` describes how this class is driven.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from random import Random
from typing import Any

from mountgauge.sharding.shards import (
    NO_VERSION,
    EndpointRecord,
    EndpointState,
    ShardSnapshot,
    UnreadableRecordError,
    digest_of,
    shard_of,
)
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.timing import Timing
from mountgauge.sharding.upstream import NO_UPDATE, ListCall, Rejection, Update

SOURCE = "discovery"


class UnreadableListError(ValueError):
    """Discovery's answer is not a list of endpoints; the message is one line for the operator."""


class ListWatch:
    """Follows discovery's list by index and wait, and stores it by shard."""

    def __init__(self, store: ShardStore, timing: Timing, rng: Random) -> None:
        self.store, self._timing, self._rng = store, timing, rng
        self._shards: dict[str, int] = {}  # by endpoint id
        self._in_flight: ListCall | None = None
        self._call_number = 0
        self._failures = 0  # consecutive
        self._not_before = -inf
        self._full_list_at = -inf  # when to request the full list; inf: not needed

    @property
    def ready(self) -> bool:
        """Whether a full list has been received."""
        return self.store.as_of != NO_VERSION

    def age(self, now: float) -> float:
        """Return the seconds since discovery surely confirmed the held version as its newest."""
        return now - self.store.confirmed_at

    def poll(self, now: float) -> list[ListCall]:
        """Return the calls to make now."""
        if self._in_flight is not None or now < self._not_before:
            return []
        full = now >= self._full_list_at
        index, wait = (None, 0.0) if full else (self.store.as_of, self._timing.wait_s)
        limit = self._timing.list_limit_s if full else self._timing.limit_s
        self._call_number += 1
        self._in_flight = ListCall(self._call_number, index, wait, limit, now)
        return [self._in_flight]

    def wakes_at(self, now: float) -> float:
        """Return when to poll next if there is no input before."""
        return inf if self._in_flight is not None else max(now, self._not_before)

    def answered(self, call: ListCall, body: object, now: float) -> Update:
        """Process an answer of discovery; `body` is the parsed JSON."""
        if call is not self._in_flight:
            return NO_UPDATE
        self._in_flight = None
        try:
            update = self._apply_answer(call, body, now)
        except UnreadableListError as error:
            self._pause(now)
            return Update(rejections=(Rejection(SOURCE, str(error)),))
        self._failures = 0
        return update

    def failed(self, call: ListCall, now: float, silent: bool = False) -> None:
        """Record a call without an answer: refused, reset or (`silent`) timed out after `limit_s`."""
        if call is not self._in_flight:
            return
        self._in_flight = None
        if silent and self._failures == 0:
            self._failures = 1  # a single message may have been lost: repeat the call at once
        else:
            self._pause(now)

    # Internal

    def _pause(self, now: float) -> None:
        self._failures += 1
        self._not_before = now + self._timing.pause_s(self._failures, self._rng.random())

    def _apply_answer(self, call: ListCall, body: object, now: float) -> Update:
        version, full, entries = _fields(body)
        if version < self.store.as_of:
            raise UnreadableListError(f"version went back from {self.store.as_of} to {version}")
        if call.index is None and not full:
            raise UnreadableListError("got changes, but the full list was requested")
        records, bad, rejections = self._read(entries, full)
        changed = (
            self._apply_full(version, records, bad) if full else self._apply_delta(version, records, bad)
        )
        uncovered = bad | (set(self.store.separate()) - changed if not full else set())
        # The answer was current when it was sent, which is not before its call was made.
        self.store.cover(version, call.made_at, None, uncovered)
        if bad:
            self._full_list_at = now + self._timing.reread_s
        elif full:
            self._full_list_at = inf
        return Update(frozenset(changed), rejections=tuple(rejections))

    def _read(
        self, entries: list[Any], full: bool
    ) -> tuple[dict[str, EndpointRecord], set[int], list[Rejection]]:
        """Return the records by id, the shards of unreadable entries, and why each of those is rejected."""
        records: dict[str, EndpointRecord] = {}
        bad: set[int] = set()
        rejections = []
        for entry in entries:
            try:
                record = EndpointRecord.from_line(entry)
                if full and record.id in records:
                    raise UnreadableRecordError(f"endpoint {record.id[:80]!r}: listed twice")
                if full and record.state is EndpointState.LEFT:
                    raise UnreadableRecordError(f"endpoint {record.id[:80]!r}: state 'left' in a full list")
            except UnreadableRecordError as error:
                bad |= self._shards_of_unreadable(entry, records, str(error))
                rejections.append(Rejection(SOURCE, str(error)))
                continue
            records[record.id] = record
        if full and entries and not records:
            raise UnreadableListError(f"no entry can be read: {rejections[0].reason}")
        return records, bad, rejections

    def _shards_of_unreadable(
        self, entry: object, records: Mapping[str, EndpointRecord], reason: str
    ) -> set[int]:
        """Return the shards that an unreadable entry may concern; UnreadableListError if there is no hint."""
        found = set()
        if isinstance(entry, Mapping):
            name, cell = entry.get("id"), entry.get("cell")
            if isinstance(name, str) and name in self._shards:
                found.add(self._shards[name])
            if isinstance(name, str) and name in records:
                found.add(self._shard(records[name]))
            if isinstance(cell, int) and not isinstance(cell, bool) and cell >= 0:
                found.add(self._shard_of(cell))
        if not found:
            raise UnreadableListError(reason)
        return found

    def _shard_of(self, destination: int) -> int:
        return shard_of(destination, self.store.shard_count)

    def _shard(self, record: EndpointRecord) -> int:
        return self._shard_of(record.destination)

    def _apply_delta(self, version: int, records: Mapping[str, EndpointRecord], bad: set[int]) -> set[int]:
        """Apply changes; return the shards that have changed."""
        put: dict[int, list[EndpointRecord]] = {}
        removed: dict[int, list[str]] = {}
        for record in records.values():
            shard, before = self._shard(record), self._shards.get(record.id)
            if before is not None and before != shard:
                removed.setdefault(before, []).append(record.id)
            if record.state is EndpointState.LEFT:
                removed.setdefault(shard, []).append(record.id)
            else:
                put.setdefault(shard, []).append(record)
        separate = set(self.store.separate())
        changed = set()
        for shard in put.keys() | removed.keys():
            if shard in bad or shard in separate or shard not in self.store:
                bad.add(shard)
                continue
            changed_records, removed_ids = tuple(put.get(shard, ())), tuple(removed.get(shard, ()))
            self.store.apply_change(shard, version, changed_records, removed_ids)
            self._update_index(shard, changed_records, removed_ids)
            changed.add(shard)
        return changed

    def _update_index(self, shard: int, put: tuple[EndpointRecord, ...], removed: tuple[str, ...]) -> None:
        for name in removed:
            if self._shards.get(name) == shard:
                del self._shards[name]
        for record in put:
            self._shards[record.id] = shard

    def _apply_full(self, version: int, records: Mapping[str, EndpointRecord], bad: set[int]) -> set[int]:
        """Apply a full list; return the shards that have changed."""
        by_shard: dict[int, list[EndpointRecord]] = {}
        for record in records.values():
            by_shard.setdefault(self._shard(record), []).append(record)
        first, separate = not self.ready, set(self.store.separate())
        changed = set()
        for shard in range(self.store.shard_count):
            listed = by_shard.get(shard, [])
            if shard in bad:
                continue
            if first or shard not in self.store:
                self.store.load(version, shard, listed)
            elif shard in separate:
                self.store.apply_snapshot(ShardSnapshot(shard, version, tuple(listed), digest_of(listed)))
            elif not self._replace(version, shard, listed):
                continue
            changed.add(shard)
        self._shards = {
            one.id: shard for shard in self.store.shards() for one in self.store.records(shard).values()
        }
        return changed

    def _replace(self, version: int, shard: int, listed: list[EndpointRecord]) -> bool:
        """Bring one shard to its content in the full list; return whether that changed it."""
        held, listed_by_id = self.store.records(shard), {one.id: one for one in listed}
        put = tuple(one for one in listed if held.get(one.id) != one)
        removed = tuple(name for name in held if name not in listed_by_id)
        if put or removed:
            self.store.apply_change(shard, version, put, removed)
        return bool(put or removed)


def _fields(body: object) -> tuple[int, bool, list[Any]]:
    """Return the version, whether the list is full, and its entries."""
    if not isinstance(body, Mapping):
        raise UnreadableListError(f"not a list of endpoints: {str(body)[:80]!r}")
    version, full, entries = body.get("version"), body.get("full"), body.get("servers")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise UnreadableListError(f"not a version: {str(version)[:80]!r}")
    if not isinstance(full, bool) or not isinstance(entries, list):
        raise UnreadableListError("not a list of endpoints: full or servers missing")
    return version, full, entries
