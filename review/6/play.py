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

IDS = ("stop-1", "stop-2")  # for the slow partner: 2 of 8 messages
OTHERS = tuple(f"other-{number}" for number in range(6))
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

[[next_hop]]
id = "partner-two"
addr = "{other}"
dest = 2
"""


async def slow(endpoint: kit.Endpoint, call: kit.Call) -> bytes | None:
    """Run a call at once, and answer it late."""
    call.ran = True
    endpoint.record.add("ran", endpoint=endpoint.name, ids=",".join(call.ids))
    await asyncio.sleep(ANSWER_AFTER_S)
    return kit.http(200)


def publish(publisher: kit.Publisher) -> None:
    """Publish all messages that have no outcome yet."""
    for msg_id in (*IDS, *OTHERS):
        if msg_id not in publisher.outcomes:
            publisher.publish(msg_id, "order", 1 if msg_id in IDS else 2, b"stop " + msg_id.encode())


async def play(case: kit.Case, agents: list[subprocess.Popen[bytes]]) -> int:
    """The case."""
    record = case.record
    partner = kit.Endpoint(record, "partner-one", slow)
    other = kit.Endpoint(record, "partner-two")
    await partner.listen()
    await other.listen()
    amqp, status = kit.free_port(), kit.free_port()
    sender = SENDER.format(amqp=amqp, partner=partner.address, other=other.address)
    (case.folder / "sender.toml").write_text(sender)
    (case.folder / "agent.toml").write_text(kit.AGENT_FILE.format(status=status))
    agent = kit.start_agent(case, agents)
    publisher = kit.Publisher(record, ("127.0.0.1", amqp))
    await publisher.connected(15)
    publish(publisher)
    async with asyncio.timeout(3):
        while sum(call.ran for call in partner.calls) < len(IDS):
            await asyncio.sleep(0.01)

    agent.terminate()
    record.add("agent-SIGTERM")
    if case.trouble:
        await asyncio.sleep(DIES_AFTER_S)
        agent.kill()
        record.add("agent-SIGKILL")
    await kit.exited(agent, 8)
    kit.start_agent(case, agents)
    # The sender closes the publisher's connection; what it has not confirmed is published again, to the same
    # sender and under the same id.
    async with asyncio.timeout(10):
        await publisher.lost.wait()
    await publisher.connected(15)
    publish(publisher)
    await asyncio.sleep(WATCHED_S)

    faults = []
    for msg_id in (*IDS, *OTHERS):
        ran = [call for call in (*partner.calls, *other.calls) if call.ran and msg_id in call.ids]
        record.add("ran-in-all", id=msg_id, times=len(ran), outcome=publisher.outcomes.get(msg_id, "none"))
        if len(ran) > 1:
            faults.append(
                f"{msg_id} is at_most_once and ran {len(ran)} times, {ran[1].came - ran[0].came:.2f} s apart"
            )
    return case.verdict(faults)


kit.main_with_agents(play, str(Path(__file__).resolve().parent))
