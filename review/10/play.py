"""The process is replaced while it holds messages for endpoints that hang: does the folder keep its limit?"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as kit

DISK_MB = 3
LIMIT_BYTES = DISK_MB << 20  # the larger of the two readings of MB
BODY = b"x" * 44_000  # a body holds 64 KiB at most
HANGING, SOUND = (1, 2), (3, 4)  # destinations of one endpoint each
DEADLINE_S = 24.0
KILL_AFTER_S = 3.7  # SIGKILL after SIGTERM

# Prints the largest size of the folder that it has seen, in whole blocks of 512 bytes, once its input ends.
WATCHER = """
import os, select, sys
most, then = 0, []
while not select.select([0], [], [], 0)[0]:
    now = []
    for entry in os.scandir(sys.argv[1]):
        try:
            now.append((entry.name, -(-entry.stat().st_size // 512) * 512))
        except OSError:
            pass
    size = sum(one for _, one in now)
    if size > most:
        most, then = size, now
print(most, *(f"{name}:{size}" for name, size in sorted(then)))
"""


async def fill(case: kit.Case, sender: kit.Sender, dests: tuple[int, int], wanted: int) -> int:
    """Hand in messages, by turns for a hanging and a sound destination, until one for the first is refused
    or so many are taken on; returns how many for the first were.
    """
    client = kit.Client(case.record, sender.client_address)
    taken = 0
    while taken < wanted:
        await client.hand_in("stop-confirm", dests[1], DEADLINE_S)
        await asyncio.sleep(0.01)
        message = await client.hand_in("stop-confirm", dests[0], DEADLINE_S, body=BODY)
        if not message.accepted:
            break
        taken += 1
        await asyncio.sleep(0.01)  # a sender receives up to 120 messages a second
    client.close()
    return taken


async def replace(case: kit.Case, sender: kit.Sender) -> None:
    """Replace the process, under load, as the operators' page says."""
    old, console = sender.processes[-1], kit.free_port()
    sender.start(console)
    async with asyncio.timeout(10):
        while await kit.ask_console(console, "GET", "/_ready") != 200:
            await asyncio.sleep(0.02)
    case.record.add("yes", of="the new process")
    sender.signal(old, signal.SIGTERM)
    await asyncio.sleep(0.5)
    case.record.add("taken-on", by="the new process", messages=await fill(case, sender, (2, 4), 40))
    await sender.gone(old, KILL_AFTER_S)
    if old.poll() is None:
        sender.signal(old, signal.SIGKILL)


async def play(case: kit.Case) -> int:
    """The case."""
    record = case.record
    platform = kit.Platform(record)
    await platform.listen()
    for dest in (*HANGING, *SOUND):
        endpoint = kit.Endpoint(record, f"e{dest}", kit.hang if dest in HANGING else kit.deliver)
        await endpoint.listen()
        platform.put(endpoint.name, endpoint.address, cell=dest, weight=20.0)
    stop_confirm = kit.message_class("stop-confirm", "deduplicated", DEADLINE_S, repeatWindow=DEADLINE_S + 1)
    sender = case.sender(platform, kit.settings([stop_confirm]))
    sender.limits["disk_mb"] = DISK_MB
    sender.keep_listening()
    await sender.ready(sender.start(kit.free_port()))
    watcher = subprocess.Popen(
        [sys.executable, "-c", WATCHER, str(sender.folder / "state")],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    try:
        taken = await fill(case, sender, (1, 3), 90)
        record.add("taken-on", by="the first process", messages=taken)
        if case.trouble:
            await replace(case, sender)
        else:
            record.add("taken-on", by="the same process", messages=await fill(case, sender, (2, 4), 40))
            await asyncio.sleep(KILL_AFTER_S)
        await asyncio.sleep(1.0)
        found, _ = watcher.communicate(b"\n", timeout=5)
    finally:
        watcher.kill()
        watcher.wait()
    most, _, files = found.decode().strip().partition(" ")
    record.add("most-held", bytes=most, limit=LIMIT_BYTES, files=files)
    if taken < 30:
        raise kit.CouldNotRunError(f"only {taken} messages were taken on")
    faults = []
    if int(most) > LIMIT_BYTES:
        faults.append(f"the folder held {int(most) / 1e6:.2f} MB of {DISK_MB}: {files}")
    record.add("checked", at=f"{time.monotonic() - record.began:.1f}")
    return case.verdict(faults)


kit.main(play, str(Path(__file__).resolve().parent))
