"""Data that is read or written as a whole: discovery's list, an operator's file, the status page, notices."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import orjson

from benchmarks.slopes.fixtures import NAMES, hop
from benchmarks.slopes.probe import Axis, Method, Probe, Sample, Unit, timed
from mountgauge.core.config import Address
from mountgauge.core.ports import MessageOutcome, Status
from mountgauge.http1 import Client
from mountgauge.notices import Notices
from mountgauge.operator_file import load_hops
from mountgauge.run.base import Runtime
from mountgauge.snapshot import Snapshot

if TYPE_CHECKING:
    from mountgauge.router import Router

_NOTICE_COUNTS = (1_000, 3_000, 10_000, 30_000, 100_000)
_FILE_SIZES = (100, 300, 1_000, 3_000, 10_000, 30_000)


def _discovery_body(count: int) -> bytes:
    servers = [
        {
            "id": f"hop-{number}", "addr": f"10.0.0.1:{1024 + number % 60_000}", "state": "active",
            "started_ms": 0, "weight": 1.0, "zone": "near", "cell": number, "kind": "next-hop",
        }
        for number in range(count)
    ]  # fmt: skip
    return orjson.dumps({"version": 1, "full": True, "servers": servers})


def _parse_list(count: int) -> Sample:
    body = _discovery_body(count)
    return lambda: timed(lambda: NAMES.update(orjson.loads(body)))


def _list_bytes(count: int) -> Sample:
    return lambda: float(len(_discovery_body(count)))


def _load_file(count: int) -> Sample:
    folder = tempfile.TemporaryDirectory(prefix="slopes-")
    path = Path(folder.name) / "hops.toml"
    path.write_text(
        "".join(
            f'[[next_hop]]\nid = "hop-{number}"\n'
            f'addr = "127.0.0.1:{1024 + number % 60_000}"\ndest = {number}\n'
            for number in range(count)
        )
    )

    def load() -> None:
        assert folder  # the reference keeps the temporary folder until the sample is dropped
        load_hops(path, 1)

    return lambda: timed(load)


def _status(count: int) -> Sample:
    """The report that `GET /status` returns, without the sections of optional subsystems."""
    runtime = Runtime.__new__(Runtime)
    hops = {f"hop-{number}": hop(number) for number in range(count)}
    runtime.config, runtime.subsystems = cast(Any, SimpleNamespace(name="slopes")), []
    runtime.sender = cast(Any, SimpleNamespace(hops=hops))
    runtime.next_hops = cast("Router", SimpleNamespace(opened=0))
    runtime.snapshot = lambda: Snapshot(cast(Any, {}), 0, 0, 1)  # type: ignore[method-assign]
    return lambda: timed(lambda: orjson.dumps(dict(runtime.report())))


class _AcceptingClient:
    """A platform that accepts each batch of notices at once."""

    async def exchange(self, data: bytes, limit: float, connect_limit: float = 1.5) -> Any:
        return SimpleNamespace(status=204)

    def close(self) -> None: ...


def _notices(count: int) -> Sample:
    """So many messages become undeliverable at the same time, and a notice is sent for each."""

    async def send_all() -> float:
        notices = Notices(Address("127.0.0.1", 1))
        notices._client = cast(Client, _AcceptingClient())
        for number in range(count):
            notices.report_outcome(
                f"message-{number:012d}", MessageOutcome(Status.UNDELIVERABLE), lambda: None
            )
        task = notices._task
        assert task is not None
        began = time.process_time()
        await task
        spent = time.process_time() - began
        assert notices.unacknowledged == 0
        return spent

    return lambda: asyncio.run(send_all())


PROBES = (
    Probe("discovery-parse", _parse_list, "mountgauge.core.config.SettingNames.update", repeats=3),
    Probe("discovery-list-bytes", _list_bytes, "mountgauge.platform.discovery.MOST_LIST_BYTES bounds it",
          unit=Unit.BYTES, method=Method.COUNTED, repeats=1, sizes=(300, 1_000, 3_000, 10_000, 30_000)),
    Probe("operator-file", _load_file, "mountgauge.operator_file.load_hops (tomllib)", sizes=_FILE_SIZES,
          repeats=3, limit_s=15.0),
    Probe("status-page", _status, "mountgauge.run.base.Runtime.report"),
    Probe("notices-drain", _notices, "mountgauge.notices.Notices._run (list of all owed, each batch)",
          axis=Axis.MESSAGES, sizes=_NOTICE_COUNTS, repeats=3),
)  # fmt: skip
