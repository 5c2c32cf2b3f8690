"""Drives a Policy in virtual time and checks every action against the six rules of the wire page."""

from __future__ import annotations

from typing import Any

from rillspindle import Policy
from rillspindle import interface as i
from rillspindle.interface import Outcome

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
MAYBE_RUNNING = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


def entry(
    number: int, dest: int = 0, kind: int = 0, zone: int = 0, readiness: int = 2, scale: float = 0
) -> i.Entry:
    return i.Entry(readiness, 0.0, scale, zone, dest, kind, bytes([10, 0, 0, number, 31, 64]))


class SubmittedMessage:
    """A submitted message and its attempts."""

    def __init__(self, event: i.Incoming) -> None:
        self.event = event
        self.sends: list[dict[str, Any]] = []
        self.answered = False


class Driver:
    """Feeds events, tracks the state that the rules refer to, and asserts on each action."""

    def __init__(self, env: dict[str, Any], seed: int = 1, start: float = 100.0) -> None:
        self.env, self.now = env, start
        self.policy = Policy(env, seed)
        self.messages: dict[int, SubmittedMessage] = {}
        self.entries: dict[bytes, i.Entry] = {}
        self.unready_at: dict[bytes, float] = {}
        self.waits: dict[object, float] = {}
        self.timers: list[tuple[float, int]] = []
        self.key_order: dict[int, list[int]] = {}
        self.key_free_at: dict[int, float] = {}
        self.last_actions: list[i.Action] = []
        self.trace: list[i.Action] = []

    # Events

    def feed(self, event: i.Event) -> list[i.Action]:
        self.last_actions = self.policy.handle(event, self.now)
        self.trace += self.last_actions
        for action in self.last_actions:
            self.check(action)
        return self.last_actions

    def targets(self, how: int, *entries: i.Entry) -> list[i.Action]:
        if how in (i.ListKind.FULL, i.ListKind.CACHED):
            for known in self.entries:
                if known not in {e.endpoint for e in entries}:
                    self.unready_at.setdefault(known, self.now)
        for e in entries:
            self.entries[e.endpoint] = e
            if e.readiness == i.Readiness.READY:
                self.unready_at.pop(e.endpoint, None)
            else:
                self.unready_at.setdefault(e.endpoint, self.now)
        return self.feed(i.Targets(how, 1, entries))

    def incoming(
        self, msg: int, dest: int = 0, message_class: int = 0, key: int = 0, left: float = 0.0
    ) -> list[i.Action]:
        expires = self.now + (left or self.env["grades"][message_class]["deadline"])
        event = i.Incoming(msg, 0, expires, 0, 0.0, dest, message_class, key)
        self.messages[msg] = SubmittedMessage(event)
        if key and self.env["grades"][message_class].get("byArrival"):
            self.key_order.setdefault(key, []).append(msg)
        return self.feed(event)

    def pending(self) -> list[tuple[int, int]]:
        return [
            (m, n)
            for m, message in self.messages.items()
            for n, s in enumerate(message.sends)
            if s["outcome"] is None
        ]

    def respond(self, msg: int, outcome: int, wait: float = 0.0, number: int | None = None) -> list[i.Action]:
        message = self.messages[msg]
        number = (
            next(n for n, s in enumerate(message.sends) if s["outcome"] is None) if number is None else number
        )
        send = message.sends[number]
        send["outcome"] = outcome
        finished = message.answered
        if outcome == Outcome.OK and not message.answered:
            message.answered = finished = True
        key = message.event.key
        if outcome in MAYBE_RUNNING:
            self.key_free_at[key] = self.now + self.env["obligations"]["turnGap"]
        route = self.route(send["endpoint"])
        event = i.Response(
            msg, self.now - send["at"], send["endpoint"], outcome, number, finished, int(wait * 1000), ()
        )
        if outcome == Outcome.FULL and wait:
            # the wire allows sends in the same batch; the module must not make them either
            self.waits[route] = max(self.waits.get(route, 0.0), self.now + wait)
        return self.feed(event)

    def advance(self, to: float) -> None:
        """Fire timers and time out attempts, in order, up to a time."""
        while True:
            due = [
                (s["at"] + s["limit"], 1, m, n)
                for m, n in self.pending()
                for s in [self.messages[m].sends[n]]
            ]
            due += [(at, 0, token, 0) for at, token in self.timers]
            if not due or min(due)[0] > to:
                break
            at, what, name, number = min(due)
            self.now = max(self.now, at)
            if what:
                self.respond(name, Outcome.TIMEOUT, number=number)
            else:
                self.timers.remove((at, name))
                self.feed(i.Ring(name))
            self.check_overdue()
        self.now = max(self.now, to)
        self.check_overdue()

    # Checks

    def route(self, endpoint: bytes) -> object:
        e = self.entries[endpoint]
        return endpoint if self.env["extra"]["routesApart"][e.kind] else e.owner

    def check_overdue(self) -> None:
        for message in self.messages.values():
            assert message.answered or self.now <= message.event.expires + 0.02, (
                "rule 1: no answer before the deadline"
            )

    def check(self, action: i.Action) -> None:
        if isinstance(action, i.Schedule):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, i.PushBack | i.Abort):
            message = self.messages[action.msg_id]
            assert not message.answered, "rule 1: answered twice"
            message.answered = True
            if isinstance(action, i.PushBack):
                self.check_refusal(message)
        elif isinstance(action, i.Issue):
            self.check_issue(action)

    def maybe_ran(self, message: SubmittedMessage) -> list[dict[str, Any]]:
        return [s for s in message.sends if s["outcome"] not in NEVER_RAN]

    def check_refusal(self, message: SubmittedMessage) -> None:
        message_class = self.env["grades"][message.event.message_class]
        if self.maybe_ran(message) and message_class["semantics"] != "idempotent":
            assert message_class["semantics"] == "deduplicated" and message_class["group"] == "all", (
                "rule 2: rejected, although a repeat may do harm"
            )

    def check_issue(self, action: i.Issue) -> None:
        message, e = self.messages[action.msg_id], self.entries[action.endpoint]
        message_class = self.env["grades"][message.event.message_class]
        assert not message.answered, "rule 1: sent after its answer"
        assert e.owner == message.event.dest
        assert len(message.sends) < self.env["ceilings"]["attemptsCap"]
        assert action.timeout > 0
        if not self.env["ceilings"]["mayDuplicate"]:
            assert all(s["outcome"] is not None for s in message.sends), "rule 2: two attempts in flight"
        for send in self.maybe_ran(message):
            assert message_class["semantics"] != "at_most_once", "rule 2: unsafe sent again"
            if message_class["semantics"] == "deduplicated":
                assert self.now <= send["at"] + message_class["repeatWindow"], (
                    "rule 2: after the repeat window"
                )
                same = self.entries[send["endpoint"]].zone == e.zone
                assert message_class["group"] == "all" or same, "rule 2: outside its group"
        unready_at = self.unready_at.get(action.endpoint)
        assert unready_at is None or self.now <= unready_at, "rule 3: sent to a draining or gone endpoint"
        assert self.now >= self.waits.get(self.route(action.endpoint), 0.0), (
            "rule 5: sent within a required wait"
        )
        key = message.event.key
        if message_class.get("byArrival") and key:
            for earlier in self.key_order[key]:
                if earlier == action.msg_id:
                    break
                before = self.messages[earlier]
                assert before.answered, "rule 6: an earlier message is unfinished"
                assert all(s["outcome"] is not None for s in before.sends), (
                    "rule 6: an earlier attempt is in flight"
                )
            if not message.sends:
                assert self.now >= self.key_free_at.get(key, 0.0), "rule 6: within the turn gap"
        message.sends.append(
            {
                "endpoint": action.endpoint,
                "at": self.now,
                "outcome": None,
                "limit": min(action.timeout, message.event.expires - self.now),
            }
        )
        assert self.slots() <= self.env["extra"]["workers"], "more calls in flight than slots"

    def slots(self) -> int:
        """Calls in flight: messages sent to an endpoint at one time share as few as the batch allows."""
        groups: dict[tuple[bytes, float], int] = {}
        for msg, number in self.pending():
            send = self.messages[msg].sends[number]
            groups[send["endpoint"], send["at"]] = groups.get((send["endpoint"], send["at"]), 0) + 1
        batch = self.env["extra"]["kindBatch"]
        return sum(-(-n // batch[self.entries[endpoint].kind]) for (endpoint, _), n in groups.items())

    def issued(self) -> list[i.Issue]:
        return [a for a in self.last_actions if isinstance(a, i.Issue)]
