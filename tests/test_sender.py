"""The core without a wire protocol: acceptance, the last check before the first byte, restarts and required
waits.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from mountgauge.core.config import MapUpdate, SettingNames
from mountgauge.core.files import Files
from mountgauge.core.journal import Journal, JournalFullError
from mountgauge.core.list_lease import LeaseEnd
from mountgauge.core.ports import (
    Accepted,
    Answer,
    AttemptResult,
    Call,
    MessageOutcome,
    NextHop,
    Status,
    Submission,
)
from mountgauge.core.sender import Sender
from rillspindle import Policy
from rillspindle.interface import Entry, Issue, Outcome, Readiness, Remembered, Response
from tests.clocks import SteppedClocks
from tests.settings import message_class, settings

NAMES = SettingNames(("safe", "keyed", "once"), ("near", "far"), ("one", "many"))


class Bench(SteppedClocks):
    """Implements the core's ports, with a clock that only the test advances."""

    def __init__(
        self,
        folder: Path,
        disk: int = 1_000_000,
        time: float = 100.0,
        ahead: float = 1_000_000.0,
        boot: str = "one",
        files: Files | None = None,
        **extra: Any,
    ) -> None:
        super().__init__(time, ahead, boot)
        self.timers: list[tuple[float, Callable[[], None]]] = []
        self.calls: list[Call] = []
        self.outcomes: dict[str, MessageOutcome] = {}
        self.confirmations: dict[str, Callable[[], None]] = {}
        self.answers: dict[str, object] = {}
        self.watching = 0
        grades = [message_class(), message_class("deduplicated"), message_class("at_most_once")]
        env = settings(**{"grades": grades, "discovery": "subscribe", **extra})
        self.journal = Journal(folder, disk, clock=self, files=files)
        self.sender = Sender(Policy(env, 1), NAMES, self.journal, self, {"platform": self})
        self.sender.next_hops = self.sender.map = self

    def call_at(self, when: float, then: Callable[[], None]) -> None:
        self.timers.append((when, then))

    def start(self, call: Call) -> None:
        self.calls.append(call)

    def cancel(self, call: Call) -> None: ...

    def close_idle(self, hop_id: str) -> None: ...

    def watch(self, on: bool) -> None:
        self.watching += 1

    def snapshot(self) -> None: ...

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Callable[[], None]) -> None:
        assert msg_id not in self.outcomes, "a second outcome"
        self.outcomes[msg_id], self.confirmations[msg_id] = outcome, on_delivered

    def pass_time(self, seconds: float) -> None:
        until = self.time + seconds
        while due := [timer for timer in self.timers if timer[0] <= until]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.time = max(self.time, first[0])
            first[1]()
        self.time = until

    def hops(
        self, *states: Readiness, kind: int = 0, cell: int = 7, full: bool = True, first: int = 0
    ) -> MapUpdate:
        found = tuple(
            NextHop(f"h{n}", "127.0.0.1", 1, Entry(state, 0.0, 0.0, 0, cell, kind, b"h%d" % n))
            for n, state in enumerate(states, first)
        )
        return MapUpdate(1, full, found)

    def submit(
        self, msg_id: str, grade: int = 0, left: float = 10.0, body: bytes = b"x", dest: int = 7
    ) -> None:
        def answer(what: Answer) -> None:
            assert msg_id not in self.answers or msg_id.startswith("twice")
            self.answers[msg_id] = what

        self.sender.submit(Submission(msg_id, grade, left, dest, "k", body, "platform", answer, lambda: True))


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    made = Bench(tmp_path)
    made.sender.start(made.hops(Readiness.READY))
    made.pass_time(0.01)
    return made


@pytest.mark.parametrize("kind", [0, 1])
def test_a_wait_that_another_process_was_told_uses_up_no_attempts(tmp_path: Path, kind: int) -> None:
    """Guards against orders to call that the guard withholds: the module knew nothing of the wait, and spent
    all attempts of the destination's messages on it.
    """
    bench = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.READY, kind=kind))
    bench.pass_time(0.01)
    limit: object = 7 if kind == 0 else "h0"  # endpoints of the second kind have limits of their own
    assert bench.sender.apply_waits({limit: bench.time + 2.0})
    assert not bench.sender.apply_waits({limit: bench.time + 1.0})
    bench.submit("a")
    bench.pass_time(1.9)
    assert bench.calls == [] and bench.answers["a"] == Accepted()
    bench.pass_time(0.3)
    (call,) = bench.calls
    assert call.items[0].send_no == 0 and bench.sender.admit(call, call.items)


def test_another_endpoint_with_a_known_id_inherits_no_state(bench: Bench) -> None:
    """As the id was known, the new endpoint used to get the old one's health, destination and connections."""
    closed: list[str] = []
    setattr(bench.sender.next_hops, "close_idle", closed.append)  # noqa: B010
    old = bench.sender.policy.endpoints[b"h0"]
    (same,) = bench.hops(Readiness.READY).hops
    for new in (same._replace(port=2), same._replace(port=2, entry=same.entry._replace(owner=8))):
        bench.sender.list_changed(MapUpdate(2, False, (new,)))
        bench.pass_time(0.01)
        found = bench.sender.policy.endpoints[b"h0"]
        assert found is not old and found.dest.id == new.entry.owner and bench.sender.hops["h0"] == new
        old = found
    assert closed == ["h0"]
    bench.sender.list_changed(MapUpdate(3, True, ()))
    bench.pass_time(0.01)
    assert closed == ["h0", "h0"] and not bench.sender.policy.endpoints


def test_listed_and_removed_endpoints_leave_no_state(bench: Bench) -> None:
    for n in range(300):
        bench.sender.list_changed(bench.hops(Readiness.GONE, full=False, first=n))
        bench.sender.list_changed(bench.hops(Readiness.READY, full=False, first=n + 1, cell=n))
        bench.sender.waits[f"route-{n}"] = bench.time + 0.5
        bench.pass_time(5.0)
    policy = bench.sender.policy
    assert len(policy.endpoints) == len(bench.sender.hops) == 1 and len(bench.sender.waits) <= 1
    assert len(policy.destinations) < 60 and len(bench.sender.listed) < 200


def test_a_message_is_accepted_attempted_and_delivered(bench: Bench) -> None:
    bench.submit("a")
    assert not bench.answers
    bench.pass_time(0.01)
    assert bench.answers == {"a": Accepted()} and "a" in bench.journal.live
    (call,) = bench.calls
    assert bench.sender.admit(call, call.items) == call.items
    assert bench.journal.live["a"].attempts == 1
    bench.sender.finished(call, {call.items[0].number: AttemptResult(Outcome.OK)})
    assert (
        bench.outcomes == {"a": MessageOutcome(Status.DELIVERED)}
        and not bench.journal.live
        and not bench.sender.pending
    )


def test_no_message_is_accepted_that_could_neither_be_sent_nor_have_its_outcome_reported(
    bench: Bench,
) -> None:
    """The network to the platform is cut and the list lease has ended, so no outcome could be reported."""
    cut = True
    bench.sender.admission.isolated = lambda: cut
    bench.submit("a")
    bench.pass_time(0.01)
    assert (
        bench.answers["a"] == MessageOutcome(Status.DEFERRED, 250)
        and not bench.journal.live
        and not bench.calls
    )
    cut = False
    bench.submit("b")
    bench.pass_time(0.01)
    assert bench.answers["b"] == Accepted() and len(bench.calls) == 1


def test_no_message_is_accepted_that_would_have_to_wait_for_a_failing_source_of_lists(bench: Bench) -> None:
    lacking = True
    bench.sender.admission.lacks_list = lambda: lacking
    bench.submit("a")
    bench.pass_time(0.01)
    assert bench.answers["a"] == MessageOutcome(Status.DEFERRED, 250)
    assert not bench.journal.live and not bench.calls
    lacking = False
    bench.submit("b")
    bench.pass_time(0.01)
    assert bench.answers["b"] == Accepted() and len(bench.calls) == 1


def test_messages_of_one_tick_share_a_call(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.READY, kind=1))
    bench.pass_time(0.01)
    for name in "abcdef":
        bench.submit(name)
    bench.pass_time(0.01)
    assert [len(call.items) for call in bench.calls] == [4, 2]  # the kind's batch is 4


@pytest.mark.parametrize("late", ["drained", "gone", "absent", "wait", "ended", "expired", "moved"])
def test_last_check_before_the_first_byte(bench: Bench, late: str) -> None:
    """A slow connect outlasts the decision: nothing may be sent then, and no attempt is recorded."""
    bench.submit("a", left=2.0)
    bench.pass_time(0.01)
    call = bench.calls[0]
    if late == "drained":
        bench.sender.list_changed(bench.hops(Readiness.DRAINING, full=False))
    elif late == "gone":
        bench.sender.list_changed(bench.hops(Readiness.GONE, full=False))
    elif late == "absent":
        bench.sender.list_changed(bench.hops(Readiness.READY, first=5))
    elif late == "moved":
        bench.sender.list_changed(bench.hops(Readiness.READY, cell=8))
    elif late == "wait":
        bench.submit("b")
        bench.pass_time(0.01)
        other = bench.calls[1]
        bench.sender.admit(other, other.items)
        bench.sender.finished(
            other, {other.items[0].number: AttemptResult(Outcome.FULL, required_wait_s=5.0)}
        )
    elif late == "ended":
        bench.sender.pending[call.items[0].number].finished = True
    else:
        bench.pass_time(2.0)
    assert bench.sender.admit(call, call.items) == []
    assert "a" not in bench.journal.live or bench.journal.live["a"].attempts == 0


def test_a_message_never_has_two_calls_in_flight_and_never_goes_to_another_destination(bench: Bench) -> None:
    bench.submit("a")
    bench.pass_time(0.01)
    number = bench.calls[0].items[0].number
    bench.sender._carry_out([Issue(number, b"h0", 1.0), Issue(number, b"nosuch", 1.0)], bench.time)
    bench.sender.pending[number].call = None
    bench.sender.list_changed(bench.hops(Readiness.READY, cell=8))
    bench.sender._carry_out([Issue(number, b"h0", 1.0)], bench.time)
    assert len(bench.calls) == 1
    outcomes = [one.outcome for one in bench.sender._ready if isinstance(one, Response)]
    assert outcomes == [Outcome.MOOT] * 3


def test_a_message_that_the_next_hop_reports_as_finished_needs_no_outcome(bench: Bench) -> None:
    bench.submit("a")
    bench.pass_time(0.01)
    call = bench.calls[0]
    bench.sender.admit(call, call.items)
    bench.sender.finished(call, {call.items[0].number: AttemptResult(Outcome.MOOT, finished=True)})
    bench.pass_time(20.0)
    assert (
        bench.outcomes == {"a": MessageOutcome(Status.FINISHED)}
        and not bench.journal.live
        and len(bench.calls) == 1
    )


def test_a_failure_of_the_module_does_not_lose_the_message(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The turn continues for the other messages, and the watchdog finishes the lost one in time."""

    def fault(*_: object) -> None:
        raise RuntimeError("a fault")

    with monkeypatch.context() as patched:
        patched.setattr(bench.sender.policy, "_take", fault)
        bench.submit("a", left=2.0)
        bench.pass_time(0.01)
    bench.submit("b")
    bench.pass_time(0.01)
    assert bench.answers == {"a": Accepted(), "b": Accepted()} and len(bench.calls) == 1
    bench.pass_time(2.2)
    assert bench.outcomes == {"a": MessageOutcome(Status.UNDELIVERABLE)}


def test_an_abandoned_message_is_journalled_and_then_reported_at_once(bench: Bench) -> None:
    bench.submit("a", grade=2, left=5.0)
    bench.pass_time(0.01)
    call = bench.calls[0]
    bench.sender.admit(call, call.items)
    bench.sender.finished(call, {call.items[0].number: AttemptResult(Outcome.RESET)})
    bench.pass_time(0.02)
    assert bench.outcomes == {"a": MessageOutcome(Status.UNDELIVERABLE)}
    # The notice stays until the platform has received it.
    assert bench.journal.live["a"].notice == MessageOutcome(Status.UNDELIVERABLE)
    bench.confirmations["a"]()
    assert not bench.journal.live and bench.journal.outcomes["a"] == MessageOutcome(Status.UNDELIVERABLE)


def test_a_deferred_message_gets_a_retry_delay(bench: Bench) -> None:
    for number in range(60):
        bench.submit(f"m{number}")
    bench.pass_time(0.01)
    outcomes = [answer for answer in bench.answers.values() if isinstance(answer, MessageOutcome)]
    assert outcomes and all(one.status is Status.DEFERRED for one in outcomes)
    assert any(one.retry_after_ms > 0 for one in outcomes)
    assert len(bench.journal.live) == len(bench.sender.pending) <= 40


def test_the_same_id_is_accepted_once(bench: Bench) -> None:
    """A request that crossed the close of a connection is submitted again, even in the same turn."""
    bench.submit("twice")
    bench.submit("twice")
    bench.pass_time(0.02)
    assert bench.answers["twice"] == Accepted() and len(bench.calls) == 1
    call = bench.calls[0]
    bench.sender.admit(call, call.items)
    bench.sender.finished(call, {call.items[0].number: AttemptResult(Outcome.OK)})
    bench.answers.clear()
    bench.submit("twice")
    bench.pass_time(0.02)
    assert bench.answers == {"twice": MessageOutcome(Status.DELIVERED)} and len(bench.calls) == 1


def test_a_repeated_id_is_not_accepted_if_its_first_submission_is_deferred_in_the_same_turn(
    bench: Bench,
) -> None:
    """Answered as accepted, the repeated message would never get an outcome."""
    for number in range(60):
        bench.submit(f"twice{number}")
        bench.submit(f"twice{number}")
    bench.pass_time(0.03)
    accepted = [name for name, answer in bench.answers.items() if isinstance(answer, Accepted)]
    assert len(bench.answers) == 60 and all(name in bench.sender.numbers_by_id for name in accepted)


def test_a_full_disk_defers_messages(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    bench = Bench(tmp_path, disk=200_000)
    bench.sender.start(bench.hops(Readiness.READY))
    for number in range(10):
        bench.submit(f"m{number}", body=b"x" * 30_000)
    bench.pass_time(0.01)
    assert {type(answer) for answer in bench.answers.values()} == {Accepted, MessageOutcome}

    def full(*_: object) -> None:
        raise JournalFullError("no space left")

    monkeypatch.setattr(bench.journal, "accept", full)
    monkeypatch.setattr(bench.journal, "attempt", full)
    bench.submit("z")
    bench.pass_time(0.02)
    assert bench.answers["z"] == MessageOutcome(Status.DEFERRED)
    assert bench.sender.admit(bench.calls[0], bench.calls[0].items) == []  # not recorded, so not sent


@pytest.mark.parametrize(("index", "ran", "calls", "end"), [
    (0, True, 2, None), (1, True, 2, None), (2, True, 1, Status.UNDELIVERABLE), (2, False, 2, None),
])  # fmt: skip
def test_a_restart_knows_which_messages_may_have_run(
    tmp_path: Path, index: int, ran: bool, calls: int, end: Status | None
) -> None:
    bench = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.READY))
    bench.pass_time(0.01)
    bench.submit("a", grade=index)
    bench.pass_time(0.01)
    call = bench.calls[0]
    bench.sender.admit(call, call.items)
    if not ran:
        bench.sender.finished(call, {call.items[0].number: AttemptResult(Outcome.CONNECT_FAILED)})
    bench.journal.close()
    again = Bench(tmp_path, time=50.0, ahead=1_000_052.0, boot="two")  # only the wall clock continues
    again.sender.start(again.hops(Readiness.READY))
    again.pass_time(0.03)
    assert len(bench.calls) + len(again.calls) == calls
    assert again.outcomes.get("a", MessageOutcome(Status.DELIVERED)).status is (end or Status.DELIVERED)
    if end is None:
        message = next(iter(again.sender.pending.values()))
        assert message.expires == pytest.approx(again.time + 10 - 2, abs=0.1) and message.issued == 2


@pytest.mark.parametrize("left", [0.5, 3.0])
def test_a_restart_reports_expired_and_abandoned_messages_at_once(tmp_path: Path, left: float) -> None:
    bench = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.DRAINING))
    bench.submit("a", left=left)
    bench.pass_time(0.01)
    if left > 1:
        bench.sender.outcomes.abandon(
            bench.sender.pending[bench.sender.numbers_by_id["a"]], MessageOutcome(Status.DEFERRED, 70)
        )
    bench.journal.close()
    again = Bench(tmp_path, time=101.0)
    again.sender.start(again.hops(Readiness.READY))
    again.pass_time(0.02)
    assert not again.calls and set(again.outcomes) == {"a"}
    assert left < 1 or again.outcomes["a"] == MessageOutcome(Status.DEFERRED, 70)


def test_a_stop_leaves_unfinished_messages_in_the_journal(bench: Bench) -> None:
    bench.submit("a")
    bench.pass_time(0.01)
    bench.submit("b")
    bench.sender.stop()
    bench.submit("c")
    bench.pass_time(20.0)
    assert bench.answers == {
        "a": Accepted(),
        "b": MessageOutcome(Status.DEFERRED),
        "c": MessageOutcome(Status.DEFERRED),
    }
    assert set(bench.journal.live) == {"a"} and not bench.outcomes


def test_a_message_that_expires_before_its_call_is_finished_in_time(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.READY, kind=1))
    bench.pass_time(0.01)
    bench.submit("long")
    bench.submit("short", left=0.5)
    bench.pass_time(0.01)
    (call,) = bench.calls
    bench.sender.admit(call, call.items)
    bench.pass_time(0.6)
    assert set(bench.outcomes) == {"short"} and "long" in bench.journal.live
    bench.sender.finished(call, {item.number: AttemptResult(Outcome.OK) for item in call.items})
    assert bench.outcomes["long"] == MessageOutcome(Status.DELIVERED) and bench.outcomes[
        "short"
    ] != MessageOutcome(Status.DELIVERED)


def test_a_burst_is_decided_on_in_several_turns_and_finished_messages_cause_no_wakeups(bench: Bench) -> None:
    for n in range(100):
        bench.submit(f"m{n}")
    bench.pass_time(0.005)
    assert len(bench.answers) == 64  # the event loop does its other work before the rest
    bench.pass_time(0.005)
    assert len(bench.answers) == 100 and Accepted() in bench.answers.values()
    done = 0
    while done < len(bench.calls):
        call, done = bench.calls[done], done + 1
        bench.sender.finished(call, {item.number: AttemptResult(Outcome.OK) for item in call.items})
        bench.pass_time(0.01)
    assert not bench.sender.pending
    turns, turn = [0], bench.sender.turn

    def counted() -> None:
        turns[0] += 1
        turn()

    setattr(bench.sender, "turn", counted)  # noqa: B010
    bench.pass_time(30.0)  # past every deadline
    assert turns[0] <= 3


def test_a_failed_turn_keeps_the_watchdogs_of_all_messages(bench: Bench) -> None:
    """Without a further event nothing else wakes the sender, and pending messages would never finish."""
    bench.sender.hops.clear()  # no message can be sent, so only the timers wake the sender
    bench.submit("held", left=1.0)
    bench.pass_time(0.01)

    def fails(what: Answer) -> None:
        raise RuntimeError("a fault in a front")

    bench.sender.submit(Submission("b", 0, 9.0, 7, "k", b"x", "platform", fails, lambda: True))
    with pytest.raises(RuntimeError):
        bench.pass_time(0.01)
    bench.pass_time(2.0)
    assert set(bench.outcomes) == {"held"}


def test_waiting_calls_and_messages_are_counted_by_destination_and_endpoint(bench: Bench) -> None:
    """Queued messages are counted over the smaller of messages and destinations, with the same result."""
    sender, policy = bench.sender, bench.sender.policy
    setattr(sender, "list_lease", lambda dest: LeaseEnd.EXPIRED)  # noqa: B010
    for n in range(30):
        bench.submit(f"m{n}", left=60.0)
    bench.pass_time(0.01)
    for others in range(2):
        assert (len(policy.messages) < len(policy.destinations)) is bool(others)
        queued = {(dest.id, ""): len(dest.queued) for dest in policy.destinations.values() if dest.queued}
        assert sum(queued.values()) > 1 and len(sender.attempts.parked) > 1
        assert sender.waiting == {**queued, (7, "h0"): len(sender.attempts.parked)}
        for dest in range(100, 200):
            sender.remember(Remembered(dest, 0.0, 1.0))
        bench.pass_time(0.01)
