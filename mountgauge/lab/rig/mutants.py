"""Senders that break one rule each: the oracle must name every one of them, or its silence proves nothing.

    python -m mountgauge.lab.rig.mutants NAME run FILE

`MUTANTS` maps each name to the rule that it breaks and to what is changed in the program before it starts;
`ON_DRAINS` has those whose fault shows only where discovery fails, as in `experiments/rig/drains.toml`.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
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

_PATIENT_S = 60.0  # s: longer than a scene


def _forgets() -> None:
    """Says +OK without a record: what it holds is gone with its process."""
    take = Journal.accept

    def forgetful(self: Journal, stored: Any) -> None:
        self.live[stored.id] = stored

    setattr(Journal, "accept", forgetful)  # noqa: B010
    assert take is not None


def _never_tells() -> None:
    """Gives up without a notice."""

    def tell(self: Any, msg_id: str, end: MessageOutcome, told: Callable[[], None]) -> None:
        told()

    setattr(notices.Notices, "report_outcome", tell)  # noqa: B010


def _tells_two_ends() -> None:
    """Tells a deferred message as undeliverable as well."""
    tell = notices.Notices.report_outcome

    def both(self: Any, msg_id: str, end: MessageOutcome, told: Callable[[], None]) -> None:
        tell(self, msg_id, end, told)
        if end.status is Status.DEFERRED:
            later = MessageOutcome(Status.UNDELIVERABLE)
            asyncio.get_running_loop().call_later(0.2, tell, self, msg_id, later, lambda: None)

    setattr(notices.Notices, "report_outcome", both)  # noqa: B010


def _two_out() -> None:
    """Calls a second time on another connection while the first call is out."""
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
    """Takes every class for one that may be repeated freely."""
    grade = interface.MessageClass

    def lax(**fields: Any) -> interface.MessageClass:
        return grade(**{**fields, "semantics": "idempotent"})

    setattr(interface, "MessageClass", lax)  # noqa: B010


def _deaf_to_waits() -> None:
    """Does not read how long it is told to wait."""
    setattr(next_hops, "wait_s", lambda message: 0.0)  # noqa: B010


def _deaf_to_drains() -> None:
    """Goes on sending to endpoints that are told to leave."""
    learn = core.Sender.list_changed

    def deaf(self: core.Sender, update: Any) -> None:
        hops = tuple(hop._replace(entry=hop.entry._replace(readiness=Readiness.READY)) for hop in update.hops)
        learn(self, type(update)(update.version, False, hops))

    setattr(core.Sender, "list_changed", deaf)  # noqa: B010


def _late() -> None:
    """Sits on the ends that it has to tell until long after the message's time."""
    tell = notices.Notices.report_outcome

    def late(self: Any, msg_id: str, end: MessageOutcome, told: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(6.0, tell, self, msg_id, end, told)

    setattr(notices.Notices, "report_outcome", late)  # noqa: B010


def _waits_on_silence() -> None:
    """Asks for the list again only long after a call has fallen silent, and believes it meanwhile."""
    ignore_silent_expiry()
    setattr(watch, "ANSWER_MARGIN_S", _PATIENT_S)  # noqa: B010
    setattr(watch_bounds.WatchBounds, "hedge_delay_s", lambda bounds, calls: _PATIENT_S)  # noqa: B010


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
