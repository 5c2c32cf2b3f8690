"""Metrics of a run, from its events alone. Times in s of the schedule, rates in calls a second."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from mountgauge.lab.rig.events import Event, of_kinds
from mountgauge.lab.rig.oracle import Judgement

WINDOW_S = 0.1
FULL_SHARE = 0.9  # of the offered load, or of the capacity if that is less
FULL_FOR_S = 2.0  # for which that must hold to count as full service


class RunMetrics:
    """The capacity of a partner and the results of its calls, by time."""

    def __init__(self, events: Iterable[Event], dest: int | None = None) -> None:
        events = list(events)
        self.calls = [one for one in of_kinds(events, "call") if dest in (None, one.fields["dest"])]
        self.answers = [one for one in of_kinds(events, "answer") if dest in (None, one.fields["dest"])]
        self.capacity_records = [
            one for one in of_kinds(events, "bears") if dest in (None, one.fields["dest"])
        ]
        self.offers = [one for one in of_kinds(events, "offer") if dest in (None, one.fields["dest"])]
        self.list_calls = of_kinds(events, "list-call")
        self.call_times = [one.at for one in self.calls]
        self.served_times = [one.at for one in self.answers if one.fields["status"] == 200]
        self.refused_times = [one.at for one in self.answers if one.fields["status"] in (429, 503)]
        self.offer_times = [one.at for one in self.offers]
        self._capacity_times = [one.at for one in self.capacity_records]

    @staticmethod
    def count(times: Sequence[float], begin: float, end: float) -> int:
        """The number of times from `begin` to before `end`; `times` is sorted."""
        return bisect_left(times, end) - bisect_left(times, begin)

    def capacity_at(self, at: float) -> float:
        """The partner's capacity at a moment, by the last record before it."""
        index = bisect_right(self._capacity_times, at) - 1
        return (
            float(self.capacity_records[max(0, index)].fields["rate"]) if self.capacity_records else math.inf
        )

    def capacity_between(self, begin: float, end: float, step: float = 0.02) -> float:
        """The number of calls that the capacity allowed."""
        steps = max(1, round((end - begin) / step))
        width = (end - begin) / steps
        return sum(self.capacity_at(begin + (index + 0.5) * width) * width for index in range(steps))

    def served_share(self, begin: float, end: float) -> float:
        """The served calls as a share of the capacity."""
        return self.count(self.served_times, begin, end) / max(1.0, self.capacity_between(begin, end))

    def refused_share(self, begin: float, end: float) -> float:
        """The refused calls as a share of the served and refused ones."""
        refused = self.count(self.refused_times, begin, end)
        return refused / max(1, self.count(self.served_times, begin, end) + refused)

    def peak_over_capacity(self, begin: float, end: float) -> float:
        """The largest ratio of calls to capacity in a window; one call is added to the capacity."""
        worst = 0.0
        for index in range(max(1, round((end - begin) / WINDOW_S))):
            at = begin + index * WINDOW_S
            calls = self.count(self.call_times, at, at + WINDOW_S)
            worst = max(worst, calls / (self.capacity_between(at, at + WINDOW_S) + 1.0))
        return worst

    def full_service_from(self, begin: float, end: float, demand: float) -> float | None:
        """When `FULL_SHARE` of the lesser of demand and capacity is served for `FULL_FOR_S`; None: never."""
        at = begin
        while at + FULL_FOR_S <= end:
            want = min(demand * FULL_FOR_S, self.capacity_between(at, at + FULL_FOR_S))
            if self.count(self.served_times, at, at + FULL_FOR_S) >= FULL_SHARE * want and want > 0:
                return at
            at += 0.1
        return None

    def earliest_full_service(self, begin: float, end: float, demand: float) -> float:
        """The earliest possible full service: when the partner's capacity covers the demand."""
        at = begin
        while at < end and self.capacity_at(at) < FULL_SHARE * demand:
            at += 0.05
        return at

    def by_second(self) -> list[dict[str, float]]:
        """The counts of each second."""
        last = max([0.0, *self.call_times, *self.offer_times])
        first = math.floor(min([0.0, *self.call_times]))
        return [
            {
                "at": at,
                "offered": self.count(self.offer_times, at, at + 1),
                "calls": self.count(self.call_times, at, at + 1),
                "served": self.count(self.served_times, at, at + 1),
                "refused": self.count(self.refused_times, at, at + 1),
                "borne": round(self.capacity_between(at, at + 1), 1),
            }
            for at in range(first, math.ceil(last) + 1)
        ]


def latencies(events: Iterable[Event]) -> dict[str, float]:
    """Percentiles of the time from the first submission of a key to the answer of its delivery, s."""
    histogram = HdrHistogram(1, 120_000, 3)  # ms
    offered: dict[str, float] = {}
    key_of: dict[str, str] = {}
    done: set[str] = set()
    for event in sorted(events, key=lambda one: one.at):
        f = event.fields
        if event.kind == "offer":
            offered[f["key"]] = event.at
        elif event.kind == "handed":
            key_of[f["id"]] = f["key"]
        elif event.kind == "answer" and f["status"] == 200:
            key = key_of.get(f["id"], "")
            if key in offered and key not in done:
                done.add(key)
                histogram.record_value(max(1, round((event.at - offered[key]) * 1000)))
    return {f"p{share}": histogram.get_value_at_percentile(share) / 1000 for share in (50, 90, 99)} | {
        "count": histogram.get_total_count()
    }


def phases(events: Iterable[Event]) -> dict[str, list[tuple[float, str]]]:
    """By member: its phases over time, from its log."""
    found: dict[str, list[tuple[float, str]]] = {}
    for event in sorted(events, key=lambda one: one.at):
        if event.kind == "log" and event.fields["event"] == "phase":
            found.setdefault(event.fields["member"], []).append(
                (event.at, event.fields["pairs"].get("to", "?"))
            )
        elif event.kind == "gone":
            found.setdefault(event.fields["member"], []).append((event.at, "gone"))
    return found


def summary(
    events: Sequence[Event], judged: Judgement, begin: float, end: float, dest: int | None = None
) -> dict[str, Any]:
    """The figures of a scene; `begin` is the time of its last fault."""
    found = RunMetrics(events, dest)
    demand = found.count(found.offer_times, begin, end) / max(end - begin, 1e-9)
    full = found.full_service_from(begin, end, demand)
    best = found.earliest_full_service(begin, end, demand)
    stop = min(begin + 5, end)
    rules = judged.rules
    return {
        "served_share_5s": round(found.served_share(begin, stop), 3),
        "refused_share": round(found.refused_share(begin, stop), 3),
        "refused_share_all": round(found.refused_share(begin, end), 3),
        "peak_over_bearing_100ms": round(found.peak_over_capacity(begin, stop), 2),
        "full_service_s": None if full is None else round(full - begin, 2),
        "full_service_best_s": round(best - begin, 2),
        "full_service_over_limit": None
        if full is None
        else round(max(full - begin, 1.0) / max(best - begin, 1.0), 2),
        "endless": int(full is None),
        "served": found.count(found.served_times, begin, end),
        "calls": found.count(found.call_times, begin, end),
        "borne": round(found.capacity_between(begin, end)),
        "taken": judged.taken,
        "delivered": judged.delivered,
        "lost": rules["final"],
        "doubled": rules["repeat"] + rules["two-out"],
        "rules_broken": len(judged.violations),
        "stale_sends": rules["drain"] + rules["wait"],
        "with_folder": judged.with_folder,
        "rules": dict(rules),
        "latency_s": latencies(events),
        "fell": Counter(one.kind for one in events)["fell"],
    }
