"""How soon discovery has to be asked, derived from the platform's rule on drains and the settings.

A change of the list counts as notified, whether or not it arrived, at the latest `NOTIFIED_AFTER_S` after
discovery had it and could be reached; for a watch that has fallen silent also `NOTIFIED_AFTER_WAIT_S` after
its wait, if that is later; after a move of discovery's address `NOTIFIED_AFTER_MOVE_S`. Nothing new may go to
a draining next hop `drainGrace` after that. Every limit and back-off of the watch is a formula of these
figures, so that the worst sum of them stays below:

- Discovery is down, then comes back right after a refused call: `back_off_most_s` x (1 + `JITTER`) +
  `spread_s` until the next call, `limit_most_s` more if that one is lost, then the answer:
  1.25 + 2.4 + 2.22 = 5.87 s of 6 s with hundreds of senders, 1.25 + 0.4 + 1.2 = 2.85 s with three.
- Discovery is silent, then comes back: the next call is made at the latest `limit_most_s` after the one
  before, 1.2 s up to twelve senders and 2.22 s from 23 on, and is listened to for `call_life_s`, 6.0 s, so
  that it is heard though its answer takes 4.8 s (3.78 s). At most `most_open_calls` are listened to at once,
  six, and the watch that fell silent.
- A watch falls silent: further calls are made `ANSWER_MARGIN_S` after its wait and `first_limit_s` after
  that, 0.5 s and 1.0 s with up to five senders (1.7 s from twelve on: `silent_limit_s`) of 2 s.
- Discovery is there and turns calls away, as it has too many: it could not be reached, and asking sooner than
  it works off only makes it turn more away. Then calls are spread over `busy_spread_s`, which with three
  senders is 0.4 s and may pass 6 s with more than 30.
- Discovery is down, and says so: it ends a watch that was out (for `out_after_s`), and refuses all calls
  behind it. A 503 alone does not tell that from a crowded discovery: it renews nothing. That of the watch
  itself renews where it surely was no new call that was turned away (`taken_after_s`).
- The way to discovery is cut, and comes back: a connection that does not come up costs discovery nothing, so
  another one is begun after `probe_s`: 0.15 s in a small fleet, so that a change which counts as notified
  when the cut ends is read within the grace; more with many senders, or once it has lasted for long. Each is
  waited for as long as `dial_life_s`, as connections may come up late. Only the first that comes up asks. A
  dial that fails for a reason of this machine or the way to discovery, and not by a refusal, is made again
  after `probe_s` x (1 to 1 + `JITTER`).
- Discovery moves: calls at 0 s, `first_limit_s`, and so on, with `MOVE_PAUSE_S` after a refused one; each is
  listened to for `call_life_s`, so that a slow one still counts.
- The lease on the list (`core/list_lease`) ends `known_within_s` and what is left of a drain's grace after
  the call that the newest evidence came with: 6.0 + 0.25 - 0.15 = 6.1 s. So a watch waits `WAIT_SHARE` of
  `known_within_s`, 4 s: both of the page's sentences on silence, 6 s after it and 2 s after the wait, then
  give the same moment, and a third of the time is left for the calls that take a lost one's place.
- An answer was lost on its way: nothing is sent by the list until another one has come. Discovery is asked
  again at once, then after `lost_retry_s`, which is `BURST_S` at least, so that a second call that breaks is
  not struck by the same fault, and 0.15 s in a small fleet and 1.2 s in a large one; it doubles up to four
  times that and `limit_most_s`: a fleet of eight asked 48 times a second with a pause that did not; up to
  `limit_most_s` alone, one of 24 heard 2.1 s late that it could.

`askWithin` bounds them as well: a sender whose call has failed is held to what was listed four times as long
ago, so small values of it scale all of these figures down.
"""

from __future__ import annotations

from dataclasses import dataclass

from mountgauge.core.list_lease import BURST_S, LeaseTerms
from rillspindle.interface import Settings

NOTIFIED_AFTER_S = 6.0  # after discovery had a change and could be reached
NOTIFIED_AFTER_WAIT_S = 2.0  # after the wait of a watch that has fallen silent
NOTIFIED_AFTER_MOVE_S = 4.0  # after discovery's address has moved
FAILED_CALL_FACTOR = 4  # times `askWithin`: how long the list holds after a failed call
WATCH_GAP_S = 0.2  # between two calls up to which they are one watch: changes in it count as notified

ANSWER_MARGIN_S = 0.5  # past its wait after which a watch without an answer is taken to be silent
MOST_WAIT_S = 60.0  # that discovery lets a call wait
WAIT_SHARE = 2 / 3  # of the notified time, that a watch waits at most
# Of a watch's wait, after which discovery, if it is to turn the call away, mostly has: a watch that it ends
# later was out.
OUT_SHARE = 1 / 8
TAKEN_SHARE = 5 / 8  # the same, surely: a crowded discovery lets no call queue for so long
REFUSAL_TRANSIT_S = 1.0  # that an answer which turns a call away may be on its way, at most
WAIT_ROUNDING_S = 0.01  # by which a wait may seem shorter to the one who waits than to discovery
PUSHED_WAIT_S = 2.0  # where an agent on this machine is asked, which costs nobody anything
SHORT_WAIT_S = 0.001  # of a call that is to be answered at once, with changes or without

DISCOVERY_CALL_S = 0.2  # of discovery's time that is left for each other sender after a failed call
JITTER = 0.25  # share by which back-offs are spread
FIRST_BACK_OFF_S = 0.25  # doubles with each failure in a row
MOVE_PAUSE_S = 0.1  # after a refused call while the list of a new address is owed
LEAST_LIMIT_S = 0.5  # after which a call without an answer gets company, in a small fleet
LIMIT_PER_SENDER_S = 0.1  # of it for each sender: a crowded discovery is not asked twice as often

PROBE_S = 0.15  # between two connections that are begun while none comes up, in a small fleet
PROBE_PER_SENDER_S = 0.01  # the same for each sender: they all come back at one time
MOST_LOST_RETRY = 4  # times the probe: the longest pause between two calls while an answer is lost
PROBE_DECAY = 1 / 40  # of the time for which none has come up: a long cut is probed less often
DIAL_LIFE_S = 2.0  # for which a connection may take to come up

# The most of the notified time that a call waits alone in a large fleet: a crowded discovery answers late,
# and a second call would only crowd it further.
CROWDED_LIMIT_SHARE = 0.37
BUSY_SPREAD_SHARE = 0.75  # the same after a call that was turned away: the next one comes within the lease
SPREAD_SHARE = 0.4  # the most of it over which calls are spread after one that could not be made

AT_ONCE_S = 0.05  # a watch that is answered sooner did not wait for changes
# Rests after a watch that was answered at once with nothing newer. Longer than `WATCH_GAP_S`: a shorter one
# would belong to the watch, and what changes in it would be notified before it can be read.
FIRST_REST_S = 0.3
MOST_REST_S = 2.0
# Where lists are pushed, what the agent has counts as notified at once, also during a rest: the next call has
# to be out within the grace of a drain less a hold-up of 0.15 s, or only its answer lets calls go again.
PUSHED_REST_S = 0.08


@dataclass(frozen=True, slots=True)
class WatchBounds:
    """The limits of one sender's watch, in seconds; see the module's formulas."""

    pushed: bool  # an agent on this machine pushes lists: what it has counts as told, asked for or not
    wait_s: float  # that a watch asks discovery to wait for changes
    out_after_s: float  # of its wait, behind which a watch that is ended shows an outage
    taken_after_s: float  # behind which it has surely not been turned away
    known_within_s: float  # after discovery can be reached, in which a change must have been read
    first_limit_s: float  # after which a call without an answer gets company; doubles up to the next
    limit_most_s: float
    silent_limit_s: float  # the most of it for the first call after a watch that fell silent
    call_life_s: float  # in which a call that was to be answered at once is listened to
    dial_life_s: float  # for which a connection may take to come up
    least_probe_s: float  # between two connections while none comes up
    back_off_most_s: float  # after a failed call, without jitter and spread
    spread_s: float  # at random on top of it, so that many senders find a place in discovery's time
    busy_spread_s: float  # the same after a call that discovery has turned away: it has too many
    rest_most_s: float
    lease: LeaseTerms  # on the list

    @classmethod
    def of(cls, rules: Settings) -> WatchBounds:
        """The bounds that these settings imply."""
        known_within = min(NOTIFIED_AFTER_S, FAILED_CALL_FACTOR * rules.ask_within)
        limit_most = known_within / 5
        crowd_limit = CROWDED_LIMIT_SHARE * known_within
        sharing = rules.balancers if rules.subscribe else 1  # each machine has an agent of its own
        crowded = LIMIT_PER_SENDER_S * sharing
        wait = PUSHED_WAIT_S
        if rules.subscribe:
            wait = min(MOST_WAIT_S, rules.ask_within, WAIT_SHARE * known_within)
        others = DISCOVERY_CALL_S * (sharing - 1)
        return cls(
            pushed=not rules.subscribe,
            wait_s=wait,
            out_after_s=OUT_SHARE * wait,
            taken_after_s=TAKEN_SHARE * wait,
            known_within_s=known_within,
            first_limit_s=min(crowd_limit, max(min(LEAST_LIMIT_S, limit_most), crowded)),
            limit_most_s=max(limit_most, min(crowd_limit, crowded)),
            silent_limit_s=limit_most,
            call_life_s=known_within,
            dial_life_s=min(DIAL_LIFE_S, known_within),
            least_probe_s=min(limit_most, max(PROBE_S, PROBE_PER_SENDER_S * sharing)),
            back_off_most_s=known_within / 6,
            spread_s=min(others, SPREAD_SHARE * known_within),
            busy_spread_s=min(others, rules.ask_within, BUSY_SPREAD_SHARE * known_within),
            rest_most_s=(
                max(FIRST_REST_S, min(MOST_REST_S, rules.ask_within / 2))
                if rules.subscribe
                else PUSHED_REST_S
            ),
            lease=LeaseTerms(
                known_within, rules.drain_grace, NOTIFIED_AFTER_MOVE_S, pushed=not rules.subscribe
            ),
        )

    @property
    def renewal_s(self) -> float:
        """Before the end of the lease, in which a watch without an answer is found out and followed."""
        return ANSWER_MARGIN_S + self.silent_limit_s

    @property
    def most_open_calls(self) -> int:
        """How many calls that are to be answered at once are listened to at once, at most.

        Made `first_limit_s`, twice that and then `limit_most_s` after one another, for `call_life_s`.
        """
        made, at = 0, 0.0
        while at < self.call_life_s:
            made += 1
            at += self.hedge_delay_s(made)
        return made

    def hedge_delay_s(self, calls: int) -> float:
        """How long the newest of so many calls without an answer waits alone before another one is made."""
        return min(self.first_limit_s * 2.0 ** (calls - 1), self.limit_most_s)

    def probe_s(self, unreachable_s: float) -> float:
        """The time between two connections, when none has come up for so long."""
        return min(max(self.least_probe_s, PROBE_DECAY * unreachable_s), self.limit_most_s)

    def back_off_s(self, failures: int, draw: float, busy: bool = False) -> float:
        """The pause after so many failures in a row; `draw` is a random number of 0 to 1. `busy`: discovery
        is there, and has turned the call away.
        """
        base = min(FIRST_BACK_OFF_S * 2.0 ** (failures - 1), self.back_off_most_s)
        return base * (1 + JITTER * draw) + (self.busy_spread_s if busy else self.spread_s) * draw

    def lost_retry_s(self, losses: int, draw: float) -> float:
        """The pause between two calls while an answer is lost, after so many that were lost in a row: each of
        them has cost discovery something. `draw` is a random number of 0 to 1.
        """
        base = min(
            self.least_probe_s * 2.0 ** max(0, losses - 2),
            MOST_LOST_RETRY * self.least_probe_s,
            self.limit_most_s,
        )
        return max(BURST_S, base) * (1 + JITTER * draw)

    def rest_s(self, repeats: int) -> float:
        """The rest after so many watches in a row that were answered at once with nothing newer."""
        return min(FIRST_REST_S * 2.0 ** (repeats - 1), self.rest_most_s)
