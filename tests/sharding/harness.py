"""What the sharding tests stand relays and senders on: a discovery, real processes, their files."""

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
from mountgauge.status import ask
from tests.helper import HOST, HttpServer

_ROOT = Path(mountgauge.__file__).parent.parent
LIMIT_S = 60.0  # that anything here may take, however slow the machine


def line(name: str, destination: int, port: int = 9, state: str = "active") -> dict[str, Any]:
    """An endpoint as discovery lists it."""
    return {
        "id": name, "addr": f"{HOST}:{port}", "zone": "a", "kind": "http", "cell": destination,
        "state": state, "weight": 1.0, "started_ms": 0,
    }  # fmt: skip


class Discovery(HttpServer):
    """Holds one list; answers whole lists and watches, and counts both."""

    def __init__(self) -> None:
        super().__init__(self._reply)
        self.version = 1
        self.lines: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # by id: the version of its last change
        self.calls: Counter[str] = Counter()  # whole, watch
        self._news = asyncio.Condition()

    async def change(self, *lines: Mapping[str, Any]) -> int:
        """List these, or with state `left` no more; returns the new version."""
        self.version += 1
        for one in lines:
            self.lines[one["id"]] = dict(one)
            self.changed[one["id"]] = self.version
        async with self._news:
            self._news.notify_all()
        return self.version

    async def _reply(self, message: Message) -> bytes | None:
        assert message.start is not None
        _, _, query = message.start[1].partition("?")
        if not query:
            self.calls["whole"] += 1
            listed = [one for one in self.lines.values() if one["state"] != "left"]
            return self._answer(True, listed)
        self.calls["watch"] += 1
        asked = dict(pair.split("=") for pair in query.split("&"))
        index, wait_s = int(asked["index"]), int(asked["wait"]) / 1000
        async with self._news:
            try:
                async with asyncio.timeout(wait_s):
                    await self._news.wait_for(lambda: self.version > index)
            except TimeoutError:
                pass
        return self._answer(False, [one for one in self.lines.values() if self.changed[one["id"]] > index])

    def _answer(self, full: bool, lines: Sequence[Mapping[str, Any]]) -> bytes:
        body = orjson.dumps({"version": self.version, "full": full, "servers": list(lines)})
        return response(200, "OK", {"Content-Type": "application/json"}, body)


class Process:
    """A real relay or sender: its file, its place and its status page."""

    def __init__(self, command: str, file: Path, status: Address) -> None:
        self.command, self.file, self.status = command, file, status
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it, and wait until it answers."""
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
        """One of its pages; None where it doesn't answer."""
        try:
            return await ask(self.status, limit=5.0, page=name)
        except (OSError, ValueError):
            return None

    def send(self, number: int) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> None:
        """End it, and wait for that."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()

    def log(self) -> str:
        """All that it has logged."""
        path = self.file.with_suffix(".log")
        return path.read_text() if path.exists() else ""


class Cut:
    """A way between two parties over TCP that can fall silent, and say nothing of it."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.silent = False
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Address:
        """Where the target is reached by this way."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return Address(HOST, self.port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self.silent:  # it never gets anywhere
                return
            far_reader, far = await asyncio.open_connection(self.target.host, self.target.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(far)
        await asyncio.gather(self._carry(reader, far), self._carry(far_reader, writer))

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                if not self.silent:
                    writer.write(data)
        except OSError:
            pass
        if not self.silent:
            writer.transport.abort()

    def heal(self) -> None:
        """It carries again; what was open has lost bytes, and is reset."""
        self.silent = False
        self._reset()

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def stop(self) -> None:
        """No more way."""
        if self._server is not None:
            self._server.close()
        self._reset()


class Client:
    """Hands messages in over RESP2, one after another."""

    def __init__(self, address: Address) -> None:
        self.address = address

    async def hand_in(self, msg_id: str, destination: int, left_s: float = 60.0) -> bool:
        """Whether it was taken on; False where it was turned back."""
        reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        pairs = f"c=note,d={int(left_s * 1000)},k={msg_id},dest={destination}"
        args = [b"ENQUEUE", b"0", msg_id.encode(), pairs.encode(), b"hello"]
        writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args))
        answer = await reader.readline()
        writer.close()
        assert answer[:1] == b"+" or answer[:5] == b"-BUSY", answer
        return answer[:1] == b"+"


SHARDS, REPLICAS = 16, 2
WAIT_S = 0.3  # for which an ask is held
RESP_PORT, STATUS_PORT, RELAY_PORT = 6379, 9100, 7800  # each process has a loopback address of its own


class Fleet:
    """A discovery, a relay in each of two zones, and senders: all real processes, all ways through `Cut`s.

    Zone a has the senders s0, s2, ..., zone b s1, s3, ... Each shard is placed on one of each zone.
    """

    def __init__(self, folder: Path, senders: int = 4) -> None:
        self.folder, self.names = folder, [f"s{number}" for number in range(senders)]
        self.discovery = Discovery()
        self.ways: dict[tuple[str, str], Cut] = {}  # from whom, to whom
        self.relays: dict[str, Process] = {}
        self.senders: dict[str, Process] = {}
        self._net = f"127.{200 + os.getpid() % 50}.{os.getpid() // 50 % 250}"

    def _host(self, place: int) -> str:
        return f"{self._net}.{place}"

    @staticmethod
    def zone(name: str) -> str:
        """Of a sender or a relay."""
        return name[-1] if name.startswith("relay") else "ab"[int(name[1:]) % 2]

    async def __aenter__(self) -> Fleet:
        await self.discovery.start()
        self.write_members({name: {} for name in self.names})
        for place, name in enumerate(("relay-a", "relay-b"), 1):
            await self._add_relay(name, self._host(place))
        for place, name in enumerate(self.names, 10):
            await self._add_sender(name, self._host(place))
        processes = (*self.relays.values(), *self.senders.values())
        await asyncio.gather(*(one.start() for one in processes))
        return self

    async def __aexit__(self, *error: object) -> None:
        for one in (*self.senders.values(), *self.relays.values()):
            await one.end()
        for way in self.ways.values():
            await way.stop()
        await self.discovery.stop()

    def write_members(self, members: Mapping[str, Mapping[str, int]], epoch: int = 1) -> None:
        """The members' file, with what each line says beside name and zone."""
        lines = [f"epoch = {epoch}"]
        for name, more in members.items():
            lines += ["[[members]]", f'name = "{name}"', f'zone = "{self.zone(name)}"']
            lines += [f"{key} = {value}" for key, value in more.items()]
        (self.folder / "members.toml").write_text("\n".join(lines) + "\n")

    async def _way(self, source: str, target: str, address: Address) -> str:
        way = self.ways[source, target] = Cut(address)
        found = await way.start()
        return f"{found.host}:{found.port}"

    async def _add_relay(self, name: str, host: str) -> None:
        discovery = await self._way(name, "discovery", Address(HOST, self.discovery.port))
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
        for place, relay in enumerate(("relay-a", "relay-b"), 1):
            at = await self._way(name, relay, Address(self._host(place), RELAY_PORT))
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
        """Of one sender."""
        return Client(Address(self.senders[name].status.host, RESP_PORT))

    async def rows(self, name: str) -> dict[int, dict[str, Any]]:
        """The shards of one sender, by number; none where it doesn't answer."""
        page = await self.senders[name].page("/shards")
        return {row["shard"]: row for row in page["shards"]} if page is not None else {}

    async def holders(self, shard: int) -> list[str]:
        """The senders that a shard is placed on."""
        return [name for name in self.names if (await self.rows(name)).get(shard, {}).get("placed")]

    async def in_force(self, version: int, names: Sequence[str]) -> bool:
        """Whether each shard of these senders is held as of this version or a later one."""
        for name in names:
            rows = await self.rows(name)
            if not rows or any(row["version"] < version for row in rows.values()):
                return False
        return True


class Load:
    """Asks at the relays and calls at discovery from now on, against what is steady while nothing happens.

    Each asker comes once in each wait, so that a slow machine makes them fewer and never more.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._asks: dict[str, int] = {}
        self._began = asyncio.get_running_loop().time()

    async def begin(self) -> Load:
        """Count from here."""
        self._asks = {name: await self._count(name) for name in self._fleet.relays}
        self._calls = self._fleet.discovery.calls.total()
        self._began = asyncio.get_running_loop().time()
        return self

    async def _count(self, relay: str) -> int:
        page = await self._fleet.relays[relay].page()
        return int(page["asks"].get("asks", 0)) if page is not None else 0

    async def twice_steady(self) -> dict[str, tuple[int, float]]:
        """Those that got more than twice their steady load: how much, and the bound."""
        waits = (asyncio.get_running_loop().time() - self._began) / WAIT_S + 3
        zone = self._fleet.zone
        found = {}
        for name in self._fleet.relays:
            askers = sum(zone(one) == zone(name) for one in self._fleet.names)
            found[name] = (await self._count(name) - self._asks[name], 2 * askers * waits)
        calls = self._fleet.discovery.calls.total() - self._calls
        found["discovery"] = (calls, 2 * len(self._fleet.relays) * waits)
        return {name: (count, bound) for name, (count, bound) in found.items() if count > bound}


async def eventually(true: Callable[[], Awaitable[Any]], limit_s: float = LIMIT_S) -> None:
    """Wait until it is so."""
    async with asyncio.timeout(limit_s):
        while not await true():
            await asyncio.sleep(0.05)
