"""Datagrams between members: MessagePack by msgspec, sealed with a keyed BLAKE3 hash.

A datagram is `M1`, two bytes that name the key, the body, and 16 bytes of BLAKE3 over all before, keyed. It
is at most `MAX_DATAGRAM_BYTES` long, which fits the IPv6 minimum MTU (RFC 8200, section 5). Bodies can be
read by who sees them: tenants travel as hashes of their names, counts as they are. What cannot be opened is
dropped for one of the reasons in `RefusedDatagramError`; nothing of it is decoded before its seal has been
found good.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from typing import Annotated

import msgspec
from blake3 import blake3

MAX_DATAGRAM_BYTES = 1200  # bytes of a datagram
MAX_NAME_LENGTH = 32  # characters of a fleet's, member's or tenant's name on the wire
_HEAD = b"M1"
_SEAL = 16
_CONTEXT = "mountgauge 2026-12 fleet datagrams "
_WINDOW = 512  # datagrams behind the newest of a sender that may still come

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Line = tuple[Number, Number, Number, Number]  # key, count, version, demand
Tomb = tuple[Number, Number, Number]  # life, version, check


class Word(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of one member, and how far it has come with its counts."""

    life: Number
    name: Name
    boot: Number
    beat: Number
    left: bool
    version: Number
    check: Number


class Delta(msgspec.Struct, array_like=True, frozen=True):
    """Changes of a life after one version, up to another."""

    life: Number
    name: Name
    after: Number
    upto: Number
    lines: list[Line]


class Page(msgspec.Struct, array_like=True, frozen=True):
    """A part of the sender's past: sums by tenant, then the lives that are in them."""

    past: Number
    lives: Number
    page: Number
    pages: Number
    sums: list[tuple[Number, Number]]
    folded: list[Tomb]


class Datagram(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What one member tells another at a time; new fields stand last and have a default."""

    name: Name
    life: Number
    boot: Number  # how often this life's process has been started
    run: Number  # drawn at this start
    seq: Number
    beat: Number
    left: bool = False
    echo_run: Number = 0  # the newest datagram that came from the receiver, and how long ago
    echo_seq: Number = 0
    echo_ms: Number = 0
    past: Number = 0
    past_lives: Number = 0
    here: Number = 1  # members that the sender counts as present
    want: tuple[Number, Number] | None = None  # a past's name, and from which page on
    words: list[Word] = []
    deltas: list[Delta] = []
    tombs: list[Tomb] = []
    page: Page | None = None
    phase: Number = 4  # how far the sender has come back: 4 is full service


class RefusedDatagramError(ValueError):
    """A datagram that is dropped; the text is the reason that is counted."""


def tenant_key(name: str) -> int:
    """A tenant on the wire: 63 bits of its name's BLAKE3."""
    return int.from_bytes(blake3(name.encode()).digest(8), "big") >> 1


class Seal:
    """Seals with the first key, opens under any. A key is text of 16 characters or more."""

    def __init__(self, fleet: str, keys: Sequence[str]) -> None:
        secrets = [blake3(key.encode(), derive_key_context=_CONTEXT + fleet).digest() for key in keys]
        self._keys = {blake3(secret).digest(2): secret for secret in secrets}
        self._first = blake3(secrets[0]).digest(2)
        self._decoder = msgspec.msgpack.Decoder(Datagram)
        self._encoder = msgspec.msgpack.Encoder()

    def close(self, datagram: Datagram) -> bytes:
        return self.sign(self._encoder.encode(datagram))

    def open(self, data: bytes) -> Datagram:
        """RefusedDatagramError where it is not a datagram of this fleet under a key that holds now."""
        try:
            return self._decoder.decode(self.verify(data))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise RefusedDatagramError("malformed") from None

    def sign(self, content: bytes, head: bytes = _HEAD) -> bytes:
        """`head` tells the kinds of datagrams of one fleet apart; it is sealed with the rest."""
        body = head + self._first + content
        return body + blake3(body, key=self._keys[self._first]).digest(_SEAL)

    def verify(self, data: bytes, head: bytes = _HEAD) -> bytes:
        """What was sealed; RefusedDatagramError where it was not, or not by this fleet."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise RefusedDatagramError("oversized")
        if len(data) < len(head) + 2 + _SEAL or data[: len(head)] != head:
            raise RefusedDatagramError("malformed")
        if (key := self._keys.get(data[2:4])) is None:
            raise RefusedDatagramError("unknown-key")
        body, seal = data[:-_SEAL], data[-_SEAL:]
        if not hmac.compare_digest(blake3(body, key=key).digest(_SEAL), seal):
            raise RefusedDatagramError("forged")
        return body[4:]


class Window:
    """Which datagrams of one sender's run have come: none counts twice (RFC 4303, appendix A2)."""

    __slots__ = ("newest", "run", "seen")

    def __init__(self, run: int) -> None:
        self.run, self.newest, self.seen = run, -1, 0

    def accept(self, seq: int) -> bool:
        if seq > self.newest:
            self.seen = ((self.seen << min(seq - self.newest, _WINDOW)) | 1) & ((1 << _WINDOW) - 1)
            self.newest = seq
            return True
        behind = self.newest - seq
        if behind >= _WINDOW or self.seen >> behind & 1:
            return False
        self.seen |= 1 << behind
        return True
