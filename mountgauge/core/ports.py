"""What crosses the boundary between the core and the peers: plain records and small Protocols."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol

from mountgauge.core.durable_time import Clocks
from mountgauge.leased_socket import SendLease
from rillspindle.interface import Entry, Outcome
from rillspindle.send_guard import Refusal, SendPermit


class Status(StrEnum):
    """How a message ended."""

    DELIVERED = "delivered"
    DEFERRED = "deferred"
    UNDELIVERABLE = "undeliverable"
    FINISHED = "over"  # a next hop knows that it was withdrawn or is out of time: nothing more is owed


class MessageOutcome(NamedTuple):
    """How a message ended; `retry_after_ms` says when to hand it in again, 0: not said."""

    status: Status
    retry_after_ms: int = 0


class Accepted(NamedTuple):
    """The sender owes this message its end from now on."""


Answer = Accepted | MessageOutcome


@dataclass(slots=True, eq=False)
class Submission:
    """A message that a client hands in, and the way back to that client."""

    id: str
    grade: int
    remaining_s: float  # s that it may still be delivered
    dest: int
    key: str
    body: bytes
    front: str
    answer: Callable[[Answer], None]
    client_waiting: Callable[[], bool]  # whether the client still waits for the answer
    tenant: str = ""  # to whom it is counted


class NextHop(NamedTuple):
    """One line of the transport map."""

    id: str
    host: str
    port: int
    entry: Entry


@dataclass(slots=True, eq=False)
class CallItem:
    """One message of a call; `number` and `send_no` are the module's."""

    number: int
    send_no: int
    id: str
    key: str
    grade: str
    body: bytes
    expires: float
    reported: bool = False


class AttemptResult(NamedTuple):
    """How one delivery attempt went."""

    outcome: Outcome
    finished: bool = False  # the message has ended, nothing more is owed
    required_wait_s: float = 0.0  # s, told to wait
    note: int = 0  # for MOOT: 1 where all slots were taken
    stale: bool = False  # for RESET: on a kept connection, with nothing answered


@dataclass(slots=True, eq=False)
class Call:
    """A delivery attempt for one message, or for several that travel together."""

    hop: NextHop
    items: list[CallItem]
    started: float
    times_out_at: float
    sent: list[CallItem] = field(default_factory=list)
    lease: CallPermission | None = None  # once it was let through: until when its last byte must have left
    parked: bool = False  # it has waited before it looked for its connection


class CallPermission(SendLease, Protocol):
    """The lease of a call, which says why it ended."""

    permit: SendPermit
    zone: int  # with which the attempt is on record
    refusal: Refusal | None


class CallOwner(Protocol):
    """What a next-hop side asks of the core."""

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        """Just before the first byte: which of these messages may go; their attempts are journalled."""

    def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
        """The call holds its slot no longer. A message without a result was not sent."""


class NextHops(Protocol):
    """Who carries calls out."""

    def start(self, call: Call) -> None: ...

    def cancel(self, call: Call) -> None: ...

    def close_idle(self, hop_id: str) -> None: ...


class OutcomeReporter(Protocol):
    """Where the end of a taken message is told."""

    def report_outcome(self, msg_id: str, end: MessageOutcome, told: Callable[[], None]) -> None: ...


class TenantGate(Protocol):
    """Counts what is taken on for each tenant, and turns away what is past its quota. Times in s."""

    def admit(self, tenant: str, now: float) -> float | None:
        """None: it may be taken on. Else in how many seconds to come again."""

    def give_back(self, tenant: str) -> None:
        """What was admitted was not taken on."""

    def accepted(self, tenant: str) -> None: ...


class CallGate(Protocol):
    """Places of fleet-wide budgets for calls: a call without one waits, and never sends a byte."""

    def admit(self, tenant: str) -> float:
        """0: a message of the tenant may be taken on. Else s after which to come again."""

    def give_back(self, tenant: str) -> None:
        """What was admitted was not taken on."""

    def start(self, call: Call) -> bool:
        """Whether it may look for its connection now; else it is asked again at `Sender.release`."""

    def take(self, call: Call) -> bool:
        """In the last step before its first byte: whether it has its place."""

    def until(self, call: Call) -> float:
        """Until when the place that it has just taken may be used; infinite where no budget binds it."""

    def finished(self, call: Call, answered: bool) -> None:
        """It is over, whether it was sent or not."""


class DestinationScope(Protocol):
    """Which destinations are this sender's, where it holds a part of them."""

    def accepts(self, destination: int) -> bool:
        """Whether a message for it may be taken on here."""

    def message_added(self, destination: int) -> None:
        """A message for it is held from now on."""

    def message_removed(self, destination: int) -> None:
        """A message for it is held no longer."""


class MapSource(Protocol):
    """Where the transport map comes from."""

    def watch(self, on: bool) -> None: ...

    def snapshot(self) -> None: ...


class Clock(Clocks, Protocol):
    """Time in s, and calls at a time of the monotonic clock."""

    def call_at(self, when: float, then: Callable[[], None]) -> None: ...
