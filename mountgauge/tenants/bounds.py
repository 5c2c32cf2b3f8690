"""The bounds that `docs/tenants.md` states, as functions. Times in seconds, rates in messages a second."""

from __future__ import annotations

import math

from mountgauge.tenants.quota import MAKE_UP

WORDS = 7  # lives that a datagram has room to speak of beside the sender's own


def rounds(members: int, fanout: int) -> int:
    """Gossip rounds from one datagram to a given peer to the next: each peer in turn, `fanout` a round."""
    return max(1, math.ceil((members - 1) / fanout))


def report_age_bound(
    interval: float, loss: float, delay: float, members: int, fanout: int, flush: float, doubt: float = 1e-4
) -> float:
    """How old a member's word of another may be, but for a share `doubt` of all looks.

    One count waits `flush` to be written down and up to a round to be sent; each try fails with probability
    `loss`, so ln(doubt) / ln(loss) tries are needed, a turn of the peers apart; then the delay passes. Word
    by way of others only makes it younger.
    """
    tries = 1 if loss <= 0 else max(1, math.ceil(math.log(doubt) / math.log(loss)))
    return flush + tries * rounds(members, fanout) * interval + delay


def convergence_bound(
    interval: float, loss: float, delay: float, members: int, fanout: int, flush: float, gone: float,
    ended: int, doubt: float = 1e-4,
) -> float:  # fmt: skip
    """Seconds after `ended` lives ended in which all members that are there hold the same of them, but for
    a share `doubt` of all looks: the ends are noticed, each pair speaks of each of them, and what is
    lacking is told.

    A life whose name goes on at its address is noticed with the heir's first datagram, another after
    `gone`. A datagram has room to speak of `WORDS` lives, those that ended first.
    """
    heard = (1 - loss) * min(1.0, WORDS / max(1, ended))
    tries = max(1, math.ceil(math.log(doubt) / math.log(1 - heard))) if heard < 1 else 1
    once = flush + tries * rounds(members, fanout) * interval + delay
    return gone + 2 * once


def count_error(rate: float, age: float) -> float:
    """Messages that a tenant's count may lag behind, at this rate across the fleet."""
    return rate * age


def overshoot(quota: float, burst: float, members: int, age: float) -> float:
    """Messages over `quota * time + burst` that a whole fleet may take, however long it goes on.

    Until word of what was taken has gone round, the members may take as if it had not been: at the quota,
    and with what the burst had left over. After that the counts say so, and it is paid back. Each member
    may round one message up.
    """
    return members + (quota + burst / MAKE_UP) * age


def overshoot_split(quota: float, burst: float, members: int, age: float, gone: float) -> float:
    """The same for a split with `split = "share"`, which the sides notice at most `gone` apart."""
    return overshoot(quota, burst, members, age) + quota * min(gone, age)


def lost_on_kill(rate: float, flush: float) -> float:
    """Messages of one member that nobody has counted when it is killed: those of one flush."""
    return rate * flush
