"""The process's limit on file descriptors: raised at the start, verified by the command `check`."""

from __future__ import annotations

import resource

# For the loop, log, journal, discovery, notices, status, listeners and the acceptor's reserve.
RESERVED_DESCRIPTORS = 48


def limits() -> tuple[int, int]:
    """The soft and the hard descriptor limit of this process."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)


def shortfall(wanted: int, hard: int) -> str | None:
    """One line that says what to raise if the hard limit is too low, else None."""
    if hard == resource.RLIM_INFINITY or wanted <= hard:
        return None
    return (
        f"limits.sockets: {wanted} descriptors are wanted, this process may have {hard}: "
        f"raise the hard limit (ulimit -Hn, LimitNOFILE=) or lower it"
    )


def raise_soft(wanted: int) -> int:
    """Raise the soft limit as far as the hard limit allows; returns how many descriptors are available."""
    soft, hard = limits()
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    target = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if target > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (target, hard))
    return target


def shares(sockets: int, workers: int) -> tuple[int, int]:
    """How many connections clients and next hops may have, after the reserve is deducted from `sockets`."""
    usable = max(8, sockets - RESERVED_DESCRIPTORS)
    hops = max(4, min(usable // 3, 6 * workers))
    return max(4, usable - hops), hops
