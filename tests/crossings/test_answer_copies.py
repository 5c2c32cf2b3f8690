"""An endpoint sends its answers a second time, right after the first: each call gets its own answer.

The next call may already be on its way when the copy arrives. A copy that is taken for the answer of that
call ends it while it runs, and from then on each answer on the connection may be that of the call before.
"""

from __future__ import annotations

import asyncio
import base64
import random
from dataclasses import dataclass, field

import orjson
import pytest

from mountgauge.amqp import codec
from mountgauge.amqp.next_hops import AmqpNextHops
from mountgauge.core.config import Address
from mountgauge.core.ports import AttemptResult, Call, CallItem, MessageOutcome, NextHop, NextHops, Status
from mountgauge.http1 import HttpError, Message, Parser, response
from mountgauge.next_hops import HttpNextHops
from mountgauge.notices import Notices
from rillspindle.interface import Entry, Outcome
from tests.helper import HOST, Broker, run, until

CALLS = 25  # of each chain
COPY_AFTER_S = 0.03  # at most, after the answer
NEXT_AFTER_S = 0.015  # at most, from an answer to the next call
SERVICE_S = (0.002, 0.03)
OUTCOMES = {200: Outcome.OK, 500: Outcome.ERROR, 503: Outcome.FULL}
STATES = {"ok": Outcome.OK, "error": Outcome.ERROR, "later": Outcome.FULL}


@dataclass
class CopyingEndpoint:
    """Answers each call by chance, and sends the answer again up to `COPY_AFTER_S` later."""

    draw: random.Random
    answers: dict[str, Outcome] = field(default_factory=dict)  # by message: the outcome that was answered
    out: set[str] = field(default_factory=set)  # messages whose call has not been answered yet
    connections: int = 0
    copies: int = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self.server.close()
        await self.server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        parser = Parser(requests=True)
        try:
            while data := await reader.read(65536):
                for message in parser.feed(data):
                    await self._answer(message, writer)
        except (HttpError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        ids = self._ids(message)
        self.out.update(ids)
        await asyncio.sleep(self.draw.uniform(*SERVICE_S))
        if len(ids) == 1:
            status = self.draw.choice(list(OUTCOMES))
            self.answers[ids[0]] = OUTCOMES[status]
            answer = response(status, "x", {}, b"")
        else:
            states = {one: self.draw.choice(list(STATES)) for one in ids}
            self.answers |= {one: STATES[state] for one, state in states.items()}
            body = [{"id": one, "state": state} for one, state in states.items()]
            answer = response(200, "OK", {}, orjson.dumps(body))
        self.out.difference_update(ids)
        writer.write(answer)
        asyncio.get_running_loop().call_later(self.draw.uniform(0, COPY_AFTER_S), self._copy, answer, writer)

    def _copy(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        if not writer.is_closing():
            self.copies += 1
            writer.write(answer)

    @staticmethod
    def _ids(message: Message) -> list[str]:
        if (one := message.headers.get("x-trace-id")) is not None:
            return [one]
        return [line["id"] for line in orjson.loads(message.body) if base64.b64decode(line["body"])]


class StrangeEndpoint(CopyingEndpoint):
    """Names other messages in its answers than those of the call."""

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        body = [{"id": "another", "state": "ok"}]
        writer.write(response(200, "OK", {}, orjson.dumps(body)))


class PlainEndpoint(CopyingEndpoint):
    """Sends each answer once."""

    def _copy(self, answer: bytes, writer: asyncio.StreamWriter) -> None: ...


class Caller:
    """A stand-in for the core that notes the result of each message, and whether its call was out then."""

    def __init__(self, endpoint: CopyingEndpoint | CopyingBroker) -> None:
        self.endpoint = endpoint
        self.results: dict[str, Outcome] = {}
        self.ended_while_out: list[str] = []
        self.finished_calls: set[int] = set()

    def admit(self, call: Call, items: list[CallItem]) -> list[CallItem]:
        return items

    def finished(self, call: Call, results: dict[int, AttemptResult]) -> None:
        for item in call.items:
            self.results[item.id] = results[item.number].outcome
            if item.id in self.endpoint.out:
                self.ended_while_out.append(item.id)
        self.finished_calls.add(call.items[0].number)


async def chain(
    hops: NextHops, caller: Caller, first: int, messages: int, draw: random.Random, calls: int = CALLS
) -> None:
    """One call after another, the next one soon after the answer of the one before."""
    for number in range(first, first + calls * messages, messages):
        now = asyncio.get_running_loop().time()
        items = [
            CallItem(n, 0, f"id{n}", "k", "note", b"x", now + 60) for n in range(number, number + messages)
        ]
        hop = NextHop("h", HOST, caller.endpoint.port, Entry(2, 0, 0, 0, 7, 0, b"h"))
        hops.start(Call(hop, items, now, now + 10.0))
        while number not in caller.finished_calls:
            await asyncio.sleep(0.001)
        await asyncio.sleep(draw.uniform(0, NEXT_AFTER_S))


@pytest.mark.parametrize("messages", [1, 3])
@pytest.mark.parametrize("chains", [1, 4])
def test_each_call_gets_its_own_answer(messages: int, chains: int) -> None:
    """Guards against a copied answer that ends the next call on its connection: a repeat while the first
    call is out, and messages that are lost, as a copied 200 ended them.
    """

    async def main() -> None:
        draw = random.Random(messages * 10 + chains)
        endpoint = CopyingEndpoint(draw)
        await endpoint.start()
        caller = Caller(endpoint)
        hops = HttpNextHops(caller, 0.5, 5.0, 32)
        await asyncio.gather(*(chain(hops, caller, one * 1000, messages, draw) for one in range(chains)))
        hops.close()
        await endpoint.stop()
        assert endpoint.copies > CALLS * chains / 2
        wrong = {one: outcome for one, outcome in caller.results.items() if endpoint.answers[one] != outcome}
        assert not wrong and not caller.ended_while_out

    run(main(), 60)


def test_a_batch_answer_that_names_other_messages_ends_its_connection() -> None:
    """Guards against answers that stay one behind: the call's own answer is still to come."""

    async def main() -> None:
        endpoint = StrangeEndpoint(random.Random(1))
        await endpoint.start()
        caller = Caller(endpoint)
        hops = HttpNextHops(caller, 0.5, 5.0, 8)
        await chain(hops, caller, 0, 2, random.Random(2), calls=2)
        assert set(caller.results.values()) == {Outcome.ERROR}  # they may have run
        assert endpoint.connections == 2
        hops.close()
        await endpoint.stop()

    run(main(), 20)


def test_a_copied_acknowledgement_ends_no_notice_that_was_not_received() -> None:
    """Guards against lost notices: a copied 204 acknowledged the next batch, which the platform rejected."""

    async def main() -> None:
        received: list[bytes] = []
        statuses = [204, 503, 204]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            parser = Parser(requests=True)
            try:
                while data := await reader.read(65536):
                    for message in parser.feed(data):
                        status = statuses.pop(0) if statuses else 204
                        await asyncio.sleep(0.01)
                        if status == 204:
                            received.append(bytes(message.body))
                        answer = response(status, "x", {}, b"")
                        writer.write(answer)
                        asyncio.get_running_loop().call_later(0.005, _write, writer, answer)
            except (HttpError, OSError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        notices = Notices(Address(HOST, server.sockets[0].getsockname()[1]))
        acknowledged: list[str] = []
        for name in ("first", "second"):
            outcome = MessageOutcome(Status.UNDELIVERABLE)
            notices.report_outcome(name, outcome, lambda name=name: acknowledged.append(name))  # type: ignore[misc]
            await asyncio.sleep(0.012)  # the next one waits for the acknowledgement of the one before
        await until(lambda: len(acknowledged) == 2)
        assert b"second" in b"".join(received)
        notices.close()
        server.close()

    run(main(), 20)


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


class CopyingBroker(Broker):
    """Confirms by chance, and sends each confirm a second time a little later."""

    def __init__(self, draw: random.Random) -> None:
        super().__init__()
        self.draw = draw
        self.answers: dict[str, Outcome] = {}
        self.out: set[str] = set()

    def record_call(self, msg_id: str, key: str, body: bytes) -> str:
        """Draw the outcome of a publish."""
        result, outcome = self.draw.choice([("ok", Outcome.OK), ("error", Outcome.ERROR)])
        self.answers[msg_id] = outcome
        return result

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        write = writer.write

        def write_twice(data: bytes) -> None:
            write(data)
            method = codec.decode_method(data[7:-1])
            if method.name in ("basic.ack", "basic.nack"):
                asyncio.get_running_loop().call_later(self.draw.uniform(0, COPY_AFTER_S), write, data)

        writer.write = write_twice  # type: ignore[method-assign, assignment]
        await super().serve(reader, writer)


@pytest.mark.parametrize("chains", [1, 4])
def test_each_publish_gets_its_own_confirm(chains: int) -> None:
    """A confirm names its publish, so a copy of one is not taken for another."""

    async def main() -> None:
        draw = random.Random(chains)
        broker = CopyingBroker(draw)
        await broker.start()
        caller = Caller(broker)
        hops = AmqpNextHops(caller, 0.5, 5.0, 8, {})
        await asyncio.gather(*(chain(hops, caller, one * 1000, 1, draw) for one in range(chains)))
        assert caller.results == broker.answers and len(broker.answers) == CALLS * chains
        hops.close()
        await broker.stop()

    run(main(), 60)


@pytest.mark.parametrize("waits_s", [0.0, 0.02])
def test_a_call_that_ends_while_it_waits_for_quiet_leaves_no_connection(waits_s: float) -> None:
    """Guards against connections that nobody owns, also if the call ends before its wait begins."""

    async def main() -> None:
        endpoint = PlainEndpoint(random.Random(1))
        await endpoint.start()
        caller = Caller(endpoint)
        hops = HttpNextHops(caller, 0.5, 5.0, 8)
        await chain(hops, caller, 0, 1, random.Random(2), calls=1)
        now = asyncio.get_running_loop().time()
        hop = NextHop("h", HOST, endpoint.port, Entry(2, 0, 0, 0, 7, 0, b"h"))
        call = Call(hop, [CallItem(9, 0, "id9", "k", "note", b"x", now + 60)], now, now + 10.0)
        hops.start(call)
        if waits_s:
            await asyncio.sleep(waits_s)
        hops.cancel(call)
        await until(lambda: hops._pool.open == 0, 5.0)
        assert caller.results["id9"] == Outcome.MOOT and hops.in_flight == 0
        hops.close()
        await endpoint.stop()

    run(main(), 20)
