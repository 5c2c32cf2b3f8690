"""The program on loopback: planned restarts and SIGKILL, with a persistent state folder."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from mountgauge.http1 import Message, response
from mountgauge.lab.ports import reserve_ports
from tests import processes
from tests.helper import HOST, HttpServer, reply_without_changes, run, until
from tests.settings import message_class, settings

START_LIMIT_S = 25.0  # within which a process must serve, even on a slow machine


class Platform:
    """Stand-in for the platform: discovery, notices and one endpoint, and the sender that it configures."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.may_answer = folder, asyncio.Event()
        self.may_answer.set()
        self.received_calls: list[str] = []
        self.delivered: list[str] = []
        self.notices: dict[str, str] = {}
        self.discovery, self.endpoint = HttpServer(self.answer), HttpServer(self.answer_call)
        self.port = 0
        self.listed = "active"  # the endpoint's state in the list that a sender starts with

    async def answer(self, message: Message) -> bytes:
        assert message.start is not None
        if message.start[1] == "/v1/notices":
            for line in bytes(message.body).splitlines():
                notice = json.loads(line)
                self.notices[notice["id"]] = notice["status"]
            return response(204, "No Content", {}, b"")
        return await reply_without_changes(message)

    async def answer_call(self, message: Message) -> bytes:
        msg_id = message.headers["x-trace-id"]
        self.received_calls.append(msg_id)
        await self.may_answer.wait()
        self.delivered.append(msg_id)
        return response(200, "OK", {}, b"")

    async def start(self, _fds: int | None = None, **extra_env: str) -> asyncio.subprocess.Process:
        if not self.discovery.port:
            await self.discovery.start()
            await self.endpoint.start()
            (self.port,) = reserve_ports(1)
        line = {"id": "e", "addr": f"{HOST}:{self.endpoint.port}", "zone": "near", "kind": "one", "cell": 7,
                "state": self.listed, "weight": 1.0, "started_ms": 0}  # fmt: skip
        grades = [
            message_class(name="safe"),
            message_class("deduplicated", name="keyed"),
            message_class("at_most_once", name="once"),
        ]
        raw: dict[str, Any] = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{self.discovery.port}",
            "seed": "1f", "limits": {"memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": {"version": 4, "full": True, "servers": [line]},
            "settings": settings(shapes=["one", "two"], grades=grades, discovery="subscribe"),
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(raw))
        return await self.launch(_fds, **extra_env)

    async def launch(self, _fds: int | None = None, **extra_env: str) -> asyncio.subprocess.Process:
        """Start a process with the configuration in the folder, and wait until it serves."""
        (self.folder / "state").mkdir(exist_ok=True)
        env = {"GW_CONFIG": str(self.folder / "config.json"), "GW_STATE": str(self.folder / "state")}

        def pass_socket() -> None:  # the platform's listening socket, as descriptor 5
            if _fds is not None:
                os.dup2(_fds, 5)

        with (self.folder / "sender.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "mountgauge", env={**os.environ, **env, **extra_env},
                stderr=log, pass_fds=() if _fds is None else (5,), preexec_fn=pass_socket,
            )  # fmt: skip
        processes.register(process.pid)
        await until(lambda: process.returncode is not None or self.pings(), START_LIMIT_S)
        assert process.returncode is None, (self.folder / "sender.log").read_text()[-2000:]
        return process

    def pings(self) -> bool:
        import socket

        try:
            with socket.create_connection((HOST, self.port), 0.2) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                return client.recv(64) == b"+PONG\r\n"
        except OSError:
            return False

    async def send(self, *messages: tuple[str, str], left_ms: int = 6000) -> list[bytes]:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        for msg_id, name in messages:
            args = [b"ENQUEUE", b"0", msg_id.encode(), f"c={name},d={left_ms},k=k,dest=7".encode(), b"body"]
            writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args))
        answers = [await reader.readline() for _ in messages]
        writer.close()
        return answers

    async def stop(self) -> None:
        await self.discovery.stop()
        await self.endpoint.stop()


def test_sigterm_answers_through_the_hand_over_and_exits_0_in_time(tmp_path: Path) -> None:
    async def main() -> None:
        platform = Platform(tmp_path)
        process = await platform.start()
        platform.may_answer.clear()
        assert await platform.send(("a", "safe")) == [b"+OK\r\n"]
        loop = asyncio.get_running_loop()
        began = loop.time()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.4)
        assert await platform.send(("b", "keyed")) == [b"+OK\r\n"]  # new connections are still accepted
        reader, kept = await asyncio.open_connection(HOST, platform.port)
        await asyncio.sleep(1.2)  # and open ones are still served, as others carry the remainder
        kept.write(b"*1\r\n$4\r\nPING\r\n")
        assert await reader.readline() == b"+PONG\r\n"
        kept.close()
        await asyncio.sleep(0.6)
        platform.may_answer.set()  # calls in flight finish
        assert await process.wait() == 0
        assert loop.time() - began < 3.7 and set(platform.delivered) == {"a", "b"}
        process = await platform.start()
        await asyncio.sleep(0.5)
        assert len(platform.received_calls) == 2 and not platform.notices  # each had its only outcome before
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        await platform.stop()

    run(main(), 30)


def test_sigkill_loses_nothing_and_repeats_only_repeatable_messages(tmp_path: Path) -> None:
    async def main() -> None:
        platform = Platform(tmp_path)
        process = await platform.start()
        assert await platform.send(("warm", "safe")) == [b"+OK\r\n"]
        await until(lambda: "warm" in platform.delivered)
        platform.may_answer.clear()
        messages = [("a", "safe"), ("b", "keyed"), ("c", "once")]
        assert await platform.send(*messages) == [b"+OK\r\n"] * 3
        await until(lambda: len(platform.received_calls) == 4)
        process.kill()
        await process.wait()
        platform.may_answer.set()
        await asyncio.sleep(0.1)  # calls in flight finish at the endpoint, unobserved by the killed sender
        platform.received_calls.clear()
        process = await platform.start()
        await until(lambda: len(platform.received_calls) == 2 and platform.notices)
        await asyncio.sleep(0.3)
        assert sorted(platform.received_calls) == ["a", "b"] and platform.notices == {"c": "undeliverable"}
        process.kill()
        await process.wait()
        await platform.stop()

    run(main(), 30)
