"""A class becomes stricter and goes back to what it was; then the sender is killed. Does a message that was
taken on while it might not be repeated run twice?
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as kit

DEADLINE_S = 8.0
ROUNDS = 5  # each one message for the slow partner and three for others, so it gets 25%
SLOW_S = 3.0  # 12.5 times the usual 0.24 s
SPELL_S = 9.0  # for which the partner is slow, from the sender's first start on
USED_AFTER_S = 1.5  # a class that appears is used after 1.2 s


async def slow(endpoint: kit.Endpoint, call: kit.Call) -> bytes | None:
    """Run a call at once, and answer it late while the spell lasts."""
    if call.came > endpoint.record.began + SPELL_S:
        return await kit.deliver(endpoint, call)
    call.ran = True
    endpoint.record.add("ran", endpoint=endpoint.name, ids=",".join(call.ids))
    await asyncio.sleep(SLOW_S)
    return kit.http(200)


def settings(effect: str) -> dict[str, Any]:
    """The settings with this effect of a second call of a route-update."""
    return kit.settings(
        [
            kit.message_class("stop-confirm", "deduplicated", 24.0, repeatWindow=25.0),
            kit.message_class("route-update", effect, DEADLINE_S, lateWorth=0.0),
        ]
    )


async def play(case: kit.Case) -> int:
    """The case."""
    platform = kit.Platform(case.record)
    await platform.listen()
    endpoints = []
    for dest in (1, 2, 3, 4):
        endpoint = kit.Endpoint(case.record, f"e{dest}", slow if dest == 1 else kit.deliver)
        await endpoint.listen()
        platform.put(endpoint.name, endpoint.address, cell=dest, weight=20.0)
        endpoints.append(endpoint)
    sender = case.sender(platform, settings("idempotent"))
    process = sender.start()
    await sender.ready(process)
    await asyncio.sleep(1.5)

    sender.settings = settings("at_most_once")
    sender.write_config()
    sender.signal(process, signal.SIGHUP)
    await asyncio.sleep(USED_AFTER_S)
    client = kit.Client(case.record, sender.client_address)
    messages = []
    for _ in range(ROUNDS):
        for dest in (1, 2, 3, 4):
            messages.append(await client.hand_in("route-update", dest, DEADLINE_S))
            await asyncio.sleep(0.03)

    if case.trouble:
        sender.settings = settings("idempotent")
    sender.write_config()
    sender.signal(process, signal.SIGHUP)
    await asyncio.sleep(0.5)
    out = sum(call.ended is None for call in endpoints[0].calls)
    sender.signal(process, signal.SIGKILL)
    process.wait()
    if not out:
        raise kit.CouldNotRunError("no call was out when the sender was killed")
    await asyncio.sleep(0.6)
    await sender.ready(sender.start())
    await asyncio.sleep(DEADLINE_S)

    faults = []
    for one in messages:
        ran = [call for at in endpoints for call in at.calls if one.id in call.ids and call.ran]
        ends = ",".join(notice.status for notice in platform.notices.get(one.id, [])) or "none"
        case.record.add("in-all", id=one.id, ran=len(ran), notices=ends)
        if one.accepted and len(ran) > 1:
            faults.append(
                f"{one.id} was taken on as at_most_once and ran {len(ran)} times, "
                f"{ran[1].came - ran[0].came:.1f} s apart"
            )
    return case.verdict(faults)


kit.main(play, str(Path(__file__).resolve().parent))
