"""Reads from a run's events what discovery changed and what each process of a member could observe of it."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from mountgauge.lab.rig.events import Event
from mountgauge.lab.rig.notified import Change, ListCall, ProcessRun, Slowness, Span

_PROCESS_EVENTS = (
    "gone", "sighup", "list-ask", "list-end", "list-failed", "list-hung", "dial-refused", "told",
)  # fmt: skip


class OpenSpans:
    """Spans of time, of which the last may still be open."""

    def __init__(self) -> None:
        self.closed: list[Span] = []
        self._since: float | None = None

    def set(self, on: bool, at: float) -> None:
        """Open a span, or close the open one."""
        if on and self._since is None:
            self._since = at
        elif not on and self._since is not None:
            self.closed.append(Span(self._since, at))
            self._since = None

    @property
    def all(self) -> list[Span]:
        """The closed spans and the open one."""
        return self.closed if self._since is None else [*self.closed, Span(self._since)]


@dataclass(eq=False)
class Process:
    """One process of a member."""

    began: float
    known: int
    ended: float = math.inf
    calls: list[ListCall] = field(default_factory=list)
    connections: list[str] = field(default_factory=list)  # of the calls
    moves: list[float] = field(default_factory=list)
    _call_connection: str | None = None  # connection of the call in flight

    def call_started(self, at: float, connection: str, wait_s: float) -> None:
        """A call begins, which ends the one in flight."""
        self.call_failed(at)
        self.calls.append(ListCall(at, wait_s))
        self.connections.append(connection)
        self._call_connection = connection

    def call_failed(self, at: float, connection: str | None = None) -> None:
        """The call in flight (on this connection) has ended without an answer."""
        if self._call_connection is not None and connection in (None, self._call_connection):
            self.calls[-1] = replace(self.calls[-1], ended=at)
            self._call_connection = None

    def call_hung(self, at: float, connection: str) -> None:
        """Discovery will never answer the call on this connection."""
        if (index := self._unanswered_call(connection)) is not None:
            self.calls[index] = replace(self.calls[index], hung_at=at)

    def call_answered(self, at: float, version: int, connection: str) -> None:
        """The call on this connection is answered. It may be older than a call in flight on another one."""
        if (index := self._unanswered_call(connection)) is None:
            return
        self.calls[index] = replace(self.calls[index], ended=at, version=version)
        if index == len(self.calls) - 1:
            self._call_connection = None

    def _unanswered_call(self, connection: str) -> int | None:
        """The index of the newest call on this connection, if it has no answer yet. Where the connection is
        not known, the index of the call in flight.
        """
        if connection in ("", self._call_connection):
            return None if self._call_connection is None else len(self.calls) - 1
        found = [index for index, name in enumerate(self.connections) if name == connection]
        return found[-1] if found and self.calls[found[-1]].version is None else None

    def dial_refused(self, at: float) -> None:
        """A connection attempt was refused."""
        if self._call_connection is None:
            self.calls.append(ListCall(at, 0.0, at, refused=True))
            self.connections.append("")


@dataclass(eq=False)
class _MemberLink:
    """The faults of a member's link to discovery, and the member's processes."""

    silences: OpenSpans = field(default_factory=OpenSpans)
    cuts: OpenSpans = field(default_factory=OpenSpans)
    refusals: OpenSpans = field(default_factory=OpenSpans)
    known: int = -1
    processes: list[Process] = field(default_factory=list)


class ListHistory:
    """Collects the history of the list from a run's events, which it reads in order."""

    def __init__(self, ask_within_s: float, pushed: bool) -> None:
        self._ask_within_s, self._pushed = ask_within_s, pushed
        self._changes: list[Change] = []
        self._inactive: dict[str, int] = {}  # by inactive endpoint: index of its change
        self._listed: set[str] = set()
        self._down = OpenSpans()
        self._slow: list[Slowness] = []
        self._slow_since: tuple[float, float] | None = None  # since when, and the added delay (s)
        self._links: dict[str, _MemberLink] = defaultdict(_MemberLink)

    def read(self, event: Event) -> None:
        """Apply the next event."""
        f = event.fields
        match event.kind:
            case "change":
                self._change(event)
            case "discovery":
                self._discovery(event)
            case "discovery-link":
                link = self._links[f["member"]]
                link.silences.set(bool(f["silent"]), event.at)
                link.cuts.set(bool(f["silent"] or f["refuses"]), event.at)
                link.refusals.set(bool(f["refuses"]), event.at)
            case "known":
                self._links[f["member"]].known = f["version"]
            case "start":
                link = self._links[f["member"]]
                link.processes.append(Process(event.at, link.known))
            case kind if kind in _PROCESS_EVENTS:
                if processes := self._links[f["member"]].processes:
                    _process_event(processes[-1], event)

    def _change(self, event: Event) -> None:
        states: dict[str, str] = event.fields["states"]
        self._listed |= set(states)
        for name in self._listed:
            if states.get(name) == "active":
                if (index := self._inactive.pop(name, None)) is not None:
                    self._changes[index] = replace(self._changes[index], until=event.at)
            elif name not in self._inactive:
                self._inactive[name] = len(self._changes)
                self._changes.append(Change(name, event.fields["version"], event.at))

    def _discovery(self, event: Event) -> None:
        f = event.fields
        self._down.set(f["down"], event.at)
        if self._slow_since is not None:
            since, slow_s = self._slow_since
            self._slow.append(Slowness(Span(since, event.at), slow_s))
        self._slow_since = (event.at, f["slow_s"]) if f["slow_s"] > 0 else None

    def changes(self) -> dict[str, list[Change]]:
        """By endpoint: when it began to drain or was removed."""
        found = defaultdict(list)
        for change in self._changes:
            found[change.endpoint].append(change)
        return found

    def process_runs(self, member: str) -> list[ProcessRun]:
        """The member's processes, first to last."""
        link = self._links[member]
        slow = list(self._slow)
        if self._slow_since is not None:
            slow.append(Slowness(Span(self._slow_since[0]), self._slow_since[1]))
        return [
            ProcessRun(
                one.began,
                one.known,
                self._ask_within_s,
                one.ended,
                self._pushed,
                one.calls,
                link.silences.all,
                [*([] if self._pushed else self._down.all), *link.refusals.all],
                link.cuts.all,
                self._down.all,
                slow,
                one.moves,
            )
            for one in link.processes
        ]


def _process_event(process: Process, event: Event) -> None:
    f = event.fields
    match event.kind:
        case "gone":
            process.ended = event.at
        case "sighup":
            process.moves.append(event.at)
        case "list-ask":
            process.call_started(event.at, f["connection"], f["wait_s"])
        case "list-end":
            process.call_failed(event.at, f["connection"])
        case "list-failed":
            process.call_failed(event.at)
        case "list-hung":
            process.call_hung(event.at, f.get("connection", ""))
        case "dial-refused":
            process.dial_refused(event.at)
        case "told":
            process.call_answered(event.at, f["version"], f.get("connection", ""))


def history(events: Iterable[Event], ask_within_s: float, pushed: bool) -> ListHistory:
    """The history in these events, which must be in order."""
    found = ListHistory(ask_within_s, pushed)
    for event in events:
        found.read(event)
    return found
