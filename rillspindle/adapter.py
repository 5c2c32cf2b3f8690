"""`python -m rillspindle.adapter`: batches on standard input, replies on standard output.

Hosts one `Policy` for each node and decides nothing.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from rillspindle import wire
from rillspindle.interface import Entry
from rillspindle.policy import Policy


def _read(stream: BinaryIO, count: int) -> bytes:
    content = stream.read(count)
    if len(content) < count:
        raise wire.WireError(f"input ends {count - len(content)} bytes short of a frame")
    return content


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each batch until the input ends."""
    nodes: dict[int, Policy] = {}
    lists: dict[int, tuple[Entry, ...]] = {}
    while head := source.read(wire.BATCH.size):
        if len(head) < wire.BATCH.size:
            raise wire.WireError("input ends inside a header")
        now, length, count, batch = wire.BATCH.unpack(head)
        if length < wire.BATCH.size:
            raise wire.WireError(f"frame length {length} is shorter than its header")
        body = _read(source, length - wire.BATCH.size)
        records: list[bytes] = []
        for node, event in wire.decode(body, count, lists):
            try:
                if isinstance(event, wire.NodeStarted):
                    nodes[node] = Policy(event.env, event.seed)
                elif isinstance(event, wire.NodeStopped):
                    nodes.pop(node, None)
                elif node in nodes:
                    records.extend(wire.encode(node, action) for action in nodes[node].handle(event, now))
            except Exception as error:  # any exception of the module ends the run, with its text
                records.append(wire.encode_fault(node, f"{type(error).__name__}: {error}"))
        sink.write(wire.encode_reply(records, batch))
        sink.flush()


def main() -> int:
    """Serve on stdin and stdout until stdin ends; return 1 if the input is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"rillspindle.adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
