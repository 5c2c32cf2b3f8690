"""Replicated counts: how many messages each incarnation of a member accepted, by tenant.

An incarnation is one uninterrupted sequence of counts of one member. It survives restarts of the process as
long as the member keeps its state file. Only its owner adds to it, so the state of a replica is a map
(incarnation, tenant) -> count that only grows, and two states are joined by the larger count: a G-counter
(Shapiro et al., "A comprehensive study of Convergent and Commutative Replicated Data Types", INRIA 7506,
2011). Differences between replicas are found as in Scuttlebutt (van Renesse et al., "Efficient
Reconciliation and Flow Control for Anti-Entropy Protocols", LADIS 2008): each change carries the next version
of its incarnation, and a delta holds the changes since a version in the order of their versions, so any
prefix of a delta can be used. A checksum for each incarnation reveals differences that versions alone miss.

An incarnation that ended is folded into `past`, one sum by tenant, once all members hold the same counts of
it; `gossip.folding` decides when. `past_id` identifies the set of folded incarnations, so two replicas with
the same `past_id` hold the same sums.

Bounds: `max_tenants` tenants, `MAX_INCARNATIONS` incarnations (20 bytes a tenant each), `MAX_FOLDED`
identifiers of folded incarnations. What exceeds the first two is ignored and counted in `over_limit`; beyond
the third the oldest identifier is dropped.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

MAX_INCARNATIONS = 512
MAX_FOLDED = 8192
_MAX_RECENT_CHANGES = 2048  # of an incarnation; they are found without a scan of all its tenants
_MAX_RANGES_AFTER_GAP = 64  # of versions of an incarnation
_UNLIMITED_BYTES = 1 << 40
_CHECKSUM_MASK = (1 << 63) - 1


class Entry(NamedTuple):
    """One tenant's counts in an incarnation. `demand` is in tenths of a message per second."""

    key: int
    accepted: int
    version: int
    demand: int


class Mark(NamedTuple):
    """What a replica holds of an incarnation: the version, and a checksum of all counts."""

    version: int
    check: int


class Incarnation:
    """The counts of one incarnation of a member, as far as this replica holds them."""

    __slots__ = (
        "check", "count", "demand", "id", "is_current", "name", "ranges_after_gap", "recent_changes",
        "recent_floor", "version", "version_times", "versions",
    )  # fmt: skip

    def __init__(self, id: int, name: str, capacity: int) -> None:
        self.id, self.name = id, name
        self.version = self.check = 0
        self.count, self.versions = array("q", bytes(8 * capacity)), array("q", bytes(8 * capacity))
        self.demand = array("l", bytes(array("l").itemsize * capacity))
        # (version, tenant index), by rising version
        self.recent_changes: deque[tuple[int, int]] = deque(maxlen=_MAX_RECENT_CHANGES)
        self.recent_floor = 0  # all changes above this version are in `recent_changes`
        self.ranges_after_gap: list[tuple[int, int]] = []  # versions received beyond a missing range
        self.version_times: deque[tuple[float, int]] = deque(maxlen=64)  # when which version was reached
        self.is_current = False  # whether new counts of it were accepted just now, not reported late

    @property
    def mark(self) -> Mark:
        return Mark(self.version, self.check)

    @property
    def newest_version(self) -> int:
        """The highest version held, also of changes beyond a missing range."""
        recorded = self.recent_changes[-1][0] if self.recent_changes else self.recent_floor
        return max(self.version, recorded)

    @property
    def used(self) -> int:
        return sum(self.count)

    def grow(self, capacity: int) -> None:
        for numbers in (self.count, self.versions, self.demand):
            numbers.extend([0] * (capacity - len(numbers)))

    def record_change(self, index: int, version: int) -> None:
        self.versions[index] = version
        newest = self.recent_changes[-1][0] if self.recent_changes else self.recent_floor
        if version > newest:
            if len(self.recent_changes) == _MAX_RECENT_CHANGES:
                self.recent_floor = self.recent_changes[0][0]
            self.recent_changes.append((version, index))
        else:  # out of order: changes up to `newest` are found by a scan from now on
            self.recent_changes.clear()
            self.recent_floor = newest

    def changed_since(self, version: int) -> list[int]:
        """Indexes of the tenants that changed after this version, in the order of their versions."""
        if version >= self.recent_floor:
            found = []
            for at, index in reversed(self.recent_changes):
                if at <= version:
                    break
                if self.versions[index] == at:
                    found.append(index)
            found.reverse()
            return found
        changed = [index for index, at in enumerate(self.versions) if at > version]
        changed.sort(key=self.versions.__getitem__)
        return changed


class Counts:
    """One replica of the counts. This process adds to the incarnation `own`."""

    def __init__(self, keys: Iterable[int], max_tenants: int, own: int, name: str) -> None:
        self.keys = list(keys)
        self.index_of = {key: index for index, key in enumerate(self.keys)}
        self.max_tenants = max(max_tenants, len(self.keys))
        self.incarnations: dict[int, Incarnation] = {}
        self.past = [0] * len(self.keys)
        self.folded: OrderedDict[int, Mark] = OrderedDict()
        self.past_id = 0  # exclusive or of the identifiers of the folded incarnations
        self.folded_count = 0  # folded incarnations, also those whose identifiers were dropped
        self.total = [0] * len(self.keys)  # all incarnations and the past, by tenant
        self.quota_total = [0] * len(self.keys)  # as `total`, without counts that were reported late
        self.over_limit = 0
        incarnation = self.incarnation(own, name)
        assert incarnation is not None
        self.own = incarnation
        incarnation.is_current = True

    # Tenants and incarnations

    def tenant_index(self, key: int) -> int | None:
        """The index of a tenant, which is added if `max_tenants` allows; None otherwise."""
        if (index := self.index_of.get(key)) is not None:
            return index
        if len(self.keys) >= self.max_tenants:
            self.over_limit += 1
            return None
        self.index_of[key] = index = len(self.keys)
        self.keys.append(key)
        for numbers in (self.past, self.total, self.quota_total):
            numbers.append(0)
        capacity = max(8, len(self.keys) * 5 // 4)
        for incarnation in self.incarnations.values():
            if len(incarnation.count) < len(self.keys):
                incarnation.grow(capacity)
        return index

    def incarnation(self, id: int, name: str = "") -> Incarnation | None:
        """An incarnation, which is added if needed; None if it is folded or `MAX_INCARNATIONS` is reached."""
        if (found := self.incarnations.get(id)) is not None:
            found.name = found.name or name
            return found
        if id in self.folded:
            return None
        if len(self.incarnations) >= MAX_INCARNATIONS:
            self.over_limit += 1
            return None
        found = self.incarnations[id] = Incarnation(id, name, max(8, len(self.keys)))
        return found

    # Counting

    def add(self, index: int, accepted: int, demand: int) -> Entry:
        """Add messages that this member accepted, as its next version. OverflowError past 2**63 - 1."""
        own = self.own
        version = own.version + 1
        own.count[index] += accepted
        own.demand[index] = demand
        own.record_change(index, version)
        own.version = version
        own.check = (own.check + accepted * self.keys[index]) & _CHECKSUM_MASK
        self.total[index] += accepted
        self.quota_total[index] += accepted
        return Entry(self.keys[index], own.count[index], version, demand)

    def join(self, id: int, name: str, after: int, upto: int, entries: Iterable[Entry]) -> int:
        """Merge a delta: all changes of an incarnation after one version, up to another.

        Returns the number of entries that raised a count. Joining is commutative, associative and idempotent
        in the counts. A delta beyond a missing range of versions is merged too; only the missing range
        remains to be requested.
        """
        incarnation = self.incarnation(id, name)
        if incarnation is None:
            return 0
        new = 0
        for key, count, version, demand in entries:
            index = self.tenant_index(key)
            if index is None:
                continue
            more = count - incarnation.count[index]
            if more > 0:
                new += 1
                incarnation.count[index] = count
                incarnation.check = (incarnation.check + more * key) & _CHECKSUM_MASK
                self.total[index] += more
                if incarnation.is_current:
                    self.quota_total[index] += more
            if version > incarnation.versions[index]:
                incarnation.demand[index] = demand
                incarnation.record_change(index, version)
        if upto > incarnation.version:
            # A range beyond a gap raises the version only once the gap is closed.
            incarnation.ranges_after_gap.append((after, upto))
            incarnation.ranges_after_gap.sort()
            while incarnation.ranges_after_gap and incarnation.ranges_after_gap[0][0] <= incarnation.version:
                incarnation.version = max(incarnation.version, incarnation.ranges_after_gap.pop(0)[1])
            del incarnation.ranges_after_gap[_MAX_RANGES_AFTER_GAP:]
        return new

    def delta(
        self, incarnation: Incarnation, after: int, max_bytes: int, last: int | None = None
    ) -> tuple[int, list[Entry]]:
        """The changes of an incarnation after a version that fit into `max_bytes`, and their last version.

        Changes beyond version `last` are left out; by default those beyond a missing range. A `last` above
        the incarnation's version adds those: they are not all changes up to it.
        """
        found: list[Entry] = []
        upto = incarnation.version if last is None else last
        for index in incarnation.changed_since(after):
            if incarnation.versions[index] > upto:
                break
            entry = Entry(
                self.keys[index],
                incarnation.count[index],
                incarnation.versions[index],
                incarnation.demand[index],
            )
            max_bytes -= max_entry_bytes(entry)
            if max_bytes < 0:
                upto = found[-1].version if found else after
                break
            found.append(entry)
        return upto, found

    def all_changes(self, incarnation: Incarnation) -> list[Entry]:
        """All changes of an incarnation that are held, also those beyond a missing range."""
        return self.delta(incarnation, 0, _UNLIMITED_BYTES, incarnation.newest_version)[1]

    def set_own(self, id: int, name: str) -> Incarnation:
        """Add to another incarnation from now on; the old one stays as it is."""
        incarnation = self.incarnation(id, name)
        assert incarnation is not None
        incarnation.is_current = True
        self.own = incarnation
        return incarnation

    def clear(self) -> None:
        """Remove everything but the tenants, before a start under a new incarnation."""
        self.incarnations.clear()
        self.folded.clear()
        self.past = [0] * len(self.keys)
        self.total = [0] * len(self.keys)
        self.past_id = self.folded_count = 0

    # Incarnations that ended

    def fold(self, id: int) -> None:
        """Add an incarnation that ended to the past: only once, and only if none of its counts is missing."""
        incarnation = self.incarnations.pop(id)
        assert incarnation is not self.own
        for index, count in enumerate(incarnation.count[: len(self.keys)]):
            self.past[index] += count
        self._record_folded(id, incarnation.mark)

    def _record_folded(self, id: int, mark: Mark) -> None:
        self.folded[id] = mark
        self.past_id ^= id
        self.folded_count += 1
        if len(self.folded) > MAX_FOLDED:
            self.folded.popitem(last=False)

    def adopt(
        self, past: dict[int, int], folded: Sequence[tuple[int, Mark]], folded_count: int, id: int
    ) -> bool:
        """Replace the past by that of another replica, which must contain it.

        Returns False, with nothing changed, if this replica has folded an incarnation that the other has not.
        """
        folded_ids = {one for one, _ in folded}
        if not set(self.folded) <= folded_ids or folded_count < self.folded_count:
            return False
        for one in folded_ids & set(self.incarnations):
            if one == self.own.id:
                return False
            del self.incarnations[one]
        indexes = [(self.tenant_index(key), count) for key, count in past.items()]
        self.past = [0] * len(self.keys)
        for index, count in indexes:
            if index is not None:
                self.past[index] = count
        self.folded = OrderedDict(folded)
        self.folded_count, self.past_id = folded_count, id
        self.total = [
            self.past[i] + sum(incarnation.count[i] for incarnation in self.incarnations.values())
            for i in range(len(self.keys))
        ]
        return True


def max_entry_bytes(entry: Entry) -> int:
    """Upper bound of an entry's size in MessagePack; faster than the sum of the sizes of its numbers."""
    _, accepted, version, demand = entry
    return 11 + (3 if accepted < 65536 else 9) + (3 if version < 65536 else 9) + (3 if demand < 65536 else 9)


def msgpack_uint_bytes(number: int) -> int:
    """Size of a non-negative integer in MessagePack (specification, 2013, 'int format family')."""
    return 1 if number < 128 else 2 if number < 256 else 3 if number < 65536 else 5 if number < 1 << 32 else 9
