"""Decides when to call discovery and how long to wait for it: a state machine without I/O or clock.

No other module decides this. The driver makes the calls that `poll` returns and closes those that it drops,
reports when the connection of a call is established (`connected`), each answer (`answered`) and each failure
(`failed`), and polls again at `wakes_at`.

In normal operation one call is in flight: a watch, which discovery answers when there is a change or when the
wait is over, and which the next watch follows at once. After a call has failed or has not been answered in
time, only short calls are made, which are to be answered at once, until one has been answered. A watch could
be lost as well without being noticed for its whole wait, while changes count as notified long before its end
(`watch_bounds`).

A call without an answer is followed by another one before it times out. Its answer is still accepted until a
newer call is answered or `call_timeout_s` is over: what discovery has written counts as notified, and a slow
discovery would never get an answer through if each call were closed for the next one. The same holds for
calls to the previous address after a move, until the new address has answered. No other call follows once
discovery has rejected a call because it has too many, until it answers.

While no connection is established, further ones are dialled at short intervals, and the first one that is
established carries the request. The network to discovery may be restored at any time, and changes that were
made before may count as notified right then.
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
    PollResult,
    answer_evidence_at,
    refusal_evidence_at,
)
from mountgauge.platform.saved_evidence import DatedList
from mountgauge.platform.watch_bounds import (
    ANSWER_MARGIN_S,
    IMMEDIATE_ANSWER_S,
    JITTER,
    MOVE_PAUSE_S,
    NOTIFIED_AFTER_MOVE_S,
    SHORT_WAIT_S,
    WAIT_ROUNDING_S,
    WatchBounds,
)


@dataclass(slots=True)
class _Progress:
    """The events since discovery last answered."""

    failures: int = 0  # failed calls
    short_calls: int = 0  # short calls whose request was sent
    unreachable_since: float | None = None  # when the first dial without a connection began
    short_calls_only: bool = False  # after a call that failed or was not answered in time
    watch_silent: bool = False  # a watch was not answered in time
    losses: int = 0  # consecutive answers that may have been lost
    repeats: int = 0  # consecutive watches that were answered at once without changes
    down: bool = False  # discovery ended a watch that it had accepted, and has refused all calls since
    refuses_connections: bool = False  # it did so without accepting connections
    crowded: bool = False  # discovery has rejected a call, and did not do so as it went down


class DiscoveryWatch:
    """The calls of one sender to discovery. Times are seconds of the caller's monotonic clock."""

    def __init__(self, bounds: WatchBounds, rng: Random) -> None:
        self.bounds = bounds
        self._rng = rng
        self._on = False
        self._open: list[ListCall] = []  # the oldest first
        self._dropped: list[DroppedCall] = []
        self._connected_at: dict[ListCall, float] = {}  # the open calls with a connection
        self._next_at = inf  # when the next call is to be made
        self._number = 0
        self._address = 0
        self._moved_at = -inf
        self._full_list_needed = False  # the next call requests the full list
        self._lease = ListLease(bounds.lease)
        self._since_answer = _Progress(short_calls_only=True)  # nothing is known yet

    @property
    def on(self) -> bool:
        """Whether discovery is watched."""
        return self._on

    @property
    def address(self) -> int:
        """The number of the current discovery address."""
        return self._address

    @property
    def failures(self) -> int:
        """The failed calls since the last answer."""
        return self._since_answer.failures

    @property
    def open_calls(self) -> tuple[ListCall, ...]:
        """The calls in flight, the newest last."""
        return tuple(self._open)

    def list_age_s(self, now: float) -> float:
        """The age of the newest evidence for the list; infinite if there is none."""
        return now - self._lease.evidence_at

    def lease_end_reason(self, now: float) -> LeaseEnd | None:
        """Return why the list may not be used now, or None if it may be."""
        return self._lease.end_reason(now)

    def isolated(self, now: float) -> bool:
        """Whether the lease has ended and no connection can be established: then nothing may be sent, and no
        outcome can be reported to the platform either.
        """
        unreachable = self._since_answer.unreachable_since is not None
        return unreachable and self._lease.end_reason(now) is not None

    def lacks_list(self, now: float) -> bool:
        """Whether nothing has confirmed the list since the start, and discovery has failed a call: then a
        message has to wait until discovery recovers, which may be after its deadline.
        """
        return self.failures > 0 and self._lease.end_reason(now) is LeaseEnd.NO_EVIDENCE

    @property
    def outlasting_evidence_at(self) -> float | None:
        """The time from which the evidence for the list counts for a next process too; None if there is none.
        What an agent has counts from the first moment of a process.
        """
        return None if self.bounds.pushed else self._lease.outlasting_evidence_at

    @property
    def never_started(self) -> bool:
        """Whether no call has been made yet."""
        return self._number == 0

    @property
    def is_moving(self) -> bool:
        """Whether discovery has moved, its new address has not answered, and no answer has been lost."""
        return self._lease.is_moving and not self._lease.lacks_answer

    def process_started(self, now: float, dated: DatedList | None) -> None:
        """Note the start of the process, and the date of the list that it was started with, if it is known.

        After a move changes count as notified sooner: the list counts as if it were older by the difference.
        """
        if dated is None:
            self._lease.process_started(now)
            return
        terms = self._lease.terms
        sooner_s = max(0.0, terms.notified_s - terms.notified_after_move_s) if dated.moved else 0.0
        self._lease.process_started(now, dated.confirmed_at - sooner_s)

    def start(self, now: float) -> None:
        """Start watching; does nothing if the watch is on."""
        if not self._on:
            self._on = True
            self._next_at = now
        if self._number == 0:
            self._lease.process_started(now)

    def stop(self, now: float) -> None:
        """Close all calls and make no more."""
        self._on = False
        self._next_at = inf
        self._drop(self._open, DropReason.STOPPED, now)

    def apply_settings(self, bounds: WatchBounds, now: float) -> None:
        """Apply new settings; a watch whose wait is too long for them is followed by another call in time."""
        self.bounds = bounds
        self._lease.terms = bounds.lease
        if self._open and not self._open[-1].short:
            self._next_at = min(self._next_at, now + bounds.wait_s + ANSWER_MARGIN_S)

    def move(self, now: float) -> None:
        """Discovery has moved: request the full list from the new address until it has been received."""
        self._address += 1
        self._moved_at = now
        self._lease.source_moved(now)
        self.request_full_list(now)

    def request_full_list(self, now: float) -> None:
        """Request the full list at once, beside a watch in flight, which may wait long for a change."""
        requested = self._open and self._open[-1].index is None and self._open[-1].address == self._address
        if requested and self._since_answer.short_calls <= 1:
            return
        self._full_list_needed = True
        self._since_answer = _Progress(short_calls_only=True)
        if self._on:
            self._next_at = now

    def poll(self, now: float, version: int) -> PollResult:
        """Return the calls to make and to close now; `version`: the newest known one, negative for none."""
        expired = [call for call in self._open if now >= self._timeout_at(call)]
        self._drop([call for call in expired if call in self._connected_at], DropReason.NO_ANSWER, now)
        self._drop([call for call in expired if call in self._open], DropReason.NO_CONNECTION, now)
        make = []
        if self._on and now >= self._next_at:
            self._record_overdue_call()
            make.append(self._create_call(now, version))
        drop, self._dropped = tuple(self._dropped), []
        return PollResult(tuple(make), drop)

    def connected(self, call: ListCall, now: float) -> bool:
        """The connection of the call is established; return whether its request is to be sent."""
        if call not in self._open:
            return False
        state = self._since_answer
        state.unreachable_since = None
        if self._is_needless(call, now):
            self._remove(call, now)
            return False
        self._connected_at[call] = now
        self._lease.call_made(call.made_at, now)
        if not call.short:
            self._next_at = now + call.wait_s + ANSWER_MARGIN_S
        else:
            state.short_calls += 1
            delay = self.bounds.hedge_delay_s(state.short_calls)
            if state.watch_silent and state.short_calls == 1:
                delay = min(delay, self.bounds.silent_hedge_delay_s)
            self._next_at = now + delay
            self._await_crowded_discovery()
        return True

    def _await_crowded_discovery(self) -> None:
        """Postpone the next call until the newest one has timed out, if discovery is crowded: each further
        call adds to its queue, even if it is rejected.
        """
        if self._since_answer.crowded:
            self._next_at = max(self._next_at, self._timeout_at(self._open[-1]))

    def request_blocked(self, now: float) -> None:
        """The request of the newest call is buffered, as the socket does not accept it."""
        if self.bounds.pushed:
            self._lease.no_call_open(now)

    def request_flushed(self, call: ListCall, now: float) -> None:
        """The buffered request of this call has been sent in full."""
        if call not in self._connected_at:
            return
        self._lease.call_made(call.made_at, now)
        if self._lease.lacks_answer and not call.short:  # a watch would be answered only after a change
            self._since_answer.short_calls_only = True
            self._next_at = now

    def wakes_at(self) -> float:
        """When to poll next unless an event comes first."""
        return min([self._next_at, *map(self._timeout_at, self._open)])

    def answered(
        self,
        call: ListCall,
        version: int,
        now: float,
        incomplete: bool = False,
        socket_empty_at: float = -inf,
    ) -> bool:
        """A list of this version was received; return whether it is to be applied.

        `incomplete`: it contains a change without naming the next hop. `socket_empty_at`: the last time at
        which no part of it had arrived.
        """
        if call not in self._open:
            return False
        older = self._open[: self._open.index(call)]
        self._check_coverage(call, max(socket_empty_at, answer_evidence_at(call, version, now)), now)
        self._remove(call, now)
        if call.address != self._address or (self._full_list_needed and call.index is not None):
            return True  # the requested full list has not been received yet
        self._lease.confirm(answer_evidence_at(call, version, now))
        self._drop(older, DropReason.NEWER_ANSWERED, now)
        before, self._since_answer = self._since_answer, _Progress()
        self._full_list_needed = False
        if call.short:
            self._since_answer.repeats = before.repeats
        if incomplete:
            self._full_list_needed = self._since_answer.short_calls_only = True
            self._lease.answer_lost(Loss.CERTAIN, now)
        if self._lease.lacks_answer:  # the call that settles this must not wait for a change
            self._since_answer.short_calls_only = True
        self._drop([one for one in self._open if one not in self._connected_at], DropReason.NEEDLESS, now)
        if self._open and not incomplete:
            return True  # a newer call is in flight and will be answered
        self._next_at = now
        at_once = not call.short and now - call.made_at < IMMEDIATE_ANSWER_S
        if at_once and call.index is not None and version <= call.index:
            # Discovery contradicts itself or serves an older list: pause before the next call. That call is
            # short, as a change during the pause may count as notified soon after it.
            self._since_answer.repeats = before.repeats + 1
            self._since_answer.short_calls_only = True
            self._next_at = now + self.bounds.repeat_pause_s(self._since_answer.repeats)
        return True

    def _check_coverage(self, call: ListCall, written_after: float, now: float) -> None:
        """Record a loss if no call was in flight for too long.

        This call was answered at an unknown time after `written_after`, however late the answer is read. The
        next call covers the time after it from its begin.
        """
        uncovered_since = min(now, written_after)
        newer = {other: self._begin_of(other) for other in self._open if other.number > call.number}
        begins = {other: begin for other, begin in newer.items() if begin is not None}
        if not begins:
            self._lease.no_call_open(uncovered_since)
        covered_from = min(begins.values(), default=now)
        if covered_from - uncovered_since >= self._lease.terms.not_asked_s:
            lost_at = min((other.made_at for other in begins), default=now)
            self._lease.answer_lost(self._lease.terms.not_asked_loss, lost_at)

    def _begin_of(self, call: ListCall) -> float | None:
        """When an open call began; None if it has not. An agent learns of a call as it gets the request.
        Where lists are requested, the rule counts from the attempt, also if no connection is established.
        """
        return self._connected_at.get(call) if self.bounds.pushed else call.made_at

    def failed(self, call: ListCall, failure: Failure, now: float) -> None:
        """The call ended without a list."""
        if call not in self._open:
            return
        lost = self._apply_failure(call, failure, now)
        if failure is Failure.NOT_SENT:
            self._handle_not_sent(call, now)
            return
        state = self._since_answer
        was_unreachable = state.unreachable_since is not None and call.address == self._address
        reachable_again = was_unreachable and call not in self._connected_at
        self._remove(call, now)
        busy = failure is Failure.BUSY and not state.down
        state.crowded = state.crowded or busy
        if self._is_replaced(call) and not reachable_again:
            self._await_crowded_discovery()
            return
        state.short_calls_only = True
        state.failures += 1
        state.losses = state.losses + 1 if lost else 0
        state.unreachable_since = None
        if reachable_again:
            self._retry(call, now)  # dials hung, and now one is refused: the network is restored
        elif lost and state.losses == 1:
            self._retry(call, now)  # its changes count as notified already
        elif now - self._moved_at < NOTIFIED_AFTER_MOVE_S and self._full_list_needed:
            self._retry(call, now + MOVE_PAUSE_S)
        elif lost:
            self._retry(call, now + self.bounds.lost_retry_s(state.losses, self._rng.random()))
        else:
            self._retry(call, now + self.bounds.back_off_s(state.failures, self._rng.random(), busy))

    def _apply_failure(self, call: ListCall, failure: Failure, now: float) -> bool:
        """Update the lease by what the failure shows; return whether an answer may have been lost."""
        if failure is Failure.CORRUPT:
            self._lease.answer_lost(Loss.CERTAIN, now)
            return True
        if self._was_accepted_watch(call, now):
            self._since_answer.down = True
        self._note_refusal(failure)
        if failure is Failure.BROKEN:
            alone = not self._connected_at.keys() - {call}
            return self._lease.call_broke(call.made_at, now, alone and self._since_answer.down)
        if call.address == self._address and self._indicates_outage(failure):
            evidence_at = self._refusal_evidence_at(call, failure, now)
            self._lease.call_refused(evidence_at, lasting=self._since_answer.down)
        elif failure is Failure.BUSY and not self.bounds.pushed:
            self._lease.refused_at_start()
        return False

    def _note_refusal(self, failure: Failure) -> None:
        """Note how discovery refuses calls. One that has refused connections and rejects a call is back."""
        state = self._since_answer
        if failure is Failure.REFUSED:
            state.refuses_connections = True
        elif failure is Failure.BUSY and state.refuses_connections:
            state.down = state.refuses_connections = False

    def _was_accepted_watch(self, call: ListCall, now: float) -> bool:
        """Whether the call was a watch that discovery had accepted, and that it has now ended.

        Discovery ends its watches when it goes down. If it has too many calls it rejects new ones and keeps
        open watches.
        """
        if call.short or call not in self._connected_at or self._since_answer.short_calls_only:
            return False
        return self.bounds.likely_accepted_after_s <= now - call.made_at < call.wait_s - WAIT_ROUNDING_S

    def _refusal_evidence_at(self, call: ListCall, failure: Failure, now: float) -> float:
        """Return the time for which the refusal is evidence: the time when the call was made for a watch that
        may have been rejected late, as a new call.
        """
        if not call.short and now - call.made_at < self.bounds.surely_accepted_after_s:
            return call.made_at
        return refusal_evidence_at(call, failure, now)

    def _indicates_outage(self, failure: Failure) -> bool:
        """Whether the failure shows that discovery could notify nobody: a refused connection, or an HTTP
        error during an outage. An agent is silent while discovery is down, however its connections end.
        """
        if self.bounds.pushed:
            return False
        return failure is Failure.REFUSED or (failure is Failure.BUSY and self._since_answer.down)

    def _is_replaced(self, call: ListCall) -> bool:
        """Whether a newer call, made because this one was not answered, is still in flight. A call that was
        closed as needless or that failed replaces nothing.
        """
        return any(other.number > call.number for other in self._open)

    def _retry(self, call: ListCall, at: float) -> None:
        """Schedule the next call after this one failed: at `at`, or before if one is due sooner."""
        newest = call.number == self._number
        self._next_at = at if newest else min(self._next_at, at)

    def _handle_not_sent(self, call: ListCall, now: float) -> None:
        """A dial failed for a reason of this machine or the network. Like a dial that hangs it costs
        discovery nothing, so the next one follows at the same interval.
        """
        self._remove(call, now)
        self._lease.call_hung()
        self._since_answer.down = False
        if self._is_replaced(call):
            return
        state = self._since_answer
        state.short_calls_only = True
        state.failures += 1
        if state.unreachable_since is None:
            state.unreachable_since = call.made_at
        pause = self.bounds.probe_interval_s(now - state.unreachable_since)
        self._retry(call, now + pause * (1 + JITTER * self._rng.random()))

    def invalidate_list(self, now: float) -> None:
        """An answer could not be applied, or not in full: request the full list."""
        self._full_list_needed = True
        self._lease.answer_lost(Loss.CERTAIN, now)
        state = self._since_answer
        state.short_calls_only = True
        state.failures += 1
        state.losses += 1
        self._next_at = now + self.bounds.lost_retry_s(state.losses, self._rng.random())

    def _create_call(self, now: float, version: int) -> ListCall:
        state = self._since_answer
        if not self.bounds.pushed:
            self._lease.call_made(now, now)
            state.short_calls_only = state.short_calls_only or self._lease.lacks_answer
        self._number += 1
        index = None if self._full_list_needed or version < 0 else version
        wait = SHORT_WAIT_S if state.short_calls_only or index is None else self._watch_wait_s(now)
        call = ListCall(self._number, self._address, index, wait, now)
        self._open.append(call)
        since = now if state.unreachable_since is None else state.unreachable_since
        self._next_at = now + self.bounds.probe_interval_s(now - since)
        return call

    def _watch_wait_s(self, now: float) -> float:
        """Return how long the next watch may wait so that its answer, or a call that replaces it, still
        renews the lease. A watch that is answered with a change at its end only renews it from its start.
        """
        remaining_s = self._lease.renewed_by - now - self.bounds.renewal_s
        return max(SHORT_WAIT_S, min(self.bounds.wait_s, remaining_s))

    def _record_overdue_call(self) -> None:
        """The newest call, if any, was not answered or not connected in time."""
        if not self._open:
            return
        self._lease.call_hung()
        state, newest = self._since_answer, self._open[-1]
        state.short_calls_only, state.down = True, False
        if newest in self._connected_at:
            state.watch_silent = state.watch_silent or not newest.short
        elif state.unreachable_since is None:
            state.unreachable_since = newest.made_at

    def _is_needless(self, call: ListCall, now: float) -> bool:
        """Whether the request of this call need not be sent: another call was sent that may still be answered
        in time, or the call is a watch and only short calls are to be made.
        """
        if not call.short:
            return self._since_answer.short_calls_only
        return any(
            other.covers(call) and now - at < self.bounds.first_hedge_delay_s / 2
            for other, at in self._connected_at.items()
        )

    def _timeout_at(self, call: ListCall) -> float:
        if call not in self._connected_at:
            return call.made_at + self.bounds.dial_timeout_s
        wait = 0.0 if call.short else call.wait_s + ANSWER_MARGIN_S
        return call.made_at + wait + self.bounds.call_timeout_s

    def _remove(self, call: ListCall, now: float) -> None:
        self._open.remove(call)
        was_connected = self._connected_at.pop(call, None) is not None
        if was_connected and not self._connected_at and self.bounds.pushed:
            self._lease.no_call_open(now)

    def _drop(self, calls: list[ListCall], reason: DropReason, now: float) -> None:
        self._dropped += [DroppedCall(call, reason) for call in calls]
        for call in list(calls):
            self._remove(call, now)
