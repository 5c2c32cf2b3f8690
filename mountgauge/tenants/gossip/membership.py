"""Membership: the addresses to send to, the member behind a datagram, and digests of the other members.

An address in the file need not be the one that a member binds: which member it reaches is known once that
member echoes a datagram that was sent there. A member whose address is not in the file is sent to at the
address that its datagrams come from.
"""

from __future__ import annotations

from mountgauge.tenants.counts import msgpack_uint_bytes
from mountgauge.tenants.gossip.state import FULL, STARTING, Contact, FoldedIncarnationError, State, UdpAddress
from mountgauge.tenants.members import Member, Members, Presence
from mountgauge.tenants.wire import Datagram, MemberDigest, RefusedDatagramError, Window

_PUBLISH_AFTER_CONTACT_S = 1.0  # from the first datagram of a peer until own counts are published
_PUBLISH_ALONE_AFTER_S = 3.0  # from the start, if no peer sends anything


class Membership:
    """The members and the contacts with them."""

    def __init__(self, state: State, now: float) -> None:
        self._state = state
        self._first_datagram_at: float | None = None
        self._round_robin: list[UdpAddress] = []  # addresses that this pass over the peers has not used yet
        self._own_addresses: set[UdpAddress] = set()  # listed addresses that reach this member itself
        for incarnation in state.counts.incarnations.values():  # restored from the file, not yet reported
            if incarnation.id != state.me.incarnation:
                member = state.members.observe(incarnation.id, incarnation.name or "?", 0, 0, False, now)
                if member is not None:
                    member.beat_seen_at = now

    # Time

    def step(self, now: float) -> None:
        """Once an interval: send a heartbeat, update presence, and decide whether counts are published."""
        state = self._state
        state.members.beat(now)
        for member, before in state.members.tick(now):
            incarnation = state.counts.incarnations.get(member.id)
            if incarnation is not None and not Members.is_present(member):
                incarnation.is_current = False
            was_present = before in (Presence.PRESENT, Presence.SUSPECTED)
            state.replicas_changed |= was_present and not Members.is_present(member)
        for member in state.members.present:
            if (
                incarnation := state.counts.incarnations.get(member.id)
            ) is not None and not incarnation.is_current:
                incarnation.is_current = now - member.returned_at >= 2 * state.propagation_time
        if not state.publishing:
            in_contact = (
                self._first_datagram_at is not None
                and now - self._first_datagram_at >= _PUBLISH_AFTER_CONTACT_S
            )
            state.publishing = (
                in_contact or now - state.started >= _PUBLISH_ALONE_AFTER_S or not state.plan.peers
            )

    # Addresses

    def targets(self, max_targets: int) -> list[UdpAddress]:
        """The next addresses to send to: each in turn, in a new random order for each pass."""
        state = self._state
        found: list[UdpAddress] = []
        addresses = [p for p in state.plan.peers if p not in self._own_addresses]
        listed = {c.listed_address for c in state.contacts.values()}
        for member in state.members.known:
            contact = state.contacts.get(member.id)
            if (
                contact is not None
                and contact.listed_address is None
                and contact.source_address not in (None, *listed)
            ):
                assert contact.source_address is not None
                addresses.append(contact.source_address)
        known = set(addresses)
        while len(found) < min(max_targets, len(known)):
            if not self._round_robin:
                self._round_robin = sorted(known)
                state.rng.shuffle(self._round_robin)
            address = self._round_robin.pop()
            if address in known and address not in found:
                found.append(address)
        return found

    def contact_at(self, address: UdpAddress) -> Contact | None:
        return next(
            (c for c in self._state.contacts.values() if address in (c.listed_address, c.source_address)),
            None,
        )

    # Received datagrams

    def contact_of(self, datagram: Datagram, source: UdpAddress, now: float) -> Contact:
        """The contact that sent a datagram; RefusedDatagramError if the datagram must be dropped."""
        state = self._state
        if datagram.life == state.me.incarnation:
            self._reject_own_incarnation(datagram)
        contact = state.contacts.get(datagram.life)
        member = state.members.all.get(datagram.life)
        if contact is None:
            if state.counts.incarnation(datagram.life, datagram.name) is None:
                self._reject_unknown_incarnation(datagram, now)
            contact = state.contacts[datagram.life] = Contact(datagram.life)
        if member is not None and datagram.boot < member.boot:
            raise RefusedDatagramError("old-run")
        if not self._window(contact, datagram.run).accept(datagram.seq):
            raise RefusedDatagramError("replayed")
        contact.source_address = source
        if (
            state.members.observe(
                datagram.life, datagram.name, datagram.boot, datagram.beat, datagram.left, now
            )
            is not None
        ):
            self._end_replaced_incarnations(datagram, source, now)
        if self._first_datagram_at is None:
            self._first_datagram_at = now
        return contact

    def _reject_own_incarnation(self, datagram: Datagram) -> None:
        """Always raises, for a datagram with this member's incarnation: its own, or of another process."""
        state = self._state
        if datagram.run == state.me.run:
            if (sent := state.sent_log.get(datagram.seq)) is not None:
                self._own_addresses.add(sent[0])
            raise RefusedDatagramError("own")
        if datagram.boot < state.me.boot:
            raise RefusedDatagramError("old-run")  # a late datagram of the previous process run
        state.request_new_incarnation("another process counts under the same incarnation")
        raise RefusedDatagramError("conflict")

    def _reject_unknown_incarnation(self, datagram: Datagram, now: float) -> None:
        """Always raises, for an incarnation that exceeds the limit or is folded."""
        state = self._state
        if datagram.life not in state.counts.folded:
            raise RefusedDatagramError("too-many")
        # After a long split each side has folded the other's incarnations: the smaller side starts new ones.
        own = len(state.members.present), state.counts.past_id
        if (datagram.here, datagram.past) > own and any(t[0] == state.me.incarnation for t in datagram.tombs):
            state.handle_folded_self(exact=False)
        raise FoldedIncarnationError(
            Contact(datagram.life, last_received=(datagram.run, datagram.seq, now), tombs={datagram.life})
        )

    def _window(self, contact: Contact, run: int) -> Window:
        window = next((w for w in contact.windows if w.run == run), None)
        if window is None:
            window = Window(run)
            contact.windows = [*contact.windows[-1:], window]
            contact.in_flight.clear()
            contact.repairs.clear()
            contact.listed_address = None  # the new process may have another address
        return window

    def _end_replaced_incarnations(self, datagram: Datagram, source: UdpAddress, now: float) -> None:
        """Mark the sender's previous incarnation as left if it sent from the same address.

        This happens when a member lost its state folder. Only one process at a time has an address, so the
        sender has replaced the incarnation of the same name there, and nothing has to wait until that one is
        gone.
        """
        state = self._state
        for contact in state.contacts.values():
            member = state.members.all.get(contact.incarnation)
            if contact.incarnation == datagram.life or member is None or member.name != datagram.name:
                continue
            if contact.source_address == source and Members.is_present(member):
                state.members.mark_replaced(contact.incarnation, now)
                state.replicas_changed = True

    def process_echo(self, contact: Contact, datagram: Datagram, now: float) -> None:
        """Use the echo of an own datagram: the round-trip time, and which contact its address reaches."""
        state = self._state
        if datagram.echo_run != state.me.run or (sent := state.sent_log.get(datagram.echo_seq)) is None:
            return
        address, at = sent
        rtt = max(0.0, now - at - datagram.echo_ms / 1000)
        contact.rtt = rtt if not contact.rtt else 0.875 * contact.rtt + 0.125 * rtt
        if address in state.plan.peers:
            for other in state.contacts.values():
                if other is not contact and other.listed_address == address:
                    other.listed_address = None  # the address now reaches this contact
            contact.listed_address = address

    # Digests

    def digests(self, max_bytes: int, contact: Contact | None) -> list[MemberDigest]:
        """Digests of the sender, of the receiver, and of as many others as fit, in random order."""
        state = self._state
        receiver = contact.incarnation if contact is not None else 0
        others = [m for m in state.members.all.values() if m is not state.members.me]
        state.rng.shuffle(others)
        # Incarnations that ended come first, because they send no reports of their own.
        others.sort(key=lambda m: (m.id != receiver, m.ended_at is None))
        found: list[MemberDigest] = []
        for member in (state.members.me, *others):
            incarnation = state.counts.incarnations.get(member.id)
            if incarnation is None:
                continue
            left = state.leaving if member is state.members.me else member.left
            digest = MemberDigest(
                member.id, member.name, member.boot, member.beat, left, incarnation.version, incarnation.check
            )
            max_bytes -= (
                3
                + len(digest.name.encode())
                + msgpack_uint_bytes(digest.boot)
                + msgpack_uint_bytes(digest.beat)
                + msgpack_uint_bytes(digest.version)
                + 18
            )
            if max_bytes < 0:
                break
            found.append(digest)
        return found

    def recovering_members(self) -> int:
        """The number of other present members that report a phase before full service."""
        state = self._state
        others = (m for m in state.members.present if m is not state.members.me and m.id in state.contacts)
        return sum(state.contacts[m.id].phase < FULL for m in others)

    def has_previous_incarnation(self) -> bool:
        """Whether an incarnation of this member's name that is not present any more is known."""
        members = self._state.members
        me = members.me
        return any(
            m.name == me.name and m is not me and not Members.is_present(m) for m in members.all.values()
        )

    def sync_gap(self, now: float) -> str:
        """Why the counts held here may lack some that others hold; empty if they lack none.

        A present member reports its own counts, and `age` says how old its report is. The counts of an
        incarnation that ended or is gone are held by the members that received them last. They are complete
        here once each present member has reported, after that end, that it holds no more of them.
        """
        state = self._state
        if not state.publishing or (state.plan.peers and now - state.started < state.propagation_time):
            return STARTING
        present = [m for m in state.members.present if m is not state.members.me]
        for member in state.members.all.values():
            if member is state.members.me or Members.is_present(member):
                continue
            for other in present:
                if why := self._gap_with(member, other):
                    return why
        return ""

    def _gap_with(self, member: Member, other: Member) -> str:
        """Why `other` may hold counts that are missing here, of `member`, which ended or is gone."""
        state = self._state
        incarnation = state.counts.incarnations.get(member.id)
        since = member.ended_at if member.ended_at is not None else member.beat_seen_at
        contact = state.contacts.get(other.id)
        if contact is None or contact.reported_at.get(member.id, -1.0) < since:
            if incarnation is not None and (contact is None or member.id not in contact.tombs):
                return f"{other.name} has not reported on an ended incarnation of {member.name}"
        elif incarnation is not None and contact.marks[member.id] != incarnation.mark:
            # At the same version or a lower one it may still hold changes beyond a missing range.
            return f"{other.name} holds other counts of an ended incarnation of {member.name}"
        return ""

    def age(self, member: Member, now: float) -> float:
        """The age of this member's report, s: the time since its newest heartbeat, and half a round trip."""
        contact = self._state.contacts.get(member.id)
        return now - member.beat_seen_at + (contact.rtt / 2 if contact is not None else 0.0)
