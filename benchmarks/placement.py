"""Measures the placement of shards at the size of `docs/sharding.md`: load, moved shards, processor time.

`python -m benchmarks.placement [--members 18000] [--zones 23] [--shards 65536]` uses one core and prints one
JSON line.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

from mountgauge.sharding.members import FOREVER, Member, MemberFile
from mountgauge.sharding.placement import Placement, PlacementSettings

ROUNDS = 20  # removals of a single member, and additions


def timed(act: Callable[[], object]) -> float:
    """Processor time of one call, s."""
    start = time.process_time()
    act()
    return time.process_time() - start


def remove_members(file: MemberFile, names: Iterable[str]) -> MemberFile:
    """The next epoch's members' file, without these members."""
    removed, epoch = set(names), file.epoch + 1
    lines = (
        replace(one, until=epoch) if one.name in removed and one.until == FOREVER else one
        for one in file.members
    )
    return replace(file, epoch=epoch, members=tuple(lines))


def add_members(file: MemberFile, added: Iterable[Member]) -> MemberFile:
    """The next epoch's members' file, with these members added."""
    epoch = file.epoch + 1
    return replace(file, epoch=epoch, members=(*file.members, *(replace(one, since=epoch) for one in added)))


def load_ratio(placement: Placement, file: MemberFile, shards: int, replicas: int) -> float:
    """The highest load of a member, by the mean for its weight."""
    members = file.at(file.epoch)
    mean = shards * replicas / sum(one.weight for one in members)
    return max(len(placement.shards(one.name)) / (mean * one.weight) for one in members)


def finish_moves(placement: Placement) -> int:
    """Makes all pending moves; their number."""
    moves = placement.pending
    while placement.pending:
        placement.step()
    return moves


def measure(count: int, zones: int, settings: PlacementSettings) -> dict[str, float]:
    """Places all shards, then removes and adds single members and a whole zone; the figures."""
    rng = Random(1)
    file = MemberFile(1, tuple(Member(f"s{index}", f"z{index % zones}") for index in range(count)))
    placements: list[Placement] = []
    found = {"first_s": timed(lambda: placements.append(Placement(file, settings)))}
    placement = placements[0]
    found["first_ratio"] = load_ratio(placement, file, settings.shard_count, settings.replicas)
    times, shares = [], []
    for _ in range(ROUNDS):
        name = rng.choice(file.at(file.epoch)).name
        own = len(placement.shards(name))
        file = remove_members(file, [name])
        times.append(timed(lambda: placement.adopt(file)))  # noqa: B023 (called at once)
        shares.append(finish_moves(placement) / own)
    found |= {"out_ms": 1e3 * statistics.median(times), "out_moved_most": max(shares)}
    times, shares = [], []
    for index in range(ROUNDS):
        file = add_members(file, [Member(f"n{index}", f"z{rng.randrange(zones)}")])
        times.append(timed(lambda: placement.adopt(file)))  # noqa: B023
        mean = settings.shard_count * settings.replicas / len(file.at(file.epoch))
        shares.append(finish_moves(placement) / mean)
    found |= {"in_ms": 1e3 * statistics.median(times), "in_moved_most": max(shares)}
    zone = [one for one in file.at(file.epoch) if one.zone == "z1"]
    own = sum(len(placement.shards(one.name)) for one in zone)
    file = remove_members(file, [one.name for one in zone])
    found["zone_s"] = timed(lambda: placement.adopt(file))
    moves = finish_moves(placement)
    found |= {"zone_moved": moves / own, "zone_steps": -(-moves // settings.step_moves)}
    found["zone_ratio"] = load_ratio(placement, file, settings.shard_count, settings.replicas)
    file = add_members(file, [replace(one, name=f"{one.name}-b", until=FOREVER) for one in zone])
    found["zone_back_s"] = timed(lambda: placement.adopt(file))
    found["zone_back_moved"] = finish_moves(placement) / own
    found["last_ratio"] = load_ratio(placement, file, settings.shard_count, settings.replicas)
    return {name: round(value, 4) for name, value in found.items()}


def main() -> None:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, default=18_000)
    parser.add_argument("--zones", type=int, default=23)
    parser.add_argument("--shards", type=int, default=65_536)
    args = parser.parse_args()
    found = measure(args.members, args.zones, PlacementSettings(args.shards))
    print(json.dumps({"members": args.members, "zones": args.zones, "shards": args.shards, **found}))


if __name__ == "__main__":
    main()
