"""The time bounds that `docs/comeback.md` states, as functions. Times in seconds, rates in calls per second.

`members` is the number of senders in the settings (`senders`); every bound holds for 1 member as for 200.
"""

from __future__ import annotations

import math

RESTORED_PER_TURN = 256  # messages of a previous run that are passed to the module per check
CHECK_INTERVAL_S = 0.25  # between two checks of this process's clock
LIST_CALL_SHARE_S = 0.2  # of discovery's time that each member leaves to every other after a failed call


def restoring_time(messages: int, every: float = CHECK_INTERVAL_S) -> float:
    """Time until the module has all messages of a previous run; each check passes on a batch of them."""
    return every * max(0, math.ceil(messages / RESTORED_PER_TURN) - 1)


def learning_timeout(ask_within: float, members: int, joined: float = 0.0) -> float:
    """Time after which a member continues with the list that it has and the peers that it knows.

    A failed list call is repeated within a quarter of `ask_within`; where many fail at once, each member
    leaves time for the calls of the others. `joined` is the time that peers may take to answer.
    """
    return max(ask_within / 4 + min(LIST_CALL_SHARE_S * members, ask_within), joined)


def ramping_time(start: float, rise: float, cold: float, headroom: float) -> float:
    """Time until a destination that refuses nothing reaches its listed limit: the slower of two ramps.

    The send rate limit rises from the share `start` by `rise` per second, exponentially. Slow start allows
    `headroom` times a line that rises from `start` to the full limit in `cold` seconds.
    """
    by_answers = math.log(1 / start) / rise
    by_line = cold * max(0.0, 1 / headroom - start) / (1 - start)
    return max(by_answers, by_line)


def full_service_time(messages: int, ask_within: float, members: int, start: float, rise: float, cold: float,
                      headroom: float) -> float:  # fmt: skip
    """Time from accepting clients to full service, where nothing refuses and discovery answers."""
    return (
        restoring_time(messages)
        + learning_timeout(ask_within, members)
        + ramping_time(start, rise, cold, headroom)
        + 2 * CHECK_INTERVAL_S
    )


def pause_threshold(drain_grace: float) -> float:
    """The longest gap between two checks of the clock after which the known state is not yet stale.

    A drain notice must be applied within `drain_grace`, so no longer gap may stay unnoticed. On a starved
    machine checks are late by a few intervals, which does not count as a pause.
    """
    return max(drain_grace, 2 * CHECK_INTERVAL_S)


def stale_list_after(ask_within: float) -> float:
    """Silence of discovery after which its last answer counts as stale: twice what the settings allow."""
    return 2 * ask_within


def trial_interval(members: int, least: float = 0.5) -> float:
    """Time between two trials of one member at a destination that refuses everything."""
    return members / least


def fact_lifetime(deadline: float, cold: float) -> float:
    """How long an observed rate or outage is kept: after both times it has no meaning any more."""
    return max(deadline, cold)
