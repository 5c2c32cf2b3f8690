"""Many idle connections, measured: what each costs, and how far one core goes.

    python -m benchmarks.idle [--quick] [--front resp|amqp] [--connections N] [--json FILE]

One real sender, pinned to a core; load processes on the others, each from a loopback address of its own.
A steady 100 messages a second are handed in over RESP2 while idle connections are ramped, until p99 of
`+OK` passes 400 ms, delivery passes 2 s, or a limit stops it. Then all of them wake within a second, and
half of them are reset in the same instant. Prints a table, a chart (SVG, with matplotlib) and one line of
JSON; exit 1 where an aim is missed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.process import cpu_s, resident_bytes
from mountgauge.core.config import Address
from mountgauge.http1 import Parser, response
from mountgauge.lab.ports import reserve_ports
from mountgauge.lab.rig.proxies import HOST
from mountgauge.status import fetch_status

RATE, BUSY = 100.0, 100  # messages a second, over so many connections
FULL, QUICK = 18_000, 3_000
AIMS = {"resp": 3 * 1024, "amqp": 6 * 1024}  # resident bytes for each connection
HEARTBEAT = 60
LOADS = 3
_SETTLE = 3.5  # s after which nothing of what was handed in is left: deadlines, connections to the partner


def percentile(values: list[float], share: float) -> float:
    """The value below which this share of the values lies; 0 of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def slab_bytes() -> int:
    """Of the whole machine: kernel objects of both ends of each connection are in it."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("Slab:"):
            return int(line.split()[1]) * 1024
    return 0


class Busy:
    """The steady clients, and the partner that takes every call: when each message came to either."""

    def __init__(self) -> None:
        self.handed: dict[str, float] = {}
        self.ok: list[float] = []
        self.delivered: list[float] = []
        self.refused = self.lost = 0
        self.calls = 0
        self.rng = random.Random(7)

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._partner, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _partner(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Parser(requests=True)
        try:
            while data := await reader.read(65536):
                for message in parser.feed(data):
                    self.calls += 1
                    began = self.handed.pop(message.headers.get("x-trace-id", ""), None)
                    if began is not None:
                        self.delivered.append(time.monotonic() - began)
                    writer.write(response(200, "OK", {}, b""))
        except OSError:
            pass
        writer.close()

    async def connect(self, port: int) -> None:
        self.peers = [await asyncio.open_connection(HOST, port) for _ in range(BUSY)]
        self.number = 0

    async def run(self, seconds: float) -> dict[str, float]:
        """Hand in for so long: p99 of the take-on and of the delivery, in s."""
        self.ok, self.delivered, self.refused = [], [], 0
        began = time.monotonic()
        tasks = []
        for n in range(int(seconds * RATE)):
            # At random within its hundredth: else it would beat with the sender's tick.
            await asyncio.sleep(max(0.0, began + (n + self.rng.random()) / RATE - time.monotonic()))
            tasks.append(asyncio.create_task(self._one(n % BUSY)))
        await asyncio.wait(tasks, timeout=3)
        lost = sum(not task.done() or task.exception() is not None for task in tasks)
        self.lost += lost
        await asyncio.sleep(0.2)
        return {
            "ok_p50": percentile(self.ok, 0.5), "ok_p99": percentile(self.ok, 0.99),
            "delivered_p99": percentile(self.delivered, 0.99), "refused": self.refused, "lost": lost,
            "sent": len(tasks),
        }  # fmt: skip

    async def _one(self, place: int) -> None:
        reader, writer = self.peers[place]
        self.number += 1
        msg_id = f"busy-{self.number}"
        args = (b"ENQUEUE", b"0", msg_id.encode(), b"c=note,d=3000,dest=7", b"x" * 200)
        began = self.handed[msg_id] = time.monotonic()
        writer.write(b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args))
        answer = await reader.readline()
        self.ok.append(time.monotonic() - began)
        if answer != b"+OK\r\n":
            self.refused += 1
            self.handed.pop(msg_id, None)


class Loads:
    """The load processes."""

    async def start(self, front: str, port: int, cores: list[int]) -> None:
        self.processes = []
        for n in range(LOADS):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "benchmarks.idle_load", front, str(port), f"127.0.1.{n + 1}",
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 24,
            )  # fmt: skip
            os.sched_setaffinity(process.pid, {cores[n % len(cores)]})
            self.processes.append(process)

    async def order(self, each: list[dict[str, Any]], limit: float = 60) -> list[dict[str, Any]]:
        async def one(process: asyncio.subprocess.Process, what: dict[str, Any]) -> dict[str, Any]:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.write(json.dumps(what).encode() + b"\n")
            found: dict[str, Any] = json.loads(await process.stdout.readline())
            return found

        async with asyncio.timeout(limit):
            return await asyncio.gather(*map(one, self.processes, each))

    async def all(self, **what: Any) -> list[dict[str, Any]]:
        return await self.order([what] * LOADS)

    async def open(self, count: int) -> list[dict[str, Any]]:
        parts = [count // LOADS + (n < count % LOADS) for n in range(LOADS)]
        return await self.order([{"do": "open", "count": part} for part in parts])

    async def stop(self) -> None:
        for process in self.processes:
            assert process.stdin is not None
            process.stdin.close()
            await process.wait()


def sender_file(front: str, ports: list[int], partner: int) -> str:
    """The settings file of the sender under test; `ports` are the front's, the status page's and AMQP's."""
    amqp = f'[amqp]\nlisten = "{HOST}:{ports[2]}"\nheartbeat = {HEARTBEAT}\n' if front == "amqp" else ""
    return (
        f'name = "idle"\nstate = "state"\n[limits]\nsockets = 19900\n[resp]\nlisten = "{HOST}:{ports[0]}"\n'
        f'{amqp}[clients]\nidle = "forever"\n[status]\nlisten = "{HOST}:{ports[1]}"\n'
        "[rules]\nslots = 32\nconn_idle = 2\n"
        '[[class]]\nname = "note"\nsemantics = "idempotent"\ndeadline = 3\naim = 2\n'
        f'[[next_hop]]\nid = "h"\naddr = "{HOST}:{partner}"\ndest = 7\n'
    )


class Sender:
    """The sender under test, seen by its process and its status page."""

    def __init__(self, pid: int, status: Address) -> None:
        self.pid, self.status = pid, status

    async def clients(self) -> dict[str, Any]:
        found: dict[str, Any] = (await fetch_status(self.status))["clients"]
        return found

    async def idle(self, seconds: float) -> tuple[float, float, float]:
        """Share of a core, wakeups a second, and voluntary switches a second, with nothing handed in."""
        await asyncio.sleep(_SETTLE)
        before, cpu, at = (await self.clients())["loop_wakeups"], cpu_s(self.pid), time.monotonic()
        await asyncio.sleep(seconds)
        spent = time.monotonic() - at
        cpu = cpu_s(self.pid) - cpu
        return cpu / spent, ((await self.clients())["loop_wakeups"] - before) / spent, spent

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))


async def measure(front: str, quick: bool, count: int) -> tuple[dict[str, Any], list[dict[str, float]]]:
    """Fill one front with idle connections: its figures, and rows for the chart."""
    target, step, window = (QUICK, 1500, 2.0) if quick else (FULL, 3000, 5.0)
    target = count or target
    compare, quiet = (5.0, 4.0) if quick else (15.0, 20.0)
    cores = sorted(os.sched_getaffinity(0))
    busy, loads = Busy(), Loads()
    found: dict[str, Any] = {"front": front, "target": target}
    rows: list[dict[str, float]] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports = reserve_ports(3)
        (folder / "sender.toml").write_text(sender_file(front, ports, await busy.start()))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mountgauge", "run", str(folder / "sender.toml"),
            stderr=(folder / "log").open("wb"),
        )  # fmt: skip
        try:
            os.sched_setaffinity(process.pid, {cores[0]})
            rest = cores[1:] or cores
            os.sched_setaffinity(0, {rest[0]})
            sender = Sender(process.pid, Address(HOST, ports[1]))
            for _ in range(100):
                try:
                    await sender.clients()
                    break
                except OSError:
                    await asyncio.sleep(0.05)
            await loads.start(front, ports[2 if front == "amqp" else 0], rest[1:] or rest)
            await busy.connect(ports[0])
            await busy.run(2.0)  # warm
            alone = await busy.run(compare)
            found["idle_cpu_share_none"], found["wakeups_per_s_none"], _ = await sender.idle(quiet)
            rss, slab, fds = resident_bytes(sender.pid), slab_bytes(), sender.descriptors()
            # The ramp
            kept, why = 0, ""
            if front == "amqp":
                await loads.all(do="beat", every=HEARTBEAT / 2)
            while kept < target and not why:
                opening = asyncio.create_task(loads.open(min(step, target - kept)))
                during = await busy.run(window)
                results = await opening
                kept += sum(one["opened"] for one in results)
                why = next((one["why"] for one in results if "why" in one), "")
                turn = (await sender.clients())["longest_turn_ever_ms"]
                grown = resident_bytes(sender.pid) - rss
                rows.append({"held": kept, **during, "rss": grown, "longest_turn_ms": turn})
                if during["ok_p99"] > 0.4:
                    why = "p99 of +OK past 400 ms"
                elif during["delivered_p99"] > 2:
                    why = "delivery past 2 s"
            found["kept"] = (await sender.clients())["fronts"][front]["open"] - (front == "resp") * BUSY
            found["breaks_at"] = kept if why else None
            found["breaks_by"] = why or "nothing up to the target"
            found["bytes_per_connection"] = round((resident_bytes(sender.pid) - rss) / max(1, kept))
            found["kernel_bytes_per_connection"] = round((slab_bytes() - slab) / 2 / max(1, kept))
            found["idle_cpu_share"], found["wakeups_per_s"], _ = await sender.idle(quiet)
            held = await busy.run(compare)
            # All wake
            orders = [{"do": "wake", "within": 1.0, "name": f"w{n}", "seed": n} for n in range(LOADS)]
            waking = asyncio.create_task(loads.order(orders))
            during = await busy.run(3.0)
            woken = await waking
            found["wake_asked"] = sum(one["asked"] for one in woken)
            found["wake_unanswered"] = sum(one["unanswered"] + one["late"] for one in woken)
            found["wake_taken"] = sum(one["ok"] for one in woken)
            found["wake_busy"] = sum(one["busy"] for one in woken)
            found["wake_longest_s"] = round(max(one["longest"] for one in woken), 3)
            found["wake_load_behind_s"] = round(max(one["behind"] for one in woken), 3)
            again = sorted(ms for one in woken for ms in one["again"])
            slots: dict[int, int] = {}
            for ms in again:
                slots[ms // 100] = slots.get(ms // 100, 0) + 1
            found["again_ms"] = [again[0], again[len(again) // 2], again[-1]] if again else []
            found["again_most_in_100_ms"] = max(slots.values(), default=0)
            found["wake_busy_p99_s"] = round(during["delivered_p99"], 4)
            found["wake_busy_ok_p99_s"] = round(during["ok_p99"], 4)
            found["wake_busy_refused"] = during["refused"]
            if not quick:  # all in the same instant: how many a second one core hears
                await asyncio.sleep(2)
                orders = [{"do": "wake", "within": 0.0, "name": f"x{n}", "seed": n} for n in range(LOADS)]
                burst = await loads.order(orders)
                longest = max(one["longest"] for one in burst)
                found["burst_longest_s"] = round(longest, 3)
                found["burst_heard_per_s"] = round(sum(one["asked"] for one in burst) / max(1e-3, longest))
            # Half are reset in the same instant
            was = (await sender.clients())["open"]
            resetting = asyncio.create_task(loads.all(do="reset", share=0.5))
            during = await busy.run(2.0)
            gone = sum(one["reset"] for one in await resetting)
            await asyncio.sleep(0.3)
            now = await sender.clients()
            found["reset_left_over"] = now["open"] - (was - gone)
            found["reset_busy_ok_p99_s"] = round(during["ok_p99"], 4)
            if front == "amqp" and not quick and not count:
                silent = sum(one["silent"] for one in await loads.all(do="silence", share=0.5))
                expected = now["open"] - silent
                began = time.monotonic()
                while (await sender.clients())["open"] > expected and time.monotonic() - began < 200:
                    await asyncio.sleep(0.5)
                found["silent_found_after_s"] = round(time.monotonic() - began, 1)
            await loads.all(do="close")
            await asyncio.sleep(_SETTLE)
            now = await sender.clients()
            found["descriptors_left_over"] = sender.descriptors() - fds
            found["rss_left_over"] = resident_bytes(sender.pid) - rss
            again_alone = await busy.run(compare)
            # What did not go back to the system is used again. These are still held at SIGHUP and SIGTERM.
            await loads.open(kept)
            found["second_ramp_bytes"] = round((resident_bytes(sender.pid) - rss) / max(1, kept))
            os.kill(sender.pid, signal.SIGHUP)
            await asyncio.sleep(0.3)
            found["reload_closed"] = kept + BUSY - (await sender.clients())["open"]
            base = (alone["ok_p99"] + again_alone["ok_p99"]) / 2
            found["busy_p99_s"] = [round(x["ok_p99"], 5) for x in (alone, held, again_alone)]
            found["busy_p99_ratio"] = round(held["ok_p99"] / base, 3)
            found["longest_turn_ms"] = now["longest_turn_ever_ms"]
            found["busy_lost"] = busy.lost
            found["fared"] = now["fared"]
        finally:
            if process.returncode is None:
                process.terminate()
            began = time.monotonic()
            found["exit_code"] = await process.wait()
            found["stop_s"] = round(time.monotonic() - began, 2)
            await loads.stop()
            busy.server.close()
            if found["exit_code"] or "Traceback" in (log := (folder / "log").read_text()):
                print(log[-3000:], file=sys.stderr)
    return found, rows


def aims(found: dict[str, Any]) -> dict[str, tuple[float, bool]]:
    """By key: the aim, and whether it is met."""

    def most(key: str, limit: float) -> tuple[float, bool]:
        return limit, found[key] <= limit

    by: dict[str, tuple[float, bool]] = {
        "kept": (found["target"], found["kept"] >= found["target"]),
        "bytes_per_connection": most("bytes_per_connection", AIMS[found["front"]]),
        "idle_cpu_share": most("idle_cpu_share", 0.02),
        "busy_p99_ratio": most("busy_p99_ratio", 1.1),
        "wake_unanswered": most("wake_unanswered", 0),
        "wake_busy_p99_s": most("wake_busy_p99_s", 2.0),
        "longest_turn_ms": most("longest_turn_ms", 50.0),
        "reset_left_over": most("reset_left_over", 0),
        "descriptors_left_over": most("descriptors_left_over", 0),
        "busy_lost": most("busy_lost", 0),
        "exit_code": most("exit_code", 0),
        "stop_s": most("stop_s", 3.7),
    }
    # It includes what the wake-up left.
    by["second_ramp_bytes"] = most("second_ramp_bytes", AIMS[found["front"]])
    by["reload_closed"] = most("reload_closed", 0)
    if found["front"] == "resp":  # none for an idle one: what the loop does anyway, and some scatter
        limit = found["wakeups_per_s_none"] * 1.1 + 2
        by["wakeups_per_s"] = (round(limit, 1), found["wakeups_per_s"] <= limit)
    return by


def chart(path: Path, front: str, rows: list[dict[str, float]]) -> None:
    """Draw the rows as SVG, where matplotlib is there."""
    try:
        import matplotlib  # type: ignore[import-not-found,unused-ignore]
    except ModuleNotFoundError:
        print("no chart: matplotlib is missing (requirements-bench.txt)", file=sys.stderr)
        return
    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    held = [row["held"] for row in rows]
    left.plot(held, [row["ok_p50"] * 1000 for row in rows], label="p50 of +OK")
    left.plot(held, [row["ok_p99"] * 1000 for row in rows], label="p99 of +OK")
    left.plot(held, [row["delivered_p99"] * 1000 for row in rows], label="p99 of delivery")
    left.set(xlabel=f"idle {front} connections", ylabel="ms", title="Busy clients while the idle ones come")
    left.set_ylim(bottom=0)
    left.legend()
    right.plot(held, [row["rss"] / 1e6 for row in rows], label="resident, over none held")
    limit = [held_now * AIMS[front] / 1e6 for held_now in held]
    right.plot(held, limit, linestyle=":", label="aim")
    right.set(xlabel=f"idle {front} connections", ylabel="MB", title="Memory")
    right.set_ylim(bottom=0)
    right.legend()
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})
    print(f"chart: {path}")


def main() -> int:
    """Measure the front that is asked for, and print the table; 1 where an aim is missed."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--front", choices=("resp", "amqp"), default="resp")
    parser.add_argument("--connections", type=int, default=0, help="in place of 18,000 or 3,000")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--chart", type=Path, default=Path("idle.svg"))
    args = parser.parse_args()
    found, rows = asyncio.run(measure(args.front, args.quick, args.connections))
    print(f"{'held':>7} {'p50 ms':>8} {'p99 ms':>8} {'deliv. p99':>11} {'MB':>7} {'longest turn':>13}")
    for row in rows:
        print(f"{row['held']:>7.0f} {row['ok_p50'] * 1e3:>8.2f} {row['ok_p99'] * 1e3:>8.2f} "
              f"{row['delivered_p99'] * 1e3:>11.2f} {row['rss'] / 1e6:>7.1f} "
              f"{row['longest_turn_ms']:>13.1f}")  # fmt: skip
    print()
    wanted = aims(found)
    for key, value in found.items():
        aim, met = wanted.get(key, (None, True))
        shown = round(value, 4) if isinstance(value, float) else value
        print(f"{key:<28} {shown!s:>24} {'-' if aim is None else aim!s:>10}{'' if met else '  MISSED'}")
    chart(args.chart, args.front, rows)
    line = json.dumps({"quick": args.quick, **found})
    print(line)
    if args.json is not None:
        args.json.write_text(line + "\n")
    return 0 if all(met for _, met in wanted.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
