"""Gossip between members, without sockets or a clock: datagrams in, datagrams out, at times that it is
told.

Each interval a member sends to a few addresses in turn. Each datagram says how far the sender is with every
life (`Word`), so whoever knows more answers with what is missing (`Delta`); the sender's own new counts go
along unasked. Nothing waits for an answer, nothing is lost for good with a datagram, and coming twice or
late does no harm.

An address in the file need not be the one that a member binds: which member is behind it shows when that
member echoes a datagram that was sent there. One that nobody listed is answered where its datagrams come
from.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from mountgauge.tenants.bounds import rounds
from mountgauge.tenants.counts import Counts, Entry, Life, Mark, line_size, size
from mountgauge.tenants.members import Member, Members, Presence, Timing
from mountgauge.tenants.wire import MOST, Datagram, Delta, Line, Page, Refused, Seal, Window, Word

Place = tuple[str, int]  # an address
Out = list[tuple[bytes, Place]]

_WORDS = 420  # bytes of a datagram for words, where deltas want the rest
_FEW_WORDS = 120  # bytes for words beside deltas: of the sender and the receiver
_FLIGHT = 32  # parts of one life that may be under way to one contact
_PUSHED = 3  # datagrams with own counts that one round may send to one address
_REPLIES = 3  # datagrams with deltas in answer to one
_EACH_ROUND = 64  # datagrams that one interval may send in all
_ASKED = 1024  # datagrams of which it is remembered where they went
_PAGE = 34  # lines of a past's page
_PAGES = 6  # pages in answer to one datagram
_OPEN_AFTER = 1.0  # s from the first word of a peer on until own counts are published
_ALONE_AFTER = 3.0  # s without any word after which they are too
_CATCH_UP = 3.0  # s that another's past may be ahead before it is asked for
_FOLD_EVERY = 1.0  # s
STARTING = "starting"  # why a member's counts are not joined yet: it has not heard the others
FULL = 4  # the phase of a member at full service
_DIVERGED = 60.0  # s for which two present members' pasts may differ; then something is wrong


@dataclass(frozen=True, slots=True)
class Plan:
    """What an operator's file says of the fleet. Times in seconds."""

    peers: tuple[Place, ...]
    interval: float
    fanout: int
    timing: Timing
    flush: float


class Identity(NamedTuple):
    name: str
    life: int
    boot: int
    run: int


class Part(NamedTuple):
    """Changes of a life after one version, up to another; and when they were sent."""

    after: int
    upto: int
    at: float


@dataclass(slots=True, eq=False)
class Contact:
    """What a member knows of its exchange with another."""

    life: int = 0
    windows: list[Window] = field(default_factory=list)
    source: Place | None = None  # where its datagrams come from
    listed: Place | None = None  # the file's address behind which it was found
    rtt: float = 0.0  # s, smoothed; 0 before the first echo
    newest: tuple[int, int, float] = (0, 0, 0.0)  # its run, its seq, when
    marks: dict[int, Mark] = field(default_factory=dict)  # how far it has come with each life
    phase: int = 4  # of its comeback, as it last said
    said: dict[int, float] = field(default_factory=dict)  # when it last spoke of each life
    flight: dict[int, list[Part]] = field(default_factory=dict)  # parts of lives that are under way
    mending: dict[int, tuple[int, float]] = field(default_factory=dict)  # up to where, and when
    odd: dict[int, tuple[Mark, float]] = field(default_factory=dict)  # at one version, but not the same
    tombs: set[int] = field(default_factory=set)  # folded lives that it still speaks of
    past: tuple[int, int] = (0, 0)
    past_since: float = 0.0  # since when its past is ahead of one's own


class Fleet:
    """One member. `reborn` is set when it must count on under a new life, with the reason."""

    def __init__(
        self, me: Identity, plan: Plan, counts: Counts, seal: Seal, now: float, rng: random.Random
    ) -> None:
        self.me, self.plan, self.counts, self.seal, self.rng = me, plan, counts, seal, rng
        self.members = Members(me.life, me.name, plan.timing, now)
        self.members.me.boot = me.boot
        self.contacts: dict[int, Contact] = {}
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0
        # Whether own counts may be published: a life from a file must first hear what others know of it.
        self.open = me.boot <= 1
        self.outdated = False  # others knew of more than the file had: an old copy
        self.anew = False  # when it is reborn, it also lets go of all that it knew
        self.reborn = ""
        self.diverged = False  # two pasts that neither contains the other: counts are not exact
        self.doubtful = False  # what was counted under this name may be in part counted once for twice
        self.changed_rest = False  # something of other lives or the past that only replicas hold has changed
        self.leaving = False
        self.phase = FULL  # of this member's comeback, told to the others
        self._started = now
        self._first_word: float | None = None
        self._seq = 0
        self._asked: OrderedDict[int, tuple[Place, float]] = OrderedDict()
        self._turn: list[Place] = []
        self._self_at: set[Place] = set()
        self._folded_at = now
        self._left_over = _EACH_ROUND
        self._pages: dict[int, Page] = {}
        self._owed: Out = []
        for life in counts.lives.values():  # known from an earlier process, not heard of by this one
            if life.id != me.life:
                member = self.members.hear(life.id, life.name or "?", 0, 0, False, now)
                if member is not None:
                    member.heard = now

    # Time

    def tick(self, now: float) -> Out:
        """Once an interval."""
        self.members.beat(now)
        for member, before in self.members.tick(now):
            life = self.counts.lives.get(member.id)
            if life is not None and not Members.here(member):
                life.settled = False
            self.changed_rest |= before in (Presence.PRESENT, Presence.SUSPECTED) and not Members.here(member)
        for member in self.members.present:
            if (life := self.counts.lives.get(member.id)) is not None and not life.settled:
                life.settled = now - member.back >= 2 * self.settle
        if not self.open:
            heard = self._first_word is not None and now - self._first_word >= _OPEN_AFTER
            self.open = heard or now - self._started >= _ALONE_AFTER or not self.plan.peers
        if now - self._folded_at >= _FOLD_EVERY:
            self._folded_at = now
            self._fold(now)
        self.diverged = any(
            contact.past[0] != self.counts.past_id and now - contact.past_since >= _DIVERGED
            for member in self.members.present if (contact := self.contacts.get(member.id)) is not None
        )  # fmt: skip
        self._left_over = _EACH_ROUND
        out: Out = []
        for place in self._targets(len(self.plan.peers) if self.leaving else self.plan.fanout):
            out += self._to(place, now)
        return out

    def _targets(self, most: int) -> list[Place]:
        """Each address in turn, in an order drawn anew for each turn."""
        found: list[Place] = []
        places = [p for p in self.plan.peers if p not in self._self_at]
        listed = {c.listed for c in self.contacts.values()}
        for member in self.members.known:
            contact = self.contacts.get(member.id)
            if contact is not None and contact.listed is None and contact.source not in (None, *listed):
                assert contact.source is not None
                places.append(contact.source)
        known = set(places)
        while len(found) < min(most, len(known)):
            if not self._turn:
                self._turn = sorted(known)
                self.rng.shuffle(self._turn)
            place = self._turn.pop()
            if place in known and place not in found:
                found.append(place)
        return found

    def _to(self, place: Place, now: float) -> Out:
        member = next((i for i, c in self.contacts.items() if place in (c.listed, c.source)), None)
        if member is None:
            return [self._datagram(None, place, now)]
        contact = self.contacts[member]
        life, mark = self.counts.mine, contact.marks.get(self.me.life, Mark(0, 0))
        lacking = [life.id] if mark.version < life.version else []
        return self._deltas(contact, place, lacking, now, _PUSHED) or [self._datagram(contact, place, now)]

    @property
    def settle(self) -> float:
        """Seconds in which the others surely hear of a change: three tries, and the way."""
        members = len(self.members.present)
        way = max((c.rtt for c in self.contacts.values()), default=0.0) / 2
        tries = 3 * rounds(members, self.plan.fanout) * self.plan.interval
        return min(self.plan.timing.gone, self.plan.flush + tries + way)

    def coming_back(self) -> int:
        """Members that are present and, by their own word, not at full service."""
        return sum(
            self.contacts[m.id].phase < FULL
            for m in self.members.present if m is not self.members.me and m.id in self.contacts
        )  # fmt: skip

    def earlier_life(self) -> bool:
        """Whether the others know a life of this member's name that ended, and that this one knows only
        from them.
        """
        me = self.members.me
        return any(
            m.name == me.name and m is not me and not Members.here(m) for m in self.members.all.values()
        )

    def unjoined(self, now: float) -> str:
        """Why the counts held here may lack something that others hold; empty: they are joined.

        A member that lives tells its own counts, and word of it is as old as `age` says. What a life that
        ended or is gone had counted is held by whoever heard of it last: it is joined once each member that
        is present has said, after that end, that it holds no more of it than is held here.
        """
        if not self.open or (self.plan.peers and now - self._started < self.settle):
            return STARTING
        present = [m for m in self.members.present if m is not self.members.me]
        for member in self.members.all.values():
            if member is self.members.me or Members.here(member):
                continue
            life = self.counts.lives.get(member.id)
            since = member.ended if member.ended is not None else member.heard
            for other in present:
                contact = self.contacts.get(other.id)
                if contact is None or contact.said.get(member.id, -1.0) < since:
                    if life is not None and (contact is None or member.id not in contact.tombs):
                        return f"{other.name} has not spoken of {member.name}'s ended life"
                elif life is not None and contact.marks[member.id].version > life.version:
                    return f"{other.name} holds more of {member.name}'s ended life"
        return ""

    def age(self, member: Member, now: float) -> float:
        """How old this member's word is, s: since its newest beat was heard of, and half a round trip."""
        contact = self.contacts.get(member.id)
        return now - member.heard + (contact.rtt / 2 if contact is not None else 0.0)

    # Out

    def _datagram(
        self, contact: Contact | None, place: Place, now: float, deltas: list[Delta] | None = None,
        page: Page | None = None, room: int = _WORDS,
    ) -> tuple[bytes, Place]:  # fmt: skip
        self._seq += 1
        self._left_over -= 1
        self._asked[self._seq] = (place, now)
        if len(self._asked) > _ASKED:
            self._asked.popitem(last=False)
        echo = (0, 0, 0)
        tombs = []
        if contact is not None:
            run, seq, at = contact.newest
            echo = (run, seq, max(0, round((now - at) * 1000))) if run else echo
            for life in list(contact.tombs)[:4]:
                contact.tombs.discard(life)
                if (mark := self.counts.folded.get(life)) is not None:
                    tombs.append((life, *mark))
        words = [] if page is not None else self._words(room, contact)
        while True:
            data = self.seal.close(Datagram(
                name=self.me.name, life=self.me.life, boot=self.me.boot, run=self.me.run, seq=self._seq,
                beat=self.members.me.beat, left=self.leaving, echo_run=echo[0], echo_seq=echo[1],
                echo_ms=echo[2], past=self.counts.past_id,
                past_lives=self.counts.past_lives, here=len(self.members.present),
                want=self._want(contact, now), words=words, deltas=deltas or [], tombs=tombs, page=page,
                phase=self.phase,
            ))  # fmt: skip
            if len(data) <= MOST or not words:
                break
            words = words[: len(words) * 2 // 3]
        self.sent += 1
        self.sent_bytes += len(data)
        return data, place

    def _words(self, room: int, contact: Contact | None) -> list[Word]:
        """The sender's own word, what it has of the receiver, then as many others as fit, drawn."""
        there = contact.life if contact is not None else 0
        others = [m for m in self.members.all.values() if m is not self.members.me]
        self.rng.shuffle(others)
        others.sort(key=lambda m: (m.id != there, m.ended is None))  # those that ended have no other voice
        found: list[Word] = []
        for member in (self.members.me, *others):
            life = self.counts.lives.get(member.id)
            if life is None:
                continue
            word = Word(
                member.id, member.name, member.boot, member.beat,
                self.leaving if member is self.members.me else member.left,
                life.version, life.check,
            )  # fmt: skip
            room -= 3 + len(word.name.encode()) + size(word.boot) + size(word.beat) + size(word.version) + 18
            if room < 0:
                break
            found.append(word)
        return found

    def _deltas(self, contact: Contact, place: Place, lives: list[int], now: float, most: int = 1) -> Out:
        """What it lacks of these lives, as far as it is not on its way already."""
        out: Out = []
        deltas: list[Delta] = []
        left = room = MOST - _FEW_WORDS - 240
        queue = [life for one in lives if (life := self.counts.lives.get(one)) is not None]
        while queue and len(out) < most and self._left_over > 0:
            life = queue[0]
            part = self._part(contact, life, now)
            if part is None:
                queue.pop(0)
                continue
            left -= 24 + len(life.name.encode())
            upto, entries = self.counts.delta(life, part.after, max(0, left), part.upto)
            if upto > part.after:
                lines: list[Line] = [(e.key, e.taken, e.version, e.demand) for e in entries]
                deltas.append(Delta(life.id, life.name or "?", part.after, upto, lines))
                left -= sum(map(line_size, entries))
                self._under_way(contact, life, part, upto, now)
            elif life.id in contact.flight:  # no room left in this datagram
                contact.flight[life.id].append(Part(part.after, part.upto, -1e9))
            if upto < part.upto:  # the datagram is full
                out.append(self._datagram(contact, place, now, deltas, room=_FEW_WORDS))
                deltas, left = [], room
        if deltas and len(out) < most:
            out.append(self._datagram(contact, place, now, deltas, room=_FEW_WORDS))
        return out

    def _part(self, contact: Contact, life: Life, now: float) -> Part | None:
        """What of this life is to be sent to the contact next: what was lost on the way, or what is new."""
        mark = contact.marks.get(life.id, Mark(0, 0))
        again = max(2 * self.plan.interval, 0.6 * contact.rtt)
        flight = contact.flight.get(life.id, [])
        if mark.version >= life.version:
            if mark.check == life.check or mark.version > life.version:
                contact.flight.pop(life.id, None)
                return None
            # Something in between is missing, it is not known where: all of it, part by part.
            upto, at = contact.mending.get(life.id, (0, -1e9))
            if now - contact.odd.get(life.id, (mark, now))[1] < 2 * self.settle:
                return None  # most often it is only on its way
            if upto >= life.version and now - at < again:
                return None
            return Part(upto if upto < life.version else 0, life.version, now)
        contact.mending.pop(life.id, None)
        flight = contact.flight[life.id] = [part for part in flight if part.upto > mark.version]
        for number, part in enumerate(flight):
            if now - part.at >= again:
                del flight[number]
                return Part(max(part.after, mark.version), part.upto, now)
        start = max((part.upto for part in flight), default=mark.version)
        upto = self._to_relay(life, now)
        return Part(start, upto, now) if start < upto and len(flight) < _FLIGHT else None

    def _under_way(self, contact: Contact, life: Life, part: Part, upto: int, now: float) -> None:
        mark = contact.marks.get(life.id, Mark(0, 0))
        if mark.version >= life.version:
            contact.mending[life.id] = (upto, now)
            return
        flight = contact.flight[life.id]
        flight.append(Part(part.after, upto, now))
        if upto < part.upto and part.upto <= max(one.upto for one in flight):  # the rest of what was lost
            flight.append(Part(upto, part.upto, -1e9))

    # In

    def receive(self, data: bytes, source: Place, now: float) -> Out:
        """One datagram; what is to be sent for it. What is refused is counted in `dropped`."""
        self.received += 1
        self.received_bytes += len(data)
        try:
            told = self.seal.open(data)
            contact = self._known(told, source, now)
        except Refused as refused:
            self.dropped[str(refused)] += 1
            owed, self._owed = self._owed, []
            return owed
        if self._first_word is None:
            self._first_word = now
        contact.newest, contact.phase = (told.run, told.seq, now), told.phase
        self._echo(contact, told, now)
        if (told.past, told.past_lives) != contact.past or told.past == self.counts.past_id:
            contact.past, contact.past_since = (told.past, told.past_lives), now
        for delta in told.deltas:
            if delta.life == self.me.life and delta.upto > self.counts.mine.version:
                self._renew("peers know of more than the file has", outdated=True)
            entries = [Entry(*line) for line in delta.lines]
            self.counts.join(delta.life, delta.name, delta.after, delta.upto, entries)
            known = self.counts.lives.get(delta.life)
            if known is not None and (not known.learned or known.learned[-1][1] < known.version):
                known.learned.append((now, known.version))
        for life, version, check in told.tombs:
            self._tomb(contact, life, Mark(version, check), now)
        if told.page is not None:
            self._page(told.page)
        lacking = [word.life for word in told.words if self._word(contact, word, now)]
        if self.me.life in lacking and len(contact.flight.get(self.me.life, ())) > 0:
            lacking.remove(self.me.life)  # it is told of what is new in each round
        place = contact.listed or source
        out = self._past(contact, place, told.want, now) if told.want is not None else []
        return out + self._deltas(contact, place, lacking, now, _REPLIES)

    def _known(self, told: Datagram, source: Place, now: float) -> Contact:
        """The contact behind a datagram that is new; Refused else."""
        if told.life == self.me.life:
            if told.run == self.me.run:
                if (asked := self._asked.get(told.seq)) is not None:
                    self._self_at.add(asked[0])
                raise Refused("own")
            if told.boot < self.me.boot:
                raise Refused("old-run")  # the last process' words, late
            self._renew("another process counts under the same life")
            raise Refused("conflict")
        contact = self.contacts.get(told.life)
        member = self.members.all.get(told.life)
        if contact is None:
            if self.counts.life(told.life, told.name) is None:
                if told.life not in self.counts.folded:
                    raise Refused("too-many")
                # Each side of a long split has folded the other's: the smaller one begins anew.
                mine = len(self.members.present), self.counts.past_id
                if (told.here, told.past) > mine and any(t[0] == self.me.life for t in told.tombs):
                    self._retired(exact=False)
                contact = Contact(told.life, newest=(told.run, told.seq, now), tombs={told.life})
                self._owed.append(self._datagram(contact, source, now))  # it does not know yet: tell it
                raise Refused("folded")
            contact = self.contacts[told.life] = Contact(told.life)
        if member is not None and told.boot < member.boot:
            raise Refused("old-run")
        window = next((w for w in contact.windows if w.run == told.run), None)
        if window is None:
            window = Window(told.run)
            contact.windows = [*contact.windows[-1:], window]
            contact.flight.clear()
            contact.mending.clear()
            contact.listed = None  # it may have moved
        if not window.accept(told.seq):
            raise Refused("replayed")
        contact.source = source
        if self.members.hear(told.life, told.name, told.boot, told.beat, told.left, now) is not None:
            self._heir(told, source, now)
        return contact

    def _heir(self, told: Datagram, source: Place, now: float) -> None:
        """A life that was lost with its folder counts on under another: nobody waits for it to be gone.

        Only one process at a time has an address, so who speaks under the same name from there has replaced
        it.
        """
        for contact in self.contacts.values():
            member = self.members.all.get(contact.life)
            if contact.life == told.life or member is None or member.name != told.name:
                continue
            if contact.source == source and Members.here(member):
                self.members.succeeded(contact.life, now)
                self.changed_rest = True

    def _echo(self, contact: Contact, told: Datagram, now: float) -> None:
        if told.echo_run != self.me.run or (asked := self._asked.get(told.echo_seq)) is None:
            return
        place, at = asked
        taken = max(0.0, now - at - told.echo_ms / 1000)
        contact.rtt = taken if not contact.rtt else 0.875 * contact.rtt + 0.125 * taken
        if place in self.plan.peers:
            for other in self.contacts.values():
                if other is not contact and other.listed == place:
                    other.listed = None  # somebody else is there now
            contact.listed = place

    def _word(self, contact: Contact, word: Word, now: float) -> bool:
        """Take in what the contact says of a member. Whether it lacks some of that member's counts."""
        if word.life == self.me.life:
            if word.version > self.counts.mine.version or word.boot > self.me.boot:
                self._renew("peers know of more than the file has", outdated=True)
        elif word.life in self.counts.folded:
            contact.tombs.add(word.life)
            return False
        elif self.counts.life(word.life, word.name) is None:
            return False
        else:
            self.members.hear(word.life, word.name, word.boot, word.beat, word.left, now)
        contact.marks[word.life] = mark = Mark(word.version, word.check)
        contact.said[word.life] = now
        life = self.counts.lives[word.life]
        if mark.version == life.version and mark.check != life.check:
            if contact.odd.get(life.id, (mark, now))[0] != mark or life.id not in contact.odd:
                contact.odd[life.id] = (mark, now)
            return True
        contact.odd.pop(life.id, None)
        return mark.version < self._to_relay(life, now)

    def _to_relay(self, life: Life, now: float) -> int:
        """Up to which version others are told of a life: its owner tells them itself what is new."""
        member = self.members.all.get(life.id)
        if life is self.counts.mine or not life.learned or (member is not None and member.ended is not None):
            return life.version
        ripe = now - max(2 * self.plan.interval, self.settle / 2)
        return max((version for at, version in life.learned if at <= ripe), default=0)

    def _renew(self, why: str, outdated: bool = False) -> None:
        if not self.reborn:
            self.reborn, self.outdated = why, self.outdated or outdated
            self.doubtful |= self.open

    def _retired(self, exact: bool) -> None:
        """The others have folded this member's life: it comes back as a newcomer."""
        if not self.reborn:
            self.reborn = "the fleet has folded this life"
            self.doubtful |= not exact
            self.anew = True

    def renew(self, life: int, run: int, now: float) -> None:
        """Count on under a new life: the owner has drawn it. The old one stays as it is known."""
        old = self.counts.mine
        if self.anew:
            self.counts.clear()
            self.members.all.clear()
            self.contacts.clear()
            self._pages.clear()
            self.anew = False
            self.changed_rest = True
        self.counts.reset_mine(life, self.me.name)
        self.me = Identity(self.me.name, life, 1, run)
        self.members.become(life, self.me.name, now)
        self.members.me.boot = 1
        if not old.version and old.id in self.counts.lives:  # nothing was ever counted under it
            del self.counts.lives[old.id]
            self.members.drop(old.id)
        self.reborn = ""
        self._asked.clear()

    # Lives that have ended

    def _tomb(self, contact: Contact, life: int, mark: Mark, now: float) -> None:
        """The contact has folded this life."""
        if life == self.me.life:
            self._retired(exact=mark == self.counts.mine.mark)
            return
        if life in self.counts.lives:
            contact.marks[life] = mark
            member = self.members.all.get(life)
            if member is not None and not Members.here(member):
                member.ended = now - self.plan.timing.linger
                member.presence = Presence.ENDED

    def _fold(self, now: float) -> None:
        """Fold what has ended, once every other member is known to hold the same of it."""
        for member in list(self.members.may_fold(now)):
            life = self.counts.lives.get(member.id)
            if life is None:
                self.members.drop(member.id)
                continue
            others = [m for m in self.members.known if m is not self.members.me and m is not member]
            held = (self.contacts.get(m.id, Contact()).marks.get(life.id) for m in others)
            if all(mark == life.mark for mark in held):
                self.counts.fold(life.id)
                self.members.drop(life.id)
                self.contacts.pop(life.id, None)
                for contact in self.contacts.values():
                    contact.marks.pop(life.id, None)
                    contact.flight.pop(life.id, None)
                    contact.mending.pop(life.id, None)
                    contact.odd.pop(life.id, None)
                self.changed_rest = True

    def _behind(self, contact: Contact) -> bool:
        return contact.past[1] > self.counts.past_lives and contact.past[0] != self.counts.past_id

    def _want(self, contact: Contact | None, now: float) -> tuple[int, int] | None:
        """Ask for the contact's past where it is ahead and what is missing does not come by folding."""
        if contact is None or not self._behind(contact):
            return None
        if self.counts.past_lives and now - contact.past_since < _CATCH_UP:
            return None
        past = contact.past[0]
        pages = self._pages if any(p.past == past for p in self._pages.values()) else {}
        first = next((i for i in range(len(pages) + 1) if i not in pages), 0)
        return past, first

    def _past(self, contact: Contact, place: Place, want: tuple[int, int], now: float) -> Out:
        past, first = want
        counts = self.counts
        if past != counts.past_id:
            return []
        sums = [(key, count) for key, count in zip(counts.keys, counts.past, strict=True) if count]
        lines: list[tuple[int, ...]] = [*sums, *((life, *mark) for life, mark in counts.folded.items())]
        pages = -(-len(lines) // _PAGE)
        out: Out = []
        for number in range(first, min(pages, first + _PAGES)):
            part = lines[number * _PAGE : (number + 1) * _PAGE]
            page = Page(
                past, counts.past_lives, number, pages,
                [(one[0], one[1]) for one in part if len(one) == 2],
                [(one[0], one[1], one[2]) for one in part if len(one) == 3],
            )  # fmt: skip
            out.append(self._datagram(contact, place, now, page=page))
        return out

    def _page(self, page: Page) -> None:
        if page.lives <= self.counts.past_lives:
            return
        if any(held.past != page.past for held in self._pages.values()):
            self._pages = {}
        if page.page < page.pages <= 1 + (self.counts.most + 8192) // _PAGE:
            self._pages[page.page] = page
        if len(self._pages) < page.pages:
            return
        sums = {key: count for held in self._pages.values() for key, count in held.sums}
        folded = [
            (life, Mark(version, check))
            for _, held in sorted(self._pages.items()) for life, version, check in held.folded
        ]  # fmt: skip
        self._pages = {}
        if self.counts.adopt(sums, folded, page.lives, page.past):
            for life, _ in folded:
                if life != self.me.life:
                    self.members.drop(life)
                    self.contacts.pop(life, None)
            self.changed_rest = True
