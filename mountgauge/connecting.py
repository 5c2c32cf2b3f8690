"""Connects to a peer, and distinguishes failures of this machine from a peer that cannot be reached."""

from __future__ import annotations

import asyncio
import errno
import ipaddress
import socket
from collections.abc import Callable
from typing import Any

from mountgauge.leased_socket import LeasedSocket, LeaseSlot

SHORTAGE_RETRY_S = 0.05  # until the next attempt after one that failed for a shortage on this machine

_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


def is_local_shortage(error: BaseException) -> bool:
    """Whether this machine lacks descriptors, ports or buffers, which says nothing about the peer."""
    return isinstance(error, OSError) and error.errno in _SHORTAGE_ERRNOS


async def connect(
    make_protocol: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    limit: float | None,
    on_shortage: Callable[[], bool] = lambda: True,
    slot: LeaseSlot | None = None,
) -> None:
    """Connect, with `limit` seconds for each attempt (None: the caller cancels). Data is written under
    the lease in `slot`.

    On a local shortage `on_shortage` is called. It may close connections that are not needed, and returns
    whether to try again after a pause; if not, the error is raised. TimeoutError means only that `limit`
    has passed: ETIMEDOUT from the system means a broken connection and raises ConnectionAbortedError.
    """
    while True:
        try:
            async with asyncio.timeout(limit) as deadline:
                await _open(make_protocol, host, port, slot or LeaseSlot())
            return
        except OSError as error:
            if isinstance(error, TimeoutError) and not deadline.expired():
                raise ConnectionAbortedError(error.errno, "the system timed the connection out") from error
            if not is_local_shortage(error) or not on_shortage():
                raise
        await asyncio.sleep(SHORTAGE_RETRY_S)


async def _open(
    make_protocol: Callable[[], asyncio.BaseProtocol], host: str, port: int, slot: LeaseSlot
) -> None:
    """Connect to the first of the host's addresses that accepts; if none does, raise the last OSError."""
    loop = asyncio.get_running_loop()
    addresses = await _addresses(host, port)
    for index, (family, address) in enumerate(addresses):
        sock = LeasedSocket(slot, family)
        try:
            await loop.sock_connect(sock, address)
            await loop.create_connection(make_protocol, sock=sock)
        except OSError:
            sock.close()
            if index + 1 == len(addresses):
                raise
        except BaseException:
            sock.close()
            raise
        else:
            return


async def _addresses(host: str, port: int) -> list[tuple[int, Any]]:
    """Return the family and address of each address of a host; an IP address is not looked up."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        results = await asyncio.get_running_loop().getaddrinfo(host, port, type=socket.SOCK_STREAM)
        return [(family, address) for family, _, _, _, address in results]
    return [(socket.AF_INET if version == 4 else socket.AF_INET6, (host, port))]
