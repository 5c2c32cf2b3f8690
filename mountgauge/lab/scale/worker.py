"""Simulates one size of a scale run in its own process; writes JSON lines (progress, result) to stdout."""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import orjson

from mountgauge.lab.scale.memory import resident_bytes
from mountgauge.lab.scale.results import Propagation, RelayCosts, SenderCosts, SizeResult
from mountgauge.lab.scale.schedule import draw
from mountgauge.lab.scale.settings import ScaleSettings, Size, load

_REPORT_INTERVAL_S = 1.0  # of real time
_STEP_S = 0.5  # of virtual time between two checks of the real clock


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of the simulation of one size."""

    senders: int
    destinations: int
    at_s: float  # on the run's own clock
    total_s: float
    pending: int  # pairs of a change and a sender that has not applied it
    resident_mb: float
    wall_s: float


def run_size(
    settings: ScaleSettings, size: Size, report: Callable[[Progress], None] = lambda progress: None
) -> SizeResult:
    """Simulate one size in virtual time. Everything but processor time and memory follows from the seed."""
    from mountgauge.lab.scale.world import World

    started_at = time.monotonic()
    world = World(settings, size, draw(settings, size))
    reported_s = -_REPORT_INTERVAL_S
    steps = round(settings.total_s / _STEP_S)
    for step in range(1, steps + 1):
        world.run_until(step * _STEP_S)
        wall_s = time.monotonic() - started_at
        if wall_s - reported_s >= _REPORT_INTERVAL_S:
            reported_s = wall_s
            resident_mb = resident_bytes(os.getpid()) / 1e6
            report(
                Progress(
                    size.senders, size.destinations, world.loop.now, settings.total_s,
                    world.tracker.pending(), resident_mb, wall_s,
                )
            )  # fmt: skip
    return world.result(time.monotonic() - started_at, resident_bytes(os.getpid()) / 1e6)


def result_from_json(raw: dict[str, Any]) -> SizeResult:
    """Build a result from its decoded JSON."""
    return SizeResult(
        **raw
        | {
            "size": Size(**raw["size"]),
            "sender": SenderCosts(**raw["sender"]),
            "zone_relay": RelayCosts(**raw["zone_relay"]),
            "upper_relay": RelayCosts(**raw["upper_relay"]),
            "propagation": Propagation(**raw["propagation"]),
        }
    )


def _write(kind: str, value: Any) -> None:
    sys.stdout.buffer.write(orjson.dumps({kind: asdict(value)}) + b"\n")
    sys.stdout.buffer.flush()


def main() -> int:
    """`python -m mountgauge.lab.scale.worker FILE SEED INDEX`: simulate the size at INDEX of the settings."""
    file, seed, index = Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    settings = load(file).with_seed(seed)
    gc.disable()  # a collection traverses the objects of all senders, but would be charged to one of them
    _write("result", run_size(settings, settings.sizes[index], lambda progress: _write("progress", progress)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
