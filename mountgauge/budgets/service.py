"""Puts the folder, the fleet's socket and the loop's timers round a member and its gate."""

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
from mountgauge.budgets.files import Votes
from mountgauge.budgets.gate import Gate
from mountgauge.budgets.member import Member, Part
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

TICK_S = 0.05  # between two looks at parts, demand and calls that wait
_GOODBYES = 3  # times that one that ends says so
_TOLD_SHARE = 0.03  # of a part by which it must have moved for the module to be told


class Budgets:
    """The core's `CallGate`. Times are of the loop's clock, s."""

    def __init__(self, file: BudgetFile, name: str, folder: Path, seal: Callable[[], Seal]) -> None:
        self.file, self.name, self._seal = file, name, seal
        self._loop = asyncio.get_running_loop()
        self.folder, self.run = folder, secrets.randbits(62) + 1
        self._arrive()
        self.gate = Gate(file.budgets, self._part, self._loop.time())
        self.waiting: Callable[[], Mapping[tuple[int, str], int]] = dict
        self.release: Callable[[], None] = lambda: None
        self.tell: Callable[[Mapping[int, float]], None] = lambda parts: None
        self.send: Callable[[OutgoingDatagrams], None] = lambda out: None
        self.refused: dict[str, int] = {}  # datagrams, by reason
        self.sent_bytes = 0
        self.busy_s = 0.0  # that asks, answers and looks at parts have taken
        self._started: set[Call] = set()  # calls with a place that is kept
        self._taken: set[Call] = set()
        self._offered: set[Call] = set()
        self._shut: dict[tuple[int, str], float] = {}  # until when no call there need ask again
        self._timer: asyncio.TimerHandle | None = None
        self._wake: asyncio.TimerHandle | None = None
        self._failed = False
        self._said: dict[str, Any] = {}
        self._told: dict[int, float] = {}

    def _arrive(self) -> None:
        """What the folder says. ConfigError where the file lags behind what this folder has seen."""
        file = self.file
        self.votes = Votes(self.folder, self.name)
        if file.lists.epoch < self.votes.epoch:
            raise ConfigError(f"fleet.epoch: {file.lists.epoch} is behind {self.votes.epoch}, seen before")
        membership = Membership(self.name, file.lists, file.lease, file.drift, self.votes.epoch)
        self.member = Member(
            self.name, self.run, membership, file.budgets, self._loop.time(), random.Random(self.run),
            self.votes.kept, self.votes.written,
        )  # fmt: skip

    def _part(self, name: str, now: float) -> tuple[Part, float, int]:
        state = self.member.states[name]
        return self.member.part(name, now), self.member.whole(state, now), self.member.membership.counted

    # The core's gate

    def admit(self, tenant: str) -> float:
        return self.gate.admit(tenant, self._loop.time())

    def give_back(self, tenant: str) -> None:
        self.gate.give_back(tenant)

    def start(self, call: Call) -> bool:
        now, dest, hop = self._loop.time(), call.hop.entry.owner, call.hop.id
        if call not in self._offered:
            self._offered.add(call)
            self.gate.offered(dest, hop, now)
        if now < self._shut.get((dest, hop), 0.0):
            return False
        wait = self.gate.start(dest, hop, now)
        if wait <= 0:
            self._started.add(call)
            return True
        self._shut[dest, hop] = now + min(wait, TICK_S)
        if wait < TICK_S and self._wake is None:
            self._wake = self._loop.call_later(wait, self._woken)
        return False

    def _woken(self) -> None:
        self._wake = None
        self._shut.clear()
        self.release()

    def take(self, call: Call) -> bool:
        taken = self.gate.take(call.hop.entry.owner, call.hop.id, self._loop.time())
        if taken:
            self._started.discard(call)
            self._taken.add(call)
        return taken

    def until(self, call: Call) -> float:
        """Until when the place that the call has just taken may be used."""
        return self.gate.until(call.hop.entry.owner, call.hop.id, self._loop.time())

    def finished(self, call: Call, answered: bool) -> None:
        self._offered.discard(call)
        dest, hop = call.hop.entry.owner, call.hop.id
        if call in self._started:
            self._started.discard(call)
            self.gate.leave(dest, hop)
        elif call in self._taken:
            self._taken.discard(call)
            self.gate.ended(dest, hop, self._loop.time(), answered)

    # Running

    def begin(self) -> None:
        """Before clients are let in, with the fleet's socket bound: an earlier process that wrote the file
        while this one started has gone by now. OSError where the folder cannot be written.
        """
        self._arrive()
        self.votes.begin(self.member.membership.adopted)
        log.info("budgets", extra=kv(budgets=len(self.file.budgets), epoch=self.file.lists.epoch,
                                     members=len(self.file.lists.at(self.file.lists.epoch)),
                                     votes="kept" if self.votes.kept else "silent", why=self.votes.why or "-",
                                     run=f"{self.member.run:016x}"))  # fmt: skip
        self._tick()

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_S, self._tick)
        began, now = time.perf_counter(), self._loop.time()
        uses = self.gate.uses(self.waiting(), now)
        epoch = self.member.membership.adopted
        asks = self.member.tick(now, uses)
        self.gate.settle(now)
        if self.member.membership.adopted != epoch:
            log.info("budget-epoch", extra=kv(epoch=self.member.membership.adopted))
            self._write(lambda: self.votes.adopted(self.member.membership.adopted))
        self._send(asks)
        if self.votes.full:
            self._write(lambda: self.votes.rewrite(self.member.records(now)))
        self._tell(now)
        self._look(now)
        self.busy_s += time.perf_counter() - began
        self._shut.clear()
        self.release()

    def _send(self, messages: Iterable[tuple[str, Ask | Answer]]) -> None:
        places, seal = self.member.membership.places(), self._seal()
        out: OutgoingDatagrams = []
        for target, message in messages:
            if target == self.name:
                self._heard(message, None)
            elif target in places:
                out += [(data, places[target]) for data in wire.close(seal, message)]
        self.sent_bytes += sum(len(data) for data, _ in out)
        self.send(out)

    def received(self, data: bytes, source: UdpAddress) -> OutgoingDatagrams:
        """A datagram; the answer goes back to where it came from."""
        began = time.perf_counter()
        try:
            return self._heard(wire.open_(self._seal(), data), source)
        except RefusedDatagramError as error:
            self.refused[str(error)] = self.refused.get(str(error), 0) + 1
            return []
        finally:
            self.busy_s += time.perf_counter() - began

    def _heard(self, message: Ask | Answer, source: UdpAddress | None) -> OutgoingDatagrams:
        now = self._loop.time()
        self.gate.settle(now)  # up to here by the part that held
        if isinstance(message, Answer):
            self.member.hear_answer(message, now)
        else:
            answer, written = self.member.hear_ask(message, now)
            if not self._write(lambda: self.votes.grant(written)):
                return []  # what could not be written must not be heard of
            if source is None:
                self.member.hear_answer(answer, now)
        self.gate.settle(now)
        if isinstance(message, Ask) and source is not None:
            out = [(sealed, source) for sealed in wire.close(self._seal(), answer)]
            self.sent_bytes += sum(len(sealed) for sealed, _ in out)
            return out
        return []

    def _write(self, what: Callable[[], None]) -> bool:
        try:
            what()
        except OSError as error:
            if not self._failed:
                log.error("budgets-not-written", extra=kv(error=error, why="no promises until it can be"))
            self._failed = True
            return False
        self._failed = False
        return True

    def _tell(self, now: float) -> None:
        """The module paces by its part, as by a listed limit; it hears of moves, not of each slice."""
        parts: dict[int, float] = {}
        for name, book in self.gate.books.items():
            of = book.budget.of
            if book.budget.kind is Kind.RATE and of.dest is not None and of.endpoint is None:
                part = self.member.part(name, now)
                if part.leased or of.dest in self._told:  # until then what is listed holds for the pace
                    most = max(0.01, part.whole)
                    parts[of.dest] = min(most, parts.get(of.dest, most))
        moved = {
            dest for dest, part in parts.items()
            if abs(part - self._told.get(dest, -1.0)) > _TOLD_SHARE * max(part, self._told.get(dest, 0.0))
        }  # fmt: skip
        if moved or set(parts) != set(self._told):
            self._told = {
                dest: part if dest in moved else self._told.get(dest, part) for dest, part in parts.items()
            }
            self.tell(self._told)

    def _look(self, now: float) -> None:
        """Say once what an operator must know."""
        seen: dict[str, Any] = {f"refused-by-{who}": why for who, why in self.member.refused.items()}
        for name, state in self.member.states.items():
            if (whole := self.member.whole(state, now)) != state.budget.whole:
                seen[f"whole-{name}"] = whole
        for key in seen.keys() - self._said.keys():
            if key.startswith("refused-by-"):
                log.warning("budget-refused", extra=kv(by=key.removeprefix("refused-by-"), why=seen[key]))
            else:
                log.warning("budget-wholes-differ", extra=kv(budget=key.removeprefix("whole-"),
                                                             binds=seen[key]))  # fmt: skip
        self._said = seen

    def reload(self, file: BudgetFile) -> None:
        """SIGHUP: members and budgets as the file has them now."""
        now = self._loop.time()
        refused = self.member.learn(file.lists, file.budgets, now)
        if refused:
            log.error("budget-members-refused", extra=kv(why=refused, kept="the old members"))
        self.file = file
        self.gate.learn(file.budgets, now)

    async def leave(self) -> None:
        """Say goodbye: what is not in use goes back at once."""
        for _ in range(_GOODBYES):
            now = self._loop.time()
            self._send(self.member.goodbye(now, self.gate.uses({}, now)))
            self.gate.settle(now)
            await asyncio.sleep(0.02)

    def close(self) -> None:
        for timer in (self._timer, self._wake):
            if timer is not None:
                timer.cancel()
        self.votes.close()

    # What others are told

    def report(self) -> dict[str, Any]:
        """All of it: what `GET /budgets` answers."""
        now = self._loop.time()
        found = self.member.report(now)
        used = self.gate.report(now)
        for name, one in found["budgets"].items():
            one |= used.get(name, {})
        found |= {"name": self.name, "votes": self.votes.why or "kept"}
        return found | {"datagrams_refused": dict(self.refused), "sent_bytes": self.sent_bytes,
                        "busy_s": round(self.busy_s, 4)}  # fmt: skip
