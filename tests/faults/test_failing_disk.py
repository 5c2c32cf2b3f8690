"""Temporary failures of each file system call, and records that a kill truncates at each byte.

A killed process is simulated by closing its journal while the disk fails; the next process reads it.
"""

from __future__ import annotations

import asyncio
import errno
import shutil
import tempfile
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mountgauge.connections.registry import Registry
from mountgauge.console.service import Service
from mountgauge.console.state import encode_detached
from mountgauge.core.durable_time import Stamp, SystemClocks, read_clocks
from mountgauge.core.journal import Journal, JournalFullError, JournalUnavailableError, StoredMessage
from mountgauge.core.ports import Accepted, AttemptResult, MessageOutcome, Status
from mountgauge.core.sender import Sender
from mountgauge.lab.faults.files import FailingFiles, Killed
from mountgauge.recovery.files import Folder
from mountgauge.recovery.state_file import Fact
from mountgauge.relay.kept_list import KeptList, KeptListFile
from mountgauge.run.base import Runtime
from mountgauge.run.handover import Handover
from mountgauge.run.recovery import RecoverySubsystem
from mountgauge.run.serve import make_with_retries
from rillspindle.interface import Outcome, Readiness
from tests.clocks import SteppedClocks
from tests.sharding.harness import SHARDS
from tests.sharding.test_shard_map import sample_kept_list
from tests.test_sender import Bench

DISK = 300_000
DELIVERED = MessageOutcome(Status.DELIVERED)
DEFERRED = MessageOutcome(Status.DEFERRED, 70)
ONCE = 2  # a message class that must never run twice
OUTAGE = 2.0  # s

errors = pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])


def stored(msg_id: str, body: bytes = b"body") -> StoredMessage:
    return StoredMessage(msg_id, "note", 1000.5, 7, "key", "platform", body)


def journal_with(folder: Path, *names: str) -> tuple[Journal, FailingFiles]:
    files = FailingFiles()
    journal = Journal(folder, DISK, files=files)
    for name in names:
        journal.accept(stored(name))
    return journal, files


def killed(journal: Journal, files: FailingFiles) -> None:
    """Kill the process: what it has not written is lost."""
    files.fails |= {"write", "truncate", "open", "replace", "unlink"}
    journal.close()


def reopened(folder: Path) -> Journal:
    return Journal(folder, DISK)


# One record at a time


def attempt(journal: Journal) -> None:
    journal.attempt(["a"], 5.0, 0)


RECORDS: dict[str, Callable[[Journal], object]] = {
    "take": lambda journal: journal.accept(stored("new")),
    "attempt": attempt,
    "never ran": lambda journal: journal.never_ran("tried"),
    "give up": lambda journal: journal.abandon("a", DEFERRED),
    "end": lambda journal: journal.finish("a", DELIVERED),
}


def state_of(journal: Journal) -> object:
    live = {i: (one.attempts, len(one.maybe_ran), one.notice) for i, one in journal.live.items()}
    return live, dict(journal.outcomes)


@errors
@pytest.mark.parametrize("kind", RECORDS)
@pytest.mark.parametrize("written", [0, 1, 7, 8, 9, 17])  # of 18 bytes and more
@pytest.mark.parametrize("cut", [True, False])
def test_a_failed_record_hides_no_later_record(
    tmp_path: Path, error: int, kind: str, written: int, cut: bool
) -> None:
    """Whether the partial record can be truncated at once, or only after the disk has recovered."""
    journal, files = journal_with(tmp_path, "a", "tried")
    journal.attempt(["tried"], 4.0, 0)
    before = state_of(journal)
    files.error, files.writable_bytes = error, written
    files.fails |= set() if cut else {"truncate"}
    if kind in ("take", "attempt"):
        with pytest.raises(JournalFullError):
            RECORDS[kind](journal)
        assert state_of(journal) == before, "an unrecorded change has no effect"
    else:
        assert not RECORDS[kind](journal)
        assert state_of(journal) != before
    assert journal.failing and not journal.flush()
    files.heal()
    journal.accept(stored("later"))
    assert not journal.failing
    now = state_of(journal)
    killed(journal, files)
    again = reopened(tmp_path)
    assert state_of(again) == now and not again.truncated_bytes
    again.close()


def test_delayed_records_are_written_in_order(tmp_path: Path) -> None:
    """The record that an attempt never ran must not remove a later attempt."""
    journal, files = journal_with(tmp_path, "a")
    journal.attempt(["a"], 4.0, 0)
    files.writable_bytes = 0
    assert not journal.never_ran("a")
    with pytest.raises(JournalFullError):
        journal.attempt(["a"], 5.0, 1)
    files.heal()
    journal.attempt(["a"], 6.0, 2)
    killed(journal, files)
    again = reopened(tmp_path)
    assert [zone for _, zone in again.live["a"].maybe_ran] == [2] and again.live["a"].attempts == 2
    again.close()


def test_a_kill_at_each_byte_of_each_record_hides_no_other_record(tmp_path: Path) -> None:
    journal, files = journal_with(tmp_path, "a", "tried")
    journal.attempt(["tried"], 4.0, 0)
    states = [(journal.path.read_bytes(), state_of(journal))]
    for write in RECORDS.values():
        write(journal)
        states.append((journal.path.read_bytes(), state_of(journal)))
    killed(journal, files)
    number = 0
    for (before, state), (after, _) in pairwise(states):
        assert after.startswith(before)
        for size in range(len(before), len(after)):
            folder = tmp_path / str(number := number + 1)
            folder.mkdir()
            (folder / "journal").write_bytes(after[:size])
            files = FailingFiles()
            files.fails.add("truncate")  # nor can it be truncated before the next record
            torn = Journal(folder, DISK, files=files)
            assert state_of(torn) == state and torn.truncated_bytes == size - len(before)
            with pytest.raises(JournalFullError):
                torn.accept(stored("later")) if torn.truncated_bytes else attempt_of_none(torn)
            files.heal()
            torn.accept(stored("later"))
            torn.close()
            again = reopened(folder)
            assert "later" in again.live and not again.truncated_bytes
            del again.live["later"]
            assert state_of(again) == state
            again.close()


def attempt_of_none(_: Journal) -> None:
    raise JournalFullError("nothing was torn")


# Compaction


@errors
@pytest.mark.parametrize("fails", [{"open"}, {"write"}, {"replace"}, {"replace", "unlink"}, {"close"}])
def test_a_failed_compaction_loses_nothing_and_is_retried(
    tmp_path: Path, error: int, fails: set[str]
) -> None:
    clock = SteppedClocks()
    files = FailingFiles()
    journal = Journal(tmp_path, DISK, clock=clock, files=files)
    journal.accept(stored("a"))
    for number in range(80):
        journal.accept(stored(f"m{number}", bytes(1000)))
        journal.finish(f"m{number}", DELIVERED)
    files.error, files.fails = error, fails
    size, before = journal.path.stat().st_size, state_of(journal)
    files.calls.clear()
    for _ in range(3):  # requested with each new message, but started once a second
        journal._compact()
    assert files.calls["open"] == 1
    assert state_of(journal) == before
    if fails != {"close"}:  # close takes effect even so, and the new file is used
        assert journal.path.stat().st_size == size
    files.heal()
    clock.time += 1.0
    journal._compact()
    assert journal.path.stat().st_size < size / 4
    journal.accept(stored("b"))
    now = state_of(journal)
    killed(journal, files)
    again = reopened(tmp_path)
    assert state_of(again) == now and set(again.live) == {"a", "b"} and not again.truncated_bytes
    again.close()


def test_a_kill_at_each_call_of_a_compaction_loses_nothing(tmp_path: Path) -> None:
    for call in ("open", "write", "replace", "close"):
        folder = tmp_path / call
        folder.mkdir()
        journal, files = journal_with(folder, "a", "b")
        journal.finish("b", DELIVERED)
        now = state_of(journal)
        files.killed_at = call
        with pytest.raises(Killed):
            journal._rewrite(journal._content())
        files.heal()
        killed(journal, files)
        again = reopened(folder)
        assert state_of(again) == now
        again.close()


# Hand-over and adoption


def pair(folder: Path) -> tuple[Journal, Journal, FailingFiles]:
    """The journals of an ended process and of a new one that has to adopt it."""
    old = Journal(folder, DISK)
    files = FailingFiles()
    new = Journal(folder, DISK, files=files)
    for name in ("a", "done", "given-up"):
        old.accept(stored(name))
    old.attempt(["a"], 5.0, 0)
    old.finish("done", DELIVERED)
    old.abandon("given-up", DEFERRED)
    new.accept(stored("own"))
    old.close()
    return old, new, files


@errors
@pytest.mark.parametrize(
    "fails", [{"lock"}, {"read"}, {"write"}, {"write", "truncate"}, {"lock", "read", "write", "truncate"}]
)
def test_a_failed_adoption_has_no_effect_and_is_retried(tmp_path: Path, error: int, fails: set[str]) -> None:
    _, new, files = pair(tmp_path)
    before = state_of(new)
    files.error, files.fails = error, fails
    for _ in range(3):
        assert new.adopt() == [] and new.unadopted and state_of(new) == before
    files.heal()
    assert sorted(one.id for one in new.adopt()) == ["a", "given-up"] and not new.unadopted
    now = state_of(new)
    killed(new, files)
    again = reopened(tmp_path)
    assert state_of(again) == now and not again.truncated_bytes
    again.close()


@errors
def test_adopted_messages_are_kept_though_the_old_file_cannot_be_removed(tmp_path: Path, error: int) -> None:
    """They are adopted once, and no process opens the old copy as its own while it exists."""
    old, new, files = pair(tmp_path)
    files.error, files.fails = error, {"unlink"}
    assert sorted(one.id for one in new.adopt()) == ["a", "given-up"]
    assert old.path.exists() and new.unadopted and not new.in_use, "its process is not running"
    new.attempt(["a"], 6.0, 1)
    new.finish("given-up", DEFERRED)
    assert new.adopt() == [], "not twice"
    third = Journal(tmp_path, DISK)
    assert third.slot not in (old.slot, new.slot) and not third.live
    third.close()
    files.heal()
    assert new.adopt() == [] and not new.unadopted and not old.path.exists()
    killed(new, files)


@pytest.mark.parametrize("own_slot", [0, 1])
def test_an_outdated_copy_does_not_revert_later_records(tmp_path: Path, own_slot: int) -> None:
    """The process ends before it could remove the file that it adopted: the next process reads both."""
    _, new, files = pair(tmp_path)
    files.fails = {"unlink"}
    new.adopt()
    new.attempt(["a"], 6.0, 1)
    new.abandon("own", DEFERRED)
    new.finish("given-up", DEFERRED)
    now = state_of(new)
    killed(new, files)
    if own_slot == 1:  # in either order of reading
        for name, to in (("journal", "spare"), ("journal.1", "journal"), ("spare", "journal.1")):
            (tmp_path / name).rename(tmp_path / to)
    again = reopened(tmp_path)
    assert state_of(again) == now and not again.unadopted
    assert [zone for _, zone in again.live["a"].maybe_ran] == [0, 1]
    again.close()
    last = reopened(tmp_path)
    assert state_of(last) == now
    last.close()


def test_a_hand_over_continues_once_the_disk_has_recovered(tmp_path: Path) -> None:
    old = Bench(tmp_path)
    old.sender.start(old.hops(Readiness.DRAINING))
    old.pass_time(0.01)
    old.submit("a")
    old.pass_time(0.01)
    files = FailingFiles()
    new = Bench(tmp_path, time=old.time, files=files)
    new.sender.start(new.hops(Readiness.READY))
    handover = Handover(new.sender, new.journal, tmp_path, True, files)
    files.fails = {"open", "read", "write", "replace", "unlink", "lock"}
    new.sender.waits[8] = new.time + 9.0
    handover.share_waits()
    handover.check_others()
    assert not (tmp_path / "waits.1").exists()
    files.heal()
    handover.check_others()
    assert (tmp_path / "waits.1").exists(), "shared once it can be written"
    old.journal.close()
    for fails in ({"read"}, {"write"}, {"lock"}):
        files.fails = fails
        for _ in range(2):
            handover.check_others()
        assert not new.sender.pending
    files.fails = {"unlink"}
    for _ in range(4):
        handover.check_others()
    new.pass_time(0.1)
    assert [item.id for call in new.calls for item in call.items] == ["a"], "once"
    assert not handover.successor()
    files.heal()
    for _ in range(4):
        handover.check_others()
    assert not new.journal.unadopted and not list(tmp_path.glob("waits*"))


# The sender


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    made = Bench(tmp_path, files=FailingFiles())
    made.sender.start(made.hops(Readiness.READY))
    made.pass_time(0.01)
    return made


def disk(bench: Bench) -> FailingFiles:
    return cast(FailingFiles, bench.journal._files)


def killed_and_restarted(bench: Bench) -> Bench:
    """Kill the process and start it again at once on a working disk."""
    killed(bench.journal, disk(bench))
    again = Bench(bench.journal.folder, time=bench.time)
    again.sender.start(again.hops(Readiness.READY))
    again.pass_time(0.05)
    return again


@errors
def test_an_unrecorded_message_is_not_accepted_and_service_recovers(bench: Bench, error: int) -> None:
    disk(bench).error, disk(bench).fails = error, {"write", "truncate"}
    bench.submit("refused")
    bench.pass_time(0.02)
    assert bench.answers == {"refused": MessageOutcome(Status.DEFERRED)}
    bench.pass_time(OUTAGE)
    disk(bench).heal()
    bench.submit("taken")
    bench.pass_time(0.02)
    assert bench.answers["taken"] == Accepted() and set(bench.journal.live) == {"taken"}
    assert [call.items[0].id for call in bench.calls] == ["taken"]


def test_a_journal_closed_on_a_failing_disk_is_not_used_again(bench: Bench) -> None:
    """Its descriptor may belong to another file by then."""
    bench.submit("a")
    bench.pass_time(0.01)
    disk(bench).fails = {"write"}
    bench.journal.finish("a", DELIVERED)
    bench.sender.stop()
    bench.journal.close()
    disk(bench).heal()
    disk(bench).calls.clear()
    bench.pass_time(1.0)
    assert not disk(bench).calls


@errors
def test_no_call_is_sent_before_its_attempt_is_recorded_and_no_attempt_is_used_up(
    bench: Bench, error: int
) -> None:
    """Calls wait for the disk: a message must not exhaust its attempts without a call being made."""
    for name in ("a", "b"):
        bench.submit(name, grade=ONCE)
    bench.pass_time(0.01)
    disk(bench).error, disk(bench).fails = error, {"write"}
    for call in list(bench.calls):
        assert bench.sender.admit(call, call.items) == []
        bench.sender.finished(call, {})
    begun = len(bench.calls)
    bench.pass_time(OUTAGE)
    assert len(bench.calls) == begun and not bench.outcomes, "no call looks for a connection"
    disk(bench).heal()
    bench.pass_time(0.1)  # without a request from a client
    later = bench.calls[begun:]
    assert sorted(item.id for call in later for item in call.items) == ["a", "b"]
    assert all(bench.sender.admit(call, call.items) for call in later)
    assert {one.id: len(one.maybe_ran) for one in bench.journal.live.values()} == {"a": 1, "b": 1}


@errors
@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.CONNECT_FAILED, Outcome.RESET])
def test_the_outcome_of_an_attempt_is_recorded_as_soon_as_the_disk_has_recovered(
    bench: Bench, error: int, outcome: Outcome
) -> None:
    """A restart does not revoke an outcome, and a message that never ran may be tried again."""
    bench.submit("a", grade=ONCE)
    bench.pass_time(0.01)
    [call] = bench.calls
    assert bench.sender.admit(call, call.items)
    disk(bench).error, disk(bench).fails = error, {"write"}
    bench.sender.finished(call, {call.items[0].number: AttemptResult(outcome)})
    bench.pass_time(OUTAGE / 4)
    disk(bench).heal()
    bench.pass_time(0.06)
    again = killed_and_restarted(bench)
    calls = [item.id for one in again.calls for item in one.items]
    if outcome == Outcome.CONNECT_FAILED:
        assert calls == ["a"] and not again.outcomes
    elif outcome == Outcome.OK:
        assert not calls and not again.outcomes and again.journal.outcomes["a"] == DELIVERED
    else:  # abandoned, and reported again as the report was never confirmed
        assert not calls and again.outcomes == bench.outcomes == {"a": MessageOutcome(Status.UNDELIVERABLE)}


def test_a_kill_while_the_disk_fails_causes_no_repeat(bench: Bench) -> None:
    """The outcome was never written: a message that may have run is not sent again."""
    bench.submit("a", grade=ONCE)
    bench.pass_time(0.01)
    [call] = bench.calls
    assert bench.sender.admit(call, call.items)
    disk(bench).fails = {"write", "truncate"}
    bench.sender.finished(call, {call.items[0].number: AttemptResult(Outcome.OK)})
    bench.pass_time(0.1)
    again = killed_and_restarted(bench)
    # Reporting it is harmless, as the message has finished.
    assert not again.calls and again.outcomes == {"a": MessageOutcome(Status.UNDELIVERABLE)}


def abandon_on_failing_disk(bench: Bench, left: float = 10.0) -> None:
    """Defer a message that was never sent while no record can be written."""
    bench.sender.list_changed(bench.hops(Readiness.DRAINING))
    bench.pass_time(0.01)
    bench.submit("a", grade=ONCE, left=left)
    bench.pass_time(0.01)
    disk(bench).fails = {"write"}
    bench.sender.outcomes.abandon(bench.sender.pending[bench.sender.numbers_by_id["a"]], DEFERRED)


def test_an_outcome_is_not_reported_before_it_is_recorded(bench: Bench) -> None:
    """The next process sent a message that its client had been told to submit again."""
    abandon_on_failing_disk(bench)
    bench.pass_time(0.2)
    assert not bench.outcomes
    again = killed_and_restarted(bench)
    assert [item.id for call in again.calls for item in call.items] == ["a"], "no outcome was reported"


def test_an_outcome_that_was_recorded_late_is_not_revoked_by_a_restart(bench: Bench) -> None:
    abandon_on_failing_disk(bench)
    bench.pass_time(0.2)
    disk(bench).heal()
    bench.pass_time(0.06)
    assert bench.outcomes == {"a": DEFERRED}, "reported as soon as it is recorded"
    again = killed_and_restarted(bench)
    assert again.outcomes == {"a": DEFERRED} and not again.calls


def test_an_outcome_is_reported_in_time_though_it_can_never_be_recorded(bench: Bench) -> None:
    """After its expiry no process sends the message any more, and its outcome is overdue 0.3 s later."""
    abandon_on_failing_disk(bench, left=1.0)
    bench.pass_time(0.9)
    assert not bench.outcomes
    bench.pass_time(0.25)
    assert bench.outcomes == {"a": DEFERRED}
    again = killed_and_restarted(bench)
    assert not again.calls


def test_a_start_on_a_failing_disk_adopts_messages_and_writes_once_it_can(tmp_path: Path) -> None:
    """The old process has ended: its journal is adopted at the start, or as soon as the disk works."""
    old = Bench(tmp_path)
    old.sender.start(old.hops(Readiness.DRAINING))
    old.pass_time(0.01)
    new = Bench(tmp_path, time=old.time)
    old.submit("a")
    old.pass_time(0.01)
    old.journal.close()
    new.journal.close()  # the newest one takes slot 0, and finds nothing in the other
    files = FailingFiles()
    files.fails = {"write", "truncate", "unlink"}
    new = Bench(tmp_path, time=old.time, files=files)
    new.sender.start(new.hops(Readiness.READY))
    new.pass_time(0.5)
    assert set(new.journal.live) == {"a"} and not new.outcomes
    files.heal()
    new.pass_time(0.2)
    [call] = new.calls[-1:]
    assert new.sender.admit(call, call.items)


# Start


@errors
@pytest.mark.parametrize("call", ["lock", "open", "read"])
def test_an_unreadable_folder_leaves_no_lock_or_descriptor_open(
    tmp_path: Path, error: int, call: str
) -> None:
    """The unfinished messages are unknown, so the journal does not open, and releases what it opened."""
    journal, files = journal_with(tmp_path, "a")
    killed(journal, files)
    files.heal()
    files.error, files.fails = error, {call}
    for _ in range(3):
        with pytest.raises(JournalUnavailableError) as raised:
            Journal(tmp_path, DISK, files=files)
        assert raised.value.errno == error
    files.heal()
    again = Journal(tmp_path, DISK, files=files)
    assert again.slot == 0 and set(again.live) == {"a"}
    again.close()


def test_a_start_waits_for_its_folder_until_it_is_stopped() -> None:
    runtime = cast(Runtime, SimpleNamespace())
    tries: list[int] = []

    def make() -> Runtime:
        tries.append(1)
        if len(tries) < 3:
            raise JournalUnavailableError(errno.EIO, "failing")
        return runtime

    def never() -> Runtime:
        asked.set()
        raise JournalUnavailableError(errno.ENOSPC, "failing")

    def wrong() -> Runtime:
        raise JournalUnavailableError(errno.EACCES, "permission denied")

    async def main() -> None:
        assert await make_with_retries(make, asyncio.Event()) is runtime and len(tries) == 3
        assert await make_with_retries(never, asked) is None
        async with asyncio.timeout(20):
            with pytest.raises(JournalUnavailableError):
                await make_with_retries(wrong, asyncio.Event())

    asked = asyncio.Event()
    asyncio.run(main())


# Files that are replaced atomically


@errors
@pytest.mark.parametrize("call", ["open", "write", "replace"])
def test_a_file_that_cannot_be_replaced_is_unchanged(tmp_path: Path, error: int, call: str) -> None:
    files, now = FailingFiles(), Stamp("one", 1000.0, 50.0, 1000.0)
    folder, lists = Folder(tmp_path, files), KeptListFile(tmp_path, SHARDS, files)
    one, _, _ = folder.start_run("m1", False)
    fact = Fact("pace", "7", 0.5, 1000.0, one.id, 1060.0)
    folder.save_facts([fact], now, one.id)
    list_ = KeptList(read_clocks(SystemClocks()), sample_kept_list().placement, sample_kept_list().snapshots)
    lists.write(list_)
    files.error, files.fails = error, {call}
    if call == "write":
        files.fails, files.writable_bytes = set(), 10
    for write in (
        lambda: folder.write_identity(one._replace(life=9)),
        lambda: folder.save_facts([], now, one.id),
        lambda: lists.write(KeptList(list_.confirmed.before(9.0), list_.placement, ())),
    ):
        with pytest.raises(OSError):
            write()
    assert folder.holds_identity(one) and not folder.holds_identity(one._replace(life=9))
    assert folder.load_facts(now, one.id, -1).kept == [fact] and lists.read() == list_
    files.heal()
    assert folder.save_facts([], now, one.id), "it is still to be written"


def test_a_start_that_cannot_read_its_identity_does_not_overwrite_it(tmp_path: Path) -> None:
    files = FailingFiles()
    first, _, _ = Folder(tmp_path).start_run("m1", False)
    clock = SimpleNamespace(now=lambda: 5.0, wall=lambda: 105.0, boot=lambda: "")
    journal = SimpleNamespace(live={}, outcomes={}, is_in_place=lambda: True, slot=0)
    sender = SimpleNamespace(clock=clock, list_lease=None, on_list_update=None)
    config = SimpleNamespace(name="m1", known=SimpleNamespace(version=-1))
    recovery = RecoverySubsystem.__new__(RecoverySubsystem)
    recovery.runtime = cast(Runtime, SimpleNamespace(journal=journal, sender=sender, config=config))
    recovery.folder, recovery._identity_loaded, recovery._failed = Folder(tmp_path, files), False, False
    recovery._timer = None

    async def main() -> None:
        files.fails = {"read"}
        await recovery.start()
        assert recovery._check_folder_ownership()
        files.heal()
        assert (tmp_path / "identity").read_bytes().count(first.id.encode()) == 1
        assert recovery._check_folder_ownership()
        assert (recovery.identity.id, recovery.identity.life) == (first.id, 2)
        assert recovery.folder.holds_identity(recovery.identity)
        assert recovery._timer is not None
        recovery._timer.cancel()

    asyncio.run(main())


# All failures, in any order


class Model(RuleBasedStateMachine):
    """Whatever fails, and whenever the process is killed, the next one finds each unfinished message, and
    each attempt that may have run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.folder = Path(tempfile.mkdtemp(prefix="disk-"))
        self.files = FailingFiles()
        self.journal = Journal(self.folder, DISK, files=self.files)
        self.unfinished: dict[str, int] = {}  # attempts that may have run
        self.finished: dict[str, bool] = {}  # whether that is certainly recorded
        self.unsure: dict[str, int] = {}  # records that may not be written
        self.last = 0

    def pick(self, position: int) -> str:
        return list(self.unfinished)[position % len(self.unfinished)]

    @rule(
        fails=st.sampled_from(["", "truncate", "open", "replace unlink", "unlink close", "truncate unlink"]),
        room=st.one_of(st.none(), st.integers(0, 60)),
    )
    def fail(self, fails: str, room: int | None) -> None:
        self.files.fails, self.files.writable_bytes = set(fails.split()), room

    @rule()
    def heal(self) -> None:
        self.files.heal()

    @rule(size=st.sampled_from([0, 10, 4000]))
    def submit(self, size: int) -> None:
        self.last += 1
        if self.journal.has_capacity(size):
            try:
                self.journal.accept(stored(f"m{self.last}", bytes(size)))
            except JournalFullError:
                return
            self.unfinished[f"m{self.last}"] = 0

    @precondition(lambda self: self.unfinished)
    @rule(position=st.integers(0, 99), never=st.booleans())
    def attempt(self, position: int, never: bool) -> None:
        name = self.pick(position)
        try:
            self.journal.attempt([name], self.journal.time.now(), 0)
        except JournalFullError:
            return
        if never:
            self.journal.never_ran(name)
        else:
            self.unfinished[name] += 1

    @precondition(lambda self: self.unfinished)
    @rule(position=st.integers(0, 99))
    def end(self, position: int) -> None:
        name = self.pick(position)
        self.journal.finish(name, DELIVERED)
        del self.unfinished[name]
        self.finished[name] = False

    @rule()
    def flush(self) -> None:
        if self.journal.flush():
            self.finished = dict.fromkeys(self.finished, True)

    @rule()
    def compact(self) -> None:
        self.journal._compact()

    @rule()
    def kill(self) -> None:
        flushed = not self.journal._unwritten
        killed(self.journal, self.files)
        self.files.heal()
        self.journal = Journal(self.folder, DISK, files=self.files)
        live = {name: len(one.maybe_ran) for name, one in self.journal.live.items()}
        assert set(live) >= set(self.unfinished) and all(
            live[name] >= n for name, n in self.unfinished.items()
        )
        assert not set(live) & {name for name, certain in self.finished.items() if certain or flushed}
        if flushed:
            assert live == self.unfinished
        self.finished = {name: True for name in self.finished if name not in live}
        self.unfinished = live

    @rule()
    def hand_over(self) -> None:
        flushed = not self.journal._unwritten
        new = Journal(self.folder, DISK, files=self.files) if not self.broken() else None
        if new is None:
            return
        killed_files, self.files = self.files, FailingFiles()
        new._files = self.files
        self.files.fails, self.files.writable_bytes = set(killed_files.fails), killed_files.writable_bytes
        killed(self.journal, killed_files)
        new.adopt()
        self.files.heal()
        new.adopt()
        live = {name: len(one.maybe_ran) for name, one in new.live.items()}
        assert not new.unadopted and set(live) >= set(self.unfinished)
        assert all(live[name] >= n for name, n in self.unfinished.items())
        if flushed:
            assert live == self.unfinished
        self.finished = {name: True for name in self.finished if name not in live}
        self.journal, self.unfinished = new, live

    def broken(self) -> bool:
        return bool(self.files.fails & {"open"})

    @invariant()
    def knows(self) -> None:
        assert {name: len(one.maybe_ran) for name, one in self.journal.live.items()} == self.unfinished

    def teardown(self) -> None:
        self.journal.close()
        shutil.rmtree(self.folder)


Model.TestCase.settings = settings(derandomize=True, max_examples=150, stateful_step_count=40, deadline=None)
TestModel = Model.TestCase


def test_detached_endpoints_stay_detached_while_their_file_is_unreadable(tmp_path: Path) -> None:
    detached: list[set[str]] = []
    sender = cast(Sender, SimpleNamespace(set_detached=detached.append, detached=set()))
    files = FailingFiles()
    service = Service(sender, None, cast(Registry, None), tmp_path, lambda: True, files)
    (tmp_path / "detached").write_bytes(encode_detached({"e1"}))
    files.fails = {"read"}
    service.reload_detached()
    assert not detached
    files.heal()
    service.reload_detached()
    assert detached == [{"e1"}]
