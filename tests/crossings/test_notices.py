"""A notice's 204 that meets a close, a move, a reset or a further notice in one turn, on plain sockets."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from mountgauge.core.config import Address
from mountgauge.core.ports import MessageOutcome, Status
from mountgauge.http1 import Message, response
from mountgauge.notices import Notices
from tests.crossings.test_attempts import Peer, reset
from tests.helper import HOST, run, until

NO_CONTENT = response(204, "No Content", {}, b"")
DEFERRED = MessageOutcome(Status.DEFERRED, 70)


def test_a_close_as_the_204_arrives_leaves_the_notice_unacknowledged() -> None:
    """The message is journalled as abandoned, and the next process reports the outcome again: a second report
    does no harm, a missing one would.
    """

    async def main() -> None:
        peer, acknowledged = Peer(), list[str]()
        notices = Notices(Address(HOST, peer.port))
        notices.report_outcome("a", DEFERRED, lambda: acknowledged.append("a"))
        sock = await peer.accept()
        await peer.call(sock)
        sock.send(NO_CONTENT)  # it is not read
        notices.close()
        assert notices.unacknowledged == 1
        await asyncio.sleep(0.05)
        assert not acknowledged and notices.unacknowledged == 1, "the journal may be closed"
        sock.close()
        peer.listener.close()

    run(main())


def test_after_a_move_as_the_204_arrives_the_new_address_is_notified_once() -> None:
    async def main() -> None:
        old, new, acknowledged = Peer(), Peer(), list[str]()
        notices = Notices(Address(HOST, old.port))
        notices.report_outcome("a", DEFERRED, lambda: acknowledged.append("a"))
        sock = await old.accept()
        await old.call(sock)
        sock.send(NO_CONTENT)
        notices.move(Address(HOST, new.port))
        other = await new.accept()
        assert b'"a"' in await new.call(other)
        other.send(NO_CONTENT)
        await until(lambda: not notices.unacknowledged)
        assert acknowledged == ["a"]
        notices.close()
        for one in (sock, other, old.listener, new.listener):
            one.close()

    run(main())


@pytest.mark.parametrize("when", ["idle", "during a notice", "in half an answer"])
def test_a_notice_is_repeated_after_a_reset_of_its_connection(when: str) -> None:
    async def main() -> None:
        peer, acknowledged = Peer(), list[str]()
        notices = Notices(Address(HOST, peer.port))
        notices.report_outcome("a", DEFERRED, lambda: acknowledged.append("a"))
        sock = await peer.accept()
        await peer.call(sock)
        if when == "idle":
            sock.send(NO_CONTENT)
            await until(lambda: acknowledged)
            reset(sock)  # in the turn in which the next notice is made
            notices.report_outcome("b", DEFERRED, lambda: acknowledged.append("b"))
        else:
            if when == "in half an answer":
                sock.send(NO_CONTENT[:11])
            reset(sock)
        other = await peer.accept()
        await peer.call(other)
        other.send(NO_CONTENT)
        await until(lambda: not notices.unacknowledged)
        assert acknowledged == (["a", "b"] if when == "idle" else ["a"])
        notices.close()
        for one in (other, peer.listener):
            one.close()

    run(main())


def test_a_notice_that_is_made_while_one_is_in_flight_is_sent_with_the_next_batch() -> None:
    async def main() -> None:
        peer, acknowledged = Peer(), list[str]()
        notices = Notices(Address(HOST, peer.port))

        def acknowledged_a() -> None:
            acknowledged.append("a")
            # An outcome that the acknowledgement triggers.
            notices.report_outcome("c", DEFERRED, lambda: acknowledged.append("c"))

        notices.report_outcome("a", DEFERRED, acknowledged_a)
        sock = await peer.accept()
        assert b'"b"' not in await peer.call(sock)
        notices.report_outcome("b", DEFERRED, lambda: acknowledged.append("b"))
        sock.send(NO_CONTENT)
        body = await peer.call(sock)
        assert b'"a"' not in body and b'"b"' in body and b'"c"' in body
        sock.send(NO_CONTENT)
        await until(lambda: not notices.unacknowledged)
        assert acknowledged == ["a", "b", "c"]
        notices.report_outcome("d", DEFERRED, lambda: acknowledged.append("d"))  # and one after an idle time
        await peer.call(sock)
        sock.send(NO_CONTENT)
        await until(lambda: not notices.unacknowledged)
        notices.close()
        with contextlib.suppress(OSError):
            sock.close()
        peer.listener.close()

    run(main())


def limits_of(notices: Notices) -> list[float]:
    """Record the timeout of each call, so that the test does not depend on the machine's clock."""
    limits, exchange = list[float](), notices._client.exchange

    async def recorded(data: bytes, limit: float, connect_limit: float = 1.5) -> Message:
        limits.append(limit)
        return await exchange(data, limit, connect_limit)

    setattr(notices._client, "exchange", recorded)  # noqa: B010
    return limits


def test_a_silent_connection_delays_a_notice_by_less_than_its_time_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection is idle between two notices and still open, so nothing shows that the peer is gone. With
    the patched back-off, a pause after this first failure would last longer than the test.
    """
    monkeypatch.setattr("mountgauge.notices._BACK_OFF_S", 1000.0)
    monkeypatch.setattr("mountgauge.notices._MAX_BACK_OFF_S", 1000.0)

    async def main() -> None:
        peer, acknowledged = Peer(), list[str]()
        notices = Notices(Address(HOST, peer.port))
        limits = limits_of(notices)
        notices.report_outcome("a", DEFERRED, lambda: acknowledged.append("a"))
        silent = await peer.accept()
        await peer.call(silent)
        silent.send(NO_CONTENT)
        await until(lambda: acknowledged)
        for name in "bcdef":
            notices.report_outcome(name, DEFERRED, lambda name=name: acknowledged.append(name))  # type: ignore[misc]
        await peer.call(silent)  # it is sent, and never answered
        other = await peer.accept()
        assert b'"f"' in await peer.call(other), "all of them are sent again"
        other.send(NO_CONTENT)
        await until(lambda: not notices.unacknowledged)
        assert acknowledged == list("abcdef") and len(limits) == 3
        assert limits[1] <= 0.15, "half of the 0.3 s in which an outcome must be reported"
        notices.close()
        for one in (silent, other, peer.listener):
            one.close()

    run(main())


def test_the_timeout_for_a_slow_platform_grows_with_each_failure() -> None:
    async def main() -> None:
        peer, acknowledged, socks = Peer(), list[str](), []
        notices = Notices(Address(HOST, peer.port))
        limits = limits_of(notices)
        notices.report_outcome("a", DEFERRED, lambda: acknowledged.append("a"))
        for _ in range(3):  # it leaves three unanswered
            socks.append(sock := await peer.accept())
            await peer.call(sock)
        socks.append(sock := await peer.accept())
        await peer.call(sock)
        sock.send(NO_CONTENT)
        await until(lambda: acknowledged)
        assert acknowledged == ["a"] and len(limits) >= 4
        assert limits[:4] == [0.15, 0.3, 0.6, 1.0]
        notices.close()
        for one in (*socks, peer.listener):
            one.close()

    run(main())
