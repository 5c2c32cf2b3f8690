"""Stand-ins for the cases of the second review: platform, endpoints, clients, and the sender's processes.

They follow PROTOCOL, DEPLOY and the operators' pages, and use the standard library alone. Every address is a
loopback address with a port that the system chose. All times are of one monotonic clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LISTEN_FD = 5  # of the platform's listening socket in every process (operators' page)
USUAL_S = 0.24  # a call at a partner system of usual pace: 210 to 370 ms, or 140 to 240 ms (BRIEF)
# Descriptor 5 stays free for the platform's listening socket: whatever is opened later gets a higher one.
_RESERVED = [os.open(os.devnull, os.O_RDONLY) for _ in range(8)]


class CouldNotRunError(Exception):
    """The case could not be played; nothing was found out."""


@dataclass
class Record:
    """What was sent, answered and run, for `record.txt`."""

    path: Path
    began: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, event: str, /, **fields: object) -> float:
        """Note an event; returns when it was."""
        now = time.monotonic()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"{now - self.began:9.3f} {event} {text}".rstrip())
        return now

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


async def read_http(reader: asyncio.StreamReader, on_first: Callable[[], None] = lambda: None) -> Any:
    """A request's first line, headers and body; None at the end of the connection."""
    first = await reader.read(1)
    if not first:
        return None
    on_first()
    head = first + await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start.split(" "), headers, body


def http(status: int, body: bytes = b"", **headers: str) -> bytes:
    """A response."""
    lines = [
        f"HTTP/1.1 {status} X",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A TCP server on a loopback address; subclasses handle its connections."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def shut(self, reset: bool = True) -> None:
        """Refuse new connections and reset the open ones, as a process that has died."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if reset:
            for writer in list(self._writers):
                writer.transport.abort()


@dataclass(frozen=True)
class Notice:
    """What a notice said of a message, and when."""

    at: float
    status: str


class Platform(Server):
    """Discovery, and the platform's receiver of notices."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.version = 1
        self.servers: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self.told: dict[tuple[str, str], float] = {}  # endpoint and state, and when it was first written
        self.notices: dict[str, list[Notice]] = {}
        self._news = asyncio.Event()
        self.down = False  # discovery; notices are still taken

    def put(self, name: str, address: str, **fields: Any) -> None:
        """List an endpoint, or change its entry."""
        self.version += 1
        entry = {
            "id": name,
            "addr": address,
            "zone": "a",
            "kind": "client-shop",
            "cell": 1,
            "state": "active",
            "weight": 5.0,
            "started_ms": 0,
        }
        self.servers[name] = {**entry, **self.servers.get(name, {}), "addr": address, **fields}
        self._changed_at[name] = self.version
        self.record.add("listed", **self.servers[name], version=self.version)
        self._news.set()
        self._news = asyncio.Event()

    def full(self) -> dict[str, Any]:
        """The whole list; what has left is named among changes alone."""
        there = [one for one in self.servers.values() if one["state"] != "left"]
        return {"version": self.version, "full": True, "servers": there}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_http(reader)) is not None:
            (method, target, _), _, body = request
            if method == "POST" and target == "/v1/notices":
                writer.write(self._notices(body))
            elif target.startswith("/registry/instances"):
                if not await self._list(target, reader, writer):
                    return
            else:
                writer.write(http(404))
            await writer.drain()

    def _notices(self, body: bytes) -> bytes:
        try:
            lines = [json.loads(line) for line in body.splitlines() if line]
        except ValueError:
            return http(400)
        for line in lines:
            at = self.record.add("notice", id=line["id"], status=line["status"])
            self.notices.setdefault(line["id"], []).append(Notice(at, line["status"]))
        return http(204)

    async def _list(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        if self.down:
            writer.write(http(503))
            return True
        query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if "=" in part)
        index = int(query.get("index", "-1"))
        if index >= self.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(60.0, int(query.get("wait", "0")) / 1000)):
                    await self._news.wait()
        if self.down:
            writer.write(http(503))
            return True
        if index < 0:
            content = self.full()
        else:
            changed = [one for name, one in self.servers.items() if self._changed_at[name] > index]
            content = {"version": self.version, "full": False, "servers": changed}
        for one in content["servers"]:
            self.told.setdefault((one["id"], one["state"]), time.monotonic())
        writer.write(http(200, json.dumps(content).encode()))
        return True


@dataclass
class Call:
    """A call whose last byte has come."""

    endpoint: str
    first_byte: float
    came: float
    ids: list[str]
    keys: list[str]
    bodies: list[bytes]
    batch: bool
    ran: bool = False
    ended: float | None = None  # when its answer was written, or its connection ended


# Decides what an endpoint does with a call: the answer to write, or None once the connection is to end.
Behaviour = Callable[["Endpoint", Call], Awaitable[bytes | None]]


async def deliver(endpoint: Endpoint, call: Call) -> bytes | None:
    """Run a call and answer 200, at a usual pace."""
    await asyncio.sleep(USUAL_S)
    call.ran = True
    if call.batch:
        return http(200, json.dumps([{"id": one, "state": "ok"} for one in call.ids]).encode())
    return http(200)


async def hang(endpoint: Endpoint, call: Call) -> bytes | None:
    """Take a call and say nothing for as long as the caller waits."""
    await asyncio.sleep(3600)
    return None


class Endpoint(Server):
    """An endpoint of a partner system."""

    def __init__(self, record: Record, name: str, behaviour: Behaviour = deliver) -> None:
        super().__init__(record)
        self.name, self.behaviour = name, behaviour
        self.calls: list[Call] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = 0.0

        def on_first() -> None:
            nonlocal first
            first = time.monotonic()

        while (request := await read_http(reader, on_first)) is not None:
            (_, target, _), headers, body = request
            if target == "/hook":
                ids, keys, bodies = [headers["x-trace-id"]], [headers.get("idempotency-key", "")], [body]
            elif target == "/hook/batch":
                items = json.loads(body)
                ids, keys = [one["id"] for one in items], [one.get("key", "") for one in items]
                bodies = [base64.b64decode(one["body"]) for one in items]
            else:
                writer.write(http(404))
                continue
            call = Call(self.name, first, time.monotonic(), ids, keys, bodies, target == "/hook/batch")
            self.calls.append(call)
            self.record.add("call", endpoint=self.name, ids=",".join(ids))
            answer = await self._answer(call, reader)
            call.ended = time.monotonic()
            if answer is None:
                self.record.add("call-ended", endpoint=self.name, ids=",".join(ids), ran=call.ran)
                return
            writer.write(answer)
            self.record.add("answer", endpoint=self.name, ids=",".join(ids), says=answer[9:12].decode())
            await writer.drain()

    async def _answer(self, call: Call, reader: asyncio.StreamReader) -> bytes | None:
        """The answer; None if the caller gives the call up first."""
        deciding = asyncio.create_task(self.behaviour(self, call))
        leaving = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait((deciding, leaving), return_when=asyncio.FIRST_COMPLETED)
            return deciding.result() if deciding.done() else None
        finally:
            for task in (leaving, deciding):
                task.cancel()
            await asyncio.gather(leaving, deciding, return_exceptions=True)


@dataclass
class Message:
    """A message that was handed in, and what the client heard."""

    id: str
    class_name: str
    key: str
    dest: int
    body: bytes
    sent: float
    expires: float
    answer: str = ""  # "" while there is none, "closed" if the connection ended, else what was answered

    @property
    def accepted(self) -> bool:
        """Whether the client has heard that it was taken on."""
        return self.answer[:1] in ("+", "$")


class Client:
    """A client over RESP2, with one connection."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record, self.address = record, address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def _connect(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(*self.address)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._reader = self._writer = None

    async def command(self, *args: bytes, limit: float = 0.4) -> str:
        """Send a command and return the answer's line; "closed" or "silent" if there is none."""
        for fresh in (False, True):
            if self._writer is None or fresh:
                self.close()
                try:
                    await self._connect()
                except OSError:
                    return "refused"
            assert self._reader is not None and self._writer is not None
            data = b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args)
            try:
                self._writer.write(data)
                async with asyncio.timeout(limit):
                    line = await self._reader.readline()
            except TimeoutError:
                self.close()
                return "silent"
            except OSError:
                line = b""
            if line:
                return line.decode().strip()
            self.close()  # closed between requests: once more on a new connection
        return "closed"

    async def hand_in(
        self,
        class_name: str,
        dest: int,
        time_left_s: float,
        key: str = "",
        body: bytes = b"stop",
        msg_id: str = "",
    ) -> Message:
        """Hand in a message."""
        msg_id = msg_id or secrets.token_hex(8)
        pairs = f"c={class_name},d={int(time_left_s * 1000)},dest={dest}" + (f",k={key}" if key else "")
        sent = self.record.add("handed-in", id=msg_id, c=class_name, dest=dest, d=time_left_s, k=key or "-")
        message = Message(msg_id, class_name, key, dest, body, sent, sent + time_left_s)
        message.answer = await self.command(b"ENQUEUE", b"0" * 16, msg_id.encode(), pairs.encode(), body)
        self.record.add("answered", id=msg_id, says=message.answer)
        return message


def _short(text: str) -> bytes:
    return bytes([len(text)]) + text.encode()


def _long(data: bytes) -> bytes:
    return struct.pack(">I", len(data)) + data


class Publisher:
    """A publisher over AMQP 0-9-1, with one connection and one channel that is in confirm mode."""

    def __init__(
        self, record: Record, address: tuple[str, int], user: str = "dispatch", password: str = "x"
    ) -> None:
        self.record, self.address, self._login = record, address, f"\0{user}\0{password}".encode()
        self.lost = asyncio.Event()  # the connection has ended
        self.lost.set()
        self.outcomes: dict[str, str] = {}  # by message id: "ack" or "nack"
        self.texts: dict[str, str] = {}  # by message id: the text of its `basic.return`
        self._unconfirmed: dict[int, str] = {}
        self._tag = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    def _send(self, kind: int, channel: int, payload: bytes) -> None:
        assert self._writer is not None
        self._writer.write(struct.pack(">BHI", kind, channel, len(payload)) + payload + b"\xce")

    async def _frame(self) -> tuple[int, bytes]:
        assert self._reader is not None
        kind, _, size = struct.unpack(">BHI", await self._reader.readexactly(7))
        payload = await self._reader.readexactly(size + 1)
        return kind, payload[:-1]

    async def _expect(self, class_id: int, method_id: int) -> bytes:
        while True:
            kind, payload = await self._frame()
            if kind == 1 and struct.unpack(">HH", payload[:4]) == (class_id, method_id):
                return payload[4:]
            if kind == 1:
                raise ConnectionResetError(f"method {struct.unpack('>HH', payload[:4])}")

    async def connect(self) -> bool:
        """Connect, open a channel and select confirms; returns whether that worked."""
        try:
            async with asyncio.timeout(2):
                await self._open()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return False
        self.lost.clear()
        self._tag, self._unconfirmed = 0, {}
        self._reading = asyncio.create_task(self._read())
        self.record.add("publisher-connected")
        return True

    async def _open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(*self.address)
        self._writer.write(b"AMQP\x00\x00\x09\x01")
        await self._expect(10, 10)
        login = _long(b"") + _short("PLAIN") + _long(self._login) + _short("en_US")
        self._send(1, 0, struct.pack(">HH", 10, 11) + login)
        tune = await self._expect(10, 30)
        self._send(1, 0, struct.pack(">HH", 10, 31) + tune)
        self._send(1, 0, struct.pack(">HH", 10, 40) + _short("/") + _short("") + b"\0")
        await self._expect(10, 41)
        self._send(1, 1, struct.pack(">HH", 20, 10) + _short(""))
        await self._expect(20, 11)
        self._send(1, 1, struct.pack(">HH", 85, 10) + b"\0")
        await self._expect(85, 11)

    async def connected(self, limit: float) -> None:
        """Connect, as often as it takes."""
        async with asyncio.timeout(limit):
            while not await self.connect():
                await asyncio.sleep(0.02)

    def publish(self, msg_id: str, class_name: str, dest: int, body: bytes) -> None:
        """Publish a message with this id."""
        self._tag += 1
        self._unconfirmed[self._tag] = msg_id
        self.record.add("published", id=msg_id, c=class_name, dest=dest)
        method = struct.pack(">HHH", 60, 40, 0) + _short("") + _short(str(dest)) + b"\0"
        self._send(1, 1, method)
        flags = 1 << 7 | 1 << 5  # message-id and type
        header = struct.pack(">HHQH", 60, 0, len(body), flags) + _short(msg_id) + _short(class_name)
        self._send(2, 1, header)
        if body:
            self._send(3, 1, body)

    async def _read(self) -> None:
        returned = ""
        try:
            while True:
                kind, payload = await self._frame()
                if (
                    kind == 2 and returned
                ):  # the header of a returned message: its id is what it was sent with
                    self._returned(payload, returned)
                    returned = ""
                if kind != 1:
                    continue
                ids = struct.unpack(">HH", payload[:4])
                if ids in ((60, 80), (60, 120)):
                    self._confirmed(ids == (60, 80), *struct.unpack(">QB", payload[4:13]))
                elif ids == (60, 50):
                    returned = payload[7 : 7 + payload[6]].decode()
                elif ids == (10, 50):
                    self.record.add("connection-closed-by-sender")
                    self._send(1, 0, struct.pack(">HH", 10, 51))
                    return
        except (OSError, asyncio.IncompleteReadError):
            self.record.add("connection-lost")
        finally:
            self.close()

    def _returned(self, header: bytes, text: str) -> None:
        size = header[14]
        self.texts[header[15 : 15 + size].decode()] = text

    def _confirmed(self, acked: bool, tag: int, multiple: int) -> None:
        for one in [t for t in self._unconfirmed if t == tag or (multiple & 1 and t <= tag)]:
            msg_id = self._unconfirmed.pop(one)
            self.outcomes[msg_id] = "ack" if acked else "nack"
            self.record.add(
                "outcome", id=msg_id, says=self.outcomes[msg_id], text=self.texts.get(msg_id, "-")
            )

    def close(self) -> None:
        """End the connection, as a program that has died would."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
        if self._reading is not None and self._reading is not asyncio.current_task():
            self._reading.cancel()
        self._reading = None
        self.lost.set()


def message_class(name: str, semantics: str, deadline: float, **extra: Any) -> dict[str, Any]:
    """A class in the settings."""
    return {
        "aim": min(2.0, deadline),
        "deadline": deadline,
        "group": "all",
        "lateWorth": 0.3,
        "name": name,
        "repeatWindow": deadline + 1,
        "semantics": semantics,
        "stream": False,
        "worth": 1.0,
        **extra,
    }


def settings(classes: Iterable[dict[str, Any]], **extra: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form of the WIRE page."""
    found: dict[str, Any] = {
        "balancers": 2,
        "ceilings": {
            "attemptsCap": 8,
            "cancel": True,
            "connIdle": 5.0,
            "connectTimeout": 1.5,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 600000,
            "maxOpen": 199,
            "maxRetryAfter": 2.0,
            "mayDuplicate": False,
            "peers": False,
            "probes": False,
            "retryAfter": False,
            "streamsPerConn": 1,
        },
        "clients": {"marksRetry": False},
        "deductions": {"connection": 0.0, "waste": 0.023},
        "discovery": "subscribe",
        "extra": {
            "feeByZone": [0.0],
            "kindBatch": [5, 1],
            "losesWorth": "even",
            "routesApart": [False, False],
            "turnedAwayPrice": 0.05,
            "workers": 11,
        },
        "goal": {"whole": 0.45, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.25},
        "grades": list(classes),
        "localities": ["a"],
        "obligations": {
            "answerSlack": 0.02,
            "askWithin": 10.0,
            "cold": 14.0,
            "drainGrace": 0.25,
            "fall": 1.5,
            "fallMultiple": 2.0,
            "startCapacity": 0.17,
        },
        "ordinal": 0,
        "overShareWorth": 0.1,
        "report": {"fields": [], "via": "off"},
        "serviceType": "deliver",
        "shapes": ["member-dispatch", "client-shop"],
        "tenants": [],
        "tick": 0.005,
        "tier": 0,
        "tiers": ["partner-systems"],
        "weights": "nominal",
        "worthBy": "request",
        "zone": 0,
    }
    return found | extra


def free_port() -> int:
    """A port that nobody uses now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Sender:
    """One real sender: its folder that lasts, its configuration, and its processes."""

    def __init__(
        self, record: Record, folder: Path, platform: Platform, config: dict[str, Any], name: str = "n1"
    ) -> None:
        self.record, self.platform, self.settings, self.name = record, platform, config, name
        self.folder = folder / name
        (self.folder / "state").mkdir(parents=True)
        (self.folder / "tmp").mkdir()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.listening: socket.socket | None = None  # kept by the platform, where processes are replaced
        self.port = free_port()
        self.discovery = platform.address
        self.processes: list[subprocess.Popen[bytes]] = []

    @property
    def client_address(self) -> tuple[str, int]:
        """Where clients connect."""
        return "127.0.0.1", self.port

    def keep_listening(self) -> None:
        """From now on the platform keeps the clients' listening socket."""
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listening.getsockname()[1]
        os.dup2(self.listening.fileno(), LISTEN_FD, inheritable=True)

    def write_config(self, console: int = 0) -> Path:
        """Write the configuration for the next start, or for SIGHUP."""
        content: dict[str, Any] = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery,
            "seed": secrets.token_hex(8),
            "limits": self.limits,
            "known": self.platform.full(),
            "settings": self.settings,
        }
        if console:
            content["console"] = f"127.0.0.1:{console}"
        path = self.folder / "config.json"
        spare = path.with_suffix(".new")
        spare.write_text(json.dumps(content))
        spare.replace(path)
        return path

    def start(self, console: int = 0) -> subprocess.Popen[bytes]:
        """Start a process with `run` of the deploy file."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder / "tmp"),
            "GW_NAME": self.name,
            "GW_LISTEN": f"127.0.0.1:{self.port}",
            "GW_DISCOVERY": self.discovery,
            "GW_STATE": str(self.folder / "state"),
            "GW_CONFIG": str(self.write_config(console)),
        }
        if console:
            env["GW_CONSOLE"] = f"127.0.0.1:{console}"
        if self.listening is not None:
            env["GW_LISTEN_FD"] = str(LISTEN_FD)
        log = (self.folder / f"log-{len(self.processes)}.txt").open("wb")
        keep = (LISTEN_FD,) if self.listening is not None else ()
        process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            pass_fds=keep,
        )
        log.close()
        self.processes.append(process)
        self.record.add("started", sender=self.name, process=len(self.processes))
        return process

    async def ready(self, process: subprocess.Popen[bytes], limit: float = 10.0) -> float:
        """Wait for `+PONG`, or for the console's yes by the caller; returns when it came."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if process.poll() is not None:
                raise CouldNotRunError(f"the sender exited with {process.returncode}:\n{self.logs()[-2000:]}")
            client = Client(self.record, self.client_address)
            answer = await client.command(b"PING")
            client.close()
            if answer == "+PONG":
                return self.record.add("ready", sender=self.name)
            await asyncio.sleep(0.03)
        raise CouldNotRunError(f"the sender was not ready:\n{self.logs()[-2000:]}")

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> float:
        """Send a signal to a process; returns when."""
        process.send_signal(number)
        return self.record.add("signal", sender=self.name, what=number.name)

    async def gone(self, process: subprocess.Popen[bytes], limit: float) -> float:
        """Wait until a process has ended; returns when."""
        until = time.monotonic() + limit
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.005)
        return self.record.add("gone", sender=self.name, exit=process.poll())

    def logs(self) -> str:
        """All that the processes logged."""
        return "\n".join(one.read_text(errors="replace") for one in sorted(self.folder.glob("log-*.txt")))

    def end(self) -> None:
        """End all processes."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if self.listening is not None:
            self.listening.close()
            os.dup2(_RESERVED[0], LISTEN_FD)


async def ask_console(port: int, method: str, path: str, body: bytes = b"") -> int:
    """The status of an operator's call; 0 if there is no answer."""
    try:
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            line = await reader.readline()
            writer.close()
            return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError):
        return 0


def end_group(process: subprocess.Popen[bytes]) -> None:
    """End a process that leads a group of its own, and all that it started."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
    process.wait()


@dataclass
class Case:
    """What a case needs: its record, a temporary folder, and the switch for its disruption."""

    record: Record
    folder: Path
    trouble: bool
    senders: list[Sender] = field(default_factory=list)

    def sender(self, platform: Platform, config: dict[str, Any], name: str = "n1") -> Sender:
        """A sender whose processes end with the case."""
        sender = Sender(self.record, self.folder, platform, config, name)
        self.senders.append(sender)
        return sender

    def verdict(self, faults: list[str]) -> int:
        """The exit code for these faults."""
        for fault in faults:
            self.record.add("BROKEN", what=fault)
            print(f"broken: {fault}")
        if not faults:
            self.record.add("HELD")
            print("held")
        return BROKEN if faults else HELD


def main(play: Callable[[Case], Awaitable[int]], folder: str, limit: float = 110.0) -> None:
    """Play a case whose script lies in `folder`, and exit with its verdict."""
    record = Record(Path(folder) / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    case = Case(record, temporary, os.environ.get("TROUBLE", "1") != "0")

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit):
            return await play(case)

    code = COULD_NOT_RUN
    try:
        code = asyncio.run(bounded())
    except asyncio.CancelledError:
        record.add("COULD-NOT-RUN", why="told to end")
    except Exception as error:  # whatever it is, it says nothing about the rule
        traceback.print_exc()
        record.add("COULD-NOT-RUN", why=repr(str(error)[:1500] or type(error).__name__))
        print(f"could not run: {error or type(error).__name__}")
    finally:
        for sender in case.senders:
            sender.end()
        record.write()
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)


AGENT_FILE = """
[agent]
listen = "127.0.0.1:{status}"

[[instance]]
file = "sender.toml"
"""


def start_agent(case: Case, agents: list[subprocess.Popen[bytes]]) -> subprocess.Popen[bytes]:
    """Start the agent of `agent.toml` with the deploy file's program."""
    with (case.folder / f"agent-{len(agents)}.txt").open("wb") as log:
        agents.append(
            subprocess.Popen(
                [
                    "/bin/sh",
                    "-c",
                    'exec .venv/bin/python -m mountgauge agent "$0"',
                    case.folder / "agent.toml",
                ],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                process_group=0,  # its instances are ended with it at the end of the case
            )
        )
    case.record.add("agent-started", number=len(agents))
    return agents[-1]


async def exited(process: subprocess.Popen[bytes], limit: float) -> None:
    """Wait for a process's end."""
    async with asyncio.timeout(limit):
        while process.poll() is None:
            await asyncio.sleep(0.02)


def main_with_agents(
    play: Callable[[Case, list[subprocess.Popen[bytes]]], Awaitable[int]], folder: str
) -> None:
    """Like `main`, for a case that starts agents: ends them and their instances."""

    async def play_and_end(case: Case) -> int:
        agents: list[subprocess.Popen[bytes]] = []
        try:
            return await play(case, agents)
        finally:
            for agent in agents:
                end_group(agent)

    main(play_and_end, folder)
