"""Every order of counting, gossip, crash, restart and split in a fleet of two or three, up to a depth."""

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
    """One member with its disk; a step each for what can happen to it."""

    def __init__(self, number: int, peers: int) -> None:
        self.number, self.place = number, ("m", number)
        self.peers = tuple(("m", n) for n in range(peers) if n != number)
        self.disk: tuple[int, int, list[Entry]] = (number + 1, 0, [])  # life, version, lines
        self.boot = 0
        self.start(0.0)

    def start(self, now: float) -> None:
        life, version, lines = self.disk
        self.boot += 1
        counts = Counts([KEY], 4, life, f"m{self.number}")
        counts.join(life, f"m{self.number}", 0, version, lines)
        plan = Plan(self.peers, 0.25, 4, Timing(2.5, 5, 100, 1), 0.1)
        me = Identity(f"m{self.number}", life, self.boot, self.number * 100 + self.boot)
        self.fleet = Gossip(me, plan, counts, SEAL, now, random.Random(self.number))
        self.counted = 0

    def count(self) -> None:
        counts = self.fleet.counts
        entry = counts.add(0, 1, 0)
        self.disk = (counts.own.id, entry.version, [entry])


def gossip(members: list[Member], at: int, now: float, cut: bool) -> None:
    """One round of one member and all that it sets off; over the cut nothing arrives."""
    waiting: list[tuple[Member, OutgoingDatagrams]] = [(members[at], members[at].fleet.tick(now))]
    for _ in range(40):
        if not waiting:
            return
        source, out = waiting.pop(0)
        for data, (_, number) in out:
            if not (cut and (number == 0) != (source.number == 0)):
                there = members[number]
                waiting.append((there, there.fleet.receive(data, source.place, now)))
        waiting = [one for one in waiting if one[1]]


def courses(members: int, depth: int) -> Iterator[tuple[str, ...]]:
    steps = [f"count{i}" for i in range(members)] + [f"gossip{i}" for i in range(members)]
    steps += ["crash0", "empty0", "cut"]

    def further(course: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
        if len(course) == depth:
            yield course
            return
        for step in steps:
            if not course or step != course[-1] or step.startswith("count"):
                yield from further((*course, step))

    yield from further(())


def play(number: int, course: tuple[str, ...]) -> None:
    members = [Member(i, number) for i in range(number)]
    truth, lives, now, cut, lost = 0, 100, 0.0, False, 0
    for step in course:
        now += 0.3
        what, who = step.rstrip("0123456789"), int(step[-1]) if step[-1].isdigit() else 0
        if what == "count":
            members[who].count()
            truth += 1
        elif what == "gossip":
            gossip(members, who, now, cut)
        elif what == "cut":
            cut = not cut
        else:
            heard = max(
                [m.fleet.counts.incarnations[members[0].disk[0]].count[0] for m in members[1:]
                 if members[0].disk[0] in m.fleet.counts.incarnations], default=0)  # fmt: skip
            if what == "empty":
                lost += members[0].fleet.counts.own.count[0] - heard
                lives += 1
                members[0].disk = (lives, 0, [])
                members[0].boot = 0
            members[0].start(now)
        for member in members:
            assert member.fleet.counts.total[0] <= truth, course
    for _ in range(6):  # whole again: all agree, on all that was not lost with a disk
        for at in range(number):
            now += 0.25
            gossip(members, at, now, False)
    for member in members:
        assert member.fleet.counts.total[0] == truth - lost, (course, truth, lost)
        assert not member.fleet.counts_uncertain and not member.fleet.new_incarnation_reason


def test_every_course_of_two_and_three_members_ends_in_the_same_right_counts() -> None:
    played = 0
    for members, depth in ((2, DEPTH), (3, DEPTH - 1)):
        for course in courses(members, depth):
            if sum(step.startswith("count") for step in course):
                play(members, course)
                played += 1
    assert played > 8000
