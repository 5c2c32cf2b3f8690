"""Connecting to a peer, where what fails on this machine is told apart from a peer that is not there."""

from __future__ import annotations

import asyncio
import errno
import ipaddress
import socket
from collections.abc import Callable
from typing import Any

from mountgauge.leased_socket import LeasedSocket, LeaseSlot

SHORTAGE_RETRY_S = 0.05  # s until a connection that found this machine short of something is tried again

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
    slot: LeaseSlot | None = None,
) -> None:
    """Connect, each try within `limit` (s); None: the caller gives it up. What is written is under the lease
    in `slot`.

    A local shortage is told to `on_shortage`, which may close what it can do without and says whether to try
    again after a pause; else its error is raised. TimeoutError means that nothing came in time: where the
    system reports ETIMEDOUT, that is a connection that broke.
    """
    while True:
        try:
            async with asyncio.timeout(limit) as within:
                await _open(make, host, port, slot or LeaseSlot())
            return
        except OSError as error:
            if isinstance(error, TimeoutError) and not within.expired():
                raise ConnectionAbortedError(error.errno, "the system gave the connection up") from error
            if not is_local_shortage(error) or not on_shortage():
                raise
        await asyncio.sleep(SHORTAGE_RETRY_S)


async def _open(make: Callable[[], asyncio.BaseProtocol], host: str, port: int, slot: LeaseSlot) -> None:
    """To the first of the host's addresses that takes the connection; OSError of the last one where none."""
    loop = asyncio.get_running_loop()
    addresses = await _addresses(host, port)
    for place, (family, address) in enumerate(addresses):
        sock = LeasedSocket(slot, family)
        try:
            await loop.sock_connect(sock, address)
            await loop.create_connection(make, sock=sock)
        except OSError:
            sock.close()
            if place + 1 == len(addresses):
                raise
        except BaseException:
            sock.close()
            raise
        else:
            return


async def _addresses(host: str, port: int) -> list[tuple[int, Any]]:
    """Family and address of each place that the host's name stands for; a number stands for itself."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        found = await asyncio.get_running_loop().getaddrinfo(host, port, type=socket.SOCK_STREAM)
        return [(family, address) for family, _, _, _, address in found]
    return [(socket.AF_INET if version == 4 else socket.AF_INET6, (host, port))]
