"""The counts of lives that change: what a contact lacks is sent to it, what it tells is joined.

Each datagram says how far its sender is with every life (`Word`), so whoever knows more answers with what is
missing (`Delta`). Nothing waits for an answer: a span that no later word confirms is sent again.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from mountgauge.tenants.counts import Entry, Incarnation, Mark, line_size
from mountgauge.tenants.gossip.state import Contact, Span, State
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES, Delta, Line, Word

FEW_WORDS = 120  # bytes for words beside deltas: of the sender and the receiver
_HEAD = 240  # bytes of a datagram for all but words and deltas
_FLIGHT = 32  # spans of one life that may be under way to one contact
_NEVER = -1e9  # s: when a span that is to be sent at once was sent last


class Deltas:
    """Which changes go to whom, and what comes of those that came."""

    def __init__(self, state: State) -> None:
        self._state = state

    # Sending

    def batches(self, contact: Contact, lives: Iterable[int], now: float, most: int) -> Iterator[list[Delta]]:
        """What the contact lacks of these lives, as far as it is not on its way already.

        Each batch fills a datagram, `most` of them at most; the caller sends one before it asks for the next.
        """
        state = self._state
        sent = 0
        deltas: list[Delta] = []
        left = room = MAX_DATAGRAM_BYTES - FEW_WORDS - _HEAD
        queue = [life for one in lives if (life := state.counts.incarnations.get(one)) is not None]
        while queue and sent < most and state.left_this_round > 0:
            life = queue[0]
            span = self._next_span(contact, life, now)
            if span is None:
                queue.pop(0)
                continue
            left -= 24 + len(life.name.encode())
            upto, entries = state.counts.delta(life, span.after, max(0, left), span.upto)
            if upto > span.after:
                lines: list[Line] = [(e.key, e.taken, e.version, e.demand) for e in entries]
                deltas.append(Delta(life.id, life.name or "?", span.after, upto, lines))
                left -= sum(map(line_size, entries))
                self._under_way(contact, life, span, upto, now)
            elif life.id in contact.flight:  # no room left in this datagram
                contact.flight[life.id].append(Span(span.after, span.upto, _NEVER))
            if upto < span.upto:  # the datagram is full
                yield deltas
                sent += 1
                deltas, left = [], room
        if deltas and sent < most:
            yield deltas

    def _next_span(self, contact: Contact, life: Incarnation, now: float) -> Span | None:
        """What of this life is to be sent to the contact next: what was lost on the way, or what is new."""
        mark = contact.marks.get(life.id, Mark(0, 0))
        again = max(2 * self._state.plan.interval, 0.6 * contact.rtt)
        if mark.version >= life.version:
            return self._mending_span(contact, life, mark, again, now)
        contact.mending.pop(life.id, None)
        flight = [span for span in contact.flight.get(life.id, []) if span.upto > mark.version]
        contact.flight[life.id] = flight
        for number, span in enumerate(flight):
            if now - span.at >= again:
                del flight[number]
                return Span(max(span.after, mark.version), span.upto, now)
        start = max((span.upto for span in flight), default=mark.version)
        upto = self.told_up_to(life, now)
        return Span(start, upto, now) if start < upto and len(flight) < _FLIGHT else None

    def _mending_span(
        self, contact: Contact, life: Incarnation, mark: Mark, again: float, now: float
    ) -> Span | None:
        """The contact is at the same version: where its counts differ all else it has is sent, span by span.

        Something in between is missing, it is not known where.
        """
        if mark.check == life.check or mark.version > life.version:
            contact.flight.pop(life.id, None)
            return None
        upto, at = contact.mending.get(life.id, (0, _NEVER))
        if now - contact.odd.get(life.id, (mark, now))[1] < 2 * self._state.settle:
            return None  # most often it is only on its way
        if upto >= life.version and now - at < again:
            return None
        return Span(upto if upto < life.version else 0, life.version, now)

    def _under_way(self, contact: Contact, life: Incarnation, span: Span, upto: int, now: float) -> None:
        mark = contact.marks.get(life.id, Mark(0, 0))
        if mark.version >= life.version:
            contact.mending[life.id] = (upto, now)
            return
        flight = contact.flight[life.id]
        flight.append(Span(span.after, upto, now))
        if upto < span.upto and span.upto <= max(one.upto for one in flight):  # the rest of what was lost
            flight.append(Span(upto, span.upto, _NEVER))

    def told_up_to(self, life: Incarnation, now: float) -> int:
        """Up to which version others are told of a life: its owner tells them itself what is new."""
        state = self._state
        member = state.members.all.get(life.id)
        ended = member is not None and member.ended is not None
        if life is state.counts.own or not life.learned or ended:
            return life.version
        ripe = now - max(2 * state.plan.interval, state.settle / 2)
        return max((version for at, version in life.learned if at <= ripe), default=0)

    # In

    def join(self, deltas: Iterable[Delta], now: float) -> None:
        """Take in the changes that a datagram brought."""
        state = self._state
        for delta in deltas:
            if delta.life == state.me.life and delta.upto > state.counts.own.version:
                state.want_new_life("peers know of more than the file has", outdated=True)
            entries = [Entry(*line) for line in delta.lines]
            state.counts.join(delta.life, delta.name, delta.after, delta.upto, entries)
            known = state.counts.incarnations.get(delta.life)
            if known is not None and (not known.learned or known.learned[-1][1] < known.version):
                known.learned.append((now, known.version))

    def hear(self, contact: Contact, word: Word, now: float) -> bool:
        """Take in what the contact says of a member. Whether it lacks some of that member's counts."""
        state = self._state
        if word.life == state.me.life:
            if word.version > state.counts.own.version or word.boot > state.me.boot:
                state.want_new_life("peers know of more than the file has", outdated=True)
        elif word.life in state.counts.folded:
            contact.tombs.add(word.life)
            return False
        elif state.counts.life(word.life, word.name) is None:
            return False
        else:
            state.members.hear(word.life, word.name, word.boot, word.beat, word.left, now)
        contact.marks[word.life] = mark = Mark(word.version, word.check)
        contact.said[word.life] = now
        life = state.counts.incarnations[word.life]
        if mark.version == life.version and mark.check != life.check:
            if contact.odd.get(life.id, (mark, now))[0] != mark or life.id not in contact.odd:
                contact.odd[life.id] = (mark, now)
            return True
        contact.odd.pop(life.id, None)
        return mark.version < self.told_up_to(life, now)
