"""The process is replaced while two of four endpoints hang: does each message get its end in time?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as kit

DEADLINE_S = 3.0  # of route-update; the close-range days have "shorter deadlines"
# "Up to half a second after its time it only earns nothing" (STANDING); limits on sockets are 50 ms longer.
OVERDUE_AFTER_S = 0.5 + 0.05
EXCUSED_FOR_S = 1.5  # after the SIGTERM: as of a restart whose sender is ready again at that moment
KILL_AFTER_S = 3.7  # SIGKILL after SIGTERM
PLAYED_S = 18.0
REPLACED_AT_S = 5.0
FIRST_HANGS_S, SECOND_HANGS_S = 2.5, 0.4  # before the SIGTERM


async def hand_in(case: kit.Case, sender: kit.Sender, dest: int, all_: list[kit.Message]) -> None:
    """Hand in four messages a second for one destination, on one kept connection."""
    name, left = ("stop-confirm", 24.0) if dest == 2 else ("route-update", DEADLINE_S)
    client = kit.Client(case.record, sender.client_address)
    until = time.monotonic() + PLAYED_S - DEADLINE_S - 2
    while time.monotonic() < until:
        all_.append(await client.hand_in(name, dest, left))
        await asyncio.sleep(0.25)
    client.close()


async def begin_replacing(case: kit.Case, sender: kit.Sender) -> None:
    """Start the new process beside the old one, and wait for its yes."""
    console = kit.free_port()
    sender.start(console)
    async with asyncio.timeout(10):
        while await kit.ask_console(console, "GET", "/_ready") != 200:
            await asyncio.sleep(0.02)
    case.record.add("yes", of="the new process")


async def end_old(sender: kit.Sender) -> float:
    """End the old process; returns when it got SIGTERM, which is within 6 s of the new one's yes."""
    old = sender.processes[0]
    at = sender.signal(old, signal.SIGTERM)
    await sender.gone(old, KILL_AFTER_S)
    if old.poll() is None:
        sender.signal(old, signal.SIGKILL)
    return at


def faults(
    case: kit.Case,
    messages: list[kit.Message],
    calls: list[kit.Call],
    platform: kit.Platform,
    terminated: float | None,
) -> list[str]:
    """The messages whose end came too late, or never."""
    found, now = [], time.monotonic()
    for one in messages:
        due = one.expires + OVERDUE_AFTER_S
        if terminated is not None and terminated <= due < terminated + EXCUSED_FOR_S:
            due = terminated + EXCUSED_FOR_S
        if not one.accepted or due > now:
            continue
        ends = [call.ended for call in calls if one.id in call.ids and call.ran and call.ended is not None]
        ends += [notice.at for notice in platform.notices.get(one.id, [])]
        late = min(ends, default=float("inf")) - due
        if late > 0:
            since = (
                f"{one.expires - terminated:.2f} s after the SIGTERM" if terminated else "without a restart"
            )
            found.append(f"{one.id}: its time was up {since}; its end came {late:.2f} s after it was overdue")
    return found


async def play(case: kit.Case) -> int:
    """The case."""
    record = case.record
    platform = kit.Platform(record)
    await platform.listen()
    endpoints = []
    for dest in (1, 2, 3, 4):
        endpoint = kit.Endpoint(record, f"e{dest}")
        await endpoint.listen()
        platform.put(endpoint.name, endpoint.address, cell=dest, weight=20.0)
        endpoints.append(endpoint)
    classes = [
        kit.message_class("stop-confirm", "deduplicated", 24.0, repeatWindow=25.0),
        kit.message_class("route-update", "idempotent", DEADLINE_S, lateWorth=0.0),
    ]
    sender = case.sender(platform, kit.settings(classes))
    sender.keep_listening()
    await sender.ready(sender.start(kit.free_port()))
    messages: list[kit.Message] = []
    began = time.monotonic()
    load = [asyncio.create_task(hand_in(case, sender, dest, messages)) for dest in (1, 2, 3, 4)]
    await asyncio.sleep(REPLACED_AT_S - FIRST_HANGS_S)
    if case.trouble:
        await begin_replacing(case, sender)
    endpoints[0].behaviour = kit.hang
    record.add("hangs", endpoint="e1")
    await asyncio.sleep(FIRST_HANGS_S - SECOND_HANGS_S)
    endpoints[1].behaviour = kit.hang
    record.add("hangs", endpoint="e2")
    await asyncio.sleep(SECOND_HANGS_S)
    terminated = await end_old(sender) if case.trouble else None
    await asyncio.sleep(3.5)
    for endpoint in endpoints[:2]:
        endpoint.behaviour = kit.deliver
    record.add("hang-over")
    await asyncio.gather(*load)
    await asyncio.sleep(max(0.0, began + PLAYED_S - time.monotonic()))
    accepted = sum(one.accepted for one in messages)
    record.add("accepted", messages=accepted, of=len(messages))
    if accepted < 20:
        raise kit.CouldNotRunError(f"only {accepted} messages were accepted")
    calls = [call for endpoint in endpoints for call in endpoint.calls]
    return case.verdict(faults(case, messages, calls, platform, terminated))


kit.main(play, str(Path(__file__).resolve().parent))
