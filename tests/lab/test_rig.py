"""The rig with real senders behind links, and with senders that break one rule each. Tests check counts and
orders.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from mountgauge.core.config import ConfigError
from mountgauge.lab.cli import main
from mountgauge.lab.rig.events import Events, read
from mountgauge.lab.rig.list_calls import ListCallRecorder
from mountgauge.lab.rig.mutants import MUTANTS
from mountgauge.lab.rig.network_conditions import NetworkConditions
from mountgauge.lab.rig.oracle import judge
from mountgauge.lab.rig.processes import Member
from mountgauge.lab.rig.proxies import HOST, Address, DialListener, StreamProxy
from mountgauge.lab.rig.schedule import load
from tests.helper import run, until
from tests.rigs import EVERY_RULE, RIGS, SENDERS


class Echo:
    """Echoes the data that it receives."""

    async def start(self) -> Address:
        self.received = b""
        self.ended = 0
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(4096):
                self.received += data
                writer.write(data)
        except OSError:
            pass
        self.ended += 1
        writer.close()


def test_a_link_delays_drops_resets_and_refuses() -> None:
    async def main() -> None:
        echo, who = Echo(), dict[Address, str]()
        link = StreamProxy("m01", "echo", await echo.start(), "seed", who)
        await link.start()
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        assert set(who.values()) == {"m01"}
        link.set(NetworkConditions(delay_s=0.2))
        began = asyncio.get_running_loop().time()
        writer.write(b"two")
        assert await reader.readexactly(3) == b"two"
        assert asyncio.get_running_loop().time() - began >= 0.4
        link.set(NetworkConditions(silent="down"))  # data arrives, answers do not
        writer.write(b"three")
        await until(lambda: echo.received.endswith(b"three"))
        link.set(NetworkConditions(silent="both"))
        writer.write(b"four")
        writer.close()
        await asyncio.sleep(0.1)
        assert not echo.received.endswith(b"four") and not echo.ended, (
            "half open: the close was not forwarded"
        )
        link.set(NetworkConditions())
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"five")
        assert await reader.readexactly(4) == b"five"
        link.reset_all()
        with pytest.raises(OSError):
            writer.write(b"six")
            await reader.readexactly(3)
        link.set(NetworkConditions(refuse=True))
        reader, writer = await asyncio.open_connection(*link.address)
        assert await asyncio.wait_for(_closed(reader), 5)
        link.close()

    run(main())


def test_data_written_to_a_connection_opened_in_a_silence_does_not_arrive_late() -> None:
    """Seed 1108 of the soak: the link kept a repeat that was sent in time until after its window."""

    async def main() -> None:
        echo = Echo()
        link = StreamProxy("m01", "echo", await echo.start(), "seed", {})
        await link.start()
        link.set(NetworkConditions(silent="up"))
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"late")
        await asyncio.sleep(0.1)
        link.set(NetworkConditions())
        assert await asyncio.wait_for(_closed(reader), 5)
        assert b"late" not in echo.received
        link.close()

    run(main())


def test_a_half_open_silence_is_permanent_for_open_connections_and_lets_new_ones_hang() -> None:
    async def main() -> None:
        echo, who = Echo(), dict[Address, str]()
        link = StreamProxy("m01", "echo", await echo.start(), "seed", who)
        await link.start()
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        (target_side,) = who
        assert link.carries_from(target_side)
        link.set(NetworkConditions(silent="both", half_open=True))
        assert not link.carries_from(target_side)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(*link.address), 0.5)
        link.set(NetworkConditions())
        again, writes_again = await asyncio.open_connection(*link.address)
        writes_again.write(b"two")
        assert await asyncio.wait_for(again.readexactly(3), 5) == b"two"
        writer.write(b"three")
        await asyncio.sleep(0.1)
        assert b"three" not in echo.received and not link.carries_from(target_side), (
            "the connection stays silent"
        )
        writer.close()
        await asyncio.sleep(0.1)
        assert not echo.ended, "the close was not forwarded"
        link.close()

    run(main())


def test_a_silent_link_to_discovery_records_the_calls_of_a_member() -> None:
    async def main() -> None:
        echo, events = Echo(), Events(asyncio.get_running_loop().time)
        link = StreamProxy("m01", "discovery", await echo.start(), "seed", {})
        link.watcher = ListCallRecorder("m01", "a", events)
        await link.start()
        link.set(NetworkConditions(silent="both"))
        _, writer = await asyncio.open_connection(*link.address)
        writer.write(b"GET /registry/instances?index=4&wait=2500 HTTP/1.1\r\n\r\n")
        await until(lambda: bool(events.all))
        writer.close()
        await until(lambda: len(events.all) == 2)
        link.set(NetworkConditions(refuse=True))
        reader, _ = await asyncio.open_connection(*link.address)
        assert await asyncio.wait_for(_closed(reader), 5)
        assert [(event.kind, event.fields) for event in events] == [
            ("list-ask", {"member": "m01", "connection": "a/1", "watch": True, "wait_s": 2.5}),
            ("list-end", {"member": "m01", "connection": "a/1"}),
            ("dial-refused", {"member": "m01"}),
        ]
        assert echo.received == b""
        link.close()

    run(main())


def test_a_call_for_the_list_in_parts_is_recorded_once_it_is_complete() -> None:
    """Seed 104 of the soak: the first part alone was taken for another request."""
    events = Events(lambda: 0.0)
    recorder = ListCallRecorder("m01", "a", events)
    recorder.data_sent(1, b"GET /registry/instances")
    assert not events.all
    recorder.data_sent(1, b"?index=4&wait=2500 HTTP/1.1\r\n\r\n")
    asked = {"member": "m01", "connection": "a/1", "watch": True, "wait_s": 2.5}
    assert [(event.kind, event.fields) for event in events] == [("list-ask", asked)]


async def _closed(reader: asyncio.StreamReader) -> bool:
    try:
        return await reader.read(1) == b""
    except OSError:
        return True


_SLACK_S = 0.6  # delay of a busy machine; the schedule's waits, answers and drains are far longer


def test_the_oracle_detects_each_mutated_sender_and_reports_nothing_on_the_unchanged_one() -> None:
    """Eight senders that break one rule each and one that breaks none, on the same schedule of faults."""
    schedule, root = load(EVERY_RULE), RIGS.wait("senders")
    histories = {name: read(root / name / "events.jsonl") for name in SENDERS}
    found = {name: judge(schedule, events, _SLACK_S) for name, events in histories.items()}
    judged = found.pop("unchanged")
    assert [str(one) for one in judged.violations] == []
    assert judged.taken > 100 and judged.delivered > 50
    kinds = {event.kind for event in histories["unchanged"]}
    assert {"offer", "call", "answer", "told", "list-call", "notice", "fault", "gone", "ready"} <= kinds
    assert [name for name, one in found.items() if MUTANTS[name][0] not in one.rules] == []


def test_the_folder_of_a_run_can_be_judged_again(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "short.toml"
    text = EVERY_RULE.read_text()
    file.write_text(
        text[: text.index("[[fault]]")].replace("seconds = 7", "seconds = 1").replace("4.5", "1.0")
    )
    folder = tmp_path / "run"
    assert main(["rig", str(file), "--out", str(folder), "--no-page"]) == 0
    first = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert {path.name for path in folder.iterdir()} >= {
        "events.jsonl",
        "figures.json",
        "schedule.toml",
        "m01",
    }
    assert len(read(folder / "events.jsonl")) > 50
    assert main(["judge", str(folder), "--no-page"]) == 0
    again = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert (again["taken"], again["served"]) == (first["taken"], first["served"])
    (folder / "events.jsonl").write_text('{"at": 1}\n')
    with pytest.raises(ValueError, match=r"events.jsonl:1: not an event"):
        main(["judge", str(folder), "--no-page"])
    with pytest.raises(ConfigError, match="No such file"):
        main(["rig", str(tmp_path / "none.toml")])


def test_the_platforms_program_does_not_import_the_lab() -> None:
    code = (
        "import sys, mountgauge.cli, mountgauge.run.platform, mountgauge.run.serve\n"
        "print([m for m in sys.modules if '.lab' in m or '.recovery' in m])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"


def test_waiting_connections_are_accepted_together() -> None:
    """Accepting one in three turns of a busy loop was too slow: clients timed out and connected again."""

    async def main() -> None:
        made = list[asyncio.Protocol]()

        def protocol() -> asyncio.Protocol:
            made.append(asyncio.Protocol())
            return made[-1]

        listener = DialListener(protocol, (HOST, 0))
        dials = [socket.create_connection(listener.address) for _ in range(30)]
        listener.accept()
        for _ in range(6):
            await asyncio.sleep(0)
        assert len(made) == len(dials)
        listener.close()
        for dial in dials:
            dial.close()

    run(main())


def test_the_exit_of_a_killed_process_is_awaited_and_not_that_of_its_successor(tmp_path: Path) -> None:
    """Seed 10206 of the soak: a kill during a start delayed the restart of all killed members by 15 s."""

    async def main() -> None:
        ended = await asyncio.create_subprocess_exec(sys.executable, "-c", "")
        successor = await asyncio.create_subprocess_exec(
            sys.executable, "-c", "input()", stdin=subprocess.PIPE
        )
        member = Member("m01", HOST, tmp_path, Events(lambda: 0.0), process=successor)
        await asyncio.wait_for(member.wait_exit(ended), 10)
        assert member.running
        member.signal(signal.SIGKILL)
        await member.wait_exit()
        assert not member.running

    run(main())
