"""Signed datagrams with false content, as recorded: a member must still end each call of `receive`."""

from __future__ import annotations

import ast
from pathlib import Path
from typing import Any

import pytest

from mountgauge.tenants.gossip.deltas import Deltas
from tests.tenants import test_wire

RECORDED = Path(__file__).with_name("false_datagrams.txt")
MAX_SPANS = 10_000  # the datagrams name 22 incarnations at most, and fill ten datagrams each at most


def test_false_datagrams_do_not_make_a_member_choose_spans_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """`Deltas.batches` asked for the next span of one incarnation forever, and sent nothing."""
    choose, chosen = Deltas._next_span, 0

    def counted(self: Deltas, *args: Any) -> Any:
        nonlocal chosen
        chosen += 1
        assert chosen <= MAX_SPANS
        return choose(self, *args)

    monkeypatch.setattr(Deltas, "_next_span", counted)
    check = test_wire.test_members_that_lie_cannot_break_one_or_make_it_send_too_much
    check.hypothesis.inner_test(ast.literal_eval(RECORDED.read_text()))  # type: ignore[attr-defined]
