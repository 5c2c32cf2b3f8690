"""A permission to send has an end: what is late by then never leaves, whatever held it up (issue 40)."""

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
KEYED = 1  # the class of `Bench` whose repeats endpoints drop


class Repeats(Bench):
    """A core whose message of the keyed class failed once, so that its repeat is decided in the window."""

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
        """The first attempt ends in an error, so it may have run."""
        number = self.sender.numbers_by_id["a"]
        call = self.sender.pending[number].call
        assert call is not None
        self.sender.finished(call, {number: AttemptResult(Outcome.ERROR)})

    def repeat(self) -> Call:
        """The repeat, decided within the window."""
        self.fail_first()
        while not self.calls:
            self.pass_time(0.01)
        assert self.time < self.first_at + WINDOW_S
        return self.calls.pop()

    def pass_window(self) -> None:
        self.pass_time(self.first_at + WINDOW_S + 0.01 - self.time)


def test_a_repeat_that_waits_for_its_connection_does_not_outlive_its_window(tmp_path: Path) -> None:
    bench = Repeats(tmp_path)
    call = bench.repeat()
    bench.pass_window()
    assert bench.sender.admit(call, call.items) == []


def test_a_repeat_that_waits_for_the_journal_does_not_outlive_its_window(tmp_path: Path) -> None:
    files = FailingFiles()
    bench = Repeats(tmp_path, files=files)
    files.fails = {"write"}
    bench.submit("probe")  # its record shows that the disk fails
    bench.pass_time(0.02)
    bench.fail_first()
    bench.pass_window()
    files.heal()
    bench.pass_time(0.1)
    late = [call for call in bench.calls if any(item.id == "a" for item in call.items)]
    assert all(bench.sender.admit(call, call.items) == [] for call in late)


def test_a_repeat_stays_in_the_zone_that_drops_it(tmp_path: Path) -> None:
    """The endpoint is listed in another zone after the repeat was decided."""
    bench = Repeats(tmp_path, keyed={"group": "zone"})
    call = bench.repeat()
    (listed,) = bench.hops(Readiness.READY).hops
    moved = listed._replace(entry=listed.entry._replace(zone=1))
    bench.sender.list_changed(MapUpdate(2, False, (moved,)))
    assert bench.sender.admit(call, call.items) == []


class Senders:
    """A core with its journal and next hops on faulty sockets, whose list a test gives it."""

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
        """The messages whose calls the endpoint has in full."""
        return [name for _, name, _, _ in self.endpoint.calls]

    async def start(self) -> None:
        await self.endpoint.start()
        self.sender.start(self.list(Readiness.READY))

    def list(self, state: Readiness) -> MapUpdate:
        entry = Entry(state, 0.0, 0.0, 0, 7, 0, b"h")
        return MapUpdate(1, True, (NextHop("h", HOST, self.endpoint.port, entry),))

    def watch(self, on: bool) -> None: ...

    def snapshot(self) -> None: ...

    def report_outcome(self, msg_id: str, end: MessageOutcome, told: Any) -> None:
        told()

    async def hand_in(self, name: str, left: float = 6.0, body: bytes = b"x") -> None:
        count = len(self.answers)
        self.sender.submit(
            Submission(name, 0, left, 7, "k", body, "platform", self.answers.append, lambda: True)
        )
        await until(lambda: len(self.answers) > count)
        assert self.answers[-1] == Accepted()

    async def blocked(self, name: str, **extra: Any) -> None:
        """A message whose call has been let through, and whose bytes the socket does not take."""
        self.faults.always("write", errno.EAGAIN)
        await self.hand_in(name, **extra)
        await until(lambda: self.journal.live[name].attempts)

    async def let_go(self) -> None:
        """The socket takes bytes again, and what was still to leave has had time to."""
        self.faults.always("write", None)
        await asyncio.sleep(0.15)

    async def stop(self) -> None:
        self.sender.stop()
        self.hops.close()
        self.journal.close()
        await self.endpoint.stop()


@pytest.mark.parametrize("wire", ["http", "amqp"])
@pytest.mark.parametrize("why", ["drained", "told to wait", "its time"])
def test_bytes_that_the_socket_did_not_take_do_not_leave_later(tmp_path: Path, why: str, wire: str) -> None:
    async def main(faults: Faults, loop: FaultyLoop) -> None:
        world = Senders(tmp_path, faults, wire=wire)
        await world.start()
        await world.hand_in("first")  # on the connection that the next call is kept for
        await until(lambda: world.arrived == ["first"] and not world.hops.out)
        await world.blocked("late", left=2.0 if why == "its time" else 6.0)
        if why == "drained":
            world.sender.list_changed(world.list(Readiness.DRAINING))
        elif why == "told to wait":
            world.sender.waits[7] = loop.time() + 5.0
        else:
            await asyncio.sleep(2.05)
        await world.let_go()
        assert world.arrived == ["first"]
        await world.stop()

    run_faulty(main)


def test_the_last_byte_of_a_repeat_does_not_leave_past_the_window(tmp_path: Path) -> None:
    """The first byte is in time; an endpoint begins a call with its last one."""
    window_s = 2.0

    async def main(faults: Faults, loop: FaultyLoop) -> None:
        world = Senders(tmp_path, faults, window_s)
        await world.start()
        world.endpoint.script = ["error", "ok"]
        await world.hand_in("a", body=b"x" * 2000)
        await until(lambda: world.arrived)
        first_at = loop.time()
        faults.always("write", errno.EAGAIN)
        faults.after["write"] = 60
        await until(lambda: world.journal.live["a"].attempts == 2)
        await asyncio.sleep(first_at + window_s + 0.05 - loop.time())
        await world.let_go()
        assert world.arrived == ["a"]
        await world.stop()

    run_faulty(main)


def test_a_message_past_its_window_stays_behind_where_others_of_its_call_go(tmp_path: Path) -> None:
    bench = Repeats(tmp_path, kind=1)  # of which one call carries several
    call = bench.repeat()
    bench.submit("b")
    bench.pass_time(0.01)
    (other,) = bench.calls
    call.items += other.items
    bench.pass_window()
    assert [item.id for item in bench.sender.admit(call, call.items)] == ["b"]
