"""A relay: follows discovery or another relay, and answers the asks of its followers. Pure.

Upstream it is driven by `poll`, `answered`, `failed` and `wakes_at`, as `upstream` describes. For each
received ask, `ask` returns a reply, or a `HeldAsk` if there is no change yet. After any of these calls, and
at the time that `wakes_at` returns, `take_ready` returns the replies to held asks that are due. `drop`
discards a held ask whose connection has closed.

A relay answers no asks before it has all shards, and never with an older version than the asker holds: when
it is behind, it holds the ask, and answers on expiry by how many versions it is behind. The cost of an
ask is proportional to its positions and their changes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from math import inf
from typing import TypeVar

from mountgauge.sharding.admission import SnapshotAdmission
from mountgauge.sharding.list_watch import ListWatch
from mountgauge.sharding.messages import (
    Answer,
    Ask,
    PlacementUpdate,
    Position,
    Refusal,
    RefusalReason,
    Reply,
)
from mountgauge.sharding.placement import Placement
from mountgauge.sharding.shards import NO_VERSION, ShardDelta, ShardSnapshot
from mountgauge.sharding.store import ChangeStatus, ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.upstream import Call, ListCall, RelayCall, Update

_Key = TypeVar("_Key", int, str)
COUNTER_NAMES = ("asks", "answers", "deltas", "snapshots", "put_off", "refused", "behind")
REFUSED_RETRY_S = 1.0  # required wait in a refusal


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Limits on the snapshots that a relay sends and on the asks that it holds."""

    snapshots_per_s: float = 2_000.0
    snapshot_burst: int = 2_000
    max_held_asks: int = 8_192
    max_wait_s: float = 60.0


@dataclass(frozen=True, slots=True)
class HeldAsk:
    """There is no change for the asker yet; `take_ready` returns the reply by this number."""

    number: int


@dataclass(frozen=True, slots=True)
class _HeldEntry:
    """A held ask, and when it was received and expires."""

    number: int
    ask: Ask
    since: float
    until: float


@dataclass(slots=True)
class _Changes:
    """The changes for an asker."""

    deltas: list[ShardDelta]
    snapshots: list[ShardSnapshot]
    uncovered: list[int]
    retry_after_s: float = 0.0

    @property
    def should_answer(self) -> bool:
        """Whether to answer before the wait has passed."""
        return bool(self.deltas or self.snapshots or self.retry_after_s > 0)


class Relay:
    """Answers the asks of followers from the shards that it follows itself."""

    def __init__(
        self, name: str, upstream: Subscription | ListWatch, settings: RelaySettings,
        placement: Placement | None = None, run: int = 0,
    ) -> None:  # fmt: skip
        """`run` must differ at each start: it makes followers compare their digests again."""
        self.name, self.upstream, self.placement = name, upstream, placement
        self.store: ShardStore = upstream.store
        self.counts = Counter(dict.fromkeys(COUNTER_NAMES, 0))
        self._settings, self._run = settings, run
        self._admission = SnapshotAdmission(settings.snapshots_per_s, settings.snapshot_burst)
        self._held: dict[int, _HeldEntry] = {}
        self._by_shard: dict[int, set[int]] = {}
        self._by_asker: dict[str, set[int]] = {}
        self._any_version: set[int] = set()  # held asks that any new version can answer
        self._deadlines: list[tuple[float, int]] = []  # heap: when each held ask expires
        self._to_check: set[int] = set()
        self._last_number = 0

    # Upstream

    def poll(self, now: float) -> list[Call]:
        """Return the calls to make now."""
        return [*self.upstream.poll(now)]

    def answered(self, call: Call, reply: object, now: float) -> Update:
        """Process a reply: a `Reply` to a `RelayCall`, or the parsed JSON to a `ListCall`."""
        as_of, ready = self.store.as_of, self.upstream.ready
        update = self._pass_to_upstream(call, reply, now)
        for shard in update.shards:
            self._to_check |= self._by_shard.get(shard, set())
        if self.store.as_of != as_of or self.upstream.ready != ready:
            self._to_check |= self._any_version
        return update

    def _pass_to_upstream(self, call: Call, reply: object, now: float) -> Update:
        if isinstance(self.upstream, ListWatch):
            assert isinstance(call, ListCall)
            return self.upstream.answered(call, reply, now)
        assert isinstance(call, RelayCall) and isinstance(reply, Answer | Refusal)
        return self.upstream.answered(call, reply, now)

    def failed(self, call: Call, now: float, silent: bool = False) -> None:
        """Record a call without an answer: refused, reset or (`silent`) timed out after `limit_s`."""
        if isinstance(self.upstream, ListWatch):
            assert isinstance(call, ListCall)
            self.upstream.failed(call, now, silent)
        else:
            assert isinstance(call, RelayCall)
            self.upstream.failed(call, now, silent)

    def wakes_at(self, now: float) -> float:
        """Return when to call `poll` and `take_ready` next if there is no input before."""
        if self._to_check:
            return now
        while self._deadlines and self._deadlines[0][1] not in self._held:
            heappop(self._deadlines)
        return min(self.upstream.wakes_at(now), self._deadlines[0][0] if self._deadlines else inf)

    def placement_changed(self, members: Collection[str]) -> None:
        """Mark the held asks of these members as due: their placement has changed."""
        for name in members:
            self._to_check |= self._by_asker.get(name, set())

    # Followers

    def ask(self, ask: Ask, now: float) -> Reply | HeldAsk:
        """Reply to an ask, or hold it."""
        self.counts["asks"] += 1
        if not self.upstream.ready:
            return self._refuse(RefusalReason.NOT_READY, REFUSED_RETRY_S)
        if len(self._held) >= self._settings.max_held_asks:
            return self._refuse(RefusalReason.BUSY, REFUSED_RETRY_S)
        if (answer := self._answer(ask, now, expired=ask.wait_s <= 0)) is not None:
            return self._count(answer)
        return self._hold(ask, now)

    def drop(self, number: int) -> None:
        """Discard a held ask, whose asker has disconnected."""
        self._release(number)

    def asker_gone(self, asker: str) -> None:
        """Give up what is reserved for an asker, whose connection is used under another name now."""
        self._admission.release(asker)

    def take_ready(self, now: float) -> list[tuple[int, Reply]]:
        """Return the replies to held asks that are due, by number."""
        expired = set()
        while self._deadlines and self._deadlines[0][0] <= now:
            expired.add(heappop(self._deadlines)[1])
        replies: list[tuple[int, Reply]] = []
        to_check, self._to_check = self._to_check | expired, set()
        for number in sorted(to_check):
            held = self._held.get(number)
            if held is None:
                continue
            answer = self._answer(held.ask, now, expired=number in expired)
            if answer is not None:
                self._release(number)
                replies.append((number, self._count(replace(answer, held_s=now - held.since))))
        return replies

    # Internal

    def _refuse(self, reason: RefusalReason, retry_after_s: float) -> Refusal:
        self.counts["refused"] += 1
        return Refusal(reason, retry_after_s)

    def _count(self, answer: Answer) -> Answer:
        self.counts["answers"] += 1
        self.counts["deltas"] += len(answer.deltas)
        self.counts["snapshots"] += len(answer.snapshots)
        self.counts["put_off"] += answer.retry_after_s > 0
        self.counts["behind"] += answer.behind > 0
        return answer

    def _hold(self, ask: Ask, now: float) -> HeldAsk:
        self._last_number += 1
        until = now + min(ask.wait_s, self._settings.max_wait_s)
        self._held[self._last_number] = _HeldEntry(self._last_number, ask, now, until)
        heappush(self._deadlines, (until, self._last_number))
        for position in ask.positions:
            self._by_shard.setdefault(position.shard, set()).add(self._last_number)
        self._by_asker.setdefault(ask.asker, set()).add(self._last_number)
        if ask.all_shards_as_of is not None or self._behind(ask) > 0:
            self._any_version.add(self._last_number)
        return HeldAsk(self._last_number)

    def _release(self, number: int) -> None:
        held = self._held.pop(number, None)
        if held is None:
            return
        for position in held.ask.positions:
            _remove(self._by_shard, position.shard, number)
        _remove(self._by_asker, held.ask.asker, number)
        self._any_version.discard(number)
        self._to_check.discard(number)

    def _behind(self, ask: Ask) -> int:
        """Return by how many versions this relay is behind the asker."""
        if ask.all_shards_as_of is not None:
            return max(0, ask.all_shards_as_of - self.store.as_of)
        newest = max((one.version for one in ask.positions), default=NO_VERSION)
        return max(0, newest - self.store.as_of)

    def _answer(self, ask: Ask, now: float, expired: bool) -> Answer | None:
        """Return the answer, or None to hold the ask; an expired ask is always answered."""
        age = now - self.store.confirmed_at
        if behind := self._behind(ask):
            shards = tuple(one.shard for one in ask.positions)
            return (
                Answer(self.store.as_of, age, uncovered=shards, run=self._run, behind=behind)
                if expired
                else None
            )
        if ask.all_shards_as_of is not None:
            return self._answer_all_shards(ask, age, expired)
        placement = self._placement_update(ask)
        changes = self._changes_for(ask, now)
        if placement is None and not changes.should_answer and not expired:
            return None
        return Answer(
            self.store.as_of, age, 0.0, tuple(changes.deltas), tuple(changes.snapshots),
            tuple(changes.uncovered), run=self._run, retry_after_s=changes.retry_after_s, placement=placement,
        )  # fmt: skip

    def _answer_all_shards(self, ask: Ask, age: float, expired: bool) -> Answer | None:
        base = ask.all_shards_as_of if ask.all_shards_as_of is not None else NO_VERSION
        if base == self.store.as_of and not expired and not ask.verify:
            return None
        separate = set(self.store.separate())
        deltas, uncovered = [], list(separate)
        for shard in self.store.shards_changed_since(base):
            if shard in separate:
                continue
            change = self.store.change_since(shard, base)
            if isinstance(change, ShardDelta):
                deltas.append(change)
            elif change is not ChangeStatus.UNCHANGED:
                uncovered.append(shard)
        digest = self.store.digest_of_all(uncovered) if ask.verify else None
        return Answer(
            self.store.as_of, age, 0.0, tuple(deltas), (), tuple(uncovered), digest=digest, run=self._run
        )

    def _changes_for(self, ask: Ask, now: float) -> _Changes:
        changes = _Changes([], [], [])
        for position in ask.positions:
            self._look_up(position, changes)
        if changes.snapshots:
            admitted = self._admission.admit(ask.asker, len(changes.snapshots), now)
            changes.uncovered += [one.shard for one in changes.snapshots[admitted.snapshots :]]
            del changes.snapshots[admitted.snapshots :]
            changes.retry_after_s = admitted.retry_after_s
        return changes

    def _look_up(self, position: Position, changes: _Changes) -> None:
        shard = position.shard
        if self.store.version(shard) != self.store.as_of:
            changes.uncovered.append(shard)
            return
        change = self.store.change_since(shard, position.version, position.digest)
        if isinstance(change, ShardDelta):
            changes.deltas.append(change)
        elif isinstance(change, ShardSnapshot):
            changes.snapshots.append(change)
        elif change is ChangeStatus.UNKNOWN:
            changes.uncovered.append(shard)

    def _placement_update(self, ask: Ask) -> PlacementUpdate | None:
        if self.placement is None:
            return None
        return self.placement.update_for(ask.asker, ask.placement)


def _remove(sets: dict[_Key, set[int]], key: _Key, number: int) -> None:
    members = sets.get(key)
    if members is not None:
        members.discard(number)
        if not members:
            del sets[key]
