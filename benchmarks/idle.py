"""Measures many idle connections: the cost of each, and how many one core can serve.

    python -m benchmarks.idle [--quick] [--front resp|amqp] [--connections N] [--json FILE]

One real sender is pinned to a core; load processes run on the others, each from its own loopback address. A
steady 100 messages a second are submitted over RESP2 while idle connections are added, until p99 of `+OK`
exceeds 400 ms, delivery exceeds 2 s, or a limit is reached. Then all idle connections submit a message within
a second, and half of them are reset at the same instant. Prints a table and one line of JSON, and draws a
chart (SVG, with matplotlib); exits with 1 if a target is missed.
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

RATE, BUSY = 100.0, 100  # messages/s, and the connections that submit them
FULL, QUICK = 18_000, 3_000  # idle connections
TARGET_BYTES = {"resp": 3 * 1024, "amqp": 6 * 1024}  # resident memory of each connection
HEARTBEAT = 60  # s
LOADS = 3  # load processes
_SETTLE_S = 3.5  # after which deadlines have passed and connections to the partner are closed


def percentile(values: list[float], share: float) -> float:
    """The value below which this share of the values lies; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def slab_bytes() -> int:
    """The machine's slab memory, which includes the kernel objects of both ends of each connection."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("Slab:"):
            return int(line.split()[1]) * 1024
    return 0


class Busy:
    """The busy clients and the partner, which accepts every call: the latencies that both observe."""

    def __init__(self) -> None:
        self.submitted: dict[str, float] = {}  # messages not delivered yet, and when they were submitted
        self.ok: list[float] = []
        self.delivered: list[float] = []
        self.refused = self.lost = 0
        self.calls = 0
        self.rng = random.Random(7)

    async def start(self) -> int:
        """Start the partner; its port."""
        self.server = await asyncio.start_server(self._partner, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _partner(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Parser(requests=True)
        try:
            while data := await reader.read(65536):
                for message in parser.feed(data):
                    self.calls += 1
                    began = self.submitted.pop(message.headers.get("x-trace-id", ""), None)
                    if began is not None:
                        self.delivered.append(time.monotonic() - began)
                    writer.write(response(200, "OK", {}, b""))
        except OSError:
            pass
        writer.close()

    async def connect(self, port: int) -> None:
        """Connect the busy clients to the sender."""
        self.peers = [await asyncio.open_connection(HOST, port) for _ in range(BUSY)]
        self.number = 0

    async def run(self, seconds: float) -> dict[str, float]:
        """Submit messages for so many seconds; percentiles of the latency of `+OK` and of delivery, in s."""
        self.ok, self.delivered, self.refused = [], [], 0
        began = time.monotonic()
        tasks = []
        for n in range(int(seconds * RATE)):
            # A random moment of its interval: a fixed one would interfere with the sender's tick.
            await asyncio.sleep(max(0.0, began + (n + self.rng.random()) / RATE - time.monotonic()))
            tasks.append(asyncio.create_task(self._submit(n % BUSY)))
        await asyncio.wait(tasks, timeout=3)
        lost = sum(not task.done() or task.exception() is not None for task in tasks)
        self.lost += lost
        await asyncio.sleep(0.2)
        return {
            "ok_p50": percentile(self.ok, 0.5), "ok_p99": percentile(self.ok, 0.99),
            "delivered_p99": percentile(self.delivered, 0.99), "refused": self.refused, "lost": lost,
            "sent": len(tasks),
        }  # fmt: skip

    async def _submit(self, index: int) -> None:
        reader, writer = self.peers[index]
        self.number += 1
        msg_id = f"busy-{self.number}"
        args = (b"ENQUEUE", b"0", msg_id.encode(), b"c=note,d=3000,dest=7", b"x" * 200)
        began = self.submitted[msg_id] = time.monotonic()
        writer.write(b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args))
        answer = await reader.readline()
        self.ok.append(time.monotonic() - began)
        if answer != b"+OK\r\n":
            self.refused += 1
            self.submitted.pop(msg_id, None)


class LoadProcesses:
    """The load processes, see `benchmarks.idle_load`."""

    async def start(self, front: str, port: int, cores: list[int]) -> None:
        """Start the processes, each pinned to one of the cores."""
        self.processes = []
        for n in range(LOADS):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "benchmarks.idle_load", front, str(port), f"127.0.1.{n + 1}",
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 24,
            )  # fmt: skip
            os.sched_setaffinity(process.pid, {cores[n % len(cores)]})
            self.processes.append(process)

    async def send(self, each: list[dict[str, Any]], limit: float = 60) -> list[dict[str, Any]]:
        """Send each process its command, and return all results."""

        async def one(process: asyncio.subprocess.Process, command: dict[str, Any]) -> dict[str, Any]:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.write(json.dumps(command).encode() + b"\n")
            found: dict[str, Any] = json.loads(await process.stdout.readline())
            return found

        async with asyncio.timeout(limit):
            return await asyncio.gather(*map(one, self.processes, each))

    async def all(self, **command: Any) -> list[dict[str, Any]]:
        """Send all processes the same command."""
        return await self.send([command] * LOADS)

    async def open(self, count: int) -> list[dict[str, Any]]:
        """Open so many connections, divided evenly between the processes."""
        shares = [count // LOADS + (n < count % LOADS) for n in range(LOADS)]
        return await self.send([{"do": "open", "count": share} for share in shares])

    async def stop(self) -> None:
        """End the processes."""
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
    """The sender under test, observed by its process and its status page."""

    def __init__(self, pid: int, status: Address) -> None:
        self.pid, self.status = pid, status

    async def clients(self) -> dict[str, Any]:
        """The section on clients of its status page."""
        found: dict[str, Any] = (await fetch_status(self.status))["clients"]
        return found

    async def idle(self, seconds: float) -> tuple[float, float, float]:
        """Share of a core, wakeups/s, and the measured time in s, while no message is submitted."""
        await asyncio.sleep(_SETTLE_S)
        before, cpu, at = (await self.clients())["loop_wakeups"], cpu_s(self.pid), time.monotonic()
        await asyncio.sleep(seconds)
        spent = time.monotonic() - at
        cpu = cpu_s(self.pid) - cpu
        return cpu / spent, ((await self.clients())["loop_wakeups"] - before) / spent, spent

    def descriptors(self) -> int:
        """The number of its open descriptors."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))


async def measure(front: str, quick: bool, count: int) -> tuple[dict[str, Any], list[dict[str, float]]]:
    """Fills one front with idle connections; the figures, and the rows of the chart."""
    target, step, window = (QUICK, 1500, 2.0) if quick else (FULL, 3000, 5.0)
    target = count or target
    compare, quiet = (5.0, 4.0) if quick else (15.0, 20.0)
    cores = sorted(os.sched_getaffinity(0))
    busy, loads = Busy(), LoadProcesses()
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
            other_cores = cores[1:] or cores
            os.sched_setaffinity(0, {other_cores[0]})
            sender = Sender(process.pid, Address(HOST, ports[1]))
            for _ in range(100):
                try:
                    await sender.clients()
                    break
                except OSError:
                    await asyncio.sleep(0.05)
            await loads.start(front, ports[2 if front == "amqp" else 0], other_cores[1:] or other_cores)
            await busy.connect(ports[0])
            await busy.run(2.0)  # warm-up
            alone = await busy.run(compare)
            found["idle_cpu_share_none"], found["wakeups_per_s_none"], _ = await sender.idle(quiet)
            rss, slab, fds = resident_bytes(sender.pid), slab_bytes(), sender.descriptors()
            # The number of idle connections grows.
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
            loaded = await busy.run(compare)
            # All idle connections submit a message.
            commands = [{"do": "wake", "within": 1.0, "name": f"w{n}", "seed": n} for n in range(LOADS)]
            waking = asyncio.create_task(loads.send(commands))
            during = await busy.run(3.0)
            woken = await waking
            found["wake_asked"] = sum(one["asked"] for one in woken)
            found["wake_unanswered"] = sum(one["unanswered"] + one["late"] for one in woken)
            found["wake_taken"] = sum(one["ok"] for one in woken)
            found["wake_busy"] = sum(one["busy"] for one in woken)
            found["wake_longest_s"] = round(max(one["longest"] for one in woken), 3)
            found["wake_load_behind_s"] = round(max(one["behind"] for one in woken), 3)
            retries_ms = sorted(ms for one in woken for ms in one["again"])
            by_100_ms: dict[int, int] = {}
            for ms in retries_ms:
                by_100_ms[ms // 100] = by_100_ms.get(ms // 100, 0) + 1
            found["again_ms"] = (
                [retries_ms[0], retries_ms[len(retries_ms) // 2], retries_ms[-1]] if retries_ms else []
            )
            found["again_most_in_100_ms"] = max(by_100_ms.values(), default=0)
            found["wake_busy_p99_s"] = round(during["delivered_p99"], 4)
            found["wake_busy_ok_p99_s"] = round(during["ok_p99"], 4)
            found["wake_busy_refused"] = during["refused"]
            if not quick:  # all at the same instant: how many submissions a second one core answers
                await asyncio.sleep(2)
                commands = [{"do": "wake", "within": 0.0, "name": f"x{n}", "seed": n} for n in range(LOADS)]
                burst = await loads.send(commands)
                longest = max(one["longest"] for one in burst)
                found["burst_longest_s"] = round(longest, 3)
                found["burst_heard_per_s"] = round(sum(one["asked"] for one in burst) / max(1e-3, longest))
            # Half of the connections are reset at the same instant.
            open_before = (await sender.clients())["open"]
            resetting = asyncio.create_task(loads.all(do="reset", share=0.5))
            during = await busy.run(2.0)
            gone = sum(one["reset"] for one in await resetting)
            await asyncio.sleep(0.3)
            now = await sender.clients()
            found["reset_left_over"] = now["open"] - (open_before - gone)
            found["reset_busy_ok_p99_s"] = round(during["ok_p99"], 4)
            if front == "amqp" and not quick and not count:
                silent = sum(one["silent"] for one in await loads.all(do="silence", share=0.5))
                expected = now["open"] - silent
                began = time.monotonic()
                while (await sender.clients())["open"] > expected and time.monotonic() - began < 200:
                    await asyncio.sleep(0.5)
                found["silent_found_after_s"] = round(time.monotonic() - began, 1)
            await loads.all(do="close")
            await asyncio.sleep(_SETTLE_S)
            now = await sender.clients()
            found["descriptors_left_over"] = sender.descriptors() - fds
            found["rss_left_over"] = resident_bytes(sender.pid) - rss
            again_alone = await busy.run(compare)
            # Memory that was not returned to the system should be reused. The connections stay open at SIGHUP
            # and SIGTERM.
            await loads.open(kept)
            found["second_ramp_bytes"] = round((resident_bytes(sender.pid) - rss) / max(1, kept))
            os.kill(sender.pid, signal.SIGHUP)
            await asyncio.sleep(0.3)
            found["reload_closed"] = kept + BUSY - (await sender.clients())["open"]
            base = (alone["ok_p99"] + again_alone["ok_p99"]) / 2
            found["busy_p99_s"] = [round(x["ok_p99"], 5) for x in (alone, loaded, again_alone)]
            found["busy_p99_ratio"] = round(loaded["ok_p99"] / base, 3)
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


def targets(found: dict[str, Any]) -> dict[str, tuple[float, bool]]:
    """For each figure with a target: the target, and whether it is met."""

    def at_most(key: str, limit: float) -> tuple[float, bool]:
        return limit, found[key] <= limit

    by_figure: dict[str, tuple[float, bool]] = {
        "kept": (found["target"], found["kept"] >= found["target"]),
        "bytes_per_connection": at_most("bytes_per_connection", TARGET_BYTES[found["front"]]),
        "idle_cpu_share": at_most("idle_cpu_share", 0.02),
        "busy_p99_ratio": at_most("busy_p99_ratio", 1.1),
        "wake_unanswered": at_most("wake_unanswered", 0),
        "wake_busy_p99_s": at_most("wake_busy_p99_s", 2.0),
        "longest_turn_ms": at_most("longest_turn_ms", 50.0),
        "reset_left_over": at_most("reset_left_over", 0),
        "descriptors_left_over": at_most("descriptors_left_over", 0),
        "busy_lost": at_most("busy_lost", 0),
        "exit_code": at_most("exit_code", 0),
        "stop_s": at_most("stop_s", 3.7),
    }
    # It includes memory that the burst of submissions left allocated.
    by_figure["second_ramp_bytes"] = at_most("second_ramp_bytes", TARGET_BYTES[found["front"]])
    by_figure["reload_closed"] = at_most("reload_closed", 0)
    if found["front"] == "resp":  # idle connections cause no wakeups: those without any, and some variance
        limit = found["wakeups_per_s_none"] * 1.1 + 2
        by_figure["wakeups_per_s"] = (round(limit, 1), found["wakeups_per_s"] <= limit)
    return by_figure


def chart(path: Path, front: str, rows: list[dict[str, float]]) -> None:
    """Draw the rows as SVG, if matplotlib is installed."""
    try:
        import matplotlib  # type: ignore[import-not-found,unused-ignore]
    except ModuleNotFoundError:
        print("no chart: matplotlib is not installed (requirements-bench.txt)", file=sys.stderr)
        return
    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    open_counts = [row["held"] for row in rows]
    left.plot(open_counts, [row["ok_p50"] * 1000 for row in rows], label="p50 of +OK")
    left.plot(open_counts, [row["ok_p99"] * 1000 for row in rows], label="p99 of +OK")
    left.plot(open_counts, [row["delivered_p99"] * 1000 for row in rows], label="p99 of delivery")
    left.set(xlabel=f"idle {front} connections", ylabel="ms", title="Busy clients while idle ones connect")
    left.set_ylim(bottom=0)
    left.legend()
    right.plot(open_counts, [row["rss"] / 1e6 for row in rows], label="resident, above none open")
    limit = [count * TARGET_BYTES[front] / 1e6 for count in open_counts]
    right.plot(open_counts, limit, linestyle=":", label="target")
    right.set(xlabel=f"idle {front} connections", ylabel="MB", title="Memory")
    right.set_ylim(bottom=0)
    right.legend()
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})
    print(f"chart: {path}")


def main() -> int:
    """Measure the chosen front and print the table; 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--front", choices=("resp", "amqp"), default="resp")
    parser.add_argument("--connections", type=int, default=0, help="instead of 18,000 or 3,000")
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
    by_figure = targets(found)
    for key, value in found.items():
        target, met = by_figure.get(key, (None, True))
        shown = round(value, 4) if isinstance(value, float) else value
        print(f"{key:<28} {shown!s:>24} {'-' if target is None else target!s:>10}{'' if met else '  MISSED'}")
    chart(args.chart, args.front, rows)
    line = json.dumps({"quick": args.quick, **found})
    print(line)
    if args.json is not None:
        args.json.write_text(line + "\n")
    return 0 if all(met for _, met in by_figure.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
