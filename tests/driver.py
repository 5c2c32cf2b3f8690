"""Drives a Policy by hand and checks every action against the six rules as the wire page words them."""

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


class Held:
    """A message that the module holds."""

    def __init__(self, event: i.Incoming) -> None:
        self.event = event
        self.sends: list[dict[str, Any]] = []
        self.answered = False


class Driver:
    """Feeds events, keeps what is true, and asserts on each action."""

    def __init__(self, env: dict[str, Any], seed: int = 1, start: float = 100.0) -> None:
        self.env, self.now = env, start
        self.policy = Policy(env, seed)
        self.held: dict[int, Held] = {}
        self.entries: dict[bytes, i.Entry] = {}
        self.closed_at: dict[bytes, float] = {}
        self.waits: dict[object, float] = {}
        self.timers: list[tuple[float, int]] = []
        self.key_order: dict[int, list[int]] = {}
        self.key_rest: dict[int, float] = {}
        self.last: list[i.Action] = []
        self.trace: list[i.Action] = []

    # feeding

    def feed(self, event: i.Event) -> list[i.Action]:
        self.last = self.policy.handle(event, self.now)
        self.trace += self.last
        for action in self.last:
            self.check(action)
        return self.last

    def targets(self, how: int, *entries: i.Entry) -> list[i.Action]:
        if how in (i.ListKind.FULL, i.ListKind.CACHED):
            for known in self.entries:
                if known not in {e.endpoint for e in entries}:
                    self.closed_at.setdefault(known, self.now)
        for e in entries:
            self.entries[e.endpoint] = e
            if e.readiness == i.Readiness.READY:
                self.closed_at.pop(e.endpoint, None)
            else:
                self.closed_at.setdefault(e.endpoint, self.now)
        return self.feed(i.Targets(how, 1, entries))

    def incoming(
        self, msg: int, dest: int = 0, grade: int = 0, key: int = 0, left: float = 0.0
    ) -> list[i.Action]:
        expires = self.now + (left or self.env["grades"][grade]["deadline"])
        event = i.Incoming(msg, 0, expires, 0, 0.0, dest, grade, key)
        self.held[msg] = Held(event)
        if key and self.env["grades"][grade].get("byArrival"):
            self.key_order.setdefault(key, []).append(msg)
        return self.feed(event)

    def pending(self) -> list[tuple[int, int]]:
        return [(m, n) for m, h in self.held.items() for n, s in enumerate(h.sends) if s["outcome"] is None]

    def respond(self, msg: int, outcome: int, wait: float = 0.0, number: int | None = None) -> list[i.Action]:
        held = self.held[msg]
        number = (
            next(n for n, s in enumerate(held.sends) if s["outcome"] is None) if number is None else number
        )
        send = held.sends[number]
        send["outcome"] = outcome
        over = held.answered
        if outcome == Outcome.OK and not held.answered:
            held.answered = over = True
        key = held.event.key
        if outcome in MAYBE_RUNNING:
            self.key_rest[key] = self.now + self.env["obligations"]["turnGap"]
        route = self.route(send["endpoint"])
        event = i.Response(
            msg, self.now - send["at"], send["endpoint"], outcome, number, over, int(wait * 1000), ()
        )
        if outcome == Outcome.FULL and wait:
            # sends in the same batch are let through on the wire; the module is held to more
            self.waits[route] = max(self.waits.get(route, 0.0), self.now + wait)
        return self.feed(event)

    def advance(self, to: float) -> None:
        """Ring timers and time attempts out, in order, up to a time."""
        while True:
            due = [
                (s["at"] + s["limit"], 1, m, n) for m, n in self.pending() for s in [self.held[m].sends[n]]
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
            self.overdue()
        self.now = max(self.now, to)
        self.overdue()

    # judging

    def route(self, endpoint: bytes) -> object:
        e = self.entries[endpoint]
        return endpoint if self.env["extra"]["routesApart"][e.kind] else e.owner

    def overdue(self) -> None:
        for held in self.held.values():
            assert held.answered or self.now <= held.event.expires + 0.02, "rule 1: no answer in time"

    def check(self, action: i.Action) -> None:
        if isinstance(action, i.Schedule):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, i.PushBack | i.Abort):
            held = self.held[action.msg_id]
            assert not held.answered, "rule 1: answered twice"
            held.answered = True
            if isinstance(action, i.PushBack):
                self.check_refusal(held)
        elif isinstance(action, i.Issue):
            self.check_issue(action)

    def maybe_ran(self, held: Held) -> list[dict[str, Any]]:
        return [s for s in held.sends if s["outcome"] not in NEVER_RAN]

    def check_refusal(self, held: Held) -> None:
        grade = self.env["grades"][held.event.message_class]
        if self.maybe_ran(held) and grade["semantics"] != "idempotent":
            assert grade["semantics"] == "deduplicated" and grade["group"] == "all", "rule 2: refused"

    def check_issue(self, action: i.Issue) -> None:
        held, e = self.held[action.msg_id], self.entries[action.endpoint]
        grade = self.env["grades"][held.event.message_class]
        assert not held.answered, "rule 1: sent after its answer"
        assert e.owner == held.event.dest
        assert len(held.sends) < self.env["ceilings"]["attemptsCap"]
        assert action.timeout > 0
        if not self.env["ceilings"]["mayDuplicate"]:
            assert all(s["outcome"] is not None for s in held.sends), "rule 2: two at once"
        for send in self.maybe_ran(held):
            assert grade["semantics"] != "at_most_once", "rule 2: unsafe sent again"
            if grade["semantics"] == "deduplicated":
                assert self.now <= send["at"] + grade["repeatWindow"], "rule 2: past the window"
                same = self.entries[send["endpoint"]].zone == e.zone
                assert grade["group"] == "all" or same, "rule 2: out of the group"
        closed = self.closed_at.get(action.endpoint)
        assert closed is None or self.now <= closed, "rule 3: sent to a draining or gone endpoint"
        assert self.now >= self.waits.get(self.route(action.endpoint), 0.0), "rule 5: sent inside a told wait"
        key = held.event.key
        if grade.get("byArrival") and key:
            for earlier in self.key_order[key]:
                if earlier == action.msg_id:
                    break
                before = self.held[earlier]
                assert before.answered, "rule 6: an earlier one is unfinished"
                assert all(s["outcome"] is not None for s in before.sends), "rule 6: an attempt is out"
            if not held.sends:
                assert self.now >= self.key_rest.get(key, 0.0), "rule 6: inside the turn gap"
        held.sends.append(
            {
                "endpoint": action.endpoint,
                "at": self.now,
                "outcome": None,
                "limit": min(action.timeout, held.event.expires - self.now),
            }
        )
        assert self.slots() <= self.env["extra"]["workers"], "more calls out than slots"

    def slots(self) -> int:
        """Calls out; what went to one endpoint at one time travels in as few as its batch allows."""
        groups: dict[tuple[bytes, float], int] = {}
        for msg, number in self.pending():
            send = self.held[msg].sends[number]
            groups[send["endpoint"], send["at"]] = groups.get((send["endpoint"], send["at"]), 0) + 1
        batch = self.env["extra"]["kindBatch"]
        return sum(-(-n // batch[self.entries[endpoint].kind]) for (endpoint, _), n in groups.items())

    def issued(self) -> list[i.Issue]:
        return [a for a in self.last if isinstance(a, i.Issue)]
