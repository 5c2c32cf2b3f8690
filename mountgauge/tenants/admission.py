"""Quota admission: counts what is taken on by tenant, turns away what is past its quota. No I/O, no clock."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from mountgauge.access import DEFAULT
from mountgauge.tenants.counts import Counts, Entry, Incarnation
from mountgauge.tenants.gossip import Gossip
from mountgauge.tenants.members import Member, Members
from mountgauge.tenants.quota import IDLE, Bucket, Demand, Quota, View
from mountgauge.tenants.wire import tenant_key

_RATE_OVER = 5  # s over which the present rate is taken
_SWEEP = 10.0  # s between looks for buckets that nobody uses


class QuotaAdmission:
    """`fleet` is None where this member is alone."""

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
        self.taken_here = 0
        # Taken on, but in no life yet: nobody else can have heard of these.
        self.pending: dict[int, int] = {}
        for key, count in (pending or {}).items():
            if (place := counts.tenant(key)) is not None:
                self.pending[place] = count
        self._started = self._stepped = self._swept = now
        self._history: deque[tuple[float, list[int]]] = deque(maxlen=_RATE_OVER + 1)
        self.learn(quotas)

    def learn(self, quotas: Mapping[str, Quota | None]) -> None:
        """The tenants as the file has them now. Counts of those that no longer stand there stay."""
        names = {DEFAULT, *quotas}
        self.counts.most = max(self.counts.most, len(self.counts.keys) + len(names - set(self.index_by_name)))
        self.index_by_name = {}
        self.quotas = {}
        for name in sorted(names):
            place = self.counts.tenant(tenant_key(name))
            assert place is not None
            self.index_by_name[name] = place
            if (quota := quotas.get(name)) is not None:
                self.quotas[place] = quota
        for place, bucket in list(self.buckets.items()):
            if (new := self.quotas.get(place)) is None:
                del self.buckets[place]
            else:
                bucket.quota = new

    def _place(self, tenant: str) -> int:
        return self.index_by_name.get(tenant, self.index_by_name[DEFAULT])

    # Each message

    def admit(self, tenant: str, now: float) -> float | None:
        """None: it may be taken on. Else in how many seconds to come again."""
        place = self._place(tenant)
        demand = self.demands.get(place)
        if demand is None:
            demand = self.demands[place] = Demand()
        demand.asked += 1
        if (quota := self.quotas.get(place)) is None:
            return None
        view = self._view(place, demand)
        bucket = self.buckets.get(place)
        if bucket is None:
            bucket = self.buckets[place] = Bucket(quota, now, view, now - self._started)
        again = bucket.admit(now, view)
        if again is not None:
            self.refused[place] = self.refused.get(place, 0) + 1
        return again

    def give_back(self, tenant: str) -> None:
        """What was admitted was not taken on."""
        if (bucket := self.buckets.get(self._place(tenant))) is not None:
            bucket.give_back()

    def taken(self, tenant: str) -> None:
        place = self._place(tenant)
        self.pending[place] = self.pending.get(place, 0) + 1
        self.taken_here += 1

    def _view(self, place: int, demand: Demand) -> View:
        mine = max(demand.rate, 0.0)
        total = self.counts.fresh[place] + self.pending.get(place, 0)
        if self.fleet is None:
            return View(1, 1, mine, 0.0, total, 0.0)
        members = self.fleet.members
        here = members.present
        others = 0
        for member in here:
            if member is not members.me and (life := self.counts.incarnations.get(member.id)) is not None:
                others += life.demand[place]
        return View(len(here), len(members.known), mine, others / 10, total, self.fleet.settle)

    # Time

    def step(self, now: float) -> list[Entry]:
        """Once a flush: what is new goes into this member's life. The lines of it that have changed."""
        passed, self._stepped = now - self._stepped, now
        may_publish = self.fleet is None or self.fleet.open
        told: dict[int, int] = {}
        for place, demand in list(self.demands.items()):
            if demand.step(passed) and place in self.quotas:
                told[place] = round(demand.rate * 10)
            if not demand.rate and not demand.asked and not demand.told and place not in told:
                del self.demands[place]
        if not self._history or now - self._history[-1][0] >= 1.0:
            self._history.append((now, list(self.counts.fresh)))
        if now - self._swept >= _SWEEP:
            self._swept = now
            for place, bucket in list(self.buckets.items()):
                if now - bucket.at > IDLE:
                    del self.buckets[place]
        if not may_publish:
            return []
        changed = []
        for place in {*self.pending, *told}:
            asked = self.demands.get(place)
            rate = told.get(place, asked.told if asked is not None else 0)
            if asked is not None:
                asked.told = rate
            changed.append(self.counts.add(place, self.pending.get(place, 0), rate))
        self.pending.clear()
        return changed

    def pending_by_key(self) -> dict[int, int]:
        return {self.counts.keys[place]: count for place, count in self.pending.items()}

    # Reading

    def rate(self, place: int) -> float:
        """Messages a second that the fleet takes on now, over the last few seconds."""
        if len(self._history) < 2:
            return 0.0
        (then, before), (now, _) = self._history[0], self._history[-1]
        after = self._history[-1][1]
        start = before[place] if place < len(before) else 0
        return max(0, after[place] - start) / (now - then) if place < len(after) else 0.0

    def _ages(self, now: float) -> list[tuple[Incarnation, float]]:
        """The other members' lives, and how old their word is."""
        if self.fleet is None:
            return []
        found = []
        for member in self.fleet.members.known:
            life = self.counts.incarnations.get(member.id)
            if member is not self.fleet.members.me and life is not None:
                found.append((life, self.fleet.age(member, now)))
        return found

    def bounds(
        self, place: int, now: float, ages: list[tuple[Incarnation, float]] | None = None
    ) -> tuple[int, int]:
        """The fleet's use since it began: what is surely counted, and what it may be by now.

        Above the low bound stands what each other member may have taken on since its last word, at the rate
        that the tenant asked of it then, or at what the quota grants where that is less.
        """
        low = self.counts.total[place] + self.pending.get(place, 0)
        if self.fleet is None:
            return low, low
        unheard = 0.0
        quota = self.quotas.get(place)
        ages = self._ages(now) if ages is None else ages
        more = self.fleet.plan.flush + self.fleet.plan.interval
        here = len(self.fleet.members.present)  # whose rate is known: those beyond a split may take as much
        usual = 2 * self.rate(place) / here if quota is None else 0.0
        for life, age in ages:
            asked = life.demand[place] / 10 * 1.2
            if quota is not None:
                asked = min(asked, quota.rate)
            elif life.count[place]:
                asked = max(asked, usual)
            if asked:
                unheard += math.ceil(asked * (age + more))
        if quota is not None and not self.fleet.members.split:
            oldest = max((age for _, age in ages), default=0.0)
            unheard = min(unheard, math.ceil(quota.burst + 2 * quota.rate * (oldest + 1.0)))
        return low, low + int(unheard)

    def report(self, now: float, most: int = 100_000) -> dict[str, Any]:
        """What `mountgauge tenants` shows; the most used first where not all are wanted."""
        by_place = {place: name for name, place in self.index_by_name.items()}
        places = list(range(len(self.counts.keys)))
        if len(places) > most:
            places = sorted(places, key=self.counts.total.__getitem__, reverse=True)[:most]
        tenants = []
        ages = self._ages(now)
        for place in places:
            low, high = self.bounds(place, now, ages)
            name = by_place.get(place, f"#{self.counts.keys[place]:016x}")
            quota = self.quotas.get(place)
            tenants.append({
                "tenant": name, "used": low, "low": low, "high": high, "rate": round(self.rate(place), 2),
                "quota": None if quota is None else quota.rate, "burst": quota and quota.burst,
                "split": quota and quota.split.value, "refused_here": self.refused.get(place, 0),
                "configured": place in by_place,
            })  # fmt: skip
        tenants.sort(key=lambda one: str(one["tenant"]))
        found: dict[str, Any] = {"tenants": tenants, "left_out": len(self.counts.keys) - len(places)}
        return {**found, **self.fleet_report(now)}

    def fleet_report(self, now: float) -> dict[str, Any]:
        fleet = self.fleet
        if fleet is None:
            return {"split": False, "exact": True, "unjoined": "", "conflicts": [], "members": []}
        unjoined = fleet.sync_gap(now)
        return {
            "split": fleet.members.split,
            "exact": not (fleet.doubtful or fleet.diverged or unjoined),
            "unjoined": unjoined,
            "conflicts": sorted(fleet.members.conflicts()),
            "members": [self._member(member, now) for member in fleet.members.all.values()],
            "folded_lives": self.counts.past_lives,
            "gossip": {
                "sent": fleet.sent, "sent_bytes": fleet.sent_bytes, "received": fleet.received,
                "received_bytes": fleet.received_bytes, "dropped": dict(fleet.dropped),
            },
        }  # fmt: skip

    def _member(self, member: Member, now: float) -> dict[str, Any]:
        assert self.fleet is not None
        me = member is self.fleet.members.me
        contact = self.fleet.contacts.get(member.id)
        place = None if contact is None else contact.listed or contact.source
        life = self.counts.incarnations.get(member.id)
        return {
            "name": member.name, "life": f"{member.id:016x}", "self": me,
            "presence": member.presence.value, "boot": member.boot,
            "age_s": 0.0 if me else round(self.fleet.age(member, now), 3),
            "round_trip_ms": None if contact is None else round(contact.rtt * 1000, 1),
            "address": None if place is None else f"{place[0]}:{place[1]}",
            "taken": life.used if life is not None and (me or Members.here(member)) else None,
        }  # fmt: skip
