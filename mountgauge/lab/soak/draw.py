"""Draws a soak from its seed: the fleet, its load, and overlapping faults on every layer.

Pure: the same seed always gives the same run. Each kind of fault has its own random stream.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from mountgauge.lab.rig.schedule import Schedule, parse
from mountgauge.lab.soak.plan import ProcessFault

KILL_S = 3.7  # from SIGTERM to SIGKILL: the shortest by the platform's page
BACK_S = 0.6  # from SIGKILL to the start of the next process
WINDOW_S = 0.8  # repeat window of the class whose repeats endpoints drop
MAX_FAULT_S = 1.0  # for which one call fails
MAX_PAUSE_S = 0.15  # for which a sender is paused
QUIET_S = 4.0  # without new faults at the end, in which queued messages finish
CROWD_SHARE = 0.3  # of the runs have a crowd of connections
CROWD = 40  # connections at each member
SLOW_SHARE = 0.2  # of the runs have a slow discovery throughout
SLOW_S = 1.0  # by which it then answers each call later
EVERY_CALL = 1000  # more than a member makes

_DESTINATIONS = (1, 2, 3)
_ENDPOINTS = 3
_CLASSES = ("safe", "keyed", "once")


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of process fault: the failing call and its possible errors."""

    seam: str
    call: str
    errors: tuple[int, ...]
    weight: int = 1


KINDS = (
    FaultKind("sockets", "write", (errno.EAGAIN, errno.EAGAIN, errno.ECONNRESET, errno.EPIPE), 6),
    FaultKind("sockets", "read", (errno.EAGAIN, errno.ECONNRESET, errno.ETIMEDOUT), 5),
    # Not ECONNREFUSED: it would wrongly prove to the sender that discovery is down and end its doubts.
    FaultKind("sockets", "connect", (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ENOBUFS), 3),
    FaultKind("sockets", "connected", (errno.ETIMEDOUT, errno.EHOSTUNREACH), 1),
    FaultKind("sockets", "socket", (errno.EMFILE, errno.ENFILE), 1),
    FaultKind("clients", "read", (errno.EAGAIN, errno.ECONNRESET), 1),
    FaultKind("clients", "write", (errno.EAGAIN, errno.ECONNRESET), 1),
    FaultKind("clients", "accept", (errno.EMFILE, errno.ECONNABORTED), 1),
    FaultKind("files", "write", (errno.EIO, errno.ENOSPC), 4),
    FaultKind("files", "replace", (errno.EIO,), 1),
    FaultKind("files", "truncate", (errno.EIO,), 1),
    FaultKind("files", "open", (errno.EMFILE,), 1),
    FaultKind("files", "read", (errno.EIO,), 1),
    FaultKind("files", "lock", (errno.EMFILE, errno.EIO), 1),
    FaultKind("files", "unlink", (errno.EIO,), 1),
    FaultKind("clock", "step", (0,), 2),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Density:
    """How often each kind of fault occurs; mean times in s."""

    inside_every_s: float = 1.5  # between two faults inside one sender
    listed_every_s: float = 1.5  # between two changes of the list
    partner_every_s: float = 2.0  # between two failures of partners
    load: float = 1.0  # factor on the usual message rate
    answer_s: tuple[float, float] = (0.02, 0.2)  # of partners
    body_bytes: int = 5  # of each message
    disk_mb: float = 16.0  # of each sender
    killed_every_s: float = 9.0  # between two SIGKILLs
    partner_fails: tuple[str, ...] = ("error", "error", "silent", "spoilt", "shut", "limit")
    kinds: tuple[FaultKind, ...] = KINDS


RANDOM = Density()
# For senders with a fault in their send guard: decided sends are often delayed, and lists change often.
HELD_UP = Density(
    inside_every_s=0.8, listed_every_s=0.6, partner_every_s=0.35, load=2.5, answer_s=(0.02, 0.03),
    partner_fails=("error",), kinds=(
        FaultKind("sockets", "write", (errno.EAGAIN,), 4),
        FaultKind("sockets", "read", (errno.ECONNRESET,), 1),
        FaultKind("files", "write", (errno.EIO,), 2),
    ),
)  # fmt: skip
# For the journal: it is compacted often, calls fail meanwhile, and senders are killed.
SMALL_DISK = Density(
    inside_every_s=0.5, load=2.5, body_bytes=2000, disk_mb=0.2, killed_every_s=2.0, kinds=(
        FaultKind("files", "replace", (errno.EIO,), 4),
        FaultKind("files", "write", (errno.EIO, errno.ENOSPC), 2),
        FaultKind("files", "truncate", (errno.EIO,), 1),
        FaultKind("files", "open", (errno.EMFILE, errno.ENOSPC), 1),
        FaultKind("sockets", "read", (errno.ECONNRESET,), 2),
    ),
)  # fmt: skip
DENSITIES = {"random": RANDOM, "held-up": HELD_UP, "small-disk": SMALL_DISK}


@dataclass(frozen=True, slots=True)
class Soak:
    """A run: the schedule for the rig, and the faults inside the senders."""

    schedule: Schedule
    process_faults: tuple[ProcessFault, ...]


def draw(seed: int, members: int, seconds: float, density: Density = RANDOM) -> Soak:
    """The run of a seed."""
    rng = random.Random(f"soak/{seed}")
    end = seconds - QUIET_S
    every = {
        **_EVERY_S,
        "listed": density.listed_every_s,
        "partner-fails": density.partner_every_s,
        "killed": density.killed_every_s,
    }
    makers: dict[str, FaultMaker] = {
        **_MAKERS,
        "partner-fails": partial(_partner_fails, density.partner_fails),
    }
    faults = [
        fault
        for name, every_s in every.items()
        for fault in _series(random.Random(f"soak/{seed}/{name}"), makers[name], every_s, end, members)
    ]
    # A link that is silent to the end would prevent the last outcomes from being reported.
    faults = [
        {**one, "for_s": min(one["for_s"], end - one["at"])} if "half_open" in one else one for one in faults
    ]
    kills = random.Random(f"soak/{seed}/drained-then-killed")
    for _ in range(kills.randrange(1, 4)):
        faults += _drained_then_killed(kills, kills.uniform(1.0, max(1.0, end - 2.0)), members)
    if random.Random(f"soak/{seed}/slow").random() < SLOW_SHARE:
        faults = [fault for fault in faults if fault["do"] != "discovery-slow"]
        faults.append({"at": 0.0, "do": "discovery-slow", "wait_s": SLOW_S, "for_s": 2 * seconds})
    if rng.random() < CROWD_SHARE:
        faults.append({"at": rng.uniform(0, end / 2), "do": "crowd", "count": CROWD, "for_s": end / 3})
    raw = {
        "name": f"soak {seed}",
        "seed": seed,
        "seconds": seconds,
        "settle_s": 2.0,
        "drain_s": 6.0,
        "fleet": {
            "members": members, "front": "platform", "slots": 16, "ask_within_s": 10.0,
            "disk_mb": density.disk_mb,
            "discovery": "automatic" if rng.random() < 0.25 else "subscribe",
        },
        "class": [
            {"name": "safe", "semantics": "idempotent", "deadline_s": 5.0, "aim_s": 0.5},
            {"name": "keyed", "semantics": "deduplicated", "deadline_s": 5.0, "aim_s": 0.5,
             "repeat_window_s": WINDOW_S},
            {"name": "once", "semantics": "at_most_once", "deadline_s": 5.0, "aim_s": 0.5},
        ],
        "partner": [_partner(rng, dest, density) for dest in _DESTINATIONS],
        "load": [
            {"dest": dest, "grade": name, "each": density.load * rng.uniform(0.3, 0.7),
             "retries": rng.choice((0, 2)), "body_bytes": density.body_bytes}
            for dest in _DESTINATIONS for name in _CLASSES
        ],
        "fault": sorted(faults, key=lambda fault: float(fault["at"])),
    }  # fmt: skip
    schedule = parse(raw)
    inside = [
        fault
        for name in schedule.names
        for fault in _inside(random.Random(f"soak/{seed}/inside/{name}"), name, end, density)
    ]
    return Soak(schedule, tuple(inside))


def _partner(rng: random.Random, dest: int, density: Density) -> dict[str, Any]:
    wait_s = rng.choice((0.0, 0.4))
    return {
        "dest": dest, "rate": rng.uniform(150, 400), "endpoints": _ENDPOINTS, "refused_cost": 0.2,
        "answer_s": rng.uniform(*density.answer_s), "tells_wait_s": wait_s,
    }  # fmt: skip


RawFault = Mapping[str, Any]
FaultMaker = Callable[[random.Random, int], RawFault]


def _member(rng: random.Random, members: int) -> str:
    return f"m{rng.randrange(members) + 1:02d}"


def _random_count(rng: random.Random, members: int) -> int:
    return max(1, round(members * rng.choice((0.1, 0.25, 0.5))))


def _link(rng: random.Random, ends: list[str]) -> RawFault:
    how: list[RawFault] = [
        {"reset": 1000.0, "for_s": 0.05},
        {"silent": rng.choice(("up", "down", "both")), "for_s": rng.uniform(0.2, 1.0)},
        {"refuse": True, "for_s": rng.uniform(0.1, 0.6)},
        {"delay_s": rng.uniform(0.0, 0.04), "for_s": rng.uniform(0.5, 2.0)},
        {"reset": rng.uniform(0.5, 4.0), "for_s": rng.uniform(0.5, 2.0)},
    ]
    return {"do": "link", "between": ends, **rng.choice(how)}


def _discovery_link(rng: random.Random, members: int) -> RawFault:
    return _link(rng, [rng.choice(("members", _member(rng, members))), "discovery"])


def _partner_link(rng: random.Random, members: int) -> RawFault:
    return _link(rng, [_member(rng, members), f"partner:{rng.choice(_DESTINATIONS)}"])


def _endpoints_replaced(rng: random.Random, members: int) -> RawFault:
    """Drain all endpoints of a destination; `replace` adds new ones at the same time."""
    return {"do": "replace", "dest": rng.choice(_DESTINATIONS)}


def _partner_fails(how: tuple[str, ...], rng: random.Random, members: int) -> RawFault:
    do = rng.choice(how)
    fault = {"do": do, "dest": rng.choice(_DESTINATIONS), "for_s": rng.uniform(0.3, 1.5)}
    return {**fault, "wait_s": rng.uniform(0.3, 1.0)} if do == "shut" else fault


def _discovery_hangs(rng: random.Random, members: int) -> RawFault:
    """Let one call, several in a row or all of them hang, at discovery or at the agents."""
    who = rng.choice((_random_count(rng, members), [_member(rng, members)], "all"))
    count = rng.choice((1, 2, 4, 8, EVERY_CALL))
    return {"do": "discovery-hangs", "who": who, "for_s": rng.uniform(1.0, 20.0), "count": count}


def _long_silence(rng: random.Random, members: int) -> RawFault:
    """Silence the link to discovery: open connections stay silent after it, new ones hang during it."""
    ends = [_member(rng, members), "discovery"]
    return {
        "do": "link",
        "between": ends,
        "silent": "both",
        "half_open": True,
        "for_s": rng.uniform(1.0, 12.0),
    }


def _drained_then_killed(rng: random.Random, at: float, members: int) -> list[RawFault]:
    """Change the list just before a kill and at the next start, whose first calls may hang."""
    who = [f"m{one + 1:02d}" for one in rng.sample(range(members), _random_count(rng, members))]
    dest = rng.choice(_DESTINATIONS)
    found: list[RawFault] = [
        {"at": max(0.0, at - rng.uniform(0.5, 6.0)), "do": "drain", "dest": dest, "endpoint": 0},
        {"at": at, "do": "kill", "who": who, "back_s": BACK_S},
        {"at": at + rng.uniform(0.0, 1.5), "do": "replace", "dest": dest},
    ]
    if rng.random() < 0.7:
        count = rng.choice((1, 4, 8, EVERY_CALL))
        hang = {"do": "discovery-hangs", "who": who, "for_s": rng.uniform(2.0, 12.0), "count": count}
        found.append({"at": at, **hang})
    return found


def _discovery_fails(rng: random.Random, members: int) -> RawFault:
    do = rng.choice(("discovery-down", "discovery-slow", "discovery-reset"))
    return {"do": do, "for_s": rng.uniform(0.3, 2.0), "wait_s": rng.uniform(0.1, 0.6)}


def _terminated(rng: random.Random, members: int) -> RawFault:
    return {"do": "term", "who": _random_count(rng, members), "kill_s": KILL_S, "back_s": BACK_S,
            "signals": rng.randrange(4), "start": "spread", "over_s": rng.uniform(0.0, 1.0)}  # fmt: skip


def _killed(rng: random.Random, members: int) -> RawFault:
    return {"do": "kill", "who": _random_count(rng, members), "back_s": BACK_S}


def _paused(rng: random.Random, members: int) -> RawFault:
    return {"do": "pause", "who": _random_count(rng, members), "for_s": rng.uniform(0.02, MAX_PAUSE_S)}


def _discovery_moved(rng: random.Random, members: int) -> RawFault:
    return {"do": "move-discovery", "who": _random_count(rng, members)}


_MAKERS: dict[str, FaultMaker] = {
    "listed": _endpoints_replaced,
    "to-discovery": _discovery_link,
    "to-partner": _partner_link,
    "discovery-fails": _discovery_fails,
    "terminated": _terminated,
    "killed": _killed,
    "held-up": _paused,
    "moved": _discovery_moved,
    "hangs": _discovery_hangs,
    "long-silence": _long_silence,
}
# The mean time between two faults of a kind, in s.
_EVERY_S = {
    "to-discovery": 2.0, "to-partner": 1.0, "discovery-fails": 6.0,
    "terminated": 9.0, "held-up": 3.0, "moved": 10.0, "hangs": 5.0, "long-silence": 6.0,
}  # fmt: skip


def _series(rng: random.Random, make: FaultMaker, every_s: float, end: float, members: int) -> list[RawFault]:
    found, at = list[RawFault](), rng.expovariate(1 / every_s)
    while at < end:
        found.append({"at": at, **make(rng, members)})
        at += rng.expovariate(1 / every_s)
    return found


def _inside(rng: random.Random, member: str, end: float, density: Density) -> list[ProcessFault]:
    found, at = list[ProcessFault](), rng.expovariate(1 / density.inside_every_s)
    while at < end:
        kind = rng.choices(density.kinds, [one.weight for one in density.kinds])[0]
        found.append(_process_fault(rng, kind, member, at))
        at += rng.expovariate(1 / density.inside_every_s)
    return found


def _process_fault(rng: random.Random, kind: FaultKind, member: str, at: float) -> ProcessFault:
    for_s = rng.uniform(0.05, MAX_FAULT_S)
    if kind.seam == "clock":
        step_s = rng.choice((-3600.0, -2.0, 2.0, 600.0))
        return ProcessFault(member, at, 3 * for_s, "clock", "step", step_s=step_s)
    short = kind.seam == "sockets" and kind.call == "write" and rng.random() < 0.5
    most = rng.randrange(1, 120) if short else 0
    late = kind.call == "replace" and rng.random() < 0.5
    return ProcessFault(member, at, for_s, kind.seam, kind.call, rng.choice(kind.errors), late, most)
