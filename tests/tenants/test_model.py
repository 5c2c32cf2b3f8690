"""Exhaustive model test: every order of counting, gossip, restart and split up to a depth."""

from __future__ import annotations

import random
from collections.abc import Iterator

from mountgauge.tenants.counts import Counts, Entry
from mountgauge.tenants.gossip import Gossip, Identity, OutgoingDatagrams, Plan
from mountgauge.tenants.members import Timing
from mountgauge.tenants.wire import Seal

SEAL = Seal("model", ["a key of the model's"])
DEPTH = 5
KEY = 5


class Member:
    """One member with its disk."""

    def __init__(self, number: int, peers: int) -> None:
        self.number, self.address = number, ("m", number)
        self.peers = tuple(("m", n) for n in range(peers) if n != number)
        self.disk: tuple[int, int, list[Entry]] = (number + 1, 0, [])  # incarnation, version, entries
        self.boot = 0
        self.start(0.0)

    def start(self, now: float) -> None:
        incarnation, version, entries = self.disk
        self.boot += 1
        counts = Counts([KEY], 4, incarnation, f"m{self.number}")
        counts.join(incarnation, f"m{self.number}", 0, version, entries)
        plan = Plan(self.peers, 0.25, 4, Timing(2.5, 5, 100, 1), 0.1)
        me = Identity(f"m{self.number}", incarnation, self.boot, self.number * 100 + self.boot)
        self.fleet = Gossip(me, plan, counts, SEAL, now, random.Random(self.number))
        self.counted = 0

    def count(self) -> None:
        counts = self.fleet.counts
        entry = counts.add(0, 1, 0)
        self.disk = (counts.own.id, entry.version, [entry])


def gossip(members: list[Member], at: int, now: float, cut: bool) -> None:
    """One round of one member and all answers to it; `cut` separates member 0 from the others."""
    waiting: list[tuple[Member, OutgoingDatagrams]] = [(members[at], members[at].fleet.tick(now))]
    for _ in range(40):
        if not waiting:
            return
        source, out = waiting.pop(0)
        for data, (_, number) in out:
            if not (cut and (number == 0) != (source.number == 0)):
                receiver = members[number]
                waiting.append((receiver, receiver.fleet.receive(data, source.address, now)))
        waiting = [one for one in waiting if one[1]]


def sequences(members: int, depth: int) -> Iterator[tuple[str, ...]]:
    steps = [f"count{i}" for i in range(members)] + [f"gossip{i}" for i in range(members)]
    steps += ["crash0", "empty0", "cut"]

    def extend(sequence: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
        if len(sequence) == depth:
            yield sequence
            return
        for step in steps:
            if not sequence or step != sequence[-1] or step.startswith("count"):
                yield from extend((*sequence, step))

    yield from extend(())


def run(number: int, sequence: tuple[str, ...]) -> None:
    members = [Member(i, number) for i in range(number)]
    truth, next_id, now, cut, lost = 0, 100, 0.0, False, 0
    for step in sequence:
        now += 0.3
        action, target = step.rstrip("0123456789"), int(step[-1]) if step[-1].isdigit() else 0
        if action == "count":
            members[target].count()
            truth += 1
        elif action == "gossip":
            gossip(members, target, now, cut)
        elif action == "cut":
            cut = not cut
        else:
            replicated = max(
                [m.fleet.counts.incarnations[members[0].disk[0]].count[0] for m in members[1:]
                 if members[0].disk[0] in m.fleet.counts.incarnations], default=0)  # fmt: skip
            if action == "empty":
                lost += members[0].fleet.counts.own.count[0] - replicated
                next_id += 1
                members[0].disk = (next_id, 0, [])
                members[0].boot = 0
            members[0].start(now)
        for member in members:
            assert member.fleet.counts.total[0] <= truth, sequence
    for _ in range(6):  # without the cut, all agree on everything that was not lost with a disk
        for at in range(number):
            now += 0.25
            gossip(members, at, now, False)
    for member in members:
        assert member.fleet.counts.total[0] == truth - lost, (sequence, truth, lost)
        assert not member.fleet.counts_uncertain and not member.fleet.new_incarnation_reason


def test_every_sequence_of_steps_ends_in_the_same_correct_counts() -> None:
    ran = 0
    for members, depth in ((2, DEPTH), (3, DEPTH - 1)):
        for sequence in sequences(members, depth):
            if sum(step.startswith("count") for step in sequence):
                run(members, sequence)
                ran += 1
    assert ran > 8000
