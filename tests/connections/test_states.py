"""A client connection's states and its deadline against a model, in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from mountgauge.clients import ClientConnection, Clients
from mountgauge.connections.admission import Activity
from mountgauge.connections.registry import Registered, Registry
from mountgauge.connections.settings import ClientSettings, Times, platform_settings
from mountgauge.connections.timer_wheel import TimerWheel
from mountgauge.core.ports import Accepted, Submission
from tests.helper import Transport, receive
from tests.test_clients import enqueue

TIMES = Times(handshake=2.0, half=3.0, idle=5.0, unread=4.0)
LATE = 0.5 + 1e-6  # two ticks


class VirtualRegistry(Registry):
    """A registry whose clock and timer wheel the test advances."""

    at = 100.0

    def __init__(self, settings: ClientSettings) -> None:
        super().__init__(settings)
        self.timer_wheel = TimerWheel[Registered](self.at)

    def now(self) -> float:
        return self.at

    def _set_timer(self, when: float) -> None: ...

    def pass_time(self, seconds: float) -> None:
        self.at += seconds
        for _ in range(8):
            for connection in self.timer_wheel.due(self.at, 9):
                connection.on_due(self.at)
        while self.scheduler:
            self.turn()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["whole", "half", "more", "more", "rest", "answer", "choke", "flow", "pass", "pass"]),
        st.integers(1, 30),
    ),
    max_size=40,
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(STEPS)
@example(steps=[("whole", 1), ("half", 1), ("pass", 22), ("answer", 1), ("pass", 8)])
# The limit for unread answers was replaced by that for the incomplete command, and by that for idle time.
@example(steps=[("whole", 1), ("half", 1), ("choke", 1), ("answer", 1), ("pass", 29), ("pass", 2)])
@example(steps=[("whole", 1), ("choke", 1), ("pass", 21), ("answer", 1), ("pass", 27), ("pass", 14)])
def test_a_connection_is_closed_only_and_soon_after_a_time_limit(steps: list[tuple[str, int]]) -> None:
    """The limits are those for the first command, for a complete command, idle time and unread answers."""

    async def main() -> None:
        submitted: list[Submission] = []
        registry = VirtualRegistry(replace(platform_settings(9), resp=TIMES))
        front, transport = Clients(submitted.append, ("note",), 9, registry=registry), Transport()
        connection = ClientConnection(front)
        connection.connection_made(transport)
        # `pending` are the remaining bytes of an incomplete command.
        command_received, pending, rested = False, b"", registry.at
        begun, choked, resumed, answered = registry.at, 0.0, 0.0, 0
        for number, (step, pick) in enumerate(steps):
            readable = transport.reading and not transport.closing and not connection.closing
            if step == "whole" and readable and not pending:
                receive(connection, enqueue(b"m%d" % number))
                command_received = True
            elif step == "half" and readable and not pending:
                data = enqueue(b"m%d" % number)
                receive(connection, data[:pick])
                pending, begun = data[pick:], registry.at
            elif step == "more" and readable and len(pending) > 1:
                receive(connection, pending[:1])  # single bytes are no progress
                pending = pending[1:]
            elif step == "rest" and readable and pending:
                receive(connection, pending)
                pending, command_received = b"", True
            elif step == "answer" and answered < len(submitted):
                answered += 1
                if answered == len(submitted):
                    rested = registry.at
                submitted[answered - 1].answer(Accepted())
            elif step == "choke" and not choked and not connection.closing:
                choked = registry.at
                connection.pause_writing()
            elif step == "flow" and choked:
                choked, resumed = 0.0, registry.at
                connection.resume_writing()
            elif step == "pass":
                was = registry.at
                registry.pass_time(pick / 10)
                asked = answered < len(submitted)
                # The limits that apply, and when they pass; also from when they have applied.
                limits, applies_since = [], max(rested, resumed)
                if choked:
                    limits.append(choked + TIMES.unread)
                elif not asked and pending and command_received:
                    limits.append(begun + TIMES.half)
                elif not asked and not command_received:
                    limits.append(rested + TIMES.handshake)
                elif not asked:
                    limits.append(rested + TIMES.idle)
                if connection.closing or transport.aborted:  # after a last answer, or at once
                    assert any(limit <= registry.at + 1e-9 for limit in limits), (limits, registry.at)
                    break
                late = [registry.at - max(limit, applies_since) for limit in limits]
                assert max(late, default=0.0) < LATE + (registry.at - was)
            idle = answered == len(submitted)
            assert connection.parked == (idle and not pending) or connection.closing
            assert not registry.partial_bytes.total or pending
            if not connection.closing:
                wanted = Activity.BUSY if not idle else Activity.IDLE if command_received else Activity.SILENT
                assert min(connection.activity, Activity.IDLE) == wanted or connection.activity == wanted
        connection.connection_lost(None)
        # The registry and the front keep nothing of a closed connection.
        assert not (registry.timer_wheel.armed or registry.partial_bytes.total or registry.scheduler)
        assert not front.admission.members
        assert not registry.shared.open

    asyncio.run(main())
