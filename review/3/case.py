"""Case 3: the process is replaced while some endpoints hang through the old one's whole shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins import (
    HOST,
    Client,
    Endpoint,
    Entry,
    NotRunError,
    Platform,
    Record,
    Sender,
    configuration,
    disrupted,
    free_port,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
RATE = 25.0  # messages a second
SLACK_S = 0.5 + 0.05  # after its time; later it is lost
EXCUSED_S = 1.5  # from the SIGTERM: taken in the old process's favour, though the new one is ready already
KILLED_AFTER_S = 3.7  # from SIGTERM to SIGKILL
HUNG = 3  # of eight endpoints
MEAN_S, LONGEST_S = 0.29, 1.0  # of the time that a call takes
REPLACED_AT_S, LAST_AT_S = 6.0, 11.0


def inherit_listener(port: int) -> None:
    """The platform keeps the clients' listening socket; each process inherits it as descriptor 5."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(128)
    os.dup2(listener.fileno(), 5, inheritable=True)
    listener.close()


async def says_ready(port: int) -> bool:
    """Whether the process answers `GET /_ready` at its console with a 2xx."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /_ready HTTP/1.1\r\nHost: console\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return line.startswith(b"HTTP/1.1 2")


async def start_process(sender: Sender) -> None:
    """Start a process with a console address of its own, and wait until it takes clients."""
    console = free_port()
    await sender.start((5,), GW_LISTEN_FD="5", GW_CONSOLE=f"{HOST}:{console}")
    until = time.monotonic() + 30
    while not await says_ready(console):
        if time.monotonic() > until:
            raise NotRunError("a process did not get ready")
        await asyncio.sleep(0.05)
    sender.record.line(f"sender: process {len(sender.processes)} says yes")


async def main(record: Record) -> bool:
    """Run the case; whether the rule held."""
    platform = Platform(record)
    endpoints = [Endpoint(platform, f"e{number}") for number in range(1, 9)]
    times = Random(55)
    for number, endpoint in enumerate(endpoints, 1):
        await endpoint.start()
        endpoint.draw = lambda: min(times.expovariate(1 / MEAN_S), LONGEST_S)
        platform.entries.append(Entry(endpoint.name, endpoint.port, number))
    discovery = await platform.add_address("A")
    port = free_port()
    inherit_listener(port)
    with tempfile.TemporaryDirectory() as folder:
        sender = Sender(record, Path(folder), configuration(platform, port, discovery.port))
        client = Client(platform, port)
        try:
            await start_process(sender)
            replacing = asyncio.create_task(replace(sender, endpoints))
            await hand_in(client)
            told_at = await replacing
            await asyncio.sleep(9.0)
            for line in sender.log_lines("at=run"):
                record.line(f"log: {line}")
        finally:
            await sender.end()
    return judge(record, platform, told_at)


async def hand_in(client: Client) -> None:
    """Hand in messages at a steady rate to all destinations."""
    record, number, tasks = client.platform.record, 0, []
    began = record.now()
    while record.now() - began < LAST_AT_S:
        number += 1
        dest, late = 1 + number % 8, number // 8 % 4
        # Some are handed in again after a refusal and have little of their time left.
        if late:
            tasks.append(asyncio.create_task(client.submit("route-update", dest, (8.0, 1.0, 1.4, 1.8)[late])))
        else:
            tasks.append(asyncio.create_task(client.submit("stop-confirm", dest, 8.0, keyed=True)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)


async def replace(sender: Sender, endpoints: list[Endpoint]) -> float:
    """Replace the process; returns when SIGTERM was sent to the old one."""
    record = sender.record
    await asyncio.sleep(REPLACED_AT_S)
    await start_process(sender)
    if disrupted():
        record.line(f"platform: {HUNG} of {len(endpoints)} endpoints hang from now on")
        for endpoint in endpoints[:HUNG]:
            endpoint.silent = True
        await asyncio.sleep(0.6)
    told_at = record.now()
    old = sender.processes[0]
    sender.signal(signal.SIGTERM, old)
    try:
        async with asyncio.timeout(KILLED_AFTER_S):
            code = await old.wait()
            record.line(
                f"sender: process 1 has ended with {code}, {record.now() - told_at:.3f} s after SIGTERM"
            )
    except TimeoutError:
        sender.signal(signal.SIGKILL, old)
    return told_at


def judge(record: Record, platform: Platform, told_at: float) -> bool:
    """Every message that was taken on has to be delivered, or ended by a notice, in its time."""
    taken = [fate for fate in platform.fates.values() if fate.taken_on]
    lost, longest = 0, 0.0
    for fate in taken:
        ended, bound = fate.ended_at(), fate.sent_at + fate.lasts_s + SLACK_S
        if told_at <= bound:
            bound = max(bound, told_at + EXCUSED_S)
        if ended is None or ended > bound:
            lost += 1
            late = float("inf") if ended is None else ended - (fate.sent_at + fate.lasts_s)
            longest = max(longest, late)
            record.line(
                f"LOST {fate.id}: dest {fate.dest}, sent {fate.sent_at:.3f}, its time was up at "
                f"{fate.sent_at + fate.lasts_s:.3f}, ended {ended}, {late:.3f} s late"
            )
    delivered = sum(1 for fate in taken if any(status == 200 for _, _, status in fate.runs))
    text = f"taken on {len(taken)}, delivered {delivered}, lost {lost}, the latest by {longest:.3f} s"
    record.line(text)
    print(text)
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, main, 100.0))
