"""Records of the traffic and the injected faults of a run, kept in order and written as JSON lines.

Times are seconds of the rig's clock; 0 is the moment at which the schedule's time begins. A record has a
kind and the fields of that kind. The oracle and the figures read nothing else.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple


class Event(NamedTuple):
    """One event of a run. Kinds:

    offer, handed, taken, refused, failed, unheard: a message submitted to a member (`member`, `id`, `key`,
    `grade`, `dest`, `left`); call, answer, broken: a delivery attempt at an endpoint (`call` is its number);
    notice: the outcome reported to the platform; told: a list was written to a member; list-call; fault;
    start, ready, gone: a process; lag: the rig's own loop was late, so that calls arrived in a burst; log: a
    line of a member's log; bears: the current capacity of a partner.

    Of the list: change: discovery has a new version; discovery, discovery-link: the new state of discovery
    and of a member's link to it; known: the list that a process is started with; sighup; list-ask, list-end:
    a call that a member makes, and the end of its connection; list-failed, dial-refused: a call that failed;
    list-hung: a call that is never answered.
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
    """All events of a run, in the schedule's time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.all: list[Event] = []
        self.clock, self.zero = clock, 0.0

    @property
    def now(self) -> float:
        """Seconds since time 0 of the schedule."""
        return self.clock() - self.zero

    def add(self, event_kind: str, **fields: Any) -> Event:
        """Record an event at the current time."""
        event = Event(self.now, event_kind, fields)
        self.all.append(event)
        return event

    def begin(self, at: float = 0.0) -> None:
        """Set the current time to `at`; earlier events are shifted to earlier times."""
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
    """The events in a run's file; ValueError where a line is not an event."""
    found = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            raw = json.loads(line)
            found.append(Event(float(raw.pop("at")), str(raw.pop("kind")), raw))
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"{path}:{number}: not an event: {error}") from None
    return found


def of_kinds(events: Iterable[Event], *kinds: str) -> list[Event]:
    """The events of these kinds, in their order."""
    return [event for event in events if event.kind in kinds]
