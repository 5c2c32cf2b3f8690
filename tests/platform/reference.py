"""When a change of discovery's list counts as notified: a model written from the platform's pages alone.

The pages are PROTOCOL-mountgauge.md ("Discovery", "The rules on sockets", "Figures") and STANDING.md. The
model knows a schedule of changes and faults, and the record of one sender's calls; it knows nothing of how
the sender decides when to call, nor of what it believes. Where the pages leave a clause open, it takes the
earlier moment; a later one stays where the pages say so, or where no sender that serves could keep the
earlier one:

- "Could be reached" holds but while discovery is down. The 6 s run anew after such an outage, as the pages
  say of `askWithin` ("counted anew when discovery is back"); a discovery that is silent, slow or crowded can
  be reached, whatever becomes of this sender's calls. So can an agent always: "while discovery is down the
  agent is silent", and does not refuse.
- What a watch misses counts 6 s after it fell silent, whether or not its wait is over by then.
- A spoilt answer counts as written. The answer after a spoilt one is whole.
- After a move the 4 s hold for all changes up to the new address's first answer, unless it refuses as they
  end; of two moves without an answer the first one's count.
- With no watch open, `askWithin` holds until a call is made: what that one misses has the clause on silence,
  and so has what was made before it, after the answer that it follows.
- Where lists are pushed, a change counts at once, or at the return of an agent that held its calls; where
  the call that is out, or the next one if none is and it comes within 200 ms of the last answer, has failed
  or is silent, by the other clauses ("one clock for silence, whether lists are pushed or asked for"). A slow
  agent has its change as it writes it: a sender could keep an earlier moment only by never sending.
- An endpoint that has come back is no longer draining, whether or not the sender knows.
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
GRACE_S = 0.25 + 0.05  # of a drain, with what every time limit is longer on sockets
LOSS_PAUSE_S = 8.0
SHORT_S = 0.05  # a call that may wait so long is no watch


class State(Enum):
    """What the list says of an endpoint."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


class OutageKind(Enum):
    """What discovery does during an outage."""

    REFUSING = "refusing"  # down: open calls end, new connections are refused
    DOWN = "down"  # down: open calls and new ones are answered 503
    CROWDED = "crowded"  # new calls are answered 503, open watches go on
    CROWDED_OR_SILENT = "crowded-or-silent"  # every second new call is answered 503, the others never
    SILENT = "silent"  # open calls and new ones are never answered, also after it
    HOLDING = "holding"  # all calls are answered at its end
    SLOW = "slow"  # each answer takes `delay_s`
    HASTY = "hasty"  # watches are answered at once, with nothing newer


_IS_DOWN = (OutageKind.REFUSING, OutageKind.DOWN)
_BLOCKING = (
    *_IS_DOWN,
    OutageKind.CROWDED,
    OutageKind.CROWDED_OR_SILENT,
    OutageKind.SILENT,
    OutageKind.HOLDING,
)


@dataclass(frozen=True, slots=True)
class Change:
    """An endpoint's state from a moment on; the changes of a schedule are numbered from 1, in order."""

    at: float
    hop: str
    state: State


@dataclass(frozen=True, slots=True)
class Outage:
    """A time of trouble at discovery, whatever its address."""

    at: float
    until: float
    trouble: OutageKind
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Loss:
    """So many calls from this moment on are not answered."""

    at: float
    calls: int = 1


@dataclass(frozen=True, slots=True)
class CorruptAnswer:
    """The next answer from this moment on breaks off, or cannot be read."""

    at: float


@dataclass(frozen=True, slots=True)
class Move:
    """SIGHUP: discovery has a new address. What is drawn as an outage right after it is the new one's."""

    at: float


@dataclass(frozen=True, slots=True)
class Reload:
    """SIGHUP: another `askWithin`."""

    at: float
    ask_within_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """The sender's process stands still for so long: what comes meanwhile lies unread."""

    at: float
    for_s: float

    @property
    def until(self) -> float:
        """When it goes on."""
        return self.at + self.for_s


Event = Change | Outage | Loss | CorruptAnswer | Move | Reload | Pause


@dataclass(frozen=True, slots=True)
class Schedule:
    """What happens to one sender and its discovery."""

    balancers: int
    ask_within_s: float
    pushed: bool
    hold_up_s: float  # of the sender, between its look and its write
    connect_s: float  # between the choice of an endpoint and the look before the first byte
    seed: int
    events: tuple[Event, ...]

    @property
    def changes(self) -> list[Change]:
        """The changes, in order: the version of the list is the number of those made."""
        return [event for event in self.events if isinstance(event, Change)]

    @property
    def outages(self) -> list[Outage]:
        """The outages, in order; they do not overlap."""
        return [event for event in self.events if isinstance(event, Outage)]

    @property
    def pauses(self) -> list[Pause]:
        """The times in which the sender stands still, in order."""
        return [event for event in self.events if isinstance(event, Pause)]

    @property
    def moves(self) -> list[float]:
        """When discovery moved."""
        return [event.at for event in self.events if isinstance(event, Move)]

    @property
    def end(self) -> float:
        """When everything must have counted as notified."""
        last = max((getattr(event, "until", event.at) for event in self.events), default=0.0)
        longest = max([self.ask_within_s, *(e.ask_within_s for e in self.events if isinstance(e, Reload))])
        return float(last) + min(60.0, longest) + 2 * AFTER_REACHED_S


@dataclass(slots=True)
class CallRecord:
    """One call as discovery and the network saw it."""

    made_at: float
    wait_s: float
    silent_from: float | None = None
    failed_at: float | None = None
    closed_at: float = inf  # by the sender
    written_at: float | None = None
    connects: bool = True  # its connection comes up


@dataclass(frozen=True, slots=True)
class Written:
    """An answer that discovery has written, whole or not."""

    at: float
    version: int
    spoilt: bool


@dataclass(slots=True)
class Record:
    """All that passed between a sender and discovery."""

    calls: list[CallRecord] = field(default_factory=list)
    written: list[Written] = field(default_factory=list)


class Reference:
    """When each change of a schedule counts as notified to the sender whose record this is."""

    def __init__(self, schedule: Schedule, record: Record) -> None:
        self._schedule, self._record = schedule, record

    def drains(self) -> Iterator[tuple[str, float, float]]:
        """Endpoint, from when nothing may be sent to it, and until when that holds."""
        changes = self._schedule.changes
        for version, change in enumerate(changes, 1):
            if change.state is State.ACTIVE:
                continue
            back = [later.at for later in changes[version:]
                    if later.hop == change.hop and later.state is State.ACTIVE]  # fmt: skip
            yield change.hop, self.notified_at(version) + GRACE_S, min(back, default=inf)

    def notified_at(self, version: int) -> float:
        """The earliest of all clauses."""
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
        heard = (answer for answer in self._record.written if answer.version >= version)
        return min((answer.at for answer in heard), default=inf)

    def _within_watch(self, made_at: float) -> float:
        """A watch goes on while the next call comes soon enough: changes in between count."""
        before = max((answer.at for answer in self._record.written if answer.at < made_at), default=-inf)
        after = [call for call in self._record.calls if call.made_at >= made_at]
        if not after or after[0].made_at > before + WATCH_GAP_S:
            return inf
        heard = after[0].silent_from is None and after[0].failed_at is None
        return made_at if heard and not self._delay(made_at, after[0].made_at) else inf

    def _pushed(self, made_at: float) -> float:
        """What the agent has counts at once, also what it gets at its return."""
        if not self._schedule.pushed:
            return inf
        at = made_at
        for outage in self._schedule.outages:
            if outage.trouble is OutageKind.HOLDING and outage.at <= at < outage.until:
                at = outage.until
        for moved_at in self._schedule.moves:
            if moved_at <= at < moved_at + AFTER_MOVE_S:
                at = moved_at + AFTER_MOVE_S
        if self._lost(at) or any(begin < at + GRACE_S and end > at for begin, end in self._blocked()):
            return inf
        return at + self._delay(min(made_at, self._out_since(at)), at)

    def _out_since(self, at: float) -> float:
        """When the newest call was made that is out then; `at` itself where none is. One that came to the
        agent in a slow time is answered as late, also when that time is over.
        """
        before = [call for call in self._record.calls if call.made_at <= at]
        return before[-1].made_at if before and not _before(before[-1].written_at, at) else at

    def _lost(self, at: float) -> bool:
        """Whether the newest call has failed or fallen silent, or was answered and the next one, which goes
        on with the same watch, is lost.
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
        found = [self._missed_by(call, made_at) for call in self._record.calls]
        return min(found, default=inf)

    def _missed_by(self, call: CallRecord, made_at: float) -> float:
        silent = call.silent_from is not None and call.silent_from < call.closed_at
        if call.silent_from is None or not silent or made_at > call.closed_at:
            return inf
        return max(made_at, self._reachable_for(AFTER_REACHED_S, call.silent_from))

    def _reached(self, made_at: float) -> float:
        """6 s after discovery had it and could be reached; `askWithin` four times, if that is less."""
        limit = min(AFTER_REACHED_S, FAILED_FACTOR * self._ask_within(made_at))
        return self._reachable_for(limit, made_at)

    def _unasked(self, made_at: float) -> float:
        """No call is out or made, and the last one was answered: `askWithin` after the change."""
        calls = [call for call in self._record.calls if call.made_at <= made_at]
        if not calls or any(not _before(call.written_at, made_at) for call in calls):
            return inf
        at = self._reachable_for(self._ask_within(made_at), made_at)
        asked = len(self._record.calls) > len(calls) and self._record.calls[len(calls)].made_at <= at
        return inf if asked else at

    def _moved(self, made_at: float) -> float:
        return min((self._moved_once(at, made_at) for at in self._schedule.moves), default=inf)

    def _moved_once(self, moved_at: float, made_at: float) -> float:
        heard = [call.written_at for call in self._record.calls if call.made_at >= moved_at]
        if made_at >= min((at for at in heard if at is not None), default=inf):
            return inf
        due = moved_at + AFTER_MOVE_S
        refused = any(begin <= due < end for begin, end in self._refusing())
        return inf if refused else max(due, made_at)

    # Spans of time

    def _ask_within(self, made_at: float) -> float:
        """The longest `askWithin` that held at any time from the change on, for the time of the rule."""
        values = [self._schedule.ask_within_s]
        for event in self._schedule.events:
            if isinstance(event, Reload):
                values = [event.ask_within_s] if event.at <= made_at else [*values, event.ask_within_s]
        return max(values)

    def _blocked(self) -> list[tuple[float, float]]:
        return sorted((o.at, o.until) for o in self._schedule.outages if o.trouble in _BLOCKING)

    def _refusing(self) -> list[tuple[float, float]]:
        if self._schedule.pushed:
            return []
        return sorted((o.at, o.until) for o in self._schedule.outages if o.trouble in _IS_DOWN)

    def _reachable_for(self, span: float, since: float) -> float:
        """The first moment before which discovery could be reached for so long on end."""
        for begin, end in self._refusing():
            if end > since and begin < since + span:
                since = end
        return since + span

    def _delay(self, since: float, until: float) -> float:
        """The longest time that an answer took."""
        slow = [o for o in self._schedule.outages if o.trouble is OutageKind.SLOW]
        return max((o.delay_s for o in slow if o.at <= until and o.until >= since), default=0.0)


def _before(moment: float | None, at: float) -> bool:
    return moment is not None and moment <= at
