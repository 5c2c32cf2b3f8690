"""The bounds that `docs/comeback.md` states, as functions. Times in seconds, rates in calls a second.

`members` is what the settings count (`senders`); every bound is right at 1 as at 200.
"""

from __future__ import annotations

import math

RESTORED_PER_TURN = 256  # messages of an earlier life that one look gives back to the module
CHECK_INTERVAL_S = 0.25  # between two looks at the own clock
LIST_CALL_S = 0.2  # of discovery's time that each member leaves for every other after a failed call


def restoring(messages: int, every: float = CHECK_INTERVAL_S) -> float:
    """In which all that an earlier life held is back with the module: a part of it each look."""
    return every * max(0, math.ceil(messages / RESTORED_PER_TURN) - 1)


def learning(ask_within: float, members: int, joined: float = 0.0) -> float:
    """After which a member goes on with the list that it has, and with the peers that it has heard.

    A failed list call is made again within a quarter of `ask_within`; where many fail at once each leaves
    the others their turns. `joined` is what peers may take to be heard.
    """
    return max(ask_within / 4 + min(LIST_CALL_S * members, ask_within), joined)


def ramping(start: float, rise: float, cold: float, headroom: float) -> float:
    """In which a destination that refuses nothing is at its listed limit: the slower of two rises.

    The pace rises from the part `start` by `rise` each second, exponentially; slow start lets through
    `headroom` times the cold start's line from `start` to all of it in `cold` seconds.
    """
    by_answers = math.log(1 / start) / rise
    by_line = cold * max(0.0, 1 / headroom - start) / (1 - start)
    return max(by_answers, by_line)


def full_service(messages: int, ask_within: float, members: int, start: float, rise: float, cold: float,
                 headroom: float) -> float:  # fmt: skip
    """From clients being let in to full service, where nothing refuses and discovery answers."""
    return (
        restoring(messages)
        + learning(ask_within, members)
        + ramping(start, rise, cold, headroom)
        + 2 * CHECK_INTERVAL_S
    )


def pause_threshold(drain_grace: float) -> float:
    """A gap between two looks at the clock after which what is known is too old to act on.

    Word of a drain must be heeded within `drain_grace`, so no more than that may have gone by unseen; a
    starved machine is late by some ticks of the pulse, which is no pause.
    """
    return max(drain_grace, 2 * CHECK_INTERVAL_S)


def list_too_old(ask_within: float) -> float:
    """Silence of discovery after which its last word is said to be old: twice what the settings allow."""
    return 2 * ask_within


def trials(members: int, least: float = 0.5) -> float:
    """Seconds between two trials of one member at a destination that refuses everything."""
    return members / least


def remembered(deadline: float, cold: float) -> float:
    """How long a pace or an outage that was seen is worth remembering: past both it says nothing."""
    return max(deadline, cold)
