"""State shared by the modules of the gossip protocol. No I/O, no clock: callers pass times in seconds."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from mountgauge.tenants.bounds import rounds_per_peer
from mountgauge.tenants.counts import Counts, Mark
from mountgauge.tenants.members import Members, Timing
from mountgauge.tenants.wire import RefusedDatagramError, Window

UdpAddress = tuple[str, int]  # IP address and port
OutgoingDatagrams = list[tuple[bytes, UdpAddress]]

MAX_DATAGRAMS_PER_ROUND = 64
STARTING = "starting"  # reason of a sync gap: the other members have not reported yet
FULL = 4  # recovery phase of a member at full service
_MAX_SENT_RECORDS = 1024


@dataclass(frozen=True, slots=True)
class Plan:
    """The gossip settings of an operator's file. Times in seconds."""

    peers: tuple[UdpAddress, ...]
    interval: float
    fanout: int
    timing: Timing
    flush: float


class Identity(NamedTuple):
    """A member's name, and its incarnation, the number of starts of it, and the process run."""

    name: str
    incarnation: int
    boot: int
    run: int


class Span(NamedTuple):
    """Changes of an incarnation after one version, up to another, and when they were sent."""

    after: int
    upto: int
    at: float


class Repair(NamedTuple):
    """The progress of sending an incarnation again: the version sent up to, and when."""

    upto: int
    at: float


class Mismatch(NamedTuple):
    """A contact's mark of an incarnation: the same version as here, another checksum; and since when."""

    mark: Mark
    since: float


@dataclass(slots=True, eq=False)
class Contact:
    """The state of the exchange with one incarnation of another member."""

    incarnation: int = 0
    windows: list[Window] = field(default_factory=list)
    source_address: UdpAddress | None = None  # where its datagrams come from
    listed_address: UdpAddress | None = None  # the address of the file that reaches it
    rtt: float = 0.0  # s, smoothed; 0 before the first echo
    last_received: tuple[int, int, float] = (0, 0, 0.0)  # run and sequence number, and when
    marks: dict[int, Mark] = field(default_factory=dict)  # what it holds of each incarnation
    phase: int = FULL  # of its recovery, by its last datagram
    reported_at: dict[int, float] = field(default_factory=dict)  # its last report on each incarnation
    in_flight: dict[int, list[Span]] = field(default_factory=dict)  # by incarnation
    repairs: dict[int, Repair] = field(default_factory=dict)  # by incarnation
    mismatches: dict[int, Mismatch] = field(default_factory=dict)  # by incarnation
    tombs: set[int] = field(default_factory=set)  # incarnations folded here that it still reports
    past: tuple[int, int] = (0, 0)
    past_ahead_since: float = 0.0  # since when its past is ahead of the one held here


class FoldedIncarnationError(RefusedDatagramError):
    """A datagram of an incarnation that is folded here, of which its sender has to be notified."""

    def __init__(self, contact: Contact) -> None:
        super().__init__("folded")
        self.contact = contact


class SentLog:
    """Address and time of the last datagrams sent, by sequence number."""

    def __init__(self) -> None:
        self._sent: OrderedDict[int, tuple[UdpAddress, float]] = OrderedDict()

    def add(self, seq: int, address: UdpAddress, now: float) -> None:
        self._sent[seq] = address, now
        if len(self._sent) > _MAX_SENT_RECORDS:
            self._sent.popitem(last=False)

    def get(self, seq: int) -> tuple[UdpAddress, float] | None:
        return self._sent.get(seq)

    def clear(self) -> None:
        self._sent.clear()


class State:
    """One member's state. The owner must start a new incarnation if `new_incarnation_reason` is not empty."""

    def __init__(self, me: Identity, plan: Plan, counts: Counts, now: float, rng: random.Random) -> None:
        self.me, self.plan, self.counts, self.rng = me, plan, counts, rng
        self.members = Members(me.incarnation, me.name, plan.timing, now)
        self.members.me.boot = me.boot
        self.contacts: dict[int, Contact] = {}
        self.sent_log = SentLog()
        self.started = now
        # Whether own counts may be published. An incarnation restored from a file must first receive what
        # the other members hold of it.
        self.publishing = me.boot <= 1
        self.outdated = False  # the file was an old copy: other members held more of its counts
        self.reset_on_new_incarnation = False  # a new incarnation starts without anything held before
        self.new_incarnation_reason = ""
        self.counts_uncertain = False  # counts of this member may be lost, or two messages counted as one
        self.replicas_changed = False  # the past, or counts of others that only replicas hold, have changed
        self.leaving = False
        self.datagram_allowance = MAX_DATAGRAMS_PER_ROUND  # datagrams that this round may still send

    @property
    def propagation_time(self) -> float:
        """Seconds within which the other members receive a change: three attempts, and the one-way delay."""
        members = len(self.members.present)
        one_way = max((c.rtt for c in self.contacts.values()), default=0.0) / 2
        attempts = 3 * rounds_per_peer(members, self.plan.fanout) * self.plan.interval
        return min(self.plan.timing.gone, self.plan.flush + attempts + one_way)

    def request_new_incarnation(self, why: str, outdated: bool = False) -> None:
        """Require the owner to start a new incarnation: no more counts may be added to the current one."""
        if not self.new_incarnation_reason:
            self.new_incarnation_reason, self.outdated = why, self.outdated or outdated
            self.counts_uncertain |= self.publishing

    def handle_folded_self(self, exact: bool) -> None:
        """The other members have folded this member's incarnation: it rejoins as a new member."""
        if not self.new_incarnation_reason:
            self.new_incarnation_reason = "the fleet has folded this incarnation"
            self.counts_uncertain |= not exact
            self.reset_on_new_incarnation = True
