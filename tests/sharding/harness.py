"""Harness of the sharding tests: a stand-in for discovery, and relays and senders as real processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import orjson

import mountgauge
from mountgauge.core.config import Address
from mountgauge.http1 import Message, response
from mountgauge.status import fetch_status
from tests.helper import HOST, HttpServer

_ROOT = Path(mountgauge.__file__).parent.parent
LIMIT_S = 60.0  # for any single wait, also on a slow machine


def endpoint_line(name: str, destination: int, port: int = 9, state: str = "active") -> dict[str, Any]:
    """Return an endpoint in the form of discovery's list."""
    return {
        "id": name, "addr": f"{HOST}:{port}", "zone": "a", "kind": "http", "cell": destination,
        "state": state, "weight": 1.0, "started_ms": 0,
    }  # fmt: skip


class Discovery(HttpServer):
    """Stand-in for discovery: serves one list by full requests and watches, and counts both."""

    def __init__(self) -> None:
        super().__init__(self._reply)
        self.version = 1
        self.lines: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # by id: the version of its last change
        self.calls: Counter[str] = Counter()  # whole, watch
        self._news = asyncio.Condition()

    async def change(self, *lines: Mapping[str, Any]) -> int:
        """Add or replace these endpoints, or remove those with state `left`; return the new version."""
        self.version += 1
        for line in lines:
            self.lines[line["id"]] = dict(line)
            self.changed[line["id"]] = self.version
        async with self._news:
            self._news.notify_all()
        return self.version

    async def _reply(self, message: Message) -> bytes | None:
        assert message.start is not None
        _, _, query = message.start[1].partition("?")
        if not query:
            self.calls["whole"] += 1
            listed = [line for line in self.lines.values() if line["state"] != "left"]
            return self._answer(True, listed)
        self.calls["watch"] += 1
        parameters = dict(pair.split("=") for pair in query.split("&"))
        index, wait_s = int(parameters["index"]), int(parameters["wait"]) / 1000
        async with self._news:
            try:
                async with asyncio.timeout(wait_s):
                    await self._news.wait_for(lambda: self.version > index)
            except TimeoutError:
                pass
        return self._answer(False, [line for line in self.lines.values() if self.changed[line["id"]] > index])

    def _answer(self, full: bool, lines: Sequence[Mapping[str, Any]]) -> bytes:
        body = orjson.dumps({"version": self.version, "full": full, "servers": list(lines)})
        return response(200, "OK", {"Content-Type": "application/json"}, body)


class Process:
    """A relay or sender as a real process, with its file and its status page."""

    def __init__(self, command: str, file: Path, status: Address) -> None:
        self.command, self.file, self.status = command, file, status
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until its status page answers."""
        env = {**os.environ, "PYTHONPATH": str(_ROOT)}
        with self.file.with_suffix(".log").open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "mountgauge", self.command, str(self.file),
                env=env, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
            )  # fmt: skip
        async with asyncio.timeout(LIMIT_S):
            while await self.page() is None:
                if self.process.returncode is not None:
                    raise RuntimeError(self.log()[-2000:])
                await asyncio.sleep(0.05)

    async def page(self, name: str = "/status") -> dict[str, Any] | None:
        """Return one of its status pages; None if it doesn't answer."""
        try:
            return await fetch_status(self.status, limit=5.0, page=name)
        except (OSError, ValueError):
            return None

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> None:
        """Stop the process with a signal, and wait until it has exited."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()

    def log(self) -> str:
        """Return everything that the process has logged."""
        path = self.file.with_suffix(".log")
        return path.read_text() if path.exists() else ""


class CuttableLink:
    """A TCP proxy that can silently drop all bytes, as a network that is cut off does."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.silent = False
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Address:
        """Start listening; return the address at which the link forwards to its target."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return Address(HOST, self.port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self.silent:  # the connection is accepted but never forwarded
                return
            target_reader, target_writer = await asyncio.open_connection(self.target.host, self.target.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(target_writer)
        await asyncio.gather(self._forward(reader, target_writer), self._forward(target_reader, writer))

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                if not self.silent:
                    writer.write(data)
        except OSError:
            pass
        if not self.silent:
            writer.transport.abort()

    def heal(self) -> None:
        """Forward bytes again, and reset the open connections, which have lost bytes."""
        self.silent = False
        self._reset()

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def stop(self) -> None:
        """Stop listening, and reset the open connections."""
        if self._server is not None:
            self._server.close()
        self._reset()


class Client:
    """Submits messages over RESP2, one after another."""

    def __init__(self, address: Address) -> None:
        self.address = address

    async def submit(self, msg_id: str, destination: int, deadline_s: float = 60.0) -> bool:
        """Submit a message; return True if it was accepted, False if it was rejected."""
        reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        pairs = f"c=note,d={int(deadline_s * 1000)},k={msg_id},dest={destination}"
        args = [b"ENQUEUE", b"0", msg_id.encode(), pairs.encode(), b"hello"]
        writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args))
        answer = await reader.readline()
        writer.close()
        assert answer[:1] == b"+" or answer[:5] == b"-BUSY", answer
        return answer[:1] == b"+"


SHARDS, REPLICAS = 16, 2
WAIT_S = 0.3  # how long an ask is held
RESP_PORT, STATUS_PORT, RELAY_PORT = 6379, 9100, 7800  # on a loopback address per process


class Fleet:
    """Discovery, a relay in each of two zones, and senders; all connections pass through `CuttableLink`s.

    Relays and senders are real processes. Zone a has the senders s0, s2, ..., zone b has s1, s3, ... Each
    shard is placed on one sender of each zone.
    """

    def __init__(self, folder: Path, senders: int = 4) -> None:
        self.folder, self.names = folder, [f"s{number}" for number in range(senders)]
        self.discovery = Discovery()
        self.links: dict[tuple[str, str], CuttableLink] = {}  # by source and target
        self.relays: dict[str, Process] = {}
        self.senders: dict[str, Process] = {}
        self._net = f"127.{200 + os.getpid() % 50}.{os.getpid() // 50 % 250}"

    def _host(self, number: int) -> str:
        return f"{self._net}.{number}"

    @staticmethod
    def zone(name: str) -> str:
        """Return the zone of a sender or a relay."""
        return name[-1] if name.startswith("relay") else "ab"[int(name[1:]) % 2]

    async def __aenter__(self) -> Fleet:
        await self.discovery.start()
        self.write_members({name: {} for name in self.names})
        for number, name in enumerate(("relay-a", "relay-b"), 1):
            await self._add_relay(name, self._host(number))
        for number, name in enumerate(self.names, 10):
            await self._add_sender(name, self._host(number))
        processes = (*self.relays.values(), *self.senders.values())
        await asyncio.gather(*(process.start() for process in processes))
        return self

    async def __aexit__(self, *error: object) -> None:
        for process in (*self.senders.values(), *self.relays.values()):
            await process.end()
        for link in self.links.values():
            await link.stop()
        await self.discovery.stop()

    def write_members(self, members: Mapping[str, Mapping[str, int]], epoch: int = 1) -> None:
        """Write the members' file; `members` has the keys of each member beside name and zone."""
        lines = [f"epoch = {epoch}"]
        for name, extra_keys in members.items():
            lines += ["[[members]]", f'name = "{name}"', f'zone = "{self.zone(name)}"']
            lines += [f"{key} = {value}" for key, value in extra_keys.items()]
        (self.folder / "members.toml").write_text("\n".join(lines) + "\n")

    async def _link(self, source: str, target: str, address: Address) -> str:
        link = self.links[source, target] = CuttableLink(address)
        listen = await link.start()
        return f"{listen.host}:{listen.port}"

    async def _add_relay(self, name: str, host: str) -> None:
        discovery = await self._link(name, "discovery", Address(HOST, self.discovery.port))
        file = self.folder / f"{name}.toml"
        file.write_text(f"""
            name = "{name}"
            zone = "{self.zone(name)}"
            listen = "{host}:{RELAY_PORT}"
            members = "members.toml"
            wait_s = {WAIT_S}
            shards = {{ count = {SHARDS}, replicas = {REPLICAS} }}
            upstream = {{ discovery = "{discovery}" }}
            placement = {{ step_s = 0.1 }}
            status = {{ listen = "{host}:{STATUS_PORT}" }}
        """)
        self.relays[name] = Process("relay", file, Address(host, STATUS_PORT))

    async def _add_sender(self, name: str, host: str) -> None:
        relays = []
        for number, relay in enumerate(("relay-a", "relay-b"), 1):
            at = await self._link(name, relay, Address(self._host(number), RELAY_PORT))
            relays.append(f'{{ name = "{relay}", zone = "{self.zone(relay)}", at = "{at}" }}')
        file = self.folder / f"{name}.toml"
        file.write_text(f"""
            name = "{name}"
            state = "state-{name}"
            resp = {{ listen = "{host}:{RESP_PORT}" }}
            status = {{ listen = "{host}:{STATUS_PORT}" }}
            class = [{{ name = "note", semantics = "idempotent", deadline = 60 }}]
            sharding.zone = "{self.zone(name)}"
            sharding.shards = {SHARDS}
            sharding.replicas = {REPLICAS}
            sharding.wait_s = {WAIT_S}
            sharding.home_after_s = 1.0
            sharding.members = "members.toml"
            sharding.relay = [{", ".join(relays)}]
        """)
        self.senders[name] = Process("run", file, Address(host, STATUS_PORT))

    def client(self, name: str) -> Client:
        """Return a client of one sender."""
        return Client(Address(self.senders[name].status.host, RESP_PORT))

    async def rows(self, name: str) -> dict[int, dict[str, Any]]:
        """Return the rows of one sender's page `/shards` by shard; empty if it doesn't answer."""
        page = await self.senders[name].page("/shards")
        return {row["shard"]: row for row in page["shards"]} if page is not None else {}

    async def holders(self, shard: int) -> list[str]:
        """Return the senders that a shard is placed on."""
        return [name for name in self.names if (await self.rows(name)).get(shard, {}).get("placed")]

    async def applied(self, version: int, names: Sequence[str]) -> bool:
        """Whether these senders hold each of their shards at this version or a later one."""
        for name in names:
            rows = await self.rows(name)
            if not rows or any(row["version"] < version for row in rows.values()):
                return False
        return True


class LoadCheck:
    """Compares the asks at the relays and the calls at discovery with their steady load without any change.

    In steady state each asker asks once per wait; a slow machine makes that less, never more.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._asks: dict[str, int] = {}
        self._began = asyncio.get_running_loop().time()

    async def begin(self) -> LoadCheck:
        """Start counting, and return this check."""
        self._asks = {name: await self._count(name) for name in self._fleet.relays}
        self._calls = self._fleet.discovery.calls.total()
        self._began = asyncio.get_running_loop().time()
        return self

    async def _count(self, relay: str) -> int:
        page = await self._fleet.relays[relay].page()
        return int(page["asks"].get("asks", 0)) if page is not None else 0

    async def above_twice_steady(self) -> dict[str, tuple[int, float]]:
        """Return count and bound of each relay, and of discovery, above twice its steady load."""
        waits = (asyncio.get_running_loop().time() - self._began) / WAIT_S + 3
        zone = self._fleet.zone
        loads = {}
        for name in self._fleet.relays:
            askers = sum(zone(sender) == zone(name) for sender in self._fleet.names)
            loads[name] = (await self._count(name) - self._asks[name], 2 * askers * waits)
        calls = self._fleet.discovery.calls.total() - self._calls
        loads["discovery"] = (calls, 2 * len(self._fleet.relays) * waits)
        return {name: (count, bound) for name, (count, bound) in loads.items() if count > bound}


async def eventually(condition: Callable[[], Awaitable[Any]], limit_s: float = LIMIT_S) -> None:
    """Wait until the condition is true."""
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(0.05)
