"""Datagrams that are forged, replayed, truncated, oversized or under old keys: dropped, counted and cheap."""

from __future__ import annotations

import random
from typing import Any

import msgspec
from blake3 import blake3
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.fleet_model import World
from mountgauge.tenants.counts import Counts
from mountgauge.tenants.gossip import Gossip, Identity, Plan
from mountgauge.tenants.members import Timing
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES, Datagram, RefusedDatagramError, Seal, Window

settings.register_profile("fleet", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("fleet")
OLD, NEW = "the key of last year", "the key of this year"
PEER = ("127.0.0.1", 2)


def member(seal: Seal, incarnation: int = 1, peers: tuple[tuple[str, int], ...] = (PEER,)) -> Gossip:
    plan = Plan(peers, 0.25, 4, Timing(2.5, 5, 100, 5), 0.1)
    name = f"m{incarnation}"
    counts = Counts([5, 6], 8, incarnation, name)
    return Gossip(Identity(name, incarnation, 1, incarnation * 7), plan, counts, seal, 0.0, random.Random(1))


def signed_datagram(seal: Seal, **more: Any) -> bytes:
    fields: dict[str, Any] = {"name": "m2", "life": 2, "boot": 1, "run": 14, "seq": 1, "beat": 1, **more}
    return seal.encode(Datagram(**fields))


def test_a_refused_datagram_is_counted_and_changes_nothing() -> None:
    seal, other = Seal("f", [NEW]), Seal("f", [OLD])
    fleet = member(seal)
    valid = signed_datagram(seal)
    forged = valid[:-1] + bytes([valid[-1] ^ 1])
    empty = seal.encode(Datagram(name="m2", life=2, boot=1, run=14, seq=1, beat=1))[:4]
    head = valid[:4] + b"\xc1" * 20
    signed_garbage = head + blake3(head, key=seal._keys[valid[2:4]]).digest(16)
    for data, reason in (
        (forged, "forged"), (valid[:-20], "forged"), (valid[:8], "malformed"), (b"", "malformed"),
        (empty, "malformed"), (signed_garbage, "malformed"), (signed_datagram(other), "unknown-key"),
        (signed_datagram(Seal("another fleet", [NEW])), "unknown-key"),
        (valid + b"\0" * MAX_DATAGRAM_BYTES, "oversized"),
        (signed_datagram(seal, life=1, run=7), "own"),
    ):  # fmt: skip
        before = fleet.dropped[reason]
        assert fleet.receive(data, PEER, 1.0) == []
        assert fleet.dropped[reason] == before + 1, reason
    assert set(fleet.counts.incarnations) == {1} and len(fleet.members.all) == 1 and not fleet.contacts
    fleet.receive(valid, PEER, 1.0)
    assert len(fleet.members.all) == 2
    fleet.receive(valid, PEER, 1.1)
    assert fleet.dropped["replayed"] == 1
    fleet.receive(signed_datagram(seal, boot=2, run=15), PEER, 1.2)  # started again
    fleet.receive(signed_datagram(seal, seq=9), PEER, 1.3)
    assert fleet.dropped["old-run"] == 1


def test_keys_are_rotated_without_a_gap() -> None:
    """First all accept both keys, then all sign with the new one, then the old one goes: none is dropped."""
    world = World({"a": None}, 3)
    world.seal = Seal("virtual", [OLD])
    world.add("x", "y", "z")
    world.load({"a": 20}, 20)
    for keys in ([OLD, NEW], [NEW, OLD], [NEW]):
        for node in world.up:
            node.fleet.seal = Seal("virtual", keys)
            world.until(world.time + 1)
    world.until(21)
    assert world.until_exact(3) < 3
    assert all(not n.fleet.dropped["unknown-key"] and not n.fleet.dropped["forged"] for n in world.up)
    world.up[0].fleet.seal = Seal("virtual", [OLD])
    world.until(world.time + 2)
    assert world.up[1].fleet.dropped["unknown-key"] > 3


@given(st.lists(st.integers(0, 3000), max_size=80))
def test_a_window_accepts_each_number_once_and_none_too_old(numbers: list[int]) -> None:
    window, seen, newest = Window(1), set[int](), -1
    for number in numbers:
        accepted = window.accept(number)
        assert accepted == (number not in seen and (number > newest or newest - number < 512))
        if accepted:
            seen.add(number)
            newest = max(newest, number)


small = st.integers(0, (1 << 63) - 1)
leaf = st.one_of(small, st.text(max_size=8), st.booleans(), st.none())
fuzz = st.recursive(leaf, lambda c: st.lists(c, max_size=8))


@given(st.lists(fuzz, max_size=18))
def test_a_signed_body_of_any_shape_does_no_harm(body: list[Any]) -> None:
    """A member of another version, or a defective one, might send it: what is not a datagram is refused."""
    seal = Seal("f", [NEW])
    fleet = member(seal)
    head = b"M1" + seal._first + msgspec.msgpack.encode(body)
    fleet.receive(head + blake3(head, key=seal._keys[seal._first]).digest(16), PEER, 1.0)
    fleet.tick(2.0)


digests = st.lists(st.tuples(small, st.just("w"), small, small, st.booleans(), small, small), max_size=6)
entries = st.lists(st.tuples(st.sampled_from([5, 6, 77]), *[small] * 3), max_size=5)
datagrams = st.fixed_dictionaries({
    "life": st.sampled_from([1, 2, 3]), "boot": st.integers(0, 3), "run": st.integers(1, 9), "beat": small,
    "left": st.booleans(), "echo_run": st.sampled_from([0, 7]), "echo_seq": small, "echo_ms": small,
    "past": small, "past_lives": small, "want": st.none() | st.tuples(small, small), "words": digests,
    "deltas": st.lists(st.tuples(st.integers(1, 4), st.just("d"), small, small, entries), max_size=3),
    "tombs": st.lists(st.tuples(st.integers(1, 4), small, small), max_size=3),
    "page": st.none() | st.tuples(small, small, st.integers(0, 3), st.integers(0, 3),
                                  st.lists(st.tuples(small, small), max_size=3), st.just([])),
})  # fmt: skip


@given(st.lists(datagrams, max_size=6))
def test_members_that_lie_cannot_break_one_or_make_it_send_too_much(received: list[dict[str, Any]]) -> None:
    seal = Seal("f", [NEW])
    fleet = member(seal)
    for seq, fields in enumerate(received):
        data = msgspec.msgpack.encode(msgspec.convert(
            {"name": "x", "seq": seq, **fields}, type=dict[str, Any]))  # fmt: skip
        ordered = [msgspec.msgpack.decode(data).get(f, d) for f, d in _FIELDS]
        head = b"M1" + seal._first + msgspec.msgpack.encode(ordered)
        out = fleet.receive(head + blake3(head, key=seal._keys[seal._first]).digest(16), PEER, 1.0 + seq)
        assert len(out) <= 10 and all(len(one) <= MAX_DATAGRAM_BYTES for one, _ in out)
        if fleet.new_incarnation_reason:
            fleet.start_incarnation(100 + seq, 200 + seq, 1.0 + seq)
        for data, _ in fleet.tick(1.5 + seq):
            assert len(data) <= MAX_DATAGRAM_BYTES
    assert len(fleet.counts.keys) <= 8


_FIELDS = [
    (name, default if default is not msgspec.NODEFAULT else (field.default_factory() if field.default_factory
     is not msgspec.NODEFAULT else 0))
    for field in msgspec.structs.fields(Datagram) for name, default in [(field.name, field.default)]
]  # fmt: skip


def test_a_decoded_datagram_equals_the_encoded_one() -> None:
    seal = Seal("f", [NEW, OLD])
    sent = Datagram(name="m2", life=2, boot=1, run=14, seq=1, beat=1, want=(3, 4), tombs=[(1, 2, 3)])
    assert seal.decode(seal.encode(sent)) == sent
    assert Seal("f", [OLD, NEW]).decode(seal.encode(sent)) == sent
    try:
        Seal("f", [OLD]).decode(seal.encode(sent))
        raise AssertionError("decoded without its key")
    except RefusedDatagramError as refused:
        assert str(refused) == "unknown-key"
