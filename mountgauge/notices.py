"""Notices: the platform hears of the end of each message that was taken on and not delivered."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from itertools import islice

import orjson

from mountgauge.connecting import SHORTAGE_PAUSE, is_local_shortage
from mountgauge.core.config import Address
from mountgauge.core.ports import End, Status
from mountgauge.http1 import Client, request
from mountgauge.log import kv

log = logging.getLogger("mountgauge.notices")

_MOST_LINES = 200
# The answer comes at once, and 0.3 s past a message's time its end must be known: a connection that has
# fallen silent may cost half of that. Each failure in a row is given twice as long: what is slow answers in
# the end. The first one says nothing of the platform, so a new connection is tried at once.
_LIMIT, _LIMIT_MOST = 0.15, 1.0  # s
_BACK_OFF, _BACK_OFF_MOST = 0.05, 1.0  # s, from the second failure in a row on


class Notices:
    """Tells each end until the platform has answered 204."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._client = Client(address.host, address.port)
        self._owed: dict[str, tuple[End, Callable[[], None]]] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def unacknowledged(self) -> int:
        return len(self._owed)

    def tell(self, msg_id: str, end: End, told: Callable[[], None]) -> None:
        if end.status in (Status.DELIVERED, Status.OVER):  # the platform knows that itself
            told()
            return
        self._owed[msg_id] = (end, told)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: Address) -> None:
        """Another address from now on: what is unacknowledged goes there at once, also what was under way."""
        self._address = address
        self.close()
        self._client = Client(address.host, address.port)
        self._task = asyncio.get_running_loop().create_task(self._run()) if self._owed else None

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._client.close()

    async def _run(self) -> None:
        failures, most = 0, _MOST_LINES
        while self._owed:
            batch = dict(islice(self._owed.items(), most))
            body = b"".join(_line(msg_id, end) for msg_id, (end, _) in batch.items())
            host = f"{self._address.host}:{self._address.port}"
            try:
                limit = min(_LIMIT * 2**failures, _LIMIT_MOST)
                data = request("POST", "/v1/notices", host, {"Content-Type": "application/json"}, body)
                message = await self._client.exchange(data, limit, 2 * limit)
                if message.status == 400:
                    # One line that cannot be read must not hold up the others: singly, and last in turn.
                    most = 1
                    for msg_id in batch:
                        self._owed[msg_id] = self._owed.pop(msg_id)
                if message.status != 204:
                    raise ValueError(f"status {message.status}")
            except (OSError, ValueError) as error:
                what = f"{type(error).__name__}: {error}"
                log.warning("notices-failed", extra=kv(unacknowledged=len(self._owed), error=what))
                if is_local_shortage(error):  # the platform was not asked: it need not be spared
                    await asyncio.sleep(SHORTAGE_PAUSE)
                    continue
                if failures:
                    await asyncio.sleep(min(_BACK_OFF * 2 ** (failures - 1), _BACK_OFF_MOST))
                failures = min(failures + 1, 8)
                continue
            failures = 0
            for msg_id, (_, told) in batch.items():
                self._owed.pop(msg_id, None)
                told()
        self._task = None


def _line(msg_id: str, end: End) -> bytes:
    line: dict[str, object] = {"id": msg_id, "status": end.status.value}
    if end.status is Status.DEFERRED and end.again_ms > 0:
        line["again_ms"] = end.again_ms
    return orjson.dumps(line) + b"\n"
