"""Connecting to a peer, where what fails on this machine is told apart from a peer that is not there."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

SHORTAGE_PAUSE = 0.05  # s until a connection that found this machine short of something is tried again

_SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


def is_local_shortage(error: BaseException) -> bool:
    """Whether this machine lacks descriptors, ports or buffers: it says nothing of the peer."""
    return isinstance(error, OSError) and error.errno in _SHORTAGES


async def connect(
    make: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    limit: float | None,
    on_shortage: Callable[[], bool] = lambda: True,
) -> None:
    """Connect, each try within `limit` (s); None: the caller gives it up.

    A local shortage is told to `on_shortage`, which may close what it can do without and says whether to try
    again after a pause; else its error is raised. TimeoutError means that nothing came in time: where the
    system reports ETIMEDOUT, that is a connection that broke.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            async with asyncio.timeout(limit) as within:
                await loop.create_connection(make, host, port)
            return
        except OSError as error:
            if isinstance(error, TimeoutError) and not within.expired():
                raise ConnectionAbortedError(error.errno, "the system gave the connection up") from error
            if not is_local_shortage(error) or not on_shortage():
                raise
        await asyncio.sleep(SHORTAGE_PAUSE)
