"""The messages between members about budgets. Plain records; `wire` encodes them into datagrams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class AskLine(NamedTuple):
    """One budget of an ask: all slices that the holder has or wants, its total and its demand."""

    budget: str
    number: int  # of the ask; counts up within a run and budget
    claims: int  # bit mask of slices
    hold: float  # s, how long the voter is asked to keep the grant
    whole: float  # the budget's total in the holder's file
    wants: float  # slices that the holder could use
    weight: float


@dataclass(frozen=True, slots=True)
class Ask:
    """A holder's ask to a voter, for all budgets at once."""

    name: str
    run: int
    epoch: int  # whose voters the holder counts
    file_epoch: int  # epoch of the holder's file
    lists: int  # hash of the members at `file_epoch`
    lines: tuple[AskLine, ...]
    ended: tuple[str, ...] = ()  # removed members that are certain to have ended
    leaving: bool = False  # the process is about to stop


class AnswerLine(NamedTuple):
    """A voter's answer for one budget."""

    budget: str
    number: int  # of the ask
    granted: int  # bit mask of slices, to this holder
    taken: int  # bit mask of slices, to other holders
    whole: float  # the smallest total of the voter's file and of the files of members that asked it
    target: int  # slices that the holder should have, as the voter computes it
    turn: tuple[int, int]  # the holder's index among those below their target, and their number
    silent_s: float  # how long the voter still grants nothing


@dataclass(frozen=True, slots=True)
class Answer:
    """A voter's answer to one ask."""

    name: str
    to: str
    to_run: int
    file_epoch: int
    lists: int
    lines: tuple[AnswerLine, ...]
    ended: tuple[str, ...] = ()
    refused: str = ""  # why nothing was granted, for the holder's log
