"""Runs tests on sockets with failing system calls (`mountgauge.lab.faults`)."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Coroutine
from typing import Any

from mountgauge.lab.faults import system_calls
from mountgauge.lab.faults.system_calls import Faults, FaultyCalls, FaultySocket

__all__ = [
    "BROKEN", "LOCAL_SHORTAGES", "UNREACHABLE", "Faults", "FaultyCalls", "FaultyLoop", "FaultySocket",
    "errno_name", "run_faulty",
]  # fmt: skip

LOCAL_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL)
UNREACHABLE = (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.ETIMEDOUT)
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)

errno_name = errno.errorcode.__getitem__


class FaultyLoop(system_calls.FaultyLoop):
    """Records the delays of scheduled calls, and the errors that reached the loop."""

    def __init__(self, faults: Faults) -> None:
        super().__init__(faults)
        self.delays: list[float] = []  # seconds, of `call_later`
        self.unhandled: list[str] = []
        self.set_exception_handler(lambda loop, context: self.unhandled.append(str(context)))

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, **options: Any
    ) -> asyncio.TimerHandle:
        self.delays.append(delay)
        return super().call_later(delay, callback, *args, **options)


def run_faulty(main: Callable[[Faults, FaultyLoop], Coroutine[Any, Any, None]], limit: float = 20.0) -> None:
    """Run a test on failing sockets. An error that reaches the event loop fails the test."""
    faults = Faults()
    loop = FaultyLoop(faults)

    async def bounded() -> None:
        async with asyncio.timeout(limit):
            await main(faults, loop)
        if loop.unhandled:
            raise AssertionError("\n".join(loop.unhandled))

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(bounded())
