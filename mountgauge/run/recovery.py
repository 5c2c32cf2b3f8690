"""Recovery as a subsystem of a sender: looks at the clock, the folder and the destinations, and says what
is so.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from mountgauge.core.durable_time import Stamp, read
from mountgauge.core.list_lease import LeaseCheck, LeaseEnd
from mountgauge.log import kv
from mountgauge.recovery import bounds
from mountgauge.recovery import identity as who
from mountgauge.recovery.destinations import destination_states
from mountgauge.recovery.files import Folder
from mountgauge.recovery.identity import Found
from mountgauge.recovery.peers import Peers
from mountgauge.recovery.phases import Change, Phase, Phases, Seen
from mountgauge.recovery.stale import Pulse
from mountgauge.recovery.state_file import Fact, Judged
from mountgauge.run.subsystem import Subsystem
from mountgauge.snapshot import Measured
from rillspindle.interface import Remembered

if TYPE_CHECKING:
    from mountgauge.run.base import Runtime

log = logging.getLogger("mountgauge.comeback")

_FOLDER_EVERY = 1.0  # s between two looks at the folder, and two writes of what is to be remembered
_LOOK_BOUND = 3.0  # s for the list's answer after a pause
_ORDER = list(Phase)


class RecoverySubsystem(Subsystem):
    """Drives the phases, the state file and the identity by the runtime's clock."""

    name = "comeback"

    def __init__(self, runtime: Runtime, peers: Peers | None = None) -> None:
        self.runtime, self.peers = runtime, peers or Peers()
        rules, sender = runtime.config.rules, runtime.sender
        now = sender.clock.now()
        self.folder = Folder(runtime.config.state)
        self.phases = Phases(now, bounds.learning(rules.ask_within, rules.balancers))
        self.pulse = Pulse(bounds.paused(0.25), _LOOK_BOUND, now)
        self.identity = who.Identity(runtime.config.name, "0" * 16, 1, False)
        self.found = Found.FIRST
        self.restored = 0
        self._folder_at = now
        self._failed = False
        self._arrived = False  # the folder says which life this is
        self._emptied = 0
        self._timer: asyncio.TimerHandle | None = None
        self._phase_said = ""
        self._source_lease: LeaseCheck | None = None  # of the source of lists alone

    # Start

    async def start(self) -> None:
        runtime = self.runtime
        self.restored = len(runtime.journal.live)
        try:
            self._arrive()
        except OSError as error:  # it is tried again at each look
            log.error("folder-not-read", extra=kv(error=error))
            self._failed = True
        self._source_lease = runtime.sender.list_lease
        runtime.sender.list_lease = self.list_ended
        runtime.sender.on_list = self._list_came
        self._timer = asyncio.get_running_loop().call_later(bounds.PULSE_S, self._look)

    def _arrive(self) -> None:
        """Begin this life by what the folder says; OSError where it cannot be read or written."""
        runtime = self.runtime
        had = bool(runtime.journal.live or runtime.journal.ends)
        stamp = read(runtime.sender.clock)
        self.identity, self.found, clean = self.folder.arrive(runtime.config.name, had)
        self._arrived = True
        try:
            remembered = self.folder.remembered(stamp, self.identity.id, runtime.config.known.version)
        except OSError as error:
            log.error("folder-not-read", extra=kv(error=error))
            remembered = Judged()
        log.info("life", extra=kv(name=self.identity.name, id=self.identity.id, life=self.identity.life,
                                  found=self.found.value, restored=self.restored,
                                  why=who.careful(self.found, clean)))  # fmt: skip
        for why, count in sorted(remembered.dropped.items()):
            log.info("remembered-dropped", extra=kv(why=why, facts=count))
        self._heed(remembered, stamp)

    def _heed(self, remembered: Judged, stamp: Stamp) -> None:
        """What an earlier life knew makes this one more careful, never bolder."""
        sender = self.runtime.sender
        now, wall = stamp.monotonic, stamp.wall
        waits, paces = remembered.of("wait"), remembered.of("pace")
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
        self._see()

    # Before each first byte

    def list_ended(self, dest: int) -> LeaseEnd | None:
        """Why no call to this destination may go by the list now: of its source, or of a pause."""
        ended = None if self._source_lease is None else self._source_lease(dest)
        if ended is not None:
            return ended
        return None if self.fresh() else LeaseEnd.PAUSED

    def fresh(self) -> bool:
        """The core asks in the last step before a call's first byte. Not where a pause is found just now,
        even if all is looked at here: what the core has seen of the call's endpoint is from before the look.
        """
        may, gap = self.pulse.ask(self.runtime.sender.clock.now())
        if gap:
            self._paused(gap)
        return may and not gap

    def _paused(self, gap: float) -> None:
        """List, drains that operators ordered, and the right to the folder are looked at anew."""
        runtime = self.runtime
        log.warning("paused", extra=kv(gap_s=round(gap, 3), most_s=self.pulse.most, parked="calls"))
        if not self._own_folder():
            return
        runtime.handover.look()
        if runtime.service is not None:
            runtime.service.reload_detached()
        if runtime.map.look_now():
            self.pulse.looked()

    def _list_came(self) -> None:
        if self.pulse.looked():
            self.runtime.sender.release()

    # Now and then

    def _look(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(bounds.PULSE_S, self._look)
        now = self.runtime.sender.clock.now()
        was_looking = self.pulse.looking is not None
        if gap := self.pulse.beat(now):
            self._paused(gap)
        if self.pulse.looking is None:
            if was_looking:
                log.warning("stale-list", extra=kv(why="no answer within the bound", bound_s=_LOOK_BOUND))
            self.runtime.sender.release()
        if now - self._folder_at >= _FOLDER_EVERY:
            self._folder_at = now
            if self._own_folder():
                self._remember()
        self._see()

    def _see(self) -> None:
        runtime = self.runtime
        sender, now = runtime.sender, runtime.sender.clock.now()
        seen = Seen(
            now, runtime.taking, sender.to_restore, sender.admission.list_told, self.peers.joined(),
            destination_states(sender.policy, now), len(sender.held),
        )  # fmt: skip
        before = self.phases.held_up
        for change in self.phases.see(seen):
            self._tell(change)
        for dest in sorted(self.phases.held_up - before):
            log.warning("held-up", extra=kv(dest=dest, why="most calls are refused; down to single trials"))
        for dest in sorted(before - self.phases.held_up):
            log.info("held-up-over", extra=kv(dest=dest))
        self.peers.say(_ORDER.index(self.phases.phase))
        self._peers_life()

    def _tell(self, change: Change) -> None:
        log.info("phase", extra=kv(of=change.before.value, to=change.after.value, why=change.why,
                                   after_s=round(change.at - self.phases.began, 2)))  # fmt: skip
        if change.after is Phase.FULL and self.phases.full_at == change.at:
            log.info("full-service", extra=kv(after_s=round(change.at - self.phases.began, 2),
                                              restored=self.restored, held_most=self.phases.held_most,
                                              held_up=len(self.phases.held_up)))  # fmt: skip

    def _peers_life(self) -> None:
        """What peers remember of this name shows a folder that was lost or is an old copy."""
        old = self.found is Found.KEPT and self.peers.outdated()
        known = self.identity.life if old else self.peers.earlier_lives()
        identity, found = who.peers_say(self.identity, self.found, known)
        if identity != self.identity:
            self.identity, self.found = identity, found
            log.error("life-corrected", extra=kv(found=found.value, life=identity.life,
                                                 why=who.careful(found, False)))  # fmt: skip
            self._say()

    def _say(self) -> None:
        try:
            self.folder.say(self.identity)
        except OSError as error:
            log.error("folder-not-written", extra=kv(error=error))

    def _own_folder(self) -> bool:
        """Whether the folder is this process's still. One that was emptied is written anew; one that
        another process holds is not this one's any more: it sends nothing, and ends.
        """
        runtime = self.runtime
        try:
            if not runtime.journal.standing():
                if not runtime.journal.write_anew():
                    log.critical("folder-taken", extra=kv(why="another process holds it: this one ends"))
                    runtime.sender.stop()
                    os._exit(3)  # at once: what it held is the other's, and its answers must not contradict
                self._emptied += 1
                log.error("folder-emptied", extra=kv(written_anew=len(runtime.journal.live),
                                                     why="its journal was gone while this ran"))  # fmt: skip
            if not self._arrived:
                self._arrive()
            elif not self.folder.stands(self.identity):
                self.folder.say(self.identity)
            self._failed = False
        except OSError as error:
            if not self._failed:
                log.error("folder-not-written", extra=kv(error=error))
            self._failed = True
        return True

    def facts(self, stamp: Stamp) -> list[Fact]:
        """What is worth knowing at the next start."""
        sender = self.runtime.sender
        now, wall, policy = stamp.monotonic, stamp.wall, sender.policy
        rules, origin = sender.rules, self.identity.id
        lasts = wall + bounds.remembered(max(grade.deadline for grade in rules.grades), rules.cold)
        found = [Fact("list", "", sender.version, wall, origin, wall + 86_400)] if sender.version >= 0 else []
        for dest in policy.dests.values():
            route = dest.route
            if route.wait_until > now:
                until = round(wall + route.wait_until - now, 1)
                found.append(Fact("wait", str(dest.id), until, until - route.wait_until + now, origin, until))
            if route.limit and route.pace < 0.5 * route.limit:
                found.append(Fact("pace", str(dest.id), round(route.pace, 3), wall, origin, lasts))
        return found

    def _remember(self) -> None:
        if self.runtime.journal.slot or not self._arrived:
            return  # the older process beside this one writes it
        try:
            stamp = read(self.runtime.sender.clock)
            self.folder.remember(self.facts(stamp), stamp, self.identity.id)
        except OSError as error:
            log.warning("not-remembered", extra=kv(error=error))

    async def drain(self) -> None:
        self._remember()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            if not self.runtime.taking and self._arrived:  # asked to end
                try:
                    self.folder.ended(self.identity)
                except OSError as error:
                    log.error("folder-not-written", extra=kv(error=error))

    # What others are told

    def report(self) -> Mapping[str, Any]:
        now = self.runtime.sender.clock.now()
        return {
            **self.phases.report(now), "life": self.identity.life, "id": self.identity.id,
            "found": self.found.value, "restored": self.restored,
            "to_restore": self.runtime.sender.to_restore, "held": len(self.runtime.sender.held),
            "pauses": self.pulse.pauses, "longest_pause_s": round(self.pulse.longest, 3),
            "folder_emptied": self._emptied, "peers_coming_back": self.peers.back(),
        }  # fmt: skip

    def state(self) -> Mapping[str, Any]:
        found: dict[str, Any] = {"phase": self.phases.phase.value}
        if self.phases.held_up:
            found["held_up"] = ",".join(map(str, sorted(self.phases.held_up)))
        return found

    def metrics(self) -> Sequence[Measured]:
        phases = self.phases
        points: list[Measured] = [
            ("mountgauge.comeback.phase", "1", False,
             [({"mountgauge.phase": one.value}, int(one is phases.phase)) for one in Phase]),
            ("mountgauge.comeback.held_up", "{destination}", False, [({}, len(phases.held_up))]),
            ("mountgauge.comeback.pauses", "{pause}", True, [({}, self.pulse.pauses)]),
        ]  # fmt: skip
        if phases.full_at is not None:
            after = phases.full_at - phases.began
            points.append(("mountgauge.comeback.full_service", "s", False, [({}, after)]))
        return points
