"""When the bytes of a call left, if the process was stopped around their write: as of the kernel's word."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest

from mountgauge.core.call_lease import CallLease
from mountgauge.core.ports import Call, NextHop
from mountgauge.leased_socket import LeasedSocket, LeaseSlot
from rillspindle.interface import Entry
from rillspindle.send_guard import EndpointState, SendPermit

STOPPED_S = 0.3
ROUNDING_S = 0.02  # of the kernel's times


class Exchange:
    """A leased socket that is connected to a peer, and the lease of a call on it."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            self.slot = LeaseSlot()
            self.socket = LeasedSocket(self.slot)
            self.socket.setblocking(True)
            self.socket.connect(server.getsockname())
            self.socket.setblocking(False)
            self.peer, _ = server.accept()
        self.sent_at: list[float] = []
        call = Call(NextHop("h", "127.0.0.1", 1, Entry(2, 0.0, 0.0, 0, 7, 0, b"h")), [], 0.0, 0.0)
        permit = SendPermit(time.monotonic() + 60)
        self.lease = CallLease(
            call, permit, 0, lambda _: EndpointState(True), time.monotonic,
            lambda _call, _begun, _complete, at: self.sent_at.append(at),
        )  # fmt: skip

    def send(self, data: bytes) -> None:
        self.slot.arm(self.lease, len(data))
        assert self.socket.send(data) == len(data)

    def close(self) -> None:
        self.socket.close()
        self.peer.close()


@pytest.fixture
def exchange() -> Iterator[Exchange]:
    one = Exchange()
    yield one
    one.close()


def test_bytes_count_as_sent_before_a_stop_that_follows_their_write(
    exchange: Exchange, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The run-time check counted a call as late that its endpoint had received in time."""
    sent = LeaseSlot.sent

    def stop_and_record(slot: LeaseSlot, *arguments: Any) -> None:
        time.sleep(STOPPED_S)
        sent(slot, *arguments)

    monkeypatch.setattr(LeaseSlot, "sent", stop_and_record)
    exchange.send(b"call")
    (at,) = exchange.sent_at
    assert time.monotonic() - at >= STOPPED_S - ROUNDING_S


def test_bytes_count_as_sent_after_a_stop_that_precedes_their_write(
    exchange: Exchange, monkeypatch: pytest.MonkeyPatch
) -> None:
    exchange.send(b"an earlier call, which the kernel remembers")
    check = LeaseSlot.check

    def check_and_stop(slot: LeaseSlot) -> None:
        check(slot)
        time.sleep(STOPPED_S)

    monkeypatch.setattr(LeaseSlot, "check", check_and_stop)
    began = time.monotonic()
    exchange.send(b"call")
    assert exchange.sent_at[-1] >= began + STOPPED_S - ROUNDING_S


def test_bytes_that_no_check_preceded_count_as_sent_when_they_left(exchange: Exchange) -> None:
    time.sleep(STOPPED_S)
    began = time.monotonic()
    exchange.slot.arm(exchange.lease, 4)
    exchange.slot.sent(4, lambda: 0.0)
    assert exchange.sent_at[-1] >= began


def test_bytes_that_the_kernel_holds_back_count_as_sent_now(exchange: Exchange) -> None:
    with contextlib.suppress(BlockingIOError):
        while True:
            exchange.socket.send(bytes(1 << 16))
    time.sleep(STOPPED_S)
    assert exchange.socket.since_last_sent_s() == 0.0
    exchange.peer.close()
    exchange.socket.close()
    assert exchange.socket.since_last_sent_s() == 0.0
