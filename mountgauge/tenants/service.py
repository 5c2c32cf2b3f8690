"""The tenants of a running sender: connects admission and gossip to the store, the socket and timers."""

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
from mountgauge.tenants.gossip import STARTING, Gossip, Identity, OutgoingDatagrams, UdpAddress
from mountgauge.tenants.members import Members
from mountgauge.tenants.settings import FLUSH_INTERVAL_S, TenantFile
from mountgauge.tenants.store import Store, max_file_bytes
from mountgauge.tenants.udp import UdpTransport
from mountgauge.tenants.wire import Seal, tenant_key

log = logging.getLogger("mountgauge.tenants")

_SPARE_TENANTS = 1024  # for tenants that only the files of other members list, until this file is reloaded
_REPLICA_SAVE_INTERVAL_S = 10.0  # between writes of counts of other members, if they have changed
_LEAVE_ROUNDS = 3  # rounds in which a member reports that it leaves
_MAX_EXPORTED_TENANTS = 1000  # the most used ones


def disk_for(settings: TenantFile) -> int:
    """The bytes that the counts may use of the state folder's limit."""
    return max_file_bytes(len(settings.tenants) + 1)


def _random_id() -> int:
    return secrets.randbits(62) + 1


class FleetPeers(Peers):
    """The other members, as the recovery needs them."""

    def __init__(self, fleet: Gossip, loop: asyncio.AbstractEventLoop) -> None:
        self.fleet, self._loop = fleet, loop

    def joined(self) -> bool:
        return self.fleet.sync_gap(self._loop.time()) != STARTING

    def announce_phase(self, phase: int) -> None:
        self.fleet.phase = phase

    def members_recovering(self) -> int:
        return self.fleet.recovering_members()

    def outdated(self) -> bool:
        return self.fleet.outdated

    def last_known_run(self) -> int:
        return int(self.fleet.has_previous_incarnation())


class Tenants:
    """The tenant gate of the core's admission, with its store and gossip. Times: the event loop's, s."""

    def __init__(self, settings: TenantFile, name: str, folder: Path) -> None:
        self.settings, self.name = settings, name
        self._loop = asyncio.get_running_loop()
        now = self._loop.time()
        keys = [tenant_key(one.name) for one in settings.tenants]
        self.store = Store(folder, len(keys) + 1)
        saved = self.store.load(name)
        incarnation, boot = saved.incarnation or _random_id(), saved.boot + 1
        counts = Counts(keys, len(keys) + 1 + _SPARE_TENANTS, incarnation, name)
        counts.adopt(saved.past, saved.folded, saved.past_name[1], saved.past_name[0])
        for id, member, version, entries in saved.incarnations:
            counts.join(id, member, 0, version, entries)
            for index in range(len(counts.keys)):  # the demand of the previous run no longer applies
                counts.incarnations[id].demand[index] = 0
        if self.store.error:
            log.error("tenants-file-damaged", extra=kv(error=self.store.error, kept=str(self.store.path)))
        self.store.save_identity(name, incarnation, boot)
        self.fleet: Gossip | None = None
        if (fleet := settings.fleet) is not None:
            me = Identity(name, incarnation, boot, _random_id())
            seal = Seal(fleet.name, fleet.keys)
            self.fleet = Gossip(me, fleet.plan, counts, seal, now, random.Random(_random_id()))
            self.fleet.counts_uncertain = bool(self.store.error)
        self.admission = QuotaAdmission(self._quotas(), counts, self.fleet, now, saved.pending)
        self.udp: UdpTransport | None = None
        # Handlers of other kinds of datagrams, by their first bytes.
        self.prefix_handlers: dict[bytes, Callable[[bytes, UdpAddress], OutgoingDatagrams]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._replicas_saved_at = now
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
        self.admission.count_accepted(tenant)

    def peers(self) -> Peers | None:
        """The other members, for the recovery of this one; None without a fleet."""
        return None if self.fleet is None else FleetPeers(self.fleet, self._loop)

    # Running

    def start(self) -> None:
        if (fleet := self.settings.fleet) is not None:
            self.udp = UdpTransport(fleet.listen, self._received)
            self._every("gossip", fleet.plan.interval, self._gossip)
        self._every("flush", FLUSH_INTERVAL_S, self.flush)
        log.info("tenants", extra=kv(tenants=len(self.settings.tenants), fleet=fleet and fleet.name,
                                     life=f"{self.admission.counts.own.id:016x}"))  # fmt: skip

    def _every(self, name: str, interval: float, then: Any) -> None:
        def run() -> None:
            self._timers[name] = self._loop.call_later(interval, run)
            then()

        self._timers[name] = self._loop.call_later(interval, run)

    def _received(self, data: bytes, source: UdpAddress) -> OutgoingDatagrams:
        if (handler := self.prefix_handlers.get(data[:2])) is not None:
            return handler(data, source)
        assert self.fleet is not None
        return self.fleet.receive(data, source, self._loop.time())

    def _gossip(self) -> None:
        assert self.fleet is not None and self.udp is not None
        now = self._loop.time()
        if self.fleet.new_incarnation_reason:
            why = self.fleet.new_incarnation_reason
            old = self.admission.counts.own.id
            self.fleet.start_incarnation(_random_id(), _random_id(), now)
            new = self.admission.counts.own
            self.store.save_identity(self.name, new.id, 1)
            self.fleet.replicas_changed = True
            log.error("tenants-new-life", extra=kv(why=why, old=f"{old:016x}", new=f"{new.id:016x}",
                                                   exact=not self.fleet.counts_uncertain))  # fmt: skip
        self.flush()
        self.udp.send(self.fleet.tick(now))
        self._log_changes()
        if self.fleet.replicas_changed and now - self._replicas_saved_at >= _REPLICA_SAVE_INTERVAL_S:
            self._save_replicas(now)

    def _log_changes(self) -> None:
        """Log name conflicts and splits when they begin and when they end."""
        assert self.fleet is not None
        members = self.fleet.members
        conflicts = members.conflicts()
        for name in conflicts - self._conflicts:
            log.error("tenants-conflict", extra=kv(name=name, why="two members use one name"))
        for name in self._conflicts - conflicts:
            log.info("tenants-conflict-over", extra=kv(name=name))
        self._conflicts = conflicts
        if members.split != self._split:
            self._split = members.split
            gone = ",".join(sorted(m.name for m in members.known if not Members.is_present(m)))
            seen = kv(present=len(members.present), known=len(members.known), gone=gone)
            log.warning("tenants-split" if self._split else "tenants-whole", extra=seen)

    def flush(self) -> None:
        """Write new counts, before any other member can receive them."""
        entries = self.admission.step(self._loop.time())
        pending = self.admission.pending_by_key()
        if entries or pending or self._saved_pending:
            ok = self.store.save(self.admission.counts.own, entries, pending)
            self._saved_pending = bool(pending) or not ok
        if self.store.failed != self._store_failed:
            if not self._store_failed:
                log.error("tenants-not-written", extra=kv(error=self.store.error))
            self._store_failed = self.store.failed

    def _save_replicas(self, now: float) -> None:
        assert self.fleet is not None
        counts, members = self.admission.counts, self.fleet.members
        present = {m.id for m in members.present}
        self.fleet.replicas_changed = not self.store.save_replicas(
            counts,
            [one for one in counts.incarnations.values() if one is not counts.own and one.id not in present],
        )
        self._replicas_saved_at = now

    def reload(self, settings: TenantFile) -> list[str]:
        """Apply new quotas, users, peers and keys. Returns the changed settings that need a restart."""
        old, self.settings = self.settings, settings
        self.admission.configure(self._quotas())
        if (old.fleet is None) != (settings.fleet is None):
            return ["fleet"]
        if settings.fleet is None or old.fleet is None or self.fleet is None:
            return []
        needs_restart = [f"fleet.{key}" for key in ("name", "listen") if
                 getattr(settings.fleet, key) != getattr(old.fleet, key)]  # fmt: skip
        self.fleet.seal = Seal(old.fleet.name, settings.fleet.keys)
        plan = settings.fleet.plan
        if plan.interval != old.fleet.plan.interval:
            needs_restart.append("fleet.interval")
        self.fleet.plan = plan
        self.fleet.members.timing = plan.timing
        for contact in self.fleet.contacts.values():
            if contact.listed_address not in plan.peers:
                contact.listed_address = None
        return needs_restart

    async def leave(self) -> None:
        """Report that this member leaves, so that the others take over its share of the quotas at once."""
        self.flush()
        if self.fleet is None or self.udp is None:
            return
        self.fleet.leaving = True
        for _ in range(_LEAVE_ROUNDS):
            self.flush()
            self.udp.send(self.fleet.tick(self._loop.time()))
            await asyncio.sleep(0.02)

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self.flush()
        if self.fleet is not None:
            self._save_replicas(self._loop.time())
        if self.udp is not None:
            self.udp.close()
            self.udp = None
        self.store.close()

    # Reports

    def report(self) -> dict[str, Any]:
        """The answer to `GET /tenants`."""
        found = self.admission.report(self._loop.time())
        found["name"] = self.name
        found["fleet"] = None if self.settings.fleet is None else self.settings.fleet.name
        found["store"] = {"failed": self.store.failed, "error": self.store.error}
        if self.udp is not None:
            found["gossip"]["socket"] = dict(self.udp.counts)
        return found

    def summary(self) -> dict[str, Any]:
        """A summary for `GET /status`."""
        found = self.admission.fleet_report(self._loop.time())
        members = found["members"]
        return {
            "tenants": len(self.admission.index_by_name), "taken": sum(self.admission.counts.total),
            "refused": sum(self.admission.refused.values()), "split": found["split"], "exact": found["exact"],
            "unjoined": found["unjoined"],
            "conflicts": found["conflicts"],
            "present": sum(one["presence"] in ("present", "suspected") for one in members),
            "known": sum(one["presence"] not in ("left", "ended") for one in members),
        }  # fmt: skip

    def metrics(self) -> dict[str, Any]:
        """The report that is exported as metrics, with the most used tenants only."""
        return self.admission.report(self._loop.time(), _MAX_EXPORTED_TENANTS)
