"""How soon discovery has to be called, derived from the platform's rule on drains and from the settings.

A change of the list counts as notified, whether or not it was received, at the latest `NOTIFIED_AFTER_S`
after discovery had it and could be reached. For a watch that no longer answers it also counts
`NOTIFIED_AFTER_WAIT_S` after the end of the watch's wait, if that is later; after discovery has moved to
another address, `NOTIFIED_AFTER_MOVE_S` after the move. Nothing new may be sent to a draining next hop
`drainGrace` after its change counts as notified. Every delay and back-off of the watch is computed from these
figures, so that the worst sum stays below them:

- Discovery is down and recovers right after a refused call. The next call follows after at most
  `max_back_off_s` x (1 + `JITTER`) + `spread_s`, `max_hedge_delay_s` later if that one is lost, and then its
  answer: 1.25 + 2.4 + 2.22 = 5.87 s of 6 s with hundreds of senders, 1.25 + 0.4 + 1.2 = 2.85 s with three.
- Discovery does not answer, then recovers. The next call is made at most `max_hedge_delay_s` after the last
  one, 1.2 s with up to twelve senders and 2.22 s from 23 on, and its answer is awaited for `call_timeout_s`,
  6.0 s, so that it is received even if it takes 4.8 s (3.78 s). At most `max_open_calls` calls, six, are open
  at the same time, beside the watch that was not answered.
- A watch is not answered. Further calls are made `ANSWER_MARGIN_S` after its wait and `first_hedge_delay_s`
  after that: 0.5 s and 1.0 s with up to five senders (1.7 s from twelve on: `silent_hedge_delay_s`) of 2 s.
- Discovery is up and rejects calls because it has too many. It could not be reached then, and calls that come
  faster than it can serve them only make it reject more. The calls are therefore spread over
  `busy_spread_s`, which is 0.4 s with three senders and may exceed 6 s with more than 30. A call is followed
  by another one only once it has ended, or after `call_timeout_s`.
- Discovery is down and reports it: it ends a watch that it had accepted (one that was open for
  `likely_accepted_after_s`) and refuses all calls after it. A 503 alone does not distinguish this from an
  overloaded discovery, so it does not renew the lease. The 503 that ends the watch itself renews the lease
  only where the watch was certainly not a new call that was rejected (`surely_accepted_after_s`).
- The network to discovery is cut, then restored. A connection that is not established costs discovery
  nothing, so another one is dialled after `probe_interval_s`: 0.15 s in a small fleet, so that a change which
  counts as notified when the cut ends is read within the grace; more with many senders, or once the cut has
  lasted long. Each dial is given `dial_timeout_s`, as connections may be established late. Only the first
  connection that is established carries a request. A dial that fails for a reason of this machine or of the
  network, and not by a refusal, is repeated after `probe_interval_s` x (1 to 1 + `JITTER`).
- Discovery moves. Calls are made at 0 s, `first_hedge_delay_s`, and so on, with `MOVE_PAUSE_S` after a
  refused one; each is awaited for `call_timeout_s`, so that a slow answer still counts.
- The lease on the list (`core/list_lease`) ends `known_within_s` plus the usable share of a drain's grace
  after the call that brought the newest evidence: 6.0 + 0.25 - 0.15 = 6.1 s. A watch therefore waits for at
  most `WAIT_SHARE` of `known_within_s`, 4 s: the two rules on silence, 6 s after it and 2 s after the wait,
  then give the same time, and a third of the time is left for the calls that replace a lost one.
- An answer was lost on its way. Nothing is sent by the list until another answer has been received.
  Discovery is called again at once, then after `lost_retry_s`. That is at least `BURST_S`, so that a second
  call is not broken by the same fault, 0.15 s in a small fleet and 1.2 s in a large one. It doubles up to
  four times that and up to `max_hedge_delay_s`. Without doubling, a fleet of eight senders made 48 calls a
  second; when it doubled up to `max_hedge_delay_s` alone, one of 24 senders found out 2.1 s late that it
  could send again.

`askWithin` is a further bound: after a failed call the rule allows a list for four times `askWithin`, so
small values of it scale down all of these figures. After a call that was answered it allows `askWithin` until
the next one, which a process can miss that was suspended meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass

from mountgauge.core.list_lease import BURST_S, LeaseTerms
from rillspindle.interface import Settings

NOTIFIED_AFTER_S = 6.0  # after discovery had a change and could be reached
NOTIFIED_AFTER_WAIT_S = 2.0  # after the wait of a watch that is not answered
NOTIFIED_AFTER_MOVE_S = 4.0  # after discovery has moved to another address
FAILED_CALL_FACTOR = 4  # times `askWithin`: how long the list may be used after a failed call
WATCH_GAP_S = 0.2  # two calls this close count as one watch: changes in between count as notified

ANSWER_MARGIN_S = 0.5  # after the end of its wait a watch without an answer counts as silent
MAX_WAIT_S = 60.0  # for which discovery holds a call
WAIT_SHARE = 2 / 3  # of the time in which a change counts as notified: the longest wait of a watch
# Share of a watch's wait by which discovery, if it rejects the call, has mostly done so: a watch that is
# ended later had probably been accepted.
LIKELY_ACCEPTED_SHARE = 1 / 8
SURELY_ACCEPTED_SHARE = 5 / 8  # the same for certain: an overloaded discovery queues no call for so long
REFUSAL_TRANSIT_S = 1.0  # longest time that the answer to a rejected call is in transit
WAIT_ROUNDING_S = 0.01  # a wait may appear shorter to the caller than to discovery by this
PUSHED_WAIT_S = 2.0  # the wait of a watch at the agent on this machine, whose calls are cheap
SHORT_WAIT_S = 0.001  # of a short call, which is answered at once, with changes or without

SPREAD_PER_SENDER_S = 0.2  # of discovery's time, reserved for each other sender after a failed call
JITTER = 0.25  # share by which back-offs are randomised
FIRST_BACK_OFF_S = 0.25  # doubles with each consecutive failure
MOVE_PAUSE_S = 0.1  # after a refused call until the list of a new address is received
MIN_HEDGE_DELAY_S = 0.5  # until a call without an answer is followed by another one, in a small fleet
HEDGE_DELAY_PER_SENDER_S = 0.1  # so that a busy discovery does not get twice the calls

PROBE_S = 0.15  # between two dials while no connection is established, in a small fleet
PROBE_INTERVAL_PER_SENDER_S = 0.01  # the least for each sender, as all of them reconnect at the same time
MAX_LOST_RETRY_FACTOR = 4  # times the probe interval: the longest pause between calls after a lost answer
PROBE_INTERVAL_SHARE = 1 / 40  # of the time without a connection: a long cut is probed less often
DIAL_TIMEOUT_S = 2.0

# Largest share of the notified time until a second call is made in a large fleet: a busy discovery answers
# late, and a second call would only add to its load.
MAX_HEDGE_DELAY_SHARE = 0.37
BUSY_SPREAD_SHARE = 0.75  # the same after a rejected call: the next one is made within the lease
SPREAD_SHARE = 0.4  # largest share of it over which calls are spread after one that failed

IMMEDIATE_ANSWER_S = 0.05  # a watch that is answered sooner did not wait for changes
# Pauses after a watch that was answered at once without changes. They are longer than `WATCH_GAP_S`: a
# shorter pause would count as part of the watch, and a change in it as notified before it can be read.
FIRST_REPEAT_PAUSE_S = 0.3
MAX_REPEAT_PAUSE_S = 2.0
# Where an agent pushes lists, its changes count as notified at once, also during a pause. The next call must
# be in flight within a drain's grace less a hold-up of 0.15 s, or nothing is sent until it is answered.
PUSHED_REPEAT_PAUSE_S = 0.08


@dataclass(frozen=True, slots=True)
class WatchBounds:
    """The delays and timeouts of one sender's watch, in seconds; see the module's documentation."""

    pushed: bool  # an agent on this machine pushes lists: its changes count as notified at once
    wait_s: float  # for which a watch asks discovery to wait for changes
    likely_accepted_after_s: float  # after which an ended watch shows an outage
    surely_accepted_after_s: float  # after which it was certainly not rejected
    known_within_s: float  # a change must be read within this time after discovery can be reached
    first_hedge_delay_s: float  # until a second call is made; doubles up to the next one
    max_hedge_delay_s: float
    silent_hedge_delay_s: float  # upper bound for the first call after a silent watch
    call_timeout_s: float  # of a short call; a watch's begins after its wait
    dial_timeout_s: float
    min_probe_interval_s: float  # between two dials while no connection is established
    max_back_off_s: float  # after a failed call, without jitter and spread
    spread_s: float  # random addition to it, so that the calls of many senders are spread out
    busy_spread_s: float  # the same after a call that discovery rejected because it has too many
    max_repeat_pause_s: float  # after watches that were answered at once without changes
    lease: LeaseTerms  # on the list

    @classmethod
    def of(cls, rules: Settings) -> WatchBounds:
        """Derive the bounds from the settings."""
        known_within = min(NOTIFIED_AFTER_S, FAILED_CALL_FACTOR * rules.ask_within)
        small_fleet_max = known_within / 5
        crowded_max = MAX_HEDGE_DELAY_SHARE * known_within
        sharing = rules.balancers if rules.subscribe else 1  # each machine has its own agent
        crowded = HEDGE_DELAY_PER_SENDER_S * sharing
        wait = PUSHED_WAIT_S
        if rules.subscribe:
            wait = min(MAX_WAIT_S, rules.ask_within, WAIT_SHARE * known_within)
        others = SPREAD_PER_SENDER_S * (sharing - 1)
        return cls(
            pushed=not rules.subscribe,
            wait_s=wait,
            likely_accepted_after_s=LIKELY_ACCEPTED_SHARE * wait,
            surely_accepted_after_s=SURELY_ACCEPTED_SHARE * wait,
            known_within_s=known_within,
            first_hedge_delay_s=min(crowded_max, max(min(MIN_HEDGE_DELAY_S, small_fleet_max), crowded)),
            max_hedge_delay_s=max(small_fleet_max, min(crowded_max, crowded)),
            silent_hedge_delay_s=small_fleet_max,
            call_timeout_s=known_within,
            dial_timeout_s=min(DIAL_TIMEOUT_S, known_within),
            min_probe_interval_s=min(small_fleet_max, max(PROBE_S, PROBE_INTERVAL_PER_SENDER_S * sharing)),
            max_back_off_s=known_within / 6,
            spread_s=min(others, SPREAD_SHARE * known_within),
            busy_spread_s=min(others, rules.ask_within, BUSY_SPREAD_SHARE * known_within),
            max_repeat_pause_s=(
                max(FIRST_REPEAT_PAUSE_S, min(MAX_REPEAT_PAUSE_S, rules.ask_within / 2))
                if rules.subscribe
                else PUSHED_REPEAT_PAUSE_S
            ),
            lease=LeaseTerms(
                known_within,
                rules.drain_grace,
                NOTIFIED_AFTER_MOVE_S,
                pushed=not rules.subscribe,
                unasked_s=rules.ask_within,
            ),
        )

    @property
    def renewal_s(self) -> float:
        """The time before the end of the lease in which an unanswered watch is detected and replaced."""
        return ANSWER_MARGIN_S + self.silent_hedge_delay_s

    @property
    def max_open_calls(self) -> int:
        """How many short calls are open at the same time, at most.

        They are made `first_hedge_delay_s`, twice that and then `max_hedge_delay_s` after one another, and
        each is open for `call_timeout_s`.
        """
        made, at = 0, 0.0
        while at < self.call_timeout_s:
            made += 1
            at += self.hedge_delay_s(made)
        return made

    def hedge_delay_s(self, calls: int) -> float:
        """The delay until another call is made, after so many calls without an answer."""
        return min(self.first_hedge_delay_s * 2.0 ** (calls - 1), self.max_hedge_delay_s)

    def probe_interval_s(self, unreachable_s: float) -> float:
        """The time between two dials, after so long without a connection."""
        return min(
            max(self.min_probe_interval_s, PROBE_INTERVAL_SHARE * unreachable_s), self.max_hedge_delay_s
        )

    def back_off_s(self, failures: int, draw: float, busy: bool = False) -> float:
        """The pause after so many consecutive failures; `draw` is a random number from 0 to 1. `busy`:
        discovery is up and rejected the call.
        """
        base = min(FIRST_BACK_OFF_S * 2.0 ** (failures - 1), self.max_back_off_s)
        return base * (1 + JITTER * draw) + (self.busy_spread_s if busy else self.spread_s) * draw

    def lost_retry_s(self, losses: int, draw: float) -> float:
        """The pause until the next call after so many consecutive answers were lost, each of which has cost
        discovery work; `draw` is a random number from 0 to 1.
        """
        base = min(
            self.min_probe_interval_s * 2.0 ** max(0, losses - 2),
            MAX_LOST_RETRY_FACTOR * self.min_probe_interval_s,
            self.max_hedge_delay_s,
        )
        return max(BURST_S, base) * (1 + JITTER * draw)

    def repeat_pause_s(self, repeats: int) -> float:
        """The pause after so many consecutive watches that were answered at once without changes."""
        return min(FIRST_REPEAT_PAUSE_S * 2.0 ** (repeats - 1), self.max_repeat_pause_s)
