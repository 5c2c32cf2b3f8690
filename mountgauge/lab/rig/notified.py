"""When a change of discovery's list counts as notified to a member. Pure: no clock, no I/O.

A change counts at the earliest of the moments that the clauses below give, each a function of its own. Times
are seconds of one clock. Where the pages leave a clause open the later moment is taken:

- An answer counts as written only if it was written whole and onto a link that carried it. One that was
  reset half-way or went into a silence belongs to a failed or a silent call.
- Discovery can be reached while it is up, serves each call whole, tells its newest list, and the member's
  link to it carries new connections and what they say. The six seconds, and the four after SIGHUP, have to
  be reachable without a gap; a gap begins them anew.
- A silent call's moment needs the last `REOPEN_S` before it reachable, else it moves to where that is so. It
  binds for what came before the call was given up: later changes are not that call's to miss.
- The six seconds after a failed call begin with the first failure since the last answer, if that is later
  than the change.
- Discovery that answers within `PATIENCE_S` can be reached; a slower one cannot. A silent call's moment is
  later by that slowness, as `REOPEN_S` leaves a new call no room for it.
- A member that is stopped (SIGSTOP) reaches nothing meanwhile.
- Two SIGHUPs within four seconds: the later one counts alone.
- A new process is held to the list that it was started with; whatever it missed counts as made when it was
  ready.
- Pushed lists: while the link to the agent is cut, or a call on it is silent, what the agent has counts as
  where lists are asked for; after that, once the link has carried again for six seconds.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

SILENCE_S = 6.0  # after which what a silent call misses counts
REOPEN_S = 2.0  # after a silent call's wait, if that is later
REACHED_S = 6.0  # after a failed call, from when discovery had the change and could be reached
PATIENCE_S = 2.0  # that a call at discovery waits before it fails
MOVED_S = 4.0  # after the SIGHUP that moved discovery's address
WATCH_GAP_S = 0.2  # between two calls that are still one watch
FAILED_TIMES = 4.0  # that a member without a watch is held to its list for if its last call failed


@dataclass(frozen=True, slots=True)
class Span:
    """From `begin` until before `end`, s."""

    begin: float
    end: float = math.inf


@dataclass(frozen=True, slots=True)
class Slowness:
    """A time in which discovery answers each call so much later."""

    span: Span
    slow_s: float


@dataclass(frozen=True, slots=True)
class ListCall:
    """A member's call for the list, or its watch."""

    began: float
    wait_s: float = 0.0  # that discovery was asked to wait for news
    ended: float = math.inf  # when its answer was written, or it was given up, refused or reset
    version: int | None = None  # of the answer that was written; None: none was

    @property
    def failed(self) -> bool:
        return self.version is None and self.ended < math.inf


@dataclass(frozen=True, slots=True)
class Change:
    """An endpoint drains or is gone from a version of the list on."""

    endpoint: str
    version: int
    at: float
    until: float = math.inf  # when it was listed as active again


@dataclass(frozen=True, slots=True)
class Life:
    """What one process of a member could know of discovery, and when."""

    began: float
    ready: float
    known: int  # version of the list that it was started with
    ask_within_s: float
    ended: float = math.inf
    pushed: bool = False  # lists come from an agent on the member's machine
    calls: Sequence[ListCall] = ()  # in their order
    silences: Sequence[Span] = ()  # of the link to discovery
    unreachable: Sequence[Span] = ()
    down: Sequence[Span] = ()  # of discovery itself
    slow: Sequence[Slowness] = ()
    moves: Sequence[float] = ()  # SIGHUPs that moved discovery's address


def notified_at(change: Change, life: Life) -> float:
    """When the change counts as notified to this process; inf: never."""
    if change.version <= life.known:
        return max(change.at, life.began)
    made = max(change.at, life.ready)
    return min(
        written(change, life),
        pushed(made, life),
        after_silence(made, life),
        after_failure(change, made, life),
        after_move(made, life),
        without_watch(made, life),
    )


def written(change: Change, life: Life) -> float:
    """Discovery's writing of it to the member."""
    found = [
        call.ended
        for call in life.calls
        if call.version is not None and call.version >= change.version and call.ended >= change.at
    ]
    return min(found, default=math.inf)


def pushed(made: float, life: Life) -> float:
    """What the agent has counts, watch or not; it learns nothing while discovery is down."""
    if not life.pushed:
        return math.inf
    had = _outside(made, life.down)
    stuck = [call for call in life.calls if call.began <= had < call.ended and _struck(call, life)]
    reached = _reachable(had, REACHED_S, life) if _cut(had, life) else had
    if stuck:
        reached = max(reached, min(after_silence(made, life), _reachable(had + REACHED_S, REACHED_S, life)))
    moves = [at + MOVED_S for at in life.moves if at <= reached < at + MOVED_S]
    return max([reached, *moves]) + (_slowest(made, reached, life) if reached < math.inf else 0.0)


def after_silence(made: float, life: Life) -> float:
    """What a silent call misses: `SILENCE_S` after it fell silent, or `REOPEN_S` after its wait if later."""
    found = []
    for call in life.calls:
        if (silent_at := _struck(call, life)) is None or made > call.ended:
            continue
        due = max(silent_at + SILENCE_S, call.began + call.wait_s + REOPEN_S, made)
        if call.version is None:
            found.append(_reachable(due + _slowest(call.began, due, life), REOPEN_S, life))
    return min(found, default=math.inf)


def after_failure(change: Change, made: float, life: Life) -> float:
    """`REACHED_S` after discovery had it and could be reached, once a call failed or was given up."""
    heard = [call.ended for call in life.calls if call.version is not None and call.version < change.version]
    last_heard = max(heard, default=-math.inf)
    failures = [call.ended for call in life.calls if call.failed and call.ended > last_heard]
    if not failures:
        return math.inf
    begin = max(min(failures), made)
    return _reachable(begin + REACHED_S, REACHED_S, life)


def after_move(made: float, life: Life) -> float:
    """What the new address has as SIGHUP comes: `MOVED_S` later."""
    alone = [at for at, later in itertools.pairwise((*life.moves, math.inf)) if later - at >= MOVED_S]
    found = [_reachable(at + MOVED_S, MOVED_S, life) for at in alone if made <= at]
    return min(found, default=math.inf)


def without_watch(made: float, life: Life) -> float:
    """`askWithin` after the change and after the last call, four times as long if that call failed."""
    if not life.calls:
        return _unwatched(made, life.ready, life.ended, life.ask_within_s, life)
    found = [_unwatched(made, life.ready, life.calls[0].began, life.ask_within_s, life)]
    following = [*(call.began for call in life.calls[1:]), life.ended]
    for call, next_call in zip(life.calls, following, strict=True):
        held = life.ask_within_s * (FAILED_TIMES if call.failed else 1.0)
        if next_call - call.ended > WATCH_GAP_S:
            found.append(_unwatched(made, call.ended, next_call, held, life))
    return min(found)


def _unwatched(made: float, last: float, next_call: float, held: float, life: Life) -> float:
    """The moment within a gap between two calls; inf where the next call comes before it."""
    at = _reachable(max(made, last) + held, held, life)
    return at if at < next_call else math.inf


def _struck(call: ListCall, life: Life) -> float | None:
    """When the call fell silent; None: it never did."""
    for span in life.silences:
        if span.begin < call.ended and call.began < span.end:
            return max(span.begin, call.began)
    return None


def _cut(at: float, life: Life) -> bool:
    return any(span.begin <= at < span.end for span in life.unreachable)


def _outside(at: float, spans: Iterable[Span]) -> float:
    """The first moment from `at` on that is in none of the spans."""
    for span in sorted(spans, key=lambda one: one.begin):
        if span.begin <= at < span.end:
            at = span.end
    return at


def _reachable(at: float, for_s: float, life: Life) -> float:
    """The first moment from `at` on before which discovery could be reached for so long without a gap."""
    slow = [one.span for one in life.slow if one.slow_s > PATIENCE_S]
    for span in sorted((*life.unreachable, *slow), key=lambda one: one.begin):
        if span.begin < at and span.end > at - for_s:
            at = span.end + for_s
    return at


def _slowest(begin: float, end: float, life: Life) -> float:
    found = [one.slow_s for one in life.slow if one.span.begin < end and begin < one.span.end]
    return max(found, default=0.0)


def forbidden(change: Change, life: Life) -> list[Span]:
    """When the change counts as notified to this process.

    An answer with an older list ends it, and the change counts as made anew with it.
    """
    end = min(change.until, life.ended)
    begin = max(change.at, life.began)
    older = sorted(
        call.ended
        for call in life.calls
        if call.version is not None and call.version < change.version and begin < call.ended < end
    )
    found = []
    for first, stop in itertools.pairwise([begin, *older, max(begin, end)]):
        calls = [call for call in life.calls if call.began < stop]
        known = life.known if first == begin else -1  # an older list has taken its place
        at = notified_at(replace(change, at=first), replace(life, calls=calls, known=known))
        if at < stop:
            found.append(Span(at, stop))
    return found
