"""Where two events cross at a delivery attempt: each is forced by what the peer has seen."""

from __future__ import annotations

import asyncio

import orjson

from mountgauge.core.ports import Result
from mountgauge.http1 import Message, response
from mountgauge.next_hops import HttpNextHops
from rillspindle.interface import Outcome
from tests.helper import HttpServer, run, until
from tests.test_next_hops import Owner, call


def test_an_answer_for_several_is_not_waited_for_past_the_time_of_the_first() -> None:
    """A message's time ends while the call that it shares is out: the answer after it is nobody's."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        told, let_go, owner = list[int](), asyncio.Event(), Owner()

        class Late(HttpServer):
            async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                told.append(int(head.split("x-expires-in-ms: ")[1].split("\r\n")[0]))
                await reader.readexactly(int(head.split("content-length: ")[1].split("\r\n")[0]))
                gone = asyncio.ensure_future(reader.read())
                await asyncio.wait([gone], timeout=2.0)  # the sender has gone; or it waits on, past its time
                let_go.set() if gone.done() else gone.cancel()
                states = [{"id": f"id{n}", "state": "ok"} for n in range(2)]
                writer.write(response(200, "OK", {}, orjson.dumps(states)))
                await writer.drain()

        async def never(message: Message) -> None: ...

        server = Late(never)
        await server.start()
        hops = HttpNextHops(owner, 0.5, 5.0, 8)
        shared = call(server.port, b"a", b"b", limit=8.0)
        shared.items[0].expires = loop.time() + 0.4
        hops.start(shared)
        await until(lambda: owner.done)
        await asyncio.wait_for(let_go.wait(), 5)
        assert owner.done[0][1] == {n: Result(Outcome.TIMEOUT) for n in range(2)}
        assert told[0] <= 400 and loop.time() >= shared.items[0].expires
        hops.close()
        await server.stop()

    run(main())
