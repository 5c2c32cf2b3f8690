"""A list is believed up to a time, and only evidence moves that time on: calls to discovery that are never
answered, or only late, however many of them there are (issue 43).

Whole processes against a scripted discovery, many worlds at once, as each takes some ten seconds. What is
asserted is the page's earliest moment: 6 s after discovery had the change and could be reached, with the
grace of a drain; where lists are pushed, the same after the call fell silent.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from tests.crossings.test_notified import GRACE_S, NOTIFIED_S, World
from tests.helper import run, until

WATCHED_S = 5.0  # past the due time, in which calls to the one that left are looked for
SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Scene:
    """What becomes of a sender's calls to discovery while an endpoint leaves."""

    name: str
    senders: int
    script: tuple[str, ...]  # the fate of each call, one after another; further ones are answered
    answer_s: float = 0.0  # that each answer takes
    ask_s: float = 10.0
    mode: str = "subscribe"
    new: bool = True  # the endpoint leaves as the process starts, else behind the first silent call


SCENES = [
    *(
        scene
        for senders in (3, 40)
        for scene in (
            Scene("a new process, its first 4 calls", senders, (SILENT,) * 4),
            Scene("a new process, its first 8 calls", senders, (SILENT,) * 8),
            Scene("a new process, each call takes 7 s", senders, (), answer_s=7.0),
            Scene("a watch of 10 s", senders, ("answer", SILENT), new=False),
            Scene("a watch of 4 s and 4 behind it", senders, ("answer", *(SILENT,) * 5), 0, 4.0, new=False),
        )
    ),
    Scene("an agent, 8 calls", 40, ("answer", *(SILENT,) * 8), mode="automatic", new=False),
    Scene("an agent, 8 calls of a new process", 40, (SILENT,) * 8, mode="automatic"),
]  # fmt: skip


async def late_calls(scene: Scene, folder: Path) -> list[str]:
    """A line for a scene in which calls went to the endpoint that had left, or in which service ended."""
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
        late = [round(at - left_at, 2) for at in world.taken["leaver"] if at > due]
        if late:
            found.append(f"{scene.name}, {scene.senders} senders: calls so many s after it left {late[-3:]}")
        if scene.answer_s == 0:
            resumed_after = world.now()
            await until(lambda: world.taken["stays"] and world.taken["stays"][-1] > resumed_after, 15)
    finally:
        await world.end()
    return found


def test_a_list_is_not_believed_while_discovery_is_silent(tmp_path: Path) -> None:
    async def main() -> None:
        scenes = [late_calls(scene, tmp_path / str(place)) for place, scene in enumerate(SCENES)]
        found = await asyncio.gather(*scenes)
        assert [line for lines in found for line in lines] == []

    run(main(), 60)
