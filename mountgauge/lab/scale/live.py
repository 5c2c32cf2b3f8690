"""Hollow senders against real ones: both on the same relays, over sockets, at the same size.

Relays, real senders and one process with all hollow senders are processes of their own; discovery, the
partner and the clients stand in this one. What a real sender spends on control is its processor time less
that of a quiet one, which is the same but asks hardly ever; no messages go meanwhile. Then the real senders
carry messages, and each one that was taken on must be delivered once.
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
from mountgauge.lab.scale.live_files import RELAY_PORT, RESP_PORT, STATUS_PORT, Seat, Sharding
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
from mountgauge.status import ask

_ROOT = Path(mountgauge.__file__).parent.parent
_ZONES = ("zone-0", "zone-1", "zone-2")
_REPLICAS = 3
_SHARDS_A_DESTINATION = FULL_SIZE.shards / FULL_SIZE.destinations
_QUIET_WAIT_S = 50.0  # for which the asks of quiet senders are held: one or two in a comparison
_VIRTUAL_WARM_S = 10.0
_START_S = 60.0  # in which all must be ready, however slow the machine
_SETTLE_S = 3.0  # after that, before anything is measured
_DRAIN_S = 20.0  # in which what was taken on must be delivered
_DEADLINE_S = 60.0  # of a message


def shards_of(destinations: int) -> int:
    """As many shards as so many destinations have at the full size's proportions."""
    return max(1, round(destinations * _SHARDS_A_DESTINATION))


class ComparisonError(RuntimeError):
    """Real senders could not be compared; the text is one line."""


@dataclass(slots=True, eq=False)
class ChildProcess:
    """A process of the comparison."""

    name: str
    process: subprocess.Popen[bytes]
    status: Address

    def cpu_s(self) -> float:
        """Processor time so far, of all its threads."""
        spent = 0
        for task in Path(f"/proc/{self.process.pid}/task").iterdir():
            with suppress(OSError):  # a thread that has just ended
                spent += int((task / "schedstat").read_text().split()[0])
        return spent / 1e9

    async def page(self, name: str = "/status") -> dict[str, Any] | None:
        """One of its pages; None where it does not answer yet."""
        if self.process.poll() is not None:
            raise ComparisonError(f"{self.name} ended with {self.process.returncode}")
        try:
            return await ask(self.status, limit=5.0, page=name)
        except (OSError, ValueError):
            return None


@dataclass(frozen=True, slots=True)
class Reading:
    """A process's counts at a moment."""

    at: float
    cpu_s: float
    bytes: float
    messages: float


@dataclass(frozen=True, slots=True)
class Rates:
    """What one sender costs a second."""

    cpu_share: float
    bytes_s: float
    messages_s: float

    @classmethod
    def between(cls, begin: Reading, end: Reading) -> Rates:
        seconds = end.at - begin.at
        return cls(
            (end.cpu_s - begin.cpu_s) / seconds,
            (end.bytes - begin.bytes) / seconds,
            (end.messages - begin.messages) / seconds,
        )

    @classmethod
    def middle(cls, rates: Sequence[Rates]) -> Rates:
        """The medians: a process that the machine has held up does not count."""
        return cls(
            median(one.cpu_share for one in rates),
            median(one.bytes_s for one in rates),
            median(one.messages_s for one in rates),
        )


@dataclass(frozen=True, slots=True)
class LiveRates:
    """Of the median process of each kind."""

    real: Rates  # its control part alone
    hollow: Rates
    zone_relay: Rates


@dataclass(frozen=True, slots=True)
class Carried:
    """What became of the messages that real senders took on."""

    taken: int
    lost: int
    doubled: int


class LiveFleet:
    """All processes and stand-ins of one comparison."""

    def __init__(self, settings: RealSettings, seed: int, folder: Path) -> None:
        self.settings, self.seed, self.folder = settings, seed, folder
        self.relays: list[ChildProcess] = []
        self.real: list[ChildProcess] = []
        self.quiet: list[ChildProcess] = []
        self.hollow: list[ChildProcess] = []  # each with one hollow sender
        self.load: list[ChildProcess] = []  # one with many, for the relays' load
        self.sharding = Sharding(shards_of(settings.destinations), _REPLICAS)
        count = settings.senders
        self._places = iter(hosts(len(_ZONES) + 2 + 3 * count, os.getpid()))
        self.real_seats = self._seats("real", count)
        self.quiet_seats = self._seats("quiet", count)
        self.hollow_seats = self._seats("hollow", count)
        self.load_seats = [
            Seat(f"load-{one}", _ZONES[one % len(_ZONES)], "") for one in range(settings.load_senders)
        ]
        self.members = [*self.real_seats, *self.quiet_seats, *self.hollow_seats, *self.load_seats]
        self.relay_seats = [Seat(f"relay-{zone}", zone, next(self._places)) for zone in _ZONES]
        self.upper_seat = Seat("upper", _ZONES[0], next(self._places))
        self.rng = random.Random(seed)
        self.partner = Partner()
        self.discovery: LiveDiscovery | None = None
        self._changes = 0

    def _seats(self, name: str, count: int) -> list[Seat]:
        return [Seat(f"{name}-{one}", _ZONES[one % len(_ZONES)], next(self._places)) for one in range(count)]

    # Starting and ending

    async def start(self) -> None:
        """Start all, and wait until every sender holds its part."""
        host = Address("127.0.0.1", 0)
        await self.partner.server.listen(host)
        partner = f"127.0.0.1:{self.partner.server.port}"
        self.discovery = LiveDiscovery(DiscoveryList(self.settings.destinations, _ZONES, partner))
        await self.discovery.server.listen(host)
        self._write("members.toml", live_files.members_file(self.members))
        at = f"127.0.0.1:{self.discovery.server.port}"
        for seat in (self.upper_seat, *self.relay_seats):
            above = [] if seat is self.upper_seat else [self.upper_seat]
            text = live_files.relay_file(seat, self.sharding, at, above)
            self.relays.append(self._run("relay", seat, text))
        await self._until(self._relays_ready)
        for seats, wait_s, into in (
            (self.real_seats, Timing().wait_s, self.real),
            (self.quiet_seats, _QUIET_WAIT_S, self.quiet),
        ):
            for seat in seats:
                text = live_files.sender_file(
                    seat, self.sharding, self.relay_seats, len(self.members), wait_s
                )
                into.append(self._run("run", seat, text))
        self.hollow = [self._run_hollow(seat, [seat]) for seat in self.hollow_seats]
        if self.load_seats:
            load = Seat("load", _ZONES[0], next(self._places))
            self.load = [self._run_hollow(load, self.load_seats)]
        await self._until(self._senders_ready)

    def _write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def _run(self, command: str, seat: Seat, text: str) -> ChildProcess:
        file = self._write(f"{seat.name}.toml", text)
        return self._spawn(seat, ["-m", "mountgauge", command, str(file)])

    def _run_hollow(self, seat: Seat, senders: Sequence[Seat]) -> ChildProcess:
        raw = {
            "relays": [
                {"name": one.name, "zone": one.zone, "at": f"{one.host}:{RELAY_PORT}"}
                for one in self.relay_seats
            ],
            "shards": self.sharding.shards,
            "senders": [{"name": one.name, "zone": one.zone} for one in senders],
            "fleet": len(self.members),
            "status": f"{seat.host}:{STATUS_PORT}",
            "seed": self.seed,
        }
        path = self._write(f"{seat.name}.json", orjson.dumps(raw).decode())
        return self._spawn(seat, ["-m", "mountgauge.lab.scale.live_simulated", str(path)])

    def _spawn(self, seat: Seat, words: list[str]) -> ChildProcess:
        env = {**os.environ, "PYTHONPATH": str(_ROOT)}
        with (self.folder / f"{seat.name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *words], cwd=self.folder, env=env, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log,
            )  # fmt: skip
        return ChildProcess(seat.name, process, Address(seat.host, STATUS_PORT))

    async def _until(self, true: Callable[[], Any]) -> None:
        try:
            async with asyncio.timeout(_START_S):
                while not await true():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            raise ComparisonError("relays or senders were not ready in time") from None

    async def _relays_ready(self) -> bool:
        pages = [await one.page() for one in self.relays]
        return all(page is not None and page["ready"] for page in pages)

    async def _senders_ready(self) -> bool:
        for one in (*self.hollow, *self.load):
            page = await one.page()
            if page is None or not page["ready"]:
                return False
        for one in (*self.real, *self.quiet):
            shards = await one.page("/shards")
            if shards is None or not shards["ready"]:
                return False
        return True

    async def stop(self) -> None:
        """End all processes: none is left behind."""
        children = [*self.real, *self.quiet, *self.hollow, *self.load, *self.relays]
        for one in children:
            if one.process.poll() is None:
                one.process.kill()
            one.process.wait()
        self.partner.server.close()
        if self.discovery is not None:
            self.discovery.server.close()

    # Measuring

    async def change_for(self, seconds: float) -> None:
        """Change the list at the settings' rate."""
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
        """What real, quiet and hollow senders and the zones' relays cost a second: the medians."""
        groups = (self.real, self.quiet, self.hollow, self.relays[1:])
        begin = [[await self._read(one) for one in group] for group in groups]
        await self.change_for(self.settings.duration_s)
        end = [[await self._read(one) for one in group] for group in groups]
        real, quiet, hollow, relay = (
            Rates.middle([Rates.between(*pair) for pair in zip(*pairs, strict=True)])
            for pairs in zip(begin, end, strict=True)
        )
        control = Rates(real.cpu_share - quiet.cpu_share, real.bytes_s, real.messages_s)
        return LiveRates(control, hollow, relay)

    @staticmethod
    async def _read(one: ChildProcess) -> Reading:
        """A process's counts now."""
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

    async def carry(self) -> Carried:
        """Messages through the real senders while the list changes."""
        clients = [Client(Address(seat.host, RESP_PORT)) for seat in self.real_seats]
        changing = asyncio.ensure_future(self.change_for(self.settings.carry_s))
        try:
            pairs = zip(clients, self.real, strict=True)
            await asyncio.gather(*(self._hand_in(client, sender) for client, sender in pairs))
            await changing
        finally:
            changing.cancel()
            for one in clients:
                one.close()
        taken = [message for client in clients for message in client.taken]
        await self._drained(taken)
        delivered = self.partner.delivered
        lost, doubled = (sum(not delivered[one] for one in taken), sum(delivered[one] > 1 for one in taken))
        return Carried(len(taken), lost, doubled)

    async def _hand_in(self, client: Client, sender: ChildProcess) -> None:
        page = await sender.page("/shards") or {"shards": []}
        placed = {row["shard"] for row in page["shards"] if row["placed"]}
        count = self.sharding.shards
        own = [one for one in range(self.settings.destinations) if shard_of(one, count) in placed]
        loop = asyncio.get_running_loop()
        begun, number = loop.time(), 0
        while own and loop.time() - begun < self.settings.carry_s:
            number += 1
            message_id = f"{sender.name}-{number}"
            with suppress(OSError):
                await client.hand_in(message_id, self.rng.choice(own), _DEADLINE_S)
            await asyncio.sleep(1 / self.settings.messages_per_s)

    async def _drained(self, taken: Sequence[str]) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + _DRAIN_S
        while loop.time() < end and any(not self.partner.delivered[one] for one in taken):
            await asyncio.sleep(0.1)


async def _play(settings: RealSettings, seed: int, folder: Path) -> tuple[LiveRates, Carried]:
    fleet = LiveFleet(settings, seed, folder)
    try:
        await fleet.start()
        await asyncio.sleep(_SETTLE_S)
        return await fleet.rates(), await fleet.carry()
    finally:
        await fleet.stop()


def _virtual(settings: RealSettings, seed: int) -> SizeResult:
    """The same fleet in virtual time, without faults or losses."""
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
    """Compare hollow senders with real ones; ComparisonError where they don't come up."""
    with tempfile.TemporaryDirectory(prefix="mountgauge-scale-") as folder:
        live, carried = asyncio.run(_play(settings, seed, Path(folder)))
    virtual = _virtual(settings, seed)
    real, hollow, relay = live.real, live.hollow, live.zone_relay
    for name, rates in (("real", real), ("hollow", hollow), ("relay", relay)):
        show(
            f"{name:<7} {rates.cpu_share:.5f} of a core, {rates.bytes_s:.0f} bytes/s,"
            f" {rates.messages_s:.3f} messages/s"
        )
    return Comparison(
        senders=settings.senders,
        destinations=settings.destinations,
        bytes=hollow.bytes_s / real.bytes_s - 1,
        messages=hollow.messages_s / real.messages_s - 1,
        virtual_messages=virtual.sender.messages_s / real.messages_s - 1,
        cpu=hollow.cpu_share / real.cpu_share - 1 if real.cpu_share > 0 else math.inf,
        real_cpu_share=real.cpu_share,
        sender_io_s=hollow.cpu_share / hollow.messages_s
        - virtual.sender.cpu_share / virtual.sender.messages_s,
        relay_io_s=relay.cpu_share / relay.messages_s
        - virtual.zone_relay.cpu_share / virtual.zone_relay.messages_s,
        lost=carried.lost,
        doubled=carried.doubled,
        delivered=carried.taken - carried.lost,
    )
