"""Simulated senders over real sockets: `python -m mountgauge.lab.scale.live_simulated FILE`.

FILE is JSON with the keys `senders` (of this process, with name and zone each), `relays` (name, zone and
address `at` each), `shards`, `fleet` (total number of senders), `seed` and `status` (address to listen on).
Exits on SIGTERM. The status page has the form of a real sender's, with sums over all senders of the process.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import orjson

from mountgauge.core.config import Address
from mountgauge.lab.scale.simulated import SimulatedSender, policy_settings
from mountgauge.relay.follower import Follower
from mountgauge.sharding.picker import RelayName
from mountgauge.sharding.timing import Timing
from mountgauge.sharding.upstream import Call, Update
from mountgauge.status import StatusServer

_START_SPREAD_S = 1.0  # the senders of a process start within this time, which is as long as an ask is held


class LiveSimulatedSender:
    """A simulated sender that runs in the current event loop."""

    def __init__(self, raw: Mapping[str, Any], name: str, zone: str, seed: int) -> None:
        relays = [RelayName(one["name"], one["zone"]) for one in raw["relays"]]
        addresses = {one["name"]: Address.parse(one["at"], one["name"]) for one in raw["relays"]}
        shards, settings = raw["shards"], policy_settings(raw["fleet"])
        self.machine = SimulatedSender(name, zone, relays, Timing(), shards, settings, seed)
        subscription = self.machine.subscription
        self.follower = Follower(subscription, addresses, None, shards, self._answered)

    def _answered(self, call: Call, update: Update) -> None:
        self.machine.process_update(update, asyncio.get_running_loop().time())


def status_report(senders: Sequence[LiveSimulatedSender]) -> Mapping[str, Any]:
    """The content of the status page."""
    counts: Counter[str] = Counter()
    for one in senders:
        counts.update(one.follower.counts)
    return {"sharding": {"upstream": dict(counts)}, "ready": all(one.machine.ready() for one in senders)}


async def serve(raw: Mapping[str, Any]) -> None:
    """Run the senders until SIGTERM."""
    terminated = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, terminated.set)
    senders = [
        LiveSimulatedSender(raw, one["name"], one["zone"], raw["seed"] + number)
        for number, one in enumerate(raw["senders"])
    ]
    status = StatusServer(lambda: status_report(senders))
    await status.listen(Address.parse(raw["status"], "status"))
    for index, one in enumerate(senders):
        asyncio.get_running_loop().call_later(_START_SPREAD_S * index / len(senders), one.follower.start)
    gc.collect()
    gc.freeze()
    await terminated.wait()
    for one in senders:
        one.follower.close()
    status.close()


if __name__ == "__main__":
    asyncio.run(serve(orjson.loads(Path(sys.argv[1]).read_bytes())))
