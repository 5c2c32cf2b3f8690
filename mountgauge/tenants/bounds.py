"""The bounds stated in `docs/tenants.md`, as functions. Times in seconds, rates in messages per second."""

from __future__ import annotations

import math

from mountgauge.tenants.quota import CATCH_UP_S

DIGESTS_PER_DATAGRAM = 7  # for which a datagram has capacity beside the sender's own


def rounds_per_peer(members: int, fanout: int) -> int:
    """Gossip rounds from one datagram to a given peer to the next: each peer in turn, `fanout` per round."""
    return max(1, math.ceil((members - 1) / fanout))


def report_age_bound(
    interval: float, loss: float, delay: float, members: int, fanout: int, flush: float, doubt: float = 1e-4
) -> float:
    """The age of a member's report of another one, exceeded in a share `doubt` of all checks at most.

    A count waits `flush` to be stored and up to a round to be sent. Each attempt fails with probability
    `loss`, so ln(doubt) / ln(loss) attempts are needed, `rounds_per_peer` rounds apart; then the delay is
    added. Reports that come through other members only make it younger.
    """
    attempts = 1 if loss <= 0 else max(1, math.ceil(math.log(doubt) / math.log(loss)))
    return flush + attempts * rounds_per_peer(members, fanout) * interval + delay


def convergence_bound(
    interval: float, loss: float, delay: float, members: int, fanout: int, flush: float, gone: float,
    ended: int, doubt: float = 1e-4,
) -> float:  # fmt: skip
    """Seconds after `ended` incarnations ended until all present members hold the same counts of them.

    It is exceeded in a share `doubt` of all checks at most. It covers the detection of the ends, a digest of
    each incarnation between each pair of members, and the transfer of missing counts. An incarnation whose
    successor uses its address is detected with the successor's first datagram, any other after `gone`. A
    datagram has capacity for `DIGESTS_PER_DATAGRAM` incarnations, first those that ended.
    """
    reported = (1 - loss) * min(1.0, DIGESTS_PER_DATAGRAM / max(1, ended))
    attempts = max(1, math.ceil(math.log(doubt) / math.log(1 - reported))) if reported < 1 else 1
    once = flush + attempts * rounds_per_peer(members, fanout) * interval + delay
    return gone + 2 * once


def count_error(rate: float, age: float) -> float:
    """Messages by which the count of a tenant may lag, at this rate across the fleet."""
    return rate * age


def overshoot(quota: float, burst: float, members: int, age: float) -> float:
    """Messages over `quota * time + burst` that a whole fleet may accept, over any time.

    Until a count has reached the other members, they may accept as if those messages had not been accepted:
    at the quota, and with what is left of the burst. After that the counts show the excess, and it is repaid.
    Each member may round up by one message.
    """
    return members + (quota + burst / CATCH_UP_S) * age


def overshoot_split(quota: float, burst: float, members: int, age: float, gone: float) -> float:
    """As `overshoot`, for a split with `split = "share"`, which the sides detect up to `gone` apart."""
    return overshoot(quota, burst, members, age) + quota * min(gone, age)


def lost_on_kill(rate: float, flush: float) -> float:
    """Messages of one member that nobody has counted when it is killed: those of one flush interval."""
    return rate * flush
