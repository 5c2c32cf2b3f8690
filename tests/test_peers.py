"""The client of discovery, the parser of its lists, and notices, against stand-ins for the platform."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import orjson
import pytest

from mountgauge.core.config import Address, MapUpdate, SettingNames
from mountgauge.core.ports import MessageOutcome, Status
from mountgauge.http1 import Message, response
from mountgauge.notices import Notices
from mountgauge.platform.discovery import TransportMap
from mountgauge.platform.watch_bounds import WatchBounds
from rillspindle.interface import Readiness, Settings
from tests.helper import HOST, HttpServer, run, until
from tests.settings import settings

NAMES = SettingNames(("note",), ("a", "b"), ("m1", "m2"))


class Owner:
    """A stand-in for the core, which records the lists that it receives, except answers without changes."""

    def __init__(self, version: int) -> None:
        self.version = version
        self.updates: list[MapUpdate] = []

    def list_changed(self, update: MapUpdate) -> None:
        self.version = update.version
        if update.full or update.hops:
            self.updates.append(update)


def bounds(ask_within_s: float, **extra: Any) -> WatchBounds:
    """Return the bounds of a sender that watches discovery, in a fleet of two."""
    env = settings(discovery="subscribe", **extra)
    env["obligations"] |= {"askWithin": ask_within_s}
    return WatchBounds.of(Settings.from_mapping(env))


def listing(version: int, full: bool, **line: Any) -> bytes:
    """Return discovery's answer with one endpoint, whose fields `line` overrides."""
    one = {"id": "s-1", "addr": "127.0.0.1:80", "zone": "b", "kind": "m2", "cell": 3, "state": "active",
           "weight": 2.5, "started_ms": 0, **line}  # fmt: skip
    return response(200, "OK", {}, orjson.dumps({"version": version, "full": full, "servers": [one]}))


def test_a_new_watch_follows_each_answer_and_each_failure() -> None:
    async def main() -> None:
        paths: list[tuple[float, str]] = []

        async def reply(message: Message) -> bytes | None:
            assert message.start is not None
            paths.append((asyncio.get_running_loop().time(), message.start[1]))
            match len(paths):
                case 1:
                    return listing(5, True)
                case 2:
                    return listing(6, False, state="left")
                case 3:
                    return response(503, "down", {}, b"")
                case 4:
                    return listing(7, True, kind="unknown")  # unusable, which counts as a failed call
                case 5 | 6:
                    return None
                case 7:
                    return listing(8, True)
            await asyncio.sleep(60)
            return None

        server, owner = HttpServer(reply), Owner(0)
        await server.start()
        watched = TransportMap(owner, Address(HOST, server.port), NAMES, bounds(3.0))
        watched.watch(True)
        watched.watch(True)  # it is watching already: no second call
        await until(lambda: len(paths) == 8)
        # Version 0 is an ordinary version: a request for the full list instead would never wait. The first
        # call, and those after a failure until the next answer, request an immediate answer.
        queries = ["0&wait=1", "5&wait=3000", "6&wait=3000", *["6&wait=1"] * 4, "8&wait=3000"]
        assert [path for _, path in paths] == [f"/registry/instances?index={one}" for one in queries]
        assert [(u.version, u.full, u.hops[0].entry.readiness) for u in owner.updates] == [
            (5, True, Readiness.READY),
            (6, False, Readiness.GONE),
            (8, True, Readiness.READY),
        ]
        entry = owner.updates[0].hops[0].entry
        assert (entry.owner, entry.kind, entry.zone, entry.scale) == (3, 1, 1, 2.5)
        watched.snapshot()
        await until(lambda: len(paths) == 9)
        assert paths[8][1] == "/registry/instances"
        watched.close()
        await server.stop()

    run(main())


def test_one_unreadable_entry_does_not_fail_the_list() -> None:
    line = {"id": "s-1", "addr": "127.0.0.1:80", "zone": "b", "kind": "m2", "cell": 3, "state": "active"}
    bad: list[Any] = [7, {}, {**line, "id": "s-2", "addr": "nowhere"}, {**line, "id": "s-3", "state": "odd"},
                      {**line, "id": "s-4", "cell": "x"}, {**line, "id": "s-5", "weight": None}]  # fmt: skip
    for one in bad:
        update = NAMES.update({"version": 3, "full": True, "servers": [one, line]})
        assert [hop.id for hop in update.hops if hop.entry.readiness == Readiness.READY] == ["s-1"]
        # No new call is sent to a known endpoint whose entry has become unreadable.
        gone = [hop.id for hop in update.hops if hop.entry.readiness == Readiness.GONE]
        assert gone == ([one["id"]] if isinstance(one, dict) and "id" in one else [])


def test_notices_are_retried_until_204() -> None:
    async def main() -> None:
        answers: list[bytes | None] = [response(503, "x", {}, b""), None, response(204, "x", {}, b"")]
        lines: list[list[Any]] = []

        async def reply(message: Message) -> bytes | None:
            assert message.start is not None and message.start[1] == "/v1/notices"
            lines.append([json.loads(line) for line in bytes(message.body).splitlines()])
            return answers.pop(0) if len(answers) > 1 else answers[0]

        server = HttpServer(reply)
        await server.start()
        notices, acknowledged = Notices(Address(HOST, server.port)), []
        notices.report_outcome("a", MessageOutcome(Status.UNDELIVERABLE), lambda: acknowledged.append("a"))
        notices.report_outcome("b", MessageOutcome(Status.DEFERRED, 500), lambda: acknowledged.append("b"))
        notices.report_outcome("c", MessageOutcome(Status.DELIVERED), lambda: acknowledged.append("c"))
        assert acknowledged == ["c"] and notices.unacknowledged == 2
        await until(lambda: not notices.unacknowledged)
        assert acknowledged == ["c", "a", "b"] and len(lines) == 3
        assert lines[2] == [
            {"id": "a", "status": "undeliverable"},
            {"id": "b", "status": "deferred", "again_ms": 500},
        ]
        notices.close()
        await server.stop()

    run(main())


def test_a_notice_that_is_rejected_does_not_delay_the_others() -> None:
    async def main() -> None:
        async def reply(message: Message) -> bytes:
            return response(400 if b'"bad"' in message.body else 204, "x", {}, b"")

        server = HttpServer(reply)
        await server.start()
        notices, acknowledged = Notices(Address(HOST, server.port)), list[str]()
        for name in ("bad", "a", "b"):
            notices.report_outcome(
                name,
                MessageOutcome(Status.DEFERRED),
                lambda name=name: acknowledged.append(name),  # type: ignore[misc]
            )
        await until(lambda: len(acknowledged) == 2)
        assert sorted(acknowledged) == ["a", "b"] and notices.unacknowledged == 1
        notices.close()
        await server.stop()

    run(main())


LINE = {"id": "s-1", "addr": "127.0.0.1:80", "zone": "b", "kind": "m2", "cell": 3, "state": "active"}


@pytest.mark.parametrize(("entry", "incomplete"), [
    (7, True), ({}, True), (None, True), ([], True), ("s-2", True), ({**LINE, "id": None}, True),
    ({**LINE, "id": ""}, True), ({**LINE, "id": True}, True), ({**LINE, "id": ["s-2"]}, True),
    ({**LINE, "id": {}, "state": "odd"}, True),
    ({**LINE, "id": "s-2", "state": "odd"}, False),  # it names its endpoint, which gets no new calls
    ({**LINE, "id": 2, "addr": "nowhere"}, False),
    ({**LINE, "state": "leaving"}, True),  # one endpoint in two states
    ({**LINE, "addr": "127.0.0.1:81"}, True),  # one endpoint at two addresses
    ({**LINE, "weight": 2.0}, False), (LINE, False),
])  # fmt: skip
def test_a_delta_with_an_entry_that_names_no_endpoint_is_marked_incomplete(
    entry: Any, incomplete: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Otherwise its change would be lost, because the version advances. A full list loses nothing."""
    for full in (False, True):
        for lines in ([entry, LINE], [LINE, entry]):
            caplog.clear()
            update = NAMES.update({"version": 3, "full": full, "servers": lines})
            assert update.incomplete is (incomplete and not full)
            assert {hop.id for hop in update.hops} <= {"s-1", "s-2", "2"}
            lines_logged = [record.message for record in caplog.records if record.message == "entry-not-read"]
            assert len(lines_logged) <= 1, "one line for each entry"
            assert (not full and incomplete) == any(
                one.message == "delta-incomplete" for one in caplog.records
            )


@pytest.mark.parametrize("raw", [
    None, 7, [], {}, "servers", {"version": 1, "full": True}, {"servers": [], "full": True},
    {"servers": [], "version": 1}, {"servers": 7, "version": 1, "full": True},
    {"servers": [], "version": "x", "full": True}, {"servers": [], "version": None, "full": True},
    {"servers": [], "version": float("inf"), "full": True}, {"servers": [], "version": 1, "full": None},
    {"servers": [], "version": 1, "full": "false"}, {"servers": [7], "version": 1, "full": True},
])  # fmt: skip
def test_an_unreadable_list_raises_a_value_error_of_one_line(raw: Any) -> None:
    with pytest.raises(ValueError) as raised:
        NAMES.update(raw)
    assert "\n" not in str(raised.value)
