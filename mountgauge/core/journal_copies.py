"""What is copied between journals: a journal's complete content, and what another journal adds to it.

No I/O, no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from mountgauge.core.journal_records import JournalContents, MessageEncoder, StoredMessage, outcome_records
from mountgauge.core.ports import MessageOutcome


class Content(NamedTuple):
    """All that a journal has to contain, and what its end defines."""

    records: bytes
    encoder: MessageEncoder

    @classmethod
    def of(cls, begin: bytes, contents: JournalContents) -> Content:
        """The records of these contents, behind those that begin a section."""
        encoder = MessageEncoder()
        live = encoder.encode(contents.live.values())
        return cls(b"".join([begin, *outcome_records(contents.outcomes.items()), live]), encoder)


class Copies(NamedTuple):
    """What another journal adds to this one: outcomes, and messages that are not finished here."""

    finished: dict[str, MessageOutcome]
    messages: list[StoredMessage]
    incomplete_bytes: int  # at the end of the other file

    @property
    def outcomes(self) -> bytes:
        """The records of the outcomes."""
        return b"".join(outcome_records(self.finished.items()))

    @property
    def size(self) -> int:
        """The size of all records, at most."""
        return len(self.outcomes) + len(MessageEncoder().encode(self.messages))


def copies_of(theirs: JournalContents, incomplete_bytes: int, own: JournalContents) -> Copies:
    """What another journal adds to this process's own one."""
    finished = {i: outcome for i, outcome in theirs.outcomes.items() if i not in own.outcomes}
    messages = [one for one in theirs.live.values() if one.id not in own.outcomes and _adds(one, own)]
    return Copies(finished, messages, incomplete_bytes)


def _adds(copy: StoredMessage, own: JournalContents) -> bool:
    """Whether the other record says more of a message: an adoption that was interrupted leaves equal ones."""
    stored = own.live.get(copy.id)
    return stored is None or not stored.covers(copy)
