"""Drains that meet another event before the final check of a call. Each pair is forced by what a peer has
read, or by steps of the loop between which nothing else runs.

The tests use a real core with its journal, the client of discovery and next hops on loopback sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import time
from pathlib import Path
from typing import Any

import orjson
import pytest

from mountgauge.amqp import codec
from mountgauge.amqp.next_hops import AmqpNextHops
from mountgauge.core import drain_memory
from mountgauge.core.config import Address, MapUpdate, SettingNames
from mountgauge.core.journal import Journal
from mountgauge.core.list_lease import LeaseEnd
from mountgauge.core.ports import Answer, Call, CallItem, MessageOutcome, Submission
from mountgauge.core.sender import Sender
from mountgauge.http1 import Message, response
from mountgauge.lab.ports import reserve_ports
from mountgauge.next_hops import HttpNextHops
from mountgauge.operator_file import OperatorFile, load
from mountgauge.platform.discovery import TransportMap
from mountgauge.run import serve
from mountgauge.run.base import LoopClock
from rillspindle import Policy
from tests import helper
from tests.crossings.test_watches import Discovery
from tests.helper import HOST, Broker, HttpHop, run, until
from tests.settings import message_class, settings
from tests.test_console import call as console_call
from tests.test_peers import bounds
from tests.test_process import Platform

NAMES = SettingNames(("safe",), ("near", "far"), ("one", "many"))
GRACE = 0.25 + 0.05  # s from a change to the last byte that may be sent; the answers here arrive long before
MAX_CALLS = 16  # at the same time to one destination: half of the slots
NOTHING_KNOWN = MapUpdate(-1, True, ())


class PausingBroker(Broker):
    """Stops reading after the first method named `pause_at`, until `resume` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.pause_at = ""
        self.paused, self.resume = asyncio.Event(), asyncio.Event()

    async def start(self) -> None:
        await super().start()
        assert self._server is not None
        for sock in self._server.sockets:  # keeps what is in transit to it small
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        read = reader.readexactly

        async def readexactly(count: int) -> bytes:
            data = await read(count)
            if count != 7 and data[-1] == codec.FRAME_END and self.pause_at:  # 7: the header of a frame
                with contextlib.suppress(codec.AmqpError):
                    if codec.decode_method(data[:-1]).name == self.pause_at:
                        self.paused.set()
                        await self.resume.wait()
            return data

        setattr(reader, "readexactly", readexactly)  # noqa: B010
        await super().serve(reader, writer)


class World:
    """A sender that watches a scripted discovery, and endpoints that record what is sent to them."""

    next_hops: HttpNextHops | AmqpNextHops

    def __init__(self, folder: Path, endpoints: int = 1, protocol: str = "http") -> None:
        self.folder, self.discovery, self.protocol = folder, Discovery(), protocol
        self.hops = [HttpHop() if protocol == "http" else PausingBroker() for _ in range(endpoints)]
        self.numbers = itertools.count()
        self.answers: list[Answer] = []

    known = NOTHING_KNOWN

    async def __aenter__(self) -> World:
        for server in (self.discovery, *self.hops):
            await server.start()
        self.sender = self.make_sender()
        self.sender.start(self.known)
        return self

    def make_sender(self) -> Sender:
        extra = {**settings()["extra"], "workers": 32}
        env = settings(grades=[message_class(aim=8.0)], discovery="subscribe", extra=extra)
        self.journal = Journal(self.folder, 100_000_000)
        sender = Sender(Policy(env, 1), NAMES, self.journal, LoopClock(), {"platform": self})
        self.map = TransportMap(sender, Address(HOST, self.discovery.port), NAMES, bounds(30.0))
        if self.protocol == "http":
            self.next_hops = HttpNextHops(sender, 4.0, 5.0, 16)
        else:
            self.next_hops = AmqpNextHops(sender, 4.0, 60.0, 16, {})
        sender.map, sender.next_hops = self.map, self.next_hops
        return sender

    async def __aexit__(self, *_: object) -> None:
        self.sender.stop()
        self.map.close()
        self.next_hops.close()
        for server in (self.discovery, *self.hops):
            await server.stop()
        await asyncio.sleep(0)
        self.journal.close()

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Any) -> None:
        on_delivered()

    def line(self, state: str, hop: int = 0, **fields: Any) -> dict[str, Any]:
        return {"id": f"e{hop}", "addr": f"{HOST}:{self.hops[hop].port}", "zone": "near", "kind": "one",
                "cell": 7, "state": state, "weight": 1.0, "started_ms": 0, **fields}  # fmt: skip

    async def answer(self, call: int, version: int, full: bool, *lines: dict[str, Any]) -> None:
        """Discovery answers the call with this number; the answer has been applied when this returns."""
        writer = await self.discovery.called(call)
        body = orjson.dumps({"version": version, "full": full, "servers": lines})
        writer.write(response(200, "OK", {}, body))
        await until(lambda: len(self.discovery.paths) > call)

    def broker(self, hop: int = 0) -> PausingBroker:
        found = self.hops[hop]
        assert isinstance(found, PausingBroker)
        return found

    def submit(self, body: bytes = b"x") -> str:
        name = f"m{next(self.numbers)}"
        one = Submission(name, 0, 8.0, 7, "", body, "platform", self.answers.append, lambda: True)
        self.sender.submit(one)
        return name

    async def sends_nothing(self) -> None:
        """Submit a message, and check that none of its bytes are sent during the grace."""
        calls, count = [len(hop.calls) for hop in self.hops], len(self.answers)
        self.submit()
        await until(lambda: len(self.answers) > count)
        await asyncio.sleep(GRACE)
        assert [len(hop.calls) for hop in self.hops] == calls, "sent to a draining or removed endpoint"

    async def sends(self, hop: int = 0) -> None:
        """Submit a message, and wait until it is sent to this endpoint."""
        count = len(self.hops[hop].calls)
        self.submit()
        await until(lambda: len(self.hops[hop].calls) > count)


@pytest.mark.parametrize("state", ["leaving", "left", "absent"])
@pytest.mark.parametrize("full", [True, False])
def test_an_older_list_does_not_reactivate_an_endpoint_that_a_newer_one_drained(
    tmp_path: Path, state: str, full: bool
) -> None:
    """Another replica of discovery lags behind: the version of its list is from before the drain."""

    async def main() -> None:
        async with World(tmp_path, 2) as world:
            await world.answer(1, 40, True, world.line("active"))
            await world.sends()
            if state == "absent":
                await world.answer(2, 50, True, world.line("leaving", 1))
            else:
                await world.answer(2, 50, False, world.line(state))
            await world.sends_nothing()
            await world.answer(3, 45, full, world.line("active"))
            await world.sends_nothing()
            assert world.discovery.paths[3].startswith("/registry/instances?index=45&"), "goes on from there"
            await world.answer(4, 50, False, world.line("active"))  # as new as the drain: active again
            await until(lambda: world.hops[0].delivered)

    run(main())


def test_an_older_list_after_a_move_of_discovery_does_not_reactivate_a_drained_endpoint(
    tmp_path: Path,
) -> None:
    """SIGHUP moves discovery, and the full list of the new address has an older version."""

    async def main() -> None:
        async with World(tmp_path) as world:
            await world.answer(1, 40, True, world.line("active"))
            await world.answer(2, 50, False, world.line("leaving"))
            other = Discovery()
            await other.start()
            old, world.discovery = world.discovery, other
            world.map.move(Address(HOST, other.port))
            await world.answer(1, 45, True, world.line("active"))
            await world.sends_nothing()
            await world.answer(2, 51, False, world.line("active"))
            await until(lambda: len(world.hops[0].delivered) == 1)
            await old.stop()

    run(main())


def test_a_drain_in_the_known_list_of_a_new_process_is_kept_against_an_older_list(
    tmp_path: Path,
) -> None:
    """The `known` list of a restart or a handover counts like any other list."""

    async def main() -> None:
        world = World(tmp_path)
        world.hops[0].port = reserve_ports(1)[0]
        raw = {"version": 50, "full": True, "servers": [world.line("leaving")]}
        world.known = NAMES.update(raw)
        async with world:
            await world.answer(1, 45, True, world.line("active"))
            await world.sends_nothing()
            await world.answer(2, 50, False, world.line("active"))
            await until(lambda: world.hops[0].delivered)

    run(main())


def test_an_endpoint_is_reactivated_in_bounded_time_when_versions_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No newer version contradicts the lower ones any more, so they are applied after the bound."""
    monkeypatch.setattr(drain_memory, "WITHHELD_FOR_S", 2 * GRACE)

    async def main() -> None:
        async with World(tmp_path) as world:
            await world.answer(1, 40, True, world.line("active"))
            await world.answer(2, 50, False, world.line("leaving"))
            began = asyncio.get_running_loop().time()
            await world.answer(3, 1, True, world.line("active"))
            world.submit()
            await until(lambda: world.hops[0].delivered)
            assert world.hops[0].calls[0][0] >= began + drain_memory.WITHHELD_FOR_S
            await world.answer(4, 2, False, world.line("leaving"))  # the drains of the new numbering hold
            await world.sends_nothing()

    run(main())


@pytest.mark.parametrize("first", ["leaving", "left", "active"])
def test_an_id_that_one_update_lists_as_active_and_as_draining_is_draining(
    tmp_path: Path, first: str
) -> None:
    """Nothing shows which of the two entries is newer."""

    async def main() -> None:
        async with World(tmp_path) as world:
            await world.answer(1, 40, True, world.line("active"))
            second = "active" if first != "active" else "leaving"
            await world.answer(2, 41, False, world.line(first), world.line(second))
            await world.sends_nothing()
            await world.answer(3, 41, True, world.line("active"))  # the full list decides
            await until(lambda: world.hops[0].delivered)

    run(main())


def test_an_id_at_a_new_address_is_another_endpoint_and_the_old_address_stays_removed(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with World(tmp_path, 2) as world:
            moved = {**world.line("active", 1), "id": "e0"}
            await world.answer(1, 40, True, world.line("active"))
            await world.sends()
            await world.answer(2, 50, False, world.line("left"), moved)
            await world.sends(1)
            await world.answer(3, 45, True, world.line("active"))  # at the old address
            await world.sends_nothing()
            await world.answer(4, 51, True, moved)
            await until(lambda: len(world.hops[1].delivered) == 2)
            assert len(world.hops[0].delivered) == 1

    run(main())


def test_an_id_under_a_new_destination_gets_no_messages_of_the_old_one(tmp_path: Path) -> None:
    async def main() -> None:
        async with World(tmp_path) as world:
            await world.answer(1, 40, True, world.line("active"))
            await world.sends()
            await world.answer(2, 50, False, world.line("active", cell=8))
            await world.sends_nothing()
            await world.answer(3, 45, True, world.line("active"))
            await world.sends_nothing()

    run(main())


def test_an_unreadable_entry_stops_all_calls_to_its_endpoint(tmp_path: Path) -> None:
    async def main() -> None:
        async with World(tmp_path) as world:
            await world.answer(1, 40, True, world.line("active"))
            await world.answer(2, 50, False, world.line("odd"))
            await world.sends_nothing()
            await world.answer(3, 45, True, world.line("active"))
            await world.sends_nothing()
            await world.answer(4, 50, True, world.line("active"))
            await until(lambda: world.hops[0].delivered)

    run(main())


def drained_at_the_start(world: World, before: bool) -> None:
    """Apply the drain in the step that starts the next call, before or after the start."""
    start = world.next_hops.start
    drain = NAMES.update({"version": 50, "full": False, "servers": [world.line("leaving")]})

    def started(call: Call) -> None:
        if before:
            world.sender.list_changed(drain)
        start(call)
        if not before:
            world.sender.list_changed(drain)

    setattr(world.next_hops, "start", started)  # noqa: B010


@pytest.mark.parametrize("protocol", ["http", "amqp"])
def test_a_connection_that_is_established_after_the_drain_carries_nothing(
    tmp_path: Path, protocol: str
) -> None:
    async def main() -> None:
        async with World(tmp_path, protocol=protocol) as world:
            await world.answer(1, 40, True, world.line("active"))
            drained_at_the_start(world, before=False)
            world.submit()
            await until(lambda: world.hops[0].connections == 1)
            await asyncio.sleep(GRACE)
            assert not world.hops[0].calls

    run(main())


@pytest.mark.parametrize("protocol", ["http", "amqp"])
def test_an_open_connection_carries_nothing_after_the_drain(tmp_path: Path, protocol: str) -> None:
    async def main() -> None:
        async with World(tmp_path, protocol=protocol) as world:
            await world.answer(1, 40, True, world.line("active"))
            await world.sends()
            await until(lambda: not world.sender.slots_used)
            drained_at_the_start(world, before=True)
            await world.sends_nothing()

    run(main())


def test_a_batch_that_was_formed_before_the_drain_is_not_sent(tmp_path: Path) -> None:
    """The messages join in one turn, for an endpoint that was chosen before the drain was applied."""

    async def main() -> None:
        async with World(tmp_path) as world:
            read, sizes = list[Message](), list[int]()

            async def reply(message: Message) -> bytes | None:
                read.append(message)
                return None

            setattr(world.hops[0], "reply", reply)  # noqa: B010
            await world.answer(1, 40, True, world.line("active", kind="many"))
            drained_at_the_start(world, before=False)
            start = world.next_hops.start

            def started(call: Call) -> None:
                sizes.append(len(call.items))
                start(call)

            setattr(world.next_hops, "start", started)  # noqa: B010
            for _ in range(3):
                world.submit()
            await until(lambda: world.hops[0].connections == 1)
            await asyncio.sleep(GRACE)
            assert sizes == [3] and not read

    run(main())


def test_a_parked_call_is_checked_again_when_it_is_released(tmp_path: Path) -> None:
    async def main() -> None:
        async with World(tmp_path) as world:
            await world.answer(1, 40, True, world.line("active"))
            ended: LeaseEnd | None = LeaseEnd.EXPIRED
            world.sender.list_lease = lambda dest: ended
            world.submit()
            await until(lambda: world.sender.attempts.parked)
            await world.answer(2, 50, False, world.line("leaving"))
            ended = None
            world.sender.release()
            await asyncio.sleep(GRACE)
            assert not world.hops[0].calls and not world.sender.slots_used

    run(main())


@pytest.mark.parametrize("step", ["connection.start-ok", "connection.open", "channel.open", "confirm.select"])
def test_a_drain_while_a_broker_opens_its_connection_or_channel(tmp_path: Path, step: str) -> None:
    async def main() -> None:
        async with World(tmp_path, protocol="amqp") as world:
            broker = world.broker()
            broker.pause_at = step
            await world.answer(1, 40, True, world.line("active"))
            world.submit()
            await broker.paused.wait()
            await world.answer(2, 50, False, world.line("leaving"))
            broker.pause_at = ""
            broker.resume.set()
            await until(lambda: not world.sender.slots_used)
            await world.sends_nothing()
            assert not broker.calls

    run(main())


def test_a_broker_that_moves_while_its_connection_opens_gets_nothing_at_the_old_address(
    tmp_path: Path,
) -> None:
    """Calls for the new address had waited for the connection that was being opened to the old one."""

    async def main() -> None:
        async with World(tmp_path, 2, "amqp") as world:
            old, new = world.broker(0), world.broker(1)
            old.pause_at = "connection.open"
            await world.answer(1, 40, True, world.line("active"))
            world.submit()
            await old.paused.wait()
            await world.answer(2, 50, False, {**world.line("active", 1), "id": "e0"})
            world.submit()
            await until(lambda: world.sender.slots_used == 2 or new.calls)
            old.resume.set()
            await until(lambda: len(old.calls) + len(new.calls) >= 2)
            assert not old.calls and len(new.calls) == 2
            await world.sends(1)
            assert not old.calls

    run(main())


@pytest.mark.parametrize("unread", [1, MAX_CALLS - 1])
def test_a_publish_does_not_wait_behind_bytes_that_a_broker_does_not_read(
    tmp_path: Path, unread: int
) -> None:
    """The late publish had been written behind bytes that the broker had not read: its first byte was sent
    when the broker read on, long after the drain. One call fits into the socket buffers, all of them do not.
    """

    async def main() -> None:
        async with World(tmp_path, protocol="amqp") as world:
            broker = world.broker()
            await world.answer(1, 40, True, world.line("active"))
            for _ in range(MAX_CALLS):  # at the same time, so that as many channels are open from now on
                world.submit()
            await until(lambda: len(broker.calls) == MAX_CALLS and not world.sender.slots_used)
            broker.pause_at = "basic.publish"
            sent = [world.submit(b"x" * 900_000) for _ in range(unread)]
            await until(lambda: world.sender.slots_used == len(sent))
            late = world.submit()
            await until(lambda: world.sender.slots_used == len(sent) + 1)
            await world.answer(2, 50, False, world.line("leaving"))
            assert len(broker.calls) == MAX_CALLS
            broker.pause_at = ""
            broker.resume.set()
            await until(lambda: not world.sender.slots_used)
            assert late not in [call[1] for call in broker.calls]
            assert sent[0] in [call[1] for call in broker.calls], "a call that had begun is completed"

    run(main())


def detach(folder: Path, *ids: str) -> None:
    """Record detached endpoints as another process of the sender does it."""
    (folder / "detached.new").write_bytes(orjson.dumps(ids))
    os.replace(folder / "detached.new", folder / "detached")


def test_a_process_that_is_stopping_applies_a_detach_by_another_process(tmp_path: Path) -> None:
    """SIGTERM had ended its checks of the file, while its clients were served for another 2.2 s."""

    async def main() -> None:
        platform, (console,) = Platform(tmp_path), reserve_ports(1)
        process = await platform.start(GW_CONSOLE=f"{HOST}:{console}")
        await until(platform.pings)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(2.0):
            while (await console_call(console, "GET", "/_ready"))[0] == 200:
                await asyncio.sleep(0.005)
        detach(tmp_path / "state", "e")
        await asyncio.sleep(GRACE)
        assert await platform.send(("a", "safe")) == [b"+OK\r\n"]
        assert await process.wait() == 0
        assert not platform.received_calls
        await platform.stop()

    run(main())


def test_a_detached_endpoint_stays_detached_when_the_folder_is_emptied(tmp_path: Path) -> None:
    async def main() -> None:
        platform, (console,) = Platform(tmp_path), reserve_ports(1)
        process = await platform.start(GW_CONSOLE=f"{HOST}:{console}")
        await until(platform.pings)
        async with asyncio.timeout(4.0):
            while (await reply(console, "/_endpoints/detach")) != 200:
                await asyncio.sleep(0.005)
        (tmp_path / "state" / "detached").unlink()
        await asyncio.sleep(GRACE)
        assert await platform.send(("a", "safe")) == [b"+OK\r\n"]
        await asyncio.sleep(GRACE)
        assert not platform.received_calls
        assert orjson.loads((tmp_path / "state" / "detached").read_bytes()) == ["e"], "for the next process"
        assert await reply(console, "/_endpoints/attach") == 200
        await until(lambda: platform.delivered == ["a"])
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        await platform.stop()

    async def reply(console: int, path: str) -> int:
        try:
            return (await console_call(console, "POST", path, b'{"who":"e"}'))[0]
        except ConnectionError:
            return 0

    run(main())


def test_a_restarted_process_applies_a_detach_before_it_sends_its_stored_messages(tmp_path: Path) -> None:
    """It first waits to receive the required waits of a process beside it, and had sent messages
    meanwhile.
    """

    async def main() -> None:
        extra = f'[console]\nlisten = "{HOST}:{reserve_ports(1)[0]}"\n'
        async with helper.SenderHarness(tmp_path, "http", extra=extra) as world:
            hop = world.hops[0]
            hop.script = ["silent"]
            assert await world.client.submit("a") is None
            await until(lambda: len(hop.calls) == 1)
            beside = Journal(tmp_path / "state", 1_000_000)  # its slot comes after this process's
            await world.client.close()
            await world.kill()
            detach(tmp_path / "state", "h0")
            hop.script = ["ok"]
            await world.start()
            assert world.runtime.journal.unadopted
            await asyncio.sleep(GRACE)
            assert len(hop.calls) == 1
            beside.close()

    run(main())


def test_an_operators_file_that_changes_before_it_is_watched_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The timestamp of the file had been taken after it was read, so that a change in between was missed."""

    async def main() -> None:
        world = helper.SenderHarness(tmp_path, "http")

        def loaded(path: Path) -> OperatorFile:
            found = load(path)
            world.states = ["leaving"]
            world.write_file()
            return found

        monkeypatch.setattr(helper, "load", loaded)
        async with world:
            await asyncio.sleep(GRACE)
            assert await world.client.submit("a") is None
            await asyncio.sleep(GRACE)
            assert not world.calls

    run(main())


@pytest.mark.parametrize(
    "content", [b"\xff", b"[[next_hop]]\nid = ", b"next_hop = 7", b"a=" + b"[" * 5000, b"a=" + b"1" * 5000]
)
def test_an_operators_file_that_cannot_be_parsed_is_checked_again(
    tmp_path: Path, content: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        async with helper.SenderHarness(tmp_path, "http") as world:
            world.file.write_bytes(content)
            await until(lambda: "file-not-read" in [record.message for record in caplog.records])
            world.states = ["leaving"]
            world.write_file()
            await asyncio.sleep(GRACE)
            assert await world.client.submit("a") is None
            await asyncio.sleep(GRACE)
            assert not world.calls

    run(main())


@pytest.mark.parametrize("where", ["file", "detached"])
def test_a_process_that_is_stopped_before_the_final_check_sends_nothing_to_an_endpoint_drained_meanwhile(
    tmp_path: Path, where: str
) -> None:
    """The check after a stop is made within the final check, which had read the endpoint as active before."""

    async def main() -> None:
        extra = f'[console]\nlisten = "{HOST}:{reserve_ports(1)[0]}"\n'
        async with helper.SenderHarness(tmp_path, "http", extra=extra) as world:
            admit, paused = world.runtime.sender.admit, list[str]()

            def late(call: Call, items: list[CallItem]) -> list[CallItem]:
                if not paused:
                    paused.append(call.hop.id)
                    if where == "file":
                        world.states = ["leaving"]
                        world.write_file()
                    else:
                        detach(tmp_path / "state", "h0")
                    time.sleep(0.6)  # as with SIGSTOP and SIGCONT: no other step of the loop runs meanwhile
                return admit(call, items)

            setattr(world.runtime.sender, "admit", late)  # noqa: B010
            assert await world.client.submit("a") is None
            await until(lambda: paused)
            await asyncio.sleep(GRACE)
            assert not world.calls

    run(main())


@pytest.mark.parametrize(("error", "event"), [
    (OSError("the folder cannot be read"), "folder-not-read"), (RuntimeError("a fault"), "look-failed"),
])  # fmt: skip
def test_checks_go_on_after_one_that_fails(
    error: Exception, event: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        numbers = itertools.count(1)
        checks = list[int]()

        def check() -> None:
            checks.append(next(numbers))
            if len(checks) == 1:
                raise error

        task = asyncio.get_running_loop().create_task(serve._check_periodically(check))
        await until(lambda: len(checks) == 3)
        task.cancel()
        assert [record.message for record in caplog.records] == [event]

    run(main())
