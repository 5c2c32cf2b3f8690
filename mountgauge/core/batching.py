"""Groups one turn's messages for the same next hop into as few calls as its kind allows. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from mountgauge.core.ports import Call, CallItem, NextHop


class CallBatches:
    """The open calls of one turn, at most one per next hop."""

    def __init__(self, now: float, kind_batch: Sequence[int]) -> None:
        """`kind_batch`: the maximum number of messages in a call, by kind of endpoint."""
        self._now, self._kind_batch = now, kind_batch
        self._calls: dict[str, Call] = {}

    def __iter__(self) -> Iterator[Call]:
        return iter(self._calls.values())

    def full(self, hop: NextHop) -> Call | None:
        """The next hop's call if it is full and must be started before another message is added."""
        call = self._calls.get(hop.id)
        return call if call is not None and not self._has_capacity(call, hop) else None

    def add(self, item: CallItem, hop: NextHop, times_out_at: float) -> Call:
        """Add a message to the next hop's call, which times out with the latest of its messages."""
        call = self._calls.get(hop.id)
        if call is not None and self._has_capacity(call, hop):
            call.items.append(item)
            call.times_out_at = max(call.times_out_at, times_out_at)
        else:
            call = self._calls[hop.id] = Call(hop, [item], self._now, times_out_at)
        return call

    def _has_capacity(self, call: Call, hop: NextHop) -> bool:
        return len(call.items) < self._kind_batch[hop.entry.kind]
