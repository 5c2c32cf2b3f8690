"""Case 3: a process that starts while discovery is crowded goes by the list that it was started with."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

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
SENDERS = 12  # of the fleet, as the settings say; one of them is played
RATE = 12.0  # messages a second
LASTS_S = 4.0
WEIGHT = 240.0  # calls a second that a destination takes from all senders together
KILLED_AT_S = 4.0
DOWN_S = 1.4  # from SIGKILL to the next start
CROWDED_S = 8.0  # from SIGKILL on, as long as `herd+mass` has discovery down
GONE_AFTER_S = 6.2  # from `leaving` to `left`
TOLD_AFTER_S = 6.0  # at the latest, after discovery had the change
GRACE_S = 0.25
SLACK_S = 0.05  # by which every time limit is longer: of the 6 s, and of the grace


async def main(record: Record) -> bool:
    """Run the case; whether the rule held."""
    platform = Platform(record)
    endpoints = {name: Endpoint(platform, name) for name in ("e1", "e2", "e3")}
    for name, cell in (("e1", 1), ("e2", 1), ("e3", 2)):
        await endpoints[name].start()
        platform.entries.append(Entry(name, endpoints[name].port, cell, weight=WEIGHT))
    discovery = await platform.add_address("A")
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        config = configuration(platform, port, discovery.port, settings=settings(balancers=SENDERS))
        sender = Sender(record, Path(folder), config)
        client = Client(platform, port)
        try:
            await sender.start()
            await client.until_ready()
            handing_in = asyncio.create_task(hand_in(client))
            await asyncio.sleep(KILLED_AT_S)
            changed_at = await release(platform, sender, endpoints["e1"])
            await asyncio.sleep(changed_at + CROWDED_S + 3.0 - record.now())
            handing_in.cancel()
            for line in sender.log_lines("event=ready", "at=list", "discovery event=list-call-ended"):
                record.line(f"log: {line[:160]}")
        finally:
            await sender.end()
    return judge(record, platform, changed_at)


async def hand_in(client: Client) -> None:
    """Hand in messages at a steady rate to both destinations."""
    tasks: set[asyncio.Task[Fate]] = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(client.submit("route-update", 1 + number % 2, LASTS_S))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE)


async def release(platform: Platform, sender: Sender, replaced: Endpoint) -> float:
    """The sender is killed and started again, and an endpoint is replaced meanwhile; returns when the list
    said that the endpoint is leaving.
    """
    record, config = platform.record, {**sender.config, "known": platform.known()}
    sender.signal(signal.SIGKILL)
    await sender.processes[-1].wait()
    if disrupted():
        record.line("platform: discovery is crowded: each call waits for 1 s, and then fails with 503")
        platform.crowded_until = record.now() + CROWDED_S
    record.line("platform: version 42: e1, of destination 1, is leaving")
    changed_at = record.now()
    platform.entries[0].state = "leaving"
    platform.version = 42
    await asyncio.sleep(DOWN_S)
    sender.write(config)  # the list as this sender last had it
    await sender.start()
    await asyncio.sleep(changed_at + GONE_AFTER_S - record.now())
    record.line("platform: version 43: e1 has left; at its address e4 serves destination 2")
    replaced.server.stop_listening()
    replaced.server.close_connections()
    other = Endpoint(platform, "e4")
    await other.server.start(replaced.port)
    platform.entries[0] = Entry("e4", replaced.port, 2, weight=WEIGHT)
    platform.version = 43
    return changed_at


def judge(record: Record, platform: Platform, changed_at: float) -> bool:
    """A message goes to an endpoint of its destination, and to none that has been told to be leaving."""
    due = changed_at + TOLD_AFTER_S + SLACK_S + GRACE_S + SLACK_S
    foreign = [(fate, run) for fate in platform.fates.values() for run in fate.runs if run.endpoint == "e4"]
    foreign = [(fate, run) for fate, run in foreign if fate.dest != 2 and run.began > due]
    for fate, run in foreign:
        record.line(
            f"MISDELIVERED {fate.id} of destination {fate.dest}: at {run.began:.3f} to e4 of destination 2, "
            f"{run.began - changed_at:.3f} s after the list's change, {run.began - due:.3f} s late"
        )
    taken = sum(1 for fate in platform.fates.values() if fate.taken_on)
    require_load(taken, 100)
    longest = max((run.began - due for _, run in foreign), default=0.0)
    text = (
        f"taken on {taken}, run at another destination's endpoint {len(foreign)}, up to {longest:.3f} s late"
    )
    record.line(text)
    print(text)
    return not foreign


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, main, 100.0))
