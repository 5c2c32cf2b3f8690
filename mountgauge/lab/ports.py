"""Reserves loopback ports for processes that are yet to be started.

The system may give an ephemeral port to any other process once it is closed, so concurrent runs and rigs
would take such ports from each other. The ports reserved here lie outside the ephemeral range, and a bound
socket holds each until this process exits. A listener can still bind to it, as both sockets allow the address
to be reused; another reservation cannot.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator
from itertools import chain
from pathlib import Path

from mountgauge.lab.rig.proxies import HOST

_EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_FIRST, _LAST = 10_000, 65_535  # below: ports of well-known services
_STEP = 7_919  # a prime, so that processes with adjacent ids begin far apart

_held: list[socket.socket] = []


class NoPortError(OSError):
    """All ports outside the ephemeral range are in use."""


def reserve_ports(count: int) -> list[int]:
    """Reserve `count` ports that no other run on this machine uses; NoPortError if none is free."""
    return [_reserve() for _ in range(count)]


def _reserve() -> int:
    for port in _candidates():
        with contextlib.suppress(OSError):
            _held.append(_hold(port))
            return port
    raise NoPortError("no port is free outside the ephemeral range")


def _hold(port: int) -> socket.socket:
    """A socket bound to this port; OSError if another socket is bound to it."""
    found = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        found.bind((HOST, port))
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # only now: the bind must be exclusive
    except OSError:
        found.close()
        raise
    return found


def _candidates() -> Iterator[int]:
    """The ports outside the ephemeral range; each process begins at a different one."""
    low, high = map(int, _EPHEMERAL_RANGE.read_text().split())
    found = list(chain(range(_FIRST, low), range(high + 1, _LAST + 1)))
    begin = os.getpid() * _STEP % len(found)
    yield from found[begin:]
    yield from found[:begin]
