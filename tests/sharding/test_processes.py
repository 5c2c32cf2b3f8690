"""Relays and senders as processes that are killed, restarted, behind or cut off; checks states and counts."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections import Counter
from pathlib import Path

from mountgauge.sharding.shards import shard_of
from tests.helper import HttpHop, run
from tests.sharding.harness import LIMIT_S, REPLICAS, SHARDS, Fleet, LoadCheck, endpoint_line, eventually

DESTINATIONS = range(40)
RUN_S = 4 * LIMIT_S


async def list_endpoints(fleet: Fleet, port: int = 9) -> int:
    """List an endpoint for each destination, and wait until each sender has those placed on it."""
    version = await fleet.discovery.change(*[endpoint_line(f"e{one}", one, port) for one in DESTINATIONS])
    await eventually(lambda: fleet.applied(version, fleet.names))
    return version


class VersionWatch:
    """Polls the versions of each sender's shards, and records each that decreased."""

    def __init__(self, fleet: Fleet) -> None:
        self.decreases: list[tuple[str, int, int, int]] = []
        self.polls = 0
        self._fleet = fleet
        self._last: dict[tuple[str, int], int] = {}
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            for name in self._fleet.names:
                for shard, row in (await self._fleet.rows(name)).items():
                    last = self._last.get((name, shard), -1)
                    if row["version"] < last:
                        self.decreases.append((name, shard, last, row["version"]))
                    self._last[name, shard] = row["version"]
                self.polls += 1
            await asyncio.sleep(0.02)

    def end(self) -> None:
        self._task.cancel()


def test_each_shard_is_placed_on_one_sender_of_each_zone_and_held_there(tmp_path: Path) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            await list_endpoints(fleet)
            held: Counter[int] = Counter()
            for name in fleet.names:
                rows = await fleet.rows(name)
                held.update(rows.keys())
                for shard, row in rows.items():
                    assert {fleet.zone(replica) for replica in row["replicas"]} == {"a", "b"}
                    expected = sum(shard_of(one, SHARDS) == shard for one in DESTINATIONS)
                    assert row["endpoints"] == expected and name in row["replicas"]
            assert dict(held) == dict.fromkeys(range(SHARDS), REPLICAS)

    run(main(), RUN_S)


def test_a_message_is_accepted_where_its_shard_is_placed_and_rejected_elsewhere(tmp_path: Path) -> None:
    async def main() -> None:
        hop = HttpHop()
        await hop.start()
        async with Fleet(tmp_path) as fleet:
            await list_endpoints(fleet, hop.port)
            holders = await fleet.holders(shard_of(7, SHARDS))
            assert len(holders) == REPLICAS
            for name in fleet.names:
                assert await fleet.client(name).submit(f"m-{name}", 7) == (name in holders)
            await eventually(lambda: _delivered(hop, {f"m-{name}" for name in holders}))
        await hop.stop()

    run(main(), RUN_S)


async def _delivered(hop: HttpHop, ids: set[str]) -> bool:
    return set(hop.delivered) == ids


def test_a_restarted_relay_never_decreases_a_version(tmp_path: Path) -> None:
    """The relay even restarts with a discovery that is some versions behind: senders keep their versions."""

    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            old = await list_endpoints(fleet)
            watch = VersionWatch(fleet)
            newest = old
            for number in range(5):
                newest = await fleet.discovery.change(endpoint_line("e7", 7, 1000 + number))
            await eventually(lambda: fleet.applied(newest, fleet.names))
            relay = fleet.relays["relay-a"]
            await relay.end()
            lines, fleet.discovery.version = dict(fleet.discovery.lines), old
            fleet.discovery.lines["e7"], fleet.discovery.changed["e7"] = endpoint_line("e7", 7), old
            await relay.start()
            await eventually(lambda: _ready_at(fleet, "relay-a", old))
            await eventually(lambda: _reported_behind(fleet))
            assert await fleet.applied(newest, fleet.names)
            fleet.discovery.lines, fleet.discovery.version = lines, newest
            fleet.discovery.changed["e7"] = newest
            last = await fleet.discovery.change(endpoint_line("e8", 8, 2000))
            await eventually(lambda: fleet.applied(last, fleet.names))
            polls = watch.polls
            await eventually(lambda: _polled(watch, polls + 2 * len(fleet.names)))
            watch.end()
            assert watch.decreases == []

    run(main(), RUN_S)


async def _polled(watch: VersionWatch, polls: int) -> bool:
    return watch.polls >= polls


async def _ready_at(fleet: Fleet, relay: str, version: int) -> bool:
    page = await fleet.relays[relay].page()
    return page is not None and page["ready"] and page["version"] == version


async def _reported_behind(fleet: Fleet) -> bool:
    """Whether the relay has reported to an asker that it is behind."""
    page = await fleet.relays["relay-a"].page()
    return page is not None and page["asks"].get("behind", 0) > 0


def test_a_change_is_applied_while_the_relay_of_one_zone_is_down(tmp_path: Path) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            await list_endpoints(fleet)
            page = await fleet.relays["relay-b"].page()
            assert page is not None
            snapshots, full_lists = page["asks"]["snapshots"], fleet.discovery.calls["whole"]
            load = await LoadCheck(fleet).begin()
            await fleet.relays["relay-a"].end()
            version = await fleet.discovery.change(
                endpoint_line("e7", 7, 1000), endpoint_line("e8", 8, state="left")
            )
            await eventually(lambda: fleet.applied(version, fleet.names))
            for name in fleet.names:
                # From time to time a sender probes whether the relay of its own zone is back.
                await eventually(lambda name=name: _asks_at(fleet, name, "relay-b"))  # type: ignore[misc]
                endpoints = {shard: row["endpoints"] for shard, row in (await fleet.rows(name)).items()}
                for shard, count in endpoints.items():
                    remaining = [one for one in DESTINATIONS if one != 8 and shard_of(one, SHARDS) == shard]
                    assert count == len(remaining)
            page = await fleet.relays["relay-b"].page()
            assert page is not None and page["asks"]["snapshots"] == snapshots, "deltas and digests suffice"
            assert fleet.discovery.calls["whole"] == full_lists, "discovery serves no full list again"
            assert await load.above_twice_steady() == {}

    run(main(), RUN_S)


async def _asks_at(fleet: Fleet, name: str, relay: str) -> bool:
    page = await fleet.senders[name].page("/shards")
    return page is not None and page["source"] == relay


def test_a_zone_that_is_cut_off_keeps_working_and_reconnects_without_a_stampede(tmp_path: Path) -> None:
    async def main() -> None:
        hop = HttpHop()
        await hop.start()
        async with Fleet(tmp_path) as fleet:
            await list_endpoints(fleet, hop.port)
            zone_a = [name for name in fleet.names if fleet.zone(name) == "a"]
            zone_b = [name for name in fleet.names if fleet.zone(name) == "b"]
            before = {name: await fleet.relays[name].page() for name in fleet.relays}
            full_lists = fleet.discovery.calls["whole"]
            cut_links = [
                link
                for (source, target), link in fleet.links.items()
                if fleet.zone(source) == "a" and target != "relay-a"
            ]
            for link in cut_links:
                link.silent = True
            version = await fleet.discovery.change(*[endpoint_line(f"e{one}", one, hop.port) | {"weight": 2.0}
                                                     for one in DESTINATIONS])  # fmt: skip
            await eventually(lambda: fleet.applied(version, zone_b))
            await eventually(lambda: _stale(fleet, zone_a))
            assert not await fleet.applied(version, zone_a[:1]) and not await fleet.applied(
                version, zone_a[1:]
            )
            name = next(name for name in await fleet.holders(shard_of(7, SHARDS)) if name in zone_a)
            assert await fleet.client(name).submit("while-cut", 7)
            await eventually(lambda: _delivered(hop, {"while-cut"}))
            load = await LoadCheck(fleet).begin()
            for link in cut_links:
                link.heal()
            await eventually(lambda: fleet.applied(version, fleet.names))
            await eventually(lambda: _fresh(fleet, zone_a))
            for relay, page_before in before.items():
                page = await fleet.relays[relay].page()
                assert page_before is not None and page is not None
                assert page["asks"]["snapshots"] == page_before["asks"]["snapshots"], "deltas only"
                deltas = page["asks"]["deltas"] - page_before["asks"]["deltas"]
                assert deltas <= 2 * REPLICAS * SHARDS, "each holder of a shard gets its change once"
            assert fleet.discovery.calls["whole"] == full_lists, "the relay continues from its version"
            assert await load.above_twice_steady() == {}
        await hop.stop()

    run(main(), RUN_S)


async def _stale(fleet: Fleet, names: list[str]) -> bool:
    """Whether each of them reports a staleness that is never reached while it is connected."""
    pages = [await fleet.senders[name].page() for name in names]
    return all(page is not None and page["sharding"]["staleness_s"] > 5 for page in pages)


async def _fresh(fleet: Fleet, names: list[str]) -> bool:
    pages = [await fleet.senders[name].page() for name in names]
    return all(page is not None and page["sharding"]["staleness_s"] < 4 for page in pages)


def test_pending_messages_of_a_moved_shard_stay_with_their_sender_until_their_one_outcome(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        hop = HttpHop()
        hop.script = ["full"]
        await hop.start()
        async with Fleet(tmp_path) as fleet:
            await list_endpoints(fleet, hop.port)
            shard = shard_of(7, SHARDS)
            holders = await fleet.holders(shard)
            leaving = holders[0]
            assert await fleet.client(leaving).submit("old", 7)
            await eventually(lambda: _holds(fleet, leaving, shard, 1))
            members = {name: {"until": 2} if name == leaving else {} for name in fleet.names}
            fleet.write_members(members, epoch=2)
            for relay in fleet.relays.values():
                relay.send(1)  # SIGHUP
            await eventually(lambda: _moved(fleet, shard, leaving))
            row = (await fleet.rows(leaving))[shard]
            assert not row["placed"] and row["messages"] == 1 and row["endpoints"] > 0
            assert list(await fleet.rows(leaving)) == [shard], "it holds no other shard any more"
            assert not await fleet.client(leaving).submit("late", 7), "new messages go to the new replica"
            new_holders = await fleet.holders(shard)
            assert len(new_holders) == REPLICAS and fleet.zone(new_holders[0]) != fleet.zone(new_holders[1])
            hop.script = ["ok"]
            new = next(name for name in new_holders if name not in holders)
            assert await fleet.client(new).submit("new", 7)
            await eventually(lambda: _delivered(hop, {"old", "new"}))
            await eventually(lambda: _holds_nothing(fleet, leaving))
            assert sorted(hop.delivered) == ["new", "old"], "each message is delivered once"
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


def test_a_sender_that_starts_while_no_relay_answers_uses_its_stored_list(tmp_path: Path) -> None:
    async def main() -> None:
        hop = HttpHop()
        await hop.start()
        async with Fleet(tmp_path) as fleet:
            version = await list_endpoints(fleet, hop.port)
            name = (await fleet.holders(shard_of(7, SHARDS)))[0]
            await eventually(lambda: _stored(fleet, name))
            for relay in fleet.relays.values():
                await relay.end()
            await fleet.senders[name].end()
            await fleet.senders[name].start()
            assert await fleet.applied(version, [name])
            assert await fleet.client(name).submit("no-relay", 7)
            await eventually(lambda: _delivered(hop, {"no-relay"}))
            for relay in fleet.relays.values():
                await relay.start()
            last = await fleet.discovery.change(endpoint_line("e8", 8, 2000))
            await eventually(lambda: fleet.applied(last, fleet.names))
        await hop.stop()

    run(main(), RUN_S)


async def _stored(fleet: Fleet, name: str) -> bool:
    """Whether the sender has stored all its endpoints."""
    file = fleet.folder / f"state-{name}" / "shards"
    rows = (await fleet.rows(name)).values()
    return file.exists() and file.read_text().count('"addr"') == sum(row["endpoints"] for row in rows)


def test_no_sharding_module_is_imported_if_sharding_is_off(tmp_path: Path) -> None:
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
        "from mountgauge.run.operator import make_operator_runtime\n"
        "async def main():\n"
        "    runtime = make_operator_runtime(load(pathlib.Path(sys.argv[1])))\n"
        "    await runtime.start()\n"
        "    runtime.close()\n"
        "asyncio.run(main())\n"
        "print([m for m in sys.modules if m.startswith(('mountgauge.sharding', 'mountgauge.relay'))])"
    )
    command = [sys.executable, "-c", code, str(file)]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"
