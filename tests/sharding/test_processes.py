"""Relays and senders as processes: killed, started anew, behind, cut off, healed. By state and counts."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections import Counter
from pathlib import Path

from mountgauge.sharding.shards import shard_of
from tests.helper import HttpHop, run
from tests.sharding.harness import LIMIT_S, REPLICAS, SHARDS, Fleet, Load, eventually, line

DESTINATIONS = range(40)
RUN_S = 4 * LIMIT_S


async def listed(fleet: Fleet, port: int = 9) -> int:
    """Each destination has an endpoint, and each sender knows those that are placed on it."""
    version = await fleet.discovery.change(*[line(f"e{one}", one, port) for one in DESTINATIONS])
    await eventually(lambda: fleet.in_force(version, fleet.names))
    return version


class Versions:
    """The version of each sender's shards, looked at again and again: each step back is kept."""

    def __init__(self, fleet: Fleet) -> None:
        self.back: list[tuple[str, int, int, int]] = []
        self.looks = 0
        self._fleet = fleet
        self._last: dict[tuple[str, int], int] = {}
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            for name in self._fleet.names:
                for shard, row in (await self._fleet.rows(name)).items():
                    last = self._last.get((name, shard), -1)
                    if row["version"] < last:
                        self.back.append((name, shard, last, row["version"]))
                    self._last[name, shard] = row["version"]
                self.looks += 1
            await asyncio.sleep(0.02)

    def end(self) -> None:
        self._task.cancel()


def test_each_shard_is_placed_on_one_sender_of_each_zone_and_known_there(tmp_path: Path) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            await listed(fleet)
            held: Counter[int] = Counter()
            for name in fleet.names:
                rows = await fleet.rows(name)
                held.update(rows.keys())
                for shard, row in rows.items():
                    assert {fleet.zone(one) for one in row["replicas"]} == {"a", "b"}
                    wanted = sum(shard_of(one, SHARDS) == shard for one in DESTINATIONS)
                    assert row["endpoints"] == wanted and name in row["replicas"]
            assert dict(held) == dict.fromkeys(range(SHARDS), REPLICAS)

    run(main(), RUN_S)


def test_a_message_is_taken_on_where_its_shard_is_placed_and_turned_back_elsewhere(tmp_path: Path) -> None:
    async def main() -> None:
        hop = HttpHop()
        await hop.start()
        async with Fleet(tmp_path) as fleet:
            await listed(fleet, hop.port)
            holders = await fleet.holders(shard_of(7, SHARDS))
            assert len(holders) == REPLICAS
            for name in fleet.names:
                assert await fleet.client(name).hand_in(f"m-{name}", 7) == (name in holders)
            await eventually(lambda: _delivered(hop, {f"m-{name}" for name in holders}))
        await hop.stop()

    run(main(), RUN_S)


async def _delivered(hop: HttpHop, ids: set[str]) -> bool:
    return set(hop.delivered) == ids


def test_a_relay_that_starts_anew_never_makes_a_version_go_back(tmp_path: Path) -> None:
    """It even starts at a discovery that is some versions behind: senders keep what they have."""

    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            old = await listed(fleet)
            versions = Versions(fleet)
            newest = old
            for number in range(5):
                newest = await fleet.discovery.change(line("e7", 7, 1000 + number))
            await eventually(lambda: fleet.in_force(newest, fleet.names))
            relay = fleet.relays["relay-a"]
            await relay.end()
            lines, fleet.discovery.version = dict(fleet.discovery.lines), old
            fleet.discovery.lines["e7"], fleet.discovery.changed["e7"] = line("e7", 7), old
            await relay.start()
            await eventually(lambda: _ready_at(fleet, "relay-a", old))
            await eventually(lambda: _heard_behind(fleet))
            assert await fleet.in_force(newest, fleet.names)
            fleet.discovery.lines, fleet.discovery.version = lines, newest
            fleet.discovery.changed["e7"] = newest
            last = await fleet.discovery.change(line("e8", 8, 2000))
            await eventually(lambda: fleet.in_force(last, fleet.names))
            looks = versions.looks
            await eventually(lambda: _looked(versions, looks + 2 * len(fleet.names)))
            versions.end()
            assert versions.back == []

    run(main(), RUN_S)


async def _looked(versions: Versions, looks: int) -> bool:
    return versions.looks >= looks


async def _ready_at(fleet: Fleet, relay: str, version: int) -> bool:
    page = await fleet.relays[relay].page()
    return page is not None and page["ready"] and page["version"] == version


async def _heard_behind(fleet: Fleet) -> bool:
    """Whether the relay has told one that it is behind."""
    page = await fleet.relays["relay-a"].page()
    return page is not None and page["asks"].get("behind", 0) > 0


def test_a_change_is_in_force_with_one_relay_of_a_zone_killed(tmp_path: Path) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            await listed(fleet)
            page = await fleet.relays["relay-b"].page()
            assert page is not None
            snapshots, whole = page["asks"]["snapshots"], fleet.discovery.calls["whole"]
            load = await Load(fleet).begin()
            await fleet.relays["relay-a"].end()
            version = await fleet.discovery.change(line("e7", 7, 1000), line("e8", 8, state="left"))
            await eventually(lambda: fleet.in_force(version, fleet.names))
            for name in fleet.names:
                # Now and then it looks whether its own zone's is back.
                await eventually(lambda name=name: _asks_at(fleet, name, "relay-b"))  # type: ignore[misc]
                endpoints = {shard: row["endpoints"] for shard, row in (await fleet.rows(name)).items()}
                for shard, count in endpoints.items():
                    left = [one for one in DESTINATIONS if one != 8 and shard_of(one, SHARDS) == shard]
                    assert count == len(left)
            page = await fleet.relays["relay-b"].page()
            assert page is not None and page["asks"]["snapshots"] == snapshots, "deltas and digests do"
            assert fleet.discovery.calls["whole"] == whole, "discovery notices nothing of it"
            assert await load.twice_steady() == {}

    run(main(), RUN_S)


async def _asks_at(fleet: Fleet, name: str, relay: str) -> bool:
    page = await fleet.senders[name].page("/shards")
    return page is not None and page["source"] == relay


def test_a_zone_that_is_cut_off_works_on_and_comes_back_without_a_stampede(tmp_path: Path) -> None:
    async def main() -> None:
        hop = HttpHop()
        await hop.start()
        async with Fleet(tmp_path) as fleet:
            await listed(fleet, hop.port)
            zone_a = [name for name in fleet.names if fleet.zone(name) == "a"]
            zone_b = [name for name in fleet.names if fleet.zone(name) == "b"]
            before = {name: await fleet.relays[name].page() for name in fleet.relays}
            whole = fleet.discovery.calls["whole"]
            cut = [
                way
                for (source, to), way in fleet.ways.items()
                if fleet.zone(source) == "a" and to != "relay-a"
            ]
            for way in cut:
                way.silent = True
            version = await fleet.discovery.change(*[line(f"e{one}", one, hop.port) | {"weight": 2.0}
                                                     for one in DESTINATIONS])  # fmt: skip
            await eventually(lambda: fleet.in_force(version, zone_b))
            await eventually(lambda: _stale(fleet, zone_a))
            assert not await fleet.in_force(version, zone_a[:1]) and not await fleet.in_force(
                version, zone_a[1:]
            )
            name = next(name for name in await fleet.holders(shard_of(7, SHARDS)) if name in zone_a)
            assert await fleet.client(name).hand_in("while-cut", 7)
            await eventually(lambda: _delivered(hop, {"while-cut"}))
            load = await Load(fleet).begin()
            for way in cut:
                way.heal()
            await eventually(lambda: fleet.in_force(version, fleet.names))
            await eventually(lambda: _fresh(fleet, zone_a))
            for relay, was in before.items():
                now = await fleet.relays[relay].page()
                assert was is not None and now is not None
                assert now["asks"]["snapshots"] == was["asks"]["snapshots"], "by deltas alone"
                deltas = now["asks"]["deltas"] - was["asks"]["deltas"]
                assert deltas <= 2 * REPLICAS * SHARDS, "each holder of a shard is told of its change, once"
            assert fleet.discovery.calls["whole"] == whole, "the relay goes on from its version"
            assert await load.twice_steady() == {}
        await hop.stop()

    run(main(), RUN_S)


async def _stale(fleet: Fleet, names: list[str]) -> bool:
    """Whether each of them tells an age that it never has while it is not cut off."""
    pages = [await fleet.senders[name].page() for name in names]
    return all(page is not None and page["sharding"]["staleness_s"] > 5 for page in pages)


async def _fresh(fleet: Fleet, names: list[str]) -> bool:
    pages = [await fleet.senders[name].page() for name in names]
    return all(page is not None and page["sharding"]["staleness_s"] < 4 for page in pages)


def test_a_moved_shards_messages_stay_with_their_sender_to_their_one_end(tmp_path: Path) -> None:
    async def main() -> None:
        hop = HttpHop()
        hop.script = ["full"]
        await hop.start()
        async with Fleet(tmp_path) as fleet:
            await listed(fleet, hop.port)
            shard = shard_of(7, SHARDS)
            holders = await fleet.holders(shard)
            leaving = holders[0]
            assert await fleet.client(leaving).hand_in("old", 7)
            await eventually(lambda: _holds(fleet, leaving, shard, 1))
            members = {name: {"until": 2} if name == leaving else {} for name in fleet.names}
            fleet.write_members(members, epoch=2)
            for relay in fleet.relays.values():
                relay.send(1)  # SIGHUP
            await eventually(lambda: _moved(fleet, shard, leaving))
            row = (await fleet.rows(leaving))[shard]
            assert not row["placed"] and row["messages"] == 1 and row["endpoints"] > 0
            assert list(await fleet.rows(leaving)) == [shard], "of all else it holds nothing any more"
            assert not await fleet.client(leaving).hand_in("late", 7), "new ones are the new replica's"
            now = await fleet.holders(shard)
            assert len(now) == REPLICAS and fleet.zone(now[0]) != fleet.zone(now[1])
            hop.script = ["ok"]
            new = next(name for name in now if name not in holders)
            assert await fleet.client(new).hand_in("new", 7)
            await eventually(lambda: _delivered(hop, {"old", "new"}))
            await eventually(lambda: _holds_nothing(fleet, leaving))
            assert sorted(hop.delivered) == ["new", "old"], "each has one end"
        await hop.stop()

    run(main(), RUN_S)


async def _holds(fleet: Fleet, name: str, shard: int, messages: int) -> bool:
    return (await fleet.rows(name)).get(shard, {}).get("messages") == messages


async def _holds_nothing(fleet: Fleet, name: str) -> bool:
    page = await fleet.senders[name].page("/shards")
    return page is not None and page["shards"] == []


async def _moved(fleet: Fleet, shard: int, leaving: str) -> bool:
    holders = await fleet.holders(shard)
    return leaving not in holders and len(holders) == REPLICAS


def test_a_sender_that_starts_where_no_relay_answers_works_with_its_last_list(tmp_path: Path) -> None:
    async def main() -> None:
        hop = HttpHop()
        await hop.start()
        async with Fleet(tmp_path) as fleet:
            version = await listed(fleet, hop.port)
            name = (await fleet.holders(shard_of(7, SHARDS)))[0]
            await eventually(lambda: _kept(fleet, name))
            for relay in fleet.relays.values():
                await relay.end()
            await fleet.senders[name].end()
            await fleet.senders[name].start()
            assert await fleet.in_force(version, [name])
            assert await fleet.client(name).hand_in("on-its-own", 7)
            await eventually(lambda: _delivered(hop, {"on-its-own"}))
            for relay in fleet.relays.values():
                await relay.start()
            last = await fleet.discovery.change(line("e8", 8, 2000))
            await eventually(lambda: fleet.in_force(last, fleet.names))
        await hop.stop()

    run(main(), RUN_S)


async def _kept(fleet: Fleet, name: str) -> bool:
    """Whether it has written down all its endpoints."""
    kept = fleet.folder / f"state-{name}" / "shards"
    rows = (await fleet.rows(name)).values()
    return kept.exists() and kept.read_text().count('"addr"') == sum(row["endpoints"] for row in rows)


def test_nothing_of_sharding_is_imported_where_it_is_off(tmp_path: Path) -> None:
    file = tmp_path / "sender.toml"
    file.write_text("""
        name = "one"
        state = "state"
        resp = { listen = "127.0.0.1:0" }
        class = [{ name = "note", semantics = "idempotent", deadline = 8 }]
        next_hop = [{ id = "h", addr = "127.0.0.1:9", dest = 7 }]
    """)
    (tmp_path / "state").mkdir()
    code = (
        "import asyncio, sys, pathlib\n"
        "import mountgauge.cli, mountgauge.run.platform, mountgauge.run.serve\n"
        "from mountgauge.operator_file import load\n"
        "from mountgauge.run.operator import make\n"
        "async def main():\n"
        "    runtime = make(load(pathlib.Path(sys.argv[1])))\n"
        "    await runtime.start()\n"
        "    runtime.close()\n"
        "asyncio.run(main())\n"
        "print([m for m in sys.modules if m.startswith(('mountgauge.sharding', 'mountgauge.relay'))])"
    )
    command = [sys.executable, "-c", code, str(file)]
    found = subprocess.run(command, capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
