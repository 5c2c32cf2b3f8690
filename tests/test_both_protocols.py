"""Tests run over both protocols: the same steps must have the same outcomes with either of them.

"mixed" publishes over AMQP to next hops over HTTP.
"""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest

from tests.helper import Broker, SenderHarness, run, until

pytestmark = pytest.mark.parametrize("protocol", ["http", "amqp", "mixed"])


def test_message_is_delivered_unchanged(tmp_path: Path, protocol: str) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, protocol) as world:
            body = bytes(range(256)) * 200  # takes several AMQP frames
            assert await world.client.submit("m1", "keyed", key="the-key", body=body) is None
            assert await world.client.outcome("m1") == "delivered"
            assert [call[1:] for call in world.calls] == [("m1", "the-key", body)]
            assert not world.notices
            # Connections are reused, as each new one costs the partner work.
            for number in range(5):
                await world.client.submit(f"n{number}")
                assert await world.client.outcome(f"n{number}") == "delivered"
            assert world.hops[0].connections == 1

    run(main())


def test_attempts_are_repeated_only_as_the_class_allows(tmp_path: Path, protocol: str) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, protocol) as world:
            hop = world.hops[0]
            for fate in ("error", "reset"):
                for grade, end, calls in (
                    ("safe", "delivered", 2),
                    ("keyed", "delivered", 2),
                    ("once", "undeliverable", 1),
                ):
                    msg_id, hop.script = f"{fate}-{grade}", ["ok"]
                    for number in range(4):  # let it recover: unsafe ones don't go to a failing next hop
                        await world.client.submit(f"{msg_id}-up{number}")
                        assert await world.client.outcome(f"{msg_id}-up{number}") == "delivered"
                    hop.script, hop.calls = [fate, "ok"], []
                    assert await world.client.submit(msg_id, grade) is None
                    assert await world.client.outcome(msg_id) == end
                    assert [call[1:3] for call in hop.calls] == [(msg_id, "k1")] * calls

    run(main(), 40)


@pytest.mark.parametrize(("fate", "grade", "end"), [
    ("error", "safe", "deferred"), ("error", "keyed", "deferred"), ("full", "once", "deferred"),
    ("silent", "safe", "deferred"), ("silent", "once", "undeliverable"), ("down", "once", "deferred"),
    ("reset", "keyed", "deferred"),
])  # fmt: skip
def test_undelivered_message_finishes_at_its_deadline(
    tmp_path: Path, protocol: str, fate: str, grade: str, end: str
) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, protocol) as world:
            world.hops[0].script = [fate]
            if fate == "down":
                await world.hops[0].stop()
            loop = asyncio.get_running_loop()
            started = loop.time()
            assert await world.client.submit("m1", grade, remaining_s=1.5) is None
            assert await world.client.outcome("m1") == end
            assert loop.time() - started < 1.8
            assert not world.hops[0].delivered
            await until(lambda: not world.runtime.sender.pending)  # the notice's 204 may still be in transit

    run(main())


def test_drain_takes_effect_within_250_ms(tmp_path: Path, protocol: str) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, protocol, hops=2) as world:
            for number in range(8):
                await world.client.submit(f"a{number}")
                await world.client.outcome(f"a{number}")
            used = 0 if world.hops[0].calls else 1
            world.states[used] = "leaving"
            world.write_file()
            drained_at = asyncio.get_running_loop().time()
            for number in range(20):
                await world.client.submit(f"b{number}")
                assert await world.client.outcome(f"b{number}") == "delivered"
                await asyncio.sleep(0.02)
            assert all(at < drained_at + 0.25 for at, *_ in world.hops[used].calls)
            assert max(at for at, *_ in world.hops[1 - used].calls) > drained_at + 0.25

    run(main())


@pytest.mark.parametrize(("grade", "end", "calls"), [("keyed", "delivered", 2), ("once", "undeliverable", 1)])
def test_accepted_message_survives_a_restart(
    tmp_path: Path, protocol: str, grade: str, end: str, calls: int
) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, protocol) as world:
            world.hops[0].script = ["silent", "ok"]
            assert await world.client.submit("m1", grade) is None
            await until(lambda: world.calls)
            await world.kill()
            await world.start()
            if world.protocol == "amqp":  # the channel closed with the process: publish the id again
                await world.client.submit("m1", grade)
            assert await world.client.outcome("m1") == end
            assert [call[1:3] for call in world.calls] == [("m1", "k1")] * calls

    run(main())


def test_accepted_message_finishes_after_its_client_disconnects(tmp_path: Path, protocol: str) -> None:
    """The message has one outcome; submitting the same id again returns it, without a second delivery."""

    async def main() -> None:
        async with SenderHarness(tmp_path, protocol) as world:
            world.hops[0].script = ["error", "ok"]
            assert await world.client.submit("m1") is None
            await world.client.close()
            await until(lambda: world.hops[0].delivered == ["m1"])
            await until(lambda: not world.runtime.sender.pending)
            await world.client.connect()
            await world.client.submit("m1")
            assert await world.client.outcome("m1") == "delivered"
            assert len(world.calls) == 2 and world.hops[0].delivered == ["m1"]

    run(main())


def test_call_to_a_silent_next_hop_times_out_and_is_repeated(tmp_path: Path, protocol: str) -> None:
    """The attempt is repeated only after the time-out.

    Over AMQP the timed-out call's channel is closed, so a late confirm can't be taken for another call's.
    """

    async def main() -> None:
        async with SenderHarness(tmp_path, protocol, hops=2) as world:
            for number in range(5):  # next hops with recent answers are tried again at once
                await world.client.submit(f"w{number}")
                await world.client.outcome(f"w{number}")
            for hop in world.hops:
                hop.script, hop.calls = ["silent", "ok"], []
            assert await world.client.submit("m1") is None
            assert await world.client.outcome("m1") == "delivered"
            counts = world.runtime.sender.counts
            assert counts["attempt", "timeout"] == len(world.calls) - 1 >= 1
            times = [at for at, *_ in world.calls]
            assert all(later - earlier > 1.0 for earlier, later in itertools.pairwise(times))
            for hop in world.hops:
                if isinstance(hop, Broker) and len(hop.calls) > 1:
                    assert hop.closed_channels == 1

    run(main())


def test_invalid_messages_are_undeliverable(tmp_path: Path, protocol: str) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, protocol) as world:
            assert await world.client.submit("m1", "nosuch") == "undeliverable"
            assert await world.client.submit("m2", key="two words") == "undeliverable"
            assert not world.calls and not world.runtime.journal.live
            assert await world.client.submit("m3") is None  # the connection stays usable
            assert await world.client.outcome("m3") == "delivered"

    run(main())


def test_messages_beyond_the_queue_limit_are_deferred(tmp_path: Path, protocol: str) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, protocol) as world:
            world.hops[0].script = ["silent"]
            ends = [await world.client.submit(f"m{number}") for number in range(220)]
            assert "deferred" in ends and "undeliverable" not in ends
            assert len(world.runtime.sender.policy.messages) <= 200

    run(main(), 40)
