"""Every decision of the relay: the HostDB mechanism and its extensions (docs/design.md, interface.py)."""

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

FAIL_WINDOW = 1.0  # s; short, as the paper's "Future" wishes: a trial costs one message, silence costs many
TRIAL_SHARE = 0.5  # of what a cold destination bears; the rest is for nodes that know of no outage
JITTER = 0.25  # share by which windows and retries are spread, so that nodes don't try together
FIRST_USUAL = 0.5  # s; usual time of an endpoint that has not answered yet
SMOOTH, SMOOTH_DEV = 1 / 8, 1 / 4  # gains of the mean and deviation of answer times, as in RFC 6298
LATE_DEVS = 4.5  # deviations past the mean at which an attempt is given up: answer times have long tails
LEAST_PATIENCE = 0.4  # of the aim; sooner than that no answer is late, and a false alarm shuts an endpoint
PROVEN = 2  # failures in a row that may be chance; more are an outage
BAD_GAIN = 0.25  # weight of the newest outcome in an endpoint's share of bad ones
UNSAFE_BAD, AILING, DEAD = 0.3, 0.6, 0.8  # shares of bad outcomes: no unsafe message; an outage; down
PACE_CUT = 0.5  # factor of the pace at a refusal as full; the first one takes the last calls' rate
PACE_STEP = 0.1  # calls/s by which each success raises the pace: a tenth of any pace in each second
PACE_BACK, PACE_ON = 0.2, 0.01  # the same as parts of a known limit: while the pace is below it, and past it
RAMP, RAMP_CUT = 0.6, 0.3  # 1/s by which a pace rises that must be shown: until a call is refused, and then
FULL_GAIN = 1 / 8  # weight of the newest outcome in a route's share of refusals
PACE_LEAST = 0.5  # calls/s of all nodes together; under their part of it a pace holds messages past any use
RATE_SPAN = 8.0  # s over which a route's healthy rate is averaged
WEIGHT_TRUST = 0.9  # part of a rough or reported limit that is surely there
SLOW_START_PART = 1.1  # times this node's healthy share of the budget: healthy rates leave capacity unused
SCARCE = 0.75  # share of the slots taken from which an unanswered call costs others their turn
DEST_SHARE = 0.5  # most of the slots, and of the held messages, for one destination
OPEN_SHARE = 0.9  # most of what may be held in all: past all of it the door shuts for every destination
RETRY_AFTER_ERROR = 0.3  # s before a message goes out again after an error; doubles with each attempt
NODES_PER_SLOT = 4  # nodes for each slot of one from which retries fill limits, and each sees little of one
NODES_PER_PLACE = 16  # the same, from which idle connections fill an endpoint's table
LIST_CALL = 0.2  # s of discovery's time that a node leaves for each of many others after a failed call
LOOKED = 256  # held messages that are weighed at once, of the oldest and of the newest
OWED = 0.7  # of its time in which a message that was taken on and has surely not run is not given up
FORGET = 10  # times the warm-up after which a destination without endpoints or messages is forgotten
LOG_LINES = 60  # most log lines of one instance


class Policy:
    """The decisions of one node. Feed it every event in order; carry out the actions in order."""

    def __init__(self, settings: Mapping[str, Any], seed: int) -> None:
        self.settings = io.Settings.from_mapping(settings)
        self.random = Random(seed)
        self.catalog = Catalog()
        self.endpoints, self.destinations = self.catalog.endpoints, self.catalog.destinations
        self.messages: dict[int, Message] = {}
        self.late: dict[int, Message] = {}  # over, with attempts still out
        self.keys: dict[int, deque[Message]] = {}
        self.key_free: dict[int, float] = {}
        self.min_rate = PACE_LEAST / self.settings.balancers
        self.many = self.settings.balancers > NODES_PER_SLOT * self.settings.workers
        self.busy = self.watch_tries = self.logged = 0  # slots taken, failed list calls, log lines
        self.starved = False  # a message could go but for a slot
        self.now = self.started_at = 0.0
        self.out: list[io.Action] = []

    def handle(self, event: io.Event, now: float) -> list[io.Action]:
        """Take one event; return what to do, in order."""
        self.now, self.out, self.started_at = now, [], self.started_at or now
        match event:
            case io.Incoming() | io.Restored():
                self._take(event)
            case io.Response():
                self._outcome(event)
            case io.Ring(token):
                self._ring(token)
            case io.Targets():
                self._list(event)
            case io.Remembered(dest_id, wait, pace):  # it makes a start more careful, never bolder
                route = self.catalog.dest(dest_id).route
                route.wait_until, route.rate_limit = (
                    max(route.wait_until, now + wait),
                    min(route.rate_limit, pace),
                )
            case io.Withdrawn(msg_id) if msg_id in self.messages:
                self._close(self.messages[msg_id])
        return self.out

    # Discovery
    def _list(self, event: io.Targets) -> None:
        """Bring the list up to date; ask for changes where they don't come by themselves."""
        if event.how == io.ListKind.FAILED:
            self.watch_tries += 1
            delay = self._jitter(min(self.settings.ask_within / 4, 0.25 * 2**self.watch_tries))
            # calls that wait too long cost discovery too: all nodes must find a place in its time
            others = min(LIST_CALL * self.settings.balancers, self.settings.ask_within) if self.many else 0.0
            self.out.append(io.Schedule(delay + others * self.random.random(), 1 << 40))
            return
        if event.how == io.ListKind.CACHED and self.settings.subscribe:
            self.out.append(io.Watch(True))
        elif event.how != io.ListKind.CACHED:
            self.watch_tries = 0
        if event.how != io.ListKind.DELTA:  # an endpoint missing from a whole list is gone
            self.catalog.retain({entry.endpoint for entry in event.entries})
        for entry in event.entries:
            if entry.readiness == Readiness.GONE:  # whoever comes under its id later is another
                self.catalog.remove(entry.endpoint)
            else:
                self._enlist(entry)
        self.catalog.refresh(self.now, FORGET * self.settings.cold)
        for dest in self.catalog.waiting():
            self._pump(dest)

    def _enlist(self, entry: io.Entry) -> None:
        dest = self.catalog.dest(entry.owner)
        if (ep := self.endpoints.get(entry.endpoint)) is None:  # what was learned is not of this one
            route = Route() if self.settings.routes_apart[entry.kind] else dest.route
            ep = Endpoint(entry.endpoint, entry.zone, entry.kind, dest, route, FIRST_USUAL, FIRST_USUAL / 2)
            self.catalog.add(ep)
            route.window_end, route.misses = 0.0, 0
            route.rate_limit = max(route.rate_limit, route.limit * (not route.ramp))
        self.catalog.set_ready(ep, entry.readiness == Readiness.READY)
        if self.settings.weights in ("nominal", "rough") and entry.scale > 0:
            sure = 1.0 if self.settings.weights == "nominal" else WEIGHT_TRUST
            ep.route.limit = sure * entry.scale / self.settings.balancers
            if self.many and ep.route.rate_limit == math.inf:  # else each is refused before it learns it
                ep.route.rate_limit = ep.route.limit
        if self.settings.ramp and not ep.route.ramp and ep.route.rate_at == -math.inf:
            ep.route.ramp, ep.route.cold_since = RAMP, self.now if ep.route.limit else -math.inf
            ep.route.rate_limit = min(ep.route.rate_limit, self._ramp_start(ep))
            ep.route.next_at = self.now + self._turn(ep, self.random.random())

    # Life of a message
    def _take(self, event: io.Incoming | io.Restored) -> None:
        """A new message; or one of an earlier process: its attempts count, out of time it ends at once."""
        grade, dest = self.settings.message_classes[event.grade], self.catalog.dest(event.dest)
        msg = Message(event.msg_id, event.expires, grade, dest, 0, self.settings.loses_by_half)
        self.messages[msg.id] = msg
        dest.open += 1
        owed_until = self.now + OWED * (msg.expires - self.now)
        if isinstance(event, io.Restored):
            msg.attempts, msg.ran, msg.owed_until = event.attempts, list(event.ran), owed_until
            return self._again(msg, Outcome.MOOT)
        dest.accepted += 1
        if grade.by_arrival and event.key:
            msg.key = event.key
            self.keys.setdefault(msg.key, deque()).append(msg)
        self._hold(msg)
        msg.owed_until = owed_until  # not before: until then it is not taken on

    def _last_moment(self, msg: Message) -> float:
        """When no call for a held message can pay any more, or its destination may have forgotten the key."""
        usual = min((ep.usual for ep in msg.dest.endpoints), default=0.0)
        last = msg.expires - max(min(usual, msg.grade.aim), 4 * self.settings.tick)
        if msg.grade.semantics == "deduplicated" and msg.ran:
            last = min(last, msg.ran[0][0] + msg.grade.repeat_window - 2 * self.settings.tick)
        return last

    def _hold(self, msg: Message) -> None:
        """Hold, and send what may go; past the bound give up what is worth least."""
        dest = msg.dest
        self.out.append(io.Schedule(max(0.0, self._last_moment(msg) - self.now), msg.id))
        self.catalog.hold(msg)
        self._pump(dest)
        full = len(self.messages) > self.settings.max_open * OPEN_SHARE
        if msg.id in dest.queued and (full or len(dest.queued) > self.settings.max_open * DEST_SHARE):
            then = {d: self.now + self._drain_time(d) for d in (self.catalog.waiting() if full else [dest])}
            held = [m for d in then for m in d.queued.values() if m.ran or m.owed_until <= self.now]
            if held:  # what has surely not run is owed a try, also over a restart
                self._end(min(held, key=lambda m: (m.worth(then[m.dest]), -m.born)))

    def _drain_time(self, dest: Dest) -> float:
        """How long what is held for a destination will take to go out, a closed gate included."""
        shut = min((self._may_call(ep) for ep in dest.endpoints), default=math.inf) - self.now
        routes = list({id(ep.route): ep.route for ep in dest.endpoints}.values())
        rate = sum(min(max(r.rate, r.limit, 1.0), r.rate_limit) for r in routes)
        return max(0.5, shut if shut < math.inf else FAIL_WINDOW, len(dest.queued) / max(rate, self.min_rate))

    def _end(self, msg: Message) -> None:
        """Give up on a message at once: refused where handing in again is harmless, else failed (rule 2)."""
        again = min(self._drain_time(msg.dest), self.settings.max_retry_after)
        harmless = msg.repeatable or not (msg.ran or msg.in_flight)
        self.out.append(io.PushBack(msg.id, again) if harmless else io.Abort(msg.id))
        self._close(msg)

    def _close(self, msg: Message) -> None:
        """The message is over; attempts still out keep their slot and their key."""
        msg.done = True
        self.messages.pop(msg.id, None)
        msg.dest.open -= 1
        msg.dest.queued.pop(msg.id, None)
        if msg.in_flight:
            self.late[msg.id] = msg
        self._next_of_key(msg)

    def _next_of_key(self, msg: Message) -> None:
        """In order by key: the next one may go when all before it are over and have no attempt out."""
        queue = self.keys.get(msg.key, deque())
        while queue and queue[0].done and not queue[0].in_flight:
            queue.popleft()
        if queue:
            self._pump(queue[0].dest)
        elif self.key_free.get(msg.key, 0.0) <= self.now:
            self.keys.pop(msg.key, None)
            self.key_free.pop(msg.key, None)

    def _ring(self, token: int) -> None:
        if token == 1 << 40:
            self.out.append(io.Watch(True))
        elif token >= 1 << 32:
            if (dest := self.destinations.get(token - (1 << 32))) is not None:
                dest.wake_at = math.inf
                self._pump(dest)
        elif (msg := self.messages.get(token)) is not None and not msg.in_flight:
            if self._last_moment(msg) <= self.now + self.settings.tick:
                self._end(msg)
            else:
                self.out.append(io.Schedule(self._last_moment(msg) - self.now, msg.id))

    # The gate
    def _may_call(self, ep: Endpoint) -> float:
        """Earliest time at which this endpoint may take a call; infinite if only an event can tell."""
        at = max(ep.route.wait_until, ep.route.next_at, ep.route.window_end)
        return at if not ep.failed_at else math.inf if ep.trial else max(at, ep.window_end)

    def _rate_cap(self, ep: Endpoint) -> float:
        """Pace after refusals as full; slow start after an outage (rule 4)."""
        route, demand = ep.route, self._demand(ep.dest)
        age = self.now - route.cold_since if route.rate_at >= route.cold_since else 0.0
        if age >= self.settings.cold:
            return route.rate_limit
        base = max(route.rate, route.limit, demand, 1 / self.settings.cold)
        warm = (
            self.settings.start_capacity
            + (1 - self.settings.start_capacity) * max(0.0, age) / self.settings.cold
        )
        return min(route.rate_limit, SLOW_START_PART * self.settings.fall_multiple * warm * base)

    def _ramp_start(self, ep: Endpoint) -> float:
        """Calls/s that a cold destination surely takes from this node; an unlisted one: two after another."""
        return max(self.settings.start_capacity * ep.route.limit or 2 / FIRST_USUAL, self.min_rate)

    def _turn(self, ep: Endpoint, part: float = 1.0) -> float:
        """s to the next call. A ramp rises while it waits: a thin sender would hardly ever learn."""
        rate, ramp = max(self._rate_cap(ep), self.min_rate) / part, ep.route.ramp
        return math.log1p(ramp / rate) / ramp if ramp else 1 / rate

    def _demand(self, dest: Dest) -> float:
        """Messages a second that this node takes for a destination, over all its time."""
        return dest.accepted / max(self.now - self.started_at, RATE_SPAN)

    def _window(self, ep: Endpoint) -> float:
        """The fail window grows with the outage, as about demand x age nodes then try (rule 4)."""
        age, gap = self.now - ep.route.down_at, 1 / max(self._demand(ep.dest), self.min_rate)
        share = (
            self.settings.fall_multiple * self.settings.start_capacity
        )  # later the other nodes have met it too
        share *= TRIAL_SHARE if age < gap else 1.0
        return self._jitter(max(FAIL_WINDOW, min(age, gap) / share))

    def _allowed(self, msg: Message, ep: Endpoint) -> bool:
        """No effect twice (rule 2), and no unsafe message where it would likely be lost."""
        semantics = msg.grade.semantics
        if semantics == "at_most_once":
            return not msg.ran and ep.bad <= UNSAFE_BAD
        if semantics == "deduplicated" and msg.ran:
            same = msg.grade.group == "all" or all(zone == ep.zone for _, zone in msg.ran)
            return same and self._last_moment(msg) > self.now
        return True

    def _joins(self, ep: Endpoint) -> bool:
        """What goes to one endpoint in one turn travels as one call, up to the kind's batch."""
        most = self.settings.kind_batch[ep.kind]
        return any(call.at == self.now and not call.trial and call.size < most for call in ep.calls[-1:])

    def _turn_at(self, msg: Message) -> float:
        """Order by key (rule 6) and the rest after an error."""
        if msg.key and self.keys[msg.key][0] is not msg:
            return math.inf
        return max(msg.not_before, 0.0 if msg.attempts else self.key_free.get(msg.key, 0.0))

    def _pump(self, dest: Dest) -> None:
        """Send what may go of what is held, dearest first; ask to be woken for the rest."""
        if not dest.queued:
            return
        wake = math.inf
        open_gate = any(self._may_call(ep) <= self.now for ep in dest.endpoints)
        if open_gate and self.busy >= self.settings.workers and not any(map(self._joins, dest.endpoints)):
            self.starved = True  # what is held is not looked through where nothing can go
        elif open_gate:
            then = self.now + self._drain_time(dest)
            held = list(dest.queued.values())
            held = held[:LOOKED] + held[max(LOOKED, len(held) - LOOKED) :]  # of restored ones and of new ones
            loss = {m.id: m.worth(then) - m.worth(self.now) for m in held}
            for msg in sorted(held, key=lambda m: (loss[m.id], m.born)):
                if (turn := self._turn_at(msg)) > self.now:
                    wake = min(wake, turn)
                elif (ep := self._choose(msg)) is not None:
                    self._send(msg, ep)
                elif not msg.ran and msg.grade.semantics != "at_most_once":
                    break  # one that may go anywhere found no place: nor will the rest
        if dest.queued:
            wake = min([wake, *(at for ep in dest.endpoints if (at := self._may_call(ep)) > self.now)])
            if wake < dest.wake_at - self.settings.tick:
                dest.wake_at = wake
                self.out.append(io.Schedule(max(wake - self.now, self.settings.tick), (1 << 32) + dest.id))

    def _choose(self, msg: Message) -> Endpoint | None:
        """An endpoint for this message now: a call to join, a zombie due its trial, or the soonest answer."""
        allowed = [ep for ep in msg.dest.endpoints if self._allowed(msg, ep)]
        if (joined := next((ep for ep in allowed if self._joins(ep)), None)) is not None:
            return joined
        room = len([1 for ep in msg.dest.endpoints for _ in ep.calls]) < max(
            2, DEST_SHARE * self.settings.workers
        )
        ready = [ep for ep in allowed if self._may_call(ep) <= self.now]
        self.starved = self.starved or bool(ready and self.busy >= self.settings.workers)
        if not ready or not room or self.busy >= self.settings.workers:
            return None
        # what other nodes have out there is not known: were the quickest taken, all would take the same
        more, draw = (self.settings.balancers - 1) / self.settings.workers, self.random.random
        return min(ready, key=lambda ep: (ep.failed_at == 0, ep.usual * (1 + len(ep.calls) + more * draw())))

    def _send(self, msg: Message, ep: Endpoint) -> None:
        if self._joins(ep):
            call = ep.calls[-1]
        else:
            call = Call(ep, self.now, ep.failed_at > 0)
            ep.calls.append(call)
            self.busy += 1
            ep.route.called(self.now)
            ep.route.next_at = max(ep.route.next_at, self.now) + self._turn(ep)
            if ep.failed_at:  # the zombie is marked down again at once
                ep.trial, ep.window_end = True, self.now + self._window(ep)
                if ep.route.misses > PROVEN:  # one trial for all endpoints of a route
                    ep.route.window_end = ep.window_end
        call.left, call.size = call.left + 1, call.size + 1
        del msg.dest.queued[msg.id]
        msg.in_flight[msg.attempts] = call
        msg.attempts += 1
        # silence must not hold slots: no connect time where a repeat is harmless, no longer than it is worth
        # a message that takes long takes long again: what has timed out is given longer each time
        patience = max(ep.usual + LATE_DEVS * ep.dev, LEAST_PATIENCE * msg.grade.aim)
        patience *= 2 ** min(len(msg.ran), 3)
        scarce = self.busy >= SCARCE * self.settings.workers
        if call.trial or not (scarce and msg.repeatable):
            patience += self.settings.connect_timeout
        if call.trial or scarce:
            patience = min(patience, self.settings.connect_timeout + msg.grade.aim)
        call.patience = max(call.patience, patience)
        self.out.append(io.Issue(msg.id, ep.id, min(patience, msg.expires - self.now)))

    def _jitter(self, span: float) -> float:
        return span * (1 + JITTER * self.random.random())

    def _outcome(self, event: io.Response) -> None:
        msg = self.messages.get(event.msg_id) or self.late.get(event.msg_id)
        if msg is None or event.send_no not in msg.in_flight:
            return
        call = msg.in_flight.pop(event.send_no)
        call.left -= 1
        if not call.left:
            call.ep.calls.remove(call)
            self.busy -= 1
        self._judge(call, event)
        if self.settings.balancers > NODES_PER_PLACE * self.settings.workers and not call.ep.calls:
            self.out.append(io.Close(call.ep.id))  # the nodes' idle connections would fill its table
        if event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT):
            msg.ran.append((call.at, call.ep.zone))
        if msg.key and event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.key_free[msg.key] = self.now + self.settings.turn_gap
        if msg.done:
            self.late.pop(msg.id, None)
            self._next_of_key(msg)
        elif event.over:
            self._close(msg)
        elif not msg.in_flight:
            self._again(msg, event.outcome)
        if self.starved and self.busy < self.settings.workers:
            self.starved = False
            for dest in sorted(self.catalog.waiting(), key=self._slot_worth, reverse=True):
                self._pump(dest)
        else:
            self._pump(call.ep.dest)

    def _slot_worth(self, dest: Dest) -> float:
        """What a slot earns in a second at a destination: slow ones must not starve the quick ones."""
        if not dest.queued or not dest.endpoints:
            return 0.0
        usual = min(ep.usual for ep in dest.endpoints)
        batch = max(self.settings.kind_batch[ep.kind] for ep in dest.endpoints)
        return sum(nlargest(batch, (msg.worth(self.now + usual) for msg in dest.queued.values()))) / usual

    def _again(self, msg: Message, outcome: int) -> None:
        """A further attempt, where the rules and the time left allow one."""
        over = msg.ran and msg.grade.semantics == "at_most_once"
        if over or msg.attempts >= self.settings.attempts_cap or self._last_moment(msg) <= self.now:
            self._end(msg)
        else:
            if outcome == Outcome.ERROR:
                msg.not_before = self.now + self._jitter(RETRY_AFTER_ERROR * 2 ** (msg.attempts - 1))
            self._hold(msg)

    def _judge(self, call: Call, event: io.Response) -> None:
        """What an outcome tells of its endpoint and route: messages of one call share their fate, so once."""
        ep, outcome = call.ep, event.outcome
        if event.remark_ms > 0 and outcome != Outcome.MOOT:
            ep.route.wait_until = max(ep.route.wait_until, self.now + event.remark_ms / 1000)
        cut_off = outcome == Outcome.TIMEOUT and event.spent + self.settings.tick < call.patience
        if cut_off or event.stale:
            # the message's own time ended the attempt, or a kept connection had gone, which says nothing of
            # the endpoint: where it has gone too, the next attempt gets no connection
            if call.trial and not call.left:
                ep.trial, ep.window_end = False, self.now
                ep.route.window_end = min(ep.route.window_end, self.now)
            return
        if call.judged and (outcome != Outcome.OK or call.judged == Outcome.OK):
            return
        call.judged = outcome
        ep.route.reject_share += FULL_GAIN * ((outcome == Outcome.FULL) - ep.route.reject_share)
        ep.route.reject_since = (
            min(ep.route.reject_since, self.now) if ep.route.reject_share > 0.5 else math.inf
        )
        if (reported := dict(zip(self.settings.report_fields, event.stats, strict=False)).get("x1", 0.0)) > 0:
            ep.route.limit = reported / self.settings.balancers * WEIGHT_TRUST
        if outcome == Outcome.OK:
            self._answered(ep, event.spent)
        elif outcome == Outcome.FULL:
            self._full(call, event.remark_ms / 1000)
        elif outcome == Outcome.ERROR:
            ep.answered_at = self.now
            self._bad(call, ep.bad > DEAD or (self.many and self.now - ep.route.rate_at > RATE_SPAN))
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET):
            if outcome == Outcome.TIMEOUT:  # a slow endpoint is found by longer waits, within bounds
                ep.dev = max(ep.dev, event.spent / 8)
            self._bad(call, ep.answered_at < call.at)  # where others get through its table is full
        if call.trial:
            ep.trial = False

    def _answered(self, ep: Endpoint, spent: float) -> None:
        """A success makes the endpoint live again and raises the pace by a step."""
        route, ep.answered_at = ep.route, self.now
        ep.bad *= 1 - BAD_GAIN
        ep.dev += SMOOTH_DEV * (abs(spent - ep.usual) - ep.dev)
        ep.usual += SMOOTH * (spent - ep.usual)
        if ep.failed_at:
            # a lone failure while it warms up is chance: starting over each time would never let it warm up
            if route.misses > PROVEN or ep.bad > AILING:
                route.cold_since = self.now
            ep.failed_at, ep.trial, ep.bad = 0.0, False, min(ep.bad, UNSAFE_BAD)
            self._log(f"up {ep.id.hex()}: answered")
        ep.misses = 0
        if self.now - route.cold_since >= self.settings.cold:
            route.rate = route.rate * math.exp((route.rate_at - self.now) / RATE_SPAN) + 1 / RATE_SPAN
        if route.rate_at < route.cold_since:  # slow start counts from the first answer, at any endpoint
            route.cold_since = self.now
        if route.ramp:  # an answer vouches for the time since the one before, a turn of the pace at most
            route.rate_limit = max(route.rate_limit, self._ramp_start(ep))
            route.rate_limit *= math.exp(route.ramp * min(self.now - route.rate_at, self._turn(ep)))
            if route.rate_limit >= max(route.limit, 2 * self._demand(ep.dest)):
                route.ramp, route.rate_limit = 0.0, route.limit or math.inf
        else:
            route.rate_limit += (
                PACE_BACK if route.rate_limit < route.limit else PACE_ON
            ) * route.limit or PACE_STEP
        route.rate_at, route.misses, route.window_end = self.now, 0, 0.0

    def _full(self, call: Call, wait: float) -> None:
        """Over its limit, or shut: heed a told wait (rule 5) and lower the pace."""
        ep, route = call.ep, call.ep.route
        if wait > self.settings.fall:  # longer than a limit needs: shut, and cold when it opens
            route.cold_since = route.wait_until
        if self.now - ep.answered_at > self.settings.fall:  # full and nothing else: shut, not over its limit
            self._bad(call, False)
        if self.now - route.cut_at >= 1.0:  # halved at most once a second
            route.cut_at = self.now
            recent = route.calls_since(self.now - RATE_SPAN) / RATE_SPAN
            recent = max(
                self.min_rate, PACE_CUT * (recent if route.rate_limit == math.inf else route.rate_limit)
            )
            # one of many nodes sees too few refusals to tell a lowered limit from a clump: it goes below it
            if route.ramp or self.now - route.reject_since > self.settings.fall + PROVEN / (
                route.limit or recent
            ):
                route.ramp = RAMP_CUT  # longer than a limit takes to recover: floors may hold it up
            floor = 0.0 if route.ramp else route.limit * (1 - self.settings.ramp * route.reject_share)
            route.rate_limit = max(floor * (PACE_CUT if self.many else 1.0), recent)
        # a turn of the pace, at random: many nodes are refused, or told to wait, at one time
        rest = (1 + self.many) * self.random.random() / max(route.rate_limit, self.min_rate)
        route.next_at = max(route.next_at, max(self.now, route.wait_until) + rest)

    def _bad(self, call: Call, fatal: bool) -> None:
        """No success; a fatal one marks the endpoint down. A lone one may be chance where an answer vouches
        for the route: it opens one trial at once; a second a part of the fail window, a third all of it."""
        ep, route = call.ep, call.ep.route
        ep.bad, ep.misses = ep.bad + BAD_GAIN * (1 - ep.bad), ep.misses + fatal
        if ep.bad > AILING or route.misses > PROVEN:
            route.cold_since = max(route.cold_since, self.now)
        if not fatal:
            return
        if not ep.failed_at:
            self._log(f"down {ep.id.hex()}: {Outcome(call.judged).name.lower()}")
        if not route.misses:
            route.down_at = call.at
        # no answer vouches for a route called rarely: a failure is an outage, not chance
        route.misses += 1 if self.now - route.rate_at < RATE_SPAN else PROVEN + 1
        ep.failed_at = self.now
        count = max(ep.misses, route.misses) - 1
        later = self.now + self._window(ep) * min(1.0, (count / PROVEN) ** 2)
        ep.window_end = max(ep.window_end, later) if count else later
        if route.misses > 1:  # an outage mostly takes all endpoints of a route
            route.window_end = later

    def _log(self, line: str) -> None:
        if self.logged < LOG_LINES:
            self.logged += 1
            self.out.append(io.WriteLog(line))
