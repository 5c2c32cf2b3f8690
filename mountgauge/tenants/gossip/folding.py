"""Lives that ended are folded into the past, once every other member is known to hold the same of them.

A folded life leaves its mark: whoever still speaks of it is told that it is folded (`tombs`).
"""

from __future__ import annotations

from mountgauge.tenants.counts import Mark
from mountgauge.tenants.gossip.state import Contact, State
from mountgauge.tenants.members import Members, Presence

_FOLD_EVERY = 1.0  # s
_TOMBS = 4  # that one datagram carries


class Folding:
    """Folds what has ended, and tells and hears of what is folded."""

    def __init__(self, state: State, now: float) -> None:
        self._state = state
        self._folded_at = now

    def step(self, now: float) -> None:
        if now - self._folded_at >= _FOLD_EVERY:
            self._folded_at = now
            self._fold(now)

    def _fold(self, now: float) -> None:
        state = self._state
        for member in list(state.members.may_fold(now)):
            life = state.counts.incarnations.get(member.id)
            if life is None:
                state.members.drop(member.id)
                continue
            others = [m for m in state.members.known if m is not state.members.me and m is not member]
            held = (state.contacts.get(m.id, Contact()).marks.get(life.id) for m in others)
            if all(mark == life.mark for mark in held):
                state.counts.fold(life.id)
                self._forget(life.id)
                state.replicas_changed = True

    def _forget(self, life: int) -> None:
        """Nothing of a folded life is kept but its mark."""
        state = self._state
        state.members.drop(life)
        state.contacts.pop(life, None)
        for contact in state.contacts.values():
            contact.marks.pop(life, None)
            contact.flight.pop(life, None)
            contact.mending.pop(life, None)
            contact.odd.pop(life, None)

    def tombs(self, contact: Contact) -> list[tuple[int, int, int]]:
        """Folded lives that the contact still speaks of, with their marks: told once each time it does."""
        found = []
        for life in list(contact.tombs)[:_TOMBS]:
            contact.tombs.discard(life)
            if (mark := self._state.counts.folded.get(life)) is not None:
                found.append((life, *mark))
        return found

    def hear(self, contact: Contact, life: int, mark: Mark, now: float) -> None:
        """The contact has folded this life."""
        state = self._state
        if life == state.me.life:
            state.retired(exact=mark == state.counts.own.mark)
            return
        if life in state.counts.incarnations:
            contact.marks[life] = mark
            member = state.members.all.get(life)
            if member is not None and not Members.here(member):
                member.ended = now - state.plan.timing.linger
                member.presence = Presence.ENDED
