"""Ten thousand restored messages for one destination delay neither another destination nor clients."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from mountgauge.core.journal import Journal, StoredMessage
from mountgauge.operator_file import load
from mountgauge.run.operator import OperatorRuntime
from tests.helper import HOST, HttpHop, RespClient, run, until

COUNT = 10_000


def test_ten_thousand_restored_messages_do_not_delay_another_destination(tmp_path: Path) -> None:
    file, state = tmp_path / "one.toml", tmp_path / "state"
    state.mkdir()
    journal = Journal(state, 64_000_000)
    for number in range(COUNT):
        expires = time.time() + 300
        journal.accept(StoredMessage(f"r{number}", "note", expires, 7, "k", "platform", b"hello"))
    journal.close()

    async def main() -> None:
        slow, other = HttpHop(), HttpHop()
        await slow.start()
        await other.start()
        file.write_text(
            f'name = "one"\nstate = "state"\n[resp]\nlisten = "{HOST}:0"\n[limits]\ndisk_mb = 64\n'
            "[rules]\nmax_open = 30000\nslots = 16\n"
            '[[class]]\nname = "note"\nsemantics = "idempotent"\ndeadline = 300\naim = 2\n'
            f'[[next_hop]]\nid = "slow"\naddr = "{HOST}:{slow.port}"\ndest = 7\nrate = 20\n'
            f'[[next_hop]]\nid = "other"\naddr = "{HOST}:{other.port}"\ndest = 8\nrate = 500\n'
        )
        runtime = OperatorRuntime(load(file))
        await runtime.start()
        loop = asyncio.get_running_loop()
        assert len(runtime.sender.pending) == COUNT and runtime.sender.to_restore > COUNT - 1000
        client = RespClient(None)  # type: ignore[arg-type]
        listener = runtime.listeners[0][0]
        client.reader, client.writer = await asyncio.open_connection(HOST, getattr(listener, "port"))  # noqa: B009
        answer_times: list[float] = []
        for number in range(100):
            began = loop.time()
            pairs = "c=note,d=8000,k=k1,dest=8"
            answer = await client.command(b"ENQUEUE", b"0", b"n%d" % number, pairs.encode(), b"hello")
            answer_times.append(loop.time() - began)
            if not number:
                assert runtime.sender.to_restore, "a client is answered before all of them are restored"
            assert answer.startswith(b"+")
        await until(lambda: len(other.delivered) == 100, 60)
        assert len(runtime.sender.pending) > COUNT / 2, "most of the restored messages are still queued"
        await until(lambda: not runtime.sender.to_restore, 60)
        answer_times.sort()
        assert answer_times[50] < 0.4, "most are accepted in time, despite the backlog"
        for listener, _ in runtime.listeners:
            listener.stop_listening()
            listener.close()
        runtime.sender.stop()
        runtime.close()
        await slow.stop()
        await other.stop()

    run(main(), 120)
