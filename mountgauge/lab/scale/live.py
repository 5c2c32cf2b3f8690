"""Compares simulated senders with real ones, on the same relays, over sockets, in a fleet of one size.

Relays, real senders and simulated senders run in processes of their own; discovery, the partner and the
clients are stand-ins in this process. The control cost of a real sender is its processor time minus that of a
quiet sender, which is identical but makes hardly any asks; no messages are sent meanwhile. Then messages are
submitted to the real senders, and each accepted message must be delivered exactly once.
"""

from __future__ import annotations

import asyncio
import math
import os
import random
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

import orjson

import mountgauge
from mountgauge.core.config import Address
from mountgauge.lab.rig.processes import hosts
from mountgauge.lab.scale import live_files
from mountgauge.lab.scale.discovery import DiscoveryList
from mountgauge.lab.scale.live_files import RELAY_PORT, RESP_PORT, STATUS_PORT, LiveNode, Sharding
from mountgauge.lab.scale.live_stand_ins import Client, LiveDiscovery, Partner
from mountgauge.lab.scale.results import FULL_SIZE, Comparison, SizeResult
from mountgauge.lab.scale.schedule import ChangeKind, ListChange
from mountgauge.lab.scale.settings import (
    ChangeSettings,
    FaultSettings,
    FleetSettings,
    NetworkSettings,
    RealSettings,
    ScaleSettings,
    Size,
)
from mountgauge.lab.scale.worker import run_size
from mountgauge.sharding.shards import shard_of
from mountgauge.sharding.timing import Timing
from mountgauge.status import fetch_status

_ROOT = Path(mountgauge.__file__).parent.parent
_ZONES = ("zone-0", "zone-1", "zone-2")
_REPLICAS = 3
_SHARDS_PER_DESTINATION = FULL_SIZE.shards / FULL_SIZE.destinations
_QUIET_WAIT_S = 50.0  # for which relays hold the asks of quiet senders: one or two asks per comparison
_VIRTUAL_WARM_S = 10.0
_START_TIMEOUT_S = 60.0  # within which all processes must be ready, even on a slow machine
_SETTLE_S = 3.0  # between readiness and the start of the measurement
_DRAIN_TIMEOUT_S = 20.0  # within which accepted messages must be delivered
_MESSAGE_DEADLINE_S = 60.0


def shards_of(destinations: int) -> int:
    """The number of shards for these destinations at the full size's proportions."""
    return max(1, round(destinations * _SHARDS_PER_DESTINATION))


class ComparisonError(RuntimeError):
    """The comparison failed; the message is one line."""


@dataclass(slots=True, eq=False)
class ChildProcess:
    """A process of the comparison."""

    name: str
    process: subprocess.Popen[bytes]
    status: Address

    def cpu_s(self) -> float:
        """Processor time of all its threads so far."""
        spent = 0
        for task in Path(f"/proc/{self.process.pid}/task").iterdir():
            with suppress(OSError):  # the thread has ended
                spent += int((task / "schedstat").read_text().split()[0])
        return spent / 1e9

    async def page(self, name: str = "/status") -> dict[str, Any] | None:
        """Fetch one of its status pages; None if it does not answer yet."""
        if self.process.poll() is not None:
            raise ComparisonError(f"{self.name} ended with {self.process.returncode}")
        try:
            return await fetch_status(self.status, limit=5.0, page=name)
        except (OSError, ValueError):
            return None


@dataclass(frozen=True, slots=True)
class Reading:
    """The counters of a process at one time."""

    at: float
    cpu_s: float
    bytes: float
    messages: float


@dataclass(frozen=True, slots=True)
class Rates:
    """Costs of one process per second."""

    cpu_share: float
    bytes_s: float
    messages_s: float

    @classmethod
    def between(cls, begin: Reading, end: Reading) -> Rates:
        """The rates between two readings of a process."""
        seconds = end.at - begin.at
        return cls(
            (end.cpu_s - begin.cpu_s) / seconds,
            (end.bytes - begin.bytes) / seconds,
            (end.messages - begin.messages) / seconds,
        )

    @classmethod
    def medians(cls, rates: Sequence[Rates]) -> Rates:
        """The median of each rate, so that a process that the machine has delayed does not distort it."""
        return cls(
            median(one.cpu_share for one in rates),
            median(one.bytes_s for one in rates),
            median(one.messages_s for one in rates),
        )


@dataclass(frozen=True, slots=True)
class LiveRates:
    """The median rates of each kind of process."""

    real: Rates  # of the control plane alone
    simulated: Rates
    zone_relay: Rates


@dataclass(frozen=True, slots=True)
class DeliveryCounts:
    """Outcomes of the messages that real senders accepted."""

    accepted: int
    lost: int
    doubled: int


class LiveFleet:
    """The processes and stand-ins of one comparison."""

    def __init__(self, settings: RealSettings, seed: int, folder: Path) -> None:
        self.settings, self.seed, self.folder = settings, seed, folder
        self.relays: list[ChildProcess] = []
        self.real: list[ChildProcess] = []
        self.quiet: list[ChildProcess] = []
        self.simulated: list[ChildProcess] = []  # each with one simulated sender
        self.load: list[ChildProcess] = []  # at most one, with many simulated senders that load the relays
        self.sharding = Sharding(shards_of(settings.destinations), _REPLICAS)
        count = settings.senders
        self._hosts = iter(hosts(len(_ZONES) + 2 + 3 * count, os.getpid()))
        self.real_nodes = self._nodes("real", count)
        self.quiet_nodes = self._nodes("quiet", count)
        self.simulated_nodes = self._nodes("hollow", count)
        self.load_nodes = [
            LiveNode(f"load-{one}", _ZONES[one % len(_ZONES)], "") for one in range(settings.load_senders)
        ]
        self.members = [*self.real_nodes, *self.quiet_nodes, *self.simulated_nodes, *self.load_nodes]
        self.relay_nodes = [LiveNode(f"relay-{zone}", zone, next(self._hosts)) for zone in _ZONES]
        self.upper_node = LiveNode("upper", _ZONES[0], next(self._hosts))
        self.rng = random.Random(seed)
        self.partner = Partner()
        self.discovery: LiveDiscovery | None = None
        self._changes = 0

    def _nodes(self, name: str, count: int) -> list[LiveNode]:
        return [
            LiveNode(f"{name}-{one}", _ZONES[one % len(_ZONES)], next(self._hosts)) for one in range(count)
        ]

    # Starting and ending

    async def start(self) -> None:
        """Start all processes, and wait until every sender has its shards."""
        host = Address("127.0.0.1", 0)
        await self.partner.server.listen(host)
        partner = f"127.0.0.1:{self.partner.server.port}"
        self.discovery = LiveDiscovery(DiscoveryList(self.settings.destinations, _ZONES, partner))
        await self.discovery.server.listen(host)
        self._write("members.toml", live_files.members_file(self.members))
        discovery_address = f"127.0.0.1:{self.discovery.server.port}"
        for node in (self.upper_node, *self.relay_nodes):
            upstream = [] if node is self.upper_node else [self.upper_node]
            text = live_files.relay_file(node, self.sharding, discovery_address, upstream)
            self.relays.append(self._start_program("relay", node, text))
        await self._wait_until(self._relays_ready)
        for nodes, wait_s, children in (
            (self.real_nodes, Timing().wait_s, self.real),
            (self.quiet_nodes, _QUIET_WAIT_S, self.quiet),
        ):
            for node in nodes:
                text = live_files.sender_file(
                    node, self.sharding, self.relay_nodes, len(self.members), wait_s
                )
                children.append(self._start_program("run", node, text))
        self.simulated = [self._start_simulated(node, [node]) for node in self.simulated_nodes]
        if self.load_nodes:
            load = LiveNode("load", _ZONES[0], next(self._hosts))
            self.load = [self._start_simulated(load, self.load_nodes)]
        await self._wait_until(self._senders_ready)

    def _write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def _start_program(self, command: str, node: LiveNode, text: str) -> ChildProcess:
        file = self._write(f"{node.name}.toml", text)
        return self._spawn(node, ["-m", "mountgauge", command, str(file)])

    def _start_simulated(self, node: LiveNode, senders: Sequence[LiveNode]) -> ChildProcess:
        raw = {
            "relays": [
                {"name": one.name, "zone": one.zone, "at": f"{one.host}:{RELAY_PORT}"}
                for one in self.relay_nodes
            ],
            "shards": self.sharding.shards,
            "senders": [{"name": one.name, "zone": one.zone} for one in senders],
            "fleet": len(self.members),
            "status": f"{node.host}:{STATUS_PORT}",
            "seed": self.seed,
        }
        path = self._write(f"{node.name}.json", orjson.dumps(raw).decode())
        return self._spawn(node, ["-m", "mountgauge.lab.scale.live_simulated", str(path)])

    def _spawn(self, node: LiveNode, arguments: list[str]) -> ChildProcess:
        env = {**os.environ, "PYTHONPATH": str(_ROOT)}
        with (self.folder / f"{node.name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments], cwd=self.folder, env=env, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log,
            )  # fmt: skip
        return ChildProcess(node.name, process, Address(node.host, STATUS_PORT))

    async def _wait_until(self, condition: Callable[[], Any]) -> None:
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                while not await condition():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            raise ComparisonError("relays or senders were not ready in time") from None

    async def _relays_ready(self) -> bool:
        pages = [await one.page() for one in self.relays]
        return all(page is not None and page["ready"] for page in pages)

    async def _senders_ready(self) -> bool:
        for one in (*self.simulated, *self.load):
            page = await one.page()
            if page is None or not page["ready"]:
                return False
        for one in (*self.real, *self.quiet):
            shards = await one.page("/shards")
            if shards is None or not shards["ready"]:
                return False
        return True

    async def stop(self) -> None:
        """Kill all processes and close the stand-ins."""
        children = [*self.real, *self.quiet, *self.simulated, *self.load, *self.relays]
        for one in children:
            if one.process.poll() is None:
                one.process.kill()
            one.process.wait()
        self.partner.server.close()
        if self.discovery is not None:
            self.discovery.server.close()

    # Measuring

    async def change_for(self, seconds: float) -> None:
        """Change the list at the rate of the settings for this long."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        rate = self.settings.changes_per_s
        while loop.time() < end:
            await asyncio.sleep(min(self.rng.expovariate(rate), end - loop.time()) if rate else seconds)
            if rate and loop.time() < end:
                self._change()

    def _change(self) -> None:
        assert self.discovery is not None
        self._changes += 1
        destination = self.rng.randrange(self.settings.destinations)
        kind = self.rng.choice([ChangeKind.WEIGHT, ChangeKind.REPLACED])
        self.discovery.change(ListChange(0.0, self._changes, destination, kind))

    async def rates(self) -> LiveRates:
        """Measure real, quiet and simulated senders and zone relays while the list changes."""
        groups = (self.real, self.quiet, self.simulated, self.relays[1:])
        begin = [[await self._read(one) for one in group] for group in groups]
        await self.change_for(self.settings.duration_s)
        end = [[await self._read(one) for one in group] for group in groups]
        real, quiet, simulated, relay = (
            Rates.medians([Rates.between(*pair) for pair in zip(*pairs, strict=True)])
            for pairs in zip(begin, end, strict=True)
        )
        control = Rates(real.cpu_share - quiet.cpu_share, real.bytes_s, real.messages_s)
        return LiveRates(control, simulated, relay)

    @staticmethod
    async def _read(one: ChildProcess) -> Reading:
        """The current counters of a process."""
        page = await one.page() or {}
        counts = page.get("upstream") or page.get("sharding", {}).get("upstream", {})
        asked = page.get("server", {}).get("requests", 0) + page.get("server", {}).get("answers", 0)
        return Reading(
            asyncio.get_running_loop().time(),
            one.cpu_s(),
            counts.get("sent_bytes", 0) + counts.get("received_bytes", 0),
            2 * counts.get("calls", 0) + asked,
        )

    # Messages

    async def send_messages(self) -> DeliveryCounts:
        """Submit messages to the real senders while the list changes."""
        clients = [Client(Address(node.host, RESP_PORT)) for node in self.real_nodes]
        changing = asyncio.ensure_future(self.change_for(self.settings.carry_s))
        try:
            pairs = zip(clients, self.real, strict=True)
            await asyncio.gather(*(self._submit(client, sender) for client, sender in pairs))
            await changing
        finally:
            changing.cancel()
            for one in clients:
                one.close()
        accepted = [message for client in clients for message in client.accepted]
        await self._wait_until_delivered(accepted)
        delivered = self.partner.delivered
        lost, doubled = (
            sum(not delivered[one] for one in accepted),
            sum(delivered[one] > 1 for one in accepted),
        )
        return DeliveryCounts(len(accepted), lost, doubled)

    async def _submit(self, client: Client, sender: ChildProcess) -> None:
        page = await sender.page("/shards") or {"shards": []}
        placed = {row["shard"] for row in page["shards"] if row["placed"]}
        count = self.sharding.shards
        own = [one for one in range(self.settings.destinations) if shard_of(one, count) in placed]
        loop = asyncio.get_running_loop()
        started_at, number = loop.time(), 0
        while own and loop.time() - started_at < self.settings.carry_s:
            number += 1
            message_id = f"{sender.name}-{number}"
            with suppress(OSError):
                await client.submit(message_id, self.rng.choice(own), _MESSAGE_DEADLINE_S)
            await asyncio.sleep(1 / self.settings.messages_per_s)

    async def _wait_until_delivered(self, accepted: Sequence[str]) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + _DRAIN_TIMEOUT_S
        while loop.time() < end and any(not self.partner.delivered[one] for one in accepted):
            await asyncio.sleep(0.1)


async def _run_live(settings: RealSettings, seed: int, folder: Path) -> tuple[LiveRates, DeliveryCounts]:
    fleet = LiveFleet(settings, seed, folder)
    try:
        await fleet.start()
        await asyncio.sleep(_SETTLE_S)
        return await fleet.rates(), await fleet.send_messages()
    finally:
        await fleet.stop()


def _run_virtual(settings: RealSettings, seed: int) -> SizeResult:
    """Simulate the same fleet in virtual time, without faults or losses."""
    size = Size(
        3 * settings.senders + settings.load_senders, settings.destinations, shards_of(settings.destinations)
    )
    world = ScaleSettings(
        name="comparison", seed=seed, duration_s=settings.duration_s, warm_s=_VIRTUAL_WARM_S, settle_s=0.0,
        workers=1, most_memory_gb=1.0, sizes=(size,),
        fleet=FleetSettings(regions=1, zones=len(_ZONES), upper_relays=1, replicas=_REPLICAS),
        network=NetworkSettings(zone_delay_s=0.0002, jitter_s=0.0002, loss=0.0),
        changes=ChangeSettings(settings.changes_per_s, 0, 0.0, 0.0, 0),
        faults=FaultSettings(
            restart_share=0, machine_share=0, racks=0, zones=0, region_cuts=0, slow_relays=0, relays_lost=0
        ),
    )  # fmt: skip
    return run_size(world, size)


def compare(settings: RealSettings, seed: int, show: Callable[[str], None] = print) -> Comparison:
    """Compare simulated senders with real ones; raises ComparisonError if they don't start."""
    with tempfile.TemporaryDirectory(prefix="mountgauge-scale-") as folder:
        live, delivery = asyncio.run(_run_live(settings, seed, Path(folder)))
    virtual = _run_virtual(settings, seed)
    real, simulated, relay = live.real, live.simulated, live.zone_relay
    for name, rates in (("real", real), ("hollow", simulated), ("relay", relay)):
        show(
            f"{name:<7} {rates.cpu_share:.5f} of a core, {rates.bytes_s:.0f} bytes/s,"
            f" {rates.messages_s:.3f} messages/s"
        )
    return Comparison(
        senders=settings.senders,
        destinations=settings.destinations,
        bytes=simulated.bytes_s / real.bytes_s - 1,
        messages=simulated.messages_s / real.messages_s - 1,
        virtual_messages=virtual.sender.messages_s / real.messages_s - 1,
        cpu=simulated.cpu_share / real.cpu_share - 1 if real.cpu_share > 0 else math.inf,
        real_cpu_share=real.cpu_share,
        sender_io_s=simulated.cpu_share / simulated.messages_s
        - virtual.sender.cpu_share / virtual.sender.messages_s,
        relay_io_s=relay.cpu_share / relay.messages_s
        - virtual.zone_relay.cpu_share / virtual.zone_relay.messages_s,
        lost=delivery.lost,
        doubled=delivery.doubled,
        delivered=delivery.accepted - delivery.lost,
    )
