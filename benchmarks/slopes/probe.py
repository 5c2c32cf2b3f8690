"""Probes: one cost measured at several sizes, and the loop that measures it.

Processor time is `time.process_time` of this process, the least of several repeats: other load on the machine
can only increase it. Short operations are repeated for a quarter of a second. Memory is what `tracemalloc`
counts, or the resident size of a fresh process.
"""

from __future__ import annotations

import gc
import math
import os
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from mountgauge.lab.scale.fit import Measurement


class Unit(StrEnum):
    """What a cost is measured in."""

    SECONDS = "s"  # processor time of one operation
    BYTES = "bytes"  # memory
    CORE_SHARE = "core"  # processor time of one member by elapsed time
    BYTES_PER_S = "bytes/s"  # of one member's datagrams


class Method(StrEnum):
    """How a cost was measured."""

    PROCESS_TIME = "process_time, least of repeats"
    TRACEMALLOC = "tracemalloc"
    FRESH_PROCESS = "resident size of a fresh process"
    VIRTUAL_TIME = "process_time by virtual time"
    COUNTED = "counted"


class Axis(StrEnum):
    """The size that grows."""

    DESTINATIONS = "destinations"  # listed, one endpoint each
    MEMBERS = "members"
    MESSAGES = "messages"  # queued in one sender
    BUDGETS = "budgets"
    TENANTS = "tenants"
    CONNECTIONS = "connections"  # kept open to next hops


_MIN_TIMED_S = 1e-3  # of processor time: far longer than the clock's resolution
_SAMPLING_S = 0.25  # of processor time, for which short operations are repeated
_MIN_SIZES = 3  # measured regardless of their cost: fewer cannot be fitted

Sample = Callable[[], float]  # one measurement of one operation, in the probe's unit


@dataclass(frozen=True, slots=True)
class Probe:
    """A cost to measure at several sizes. `prepare` builds the setup of a size and returns its sample."""

    name: str
    prepare: Callable[[int], Sample]
    source: str  # module and function that the cost comes from
    axis: Axis = Axis.DESTINATIONS
    unit: Unit = Unit.SECONDS
    method: Method = Method.PROCESS_TIME
    sizes: tuple[int, ...] = (100, 300, 1_000, 3_000, 10_000, 30_000, 100_000, 300_000)
    repeats: int = 7
    limit_s: float = 6.0  # of processor time; no larger size is started that would exceed it
    quick_sizes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The measurements of a probe."""

    probe: Probe
    measurements: tuple[Measurement, ...]
    load_average: float  # over one minute, the highest during the probe
    spent_s: float


def timed(operation: Callable[[], object]) -> float:
    """Processor time of one operation, s; the mean of several, if one is too short to be measured."""
    began, count, batch = time.process_time(), 0, 1
    while True:
        for _ in range(batch):
            operation()
        count += batch
        spent = time.process_time() - began
        if spent >= _MIN_TIMED_S:
            return spent / count
        batch = count


def allocated(build: Callable[[], object]) -> float:
    """Bytes allocated for the object that `build` returns, as tracemalloc counts."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        found = tracemalloc.get_traced_memory()[0] - before
        del kept
        return float(found)
    finally:
        tracemalloc.stop()


def measure(probe: Probe, quick: bool) -> ProbeResult:
    """Measures from the smallest size up, until the next size would exceed the probe's limit."""
    sizes = (probe.quick_sizes or probe.sizes[:4]) if quick else probe.sizes
    limit = probe.limit_s / 5 if quick else probe.limit_s
    began, found, costs, load = time.process_time(), list[Measurement](), list[float](), 0.0
    for index, size in enumerate(sizes):
        spent = time.process_time() - began
        if index >= _MIN_SIZES and spent + _expected_cost(sizes[: index + 1], costs) > limit:
            break
        found.append(Measurement(size, _least(probe, size)))
        costs.append(time.process_time() - began - spent)
        load = max(load, os.getloadavg()[0])
    return ProbeResult(probe, tuple(found), round(load, 2), round(time.process_time() - began, 2))


def _least(probe: Probe, size: int) -> float:
    sample = probe.prepare(size)
    gc.collect()
    gc.disable()  # a garbage collection during a sample is not a cost of its operation
    try:
        costs, began = [sample() for _ in range(probe.repeats)], time.process_time()
        sample_more = probe.method is Method.PROCESS_TIME and probe.repeats > 1
        while sample_more and time.process_time() - began < _SAMPLING_S:
            costs.append(sample())
        return min(costs)
    finally:
        gc.enable()


def _expected_cost(sizes: tuple[int, ...], costs: list[float]) -> float:
    """The cost of the last of these sizes, extrapolated from the growth between the two before it."""
    before, last = max(costs[-2], 1e-3), max(costs[-1], 1e-3)
    growth = math.log(last / before) / math.log(sizes[-2] / sizes[-3])
    return last * math.pow(sizes[-1] / sizes[-2], max(0.0, growth))
