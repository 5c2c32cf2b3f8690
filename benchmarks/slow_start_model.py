"""Simulates a fleet of decision modules, in virtual time, whose destination goes down and returns cold.

Each sender is a `Policy` of its own that receives messages, outcomes and its own timers. The calls that
arrive at the destination from its return until it is warm are compared with the budget of rule 4, in every
span of `fall` seconds. There are no sockets and the clock is simulated: a scene determines the run.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from random import Random
from typing import Any

from mountgauge.lab.rig.capacity_model import CapacityModel
from rillspindle import Policy
from rillspindle import interface as io
from rillspindle.interface import Entry, ListKind, Outcome, Readiness

TICK_S = 0.005
CLOCK_START_S = 1000.0  # the senders' clock at the start of a scene
ANSWER_S = (0.03, 0.2)
QUICK_FAILURE_S = 0.01
DEST = 7
START_CAPACITY = 0.17  # share of its capacity that a destination has when it returns
FALL_MULTIPLE, FALL_S = 2.0, 1.5
COLD_S = 14.0  # from its return until it has its full capacity
MESSAGE_WEIGHT = 0.05  # of a call, for each message past the first in one call
SMALL_BUDGET = 30.0  # calls; a smaller budget has a larger allowance for chance
# A span breaks the rule only if a larger share of its calls came from senders that had seen the outage.
NOTIFIED_SHARE = 2 / 3
MOST_FAIL = 0.85  # share of calls that fail at a destination that fails most of them
CLIENT_RETRIES_S = 0.3  # after which a rejected client retries at the soonest


class Outage(Enum):
    """How the destination treats calls while it is down."""

    SILENT = "silent"
    NO_CONNECTION = "no connection"
    SHUT = "shut"
    SHUT_WITH_WAIT = "shut, wait told"
    ERRORS = "errors"
    MOST_FAIL = "most fail"


def allowed_calls(budget: float) -> float:
    """The most calls in one span for a budget of `budget` calls, with an allowance for chance."""
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2


def budget_at(rate: float, age: float) -> float:
    """Calls that the settings allow in the span that ends `age` s after the return: N in rule 4."""

    def share(at: float) -> float:
        return START_CAPACITY + (1 - START_CAPACITY) * min(1.0, max(0.0, at) / COLD_S)

    return FALL_MULTIPLE * FALL_S * rate * (share(age) + share(age - FALL_S)) / 2


@dataclass(frozen=True, slots=True)
class Scene:
    """One simulated run: a fleet, its demand, an outage and the events during it. Times in s."""

    senders: int
    outage: Outage
    seed: int
    rate: float  # calls/s of each route while warm
    load: float  # offered messages, as a share of the capacity of all routes
    listed: bool  # the list includes the rate
    endpoints: int
    apart: bool  # each endpoint is a route with its own limit
    batch: int
    uneven: bool  # some senders receive several times the mean
    restarted: float  # share of the senders that restart during the outage
    clients_retry: bool  # rejected clients submit again
    before: float
    down: float

    @classmethod
    def drawn(cls, senders: int, outage: Outage, seed: int) -> Scene:
        """A scene of this size and outage; the seed determines the rest."""
        draw = Random(f"{senders} {outage.value} {seed}")
        endpoints = draw.choice([1, 1, 2, 3])
        return cls(
            senders=senders,
            outage=outage,
            seed=seed,
            rate=math.exp(draw.uniform(math.log(6), math.log(60))),
            load=draw.choice([0.1, 0.4, 0.8, 1.2, 1.6]),
            listed=draw.random() < 0.7,
            endpoints=endpoints,
            apart=endpoints > 1 and draw.random() < 0.4,
            batch=draw.choice([1, 1, 5]),
            uneven=draw.random() < 0.4,
            restarted=draw.choice([0.0, 0.0, 0.3, 0.8]),
            clients_retry=draw.random() < 0.4,
            before=draw.choice([4.0, 12.0, 25.0]),
            down=math.exp(draw.uniform(math.log(2), math.log(40))),
        )

    @property
    def routes(self) -> int:
        """The number of routes, each with a limit of its own."""
        return self.endpoints if self.apart else 1

    def settings(self, workers: int) -> dict[str, Any]:
        """The module's settings of each sender."""

        def message_class(name: str, semantics: str, deadline: float, target: float) -> dict[str, Any]:
            return {"name": name, "semantics": semantics, "deadline": deadline, "aim": target, "group": "all",
                    "worth": 1.0, "lateWorth": 0.3, "repeatWindow": deadline}  # fmt: skip

        return {
            "balancers": self.senders, "zone": 0, "tick": TICK_S, "discovery": "automatic",
            "weights": "nominal" if self.listed else "off", "localities": ["here"], "shapes": ["kind"],
            "grades": [
                message_class("update", "idempotent", 8.0, 1.0),
                message_class("confirm", "deduplicated", 24.0, 2.0),
            ],
            "ceilings": {"attemptsCap": 8, "cancel": True, "connectTimeout": 1.5, "maxOpen": 199,
                         "maxRetryAfter": 2.0, "mayDuplicate": False, "probes": False},
            "extra": {"kindBatch": [self.batch], "losesWorth": "even", "routesApart": [self.apart],
                      "workers": workers},
            "obligations": {"askWithin": 10.0, "cold": COLD_S, "fall": FALL_S, "fallMultiple": FALL_MULTIPLE,
                            "startCapacity": START_CAPACITY},
            "report": {"fields": [], "via": "off"},
        }  # fmt: skip


@dataclass(slots=True, eq=False)
class _Sender:
    """One process run of a sender: its module, and the routes whose outage it has seen."""

    policy: Policy
    notified: set[int] = field(default_factory=set)
    attempts: dict[int, int] = field(default_factory=dict)
    latest: dict[io.EndpointId, _Call] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class _Call:
    """A call in flight; each of its messages has the number of its attempt."""

    at: float
    route: int
    endpoint: io.EndpointId
    sender: _Sender
    notified: bool  # its sender had seen the outage when it was sent
    timeout: float = 0.0
    messages: list[tuple[int, int]] = field(default_factory=list)


@dataclass(slots=True)
class _Message:
    """A message whose client waits for its outcome."""

    sender: int
    expires: float
    message_class: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reached a route."""

    at: float
    weight: float  # 1 for a call with a single message
    notified: bool  # its sender had seen the outage when it was sent


@dataclass(frozen=True, slots=True)
class Margin:
    """The calls of one scene compared with the budget, in the worst span of the worst route."""

    worst: float = 0.0  # calls by allowed calls, of spans with more than `NOTIFIED_SHARE` of notified calls
    worst_of_all: float = 0.0  # the same, of all spans
    at: float = 0.0  # when the worst span ended, in s after the return
    calls: float = 0.0
    budget: float = 0.0
    arrivals: int = 0  # from the return until it is warm

    @property
    def broken(self) -> bool:
        """Whether the rule is broken."""
        return self.worst > 1.0


def margin(arrivals: list[Arrival], rate: float, back_at: float) -> Margin:
    """Compares all spans of `FALL_S`, from the return until the route is warm, with the budget."""
    span: deque[Arrival] = deque()
    worst = Margin()
    seen = [one for one in arrivals if back_at <= one.at <= back_at + COLD_S]
    for one in seen:
        span.append(one)
        while span[0].at <= one.at - FALL_S:
            span.popleft()
        calls = sum(call.weight for call in span)
        notified = sum(call.weight for call in span if call.notified)
        budget = budget_at(rate, one.at - back_at)
        ratio = calls / allowed_calls(budget)
        of_all = max(worst.worst_of_all, ratio)
        if notified > NOTIFIED_SHARE * calls and ratio > worst.worst:
            worst = Margin(ratio, of_all, one.at - back_at, calls, budget, len(seen))
        else:
            worst = Margin(worst.worst, of_all, worst.at, worst.calls, worst.budget, len(seen))
    return worst


class Fleet:
    """The senders of a scene, the destination's routes and the simulated clock."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.now = scene, 0.0
        self._draw = Random(scene.seed * 1009 + scene.senders)
        self._queue: list[tuple[float, int, str, Any]] = []
        self._order, self._numbers = count(), count(1)
        self._workers = self._draw.choice([4, 11])
        self.models = [
            CapacityModel(scene.rate, cold_share=START_CAPACITY, warm_s=COLD_S) for _ in range(scene.routes)
        ]
        # Of several routes, either the first alone goes down or all do.
        self._routes_down = self._draw.choice([1, scene.routes])
        self.down_at, self.back_at = scene.before, scene.before + scene.down
        self.arrivals: list[list[Arrival]] = [[] for _ in range(scene.routes)]
        self._messages: dict[int, _Message] = {}
        shares = [self._draw.lognormvariate(0, 1) if scene.uneven else 1.0 for _ in range(scene.senders)]
        self._shares = shares
        self.senders = [self._started() for _ in range(scene.senders)]

    def run(self) -> Margin:
        """Simulate the scene; the margin of the worst of the routes that went down."""
        for sender in self.senders:
            self._list(sender)
        scene = self.scene
        self._at(self.down_at, "down", self._routes_down)
        for index in self._draw.sample(range(scene.senders), round(scene.restarted * scene.senders)):
            self._at(self._draw.uniform(self.down_at, self.back_at), "restart", index)
        offered = scene.load * scene.rate * scene.routes * (1 + (scene.batch - 1) / 2)
        self._at(self._draw.expovariate(offered), "offer", offered)
        end = self.back_at + COLD_S
        while self._queue and self._queue[0][0] <= end:
            self.now, _, kind, value = heapq.heappop(self._queue)
            getattr(self, "_on_" + kind)(value)
        margins = [
            margin(self.arrivals[route], scene.rate, self.back_at) for route in range(self._routes_down)
        ]
        return max(margins, key=lambda one: (one.worst, one.worst_of_all))

    def _at(self, when: float, kind: str, value: Any) -> None:
        """Schedule an event; all but arrivals are rounded up to the sender's next tick."""
        when = max(when, self.now)
        if kind != "arrive":
            when = math.ceil(when / TICK_S - 1e-6) * TICK_S
        heapq.heappush(self._queue, (when, next(self._order), kind, value))

    def _started(self) -> _Sender:
        return _Sender(Policy(self.scene.settings(self._workers), self._draw.getrandbits(60)))

    def _list(self, sender: _Sender) -> None:
        scale = self.scene.rate if self.scene.listed else 1.0
        entries = tuple(
            Entry(Readiness.READY, 0.0, scale, 0, DEST, 0, b"%d" % number)
            for number in range(self.scene.endpoints)
        )
        self._feed(sender, io.Targets(ListKind.CACHED, 1, entries))

    def _feed(self, sender: _Sender, event: io.Event) -> None:
        for action in sender.policy.handle(event, CLOCK_START_S + self.now):
            match action:
                case io.Issue():
                    self._issue(sender, action)
                case io.Schedule(delay, token):
                    self._at(self.now + delay, "ring", (sender, token))
                case io.PushBack(number, retry_after):
                    message = self._messages.pop(number, None)
                    if message is not None and self.scene.clients_retry:
                        self._at(self.now + max(CLIENT_RETRIES_S, retry_after), "submit", message)
                case io.Abort(number):
                    self._messages.pop(number, None)

    def _issue(self, sender: _Sender, issue: io.Issue) -> None:
        """Messages for the same endpoint in the same turn are sent as one call, up to the batch size."""
        route = int(issue.endpoint) if self.scene.apart else 0
        call = sender.latest.get(issue.endpoint)
        if call is None or call.at != self.now or len(call.messages) >= self.scene.batch:
            call = _Call(self.now, route, issue.endpoint, sender, route in sender.notified)
            sender.latest[issue.endpoint] = call
            self._at(self.now + TICK_S / 2, "arrive", call)
        attempt = sender.attempts.get(issue.msg_id, 0)
        sender.attempts[issue.msg_id] = attempt + 1
        call.messages.append((issue.msg_id, attempt))
        call.timeout = max(call.timeout, issue.timeout)

    def _on_offer(self, offered: float) -> None:
        index = self._draw.choices(range(self.scene.senders), self._shares)[0]
        message_class = self._draw.randrange(2)
        deadline = self.senders[index].policy.settings.message_classes[message_class].deadline
        self._on_submit(_Message(index, self.now + deadline, message_class))
        self._at(self.now + self._draw.expovariate(offered), "offer", offered)

    def _on_submit(self, message: _Message) -> None:
        """A client submits a message, for the first time or again."""
        if self.now < message.expires:
            number = next(self._numbers)
            self._messages[number] = message
            expires = CLOCK_START_S + message.expires
            event = io.Incoming(number, 0, expires, 0, 0.0, DEST, message.message_class, 0)
            self._feed(self.senders[message.sender], event)

    def _on_ring(self, timer: tuple[_Sender, int]) -> None:
        sender, token = timer
        if sender in self.senders:
            self._feed(sender, io.Ring(token))

    def _on_down(self, routes: int) -> None:
        for model in self.models[:routes]:
            model.go_cold(self.now)
            model.cold_at = self.back_at

    def _on_restart(self, index: int) -> None:
        """Restart a sender: the new run has not seen the outage, and its queued messages are restored."""
        queued = [
            (number, message)
            for number, message in self._messages.items()
            if message.sender == index and message.expires > self.now
        ]
        sender = self.senders[index] = self._started()
        self._list(sender)
        for number, message in queued:
            expires = CLOCK_START_S + message.expires
            self._feed(sender, io.Restored(number, expires, DEST, message.message_class, 0, ()))

    def _on_arrive(self, call: _Call) -> None:
        """The call reaches its route, which answers it, refuses it or stays silent."""
        weight = 1 + MESSAGE_WEIGHT * (len(call.messages) - 1)
        self.arrivals[call.route].append(Arrival(self.now, weight, call.notified))
        down = call.route < self._routes_down and self.down_at <= self.now < self.back_at
        if down and (self.scene.outage != Outage.MOST_FAIL or self._draw.random() < MOST_FAIL):
            self._fail(call)
            return
        model = self.models[call.route]
        if model.call(self.now):
            self._finish(call, Outcome.OK, self._draw.uniform(*ANSWER_S))
        else:
            self._finish(call, Outcome.FULL, QUICK_FAILURE_S)

    def _fail(self, call: _Call) -> None:
        match self.scene.outage:
            case Outage.SILENT:
                self._finish(call, Outcome.TIMEOUT, call.timeout)
            case Outage.NO_CONNECTION:
                self._finish(call, Outcome.CONNECT_FAILED, QUICK_FAILURE_S)
            case Outage.SHUT:
                self._finish(call, Outcome.FULL, QUICK_FAILURE_S)
            case Outage.SHUT_WITH_WAIT:
                self._finish(call, Outcome.FULL, QUICK_FAILURE_S, self.back_at - self.now)
            case _:
                self._finish(call, Outcome.ERROR, QUICK_FAILURE_S)

    def _finish(self, call: _Call, outcome: Outcome, spent: float, wait: float = 0.0) -> None:
        self._at(call.at + spent, "finished", (call, outcome, spent, wait))

    def _on_finished(self, finished: tuple[_Call, Outcome, float, float]) -> None:
        call, outcome, spent, wait = finished
        sender = call.sender
        if sender not in self.senders:
            return
        for number, attempt in call.messages:
            message = self._messages.get(number)
            message_finished = outcome == Outcome.OK or message is None
            if outcome == Outcome.OK:
                self._messages.pop(number, None)
            wait_ms = math.ceil(wait * 1000)
            event = io.Response(number, spent, call.endpoint, outcome, attempt, message_finished, wait_ms, ())
            self._feed(sender, event)
        if (
            outcome != Outcome.OK
            and self.down_at <= call.at < self.back_at
            and call.route < self._routes_down
        ):
            sender.notified.add(call.route)
