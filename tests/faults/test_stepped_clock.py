"""The wall clock is stepped, either way, before, in and after a restart, a hand-over and an adoption.

All time is virtual: `Bench` has a monotonic clock that is real time here, and a wall clock that is set apart
from it. What is asked for is always a span of real time.
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
from mountgauge.core.durable_time import AGREE_S, Basis, Stamp, age, boot_id, read, rebase
from mountgauge.core.journal import Journal, Stored
from mountgauge.core.ports import End, Result, Status
from mountgauge.recovery.files import Folder
from mountgauge.recovery.state_file import Fact
from mountgauge.recovery.state_file import encode as encode_facts
from mountgauge.relay.kept_list import KeptList, KeptListFile
from mountgauge.relay.shard_map import ShardMap
from mountgauge.run.handover import Handover
from mountgauge.sharding.messages import PlacementNews
from rillspindle.interface import Outcome, Readiness
from tests.clocks import SteppedClocks
from tests.sharding.harness import SHARDS
from tests.sharding.test_shard_map import Core, sample_kept_list, sharding
from tests.test_sender import Bench

STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # s
WHEN = ("in the first life", "between", "in the second life")
KEYED = 1  # a class whose receiver drops repeats for `WINDOW` after the first attempt
WINDOW = 7.0  # s
LEFT = 10.0  # s that a message may still be delivered when it is handed in

steps = pytest.mark.parametrize("step", STEPS)
whenever = pytest.mark.parametrize("when", WHEN)


def lives(folder: Path, ready: Readiness, grade: int) -> Bench:
    """A first life that has taken on a message, and has it out where its endpoint is ready."""
    bench = Bench(folder)
    bench.sender.start(bench.hops(ready))
    bench.pass_time(0.01)
    bench.take("a", grade=grade, left=LEFT)
    bench.pass_time(0.01)
    for call in bench.calls:
        bench.sender.admit(call, call.items)
    assert bench.answers and len(bench.calls) == (ready is Readiness.READY)
    return bench


def restarted(bench: Bench, down: float, step: float = 0.0, ready: Readiness = Readiness.READY) -> Bench:
    """The next life on the same boot, after `down` seconds in which the wall clock was set."""
    bench.journal.close()
    return begun(bench, down, step, ready)


def begun(bench: Bench, after: float, step: float, ready: Readiness) -> Bench:
    again = Bench(bench.journal.folder, time=bench.time + after, ahead=bench.ahead + step)
    again.sender.start(again.hops(ready))
    return again


def stepped_life(bench: Bench, when: str, step: float, down: float, ready: Readiness) -> Bench:
    """A restart with the step where it is asked for."""
    if when == WHEN[0]:
        bench.step(step)
        bench.pass_time(0.5)
        bench.take("later", left=0.01)  # something is written after the step
        bench.pass_time(0.5)
        down -= 1.0
    again = restarted(bench, down, step if when == WHEN[1] else 0.0, ready)
    if when == WHEN[2]:
        again.step(step)
    return again


def left_of(bench: Bench, msg_id: str = "a") -> float:
    return bench.sender.held[bench.sender.numbers[msg_id]].expires - bench.time


@steps
@whenever
def test_a_message_has_its_real_time_over_a_restart(tmp_path: Path, when: str, step: float) -> None:
    """Not given up, and not kept for longer, on the strength of a stepped clock."""
    again = stepped_life(lives(tmp_path, Readiness.DRAINING, 0), when, step, 2.0, Readiness.DRAINING)
    assert left_of(again) == pytest.approx(LEFT - 2.0, abs=0.05)
    again.pass_time(LEFT - 2.0 - 1.0)
    assert "a" not in again.ends
    again.pass_time(1.2)
    assert again.ends["a"] == End(Status.DEFERRED, again.ends["a"].again_ms) and not again.calls


@steps
@whenever
@pytest.mark.parametrize(("down", "calls"), [(WINDOW - 1.0, 1), (WINDOW + 0.5, 0)])
def test_a_window_for_repeats_is_real_time_over_a_restart(
    tmp_path: Path, when: str, step: float, down: float, calls: int
) -> None:
    """Within it one more call may go, past it none, whatever the wall clock says."""
    again = stepped_life(lives(tmp_path, Readiness.READY, KEYED), when, step, down, Readiness.READY)
    again.pass_time(0.05)
    assert [item.id for call in again.calls for item in call.items] == ["a"] * calls
    assert ("a" in again.ends) is (not calls)


@steps
@pytest.mark.parametrize("lives_on", [0.0, 3.0])
def test_three_lives_with_a_step_before_each(tmp_path: Path, step: float, lives_on: float) -> None:
    """The second life writes after records of the first: each is read by the clocks of its own writer."""
    bench = lives(tmp_path, Readiness.DRAINING, 0)
    second = restarted(bench, 1.0, step, Readiness.DRAINING)
    second.pass_time(0.01)
    second.take("b", left=LEFT)
    second.pass_time(lives_on + 0.02)
    third = restarted(second, 1.0, -step / 2, Readiness.DRAINING)
    gone = 2.03 + lives_on
    assert left_of(third) == pytest.approx(LEFT - gone, abs=0.05)
    assert left_of(third, "b") == pytest.approx(LEFT - gone + 1.0, abs=0.05)


@steps
@whenever
@pytest.mark.parametrize(("out_for", "calls"), [(WINDOW - 1.0, 1), (WINDOW + 0.5, 0)])
def test_what_is_adopted_at_a_hand_over_has_its_real_times(
    tmp_path: Path, when: str, step: float, out_for: float, calls: int
) -> None:
    """An old and a new process on one folder, whose wall clocks differ; the old one goes later."""
    old = lives(tmp_path, Readiness.READY, KEYED)
    if when == WHEN[0]:
        old.step(step)
    new = begun(old, 0.0, step if when == WHEN[1] else 0.0, Readiness.READY)
    assert new.journal.others and not new.sender.held
    if when == WHEN[2]:
        new.step(step)
    new.pass_time(out_for)
    old.journal.close()
    new.sender.restore(new.journal.adopt())
    assert left_of(new) == pytest.approx(LEFT - out_for, abs=0.05)
    new.pass_time(0.05)
    assert len(new.calls) == calls and ("a" in new.ends) is (not calls)
    if calls:  # and what it adopted is read back as it was written
        last = restarted(new, 0.0, -step, Readiness.READY)
        assert left_of(last) == pytest.approx(LEFT - out_for - 0.05, abs=0.05)


@steps
def test_a_told_wait_binds_the_other_process_for_its_real_time(tmp_path: Path, step: float) -> None:
    old = lives(tmp_path, Readiness.READY, 0)
    new = begun(old, 0.0, step, Readiness.READY)
    ours = Handover(new.sender, new.journal, tmp_path, True)
    theirs = Handover(old.sender, old.journal, tmp_path, True)
    theirs.adopt()  # sees the new process
    old.sender.finished(old.calls[0], {old.calls[0].items[0].number: Result(Outcome.FULL, wait=3.0)})
    theirs.tell()
    new.pass_time(0.5)
    ours.hear()
    assert new.sender.waits[7] - new.time == pytest.approx(2.5, abs=0.01)
    old.step(-2 * step)  # and in the life of the one that tells
    old.sender.waits[7] += 1.0
    theirs.tell()
    ours.hear()
    assert new.sender.waits[7] - new.time == pytest.approx(3.5, abs=0.01)


# Another boot, another epoch, an older file: the wall clock is all there is

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
def test_a_clock_set_back_over_a_boot_repeats_nothing(
    tmp_path: Path, step: float, boot: str, time: float
) -> None:
    """How long ago the attempt was is not known, so its window is over; the untried message is still tried,
    and has no more time than it had.
    """
    bench = lives(tmp_path, Readiness.READY, KEYED)
    bench.pass_time(2.0)
    bench.take("untried", left=LEFT)
    bench.pass_time(0.01)
    again = rebooted(bench, 2.0, step, boot, time)
    assert set(again.ends) == {"a"} and again.ends["a"].status is not Status.DELIVERED
    assert [item.id for call in again.calls for item in call.items] == ["untried"]
    assert LEFT - 1.2 < left_of(again, "untried") < LEFT
    last = restarted(again, 0.0)
    last.pass_time(0.02)
    assert "a" in last.journal.live or "a" in last.journal.ends
    assert not [item for call in last.calls for item in call.items if item.id == "a"]


@boots
def test_over_a_boot_the_wall_clock_counts_where_nothing_contradicts_it(
    tmp_path: Path, boot: str, time: float
) -> None:
    again = rebooted(lives(tmp_path, Readiness.READY, KEYED), 3.0, 0.0, boot, time)
    assert left_of(again) == pytest.approx(LEFT - 3.0, abs=0.05) and len(again.calls) == 1


def test_a_process_writes_down_by_which_clocks_it_read_what_it_found(tmp_path: Path) -> None:
    """It idles after a boot that set the clock back: what is left of a message then is not more later on."""
    bench = lives(tmp_path, Readiness.DRAINING, 0)
    bench.journal.close()
    again = Bench(tmp_path, time=7.0, ahead=bench.ahead - 1000.0, boot="two")
    again.sender.start(again.hops(Readiness.DRAINING))
    assert left_of(again) == pytest.approx(LEFT, abs=0.05)
    again.pass_time(4.0)
    again.take("b")
    again.pass_time(0.01)
    last = restarted(again, 1.0, 0.0, Readiness.DRAINING)
    assert left_of(last) == pytest.approx(LEFT - 5.0, abs=0.05)


@pytest.mark.parametrize("lived", [0.0, 2.5, 6.0])
def test_processes_whose_monotonic_clocks_begin_with_them_go_by_the_wall_clock(
    tmp_path: Path, lived: float
) -> None:
    """One boot, but an epoch for each process: what is on record is ahead of the new one's clock."""
    bench = Bench(tmp_path, time=0.0)
    bench.sender.start(bench.hops(Readiness.DRAINING))
    for second in range(1, 12):
        bench.pass_time(1.0)
        bench.take(f"m{second}", left=LEFT)
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
    bench = lives(tmp_path, Readiness.READY, KEYED)
    bench.journal.close()
    without_stamps(tmp_path)
    again = begun(bench, down, step, Readiness.READY)
    again.pass_time(0.05)
    assert len(again.calls) == calls and ("a" in again.ends) is (not calls)
    if calls:  # and once more, behind records of this version
        again.sender.admit(again.calls[0], again.calls[0].items)
        again.journal.close()
        last = begun(again, 0.0, 3600.0, Readiness.READY)
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
def test_whatever_the_steps_each_record_keeps_its_real_times(history: list[tuple[str, float]]) -> None:
    """On one boot. The allowance grows with the lives: each may take what is below `AGREE_S` for nothing."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        clock = SteppedClocks()
        journal = Journal(folder, 1_000_000, clock=clock)
        real: dict[str, tuple[float, float]] = {}  # until when, and when tried, on the monotonic clock
        hands = 0
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
                    journal.take(Stored(name, "note", until, 7, "k", "platform", b""))
                    journal.attempt([name], journal.time.of(clock.time), 0)
                case "compact":
                    journal._rewrite(journal._content())
                case "restart":
                    journal.close()
                    journal, hands = Journal(folder, 1_000_000, clock=clock), hands + 1
                case _:
                    new, hands = Journal(folder, 1_000_000, clock=clock), hands + 1
                    journal.close()
                    new.adopt()
                    journal = new
            assert set(journal.live) == set(real)
            for stored in journal.live.values():
                until, tried = real[stored.id]
                about = AGREE_S * hands + 0.001
                assert journal.time.monotonic(stored.expires) == pytest.approx(until, abs=about)
                [(at, _)] = stored.ran
                assert journal.time.monotonic(at) == pytest.approx(tried, abs=about)
        journal.close()


# What recovery and the relays keep


def remembered(folder: Path, written: Stamp, now: Stamp) -> list[Fact]:
    wait = Fact("wait", "7", written.wall + 8.0, written.wall, "life", written.wall + 8.0)
    pace = Fact("pace", "7", 0.5, written.wall, "life", written.wall + 60.0)
    assert Folder(folder).remember([wait, pace], written, "life")
    return Folder(folder).remembered(now, "life", -1).kept


@steps
def test_what_recovery_remembers_is_read_by_real_time(tmp_path: Path, step: float) -> None:
    written = Stamp("one", 1000.0, 50.0, 1000.0)
    for gone, kinds in ((3.0, ["wait", "pace"]), (9.0, ["pace"]), (61.0, [])):
        wall = written.wall + gone + step
        found = remembered(tmp_path, written, Stamp("one", wall, written.monotonic + gone, wall))
        assert [fact.kind for fact in found] == kinds
        for fact in found:
            if fact.kind == "wait":
                assert fact.value - wall == pytest.approx(8.0 - gone)
            else:
                assert fact.value == 0.5


def test_what_recovery_remembers_over_a_boot_makes_it_more_careful(tmp_path: Path) -> None:
    """By the wall clock; where that was set back, a wait is heeded as if no time had gone by."""
    written = Stamp("one", 1000.0, 50.0, 1000.0)
    [wait, _] = remembered(tmp_path, written, Stamp("two", 1003.0, 1.0, 1003.0))
    assert wait.value - 1003.0 == pytest.approx(5.0)
    [wait, _] = remembered(tmp_path, written, Stamp("two", 400.0, 1.0, 400.0))
    assert wait.value - 400.0 == pytest.approx(8.0)
    old = encode_facts([Fact("wait", "7", 1008.0, 1000.0, "life", 1008.0)])  # of an older version: no clock
    (tmp_path / "remembered").write_bytes(old)
    assert [
        f.value for f in Folder(tmp_path).remembered(Stamp("", 1003.0, 1.0, 1003.0), "life", -1).kept
    ] == [1008.0]
    assert not Folder(tmp_path).remembered(Stamp("", 900.0, 1.0, 900.0), "life", -1).kept


@pytest.mark.parametrize(
    ("boot", "step", "expected"),
    [
        *(("one", step, 40.0) for step in STEPS),
        ("two", 0.0, 40.0), ("two", 60.0, 100.0), ("two", -60.0, math.inf),
    ],
)  # fmt: skip
def test_a_kept_list_has_its_real_age_or_none(
    tmp_path: Path, boot: str, step: float, expected: float
) -> None:
    clock = SteppedClocks()
    snapshots, placement = sample_kept_list().snapshots, sample_kept_list().placement
    file = KeptListFile(tmp_path, SHARDS)
    file.write(KeptList(read(clock).before(30.0), placement, snapshots))

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
        assert age(found.confirmed, read(later)) == pytest.approx(expected, abs=9)

    asyncio.run(main())


def test_a_kept_list_of_an_older_version_is_read_by_the_wall_clock(tmp_path: Path) -> None:
    file, clock = KeptListFile(tmp_path, SHARDS), SteppedClocks()
    file.write(KeptList(read(clock).before(30.0), PlacementNews(3, 1, ()), ()))
    content = (tmp_path / "shards").read_bytes()
    head, _, body = content.partition(b"\n")
    assert b"monotonic" in head and b"boot" in head
    (tmp_path / "shards").write_bytes(
        b'{"confirmed":%f,"shards":%d}\n' % (clock.wall() - 30.0, SHARDS) + body
    )
    assert (found := file.read()) is not None
    assert age(found.confirmed, read(clock)) == pytest.approx(30.0)


# The rule by itself


@pytest.mark.parametrize(
    ("boot", "saved_boot", "wall", "monotonic", "basis"),
    [
        ("one", "one", 2000.0, 60.0, Basis.MONOTONIC), ("one", "one", 10.0, 60.0, Basis.MONOTONIC),
        ("one", "one", 1010.0, 40.0, Basis.WALL), ("two", "one", 1010.0, 70.0, Basis.WALL),
        ("", "", 1010.0, 70.0, Basis.WALL), ("", "", 1010.0, 60.0, Basis.MONOTONIC),
        ("", "", 990.0, 70.0, Basis.SET_BACK), ("one", "one", 990.0, 40.0, Basis.SET_BACK),
    ],
)  # fmt: skip
def test_which_clock_is_taken(
    boot: str, saved_boot: str, wall: float, monotonic: float, basis: Basis
) -> None:
    saved = Stamp(saved_boot, 1000.0, 50.0, 1000.0)
    assert rebase(saved, saved.base, Stamp(boot, wall, monotonic, wall)).basis is basis


def test_a_boot_id_that_cannot_be_read_is_unknown(tmp_path: Path) -> None:
    (tmp_path / "binary").write_bytes(b"\xff\n")
    (tmp_path / "one").write_bytes(b"one\n")
    assert [boot_id(tmp_path / name) for name in ("none", "binary", "one")] == ["", "", "one"]


def test_an_agent_passes_sighup_on_though_the_wall_clock_was_set_back() -> None:
    """An instance has its handler two seconds after its start; an hour set back must not be waited for."""

    class Process:
        def __init__(self) -> None:
            self.heard: list[int] = []

        def send_signal(self, number: int) -> None:
            self.heard.append(number)

    async def main() -> None:
        instance, process = Instance("one", []), Process()
        instance._process = cast(asyncio.subprocess.Process, process)
        instance.since += 3600.0  # what the wall clock said at its start
        async with asyncio.timeout(60):
            await instance.reload()
        assert process.heard == [signal.SIGHUP]

    asyncio.run(main())
