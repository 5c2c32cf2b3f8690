"""Who is there and where: the addresses to send to, the member behind a datagram, word of the others.

An address in the file need not be the one that a member binds: which member is behind it shows when that
member echoes a datagram that was sent there. One that nobody listed is answered where its datagrams come
from.
"""

from __future__ import annotations

from mountgauge.tenants.counts import size
from mountgauge.tenants.gossip.state import FULL, STARTING, Contact, FoldedLifeError, State, UdpAddress
from mountgauge.tenants.members import Member, Members, Presence
from mountgauge.tenants.wire import Datagram, RefusedDatagramError, Window, Word

_OPEN_AFTER = 1.0  # s from the first word of a peer on until own counts are published
_ALONE_AFTER = 3.0  # s without any word after which they are too


class Membership:
    """Members and the contacts with them."""

    def __init__(self, state: State, now: float) -> None:
        self._state = state
        self._first_word: float | None = None
        self._turn: list[UdpAddress] = []  # addresses that are still to come in this turn
        self._self_at: set[UdpAddress] = set()  # listed addresses behind which is this member itself
        for (
            life
        ) in state.counts.incarnations.values():  # known from an earlier process, not heard of by this one
            if life.id != state.me.life:
                member = state.members.hear(life.id, life.name or "?", 0, 0, False, now)
                if member is not None:
                    member.heard = now

    # Time

    def step(self, now: float) -> None:
        """Once an interval: beat, see who has fallen silent or come back, and whether counts may be told."""
        state = self._state
        state.members.beat(now)
        for member, before in state.members.tick(now):
            life = state.counts.incarnations.get(member.id)
            if life is not None and not Members.here(member):
                life.settled = False
            was_here = before in (Presence.PRESENT, Presence.SUSPECTED)
            state.replicas_changed |= was_here and not Members.here(member)
        for member in state.members.present:
            if (life := state.counts.incarnations.get(member.id)) is not None and not life.settled:
                life.settled = now - member.back >= 2 * state.settle
        if not state.open:
            heard = self._first_word is not None and now - self._first_word >= _OPEN_AFTER
            state.open = heard or now - state.started >= _ALONE_AFTER or not state.plan.peers

    # Addresses

    def targets(self, most: int) -> list[UdpAddress]:
        """Each address in turn, in an order drawn anew for each turn."""
        state = self._state
        found: list[UdpAddress] = []
        places = [p for p in state.plan.peers if p not in self._self_at]
        listed = {c.listed for c in state.contacts.values()}
        for member in state.members.known:
            contact = state.contacts.get(member.id)
            if contact is not None and contact.listed is None and contact.source not in (None, *listed):
                assert contact.source is not None
                places.append(contact.source)
        known = set(places)
        while len(found) < min(most, len(known)):
            if not self._turn:
                self._turn = sorted(known)
                state.rng.shuffle(self._turn)
            place = self._turn.pop()
            if place in known and place not in found:
                found.append(place)
        return found

    def contact_at(self, place: UdpAddress) -> Contact | None:
        return next((c for c in self._state.contacts.values() if place in (c.listed, c.source)), None)

    # Datagrams that came

    def contact_of(self, told: Datagram, source: UdpAddress, now: float) -> Contact:
        """The contact behind a datagram that is new; RefusedDatagramError else."""
        state = self._state
        if told.life == state.me.life:
            self._own_life(told)
        contact = state.contacts.get(told.life)
        member = state.members.all.get(told.life)
        if contact is None:
            if state.counts.life(told.life, told.name) is None:
                self._unknown_life(told, now)
            contact = state.contacts[told.life] = Contact(told.life)
        if member is not None and told.boot < member.boot:
            raise RefusedDatagramError("old-run")
        if not self._window(contact, told.run).accept(told.seq):
            raise RefusedDatagramError("replayed")
        contact.source = source
        if state.members.hear(told.life, told.name, told.boot, told.beat, told.left, now) is not None:
            self._heir(told, source, now)
        if self._first_word is None:
            self._first_word = now
        return contact

    def _own_life(self, told: Datagram) -> None:
        """A datagram under this member's life: its own, late, or of another process. Always refused."""
        state = self._state
        if told.run == state.me.run:
            if (asked := state.sent_log.get(told.seq)) is not None:
                self._self_at.add(asked[0])
            raise RefusedDatagramError("own")
        if told.boot < state.me.boot:
            raise RefusedDatagramError("old-run")  # the last process' words, late
        state.want_new_life("another process counts under the same life")
        raise RefusedDatagramError("conflict")

    def _unknown_life(self, told: Datagram, now: float) -> None:
        """A life for which there is no room, or which is folded. Always refused."""
        state = self._state
        if told.life not in state.counts.folded:
            raise RefusedDatagramError("too-many")
        # Each side of a long split has folded the other's: the smaller one begins anew.
        mine = len(state.members.present), state.counts.past_id
        if (told.here, told.past) > mine and any(t[0] == state.me.life for t in told.tombs):
            state.retired(exact=False)
        raise FoldedLifeError(Contact(told.life, newest=(told.run, told.seq, now), tombs={told.life}))

    def _window(self, contact: Contact, run: int) -> Window:
        window = next((w for w in contact.windows if w.run == run), None)
        if window is None:
            window = Window(run)
            contact.windows = [*contact.windows[-1:], window]
            contact.flight.clear()
            contact.mending.clear()
            contact.listed = None  # it may have moved
        return window

    def _heir(self, told: Datagram, source: UdpAddress, now: float) -> None:
        """A life that was lost with its folder counts on under another: nobody waits for it to be gone.

        Only one process at a time has an address, so who speaks under the same name from there has replaced
        it.
        """
        state = self._state
        for contact in state.contacts.values():
            member = state.members.all.get(contact.life)
            if contact.life == told.life or member is None or member.name != told.name:
                continue
            if contact.source == source and Members.here(member):
                state.members.succeeded(contact.life, now)
                state.replicas_changed = True

    def echo(self, contact: Contact, told: Datagram, now: float) -> None:
        """A datagram of this member came back with word of when: the way there, and who is behind it."""
        state = self._state
        if told.echo_run != state.me.run or (asked := state.sent_log.get(told.echo_seq)) is None:
            return
        place, at = asked
        taken = max(0.0, now - at - told.echo_ms / 1000)
        contact.rtt = taken if not contact.rtt else 0.875 * contact.rtt + 0.125 * taken
        if place in state.plan.peers:
            for other in state.contacts.values():
                if other is not contact and other.listed == place:
                    other.listed = None  # somebody else is there now
            contact.listed = place

    # What is said of members

    def words(self, room: int, contact: Contact | None) -> list[Word]:
        """The sender's own word, what it has of the receiver, then as many others as fit, drawn.

        `room` in bytes.
        """
        state = self._state
        there = contact.life if contact is not None else 0
        others = [m for m in state.members.all.values() if m is not state.members.me]
        state.rng.shuffle(others)
        others.sort(key=lambda m: (m.id != there, m.ended is None))  # those that ended have no other voice
        found: list[Word] = []
        for member in (state.members.me, *others):
            life = state.counts.incarnations.get(member.id)
            if life is None:
                continue
            left = state.leaving if member is state.members.me else member.left
            word = Word(member.id, member.name, member.boot, member.beat, left, life.version, life.check)
            room -= 3 + len(word.name.encode()) + size(word.boot) + size(word.beat) + size(word.version) + 18
            if room < 0:
                break
            found.append(word)
        return found

    def coming_back(self) -> int:
        """Members that are present and, by their own word, not at full service."""
        state = self._state
        others = (m for m in state.members.present if m is not state.members.me and m.id in state.contacts)
        return sum(state.contacts[m.id].phase < FULL for m in others)

    def earlier_life(self) -> bool:
        """Whether the others know a life of this member's name that ended, and that this one knows only
        from them.
        """
        members = self._state.members
        me = members.me
        return any(m.name == me.name and m is not me and not Members.here(m) for m in members.all.values())

    def sync_gap(self, now: float) -> str:
        """Why the counts held here may lack something that others hold; empty: they are joined.

        A member that lives tells its own counts, and word of it is as old as `age` says. What a life that
        ended or is gone had counted is held by whoever heard of it last: it is joined once each member that
        is present has said, after that end, that it holds no more of it than is held here.
        """
        state = self._state
        if not state.open or (state.plan.peers and now - state.started < state.settle):
            return STARTING
        present = [m for m in state.members.present if m is not state.members.me]
        for member in state.members.all.values():
            if member is state.members.me or Members.here(member):
                continue
            for other in present:
                if why := self._unjoined(member, other):
                    return why
        return ""

    def _unjoined(self, member: Member, other: Member) -> str:
        """What `other` may hold of a life that ended or is gone, `member`, and that is not held here."""
        state = self._state
        life = state.counts.incarnations.get(member.id)
        since = member.ended if member.ended is not None else member.heard
        contact = state.contacts.get(other.id)
        if contact is None or contact.said.get(member.id, -1.0) < since:
            if life is not None and (contact is None or member.id not in contact.tombs):
                return f"{other.name} has not spoken of {member.name}'s ended life"
        elif life is not None and contact.marks[member.id].version > life.version:
            return f"{other.name} holds more of {member.name}'s ended life"
        return ""

    def age(self, member: Member, now: float) -> float:
        """How old this member's word is, s: since its newest beat was heard of, and half a round trip."""
        contact = self._state.contacts.get(member.id)
        return now - member.heard + (contact.rtt / 2 if contact is not None else 0.0)
