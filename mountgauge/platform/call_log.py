"""Counts and logs each call to discovery: when it is made, when its request is sent, and how it ends.

The counts go into the state line and the metrics. The number of log lines is bounded (`LogRateLimiter`), the
counts are not.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from mountgauge.log import LogRateLimiter, kv
from mountgauge.platform.list_call import Failure, ListCall

log = logging.getLogger("mountgauge.platform.discovery")

CALL = "list-call"  # the kind under which these counts are reported


class CallEvent(StrEnum):
    """A step of a call."""

    MADE = "made"  # created; its connection may not be established yet
    ASKED = "asked"  # its request was passed to a connection
    ANSWERED = "answered"  # ended with a list
    FAILED = "failed"  # ended without a list
    TIMED_OUT = "given-up"  # closed after its timeout
    DROPPED = "dropped"  # closed because its answer is no longer needed


class CallLog:
    """The log of one sender's calls. `now` is the clock that also stamps the calls, in seconds."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self._now = now
        self._lines = LogRateLimiter(now)
        self._asked_at: dict[ListCall, float] = {}

    def made(self, call: ListCall, kept: bool) -> None:
        """A call was made, on a kept connection or on a new one."""
        self._count(CallEvent.MADE)
        if self._lines.allow():
            index = "whole" if call.index is None else call.index
            log.info("list-call", extra=kv(call=call.number, index=index, wait_s=call.wait_s, kept=kept))

    def asked(self, call: ListCall) -> None:
        """Its request was passed to a connection."""
        self._count(CallEvent.ASKED)
        self._asked_at[call] = self._now()

    def answered(self, call: ListCall, version: int) -> None:
        """It ended with a list of this version."""
        self._count(CallEvent.ANSWERED)
        self._log_end(call, CallEvent.ANSWERED, f"version {version}")

    def failed(self, call: ListCall, failure: Failure, detail: str) -> None:
        """It ended without a list; `detail` is the text of the error."""
        self._count(CallEvent.FAILED)
        self.counts[CALL, f"{CallEvent.FAILED}.{failure.value}"] += 1
        self._log_end(call, CallEvent.FAILED, f"{failure.value}: {detail}")

    def closed(self, call: ListCall, event: CallEvent, detail: str) -> None:
        """It was closed without an answer, as timed out or dropped; `detail` is the drop reason."""
        self._count(event)
        self.counts[CALL, f"{event}.{detail}"] += 1
        self._log_end(call, event, detail)

    def _count(self, event: CallEvent) -> None:
        self.counts[CALL, event] += 1

    def _log_end(self, call: ListCall, how: CallEvent, detail: str) -> None:
        now, asked_at = self._now(), self._asked_at.pop(call, None)
        if not self._lines.allow():
            return
        asked_ms = "never" if asked_at is None else round((asked_at - call.made_at) * 1000)
        ended_ms = round((now - call.made_at) * 1000)
        log.info(
            "list-call-ended",
            extra=kv(call=call.number, how=how, why=detail, asked_ms=asked_ms, ended_ms=ended_ms),
        )
