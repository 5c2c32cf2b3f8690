"""Publishers with large heads, repeated ids or much input take a bounded part of memory and time."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import replace

import pytest

from mountgauge.amqp import codec
from mountgauge.amqp.clients import AmqpClients
from mountgauge.amqp.connection import AmqpConnection
from mountgauge.connections.registry import Registry
from mountgauge.connections.settings import default_buffers, default_settings
from mountgauge.core.ports import Accepted, MessageOutcome, Status, Submission
from tests.helper import Transport, receive
from tests.test_amqp_states import GRADE, OPENING, decode_methods

MEMORY_BYTES = 192_000_000
HALF_S = 0.3  # time limit of an incomplete message
PROPERTIES_OFFSET = 12  # of the flags in a content header


class Publishers:
    """A front, and what it has submitted."""

    def __init__(self, max_held_bytes: float = default_buffers(MEMORY_BYTES)) -> None:
        self.submitted: list[Submission] = []
        settings = default_settings(512, 64, default_buffers(MEMORY_BYTES))
        self.registry = Registry(replace(settings, amqp=replace(settings.amqp, half=HALF_S)))
        self.clients = AmqpClients(
            self.submitted.append,
            ("note",),
            (GRADE,),
            64,
            registry=self.registry,
            max_held_bytes=max_held_bytes,
        )

    def connect(self) -> tuple[AmqpConnection, Transport]:
        """A connection with 16 open channels in confirm mode, and frames of 128 kB."""
        connection, transport = AmqpConnection(self.clients), Transport()
        connection.connection_made(transport)
        tune = codec.method(0, "connection.tune-ok", channel_max=16, frame_max=128 * 1024)
        for data in (*OPENING[:2], tune, OPENING[3]):
            receive(connection, data)
        for channel in range(1, 17):
            receive(connection, codec.method(channel, "channel.open"))
            receive(connection, codec.method(channel, "confirm.select"))
        transport.take_written()
        return connection, transport


def head(fields: int, body_bytes: int) -> bytes:
    """The payload of a content header whose table has many short fields."""
    table = b"".join(b"\x03%03xV" % (number % 4096) for number in range(fields))
    properties = b"\x04note"
    flags = struct.pack(">H", 1 << 13 | 1 << 5)  # headers and type
    packed = struct.pack(">I", len(table)) + table + properties
    return struct.pack(">HHQ", codec.BASIC_CLASS_ID, 0, body_bytes) + flags + packed


def begin(channel: int, fields: int, body_bytes: int = 4) -> bytes:
    """A publish without its body."""
    method = codec.method(channel, "basic.publish", exchange="", routing_key="7")
    return method + codec.frame(codec.HEADER, channel, head(fields, body_bytes))


def test_heads_whose_bodies_are_missing_are_counted_and_limited() -> None:
    """Guards against 1,024 heads of 128 kB on 64 connections: they were kept, and counted nowhere."""

    async def main() -> None:
        publishers = Publishers()
        for _ in range(64):
            connection, _ = publishers.connect()
            for channel in range(1, 17):
                receive(connection, begin(channel, 3000))  # 15 kB
            if not connection.has_partial_message:
                continue
            assert connection.partial_bytes > 16 * 15_000
        assert publishers.registry.partial_bytes.total <= default_buffers(MEMORY_BYTES)
        publishers.registry.close()

    asyncio.run(main())


def test_a_head_that_is_too_large_closes_its_channel_alone() -> None:
    async def main() -> None:
        publishers = Publishers()
        connection, transport = publishers.connect()
        receive(connection, begin(1, 20_000))
        assert decode_methods(transport.take_written()) == [(1, "channel.close", 311)]
        assert not connection.has_partial_message and not transport.closing
        receive(connection, begin(2, 0) + codec.frame(codec.BODY, 2, b"body"))
        assert len(publishers.submitted) == 1
        publishers.registry.close()

    asyncio.run(main())


def test_a_head_of_very_many_fields_is_refused_without_decoding_them() -> None:
    """Decoding 32,000 fields took 56 ms, in which no other client was served."""

    async def main() -> None:
        publishers = Publishers()
        connection, transport = publishers.connect()
        receive(connection, begin(1, 3000) + codec.frame(codec.BODY, 1, b"body"))
        assert decode_methods(transport.take_written()) == [(1, "basic.return", 312), (1, "basic.nack", 1)]
        assert not publishers.submitted and connection.settled and not transport.closing
        receive(connection, begin(1, codec.MAX_FIELDS) + codec.frame(codec.BODY, 1, b"body"))
        assert len(publishers.submitted) == 1
        publishers.registry.close()

    asyncio.run(main())


@pytest.mark.parametrize("nested", [b"F", b"A"])
def test_nested_fields_count_as_well(nested: bytes) -> None:
    inner = b"V" * 300 if nested == b"A" else b"\x01aV" * 300
    payload = struct.pack(">I", len(inner)) + inner
    table = b"\x01x" + nested + payload
    header = struct.pack(">HHQH", codec.BASIC_CLASS_ID, 0, 4, 1 << 13) + struct.pack(">I", len(table)) + table
    with pytest.raises(codec.TooManyFieldsError):
        codec.decode_header(header)


def test_publishes_that_wait_for_their_outcome_hold_a_bounded_part_of_the_memory() -> None:
    """Guards against one id that is published again and again: each publish was kept until the outcome."""

    async def main() -> None:
        publishers = Publishers(max_held_bytes=1_000_000)
        connection, transport = publishers.connect()
        deferred = 0
        properties = {"message_id": "a", "type": "note"}
        method = codec.method(1, "basic.publish", exchange="", routing_key="7")
        publish = method + codec.content(1, properties, bytes(60_000), 128 * 1024)
        for _ in range(40):
            receive(connection, publish)
            if publishers.submitted:
                publishers.submitted.pop().answer(Accepted())
            deferred += sum(name == "basic.nack" for _, name, _ in decode_methods(transport.take_written()))
        assert connection.unsettled + deferred == 40 and connection.unsettled <= 16
        connection.connection_lost(None)  # what was accepted still waits
        publishers.clients.report_outcome("a", MessageOutcome(Status.DELIVERED), lambda: None)
        other, transport = publishers.connect()
        receive(other, publish)
        assert publishers.submitted, "all memory is free again"
        publishers.registry.close()

    asyncio.run(main())


def test_a_publisher_that_sends_at_full_speed_is_not_closed_as_halfway() -> None:
    """Each read ends within a frame, so something was always incomplete, but never for long."""

    async def main() -> None:
        publishers = Publishers()
        connection, transport = publishers.connect()
        properties = {"message_id": "a", "type": "note"}
        publish = codec.method(1, "basic.publish", exchange="", routing_key="7")
        publish += codec.content(1, properties, b"body", 4096)
        rest, until = b"", asyncio.get_running_loop().time() + 4 * HALF_S
        while asyncio.get_running_loop().time() < until:
            data = rest + publish * 3
            receive(connection, data[:-7])
            rest = data[-7:]
            for submission in publishers.submitted:
                submission.answer(MessageOutcome(Status.DEFERRED))
            publishers.submitted.clear()
            transport.take_written()
            await asyncio.sleep(0.01)
        assert not transport.closing and not publishers.clients.counts["clients", "halfway"]
        publishers.registry.close()

    asyncio.run(main())


@pytest.mark.parametrize("stops_in", ["frame", "message", "second channel"])
def test_a_message_that_stays_incomplete_closes_its_connection(stops_in: str) -> None:
    """However many other messages are completed meanwhile."""

    async def main() -> None:
        publishers = Publishers()
        connection, transport = publishers.connect()
        receive(connection, begin(2, 0)[: -5 if stops_in == "frame" else None])
        until = asyncio.get_running_loop().time() + 3 * HALF_S
        closed = False
        while asyncio.get_running_loop().time() < until:
            if stops_in == "second channel":
                receive(connection, begin(1, 0) + codec.frame(codec.BODY, 1, b"body"))
            elif stops_in == "frame":
                receive(connection, b"")
            await asyncio.sleep(0.02)
            closed = closed or any(
                name == "connection.close" for _, name, _ in decode_methods(transport.take_written())
            )
        assert closed and publishers.clients.counts["clients", "halfway"] == 1
        publishers.registry.close()

    asyncio.run(main())
