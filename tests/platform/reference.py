"""When a change of discovery's list counts as notified: a model written from the platform's pages alone.

The pages are PROTOCOL-mountgauge.md ("Discovery", "The rules on sockets", "Figures") and STANDING.md. The
model is given a schedule of changes and faults and the record of one sender's calls. It does not know how the
sender decides when to call, nor what state the sender assumes. Where the pages leave a clause open, the model
takes the earlier time. It takes a later one where the pages say so, or where no sender that still serves
could meet the earlier one:

- "Could be reached" is false only while discovery is down. The 6 s start anew after such an outage, as the
  pages say of `askWithin` ("counted anew when discovery is back"). A silent, slow or overloaded discovery can
  be reached, however this sender's calls end. An agent can always be reached: "while discovery is down the
  agent is silent", and does not refuse.
- A change that a silent watch misses counts 6 s after the watch fell silent, whether or not its wait is over.
- A corrupt answer counts as written. The answer after a corrupt one is intact.
- After a move the 4 s hold for all changes up to the first answer of the new address, unless it refuses calls
  as they end; of two moves without an answer in between, the time of the first one counts.
- While no watch is open, `askWithin` holds until a call is made. The clause on silence covers a change that
  this call misses, and also one made before the call, after the answer that it follows.
- Where lists are pushed, a change counts at once, or when an agent that held its calls resumes. If the call
  in flight has failed or is silent, the other clauses hold ("one clock for silence, whether lists are pushed
  or asked for"); if none is in flight, the next call decides, if it comes within 200 ms of the last answer. A
  slow agent has its change as it writes it: a sender could only meet an earlier time by never sending.
- An endpoint that is active again is no longer draining, whether or not the sender knows.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from math import inf

AFTER_REACHED_S = 6.0
AFTER_MOVE_S = 4.0
FAILED_FACTOR = 4
WATCH_GAP_S = 0.2
GRACE_S = 0.25 + 0.05  # of a drain, with the tolerance of every time limit on sockets
LOSS_PAUSE_S = 8.0
SHORT_S = 0.05  # a call with a shorter wait is no watch


class State(Enum):
    """The state of an endpoint in the list."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


class OutageKind(Enum):
    """How discovery behaves during an outage."""

    REFUSING = "refusing"  # down: open calls are ended, new connections are refused
    DOWN = "down"  # down: open calls and new ones are answered 503
    OVERLOADED = "overloaded"  # new calls are answered 503, open watches are kept
    # every second new call is answered 503, the others are not answered
    OVERLOADED_OR_SILENT = "overloaded-or-silent"
    SILENT = "silent"  # open and new calls are never answered, also not after its end
    HOLDING = "holding"  # all calls are answered at its end
    SLOW = "slow"  # each answer takes `delay_s`
    IMMEDIATE = "immediate"  # watches are answered at once, without changes


_IS_DOWN = (OutageKind.REFUSING, OutageKind.DOWN)
_BLOCKING = (
    *_IS_DOWN,
    OutageKind.OVERLOADED,
    OutageKind.OVERLOADED_OR_SILENT,
    OutageKind.SILENT,
    OutageKind.HOLDING,
)


@dataclass(frozen=True, slots=True)
class Change:
    """A new state of an endpoint; the changes of a schedule are numbered from 1, in order."""

    at: float
    hop: str
    state: State


@dataclass(frozen=True, slots=True)
class Outage:
    """An outage of discovery, at all of its addresses."""

    at: float
    until: float
    kind: OutageKind
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Loss:
    """The next `calls` calls are not answered."""

    at: float
    calls: int = 1


@dataclass(frozen=True, slots=True)
class CorruptAnswer:
    """The next answer is cut off, or cannot be parsed."""

    at: float


@dataclass(frozen=True, slots=True)
class Move:
    """SIGHUP: discovery has a new address. An outage right after it is one of the new address."""

    at: float


@dataclass(frozen=True, slots=True)
class Reload:
    """SIGHUP: a new `askWithin`."""

    at: float
    ask_within_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """The sender's process is stopped for this time, and reads nothing meanwhile."""

    at: float
    for_s: float

    @property
    def until(self) -> float:
        """When the process resumes."""
        return self.at + self.for_s


Event = Change | Outage | Loss | CorruptAnswer | Move | Reload | Pause


@dataclass(frozen=True, slots=True)
class Schedule:
    """The settings and events of one sender and its discovery."""

    balancers: int
    ask_within_s: float
    pushed: bool
    hold_up_s: float  # of the sender, between its check and its write
    connect_s: float  # between the choice of an endpoint and the check before the first byte
    seed: int
    events: tuple[Event, ...]

    @property
    def changes(self) -> list[Change]:
        """The changes, in order; the version of the list is the number of changes made so far."""
        return [event for event in self.events if isinstance(event, Change)]

    @property
    def outages(self) -> list[Outage]:
        """The outages, in order; they do not overlap."""
        return [event for event in self.events if isinstance(event, Outage)]

    @property
    def pauses(self) -> list[Pause]:
        """The times in which the sender is stopped, in order."""
        return [event for event in self.events if isinstance(event, Pause)]

    @property
    def moves(self) -> list[float]:
        """The times at which discovery moved."""
        return [event.at for event in self.events if isinstance(event, Move)]

    @property
    def end(self) -> float:
        """The time by which all changes count as notified."""
        last = max((getattr(event, "until", event.at) for event in self.events), default=0.0)
        longest = max([self.ask_within_s, *(e.ask_within_s for e in self.events if isinstance(e, Reload))])
        return float(last) + min(60.0, longest) + 2 * AFTER_REACHED_S


@dataclass(slots=True)
class CallRecord:
    """One call as seen by discovery and the network."""

    made_at: float
    wait_s: float
    silent_from: float | None = None
    failed_at: float | None = None
    closed_at: float = inf  # by the sender
    written_at: float | None = None
    connects: bool = True  # its connection is established


@dataclass(frozen=True, slots=True)
class Written:
    """An answer that discovery has written, intact or not."""

    at: float
    version: int
    corrupt: bool


@dataclass(slots=True)
class Record:
    """All calls and answers between a sender and discovery."""

    calls: list[CallRecord] = field(default_factory=list)
    written: list[Written] = field(default_factory=list)


class Reference:
    """Computes when each change of a schedule counts as notified to the sender with this record."""

    def __init__(self, schedule: Schedule, record: Record) -> None:
        self._schedule, self._record = schedule, record

    def drains(self) -> Iterator[tuple[str, float, float]]:
        """Yield each drained endpoint with the start and the end of the time in which nothing may be sent to
        it.
        """
        changes = self._schedule.changes
        for version, change in enumerate(changes, 1):
            if change.state is State.ACTIVE:
                continue
            reactivated = [later.at for later in changes[version:]
                    if later.hop == change.hop and later.state is State.ACTIVE]  # fmt: skip
            yield change.hop, self.notified_at(version) + GRACE_S, min(reactivated, default=inf)

    def notified_at(self, version: int) -> float:
        """The earliest time that any clause gives for the change of this version."""
        made_at = self._schedule.changes[version - 1].at
        return min(
            self._written(version),
            self._within_watch(made_at),
            self._pushed(made_at),
            self._silence(made_at),
            self._reached(made_at),
            self._unasked(made_at),
            self._moved(made_at),
        )

    # Clauses

    def _written(self, version: int) -> float:
        times = (answer.at for answer in self._record.written if answer.version >= version)
        return min(times, default=inf)

    def _within_watch(self, made_at: float) -> float:
        """Calls within the watch gap are one watch, and changes between them count."""
        before = max((answer.at for answer in self._record.written if answer.at < made_at), default=-inf)
        after = [call for call in self._record.calls if call.made_at >= made_at]
        if not after or after[0].made_at > before + WATCH_GAP_S:
            return inf
        answered = after[0].silent_from is None and after[0].failed_at is None
        return made_at if answered and not self._delay(made_at, after[0].made_at) else inf

    def _pushed(self, made_at: float) -> float:
        """The changes that the agent has count at once, also those that it receives when it resumes."""
        if not self._schedule.pushed:
            return inf
        at = made_at
        for outage in self._schedule.outages:
            if outage.kind is OutageKind.HOLDING and outage.at <= at < outage.until:
                at = outage.until
        for moved_at in self._schedule.moves:
            if moved_at <= at < moved_at + AFTER_MOVE_S:
                at = moved_at + AFTER_MOVE_S
        if self._lost(at) or any(begin < at + GRACE_S and end > at for begin, end in self._blocked()):
            return inf
        return at + self._delay(min(made_at, self._in_flight_since(at)), at)

    def _in_flight_since(self, at: float) -> float:
        """The time at which the newest call in flight at `at` was made; `at` itself if there is none. A call
        that reached the agent while it was slow is answered late even if the agent is fast again.
        """
        before = [call for call in self._record.calls if call.made_at <= at]
        return before[-1].made_at if before and not _before(before[-1].written_at, at) else at

    def _lost(self, at: float) -> bool:
        """Whether the newest call has failed or is silent, or it was answered and the next one, which
        continues the same watch, is lost.
        """
        before = [call for call in self._record.calls if call.made_at <= at]
        if before and not _before(before[-1].written_at, at):
            return _before(before[-1].silent_from, at) or _before(before[-1].failed_at, at)
        answered_at = max((answer.at for answer in self._record.written if answer.at <= at), default=-inf)
        after = self._record.calls[len(before) : len(before) + 1]
        return any(
            call.made_at <= answered_at + WATCH_GAP_S
            and (call.silent_from is not None or call.failed_at is not None)
            for call in after
        )

    def _silence(self, made_at: float) -> float:
        times = [self._missed_by(call, made_at) for call in self._record.calls]
        return min(times, default=inf)

    def _missed_by(self, call: CallRecord, made_at: float) -> float:
        silent = call.silent_from is not None and call.silent_from < call.closed_at
        if call.silent_from is None or not silent or made_at > call.closed_at:
            return inf
        return max(made_at, self._reachable_for(AFTER_REACHED_S, call.silent_from))

    def _reached(self, made_at: float) -> float:
        """6 s after discovery had the change and could be reached, or four times `askWithin` if less."""
        limit = min(AFTER_REACHED_S, FAILED_FACTOR * self._ask_within(made_at))
        return self._reachable_for(limit, made_at)

    def _unasked(self, made_at: float) -> float:
        """No call is in flight or made, and the last one was answered: `askWithin` after the change."""
        calls = [call for call in self._record.calls if call.made_at <= made_at]
        if not calls or any(not _before(call.written_at, made_at) for call in calls):
            return inf
        at = self._reachable_for(self._ask_within(made_at), made_at)
        called = len(self._record.calls) > len(calls) and self._record.calls[len(calls)].made_at <= at
        return inf if called else at

    def _moved(self, made_at: float) -> float:
        return min((self._moved_once(at, made_at) for at in self._schedule.moves), default=inf)

    def _moved_once(self, moved_at: float, made_at: float) -> float:
        answered_at = [call.written_at for call in self._record.calls if call.made_at >= moved_at]
        if made_at >= min((at for at in answered_at if at is not None), default=inf):
            return inf
        due = moved_at + AFTER_MOVE_S
        refused = any(begin <= due < end for begin, end in self._refusing())
        return inf if refused else max(due, made_at)

    # Spans of time

    def _ask_within(self, made_at: float) -> float:
        """The longest `askWithin` in force at any time since the change."""
        values = [self._schedule.ask_within_s]
        for event in self._schedule.events:
            if isinstance(event, Reload):
                values = [event.ask_within_s] if event.at <= made_at else [*values, event.ask_within_s]
        return max(values)

    def _blocked(self) -> list[tuple[float, float]]:
        return sorted((o.at, o.until) for o in self._schedule.outages if o.kind in _BLOCKING)

    def _refusing(self) -> list[tuple[float, float]]:
        if self._schedule.pushed:
            return []
        return sorted((o.at, o.until) for o in self._schedule.outages if o.kind in _IS_DOWN)

    def _reachable_for(self, span: float, since: float) -> float:
        """The first time at which discovery could be reached for an uninterrupted `span` since `since`."""
        for begin, end in self._refusing():
            if end > since and begin < since + span:
                since = end
        return since + span

    def _delay(self, since: float, until: float) -> float:
        """The longest time that an answer takes in this interval."""
        slow = [o for o in self._schedule.outages if o.kind is OutageKind.SLOW]
        return max((o.delay_s for o in slow if o.at <= until and o.until >= since), default=0.0)


def _before(time: float | None, at: float) -> bool:
    return time is not None and time <= at
