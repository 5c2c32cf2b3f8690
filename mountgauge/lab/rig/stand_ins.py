"""Stand-ins on loopback: partners' endpoints, the platform (discovery and notices), clients.

Each records its traffic as events and knows only the protocols of the program. The capacity of a partner is
a `capacity_model.CapacityModel`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import numpy as np

from mountgauge.http1 import HttpError, Message, Parser, response
from mountgauge.lab.rig.capacity_model import CapacityModel
from mountgauge.lab.rig.events import Events
from mountgauge.lab.rig.list_calls import PATH, read_wait
from mountgauge.lab.rig.proxies import HOST, Address, StreamProxy
from mountgauge.lab.rig.schedule import Load, Partner

_CLIENT_TIMEOUT_S = 0.4  # until a client abandons a submission without an answer
_RETRY_DELAY_S = 0.5  # until a client without an answer submits again
_CLIENT_PATIENCE_S = 2.0  # within which a client must be connected, and retries failed submissions
_RESET_AFTER_S = 0.05  # from a half-written answer to the reset of its connection
_FOREVER_S = 3600.0
_KEPT_VERSIONS = 64  # versions of the list that discovery can return to

MemberLookup = Callable[[Any], str]  # the member behind a connection's peer address
LinkCheck = Callable[[str, Address], bool]  # whether the link delivers data sent to a peer address
# The name of the connection that a member has from a peer address.
ConnectionLookup = Callable[[str, Address], str]


class Truncated(NamedTuple):
    """The part of an answer that is written before the connection is reset."""

    data: bytes


class _Server:
    """An HTTP server that answers the requests of a connection one after another."""

    def __init__(self, who: MemberLookup) -> None:
        self._who = who
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.began: dict[Address, float] = {}  # by peer: when its request's first byte arrived, loop time
        self.address: Address = (HOST, 0)

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, HOST, self.address[1], backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self.address

    def stop(self) -> None:
        """Close the listening socket and abort all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        peer: Address = tuple(writer.get_extra_info("peername")[:2])
        member, parser = self._who(peer), Parser(requests=True)
        try:
            while data := await reader.read(65536):
                if parser.clean:
                    self.began[peer] = asyncio.get_running_loop().time()
                for message in parser.feed(data):
                    answering = asyncio.ensure_future(self.answer(member, message, peer))
                    closed = asyncio.ensure_future(_eof(reader))
                    try:
                        await asyncio.wait({answering, closed}, return_when=asyncio.FIRST_COMPLETED)
                        if not answering.done():
                            answering.cancel()
                        answer = await answering
                    except asyncio.CancelledError:
                        answering.cancel()
                        raise
                    finally:
                        closed.cancel()
                    if answer is None or writer.transport.is_closing():
                        return
                    if isinstance(answer, Truncated):
                        writer.write(answer.data)
                        await asyncio.sleep(_RESET_AFTER_S)
                        return
                    writer.write(answer)
        except (OSError, HttpError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self.began.pop(peer, None)
            writer.transport.abort()

    async def answer(self, member: str, message: Message, peer: Address) -> bytes | Truncated | None:
        """The answer to write; None: reset the connection without an answer."""
        raise NotImplementedError


async def _eof(reader: asyncio.StreamReader) -> None:
    """Wait until the other side has closed: it sends nothing while it waits for an answer."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


class PartnerStandIn:
    """One destination, whose endpoints share its capacity."""

    def __init__(self, spec: Partner, events: Events, who: MemberLookup) -> None:
        self.spec, self.events = spec, events
        self.capacity = CapacityModel(
            spec.rate,
            spec.depth_s,
            spec.refused_cost,
            spec.cold_share,
            spec.warm_s,
            spec.falls_at,
            spec.falls_window_s,
            spec.span_s,
        )
        self.capacity.cold_at = -1e9
        self.mode = ""  # "silent", "error", "spoilt": how it handles accepted calls
        self.wait_s = 0.0  # Retry-After while it refuses all calls
        self.out: Counter[str] = Counter()  # by message: calls in flight
        self.endpoints = [_Endpoint(self, number, who) for number in range(spec.endpoints)]
        self._next = spec.endpoints
        self.who = who

    def new_endpoint(self) -> _Endpoint:
        """Add an endpoint, which is not started yet."""
        self._next += 1
        endpoint = _Endpoint(self, self._next - 1, self.who)
        self.endpoints.append(endpoint)
        return endpoint

    def log_capacity(self) -> None:
        """Record the current capacity as an event."""
        now = self.events.now
        self.events.add(
            "bears",
            dest=self.spec.dest,
            rate=round(self.capacity.capacity_at(now), 3),
            fell=self.capacity.fall_count,
        )


class _Endpoint(_Server):
    numbers = itertools.count(1)  # of calls, over all endpoints

    def __init__(self, partner: PartnerStandIn, number: int, who: MemberLookup) -> None:
        super().__init__(who)
        self.partner, self.id = partner, f"e{partner.spec.dest}-{number}"
        self.state = "active"

    async def answer(self, member: str, message: Message, peer: Address) -> bytes | Truncated | None:
        partner, events = self.partner, self.partner.events
        spec, capacity, headers = partner.spec, partner.capacity, message.headers
        if message.start is None or message.start[:2] != ("POST", "/hook"):
            return response(400, "Bad Request", {}, b"")
        number, msg_id = next(self.numbers), headers.get("x-trace-id", "")
        call = {"call": number, "member": member, "dest": spec.dest, "endpoint": self.id, "id": msg_id}
        was = capacity.fall_count
        taken = capacity.call(events.now)
        events.add(
            "call",
            key=headers.get("idempotency-key", ""),
            bears=round(capacity.capacity_at(events.now), 3),
            began=round(self.began[peer] - events.zero, 4),
            **call,
        )
        if capacity.fall_count > was:
            events.add("fell", dest=spec.dest)
        status, extra, ran = 200, dict[str, str](), taken
        try:
            if partner.mode == "silent":
                ran = True
                await asyncio.sleep(3600)
            elif not taken:
                status = 503
                shut = capacity.closed_until - events.now
                wait = shut if shut > 0 and partner.wait_s > 0 else spec.tells_wait_s
                if wait > 0:
                    status, extra = 429, {"Retry-After": f"{wait:.3f}"}
            else:
                await asyncio.sleep(spec.answer_s)
                status = 500 if partner.mode == "error" else 200
        except asyncio.CancelledError:
            events.add("broken", ran=ran, **call)
            raise
        wait_s = float(extra.get("Retry-After", 0))
        spoilt = partner.mode == "spoilt" and taken  # refusals stay well-formed
        events.add("answer", status=0 if spoilt else status, ran=ran, wait=wait_s, **call)
        if spoilt:
            return b"\x16\x03\x01 no answer at all\r\n\r\n"
        return response(status, "-", extra, b"")


@dataclass
class ListEntry:
    """An entry of discovery's list; its address differs between members."""

    id: str
    dest: int
    weight: float
    state: str = "active"


class PlatformStandIn(_Server):
    """Discovery, which handles calls one after another, and the receiver of notices.

    With `pushed` it plays the agents on the members' machines, which are silent while discovery is down and
    otherwise answer at once.
    """

    def __init__(
        self,
        events: Events,
        who: MemberLookup,
        address_of: Callable[[str, str], Address],
        carries: LinkCheck,
        connection: ConnectionLookup,
        pushed: bool = False,
    ) -> None:
        super().__init__(who)
        self.events, self._address_of, self._carries = events, address_of, carries
        self._connection, self.pushed = connection, pushed
        self.entries: dict[str, ListEntry] = {}
        self.version = 0
        self.kept: list[tuple[int, dict[str, ListEntry]]] = []
        self.last: dict[str, Mapping[str, Any]] = {}  # the last list of each member
        self.down = False
        self.cost_s = 0.0  # processing time of each call
        self.slow_s = 0.0  # added delay of each answer
        self.older = 0  # by how many versions its list is behind
        self.resets = False  # whether answers are reset half-way
        self.patience_s = 2.0  # longest time that a call waits for processing
        self.to_hang: Counter[str] = Counter()  # by member: further calls that are not answered
        self._free_at = 0.0
        self._news = asyncio.Event()

    def change(self, entries: Mapping[str, ListEntry]) -> None:
        """Publish a new version of the list."""
        self.entries = {name: one for name, one in entries.items()}
        self.version += 1
        self.kept = [*self.kept[-_KEPT_VERSIONS:], (self.version, dict(self.entries))]
        states = {name: one.state for name, one in self.entries.items()}
        self.events.add("change", version=self.version, states=states)
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def set(
        self,
        *,
        down: bool | None = None,
        cost_s: float | None = None,
        slow_s: float | None = None,
        older: int | None = None,
        resets: bool | None = None,
    ) -> None:
        """Set the faults of discovery; those that are not given stay."""
        self.down = self.down if down is None else down
        self.cost_s = self.cost_s if cost_s is None else cost_s
        self.slow_s = self.slow_s if slow_s is None else slow_s
        self.older = self.older if older is None else older
        self.resets = self.resets if resets is None else resets
        serves = not (self.cost_s or self.older or self.resets)
        self.events.add("discovery", down=self.down, serves=serves, slow_s=self.slow_s)
        if self.down and not self.pushed:  # watches end
            for writer in list(self._writers):
                writer.transport.abort()
        self._wake()

    def hang(self, members: Sequence[str], calls: int) -> None:
        """Leave the next `calls` calls of each of these members without an answer."""
        for member in members:
            self.to_hang[member] = calls

    def as_json(self, member: str) -> dict[str, Any]:
        """The list as the member receives it."""
        version, entries = self.version, self.entries
        if self.older and len(self.kept) > self.older:
            version, entries = self.kept[-1 - self.older]
        return {
            "version": version,
            "full": True,
            "servers": [self._line(member, one) for one in entries.values()],
        }

    def _line(self, member: str, one: ListEntry) -> dict[str, Any]:
        host, port = self._address_of(member, one.id)
        return {
            "id": one.id,
            "addr": f"{host}:{port}",
            "kind": "member-dispatch",
            "cell": one.dest,
            "state": one.state,
            "weight": one.weight,
            "started_ms": 0,
        }

    async def answer(self, member: str, message: Message, peer: Address) -> bytes | Truncated | None:
        assert message.start is not None
        method, path, _ = message.start
        if method == "POST" and path == "/v1/notices":
            try:
                for line in bytes(message.body).splitlines():
                    raw = json.loads(line)
                    self.events.add(
                        "notice",
                        member=member,
                        id=raw["id"],
                        status=raw["status"],
                        again_ms=raw.get("again_ms", 0),
                    )
            except (ValueError, KeyError):
                return response(400, "Bad Request", {}, b"")
            return response(204, "No Content", {}, b"")
        if method != "GET" or not path.startswith(PATH):
            return response(404, "Not Found", {}, b"")
        watch, wait_s = read_wait(path)
        self.events.add("list-call", member=member, watch=watch)
        if self.to_hang[member] > 0:
            self.to_hang[member] -= 1
            self.events.add("list-hung", member=member, connection=self._connection(member, peer))
            await asyncio.sleep(_FOREVER_S)
        return await self._list(member, path, wait_s, peer)

    async def _list(self, member: str, path: str, wait_s: float, peer: Address) -> bytes | Truncated | None:
        if self.down and not self.pushed:
            return None
        loop = asyncio.get_running_loop()
        asked = loop.time()
        self._free_at = max(asked, self._free_at) + self.cost_s
        if self._free_at - asked > self.patience_s:  # it costs as much time as an answered call
            await asyncio.sleep(self.patience_s)
            self.events.add("list-failed", member=member)
            return response(503, "Service Unavailable", {}, b"")
        await asyncio.sleep(self._free_at - asked + self.slow_s)
        index = int(parse_qs(urlsplit(path).query).get("index", ["-1"])[0])
        if not await self._news_after(index, loop.time() + wait_s):
            return None
        found = self.as_json(member)
        if index >= self.version and not self.older:
            found = {"version": index, "full": False, "servers": []}
        answer = response(200, "OK", {"Content-Type": "application/json"}, json.dumps(found).encode())
        if self.resets:
            return Truncated(answer[: len(answer) // 2])
        if self._carries(member, peer):
            self.record_list(member, found, self._connection(member, peer))
        return answer

    async def _news_after(self, index: int, ends: float) -> bool:
        """Wait for a newer version until the end of the wait; False if discovery went down."""
        loop = asyncio.get_running_loop()
        while (index >= self.version and loop.time() < ends) or (self.down and self.pushed):
            if self.down and not self.pushed:
                return False
            left = None if self.down else ends - loop.time()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), left)
        return not self.down

    def record_list(self, member: str, found: Mapping[str, Any], connection: str = "") -> None:
        """Record that a list was written to the member on this connection, or given to it at its start."""
        if found["full"]:
            self.last[member] = found
        self.events.add(
            "told",
            member=member,
            connection=connection,
            version=found["version"],
            full=found["full"],
            states={one["id"]: one["state"] for one in found["servers"]},
        )


@dataclass(eq=False)
class MemberClient:
    """The clients of a member: a pool of connections, which grows when all are busy."""

    member: str
    proxy: StreamProxy
    events: Events
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    opened: int = 0
    user: str = ""  # logs in as this tenant's user

    async def ask(self, *args: bytes) -> bytes:
        """Send a command and return its answer; OSError if there is none."""
        reader, writer = await self._connection()
        try:
            writer.write(b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args))
            answer = await reader.readline()
            if not answer:
                raise ConnectionResetError("closed without an answer")
        except BaseException:
            writer.transport.abort()
            raise
        self.idle.append((reader, writer))
        return answer

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.transport.abort()
        self.opened += 1
        reader, writer = await asyncio.open_connection(*self.proxy.address)
        if self.user:
            name = self.user.encode()
            writer.write(
                b"*3\r\n$4\r\nAUTH\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (len(name), name, len(name), name)
            )
            try:
                if not (await reader.readline()).startswith(b"+"):
                    raise ConnectionResetError("authentication was rejected")
            except BaseException:
                writer.transport.abort()
                raise
        return reader, writer

    async def reconnect(self, count: int) -> None:
        """Abort all connections and open `count` new ones at once, each of which sends PING."""
        for _, writer in self.idle:
            writer.transport.abort()
        self.idle.clear()

        async def one() -> None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(_CLIENT_PATIENCE_S):
                    await self.ask(b"PING")

        await asyncio.gather(*(one() for _ in range(count)))

    async def crowd(self, count: int, for_s: float) -> None:
        """Open `count` connections that send nothing for `for_s` seconds."""
        opened: list[asyncio.StreamWriter] = []
        try:
            for _ in range(count):
                with contextlib.suppress(OSError):
                    opened.append((await asyncio.open_connection(*self.proxy.address))[1])
            await asyncio.sleep(for_s)
        finally:
            for writer in opened:
                writer.transport.abort()

    def close(self) -> None:
        """Abort the idle connections."""
        for _, writer in self.idle:
            writer.transport.abort()


class LoadGenerator:
    """Generates one load at one member and records the results of its messages."""

    ids = itertools.count(1)

    def __init__(
        self, load: Load, client: MemberClient, deadline_s: float, seed: str, fields: bytes = b""
    ) -> None:
        self.load, self.client, self.deadline_s = load, client, deadline_s
        self.events = client.events
        self._numbers = np.random.Generator(np.random.PCG64(abs(hash_text(seed))))
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, until: float) -> None:
        """Offer messages until the time `until` of the schedule."""
        at = max(self.events.now, self.load.begin_s)
        while True:
            at += float(self._numbers.exponential(1 / self.load.each)) if self.load.each > 0 else 1e9
            if at >= min(until, self.load.until_s):
                return
            await asyncio.sleep(max(0.0, at - self.events.now))
            self.offer()

    def offer(self) -> None:
        """Offer one message, in a task of its own."""
        task = asyncio.get_running_loop().create_task(self._submit(self._rng.getrandbits(64)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _submit(self, key: int) -> None:
        load, events, member = self.load, self.events, self.client.member
        loop, key_text = asyncio.get_running_loop(), f"{key:016x}"
        offered, refused, failed = loop.time(), 0, 0
        events.add(
            "offer", member=member, key=key_text, dest=load.dest, grade=load.grade, left=self.deadline_s
        )
        while (left := self.deadline_s - (loop.time() - offered)) > 0.1:
            msg_id = f"{next(self.ids):016x}"
            pairs = f"c={load.grade},d={int(left * 1000)},k={key_text},dest={load.dest}"
            same = {"member": member, "id": msg_id, "key": key_text, "dest": load.dest, "grade": load.grade}
            events.add("handed", left=left, **same)
            try:
                async with asyncio.timeout(_CLIENT_TIMEOUT_S):
                    answer = await self.client.ask(
                        b"ENQUEUE", b"0" * 16, msg_id.encode(), pairs.encode(), b"x" * load.body_bytes
                    )
            except (OSError, TimeoutError):
                events.add("unheard", **same)
                failed += 1
                if loop.time() - offered > _CLIENT_PATIENCE_S:
                    return
                pause = _RETRY_DELAY_S * (1 + self._rng.random()) if load.back_off else 0.05
                await asyncio.sleep(pause)
                continue
            if answer.startswith(b"+"):
                events.add("taken", left=left, **same)
                return
            if not answer.startswith(b"-BUSY"):
                events.add("failed", answer=answer.decode(errors="replace").strip(), **same)
                return
            wait_text = answer[5:].strip()
            again = int(wait_text) / 1000 if wait_text.isdigit() else 0.25
            events.add("refused", again=again, **same)
            refused += 1
            if refused > load.retries:
                return
            await asyncio.sleep(again * (1 + self._rng.random()) * refused if load.back_off else 0.02)

    async def stop(self) -> None:
        """Cancel all submissions."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def hash_text(text: str) -> int:
    """A number that depends on the text alone, not on the process."""
    return int.from_bytes(random.Random(text).randbytes(8), "big")
