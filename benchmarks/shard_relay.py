"""Measures a top relay's cost of a full list, of one change, and of the asks of one zone's senders.

`python -m benchmarks.shard_relay`: processor time of the state machine alone, without sockets and without
full garbage collections; prints one JSON line with medians for each number of endpoints.
"""

from __future__ import annotations

import gc
import json
import statistics
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from mountgauge.sharding.list_watch import ListWatch
from mountgauge.sharding.messages import Ask, Position
from mountgauge.sharding.relay import Relay, RelaySettings
from mountgauge.sharding.shards import DEFAULT_SHARD_COUNT
from mountgauge.sharding.store import ShardStore
from mountgauge.sharding.timing import RELAY_TIMING

LISTED = (1_000, 10_000, 50_000, 300_000)  # endpoints
CHANGES = 1_000
SENDERS, SHARDS_EACH = 783, 11  # in one zone


def line(number: int, weight: float = 1.0) -> dict[str, Any]:
    """One endpoint as discovery lists it."""
    return {"id": f"e{number}", "addr": "10.0.0.1:80", "zone": "a", "kind": "k", "cell": number,
            "state": "active", "weight": weight, "started_ms": 0}  # fmt: skip


def timed(act: Callable[[], object]) -> float:
    """Processor time of one call, s."""
    start = time.process_time()
    act()
    return time.process_time() - start


def answer_list_call(relay: Relay, body: object, now: float) -> float:
    """Answers the relay's call to discovery; the processor time that it needs for the answer, s."""
    (call,) = relay.poll(now)
    return timed(lambda: relay.answered(call, body, now))


def measure(listed: int) -> dict[str, float]:
    """The figures of a relay with so many listed endpoints."""
    relay = Relay("top", ListWatch(ShardStore(DEFAULT_SHARD_COUNT), RELAY_TIMING, Random(1)), RelaySettings())
    lines = [line(number) for number in range(listed)]
    full = answer_list_call(relay, {"version": 1, "full": True, "servers": lines}, 0.0)
    changes = sorted(
        answer_list_call(
            relay, {"version": at, "full": False, "servers": [line(at * 7 % listed, float(at))]}, 0.0
        )
        for at in range(2, CHANGES + 2)
    )
    gc.freeze()
    rng, newest = Random(2), CHANGES + 1
    asks = [Ask(f"s{number}", positions(rng, newest), wait_s=1.0) for number in range(SENDERS)]
    ask_times = [timed(partial(relay.ask, ask, 0.0)) for ask in asks]
    answer_time = timed(lambda: relay.take_ready(2.0))
    return {
        "listed": listed,
        "whole_s": round(full, 3),
        "change_us": round(1e6 * changes[CHANGES // 2], 1),
        "change_p99_us": round(1e6 * changes[CHANGES * 99 // 100], 1),
        "ask_us": round(1e6 * statistics.median(ask_times), 1),
        "answer_us": round(1e6 * answer_time / SENDERS, 1),
    }


def positions(rng: Random, version: int) -> tuple[Position, ...]:
    """Random shards of one sender, each at this version."""
    return tuple(Position(rng.randrange(DEFAULT_SHARD_COUNT), version) for _ in range(SHARDS_EACH))


def main() -> None:
    """Measure each number of endpoints and print its figures."""
    for listed in LISTED:
        print(json.dumps(measure(listed)), flush=True)


if __name__ == "__main__":
    main()
