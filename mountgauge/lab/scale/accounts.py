"""Costs of the virtual fleet's processes over a period, by role and name."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import fmean, median

from mountgauge.lab.scale.nodes import LOAD_BUCKET_S, RelayNode, SenderNode


class Role(StrEnum):
    """The roles of processes in the fleet."""

    SENDER = "sender"
    ZONE_RELAY = "zone-relay"
    UPPER_RELAY = "upper-relay"


@dataclass(slots=True)
class Costs:
    """Costs under one name, over all processes that had it."""

    cpu_s: float = 0.0
    bytes: int = 0  # sent and received
    messages: int = 0

    def add(self, other: Costs, sign: int = 1) -> None:
        """Add the costs of another, or subtract them with `sign` -1."""
        self.cpu_s += sign * other.cpu_s
        self.bytes += sign * other.bytes
        self.messages += sign * other.messages


@dataclass(slots=True)
class MeanCosts:
    """Costs per second: the mean over the names of a role, and the largest processor time of one."""

    count: int
    cpu_share: float
    most_cpu_share: float
    kb_s: float
    messages_s: float


def costs_of(node: SenderNode | RelayNode) -> Costs:
    """The costs of one process since its start."""
    traffic = node.party.traffic
    return Costs(node.machine.processor.spent_s, traffic.bytes, traffic.messages)


@dataclass(slots=True)
class Accounts:
    """Costs by role and name, counted from `begin` on."""

    _running: dict[tuple[Role, str], SenderNode | RelayNode] = field(default_factory=dict)
    _ended: dict[tuple[Role, str], Costs] = field(default_factory=dict)
    _began_at: float = 0.0

    def started(self, role: Role, node: SenderNode | RelayNode) -> None:
        """Record that a process has started."""
        self._running[role, node.party.name] = node
        self._ended.setdefault((role, node.party.name), Costs())

    def ended(self, role: Role, name: str) -> None:
        """Record that the process of that name has ended."""
        if (node := self._running.pop((role, name), None)) is not None:
            self._ended[role, name].add(costs_of(node))

    def begin(self, now: float) -> None:
        """Start counting: costs before `now` are left out."""
        self._began_at = now
        for key in self._ended:
            self._ended[key] = Costs()
        for key, node in self._running.items():
            self._ended[key].add(costs_of(node), -1)

    def mean(self, role: Role, now: float) -> MeanCosts:
        """The mean costs over all names of a role, since `begin`."""
        seconds = now - self._began_at
        found = []
        for key, ended in self._ended.items():
            if key[0] is not role:
                continue
            costs = Costs(ended.cpu_s, ended.bytes, ended.messages)
            if (node := self._running.get(key)) is not None:
                costs.add(costs_of(node))
            found.append(costs)
        return MeanCosts(
            len(found),
            fmean(one.cpu_s for one in found) / seconds,
            max(one.cpu_s for one in found) / seconds,
            fmean(one.bytes for one in found) / seconds / 1000,
            fmean(one.messages for one in found) / seconds,
        )


def load_peak(relays: Iterable[RelayNode], begin: float, end: float) -> float:
    """The largest number of asks in one bucket at any of these relays, relative to the median bucket."""
    first, last = int(begin / LOAD_BUCKET_S), int(end / LOAD_BUCKET_S)
    loads: list[Counter[int]] = [relay.load for relay in relays]
    counts = [load[bucket] for load in loads for bucket in range(first, last)]
    median_count = median(counts) if counts else 0.0
    return max(counts) / median_count if median_count > 0 else 0.0
