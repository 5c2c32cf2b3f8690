"""The lease on discovery's list, as a process leaves it in its folder for the next one."""

from __future__ import annotations

import errno
from dataclasses import replace
from pathlib import Path

import pytest

from mountgauge.core.config import Address
from mountgauge.core.durable_time import Stamp
from mountgauge.core.list_lease import HOLD_UP_S
from mountgauge.lab.faults.files import FailingFiles
from mountgauge.platform.kept_lease import (
    RENEWED_EVERY_S,
    KeptLease,
    KeptLeaseError,
    LeaseState,
    decode,
    encode,
    worth_writing,
)
from mountgauge.platform.lease_file import NAME, LeaseFile
from mountgauge.platform.list_call import Failure
from tests.clocks import SteppedClocks
from tests.platform.test_list_lease import GRACE_S, MOVED_S, NOTIFIED_S, TERM_S, Driven

ADDRESS, ELSEWHERE = Address("127.0.0.1", 80), Address("127.0.0.1", 81)
SPARE_S = GRACE_S - HOLD_UP_S
KEPT = KeptLease("127.0.0.1:80", 5, True, Stamp("boot", 1000.0, 50.0, 1000.0))


class Folder:
    """A folder of one sender, and the clocks of its processes."""

    def __init__(self, path: Path) -> None:
        self.path, self.clocks, self.files = path, SteppedClocks(), FailingFiles()

    def process(self, clocks: SteppedClocks | None = None) -> LeaseFile:
        return LeaseFile(self.path, clocks or self.clocks, self.files)

    def resumed(
        self, address: Address = ADDRESS, version: int = 5, clocks: SteppedClocks | None = None
    ) -> LeaseState | None:
        return self.process(clocks).resume(address, version, NOTIFIED_S)


@pytest.fixture
def folder(tmp_path: Path) -> Folder:
    return Folder(tmp_path)


def test_what_is_kept_is_read_again() -> None:
    assert decode(encode(KEPT)) == KEPT


@pytest.mark.parametrize("content", [
    b"", b"no lease", encode(KEPT)[:-10], encode(KEPT).replace(b"5", b"6"), b"00000000 {}", b"\xff" * 9000,
])  # fmt: skip
def test_what_is_no_lease_is_told_apart(content: bytes) -> None:
    with pytest.raises(KeptLeaseError):
        decode(content)


def test_newer_evidence_alone_is_written_now_and_then_and_all_else_at_once() -> None:
    def later(seconds: float) -> KeptLease:
        return replace(KEPT, confirmed=KEPT.confirmed.before(-seconds))

    assert worth_writing(None, KEPT) and not worth_writing(KEPT, KEPT)
    assert not worth_writing(KEPT, later(RENEWED_EVERY_S - 0.01)) and worth_writing(
        KEPT, later(RENEWED_EVERY_S)
    )
    assert worth_writing(KEPT, replace(KEPT, version=6)) and worth_writing(KEPT, replace(KEPT, down=False))


def test_the_next_process_goes_on_from_the_same_moment(folder: Folder) -> None:
    folder.process().keep(LeaseState(98.0, True), ADDRESS, 5)
    folder.clocks.time += 1.5
    folder.clocks.step(-3600.0)
    found = folder.resumed()
    assert found == LeaseState(98.0, True)
    assert folder.resumed(version=6) == found, "a list that is newer than the evidence"


def test_what_is_of_another_time_or_place_counts_as_nothing(folder: Folder) -> None:
    folder.process().keep(LeaseState(98.0, False), ADDRESS, 5)
    assert folder.resumed(version=4) is None, "it is started with an older list"
    assert folder.resumed(clocks=SteppedClocks(boot="two")) is None
    assert folder.resumed(clocks=SteppedClocks(boot="")) is None
    assert folder.resumed(clocks=SteppedClocks(time=50.0)) is None, "another monotonic clock"
    folder.clocks.time = 98.0 + NOTIFIED_S
    assert folder.resumed() is None, "it has run out"


def test_evidence_of_another_address_counts_as_before_a_move(folder: Folder) -> None:
    folder.process().keep(LeaseState(98.0, True), ADDRESS, 5)
    assert folder.resumed(address=ELSEWHERE) == LeaseState(98.0, False, moved=True)
    driven = Driven(heard=False)
    evidence_at = driven.now - 2.0
    driven.watch.resume(LeaseState(evidence_at, False, moved=True))
    end = evidence_at + MOVED_S + SPARE_S
    assert not driven.held_back(end - 0.01) and driven.held_back(end + 0.01)
    assert driven.watch.is_moving


def test_a_file_that_is_damaged_or_cannot_be_read_counts_as_nothing(folder: Folder) -> None:
    assert folder.resumed() is None
    folder.process().keep(LeaseState(98.0, False), ADDRESS, 5)
    folder.files.fails.add("read")
    assert folder.resumed() is None
    folder.files.heal()
    (folder.path / NAME).write_bytes(b"spoilt")
    assert folder.resumed() is None


def test_a_lease_that_only_an_answer_brings_back_is_not_kept(folder: Folder) -> None:
    process = folder.process()
    process.keep(LeaseState(98.0, False), ADDRESS, 5)
    folder.files.fails.add("unlink")
    process.keep(None, ADDRESS, 5)
    assert folder.resumed() is not None, "the disk failed"
    folder.files.heal()
    process.keep(None, ADDRESS, 5)
    assert folder.resumed() is None and not (folder.path / NAME).exists()


@pytest.mark.parametrize("call", ["open", "write", "replace"])
def test_a_disk_that_fails_is_written_to_again(folder: Folder, call: str) -> None:
    process = folder.process()
    folder.files.error = errno.ENOSPC
    folder.files.fails.add(call)
    process.keep(LeaseState(98.0, False), ADDRESS, 5)
    assert folder.resumed() is None
    folder.files.heal()
    process.keep(LeaseState(98.0, False), ADDRESS, 5)
    assert folder.resumed() == LeaseState(98.0, False)


# As the watch has it


def test_a_watch_goes_on_with_a_lease_to_its_end_and_not_longer() -> None:
    driven = Driven(heard=False)
    driven.watch.resume(LeaseState(driven.now - 2.0, False))
    end = driven.now - 2.0 + TERM_S
    assert not driven.held_back(end - 0.01) and driven.held_back(end + 0.01)
    assert driven.watch.resumable == LeaseState(driven.now - 2.0, False)


@pytest.mark.parametrize("down", [False, True])
def test_an_outage_that_the_process_before_has_seen_goes_on(down: bool) -> None:
    driven = Driven(heard=False)
    driven.watch.resume(LeaseState(driven.now - 2.0, down))
    call = driven.asked()
    driven.watch.failed(call, Failure.BUSY, driven.now)
    assert driven.held_back(call.made_at + TERM_S - 0.01) is not down


def test_a_lease_that_has_been_ended_early_is_not_gone_on_with() -> None:
    driven = Driven()
    assert driven.watch.resumable is not None
    driven.watch.failed(driven.asked(), Failure.BROKEN, driven.now)
    assert driven.watch.resumable is None
    assert Driven(heard=False).watch.resumable is None


def test_at_an_agent_there_is_none() -> None:
    driven = Driven(subscribe=False)
    assert driven.watch.resumable is None
    new = Driven(subscribe=False, heard=False)
    new.watch.resume(LeaseState(new.now - 1.0, True))
    assert new.held_back()


def test_a_call_that_hangs_is_kept_as_the_end_of_the_outage() -> None:
    driven = Driven()
    call = driven.asked()
    driven.now = call.made_at + 3.0
    driven.watch.failed(call, Failure.BUSY, driven.now)
    found = driven.watch.resumable
    assert found is not None and found.down
    driven.asked()
    driven.asked()  # the one before has not been answered in time
    found = driven.watch.resumable
    assert found is not None and not found.down
