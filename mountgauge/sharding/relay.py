"""A relay: follows discovery or another relay, and answers those who follow it. Pure.

How it is driven: `poll`, `answered`, `failed` and `wakes_at` as in `upstream`, for what it follows. `ask` for
each ask that comes in: a reply at once, or a `HeldAsk`. After each of these, and at `wakes_at`, `take_ready`
gives the replies to held asks that are due; `drop` ends one whose connection is gone.

It answers nobody before it has had a whole picture, and never with less than the asker holds: where it is
behind it waits, and says at the end by how much. An ask costs what it names and what has changed of that.
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
COUNTED = ("asks", "answers", "deltas", "snapshots", "put_off", "refused", "behind")
NOT_READY_S = 1.0  # told to those who come before the first whole picture


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """The bounds of what a relay gives out and holds."""

    snapshots_per_s: float = 2_000.0
    snapshot_burst: int = 2_000
    max_held_asks: int = 8_192  # asks
    longest_wait_s: float = 60.0


@dataclass(frozen=True, slots=True)
class HeldAsk:
    """There is nothing to tell yet."""

    number: int


@dataclass(frozen=True, slots=True)
class _Held:
    number: int
    ask: Ask
    since: float
    until: float


@dataclass(slots=True)
class _Found:
    """What there is to tell an asker."""

    deltas: list[ShardDelta]
    snapshots: list[ShardSnapshot]
    uncovered: list[int]
    retry_after_s: float = 0.0

    @property
    def worth_it(self) -> bool:
        """Whether it is told before the wait is over."""
        return bool(self.deltas or self.snapshots or self.retry_after_s > 0)


class Relay:
    """Answers those who follow shards, from what it follows itself."""

    def __init__(
        self, name: str, upstream: Subscription | ListWatch, settings: RelaySettings,
        placement: Placement | None = None, run: int = 0,
    ) -> None:  # fmt: skip
        """`run`: another number at each start; those who follow compare their digests anew then."""
        self.name, self.upstream, self.placement = name, upstream, placement
        self.store: ShardStore = upstream.store
        self.counts = Counter(dict.fromkeys(COUNTED, 0))
        self._settings, self._run = settings, run
        self._admission = SnapshotAdmission(settings.snapshots_per_s, settings.snapshot_burst)
        self._held: dict[int, _Held] = {}
        self._by_shard: dict[int, set[int]] = {}
        self._by_asker: dict[str, set[int]] = {}
        self._unbound: set[int] = set()  # held asks that any new version may answer
        self._ends: list[tuple[float, int]] = []  # heap: when a held ask is over
        self._woken: set[int] = set()
        self._number = 0

    # What it follows

    def poll(self, now: float) -> list[Call]:
        """The calls to be made now."""
        return [*self.upstream.poll(now)]

    def answered(self, call: Call, reply: object, now: float) -> Update:
        """`reply`: a `Reply` to a `RelayCall`, the JSON to a `ListCall`."""
        as_of, ready = self.store.as_of, self.upstream.ready
        update = self._hand_in(call, reply, now)
        for shard in update.shards:
            self._woken |= self._by_shard.get(shard, set())
        if self.store.as_of != as_of or self.upstream.ready != ready:
            self._woken |= self._unbound
        return update

    def _hand_in(self, call: Call, reply: object, now: float) -> Update:
        if isinstance(self.upstream, ListWatch):
            assert isinstance(call, ListCall)
            return self.upstream.answered(call, reply, now)
        assert isinstance(call, RelayCall) and isinstance(reply, Answer | Refusal)
        return self.upstream.answered(call, reply, now)

    def failed(self, call: Call, now: float, silent: bool = False) -> None:
        """A call got no answer: it was refused or reset, or (`silent`) given up after its `limit_s`."""
        if isinstance(self.upstream, ListWatch):
            assert isinstance(call, ListCall)
            self.upstream.failed(call, now, silent)
        else:
            assert isinstance(call, RelayCall)
            self.upstream.failed(call, now, silent)

    def wakes_at(self, now: float) -> float:
        """When to poll and to look for ready replies next, if nothing comes in before."""
        if self._woken:
            return now
        while self._ends and self._ends[0][1] not in self._held:
            heappop(self._ends)
        return min(self.upstream.wakes_at(now), self._ends[0][0] if self._ends else inf)

    def placement_changed(self, members: Collection[str]) -> None:
        """The placement has changed for these members."""
        for name in members:
            self._woken |= self._by_asker.get(name, set())

    # Those who follow it

    def ask(self, ask: Ask, now: float) -> Reply | HeldAsk:
        self.counts["asks"] += 1
        if not self.upstream.ready:
            return self._refuse(RefusalReason.NOT_READY, NOT_READY_S)
        if len(self._held) >= self._settings.max_held_asks:
            return self._refuse(RefusalReason.BUSY, NOT_READY_S)
        if (answer := self._answer(ask, now, over=ask.wait_s <= 0)) is not None:
            return self._count(answer)
        return self._hold(ask, now)

    def drop(self, number: int) -> None:
        """Nobody waits for this one any more."""
        self._release(number)

    def take_ready(self, now: float) -> list[tuple[int, Reply]]:
        """The replies to held asks that are due, by number."""
        over = set()
        while self._ends and self._ends[0][0] <= now:
            over.add(heappop(self._ends)[1])
        found: list[tuple[int, Reply]] = []
        woken, self._woken = self._woken | over, set()
        for number in sorted(woken):
            held = self._held.get(number)
            if held is None:
                continue
            answer = self._answer(held.ask, now, over=number in over)
            if answer is not None:
                self._release(number)
                found.append((number, self._count(replace(answer, held_s=now - held.since))))
        return found

    # Within

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
        self._number += 1
        until = now + min(ask.wait_s, self._settings.longest_wait_s)
        self._held[self._number] = _Held(self._number, ask, now, until)
        heappush(self._ends, (until, self._number))
        for position in ask.positions:
            self._by_shard.setdefault(position.shard, set()).add(self._number)
        self._by_asker.setdefault(ask.asker, set()).add(self._number)
        if ask.all_shards_as_of is not None or self._behind(ask) > 0:
            self._unbound.add(self._number)
        return HeldAsk(self._number)

    def _release(self, number: int) -> None:
        held = self._held.pop(number, None)
        if held is None:
            return
        for position in held.ask.positions:
            _remove(self._by_shard, position.shard, number)
        _remove(self._by_asker, held.ask.asker, number)
        self._unbound.discard(number)
        self._woken.discard(number)

    def _behind(self, ask: Ask) -> int:
        """By how many versions this relay is below the asker."""
        if ask.all_shards_as_of is not None:
            return max(0, ask.all_shards_as_of - self.store.as_of)
        newest = max((one.version for one in ask.positions), default=NO_VERSION)
        return max(0, newest - self.store.as_of)

    def _answer(self, ask: Ask, now: float, over: bool) -> Answer | None:
        """What there is to tell; None: nothing yet."""
        age = now - self.store.confirmed_at
        if behind := self._behind(ask):
            shards = tuple(one.shard for one in ask.positions)
            return (
                Answer(self.store.as_of, age, uncovered=shards, run=self._run, behind=behind)
                if over
                else None
            )
        if ask.all_shards_as_of is not None:
            return self._everything(ask, age, over)
        news = self._news(ask)
        found = self._positions(ask, now)
        if news is None and not found.worth_it and not over:
            return None
        return Answer(
            self.store.as_of, age, 0.0, tuple(found.deltas), tuple(found.snapshots), tuple(found.uncovered),
            run=self._run, retry_after_s=found.retry_after_s, placement=news,
        )  # fmt: skip

    def _everything(self, ask: Ask, age: float, over: bool) -> Answer | None:
        base = ask.all_shards_as_of if ask.all_shards_as_of is not None else NO_VERSION
        if base == self.store.as_of and not over and not ask.verify:
            return None
        apart = set(self.store.separate())
        deltas, uncovered = [], list(apart)
        for shard in self.store.shards_changed_since(base):
            if shard in apart:
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

    def _positions(self, ask: Ask, now: float) -> _Found:
        found = _Found([], [], [])
        for position in ask.positions:
            self._look_up(position, found)
        if found.snapshots:
            admitted = self._admission.admit(ask.asker, len(found.snapshots), now)
            found.uncovered += [one.shard for one in found.snapshots[admitted.snapshots :]]
            del found.snapshots[admitted.snapshots :]
            found.retry_after_s = admitted.retry_after_s
        return found

    def _look_up(self, position: Position, found: _Found) -> None:
        shard = position.shard
        if self.store.version(shard) != self.store.as_of:
            found.uncovered.append(shard)
            return
        change = self.store.change_since(shard, position.version, position.digest)
        if isinstance(change, ShardDelta):
            found.deltas.append(change)
        elif isinstance(change, ShardSnapshot):
            found.snapshots.append(change)
        elif change is ChangeStatus.UNKNOWN:
            found.uncovered.append(shard)

    def _news(self, ask: Ask) -> PlacementUpdate | None:
        if self.placement is None:
            return None
        return self.placement.news(ask.asker, ask.placement)


def _remove(sets: dict[_Key, set[int]], key: _Key, number: int) -> None:
    members = sets.get(key)
    if members is not None:
        members.discard(number)
        if not members:
            del sets[key]
