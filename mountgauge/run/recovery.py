"""Recovery as a subsystem of a sender: checks the clock, the folder and the destinations, and reports the
phase.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from mountgauge.core.durable_time import Stamp, read_clocks
from mountgauge.core.list_lease import LeaseCheck, LeaseEnd
from mountgauge.log import kv
from mountgauge.recovery import bounds
from mountgauge.recovery.destinations import destination_states
from mountgauge.recovery.files import Folder
from mountgauge.recovery.identity import FolderState, Identity, correct_from_peers, describe_start
from mountgauge.recovery.peers import Peers
from mountgauge.recovery.phases import Observation, Phase, PhaseChange, Phases
from mountgauge.recovery.stale import PauseDetector
from mountgauge.recovery.state_file import Fact, UsableFacts
from mountgauge.run.subsystem import Subsystem
from mountgauge.snapshot import Metric
from rillspindle.interface import Remembered

if TYPE_CHECKING:
    from mountgauge.run.base import Runtime

log = logging.getLogger("mountgauge.comeback")

_FOLDER_INTERVAL_S = 1.0  # between two checks of the folder, and two writes of the facts
_REFRESH_TIMEOUT_S = 3.0  # for the list's answer after a pause
_PHASE_ORDER = list(Phase)


class RecoverySubsystem(Subsystem):
    """Drives the phases, the facts' file and the identity by the runtime's clock."""

    name = "comeback"

    def __init__(self, runtime: Runtime, peers: Peers | None = None) -> None:
        self.runtime, self.peers = runtime, peers or Peers()
        rules, sender = runtime.config.rules, runtime.sender
        now = sender.clock.now()
        self.folder = Folder(runtime.config.state)
        self.phases = Phases(now, bounds.learning_timeout(rules.ask_within, rules.balancers))
        self.pause_detector = PauseDetector(bounds.pause_threshold(0.25), _REFRESH_TIMEOUT_S, now)
        self.identity = Identity(runtime.config.name, "0" * 16, 1, False)
        self.folder_state = FolderState.FIRST
        self.restored = 0
        self._folder_checked_at = now
        self._failed = False  # the last access to the folder failed, and that is logged
        self._identity_loaded = False  # this run's identity was read from the folder and written to it
        self._emptied_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._phase_said = ""
        self._source_lease: LeaseCheck | None = None  # of the source of lists alone

    # Start

    async def start(self) -> None:
        runtime = self.runtime
        self.restored = len(runtime.journal.live)
        try:
            self._start_run()
        except OSError as error:  # each check of the folder retries
            log.error("folder-not-read", extra=kv(error=error))
            self._failed = True
        self._source_lease = runtime.sender.list_lease
        runtime.sender.list_lease = self.lease_end_reason
        runtime.sender.on_list_update = self._on_list
        self._timer = asyncio.get_running_loop().call_later(bounds.CHECK_INTERVAL_S, self._check)

    def _start_run(self) -> None:
        """Start this run from the folder's content; raises OSError if it cannot be read or written."""
        runtime = self.runtime
        had = bool(runtime.journal.live or runtime.journal.outcomes)
        stamp = read_clocks(runtime.sender.clock)
        self.identity, self.folder_state, clean = self.folder.start_run(runtime.config.name, had)
        self._identity_loaded = True
        try:
            facts = self.folder.load_facts(stamp, self.identity.id, runtime.config.known.version)
        except OSError as error:
            log.error("folder-not-read", extra=kv(error=error))
            facts = UsableFacts()
        log.info("life", extra=kv(name=self.identity.name, id=self.identity.id, life=self.identity.life,
                                  found=self.folder_state.value, restored=self.restored,
                                  why=describe_start(self.folder_state, clean)))  # fmt: skip
        for why, count in sorted(facts.dropped.items()):
            log.info("remembered-dropped", extra=kv(why=why, facts=count))
        self._apply_facts(facts, stamp)

    def _apply_facts(self, facts: UsableFacts, stamp: Stamp) -> None:
        """Apply the previous run's waits and send rate limits, which only make this run more careful."""
        sender = self.runtime.sender
        now, wall = stamp.monotonic, stamp.wall
        waits, paces = facts.newest("wait"), facts.newest("pace")
        for subject in sorted({*waits, *paces}):
            if not subject.isdecimal():
                continue
            wait = max(0.0, waits[subject].value - wall) if subject in waits else 0.0
            pace = paces[subject].value if subject in paces else float("inf")
            sender.remember(Remembered(int(subject), wait, pace))
            if wait > 0:
                sender.waits[int(subject)] = max(sender.waits.get(int(subject), 0.0), now + wait)
        if waits or paces:
            log.info("remembered", extra=kv(waits=len(waits), paces=len(paces)))

    async def serve(self) -> None:
        self._update_phase()

    # Before each first byte

    def lease_end_reason(self, dest: int) -> LeaseEnd | None:
        """Why no call to this destination may be sent now: the list's source, or a pause of this process."""
        ended = None if self._source_lease is None else self._source_lease(dest)
        if ended is not None:
            return ended
        return None if self.may_send() else LeaseEnd.PAUSED

    def may_send(self) -> bool:
        """Whether no pause blocks calls; the core asks in the last step before a call's first byte.

        False if a pause is found just now, even if everything is refreshed at once: the core's view of the
        call's endpoint is from before the refresh.
        """
        may, gap = self.pause_detector.allow_call(self.runtime.sender.clock.now())
        if gap:
            self._on_pause(gap)
        return may and not gap

    def _on_pause(self, gap: float) -> None:
        """Check again the ownership of the folder, drains that operators ordered, and the list."""
        runtime = self.runtime
        log.warning(
            "paused", extra=kv(gap_s=round(gap, 3), most_s=self.pause_detector.max_gap_s, parked="calls")
        )
        if not self._check_folder_ownership():
            return
        runtime.handover.check_others()
        if runtime.service is not None:
            runtime.service.reload_detached()
        if runtime.map.refresh_now():
            self.pause_detector.refreshed()

    def _on_list(self) -> None:
        if self.pause_detector.refreshed():
            self.runtime.sender.release()

    # Periodic checks

    def _check(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(bounds.CHECK_INTERVAL_S, self._check)
        now = self.runtime.sender.clock.now()
        was_refreshing = self.pause_detector.refreshing_since is not None
        if gap := self.pause_detector.check(now):
            self._on_pause(gap)
        if self.pause_detector.refreshing_since is None:
            if was_refreshing:
                log.warning(
                    "stale-list", extra=kv(why="no answer within the bound", bound_s=_REFRESH_TIMEOUT_S)
                )
            self.runtime.sender.release()
        if now - self._folder_checked_at >= _FOLDER_INTERVAL_S:
            self._folder_checked_at = now
            if self._check_folder_ownership():
                self._save_facts()
        self._update_phase()

    def _update_phase(self) -> None:
        runtime = self.runtime
        sender, now = runtime.sender, runtime.sender.clock.now()
        observed = Observation(
            now, runtime.accepting, sender.to_restore, sender.admission.list_received, self.peers.joined(),
            destination_states(sender.policy, now), len(sender.pending),
        )  # fmt: skip
        before = self.phases.held_up
        for change in self.phases.update(observed):
            self._log_change(change)
        for dest in sorted(self.phases.held_up - before):
            log.warning(
                "held-up", extra=kv(dest=dest, why="most calls are refused: only single trials are sent")
            )
        for dest in sorted(before - self.phases.held_up):
            log.info("held-up-over", extra=kv(dest=dest))
        self.peers.announce_phase(_PHASE_ORDER.index(self.phases.phase))
        self._correct_identity()

    def _log_change(self, change: PhaseChange) -> None:
        log.info("phase", extra=kv(of=change.before.value, to=change.after.value, why=change.why,
                                   after_s=round(change.at - self.phases.began, 2)))  # fmt: skip
        if change.after is Phase.FULL and self.phases.full_at == change.at:
            log.info("full-service", extra=kv(after_s=round(change.at - self.phases.began, 2),
                                              restored=self.restored, held_most=self.phases.held_most,
                                              held_up=len(self.phases.held_up)))  # fmt: skip

    def _correct_identity(self) -> None:
        """Correct the run number where peers' records of this name reveal a lost or an outdated folder."""
        old = self.folder_state is FolderState.KEPT and self.peers.outdated()
        known = self.identity.life if old else self.peers.last_known_run()
        identity, state = correct_from_peers(self.identity, self.folder_state, known)
        if identity != self.identity:
            self.identity, self.folder_state = identity, state
            log.error("life-corrected", extra=kv(found=state.value, life=identity.life,
                                                 why=describe_start(state, False)))  # fmt: skip
            self._write_identity()

    def _write_identity(self) -> None:
        try:
            self.folder.write_identity(self.identity)
        except OSError as error:
            log.error("folder-not-written", extra=kv(error=error))

    def _check_folder_ownership(self) -> bool:
        """Check that the folder still belongs to this process; True unless the process exits.

        An emptied folder is written anew. If another process has locked it, this one sends nothing more and
        exits at once.
        """
        runtime = self.runtime
        try:
            if not runtime.journal.is_in_place():
                if not runtime.journal.recreate():
                    log.critical("folder-taken", extra=kv(why="another process holds it: this one exits"))
                    runtime.sender.stop()
                    os._exit(3)  # at once: the other process has the messages, no answer may contradict it
                self._emptied_count += 1
                log.error("folder-emptied", extra=kv(written_anew=len(runtime.journal.live),
                                                     why="its journal was removed meanwhile"))  # fmt: skip
            if not self._identity_loaded:
                self._start_run()
            elif not self.folder.holds_identity(self.identity):
                self.folder.write_identity(self.identity)
            self._failed = False
        except OSError as error:
            if not self._failed:
                log.error("folder-not-written", extra=kv(error=error))
            self._failed = True
        return True

    def facts(self, stamp: Stamp) -> list[Fact]:
        """The facts to persist for the next start."""
        sender = self.runtime.sender
        now, wall, policy = stamp.monotonic, stamp.wall, sender.policy
        rules, origin = sender.rules, self.identity.id
        lasts = wall + bounds.fact_lifetime(
            max(message_class.deadline for message_class in rules.message_classes), rules.cold
        )
        found = [Fact("list", "", sender.version, wall, origin, wall + 86_400)] if sender.version >= 0 else []
        for dest in policy.destinations.values():
            route = dest.route
            if route.wait_until > now:
                until = round(wall + route.wait_until - now, 1)
                found.append(Fact("wait", str(dest.id), until, until - route.wait_until + now, origin, until))
            if route.limit and route.rate_limit < 0.5 * route.limit:
                found.append(Fact("pace", str(dest.id), round(route.rate_limit, 3), wall, origin, lasts))
        return found

    def _save_facts(self) -> None:
        if self.runtime.journal.slot or not self._identity_loaded:
            return  # the older process beside this one writes them
        try:
            stamp = read_clocks(self.runtime.sender.clock)
            self.folder.save_facts(self.facts(stamp), stamp, self.identity.id)
        except OSError as error:
            log.warning("not-remembered", extra=kv(error=error))

    async def drain(self) -> None:
        self._save_facts()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            if not self.runtime.accepting and self._identity_loaded:  # a requested stop
                try:
                    self.folder.mark_clean_stop(self.identity)
                except OSError as error:
                    log.error("folder-not-written", extra=kv(error=error))

    # Reports

    def report(self) -> Mapping[str, Any]:
        now = self.runtime.sender.clock.now()
        return {
            **self.phases.report(now), "life": self.identity.life, "id": self.identity.id,
            "found": self.folder_state.value, "restored": self.restored,
            "to_restore": self.runtime.sender.to_restore, "held": len(self.runtime.sender.pending),
            "pauses": self.pause_detector.pauses,
            "longest_pause_s": round(self.pause_detector.longest_gap_s, 3),
            "folder_emptied": self._emptied_count, "peers_coming_back": self.peers.members_recovering(),
        }  # fmt: skip

    def state(self) -> Mapping[str, Any]:
        found: dict[str, Any] = {"phase": self.phases.phase.value}
        if self.phases.held_up:
            found["held_up"] = ",".join(map(str, sorted(self.phases.held_up)))
        return found

    def metrics(self) -> Sequence[Metric]:
        phases = self.phases
        points: list[Metric] = [
            ("mountgauge.comeback.phase", "1", False,
             [({"mountgauge.phase": one.value}, int(one is phases.phase)) for one in Phase]),
            ("mountgauge.comeback.held_up", "{destination}", False, [({}, len(phases.held_up))]),
            ("mountgauge.comeback.pauses", "{pause}", True, [({}, self.pause_detector.pauses)]),
        ]  # fmt: skip
        if phases.full_at is not None:
            after = phases.full_at - phases.began
            points.append(("mountgauge.comeback.full_service", "s", False, [({}, after)]))
        return points
