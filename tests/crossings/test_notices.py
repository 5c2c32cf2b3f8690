"""Where a notice's 204 crosses an end, a move, a reset or a further notice: on bare sockets, in one turn."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from mountgauge.core.config import Address
from mountgauge.core.ports import End, Status
from mountgauge.http1 import Message, response
from mountgauge.notices import Notices
from tests.crossings.test_attempts import Peer, reset
from tests.helper import HOST, run, until

TOLD = response(204, "No Content", {}, b"")
DEFERRED = End(Status.DEFERRED, 70)


def test_an_end_as_the_204_comes_leaves_the_notice_owed() -> None:
    """It is journalled as given up and told again by the next process: twice does no harm, never would."""

    async def main() -> None:
        peer, told = Peer(), list[str]()
        notices = Notices(Address(HOST, peer.port))
        notices.tell("a", DEFERRED, lambda: told.append("a"))
        sock = await peer.accept()
        await peer.call(sock)
        sock.send(TOLD)  # it lies there unread
        notices.close()
        assert notices.unacknowledged == 1
        await asyncio.sleep(0.05)
        assert not told and notices.unacknowledged == 1, "nothing is written to a journal that may be closed"
        sock.close()
        peer.listener.close()

    run(main())


def test_a_move_as_the_204_comes_tells_the_new_address_once() -> None:
    async def main() -> None:
        old, new, told = Peer(), Peer(), list[str]()
        notices = Notices(Address(HOST, old.port))
        notices.tell("a", DEFERRED, lambda: told.append("a"))
        sock = await old.accept()
        await old.call(sock)
        sock.send(TOLD)
        notices.move(Address(HOST, new.port))
        other = await new.accept()
        assert b'"a"' in await new.call(other)
        other.send(TOLD)
        await until(lambda: not notices.unacknowledged)
        assert told == ["a"]
        notices.close()
        for one in (sock, other, old.listener, new.listener):
            one.close()

    run(main())


@pytest.mark.parametrize("when", ["at rest", "under a notice", "in half an answer"])
def test_a_connection_that_is_reset_costs_a_further_try(when: str) -> None:
    async def main() -> None:
        peer, told = Peer(), list[str]()
        notices = Notices(Address(HOST, peer.port))
        notices.tell("a", DEFERRED, lambda: told.append("a"))
        sock = await peer.accept()
        await peer.call(sock)
        if when == "at rest":
            sock.send(TOLD)
            await until(lambda: told)
            reset(sock)  # in the turn in which the next one is told
            notices.tell("b", DEFERRED, lambda: told.append("b"))
        else:
            if when == "in half an answer":
                sock.send(TOLD[:11])
            reset(sock)
        other = await peer.accept()
        await peer.call(other)
        other.send(TOLD)
        await until(lambda: not notices.unacknowledged)
        assert told == (["a", "b"] if when == "at rest" else ["a"])
        notices.close()
        for one in (other, peer.listener):
            one.close()

    run(main())


def test_a_notice_that_comes_while_one_is_out_goes_with_the_next() -> None:
    async def main() -> None:
        peer, told = Peer(), list[str]()
        notices = Notices(Address(HOST, peer.port))

        def told_a() -> None:
            told.append("a")
            notices.tell("c", DEFERRED, lambda: told.append("c"))  # an end that another one sets off

        notices.tell("a", DEFERRED, told_a)
        sock = await peer.accept()
        assert b'"b"' not in await peer.call(sock)
        notices.tell("b", DEFERRED, lambda: told.append("b"))
        sock.send(TOLD)
        body = await peer.call(sock)
        assert b'"a"' not in body and b'"b"' in body and b'"c"' in body
        sock.send(TOLD)
        await until(lambda: not notices.unacknowledged)
        assert told == ["a", "b", "c"]
        notices.tell("d", DEFERRED, lambda: told.append("d"))  # and one after a rest
        await peer.call(sock)
        sock.send(TOLD)
        await until(lambda: not notices.unacknowledged)
        notices.close()
        with contextlib.suppress(OSError):
            sock.close()
        peer.listener.close()

    run(main())


def limits_of(notices: Notices) -> list[float]:
    """How long an answer was waited for, call by call: judged by that and not by the machine's clock."""
    limits, exchange = list[float](), notices._client.exchange

    async def noted(data: bytes, limit: float, connect_limit: float = 1.5) -> Message:
        limits.append(limit)
        return await exchange(data, limit, connect_limit)

    setattr(notices._client, "exchange", noted)  # noqa: B010
    return limits


def test_a_connection_that_has_fallen_silent_costs_less_than_a_notice_may_be_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It rests between two notices and is open as ever: nothing tells that nobody is there any more. A rest
    behind that one failure would outlast the test.
    """
    monkeypatch.setattr("mountgauge.notices._BACK_OFF_S", 1000.0)
    monkeypatch.setattr("mountgauge.notices._MAX_BACK_OFF_S", 1000.0)

    async def main() -> None:
        peer, told = Peer(), list[str]()
        notices = Notices(Address(HOST, peer.port))
        limits = limits_of(notices)
        notices.tell("a", DEFERRED, lambda: told.append("a"))
        silent = await peer.accept()
        await peer.call(silent)
        silent.send(TOLD)
        await until(lambda: told)
        for name in "bcdef":
            notices.tell(name, DEFERRED, lambda name=name: told.append(name))  # type: ignore[misc]
        await peer.call(silent)  # it is written to the system, and never answered
        other = await peer.accept()
        assert b'"f"' in await peer.call(other), "all of them go anew"
        other.send(TOLD)
        await until(lambda: not notices.unacknowledged)
        assert told == list("abcdef") and len(limits) == 3
        assert limits[1] <= 0.15, "half of the 0.3 s in which an end must be known"
        notices.close()
        for one in (silent, other, peer.listener):
            one.close()

    run(main())


def test_a_platform_that_answers_slowly_is_waited_for_longer_each_time() -> None:
    async def main() -> None:
        peer, told, socks = Peer(), list[str](), []
        notices = Notices(Address(HOST, peer.port))
        limits = limits_of(notices)
        notices.tell("a", DEFERRED, lambda: told.append("a"))
        for _ in range(3):  # it lets three go
            socks.append(sock := await peer.accept())
            await peer.call(sock)
        socks.append(sock := await peer.accept())
        await peer.call(sock)
        sock.send(TOLD)
        await until(lambda: told)
        assert told == ["a"] and len(limits) >= 4
        assert limits[:4] == [0.15, 0.3, 0.6, 1.0]
        notices.close()
        for one in (*socks, peer.listener):
            one.close()

    run(main())
