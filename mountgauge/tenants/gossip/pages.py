"""Transfer of a whole past in pages, for a member that lacks folded incarnations: no delta has these."""

from __future__ import annotations

from mountgauge.tenants.counts import Mark
from mountgauge.tenants.gossip.state import Contact, State
from mountgauge.tenants.wire import Datagram, Page

_LINES_PER_PAGE = 34
_MAX_PAGES_PER_REPLY = 6
_MAX_FOLDED = 8192  # incarnations that a received past may name
_REQUEST_AFTER_S = 3.0  # how long another member's past must be ahead before it is requested
_DIVERGED_AFTER_S = 60.0  # how long the pasts of two present members must differ


class Pages:
    """Requests a past that is ahead, answers such requests, and assembles the pages received."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._received: dict[int, Page] = {}  # of one past, by number

    def clear(self) -> None:
        self._received.clear()

    def observe(self, contact: Contact, datagram: Datagram, now: float) -> None:
        """Record which past the contact has."""
        if (
            datagram.past,
            datagram.past_lives,
        ) != contact.past or datagram.past == self._state.counts.past_id:
            contact.past, contact.past_ahead_since = (datagram.past, datagram.past_lives), now

    def diverged(self, now: float) -> bool:
        """Whether a present member has had another past for too long, so that counts are not exact."""
        state = self._state
        contacts = (state.contacts.get(member.id) for member in state.members.present)
        return any(
            contact.past[0] != state.counts.past_id and now - contact.past_ahead_since >= _DIVERGED_AFTER_S
            for contact in contacts
            if contact is not None
        )

    def want(self, contact: Contact | None, now: float) -> tuple[int, int] | None:
        """The contact's past and the first page to request, if it is ahead and folding does not catch up."""
        counts = self._state.counts
        if contact is None or contact.past[1] <= counts.folded_count or contact.past[0] == counts.past_id:
            return None
        if counts.folded_count and now - contact.past_ahead_since < _REQUEST_AFTER_S:
            return None
        past = contact.past[0]
        received = self._received if any(p.past == past for p in self._received.values()) else {}
        return past, next((i for i in range(len(received) + 1) if i not in received), 0)

    def answer(self, want: tuple[int, int]) -> list[Page]:
        """Pages of the requested past, from the requested number on; none if the past here is another."""
        past, first = want
        counts = self._state.counts
        if past != counts.past_id:
            return []
        sums = [(key, count) for key, count in zip(counts.keys, counts.past, strict=True) if count]
        lines: list[tuple[int, ...]] = [*sums, *((id, *mark) for id, mark in counts.folded.items())]
        pages = -(-len(lines) // _LINES_PER_PAGE)
        found: list[Page] = []
        for number in range(first, min(pages, first + _MAX_PAGES_PER_REPLY)):
            on_page = lines[number * _LINES_PER_PAGE : (number + 1) * _LINES_PER_PAGE]
            found.append(Page(
                past, counts.folded_count, number, pages,
                [(one[0], one[1]) for one in on_page if len(one) == 2],
                [(one[0], one[1], one[2]) for one in on_page if len(one) == 3],
            ))  # fmt: skip
        return found

    def receive(self, page: Page) -> None:
        """Store a page; with the last missing one the past is adopted."""
        counts = self._state.counts
        if page.lives <= counts.folded_count:
            return
        if any(other.past != page.past for other in self._received.values()):
            self._received = {}
        if page.page < page.pages <= 1 + (counts.max_tenants + _MAX_FOLDED) // _LINES_PER_PAGE:
            self._received[page.page] = page
        if len(self._received) >= page.pages:
            self._adopt(page.lives, page.past)

    def _adopt(self, folded_count: int, past: int) -> None:
        state = self._state
        sums = {key: count for page in self._received.values() for key, count in page.sums}
        in_order = [page for _, page in sorted(self._received.items())]
        folded = [(id, Mark(version, check)) for page in in_order for id, version, check in page.folded]
        self._received = {}
        if not state.counts.adopt(sums, folded, folded_count, past):
            return
        for id, _ in folded:
            if id != state.me.incarnation:
                state.members.remove(id)
                state.contacts.pop(id, None)
        state.replicas_changed = True
