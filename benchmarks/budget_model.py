"""Model checks the leases that divide budgets, on the real state machines rather than on a copy.

    python -m benchmarks.budget_model [--quick] [--walk STEPS]

Explores all interleavings of asks, deliveries (late, twice, never), crashes with and without the state
folder, and steps of time under drifting clocks, for three members: each `Scope` breadth first to its depth.
States that are equal but for the names of slices, and of members with equal clocks, are visited once. The
invariant: in no state do two members use the same slice. Then come mutants, each with one rule left out: the
shortest run that breaks the invariant is printed as a message chart. Last come seeded random walks of the
same moves. The last line of output is JSON; exits with 1 if the invariant breaks or a mutant is not caught.
"""

from __future__ import annotations

import argparse
import contextlib
import itertools
import json
import random
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple
from unittest import mock

from mountgauge.budgets import timing
from mountgauge.budgets.grants import GrantRecord, Grants, Holder
from mountgauge.budgets.leases import Leases, at_least

NAMES = ("a", "b", "c")
LEASE = 2.0  # steps of time
DRIFT = 0.25
RATES = {"a": 1 - DRIFT, "b": 1 + DRIFT, "c": 1 + DRIFT}  # of the members' clocks, relative to true time


class Scope(NamedTuple):
    """Bounds of an exploration."""

    slices: int
    depth: int  # moves
    asks: int = 1  # at most, of one process run
    askers: str = "abc"  # members that may ask
    crashes: int = 0
    ticks: int = 0
    late: bool = False  # answers may be delayed


FULL = {  # the first two have no further states before their depth is reached: they are explored completely
    "one ask each, two clocks, time": Scope(1, 12, askers="ab", ticks=4, late=True),
    "one ask each, a crash": Scope(1, 14, askers="ab", crashes=1, ticks=1),
    "one slice, two asks, a crash, time": Scope(1, 7, asks=2, crashes=1, ticks=3),
    "two slices, all moves": Scope(2, 5, asks=2, crashes=1, ticks=4, late=True),
}
QUICK = {
    "one ask each, two clocks, time": Scope(1, 12, askers="ab", ticks=3),
    "two slices, all moves": Scope(2, 3, asks=2, crashes=1, ticks=4, late=True),
}
WALK = Scope(2, 60, asks=8, crashes=3, ticks=20, late=True)


class Ask(NamedTuple):
    """A holder's ask in transit to the voters."""

    holder: Holder
    number: int
    mask: int


class Reply(NamedTuple):
    """A voter's answer in transit to the holder."""

    voter: str
    holder: Holder
    number: int
    granted: int


class Node:
    """One member: its state as a voter and as a holder, and its disk."""

    __slots__ = ("disk", "grants", "keys", "leases", "run")

    def __init__(self, run: int, grants: Grants, leases: Leases, disk: tuple[GrantRecord, ...]) -> None:
        self.run, self.grants, self.leases, self.disk = run, grants, leases, disk
        self.keys: dict[Any, Any] = {}  # cached keys of its state, by time and renaming

    def copy(self) -> Node:
        """A copy whose changes do not affect this state."""
        old, mine = self.grants, self.leases
        grants = Grants(old.slices, old.drift, old.silent_until, dict(old.grants_by_holder), dict(old.newest))
        voted = {voter: dict(one) for voter, one in mine.voted.items()}
        leases = Leases(
            mine.lease, mine.drift, mine.number, mine.mask, dict(mine.asked), dict(mine.still_claimed), voted
        )
        return Node(self.run, grants, leases, self.disk)


class World:
    """One state. `sent` holds every message ever sent: each may arrive at any time, repeatedly, or never."""

    __slots__ = ("crashes", "nodes", "now", "sent", "slices")

    def __init__(self, slices: int) -> None:
        self.now, self.slices = 0.0, slices
        self.crashes = 0
        self.sent: frozenset[Any] = frozenset()
        self.nodes = {name: Node(1, Grants(slices, DRIFT), Leases(LEASE, DRIFT), ()) for name in NAMES}

    def copy(self) -> World:
        """A copy that shares its nodes with this state until they are changed."""
        found = World.__new__(World)
        found.now, found.crashes, found.sent, found.slices = self.now, self.crashes, self.sent, self.slices
        found.nodes = dict(self.nodes)
        return found

    def change(self, name: str) -> Node:
        """Replace the member by a copy that may be changed, and return it."""
        node = self.nodes[name] = self.nodes[name].copy()
        return node

    def clock(self, name: str) -> float:
        """The time by the member's own clock."""
        return self.now * RATES[name]

    def broken(self) -> bool:
        """Whether two members hold the same slice."""
        held = [node.leases.held(self.clock(name), NAMES) for name, node in self.nodes.items()]
        return bool(at_least(held, 2))

    # Moves: each returns the next state

    def moves(self, scope: Scope) -> Iterator[tuple[str, World]]:
        """The possible next states, each with its line of the message chart."""
        for name in scope.askers:
            node = self.nodes[name]
            if node.leases.number < scope.asks:
                for mask in range(1 << self.slices):
                    if mask or node.leases.mask:
                        yield f"{name}{node.run} asks for {mask:0{self.slices}b}", self.ask(name, mask)
        for message in self.sent:
            if isinstance(message, Ask):
                who = f"{message.holder.name}{message.holder.run}"
                for voter in NAMES:
                    if (after := self.deliver_ask(voter, message, False)) is not None:
                        yield f"{who} --ask {message.number}--> {voter}, answered at once", after
                    if scope.late and (after := self.deliver_ask(voter, message, True)) is not None:
                        yield f"{who} --ask {message.number}--> {voter}, the answer is late", after
            elif (after := self.deliver_reply(message)) is not None:
                holder = message.holder
                yield f"{message.voter} --answer {message.number}--> {holder.name}{holder.run}", after
        if self.crashes < scope.crashes:
            for name in NAMES:
                for kept in (True, False):
                    yield f"{name} crashes, folder {'kept' if kept else 'lost'}", self.crash(name, kept)
        if self.now < scope.ticks:
            after = self.copy()
            after.now += 1
            yield f"time {after.now:g}", after

    def ask(self, name: str, mask: int) -> World:
        """A member asks for the slices of this mask and drops the others."""
        after = self.copy()
        node = after.change(name)
        node.leases.drop(node.leases.mask & ~mask)
        node.leases.claim(mask)
        number, claimed = node.leases.ask(after.clock(name))
        after.sent |= {Ask(Holder(name, node.run), number, claimed)}
        return after

    def deliver_ask(self, voter: str, ask: Ask, late: bool) -> World | None:
        """The voter answers an ask; None if it has already received it or a newer one."""
        if ask.number <= self.nodes[voter].grants.newest.get(ask.holder, 0):
            return None
        after = self.copy()
        node = after.change(voter)
        grant = node.grants.ask(ask.holder, ask.number, ask.mask, LEASE, after.clock(voter))
        assert grant is not None
        if grant.written is not None:
            write(node, grant.written)
        reply = Reply(voter, ask.holder, ask.number, grant.granted)
        if late:
            after.sent |= {reply}
            return after
        return after.deliver_reply(reply) or after

    def deliver_reply(self, reply: Reply) -> World | None:
        """The holder receives an answer; None if it changes nothing."""
        node = self.nodes[reply.holder.name]
        if node.run != reply.holder.run or not reply.granted:
            return None
        after = self.copy()
        after.change(reply.holder.name).leases.answered(reply.voter, reply.number, reply.granted)
        return after

    def crash(self, name: str, kept: bool) -> World:
        """The process is killed and restarted, with its state folder or without it."""
        after = self.copy()
        after.crashes += 1
        old = after.nodes[name]
        disk = old.disk if kept else ()
        restored = Grants.restored(self.slices, DRIFT, after.clock(name), kept, disk, LEASE)
        after.nodes[name] = Node(old.run + 1, restored, Leases(LEASE, DRIFT), disk)
        return after

    # Equal states

    def key(self) -> Any:
        """Equal for states that differ only in names of slices, and of members with equal clocks."""
        renamings = [dict(zip(NAMES, names, strict=True)) for names in _RENAMINGS]
        slice_orders = list(itertools.permutations(range(self.slices)))
        return min(self._key(name, order) for name in renamings for order in slice_orders)

    def _key(self, name: dict[str, str], slice_order: tuple[int, ...]) -> Any:
        def mask(one: int) -> int:
            return sum(1 << slice_order[bit] for bit in range(self.slices) if one >> bit & 1)

        def holder(one: Holder) -> tuple[str, int]:
            return name[one.name], one.run

        nodes = [self._node_key(member, name, slice_order) for member in NAMES]
        sent = sorted(
            (0, "", holder(one.holder), one.number, mask(one.mask)) if isinstance(one, Ask)
            else (1, name[one.voter], holder(one.holder), one.number, mask(one.granted))
            for one in self.sent
        )  # fmt: skip
        return tuple(sorted(nodes)), tuple(sent), self.crashes, self.now

    def _node_key(self, member: str, name: dict[str, str], slice_order: tuple[int, ...]) -> Any:
        node, now = self.nodes[member], self.clock(member)
        cache_key = self.now, name["a"], name["b"], slice_order
        if (found := node.keys.get(cache_key)) is not None:
            return found
        mine = node.leases

        def mask(one: int) -> int:
            return sum(1 << slice_order[bit] for bit in range(self.slices) if one >> bit & 1)

        grants = sorted(
            (name[one.name], one.run, mask(p.mask), mask(p.on_disk), round(p.until - now, 3))
            for one, p in node.grants.grants_by_holder.items() if p.until > now
        )  # fmt: skip
        voted = sorted(
            (name[voter], number, mask(granted))
            for voter, votes in mine.voted.items() for number, granted in votes.items()
        )  # fmt: skip

        found = node.keys[cache_key] = (
            name[member], node.run, tuple(grants), round(max(0.0, node.grants.silent_until - now), 3),
            tuple(sorted((name[one.name], one.run, number) for one, number in node.grants.newest.items())),
            mine.number, mask(mine.mask), tuple((n, mask(one)) for n, one in mine.still_claimed.items()),
            tuple(sorted((n, round(at - now, 3)) for n, at in mine.asked.items() if at > now)), tuple(voted),
            tuple((name[one.holder.name], one.holder.run, mask(one.mask)) for one in node.disk),
        )  # fmt: skip
        return found


_RENAMINGS = [
    names for names in itertools.permutations(NAMES)
    if all(RATES[one] == RATES[other] for one, other in zip(NAMES, names, strict=True))
]  # fmt: skip


def write(node: Node, one: GrantRecord) -> None:
    """Record a grant on disk, as the voter's caller does before it sends the answer."""
    node.disk = (*node.disk, one)


class Exploration(NamedTuple):
    """The result of an exploration."""

    states: int
    depth: int  # explored completely
    chart: tuple[str, ...]  # the shortest run that breaks the invariant; empty: none


def explore(scope: Scope, max_states: int) -> Exploration:
    """Explores breadth first, to the scope's depth or this number of states."""
    start = World(scope.slices)
    seen = {start.key()}
    queue: deque[tuple[World, int, Any]] = deque([(start, 0, ())])
    max_depth = 0
    while queue:
        world, depth, chart = queue.popleft()
        max_depth = max(max_depth, depth)
        if depth == scope.depth:
            continue
        for move, after in world.moves(scope):
            if after.broken():
                return Exploration(len(seen), depth + 1, _numbered((*_flat(chart), move)))
            if (key := after.key()) not in seen:
                seen.add(key)
                queue.append((after, depth + 1, (chart, move)))
        if len(seen) >= max_states:
            return Exploration(len(seen), max_depth - 1, ())
    return Exploration(len(seen), max_depth, ())


def _flat(chart: Any) -> tuple[str, ...]:
    lines: list[str] = []
    while chart:
        chart, move = chart
        lines.append(move)
    return tuple(reversed(lines))


def _numbered(lines: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(f"{number:2d}. {line}" for number, line in enumerate(lines, 1))


def walk(steps: int, seed: int) -> tuple[int, str]:
    """Makes random moves, from the start again after each finished walk; their number, and the run that broke
    the invariant, if any.
    """
    rng = random.Random(seed)
    done = 0
    while done < steps:
        world, chart = World(WALK.slices), []
        for _ in range(WALK.depth):
            moves = list(world.moves(WALK))
            if not moves:
                break
            move, world = rng.choice(moves)
            chart.append(move)
            done += 1
            if world.broken():
                return done, "\n".join(chart)
    return done, ""


# Mutants, each without one rule: the exploration must find the violation that the rule prevents.


def _skip_write(node: Node, one: GrantRecord) -> None:
    pass


def _ignore_drift(span: float, drift: float) -> float:
    return span


def _no_silence(longest: float, drift: float) -> float:
    return 0.0


def _half(voters: int) -> int:
    return voters // 2


def _drop_mask_only(self: Leases, mask: int) -> None:
    self.mask &= ~mask


def _lease_from_answer(self: World, reply: Reply) -> World | None:
    node = self.nodes[reply.holder.name]
    if node.run != reply.holder.run or not reply.granted:
        return None
    after = self.copy()
    mine = after.change(reply.holder.name).leases
    if reply.number in mine.asked:
        mine.asked[reply.number] = after.clock(reply.holder.name) + timing.used_for(LEASE, DRIFT)
    mine.answered(reply.voter, reply.number, reply.granted)
    return after


@contextlib.contextmanager
def _all_of(*patches: contextlib.AbstractContextManager[Any]) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for one in patches:
            stack.enter_context(one)
        yield


MUTANTS: dict[str, tuple[Callable[[], contextlib.AbstractContextManager[Any]], Scope]] = {
    "skip-the-durable-write": (
        lambda: mock.patch(f"{__name__}.write", _skip_write), Scope(1, 8, askers="ab", crashes=1)
    ),
    "forget-drift": (
        lambda: _all_of(
            mock.patch.object(timing, "used_for", _ignore_drift),
            mock.patch.object(timing, "held_for", _ignore_drift),
        ),
        Scope(1, 9, askers="ab", ticks=2),
    ),
    "answer-after-a-lost-folder": (
        lambda: mock.patch.object(timing, "silence", _no_silence), Scope(1, 8, askers="ab", crashes=1)
    ),
    "majority-less-one": (lambda: mock.patch.object(timing, "majority", _half), Scope(1, 6, askers="ab")),
    "act-on-what-was-given-back": (
        lambda: mock.patch.object(Leases, "drop", _drop_mask_only), Scope(1, 10, asks=2, askers="ab")
    ),
    "count-the-lease-from-the-answer": (
        lambda: mock.patch.object(World, "deliver_reply", _lease_from_answer),
        Scope(1, 10, askers="ab", ticks=2, late=True),
    ),
}  # fmt: skip


def mutants(max_states: int = 300_000) -> dict[str, Exploration]:
    """Explores each mutant with one slice, which is enough to break a lease."""
    found = {}
    for name, (mutate, scope) in MUTANTS.items():
        with mutate():
            found[name] = explore(scope, max_states)
    return found


def main() -> int:
    """Explore, walk and print the results; 1 if the invariant broke or a mutant was not caught."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--walk", type=int, default=1_000_000)
    args = parser.parse_args()
    scopes, steps = (QUICK, 5_000) if args.quick else (FULL, args.walk)
    began = time.monotonic()
    clean = {}
    for name, scope in scopes.items():
        clean[name] = one = explore(scope, 3_000_000)
        print(f"unchanged, {name}: {one.states} states, all to depth {one.depth}", flush=True)
        print("".join(f"    {line}\n" for line in one.chart), end="")
    caught = mutants()
    for name, one in caught.items():
        outcome = f"broken after {len(one.chart)} moves" if one.chart else "NOT CAUGHT"
        print(f"{name}: {outcome}", flush=True)
        print("".join(f"    {line}\n" for line in one.chart), end="")
    walked, violation = walk(steps, 1)
    print(violation)
    found = {
        "states": sum(one.states for one in clean.values()), "walk_steps": walked,
        "depths": {name: one.depth for name, one in clean.items()},
        "broken": sum(bool(one.chart) for one in clean.values()) + bool(violation),
        "mutants": len(caught), "mutants_caught": sum(bool(one.chart) for one in caught.values()),
        "seconds": round(time.monotonic() - began, 1),
    }  # fmt: skip
    print(json.dumps(found))
    return 0 if not found["broken"] and found["mutants"] == found["mutants_caught"] else 1


if __name__ == "__main__":
    sys.exit(main())
