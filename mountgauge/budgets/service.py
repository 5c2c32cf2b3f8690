"""Connects a member and its gate with the state folder, the fleet's socket and the event loop's timers."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from mountgauge.budgets import wire
from mountgauge.budgets.files import GrantFile
from mountgauge.budgets.gate import Gate
from mountgauge.budgets.member import Member, Share
from mountgauge.budgets.membership import Membership
from mountgauge.budgets.messages import Answer, Ask
from mountgauge.budgets.settings import BudgetFile
from mountgauge.budgets.shares import Kind
from mountgauge.core.config import ConfigError
from mountgauge.core.ports import Call
from mountgauge.log import kv
from mountgauge.tenants.gossip import OutgoingDatagrams, UdpAddress
from mountgauge.tenants.wire import RefusedDatagramError, Seal

log = logging.getLogger("mountgauge.budgets")

TICK_S = 0.05  # interval of the update of shares and demand, and of the check of calls that wait
_GOODBYE_COUNT = 3  # times that a process that stops sends its last asks, since datagrams may be lost
_REPORTED_CHANGE_SHARE = 0.03  # a share must change by this fraction to be reported to the module


class Budgets:
    """The core's `CallGate`. Times are of the loop's clock, s."""

    def __init__(self, file: BudgetFile, name: str, folder: Path, seal: Callable[[], Seal]) -> None:
        self.file, self.name, self._seal = file, name, seal
        self._loop = asyncio.get_running_loop()
        self.folder, self.run = folder, secrets.randbits(62) + 1
        self._read_folder()
        self.gate = Gate(file.budgets, self._share, self._loop.time())
        self.waiting: Callable[[], Mapping[tuple[int, str], int]] = dict
        self.release: Callable[[], None] = lambda: None
        self.on_shares_changed: Callable[[Mapping[int, float]], None] = lambda shares: None
        self.send: Callable[[OutgoingDatagrams], None] = lambda out: None
        self.refused: dict[str, int] = {}  # datagrams, by reason
        self.sent_bytes = 0
        self.busy_s = 0.0  # processing time of asks, answers and updates
        self._started: set[Call] = set()  # calls with a pending slot
        self._acquired: set[Call] = set()  # calls that use a slot
        self._counted_demand: set[Call] = set()  # calls whose demand is counted
        self._wait_until: dict[tuple[int, str], float] = {}  # by destination and endpoint: no slot before
        self._timer: asyncio.TimerHandle | None = None
        self._wake_timer: asyncio.TimerHandle | None = None
        self._write_failed = False
        self._logged: dict[str, Any] = {}
        self._reported_shares: dict[int, float] = {}

    def _read_folder(self) -> None:
        """Read the state folder. ConfigError where the file's epoch is older than one that the folder has."""
        file = self.file
        self.grant_file = GrantFile(self.folder, self.name)
        if file.lists.epoch < self.grant_file.epoch:
            raise ConfigError(
                f"fleet.epoch: {file.lists.epoch} is behind {self.grant_file.epoch}, seen before"
            )
        membership = Membership(self.name, file.lists, file.lease, file.drift, self.grant_file.epoch)
        self.member = Member(
            self.name, self.run, membership, file.budgets, self._loop.time(), random.Random(self.run),
            self.grant_file.kept, self.grant_file.written,
        )  # fmt: skip

    def _share(self, name: str, now: float) -> tuple[Share, float, int]:
        state = self.member.states[name]
        return (
            self.member.share(name, now),
            self.member.total(state, now),
            self.member.membership.reserve_divisor,
        )

    # The core's gate

    def admit(self, tenant: str) -> float:
        """0: a message of the tenant may be accepted. Else the seconds until a retry."""
        return self.gate.admit(tenant, self._loop.time())

    def refund(self, tenant: str) -> None:
        """Undo `admit` for a message that was not accepted."""
        self.gate.refund(tenant)

    def start(self, call: Call) -> bool:
        """Whether the call may choose a connection now; else it is checked again at `release`."""
        now, dest, hop = self._loop.time(), call.hop.entry.owner, call.hop.id
        if call not in self._counted_demand:
            self._counted_demand.add(call)
            self.gate.record_demand(dest, hop, now)
        if now < self._wait_until.get((dest, hop), 0.0):
            return False
        wait = self.gate.start(dest, hop, now)
        if wait <= 0:
            self._started.add(call)
            return True
        self._wait_until[dest, hop] = now + min(wait, TICK_S)
        if wait < TICK_S and self._wake_timer is None:
            self._wake_timer = self._loop.call_later(wait, self._on_wake)
        return False

    def _on_wake(self) -> None:
        self._wake_timer = None
        self._wait_until.clear()
        self.release()

    def acquire(self, call: Call) -> bool:
        """Whether the call has its slots, in the last step before its first byte."""
        acquired = self.gate.acquire(call.hop.entry.owner, call.hop.id, self._loop.time())
        if acquired:
            self._started.discard(call)
            self._acquired.add(call)
        return acquired

    def usable_until(self, call: Call) -> float:
        """Until when the slot that the call has just acquired may be used."""
        return self.gate.usable_until(call.hop.entry.owner, call.hop.id, self._loop.time())

    def finished(self, call: Call, answered: bool) -> None:
        """The call is finished, whether it was sent or not."""
        self._counted_demand.discard(call)
        dest, hop = call.hop.entry.owner, call.hop.id
        if call in self._started:
            self._started.discard(call)
            self.gate.cancel(dest, hop)
        elif call in self._acquired:
            self._acquired.discard(call)
            self.gate.finish(dest, hop, self._loop.time(), answered)

    # Running

    def begin(self) -> None:
        """Start before clients are accepted, with the fleet's socket bound: a previous process that wrote the
        file while this one started has ended by then. OSError where the folder cannot be written.
        """
        self._read_folder()
        self.grant_file.begin(self.member.membership.adopted)
        log.info("budgets", extra=kv(budgets=len(self.file.budgets), epoch=self.file.lists.epoch,
                                     members=len(self.file.lists.at(self.file.lists.epoch)),
                                     votes="kept" if self.grant_file.kept else "silent",
                                     why=self.grant_file.why or "-",
                                     run=f"{self.member.run:016x}"))  # fmt: skip
        self._tick()

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_S, self._tick)
        began, now = time.perf_counter(), self._loop.time()
        uses = self.gate.usage(self.waiting(), now)
        epoch = self.member.membership.adopted
        asks = self.member.tick(now, uses)
        self.gate.refresh(now)
        if self.member.membership.adopted != epoch:
            log.info("budget-epoch", extra=kv(epoch=self.member.membership.adopted))
        self._save_epoch()
        self._send(asks)
        if self.grant_file.full:
            self._write(lambda: self.grant_file.rewrite(self.member.records(now)))
        self._report_shares(now)
        self._log_conflicts(now)
        self.busy_s += time.perf_counter() - began
        self._wait_until.clear()
        self.release()

    def _send(self, messages: Iterable[tuple[str, Ask | Answer]]) -> None:
        places, seal = self.member.membership.places(), self._seal()
        out: OutgoingDatagrams = []
        for target, message in messages:
            if target == self.name:
                self._apply(message, None)
            elif target in places:
                out += [(data, places[target]) for data in wire.close(seal, message)]
        self.sent_bytes += sum(len(data) for data, _ in out)
        self.send(out)

    def received(self, data: bytes, source: UdpAddress) -> OutgoingDatagrams:
        """Apply a datagram; returns the answer, addressed to its source."""
        began = time.perf_counter()
        try:
            return self._apply(wire.open_(self._seal(), data), source)
        except RefusedDatagramError as error:
            self.refused[str(error)] = self.refused.get(str(error), 0) + 1
            return []
        finally:
            self.busy_s += time.perf_counter() - began

    def _apply(self, message: Ask | Answer, source: UdpAddress | None) -> OutgoingDatagrams:
        now = self._loop.time()
        self.gate.refresh(now)  # the time until now counts by the previous share
        if isinstance(message, Answer):
            self.member.receive_answer(message, now)
        else:
            answer, written = self.member.receive_ask(message, now)
            if not (self._save_epoch() and self._write(lambda: self.grant_file.grant(written))):
                return []  # a grant that is not on disk, or whose epoch is not, must not be answered
            if source is None:
                self.member.receive_answer(answer, now)
        self.gate.refresh(now)
        if isinstance(message, Ask) and source is not None:
            out = [(sealed, source) for sealed in wire.close(self._seal(), answer)]
            self.sent_bytes += sum(len(sealed) for sealed, _ in out)
            return out
        return []

    def _save_epoch(self) -> bool:
        """Write the adopted epoch unless it is on disk; returns whether it is."""
        adopted = self.member.membership.adopted
        return adopted <= self.grant_file.epoch or self._write(lambda: self.grant_file.adopted(adopted))

    def _write(self, write: Callable[[], None]) -> bool:
        try:
            write()
        except OSError as error:
            if not self._write_failed:
                log.error(
                    "budgets-not-written",
                    extra=kv(error=error, why="no grants until the file can be written"),
                )
            self._write_failed = True
            return False
        self._write_failed = False
        return True

    def _report_shares(self, now: float) -> None:
        """Report the shares of rates by destination to the module, which limits its send rate by them as by
        a listed limit. Small changes are not reported.
        """
        shares: dict[int, float] = {}
        for name, account in self.gate.accounts.items():
            scope = account.budget.scope
            if account.budget.kind is Kind.RATE and scope.dest is not None and scope.endpoint is None:
                share = self.member.share(name, now)
                if share.leased or scope.dest in self._reported_shares:  # until then the listed limit applies
                    limit = max(0.01, share.total)
                    shares[scope.dest] = min(limit, shares.get(scope.dest, limit))
        changed = {
            dest for dest, share in shares.items()
            if abs(share - self._reported_shares.get(dest, -1.0))
            > _REPORTED_CHANGE_SHARE * max(share, self._reported_shares.get(dest, 0.0))
        }  # fmt: skip
        if changed or set(shares) != set(self._reported_shares):
            self._reported_shares = {
                dest: share if dest in changed else self._reported_shares.get(dest, share)
                for dest, share in shares.items()
            }
            self.on_shares_changed(self._reported_shares)

    def _log_conflicts(self, now: float) -> None:
        """Log each conflict with another member once: refusals, and totals that differ from this file's."""
        conflicts: dict[str, Any] = {
            f"refused-by-{voter}": why for voter, why in self.member.refusals.items()
        }
        for name, state in self.member.states.items():
            if (total := self.member.total(state, now)) != state.budget.total:
                conflicts[f"whole-{name}"] = total
        for key in conflicts.keys() - self._logged.keys():
            if key.startswith("refused-by-"):
                log.warning(
                    "budget-refused", extra=kv(by=key.removeprefix("refused-by-"), why=conflicts[key])
                )
            else:
                log.warning("budget-wholes-differ", extra=kv(budget=key.removeprefix("whole-"),
                                                             binds=conflicts[key]))  # fmt: skip
        self._logged = conflicts

    def reload(self, file: BudgetFile) -> None:
        """SIGHUP: apply the members and budgets of the current file."""
        now = self._loop.time()
        refused = self.member.reload(file.lists, file.budgets, now)
        if refused:
            log.error("budget-members-refused", extra=kv(why=refused, kept="the old members"))
        self.file = file
        self.gate.reload(file.budgets, now)

    async def leave(self) -> None:
        """Send the last asks, which return the slices that are not in use."""
        for _ in range(_GOODBYE_COUNT):
            now = self._loop.time()
            self._send(self.member.goodbye(now, self.gate.usage({}, now)))
            self.gate.refresh(now)
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """Cancel the timers and close the file of grants."""
        for timer in (self._timer, self._wake_timer):
            if timer is not None:
                timer.cancel()
        self.grant_file.close()

    # Status

    def report(self) -> dict[str, Any]:
        """The status report that `GET /budgets` returns."""
        now = self._loop.time()
        found = self.member.report(now)
        used = self.gate.report(now)
        for name, budget in found["budgets"].items():
            budget |= used.get(name, {})
        found |= {"name": self.name, "votes": self.grant_file.why or "kept"}
        return found | {"datagrams_refused": dict(self.refused), "sent_bytes": self.sent_bytes,
                        "busy_s": round(self.busy_s, 4)}  # fmt: skip
