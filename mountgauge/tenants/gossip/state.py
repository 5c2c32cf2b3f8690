"""What the modules of the gossip protocol share: who this member is, what it knows of the others, and what
its owner reads of it. No I/O, no clock: times in seconds are handed in.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from mountgauge.tenants.bounds import rounds
from mountgauge.tenants.counts import Counts, Mark
from mountgauge.tenants.members import Members, Timing
from mountgauge.tenants.wire import RefusedDatagramError, Window

UdpAddress = tuple[str, int]  # an address
OutgoingDatagrams = list[tuple[bytes, UdpAddress]]

DATAGRAMS_A_ROUND = 64  # that one interval may send in all
STARTING = "starting"  # why a member's counts are not joined yet: it has not heard the others
FULL = 4  # the phase of a member at full service
_ASKED = 1024  # datagrams of which it is remembered where they went


@dataclass(frozen=True, slots=True)
class Plan:
    """What an operator's file says of the fleet. Times in seconds."""

    peers: tuple[UdpAddress, ...]
    interval: float
    fanout: int
    timing: Timing
    flush: float


class Identity(NamedTuple):
    """Who a member is: its name, and the life, start and process that it counts under."""

    name: str
    life: int
    boot: int
    run: int


class Span(NamedTuple):
    """Changes of a life after one version, up to another; and when they were sent."""

    after: int
    upto: int
    at: float


@dataclass(slots=True, eq=False)
class Contact:
    """What a member knows of its exchange with another."""

    life: int = 0
    windows: list[Window] = field(default_factory=list)
    source: UdpAddress | None = None  # where its datagrams come from
    listed: UdpAddress | None = None  # the file's address behind which it was found
    rtt: float = 0.0  # s, smoothed; 0 before the first echo
    newest: tuple[int, int, float] = (0, 0, 0.0)  # its run, its seq, when
    marks: dict[int, Mark] = field(default_factory=dict)  # how far it has come with each life
    phase: int = FULL  # of its recovery, as it last said
    said: dict[int, float] = field(default_factory=dict)  # when it last spoke of each life
    flight: dict[int, list[Span]] = field(default_factory=dict)  # spans of lives that are under way
    mending: dict[int, tuple[int, float]] = field(default_factory=dict)  # up to where, and when
    odd: dict[int, tuple[Mark, float]] = field(default_factory=dict)  # at one version, but not the same
    tombs: set[int] = field(default_factory=set)  # folded lives that it still speaks of
    past: tuple[int, int] = (0, 0)
    past_since: float = 0.0  # since when its past is ahead of one's own


class FoldedLifeError(RefusedDatagramError):
    """A datagram of a life that is folded here: its sender has to be told so."""

    def __init__(self, contact: Contact) -> None:
        super().__init__("folded")
        self.contact = contact


class SentLog:
    """Where and when the last datagrams were sent, by number."""

    def __init__(self) -> None:
        self._sent: OrderedDict[int, tuple[UdpAddress, float]] = OrderedDict()

    def add(self, seq: int, place: UdpAddress, now: float) -> None:
        self._sent[seq] = place, now
        if len(self._sent) > _ASKED:
            self._sent.popitem(last=False)

    def get(self, seq: int) -> tuple[UdpAddress, float] | None:
        return self._sent.get(seq)

    def clear(self) -> None:
        self._sent.clear()


class State:
    """What one member knows. `new_incarnation_reason` says why it needs a new incarnation, if it does."""

    def __init__(self, me: Identity, plan: Plan, counts: Counts, now: float, rng: random.Random) -> None:
        self.me, self.plan, self.counts, self.rng = me, plan, counts, rng
        self.members = Members(me.life, me.name, plan.timing, now)
        self.members.me.boot = me.boot
        self.contacts: dict[int, Contact] = {}
        self.sent_log = SentLog()
        self.started = now
        # Whether own counts may be published: a life from a file must first hear what others know of it.
        self.open = me.boot <= 1
        self.outdated = False  # others knew of more than the file had: an old copy
        self.anew = False  # a new incarnation also lets go of all that it knew
        self.new_incarnation_reason = ""
        self.doubtful = False  # what was counted under this name may be in part counted once for twice
        self.replicas_changed = (
            False  # something of other lives or the past that only replicas hold has changed
        )
        self.leaving = False
        self.left_this_round = DATAGRAMS_A_ROUND  # datagrams that may still be sent

    @property
    def settle(self) -> float:
        """Seconds in which the others surely hear of a change: three tries, and the way."""
        members = len(self.members.present)
        way = max((c.rtt for c in self.contacts.values()), default=0.0) / 2
        tries = 3 * rounds(members, self.plan.fanout) * self.plan.interval
        return min(self.plan.timing.gone, self.plan.flush + tries + way)

    def want_new_life(self, why: str, outdated: bool = False) -> None:
        """This life can't be counted on under: the owner has to draw another."""
        if not self.new_incarnation_reason:
            self.new_incarnation_reason, self.outdated = why, self.outdated or outdated
            self.doubtful |= self.open

    def retired(self, exact: bool) -> None:
        """The others have folded this member's life: it comes back as a newcomer."""
        if not self.new_incarnation_reason:
            self.new_incarnation_reason = "the fleet has folded this life"
            self.doubtful |= not exact
            self.anew = True
