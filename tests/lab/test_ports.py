"""Ports reserved for processes that are yet to be started: only those processes can use them."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from mountgauge.lab.ports import reserve_ports
from tests.helper import HOST

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
AGAIN = "import sys; from mountgauge.lab import ports; ports._candidates = lambda: iter([int(sys.argv[1])]); "


def test_reserved_ports_lie_outside_the_ephemeral_range() -> None:
    low, high = map(int, RANGE.read_text().split())
    found = reserve_ports(50)
    assert len(set(found)) == 50
    assert not any(low <= port <= high for port in found)


def test_another_process_cannot_reserve_a_reserved_port() -> None:
    (port,) = reserve_ports(1)
    code = AGAIN + "ports.reserve_ports(1)"
    other = subprocess.run([sys.executable, "-c", code, str(port)], capture_output=True, text=True)
    assert "NoPortError" in other.stderr


def test_a_listener_can_bind_a_reserved_port_which_refuses_connections_before() -> None:
    (port,) = reserve_ports(1)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((HOST, port), 1.0)
    with socket.create_server((HOST, port)):
        socket.create_connection((HOST, port), 1.0).close()
