"""Results of a scale run: the figures of each size, growth laws over sizes, and the check of the bounds.

"Hollow" in field names, keys and texts stands for simulated senders (`simulated`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from mountgauge.lab.scale.fit import Estimate, Fit, FitError, Measurement, Unknown, fit
from mountgauge.lab.scale.settings import BoundSettings, Size

FULL_SIZE = Size(18_000, 1_700_000, 65_536)
PROPORTION_TOLERANCE = 0.1  # largest relative difference from the full size's proportions
NOT_RUN, UNKNOWN = "not run", "unknown"  # in place of a figure
MAX_RELAY_LOAD = 0.7  # share of a core that a relay may use


@dataclass(frozen=True, slots=True)
class SenderCosts:
    """Costs of a sender's control plane, as the mean over all senders."""

    cpu_share: float  # of a core, without sockets
    kb_s: float  # thousands of bytes per second, sent and received
    messages_s: float  # per second, sent and received
    mb: float  # millions of bytes
    start_cpu_s: float  # processor time from the start until the first lists are in force
    start_kb: float
    io_share: float = 0.0  # of a core, for sockets; 0 if it was not measured


@dataclass(frozen=True, slots=True)
class RelayCosts:
    """Costs of the relays of one level: the mean, and the largest processor time of one relay."""

    relays: int
    cpu_share: float
    most_cpu_share: float
    kb_s: float
    messages_s: float
    mb: float
    io_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Propagation:
    """Times in seconds from a change at discovery until it is in force at a sender."""

    count: int
    p50_s: float
    p99_s: float
    worst_s: float
    after_heal: int  # pairs whose sender was cut off, timed from when it had a path again
    after_heal_worst_s: float
    starts: int  # processes that started during the run and received all their shards
    start_worst_s: float
    stale: int  # pairs whose change was never in force
    not_waited_for: int  # pairs whose sender ended before
    histogram: str  # compressed encoding of an HDR histogram


@dataclass(frozen=True, slots=True)
class SizeResult:
    """All figures of one size."""

    size: Size
    sender: SenderCosts
    zone_relay: RelayCosts
    upper_relay: RelayCosts
    relay_load_peak: float  # largest number of asks at a zone relay in 2 s, relative to the median
    discovery_calls_s: float
    propagation: Propagation
    moved_share: float  # largest ratio of replicas moved by a removal to the removed member's
    wrong: int  # shards whose copy at a sender differs from discovery's list at the end
    changes: int
    faults: int
    wall_s: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class Comparison:
    """Relative differences of simulated senders from real ones in a fleet of the same size."""

    senders: int  # number of real senders, and of simulated ones
    destinations: int
    bytes: float
    messages: float
    virtual_messages: float  # of simulated senders in virtual time
    cpu: float
    real_cpu_share: float
    sender_io_s: float  # processor time per message that sockets and a separate process add to a sender
    relay_io_s: float  # the same for a relay
    lost: int  # messages that real senders accepted and did not deliver
    doubled: int  # messages that real senders delivered more than once
    delivered: int

    @property
    def error(self) -> float:
        """The largest absolute difference."""
        return max(map(abs, (self.bytes, self.messages, self.virtual_messages, self.cpu)))


@dataclass(frozen=True, slots=True)
class Slope:
    """The growth of one cost with the number of senders, at the full size's proportions."""

    cost: str
    exponent: float
    residual: float
    at_size: float | None  # None: unknown
    low: float
    high: float
    why_unknown: str = ""


@dataclass(frozen=True, slots=True)
class ScaleResult:
    """The result of a run."""

    name: str
    seed: int
    sizes: tuple[SizeResult, ...]
    slopes: tuple[Slope, ...]
    comparison: Comparison | None  # None: not run
    tolerance: float = 0.15
    not_run: tuple[str, ...] = ()
    broken: tuple[str, ...] = field(default=())

    @property
    def largest(self) -> SizeResult:
        """The size with the most senders."""
        return max(self.sizes, key=lambda one: one.size)

    def slope(self, cost: str) -> Slope | None:
        """The slope of a cost; None if there were too few sizes to fit it."""
        return next((slope for slope in self.slopes if slope.cost == cost), None)

    @property
    def hollow_used(self) -> bool:
        """Whether figures of simulated senders are used for real ones: both were compared and agree."""
        return self.comparison is not None and self.comparison.error <= self.tolerance

    def summary(self) -> dict[str, Any]:
        """The summary that a run prints as its last line."""
        largest = self.largest
        compared = self.comparison
        return {
            "name": self.name,
            "seed": self.seed,
            "senders": largest.size.senders,
            "destinations": largest.size.destinations,
            "exponents": {slope.cost: _rounded(slope.exponent) for slope in self.slopes},
            "at_size": {
                "cpu_share": self._at_size("cpu_share"),
                "mb": self._at_size("mb"),
                "kb_s": self._at_size("kb_s"),
                "control_machines": self.control_machines() or UNKNOWN,
            },
            "config_p99_s": max(one.propagation.p99_s for one in self.sizes),
            "config_worst_s": max(
                max(one.propagation.worst_s, one.propagation.after_heal_worst_s) for one in self.sizes
            ),
            "stale": sum(one.propagation.stale + one.wrong for one in self.sizes),
            "moved_share": _rounded(max(one.moved_share for one in self.sizes)),
            "hollow_error": NOT_RUN if compared is None else _rounded(compared.error),
            "hollow_used": self.hollow_used,
            "lost": NOT_RUN if compared is None else compared.lost,
            "doubled": NOT_RUN if compared is None else compared.doubled,
            "not_run": list(self.not_run),
            "broken": list(self.broken),
        }

    def _at_size(self, cost: str) -> float | str:
        if not self.hollow_used:
            return UNKNOWN
        slope = self.slope(cost)
        return UNKNOWN if slope is None or slope.at_size is None else _rounded(slope.at_size)

    def control_machines(self) -> int | None:
        """Relays at the full size, one per machine, each using at most `MAX_RELAY_LOAD` of a core.

        None (unknown) if the ends of a cost's interval give different numbers.
        """
        if not self.hollow_used:
            return None
        needed = 0
        for level, relays in (
            ("zone_relay", self.largest.zone_relay),
            ("upper_relay", self.largest.upper_relay),
        ):
            slope = self.slope(f"{level}_cpu_share")
            if slope is None:
                return None
            least, most = (max(1, math.ceil(share / MAX_RELAY_LOAD)) for share in (slope.low, slope.high))
            if least != most:
                return None
            needed += relays.relays * most
        return needed

    def as_json(self) -> dict[str, Any]:
        """All figures in the form of the results file."""
        reported = (
            self if self.hollow_used else replace(self, slopes=tuple(map(_without_estimate, self.slopes)))
        )
        return {**asdict(reported), "summary": self.summary()}


def _without_estimate(slope: Slope) -> Slope:
    """A slope without its estimate for the full size, which does not hold for real senders."""
    return replace(slope, at_size=None, why_unknown="hollow senders were not shown to be near real ones")


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")


COSTS: dict[str, Callable[[SizeResult], float]] = {
    "cpu_share": lambda one: one.sender.cpu_share + one.sender.io_share,
    "handler_cpu_share": lambda one: one.sender.cpu_share,
    "kb_s": lambda one: one.sender.kb_s,
    "messages_s": lambda one: one.sender.messages_s,
    "mb": lambda one: one.sender.mb,
    "start_cpu_s": lambda one: one.sender.start_cpu_s,
    "start_kb": lambda one: one.sender.start_kb,
    "zone_relay_cpu_share": lambda one: one.zone_relay.cpu_share + one.zone_relay.io_share,
    "zone_relay_kb_s": lambda one: one.zone_relay.kb_s,
    "zone_relay_mb": lambda one: one.zone_relay.mb,
    "upper_relay_cpu_share": lambda one: one.upper_relay.cpu_share + one.upper_relay.io_share,
    "upper_relay_kb_s": lambda one: one.upper_relay.kb_s,
    "upper_relay_mb": lambda one: one.upper_relay.mb,
}


def with_io(one: SizeResult, compared: Comparison) -> SizeResult:
    """Add the processor time of sockets that the comparison with real senders measured."""

    def relays(costs: RelayCosts) -> RelayCosts:
        return replace(costs, io_share=costs.messages_s * compared.relay_io_s)

    sender = replace(one.sender, io_share=one.sender.messages_s * compared.sender_io_s)
    return replace(one, sender=sender, zone_relay=relays(one.zone_relay), upper_relay=relays(one.upper_relay))


def proportional(size: Size) -> bool:
    """Whether destinations and shards are in the same proportion to senders as at the full size."""
    full, factor = FULL_SIZE, size.senders / FULL_SIZE.senders
    return (
        abs(size.destinations / (full.destinations * factor) - 1) <= PROPORTION_TOLERANCE
        and abs(size.shards / (full.shards * factor) - 1) <= PROPORTION_TOLERANCE
    )


def slopes(sizes: Sequence[SizeResult]) -> tuple[Slope, ...]:
    """Fit the growth of each cost with the fleet, over the sizes with the full size's proportions."""
    fitted_sizes = [one for one in sizes if proportional(one.size)]
    found = []
    for cost, cost_of in COSTS.items():
        try:
            law = fit([Measurement(one.size.senders, cost_of(one)) for one in fitted_sizes])
        except FitError:
            continue
        found.append(_slope(cost, law))
    return tuple(found)


def _slope(cost: str, law: Fit) -> Slope:
    prediction = law.at(FULL_SIZE.senders)
    match prediction:
        case Estimate(value, low, high):
            return Slope(cost, law.exponent, law.residual, value, low, high)
        case Unknown(why, low, high):
            return Slope(cost, law.exponent, law.residual, None, low, high, why)


def broken_bounds(result: ScaleResult, bounds: BoundSettings) -> tuple[str, ...]:
    """The bounds that the run does not meet, as a phrase each. Unknown figures are not checked."""
    summary = result.summary()
    at_size = summary["at_size"]
    figures = {
        "config_p99_s": summary["config_p99_s"],
        "config_worst_s": summary["config_worst_s"],
        "stale": summary["stale"],
        "moved_share": summary["moved_share"],
        **at_size,
    }
    broken = []
    for name, figure in figures.items():
        bound = getattr(bounds, name)
        if bound is not None and figure != UNKNOWN and figure > bound:
            broken.append(f"{name} {figure:g}, bound {bound:g}")
    broken += [
        f"{name} {summary[name]}, bound 0"
        for name in ("lost", "doubled")
        if summary[name] not in (0, NOT_RUN)
    ]
    return tuple(broken)
