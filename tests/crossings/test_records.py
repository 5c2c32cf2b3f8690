"""Records of an attempt that may have run, in a file, by another process or in an answer, take effect in time
(issue 40): no message is repeated that must not be, and none is deferred that may have run.
"""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path

import orjson
import pytest

from mountgauge.core import journal
from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.core.ports import Accepted, AttemptResult, MessageOutcome, Status
from mountgauge.http1 import Message, response
from mountgauge.lab.faults.files import FailingFiles
from mountgauge.run.handover import Handover
from rillspindle.interface import Outcome, Readiness
from tests.test_next_hops import outcome
from tests.test_sender import Bench

ONCE = 2  # the class of `Bench` that is never repeated
RETRY = MessageOutcome(Status.DEFERRED, 250)


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    made = Bench(tmp_path)
    made.sender.start(made.hops(Readiness.READY))
    made.pass_time(0.01)
    return made


def test_a_replace_that_reports_an_error_after_it_took_effect_loses_no_attempt(tmp_path: Path) -> None:
    """The journal continued to write to the file that had been replaced."""
    files = FailingFiles()
    bench = Bench(tmp_path, files=files, disk=2_000_000)
    bench.sender.start(bench.hops(Readiness.READY))
    bench.submit("a", grade=ONCE)
    bench.pass_time(0.01)
    (call,) = bench.calls
    files.late = {"replace"}
    for number in range(400):  # finished messages, which a compaction drops
        bench.journal.accept(StoredMessage(f"s{number}", "safe", 1e9, 7, "k", "platform", b"x" * 2000))
        bench.journal.finish(f"s{number}", MessageOutcome(Status.DELIVERED))
    assert files.calls["replace"]
    files.late = set()
    assert bench.sender.admit(call, call.items)
    bench.journal.close()
    again = Journal(tmp_path, 2_000_000, clock=bench)
    assert again.live["a"].attempts == 1 and len(again.live["a"].maybe_ran) == 1
    again.close()


def test_a_replace_with_unknown_effect_is_checked_before_the_next_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The file could not be inspected either, and the record that an attempt never ran is still unwritten."""
    files = FailingFiles()
    bench = Bench(tmp_path, files=files)
    bench.sender.start(bench.hops(Readiness.READY))
    bench.submit("a", grade=ONCE)
    bench.pass_time(0.01)
    (call,) = bench.calls
    assert bench.sender.admit(call, call.items)
    files.fails = {"write"}
    bench.journal.never_ran("a")
    files.heal()
    files.late = {"replace"}

    def uninspectable(*_: object) -> bool:
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    with monkeypatch.context() as patched, pytest.raises(OSError):
        patched.setattr(journal, "same_file", uninspectable)
        bench.journal._rewrite(bench.journal._content())
    files.late = set()
    bench.journal.attempt(["a"], bench.journal.time.of(bench.time), 0)
    bench.journal.close()
    again = Journal(tmp_path, 1_000_000, clock=bench)
    assert again.live["a"].attempts == 2 and len(again.live["a"].maybe_ran) == 1
    again.close()


def other_process(bench: Bench, *, finished: bool) -> None:
    """Another process on the folder has sent the message that is pending here, and has ended."""
    other = Journal(bench.journal.folder, 1_000_000, clock=bench)
    one = bench.journal.live["a"]
    other.accept(StoredMessage("a", one.class_name, one.expires, one.dest, one.key, one.front, one.body))
    other.attempt(["a"], bench.journal.time.of(bench.time), 0)
    if finished:
        other.finish("a", MessageOutcome(Status.DELIVERED))
    other.close()


def adopt(bench: Bench) -> None:
    Handover(bench.sender, bench.journal, bench.journal.folder, sharing=False).adopt()


def test_a_message_that_another_process_delivered_is_not_sent(bench: Bench) -> None:
    bench.submit("a", grade=ONCE)
    bench.pass_time(0.01)
    (call,) = bench.calls
    other_process(bench, finished=True)
    adopt(bench)
    assert bench.sender.admit(call, call.items) == []
    bench.sender.finished(call, {})
    bench.pass_time(20.0)
    assert bench.outcomes == {} and not bench.sender.pending, "its outcome was reported already"


def test_a_message_that_another_process_may_have_sent_is_not_sent_again(bench: Bench) -> None:
    bench.submit("a", grade=ONCE)
    bench.pass_time(0.01)
    (call,) = bench.calls
    other_process(bench, finished=False)
    adopt(bench)
    assert bench.sender.admit(call, call.items) == []
    bench.sender.finished(call, {})
    bench.pass_time(20.0)
    assert bench.outcomes == {"a": MessageOutcome(Status.UNDELIVERABLE)}, "submitting it again might do harm"


@pytest.mark.parametrize("moment", ["before the stop", "after it"])
def test_a_request_repeated_at_the_stop_is_not_deferred(bench: Bench, moment: str) -> None:
    bench.submit("twice", grade=ONCE)
    bench.pass_time(0.01)
    (call,) = bench.calls
    bench.sender.admit(call, call.items)
    if moment == "before the stop":
        bench.submit("twice", grade=ONCE)
    bench.sender.stop()
    if moment == "after it":
        bench.submit("twice", grade=ONCE)
    assert bench.answers["twice"] == Accepted()
    bench.submit("new")
    assert bench.answers["new"] == MessageOutcome(Status.DEFERRED)


def test_a_finished_message_is_not_deferred_after_the_stop(bench: Bench) -> None:
    bench.submit("twice", grade=ONCE)
    bench.pass_time(0.01)
    (call,) = bench.calls
    bench.sender.admit(call, call.items)
    bench.sender.finished(call, {call.items[0].number: AttemptResult(Outcome.OK)})
    bench.sender.stop()
    bench.submit("twice", grade=ONCE)
    assert bench.answers["twice"] == MessageOutcome(Status.DELIVERED)


@pytest.mark.parametrize("states", [("ok", "later"), ("later", "ok"), ("exhausted", "error")])
def test_a_contradictory_batch_answer_proves_nothing(states: tuple[str, str]) -> None:
    """If an answer named a message twice, the last state used to count."""

    async def reply(message: Message) -> bytes:
        lines = [{"id": "id0", "state": state} for state in states] + [{"id": "id1", "state": "ok"}]
        return response(200, "OK", {}, orjson.dumps(lines))

    async def main() -> None:
        found = await outcome(reply, b"x", b"y")
        assert found[0].outcome is Outcome.ERROR and found[1].outcome is Outcome.OK

    asyncio.run(main())


def test_no_message_is_accepted_while_an_ended_processs_journal_is_unreadable(tmp_path: Path) -> None:
    """It may contain a repeated request, which would be sent a second time if it were accepted as new."""
    first, second = Journal(tmp_path, 1_000_000), Journal(tmp_path, 1_000_000)
    first.close()
    second.accept(StoredMessage("a", "once", 1e10, 7, "k", "platform", b"x"))
    second.attempt(["a"], 100.0, 0)
    second.close()

    class Unreadable(FailingFiles):
        """Neither the adoption nor the reading beside a running process gets at this journal's content."""

        def open(self, path: Path, flags: int) -> int:
            if path.name == "journal.1" and not flags & os.O_ACCMODE:
                self._call("read other")
            return super().open(path, flags)

        def read(self, path: Path) -> bytes:
            if path.name == "journal.1":
                self._call("read other")
            return super().read(path)

    files = Unreadable()
    files.fails = {"read other"}
    bench = Bench(tmp_path, files=files)
    bench.sender.start(bench.hops(Readiness.READY))
    bench.submit("a", grade=ONCE)
    bench.pass_time(0.01)
    assert bench.answers.pop("a") == RETRY and not bench.calls
    files.heal()
    adopt(bench)
    bench.submit("a", grade=ONCE)
    bench.pass_time(0.01)
    assert bench.answers["a"] == Accepted() and not bench.calls, "it is known, and may have run"
