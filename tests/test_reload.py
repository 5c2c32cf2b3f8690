"""SIGHUP reads the file again and may change the address of discovery; no client, call or notice is lost."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import orjson

from mountgauge.agent import Agent, load_agent
from mountgauge.core.config import Address
from mountgauge.core.ports import MessageOutcome, Status
from mountgauge.http1 import Message, response
from mountgauge.notices import Notices
from mountgauge.operator_file import load
from mountgauge.platform.discovery import TransportMap
from mountgauge.run.operator import OperatorRuntime
from tests.helper import HOST, HttpServer, SenderHarness, run, until
from tests.test_peers import NAMES, Owner, bounds, listing
from tests.test_process import Platform


def test_sighup_moves_to_another_discovery_and_closes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        platform, asked = Platform(tmp_path), list[str]()

        async def other(message: Message) -> bytes:
            assert message.start is not None
            asked.append(message.start[1])
            if message.start[1] == "/v1/notices":
                return await platform.answer(message)
            line = {"id": "e", "addr": f"{HOST}:{platform.endpoint.port}", "zone": "near", "kind": "one",
                    "cell": 7, "state": "active", "weight": 1.0, "started_ms": 0}  # fmt: skip
            if "index" in message.start[1]:
                await asyncio.sleep(30)
            return response(200, "OK", {}, orjson.dumps({"version": 9, "full": True, "servers": [line]}))

        moved = HttpServer(other)
        await moved.start()
        # The environment keeps the address from the start of the process; the file has the new one.
        process = await platform.start(GW_DISCOVERY=f"{HOST}:{platform.discovery.port}")
        platform.may_answer.clear()
        reader, writer = await asyncio.open_connection(HOST, platform.port)
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        assert await reader.readline() == b"+PONG\r\n"
        assert await platform.send(("a", "safe")) == [b"+OK\r\n"]
        await until(lambda: platform.received_calls == ["a"])
        file = tmp_path / "config.json"
        good = json.loads(file.read_text())
        file.write_text("{")
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert process.returncode is None and not asked
        file.write_text(json.dumps({**good, "discovery": f"{HOST}:{moved.port}"}))
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(asked) >= 2, 2.0)  # although the old address does not answer
        assert asked[0] == "/registry/instances" and "index=9&" in asked[1]
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        assert await reader.readline() == b"+PONG\r\n"
        platform.may_answer.set()
        await until(lambda: platform.delivered == ["a"])
        platform.may_answer.clear()
        assert await platform.send(("late", "once")) == [b"+OK\r\n"]
        await until(lambda: len(platform.received_calls) == 2)
        await platform.endpoint.stop()
        await until(lambda: platform.notices == {"late": "undeliverable"} and "/v1/notices" in asked)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        await platform.stop()
        await moved.stop()

    run(main(), 30)


def test_a_file_without_discovery_does_not_move_the_sender_back_to_the_address_of_its_start(
    tmp_path: Path,
) -> None:
    """Guards against lost messages: the environment's address, which is shut, stood in for the absent key."""

    async def main() -> None:
        platform, asked = Platform(tmp_path), list[str]()

        async def other(message: Message) -> bytes:
            assert message.start is not None
            asked.append(message.start[1])
            if message.start[1] == "/v1/notices":
                return await platform.answer(message)
            if "index" in message.start[1]:
                await asyncio.sleep(0.3)
            line = {"id": "e", "addr": f"{HOST}:{platform.endpoint.port}", "zone": "near", "kind": "one",
                    "cell": 7, "state": "active", "weight": 1.0, "started_ms": 0}  # fmt: skip
            return response(200, "OK", {}, orjson.dumps({"version": 9, "full": True, "servers": [line]}))

        moved = HttpServer(other)
        await moved.start()
        process = await platform.start(GW_DISCOVERY=f"{HOST}:{platform.discovery.port}")
        file = tmp_path / "config.json"
        complete = {**json.loads(file.read_text()), "discovery": f"{HOST}:{moved.port}"}
        file.write_text(json.dumps(complete))
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(asked) >= 2, 2.0)
        await platform.discovery.stop()
        changed = {
            **complete,
            "settings": {**complete["settings"], "grades": complete["settings"]["grades"][:2]},
        }
        file.write_text(json.dumps({key: value for key, value in changed.items() if key != "discovery"}))
        process.send_signal(signal.SIGHUP)
        log = tmp_path / "sender.log"
        await until(lambda: "reload-failed" in log.read_text() or log.read_text().count("reloaded") > 1)
        seen = len(asked)
        await until(lambda: len(asked) > seen + 2, 3.0)  # the watch goes on at the new address
        platform.may_answer.clear()
        assert await platform.send(("late", "once")) == [b"+OK\r\n"], "a class of the file in force"
        await until(lambda: platform.received_calls == ["late"])
        await platform.endpoint.stop()
        await until(lambda: platform.notices == {"late": "undeliverable"} and "/v1/notices" in asked)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        await platform.stop()
        await moved.stop()

    run(main(), 30)


def test_a_map_with_a_new_address_is_read_without_back_off() -> None:
    """Failures at the old address, or before the new one serves, must not use up the 4 s of a move."""

    async def main() -> None:
        paths: list[str] = []

        async def reply(message: Message) -> bytes:
            assert message.start is not None
            paths.append(message.start[1])
            if len(paths) < 3:
                return response(503, "not yet", {}, b"")
            if len(paths) > 3:
                await asyncio.sleep(60)
            return listing(2, True)

        silent, server = HttpServer(lambda m: asyncio.sleep(60, None)), HttpServer(reply)
        await silent.start()
        await server.start()
        owner = Owner(30)
        watched = TransportMap(owner, Address(HOST, silent.port), NAMES, bounds(5.0))
        watched.watch(True)
        await asyncio.sleep(0.1)
        watched.move(Address(HOST, server.port))
        watched.watch(True)  # the watch continues
        await until(lambda: len(paths) == 4, 1.5)
        assert paths[:3] == ["/registry/instances"] * 3 and "index=2&" in paths[3]
        assert owner.updates[0].full
        watched.close()
        for one in (silent, server):
            await one.stop()

    run(main())


def test_unsent_notices_move_to_the_new_address() -> None:
    async def main() -> None:
        lines: list[bytes] = []

        async def take(message: Message) -> bytes:
            lines.extend(bytes(message.body).splitlines())
            return response(204, "x", {}, b"")

        silent, server = HttpServer(lambda m: asyncio.sleep(60, None)), HttpServer(take)
        await silent.start()
        await server.start()
        notices, notified = Notices(Address(HOST, silent.port)), list[str]()
        notices.move(Address(HOST, silent.port))  # no notice is pending yet
        notices.report_outcome("a", MessageOutcome(Status.DEFERRED, 5), lambda: notified.append("a"))
        await asyncio.sleep(0.1)
        notices.move(Address(HOST, server.port))
        notices.report_outcome("b", MessageOutcome(Status.UNDELIVERABLE), lambda: notified.append("b"))
        await until(lambda: len(notified) == 2, 0.5)
        assert [json.loads(line)["id"] for line in lines] == ["a", "b"] and not notices.unacknowledged
        notices.close()
        for one in (silent, server):
            await one.stop()

    run(main())


def test_an_operators_sender_applies_its_changed_file(tmp_path: Path) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, "amqp") as world:
            text = world.file.read_text()
            world.file.write_text("name = ")
            world.runtime.reload()
            assert world.runtime.operator is not None and world.runtime.operator.amqp is not None
            assert not world.runtime.operator.access.users
            world.file.write_text(text.replace("[rules]", 'users = { "u" = "other" }\n[rules]'))
            world.runtime.reload()
            late = type(world.client)(world)
            try:
                await late.connect()
                raise AssertionError("an old password is still accepted")
            except (AssertionError, asyncio.IncompleteReadError) as error:
                assert "403" in str(error)
            assert await world.client.submit("m1") is None and await world.client.outcome("m1") == "delivered"

    run(main())


def test_reload_names_what_needs_a_restart(tmp_path: Path) -> None:
    file = tmp_path / "one.toml"
    text = ('name = "one"\nstate = "state"\n[resp]\nlisten = "127.0.0.1:0"\nnotices = "127.0.0.1:9"\n'
            '[[class]]\nname = "note"\nsemantics = "idempotent"\ndeadline = 8\n')  # fmt: skip
    file.write_text(text)
    (tmp_path / "state").mkdir()
    logged: list[list[str]] = []

    async def main() -> None:
        operator = load(file)
        runtime = OperatorRuntime(operator)
        setattr(runtime, "_log_reload", logged.append)  # noqa: B010
        await runtime.start()
        runtime.reload()
        file.write_text(text.replace("deadline = 8", "deadline = 9").replace("127.0.0.1:9", "127.0.0.1:8"))
        runtime.reload()
        assert isinstance(runtime.notices, Notices) and runtime.notices._address.port == 8
        runtime.close()
        runtime.listeners[0][0].stop_listening()

    run(main())
    assert logged == [[], ["settings"]]


def test_an_agent_applies_its_changed_file(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ended the agent and left its instances running."""
    for name in ("a", "b", "c"):
        (tmp_path / f"{name}.toml").write_text(
            f'name = "{name}"\nstate = "s-{name}"\n[resp]\nlisten = "127.0.0.1:0"\n'
            '[[class]]\nname = "note"\nsemantics = "idempotent"\ndeadline = 8\n'
        )
    file = tmp_path / "agent.toml"

    def write(*names: str) -> None:
        lines = [f'[[instance]]\nfile = "{name}.toml"\n' for name in names]
        file.write_text('[agent]\nlisten = "127.0.0.1:0"\n' + "".join(lines))

    async def main() -> None:
        write("a", "b")
        agent = Agent(load_agent(file))
        await agent.start(file)
        try:
            await until(lambda: all(one.state == "running" for one in agent.instances))
            kept, gone = agent.instances
            first = kept.report()["pid"]
            file.write_text("[agent")
            await agent.reload(file)
            assert agent.instances == [kept, gone]
            write("c", "a")
            await agent.reload(file)
            assert [one.name for one in agent.instances] == ["c", "a"] and gone.state == "stopped"
            await until(lambda: all(one.state == "running" for one in agent.instances))
            assert agent.instances[1] is kept and kept.report()["pid"] == first and kept.restarts == 0
            os.kill(first, 0)
        finally:
            await agent.stop()

    run(main(), 40)


def test_sighup_applies_new_settings_and_ignores_a_broken_file(tmp_path: Path) -> None:
    """Classes are added and removed, attempts reduced; an empty or cut file, a missing key or a non-positive
    value changes nothing.
    """

    async def main() -> None:
        platform = Platform(tmp_path)
        process = await platform.start()
        file = tmp_path / "config.json"
        good = json.loads(file.read_text())
        grades = good["settings"]["grades"]
        fresh = [*grades[:2], {**grades[0], "name": "fresh"}]
        new = {**good, "settings": {**good["settings"], "grades": fresh}}
        new["settings"]["ceilings"] = {**good["settings"]["ceilings"], "attemptsCap": 1}
        text = json.dumps(new)
        keyless = json.dumps({k: v for k, v in new.items() if k != "settings"})
        negative, none = text.replace('"deadline": ', '"deadline": -'), text.replace('Cap": 1', 'Cap": 0')
        broken_forms = ("", text[:-9], keyless, negative, none)
        assert text not in broken_forms
        for broken in broken_forms:
            file.write_text(broken)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            assert process.returncode is None
            answers = await platform.send(("f" + str(len(broken)), "fresh"), ("o" + str(len(broken)), "once"))
            assert answers[0].startswith(b"-") and answers[1] == b"+OK\r\n"
        file.write_text(json.dumps(new))
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        answers = await platform.send(("fresh", "fresh"), ("gone", "once"), ("kept", "safe"))
        assert answers[0] == b"+OK\r\n" and answers[1].startswith(b"-") and answers[2] == b"+OK\r\n"
        await until(lambda: {"fresh", "kept"} <= set(platform.delivered))
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        await platform.stop()

    run(main(), 30)
