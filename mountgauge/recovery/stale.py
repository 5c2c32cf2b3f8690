"""Detects that the process was paused, and blocks calls until stale state has been refreshed. No I/O.

A process that was paused or starved for long would act on outdated state: lists, waits and drains have
changed meanwhile. `PauseDetector.check` finds the pause from this process's clock alone;
`PauseDetector.allow_call` runs in the last step before a call's first byte, so that no call can be sent
between two checks.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PauseDetector:
    """Invariant: `allow_call` returns True only if no gap longer than `max_gap_s` has passed, or if the state
    was refreshed after it. Proof: `checked_at` changes only in `check` and `allow_call`, and both set
    `refreshing_since` where they find a gap; `refreshing_since` is cleared only by `refreshed`, or after
    `refresh_timeout_s` seconds.
    """

    max_gap_s: float  # the longest gap between two checks that does not count as a pause
    refresh_timeout_s: float  # after which a refresh without a result is abandoned
    checked_at: float
    refreshing_since: float | None = None
    pauses: int = 0
    longest_gap_s: float = 0.0
    refresh_timeouts: int = 0

    def _record_gap(self, now: float) -> float:
        gap, self.checked_at = now - self.checked_at, max(now, self.checked_at)
        if gap <= self.max_gap_s:
            return 0.0
        self.pauses += 1
        self.longest_gap_s = max(self.longest_gap_s, gap)
        self.refreshing_since = now
        return gap

    def check(self, now: float) -> float:
        """The periodic check: the length of the pause in s if one has just been found, else 0."""
        gap = self._record_gap(now)
        if self.refreshing_since is not None and now - self.refreshing_since >= self.refresh_timeout_s:
            self.refreshing_since = None
            self.refresh_timeouts += 1
        return gap

    def allow_call(self, now: float) -> tuple[bool, float]:
        """Whether a call's first byte may be sent now, and the length of a pause that has just been found."""
        gap = self._record_gap(now) if now - self.checked_at > self.max_gap_s else 0.0
        return self.refreshing_since is None, gap

    def refreshed(self) -> bool:
        """Record that all state was refreshed; whether a refresh was pending."""
        pending, self.refreshing_since = self.refreshing_since is not None, None
        return pending
