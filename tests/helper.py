"""The one helper of the network tests: loopback stand-ins for clients, next hops, discovery and notices."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import orjson

from mountgauge.amqp import codec
from mountgauge.http1 import Message, Parser, response
from mountgauge.operator_file import load
from mountgauge.run.operator import OperatorRuntime

HOST = "127.0.0.1"


def run(main: Coroutine[Any, Any, None], limit: float = 20.0) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(limit):
            await main

    asyncio.run(bounded())


async def until(true: Callable[[], Any], limit: float = 8.0) -> None:
    async with asyncio.timeout(limit):
        while not true():
            await asyncio.sleep(0.005)


class Transport(asyncio.Transport):
    """What a protocol under test writes, without a socket."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.reading, self.closing, self.aborted, self.ended = True, False, False, False

    def write(self, data: Any) -> None:
        if not self.closing:
            self.written += data

    def take_written(self) -> bytes:
        written, self.written = bytes(self.written), bytearray()
        return written

    def pause_reading(self) -> None:
        assert self.reading and not self.closing
        self.reading = False

    def resume_reading(self) -> None:
        assert not self.reading and not self.closing
        self.reading = True

    def write_eof(self) -> None:
        self.ended = True

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.closing = self.aborted = True

    def is_closing(self) -> bool:
        return self.closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...


def receive(protocol: asyncio.BufferedProtocol, data: bytes) -> None:
    """As the loop would: into the protocol's own buffer."""
    while data:
        buffer = memoryview(protocol.get_buffer(-1))
        count = min(len(buffer), len(data))
        buffer[:count] = data[:count]
        protocol.buffer_updated(count)
        data = data[count:]


class Server:
    """A listening stand-in; `restart` comes back on the same port."""

    def __init__(self) -> None:
        self.port = 0
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


async def reply_without_changes(message: Message) -> bytes:
    """What a discovery answers to a call for changes where there are none, once the call's wait is over."""
    assert message.start is not None
    _, _, query = message.start[1].partition("?")
    asked = dict(pair.split("=") for pair in query.split("&"))
    await asyncio.sleep(int(asked["wait"]) / 1000)
    found = {"version": int(asked["index"]), "full": False, "servers": []}
    return response(200, "OK", {}, orjson.dumps(found))


class HttpServer(Server):
    """Answers each request by `reply`; None breaks the connection."""

    def __init__(self, reply: Callable[[Message], Awaitable[bytes | None]]) -> None:
        super().__init__()
        self.reply = reply

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Parser(requests=True)
        while data := await reader.read(65536):
            for message in parser.feed(data):
                if (answer := await self.reply(message)) is None:
                    return
                writer.write(answer)


class Hop:
    """What both kinds of next hop share: `script` names the fate of each call, the last one for all later."""

    def __init__(self) -> None:
        self.script = ["ok"]
        self.calls: list[tuple[float, str, str, bytes]] = []  # when, id, key, body
        self.delivered: list[str] = []

    def fate(self, msg_id: str, key: str, body: bytes) -> str:
        self.calls.append((asyncio.get_running_loop().time(), msg_id, key, body))
        fate = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if fate == "ok":
            self.delivered.append(msg_id)
        return fate


class HttpHop(Hop, HttpServer):
    """A next hop over HTTP."""

    protocol = "http"

    def __init__(self) -> None:
        Hop.__init__(self)
        HttpServer.__init__(self, self.hook)

    async def hook(self, message: Message) -> bytes | None:
        headers = message.headers
        fate = self.fate(headers["x-trace-id"], headers.get("idempotency-key", ""), bytes(message.body))
        match fate:
            case "ok":
                return response(200, "OK", {}, b"done")
            case "error":
                return response(500, "Internal Server Error", {}, b"")
            case "full":
                return response(503, "Service Unavailable", {}, b"")
            case "silent":
                await asyncio.sleep(60)
        return None  # reset


async def read_frame(reader: asyncio.StreamReader) -> codec.Frame:
    head = await reader.readexactly(7)
    kind, channel, size = head[0], int.from_bytes(head[1:3], "big"), int.from_bytes(head[3:], "big")
    payload = await reader.readexactly(size + 1)
    assert payload[-1] == codec.FRAME_END
    return codec.Frame(kind, channel, payload[:-1])


async def read_content(reader: asyncio.StreamReader) -> tuple[dict[str, Any], bytes]:
    size, properties = codec.decode_header((await read_frame(reader)).payload)
    body = b""
    while len(body) < size:
        body += (await read_frame(reader)).payload
    return properties, body


class Broker(Hop, Server):
    """A broker as the specification has it, as far as a publisher with confirms sees one."""

    protocol = "amqp"

    def __init__(self) -> None:
        Hop.__init__(self)
        Server.__init__(self)
        self.closed_channels = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def say(channel: int, name: str, **args: Any) -> None:
            writer.write(codec.method(channel, name, **args))

        assert await reader.readexactly(8) == codec.PROTOCOL_HEADER
        say(0, "connection.start", minor=9, mechanisms="PLAIN", locales="en_US")
        tags: dict[int, int] = {}
        while True:
            frame = await read_frame(reader)
            if frame.kind != codec.METHOD:
                continue
            channel, method = frame.channel, codec.decode_method(frame.payload)
            match method.name:
                case "connection.start-ok":
                    say(0, "connection.tune", channel_max=32, frame_max=4096, heartbeat=1)
                case "connection.open":
                    say(0, "connection.open-ok")
                    if self.script[0] == "full":
                        say(0, "connection.blocked", reason="low on memory")
                case "channel.open":
                    tags[channel] = 0
                    say(channel, "channel.open-ok")
                case "confirm.select":
                    say(channel, "confirm.select-ok")
                case "channel.close":
                    self.closed_channels += 1
                    say(channel, "channel.close-ok")
                case "connection.close":
                    say(0, "connection.close-ok")
                    return
                case "basic.publish":
                    properties, body = await read_content(reader)
                    tags[channel] += 1
                    key = (properties.get("headers") or {}).get("idempotency-key", "")
                    fate = self.fate(properties["message_id"], key, body)
                    if fate == "ok":
                        say(channel, "basic.ack", tag=tags[channel])
                    elif fate == "error":
                        say(channel, "basic.nack", tag=tags[channel])
                    elif fate == "reset":
                        return  # anything else: it crawls, and never confirms


class RespClient:
    """Hands messages in over RESP2 and hears of ends as the platform would: by notice, or at the next hop."""

    def __init__(self, world: SenderHarness) -> None:
        self.world = world

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.world.port)

    async def close(self) -> None:
        self.writer.close()

    async def command(self, *args: bytes) -> bytes:
        parts = b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args)
        self.writer.write(b"*%d\r\n" % len(args) + parts)
        return await self.reader.readline()

    async def submit(
        self,
        msg_id: str,
        grade: str = "safe",
        remaining_s: float = 8.0,
        key: str = "k1",
        body: bytes = b"hello",
    ) -> str | None:
        """Hand it in: None once it is taken on, else its end."""
        pairs = f"c={grade},d={int(remaining_s * 1000)},k={key},dest=7"
        answer = await self.command(b"ENQUEUE", b"0", msg_id.encode(), pairs.encode(), body)
        return {b"+": None, b"-BUSY": "deferred"}.get(
            answer[:1] if answer[:1] == b"+" else answer[:5], "undeliverable"
        )

    async def outcome(self, msg_id: str) -> str:
        world = self.world
        delivered = [hop.delivered for hop in world.hops]
        await until(lambda: msg_id in world.notices or any(msg_id in one for one in delivered))
        return world.notices.get(msg_id, "delivered")


class AmqpClient:
    """A publisher with confirms, from the specification."""

    def __init__(self, world: SenderHarness) -> None:
        self.world = world
        self.ends: dict[str, str] = {}

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.world.port)
        self.writer.write(codec.PROTOCOL_HEADER)
        await self.expect("connection.start")
        self.send_method(0, "connection.start-ok", mechanism="PLAIN", response="\0u\0p", locale="en_US")
        tune = (await self.expect("connection.tune")).args
        self.send_method(0, "connection.tune-ok", **{**tune, "heartbeat": 1})
        self.send_method(0, "connection.open", vhost="/")
        await self.expect("connection.open-ok")
        self.tag, self.ids = 0, dict[int, str]()
        self.send_method(1, "channel.open")
        await self.expect("channel.open-ok")
        self.send_method(1, "confirm.select")
        await self.expect("confirm.select-ok")
        self.task = asyncio.create_task(self.listen())

    def send_method(self, channel: int, name: str, **args: Any) -> None:
        self.writer.write(codec.method(channel, name, **args))

    async def expect(self, name: str) -> codec.Method:
        while True:
            frame = await read_frame(self.reader)
            if frame.kind == codec.METHOD:
                method = codec.decode_method(frame.payload)
                assert method.name == name, method
                return method

    async def listen(self) -> None:
        returned = ""
        while True:
            frame = await read_frame(self.reader)
            if frame.kind != codec.METHOD:
                continue
            method = codec.decode_method(frame.payload)
            if method.name == "basic.return":
                returned = method.args["text"].split()[0].lower()
                await read_content(self.reader)
            elif method.name == "basic.ack":
                self.ends[self.ids[method.args["tag"]]] = "delivered"
            elif method.name == "basic.nack":
                self.ends[self.ids[method.args["tag"]]] = returned

    async def close(self) -> None:
        """Just the channel: what is taken on and not confirmed loses its way back."""
        self.task.cancel()
        if not self.reader.at_eof():
            self.send_method(1, "channel.close", code=200, text="bye")
            await asyncio.sleep(0.05)
        self.writer.close()

    async def submit(
        self,
        msg_id: str,
        grade: str = "safe",
        remaining_s: float = 8.0,
        key: str = "k1",
        body: bytes = b"hello",
    ) -> str | None:
        self.tag += 1
        self.ids[self.tag] = msg_id
        self.ends.pop(msg_id, None)
        properties = {
            "message_id": msg_id,
            "type": grade,
            "expiration": str(int(remaining_s * 1000)),
            "headers": {"idempotency-key": key},
        }
        self.writer.write(
            codec.method(1, "basic.publish", routing_key="7", mandatory=True)
            + codec.content(1, properties, body, 4096)
        )
        journal = self.world.runtime.journal  # taken is journalled: no frame says so
        await until(lambda: msg_id in journal.live or msg_id in journal.outcomes or msg_id in self.ends)
        return None if msg_id in journal.live or msg_id in journal.outcomes else self.ends.get(msg_id)

    async def outcome(self, msg_id: str) -> str:
        await until(lambda: msg_id in self.ends)
        return self.ends[msg_id]


class SenderHarness:
    """One sender of an operator's file with its client and next hops: of one protocol, or "mixed"."""

    def __init__(self, folder: Path, protocol: str, hops: int = 1, extra: str = "") -> None:
        self.extra = extra  # more tables of the file
        self.folder, self.file = folder, folder / "sender.toml"
        self.protocol = "amqp" if protocol == "mixed" else protocol  # of the front
        self.hops: list[HttpHop | Broker] = [
            HttpHop() if protocol == "http" else Broker() for _ in range(hops)
        ]
        self.states = ["active"] * hops
        self.notices: dict[str, str] = {}
        self.platform = HttpServer(self._notice)

    async def _notice(self, message: Message) -> bytes:
        for line in bytes(message.body).splitlines():
            notice = json.loads(line)
            assert notice["id"] not in self.notices, "a second end"
            self.notices[notice["id"]] = notice["status"]
        return response(204, "No Content", {}, b"")

    def write_file(self) -> None:
        front = "resp" if self.protocol == "http" else "amqp"
        text = f'name = "w"\nstate = "state"\n[{front}]\nlisten = "{HOST}:0"\n'
        if front == "resp":
            text += f'notices = "{HOST}:{self.platform.port}"\n'
        text += "[rules]\nconnect_timeout = 0.3\n"
        for name, semantics in (("safe", "idempotent"), ("keyed", "deduplicated"), ("once", "at_most_once")):
            text += f'[[class]]\nname = "{name}"\nsemantics = "{semantics}"\ndeadline = 8\naim = 2\n'
        for place, hop in enumerate(self.hops):
            text += (
                f'[[next_hop]]\nid = "h{place}"\naddr = "{HOST}:{hop.port}"\ndest = 7\n'
                f'protocol = "{hop.protocol}"\nstate = "{self.states[place]}"\n'
            )
        self.file.write_text(text + self.extra)

    async def start(self) -> None:
        (self.folder / "state").mkdir(exist_ok=True)
        self.write_file()
        operator = load(self.file)
        self.runtime = OperatorRuntime(operator)
        await self.runtime.start()
        listener: Any = self.runtime.listeners[0][0]
        self.port = listener.port
        self.client = RespClient(self) if self.protocol == "http" else AmqpClient(self)
        await self.client.connect()

    async def __aenter__(self) -> SenderHarness:
        await self.platform.start()
        for hop in self.hops:
            await hop.start()
        await self.start()
        return self

    async def kill(self) -> None:
        """As SIGKILL would: nothing is finished, connections break, the journal stays as it is."""
        self.runtime.sender.stop()
        setattr(self.runtime.sender, "finished", lambda call, results: None)  # noqa: B010
        for listener, _ in self.runtime.listeners:
            listener.stop_listening()
            listener.close()
        self.runtime.close()

    async def __aexit__(self, *_: object) -> None:
        await self.client.close()
        await self.kill()
        for hop in self.hops:
            await hop.stop()
        await self.platform.stop()

    @property
    def calls(self) -> list[tuple[float, str, str, bytes]]:
        return sorted(call for hop in self.hops for call in hop.calls)
