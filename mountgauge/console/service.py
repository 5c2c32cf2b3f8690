"""Carries the console's calls out on the running sender: its front, its core and its state folder."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

from mountgauge.clients import Clients
from mountgauge.connections.registry import Registry
from mountgauge.console.calls import Call, Kind, Reply
from mountgauge.console.state import LameDuck, detached_read, encode_detached
from mountgauge.core.files import Files, SystemFiles
from mountgauge.core.sender import Sender
from mountgauge.log import kv

log = logging.getLogger("mountgauge.console")

_NO_FILE = (0, 0)  # its size and time
_LOOK_EVERY = 0.05  # s, while waiting for the drain to end


class Service:
    """Carries the operators' calls out, and keeps what has to outlast a restart."""

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
        self._own = folder / f"detached.{os.getpid()}"
        self.lame = LameDuck()
        self._seen: tuple[int, int] | None = None  # the file's size and time, as last read
        self._letting_go: asyncio.TimerHandle | None = None

    # The detached endpoints, kept in the state folder for the process that comes next

    def reload_detached(self) -> None:
        """Read the file again where another process of this sender has changed it. While that fails, what is
        known holds.
        """
        try:
            stat = self.path.stat()
            seen = (stat.st_size, stat.st_mtime_ns)
            if seen == self._seen:
                return
            content = self._files.read(self.path)
        except FileNotFoundError:
            self._write_anew()
            return
        except OSError as error:
            log.warning("detached-not-read", extra=kv(error=error))
            return
        self._seen = seen
        try:
            self.sender.maintain(detached_read(content))
        except ValueError as error:
            log.error("detached-not-read", extra=kv(error=error, kept=",".join(sorted(self.sender.detached))))

    def _write_anew(self) -> None:
        """No process removes the file: where it is missing, nobody was taken out yet, or the folder was
        emptied, which puts nobody back.
        """
        before, self._seen = self._seen, _NO_FILE
        if not self.sender.detached:
            return
        try:
            self._write(set(self.sender.detached))
        except OSError as error:
            if before != _NO_FILE:
                log.error("detached-not-kept", extra=kv(error=error))

    def _write(self, detached: set[str]) -> None:
        self._own.write_bytes(encode_detached(detached))
        os.replace(self._own, self.path)
        stat = self.path.stat()
        self._seen = (stat.st_size, stat.st_mtime_ns)
        self.sender.maintain(detached)

    # The calls

    async def execute(self, call: Call) -> Reply:
        if call.kind == Kind.READY:
            return Reply(200, "taking clients") if self.ready() else Reply(503, "not taking clients")
        if call.kind in (Kind.DETACH, Kind.ATTACH):
            if call.who not in self.sender.ever:
                return Reply(404, f"endpoint {call.who[:80]} was never listed")
            self.reload_detached()
            detached = set(self.sender.detached)
            (detached.add if call.kind == Kind.DETACH else detached.discard)(call.who)
            self._write(detached)
            log.info("endpoint", extra=kv(call=call.kind, who=call.who))
            return Reply(200, f"{call.who} {'detached' if call.kind == Kind.DETACH else 'attached'}")
        loop = asyncio.get_running_loop()
        if self.front is None:
            return Reply(404, "no RESP2 front: a lame duck is not offered for AMQP alone")
        if call.kind == Kind.LAME_ON:
            self.front.lame_duck = True
            if self._letting_go is None:
                self._letting_go = loop.call_at(self.lame.turn_on(loop.time()), self._let_go)
            log.info("lame-duck", extra=kv(on=True, open=self.registry.open))
            return Reply(200, "lame duck: PING says no, clients are let go")
        if not self.front.lame_duck:
            return Reply(200, "not a lame duck")
        asked = loop.time()
        while (reply := self.lame.off(asked, loop.time(), self.registry.open)) is None:
            self._let_go()
            await asyncio.sleep(_LOOK_EVERY)
        if reply.yes:
            self.front.lame_duck = self.front.closing_after_answers = False
            if self._letting_go is not None:
                self._letting_go.cancel()
                self._letting_go = None
        log.info("lame-duck", extra=kv(on=not reply.yes, open=self.registry.open))
        return reply

    def _let_go(self) -> None:
        if self.front is not None and self.front.lame_duck and not self.front.closing_after_answers:
            self.front.closing_after_answers = True
            self.front.close_idle()
