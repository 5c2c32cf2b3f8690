"""All decisions of the relay: the HostDB mechanism and its extensions (docs/design.md, interface.py)."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from heapq import nlargest
from random import Random
from typing import Any

from rillspindle import interface as io
from rillspindle.catalog import Catalog
from rillspindle.interface import Outcome, Readiness
from rillspindle.state import Call, Dest, Endpoint, Message, Route

FAIL_WINDOW_S = 1.0  # short, as the paper's "Future" suggests: a trial costs one message, missing ones many
TRIAL_SHARE = 0.5  # of a cold destination's capacity; the rest is for nodes not yet aware of the outage
JITTER_SHARE = 0.25  # by which windows and retries are spread, so that nodes don't retry together
INITIAL_RTT_S = 0.5  # assumed response time of an endpoint that has not answered yet
MEAN_GAIN, DEVIATION_GAIN = 1 / 8, 1 / 4  # of the smoothed response time and its deviation, as in RFC 6298
TIMEOUT_DEVIATIONS = 4.5  # past the mean until an attempt times out: response times have long tails
MIN_TIMEOUT_SHARE = 0.4  # of the target latency; a shorter timeout marks healthy endpoints down
CHANCE_FAILURES = 2  # consecutive failures that may be chance; more are an outage
FAILURE_GAIN = 0.25  # weight of the newest outcome in an endpoint's share of failures
UNSAFE_SHARE, OUTAGE_SHARE, DOWN_SHARE = 0.3, 0.6, 0.8  # of failures: no unsafe message; outage; down
RATE_CUT = 0.5  # factor of the send rate limit after a rejection; the first cuts the recent rate
RATE_STEP = 0.1  # calls/s added by each success: any send rate limit grows by a tenth each second
STEP_BELOW_LIMIT, STEP_ABOVE_LIMIT = 0.2, 0.01  # of a known limit, below and above it
RAMP_RATE, CAREFUL_RAMP_RATE = 0.6, 0.3  # 1/s growth of a ramp: before and after the first rejection
REJECTION_GAIN = 1 / 8  # weight of the newest outcome in a route's share of rejections
MIN_SEND_RATE = 0.5  # calls/s of all nodes together; below it messages stay queued until they are useless
RATE_SPAN_S = 8.0  # over which a route's healthy send rate is averaged
LIMIT_TRUST = 0.9  # share of an approximate or reported limit that can be relied on
SLOW_START_FACTOR = 1.1  # times this node's share of a slow start: healthy rates leave capacity unused
SCARCE_SHARE = 0.75  # of the slots in use, from which a call without an answer delays other messages
DEST_SHARE = 0.5  # of the slots, and of the queued messages, for one destination at most
OPEN_SHARE = 0.9  # of the messages allowed at once: at the maximum every destination is rejected
RETRY_DELAY_S = 0.3  # before the retry after an error; doubles with each attempt
NODES_PER_SLOT = 4  # above this ratio retries fill limits, and each node sees few of the outcomes
NODES_PER_CONNECTION = 16  # above this ratio idle connections of the nodes fill an endpoint's table
LIST_CALL_S = 0.2  # of discovery's time that a node leaves to each of the others after a failed list call
QUEUE_SCAN = 256  # queued messages compared at once, each of the oldest and of the newest
PROTECTED_SHARE = 0.7  # of its time in which an accepted message that has not run is not abandoned
FORGET_FACTOR = 10  # times the warm-up after which a destination without endpoints or messages is forgotten
MAX_LOG_LINES = 60  # of one instance


class Policy:
    """The decisions of one node. Pass it every event in order; perform the returned actions in order."""

    def __init__(self, settings: Mapping[str, Any], seed: int) -> None:
        self.settings = io.Settings.from_mapping(settings)
        self.random = Random(seed)
        self.catalog = Catalog()
        self.endpoints, self.destinations = self.catalog.endpoints, self.catalog.destinations
        self.messages: dict[int, Message] = {}
        self.finished: dict[int, Message] = {}  # with attempts still in flight
        self.key_queues: dict[int, deque[Message]] = {}
        self.key_free_at: dict[int, float] = {}
        self.min_rate = MIN_SEND_RATE / self.settings.balancers
        self.many_nodes = self.settings.balancers > NODES_PER_SLOT * self.settings.workers
        self.used_slots = self.watch_failures = self.log_lines = 0  # `watch_failures`: in a row
        self.starved = False  # a message could be sent if a slot were free
        self.now = self.started_at = 0.0
        self.actions: list[io.Action] = []

    def handle(self, event: io.Event, now: float) -> list[io.Action]:
        """Apply one event; return the actions to perform, in order."""
        self.now, self.actions, self.started_at = now, [], self.started_at or now
        match event:
            case io.Incoming() | io.Restored():
                self._take(event)
            case io.Response():
                self._outcome(event)
            case io.Ring(token):
                self._handle_timer(token)
            case io.Targets():
                self._list(event)
            case io.Remembered(dest_id, wait, limit, endpoint):  # may only make a start more careful
                known = self.endpoints.get(endpoint)
                route = self.catalog.dest(dest_id).route if known is None else known.route
                route.wait_until, route.rate_limit = (
                    max(route.wait_until, now + wait),
                    min(route.rate_limit, limit),
                )
            case io.Withdrawn(msg_id) if msg_id in self.messages:
                self._finish(self.messages[msg_id])
        return self.actions

    # Discovery
    def _list(self, event: io.Targets) -> None:
        """Apply a list or its changes; start a watch where changes don't arrive without one."""
        if event.kind == io.ListKind.FAILED:
            self.watch_failures += 1
            delay = self._jitter(min(self.settings.ask_within / 4, 0.25 * 2**self.watch_failures))
            # calls that wait too long load discovery as well: spread those of all nodes over its time
            span = (
                min(LIST_CALL_S * self.settings.balancers, self.settings.ask_within)
                if self.many_nodes
                else 0.0
            )
            self.actions.append(io.Schedule(delay + span * self.random.random(), 1 << 40))
            return
        if event.kind == io.ListKind.CACHED and self.settings.subscribe:
            self.actions.append(io.Watch(True))
        elif event.kind != io.ListKind.CACHED:
            self.watch_failures = 0
        if event.kind != io.ListKind.DELTA:  # an endpoint missing from a full list is gone
            self.catalog.retain({entry.endpoint for entry in event.entries})
        for entry in event.entries:
            if entry.readiness == Readiness.GONE:  # a later endpoint with this id is a different one
                self.catalog.remove(entry.endpoint)
            else:
                self._add_listed(entry)
        self.catalog.refresh(self.now, FORGET_FACTOR * self.settings.cold)
        for dest in self.catalog.waiting():
            self._pump(dest)

    def _add_listed(self, entry: io.Entry) -> None:
        dest = self.catalog.dest(entry.owner)
        if (ep := self.endpoints.get(entry.endpoint)) is None:  # earlier failures were of another endpoint
            route = Route() if self.settings.routes_apart[entry.kind] else dest.route
            ep = Endpoint(
                entry.endpoint, entry.zone, entry.kind, dest, route, INITIAL_RTT_S, INITIAL_RTT_S / 2
            )
            self.catalog.add(ep)
            route.window_end, route.failures = 0.0, 0
            route.rate_limit = max(route.rate_limit, route.limit * (not route.ramp))
        self.catalog.set_ready(ep, entry.readiness == Readiness.READY)
        if self.settings.weights in ("nominal", "rough") and entry.scale > 0:
            trust = 1.0 if self.settings.weights == "nominal" else LIMIT_TRUST
            ep.route.limit = trust * entry.scale / self.settings.balancers
            if self.many_nodes and ep.route.rate_limit == math.inf:  # else each learns it by rejections
                ep.route.rate_limit = ep.route.limit
        if self.settings.ramp and not ep.route.ramp and ep.route.answered_at == -math.inf:
            ep.route.ramp, ep.route.cold_since = RAMP_RATE, self.now if ep.route.limit else -math.inf
            ep.route.rate_limit = min(ep.route.rate_limit, self._ramp_start(ep))
            ep.route.next_at = self.now + self._interval(ep, self.random.random())

    # Messages
    def _take(self, event: io.Incoming | io.Restored) -> None:
        """Add a new message or a restored one, whose attempts count; one without time left is abandoned."""
        cls, dest = self.settings.message_classes[event.message_class], self.catalog.dest(event.dest)
        msg = Message(event.msg_id, event.expires, cls, dest, 0, self.settings.value_halves)
        self.messages[msg.id] = msg
        dest.unfinished += 1
        until = self.now + PROTECTED_SHARE * (msg.expires - self.now)
        if isinstance(event, io.Restored):
            msg.attempts, msg.maybe_ran, msg.protected_until = event.attempts, list(event.maybe_ran), until
            return self._retry(msg, Outcome.MOOT)
        dest.accepted += 1
        if cls.by_arrival and event.key:
            msg.key = event.key
            self.key_queues.setdefault(msg.key, deque()).append(msg)
        self._hold(msg)
        msg.protected_until = until  # set last: up to here the message is not accepted yet

    def _last_useful_at(self, msg: Message) -> float:
        """When no further call can pay off, or the destination may have forgotten the message's key."""
        latency = min((ep.latency for ep in msg.dest.endpoints), default=0.0)
        last = msg.expires - max(min(latency, msg.message_class.target_latency), 4 * self.settings.tick)
        if msg.message_class.semantics == "deduplicated" and msg.maybe_ran:
            last = min(last, msg.maybe_ran[0][0] + msg.message_class.repeat_window - 2 * self.settings.tick)
        return last

    def _hold(self, msg: Message) -> None:
        """Queue a message and send what can be sent; above the limit abandon the least valuable one."""
        dest = msg.dest
        self.actions.append(io.Schedule(max(0.0, self._last_useful_at(msg) - self.now), msg.id))
        self.catalog.queue(msg)
        self._pump(dest)
        full = len(self.messages) > self.settings.max_open * OPEN_SHARE
        if msg.id in dest.queued and (full or len(dest.queued) > self.settings.max_open * DEST_SHARE):
            then = {d: self.now + self._drain_time(d) for d in (self.catalog.waiting() if full else [dest])}
            queued = [
                m for d in then for m in d.queued.values() if m.maybe_ran or m.protected_until <= self.now
            ]
            if queued:  # a message that has not run keeps its chance of an attempt, also over a restart
                self._abandon(min(queued, key=lambda m: (m.value_at(then[m.dest]), -m.created_at)))

    def _drain_time(self, dest: Dest) -> float:
        """Seconds until all queued messages of a destination are sent, waits and fail windows included."""
        wait = min((self._next_call_at(ep) for ep in dest.endpoints), default=math.inf) - self.now
        routes = list({id(ep.route): ep.route for ep in dest.endpoints}.values())
        rate = sum(min(max(r.rate, r.limit, 1.0), r.rate_limit) for r in routes)
        return max(
            0.5, wait if wait < math.inf else FAIL_WINDOW_S, len(dest.queued) / max(rate, self.min_rate)
        )

    def _abandon(self, msg: Message) -> None:
        """Finish a message undelivered: rejected where a resubmission is harmless, else failed (rule 2)."""
        retry_after = min(self._drain_time(msg.dest), self.settings.max_retry_after)
        harmless = msg.repeatable or not (msg.maybe_ran or msg.in_flight)
        self.actions.append(io.PushBack(msg.id, retry_after) if harmless else io.Abort(msg.id))
        self._finish(msg)

    def _finish(self, msg: Message) -> None:
        """Remove a finished message; attempts in flight keep their slot and their key."""
        msg.finished = True
        self.messages.pop(msg.id, None)
        msg.dest.unfinished -= 1
        msg.dest.queued.pop(msg.id, None)
        if msg.in_flight:
            self.finished[msg.id] = msg
        self._release_key(msg)

    def _release_key(self, msg: Message) -> None:
        """Unblock the next message of a key once all before it are finished, with no attempt in flight."""
        queue = self.key_queues.get(msg.key, deque())
        while queue and queue[0].finished and not queue[0].in_flight:
            queue.popleft()
        if queue:
            self._pump(queue[0].dest)
        elif self.key_free_at.get(msg.key, 0.0) <= self.now:
            self.key_queues.pop(msg.key, None)
            self.key_free_at.pop(msg.key, None)

    def _handle_timer(self, token: int) -> None:
        if token == 1 << 40:
            self.actions.append(io.Watch(True))
        elif token >= 1 << 32:
            if (dest := self.destinations.get(token - (1 << 32))) is not None:
                dest.wake_at = math.inf
                self._pump(dest)
        elif (msg := self.messages.get(token)) is not None and not msg.in_flight:
            if self._last_useful_at(msg) <= self.now + self.settings.tick:
                self._abandon(msg)
            else:
                self.actions.append(io.Schedule(self._last_useful_at(msg) - self.now, msg.id))

    # Limits on calls
    def _next_call_at(self, ep: Endpoint) -> float:
        """Earliest time of the next call to this endpoint; infinite if it depends on an event."""
        at = max(ep.route.wait_until, ep.route.next_at, ep.route.window_end)
        return at if not ep.failed_at else math.inf if ep.trial else max(at, ep.window_end)

    def _rate_cap(self, ep: Endpoint) -> float:
        """Calls/s allowed by the send rate limit after rejections and by slow start (rule 4)."""
        route, demand = ep.route, self._demand(ep.dest)
        age = self.now - route.cold_since if route.answered_at >= route.cold_since else 0.0
        if age >= self.settings.cold:
            return route.rate_limit
        base = max(route.rate, route.limit, demand, 1 / self.settings.cold)
        warm = (
            self.settings.start_capacity
            + (1 - self.settings.start_capacity) * max(0.0, age) / self.settings.cold
        )
        return min(route.rate_limit, SLOW_START_FACTOR * self.settings.fall_multiple * warm * base)

    def _ramp_start(self, ep: Endpoint) -> float:
        """Calls/s of this node that a cold destination can serve; without a known limit two per RTT."""
        return max(self.settings.start_capacity * ep.route.limit or 2 / INITIAL_RTT_S, self.min_rate)

    def _interval(self, ep: Endpoint, share: float = 1.0) -> float:
        """Seconds to the next call. A ramp grows meanwhile: a rare sender would hardly learn otherwise."""
        rate, ramp = max(self._rate_cap(ep), self.min_rate) / share, ep.route.ramp
        return math.log1p(ramp / rate) / ramp if ramp else 1 / rate

    def _demand(self, dest: Dest) -> float:
        """Messages/s that this node has accepted for a destination since its start."""
        return dest.accepted / max(self.now - self.started_at, RATE_SPAN_S)

    def _fail_window(self, ep: Endpoint) -> float:
        """The fail window grows with the outage, as about demand * age nodes send trials then (rule 4)."""
        age, gap = self.now - ep.route.down_at, 1 / max(self._demand(ep.dest), self.min_rate)
        share = self.settings.fall_multiple * self.settings.start_capacity
        share *= TRIAL_SHARE if age < gap else 1.0  # after `gap` the other nodes have observed the outage too
        return self._jitter(max(FAIL_WINDOW_S, min(age, gap) / share))

    def _allowed(self, msg: Message, ep: Endpoint) -> bool:
        """Whether the message may be sent there: no duplicate (rule 2), no unsafe one that may get lost."""
        semantics = msg.message_class.semantics
        if semantics == "at_most_once":
            return not msg.maybe_ran and ep.fail_share <= UNSAFE_SHARE
        if semantics == "deduplicated" and msg.maybe_ran:
            same = msg.message_class.group == "all" or all(zone == ep.zone for _, zone in msg.maybe_ran)
            return same and self._last_useful_at(msg) > self.now
        return True

    def _joins(self, ep: Endpoint) -> bool:
        """Whether a call begun at this same time still has capacity, up to the batch size of its kind."""
        most = self.settings.kind_batch[ep.kind]
        return any(call.sent_at == self.now and not call.trial and call.size < most for call in ep.calls[-1:])

    def _sendable_at(self, msg: Message) -> float:
        """When order by key (rule 6) and the delay after an error allow the message to be sent."""
        if msg.key and self.key_queues[msg.key][0] is not msg:
            return math.inf
        return max(msg.not_before, 0.0 if msg.attempts else self.key_free_at.get(msg.key, 0.0))

    def _pump(self, dest: Dest) -> None:
        """Send queued messages, those that lose most by waiting first; schedule a timer for the rest."""
        if not dest.queued:
            return
        due = math.inf
        is_open = any(self._next_call_at(ep) <= self.now for ep in dest.endpoints)
        if is_open and self.used_slots >= self.settings.workers and not any(map(self._joins, dest.endpoints)):
            self.starved = True  # scanning the queue would be useless
        elif is_open:
            then = self.now + self._drain_time(dest)
            queued = list(dest.queued.values())  # restored messages come first, new ones last
            queued = queued[:QUEUE_SCAN] + queued[max(QUEUE_SCAN, len(queued) - QUEUE_SCAN) :]
            loss = {m.id: m.value_at(then) - m.value_at(self.now) for m in queued}
            for msg in sorted(queued, key=lambda m: (loss[m.id], m.created_at)):
                if (sendable_at := self._sendable_at(msg)) > self.now:
                    due = min(due, sendable_at)
                elif (ep := self._choose_endpoint(msg)) is not None:
                    self._send(msg, ep)
                elif not msg.maybe_ran and msg.message_class.semantics != "at_most_once":
                    break  # none for a message that every endpoint may get: the others won't find one either
        if dest.queued:
            due = min([due, *(at for ep in dest.endpoints if (at := self._next_call_at(ep)) > self.now)])
            if due < dest.wake_at - self.settings.tick:
                dest.wake_at = due
                self.actions.append(io.Schedule(max(due - self.now, self.settings.tick), (1 << 32) + dest.id))

    def _choose_endpoint(self, msg: Message) -> Endpoint | None:
        """The endpoint for this message: a call to join, one due for a trial, or the soonest answer."""
        allowed = [ep for ep in msg.dest.endpoints if self._allowed(msg, ep)]
        if (joined := next((ep for ep in allowed if self._joins(ep)), None)) is not None:
            return joined
        slots_left = len([1 for ep in msg.dest.endpoints for _ in ep.calls]) < max(
            2, DEST_SHARE * self.settings.workers
        )
        ready = [ep for ep in allowed if self._next_call_at(ep) <= self.now]
        self.starved = self.starved or bool(ready and self.used_slots >= self.settings.workers)
        if not ready or not slots_left or self.used_slots >= self.settings.workers:
            return None
        # other nodes' calls are unknown: without a random share all nodes would choose the same endpoint
        more, rnd = (self.settings.balancers - 1) / self.settings.workers, self.random.random
        return min(ready, key=lambda ep: (ep.failed_at == 0, ep.latency * (1 + len(ep.calls) + more * rnd())))

    def _send(self, msg: Message, ep: Endpoint) -> None:
        if self._joins(ep):
            call = ep.calls[-1]
        else:
            call = Call(ep, self.now, ep.failed_at > 0)
            ep.calls.append(call)
            self.used_slots += 1
            ep.route.record_call(self.now)
            ep.route.next_at = max(ep.route.next_at, self.now) + self._interval(ep)
            if ep.failed_at:  # a trial: the endpoint counts as down again at once
                ep.trial, ep.window_end = True, self.now + self._fail_window(ep)
                if ep.route.failures > CHANCE_FAILURES:  # one trial for all endpoints of a route
                    ep.route.window_end = ep.window_end
        call.unanswered, call.size = call.unanswered + 1, call.size + 1
        del msg.dest.queued[msg.id]
        msg.in_flight[msg.attempts] = call
        msg.attempts += 1
        # unanswered calls must not hold slots: no connect time where a repeat is harmless, and no more than
        # the target latency besides; longer after each timeout, as a slow message stays slow
        patience = max(
            ep.latency + TIMEOUT_DEVIATIONS * ep.latency_dev,
            MIN_TIMEOUT_SHARE * msg.message_class.target_latency,
        )
        patience *= 2 ** min(len(msg.maybe_ran), 3)
        scarce = self.used_slots >= SCARCE_SHARE * self.settings.workers
        if call.trial or not (scarce and msg.repeatable):
            patience += self.settings.connect_timeout
        if call.trial or scarce:
            patience = min(patience, self.settings.connect_timeout + msg.message_class.target_latency)
        call.timeout = max(call.timeout, patience)
        self.actions.append(io.Issue(msg.id, ep.id, min(patience, msg.expires - self.now)))

    def _jitter(self, span: float) -> float:
        return span * (1 + JITTER_SHARE * self.random.random())

    def _outcome(self, event: io.Response) -> None:
        msg = self.messages.get(event.msg_id) or self.finished.get(event.msg_id)
        if msg is None or event.send_no not in msg.in_flight:
            return
        call = msg.in_flight.pop(event.send_no)
        call.unanswered -= 1
        if not call.unanswered:
            call.ep.calls.remove(call)
            self.used_slots -= 1
        self._evaluate(call, event)
        if self.settings.balancers > NODES_PER_CONNECTION * self.settings.workers and not call.ep.calls:
            self.actions.append(io.Close(call.ep.id))  # idle connections of all nodes would fill its table
        if event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT):
            msg.maybe_ran.append((call.sent_at, call.ep.zone))
        if msg.key and event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.key_free_at[msg.key] = self.now + self.settings.turn_gap
        if msg.finished:
            self.finished.pop(msg.id, None)
            self._release_key(msg)
        elif event.message_finished:
            self._finish(msg)
        elif not msg.in_flight:
            self._retry(msg, event.outcome)
        if self.starved and self.used_slots < self.settings.workers:
            self.starved = False
            for dest in sorted(self.catalog.waiting(), key=self._slot_worth, reverse=True):
                self._pump(dest)
        else:
            self._pump(call.ep.dest)

    def _slot_worth(self, dest: Dest) -> float:
        """Value per second of a slot at a destination: slow destinations must not starve fast ones."""
        if not dest.queued or not dest.endpoints:
            return 0.0
        delay = min(ep.latency for ep in dest.endpoints)
        batch = max(self.settings.kind_batch[ep.kind] for ep in dest.endpoints)
        return sum(nlargest(batch, (msg.value_at(self.now + delay) for msg in dest.queued.values()))) / delay

    def _retry(self, msg: Message, outcome: int) -> None:
        """Queue a message for a further attempt, or abandon it where none is allowed or useful."""
        no_repeat = msg.maybe_ran and msg.message_class.semantics == "at_most_once"
        if no_repeat or msg.attempts >= self.settings.attempts_cap or self._last_useful_at(msg) <= self.now:
            self._abandon(msg)
        else:
            if outcome == Outcome.ERROR:
                msg.not_before = self.now + self._jitter(RETRY_DELAY_S * 2 ** (msg.attempts - 1))
            self._hold(msg)

    def _evaluate(self, call: Call, event: io.Response) -> None:
        """Update endpoint and route from an outcome, once a call: its messages share their outcome."""
        ep, outcome = call.ep, event.outcome
        if event.retry_after_ms > 0 and outcome != Outcome.MOOT:
            ep.route.wait_until = max(ep.route.wait_until, self.now + event.retry_after_ms / 1000)
        cut_off = outcome == Outcome.TIMEOUT and event.elapsed + self.settings.tick < call.timeout
        if cut_off or event.stale:
            # the message expired, or a kept connection had been closed: neither says anything about the
            # endpoint, and if it is gone the next attempt fails to connect
            if call.trial and not call.unanswered:
                ep.trial, ep.window_end = False, self.now
                ep.route.window_end = min(ep.route.window_end, self.now)
            return
        if call.outcome and (outcome != Outcome.OK or call.outcome == Outcome.OK):
            return
        call.outcome = outcome
        ep.route.reject_share += REJECTION_GAIN * ((outcome == Outcome.FULL) - ep.route.reject_share)
        ep.route.reject_since = (
            min(ep.route.reject_since, self.now) if ep.route.reject_share > 0.5 else math.inf
        )
        if (reported := dict(zip(self.settings.report_fields, event.stats, strict=False)).get("x1", 0.0)) > 0:
            ep.route.limit = reported / self.settings.balancers * LIMIT_TRUST
        if outcome == Outcome.OK:
            self._on_success(ep, event.elapsed)
        elif outcome == Outcome.FULL:
            self._on_rejected(call, event.retry_after_ms / 1000)
        elif outcome == Outcome.ERROR:
            ep.answered_at = self.now
            self._on_failure(
                call,
                ep.fail_share > DOWN_SHARE
                or (self.many_nodes and self.now - ep.route.answered_at > RATE_SPAN_S),
            )
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET):
            if outcome == Outcome.TIMEOUT:  # a slow endpoint is recognised by longer timeouts, within bounds
                ep.latency_dev = max(ep.latency_dev, event.elapsed / 8)
            # If other calls were answered since, the endpoint's connection table is full: no outage.
            self._on_failure(call, ep.answered_at < call.sent_at)
        if call.trial:
            ep.trial = False

    def _on_success(self, ep: Endpoint, elapsed: float) -> None:
        """A success marks the endpoint up and raises the send rate limit by a step."""
        route, ep.answered_at = ep.route, self.now
        ep.fail_share *= 1 - FAILURE_GAIN
        ep.latency_dev += DEVIATION_GAIN * (abs(elapsed - ep.latency) - ep.latency_dev)
        ep.latency += MEAN_GAIN * (elapsed - ep.latency)
        if ep.failed_at:
            # a single failure during warm-up is chance: a new slow start each time would never finish
            if route.failures > CHANCE_FAILURES or ep.fail_share > OUTAGE_SHARE:
                route.cold_since = self.now
            ep.failed_at, ep.trial, ep.fail_share = 0.0, False, min(ep.fail_share, UNSAFE_SHARE)
            self._log(f"up {ep.id.hex()}: answered")
        ep.failures = 0
        if self.now - route.cold_since >= self.settings.cold:
            route.rate = route.rate * math.exp((route.answered_at - self.now) / RATE_SPAN_S) + 1 / RATE_SPAN_S
        if route.answered_at < route.cold_since:  # slow start begins at the first answer of any endpoint
            route.cold_since = self.now
        if route.ramp:  # an answer covers the time since the previous one, up to one interval between calls
            route.rate_limit = max(route.rate_limit, self._ramp_start(ep))
            route.rate_limit *= math.exp(route.ramp * min(self.now - route.answered_at, self._interval(ep)))
            if route.rate_limit >= max(route.limit, 2 * self._demand(ep.dest)):
                route.ramp, route.rate_limit = 0.0, route.limit or math.inf
        else:
            route.rate_limit += (
                STEP_BELOW_LIMIT if route.rate_limit < route.limit else STEP_ABOVE_LIMIT
            ) * route.limit or RATE_STEP
        route.answered_at, route.failures, route.window_end = self.now, 0, 0.0

    def _on_rejected(self, call: Call, wait: float) -> None:
        """Over its limit, or closed: apply the required wait (rule 5) and lower the send rate limit."""
        ep, route = call.ep, call.ep.route
        if wait > self.settings.fall:  # longer than a limit needs: closed, and cold when it opens
            route.cold_since = route.wait_until
        if self.now - ep.answered_at > self.settings.fall:  # only rejections: closed, not over its limit
            self._on_failure(call, False)
        if self.now - route.reduced_at >= 1.0:  # halved at most once a second
            route.reduced_at = self.now
            rate = route.calls_since(self.now - RATE_SPAN_S) / RATE_SPAN_S
            rate = max(self.min_rate, RATE_CUT * (rate if route.rate_limit == math.inf else route.rate_limit))
            # with few rejections per node a lower limit looks like a burst: many nodes go below the floor
            if route.ramp or self.now - route.reject_since > self.settings.fall + CHANCE_FAILURES / (
                route.limit or rate
            ):
                route.ramp = CAREFUL_RAMP_RATE  # longer than a limit takes to recover: floors may prolong it
            floor = 0.0 if route.ramp else route.limit * (1 - self.settings.ramp * route.reject_share)
            route.rate_limit = max(floor * (RATE_CUT if self.many_nodes else 1.0), rate)
        # random, as many nodes are rejected or have to wait at the same time
        rest = (1 + self.many_nodes) * self.random.random() / max(route.rate_limit, self.min_rate)
        route.next_at = max(route.next_at, max(self.now, route.wait_until) + rest)

    def _on_failure(self, call: Call, fatal: bool) -> None:
        """Record a failure; a fatal one marks the endpoint down. If the route answered recently, a first one
        may be chance: its trial is due at once, after a second in part of the window, after a third in all.
        """
        ep, route = call.ep, call.ep.route
        ep.fail_share, ep.failures = ep.fail_share + FAILURE_GAIN * (1 - ep.fail_share), ep.failures + fatal
        if ep.fail_share > OUTAGE_SHARE or route.failures > CHANCE_FAILURES:
            route.cold_since = max(route.cold_since, self.now)
        if not fatal:
            return
        if not ep.failed_at:
            self._log(f"down {ep.id.hex()}: {Outcome(call.outcome).name.lower()}")
        if not route.failures:
            route.down_at = call.sent_at
        # without a recent answer of the route a failure is an outage, not chance
        route.failures += 1 if self.now - route.answered_at < RATE_SPAN_S else CHANCE_FAILURES + 1
        ep.failed_at = self.now
        count = max(ep.failures, route.failures) - 1
        later = self.now + self._fail_window(ep) * min(1.0, (count / CHANCE_FAILURES) ** 2)
        ep.window_end = max(ep.window_end, later) if count else later
        if route.failures > 1:  # an outage mostly affects all endpoints of a route
            route.window_end = later

    def _log(self, line: str) -> None:
        if self.log_lines < MAX_LOG_LINES:
            self.log_lines += 1
            self.actions.append(io.WriteLog(line))
