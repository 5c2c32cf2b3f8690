"""Encodes asks and answers into the fleet's sealed datagrams: MessagePack, head `B1`, keyed BLAKE3.

An ask for many budgets is sent in several datagrams, each of which is a complete message.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Annotated

import msgspec

from mountgauge.budgets.messages import Answer, AnswerLine, Ask, AskLine
from mountgauge.tenants.wire import MAX_NAME_LENGTH, RefusedDatagramError, Seal

HEAD = b"B1"
MAX_LINES = 10  # per datagram, so that it stays below 1,200 bytes
_MAX_ENDED = 16

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Mask = Annotated[bytes, msgspec.Meta(max_length=32)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class _AskLine(msgspec.Struct, array_like=True, frozen=True):
    budget: Name
    number: Number
    claims: Mask
    hold: Amount
    whole: Amount
    wants: Amount
    weight: Amount


class _Ask(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    name: Name
    run: Number
    epoch: Number
    file_epoch: Number
    lists: Number
    lines: list[_AskLine]
    ended: list[Name]
    leaving: bool


class _AnswerLine(msgspec.Struct, array_like=True, frozen=True):
    budget: Name
    number: Number
    granted: Mask
    taken: Mask
    whole: Amount
    target: Number
    turn: tuple[Number, Number]
    silent_s: Amount


class _Answer(msgspec.Struct, array_like=True, frozen=True, tag="answer"):
    name: Name
    to: Name
    to_run: Number
    file_epoch: Number
    lists: Number
    lines: list[_AnswerLine]
    ended: list[Name]
    refused: Annotated[str, msgspec.Meta(max_length=32)]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Ask | _Answer)


def _bytes(mask: int) -> bytes:
    return mask.to_bytes((mask.bit_length() + 7) // 8, "little")


def close(seal: Seal, message: Ask | Answer) -> Iterator[bytes]:
    """Encode a message into sealed datagrams."""
    for begin in range(0, max(1, len(message.lines)), MAX_LINES):
        lines = message.lines[begin : begin + MAX_LINES]
        if isinstance(message, Ask):
            ask_lines = [
                _AskLine(one.budget, one.number, _bytes(one.claims), *one[3:]) for one in lines
                if isinstance(one, AskLine)
            ]  # fmt: skip
            encoded: _Ask | _Answer = _Ask(
                message.name, message.run, message.epoch, message.file_epoch, message.lists, ask_lines,
                list(message.ended[:_MAX_ENDED]), message.leaving,
            )  # fmt: skip
        else:
            answer_lines = [
                _AnswerLine(one.budget, one.number, _bytes(one.granted), _bytes(one.taken), *one[4:])
                for one in lines if isinstance(one, AnswerLine)
            ]  # fmt: skip
            encoded = _Answer(
                message.name, message.to, message.to_run, message.file_epoch, message.lists, answer_lines,
                list(message.ended[:_MAX_ENDED]), message.refused,
            )  # fmt: skip
        yield seal.sign(_ENCODER.encode(encoded), HEAD)


def open_(seal: Seal, data: bytes) -> Ask | Answer:
    """Decode a sealed datagram. RefusedDatagramError where it is not a valid one of this fleet."""
    try:
        raw = _DECODER.decode(seal.verify(data, HEAD))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise RefusedDatagramError("malformed") from None

    def mask(content: bytes) -> int:
        return int.from_bytes(content, "little")

    if isinstance(raw, _Ask):
        ask_lines = tuple(
            AskLine(one.budget, one.number, mask(one.claims), one.hold, one.whole, one.wants, one.weight)
            for one in raw.lines
        )
        return Ask(
            raw.name, raw.run, raw.epoch, raw.file_epoch, raw.lists, ask_lines, tuple(raw.ended), raw.leaving
        )
    answer_lines = tuple(
        AnswerLine(
            one.budget, one.number, mask(one.granted), mask(one.taken), one.whole, one.target, one.turn,
            one.silent_s,
        )
        for one in raw.lines
    )  # fmt: skip
    answer = Answer(raw.name, raw.to, raw.to_run, raw.file_epoch, raw.lists, answer_lines, tuple(raw.ended))
    return replace(answer, refused=raw.refused)
