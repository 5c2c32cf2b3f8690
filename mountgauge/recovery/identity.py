"""The identity of a sender across its process runs: an ID drawn once, and a run number that each start
raises. No I/O.

`classify_folder` derives the identity at a start. What peers know of a name (`correct_from_peers`) reveals a
lost or an outdated folder, which by itself looks like a first start or a previous run.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import orjson


class Identity(NamedTuple):
    """The identity of a sender and the number of its process run."""

    name: str
    id: str  # 16 hex digits, drawn at the first start
    life: int  # number of the process run; 1 at the first start
    clean: bool  # the last run stopped as requested


class FolderState(StrEnum):
    """State of the folder at a start."""

    FIRST = "first"  # empty: a first start, or everything was lost
    KEPT = "kept"
    NO_IDENTITY = "no-identity"  # a journal without an identity: of an older version, or partly lost
    FOREIGN = "foreign"  # of another sender
    DAMAGED = "damaged"
    LOST = "lost"  # it looked like a first start, but peers know a previous run
    OLD = "old"  # an outdated copy: peers know a later run


def encode(identity: Identity) -> bytes:
    """The content of the identity file."""
    return orjson.dumps(identity._asdict()) + b"\n"


def decode(content: bytes) -> Identity | None:
    """The identity in a file's content; None if the content is not valid."""
    try:
        raw = orjson.loads(content)
        found = Identity(raw["name"], raw["id"], raw["life"], raw["clean"])
    except (ValueError, KeyError, TypeError):
        return None
    typed = isinstance(found.name, str) and isinstance(found.id, str) and isinstance(found.life, int)
    return found if typed and found.life > 0 and isinstance(found.clean, bool) else None


def classify_folder(
    content: bytes | None, name: str, has_journal: bool, new_id: str
) -> tuple[Identity, FolderState]:
    """This run's identity and the folder's state, from the content of the identity file.

    `new_id` is used where there is no identity to continue.
    """
    if content is None:
        return Identity(name, new_id, 1, False), FolderState.NO_IDENTITY if has_journal else FolderState.FIRST
    last = decode(content)
    if last is None:
        return Identity(name, new_id, 1, False), FolderState.DAMAGED
    if last.name != name:
        return Identity(name, new_id, 1, False), FolderState.FOREIGN
    return Identity(name, last.id, last.life + 1, False), FolderState.KEPT


def correct_from_peers(
    identity: Identity, state: FolderState, known_run: int
) -> tuple[Identity, FolderState]:
    """The identity and the folder's state, corrected by the highest run of this name that peers know.

    `known_run` is 0 if they know none.
    """
    if known_run < identity.life:
        return identity, state
    corrected = (
        FolderState.LOST
        if state in (FolderState.FIRST, FolderState.NO_IDENTITY, FolderState.DAMAGED)
        else FolderState.OLD
    )
    return identity._replace(life=known_run + 1), corrected


def describe_start(state: FolderState, clean: bool) -> str:
    """A short description of the start, for the operator."""
    if state is FolderState.KEPT:
        return "after an orderly stop" if clean else "after a crash: attempts without an outcome may have run"
    return {
        FolderState.FIRST: "a first start, or everything was lost: earlier accepted messages are unknown",
        FolderState.NO_IDENTITY: "a journal without an identity: it is kept, and its messages may have run",
        FolderState.FOREIGN: "the folder is another sender's: its messages are sent, its facts are ignored",
        FolderState.DAMAGED: "the identity could not be read: a new one was drawn",
        FolderState.LOST: "the folder was lost: earlier accepted messages are unknown",
        FolderState.OLD: "an outdated copy of the folder: its messages may have run or finished since",
    }[state]
