"""A 503 or a reset shows a discovery that runs. By itself it proves nothing about the list and does not renew
the lease.

The tests run real processes against a scripted discovery, many at the same time. They assert the earliest
time of the platform's rule: 6 s after discovery had the change and could be reached, plus the grace of a
drain; where lists are pushed, the same after the call fell silent.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from tests.crossings.test_notified import GRACE_S, NOTIFIED_S, World
from tests.helper import run, until

WATCHED_S = 6.0  # after the due time, in which no call may reach the endpoint that left
DOWN_S = 3.0  # between one process and the next
SILENT, REFUSE, RESET, ANSWER = "silent", "refuse", "reset", "answer"


@dataclass(frozen=True, slots=True)
class Scene:
    """How a sender's calls to discovery end while an endpoint leaves."""

    name: str
    senders: int
    script: tuple[str, ...]  # how each call ends, in order; further calls are answered
    mode: str = "subscribe"
    new: bool = True  # the endpoint leaves as the process starts, or else with the first refused call


REFUSED_THEN_SILENT = (*(REFUSE,) * 4, *(SILENT,) * 8)
ALTERNATING = (SILENT, REFUSE) * 6
SCENES = [
    *(
        scene
        for senders in (12, 200)
        for scene in (
            Scene("a new process, four refused, then silent", senders, REFUSED_THEN_SILENT),
            Scene("a new process, silent and refused in turn", senders, ALTERNATING),
            Scene(
                "one answer, refused and silent in turn", senders, (ANSWER, REFUSE, *ALTERNATING), new=False
            ),
        )
    ),
    Scene("an agent, refused and silent in turn", 3, (ANSWER, REFUSE, *ALTERNATING), "automatic", new=False),
    Scene("an agent, refused and silent in turn", 12, (ANSWER, REFUSE, *ALTERNATING), "automatic", new=False),
    Scene("an agent, a new process, four refused, then silent", 12, REFUSED_THEN_SILENT, "automatic"),
]
RESET_SCENES = [
    *(
        scene
        for senders in (12, 200)
        for scene in (
            Scene("a new process, reset, then silent", senders, (*(RESET,) * 12, *(SILENT,) * 8)),
            Scene(
                "one answer, reset, then silent", senders, (ANSWER, *(RESET,) * 12, *(SILENT,) * 8), new=False
            ),
        )
    ),
    Scene("an agent, reset and silent in turn", 12, (ANSWER, *(RESET, SILENT) * 6), "automatic", new=False),
]


async def late_calls(scene: Scene, folder: Path) -> list[str]:
    """Return a line if calls reached the endpoint that had left, or fail if the sender stopped serving."""
    folder.mkdir()
    world = World(folder, list(scene.script), scene.mode, 10.0, scene.senders)
    found = []
    try:
        await world.begin()
        if not scene.new:
            await until(lambda: len(world.list.calls) >= 2, 10)
        world.list.leaves(1)
        left_at = world.now()
        due = left_at + NOTIFIED_S + GRACE_S
        await asyncio.sleep(due + WATCHED_S - world.now())
        late = [round(at - due, 2) for at in world.received["leaver"] if at > due]
        if late:
            found.append(f"{scene.name}, {scene.senders} senders: {len(late)} calls, up to {late[-1]} s late")
        world.list.script.clear()
        resumed_after = world.now()
        await until(lambda: world.received["stays"] and world.received["stays"][-1] > resumed_after, 15)
    finally:
        await world.end()
    return found


def test_a_refused_new_process_applies_a_change_from_before_its_start(tmp_path: Path) -> None:
    """The list that the process is started with may be older than the change."""

    async def main() -> None:
        async with World(tmp_path, [], senders=12) as world:
            world.process.kill()
            await world.process.wait()
            world.list.leaves(1)
            due = world.now() + NOTIFIED_S + GRACE_S
            world.list.script[:] = [REFUSE] * 100
            await asyncio.sleep(DOWN_S)
            world.process = await world.launch()
            await asyncio.sleep(due + DOWN_S - world.now())
            late = [round(at - due, 2) for at in world.received["leaver"] if at > due]
            assert not late, f"{len(late)} calls, up to {late[-1]} s late"

    run(main(), 40)


async def none_late(scenes: list[Scene], folder: Path) -> None:
    found = await asyncio.gather(
        *(late_calls(one, folder / str(number)) for number, one in enumerate(scenes))
    )
    late = [line for lines in found for line in lines]
    assert not late, "\n".join(late)


def test_a_503_does_not_renew_the_lease_on_the_list(tmp_path: Path) -> None:
    run(none_late(SCENES, tmp_path), 60)


def test_a_reset_does_not_renew_the_lease_on_the_list(tmp_path: Path) -> None:
    run(none_late(RESET_SCENES, tmp_path), 60)


def test_a_new_process_whose_calls_break_rejects_messages_until_discovery_answers(tmp_path: Path) -> None:
    """It accepted them and held them for up to their deadline; another sender may have a list."""

    async def main() -> None:
        async with World(tmp_path, [], senders=12) as world:
            world.process.kill()
            await world.process.wait()
            world.client.cancel()
            world.list.script[:] = [RESET] * 100
            calls_before = len(world.list.calls)
            world.process = await world.launch()
            await until(lambda: len(world.list.calls) >= calls_before + 2)
            received = len(world.received["stays"] + world.received["leaver"])
            answers = await world.send(("early", "safe"), ("second", "safe"))
            assert answers == [b"-BUSY 250\r\n"] * 2
            world.list.script.clear()
            while await world.send(("retry", "safe")) != [b"+OK\r\n"]:
                await asyncio.sleep(0.1)
            await until(lambda: len(world.received["stays"] + world.received["leaver"]) > received)

    run(main(), 40)
