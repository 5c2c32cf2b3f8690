"""A schedule: the fleet, its stand-ins, its load and the faults between them, read from TOML and checked.

Everything here is data. `load` rejects unknown settings with a one-line `ConfigError`. `select_members` draws
the members that a fault affects from the schedule's seed, so that a seed always selects the same members.
Times are in seconds from the moment when all members serve.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from fnmatch import fnmatch
from pathlib import Path
from typing import Any, TypeVar

from mountgauge.core.config import ConfigError
from mountgauge.settings_table import Table, config_errors_in, read_toml

_T = TypeVar("_T")

FOLDERS = ("kept", "lost", "old", "cut", "swapped", "foreign")
STARTS = ("together", "spread", "one-by-one")
ON_MEMBERS = (
    "kill", "term", "pause", "start", "empty-folder", "save-folder", "crash-loop", "move-discovery",
    "discovery-hangs",
)  # fmt: skip
ON_PARTNERS = (
    "cold", "shut", "limit", "silent", "error", "spoilt", "never-warm", "drain", "remove", "add", "replace",
)  # fmt: skip
ON_DISCOVERY = (
    "discovery-down", "discovery-slow", "discovery-limited", "discovery-older", "discovery-reset",
)  # fmt: skip
ON_PLATFORM = (*ON_DISCOVERY, "move-discovery", "discovery-hangs")  # only for the platform's front
ON_LINKS = ("link", "split")
ON_CLIENTS = ("reconnect", "clump", "crowd")
KINDS = (*ON_MEMBERS, *ON_PARTNERS, *ON_DISCOVERY, *ON_LINKS, *ON_CLIENTS)


@dataclass(frozen=True, slots=True)
class Fleet:
    """`[fleet]`: the senders of the run."""

    members: int = 3
    front: str = "operator"  # or "platform": GW_CONFIG, discovery, notices
    senders: int = 0  # fleet size in the members' configuration; 0: the number of members
    slots: int = 8
    max_open: int = 400
    cold_s: float = 14.0
    gossip: bool = False  # whether the members' files have [fleet]
    gossip_interval_s: float = 0.25
    voters: int = 0  # number of members, from the first on, that vote on budgets; 0: all
    comeback: bool = True
    disk_mb: float = 16.0
    ask_within_s: float = 10.0
    discovery: str = "subscribe"  # or "automatic": lists are pushed to an agent on the member's machine
    extra: str = ""  # TOML to append to the members' files

    @property
    def sender_count(self) -> int:
        """The fleet size in the members' configuration."""
        return self.senders or self.members

    @property
    def pushed(self) -> bool:
        """Whether lists are pushed to an agent."""
        return self.discovery == "automatic"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """`[[class]]`: a message class."""

    name: str
    semantics: str = "idempotent"
    deadline_s: float = 12.0
    aim_s: float = 2.0
    repeat_window_s: float = 25.0
    worth: float = 1.0


@dataclass(frozen=True, slots=True)
class Partner:
    """`[[partner]]`: a destination and its capacity."""

    dest: int
    rate: float = 100.0
    listed: float = -1.0  # rate in the list; below 0: `rate`
    endpoints: int = 1
    depth_s: float = 0.3
    refused_cost: float = 0.5
    cold_share: float = 0.2
    warm_s: float = 5.0
    falls_at: float = 0.0
    falls_window_s: float = 1.0
    span_s: float = 0.0
    answer_s: float = 0.05
    tells_wait_s: float = 0.0  # Retry-After of a refusal; 0: none

    @property
    def advertised_rate(self) -> float:
        """The rate in discovery's list."""
        return self.rate if self.listed < 0 else self.listed


@dataclass(frozen=True, slots=True)
class Load:
    """`[[load]]`: messages offered to members."""

    dest: int
    grade: str
    each: float = 4.0  # messages/s offered to each member
    retries: int = 2  # submissions after a rejection
    back_off: bool = True  # wait as required, longer each time; else submit again at once
    begin_s: float = -1e9
    until_s: float = 1e9
    tenant: str = ""
    who: str = "*"  # glob of the members that receive it
    body_bytes: int = 5  # of each message


@dataclass(frozen=True, slots=True)
class Tenant:
    """`[[tenant]]` of the members' files."""

    name: str
    rate: float
    burst: float
    strict: bool = False  # enforced by a fleet-wide budget


@dataclass(frozen=True, slots=True)
class BudgetSpec:
    """A fleet-wide budget of the members' files, bound to a destination."""

    name: str
    dest: int
    whole: float
    kind: str = "rate"
    burst: float = 0.0  # 0: as large as `whole`
    reserve: float = 0.05
    lease_s: float = 4.0
    ends_within_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Fault:
    """`[[fault]]`: a fault, its targets and its time (s)."""

    at: float
    do: str
    who: tuple[str, ...] | int | str = "all"  # names or globs, a number of members, "all", "last", "rest"
    dest: int = 0
    endpoint: int = 0
    for_s: float = 0.0
    back_s: float = -1.0  # delay of the restart after an exit; below 0: no restart
    start: str = "together"
    over_s: float = 0.0
    folder: tuple[str, ...] = ("kept",)  # used in turn for the members
    times: int = 3  # restarts of a crash loop
    share: float = 0.5  # remaining share of a limit
    wait_s: float = 0.0  # Retry-After while shut; delay or cost of discovery's answers
    between: tuple[str, str] = ("members", "members")  # ends of a link
    conditions: Mapping[str, Any] = field(default_factory=dict)
    groups: tuple[tuple[str, ...], ...] = ()
    count: int = 50  # messages of a clump, connections of a crowd, hanging calls of each member
    kill_s: float = -1.0  # from SIGTERM to SIGKILL if the process still runs; below 0: never
    signals: int = 0  # further SIGTERMs and SIGHUPs before that


@dataclass(frozen=True, slots=True)
class Schedule:
    """A run as its file describes it; times in s."""

    name: str
    seed: int
    seconds: float
    settle_s: float  # load before time 0, which the figures leave out
    drain_s: float  # after the end of the load, for queued messages
    fleet: Fleet
    message_classes: tuple[MessageClass, ...]
    partners: tuple[Partner, ...]
    loads: tuple[Load, ...]
    tenants: tuple[Tenant, ...]
    budgets: tuple[BudgetSpec, ...]
    faults: tuple[Fault, ...]

    @property
    def names(self) -> list[str]:
        """The names of the members."""
        return [f"m{index + 1:02d}" for index in range(self.fleet.members)]

    def rng(self, what: str) -> random.Random:
        """A random stream for each part, so that an added draw in one part does not change another."""
        return random.Random(f"{self.seed}/{what}")

    def with_(self, **changes: Any) -> Schedule:
        """The schedule with other values of its own fields or of the fleet's."""
        own = {
            key: value for key, value in changes.items() if key in {f.name for f in dataclasses.fields(self)}
        }
        rest = {key: value for key, value in changes.items() if key not in own}
        fleet = dataclasses.replace(self.fleet, **rest) if rest else self.fleet
        return dataclasses.replace(self, fleet=fleet, **own)


def select_members(schedule: Schedule, index: int, last: Sequence[str]) -> list[str]:
    """The members that a fault of the schedule affects; `last` are those of the fault before it."""
    fault, names = schedule.faults[index], schedule.names
    match fault.who:
        case "all":
            return names
        case "last":
            return list(last)
        case "rest":
            return [name for name in names if name not in last]
        case int(count):
            return sorted(schedule.rng(f"who/{index}").sample(names, min(count, len(names))))
        case str(glob):
            return [name for name in names if fnmatch(name, glob)]
        case globs:
            return [name for name in names if any(fnmatch(name, glob) for glob in globs)]


def load(path: Path) -> Schedule:
    """Read and check a schedule's file; ConfigError names the file and the error in one line."""
    with config_errors_in(path):
        return parse(read_toml(path))


def parse(raw: Mapping[str, Any]) -> Schedule:
    """The schedule in a file's tables; ConfigError names the first error."""
    top = Table(raw, "")
    fleet = _fill(Fleet, top.table("fleet") or Table({}, "fleet"))
    if fleet.front not in ("operator", "platform"):
        raise ConfigError("fleet.front: operator or platform")
    if fleet.discovery not in ("subscribe", "automatic"):
        raise ConfigError("fleet.discovery: subscribe or automatic")
    if fleet.pushed and fleet.front != "platform":
        raise ConfigError("fleet.discovery: automatic is for fleet.front = 'platform'")
    if fleet.members < 1:
        raise ConfigError("fleet.members: must be above 0")
    if fleet.gossip and fleet.front == "platform":
        raise ConfigError("fleet.gossip: members on the platform never talk")
    message_classes = tuple(_fill(MessageClass, table) for table in top.tables("class")) or (
        MessageClass("note"),
    )
    partners = tuple(_fill(Partner, table) for table in top.tables("partner"))
    loads = tuple(_fill(Load, table) for table in top.tables("load"))
    tenants = tuple(_fill(Tenant, table) for table in top.tables("tenant"))
    budgets = tuple(_fill(BudgetSpec, table) for table in top.tables("budget"))
    if (budgets or any(one.strict for one in tenants)) and not fleet.gossip:
        raise ConfigError("budget: needs fleet.gossip = true")
    faults = tuple(_fault(table, index, fleet) for index, table in enumerate(top.tables("fault")))
    if not partners:
        raise ConfigError("partner: at least one is needed")
    dests, named = {one.dest for one in partners}, {one.name for one in message_classes}
    if len(dests) < len(partners):
        raise ConfigError("partner.dest: a destination is listed twice")
    for index, one in enumerate(loads):
        if one.dest not in dests:
            raise ConfigError(f"load[{index}].dest: no partner has {one.dest}")
        if one.grade not in named:
            raise ConfigError(f"load[{index}].grade: no class '{one.grade}'")
    for index, budget in enumerate(budgets):
        if budget.dest not in dests:
            raise ConfigError(f"budget[{index}].dest: no partner has {budget.dest}")
    for index, fault in enumerate(faults):
        if fault.do in (*ON_PARTNERS, "clump") and fault.dest not in dests:
            raise ConfigError(f"fault[{index}].dest: no partner has {fault.dest}")
        if fault.do in ON_PLATFORM and fleet.front != "platform":
            raise ConfigError(f"fault[{index}].do: {fault.do} is for fleet.front = 'platform'")
    found = Schedule(
        name=top.get("name", str),
        seed=int(top.get("seed", int, default=1)),
        seconds=_positive(top, "seconds"),
        settle_s=float(top.get("settle_s", int, float, default=3.0)),
        drain_s=float(top.get("drain_s", int, float, default=3.0)),
        fleet=fleet,
        message_classes=message_classes,
        partners=partners,
        loads=loads,
        tenants=tenants,
        budgets=budgets,
        faults=faults,
    )
    top.reject_unknown()
    return found


def _fill(kind: type[_T], table: Table) -> _T:
    """Make a record from a table, with each value checked against the field's type."""
    values: dict[str, Any] = {}
    for one in dataclasses.fields(kind):  # type: ignore[arg-type]
        key = one.name
        missing = one.default is dataclasses.MISSING
        kinds: tuple[type, ...] = {"int": (int,), "float": (int, float), "str": (str,), "bool": (bool,)}[
            str(one.type)
        ]
        value = table.get(key, *kinds, default=None if missing else one.default)
        values[key] = float(value) if str(one.type) == "float" else value
        if (
            str(one.type) in ("int", "float")
            and values[key] < 0
            and key != "listed"
            and not key.endswith("_s")
        ):
            raise ConfigError(f"{table.name}.{key}: must not be below 0")
    table.reject_unknown()
    return kind(**values)


_CONDITIONS = {
    "drop": float,
    "delay_s": float,
    "jitter_s": float,
    "double": float,
    "reorder": float,
    "throttle": float,
    "silent": str,
    "refuse": bool,
    "reset": float,
    "half_open": bool,
}


def _fault(table: Table, index: int, fleet: Fleet) -> Fault:
    where = f"fault[{index}]"
    do = table.get("do", str)
    if do not in KINDS:
        raise ConfigError(f"{where}.do: not one of {', '.join(KINDS)}")
    who: Any = table.get("who", str, int, list, default="all")
    if isinstance(who, list):
        who = tuple(str(one) for one in who)
    folder: Any = table.get("folder", str, list, default="kept")
    folder = (folder,) if isinstance(folder, str) else tuple(folder)
    if not folder or any(one not in FOLDERS for one in folder):
        raise ConfigError(f"{where}.folder: not one of {', '.join(FOLDERS)}")
    start = table.get("start", str, default="together")
    if start not in STARTS:
        raise ConfigError(f"{where}.start: not one of {', '.join(STARTS)}")
    between = table.get("between", list, default=["members", "members"])
    if len(between) != 2 or not all(isinstance(one, str) for one in between):
        raise ConfigError(f"{where}.between: two names")
    conditions: dict[str, Any] = {}
    for key, kind in _CONDITIONS.items():
        if key in table.raw:
            kinds = (int, float) if kind is float else (kind,)
            conditions[key] = kind(table.get(key, *kinds))
    if conditions.get("silent", "both") not in ("both", "up", "down"):
        raise ConfigError(f"{where}.silent: both, up or down")
    if conditions.get("half_open") and conditions.get("silent") != "both":
        raise ConfigError(f"{where}.half_open: needs silent = 'both'")
    if conditions.get("half_open") and between[1] != "discovery":
        raise ConfigError(f"{where}.half_open: only between members and discovery")
    if do == "move-discovery" and conditions.get("half_open"):
        raise ConfigError(f"{where}.half_open: not for move-discovery")
    groups = table.get("groups", list, default=[])
    if do == "split" and len(groups) < 2:
        raise ConfigError(f"{where}.groups: two or more lists of names")
    numbers = {
        key: float(table.get(key, int, float, default=default))
        for key, default in (
            ("for_s", 0.0),
            ("back_s", -1.0),
            ("over_s", 0.0),
            ("share", 0.5),
            ("wait_s", 0.0),
            ("kill_s", -1.0),
        )
    }
    found = Fault(
        at=float(table.get("at", int, float)),
        do=do,
        who=who,
        dest=int(table.get("dest", int, default=0)),
        endpoint=int(table.get("endpoint", int, default=0)),
        start=start,
        folder=folder,
        times=int(table.get("times", int, default=3)),
        between=(between[0], between[1]),
        conditions=conditions,
        groups=tuple(tuple(map(str, group)) for group in groups),
        count=int(table.get("count", int, default=50)),
        signals=int(table.get("signals", int, default=0)),
        **numbers,
    )
    if isinstance(who, int) and who > fleet.members:
        raise ConfigError(f"{where}.who: the fleet has {fleet.members} members")
    table.reject_unknown()
    return found


def _positive(top: Table, key: str) -> float:
    value = float(top.get(key, int, float))
    if value <= 0:
        raise ConfigError(f"{key}: must be above 0")
    return value
