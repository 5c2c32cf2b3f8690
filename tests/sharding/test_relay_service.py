"""Relays with real sockets in one process: a tree of two levels, refusals, reloads and status pages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest

from mountgauge.core.config import Address, ConfigError
from mountgauge.http1 import Client, Message, request, response
from mountgauge.relay import wire
from mountgauge.relay.follower import Follower
from mountgauge.relay.service import RelayService
from mountgauge.relay.settings import RelayAddress, RelayFile, Relays, load_relay
from mountgauge.relay.table import current, lines
from mountgauge.sharding.messages import Answer, Ask, Position, Reply
from mountgauge.sharding.picker import Picker, RelayName
from mountgauge.sharding.shards import ShardSnapshot, shard_of
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.subscription import Subscription
from mountgauge.sharding.timing import Timing
from mountgauge.sharding.upstream import Call, Update
from tests.helper import HOST, HttpServer, run, until
from tests.sharding.harness import Discovery, endpoint_line

SHARDS = 16
FAST = Timing(wait_s=0.2, silence_s=2.0, first_pause_s=0.05, longest_pause_s=0.1)
MEMBERS = 'epoch = {epoch}\n[[members]]\nname = "s1"\nzone = "a"\n[[members]]\nname = "s2"\nzone = "b"\n'


def relay_file(folder: Path, discovery: int, members: bool = True) -> RelayFile:
    (folder / "members.toml").write_text(MEMBERS.format(epoch=1))
    path = folder / "relay.toml"
    path.write_text(f"""
        name = "relay"
        zone = "a"
        listen = "{HOST}:0"
        {'members = "members.toml"' if members else ""}
        shards = {{ count = {SHARDS}, replicas = 2 }}
        upstream = {{ discovery = "{HOST}:{discovery}" }}
    """)
    return replace(load_relay(path), timing=FAST)


async def start_relay(file: RelayFile) -> RelayService:
    service = RelayService(file, seed=1)
    await service.start()
    await until(lambda: service.relay.upstream.ready)
    return service


async def send_ask(port: int, ask: Ask) -> Reply:
    client = Client(HOST, port, wire.MAX_ANSWER_BYTES)
    answer = await client.exchange(request("POST", wire.PATH, HOST, {}, wire.encode_ask(ask, SHARDS)), 10.0)
    client.close()
    return wire.decode_reply(answer.status, answer.body, SHARDS)


def test_a_change_is_propagated_through_a_tree_of_two_levels(tmp_path: Path) -> None:
    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        await discovery.change(*[endpoint_line(f"e{one}", one) for one in range(30)])
        upper = await start_relay(relay_file(tmp_path, discovery.port, members=False))
        upper_address = RelayAddress("upper", "a", Address(HOST, upper.server.port))
        lower_file = replace(relay_file(tmp_path, 1), discovery=None, relays=Relays((upper_address,)))
        lower = await start_relay(lower_file)
        assert lower.relay.store.as_of == discovery.version
        shard = shard_of(7, SHARDS)
        first = await send_ask(lower.server.port, Ask("s1", (Position(shard),)))
        assert isinstance(first, Answer) and first.snapshots[0].version == discovery.version
        poll = asyncio.ensure_future(
            send_ask(lower.server.port, Ask("s1", (Position(shard, first.as_of),), wait_s=30))
        )
        full_lists = discovery.calls["whole"]
        version = await discovery.change(endpoint_line("e7", 7, 1000))
        news = await poll
        assert isinstance(news, Answer) and news.as_of == version
        assert [one.address for delta in news.deltas for one in delta.put] == [f"{HOST}:1000"]
        assert discovery.calls["whole"] == full_lists == 1, "the lower relay never calls discovery"
        for service in (lower, upper):
            await service.stop()
        await discovery.stop()

    run(main())


async def post(port: int, body: bytes, path: str = wire.PATH, method: str = "POST") -> Message:
    client = Client(HOST, port)
    answer = await client.exchange(request(method, path, HOST, {}, body), 10.0)
    client.close()
    return answer


def test_an_unreadable_ask_is_answered_with_an_error_of_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        service = await start_relay(relay_file(tmp_path, discovery.port))
        port = service.server.port
        answer = await post(port, b'{"asker":"s1","shards":[[99,0]]}')
        assert answer.status == 400
        assert bytes(answer.body) == b'{"error":"shard: not a whole number from 0 to 15"}'
        other = await post(port, b'{"asker":"s1","shard_count":64}')
        assert bytes(other.body) == b'{"error":"shard_count: 64 asked by, 16 here"}'
        assert (await post(port, b"", "/registry/instances", "GET")).status == 404
        assert service.report.status()["unreadable_asks"] == 2
        await service.stop()
        await discovery.stop()

    run(main())


def test_a_relay_refuses_asks_before_it_is_ready_and_open_polls_when_it_stops(tmp_path: Path) -> None:
    async def main() -> None:
        service = RelayService(relay_file(tmp_path, 1), seed=1)
        await service.start()
        early = await send_ask(service.server.port, Ask("s1", wait_s=5))
        assert early == wire.decode_reply(503, b'{"refused":"not_ready","retry_after_s":1.0}', SHARDS)
        service.close()
        discovery = Discovery()
        await discovery.start()
        service = await start_relay(relay_file(tmp_path, discovery.port))
        waiting = asyncio.ensure_future(send_ask(service.server.port, Ask("s1", wait_s=30, placement=0)))
        await until(lambda: service.report.status()["polls"])
        await service.stop()
        assert await waiting == wire.decode_reply(503, b'{"refused":"not_ready"}', SHARDS)
        await discovery.stop()

    run(main())


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (MEMBERS.format(epoch=2) + '[[members]]\nname = "s2"\nzone = "a"\n', "listed twice for epoch 1"),
        (MEMBERS.format(epoch="two"), "Invalid value"),
        (MEMBERS.format(epoch=1).replace("s2", "s3"), "epoch 1: member 's3' is not as it was"),
    ],
)
def test_an_invalid_members_file_changes_nothing(
    tmp_path: Path, text: str, error: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        service = RelayService(relay_file(tmp_path, 1), seed=1)
        before = service.relay.placement
        assert before is not None
        checkpoint = before.checkpoint()
        (tmp_path / "members.toml").write_text(text)
        service.reload()
        assert service.relay.placement is before and before.checkpoint() == checkpoint
        logged = [record for record in caplog.records if record.getMessage() == "reload-failed"]
        assert len(logged) == 1 and error in str(logged[0].__dict__["kv"]["error"])

    run(main())


class ScriptedRelay(HttpServer):
    """A stand-in for a relay that sends the replies of the test."""

    def __init__(self, replies: Callable[[Ask], tuple[int, bytes]]) -> None:
        super().__init__(self._reply)
        self.replies = replies
        self.asks = 0

    async def _reply(self, message: Message) -> bytes:
        self.asks += 1
        status, body = self.replies(wire.decode_ask(message.body, SHARDS))
        await asyncio.sleep(0.01)
        return response(status, "Scripted", {}, body)


def test_a_sender_leaves_a_relay_with_wrong_or_unreadable_answers_and_keeps_its_list(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The relay sends snapshots whose content doesn't match their digest, then bodies that are no answers."""
    caplog.set_level("WARNING")

    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        await discovery.change(endpoint_line("e7", 7))
        healthy = await start_relay(relay_file(tmp_path, discovery.port))
        shard = shard_of(7, SHARDS)
        wrong = Answer(
            discovery.version + 5, 0.0, snapshots=(ShardSnapshot(shard, discovery.version + 5, (), 1),)
        )
        bodies = [wire.encode_reply(wrong), wire.encode_reply(wrong), (200, b"[]"), (200, b"{")]
        faulty = ScriptedRelay(lambda ask: bodies.pop(0) if len(bodies) > 1 else bodies[0])
        await faulty.start()
        store = ShardStore(SHARDS, log_limit=0)
        names = [RelayName("faulty", "a"), RelayName("healthy", "b")]
        subscription = Subscription("s1", store, Picker(names, "a", FAST, Random(1)), FAST, Random(1))
        updates: list[Update] = []

        def on_answer(call: Call, update: Update) -> None:
            updates.append(update)

        addresses = {"faulty": Address(HOST, faulty.port), "healthy": Address(HOST, healthy.server.port)}
        follower = Follower(subscription, addresses, None, SHARDS, on_answer)
        subscription.message_accepted(shard, 0.0)
        follower.start()
        await until(lambda: shard in store and store.version(shard) == discovery.version)
        assert faulty.asks >= 2 and [one.id for one in store.records(shard).values()] == ["e7"]
        rejected = [one.reason for update in updates for one in update.rejections]
        assert rejected and all("\n" not in one for one in rejected)
        assert "has another content" in rejected[0]
        follower.close()
        await healthy.stop()
        await faulty.stop()
        await discovery.stop()

    run(main())


def test_status_page_shard_table_and_metrics_of_a_relay(tmp_path: Path) -> None:
    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        await discovery.change(endpoint_line("e7", 7))
        service = await start_relay(relay_file(tmp_path, discovery.port))
        page = service.report.shards()
        assert len(page["shards"]) == SHARDS and sum(row["endpoints"] for row in page["shards"]) == 1
        table = lines({"one": page, "two": None})
        assert len(table) == 1 + SHARDS + 1 and table[0].split()[:4] == ["HOLDER", "ZONE", "SHARD", "VERSION"]
        first = table[1].split()
        assert first[:5] == ["relay", "a", "0", "2", "1"] and sorted(first[-1].split(",")) == ["s1", "s2"]
        assert current({"one": page}) and not current({"one": page, "two": None})
        names = {one[0] for one in service.report.metrics()}
        assert {"mountgauge.relay.version", "mountgauge.relay.polls", "mountgauge.relay.staleness"} <= names
        await service.stop()
        await discovery.stop()

    run(main())


def test_pending_moves_resume_after_a_restart(tmp_path: Path) -> None:
    async def main() -> None:
        file = replace(relay_file(tmp_path, 1), state=tmp_path / "state")
        file = replace(file, placement=replace(file.placement, step_moves=1))
        service = RelayService(file, seed=1)
        text = MEMBERS.format(epoch=2) + '[[members]]\nname = "s3"\nzone = "a"\nsince = 2\n'
        (tmp_path / "members.toml").write_text(text)
        service.reload()
        placement = service.relay.placement
        assert placement is not None and placement.pending > 2
        service._step()
        checkpoint = placement.checkpoint()
        service.close()
        restored = RelayService(replace(file, members=load_relay(file.path).members), seed=1).relay.placement
        assert restored is not None and restored.checkpoint() == checkpoint and restored.revision == 1

    run(main())


@pytest.mark.parametrize(
    "content", [b"", b"[]", b"{", b'{"shards":16,"replicas":2}', b'{"shards":1,"replicas":2}']
)
def test_an_unreadable_placement_file_is_ignored(
    tmp_path: Path, content: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        file = replace(relay_file(tmp_path, 1), state=tmp_path)
        (tmp_path / "placement").write_bytes(content)
        placement = RelayService(file, seed=1).relay.placement
        assert placement is not None and placement.epoch == 1
        assert [one.getMessage() for one in caplog.records] == ["placement-not-read"]

    run(main())


def test_a_relay_without_a_stored_placement_does_not_start_from_a_later_base_epoch(tmp_path: Path) -> None:
    async def main() -> None:
        file = relay_file(tmp_path, 1)
        (tmp_path / "members.toml").write_text("base_epoch = 2\n" + MEMBERS.format(epoch=2))
        with pytest.raises(ConfigError, match="copy the file 'placement' of another relay"):
            RelayService(load_relay(file.path), seed=1)

    run(main())


def test_asks_under_ever_new_names_on_one_connection_delay_no_other_asker(tmp_path: Path) -> None:
    """Guards against a peer that reserves all snapshots of the next minutes under ever new names."""

    async def main() -> None:
        discovery = Discovery()
        await discovery.start()
        await discovery.change(*[endpoint_line(f"e{one}", one) for one in range(30)])
        file = relay_file(tmp_path, discovery.port)
        slow = replace(file.relay, snapshots_per_s=100.0, snapshot_burst=SHARDS)
        service = await start_relay(replace(file, relay=slow))
        positions = tuple(Position(shard) for shard in range(SHARDS))
        client = Client(HOST, service.server.port, wire.MAX_ANSWER_BYTES)
        for n in range(200):
            body = wire.encode_ask(Ask(f"new-{n}", positions), SHARDS)
            assert (await client.exchange(request("POST", wire.PATH, HOST, {}, body), 10.0)).status == 200
        other = await send_ask(service.server.port, Ask("other", positions))
        assert isinstance(other, Answer)
        assert other.retry_after_s <= 2 * SHARDS / 100.0
        client.close()
        await service.stop()
        await discovery.stop()

    run(main())
