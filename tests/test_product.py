"""The parts around the sender: AMQP errors, configuration, OTLP, the agent and the command line."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import orjson
import pytest

from mountgauge import cli
from mountgauge.access import DEFAULT_TENANT, Access, User
from mountgauge.amqp import codec
from mountgauge.amqp.next_hops import AmqpNextHops
from mountgauge.core.config import Address, Config, ConfigError
from mountgauge.core.ports import AttemptResult, Call, CallItem, NextHop
from mountgauge.http1 import Message, response
from mountgauge.operator_file import load
from mountgauge.otlp import Exporter
from mountgauge.snapshot import Snapshot
from mountgauge.status import StatusServer, fetch_status
from rillspindle.interface import Entry, Outcome
from tests.helper import HOST, AmqpClient, Broker, HttpServer, SenderHarness, read_frame, run, until
from tests.settings import settings

FILE = """
name = "one"
state = "state"
[amqp]
listen = "127.0.0.1:0"
[[class]]
name = "note"
semantics = "idempotent"
deadline = 8
[[next_hop]]
id = "h"
addr = "127.0.0.1:9"
dest = 7
"""


# AMQP errors


@pytest.mark.parametrize(("data", "code", "hard"), [
    (codec.frame(codec.METHOD, 1, bytes.fromhex("0032000a") + b"\0" * 9), 540, True),  # queue.declare
    (codec.frame(codec.METHOD, 1, bytes.fromhex("003c0014")), 540, True),  # basic.consume
    (codec.frame(codec.METHOD, 1, bytes.fromhex("005a000a")), 540, True),  # tx.select
    (codec.frame(codec.METHOD, 1, bytes.fromhex("00630001")), 503, True),  # no such class
    (codec.method(9, "confirm.select"), 504, True),  # a channel that is not open
    (codec.method(1, "channel.open"), 504, True),  # a channel that is open already
    (codec.method(0, "connection.open"), 503, True),
    (codec.frame(codec.BODY, 1, b"x"), 505, True),
    (codec.frame(7, 1, b"x"), 505, True),
    (codec.frame(codec.METHOD, 1, bytes.fromhex("003c0028") + b"\0"), 502, True),  # cut short
    (codec.frame(codec.METHOD, 1, b"")[:-1] + b"!", 501, True),
    (codec.method(1, "basic.publish", exchange="other") + codec.content(1, {}, b"x", 4096), 404, False),
    (codec.method(1, "basic.publish", immediate=True) + codec.content(1, {}, b"x", 4096), 540, True),
    (codec.method(1, "basic.publish") + codec.content(1, {}, b"x" * 70_000, 4096), 311, False),
])  # fmt: skip
def test_protocol_errors_get_the_proper_close_code(
    tmp_path: Path, data: bytes, code: int, hard: bool
) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, "amqp") as world:
            client = world.client
            assert isinstance(client, AmqpClient)
            client.task.cancel()
            await asyncio.sleep(0)
            client.writer.write(data)
            while (frame := await read_frame(client.reader)).kind != codec.METHOD:
                pass
            method = codec.decode_method(frame.payload)
            assert (method.name, method.args["code"]) == (
                f"{'connection' if hard else 'channel'}.close",
                code,
            )
            if not hard:  # the channel can be opened again, and serves
                client.send_method(1, "channel.close-ok")
                client.send_method(1, "channel.open")
                await client.expect("channel.open-ok")
                client.send_method(1, "confirm.select")
                await client.expect("confirm.select-ok")
                client.tag, client.task = 0, asyncio.create_task(client.listen())
                await client.submit("m")
                assert await client.outcome("m") == "delivered"
            else:
                client.send_method(0, "connection.close-ok")
                rest = await client.reader.read()  # only heartbeats follow
                assert not rest.replace(codec.frame(codec.HEARTBEAT, 0, b""), b"")

    run(main())


def test_another_protocol_gets_the_expected_header_and_a_silent_client_is_closed(tmp_path: Path) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, "amqp") as world:
            reader, writer = await asyncio.open_connection(HOST, world.port)
            writer.write(b"GET / HT")
            assert await reader.read() == codec.PROTOCOL_HEADER
            writer.close()
            client = world.client
            assert isinstance(client, AmqpClient)
            # Heartbeats of 1 s were negotiated: they arrive, and a client that sends none is closed.
            started, beats = asyncio.get_running_loop().time(), 0
            client.task.cancel()
            await asyncio.sleep(0)
            try:
                while True:
                    beats += (await read_frame(client.reader)).kind == codec.HEARTBEAT
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            assert beats >= 2 and 1.5 < asyncio.get_running_loop().time() - started < 4

    run(main())


def test_broker_connections_are_bounded() -> None:
    async def main() -> None:
        brokers, done = [Broker(), Broker()], list[dict[int, AttemptResult]]()

        class Owner:
            def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
                return items

            def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
                done.append(results)

        hops = AmqpNextHops(Owner(), 0.5, 60.0, 1, {})
        now = asyncio.get_running_loop().time()
        for index, broker in enumerate(brokers):
            await broker.start()
            item = CallItem(index, 0, f"m{index}", "", "note", b"x", now + 9)
            entry = Entry(2, 0, 0, 0, 7, 0, b"h%d" % index)
            hops.start(Call(NextHop(f"h{index}", HOST, broker.port, entry), [item], now, now + 2))
            await until(lambda index=index: len(done) > index)  # type: ignore[misc]
        assert done == [{0: AttemptResult(Outcome.OK)}, {1: AttemptResult(Outcome.OK)}]
        assert list(hops._links) == ["h1"]  # the idle connection was closed for the new one
        brokers[1].script = ["silent"]
        hops.start(Call(NextHop("h1", HOST, brokers[1].port, entry), [item], now, now + 2))
        hops.start(Call(NextHop("h0", HOST, brokers[0].port, entry), [item], now, now + 2))
        await until(lambda: len(done) == 3)
        # No slot is free and no connection idle, so the third call is not sent.
        assert done[2] == {} and len(brokers[0].calls) == 1
        hops.close()
        for broker in brokers:
            await broker.stop()

    run(main())


def test_access_checks_users_and_virtual_hosts() -> None:
    access = Access({"u": User("p", "rossi"), "v": User("q")}, "/vans")
    assert access.login("PLAIN", b"\0u\0p") == "rossi" and access.login("PLAIN", b"\0v\0q") == DEFAULT_TENANT
    assert access.may_open("/vans") and not access.may_open("/") and Access().may_open("any")
    for mechanism, credentials in (
        ("PLAIN", b"\0u\0q"),
        ("PLAIN", b"\0v\0p"),
        ("PLAIN", b""),
        ("ANONYMOUS", b""),
    ):
        assert access.login(mechanism, credentials) is None


# Configuration


@pytest.mark.parametrize(("old", "new", "text"), [
    ('name = "one"\n', "", "name: missing"),
    ("deadline = 8", 'deadline = "8"', "class[0].deadline: wrong type"),
    ("deadline = 8", "deadline = 0", "class[0].deadline: must be above 0"),
    ("dest = 7", "dest = 7\nport = 3", "next_hop[0].port: unknown setting"),
    ("idempotent", "often", "class[0].semantics"),
    ('addr = "127.0.0.1:9"', 'addr = "nowhere"', "next_hop[0].addr: not an address"),
    ("[amqp]", "[mqtt]", "no front"),
    ('name = "one"', 'name = "one', "Illegal character"),
])  # fmt: skip
def test_bad_configuration_is_one_line_and_exit_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, text: str
) -> None:
    file = tmp_path / "sender.toml"
    file.write_text(FILE.replace(old, new))
    assert cli.main(["check", str(file)]) == 2 and cli.main(["run", str(file)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2 and text in lines[0] and str(file) in lines[0]


def test_the_platforms_configuration_is_read_and_errors_are_one_line(tmp_path: Path) -> None:
    raw: dict[str, Any] = {
        "name": "n3", "listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "settings": settings(shapes=["m1"]), "known": {"version": 0, "full": True, "servers": []},
    }  # fmt: skip
    file = tmp_path / "config.json"
    env = {"GW_CONFIG": str(file), "GW_STATE": str(tmp_path), "GW_LISTEN": "127.0.0.2:1"}
    file.write_bytes(orjson.dumps(raw))
    config = Config.load(env)
    assert (config.listen, config.limits.disk_bytes, config.known.version) == (
        Address("127.0.0.2", 1),
        3_000_000,
        0,
    )
    broken: dict[str, Any]
    for broken in ({"settings": {}}, {"discovery": "x"}, {"seed": "zz"}, {"known": {"servers": 1}}):
        file.write_bytes(orjson.dumps({**raw, **broken}))
        with pytest.raises(ConfigError) as error:
            Config.load(env)
        assert "\n" not in str(error.value)
    process = subprocess.run(
        [sys.executable, "-m", "mountgauge"],
        env={**os.environ, "GW_CONFIG": "/nowhere"},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert process.returncode == 2 and len(process.stderr.splitlines()) == 1


# OTLP


def test_otlp_export_and_a_failing_collector() -> None:
    async def main() -> None:
        bodies: list[Any] = []

        async def reply(message: Message) -> bytes:
            assert message.start is not None and message.start[:2] == ("POST", "/v1/metrics")
            assert message.headers["content-type"] == "application/json"
            bodies.append(orjson.loads(message.body))
            return response(200 if len(bodies) < 2 else 503, "x", {}, b"{}")

        server = HttpServer(reply)
        await server.start()
        counts = Counter({("end", "delivered"): 3, ("attempt", "ok"): 3, ("attempt", "timeout"): 1})
        exporter = Exporter(HOST, server.port, "/v1/metrics", 60, "one", lambda: Snapshot(counts, 2, 1, 8))
        assert await exporter.export()
        (resource,) = bodies[0]["resourceMetrics"]
        attributes = {a["key"]: a["value"]["stringValue"] for a in resource["resource"]["attributes"]}
        assert attributes["service.name"] == "mountgauge" and attributes["service.instance.id"] == "one"
        metrics = {m["name"]: m for m in resource["scopeMetrics"][0]["metrics"]}
        points = metrics["mountgauge.attempts"]["sum"]["dataPoints"]
        found = {p["attributes"][0]["value"]["stringValue"]: p["asInt"] for p in points}
        assert found == {"ok": "3", "timeout": "1"}  # 64-bit integers are text in this form
        assert metrics["mountgauge.attempts"]["sum"]["aggregationTemporality"] == 2
        assert metrics["mountgauge.messages.held"]["gauge"]["dataPoints"][0]["asInt"] == "2"
        assert not await exporter.export() and exporter.failed == 1
        await server.stop()
        assert not await exporter.export() and exporter.failed == 2
        exporter.close()

    run(main())


# The agent and the command line


def test_an_agent_restarts_a_crashed_instance_and_stops_all_in_order(tmp_path: Path) -> None:
    for name in ("a", "b"):
        (tmp_path / f"{name}.toml").write_text(
            FILE.replace('"one"', f'"{name}"').replace('"state"', f'"s-{name}"')
        )
    file = tmp_path / "agent.toml"
    file.write_text(
        '[agent]\nlisten = "127.0.0.1:0"\n[[instance]]\nfile = "a.toml"\n[[instance]]\nfile = "b.toml"\n'
    )
    assert cli.main(["check", str(file)]) == 0

    async def main() -> None:
        from mountgauge.agent import Agent, load_agent

        agent = Agent(load_agent(file))
        await agent.start(file)
        address = Address(HOST, agent.status.port)
        try:
            await until(lambda: all(one.state == "running" for one in agent.instances))
            await asyncio.sleep(1.0)  # so that the program is running when the signal arrives
            first = (await fetch_status(address))["instances"][0]
            os.kill(first["pid"], 9)
            await until(lambda: agent.instances[0].state == "backing-off")
            await until(lambda: agent.instances[0].state == "running")
            report = (await fetch_status(address))["instances"]
            assert (
                report[0]["restarts"] == 1 and report[0]["pid"] != first["pid"] and report[1]["restarts"] == 0
            )
            assert report[0]["exit"] == -9
            await asyncio.sleep(1.0)
        finally:
            await agent.stop()
        first_stopped, last_stopped = agent.instances[1], agent.instances[0]
        assert first_stopped.since < last_stopped.since
        assert [(one.state, one.exit) for one in agent.instances] == [("stopped", 0)] * 2

    run(main(), 40)


def test_an_instance_reports_its_state(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against counts with enum keys: the report could not be encoded as JSON, and nothing answered."""

    async def main() -> None:
        async with SenderHarness(tmp_path, "http") as world:
            await world.client.submit("m1")
            await world.client.outcome("m1")
            await until(lambda: not world.runtime.sender.pending)
            server = StatusServer(world.runtime.report)
            await server.listen(Address(HOST, 0))
            found = await fetch_status(Address(HOST, server.port))
            assert found["ends"] == {"delivered": 1} and found["attempts"] == {"ok": 1} and found["held"] == 0
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(b"GET /other HTTP/1.1\r\n\r\n")
            assert (await reader.read()).startswith(b"HTTP/1.1 404 ")
            writer.close()
            server.close()

    run(main())


def test_status_without_an_agent_exits_with_an_error(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["status", "127.0.0.1:1"]) == 1
    assert cli.main(["status", "nowhere"]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 2


def test_an_operators_file_has_defaults(tmp_path: Path) -> None:
    file = tmp_path / "one.toml"
    file.write_text(FILE + '[otlp]\nendpoint = "http://127.0.0.1:4318"\n')
    operator = load(file)
    assert operator.otlp is not None and operator.otlp.path == "/v1/metrics"
    assert operator.hops.protocols == {"h": "http"} and operator.config.names.class_names == ("note",)
