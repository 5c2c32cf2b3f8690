"""The agent dies while its instance drains, and is started again: is a message that may not be repeated sent
twice?
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as kit

IDS = ("stop-1", "stop-2")
ANSWER_AFTER_S = 4.8  # 16 times the 0.3 s of a partner system of usual pace; the page allows 9 to 19 times
DIES_AFTER_S = 1.9  # from the agent's SIGTERM to its death; the instance drains for 3.4 s
WATCHED_S = 9.0  # after the publishes were made again

SENDER = """
name = "n1"
state = "state"

[amqp]
listen = "127.0.0.1:{amqp}"

[[class]]
name = "order"
semantics = "at_most_once"
deadline = 24
aim = 8

[[next_hop]]
id = "partner-one"
addr = "{partner}"
dest = 1
"""
AGENT = """
[agent]
listen = "127.0.0.1:{status}"

[[instance]]
file = "sender.toml"
"""


async def slow(endpoint: kit.Endpoint, call: kit.Call) -> bytes | None:
    """Run a call at once, and answer it late."""
    call.ran = True
    endpoint.record.add("ran", endpoint=endpoint.name, ids=",".join(call.ids))
    await asyncio.sleep(ANSWER_AFTER_S)
    return kit.http(200)


def start_agent(case: kit.Case, agents: list[subprocess.Popen[bytes]]) -> subprocess.Popen[bytes]:
    """Start the agent with the deploy file's program."""
    with (case.folder / f"agent-{len(agents)}.txt").open("wb") as log:
        agents.append(
            subprocess.Popen(
                [
                    "/bin/sh",
                    "-c",
                    'exec .venv/bin/python -m mountgauge agent "$0"',
                    case.folder / "agent.toml",
                ],
                cwd=kit.ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                process_group=0,  # its instances are ended with it at the end of the case
            )
        )
    case.record.add("agent-started", number=len(agents))
    return agents[-1]


async def connected(publisher: kit.Publisher, limit: float) -> None:
    """Connect, as often as it takes."""
    async with asyncio.timeout(limit):
        while not await publisher.connect():
            await asyncio.sleep(0.02)


async def exited(process: subprocess.Popen[bytes], limit: float) -> None:
    """Wait for a process's end."""
    async with asyncio.timeout(limit):
        while process.poll() is None:
            await asyncio.sleep(0.02)


async def play(case: kit.Case, agents: list[subprocess.Popen[bytes]]) -> int:
    """The case."""
    record = case.record
    partner = kit.Endpoint(record, "partner-one", slow)
    await partner.listen()
    amqp, status = kit.free_port(), kit.free_port()
    (case.folder / "sender.toml").write_text(SENDER.format(amqp=amqp, partner=partner.address))
    (case.folder / "agent.toml").write_text(AGENT.format(status=status))
    agent = start_agent(case, agents)
    publisher = kit.Publisher(record, ("127.0.0.1", amqp))
    await connected(publisher, 15)
    for msg_id in IDS:
        publisher.publish(msg_id, "order", 1, b"stop " + msg_id.encode())
    async with asyncio.timeout(3):
        while sum(call.ran for call in partner.calls) < len(IDS):
            await asyncio.sleep(0.01)

    agent.terminate()
    record.add("agent-SIGTERM")
    if case.trouble:
        await asyncio.sleep(DIES_AFTER_S)
        agent.kill()
        record.add("agent-SIGKILL")
    await exited(agent, 8)
    start_agent(case, agents)
    # The sender closes the publisher's connection; what it has not confirmed is published again, to the same
    # sender and under the same id.
    async with asyncio.timeout(10):
        await publisher.lost.wait()
    await connected(publisher, 15)
    for msg_id in IDS:
        if msg_id not in publisher.outcomes:
            publisher.publish(msg_id, "order", 1, b"stop " + msg_id.encode())
    await asyncio.sleep(WATCHED_S)

    faults = []
    for msg_id in IDS:
        ran = [call for call in partner.calls if call.ran and msg_id in call.ids]
        record.add("ran-in-all", id=msg_id, times=len(ran), outcome=publisher.outcomes.get(msg_id, "none"))
        if len(ran) > 1:
            faults.append(
                f"{msg_id} is at_most_once and ran {len(ran)} times, {ran[1].came - ran[0].came:.2f} s apart"
            )
    return case.verdict(faults)


async def play_and_end(case: kit.Case) -> int:
    """Play the case, and end the agents and their instances."""
    agents: list[subprocess.Popen[bytes]] = []
    try:
        return await play(case, agents)
    finally:
        for agent in agents:
            kit.end_group(agent)


kit.main(play_and_end, str(Path(__file__).resolve().parent))
