"""Following shards at relays: of a sender those placed on it and those of its messages, of a relay all.

A sender's shards come with the placement (news of it travel with the answers) and with its messages:
`message_accepted`
when one is taken on, `message_finished`
when it has ended. A shard is dropped when it isn't placed here and no message
of it is left. `Update` says which endpoint records have changed, for the decision module.

Two lanes of calls: the watch, over all shards that are held, which waits for news; and the fetch, for shards
that aren't held yet, that a watch left uncovered or that a delta couldn't bring up to date. How it is driven:
see `upstream`.
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

NEW_SHARDS = 512  # that one fetch asks for as a whole
HELD_SHARDS = 4_096  # that one fetch has compared by their digests
WAIT_SPREAD = 0.2  # part of the wait that is drawn: what was answered all at once isn't asked so again
REFUSALS_BORNE = 2  # answers in a row with something that can't be taken in, before another relay is asked


class _Collected:
    """What one answer does."""

    def __init__(self) -> None:
        self.shards: set[int] = set()
        self.put: dict[str, EndpointRecord] = {}
        self.gone: list[EndpointRecord] = []
        self.rejections: list[Rejection] = []
        self.placement: PlacementUpdate | None = None

    def update(self) -> Update:
        return Update(
            frozenset(self.shards), tuple(self.put.values()), tuple(self.gone), tuple(self.rejections),
            self.placement,
        )  # fmt: skip


class Subscription:
    """`all_shards`: the subscriber is a relay and follows all shards; it isn't told of single records."""

    def __init__(
        self, name: str, store: ShardStore, picker: Picker, timing: Timing, rng: Random,
        all_shards: bool = False,
    ) -> None:  # fmt: skip
        self.name, self.store, self.picker, self.timing = name, store, picker, timing
        self.all_shards = all_shards
        self.placement = PlacementUpdate(NO_VERSION, 0, ())
        self.behind = 0  # by how many versions the relay that is asked is below what is held
        self._rng = rng
        self._placed: dict[int, PlacedShard] = {}
        self._messages: Counter[int] = Counter()  # by shard: messages that are held
        self._owner: dict[str, int] = {}  # by endpoint id: its shard
        self._fetch: dict[int, float] = {}  # shards to be fetched: not before
        self._fetch_from = -inf  # a relay has said when to come again
        self._whole: set[int] = set()  # of those: by snapshot alone
        self._base = NO_VERSION  # of a relay: as of which all_shards is held that isn't to be fetched
        self._out: dict[Lane, RelayCall] = {}
        self._number = 0
        self._verified: tuple[str, int] | None = None  # the relay, and its run, with which digests agreed
        self._refused_in_a_row = 0
        self._behind_since: float | None = None
        self._newest = (NO_VERSION, -inf, "")  # the highest version that was told, when first, by whom
        self._untried = set(range(store.shard_count)) if all_shards else set()  # shards of no page yet
        self._fetch.update(dict.fromkeys(self._untried, -inf))
        self._lowest: HeldVersion | None = None  # of the pages so far

    # What a sender follows

    def message_accepted(self, shard: int, now: float) -> None:
        """A message of the shard was taken on."""
        self._messages[shard] += 1
        self._follow(shard, now)

    def message_finished(self, shard: int) -> Update:
        """A message of the shard has ended."""
        self._messages[shard] -= 1
        if self._messages[shard] <= 0:
            del self._messages[shard]
        found = _Collected()
        self._release((shard,), found)
        return found.update()

    def restore(
        self, snapshots: Iterable[ShardSnapshot], news: PlacementUpdate, confirmed_at: float
    ) -> Update:
        """What an earlier process kept: its last list, and when that was discovery's newest for sure (own
        clock). It is asked for changes alone. Shards that aren't placed here, and of which no message is held
        when the first answer comes, are let go then.
        """
        found = _Collected()
        self._place(news, found)
        for snapshot in snapshots:
            change = self.store.apply_snapshot(snapshot)
            self.store.confirm(snapshot.shard, snapshot.version, confirmed_at)
            self._fetch.pop(snapshot.shard, None)
            self._note(snapshot.shard, change, found)
        return found.update()

    def follows(self, shard: int) -> bool:
        return self.all_shards or shard in self._placed or shard in self._messages

    def replicas(self, shard: int) -> tuple[str, ...]:
        """The members that a shard which is placed here is placed on; empty where it isn't."""
        placed = self._placed.get(shard)
        return placed.replicas if placed else ()

    def shards(self) -> set[int]:
        """Those that are placed here, and those of messages."""
        return self._placed.keys() | self._messages.keys()

    # What is known

    @property
    def ready(self) -> bool:
        """Of a relay: it has had a whole picture."""
        return self.store.as_of != NO_VERSION

    def staleness(self, shard: int, now: float) -> float:
        """Seconds since discovery confirmed, for sure, that what is held of it is the newest."""
        return now - self.store.held_version(shard).confirmed_at

    def age(self, now: float) -> float:
        """The staleness of the shard that is worst off."""
        if self.all_shards:
            return now - self.store.confirmed_at
        return max((self.staleness(shard, now) for shard in self.shards()), default=0.0)

    # Calls

    def poll(self, now: float) -> list[RelayCall]:
        """The calls to be made now."""
        self.picker.return_to_own_zone_when_due(now)
        if now < self.picker.ready_at():
            return []
        found = []
        if Lane.FETCH not in self._out and (page := self._page(now)):
            ask = Ask(self.name, page, placement=self.placement.revision)
            found.append(self._call(Lane.FETCH, ask, now))
        if Lane.WATCH not in self._out and self._may_watch():
            found.append(self._call(Lane.WATCH, self._watch(), now))
        return found

    def wakes_at(self, now: float) -> float:
        """When to poll next, if nothing comes in before."""
        if len(self._out) == len(Lane):
            return inf
        start = self.picker.ready_at()
        if Lane.WATCH not in self._out and self._may_watch():
            return max(now, start)
        due = inf
        if Lane.FETCH not in self._out and self._fetch:
            due = max(self._fetch_from, min(self._fetch.values()))
        return max(now, start, due)

    def answered(self, call: RelayCall, reply: Reply, now: float) -> Update:
        """A relay has answered a call."""
        if not self._take_out(call):
            return NO_UPDATE
        if isinstance(reply, Refusal):
            self._refused(call, reply, now)
            return NO_UPDATE
        found = _Collected()
        if reply.behind > 0:
            self._relay_behind(call, reply, now, found)
        elif (reason := self._lie(call, reply)) is not None:
            found.rejections.append(Rejection(call.relay, reason))
            self._leave_relay(call, now)
        else:
            self._take_in(call, reply, now, found)
        return found.update()

    def failed(self, call: RelayCall, now: float, silent: bool = False) -> None:
        """A call got no answer: it was refused or reset, or (`silent`) given up after its `limit_s`."""
        if not self._take_out(call) or call.relay != self.picker.current.name:
            return
        if not silent:
            self._leave_relay(call, now)
        elif self.picker.timed_out(now):
            self._forget_relay()

    # Within: asking

    def _page(self, now: float) -> tuple[Position, ...]:
        page, new = [], 0
        if now < self._fetch_from:
            return ()
        for shard, not_before in self._fetch.items():
            if not_before > now:
                continue
            position = self._position(shard, digest=True)
            new += position.version == NO_VERSION
            page.append(position)
            if new == NEW_SHARDS or len(page) == HELD_SHARDS:
                break
        return tuple(page)

    def _position(self, shard: int, digest: bool) -> Position:
        if shard in self._whole or shard not in self.store:
            return Position(shard)
        return Position(shard, self.store.version(shard), self.store.digest(shard) if digest else None)

    def _may_watch(self) -> bool:
        """Whether there is something to watch; a sender that follows no shard yet waits for news of them."""
        if self.all_shards:
            return self._base != NO_VERSION
        return not self._fetch or any(shard not in self._fetch for shard in self.store.shards())

    def _watch(self) -> Ask:
        verify = self._verified is None
        wait_s = self.timing.wait_s * (1 - WAIT_SPREAD * self._rng.random())
        if self.all_shards:
            return Ask(self.name, (), self._base, wait_s, verify=verify)
        held = (shard for shard in self.store.shards() if shard not in self._fetch)
        positions = tuple(self._position(shard, verify) for shard in held)
        return Ask(self.name, positions, wait_s=wait_s, placement=self.placement.revision)

    def _call(self, lane: Lane, ask: Ask, now: float) -> RelayCall:
        self._number += 1
        call = RelayCall(self._number, lane, self.picker.current.name, ask, self.timing.limit_s, now)
        self._out[lane] = call
        return call

    def _take_out(self, call: RelayCall) -> bool:
        """Whether the call was still out."""
        if self._out.get(call.lane) is not call:
            return False
        del self._out[call.lane]
        return True

    # Within: answers

    def _refused(self, call: RelayCall, refusal: Refusal, now: float) -> None:
        if refusal.reason is RefusalReason.NOT_READY:
            self._leave_relay(call, now)
        else:
            self.picker.wait(now, refusal.retry_after_s)

    def _leave_relay(self, call: RelayCall, now: float) -> None:
        self._forget_relay()
        if call.relay == self.picker.current.name:
            self.picker.failed(now)

    def _forget_relay(self) -> None:
        self._verified, self._refused_in_a_row, self._behind_since = None, 0, None
        self._fetch_from = -inf

    def _relay_behind(self, call: RelayCall, reply: Answer, now: float, found: _Collected) -> None:
        """It knows less than is held: nothing of it is taken in; another one is asked if that lasts."""
        self.behind = reply.behind
        version, told_at, by = self._newest
        if reply.as_of < version and now - reply.age_s - self._transit(call, reply, now) > told_at:
            text = f"says that version {reply.as_of} was the newest when {by} had told {version}"
            found.rejections.append(Rejection(call.relay, text))
            self._leave_relay(call, now)
            return
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > self.timing.max_behind_s:
            self._leave_relay(call, now)
        if call.ask.wait_s == 0:  # it wasn't held: a rest
            for position in call.ask.positions:
                if position.shard in self._fetch:
                    self._fetch[position.shard] = now + self.timing.wait_s

    def _lie(self, call: RelayCall, reply: Answer) -> str | None:
        """Why an answer contradicts itself or what is held; None where it doesn't."""
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

    def _transit(self, call: RelayCall, reply: Answer, now: float) -> float:
        """At most so long the answer was on its way."""
        return max(0.0, now - call.made_at - reply.held_s)

    def _take_in(self, call: RelayCall, reply: Answer, now: float, found: _Collected) -> None:
        self.picker.succeeded()
        self.behind, self._behind_since = 0, None
        confirmed_at = now - reply.age_s - self._transit(call, reply, now)
        rejected = self._apply(call, reply, now, found)
        uncovered = rejected.union(reply.uncovered)
        if call.lane is Lane.WATCH:
            self._cover(call, reply, confirmed_at, uncovered)
        else:
            self._settle(call, reply, confirmed_at, uncovered)
        self._defer(uncovered, reply.retry_after_s, now)
        if reply.as_of > self._newest[0]:
            self._newest = (reply.as_of, now, call.relay)
        if reply.placement is not None:
            self._place(reply.placement, found)
        self._judge(call, reply, bool(rejected), now)
        if not self.all_shards:
            self._release((one.shard for one in call.ask.positions), found)

    def _judge(self, call: RelayCall, reply: Answer, rejected: bool, now: float) -> None:
        verified = self._compared(call, reply)
        if self._verified not in (None, (call.relay, reply.run)):
            self._verified = None  # it was started anew
        if not rejected:
            self._refused_in_a_row = 0
            if call.lane is Lane.WATCH and verified:
                self._verified = call.relay, reply.run
            return
        self._refused_in_a_row += 1
        if self._refused_in_a_row >= REFUSALS_BORNE:
            self._leave_relay(call, now)

    def _compared(self, call: RelayCall, reply: Answer) -> bool:
        """Whether the digests of all that the relay told of have been compared, and agree."""
        if not self.all_shards:
            return all(one.digest is not None or one.version == NO_VERSION for one in call.ask.positions)
        if reply.digest is None or self._fetch.keys() - set(reply.uncovered):
            return False
        if reply.digest == self.store.digest_of_all(reply.uncovered):
            return True
        for shard in range(self.store.shard_count):  # each by itself, to find those that differ
            self._fetch.setdefault(shard, -inf)
        return False

    def _apply(self, call: RelayCall, reply: Answer, now: float, found: _Collected) -> set[int]:
        """Take in deltas and snapshots; return the shards whose change couldn't be."""
        rejected = set()
        base = call.ask.all_shards_as_of
        for change in reply.changes:
            shard = change.shard
            if not self.follows(shard):
                continue
            version = self.store.version(shard)
            if base is not None and version < base:
                continue  # it is to be fetched by itself
            if shard not in self._whole and reply.as_of < version:
                continue  # it was fetched by itself since the call was made
            if shard in self._whole and change.version < self.store.version(shard):
                rejected.add(shard)  # it was not told what is held, and may be behind
                continue
            try:
                if isinstance(change, ShardSnapshot):
                    done = self.store.apply_snapshot(change)
                else:
                    done = self.store.apply_delta(change)
            except RefusedChangeError as error:
                found.rejections.append(Rejection(call.relay, str(error)))
                rejected.add(shard)
                self._whole.add(shard)
                continue
            self._note(shard, done, found)
        return rejected

    def _cover(self, call: RelayCall, reply: Answer, confirmed_at: float, uncovered: set[int]) -> None:
        if call.ask.all_shards_as_of is not None:
            self.store.cover(reply.as_of, confirmed_at, None, uncovered, call.ask.all_shards_as_of)
            self._base = reply.as_of
            return
        asked = {one.shard for one in call.ask.positions}
        self.store.cover(reply.as_of, confirmed_at, asked, uncovered)

    def _settle(self, call: RelayCall, reply: Answer, confirmed_at: float, uncovered: set[int]) -> None:
        for position in call.ask.positions:
            shard = position.shard
            if shard in uncovered or not self.follows(shard) or shard not in self.store:
                continue
            self.store.confirm(shard, reply.as_of, confirmed_at)
            self._whole.discard(shard)
            if self.store.version(shard) < self._base:
                uncovered.add(shard)  # the watch has gone past it meanwhile, and won't tell of it
            else:
                self._fetch.pop(shard, None)
        if self.all_shards:
            self._paged(call, reply, confirmed_at)

    def _defer(self, uncovered: set[int], retry_after_s: float, now: float) -> None:
        """Shards of which nothing was learned are asked for again, by themselves, after a pause; where one is
        told, nothing else is fetched in it, so that what was put off comes again in few calls.
        """
        if retry_after_s > 0:
            self._fetch_from = now + retry_after_s
        for shard in uncovered:
            if self.follows(shard):
                drawn = self._rng.random() * self.timing.first_pause_s
                self._fetch[shard] = now + (retry_after_s or drawn)

    # Within: a relay's first picture

    def _paged(self, call: RelayCall, reply: Answer, confirmed_at: float) -> None:
        """A page has come; after the last one all is held as of the lowest of them."""
        if self._base != NO_VERSION:
            return
        known = HeldVersion(reply.as_of, confirmed_at)
        self._lowest = known if self._lowest is None else min(self._lowest, known)
        put_off = set(reply.uncovered) if reply.retry_after_s > 0 else set()
        self._untried.difference_update(one.shard for one in call.ask.positions if one.shard not in put_off)
        if not self._untried:
            self._base = self._lowest.version
            self.store.cover(self._base, self._lowest.confirmed_at, None, self._fetch.keys(), self._base)

    # Within: what a sender follows

    def _follow(self, shard: int, now: float) -> None:
        if shard not in self.store:
            self._fetch.setdefault(shard, now)

    def _place(self, news: PlacementUpdate, found: _Collected) -> None:
        if news.revision <= self.placement.revision:
            return
        before = self._placed.keys()
        self.placement, found.placement = news, news
        self._placed = {one.shard: one for one in news.shards}
        for shard in self._placed:
            self._follow(shard, -inf)
        self._release(before - self._placed.keys(), found)

    def _release(self, shards: Iterable[int], found: _Collected) -> None:
        for shard in shards:
            if not self.follows(shard):
                self._fetch.pop(shard, None)
                self._whole.discard(shard)
                self._note(shard, self.store.drop(shard), found)

    def _note(self, shard: int, change: RecordChange, found: _Collected) -> None:
        """Endpoint records have changed; an id belongs to the shard that named it last."""
        if not change:
            return
        found.shards.add(shard)
        if self.all_shards:
            return
        for record in change.gone:
            if self._owner.get(record.id) == shard:
                del self._owner[record.id]
                found.put.pop(record.id, None)
                found.gone.append(record)
        for record in change.put:
            owner = self._owner.get(record.id)
            if owner is not None and owner != shard:
                found.gone.append(record)
            self._owner[record.id] = shard
            found.put[record.id] = record
