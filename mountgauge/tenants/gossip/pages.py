"""The past as a whole, in pages: for a member that lacks folded lives which no delta can bring any more."""

from __future__ import annotations

from mountgauge.tenants.counts import Mark
from mountgauge.tenants.gossip.state import Contact, State
from mountgauge.tenants.wire import Datagram, Page

_LINES = 34  # of a page
_PAGES = 6  # in answer to one datagram
_MOST_FOLDED = 8192  # lives that a past which is taken in may name
_CATCH_UP = 3.0  # s that another's past may be ahead before it is asked for
_DIVERGED = 60.0  # s for which two present members' pasts may differ; then something is wrong


class Pages:
    """Asks for a past that is ahead, answers such asks, and takes in the pages that come."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._held: dict[int, Page] = {}  # of one past, by number

    def clear(self) -> None:
        self._held.clear()

    def see(self, contact: Contact, told: Datagram, now: float) -> None:
        """Note which past the contact has."""
        if (told.past, told.past_lives) != contact.past or told.past == self._state.counts.past_id:
            contact.past, contact.past_since = (told.past, told.past_lives), now

    def diverged(self, now: float) -> bool:
        """Whether a present member has had another past for too long: counts are not exact."""
        state = self._state
        contacts = (state.contacts.get(member.id) for member in state.members.present)
        return any(
            contact.past[0] != state.counts.past_id and now - contact.past_since >= _DIVERGED
            for contact in contacts
            if contact is not None
        )

    def want(self, contact: Contact | None, now: float) -> tuple[int, int] | None:
        """Ask for the contact's past, from a page on, where it is ahead and folding does not bring it."""
        counts = self._state.counts
        if contact is None or contact.past[1] <= counts.past_lives or contact.past[0] == counts.past_id:
            return None
        if counts.past_lives and now - contact.past_since < _CATCH_UP:
            return None
        past = contact.past[0]
        held = self._held if any(p.past == past for p in self._held.values()) else {}
        return past, next((i for i in range(len(held) + 1) if i not in held), 0)

    def answer(self, want: tuple[int, int]) -> list[Page]:
        """Some pages of the past that is asked for, from the one that is on."""
        past, first = want
        counts = self._state.counts
        if past != counts.past_id:
            return []
        sums = [(key, count) for key, count in zip(counts.keys, counts.past, strict=True) if count]
        lines: list[tuple[int, ...]] = [*sums, *((life, *mark) for life, mark in counts.folded.items())]
        pages = -(-len(lines) // _LINES)
        found: list[Page] = []
        for number in range(first, min(pages, first + _PAGES)):
            part = lines[number * _LINES : (number + 1) * _LINES]
            found.append(Page(
                past, counts.past_lives, number, pages,
                [(one[0], one[1]) for one in part if len(one) == 2],
                [(one[0], one[1], one[2]) for one in part if len(one) == 3],
            ))  # fmt: skip
        return found

    def take(self, page: Page) -> None:
        """A page came; with the last one the past is taken over."""
        counts = self._state.counts
        if page.lives <= counts.past_lives:
            return
        if any(held.past != page.past for held in self._held.values()):
            self._held = {}
        if page.page < page.pages <= 1 + (counts.most + _MOST_FOLDED) // _LINES:
            self._held[page.page] = page
        if len(self._held) >= page.pages:
            self._adopt(page.lives, page.past)

    def _adopt(self, lives: int, past: int) -> None:
        state = self._state
        sums = {key: count for held in self._held.values() for key, count in held.sums}
        in_order = [held for _, held in sorted(self._held.items())]
        folded = [(life, Mark(version, check)) for held in in_order for life, version, check in held.folded]
        self._held = {}
        if not state.counts.adopt(sums, folded, lives, past):
            return
        for life, _ in folded:
            if life != state.me.life:
                state.members.drop(life)
                state.contacts.pop(life, None)
        state.replicas_changed = True
