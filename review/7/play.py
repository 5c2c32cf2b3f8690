"""The agent dies while its instance drains, and is started again; the publisher's channel closes before the
confirm. Does the publisher ever hear the outcome?
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as kit

IDS = ("route-1", "route-2")  # for the slow partner: 2 of 8 messages
OTHERS = tuple(f"other-{number}" for number in range(6))
ANSWER_AFTER_S = (
    3.05  # 12.7 times the 0.24 s of a partner system of usual pace; the page allows 9 to 19 times
)
DIES_AFTER_S = 1.75  # from the agent's SIGTERM to its death; the instance drains for up to 3.4 s
BREAKS_AFTER_S = 2.4  # from the agent's SIGTERM until the publisher's connection breaks
DEADLINE_S = 8.0
SLACK_S = 0.5 + 0.05  # after its time, in which a final answer still counts

SENDER = """
name = "n1"
state = "state"

[amqp]
listen = "127.0.0.1:{amqp}"

[[class]]
name = "route-update"
semantics = "idempotent"
deadline = {deadline}
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
    await asyncio.sleep(ANSWER_AFTER_S)
    return kit.http(200)


def publish(publisher: kit.Publisher) -> None:
    """Publish all messages that have no outcome yet."""
    for msg_id in (*IDS, *OTHERS):
        if msg_id not in publisher.outcomes:
            body = b"position of " + msg_id.encode()
            publisher.publish(msg_id, "route-update", 1 if msg_id in IDS else 2, body)


async def play(case: kit.Case, agents: list[subprocess.Popen[bytes]]) -> int:
    """The case."""
    record = case.record
    partner = kit.Endpoint(record, "partner-one", slow)
    other = kit.Endpoint(record, "partner-two")
    await partner.listen()
    await other.listen()
    amqp, status = kit.free_port(), kit.free_port()
    sender = SENDER.format(amqp=amqp, partner=partner.address, other=other.address, deadline=DEADLINE_S)
    (case.folder / "sender.toml").write_text(sender)
    (case.folder / "agent.toml").write_text(kit.AGENT_FILE.format(status=status))
    agent = kit.start_agent(case, agents)
    publisher = kit.Publisher(record, ("127.0.0.1", amqp))
    await publisher.connected(15)
    publish(publisher)
    async with asyncio.timeout(3):
        while not any(call.ran for call in partner.calls):
            await asyncio.sleep(0.01)

    agent.terminate()
    record.add("agent-SIGTERM")
    await asyncio.sleep(DIES_AFTER_S)
    if case.trouble:
        agent.kill()
        record.add("agent-SIGKILL")
        await kit.exited(agent, 1)
        kit.start_agent(case, agents)
    # The publisher's connection breaks before its messages are confirmed. It connects to the same sender
    # again, and publishes them under the same ids.
    await asyncio.sleep(BREAKS_AFTER_S - DIES_AFTER_S)
    publisher.close()
    record.add("publisher-lost-its-connection")
    if not case.trouble:
        await kit.exited(agent, 8)
        kit.start_agent(case, agents)
    await publisher.connected(15)
    publish(publisher)
    again = time.monotonic()
    while time.monotonic() < again + DEADLINE_S + SLACK_S and len(publisher.outcomes) < len(IDS) + len(
        OTHERS
    ):
        if publisher.lost.is_set():  # once more; whatever is known must be told then
            await publisher.connected(15)
            publish(publisher)
        await asyncio.sleep(0.01)

    faults = []
    for msg_id in (*IDS, *OTHERS):
        answered = [
            call for call in (*partner.calls, *other.calls) if msg_id in call.ids and call.ended is not None
        ]
        outcome = publisher.outcomes.get(msg_id, "none")
        record.add("in-all", id=msg_id, calls=len(answered), outcome=outcome)
        if outcome == "none":
            faults.append(
                f"{msg_id} was published again and got neither ack nor nack within its {DEADLINE_S:.0f} s "
                f"and {SLACK_S} s more, on a connection that stayed open"
            )
    return case.verdict(faults)


kit.main_with_agents(play, str(Path(__file__).resolve().parent))
