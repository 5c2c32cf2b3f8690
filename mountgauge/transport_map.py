"""The transport map: discovery's list, watched."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Protocol

import orjson

from mountgauge.core.config import Address, MapUpdate, Names
from mountgauge.http1 import Client, request
from mountgauge.log import kv

log = logging.getLogger("mountgauge.transport_map")

_MOST_LIST = 8 << 20  # bytes
_SILENCE = 1.5  # s past the asked wait after which a watch that says nothing is given up
_LIST_LIMIT = 3.0  # s for a call that does not wait
_MOVING = 4.0  # s after a move in which the list of the new address must hold: no back-off meanwhile
_MOVE_LIMIT, _MOVE_PAUSE = 1.2, 0.1  # s for a call then, and between two
_AT_ONCE = 0.05  # s: a watch that is answered sooner did not wait for news
_SAME, _SAME_MOST = 0.15, 2.0  # s of rest after one that brought nothing newer at once, and at most


class MapOwner(Protocol):
    version: int

    def list_changed(self, update: MapUpdate) -> None: ...

    def list_failed(self) -> None: ...


class TransportMap:
    """Watches while told to; on a failure it reports, and the module says when to watch again."""

    def __init__(self, owner: MapOwner, address: Address, names: Names, wait: float) -> None:
        self._owner, self._address, self._names = owner, address, names
        self._wait = wait
        self._client = Client(address.host, address.port, most_body=_MOST_LIST)
        self._task: asyncio.Task[None] | None = None
        self._whole = False
        self._moved_at = -math.inf
        self._same = 0  # watches in a row that were answered at once with nothing newer

    def watch(self, on: bool) -> None:
        running = self._task is not None and not self._task.done()
        if on and not running:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._task is not None:
            self._task.cancel()

    def snapshot(self) -> None:
        self._whole = True  # the next call asks for the whole list
        self.watch(True)

    def look_now(self) -> bool:
        """Ask for the whole list at once, whatever was under way: the answer is still to come."""
        self.move(self._address)
        return False

    def move(self, address: Address) -> None:
        """Another address from now on: its whole list is asked for at once, whatever the old one did."""
        self._address = address
        self._client.close()
        self._client = Client(address.host, address.port, most_body=_MOST_LIST)
        self._whole = True
        self._moved_at = asyncio.get_running_loop().time()
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        self.watch(False)
        self._client.close()

    async def _run(self) -> None:
        while True:
            path, limit = "/registry/instances", _LIST_LIMIT
            if self._owner.version >= 0 and not self._whole:
                path += f"?index={self._owner.version}&wait={int(self._wait * 1000)}"
                limit = self._wait + _SILENCE
            moving = asyncio.get_running_loop().time() - self._moved_at < _MOVING
            limit = min(limit, _MOVE_LIMIT) if moving and self._whole else limit
            data = request("GET", path, f"{self._address.host}:{self._address.port}", {})
            index, asked_at = self._owner.version, asyncio.get_running_loop().time()
            try:
                message = await self._client.exchange(data, limit)
                if message.status != 200:
                    raise ValueError(f"status {message.status}")
                update = self._names.update(orjson.loads(message.body))
            except (OSError, ValueError) as error:  # TimeoutError is an OSError
                log.warning("watch-failed", extra=kv(error=f"{type(error).__name__}: {error}"))
                self._client.close()
                if moving and self._whole:  # the module's back-off was meant for the old address
                    await asyncio.sleep(_MOVE_PAUSE)
                    continue
                self._task = None
                self._owner.list_failed()
                return
            self._whole = False
            if update.hops or update.full:
                log.info("map", extra=kv(version=update.version, full=update.full, changed=len(update.hops)))
            self._owner.list_changed(update)
            at_once = "index=" in path and asyncio.get_running_loop().time() - asked_at < _AT_ONCE
            if at_once and update.version <= index:
                # It contradicts itself, or has gone back to an older list: asked again at once, and by all,
                # it would be kept busy with that alone. After the first rest the watch still goes on.
                await asyncio.sleep(min(_SAME * 2**self._same, _SAME_MOST))
                self._same = min(self._same + 1, 8)
            else:
                self._same = 0
