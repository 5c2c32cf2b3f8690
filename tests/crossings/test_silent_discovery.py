"""A list may be used until its lease ends, and only evidence extends the lease: calls to discovery that are
not answered, or answered late, do not, however many they are (issue 43).

The tests run real processes against a scripted discovery, many at the same time, as each takes some ten
seconds. They assert the earliest time of the platform's rule: 6 s after discovery had the change and could be
reached, plus the grace of a drain; where lists are pushed, the same after the call fell silent.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from tests.crossings.test_notified import GRACE_S, NOTIFIED_S, World
from tests.helper import run, until

WATCHED_S = 5.0  # after the due time, in which no call may reach the endpoint that left
SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Scene:
    """How a sender's calls to discovery end while an endpoint leaves."""

    name: str
    senders: int
    script: tuple[str, ...]  # how each call ends, in order; further calls are answered
    answer_s: float = 0.0  # the time that each answer takes
    ask_s: float = 10.0
    mode: str = "subscribe"
    new: bool = True  # the endpoint leaves as the process starts, or else after the first silent call


SCENES = [
    *(
        scene
        for senders in (3, 40)
        for scene in (
            Scene("a new process, its first 4 calls", senders, (SILENT,) * 4),
            Scene("a new process, its first 8 calls", senders, (SILENT,) * 8),
            Scene("a new process, each call takes 7 s", senders, (), answer_s=7.0),
            Scene("a watch of 10 s", senders, ("answer", SILENT), new=False),
            Scene("a watch of 4 s and 4 after it", senders, ("answer", *(SILENT,) * 5), 0, 4.0, new=False),
        )
    ),
    Scene("an agent, 8 calls", 40, ("answer", *(SILENT,) * 8), mode="automatic", new=False),
    Scene("an agent, 8 calls of a new process", 40, (SILENT,) * 8, mode="automatic"),
]  # fmt: skip


async def late_calls(scene: Scene, folder: Path) -> list[str]:
    """Return a line if calls reached the endpoint that had left, or fail if the sender stopped serving."""
    folder.mkdir()
    world = World(folder, list(scene.script), scene.mode, scene.ask_s, scene.senders, scene.answer_s)
    found = []
    try:
        await world.begin()
        if not scene.new:
            await until(lambda: world.list.silent_since, 10)
        world.list.leaves(1)
        left_at = world.now()
        due = left_at + NOTIFIED_S + GRACE_S
        await asyncio.sleep(due + WATCHED_S - world.now())
        late = [round(at - left_at, 2) for at in world.received["leaver"] if at > due]
        if late:
            found.append(f"{scene.name}, {scene.senders} senders: calls after it left, in s: {late[-3:]}")
        if scene.answer_s == 0:
            resumed_after = world.now()
            await until(lambda: world.received["stays"] and world.received["stays"][-1] > resumed_after, 15)
    finally:
        await world.end()
    return found


def test_a_list_is_not_used_past_its_lease_while_discovery_is_silent(tmp_path: Path) -> None:
    async def main() -> None:
        scenes = [late_calls(scene, tmp_path / str(number)) for number, scene in enumerate(SCENES)]
        found = await asyncio.gather(*scenes)
        assert [line for lines in found for line in lines] == []

    run(main(), 60)
