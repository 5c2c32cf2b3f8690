"""An id that comes again at the other process of a folder is known there: it runs once, and its client hears
its outcome.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from pathlib import Path

import pytest

from mountgauge.core.journal import Journal
from mountgauge.core.ports import Accepted, Answer, AttemptResult, MessageOutcome, Status, Submission
from mountgauge.lab.faults.files import FailingFiles
from rillspindle.interface import Outcome, Readiness
from tests.test_sender import Bench

ONCE = 2
DELIVERED = MessageOutcome(Status.DELIVERED)
UNDELIVERABLE = MessageOutcome(Status.UNDELIVERABLE)


class Process(Bench):
    """One of two processes on a folder, with a front whose clients wait for outcomes."""

    def __init__(self, folder: Path, time: float = 100.0, files: FailingFiles | None = None) -> None:
        super().__init__(folder, time=time, files=files)
        self.told: list[tuple[str, MessageOutcome]] = []
        fronts = self.sender.fronts
        assert isinstance(fronts, dict)
        fronts["amqp"] = self.publishers = Publishers(self.told)
        self.sender.start(self.hops(Readiness.READY))
        self.pass_time(0.01)

    def publish(self, msg_id: str, body: bytes = b"x", front: str = "amqp", grade: int = ONCE) -> None:
        """Submit a message; its answer is the last one of its id."""

        def answer(what: Answer) -> None:
            self.answers[msg_id] = what

        submission = Submission(msg_id, grade, 10.0, 7, "k", body, front, answer, lambda: True)
        submission.awaits_outcome = front == "amqp"
        self.sender.submit(submission)
        self.pass_time(0.01)

    def send(self, msg_id: str) -> None:
        """Make the attempt that was decided on; it is out then."""
        call = next(call for call in self.calls if call.items[0].id == msg_id)
        assert self.sender.admit(call, call.items)

    def receive(self, msg_id: str, outcome: Outcome = Outcome.OK) -> None:
        call = next(call for call in self.calls if call.items[0].id == msg_id)
        self.sender.finished(call, {call.items[0].number: AttemptResult(outcome)})
        self.pass_time(0.01)

    def adopt(self) -> None:
        """What the hand-over does once the other process has ended."""
        adopted = self.journal.adopt()
        self.sender.forget_finished()
        self.sender.restore(adopted)
        self.pass_time(0.1)

    def sent(self) -> list[str]:
        return [item.id for call in self.calls for item in call.items]


class Publishers:
    """A front that only notes outcomes."""

    def __init__(self, told: list[tuple[str, MessageOutcome]]) -> None:
        self.told = told

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: object) -> None:
        self.told.append((msg_id, outcome))
        assert callable(on_delivered)
        on_delivered()


@pytest.fixture(params=["old", "new"])
def processes(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[tuple[Process, Process]]:
    """The process that accepts a message first, and the other one: the older one, or the newer one."""
    old, new = Process(tmp_path), Process(tmp_path)
    yield (old, new) if request.param == "old" else (new, old)
    old.journal.close()
    new.journal.close()


def test_an_id_that_comes_again_at_the_other_process_runs_once(processes: tuple[Process, Process]) -> None:
    """Guards against a second run: the other process looked into its own messages alone."""
    first, other = processes
    first.publish("a")
    first.send("a")
    other.publish("a")
    assert other.answers["a"] == Accepted() and not other.sent() and "a" not in other.journal.live
    other.publish("a", b"another message under this id")
    answer: Answer = other.answers["a"]
    assert answer == UNDELIVERABLE
    first.journal.close()
    other.adopt()
    assert not other.sent(), "it may have run, and its class allows no repeat"
    assert other.told == [("a", UNDELIVERABLE)]


def test_the_outcome_at_the_other_process_is_told_to_who_waits_here(
    processes: tuple[Process, Process],
) -> None:
    """Guards against a publisher that hears neither ack nor nack."""
    first, other = processes
    first.publish("a")
    first.send("a")
    other.publish("a")
    first.receive("a")
    other.pass_time(0.2)
    assert other.told == [("a", DELIVERED)]
    other.publish("a")
    assert other.answers["a"] == DELIVERED and not other.sent()
    first.journal.close()
    other.adopt()
    other.pass_time(20.0)
    assert other.told == [("a", DELIVERED)], "once"


def test_an_outcome_just_before_the_other_processs_end_is_told(processes: tuple[Process, Process]) -> None:
    """The waiting client's process finds the outcome in the journal that it adopts."""
    first, other = processes
    first.publish("a")
    first.send("a")
    other.publish("a")
    first.receive("a")
    first.journal.close()
    other.adopt()
    assert other.told == [("a", DELIVERED)] and not other.sent()


def test_a_pending_message_that_the_other_process_has_finished_is_told_to_who_waits(
    processes: tuple[Process, Process],
) -> None:
    """Guards against `forget_finished` without a word, however both came to have the message: an earlier
    build accepts an id that this one has.
    """
    first, other = processes
    first.publish("a", grade=0)
    stored = first.journal.live["a"]
    other.journal.accept(stored)
    other.sender.restore([stored])
    other.publish("a")
    other.pass_time(0.05)
    first.send("a")
    first.receive("a")
    first.journal.close()
    other.adopt()
    other.pass_time(0.1)
    assert other.told == [("a", DELIVERED)]
    assert "a" not in other.sender.numbers_by_id


@pytest.mark.parametrize("accepted_by", ["platform", "amqp"])
@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.TIMEOUT])
def test_a_client_of_another_front_hears_the_outcome(
    tmp_path: Path, accepted_by: str, outcome: Outcome
) -> None:
    """The outcome went to the front that had accepted the message alone, also within one process."""
    one = Process(tmp_path)
    one.publish("a", front=accepted_by)
    one.send("a")
    one.publish("a")
    one.receive("a", outcome)
    one.pass_time(0.1)
    assert one.told == [("a", DELIVERED if outcome is Outcome.OK else UNDELIVERABLE)]
    one.journal.close()


def test_a_client_that_asks_while_a_notice_is_unacknowledged_hears_the_outcome(tmp_path: Path) -> None:
    one = Process(tmp_path)
    one.publish("a", front="platform")
    one.send("a")
    one.receive("a", Outcome.TIMEOUT)
    one.pass_time(0.1)
    assert one.outcomes == {"a": UNDELIVERABLE} and not one.told
    one.publish("a")
    one.confirmations["a"]()
    assert one.told == [("a", UNDELIVERABLE)]
    one.journal.close()


def test_a_compacted_journal_of_the_other_process_is_read_anew(processes: tuple[Process, Process]) -> None:
    first, other = processes
    first.publish("a")
    other.publish("a")
    first.journal._rewrite(first.journal._content())
    first.publish("b")
    other.publish("b")
    first.send("a")
    first.journal._rewrite(first.journal._content())
    first.receive("a")
    for _ in range(3):
        other.publish("b")
        assert other.answers["b"] == Accepted()
    other.pass_time(0.1)
    assert other.told == [("a", DELIVERED)] and not other.sent()


def test_two_processes_that_decide_on_an_id_at_once_accept_it_once(
    processes: tuple[Process, Process],
) -> None:
    """Guards against the race: both have looked before either has recorded the message."""
    first, other = processes

    def other_decides() -> bool:
        other.publish("a")
        return True

    original = first.sender.policy.handle

    def handle(event: object, now: float) -> list[object]:
        if type(event).__name__ == "Incoming" and "a" not in other.answers:
            other_decides()  # between this process's first look and its record
        return list(original(event, now))  # type: ignore[arg-type]

    first.sender.policy.handle = handle  # type: ignore[method-assign, assignment]
    first.publish("a")
    assert (first.answers["a"], other.answers["a"]) == (Accepted(), Accepted())
    assert ("a" in first.journal.live) + ("a" in other.journal.live) == 1
    assert len(first.sent()) + len(other.sent()) == 1
    other.send("a")
    other.receive("a")
    first.pass_time(0.1)
    assert first.told == other.told == [("a", DELIVERED)]


def test_nothing_is_accepted_while_another_process_holds_the_lock(tmp_path: Path) -> None:
    """It may be suspended between its look and its record; its death releases the lock."""
    one = Process(tmp_path)
    one.publish("a")
    lock = os.open(tmp_path / "lock.ids", os.O_RDWR)
    fcntl.flock(lock, fcntl.LOCK_EX)
    one.publish("b")
    one.publish("a")
    answer = one.answers["b"]
    assert isinstance(answer, MessageOutcome) and answer.status is Status.DEFERRED
    assert "b" not in one.journal.live and one.answers["a"] == Accepted(), "what is known needs no lock"
    os.close(lock)
    one.publish("b")
    assert one.answers["b"] == Accepted()
    one.journal.close()


def test_a_third_process_knows_the_ids_of_both(tmp_path: Path) -> None:
    """Also while one of the two adopts the other's journal, in either direction."""
    for size in (b"x", b"x" * 300_000):  # the second is moved into the file of the first
        folder = tmp_path / str(len(size))
        folder.mkdir()
        first, second = Process(folder), Process(folder)
        first.publish("a", size)
        second.publish("b")
        third = Process(folder)
        for msg_id, body in (("a", size), ("b", b"x")):
            third.publish(msg_id, body)
            assert third.answers[msg_id] == Accepted() and not third.sent()
        first.journal.close()
        second.adopt()
        for msg_id, body in (("a", size), ("b", b"x")):
            third.publish(msg_id, body)
            assert third.answers[msg_id] == Accepted() and not third.sent()
        second.journal.close()
        third.adopt()
        assert sorted(third.journal.live) == ["a", "b"]
        third.journal.close()


def test_a_journal_that_cannot_be_read_rejects_new_ids_for_a_bounded_time(tmp_path: Path) -> None:
    """As for one that is to be adopted: it may have the id."""
    one, other = Process(tmp_path), Journal(tmp_path, 1_000_000)
    other.path.unlink()
    other.path.mkdir()  # it can be looked at, and opened, but not read
    one.publish("a")
    answer = one.answers["a"]
    assert isinstance(answer, MessageOutcome) and answer.status is Status.DEFERRED
    one.pass_time(6.0)
    one.publish("a")
    assert one.answers["a"] == Accepted()
    one.journal.close()
    other.close()
