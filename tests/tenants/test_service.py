"""Tenants in running senders: users of both protocols, quotas, reports, SIGHUP, the store, the platform."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import subprocess
import sys
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import pytest

from mountgauge import cli
from mountgauge.amqp import codec
from mountgauge.core.config import Address
from mountgauge.http1 import Message, response
from mountgauge.lab.ports import reserve_ports
from mountgauge.operator_file import load
from mountgauge.otlp import tenant_metrics
from mountgauge.status import StatusServer, fetch_status
from mountgauge.tenants.admission import QuotaAdmission
from mountgauge.tenants.counts import Counts
from mountgauge.tenants.store import Store, StoreError
from tests.helper import HOST, AmqpClient, HttpServer, RespClient, SenderHarness, run, until
from tests.test_product import FILE

KEY = "sixteen characters and more"
TENANTS = """
[[tenant]]
name = "rossi"
rate = 5
burst = 10
users = { u = "p" }
[[tenant]]
name = "verdi"
users = { v = "q" }
"""


def fleet(port: int, *peers: int) -> str:
    listed = ", ".join(f'"{HOST}:{peer}"' for peer in peers)
    where = f'listen = "{HOST}:{port}"\npeers = [{listed}]\n'
    return f'[fleet]\nname = "f"\nkeys = ["{KEY}"]\ninterval = 0.05\n{where}'


# Settings


@pytest.mark.parametrize(("more", "text"), [
    ("[fleet]\n", "fleet.name: missing"),
    ('[fleet]\nname = "f"\nkeys = ["x"]\n', "fleet.listen: missing"),
    (fleet(1).replace(KEY, "short"), "fleet.keys"),
    (fleet(1, 2, 2), "an address is listed twice"),
    (fleet(1, 0), "port 0"),
    (fleet(1).replace(HOST, "localhost"), "not an IP address"),
    (fleet(1) + "gone = 0.2\n", "suspect < gone"),
    (fleet(1) + "leader = true\n", "fleet.leader: unknown setting"),
    ('[[tenant]]\nname = "a b"\n', "tenant[0].name"),
    ('[[tenant]]\nname = "a"\n[[tenant]]\nname = "a"\n', "'a' is listed twice"),
    ('[[tenant]]\nname = "a"\nrate = 0\n', "tenant[0].rate: must be above 0"),
    ('[[tenant]]\nname = "a"\nburst = 3\n', "needs a rate"),
    ('[[tenant]]\nname = "a"\nrate = 3\nsplit = "maybe"\n', "tenant[0].split: not one of"),
    ('[[tenant]]\nname = "a"\nusers.x = "1"\n[[tenant]]\nname = "b"\nusers.x = "2"\n', "'x' is listed twice"),
    ('[[tenant]]\nname = "a"\nusers = { boss = "1" }\n', "'boss' is a tenant's user too"),
    ('[[tenant]]\nname = "a"\nusers = { x = 1 }\n', "passwords are text"),
    ('[limits]\ndisk_mb = 0.5\n[[tenant]]\nname = "a"\n', "limits.disk_mb: 1.3 at least"),
])  # fmt: skip
def test_each_fault_of_the_file_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], more: str, text: str
) -> None:
    file = tmp_path / "sender.toml"
    file.write_text(FILE.replace("[amqp]\n", '[amqp]\nusers = { boss = "1" }\n') + more)
    assert cli.main(["check", str(file)]) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert text in line and str(file) in line


def test_a_valid_file_passes(tmp_path: Path) -> None:
    file = tmp_path / "sender.toml"
    file.write_text(FILE + fleet(7700, 7701) + TENANTS)
    assert cli.main(["check", str(file)]) == 0
    operator = load(file)
    assert not operator.access.anonymous and operator.access.tenant(b"v", b"q") == "verdi"


# Users


def test_resp_clients_must_log_in_and_cannot_choose_their_tenant(tmp_path: Path) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, "http", extra=TENANTS) as world:
            client = world.client
            assert isinstance(client, RespClient)
            assert await client.command(b"PING") == b"+PONG\r\n"
            enqueue = [b"ENQUEUE", b"0", b"m1", b"c=safe,d=8000,k=k1,dest=7,tenant=verdi", b"x"]
            assert (await client.command(*enqueue)).startswith(b"-NOAUTH ")
            for wrong in ((b"u", b"q"), (b"nobody", b"p"), (b"u", b"")):
                assert (await client.command(b"AUTH", *wrong)).startswith(b"-WRONGPASS ")
            assert (await client.command(b"AUTH", b"p")).startswith(b"-ERR ")
            assert await client.command(b"AUTH", b"u", b"p") == b"+OK\r\n"
            assert await client.command(*enqueue) == b"+OK\r\n"
            assert world.runtime.tenants is not None
            admission = world.runtime.tenants.admission
            assert admission.accepted_here == 1 and admission.bounds(
                admission.index_by_name["rossi"], 0.0
            ) == (
                1,
                1,
            )
            for _ in range(11):  # too many failed logins close the connection
                answer = await client.command(b"AUTH", b"u", b"guess")
            assert answer.startswith(b"-WRONGPASS ") and await client.reader.read() == b""

    run(main())


@pytest.mark.parametrize(("login", "vhost", "code"), [
    ("\0u\0p", "/", 0), ("\0u\0q", "/", 403), ("\0x\0p", "/", 403), ("\0u\0p", "/other", 530),
])  # fmt: skip
def test_amqp_clients_must_log_in_to_the_default_virtual_host(
    tmp_path: Path, login: str, vhost: str, code: int
) -> None:
    async def main() -> None:
        async with SenderHarness(tmp_path, "amqp", extra=TENANTS) as world:
            client = AmqpClient(world)
            client.reader, client.writer = await asyncio.open_connection(HOST, world.port)
            client.writer.write(codec.PROTOCOL_HEADER)
            await client.expect("connection.start")
            client.send_method(0, "connection.start-ok", mechanism="PLAIN", response=login, locale="en_US")
            if code != 403:
                tune = (await client.expect("connection.tune")).args
                client.send_method(0, "connection.tune-ok", **tune)
                client.send_method(0, "connection.open", vhost=vhost)
            if not code:
                await client.expect("connection.open-ok")
            else:
                assert (await client.expect("connection.close")).args["code"] == code
            client.writer.close()

    run(main())


@pytest.mark.parametrize("protocol", ["http", "amqp"])
def test_a_message_above_the_quota_is_rejected_at_once_and_accepted_ones_are_delivered(
    tmp_path: Path, protocol: str
) -> None:
    async def main() -> None:
        extra = TENANTS.replace("rate = 5", "rate = 0.01").replace("burst = 10", "burst = 2")
        async with SenderHarness(tmp_path, protocol, extra=extra) as world:
            if isinstance(world.client, RespClient):
                assert await world.client.command(b"AUTH", b"u", b"p") == b"+OK\r\n"
            assert world.runtime.tenants is not None
            admission = world.runtime.tenants.admission
            admission._started -= 10_000  # as after a long run, so that the burst is available
            ends = [await world.client.submit(f"m{i}") for i in range(4)]
            assert ends == [None, None, "deferred", "deferred"]
            assert [await world.client.outcome(f"m{i}") for i in range(2)] == ["delivered"] * 2
            assert not world.notices  # no accepted message was abandoned
            assert world.runtime.sender.counts["refused", "quota"] == 2
            # A repeated message that was accepted is not counted again and not rejected.
            assert await world.client.submit("m0") is None and admission.accepted_here == 2

    run(main())


# Fleet


def _has(admission: QuotaAdmission, places: list[int], counts: list[int]) -> bool:
    return [admission.counts.total[place] for place in places] == counts


def test_two_senders_count_together_and_report_it(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def main() -> None:
        one, two = reserve_ports(2)
        for name in ("a", "b"):
            (tmp_path / name).mkdir()
        first = SenderHarness(tmp_path / "a", "http", extra=fleet(one, two) + TENANTS)
        second = SenderHarness(tmp_path / "b", "amqp", extra=fleet(two, one) + TENANTS)
        async with first, second:
            second.runtime.tenants.name = "w2"  # type: ignore[union-attr]
            assert isinstance(first.client, RespClient)
            await first.client.command(b"AUTH", b"v", b"q")
            for number in range(20):
                assert await first.client.submit(f"m{number}") is None
            assert await second.client.submit("n0") is None
            admissions = [world.runtime.tenants.admission for world in (first, second)]  # type: ignore[union-attr]
            for admission in admissions:
                places = [admission.index_by_name["verdi"], admission.index_by_name["rossi"]]
                await until(partial(_has, admission, places, [20, 1]))
            member = first.runtime.tenants.fleet  # type: ignore[union-attr]
            assert member is not None
            await until(lambda: not member.sync_gap(asyncio.get_running_loop().time()))
            page = StatusServer(first.runtime.report, {"/tenants": first.runtime.tenants.report})  # type: ignore[union-attr]
            await page.listen(Address(HOST, 0))
            found = await fetch_status(Address(HOST, page.port), page="/tenants")
            by = {line["tenant"]: line for line in found["tenants"]}
            assert by["verdi"]["used"] == 20 and by["rossi"]["quota"] == 5 and by["default"]["used"] == 0
            assert [m["presence"] for m in found["members"]] == ["present"] * 2 and found["exact"]
            text = f"{HOST}:{page.port}"
            for arguments in (["tenants", text], ["tenants", text, "--json"]):
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "mountgauge", *arguments, stdout=subprocess.PIPE
                )
                out, _ = await process.communicate()
                if "--json" in arguments:
                    assert json.loads(out)["tenants"]
                else:
                    (line,) = [row for row in out.decode().splitlines() if row.startswith("verdi")]
                    assert line.split()[1] == "20" and b"present" in out
            metrics = {m["name"]: m for m in tenant_metrics(found, 1, 2)}
            used = metrics["mountgauge.tenant.used"]["sum"]["dataPoints"]
            assert {p["attributes"][0]["value"]["stringValue"]: p["asInt"] for p in used}["verdi"] == "20"
            assert (await fetch_status(Address(HOST, page.port)))["tenants"]["present"] == 2
            page.close()

    run(main())


def test_sighup_applies_quotas_peers_and_keys(tmp_path: Path) -> None:
    async def main() -> None:
        mine, peer = reserve_ports(2)
        async with SenderHarness(tmp_path, "http", extra=fleet(mine, peer) + TENANTS) as world:
            tenants = world.runtime.tenants
            assert tenants is not None and tenants.fleet is not None
            old = tenants.fleet.seal
            world.extra = (fleet(mine, peer + 1) + TENANTS).replace("rate = 5", "rate = 7").replace(
                f'["{KEY}"]', f'["another key of the fleet", "{KEY}"]'
            ) + '[[tenant]]\nname = "bianchi"\n'
            world.write_file()
            world.runtime.reload()
            assert tenants.admission.quotas[tenants.admission.index_by_name["rossi"]].rate == 7
            assert "bianchi" in tenants.admission.index_by_name and tenants.fleet.plan.peers == (
                (HOST, peer + 1),
            )
            assert tenants.fleet.seal._first != old._first and set(old._keys) < set(tenants.fleet.seal._keys)
            kept = world.extra
            world.extra = kept.replace("rate = 7", 'rate = "x"')
            world.write_file()
            world.runtime.reload()  # changes nothing
            assert tenants.admission.quotas[tenants.admission.index_by_name["rossi"]].rate == 7
            world.extra = ""
            world.write_file()
            world.runtime.reload()
            assert "rossi" in tenants.admission.index_by_name  # removing all tenants needs a restart

    run(main())


class Pair:
    """Two real processes, each with a state folder and a status page."""

    def __init__(self, folder: Path, hop: int) -> None:
        self.folder = folder
        self.udp, self.ports = reserve_ports(2), reserve_ports(4)
        for n in range(2):
            (folder / f"{n}.toml").write_text(
                f'name = "s{n}"\nstate = "state{n}"\n[resp]\nlisten = "{HOST}:{self.ports[n]}"\n'
                f'[status]\nlisten = "{HOST}:{self.ports[2 + n]}"\n'
                + fleet(self.udp[n], self.udp[1 - n]) + TENANTS
                + '[[class]]\nname = "safe"\nsemantics = "idempotent"\ndeadline = 8\n'
                + f'[[next_hop]]\nid = "h"\naddr = "{HOST}:{hop}"\ndest = 7\n'
            )  # fmt: skip

    async def start(self, n: int) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mountgauge", "run", str(self.folder / f"{n}.toml"),
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        async with asyncio.timeout(10):
            while not await self.used(n):
                await asyncio.sleep(0.05)
        return process

    async def used(self, n: int) -> dict[str, Any]:
        try:
            return await fetch_status(Address(HOST, self.ports[2 + n]), page="/tenants")
        except (OSError, ValueError):
            return {}

    async def submit(self, n: int, ids: list[str]) -> int:
        client = RespClient(SenderHarness(self.folder, "http"))
        client.reader, client.writer = await asyncio.open_connection(HOST, self.ports[n])
        await client.command(b"AUTH", b"v", b"q")
        taken = 0
        for one in ids:
            answer = await client.command(b"ENQUEUE", b"0", one.encode(), b"c=safe,d=8000,k=k,dest=7", b"x")
            taken += answer == b"+OK\r\n"
        client.writer.close()
        return taken


def test_counts_survive_killed_and_restarted_processes(tmp_path: Path) -> None:
    async def main() -> None:
        async def hook(message: Message) -> bytes:
            return response(200, "OK", {}, b"")

        hop = HttpServer(hook)
        await hop.start()
        pair = Pair(tmp_path, hop.port)
        processes = [await pair.start(0), await pair.start(1)]
        taken = await pair.submit(0, [f"a{i}" for i in range(40)])
        taken += await pair.submit(1, [f"b{i}" for i in range(10)])

        async def counted(n: int, name: str = "verdi") -> int:
            found = await pair.used(n)
            return sum(line["used"] for line in found.get("tenants", ()) if line["tenant"] == name)

        async def all_have(much: int) -> None:
            async with asyncio.timeout(15):
                while [await counted(0), await counted(1)] != [much, much]:
                    await asyncio.sleep(0.05)

        await all_have(taken)
        processes[0].kill()
        await processes[0].wait()
        processes[0] = await pair.start(0)  # with its folder: its incarnation continues
        taken += await pair.submit(0, [f"c{i}" for i in range(5)])
        await all_have(taken)
        members = (await pair.used(1))["members"]
        assert sum(m["name"] == "s0" for m in members) == 1
        processes[0].kill()
        await processes[0].wait()
        shutil.rmtree(tmp_path / "state0")
        processes[0] = await pair.start(0)  # without its folder: it receives its own past from its peer
        await all_have(taken)
        for process in processes:
            process.send_signal(signal.SIGTERM)
        assert [await process.wait() for process in processes] == [0, 0]
        await hop.stop()

    run(main(), 60)


# The store


def small(incarnation: int = 7) -> Counts:
    return Counts([11, 22, 33], 8, incarnation, "n")


def test_a_store_truncated_at_any_byte_holds_one_of_the_written_states(tmp_path: Path) -> None:
    (tmp_path / "live").mkdir()
    store, counts = Store(tmp_path / "live", 3), small()
    store.save_identity("n", 7, 1)
    states = [(0, 0)]
    for number in range(6):
        entries = [counts.add(number % 3, 1 + number, 0), counts.add(0, 1, 0)]
        assert store.save(counts.own, entries, {22: number})
        states.append((counts.own.version, sum(counts.own.count)))
    files = {f.name: f.read_bytes() for f in (tmp_path / "live").iterdir() if not f.name.endswith("-shm")}
    log = files["tenants.db-wal"]
    seen = set()
    for cut in [*range(0, len(log), 97), *range(len(log) - 200, len(log) + 1)]:
        folder = tmp_path / "copy"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        for name, content in files.items():
            (folder / name).write_bytes(content[:cut] if name.endswith("-wal") else content)
        try:
            again = Store(folder, 3)
        except StoreError as error:
            raise AssertionError(cut) from error
        saved = again.load("n")
        again.close()
        if saved.incarnation is not None and saved.incarnations:
            ((_, _, version, lines),) = saved.incarnations
            assert (version, sum(line.accepted for line in lines)) in states and not again.error
            seen.add(version)
    assert len(seen) >= 5
    store.close()


def test_a_damaged_store_a_newer_store_and_a_full_disk(tmp_path: Path) -> None:
    store = Store(tmp_path, 3)
    store.save_identity("n", 7, 4)
    counts = small()
    store.save(counts.own, [counts.add(0, 5, 0)], {})
    other = small(9)
    other.add(1, 6, 0)
    counts.join(9, "gone", 0, 1, other.delta(other.own, 0, 999)[1])
    counts.fold(9)
    assert store.save_replicas(counts, [])
    store.close()
    store = Store(tmp_path, 3)
    saved = store.load("n")
    assert (saved.incarnation, saved.boot, saved.past, saved.past_name) == (7, 4, {22: 6}, (9, 1))
    assert store.load("another").incarnation is None  # of another member: not continued
    store._db.execute("pragma user_version=2")
    store.close()
    with pytest.raises(StoreError, match="newer version"):
        Store(tmp_path, 3)
    (tmp_path / "tenants.db").write_bytes(b"rubbish" * 1000)
    store = Store(tmp_path, 3)
    assert store.error and store.load("n").incarnation is None and (tmp_path / "tenants.damaged").exists()
    store._db.execute("pragma max_page_count=1")
    big = Counts(range(5000), 5000, 7, "n")
    assert not store.save(big.own, [big.add(p, 1, 0) for p in range(5000)]) and store.failed == 1
    store._db.execute("pragma max_page_count=1000")  # disk space is available again
    assert store.save(big.own, big.delta(big.own, 0, 1 << 30)[1])
    assert len(store.load("n").incarnations[0][3]) == 5000
    store.close()


# The platform


def test_the_platform_imports_nothing_of_tenants() -> None:
    code = (
        "import sys, mountgauge.cli, mountgauge.run.platform, mountgauge.run.serve\n"
        "off = 'mountgauge.tenants', 'msgspec', 'blake3', 'sqlite3'\n"
        "print([m for m in sys.modules if m.startswith(off)])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
    assert done.stdout.strip() == "[]"


def test_the_tenants_page_is_json_for_ten_thousand_tenants(tmp_path: Path) -> None:
    async def main() -> None:
        many = "".join(f'[[tenant]]\nname = "t{i}"\n' for i in range(10_000))
        async with SenderHarness(tmp_path, "http", extra=many) as world:
            assert world.runtime.tenants is not None
            server = StatusServer(world.runtime.report, {"/tenants": world.runtime.tenants.report})
            await server.listen(Address(HOST, 0))
            found = await fetch_status(Address(HOST, server.port), 10, "/tenants")
            assert len(found["tenants"]) == 10_001 and orjson.dumps(found)
            assert len(world.runtime.tenants.metrics()["tenants"]) == 1000
            server.close()

    run(main(), 40)
