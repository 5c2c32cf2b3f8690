"""Stand-ins for the review's cases: discovery with notices, endpoints, clients, and the sender's processes.

They use the standard library alone and follow the protocol pages. Every address is 127.0.0.1. Times in the
record are seconds since the start of the case, on the monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes `record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="ascii", errors="replace", buffering=1)
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write one line with the present time."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port() -> int:
    """A port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


# HTTP


@dataclass(slots=True)
class Request:
    """One request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, headers, body)


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Encode an HTTP answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves HTTP/1.1 with kept connections; `handle` gives the answer, or None for no answer."""

    def __init__(self, handle: Callable[[Request], Awaitable[bytes | None]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_request(reader)) is not None:
                if (content := await self._handle(request)) is None:
                    await reader.read()  # silent until the peer closes
                    break
                writer.write(content)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):  # cancelled at the end of the case
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close_connections(self) -> None:
        """Close the open connections."""
        for writer in list(self._writers):
            writer.close()


# The platform: discovery and notices


@dataclass(slots=True)
class Entry:
    """One endpoint of the list."""

    id: str
    port: int
    cell: int
    kind: str = "client-shop"
    zone: str = "catania-1"
    state: str = "active"
    weight: float = 40.0

    def line(self) -> dict[str, Any]:
        """As discovery lists it."""
        return {"id": self.id, "addr": f"{HOST}:{self.port}", "zone": self.zone, "kind": self.kind,
                "cell": self.cell, "state": self.state, "weight": self.weight, "started_ms": 0}  # fmt: skip


@dataclass(slots=True)
class Run:
    """A call of a message that an endpoint has begun."""

    began: float
    endpoint: str
    status: int = 0  # 0: not answered
    answered: float | None = None


@dataclass(slots=True)
class Fate:
    """What happened to one message, by the id under which it was handed in."""

    id: str
    sent_at: float
    lasts_s: float
    message_class: str
    dest: int
    answer: str = ""  # the sender's, "" if there was none
    runs: list[Run] = field(default_factory=list)
    notices: list[tuple[float, str]] = field(default_factory=list)

    @property
    def delivered(self) -> bool:
        """Whether a call of it was answered 200."""
        return any(run.status == 200 for run in self.runs)

    @property
    def taken_on(self) -> bool:
        """Whether the sender took it on."""
        return self.answer.startswith("+")

    def ended_at(self) -> float | None:
        """When it was delivered, or ended by a notice; None if neither."""
        ends = [run.answered for run in self.runs if run.status == 200 and run.answered is not None]
        ends += [at for at, _ in self.notices]
        return min(ends, default=None)


class Platform:
    """Discovery and notices at one or more addresses, and what is known of each message."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.entries: list[Entry] = []
        self.version = 41
        self.fates: dict[str, Fate] = {}
        self.crowded_until = 0.0  # until then each call to discovery waits for 1 s and fails

    def known(self) -> dict[str, Any]:
        """The list."""
        return {"version": self.version, "full": True, "servers": [one.line() for one in self.entries]}

    async def add_address(self, name: str) -> HttpServer:
        """A further address at which discovery and the notices are served."""

        async def handle(request: Request) -> bytes:
            path, _, query = request.target.partition("?")
            if path == "/v1/notices" and request.method == "POST":
                for line in request.body.splitlines():
                    notice = json.loads(line)
                    if (fate := self.fates.get(notice["id"])) is not None:
                        fate.notices.append((self.record.now(), notice["status"]))
                    self.record.line(f"notice at {name}: {notice['id']} {notice['status']}")
                return answer(204)
            if path != "/registry/instances":
                return answer(404)
            if self.record.now() < self.crowded_until:
                await asyncio.sleep(1.0)
                self.record.line(f"discovery {name}: 503")
                return answer(503)
            pairs = dict(part.split("=") for part in query.split("&")) if query else {}
            if "index" not in pairs:
                self.record.line(f"discovery {name}: whole list, version {self.version}")
                return answer(200, json.dumps(self.known()).encode())
            until = time.monotonic() + min(int(pairs.get("wait", "0")), 60_000) / 1000
            while self.version <= int(pairs["index"]) and time.monotonic() < until:
                await asyncio.sleep(0.02)
            if self.version > int(pairs["index"]):
                return answer(200, json.dumps(self.known()).encode())
            return answer(200, json.dumps({"version": self.version, "full": False, "servers": []}).encode())

        server = HttpServer(handle)
        await server.start()
        return server


class Endpoint:
    """A partner's endpoint: runs each call and answers it after `pace_s`."""

    def __init__(self, platform: Platform, name: str, pace_s: float = 0.25) -> None:
        self.platform, self.name, self.pace_s = platform, name, pace_s
        self.status = 200
        self.silent = False  # from now on calls get no answer
        self.server = HttpServer(self._handle)
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        await self.server.start()
        self.port = self.server.port

    async def _handle(self, request: Request) -> bytes | None:
        record = self.platform.record
        if request.target == "/hook":
            ids = [request.headers["x-trace-id"]]
        else:
            ids = [str(one["id"]) for one in json.loads(request.body)]
        if unknown := [one for one in ids if one not in self.platform.fates]:
            record.line(f"endpoint {self.name}: {unknown} were handed in by nobody")
            return answer(400)
        record.line(f"endpoint {self.name}: run {' '.join(ids)}")
        runs = [Run(record.now(), self.name) for _ in ids]
        for one, run in zip(ids, runs, strict=True):
            self.platform.fates[one].runs.append(run)
        await asyncio.sleep(self.pace_s)
        if self.silent:
            return None
        status = self.status
        for run in runs:
            run.status, run.answered = status, record.now()
        record.line(f"endpoint {self.name}: answered {status} {' '.join(ids)}")
        if request.target == "/hook" or status != 200:
            return answer(status)
        return answer(200, json.dumps([{"id": one, "state": "ok"} for one in ids]).encode())


# Clients


def encode(*words: bytes) -> bytes:
    """One RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in words)


class Client:
    """A client: hands in messages, one at a time on a connection, and opens more when all are busy."""

    def __init__(self, platform: Platform, port: int, name: str = "m") -> None:
        self.platform, self.port, self.name = platform, port, name
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._number = 0

    async def connections(self, count: int) -> None:
        """Open so many connections ahead."""
        for _ in range(count):
            self._idle.append(await asyncio.open_connection(HOST, self.port))

    def new(self, message_class: str, dest: int, lasts_s: float, keyed: bool) -> tuple[Fate, bytes]:
        """A message and its command."""
        self._number += 1
        msg_id = f"{self.name}-{self._number:06d}"
        fate = Fate(msg_id, self.platform.record.now(), lasts_s, message_class, dest)
        self.platform.fates[msg_id] = fate
        fields = f"c={message_class},d={round(lasts_s * 1000)},dest={dest}"
        if keyed:
            fields += f",k=key{msg_id}"
        return fate, encode(
            b"ENQUEUE", b"0" * 16, msg_id.encode(), fields.encode(), b"body of " + msg_id.encode()
        )

    async def submit(
        self, message_class: str, dest: int, lasts_s: float, keyed: bool = False, answer_within: float = 0.4
    ) -> Fate:
        """Hand in one message and wait 400 ms for its answer, as the protocol says."""
        record = self.platform.record
        fate, command = self.new(message_class, dest, lasts_s, keyed)
        for again in (False, True):
            try:
                connection = (
                    self._idle.pop() if self._idle else await asyncio.open_connection(HOST, self.port)
                )
            except OSError as error:
                record.line(f"client: {fate.id} no connection: {error}")
                return fate
            reader, writer = connection
            fate.sent_at = record.now()
            record.line(f"client: {fate.id} {message_class} dest={dest} d={lasts_s:.3f}")
            try:
                writer.write(command)
                async with asyncio.timeout(answer_within):
                    line = await reader.readline()
            except TimeoutError:
                record.line(f"client: {fate.id} no answer in {answer_within} s")
                writer.close()
                return fate
            except ConnectionError:
                line = b""
            if line:
                fate.answer = line.decode().strip()
                record.line(f"client: {fate.id} answered {fate.answer}")
                self._idle.append(connection)
                return fate
            writer.close()
            if not again:  # closed between requests: once more on a new connection
                self._idle.clear()
                self.platform.record.line(f"client: {fate.id} once more on a new connection")
        return fate

    def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop()[1].close()

    async def ping(self) -> bool:
        """Whether the sender says +PONG on a new connection."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode(b"PING"))
                said = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return said == b"+PONG\r\n"

    async def until_ready(self, within_s: float = 30.0) -> None:
        """Wait until the sender says +PONG."""
        until = time.monotonic() + within_s
        while not await self.ping():
            if time.monotonic() > until:
                raise NotRunError("the sender did not get ready")
            await asyncio.sleep(0.05)


# Senders


def run_command() -> str:
    """The deploy file's command for one sender."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Sender:
    """The sender's files and its processes, which are started by the deploy file's command."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any]) -> None:
        self.record, self.folder, self.config = record, folder, config
        self.file, self.state = folder / "config.json", folder / "state"
        self.state.mkdir()
        (folder / "tmp").mkdir()
        self.processes: list[asyncio.subprocess.Process] = []
        self.write(config)

    def write(self, config: dict[str, Any]) -> None:
        """Replace the configuration file."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.replace(self.file)

    async def start(self, pass_fds: tuple[int, ...] = (), **env: str) -> asyncio.subprocess.Process:
        """Start a process by the deploy file's command, as `/bin/sh -c` from the root."""
        log = (self.folder / f"log{len(self.processes)}").open("wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL, pass_fds=pass_fds, start_new_session=True,
            env={**os.environ, "GW_NAME": self.config["name"], "GW_LISTEN": self.config["listen"],
                 "GW_DISCOVERY": self.config["discovery"], "GW_STATE": str(self.state),
                 "GW_CONFIG": str(self.file), "TMPDIR": str(self.folder / "tmp"), **env},
        )  # fmt: skip
        self.processes.append(process)
        self.record.line(f"sender: started, process {len(self.processes)}")
        return process

    def signal(self, number: int, process: asyncio.subprocess.Process | None = None) -> None:
        """Send a signal to a process that this case started; the newest one by default."""
        process = process or self.processes[-1]
        if process.returncode is None:
            self.record.line(
                f"sender: {signal.Signals(number).name} to process {self.processes.index(process) + 1}"
            )
            process.send_signal(number)

    async def end(self) -> None:
        """End all processes."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    def log_lines(self, *words: str) -> list[str]:
        """The lines of the processes' logs that contain one of these words."""
        text = "".join(
            (self.folder / f"log{i}").read_text(errors="replace") for i in range(len(self.processes))
        )
        return [line for line in text.splitlines() if any(word in line for word in words)]


def settings(**extra: Any) -> dict[str, Any]:
    """Settings of a small deployment: the example of the wire page, with its classes and obligations."""
    return {
        "balancers": 2,
        "ceilings": {"attemptsCap": 8, "cancel": True, "connIdle": 5.0, "connectTimeout": 1.5,
                     "cpuUsPerRequest": 0.0, "cpuUsPerS": 600000, "maxOpen": 199, "maxRetryAfter": 2.0,
                     "mayDuplicate": False, "peers": False, "probes": False, "retryAfter": False,
                     "streamsPerConn": 1},
        "clients": {"marksRetry": False},
        "deductions": {"connection": 0.0, "handshake": 0.02, "lateFail": 0.02, "waste": 0.023},
        "discovery": "subscribe",
        "extra": {"feeByZone": [0.0], "kindBatch": [5, 1], "losesWorth": "even",
                  "routesApart": [False, False], "turnedAwayPrice": 0.05, "workers": 11},
        "goal": {"whole": 0.45, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.25},
        "grades": [
            {"aim": 2.0, "deadline": 24.0, "group": "all", "lateWorth": 0.3, "name": "stop-confirm",
             "repeatWindow": 25.0, "semantics": "deduplicated", "stream": False, "worth": 1.0},
            {"aim": 1.0, "deadline": 8.0, "group": "all", "lateWorth": 0.0, "name": "route-update",
             "repeatWindow": 5.0, "semantics": "idempotent", "stream": False, "worth": 2.0},
        ],
        "localities": ["catania-1"],
        "obligations": {"answerSlack": 0.02, "askWithin": 10.0, "cold": 14.0, "drainGrace": 0.25, "fall": 1.5,
                        "fallMultiple": 2.0, "startCapacity": 0.17},
        "ordinal": 0, "overShareWorth": 0.1,
        "report": {"fields": [], "via": "off"},
        "serviceType": "deliver", "shapes": ["member-dispatch", "client-shop"], "tenants": [],
        "tick": 0.005, "tier": 0, "tiers": ["partner-systems"], "weights": "nominal", "worthBy": "request",
        "zone": 0, **extra,
    }  # fmt: skip


def configuration(platform: Platform, port: int, discovery: int, **extra: Any) -> dict[str, Any]:
    """A sender's configuration file."""
    return {
        "name": "n1", "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": platform.known(), "settings": settings(), **extra,
    }  # fmt: skip


def disrupted() -> bool:
    """Whether the case is run with its disruption (`TROUBLE=0`: without)."""
    return os.environ.get("TROUBLE", "1") != "0"


def require_load(taken: int, least: int) -> None:
    """Raise NotRunError if the sender has taken on too few messages for a verdict."""
    if taken < least:
        raise NotRunError(f"only {taken} messages were taken on, {least} are wanted")


def run_case(folder: Path, main: Callable[[Record], Awaitable[bool]], limit_s: float) -> int:
    """Run a case; returns its exit code. `main` returns whether the rule held. SIGTERM ends it in order."""
    record = Record(folder)

    async def bounded() -> bool:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await main(record)

    try:
        held = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # nothing is known of the rule then
        record.line(f"not run: {error!r}")
        print(f"not run: {error!r}")
        return NOT_RUN
    finally:
        record.close()
    return HELD if held else BROKEN
