"""A sender that is started anew goes by its list up to the moment at which the process before would have
stopped: it need not wait for its first answer, and changes made meanwhile are heeded in time.

Whole processes against a scripted discovery, that hangs or answers 503 from the kill on.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mountgauge.platform.lease_file import NAME
from tests.crossings.test_notified import GRACE_S, NOTIFIED_S, World
from tests.helper import run, until

AT_ONCE_S = 1.0  # from the process's start to its first send
WATCHED_S = 4.0  # past the due time, in which calls to the one that left are looked for


@pytest.mark.parametrize("fate", ["silent", "refuse"])
def test_a_new_process_goes_on_by_the_list_to_the_end_of_the_lease(tmp_path: Path, fate: str) -> None:
    async def main() -> None:
        async with World(tmp_path, [], ask_s=4.0) as world:
            world.process.kill()
            await world.process.wait()
            world.list.script[:] = [fate] * 100
            world.list.leaves(1)
            left_at = world.now()
            world.process = await world.launch()
            ready_at = world.now()
            await until(lambda: world.taken["stays"] and world.taken["stays"][-1] > ready_at, AT_ONCE_S)
            due = left_at + NOTIFIED_S + GRACE_S
            await asyncio.sleep(due + WATCHED_S - world.now())
            late = [round(at - due, 2) for at in world.taken["leaver"] if at > due]
            assert not late, f"calls so many seconds late: {late[-5:]}"
            world.list.script.clear()
            resumed_after = world.now()
            await until(lambda: world.taken["stays"][-1] > resumed_after, 15)

    run(main(), 60)


def test_a_spoilt_file_is_ignored_with_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        async with World(tmp_path, [], ask_s=4.0) as world:
            world.process.kill()
            await world.process.wait()
            (kept,) = tmp_path.rglob(NAME)
            kept.write_bytes(b"spoilt")
            world.list.script[:] = ["silent"] * 4
            world.process = await world.launch()
            ready_at = world.now()
            await asyncio.sleep(AT_ONCE_S)
            sent = [at for name in ("stays", "leaver") for at in world.taken[name] if at > ready_at]
            assert not sent, "nothing shows that the list is the newest"

    run(main(), 30)
