"""One member's side of the gossip: processes datagrams and returns those to send, at times that it is given.

Each interval a member sends to a few addresses in turn. Each datagram carries digests of what its sender
holds (`MemberDigest`), and a receiver that holds more answers with the missing changes (`Delta`); the
sender's own new counts are pushed without a request. Nothing waits for an answer. A lost datagram loses
nothing permanently, and a duplicate or late one does no harm.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from mountgauge.tenants.counts import Counts, Mark
from mountgauge.tenants.gossip.deltas import DIGEST_BYTES_WITH_DELTAS, Deltas
from mountgauge.tenants.gossip.folding import Folding
from mountgauge.tenants.gossip.membership import Membership
from mountgauge.tenants.gossip.pages import Pages
from mountgauge.tenants.gossip.state import (
    FULL,
    MAX_DATAGRAMS_PER_ROUND,
    Contact,
    FoldedIncarnationError,
    Identity,
    OutgoingDatagrams,
    Plan,
    State,
    UdpAddress,
)
from mountgauge.tenants.members import Member
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES, Datagram, Delta, Page, RefusedDatagramError, Seal

_DIGEST_BYTES = 420  # of a datagram without deltas
_MAX_PUSH_DATAGRAMS = 3  # with own counts, to one address in one round
_MAX_REPLY_DATAGRAMS = 3  # with deltas, in answer to one datagram


class _Echo(NamedTuple):
    """The newest datagram from the receiver, and how long ago it was received."""

    run: int = 0
    seq: int = 0
    ms: int = 0


class Gossip(State):
    """One member. Call `tick` once an interval and `receive` for each datagram.

    When `new_incarnation_reason` is set, call `start_incarnation`.
    """

    def __init__(
        self, me: Identity, plan: Plan, counts: Counts, seal: Seal, now: float, rng: random.Random
    ) -> None:
        super().__init__(me, plan, counts, now, rng)
        self.seal = seal
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0
        self.diverged = False  # two pasts of which neither contains the other: counts are not exact
        self.phase = FULL  # of this member's recovery, reported to the others
        self._seq = 0
        self._membership = Membership(self, now)
        self._deltas = Deltas(self)
        self._folding = Folding(self, now)
        self._pages = Pages(self)

    def tick(self, now: float) -> OutgoingDatagrams:
        """Run one round. Returns the datagrams to send."""
        self._membership.step(now)
        self._folding.step(now)
        self.diverged = self._pages.diverged(now)
        self.datagram_allowance = MAX_DATAGRAMS_PER_ROUND
        out: OutgoingDatagrams = []
        for address in self._membership.targets(len(self.plan.peers) if self.leaving else self.plan.fanout):
            out += self._round_to(address, now)
        return out

    def receive(self, data: bytes, source: UdpAddress, now: float) -> OutgoingDatagrams:
        """Process one datagram. Returns the datagrams to send; one that is refused counts in `dropped`."""
        self.received += 1
        self.received_bytes += len(data)
        try:
            datagram = self.seal.decode(data)
            contact = self._membership.contact_of(datagram, source, now)
        except FoldedIncarnationError as folded:
            self.dropped[str(folded)] += 1
            return [self._datagram(folded.contact, source, now)]
        except RefusedDatagramError as refused:
            self.dropped[str(refused)] += 1
            return []
        contact.last_received, contact.phase = (datagram.run, datagram.seq, now), datagram.phase
        self._membership.process_echo(contact, datagram, now)
        self._pages.observe(contact, datagram, now)
        self._deltas.join(datagram.deltas, now)
        for incarnation, version, check in datagram.tombs:
            self._folding.observe(contact, incarnation, Mark(version, check), now)
        if datagram.page is not None:
            self._pages.receive(datagram.page)
        lacking = [digest.life for digest in datagram.words if self._deltas.observe(contact, digest, now)]
        if self.me.incarnation in lacking and len(contact.in_flight.get(self.me.incarnation, ())) > 0:
            lacking.remove(self.me.incarnation)  # each round pushes the own new counts
        address = contact.listed_address or source
        pages = self._pages.answer(datagram.want) if datagram.want is not None else []
        out = [self._datagram(contact, address, now, page=page) for page in pages]
        return out + self._send_deltas(contact, address, lacking, now, _MAX_REPLY_DATAGRAMS)

    def start_incarnation(self, incarnation: int, run: int, now: float) -> None:
        """Continue under a new incarnation, whose identifiers the owner has drawn; the old one is kept."""
        old = self.counts.own
        if self.reset_on_new_incarnation:
            self.counts.clear()
            self.members.all.clear()
            self.contacts.clear()
            self._pages.clear()
            self.reset_on_new_incarnation = False
            self.replicas_changed = True
        self.counts.set_own(incarnation, self.me.name)
        self.me = Identity(self.me.name, incarnation, 1, run)
        self.members.change_incarnation(incarnation, self.me.name, now)
        self.members.me.boot = 1
        if not old.version and old.id in self.counts.incarnations:  # nothing was ever counted under it
            del self.counts.incarnations[old.id]
            self.members.remove(old.id)
        self.new_incarnation_reason = ""
        self.sent_log.clear()

    # Queries of the owner

    def recovering_members(self) -> int:
        """The number of other present members that report a phase before full service."""
        return self._membership.recovering_members()

    def has_previous_incarnation(self) -> bool:
        """Whether an incarnation of this member's name that is not present any more is known."""
        return self._membership.has_previous_incarnation()

    def sync_gap(self, now: float) -> str:
        """Why the counts held here may lack some that others hold; empty if they lack none."""
        return self._membership.sync_gap(now)

    def age(self, member: Member, now: float) -> float:
        """The age of this member's report, s."""
        return self._membership.age(member, now)

    # Sending

    def _round_to(self, address: UdpAddress, now: float) -> OutgoingDatagrams:
        """The datagrams of one round to an address: own counts that are new there, or digests alone."""
        contact = self._membership.contact_at(address)
        if contact is None:
            return [self._datagram(None, address, now)]
        own, mark = self.counts.own, contact.marks.get(self.me.incarnation, Mark(0, 0))
        lacking = [own.id] if mark.version < own.version else []
        out = self._send_deltas(contact, address, lacking, now, _MAX_PUSH_DATAGRAMS)
        return out or [self._datagram(contact, address, now)]

    def _send_deltas(
        self, contact: Contact, address: UdpAddress, incarnations: list[int], now: float, max_datagrams: int
    ) -> OutgoingDatagrams:
        """Datagrams with the changes of these incarnations that the contact lacks."""
        return [
            self._datagram(contact, address, now, deltas, digest_bytes=DIGEST_BYTES_WITH_DELTAS)
            for deltas in self._deltas.batches(contact, incarnations, now, max_datagrams)
        ]

    def _datagram(
        self, contact: Contact | None, address: UdpAddress, now: float, deltas: list[Delta] | None = None,
        page: Page | None = None, digest_bytes: int = _DIGEST_BYTES,
    ) -> tuple[bytes, UdpAddress]:  # fmt: skip
        """A signed datagram and its address, with `digest_bytes` of digests at most."""
        self._seq += 1
        self.datagram_allowance -= 1
        self.sent_log.add(self._seq, address, now)
        echo = self._echo(contact, now)
        tombs = self._folding.tombs(contact) if contact is not None else []
        digests = [] if page is not None else self._membership.digests(digest_bytes, contact)
        while True:
            data = self.seal.encode(Datagram(
                name=self.me.name, life=self.me.incarnation, boot=self.me.boot, run=self.me.run,
                seq=self._seq, beat=self.members.me.beat, left=self.leaving, echo_run=echo.run,
                echo_seq=echo.seq, echo_ms=echo.ms, past=self.counts.past_id,
                past_lives=self.counts.folded_count, here=len(self.members.present),
                want=self._pages.want(contact, now), words=digests, deltas=deltas or [], tombs=tombs,
                page=page, phase=self.phase,
            ))  # fmt: skip
            if len(data) <= MAX_DATAGRAM_BYTES or not digests:
                break
            digests = digests[: len(digests) * 2 // 3]
        self.sent += 1
        self.sent_bytes += len(data)
        return data, address

    @staticmethod
    def _echo(contact: Contact | None, now: float) -> _Echo:
        if contact is None:
            return _Echo()
        run, seq, at = contact.last_received
        return _Echo(run, seq, max(0, round((now - at) * 1000))) if run else _Echo()
