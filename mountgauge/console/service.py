"""Executes the console's calls on the running sender: its front, its core and its state folder."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

from mountgauge.clients import Clients
from mountgauge.connections.registry import Registry
from mountgauge.console.calls import Call, Kind, Reply
from mountgauge.console.state import LameDuck, decode_detached, encode_detached
from mountgauge.core.files import Files, SystemFiles
from mountgauge.core.sender import Sender
from mountgauge.log import kv

log = logging.getLogger("mountgauge.console")

_MISSING = (0, 0)  # as the size and time of a file that does not exist
_DRAIN_CHECK_INTERVAL_S = 0.05  # while waiting for the drain to end


class Service:
    """Executes the operators' calls and stores the detached endpoints, which survive a restart."""

    def __init__(
        self,
        sender: Sender,
        front: Clients | None,
        registry: Registry,
        folder: Path,
        ready: Callable[[], bool],
        files: Files | None = None,
    ) -> None:
        self._files = files or SystemFiles()
        self.sender, self.front, self.registry, self.ready = sender, front, registry, ready
        self.path = folder / "detached"
        self._temp_path = folder / f"detached.{os.getpid()}"
        self.lame = LameDuck()
        self._last_stat: tuple[int, int] | None = None  # the file's size and time when last read or written
        self._close_timer: asyncio.TimerHandle | None = None

    # The detached endpoints, stored in the state folder for the next process

    def reload_detached(self) -> None:
        """Read the file again if another process of this sender has changed it. If that fails, the set in
        memory stays in force.
        """
        try:
            stat = self.path.stat()
            stat_key = (stat.st_size, stat.st_mtime_ns)
            if stat_key == self._last_stat:
                return
            content = self._files.read(self.path)
        except FileNotFoundError:
            self._restore_file()
            return
        except OSError as error:
            log.warning("detached-not-read", extra=kv(error=error))
            return
        self._last_stat = stat_key
        try:
            self.sender.set_detached(decode_detached(content))
        except ValueError as error:
            log.error("detached-not-read", extra=kv(error=error, kept=",".join(sorted(self.sender.detached))))

    def _restore_file(self) -> None:
        """Write the file again if it is missing. No process removes it: either no endpoint was detached yet
        or the folder was emptied, which must not attach the endpoints again.
        """
        previous, self._last_stat = self._last_stat, _MISSING
        if not self.sender.detached:
            return
        try:
            self._write(set(self.sender.detached))
        except OSError as error:
            if previous != _MISSING:
                log.error("detached-not-kept", extra=kv(error=error))

    def _write(self, detached: set[str]) -> None:
        self._temp_path.write_bytes(encode_detached(detached))
        os.replace(self._temp_path, self.path)
        stat = self.path.stat()
        self._last_stat = (stat.st_size, stat.st_mtime_ns)
        self.sender.set_detached(detached)

    # Calls

    async def execute(self, call: Call) -> Reply:
        """Execute one call and return its reply."""
        if call.kind == Kind.READY:
            return Reply(200, "taking clients") if self.ready() else Reply(503, "not taking clients")
        if call.kind in (Kind.DETACH, Kind.ATTACH):
            if call.endpoint_id not in self.sender.ever_listed:
                return Reply(404, f"endpoint {call.endpoint_id[:80]} was never listed")
            self.reload_detached()
            detached = set(self.sender.detached)
            (detached.add if call.kind == Kind.DETACH else detached.discard)(call.endpoint_id)
            self._write(detached)
            log.info("endpoint", extra=kv(call=call.kind, who=call.endpoint_id))
            return Reply(200, f"{call.endpoint_id} {'detached' if call.kind == Kind.DETACH else 'attached'}")
        loop = asyncio.get_running_loop()
        if self.front is None:
            return Reply(404, "no RESP2 front: a lame duck is not offered for AMQP alone")
        if call.kind == Kind.LAME_ON:
            self.front.lame_duck = True
            if self._close_timer is None:
                self._close_timer = loop.call_at(self.lame.turn_on(loop.time()), self._close_idle_clients)
            log.info("lame-duck", extra=kv(on=True, open=self.registry.open))
            return Reply(200, "lame duck: PING says no, clients are let go")
        if not self.front.lame_duck:
            return Reply(200, "not a lame duck")
        asked_at = loop.time()
        while (reply := self.lame.drain_result(asked_at, loop.time(), self.registry.open)) is None:
            self._close_idle_clients()
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
        if reply.ok:
            self.front.lame_duck = self.front.closing_after_answers = False
            if self._close_timer is not None:
                self._close_timer.cancel()
                self._close_timer = None
        log.info("lame-duck", extra=kv(on=not reply.ok, open=self.registry.open))
        return reply

    def _close_idle_clients(self) -> None:
        if self.front is not None and self.front.lame_duck and not self.front.closing_after_answers:
            self.front.closing_after_answers = True
            self.front.close_idle()
