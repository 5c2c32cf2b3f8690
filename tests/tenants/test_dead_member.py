"""A member that died before all its counts were received: the others must agree on what reached any."""

from __future__ import annotations

import random
from typing import Any

import pytest

from benchmarks.fleet_model import FLUSH, KEY, NetworkFaults, World
from mountgauge.tenants.bounds import convergence_bound
from mountgauge.tenants.counts import Counts, Entry, Mark
from mountgauge.tenants.gossip import Gossip, Identity, Plan
from mountgauge.tenants.gossip.deltas import Deltas
from mountgauge.tenants.gossip.state import Contact, Mismatch
from mountgauge.tenants.members import Timing
from mountgauge.tenants.quota import Quota
from mountgauge.tenants.store import Store
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES, Seal

DELAY, JITTER = 0.02, 0.1  # s
MAX_SPANS_PER_EVENT = 10_000  # a datagram names some twenty incarnations, and is answered by few datagrams
OWNER, HERE, PEER = 1, 2, 3  # incarnations
PEER_ADDRESS = ("10.0.0.3", 1)


@pytest.mark.parametrize(
    ("loss", "seed"), [(0.3, 4), (0.5, 2), (0.5, 10), (0.5, 11), (0.7, 0), (0.7, 1), (0.7, 2), (0.7, 3)]
)
def test_survivors_agree_on_a_member_that_died_before_it_was_received(
    loss: float, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Survivors that hold changes beyond a missing range kept them for themselves, or stood still."""
    _limit_spans_per_event(monkeypatch)
    world = World({"a": Quota(20, 40), "b": None}, seed, NetworkFaults(loss=loss, delay=DELAY, jitter=JITTER))
    world.add("n0", "n1", "n2")
    world.load({"a": 30, "b": 40}, 14)
    world.until(5)
    newcomer = world.start("n3", ("10.0.0.9", 99))
    lifetime = random.Random(seed * 7 + int(loss * 100)).uniform(0.3, 2.0)
    world.until(5 + lifetime)
    newcomer.kill()
    dead = newcomer.fleet.me.incarnation
    world.until(
        world.time + convergence_bound(0.25, loss, DELAY + JITTER, 3, 4, FLUSH, world.timing.gone, ended=1)
    )
    assert len({_mark(node.admission.counts, dead) for node in world.up}) == 1
    world.until(max(world.time, 14))
    world.until(world.time + 12)
    assert len({(node.used("a"), node.used("b")) for node in world.up}) == 1
    assert world.largest <= MAX_DATAGRAM_BYTES


def _limit_spans_per_event(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fail, instead of standing still, if one event of the fleet chooses spans without end."""
    choose, arrive, chosen = Deltas._next_span, World._arrive, 0

    def counted(self: Deltas, *args: Any) -> Any:
        nonlocal chosen
        chosen += 1
        assert chosen <= MAX_SPANS_PER_EVENT
        return choose(self, *args)

    def from_zero(self: World, *args: Any) -> None:
        nonlocal chosen
        chosen = 0
        arrive(self, *args)

    monkeypatch.setattr(Deltas, "_next_span", counted)
    monkeypatch.setattr(World, "_arrive", from_zero)


def _mark(counts: Counts, incarnation: int) -> Mark | None:
    held = counts.incarnations.get(incarnation)
    return held.mark if held is not None else counts.folded.get(incarnation)


def _member(counts: Counts) -> Gossip:
    plan = Plan((PEER_ADDRESS,), 0.25, 4, Timing(2.5, 5.0, 86_400, 5.0), FLUSH)
    return Gossip(Identity("here", HERE, 1, 7), plan, counts, Seal("f", [KEY]), 0.0, random.Random(1))


def _counts(own: int = HERE) -> Counts:
    return Counts([5, 6], 8, own, "here")


def test_changes_beyond_a_missing_range_survive_a_restart(tmp_path: Any) -> None:
    counts = _counts()
    counts.join(OWNER, "owner", 0, 1, [Entry(5, 3, 1, 0)])
    counts.join(OWNER, "owner", 4, 6, [Entry(6, 9, 6, 0)])
    store = Store(tmp_path, 8)
    assert store.save_replicas(counts, [counts.incarnations[OWNER]])
    [(_, _, version, entries)] = [one for one in store.load("here").incarnations if one[0] == OWNER]
    restored = _counts()
    restored.join(OWNER, "owner", 0, version, entries)
    assert restored.incarnations[OWNER].mark == counts.incarnations[OWNER].mark


def test_an_owner_whose_file_lacks_changes_that_a_peer_holds_beyond_a_gap_starts_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Else it would give the versions of those changes to other ones, which the peer would not take."""
    _limit_spans_per_event(monkeypatch)
    peer_counts = Counts([5, 6], 8, PEER, "peer")
    peer_counts.join(HERE, "here", 4, 6, [Entry(6, 9, 6, 0)])
    peer = _member(peer_counts)
    contact = peer.contacts.setdefault(HERE, _contact())
    here = _member(_counts())
    contact.marks[HERE] = here.counts.own.mark
    [deltas] = peer._deltas.batches(contact, [HERE], 60.0, 3)
    here._deltas.join(deltas, 60.0)
    assert here.new_incarnation_reason


def test_counts_are_not_complete_while_a_peer_holds_others_of_a_dead_member_at_the_same_version() -> None:
    """Changes beyond a missing range show in the checksum alone."""
    counts = _counts()
    counts.join(OWNER, "owner", 0, 1, [Entry(5, 3, 1, 0)])
    here = _member(counts)
    here.members.observe(OWNER, "owner", 1, 1, True, 10.0)
    here.members.observe(PEER, "peer", 1, 1, False, 59.0)
    held = counts.incarnations[OWNER].mark
    here.contacts[PEER] = peer = Contact(PEER, reported_at={OWNER: 59.0})
    peer.marks[OWNER] = held
    assert here.sync_gap(60.0) == ""
    peer.marks[OWNER] = Mark(held.version, held.check + 7)
    assert here.sync_gap(60.0) != ""


def _contact() -> Contact:
    contact = Contact(HERE)
    contact.mismatches[HERE] = Mismatch(Mark(0, 0), 0.0)
    return contact
