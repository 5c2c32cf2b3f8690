"""The sharded sender's map on a real relay: updates to the core, and the list stored for the next start."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mountgauge.core.config import Address, MapUpdate
from mountgauge.core.durable_time import SystemClocks, read_clocks
from mountgauge.core.hop_table import HopTable
from mountgauge.http1 import Message, response
from mountgauge.relay import wire
from mountgauge.relay.kept_list import MAX_BYTES, KeptList, KeptListError, KeptListFile
from mountgauge.relay.settings import RelayAddress, Relays, SenderSharding, Shards
from mountgauge.relay.shard_map import ShardMap
from mountgauge.sharding.messages import Answer, PlacedShard, PlacementUpdate
from mountgauge.sharding.shards import (
    NO_VERSION,
    EndpointRecord,
    EndpointState,
    ShardSnapshot,
    digest_of,
    shard_of,
)
from rillspindle.interface import Readiness
from tests.helper import HOST, HttpServer, run, until
from tests.sharding.harness import Discovery, endpoint_line
from tests.sharding.test_relay_service import FAST, SHARDS, relay_file, start_relay


class Core:
    """Records the updates that the core receives."""

    def __init__(self) -> None:
        self.version = -1
        self.updates: list[MapUpdate] = []

    def list_changed(self, update: MapUpdate) -> None:
        self.updates.append(update)

    def list_failed(self) -> None:
        raise AssertionError("the subscription retries by itself")

    @property
    def hops(self) -> dict[str, tuple[str, int, float]]:
        """Host, port and scale by id, after all updates so far."""
        hops: dict[str, tuple[str, int, float]] = {}
        for update in self.updates:
            hops = {} if update.full else hops
            for hop in update.hops:
                if hop.entry.readiness == Readiness.GONE:
                    hops.pop(hop.id, None)
                else:
                    hops[hop.id] = (hop.host, hop.port, hop.entry.scale)
        return hops


def sharding(relay_port: int, rate_per_weight: float = 0.0) -> SenderSharding:
    relays = Relays((RelayAddress("relay", "a", Address(HOST, relay_port)),))
    return SenderSharding("a", Shards(SHARDS, 2), relays, FAST, rate_per_weight, None)


def test_the_core_gets_deltas_and_an_endpoint_with_an_unreadable_address_is_removed(tmp_path: Path) -> None:
    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        await discovery.change(endpoint_line("e7", 7, 1000), endpoint_line("e8", 8, 1001))
        relay = await start_relay(relay_file(tmp_path, discovery.port))
        core = Core()
        shard_map = ShardMap(core, sharding(relay.server.port, rate_per_weight=20.0), "s1", tmp_path, seed=1)
        shard_map.start()
        await until(lambda: core.hops == {"e7": (HOST, 1000, 20.0), "e8": (HOST, 1001, 20.0)})
        await discovery.change(
            {**endpoint_line("e7", 7), "addr": "nowhere"}, endpoint_line("e8", 8, state="left")
        )
        await until(lambda: core.hops == {})
        assert not any(update.full for update in core.updates), "deltas only"
        await discovery.change(endpoint_line("e7", 9, 1002))
        await until(lambda: core.hops == {"e7": (HOST, 1002, 20.0)})
        shard_map.snapshot()
        assert core.updates[-1].full and core.hops == {"e7": (HOST, 1002, 20.0)}
        shard_map.close()
        await relay.stop()
        await discovery.stop()

    run(main())


def test_the_first_answer_to_a_new_call_after_a_pause_is_reported_even_without_changes(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        relay = await start_relay(relay_file(tmp_path, discovery.port))
        core = Core()
        shard_map = ShardMap(core, sharding(relay.server.port), "s1", tmp_path, seed=1)
        shard_map.start()
        await until(lambda: shard_map.subscription.shards())
        await until(lambda: shard_map.staleness_s < 60)
        assert core.updates == [] and not shard_map.refresh_now()
        await until(lambda: core.updates)
        assert [update.hops for update in core.updates] == [()]
        shard_map.close()
        await relay.stop()
        await discovery.stop()

    run(main())


def sample_kept_list(records: int = 1) -> KeptList:
    endpoints = tuple(
        EndpointRecord(f"e{number}", f"{HOST}:1", "a", "http", 7, EndpointState.ACTIVE)
        for number in range(records)
    )
    shard = shard_of(7, SHARDS)
    snapshot = ShardSnapshot(shard, 41, endpoints, digest_of(endpoints))
    confirmed = read_clocks(SystemClocks()).before(30)
    return KeptList(confirmed, PlacementUpdate(3, 1, (PlacedShard(shard, ("s1",)),)), (snapshot,))


def test_a_kept_list_is_used_with_its_age_and_a_list_that_is_too_large_is_not_written(tmp_path: Path) -> None:
    file = KeptListFile(tmp_path, SHARDS)
    assert file.read() is None
    file.write(sample_kept_list())
    with pytest.raises(KeptListError, match=f"at most {MAX_BYTES} can be stored"):
        file.write(sample_kept_list(records=MAX_BYTES // 100))
    assert file.read() is not None, "the last valid list stays"

    async def main() -> None:
        shard_map = ShardMap(Core(), sharding(1), "s1", tmp_path, seed=1)
        known = shard_map.known([])
        assert (known.version, known.full, [hop.id for hop in known.hops]) == (41, True, ["e0"])
        assert shard_map.accepts(7) and 30 <= shard_map.staleness_s < 3000
        await asyncio.sleep(0)

    run(main())


@pytest.mark.parametrize(
    ("content", "error"),
    [
        (b"", "not a list of shards: "),
        (b'{"confirmed":1,"shards":16}\n{"version":1}', "placement: missing"),
        (b'{"confirmed":1,"shards":64}\n{"version":1}', "written for 64 shards, 16 are configured"),
        (b'{"confirmed":1}\n{}', "not a list of shards: 'shards'"),
        (b"x" * (MAX_BYTES + 1), f"more than {MAX_BYTES} bytes"),
    ],
)
def test_an_unreadable_kept_list_is_ignored(
    tmp_path: Path, content: bytes, error: str, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "shards").write_bytes(content)

    async def main() -> None:
        assert ShardMap(Core(), sharding(1), "s1", tmp_path, seed=1).known([]) == MapUpdate(-1, True, ())
        logged = str(caplog.records[0].__dict__["kv"]["error"])
        assert error in logged and "\n" not in logged

    run(main())


class ScriptedRelay(HttpServer):
    """Answers with one endpoint of destination 7, in `state` and as of version `as_of`."""

    def __init__(self) -> None:
        super().__init__(self._reply)
        self.as_of, self.state = 100, EndpointState.ACTIVE

    async def _reply(self, message: Message) -> bytes:
        ask = wire.decode_ask(message.body, SHARDS)
        if all(position.version != NO_VERSION for position in ask.positions):
            await asyncio.sleep(60)
        record = EndpointRecord("e7", f"{HOST}:1", "a", "http", 7, self.state)
        snapshot = ShardSnapshot(shard_of(7, SHARDS), self.as_of, (record,), digest_of((record,)))
        status, body = wire.encode_reply(Answer(self.as_of, 0.0, snapshots=(snapshot,)))
        return response(status, "OK", {}, body)


def test_a_shard_fetched_again_from_a_lagging_relay_does_not_undo_a_drain(
    tmp_path: Path,
) -> None:
    """The shard is released with its last message, and the version it was held at is forgotten with it.

    A relay that is behind then answers with an older version, in which the endpoint was still active.
    """

    async def main() -> None:
        relay = ScriptedRelay()
        await relay.start()
        core, table = Core(), HopTable(1)

        def learn(update: MapUpdate) -> None:
            table.apply_update(update, update.full, asyncio.get_running_loop().time())

        setattr(core, "list_changed", learn)  # noqa: B010
        shard_map = ShardMap(core, sharding(relay.port), "s1", tmp_path, seed=1)
        shard_map.start()
        states = []
        for as_of, state in (
            (99, EndpointState.ACTIVE),
            (100, EndpointState.LEAVING),
            (95, EndpointState.ACTIVE),
            (100, EndpointState.ACTIVE),
        ):
            relay.as_of, relay.state = as_of, state
            shard_map.message_added(7)
            await until(lambda: "e7" in table.hops)
            if as_of == 95:
                shard_map.snapshot()  # the full list, as SIGHUP requests it
            states.append(table.hops["e7"].entry.readiness)
            shard_map.message_removed(7)
            await until(lambda: "e7" not in table.hops)
        assert states == [Readiness.READY, Readiness.DRAINING, Readiness.DRAINING, Readiness.READY]
        shard_map.close()
        await relay.stop()

    run(main())
