"""The next hop table against a plain reference, and the cost of changing one endpoint."""

from __future__ import annotations

import math
from collections.abc import Mapping
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from mountgauge.core.config import MapUpdate
from mountgauge.core.ports import NextHop
from mountgauge.http1 import State
from mountgauge.next_hops import HttpNextHops
from rillspindle.interface import Entry, ListKind, Readiness, Targets
from tests.helper import run
from tests.test_sender import Bench
from tests.visits import count_all_iterations, count_iterations

STATES = [Readiness.READY] * 4 + [Readiness.DRAINING, Readiness.GONE, Readiness.GONE]


class Reference:
    """A plain implementation of the table: each change copies and iterates over all of it.

    Drains are kept as the complete history of the reports on each location, which each lookup iterates over.
    """

    def __init__(self, balancers: int) -> None:
        self.balancers = balancers
        self.hops: dict[str, NextHop] = {}
        self.listed_hops: dict[str, NextHop] = {}
        self.listed: dict[int, float] = {}
        self.waits: dict[object, float] = {}
        self.detached: set[str] = set()
        self.budget_shares: dict[int, float] = {}
        self.drains: list[tuple[tuple[object, ...], int, float]] = []  # location, version, time
        self.contradicted: dict[tuple[object, ...], float] = {}  # by location: since when
        self.withheld: dict[str, float] = {}
        self.events: list[Targets] = []
        self.closed: list[str] = []

    def apply_update(self, update: MapUpdate, how: ListKind, now: float) -> None:
        before, entries = self.hops, list[Entry]()
        self.hops = {} if how != ListKind.DELTA else dict(before)
        if how != ListKind.DELTA:
            self.listed_hops = {}
            self.withheld = {}
        for hop in update.hops:
            self.withhold(hop, update, now)
            if hop.entry.readiness == Readiness.GONE:
                self.listed_hops.pop(hop.id, None)
            else:
                self.listed_hops[hop.id] = hop
            hop = self.effective(hop)
            old = before.get(hop.id)
            if old is not None and (*old[:3], old.entry.owner) != (*hop[:3], hop.entry.owner):
                entries.append(old.entry._replace(readiness=Readiness.GONE))
                self.drained(location(old), update.version, now)
            entries.append(hop.entry)
            if hop.entry.readiness == Readiness.GONE:
                self.hops.pop(hop.id, None)
            else:
                self.hops[hop.id] = hop
        for hop_id, old in before.items():
            if (new := self.hops.get(hop_id)) is None or new[:3] != old[:3]:
                self.closed.append(hop_id)
            if new is None:
                self.drained(location(old), update.version, now)
        self.waits = {limit: until for limit, until in self.waits.items() if until > now}
        for hop in self.hops.values():
            self.listed[hop.entry.owner] = math.inf
        for dest in self.listed.keys() - {hop.entry.owner for hop in self.hops.values()}:
            self.listed[dest] = min(self.listed[dest], now + 600.0)
            if self.listed[dest] <= now:
                del self.listed[dest]
        self.events.append(Targets(how, update.version, tuple(entries)))

    def drained(self, at_location: tuple[object, ...], version: int, now: float) -> None:
        self.drains.append((at_location, version, now))
        self.contradicted.pop(at_location, None)

    def withhold(self, hop: NextHop, update: MapUpdate, now: float) -> None:
        at_location = location(hop)
        self.withheld.pop(hop.id, None)
        if hop.entry.readiness != Readiness.READY:
            if hop.host:
                self.drained(at_location, update.version, now)
            return
        others = [one for one in update.hops if one.id == hop.id and one.entry.readiness != Readiness.READY]
        if any(location(one) == at_location or not one.host for one in others):
            self.drained(at_location, update.version, now)
            self.contradicted[at_location] = now
        reports = [(version, at) for one, version, at in self.drains if one == at_location]
        recent = bool(reports) and now < max(at for _, at in reports) + 600.0
        older = recent and update.version < max(version for version, _ in reports)
        if older or (at_location in self.contradicted and others):
            until = self.contradicted.setdefault(at_location, now) + 20.0
            if now < until:
                self.withheld[hop.id] = until
                return
        self.drains = [one for one in self.drains if one[0] != at_location]
        self.contradicted.pop(at_location, None)

    def review(self, now: float, version: int) -> None:
        entries = []
        for hop_id in [hop_id for hop_id, until in self.withheld.items() if until <= now]:
            del self.withheld[hop_id]
            hop = self.hops[hop_id] = self.effective(self.listed_hops[hop_id])
            entries.append(hop.entry)
        if entries:
            self.events.append(Targets(ListKind.DELTA, version, tuple(entries)))

    def set_detached(self, detached: set[str], version: int) -> None:
        changed, self.detached = detached ^ self.detached, set(detached)
        entries = []
        for hop_id in sorted(changed):
            if (listed := self.listed_hops.get(hop_id)) is not None:
                hop = self.hops[hop_id] = self.effective(listed)
                entries.append(hop.entry)
                if hop_id in self.detached:
                    self.closed.append(hop_id)
        if entries:
            self.events.append(Targets(ListKind.DELTA, version, tuple(entries)))

    def set_budget_shares(self, shares: Mapping[int, float], version: int) -> None:
        changed = {
            dest
            for dest in {*shares, *self.budget_shares}
            if shares.get(dest) != self.budget_shares.get(dest)
        }
        self.budget_shares = dict(shares)
        entries = []
        for hop_id, listed in self.listed_hops.items():
            if listed.entry.owner in changed:
                hop = self.hops[hop_id] = self.effective(listed)
                entries.append(hop.entry)
        if entries:
            self.events.append(Targets(ListKind.DELTA, version, tuple(entries)))

    def effective(self, hop: NextHop) -> NextHop:
        out = hop.id in self.detached or hop.id in self.withheld
        if out and hop.entry.readiness == Readiness.READY:
            hop = hop._replace(entry=hop.entry._replace(readiness=Readiness.DRAINING))
        if (share := self.budget_shares.get(hop.entry.owner)) is not None:
            hop = hop._replace(entry=hop.entry._replace(scale=share * self.balancers))
        return hop


def location(hop: NextHop) -> tuple[object, ...]:
    return (*hop[:3], hop.entry.owner)


def drawn(rng: Random, max_count: int) -> tuple[NextHop, ...]:
    """A few of 24 ids on 9 destinations: some occur twice, some have moved, some are unreadable entries."""
    found = []
    for _ in range(rng.randint(0, max_count)):
        name = f"h{rng.randrange(24)}"
        if rng.random() < 0.05:
            gone = Entry(Readiness.GONE, 0.0, 0.0, 0, -1, 0, name.encode())
            found.append(NextHop(name, "", 0, gone))
            continue
        owner = rng.randrange(9) if rng.random() < 0.3 else int(name[1:]) % 9
        entry = Entry(rng.choice(STATES), 0.0, float(rng.randint(0, 3)), 0, owner, 0, name.encode())
        found.append(NextHop(name, "127.0.0.1", 1 + (rng.random() < 0.1), entry))
    return tuple(found)


@pytest.mark.parametrize("seed", range(40))
def test_state_events_and_closed_connections_match_the_reference(tmp_path: Path, seed: int) -> None:
    rng, bench, closed = Random(seed), Bench(tmp_path), list[str]()
    sender = bench.sender
    setattr(bench, "close_idle", closed.append)  # noqa: B010
    plain = Reference(sender.rules.balancers)
    first = MapUpdate(0, True, drawn(rng, 20))
    sender.start(first)
    plain.apply_update(first, ListKind.CACHED, bench.time)
    withheld = 0
    for newest in range(1, 120):
        bench.time += rng.choice([0.0, 0.5, 0.5, 5.0, 20.0, 400.0])
        if sender._review_at <= bench.time:
            sender._review(sender._review_at)
        plain.review(bench.time, sender.version)
        version = max(0, newest - rng.choice([0, 0, 0, 1, 10]))  # some lists are older than the known version
        match rng.choice(["delta"] * 6 + ["whole", "set_detached", "set_budget_shares", "wait", "wait"]):
            case "delta":
                update = MapUpdate(version, False, drawn(rng, 4))
                sender.list_changed(update)
                plain.apply_update(update, ListKind.DELTA, bench.time)
            case "whole":
                update = MapUpdate(version, True, drawn(rng, 24))
                sender.list_changed(update)
                plain.apply_update(update, ListKind.FULL, bench.time)
            case "set_detached":
                detached = {f"h{rng.randrange(24)}" for _ in range(rng.randint(0, 4))}
                sender.set_detached(detached)
                plain.set_detached(detached, sender.version)
            case "set_budget_shares":
                shares = {rng.randrange(9): rng.choice([1.0, 2.0, 5.0]) for _ in range(rng.randint(0, 4))}
                sender.set_budget_shares(shares)
                plain.set_budget_shares(shares, sender.version)
            case "wait":
                limit, until = rng.choice([f"h{rng.randrange(24)}", rng.randrange(9)]), rng.uniform(0, 30)
                sender.waits[limit] = plain.waits[limit] = bench.time + until
        events = [event for event in sender._ready if isinstance(event, Targets)]
        assert events == plain.events and closed == plain.closed
        assert list(sender.hops.items()) == list(plain.hops.items())
        assert list(sender.listed_hops.items()) == list(plain.listed_hops.items())
        assert (sender.listed, sender.waits) == (plain.listed, plain.waits)
        assert (sender.detached, sender.budget_shares) == (plain.detached, plain.budget_shares)
        assert sender.table.withheld == plain.withheld
        withheld += len(plain.withheld)
    assert len(plain.closed) > 20 and len(plain.events) > 40 and withheld >= 5


def next_hop(count: int, readiness: Readiness = Readiness.READY, port: int = 1, owner: int = 2) -> NextHop:
    entry = Entry(readiness, 0.0, 0.0, 0, owner, 0, b"h%d" % count)
    return NextHop(f"h{count}", "127.0.0.1", port, entry)


def visited(folder: Path, listed: int) -> list[int]:
    """Elements visited by each of several changes of one endpoint in a list of this size, which was twice as
    long before.
    """
    folder.mkdir()
    bench, visits = Bench(folder), list[object]()
    sender = bench.sender
    sender.start(MapUpdate(0, True, tuple(next_hop(n, owner=n) for n in range(2 * listed))))
    sender.list_changed(MapUpdate(1, True, tuple(next_hop(n, owner=n) for n in range(listed))))
    for n in range(listed):
        sender.waits[n] = bench.time + 60.0
    sender.set_budget_shares({9: 2.0})  # the first call may visit all of them
    count_all_iterations(sender.table, visits)
    sender.waits = count_iterations(sender.waits, visits)
    found = []
    for step in (
        MapUpdate(2, False, (next_hop(5, Readiness.DRAINING, owner=5),)),
        MapUpdate(3, False, (next_hop(5, port=2, owner=5),)),
        MapUpdate(4, False, (next_hop(5, Readiness.GONE, owner=5),)),
        MapUpdate(5, False, (next_hop(3 * listed, owner=3 * listed),)),
        MapUpdate(6, False, (next_hop(7, owner=8),)),
        MapUpdate(7, False, ()),
    ):
        visits.clear()
        sender.list_changed(step)
        found.append(len(visits))
    for shares in ({9: 3.0}, {9: 4.0}, {}):
        visits.clear()
        sender.set_budget_shares(shares)
        found.append(len(visits))
    visits.clear()
    sender.set_detached({"h11"})
    return [*found, len(visits)]


def test_a_change_of_one_endpoint_visits_as_many_elements_of_50000_as_of_1000(tmp_path: Path) -> None:
    few, many = visited(tmp_path / "few", 1_000), visited(tmp_path / "many", 50_000)
    assert few == many and max(many) < 100


def test_the_count_includes_the_visits_of_the_reference() -> None:
    """Otherwise the test above could not fail."""
    visits, plain = list[object](), Reference(1)
    plain.apply_update(
        MapUpdate(0, True, tuple(next_hop(n, owner=n) for n in range(1_000))), ListKind.CACHED, 1.0
    )
    count_all_iterations(plain, visits)
    plain.set_budget_shares({9: 3.0}, 0)
    assert len(visits) == 1_000


def test_elapsed_waits_do_not_accumulate(tmp_path: Path) -> None:
    """Each change checks a bounded number of waits; those that still apply are all kept."""
    bench = Bench(tmp_path)
    sender = bench.sender
    sender.start(MapUpdate(0, True, (next_hop(0),)))
    for n in range(5_000):
        sender.waits[n] = bench.time + (0.5 if n % 5 else 1e6)
    bench.time += 1.0
    active = {limit: until for limit, until in sender.waits.items() if until > bench.time}
    for version in range(80):
        sender.list_changed(MapUpdate(version, False, ()))
        assert active.items() <= sender.waits.items()
    assert len(sender.waits) == 1_000


@pytest.mark.parametrize("listed", [100, 2_000])
def test_closing_a_next_hops_idle_connections_does_not_visit_those_of_others(listed: int) -> None:
    class Idle:
        state, idle_since, got_unsolicited_data = State.IDLE, 0.0, False

        def __init__(self, lost: Any) -> None:
            self.lost = lost

        def close(self) -> None:
            closed.append(self)
            self.lost(self)

    closed, visits = list[Idle](), list[object]()

    async def main() -> None:
        hops = HttpNextHops(SimpleNamespace(), 1.0, 5.0, listed)
        made = []
        for n in range(listed):
            for port in (1, 2):
                hop = next_hop(n, port=port)
                idle = Idle(hops._pool.on_lost((hop.id, hop.host, hop.port)))
                hops._release(SimpleNamespace(call=SimpleNamespace(hop=hop), close_after=False), idle)  # type: ignore[arg-type]
                made.append(idle)
        count_all_iterations(hops, visits)
        count_all_iterations(hops._pool, visits)
        hops.close_idle("h7")
        hops.close_idle("h7")
        assert closed == made[14:16] and len(visits) <= 4 and len(hops._pool._idle) == 2 * listed - 2
        for idle in [one for one in made if one not in closed]:
            idle.close()
        assert hops._pool.is_empty and not hops._pool._keys

    run(main())
