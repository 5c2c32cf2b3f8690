"""The types and protocols at the boundary between the core and the peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol

from mountgauge.core.durable_time import Clocks
from mountgauge.leased_socket import SendLease
from rillspindle.interface import Entry, MessageClass, Outcome
from rillspindle.send_guard import Refusal, SendPermit


class Status(StrEnum):
    """The final state of a message."""

    DELIVERED = "delivered"
    DEFERRED = "deferred"
    UNDELIVERABLE = "undeliverable"
    FINISHED = "over"  # a next hop reported it withdrawn or expired: nothing more is owed to its client


class MessageOutcome(NamedTuple):
    """The final outcome of a message; `retry_after_ms` is when to submit it again, 0 if unspecified."""

    status: Status
    retry_after_ms: int = 0


class Accepted(NamedTuple):
    """The message was accepted: from now on the sender owes its client an outcome."""


Answer = Accepted | MessageOutcome


@dataclass(slots=True, eq=False)
class Submission:
    """A message that a client submits, and the callback that answers the client."""

    id: str
    message_class: int  # number of its message class, which reloads don't change
    remaining_s: float  # time left for delivery
    dest: int
    key: str
    body: bytes
    front: str  # the protocol front that received it, which reports its outcome
    answer: Callable[[Answer], None]
    client_waiting: Callable[[], bool]  # whether the client still waits for the answer
    tenant: str = ""  # whose quota it counts against
    awaits_outcome: bool = False  # the client's connection waits for the outcome, not only for the answer


class NextHop(NamedTuple):
    """One endpoint of the transport map."""

    id: str
    host: str
    port: int
    entry: Entry


@dataclass(slots=True, eq=False)
class CallItem:
    """One message of a call; `number` and `send_no` are assigned for the decision module."""

    number: int
    send_no: int
    id: str
    key: str
    class_name: str
    body: bytes
    expires: float
    reported: bool = False
    message_class: MessageClass | None = None  # None: unknown, so no repeat is allowed


class AttemptResult(NamedTuple):
    """The result of one delivery attempt."""

    outcome: Outcome
    finished: bool = False  # the message has its final outcome, nothing more is owed
    required_wait_s: float = 0.0  # from Retry-After
    note: int = 0  # for MOOT: 1 if all slots were in use
    stale: bool = False  # for RESET: a reused connection was reset before any answer


@dataclass(slots=True, eq=False)
class Call:
    """A request or publish that carries one message or several."""

    hop: NextHop
    items: list[CallItem]
    started: float
    times_out_at: float
    sent: list[CallItem] = field(default_factory=list)
    lease: CallPermission | None = None  # set once admitted: until when its last byte must have left
    parked: bool = False  # it has waited for a permission before looking for a connection


class CallPermission(SendLease, Protocol):
    """The lease of a call, which also gives the reason why it ended."""

    permit: SendPermit
    zone: int  # as recorded in the journal with the attempt
    refusal: Refusal | None


class CallOwner(Protocol):
    """What a next-hop side needs from the core."""

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        """Select the messages that may be sent, just before the first byte, and journal their attempts."""

    def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
        """Release the call's slot. A message without a result was not sent."""


class NextHops(Protocol):
    """Executes calls."""

    def start(self, call: Call) -> None: ...

    def cancel(self, call: Call) -> None: ...

    def close_idle(self, hop_id: str) -> None: ...


class OutcomeReporter(Protocol):
    """Reports the outcomes of accepted messages to the side that submitted them."""

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Callable[[], None]) -> None:
        """Report this outcome; `on_delivered` is called once the other side has received it."""


class TenantGate(Protocol):
    """Counts accepted messages per tenant and rejects those above its quota. Times in seconds."""

    def admit(self, tenant: str, now: float) -> float | None:
        """Return None if a message may be accepted, else after how many seconds to try again."""

    def refund(self, tenant: str) -> None:
        """Return the quota of a message that was admitted but not accepted."""

    def accepted(self, tenant: str) -> None: ...


class CallGate(Protocol):
    """Slots of fleet-wide budgets for calls: a call without one waits and sends nothing."""

    def admit(self, tenant: str) -> float:
        """Return 0 if a message of the tenant may be accepted, else after how many seconds to try again."""

    def refund(self, tenant: str) -> None:
        """Return the share of a message that was admitted but not accepted."""

    def start(self, call: Call) -> bool:
        """Whether it may look for a connection now; if not, `Sender.release` asks again."""

    def acquire(self, call: Call) -> bool:
        """Acquire a slot as the last step before the first byte; whether there was one."""

    def usable_until(self, call: Call) -> float:
        """Until when the acquired slot may be used; infinite if no budget applies."""

    def finished(self, call: Call, answered: bool) -> None:
        """The call has finished, whether it was sent or not."""


class DestinationScope(Protocol):
    """The destinations of a sender that serves only a share of them."""

    def accepts(self, destination: int) -> bool:
        """Whether messages for this destination may be accepted here."""

    def message_added(self, destination: int) -> None:
        """One more message for this destination is pending."""

    def message_removed(self, destination: int) -> None:
        """One message for this destination is no longer pending."""


class MapSource(Protocol):
    """The source of the transport map."""

    def watch(self, on: bool) -> None: ...

    def snapshot(self) -> None: ...


class Clock(Clocks, Protocol):
    """Time in seconds, and callbacks at a time of the monotonic clock."""

    def call_at(self, when: float, then: Callable[[], None]) -> None: ...
