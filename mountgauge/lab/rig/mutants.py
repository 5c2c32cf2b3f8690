"""Senders that break one rule each: only an oracle that detects all of them proves anything by a clean run.

    python -m mountgauge.lab.rig.mutants NAME run FILE

`MUTANTS` maps each name to the rule that it breaks and to the function that patches the program before it
starts. `ON_DRAINS` has the mutants that only a failing discovery reveals, as in
`experiments/rig/drains.toml`.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from mountgauge import next_hops, notices
from mountgauge.cli import main
from mountgauge.core import sender as core
from mountgauge.core.journal import Journal
from mountgauge.core.ports import Call, MessageOutcome, Status
from mountgauge.lab.faults.lease import ignore_silent_expiry
from mountgauge.next_hops import HttpNextHops
from mountgauge.platform import watch, watch_bounds
from rillspindle import interface
from rillspindle.interface import Readiness

_LONGER_THAN_A_SCENE_S = 60.0


def _forgets() -> None:
    """Answers +OK without a journal record, so its messages are lost with the process."""
    take = Journal.accept

    def forgetful(self: Journal, stored: Any) -> None:
        self.live[stored.id] = stored

    setattr(Journal, "accept", forgetful)  # noqa: B010
    assert take is not None


def _never_tells() -> None:
    """Sends no notices."""

    def report(self: Any, msg_id: str, end: MessageOutcome, reported: Callable[[], None]) -> None:
        reported()

    setattr(notices.Notices, "report_outcome", report)  # noqa: B010


def _tells_two_ends() -> None:
    """Reports a deferred message as undeliverable as well."""
    report = notices.Notices.report_outcome

    def both(self: Any, msg_id: str, end: MessageOutcome, reported: Callable[[], None]) -> None:
        report(self, msg_id, end, reported)
        if end.status is Status.DEFERRED:
            later = MessageOutcome(Status.UNDELIVERABLE)
            asyncio.get_running_loop().call_later(0.2, report, self, msg_id, later, lambda: None)

    setattr(notices.Notices, "report_outcome", both)  # noqa: B010


def _two_out() -> None:
    """Sends a second call on another connection while the first is in flight."""
    start = HttpNextHops.start

    def twice(self: HttpNextHops, call: Call) -> None:
        start(self, call)
        asyncio.get_running_loop().create_task(_copy(call))

    setattr(HttpNextHops, "start", twice)  # noqa: B010


async def _copy(call: Call) -> None:
    item = call.items[0]
    try:
        reader, writer = await asyncio.open_connection(call.hop.host, call.hop.port)
        head = f"POST /hook HTTP/1.1\r\nX-Trace-Id: {item.id}\r\nContent-Length: {len(item.body)}\r\n\r\n"
        writer.write(head.encode() + item.body)
        await reader.readline()
        writer.close()
    except OSError:
        pass


def _repeats() -> None:
    """Treats every message class as idempotent."""
    read = interface.MessageClass.from_mapping

    def lax(raw: Any, name: str) -> interface.MessageClass:
        return replace(read(raw, name), semantics="idempotent")

    setattr(interface.MessageClass, "from_mapping", staticmethod(lax))  # noqa: B010


def _deaf_to_waits() -> None:
    """Ignores required waits."""
    setattr(next_hops, "retry_after_s", lambda message: 0.0)  # noqa: B010


def _deaf_to_drains() -> None:
    """Keeps sending to draining endpoints."""
    learn = core.Sender.list_changed

    def deaf(self: core.Sender, update: Any) -> None:
        hops = tuple(hop._replace(entry=hop.entry._replace(readiness=Readiness.READY)) for hop in update.hops)
        learn(self, type(update)(update.version, False, hops))

    setattr(core.Sender, "list_changed", deaf)  # noqa: B010


def _late() -> None:
    """Reports outcomes long after the deadline of the message."""
    report = notices.Notices.report_outcome

    def late(self: Any, msg_id: str, end: MessageOutcome, reported: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(6.0, report, self, msg_id, end, reported)

    setattr(notices.Notices, "report_outcome", late)  # noqa: B010


def _waits_on_silence() -> None:
    """Requests the list again only long after a call fell silent, and uses the old one meanwhile."""
    ignore_silent_expiry()
    setattr(watch, "ANSWER_MARGIN_S", _LONGER_THAN_A_SCENE_S)  # noqa: B010
    setattr(watch_bounds.WatchBounds, "hedge_delay_s", lambda bounds, calls: _LONGER_THAN_A_SCENE_S)  # noqa: B010


MUTANTS: dict[str, tuple[str, Callable[[], None]]] = {
    "forgets": ("final", _forgets),
    "never-tells": ("final", _never_tells),
    "late": ("final", _late),
    "tells-two-ends": ("ends", _tells_two_ends),
    "two-out": ("two-out", _two_out),
    "repeats": ("repeat", _repeats),
    "deaf-to-waits": ("wait", _deaf_to_waits),
    "deaf-to-drains": ("drain", _deaf_to_drains),
}

ON_DRAINS: dict[str, tuple[str, Callable[[], None]]] = {"waits-on-silence": ("drain", _waits_on_silence)}

if __name__ == "__main__":
    (MUTANTS | ON_DRAINS)[sys.argv[1]][1]()
    sys.exit(main(sys.argv[2:]))
