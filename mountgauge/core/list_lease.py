"""Until when a sender may use its list of endpoints: a lease that expires by itself.

Pure: no I/O, no clock; times are seconds of the caller's monotonic clock. A change that a source of lists
(discovery, an agent, a relay, an operators' file) has reported, or has had for the time of the rule, counts
as notified whether or not it arrived. The lease therefore holds up to a time that only evidence extends
(Gray and Cheriton, 1989). Evidence counts from the earliest moment at which it can have originated, and its
term is shorter than the rule's by the time for which a sender may stall between its check and its write
(`LeaseTerms`):

- `confirm`: a complete answer to a call that was made then. All that the source had before that is known.
- `call_refused`: a refusal, which shows that the source reported to nobody at some moment after that. What
  changes meanwhile counts anew from its return. It renews only a lease that has not expired, because what had
  changed for longer counted before, or one whose source has reported to nobody since the lease held. A new
  process has the rule's time from its start to be refused.

Silence, a slow or lost answer, a connection that is not established, an error of this machine, and the list
that a process is started with extend nothing: they have no time, or prove nothing. If the process before has
saved when that list was last confirmed, an error answer at the start lets it count as of then.

An answer that was lost on its way ends the lease at once, as what it reported counts already (`Loss`). Only
evidence from a call made after that restores it: a complete answer, or after a possible loss also a refusal.
Calls that break one after another show a source that is down and resets them, under these conditions: each
breaks within `IMMEDIATE_BREAK_S` with no other call open, they have done so for `DOWN_AFTER_S`, and the last
one was made at least `BURST_S` after the one before. A network fault that breaks each connection is shorter,
or breaks them later. Answers that are lost in a row for longer than that are taken for an outage.

A source that has moved to another address counts as having reported everything `moved_s` later, whatever was
known of the old one. While no call to a source is open, what it has counts as reported at once if it pushes,
otherwise once it has had that for `unasked_s` without a further call.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from math import inf

# A process may stall for so long between checking the lease and writing the first byte.
MAX_STALL_S = 0.15
# Calls that have broken for so long, with no answer in between, show a source that is down.
DOWN_AFTER_S = 1.0
# A source that is down breaks a call within this time. A call that breaks later was open and may be answered.
IMMEDIATE_BREAK_S = 0.25
# A burst of resets may break a call and also the one that is made immediately after it.
BURST_S = 0.1


class LeaseEnd(StrEnum):
    """Why the list may not be used."""

    NO_EVIDENCE = "unheard"  # no evidence since the process started
    EXPIRED = "expired"  # the newest evidence is too old
    ANSWER_LOST = "answer-lost"
    ANSWER_UNREAD = "answer-unread"  # data from the source has arrived and waits to be read
    MOVED = "moved"  # to an address that has not answered in time
    NO_REQUEST = "not-asked"  # no call is open to a source whose changes count as notified at once
    PAUSED = "paused"  # the process was stopped for a while, and has not read from the source since


# Why the list may not be used for calls to a destination now; None if it may.
LeaseCheck = Callable[[int], LeaseEnd | None]


class Loss(IntEnum):
    """What is known of an answer that was not applied."""

    POSSIBLE = 1  # it may never have been written
    # Part of it had arrived, or it reported a change without naming the endpoint, or a change may have
    # counted for lack of a call: no refusal disproves that.
    CERTAIN = 2


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The times of the rule, from which those of the lease are derived, in seconds."""

    notified_s: float  # after which a change that the source had, and could report, counts as notified
    grace_s: float  # after the notification, in which calls to a draining endpoint may still start
    notified_after_move_s: float = inf  # after a move of the source
    pushed: bool = False  # what the source has counts as notified, requested or not
    resumes: bool = False  # a refusal also renews an expired lease
    unasked_s: float = inf  # after which a change counts as notified while no call is made; not if pushed

    @property
    def spare_s(self) -> float:
        """The share of the grace that a sender may use."""
        return max(0.0, self.grace_s - MAX_STALL_S)

    @property
    def term_s(self) -> float:
        """Time from evidence to the end of the lease."""
        return self.notified_s + self.spare_s

    @property
    def moved_s(self) -> float:
        """Time from a move of the source to the end of the lease."""
        return self.notified_after_move_s + self.spare_s

    @property
    def not_asked_s(self) -> float:
        """The maximum time with no call open."""
        return self.spare_s if self.pushed else self.unasked_s

    @property
    def not_asked_loss(self) -> Loss:
        """What is known of the changes after a longer time with no call open. A source that pushes may have
        had none if it refuses the next call.
        """
        return Loss.POSSIBLE if self.pushed else Loss.CERTAIN


@dataclass(frozen=True, slots=True)
class _LostAnswer:
    kind: Loss
    at: float  # the time of the newest one


class ListLease:
    """One sender's lease on the list of one source."""

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        self._evidence_at = self._started_at = -inf
        self._start_list_confirmed_at = -inf  # the list that the process was started with
        self._lost: _LostAnswer | None = None
        self._breaking_since: float | None = None  # when the first call broke after the newest answer
        self._moved_at: float | None = None  # until the new address has answered
        self._no_call_since: float | None = None

    @property
    def evidence_at(self) -> float:
        """The time from which the newest evidence counts; -inf if there is none."""
        return self._evidence_at

    @property
    def lacks_answer(self) -> bool:
        """Whether an answer was lost, and no newer evidence has made up for it."""
        return self._lost is not None

    @property
    def is_moving(self) -> bool:
        """Whether the source has another address, which has not answered yet."""
        return self._moved_at is not None

    @property
    def renewed_by(self) -> float:
        """By when further evidence has to come; -inf if there has been none."""
        return self._evidence_at + self.terms.term_s

    @property
    def outlasting_evidence_at(self) -> float | None:
        """The time from which the evidence counts for a next process too; None if there is none, or if only
        an answer can restore the lease.
        """
        evidence_at = max(self._evidence_at, self._start_list_confirmed_at)
        if evidence_at == -inf or self._lost is not None or self._moved_at is not None:
            return None
        return evidence_at

    def process_started(self, now: float, list_confirmed_at: float | None = None) -> None:
        """Note the start of the process with a list that was last confirmed then; None if that is unknown."""
        self._started_at = max(self._started_at, now)
        if list_confirmed_at is not None:
            self._start_list_confirmed_at = min(now, list_confirmed_at)

    # Evidence

    def confirm(self, made_at: float) -> None:
        """Note that a call that was made then has been answered in full, and the answer applied."""
        self._evidence_at = max(self._evidence_at, made_at)
        self._moved_at = self._breaking_since = None
        self._recover_loss(made_at, Loss.CERTAIN)

    def call_refused(self, made_at: float, lasting: bool = False) -> None:
        """Note that a call that was made then has been refused. After a move a refusal counts only once the
        time of the move has elapsed: until then the source may recover, and owes the full list by the end of
        it. `lasting`: the source went down while the lease held, and has reported to nobody since.
        """
        if self._moved_at is not None and made_at < self._moved_at + self.terms.notified_after_move_s:
            return
        expired_at = max(self._evidence_at, self._started_at) + self.terms.notified_s
        if made_at > expired_at and not (lasting or self.terms.resumes):
            return
        self._moved_at = None
        self._evidence_at = max(self._evidence_at, made_at)
        self._recover_loss(made_at, Loss.POSSIBLE)

    def refused_at_start(self) -> None:
        """Note that a call was refused by an error answer. If there is no evidence yet, the list that the
        process was started with counts as of when it was last confirmed, and no longer, however often that
        happens. If that is unknown, it counts as nothing: a change may be of any time before the start.
        """
        if self._evidence_at == -inf and self._start_list_confirmed_at > -inf:
            self.call_refused(self._start_list_confirmed_at)

    # Early ends

    def answer_lost(self, kind: Loss, now: float) -> None:
        """Note that an answer was not applied."""
        before = self._lost or _LostAnswer(kind, now)
        self._lost = _LostAnswer(max(kind, before.kind), max(now, before.at))

    def call_broke(self, made_at: float, now: float, alone: bool = True) -> bool:
        """Note that a call that was made then has broken with nothing read. `alone`: no other one is open,
        which a source that is down would have broken as well. Returns whether an answer is lost now; if not,
        this shows that the source is down.
        """
        if not alone or now - made_at > IMMEDIATE_BREAK_S:
            self._breaking_since = None
        elif self._breaking_since is None:
            self._breaking_since = now
        if self._shows_an_outage(made_at):
            self.call_refused(made_at)
        else:
            self.answer_lost(Loss.POSSIBLE, now)
        return self.lacks_answer

    def call_hung(self) -> None:
        """Note that a call or its connection has timed out, or failed on this machine. A source that is down
        would have broken it, so breaks before and after it are not consecutive.
        """
        self._breaking_since = None

    def source_moved(self, now: float) -> None:
        """Note that the source has another address. Of two moves without an answer the first one counts."""
        if self._moved_at is None:
            self._moved_at = now

    def call_made(self, made_at: float, now: float) -> None:
        """Note that a call that was made then is open. If none was for too long, the changes that the source
        received meanwhile have counted already, and only an answer reports them.
        """
        since, self._no_call_since = self._no_call_since, None
        if since is not None and now - since >= self.terms.not_asked_s:
            self.answer_lost(self.terms.not_asked_loss, made_at)

    def no_call_open(self, since: float) -> None:
        """Note that no call is open, possibly since that time; of two such times the earlier one counts."""
        self._no_call_since = since if self._no_call_since is None else min(since, self._no_call_since)

    # State

    @property
    def until(self) -> float:
        """When the lease ends, unless evidence extends it or something ends it earlier."""
        if self._lost is not None:
            return -inf
        until = self.renewed_by
        if self._moved_at is not None:
            until = min(until, self._moved_at + self.terms.moved_s)
        if self._no_call_since is not None:
            until = min(until, self._no_call_since + self.terms.not_asked_s)
        return until

    def end_reason(self, now: float) -> LeaseEnd | None:
        """Why the list may not be used now; None if it may."""
        if now < self.until:
            return None
        if self._evidence_at == -inf:
            return LeaseEnd.NO_EVIDENCE
        if self._lost is not None:
            return LeaseEnd.ANSWER_LOST
        if self._moved_at is not None and now >= self._moved_at + self.terms.moved_s:
            return LeaseEnd.MOVED
        if now >= self.renewed_by:
            return LeaseEnd.EXPIRED
        return LeaseEnd.NO_REQUEST

    # Internals

    def _recover_loss(self, made_at: float, max_kind: Loss) -> None:
        if self._lost is not None and self._lost.kind <= max_kind and made_at >= self._lost.at:
            self._lost = None

    def _shows_an_outage(self, made_at: float) -> bool:
        if self.terms.pushed:  # an agent does not answer while discovery is down
            return False
        if self._lost is None or self._breaking_since is None:
            return False
        return made_at >= max(self._lost.at + BURST_S, self._breaking_since + DOWN_AFTER_S)
