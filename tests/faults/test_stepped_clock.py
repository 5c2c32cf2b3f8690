"""Steps of the wall clock, in either direction, before, during and after a restart, a hand-over and an
adoption.

All time is virtual: the monotonic clock of `Bench` is real time, and its wall clock is set separately.
The expected spans are always spans of real time.
"""

from __future__ import annotations

import asyncio
import math
import signal
import tempfile
from pathlib import Path
from typing import cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.agent import Instance
from mountgauge.core.durable_time import CLOCK_TOLERANCE_S, Basis, Stamp, age, boot_id, read_clocks, rebase
from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.core.ports import AttemptResult, MessageOutcome, Status
from mountgauge.recovery.files import Folder
from mountgauge.recovery.state_file import Fact
from mountgauge.recovery.state_file import encode as encode_facts
from mountgauge.relay.kept_list import KeptList, KeptListFile
from mountgauge.relay.shard_map import ShardMap
from mountgauge.run.handover import Handover
from mountgauge.sharding.messages import PlacementUpdate
from rillspindle.interface import Outcome, Readiness
from tests.clocks import SteppedClocks
from tests.sharding.harness import SHARDS
from tests.sharding.test_shard_map import Core, sample_kept_list, sharding
from tests.test_sender import Bench

STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # s
WHEN = ("in the first life", "between", "in the second life")
KEYED = 1  # a class whose receiver drops repeats for `WINDOW` after the first attempt
WINDOW = 7.0  # s
LEFT = 10.0  # s that remain for delivery when a message is submitted

steps = pytest.mark.parametrize("step", STEPS)
whenever = pytest.mark.parametrize("when", WHEN)


def first_run(folder: Path, ready: Readiness, grade: int) -> Bench:
    """A first process run that has accepted a message, which is in flight if its endpoint is ready."""
    bench = Bench(folder)
    bench.sender.start(bench.hops(ready))
    bench.pass_time(0.01)
    bench.submit("a", grade=grade, left=LEFT)
    bench.pass_time(0.01)
    for call in bench.calls:
        bench.sender.admit(call, call.items)
    assert bench.answers and len(bench.calls) == (ready is Readiness.READY)
    return bench


def restarted(bench: Bench, down: float, step: float = 0.0, ready: Readiness = Readiness.READY) -> Bench:
    """The next process run on the same boot, after `down` seconds in which the wall clock was stepped."""
    bench.journal.close()
    return started_after(bench, down, step, ready)


def started_after(bench: Bench, after: float, step: float, ready: Readiness) -> Bench:
    again = Bench(bench.journal.folder, time=bench.time + after, ahead=bench.ahead + step)
    again.sender.start(again.hops(ready))
    return again


def restarted_with_step(bench: Bench, when: str, step: float, down: float, ready: Readiness) -> Bench:
    """A restart with the step at the given moment."""
    if when == WHEN[0]:
        bench.step(step)
        bench.pass_time(0.5)
        bench.submit("later", left=0.01)  # something is written after the step
        bench.pass_time(0.5)
        down -= 1.0
    again = restarted(bench, down, step if when == WHEN[1] else 0.0, ready)
    if when == WHEN[2]:
        again.step(step)
    return again


def left_of(bench: Bench, msg_id: str = "a") -> float:
    return bench.sender.pending[bench.sender.numbers_by_id[msg_id]].expires - bench.time


@steps
@whenever
def test_a_message_keeps_its_real_remaining_time_over_a_restart(
    tmp_path: Path, when: str, step: float
) -> None:
    """A stepped clock neither abandons a message early nor keeps it for longer."""
    again = restarted_with_step(
        first_run(tmp_path, Readiness.DRAINING, 0), when, step, 2.0, Readiness.DRAINING
    )
    assert left_of(again) == pytest.approx(LEFT - 2.0, abs=0.05)
    again.pass_time(LEFT - 2.0 - 1.0)
    assert "a" not in again.outcomes
    again.pass_time(1.2)
    assert (
        again.outcomes["a"] == MessageOutcome(Status.DEFERRED, again.outcomes["a"].retry_after_ms)
        and not again.calls
    )


@steps
@whenever
@pytest.mark.parametrize(("down", "calls"), [(WINDOW - 1.0, 1), (WINDOW + 0.5, 0)])
def test_a_repeat_window_is_real_time_over_a_restart(
    tmp_path: Path, when: str, step: float, down: float, calls: int
) -> None:
    """Within the window one more call may be sent, after it none, whatever the wall clock shows."""
    again = restarted_with_step(
        first_run(tmp_path, Readiness.READY, KEYED), when, step, down, Readiness.READY
    )
    again.pass_time(0.05)
    assert [item.id for call in again.calls for item in call.items] == ["a"] * calls
    assert ("a" in again.outcomes) is (not calls)


@steps
@pytest.mark.parametrize("lives_on", [0.0, 3.0])
def test_three_runs_with_a_step_before_each(tmp_path: Path, step: float, lives_on: float) -> None:
    """The second run appends to the records of the first: each is read by the clocks of its own writer."""
    bench = first_run(tmp_path, Readiness.DRAINING, 0)
    second = restarted(bench, 1.0, step, Readiness.DRAINING)
    second.pass_time(0.01)
    second.submit("b", left=LEFT)
    second.pass_time(lives_on + 0.02)
    third = restarted(second, 1.0, -step / 2, Readiness.DRAINING)
    elapsed = 2.03 + lives_on
    assert left_of(third) == pytest.approx(LEFT - elapsed, abs=0.05)
    assert left_of(third, "b") == pytest.approx(LEFT - elapsed + 1.0, abs=0.05)


@steps
@whenever
@pytest.mark.parametrize(("out_for", "calls"), [(WINDOW - 1.0, 1), (WINDOW + 0.5, 0)])
def test_messages_adopted_at_a_hand_over_keep_their_real_times(
    tmp_path: Path, when: str, step: float, out_for: float, calls: int
) -> None:
    """An old and a new process on one folder, whose wall clocks differ; the old one ends later."""
    old = first_run(tmp_path, Readiness.READY, KEYED)
    if when == WHEN[0]:
        old.step(step)
    new = started_after(old, 0.0, step if when == WHEN[1] else 0.0, Readiness.READY)
    assert new.journal.unadopted and not new.sender.pending
    if when == WHEN[2]:
        new.step(step)
    new.pass_time(out_for)
    old.journal.close()
    new.sender.restore(new.journal.adopt())
    assert left_of(new) == pytest.approx(LEFT - out_for, abs=0.05)
    new.pass_time(0.05)
    assert len(new.calls) == calls and ("a" in new.outcomes) is (not calls)
    if calls:  # what it adopted is read back as it was written
        last = restarted(new, 0.0, -step, Readiness.READY)
        assert left_of(last) == pytest.approx(LEFT - out_for - 0.05, abs=0.05)


@steps
def test_a_required_wait_applies_to_the_other_process_for_its_real_time(tmp_path: Path, step: float) -> None:
    old = first_run(tmp_path, Readiness.READY, 0)
    new = started_after(old, 0.0, step, Readiness.READY)
    ours = Handover(new.sender, new.journal, tmp_path, True)
    theirs = Handover(old.sender, old.journal, tmp_path, True)
    theirs.adopt()  # sees the new process
    old.sender.finished(
        old.calls[0], {old.calls[0].items[0].number: AttemptResult(Outcome.FULL, required_wait_s=3.0)}
    )
    theirs.share_waits()
    new.pass_time(0.5)
    ours.apply_shared_waits()
    assert new.sender.waits[7] - new.time == pytest.approx(2.5, abs=0.01)
    old.step(-2 * step)  # also while the process that shares the wait runs
    old.sender.waits[7] += 1.0
    theirs.share_waits()
    ours.apply_shared_waits()
    assert new.sender.waits[7] - new.time == pytest.approx(3.5, abs=0.01)


# Another boot, another epoch, an older file: only the wall clock is left

boots = pytest.mark.parametrize(("boot", "time"), [("two", 7.0), ("two", 500.0), ("", 7.0), ("", 500.0)])


def rebooted(bench: Bench, down: float, step: float, boot: str, time: float) -> Bench:
    bench.journal.close()
    ahead = bench.wall() + down + step - time
    again = Bench(bench.journal.folder, time=time, ahead=ahead, boot=boot)
    again.sender.start(again.hops(Readiness.READY))
    again.pass_time(0.02)
    return again


@boots
@pytest.mark.parametrize("step", [-3600.0, -5.0])
def test_a_clock_set_back_over_a_boot_causes_no_repeat(
    tmp_path: Path, step: float, boot: str, time: float
) -> None:
    """The age of the attempt is unknown, so its repeat window counts as elapsed. The untried message is still
    tried, with no more time than it had.
    """
    bench = first_run(tmp_path, Readiness.READY, KEYED)
    bench.pass_time(2.0)
    bench.submit("untried", left=LEFT)
    bench.pass_time(0.01)
    again = rebooted(bench, 2.0, step, boot, time)
    assert set(again.outcomes) == {"a"} and again.outcomes["a"].status is not Status.DELIVERED
    assert [item.id for call in again.calls for item in call.items] == ["untried"]
    assert LEFT - 1.2 < left_of(again, "untried") < LEFT
    last = restarted(again, 0.0)
    last.pass_time(0.02)
    assert "a" in last.journal.live or "a" in last.journal.outcomes
    assert not [item for call in last.calls for item in call.items if item.id == "a"]


@boots
def test_over_a_boot_the_wall_clock_counts_if_nothing_contradicts_it(
    tmp_path: Path, boot: str, time: float
) -> None:
    again = rebooted(first_run(tmp_path, Readiness.READY, KEYED), 3.0, 0.0, boot, time)
    assert left_of(again) == pytest.approx(LEFT - 3.0, abs=0.05) and len(again.calls) == 1


def test_a_process_records_the_clocks_by_which_it_read_the_journal(tmp_path: Path) -> None:
    """It idles after a boot that set the clock back: the next run gives a message no more time."""
    bench = first_run(tmp_path, Readiness.DRAINING, 0)
    bench.journal.close()
    again = Bench(tmp_path, time=7.0, ahead=bench.ahead - 1000.0, boot="two")
    again.sender.start(again.hops(Readiness.DRAINING))
    assert left_of(again) == pytest.approx(LEFT, abs=0.05)
    again.pass_time(4.0)
    again.submit("b")
    again.pass_time(0.01)
    last = restarted(again, 1.0, 0.0, Readiness.DRAINING)
    assert left_of(last) == pytest.approx(LEFT - 5.0, abs=0.05)


@pytest.mark.parametrize("lived", [0.0, 2.5, 6.0])
def test_processes_with_monotonic_clocks_of_their_own_use_the_wall_clock(
    tmp_path: Path, lived: float
) -> None:
    """One boot, but an epoch for each process: the recorded times are ahead of the new process's clock."""
    bench = Bench(tmp_path, time=0.0)
    bench.sender.start(bench.hops(Readiness.DRAINING))
    for second in range(1, 12):
        bench.pass_time(1.0)
        bench.submit(f"m{second}", left=LEFT)
    bench.pass_time(0.01)
    bench.journal.close()
    time = lived
    again = Bench(tmp_path, time=time, ahead=bench.wall() + 2.0 - time)
    again.sender.start(again.hops(Readiness.DRAINING))
    assert left_of(again, "m11") == pytest.approx(LEFT - 2.01, abs=0.05)


def without_stamps(folder: Path) -> None:
    """The journal as an older version wrote it."""
    path = folder / "journal"
    content, at, kept = path.read_bytes(), 0, b""
    while at < len(content):
        size = int.from_bytes(content[at : at + 4], "little") + 8
        if content[at + 8 : at + 9] != b"C":
            kept += content[at : at + size]
        at += size
    assert kept != content
    path.write_bytes(kept)


@pytest.mark.parametrize(("down", "step", "calls"), [(2.0, 0.0, 1), (8.0, 0.0, 0), (2.0, -3600.0, 0)])
def test_a_journal_of_an_older_version_is_read_by_the_wall_clock(
    tmp_path: Path, down: float, step: float, calls: int
) -> None:
    bench = first_run(tmp_path, Readiness.READY, KEYED)
    bench.journal.close()
    without_stamps(tmp_path)
    again = started_after(bench, down, step, Readiness.READY)
    again.pass_time(0.05)
    assert len(again.calls) == calls and ("a" in again.outcomes) is (not calls)
    if calls:  # once more, after records of this version
        again.sender.admit(again.calls[0], again.calls[0].items)
        again.journal.close()
        last = started_after(again, 0.0, 3600.0, Readiness.READY)
        assert left_of(last) == pytest.approx(LEFT - down - 0.05, abs=0.05)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("pass"), st.floats(0, 4)),
            st.tuples(st.just("step"), st.floats(-4000, 4000)),
            st.tuples(st.sampled_from(["restart", "hand over", "take", "compact"]), st.just(0.0)),
        ),
        max_size=25,
    )
)
def test_each_record_keeps_its_real_times_over_any_steps(history: list[tuple[str, float]]) -> None:
    """On one boot. The tolerance grows with the number of runs: each may ignore up to `CLOCK_TOLERANCE_S`."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        clock = SteppedClocks()
        journal = Journal(folder, 1_000_000, clock=clock)
        real: dict[str, tuple[float, float]] = {}  # expiry and time of the attempt, on the monotonic clock
        runs = 0
        for what, amount in history:
            match what:
                case "pass":
                    clock.time += amount
                case "step":
                    clock.step(amount)
                case "take":
                    name = f"m{len(real)}"
                    real[name] = clock.time + LEFT, clock.time
                    until = journal.time.of(clock.time + LEFT)
                    journal.accept(StoredMessage(name, "note", until, 7, "k", "platform", b""))
                    journal.attempt([name], journal.time.of(clock.time), 0)
                case "compact":
                    journal._rewrite(journal._content())
                case "restart":
                    journal.close()
                    journal, runs = Journal(folder, 1_000_000, clock=clock), runs + 1
                case _:
                    new, runs = Journal(folder, 1_000_000, clock=clock), runs + 1
                    journal.close()
                    new.adopt()
                    journal = new
            assert set(journal.live) == set(real)
            for stored in journal.live.values():
                until, tried = real[stored.id]
                about = CLOCK_TOLERANCE_S * runs + 0.001
                assert journal.time.monotonic(stored.expires) == pytest.approx(until, abs=about)
                [(at, _)] = stored.maybe_ran
                assert journal.time.monotonic(at) == pytest.approx(tried, abs=about)
        journal.close()


# Files of the recovery and of the relays


def remembered(folder: Path, written: Stamp, now: Stamp) -> list[Fact]:
    wait = Fact("wait", "7", written.wall + 8.0, written.wall, "life", written.wall + 8.0)
    pace = Fact("pace", "7", 0.5, written.wall, "life", written.wall + 60.0)
    assert Folder(folder).save_facts([wait, pace], written, "life")
    return Folder(folder).load_facts(now, "life", -1).kept


@steps
def test_remembered_facts_are_read_by_real_time(tmp_path: Path, step: float) -> None:
    written = Stamp("one", 1000.0, 50.0, 1000.0)
    for elapsed, kinds in ((3.0, ["wait", "pace"]), (9.0, ["pace"]), (61.0, [])):
        wall = written.wall + elapsed + step
        found = remembered(tmp_path, written, Stamp("one", wall, written.monotonic + elapsed, wall))
        assert [fact.kind for fact in found] == kinds
        for fact in found:
            if fact.kind == "wait":
                assert fact.value - wall == pytest.approx(8.0 - elapsed)
            else:
                assert fact.value == 0.5


def test_remembered_facts_are_read_conservatively_over_a_boot(tmp_path: Path) -> None:
    """They are read by the wall clock; if that was set back, a wait applies as if no time had passed."""
    written = Stamp("one", 1000.0, 50.0, 1000.0)
    [wait, _] = remembered(tmp_path, written, Stamp("two", 1003.0, 1.0, 1003.0))
    assert wait.value - 1003.0 == pytest.approx(5.0)
    [wait, _] = remembered(tmp_path, written, Stamp("two", 400.0, 1.0, 400.0))
    assert wait.value - 400.0 == pytest.approx(8.0)
    old = encode_facts([Fact("wait", "7", 1008.0, 1000.0, "life", 1008.0)])  # of an older version: no clock
    (tmp_path / "remembered").write_bytes(old)
    assert [
        f.value for f in Folder(tmp_path).load_facts(Stamp("", 1003.0, 1.0, 1003.0), "life", -1).kept
    ] == [1008.0]
    assert not Folder(tmp_path).load_facts(Stamp("", 900.0, 1.0, 900.0), "life", -1).kept


@pytest.mark.parametrize(
    ("boot", "step", "expected"),
    [
        *(("one", step, 40.0) for step in STEPS),
        ("two", 0.0, 40.0), ("two", 60.0, 100.0), ("two", -60.0, math.inf),
    ],
)  # fmt: skip
def test_a_kept_list_has_its_real_age_or_an_unknown_one(
    tmp_path: Path, boot: str, step: float, expected: float
) -> None:
    clock = SteppedClocks()
    snapshots, placement = sample_kept_list().snapshots, sample_kept_list().placement
    file = KeptListFile(tmp_path, SHARDS)
    file.write(KeptList(read_clocks(clock).before(30.0), placement, snapshots))

    async def main() -> None:
        later = SteppedClocks(clock.time + 10.0, ahead=clock.ahead + step, boot=boot)
        shard_map = ShardMap(Core(), sharding(1), "s1", tmp_path, seed=1, clocks=later)
        assert [hop.id for hop in shard_map.known([]).hops] == ["e0"]
        if math.isinf(expected):
            assert shard_map.staleness_s == math.inf and shard_map.rows()[0]["staleness_s"] is None
            return
        assert expected <= shard_map.staleness_s < expected + 9
        shard_map.save()
        assert (found := file.read()) is not None
        assert age(found.confirmed, read_clocks(later)) == pytest.approx(expected, abs=9)

    asyncio.run(main())


def test_a_kept_list_of_an_older_version_is_read_by_the_wall_clock(tmp_path: Path) -> None:
    file, clock = KeptListFile(tmp_path, SHARDS), SteppedClocks()
    file.write(KeptList(read_clocks(clock).before(30.0), PlacementUpdate(3, 1, ()), ()))
    content = (tmp_path / "shards").read_bytes()
    head, _, body = content.partition(b"\n")
    assert b"monotonic" in head and b"boot" in head
    (tmp_path / "shards").write_bytes(
        b'{"confirmed":%f,"shards":%d}\n' % (clock.wall() - 30.0, SHARDS) + body
    )
    assert (found := file.read()) is not None
    assert age(found.confirmed, read_clocks(clock)) == pytest.approx(30.0)


# The rule


@pytest.mark.parametrize(
    ("boot", "saved_boot", "wall", "monotonic", "basis"),
    [
        ("one", "one", 2000.0, 60.0, Basis.MONOTONIC), ("one", "one", 10.0, 60.0, Basis.MONOTONIC),
        ("one", "one", 1010.0, 40.0, Basis.WALL), ("two", "one", 1010.0, 70.0, Basis.WALL),
        ("", "", 1010.0, 70.0, Basis.WALL), ("", "", 1010.0, 60.0, Basis.MONOTONIC),
        ("", "", 990.0, 70.0, Basis.SET_BACK), ("one", "one", 990.0, 40.0, Basis.SET_BACK),
    ],
)  # fmt: skip
def test_which_clock_determines_the_span(
    boot: str, saved_boot: str, wall: float, monotonic: float, basis: Basis
) -> None:
    saved = Stamp(saved_boot, 1000.0, 50.0, 1000.0)
    assert rebase(saved, saved.base, Stamp(boot, wall, monotonic, wall)).basis is basis


def test_an_unreadable_boot_id_is_unknown(tmp_path: Path) -> None:
    (tmp_path / "binary").write_bytes(b"\xff\n")
    (tmp_path / "one").write_bytes(b"one\n")
    assert [boot_id(tmp_path / name) for name in ("none", "binary", "one")] == ["", "", "one"]


def test_an_agent_forwards_sighup_though_the_wall_clock_was_set_back() -> None:
    """The agent waits two seconds after an instance's start for its signal handler, and not also for the hour
    by which the clock was set back.
    """

    class Process:
        def __init__(self) -> None:
            self.received: list[int] = []

        def send_signal(self, number: int) -> None:
            self.received.append(number)

    async def main() -> None:
        instance, process = Instance("one", []), Process()
        instance._process = cast(asyncio.subprocess.Process, process)
        instance.since += 3600.0  # the wall clock at its start
        async with asyncio.timeout(60):
            await instance.reload()
        assert process.received == [signal.SIGHUP]

    asyncio.run(main())
