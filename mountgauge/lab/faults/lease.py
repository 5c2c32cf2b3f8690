"""A fault in a sender: its list stays valid as long as no answer is known to be lost."""

from __future__ import annotations

from mountgauge.core.list_lease import LeaseEnd, ListLease


def ignore_silent_expiry() -> None:
    """Ignore the expiry of the list's lease in silence, from now on in this process."""
    end_reason = ListLease.end_reason

    def end_reason_unless_silent(lease: ListLease, now: float) -> LeaseEnd | None:
        found = end_reason(lease, now)
        silent = (LeaseEnd.NO_EVIDENCE, LeaseEnd.EXPIRED, LeaseEnd.MOVED)
        return None if found in silent else found

    setattr(ListLease, "end_reason", end_reason_unless_silent)  # noqa: B010
