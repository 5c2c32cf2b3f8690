"""One measured cost against one size: what is measured, and the loop that measures it.

Processor time is `time.process_time` of this process, the least of several repeats: whatever shares the
machine only ever adds to it. Short operations are repeated for a quarter of a second. Memory is what
`tracemalloc` counts, or the resident size of a fresh process.
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
    SECONDS = "s"  # processor time of one operation
    BYTES = "bytes"  # memory
    CORE_SHARE = "core"  # processor time of one member by time that passes
    BYTES_PER_S = "bytes/s"  # of one member's datagrams


class Method(StrEnum):
    """How a cost was taken."""

    PROCESS_TIME = "process_time, least of repeats"
    TRACEMALLOC = "tracemalloc"
    FRESH_PROCESS = "resident size of a fresh process"
    VIRTUAL_TIME = "process_time by virtual time"
    COUNTED = "counted"


class Axis(StrEnum):
    """What grows."""

    DESTINATIONS = "destinations"  # listed, one endpoint each
    MEMBERS = "members"
    MESSAGES = "messages"  # held by one sender
    BUDGETS = "budgets"
    TENANTS = "tenants"
    CONNECTIONS = "connections"  # kept to next hops


_SEEN_S = 1e-3  # of processor time: the clock's steps are far shorter
_SAMPLED_S = 0.25  # of processor time, for which short operations are repeated
_LEAST_SIZES = 3  # measured whatever they cost: fewer can't be fitted

Sample = Callable[[], float]  # one measurement of one operation, in the probe's unit


@dataclass(frozen=True, slots=True)
class Probe:
    """A cost against a size. `prepare` builds the world of a size and returns what measures it there."""

    name: str
    prepare: Callable[[int], Sample]
    source: str  # module and function that the cost comes from
    axis: Axis = Axis.DESTINATIONS
    unit: Unit = Unit.SECONDS
    method: Method = Method.PROCESS_TIME
    sizes: tuple[int, ...] = (100, 300, 1_000, 3_000, 10_000, 30_000, 100_000, 300_000)
    repeats: int = 7
    limit_s: float = 6.0  # of processor time, after which no larger size is begun
    quick_sizes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeResult:
    probe: Probe
    measurements: tuple[Measurement, ...]
    load_average: float  # of one minute, highest during the probe
    spent_s: float


def timed(operation: Callable[[], object]) -> float:
    """Processor time of one operation, s; of several in a row, until they are long enough to be seen."""
    began, count, batch = time.process_time(), 0, 1
    while True:
        for _ in range(batch):
            operation()
        count += batch
        spent = time.process_time() - began
        if spent >= _SEEN_S:
            return spent / count
        batch = count


def allocated(build: Callable[[], object]) -> float:
    """Bytes that what `build` returns holds, as tracemalloc counts."""
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
    """From the smallest size up, until the next one would pass the probe's limit."""
    sizes = (probe.quick_sizes or probe.sizes[:4]) if quick else probe.sizes
    limit = probe.limit_s / 5 if quick else probe.limit_s
    began, found, costs, load = time.process_time(), list[Measurement](), list[float](), 0.0
    for place, size in enumerate(sizes):
        spent = time.process_time() - began
        if place >= _LEAST_SIZES and spent + _expected(sizes[: place + 1], costs) > limit:
            break
        found.append(Measurement(size, _least(probe, size)))
        costs.append(time.process_time() - began - spent)
        load = max(load, os.getloadavg()[0])
    return ProbeResult(probe, tuple(found), round(load, 2), round(time.process_time() - began, 2))


def _least(probe: Probe, size: int) -> float:
    sample = probe.prepare(size)
    gc.collect()
    gc.disable()  # a collection that falls into one sample is not that operation's cost
    try:
        costs, began = [sample() for _ in range(probe.repeats)], time.process_time()
        again = probe.method is Method.PROCESS_TIME and probe.repeats > 1
        while again and time.process_time() - began < _SAMPLED_S:
            costs.append(sample())
        return min(costs)
    finally:
        gc.enable()


def _expected(sizes: tuple[int, ...], costs: list[float]) -> float:
    """Of the last of these sizes, by how the two before it grew."""
    before, last = max(costs[-2], 1e-3), max(costs[-1], 1e-3)
    growth = math.log(last / before) / math.log(sizes[-2] / sizes[-3])
    return last * math.pow(sizes[-1] / sizes[-2], max(0.0, growth))
