"""An AMQP client connection's states against a model, whatever order the steps come in."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.amqp import codec
from mountgauge.amqp.clients import AmqpClients
from mountgauge.amqp.connection import AmqpConnection
from mountgauge.core.ports import Accepted, MessageOutcome, Status, Submission
from rillspindle.interface import MessageClass
from tests.helper import Transport, receive

GRADE = MessageClass(2.0, 8.0, "idempotent", "all", 8.0, False, 1.0, 0.3)
ENDS = [
    MessageOutcome(Status.DELIVERED),
    MessageOutcome(Status.DEFERRED, 250),
    MessageOutcome(Status.UNDELIVERABLE),
]
OPENING = [
    codec.PROTOCOL_HEADER,
    codec.method(0, "connection.start-ok", mechanism="PLAIN", response="\0u\0p"),
    codec.method(0, "connection.tune-ok", channel_max=8, frame_max=4096),
    codec.method(0, "connection.open", vhost="/"),
]
ANSWERS = ["connection.start", "connection.tune", None, "connection.open-ok"]
STEPS = st.tuples(
    st.sampled_from(["open", "publish", "publish", "close", "refuse", "end", "end", "repeat", "cut"]),
    st.integers(1, 3),
)


def methods(data: bytes) -> list[tuple[int, str, int]]:
    """What was written: channel, method, and its tag or code."""
    parser, found = codec.FrameParser(1 << 20), []
    parser.feed(data)
    while (frame := parser.next()) is not None:
        if frame.kind == codec.METHOD:
            method = codec.decode_method(frame.payload)
            found.append((frame.channel, method.name, method.args.get("tag", method.args.get("code", 0))))
    return found


def publish(channel: int, msg_id: str, exchange: str = "") -> bytes:
    properties = {"message_id": msg_id, "type": "note"}
    return codec.method(channel, "basic.publish", exchange=exchange, routing_key="7") + codec.content(
        channel, properties, b"body", 4096
    )


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEPS, min_size=8, max_size=25))
def test_connection_against_its_model(steps: list[tuple[str, int]]) -> None:
    """A publish on a channel that lives gets one ack, or one return and nack; on one that closed, nothing."""

    async def main() -> None:
        handed: list[Submission] = []
        clients = AmqpClients(handed.append, ("note",), (GRADE,), 9)
        connection, transport = AmqpConnection(clients), Transport()
        connection.connection_made(transport)
        for data, answer in zip(OPENING, ANSWERS, strict=True):
            receive(connection, data)
            assert [name for _, name, _ in methods(transport.take_written())] == ([answer] if answer else [])
        tags: dict[int, int] = {}  # open channels, with the last tag
        lives: dict[int, int] = {}  # how often a channel was opened: an end finds its own life only
        owed: list[tuple[str, int, int, int]] = []  # id, channel, life, tag
        taken: list[str] = []
        for place, (step, channel) in enumerate([("open", 1), ("open", 2), *steps]):
            wanted: list[tuple[int, str, int]] = []
            if step == "open" and channel not in tags:
                tags[channel], lives[channel] = 0, lives.get(channel, 0) + 1
                receive(connection, codec.method(channel, "channel.open"))
                receive(connection, codec.method(channel, "confirm.select"))
                wanted = [(channel, "channel.open-ok", 0), (channel, "confirm.select-ok", 0)]
            elif step in ("publish", "repeat") and channel in tags:
                msg_id = taken[0] if step == "repeat" and taken else f"m{place}"
                tags[channel] += 1
                receive(connection, publish(channel, msg_id))
                owed.append((msg_id, channel, lives[channel], tags[channel]))
                if msg_id not in taken:
                    taken.append(msg_id)
                handed.pop().answer(Accepted())
            elif step == "cut" and channel in tags:  # a content that comes in two parts
                receive(connection, publish(channel, "cut")[:-5])
                receive(connection, publish(channel, "cut")[-5:])
                tags[channel] += 1
                handed.pop().answer(MessageOutcome(Status.DEFERRED))  # refused at once
                wanted = [(channel, "basic.return", 313), (channel, "basic.nack", tags[channel])]
            elif step == "close" and channel in tags:
                del tags[channel]
                receive(connection, codec.method(channel, "channel.close"))
                wanted = [(channel, "channel.close-ok", 0)]
            elif step == "refuse" and channel in tags:
                del tags[channel]
                receive(connection, publish(channel, "x", exchange="nosuch"))
                receive(connection, publish(channel, "y"))  # passed over until the close is answered
                receive(connection, codec.method(channel, "channel.close-ok"))
                wanted = [(channel, "channel.close", 404)]
            elif step == "end" and taken:
                msg_id, end, told = taken.pop(0), ENDS[channel - 1], list[int]()
                clients.report_outcome(msg_id, end, lambda told=told: told.append(1))  # type: ignore[misc]
                assert told == [1]
                for one in [one for one in owed if one[0] == msg_id]:
                    owed.remove(one)
                    _, number, life, tag = one
                    if number in tags and lives[number] == life:
                        if end.status is Status.DELIVERED:
                            wanted.append((number, "basic.ack", tag))
                        else:
                            code = 313 if end.status is Status.DEFERRED else 312
                            wanted += [(number, "basic.return", code), (number, "basic.nack", tag)]
            assert methods(transport.take_written()) == wanted
            assert connection.unsettled == len(owed) and not transport.closing
        connection.connection_lost(None)
        for msg_id in taken:  # the way back is gone: nothing is written, nobody fails
            clients.report_outcome(msg_id, ENDS[0], lambda: None)
        assert not transport.take_written()

    asyncio.run(main())
