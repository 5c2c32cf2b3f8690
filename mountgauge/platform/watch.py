"""When to ask discovery, and how long to wait for it: a state machine without I/O or clock.

It is the only place that decides this. Its driver makes the calls that `poll` returns and closes those that
it drops, tells when the connection of a call has come up (`connected`), each answer (`answered`) and failure
(`failed`), and polls again at `wakes_at`.

While all goes well one call is out: a watch, which discovery answers once something is newer or the wait is
over, followed at once by the next. As soon as one has failed or fallen silent, calls ask to be answered at
once, until one has been: a watch that waits could hide for its whole wait that it is lost as well, and what
changed meanwhile counts as notified long before (`watch_bounds`).

A call without an answer gets company before it is given up. Until a newer call is answered, or `call_life_s`
is over, it is still listened to: what discovery has written counts as notified, and a slow discovery would
never answer if each call were cut off for the next. The same holds for calls to an address that has been
moved away from, until the new one has answered.

While no connection comes up, others are begun at short intervals, and the first one that does asks: the way
to discovery may be back at any moment, and what changed before may count as notified just then.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from random import Random

from mountgauge.core.list_lease import LeaseEnd, ListLease, Loss
from mountgauge.platform.list_call import (
    DroppedCall,
    DropReason,
    Failure,
    ListCall,
    Step,
    known_at,
    refused_at,
)
from mountgauge.platform.watch_bounds import (
    ANSWER_MARGIN_S,
    AT_ONCE_S,
    JITTER,
    MOVE_PAUSE_S,
    NOTIFIED_AFTER_MOVE_S,
    SHORT_WAIT_S,
    WAIT_ROUNDING_S,
    WatchBounds,
)


@dataclass(slots=True)
class _Progress:
    """What has happened since discovery last answered."""

    failures: int = 0  # calls that failed
    short_calls: int = 0  # calls to be answered at once that were asked
    unreachable_since: float | None = None  # the first connection was begun that has not come up
    lost: bool = False  # a call has failed or fallen silent: the next ones are short
    watch_silent: bool = False  # a watch was asked and not answered in time
    losses: int = 0  # answers that may have been lost, one after another
    repeats: int = 0  # watches answered at once with nothing newer
    down: bool = False  # discovery has ended a watch that was out, and refused each call since


class DiscoveryWatch:
    """The calls of one sender to discovery. Times are of the caller's monotonic clock, in seconds."""

    def __init__(self, bounds: WatchBounds, rng: Random) -> None:
        self.bounds = bounds
        self._rng = rng
        self._on = False
        self._open: list[ListCall] = []  # in the order in which they were made
        self._dropped: list[DroppedCall] = []
        self._connected_at: dict[ListCall, float] = {}  # of the open ones
        self._next_at = inf  # when the next call is to be made
        self._number = 0
        self._address = 0
        self._moved_at = -inf
        self._whole = False  # the next call asks for the whole list
        self._lease = ListLease(bounds.lease)
        self._since_answer = _Progress(lost=True)  # the first call is short: nothing is known yet

    @property
    def on(self) -> bool:
        """Whether discovery is to be asked at all."""
        return self._on

    @property
    def address(self) -> int:
        """The number of the address that is asked now."""
        return self._address

    @property
    def failures(self) -> int:
        """Calls that have failed since the last answer."""
        return self._since_answer.failures

    @property
    def open_calls(self) -> tuple[ListCall, ...]:
        """The calls that are out, the newest last."""
        return tuple(self._open)

    def list_age_s(self, now: float) -> float:
        """How old the newest evidence for the list is; infinite where there is none."""
        return now - self._lease.evidence_at

    def lease_ended(self, now: float) -> LeaseEnd | None:
        """Why nothing may be sent by the list now; None: it may."""
        return self._lease.ended(now)

    def cut_off(self, now: float) -> bool:
        """Whether the lease has ended and no connection comes up: nothing may be sent, and the platform can't
        be told of an end either.
        """
        hung = self._since_answer.unreachable_since is not None
        return hung and self._lease.ended(now) is not None

    def start(self, now: float) -> None:
        """Watch from now on; nothing changes where it does already."""
        if not self._on:
            self._on = True
            self._next_at = now
        if self._number == 0:
            self._lease.begin(now)

    def stop(self, now: float) -> None:
        """End all calls and make no more."""
        self._on = False
        self._next_at = inf
        self._drop(self._open, DropReason.STOPPED, now)

    def retune(self, bounds: WatchBounds, now: float) -> None:
        """Heed new settings; a watch that waits longer than they allow gets company when theirs is over."""
        self.bounds = bounds
        self._lease.terms = bounds.lease
        if self._open and not self._open[-1].short:
            self._next_at = min(self._next_at, now + bounds.wait_s + ANSWER_MARGIN_S)

    def move(self, now: float) -> None:
        """Discovery has another address: ask there for the whole list, and keep asking until it has come."""
        self._address += 1
        self._moved_at = now
        self._lease.moved(now)
        self.ask_whole(now)

    def ask_whole(self, now: float) -> None:
        """Ask for the whole list at once, whatever is out: a watch may wait long for a change."""
        asking = self._open and self._open[-1].index is None and self._open[-1].address == self._address
        if asking and self._since_answer.short_calls <= 1:
            return
        self._whole = True
        self._since_answer = _Progress(lost=True)
        if self._on:
            self._next_at = now

    def poll(self, now: float, version: int) -> Step:
        """The calls to make and to close now; `version` is the newest that is known, negative for none."""
        overdue = [call for call in self._open if now >= self._listened_to_until(call)]
        self._drop([call for call in overdue if call in self._connected_at], DropReason.NO_ANSWER, now)
        self._drop([call for call in overdue if call in self._open], DropReason.NO_CONNECTION, now)
        make = []
        if self._on and now >= self._next_at:
            self._note_lateness()
            make.append(self._make(now, version))
        drop, self._dropped = tuple(self._dropped), []
        return Step(tuple(make), drop)

    def connected(self, call: ListCall, now: float) -> bool:
        """The connection of the call has come up; whether it is to ask."""
        if call not in self._open:
            return False
        state = self._since_answer
        state.unreachable_since = None
        if self._is_needless(call, now):
            self._forget(call, now)
            return False
        self._connected_at[call] = now
        self._lease.asked(call.made_at, now)
        if not call.short:
            self._next_at = now + call.wait_s + ANSWER_MARGIN_S
        else:
            state.short_calls += 1
            limit = self.bounds.hedge_delay_s(state.short_calls)
            if state.watch_silent and state.short_calls == 1:
                limit = min(limit, self.bounds.silent_limit_s)
            self._next_at = now + limit
        return True

    def unsent(self, now: float) -> None:
        """The call that has just been asked lies unsent."""
        self._lease.not_asked(now)

    def sent(self, call: ListCall, now: float) -> None:
        """It has left in full, late."""
        if call not in self._connected_at:
            return
        self._lease.asked(call.made_at, now)
        if self._lease.lacks_answer and not call.short:  # it would wait for a change before it is answered
            self._since_answer.lost = True
            self._next_at = now

    def wakes_at(self) -> float:
        """When to poll next, if nothing happens before."""
        return min([self._next_at, *map(self._listened_to_until, self._open)])

    def answered(
        self,
        call: ListCall,
        version: int,
        now: float,
        incomplete: bool = False,
        unwritten_at: float = -inf,
    ) -> bool:
        """A list of this version has come; whether it is to be taken in.

        `incomplete`: it tells of a change without saying of which next hop. `unwritten_at`: when nothing of
        it had arrived yet, as far as is known.
        """
        if call not in self._open:
            return False
        older = self._open[: self._open.index(call)]
        self._note_coverage(call, max(unwritten_at, known_at(call, version, now)), now)
        self._forget(call, now)
        if call.address != self._address or (self._whole and call.index is not None):
            return True  # the list that is asked for is still to come
        self._lease.confirm(known_at(call, version, now))
        self._drop(older, DropReason.NEWER_ANSWERED, now)
        before, self._since_answer = self._since_answer, _Progress()
        self._whole = False
        if call.short:
            self._since_answer.repeats = before.repeats
        if incomplete:
            self._whole = self._since_answer.lost = True
            self._lease.lose(Loss.CERTAIN, now)
        if self._lease.lacks_answer:  # the call that answers it is not to wait for a change
            self._since_answer.lost = True
        self._drop([one for one in self._open if one not in self._connected_at], DropReason.NEEDLESS, now)
        if self._open and not incomplete:
            return True  # a newer call is out, and will be answered
        self._next_at = now
        at_once = not call.short and now - call.made_at < AT_ONCE_S
        if at_once and call.index is not None and version <= call.index:
            # Discovery contradicts itself, or has gone back to an older list: not asked without a rest.
            # What changes in the rest may count as notified soon after it: the next call is short.
            self._since_answer.repeats = before.repeats + 1
            self._since_answer.lost = True
            self._next_at = now + self.bounds.rest_s(self._since_answer.repeats)
        return True

    def _note_coverage(self, call: ListCall, written_after: float, now: float) -> None:
        """Where lists are pushed, a call has to be out all the time. This one was answered at an unknown
        moment after `written_after`, however late it is read, and the next one is out from when it was asked.
        """
        if not self.bounds.pushed:
            return
        uncovered_since = min(now, written_after)
        newer = [other for other in self._connected_at if other.number > call.number]
        if not newer:
            self._lease.not_asked(uncovered_since)
        covered_from = min((self._connected_at[other] for other in newer), default=now)
        if covered_from - uncovered_since >= self._lease.terms.not_asked_s:
            self._lease.lose(Loss.POSSIBLE, min((other.made_at for other in newer), default=now))

    def failed(self, call: ListCall, failure: Failure, now: float) -> None:
        """The call has ended without a list."""
        if call not in self._open:
            return
        lost = self._note_end(call, failure, now)
        if failure is Failure.UNREACHED:
            self._unreached(call, now)
            return
        state = self._since_answer
        hung = state.unreachable_since is not None and call.address == self._address
        reachable_again = hung and call not in self._connected_at
        self._forget(call, now)
        if self._is_replaced(call) and not reachable_again:
            return
        state.lost = True
        state.failures += 1
        state.losses = state.losses + 1 if lost else 0
        state.unreachable_since = None
        if reachable_again:
            self._retry(call, now)  # connections hung, and now one is refused: the cut is over
        elif lost and state.losses == 1:
            self._retry(call, now)  # what it told counts as notified already
        elif now - self._moved_at < NOTIFIED_AFTER_MOVE_S and self._whole:
            self._retry(call, now + MOVE_PAUSE_S)
        elif lost:
            self._retry(call, now + self.bounds.lost_retry_s(state.losses, self._rng.random()))
        else:
            busy = failure is Failure.BUSY and not state.down
            self._retry(call, now + self.bounds.back_off_s(state.failures, self._rng.random(), busy))

    def _note_end(self, call: ListCall, failure: Failure, now: float) -> bool:
        """What the failure says of the list; whether an answer may have been lost with it."""
        if failure is Failure.SPOILT:
            self._lease.lose(Loss.CERTAIN, now)
            return True
        if self._was_out(call, now):
            self._since_answer.down = True
        if failure is Failure.BROKEN:
            alone = not self._connected_at.keys() - {call}
            return self._lease.broke(call.made_at, now, alone and self._since_answer.down)
        if call.address == self._address and self._shows_an_outage(failure):
            counts_from = self._refusal_counts_from(call, failure, now)
            self._lease.unreachable(counts_from, lasting=self._since_answer.down)
        elif failure is Failure.BUSY and not self.bounds.pushed:
            self._lease.refused_at_start()
        return False

    def _was_out(self, call: ListCall, now: float) -> bool:
        """Whether the call was a watch that discovery let wait, and has now ended: it ends watches as it goes
        down, while one that has too many calls turns new ones away and leaves open watches alone.
        """
        if call.short or call not in self._connected_at or self._since_answer.lost:
            return False
        return self.bounds.out_after_s <= now - call.made_at < call.wait_s - WAIT_ROUNDING_S

    def _refusal_counts_from(self, call: ListCall, failure: Failure, now: float) -> float:
        """Of a watch that may have been turned away late, as a new call, no later than it was made."""
        if not call.short and now - call.made_at < self.bounds.taken_after_s:
            return call.made_at
        return refused_at(call, failure, now)

    def _shows_an_outage(self, failure: Failure) -> bool:
        """Whether this end says that nobody could be told anything: a refused connection, or a refusal in
        words in an outage. An agent is silent while discovery is down, whatever becomes of its connections.
        """
        if self.bounds.pushed:
            return False
        return failure is Failure.REFUSED or (failure is Failure.BUSY and self._since_answer.down)

    def _is_replaced(self, call: ListCall) -> bool:
        """Whether another call, made for want of this one's answer, is still out. One that was closed as
        needless or has failed replaces nothing.
        """
        return any(other.number > call.number for other in self._open)

    def _retry(self, call: ListCall, at: float) -> None:
        """After this call has failed: the next one is made then, or when it was to be for a newer one."""
        newest = call.number == self._number
        self._next_at = at if newest else min(self._next_at, at)

    def _unreached(self, call: ListCall, now: float) -> None:
        """A dial failed for a reason of this machine or the way: like one that hangs it costs discovery
        nothing, so the next is begun as soon.
        """
        self._forget(call, now)
        self._lease.hung()
        self._since_answer.down = False
        if self._is_replaced(call):
            return
        state = self._since_answer
        state.lost = True
        state.failures += 1
        if state.unreachable_since is None:
            state.unreachable_since = call.made_at
        pause = self.bounds.probe_s(now - state.unreachable_since)
        self._retry(call, now + pause * (1 + JITTER * self._rng.random()))

    def distrust(self, now: float) -> None:
        """What has been answered could not be taken in, or not all of it: ask for the whole list."""
        self._whole = True
        self._lease.lose(Loss.CERTAIN, now)
        state = self._since_answer
        state.lost = True
        state.failures += 1
        state.losses += 1
        self._next_at = now + self.bounds.lost_retry_s(state.losses, self._rng.random())

    def _make(self, now: float, version: int) -> ListCall:
        state = self._since_answer
        self._number += 1
        index = None if self._whole or version < 0 else version
        wait = SHORT_WAIT_S if state.lost or index is None else self._watch_wait_s(now)
        call = ListCall(self._number, self._address, index, wait, now)
        self._open.append(call)
        since = now if state.unreachable_since is None else state.unreachable_since
        self._next_at = now + self.bounds.probe_s(now - since)
        return call

    def _watch_wait_s(self, now: float) -> float:
        """So long that the answer, or a call in the place of a lost one, still renews the lease: a watch that
        was answered with news at its end has renewed it from its beginning alone.
        """
        left_s = self._lease.renewed_by - now - self.bounds.renewal_s
        return max(SHORT_WAIT_S, min(self.bounds.wait_s, left_s))

    def _note_lateness(self) -> None:
        """The newest call has not been answered, or its connection has not come up, in time."""
        if not self._open:
            return
        self._lease.hung()
        state, newest = self._since_answer, self._open[-1]
        state.lost, state.down = True, False
        if newest in self._connected_at:
            state.watch_silent = state.watch_silent or not newest.short
        elif state.unreachable_since is None:
            state.unreachable_since = newest.made_at

    def _is_needless(self, call: ListCall, now: float) -> bool:
        """Whether another call has been asked already that may still be answered in time, or the call would
        wait for changes though one has been lost.
        """
        if not call.short:
            return self._since_answer.lost
        return any(
            other.covers(call) and now - at < self.bounds.first_limit_s / 2
            for other, at in self._connected_at.items()
        )

    def _listened_to_until(self, call: ListCall) -> float:
        if call not in self._connected_at:
            return call.made_at + self.bounds.dial_life_s
        wait = 0.0 if call.short else call.wait_s + ANSWER_MARGIN_S
        return call.made_at + wait + self.bounds.call_life_s

    def _forget(self, call: ListCall, now: float) -> None:
        self._open.remove(call)
        if self._connected_at.pop(call, None) is not None and not self._connected_at:
            self._lease.not_asked(now)

    def _drop(self, calls: list[ListCall], reason: DropReason, now: float) -> None:
        self._dropped += [DroppedCall(call, reason) for call in calls]
        for call in list(calls):
            self._forget(call, now)
