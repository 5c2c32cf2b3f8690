"""Case 2: a message class disappears at SIGHUP while messages of it are being handed in."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins import (
    Client,
    Endpoint,
    Entry,
    Fate,
    Platform,
    Record,
    Sender,
    configuration,
    disrupted,
    free_port,
    require_load,
    run_case,
    settings,
)

FOLDER = Path(__file__).resolve().parent
CYCLES = 14
RATE = 50.0  # messages a second outside the clumps
WEIGHT = 80.0  # calls a second that a destination takes from both senders together
CLUMP = 40  # messages of a clump at this sender, half of what the destination takes in 1 s
LASTS_S = 6.0
USED_AFTER_S = 1.5  # after a class has appeared; the pages: 1.2 s
SLOTS, MAX_OPEN = 28, 400  # 2 times what this load keeps busy, 7 s of it


def grade(name: str, semantics: str, **extra: Any) -> dict[str, Any]:
    """A class of message."""
    return {"aim": 1.0, "deadline": 8.0, "group": "all", "lateWorth": 0.0, "name": name, "repeatWindow": 5.0,
            "semantics": semantics, "stream": False, "worth": 2.0, **extra}  # fmt: skip


ONCE = grade("stop-confirm", "at_most_once", aim=2.0, deadline=24.0, lateWorth=0.3, worth=1.0)
OTHERS = [grade("route-update", "idempotent"), grade("route-plan", "idempotent")]


def with_classes(config: dict[str, Any], *grades: dict[str, Any]) -> dict[str, Any]:
    """The configuration with these classes of message."""
    found = settings(grades=list(grades))
    found["extra"]["workers"], found["ceilings"]["maxOpen"] = SLOTS, MAX_OPEN
    return {**config, "settings": found}


async def main(record: Record) -> bool:
    """Run the case; whether the rule held."""
    platform = Platform(record)
    endpoints = [Endpoint(platform, f"e{number}") for number in range(1, 9)]
    for number, endpoint in enumerate(endpoints):  # four destinations of two endpoints each
        await endpoint.start()
        platform.entries.append(Entry(endpoint.name, endpoint.port, 1 + number // 2, weight=WEIGHT))
    discovery = await platform.add_address("A")
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        both = with_classes(configuration(platform, port, discovery.port), ONCE, *OTHERS)
        sender = Sender(record, Path(folder), both)
        client = Client(platform, port)
        try:
            await sender.start()
            await client.until_ready()
            others = asyncio.create_task(hand_in_others(client))
            await asyncio.sleep(3.0)
            for cycle in range(CYCLES):
                await one_cycle(endpoints, client, sender, both, cycle)
            others.cancel()
            for line in sender.log_lines("retuned", "violated", "turn"):
                record.line(f"log: {line}")
            if sender.processes[-1].returncode is not None:
                record.line("the sender has crashed")
                return False
        finally:
            await sender.end()
    return judge(record, platform)


async def one_cycle(
    endpoints: list[Endpoint], client: Client, sender: Sender, both: dict[str, Any], cycle: int
) -> None:
    """A clump of messages of the class, the class disappears, and then appears again."""
    record, dest = client.platform.record, 1 + cycle % 4
    for endpoint in endpoints:  # one of eight is failing: it runs each call and answers with an error
        fails = endpoint is endpoints[2 * (dest - 1) + cycle // 4 % 2]
        endpoint.status, endpoint.pace_s = (500, 0.05) if fails else (200, 0.25)
    clump = Client(client.platform, client.port, f"c{cycle}")
    await clump.connections(CLUMP)
    await asyncio.sleep(0.1)
    tasks = [asyncio.create_task(clump.submit("stop-confirm", dest, LASTS_S)) for _ in range(CLUMP)]
    await asyncio.sleep(0.001 * (cycle % 3))  # the tasks begin: all messages are handed in
    if disrupted():
        record.line("platform: a new file, without the class stop-confirm")
        sender.write(with_classes(both, *OTHERS))
        sender.signal(signal.SIGHUP)
    await asyncio.gather(*tasks)
    clump.close()
    await asyncio.sleep(2.5)
    if disrupted():
        record.line("platform: a new file, with the class stop-confirm again")
        sender.write(both)
        sender.signal(signal.SIGHUP)
    await asyncio.sleep(USED_AFTER_S)


async def hand_in_others(client: Client) -> None:
    """Hand in messages of another class at a steady rate to all destinations."""
    tasks: set[asyncio.Task[Fate]] = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(client.submit("route-update", 1 + number % 4, LASTS_S))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE)


def judge(record: Record, platform: Platform) -> bool:
    """A message of an at_most_once class that may have run must not be sent again."""
    unsafe = [fate for fate in platform.fates.values() if fate.message_class == "stop-confirm"]
    twice = [fate for fate in unsafe if len(fate.runs) > 1]
    for fate in twice:
        record.line(f"RUN {len(fate.runs)} TIMES {fate.id}: {fate.runs}")
    taken = sum(1 for fate in unsafe if fate.taken_on)
    require_load(taken, 200)
    once = sum(1 for fate in unsafe if len(fate.runs) == 1)
    text = f"stop-confirms handed in {len(unsafe)}, taken on {taken}, run once {once}, run again {len(twice)}"
    record.line(text)
    print(text)
    return not twice


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, main, 110.0))
