"""Follows shards at relays: a sender some shards, a relay all.

A sender follows the shards that are placed on it, which it learns from the answers, and those of its
messages, which are reported with `message_accepted` and `message_finished`. A shard is dropped when it
isn't placed on this sender and has no unfinished message. `Update` lists the changed endpoint records, for
the decision module.

Calls use two lanes. The watch covers all shards that are up to date and waits for changes. The fetch
requests shards that are missing, that a watch left uncovered, or that a delta couldn't bring up to date.
`upstream` describes how this class is driven.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from math import inf
from random import Random

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
from mountgauge.sharding.picker import Picker
from mountgauge.sharding.shards import NO_VERSION, EndpointRecord, ShardSnapshot
from mountgauge.sharding.store import HeldVersion, RecordChange, RefusedChangeError, ShardStore
from mountgauge.sharding.timing import Timing
from mountgauge.sharding.upstream import NO_UPDATE, Lane, Rejection, RelayCall, Update

MAX_MISSING_PER_FETCH = 512  # shards of which one fetch requests a snapshot
MAX_SHARDS_PER_FETCH = 4_096  # including held shards, which are compared by their digests
WAIT_JITTER = 0.2  # random share of the wait: asks that were answered together don't return together
REJECTED_ANSWERS_BEFORE_SWITCH = 2  # consecutive answers with a rejected change


class _Result:
    """Collects the effects of one answer."""

    def __init__(self) -> None:
        self.shards: set[int] = set()
        self.put: dict[str, EndpointRecord] = {}
        self.removed: list[EndpointRecord] = []
        self.rejections: list[Rejection] = []
        self.placement: PlacementUpdate | None = None

    def update(self) -> Update:
        return Update(
            frozenset(self.shards), tuple(self.put.values()), tuple(self.removed), tuple(self.rejections),
            self.placement,
        )  # fmt: skip


class Subscription:
    """A sender's or a relay's view of the shards that it follows.

    With `all_shards` the subscriber is a relay: it follows all shards, and its updates have no single
    records.
    """

    def __init__(
        self, name: str, store: ShardStore, picker: Picker, timing: Timing, rng: Random,
        all_shards: bool = False,
    ) -> None:  # fmt: skip
        self.name, self.store, self.picker, self.timing = name, store, picker, timing
        self.all_shards = all_shards
        self.placement = PlacementUpdate(NO_VERSION, 0, ())
        self.behind = 0  # by how many versions the current relay is behind the held shards
        self._rng = rng
        self._placed: dict[int, PlacedShard] = {}
        self._messages: Counter[int] = Counter()  # unfinished messages, by shard
        self._shard_by_endpoint: dict[str, int] = {}  # by endpoint id
        self._to_fetch: dict[int, float] = {}  # by shard to be fetched: the earliest time
        self._fetch_not_before = -inf  # a relay's required wait
        self._snapshot_only: set[int] = set()  # shards in `_to_fetch` that need a snapshot
        self._watch_base = NO_VERSION  # relays only: version of all shards that are not in `_to_fetch`
        self._in_flight: dict[Lane, RelayCall] = {}
        self._call_number = 0
        self._verified: tuple[str, int] | None = None  # the relay, and its run, whose digests agreed
        self._consecutive_rejections = 0
        self._behind_since: float | None = None
        # The highest version received, when it was first received, and from which relay.
        self._newest = (NO_VERSION, -inf, "")
        # Shards that no page has covered yet.
        self._unpaged = set(range(store.shard_count)) if all_shards else set()
        self._to_fetch.update(dict.fromkeys(self._unpaged, -inf))
        self._lowest_page: HeldVersion | None = None  # the oldest version of the pages received so far

    # Shards that a sender follows

    def message_accepted(self, shard: int, now: float) -> None:
        """Record an accepted message of the shard, which is followed from now on."""
        self._messages[shard] += 1
        self._fetch_if_missing(shard, now)

    def message_finished(self, shard: int) -> Update:
        """Record a finished message of the shard, which is dropped if no longer followed."""
        self._messages[shard] -= 1
        if self._messages[shard] <= 0:
            del self._messages[shard]
        result = _Result()
        self._drop_unfollowed((shard,), result)
        return result.update()

    def restore(
        self, snapshots: Iterable[ShardSnapshot], update: PlacementUpdate, confirmed_at: float
    ) -> Update:
        """Load the list that a previous process run saved, so that only changes are requested.

        `confirmed_at` (own clock) is when the list was surely discovery's newest. Shards that are not
        placed on this sender, and have no message when the first answer is received, are dropped then.
        """
        result = _Result()
        self._apply_placement(update, result)
        for snapshot in snapshots:
            change = self.store.apply_snapshot(snapshot)
            self.store.confirm(snapshot.shard, snapshot.version, confirmed_at)
            self._to_fetch.pop(snapshot.shard, None)
            self._record_change(snapshot.shard, change, result)
        return result.update()

    def follows(self, shard: int) -> bool:
        """Whether the shard is followed."""
        return self.all_shards or shard in self._placed or shard in self._messages

    def replicas(self, shard: int) -> tuple[str, ...]:
        """Return the members that hold a shard; empty unless it is placed on this sender."""
        placed = self._placed.get(shard)
        return placed.replicas if placed else ()

    def shards(self) -> set[int]:
        """Return the shards that are placed on this sender or have unfinished messages."""
        return self._placed.keys() | self._messages.keys()

    # State

    @property
    def ready(self) -> bool:
        """Whether all shards have been received (relays only)."""
        return self.store.as_of != NO_VERSION

    def staleness(self, shard: int, now: float) -> float:
        """Return the seconds since discovery surely confirmed the shard's held version as the newest."""
        return now - self.store.held_version(shard).confirmed_at

    def age(self, now: float) -> float:
        """Return the staleness of the stalest shard."""
        if self.all_shards:
            return now - self.store.confirmed_at
        return max((self.staleness(shard, now) for shard in self.shards()), default=0.0)

    # Calls

    def poll(self, now: float) -> list[RelayCall]:
        """Return the calls to make now."""
        self.picker.return_to_own_zone_when_due(now)
        if now < self.picker.ready_at():
            return []
        calls = []
        if Lane.FETCH not in self._in_flight and (page := self._next_page(now)):
            ask = Ask(self.name, page, placement=self.placement.revision)
            calls.append(self._start_call(Lane.FETCH, ask, now))
        if Lane.WATCH not in self._in_flight and self._can_watch():
            calls.append(self._start_call(Lane.WATCH, self._watch_ask(), now))
        return calls

    def wakes_at(self, now: float) -> float:
        """Return when to poll next if there is no input before."""
        if len(self._in_flight) == len(Lane):
            return inf
        start = self.picker.ready_at()
        if Lane.WATCH not in self._in_flight and self._can_watch():
            return max(now, start)
        due = inf
        if Lane.FETCH not in self._in_flight and self._to_fetch:
            due = max(self._fetch_not_before, min(self._to_fetch.values()))
        return max(now, start, due)

    def answered(self, call: RelayCall, reply: Reply, now: float) -> Update:
        """Process a relay's reply to a call."""
        if not self._remove_in_flight(call):
            return NO_UPDATE
        if isinstance(reply, Refusal):
            self._handle_refusal(call, reply, now)
            return NO_UPDATE
        result = _Result()
        if reply.behind > 0:
            self._handle_relay_behind(call, reply, now, result)
        elif (reason := self._contradiction(call, reply)) is not None:
            result.rejections.append(Rejection(call.relay, reason))
            self._switch_relay(call, now)
        else:
            self._apply_answer(call, reply, now, result)
        return result.update()

    def failed(self, call: RelayCall, now: float, silent: bool = False) -> None:
        """Record a call without an answer: refused, reset or (`silent`) timed out after `limit_s`."""
        if not self._remove_in_flight(call) or call.relay != self.picker.current.name:
            return
        if not silent:
            self._switch_relay(call, now)
        elif self.picker.timed_out(now):
            self._reset_relay_state()

    # Internal: asks

    def _next_page(self, now: float) -> tuple[Position, ...]:
        """Return the positions of the next fetch; empty if none is due."""
        page, new = [], 0
        if now < self._fetch_not_before:
            return ()
        for shard, not_before in self._to_fetch.items():
            if not_before > now:
                continue
            position = self._position(shard, digest=True)
            new += position.version == NO_VERSION
            page.append(position)
            if new == MAX_MISSING_PER_FETCH or len(page) == MAX_SHARDS_PER_FETCH:
                break
        return tuple(page)

    def _position(self, shard: int, digest: bool) -> Position:
        if shard in self._snapshot_only or shard not in self.store:
            return Position(shard)
        return Position(shard, self.store.version(shard), self.store.digest(shard) if digest else None)

    def _can_watch(self) -> bool:
        """Whether a watch can start. A sender that follows no shard yet watches for its placement."""
        if self.all_shards:
            return self._watch_base != NO_VERSION
        return not self._to_fetch or any(shard not in self._to_fetch for shard in self.store.shards())

    def _watch_ask(self) -> Ask:
        verify = self._verified is None
        wait_s = self.timing.wait_s * (1 - WAIT_JITTER * self._rng.random())
        if self.all_shards:
            return Ask(self.name, (), self._watch_base, wait_s, verify=verify)
        held = (shard for shard in self.store.shards() if shard not in self._to_fetch)
        positions = tuple(self._position(shard, verify) for shard in held)
        return Ask(self.name, positions, wait_s=wait_s, placement=self.placement.revision)

    def _start_call(self, lane: Lane, ask: Ask, now: float) -> RelayCall:
        self._call_number += 1
        call = RelayCall(self._call_number, lane, self.picker.current.name, ask, self.timing.limit_s, now)
        self._in_flight[lane] = call
        return call

    def _remove_in_flight(self, call: RelayCall) -> bool:
        """Remove a call from those in flight; return whether it was one of them."""
        if self._in_flight.get(call.lane) is not call:
            return False
        del self._in_flight[call.lane]
        return True

    # Internal: answers

    def _handle_refusal(self, call: RelayCall, refusal: Refusal, now: float) -> None:
        if refusal.reason is RefusalReason.NOT_READY:
            self._switch_relay(call, now)
        else:
            self.picker.wait(now, refusal.retry_after_s)

    def _switch_relay(self, call: RelayCall, now: float) -> None:
        self._reset_relay_state()
        if call.relay == self.picker.current.name:
            self.picker.failed(now)

    def _reset_relay_state(self) -> None:
        self._verified, self._consecutive_rejections, self._behind_since = None, 0, None
        self._fetch_not_before = -inf

    def _handle_relay_behind(self, call: RelayCall, reply: Answer, now: float, result: _Result) -> None:
        """The relay is behind the held shards: apply nothing, and ask another relay if that lasts."""
        self.behind = reply.behind
        version, received_at, by = self._newest
        if reply.as_of < version and now - reply.age_s - self._max_transit_s(call, reply, now) > received_at:
            text = f"claims that version {reply.as_of} was the newest when {by} had sent {version}"
            result.rejections.append(Rejection(call.relay, text))
            self._switch_relay(call, now)
            return
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > self.timing.max_behind_s:
            self._switch_relay(call, now)
        if call.ask.wait_s == 0:  # answered at once: pause before the next fetch
            for position in call.ask.positions:
                if position.shard in self._to_fetch:
                    self._to_fetch[position.shard] = now + self.timing.wait_s

    def _contradiction(self, call: RelayCall, reply: Answer) -> str | None:
        """Return how an answer contradicts itself or the held shards; None if it doesn't."""
        ask = call.ask
        asked = {one.shard: one.version for one in ask.positions}
        covered = asked.keys() - set(reply.uncovered)
        held = max((asked[shard] for shard in covered), default=NO_VERSION)
        if ask.all_shards_as_of is not None:
            held = ask.all_shards_as_of
        if reply.as_of < held:
            return f"version went back from {held} to {reply.as_of}"
        for one in reply.changes:
            if one.version > reply.as_of:
                return f"shard {one.shard} at version {one.version} in an answer as of {reply.as_of}"
            if ask.all_shards_as_of is None and one.shard not in asked:
                return f"shard {one.shard} was not asked for"
        return None

    def _max_transit_s(self, call: RelayCall, reply: Answer, now: float) -> float:
        """Return the longest time that the answer can have been in transit."""
        return max(0.0, now - call.made_at - reply.held_s)

    def _apply_answer(self, call: RelayCall, reply: Answer, now: float, result: _Result) -> None:
        self.picker.succeeded()
        self.behind, self._behind_since = 0, None
        confirmed_at = now - reply.age_s - self._max_transit_s(call, reply, now)
        rejected = self._apply_changes(call, reply, now, result)
        uncovered = rejected.union(reply.uncovered)
        if call.lane is Lane.WATCH:
            self._cover_watched(call, reply, confirmed_at, uncovered)
        else:
            self._confirm_fetched(call, reply, confirmed_at, uncovered)
        self._refetch_later(uncovered, reply.retry_after_s, now)
        if reply.as_of > self._newest[0]:
            self._newest = (reply.as_of, now, call.relay)
        if reply.placement is not None:
            self._apply_placement(reply.placement, result)
        self._update_verification(call, reply, bool(rejected), now)
        if not self.all_shards:
            self._drop_unfollowed((one.shard for one in call.ask.positions), result)

    def _update_verification(self, call: RelayCall, reply: Answer, rejected: bool, now: float) -> None:
        verified = self._digests_agree(call, reply)
        if self._verified not in (None, (call.relay, reply.run)):
            self._verified = None  # the relay has restarted
        if not rejected:
            self._consecutive_rejections = 0
            if call.lane is Lane.WATCH and verified:
                self._verified = call.relay, reply.run
            return
        self._consecutive_rejections += 1
        if self._consecutive_rejections >= REJECTED_ANSWERS_BEFORE_SWITCH:
            self._switch_relay(call, now)

    def _digests_agree(self, call: RelayCall, reply: Answer) -> bool:
        """Whether the digests of all shards that the answer covers were compared and agree."""
        if not self.all_shards:
            return all(one.digest is not None or one.version == NO_VERSION for one in call.ask.positions)
        if reply.digest is None or self._to_fetch.keys() - set(reply.uncovered):
            return False
        if reply.digest == self.store.digest_of_all(reply.uncovered):
            return True
        for shard in range(self.store.shard_count):  # fetch all to find those that differ
            self._to_fetch.setdefault(shard, -inf)
        return False

    def _apply_changes(self, call: RelayCall, reply: Answer, now: float, result: _Result) -> set[int]:
        """Apply deltas and snapshots; return the shards whose change was rejected."""
        rejected = set()
        base = call.ask.all_shards_as_of
        for change in reply.changes:
            shard = change.shard
            if not self.follows(shard):
                continue
            version = self.store.version(shard)
            if base is not None and version < base:
                continue  # it is fetched separately
            if shard not in self._snapshot_only and reply.as_of < version:
                continue  # it was fetched since the call was made
            if shard in self._snapshot_only and change.version < self.store.version(shard):
                rejected.add(shard)  # the ask had no version of this shard, so the relay may be behind
                continue
            try:
                if isinstance(change, ShardSnapshot):
                    done = self.store.apply_snapshot(change)
                else:
                    done = self.store.apply_delta(change)
            except RefusedChangeError as error:
                result.rejections.append(Rejection(call.relay, str(error)))
                rejected.add(shard)
                self._snapshot_only.add(shard)
                continue
            self._record_change(shard, done, result)
        return rejected

    def _cover_watched(
        self, call: RelayCall, reply: Answer, confirmed_at: float, uncovered: set[int]
    ) -> None:
        if call.ask.all_shards_as_of is not None:
            self.store.cover(reply.as_of, confirmed_at, None, uncovered, call.ask.all_shards_as_of)
            self._watch_base = reply.as_of
            return
        asked = {one.shard for one in call.ask.positions}
        self.store.cover(reply.as_of, confirmed_at, asked, uncovered)

    def _confirm_fetched(
        self, call: RelayCall, reply: Answer, confirmed_at: float, uncovered: set[int]
    ) -> None:
        for position in call.ask.positions:
            shard = position.shard
            if shard in uncovered or not self.follows(shard) or shard not in self.store:
                continue
            self.store.confirm(shard, reply.as_of, confirmed_at)
            self._snapshot_only.discard(shard)
            if self.store.version(shard) < self._watch_base:
                uncovered.add(shard)  # the watch is past this version and won't report its changes
            else:
                self._to_fetch.pop(shard, None)
        if self.all_shards:
            self._page_received(call, reply, confirmed_at)

    def _refetch_later(self, uncovered: set[int], retry_after_s: float, now: float) -> None:
        """Schedule a fetch of uncovered shards, after a random pause or the relay's required wait.

        During a required wait nothing else is fetched, so that the postponed shards are requested in few
        calls.
        """
        if retry_after_s > 0:
            self._fetch_not_before = now + retry_after_s
        for shard in uncovered:
            if self.follows(shard):
                random_pause_s = self._rng.random() * self.timing.first_pause_s
                self._to_fetch[shard] = now + (retry_after_s or random_pause_s)

    # Internal: a relay's initial load

    def _page_received(self, call: RelayCall, reply: Answer, confirmed_at: float) -> None:
        """Record a page; after the last one, all shards are at the lowest version of the pages."""
        if self._watch_base != NO_VERSION:
            return
        known = HeldVersion(reply.as_of, confirmed_at)
        self._lowest_page = known if self._lowest_page is None else min(self._lowest_page, known)
        put_off = set(reply.uncovered) if reply.retry_after_s > 0 else set()
        self._unpaged.difference_update(one.shard for one in call.ask.positions if one.shard not in put_off)
        if not self._unpaged:
            self._watch_base = self._lowest_page.version
            self.store.cover(
                self._watch_base,
                self._lowest_page.confirmed_at,
                None,
                self._to_fetch.keys(),
                self._watch_base,
            )

    # Internal: shards that a sender follows

    def _fetch_if_missing(self, shard: int, now: float) -> None:
        if shard not in self.store:
            self._to_fetch.setdefault(shard, now)

    def _apply_placement(self, update: PlacementUpdate, result: _Result) -> None:
        if update.revision <= self.placement.revision:
            return
        before = self._placed.keys()
        self.placement, result.placement = update, update
        self._placed = {one.shard: one for one in update.shards}
        for shard in self._placed:
            self._fetch_if_missing(shard, -inf)
        self._drop_unfollowed(before - self._placed.keys(), result)

    def _drop_unfollowed(self, shards: Iterable[int], result: _Result) -> None:
        for shard in shards:
            if not self.follows(shard):
                self._to_fetch.pop(shard, None)
                self._snapshot_only.discard(shard)
                self._record_change(shard, self.store.drop(shard), result)

    def _record_change(self, shard: int, change: RecordChange, result: _Result) -> None:
        """Add changed endpoint records to the result; an id belongs to the last shard that had it."""
        if not change:
            return
        result.shards.add(shard)
        if self.all_shards:
            return
        for record in change.removed:
            if self._shard_by_endpoint.get(record.id) == shard:
                del self._shard_by_endpoint[record.id]
                result.put.pop(record.id, None)
                result.removed.append(record)
        for record in change.put:
            owner = self._shard_by_endpoint.get(record.id)
            if owner is not None and owner != shard:
                result.removed.append(record)
            self._shard_by_endpoint[record.id] = shard
            result.put[record.id] = record
