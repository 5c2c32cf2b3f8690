"""Notices: report the outcome of each message that was accepted and not delivered to the platform."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from itertools import islice

import orjson

from mountgauge.connecting import SHORTAGE_RETRY_S, is_local_shortage
from mountgauge.core.config import Address
from mountgauge.core.ports import MessageOutcome, Status
from mountgauge.http1 import QUIET_S, Client, request
from mountgauge.log import kv

log = logging.getLogger("mountgauge.notices")

_MAX_BATCH_LINES = 200
# The platform answers at once, and an outcome must be reported within 0.3 s of the message's deadline: a
# connection that no longer answers may cost half of that. The timeout doubles with each consecutive failure,
# so that a slow platform is still received. The first failure says nothing about the platform, as it may be
# the connection's alone, so a new connection is tried without a pause.
_TIMEOUT_S, _MAX_TIMEOUT_S = 0.15, 1.0
_BACK_OFF_S, _MAX_BACK_OFF_S = 0.05, 1.0  # from the second consecutive failure on
_MAX_FAILURES = 8  # counted, which bounds the exponent of the two


class Notices:
    """Reports each outcome to the platform until it is acknowledged with a 204, in batches, one at a time."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._client = Client(address.host, address.port, quiet_s=QUIET_S)
        self._unacknowledged: dict[str, tuple[MessageOutcome, Callable[[], None]]] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def unacknowledged(self) -> int:
        """How many outcomes the platform has not acknowledged yet."""
        return len(self._unacknowledged)

    def report_outcome(self, msg_id: str, outcome: MessageOutcome, on_delivered: Callable[[], None]) -> None:
        """Report the outcome of a message; `on_delivered` is called once the platform has acknowledged it."""
        if outcome.status in (Status.DELIVERED, Status.FINISHED):  # the platform knows these itself
            on_delivered()
            return
        self._unacknowledged[msg_id] = (outcome, on_delivered)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: Address) -> None:
        """Send to another address: all unacknowledged notices go there at once, also those in flight."""
        self._address = address
        self.close()
        self._client = Client(address.host, address.port, quiet_s=QUIET_S)
        self._task = asyncio.get_running_loop().create_task(self._run()) if self._unacknowledged else None

    def close(self) -> None:
        """Stop sending; what is not acknowledged by then stays so."""
        if self._task is not None:
            self._task.cancel()
        self._client.close()

    async def _run(self) -> None:
        failures, max_lines = 0, _MAX_BATCH_LINES
        while self._unacknowledged:
            batch = dict(islice(self._unacknowledged.items(), max_lines))
            body = b"".join(_line(msg_id, outcome) for msg_id, (outcome, _) in batch.items())
            host = f"{self._address.host}:{self._address.port}"
            try:
                timeout_s = min(_TIMEOUT_S * 2**failures, _MAX_TIMEOUT_S)
                data = request("POST", "/v1/notices", host, {"Content-Type": "application/json"}, body)
                message = await self._client.exchange(data, timeout_s, 2 * timeout_s)
                if message.status == 400:
                    # A line that the platform rejects must not hold up the others: send single lines from now
                    # on, and move this batch to the end of the queue.
                    max_lines = 1
                    for msg_id in batch:
                        self._unacknowledged[msg_id] = self._unacknowledged.pop(msg_id)
                if message.status != 204:
                    raise ValueError(f"status {message.status}")
            except (OSError, ValueError) as error:
                text = f"{type(error).__name__}: {error}"
                log.warning("notices-failed", extra=kv(unacknowledged=self.unacknowledged, error=text))
                if is_local_shortage(error):  # nothing reached the platform: no back-off is needed
                    await asyncio.sleep(SHORTAGE_RETRY_S)
                    continue
                if failures:
                    await asyncio.sleep(min(_BACK_OFF_S * 2 ** (failures - 1), _MAX_BACK_OFF_S))
                failures = min(failures + 1, _MAX_FAILURES)
                continue
            failures = 0
            for msg_id, (_, on_delivered) in batch.items():
                self._unacknowledged.pop(msg_id, None)
                on_delivered()
        self._task = None


def _line(msg_id: str, outcome: MessageOutcome) -> bytes:
    line: dict[str, object] = {"id": msg_id, "status": outcome.status.value}
    if outcome.status is Status.DEFERRED and outcome.retry_after_ms > 0:
        line["again_ms"] = outcome.retry_after_ms
    return orjson.dumps(line) + b"\n"
