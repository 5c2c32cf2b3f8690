"""Time settings of followers, and the bounds that `docs/sharding.md` states as functions. In seconds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Time settings of those who follow a relay or discovery."""

    wait_s: float = 1.0  # how long a relay may hold an ask
    silence_s: float = 0.6  # beyond `wait_s`, until an ask times out
    first_pause_s: float = 1.0  # upper bound of the pause after the first failure
    longest_pause_s: float = 3.0  # upper bound of the pause after consecutive failures
    home_after_s: float = 60.0  # mean time on another zone's relay before the own zone is tried again
    max_behind_s: float = 2.0  # how long a relay may be behind its asker before another one is asked
    list_limit_s: float = 10.0  # time-out of a call for discovery's full list
    reread_s: float = 30.0  # between full lists while the last one had unreadable entries

    @property
    def limit_s(self) -> float:
        """The time-out of an ask."""
        return self.wait_s + self.silence_s

    def pause_s(self, failures: int, draw: float) -> float:
        """Return the pause before the next call after consecutive failures; `draw` is uniform in [0, 1)."""
        return draw * min(self.longest_pause_s, self.first_pause_s * 2.0 ** min(failures - 1, 16))


# For relays, which poll more often than senders: they are few, and every sender depends on them.
RELAY_TIMING = Timing(wait_s=0.5, silence_s=0.5, first_pause_s=0.3)


def steady_staleness(timings: Sequence[Timing], delay_s: float) -> float:
    """Return the greatest age of a sender's information while no message is lost.

    `timings` has one element for each hop, starting at discovery. Each hop receives an answer at least once
    in a wait and a round trip. A relay's answer is dated to when it was sent, discovery's to when the call
    was made, which is a wait and a round trip earlier.
    """
    return sum(one.wait_s + 2 * delay_s for one in (timings[0], *timings))


def in_force_within(timings: Sequence[Timing], delay_s: float, losses: int = 0) -> float:
    """Return the longest time from a change at discovery until a sender applies it.

    `losses` is the number of messages lost on the way. At each hop an answer may have been sent just before
    the change; the next ask then arrives a round trip later and is answered at once.
    """
    slowest = max(one.limit_s for one in timings)
    return len(timings) * 3 * delay_s + losses * (slowest + 2 * delay_s)


def relay_replaced_within(timing: Timing, delay_s: float, silent: bool) -> float:
    """Return the longest time from the loss of a relay until its asker has an answer of another one.

    A killed relay resets its connections. A relay that becomes unreachable (`silent`) is detected by two
    calls that time out.
    """
    detected_after = 2 * timing.limit_s if silent else delay_s + timing.first_pause_s
    return detected_after + 2 * delay_s


def current_after_healing(timings: Sequence[Timing], delay_s: float, losses: int = 0) -> float:
    """Return the longest time from the end of a network partition until each sender is up to date.

    Each hop reconnects independently, after the time-out of a call that was in flight and the longest
    pause. The changes then pass hop by hop.
    """
    slowest = max(one.limit_s + one.longest_pause_s for one in timings)
    return slowest + in_force_within(timings, delay_s, losses)


def moved_asks(askers: int, relays_left: int, timing: Timing) -> float:
    """Return the additional asks per second at each remaining relay after one relay is lost.

    Each asker chooses its next relay at random, and asks once within the first pause and then once per wait.
    """
    return askers / relays_left / min(timing.first_pause_s, timing.wait_s)
