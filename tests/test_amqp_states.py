"""A publisher's AMQP connection compared with a model of its channels, over random sequences of steps."""

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


def decode_methods(data: bytes) -> list[tuple[int, str, int]]:
    """The methods in written bytes: channel, name, and delivery tag or reply code."""
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
def test_connection_matches_its_model(steps: list[tuple[str, int]]) -> None:
    """A publish on an open channel gets one ack, or one return and nack; on a closed one it gets nothing."""

    async def main() -> None:
        submitted: list[Submission] = []
        clients = AmqpClients(submitted.append, ("note",), (GRADE,), 9)
        connection, transport = AmqpConnection(clients), Transport()
        connection.connection_made(transport)
        for data, answer in zip(OPENING, ANSWERS, strict=True):
            receive(connection, data)
            assert [name for _, name, _ in decode_methods(transport.take_written())] == (
                [answer] if answer else []
            )
        tags: dict[int, int] = {}  # last delivery tag by open channel
        openings: dict[int, int] = {}  # by channel: an outcome is sent only in the opening of its publish
        unsettled: list[tuple[str, int, int, int]] = []  # id, channel, opening, tag
        accepted: list[str] = []
        for index, (step, channel) in enumerate([("open", 1), ("open", 2), *steps]):
            expected: list[tuple[int, str, int]] = []
            if step == "open" and channel not in tags:
                tags[channel], openings[channel] = 0, openings.get(channel, 0) + 1
                receive(connection, codec.method(channel, "channel.open"))
                receive(connection, codec.method(channel, "confirm.select"))
                expected = [(channel, "channel.open-ok", 0), (channel, "confirm.select-ok", 0)]
            elif step in ("publish", "repeat") and channel in tags:
                msg_id = accepted[0] if step == "repeat" and accepted else f"m{index}"
                tags[channel] += 1
                receive(connection, publish(channel, msg_id))
                unsettled.append((msg_id, channel, openings[channel], tags[channel]))
                if msg_id not in accepted:
                    accepted.append(msg_id)
                submitted.pop().answer(Accepted())
            elif step == "cut" and channel in tags:  # a content received in two parts
                receive(connection, publish(channel, "cut")[:-5])
                receive(connection, publish(channel, "cut")[-5:])
                tags[channel] += 1
                submitted.pop().answer(MessageOutcome(Status.DEFERRED))  # rejected at once
                expected = [(channel, "basic.return", 313), (channel, "basic.nack", tags[channel])]
            elif step == "close" and channel in tags:
                del tags[channel]
                receive(connection, codec.method(channel, "channel.close"))
                expected = [(channel, "channel.close-ok", 0)]
            elif step == "refuse" and channel in tags:
                del tags[channel]
                receive(connection, publish(channel, "x", exchange="nosuch"))
                receive(connection, publish(channel, "y"))  # ignored until the close is answered
                receive(connection, codec.method(channel, "channel.close-ok"))
                expected = [(channel, "channel.close", 404)]
            elif step == "end" and accepted:
                msg_id, end, notified = accepted.pop(0), ENDS[channel - 1], list[int]()
                clients.report_outcome(msg_id, end, lambda notified=notified: notified.append(1))  # type: ignore[misc]
                assert notified == [1]
                for publication in [one for one in unsettled if one[0] == msg_id]:
                    unsettled.remove(publication)
                    _, number, opening, tag = publication
                    if number in tags and openings[number] == opening:
                        if end.status is Status.DELIVERED:
                            expected.append((number, "basic.ack", tag))
                        else:
                            code = 313 if end.status is Status.DEFERRED else 312
                            expected += [(number, "basic.return", code), (number, "basic.nack", tag)]
            assert decode_methods(transport.take_written()) == expected
            assert connection.unsettled == len(unsettled) and not transport.closing
        connection.connection_lost(None)
        for msg_id in accepted:  # the connection is closed: nothing is written and nothing raises
            clients.report_outcome(msg_id, ENDS[0], lambda: None)
        assert not transport.take_written()

    asyncio.run(main())
