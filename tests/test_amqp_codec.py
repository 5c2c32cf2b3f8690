"""The AMQP codec against hand-written bytes from the specification, and against arbitrary input."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mountgauge.amqp import codec
from mountgauge.amqp.codec import AmqpError


def test_encoded_frames_match_the_specification() -> None:
    assert bytes.fromhex("414d515000000901") == codec.PROTOCOL_HEADER
    assert codec.frame(codec.HEARTBEAT, 0, b"") == bytes.fromhex("08000000000000ce")
    assert codec.method(1, "channel.open") == bytes.fromhex("010001000000050014000a00ce")
    tune = codec.method(0, "connection.tune", channel_max=2047, frame_max=131072, heartbeat=60)
    assert tune == bytes.fromhex("0100000000000c000a001e07ff00020000003cce")
    ack = codec.method(3, "basic.ack", tag=5, multiple=True)
    assert ack == bytes.fromhex("0100030000000d003c0050000000000000000501ce")
    publish = codec.method(1, "basic.publish", exchange="x", routing_key="7", mandatory=True)
    assert publish == bytes.fromhex("0100010000000b003c0028000001780137" + "01ce")
    nack = codec.method(1, "basic.nack", tag=1, requeue=True)
    assert nack == bytes.fromhex("0100010000000d003c0078000000000000000102ce")


def test_content_header_matches_the_specification() -> None:
    data = codec.content(1, {"message_id": "id", "type": "t", "expiration": "9"}, b"ab", 4096)
    header = bytes.fromhex("003c00000000000000000002") + bytes.fromhex("01a0") + b"\x019\x02id\x01t"
    assert data == codec.frame(2, 1, header) + bytes.fromhex("0300010000000261" + "62ce")
    assert codec.decode_header(header) == (2, {"expiration": "9", "message_id": "id", "type": "t"})


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.text(max_size=20)
    | st.binary(max_size=20) | st.floats(allow_nan=False),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner, max_size=3),
    max_leaves=5,
)  # fmt: skip


@settings(derandomize=True, deadline=None)
@given(
    st.dictionaries(st.text(max_size=9), VALUES, max_size=4), st.binary(max_size=9000), st.integers(1, 999)
)
def test_content_round_trips_in_pieces_of_any_size(
    headers: dict[str, object], body: bytes, chunk: int
) -> None:
    data = codec.content(2, {"headers": headers, "priority": 3}, body, 4096)
    parser, frames = codec.FrameParser(4096), []
    for at in range(0, len(data), chunk):
        parser.feed(data[at : at + chunk])
        while (one := parser.next()) is not None:
            frames.append(one)
    assert codec.decode_header(frames[0].payload) == (len(body), {"headers": headers, "priority": 3})
    assert b"".join(one.payload for one in frames[1:]) == body


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=80))
def test_arbitrary_bytes_raise_only_amqp_errors(data: bytes) -> None:
    for call in (codec.decode_method, codec.decode_header):
        try:
            call(data)
        except AmqpError as error:
            assert error.code in (501, 502, 503, 505, 540)


@pytest.mark.parametrize(("data", "code"), [
    (b"\x01\x00\x00\x00\x10\x00\x00", 501),  # larger than frame_max
    (b"\x01\x00\x00\x00\x00\x00\x01a!", 501),  # wrong frame-end octet
])  # fmt: skip
def test_malformed_frames_are_rejected(data: bytes, code: int) -> None:
    parser = codec.FrameParser(4096)
    parser.feed(data)
    with pytest.raises(AmqpError) as error:
        parser.next()
    assert error.value.code == code


@pytest.mark.parametrize(("payload", "code"), [("003c0014", 540), ("00320028", 540), ("00630001", 503)])
def test_unknown_methods_are_hard_errors(payload: str, code: int) -> None:
    with pytest.raises(AmqpError) as error:
        codec.decode_method(bytes.fromhex(payload))
    assert error.value.code == code and error.value.hard


def test_fast_encoders_match_the_method_table() -> None:
    assert codec.ack(3, 1 << 40) == codec.method(3, "basic.ack", tag=1 << 40)
    assert codec.nack(65535, 7) == codec.method(65535, "basic.nack", tag=7)
    args = {"code": 313, "text": "DEFERRED again_ms=5", "exchange": "x", "routing_key": "y" * 255}
    assert codec.basic_return(1, *args.values()) == codec.method(1, "basic.return", **args)  # type: ignore[arg-type]


@settings(derandomize=True, deadline=None)
@given(st.text(max_size=60), st.text(max_size=60), st.booleans(), st.booleans(), st.integers(0, 40))
def test_fast_publish_decoder_matches_the_method_table(
    exchange: str, key: str, mandatory: bool, immediate: bool, cut: int
) -> None:
    encoded = codec.method(1, "basic.publish", exchange=exchange, routing_key=key, mandatory=mandatory,
                           immediate=immediate)  # fmt: skip
    payload = encoded[7:-1]
    method = codec.decode_method(payload)
    assert (method.name, method.class_id, method.method_id) == ("basic.publish", 60, 40)
    assert list(method.args.values()) == [0, exchange, key, mandatory, immediate]
    if 0 < cut < len(payload) - 3:
        with pytest.raises(codec.AmqpError):
            codec.decode_method(payload[:-cut])
