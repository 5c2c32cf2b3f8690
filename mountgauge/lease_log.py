"""Counts and logs how the lease on a sender's list ends and is renewed."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Mapping
from typing import Any

from mountgauge.core.list_lease import LeaseEnd
from mountgauge.log import kv

log = logging.getLogger("mountgauge.list")

LEASE = "list-lease"  # the kind under which these counts are reported
# These last until an answer has been read or a request written, so they are counted but not logged.
_BRIEF = (LeaseEnd.ANSWER_UNREAD, LeaseEnd.NO_REQUEST)


class LeaseLog:
    """Counts and logs the changes of the lease's state, which it receives at each check."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        # At the last check; None while the lease is valid.
        self.end_reason: LeaseEnd | None = LeaseEnd.NO_EVIDENCE

    def record(self, end_reason: LeaseEnd | None, age_s: float) -> None:
        """Record the current state; `age_s` is the age of the newest evidence that renewed the lease."""
        before, self.end_reason = self.end_reason, end_reason
        if end_reason is before:
            return
        if end_reason is not None:
            self.counts[LEASE, end_reason] += 1
        if (before is None or before in _BRIEF) and (end_reason is None or end_reason in _BRIEF):
            return
        log.info(
            "list-lease", extra=kv(state=end_reason or "valid", before=before or "valid", age_s=_age(age_s))
        )

    def state(self, age_s: float) -> Mapping[str, Any]:
        """Return the fields of the state line: whether the list may be used, and the age of its evidence."""
        return {"list_lease": self.end_reason or "valid", "list_age_s": _age(age_s)}


def _age(age_s: float) -> object:
    return "never" if math.isinf(age_s) else round(age_s, 3)
