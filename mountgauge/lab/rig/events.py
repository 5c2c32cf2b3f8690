"""What went over the links and what was done to whom: one record each, kept in order and written as JSON
lines.

Times are seconds of one clock (the rig's), 0 is the moment from which the schedule counts. A record has a
kind and the fields that the kind needs; the oracle and the figures read these alone.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple


class Event(NamedTuple):
    """One thing that happened. Kinds:

    offer, taken, refused, failed, unheard: a message at a member's door (`member`, `id`, `key`, `grade`,
    `dest`, `left`); call, answer, broken: a delivery attempt at an endpoint (`call` numbers it); notice:
    the end that the platform was told; told: a list was written to a member; list-call; fault; start,
    ready, gone: a process; lag: the rig's own loop was late, so that calls came in a clump; log: a line of
    a member's log; bears: what a partner bears now.

    Of the list: change: discovery has a new version; discovery, discovery-link: how it and a member's way
    to it fare from then on; known: the list that a process is started with; sighup; list-ask, list-end: a
    member's call as it makes it, and its connection's end; list-failed, dial-refused: one that failed;
    list-hung: one that is never answered.
    """

    at: float
    kind: str
    fields: dict[str, Any]

    def __getattr__(self, name: str) -> Any:
        try:
            return self.fields[name]
        except KeyError:
            raise AttributeError(name) from None

    def get(self, name: str, default: Any = None) -> Any:
        return self.fields.get(name, default)


class Events:
    """All that happened, by the schedule's time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.all: list[Event] = []
        self.clock, self.zero = clock, 0.0

    @property
    def now(self) -> float:
        """s since the schedule's zero."""
        return self.clock() - self.zero

    def add(self, event_kind: str, **fields: Any) -> Event:
        event = Event(self.now, event_kind, fields)
        self.all.append(event)
        return event

    def begin(self, at: float = 0.0) -> None:
        """The schedule's time is `at` now: what came before stands at times below."""
        shift = self.now - at
        self.zero += shift
        self.all = [event._replace(at=event.at - shift) for event in self.all]

    def __iter__(self) -> Iterator[Event]:
        return iter(self.all)

    def write(self, path: Path) -> None:
        with path.open("w") as out:
            for event in sorted(self.all, key=lambda one: one.at):
                out.write(json.dumps({"at": round(event.at, 4), "kind": event.kind, **event.fields}) + "\n")


def read(path: Path) -> list[Event]:
    """The events of a run's folder; ValueError where a line is none."""
    found = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            raw = json.loads(line)
            found.append(Event(float(raw.pop("at")), str(raw.pop("kind")), raw))
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"{path}:{number}: not an event: {error}") from None
    return found


def of_kinds(events: Iterable[Event], *kinds: str) -> list[Event]:
    """The events of these kinds, in order."""
    return [event for event in events if event.kind in kinds]
