"""A permission to send expires: bytes that are late are never sent, whatever delayed them (issue 40)."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from typing import Any

import pytest

from mountgauge.amqp.next_hops import AmqpNextHops
from mountgauge.core.config import MapUpdate, SettingNames
from mountgauge.core.journal import Journal
from mountgauge.core.ports import Accepted, Answer, AttemptResult, Call, MessageOutcome, NextHop, Submission
from mountgauge.core.sender import Sender
from mountgauge.lab.faults.files import FailingFiles
from mountgauge.next_hops import HttpNextHops
from mountgauge.run.base import LoopClock
from rillspindle import Policy
from rillspindle.interface import Entry, Outcome, Readiness
from tests.helper import HOST, Broker, HttpHop, until
from tests.settings import message_class, settings
from tests.system_call_faults import Faults, FaultyLoop, run_faulty
from tests.test_sender import Bench

WINDOW_S = 1.0
KEYED = 1  # the message class of `Bench` whose repeats are deduplicated by endpoints


class Repeats(Bench):
    """A core with a message of the keyed class whose first attempt fails, so that it is repeated in its
    window.
    """

    def __init__(self, folder: Path, **extra: Any) -> None:
        keyed = message_class("deduplicated", repeatWindow=WINDOW_S, **extra.pop("keyed", {}))
        grades, kind = [message_class(), keyed, message_class("at_most_once")], extra.pop("kind", 0)
        super().__init__(folder, grades=grades, **extra)
        self.sender.start(self.hops(Readiness.READY, kind=kind))
        self.pass_time(0.01)
        self.submit("a", grade=KEYED)
        self.pass_time(0.01)
        call = self.calls.pop()
        self.sender.admit(call, call.items)
        self.first_at = self.time

    def fail_first(self) -> None:
        """The first attempt ends with an error, so the message may have been processed."""
        number = self.sender.numbers_by_id["a"]
        call = self.sender.pending[number].call
        assert call is not None
        self.sender.finished(call, {number: AttemptResult(Outcome.ERROR)})

    def repeat(self) -> Call:
        """Return the repeat, which is decided within the window."""
        self.fail_first()
        while not self.calls:
            self.pass_time(0.01)
        assert self.time < self.first_at + WINDOW_S
        return self.calls.pop()

    def pass_window(self) -> None:
        self.pass_time(self.first_at + WINDOW_S + 0.01 - self.time)


def test_a_repeat_that_waits_for_its_connection_is_not_sent_after_its_window(tmp_path: Path) -> None:
    bench = Repeats(tmp_path)
    call = bench.repeat()
    bench.pass_window()
    assert bench.sender.admit(call, call.items) == []


def test_a_repeat_that_waits_for_the_journal_is_not_sent_after_its_window(tmp_path: Path) -> None:
    files = FailingFiles()
    bench = Repeats(tmp_path, files=files)
    files.fails = {"write"}
    bench.submit("probe")  # the write of its record shows that the disk fails
    bench.pass_time(0.02)
    bench.fail_first()
    bench.pass_window()
    files.heal()
    bench.pass_time(0.1)
    late = [call for call in bench.calls if any(item.id == "a" for item in call.items)]
    assert all(bench.sender.admit(call, call.items) == [] for call in late)


def test_a_repeat_stays_in_the_zone_that_deduplicates_it(tmp_path: Path) -> None:
    """The endpoint is listed in another zone after the repeat was decided."""
    bench = Repeats(tmp_path, keyed={"group": "zone"})
    call = bench.repeat()
    (listed,) = bench.hops(Readiness.READY).hops
    moved = listed._replace(entry=listed.entry._replace(zone=1))
    bench.sender.list_changed(MapUpdate(2, False, (moved,)))
    assert bench.sender.admit(call, call.items) == []


class Senders:
    """A core with its journal, and next hops on faulty sockets; the test provides the list."""

    names = SettingNames(("keyed",), ("near",), ("one",))

    hops: HttpNextHops | AmqpNextHops

    def __init__(self, folder: Path, faults: Faults, window_s: float = 7.0, wire: str = "http") -> None:
        self.faults = faults
        self.answers: list[Answer] = []
        self.endpoint = HttpHop() if wire == "http" else Broker()
        env = settings(
            grades=[message_class("deduplicated", repeatWindow=window_s)],
            discovery="subscribe",
            extra={**settings()["extra"], "workers": 32},
        )
        self.journal = Journal(folder, 100_000_000)
        self.sender = Sender(Policy(env, 1), self.names, self.journal, LoopClock(), {"platform": self})
        if wire == "http":
            self.hops = HttpNextHops(self.sender, 1.0, 5.0, 16)
        else:
            self.hops = AmqpNextHops(self.sender, 1.0, 60.0, 16, {})
        self.sender.next_hops, self.sender.map = self.hops, self

    @property
    def arrived(self) -> list[str]:
        """The messages whose calls the endpoint has received in full."""
        return [name for _, name, _, _ in self.endpoint.calls]

    async def start(self) -> None:
        await self.endpoint.start()
        self.sender.start(self.list(Readiness.READY))

    def list(self, state: Readiness) -> MapUpdate:
        entry = Entry(state, 0.0, 0.0, 0, 7, 0, b"h")
        return MapUpdate(1, True, (NextHop("h", HOST, self.endpoint.port, entry),))

    def watch(self, on: bool) -> None: ...

    def snapshot(self) -> None: ...

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Any) -> None:
        on_delivered()

    async def submit(self, name: str, left: float = 6.0, body: bytes = b"x") -> None:
        count = len(self.answers)
        self.sender.submit(
            Submission(name, 0, left, 7, "k", body, "platform", self.answers.append, lambda: True)
        )
        await until(lambda: len(self.answers) > count)
        assert self.answers[-1] == Accepted()

    async def blocked(self, name: str, **extra: Any) -> None:
        """Submit a message whose call is admitted, and whose bytes the socket does not accept."""
        self.faults.fail_always("write", errno.EAGAIN)
        await self.submit(name, **extra)
        await until(lambda: self.journal.live[name].attempts)

    async def unblock(self) -> None:
        """The socket accepts bytes again, with time for all that may be sent."""
        self.faults.fail_always("write", None)
        await asyncio.sleep(0.15)

    async def stop(self) -> None:
        self.sender.stop()
        self.hops.close()
        self.journal.close()
        await self.endpoint.stop()


@pytest.mark.parametrize("wire", ["http", "amqp"])
@pytest.mark.parametrize("end", ["drained", "required wait", "deadline"])
def test_bytes_that_the_socket_did_not_accept_are_not_sent_later(tmp_path: Path, end: str, wire: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        world = Senders(tmp_path, faults, wire=wire)
        await world.start()
        await world.submit("first")  # opens the connection that the next call uses
        await until(lambda: world.arrived == ["first"] and not world.hops.in_flight)
        await world.blocked("late", left=2.0 if end == "deadline" else 6.0)
        if end == "drained":
            world.sender.list_changed(world.list(Readiness.DRAINING))
        elif end == "required wait":
            world.sender.waits[7] = loop.time() + 5.0
        else:
            await asyncio.sleep(2.05)
        await world.unblock()
        assert world.arrived == ["first"]
        await world.stop()

    run_faulty(main)


def test_the_last_byte_of_a_repeat_is_not_sent_after_the_window(tmp_path: Path) -> None:
    """The first byte is in time, but an endpoint only processes a call that is complete."""
    window_s = 2.0

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        world = Senders(tmp_path, faults, window_s)
        await world.start()
        world.endpoint.script = ["error", "ok"]
        await world.submit("a", body=b"x" * 2000)
        await until(lambda: world.arrived)
        first_at = loop.time()
        faults.fail_always("write", errno.EAGAIN)
        faults.bytes_before_failure["write"] = 60
        await until(lambda: world.journal.live["a"].attempts == 2)
        await asyncio.sleep(first_at + window_s + 0.05 - loop.time())
        await world.unblock()
        assert world.arrived == ["a"]
        await world.stop()

    run_faulty(main)


def test_a_message_past_its_window_is_removed_from_a_call_with_others(tmp_path: Path) -> None:
    bench = Repeats(tmp_path, kind=1)  # a transport kind whose calls carry several messages
    call = bench.repeat()
    bench.submit("b")
    bench.pass_time(0.01)
    (other,) = bench.calls
    call.items += other.items
    bench.pass_window()
    assert [item.id for item in bench.sender.admit(call, call.items)] == ["b"]
