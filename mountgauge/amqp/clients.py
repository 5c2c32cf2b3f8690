"""The front for publishers over AMQP 0-9-1: turns their publishes into submissions to the core.

The outcome of a message whose channel has closed is kept: submitting the same id again returns it.
"""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable
from typing import Any

from mountgauge.access import Access
from mountgauge.amqp.codec import TooManyFieldsError
from mountgauge.amqp.connection import AmqpConnection, PendingPublish, PublisherFront
from mountgauge.connections.admission import Bounds
from mountgauge.connections.registry import Registry
from mountgauge.connections.scheduler import GOLDEN_RATIO_STEP
from mountgauge.connections.settings import default_settings
from mountgauge.core.ports import Accepted, Answer, MessageOutcome, Status, Submission
from rillspindle.interface import MessageClass

KEY_HEADER = "idempotency-key"
_MAX_UNSETTLED = 4096  # publishes of one connection without an outcome
_DISPLACEABLE_AFTER_S = 30.0  # without a publish; a new connection may then replace this one


class AmqpClients(PublisherFront):
    """Listens for publishers, submits their publishes, and returns the outcomes that the core reports."""

    def __init__(
        self,
        submit: Callable[[Submission], None],
        class_names: tuple[str, ...],
        classes: tuple[MessageClass, ...],
        max_connections: int,
        access: Access | None = None,
        heartbeat: int = 30,
        exchange: str = "mountgauge",
        registry: Registry | None = None,
        max_held_bytes: float = math.inf,
    ) -> None:
        """`class_names` and `classes` list the message classes in the same order. `max_held_bytes`: memory
        of publishes that have no outcome yet.

        Without a `registry`, default settings for `max_connections` connections apply.
        """
        registry = registry or Registry(default_settings(max_connections, max_connections))
        settings = registry.settings
        bounds = Bounds(
            min(max_connections, settings.most_amqp),
            settings.most_per_user,
            settings.displace,
            min_idle_s=_DISPLACEABLE_AFTER_S,
        )
        super().__init__(registry, bounds, settings.amqp)
        self._submit, self._class_names, self._classes = submit, class_names, classes
        self.access, self.heartbeat, self.exchange = access or Access(), heartbeat, exchange
        self._unsettled: dict[str, list[PendingPublish]] = {}
        self._max_held_bytes, self._held_bytes = max_held_bytes, 0
        self._last_phase = 0.0

    async def listen(self, host: str, port: int) -> None:
        """Accept publishers on this address."""
        self.listen_with(lambda: AmqpConnection(self), lambda received: b"", host, port)

    def heartbeat_phase(self) -> float:
        """See `PublisherFront`; steps by the golden ratio, so any number of phases is evenly spread."""
        self._last_phase = (self._last_phase + GOLDEN_RATIO_STEP) % 1.0
        return self._last_phase

    def close_idle(self) -> None:
        """Close the connections without an unsettled publish."""
        self.close_in_batches(
            lambda connection: connection.close_for_shutdown() if connection.settled else None
        )

    def close(self) -> None:
        """Close all connections."""
        self.close_in_batches(AmqpConnection.close_for_shutdown)

    # Messages

    def publish(self, pending: PendingPublish) -> None:
        """Submit a publish to the core, or settle it at once if it is invalid or above a limit."""
        self._held_bytes += pending.content.held_bytes
        if pending.connection.unsettled > _MAX_UNSETTLED or self._held_bytes > self._max_held_bytes:
            self._settle(pending, self._with_retry_delay(MessageOutcome(Status.DEFERRED)))
            return
        try:
            submission = self._build_submission(pending)
        except (ValueError, TooManyFieldsError) as error:
            self._settle(pending, MessageOutcome(Status.UNDELIVERABLE), f"UNDELIVERABLE - {error}")
            return
        self._submit(submission)

    def _settle(self, pending: PendingPublish, outcome: MessageOutcome, text: str = "") -> None:
        self._held_bytes -= pending.content.held_bytes
        pending.connection.settle(pending, outcome, text)

    def overloaded(self, connection: AmqpConnection) -> bool:
        """See `PublisherFront`; counts the deferred publishes."""
        if not self.registry.overload.should_reject(self.registry.now(), connection.woken):
            return False
        self.counts["clients", "crowded"] += 1
        return True

    def _with_retry_delay(self, end: MessageOutcome) -> MessageOutcome:
        """Add a spread retry delay to a deferral that has none, where load shedding is on."""
        if end.status is not Status.DEFERRED or end.retry_after_ms > 0 or not self.registry.sheds_load:
            return end
        return MessageOutcome(Status.DEFERRED, self.retry_delay_ms())

    def _build_submission(self, pending: PendingPublish) -> Submission:
        properties: dict[str, Any] = pending.content.properties
        name = str(properties.get("type", ""))
        if name not in self._class_names:
            raise ValueError(f"unknown class '{name[:40]}'")
        class_index = self._class_names.index(name)
        routing_key = pending.content.method.args["routing_key"]
        if not (routing_key.isascii() and routing_key.isdecimal() and len(routing_key) < 10):
            raise ValueError("the routing key is not a destination's number")
        lifetime_s = self._classes[class_index].deadline
        if (expiration := str(properties.get("expiration", ""))) != "":
            if not (expiration.isascii() and expiration.isdecimal() and len(expiration) < 10):
                raise ValueError("expiration is not a number of milliseconds")
            lifetime_s = min(lifetime_s, int(expiration) / 1000)
        # A publish without an id can't be repeated by the client, so it gets a random one.
        msg_id = _checked_token(properties.get("message_id") or secrets.token_hex(16), "message-id")
        headers = properties.get("headers") or {}
        key = headers.get(KEY_HEADER)
        if key is None and self._classes[class_index].semantics == "deduplicated":
            key = msg_id
        key = "" if key is None else _checked_token(key, KEY_HEADER)

        def on_answer(answer: Answer) -> None:
            if isinstance(answer, Accepted):
                self._unsettled.setdefault(msg_id, []).append(pending)
                self.registry.overload.count_served(self.registry.now())
            else:
                self._settle(pending, self._with_retry_delay(answer))

        return Submission(
            msg_id,
            class_index,
            lifetime_s,
            int(routing_key),
            key,
            bytes(pending.content.body),
            "amqp",
            on_answer,
            lambda: pending.channel.open,
            pending.connection.tenant,
            awaits_outcome=True,
        )

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Callable[[], None]) -> None:
        """Settle every publish of this message id; one on a closed channel gets no frame."""
        for pending in self._unsettled.pop(msg_id, ()):
            self._settle(pending, outcome)
        on_delivered()


def _checked_token(raw: object, name: str) -> str:
    """Decoded text of a message id or key; ValueError if it is not a short printable ASCII token."""
    text = raw.decode("utf-8", "replace") if isinstance(raw, bytes) else str(raw)
    if not text or len(text) > 128 or not all(33 <= ord(c) < 127 for c in text):
        raise ValueError(f"{name}: 1 to 128 printable characters")
    return text
