"""The durable folder fails for a while, at each call, and a kill leaves a record half written at each byte.

Where a process is killed, its journal is closed with the disk still failing, and read by the next one.
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
from mountgauge.core.durable_time import Stamp, SystemClocks, read
from mountgauge.core.journal import Journal, JournalFullError, JournalUnavailableError, Stored
from mountgauge.core.ports import End, Result, Status, Taken
from mountgauge.core.sender import Sender
from mountgauge.lab.faults.files import FailingFiles, Killed
from mountgauge.recovery.files import Folder
from mountgauge.recovery.state_file import Fact
from mountgauge.relay.kept_list import KeptList, KeptListFile
from mountgauge.run.base import Runtime
from mountgauge.run.handover import Handover
from mountgauge.run.recovery import RecoverySubsystem
from mountgauge.run.serve import made
from rillspindle.interface import Outcome, Readiness
from tests.clocks import SteppedClocks
from tests.sharding.stands import SHARDS
from tests.sharding.test_shard_map import kept
from tests.test_sender import Bench

DISK = 300_000
DELIVERED = End(Status.DELIVERED)
DEFERRED = End(Status.DEFERRED, 70)
ONCE = 2  # a class of which nothing may run twice
OUTAGE = 2.0  # s

errors = pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])


def stored(msg_id: str, body: bytes = b"body") -> Stored:
    return Stored(msg_id, "note", 1000.5, 7, "key", "platform", body)


def holding(folder: Path, *names: str) -> tuple[Journal, FailingFiles]:
    files = FailingFiles()
    journal = Journal(folder, DISK, files=files)
    for name in names:
        journal.take(stored(name))
    return journal, files


def killed(journal: Journal, files: FailingFiles) -> None:
    """The process ends here: what it has not written it never will."""
    files.fails |= {"write", "truncate", "open", "replace", "unlink"}
    journal.close()


def reopened(folder: Path) -> Journal:
    return Journal(folder, DISK)


# One record at a time


def attempt(journal: Journal) -> None:
    journal.attempt(["a"], 5.0, 0)


RECORDS: dict[str, Callable[[Journal], object]] = {
    "take": lambda journal: journal.take(stored("new")),
    "attempt": attempt,
    "never ran": lambda journal: journal.never_ran("tried"),
    "give up": lambda journal: journal.give_up("a", DEFERRED),
    "end": lambda journal: journal.end("a", DELIVERED),
}


def said(journal: Journal) -> object:
    live = {i: (one.attempts, len(one.ran), one.notice) for i, one in journal.live.items()}
    return live, dict(journal.ends)


@errors
@pytest.mark.parametrize("kind", RECORDS)
@pytest.mark.parametrize("written", [0, 1, 7, 8, 9, 17])  # of 18 bytes and more
@pytest.mark.parametrize("cut", [True, False])
def test_a_record_that_fails_hides_none_behind_it(
    tmp_path: Path, error: int, kind: str, written: int, cut: bool
) -> None:
    """Whether the part of it can be cut off at once, or not before the disk is back."""
    journal, files = holding(tmp_path, "a", "tried")
    journal.attempt(["tried"], 4.0, 0)
    before = said(journal)
    files.error, files.room = error, written
    files.fails |= set() if cut else {"truncate"}
    if kind in ("take", "attempt"):
        with pytest.raises(JournalFullError):
            RECORDS[kind](journal)
        assert said(journal) == before, "what is not on record is not so"
    else:
        assert not RECORDS[kind](journal)
        assert said(journal) != before
    assert journal.failing and not journal.flush()
    files.heal()
    journal.take(stored("later"))
    assert not journal.failing
    now = said(journal)
    killed(journal, files)
    again = reopened(tmp_path)
    assert said(again) == now and not again.cut
    again.close()


def test_what_could_not_be_written_is_written_in_its_order(tmp_path: Path) -> None:
    """A mark that an attempt never ran must not take away a later attempt."""
    journal, files = holding(tmp_path, "a")
    journal.attempt(["a"], 4.0, 0)
    files.room = 0
    assert not journal.never_ran("a")
    with pytest.raises(JournalFullError):
        journal.attempt(["a"], 5.0, 1)
    files.heal()
    journal.attempt(["a"], 6.0, 2)
    killed(journal, files)
    again = reopened(tmp_path)
    assert [zone for _, zone in again.live["a"].ran] == [2] and again.live["a"].attempts == 2
    again.close()


def test_a_kill_at_each_byte_of_each_record_hides_none_before_or_behind(tmp_path: Path) -> None:
    journal, files = holding(tmp_path, "a", "tried")
    journal.attempt(["tried"], 4.0, 0)
    states = [(journal.path.read_bytes(), said(journal))]
    for write in RECORDS.values():
        write(journal)
        states.append((journal.path.read_bytes(), said(journal)))
    killed(journal, files)
    number = 0
    for (before, told), (after, _) in pairwise(states):
        assert after.startswith(before)
        for size in range(len(before), len(after)):
            folder = tmp_path / str(number := number + 1)
            folder.mkdir()
            (folder / "journal").write_bytes(after[:size])
            files = FailingFiles()
            files.fails.add("truncate")  # nor can it be cut off before the next record
            torn = Journal(folder, DISK, files=files)
            assert said(torn) == told and torn.cut == size - len(before)
            with pytest.raises(JournalFullError):
                torn.take(stored("later")) if torn.cut else attempt_of_none(torn)
            files.heal()
            torn.take(stored("later"))
            torn.close()
            again = reopened(folder)
            assert "later" in again.live and not again.cut
            del again.live["later"]
            assert said(again) == told
            again.close()


def attempt_of_none(_: Journal) -> None:
    raise JournalFullError("nothing was torn")


# Compaction


@errors
@pytest.mark.parametrize("fails", [{"open"}, {"write"}, {"replace"}, {"replace", "unlink"}, {"close"}])
def test_a_compaction_that_fails_costs_nothing_and_comes_again(
    tmp_path: Path, error: int, fails: set[str]
) -> None:
    clock = SteppedClocks()
    files = FailingFiles()
    journal = Journal(tmp_path, DISK, clock=clock, files=files)
    journal.take(stored("a"))
    for number in range(80):
        journal.take(stored(f"m{number}", bytes(1000)))
        journal.end(f"m{number}", DELIVERED)
    files.error, files.fails = error, fails
    size, before = journal.path.stat().st_size, said(journal)
    files.calls.clear()
    for _ in range(3):  # asked for with each message that comes, and begun once a second
        journal._compact()
    assert files.calls["open"] == 1
    assert said(journal) == before
    if fails != {"close"}:  # closed all the same, and the new file stands
        assert journal.path.stat().st_size == size
    files.heal()
    clock.time += 1.0
    journal._compact()
    assert journal.path.stat().st_size < size / 4
    journal.take(stored("b"))
    now = said(journal)
    killed(journal, files)
    again = reopened(tmp_path)
    assert said(again) == now and set(again.live) == {"a", "b"} and not again.cut
    again.close()


def test_a_kill_at_each_call_of_a_compaction_loses_nothing(tmp_path: Path) -> None:
    for call in ("open", "write", "replace", "close"):
        folder = tmp_path / call
        folder.mkdir()
        journal, files = holding(folder, "a", "b")
        journal.end("b", DELIVERED)
        now = said(journal)
        files.killed_at = call
        with pytest.raises(Killed):
            journal._rewrite(journal._content())
        files.heal()
        killed(journal, files)
        again = reopened(folder)
        assert said(again) == now
        again.close()


# Hand-over and adoption


def pair(folder: Path) -> tuple[Journal, Journal, FailingFiles]:
    """An old process that has gone, and a new one beside it that is to adopt its journal."""
    old = Journal(folder, DISK)
    files = FailingFiles()
    new = Journal(folder, DISK, files=files)
    for name in ("a", "done", "given-up"):
        old.take(stored(name))
    old.attempt(["a"], 5.0, 0)
    old.end("done", DELIVERED)
    old.give_up("given-up", DEFERRED)
    new.take(stored("own"))
    old.close()
    return old, new, files


@errors
@pytest.mark.parametrize(
    "fails", [{"lock"}, {"read"}, {"write"}, {"write", "truncate"}, {"lock", "read", "write", "truncate"}]
)
def test_an_adoption_that_fails_is_as_none_and_comes_later(
    tmp_path: Path, error: int, fails: set[str]
) -> None:
    _, new, files = pair(tmp_path)
    before = said(new)
    files.error, files.fails = error, fails
    for _ in range(3):
        assert new.adopt() == [] and new.others and said(new) == before
    files.heal()
    assert sorted(one.id for one in new.adopt()) == ["a", "given-up"] and not new.others
    now = said(new)
    killed(new, files)
    again = reopened(tmp_path)
    assert said(again) == now and not again.cut
    again.close()


@errors
def test_what_is_adopted_is_held_though_the_old_file_cannot_be_removed(tmp_path: Path, error: int) -> None:
    """It is handed on once, and nobody takes the old copy for its own while it lies there."""
    old, new, files = pair(tmp_path)
    files.error, files.fails = error, {"unlink"}
    assert sorted(one.id for one in new.adopt()) == ["a", "given-up"]
    assert old.path.exists() and new.others and not new.beside, "it is no process that runs"
    new.attempt(["a"], 6.0, 1)
    new.end("given-up", DEFERRED)
    assert new.adopt() == [], "not twice"
    third = Journal(tmp_path, DISK)
    assert third.slot not in (old.slot, new.slot) and not third.live
    third.close()
    files.heal()
    assert new.adopt() == [] and not new.others and not old.path.exists()
    killed(new, files)


@pytest.mark.parametrize("own_slot", [0, 1])
def test_an_older_copy_that_was_left_does_not_undo_what_came_after(tmp_path: Path, own_slot: int) -> None:
    """The process ends before the file that it adopted could be removed: the next one reads both."""
    _, new, files = pair(tmp_path)
    files.fails = {"unlink"}
    new.adopt()
    new.attempt(["a"], 6.0, 1)
    new.give_up("own", DEFERRED)
    new.end("given-up", DEFERRED)
    now = said(new)
    killed(new, files)
    if own_slot == 1:  # whichever is read first
        for name, to in (("journal", "spare"), ("journal.1", "journal"), ("spare", "journal.1")):
            (tmp_path / name).rename(tmp_path / to)
    again = reopened(tmp_path)
    assert said(again) == now and not again.others
    assert [zone for _, zone in again.live["a"].ran] == [0, 1]
    again.close()
    last = reopened(tmp_path)
    assert said(last) == now
    last.close()


def test_a_hand_over_goes_on_by_itself_when_the_disk_does(tmp_path: Path) -> None:
    old = Bench(tmp_path)
    old.sender.start(old.hops(Readiness.DRAINING))
    old.pass_time(0.01)
    old.take("a")
    old.pass_time(0.01)
    files = FailingFiles()
    new = Bench(tmp_path, time=old.time, files=files)
    new.sender.start(new.hops(Readiness.READY))
    handover = Handover(new.sender, new.journal, tmp_path, True, files)
    files.fails = {"open", "read", "write", "replace", "unlink", "lock"}
    new.sender.waits[8] = new.time + 9.0
    handover.tell()
    handover.look()
    assert not (tmp_path / "waits.1").exists()
    files.heal()
    handover.look()
    assert (tmp_path / "waits.1").exists(), "told once it can be written"
    old.journal.close()
    for fails in ({"read"}, {"write"}, {"lock"}):
        files.fails = fails
        for _ in range(2):
            handover.look()
        assert not new.sender.held
    files.fails = {"unlink"}
    for _ in range(4):
        handover.look()
    new.pass_time(0.1)
    assert [item.id for call in new.calls for item in call.items] == ["a"], "once"
    assert not handover.successor()
    files.heal()
    for _ in range(4):
        handover.look()
    assert not new.journal.others and not list(tmp_path.glob("waits*"))


# The sender


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    made = Bench(tmp_path, files=FailingFiles())
    made.sender.start(made.hops(Readiness.READY))
    made.pass_time(0.01)
    return made


def disk(bench: Bench) -> FailingFiles:
    return cast(FailingFiles, bench.journal._files)


def on(bench: Bench) -> Bench:
    """Killed, and started again at once on a disk that works."""
    killed(bench.journal, disk(bench))
    again = Bench(bench.journal.folder, time=bench.time)
    again.sender.start(again.hops(Readiness.READY))
    again.pass_time(0.05)
    return again


@errors
def test_what_is_not_on_record_is_not_taken_on_and_service_returns(bench: Bench, error: int) -> None:
    disk(bench).error, disk(bench).fails = error, {"write", "truncate"}
    bench.take("refused")
    bench.pass_time(0.02)
    assert bench.answers == {"refused": End(Status.DEFERRED)}
    bench.pass_time(OUTAGE)
    disk(bench).heal()
    bench.take("taken")
    bench.pass_time(0.02)
    assert bench.answers["taken"] == Taken() and set(bench.journal.live) == {"taken"}
    assert [call.items[0].id for call in bench.calls] == ["taken"]


def test_a_journal_that_is_closed_on_a_failing_disk_is_left_alone(bench: Bench) -> None:
    """Its descriptor may be another file's by then."""
    bench.take("a")
    bench.pass_time(0.01)
    disk(bench).fails = {"write"}
    bench.journal.end("a", DELIVERED)
    bench.sender.stop()
    bench.journal.close()
    disk(bench).heal()
    disk(bench).calls.clear()
    bench.pass_time(1.0)
    assert not disk(bench).calls


@errors
def test_no_call_goes_before_its_attempt_is_on_record_and_none_is_used_up(bench: Bench, error: int) -> None:
    """Calls wait for the disk: a message must not run out of attempts of which none was made."""
    for name in ("a", "b"):
        bench.take(name, grade=ONCE)
    bench.pass_time(0.01)
    disk(bench).error, disk(bench).fails = error, {"write"}
    for call in list(bench.calls):
        assert bench.sender.admit(call, call.items) == []
        bench.sender.finished(call, {})
    begun = len(bench.calls)
    bench.pass_time(OUTAGE)
    assert len(bench.calls) == begun and not bench.ends, "nothing is looked for a connection"
    disk(bench).heal()
    bench.pass_time(0.1)  # with no client's help
    later = bench.calls[begun:]
    assert sorted(item.id for call in later for item in call.items) == ["a", "b"]
    assert all(bench.sender.admit(call, call.items) for call in later)
    assert {one.id: len(one.ran) for one in bench.journal.live.values()} == {"a": 1, "b": 1}


@errors
@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.CONNECT_FAILED, Outcome.RESET])
def test_what_an_attempt_came_to_is_on_record_as_soon_as_the_disk_is_back(
    bench: Bench, error: int, outcome: Outcome
) -> None:
    """An end is not taken back by a restart, and what never ran may be tried again."""
    bench.take("a", grade=ONCE)
    bench.pass_time(0.01)
    [call] = bench.calls
    assert bench.sender.admit(call, call.items)
    disk(bench).error, disk(bench).fails = error, {"write"}
    bench.sender.finished(call, {call.items[0].number: Result(outcome)})
    bench.pass_time(OUTAGE / 4)
    disk(bench).heal()
    bench.pass_time(0.06)
    again = on(bench)
    calls = [item.id for one in again.calls for item in one.items]
    if outcome == Outcome.CONNECT_FAILED:
        assert calls == ["a"] and not again.ends
    elif outcome == Outcome.OK:
        assert not calls and not again.ends and again.journal.ends["a"] == DELIVERED
    else:  # given up, and told again as nobody has heard it
        assert not calls and again.ends == bench.ends == {"a": End(Status.UNDELIVERABLE)}


def test_a_kill_while_the_disk_fails_repeats_nothing(bench: Bench) -> None:
    """The end was not written and never will be: what may have run is not sent again."""
    bench.take("a", grade=ONCE)
    bench.pass_time(0.01)
    [call] = bench.calls
    assert bench.sender.admit(call, call.items)
    disk(bench).fails = {"write", "truncate"}
    bench.sender.finished(call, {call.items[0].number: Result(Outcome.OK)})
    bench.pass_time(0.1)
    again = on(bench)
    assert not again.calls and again.ends == {"a": End(Status.UNDELIVERABLE)}  # harmless: it is over


def given_up(bench: Bench, left: float = 10.0) -> None:
    """A message that was never sent is handed back while the disk takes no record."""
    bench.sender.list_changed(bench.hops(Readiness.DRAINING))
    bench.pass_time(0.01)
    bench.take("a", grade=ONCE, left=left)
    bench.pass_time(0.01)
    disk(bench).fails = {"write"}
    bench.sender.ends.give_up(bench.sender.held[bench.sender.numbers["a"]], DEFERRED)


def test_an_end_is_not_told_before_it_is_on_record(bench: Bench) -> None:
    """The next process sent what its client had been told to hand in again."""
    given_up(bench)
    bench.pass_time(0.2)
    assert not bench.ends
    again = on(bench)
    assert [item.id for call in again.calls for item in call.items] == ["a"], "nobody was told of an end"


def test_a_notice_that_could_not_be_written_is_not_taken_back_by_a_restart(bench: Bench) -> None:
    given_up(bench)
    bench.pass_time(0.2)
    disk(bench).heal()
    bench.pass_time(0.06)
    assert bench.ends == {"a": DEFERRED}, "told as soon as it is on record"
    again = on(bench)
    assert again.ends == {"a": DEFERRED} and not again.calls


def test_an_end_is_told_in_time_though_the_disk_never_takes_it(bench: Bench) -> None:
    """Past the message's time no process sends it any more, and its end is overdue 0.3 s later."""
    given_up(bench, left=1.0)
    bench.pass_time(0.9)
    assert not bench.ends
    bench.pass_time(0.25)
    assert bench.ends == {"a": DEFERRED}
    again = on(bench)
    assert not again.calls


def test_a_start_on_a_failing_disk_holds_what_is_owed_and_writes_when_it_can(tmp_path: Path) -> None:
    """The old process has gone: its journal is adopted at the start, or as soon as the disk lets it."""
    old = Bench(tmp_path)
    old.sender.start(old.hops(Readiness.DRAINING))
    old.pass_time(0.01)
    new = Bench(tmp_path, time=old.time)
    old.take("a")
    old.pass_time(0.01)
    old.journal.close()
    new.journal.close()  # the newest one takes slot 0, and finds nothing in the other
    files = FailingFiles()
    files.fails = {"write", "truncate", "unlink"}
    new = Bench(tmp_path, time=old.time, files=files)
    new.sender.start(new.hops(Readiness.READY))
    new.pass_time(0.5)
    assert set(new.journal.live) == {"a"} and not new.ends
    files.heal()
    new.pass_time(0.2)
    [call] = new.calls[-1:]
    assert new.sender.admit(call, call.items)


# Start


@errors
@pytest.mark.parametrize("call", ["lock", "open", "read"])
def test_a_folder_that_cannot_be_read_holds_nothing_up_later(tmp_path: Path, error: int, call: str) -> None:
    """What is owed is not known, so nothing is begun; and neither lock nor descriptor is kept."""
    journal, files = holding(tmp_path, "a")
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


def test_a_start_waits_for_its_folder_and_heeds_the_end() -> None:
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
        raise JournalUnavailableError(errno.EACCES, "not this one's")

    async def main() -> None:
        assert await made(make, asyncio.Event()) is runtime and len(tries) == 3
        assert await made(never, asked) is None
        async with asyncio.timeout(20):
            with pytest.raises(JournalUnavailableError):
                await made(wrong, asyncio.Event())

    asked = asyncio.Event()
    asyncio.run(main())


# Files that are written as a whole


@errors
@pytest.mark.parametrize("call", ["open", "write", "replace"])
def test_a_file_that_cannot_be_replaced_stays_as_it_was(tmp_path: Path, error: int, call: str) -> None:
    files, now = FailingFiles(), Stamp("one", 1000.0, 50.0, 1000.0)
    folder, lists = Folder(tmp_path, files), KeptListFile(tmp_path, SHARDS, files)
    one, _, _ = folder.arrive("m1", False)
    fact = Fact("pace", "7", 0.5, 1000.0, one.id, 1060.0)
    folder.remember([fact], now, one.id)
    list_ = KeptList(read(SystemClocks()), kept().placement, kept().snapshots)
    lists.write(list_)
    files.error, files.fails = error, {call}
    if call == "write":
        files.fails, files.room = set(), 10
    for write in (
        lambda: folder.say(one._replace(life=9)),
        lambda: folder.remember([], now, one.id),
        lambda: lists.write(KeptList(list_.confirmed.before(9.0), list_.placement, ())),
    ):
        with pytest.raises(OSError):
            write()
    assert folder.stands(one) and not folder.stands(one._replace(life=9))
    assert folder.remembered(now, one.id, -1).kept == [fact] and lists.read() == list_
    files.heal()
    assert folder.remember([], now, one.id), "it is still to be written"


def test_a_start_that_cannot_read_who_it_is_does_not_write_another_over_it(tmp_path: Path) -> None:
    files = FailingFiles()
    first, _, _ = Folder(tmp_path).arrive("m1", False)
    clock = SimpleNamespace(now=lambda: 5.0, wall=lambda: 105.0, boot=lambda: "")
    journal = SimpleNamespace(live={}, ends={}, standing=lambda: True, slot=0)
    sender = SimpleNamespace(clock=clock, list_lease=None, on_list=None)
    config = SimpleNamespace(name="m1", known=SimpleNamespace(version=-1))
    recovery = RecoverySubsystem.__new__(RecoverySubsystem)
    recovery.runtime = cast(Runtime, SimpleNamespace(journal=journal, sender=sender, config=config))
    recovery.folder, recovery._arrived, recovery._failed = Folder(tmp_path, files), False, False
    recovery._timer = None

    async def main() -> None:
        files.fails = {"read"}
        await recovery.start()
        assert recovery._own_folder()
        files.heal()
        assert (tmp_path / "identity").read_bytes().count(first.id.encode()) == 1
        assert recovery._own_folder()
        assert (recovery.identity.id, recovery.identity.life) == (first.id, 2)
        assert recovery.folder.stands(recovery.identity)
        assert recovery._timer is not None
        recovery._timer.cancel()

    asyncio.run(main())


# All of it, in any order


class Model(RuleBasedStateMachine):
    """Whatever fails, and whenever the process is killed: the next one finds each message that was taken on
    and has not ended, and of each attempt that was made that it may have run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.folder = Path(tempfile.mkdtemp(prefix="disk-"))
        self.files = FailingFiles()
        self.journal = Journal(self.folder, DISK, files=self.files)
        self.owed: dict[str, int] = {}  # attempts that may have run
        self.ended: dict[str, bool] = {}  # whether that is surely on record
        self.unsure: dict[str, int] = {}  # marks and ends that may not be on record
        self.last = 0

    def pick(self, place: int) -> str:
        return list(self.owed)[place % len(self.owed)]

    @rule(
        fails=st.sampled_from(["", "truncate", "open", "replace unlink", "unlink close", "truncate unlink"]),
        room=st.one_of(st.none(), st.integers(0, 60)),
    )
    def fail(self, fails: str, room: int | None) -> None:
        self.files.fails, self.files.room = set(fails.split()), room

    @rule()
    def heal(self) -> None:
        self.files.heal()

    @rule(size=st.sampled_from([0, 10, 4000]))
    def take(self, size: int) -> None:
        self.last += 1
        if self.journal.room(size):
            try:
                self.journal.take(stored(f"m{self.last}", bytes(size)))
            except JournalFullError:
                return
            self.owed[f"m{self.last}"] = 0

    @precondition(lambda self: self.owed)
    @rule(place=st.integers(0, 99), never=st.booleans())
    def attempt(self, place: int, never: bool) -> None:
        name = self.pick(place)
        try:
            self.journal.attempt([name], self.journal.time.now(), 0)
        except JournalFullError:
            return
        if never:
            self.journal.never_ran(name)
        else:
            self.owed[name] += 1

    @precondition(lambda self: self.owed)
    @rule(place=st.integers(0, 99))
    def end(self, place: int) -> None:
        name = self.pick(place)
        self.journal.end(name, DELIVERED)
        del self.owed[name]
        self.ended[name] = False

    @rule()
    def flush(self) -> None:
        if self.journal.flush():
            self.ended = dict.fromkeys(self.ended, True)

    @rule()
    def compact(self) -> None:
        self.journal._compact()

    @rule()
    def kill(self) -> None:
        flushed = not self.journal._unwritten
        killed(self.journal, self.files)
        self.files.heal()
        self.journal = Journal(self.folder, DISK, files=self.files)
        live = {name: len(one.ran) for name, one in self.journal.live.items()}
        assert set(live) >= set(self.owed) and all(live[name] >= n for name, n in self.owed.items())
        assert not set(live) & {name for name, sure in self.ended.items() if sure or flushed}
        if flushed:
            assert live == self.owed
        self.ended = {name: True for name in self.ended if name not in live}
        self.owed = live

    @rule()
    def hand_over(self) -> None:
        flushed = not self.journal._unwritten
        new = Journal(self.folder, DISK, files=self.files) if not self.broken() else None
        if new is None:
            return
        killed_files, self.files = self.files, FailingFiles()
        new._files = self.files
        self.files.fails, self.files.room = set(killed_files.fails), killed_files.room
        killed(self.journal, killed_files)
        new.adopt()
        self.files.heal()
        new.adopt()
        live = {name: len(one.ran) for name, one in new.live.items()}
        assert not new.others and set(live) >= set(self.owed)
        assert all(live[name] >= n for name, n in self.owed.items())
        if flushed:
            assert live == self.owed
        self.ended = {name: True for name in self.ended if name not in live}
        self.journal, self.owed = new, live

    def broken(self) -> bool:
        return bool(self.files.fails & {"open"})

    @invariant()
    def knows(self) -> None:
        assert {name: len(one.ran) for name, one in self.journal.live.items()} == self.owed

    def teardown(self) -> None:
        self.journal.close()
        shutil.rmtree(self.folder)


Model.TestCase.settings = settings(derandomize=True, max_examples=150, stateful_step_count=40, deadline=None)
TestModel = Model.TestCase


def test_the_detached_endpoints_hold_while_their_file_cannot_be_read(tmp_path: Path) -> None:
    told: list[set[str]] = []
    sender = cast(Sender, SimpleNamespace(maintain=told.append, detached=set()))
    files = FailingFiles()
    service = Service(sender, None, cast(Registry, None), tmp_path, lambda: True, files)
    (tmp_path / "detached").write_bytes(encode_detached({"e1"}))
    files.fails = {"read"}
    service.reload_detached()
    assert not told
    files.heal()
    service.reload_detached()
    assert told == [{"e1"}]
