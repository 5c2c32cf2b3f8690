"""Folding: adds an incarnation that ended to the past once every member reports the same counts of it.

The mark of a folded incarnation is kept, and a contact that still reports the incarnation is notified that it
is folded (`tombs`).
"""

from __future__ import annotations

from mountgauge.tenants.counts import Mark
from mountgauge.tenants.gossip.state import Contact, State
from mountgauge.tenants.members import Members, Presence

_FOLD_INTERVAL_S = 1.0
_MAX_TOMBS_PER_DATAGRAM = 4


class Folding:
    """Folds incarnations that ended, and exchanges which ones are folded."""

    def __init__(self, state: State, now: float) -> None:
        self._state = state
        self._folded_at = now

    def step(self, now: float) -> None:
        if now - self._folded_at >= _FOLD_INTERVAL_S:
            self._folded_at = now
            self._fold(now)

    def _fold(self, now: float) -> None:
        state = self._state
        for member in list(state.members.foldable(now)):
            incarnation = state.counts.incarnations.get(member.id)
            if incarnation is None:
                state.members.remove(member.id)
                continue
            others = [m for m in state.members.known if m is not state.members.me and m is not member]
            marks = (state.contacts.get(m.id, Contact()).marks.get(incarnation.id) for m in others)
            if all(mark == incarnation.mark for mark in marks):
                state.counts.fold(incarnation.id)
                self._forget(incarnation.id)
                state.replicas_changed = True

    def _forget(self, incarnation: int) -> None:
        """Remove all state of a folded incarnation; its mark stays in the counts."""
        state = self._state
        state.members.remove(incarnation)
        state.contacts.pop(incarnation, None)
        for contact in state.contacts.values():
            contact.marks.pop(incarnation, None)
            contact.in_flight.pop(incarnation, None)
            contact.repairs.pop(incarnation, None)
            contact.mismatches.pop(incarnation, None)

    def tombs(self, contact: Contact) -> list[tuple[int, int, int]]:
        """Folded incarnations that the contact still reports, with their marks; one notice per report."""
        found = []
        for incarnation in list(contact.tombs)[:_MAX_TOMBS_PER_DATAGRAM]:
            contact.tombs.discard(incarnation)
            if (mark := self._state.counts.folded.get(incarnation)) is not None:
                found.append((incarnation, *mark))
        return found

    def observe(self, contact: Contact, incarnation: int, mark: Mark, now: float) -> None:
        """Apply the contact's notice that it has folded an incarnation."""
        state = self._state
        if incarnation == state.me.incarnation:
            state.handle_folded_self(exact=mark == state.counts.own.mark)
            return
        if incarnation in state.counts.incarnations:
            contact.marks[incarnation] = mark
            member = state.members.all.get(incarnation)
            if member is not None and not Members.is_present(member):
                member.ended_at = now - state.plan.timing.linger
                member.presence = Presence.ENDED
