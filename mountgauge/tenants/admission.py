"""Quota admission: counts accepted messages by tenant and rejects those above a quota. No I/O, no clock."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from mountgauge.access import DEFAULT_TENANT
from mountgauge.tenants.counts import Counts, Entry, Incarnation
from mountgauge.tenants.gossip import Gossip
from mountgauge.tenants.members import Member, Members
from mountgauge.tenants.quota import IDLE_S, Bucket, Demand, Quota, View
from mountgauge.tenants.wire import tenant_key

_RATE_WINDOW_S = 5  # over which the present rate is measured
_IDLE_CHECK_INTERVAL_S = 10.0  # between checks for idle buckets


class QuotaAdmission:
    """The buckets, demands and counts of all tenants. `fleet` is None if this member is alone."""

    def __init__(
        self, quotas: Mapping[str, Quota | None], counts: Counts, fleet: Gossip | None, now: float,
        pending: Mapping[int, int] | None = None,
    ) -> None:  # fmt: skip
        self.counts, self.fleet = counts, fleet
        self.index_by_name: dict[str, int] = {}
        self.quotas: dict[int, Quota] = {}
        self.buckets: dict[int, Bucket] = {}
        self.demands: dict[int, Demand] = {}
        self.refused: dict[int, int] = {}
        self.accepted_here = 0
        # Accepted, but not yet added to an incarnation, so no other member can have received these.
        self.pending: dict[int, int] = {}
        for key, count in (pending or {}).items():
            if (index := counts.tenant_index(key)) is not None:
                self.pending[index] = count
        self._started = self._stepped_at = self._idle_checked_at = now
        self._history: deque[tuple[float, list[int]]] = deque(maxlen=_RATE_WINDOW_S + 1)
        self.configure(quotas)

    def configure(self, quotas: Mapping[str, Quota | None]) -> None:
        """Apply the tenants of the file. Counts of tenants that were removed from it stay."""
        names = {DEFAULT_TENANT, *quotas}
        self.counts.max_tenants = max(
            self.counts.max_tenants, len(self.counts.keys) + len(names - set(self.index_by_name))
        )
        self.index_by_name = {}
        self.quotas = {}
        for name in sorted(names):
            index = self.counts.tenant_index(tenant_key(name))
            assert index is not None
            self.index_by_name[name] = index
            if (quota := quotas.get(name)) is not None:
                self.quotas[index] = quota
        for index, bucket in list(self.buckets.items()):
            if (new := self.quotas.get(index)) is None:
                del self.buckets[index]
            else:
                bucket.quota = new

    def _index(self, tenant: str) -> int:
        return self.index_by_name.get(tenant, self.index_by_name[DEFAULT_TENANT])

    # Per message

    def admit(self, tenant: str, now: float) -> float | None:
        """None if a message may be accepted; otherwise the wait in seconds."""
        index = self._index(tenant)
        demand = self.demands.get(index)
        if demand is None:
            demand = self.demands[index] = Demand()
        demand.submitted += 1
        if (quota := self.quotas.get(index)) is None:
            return None
        view = self._view(index, demand)
        bucket = self.buckets.get(index)
        if bucket is None:
            bucket = self.buckets[index] = Bucket(quota, now, view, now - self._started)
        wait = bucket.admit(now, view)
        if wait is not None:
            self.refused[index] = self.refused.get(index, 0) + 1
        return wait

    def give_back(self, tenant: str) -> None:
        """Return the token of a message that was admitted and then not accepted."""
        if (bucket := self.buckets.get(self._index(tenant))) is not None:
            bucket.give_back()

    def count_accepted(self, tenant: str) -> None:
        """Count a message that was accepted."""
        index = self._index(tenant)
        self.pending[index] = self.pending.get(index, 0) + 1
        self.accepted_here += 1

    def _view(self, index: int, demand: Demand) -> View:
        own_demand = max(demand.rate, 0.0)
        total = self.counts.quota_total[index] + self.pending.get(index, 0)
        if self.fleet is None:
            return View(1, 1, own_demand, 0.0, total, 0.0)
        members = self.fleet.members
        present = members.present
        tenths = 0
        for member in present:
            if (
                member is not members.me
                and (incarnation := self.counts.incarnations.get(member.id)) is not None
            ):
                tenths += incarnation.demand[index]
        return View(
            len(present), len(members.known), own_demand, tenths / 10, total, self.fleet.propagation_time
        )

    # Time

    def step(self, now: float) -> list[Entry]:
        """Once a flush interval: add pending counts to this member's incarnation. Returns what changed."""
        passed, self._stepped_at = now - self._stepped_at, now
        may_publish = self.fleet is None or self.fleet.publishing
        rates: dict[int, int] = {}
        for index, demand in list(self.demands.items()):
            if demand.step(passed) and index in self.quotas:
                rates[index] = round(demand.rate * 10)
            if not demand.rate and not demand.submitted and not demand.announced and index not in rates:
                del self.demands[index]
        if not self._history or now - self._history[-1][0] >= 1.0:
            self._history.append((now, list(self.counts.quota_total)))
        if now - self._idle_checked_at >= _IDLE_CHECK_INTERVAL_S:
            self._idle_checked_at = now
            for index, bucket in list(self.buckets.items()):
                if now - bucket.at > IDLE_S:
                    del self.buckets[index]
        if not may_publish:
            return []
        changed = []
        for index in {*self.pending, *rates}:
            tenant_demand = self.demands.get(index)
            rate = rates.get(index, tenant_demand.announced if tenant_demand is not None else 0)
            if tenant_demand is not None:
                tenant_demand.announced = rate
            changed.append(self.counts.add(index, self.pending.get(index, 0), rate))
        self.pending.clear()
        return changed

    def pending_by_key(self) -> dict[int, int]:
        return {self.counts.keys[index]: count for index, count in self.pending.items()}

    # Reports

    def rate(self, index: int) -> float:
        """Messages per second that the fleet accepts of a tenant, over the last few seconds."""
        if len(self._history) < 2:
            return 0.0
        (then, before), (now, _) = self._history[0], self._history[-1]
        after = self._history[-1][1]
        start = before[index] if index < len(before) else 0
        return max(0, after[index] - start) / (now - then) if index < len(after) else 0.0

    def _ages(self, now: float) -> list[tuple[Incarnation, float]]:
        """The incarnations of the other members, and the age of their reports."""
        if self.fleet is None:
            return []
        found = []
        for member in self.fleet.members.known:
            incarnation = self.counts.incarnations.get(member.id)
            if member is not self.fleet.members.me and incarnation is not None:
                found.append((incarnation, self.fleet.age(member, now)))
        return found

    def bounds(
        self, index: int, now: float, ages: list[tuple[Incarnation, float]] | None = None
    ) -> tuple[int, int]:
        """Lower and upper bound of the messages that the fleet has accepted of a tenant since it began.

        The lower bound is what is counted. The upper one adds what each other member may have accepted since
        its last report, at the rate that the tenant submitted then, or at the quota's rate if that is less.
        """
        low = self.counts.total[index] + self.pending.get(index, 0)
        if self.fleet is None:
            return low, low
        unreported = 0.0
        quota = self.quotas.get(index)
        ages = self._ages(now) if ages is None else ages
        more = self.fleet.plan.flush + self.fleet.plan.interval
        # The measured rate covers present members only; members beyond a split may accept as much.
        present = len(self.fleet.members.present)
        usual = 2 * self.rate(index) / present if quota is None else 0.0
        for incarnation, age in ages:
            demand = incarnation.demand[index] / 10 * 1.2
            if quota is not None:
                demand = min(demand, quota.rate)
            elif incarnation.count[index]:
                demand = max(demand, usual)
            if demand:
                unreported += math.ceil(demand * (age + more))
        if quota is not None and not self.fleet.members.split:
            oldest = max((age for _, age in ages), default=0.0)
            unreported = min(unreported, math.ceil(quota.burst + 2 * quota.rate * (oldest + 1.0)))
        return low, low + int(unreported)

    def report(self, now: float, max_tenants: int = 100_000) -> dict[str, Any]:
        """The report that `mountgauge tenants` shows, with the most used tenants if there are more."""
        name_by_index = {index: name for name, index in self.index_by_name.items()}
        indexes = list(range(len(self.counts.keys)))
        if len(indexes) > max_tenants:
            indexes = sorted(indexes, key=self.counts.total.__getitem__, reverse=True)[:max_tenants]
        tenants = []
        ages = self._ages(now)
        for index in indexes:
            low, high = self.bounds(index, now, ages)
            name = name_by_index.get(index, f"#{self.counts.keys[index]:016x}")
            quota = self.quotas.get(index)
            tenants.append({
                "tenant": name, "used": low, "low": low, "high": high, "rate": round(self.rate(index), 2),
                "quota": None if quota is None else quota.rate, "burst": quota and quota.burst,
                "split": quota and quota.split.value, "refused_here": self.refused.get(index, 0),
                "configured": index in name_by_index,
            })  # fmt: skip
        tenants.sort(key=lambda one: str(one["tenant"]))
        found: dict[str, Any] = {"tenants": tenants, "left_out": len(self.counts.keys) - len(indexes)}
        return {**found, **self.fleet_report(now)}

    def fleet_report(self, now: float) -> dict[str, Any]:
        """The members and the gossip between them, for the report."""
        fleet = self.fleet
        if fleet is None:
            return {"split": False, "exact": True, "unjoined": "", "conflicts": [], "members": []}
        gap = fleet.sync_gap(now)
        return {
            "split": fleet.members.split,
            "exact": not (fleet.counts_uncertain or fleet.diverged or gap),
            "unjoined": gap,
            "conflicts": sorted(fleet.members.conflicts()),
            "members": [self._member(member, now) for member in fleet.members.all.values()],
            "folded_lives": self.counts.folded_count,
            "gossip": {
                "sent": fleet.sent, "sent_bytes": fleet.sent_bytes, "received": fleet.received,
                "received_bytes": fleet.received_bytes, "dropped": dict(fleet.dropped),
            },
        }  # fmt: skip

    def _member(self, member: Member, now: float) -> dict[str, Any]:
        assert self.fleet is not None
        me = member is self.fleet.members.me
        contact = self.fleet.contacts.get(member.id)
        address = None if contact is None else contact.listed_address or contact.source_address
        incarnation = self.counts.incarnations.get(member.id)
        return {
            "name": member.name, "life": f"{member.id:016x}", "self": me,
            "presence": member.presence.value, "boot": member.boot,
            "age_s": 0.0 if me else round(self.fleet.age(member, now), 3),
            "round_trip_ms": None if contact is None else round(contact.rtt * 1000, 1),
            "address": None if address is None else f"{address[0]}:{address[1]}",
            "taken": incarnation.used
            if incarnation is not None and (me or Members.is_present(member)) else None,
        }  # fmt: skip
