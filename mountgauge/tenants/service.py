"""Puts the store, the socket and the loop's timers round the admission and the fleet."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mountgauge.log import kv
from mountgauge.recovery.peers import Peers
from mountgauge.tenants.admission import QuotaAdmission
from mountgauge.tenants.counts import Counts
from mountgauge.tenants.gossip import STARTING, Gossip, Identity, Out, Place
from mountgauge.tenants.members import Members
from mountgauge.tenants.settings import FLUSH, TenantFile
from mountgauge.tenants.store import Store, room_for
from mountgauge.tenants.udp import Udp
from mountgauge.tenants.wire import Seal, tenant_key

log = logging.getLogger("mountgauge.tenants")

_SPARE_TENANTS = 1024  # that only other members' files name: those of a reload that has not come here yet
_REST_EVERY = 10.0  # s between two times that the rest is written down, if it has changed
_LEAVES = 3  # rounds in which one that leaves says so
_METRICS = 1000  # tenants that are exported, the most used ones


def disk_for(settings: TenantFile) -> int:
    """Bytes of the state folder's limit that the counts take."""
    return room_for(len(settings.tenants) + 1)


def _draw() -> int:
    return secrets.randbits(62) + 1


class FleetPeers(Peers):
    """What the gossip tells the recovery."""

    def __init__(self, fleet: Gossip, loop: asyncio.AbstractEventLoop) -> None:
        self.fleet, self._loop = fleet, loop

    def joined(self) -> bool:
        return self.fleet.unjoined(self._loop.time()) != STARTING

    def announce_phase(self, phase: int) -> None:
        self.fleet.phase = phase

    def members_recovering(self) -> int:
        return self.fleet.coming_back()

    def outdated(self) -> bool:
        return self.fleet.outdated

    def last_known_run(self) -> int:
        return int(self.fleet.earlier_life())


class Tenants:
    """The core's admission, and all that belongs to it. Times are of the loop's clock, s."""

    def __init__(self, settings: TenantFile, name: str, folder: Path) -> None:
        self.settings, self.name = settings, name
        self._loop = asyncio.get_running_loop()
        now = self._loop.time()
        keys = [tenant_key(one.name) for one in settings.tenants]
        self.store = Store(folder, len(keys) + 1)
        saved = self.store.load(name)
        life, boot = saved.life or _draw(), saved.boot + 1
        counts = Counts(keys, len(keys) + 1 + _SPARE_TENANTS, life, name)
        counts.adopt(saved.past, saved.folded, saved.past_name[1], saved.past_name[0])
        for id, named, version, entries in saved.lives:
            counts.join(id, named, 0, version, entries)
            for place in range(len(counts.keys)):  # what was asked for then is not asked for now
                counts.lives[id].demand[place] = 0
        if self.store.error:
            log.error("tenants-file-damaged", extra=kv(error=self.store.error, kept=str(self.store.path)))
        self.store.save_me(name, life, boot)
        self.fleet: Gossip | None = None
        if (fleet := settings.fleet) is not None:
            me = Identity(name, life, boot, _draw())
            seal = Seal(fleet.name, fleet.keys)
            self.fleet = Gossip(me, fleet.plan, counts, seal, now, random.Random(_draw()))
            self.fleet.doubtful = bool(self.store.error)
        self.admission = QuotaAdmission(self._quotas(), counts, self.fleet, now, saved.pending)
        self.udp: Udp | None = None
        self.heads: dict[bytes, Callable[[bytes, Place], Out]] = {}  # other kinds of datagrams, by their head
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._rest_at = now
        self._conflicts: set[str] = set()
        self._split = False
        self._saved_pending = bool(saved.pending)
        self._store_failed = 0

    def _quotas(self) -> dict[str, Any]:
        return {one.name: one.quota for one in self.settings.tenants}

    # The core's admission

    def admit(self, tenant: str, now: float) -> float | None:
        return self.admission.admit(tenant, now)

    def refund(self, tenant: str) -> None:
        self.admission.give_back(tenant)

    def accepted(self, tenant: str) -> None:
        self.admission.taken(tenant)

    def peers(self) -> Peers | None:
        """What the gossip tells of the others, for a member that comes back."""
        return None if self.fleet is None else FleetPeers(self.fleet, self._loop)

    # Running

    def start(self) -> None:
        if (fleet := self.settings.fleet) is not None:
            self.udp = Udp(fleet.listen, self._received)
            self._every("gossip", fleet.plan.interval, self._gossip)
        self._every("flush", FLUSH, self.flush)
        log.info("tenants", extra=kv(tenants=len(self.settings.tenants), fleet=fleet and fleet.name,
                                     life=f"{self.admission.counts.mine.id:016x}"))  # fmt: skip

    def _every(self, name: str, interval: float, then: Any) -> None:
        def again() -> None:
            self._timers[name] = self._loop.call_later(interval, again)
            then()

        self._timers[name] = self._loop.call_later(interval, again)

    def _received(self, data: bytes, source: Place) -> Out:
        if (other := self.heads.get(data[:2])) is not None:
            return other(data, source)
        assert self.fleet is not None
        return self.fleet.receive(data, source, self._loop.time())

    def _gossip(self) -> None:
        assert self.fleet is not None and self.udp is not None
        now = self._loop.time()
        if self.fleet.reborn:
            why = self.fleet.reborn
            old = self.admission.counts.mine.id
            self.fleet.renew(_draw(), _draw(), now)
            new = self.admission.counts.mine
            self.store.save_me(self.name, new.id, 1)
            self.fleet.changed_rest = True
            log.error("tenants-new-life", extra=kv(why=why, old=f"{old:016x}", new=f"{new.id:016x}",
                                                   exact=not self.fleet.doubtful))  # fmt: skip
        self.flush()
        self.udp.send(self.fleet.tick(now))
        self._look()
        if self.fleet.changed_rest and now - self._rest_at >= _REST_EVERY:
            self._save_rest(now)

    def _look(self) -> None:
        """Say once what an operator must know."""
        assert self.fleet is not None
        members = self.fleet.members
        conflicts = members.conflicts()
        for name in conflicts - self._conflicts:
            log.error("tenants-conflict", extra=kv(name=name, why="two members at work under one name"))
        for name in self._conflicts - conflicts:
            log.info("tenants-conflict-over", extra=kv(name=name))
        self._conflicts = conflicts
        if members.split != self._split:
            self._split = members.split
            gone = ",".join(sorted(m.name for m in members.known if not Members.here(m)))
            seen = kv(present=len(members.present), known=len(members.known), gone=gone)
            log.warning("tenants-split" if self._split else "tenants-whole", extra=seen)

    def flush(self) -> None:
        """New counts are written down before anyone can hear of them."""
        entries = self.admission.step(self._loop.time())
        pending = self.admission.pending_by_key()
        if entries or pending or self._saved_pending:
            ok = self.store.save(self.admission.counts.mine, entries, pending)
            self._saved_pending = bool(pending) or not ok
        if self.store.failed != self._store_failed:
            if not self._store_failed:
                log.error("tenants-not-written", extra=kv(error=self.store.error))
            self._store_failed = self.store.failed

    def _save_rest(self, now: float) -> None:
        assert self.fleet is not None
        counts, members = self.admission.counts, self.fleet.members
        here = {m.id for m in members.present}
        self.fleet.changed_rest = not self.store.save_rest(
            counts,
            [life for life in counts.lives.values() if life is not counts.mine and life.id not in here],
        )
        self._rest_at = now

    def reload(self, settings: TenantFile) -> list[str]:
        """Quotas, users, peers and keys move; the settings that need a restart are named."""
        old, self.settings = self.settings, settings
        self.admission.learn(self._quotas())
        if (old.fleet is None) != (settings.fleet is None):
            return ["fleet"]
        if settings.fleet is None or old.fleet is None or self.fleet is None:
            return []
        needs = [f"fleet.{key}" for key in ("name", "listen") if
                 getattr(settings.fleet, key) != getattr(old.fleet, key)]  # fmt: skip
        self.fleet.seal = Seal(old.fleet.name, settings.fleet.keys)
        plan = settings.fleet.plan
        if plan.interval != old.fleet.plan.interval:
            needs.append("fleet.interval")
        self.fleet.plan = plan
        self.fleet.members.timing = plan.timing
        for contact in self.fleet.contacts.values():
            if contact.listed not in plan.peers:
                contact.listed = None
        return needs

    async def leave(self) -> None:
        """Say goodbye, so that nobody waits for this member's part of the quotas."""
        self.flush()
        if self.fleet is None or self.udp is None:
            return
        self.fleet.leaving = True
        for _ in range(_LEAVES):
            self.flush()
            self.udp.send(self.fleet.tick(self._loop.time()))
            await asyncio.sleep(0.02)

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self.flush()
        if self.fleet is not None:
            self._save_rest(self._loop.time())
        if self.udp is not None:
            self.udp.close()
            self.udp = None
        self.store.close()

    # What others are told

    def report(self) -> dict[str, Any]:
        """All of it: what `GET /tenants` answers."""
        found = self.admission.report(self._loop.time())
        found["name"] = self.name
        found["fleet"] = None if self.settings.fleet is None else self.settings.fleet.name
        found["store"] = {"failed": self.store.failed, "error": self.store.error}
        if self.udp is not None:
            found["gossip"]["socket"] = dict(self.udp.counts)
        return found

    def summary(self) -> dict[str, Any]:
        """A line's worth, for `GET /status`."""
        found = self.admission.fleet_report(self._loop.time())
        members = found["members"]
        return {
            "tenants": len(self.admission.names), "taken": sum(self.admission.counts.total),
            "refused": sum(self.admission.refused.values()), "split": found["split"], "exact": found["exact"],
            "unjoined": found["unjoined"],
            "conflicts": found["conflicts"],
            "present": sum(one["presence"] in ("present", "suspected") for one in members),
            "known": sum(one["presence"] not in ("left", "ended") for one in members),
        }  # fmt: skip

    def metrics(self) -> dict[str, Any]:
        """What is exported: by tenant for the most used ones, and of the fleet."""
        return self.admission.report(self._loop.time(), _METRICS)
