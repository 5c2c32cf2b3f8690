"""The evidence for discovery's list that a process saves in its folder for the next one."""

from __future__ import annotations

import errno
from dataclasses import replace
from pathlib import Path

import pytest

from mountgauge.core.config import Address
from mountgauge.core.durable_time import Stamp
from mountgauge.core.list_lease import Loss
from mountgauge.lab.faults.files import FailingFiles
from mountgauge.platform.evidence_file import FILE_NAME, EvidenceFile
from mountgauge.platform.list_call import Failure
from mountgauge.platform.saved_evidence import (
    MIN_SAVE_INTERVAL_S,
    DatedList,
    SavedEvidence,
    SavedEvidenceError,
    decode,
    encode,
)
from tests.clocks import SteppedClocks
from tests.platform.test_list_lease import FAIR, Driven

ADDRESS, OTHER_ADDRESS = Address("127.0.0.1", 80), Address("127.0.0.1", 81)
SAVED = SavedEvidence("127.0.0.1:80", 5, Stamp("boot", 1000.0, 50.0, 1000.0))


class Folder:
    """A folder of one sender, and the clocks of its processes."""

    def __init__(self, path: Path) -> None:
        self.path, self.clocks, self.files = path, SteppedClocks(), FailingFiles()

    def process(self, clocks: SteppedClocks | None = None) -> EvidenceFile:
        return EvidenceFile(self.path, clocks or self.clocks, self.files)

    def confirmed_at(
        self, address: Address = ADDRESS, version: int = 5, clocks: SteppedClocks | None = None
    ) -> float | None:
        dated = self.dated(address, version, clocks)
        return None if dated is None else dated.confirmed_at

    def dated(
        self, address: Address = ADDRESS, version: int = 5, clocks: SteppedClocks | None = None
    ) -> DatedList | None:
        return self.process(clocks).date_list(address, version)


@pytest.fixture
def folder(tmp_path: Path) -> Folder:
    return Folder(tmp_path)


def test_saved_evidence_is_loaded_unchanged() -> None:
    assert decode(encode(SAVED)) == SAVED


@pytest.mark.parametrize("content", [
    b"", b"no evidence", encode(SAVED)[:-10], encode(SAVED).replace(b"5", b"6"), b"00000000 {}",
    b"\xff" * 9000,
])  # fmt: skip
def test_damaged_content_is_refused(content: bytes) -> None:
    with pytest.raises(SavedEvidenceError):
        decode(content)


def test_another_list_is_saved_at_once_and_newer_evidence_now_and_then() -> None:
    def later(seconds: float) -> SavedEvidence:
        return replace(SAVED, confirmed=SAVED.confirmed.before(-seconds))

    assert SAVED.must_replace(None) and not SAVED.must_replace(SAVED)
    assert not later(MIN_SAVE_INTERVAL_S - 0.01).must_replace(SAVED)
    assert later(MIN_SAVE_INTERVAL_S).must_replace(SAVED)
    assert replace(SAVED, version=6).must_replace(SAVED)
    assert replace(SAVED, address="elsewhere").must_replace(SAVED)


def test_the_next_process_has_the_moment_of_the_evidence(folder: Folder) -> None:
    folder.process().save(98.0, ADDRESS, 5)
    folder.clocks.time += 1.5
    folder.clocks.step(-3600.0)
    assert folder.confirmed_at() == pytest.approx(98.0)
    assert folder.confirmed_at(version=6) == pytest.approx(98.0), "a newer list than the confirmed one"


def test_evidence_for_another_list_or_by_another_clock_counts_as_nothing(folder: Folder) -> None:
    folder.process().save(98.0, ADDRESS, 5)
    assert folder.confirmed_at(version=4) is None, "the process is started with an older list"
    assert folder.confirmed_at(clocks=SteppedClocks(boot="two")) is None
    assert folder.confirmed_at(clocks=SteppedClocks(boot="")) is None
    assert folder.confirmed_at(clocks=SteppedClocks(time=50.0)) is None, "another monotonic clock"


def test_evidence_of_another_address_is_from_before_a_move(folder: Folder) -> None:
    folder.process().save(98.0, ADDRESS, 5)
    dated = folder.dated(address=OTHER_ADDRESS)
    assert dated is not None and dated.moved and dated.confirmed_at == pytest.approx(98.0)


def test_in_a_move_the_evidence_stays_for_the_same_list_alone(folder: Folder) -> None:
    process = folder.process()
    process.save(98.0, ADDRESS, 5)
    process.keep_only_for(5)
    assert folder.confirmed_at() == pytest.approx(98.0)
    process.keep_only_for(6)
    assert folder.confirmed_at(version=6) is None


def test_a_list_that_was_confirmed_before_a_move_counts_for_the_time_of_a_move() -> None:
    driven = Driven(answered=False)
    confirmed_at = driven.now - 1.0
    driven.watch.process_started(driven.now, DatedList(confirmed_at, moved=True))
    driven.watch.failed(driven.asked(), Failure.BUSY, driven.now)
    ends_at = confirmed_at + driven.bounds.lease.moved_s
    assert not driven.held_back(ends_at - FAIR) and driven.held_back(ends_at + FAIR)


def test_a_file_that_is_damaged_or_cannot_be_read_counts_as_nothing(folder: Folder) -> None:
    assert folder.confirmed_at() is None
    folder.process().save(98.0, ADDRESS, 5)
    folder.files.fails.add("read")
    assert folder.confirmed_at() is None
    folder.files.heal()
    (folder.path / FILE_NAME).write_bytes(b"damaged")
    assert folder.confirmed_at() is None


@pytest.mark.parametrize("call", ["open", "write", "replace"])
def test_evidence_for_an_older_list_does_not_stay_when_the_disk_fails(folder: Folder, call: str) -> None:
    process = folder.process()
    process.save(98.0, ADDRESS, 5)
    folder.files.error = errno.ENOSPC
    folder.files.fails.add(call)
    process.save(98.5, ADDRESS, 6)
    assert folder.confirmed_at(version=6) is None
    folder.files.heal()
    process.save(98.5, ADDRESS, 6)
    assert folder.confirmed_at(version=6) == pytest.approx(98.5)


def test_a_lost_answer_removes_the_evidence(folder: Folder) -> None:
    process = folder.process()
    process.save(98.0, ADDRESS, 5)
    process.save(None, ADDRESS, 5)
    assert folder.confirmed_at() is None and not (folder.path / FILE_NAME).exists()


def test_a_watch_names_the_evidence_that_outlasts_its_process() -> None:
    driven = Driven()
    confirmed_at = driven.watch.outlasting_evidence_at
    assert confirmed_at is not None and confirmed_at <= driven.now
    driven.watch.failed(driven.asked(), Failure.CORRUPT, driven.now)
    assert driven.watch.outlasting_evidence_at is None, "an answer has been lost"
    moved = Driven()
    moved.watch.move(moved.now)
    assert moved.watch.outlasting_evidence_at is None, "discovery has another address"
    assert Driven(subscribe=False).watch.outlasting_evidence_at is None, "pushed lists count at once"


def test_a_process_without_evidence_of_its_own_leaves_that_of_the_one_before() -> None:
    driven = Driven(answered=False)
    assert driven.watch.outlasting_evidence_at is None
    driven.watch.process_started(driven.now, DatedList(driven.now - 2.0))
    assert driven.watch.outlasting_evidence_at == driven.now - 2.0
    driven.watch._lease.answer_lost(Loss.POSSIBLE, driven.now)
    assert driven.watch.outlasting_evidence_at is None
