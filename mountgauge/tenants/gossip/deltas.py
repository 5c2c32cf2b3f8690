"""Replication of counts: sends each contact the changes that it lacks, and merges the ones it sends.

Each datagram carries digests of what its sender holds (`MemberDigest`); a receiver that holds more answers
with the missing changes (`Delta`). Nothing waits for an answer: a span that no later digest confirms is sent
again.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from mountgauge.tenants.counts import Entry, Incarnation, Mark, max_entry_bytes
from mountgauge.tenants.gossip.state import Contact, Mismatch, Repair, Span, State
from mountgauge.tenants.wire import MAX_DATAGRAM_BYTES, Delta, Line, MemberDigest

DIGEST_BYTES_WITH_DELTAS = 120  # enough for the digests of the sender and the receiver
_OVERHEAD_BYTES = 240  # of a datagram, without digests and deltas
_DELTA_CAPACITY_BYTES = MAX_DATAGRAM_BYTES - DIGEST_BYTES_WITH_DELTAS - _OVERHEAD_BYTES
_DELTA_HEADER_BYTES = 24  # of a delta, without the name and the entries
_MAX_SPANS_IN_FLIGHT = 32  # of one incarnation to one contact
_NEVER = -1e9  # s: the time of sending of a span that is to be sent at once


def _delta(incarnation: Incarnation, after: int, upto: int, entries: list[Entry]) -> Delta:
    """A delta with these entries. Those beyond a missing range do not extend the range that it covers."""
    lines: list[Line] = [(e.key, e.accepted, e.version, e.demand) for e in entries]
    contiguous = incarnation.version
    name = incarnation.name or "?"
    return Delta(incarnation.id, name, min(after, contiguous), min(upto, contiguous), lines)


class Deltas:
    """Chooses the changes for each contact and merges the changes received."""

    def __init__(self, state: State) -> None:
        self._state = state

    # Sending

    def batches(
        self, contact: Contact, incarnations: Iterable[int], now: float, max_batches: int
    ) -> Iterator[list[Delta]]:
        """The changes of these incarnations that the contact lacks and that are not in flight to it.

        Each batch fills one datagram; the caller sends it before it asks for the next one.
        """
        counts = self._state.counts
        queue = [found for one in incarnations if (found := counts.incarnations.get(one)) is not None]
        for _ in range(max_batches):
            if self._state.datagram_allowance <= 0:
                return
            deltas = self._next_batch(contact, queue, now)
            if not deltas:
                return
            yield deltas

    def _next_batch(self, contact: Contact, queue: list[Incarnation], now: float) -> list[Delta]:
        """The deltas of one datagram. Incarnations of which nothing is left to send leave the queue.

        Each step adds a delta, which takes capacity, shortens the queue or ends the batch.
        """
        deltas: list[Delta] = []
        left = _DELTA_CAPACITY_BYTES
        while queue:
            incarnation = queue[0]
            left -= _DELTA_HEADER_BYTES + len(incarnation.name.encode())
            if left < 0:
                break
            span = self._next_span(contact, incarnation, now)
            if span is None:
                left += _DELTA_HEADER_BYTES + len(incarnation.name.encode())
                queue.pop(0)
                continue
            upto, entries = self._state.counts.delta(incarnation, span.after, left, span.upto)
            if upto <= span.after:  # no entry fits
                self._put_back(contact, incarnation, span)
                if not deltas:
                    queue.pop(0)
                    continue
                break
            deltas.append(_delta(incarnation, span.after, upto, entries))
            left -= sum(map(max_entry_bytes, entries))
            self._record_in_flight(contact, incarnation, span, upto, now)
            if upto < span.upto:  # the datagram is full
                break
        return deltas

    @staticmethod
    def _put_back(contact: Contact, incarnation: Incarnation, span: Span) -> None:
        """Send a span with the next datagram; a repair starts at the same version again by itself."""
        if incarnation.id in contact.in_flight:
            contact.in_flight[incarnation.id].append(Span(span.after, span.upto, _NEVER))

    def _next_span(self, contact: Contact, incarnation: Incarnation, now: float) -> Span | None:
        """The span to send next to the contact: one that was probably lost, or new changes."""
        mark = contact.marks.get(incarnation.id, Mark(0, 0))
        resend_after = max(2 * self._state.plan.interval, 0.6 * contact.rtt)
        if mark.version >= incarnation.version:
            return self._repair_span(contact, incarnation, mark, resend_after, now)
        contact.repairs.pop(incarnation.id, None)
        in_flight = [span for span in contact.in_flight.get(incarnation.id, []) if span.upto > mark.version]
        contact.in_flight[incarnation.id] = in_flight
        for number, span in enumerate(in_flight):
            if now - span.at >= resend_after:
                del in_flight[number]
                return Span(max(span.after, mark.version), span.upto, now)
        start = max((span.upto for span in in_flight), default=mark.version)
        upto = self.reportable_version(incarnation, now)
        return Span(start, upto, now) if start < upto and len(in_flight) < _MAX_SPANS_IN_FLIGHT else None

    def _repair_span(
        self, contact: Contact, incarnation: Incarnation, mark: Mark, resend_after: float, now: float
    ) -> Span | None:
        """The span to send next to a contact with the same version and another checksum.

        It is not known which change is missing there: all that are held here are sent again, span by span,
        also those beyond a missing range. If the owner of the incarnation has ended, no other member may hold
        these, and without them the members would differ forever.
        """
        if mark.check == incarnation.check or mark.version > incarnation.version:
            contact.in_flight.pop(incarnation.id, None)
            return None
        mismatch = contact.mismatches.get(incarnation.id)
        if mismatch is None or now - mismatch.since < 2 * self._state.propagation_time:
            return None  # the missing change is most often still in flight
        upto, at = contact.repairs.get(incarnation.id, Repair(0, _NEVER))
        newest = incarnation.newest_version
        if not newest or (upto >= newest and now - at < resend_after):
            return None
        return Span(upto if upto < newest else 0, newest, now)

    def _record_in_flight(
        self, contact: Contact, incarnation: Incarnation, span: Span, upto: int, now: float
    ) -> None:
        mark = contact.marks.get(incarnation.id, Mark(0, 0))
        if mark.version >= incarnation.version:
            contact.repairs[incarnation.id] = Repair(upto, now)
            return
        in_flight = contact.in_flight[incarnation.id]
        in_flight.append(Span(span.after, upto, now))
        if upto < span.upto and span.upto <= max(one.upto for one in in_flight):  # remainder of a lost span
            in_flight.append(Span(upto, span.upto, _NEVER))

    def reportable_version(self, incarnation: Incarnation, now: float) -> int:
        """The version up to which this member sends changes of an incarnation to others.

        Recent changes of another member are left to that member, which sends them itself.
        """
        state = self._state
        member = state.members.all.get(incarnation.id)
        ended = member is not None and member.ended_at is not None
        if incarnation is state.counts.own or not incarnation.version_times or ended:
            return incarnation.version
        latest = now - max(2 * state.plan.interval, state.propagation_time / 2)
        return max((version for at, version in incarnation.version_times if at <= latest), default=0)

    # Receiving

    def join(self, deltas: Iterable[Delta], now: float) -> None:
        """Merge the changes of a datagram."""
        state = self._state
        for delta in deltas:
            newest = max((delta.upto, *(version for _, _, version, _ in delta.lines)))
            if delta.life == state.me.incarnation and newest > state.counts.own.version:
                state.request_new_incarnation("peers hold more counts than the file", outdated=True)
            entries = [Entry(*line) for line in delta.lines]
            state.counts.join(delta.life, delta.name, delta.after, delta.upto, entries)
            known = state.counts.incarnations.get(delta.life)
            if known is not None and (not known.version_times or known.version_times[-1][1] < known.version):
                known.version_times.append((now, known.version))

    def observe(self, contact: Contact, digest: MemberDigest, now: float) -> bool:
        """Apply the contact's digest of a member. Returns whether it lacks counts that may be sent to it."""
        state = self._state
        if digest.life == state.me.incarnation:
            if digest.version > state.counts.own.version or digest.boot > state.me.boot:
                state.request_new_incarnation("peers hold more counts than the file", outdated=True)
        elif digest.life in state.counts.folded:
            contact.tombs.add(digest.life)
            return False
        elif state.counts.incarnation(digest.life, digest.name) is None:
            return False
        else:
            state.members.observe(digest.life, digest.name, digest.boot, digest.beat, digest.left, now)
        contact.marks[digest.life] = mark = Mark(digest.version, digest.check)
        contact.reported_at[digest.life] = now
        incarnation = state.counts.incarnations[digest.life]
        if mark.version == incarnation.version and mark.check != incarnation.check:
            mismatch = contact.mismatches.get(incarnation.id)
            if mismatch is None or mismatch.mark != mark:
                contact.mismatches[incarnation.id] = Mismatch(mark, now)
            return True
        contact.mismatches.pop(incarnation.id, None)
        return mark.version < self.reportable_version(incarnation, now)
