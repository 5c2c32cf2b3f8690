"""Decides when a change of discovery's list counts as notified to a member. Pure: no clock, no I/O.

A change counts from the earliest of the moments that the clauses below give, each a function of its own.
Times are seconds of one clock. Where the pages leave a clause open, the earlier moment applies: a member can
meet it by not sending while it has no evidence for its list. These cases count later, for the reasons given:

- An answer counts as written only if it was written completely, to a link that delivered it. An answer that
  was reset half-way or dropped by a silent link belongs to a failed or a silent call.
- "Could be reached" does not hold while discovery is down or the link to it refuses connections. The six
  seconds then begin anew, as the page on `askWithin` says ("counted anew when discovery is back"). A 503 of
  an overloaded discovery, a silence, resets, slowness and a stopped process do not defer them, and nothing
  does with an agent: "while discovery is down the agent is silent".
- After SIGHUP the four seconds apply unless the new address refuses connections when they end.
- Pushed lists: "one clock for silence, whether lists are pushed or asked for". That clock applies to a silent
  call to the agent and to a cut link to it. The change of a slow agent counts when it is written, since a
  member could be notified of it sooner only if it never sent anything.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

SILENCE_S = 6.0  # from when a call falls silent until the changes that it misses count
REACHED_S = 6.0  # for which discovery had the change and could be reached
MOVED_S = 4.0  # after the SIGHUP that moved discovery's address
WATCH_GAP_S = 0.2  # longest gap between two calls that form one watch
FAILED_CALL_FACTOR = 4.0  # on `askWithin` for a member without a watch whose last call failed


@dataclass(frozen=True, slots=True)
class Span:
    """A span of time from `begin` to before `end`, s."""

    begin: float
    end: float = math.inf


@dataclass(frozen=True, slots=True)
class Slowness:
    """A span in which discovery answers each call `slow_s` later."""

    span: Span
    slow_s: float


@dataclass(frozen=True, slots=True)
class ListCall:
    """A member's call for the list, or its watch."""

    began: float
    wait_s: float = 0.0  # how long discovery may wait for a change
    ended: float = math.inf  # when its answer was written, or it was abandoned, refused or reset
    version: int | None = None  # of the written answer; None: no answer was written
    refused: bool = False  # its connection attempt was refused
    hung_at: float | None = None  # when discovery stopped handling it

    @property
    def failed(self) -> bool:
        return self.version is None and self.ended < math.inf


@dataclass(frozen=True, slots=True)
class Change:
    """An endpoint that drains or is removed as of a version of the list."""

    endpoint: str
    version: int
    at: float
    until: float = math.inf  # when it was listed as active again


@dataclass(frozen=True, slots=True)
class ProcessRun:
    """What one process of a member could observe of discovery, and when."""

    began: float
    known: int  # version of the list that the process was started with
    ask_within_s: float
    ended: float = math.inf
    pushed: bool = False  # lists come from an agent on the member's machine
    calls: Sequence[ListCall] = ()  # in order of their start
    silences: Sequence[Span] = ()  # of the link to discovery
    refusing: Sequence[Span] = ()  # of discovery, and of the link to it
    cuts: Sequence[Span] = ()  # of the link to discovery, silent or refusing
    down: Sequence[Span] = ()  # of discovery itself
    slow: Sequence[Slowness] = ()
    moves: Sequence[float] = ()  # SIGHUPs that moved discovery's address


def notified_at(change: Change, run: ProcessRun) -> float:
    """When the change counts as notified to this process; inf: never."""
    if change.version <= run.known:
        return max(change.at, run.began)
    made = change.at
    return max(
        run.began,
        min(
            written(change, run),
            pushed(made, run),
            after_silence(made, run),
            after_reachable(made, run),
            after_move(made, run),
            without_watch(made, run),
        ),
    )


def written(change: Change, run: ProcessRun) -> float:
    """When discovery wrote the change to the member."""
    found = [
        call.ended
        for call in run.calls
        if call.version is not None and call.version >= change.version and call.ended >= change.at
    ]
    return min(found, default=math.inf)


def pushed(made: float, run: ProcessRun) -> float:
    """When the agent had the change, with or without a watch; not while discovery is down."""
    if not run.pushed:
        return math.inf
    had = _first_outside(max(made, run.began), run.down)
    out = [call for call in run.calls if call.began <= had < call.ended]
    if any(_silent_since(call, run) is not None for call in out) or _is_cut(had, run):
        return math.inf
    moves = [at + MOVED_S for at in run.moves if at <= had < at + MOVED_S]
    return max([had, *moves]) + _max_slowness(made, had, run)


def after_silence(made: float, run: ProcessRun) -> float:
    """`SILENCE_S` after a call that misses the change fell silent."""
    found = []
    for index, call in enumerate(run.calls):
        later = [one.ended for one in run.calls[index + 1 :] if one.version is not None]
        if (silent_at := _silent_since(call, run)) is None or made > min([call.ended, *later]):
            continue
        if call.version is None:
            found.append(max(made, _after_reachable_for(silent_at + SILENCE_S, SILENCE_S, run)))
    return min(found, default=math.inf)


def after_reachable(made: float, run: ProcessRun) -> float:
    """`REACHED_S` after discovery had the change and could be reached."""
    return _after_reachable_for(made + REACHED_S, REACHED_S, run)


def after_move(made: float, run: ProcessRun) -> float:
    """`MOVED_S` after the SIGHUP to a new address, unless that address answered before the change."""
    found = []
    for at in run.moves:
        answers = [call.ended for call in run.calls if call.began >= at and call.version is not None]
        due = at + MOVED_S
        if made < min([due, *answers]) and not _within(due, run.refusing):
            found.append(due)
    return min(found, default=math.inf)


def without_watch(made: float, run: ProcessRun) -> float:
    """`askWithin` after the change and after the last call, or four times that if the call failed."""
    if not run.calls:
        return _unwatched(made, run.began, run.ended, run.ask_within_s, run)
    found = [_unwatched(made, run.began, run.calls[0].began, run.ask_within_s, run)]
    following = [*(call.began for call in run.calls[1:]), run.ended]
    for call, next_call in zip(run.calls, following, strict=True):
        allowed_s = run.ask_within_s * (FAILED_CALL_FACTOR if call.failed else 1.0)
        if next_call - call.ended > WATCH_GAP_S:
            found.append(_unwatched(made, call.ended, next_call, allowed_s, run))
    return min(found)


def _unwatched(made: float, last: float, next_call: float, allowed_s: float, run: ProcessRun) -> float:
    """The moment within a gap between two calls; inf where the next call comes before it."""
    at = _after_reachable_for(max(made, last) + allowed_s, allowed_s, run)
    return at if at < next_call else math.inf


def _silent_since(call: ListCall, run: ProcessRun) -> float | None:
    """When the call fell silent; None: never."""
    if call.hung_at is not None:
        return call.hung_at
    for span in run.silences:
        if span.begin < call.ended and call.began < span.end:
            return max(span.begin, call.began)
    return None


def _is_cut(at: float, run: ProcessRun) -> bool:
    return _within(at, run.cuts)


def _within(at: float, spans: Iterable[Span]) -> bool:
    return any(span.begin <= at < span.end for span in spans)


def _first_outside(at: float, spans: Iterable[Span]) -> float:
    """The first moment at or after `at` that lies in none of the spans."""
    for span in sorted(spans, key=lambda one: one.begin):
        if span.begin <= at < span.end:
            at = span.end
    return at


def _after_reachable_for(at: float, for_s: float, run: ProcessRun) -> float:
    """The first moment at or after `at` that follows `for_s` seconds without a refusal by discovery."""
    if run.pushed:
        return at
    refused = [Span(call.began, call.ended) for call in run.calls if call.refused]
    for span in sorted((*run.refusing, *refused), key=lambda one: one.end):
        if span.begin < at and span.end > at - for_s:
            at = span.end + for_s
    return at


def _max_slowness(begin: float, end: float, run: ProcessRun) -> float:
    found = [one.slow_s for one in run.slow if one.span.begin < end and begin < one.span.end]
    return max(found, default=0.0)


def forbidden_spans(change: Change, run: ProcessRun) -> list[Span]:
    """The spans in which the change counts as notified to this process.

    An answer with an older list ends such a span, and the change then counts as made at that moment.
    """
    end = min(change.until, run.ended)
    begin = max(change.at, run.began)
    older = sorted(
        call.ended
        for call in run.calls
        if call.version is not None and call.version < change.version and begin < call.ended < end
    )
    found = []
    for first, stop in itertools.pairwise([begin, *older, max(begin, end)]):
        calls = [call for call in run.calls if call.began < stop]
        anew = first != begin  # an older list has replaced it
        as_made = replace(change, at=first if anew else change.at)
        at = notified_at(as_made, replace(run, calls=calls, known=-1 if anew else run.known))
        if at < stop:
            found.append(Span(at, stop))
    return found
