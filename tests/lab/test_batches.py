"""The thread that plays batches of rigs for the tests."""

from __future__ import annotations

import pytest

from tests import rigs
from tests.rigs import BatchError, Rigs

PROMPT_S = 10.0  # far below the time for which a test waits for a batch


class FailingRigs(Rigs):
    """The first batch ends by an exception."""

    def _play_batch(self, batch: str) -> None:
        if batch == "first":
            raise OSError("no process can be started")


def test_a_batch_that_ends_by_an_exception_fails_its_tests_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The thread ended silently, and each test of this and of each later batch waited for 12 minutes."""
    monkeypatch.setattr(rigs, "_LIMIT_S", PROMPT_S)
    played = FailingRigs()
    played.begin(["first", "second"])
    with pytest.raises(BatchError, match="no process can be started"):
        played.wait("first")
    assert played.wait("second") == played.folder
