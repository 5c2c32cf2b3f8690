"""The ends of a sender's lease on its list, and its returns: counted, and logged where they last."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Mapping
from typing import Any

from mountgauge.core.list_lease import LeaseEnd
from mountgauge.log import kv

log = logging.getLogger("mountgauge.list")

LEASE = "list-lease"  # the kind of these counts
# These end as soon as an answer has been read or a request written: counted alone.
_BRIEF = (LeaseEnd.ANSWER_UNREAD, LeaseEnd.NOT_ASKED)


class LeaseLog:
    """Hears of the lease's state at each look."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self.ended: LeaseEnd | None = LeaseEnd.UNHEARD  # as of the newest look

    def record(self, ended: LeaseEnd | None, age_s: float) -> None:
        """The state now, and how old the newest evidence is."""
        before, self.ended = self.ended, ended
        if ended is before:
            return
        if ended is not None:
            self.counts[LEASE, ended] += 1
        if (before is None or before in _BRIEF) and (ended is None or ended in _BRIEF):
            return
        log.info("list-lease", extra=kv(state=ended or "valid", before=before or "valid", age_s=_age(age_s)))

    def state(self, age_s: float) -> Mapping[str, Any]:
        """For the state line: whether calls may go by the list, and how old its evidence is."""
        return {"list_lease": self.ended or "valid", "list_age_s": _age(age_s)}


def _age(age_s: float) -> object:
    return "never" if math.isinf(age_s) else round(age_s, 3)
