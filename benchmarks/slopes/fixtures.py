"""Fixtures of several probes: settings, lists of destinations, and a core without sockets or a real clock."""

from __future__ import annotations

import itertools
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from mountgauge.core.config import MapUpdate, SettingNames
from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.core.ports import AttemptResult, Call, MessageOutcome, NextHop
from mountgauge.core.sender import Sender
from rillspindle import Policy
from rillspindle import interface as io
from rillspindle.interface import Entry, Outcome, Readiness

SEED = 1
DEADLINE_S = 3600.0
DISK_BYTES = 1 << 34
NAMES = SettingNames(("note",), (), ("next-hop",))


def settings(max_open: int = 10_000_000, workers: int = 1, senders: int = 1) -> dict[str, Any]:
    """The module's settings as an operator's file gives them, with capacity for any number of messages."""
    return {
        "balancers": senders, "zone": 0, "tick": 0.005, "discovery": "subscribe", "weights": "nominal",
        "grades": [{
            "name": "note", "semantics": "idempotent", "deadline": DEADLINE_S, "group": "all", "aim": 2.0,
            "stream": False, "worth": 1.0, "repeatWindow": DEADLINE_S, "lateWorth": 0.3,
        }],
        "localities": [], "shapes": ["next-hop"],
        "ceilings": {
            "attemptsCap": 8, "cancel": True, "connIdle": 5.0, "connectTimeout": 1.5, "maxOpen": max_open,
            "maxRetryAfter": 2.0, "mayDuplicate": False, "peers": False, "probes": False, "retryAfter": True,
            "streamsPerConn": 1,
        },
        "extra": {"kindBatch": [1], "losesWorth": "even", "routesApart": [False], "workers": workers},
        "obligations": {
            "answerSlack": 0.02, "askWithin": 10.0, "cold": 14.0, "drainGrace": 0.25, "fall": 1.5,
            "fallMultiple": 2.0, "startCapacity": 0.17,
        },
        "report": {"fields": [], "via": "off"},
    }  # fmt: skip


def entry(number: int, readiness: Readiness = Readiness.READY) -> Entry:
    """The only endpoint of a destination."""
    return Entry(readiness, 0.0, 0.0, 0, number, 0, b"hop-%d" % number)


def hop(number: int, readiness: Readiness = Readiness.READY) -> NextHop:
    """The next hop of a destination."""
    return NextHop(f"hop-{number}", "127.0.0.1", 1024 + number % 60_000, entry(number, readiness))


def full_list(count: int, version: int = 1) -> MapUpdate:
    """A full list of so many next hops."""
    return MapUpdate(version, True, tuple(hop(number) for number in range(count)))


def listed_policy(count: int, **extra: int) -> Policy:
    """A module that has so many destinations listed, one endpoint each."""
    policy = Policy(settings(**extra), SEED)
    entries = tuple(entry(number) for number in range(count))
    policy.handle(io.Targets(io.ListKind.FULL, 1, entries), 100.0)
    return policy


def queued_policy(count: int) -> Policy:
    """The same, with a message queued for each destination except the one that has the only slot."""
    policy = listed_policy(count, workers=1)
    for number in range(count):
        policy.handle(incoming(number + 1, number, 100.0), 100.0)
    return policy


class Peers:
    """Stands in for next hops, transport map, front and clock of a core. Its calls stay in flight."""

    def __init__(self) -> None:
        self.time = 100.0
        self.due: list[Callable[[], None]] = []
        self.calls: list[Call] = []
        self.closed = 0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time + 1_000_000.0

    def boot(self) -> str:
        return ""

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        self.due.append(callback)

    def start(self, call: Call) -> None:
        self.calls.append(call)

    def cancel(self, call: Call) -> None: ...

    def close_idle(self, hop_id: str) -> None:
        self.closed += 1

    def watch(self, on: bool) -> None: ...

    def snapshot(self) -> None: ...

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Callable[[], None]) -> None:
        on_delivered()

    def run_due(self) -> None:
        """Run the callbacks that the core has scheduled, a tick later."""
        self.time += 0.01
        due, self.due = self.due, []
        for callback in due:
            callback()


def sender(policy: Policy, peers: Peers, folder: Path | None = None) -> Sender:
    """A core with a journal of its own."""
    journal = Journal(folder or Path(tempfile.mkdtemp(prefix="slopes-")), DISK_BYTES, clock=peers)
    found = Sender(policy, NAMES, journal, peers, {"platform": peers})
    found.next_hops = found.map = peers
    return found


def incoming(number: int, dest: int, now: float) -> io.Incoming:
    """The event of a message that arrives."""
    return io.Incoming(number, 0, now + DEADLINE_S, 0, 0.0, dest, 0, 0)


def answered(number: int, dest: int) -> io.Response:
    """The event of a message that was delivered."""
    return io.Response(number, 0.05, b"hop-%d" % dest, Outcome.OK, 0, True, 0, ())


def stored(number: int, dest: int, body_bytes: int, expires: float) -> StoredMessage:
    """A message as the journal stores it."""
    return StoredMessage(f"message-{number:012d}", "note", expires, dest, "", "platform", bytes(body_bytes))


def numbers(start: int = 1) -> Callable[[], int]:
    """Returns increasing message numbers."""
    counter = itertools.count(start)
    return lambda: next(counter)


def finish_all(core: Sender, calls: Sequence[Call], outcome: Outcome = Outcome.OK) -> None:
    """Report the same outcome for all messages of these calls."""
    for call in calls:
        core.finished(call, {item.number: AttemptResult(outcome) for item in call.items})
