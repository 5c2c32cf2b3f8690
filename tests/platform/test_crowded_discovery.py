"""A fleet that finds discovery crowded after an outage, in virtual time: its calls must not keep it crowded.

Discovery handles calls one after another, and a call that it rejects costs it as much time as one that it
answers.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from functools import partial
from random import Random

import pytest

from mountgauge.platform.list_call import Failure, ListCall
from mountgauge.platform.watch import DiscoveryWatch
from mountgauge.platform.watch_bounds import JITTER
from tests.platform.test_watch import bounds_of

SENDERS = 8
DOWN_S = 8.0  # in which discovery breaks each call at once
CROWDED_S = 60.0  # after that, in which each call costs `COST_S`
COST_S = 0.4
PATIENCE_S = 2.0  # the longest time that a call waits for its turn
# Until a sender knows that discovery is crowded, it makes a second call beside an unanswered one.
MAX_QUEUE_S = 2 * SENDERS * COST_S
SAMPLE_S = 1.0
SEEDS = range(20)
SHORT_CROWD_S = 5.0
VERSION = 5


class CrowdedDiscovery:
    """A discovery with one queue, and the senders that call it."""

    def __init__(self, seed: int, crowded_s: float = CROWDED_S, patience_s: float = PATIENCE_S) -> None:
        self.crowded_s, self.patience_s = crowded_s, patience_s
        random = Random(seed)
        self.now, self.free_at, self.calls = 0.0, 0.0, 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.senders = [
            DiscoveryWatch(bounds_of(SENDERS), Random(seed * SENDERS + n)) for n in range(SENDERS)
        ]
        for sender in self.senders:
            self._at(random.uniform(0.0, 1.0), partial(self._start, sender))

    def play(self, until: float) -> None:
        """Handle all events before this time."""
        while self._events[0][0] < until:
            self.now, _, handle = heapq.heappop(self._events)
            handle()
        self.now = until

    def _at(self, time: float, handle: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), handle))

    def _start(self, sender: DiscoveryWatch) -> None:
        sender.start(self.now)
        self._poll(sender)

    def _poll(self, sender: DiscoveryWatch) -> None:
        for call in sender.poll(self.now, VERSION).make:
            if sender.connected(call, self.now):
                self._handle(sender, call)
        at = sender.wakes_at()
        self._at(max(self.now, at), lambda: self._wake(sender, at))

    def _wake(self, sender: DiscoveryWatch, at: float) -> None:
        if sender.wakes_at() == at:  # else a later poll has scheduled another time
            self._poll(sender)

    def _handle(self, sender: DiscoveryWatch, call: ListCall) -> None:
        self.calls += 1
        if self.now < DOWN_S:
            self._at(self.now, lambda: self._fail(sender, call, Failure.BROKEN))
            return
        cost_s = COST_S if self.now < DOWN_S + self.crowded_s else 0.0
        self.free_at = max(self.now, self.free_at) + cost_s
        if self.free_at - self.now > self.patience_s:
            self._at(self.now + self.patience_s, lambda: self._fail(sender, call, Failure.BUSY))
        else:
            self._at(self.free_at + call.wait_s, lambda: self._answer(sender, call))

    def _fail(self, sender: DiscoveryWatch, call: ListCall, failure: Failure) -> None:
        sender.failed(call, failure, self.now)
        self._poll(sender)

    def _answer(self, sender: DiscoveryWatch, call: ListCall) -> None:
        sender.answered(call, VERSION, self.now)
        self._poll(sender)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_fleet_does_not_fill_the_queue_of_a_crowded_discovery(seed: int) -> None:
    """Each sender called again every 1.2 s, whether or not its calls were rejected: the queue grew by 16 s
    in 10 s, and no sender had a list again.
    """
    discovery = CrowdedDiscovery(seed)
    recovered_at = DOWN_S + CROWDED_S
    while discovery.now < recovered_at:
        discovery.play(discovery.now + SAMPLE_S)
        assert discovery.free_at - discovery.now <= MAX_QUEUE_S
    bounds = bounds_of(SENDERS)
    last_back_off_s = (1 + JITTER) * bounds.max_back_off_s + bounds.spread_s
    discovery.play(recovered_at + MAX_QUEUE_S + PATIENCE_S + last_back_off_s)
    reasons = [sender.lease_end_reason(discovery.now) for sender in discovery.senders]
    assert reasons == [None] * SENDERS


def test_each_sender_has_a_list_soon_after_a_short_crowd() -> None:
    """After it a call may be rejected once more, back off, and wait for its answer."""
    bounds = bounds_of(SENDERS)
    last_back_off_s = (1 + JITTER) * bounds.max_back_off_s + bounds.spread_s
    without_list = {}
    for seed in SEEDS:
        discovery = CrowdedDiscovery(seed, SHORT_CROWD_S)
        discovery.play(DOWN_S + SHORT_CROWD_S + PATIENCE_S + last_back_off_s + PATIENCE_S)
        reasons = [sender.lease_end_reason(discovery.now) for sender in discovery.senders]
        if reasons != [None] * SENDERS:
            without_list[seed] = SENDERS - reasons.count(None)
    assert not without_list


def test_a_fleet_does_not_fill_the_queue_of_a_crowded_discovery_that_rejects_nothing() -> None:
    """Nothing tells the senders that it is crowded, except that it answers late."""
    queues_s = {}
    for seed in SEEDS:
        discovery = CrowdedDiscovery(seed, patience_s=math.inf)
        while discovery.now < DOWN_S + CROWDED_S:
            discovery.play(discovery.now + SAMPLE_S)
        queues_s[seed] = round(discovery.free_at - discovery.now, 1)
    assert max(queues_s.values()) <= MAX_QUEUE_S
