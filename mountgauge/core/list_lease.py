"""Until when a sender may go by the list of endpoints that it has: a lease that ends by itself.

Pure: no I/O, no clock; times are of the caller's monotonic clock, in seconds. What a source of lists
(discovery, an agent, a relay, an operators' file) has told, or has had for some time, counts as notified
whether or not it arrived. So the lease holds up to a time, and only evidence moves that time on (Gray and
Cheriton, 1989). Evidence counts from the earliest moment at which it can have come about, and its term is
shorter than the rule's by what a sender may be held up between its look and its write (`LeaseTerms`):

- `confirm`: a whole answer to a call that was made then. All that the source had before is known.
- `call_refused`: an end that says that the source told nobody at some moment after that: a refusal. What
  changes meanwhile counts anew from its return. It renews a lease that has not run out, as what had changed
  for longer counted before, or whose source has told nobody since it held; a new process has the rule's time
  from its beginning to be refused.

Silence, a slow answer, a lost one, a connection that does not come up, an error of this machine, and the
list that a process is started with move nothing: they have no time, or prove nothing.

An answer that was lost on its way ends the lease at once, as what it told counts already (`Loss`). Only
evidence from a call made after that brings it back: for a certain loss a whole answer, for a possible one
also a refusal. Calls that break one after another, each within `AT_ONCE_S` and with no other one out, show a
source that is down and resets them, once they have done so for `DOWN_AFTER_S` and the last one was made
`BURST_S` or more after the one before: a fault of the network that strikes each connection is shorter, and
strikes later. Answers that are lost in a row for longer than that pass for it.

A source that has moved to another address counts as having told all `moved_s` later, whatever was known of
the old one; a source that pushes counts as having told all at once, where no call to it is out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from math import inf

# Between the look at the lease and the write of the first byte a process may be held up for so long.
MAX_STALL_S = 0.15
# Calls that have broken for so long, with no answer in between, show a source that is down.
DOWN_AFTER_S = 1.0
# A source that is down breaks a call within this time; one that breaks later was out, and may be answered.
AT_ONCE_S = 0.25
# Resets of one moment may strike a call and the one that is made at once after it.
BURST_S = 0.1


class LeaseEnd(StrEnum):
    """Why the list may not be gone by."""

    NO_EVIDENCE = "unheard"  # no evidence since the process began
    EXPIRED = "expired"  # the newest evidence is too old
    ANSWER_LOST = "answer-lost"
    ANSWER_UNREAD = "answer-unread"  # something that the source has written waits to be read
    MOVED = "moved"  # to an address that has not answered in time
    NOT_ASKED = "not-asked"  # no call is out at a source whose news count at once
    PAUSED = "paused"  # the process stood still, and the source has not been looked at since


# Why no call to a destination may go by the list now; None: it may.
LeaseCheck = Callable[[int], LeaseEnd | None]


class Loss(IntEnum):
    """What is known of an answer that was not taken in."""

    POSSIBLE = 1  # it may never have been written
    CERTAIN = 2  # a part of it had arrived, or it told of a change without naming its endpoint


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The rule's times, from which the lease's are derived, in seconds."""

    notified_s: float  # after which a change that the source had, and could tell, counts as told
    grace_s: float  # after it was told, in which calls to an endpoint that drains may still begin
    notified_after_move_s: float = inf  # after a move of the source
    pushed: bool = False  # what the source has counts as told, asked for or not
    resumes: bool = False  # a refusal also renews a lease that has run out

    @property
    def spare_s(self) -> float:
        """What a holder may use of the grace."""
        return max(0.0, self.grace_s - MAX_STALL_S)

    @property
    def term_s(self) -> float:
        """From evidence to the end of the lease."""
        return self.notified_s + self.spare_s

    @property
    def moved_s(self) -> float:
        """From a move to the end of the lease."""
        return self.notified_after_move_s + self.spare_s

    @property
    def not_asked_s(self) -> float:
        """For which no call may be out."""
        return self.spare_s if self.pushed else inf


@dataclass(frozen=True, slots=True)
class _LostAnswer:
    kind: Loss
    at: float  # the newest


class ListLease:
    """One sender's lease on the list of one source."""

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        self._evidence_at = self._begun_at = -inf
        self._lost: _LostAnswer | None = None
        self._breaking_since: float | None = None  # the first call broke since the newest answer
        self._moved_at: float | None = None  # as long as the new address has not answered
        self._no_call_since: float | None = None

    @property
    def evidence_at(self) -> float:
        """The moment from which the newest evidence counts; -inf where there is none."""
        return self._evidence_at

    @property
    def lacks_answer(self) -> bool:
        """Whether an answer was lost that no newer one has made good."""
        return self._lost is not None

    @property
    def renewed_by(self) -> float:
        """By when further evidence has to come; -inf where there has been none."""
        return self._evidence_at + self.terms.term_s

    def process_started(self, now: float) -> None:
        """The process begins, with a list that has no time."""
        self._begun_at = max(self._begun_at, now)

    # Evidence

    def confirm(self, asked_at: float) -> None:
        """A call that was made then has been answered in full, and the answer was taken in."""
        self._evidence_at = max(self._evidence_at, asked_at)
        self._moved_at = self._breaking_since = None
        self._make_good(asked_at, Loss.CERTAIN)

    def call_refused(self, asked_at: float, lasting: bool = False) -> None:
        """A call that was made then has been refused. After a move a refusal counts only once the time of
        the move is over: until then the source may come back, and owe the whole list by the end of it.
        `lasting`: the source went down while the lease held, and nobody could be told anything since.
        """
        if self._moved_at is not None and asked_at < self._moved_at + self.terms.notified_after_move_s:
            return
        ran_out_at = max(self._evidence_at, self._begun_at) + self.terms.notified_s
        if asked_at > ran_out_at and not (lasting or self.terms.resumes):
            return
        self._moved_at = None
        self._evidence_at = max(self._evidence_at, asked_at)
        self._make_good(asked_at, Loss.POSSIBLE)

    def refused_at_start(self) -> None:
        """A call was refused in words, and no evidence has come since the process began: the list that it was
        started with counts as of then, and no longer, however often that comes.
        """
        if self._evidence_at == -inf:
            self.call_refused(self._begun_at)

    # What ends it early

    def answer_lost(self, kind: Loss, now: float) -> None:
        """An answer has not been taken in."""
        before = self._lost or _LostAnswer(kind, now)
        self._lost = _LostAnswer(max(kind, before.kind), max(now, before.at))

    def call_broke(self, asked_at: float, now: float, alone: bool = True) -> bool:
        """A call that was made then has broken with nothing read; `alone`: no other one is out, which a
        source that is down would have broken too. Whether an answer is lost now: else this shows that the
        source is down.
        """
        if not alone or now - asked_at > AT_ONCE_S:
            self._breaking_since = None
        elif self._breaking_since is None:
            self._breaking_since = now
        if self._shows_an_outage(asked_at):
            self.call_refused(asked_at)
        else:
            self.answer_lost(Loss.POSSIBLE, now)
        return self.lacks_answer

    def call_hung(self) -> None:
        """A call, or its connection, has not come to an end in time, or failed on this machine: a source that
        is down would have broken it, so breaks before and after it are no row.
        """
        self._breaking_since = None

    def source_moved(self, now: float) -> None:
        """The source has another address. Of two moves without an answer the first one counts."""
        if self._moved_at is None:
            self._moved_at = now

    def call_made(self, made_at: float, now: float) -> None:
        """A call that was made then is out. Where none has been for too long, what the source got meanwhile
        has counted already, and only an answer tells of it.
        """
        since, self._no_call_since = self._no_call_since, None
        if since is not None and now - since >= self.terms.not_asked_s:
            self.answer_lost(Loss.POSSIBLE, made_at)

    def no_call_open(self, since: float) -> None:
        """No call is out any more, perhaps since that moment: of two the earlier one counts."""
        self._no_call_since = since if self._no_call_since is None else min(since, self._no_call_since)

    # Its state

    @property
    def until(self) -> float:
        """When it ends, unless evidence comes or something ends it before."""
        if self._lost is not None:
            return -inf
        until = self.renewed_by
        if self._moved_at is not None:
            until = min(until, self._moved_at + self.terms.moved_s)
        if self._no_call_since is not None:
            until = min(until, self._no_call_since + self.terms.not_asked_s)
        return until

    def ended(self, now: float) -> LeaseEnd | None:
        """Why the list may not be gone by now; None: it may."""
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
        return LeaseEnd.NOT_ASKED

    # Within

    def _make_good(self, asked_at: float, most: Loss) -> None:
        if self._lost is not None and self._lost.kind <= most and asked_at >= self._lost.at:
            self._lost = None

    def _shows_an_outage(self, asked_at: float) -> bool:
        if self.terms.pushed:  # an agent is silent while discovery is down
            return False
        if self._lost is None or self._breaking_since is None:
            return False
        return asked_at >= max(self._lost.at + BURST_S, self._breaking_since + DOWN_AFTER_S)
