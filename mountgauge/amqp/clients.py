"""The front for publishers over AMQP 0-9-1: their publishes become submissions for the core.

The end of a message whose channel has closed is kept: the same id, handed in again, gets that end.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Any

from mountgauge.access import Access
from mountgauge.amqp.connection import AmqpConnection, PublisherFront, Waiter
from mountgauge.connections.admission import Bounds
from mountgauge.connections.registry import Registry
from mountgauge.connections.scheduler import GOLDEN
from mountgauge.connections.settings import default_settings
from mountgauge.core.ports import Accepted, Answer, MessageOutcome, Status, Submission
from rillspindle.interface import MessageClass

KEY_HEADER = "idempotency-key"
_MOST_UNSETTLED = 4096  # publishes of one connection that wait for their end
_QUIET = 30.0  # s without a publish after which a connection may go for another's sake


class AmqpClients(PublisherFront):
    """The listening side, and the front to which the core tells each end."""

    def __init__(
        self,
        submit: Callable[[Submission], None],
        names: tuple[str, ...],
        grades: tuple[MessageClass, ...],
        most: int,
        access: Access | None = None,
        heartbeat: int = 30,
        exchange: str = "mountgauge",
        registry: Registry | None = None,
    ) -> None:
        """Without a `registry` of the operator's file, `most` connections and the usual times hold."""
        registry = registry or Registry(default_settings(most, most))
        settings = registry.settings
        bounds = Bounds(
            min(most, settings.most_amqp), settings.most_per_user, settings.displace, quiet_s=_QUIET
        )
        super().__init__(registry, bounds, settings.amqp)
        self._submit, self._names, self._grades = submit, names, grades
        self.access, self.heartbeat, self.exchange = access or Access(), heartbeat, exchange
        self._waiters: dict[str, list[Waiter]] = {}
        self._phase = 0.0

    async def listen(self, host: str, port: int) -> None:
        self.listen_with(lambda: AmqpConnection(self), lambda came: b"", host, port)

    def phase(self) -> float:
        """Of heartbeats: spread evenly, whoever connects when."""
        self._phase = (self._phase + GOLDEN) % 1.0
        return self._phase

    def close_idle(self) -> None:
        self.close_each(lambda connection: connection.end() if connection.answered else None)

    def close(self) -> None:
        self.close_each(AmqpConnection.end)

    # Messages

    def publish(self, waiter: Waiter) -> None:
        if waiter.connection.unsettled > _MOST_UNSETTLED:
            waiter.connection.settle(waiter, self._spread(MessageOutcome(Status.DEFERRED)))
            return
        try:
            submission = self._submission(waiter)
        except ValueError as error:
            waiter.connection.settle(waiter, MessageOutcome(Status.UNDELIVERABLE), f"UNDELIVERABLE - {error}")
            return
        self._submit(submission)

    def pressed(self, connection: AmqpConnection) -> bool:
        """More want to be heard than can be: answered at once, as the core could not do in time."""
        if not self.registry.overload.pressed(self.registry.now(), connection.woken):
            return False
        self.counts["clients", "crowded"] += 1
        return True

    def _spread(self, end: MessageOutcome) -> MessageOutcome:
        """No room: nobody said when there will be."""
        if end.status is not Status.DEFERRED or end.retry_after_ms > 0 or not self.registry.sheds:
            return end
        return MessageOutcome(Status.DEFERRED, self.come_again())

    def _submission(self, waiter: Waiter) -> Submission:
        properties: dict[str, Any] = waiter.content.properties
        name = str(properties.get("type", ""))
        if name not in self._names:
            raise ValueError(f"unknown class '{name[:40]}'")
        grade = self._names.index(name)
        routing_key = waiter.content.method.args["routing_key"]
        if not (routing_key.isascii() and routing_key.isdecimal() and len(routing_key) < 10):
            raise ValueError("the routing key is not a destination's number")
        left = self._grades[grade].deadline
        if (expiration := str(properties.get("expiration", ""))) != "":
            if not (expiration.isascii() and expiration.isdecimal() and len(expiration) < 10):
                raise ValueError("expiration is not a number of milliseconds")
            left = min(left, int(expiration) / 1000)
        # Without an id there is nothing to ask for again by, so the publish stands for itself alone.
        msg_id = _token(properties.get("message_id") or secrets.token_hex(16), "message-id")
        headers = properties.get("headers") or {}
        key = headers.get(KEY_HEADER)
        if key is None and self._grades[grade].semantics == "deduplicated":
            key = msg_id
        key = "" if key is None else _token(key, KEY_HEADER)

        def answer(what: Answer) -> None:
            if isinstance(what, Accepted):
                self._waiters.setdefault(msg_id, []).append(waiter)
                self.registry.overload.served(self.registry.now())
            else:
                waiter.connection.settle(waiter, self._spread(what))

        return Submission(
            msg_id,
            grade,
            left,
            int(routing_key),
            key,
            bytes(waiter.content.body),
            "amqp",
            answer,
            lambda: waiter.channel.open,
            waiter.connection.tenant,
        )

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Callable[[], None]) -> None:
        for waiter in self._waiters.pop(msg_id, ()):
            waiter.connection.settle(waiter, outcome)
        on_delivered()


def _token(raw: object, name: str) -> str:
    text = raw.decode("utf-8", "replace") if isinstance(raw, bytes) else str(raw)
    if not text or len(text) > 128 or not all(33 <= ord(c) < 127 for c in text):
        raise ValueError(f"{name}: 1 to 128 printable characters")
    return text
