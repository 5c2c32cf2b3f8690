"""Case 1: a configuration file without its key `discovery` is read at SIGHUP."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins import (
    HOST,
    Client,
    Endpoint,
    Entry,
    HttpServer,
    Platform,
    Record,
    Sender,
    configuration,
    disrupted,
    free_port,
    require_load,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
RATE = 10.0  # messages a second
LASTS_S = 4.0  # each may still be delivered for so long
SLACK_S = 0.5 + 0.05  # after its time; later it is lost
MOVED_AT_S, BROKEN_AT_S, LAST_AT_S = 3.0, 7.0, 26.0
LEAVING_AT_S, LEFT_AT_S = 13.0, 16.0  # a routine replacement of one endpoint


async def main(record: Record) -> bool:
    """Run the case; whether the rule held."""
    platform = Platform(record)
    endpoints = [Endpoint(platform, f"e{number}") for number in (1, 2, 3)]
    for endpoint in endpoints:
        await endpoint.start()
    platform.entries = [Entry("e1", endpoints[0].port, 1), Entry("e2", endpoints[1].port, 2)]
    first, second = await platform.add_address("A"), await platform.add_address("B")
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        config = configuration(platform, port, first.port)
        sender = Sender(record, Path(folder), config)
        client = Client(platform, port)
        try:
            await sender.start()
            await client.until_ready()
            await hand_in(client, sender, first, second.port, endpoints)
            await asyncio.sleep(LASTS_S + SLACK_S + 0.5)
            for line in sender.log_lines("run event", "discovery event")[:40]:
                record.line(f"log: {line}")
            if sender.processes[-1].returncode is not None:
                record.line("the sender has crashed")
                return False
        finally:
            await sender.end()
    return judge(record, platform)


async def hand_in(
    client: Client, sender: Sender, first: HttpServer, second: int, endpoints: list[Endpoint]
) -> None:
    """Hand in messages at a steady rate while the steps of the case are taken."""
    platform, record = client.platform, client.platform.record
    moved = {**sender.config, "discovery": f"{HOST}:{second}"}

    def move() -> None:
        record.line("platform: a complete file names discovery's new address B; A accepts no new connection")
        sender.write(moved)
        first.stop_listening()
        sender.signal(signal.SIGHUP)

    def break_file() -> None:
        record.line("platform: a broken file, which lacks the key `discovery`")
        sender.write({name: value for name, value in moved.items() if name != "discovery"})
        sender.signal(signal.SIGHUP)

    def list_leaving() -> None:
        record.line("platform: version 42: e1 is leaving, e3 takes its place")
        platform.entries[0].state = "leaving"
        platform.entries.append(Entry("e3", endpoints[2].port, 1))
        platform.version = 42

    def list_left() -> None:
        record.line("platform: version 43: e1 has left; its process ends")
        del platform.entries[0]
        platform.version = 43
        endpoints[0].server.stop_listening()
        endpoints[0].server.close_connections()

    steps = [(MOVED_AT_S, move), (MOVED_AT_S + 1.5, first.close_connections),
             (LEAVING_AT_S, list_leaving), (LEFT_AT_S, list_left)]  # fmt: skip
    if disrupted():
        steps.insert(2, (BROKEN_AT_S, break_file))
    began, number, tasks = record.now(), 0, []
    while (at := record.now() - began) < LAST_AT_S:
        while steps and steps[0][0] <= at:
            steps.pop(0)[1]()
        number += 1
        message_class, keyed = (("stop-confirm", True), ("route-update", False))[number % 2]
        tasks.append(asyncio.create_task(client.submit(message_class, 1 + number // 2 % 2, LASTS_S, keyed)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)


def judge(record: Record, platform: Platform) -> bool:
    """Every message that was taken on has to be delivered, or ended by a notice, in its time."""
    taken = [fate for fate in platform.fates.values() if fate.taken_on]
    require_load(len(taken), 150)
    lost = []
    for fate in taken:
        ended = fate.ended_at()
        if ended is None or ended > fate.sent_at + fate.lasts_s + SLACK_S:
            lost.append(fate)
            record.line(f"LOST {fate.id}: sent {fate.sent_at:.3f}, ended {ended}, runs {fate.runs}")
    delivered = sum(1 for fate in taken if fate.delivered)
    text = f"handed in {len(platform.fates)}, taken on {len(taken)}, delivered {delivered}, lost {len(lost)}"
    record.line(text)
    print(text)
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, main, 100.0))
