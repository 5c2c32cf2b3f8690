"""What becomes of each call to discovery, counted and logged: made, asked, and one end with its reason.

The counts go into the state line and the metrics; the lines are bounded (`LineBudget`), the counts are not.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from mountgauge.log import LineBudget, kv
from mountgauge.platform.list_call import Failure, ListCall

log = logging.getLogger("mountgauge.platform.discovery")

CALL = "list-call"  # the kind of these counts


class CallEvent(StrEnum):
    """A step in the life of a call."""

    MADE = "made"  # decided; its connection may still have to come up
    ASKED = "asked"  # its request has been handed to a connection
    ANSWERED = "answered"  # with a list
    FAILED = "failed"  # ended without one
    GIVEN_UP = "given-up"  # closed, as nothing had come for as long as it is listened to
    DROPPED = "dropped"  # closed, as it is of no use any more


class CallLog:
    """The calls of one sender. `now` is the clock of the calls' own times, in seconds."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self._now = now
        self._lines = LineBudget(now)
        self._asked_at: dict[ListCall, float] = {}

    def made(self, call: ListCall, kept: bool) -> None:
        """A call is begun, on a kept connection or on a new one."""
        self._count(CallEvent.MADE)
        if self._lines.take():
            index = "whole" if call.index is None else call.index
            log.info("list-call", extra=kv(call=call.number, index=index, wait_s=call.wait_s, kept=kept))

    def asked(self, call: ListCall) -> None:
        """Its request has been handed to a connection."""
        self._count(CallEvent.ASKED)
        self._asked_at[call] = self._now()

    def answered(self, call: ListCall, version: int) -> None:
        """A list has come."""
        self._count(CallEvent.ANSWERED)
        self._ended(call, CallEvent.ANSWERED, f"version {version}")

    def failed(self, call: ListCall, failure: Failure, why: str) -> None:
        """It has ended without a list."""
        self._count(CallEvent.FAILED)
        self.counts[CALL, f"{CallEvent.FAILED}.{failure.value}"] += 1
        self._ended(call, CallEvent.FAILED, f"{failure.value}: {why}")

    def closed(self, call: ListCall, event: CallEvent, why: str) -> None:
        """It was given up or dropped."""
        self._count(event)
        self.counts[CALL, f"{event}.{why}"] += 1
        self._ended(call, event, why)

    def _count(self, event: CallEvent) -> None:
        self.counts[CALL, event] += 1

    def _ended(self, call: ListCall, how: CallEvent, why: str) -> None:
        now, asked_at = self._now(), self._asked_at.pop(call, None)
        if not self._lines.take():
            return
        asked_ms = "never" if asked_at is None else round((asked_at - call.made_at) * 1000)
        ended_ms = round((now - call.made_at) * 1000)
        log.info(
            "list-call-ended",
            extra=kv(call=call.number, how=how, why=why, asked_ms=asked_ms, ended_ms=ended_ms),
        )
