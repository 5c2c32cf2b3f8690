"""Runs a schedule: starts members, stand-ins and proxies, generates load, injects faults, records events."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import shutil
import signal
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from fnmatch import fnmatch
from functools import partial
from pathlib import Path
from typing import Any

from mountgauge.lab.rig import files
from mountgauge.lab.rig.events import Events
from mountgauge.lab.rig.list_calls import ListCallRecorder, connection_name
from mountgauge.lab.rig.network_conditions import NetworkConditions
from mountgauge.lab.rig.processes import GOSSIP, RESP, Member, hosts
from mountgauge.lab.rig.proxies import HOST, Address, DatagramProxy, Proxies, StreamProxy
from mountgauge.lab.rig.schedule import (
    ON_CLIENTS,
    ON_DISCOVERY,
    ON_MEMBERS,
    ON_PARTNERS,
    Fault,
    Schedule,
    select_members,
)
from mountgauge.lab.rig.stand_ins import (
    ListEntry,
    LoadGenerator,
    MemberClient,
    PartnerStandIn,
    PlatformStandIn,
)
from mountgauge.lab.rig.starvation import KIND as STARVED
from mountgauge.lab.rig.starvation import MIN_RECORDED_WAIT_S, SAMPLE_INTERVAL_S, RunDelays

_CAPACITY_INTERVAL_S = 0.05  # between two records of a partner's capacity
_LAG_S = 0.02  # smaller delays of the rig's own loop are not recorded
_RECORDED_LOG_EVENTS = (
    "phase", "full-service", "held-up", "stale", "remembered", "life", "ready", "restored", "budget",
    "paused", "folder",
)  # fmt: skip
_RIGS = itertools.count(os.getpid())


class Runner:
    """One run of a schedule; an instance is run once."""

    def __init__(self, schedule: Schedule, folder: Path, command: list[str] | None = None) -> None:
        """`command`: the interpreter's arguments in place of `-m mountgauge`, for mutated senders."""
        folder = folder.resolve()  # members run in their own folders, where a relative path is another one
        self.schedule, self.folder = schedule, folder
        self.events = Events(time.monotonic)
        addresses = dict(zip(schedule.names, hosts(schedule.fleet.members, next(_RIGS)), strict=True))
        self.proxies = Proxies(schedule.seed, addresses)
        self.partners = {
            spec.dest: PartnerStandIn(spec, self.events, self._member_at) for spec in schedule.partners
        }
        self.platform = PlatformStandIn(
            self.events,
            self._member_at,
            self._address_of,
            self._carries,
            self._connection,
            schedule.fleet.pushed,
        )
        self.members = {
            name: Member(name, host, folder / name, self.events, on_log_line=self._log_line)
            for name, host in addresses.items()
        }
        self.command = command or ["-m", "mountgauge"]
        self.gossip_proxy: DatagramProxy | None = None
        self.peers: dict[tuple[int, int], Address] = {}
        self.member_clients: dict[tuple[str, str], MemberClient] = {}
        self.load_generators: list[LoadGenerator] = []
        self._last_members: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.errors: list[str] = []

    def _member_at(self, peer: Any) -> str:
        return self.proxies.who.get(tuple(peer[:2]), "?") if peer else "?"

    def _address_of(self, member: str, endpoint: str) -> Address:
        return self.proxies.all[member, endpoint].address

    def _carries(self, member: str, peer: Address) -> bool:
        link = self.proxies.all.get((member, "discovery"))
        return link is None or link.carries_from(peer)

    def _connection(self, member: str, peer: Address) -> str:
        """The name of the member's connection to discovery in events; empty if it is not known."""
        link = self.proxies.all.get((member, "discovery"))
        number = None if link is None else link.number_of(peer)
        return "" if link is None or number is None else connection_name(str(link.address[1]), number)

    def _log_line(self, member: str, pairs: Mapping[str, str]) -> None:
        event = pairs.get("event", "")
        if event.startswith(_RECORDED_LOG_EVENTS) or pairs.get("level") in ("error", "critical"):
            rest = {key: value for key, value in pairs.items() if key not in ("ts", "level", "at", "event")}
            self.events.add("log", member=member, event=event, level=pairs.get("level", ""), pairs=rest)

    # Setup

    async def start(self) -> None:
        """Start everything, wait until the members serve, begin the load; time 0 is `settle_s` later."""
        schedule = self.schedule
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        await self.platform.start()
        for partner in self.partners.values():
            for endpoint in partner.endpoints:
                await endpoint.start()
        for name, member in self.members.items():
            member.folder.mkdir(parents=True)
            await self._add_discovery_link(name)
            await self.proxies.add("clients", name, (member.host, RESP))
            for partner in self.partners.values():
                for endpoint in partner.endpoints:
                    await self.proxies.add(name, endpoint.id, endpoint.address)
        if schedule.fleet.gossip:
            self.gossip_proxy = DatagramProxy(
                [(one.host, GOSSIP) for one in self.members.values()], seed=f"{schedule.seed}/relay"
            )
            self.peers = await self.gossip_proxy.start()
        self.platform.change(
            {
                endpoint.id: ListEntry(endpoint.id, partner.spec.dest, partner.spec.advertised_rate)
                for partner in self.partners.values()
                for endpoint in partner.endpoints
            }
        )
        for member in self.members.values():
            self._write(member)
        await asyncio.gather(*(self._start_member(member) for member in self.members.values()))
        self._spawn(self._log_capacities())
        self._spawn(self._log_starvation())
        for load in schedule.loads:
            message_class = next(one for one in schedule.message_classes if one.name == load.grade)
            for name in (one for one in schedule.names if fnmatch(one, load.who)):
                client = self.member_clients.setdefault(
                    (name, load.tenant),
                    MemberClient(name, self.proxies.all["clients", name], self.events, user=load.tenant),
                )
                seed = f"{schedule.seed}/{name}/{load.dest}/{load.grade}/{load.tenant}"
                self.load_generators.append(LoadGenerator(load, client, message_class.deadline_s, seed))
        self.events.begin(-schedule.settle_s)
        for one in self.load_generators:
            self._spawn(one.run(schedule.seconds))

    async def _add_discovery_link(self, name: str) -> None:
        """Add a link by which the member reaches discovery from now on."""
        address = await self.proxies.add(name, "discovery", self.platform.address)
        self.proxies.all[name, "discovery"].watcher = ListCallRecorder(name, str(address[1]), self.events)
        self._log_link(name)

    def _log_link(self, name: str) -> None:
        now = self.proxies.all[name, "discovery"].conditions
        self.events.add("discovery-link", member=name, silent=bool(now.silent), refuses=now.refuse)

    def _set_links(self, proxies: list[StreamProxy], conditions: NetworkConditions) -> None:
        for proxy in proxies:
            proxy.set(conditions)
            if self.proxies.all.get((proxy.source, "discovery")) is proxy:
                self._log_link(proxy.source)

    def _write(self, member: Member) -> None:
        """Write the member's file atomically; its list counts as written to the member from then on."""
        schedule, name = self.schedule, member.name
        if schedule.fleet.front == "platform":
            path = member.folder / "config.json"
            known = self.platform.last.get(name) or self.platform.as_json(name)
            self.events.add("known", member=name, version=known["version"])
            address = self.proxies.all[name, "discovery"].address
            text = files.platform_file(schedule, name, member.host, address, known)
            member.env = {"GW_CONFIG": str(path), "GW_STATE": str(member.state), "GW_NAME": name}
            member.command = [*self.command]
        else:
            path = member.folder / "sender.toml"
            hops = [
                (one.id, one.dest, self._address_of(name, one.id), one.state)
                for one in self.platform.entries.values()
            ]
            number = schedule.names.index(name)
            peers = [at for (source, _), at in self.peers.items() if source == number]
            members = [
                (other, self.peers.get((number, peer), (self.members[other].host, GOSSIP)))
                for peer, other in enumerate(schedule.names)
            ]
            text = files.operator_file(
                schedule, name, member.host, hops, peers, self.proxies.all[name, "discovery"].address, members
            )
            member.command = [*self.command, "run", str(path)]
        spare = path.with_suffix(".new")
        spare.write_text(text)
        os.replace(spare, path)
        if schedule.fleet.front == "operator" or not member.run_count:
            self.platform.record_list(name, self.platform.as_json(name))

    async def _start_member(self, member: Member) -> None:
        if self.schedule.fleet.front == "platform" and member.run_count:  # it starts with its last list
            self._write(member)
        await member.start()
        await member.wait_ready()

    def _spawn(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(self._report_errors(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_errors(self, work: Any) -> None:
        try:
            await work
        except (OSError, RuntimeError) as error:
            self.errors.append(str(error))
            self.events.add("rig-error", error=str(error))

    async def _log_capacities(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for partner in self.partners.values():
                partner.log_capacity()
            due = loop.time() + _CAPACITY_INTERVAL_S
            await asyncio.sleep(_CAPACITY_INTERVAL_S)
            if (late := loop.time() - due) > _LAG_S:  # the stand-ins' records are that much late
                self.events.add("lag", late_s=round(late, 3))

    async def _log_starvation(self) -> None:
        delays = RunDelays()
        while True:
            for member in self.members.values():
                process = member.process
                if process is None or process.returncode is not None or member.paused:
                    continue
                if (waited_s := delays.increase_s(process.pid)) >= MIN_RECORDED_WAIT_S:
                    self.events.add(STARVED, member=member.name, waited_s=round(waited_s, 3))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    # Faults

    async def run(self) -> Events:
        """Run the whole schedule and return its events."""
        schedule = self.schedule
        try:
            await self.start()
            for index in sorted(range(len(schedule.faults)), key=lambda one: schedule.faults[one].at):
                fault = schedule.faults[index]
                await asyncio.sleep(max(0.0, fault.at - self.events.now))
                await self.inject(index)
            await asyncio.sleep(max(0.0, schedule.seconds + schedule.drain_s - self.events.now))
        finally:
            await self.stop()
        return self.events

    async def inject(self, index: int) -> None:
        """Inject the fault at this index of the schedule."""
        fault = self.schedule.faults[index]
        if fault.do in ON_MEMBERS:
            who = select_members(self.schedule, index, self._last_members)
            self._last_members = who
            self.events.add("fault", do=fault.do, who=who, back_s=fault.back_s, folder=list(fault.folder))
            await self._on_members(fault, who, index)
        else:
            self.events.add(
                "fault", do=fault.do, dest=fault.dest, for_s=fault.for_s, between=list(fault.between)
            )
            if fault.do in ON_PARTNERS:
                await self._on_partner(fault)
                self.partners[fault.dest].log_capacity()
            elif fault.do in ON_DISCOVERY:
                self._on_discovery(fault)
            elif fault.do in ON_CLIENTS:
                self._on_clients(fault)
            elif fault.do == "split":
                self._split(fault)
            else:
                self._on_links(fault)

    async def _on_members(self, fault: Fault, who: list[str], index: int) -> None:
        members = [self.members[name] for name in who]
        rng = self.schedule.rng(f"fault/{index}")
        match fault.do:
            case "save-folder":
                for member in members:
                    member.save()
            case "empty-folder":
                for member in members:
                    member.empty_state()
            case "pause":
                for member in members:
                    member.signal(signal.SIGSTOP)
                    self.events.add("paused", member=member.name, for_s=fault.for_s)
                self._call_later(fault.for_s, partial(_resume, members))
            case "start":
                for member in members:
                    self._spawn(self._start_member(member))
            case "move-discovery":
                for member in members:
                    await self._move_discovery(member, fault)
            case "discovery-hangs":
                self.platform.hang(who, fault.count)
                self._call_later(fault.for_s, partial(self.platform.hang, who, 0))
            case "crash-loop":
                for member in members:
                    self._spawn(self._crash_loop(member, fault))
            case _:
                number = signal.SIGKILL if fault.do == "kill" else signal.SIGTERM
                for member in members:
                    member.should_run = False
                    member.signal(number)
                    if fault.kill_s >= 0:
                        self._spawn(
                            self._signal_series(member, fault, self.schedule.rng(f"{index}/{member.name}"))
                        )
                if fault.back_s >= 0:
                    processes = [member.process for member in members]
                    self._spawn(self._restart(fault, members, processes, rng.random()))

    async def _signal_series(self, member: Member, fault: Fault, rng: random.Random) -> None:
        """Send further signals after SIGTERM, and SIGKILL if the process still runs at the end."""
        process, before = member.process, 0.0
        for at in sorted(rng.uniform(0.0, fault.kill_s) for _ in range(fault.signals)):
            await asyncio.sleep(at - before)
            before = at
            if member.process is process:
                member.signal(rng.choice((signal.SIGTERM, signal.SIGHUP)))
        await asyncio.sleep(fault.kill_s - before)
        if member.process is process and member.running:
            self.events.add("cut-off", member=member.name, after_s=fault.kill_s)
            member.signal(signal.SIGKILL)

    async def _move_discovery(self, member: Member, fault: Fault) -> None:
        """Write a new address of discovery to its file and send SIGHUP; conditions apply to the old one."""
        old = self.proxies.all[member.name, "discovery"]
        self.proxies.all[member.name, f"discovery before {self.events.now:.3f}"] = old
        await self._add_discovery_link(member.name)
        self._write(member)
        self.events.add("sighup", member=member.name)
        member.signal(signal.SIGHUP)
        self._set_links([old], NetworkConditions().with_changes(fault.conditions))

    async def _crash_loop(self, member: Member, fault: Fault) -> None:
        for _ in range(fault.times):
            member.should_run = False
            member.signal(signal.SIGKILL)
            await member.wait_exit()
            await asyncio.sleep(max(0.0, fault.back_s))
            member.should_run = True
            await member.start()
            await asyncio.sleep(fault.for_s)
        await member.wait_ready()

    async def _restart(
        self,
        fault: Fault,
        members: list[Member],
        processes: list[asyncio.subprocess.Process | None],
        seed: float,
    ) -> None:
        """Restart the members once the processes that the fault hit have exited. A process that another fault
        had just ended may have a successor by then, whose exit must not be awaited.
        """
        await asyncio.gather(
            *(one.wait_exit(process) for one, process in zip(members, processes, strict=True))
        )
        await asyncio.sleep(fault.back_s)
        rng = self.schedule.rng(f"folders/{seed}")
        for index, member in enumerate(members):
            match fault.folder[index % len(fault.folder)]:
                case "lost":
                    member.delete_state()
                case "old":
                    member.restore_saved()
                case "cut":
                    member.truncate_files(rng)
                case "foreign":
                    member.copy_from(members[(index + 1) % len(members)])
                case "swapped" if index % 2 == 0 and index + 1 < len(members):
                    member.swap(members[index + 1])
        gap = fault.over_s / max(1, len(members) - 1)

        def late(index: int) -> float:
            """The delay of this start after the first one, s."""
            if fault.start == "together":
                return 0.0
            return index * gap if fault.start == "one-by-one" else rng.uniform(0.0, fault.over_s)

        async def start(member: Member, after: float) -> None:
            await asyncio.sleep(after)
            member.should_run = True
            await self._start_member(member)

        await asyncio.gather(*(start(member, late(index)) for index, member in enumerate(members)))

    def _call_later(self, after: float, then: Callable[[], object]) -> None:
        asyncio.get_running_loop().call_later(after, then)

    async def _on_partner(self, fault: Fault) -> None:
        partner, now = self.partners[fault.dest], self.events.now
        capacity = partner.capacity
        match fault.do:
            case "cold":
                capacity.go_cold(now)
            case "shut":
                capacity.close_for(now, fault.for_s)
                partner.wait_s = fault.wait_s
            case "limit":
                capacity.limit_factor = fault.share
                self._call_later(fault.for_s, lambda: setattr(capacity, "limit_factor", 1.0))
            case "never-warm":
                capacity.stays_cold = True
                capacity.go_cold(now)
            case "silent" | "error" | "spoilt":
                partner.mode = fault.do
                self._call_later(fault.for_s, lambda: setattr(partner, "mode", ""))
            case "add":
                listed = await self._new_endpoint(partner)
                self._publish({**self.platform.entries, listed.id: listed})
            case "replace":
                new = [await self._new_endpoint(partner) for _ in range(partner.spec.endpoints)]
                entries = {
                    name: replace(one, state="leaving") if one.dest == fault.dest else one
                    for name, one in self.platform.entries.items()
                }
                self._publish({**entries, **{one.id: one for one in new}})
            case "drain" | "remove":
                endpoint = partner.endpoints[fault.endpoint]
                entries = dict(self.platform.entries)
                if fault.do == "drain":
                    entries[endpoint.id] = ListEntry(
                        endpoint.id, fault.dest, partner.spec.advertised_rate, "leaving"
                    )
                else:
                    entries.pop(endpoint.id, None)
                self._publish(entries)

    async def _new_endpoint(self, partner: PartnerStandIn) -> ListEntry:
        endpoint = partner.new_endpoint()
        await endpoint.start()
        for name in self.members:
            await self.proxies.add(name, endpoint.id, endpoint.address)
        return ListEntry(endpoint.id, partner.spec.dest, partner.spec.advertised_rate)

    def _publish(self, entries: Mapping[str, ListEntry]) -> None:
        self.platform.change(entries)
        if self.schedule.fleet.front == "operator":
            for member in self.members.values():
                self._write(member)

    def _on_discovery(self, fault: Fault) -> None:
        platform = self.platform
        match fault.do:
            case "discovery-down":
                platform.set(down=True)
                self._call_later(fault.for_s, partial(platform.set, down=False))
            case "discovery-slow":
                platform.set(slow_s=fault.wait_s)
                self._call_later(fault.for_s, partial(platform.set, slow_s=0.0))
            case "discovery-limited":
                platform.set(cost_s=fault.wait_s)
                self._call_later(fault.for_s, partial(platform.set, cost_s=0.0))
            case "discovery-reset":
                platform.set(resets=True)
                self._call_later(fault.for_s, partial(platform.set, resets=False))
            case _:
                platform.set(older=max(1, fault.count if fault.count != 50 else 1))
                self._call_later(fault.for_s, partial(platform.set, older=0))

    def _on_clients(self, fault: Fault) -> None:
        if fault.do == "reconnect":
            for client in self.member_clients.values():
                self._spawn(client.reconnect(fault.count))
            return
        if fault.do == "crowd":
            for client in self.member_clients.values():
                self._spawn(client.crowd(fault.count, fault.for_s))
            return
        at_dest = [one for one in self.load_generators if one.load.dest == fault.dest]
        for index in range(fault.count):
            at_dest[index % len(at_dest)].offer()

    def _parties(self, name: str) -> Any:
        """A predicate for the parties that a link end of the schedule names."""
        if name == "members":
            return lambda one: one in self.members
        if name == "partners":
            return lambda one: one.startswith("e")
        if name.startswith("partner:"):
            return lambda one: one.startswith(f"e{name.partition(':')[2]}-")
        return lambda one: one == name

    def _on_links(self, fault: Fault) -> None:
        first, second = fault.between
        conditions = NetworkConditions().with_changes(fault.conditions)
        if first == "members" and second == "members" and self.gossip_proxy is not None:
            gossip, had = self.gossip_proxy, self.gossip_proxy.conditions
            gossip.conditions = conditions
            if fault.for_s > 0:
                self._call_later(fault.for_s, lambda: setattr(gossip, "conditions", had))
            return
        proxies = self.proxies.between(self._parties(first), self._parties(second))
        self._set_links(proxies, conditions)
        if conditions.reset >= 1000:  # reset all connections at once
            for proxy in proxies:
                proxy.reset_all()
        if fault.for_s > 0:
            self._call_later(fault.for_s, partial(self._set_links, proxies, NetworkConditions()))

    def _split(self, fault: Fault) -> None:
        if self.gossip_proxy is None:
            return
        names, proxy = self.schedule.names, self.gossip_proxy
        proxy.groups = [{names.index(one) for one in group if one in names} for group in fault.groups]
        if fault.for_s > 0:
            self._call_later(fault.for_s, lambda: setattr(proxy, "groups", []))

    async def stop(self) -> None:
        """Kill the members and close everything."""
        for one in self.load_generators:
            await one.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self.members.values():
            member.should_run = False
            if member.paused:
                member.signal(signal.SIGCONT)
            member.signal(signal.SIGKILL)
        for member in self.members.values():
            await member.wait_exit()
        for client in self.member_clients.values():
            client.close()
        self.proxies.close()
        if self.gossip_proxy is not None:
            self.gossip_proxy.close()
        for partner in self.partners.values():
            for endpoint in partner.endpoints:
                endpoint.stop()
        self.platform.stop()
        await asyncio.sleep(0)


def _resume(members: list[Member]) -> None:
    for member in members:
        member.signal(signal.SIGCONT)


def run_schedule(schedule: Schedule, folder: Path, command: list[str] | None = None) -> Events:
    """Run a schedule to its end in this process; errors of the rig itself go to stderr."""
    one = Runner(schedule, folder, command)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(one.run())
    one.events.write(folder / "events.jsonl")
    if one.errors:
        print("rig: " + "; ".join(one.errors[:5]), file=sys.stderr)
    return one.events


__all__ = ["HOST", "Runner", "run_schedule"]
