"""Datagrams between members: MessagePack by msgspec, authenticated with a keyed BLAKE3 hash.

A datagram consists of `M1`, two bytes that identify the key, the body, and 16 bytes of keyed BLAKE3 over
everything before. It is at most `MAX_DATAGRAM_BYTES` long, which fits the IPv6 minimum MTU of 1,280 (RFC
8200, section 5). Bodies are not encrypted: tenants appear as hashes of their names, counts in the clear. A
datagram that is not valid is dropped with one of the reasons in `RefusedDatagramError`, and nothing of it is
decoded before its hash has been verified.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from typing import Annotated

import msgspec
from blake3 import blake3

MAX_DATAGRAM_BYTES = 1200
MAX_NAME_LENGTH = 32  # characters of the name of a fleet, member or tenant on the wire
_HEAD = b"M1"
_HASH_BYTES = 16
_KEY_CONTEXT = "mountgauge 2026-12 fleet datagrams "
_WINDOW = 512  # sequence numbers below the newest that are still accepted

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Line = tuple[Number, Number, Number, Number]  # key, count, version, demand
Tomb = tuple[Number, Number, Number]  # incarnation, version, checksum


class MemberDigest(msgspec.Struct, array_like=True, frozen=True):
    """What the sender holds of one member: its state, and the version and checksum of its counts."""

    life: Number
    name: Name
    boot: Number
    beat: Number
    left: bool
    version: Number
    check: Number


class Delta(msgspec.Struct, array_like=True, frozen=True):
    """Changes of an incarnation after one version, up to another."""

    life: Number
    name: Name
    after: Number
    upto: Number
    lines: list[Line]


class Page(msgspec.Struct, array_like=True, frozen=True):
    """A page of the sender's past: sums by tenant, then the incarnations that are folded into them."""

    past: Number
    lives: Number
    page: Number
    pages: Number
    sums: list[tuple[Number, Number]]
    folded: list[Tomb]


class Datagram(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """One datagram from member to member; new fields go last and have a default."""

    name: Name
    life: Number  # the sender's incarnation
    boot: Number  # how often a process has been started with this incarnation
    run: Number  # random number of this process run
    seq: Number
    beat: Number
    left: bool = False
    echo_run: Number = 0  # the newest datagram received from the receiver
    echo_seq: Number = 0
    echo_ms: Number = 0  # how long ago it was received
    past: Number = 0
    past_lives: Number = 0
    here: Number = 1  # members that the sender counts as present
    want: tuple[Number, Number] | None = None  # request for a past: its identifier and the first page
    words: list[MemberDigest] = []
    deltas: list[Delta] = []
    tombs: list[Tomb] = []
    page: Page | None = None
    phase: Number = 4  # phase of the sender's recovery: 4 is full service


class RefusedDatagramError(ValueError):
    """A datagram is dropped; the text is the reason under which it is counted."""


def tenant_key(name: str) -> int:
    """The key of a tenant on the wire: 63 bits of the BLAKE3 hash of its name."""
    return int.from_bytes(blake3(name.encode()).digest(8), "big") >> 1


class Seal:
    """Signs with the first key and verifies with any. A key is text of 16 characters or more."""

    def __init__(self, fleet: str, keys: Sequence[str]) -> None:
        secrets = [blake3(key.encode(), derive_key_context=_KEY_CONTEXT + fleet).digest() for key in keys]
        self._keys = {blake3(secret).digest(2): secret for secret in secrets}
        self._first = blake3(secrets[0]).digest(2)
        self._decoder = msgspec.msgpack.Decoder(Datagram)
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, datagram: Datagram) -> bytes:
        return self.sign(self._encoder.encode(datagram))

    def decode(self, data: bytes) -> Datagram:
        """RefusedDatagramError if it is not a datagram of this fleet under a current key."""
        try:
            return self._decoder.decode(self.verify(data))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise RefusedDatagramError("malformed") from None

    def sign(self, content: bytes, head: bytes = _HEAD) -> bytes:
        """Adds `head`, which identifies the kind of datagram, the key's identifier and the hash."""
        body = head + self._first + content
        return body + blake3(body, key=self._keys[self._first]).digest(_HASH_BYTES)

    def verify(self, data: bytes, head: bytes = _HEAD) -> bytes:
        """The content that was signed; RefusedDatagramError if the hash is not valid for this fleet."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise RefusedDatagramError("oversized")
        if len(data) < len(head) + 2 + _HASH_BYTES or data[: len(head)] != head:
            raise RefusedDatagramError("malformed")
        if (key := self._keys.get(data[2:4])) is None:
            raise RefusedDatagramError("unknown-key")
        body, digest = data[:-_HASH_BYTES], data[-_HASH_BYTES:]
        if not hmac.compare_digest(blake3(body, key=key).digest(_HASH_BYTES), digest):
            raise RefusedDatagramError("forged")
        return body[4:]


class Window:
    """Anti-replay window: accepts each sequence number of a process run once (RFC 4303, appendix A2)."""

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
