"""Helpers for the network tests: stand-ins on loopback for clients, next hops, discovery and notices."""

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
    """Run a test's coroutine; TimeoutError after `limit` seconds."""

    async def bounded() -> None:
        async with asyncio.timeout(limit):
            await main

    asyncio.run(bounded())


async def until(condition: Callable[[], Any], limit: float = 8.0) -> None:
    """Wait until the condition is true; TimeoutError after `limit` seconds."""
    async with asyncio.timeout(limit):
        while not condition():
            await asyncio.sleep(0.005)


class Transport(asyncio.Transport):
    """A transport without a socket, which records what the protocol under test writes."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.reading, self.closing, self.aborted, self.ended = True, False, False, False

    def write(self, data: Any) -> None:
        if not self.closing:
            self.written += data

    def take_written(self) -> bytes:
        """Return what was written since the last call."""
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
    """Deliver data to a protocol as the event loop would, through the protocol's own buffer."""
    while data:
        buffer = memoryview(protocol.get_buffer(-1))
        count = min(len(buffer), len(data))
        buffer[:count] = data[:count]
        protocol.buffer_updated(count)
        data = data[count:]


class Server:
    """A stand-in that listens; started again after `stop`, it has the same port."""

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
    """Return discovery's answer to a watch without changes, after the wait that the watch requested."""
    assert message.start is not None
    _, _, query = message.start[1].partition("?")
    parameters = dict(pair.split("=") for pair in query.split("&"))
    await asyncio.sleep(int(parameters["wait"]) / 1000)
    answer = {"version": int(parameters["index"]), "full": False, "servers": []}
    return response(200, "OK", {}, orjson.dumps(answer))


class HttpServer(Server):
    """Answers each request with the result of `reply`; on None it closes the connection."""

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
    """The common part of both next hops. `script` holds a result for each call; the last one is repeated."""

    def __init__(self) -> None:
        self.script = ["ok"]
        self.calls: list[tuple[float, str, str, bytes]] = []  # time, id, key, body
        self.delivered: list[str] = []

    def record_call(self, msg_id: str, key: str, body: bytes) -> str:
        """Record a call and return its result by the script."""
        self.calls.append((asyncio.get_running_loop().time(), msg_id, key, body))
        result = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if result == "ok":
            self.delivered.append(msg_id)
        return result


class HttpHop(Hop, HttpServer):
    """A next hop over HTTP."""

    protocol = "http"

    def __init__(self) -> None:
        Hop.__init__(self)
        HttpServer.__init__(self, self.hook)

    async def hook(self, message: Message) -> bytes | None:
        """Answer one call."""
        headers = message.headers
        result = self.record_call(
            headers["x-trace-id"], headers.get("idempotency-key", ""), bytes(message.body)
        )
        match result:
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
    """Read one AMQP frame."""
    head = await reader.readexactly(7)
    kind, channel, size = head[0], int.from_bytes(head[1:3], "big"), int.from_bytes(head[3:], "big")
    payload = await reader.readexactly(size + 1)
    assert payload[-1] == codec.FRAME_END
    return codec.Frame(kind, channel, payload[:-1])


async def read_content(reader: asyncio.StreamReader) -> tuple[dict[str, Any], bytes]:
    """Read the properties and the body of an AMQP message."""
    size, properties = codec.decode_header((await read_frame(reader)).payload)
    body = b""
    while len(body) < size:
        body += (await read_frame(reader)).payload
    return properties, body


class Broker(Hop, Server):
    """A broker, written from the specification, with what a publisher with confirms needs."""

    protocol = "amqp"

    def __init__(self) -> None:
        Hop.__init__(self)
        Server.__init__(self)
        self.closed_channels = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def send(channel: int, name: str, **args: Any) -> None:
            writer.write(codec.method(channel, name, **args))

        assert await reader.readexactly(8) == codec.PROTOCOL_HEADER
        send(0, "connection.start", minor=9, mechanisms="PLAIN", locales="en_US")
        tags: dict[int, int] = {}
        while True:
            frame = await read_frame(reader)
            if frame.kind != codec.METHOD:
                continue
            channel, method = frame.channel, codec.decode_method(frame.payload)
            match method.name:
                case "connection.start-ok":
                    send(0, "connection.tune", channel_max=32, frame_max=4096, heartbeat=1)
                case "connection.open":
                    send(0, "connection.open-ok")
                    if self.script[0] == "full":
                        send(0, "connection.blocked", reason="low on memory")
                case "channel.open":
                    tags[channel] = 0
                    send(channel, "channel.open-ok")
                case "confirm.select":
                    send(channel, "confirm.select-ok")
                case "channel.close":
                    self.closed_channels += 1
                    send(channel, "channel.close-ok")
                case "connection.close":
                    send(0, "connection.close-ok")
                    return
                case "basic.publish":
                    properties, body = await read_content(reader)
                    tags[channel] += 1
                    key = (properties.get("headers") or {}).get("idempotency-key", "")
                    result = self.record_call(properties["message_id"], key, body)
                    if result == "ok":
                        send(channel, "basic.ack", tag=tags[channel])
                    elif result == "error":
                        send(channel, "basic.nack", tag=tags[channel])
                    elif result == "reset":
                        return  # with any other result it never confirms


class RespClient:
    """Submits messages over RESP2. It learns outcomes as the platform does, by notice or at the next hop."""

    def __init__(self, harness: SenderHarness) -> None:
        self.harness = harness

    async def connect(self) -> None:
        """Connect to the sender."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.harness.port)

    async def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def command(self, *args: bytes) -> bytes:
        """Send a command and return the first line of the answer."""
        parts = b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args)
        self.writer.write(b"*%d\r\n" % len(args) + parts)
        return await self.reader.readline()

    async def submit(
        self,
        msg_id: str,
        message_class: str = "safe",
        remaining_s: float = 8.0,
        key: str = "k1",
        body: bytes = b"hello",
    ) -> str | None:
        """Submit a message. Return None if it is accepted, else its outcome."""
        pairs = f"c={message_class},d={int(remaining_s * 1000)},k={key},dest=7"
        answer = await self.command(b"ENQUEUE", b"0", msg_id.encode(), pairs.encode(), body)
        return {b"+": None, b"-BUSY": "deferred"}.get(
            answer[:1] if answer[:1] == b"+" else answer[:5], "undeliverable"
        )

    async def outcome(self, msg_id: str) -> str:
        """Wait for the outcome of a message."""
        harness = self.harness
        delivered = [hop.delivered for hop in harness.hops]
        await until(lambda: msg_id in harness.notices or any(msg_id in one for one in delivered))
        return harness.notices.get(msg_id, "delivered")


class AmqpClient:
    """A publisher with confirms, written from the specification."""

    def __init__(self, harness: SenderHarness) -> None:
        self.harness = harness
        self.outcomes: dict[str, str] = {}

    async def connect(self) -> None:
        """Connect to the sender, and open a channel with confirms."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.harness.port)
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
        """Send a method frame."""
        self.writer.write(codec.method(channel, name, **args))

    async def expect(self, name: str) -> codec.Method:
        """Read frames up to the next method, which must have this name."""
        while True:
            frame = await read_frame(self.reader)
            if frame.kind == codec.METHOD:
                method = codec.decode_method(frame.payload)
                assert method.name == name, method
                return method

    async def listen(self) -> None:
        """Record the outcomes of published messages as they are confirmed."""
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
                self.outcomes[self.ids[method.args["tag"]]] = "delivered"
            elif method.name == "basic.nack":
                self.outcomes[self.ids[method.args["tag"]]] = returned

    async def close(self) -> None:
        """Close the channel and the connection: accepted messages can then no longer be confirmed."""
        self.task.cancel()
        if not self.reader.at_eof():
            self.send_method(1, "channel.close", code=200, text="bye")
            await asyncio.sleep(0.05)
        self.writer.close()

    async def submit(
        self,
        msg_id: str,
        message_class: str = "safe",
        remaining_s: float = 8.0,
        key: str = "k1",
        body: bytes = b"hello",
    ) -> str | None:
        """Publish a message. Return None if it is accepted, else its outcome."""
        self.tag += 1
        self.ids[self.tag] = msg_id
        self.outcomes.pop(msg_id, None)
        properties = {
            "message_id": msg_id,
            "type": message_class,
            "expiration": str(int(remaining_s * 1000)),
            "headers": {"idempotency-key": key},
        }
        self.writer.write(
            codec.method(1, "basic.publish", routing_key="7", mandatory=True)
            + codec.content(1, properties, body, 4096)
        )
        journal = self.harness.runtime.journal  # no frame reports acceptance, only the journal shows it
        await until(lambda: msg_id in journal.live or msg_id in journal.outcomes or msg_id in self.outcomes)
        return None if msg_id in journal.live or msg_id in journal.outcomes else self.outcomes.get(msg_id)

    async def outcome(self, msg_id: str) -> str:
        """Wait for the outcome of a message."""
        await until(lambda: msg_id in self.outcomes)
        return self.outcomes[msg_id]


class SenderHarness:
    """Runs one sender from an operator's file, with its client and next hops.

    `protocol` is "http" (a RESP2 front, next hops over HTTP) or "amqp" (both over AMQP). "mixed" is meant as
    an AMQP front with next hops over HTTP, but has the same next hops as "amqp".
    """

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
            assert notice["id"] not in self.notices, "a second outcome"
            self.notices[notice["id"]] = notice["status"]
        return response(204, "No Content", {}, b"")

    def write_file(self) -> None:
        """Write the operator's file."""
        front = "resp" if self.protocol == "http" else "amqp"
        text = f'name = "w"\nstate = "state"\n[{front}]\nlisten = "{HOST}:0"\n'
        if front == "resp":
            text += f'notices = "{HOST}:{self.platform.port}"\n'
        text += "[rules]\nconnect_timeout = 0.3\n"
        for name, semantics in (("safe", "idempotent"), ("keyed", "deduplicated"), ("once", "at_most_once")):
            text += f'[[class]]\nname = "{name}"\nsemantics = "{semantics}"\ndeadline = 8\naim = 2\n'
        for index, hop in enumerate(self.hops):
            text += (
                f'[[next_hop]]\nid = "h{index}"\naddr = "{HOST}:{hop.port}"\ndest = 7\n'
                f'protocol = "{hop.protocol}"\nstate = "{self.states[index]}"\n'
            )
        self.file.write_text(text + self.extra)

    async def start(self) -> None:
        """Start the sender, and connect the client."""
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
        """Stop the sender as SIGKILL would: no call finishes, connections break, the journal is unchanged."""
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
        """The calls that all next hops have received, by time."""
        return sorted(call for hop in self.hops for call in hop.calls)
