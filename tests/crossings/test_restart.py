"""Restarts try accepted messages that were not tried yet, and hand-overs of a folder that coincide with
faults.

What was found, tried, delivered and abandoned is taken from the journal, the partner's log and the notices.
"""

from __future__ import annotations

import asyncio
import math
from pathlib import Path
from typing import Any

import pytest

from mountgauge.core.config import SettingNames
from mountgauge.core.files import Files
from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.core.ports import AttemptResult, MessageOutcome, Status
from mountgauge.http1 import Message
from mountgauge.lab.faults.files import FailingFiles
from rillspindle import interface as io
from rillspindle.interface import Outcome, Readiness
from tests.crossings.test_shutdown import Served
from tests.driver import Driver, entry
from tests.helper import HOST, run, until
from tests.settings import message_class, settings
from tests.test_peers import listing
from tests.test_sender import Bench

LIMIT = 8  # maximum of pending messages in the settings
SHARE = LIMIT // 2  # of them for one destination


class Unlisted(Served):
    """Its endpoint is leaving in all lists of a sender, until a watch reports that it is active again."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.listed, self.back = "leaving", asyncio.Event()

    async def answer(self, message: Message) -> bytes:
        assert message.start is not None
        if message.start[1] == "/v1/notices" or "index=5&" in message.start[1]:
            return await super().answer(message)
        await self.back.wait()
        return listing(5, True, id="e", addr=f"{HOST}:{self.endpoint.port}", cell=7, kind="one", zone="near")


def test_a_restart_tries_untried_messages_though_more_are_submitted_than_may_be_pending(
    tmp_path: Path,
) -> None:
    """Nothing can be sent before the restart, nor right after it by an old list, and the clients continue to
    submit more than there is capacity for. New messages are rejected, not the accepted ones.
    """

    async def main() -> None:
        async with Unlisted(tmp_path) as platform:
            process = await platform.start()
            first = [(f"a{n}", "safe") for n in range(60)]
            answers = await platform.send(*first, left_ms=12_000)
            process.kill()
            await process.wait()
            journal = Journal(tmp_path / "state", 3_000_000)
            found = {one.id for one in journal.live.values() if not one.attempts and one.notice is None}
            journal.close()
            accepted = {
                msg_id for (msg_id, _), answer in zip(first, answers, strict=True) if answer[:1] == b"+"
            }
            assert found and found <= accepted and not platform.received_calls
            await platform.start()
            for burst in range(3):
                await platform.send(*[(f"b{burst}-{n}", "safe") for n in range(60)])
            assert not found & {*platform.notices}, "abandoned without a call"
            platform.back.set()
            await until(lambda: found <= {*platform.delivered}, 15)
            assert not found & {*platform.notices}

    run(main(), 60)


def small(readiness: Readiness, wait: float = 0.0) -> Driver:
    env = settings()
    env["ceilings"] |= {"maxOpen": LIMIT}
    driver = Driver(env)
    driver.targets(io.ListKind.FULL, entry(1, readiness=readiness))
    driver.now += 1
    driver.policy.handle(io.Remembered(0, wait, math.inf), driver.now)
    for number in range(1, SHARE + 1):
        driver.policy.handle(io.Restored(number, driver.now + 6.0, 0, 0, 0, ()), driver.now)
    return driver


def kept(driver: Driver, messages: list[int]) -> set[int]:
    return {number for number in messages if number in driver.policy.messages}


OLD, NEW = list(range(1, SHARE + 1)), list(range(100, 100 + LIMIT))


def submit(driver: Driver, numbers: list[int]) -> None:
    for number in numbers:
        driver.policy.handle(io.Incoming(number, 0, driver.now + 12.0, 0, 0.0, 0, 0, 0), driver.now)


@pytest.mark.parametrize(("readiness", "wait"), [(Readiness.DRAINING, 0.0), (Readiness.READY, 3.0)])
def test_the_bound_on_pending_messages_rejects_new_ones_not_accepted_ones(
    readiness: Readiness, wait: float
) -> None:
    """A message that certainly has not run is kept for 70 % of its time, even if a new one has more value."""
    driver = small(readiness, wait)
    submit(driver, NEW)
    assert kept(driver, OLD) == set(OLD) and not kept(driver, NEW)


def test_after_70_percent_of_its_time_a_message_yields_to_one_of_higher_value() -> None:
    driver = small(Readiness.READY, wait=7.0)
    driver.now += 5.0
    submit(driver, NEW[:SHARE])
    assert kept(driver, NEW) == set(NEW[:SHARE]) and not kept(driver, OLD)


def test_a_repeat_window_continues_over_a_restart(tmp_path: Path) -> None:
    """It is counted by the wall clock: if it elapses during a downtime, the message must not be repeated."""
    for down, calls in ((0.5, 1), (20.0, 0)):
        folder = tmp_path / str(down)
        folder.mkdir()
        bench = Bench(folder)
        window = bench.sender.rules.message_classes[1].repeat_window
        assert 0.5 < window < 20
        bench.sender.start(bench.hops(Readiness.READY))
        bench.pass_time(0.01)
        bench.submit("a", grade=1, left=60.0)
        bench.pass_time(0.01)
        (call,) = bench.calls
        bench.sender.admit(call, call.items)
        bench.journal.close()
        again = Bench(folder, time=7.0, ahead=bench.wall() + down - 7.0, boot="two")
        again.sender.start(again.hops(Readiness.READY))
        again.pass_time(0.05)
        assert len(again.calls) == calls
        assert ("a" in again.outcomes) is (not calls)


def journal_of_a_removed_class(folder: Path) -> Bench:
    """A process that has accepted two messages, and attempted one, of a class that the next one lacks."""
    bench = Bench(folder)
    bench.sender.start(bench.hops(Readiness.READY))
    bench.pass_time(0.01)
    for name in ("tried", "untried"):
        bench.submit(name, grade=2)
        bench.pass_time(0.01)
    call = bench.calls[0]
    bench.sender.admit(call, call.items)
    return bench


def without_class(folder: Path) -> Bench:
    """The next process, whose settings lack the class."""
    again = Bench(folder, grades=[message_class(), message_class("deduplicated")])
    again.sender.names = SettingNames(("safe", "keyed"), ("near", "far"), ("one", "many"))
    again.sender.start(again.hops(Readiness.READY))
    again.pass_time(0.05)
    return again


def test_messages_of_a_removed_class_keep_its_repeat_rule(tmp_path: Path) -> None:
    """Its definition is on record: the untried message is sent, the other one may not be repeated."""
    journal_of_a_removed_class(tmp_path).journal.close()
    again = without_class(tmp_path)
    assert again.outcomes == {"tried": MessageOutcome(Status.UNDELIVERABLE)}
    assert [item.id for call in again.calls for item in call.items] == ["untried"]


def test_an_untried_message_of_a_removed_class_is_deferred(tmp_path: Path) -> None:
    """The settings no longer have its class and repeat rule, but as it has not run, a repeat is harmless. An
    earlier build has recorded the class's name alone.
    """
    bench = journal_of_a_removed_class(tmp_path)
    for stored in bench.journal.live.values():
        stored.message_class = None
    bench.journal._rewrite(bench.journal._content())
    bench.journal.close()
    again = without_class(tmp_path)
    assert again.outcomes == {
        "tried": MessageOutcome(Status.UNDELIVERABLE),
        "untried": MessageOutcome(Status.DEFERRED),
    }


# Hand-over of a folder


def two_journals(folder: Path, *names: str, files: Files | None = None) -> tuple[Journal, Journal]:
    """The journals of an old and a new process on one folder; the old one has these messages, and the new one
    uses `files`.
    """
    old = Journal(folder, 300_000)
    new = Journal(folder, 300_000, files=files)
    for name in names:
        old.accept(StoredMessage(name, "note", 1000.5, 7, "key", "platform", b"body"))
    return old, new


def reopened(folder: Path) -> Journal:
    return Journal(folder, 300_000)


@pytest.mark.parametrize("written", [0, 1, 40])
def test_a_disk_failure_during_an_adoption_loses_nothing(tmp_path: Path, written: int) -> None:
    """At the next start half a record would hide all records after it."""
    files = FailingFiles()
    old, new = two_journals(tmp_path, "a", "b", files=files)
    old.finish("a", MessageOutcome(Status.DELIVERED))
    old.close()
    files.writable_bytes = written
    assert new.adopt() == [] and new.unadopted, "it is still to be adopted"
    assert "b" not in new.live and "a" not in new.outcomes
    files.heal()
    new.accept(StoredMessage("c", "note", 1000.5, 7, "key", "platform", b"body"))
    assert [one.id for one in new.adopt()] == ["b"] and not new.unadopted
    new.close()
    last = reopened(tmp_path)
    assert set(last.live) == {"b", "c"} and set(last.outcomes) == {"a"} and not last.truncated_bytes
    last.close()


def test_adopted_outcomes_are_known_after_a_restart_however_many_there_were(tmp_path: Path) -> None:
    """Above the maximum number of outcomes the oldest are dropped, and the positions of newer ones change."""
    old, new = two_journals(tmp_path, "a")
    for n in range(400):  # more than a folder of this size remembers
        name = f"m{n}"
        new.accept(StoredMessage(name, "note", 1000.5, 7, "key", "platform", b""))
        new.finish(name, MessageOutcome(Status.DELIVERED))
    old.finish("a", MessageOutcome(Status.DELIVERED))
    old.close()
    new.adopt()
    assert "a" in new.outcomes
    new.close()
    last = reopened(tmp_path)
    assert "a" in last.outcomes, "submitted again it would be delivered a second time"
    last.close()


def test_the_old_processs_last_record_is_adopted_whenever_it_is_written(tmp_path: Path) -> None:
    """An answer arrives between two checks by the new process, while the old one still runs."""
    old, new = two_journals(tmp_path, "a", "b")
    assert new.adopt() == [] and new.unadopted
    old.attempt(["a"], 5.0, 0)
    old.finish("b", MessageOutcome(Status.DELIVERED))
    old.close()
    [one] = new.adopt()
    assert (one.id, one.attempts, one.maybe_ran) == ("a", 1, [(5.0, 0)])
    assert new.adopt() == [] and "b" in new.outcomes
    new.close()


def test_an_unreported_outcome_of_the_old_process_is_reported_and_not_tried_again(tmp_path: Path) -> None:
    """Its notice coincided with the process's end: the new process owes the same outcome, and no other."""
    bench = Bench(tmp_path)  # the new process, while the old one runs
    old = Journal(tmp_path, 300_000, clock=bench)
    now = bench.wall()
    for name in ("given-up", "untried"):
        old.accept(StoredMessage(name, "safe", now + 9, 7, "k", "platform", b"x"))
    old.abandon("given-up", MessageOutcome(Status.DEFERRED, 70))
    bench.sender.start(bench.hops(Readiness.READY))
    bench.pass_time(0.01)
    assert bench.journal.adopt() == [] and not bench.outcomes
    old.close()
    bench.sender.restore(bench.journal.adopt())
    bench.pass_time(0.02)
    assert bench.outcomes == {"given-up": MessageOutcome(Status.DEFERRED, 70)}
    assert [item.id for call in bench.calls for item in call.items] == ["untried"]
    bench.confirmations["given-up"]()
    assert "given-up" in bench.journal.outcomes and "given-up" not in bench.journal.live


def test_the_outcome_of_an_attempt_during_the_stop_is_in_the_last_record(tmp_path: Path) -> None:
    """After the last turn no attempt is decided on, but the outcomes of those in flight are journalled."""
    bench: Any = Bench(tmp_path)
    bench.sender.start(bench.hops(Readiness.READY, Readiness.READY))
    bench.pass_time(0.01)
    for name in ("never", "done", "maybe"):
        bench.submit(name, grade=2)
        bench.pass_time(0.3)
    calls = {call.items[0].id: call for call in bench.calls}
    for call in bench.calls:
        bench.sender.admit(call, call.items)
    bench.sender.stop()
    for name, outcome in (("never", Outcome.CONNECT_FAILED), ("done", Outcome.OK), ("maybe", Outcome.RESET)):
        call = calls[name]
        bench.sender.finished(call, {call.items[0].number: AttemptResult(outcome)})
    assert not bench.timers or bench.pass_time(1.0) is None
    bench.journal.close()
    last = Journal(tmp_path, 1_000_000)
    assert {one.id: len(one.maybe_ran) for one in last.live.values()} == {"never": 0, "maybe": 1}
    assert set(last.outcomes) == {"done"}
    last.close()


def test_a_kill_at_each_byte_of_an_adoption_neither_loses_nor_duplicates_a_message(tmp_path: Path) -> None:
    """The append may stop anywhere while the old file exists, or be complete with the old file removed."""
    first = tmp_path / "first"
    first.mkdir()
    old, new = two_journals(first, "a", "b", "d")
    old.attempt(["a"], 5.0, 0)
    old.finish("b", MessageOutcome(Status.DELIVERED))
    old.abandon("d", MessageOutcome(Status.DEFERRED, 70))
    new.accept(StoredMessage("c", "note", 1000.5, 7, "key", "platform", b"body"))
    old.close()
    left, before = old.path.read_bytes(), new.path.read_bytes()
    new.adopt()
    after = new.path.read_bytes()
    new.close()
    assert after.startswith(before) and len(after) - len(before) > 100
    states = [(left, after[:cut]) for cut in range(len(before), len(after) + 1)] + [(None, after)]
    for number, (theirs, mine) in enumerate(states):
        folder = tmp_path / str(number)
        folder.mkdir()
        if theirs is not None:
            (folder / old.path.name).write_bytes(theirs)
        (folder / new.path.name).write_bytes(mine)
        for _ in range(2):  # a second time, to read what the first one wrote
            found = reopened(folder)
            assert {one.id: len(one.maybe_ran) for one in found.live.values()} == {"a": 1, "c": 0, "d": 0}
            assert found.live["d"].notice == MessageOutcome(Status.DEFERRED, 70) and set(found.outcomes) == {
                "b"
            }
            found.close()
