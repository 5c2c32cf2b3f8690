"""One member's side of the gossip: datagrams in, datagrams out, at times that it is told.

Each interval a member sends to a few addresses in turn. Each datagram says how far the sender is with every
life (`Word`), so whoever knows more answers with what is missing (`Delta`); the sender's own new counts go
along unasked. Nothing waits for an answer, nothing is lost for good with a datagram, and coming twice or
late does no harm.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from mountgauge.tenants.counts import Counts, Mark
from mountgauge.tenants.gossip.deltas import FEW_WORDS, Deltas
from mountgauge.tenants.gossip.folding import Folding
from mountgauge.tenants.gossip.membership import Membership
from mountgauge.tenants.gossip.pages import Pages
from mountgauge.tenants.gossip.state import (
    DATAGRAMS_A_ROUND,
    FULL,
    Contact,
    FoldedLifeError,
    Identity,
    OutgoingDatagrams,
    Plan,
    State,
    UdpAddress,
)
from mountgauge.tenants.members import Member
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES, Datagram, Delta, Page, RefusedDatagramError, Seal

_WORDS = 420  # bytes of a datagram for words, where deltas want the rest
_PUSHED = 3  # datagrams with own counts that one round may send to one address
_REPLIES = 3  # datagrams with deltas in answer to one


class _Echo(NamedTuple):
    """The newest datagram of the receiver, and how long ago it came."""

    run: int = 0
    seq: int = 0
    ms: int = 0


class Gossip(State):
    """One member. Call `tick` once an interval, `receive` for each datagram."""

    def __init__(
        self, me: Identity, plan: Plan, counts: Counts, seal: Seal, now: float, rng: random.Random
    ) -> None:
        super().__init__(me, plan, counts, now, rng)
        self.seal = seal
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0
        self.diverged = False  # two pasts that neither contains the other: counts are not exact
        self.phase = FULL  # of this member's recovery, told to the others
        self._seq = 0
        self._membership = Membership(self, now)
        self._deltas = Deltas(self)
        self._folding = Folding(self, now)
        self._pages = Pages(self)

    def tick(self, now: float) -> OutgoingDatagrams:
        """Once an interval."""
        self._membership.step(now)
        self._folding.step(now)
        self.diverged = self._pages.diverged(now)
        self.left_this_round = DATAGRAMS_A_ROUND
        out: OutgoingDatagrams = []
        for place in self._membership.targets(len(self.plan.peers) if self.leaving else self.plan.fanout):
            out += self._to(place, now)
        return out

    def receive(self, data: bytes, source: UdpAddress, now: float) -> OutgoingDatagrams:
        """One datagram; what is to be sent for it. What is refused is counted in `dropped`."""
        self.received += 1
        self.received_bytes += len(data)
        try:
            told = self.seal.open(data)
            contact = self._membership.contact_of(told, source, now)
        except FoldedLifeError as folded:
            self.dropped[str(folded)] += 1
            return [self._datagram(folded.contact, source, now)]
        except RefusedDatagramError as refused:
            self.dropped[str(refused)] += 1
            return []
        contact.newest, contact.phase = (told.run, told.seq, now), told.phase
        self._membership.echo(contact, told, now)
        self._pages.see(contact, told, now)
        self._deltas.join(told.deltas, now)
        for life, version, check in told.tombs:
            self._folding.hear(contact, life, Mark(version, check), now)
        if told.page is not None:
            self._pages.take(told.page)
        lacking = [word.life for word in told.words if self._deltas.hear(contact, word, now)]
        if self.me.life in lacking and len(contact.flight.get(self.me.life, ())) > 0:
            lacking.remove(self.me.life)  # it is told of what is new in each round
        place = contact.listed or source
        pages = self._pages.answer(told.want) if told.want is not None else []
        out = [self._datagram(contact, place, now, page=page) for page in pages]
        return out + self._send_deltas(contact, place, lacking, now, _REPLIES)

    def start_incarnation(self, life: int, run: int, now: float) -> None:
        """Count on under a new life: the owner has drawn it. The old one stays as it is known."""
        old = self.counts.own
        if self.anew:
            self.counts.clear()
            self.members.all.clear()
            self.contacts.clear()
            self._pages.clear()
            self.anew = False
            self.replicas_changed = True
        self.counts.reset_mine(life, self.me.name)
        self.me = Identity(self.me.name, life, 1, run)
        self.members.become(life, self.me.name, now)
        self.members.me.boot = 1
        if not old.version and old.id in self.counts.incarnations:  # nothing was ever counted under it
            del self.counts.incarnations[old.id]
            self.members.drop(old.id)
        self.new_incarnation_reason = ""
        self.sent_log.clear()

    # What its owner asks

    def coming_back(self) -> int:
        """Members that are present and, by their own word, not at full service."""
        return self._membership.coming_back()

    def earlier_life(self) -> bool:
        """Whether the others know an ended life of this member's name that this one knows only from them."""
        return self._membership.earlier_life()

    def sync_gap(self, now: float) -> str:
        """Why the counts held here may lack something that others hold; empty: they are joined."""
        return self._membership.sync_gap(now)

    def age(self, member: Member, now: float) -> float:
        """How old this member's word is, s."""
        return self._membership.age(member, now)

    # Sending

    def _to(self, place: UdpAddress, now: float) -> OutgoingDatagrams:
        """What one round sends to an address: own counts that are new there, else words alone."""
        contact = self._membership.contact_at(place)
        if contact is None:
            return [self._datagram(None, place, now)]
        life, mark = self.counts.own, contact.marks.get(self.me.life, Mark(0, 0))
        lacking = [life.id] if mark.version < life.version else []
        out = self._send_deltas(contact, place, lacking, now, _PUSHED)
        return out or [self._datagram(contact, place, now)]

    def _send_deltas(
        self, contact: Contact, place: UdpAddress, lives: list[int], now: float, most: int
    ) -> OutgoingDatagrams:
        """`most` datagrams at most with what the contact lacks of these lives."""
        return [
            self._datagram(contact, place, now, deltas, room=FEW_WORDS)
            for deltas in self._deltas.batches(contact, lives, now, most)
        ]

    def _datagram(
        self, contact: Contact | None, place: UdpAddress, now: float, deltas: list[Delta] | None = None,
        page: Page | None = None, room: int = _WORDS,
    ) -> tuple[bytes, UdpAddress]:  # fmt: skip
        """A sealed datagram to an address; `room` is what words may take of it, in bytes."""
        self._seq += 1
        self.left_this_round -= 1
        self.sent_log.add(self._seq, place, now)
        echo = self._echo(contact, now)
        tombs = self._folding.tombs(contact) if contact is not None else []
        words = [] if page is not None else self._membership.words(room, contact)
        while True:
            data = self.seal.close(Datagram(
                name=self.me.name, life=self.me.life, boot=self.me.boot, run=self.me.run, seq=self._seq,
                beat=self.members.me.beat, left=self.leaving, echo_run=echo.run, echo_seq=echo.seq,
                echo_ms=echo.ms, past=self.counts.past_id,
                past_lives=self.counts.past_lives, here=len(self.members.present),
                want=self._pages.want(contact, now), words=words, deltas=deltas or [], tombs=tombs,
                page=page, phase=self.phase,
            ))  # fmt: skip
            if len(data) <= MAX_DATAGRAM_BYTES or not words:
                break
            words = words[: len(words) * 2 // 3]
        self.sent += 1
        self.sent_bytes += len(data)
        return data, place

    @staticmethod
    def _echo(contact: Contact | None, now: float) -> _Echo:
        if contact is None:
            return _Echo()
        run, seq, at = contact.newest
        return _Echo(run, seq, max(0, round((now - at) * 1000))) if run else _Echo()
